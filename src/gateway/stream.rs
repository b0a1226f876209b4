//! Forwards a stream of events to the caller, and resumes it on another engine if its
//! engine fails and the route allows it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, Either};
use hyper::body::Frame;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

use crate::clock;
use crate::gateway::budget::RetryCause;
use crate::gateway::call::{InFlightGuard, RoutedRequest, SendHistory};
use crate::gateway::centre_traffic::CentreTraffic;
use crate::gateway::client::is_timeout;
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::TimedWork;
use crate::gateway::deciding::health::SendResult;
use crate::gateway::event_split::EventSplitter;
use crate::gateway::model::{RetryRule, TargetRecord};
use crate::gateway::port::SendMode;
use crate::gateway::reply::{AnswerTruncated, Failure, FailureKind, FrameStream};
use crate::gateway::sending::{SendOutcome, TargetAnswer};

/// Silence of an engine after which a resumable stream is resumed on another one, as a
/// multiple of the gap objective. Callers time out later, after two seconds or more.
const STALL_TIMEOUT_GAPS: u32 = 4;
/// Gap objective of routes that state none.
const DEFAULT_GAP_OBJECTIVE: Duration = Duration::from_millis(300);

/// Measures the time to the first event of a stream.
#[derive(Debug)]
pub struct FirstEventTimer {
    /// When the request was sent to the engine.
    pub sent: Instant,
    /// Work that the time is recorded for; `None` if it says nothing about the engine's
    /// speed.
    pub timed: Option<TimedWork>,
}

/// A stream that is being forwarded. Dropping it cancels the work on the engine.
pub struct EventRelay {
    gateway: Rc<Gateway>,
    call: Rc<RoutedRequest>,
    engine: Arc<TargetRecord>,
    answer: Option<TargetAnswer>,
    // Frames from another daemon, once it has taken the stream over.
    handed_over: Option<FrameStream>,
    splitter: EventSplitter,
    last_id: Option<u64>,
    history: SendHistory,
    in_flight: Option<InFlightGuard>,
    first_event_timer: FirstEventTimer,
    first_event_at: Option<Instant>,
    last_bytes_at: Instant,
    // Time and id of the first event of the present engine, and its running requests.
    decode_start: Option<(Instant, u64, u32)>,
    // Whether the engine has sent an event, and was of its recorded version then.
    is_engine_checked: bool,
    ended: bool,
}

enum RelayStep {
    Bytes(Bytes),
    Partial,
    Ended,
    // The engine closed the connection.
    Cut(String),
    // The stream cannot go on for another reason.
    Broken(String),
    OutOfTime,
}

impl EventRelay {
    /// Creates a relay for an answer of `engine`.
    #[must_use]
    pub fn new(
        gateway: Rc<Gateway>,
        call: Rc<RoutedRequest>,
        engine: Arc<TargetRecord>,
        answer: TargetAnswer,
        history: SendHistory,
        in_flight: InFlightGuard,
        first_event_timer: FirstEventTimer,
    ) -> Self {
        let last_id = call.caller.resume_after;
        let tokens = call.caller.prompt.as_ref().map_or(0, |p| p.output_tokens);
        Self {
            gateway,
            call,
            engine,
            answer: Some(answer),
            handed_over: None,
            splitter: EventSplitter::new(tokens, last_id),
            last_id,
            history,
            in_flight: Some(in_flight),
            first_event_timer,
            first_event_at: None,
            last_bytes_at: Instant::now(),
            decode_start: None,
            is_engine_checked: false,
            ended: false,
        }
    }

