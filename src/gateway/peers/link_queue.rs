//! What goes out next on a link to another daemon.
//!
//! A link may be slower than what is to be said on it: narrow, or one of a hundred that a
//! busy hub serves. Words come anew every 200 ms and replace each other, so sent first
//! they would be all that is ever sent; changes of the configuration would wait for as
//! long as the link is busy, and daemons run with an old one.

use tokio::sync::{broadcast, mpsc, watch};

use crate::gateway::store_follow::Feed;

/// Changes of objects that may wait for a slow link before it gets all objects anew: as
/// many as a fleet of thousands of targets has objects, since until then the changes are
/// the shorter message. By calculation, all objects of 4,500 targets are 1.3 MB for each
/// reader; that a larger number serves callers better there is not measured.
const MOST_CHANGES: usize = 4_096;
/// Messages that go out between two words while more wait: 64 changes of 0.4 kB take as
/// long as a word of a large fleet, so a full link is shared evenly.
const MOST_BETWEEN_WORDS: usize = 64;

/// Where changes of objects are handed to all links. The configuration goes apart, before
/// changes of targets and daemons that wait.
#[derive(Debug)]
pub struct ChangeSenders<M> {
    config: broadcast::Sender<M>,
    records: broadcast::Sender<M>,
}

impl<M: Clone> Default for ChangeSenders<M> {
    fn default() -> Self {
        Self {
            config: broadcast::channel(MOST_CHANGES).0,
            records: broadcast::channel(MOST_CHANGES).0,
        }
    }
}

impl<M: Clone> ChangeSenders<M> {
    /// Hands a change to all links; nobody listens while this daemon is no hub.
    pub fn send(&self, feed: Feed, message: M) {
        let sender = match feed {
            Feed::Config => &self.config,
            Feed::Targets | Feed::Daemons => &self.records,
        };
        let _ = sender.send(message);
    }

    /// Opens a queue for a link that is told of changes.
    #[must_use]
    pub fn open<W>(
        &self,
        word: watch::Receiver<W>,
        urgent: mpsc::UnboundedReceiver<M>,
    ) -> LinkQueue<W, M> {
        let changes = (self.config.subscribe(), self.records.subscribe());
        LinkQueue {
            word,
            urgent,
            changes: Some(changes),
            since_word: 0,
        }
    }
}

/// What a link does next.
#[derive(Debug, Eq, PartialEq)]
pub enum LinkTask<M> {
    /// Sends the newest word.
    Word,
    /// Sends a message that was asked for or is an answer.
    Message(M),
    /// Sends a change of an object.
    Change(M),
    /// Sends all objects: too many changes were waiting.
    AllObjects,
    /// Ends: the daemon does.
    End,
}

/// What waits to be sent on a link.
#[derive(Debug)]
pub struct LinkQueue<W, M> {
    word: watch::Receiver<W>,
    urgent: mpsc::UnboundedReceiver<M>,
    changes: Option<(broadcast::Receiver<M>, broadcast::Receiver<M>)>,
    since_word: usize,
}

impl<W, M: Clone> LinkQueue<W, M> {
    /// Creates the queue of a link that is told of no changes.
    #[must_use]
    pub fn without_changes(word: watch::Receiver<W>, urgent: mpsc::UnboundedReceiver<M>) -> Self {
        Self {
            word,
            urgent,
            changes: None,
            since_word: 0,
        }
    }

    /// Returns the newest word.
    pub fn word(&mut self) -> watch::Ref<'_, W> {
        self.word.borrow_and_update()
    }

    /// Waits for what is to be done next.
    pub async fn next(&mut self) -> LinkTask<M> {
        let changes = self.changes.as_mut();
        let task = if self.since_word < MOST_BETWEEN_WORDS {
            tokio::select! {
                biased;
                task = next_message(&mut self.urgent, changes) => task,
                changed = self.word.changed() => word_task(changed.is_ok()),
            }
        } else {
            tokio::select! {
                biased;
                changed = self.word.changed() => word_task(changed.is_ok()),
                task = next_message(&mut self.urgent, changes) => task,
            }
        };
        self.since_word = match task {
            LinkTask::Word => 0,
            _ => self.since_word + 1,
        };
        task
    }
}

fn word_task<M>(changed: bool) -> LinkTask<M> {
    if changed {
        LinkTask::Word
    } else {
        LinkTask::End
    }
}

// What a member asked for goes before changes: made before one of them and sent after it,
// the answer would leave it out, and the member, which takes changes from the answer on,
// would go without it until the next.
async fn next_message<M: Clone>(
    urgent: &mut mpsc::UnboundedReceiver<M>,
    changes: Option<&mut (broadcast::Receiver<M>, broadcast::Receiver<M>)>,
) -> LinkTask<M> {
    let Some((config, records)) = changes else {
        return match urgent.recv().await {
            Some(message) => LinkTask::Message(message),
            // The link is opened anew with another queue; this one has words left.
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
