//! Admission control in overload, in virtual time.

mod admission_world;

use std::time::Duration;

use admission_world::{KindTally, Knowledge, RequestKind, Rule, WorldPlan, WorldTally, simulate};
use pistachiowick::admission::window::AdmissionWindow;
use pistachiowick::admission::{
    AdmissionDecision, CapacityView, RefusalReason, RequestTerms, decide,
};
use rstest::rstest;

const SERVERS: usize = 8;

fn kind(
    rank: u8,
    work_ms: f64,
    per_second: f64,
    objective_ms: u64,
    deadline_ms: u64,
) -> RequestKind {
    RequestKind {
        rank,
        workspace: None,
        work_ms,
        per_second,
        objective_ms,
        gives_up_ms: 2_400,
        deadline_ms,
    }
}

/// Own prefill work and rates of the three kinds of streams of a deployment, which take
/// 8 servers at a load of 1.
fn kinds() -> Vec<RequestKind> {
    vec![
        kind(0, 19.6, 71.7, 400, 6_000),
        kind(1, 51.0, 30.6, 500, 3_000),
        kind(2, 65.7, 76.6, 600, 5_000),
    ]
}

fn plan(load: f64, knowledge: Knowledge, deciders: usize) -> WorldPlan {
    WorldPlan {
        kinds: kinds(),
        load,
        servers: SERVERS,
        deciders,
        knowledge,
        alternates: false,
        lost: 0,
        clock_ms: 0,
        seconds: 40,
        rule: decide,
    }
}

fn admit_all(_: &RequestTerms, _: &CapacityView, _: &AdmissionWindow) -> AdmissionDecision {
    AdmissionDecision::Admit
}

fn refuse(retry_ms: u64) -> AdmissionDecision {
    AdmissionDecision::Refuse {
        reason: RefusalReason::Late,
        retry_after: Duration::from_millis(retry_ms),
        expected_ms: 0.0,
    }
}

/// The rule of the gateway without admission control: by the uncorrected wait, one retry time.
fn refuse_newest(
    terms: &RequestTerms,
    view: &CapacityView,
    _: &AdmissionWindow,
) -> AdmissionDecision {
    let left_ms = terms.time_left.as_secs_f64() * 1e3;
    if view.wait_ms > 0.7 * left_ms {
        return refuse(900);
    }
    AdmissionDecision::Admit
}

/// Only requests whose deadline is already lost.
fn refuse_lost(
    terms: &RequestTerms,
    view: &CapacityView,
    _: &AdmissionWindow,
) -> AdmissionDecision {
    let left_ms = terms.time_left.as_secs_f64() * 1e3;
    if view.wait_ms * view.delay_ratio + terms.work_ms > left_ms {
        return refuse(900);
    }
    AdmissionDecision::Admit
}

/// Above a moderate wait, requests with more than the mean work are refused.
fn refuse_largest(
    terms: &RequestTerms,
    view: &CapacityView,
    _: &AdmissionWindow,
) -> AdmissionDecision {
    let left_ms = terms.time_left.as_secs_f64() * 1e3;
    let limit = if terms.work_ms > 40.0 { 0.35 } else { 0.7 };
    if view.wait_ms > limit * left_ms {
        return refuse(900);
    }
    AdmissionDecision::Admit
}

/// The decision with the caller's patience as the longest useful wait in place of the objective.
fn by_time_left(
    terms: &RequestTerms,
    view: &CapacityView,
    window: &AdmissionWindow,
) -> AdmissionDecision {
    let view = CapacityView {
        used_share: 0.0,
        ..*view
    };
    decide(terms, &view, window)
}

/// Least urgent ranks are refused while more urgent ones take a part of the capacity and wait.
fn strict_priority(
    terms: &RequestTerms,
    view: &CapacityView,
    _: &AdmissionWindow,
) -> AdmissionDecision {
    let objective_ms = terms.objective_left.as_secs_f64() * 1e3;
    if view.wait_ms > objective_ms * (1.0 - view.urgent_share) {
        return refuse(900);
    }
    AdmissionDecision::Admit
}

fn print(name: &str, load: f64, tally: &WorldTally) {
    print!("{name:16} load {load:3.1} used {:.2}", tally.used);
    for kind in &tally.kinds {
        print!(
            " | served {:.2} in time {:.2} refused {:.2} promise {:.2}",
            kind.served_share(),
            kind.in_time_share(),
            kind.refused / kind.requests,
            kind.kept_promises / kind.returns.max(1.0),
        );
    }
    println!();
}

const LOADS: [f64; 4] = [0.8, 1.2, 2.0, 4.0];

/// Share of the capacity that has to be used in overload, as stated for the feature.
const MIN_USED: f64 = 0.85;

// Guards against admitting what cannot be served, starving a kind, serving an urgent kind less
// than another, and leaving targets idle.
#[rstest]
#[case::current(Knowledge::Aged(0), 3)]
#[case::current_in_a_fleet(Knowledge::Aged(0), 60)]
#[case::hints(Knowledge::Aged(300), 12)]
#[case::late_hints(Knowledge::Aged(1_500), 12)]
#[case::no_peers_known(Knowledge::Missing, 12)]
fn overload_is_shared_by_rank(#[case] knowledge: Knowledge, #[case] deciders: usize) {
    for load in LOADS {
        let tally = simulate(&plan(load, knowledge, deciders), 1);
        print("decide", load, &tally);
        let served: Vec<f64> = tally.kinds.iter().map(KindTally::served_share).collect();
        assert!(
            served.is_sorted_by(|a, b| *a >= *b - 0.01),
            "{load} {served:?}"
        );
        if load < 1.0 {
            let refused = tally.kinds.iter().map(|kind| kind.refused).sum::<f64>();
            assert!(
                served[2] > 0.98 && refused == 0.0,
                "{load} {served:?} {refused}"
            );
            continue;
        }
        assert!(tally.used >= MIN_USED, "{load} {}", tally.used);
        assert!(served[2] > 0.005, "{load} {served:?}");
        assert!(served[0] > 0.98, "{load} {served:?}");
    }
}

