//! Sends operations on a shard to the daemon that owns it.
//!
//! If hundreds of daemons wrote the same few objects, most of their conditional updates
//! would conflict. Each daemon therefore computes the same owner per shard from the live
//! daemons, without communication, and the owner's group commit includes the others'
//! operations. Correctness does not depend on the owner being unique: daemons may
//! disagree on it, or two may own a shard. An operation is written under its claimant's
//! claim identity, so it takes effect once whichever daemon writes it, and only the
//! claimant dispatches, closes or abandons the claim.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

use crate::intents::ClaimEntry;
use crate::intents::ops::{OpResult, ShardOp};
use crate::intents::wire::{ClaimWire, CloseWire};
use crate::names::DaemonId;
use crate::ports::{ObjectVersion, PortCall};

/// Maximum wait for the owner of a shard to reply.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a daemon writes a shard directly after the owner failed to reply.
pub const LINK_PAUSE: Duration = Duration::from_secs(1);

/// Maximum number of operations in one message.
pub const MAX_LINK_OPS: usize = 1_024;

const LINK_VERSION: u8 = 1;

/// Why the owner did not confirm operations; it may have executed them nevertheless.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum LinkError {
    /// No reply arrived.
    #[error("the owner of the shard did not answer ({reason}); write the shard directly")]
    NoReply {
        /// What happened.
        reason: String,
    },
    /// The message is not valid in this protocol.
    #[error(
        "a message with operations on intents cannot be decoded; run the same version on all \
         daemons"
    )]
    Malformed,
    /// The daemons have different numbers of shards.
    #[error("the daemons disagree on intents.shards; set the same number on all daemons")]
    Shards,
}

/// A call to another daemon, with its name and a message that
/// [`crate::intents::store::IntentStore::serve`] answers there.
pub type LinkCall = PortCall<(DaemonId, Vec<u8>), Result<Vec<u8>, LinkError>>;

/// Returns the owner of a shard, or `None` when this daemon writes it directly.
pub type ShardOwner = Arc<dyn Fn(u32) -> Option<DaemonId> + Send + Sync>;

/// Connects a store to the owners of shards.
#[derive(Clone)]
pub struct IntentLink {
    /// Returns the owner of a shard.
    pub owner: ShardOwner,
    /// Sends a message to another daemon and returns the reply.
    pub call: LinkCall,
}

impl fmt::Debug for IntentLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("IntentLink")
    }
}

/// Returns the owner of a shard among the live daemons, by rendezvous hashing: when a
/// daemon leaves, only the shards it owned move.
#[must_use]
pub fn shard_owner<'a>(
    shard: u32,
    daemons: impl Iterator<Item = &'a DaemonId>,
) -> Option<&'a DaemonId> {
    daemons.max_by_key(|daemon| (owner_score(shard, daemon), *daemon))
}

fn owner_score(shard: u32, daemon: &DaemonId) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(daemon.as_str().as_bytes());
    hash.update(&shard.to_le_bytes());
    hash.digest()
}

/// Operations that a daemon sends to the owner of a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkRequest {
    /// The shard.
    pub shard: u32,
    /// Number of shards in the settings of the sending daemon.
    pub shards: u32,
    /// Version of the shard that contains every claim closed by these operations.
    pub known_at: ObjectVersion,
    /// The operations: [`ShardOp::ForwardedClaim`] and [`ShardOp::ForwardedClose`].
    pub ops: Vec<ShardOp>,
}

/// Reply of the owner of a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkReply {
    /// Version of the shard that contains the recorded operations.
    pub version: ObjectVersion,
    /// Outcome of each operation, in order.
    pub outcomes: Vec<LinkOutcome>,
}

/// Outcome of one operation. The sending daemon executes itself what was not recorded.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LinkOutcome {
    /// The platform has stored it.
    #[serde(rename = "r")]
    Recorded,
    /// It may have taken effect, or may do so later.
    #[serde(rename = "u")]
    Uncertain,
    /// The owner will certainly never write it.
    #[serde(rename = "n")]
    NoEffect,
}

impl From<&OpResult> for LinkOutcome {
    fn from(result: &OpResult) -> Self {
        match result {
            OpResult::Closed | OpResult::Granted => Self::Recorded,
            OpResult::GivenUp {
                no_effect: true, ..
            } => Self::NoEffect,
            OpResult::GivenUp { .. } | OpResult::Invalid(_) | OpResult::Record(_) => {
                Self::Uncertain
            }
        }
    }
}

#[derive(Deserialize, Serialize)]
struct RequestWire(u8, u32, u32, u64, Vec<LinkOpWire>);

#[derive(Deserialize, Serialize)]
struct ReplyWire(u8, u64, Vec<LinkOutcome>);

#[derive(Deserialize, Serialize)]
enum LinkOpWire {
    #[serde(rename = "c")]
    Claim(ClaimWire),
    #[serde(rename = "e")]
    Close(CloseWire),
}

impl LinkOpWire {
    /// Returns `None` for operations that are never forwarded.
    fn from_op(op: &ShardOp) -> Option<Self> {
        match op {
            ShardOp::ForwardedClaim(claim) => Some(Self::Claim(ClaimWire::from(claim))),
            ShardOp::ForwardedClose { key, claim, record } => {
                Some(Self::Close(CloseWire::from((key, *claim, record))))
            }
            _ => None,
        }
    }
}

impl From<LinkOpWire> for ShardOp {
    fn from(wire: LinkOpWire) -> Self {
        match wire {
            LinkOpWire::Claim(claim) => Self::ForwardedClaim(ClaimEntry::from(claim)),
            LinkOpWire::Close(close) => {
                let (key, claim, record) = close.into();
                Self::ForwardedClose { key, claim, record }
            }
        }
    }
}

impl LinkRequest {
    /// Encodes the request for sending.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let ops = self.ops.iter().filter_map(LinkOpWire::from_op).collect();
        encode(&RequestWire(
            LINK_VERSION,
            self.shard,
            self.shards,
            self.known_at.0,
            ops,
        ))
    }

    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Malformed`] when the message is not a valid request, or has more
    /// than [`MAX_LINK_OPS`] operations.
    pub fn decode(message: &[u8]) -> Result<Self, LinkError> {
        let RequestWire(version, shard, shards, known_at, ops) =
            ciborium::from_reader(message).map_err(|_| LinkError::Malformed)?;
        if version != LINK_VERSION || ops.len() > MAX_LINK_OPS {
            return Err(LinkError::Malformed);
        }
        Ok(Self {
            shard,
            shards,
            known_at: ObjectVersion(known_at),
            ops: ops.into_iter().map(ShardOp::from).collect(),
        })
    }
}

impl LinkReply {
    /// Encodes the reply for sending.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(&ReplyWire(
            LINK_VERSION,
            self.version.0,
            self.outcomes.clone(),
        ))
    }

    /// Decodes the reply to a request with `ops` operations.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Malformed`] when the message is not a valid reply to that request.
    pub fn decode(message: &[u8], ops: usize) -> Result<Self, LinkError> {
        let ReplyWire(version, at, outcomes) =
            ciborium::from_reader(message).map_err(|_| LinkError::Malformed)?;
        if version != LINK_VERSION || outcomes.len() != ops {
            return Err(LinkError::Malformed);
        }
        Ok(Self {
            version: ObjectVersion(at),
            outcomes,
        })
    }
}

fn encode(wire: &impl Serialize) -> Vec<u8> {
    let mut message = Vec::new();
    ciborium::into_writer(wire, &mut message)
        .expect("every field of a message can be encoded as CBOR");
    message
}
