//! Has another engine or daemon go on with a stream, and gives up runs that failed.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Either};
use tokio::time::Instant;

use crate::gateway::budget::RetryCause;
use crate::gateway::call::InFlightGuard;
use crate::gateway::deciding::health::SendResult;
use crate::gateway::model::{RetryRule, TargetRecord};
use crate::gateway::port::SendMode;
use crate::gateway::reply::{AnswerTruncated, Failure, FailureKind};
use crate::gateway::sending::SendOutcome;
use crate::gateway::stream::EventRelay;
use crate::gateway::stream::run::{HandoverEnd, RunSource, StreamRun};

/// Why a run is given up.
pub(super) enum RunFailure {
    // The engine closed the connection.
    Cut(String),
    // The run cannot go on for another reason.
    Broken(String),
    // Nothing of the request was sent, so that another engine can be tried at once.
    NotSent(String),
    // The send has already been accounted for.
    Sent(String),
}

impl EventRelay {
    fn may_resume(&self) -> bool {
        self.call.route.retry == RetryRule::ResumableStream && self.history.may_send(&self.call)
    }

    pub(super) fn may_try_another(&self) -> bool {
        self.may_resume() && !self.is_handed_over
    }

    // Has another engine go on after the last event forwarded to the caller, or another daemon
    // if this one reaches no engine. The answer keeps the head from the first engine.
    pub(super) fn try_another(&mut self) -> bool {
        self.await_events();
        self.may_try_another() && (self.try_engine() || self.try_daemon())
    }

    // Does the same after a connection that failed: while it is not known yet whether this daemon
    // reaches any engine, another daemon is the safer choice.
    fn try_after_unsent(&mut self) -> bool {
        self.await_events();
        self.may_try_another() && (self.try_daemon() || self.try_engine())
    }

    fn try_engine(&mut self) -> bool {
        if self.gateway.is_cut_off(&self.call.service.name) {
            return false;
        }
        let turn_terms = self.call.continued_turn_terms();
        let Some(place) = self.gateway.place(&self.call, &self.history, turn_terms) else {
            return false;
        };
        let pending = self.runs.iter().filter(|run| run.is_unanswered()).count();
        let is_covered = self.call.sends.covers_next_beside(pending);
        if !is_covered
            && !self
                .gateway
                .take_retry(&self.call, RetryCause::ResumedStream)
        {
            return false;
        }
        let engine = place.decode_engine;
        let in_flight = InFlightGuard::begin(
            &self.gateway,
            &engine.id,
            place.rank,
            place.pending_prefill_tokens,
        );
        let order = self.gateway.order(
            &self.call,
            &engine,
            SendMode::Run,
            self.last_id,
            place.fetch_from.as_deref(),
            place.rank,
        );
        let (gateway, call, target) = (self.gateway.clone(), self.call.clone(), engine.clone());
        let sending = async move {
            let plan = call.plan(call.deadline, turn_terms);
            gateway.send(&target, plan, &order).await
        };
        self.history.sent.push(engine.id.clone());
        self.push_run(
            RunSource::Sending(Box::pin(sending)),
            Some(engine),
            Some(in_flight),
        );
        true
    }

    fn try_daemon(&mut self) -> bool {
        let is_pending = self.runs.iter().any(StreamRun::is_unanswered);
        if is_pending || !self.gateway.may_resume_elsewhere(&self.call) {
            return false;
        }
        self.is_handed_over = true;
        let (gateway, call) = (self.gateway.clone(), self.call.clone());
        let (history, last_id) = (self.history.clone(), self.last_id);
        let handover = async move {
            let not_served = Failure::refused("no engine can be reached", Duration::ZERO);
            let reply = gateway
                .hand_over(&call, &history, last_id, not_served)
                .await;
            match reply {
                Ok(reply) if reply.status().is_success() => match reply.into_body() {
                    Either::Right(frames) => HandoverEnd::Taken(Box::pin(frames.into_stream())),
                    Either::Left(_) => HandoverEnd::Lost,
                },
                Err(failure) if failure.kind == FailureKind::Refused => HandoverEnd::NotServed,
                Ok(_) | Err(_) => HandoverEnd::Lost,
            }
        };
        self.push_run(RunSource::HandingOver(Box::pin(handover)), None, None);
        true
    }

