//! One attempt of a request at one engine, and the stream lines it receives.

use std::future::ready;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures_util::{StreamExt, stream};

use crate::clock;
use crate::decide::placement::TargetChoice;
use crate::decide::scheduler::JobMeasurement;
use crate::intents::permit::UndeliveredProof;
use crate::names::millis;
use crate::ports::{LineStream, PortFuture, StreamPosition, TargetCall, TargetError};
use crate::requests::answer::{AnswerAssembly, AnswerPart, AnswerSummary, LineVerdict};
use crate::requests::answer_sink::AnswerSink;
use crate::requests::request::CallerRequest;
use crate::requests::traffic::{RequestProgress, SIDE_CALL_TIMEOUT, TrafficContext};
use crate::targets::wire::GenerateBody;

/// Minimum timeout for the next line; the multiples below are added to it.
const MIN_LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Multiples of the expected token gap and first-token time after which an engine counts
/// as stuck.
const TIMEOUT_TOKEN_GAPS: f64 = 50.0;
const TIMEOUT_FIRST_TOKENS: f64 = 4.0;
/// How often a broken stream is resumed at its engine.
const MAX_RESUMES: u32 = 2;
/// Interval at which the stream of a silent engine is opened again.
const REOPEN_INTERVAL: Duration = Duration::from_secs(2);

type PendingLines = PortFuture<Result<LineStream, TargetError>>;

/// Where the lines of an attempt come from.
enum LineSource {
    // The call has not been answered yet.
    Opening(PendingLines),
    Open(LineStream),
}

/// An attempt whose engine was silent for too long, and may still go on.
pub struct SilentAttempt {
    /// The engine.
    pub choice: TargetChoice,
    /// Number of the attempt.
    pub attempt: u32,
    source: LineSource,
}

/// Why an attempt ended without a complete answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptFailure {
    /// Whether the engine may have worked on the request.
    pub may_have_run: bool,
    /// Proof that it has not.
    pub proof: Option<UndeliveredProof>,
    /// Whether the target broke off its answer, or sent none.
    pub connection_lost: bool,
    /// Whether the target sent nothing for too long and may still go on.
    pub is_silent: bool,
    /// What happened.
    pub reason: String,
    /// Time after which to retry, if the engine gave one.
    pub retry_after: Duration,
}

/// Why a stream was not followed to its end.
enum StreamBreak {
    // The engine ended the stream.
    Lost(String),
    // The stream cannot be used any more.
    Abandoned(String),
    // The engine sent nothing for this long; what comes next comes from the source.
    Silent(Duration, LineSource),
}

impl StreamBreak {
    fn reason(&self) -> String {
        match self {
            Self::Lost(reason) | Self::Abandoned(reason) => reason.clone(),
            Self::Silent(timeout, _) => format!("the engine sent no line for {timeout:?}"),
        }
    }
}

impl From<&StreamBreak> for AttemptFailure {
    fn from(broken: &StreamBreak) -> Self {
        Self {
            may_have_run: true,
            proof: None,
            connection_lost: matches!(broken, StreamBreak::Lost(_)),
            is_silent: matches!(broken, StreamBreak::Silent(..)),
            reason: broken.reason(),
            retry_after: Duration::ZERO,
        }
    }
}

