//! One attempt of a request at one engine, with the lines it brings.

use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures_util::StreamExt;

use crate::clock;
use crate::decide::placement::TargetChoice;
use crate::decide::scheduler::JobMeasurement;
use crate::intents::permit::UndeliveredProof;
use crate::names::millis;
use crate::ports::{LineStream, StreamPosition, TargetCall, TargetError};
use crate::requests::answer::{AnswerAssembly, AnswerPart, AnswerSummary, LineVerdict};
use crate::requests::answer_sink::AnswerSink;
use crate::requests::request::CallerRequest;
use crate::requests::traffic::{RequestProgress, SIDE_CALL, TrafficContext};
use crate::targets::wire::GenerateBody;

/// Silence that is always allowed between lines.
const LEAST_SILENCE: Duration = Duration::from_secs(2);
/// Expected first-token times and token gaps after which an engine counts as stuck.
const SILENT_GAPS: f64 = 50.0;
const SILENT_FIRST_TOKENS: f64 = 4.0;
/// Times a broken stream is taken up again at its engine.
const MOST_RESUMES: u32 = 2;

/// Why an attempt ended without a whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptFault {
    /// Whether the engine may have worked on the request.
    pub may_have_run: bool,
    /// Proof that it has not.
    pub proof: Option<UndeliveredProof>,
    /// Whether the target broke its answer off, or gave none.
    pub cut: bool,
    /// What happened.
    pub reason: String,
    /// When to come back, where the engine said so.
    pub retry_after: Duration,
}

/// Why a stream was not followed to its end.
#[derive(Clone, Debug)]
struct StreamBreak {
    // Whether the engine ended it, and not this daemon.
    cut: bool,
    reason: String,
}

impl StreamBreak {
    fn silence(silence: Duration) -> Self {
        Self::garbled(format!("no line for {silence:?}"))
    }

    fn garbled(reason: String) -> Self {
        Self { cut: false, reason }
    }

    fn cut(reason: impl Into<String>) -> Self {
        Self {
            cut: true,
            reason: reason.into(),
        }
    }
}

/// State of a request across its attempts.
pub struct AttemptState<'a> {
    /// What the request shares with others.
    pub context: &'a TrafficContext,
    /// The request.
    pub request: &'a CallerRequest,
    /// The caller's end.
    pub sink: &'a mut AnswerSink,
    /// Answer so far.
    pub assembly: AnswerAssembly,
    /// Tokens delivered.
    pub tokens: u32,
    /// Times of the request.
    pub progress: &'a mut RequestProgress,
    meter: GapMeter,
}

#[derive(Clone, Copy, Debug, Default)]
struct GapMeter {
    started: Option<Instant>,
    first: Option<Instant>,
    last: Option<Instant>,
    tokens: u32,
}

impl<'a> AttemptState<'a> {
    /// Creates the state of a request that no engine has seen.
    pub fn new(
        context: &'a TrafficContext,
        request: &'a CallerRequest,
        sink: &'a mut AnswerSink,
        progress: &'a mut RequestProgress,
        offset: u64,
    ) -> Self {
        Self {
            context,
            request,
            sink,
            assembly: AnswerAssembly::resume_from(request.id.clone(), offset),
            tokens: 0,
            progress,
            meter: GapMeter::default(),
        }
    }

    /// Runs one attempt at an engine until its answer is whole.
    ///
    /// # Errors
    ///
    /// Returns a fault that says whether the engine may have worked on it.
    pub async fn run(
        &mut self,
        choice: &TargetChoice,
        attempt: u32,
    ) -> Result<AnswerSummary, AttemptFault> {
        self.announce(choice, attempt).await;
        let lines = self.open(choice, attempt).await?;
        let mut ending = self.follow(lines, choice, attempt).await;
        for _ in 0..MOST_RESUMES {
            let Err(broken) = &ending else { break };
            log::debug!("request {}: {}", self.request.id, broken.reason);
            let Ok(lines) = self.reopen(choice, attempt).await else {
                break;
            };
            ending = self.follow(lines, choice, attempt).await;
        }
        self.conclude(choice, ending)
    }

