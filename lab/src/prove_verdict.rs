//! Compares what callers and operators were told with what the stand-ins did.

use std::fmt::Display;

use indexmap::{IndexMap, IndexSet};
use pistachiowick::pb::RecordState;
use serde::Serialize;

use crate::engine_books::{EngineBooks, OrderBook};
use crate::load_tally::RequestEnd;
use crate::prove_audit::is_behind;
use crate::prove_books::{
    AskBook, AskEnd, ChangeEnd, RequestBook, RequestKind, RunBooks, TargetBook,
};
use crate::prove_leaving::judge_leaving;
use crate::prove_limits::judge_limits;
use crate::prove_setup::ProveOptions;

/// Time by which a caller may notice the kill of a daemon before it is booked.
const KILL_SLACK_MS: u64 = 1_000;

/// What a run comes to: one line of JSON.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ProveReport {
    /// Seed.
    pub seed: u64,
    /// Length of the load.
    pub seconds: f64,
    /// Whether daemons were processes of their own.
    pub processes: bool,
    /// Faults carried out, by kind.
    pub faults: IndexMap<&'static str, u32>,
    /// Requests.
    pub requests: u64,
    /// Of those, requests that may not be repeated.
    pub keyed: u64,
    /// Requests by their last outcome.
    #[serde(flatten)]
    pub ends: EndCounts,
    /// Asks, resumes and submissions together.
    pub asks: u64,
    /// Asks that resumed by a token.
    pub resumes: u64,
    /// Asks that a daemon rejected.
    pub rejected: u64,
    /// Keys that ran more than once, and answers with bytes or finals twice.
    pub doubled: u64,
    /// Answers with wrong bytes, or told of a key that never ran.
    pub wrong: u64,
    /// Answers passed as whole with bytes missing.
    pub short: u64,
    /// "Not run" told of work that ran.
    pub false_not_run: u64,
    /// Answers of daemons that were not killed, whose record does not say so.
    pub lost_records: u64,
    /// Requests said to be stopped by a cancel and answered all the same; not a failure.
    pub stopped_yet_answered: u64,
    /// Orders received by engines.
    pub orders: u64,
    /// Orders obeyed against a newer one, or while another one was carried out.
    pub conflicting_orders: u64,
    /// Orders with an old fence obeyed by engines that do not check; not a failure.
    pub old_fences_obeyed: u64,
    /// Work sent to targets long after they were told to leave or drained.
    pub late_new_work: u64,
    /// Of the late work, what came while some daemon could not read the instance list for
    /// so long that less than the grace was left to it. A failure like the rest.
    pub late_while_blind: u64,
    /// Windows in which targets that limit the rate of their requests got more.
    pub over_limit: u64,
    /// Windows that could show it.
    pub limited_windows: u64,
    /// Operators' changes accepted.
    pub changes: u64,
    /// Configuration that went back, accepted changes lost or not in force.
    pub config_reverts: u64,
    /// Answers that only a planned change or stop can have cut.
    pub cut_by_planned_change: u64,
    /// Requests without a final outcome.
    pub hung: u64,
    /// Time from the end of all faults to full service.
    pub recovery_ms: Option<u64>,
    /// Things left over at the end.
    pub leaks: u64,
    /// Invariant violations counted by daemons.
    pub violations: u64,
    /// Panics within this process.
    pub panics: u64,
    /// What was found, for people.
    #[serde(skip)]
    pub findings: Vec<String>,
}

/// Requests by their last outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct EndCounts {
    /// Answered.
    pub answered: u64,
    /// Refused as not run.
    pub refused_not_run: u64,
    /// Outcome unknown.
    pub unknown: u64,
    /// Expired.
    pub expired: u64,
    /// Cancelled.
    pub cancelled: u64,
}

impl ProveReport {
    /// Tells whether every promise held.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let broken = [
            self.doubled,
            self.wrong,
            self.short,
            self.false_not_run,
            self.lost_records,
            self.conflicting_orders,
            self.late_new_work,
            self.over_limit,
            self.config_reverts,
            self.cut_by_planned_change,
            self.hung,
            self.leaks,
            self.violations,
            self.panics,
        ];
        broken.iter().all(|count| *count == 0) && self.recovery_ms.is_some()
    }

    pub(crate) fn find(&mut self, kind: &str, text: impl Display) {
        self.findings.push(format!("{kind}: {text}"));
    }
}

