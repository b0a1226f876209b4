//! Judges whether targets that limited the rate of their requests got more.

use crate::limit_book::LimitedArrival;
use crate::prove_books::RunBooks;
use crate::prove_verdict::ProveReport;

/// Time after a limit is first named from which it has to be kept.
const PROPAGATION_MS: u64 = 3_000;
/// Length of the windows in which requests are counted.
const WINDOW_MS: u64 = 4_000;
/// Multiple of what a limit allows that a window may contain, and requests in addition.
const MAX_EXCESS: f64 = 1.5;
const ALLOWANCE: f64 = 5.0;

/// Judges the requests that arrived at targets while they named limits.
pub fn judge_limits(report: &mut ProveReport, books: &RunBooks) {
    let engines = books.engines.iter();
    let engines = engines.map(|engine| (&engine.target, &engine.books.limited));
    let services = books.services.iter();
    let services = services.map(|service| (&service.target, &service.books.limited));
    for (target, arrivals) in engines.chain(services) {
        for window in arrivals.iter().enumerate() {
            judge_window(report, target, arrivals, window);
        }
    }
}

// Judges the window that begins with an arrival.
fn judge_window(
    report: &mut ProveReport,
    target: &str,
    arrivals: &[LimitedArrival],
    (number, first): (usize, &LimitedArrival),
) {
    if first.at_ms < first.named_at_ms + PROPAGATION_MS {
        return;
    }
    let same = |arrival: &&LimitedArrival| {
        arrival.named_at_ms == first.named_at_ms && arrival.at_ms < first.at_ms + WINDOW_MS
    };
    let count = arrivals[number..].iter().filter(same).count();
    let allowed = MAX_EXCESS * first.rate * WINDOW_MS as f64 / 1_000.0 + ALLOWANCE;
    report.limited_windows += 1;
    if count as f64 > allowed {
        report.over_limit += 1;
        let rate = first.rate;
        let text =
            format!("{target} got {count} requests, {allowed} are allowed by {rate} a second");
        report.find("over_limit", text);
    }
}
