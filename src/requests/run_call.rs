//! Runs a repeatable request on a service.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use sha2::{Digest, Sha256};
use tokio::sync::watch;

use crate::clock;
use crate::decide::placement::TargetChoice;
use crate::decide::scheduler::JobMeasurement;
use crate::names::RequestKey;
use crate::ports::{TargetCall, TargetError};
use crate::requests::answer::{AnswerPart, AnswerSummary, accept_reply};
use crate::requests::answer_sink::{AnswerSink, FinalOutcome};
use crate::requests::attempt::AttemptFailure;
use crate::requests::request::CallerRequest;
use crate::requests::traffic::{RequestProgress, TrafficContext, until_cancelled};
use crate::targets::wire::ServiceBody;

/// Maximum number of targets tried for one request.
const MAX_ATTEMPTS: u32 = 3;

/// Runs a request to its final outcome.
pub async fn run(
    context: &TrafficContext,
    request: &CallerRequest,
    sink: &mut AnswerSink,
    mut cancelled: watch::Receiver<bool>,
    progress: &mut RequestProgress,
) -> FinalOutcome {
    let ended = tokio::select! {
        outcome = run_attempts(context, request, sink, progress) => return outcome,
        () = until_cancelled(&mut cancelled) => FinalOutcome::Cancelled,
        () = tokio::time::sleep(request.time_left()) => FinalOutcome::Expired,
    };
    match ended {
        FinalOutcome::Expired if !sink.may_have_run() => FinalOutcome::NotRun {
            reason: "the deadline passed while the request waited for a target".to_owned(),
            retry_after: Duration::from_millis(500),
        },
        other => other,
    }
}

async fn run_attempts(
    context: &TrafficContext,
    request: &CallerRequest,
    sink: &mut AnswerSink,
    progress: &mut RequestProgress,
) -> FinalOutcome {
    let is_trial = match context.check_quarantine(request) {
        Ok(is_trial) => is_trial,
        Err(refusal) => return not_run(refusal.reason, refusal.retry_after),
    };
    let spec = request.job_spec();
    let mut need = spec.need.clone();
    let mut ticket = match context.dispatcher.admit(&request.id, spec) {
        Ok(ticket) => ticket,
        Err(refusal) => return not_run(refusal.reason, refusal.retry_after),
    };
    let token = context.token(request, None, 0);
    sink.send_accepted(token, 0, &"".into()).await;
    let mut attempt = 0;
    loop {
        let slot = match ticket.wait().await {
            Ok(slot) => slot,
            Err(refusal) if sink.may_have_run() => return unknown(refusal.reason),
            Err(refusal) => return not_run(refusal.reason, refusal.retry_after),
        };
        if let Some(refusal) = context.recheck_quarantine(request).filter(|_| !is_trial) {
            slot.finish(JobMeasurement::default());
            return if sink.may_have_run() {
                unknown(refusal.reason)
            } else {
                not_run(refusal.reason, refusal.retry_after)
            };
        }
        attempt += 1;
        let waited = clock::mono_now().since(request.arrived);
        progress.queueing.get_or_insert(waited);
        let token = context.token(request, Some(&slot.choice), attempt);
        sink.send_accepted(token, attempt, &slot.choice.target)
            .await;
        let ran_before = sink.may_have_run();
        sink.record_dispatch();
        let failure = match call_service(context, request, &slot.choice, request.time_left()).await
        {
            Ok(data) => {
                slot.finish(JobMeasurement::default());
                return deliver(sink, attempt, data).await;
            }
            Err(error) => AttemptFailure::from(&error),
        };
        if !failure.may_have_run && !ran_before {
            sink.record_not_run();
        }
        if attempt == MAX_ATTEMPTS || context.is_quarantined(request) || !context.spend_retry() {
            slot.finish(JobMeasurement::default());
            return if sink.may_have_run() {
                unknown(failure.reason)
            } else {
                not_run(failure.reason, failure.retry_after)
            };
        }
        need.excluded.push(slot.choice.target.clone());
        ticket = slot.retry(&request.id, need.clone());
    }
}

/// Makes one call and returns the bytes of the complete answer.
///
/// # Errors
///
/// Returns the error of the call, and `Lost` for a reply that is not the complete answer
/// to this request.
pub async fn call_service(
    context: &TrafficContext,
    request: &CallerRequest,
    choice: &TargetChoice,
    timeout: Duration,
) -> Result<Vec<u8>, TargetError> {
    let key = service_key(request);
    let call = TargetCall {
        address: choice.address.clone(),
        timeout: timeout.max(Duration::from_millis(1)),
        body: ServiceBody {
            request_id: request.id.clone(),
            workspace: request.workspace().clone(),
            key: key.clone(),
            repeatable: request.class.repeatable,
            data: STANDARD.encode(&request.submit.prompt),
        },
    };
    let reply = (context.services.call)(call).await;
    context.dispatcher.report_call(choice, reply.as_ref().err());
    match &reply {
        Ok(_) => context.record_completion(request),
        Err(TargetError::Lost { .. }) => context.record_connection_loss(request, choice),
        Err(_) => {}
    }
    accept_reply(&reply?, &request.id, &key).map_err(|error| TargetError::Lost {
        reason: error.to_string(),
    })
}

/// Sends a complete answer to the caller.
pub async fn deliver(sink: &mut AnswerSink, attempt: u32, data: Vec<u8>) -> FinalOutcome {
    let summary = AnswerSummary {
        length: data.len() as u64,
        digest: Some(Sha256::digest(&data).into()),
    };
    if !data.is_empty() {
        let part = AnswerPart {
            offset: 0,
            data,
            tokens: 0,
        };
        sink.send_part(attempt, part).await;
    }
    FinalOutcome::Answered {
        summary,
        reason: String::new(),
    }
}

fn service_key(request: &CallerRequest) -> RequestKey {
    if request.submit.key.is_empty() {
        RequestKey::from(request.id.as_str())
    } else {
        RequestKey::from(request.submit.key.as_str())
    }
}

fn not_run(reason: String, retry_after: Duration) -> FinalOutcome {
    FinalOutcome::NotRun {
        reason,
        retry_after,
    }
}

fn unknown(reason: String) -> FinalOutcome {
    FinalOutcome::Unknown { reason }
}
