//! Runs a repeatable request on model engines: several attempts, one answer.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

use crate::decide::placement::{PinnedEngine, PlacementNeed, TargetChoice};
use crate::decide::scheduler::{JobMeasurement, JobRefusal};
use crate::names::RequestId;
use crate::ports::TargetCall;
use crate::requests::answer_sink::{AnswerSink, FinalOutcome};
use crate::requests::attempt::{AttemptFailure, AttemptState};
use crate::requests::request::CallerRequest;
use crate::requests::traffic::{
    RequestProgress, SIDE_CALL_TIMEOUT, TrafficContext, until_cancelled,
};

/// Maximum number of engines tried for one request.
const MAX_ATTEMPTS: u32 = 5;

/// Address of the engine that runs the request, so that it can be cancelled there.
type EngineAddress = Arc<Mutex<Option<String>>>;

/// Runs a request to its final outcome.
pub async fn run(
    context: &TrafficContext,
    request: &CallerRequest,
    sink: &mut AnswerSink,
    cancelled: watch::Receiver<bool>,
    progress: &mut RequestProgress,
) -> FinalOutcome {
    continue_from(context, request, sink, cancelled, progress, 0, None).await
}

/// Runs a request whose caller has already received the first `offset` bytes, which
/// `pinned` generated.
pub async fn continue_from(
    context: &TrafficContext,
    request: &CallerRequest,
    sink: &mut AnswerSink,
    mut cancelled: watch::Receiver<bool>,
    progress: &mut RequestProgress,
    offset: u64,
    pinned: Option<PinnedEngine>,
) -> FinalOutcome {
    let engine = EngineAddress::default();
    let state = AttemptState::new(context, request, sink, progress, offset);
    let ended = tokio::select! {
        outcome = run_attempts(state, &engine, pinned) => return outcome,
        () = until_cancelled(&mut cancelled) => FinalOutcome::Cancelled,
        () = tokio::time::sleep(request.time_left()) => FinalOutcome::Expired,
    };
    cancel_at(context, &engine, &request.id);
    match ended {
        FinalOutcome::Expired if !sink.may_have_run() => FinalOutcome::NotRun {
            reason: "the deadline passed while the request waited for a target".to_owned(),
            retry_after: Duration::from_millis(500),
        },
        other => other,
    }
}

async fn run_attempts(
    mut state: AttemptState<'_>,
    engine: &EngineAddress,
    pinned: Option<PinnedEngine>,
) -> FinalOutcome {
    let (context, request) = (state.context, state.request);
    let is_trial = match context.check_quarantine(request) {
        Ok(is_trial) => is_trial,
        Err(refusal) => return refused(&state, &refusal),
    };
    let mut spec = request.job_spec();
    spec.need.pinned = pinned;
    let mut need = spec.need.clone();
    let ticket = match context.dispatcher.admit(&request.id, spec) {
        Ok(ticket) => ticket,
        Err(refusal) => return refused(&state, &refusal),
    };
    let token = context.token(request, None, 0);
    state.sink.send_accepted(token, 0, &"".into()).await;
    let mut waiting = ticket;
    let mut attempt = 0;
    loop {
        let slot = match waiting.wait().await {
            Ok(slot) => slot,
            Err(refusal) => return refused(&state, &refusal),
        };
        attempt += 1;
        // Its work may have been quarantined while it waited.
        if let Some(refusal) = context.recheck_quarantine(request).filter(|_| !is_trial) {
            slot.finish(JobMeasurement::default());
            return refused(&state, &refusal);
        }
        set_engine(engine, Some(slot.choice.address.clone()));
        let failure = match state.run(&slot.choice, attempt).await {
            Ok(summary) => {
                context.report_work(request, state.tokens);
                slot.finish(state.measure(true));
                let reason = String::new();
                return FinalOutcome::Answered { summary, reason };
            }
            Err(failure) => failure,
        };
        cancel_at(context, engine, &request.id);
        if context.is_quarantined(request) || !may_retry(context, &failure, attempt) {
            slot.finish(JobMeasurement::default());
            return abandoned(&state, &failure);
        }
        update_need(&mut need, &state, &slot.choice);
        waiting = slot.retry(&request.id, need.clone());
    }
}

/// Continuations are always allowed: they are as rare as engine failures, and the caller
/// has already received a part. Retries of refused work count against the budget.
fn may_retry(context: &TrafficContext, failure: &AttemptFailure, attempt: u32) -> bool {
    attempt < MAX_ATTEMPTS && (failure.may_have_run || context.spend_retry())
}

fn update_need(need: &mut PlacementNeed, state: &AttemptState<'_>, failed: &TargetChoice) {
    need.excluded.push(failed.target.clone());
    let remaining = state
        .request
        .submit
        .max_output_tokens
        .saturating_sub(state.tokens);
    need.output_tokens = f64::from(remaining);
    if state.assembly.delivered() > 0 {
        need.pinned = Some(PinnedEngine {
            model: failed.model.clone(),
            software: failed.software.clone(),
        });
    }
}

fn refused(state: &AttemptState<'_>, refusal: &JobRefusal) -> FinalOutcome {
    if state.sink.may_have_run() {
        return FinalOutcome::Unknown {
            reason: format!(
                "its engine was lost, and the retry was refused: {}",
                refusal.reason
            ),
        };
    }
    FinalOutcome::NotRun {
        reason: refusal.reason.clone(),
        retry_after: refusal.retry_after,
    }
}

fn abandoned(state: &AttemptState<'_>, failure: &AttemptFailure) -> FinalOutcome {
    if state.sink.may_have_run() {
        return FinalOutcome::Unknown {
            reason: failure.reason.clone(),
        };
    }
    FinalOutcome::NotRun {
        reason: failure.reason.clone(),
        retry_after: failure.retry_after,
    }
}

fn set_engine(engine: &EngineAddress, address: Option<String>) {
    *engine.lock().unwrap_or_else(PoisonError::into_inner) = address;
}

/// Cancels the request at its engine in the background; a lost cancel wastes work, but
/// breaks nothing.
fn cancel_at(context: &TrafficContext, engine: &EngineAddress, request_id: &RequestId) {
    let address = engine.lock().unwrap_or_else(PoisonError::into_inner).take();
    let Some(address) = address else {
        return;
    };
    let call = TargetCall {
        address,
        timeout: SIDE_CALL_TIMEOUT,
        body: request_id.clone(),
    };
    tokio::spawn((context.engines.cancel)(call));
}