    /// Returns the events as frames of a body.
    #[must_use]
    pub fn into_frames(self) -> FrameStream {
        Box::pin(stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Ok(None) => None,
                Err(cut) => {
                    // The server drops a head that it has not written yet when its body fails.
                    yield_now().await;
                    Some((Err(cut), None))
                }
            }
        }))
    }

    async fn next(&mut self) -> Result<Option<Bytes>, AnswerTruncated> {
        loop {
            let step = self.step().await;
            if let RelayStep::Cut(reason) = &step
                && self.handed_over.is_none()
            {
                self.gateway
                    .record_connection_loss(&self.call, &self.engine, reason);
            }
            match step {
                RelayStep::Bytes(bytes) => return Ok(Some(bytes)),
                RelayStep::Partial => {}
                RelayStep::Ended => {
                    self.end("answered", "", SendResult::Answered);
                    return Ok(None);
                }
                RelayStep::OutOfTime => {
                    let reason = "the deadline of the request has passed";
                    self.end("out_of_time", reason, SendResult::Failed);
                    return Err(AnswerTruncated(reason.to_owned()));
                }
                RelayStep::Cut(reason) | RelayStep::Broken(reason) => {
                    if !self.resume(&reason).await {
                        self.end("cut", &reason, SendResult::Failed);
                        return Err(AnswerTruncated(reason));
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> RelayStep {
        if let Some(frames) = &mut self.handed_over {
            let frame = timeout_at(self.call.deadline, frames.next()).await;
            return match frame {
                Err(_) => RelayStep::OutOfTime,
                Ok(None) => self.finish_body(),
                Ok(Some(Err(cut))) => RelayStep::Broken(cut.to_string()),
                Ok(Some(Ok(frame))) => self.take_frame(frame),
            };
        }
        let stall_deadline = self.stall_deadline();
        let Some(answer) = &mut self.answer else {
            return RelayStep::Broken("no engine is serving the stream".to_owned());
        };
        let deadline = self.call.deadline.min(stall_deadline);
        match timeout_at(deadline, answer.body.frame()).await {
            Err(_) if Instant::now() >= self.call.deadline => RelayStep::OutOfTime,
            Err(_) => RelayStep::Broken("the engine sent nothing within the time limit".to_owned()),
            Ok(None) => self.finish_body(),
            Ok(Some(Err(error))) if is_timeout(&error) => RelayStep::Broken(error.to_string()),
            Ok(Some(Err(error))) => RelayStep::Cut(error.to_string()),
            Ok(Some(Ok(frame))) => self.take_frame(frame),
        }
    }

    fn stall_deadline(&self) -> Instant {
        let now = Instant::now();
        if !self.may_resume() {
            return self.call.deadline;
        }
        let gap = self
            .call
            .route
            .gap_objective
            .unwrap_or(DEFAULT_GAP_OBJECTIVE);
        let wait = match self.first_event_at {
            Some(_) => gap * STALL_TIMEOUT_GAPS,
            None => (gap * STALL_TIMEOUT_GAPS).max(self.call.route.objective * 2),
        };
        now + wait
    }

    fn take_frame(&mut self, frame: Frame<Bytes>) -> RelayStep {
        let Ok(data) = frame.into_data() else {
            return RelayStep::Partial;
        };
        self.last_bytes_at = Instant::now();
        if self.handed_over.is_none() {
            self.gateway.note_target_bytes(&self.engine);
            let centre = &self.engine.centre;
            self.gateway
                .count_traffic(CentreTraffic::Answer, centre, data.len());
        }
        let batch = match self.splitter.push(&data) {
            Ok(Some(batch)) => batch,
            Ok(None) => return RelayStep::Partial,
            Err(error) => return RelayStep::Broken(error.to_string()),
        };
        if !self.check_engine() {
            let reason = "another software version took the place of the engine";
            return RelayStep::Broken(reason.to_owned());
        }
        if self.first_event_at.is_none() {
            self.first_event_at = Some(Instant::now());
            if self.handed_over.is_none()
                && let Some(start) = self.gateway.stream_start(&self.call, &self.engine.software)
            {
                self.gateway.remember_start(start);
            }
            self.gateway.record_start(&self.call);
            if let Some(probe) = &*self.call.delay.borrow() {
                probe.note_first_event();
            }
            if let Some(timed) = self.first_event_timer.timed.take() {
                self.gateway
                    .note_time(&timed, self.first_event_timer.sent.elapsed());
            }
            let waited = self.call.arrived.elapsed();
            metrics::histogram!("pistachiowick_gateway_first_event_seconds", "route" => self.call.route.name.clone())
                .record(waited);
        }
        self.last_id = batch.last_id.or(self.last_id);
        if let (None, None, Some(id)) = (self.decode_start, &self.handed_over, self.last_id) {
            let core = self.gateway.core.borrow();
            let running = core.load.total(&self.engine.id).running;
            self.decode_start = Some((Instant::now(), id, running));
        }
        RelayStep::Bytes(batch.bytes)
    }

    // Returns whether events of the engine may be passed on, and fixes the version of the stream
    // with the first one.
    fn check_engine(&mut self) -> bool {
        if self.handed_over.is_some() || self.is_engine_checked {
            return true;
        }
        let software = &self.engine.software;
        let view = self.gateway.view();
        let current = view.find(&self.engine.id);
        if current.is_some_and(|record| record.software != *software) {
            return false;
        }
        let begun_at = self.call.software.get_or_init(|| software.clone());
        self.is_engine_checked = begun_at == software;
        self.is_engine_checked
    }

    fn finish_body(&mut self) -> RelayStep {
        let rest = self.splitter.take_rest();
        if rest.is_empty() {
            return RelayStep::Ended;
        }
        RelayStep::Cut("the engine ended the stream in the middle of an event".to_owned())
    }

    fn may_resume(&self) -> bool {
        self.call.route.retry == RetryRule::ResumableStream && self.history.may_send(&self.call)
    }

    // Resumes after the last event forwarded to the caller. The answer keeps the head from
    // the first engine.
    async fn resume(&mut self, reason: &str) -> bool {
        if !self.may_resume() || self.handed_over.is_some() {
            return false;
        }
        self.gateway.note_result(&self.engine, SendResult::Failed);
        self.answer = None;
        self.first_event_timer.timed = None;
        self.decode_start = None;
        self.in_flight = None;
        self.splitter.clear();
        self.resume_here(reason).await || self.resume_elsewhere().await
    }

    async fn resume_here(&mut self, reason: &str) -> bool {
        let turn_terms = self.call.continued_turn_terms();
        let Some(place) = self.gateway.place(&self.call, &self.history, turn_terms) else {
            return false;
        };
        if !self
            .gateway
            .take_retry(&self.call, RetryCause::ResumedStream)
        {
            return false;
        }
        let engine = place.decode_engine;
        let mut in_flight = InFlightGuard::begin(
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
        let sent = Instant::now();
        let plan = self.call.plan(self.call.deadline, turn_terms);
        let outcome = self.gateway.send(&engine, plan, &order).await;
        log::info!(
            request = self.call.caller.id.as_str(),
            reason = reason,
            after_event = self.last_id.unwrap_or(0),
            target_id = engine.id.as_str(),
            software = engine.software.as_str(),
            before_software = self.engine.software.as_str(),
            outcome = outcome.as_str(),
            took_ms = sent.elapsed().as_millis() as u64;
            "tried to resume the stream on another engine"
        );
        if !matches!(outcome, SendOutcome::NotSent(_)) {
            self.history.sent.push(engine.id.clone());
        }
        let SendOutcome::Answered(answer) = outcome else {
            return false;
        };
        if !answer.head.status.is_success() {
            return false;
        }
        in_flight.note_prefilled();
        self.in_flight = Some(in_flight);
        self.engine = engine;
        self.is_engine_checked = false;
        self.answer = Some(*answer);
        true
    }

    // Has another daemon resume the stream, if this one reaches no engine.
    async fn resume_elsewhere(&mut self) -> bool {
        let service = &self.call.service.name;
        if !self.may_resume() || !self.gateway.may_resume_elsewhere(&self.call) {
            return false;
        }
        let lost = Failure::new(FailureKind::Unclear, format!("no engine of {service}"));
        let reply = self
            .gateway
            .hand_over(&self.call, &self.history, self.last_id, lost)
            .await;
        let Ok(reply) = reply else {
            return false;
        };
        let is_success = reply.status().is_success();
        let Either::Right(frames) = reply.into_body() else {
            return false;
        };
        self.handed_over = is_success.then(|| -> FrameStream { Box::pin(frames.into_stream()) });
        is_success
    }

    fn log_end(&self, outcome: &'static str, reason: &str) {
        metrics::counter!("pistachiowick_gateway_answers_total", "outcome" => outcome).increment(1);
        let first_ms = self
            .first_event_at
            .map_or(0, |at| (at - self.call.arrived).as_millis() as u64);
        log::info!(
            request = self.call.caller.id.as_str(),
            route = self.call.route.name.as_str(),
            target_id = self.engine.id.as_str(),
            software = self.engine.software.as_str(),
            outcome = outcome,
            reason = reason,
            last_event = self.last_id.unwrap_or(0),
            first_event_ms = first_ms,
            silent_ms = self.last_bytes_at.elapsed().as_millis() as u64,
            took_ms = self.call.arrived.elapsed().as_millis() as u64;
            "stream ended"
        );
    }

    fn note_decode_time(&self) {
        let Some((since, first_id, running)) = self.decode_start else {
            return;
        };
        let tokens = self.last_id.unwrap_or(0).saturating_sub(first_id);
        let taken_ms = since.elapsed().as_secs_f64() * 1_000.0;
        let capacities = &mut self.gateway.core.borrow_mut().capacities;
        let now = clock::mono_now();
        capacities.note_decode(&self.engine, (running, tokens), taken_ms, now);
    }

    fn end(&mut self, outcome: &'static str, reason: &str, result: SendResult) {
        if self.handed_over.is_none() {
            self.gateway.note_result(&self.engine, result);
        }
        self.log_end(outcome, reason);
        self.ended = true;
        self.in_flight = None;
        let Some(answer) = self.answer.take() else {
            return;
        };
        if result == SendResult::Answered {
            self.note_decode_time();
            self.gateway.record_answer(&self.engine, answer.times);
            self.gateway
                .record_completion(&self.call, &self.engine, &answer.head.headers);
            answer.connection.return_to_pool(&answer.head);
        }
    }
}

impl Drop for EventRelay {
    fn drop(&mut self) {
        if !self.ended {
            self.log_end("caller_left", "");
        }
    }
}
