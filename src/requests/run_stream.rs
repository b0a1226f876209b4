//! Runs a repeatable request on model engines: several attempts, one answer.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexSet;
use tokio::sync::watch;

use crate::decide::placement::{PinnedEngine, PlacementNeed, TargetChoice};
use crate::decide::scheduler::{JobMeasurement, JobRefusal, JobSpec};
use crate::requests::answer_sink::{AnswerSink, FinalOutcome};
use crate::requests::attempt::{AttemptFailure, AttemptState, SilentAttempt};
use crate::requests::dispatch::{JobSlot, JobTicket};
use crate::requests::request::CallerRequest;
use crate::requests::traffic::{RequestProgress, TrafficContext, until_cancelled};

/// Maximum number of engines tried for one request.
const MAX_ATTEMPTS: u32 = 5;

/// Addresses of the engines that may work on the request, so that it can be cancelled there.
type EngineSet = Arc<Mutex<IndexSet<String>>>;

/// What a request does next.
enum Turn {
    /// An engine takes it.
    Granted(JobSlot),
    /// The silent engine goes on.
    WentOn(SilentAttempt),
    /// No engine may take it.
    Refused(JobRefusal),
}

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
    let engines = EngineSet::default();
    let state = AttemptState::new(context, request, sink, progress, offset);
    let ended = tokio::select! {
        outcome = run_attempts(state, &engines, pinned) => outcome,
        () = until_cancelled(&mut cancelled) => FinalOutcome::Cancelled,
        () = tokio::time::sleep(request.time_left()) => FinalOutcome::Expired,
    };
    for address in lock(&engines).drain(..) {
        context.cancel_stream(&address, &request.id);
    }
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
    engines: &EngineSet,
    pinned: Option<PinnedEngine>,
) -> FinalOutcome {
    let (context, request) = (state.context, state.request);
    let is_trial = match context.check_quarantine(request) {
        Ok(is_trial) => is_trial,
        Err(refusal) => return refused(&state, &refusal),
    };
    let mut spec = request.job_spec();
    spec.need.pinned = pinned;
    let ticket = match context.dispatcher.admit(&request.id, spec.clone()) {
        Ok(ticket) => ticket,
        Err(refusal) => return refused(&state, &refusal),
    };
    let token = context.token(request, None, 0);
    state.sink.send_accepted(token, 0, &"".into()).await;
    let mut waiting = Some(ticket);
    let mut attempt = 0;
    loop {
        let (slot, choice, number, result) = match next_turn(&mut state, waiting.take()).await {
            Turn::Refused(refusal) => return refused(&state, &refusal),
            Turn::WentOn(silent) => {
                let (choice, number) = (silent.choice.clone(), silent.attempt);
                (None, choice, number, state.go_on(silent).await)
            }
            Turn::Granted(slot) => {
                attempt += 1;
                // Its work may have been quarantined while it waited.
                if let Some(refusal) = context.recheck_quarantine(request).filter(|_| !is_trial) {
                    slot.finish(JobMeasurement::default());
                    return refused(&state, &refusal);
                }
                let choice = slot.choice.clone();
                lock(engines).insert(choice.address.clone());
                let result = state.run(&choice, attempt).await;
                (Some(slot), choice, attempt, result)
            }
        };
        let failure = match result {
            Ok(summary) => {
                lock(engines).swap_remove(&choice.address);
                context.report_work(request, state.tokens);
                finish(slot, state.measure(true));
                let reason = String::new();
                return FinalOutcome::Answered { summary, reason };
            }
            Err(failure) => failure,
        };
        // Work on trial may crash engines, so only one of them gets it.
        let is_movable = !context.is_quarantined(request)
            && may_retry(context, &failure, attempt)
            && !(is_trial && failure.is_silent);
        let is_kept = state.silent.as_ref().is_some_and(|s| s.attempt == number);
        if !is_kept {
            lock(engines).swap_remove(&choice.address);
            context.cancel_stream(&choice.address, &request.id);
        }
        update_need(&mut spec.need, &state, &choice);
        waiting = if is_movable {
            wait_again(context, request, slot, &spec)
        } else {
            finish(slot, JobMeasurement::default());
            None
        };
        if waiting.is_none() && state.silent.is_none() {
            return abandoned(&state, &failure);
        }
    }
}

// Returns a ticket for another engine. A request that has none yet is admitted again.
fn wait_again(
    context: &TrafficContext,
    request: &CallerRequest,
    slot: Option<JobSlot>,
    spec: &JobSpec,
) -> Option<JobTicket> {
    match slot {
        Some(slot) => Some(slot.retry(&request.id, spec.need.clone())),
        None => context.dispatcher.admit(&request.id, spec.clone()).ok(),
    }
}

fn finish(slot: Option<JobSlot>, measurement: JobMeasurement) {
    if let Some(slot) = slot {
        slot.finish(measurement);
    }
}

// Waits for another engine, and for the silent one, whichever comes first. While the silent
// engine may go on, a refusal ends nothing.
async fn next_turn(state: &mut AttemptState<'_>, waiting: Option<JobTicket>) -> Turn {
    if let Some(ticket) = waiting {
        tokio::select! {
            granted = ticket.wait() => match granted {
                Ok(slot) => return Turn::Granted(slot),
                Err(refusal) if state.silent.is_none() => return Turn::Refused(refusal),
                Err(_) => {}
            },
            () = until_going(state) => {}
        }
    }
    until_going(state).await;
    match state.silent.take() {
        Some(silent) => Turn::WentOn(silent),
        None => std::future::pending().await,
    }
}

async fn until_going(state: &mut AttemptState<'_>) {
    if state.silent.is_none() {
        std::future::pending::<()>().await;
    }
    state.until_going().await;
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

fn lock(engines: &EngineSet) -> MutexGuard<'_, IndexSet<String>> {
    engines.lock().unwrap_or_else(PoisonError::into_inner)
}
