//! Forwards a stream of events to the caller. If its engine fails or is silent and the route
//! allows it, another one goes on with the stream.
//!
//! A silent engine may still go on, so its answer is kept while another engine is tried. The
//! first event after the last one forwarded decides which of them goes on.

mod run;
mod tries;

use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use hyper::body::Frame;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

use crate::clock;
use crate::gateway::call::{InFlightGuard, RoutedRequest, SendHistory};
use crate::gateway::centre_traffic::CentreTraffic;
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::TimedWork;
use crate::gateway::deciding::health::SendResult;
use crate::gateway::event_split::{EventBatch, EventSplitter};
use crate::gateway::model::TargetRecord;
use crate::gateway::reply::{AnswerTruncated, FrameStream};
use crate::gateway::sending::TargetAnswer;
use crate::gateway::stream::run::{HandoverEnd, RunSource, RunStep, StreamRun, poll_runs};
use crate::gateway::stream::tries::RunFailure;

/// Silence of an engine after which another one is tried, as a multiple of the gap objective.
/// Callers time out later, after two seconds or more.
const SILENCE_GAPS: u32 = 4;
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

/// A stream that is being forwarded. Dropping it cancels the work on the engines.
pub struct EventRelay {
    gateway: Rc<Gateway>,
    call: Rc<RoutedRequest>,
    runs: Vec<StreamRun>,
    // Engine whose events were forwarded last, or the first one.
    engine: Arc<TargetRecord>,
    // State after the last event forwarded.
    splitter: EventSplitter,
    last_id: Option<u64>,
    history: SendHistory,
    // Whether another daemon may have sent the request, which is not counted here.
    is_handed_over: bool,
    next_try: Instant,
    // Whether the engine has been silent for too long since the last event.
    is_silent: bool,
    first_event_timer: FirstEventTimer,
    first_event_at: Option<Instant>,
    last_bytes_at: Instant,
    // Time and id of the first event of the present engine, and its running requests.
    decode_start: Option<(Instant, u64, u32)>,
    ended: bool,
}

enum RelayStep {
    Run(usize, RunStep),
    Silence,
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
        let splitter = EventSplitter::new(tokens, last_id);
        let now = Instant::now();
        let run = StreamRun {
            source: RunSource::Answer(Box::new(answer)),
            engine: Some(engine.clone()),
            splitter: splitter.resumed(),
            in_flight: Some(in_flight),
            is_leading: true,
            is_checked: false,
            started: now,
        };
        Self {
            gateway,
            call,
            runs: vec![run],
            engine,
            splitter,
            last_id,
            history,
            is_handed_over: false,
            next_try: now,
            is_silent: false,
            first_event_timer,
            first_event_at: None,
            last_bytes_at: now,
            decode_start: None,
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
        // While the caller does not read, nothing is read from the engine either.
        self.await_events();
        loop {
            let (index, step) = match self.step().await {
                RelayStep::Run(index, step) => (index, step),
                RelayStep::Silence => {
                    self.note_silence();
                    continue;
                }
                RelayStep::OutOfTime => {
                    let reason = "the deadline of the request has passed";
                    return Err(self.cut("out_of_time", reason.to_owned()));
                }
            };
            match step {
                RunStep::Data(data) => match self.take_data(index, &data) {
                    Ok(Some(bytes)) => return Ok(Some(bytes)),
                    Ok(None) => {}
                    Err(reason) => self.fail_run(index, RunFailure::Broken(reason))?,
                },
                RunStep::Sent(outcome) => self.take_outcome(index, outcome)?,
                RunStep::HandedOver(HandoverEnd::Taken(frames)) => {
                    self.runs[index].source = RunSource::Peer(frames);
                }
                RunStep::HandedOver(end) => {
                    self.is_handed_over = matches!(end, HandoverEnd::Lost);
                    let reason = "no other daemon took the stream over".to_owned();
                    self.fail_run(index, RunFailure::Sent(reason))?;
                }
                RunStep::Ended if self.may_be_whole(index) => {
                    self.settle(index);
                    self.end();
                    return Ok(None);
                }
                RunStep::Ended => {
                    let reason = "the engine ended the stream without an event".to_owned();
                    self.fail_run(index, RunFailure::Broken(reason))?;
                }
                RunStep::Cut(reason) => self.fail_run(index, RunFailure::Cut(reason))?,
                RunStep::Broken(reason) => self.fail_run(index, RunFailure::Broken(reason))?,
            }
        }
    }

    async fn step(&mut self) -> RelayStep {
        let deadline = self.call.deadline;
        // Work that may crash engines is sent to one at a time.
        let wake = match self.may_try_another() && !self.call.is_probe.get() {
            true => self.next_try.min(deadline),
            false => deadline,
        };
        let runs = &mut self.runs;
        match timeout_at(wake, poll_fn(|context| poll_runs(runs, context))).await {
            Ok((index, step)) => RelayStep::Run(index, step),
            Err(_) if Instant::now() >= deadline => RelayStep::OutOfTime,
            Err(_) => RelayStep::Silence,
        }
    }

    fn await_events(&mut self) {
        let gap = self.call.route.gap_objective;
        let wait = gap.unwrap_or(DEFAULT_GAP_OBJECTIVE) * SILENCE_GAPS;
        let wait = match self.first_event_at {
            Some(_) => wait,
            None => wait.max(self.call.route.objective * 2),
        };
        self.next_try = Instant::now() + wait;
    }

