//! Forwards requests to plain services.
//!
//! A target that does not answer may still do so, so a request that may run twice waits for it
//! while another target is tried. The first whole answer is the caller's.

use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::{Instant, timeout_at};

use crate::clock;
use crate::gateway::budget::RetryCause;
use crate::gateway::call::{InFlightGuard, RoutedRequest, SendHistory};
use crate::gateway::centre_traffic::CentreTraffic;
use crate::gateway::client;
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::health::SendResult;
use crate::gateway::forward::{MAX_ANSWER_BYTES, NOT_READY_WAIT};
use crate::gateway::model::TargetRecord;
use crate::gateway::plain_attempt::{
    AttemptEnd, AttemptProgress, PlainAttempt, PlainOutcome, poll_attempts,
};
use crate::gateway::port::{SendMode, SendOrder};
use crate::gateway::rate_limits::late_turns;
use crate::gateway::reply::{Failure, Reply, whole_reply};
use crate::gateway::sending::{SendOutcome, TargetAnswer};
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::tracker::TurnOffers;

/// Time after which another target is tried beside one that has not answered an idempotent
/// request, as a multiple of the route's latency objective: it is late by then, and can still be
/// served before its deadline.
const SILENCE_OBJECTIVES: u32 = 3;
/// Maximum number of targets, per request, that are unreachable or at which it arrives
/// misdirected.
const MAX_UNSENT_ATTEMPTS: usize = 3;

// Attempts of one request that run side by side, and what has become of the others.
struct PlainRace<'a> {
    gateway: &'a Rc<Gateway>,
    call: &'a RoutedRequest,
    attempts: Vec<PlainAttempt<'a>>,
    last: Result<Reply, Failure>,
    start_recorded: bool,
    next_try: Instant,
}

impl Gateway {
    /// Forwards a request to a plain service.
    ///
    /// # Errors
    ///
    /// Returns the failure to report to the caller.
    pub(super) async fn forward_plain(
        self: &Rc<Self>,
        call: &RoutedRequest,
        history: &mut SendHistory,
    ) -> Result<Reply, Failure> {
        let race = PlainRace {
            gateway: self,
            call,
            attempts: Vec::new(),
            last: Err(Failure::refused(
                "no target of the service is available; retry later",
                NOT_READY_WAIT,
            )),
            start_recorded: false,
            next_try: call.deadline,
        };
        race.run(history).await.map_err(|failure| {
            let refusal = self.backoff_refusal(call, history);
            let refusal = refusal.or_else(|| self.no_turn_refusal(call, history));
            refusal.unwrap_or(failure)
        })
    }

    /// Sends a request to a target and reads its whole answer.
    pub(super) async fn send_plain(
        self: &Rc<Self>,
        target: &TargetRecord,
        call: &RoutedRequest,
        progress: &AttemptProgress,
    ) -> PlainOutcome {
        let sent = Instant::now();
        let order = plain_order(target, call);
        let _in_flight = InFlightGuard::begin(self, &target.id, 0, 0);
        let running = self.core.borrow().load.total(&target.id).running;
        let outcome = self
            .send(target, call.plan(call.deadline, call.turn_terms()), &order)
            .await;
        if matches!(outcome, SendOutcome::Answered(_)) {
            progress.note_head();
        }
        let outcome = self.finish_plain(target, call, (outcome, running)).await;
        call.log_send(target, "run", outcome.as_str(), sent);
        outcome
    }

    async fn finish_plain(
        &self,
        target: &TargetRecord,
        call: &RoutedRequest,
        (outcome, running): (SendOutcome, u32),
    ) -> PlainOutcome {
        let answer = match outcome {
            SendOutcome::Answered(answer) => answer,
            SendOutcome::Refused(reason) => return PlainOutcome::Refused(reason),
            SendOutcome::WrongTarget => {
                return PlainOutcome::Misdirected(format!(
                    "another target answered at the address of {}",
                    target.id
                ));
            }
            SendOutcome::WrongWork => {
                return PlainOutcome::Misdirected(format!(
                    "{} now does another kind of work",
                    target.id
                ));
            }
            SendOutcome::NotSent(reason) => return PlainOutcome::NotSent(reason),
            SendOutcome::Unclear(reason) => return PlainOutcome::Unclear(reason),
        };
        let TargetAnswer {
            head,
            body,
            connection,
            times,
            sent_at,
        } = *answer;
        let memory = &self.answer_memory;
        match client::read_answer(body, MAX_ANSWER_BYTES, call.deadline, memory).await {
            Err(error) => {
                self.record_body_error(call, target, &error);
                PlainOutcome::Unclear(format!("{}: {error}", target.id))
            }
            Ok(body) => {
                self.count_traffic(CentreTraffic::Answer, &target.centre, body.len());
                let failed = head.status.is_server_error();
                if !failed {
                    self.note_result(target, SendResult::Answered);
                } else if !self.is_backing_off(&target.id) {
                    self.note_result(target, SendResult::Failed);
                }
                self.record_answer(target, times);
                if head.status.is_success() {
                    self.note_plain_time(target, running, sent_at.elapsed());
                    self.record_completion(call, target, &head.headers);
                }
                connection.return_to_pool(&head);
                let reply = whole_reply(head, body);
                if failed {
                    PlainOutcome::FailedWhole(reply)
                } else {
                    PlainOutcome::Whole(reply)
                }
            }
        }
    }

