//! Statements of targets about departures and backoffs: how they are read, and how backoffs are kept,
//! in virtual time.

use std::time::Duration;

use pistachiowick::names::{MonoTime, UnixTime};
use pistachiowick::target_incarnation::TargetIncarnation;
use pistachiowick::target_statements::backoff::{BackoffStatement, MAX_BACKOFF};
use pistachiowick::target_statements::backoff_tracker::{
    BackoffOutcome, BackoffTracker, resume_spacing,
};
use pistachiowick::target_statements::departure::DepartureStatement;
use rstest::rstest;

struct DepartureCase {
    values: &'static [&'static str],
    statement: DepartureStatement,
}

fn unreadable_departure(value: &str) -> DepartureStatement {
    DepartureStatement::Unreadable(value.to_owned())
}

// Guards against targets that are shut out for a value that states no departure, and against
// departures that are missed.
#[rstest]
#[case::absent(DepartureCase { values: &[], statement: DepartureStatement::Staying })]
#[case::leaving(DepartureCase { values: &["1"], statement: DepartureStatement::Leaving })]
#[case::spaces(DepartureCase { values: &[" 1 "], statement: DepartureStatement::Leaving })]
#[case::staying(DepartureCase { values: &["0"], statement: DepartureStatement::Staying })]
#[case::empty(DepartureCase { values: &[""], statement: unreadable_departure("") })]
#[case::other(DepartureCase { values: &["soon"], statement: unreadable_departure("soon") })]
#[case::twice(DepartureCase { values: &["0", "1"], statement: DepartureStatement::Leaving })]
#[case::listed(DepartureCase { values: &["x, 1"], statement: DepartureStatement::Leaving })]
fn how_a_departure_is_read(#[case] case: DepartureCase) {
    let statement = DepartureStatement::parse(case.values.iter().copied());
    assert_eq!(statement, case.statement);
}

struct BackoffCase {
    values: &'static [&'static str],
    statement: BackoffStatement,
}

fn requested(ms: u64) -> BackoffStatement {
    BackoffStatement::Requested(Duration::from_millis(ms))
}

fn unreadable_backoff(value: &str) -> BackoffStatement {
    BackoffStatement::Unreadable(value.to_owned())
}

// Guards against targets that are shut out for good, or sent requests, for a value that is no
// time in seconds.
#[rstest]
#[case::absent(BackoffCase { values: &[], statement: BackoffStatement::None })]
#[case::whole(BackoffCase { values: &["3"], statement: requested(3_000) })]
#[case::fraction(BackoffCase { values: &["0.25"], statement: requested(250) })]
#[case::zero(BackoffCase { values: &["0"], statement: BackoffStatement::None })]
#[case::negative(BackoffCase { values: &["-3"], statement: unreadable_backoff("-3") })]
#[case::infinite(BackoffCase { values: &["inf"], statement: unreadable_backoff("inf") })]
#[case::not_a_number(BackoffCase { values: &["NaN"], statement: unreadable_backoff("NaN") })]
#[case::empty(BackoffCase { values: &[""], statement: unreadable_backoff("") })]
#[case::date(BackoffCase {
    values: &["Fri, 31 Dec 1999 23:59:59 GMT"],
    statement: unreadable_backoff("Fri, 31 Dec 1999 23:59:59 GMT"),
})]
#[case::days(BackoffCase { values: &["864000"], statement: BackoffStatement::Requested(MAX_BACKOFF) })]
#[case::huge(BackoffCase { values: &["1e300"], statement: BackoffStatement::Requested(MAX_BACKOFF) })]
#[case::twice(BackoffCase { values: &["3", "1"], statement: requested(3_000) })]
#[case::one_unreadable(BackoffCase { values: &["soon", "1"], statement: requested(1_000) })]
fn how_a_backoff_is_read(#[case] case: BackoffCase) {
    let statement = BackoffStatement::parse(case.values.iter().copied(), Duration::from_secs(1));
    assert_eq!(statement, case.statement);
}

fn target() -> TargetIncarnation {
    TargetIncarnation::from("a")
}

fn backoff_until_3000() -> BackoffTracker {
    let mut tracker = BackoffTracker::default();
    assert!(tracker.note_refusal(&target(), Duration::from_millis(3_000), MonoTime(0)));
    tracker
}

struct KeptCase {
    // Times of later refusals and their backoffs, in milliseconds.
    refusals: &'static [(u64, u64)],
    now: u64,
    is_kept: bool,
}

// Guards against a backoff that a later refusal, or the end of another backoff, makes shorter.
#[rstest]
#[case::begins_at_once(KeptCase { refusals: &[], now: 0, is_kept: true })]
#[case::to_its_end(KeptCase { refusals: &[], now: 3_000, is_kept: true })]
#[case::no_longer(KeptCase { refusals: &[], now: 3_002, is_kept: false })]
#[case::shorter_one_later(KeptCase { refusals: &[(100, 500)], now: 2_999, is_kept: true })]
#[case::longer_one_later(KeptCase { refusals: &[(100, 5_000)], now: 5_000, is_kept: true })]
#[case::again_after_the_end(KeptCase { refusals: &[(3_100, 1_000)], now: 4_000, is_kept: true })]
fn how_long_a_backoff_is_kept(#[case] case: KeptCase) {
    let mut tracker = backoff_until_3000();
    for (at, backoff) in case.refusals {
        tracker.note_refusal(&target(), Duration::from_millis(*backoff), MonoTime(*at));
    }
    assert_eq!(
        tracker.is_backing_off(&target(), MonoTime(case.now)),
        case.is_kept
    );
    let outcome = tracker.take_send(
        &target(),
        (Duration::ZERO, Duration::ZERO),
        MonoTime(case.now),
    );
    assert_eq!(outcome == BackoffOutcome::Denied, case.is_kept);
}