// Guards against a choice of rule that serves callers worse than the ones weighed against it:
// with current information, more requests of the least urgent kind are in time.
#[test]
fn decision_beats_simpler_rules() {
    let rules: [(&str, Rule); 7] = [
        ("admit all", admit_all),
        ("newest", refuse_newest),
        ("lost", refuse_lost),
        ("largest", refuse_largest),
        ("strict", strict_priority),
        ("by time left", by_time_left),
        ("decide", decide),
    ];
    for knowledge in [
        Knowledge::Aged(0),
        Knowledge::Aged(300),
        Knowledge::Aged(1_500),
    ] {
        println!("{knowledge:?}");
        let in_time = rules.map(|(name, rule)| {
            let shares = [1.2, 2.0].map(|load| {
                let plan = WorldPlan {
                    rule,
                    ..plan(load, knowledge, 12)
                };
                let tally = simulate(&plan, 2);
                print(name, load, &tally);
                tally.kinds.iter().map(|kind| kind.in_time).sum::<f64>()
            });
            shares.iter().sum::<f64>()
        });
        let (others, decided) = (&in_time[..6], in_time[6]);
        let best_other = others.iter().copied().fold(0.0, f64::max);
        println!("in time {in_time:?}");
        assert!(decided > best_other * 0.95, "{in_time:?}");
        if knowledge == Knowledge::Aged(0) {
            assert!(decided > best_other, "{in_time:?}");
        }
    }
}

fn with_rate(factors: [f64; 3]) -> Vec<RequestKind> {
    let mut kinds = kinds();
    for (kind, factor) in kinds.iter_mut().zip(factors) {
        kind.per_second *= factor;
    }
    kinds
}

// Guards against a flood of one kind that takes everything: of the most urgent, which may take
// nine tenths at most, and of the least urgent, which the others must not notice.
#[rstest]
#[case::urgent([8.0, 0.5, 0.5], [0.5, 0.05, 0.05])]
#[case::least_urgent([0.5, 0.5, 5.0], [0.99, 0.98, 0.1])]
fn flood_of_one_kind(#[case] factors: [f64; 3], #[case] min_served: [f64; 3]) {
    let plan = WorldPlan {
        kinds: with_rate(factors),
        ..plan(1.0, Knowledge::Aged(300), 12)
    };
    let tally = simulate(&plan, 1);
    print("flood", 1.0, &tally);
    for (kind, min) in tally.kinds.iter().zip(min_served) {
        assert!(kind.served_share() >= min, "{:?}", tally.kinds);
    }
    let served: Vec<f64> = tally.kinds.iter().map(KindTally::served_share).collect();
    assert!(served.is_sorted_by(|a, b| *a >= *b - 0.05), "{served:?}");
    assert!(tally.used > MIN_USED, "{}", tally.used);
}

// Guards against a loss of control by faults: half of the engines lost, clocks 50 ms apart, and
// the alternation of two kinds every 2.8 s.
#[rstest]
#[case::half_of_engines_lost(WorldPlan { lost: 4, ..plan(0.9, Knowledge::Aged(300), 12) })]
#[case::clocks_apart(WorldPlan { clock_ms: 50, ..plan(1.2, Knowledge::Aged(300), 12) })]
#[case::alternation(WorldPlan { alternates: true, ..plan(1.0, Knowledge::Aged(300), 12) })]
fn urgent_requests_survive_faults(#[case] plan: WorldPlan) {
    let tally = simulate(&plan, 1);
    print("fault", plan.load, &tally);
    assert!(tally.kinds[0].served_share() > 0.95, "{:?}", tally.kinds);
    assert!(tally.used > MIN_USED, "{}", tally.used);
}

// Guards against a workspace that floods the service: one within its share is served as well as
// without the flood.
#[test]
fn flooding_workspace_does_not_affect_others() {
    let workspace = |number, per_second| RequestKind {
        workspace: Some(number),
        ..kind(1, 50.0, per_second, 500, 3_000)
    };
    // The capacity is 160 requests a second; each of four workspaces asks for an eighth of it.
    let quiet = (1..4).map(|number| workspace(number, 20.0));
    let flood = |factor: f64| WorldPlan {
        kinds: quiet.clone().chain([workspace(9, 20.0 * factor)]).collect(),
        ..plan(1.0, Knowledge::Aged(300), 12)
    };
    let (before, after) = (simulate(&flood(1.0), 1), simulate(&flood(10.0), 1));
    print("quiet", 1.0, &before);
    print("flooded", 1.0, &after);
    for (was, is) in before.kinds.iter().zip(&after.kinds).take(3) {
        assert!(is.served_share() > was.served_share() - 0.02, "{is:?}");
    }
    assert!(after.used > MIN_USED, "{}", after.used);
}