/// What the targets ran, by request.
struct RunIndex {
    /// Ids of the requests whose calls ran, by key; one entry for each run.
    calls: IndexMap<String, Vec<String>>,
    /// Ids of the requests whose streams started, by prompt; one entry for each.
    streams: IndexMap<u64, Vec<String>>,
}

impl RunIndex {
    fn new(books: &RunBooks) -> Self {
        let mut calls: IndexMap<String, Vec<String>> = IndexMap::new();
        for run in books.services.iter().flat_map(|s| &s.books.run_log) {
            let ids = calls.entry(run.key.clone()).or_default();
            ids.push(run.request_id.to_string());
        }
        let mut streams: IndexMap<u64, Vec<String>> = IndexMap::new();
        for stream in books.engines.iter().flat_map(|e| e.books.streams.values()) {
            let ids = streams.entry(stream.prompt_digest).or_default();
            ids.push(stream.request_id.clone());
        }
        Self { calls, streams }
    }

    fn runs_of(&self, request: &RequestBook) -> &[String] {
        let found = match request.kind {
            RequestKind::KeyedCall => {
                let key = format!("{}/{}", request.workspace, request.name);
                self.calls.get(&key)
            }
            RequestKind::KeyedStream | RequestKind::Stream => {
                self.streams.get(&request.prompt_digest)
            }
        };
        found.map_or(&[], Vec::as_slice)
    }
}

/// Judges a run.
#[must_use]
pub fn judge(options: &ProveOptions, books: &RunBooks) -> ProveReport {
    let mut report = ProveReport {
        seed: options.seed,
        seconds: options.seconds,
        processes: options.daemon_program.is_some(),
        faults: books.faults.clone(),
        recovery_ms: books.recovery_ms,
        panics: books.panics,
        ..ProveReport::default()
    };
    let index = RunIndex::new(books);
    for request in &books.requests {
        count_request(&mut report, request);
        judge_runs(&mut report, request, index.runs_of(request));
        judge_asks(&mut report, request, books);
    }
    for engine in &books.engines {
        judge_orders(&mut report, engine);
    }
    tell_reasons(&mut report, books);
    judge_leaving(&mut report, options, books);
    judge_limits(&mut report, books);
    judge_config(&mut report, books);
    report.leaks = books.leaks.len() as u64;
    for leak in &books.leaks {
        report.find("leak", leak);
    }
    let own: u64 = books.lives.iter().map(|life| life.violations).sum();
    report.violations = books.violations + own;
    report
}

/// Tells people why outcomes were unknown, the most frequent reason first.
fn tell_reasons(report: &mut ProveReport, books: &RunBooks) {
    let mut counts: IndexMap<&str, u32> = IndexMap::new();
    let asks = books.requests.iter().flat_map(|request| &request.asks);
    for ask in asks.filter(|ask| ask.end == AskEnd::Final(RequestEnd::Unknown)) {
        *counts.entry(&ask.reason).or_default() += 1;
    }
    counts.sort_by(|_, a, _, b| b.cmp(a));
    for (reason, count) in counts {
        report.find("unknown", format!("{count} times: {reason}"));
    }
}

fn count_request(report: &mut ProveReport, request: &RequestBook) {
    report.requests += 1;
    report.keyed += u64::from(request.kind.is_keyed());
    report.asks += request.asks.len() as u64;
    let resumes = request.asks.iter().filter(|ask| ask.is_resume).count();
    report.resumes += resumes as u64;
    let count = match request.end {
        Some(RequestEnd::Answered) => &mut report.ends.answered,
        Some(RequestEnd::Refused) => &mut report.ends.refused_not_run,
        Some(RequestEnd::Unknown) => &mut report.ends.unknown,
        Some(RequestEnd::Expired) => &mut report.ends.expired,
        Some(RequestEnd::Cancelled) => &mut report.ends.cancelled,
        Some(RequestEnd::Lost) | None => &mut report.hung,
    };
    *count += 1;
    if matches!(request.end, Some(RequestEnd::Lost) | None) {
        let reached = request
            .asks
            .iter()
            .filter(|ask| ask.end != AskEnd::Unreached);
        let asks: Vec<String> = reached.map(describe).collect();
        let text = format!("{} ({:?}): {}", request.name, request.kind, asks.join("; "));
        report.find("hung", text);
    }
}

