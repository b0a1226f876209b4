//! Sends an answer to its caller: typed events and exactly one final outcome.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::mpsc;
use tonic::Status;

use crate::invariants::{self, Invariant};
use crate::names::{RequestId, TargetId, millis};
use crate::pb;
use crate::requests::answer::{AnswerPart, AnswerSummary};

/// Longest wait for a caller that does not read; it then counts as disconnected.
const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// An event sent to a caller.
pub type AnswerEvent = Result<pb::AnswerEvent, Status>;

/// A final outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FinalOutcome {
    /// The complete answer was delivered.
    Answered {
        /// Length and digest.
        summary: AnswerSummary,
        /// Human-readable explanation.
        reason: String,
    },
    /// The request has not run.
    NotRun {
        /// How this is known.
        reason: String,
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// It is not known whether the request ran.
    Unknown {
        /// What is known.
        reason: String,
    },
    /// The caller cancelled it.
    Cancelled,
    /// The deadline passed after a target may have run it.
    Expired,
}

impl FinalOutcome {
    /// Returns the outcome's name in metrics.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered { .. } => "answered",
            Self::NotRun { .. } => "refused_not_run",
            Self::Unknown { .. } => "unknown",
            Self::Cancelled => "cancelled",
            Self::Expired => "expired",
        }
    }
}

impl From<&FinalOutcome> for pb::Final {
    fn from(outcome: &FinalOutcome) -> Self {
        let mut message = Self::default();
        let (code, reason) = match outcome {
            FinalOutcome::Answered { summary, reason } => {
                message.length = summary.length;
                message.digest = summary.digest.map(Vec::from).unwrap_or_default();
                (pb::Outcome::Answered, reason.clone())
            }
            FinalOutcome::NotRun {
                reason,
                retry_after,
            } => {
                message.retry_after_ms = u32::try_from(millis(*retry_after)).unwrap_or(u32::MAX);
                (pb::Outcome::RefusedNotRun, reason.clone())
            }
            FinalOutcome::Unknown { reason } => (pb::Outcome::Unknown, reason.clone()),
            FinalOutcome::Cancelled => (pb::Outcome::Cancelled, "cancelled".to_owned()),
            FinalOutcome::Expired => {
                let reason = "the deadline passed before the answer was complete";
                (pb::Outcome::Expired, reason.to_owned())
            }
        };
        message.set_outcome(code);
        message.reason = reason;
        message
    }
}

/// Sends events to one caller.
///
/// A caller that disconnects does not stop the work: it may resume with its token.
pub struct AnswerSink {
    events: mpsc::Sender<AnswerEvent>,
    request_id: RequestId,
    finished: bool,
    disconnected: AtomicBool,
    /// Whether any target may have run the request.
    may_have_run: bool,
}

impl AnswerSink {
    /// Creates the sink of one request.
    #[must_use]
    pub fn new(events: mpsc::Sender<AnswerEvent>, request_id: RequestId) -> Self {
        Self {
            events,
            request_id,
            finished: false,
            disconnected: AtomicBool::new(false),
            may_have_run: false,
        }
    }

    /// Records that from now on the request may have run.
    pub fn record_dispatch(&mut self) {
        self.may_have_run = true;
    }

    /// Records that the last dispatch was the only one and certainly did not run.
    pub fn record_not_run(&mut self) {
        self.may_have_run = false;
    }

    /// Returns whether a target may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Notifies the caller of acceptance, and of each attempt with its new token.
    pub async fn send_accepted(&self, token: String, attempt: u32, target: &TargetId) {
        let accepted = pb::Accepted {
            request_id: self.request_id.to_string(),
            resume_token: token,
            attempt,
            target: target.to_string(),
        };
        self.send(pb::answer_event::Event::Accepted(accepted)).await;
    }

    /// Sends bytes to the caller.
    pub async fn send_part(&self, attempt: u32, part: AnswerPart) {
        let chunk = pb::Chunk {
            attempt,
            offset: part.offset,
            data: part.data,
            tokens: part.tokens,
        };
        self.send(pb::answer_event::Event::Chunk(chunk)).await;
    }

    /// Sends the final outcome; only the first one counts.
    ///
    /// # Panics
    ///
    /// Panics if invariants are fatal and "not run" is reported for a request that may
    /// have run.
    pub async fn finish(&mut self, outcome: &FinalOutcome) {
        if self.finished {
            return;
        }
        self.finished = true;
        let not_run = matches!(outcome, FinalOutcome::NotRun { .. });
        invariants::check(
            !(not_run && self.may_have_run),
            Invariant::NotRunIsTrue,
            || format!("request {} may have run", self.request_id),
        );
        let message = pb::Final::from(outcome);
        self.send(pb::answer_event::Event::Final(message)).await;
    }

    async fn send(&self, event: pb::answer_event::Event) {
        if self.disconnected.load(Ordering::Relaxed) {
            return;
        }
        let message = pb::AnswerEvent { event: Some(event) };
        let sent = tokio::time::timeout(SLOW_CALLER_TIMEOUT, self.events.send(Ok(message))).await;
        // The caller may be gone; the work continues in case it returns. After one lost
        // event no more are sent, since a later one would hide the gap.
        if !matches!(sent, Ok(Ok(()))) {
            self.disconnected.store(true, Ordering::Relaxed);
        }
    }
}
