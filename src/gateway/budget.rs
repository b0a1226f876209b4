//! The fleet's budget of repeated sends, kept by each daemon for its own share.
//!
//! A repeat is allowed as a share of the requests seen here, plus this daemon's
//! part of a fixed allowance. The sum over all daemons stays within the fleet's
//! budget without any message between them, also when they are cut off from
//! each other, because no daemon's part hangs on what another one does.

use std::time::Duration;

use indexmap::IndexMap;

use crate::names::{MonoTime, ServiceName};

/// Spans that a window is divided into; one more is kept, so that a window that
/// lies across two spans is covered whole.
const SPANS: u64 = 10;
/// Part of the fleet's budget that is used, as the daemons' windows do not begin
/// together and repeats of callers' connections are not all seen.
const USED_SHARE: f64 = 0.7;

/// What the fleet may repeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRule {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats per window beside the ratio, for all daemons together.
    pub allowance: f64,
    /// Length of a window.
    pub window: Duration,
}

#[derive(Clone, Debug, Default)]
struct SpanCounts {
    // Counts by the number of the span.
    requests: IndexMap<u64, u32>,
    repeats: IndexMap<u64, u32>,
}

/// Repeats of one daemon, by service.
#[derive(Clone, Debug)]
pub struct RetryLimiter {
    rule: BudgetRule,
    services: IndexMap<ServiceName, SpanCounts>,
}

impl RetryLimiter {
    /// Creates a budget under `rule`.
    #[must_use]
    pub fn new(rule: BudgetRule) -> Self {
        Self {
            rule,
            services: IndexMap::new(),
        }
    }

    /// Sets what the fleet may repeat from now on.
    pub fn set_rule(&mut self, rule: BudgetRule) {
        self.rule = rule;
    }

    /// Notes a caller's request for a service.
    pub fn note_request(&mut self, service: &ServiceName, now: MonoTime) {
        let span = self.span(now);
        let counts = self.services.entry(service.clone()).or_default();
        *counts.requests.entry(span).or_default() += 1;
        counts.requests.retain(|at, _| *at + SPANS >= span);
    }

    /// Takes one repeat, if the share of one of `daemons` daemons has one left.
    #[must_use]
    pub fn spend(&mut self, service: &ServiceName, daemons: usize, now: MonoTime) -> bool {
        let span = self.span(now);
        let part = self.rule.allowance / daemons.max(1) as f64;
        let ratio = self.rule.ratio;
        let counts = self.services.entry(service.clone()).or_default();
        counts.repeats.retain(|at, _| *at + SPANS >= span);
        let requests: u32 = counts.requests.values().sum();
        let repeats: u32 = counts.repeats.values().sum();
        let most = USED_SHARE * (ratio * f64::from(requests) + part);
        if f64::from(repeats) + 1.0 > most {
            return false;
        }
        *counts.repeats.entry(span).or_default() += 1;
        true
    }

    fn span(&self, now: MonoTime) -> u64 {
        let length = (self.rule.window.as_millis() as u64 / SPANS).max(1);
        now.0 / length
    }
}
