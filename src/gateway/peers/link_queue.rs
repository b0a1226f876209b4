//! Order in which messages are sent on a link to another daemon.
//!
//! A link may be too slow for its messages: it has little bandwidth, or is one of a hundred
//! that a busy hub serves. Status messages come every 200 ms, and each replaces the one
//! before. If they were always sent first, nothing else would be sent on a busy link:
//! changes of the configuration would wait, and daemons would run an old one.

use tokio::sync::{broadcast, mpsc, watch};

use crate::gateway::store_follow::Feed;

/// Changes of objects that may wait for a slow link before all objects are sent instead:
/// about as many as a fleet of thousands of targets has objects, since up to there the
/// changes take less bandwidth. All objects of 4,500 targets are 1.3 MB for each receiver.
const MAX_CHANGES: usize = 4_096;
/// Most messages sent between two status messages while more wait: 64 changes of 0.4 kB
/// take as long as a status message of a large fleet, so a full link is shared evenly.
const MAX_BETWEEN_STATUS: usize = 64;

/// Broadcasts changes of objects to all links. The configuration has its own channel, which
/// is sent before waiting changes of targets and daemons.
#[derive(Debug)]
pub struct ChangeSenders<M> {
    config: broadcast::Sender<M>,
    records: broadcast::Sender<M>,
}

impl<M: Clone> Default for ChangeSenders<M> {
    fn default() -> Self {
        Self {
            config: broadcast::channel(MAX_CHANGES).0,
            records: broadcast::channel(MAX_CHANGES).0,
        }
    }
}

impl<M: Clone> ChangeSenders<M> {
    /// Broadcasts a change to all links; there are no receivers while this daemon is no hub.
    pub fn send(&self, feed: Feed, message: M) {
        let sender = match feed {
            Feed::Config => &self.config,
            Feed::Targets | Feed::Daemons => &self.records,
        };
        let _ = sender.send(message);
    }

    /// Creates the queue of a link on which changes of objects are sent.
    #[must_use]
    pub fn open<S>(
        &self,
        status: watch::Receiver<S>,
        urgent: mpsc::UnboundedReceiver<M>,
    ) -> LinkQueue<S, M> {
        let changes = (self.config.subscribe(), self.records.subscribe());
        LinkQueue {
            status,
            urgent,
            changes: Some(changes),
            since_status: 0,
        }
    }
}

/// Next task of a link.
#[derive(Debug, Eq, PartialEq)]
pub enum LinkTask<M> {
    /// Sends the latest status message.
    Status,
    /// Sends a request or a response.
    Message(M),
    /// Sends a change of an object.
    Change(M),
    /// Sends all objects, as too many changes were waiting.
    AllObjects,
    /// Closes, as the daemon stops.
    End,
}

/// Messages that wait to be sent on a link.
#[derive(Debug)]
pub struct LinkQueue<S, M> {
    status: watch::Receiver<S>,
    // Requests and responses, which are sent before changes.
    urgent: mpsc::UnboundedReceiver<M>,
    // Changes of the configuration, and of targets and daemons.
    changes: Option<(broadcast::Receiver<M>, broadcast::Receiver<M>)>,
    // Messages sent since the last status message.
    since_status: usize,
}

impl<S, M: Clone> LinkQueue<S, M> {
    /// Creates the queue of a link on which no changes of objects are sent.
    #[must_use]
    pub fn without_changes(status: watch::Receiver<S>, urgent: mpsc::UnboundedReceiver<M>) -> Self {
        Self {
            status,
            urgent,
            changes: None,
            since_status: 0,
        }
    }

    /// Returns the latest status message.
    pub fn status(&mut self) -> watch::Ref<'_, S> {
        self.status.borrow_and_update()
    }

    /// Waits for the next task.
    pub async fn next(&mut self) -> LinkTask<M> {
        let changes = self.changes.as_mut();
        let task = if self.since_status < MAX_BETWEEN_STATUS {
            tokio::select! {
                biased;
                task = next_message(&mut self.urgent, changes) => task,
                changed = self.status.changed() => status_task(changed.is_ok()),
            }
        } else {
            tokio::select! {
                biased;
                changed = self.status.changed() => status_task(changed.is_ok()),
                task = next_message(&mut self.urgent, changes) => task,
            }
        };
        self.since_status = match task {
            LinkTask::Status => 0,
            _ => self.since_status + 1,
        };
        task
    }
}

fn status_task<M>(changed: bool) -> LinkTask<M> {
    if changed {
        LinkTask::Status
    } else {
        LinkTask::End
    }
}

// Responses to a member are sent before changes. A snapshot that was taken before a change
// and sent after it would lack this change, and the member, which applies changes only from
// the snapshot on, would miss it until the object changes again.
async fn next_message<M: Clone>(
    urgent: &mut mpsc::UnboundedReceiver<M>,
    changes: Option<&mut (broadcast::Receiver<M>, broadcast::Receiver<M>)>,
) -> LinkTask<M> {
    let Some((config, records)) = changes else {
        return match urgent.recv().await {
            Some(message) => LinkTask::Message(message),
            // The link was reopened with another queue; this one only sends status messages.
            None => std::future::pending().await,
        };
    };
    tokio::select! {
        biased;
        Some(message) = urgent.recv() => LinkTask::Message(message),
        change = config.recv() => change_task(change),
        change = records.recv() => change_task(change),
    }
}

fn change_task<M>(change: Result<M, broadcast::error::RecvError>) -> LinkTask<M> {
    match change {
        Ok(message) => LinkTask::Change(message),
        Err(broadcast::error::RecvError::Lagged(_)) => LinkTask::AllObjects,
        Err(broadcast::error::RecvError::Closed) => LinkTask::End,
    }
}