    fn push_run(
        &mut self,
        source: RunSource,
        engine: Option<Arc<TargetRecord>>,
        in_flight: Option<InFlightGuard>,
    ) {
        self.runs.push(StreamRun {
            source,
            engine,
            splitter: self.splitter.resumed(),
            in_flight,
            is_leading: false,
            is_checked: false,
            started: Instant::now(),
        });
    }

    pub(super) fn take_outcome(
        &mut self,
        index: usize,
        outcome: SendOutcome,
    ) -> Result<(), AnswerTruncated> {
        self.log_try(index, &outcome);
        let run = &mut self.runs[index];
        let failure = match outcome {
            SendOutcome::Answered(answer) if answer.head.status.is_success() => {
                if let Some(in_flight) = &mut run.in_flight {
                    in_flight.note_prefilled();
                }
                run.source = RunSource::Answer(answer);
                return Ok(());
            }
            SendOutcome::Answered(answer) => {
                let status = answer.head.status;
                RunFailure::Broken(format!("another engine answered with status {status}"))
            }
            SendOutcome::NotSent(reason) => {
                let unsent = run.engine.as_ref().map(|engine| engine.id.clone());
                self.history.sent.retain(|id| Some(id) != unsent.as_ref());
                self.history.unreached.extend(unsent);
                RunFailure::NotSent(reason)
            }
            SendOutcome::Refused(reason) | SendOutcome::Unclear(reason) => RunFailure::Sent(reason),
            SendOutcome::WrongTarget | SendOutcome::WrongWork => RunFailure::Sent(
                "the engine is no longer at its address or has changed its stage".to_owned(),
            ),
        };
        self.fail_run(index, failure)
    }

    fn log_try(&self, index: usize, outcome: &SendOutcome) {
        let run = &self.runs[index];
        let Some(engine) = &run.engine else {
            return;
        };
        log::info!(
            request = self.call.caller.id.as_str(),
            after_event = self.last_id.unwrap_or(0),
            target_id = engine.id.as_str(),
            software = engine.software.as_str(),
            before_target_id = self.engine.id.as_str(),
            before_software = self.engine.software.as_str(),
            before_is_silent = self.is_silent,
            outcome = outcome.as_str(),
            took_ms = run.started.elapsed().as_millis() as u64;
            "tried to resume the stream on another engine"
        );
    }

    // Gives a run up. The stream ends if no other one may go on.
    pub(super) fn fail_run(
        &mut self,
        index: usize,
        failure: RunFailure,
    ) -> Result<(), AnswerTruncated> {
        let run = self.runs.remove(index);
        if run.is_leading {
            self.first_event_timer.timed = None;
            self.decode_start = None;
        }
        let is_unsent = matches!(failure, RunFailure::NotSent(_));
        let reason = self.note_failure(run.engine.as_deref(), failure);
        // Its connection is closed before another engine gets the work.
        drop(run);
        let is_last = self.runs.is_empty();
        let goes_on = if is_unsent {
            self.try_after_unsent()
        } else {
            (is_last || self.gateway.is_cut_off(&self.call.service.name)) && self.try_another()
        };
        if goes_on || !is_last {
            return Ok(());
        }
        Err(self.cut("cut", reason))
    }

    fn note_failure(&self, engine: Option<&TargetRecord>, failure: RunFailure) -> String {
        match (failure, engine) {
            (RunFailure::Cut(reason), Some(engine)) => {
                self.gateway
                    .record_connection_loss(&self.call, engine, &reason);
                self.gateway.note_result(engine, SendResult::Failed);
                reason
            }
            (RunFailure::Broken(reason), Some(engine)) => {
                self.gateway.note_result(engine, SendResult::Failed);
                reason
            }
            (
                RunFailure::Cut(reason)
                | RunFailure::Broken(reason)
                | RunFailure::NotSent(reason)
                | RunFailure::Sent(reason),
                _,
            ) => reason,
        }
    }
}
