//! Passes a stream of events on to the caller, and continues it elsewhere when
//! its engine breaks it off and the route allows that.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::time::{Instant, timeout_at};

use crate::gateway::call::{InFlightGuard, RoutedRequest, SendHistory};
use crate::gateway::client::is_timeout;
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::TimedWork;
use crate::gateway::deciding::health::SendResult;
use crate::gateway::event_split::EventSplitter;
use crate::gateway::model::{RetryRule, TargetRecord};
use crate::gateway::port::SendMode;
use crate::gateway::reply::{AnswerTruncated, FrameStream};
use crate::gateway::sending::{SendOutcome, TargetAnswer};

/// Silence of an engine after which a resumable stream is continued elsewhere, in
/// longest allowed pauses. Callers give up after two seconds or more.
const STALL_GAPS: u32 = 4;
/// Longest allowed pause where the route states none.
const DEFAULT_GAP: Duration = Duration::from_millis(300);

/// Takes the time to the first event of a stream.
#[derive(Debug)]
pub struct FirstEventTimer {
    /// When the request was sent to the engine.
    pub sent: Instant,
    /// What the time is of; `None` where it tells nothing of the engine.
    pub timed: Option<TimedWork>,
}

/// A stream on its way to the caller. Dropping it ends the engine's work.
pub struct EventRelay {
    gateway: Rc<Gateway>,
    call: Rc<RoutedRequest>,
    engine: Arc<TargetRecord>,
    answer: Option<TargetAnswer>,
    splitter: EventSplitter,
    last_id: Option<u64>,
    trail: SendHistory,
    work: Option<InFlightGuard>,
    watch: FirstEventTimer,
    first_event: Option<Instant>,
    ended: bool,
}

enum RelayStep {
    Bytes(Bytes),
    Partial,
    Ended,
    // The engine ended the connection.
    Cut(String),
    Broken(String),
    OutOfTime,
}

impl EventRelay {
    /// Starts passing on an answer of `engine`.
    #[must_use]
    pub fn new(
        gateway: Rc<Gateway>,
        call: Rc<RoutedRequest>,
        engine: Arc<TargetRecord>,
        answer: TargetAnswer,
        trail: SendHistory,
        work: InFlightGuard,
        watch: FirstEventTimer,
    ) -> Self {
        let last_id = call.caller.resume_after;
        Self {
            gateway,
            call,
            engine,
            answer: Some(answer),
            splitter: EventSplitter::default(),
            last_id,
            trail,
            work: Some(work),
            watch,
            first_event: None,
            ended: false,
        }
    }

