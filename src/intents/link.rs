//! Hands operations on a shard to the daemon that writes it for all.
//!
//! Hundreds of daemons that each write the same few objects would refuse one
//! another's updates most of the time. So the live daemons agree, without a word, on
//! one owner per shard, and its group commit carries the others' operations. They
//! may disagree on the owner, or two may own a shard: an operation is carried under
//! its claimant's identity, so that it has one effect whoever writes it, and only the
//! claimant dispatches, closes or abandons the claim.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

use crate::intents::ClaimEntry;
use crate::intents::ops::{OpResult, ShardOp};
use crate::intents::wire::{CloseWire, IntentWire};
use crate::names::DaemonId;
use crate::ports::{ObjectVersion, PortCall};

/// Longest wait for the owner of a shard.
pub const LINK_WAIT: Duration = Duration::from_millis(250);

/// Time for which a daemon writes a shard by itself after its owner did not answer.
pub const LINK_PAUSE: Duration = Duration::from_secs(1);

/// Operations in one message.
pub const MAX_LINK_OPS: usize = 1_024;

const LINK_VERSION: u8 = 1;

/// Why operations were not carried.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum LinkError {
    /// The other daemon did not answer.
    #[error("the owner of the shard did not answer ({reason}); write the shard directly")]
    NoReply {
        /// What happened.
        reason: String,
    },
    /// The message is not one of this protocol.
    #[error("a message about intents cannot be read; run the same version on all daemons")]
    Malformed,
    /// The daemons spread the records differently.
    #[error("the daemons disagree on intents.shards; set the same number on all daemons")]
    Shards,
}

/// A call to another daemon: its name, and a message to be answered by
/// [`crate::intents::store::IntentStore::serve`] there.
pub type LinkCall = PortCall<(DaemonId, Vec<u8>), Result<Vec<u8>, LinkError>>;

/// Returns the owner of a shard, or `None` when this daemon writes it directly.
pub type ShardOwner = Arc<dyn Fn(u32) -> Option<DaemonId> + Send + Sync>;

/// How a store reaches the owners of shards.
#[derive(Clone)]
pub struct IntentLink {
    /// Who owns a shard.
    pub owner: ShardOwner,
    /// Asks another daemon.
    pub call: LinkCall,
}

impl fmt::Debug for IntentLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("IntentLink")
    }
}

/// Returns the owner of a shard among live daemons, by rendezvous hashing: when one
/// leaves, only its own shards move.
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

/// Operations that one daemon asks the owner of a shard to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkRequest {
    /// The shard.
    pub shard: u32,
    /// Number of shards in the settings of the asking daemon.
    pub shards: u32,
    /// A version at which every claim closed here was recorded.
    pub known_at: ObjectVersion,
    /// The operations: [`ShardOp::Carry`] and [`ShardOp::CarryClose`].
    pub ops: Vec<ShardOp>,
}

/// What became of the operations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkReply {
    /// A version at which they are recorded.
    pub version: ObjectVersion,
    /// Outcome of each operation, in order.
    pub outcomes: Vec<LinkOutcome>,
}

/// What became of one operation. The asking daemon does itself what is not recorded.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LinkOutcome {
    /// The platform has it.
    #[serde(rename = "r")]
    Recorded,
    /// It may take effect, now or later.
    #[serde(rename = "u")]
    Unsure,
    /// It is certain to have no effect by way of the owner.
    #[serde(rename = "n")]
    Untouched,
}

impl From<&OpResult> for LinkOutcome {
    fn from(result: &OpResult) -> Self {
        match result {
            OpResult::Closed | OpResult::Granted => Self::Recorded,
            OpResult::GivenUp {
                untouched: true, ..
            } => Self::Untouched,
            OpResult::GivenUp { .. } | OpResult::Invalid(_) | OpResult::Record(_) => Self::Unsure,
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
    Claim(IntentWire),
    #[serde(rename = "e")]
    Close(CloseWire),
}

impl LinkOpWire {
    /// Returns `None` for operations that a daemon only carries out for itself.
    fn from_op(op: &ShardOp) -> Option<Self> {
        match op {
            ShardOp::Carry(claim) => Some(Self::Claim(IntentWire::from(claim))),
            ShardOp::CarryClose { key, claim, record } => {
                Some(Self::Close(CloseWire::from((key, *claim, record))))
            }
            _ => None,
        }
    }
}

impl From<LinkOpWire> for ShardOp {
    fn from(wire: LinkOpWire) -> Self {
        match wire {
            LinkOpWire::Claim(claim) => Self::Carry(ClaimEntry::from(claim)),
            LinkOpWire::Close(close) => {
                let (key, claim, record) = close.into();
                Self::CarryClose { key, claim, record }
            }
        }
    }
}

impl LinkRequest {
    /// Returns the request's form between daemons.
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

    /// Reads a request.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Malformed`] when the message is not one, or too large.
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
    /// Returns the reply's form between daemons.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(&ReplyWire(
            LINK_VERSION,
            self.version.0,
            self.outcomes.clone(),
        ))
    }

    /// Reads the reply to a request of `ops` operations.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Malformed`] when the message is not one.
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
    ciborium::into_writer(wire, &mut message).expect("a message's fields have a CBOR form");
    message
}