    fn note_silence(&mut self) {
        self.is_silent = true;
        // The time of a silence says nothing about the engine's speed.
        self.first_event_timer.timed = None;
        self.decode_start = None;
        self.try_another();
    }

    // Returns the events of a run that are now whole, or why it cannot go on.
    fn take_data(&mut self, index: usize, data: &Bytes) -> Result<Option<Bytes>, String> {
        self.last_bytes_at = Instant::now();
        let run = &mut self.runs[index];
        if let Some(engine) = &run.engine {
            self.gateway.note_target_bytes(engine);
            self.gateway
                .count_traffic(CentreTraffic::Answer, &engine.centre, data.len());
        }
        let pushed = run.splitter.push(data);
        let Some(batch) = pushed.map_err(|error| error.to_string())? else {
            if run.is_leading {
                self.await_events();
            }
            return Ok(None);
        };
        if !self.check_engine(index) {
            return Err("another software version took the place of the engine".to_owned());
        }
        self.settle(index);
        self.note_events(&batch);
        Ok(Some(batch.bytes))
    }

    fn note_events(&mut self, batch: &EventBatch) {
        let run = &self.runs[0];
        self.splitter = run.splitter.resumed();
        self.last_id = batch.last_id.or(self.last_id);
        self.is_silent = false;
        let engine = run.engine.clone();
        if self.first_event_at.is_none() {
            self.note_first_event(engine.as_deref());
        }
        if let (None, Some(engine), Some(id)) = (self.decode_start, engine, self.last_id) {
            let core = self.gateway.core.borrow();
            let running = core.load.total(&engine.id).running;
            self.decode_start = Some((Instant::now(), id, running));
        }
    }

    fn note_first_event(&mut self, engine: Option<&TargetRecord>) {
        self.first_event_at = Some(Instant::now());
        if let Some(engine) = engine
            && let Some(start) = self.gateway.stream_start(&self.call, &engine.software)
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

    // Returns whether events of a run may be passed on, and fixes the version of the stream
    // with the first one.
    fn check_engine(&mut self, index: usize) -> bool {
        let run = &mut self.runs[index];
        let Some(engine) = run.engine.as_ref().filter(|_| !run.is_checked) else {
            return true;
        };
        let software = &engine.software;
        let view = self.gateway.view();
        let current = view.find(&engine.id);
        if current.is_some_and(|record| record.software != *software) {
            return false;
        }
        let begun_at = self.call.software.get_or_init(|| software.clone());
        run.is_checked = begun_at == software;
        run.is_checked
    }

    // While another run may go on, the end of one without an event proves nothing: its connection
    // may have been closed in front of the first.
    fn may_be_whole(&self, index: usize) -> bool {
        self.runs[index].is_leading || self.runs.len() == 1
    }

    // Cancels all runs but one, which goes on with the stream.
    fn settle(&mut self, index: usize) {
        self.runs.swap(0, index);
        let others: Vec<StreamRun> = self.runs.drain(1..).collect();
        for run in &others {
            if run.is_unanswered() {
                // Its request may have arrived.
                self.call.sends.note_arrival(false);
            }
        }
        if others.iter().any(|run| run.is_leading) {
            self.gateway.note_result(&self.engine, SendResult::Failed);
        }
        if self.is_silent {
            self.log_silence(others.len());
        }
        let run = &mut self.runs[0];
        run.is_leading = true;
        if let Some(engine) = &run.engine {
            self.engine = engine.clone();
        }
    }

    fn log_silence(&self, cancelled: usize) {
        let next = &self.runs[0];
        let outcome = if next.is_leading {
            "went_on"
        } else {
            "replaced"
        };
        metrics::counter!("pistachiowick_stream_silences_total", "outcome" => outcome).increment(1);
        log::info!(
            request = self.call.caller.id.as_str(),
            target_id = self.engine.id.as_str(),
            outcome = outcome,
            next_target_id = next.engine.as_ref().map_or("", |engine| engine.id.as_str()),
            cancelled = cancelled,
            last_event = self.last_id.unwrap_or(0);
            "silence of a stream's engine ended"
        );
    }

    // Ends the stream before its last event.
    fn cut(&mut self, outcome: &'static str, reason: String) -> AnswerTruncated {
        if self.runs.iter().any(|run| run.is_leading) {
            self.gateway.note_result(&self.engine, SendResult::Failed);
        }
        self.log_end(outcome, &reason);
        self.ended = true;
        self.runs.clear();
        AnswerTruncated(reason)
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

    // Ends a stream whose last event was forwarded.
    fn end(&mut self) {
        self.log_end("answered", "");
        self.ended = true;
        let Some(run) = self.runs.pop() else {
            return;
        };
        let (Some(engine), RunSource::Answer(answer)) = (run.engine, run.source) else {
            return;
        };
        self.gateway.note_result(&engine, SendResult::Answered);
        drop(run.in_flight);
        self.note_decode_time();
        self.gateway.record_answer(&engine, answer.times);
        self.gateway
            .record_completion(&self.call, &engine, &answer.head.headers);
        let TargetAnswer {
            head, connection, ..
        } = *answer;
        connection.return_to_pool(&head);
    }
}

impl Drop for EventRelay {
    fn drop(&mut self) {
        if !self.ended {
            self.log_end("caller_left", "");
        }
    }
}
