//! Tasks that feed the control loop from the platform and the engines.

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

const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const LONGEST_BACKOFF: Duration = Duration::from_secs(5);
const POLL_PATIENCE: Duration = Duration::from_secs(1);

/// Where an operator's change is answered.
pub type ChangeReply = oneshot::Sender<Result<ChangeReport, ChangeError>>;

/// What the feeding tasks tell the control loop.
#[derive(Debug)]
pub enum FeedEvent {
    /// Configuration objects; a whole listing or those changed.
    Config {
        /// The objects.
        objects: Vec<StoredObject>,
        /// Whether these are all there are.
        whole: bool,
    },
    /// The instance list.
    Instances(Vec<InstanceRow>),
    /// Whether the platform answered a call.
    Platform(bool),
    /// The state of an engine, or that it did not answer.
    Engine {
        /// Engine read.
        target: TargetId,
        /// Its report and the report's age.
        report: Option<(EngineState, Duration)>,
    },
    /// Objects of orders and the plan.
    Orders(Vec<StoredObject>),
    /// A read for leases, orders or the plan was answered.
    Read {
        /// Who asked.
        tag: CallTag,
        /// The answer.
        result: Result<Option<StoredObject>, PlatformError>,
    },
    /// A write for leases, orders or the plan was answered.
    Written {
        /// Who asked.
        tag: CallTag,
        /// Mark of the write.
        mark: String,
        /// What was written.
        write: ConditionalWrite,
        /// The answer.
        result: Result<ObjectVersion, PlatformError>,
    },
    /// An order was answered.
    Ordered {
        /// Group of the engine.
        group: GroupName,
        /// Engine.
        target: TargetId,
        /// The answer.
        result: Result<EngineState, TargetError>,
    },
    /// An operator's change was decided.
    Changed {
        /// The change.
        change: ItemChange,
        /// Revision and bucket, or why it was not accepted.
        result: Result<(u64, StoredObject), ChangeError>,
        /// Where the answer goes.
        reply: ChangeReply,
    },
}

/// Waits that grow with each failure and differ between daemons.
///
/// Without jitter all daemons would come back to a recovered platform in the same
/// instant and bring it down again.
#[derive(Debug)]
pub struct BackoffState {
    wait: Duration,
    rng: SmallRng,
}

impl BackoffState {
    /// Creates a backoff with its own seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            wait: FIRST_BACKOFF,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Starts again from the shortest wait.
    pub fn reset(&mut self) {
        self.wait = FIRST_BACKOFF;
    }

    /// Returns the next wait, at least as long as the platform asked for.
    pub fn next_wait(&mut self, error: &PlatformError) -> Duration {
        let asked = match error {
            PlatformError::Unavailable { retry_after, .. } => *retry_after,
            _ => Duration::ZERO,
        };
        let wait = self.wait.mul_f64(self.rng.random_range(0.5..1.5));
        self.wait = (self.wait * 2).min(LONGEST_BACKOFF);
        wait.max(asked.min(LONGEST_BACKOFF))
    }
}

/// Feeds the objects of a kind: lists them, then watches them from there.
pub async fn feed_objects(
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
        // The first listing is always an own one; from then on peers may feed this
        // daemon, and the watch goes on where it stood when they fall silent.
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
                since = deliver(kind, batch, since, &feeds);
            }
            Err(error) => {
                let _ = feeds.send(FeedEvent::Platform(is_answer(&error)));
                // The revision may be too old to continue from: start over. After an
                // outage the watch goes on where it stood, which spares the platform
                // a whole listing by every daemon at once.
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

// A revision that goes back means that the platform lost its history: list again.
fn deliver(
    kind: &str,
    batch: ObjectBatch,
    since: Option<u64>,
    feeds: &mpsc::UnboundedSender<FeedEvent>,
) -> Option<u64> {
    let went_back = since.is_some_and(|revision| batch.revision < revision);
    let _ = feeds.send(FeedEvent::Platform(true));
    let event = if kind == CONFIG_KIND {
        FeedEvent::Config {
            objects: batch.objects,
            whole: since.is_none(),
        }
    } else {
        FeedEvent::Orders(batch.objects)
    };
    let _ = feeds.send(event);
    (!went_back).then_some(batch.revision)
}

/// Feeds the instance list at a steady pace.
pub async fn feed_instances(
    platform: PlatformPort,
    pace: Duration,
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
                sleep(pace).await;
            }
            Err(error) => {
                let _ = feeds.send(FeedEvent::Platform(is_answer(&error)));
                sleep(backoff.next_wait(&error)).await;
            }
        }
    }
}

/// Reads one engine's state.
pub async fn poll_engine(
    engines: EnginePort,
    target: TargetId,
    address: String,
    feeds: mpsc::UnboundedSender<FeedEvent>,
) {
    let call = TargetCall {
        address,
        patience: POLL_PATIENCE,
        body: (),
    };
    let answer = tokio::time::timeout(POLL_PATIENCE, (engines.state)(call)).await;
    let state = answer.ok().and_then(Result::ok);
    let report = state.map(|report| {
        let age = membership::report_age(&report, clock::unix_now());
        (report, age)
    });
    let _ = feeds.send(FeedEvent::Engine { target, report });
}

/// Tells whether an error shows that the platform is there.
#[must_use]
pub fn is_answer(error: &PlatformError) -> bool {
    matches!(
        error,
        PlatformError::Conflict { .. } | PlatformError::Refused { .. }
    )
}
