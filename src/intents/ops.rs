//! Operations on a shard of intents, and what applying them comes to.

use std::time::Duration;

use crate::intents::wire::decode_ledger;
use crate::intents::{
    ClaimEntry, ClaimId, ClaimStep, CloseRecord, CloseStep, IntentKey, KeyFault, LedgerLimits,
    RecordView, SettleStep, ShardLedger,
};
use crate::invariants::{self, Invariant};
use crate::names::{MonoTime, UnixTime};
use crate::ports::{ObjectVersion, StoredObject};

/// Wait before a full shard is asked again.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// Both clocks at the moment of an event.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WriterTime {
    /// Monotonic clock, for waits.
    pub mono: MonoTime,
    /// Wall clock, for the age of keys.
    pub unix: UnixTime,
}

/// Numbers the operations of one writer.
pub type OpNumber = u64;

/// An operation on a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShardOp {
    /// Records another daemon's claim for it; whether it is granted is that daemon's to say.
    Carry(ClaimEntry),
    /// Closes another daemon's granted claim for it.
    CarryClose {
        /// Identity of the request.
        key: IntentKey,
        /// Claim that was granted.
        claim: ClaimId,
        /// How it ended.
        record: CloseRecord,
    },
    /// Records a claim.
    Claim(ClaimEntry),
    /// Closes a granted claim; has no result.
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
    /// Closes an open key as not run.
    Settle {
        /// Identity of the request.
        key: IntentKey,
        /// Identity of the settlement.
        claim: ClaimId,
    },
    /// Closes an abandoned claim as not run, if it ever arrives; has no result.
    Release {
        /// Identity of the request.
        key: IntentKey,
        /// Claim that was abandoned.
        claim: ClaimId,
    },
    /// Closes an abandoned claim that another daemon may record at any time, and closes
    /// its key where it isn't recorded yet; has no result.
    Void {
        /// Identity of the request.
        key: IntentKey,
        /// Claim that was abandoned.
        claim: ClaimId,
    },
}

impl ShardOp {
    /// Tells whether somebody waits for a result.
    pub(crate) fn has_result(&self) -> bool {
        match self {
            Self::Carry(_)
            | Self::CarryClose { .. }
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
    /// The close is recorded, or its key is too old to matter.
    Closed,
    /// The claim is recorded; its claimant may dispatch once.
    Granted,
    /// The key is recorded so, or absent where that was asked.
    Record(RecordView),
    /// The key is not acceptable.
    Invalid(KeyFault),
    /// Nothing was decided.
    GivenUp {
        /// Why.
        reason: String,
        /// When to come back.
        retry_after: Duration,
        /// Whether the operation is certain to have no effect later.
        untouched: bool,
    },
}

/// What the driver does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriterAction {
    /// Reads the shard's object.
    Read,
    /// Writes the shard's object.
    Write {
        /// Version it must have.
        expected: ObjectVersion,
        /// New value.
        value: Vec<u8>,
    },
    /// Hands a result to whoever waits for it.
    Reply {
        /// Operation.
        number: OpNumber,
        /// Its result.
        result: OpResult,
    },
}

/// How a writer works.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WriterRules {
    /// Bounds of the ledger.
    pub limits: LedgerLimits,
    /// Shortest time between two writes.
    pub commit: Duration,
    /// Seed of the waits after conflicts.
    pub seed: u64,
}

/// What applying an operation came to.
pub(crate) enum OpStep {
    /// Decided by the copy at hand, once a write before it is confirmed.
    Decided(Option<OpResult>),
    /// Decided, but for a copy from after the operation's submission.
    Stale(Option<OpResult>),
    /// Decided once the platform confirms the write.
    Changed(Option<OpResult>),
}

pub(crate) fn view_result(view: Result<RecordView, KeyFault>) -> OpResult {
    match view {
        Ok(view) => OpResult::Record(view),
        Err(fault) => OpResult::Invalid(fault),
    }
}

/// Lets a record that may still change be answered only from a copy that was read
/// after the question; an older one would show a request as open that ended long ago.
fn decide(result: OpResult, fresh: bool) -> OpStep {
    let lasting = match &result {
        OpResult::Record(view) => view.is_final(),
        OpResult::GivenUp { .. } => false,
        OpResult::Closed | OpResult::Granted | OpResult::Invalid(_) => true,
    };
    if lasting || fresh {
        OpStep::Decided(Some(result))
    } else {
        OpStep::Stale(Some(result))
    }
}

fn full_result() -> OpResult {
    OpResult::GivenUp {
        reason: "the shard of the key is full; wait for older keys to expire, or raise \
                 intents.shards"
            .to_owned(),
        retry_after: FULL_RETRY,
        untouched: false,
    }
}

