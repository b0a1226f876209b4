//! The store of the records of non-repeatable requests: keeps the ledgers of all shards in
//! the platform.

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
use crate::intents::link::{
    IntentLink, LINK_TIMEOUT, LinkError, LinkOutcome, LinkReply, LinkRequest,
};
use crate::intents::permit::ClaimCloser;
use crate::intents::writer::{OpResult, ShardOp};
use crate::intents::{ClaimEntry, ClaimId, CloseRecord};
use crate::names::{DaemonId, ProcessIncarnation, TargetId, UnixTime};
use crate::ports::{ObjectName, PlatformPort};
use crate::requests::claimant::ClaimantProcess;
use crate::settings::IntentSettings;

/// Kind of the platform objects that hold the records.
pub const INTENT_KIND: &str = "intents";

/// Maximum duration of a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the time of the wall clock.
pub type UnixClock = Arc<dyn Fn() -> UnixTime + Send + Sync>;

/// What is needed to claim the permission to run a request once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IntentClaim {
    /// Identity of the request.
    pub key: IntentKey,
    /// Digest of class and body; reuse of a key with another digest is refused.
    pub fingerprint: [u8; 16],
    /// Target chosen; recorded so that other daemons can find the stream.
    pub target: TargetId,
    /// Maximum time until the claim must be recorded.
    pub timeout: Duration,
}

/// Result of a claim.
#[derive(Debug)]
pub enum ClaimResult {
    /// This daemon may dispatch the request once.
    Granted(DispatchPermit),
    /// The key was recorded before.
    Present(RecordView),
    /// The claim was abandoned before its record was confirmed; it will never be dispatched.
    GivenUp {
        /// Why.
        reason: String,
        /// When to retry.
        retry_after: Duration,
        /// Whether another claim of the key may exist.
        ///
        /// Always true, as the key may have been sent before: a read without a record proves
        /// nothing, as the write of the other claim may still be in flight. For a key that
        /// may have been sent before, only [`IntentStore::lookup`] with `settle` guarantees
        /// "not run".
        key_may_exist: bool,
    },
    /// The key, or the request sent under it, is not acceptable.
    Invalid {
        /// The error and its remedy.
        reason: String,
    },
}

/// Why a record could not be read or settled.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum LookupError {
    /// The key is not acceptable.
    #[error("{reason}")]
    Invalid {
        /// The error and its remedy.
        reason: String,
    },
    /// The record cannot be read or settled at present.
    #[error("{reason}; retry the lookup after {}", humantime::format_duration(*retry_after))]
    Unavailable {
        /// What happened.
        reason: String,
        /// When to retry.
        retry_after: Duration,
    },
}

/// Inputs for building a store.
pub struct StoreInputs<'a> {
    /// Limits and times.
    pub settings: &'a IntentSettings,
    /// The platform.
    pub platform: PlatformPort,
    /// This daemon.
    pub daemon: DaemonId,
    /// Incarnation of its process.
    pub incarnation: ProcessIncarnation,
    /// Wall clock, which decides the age of keys.
    pub unix_now: UnixClock,
}

/// The records of non-repeatable requests.
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

    /// Creates a store that sends claims and their outcomes to the owners of shards.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    #[must_use]
    pub fn with_link(inputs: &StoreInputs<'_>, link: &IntentLink) -> Self {
        Self::build(inputs, Some(link))
    }

    fn build(inputs: &StoreInputs<'_>, link: Option<&IntentLink>) -> Self {
        // The incarnation comes from the clock and may be the same for two runs of a
        // process. If they shared claim identities, each would take the other's record for
        // its own, so the identity is random.
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

    /// Records a claim, or returns what was recorded before.
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
            deadline: Instant::now() + claim.timeout,
            reply: Box::new(move |result| {
                let permit = || DispatchPermit::new(claim.key, id, new_closer(closer));
                // If the claimant is gone, sending fails and drops the permit, which closes
                // the claim as not run.
                let _ = reply.send(claim_result(result, permit));
            }),
        };
        let _ = shard.send(ShardMessage::Submit(op, Some(waiter)));
        result.await.unwrap_or_else(|_| stopped_claim())
    }

    /// Returns what is recorded for a key. With `settle`, first closes an unused key
    /// permanently, so that "not run" is final.
    ///
    /// # Errors
    ///
    /// Returns a [`LookupError`] when the key is not acceptable, or the record cannot be
    /// read or settled at present.
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
            deadline: Instant::now() + LOOKUP_TIMEOUT,
            reply: Box::new(move |result| {
                let _ = reply.send(result);
            }),
        };
        let _ = self.shard(key).send(ShardMessage::Submit(op, Some(waiter)));
        lookup_result(result.await.unwrap_or_else(|_| undecided_result()))
    }

    /// Handles another daemon's message: executes its operations together with this daemon's
    /// own, and returns the encoded reply.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`] when the message cannot be decoded, or comes from a daemon
    /// with another number of shards.
    pub async fn serve(&self, message: &[u8]) -> Result<Vec<u8>, LinkError> {
        let request = LinkRequest::decode(message)?;
        if request.shards as usize != self.shards.len() {
            return Err(LinkError::Shards);
        }
        let shard = self.shards.get(request.shard as usize);
        let shard = shard.ok_or(LinkError::Malformed)?;
        let _ = shard.send(ShardMessage::RaiseMinVersion(request.known_at));
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
        let _ = shard.send(ShardMessage::MinVersion(reply));
        let version = version.await.unwrap_or_default();
        Ok(LinkReply { version, outcomes }.encode())
    }

    /// Waits until all pending operations are done, for a planned stop. Returns false when
    /// they are not within `wait`.
    pub async fn drain(&self, wait: Duration) -> bool {
        let deadline = Instant::now() + wait;
        for shard in self.shards.iter() {
            let (done, all) = oneshot::channel();
            let _ = shard.send(ShardMessage::Drain(done));
            if tokio::time::timeout_at(deadline, all).await.is_err() {
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

/// Submits an operation of another daemon.
fn submit(shard: &mpsc::UnboundedSender<ShardMessage>, op: ShardOp) -> oneshot::Receiver<OpResult> {
    let (reply, result) = oneshot::channel();
    let waiter = OpWaiter {
        deadline: Instant::now() + LINK_TIMEOUT,
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
        OpResult::Invalid(error) => ClaimResult::Invalid {
            reason: error.to_string(),
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

/// Returns the result for a claim whose shard task ended with its runtime before it could
/// grant anything.
fn stopped_claim() -> ClaimResult {
    ClaimResult::GivenUp {
        reason: "this daemon is stopping; send the request to another daemon".to_owned(),
        retry_after: Duration::ZERO,
        key_may_exist: true,
    }
}

fn lookup_result(result: OpResult) -> Result<RecordView, LookupError> {
    match result {
        OpResult::Record(view) => Ok(view),
        OpResult::Invalid(error) => Err(LookupError::Invalid {
            reason: error.to_string(),
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
            reason: "the lookup was answered as if it were a claim".to_owned(),
            retry_after: UNDECIDED_RETRY,
        }),
    }
}
