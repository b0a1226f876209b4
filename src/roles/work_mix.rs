//! How much of the recent work was reading of long prompts.

use std::time::Duration;

use crate::decide::placement::WorkSide;
use crate::names::MonoTime;

/// Time in which the weight of past work halves. Short against the minutes in which
/// the mix swings, long against the gaps between requests.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Room that writing gets beyond its bare need, for what comes in bursts.
const WRITING_ROOM: f64 = 1.3;
/// Least part that reads while there is anything to read.
const LEAST_PART: f64 = 1e-6;

/// Decayed cost of what was placed, from which the pace of a queue is read.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacedPace {
    placed: f64,
    at: MonoTime,
    busy_since: Option<MonoTime>,
}

impl PlacedPace {
    /// Adds placed work of some engine-seconds.
    pub fn add(&mut self, cost: f64, now: MonoTime) {
        self.placed = self.placed * decay_since(self.at, now) + cost;
        self.at = now;
    }

    /// Notes whether anything waits.
    pub fn note_waiting(&mut self, waits: bool, now: MonoTime) {
        if !waits {
            self.busy_since = None;
        } else if self.busy_since.is_none() {
            self.busy_since = Some(now);
        }
    }

    /// Returns the engine-seconds placed per second while work waited; `None` before it
    /// has waited long enough to tell.
    #[must_use]
    pub fn rate(&self, now: MonoTime) -> Option<f64> {
        let busy = now.since(self.busy_since?);
        if busy < HALF_LIFE {
            return None;
        }
        let placed = self.placed * decay_since(self.at, now);
        Some(placed * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64())
    }
}

fn decay_since(at: MonoTime, now: MonoTime) -> f64 {
    let halves = now.since(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
    0.5_f64.powf(halves)
}

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

    /// Returns the part of a pool's targets that should read, where all daemons together
    /// see `daemons` times this work.
    ///
    /// Writing gets its share of the targets, and at least what its work needs: long
    /// prompts mostly may wait, and a flood of them must not leave the short, urgent
    /// requests without engines.
    #[must_use]
    pub fn reading_part(&self, targets: usize, daemons: usize) -> f64 {
        if self.reading <= 0.0 || targets == 0 {
            return 0.0;
        }
        let pace = std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        let needed = self.writing * pace * daemons as f64 * WRITING_ROOM;
        let part = 1.0 - needed / targets as f64;
        self.reading_share().min(part).max(LEAST_PART)
    }

    fn decay(&mut self, now: MonoTime) {
        let left = decay_since(self.at, now);
        self.reading *= left;
        self.writing *= left;
        self.at = now;
    }
}
