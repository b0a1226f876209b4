//! Moving window over request phases that selects which requests are admitted.
//!
//! Each request has a phase from 0 to 1. The window's leading edge moves over all phases once
//! per period, and a request is admitted while the window covers its phase. The position
//! depends on fleet time only, so daemons with the same information admit the same share
//! without communicating, and the time at which a phase is reached is known in advance.

use std::time::Duration;

use crate::names::UnixTime;

/// Shortest period of a window.
const MIN_PERIOD: Duration = Duration::from_millis(300);
/// Longest period of a window.
const MAX_PERIOD: Duration = Duration::from_secs(2);
/// A third of the caller's time: a refused caller is told to return within it.
const TIME_LEFT_DIVISOR: u32 = 3;
/// Shortest retry time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time after the leading edge at which a caller is told to return: the clocks of two daemons
/// may be 50 ms apart.
const CLOCK_MARGIN_MS: f64 = 50.0;

/// Moving window at one moment of fleet time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionWindow {
    fleet_time: UnixTime,
    period: Duration,
}

impl AdmissionWindow {
    /// Returns the window of a rank whose callers wait for at least `shortest_time_left`. All
    /// daemons must use the same value, so it comes from the configuration, not from a request.
    #[must_use]
    pub fn new(fleet_time: UnixTime, shortest_time_left: Duration) -> Self {
        let period = shortest_time_left / TIME_LEFT_DIVISOR;
        Self {
            fleet_time,
            period: period.clamp(MIN_PERIOD, MAX_PERIOD),
        }
    }

    /// Returns the time in which the window moves over all phases.
    #[must_use]
    pub fn period(&self) -> Duration {
        self.period
    }

    /// Returns whether a window of width `share` covers a phase.
    #[must_use]
    pub fn covers(&self, phase: f64, share: f64) -> bool {
        share >= 1.0 || self.since_reached(phase, 0.0) < share
    }

    /// Returns the time after which a window of width `share` covers a phase, at least
    /// `earliest_ms` from now, and from 50 ms to a third of `time_left`.
    #[must_use]
    pub fn retry_after(
        &self,
        phase: f64,
        share: f64,
        earliest_ms: f64,
        time_left: Duration,
    ) -> Duration {
        let period_ms = millis_of(self.period);
        let min_ms = millis_of(MIN_RETRY_AFTER);
        let max_ms = (millis_of(time_left) / f64::from(TIME_LEFT_DIVISOR)).max(min_ms);
        let covered_ms = share * period_ms;
        let margin_ms = CLOCK_MARGIN_MS.min(covered_ms / 2.0);
        let earliest_ms = earliest_ms.clamp(0.0, max_ms);
        let until_reached = (1.0 - self.since_reached(phase, earliest_ms)).fract();
        let mut retry_ms = earliest_ms + until_reached * period_ms + margin_ms;
        if retry_ms > max_ms && retry_ms - period_ms >= min_ms {
            retry_ms -= period_ms;
        }
        if retry_ms < min_ms && retry_ms - margin_ms + covered_ms < min_ms {
            retry_ms += period_ms;
        }
        Duration::from_secs_f64(retry_ms.clamp(min_ms, max_ms) / 1_000.0)
    }

    // Returns the part of a period since the leading edge reached a phase, after `later_ms`.
    fn since_reached(&self, phase: f64, later_ms: f64) -> f64 {
        let period_ms = millis_of(self.period);
        // Reduced as integers first: a double of milliseconds since 1970 loses precision.
        let into_period = self.fleet_time.0 % self.period.as_millis().max(1) as u64;
        let position = (into_period as f64 + later_ms) / period_ms;
        (position - phase).rem_euclid(1.0)
    }
}

pub(super) fn millis_of(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
