//! Runs a non-repeatable request: recorded first, dispatched at most once.
//!
//! When "not run" may be reported:
//! - before a claim, for a first submission of a key: nobody else can have claimed it;
//! - before a claim, for a resubmitted key: the key is closed in its record first;
//! - after a claim: only on proof that the single dispatch did not reach its target or
//!   was refused.

use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};
use tokio::sync::{oneshot, watch};

use crate::clock;
use crate::decide::placement::{PoolKey, TargetChoice};
use crate::decide::scheduler::{JobMeasurement, JobRefusal};
use crate::intents::permit::{DispatchPermit, DispatchedClaim, UndeliveredProof};
use crate::intents::store::{ClaimResult, IntentClaim, LookupError};
use crate::intents::{AnswerRecord, IntentKey, RecordView};
use crate::requests::answer::AnswerSummary;
use crate::requests::answer_sink::{AnswerSink, FinalOutcome};
use crate::requests::attempt::{AttemptFailure, AttemptState};
use crate::requests::claimant::ClaimantProcess;
use crate::requests::dispatch::JobSlot;
use crate::requests::request::CallerRequest;
use crate::requests::run_call::{call_service, deliver};
use crate::requests::traffic::{RequestProgress, TrafficContext, until_cancelled};

/// Time to wait for a reply after the caller's deadline, in order to record it.
const RECORD_TIMEOUT: Duration = Duration::from_secs(60);
/// First and longest waits between lookups of another daemon's claim.
const FIRST_LOOKUP_WAIT: Duration = Duration::from_millis(100);
const MAX_LOOKUP_WAIT: Duration = Duration::from_secs(2);
/// Retry time given to a caller whose request has no outcome yet.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Runs a request to its final outcome.
pub async fn run(
    context: &Arc<TrafficContext>,
    request: &CallerRequest,
    sink: &mut AnswerSink,
    mut cancelled: watch::Receiver<bool>,
    progress: &mut RequestProgress,
) -> FinalOutcome {
    let Some(key) = &request.intent else {
        return unknown("the request has no key".to_owned());
    };
    if !request.submit.first_submission {
        match context.intents.lookup(key, false).await {
            Ok(RecordView::Absent) => {}
            Ok(record) => return from_record(context, request, sink, record, 0).await,
            Err(error) => return unknown(format!("the record cannot be read: {error}")),
        }
    }
    let (slot, permit) = match obtain_permit(context, request, key, sink, &mut cancelled).await {
        Ok(granted) => granted,
        Err(outcome) => return outcome,
    };
    // A call that was sent to a service cannot be stopped; a stream can.
    let (already_cancelled, cancel_receiver) = match &request.pool {
        PoolKey::Service(_) => (context.close_cancellation(cancelled), None),
        PoolKey::Model(_) => {
            let already_cancelled = *cancelled.borrow();
            (already_cancelled, Some(cancelled))
        }
    };
    if already_cancelled {
        permit.release();
        return FinalOutcome::Cancelled;
    }
    let waited = clock::mono_now().since(request.arrived);
    progress.queueing.get_or_insert(waited);
    sink.record_dispatch();
    match cancel_receiver {
        None => {
            let token = context.token(request, Some(&slot.choice), 1);
            sink.send_accepted(token, 1, &slot.choice.target).await;
            run_on_service(context, request, sink, slot, permit).await
        }
        Some(cancelled) => {
            run_on_engine(context, request, sink, cancelled, progress, slot, permit).await
        }
    }
}

