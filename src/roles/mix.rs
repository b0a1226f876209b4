//! Forecast of the mix of prefill and decode work per model.
//!
//! Requests are binned by the share of prefill in their work, because a role suits one
//! end of that range: totals alone would hide that long prompts with short answers run
//! beside short prompts with long answers.

use std::time::Duration;

use indexmap::IndexMap;

use crate::decide::cost::SpeedSettings;
use crate::names::{ModelName, MonoTime};

/// Number of kinds of work, by prefill share.
pub const MIX_BINS: usize = 8;

/// Streams among which the base time of a decode step is divided.
const TYPICAL_BATCH: f64 = 16.0;
/// Short window of the averages.
const FAST_WINDOW_S: f64 = 10.0;
/// Long window of the averages.
const SLOW_WINDOW_S: f64 = 60.0;
/// Part of the difference between the short and the long mean that is added to the short
/// one as the trend.
const TREND_WEIGHT: f64 = 0.5;
/// Standard errors from which a difference between the means counts as a change.
const SIGNIFICANT_DEVIATIONS: f64 = 3.0;
/// Maximum number of models tracked; work of further ones is ignored.
const MAX_MODELS: usize = 256;
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Amount of work in seconds of a mixed engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkAmount {
    /// Prefill of prompts.
    pub prefill: f64,
    /// Decoding of output.
    pub decode: f64,
}

/// Work of one model by kind.
pub type WorkBins = [WorkAmount; MIX_BINS];

/// Work received since the start of a process, per model.
pub type WorkTotals = IndexMap<ModelName, WorkBins>;

impl WorkAmount {
    /// Returns the work of a request.
    #[must_use]
    pub fn of_request(speeds: &SpeedSettings, prefill_tokens: u64, decode_tokens: u64) -> Self {
        let gap_ms = speeds.token_per_stream_ms + speeds.token_base_ms / TYPICAL_BATCH;
        Self {
            prefill: prefill_tokens as f64 / speeds.prefill_tokens_per_s,
            decode: decode_tokens as f64 * gap_ms / 1_000.0,
        }
    }

    /// Returns the sum of prefill and decode.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.prefill + self.decode
    }

    /// Returns the kind of the work: 0 is mostly decode, the last is mostly prefill.
    #[must_use]
    pub fn bin(&self) -> usize {
        let total = self.total();
        if total <= 0.0 {
            return 0;
        }
        let position = self.prefill / total * MIX_BINS as f64;
        (position as usize).min(MIX_BINS - 1)
    }

    fn plus(self, other: Self) -> Self {
        Self {
            prefill: self.prefill + other.prefill,
            decode: self.decode + other.decode,
        }
    }

    /// Returns the amount multiplied by a factor.
    #[must_use]
    pub fn times(self, factor: f64) -> Self {
        Self {
            prefill: self.prefill * factor,
            decode: self.decode * factor,
        }
    }
}

/// Adds a request's work to the totals of its model.
pub fn add_work(totals: &mut WorkTotals, model: &ModelName, work: WorkAmount) {
    if totals.len() >= MAX_MODELS && !totals.contains_key(model) {
        return;
    }
    let bins = totals.entry(model.clone()).or_default();
    let bin = &mut bins[work.bin()];
    *bin = bin.plus(work);
}

#[derive(Clone, Debug, Default)]
struct ModelMix {
    pending: WorkBins,
    fast: WorkBins,
    slow: WorkBins,
    // Variance of the prefill share from second to second.
    variance: f64,
}

/// Rates of work per model, averaged over a short and a long window.
#[derive(Clone, Debug, Default)]
pub struct MixForecast {
    models: IndexMap<ModelName, ModelMix>,
    updated_at: Option<MonoTime>,
    age_s: f64,
}

/// Rates of one model, in engine-seconds per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MixRates {
    /// Over the last seconds.
    pub recent: WorkBins,
    /// Mean of the rates over the last seconds and over the last minute, or the latter
    /// alone if the difference may be noise.
    pub steady: WorkBins,
    /// Expected within half a minute if the trend continues.
    pub expected: WorkBins,
    /// Standard error of the prefill share of the steady rates.
    pub error: f64,
}

impl MixForecast {
    /// Adds work received since the last call.
    pub fn add_work(&mut self, model: &ModelName, bins: &WorkBins) {
        if self.models.len() >= MAX_MODELS && !self.models.contains_key(model) {
            return;
        }
        let mix = self.models.entry(model.clone()).or_default();
        for (pending, received) in mix.pending.iter_mut().zip(bins) {
            *pending = pending.plus(*received);
        }
    }

