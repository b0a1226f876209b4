//! One attempt of a request at one engine, and the stream lines it receives.

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

/// Why an attempt ended without a complete answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptFailure {
    /// Whether the engine may have worked on the request.
    pub may_have_run: bool,
    /// Proof that it has not.
    pub proof: Option<UndeliveredProof>,
    /// Whether the target broke off its answer, or sent none.
    pub connection_lost: bool,
    /// What happened.
    pub reason: String,
    /// Time after which to retry, if the engine gave one.
    pub retry_after: Duration,
}

/// Why a stream was not followed to its end.
#[derive(Clone, Debug)]
struct StreamBreak {
    // Whether the engine, not this daemon, ended the stream.
    connection_lost: bool,
    reason: String,
}

impl StreamBreak {
    fn timeout(timeout: Duration) -> Self {
        Self::abandoned(format!("the engine sent no line for {timeout:?}"))
    }

    fn abandoned(reason: String) -> Self {
        Self {
            connection_lost: false,
            reason,
        }
    }

    fn lost(reason: impl Into<String>) -> Self {
        Self {
            connection_lost: true,
            reason: reason.into(),
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
            meter: GapMeter::default(),
        }
    }

    /// Runs one attempt at an engine until its answer is complete.
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
        let lines = self.open(choice, attempt).await?;
        let mut result = self.follow(lines, choice, attempt).await;
        for _ in 0..MAX_RESUMES {
            let Err(broken) = &result else { break };
            log::debug!("request {}: {}", self.request.id, broken.reason);
            let Ok(lines) = self.reopen(choice, attempt).await else {
                break;
            };
            result = self.follow(lines, choice, attempt).await;
        }
        self.conclude(choice, result)
    }

    // An engine that broke off the stream and could not resume it counts as crashed. One that
    // sent no line in time, or an invalid one, does not.
    fn conclude(
        &self,
        choice: &TargetChoice,
        result: Result<AnswerSummary, StreamBreak>,
    ) -> Result<AnswerSummary, AttemptFailure> {
        match result {
            Ok(summary) => {
                self.context.record_completion(self.request);
                Ok(summary)
            }
            Err(StreamBreak {
                connection_lost,
                reason,
            }) => {
                if connection_lost {
                    self.context.record_connection_loss(self.request, choice);
                }
                Err(AttemptFailure {
                    may_have_run: true,
                    proof: None,
                    connection_lost,
                    reason,
                    retry_after: Duration::ZERO,
                })
            }
        }
    }

    /// Resumes a stream that an engine already runs, until the answer is complete.
    ///
    /// # Errors
    ///
    /// Returns a failure when the engine no longer has the stream.
    pub async fn resume_stream(
        &mut self,
        choice: &TargetChoice,
        attempt: u32,
    ) -> Result<AnswerSummary, AttemptFailure> {
        let lines = self.reopen(choice, attempt).await;
        let lines = lines.map_err(|error| AttemptFailure::from(&error))?;
        self.announce(choice, attempt).await;
        let result = self.follow(lines, choice, attempt).await;
        self.conclude(choice, result)
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

    async fn open(
        &mut self,
        choice: &TargetChoice,
        attempt: u32,
    ) -> Result<LineStream, AttemptFailure> {
        let ran_before = self.sink.may_have_run();
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
            timeout: first_line_timeout(choice).min(self.request.time_left()),
            body: self.body(choice, attempt),
        };
        let opened = (self.context.engines.generate)(call).await;
        self.context
            .dispatcher
            .report_call(choice, opened.as_ref().err());
        opened.map_err(|error| {
            let failure = AttemptFailure::from(&error);
            if failure.connection_lost {
                self.context.record_connection_loss(self.request, choice);
            }
            if !failure.may_have_run && !ran_before {
                self.sink.record_not_run();
            }
            failure
        })
    }

    async fn reopen(
        &mut self,
        choice: &TargetChoice,
        attempt: u32,
    ) -> Result<LineStream, TargetError> {
        let call = TargetCall {
            address: choice.address.clone(),
            timeout: SIDE_CALL_TIMEOUT.min(self.request.time_left()),
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
            let timeout = self.line_timeout(choice);
            let line = match tokio::time::timeout(timeout, lines.next()).await {
                Err(_) => return Err(StreamBreak::timeout(timeout)),
                Ok(None) => return Err(StreamBreak::lost("the stream ended before its end line")),
                Ok(Some(Err(error))) => return Err(StreamBreak::lost(error.to_string())),
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
                LineVerdict::Break(cause) => return Err(StreamBreak::abandoned(cause.to_string())),
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
