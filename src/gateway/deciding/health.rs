//! Health of targets, learned from the outcomes of the requests sent to them.
//!
//! Health checks cost requests and say little: targets may fail requests while their
//! check passes. So only the results of real requests count. A target that is not chosen
//! because it failed or was slow has no further results, so what is known of failures and of
//! slowness loses weight with time; of failures more slowly each time that a target fails again
//! after that.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::names::MonoTime;
use crate::target_incarnation::TargetIncarnation;

/// Consecutive sends without an answer after which a target is avoided.
const SILENT_SENDS_TO_AVOID: u32 = 2;
/// Time that a target is avoided at first; doubles up to [`MAX_AVOID_TIME`].
const MIN_AVOID_TIME: Duration = Duration::from_millis(1_000);
/// Longest time that a target is avoided before it is tried again.
const MAX_AVOID_TIME: Duration = Duration::from_millis(6_000);
/// Weight of the newest result in the moving failure rate.
const FAILURE_WEIGHT: f64 = 0.12;
/// Time after its last result for which the failures of a target have their full weight.
const FULL_WEIGHT_TIME: Duration = Duration::from_millis(2_000);
/// Time in which the weight halves after that; doubles up to [`MAX_HALF_LIFE`] with each failure
/// after it, until the target answers.
const MIN_HALF_LIFE: Duration = Duration::from_millis(3_000);
const MAX_HALF_LIFE: Duration = Duration::from_millis(24_000);
/// Failure rate below which a target counts as sound once its failures lose weight.
const MIN_FAILURE_RATE: f64 = 0.02;
/// Weight down to which a target that was avoided and has not answered since is unverified.
const MIN_UNVERIFIED_WEIGHT: f64 = 0.125;
/// Weight of the newest ratio in the moving mean of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.15;
/// Time after its last measurement for which the slowdown of a target has its full weight, and
/// time in which the weight halves after that. Longer than for failures: slow answers cost callers
/// less, and a daemon among many measures each target seldom.
const FULL_SLOWDOWN_TIME: Duration = Duration::from_secs(30);
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(60);
/// Slowdown of a target without measurements.
const INITIAL_SLOWDOWN: f64 = 1.0;
/// Bounds of a measured ratio, so that one slow answer does not exclude a target for long.
const SLOWDOWN_RANGE: (f64, f64) = (0.2, 12.0);

/// Result of a send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SendResult {
    /// The target returned a complete answer.
    Answered,
    /// The answer reported a failure or was cut off.
    Failed,
    /// No answer: connection refused, connection reset or timeout.
    Silent,
}

/// A change in whether a target is avoided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// The target is avoided from now on.
    Avoided,
    /// The target was avoided and has answered again.
    Recovered,
}

/// Time of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerTime {
    /// Time that the target took, in milliseconds.
    pub taken_ms: f64,
    /// Time expected of targets of its kind, in milliseconds.
    pub expected_ms: f64,
    /// Share of the expected time that observations account for; as long as most of it is
    /// assumed, it says little about this target.
    pub observed_share: f64,
}

/// Health record of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetHealth {
    consecutive_silent: u32,
    avoided_until: Option<MonoTime>,
    next_avoid_time: Duration,
    // As of the last result.
    failure_rate: f64,
    last_result: MonoTime,
    half_life: Duration,
    // As of the last measurement.
    slowdown: f64,
    last_measured: MonoTime,
}

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            consecutive_silent: 0,
            avoided_until: None,
            next_avoid_time: MIN_AVOID_TIME,
            failure_rate: 0.0,
            last_result: MonoTime::default(),
            half_life: MIN_HALF_LIFE,
            slowdown: INITIAL_SLOWDOWN,
            last_measured: MonoTime::default(),
        }
    }
}

/// Health of a target as used for a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthView {
    /// Whether to use it only if no other target is available.
    pub avoided: bool,
    /// Whether it is or was avoided recently and has not answered since.
    pub unverified: bool,
    /// Share of recent sends that failed, less with time.
    pub failure_rate: f64,
    /// Moving mean of the measured time divided by the expected time, nearer to 1 with time.
    pub slowdown: f64,
}

/// Health of all targets that requests were sent to.
#[derive(Clone, Debug, Default)]
pub struct HealthTracker {
    targets: IndexMap<TargetIncarnation, TargetHealth>,
}

