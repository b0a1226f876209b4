//! Divides a target's limit among the daemons, without messages: each request that the limit
//! allows is the turn of one daemon.
//!
//! Turns begin at regular intervals from a common origin, and daemons own them in a fixed
//! order. No daemon's turns depend on what another one does, so that the sum over all daemons
//! stays within the limit during a network partition and after a failure. A turn that its
//! owner does not use expires; turns that could be saved would all be used at once.

use crate::target_limits::statement::RequestRate;

/// Shortest and longest time after its start for which a turn can be used, in milliseconds;
/// between them, it is the interval between turns. In any window, the turns used are then at
/// most two more than those that begin in it, or those of one second more.
const MIN_VALIDITY_MS: f64 = 1_000.0;
const MAX_VALIDITY_MS: f64 = 5_000.0;
/// Shortest interval between two turns of a daemon, as a share of the regular one. It is
/// shorter when the origin or the number of daemons changes.
const MIN_INTERVAL_SHARE: f64 = 0.8;
/// Lowest rate in use, in requests per second: a target that gets no requests could never
/// show that its limit has ended.
const MIN_RATE: f64 = 0.05;
/// Highest rate in use, in requests per second; keeps the numbers of turns exact.
const MAX_RATE: f64 = 1e6;

/// Milliseconds of the local monotonic clock; negative before the start of the process.
pub type ClockMs = f64;

/// Place of a daemon in the order in which the daemons own turns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TurnSeat {
    /// Number of daemons before it.
    pub index: usize,
    /// Number of all daemons, itself included.
    pub count: usize,
}

/// The turns of one daemon at one target.
#[derive(Clone, Copy, Debug)]
pub struct TurnSchedule {
    origin: ClockMs,
    interval_ms: f64,
    seat: TurnSeat,
}

impl TurnSchedule {
    /// Creates the schedule of a daemon for turns that begin at `origin`.
    #[must_use]
    pub fn new(rate: RequestRate, origin: ClockMs, seat: TurnSeat) -> Self {
        Self {
            origin,
            interval_ms: 1_000.0 / rate.per_second().clamp(MIN_RATE, MAX_RATE),
            seat,
        }
    }

    /// Returns the interval between the turns of all daemons, in milliseconds.
    #[must_use]
    pub fn interval_ms(&self) -> f64 {
        self.interval_ms
    }

    /// Returns the time after its start for which a turn can be used, in milliseconds.
    #[must_use]
    pub fn validity_ms(&self) -> f64 {
        self.interval_ms.clamp(MIN_VALIDITY_MS, MAX_VALIDITY_MS)
    }

    /// Returns the start of the first turn that begins at `earliest` or later.
    #[must_use]
    pub fn first_from(&self, earliest: ClockMs) -> ClockMs {
        let count = self.seat.count.max(1) as f64;
        let number = ((earliest - self.origin) / self.interval_ms).ceil();
        let to_own = (self.seat.index as f64 - number).rem_euclid(count);
        self.origin + (number + to_own) * self.interval_ms
    }

    /// Returns the earliest start of a turn after one that started at `last`.
    #[must_use]
    pub fn earliest_after(&self, last: ClockMs) -> ClockMs {
        let own_interval = self.interval_ms * self.seat.count.max(1) as f64;
        last + MIN_INTERVAL_SHARE * own_interval
    }
}
