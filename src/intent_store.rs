//! Runs the ledger of requests that may not be repeated against the platform.

use std::time::Duration;

use crate::names::{RequestKey, TargetId, UnixTime, WorkspaceName};

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

/// Proof that this daemon, and no other, may dispatch once.
///
/// Cannot be copied: it is given up with the dispatch.
#[derive(Debug, Eq, PartialEq)]
pub struct DispatchPermit {
    /// Identity of the request.
    pub key: IntentKey,
    /// Claim recorded in the platform.
    pub claim: String,
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

/// Result of a claim.
#[derive(Debug, Eq, PartialEq)]
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
        key_may_exist: bool,
    },
    /// The key or its content is not acceptable.
    Invalid {
        /// What to correct.
        reason: String,
    },
}
