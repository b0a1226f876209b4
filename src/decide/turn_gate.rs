//! Turns of this daemon at targets that limit the rate of their requests.

use std::time::Duration;

use crate::membership::fleet::{FleetView, UseState};
use crate::names::{DaemonId, MonoTime, TargetId};
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::SharedLimitTracker;
use crate::target_limits::statement::RequestRate;
use crate::target_limits::tracker::{TurnOffers, TurnOutcome, TurnTerms};
use crate::target_limits::turns::TurnSeat;

/// Takes the turns of one daemon.
#[derive(Clone, Debug)]
pub struct TurnGate {
    daemon: DaemonId,
    limits: SharedLimitTracker,
}

impl TurnGate {
    /// Creates the gate of a daemon.
    #[must_use]
    pub fn new(daemon: DaemonId, limits: SharedLimitTracker) -> Self {
        Self { daemon, limits }
    }

    /// Returns whether any target limits the rate of its requests.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        self.limits.lock().count() > 0
    }

    /// Returns the turns at the targets that limit the rate of their requests.
    #[must_use]
    pub fn offers(&self, fleet: &FleetView, now: MonoTime) -> TurnOffers {
        let limits = self.limits.lock();
        if limits.count() == 0 {
            return TurnOffers::new();
        }
        limits.offers(self.seat(fleet), now)
    }

    /// Takes the turn that a target was chosen for.
    pub fn take(&self, fleet: &FleetView, target: &TargetId, now: MonoTime) {
        let mut limits = self.limits.lock();
        let Some(target) = fleet.targets.get(target).filter(|_| limits.count() > 0) else {
            return;
        };
        let terms = TurnTerms::default();
        let outcome = limits.take_turn(&target.incarnation(), self.seat(fleet), terms, now);
        if let TurnOutcome::Taken(_) = outcome {
            metrics::counter!("pistachiowick_limited_sends_total").increment(1);
        }
    }

    /// Returns how long a request waits for a turn behind `ahead` others, if all of the targets
    /// that it could be sent to limit the rate of their requests.
    #[must_use]
    pub fn expected_wait(
        &self,
        fleet: &FleetView,
        targets: &[TargetIncarnation],
        ahead: usize,
    ) -> Option<Duration> {
        let limits = self.limits.lock();
        let rates = targets.iter().map(|target| limits.rate(target));
        let rates: Vec<RequestRate> = rates.collect::<Option<_>>()?;
        if rates.is_empty() {
            return None;
        }
        let rate: f64 = rates.into_iter().map(RequestRate::per_second).sum();
        let daemons = self.seat(fleet).map_or(1, |seat| seat.count);
        let wait_s = (ahead as f64 + 1.0) * daemons as f64 / rate;
        Some(Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX))
    }

    /// Returns when a refused caller should come back to one of the targets.
    #[must_use]
    pub fn retry_after(
        &self,
        fleet: &FleetView,
        targets: &[TargetIncarnation],
        now: MonoTime,
    ) -> Duration {
        let mut limits = self.limits.lock();
        let wait = limits.retry_after(targets.iter(), self.seat(fleet), now);
        wait.unwrap_or_default()
    }

    // Daemons that are out of contact keep their turns: during a partition, each side would
    // otherwise use those of the other one.
    fn seat(&self, fleet: &FleetView) -> Option<TurnSeat> {
        let listed = fleet.daemons.iter();
        let listed = listed.filter(|(_, daemon)| daemon.state != UseState::Gone);
        let names: Vec<&DaemonId> = listed.map(|(name, _)| name).collect();
        if names.is_empty() {
            return None;
        }
        let is_listed = names.contains(&&self.daemon);
        Some(TurnSeat {
            index: names.iter().filter(|name| ***name < self.daemon).count(),
            count: names.len() + usize::from(!is_listed),
        })
    }
}
