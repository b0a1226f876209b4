//! What is recorded of requests that may not be repeated, and of their keys.

use std::fmt;

use sha2::{Digest, Sha256};
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

use crate::names::{RequestKey, TargetId, UnixTime, WorkspaceName};

/// Longest key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Identity of a request that may not be repeated.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct IntentKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Key chosen by the caller.
    pub key: RequestKey,
    /// When the caller made the key.
    pub minted_at: UnixTime,
}

impl IntentKey {
    /// Returns the shard that records the key.
    ///
    /// The time of minting takes no part: a key used twice with two times must meet
    /// its first record.
    #[must_use]
    pub fn shard(&self, shards: u32) -> u32 {
        let mut hash = Xxh3::new();
        hash.update(self.workspace.as_str().as_bytes());
        hash.update(&[0]);
        hash.update(self.key.as_str().as_bytes());
        let shard = hash.digest() % u64::from(shards.max(1));
        u32::try_from(shard).unwrap_or_default()
    }

    /// Returns the identity under which the key is recorded.
    #[must_use]
    pub fn entry_id(&self) -> EntryId {
        let workspace = self.workspace.as_str().as_bytes();
        let mut hash = Sha256::new();
        hash.update((workspace.len() as u64).to_le_bytes());
        hash.update(workspace);
        hash.update(self.key.as_str().as_bytes());
        let mut id = [0; 16];
        id.copy_from_slice(&hash.finalize()[..16]);
        EntryId(id)
    }
}

/// First half of the SHA-256 of workspace and key.
///
/// Rivals share a shard, so the hash must be one for which nobody can make up a
/// second key of somebody else's entry.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct EntryId(pub [u8; 16]);

/// Identifies one claim among all that any process ever makes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ClaimId {
    /// Drawn at random by each process at its start.
    pub process: u64,
    /// Counts the process's claims.
    pub number: u64,
}

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.process, self.number)
    }
}

/// The whole answer to a request, or what is kept of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerRecord {
    /// Length of the whole answer.
    pub length: u64,
    /// SHA-256 of the whole answer.
    pub digest: [u8; 32],
    /// The answer, when small enough to keep.
    pub result: Option<Vec<u8>>,
}

/// How far a request has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IntentState {
    /// Recorded for dispatch; whether it ran is not known.
    Intended {
        /// Daemon that claimed it.
        claimant: String,
        /// Target chosen.
        target: TargetId,
    },
    /// Closed without running, for good.
    NotRun,
    /// Ran and answered, for good.
    Answered(AnswerRecord),
    /// Dispatched, and its end was lost.
    Unknown,
}

/// One recorded request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IntentEntry {
    /// Claim that wrote it.
    pub claim: ClaimId,
    /// Digest of class and body; `None` when somebody settled the key unclaimed.
    pub fingerprint: Option<[u8; 16]>,
    /// When the caller made the key.
    pub minted_at: UnixTime,
    /// How far it has come.
    pub state: IntentState,
}

/// What is recorded of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordView {
    /// Nothing recorded; the key is open.
    Absent,
    /// Recorded for dispatch by a claimant; whether it ran is not known.
    Intended {
        /// Daemon that claimed it.
        claimant: String,
        /// Target chosen.
        target: TargetId,
    },
    /// Closed without running, for good.
    NotRun,
    /// Ran and answered.
    Answered {
        /// Length of the whole answer.
        length: u64,
        /// SHA-256 of the whole answer.
        digest: Vec<u8>,
        /// The answer, when small enough to keep.
        result: Option<Vec<u8>>,
    },
    /// Dispatched, and its end was lost.
    Unknown,
}

impl RecordView {
    /// Tells whether the record can never change again.
    #[must_use]
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Answered { .. } | Self::NotRun)
    }
}

impl From<&IntentState> for RecordView {
    fn from(state: &IntentState) -> Self {
        match state {
            IntentState::Intended { claimant, target } => Self::Intended {
                claimant: claimant.clone(),
                target: target.clone(),
            },
            IntentState::NotRun => Self::NotRun,
            IntentState::Answered(answer) => Self::Answered {
                length: answer.length,
                digest: answer.digest.to_vec(),
                result: answer.result.clone(),
            },
            IntentState::Unknown => Self::Unknown,
        }
    }
}

/// Why a key is not acceptable.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum KeyFault {
    /// The key's record may have expired.
    #[error(
        "the key is older than intents.retention_ms, so its record may be gone; find out \
         whether the first request ran, then use a new key"
    )]
    Expired,
    /// The key comes from the future.
    #[error(
        "key_minted_at_ms lies in the future; correct the caller's clock and send the time \
         at which the key was made"
    )]
    Future,
    /// The key was recorded with another time.
    #[error(
        "the key was used before with another key_minted_at_ms; send the time at which the key \
         was made, or use a new key"
    )]
    Reused,
    /// The key was recorded with another content.
    #[error("the key was used before for another class or body; use a new key")]
    OtherContent,
    /// The key is empty or too long.
    #[error("a key has 1 to {MAX_KEY_BYTES} bytes; use a shorter one, not empty")]
    Length,
}

/// A claim as it is applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimEntry {
    /// Identity of the request.
    pub key: IntentKey,
    /// Identity of the claim.
    pub claim: ClaimId,
    /// Digest of class and body.
    pub fingerprint: [u8; 16],
    /// Daemon that claims.
    pub claimant: String,
    /// Target chosen.
    pub target: TargetId,
}

/// How a claimant closes its own entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CloseRecord {
    /// It was never dispatched, or certainly not taken.
    NotRun,
    /// It ran and was answered.
    Answered(AnswerRecord),
    /// It was dispatched and its end was lost.
    Unknown,
}
