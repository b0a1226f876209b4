//! Measurements that admission control is based on, and their messages.

use std::time::Duration;

use pistachiowick::admission::RefusalReason;
use pistachiowick::admission::load_meter::{
    AdmissionReport, FirstEventTime, LoadMeter, RankLoad, RequestLoad,
};
use pistachiowick::gateway::admitting::{AdmissionRefusal, AdmissionVerdict};
use pistachiowick::names::{DaemonId, MonoTime, ServiceName};
use rstest::rstest;

const NOW: MonoTime = MonoTime(10_000);
const CAPACITY_MS: f64 = 1_000.0;

fn after(ms: u64) -> MonoTime {
    NOW.plus(Duration::from_millis(ms))
}

fn service() -> ServiceName {
    ServiceName::from("engines")
}

fn load(service: &ServiceName, rank: u8, workspace: Option<u64>) -> RequestLoad<'_> {
    RequestLoad {
        service,
        rank,
        workspace,
        work_ms: 100.0,
    }
}

fn rank_load(requested: f64, placed: f64, served: f64) -> RankLoad {
    RankLoad {
        requested,
        placed,
        served,
        ..RankLoad::default()
    }
}

fn report(ranks: &[RankLoad]) -> AdmissionReport {
    let ranks = (0..).zip(ranks);
    AdmissionReport {
        ranks: ranks.map(|(rank, load)| (service(), rank, *load)).collect(),
        workspaces: Vec::new(),
    }
}

struct ViewCase {
    ranks: Vec<RankLoad>,
    rank: u8,
    urgent_share: f64,
    rank_excess: f64,
}

// Guards against ranks that starve or are cut without need: less urgent ranks that are refused
// keep a tenth each, none is admitted a larger share than a more urgent one, and while nothing is
// refused there is no limit.
#[rstest]
#[case::no_data(ViewCase { ranks: vec![], rank: 1, urgent_share: 0.0, rank_excess: 1.0 })]
#[case::enough_for_all(ViewCase {
    ranks: vec![rank_load(900.0, 900.0, 500.0), rank_load(300.0, 300.0, 300.0)],
    rank: 0, urgent_share: 0.0, rank_excess: 1.0,
})]
#[case::less_urgent_is_refused(ViewCase {
    ranks: vec![rank_load(1_800.0, 1_800.0, 1_000.0), rank_load(500.0, 0.0, 0.0)],
    rank: 0, urgent_share: 0.0, rank_excess: 2.0,
})]
#[case::urgent_share_is_bounded(ViewCase {
    ranks: vec![rank_load(1_000.0, 1_000.0, 1_000.0), rank_load(100.0, 100.0, 0.0)],
    rank: 1, urgent_share: 0.9, rank_excess: 1.0,
})]
#[case::urgent_is_refused(ViewCase {
    ranks: vec![rank_load(2_000.0, 500.0, 500.0), rank_load(100.0, 100.0, 100.0)],
    rank: 1, urgent_share: 0.5, rank_excess: 4.0,
})]
fn views_by_case(#[case] case: ViewCase) {
    let mut meter = LoadMeter::default();
    meter.set_peer(&DaemonId::from("peer"), report(&case.ranks), NOW);
    let service = service();
    let load = load(&service, case.rank, None);
    let view = meter.capacity_view(&load, (0.0, CAPACITY_MS), NOW);
    assert!(
        (view.urgent_share - case.urgent_share).abs() < 1e-6,
        "{view:?}"
    );
    assert!(
        (view.rank_excess - case.rank_excess).abs() < 1e-6,
        "{view:?}"
    );
}

// Guards against a ratio that stays after the delays are over, and that counts requests twice
// which a hub reports for all: without data the ratio is 1.
#[test]
fn delay_ratio_follows_recent_requests() {
    let service = service();
    let mut meter = LoadMeter::default();
    assert_eq!(meter.delay_ratio(&service), 1.0);
    let late = FirstEventTime {
        actual_ms: 900.0,
        expected_ms: 300.0,
        is_served: true,
    };
    for _ in 0..50 {
        meter.note_delay(&load(&service, 0, None), &late, NOW);
    }
    assert!(meter.delay_ratio(&service) > 2.9);
    let sum = meter.local_report(NOW);
    meter.set_fleet(&DaemonId::from("hub"), sum.clone(), NOW);
    let served = meter.sum_with(|_| false, NOW).ranks[0].2.served;
    assert!((served - sum.ranks[0].2.served).abs() < 1e-6);
    // A hub without admission control reports nothing; the own measurements count then.
    meter.set_fleet(&DaemonId::from("hub"), AdmissionReport::default(), NOW);
    assert!(meter.delay_ratio(&service) > 2.9);
    meter.sweep(after(1_600));
    meter.local_report(after(12_000));
    assert!(meter.delay_ratio(&service) < 1.1);
}

// Guards against values of a faulty peer: they are dropped, and a replaced report leaves nothing.
#[rstest]
#[case::not_a_number(f64::NAN)]
#[case::infinite(f64::INFINITY)]
#[case::negative(-5.0)]
fn invalid_reports_are_dropped(#[case] value: f64) {
    let mut meter = LoadMeter::default();
    let peer = DaemonId::from("peer");
    let mut faulty = report(&[rank_load(value, 1.0, 1.0)]);
    faulty.workspaces.push((1, value));
    meter.set_peer(&peer, faulty, NOW);
    assert!(meter.sum_with(|_| true, NOW).is_empty());
    meter.set_peer(&peer, report(&[rank_load(1.0, 1.0, 1.0)]), NOW);
    meter.set_peer(&peer, AdmissionReport::default(), NOW);
    assert!(meter.sum_with(|_| true, NOW).is_empty());
}

// Guards against shares that leave capacity unused: what small workspaces do not use is shared
// by the large ones, and no workspace exceeds its share while all are served.
#[test]
fn workspaces_share_what_others_leave() {
    let service = service();
    let mut meter = LoadMeter::default();
    let excess = |meter: &mut LoadMeter, workspace| {
        let load = load(&service, 0, Some(workspace));
        meter
            .capacity_view(&load, (0.0, CAPACITY_MS), NOW)
            .workspace_excess
    };
    let mut fleet = report(&[rank_load(1_000.0, 1_000.0, 1_000.0)]);
    fleet.workspaces = vec![(1, 100.0), (2, 900.0)];
    meter.set_peer(&DaemonId::from("peer"), fleet.clone(), NOW);
    meter.sweep(NOW);
    assert_eq!([excess(&mut meter, 1), excess(&mut meter, 2)], [1.0, 1.0]);
    fleet.workspaces = vec![(1, 100.0), (2, 1_800.0)];
    meter.set_peer(&DaemonId::from("peer"), fleet, NOW);
    meter.sweep(NOW);
    assert!(excess(&mut meter, 1) < 0.2);
    assert!((excess(&mut meter, 2) - 2.0).abs() < 1e-6);
}

// Guards against a refusal that changes on its way from the hub to the member.
#[test]
fn verdicts_survive_encoding() {
    let verdict = AdmissionVerdict {
        refusal: Some(AdmissionRefusal {
            reason: RefusalReason::WorkspaceShare,
            retry_after_ms: 420,
            expected_ms: 1_234.5,
        }),
        wait_ms: 900.0,
        urgent_share: 0.4,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&verdict, &mut bytes).expect("memory is writable");
    let decoded: AdmissionVerdict = ciborium::from_reader(&bytes[..]).expect("own encoding");
    assert_eq!(decoded, verdict);
}
