//! How much of the recent work was reading of long prompts.

use std::time::Duration;

use crate::names::MonoTime;
use crate::placement::WorkSide;

/// Time in which the weight of past work halves. Short against the minutes in which
/// the mix swings, long against the gaps between requests.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Decayed cost of recent work by side.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkMix {
    reading: f64,
    writing: f64,
    at: MonoTime,
}

impl WorkMix {
    /// Adds work of some engine-seconds.
    pub fn add(&mut self, side: WorkSide, cost: f64, now: MonoTime) {
        self.decay(now);
        match side {
            WorkSide::Reading => self.reading += cost,
            WorkSide::Writing => self.writing += cost,
        }
    }

    /// Returns the share of reading, 0 while there was no work.
    #[must_use]
    pub fn reading_share(&self) -> f64 {
        let total = self.reading + self.writing;
        if total > 0.0 {
            self.reading / total
        } else {
            0.0
        }
    }

    fn decay(&mut self, now: MonoTime) {
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let left = 0.5_f64.powf(halves);
        self.reading *= left;
        self.writing *= left;
        self.at = now;
    }
}