    fn note_plain_time(&self, target: &TargetRecord, running: u32, taken: Duration) {
        let taken_ms = taken.as_secs_f64() * 1_000.0;
        let capacities = &mut self.core.borrow_mut().capacities;
        capacities.note_plain(target, running, taken_ms, clock::mono_now());
    }

    /// Chooses the target of a request among those that it was not sent to yet.
    pub(super) fn choose_plain(
        &self,
        call: &RoutedRequest,
        history: &SendHistory,
    ) -> Option<Arc<TargetRecord>> {
        let targets = call.view.service_targets(&call.service.name);
        let turns = self.turn_offers(targets, call.turn_terms());
        let usable = self.usable_plain(call, history, &turns);
        let mut rng = self.rng.borrow_mut();
        let core = self.core.borrow();
        let request = (&turns, call.request.body.len());
        let now = clock::mono_now();
        core.choose_plain_target(usable.into_iter(), request, || rng.random(), now)
    }

    // Returns the targets that a request may be sent to now.
    pub(super) fn usable_plain<'a>(
        &self,
        call: &'a RoutedRequest,
        history: &SendHistory,
        turns: &TurnOffers,
    ) -> Vec<&'a Arc<TargetRecord>> {
        let current = self.view();
        let late: Vec<&TargetIncarnation> = late_turns(turns, call.turn_terms()).collect();
        let targets = call.view.service_targets(&call.service.name).iter();
        let usable = targets.filter(|target| {
            let id = &target.id;
            !history.has(id)
                && current.find(id).is_some_and(|target| call.allows(target))
                && !late.contains(&id)
        });
        usable.collect()
    }
}

impl<'a> PlainRace<'a> {
    async fn run(mut self, history: &mut SendHistory) -> Result<Reply, Failure> {
        let mut target = self.gateway.choose_plain(self.call, history);
        loop {
            if let Some(target) = target.take() {
                self.start(history, target);
            }
            if self.attempts.is_empty() {
                return self.last;
            }
            let Some((attempt, end)) = self.next_end().await else {
                target = self.choose_beside(history);
                continue;
            };
            match end {
                AttemptEnd::Sent(target, PlainOutcome::Whole(reply)) => {
                    self.record_start();
                    self.note_overtaken(&attempt, &target);
                    return Ok(reply);
                }
                AttemptEnd::Sent(sent, outcome) => {
                    target = self.take_outcome(history, &sent, outcome);
                }
                // After a send that may have run, the request must not be refused.
                AttemptEnd::NoPermit(refusal)
                    if self.attempts.is_empty() && !history.may_have_run =>
                {
                    return Err(refusal);
                }
                AttemptEnd::NoPermit(_) | AttemptEnd::NoTarget => {}
            }
        }
    }

    fn start(&mut self, history: &SendHistory, target: Arc<TargetRecord>) {
        let history = self.with_running(history);
        let attempt = PlainAttempt::start(self.gateway, self.call, history, target);
        self.attempts.push(attempt);
        self.next_try = Instant::now() + self.silence_limit();
    }

    fn silence_limit(&self) -> Duration {
        self.call.route.objective * SILENCE_OBJECTIVES
    }

    // Returns the next attempt that ends, or `None` once it is time to try another target.
    async fn next_end(&mut self) -> Option<(PlainAttempt<'a>, AttemptEnd)> {
        let attempts = &mut self.attempts;
        let ended = poll_fn(|context| poll_attempts(attempts, context));
        if self.call.route.retry.may_retry() && self.next_try < self.call.deadline {
            timeout_at(self.next_try, ended).await.ok()
        } else {
            Some(ended.await)
        }
    }

    // Returns the history with the targets that attempts in progress were sent to.
    fn with_running(&self, history: &SendHistory) -> SendHistory {
        let mut history = history.clone();
        let running = self.attempts.iter().filter_map(PlainAttempt::sent);
        history
            .sent
            .extend(running.map(|(target, _)| target.id.clone()));
        history
    }

