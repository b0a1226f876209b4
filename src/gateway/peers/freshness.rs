//! When a daemon's configuration was last confirmed to be the newest one.
//!
//! Only the store can confirm it, and only few daemons read the store. These report the age
//! of the store's response. A receiver subtracts that age from a time on its own clock that
//! is certainly not too late: when it sent the last message that the reporter had received.
//! So neither a delayed message nor a different clock makes a confirmation look newer than
//! it is.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::gateway::daemon::Gateway;
use crate::gateway::peers::wire::{FreshnessUpdate, PeerMessage};
use crate::names::{DaemonId, MonoTime, millis};

/// Clock of a daemon, as another daemon last received it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClockEcho {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its incarnation; each has its own clock.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Its clock when it sent the message.
    pub clock: MonoTime,
}

/// How long ago a daemon's configuration was confirmed to be the newest, as reported to another
/// daemon.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConfigFreshness {
    /// The sender's clock.
    pub clock: MonoTime,
    /// Version that the sender runs.
    pub version: u64,
    /// Milliseconds since this version was known to be the newest; `None` if unknown.
    pub age_ms: Option<u64>,
    /// The receiver's clock as the sender last received it, if it did.
    pub echo: Option<ClockEcho>,
}

/// Tracks when messages of other daemons last confirmed the local configuration.
#[derive(Debug, Default)]
pub struct FreshnessTracker {
    // Incarnation and clock of each daemon, as last received from it.
    clocks: IndexMap<DaemonId, (u64, MonoTime)>,
    confirmed_at: Option<MonoTime>,
}

impl FreshnessTracker {
    /// Records the clock of a daemon, as received from it.
    pub fn record_clock(&mut self, daemon: &DaemonId, incarnation: u64, clock: MonoTime) {
        self.clocks.insert(daemon.clone(), (incarnation, clock));
    }

    /// Removes the clocks of daemons that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&DaemonId) -> bool) {
        self.clocks.retain(|daemon, _| known(daemon));
    }

    /// Returns the clock last received from a daemon.
    #[must_use]
    pub fn echo(&self, daemon: &DaemonId) -> Option<ClockEcho> {
        let (incarnation, clock) = self.clocks.get(daemon)?;
        Some(ClockEcho {
            daemon: daemon.clone(),
            incarnation: *incarnation,
            clock: *clock,
        })
    }

    /// Applies a report to this daemon, `local` with its incarnation, running `local_version`.
    ///
    /// A report on a version newer than the local one confirms nothing about the local one.
    pub fn apply(&mut self, report: &ConfigFreshness, local: (&DaemonId, u64), local_version: u64) {
        let Some(age_ms) = report.age_ms.filter(|_| report.version <= local_version) else {
            return;
        };
        let is_local = |echo: &&ClockEcho| (&echo.daemon, echo.incarnation) == local;
        if let Some(echo) = report.echo.as_ref().filter(is_local) {
            let at = MonoTime(echo.clock.0.saturating_sub(age_ms));
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Returns the last time at which other daemons confirmed the local configuration as the
    /// newest one.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<MonoTime> {
        self.confirmed_at
    }
}

impl Gateway {
    /// Returns the last time at which the local configuration was confirmed as the newest one.
    ///
    /// If read before the configuration itself, the value holds for that configuration too.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<MonoTime> {
        let by_peers = self.freshness.borrow().confirmed_at();
        self.store_liveness.confirmed_at().max(by_peers)
    }

    /// Whether the keys in the local configuration may be assumed to be still in force.
    ///
    /// A daemon that is cut off keeps the keys it knows, so it would serve callers whose key
    /// has been revoked until it is connected again. It stops accepting keys before the
    /// bound set for revocations has passed since its last confirmation.
    #[must_use]
    pub fn confirms_keys(&self, now: MonoTime) -> bool {
        let Some(limit) = self.settings().key_validity() else {
            return true;
        };
        let confirmed = self.confirmed_at();
        confirmed.is_some_and(|at| now.since(at) < limit)
    }

    // Returns the report for one receiver; nothing if no keys have to be confirmed. Each
    // receiver gets only its own clock back: all clocks in all messages would grow with the
    // square of a data centre, to 2.4 MB a second for a hub of 100 daemons.
    pub(super) fn freshness_update(
        &self,
        receiver: &DaemonId,
        now: MonoTime,
    ) -> Option<PeerMessage> {
        // Read before the version: a newer one may be applied in between, never an older one.
        let confirmed = self.confirmed_at();
        let view = self.view();
        let routes = view.routes.as_ref().filter(|r| r.requires_keys())?;
        Some(PeerMessage::Freshness(FreshnessUpdate {
            from: self.daemon.clone(),
            incarnation: self.incarnation,
            freshness: ConfigFreshness {
                clock: now,
                version: routes.version,
                age_ms: confirmed.map(|at| millis(now.since(at))),
                echo: self.freshness.borrow().echo(receiver),
            },
        }))
    }

    pub(super) fn apply_freshness(&self, update: &FreshnessUpdate) {
        let view = self.view();
        let sender = (&update.from, update.incarnation);
        if !view
            .daemons
            .iter()
            .any(|d| (&d.id, d.incarnation) == sender)
        {
            return;
        }
        let version = view.routes.as_ref().map_or(0, |r| r.version);
        let mut tracker = self.freshness.borrow_mut();
        tracker.record_clock(&update.from, update.incarnation, update.freshness.clock);
        tracker.apply(&update.freshness, (&self.daemon, self.incarnation), version);
    }
}
