//! Health of targets, learned from the outcomes of the requests sent to them.
//!
//! Health checks cost requests and say little: targets may fail requests while their
//! check passes. So only the results of real requests count.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::names::MonoTime;
use crate::target_life::TargetLife;

/// Consecutive sends without an answer after which a target is avoided.
const SILENT_SENDS: u32 = 2;
/// Time that a target is avoided at first; doubles up to [`LONGEST_AVOIDED`].
const FIRST_AVOIDED: Duration = Duration::from_millis(1_000);
/// Longest time that a target is avoided before it is tried again.
const LONGEST_AVOIDED: Duration = Duration::from_millis(6_000);
/// Weight of the newest result in the moving failure rate.
const NEW_WEIGHT: f64 = 0.12;
/// Weight of the newest ratio in the moving mean of the slowdown.
const TIME_WEIGHT: f64 = 0.15;
/// Slowdown of a target without measurements.
const FIRST_PACE: f64 = 1.0;
/// Bounds of a measured ratio, so that one slow answer does not exclude a target for long.
const PACE_RANGE: (f64, f64) = (0.2, 12.0);

/// Result of a send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SendResult {
    /// The target returned a complete answer.
    Answered,
    /// The answer reported a failure or was cut off.
    Failed,
    /// No answer: connection refused, connection reset or time-out.
    Silent,
}

/// A change in whether a target is avoided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// The target is avoided from now on.
    Avoided,
    /// The target was avoided and has answered again.
    Proved,
}

/// Health record of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetHealth {
    silent_in_row: u32,
    avoided_until: Option<MonoTime>,
    avoid_next: Duration,
    failure_rate: f64,
    pace: f64,
}

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            silent_in_row: 0,
            avoided_until: None,
            avoid_next: FIRST_AVOIDED,
            failure_rate: 0.0,
            pace: FIRST_PACE,
        }
    }
}

/// Health of a target as used for a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthView {
    /// Whether to use it only if no other target is available.
    pub avoided: bool,
    /// Whether it was avoided and has not answered since.
    pub unproved: bool,
    /// Share of recent sends that failed.
    pub failure_rate: f64,
    /// Moving mean of the measured time divided by the expected time.
    pub pace: f64,
}

/// Health of all targets that requests were sent to.
#[derive(Clone, Debug, Default)]
pub struct HealthBook {
    targets: IndexMap<TargetLife, TargetHealth>,
}

impl HealthBook {
    /// Records the result of a send; returns whether the target is now avoided or has
    /// recovered.
    pub fn note(
        &mut self,
        target: &TargetLife,
        result: SendResult,
        now: MonoTime,
    ) -> Option<HealthChange> {
        let health = self.targets.entry(target.clone()).or_default();
        let failed = f64::from(u8::from(result != SendResult::Answered));
        health.failure_rate += NEW_WEIGHT * (failed - health.failure_rate);
        match result {
            SendResult::Silent => health.note_silence(now),
            SendResult::Answered | SendResult::Failed => {
                health.silent_in_row = 0;
                health.avoid_next = FIRST_AVOIDED;
                health.avoided_until.take().map(|_| HealthChange::Proved)
            }
        }
    }

    /// Records the time of an answer and the time expected of engines of its kind.
    pub fn note_time(&mut self, target: &TargetLife, taken_ms: f64, expected_ms: f64) {
        let health = self.targets.entry(target.clone()).or_default();
        let ratio = (taken_ms / expected_ms.max(1.0)).clamp(PACE_RANGE.0, PACE_RANGE.1);
        health.pace += TIME_WEIGHT * (ratio - health.pace);
    }

    /// Returns a target's health for a choice.
    #[must_use]
    pub fn view(&self, target: &TargetLife, now: MonoTime) -> HealthView {
        let fresh = TargetHealth::default();
        let health = self.targets.get(target).unwrap_or(&fresh);
        HealthView {
            avoided: health.avoided_until.is_some_and(|until| now < until),
            unproved: health.avoided_until.is_some(),
            failure_rate: health.failure_rate,
            pace: health.pace,
        }
    }

    /// Removes targets for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&TargetLife) -> bool) {
        self.targets.retain(|target, _| keep(target));
    }
}

impl TargetHealth {
    fn note_silence(&mut self, now: MonoTime) -> Option<HealthChange> {
        self.silent_in_row += 1;
        if self.silent_in_row < SILENT_SENDS {
            return None;
        }
        self.avoided_until = Some(now.plus(self.avoid_next));
        self.avoid_next = (self.avoid_next * 2).min(LONGEST_AVOIDED);
        Some(HealthChange::Avoided)
    }
}
