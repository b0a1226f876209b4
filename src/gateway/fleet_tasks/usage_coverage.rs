//! How far the usage counts of other daemons are known, and which window may be recorded.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::gateway::fleet_tasks::usage_counts::WindowNumber;
use crate::names::{DaemonId, MonoTime, UnixTime, millis};

/// Time after a change of its receivers in which a daemon does not call its counts complete: the
/// members of a new hub select it, open their links and send what they keep.
const SETTLE_TIME: Duration = Duration::from_millis(2_000);
/// Time in which the counts of the last requests of a window arrive at all hubs. Daemons send all
/// recent counts once a second, and hubs pass them on within 200 ms.
const ARRIVAL_TIME: Duration = Duration::from_millis(1_200);
/// Fraction of the reporting deadline to wait for counts after the end of their window:
/// updates between daemons take a second, and the rest is left to a successor.
const CLOSE_FRACTION: f64 = 0.2;
/// Fraction of the time left until the deadline after which a window is recorded without the
/// counts of all hubs.
const WAIT_FRACTION: f64 = 0.5;
/// Number of windows that are checked, the newest ones: as many as are recorded late.
const WINDOWS_CHECKED: u64 = 20;

/// Daemon and incarnation that receives counts.
pub type CountReceiver = (DaemonId, u64);

/// How far the counts of other daemons are known.
#[derive(Debug, Default)]
pub struct UsageCoverage {
    receivers: IndexSet<CountReceiver>,
    changed_at: MonoTime,
    // Members that keep the counts of this hub.
    keepers: Vec<DaemonId>,
    // Fleet time up to which a daemon has sent all counts that it keeps.
    complete: IndexMap<DaemonId, UnixTime>,
}

impl UsageCoverage {
    /// Sets the daemons that receive counts of this one; returns whether any is new.
    pub fn set_receivers(&mut self, receivers: IndexSet<CountReceiver>, now: MonoTime) -> bool {
        let has_new = receivers.iter().any(|one| !self.receivers.contains(one));
        if has_new {
            self.changed_at = now;
        }
        self.receivers = receivers;
        has_new
    }

    /// Sets the members that keep the counts of this daemon, if it is a hub.
    pub fn set_keepers(&mut self, keepers: Vec<DaemonId>) {
        self.keepers = keepers;
    }

    /// Returns the members that keep the counts of this daemon.
    #[must_use]
    pub fn keepers(&self) -> &[DaemonId] {
        &self.keepers
    }

    /// Returns whether the receivers have been the same for long enough that the daemons which
    /// send counts to this one have sent all.
    #[must_use]
    pub fn is_settled(&self, now: MonoTime) -> bool {
        now.since(self.changed_at) >= SETTLE_TIME
    }

    /// Records the fleet time up to which a daemon has sent all counts that it keeps.
    pub fn record(&mut self, daemon: &DaemonId, complete_to: UnixTime) {
        let known = self.complete.entry(daemon.clone()).or_default();
        *known = (*known).max(complete_to);
    }

    /// Forgets daemons that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&DaemonId) -> bool) {
        self.complete.retain(|daemon, _| known(daemon));
    }

    /// Returns the fleet time up to which all counts of `daemons` are known here.
    #[must_use]
    pub fn complete_to(&self, daemons: &[DaemonId], now: UnixTime) -> UnixTime {
        let complete = |daemon| self.complete.get(daemon).copied().unwrap_or_default();
        daemons.iter().map(complete).fold(now, UnixTime::min)
    }
}

/// Times of windows and reports.
#[derive(Clone, Copy, Debug)]
pub struct ReportTimes {
    /// Length of a window.
    pub window: Duration,
    /// Time after a window's end within which its report is due.
    pub due: Duration,
}

impl ReportTimes {
    /// Returns the newest window that may be recorded at fleet time `now`. Its counts have arrived
    /// if all are known up to `complete_to`; without them, it is recorded after half of the time
    /// that was left until the deadline when it ended, or when this daemon began to act.
    #[must_use]
    pub fn newest_recordable(
        &self,
        now: UnixTime,
        acting_since: UnixTime,
        complete_to: UnixTime,
    ) -> Option<WindowNumber> {
        let window = millis(self.window).max(1);
        let close_delay = self.due.mul_f64(CLOSE_FRACTION);
        let closed = (now.0.checked_sub(millis(close_delay))? / window).checked_sub(1)?;
        let oldest = closed.saturating_sub(WINDOWS_CHECKED - 1);
        (oldest..=closed).rev().find(|number| {
            let is_waited_for = now < self.wait_end(self.end_of(*number), acting_since);
            self.is_complete(*number, complete_to) || !is_waited_for
        })
    }

    /// Returns whether the counts of a window have arrived if all are known up to `complete_to`.
    #[must_use]
    pub fn is_complete(&self, window: WindowNumber, complete_to: UnixTime) -> bool {
        complete_to >= self.end_of(window).plus(ARRIVAL_TIME)
    }

    fn end_of(&self, window: WindowNumber) -> UnixTime {
        UnixTime((window + 1).saturating_mul(millis(self.window).max(1)))
    }

    fn wait_end(&self, end: UnixTime, acting_since: UnixTime) -> UnixTime {
        let start = end.max(acting_since);
        let left = end.plus(self.due).since(start);
        start.plus(left.mul_f64(WAIT_FRACTION))
    }
}