/// State of a request across its attempts.
pub struct AttemptState<'a> {
    /// State shared by all requests.
    pub context: &'a TrafficContext,
    /// The request.
    pub request: &'a CallerRequest,
    /// Events to the caller.
    pub sink: &'a mut AnswerSink,
    /// Answer so far.
    pub assembly: AnswerAssembly,
    /// Tokens delivered.
    pub tokens: u32,
    /// Times of the request.
    pub progress: &'a mut RequestProgress,
    /// Attempt whose engine is silent, while another one is tried.
    pub silent: Option<SilentAttempt>,
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
    /// Creates the state of a request that has not been sent to any engine.
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
            silent: None,
            meter: GapMeter::default(),
        }
    }

    /// Runs one attempt at an engine until its answer is complete. If the engine is silent for
    /// too long, the attempt is kept in [`Self::silent`], unless another one is kept there.
    ///
    /// # Errors
    ///
    /// Returns a failure that says whether the engine may have worked on it.
    pub async fn run(
        &mut self,
        choice: &TargetChoice,
        attempt: u32,
    ) -> Result<AnswerSummary, AttemptFailure> {
        self.announce(choice, attempt).await;
        let ran_before = self.sink.may_have_run();
        let opening = self.start(choice, attempt);
        self.await_lines(opening, (choice, attempt), ran_before)
            .await
    }

    /// Follows an attempt whose engine goes on after a silence.
    ///
    /// # Errors
    ///
    /// Returns a failure as [`Self::run`] does.
    pub async fn go_on(&mut self, silent: SilentAttempt) -> Result<AnswerSummary, AttemptFailure> {
        let (choice, attempt) = (silent.choice, silent.attempt);
        self.assembly.return_to_attempt(attempt);
        match silent.source {
            LineSource::Open(lines) => self.complete(lines, &choice, attempt).await,
            LineSource::Opening(opening) => {
                self.await_lines(opening, (&choice, attempt), true).await
            }
        }
    }

    /// Waits until the engine of the silent attempt sends something or gives the attempt up.
    pub async fn until_going(&mut self) {
        loop {
            let Some(silent) = &mut self.silent else {
                return;
            };
            let lines = match &mut silent.source {
                LineSource::Opening(opening) => {
                    let opened = opening.await;
                    silent.source = LineSource::Opening(Box::pin(ready(opened)));
                    return;
                }
                LineSource::Open(lines) => lines,
            };
            if let Ok(next) = tokio::time::timeout(REOPEN_INTERVAL, lines.next()).await {
                let rest = std::mem::replace(lines, Box::pin(stream::empty()));
                *lines = Box::pin(stream::iter(next).chain(rest));
                return;
            }
            let (choice, attempt) = (silent.choice.clone(), silent.attempt);
            // The connection may have been lost without a sign of it.
            let reopening = self.call_resume(&choice, attempt);
            if let (Ok(lines), Some(silent)) = (reopening.await, &mut self.silent) {
                silent.source = LineSource::Open(lines);
            }
        }
    }

    /// Runs one attempt as [`Self::run`] does, and waits for a silent engine for as long as it
    /// takes: for work that no other engine may get.
    ///
    /// # Errors
    ///
    /// Returns a failure that says whether the engine may have worked on it.
    pub async fn run_to_end(
        &mut self,
        choice: &TargetChoice,
        attempt: u32,
    ) -> Result<AnswerSummary, AttemptFailure> {
        let result = self.run(choice, attempt).await;
        self.outlast_silence(result).await
    }

    async fn outlast_silence(
        &mut self,
        mut result: Result<AnswerSummary, AttemptFailure>,
    ) -> Result<AnswerSummary, AttemptFailure> {
        while result.as_ref().is_err_and(|failure| failure.is_silent) {
            self.until_going().await;
            let Some(silent) = self.silent.take() else {
                break;
            };
            result = self.go_on(silent).await;
        }
        result
    }

    async fn await_lines(
        &mut self,
        mut opening: PendingLines,
        (choice, attempt): (&TargetChoice, u32),
        ran_before: bool,
    ) -> Result<AnswerSummary, AttemptFailure> {
        let limit = first_line_timeout(choice);
        let Ok(opened) = tokio::time::timeout(limit, &mut opening).await else {
            let silent = StreamBreak::Silent(limit, LineSource::Opening(opening));
            return self.conclude(choice, attempt, Err(silent));
        };
        self.context
            .dispatcher
            .report_call(choice, opened.as_ref().err());
        match opened {
            Ok(lines) => self.complete(lines, choice, attempt).await,
            Err(error) => {
                let failure = AttemptFailure::from(&error);
                if failure.connection_lost {
                    self.context.record_connection_loss(self.request, choice);
                }
                if !failure.may_have_run && !ran_before {
                    self.sink.record_not_run();
                }
                Err(failure)
            }
        }
    }

    async fn complete(
        &mut self,
        lines: LineStream,
        choice: &TargetChoice,
        attempt: u32,
    ) -> Result<AnswerSummary, AttemptFailure> {
        let mut result = self.follow(lines, choice, attempt).await;
        for _ in 0..MAX_RESUMES {
            if let Err(broken) = &result {
                log::debug!("request {}: {}", self.request.id, broken.reason());
            } else {
                break;
            }
            let Ok(lines) = self.reopen(choice, attempt).await else {
                break;
            };
            result = self.follow(lines, choice, attempt).await;
        }
        self.conclude(choice, attempt, result)
    }

    // An engine that broke off the stream and could not resume it counts as crashed. One that
    // sent no line in time, or an invalid one, does not.
    fn conclude(
        &mut self,
        choice: &TargetChoice,
        attempt: u32,
        result: Result<AnswerSummary, StreamBreak>,
    ) -> Result<AnswerSummary, AttemptFailure> {
        let broken = match result {
            Ok(summary) => {
                self.context.record_completion(self.request);
                return Ok(summary);
            }
            Err(broken) => broken,
        };
        let failure = AttemptFailure::from(&broken);
        match broken {
            StreamBreak::Lost(_) => self.context.record_connection_loss(self.request, choice),
            StreamBreak::Abandoned(_) => {}
            StreamBreak::Silent(_, source) => {
                self.silent.get_or_insert_with(|| SilentAttempt {
                    choice: choice.clone(),
                    attempt,
                    source,
                });
            }
        }
        Err(failure)
    }

    /// Resumes a stream that an engine already runs, until the answer is complete. If no other
    /// engine may take it over, a silent engine is waited for.
    ///
    /// # Errors
    ///
    /// Returns a failure when the engine no longer has the stream.
    pub async fn resume_stream(
        &mut self,
        choice: &TargetChoice,
        attempt: u32,
        may_move: bool,
    ) -> Result<AnswerSummary, AttemptFailure> {
        let lines = self.reopen(choice, attempt).await;
        let lines = lines.map_err(|error| AttemptFailure::from(&error))?;
        self.announce(choice, attempt).await;
        let result = self.follow(lines, choice, attempt).await;
        let result = self.conclude(choice, attempt, result);
        if may_move {
            return result;
        }
        self.outlast_silence(result).await
    }

    /// Returns the measurements of the last attempt; `whole` says whether the answer is
    /// complete.
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
        self.sink
            .send_accepted(token, attempt, &choice.target)
            .await;
    }

    fn start(&mut self, choice: &TargetChoice, attempt: u32) -> PendingLines {
        self.assembly.begin_attempt(attempt);
        self.meter = GapMeter {
            started: Some(Instant::now()),
            ..GapMeter::default()
        };
        // Recorded before the call: if this task crashes in between, a later refusal
        // must not claim that nothing ran.
        self.sink.record_dispatch();
        let call = TargetCall {
            address: choice.address.clone(),
            timeout: self.request.time_left(),
            body: self.body(choice, attempt),
        };
        (self.context.engines.generate)(call)
    }

    async fn reopen(
        &mut self,
        choice: &TargetChoice,
        attempt: u32,
    ) -> Result<LineStream, TargetError> {
        let lines = self.call_resume(choice, attempt).await?;
        self.assembly.begin_attempt(attempt);
        Ok(lines)
    }

    fn call_resume(&self, choice: &TargetChoice, attempt: u32) -> PendingLines {
        let call = TargetCall {
            address: choice.address.clone(),
            timeout: SIDE_CALL_TIMEOUT.min(self.request.time_left()),
            body: StreamPosition {
                request_id: self.request.id.clone(),
                attempt,
                offset: self.assembly.delivered(),
            },
        };
        (self.context.engines.resume)(call)
    }

    async fn follow(
        &mut self,
        mut lines: LineStream,
        choice: &TargetChoice,
        attempt: u32,
    ) -> Result<AnswerSummary, StreamBreak> {
        loop {
            let timeout = self.line_timeout(choice);
            let line = match tokio::time::timeout(timeout, lines.next()).await {
                Err(_) => return Err(StreamBreak::Silent(timeout, LineSource::Open(lines))),
                Ok(None) => {
                    let reason = "the stream ended before its end line".to_owned();
                    return Err(StreamBreak::Lost(reason));
                }
                Ok(Some(Err(error))) => return Err(StreamBreak::Lost(error.to_string())),
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
                LineVerdict::Break(cause) => {
                    return Err(StreamBreak::Abandoned(cause.to_string()));
                }
            }
        }
    }

    async fn deliver(&mut self, attempt: u32, part: AnswerPart) {
        // The silent engine is not needed any more once another one delivers.
        if let Some(silent) = self.silent.take_if(|silent| silent.attempt != attempt) {
            self.context
                .cancel_stream(&silent.choice.address, &self.request.id);
        }
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
        self.sink.send_part(attempt, part).await;
    }

    fn line_timeout(&self, choice: &TargetChoice) -> Duration {
        match self.meter.first {
            None => first_line_timeout(choice),
            Some(_) => scaled_timeout(choice.token_gap_s, TIMEOUT_TOKEN_GAPS),
        }
    }

    fn body(&self, choice: &TargetChoice, attempt: u32) -> GenerateBody {
        let submit = &self.request.submit;
        // The engine's name for it has the form MODEL@VERSION+ADAPTER.
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

impl From<&TargetError> for AttemptFailure {
    fn from(error: &TargetError) -> Self {
        let (may_have_run, retry_after) = match error {
            TargetError::NotDelivered { .. } => (false, Duration::from_millis(100)),
            TargetError::Refused { retry_after, .. } => (false, *retry_after),
            TargetError::Fenced { .. }
            | TargetError::NoStream
            | TargetError::Silent { .. }
            | TargetError::Lost { .. } => (true, Duration::ZERO),
        };
        Self {
            may_have_run,
            proof: UndeliveredProof::from_error(error),
            connection_lost: matches!(error, TargetError::Lost { .. }),
            is_silent: false,
            reason: error.to_string(),
            retry_after,
        }
    }
}

fn first_line_timeout(choice: &TargetChoice) -> Duration {
    scaled_timeout(choice.first_token_s, TIMEOUT_FIRST_TOKENS)
}

fn scaled_timeout(expected_s: f64, factor: f64) -> Duration {
    MIN_LINE_TIMEOUT + Duration::from_secs_f64((expected_s * factor).clamp(0.0, 600.0))
}
