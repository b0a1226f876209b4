//! Judges when targets that leave, or are drained, received their last new work.

use crate::prove_books::{BlindBook, RunBooks};
use crate::prove_setup::ProveOptions;
use crate::prove_verdict::ProveReport;

/// Judges new work at targets that were told to leave or drained.
pub fn judge_leaving(report: &mut ProveReport, options: &ProveOptions, books: &RunBooks) {
    let grace = options.leave_grace.as_millis() as u64;
    for engine in &books.engines {
        let after = &engine.books.starts_after_leave;
        judge_late(
            report,
            books,
            grace,
            (&engine.target, engine.books.left_at_ms),
            after,
        );
    }
    for service in &books.services {
        let after = &service.books.calls_after_leave;
        judge_late(
            report,
            books,
            grace,
            (&service.target, service.books.left_at_ms),
            after,
        );
    }
    for hold in &books.holds {
        let of_target = books.engines.iter().filter(|e| e.target == hold.target);
        let streams = of_target.flat_map(|e| e.books.streams.values());
        let drained = hold.from_ms + grace..hold.until_ms;
        for stream in streams.filter(|s| drained.contains(&s.started_at_ms)) {
            report.late_new_work += 1;
            let after = stream.started_at_ms - hold.from_ms;
            let text = format!(
                "drained {} got {} after {after} ms",
                hold.target, stream.request_id
            );
            report.find("late_new_work", text);
        }
    }
}

fn judge_late(
    report: &mut ProveReport,
    books: &RunBooks,
    grace: u64,
    (target, left_at): (&str, Option<u64>),
    after: &[u64],
) {
    for late in after.iter().copied().filter(|after| *after > grace) {
        let blind = left_at.map_or(0, |told| blind_ms(&books.blind, told, told + late));
        // The promise knows no exception. The count only tells, of the failures, how many
        // fell into an outage; any daemon's outage, since the books do not say who sent.
        report.late_while_blind += u64::from(late - blind <= grace);
        report.late_new_work += 1;
        let text =
            format!("{target} got work {late} ms after it was told to leave, {blind} ms blind");
        report.find("late_new_work", text);
    }
}

/// Returns how much of a span some daemon was blind in; overlaps count once.
fn blind_ms(blind: &[BlindBook], from: u64, until: u64) -> u64 {
    let mut spans: Vec<(u64, u64)> = blind
        .iter()
        .map(|span| (span.from_ms.max(from), span.until_ms.min(until)))
        .filter(|(begin, end)| begin < end)
        .collect();
    spans.sort_unstable();
    let mut reached = from;
    let mut sum = 0;
    for (begin, end) in spans {
        sum += end.saturating_sub(begin.max(reached));
        reached = reached.max(end);
    }
    sum
}
