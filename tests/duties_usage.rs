//! Reports of usage: fleet time, counts, and the ledger that is written before a report.

use std::time::Duration;

use pistachiowick::gateway::fleet_tasks::fleet_clock::FleetClock;
use pistachiowick::gateway::fleet_tasks::usage_counts::{
    DaemonUsage, UsageCounts, WorkspaceCounts,
};
use pistachiowick::gateway::fleet_tasks::usage_ledger::{
    EraStart, RememberedRecords, UsageLedger, UsageStep,
};
use pistachiowick::names::{DaemonId, MonoTime, UnixTime, WorkspaceName};
use proptest::prelude::*;
use rstest::rstest;

/// Length of a usage window in these tests.
const WINDOW: Duration = Duration::from_secs(5);
/// Fleet time at which the monotonic clock of these tests is zero.
const START_MS: u64 = 1_700_000_000_000;
/// Window that starts at that time.
const FIRST: u64 = START_MS / 5_000;
/// A jump of a wall clock: forty minutes.
const STEP_MS: i64 = 2_400_000;

struct ClockCase {
    /// Error of each daemon's wall clock in milliseconds, the local one first.
    off_ms: &'static [i64],
    /// Permitted error of fleet time; `None` if no time is agreed on.
    within_ms: Option<i64>,
}

// Up to a third of the wall clocks jump by forty minutes, possibly including the local one.
// Fleet time is the median of the clocks, so that requests still count in the right window.
#[rstest]
#[case::all_correct(ClockCase { off_ms: &[3, -4, 8, 0, 1], within_ms: Some(8) })]
#[case::local_ahead(ClockCase { off_ms: &[STEP_MS, -4, 8, 0, 1], within_ms: Some(8) })]
#[case::two_behind(ClockCase { off_ms: &[-STEP_MS, -4, 8, 0, 1, -STEP_MS, 2], within_ms: Some(8) })]
#[case::one_each_way(ClockCase { off_ms: &[0, STEP_MS, -STEP_MS], within_ms: Some(0) })]
#[case::too_few(ClockCase { off_ms: &[STEP_MS, 0], within_ms: None })]
fn fleet_time_is_the_median_clock(#[case] case: ClockCase) {
    let now = MonoTime(2_000);
    let wall = |off: i64| UnixTime((START_MS + now.0).saturating_add_signed(off));
    let mut clock = FleetClock::default();
    for (number, off) in case.off_ms.iter().enumerate().skip(1) {
        clock.add_sample(&DaemonId::from(format!("d{number}")), wall(*off), now);
    }
    clock.update_offset(wall(case.off_ms[0]), now);
    let off = clock
        .at(now)
        .map(|at| at.0 as i64 - (START_MS + now.0) as i64);
    assert_eq!(off.is_some(), case.within_ms.is_some());
    assert!(
        off.unwrap_or(0).abs() <= case.within_ms.unwrap_or(0),
        "{off:?}"
    );
}

// The local wall clock jumps after fleet time was agreed on, and no other daemon is reachable,
// as on a partitioned daemon. Fleet time continues by the monotonic clock.
#[test]
fn a_clock_jump_does_not_change_fleet_time() {
    let mut clock = FleetClock::default();
    clock.adopt_time(UnixTime(START_MS), MonoTime(0));
    clock.update_offset(UnixTime(START_MS + 2_400_000 + 9_000), MonoTime(9_000));
    assert_eq!(clock.at(MonoTime(9_000)), Some(UnixTime(START_MS + 9_000)));
}

fn synchronized_clock() -> FleetClock {
    let mut clock = FleetClock::default();
    clock.adopt_time(UnixTime(START_MS), MonoTime(0));
    clock
}

fn received_usage(daemon: &str, counts: &[(u64, &str, u32)]) -> DaemonUsage {
    let counts = counts.iter();
    let counts = counts.map(|(window, name, n)| (*window, WorkspaceName::from(*name), *n));
    DaemonUsage {
        daemon: DaemonId::from(daemon),
        incarnation: 1,
        counts: counts.collect(),
    }
}

fn counts(pairs: &[(&str, u32)]) -> WorkspaceCounts {
    let pairs = pairs.iter();
    pairs
        .map(|(name, n)| (WorkspaceName::from(*name), *n))
        .collect()
}

// Requests that start before fleet time is agreed on are kept with their monotonic time and
// later count in the windows in which they started.
#[test]
fn early_requests_count_in_their_windows() {
    let mut usage = UsageCounts::new(WINDOW);
    let north = WorkspaceName::from("north");
    for moment in [100, 4_900, 5_100] {
        usage.record_start(&north, MonoTime(moment));
    }
    usage.assign_windows(&FleetClock::default(), MonoTime(6_000));
    assert_eq!(usage.total(FIRST), counts(&[]));
    usage.assign_windows(&synchronized_clock(), MonoTime(6_100));
    assert_eq!(usage.total(FIRST), counts(&[("north", 2)]));
    assert_eq!(usage.total(FIRST + 1), counts(&[("north", 1)]));
}

