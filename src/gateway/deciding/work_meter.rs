//! Rate of the prefill and decode work that is placed on engines.

use crate::gateway::deciding::stage_plan::WorkRate;
use crate::names::MonoTime;

/// Time constant of the mean, in seconds: a change of the load that lasts a few seconds
/// does not justify a change of an engine's stage, one that lasts ten seconds does.
const TIME_CONSTANT_S: f64 = 6.0;

/// Exponentially decaying mean rate of the work that this daemon placed.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkMeter {
    rate: WorkRate,
    at: MonoTime,
}

impl WorkMeter {
    /// Records placed work.
    pub fn note(&mut self, prefill_tokens: u32, decode_tokens: u32, now: MonoTime) {
        self.decay(now);
        self.rate.prefill_tokens += f64::from(prefill_tokens) / TIME_CONSTANT_S;
        self.rate.decode_tokens += f64::from(decode_tokens) / TIME_CONSTANT_S;
    }

    /// Returns the mean rate, decayed to `now`.
    #[must_use]
    pub fn rate(&mut self, now: MonoTime) -> WorkRate {
        self.decay(now);
        self.rate
    }

    fn decay(&mut self, now: MonoTime) {
        let factor = (-now.since(self.at).as_secs_f64() / TIME_CONSTANT_S).exp();
        self.rate.prefill_tokens *= factor;
        self.rate.decode_tokens *= factor;
        self.at = now;
    }
}
