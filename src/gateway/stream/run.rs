//! One source of a stream's events: an engine, or another daemon that took the stream over.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::Body;
use tokio::time::Instant;

use crate::gateway::call::InFlightGuard;
use crate::gateway::client::is_timeout;
use crate::gateway::event_split::EventSplitter;
use crate::gateway::model::TargetRecord;
use crate::gateway::reply::FrameStream;
use crate::gateway::sending::{SendOutcome, TargetAnswer};

/// A send in progress.
pub type PendingSend = Pin<Box<dyn Future<Output = SendOutcome>>>;
/// A handover in progress.
pub type PendingHandover = Pin<Box<dyn Future<Output = HandoverEnd>>>;

/// How a handover ended.
pub enum HandoverEnd {
    /// Another daemon took the stream over; its frames follow.
    Taken(FrameStream),
    /// No target has received the request through another daemon.
    NotServed,
    /// A target may have received it.
    Lost,
}

/// Where the events of a run come from.
pub enum RunSource {
    /// An engine that has not answered yet.
    Sending(PendingSend),
    /// The answer of an engine.
    Answer(Box<TargetAnswer>),
    /// A daemon that is to take the stream over.
    HandingOver(PendingHandover),
    /// The answer of another daemon.
    Peer(FrameStream),
}

/// A run of a stream's work, from the event after which it goes on.
pub struct StreamRun {
    /// Where its events come from.
    pub source: RunSource,
    /// Engine that does the work; `None` if another daemon chooses it.
    pub engine: Option<Arc<TargetRecord>>,
    /// Its incomplete event.
    pub splitter: EventSplitter,
    /// Counts the work at the engine.
    pub in_flight: Option<InFlightGuard>,
    /// Whether the events forwarded so far, if any, are its own.
    pub is_leading: bool,
    /// Whether the engine has sent an event, and was of its recorded version then.
    pub is_checked: bool,
    /// When the run was started.
    pub started: Instant,
}

/// What a run has come to.
pub enum RunStep {
    /// The send has ended.
    Sent(SendOutcome),
    /// The handover has ended.
    HandedOver(HandoverEnd),
    /// Bytes of events have arrived.
    Data(Bytes),
    /// The answer has ended after a whole event.
    Ended,
    /// The other side closed the connection.
    Cut(String),
    /// It cannot go on for another reason.
    Broken(String),
}

impl StreamRun {
    /// Returns whether its request may have arrived without an answer so far.
    #[must_use]
    pub fn is_unanswered(&self) -> bool {
        matches!(
            self.source,
            RunSource::Sending(_) | RunSource::HandingOver(_)
        )
    }

    /// Polls for the next step.
    pub fn poll_step(&mut self, context: &mut Context<'_>) -> Poll<RunStep> {
        loop {
            let frame = match &mut self.source {
                RunSource::Sending(sending) => {
                    return sending.as_mut().poll(context).map(RunStep::Sent);
                }
                RunSource::HandingOver(handover) => {
                    return handover.as_mut().poll(context).map(RunStep::HandedOver);
                }
                RunSource::Answer(answer) => {
                    match ready!(Pin::new(&mut answer.body).poll_frame(context)) {
                        None => return Poll::Ready(self.end()),
                        Some(Err(error)) if is_timeout(&error) => {
                            return Poll::Ready(RunStep::Broken(error.to_string()));
                        }
                        Some(Err(error)) => return Poll::Ready(RunStep::Cut(error.to_string())),
                        Some(Ok(frame)) => frame,
                    }
                }
                RunSource::Peer(frames) => match ready!(frames.as_mut().poll_next(context)) {
                    None => return Poll::Ready(self.end()),
                    Some(Err(cut)) => return Poll::Ready(RunStep::Broken(cut.to_string())),
                    Some(Ok(frame)) => frame,
                },
            };
            if let Ok(data) = frame.into_data() {
                return Poll::Ready(RunStep::Data(data));
            }
        }
    }

    fn end(&mut self) -> RunStep {
        if self.splitter.take_rest().is_empty() {
            return RunStep::Ended;
        }
        RunStep::Cut("the engine ended the stream in the middle of an event".to_owned())
    }
}

/// Polls runs in order until one has come to something.
pub fn poll_runs(runs: &mut [StreamRun], context: &mut Context<'_>) -> Poll<(usize, RunStep)> {
    for (index, run) in runs.iter_mut().enumerate() {
        if let Poll::Ready(step) = run.poll_step(context) {
            return Poll::Ready((index, step));
        }
    }
    Poll::Pending
}
