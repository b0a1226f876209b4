//! The only place that reads the machine's clocks.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::names::{MonoTime, ProcessIncarnation, UnixTime, millis};

static ORIGIN: OnceLock<Duration> = OnceLock::new();

/// Returns the time on this process's monotonic clock.
///
/// It goes on while the machine is suspended: a lease or a confirmation that ran out
/// meanwhile has to be seen to have run out.
///
/// # Panics
///
/// Never on the kernels that this runs on: all of them have this clock.
#[must_use]
pub fn mono_now() -> MonoTime {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has this clock");
    let now = Duration::from(now);
    let origin = ORIGIN.get_or_init(|| now);
    MonoTime(millis(now.saturating_sub(*origin)))
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
