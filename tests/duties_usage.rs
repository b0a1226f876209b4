//! Reports of usage: true time, counts, and what is recorded before it is sent.

use std::time::Duration;

use pistachiowick::gateway::fleet_tasks::fleet_clock::FleetClock;
use pistachiowick::gateway::fleet_tasks::usage_counts::{
    DaemonUsage, UsageCounts, WorkspaceCounts,
};
use pistachiowick::gateway::fleet_tasks::usage_ledger::{UsageLedger, UsageStep};
use pistachiowick::names::{DaemonId, MonoTime, UnixTime, WorkspaceName};
use proptest::prelude::*;
use rstest::rstest;

/// Length of a window of the tests.
const WINDOW: Duration = Duration::from_secs(5);
/// True time when the tests' monotonic clock stands at zero.
const BEGIN_MS: u64 = 1_700_000_000_000;
/// Window that begins then.
const FIRST: u64 = BEGIN_MS / 5_000;
/// A step of a wall clock: forty minutes.
const STEP_MS: i64 = 2_400_000;

struct ClockCase {
    /// By how much each daemon's wall clock is off, the own one first, in milliseconds.
    off_ms: &'static [i64],
    /// By how much the agreed time may be off; `None` where nothing is agreed on.
    within_ms: Option<i64>,
}

// A third of the wall clocks jump by forty minutes, the own one among them or not. Windows
// are counted by the middle clock, so no request falls into another window than its own.
#[rstest]
#[case::all_right(ClockCase { off_ms: &[3, -4, 8, 0, 1], within_ms: Some(8) })]
#[case::own_ahead(ClockCase { off_ms: &[STEP_MS, -4, 8, 0, 1], within_ms: Some(8) })]
#[case::two_behind(ClockCase { off_ms: &[-STEP_MS, -4, 8, 0, 1, -STEP_MS, 2], within_ms: Some(8) })]
#[case::one_each_way(ClockCase { off_ms: &[0, STEP_MS, -STEP_MS], within_ms: Some(0) })]
#[case::too_few(ClockCase { off_ms: &[STEP_MS, 0], within_ms: None })]
fn the_middle_clock_counts(#[case] case: ClockCase) {
    let now = MonoTime(2_000);
    let wall = |off: i64| UnixTime((BEGIN_MS + now.0).saturating_add_signed(off));
    let mut clock = FleetClock::default();
    for (number, off) in case.off_ms.iter().enumerate().skip(1) {
        clock.add_sample(&DaemonId::from(format!("d{number}")), wall(*off), now);
    }
    clock.settle(wall(case.off_ms[0]), now);
    let off = clock
        .at(now)
        .map(|at| at.0 as i64 - (BEGIN_MS + now.0) as i64);
    assert_eq!(off.is_some(), case.within_ms.is_some());
    assert!(
        off.unwrap_or(0).abs() <= case.within_ms.unwrap_or(0),
        "{off:?}"
    );
}

// The own wall clock jumps after true time was agreed on, and all others fall silent, as
// on a daemon that is cut off. The monotonic clock goes on from what was agreed.
#[test]
fn what_was_agreed_outlasts_a_jump() {
    let mut clock = FleetClock::default();
    clock.adopt_time(UnixTime(BEGIN_MS), MonoTime(0));
    clock.settle(UnixTime(BEGIN_MS + 2_400_000 + 9_000), MonoTime(9_000));
    assert_eq!(clock.at(MonoTime(9_000)), Some(UnixTime(BEGIN_MS + 9_000)));
}

fn settled() -> FleetClock {
    let mut clock = FleetClock::default();
    clock.adopt_time(UnixTime(BEGIN_MS), MonoTime(0));
    clock
}

fn told(daemon: &str, cells: &[(u64, &str, u32)]) -> DaemonUsage {
    let cells = cells.iter();
    let cells = cells.map(|(window, name, n)| (*window, WorkspaceName::from(*name), *n));
    DaemonUsage {
        daemon: DaemonId::from(daemon),
        life: 1,
        cells: cells.collect(),
    }
}

