//! One attempt of a request to a plain service: its permit, its send and its whole answer.

use std::cell::{Cell, OnceCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::time::Instant;

use crate::gateway::call::{RoutedRequest, SendHistory};
use crate::gateway::daemon::Gateway;
use crate::gateway::forward::{NOT_READY_WAIT, lost_answer};
use crate::gateway::model::TargetRecord;
use crate::gateway::plain_queue::ask::PlainPermit;
use crate::gateway::plain_queue::owner::TicketEnd;
use crate::gateway::reply::{Failure, Reply};
use crate::target_incarnation::TargetIncarnation;

/// The target that an attempt was sent to, and when.
pub type PlainSend = (Arc<TargetRecord>, Instant);

/// How far an attempt has come.
#[derive(Debug, Default)]
pub struct AttemptProgress {
    sent: OnceCell<PlainSend>,
    has_head: Cell<bool>,
}

impl AttemptProgress {
    /// Records that the head of the answer has arrived.
    pub fn note_head(&self) {
        self.has_head.set(true);
    }
}

/// An attempt in progress. Dropping it cancels it.
pub struct PlainAttempt<'a> {
    running: Pin<Box<dyn Future<Output = AttemptEnd> + 'a>>,
    progress: Rc<AttemptProgress>,
}

/// How an attempt ended.
pub enum AttemptEnd {
    /// The request was sent, or could not be.
    Sent(Arc<TargetRecord>, PlainOutcome),
    /// It gets no place at a target.
    NoPermit(Failure),
    /// No other target may get it any more.
    NoTarget,
}

/// Outcome of a send to a plain service.
pub enum PlainOutcome {
    /// A complete answer.
    Whole(Reply),
    /// A complete answer that reports a failure of the target.
    FailedWhole(Reply),
    /// The target states that it did not run the request.
    Refused(String),
    /// No byte of the request was sent.
    NotSent(String),
    /// Another target, or an engine in another stage, refused the request.
    Misdirected(String),
    /// The request may have run.
    Unclear(String),
}

impl PlainOutcome {
    /// Returns whether the request certainly did not run.
    #[must_use]
    pub fn did_not_run(&self) -> bool {
        matches!(
            self,
            Self::Refused(_) | Self::NotSent(_) | Self::Misdirected(_)
        )
    }

    /// Returns the answer to the caller, or the failure to report.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request has not run, and else that its answer was lost.
    pub fn into_result(self, call: &RoutedRequest) -> Result<Reply, Failure> {
        match self {
            Self::Whole(reply) | Self::FailedWhole(reply) => Ok(reply),
            Self::Refused(reason) | Self::NotSent(reason) | Self::Misdirected(reason) => {
                Err(Failure::refused(reason, NOT_READY_WAIT))
            }
            Self::Unclear(reason) => Err(lost_answer(call, reason)),
        }
    }

    /// Returns the name of the outcome in logs.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Whole(_) => "answered",
            Self::FailedWhole(_) => "failed",
            Self::Refused(_) => "refused",
            Self::NotSent(_) => "not_sent",
            Self::Misdirected(_) => "wrong_target",
            Self::Unclear(_) => "unclear",
        }
    }
}

impl<'a> PlainAttempt<'a> {
    /// Starts an attempt at `target`, or at the target that a ticket names.
    pub fn start(
        gateway: &'a Rc<Gateway>,
        call: &'a RoutedRequest,
        history: SendHistory,
        target: Arc<TargetRecord>,
    ) -> Self {
        let progress = Rc::new(AttemptProgress::default());
        let running = Box::pin(run(gateway, call, history, target, progress.clone()));
        Self { running, progress }
    }

    /// Returns the target that the request was sent to, and when; `None` while it waits for a
    /// permit.
    #[must_use]
    pub fn sent(&self) -> Option<&PlainSend> {
        self.progress.sent.get()
    }

    /// Returns whether the head of the answer has arrived.
    #[must_use]
    pub fn has_head(&self) -> bool {
        self.progress.has_head.get()
    }
}

/// Polls attempts in order until one has ended, and removes it.
pub fn poll_attempts<'a>(
    attempts: &mut Vec<PlainAttempt<'a>>,
    context: &mut Context<'_>,
) -> Poll<(PlainAttempt<'a>, AttemptEnd)> {
    for index in 0..attempts.len() {
        if let Poll::Ready(end) = attempts[index].running.as_mut().poll(context) {
            return Poll::Ready((attempts.remove(index), end));
        }
    }
    Poll::Pending
}

async fn run(
    gateway: &Rc<Gateway>,
    call: &RoutedRequest,
    history: SendHistory,
    target: Arc<TargetRecord>,
    progress: Rc<AttemptProgress>,
) -> AttemptEnd {
    let permit = match gateway.plain_permit(call, &history).await {
        Ok(permit) => permit,
        Err(refusal) => return AttemptEnd::NoPermit(refusal),
    };
    let (target, mut ticket) = match permit {
        PlainPermit::Direct => (target, None),
        PlainPermit::Unanswered => match gateway.choose_plain(call, &history) {
            Some(target) => (target, None),
            None => return AttemptEnd::NoTarget,
        },
        PlainPermit::Granted(ticket, granted) => (granted, Some(ticket)),
    };
    let began = Instant::now();
    progress.sent.get_or_init(|| (target.clone(), began));
    let outcome = gateway.send_plain(&target, call, &progress).await;
    if matches!(outcome, PlainOutcome::Refused(_)) {
        gateway.note_plain_full(call, &target.id);
    }
    if let Some(ticket) = &mut ticket {
        ticket.set_end(ticket_end(gateway, &outcome, (&target.id, began)));
    }
    AttemptEnd::Sent(target, outcome)
}

// Returns what the end of a granted request says about its target.
fn ticket_end(
    gateway: &Gateway,
    outcome: &PlainOutcome,
    (target, sent): (&TargetIncarnation, Instant),
) -> TicketEnd {
    match outcome {
        PlainOutcome::Whole(_) => TicketEnd::Answered(sent.elapsed().as_secs_f64() * 1_000.0),
        PlainOutcome::Refused(_) if !gateway.is_backing_off(target) => TicketEnd::Full,
        _ => TicketEnd::Other,
    }
}
