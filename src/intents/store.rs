//! Runs the ledger of requests that may not be repeated against the platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

pub use crate::intents::permit::{DispatchPermit, DispatchedClaim, LateClaim, UndeliveredProof};
pub use crate::intents::{AnswerRecord, IntentKey, RecordView};

use crate::intents::driver::{
    OpWaiter, ShardMessage, UNDECIDED_RETRY, start_shard, undecided_result,
};
use crate::intents::link::{IntentLink, LINK_WAIT, LinkError, LinkOutcome, LinkReply, LinkRequest};
use crate::intents::permit::ClaimCloser;
use crate::intents::writer::{OpResult, ShardOp};
use crate::intents::{ClaimEntry, ClaimId, CloseRecord};
use crate::names::{DaemonId, ProcessIncarnation, TargetId, UnixTime};
use crate::ports::{ObjectName, PlatformPort};
use crate::requests::claimant::ClaimantProcess;
use crate::settings::IntentSettings;

/// Kind of the platform objects that hold the records.
pub const INTENT_KIND: &str = "intents";

/// Longest wait for a lookup.
const LOOKUP_WAIT: Duration = Duration::from_secs(5);

/// Reads the wall clock.
pub type UnixClock = Arc<dyn Fn() -> UnixTime + Send + Sync>;

/// A wish to run a request once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IntentClaim {
    /// Identity of the request.
    pub key: IntentKey,
    /// Digest of class and body; a key used with another digest is refused.
    pub fingerprint: [u8; 16],
    /// Target chosen, so that others can find a stream.
    pub target: TargetId,
    /// When to give up on recording it; measured from now.
    pub patience: Duration,
}

/// Result of a claim.
#[derive(Debug)]
pub enum ClaimResult {
    /// This daemon may dispatch once.
    Granted(DispatchPermit),
    /// Somebody recorded the key before.
    Present(RecordView),
    /// The claim was given up before its record was certain; it will never be dispatched.
    GivenUp {
        /// Why.
        reason: String,
        /// When to come back.
        retry_after: Duration,
        /// Whether another claim of the key may exist.
        ///
        /// Always, for a key that was sent before: a read that shows no record proves
        /// nothing, as the other claim's write may still be under way. For such a key
        /// only [`IntentStore::lookup`] with `settle` makes "not run" true.
        key_may_exist: bool,
    },
    /// The key or its content is not acceptable.
    Invalid {
        /// What to correct.
        reason: String,
    },
}

/// Why a record could not be read or settled.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum LookupError {
    /// The key is not acceptable.
    #[error("{reason}")]
    Invalid {
        /// What to correct.
        reason: String,
    },
    /// The platform cannot tell now.
    #[error("{reason}; ask again after {}", humantime::format_duration(*retry_after))]
    Unavailable {
        /// What happened.
        reason: String,
        /// When to ask again.
        retry_after: Duration,
    },
}

/// What a store is built from.
pub struct StoreInputs<'a> {
    /// Bounds and times.
    pub settings: &'a IntentSettings,
    /// The platform.
    pub platform: PlatformPort,
    /// This daemon.
    pub daemon: DaemonId,
    /// Life of its process.
    pub incarnation: ProcessIncarnation,
    /// Wall clock, which decides the age of keys.
    pub unix_now: UnixClock,
}

/// The records of requests that may not be repeated.
#[derive(Clone)]
pub struct IntentStore {
    shards: Arc<Vec<mpsc::UnboundedSender<ShardMessage>>>,
    claimant: Arc<str>,
    process: u64,
    next_claim: Arc<AtomicU64>,
}

impl IntentStore {
    /// Creates a store that writes each shard directly, and starts a task per shard on
    /// the current runtime.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    #[must_use]
    pub fn new(inputs: &StoreInputs<'_>) -> Self {
        Self::build(inputs, None)
    }

    /// Creates a store that hands claims and their ends to the owners of shards.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    #[must_use]
    pub fn with_link(inputs: &StoreInputs<'_>, link: &IntentLink) -> Self {
        Self::build(inputs, Some(link))
    }

