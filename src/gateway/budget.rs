//! The fleet's retry budget for each service, of which each daemon enforces its own share.
//!
//! A daemon may retry a fraction of the requests that it received, plus its share of a
//! fixed allowance. No daemon's share depends on what another one does, so the sum over
//! all daemons stays within the fleet's budget without communication, even during a
//! network partition.
//!
//! The sum covers all processes of a daemon and all lists of daemons that were valid within
//! a window. A process holds no share of the allowance during its first window, since its
//! predecessor's retries still count, and the allowance is divided by the longest list of
//! the last window.

use std::time::Duration;

use indexmap::IndexMap;

use crate::names::{MonoTime, ServiceName};

/// Number of spans that a window is divided into. One more is kept, so that any window that
/// begins within a span is covered completely.
const SPANS: u64 = 10;
/// Share of the fleet's budget that is used, since the daemons' windows are not aligned
/// and not all retries of callers' connections are seen.
const BUDGET_SHARE_USED: f64 = 0.7;

/// Limits on the fleet's retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRule {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window in addition to the ratio, for all daemons together.
    pub allowance: f64,
    /// Length of a window.
    pub window: Duration,
}

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryCause {
    /// The target states that it did not run the request.
    Refused,
    /// The request was sent and may have run.
    Unclear,
    /// It arrived at another target, or at an engine in another stage.
    Misdirected,
    /// An engine did not prefill the prompt.
    FailedPrefill,
    /// A prompt that an engine has prefilled is prefilled by another one.
    SecondPrefill,
    /// The decode engine could not import the KV cache and prefills the prompt itself.
    RefusedTransfer,
    /// Another engine resumes a stream.
    ResumedStream,
}

impl RetryCause {
    /// Returns the name of the cause in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unclear => "unclear",
            Self::Misdirected => "misdirected",
            Self::FailedPrefill => "failed_prefill",
            Self::SecondPrefill => "second_prefill",
            Self::RefusedTransfer => "refused_transfer",
            Self::ResumedStream => "resumed_stream",
        }
    }
}

#[derive(Clone, Debug, Default)]
struct SpanCounts {
    // Counts by span number: the time divided by the length of a span.
    requests: IndexMap<u64, u32>,
    retries: IndexMap<u64, u32>,
}

/// Retry budget of one daemon, by service.
#[derive(Clone, Debug)]
pub struct RetryLimiter {
    rule: BudgetRule,
    started: MonoTime,
    // Number of daemons as last noted; `None` while this process is not among them.
    fleet_size: Option<usize>,
    // Largest number of daemons by span.
    fleet_sizes: IndexMap<u64, usize>,
    services: IndexMap<ServiceName, SpanCounts>,
}

impl RetryLimiter {
    /// Creates the budget of a process that was started at `started`.
    #[must_use]
    pub fn new(rule: BudgetRule, started: MonoTime) -> Self {
        Self {
            rule,
            started,
            fleet_size: None,
            fleet_sizes: IndexMap::new(),
            services: IndexMap::new(),
        }
    }

    /// Sets the limits from `now` on. Counts by spans of another length say nothing about the
    /// new window, so a change of the window is a start.
    pub fn set_rule(&mut self, rule: BudgetRule, now: MonoTime) {
        if rule.window != self.rule.window {
            *self = Self::new(rule, now);
        }
        self.rule = rule;
    }

    /// Records the number of daemons that share the allowance, this one included; `None` while
    /// the list of daemons does not contain this process. To be called at least once per window
    /// and before a retry is taken.
    pub fn note_fleet(&mut self, size: Option<usize>, now: MonoTime) {
        self.fleet_size = size;
        let span = self.span(now);
        let largest = self.fleet_sizes.entry(span).or_default();
        *largest = size.unwrap_or(0).max(*largest);
        self.fleet_sizes.retain(|at, _| *at + SPANS >= span);
    }

    /// Returns this daemon's share of the allowance, in retries per window.
    #[must_use]
    pub fn share(&self, now: MonoTime) -> f64 {
        let is_settled = now.since(self.started) >= self.rule.window;
        match self.fleet_size {
            Some(size) if is_settled => {
                let largest = self.fleet_sizes.values().copied().max().unwrap_or(0);
                self.rule.allowance / largest.max(size).max(1) as f64
            }
            _ => 0.0,
        }
    }

    /// Records a caller's request for a service.
    pub fn note_request(&mut self, service: &ServiceName, now: MonoTime) {
        let span = self.span(now);
        let counts = self.services.entry(service.clone()).or_default();
        *counts.requests.entry(span).or_default() += 1;
        counts.requests.retain(|at, _| *at + SPANS >= span);
    }

    /// Takes one retry from the budget and returns true, unless this daemon's part of it is
    /// used up.
    #[must_use]
    pub fn spend(&mut self, service: &ServiceName, now: MonoTime) -> bool {
        let span = self.span(now);
        let share = self.share(now);
        let ratio = self.rule.ratio;
        let counts = self.services.entry(service.clone()).or_default();
        counts.retries.retain(|at, _| *at + SPANS >= span);
        counts.requests.retain(|at, _| *at + SPANS >= span);
        let requests: u32 = counts.requests.values().sum();
        let retries: u32 = counts.retries.values().sum();
        let limit = BUDGET_SHARE_USED * (ratio * f64::from(requests) + share);
        if f64::from(retries) + 1.0 > limit {
            return false;
        }
        *counts.retries.entry(span).or_default() += 1;
        true
    }

    fn span(&self, now: MonoTime) -> u64 {
        let length = (self.rule.window.as_millis() as u64 / SPANS).max(1);
        now.0 / length
    }
}