// Guards against a backoff that another incarnation of the target inherits.
#[test]
fn a_backoff_ends_with_its_incarnation() {
    let mut tracker = BackoffTracker::default();
    let [first, next] = [1, 2].map(|at| TargetIncarnation::new("a".into(), Some(UnixTime(at))));
    tracker.note_refusal(&first, Duration::from_millis(3_000), MonoTime(0));
    assert!(tracker.is_backing_off(&first, MonoTime(10)));
    assert!(!tracker.is_backing_off(&next, MonoTime(10)));
}

// Guards against requests that arrive all at once when a backoff ends, in fleets of several sizes.
#[rstest]
#[case::small(8)]
#[case::medium(69)]
#[case::large(300)]
fn sends_resume_gradually(#[case] daemons: usize) {
    const SLOTS: u32 = 64;
    let spacing = resume_spacing(SLOTS, daemons);
    let mut sends: Vec<u64> = Vec::new();
    for _ in 0..daemons {
        let mut tracker = backoff_until_3000();
        // Each daemon has more requests than that, which came during the backoff.
        for _ in 0..50 {
            let max_wait = Duration::from_millis(900);
            let outcome = tracker.take_send(&target(), (max_wait, spacing), MonoTime(2_500));
            if let BackoffOutcome::After(wait) = outcome {
                sends.push(2_500 + wait.as_millis() as u64);
            }
        }
        let over = MonoTime(4_002);
        let outcome = tracker.take_send(&target(), (Duration::ZERO, spacing), over);
        assert_eq!(outcome, BackoffOutcome::Open);
    }
    assert!(sends.iter().all(|at| *at >= 3_000));
    let first = sends.iter().filter(|at| **at < 3_100).count();
    assert!(first >= daemons, "{first} in the first 100 ms");
    assert!(
        first <= daemons + SLOTS as usize / 5,
        "{first} in the first 100 ms"
    );
}

// Guards against a request that waits longer than sends are spaced, behind others that wait.
#[test]
fn spacing_ends_soon_after_a_backoff() {
    let mut tracker = backoff_until_3000();
    let spacing = Duration::from_millis(400);
    for _ in 0..20 {
        tracker.take_send(&target(), (Duration::MAX, spacing), MonoTime(2_900));
    }
    let wait = tracker.wait(&target(), MonoTime(3_500)).expect("a wait");
    assert!(wait <= Duration::from_millis(501), "{wait:?}");
}

// Guards against spacing that a late refusal with an earlier end undoes.
#[test]
fn a_late_refusal_keeps_the_spacing() {
    let mut tracker = backoff_until_3000();
    let terms = (Duration::from_secs(1), Duration::from_millis(400));
    tracker.take_send(&target(), terms, MonoTime(2_900));
    tracker.note_refusal(&target(), Duration::from_millis(50), MonoTime(2_910));
    let wait = tracker.wait(&target(), MonoTime(2_920)).expect("a wait");
    assert!(wait >= Duration::from_millis(400), "{wait:?}");
}

// Guards against refused callers that come back during the backoff, or all at the same time.
#[test]
fn refused_callers_come_back_after_the_rest_at_different_times() {
    let mut tracker = backoff_until_3000();
    let targets = [target()];
    let waits = (0..20).map(|_| {
        let wait = tracker.retry_after(targets.iter(), |_| false, MonoTime(1_000));
        wait.expect("a time").as_millis()
    });
    let mut waits: Vec<u128> = waits.collect();
    assert!(
        waits.iter().all(|wait| (2_000..3_002).contains(wait)),
        "{waits:?}"
    );
    waits.sort_unstable();
    waits.dedup();
    assert_eq!(waits.len(), 20);
}

// Guards against a refusal for a backoff where another target could serve the request.
#[test]
fn callers_are_not_refused_while_another_target_serves() {
    let mut tracker = backoff_until_3000();
    let targets = [target(), TargetIncarnation::from("b")];
    let now = MonoTime(1_000);
    assert_eq!(tracker.retry_after(targets.iter(), |_| false, now), None);
    let limited = tracker.retry_after(targets.iter(), |id| id.as_str() == "b", now);
    assert!(limited.is_some());
}

// Guards against backoffs that are remembered for good.
#[test]
fn ended_backoffs_are_dropped() {
    let mut tracker = backoff_until_3000();
    assert_eq!(tracker.count(MonoTime(2_999)), 1);
    assert!(tracker.remove_ended(MonoTime(3_500)).is_empty());
    assert_eq!(tracker.remove_ended(MonoTime(4_100)), [target()]);
    assert!(tracker.is_empty());
}
