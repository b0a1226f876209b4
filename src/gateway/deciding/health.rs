//! Which targets answer, learned from the requests sent to them.
//!
//! Health checks cost calls and say little: targets fail requests while their
//! check is good. What counts is what came of real sends.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::names::MonoTime;
use crate::target_incarnation::TargetIncarnation;

/// Sends without any answer in a row after which a target is avoided.
const SILENT_SENDS: u32 = 2;
/// First time to avoid a silent target; doubles up to [`LONGEST_AVOIDED`].
const FIRST_AVOIDED: Duration = Duration::from_millis(1_000);
/// Longest time to avoid a target before it is tried again.
const LONGEST_AVOIDED: Duration = Duration::from_millis(6_000);
/// Weight of the newest result in the rate of failures.
const NEW_WEIGHT: f64 = 0.12;
/// Weight of the newest time in the mean time to an answer.
const TIME_WEIGHT: f64 = 0.15;
/// Pace of a target that was not measured yet.
const FIRST_PACE: f64 = 1.0;
/// Bounds of a pace: one slow answer must not rule a target out for good.
const PACE_RANGE: (f64, f64) = (0.2, 12.0);

/// What came of a send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SendResult {
    /// A whole answer of the target's own.
    Answered,
    /// An answer that says the work failed, or that ended early.
    Failed,
    /// No answer: refused connection, reset, silence.
    Silent,
}

/// A change of what choices do with a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// It is avoided from now on.
    Avoided,
    /// It was avoided, and answers.
    Proved,
}

/// One target's record.
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

/// How a target looks to a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthView {
    /// Not to be used while another one can be.
    pub avoided: bool,
    /// Avoided before and not proved since.
    pub unproved: bool,
    /// Share of sends that failed lately.
    pub failure_rate: f64,
    /// Time taken against the time expected.
    pub pace: f64,
}

/// Records of all targets that got sends.
#[derive(Clone, Debug, Default)]
pub struct HealthTracker {
    targets: IndexMap<TargetIncarnation, TargetHealth>,
}

impl HealthTracker {
    /// Notes what came of a send; returns what it changed for choices.
    pub fn note(
        &mut self,
        target: &TargetIncarnation,
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

    /// Notes the time an answer took against what is expected of engines like it.
    pub fn note_time(&mut self, target: &TargetIncarnation, taken_ms: f64, expected_ms: f64) {
        let health = self.targets.entry(target.clone()).or_default();
        let ratio = (taken_ms / expected_ms.max(1.0)).clamp(PACE_RANGE.0, PACE_RANGE.1);
        health.pace += TIME_WEIGHT * (ratio - health.pace);
    }

    /// Shows a target to a choice.
    #[must_use]
    pub fn view(&self, target: &TargetIncarnation, now: MonoTime) -> HealthView {
        let fresh = TargetHealth::default();
        let health = self.targets.get(target).unwrap_or(&fresh);
        HealthView {
            avoided: health.avoided_until.is_some_and(|until| now < until),
            unproved: health.avoided_until.is_some(),
            failure_rate: health.failure_rate,
            pace: health.pace,
        }
    }

    /// Forgets targets for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&TargetIncarnation) -> bool) {
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