    // An engine that could not be asked to go on either has ended.
    fn conclude(
        &self,
        choice: &TargetChoice,
        ending: Result<AnswerSummary, StreamBreak>,
    ) -> Result<AnswerSummary, AttemptFault> {
        match ending {
            Ok(summary) => {
                self.context.record_completion(self.request);
                Ok(summary)
            }
            Err(StreamBreak { cut, reason }) => {
                if cut {
                    self.context.record_connection_loss(self.request, choice);
                }
                Err(AttemptFault {
                    may_have_run: true,
                    proof: None,
                    cut,
                    reason,
                    retry_after: Duration::ZERO,
                })
            }
        }
    }

    /// Takes up a stream that an engine already runs, until the answer is whole.
    ///
    /// # Errors
    ///
    /// Returns a fault when the engine has the stream no more.
    pub async fn take_up(
        &mut self,
        choice: &TargetChoice,
        attempt: u32,
    ) -> Result<AnswerSummary, AttemptFault> {
        let lines = self.reopen(choice, attempt).await;
        let lines = lines.map_err(|error| AttemptFault::from(&error))?;
        self.announce(choice, attempt).await;
        let ending = self.follow(lines, choice, attempt).await;
        self.conclude(choice, ending)
    }

    /// Returns what can be learned from the last attempt.
    #[must_use]
    pub fn measure(&self, whole: bool) -> JobMeasurement {
        let meter = &self.meter;
        let span = |from: Option<Instant>, to: Option<Instant>| {
            Some(to?.duration_since(from?).as_secs_f64())
        };
        let gaps = f64::from(meter.tokens.saturating_sub(1));
        JobMeasurement {
            first_token_s: span(meter.started, meter.first),
            token_gap_s: span(meter.first, meter.last)
                .filter(|_| gaps >= 1.0)
                .map(|s| s / gaps),
            complete_answer_tokens: whole.then_some(self.tokens),
        }
    }

    async fn announce(&mut self, choice: &TargetChoice, attempt: u32) {
        let waited = clock::mono_now().since(self.request.arrived);
        self.progress.queueing.get_or_insert(waited);
        let token = self.context.token(self.request, Some(choice), attempt);
        self.sink.accepted(token, attempt, &choice.target).await;
    }

    async fn open(
        &mut self,
        choice: &TargetChoice,
        attempt: u32,
    ) -> Result<LineStream, AttemptFault> {
        let ran_before = self.sink.may_have_run();
        self.assembly.begin_attempt(attempt);
        self.meter = GapMeter {
            started: Some(Instant::now()),
            ..GapMeter::default()
        };
        // Said before the call: a crash of this task in between must not let a
        // later refusal claim that nothing ran.
        self.sink.note_dispatched();
        let call = TargetCall {
            address: choice.address.clone(),
            timeout: first_silence(choice).min(self.request.time_left()),
            body: self.body(choice, attempt),
        };
        let opened = (self.context.engines.generate)(call).await;
        self.context
            .dispatcher
            .report_call(choice, opened.as_ref().err());
        opened.map_err(|error| {
            let fault = AttemptFault::from(&error);
            if fault.cut {
                self.context.record_connection_loss(self.request, choice);
            }
            if !fault.may_have_run && !ran_before {
                self.sink.note_not_run();
            }
            fault
        })
    }

    async fn reopen(
        &mut self,
        choice: &TargetChoice,
        attempt: u32,
    ) -> Result<LineStream, TargetError> {
        let call = TargetCall {
            address: choice.address.clone(),
            timeout: SIDE_CALL.min(self.request.time_left()),
            body: StreamPosition {
                request_id: self.request.id.clone(),
                attempt,
                offset: self.assembly.delivered(),
            },
        };
        let lines = (self.context.engines.resume)(call).await?;
        self.assembly.begin_attempt(attempt);
        Ok(lines)
    }

