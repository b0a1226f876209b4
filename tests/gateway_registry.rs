//! Targets as the store shows them: leaving, vanishing, coming back.

mod gateway_samples;

use gateway_samples::{SERVICE, target};
use pistachiowick::gateway::model::TargetRecord;
use pistachiowick::gateway::registry::TargetRegistry;
use pistachiowick::names::{MonoTime, ServiceName, TargetId};
use rstest::rstest;

enum Step {
    Set(&'static str),
    Leaving(&'static str),
    Removed(&'static str),
    Listed(&'static [&'static str]),
    StoreFailed,
    Expire,
}

use Step::{Expire, Leaving, Listed, Removed, Set, StoreFailed};

struct RegistryCase {
    steps: &'static [(u64, Step)],
    left: &'static [&'static str],
}

// A caller's request goes to what is left. An entry that vanishes while the store
// answered all the time is a departure. One that vanishes around an outage may only
// have expired, and is back within two seconds of the store's return if it lives.
#[rstest]
#[case::present(RegistryCase { steps: &[(0, Set("a")), (0, Set("b"))], left: &["a", "b"] })]
#[case::leaving(RegistryCase { steps: &[(0, Set("a")), (10, Leaving("a"))], left: &[] })]
#[case::leaving_stays_leaving(RegistryCase {
    steps: &[(0, Set("a")), (10, Leaving("a")), (20, Set("a")), (30, Listed(&["a"]))],
    left: &[],
})]
#[case::gone_while_the_store_answers(RegistryCase {
    steps: &[(0, Set("a")), (9_000, Removed("a"))],
    left: &[],
})]
#[case::missing_in_a_listing(RegistryCase {
    steps: &[(0, Set("a")), (0, Set("b")), (9_000, Listed(&["b"]))],
    left: &["b"],
})]
#[case::missing_just_after_an_outage(RegistryCase {
    steps: &[(0, Set("a")), (100, StoreFailed), (200, Listed(&[])), (1_900, Expire)],
    left: &["a"],
})]
#[case::back_after_an_outage(RegistryCase {
    steps: &[
        (0, Set("a")), (100, StoreFailed), (200, Listed(&[])), (1_900, Set("a")), (9_000, Expire),
    ],
    left: &["a"],
})]
#[case::not_back_after_an_outage(RegistryCase {
    steps: &[(0, Set("a")), (100, StoreFailed), (200, Listed(&[])), (2_300, Expire)],
    left: &[],
})]
#[case::long_after_an_outage(RegistryCase {
    steps: &[(0, Set("a")), (100, StoreFailed), (2_700, Removed("a"))],
    left: &[],
})]
#[case::unknown_removed(RegistryCase { steps: &[(0, Removed("x")), (1, Set("a"))], left: &["a"] })]
fn what_is_left(#[case] case: RegistryCase) {
    let mut registry = TargetRegistry::default();
    for (at, step) in case.steps {
        apply(&mut registry, step, MonoTime(*at + 60_000));
    }
    assert_eq!(left(&registry), case.left);
}

#[test]
fn a_departure_noticed_by_an_answer_counts_like_an_announced_one() {
    let mut registry = TargetRegistry::default();
    registry.set(record("a"), MonoTime(1));
    registry.depart(&TargetId::from("a"), MonoTime(2));
    registry.set(record("a"), MonoTime(3));
    assert!(left(&registry).is_empty());
    assert!(registry.has_departed(&TargetId::from("a")));
}

fn apply(registry: &mut TargetRegistry, step: &Step, now: MonoTime) {
    match step {
        Set(id) => registry.set(record(id), now),
        Leaving(id) => {
            let leaving = true;
            registry.set(
                TargetRecord {
                    leaving,
                    ..record(id)
                },
                now,
            );
        }
        Removed(id) => registry.remove(&TargetId::from(*id), now),
        Listed(ids) => registry.replace(ids.iter().map(|id| record(id)).collect(), now),
        StoreFailed => registry.note_store_failure(now),
        Expire => {
            registry.expire(now);
        }
    }
}

fn record(id: &str) -> TargetRecord {
    target(id, "127.0.0.1:9")
}

fn left(registry: &TargetRegistry) -> Vec<String> {
    let services = registry.by_service();
    let records = services.get(&ServiceName::from(SERVICE));
    records
        .into_iter()
        .flatten()
        .map(|record| record.id.to_string())
        .collect()
}