fn describe(ask: &AskBook) -> String {
    let span = ask.ended_at_ms - ask.sent_at_ms;
    let how = if ask.is_resume { "resume" } else { "submit" };
    let (end, id) = (&ask.end, &ask.request_id);
    let (address, at) = (&ask.address, ask.sent_at_ms);
    format!("{how} {id} at {address} from {at} for {span} ms: {end:?}")
}

fn judge_runs(report: &mut ProveReport, request: &RequestBook, runs: &[String]) {
    let name = &request.name;
    if request.kind.is_keyed() && runs.len() > 1 {
        report.doubled += 1;
        report.find("doubled", format!("{name} ran as {runs:?}"));
    }
    let answered = request.asks.iter().any(is_answered);
    if request.kind.is_keyed() && answered && runs.is_empty() {
        report.wrong += 1;
        report.find("wrong", format!("{name} was answered and never ran"));
    }
    for ask in &request.asks {
        if ask.end == AskEnd::Final(RequestEnd::Refused) && is_false(request, ask, runs) {
            report.false_not_run += 1;
            let told = format!("{name} was told {:?} and ran as {runs:?}", ask.reason);
            report.find("false_not_run", told);
        }
    }
    let closed = request
        .records
        .iter()
        .any(|r| r.state == RecordState::NotRun);
    if closed && !runs.is_empty() {
        report.false_not_run += 1;
        let told = format!("the record of {name} says not run, and it ran as {runs:?}");
        report.find("false_not_run", told);
    }
}

/// Tells whether "not run" was false.
///
/// Each run is told apart by the id under which a daemon accepted the ask. For a key
/// that was sent before, "not run" is said of the key and not of the ask alone, so
/// that any run makes it false. For a first submission a run counts that no other
/// ask can have caused.
fn is_false(request: &RequestBook, refused: &AskBook, runs: &[String]) -> bool {
    if !refused.request_id.is_empty() && runs.contains(&refused.request_id) {
        return true;
    }
    if !request.kind.is_keyed() || runs.is_empty() {
        return false;
    }
    if !refused.first_submission {
        return true;
    }
    let others = request
        .asks
        .iter()
        .filter(|ask| !std::ptr::eq(*ask, refused));
    let ids: IndexSet<&str> = others.map(|ask| ask.request_id.as_str()).collect();
    let explains = |run: &String| ids.contains(run.as_str()) || ids.contains("");
    !runs.iter().all(explains)
}

fn is_answered(ask: &AskBook) -> bool {
    ask.end == AskEnd::Final(RequestEnd::Answered)
}

fn judge_asks(report: &mut ProveReport, request: &RequestBook, books: &RunBooks) {
    let name = &request.name;
    for ask in &request.asks {
        if ask.is_wrong {
            report.wrong += 1;
            report.find("wrong", format!("{name} at {}: {:?}", ask.address, ask.end));
        }
        if ask.is_short {
            report.short += 1;
            report.find(
                "short",
                format!("{name} at {}: {}", ask.address, ask.reason),
            );
        }
        if ask.is_doubled {
            report.doubled += 1;
            report.find("doubled", format!("bytes of {name} at {}", ask.address));
        }
        if let AskEnd::Rejected(text) = &ask.end {
            report.rejected += 1;
            report.find("rejected", format!("{name}: {}: {text}", describe(ask)));
        }
        if ask.end == AskEnd::Broken && !ask.request_id.is_empty() && is_cut(ask, books) {
            report.cut_by_planned_change += 1;
            let life = books.lives.iter().find(|life| life.address == ask.address);
            let text = format!("{name}: {}, nobody killed {life:?}", describe(ask));
            report.find("cut_by_planned_change", text);
        }
    }
    judge_record(report, request, books);
    if request.records.iter().any(|record| !record.is_right) {
        report.wrong += 1;
        report.find("wrong", format!("the record of {name}"));
    }
}

