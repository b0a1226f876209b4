//! Limits on the rate of requests, in virtual time.

use std::time::Duration;

use pistachiowick::names::{DaemonId, MonoTime};
use pistachiowick::target_incarnation::TargetIncarnation;
use pistachiowick::target_limits::message_delays::{MessageDelays, ReportSender};
use pistachiowick::target_limits::report::LimitReport;
use pistachiowick::target_limits::statement::{RateStatement, RequestRate};
use pistachiowick::target_limits::tracker::{LimitChange, LimitTracker, TurnOutcome, TurnTerms};
use pistachiowick::target_limits::turns::{TurnSchedule, TurnSeat};
use rstest::rstest;

fn target() -> TargetIncarnation {
    TargetIncarnation::from("t1")
}

fn at(ms: u64) -> MonoTime {
    MonoTime(ms)
}

fn limited(rate: f64) -> RateStatement {
    RateStatement::Limited(RequestRate::new(rate).expect("a rate"))
}

fn seat(index: usize, count: usize) -> Option<TurnSeat> {
    Some(TurnSeat { index, count })
}

fn take(tracker: &mut LimitTracker, seat: Option<TurnSeat>, ms: u64) -> TurnOutcome {
    tracker.take_turn(&target(), seat, TurnTerms::default(), at(ms))
}

struct StatementCase {
    values: &'static [&'static str],
    expected: fn() -> RateStatement,
}

#[rstest]
#[case::none(StatementCase { values: &[], expected: || RateStatement::Unlimited })]
#[case::decimal(StatementCase { values: &["1.3"], expected: || limited(1.3) })]
#[case::padded(StatementCase { values: &[" 2 "], expected: || limited(2.0) })]
#[case::zero(StatementCase { values: &["0"], expected: || limited(0.0) })]
#[case::huge(StatementCase { values: &["1e300"], expected: || limited(1e300) })]
#[case::two(StatementCase { values: &["4.5", "1.5"], expected: || limited(1.5) })]
#[case::two_in_one(StatementCase { values: &["1.5, 4.5"], expected: || limited(1.5) })]
#[case::one_of_two(StatementCase { values: &["soon", "4"], expected: || limited(4.0) })]
#[case::negative(StatementCase { values: &["-1"], expected: || unreadable("-1") })]
#[case::negative_zero(StatementCase { values: &["-0"], expected: || unreadable("-0") })]
#[case::no_number(StatementCase { values: &["NaN"], expected: || unreadable("NaN") })]
#[case::infinite(StatementCase { values: &["inf"], expected: || unreadable("inf") })]
#[case::overflow(StatementCase { values: &["1e999"], expected: || unreadable("1e999") })]
#[case::empty(StatementCase { values: &[""], expected: || unreadable("") })]
#[case::text(StatementCase { values: &["two"], expected: || unreadable("two") })]
fn statements_are_read_from_headers(#[case] case: StatementCase) {
    let statement = RateStatement::parse(case.values.iter().copied());
    assert_eq!(statement, (case.expected)());
}

fn unreadable(value: &str) -> RateStatement {
    RateStatement::Unreadable(value.to_owned())
}

// An answer with the times at which its request was sent and it arrived.
struct AnswerStep {
    statement: fn() -> RateStatement,
    sent: u64,
    arrived: u64,
    change: Option<fn() -> LimitChange>,
}

const NAMED: AnswerStep = AnswerStep {
    statement: || limited(1.3),
    sent: 100,
    arrived: 200,
    change: Some(|| started(1.3)),
};
const UNNAMED: AnswerStep = AnswerStep {
    statement: || RateStatement::Unlimited,
    sent: 300,
    arrived: 400,
    change: Some(|| LimitChange::Ended),
};

fn started(rate: f64) -> LimitChange {
    LimitChange::Started(RequestRate::new(rate).expect("a rate"))
}

fn changed(rate: f64) -> LimitChange {
    LimitChange::Changed(RequestRate::new(rate).expect("a rate"))
}

#[rstest]
#[case::ends_with_a_later_answer(&[NAMED, UNNAMED])]
#[case::late_answer_to_an_earlier_send(&[NAMED, AnswerStep { sent: 50, arrived: 900, change: None, ..UNNAMED }])]
#[case::sent_before_the_limit_was_known(&[NAMED, AnswerStep { sent: 150, change: None, ..UNNAMED }])]
#[case::named_by_an_earlier_send(&[
    AnswerStep { sent: 150, arrived: 180, change: None, ..UNNAMED },
    NAMED,
])]
#[case::named_again(&[NAMED, UNNAMED, AnswerStep { sent: 500, arrived: 600, ..NAMED }])]
#[case::changed(&[NAMED, AnswerStep { statement: || limited(4.0), sent: 300, arrived: 400, change: Some(|| changed(4.0)) }])]
#[case::repeated(&[NAMED, AnswerStep { sent: 300, arrived: 400, change: None, ..NAMED }])]
#[case::unreadable_is_reported_once(&[
    AnswerStep { statement: || unreadable("x"), change: Some(|| LimitChange::Unreadable), ..NAMED },
    AnswerStep { statement: || unreadable("x"), change: None, ..NAMED },
])]
#[case::unreadable_changes_nothing(&[
    NAMED,
    AnswerStep { statement: || unreadable("x"), sent: 300, arrived: 400, change: Some(|| LimitChange::Unreadable) },
    AnswerStep { sent: 500, arrived: 600, ..UNNAMED },
])]
fn a_limit_lasts_as_long_as_answers_name_it(#[case] steps: &[AnswerStep]) {
    let mut tracker = LimitTracker::default();
    for (number, step) in steps.iter().enumerate() {
        let statement = (step.statement)();
        let change = tracker.note_answer(&target(), &statement, at(step.sent), at(step.arrived));
        assert_eq!(change, step.change.map(|change| change()), "step {number}");
    }
}

