//! Fleet time, agreed on by daemons whose wall clocks may be wrong.
//!
//! A wall clock may jump by half an hour and back, on a third of the daemons at once. The
//! median of the clocks is correct as long as fewer than half are wrong in the same
//! direction. Between updates, fleet time follows the monotonic clock, which never jumps.

use std::time::Duration;

use indexmap::IndexMap;

use crate::names::{DaemonId, MonoTime, UnixTime};

/// Age from which a sample of another daemon's wall clock is dropped.
const SAMPLE_RETENTION: Duration = Duration::from_secs(5);
/// Minimum number of clocks, including the local one, for a median.
const MIN_CLOCKS: usize = 3;
/// Time after the start from which fewer clocks are accepted.
const CLOCK_TIMEOUT: Duration = Duration::from_secs(5);

/// Milliseconds by which a wall clock is ahead of the local monotonic clock.
type ClockOffset = i64;

/// Estimate of fleet time.
#[derive(Debug, Default)]
pub struct FleetClock {
    samples: IndexMap<DaemonId, (ClockOffset, MonoTime)>,
    offset: Option<ClockOffset>,
}

impl FleetClock {
    /// Records the wall clock in a message of another daemon.
    pub fn add_sample(&mut self, daemon: &DaemonId, wall: UnixTime, now: MonoTime) {
        self.samples
            .insert(daemon.clone(), (offset_of(wall, now), now));
    }

    /// Adopts the time that a hub and its members have agreed on.
    pub fn adopt_time(&mut self, agreed: UnixTime, now: MonoTime) {
        self.offset = Some(offset_of(agreed, now));
    }

    /// Sets fleet time to the median of the recent samples and the local wall clock.
    pub fn update_offset(&mut self, local_wall: UnixTime, now: MonoTime) {
        self.samples
            .retain(|_, (_, at)| now.since(*at) < SAMPLE_RETENTION);
        let peer_offsets = self.samples.values().map(|(offset, _)| *offset);
        let mut offsets: Vec<ClockOffset> = peer_offsets.collect();
        offsets.push(offset_of(local_wall, now));
        let is_timed_out = self.offset.is_none() && now.0 > CLOCK_TIMEOUT.as_millis() as u64;
        if offsets.len() < MIN_CLOCKS && !is_timed_out {
            return;
        }
        offsets.sort_unstable();
        self.offset = Some(offsets[offsets.len() / 2]);
    }

    /// Returns the fleet time at a local time, or `None` before one is agreed on.
    #[must_use]
    pub fn at(&self, moment: MonoTime) -> Option<UnixTime> {
        let offset = self.offset?;
        let local = i64::try_from(moment.0).unwrap_or(i64::MAX);
        Some(UnixTime(
            u64::try_from(local.saturating_add(offset)).unwrap_or(0),
        ))
    }
}

fn offset_of(wall: UnixTime, now: MonoTime) -> ClockOffset {
    let wall = i64::try_from(wall.0).unwrap_or(i64::MAX);
    wall.saturating_sub(i64::try_from(now.0).unwrap_or(i64::MAX))
}