/// Waits for a target and records the claim.
async fn obtain_permit(
    context: &Arc<TrafficContext>,
    request: &CallerRequest,
    key: &IntentKey,
    sink: &mut AnswerSink,
    cancelled: &mut watch::Receiver<bool>,
) -> Result<(JobSlot, DispatchPermit), FinalOutcome> {
    if let Err(refusal) = context.check_quarantine(request) {
        return Err(refuse(context, request, sink, refusal).await);
    }
    let ticket = match context.dispatcher.admit(&request.id, request.job_spec()) {
        Ok(ticket) => ticket,
        Err(refusal) => {
            return Err(refuse(context, request, sink, refusal).await);
        }
    };
    let token = context.token(request, None, 0);
    sink.send_accepted(token, 0, &"".into()).await;
    let waited = tokio::select! {
        granted = ticket.wait() => granted,
        () = until_cancelled(cancelled) => {
            return Err(cancel_unclaimed(context, request, sink).await);
        }
    };
    let slot = match waited {
        Ok(slot) => slot,
        Err(refusal) => {
            return Err(refuse(context, request, sink, refusal).await);
        }
    };
    let claim = IntentClaim {
        key: key.clone(),
        fingerprint: request.fingerprint(),
        target: slot.choice.target.clone(),
        timeout: request.time_left(),
    };
    match context.intents.claim(claim).await {
        ClaimResult::Granted(permit) => Ok((slot, permit)),
        ClaimResult::Present(record) => {
            drop(slot);
            Err(from_record(context, request, sink, record, 0).await)
        }
        ClaimResult::GivenUp {
            reason,
            retry_after,
            key_may_exist,
        } => Err(after_abandoned_claim(
            request,
            reason,
            retry_after,
            key_may_exist,
        )),
        ClaimResult::Invalid { reason } => Err(invalid(request, reason)),
    }
}

/// Returns the outcome after this daemon has abandoned its claim for good. It is certain
/// that the key did not run only if nobody else can have claimed it.
fn after_abandoned_claim(
    request: &CallerRequest,
    reason: String,
    retry_after: Duration,
    key_may_exist: bool,
) -> FinalOutcome {
    if key_may_exist && !request.submit.first_submission {
        return unknown(format!("the state of its record is not certain: {reason}"));
    }
    FinalOutcome::NotRun {
        reason,
        retry_after,
    }
}

fn invalid(request: &CallerRequest, reason: String) -> FinalOutcome {
    if request.submit.first_submission {
        return FinalOutcome::NotRun {
            reason,
            retry_after: Duration::ZERO,
        };
    }
    unknown(reason)
}

/// Refuses a request that this daemon has not claimed.
///
/// A daemon that is currently paused may be about to claim a resubmitted key, and "not run"
/// would become false when it resumes. Closing the key first makes that daemon's
/// conditional update fail, so the refusal stays true.
async fn refuse(
    context: &TrafficContext,
    request: &CallerRequest,
    sink: &mut AnswerSink,
    refusal: JobRefusal,
) -> FinalOutcome {
    let JobRefusal {
        reason,
        retry_after,
    } = refusal;
    if request.submit.first_submission {
        return FinalOutcome::NotRun {
            reason,
            retry_after,
        };
    }
    let Some(key) = &request.intent else {
        return unknown(reason);
    };
    match context.intents.lookup(key, true).await {
        Ok(RecordView::NotRun) => FinalOutcome::NotRun {
            reason: format!("{reason}; the key is closed, use a new one"),
            retry_after,
        },
        Ok(record @ RecordView::Answered { .. }) => {
            from_record(context, request, sink, record, 0).await
        }
        // Its outcome is not awaited, because this daemon was about to refuse the request.
        Ok(_) => unknown("another daemon has claimed the key".to_owned()),
        Err(error) => unknown(format!(
            "{reason}, and the state of its record is not certain: {error}"
        )),
    }
}

async fn cancel_unclaimed(
    context: &TrafficContext,
    request: &CallerRequest,
    sink: &mut AnswerSink,
) -> FinalOutcome {
    let cancelled = JobRefusal {
        reason: "cancelled".to_owned(),
        retry_after: Duration::ZERO,
    };
    match refuse(context, request, sink, cancelled).await {
        FinalOutcome::NotRun { .. } => FinalOutcome::Cancelled,
        other => other,
    }
}

/// Makes the single call in a separate task, which records the result even if the
/// caller's deadline passes first.
async fn run_on_service(
    context: &Arc<TrafficContext>,
    request: &CallerRequest,
    sink: &mut AnswerSink,
    slot: JobSlot,
    permit: DispatchPermit,
) -> FinalOutcome {
    let (reply, ended) = oneshot::channel();
    let call = call_and_record(Arc::clone(context), request.clone(), slot, permit);
    tokio::spawn(async move {
        // The receiver is gone once the deadline has passed; the result is recorded anyway.
        let _ = reply.send(call.await);
    });
    match tokio::time::timeout(request.time_left(), ended).await {
        Ok(Ok(Ok(data))) => deliver(sink, 1, data).await,
        Ok(Ok(Err(failure))) => {
            if !failure.may_have_run {
                sink.record_not_run();
            }
            from_failure(failure)
        }
        Ok(Err(_)) => unknown("the daemon is shutting down".to_owned()),
        Err(_) => unknown(format!(
            "no reply before the deadline; query its outcome after {} ms",
            RETRY_AFTER.as_millis()
        )),
    }
}