// Guards against a restarted target that is kept to the limit of its previous incarnation.
#[test]
fn a_new_incarnation_begins_without_a_limit() {
    let mut tracker = LimitTracker::default();
    tracker.note_answer(&target(), &limited(1.0), at(0), at(10));
    let next = TargetIncarnation::from("t2");
    let outcome = tracker.take_turn(&next, seat(0, 8), TurnTerms::default(), at(20));
    assert_eq!(outcome, TurnOutcome::NotNeeded);
    tracker.sweep(|known| *known == next, |_| true, at(30));
    assert_eq!(tracker.count(), 0);
}

fn apply(
    tracker: &mut LimitTracker,
    reports: &[LimitReport],
    clock: u64,
    now: u64,
) -> Option<LimitChange> {
    let sender = ReportSender {
        daemon: &DaemonId::from("peer"),
        incarnation: 1,
        clock: at(clock),
    };
    let changes = tracker.apply_message(sender, reports, at(now));
    changes.first().map(|(_, change)| *change)
}

struct ReportCase {
    // Age of the statement in the report, relative to the local one made at 1,000 ms.
    rate: Option<f64>,
    stated_at: f64,
    delay_ms: u64,
    change: Option<LimitChange>,
}

const REPORTED_AT: u64 = 2_000;

// Guards against old reports of peers that start, end or change a limit.
#[rstest]
#[case::newer_end(ReportCase { rate: None, stated_at: 1_100.0, delay_ms: 0, change: Some(LimitChange::Ended) })]
#[case::older_end(ReportCase { rate: None, stated_at: 900.0, delay_ms: 0, change: None })]
#[case::delayed_end(ReportCase { rate: None, stated_at: 1_100.0, delay_ms: 500, change: None })]
#[case::newer_rate(ReportCase { rate: Some(4.0), stated_at: 1_100.0, delay_ms: 0, change: Some(changed(4.0)) })]
#[case::older_rate(ReportCase { rate: Some(4.0), stated_at: 900.0, delay_ms: 0, change: None })]
#[case::delayed_rate(ReportCase { rate: Some(4.0), stated_at: 1_100.0, delay_ms: 500, change: None })]
fn the_newest_statement_counts(#[case] case: ReportCase) {
    let mut tracker = LimitTracker::default();
    tracker.note_answer(&target(), &limited(1.3), at(950), at(1_000));
    let age = REPORTED_AT as f64 - case.stated_at;
    let report = LimitReport {
        target: target(),
        rate: case.rate.and_then(RequestRate::new),
        origin_age_ms: age,
        stated_age_ms: age,
    };
    // The first message shows how far the clocks are apart.
    apply(&mut tracker, &[], 5_000, 1_500);
    let clock = REPORTED_AT + 3_500 - case.delay_ms;
    let change = apply(&mut tracker, &[report], clock, REPORTED_AT);
    assert_eq!(change, case.change);
}

// Guards against a limit that ended and is started again by a peer that does not know its end.
#[test]
fn an_older_report_does_not_start_an_ended_limit() {
    let mut tracker = LimitTracker::default();
    tracker.note_answer(&target(), &limited(1.3), at(950), at(1_000));
    tracker.note_answer(&target(), &RateStatement::Unlimited, at(1_100), at(1_200));
    let mut report = LimitReport {
        target: target(),
        rate: RequestRate::new(1.3),
        origin_age_ms: 1_000.0,
        stated_age_ms: 950.0,
    };
    let change = apply(&mut tracker, std::slice::from_ref(&report), 2_000, 2_000);
    assert_eq!(change, None);
    report.stated_age_ms = 800.0;
    let change = apply(&mut tracker, std::slice::from_ref(&report), 2_000, 2_000);
    assert_eq!(change, Some(started(1.3)));
}