fn claim_step(step: ClaimStep, fresh: bool) -> OpStep {
    match step {
        ClaimStep::Added => OpStep::Changed(Some(OpResult::Granted)),
        ClaimStep::Owned => decide(OpResult::Granted, fresh),
        ClaimStep::Present(view) => decide(OpResult::Record(view), fresh),
        ClaimStep::Invalid(fault) => decide(OpResult::Invalid(fault), fresh),
        ClaimStep::Full => decide(full_result(), fresh),
    }
}

fn settle_step(step: SettleStep, fresh: bool) -> OpStep {
    match step {
        SettleStep::Added => OpStep::Changed(Some(OpResult::Record(RecordView::NotRun))),
        SettleStep::Present(view) => decide(OpResult::Record(view), fresh),
        SettleStep::Invalid(fault) => decide(OpResult::Invalid(fault), fresh),
        SettleStep::Full => decide(full_result(), fresh),
    }
}

fn close_step(step: CloseStep, result: Option<OpResult>) -> OpStep {
    match step {
        CloseStep::Changed => OpStep::Changed(result),
        CloseStep::Unchanged | CloseStep::Missing => OpStep::Decided(result),
    }
}

/// The shard as the platform has it.
#[derive(Debug)]
pub(crate) struct ShardCopy {
    pub(crate) version: ObjectVersion,
    pub(crate) ledger: ShardLedger,
    /// Operations below this number were submitted before the copy was current.
    pub(crate) as_of: OpNumber,
}

/// Applies an operation to the copy.
///
/// `fresh` tells whether the copy is from after the operation's submission, `lost_at`
/// the newest version that a write with a lost answer expected.
pub(crate) fn apply_op(
    op: &ShardOp,
    copy: &mut ShardCopy,
    fresh: bool,
    lost_at: Option<ObjectVersion>,
    limits: &LedgerLimits,
    now: UnixTime,
) -> OpStep {
    let ledger = &mut copy.ledger;
    match op {
        ShardOp::Carry(claim) | ShardOp::Claim(claim) => {
            claim_step(ledger.claim(claim, limits, now), fresh)
        }
        ShardOp::Settle { key, claim } => {
            settle_step(ledger.settle(key, *claim, limits, now), fresh)
        }
        ShardOp::Lookup(key) => decide(view_result(ledger.view(key, limits, now)), fresh),
        ShardOp::Close { key, claim, record } => {
            close_step(close_granted(ledger, key, *claim, record, limits), None)
        }
        ShardOp::CarryClose { key, claim, record } => {
            let step = close_granted(ledger, key, *claim, record, limits);
            close_step(step, Some(OpResult::Closed))
        }
        ShardOp::Release { key, claim } => {
            let step = ledger.close(key.entry_id(), *claim, &CloseRecord::NotRun, limits);
            release_step(step, copy.version, lost_at)
        }
        ShardOp::Void { key, claim } => close_step(ledger.void(key, *claim, limits), None),
    }
}

/// Closes a granted claim and asserts that it was in its shard, unless its key is too old.
fn close_granted(
    ledger: &mut ShardLedger,
    key: &IntentKey,
    claim: ClaimId,
    record: &CloseRecord,
    limits: &LedgerLimits,
) -> CloseStep {
    let step = ledger.close(key.entry_id(), claim, record, limits);
    let lost = step == CloseStep::Missing && key.minted_at > ledger.horizon();
    invariants::check(!lost, Invariant::AtMostOnce, || {
        format!("granted claim {claim} is gone from its shard before its key expired")
    });
    step
}

/// Concludes nothing from the claim's absence while the shard stands at a version
/// that a lost write expected: that write may take effect after the read. Writing
/// the shard again settles it, as whichever write comes first refuses the other.
fn release_step(step: CloseStep, version: ObjectVersion, lost_at: Option<ObjectVersion>) -> OpStep {
    match step {
        CloseStep::Missing if lost_at >= Some(version) => OpStep::Changed(None),
        step => close_step(step, None),
    }
}

/// A shard that was deleted has lost its records: taking it for empty would let
/// every recorded request run again.
pub(crate) fn read_ledger(found: Option<StoredObject>) -> Result<ShardLedger, String> {
    let Some(object) = found else {
        return Ok(ShardLedger::default());
    };
    let value = object.value.ok_or_else(|| {
        format!(
            "the object {}/{} was deleted; restore it",
            object.object.kind, object.object.name
        )
    })?;
    decode_ledger(&value).map_err(|error| error.to_string())
}