async fn call_and_record(
    context: Arc<TrafficContext>,
    request: CallerRequest,
    slot: JobSlot,
    permit: DispatchPermit,
) -> Result<Vec<u8>, AttemptFailure> {
    // Registered beyond the caller's deadline: a graceful shutdown waits for the reply,
    // since no other daemon can obtain it.
    let (_guard, _) = context.register(&request.id);
    let dispatched = permit.dispatch();
    let timeout = request.time_left() + RECORD_TIMEOUT;
    let ended = call_service(&context, &request, &slot.choice, timeout).await;
    slot.finish(JobMeasurement::default());
    match ended {
        Ok(data) => {
            record_answer(&context, dispatched, &data);
            Ok(data)
        }
        Err(error) => {
            record_failure(dispatched, UndeliveredProof::from_error(&error));
            Err(AttemptFailure::from(&error))
        }
    }
}

async fn run_on_engine(
    context: &TrafficContext,
    request: &CallerRequest,
    sink: &mut AnswerSink,
    mut cancelled: watch::Receiver<bool>,
    progress: &mut RequestProgress,
    slot: JobSlot,
    permit: DispatchPermit,
) -> FinalOutcome {
    let dispatched = permit.dispatch();
    let choice: TargetChoice = slot.choice.clone();
    let mut state = AttemptState::new(context, request, sink, progress, 0);
    let ended = tokio::select! {
        ended = state.run_to_end(&choice, 1) => ended,
        () = until_cancelled(&mut cancelled) => Err(stopped("cancelled after dispatch")),
        () = tokio::time::sleep(request.time_left()) => Err(stopped("the deadline passed after dispatch")),
    };
    let measure = state.measure(ended.is_ok());
    slot.finish(measure);
    match ended {
        Ok(summary) => {
            let digest = summary.digest.unwrap_or_default();
            dispatched.answered(AnswerRecord {
                length: summary.length,
                digest,
                result: None,
            });
            FinalOutcome::Answered {
                summary,
                reason: String::new(),
            }
        }
        Err(failure) => {
            if !failure.may_have_run {
                // The single dispatch was recorded before its call, and the engine refused it.
                sink.record_not_run();
            }
            record_failure(dispatched, failure.proof);
            from_failure(failure)
        }
    }
}

fn stopped(reason: &str) -> AttemptFailure {
    AttemptFailure {
        may_have_run: true,
        proof: None,
        connection_lost: false,
        is_silent: false,
        reason: reason.to_owned(),
        retry_after: Duration::ZERO,
    }
}

fn record_answer(context: &TrafficContext, dispatched: DispatchedClaim, data: &[u8]) {
    let small = data.len() <= context.settings.intents.result_bytes;
    dispatched.answered(AnswerRecord {
        length: data.len() as u64,
        digest: Sha256::digest(data).into(),
        result: small.then(|| data.to_vec()),
    });
}

/// Records the result of a dispatch without an answer.
fn record_failure(dispatched: DispatchedClaim, proof: Option<UndeliveredProof>) {
    match proof {
        Some(proof) => dispatched.not_run(proof),
        // Dropping the claim records that its result is unknown.
        None => drop(dispatched),
    }
}

fn from_failure(failure: AttemptFailure) -> FinalOutcome {
    if failure.may_have_run {
        return unknown(failure.reason);
    }
    FinalOutcome::NotRun {
        reason: failure.reason,
        retry_after: failure.retry_after,
    }
}

/// Answers a caller who resumes a request whose stream no longer exists.
pub async fn recorded_outcome(
    context: &TrafficContext,
    request: &CallerRequest,
    sink: &mut AnswerSink,
    offset: u64,
) -> FinalOutcome {
    let Some(key) = &request.intent else {
        return unknown("the request has no key".to_owned());
    };
    match claimed_or_closed(context, request, key).await {
        Ok(record) => from_record(context, request, sink, record, offset).await,
        Err(error) => unknown(format!("the record cannot be read: {error}")),
    }
}