// Guards against a message that waited for seconds and looks as if it had just been sent.
#[test]
fn the_delay_of_a_message_shows_in_its_senders_clock() {
    let peer = DaemonId::from("peer");
    let mut delays = MessageDelays::default();
    let mut record = |incarnation, clock, now| {
        let sender = ReportSender {
            daemon: &peer,
            incarnation,
            clock: at(clock),
        };
        let delay = delays.record(sender, at(now));
        delay.map(|delay| delay.as_millis())
    };
    assert_eq!(record(1, 1_000, 51_000), None);
    assert_eq!(record(1, 1_200, 51_210), Some(10));
    assert_eq!(record(1, 1_400, 56_400), Some(5_000));
    assert_eq!(record(1, 6_600, 56_595), Some(0));
    assert_eq!(record(1, 6_800, 56_800), Some(5));
    // A restarted daemon has another clock.
    assert_eq!(record(2, 100, 57_000), None);
}

// Guards against a daemon that takes a turn twice, or one that has expired.
#[test]
fn a_turn_is_used_once_and_expires() {
    let mut tracker = LimitTracker::default();
    tracker.note_answer(&target(), &limited(1.0), at(0), at(1_000));
    // Two daemons; this one's turns begin at 3,000, 5,000, 7,000. The request whose answer
    // named the limit used the one at 1,000.
    let own = seat(0, 2);
    let denied = TurnOutcome::Denied;
    let steps = [
        (1_000, denied),
        (2_999, denied),
        (3_000, taken(0)),
        (3_400, denied),
        (5_900, taken(0)),
        (5_950, denied),
        (8_100, denied),
    ];
    for (ms, expected) in steps {
        assert_eq!(take(&mut tracker, own, ms), expected, "at {ms}");
    }
    assert_eq!(take(&mut tracker, None, 9_100), denied);
}

struct TermsCase {
    kept_ms: u64,
    max_wait_ms: u64,
    now: u64,
    expected: TurnOutcome,
}

// This daemon's turn begins at 3,000.
#[rstest]
#[case::in_time(TermsCase { kept_ms: 0, max_wait_ms: 300, now: 2_800, expected: taken(200) })]
#[case::too_long(TermsCase { kept_ms: 0, max_wait_ms: 100, now: 2_800, expected: TurnOutcome::Denied })]
#[case::kept_for_urgent(TermsCase { kept_ms: 200, max_wait_ms: 100, now: 3_050, expected: TurnOutcome::Denied })]
#[case::waits_behind_urgent(TermsCase { kept_ms: 200, max_wait_ms: 300, now: 3_050, expected: taken(150) })]
#[case::no_longer_kept(TermsCase { kept_ms: 200, max_wait_ms: 0, now: 3_300, expected: taken(0) })]
fn terms_decide_when_a_turn_is_used(#[case] case: TermsCase) {
    let mut tracker = LimitTracker::default();
    tracker.note_answer(&target(), &limited(1.0), at(0), at(1_000));
    let terms = TurnTerms {
        kept_for_urgent: Duration::from_millis(case.kept_ms),
        max_wait: Duration::from_millis(case.max_wait_ms),
    };
    let outcome = tracker.take_turn(&target(), seat(0, 2), terms, at(case.now));
    assert_eq!(outcome, case.expected);
}

fn taken(wait_ms: u64) -> TurnOutcome {
    TurnOutcome::Taken(Duration::from_millis(wait_ms))
}

// Guards against refused callers that all come back at the same moment.
#[rstest]
#[case::few(8, 1.3)]
#[case::many(300, 1.3)]
#[case::stopped(8, 0.0)]
fn refused_callers_come_back_at_different_times(#[case] daemons: usize, #[case] rate: f64) {
    let mut tracker = LimitTracker::default();
    tracker.note_answer(&target(), &limited(rate), at(0), at(1_000));
    let waits = (0..20).map(|_| {
        let targets = [target()];
        let wait = tracker.retry_after(targets.iter(), seat(3, daemons), at(2_000));
        wait.expect("a time to come back").as_millis()
    });
    let mut waits: Vec<u128> = waits.collect();
    assert!(waits.iter().all(|wait| *wait <= 10_000), "{waits:?}");
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() >= 5, "{waits:?}");
    let none = tracker.retry_after([].iter(), seat(3, daemons), at(2_000));
    assert_eq!(none, None);
}

// Guards against gaps and overlaps of the daemons' turns.
#[rstest]
#[case(1, 1.3)]
#[case(8, 1.3)]
#[case(69, 0.4)]
#[case(300, 50.0)]
fn each_turn_has_one_owner(#[case] daemons: usize, #[case] rate: f64) {
    let rate = RequestRate::new(rate).expect("a rate");
    let interval = 1_000.0 / rate.per_second();
    let mut starts: Vec<f64> = (0..daemons)
        .flat_map(|index| {
            let own = TurnSeat {
                index,
                count: daemons,
            };
            let schedule = TurnSchedule::new(rate, -5_000.0, own);
            let first = schedule.first_from(0.0);
            let second = schedule.first_from(first + interval / 2.0);
            assert!((second - first - interval * daemons as f64).abs() < 1e-3);
            [first, second]
        })
        .collect();
    starts.sort_by(f64::total_cmp);
    for pair in starts.windows(2) {
        assert!((pair[1] - pair[0] - interval).abs() < 1e-3, "{pair:?}");
    }
}
