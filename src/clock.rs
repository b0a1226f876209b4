//! Access to the system clocks. No other module reads them.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::names::{MonoTime, ProcessIncarnation, UnixTime, millis};

static ORIGIN: OnceLock<Duration> = OnceLock::new();

/// Returns the time of this process's monotonic clock.
///
/// The clock keeps running while the machine is suspended, because a lease or a
/// confirmation that expires during the suspension must count as expired.
///
/// # Panics
///
/// Panics if the kernel lacks `CLOCK_BOOTTIME`; every supported kernel has it.
#[must_use]
pub fn mono_now() -> MonoTime {
    let now =
        clock_gettime(ClockId::CLOCK_BOOTTIME).expect("every supported kernel has CLOCK_BOOTTIME");
    let now = Duration::from(now);
    let origin = ORIGIN.get_or_init(|| now);
    MonoTime(millis(now.saturating_sub(*origin)))
}

/// Returns the wall-clock time, or zero if the clock is set to before 1970.
#[must_use]
pub fn unix_now() -> UnixTime {
    UnixTime(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, millis),
    )
}

/// Returns the incarnation of a process that starts now.
#[must_use]
pub fn new_incarnation() -> ProcessIncarnation {
    ProcessIncarnation(unix_now().0)
}
