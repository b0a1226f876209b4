//! Runs a request that may not be repeated: recorded first, dispatched at most once.
//!
//! Where each "not run" comes from:
//! - before a claim, of a key never sent before: nobody else can have claimed it;
//! - before a claim, of a key sent before: the key is closed in the record first;
//! - after a claim: only on proof that the one dispatch did not reach its target or
//!   was turned away.

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

/// How long a reply is awaited past the caller's deadline, to record it.
const RECORD_TIMEOUT: Duration = Duration::from_secs(60);
/// First and longest waits between looks at another daemon's claim.
const FIRST_LOOKUP_WAIT: Duration = Duration::from_millis(100);
const MAX_LOOKUP_WAIT: Duration = Duration::from_secs(2);
/// When a caller with an open outcome is asked to come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Runs a request to its outcome.
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
            Err(error) => return unknown(format!("its record cannot be read: {error}")),
        }
    }
    let (slot, permit) = match obtain_permit(context, request, key, sink, &mut cancelled).await {
        Ok(granted) => granted,
        Err(outcome) => return outcome,
    };
    // A call that was sent cannot be stopped; a stream can.
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
        patience: request.time_left(),
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

/// This daemon's claim is given up for good. Whether the key ran is certain only if
/// nobody else can have claimed it.
fn after_abandoned_claim(
    request: &CallerRequest,
    reason: String,
    retry_after: Duration,
    key_may_exist: bool,
) -> FinalOutcome {
    if key_may_exist && !request.submit.first_submission {
        return unknown(format!("its record is not certain: {reason}"));
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
/// A key sent before may be in the hands of a daemon that is paused just now, and
/// "not run" would turn false when it wakes. Closing the key first makes its
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
        // Not waited for: this daemon was to turn the request away.
        Ok(_) => unknown("another daemon has claimed the key".to_owned()),
        Err(error) => unknown(format!("{reason}, and its record is not certain: {error}")),
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

/// Makes the one call in a task of its own, which records its end also when the
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
        // The receiver is gone once the deadline has passed; the record was the point.
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
        Ok(Err(_)) => unknown("the daemon is going down".to_owned()),
        Err(_) => unknown(format!(
            "no reply before the deadline; ask for its outcome after {} ms",
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
    // Past the caller's deadline too: a planned stop waits for the reply, since no
    // other daemon can learn it.
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
        ended = state.run(&choice, 1) => ended,
        () = until_cancelled(&mut cancelled) => Err(stopped("cancelled after its dispatch")),
        () = tokio::time::sleep(request.time_left()) => Err(stopped("the deadline passed")),
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
                // The one dispatch was noted before its call; the engine turned it away.
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

/// Records how a dispatch without an answer ended.
fn record_failure(dispatched: DispatchedClaim, proof: Option<UndeliveredProof>) {
    match proof {
        Some(proof) => dispatched.not_run(proof),
        // Dropping the claim records that its end was lost.
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

/// Answers a caller who comes back for a request whose stream is gone.
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
        Err(error) => unknown(format!("its record cannot be read: {error}")),
    }
}

/// Waits for the claim of a request that was accepted, and closes its key when none
/// comes: the daemon that accepted it may still claim it, or may have died before.
/// Left open, the key could only be called unknown.
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

/// Answers from the record of a key that somebody claimed before.
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
        // Also after the claimant was seen gone: it may have recorded its end between
        // the last look and its stop.
        record = match context.intents.lookup(key, false).await {
            Ok(found) => found,
            Err(error) => return unknown(format!("its record cannot be read: {error}")),
        };
        if let (Some(claimant), RecordView::Intended { .. }) = (gone, &record) {
            return unknown(format!("{claimant} dispatched it and is gone"));
        }
    }
    match record {
        RecordView::NotRun => FinalOutcome::NotRun {
            reason: "the key was closed without running; use a new one".to_owned(),
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
        RecordView::Absent => unknown("its record has expired".to_owned()),
        RecordView::Intended { claimant, .. } => unknown(format!("{claimant} has dispatched it")),
        RecordView::Unknown => unknown("its target's answer was lost".to_owned()),
    }
}

/// Tells whether a record's claimant is gone, so that no end of it is to be awaited.
///
/// Without this, a caller of a crashed daemon would hear nothing until the deadline.
/// A claimant that is only cut off looks the same and may record its answer later.
/// "Unknown" stays true even so, since it denies nothing; nobody dispatches the
/// request again, and whoever asks after that gets the answer from the record.
fn is_gone(context: &TrafficContext, claimant: &str, waited: Duration) -> bool {
    let snapshot = context.control.snapshot.load();
    // Before the first whole list, everybody would count as gone.
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
        reason: "answered before; the answer was too large to be kept with the record".to_owned(),
    }
}

fn unknown(reason: String) -> FinalOutcome {
    FinalOutcome::Unknown { reason }
}