    async fn follow(
        &mut self,
        mut lines: LineStream,
        choice: &TargetChoice,
        attempt: u32,
    ) -> Result<AnswerSummary, StreamBreak> {
        loop {
            let silence = self.allowed_silence(choice);
            let line = match tokio::time::timeout(silence, lines.next()).await {
                Err(_) => return Err(StreamBreak::silence(silence)),
                Ok(None) => return Err(StreamBreak::cut("the stream ended without its end")),
                Ok(Some(Err(error))) => return Err(StreamBreak::cut(error.to_string())),
                Ok(Some(Ok(line))) => line,
            };
            match self.assembly.accept(&line) {
                LineVerdict::Deliver(part) => self.deliver(attempt, part).await,
                LineVerdict::Finish { part, summary } => {
                    if let Some(part) = part {
                        self.deliver(attempt, part).await;
                    }
                    return Ok(summary);
                }
                LineVerdict::Drop(_) => {}
                LineVerdict::Break(cause) => return Err(StreamBreak::garbled(cause.to_string())),
            }
        }
    }

    async fn deliver(&mut self, attempt: u32, part: AnswerPart) {
        let now = Instant::now();
        let request = self.request;
        if let (Some(last), true) = (self.meter.last, part.tokens > 0) {
            let gap = now.duration_since(last) / part.tokens;
            self.context
                .telemetry
                .token_gap(request.workspace(), request.class_name(), gap);
        }
        if self.meter.first.is_none() {
            self.meter.first = Some(now);
            let waited = clock::mono_now().since(request.arrived);
            self.progress.first_token.get_or_insert(waited);
        }
        self.meter.last = Some(now);
        self.meter.tokens += part.tokens;
        self.tokens += part.tokens;
        self.sink.part(attempt, part).await;
    }

    fn allowed_silence(&self, choice: &TargetChoice) -> Duration {
        match self.meter.first {
            None => first_silence(choice),
            Some(_) => scaled(choice.token_gap_s, SILENT_GAPS),
        }
    }

    fn body(&self, choice: &TargetChoice, attempt: u32) -> GenerateBody {
        let submit = &self.request.submit;
        let (model, version) = choice.model.split_once('@').unwrap_or((&choice.model, ""));
        let version = version.split('+').next().unwrap_or_default();
        GenerateBody {
            request_id: self.request.id.clone(),
            attempt,
            workspace: self.request.workspace().clone(),
            model: model.split('+').next().unwrap_or_default().into(),
            adapter: submit.adapter.clone(),
            version: version.to_owned(),
            priority: self.request.class.priority,
            deadline_ms: millis(self.request.time_left()),
            prompt: STANDARD.encode(&submit.prompt),
            prompt_tokens: submit.prompt_tokens,
            max_output_tokens: submit.max_output_tokens,
            offset: self.assembly.delivered(),
            tokens_done: self.tokens,
            shared_prefix: submit.shared_prefix.clone(),
            shared_prefix_tokens: submit.shared_prefix_tokens,
            import_kv_from: String::new(),
        }
    }
}

impl From<&TargetError> for AttemptFault {
    fn from(error: &TargetError) -> Self {
        let (may_have_run, retry_after) = match error {
            TargetError::NotDelivered { .. } => (false, Duration::from_millis(100)),
            TargetError::Refused { retry_after, .. } => (false, *retry_after),
            TargetError::Fenced { .. } | TargetError::NoStream | TargetError::Lost { .. } => {
                (true, Duration::ZERO)
            }
        };
        Self {
            may_have_run,
            proof: UndeliveredProof::from_error(error),
            cut: matches!(error, TargetError::Lost { .. }),
            reason: error.to_string(),
            retry_after,
        }
    }
}

fn first_silence(choice: &TargetChoice) -> Duration {
    scaled(choice.first_token_s, SILENT_FIRST_TOKENS)
}

fn scaled(expected_s: f64, factor: f64) -> Duration {
    LEAST_SILENCE + Duration::from_secs_f64((expected_s * factor).clamp(0.0, 600.0))
}
