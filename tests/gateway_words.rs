//! What a hub includes in a summary, and how large summaries are in a large fleet.

use indexmap::IndexSet;
use pistachiowick::gateway::deciding::load::TargetWork;
use pistachiowick::gateway::deciding::stage_plan::WorkRate;
use pistachiowick::gateway::peers::member_broadcasts::MemberBroadcasts;
use pistachiowick::gateway::peers::wire::{MemberStatus, PeerMessage, PeerSummary};
use pistachiowick::names::{DaemonId, MonoTime, TargetId, UnixTime};
use pistachiowick::target_incarnation::TargetIncarnation;
use rstest::rstest;

/// Daemons of a large fleet, in three data centres.
const DAEMONS: usize = 300;
/// Targets with work at a time.
const WORKING: usize = 300;
/// Most bytes of a summary: a hub with 100 members and a link of 25 MB a second sends five
/// summaries a second to each, and half of the link is for callers.
const MAX_BYTES: usize = 25_000;

fn status(index: usize) -> MemberStatus {
    MemberStatus {
        id: DaemonId::from(format!("gateway-{index:03}").as_str()),
        age_ms: 180,
        leaving: false,
        config_version: 1_204,
        changing: Vec::new(),
        confirms_keys: true,
    }
}

fn fleet(count: usize) -> Vec<MemberStatus> {
    (0..count).map(status).collect()
}

fn work(index: usize) -> (TargetIncarnation, TargetWork) {
    let started = UnixTime(1_790_000_000_000 + index as u64);
    let life = TargetIncarnation::new(
        TargetId::from(format!("llm-pool-{index:04}").as_str()),
        Some(started),
    );
    let mut work = TargetWork {
        running: 12,
        ..TargetWork::default()
    };
    work.pending_prefill[1] = 9_800;
    work.pending_prefill[3] = 15_200;
    (life, work)
}

fn summary(broadcasts: &mut MemberBroadcasts) -> PeerMessage {
    let mut members = broadcasts.due_members(fleet(DAEMONS - 1));
    members.push(status(DAEMONS));
    PeerMessage::Summary(PeerSummary {
        from: DaemonId::from("gateway-300"),
        incarnation: 1_790_000_000_000,
        whole_fleet: true,
        members,
        work: (0..WORKING).map(work).collect(),
        cached_parts: Vec::new(),
        departed: Vec::new(),
        entries: Vec::new(),
        work_reports: Vec::new(),
        part_reports: Vec::new(),
        limits: Vec::new(),
        clock: MonoTime(9_000_000),
        rate: WorkRate::default(),
        store_age_ms: 40,
        placed_through: 9_000,
        fleet_time: Some(UnixTime(1_790_000_000_000)),
        usage: Vec::new(),
        usage_complete_to: None,
    })
}

// A hub of a large fleet sends its summaries to a hundred members. If each summary contained
// the status of each daemon, with field names, the hub's link would be full; departures and
// changes of the configuration would wait behind summaries, and callers behind both.
#[test]
fn summaries_of_a_large_fleet_leave_half_of_the_hubs_link() {
    let mut broadcasts = MemberBroadcasts::default();
    // The first summary contains all daemons, the next ones a part in rotation.
    let _ = summary(&mut broadcasts);
    for _ in 0..4 {
        let bytes = summary(&mut broadcasts).encode().into_data().len();
        assert!(bytes <= MAX_BYTES, "{bytes} bytes");
    }
}

#[test]
fn each_daemon_is_included_within_two_summaries() {
    let mut broadcasts = MemberBroadcasts::default();
    let _ = broadcasts.due_members(fleet(DAEMONS));
    for _ in 0..3 {
        let summaries = [
            broadcasts.due_members(fleet(DAEMONS)),
            broadcasts.due_members(fleet(DAEMONS)),
        ];
        let included: IndexSet<DaemonId> = summaries
            .into_iter()
            .flatten()
            .map(|status| status.id)
            .collect();
        assert_eq!(included.len(), DAEMONS);
    }
}

struct ChangeCase {
    change: fn(&mut MemberStatus),
    at_once: bool,
}

// When a daemon leaves or cannot confirm its keys, receivers direct no more callers to it;
// when it changes an engine's stage, they leave that engine alone. So these changes are in the
// next summary, ahead of the rotation. A new message from the daemon needs no action.
#[rstest]
#[case::leaving(ChangeCase { change: |status| status.leaving = true, at_once: true })]
#[case::keys_not_confirmed(ChangeCase { change: |status| status.confirms_keys = false, at_once: true })]
#[case::changing_a_stage(ChangeCase { change: |status| status.changing = vec![TargetIncarnation::from("engine")], at_once: true })]
#[case::new_contact(ChangeCase { change: |status| status.age_ms = 20, at_once: false })]
fn changes_that_are_sent_at_once(#[case] case: ChangeCase) {
    for summaries in 0..2 {
        let mut broadcasts = MemberBroadcasts::default();
        for _ in 0..=summaries {
            let _ = broadcasts.due_members(fleet(DAEMONS));
        }
        let mut changed = fleet(DAEMONS);
        changed.iter_mut().for_each(|status| (case.change)(status));
        let included = broadcasts.due_members(changed).len();
        assert_eq!(included == DAEMONS, case.at_once, "{included} of {DAEMONS}");
    }
}

#[test]
fn a_daemon_that_comes_back_is_included_at_once() {
    for summaries in 0..2 {
        let mut broadcasts = MemberBroadcasts::default();
        for _ in 0..=summaries {
            let _ = broadcasts.due_members(fleet(DAEMONS));
        }
        let _ = broadcasts.due_members(Vec::new());
        assert_eq!(broadcasts.due_members(fleet(DAEMONS)).len(), DAEMONS);
    }
}

#[test]
fn work_at_an_unknown_rank_is_rejected() {
    let mut bytes = Vec::new();
    ciborium::into_writer(&(3_u32, vec![(10_u8, 700_u32)]), &mut bytes).expect("it encodes");
    let read: Result<TargetWork, _> = ciborium::from_reader(&bytes[..]);
    assert!(read.is_err());
}
