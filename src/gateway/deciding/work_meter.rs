//! Rate of the prefill and decode work that is placed on engines.

use crate::gateway::deciding::stage_plan::WorkRate;
use crate::names::MonoTime;

/// Time constant of the mean, in seconds: a swing of a few seconds is not worth a change
/// of an engine's stage, a shift of ten seconds is.
const MEAN_S: f64 = 6.0;

/// Exponentially decaying mean rate of the work that this daemon placed.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkMeter {
    rate: WorkRate,
    at: MonoTime,
}

impl WorkMeter {
    /// Records placed work.
    pub fn note(&mut self, read_tokens: u32, written_tokens: u32, now: MonoTime) {
        self.decay(now);
        self.rate.read_tokens += f64::from(read_tokens) / MEAN_S;
        self.rate.written_tokens += f64::from(written_tokens) / MEAN_S;
    }

    /// Returns the mean rate, decayed to `now`.
    #[must_use]
    pub fn rate(&mut self, now: MonoTime) -> WorkRate {
        self.decay(now);
        self.rate
    }

    fn decay(&mut self, now: MonoTime) {
        let kept = (-now.since(self.at).as_secs_f64() / MEAN_S).exp();
        self.rate.read_tokens *= kept;
        self.rate.written_tokens *= kept;
        self.at = now;
    }
}