fn counts(pairs: &[(&str, u32)]) -> WorkspaceCounts {
    let pairs = pairs.iter();
    pairs
        .map(|(name, n)| (WorkspaceName::from(*name), *n))
        .collect()
}

// Requests begin before true time is agreed on. They are kept by the monotonic clock and
// counted in the windows in which they began.
#[test]
fn what_began_early_is_counted_where_it_began() {
    let mut book = UsageCounts::new(WINDOW);
    let north = WorkspaceName::from("north");
    for moment in [100, 4_900, 5_100] {
        book.note_begun(&north, MonoTime(moment));
    }
    book.sort_in(&FleetClock::default(), MonoTime(6_000));
    assert_eq!(book.total(FIRST), counts(&[]));
    book.sort_in(&settled(), MonoTime(6_100));
    assert_eq!(book.total(FIRST), counts(&[("north", 2)]));
    assert_eq!(book.total(FIRST + 1), counts(&[("north", 1)]));
}

// Words between daemons are lost, doubled and cross each other. Counts so far are told,
// and all of them once a second, so the sum is right in the end, and never too high.
#[test]
fn counts_survive_lost_and_doubled_words() {
    let mut book = UsageCounts::new(WINDOW);
    book.note_heard(told("d1", &[(FIRST, "north", 3)]), true);
    book.note_heard(told("d1", &[(FIRST, "north", 5)]), true);
    book.note_heard(told("d1", &[(FIRST, "north", 3)]), true);
    book.note_heard(
        told("d2", &[(FIRST, "north", 2), (FIRST, "south", 1)]),
        false,
    );
    assert_eq!(book.total(FIRST), counts(&[("north", 7), ("south", 1)]));
    // Other hubs hear of the members' counts only.
    assert_eq!(book.take_relayed().len(), 3);
    let mut own = UsageCounts::new(WINDOW);
    own.note_begun(&WorkspaceName::from("north"), MonoTime(10));
    own.sort_in(&settled(), MonoTime(20));
    let cell = (FIRST, WorkspaceName::from("north"), 1);
    assert_eq!(own.take_news(MonoTime(30)), std::slice::from_ref(&cell));
    assert_eq!(own.take_news(MonoTime(230)), []);
    assert_eq!(own.take_news(MonoTime(1_030)), [cell]);
}

/// A platform that takes one count for a window, and a store with one ledger.
#[derive(Default)]
struct Outside {
    stored: Option<Vec<u8>>,
    version: u64,
    reports: std::collections::BTreeMap<u64, Vec<WorkspaceCounts>>,
}

/// What befalls one act of a holder.
#[derive(Clone, Copy, Debug)]
enum Mishap {
    None,
    /// The call is carried out and its answer is lost.
    AnswerLost,
    /// The call is not carried out.
    CallLost,
    /// The holder dies after the call; another one, which counted otherwise, takes over.
    HolderDies,
    /// Another holder acts in between, before this one knows.
    OtherActs,
}

fn mishaps() -> impl Strategy<Value = Vec<Mishap>> {
    let one = prop_oneof![
        4 => Just(Mishap::None),
        2 => Just(Mishap::AnswerLost),
        1 => Just(Mishap::CallLost),
        2 => Just(Mishap::HolderDies),
        1 => Just(Mishap::OtherActs),
    ];
    proptest::collection::vec(one, 1..80)
}

struct Holder {
    known: Option<(u64, UsageLedger)>,
    // Each holder heard other counts.
    heard: u32,
}

