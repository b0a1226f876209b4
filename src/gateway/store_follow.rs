//! Follows one kind of the store's objects: lists it, watches it, and lists it again
//! when the watch cannot go on.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::clock;
use crate::gateway::peers::wire::FeedObjects;
use crate::gateway::port::GatewayPorts;
use crate::names::MonoTime;
use crate::ports::{ObjectBatch, PlatformError, StoredObject, WatchQuery};

/// Longest wait of one watch of a hub. Others rely on it, and have to notice within
/// their own bounds that it hears nothing of the store any more.
const HUB_WATCH_WAIT: Duration = Duration::from_millis(900);
/// Longest wait of one watch. A connection can fall silent without a reset; a
/// watch that is not answered by then is begun anew on another connection, so this
/// also bounds for how long a silent one goes unnoticed.
const WATCH_WAIT: Duration = Duration::from_millis(3_000);
/// First pause after a failed call; doubles up to [`LONGEST_BACKOFF`].
pub(super) const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after a failed call. Short, since a daemon that missed a
/// configuration has to have it soon after the store returns.
const LONGEST_BACKOFF: Duration = Duration::from_millis(800);

/// Pause after changes before more are asked for, so that many at once, as when a whole
/// fleet starts, take a call together instead of one each. Calls are shared by all
/// daemons and priced; the pause is a small part of the time in which a target's
/// departure has to be acted on.
const GATHER_PAUSE: Duration = Duration::from_millis(150);

/// Kinds of objects that are followed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Feed {
    /// The configuration.
    Config,
    /// Targets' entries.
    Targets,
    /// Daemons' records.
    Daemons,
}

/// What following the store brings.
#[derive(Debug)]
pub enum FeedNews {
    /// All objects of a kind.
    Listed(Feed, Vec<StoredObject>),
    /// Objects that changed.
    Changed(Feed, Vec<StoredObject>),
    /// The store did not answer.
    Failed(Feed),
}

impl FeedNews {
    /// What hubs pass on of it.
    #[must_use]
    pub fn relayed(&self) -> Option<FeedObjects> {
        let (feed, whole, objects) = match self {
            Self::Listed(feed, objects) => (*feed, true, objects),
            Self::Changed(feed, objects) if !objects.is_empty() => (*feed, false, objects),
            Self::Changed(..) | Self::Failed(_) => return None,
        };
        let objects = objects.iter();
        let objects = objects.map(|o| {
            (
                o.object.name.clone(),
                o.version.0,
                o.value.clone().map(ByteBuf::from),
            )
        });
        Some(FeedObjects {
            feed,
            whole,
            objects: objects.collect(),
        })
    }
}

/// How a daemon follows the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchDuty {
    /// For itself.
    Alone,
    /// For the members of its data centre too.
    ForOthers,
    /// Not at all: a hub passes on what it reads.
    Fed,
}

impl WatchDuty {
    fn wait(self) -> Duration {
        match self {
            Self::Alone | Self::Fed => WATCH_WAIT,
            Self::ForOthers => HUB_WATCH_WAIT,
        }
    }
}

/// When the store was last heard, by kind of object.
#[derive(Debug, Default)]
pub struct StorePulse {
    heard: [AtomicU64; 3],
}

impl StorePulse {
    fn note(&self, feed: Feed) {
        self.heard[feed as usize].store(clock::mono_now().0, Ordering::Relaxed);
    }

    /// Time since the kind of object that was heard longest ago.
    #[must_use]
    pub fn age(&self, now: MonoTime) -> Duration {
        let heard = self.heard.iter().map(|at| at.load(Ordering::Relaxed));
        now.since(MonoTime(heard.min().unwrap_or(0)))
    }
}

/// Returns the store's name for a kind.
#[must_use]
pub fn kind_of(ports: &GatewayPorts, feed: Feed) -> String {
    let schema = &ports.schema;
    match feed {
        Feed::Config => schema.config_kind.clone(),
        Feed::Targets => schema.target_kind.clone(),
        Feed::Daemons => schema.daemon_kind.clone(),
    }
}

/// Follows one kind of objects.
pub struct Follower {
    /// Adapter.
    pub ports: GatewayPorts,
    /// Kind followed.
    pub feed: Feed,
    /// The store's name for it.
    pub kind: String,
    /// Where news go.
    pub news: mpsc::UnboundedSender<FeedNews>,
    /// Whether to follow, and for whom.
    pub duty: watch::Receiver<WatchDuty>,
    /// Where to note that the store was heard.
    pub pulse: Arc<StorePulse>,
}

impl Follower {
    /// Lists, then watches, and lists again when the watch cannot go on.
    pub async fn run(mut self) {
        let mut backoff = FIRST_BACKOFF;
        loop {
            // The sender lives as long as the thread.
            let _ = self.duty.wait_for(|duty| *duty != WatchDuty::Fed).await;
            match (self.ports.store.list)(self.kind.clone()).await {
                Ok(batch) => {
                    backoff = FIRST_BACKOFF;
                    self.tell(FeedNews::Listed(self.feed, batch.objects));
                    self.watch_from(batch.revision).await;
                }
                Err(error) => self.note_failure(&error),
            }
            pause(&mut backoff).await;
        }
    }

    // Watches until the store says that it cannot go on from here, or a hub does it.
    async fn watch_from(&self, mut since: u64) {
        let mut backoff = FIRST_BACKOFF;
        let mut failing = false;
        loop {
            let duty = *self.duty.borrow();
            if duty == WatchDuty::Fed {
                return;
            }
            let query = WatchQuery {
                kind: self.kind.clone(),
                since,
                wait: duty.wait(),
            };
            match (self.ports.store.watch)(query).await {
                Ok(ObjectBatch { revision, objects }) => {
                    if failing {
                        log::info!(kind = self.kind.as_str(); "store answers again");
                        failing = false;
                    }
                    backoff = FIRST_BACKOFF;
                    since = revision.max(since);
                    let gathers = !objects.is_empty() && self.feed != Feed::Config;
                    self.tell(FeedNews::Changed(self.feed, objects));
                    if gathers {
                        sleep(GATHER_PAUSE).await;
                    }
                }
                Err(PlatformError::Refused { reason }) => {
                    log::info!(kind = self.kind.as_str(), since = since; "watch cannot go on, listing again: {reason}");
                    return;
                }
                Err(error) => {
                    failing = true;
                    self.note_failure(&error);
                    pause(&mut backoff).await;
                }
            }
        }
    }

    fn tell(&self, news: FeedNews) {
        self.pulse.note(self.feed);
        // The loop that receives this ends only with the thread.
        let _ = self.news.send(news);
    }

    fn note_failure(&self, error: &PlatformError) {
        metrics::counter!("pistachiowick_store_failures_total").increment(1);
        log::warn!(kind = self.kind.as_str(); "store does not answer: {error}");
        let _ = self.news.send(FeedNews::Failed(self.feed));
    }
}

/// Waits and doubles the wait. It differs between daemons, so that they do not all
/// come back in the same instant.
pub(super) async fn pause(backoff: &mut Duration) {
    let part = rand::rng().random_range(0.5..1.0);
    sleep(backoff.mul_f64(part)).await;
    *backoff = (*backoff * 2).min(LONGEST_BACKOFF);
}