    fn build(inputs: &StoreInputs<'_>, link: Option<&IntentLink>) -> Self {
        // The clock alone doesn't tell two lives of a process apart for sure; two that
        // shared claim identities would each take the other's record for their own.
        let process = rand::random();
        let shards = (0..inputs.settings.shards.max(1))
            .map(|shard| start_shard(inputs, link.cloned(), shard, process))
            .collect();
        let claimant = ClaimantProcess {
            daemon: inputs.daemon.clone(),
            incarnation: inputs.incarnation,
        };
        Self {
            shards: Arc::new(shards),
            claimant: claimant.to_string().into(),
            process,
            next_claim: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Records a claim, or finds what was recorded before.
    pub async fn claim(&self, claim: IntentClaim) -> ClaimResult {
        let shard = self.shard(&claim.key);
        let id = self.next_id();
        let closer = shard.clone();
        let op = ShardOp::Claim(ClaimEntry {
            key: claim.key.clone(),
            claim: id,
            fingerprint: claim.fingerprint,
            claimant: self.claimant.to_string(),
            target: claim.target,
        });
        let (reply, result) = oneshot::channel();
        let waiter = OpWaiter {
            deadline: Instant::now() + claim.patience,
            reply: Box::new(move |result| {
                let permit = || DispatchPermit::new(claim.key, id, new_closer(closer));
                // A claimant that is gone leaves the result here, and the permit in it
                // is dropped, which closes the claim as not run.
                let _ = reply.send(claim_result(result, permit));
            }),
        };
        let _ = shard.send(ShardMessage::Submit(op, Some(waiter)));
        result.await.unwrap_or_else(|_| stopped_claim())
    }

    /// Reads what is recorded of a key. With `settle`, closes an open key for good, so
    /// that "not run" is final.
    ///
    /// # Errors
    ///
    /// Returns a [`LookupError`] when the key is not acceptable, or the platform
    /// cannot tell now.
    pub async fn lookup(&self, key: &IntentKey, settle: bool) -> Result<RecordView, LookupError> {
        let op = if settle {
            ShardOp::Settle {
                key: key.clone(),
                claim: self.next_id(),
            }
        } else {
            ShardOp::Lookup(key.clone())
        };
        let (reply, result) = oneshot::channel();
        let waiter = OpWaiter {
            deadline: Instant::now() + LOOKUP_WAIT,
            reply: Box::new(move |result| {
                let _ = reply.send(result);
            }),
        };
        let _ = self.shard(key).send(ShardMessage::Submit(op, Some(waiter)));
        lookup_result(result.await.unwrap_or_else(|_| undecided_result()))
    }

    /// Answers another daemon's message: writes its operations with this daemon's own.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`] when the message cannot be read, or comes from a daemon
    /// that spreads the records differently.
    pub async fn serve(&self, message: &[u8]) -> Result<Vec<u8>, LinkError> {
        let request = LinkRequest::decode(message)?;
        if request.shards as usize != self.shards.len() {
            return Err(LinkError::Shards);
        }
        let shard = self.shards.get(request.shard as usize);
        let shard = shard.ok_or(LinkError::Malformed)?;
        let _ = shard.send(ShardMessage::RaiseFloor(request.known_at));
        let submitted: Vec<_> = request
            .ops
            .into_iter()
            .map(|op| submit(shard, op))
            .collect();
        let mut outcomes = Vec::with_capacity(submitted.len());
        for result in submitted {
            let result = result.await.unwrap_or_else(|_| undecided_result());
            outcomes.push(LinkOutcome::from(&result));
        }
        let (reply, version) = oneshot::channel();
        let _ = shard.send(ShardMessage::Floor(reply));
        let version = version.await.unwrap_or_default();
        Ok(LinkReply { version, outcomes }.encode())
    }

    /// Waits until every end handed in is recorded, for a planned stop; true when all are.
    pub async fn drain(&self, wait: Duration) -> bool {
        let until = Instant::now() + wait;
        for shard in self.shards.iter() {
            let (done, all) = oneshot::channel();
            let _ = shard.send(ShardMessage::Drain(done));
            if tokio::time::timeout_at(until, all).await.is_err() {
                return false;
            }
        }
        true
    }

    fn shard(&self, key: &IntentKey) -> &mpsc::UnboundedSender<ShardMessage> {
        let count = u32::try_from(self.shards.len()).unwrap_or(u32::MAX);
        &self.shards[key.shard(count) as usize]
    }

    fn next_id(&self) -> ClaimId {
        ClaimId {
            process: self.process,
            number: self.next_claim.fetch_add(1, Ordering::Relaxed),
        }
    }
}

/// Submits an operation that another daemon waits for.
fn submit(shard: &mpsc::UnboundedSender<ShardMessage>, op: ShardOp) -> oneshot::Receiver<OpResult> {
    let (reply, result) = oneshot::channel();
    let waiter = OpWaiter {
        deadline: Instant::now() + LINK_WAIT,
        reply: Box::new(move |result| {
            let _ = reply.send(result);
        }),
    };
    let _ = shard.send(ShardMessage::Submit(op, Some(waiter)));
    result
}

/// Returns the platform object of a shard.
#[must_use]
pub fn shard_object(shard: u32) -> ObjectName {
    ObjectName {
        kind: INTENT_KIND.to_owned(),
        name: format!("shard-{shard:03}"),
    }
}

fn new_closer(shard: mpsc::UnboundedSender<ShardMessage>) -> ClaimCloser {
    Box::new(
        move |key: &IntentKey, claim: ClaimId, record: CloseRecord| {
            let op = ShardOp::Close {
                key: key.clone(),
                claim,
                record,
            };
            let _ = shard.send(ShardMessage::Submit(op, None));
        },
    )
}

fn claim_result(result: OpResult, permit: impl FnOnce() -> DispatchPermit) -> ClaimResult {
    match result {
        OpResult::Granted => ClaimResult::Granted(permit()),
        OpResult::Record(view) => ClaimResult::Present(view),
        OpResult::Invalid(fault) => ClaimResult::Invalid {
            reason: fault.to_string(),
        },
        OpResult::GivenUp {
            reason,
            retry_after,
            ..
        } => ClaimResult::GivenUp {
            reason,
            retry_after,
            key_may_exist: true,
        },
        OpResult::Closed => stopped_claim(),
    }
}

/// The task is gone, with its runtime, before it could have granted anything.
fn stopped_claim() -> ClaimResult {
    ClaimResult::GivenUp {
        reason: "this daemon is stopping; use another address".to_owned(),
        retry_after: Duration::ZERO,
        key_may_exist: true,
    }
}

fn lookup_result(result: OpResult) -> Result<RecordView, LookupError> {
    match result {
        OpResult::Record(view) => Ok(view),
        OpResult::Invalid(fault) => Err(LookupError::Invalid {
            reason: fault.to_string(),
        }),
        OpResult::GivenUp {
            reason,
            retry_after,
            ..
        } => Err(LookupError::Unavailable {
            reason,
            retry_after,
        }),
        OpResult::Closed | OpResult::Granted => Err(LookupError::Unavailable {
            reason: "the lookup was taken for a claim".to_owned(),
            retry_after: UNDECIDED_RETRY,
        }),
    }
}
