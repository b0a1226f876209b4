//! Tasks that read from the platform and the engines and send events to the control loop.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep;

use crate::authority::actions::CallTag;
use crate::clock;
use crate::config::buckets::CONFIG_KIND;
use crate::control::{ChangeError, ChangeReport, ItemChange};
use crate::membership;
use crate::names::{GroupName, TargetId};
use crate::ports::{
    ConditionalWrite, EnginePort, ObjectBatch, ObjectVersion, PlatformError, PlatformPort,
    StoredObject, TargetCall, TargetError, WatchQuery,
};
use crate::store::wire::InstanceRow;
use crate::targets::wire::EngineState;

const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Channel for the result of an operator's change.
pub type ChangeReply = oneshot::Sender<Result<ChangeReport, ChangeError>>;

/// An event that these tasks send to the control loop.
#[derive(Debug)]
pub enum FeedEvent {
    /// Configuration objects: a complete listing or only the changed ones.
    Config {
        /// Listed or changed objects.
        objects: Vec<StoredObject>,
        /// Whether this is the complete listing.
        complete: bool,
    },
    /// Rows of the instance list.
    Instances(Vec<InstanceRow>),
    /// Whether the platform answered the last call.
    Platform(bool),
    /// Result of polling an engine.
    Engine {
        /// Polled engine.
        target: TargetId,
        /// Its report and the report's age; `None` if it did not answer.
        report: Option<(EngineState, Duration)>,
    },
    /// Objects that contain orders and the plan.
    Orders(Vec<StoredObject>),
    /// Result of a read for leases, orders or the plan.
    Read {
        /// Originator of the read.
        tag: CallTag,
        /// Object, `None` if it never existed, or why the read failed.
        result: Result<Option<StoredObject>, PlatformError>,
    },
    /// Result of a write for leases, orders or the plan.
    Written {
        /// Originator of the write.
        tag: CallTag,
        /// Unique id of the write.
        mark: String,
        /// The write that was sent.
        write: ConditionalWrite,
        /// New version, or why the write failed.
        result: Result<ObjectVersion, PlatformError>,
    },
    /// Result of an order to an engine.
    Ordered {
        /// Group of the engine.
        group: GroupName,
        /// Engine that received the order.
        target: TargetId,
        /// State of the engine, or why the order failed.
        result: Result<EngineState, TargetError>,
    },
    /// Result of an operator's change.
    Changed {
        /// Requested change.
        change: ItemChange,
        /// Revision and bucket, or why the change was not accepted.
        result: Result<(u64, StoredObject), ChangeError>,
        /// Channel that receives the result.
        reply: ChangeReply,
    },
}

/// Exponential backoff with jitter.
///
/// Without jitter all daemons would return to a recovered platform at the same moment and
/// overload it again.
#[derive(Debug)]
pub struct BackoffState {
    wait: Duration,
    rng: SmallRng,
}

impl BackoffState {
    /// Creates a backoff whose jitter is derived from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            wait: MIN_BACKOFF,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Resets the backoff to the shortest wait.
    pub fn reset(&mut self) {
        self.wait = MIN_BACKOFF;
    }

    /// Returns the next wait, which is at least as long as the platform requested, up to the
    /// longest backoff.
    pub fn next_wait(&mut self, error: &PlatformError) -> Duration {
        let requested = match error {
            PlatformError::Unavailable { retry_after, .. } => *retry_after,
            _ => Duration::ZERO,
        };
        let wait = self.wait.mul_f64(self.rng.random_range(0.5..1.5));
        self.wait = (self.wait * 2).min(MAX_BACKOFF);
        wait.max(requested.min(MAX_BACKOFF))
    }
}

/// Lists the objects of a kind, then watches them from the listed revision on.
pub async fn watch_objects(
    platform: PlatformPort,
    kind: &'static str,
    watch_wait: Duration,
    seed: u64,
    mut watching: watch::Receiver<bool>,
    feeds: mpsc::UnboundedSender<FeedEvent>,
) {
    let mut backoff = BackoffState::new(seed);
    let mut since: Option<u64> = None;
    while !feeds.is_closed() {
        // This daemon always reads the first listing itself. Later it may receive updates
        // from peers; when they become unreachable, the watch continues from its last
        // revision.
        if since.is_some() && watching.wait_for(|on| *on).await.is_err() {
            return;
        }
        let result = match since {
            None => (platform.list)(kind.to_owned()).await,
            Some(revision) => watch(&platform, kind, revision, watch_wait).await,
        };
        match result {
            Ok(batch) => {
                backoff.reset();
                since = send_batch(kind, batch, since, &feeds);
            }
            Err(error) => {
                let _ = feeds.send(FeedEvent::Platform(proves_reachable(&error)));
                // A refused watch may mean that the revision is too old: list again. After
                // an outage the watch continues from its last revision, which saves the
                // platform a complete listing by every daemon at once.
                if matches!(error, PlatformError::Refused { .. }) {
                    since = None;
                }
                sleep(backoff.next_wait(&error)).await;
            }
        }
    }
}

async fn watch(
    platform: &PlatformPort,
    kind: &str,
    since: u64,
    wait: Duration,
) -> Result<ObjectBatch, PlatformError> {
    let query = WatchQuery {
        kind: kind.to_owned(),
        since,
        wait,
    };
    (platform.watch)(query).await
}

// A lower revision than before means that the platform lost its history: list again.
fn send_batch(
    kind: &str,
    batch: ObjectBatch,
    since: Option<u64>,
    feeds: &mpsc::UnboundedSender<FeedEvent>,
) -> Option<u64> {
    let history_lost = since.is_some_and(|revision| batch.revision < revision);
    let _ = feeds.send(FeedEvent::Platform(true));
    let event = if kind == CONFIG_KIND {
        FeedEvent::Config {
            objects: batch.objects,
            complete: since.is_none(),
        }
    } else {
        FeedEvent::Orders(batch.objects)
    };
    let _ = feeds.send(event);
    (!history_lost).then_some(batch.revision)
}

/// Reads the instance list at regular intervals.
pub async fn poll_instances(
    platform: PlatformPort,
    interval: Duration,
    seed: u64,
    feeds: mpsc::UnboundedSender<FeedEvent>,
) {
    let mut backoff = BackoffState::new(seed);
    while !feeds.is_closed() {
        match (platform.instances)(()).await {
            Ok(rows) => {
                backoff.reset();
                let _ = feeds.send(FeedEvent::Platform(true));
                let _ = feeds.send(FeedEvent::Instances(rows));
                sleep(interval).await;
            }
            Err(error) => {
                let _ = feeds.send(FeedEvent::Platform(proves_reachable(&error)));
                sleep(backoff.next_wait(&error)).await;
            }
        }
    }
}

/// Polls the state of one engine.
pub async fn poll_engine(
    engines: EnginePort,
    target: TargetId,
    address: String,
    feeds: mpsc::UnboundedSender<FeedEvent>,
) {
    let call = TargetCall {
        address,
        timeout: POLL_TIMEOUT,
        body: (),
    };
    let answer = tokio::time::timeout(POLL_TIMEOUT, (engines.state)(call)).await;
    let state = answer.ok().and_then(Result::ok);
    let report = state.map(|report| {
        let age = membership::report_age(&report, clock::unix_now());
        (report, age)
    });
    let _ = feeds.send(FeedEvent::Engine { target, report });
}

/// Returns whether an error shows that the platform is reachable.
#[must_use]
pub fn proves_reachable(error: &PlatformError) -> bool {
    matches!(
        error,
        PlatformError::Conflict { .. } | PlatformError::Refused { .. }
    )
}