    /// Turns the relay into frames of a body.
    #[must_use]
    pub fn into_frames(self) -> FrameStream {
        Box::pin(stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Ok(None) => None,
                Err(cut) => Some((Err(cut), None)),
            }
        }))
    }

    async fn next(&mut self) -> Result<Option<Bytes>, AnswerTruncated> {
        loop {
            let step = self.step().await;
            if let RelayStep::Cut(reason) = &step {
                self.gateway
                    .record_connection_loss(&self.call, &self.engine, reason);
            }
            match step {
                RelayStep::Bytes(bytes) => return Ok(Some(bytes)),
                RelayStep::Partial => {}
                RelayStep::Ended => {
                    self.end("answered", SendResult::Answered);
                    return Ok(None);
                }
                RelayStep::OutOfTime => {
                    self.end("out_of_time", SendResult::Failed);
                    return Err(AnswerTruncated("its time is up".to_owned()));
                }
                RelayStep::Cut(reason) | RelayStep::Broken(reason) => {
                    if !self.resume(&reason).await {
                        self.end("cut", SendResult::Failed);
                        return Err(AnswerTruncated(reason));
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> RelayStep {
        let stall = self.stall_limit();
        let Some(answer) = &mut self.answer else {
            return RelayStep::Broken("the engine is gone".to_owned());
        };
        let until = self.call.due.min(stall);
        match timeout_at(until, answer.body.frame()).await {
            Err(_) if Instant::now() >= self.call.due => RelayStep::OutOfTime,
            Err(_) => RelayStep::Broken("the engine stalled".to_owned()),
            Ok(None) => self.take_end(),
            Ok(Some(Err(error))) if is_timeout(&error) => RelayStep::Broken(error.to_string()),
            Ok(Some(Err(error))) => RelayStep::Cut(error.to_string()),
            Ok(Some(Ok(frame))) => self.take_frame(frame),
        }
    }

    fn stall_limit(&self) -> Instant {
        let now = Instant::now();
        if !self.may_resume() {
            return self.call.due;
        }
        let gap = self.call.route.gap_objective.unwrap_or(DEFAULT_GAP);
        let wait = match self.first_event {
            Some(_) => gap * STALL_GAPS,
            None => (gap * STALL_GAPS).max(self.call.route.objective * 2),
        };
        now + wait
    }

    fn take_frame(&mut self, frame: Frame<Bytes>) -> RelayStep {
        let Ok(data) = frame.into_data() else {
            return RelayStep::Partial;
        };
        let Some(batch) = self.splitter.push(&data) else {
            return if self.splitter.is_overlong() {
                RelayStep::Broken("an event is too long".to_owned())
            } else {
                RelayStep::Partial
            };
        };
        if self.first_event.is_none() {
            self.first_event = Some(Instant::now());
            self.gateway.note_begun(&self.call.access);
            if let Some(timed) = self.watch.timed.take() {
                self.gateway.note_time(&timed, self.watch.sent.elapsed());
            }
            let waited = self.call.arrived.elapsed();
            metrics::histogram!("pistachiowick_gateway_first_event_seconds", "route" => self.call.route.name.clone())
                .record(waited);
        }
        self.last_id = batch.last_id.or(self.last_id);
        RelayStep::Bytes(batch.bytes)
    }

    fn take_end(&mut self) -> RelayStep {
        let rest = self.splitter.take_rest();
        if rest.is_empty() {
            return RelayStep::Ended;
        }
        RelayStep::Cut("the engine stopped in the middle of an event".to_owned())
    }

    fn may_resume(&self) -> bool {
        self.call.route.repeat == RetryRule::ResumableStream && self.trail.may_send(&self.call)
    }

    // Continues after the last whole event that the caller has. The answer keeps
    // the head of its first engine.
    async fn resume(&mut self, reason: &str) -> bool {
        if !self.may_resume() {
            return false;
        }
        self.gateway.note_result(&self.engine, SendResult::Failed);
        self.answer = None;
        self.watch.timed = None;
        self.work = None;
        self.splitter.clear();
        let Some(place) = self.gateway.place(&self.call, &self.trail) else {
            return false;
        };
        if !self.gateway.may_retry(&self.call) {
            return false;
        }
        let engine = place.writer;
        self.trail.sent.push(engine.id.clone());
        let mut work =
            InFlightGuard::begin(&self.gateway, &engine.id, place.rank, place.unread_tokens);
        let order = self.gateway.order(
            &self.call,
            &engine,
            SendMode::Run,
            self.last_id,
            place.fetch_from.as_deref(),
            place.rank,
        );
        let sent = Instant::now();
        let plan = self.call.plan(self.call.due);
        let outcome = self.gateway.send(&engine, plan, &order).await;
        log::info!(
            request = self.call.caller.id.as_str(),
            reason = reason,
            after_event = self.last_id.unwrap_or(0),
            target_id = engine.id.as_str(),
            outcome = outcome.as_str(),
            took_ms = sent.elapsed().as_millis() as u64;
            "stream continued"
        );
        let SendOutcome::Answered(answer) = outcome else {
            return false;
        };
        if !answer.head.status.is_success() {
            return false;
        }
        work.note_read();
        self.work = Some(work);
        self.engine = engine;
        self.answer = Some(*answer);
        true
    }

    fn log_end(&self, outcome: &'static str) {
        metrics::counter!("pistachiowick_gateway_answers_total", "outcome" => outcome).increment(1);
        let first_ms = self
            .first_event
            .map_or(0, |at| (at - self.call.arrived).as_millis() as u64);
        log::info!(
            request = self.call.caller.id.as_str(),
            route = self.call.route.name.as_str(),
            target_id = self.engine.id.as_str(),
            outcome = outcome,
            last_event = self.last_id.unwrap_or(0),
            first_event_ms = first_ms,
            took_ms = self.call.arrived.elapsed().as_millis() as u64;
            "stream ended"
        );
    }

    fn end(&mut self, outcome: &'static str, result: SendResult) {
        self.gateway.note_result(&self.engine, result);
        self.log_end(outcome);
        self.ended = true;
        self.work = None;
        let Some(answer) = self.answer.take() else {
            return;
        };
        if result == SendResult::Answered {
            self.gateway.note_answered(&self.engine, answer.times);
            self.gateway
                .record_completion(&self.call, &answer.head.headers);
            answer.lease.give_back(&answer.head);
        }
    }
}

impl Drop for EventRelay {
    fn drop(&mut self) {
        if !self.ended {
            self.log_end("caller_left");
        }
    }
}