// Messages between daemons are lost, duplicated and reordered. Daemons send totals, and all of
// them once a second, so that the sum becomes correct and is never too high.
#[test]
fn counts_survive_lost_and_duplicate_messages() {
    let mut usage = UsageCounts::new(WINDOW);
    usage.merge_remote(received_usage("d1", &[(FIRST, "north", 3)]), true);
    usage.merge_remote(received_usage("d1", &[(FIRST, "north", 5)]), true);
    usage.merge_remote(received_usage("d1", &[(FIRST, "north", 3)]), true);
    usage.merge_remote(
        received_usage("d2", &[(FIRST, "north", 2), (FIRST, "south", 1)]),
        false,
    );
    assert_eq!(usage.total(FIRST), counts(&[("north", 7), ("south", 1)]));
    // Only the counts of members are relayed to other hubs.
    assert_eq!(usage.take_relayed().len(), 3);
    let mut local = UsageCounts::new(WINDOW);
    local.record_start(&WorkspaceName::from("north"), MonoTime(10));
    local.assign_windows(&synchronized_clock(), MonoTime(20));
    let cell = (FIRST, WorkspaceName::from("north"), 1);
    assert_eq!(
        local.take_updates(MonoTime(30)),
        std::slice::from_ref(&cell)
    );
    assert_eq!(local.take_updates(MonoTime(230)), []);
    assert_eq!(local.take_updates(MonoTime(1_030)), [cell]);
}

/// A platform that accepts one report for each window, and a store with one ledger.
#[derive(Default)]
struct External {
    stored: Option<Vec<u8>>,
    version: u64,
    reports: std::collections::BTreeMap<u64, Vec<WorkspaceCounts>>,
}

/// Failure during one step of a holder.
#[derive(Clone, Copy, Debug)]
enum Failure {
    None,
    /// The call is executed, and its response is lost.
    ResponseLost,
    /// The call is not executed.
    RequestLost,
    /// The holder crashes after the call; another one with different counts takes over.
    HolderCrashes,
    /// Another holder acts in between, unknown to this one.
    ConcurrentHolder,
}

fn failures() -> impl Strategy<Value = Vec<Failure>> {
    let one = prop_oneof![
        4 => Just(Failure::None),
        2 => Just(Failure::ResponseLost),
        1 => Just(Failure::RequestLost),
        2 => Just(Failure::HolderCrashes),
        1 => Just(Failure::ConcurrentHolder),
    ];
    proptest::collection::vec(one, 1..80)
}

struct Holder {
    known: Option<(u64, UsageLedger)>,
    // Each holder received different counts.
    count: u32,
}

impl Holder {
    fn step(&mut self, external: &mut External, newest: u64, answered: bool, delivered: bool) {
        let Some((version, ledger)) = &mut self.known else {
            let stored = external.stored.as_deref();
            let ledger = stored.map(|v| UsageLedger::decode(v).expect("a ledger"));
            self.known = Some((external.version, ledger.unwrap_or_default()));
            return;
        };
        match ledger.next_step(newest, FIRST) {
            UsageStep::Wait => {}
            UsageStep::Record(windows) => {
                let count = self.count;
                let counted = windows.iter().map(|w| (*w, counts(&[("north", count)])));
                let updated = ledger.with_windows(counted.collect());
                let succeeds = delivered && *version == external.version;
                if succeeds {
                    external.stored = Some(updated.encode());
                    external.version += 1;
                }
                self.known = (succeeds && answered).then_some((external.version, updated));
            }
            UsageStep::Report(window) => {
                let report = ledger.windows[&window].counts.clone();
                if delivered {
                    external.reports.entry(window).or_default().push(report);
                }
                if delivered && answered {
                    ledger.mark_reported(window);
                }
            }
        }
    }
}

proptest! {
    // Holders crash between any two steps, calls and responses are lost, and two holders act
    // at once without knowing of each other. The platform never receives different counts for
    // a window, and in the end it has received counts for each window.
    #[test]
    fn no_window_is_reported_with_two_counts(failures in failures()) {
        let mut external = External::default();
        let mut holders = [Holder { known: None, count: 1 }, Holder { known: None, count: 2 }];
        let mut active = 0;
        for (number, failure) in failures.iter().enumerate() {
            let newest = FIRST + number as u64 / 8;
            let (answered, delivered) = match failure {
                Failure::ResponseLost => (false, true),
                Failure::RequestLost => (false, false),
                _ => (true, true),
            };
            if matches!(failure, Failure::ConcurrentHolder) {
                holders[1 - active].step(&mut external, newest, true, true);
            }
            holders[active].step(&mut external, newest, answered, delivered);
            if matches!(failure, Failure::HolderCrashes) {
                active = 1 - active;
                holders[active] = Holder { known: None, count: number as u32 + 10 };
            }
        }
        let last = FIRST + failures.len() as u64 / 8;
        for _ in 0..100 {
            holders[active].step(&mut external, last, true, true);
            // A holder whose write conflicted with another version has to read again.
        }
        for (window, reports) in &external.reports {
            let first = &reports[0];
            prop_assert!(reports.iter().all(|r| r == first), "{window}: {reports:?}");
        }
        let reported: Vec<u64> = external.reports.keys().copied().collect();
        prop_assert_eq!(reported, (FIRST..=last).collect::<Vec<u64>>());
    }
}