impl HealthTracker {
    /// Records the result of a send; returns whether the target is now avoided or has
    /// recovered.
    pub fn note(
        &mut self,
        target: &TargetIncarnation,
        result: SendResult,
        now: MonoTime,
    ) -> Option<HealthChange> {
        let health = self.targets.entry(target.clone()).or_default();
        health.record_failure_rate(result, now);
        match result {
            SendResult::Silent => health.record_silence(now),
            SendResult::Answered | SendResult::Failed => {
                health.consecutive_silent = 0;
                health.next_avoid_time = MIN_AVOID_TIME;
                health.avoided_until.take().map(|_| HealthChange::Recovered)
            }
        }
    }

    /// Records the time of an answer.
    pub fn note_time(&mut self, target: &TargetIncarnation, time: AnswerTime, now: MonoTime) {
        let health = self.targets.entry(target.clone()).or_default();
        let ratio = time.taken_ms / time.expected_ms.max(1.0);
        let ratio = ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        let slowdown = health.slowdown_at(now);
        health.slowdown = slowdown + SLOWDOWN_WEIGHT * time.observed_share * (ratio - slowdown);
        health.last_measured = now;
    }

    /// Returns a target's health for a choice.
    #[must_use]
    pub fn view(&self, target: &TargetIncarnation, now: MonoTime) -> HealthView {
        let unknown = TargetHealth::default();
        let health = self.targets.get(target).unwrap_or(&unknown);
        HealthView {
            avoided: health.avoided_until.is_some_and(|until| now < until),
            unverified: health.is_unverified(now),
            failure_rate: health.failure_rate_at(now),
            slowdown: health.slowdown_at(now),
        }
    }

    /// Drops what failures since `since` said about a target: they were not its own.
    pub fn forgive(&mut self, target: &TargetIncarnation, since: MonoTime) {
        let Some(health) = self.targets.get_mut(target) else {
            return;
        };
        if health.last_result < since {
            return;
        }
        *health = TargetHealth {
            slowdown: health.slowdown,
            last_measured: health.last_measured,
            ..TargetHealth::default()
        };
    }

    /// Removes targets for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&TargetIncarnation) -> bool) {
        self.targets.retain(|target, _| keep(target));
    }
}

impl TargetHealth {
    fn record_failure_rate(&mut self, result: SendResult, now: MonoTime) {
        let has_failed = result != SendResult::Answered;
        let rate = self.failure_rate_at(now);
        let fails_again = self.failure_rate > 0.0 && self.weight(now) < 1.0;
        self.half_life = match (has_failed, fails_again) {
            (false, _) => MIN_HALF_LIFE,
            (true, true) => (self.half_life * 2).min(MAX_HALF_LIFE),
            (true, false) => self.half_life,
        };
        let failed = f64::from(u8::from(has_failed));
        self.failure_rate = rate + FAILURE_WEIGHT * (failed - rate);
        self.last_result = now;
    }

    // Returns the weight of earlier failures, 0 to 1.
    fn weight(&self, now: MonoTime) -> f64 {
        let age = now.since(self.last_result);
        weight_at(age.saturating_sub(FULL_WEIGHT_TIME), self.half_life)
    }

    fn slowdown_at(&self, now: MonoTime) -> f64 {
        let age = now.since(self.last_measured);
        let weight = weight_at(age.saturating_sub(FULL_SLOWDOWN_TIME), SLOWDOWN_HALF_LIFE);
        INITIAL_SLOWDOWN + weight * (self.slowdown - INITIAL_SLOWDOWN)
    }

    fn failure_rate_at(&self, now: MonoTime) -> f64 {
        let weight = self.weight(now);
        let rate = self.failure_rate * weight;
        if weight < 1.0 && rate < MIN_FAILURE_RATE {
            return 0.0;
        }
        rate
    }

    fn is_unverified(&self, now: MonoTime) -> bool {
        self.avoided_until.is_some() && self.weight(now) > MIN_UNVERIFIED_WEIGHT
    }

    fn record_silence(&mut self, now: MonoTime) -> Option<HealthChange> {
        self.consecutive_silent += 1;
        if self.consecutive_silent < SILENT_SENDS_TO_AVOID {
            return None;
        }
        self.avoided_until = Some(now.plus(self.next_avoid_time));
        self.next_avoid_time = (self.next_avoid_time * 2).min(MAX_AVOID_TIME);
        Some(HealthChange::Avoided)
    }
}

fn weight_at(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
