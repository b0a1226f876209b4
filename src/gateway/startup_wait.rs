//! Waits for what a daemon that has just started learns later than it is ready.

use std::time::Duration;

use tokio::time::{Instant, sleep};

const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until something is known. Returns whether it is, `false` once `until` has passed.
pub async fn wait_until(until: Instant, is_known: impl Fn() -> bool) -> bool {
    while !is_known() {
        if Instant::now() >= until {
            return false;
        }
        sleep(CHECK_INTERVAL).await;
    }
    true
}
