//! Statements of targets about departures and backoffs: how they are read.

use std::time::Duration;

use pistachiowick::target_statements::backoff::{BackoffStatement, MAX_BACKOFF};
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
