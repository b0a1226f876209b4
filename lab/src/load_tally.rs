//! What the load generator counts.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest latency that the histograms hold, in microseconds.
const LONGEST_US: u64 = 3_600_000_000;

/// Digits of precision of the histograms.
const DIGITS: u8 = 3;

/// How one request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// Answered.
    Answered,
    /// Cancelled.
    Cancelled,
    /// Expired.
    Expired,
    /// No final answer came.
    Lost,
    /// Refused as not run.
    Refused,
    /// Outcome unknown.
    Unknown,
}

/// What a client saw of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestReport {
    /// How it ended.
    pub end: RequestEnd,
    /// Whether bytes differed from the expected ones.
    pub is_wrong: bool,
    /// Whether it was passed as whole with bytes missing.
    pub is_short: bool,
    /// Whether bytes or finals came twice.
    pub is_doubled: bool,
    /// Resumes needed.
    pub resumes: u32,
    /// Time to the first byte.
    pub first: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Deadline.
    pub deadline: Duration,
}

/// Counts of one run.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct LoadCounts {
    /// Requests submitted.
    pub submitted: u64,
    /// Answered, whole and right or not.
    pub answered: u64,
    /// Refused as not run.
    pub refused_not_run: u64,
    /// Outcome unknown.
    pub unknown: u64,
    /// Cancelled.
    pub cancelled: u64,
    /// Expired.
    pub expired: u64,
    /// Without a final answer.
    pub lost: u64,
    /// With wrong bytes.
    pub wrong: u64,
    /// Passed as whole and short.
    pub short: u64,
    /// With bytes or finals twice.
    pub doubled: u64,
    /// Answered whole, right and within the deadline.
    pub in_deadline: u64,
    /// Resumes.
    pub resumes: u64,
    /// Requests not sent, since too many were open.
    pub not_sent: u64,
}

/// Counts and latencies of one run.
#[derive(Clone, Debug)]
pub struct LoadTally {
    /// Counts.
    pub counts: LoadCounts,
    /// Time to the first byte, in microseconds.
    pub first_us: Histogram<u64>,
    /// Time to the end of answered requests, in microseconds.
    pub total_us: Histogram<u64>,
}

/// Summary that is printed.
#[derive(Clone, Debug, Serialize)]
pub struct LoadSummary {
    /// Counts.
    #[serde(flatten)]
    pub counts: LoadCounts,
    /// Share of submitted requests answered within their deadline.
    pub goodput: f64,
    /// Median time to the first byte.
    pub first_p50_ms: f64,
    /// 99th percentile of it.
    pub first_p99_ms: f64,
    /// Median time to the end.
    pub total_p50_ms: f64,
    /// 99th percentile of it.
    pub total_p99_ms: f64,
}

impl Default for LoadTally {
    fn default() -> Self {
        let empty = Histogram::new_with_max(LONGEST_US, DIGITS).expect("constant bounds are valid");
        Self {
            counts: LoadCounts::default(),
            first_us: empty.clone(),
            total_us: empty,
        }
    }
}

impl LoadTally {
    /// Adds one request.
    pub fn add(&mut self, report: &RequestReport) {
        let counts = &mut self.counts;
        counts.submitted += 1;
        let count = match report.end {
            RequestEnd::Answered => &mut counts.answered,
            RequestEnd::Cancelled => &mut counts.cancelled,
            RequestEnd::Expired => &mut counts.expired,
            RequestEnd::Lost => &mut counts.lost,
            RequestEnd::Refused => &mut counts.refused_not_run,
            RequestEnd::Unknown => &mut counts.unknown,
        };
        *count += 1;
        counts.wrong += u64::from(report.is_wrong);
        counts.short += u64::from(report.is_short);
        counts.doubled += u64::from(report.is_doubled);
        counts.resumes += u64::from(report.resumes);
        let is_clean = !(report.is_wrong || report.is_short || report.is_doubled);
        if report.end != RequestEnd::Answered {
            return;
        }
        counts.in_deadline += u64::from(is_clean && report.total <= report.deadline);
        if let Some(first) = report.first {
            self.first_us.saturating_record(micros(first));
        }
        self.total_us.saturating_record(micros(report.total));
    }

    /// Adds another run's tally.
    pub fn merge(&mut self, other: &Self) {
        let counts = &mut self.counts;
        let added = &other.counts;
        counts.submitted += added.submitted;
        counts.answered += added.answered;
        counts.refused_not_run += added.refused_not_run;
        counts.unknown += added.unknown;
        counts.cancelled += added.cancelled;
        counts.expired += added.expired;
        counts.lost += added.lost;
        counts.wrong += added.wrong;
        counts.short += added.short;
        counts.doubled += added.doubled;
        counts.in_deadline += added.in_deadline;
        counts.resumes += added.resumes;
        counts.not_sent += added.not_sent;
        self.first_us += &other.first_us;
        self.total_us += &other.total_us;
    }

    /// Returns the summary.
    #[must_use]
    pub fn summary(&self) -> LoadSummary {
        let submitted = self.counts.submitted.max(1);
        LoadSummary {
            counts: self.counts.clone(),
            goodput: self.counts.in_deadline as f64 / submitted as f64,
            first_p50_ms: quantile_ms(&self.first_us, 0.5),
            first_p99_ms: quantile_ms(&self.first_us, 0.99),
            total_p50_ms: quantile_ms(&self.total_us, 0.5),
            total_p99_ms: quantile_ms(&self.total_us, 0.99),
        }
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
