//! How much reading and writing the engines are asked for.

use crate::gateway::deciding::stage_plan::WorkRate;
use crate::names::MonoTime;

/// Time constant of the mean, in seconds: swings of a few seconds are not worth an
/// engine's change, shifts of ten seconds are.
const MEAN_S: f64 = 6.0;

/// Decaying mean of the work that this daemon placed.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkMeter {
    rate: WorkRate,
    at: MonoTime,
}

impl WorkMeter {
    /// Notes work.
    pub fn note(&mut self, read_tokens: u32, written_tokens: u32, now: MonoTime) {
        self.decay(now);
        self.rate.read_tokens += f64::from(read_tokens) / MEAN_S;
        self.rate.written_tokens += f64::from(written_tokens) / MEAN_S;
    }

    /// Returns the mean.
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
