//! Options and faults of the engine stand-in.

use std::time::Duration;

use pistachiowick::names::TargetId;
use pistachiowick::targets::wire::EngineRole;
use serde::{Deserialize, Serialize};

use crate::statement_book::StandInStatement;

/// How the stand-in is set up. Times and rates are those of the engine that it
/// stands for; `time_scale` makes all of them faster together.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// IP number and port to listen at; port 0 for any.
    pub address: String,
    /// Name that the engine reports.
    pub target: TargetId,
    /// Role at the start.
    pub role: EngineRole,
    /// Models loaded at the start.
    pub models: Vec<String>,
    /// Version of its software; empty to state none.
    pub software: String,
    /// Whether orders with an old fence are refused.
    pub checks_fence: bool,
    /// Whether a crash makes the engine forget the highest fence.
    pub forgets_fence: bool,
    /// Shortest step.
    pub min_step_ms: f64,
    /// Prompt tokens read a second in the mixed role.
    pub prefill_tokens_per_second: f64,
    /// Added to a step by each stream that generates, in the mixed role.
    pub decode_ms_per_stream: f64,
    /// Prompt tokens read in one step, at most.
    pub chunk_tokens: u32,
    /// Streams in the batch, at most.
    pub max_batch: usize,
    /// Streams that may wait.
    pub queue_limit: usize,
    /// KV cache for running streams, in tokens.
    pub kv_limit_tokens: u64,
    /// Cache of shared prefixes, in tokens.
    pub prefix_limit_tokens: u64,
    /// Tokens a second when KV cache is imported from another engine.
    pub kv_transfer_tokens_per_second: f64,
    /// Time out of service for a change of role or models.
    pub change_ms: u64,
    /// Bytes fetched from the weight store for each model that is new.
    pub model_bytes: u64,
    /// Address of the weight store; empty for none.
    pub weight_store: String,
    /// How many times faster than real time the engine runs.
    pub time_scale: f64,
    /// Age of load reports.
    pub report_lag_ms: u64,
    /// Delay of cache events.
    pub cache_lag_ms: u64,
    /// Probability that a cache event is lost.
    pub cache_gap_chance: f64,
    /// How long an ended stream can be resumed.
    pub keep_stream_ms: u64,
    /// Seed of random faults.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_owned(),
            target: TargetId::from("engine"),
            role: EngineRole::Mixed,
            models: vec!["base".to_owned()],
            software: String::new(),
            checks_fence: true,
            forgets_fence: false,
            min_step_ms: 10.0,
            prefill_tokens_per_second: 8_000.0,
            decode_ms_per_stream: 0.6,
            chunk_tokens: 512,
            max_batch: 32,
            queue_limit: 256,
            kv_limit_tokens: 200_000,
            prefix_limit_tokens: 60_000,
            kv_transfer_tokens_per_second: 60_000.0,
            change_ms: 3_000,
            model_bytes: 8_000_000_000,
            weight_store: String::new(),
            time_scale: 1.0,
            report_lag_ms: 0,
            cache_lag_ms: 0,
            cache_gap_chance: 0.0,
            keep_stream_ms: 10_000,
            seed: 1,
        }
    }
}

impl EngineOptions {
    /// Returns how long an engine's time takes here.
    #[must_use]
    pub fn scaled_ms(&self, ms: f64) -> Duration {
        Duration::from_secs_f64((ms / 1_000.0 / self.time_scale).max(0.0))
    }

    /// Returns how much faster than in the mixed role prompts are read.
    #[must_use]
    pub const fn prefill_speed(role: EngineRole) -> f64 {
        match role {
            EngineRole::Decode => 0.45,
            EngineRole::Mixed => 1.0,
            EngineRole::Prefill => 1.8,
        }
    }

    /// Returns how much faster than in the mixed role tokens are generated.
    #[must_use]
    pub const fn decode_speed(role: EngineRole) -> f64 {
        match role {
            EngineRole::Decode => 1.6,
            EngineRole::Mixed => 1.0,
            EngineRole::Prefill => 0.35,
        }
    }
}

/// Faults in force; all off by default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Probability that a line comes late.
    pub late_chance: f64,
    /// How late.
    pub late_ms: u64,
    /// Probability that a line of another request is sent before a line.
    pub crossed_chance: f64,
    /// Probability that a line is sent twice.
    pub doubled_chance: f64,
    /// Probability, at each line, that the stream ends there without an end line.
    pub cut_chance: f64,
    /// Probability, at each line, that the stream ends there with an end line whose
    /// length is that of the whole answer.
    pub short_chance: f64,
    /// Requests a second that the engine takes from all daemons, named in its answers.
    pub rate_limit: Option<f64>,
    /// What the engine states about itself in its answers.
    pub statement: StandInStatement,
    /// One-time fault: drop everything, come back empty after this many milliseconds.
    pub crash_ms: Option<u64>,
    /// One-time fault: do and answer nothing for this many milliseconds.
    pub freeze_ms: Option<u64>,
}