    /// Updates the rates once per interval.
    pub fn tick(&mut self, now: MonoTime) {
        let last_update = *self.updated_at.get_or_insert(now);
        let elapsed = now.since(last_update);
        if elapsed < UPDATE_INTERVAL {
            return;
        }
        self.updated_at = Some(now);
        let seconds = elapsed.as_secs_f64();
        self.age_s += seconds;
        // Before its window has passed, a rate is the plain mean since the start.
        let fast_weight = new_weight(seconds, FAST_WINDOW_S.min(self.age_s));
        let slow_weight = new_weight(seconds, SLOW_WINDOW_S.min(self.age_s));
        for mix in self.models.values_mut() {
            mix.update(seconds, fast_weight, slow_weight);
        }
    }

    /// Returns the rates of a model.
    #[must_use]
    pub fn rates(&self, model: &ModelName) -> MixRates {
        let Some(mix) = self.models.get(model) else {
            return MixRates::default();
        };
        let mut rates = MixRates {
            recent: mix.fast,
            ..MixRates::default()
        };
        let recent_weight = if mix.is_within_noise() { 0.0 } else { 0.5 };
        // In the beginning the mean covers fewer seconds than the window.
        let (slow_s, fast_s) = (
            SLOW_WINDOW_S.min(self.age_s / 2.0),
            FAST_WINDOW_S.min(self.age_s / 2.0),
        );
        rates.error = mix.error(slow_s).max(recent_weight * mix.error(fast_s));
        for (bin, (fast, slow)) in mix.fast.iter().zip(&mix.slow).enumerate() {
            rates.steady[bin] = weighted_mean(*slow, *fast, recent_weight);
            rates.expected[bin] = extrapolate(*fast, *slow);
        }
        rates
    }

    /// Returns the models with work.
    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.models.keys()
    }

    /// Returns whether the rates cover enough time for a decision.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.age_s >= FAST_WINDOW_S
    }
}

fn new_weight(seconds: f64, window_s: f64) -> f64 {
    (seconds / window_s.max(seconds)).min(1.0)
}

fn extrapolate(fast: WorkAmount, slow: WorkAmount) -> WorkAmount {
    let projected =
        |fast: f64, slow: f64| (fast + TREND_WEIGHT * (fast - slow)).clamp(0.0, 2.0 * fast);
    WorkAmount {
        prefill: projected(fast.prefill, slow.prefill),
        decode: projected(fast.decode, slow.decode),
    }
}

impl ModelMix {
    // Whether the short and the long mean differ by less than `SIGNIFICANT_DEVIATIONS`
    // standard errors of the short one.
    fn is_within_noise(&self) -> bool {
        let shares = prefill_share(&self.fast).zip(prefill_share(&self.slow));
        let Some((fast, slow)) = shares else {
            return true;
        };
        (fast - slow).abs() < SIGNIFICANT_DEVIATIONS * self.error(FAST_WINDOW_S)
    }

    // Standard error of the prefill share, averaged over a window in seconds.
    fn error(&self, window_s: f64) -> f64 {
        (self.variance / (2.0 * window_s.max(0.5))).sqrt()
    }

    fn update(&mut self, seconds: f64, fast_weight: f64, slow_weight: f64) {
        if let Some(share) = prefill_share(&self.pending) {
            let recent_share = prefill_share(&self.fast).unwrap_or(share);
            let deviation = (share - recent_share).powi(2);
            self.variance += slow_weight * (deviation - self.variance);
        }
        for bin in 0..MIX_BINS {
            let rate = self.pending[bin].times(1.0 / seconds);
            self.fast[bin] = weighted_mean(self.fast[bin], rate, fast_weight);
            self.slow[bin] = weighted_mean(self.slow[bin], rate, slow_weight);
        }
        self.pending = WorkBins::default();
    }
}

/// Returns a mix with the same total work and its prefill share shifted by `by`.
#[must_use]
pub fn shift_prefill_share(bins: &WorkBins, by: f64) -> WorkBins {
    let Some(share) = prefill_share(bins) else {
        return *bins;
    };
    let target = (share + by).clamp(0.0, 1.0);
    let factor = |target: f64, current: f64| if current > 0.0 { target / current } else { 1.0 };
    bins.map(|work| WorkAmount {
        prefill: work.prefill * factor(target, share),
        decode: work.decode * factor(1.0 - target, 1.0 - share),
    })
}

fn prefill_share(bins: &WorkBins) -> Option<f64> {
    let prefill: f64 = bins.iter().map(|work| work.prefill).sum();
    let total: f64 = bins.iter().map(WorkAmount::total).sum();
    (total > 0.0).then(|| prefill / total)
}

fn weighted_mean(old: WorkAmount, new: WorkAmount, share: f64) -> WorkAmount {
    old.times(1.0 - share).plus(new.times(share))
}