/// Waits until an accepted request is claimed, and closes its key if that does not
/// happen: the daemon that accepted it may still claim it, or may have crashed before.
/// Without closing the key, its outcome could only be reported as unknown.
async fn claimed_or_closed(
    context: &TrafficContext,
    request: &CallerRequest,
    key: &IntentKey,
) -> Result<RecordView, LookupError> {
    let timeout = request.time_left() / 2;
    let started = clock::mono_now();
    let mut wait = FIRST_LOOKUP_WAIT;
    loop {
        let record = context.intents.lookup(key, false).await?;
        if record != RecordView::Absent {
            return Ok(record);
        }
        if clock::mono_now().since(started) + wait > timeout {
            return context.intents.lookup(key, true).await;
        }
        tokio::time::sleep(wait).await;
        wait = (wait * 2).min(MAX_LOOKUP_WAIT);
    }
}

/// Answers from the record of a key that was claimed or closed earlier; first waits for the
/// outcome of a claim that is still open.
async fn from_record(
    context: &TrafficContext,
    request: &CallerRequest,
    sink: &mut AnswerSink,
    mut record: RecordView,
    offset: u64,
) -> FinalOutcome {
    let started = clock::mono_now();
    let mut wait = FIRST_LOOKUP_WAIT;
    while let RecordView::Intended { claimant, .. } = &record {
        let waited = clock::mono_now().since(started);
        let gone = is_gone(context, claimant, waited).then(|| claimant.clone());
        if gone.is_none() {
            if wait >= request.time_left() {
                break;
            }
            tokio::time::sleep(wait).await;
            wait = (wait * 2).min(MAX_LOOKUP_WAIT);
        }
        let Some(key) = &request.intent else { break };
        // Looked up again even if the claimant was found gone: it may have recorded its result
        // between the last lookup and its exit.
        record = match context.intents.lookup(key, false).await {
            Ok(found) => found,
            Err(error) => return unknown(format!("the record cannot be read: {error}")),
        };
        if let (Some(claimant), RecordView::Intended { .. }) = (gone, &record) {
            return unknown(format!("{claimant} dispatched the request and is gone"));
        }
    }
    match record {
        RecordView::NotRun => FinalOutcome::NotRun {
            reason: "the key was closed before the request ran; use a new one".to_owned(),
            retry_after: Duration::ZERO,
        },
        RecordView::Answered {
            length,
            digest,
            result,
        } => {
            let token = context.token(request, None, 0);
            sink.send_accepted(token, 0, &"".into()).await;
            from_answer(sink, length, &digest, result, offset).await
        }
        RecordView::Absent => unknown("the record of the request has expired".to_owned()),
        RecordView::Intended { claimant, .. } => unknown(format!("dispatched by {claimant}")),
        RecordView::Unknown => unknown("the target's answer was lost".to_owned()),
    }
}

/// Returns whether a record's claimant is gone, so that waiting for its result is
/// pointless.
///
/// Without this, a caller of a crashed daemon would get no reply until the deadline.
/// A partitioned claimant looks the same and may record its answer later. "Unknown"
/// is still true then, since it rules nothing out; nobody dispatches the request
/// again, and later queries get the answer from the record.
fn is_gone(context: &TrafficContext, claimant: &str, waited: Duration) -> bool {
    let snapshot = context.control.snapshot.load();
    // Before the first complete list, every claimant would count as gone.
    let process = ClaimantProcess::parse(claimant).filter(|_| snapshot.ready);
    process.is_some_and(|p| p.status(&snapshot.fleet).is_final(waited))
}

async fn from_answer(
    sink: &mut AnswerSink,
    length: u64,
    digest: &[u8],
    result: Option<Vec<u8>>,
    offset: u64,
) -> FinalOutcome {
    if let (Some(data), 0) = (result, offset) {
        return deliver(sink, 0, data).await;
    }
    FinalOutcome::Answered {
        summary: AnswerSummary {
            length,
            digest: digest.try_into().ok(),
        },
        reason: "answered before; the answer was too large to store in the record".to_owned(),
    }
}

fn unknown(reason: String) -> FinalOutcome {
    FinalOutcome::Unknown { reason }
}
