//! Usage counts that outlive the daemons that counted them, and when a window is recorded.

use std::time::Duration;

use pistachiowick::gateway::fleet_tasks::fleet_clock::FleetClock;
use pistachiowick::gateway::fleet_tasks::usage_counts::{DaemonUsage, UsageCounts};
use pistachiowick::gateway::fleet_tasks::usage_coverage::{ReportTimes, UsageCoverage};
use pistachiowick::names::{DaemonId, MonoTime, UnixTime, WorkspaceName};
use rstest::rstest;

/// Windows and reports of the deployment with usage reports.
const TIMES: ReportTimes = ReportTimes {
    window: Duration::from_secs(5),
    due: Duration::from_secs(10),
};
/// Number of the window that ends at the end of these tests' time zero.
const WINDOW: u64 = 340_000_000;
/// Fleet time at which it ends.
const END: u64 = (WINDOW + 1) * 5_000;

struct RecordCase {
    /// Milliseconds since the end of the window, as of now.
    now: u64,
    /// Milliseconds since the end of the window at which this daemon began to act as the holder.
    acting_since: i64,
    /// Milliseconds since the end of the window up to which all counts are known.
    complete_to: i64,
    is_recorded: bool,
}

// Guards against a new holder that records a window before it has the counts of the other hubs,
// and against one that waits for a hub that does not send them until the report is late.
#[rstest]
#[case::counts_may_arrive(RecordCase { now: 1_900, acting_since: -60_000, complete_to: 1_900, is_recorded: false })]
#[case::all_known(RecordCase { now: 2_000, acting_since: -60_000, complete_to: 1_900, is_recorded: true })]
#[case::a_hub_is_missing(RecordCase { now: 4_900, acting_since: -60_000, complete_to: -3_000, is_recorded: false })]
#[case::half_of_the_time_passed(RecordCase { now: 5_000, acting_since: -60_000, complete_to: -3_000, is_recorded: true })]
#[case::new_holder_waits(RecordCase { now: 6_900, acting_since: 4_000, complete_to: 0, is_recorded: false })]
#[case::new_holder_waited(RecordCase { now: 7_000, acting_since: 4_000, complete_to: 0, is_recorded: true })]
#[case::overdue(RecordCase { now: 12_000, acting_since: 12_000, complete_to: 0, is_recorded: true })]
fn a_window_is_recorded_with_all_counts_or_halfway(#[case] case: RecordCase) {
    let at = |offset: i64| UnixTime(END.saturating_add_signed(offset));
    let now = UnixTime(END + case.now);
    let newest = TIMES.newest_recordable(now, at(case.acting_since), at(case.complete_to));
    assert_eq!(newest >= Some(WINDOW), case.is_recorded, "{newest:?}");
}

// Guards against counts that are called complete though a reachable hub has sent none yet.
#[test]
fn counts_are_complete_up_to_the_slowest_sender() {
    let mut coverage = UsageCoverage::default();
    let hubs = ["h1", "h2"].map(DaemonId::from);
    coverage.record(&hubs[0], UnixTime(END));
    assert_eq!(
        coverage.complete_to(&hubs, UnixTime(END + 9)),
        UnixTime::default()
    );
    coverage.record(&hubs[1], UnixTime(END - 7));
    coverage.record(&hubs[1], UnixTime(END - 8));
    let complete = coverage.complete_to(&hubs, UnixTime(END + 9));
    assert_eq!(complete, UnixTime(END - 7));
    assert_eq!(
        coverage.complete_to(&hubs[..1], UnixTime(END + 9)),
        UnixTime(END)
    );
}

fn clock() -> FleetClock {
    let mut clock = FleetClock::default();
    clock.adopt_time(UnixTime(WINDOW * 5_000), MonoTime(0));
    clock
}

fn usage(daemon: &str, window: u64, count: u32) -> DaemonUsage {
    DaemonUsage {
        daemon: DaemonId::from(daemon),
        incarnation: 1,
        counts: vec![(window, WorkspaceName::from("north"), count)],
    }
}

// Hub and lease holder are killed together, then other daemons. Guards against a successor that
// lacks the counts of the killed daemons, or counts those that it gets from two keepers twice.
#[test]
fn keepers_offer_the_counts_of_killed_daemons() {
    let name = |name: &str| (DaemonId::from(name), 1);
    let mut keepers = [0, 1].map(|_| UsageCounts::new(TIMES.window));
    for keeper in &mut keepers {
        keeper.merge_remote(usage("killed", WINDOW, 8), false);
        keeper.merge_remote(usage("living", WINDOW, 3), false);
        keeper.assign_windows(&clock(), MonoTime(0));
        keeper.start_offers(MonoTime(0));
    }
    // The second keeper has an older message.
    keepers[1].merge_remote(usage("killed", WINDOW, 5), false);
    let mut successor = UsageCounts::new(TIMES.window);
    let is_killed = |id: &DaemonId| *id == DaemonId::from("killed");
    for now in [0, 200, 2_000].map(MonoTime) {
        for (keeper, id) in keepers.iter_mut().zip(["k1", "k2"]) {
            for offered in keeper.take_offers(&name(id), is_killed, now) {
                successor.merge_remote(offered, true);
            }
        }
        let north = successor.total(WINDOW)[&WorkspaceName::from("north")];
        assert_eq!(north, 8, "at {now:?}");
    }
}

// Guards against offers of a large fleet in one message, which would fill a slow link, and
// against offers that leave out counts or begin with windows that are reported already.
#[test]
fn many_counts_are_offered_in_parts_the_newest_windows_first() {
    let mut keeper = UsageCounts::new(TIMES.window);
    for daemon in 0..50 {
        for window in WINDOW..WINDOW + 20 {
            keeper.merge_remote(usage(&format!("d{daemon}"), window, 1), false);
        }
    }
    keeper.start_offers(MonoTime(0));
    let local = (DaemonId::from("k"), 1);
    let mut windows = Vec::new();
    while !keeper.has_offered() {
        let offered = keeper.take_offers(&local, |_| true, MonoTime(0));
        assert!(offered.len() <= 400, "{}", offered.len());
        windows.extend(offered.iter().map(|usage| usage.counts[0].0));
    }
    assert_eq!(windows.len(), 1_000);
    assert!(windows.is_sorted_by(|earlier, later| earlier >= later));
}
