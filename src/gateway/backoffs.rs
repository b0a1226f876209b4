//! Applies the times for which targets accept no requests of this daemon.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::clock;
use crate::gateway::call::{RoutedRequest, SendHistory};
use crate::gateway::daemon::Gateway;
use crate::gateway::model::{EngineStage, TargetRecord};
use crate::gateway::reply::Failure;
use crate::gateway::statements::AnsweredRequest;
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::tracker::{TurnOffer, TurnOffers, TurnTerms};
use crate::target_statements::backoff_tracker::{BackoffOutcome, resume_spacing};

impl Gateway {
    /// Records that a target refused a request for a time.
    pub fn note_backoff(
        &self,
        target: &TargetRecord,
        backoff: Duration,
        answered: AnsweredRequest,
    ) {
        let now = clock::mono_now();
        let started = self
            .backoffs
            .borrow_mut()
            .note_refusal(&target.id, backoff, now);
        if started {
            log::info!(target_id = target.id.as_str(), backoff_ms = backoff.as_millis() as u64, answered = answered.kind.as_str(); "target refuses requests for a time");
        }
    }

    /// Returns whether a target refuses the requests of this daemon now.
    #[must_use]
    pub fn is_backing_off(&self, target: &TargetIncarnation) -> bool {
        self.backoffs
            .borrow()
            .is_backing_off(target, clock::mono_now())
    }

    /// Adds to the offers the waits for targets that refuse requests.
    pub(super) fn add_backoffs(&self, offers: &mut TurnOffers, targets: &[Arc<TargetRecord>]) {
        let backoffs = self.backoffs.borrow();
        if backoffs.is_empty() {
            return;
        }
        let now = clock::mono_now();
        for target in targets {
            let Some(wait) = backoffs.wait(&target.id, now) else {
                continue;
            };
            let offer = offers.entry(target.id.clone()).or_insert(TurnOffer::NOW);
            offer.wait = offer.wait.max(wait);
        }
    }

    /// Waits until a target may get a request of this daemon: for the end of its backoff, and for
    /// a turn.
    ///
    /// # Errors
    ///
    /// Returns the reason if it may not in time.
    pub async fn await_admission(
        &self,
        target: &TargetRecord,
        terms: TurnTerms,
    ) -> Result<(), String> {
        if !self.await_backoff(target, terms).await {
            return Err(format!("{} refuses requests for a time", target.id));
        }
        if !self.await_turn(target, terms).await {
            return Err(format!("{} limits the rate of its requests", target.id));
        }
        Ok(())
    }

    async fn await_backoff(&self, target: &TargetRecord, terms: TurnTerms) -> bool {
        if self.backoffs.borrow().is_empty() {
            return true;
        }
        let spacing = resume_spacing(target.slots, self.daemon_count());
        let outcome = self.backoffs.borrow_mut().take_send(
            &target.id,
            (terms.max_wait, spacing),
            clock::mono_now(),
        );
        match outcome {
            BackoffOutcome::Open => true,
            BackoffOutcome::Denied => false,
            BackoffOutcome::After(wait) => {
                sleep(wait).await;
                // Another request may have been refused meanwhile.
                !self.is_backing_off(&target.id)
            }
        }
    }

    /// Returns the refusal of a request that has not run, if all targets that could serve it
    /// refuse requests for a time or limit their rate.
    #[must_use]
    pub fn backoff_refusal(&self, call: &RoutedRequest, history: &SendHistory) -> Option<Failure> {
        if history.may_have_run || self.backoffs.borrow().is_empty() {
            return None;
        }
        let targets = self.eligible(call.view.service_targets(&call.service.name));
        let serving = targets
            .iter()
            .filter(|target| target.stage != Some(EngineStage::Prefill))
            .map(|target| &target.id);
        let limits = self.limits.borrow();
        let is_limited = |target: &TargetIncarnation| limits.rate(target).is_some();
        let wait =
            self.backoffs
                .borrow_mut()
                .retry_after(serving, is_limited, clock::mono_now())?;
        metrics::counter!("pistachiowick_backoff_refusals_total", "route" => call.route.name.clone())
            .increment(1);
        let reason = "the targets of the service refuse requests for a time; retry later";
        Some(Failure::refused(reason, wait))
    }

    pub(super) fn sweep_backoffs(&self) {
        let now = clock::mono_now();
        let mut backoffs = self.backoffs.borrow_mut();
        for target in backoffs.remove_ended(now) {
            log::info!(target_id = target.as_str(); "target's time without requests is over");
        }
        metrics::gauge!("pistachiowick_backoff_targets").set(backoffs.count(now) as f64);
    }
}
