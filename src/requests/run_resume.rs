//! Continues an answer, at any daemon, for a caller who presents a resume token.

use std::sync::Arc;

use tokio::sync::{mpsc, watch};

use crate::decide::placement::{PinnedEngine, TargetChoice};
use crate::requests::answer_sink::{AnswerEvent, AnswerSink, FinalOutcome};
use crate::requests::attempt::AttemptState;
use crate::requests::request::CallerRequest;
use crate::requests::resume_token::ResumeToken;
use crate::requests::run_once;
use crate::requests::run_stream;
use crate::requests::traffic::{RequestProgress, TrafficContext, until_cancelled};

/// Expected times at an engine whose load this daemon does not know.
const DEFAULT_FIRST_TOKEN_S: f64 = 1.0;
const DEFAULT_TOKEN_GAP_S: f64 = 0.05;

/// A caller's request to resume an answer.
#[derive(Clone, Debug)]
pub struct Resumption {
    /// Identity and last known location of the request.
    pub token: ResumeToken,
    /// Number of bytes that the caller has received.
    pub offset: u64,
    /// Whether the caller sent the request again, so that it can be restarted.
    pub resubmitted: bool,
}

/// Continues an answer to its final outcome.
pub async fn run(
    context: Arc<TrafficContext>,
    request: CallerRequest,
    resumption: Resumption,
    events: mpsc::Sender<AnswerEvent>,
) {
    let mut sink = AnswerSink::new(events, request.id.clone());
    if request.intent.is_none() {
        // It was accepted before, so it may have run in any case. A non-repeatable
        // request is answered from its record, which is authoritative.
        sink.record_dispatch();
    }
    // Registered under the id in the caller's token, so that a cancel finds it here too.
    let (_guard, mut cancelled) = context.register(&resumption.token.request_id);
    let mut progress = RequestProgress::default();
    let follow = follow_engine(&context, &request, &resumption, &mut sink, &mut progress);
    let followed = tokio::select! {
        followed = follow => followed,
        () = until_cancelled(&mut cancelled) => Ok(cancelled_outcome(&request)),
        () = tokio::time::sleep(request.time_left()) => Ok(FinalOutcome::Expired),
    };
    let outcome = match followed {
        Ok(outcome) => outcome,
        Err(offset) => {
            let start = RestartPoint {
                resumption: &resumption,
                cancelled,
                offset,
            };
            restart(&context, &request, start, &mut sink, &mut progress).await
        }
    };
    sink.finish(&outcome).await;
}

/// Returns the outcome of a cancelled request. The result of a non-repeatable stream can
/// be learned only from its record: the engine may have finished before the cancel.
fn cancelled_outcome(request: &CallerRequest) -> FinalOutcome {
    if request.intent.is_some() {
        return FinalOutcome::Unknown {
            reason: "cancelled after dispatch".to_owned(),
        };
    }
    FinalOutcome::Cancelled
}

/// State from which a resumed request is restarted.
struct RestartPoint<'a> {
    resumption: &'a Resumption,
    cancelled: watch::Receiver<bool>,
    offset: u64,
}

/// Resumes the stream at the engine that runs it; an error is the offset reached.
async fn follow_engine(
    context: &TrafficContext,
    request: &CallerRequest,
    resumption: &Resumption,
    sink: &mut AnswerSink,
    progress: &mut RequestProgress,
) -> Result<FinalOutcome, u64> {
    let token = &resumption.token;
    if token.model.is_empty() {
        return Err(resumption.offset);
    }
    let original = CallerRequest {
        id: token.request_id.clone(),
        ..request.clone()
    };
    let mut state = AttemptState::new(context, &original, sink, progress, resumption.offset);
    let may_move = request.intent.is_none() && resumption.resubmitted;
    match state
        .resume_stream(&choice_from_token(token), token.attempt, may_move)
        .await
    {
        Ok(summary) => Ok(FinalOutcome::Answered {
            summary,
            reason: String::new(),
        }),
        Err(_) => Err(state.assembly.delivered()),
    }
}

async fn restart(
    context: &TrafficContext,
    request: &CallerRequest,
    start: RestartPoint<'_>,
    sink: &mut AnswerSink,
    progress: &mut RequestProgress,
) -> FinalOutcome {
    let (offset, token) = (start.offset, &start.resumption.token);
    if request.intent.is_some() {
        return run_once::recorded_outcome(context, request, sink, offset).await;
    }
    if !start.resumption.resubmitted {
        return FinalOutcome::Unknown {
            reason: "its engine no longer has the stream; resume again and include the request"
                .to_owned(),
        };
    }
    let pinned = (offset > 0 && !token.model.is_empty()).then(|| PinnedEngine {
        model: token.model.clone(),
        software: token.software.clone(),
    });
    let cancelled = start.cancelled;
    run_stream::continue_from(context, request, sink, cancelled, progress, offset, pinned).await
}

fn choice_from_token(token: &ResumeToken) -> TargetChoice {
    TargetChoice {
        incarnation: None,
        target: token.target.clone(),
        address: token.target_address.clone(),
        model: token.model.clone(),
        software: token.software.clone(),
        first_token_s: DEFAULT_FIRST_TOKEN_S,
        token_gap_s: DEFAULT_TOKEN_GAP_S,
        finish_s: 0.0,
        delay_s: 0.0,
        reason: String::new(),
    }
}