// After a long outage of the fleet, windows whose counts are lost are skipped. Otherwise, a
// holder would report empty windows for the whole outage.
#[test]
fn windows_too_old_are_skipped() {
    let ledger = UsageLedger::default().with_windows(vec![(FIRST, counts(&[("north", 1)]))]);
    let mut ledger = ledger;
    ledger.mark_reported(FIRST);
    let UsageStep::Record(windows) = ledger.next_step(FIRST + 500, FIRST) else {
        panic!("windows are due");
    };
    assert_eq!((windows.len(), windows.last()), (20, Some(&(FIRST + 500))));
}

// Two holders record the same window, the second with other counts. The first record may have
// been sent already, so it must not change.
#[test]
fn recorded_counts_do_not_change() {
    let first = UsageLedger::default().with_windows(vec![(FIRST, counts(&[("north", 3)]))]);
    let again = first.with_windows(vec![(FIRST, counts(&[("north", 5)]))]);
    assert_eq!(again.windows[&FIRST].counts, counts(&[("north", 3)]));
}

// More windows are unreported than the ledger retains of reported ones. None may be removed
// before the platform has accepted its report.
#[test]
fn unreported_windows_are_retained() {
    let windows = (FIRST..FIRST + 15).map(|window| (window, counts(&[("north", 1)])));
    let mut ledger = UsageLedger::default().with_windows(windows.collect());
    ledger.mark_reported(FIRST);
    let ledger = ledger.with_windows(vec![(FIRST + 15, counts(&[]))]);
    let kept: Vec<u64> = ledger.windows.keys().copied().collect();
    assert_eq!(kept, (FIRST + 1..=FIRST + 15).collect::<Vec<u64>>());
}

struct RestoredLedgerCase {
    // Whether the holder remembers the record that is lost.
    remembers: bool,
    // Whether the platform had accepted its report.
    reported: bool,
    // First window that cannot have been recorded before the restore.
    first_window: u64,
    next: UsageStep,
}

// Guards against counting a window again whose record was lost with a restore of the store: its
// counts have grown, and the platform may have accepted a report.
#[rstest]
#[case::remembered(RestoredLedgerCase {
    remembers: true, reported: true, first_window: FIRST + 3, next: UsageStep::Record(vec![FIRST + 3]),
})]
#[case::remembered_and_not_reported(RestoredLedgerCase {
    remembers: true, reported: false, first_window: FIRST + 3, next: UsageStep::Report(FIRST + 1),
})]
#[case::forgotten(RestoredLedgerCase {
    remembers: false, reported: true, first_window: FIRST + 3, next: UsageStep::Record(vec![FIRST + 3]),
})]
#[case::no_later_window(RestoredLedgerCase {
    remembers: false, reported: true, first_window: FIRST + 4, next: UsageStep::Wait,
})]
fn a_window_before_a_restore_is_not_counted_again(#[case] case: RestoredLedgerCase) {
    let mut copy = UsageLedger::default().with_windows(vec![(FIRST, counts(&[("north", 1)]))]);
    copy.mark_reported(FIRST);
    let newest = copy.with_windows(vec![(FIRST + 1, counts(&[("north", 2)]))]);
    let mut remembered = RememberedRecords::default();
    if case.remembers {
        remembered.note_stored(&newest);
        if case.reported {
            remembered.mark_reported(FIRST + 1);
        }
    }
    let start = EraStart {
        era: 2,
        first_window: case.first_window,
    };
    let copy = UsageLedger::decode(&copy.encode()).expect("a ledger");
    let restored = copy.restored(start, &remembered);
    assert_eq!(restored.next_step(FIRST + 3, FIRST), case.next);
    let kept = restored.windows.get(&(FIRST + 1));
    let expected = counts(&[("north", 2)]);
    assert_eq!(
        kept.map(|record| &record.counts),
        case.remembers.then_some(&expected)
    );
    assert_eq!(restored.era, 2);
}

// Guards against ledgers of earlier builds that cannot be read, or that count as of this era.
#[test]
fn a_ledger_of_an_earlier_build_is_of_no_era() {
    let value = br#"{"windows":{"7":{"counts":{"north":3},"reported":true}}}"#;
    let ledger = UsageLedger::decode(value).expect("a ledger");
    assert_eq!((ledger.era, ledger.first_window), (0, 0));
    assert_eq!(ledger.windows[&7].counts, counts(&[("north", 3)]));
}

// Guards against a second restore that brings back windows which the first one excluded.
#[test]
fn excluded_windows_stay_excluded() {
    let ledger = UsageLedger::default();
    let remembered = RememberedRecords::default();
    let at = |era, first_window| EraStart { era, first_window };
    let once = ledger.restored(at(1, FIRST + 5), &remembered);
    let twice = once.restored(at(2, FIRST + 3), &remembered);
    assert_eq!(twice.first_window, FIRST + 5);
}