impl Holder {
    fn step(&mut self, outside: &mut Outside, newest: u64, answered: bool, carried: bool) {
        let Some((version, ledger)) = &mut self.known else {
            let stored = outside.stored.as_deref();
            let ledger = stored.map(|v| UsageLedger::decode(v).expect("a ledger"));
            self.known = Some((outside.version, ledger.unwrap_or_default()));
            return;
        };
        match ledger.next_step(newest, FIRST) {
            UsageStep::Wait => {}
            UsageStep::Record(windows) => {
                let heard = self.heard;
                let counted = windows.iter().map(|w| (*w, counts(&[("north", heard)])));
                let wanted = ledger.with(counted.collect());
                let lands = carried && *version == outside.version;
                if lands {
                    outside.stored = Some(wanted.encode());
                    outside.version += 1;
                }
                self.known = (lands && answered).then_some((outside.version, wanted));
            }
            UsageStep::Report(window) => {
                let report = ledger.windows[&window].counts.clone();
                if carried {
                    outside.reports.entry(window).or_default().push(report);
                }
                if carried && answered {
                    ledger.note_reported(window);
                }
            }
        }
    }
}

proptest! {
    // Holders die between any two acts, answers and calls are lost, and two holders act
    // at once without knowing. The platform never gets two counts for one window, and in
    // the end it has one for each.
    #[test]
    fn no_window_is_reported_with_two_counts(mishaps in mishaps()) {
        let mut outside = Outside::default();
        let mut holders = [Holder { known: None, heard: 1 }, Holder { known: None, heard: 2 }];
        let mut acting = 0;
        for (number, mishap) in mishaps.iter().enumerate() {
            let newest = FIRST + number as u64 / 8;
            let (answered, carried) = match mishap {
                Mishap::AnswerLost => (false, true),
                Mishap::CallLost => (false, false),
                _ => (true, true),
            };
            if matches!(mishap, Mishap::OtherActs) {
                holders[1 - acting].step(&mut outside, newest, true, true);
            }
            holders[acting].step(&mut outside, newest, answered, carried);
            if matches!(mishap, Mishap::HolderDies) {
                acting = 1 - acting;
                holders[acting] = Holder { known: None, heard: number as u32 + 10 };
            }
        }
        let last = FIRST + mishaps.len() as u64 / 8;
        for _ in 0..100 {
            holders[acting].step(&mut outside, last, true, true);
            // A holder whose write found another version has to read again.
        }
        for (window, reports) in &outside.reports {
            let first = &reports[0];
            prop_assert!(reports.iter().all(|r| r == first), "{window}: {reports:?}");
        }
        let reported: Vec<u64> = outside.reports.keys().copied().collect();
        prop_assert_eq!(reported, (FIRST..=last).collect::<Vec<u64>>());
    }
}

// A fleet comes back after long. Windows of which nothing is known any more are passed
// over, or a holder would report emptiness for as long as it was away.
#[test]
fn windows_of_long_ago_are_passed_over() {
    let ledger = UsageLedger::default().with(vec![(FIRST, counts(&[("north", 1)]))]);
    let mut ledger = ledger;
    ledger.note_reported(FIRST);
    let UsageStep::Record(windows) = ledger.next_step(FIRST + 500, FIRST) else {
        panic!("windows are due");
    };
    assert_eq!((windows.len(), windows.last()), (20, Some(&(FIRST + 500))));
}

// Two holders record the same window, the second with other counts. What was recorded
// first may have been sent already, so it stays.
#[test]
fn what_is_recorded_stays_as_it_is() {
    let first = UsageLedger::default().with(vec![(FIRST, counts(&[("north", 3)]))]);
    let again = first.with(vec![(FIRST, counts(&[("north", 5)]))]);
    assert_eq!(again.windows[&FIRST].counts, counts(&[("north", 3)]));
}

// More windows are open than the record keeps of those that were reported: none of them
// may go before the platform has taken its report.
#[test]
fn open_windows_are_kept_however_many() {
    let windows = (FIRST..FIRST + 15).map(|window| (window, counts(&[("north", 1)])));
    let mut ledger = UsageLedger::default().with(windows.collect());
    ledger.note_reported(FIRST);
    let ledger = ledger.with(vec![(FIRST + 15, counts(&[]))]);
    let kept: Vec<u64> = ledger.windows.keys().copied().collect();
    assert_eq!(kept, (FIRST + 1..=FIRST + 15).collect::<Vec<u64>>());
}
