//! Operations on a shard of intents, and how they are applied.

use std::time::Duration;

use crate::intents::wire::decode_ledger;
use crate::intents::{
    ClaimEntry, ClaimId, ClaimOutcome, CloseOutcome, CloseRecord, IntentKey, KeyError,
    LedgerLimits, RecordView, SettleOutcome, ShardLedger,
};
use crate::invariants::{self, Invariant};
use crate::names::{MonoTime, UnixTime};
use crate::ports::{ObjectVersion, StoredObject};

/// Time after which callers should retry an operation on a full shard.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// Readings of both clocks for an event.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WriterTime {
    /// Monotonic clock, used for waits.
    pub mono: MonoTime,
    /// Wall clock, used for the age of keys.
    pub unix: UnixTime,
}

/// Sequence number of an operation in one writer.
pub type OpNumber = u64;

/// An operation on a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShardOp {
    /// Records a claim on behalf of another daemon, which alone decides whether it is granted.
    ForwardedClaim(ClaimEntry),
    /// Closes a granted claim on behalf of another daemon.
    ForwardedClose {
        /// Identity of the request.
        key: IntentKey,
        /// Claim that was granted.
        claim: ClaimId,
        /// How it ended.
        record: CloseRecord,
    },
    /// Records a claim.
    Claim(ClaimEntry),
    /// Closes a granted claim; returns no result.
    Close {
        /// Identity of the request.
        key: IntentKey,
        /// Claim that was granted.
        claim: ClaimId,
        /// How it ended.
        record: CloseRecord,
    },
    /// Reads a record.
    Lookup(IntentKey),
    /// Closes an unused key as not run.
    Settle {
        /// Identity of the request.
        key: IntentKey,
        /// Identity of the settlement.
        claim: ClaimId,
    },
    /// Closes an abandoned claim as not run if its write takes effect after all; returns no
    /// result.
    Release {
        /// Identity of the request.
        key: IntentKey,
        /// Claim that was abandoned.
        claim: ClaimId,
    },
    /// Closes an abandoned claim that another daemon may record at any time, or closes its
    /// key if the claim is not recorded yet; returns no result.
    Void {
        /// Identity of the request.
        key: IntentKey,
        /// Claim that was abandoned.
        claim: ClaimId,
    },
}

impl ShardOp {
    /// Returns whether a caller waits for a result.
    pub(crate) fn has_result(&self) -> bool {
        match self {
            Self::ForwardedClaim(_)
            | Self::ForwardedClose { .. }
            | Self::Claim(_)
            | Self::Lookup(_)
            | Self::Settle { .. } => true,
            Self::Close { .. } | Self::Release { .. } | Self::Void { .. } => false,
        }
    }
}

/// Result of an operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OpResult {
    /// The close is recorded, or its key has expired.
    Closed,
    /// The claim is recorded; its claimant may dispatch the request once.
    Granted,
    /// What is recorded for the key; absent only as the result of a lookup.
    Record(RecordView),
    /// The key is not acceptable.
    Invalid(KeyError),
    /// The operation ended undecided.
    GivenUp {
        /// Why.
        reason: String,
        /// When to retry.
        retry_after: Duration,
        /// Whether the operation certainly has no effect, now or later.
        no_effect: bool,
    },
}

/// An action for the driver to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriterAction {
    /// Reads the shard's object.
    Read,
    /// Writes the shard's object.
    Write {
        /// Version that the object must have.
        expected: ObjectVersion,
        /// New value.
        value: Vec<u8>,
    },
    /// Sends a result to the caller that waits for it.
    Reply {
        /// Operation.
        number: OpNumber,
        /// Its result.
        result: OpResult,
    },
}

/// Configuration of a writer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WriterRules {
    /// Limits of the ledger.
    pub limits: LedgerLimits,
    /// Minimum time between two writes.
    pub commit: Duration,
    /// Seed for the random waits after conflicts.
    pub seed: u64,
}

/// Outcome of applying an operation to the local copy of the shard.
pub(crate) enum OpOutcome {
    /// Decided by the copy. If the copy has changes that the platform has not confirmed, the
    /// result is sent only once their write is confirmed.
    Decided(Option<OpResult>),
    /// This would be the result, but the copy is older than the operation: first the shard
    /// must be read again, or a write of the copy confirmed.
    Stale(Option<OpResult>),
    /// Decided once the platform confirms the write.
    Changed(Option<OpResult>),
}

pub(crate) fn view_result(view: Result<RecordView, KeyError>) -> OpResult {
    match view {
        Ok(view) => OpResult::Record(view),
        Err(error) => OpResult::Invalid(error),
    }
}

/// Requires a copy that was read after the operation was submitted, unless the result is
/// final. An older copy could show a request as unfinished that ended long ago.
fn decide(result: OpResult, fresh: bool) -> OpOutcome {
    let is_final = match &result {
        OpResult::Record(view) => view.is_final(),
        OpResult::GivenUp { .. } => false,
        OpResult::Closed | OpResult::Granted | OpResult::Invalid(_) => true,
    };
    if is_final || fresh {
        OpOutcome::Decided(Some(result))
    } else {
        OpOutcome::Stale(Some(result))
    }
}

