//! Until when a daemon's configuration is confirmed to be the newest one.

use pistachiowick::gateway::peers::freshness::{ClockEcho, ConfigFreshness, FreshnessTracker};
use pistachiowick::names::{DaemonId, MonoTime};
use proptest::prelude::*;
use rstest::rstest;

const LOCAL_INCARNATION: u64 = 7;
const LOCAL_VERSION: u64 = 20;

struct ReportCase {
    version: u64,
    age_ms: Option<u64>,
    /// Daemon, incarnation and clock that the sender had last received.
    received: (&'static str, u64, u64),
    confirmed: Option<u64>,
}

// A hub reports the age of the store's last response. A member subtracts it from its own
// clock as the hub last received it. A report to another daemon, to an earlier incarnation or
// about a version that is not here yet confirms nothing.
#[rstest]
#[case::fresh(ReportCase { version: 20, age_ms: Some(300), received: ("own", 7, 5_000), confirmed: Some(4_700) })]
#[case::older_version(ReportCase { version: 19, age_ms: Some(300), received: ("own", 7, 5_000), confirmed: Some(4_700) })]
#[case::version_not_here(ReportCase { version: 21, age_ms: Some(300), received: ("own", 7, 5_000), confirmed: None })]
#[case::hub_does_not_know(ReportCase { version: 20, age_ms: None, received: ("own", 7, 5_000), confirmed: None })]
#[case::another_daemon(ReportCase { version: 20, age_ms: Some(0), received: ("other", 7, 5_000), confirmed: None })]
#[case::earlier_incarnation(ReportCase { version: 20, age_ms: Some(0), received: ("own", 6, 90_000), confirmed: None })]
#[case::older_than_this_incarnation(ReportCase { version: 20, age_ms: Some(9_000), received: ("own", 7, 5_000), confirmed: Some(0) })]
fn what_a_report_confirms(#[case] case: ReportCase) {
    let (daemon, life, clock) = case.received;
    let freshness = ConfigFreshness {
        clock: MonoTime(1),
        version: case.version,
        age_ms: case.age_ms,
        echo: Some(ClockEcho {
            daemon: DaemonId::from(daemon),
            incarnation: life,
            clock: MonoTime(clock),
        }),
    };
    let mut tracker = FreshnessTracker::default();
    tracker.apply(
        &freshness,
        (&DaemonId::from("own"), LOCAL_INCARNATION),
        LOCAL_VERSION,
    );
    assert_eq!(tracker.confirmed_at(), case.confirmed.map(MonoTime));
}

/// One message: when it was sent and how long it is in transit, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Flight {
    sent: u64,
    transit: u64,
}

fn flights() -> impl Strategy<Value = Vec<Flight>> {
    let flight = (0..400_u64, 0..9_000_u64).prop_map(|(pause, transit)| (pause, transit));
    proptest::collection::vec(flight, 1..60).prop_map(|steps| {
        let mut sent = 0;
        steps
            .into_iter()
            .map(|(pause, transit)| {
                sent += pause + 1;
                Flight { sent, transit }
            })
            .collect()
    })
}

proptest! {
    // A key is revoked at some moment. The store's response, the hub's report and the
    // member's hint are each delayed by up to nine seconds, and the three clocks differ.
    // Whatever arrives in whatever order, the member's confirmation must never be newer than
    // the store's response that it is based on.
    #[test]
    fn no_confirmation_is_newer_than_the_stores_response(
        answers in flights(),
        hints in flights(),
        reports in flights(),
        hub_ahead in 0..50_000_u64,
        local_ahead in 0..50_000_u64,
    ) {
        let local = DaemonId::from("own");
        let mut tracker = FreshnessTracker::default();
        for report in &reports {
            let by = report.sent;
            // What the hub knows when it sends its report, in real time.
            let responded = answers.iter().filter(|a| a.sent + a.transit <= by).map(|a| a.sent).max();
            let received = hints.iter().filter(|h| h.sent + h.transit <= by).map(|h| h.sent).max();
            let mut hub = FreshnessTracker::default();
            if let Some(received) = received {
                hub.record_clock(&local, LOCAL_INCARNATION, MonoTime(received + local_ahead));
            }
            let freshness = ConfigFreshness {
                clock: MonoTime(by + hub_ahead),
                version: LOCAL_VERSION,
                age_ms: responded.map(|responded| by - responded),
                echo: hub.echo(&local),
            };
            // The report may arrive at any later time; the time of arrival does not matter.
            tracker.apply(&freshness, (&local, LOCAL_INCARNATION), LOCAL_VERSION);
            if let (Some(at), Some(responded)) = (tracker.confirmed_at(), responded) {
                let newest = answers.iter().filter(|a| a.sent + a.transit <= by).map(|a| a.sent).max();
                prop_assert!(at.0 <= newest.unwrap_or(responded) + local_ahead);
            }
        }
    }
}
