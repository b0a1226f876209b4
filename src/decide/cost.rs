//! Cost estimates: engine speeds by role and answer lengths, corrected by observation.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::names::{ClassName, TargetId, WorkspaceName};
use crate::targets::wire::EngineRole;

/// Weight of a new observation in the learned averages.
const LEARNING_RATE: f64 = 0.05;
/// Weight of a new load report in the share of time spent on prefill.
const PREFILL_TIME_RATE: f64 = 0.2;
/// Bounds of a learned correction, so that one outlier cannot stop all placement.
const CORRECTION_RANGE: (f64, f64) = (0.2, 5.0);
/// Share of the maximum output expected before a class has been observed.
const DEFAULT_OUTPUT_SHARE: f64 = 0.7;
/// Maximum number of pairs of workspace and class kept; the one added first is evicted.
const MAX_CLASSES: usize = 20_000;

/// Initial estimates of an engine's speed, which observations correct.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SpeedSettings {
    /// Prompt tokens a mixed engine prefills per second.
    pub prefill_tokens_per_s: f64,
    /// Milliseconds per output token of a single stream.
    pub token_base_ms: f64,
    /// Milliseconds that each stream adds to a step once the batch takes longer than a
    /// single stream's step.
    pub token_per_stream_ms: f64,
    /// Milliseconds of a step in which a mixed engine also prefills prompts; each stream
    /// gains one token in that time.
    pub prefill_step_ms: f64,
    /// Prefill speed of prefill engines relative to mixed ones.
    pub prefill_role_prefill: f64,
    /// Decode speed of prefill engines relative to mixed ones.
    pub prefill_role_decode: f64,
    /// Prefill speed of decode engines relative to mixed ones.
    pub decode_role_prefill: f64,
    /// Decode speed of decode engines relative to mixed ones.
    pub decode_role_decode: f64,
}

impl Default for SpeedSettings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 8_000.0,
            token_base_ms: 10.0,
            token_per_stream_ms: 0.6,
            prefill_step_ms: 64.0,
            prefill_role_prefill: 1.8,
            prefill_role_decode: 0.35,
            decode_role_prefill: 0.45,
            decode_role_decode: 1.6,
        }
    }
}

/// Speeds of a role relative to a mixed engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleSpeed {
    /// Prefill speed.
    pub prefill: f64,
    /// Decode speed.
    pub decode: f64,
}

impl SpeedSettings {
    /// Returns the speeds of a role relative to a mixed engine.
    #[must_use]
    pub fn role_speed(&self, role: EngineRole) -> RoleSpeed {
        match role {
            EngineRole::Mixed => RoleSpeed {
                prefill: 1.0,
                decode: 1.0,
            },
            EngineRole::Prefill => RoleSpeed {
                prefill: self.prefill_role_prefill,
                decode: self.prefill_role_decode,
            },
            EngineRole::Decode => RoleSpeed {
                prefill: self.decode_role_prefill,
                decode: self.decode_role_decode,
            },
        }
    }
}

/// Correction factors of one engine: 1 is as fast as expected, 2 is twice as slow.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SpeedCorrection {
    prefill: f64,
    decode: f64,
}

impl Default for SpeedCorrection {
    fn default() -> Self {
        Self {
            prefill: 1.0,
            decode: 1.0,
        }
    }
}

/// Expected times, from the settings and from observations.
#[derive(Clone, Debug)]
pub struct CostModel {
    speeds: SpeedSettings,
    corrections: IndexMap<TargetId, SpeedCorrection>,
    prefill_time_shares: IndexMap<TargetId, f64>,
    output_shares: IndexMap<(WorkspaceName, ClassName), f64>,
}

impl CostModel {
    /// Creates a model without observations.
    #[must_use]
    pub fn new(speeds: SpeedSettings) -> Self {
        Self {
            speeds,
            corrections: IndexMap::new(),
            prefill_time_shares: IndexMap::new(),
            output_shares: IndexMap::new(),
        }
    }

    /// Returns the seconds an engine takes to prefill `tokens` prompt tokens.
    #[must_use]
    pub fn prefill_seconds(&self, target: &TargetId, role: EngineRole, tokens: f64) -> f64 {
        let rate = self.speeds.prefill_tokens_per_s * self.speeds.role_speed(role).prefill;
        tokens / rate * self.correction(target).prefill
    }

