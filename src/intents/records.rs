//! Records of non-repeatable requests, and their keys.

use std::fmt;

use sha2::{Digest, Sha256};
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

use crate::names::{RequestKey, TargetId, UnixTime, WorkspaceName};

/// Maximum length of a key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Identity of a non-repeatable request.
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
    /// The creation time is not hashed: a key that is reused with another time must map to
    /// the shard of its first record.
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
/// Competing workspaces share a shard, so the hash has to be cryptographic: nobody may be
/// able to construct a key that collides with an entry of another workspace.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct EntryId(pub [u8; 16]);

/// Identifies a claim uniquely among the claims of all processes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ClaimId {
    /// Random number that each process chooses when it starts.
    pub process: u64,
    /// Sequence number of the claim in its process.
    pub number: u64,
}

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.process, self.number)
    }
}

/// Summary of the complete answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerRecord {
    /// Length of the complete answer in bytes.
    pub length: u64,
    /// SHA-256 of the complete answer.
    pub digest: [u8; 32],
    /// The answer, if it is small enough to store.
    pub result: Option<Vec<u8>>,
}

/// State of a non-repeatable request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IntentState {
    /// Claimed for dispatch; whether it ran is not known.
    Intended {
        /// Daemon that claimed it.
        claimant: String,
        /// Target chosen.
        target: TargetId,
    },
    /// Closed without running; final.
    NotRun,
    /// Ran and answered; final.
    Answered(AnswerRecord),
    /// Dispatched; the outcome is unknown.
    Unknown,
}

/// One recorded request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IntentEntry {
    /// Claim that wrote it.
    pub claim: ClaimId,
    /// Digest of class and body; `None` if the key was settled before it was claimed.
    pub fingerprint: Option<[u8; 16]>,
    /// When the caller made the key.
    pub minted_at: UnixTime,
    /// State of the request.
    pub state: IntentState,
}

/// What is recorded for a key, as callers see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordView {
    /// Nothing is recorded; the key is unused.
    Absent,
    /// Claimed for dispatch; whether it ran is not known yet.
    Intended {
        /// Daemon that claimed it.
        claimant: String,
        /// Target chosen.
        target: TargetId,
    },
    /// Closed without running; final.
    NotRun,
    /// Ran and answered; final.
    Answered {
        /// Length of the complete answer in bytes.
        length: u64,
        /// SHA-256 of the complete answer.
        digest: Vec<u8>,
        /// The answer, if it is small enough to store.
        result: Option<Vec<u8>>,
    },
    /// Dispatched; the outcome is unknown.
    Unknown,
}

impl RecordView {
    /// Returns whether the record can never change again.
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
pub enum KeyError {
    /// The key's record may have expired.
    #[error(
        "the key is older than intents.retention_ms, so its record may have expired; find out \
         whether the first request ran, then use a new key"
    )]
    Expired,
    /// The key's creation time lies in the future.
    #[error(
        "key_minted_at_ms lies in the future; correct the caller's clock and send the time \
         at which the key was created"
    )]
    Future,
    /// The key was recorded with another creation time.
    #[error(
        "the key was used before with another key_minted_at_ms; send the time at which the key \
         was created, or use a new key"
    )]
    Reused,
    /// The key was recorded with another class or body.
    #[error("the key was used before for another class or body; use a new key")]
    OtherContent,
    /// The key is empty or too long.
    #[error("a key must have 1 to {MAX_KEY_BYTES} bytes; use a key of that length")]
    Length,
}

/// A claim of a key, to be applied to a ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimEntry {
    /// Identity of the request.
    pub key: IntentKey,
    /// Identity of the claim.
    pub claim: ClaimId,
    /// Digest of class and body.
    pub fingerprint: [u8; 16],
    /// Daemon that makes the claim.
    pub claimant: String,
    /// Target chosen.
    pub target: TargetId,
}

/// The outcome with which a claimant closes its entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CloseRecord {
    /// It was never dispatched, or the target certainly did not accept it.
    NotRun,
    /// It ran and was answered.
    Answered(AnswerRecord),
    /// It was dispatched; the outcome is unknown.
    Unknown,
}