/// An answer that a daemon gave out of its own call must be in the record, unless the
/// daemon was killed before it could write it.
fn judge_record(report: &mut ProveReport, request: &RequestBook, books: &RunBooks) {
    let killed = |address: &str| {
        let life = books.lives.iter().find(|life| life.address == address);
        life.is_none_or(|life| life.killed_at_ms.is_some())
    };
    let answers = request.asks.iter().filter(|ask| is_answered(ask));
    let mut lasting = answers.filter(|ask| !ask.is_resume && !killed(&ask.address));
    let closing = request.records.iter().rfind(|record| record.settled);
    if let (Some(ask), Some(record)) = (lasting.next_back(), closing)
        && record.state != RecordState::Answered
    {
        report.lost_records += 1;
        let life = books.lives.iter().find(|life| life.address == ask.address);
        let told = format!("{}: {}", request.name, describe(ask));
        report.find(
            "lost_records",
            format!("{told}, recorded {record:?}, {life:?}"),
        );
    }
    let answered_at = request.asks.iter().filter(|ask| is_answered(ask));
    let answered_at = answered_at.map(|ask| ask.ended_at_ms).max();
    if let (Some(stopped), Some(answered)) = (request.stopped_at_ms, answered_at)
        && answered > stopped
    {
        report.stopped_yet_answered += 1;
    }
}

/// Tells whether an accepted stream broke at a daemon that was not killed.
fn is_cut(ask: &AskBook, books: &RunBooks) -> bool {
    let life = books.lives.iter().find(|life| life.address == ask.address);
    let killed_at = life.and_then(|life| life.killed_at_ms);
    killed_at.is_none_or(|at| ask.ended_at_ms + KILL_SLACK_MS < at)
}

fn judge_orders(report: &mut ProveReport, engine: &TargetBook<EngineBooks>) {
    let books = &engine.books;
    report.orders += books.orders.len() as u64;
    report.cut_by_planned_change += books.cut_by_change;
    if !engine.checks_fence {
        report.old_fences_obeyed += books.old_fences_obeyed;
    }
    let mut contents: IndexMap<&str, &OrderBook> = IndexMap::new();
    for order in &books.orders {
        let first = *contents.entry(&order.id).or_insert(order);
        let same = first.role == order.role && first.models == order.models;
        let is_old = engine.checks_fence && order.fence < order.highest_before;
        let crosses = order
            .outstanding
            .as_ref()
            .is_some_and(|mark| mark.id != order.id && order.fence <= mark.fence);
        if order.obeyed && (is_old || crosses || !same) {
            report.conflicting_orders += 1;
            report.find(
                "conflicting_orders",
                format!("{}: {order:?}", engine.target),
            );
        }
    }
}

fn judge_config(report: &mut ProveReport, books: &RunBooks) {
    for revert in &books.reverts {
        report.config_reverts += 1;
        report.find("config_reverts", revert);
    }
    let mut bases = IndexSet::new();
    let mut newest = IndexMap::new();
    for change in &books.changes {
        let ChangeEnd::Accepted(revision) = change.end else {
            continue;
        };
        report.changes += 1;
        if !bases.insert((change.item.as_str(), change.based_on)) {
            report.config_reverts += 1;
            let text = format!(
                "two changes of {} were based on {}",
                change.item, change.based_on
            );
            report.find("config_reverts", text);
        }
        newest.insert((change.item.as_str(), revision), change.mark);
    }
    for (daemon, items) in &books.shown {
        if is_behind(items, &books.changes) {
            report.config_reverts += 1;
            report.find(
                "config_reverts",
                format!("{daemon} lacks an accepted change: {items:?}"),
            );
        }
        for (item, shown) in items {
            let accepted = newest.get(&(item.as_str(), shown.revision));
            if accepted.is_some_and(|mark| *mark != shown.mark) {
                report.config_reverts += 1;
                report.find(
                    "config_reverts",
                    format!("{daemon} shows {item} as {shown:?}"),
                );
            }
        }
    }
}