    // Chooses another target if all that the request was sent to have been silent for too long.
    fn choose_beside(&mut self, history: &SendHistory) -> Option<Arc<TargetRecord>> {
        let (now, limit) = (Instant::now(), self.silence_limit());
        self.next_try = now + limit;
        // An answer that has begun is no silence.
        if self.attempts.iter().any(PlainAttempt::has_head) {
            return None;
        }
        let sends = self.attempts.iter().map(PlainAttempt::sent);
        // One that has no permit yet is not silent.
        let times: Option<Vec<Instant>> = sends.map(|sent| sent.map(|(_, at)| *at)).collect();
        let newest = times?.into_iter().max()?;
        if now < newest + limit {
            self.next_try = newest + limit;
            return None;
        }
        let history = self.with_running(history);
        if !history.may_send(self.call) {
            return None;
        }
        let target = self.gateway.choose_plain(self.call, &history)?;
        let is_covered = self.call.sends.covers_next_beside(self.attempts.len());
        let is_allowed = is_covered || self.gateway.take_retry(self.call, RetryCause::Unclear);
        is_allowed.then_some(target)
    }

    // Returns the target to which the request is sent next, if it may be sent again.
    fn take_outcome(
        &mut self,
        history: &mut SendHistory,
        target: &TargetRecord,
        outcome: PlainOutcome,
    ) -> Option<Arc<TargetRecord>> {
        if !outcome.did_not_run() {
            self.record_start();
        }
        self.note_sent(history, target, &outcome);
        let next = self.choose_next(history, &outcome);
        // After a send that may have run, a later refusal must not become the answer.
        if !(history.may_have_run && outcome.did_not_run()) {
            self.last = outcome.into_result(self.call);
        }
        next
    }

    fn note_sent(&self, history: &mut SendHistory, target: &TargetRecord, outcome: &PlainOutcome) {
        let id = target.id.clone();
        match outcome {
            PlainOutcome::NotSent(_) | PlainOutcome::Misdirected(_) => history.unreached.push(id),
            PlainOutcome::Refused(_) => history.sent.push(id),
            PlainOutcome::Whole(_) | PlainOutcome::FailedWhole(_) | PlainOutcome::Unclear(_) => {
                history.sent.push(id);
                history.may_have_run = true;
            }
        }
    }

    fn choose_next(
        &self,
        history: &SendHistory,
        outcome: &PlainOutcome,
    ) -> Option<Arc<TargetRecord>> {
        // Another target may still answer.
        if !self.attempts.is_empty() {
            return None;
        }
        let (call, may_retry) = (self.call, self.call.route.retry.may_retry());
        let may_reach_more = history.unreached.len() < MAX_UNSENT_ATTEMPTS;
        let (is_allowed, cause) = match outcome {
            PlainOutcome::Whole(_) => (false, None),
            PlainOutcome::FailedWhole(_) | PlainOutcome::Unclear(_) => (
                may_retry && history.may_send(call),
                Some(RetryCause::Unclear),
            ),
            PlainOutcome::Refused(_) => (history.may_send(call), Some(RetryCause::Refused)),
            PlainOutcome::NotSent(_) => (may_reach_more && Instant::now() < call.deadline, None),
            // Another target received the request, so the next send is a retry.
            PlainOutcome::Misdirected(_) => (may_reach_more, Some(RetryCause::Misdirected)),
        };
        if !is_allowed {
            return None;
        }
        let next = self.gateway.choose_plain(call, history)?;
        let is_granted = cause.is_none_or(|cause| self.gateway.take_retry(call, cause));
        is_granted.then_some(next)
    }

    fn record_start(&mut self) {
        if !std::mem::replace(&mut self.start_recorded, true) {
            self.gateway.record_start(self.call);
        }
    }

    // Targets that were sent the request before the one that answered have failed it.
    fn note_overtaken(&self, attempt: &PlainAttempt<'_>, target: &TargetRecord) {
        let Some((_, answered)) = attempt.sent() else {
            return;
        };
        for (other, sent) in self.attempts.iter().filter_map(PlainAttempt::sent) {
            if sent < answered {
                self.gateway.note_result(other, SendResult::Silent);
                log::info!(
                    request = self.call.caller.id.as_str(),
                    target_id = other.id.as_str(),
                    next_target_id = target.id.as_str(),
                    silent_ms = sent.elapsed().as_millis() as u64;
                    "request answered by another target than the silent one"
                );
            }
        }
    }
}

fn plain_order(target: &TargetRecord, call: &RoutedRequest) -> SendOrder {
    SendOrder {
        target: target.id.clone(),
        time_left: call.time_left(),
        mode: SendMode::Run,
        resume_after: call.caller.resume_after,
        fetch_from: None,
        rank: None,
        access: call.access.clone(),
    }
}
