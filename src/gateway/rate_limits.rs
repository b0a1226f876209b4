//! Applies the limits that targets put on the rate of their requests.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::clock;
use crate::gateway::call::{RoutedRequest, SendHistory};
use crate::gateway::daemon::Gateway;
use crate::gateway::model::TargetRecord;
use crate::gateway::reply::Failure;
use crate::gateway::startup_wait::wait_until;
use crate::names::{DaemonId, MonoTime};
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::log_change;
use crate::target_limits::message_delays::ReportSender;
use crate::target_limits::report::LimitReport;
use crate::target_limits::statement::RateStatement;
use crate::target_limits::tracker::{TurnOffer, TurnOffers, TurnOutcome, TurnTerms};
use crate::target_limits::turns::TurnSeat;

/// Returns the targets without a turn in time.
pub fn late_turns(
    turns: &TurnOffers,
    terms: TurnTerms,
) -> impl Iterator<Item = &TargetIncarnation> {
    let late = turns
        .iter()
        .filter(move |(_, turn)| turn.wait > terms.max_wait);
    late.map(|(target, _)| target)
}

impl Gateway {
    /// Records what an answer to a request sent at `sent` states about the limit of its target.
    pub fn note_rate(&self, target: &TargetRecord, statement: &RateStatement, sent: MonoTime) {
        let mut limits = self.limits.borrow_mut();
        if *statement == RateStatement::Unlimited && limits.count() == 0 {
            return;
        }
        let change = limits.note_answer(&target.id, statement, sent, clock::mono_now());
        drop(limits);
        log_change(&target.id, change, "answer");
    }

    /// Applies the reports in a message of another daemon.
    pub fn apply_limits(&self, sender: ReportSender<'_>, reports: &[LimitReport]) {
        let mut limits = self.limits.borrow_mut();
        let changes = limits.apply_message(sender, reports, clock::mono_now());
        drop(limits);
        for (target, change) in changes {
            log_change(&target, Some(change), sender.daemon.as_str());
        }
    }

    /// Returns the reports about limits that go into a message to other daemons now.
    #[must_use]
    pub fn due_limits(&self) -> Vec<LimitReport> {
        self.limits.borrow_mut().due_reports(clock::mono_now())
    }

    /// Returns whether other daemons have not been told of a change yet.
    #[must_use]
    pub fn has_new_limits(&self) -> bool {
        self.limits.borrow().has_unsent(clock::mono_now())
    }

    /// Waits until this daemon's turns are known, right after its start, if a target of the
    /// request's service limits the rate of its requests. No turn is known without the list of
    /// daemons, which may arrive later than that of the targets.
    pub async fn await_seat(&self, call: &RoutedRequest) {
        let is_limited = |target: &Arc<TargetRecord>| {
            let limits = self.limits.borrow();
            limits.rate(&target.id).is_some()
        };
        let mut targets = call.view.service_targets(&call.service.name).iter();
        if targets.any(is_limited) {
            let until = Instant::now() + call.turn_terms().max_wait;
            wait_until(until, || self.turn_seat(&self.daemon).is_some()).await;
        }
    }

    /// Returns the turns at those of the targets that limit the rate of their requests, or that
    /// refuse those of this daemon for a time.
    #[must_use]
    pub fn turn_offers(&self, targets: &[Arc<TargetRecord>], terms: TurnTerms) -> TurnOffers {
        let mut offers = self.offers(targets, &self.daemon, |target, seat, now| {
            let limits = self.limits.borrow();
            limits.offer(target, seat, terms.kept_for_urgent, now)
        });
        self.add_backoffs(&mut offers, targets);
        offers
    }

    /// Returns another daemon's turns, as far as known here: not which ones it has used.
    #[must_use]
    pub fn turn_offers_of(&self, daemon: &DaemonId, targets: &[Arc<TargetRecord>]) -> TurnOffers {
        self.offers(targets, daemon, |target, seat, now| {
            self.limits.borrow().scheduled_offer(target, seat, now)
        })
    }

    /// Waits for this daemon's turn at a target and takes it. Returns false if there is none in
    /// time. Targets that do not limit the rate of their requests need no turn.
    pub async fn await_turn(&self, target: &TargetRecord, terms: TurnTerms) -> bool {
        if self.limits.borrow().rate(&target.id).is_none() {
            return true;
        }
        let seat = self.turn_seat(&self.daemon);
        let now = clock::mono_now();
        let outcome = {
            let mut limits = self.limits.borrow_mut();
            limits.take_turn(&target.id, seat, terms, now)
        };
        let service = target.service.as_str().to_owned();
        match outcome {
            TurnOutcome::NotNeeded => return true,
            TurnOutcome::Denied => return false,
            TurnOutcome::Taken(wait) if wait > Duration::ZERO => sleep(wait).await,
            TurnOutcome::Taken(_) => {}
        }
        metrics::counter!("pistachiowick_limited_sends_total", "service" => service).increment(1);
        true
    }

    /// Returns the refusal of a request that no target received, if targets that limit the
    /// rate of their requests could serve it later.
    #[must_use]
    pub fn no_turn_refusal(&self, call: &RoutedRequest, history: &SendHistory) -> Option<Failure> {
        if !history.sent.is_empty() || self.limits.borrow().count() == 0 {
            return None;
        }
        let current = self.view();
        let targets = call.view.service_targets(&call.service.name).iter();
        let present = targets
            .map(|target| &target.id)
            .filter(|target| current.has_target(target));
        let seat = self.turn_seat(&self.daemon);
        let wait = self
            .limits
            .borrow_mut()
            .retry_after(present, seat, clock::mono_now())?;
        metrics::counter!("pistachiowick_limit_refusals_total", "route" => call.route.name.clone())
            .increment(1);
        let reason = "the targets of the service limit the rate of their requests; retry later";
        Some(Failure::refused(reason, wait))
    }

    fn offers(
        &self,
        targets: &[Arc<TargetRecord>],
        daemon: &DaemonId,
        offer: impl Fn(&TargetIncarnation, Option<TurnSeat>, MonoTime) -> Option<TurnOffer>,
    ) -> TurnOffers {
        if self.limits.borrow().count() == 0 {
            return TurnOffers::new();
        }
        let now = clock::mono_now();
        let seat = self.turn_seat(daemon);
        let ids = targets.iter().map(|target| &target.id);
        ids.filter_map(|id| Some((id.clone(), offer(id, seat, now)?)))
            .collect()
    }

    // Returns a daemon's place among all with a record, reachable or not: daemons that leave
    // out those that they cannot reach would use each other's turns during a partition. Without
    // records the others are unknown, and there is no turn.
    fn turn_seat(&self, daemon: &DaemonId) -> Option<TurnSeat> {
        let view = self.view();
        let daemons = &view.daemons;
        if daemons.is_empty() {
            return None;
        }
        let is_listed = daemons.iter().any(|record| record.id == *daemon);
        let index = daemons.iter().filter(|record| record.id < *daemon).count();
        let count = daemons.len() + usize::from(!is_listed);
        Some(TurnSeat { index, count })
    }
}
