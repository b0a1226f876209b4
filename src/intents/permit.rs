//! Types for the stages of a granted claim; each offers only what is allowed in its stage.
//!
//! A permit becomes a dispatched claim, which is then closed with an outcome. None of the
//! types can be copied. A value that is dropped, for example because the caller's task was
//! cancelled, records the correct outcome: "not run" before the dispatch, "unknown" after it.

use std::fmt;

use crate::intents::{AnswerRecord, ClaimId, CloseRecord, IntentKey};
use crate::ports::TargetError;

/// Records the outcome of a claim; never blocks.
pub(crate) type ClaimCloser = Box<dyn Fn(&IntentKey, ClaimId, CloseRecord) + Send + Sync>;

/// A claim whose outcome is recorded at the latest when the handle is dropped.
struct ClaimHandle {
    key: IntentKey,
    claim: ClaimId,
    closer: ClaimCloser,
    at_drop: Option<CloseRecord>,
}

impl ClaimHandle {
    fn close(&mut self, record: CloseRecord) {
        self.at_drop = None;
        (self.closer)(&self.key, self.claim, record);
    }
}

impl Drop for ClaimHandle {
    fn drop(&mut self) {
        if let Some(record) = self.at_drop.take() {
            self.close(record);
        }
    }
}

impl fmt::Debug for ClaimHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClaimHandle")
            .field("key", &self.key)
            .field("claim", &self.claim)
            .finish_non_exhaustive()
    }
}

/// Proof that this daemon, and no other, may dispatch the request once.
#[derive(Debug)]
pub struct DispatchPermit {
    handle: ClaimHandle,
}

impl DispatchPermit {
    pub(crate) fn new(key: IntentKey, claim: ClaimId, closer: ClaimCloser) -> Self {
        Self {
            handle: ClaimHandle {
                key,
                claim,
                closer,
                at_drop: Some(CloseRecord::NotRun),
            },
        }
    }

    /// Returns the identity of the request.
    #[must_use]
    pub fn key(&self) -> &IntentKey {
        &self.handle.key
    }

    /// Returns the claim recorded in the platform.
    #[must_use]
    pub fn claim(&self) -> ClaimId {
        self.handle.claim
    }

    /// Uses the permit for one dispatch; called right before the call to the target.
    #[must_use]
    pub fn dispatch(mut self) -> DispatchedClaim {
        self.handle.at_drop = Some(CloseRecord::Unknown);
        DispatchedClaim {
            handle: self.handle,
        }
    }

    /// Records that the request was not run and will never run under this key.
    pub fn release(mut self) {
        self.handle.close(CloseRecord::NotRun);
    }
}

/// Proof that a call had no effect: the target was not reached, or refused it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UndeliveredProof(());

impl UndeliveredProof {
    /// Returns a proof if the error implies that the call had no effect.
    #[must_use]
    pub fn from_error(error: &TargetError) -> Option<Self> {
        match error {
            TargetError::NotDelivered { .. } | TargetError::Refused { .. } => Some(Self(())),
            TargetError::Fenced { .. }
            | TargetError::NoStream
            | TargetError::Silent { .. }
            | TargetError::Lost { .. } => None,
        }
    }
}

/// A claim that was dispatched once.
#[derive(Debug)]
pub struct DispatchedClaim {
    handle: ClaimHandle,
}

impl DispatchedClaim {
    /// Returns the identity of the request.
    #[must_use]
    pub fn key(&self) -> &IntentKey {
        &self.handle.key
    }

    /// Records the complete answer.
    pub fn answered(mut self, answer: AnswerRecord) {
        self.handle.close(CloseRecord::Answered(answer));
    }

    /// Records that the call had no effect and that the request will never run under this key.
    pub fn not_run(mut self, _proof: UndeliveredProof) {
        self.handle.close(CloseRecord::NotRun);
    }

    /// Returns the permit after a call that had no effect, so that the request can be sent
    /// to another target.
    ///
    /// The record keeps naming the first target. A daemon that looks for the stream there
    /// finds none and correctly answers that the outcome is unknown.
    #[must_use]
    pub fn withdraw(mut self, _proof: UndeliveredProof) -> DispatchPermit {
        self.handle.at_drop = Some(CloseRecord::NotRun);
        DispatchPermit {
            handle: self.handle,
        }
    }

    /// Records that the outcome is unknown, and keeps the right to record an answer that
    /// arrives later.
    #[must_use = "the answer may still arrive; drop the late claim when it cannot"]
    pub fn unknown(mut self) -> LateClaim {
        self.handle.close(CloseRecord::Unknown);
        LateClaim {
            handle: self.handle,
        }
    }
}

/// A dispatched claim whose outcome was recorded as unknown.
#[derive(Debug)]
pub struct LateClaim {
    handle: ClaimHandle,
}

impl LateClaim {
    /// Records the complete answer.
    pub fn answered(mut self, answer: AnswerRecord) {
        self.handle.close(CloseRecord::Answered(answer));
    }
}