    /// Returns the seconds between output tokens of a stream that runs beside `others` other
    /// streams.
    #[must_use]
    pub fn token_gap_seconds(&self, target: &TargetId, role: EngineRole, others: f64) -> f64 {
        let batch_ms = (others + 1.0) * self.speeds.token_per_stream_ms;
        let gap_ms = batch_ms.max(self.speeds.token_base_ms);
        gap_ms / 1_000.0 / self.speeds.role_speed(role).decode * self.correction(target).decode
    }

    /// Returns the seconds between output tokens while the engine also prefills prompts.
    #[must_use]
    pub fn prefill_token_gap_seconds(
        &self,
        target: &TargetId,
        role: EngineRole,
        others: f64,
    ) -> f64 {
        let step_s = self.speeds.prefill_step_ms / 1_000.0;
        let prefill_step_s = step_s / self.speeds.role_speed(role).prefill;
        prefill_step_s.max(self.token_gap_seconds(target, role, others))
    }

    /// Returns the seconds of a step in which a mixed engine also prefills prompts.
    #[must_use]
    pub fn prefill_step_seconds(&self) -> f64 {
        self.speeds.prefill_step_ms / 1_000.0
    }

    /// Returns the engine-seconds of a mixed engine that work uses up.
    #[must_use]
    pub fn engine_seconds(&self, prefill_tokens: f64, output_tokens: f64) -> f64 {
        let prefill = prefill_tokens / self.speeds.prefill_tokens_per_s;
        let decode = output_tokens * self.speeds.token_per_stream_ms / 1_000.0;
        prefill + decode
    }

    /// Returns the expected number of output tokens of a request.
    #[must_use]
    pub fn expected_output(
        &self,
        workspace: &WorkspaceName,
        class: &ClassName,
        max_output_tokens: u32,
    ) -> f64 {
        let share = self
            .output_shares
            .get(&(workspace.clone(), class.clone()))
            .copied()
            .unwrap_or(DEFAULT_OUTPUT_SHARE);
        (share * f64::from(max_output_tokens)).max(1.0)
    }

    /// Records whether an engine was prefilling prompts at the time of a load report.
    pub fn observe_prefill_activity(&mut self, target: &TargetId, is_prefilling: bool) {
        let observed = f64::from(u8::from(is_prefilling));
        let share = self
            .prefill_time_shares
            .entry(target.clone())
            .or_insert(observed);
        *share += PREFILL_TIME_RATE * (observed - *share);
    }

    /// Returns the share of time in which an engine prefills prompts.
    #[must_use]
    pub fn prefill_time_share(&self, target: &TargetId) -> f64 {
        self.prefill_time_shares.get(target).copied().unwrap_or(0.0)
    }

    /// Learns from the length of a complete answer.
    pub fn observe_output(
        &mut self,
        workspace: &WorkspaceName,
        class: &ClassName,
        tokens: u32,
        max_output_tokens: u32,
    ) {
        if max_output_tokens == 0 {
            return;
        }
        if self.output_shares.len() >= MAX_CLASSES {
            self.output_shares.shift_remove_index(0);
        }
        let observed = f64::from(tokens) / f64::from(max_output_tokens);
        let share = self
            .output_shares
            .entry((workspace.clone(), class.clone()))
            .or_insert(observed);
        *share += LEARNING_RATE * (observed - *share);
    }

    /// Learns from a first token expected after `expected` seconds and received after
    /// `actual`.
    pub fn observe_prefill(&mut self, target: &TargetId, expected: f64, actual: f64) {
        let correction = self.corrections.entry(target.clone()).or_default();
        correction.prefill = updated_factor(correction.prefill, expected, actual);
    }

    /// Learns from a mean gap between tokens of `actual` seconds instead of `expected`.
    pub fn observe_token_gap(&mut self, target: &TargetId, expected: f64, actual: f64) {
        let correction = self.corrections.entry(target.clone()).or_default();
        correction.decode = updated_factor(correction.decode, expected, actual);
    }

    /// Drops what was learned of targets that are no longer in the fleet.
    pub fn retain_targets(&mut self, known: impl Fn(&TargetId) -> bool) {
        self.corrections.retain(|target, _| known(target));
        self.prefill_time_shares.retain(|target, _| known(target));
    }

    fn correction(&self, target: &TargetId) -> SpeedCorrection {
        self.corrections.get(target).copied().unwrap_or_default()
    }
}

fn updated_factor(factor: f64, expected: f64, actual: f64) -> f64 {
    if expected <= 0.0 || !actual.is_finite() {
        return factor;
    }
    let ratio = (actual / expected).clamp(0.25, 4.0);
    let (low, high) = CORRECTION_RANGE;
    (factor * (1.0 + LEARNING_RATE * (ratio - 1.0))).clamp(low, high)
}
