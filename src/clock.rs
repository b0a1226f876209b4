//! The only place that reads the machine's clocks.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::names::{MonoTime, ProcessIncarnation, UnixTime, millis};

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Returns the time on this process's monotonic clock.
#[must_use]
pub fn mono_now() -> MonoTime {
    MonoTime(millis(ORIGIN.get_or_init(Instant::now).elapsed()))
}

/// Returns the wall-clock time; zero when the clock stands before 1970.
#[must_use]
pub fn unix_now() -> UnixTime {
    UnixTime(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, millis),
    )
}

/// Returns an incarnation for a process that starts now.
#[must_use]
pub fn new_incarnation() -> ProcessIncarnation {
    ProcessIncarnation(unix_now().0)
}
