//! Time limits of calls that are made under the lease for fleet tasks.

use std::time::Duration;

use pistachiowick::gateway::fleet_tasks::{call_timeout, last_start};
use pistachiowick::names::MonoTime;
use rstest::rstest;

/// Duration of the lease in these tests.
const LEASE: Duration = Duration::from_secs(3);

struct LimitCase {
    now: u64,
    deadline: u64,
    limit_ms: u64,
}

// Guards against a call that lasts longer than the right to make it.
#[rstest]
#[case::early(LimitCase { now: 10_000, deadline: 11_800, limit_ms: 1_000 })]
#[case::late(LimitCase { now: 11_000, deadline: 11_800, limit_ms: 800 })]
#[case::at_the_deadline(LimitCase { now: 11_800, deadline: 11_800, limit_ms: 0 })]
#[case::after_a_suspension(LimitCase { now: 19_000, deadline: 11_800, limit_ms: 0 })]
fn a_call_ends_by_the_deadline_of_the_holder(#[case] case: LimitCase) {
    let limit = call_timeout(MonoTime(case.deadline), MonoTime(case.now));
    assert_eq!(limit, Duration::from_millis(case.limit_ms));
}

struct StartCase {
    confirmed_at: u64,
    deadline: u64,
    last_start: u64,
}

// Guards against a call by a daemon whose last renewal was confirmed too long ago, and against
// one that is bound to be given up.
#[rstest]
#[case::confirmed_at_once(StartCase { confirmed_at: 10_010, deadline: 11_800, last_start: 11_010 })]
#[case::confirmed_late(StartCase { confirmed_at: 10_900, deadline: 11_800, last_start: 11_500 })]
fn calls_start_only_after_a_recent_renewal(#[case] case: StartCase) {
    let (deadline, confirmed_at) = (MonoTime(case.deadline), MonoTime(case.confirmed_at));
    let last = last_start(deadline, confirmed_at, LEASE);
    assert_eq!(last, MonoTime(case.last_start));
}
