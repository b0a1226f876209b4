//! Recent work by side of a pool, and the rate at which a queue is served.

use std::time::Duration;

use crate::decide::placement::PoolSide;
use crate::names::MonoTime;

/// Time in which the weight of past work halves: short compared to the minutes over which
/// the mix changes, long compared to the gaps between requests.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Factor on the capacity that the decode side needs, as headroom for bursts.
const DECODE_HEADROOM: f64 = 1.3;
/// Minimum part of a pool on the prefill side while there is any work for it.
const MIN_PREFILL_PART: f64 = 1e-6;

/// Exponentially decayed cost of placed work, which gives the service rate of a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementRate {
    placed_cost: f64,
    updated_at: MonoTime,
    waiting_since: Option<MonoTime>,
}

impl PlacementRate {
    /// Adds the cost of placed work in engine-seconds.
    pub fn add(&mut self, cost: f64, now: MonoTime) {
        self.placed_cost = self.placed_cost * decay_factor(self.updated_at, now) + cost;
        self.updated_at = now;
    }

    /// Records whether requests are queued.
    pub fn record_waiting(&mut self, has_waiting: bool, now: MonoTime) {
        if !has_waiting {
            self.waiting_since = None;
        } else if self.waiting_since.is_none() {
            self.waiting_since = Some(now);
        }
    }

    /// Returns the engine-seconds placed per second; `None` unless requests have been
    /// queued for at least one half-life.
    #[must_use]
    pub fn rate(&self, now: MonoTime) -> Option<f64> {
        let waited = now.since(self.waiting_since?);
        if waited < HALF_LIFE {
            return None;
        }
        let placed_cost = self.placed_cost * decay_factor(self.updated_at, now);
        Some(placed_cost * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64())
    }
}

fn decay_factor(since: MonoTime, now: MonoTime) -> f64 {
    let halves = now.since(since).as_secs_f64() / HALF_LIFE.as_secs_f64();
    0.5_f64.powf(halves)
}

/// Exponentially decayed cost of recent work by side.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkMix {
    prefill: f64,
    decode: f64,
    updated_at: MonoTime,
}

impl WorkMix {
    /// Adds the cost of work in engine-seconds.
    pub fn add(&mut self, side: PoolSide, cost: f64, now: MonoTime) {
        self.decay(now);
        match side {
            PoolSide::Prefill => self.prefill += cost,
            PoolSide::Decode => self.decode += cost,
        }
    }

    /// Returns the share of work on the prefill side, 0 if there was no work.
    #[must_use]
    pub fn prefill_share(&self) -> f64 {
        let total = self.prefill + self.decode;
        if total > 0.0 {
            self.prefill / total
        } else {
            0.0
        }
    }

    /// Returns the part of a pool's targets that should form the prefill side, if all
    /// daemons together have `daemons` times this work.
    ///
    /// The decode side gets its share of the targets, and at least what its work needs:
    /// long prompts can usually wait, and a flood of them must not leave short, urgent
    /// requests without engines.
    #[must_use]
    pub fn prefill_part(&self, targets: usize, daemons: usize) -> f64 {
        if self.prefill <= 0.0 || targets == 0 {
            return 0.0;
        }
        let decay_rate = std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        let needed = self.decode * decay_rate * daemons as f64 * DECODE_HEADROOM;
        let part = 1.0 - needed / targets as f64;
        self.prefill_share().min(part).max(MIN_PREFILL_PART)
    }

    fn decay(&mut self, now: MonoTime) {
        let left = decay_factor(self.updated_at, now);
        self.prefill *= left;
        self.decode *= left;
        self.updated_at = now;
    }
}
