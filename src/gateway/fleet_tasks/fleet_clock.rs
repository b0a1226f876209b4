//! True time, agreed on by daemons whose wall clocks may be wrong.
//!
//! A wall clock may jump by half an hour and back, on a third of the daemons at once. The
//! middle one of many is right as long as fewer than half are wrong on the same side, and
//! between two looks at it the monotonic clock goes on, which never jumps.

use std::time::Duration;

use indexmap::IndexMap;

use crate::names::{DaemonId, MonoTime, UnixTime};

/// Age up to which a daemon's wall clock counts.
const SAMPLE_AGE: Duration = Duration::from_secs(5);
/// Fewest clocks, the own one among them, of which the middle one is taken.
const FEWEST_CLOCKS: usize = 3;
/// Time after the start after which fewer have to do.
const CLOCK_PATIENCE: Duration = Duration::from_secs(5);

/// Milliseconds by which the wall clock is ahead of the own monotonic clock.
type ClockOffset = i64;

/// What is known of true time.
#[derive(Debug, Default)]
pub struct FleetClock {
    samples: IndexMap<DaemonId, (ClockOffset, MonoTime)>,
    settled: Option<ClockOffset>,
}

impl FleetClock {
    /// Takes what a daemon's wall clock showed when it was heard.
    pub fn add_sample(&mut self, daemon: &DaemonId, wall: UnixTime, now: MonoTime) {
        self.samples
            .insert(daemon.clone(), (offset_of(wall, now), now));
    }

    /// Takes the time that a hub and its members have agreed on.
    pub fn adopt_time(&mut self, agreed: UnixTime, now: MonoTime) {
        self.settled = Some(offset_of(agreed, now));
    }

    /// Agrees on the middle one of the clocks heard lately and the own one.
    pub fn settle(&mut self, own_wall: UnixTime, now: MonoTime) {
        self.samples
            .retain(|_, (_, at)| now.since(*at) < SAMPLE_AGE);
        let heard = self.samples.values().map(|(offset, _)| *offset);
        let mut offsets: Vec<ClockOffset> = heard.collect();
        offsets.push(offset_of(own_wall, now));
        let alone = self.settled.is_none() && now.0 > CLOCK_PATIENCE.as_millis() as u64;
        if offsets.len() < FEWEST_CLOCKS && !alone {
            return;
        }
        offsets.sort_unstable();
        self.settled = Some(offsets[offsets.len() / 2]);
    }

    /// Returns the true time of a moment of the own clock; `None` before it is agreed on.
    #[must_use]
    pub fn at(&self, moment: MonoTime) -> Option<UnixTime> {
        let offset = self.settled?;
        let own = i64::try_from(moment.0).unwrap_or(i64::MAX);
        Some(UnixTime(
            u64::try_from(own.saturating_add(offset)).unwrap_or(0),
        ))
    }
}

fn offset_of(wall: UnixTime, now: MonoTime) -> ClockOffset {
    let wall = i64::try_from(wall.0).unwrap_or(i64::MAX);
    wall.saturating_sub(i64::try_from(now.0).unwrap_or(i64::MAX))
}