fn full_result() -> OpResult {
    OpResult::GivenUp {
        reason: "the shard that records the key is full; wait for older keys to expire, or raise \
                 intents.shards"
            .to_owned(),
        retry_after: FULL_RETRY,
        no_effect: false,
    }
}

fn claim_outcome(outcome: ClaimOutcome, fresh: bool) -> OpOutcome {
    match outcome {
        ClaimOutcome::Added => OpOutcome::Changed(Some(OpResult::Granted)),
        ClaimOutcome::Owned => decide(OpResult::Granted, fresh),
        ClaimOutcome::Present(view) => decide(OpResult::Record(view), fresh),
        ClaimOutcome::Invalid(error) => decide(OpResult::Invalid(error), fresh),
        ClaimOutcome::Full => decide(full_result(), fresh),
    }
}

fn settle_outcome(outcome: SettleOutcome, fresh: bool) -> OpOutcome {
    match outcome {
        SettleOutcome::Added => OpOutcome::Changed(Some(OpResult::Record(RecordView::NotRun))),
        SettleOutcome::Present(view) => decide(OpResult::Record(view), fresh),
        SettleOutcome::Invalid(error) => decide(OpResult::Invalid(error), fresh),
        SettleOutcome::Full => decide(full_result(), fresh),
    }
}

fn close_outcome(outcome: CloseOutcome, result: Option<OpResult>) -> OpOutcome {
    match outcome {
        CloseOutcome::Changed => OpOutcome::Changed(result),
        CloseOutcome::Unchanged | CloseOutcome::Missing => OpOutcome::Decided(result),
    }
}

/// Local copy of the shard.
#[derive(Debug)]
pub(crate) struct ShardCopy {
    pub(crate) version: ObjectVersion,
    pub(crate) ledger: ShardLedger,
    /// Operations with a lower number were submitted before the copy was read or written.
    pub(crate) as_of: OpNumber,
}

/// Applies an operation to the copy.
///
/// `fresh` says whether the copy was read after the operation was submitted.
/// `lost_write_version` is the newest expected version of a write whose response was lost.
pub(crate) fn apply_op(
    op: &ShardOp,
    copy: &mut ShardCopy,
    fresh: bool,
    lost_write_version: Option<ObjectVersion>,
    limits: &LedgerLimits,
    now: UnixTime,
) -> OpOutcome {
    let ledger = &mut copy.ledger;
    match op {
        ShardOp::ForwardedClaim(claim) | ShardOp::Claim(claim) => {
            claim_outcome(ledger.claim(claim, limits, now), fresh)
        }
        ShardOp::Settle { key, claim } => {
            settle_outcome(ledger.settle(key, *claim, limits, now), fresh)
        }
        ShardOp::Lookup(key) => decide(view_result(ledger.view(key, limits, now)), fresh),
        ShardOp::Close { key, claim, record } => {
            close_outcome(close_granted(ledger, key, *claim, record, limits), None)
        }
        ShardOp::ForwardedClose { key, claim, record } => {
            let outcome = close_granted(ledger, key, *claim, record, limits);
            close_outcome(outcome, Some(OpResult::Closed))
        }
        ShardOp::Release { key, claim } => {
            let outcome = ledger.close(key.entry_id(), *claim, &CloseRecord::NotRun, limits);
            release_outcome(outcome, copy.version, lost_write_version)
        }
        ShardOp::Void { key, claim } => close_outcome(ledger.void(key, *claim, limits), None),
    }
}

/// Closes a granted claim and asserts that it is in its shard, unless its key has expired.
fn close_granted(
    ledger: &mut ShardLedger,
    key: &IntentKey,
    claim: ClaimId,
    record: &CloseRecord,
    limits: &LedgerLimits,
) -> CloseOutcome {
    let outcome = ledger.close(key.entry_id(), claim, record, limits);
    let is_lost = outcome == CloseOutcome::Missing && key.minted_at > ledger.horizon();
    invariants::check(!is_lost, Invariant::AtMostOnce, || {
        format!("granted claim {claim} is missing from its shard although its key has not expired")
    });
    outcome
}

/// Returns the outcome of releasing an abandoned claim.
///
/// That the claim is missing proves nothing while the shard still has the version that a
/// write with a lost response expected: that write may take effect after the read. Writing
/// the shard again resolves this, as only one of two writes with the same expected version
/// succeeds.
fn release_outcome(
    outcome: CloseOutcome,
    version: ObjectVersion,
    lost_write_version: Option<ObjectVersion>,
) -> OpOutcome {
    match outcome {
        CloseOutcome::Missing if lost_write_version >= Some(version) => OpOutcome::Changed(None),
        outcome => close_outcome(outcome, None),
    }
}

/// Decodes the ledger of a shard. A deleted shard is an error: treating it as empty would
/// let every recorded request run again.
pub(crate) fn read_ledger(found: Option<StoredObject>) -> Result<ShardLedger, String> {
    let Some(object) = found else {
        return Ok(ShardLedger::default());
    };
    let value = object.value.ok_or_else(|| {
        format!(
            "the platform object {}/{} was deleted; restore it",
            object.object.kind, object.object.name
        )
    })?;
    decode_ledger(&value).map_err(|error| error.to_string())
}
