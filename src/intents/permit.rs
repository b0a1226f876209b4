//! Tokens of a granted claim: what may be done with it is what its type lets be done.
//!
//! A permit becomes a dispatched claim, and that becomes an end. None can be
//! copied. One that is dropped, with its caller's task for example, records the
//! end that is true of it: "not run" before the dispatch, "unknown" after.

use std::fmt;

use crate::intents::{AnswerRecord, ClaimId, CloseRecord, IntentKey};
use crate::ports::TargetError;

/// Takes the end of a claim; never waits.
pub(crate) type ClaimCloser = Box<dyn Fn(&IntentKey, ClaimId, CloseRecord) + Send + Sync>;

/// A claim whose end is recorded when it is dropped, at the latest.
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

/// Proof that this daemon, and no other, may dispatch once.
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

    /// Gives the permit up for one dispatch; called right before the call to the target.
    #[must_use]
    pub fn dispatch(mut self) -> DispatchedClaim {
        self.handle.at_drop = Some(CloseRecord::Unknown);
        DispatchedClaim {
            handle: self.handle,
        }
    }

    /// Records that the request was not run and never will be under this key.
    pub fn release(mut self) {
        self.handle.close(CloseRecord::NotRun);
    }
}

/// Proof that a call had no effect: the target was not reached, or refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UndeliveredProof(());

impl UndeliveredProof {
    /// Returns the proof when the error is one.
    #[must_use]
    pub fn from_error(error: &TargetError) -> Option<Self> {
        match error {
            TargetError::NotDelivered { .. } | TargetError::Refused { .. } => Some(Self(())),
            TargetError::Fenced { .. } | TargetError::NoStream | TargetError::Lost { .. } => None,
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

    /// Records the whole answer.
    pub fn answered(mut self, answer: AnswerRecord) {
        self.handle.close(CloseRecord::Answered(answer));
    }

    /// Records that the call had no effect and is not made again under this key.
    pub fn not_run(mut self, _proof: UndeliveredProof) {
        self.handle.close(CloseRecord::NotRun);
    }

    /// Returns the permit, for a call that had no effect: the next goes elsewhere.
    ///
    /// The record goes on naming the first target. Whoever looks for the stream
    /// there finds none and answers that the outcome is unknown, which is true.
    #[must_use]
    pub fn withdraw(mut self, _proof: UndeliveredProof) -> DispatchPermit {
        self.handle.at_drop = Some(CloseRecord::NotRun);
        DispatchPermit {
            handle: self.handle,
        }
    }

    /// Records that the end was lost, and keeps the right to record an answer that
    /// comes after all.
    #[must_use = "the answer may come after all; drop the late claim when it cannot"]
    pub fn unknown(mut self) -> LateClaim {
        self.handle.close(CloseRecord::Unknown);
        LateClaim {
            handle: self.handle,
        }
    }
}

/// A dispatched claim whose end was recorded as unknown.
#[derive(Debug)]
pub struct LateClaim {
    handle: ClaimHandle,
}

impl LateClaim {
    /// Records the whole answer.
    pub fn answered(mut self, answer: AnswerRecord) {
        self.handle.close(CloseRecord::Answered(answer));
    }
}
