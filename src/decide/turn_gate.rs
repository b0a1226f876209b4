//! When this daemon may send to targets that limit the rate of their requests or refuse them for
//! a time.

use std::time::Duration;

use crate::membership::fleet::{FleetView, TargetView, UseState};
use crate::names::{DaemonId, MonoTime, TargetId};
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::SharedLimitTracker;
use crate::target_limits::statement::RequestRate;
use crate::target_limits::tracker::{TurnOffer, TurnOffers, TurnOutcome, TurnTerms};
use crate::target_limits::turns::TurnSeat;
use crate::target_statements::backoff_tracker::{SharedBackoffTracker, resume_spacing};

/// Sends of all daemons together in the time for which they are spaced after a backoff.
const RESUMED_SENDS: u32 = 64;

/// Takes the turns of one daemon.
#[derive(Clone, Debug)]
pub struct TurnGate {
    daemon: DaemonId,
    limits: SharedLimitTracker,
    backoffs: SharedBackoffTracker,
}

impl TurnGate {
    /// Creates the gate of a daemon.
    #[must_use]
    pub fn new(
        daemon: DaemonId,
        limits: SharedLimitTracker,
        backoffs: SharedBackoffTracker,
    ) -> Self {
        Self {
            daemon,
            limits,
            backoffs,
        }
    }

    /// Returns whether any target limits the rate of its requests.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        self.limits.lock().count() > 0
    }

    /// Returns the turns at the targets that limit the rate of their requests, and the waits for
    /// those that refuse them for a time.
    #[must_use]
    pub fn offers(&self, fleet: &FleetView, now: MonoTime) -> TurnOffers {
        let limits = self.limits.lock();
        let mut offers = if limits.count() > 0 {
            limits.offers(self.seat(fleet), now)
        } else {
            TurnOffers::new()
        };
        drop(limits);
        let backoffs = self.backoffs.lock();
        for target in backoffs.targets() {
            let wait = backoffs.wait(target, now);
            let offer = offers.entry(target.clone()).or_insert(TurnOffer::NOW);
            offer.wait = offer.wait.max(wait.unwrap_or_default());
        }
        offers
    }

    /// Returns whether any target refuses requests for a time, or did so recently.
    #[must_use]
    pub fn has_backoffs(&self) -> bool {
        !self.backoffs.lock().is_empty()
    }

    /// Drops the backoffs that are over.
    pub fn sweep(&self, now: MonoTime) {
        let mut backoffs = self.backoffs.lock();
        if backoffs.is_empty() {
            return;
        }
        for target in backoffs.remove_ended(now) {
            log::info!(target_id = target.as_str(); "target's time without requests is over");
        }
        metrics::gauge!("pistachiowick_backoff_targets").set(backoffs.count(now) as f64);
    }

    /// Returns when a refused caller should come back, if all of the targets that it could be sent
    /// to refuse requests for a time or limit their rate.
    #[must_use]
    pub fn backoff_retry_after(
        &self,
        targets: &[TargetIncarnation],
        now: MonoTime,
    ) -> Option<Duration> {
        let limits = self.limits.lock();
        let is_limited = |target: &TargetIncarnation| limits.rate(target).is_some();
        self.backoffs
            .lock()
            .retry_after(targets.iter(), is_limited, now)
    }

    /// Takes the turn that a target was chosen for.
    pub fn take(&self, fleet: &FleetView, target: &TargetId, now: MonoTime) {
        let Some(target) = fleet.targets.get(target) else {
            return;
        };
        self.take_send(fleet, target, now);
        let mut limits = self.limits.lock();
        if limits.count() == 0 {
            return;
        }
        let terms = TurnTerms::default();
        let outcome = limits.take_turn(&target.incarnation(), self.seat(fleet), terms, now);
        if let TurnOutcome::Taken(_) = outcome {
            metrics::counter!("pistachiowick_limited_sends_total").increment(1);
        }
    }

    // Targets do not report their slots, so all daemons together resume with this many sends.
    fn take_send(&self, fleet: &FleetView, target: &TargetView, now: MonoTime) {
        let spacing = resume_spacing(RESUMED_SENDS, fleet.daemons.len());
        let mut backoffs = self.backoffs.lock();
        // The target was chosen as one that can be sent to now.
        let _ = backoffs.take_send(&target.incarnation(), (Duration::ZERO, spacing), now);
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
