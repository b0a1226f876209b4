//! Commits the operations on one shard in groups: a pure state machine between
//! the operations and the platform's conditional update.
//!
//! At most one call to the platform is under way. Operations that arrive meanwhile
//! join the next write. Whatever goes wrong with a write, the writer reads the shard
//! again and applies every open operation anew; only a write that the platform
//! confirmed, or a copy read from it, decides an operation.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::intent_wire::{decode_ledger, encode_ledger};
use crate::intents::{
    ClaimEntry, ClaimId, ClaimStep, CloseRecord, CloseStep, IntentKey, KeyFault, LedgerLimits,
    RecordView, SettleStep, ShardLedger,
};
use crate::invariants::{self, Invariant};
use crate::names::{MonoTime, UnixTime};
use crate::ports::{ObjectVersion, PlatformError, StoredObject};

/// Operations that may wait for one shard.
const MAX_OPEN_OPS: usize = 16_384;

/// Calls in a row without an answer after which the platform counts as down.
const LOST_CALLS: u32 = 3;

/// Wait after a failure that names none.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// Wait before a read is repeated that was lost or older than a state seen before.
const READ_RETRY: Duration = Duration::from_millis(10);

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
}

impl ShardOp {
    /// Tells whether somebody waits for a result.
    fn has_result(&self) -> bool {
        matches!(self, Self::Claim(_) | Self::Lookup(_) | Self::Settle { .. })
    }
}

/// Result of an operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OpResult {
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

#[derive(Debug)]
struct OpenOp {
    op: ShardOp,
    /// Whether a write that holds it was ever sent.
    sent: bool,
}

/// The shard as the platform has it.
#[derive(Debug)]
struct ShardCopy {
    version: ObjectVersion,
    ledger: ShardLedger,
    /// Operations below this number were submitted before the copy was current.
    as_of: OpNumber,
}

#[derive(Debug)]
enum WriterFlight {
    Read {
        as_of: OpNumber,
    },
    Write {
        /// The copy as it is once the write is confirmed.
        copy: ShardCopy,
        batch: Vec<(OpNumber, Option<OpResult>)>,
        started: MonoTime,
    },
}

/// What applying an operation came to.
enum OpStep {
    /// Decided by the copy at hand, once a write before it is confirmed.
    Decided(Option<OpResult>),
    /// Decided, but for a copy from after the operation's submission.
    Stale(Option<OpResult>),
    /// Decided once the platform confirms the write.
    Changed(Option<OpResult>),
}

/// Commits the operations on one shard.
#[derive(Debug)]
pub struct ShardWriter {
    rules: WriterRules,
    open: IndexMap<OpNumber, OpenOp>,
    next_number: OpNumber,
    copy: Option<ShardCopy>,
    flight: Option<WriterFlight>,
    /// Oldest version that a read may show.
    floor: ObjectVersion,
    /// Newest version that a write with a lost answer expected.
    lost_at: Option<ObjectVersion>,
    next_commit: MonoTime,
    retry_at: MonoTime,
    down_until: MonoTime,
    down_reason: String,
    lost_calls: u32,
    conflicts: u32,
    granted: IndexSet<ClaimId>,
    actions: Vec<WriterAction>,
    random: SmallRng,
}

impl ShardWriter {
    /// Creates a writer that knows nothing of its shard.
    #[must_use]
    pub fn new(rules: WriterRules) -> Self {
        Self {
            rules,
            open: IndexMap::new(),
            next_number: 0,
            copy: None,
            flight: None,
            floor: ObjectVersion::default(),
            lost_at: None,
            next_commit: MonoTime::default(),
            retry_at: MonoTime::default(),
            down_until: MonoTime::default(),
            down_reason: String::new(),
            lost_calls: 0,
            conflicts: 0,
            granted: IndexSet::new(),
            actions: Vec::new(),
            random: SmallRng::seed_from_u64(rules.seed),
        }
    }

    /// Takes the actions to carry out, in order.
    pub fn take_actions(&mut self) -> Vec<WriterAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of operations not yet decided.
    #[must_use]
    pub fn open_ops(&self) -> usize {
        self.open.len()
    }

    /// Tells whether the platform counts as down.
    #[must_use]
    pub fn is_down(&self, now: WriterTime) -> bool {
        now.mono < self.down_until
    }

    /// Returns when to call [`ShardWriter::wake`], unless something happens before.
    #[must_use]
    pub fn wake_at(&self) -> Option<MonoTime> {
        if self.flight.is_some() || self.open.is_empty() {
            return None;
        }
        Some(match self.copy {
            Some(_) => self.retry_at.max(self.next_commit),
            None => self.retry_at,
        })
    }

    /// Takes an operation in.
    pub fn submit(&mut self, op: ShardOp, now: WriterTime) -> OpNumber {
        let number = self.next_number;
        self.next_number += 1;
        if op.has_result() {
            if let Some(result) = self.refuse_at_once(now) {
                self.reply(number, result);
                return number;
            }
        } else if self.open.len() >= MAX_OPEN_OPS {
            self.drop_oldest_close();
        }
        self.open.insert(number, OpenOp { op, sent: false });
        self.pump(now);
        number
    }

    /// Forgets an operation that nobody waits for any more.
    ///
    /// A claim in a write whose answer is missing may arrive yet, so it is closed as
    /// not run as soon as it shows; the claimant has to be sure not to dispatch it.
    pub fn abandon(&mut self, number: OpNumber, now: WriterTime) {
        if let Some(open) = self.open.shift_remove(&number) {
            self.release(open);
            self.pump(now);
        }
    }

    /// Goes on after a wait.
    pub fn wake(&mut self, now: WriterTime) {
        self.pump(now);
    }

    /// Takes the result of a read.
    pub fn read_done(
        &mut self,
        result: Result<Option<StoredObject>, PlatformError>,
        now: WriterTime,
    ) {
        let Some(WriterFlight::Read { as_of }) = self.flight.take() else {
            return;
        };
        match result {
            Ok(found) => self.take_read(found, as_of, now),
            Err(PlatformError::Lost { reason } | PlatformError::Refused { reason }) => {
                self.lose_call(&reason, now);
                self.retry_at = self.retry_at.max(now.mono.plus(READ_RETRY));
            }
            Err(PlatformError::Unavailable {
                reason,
                retry_after,
            }) => self.go_down(&reason, retry_after, now),
            Err(PlatformError::Conflict { .. }) => {
                self.retry_at = now.mono.plus(READ_RETRY);
            }
        }
        self.pump(now);
    }

    /// Takes the result of a write.
    pub fn write_done(&mut self, result: Result<ObjectVersion, PlatformError>, now: WriterTime) {
        let Some(WriterFlight::Write {
            copy,
            batch,
            started,
        }) = self.flight.take()
        else {
            return;
        };
        let expected = copy.version;
        match result {
            Ok(version) => {
                self.next_commit = started.plus(self.rules.commit);
                self.commit(ShardCopy { version, ..copy }, batch);
            }
            Err(PlatformError::Conflict { current }) => self.back_off(current, now),
            Err(PlatformError::Lost { reason }) => {
                // The write may take effect later still, so a read that shows the old
                // version proves nothing. Only a version past `expected` does.
                self.lost_at = self.lost_at.max(Some(expected));
                self.lose_call(&reason, now);
            }
            Err(PlatformError::Unavailable {
                reason,
                retry_after,
            }) => self.go_down(&reason, retry_after, now),
            Err(PlatformError::Refused { reason }) => self.go_down(&reason, DEFAULT_RETRY, now),
        }
        self.pump(now);
    }

    fn refuse_at_once(&self, now: WriterTime) -> Option<OpResult> {
        if self.is_down(now) {
            return Some(OpResult::GivenUp {
                reason: self.down_reason.clone(),
                retry_after: self.down_until.since(now.mono),
            });
        }
        (self.open.len() >= MAX_OPEN_OPS).then(|| OpResult::GivenUp {
            reason: "too many operations wait for the platform; retry later".to_owned(),
            retry_after: DEFAULT_RETRY,
        })
    }

    /// Makes room for a close: its entry then stays as it is recorded, which callers
    /// see as an unknown outcome and never as "not run".
    fn drop_oldest_close(&mut self) {
        let oldest = self.open.iter().find(|(_, open)| !open.op.has_result());
        if let Some(number) = oldest.map(|(number, _)| *number) {
            self.open.shift_remove(&number);
            metrics::counter!("pistachiowick_intent_closes_dropped_total").increment(1);
        }
    }

    fn take_read(&mut self, found: Option<StoredObject>, as_of: OpNumber, now: WriterTime) {
        let version = found.as_ref().map_or(ObjectVersion(0), |f| f.version);
        if version < self.floor {
            self.retry_at = now.mono.plus(READ_RETRY);
            return;
        }
        self.lost_calls = 0;
        self.down_until = MonoTime::default();
        if let Some(copy) = self.copy.as_mut().filter(|c| c.version == version) {
            copy.as_of = as_of;
            return;
        }
        match read_ledger(found) {
            Ok(ledger) => {
                self.floor = version;
                self.copy = Some(ShardCopy {
                    version,
                    ledger,
                    as_of,
                });
            }
            Err(reason) => self.go_down(&reason, DEFAULT_RETRY, now),
        }
    }

    fn commit(&mut self, copy: ShardCopy, batch: Vec<(OpNumber, Option<OpResult>)>) {
        self.floor = copy.version;
        self.copy = Some(copy);
        self.lost_calls = 0;
        self.conflicts = 0;
        self.down_until = MonoTime::default();
        for (number, result) in batch {
            self.finish(number, result);
        }
    }

    /// Waits a random while, longer after each conflict, so that daemons which write
    /// the same shard don't collide forever.
    fn back_off(&mut self, current: ObjectVersion, now: WriterTime) {
        self.floor = self.floor.max(current);
        self.lost_calls = 0;
        self.conflicts += 1;
        let most = Duration::from_millis(1 << self.conflicts.min(10)).min(self.rules.commit);
        let wait = self.random.random_range(Duration::ZERO..=most);
        self.retry_at = now.mono.plus(wait);
    }

    fn lose_call(&mut self, reason: &str, now: WriterTime) {
        self.lost_calls += 1;
        if self.lost_calls >= LOST_CALLS {
            self.lost_calls = 0;
            self.go_down(reason, DEFAULT_RETRY, now);
        }
    }

    /// Gives up whatever somebody waits for; closes are tried again later.
    fn go_down(&mut self, reason: &str, retry_after: Duration, now: WriterTime) {
        let wait = retry_after.max(READ_RETRY);
        self.down_until = now.mono.plus(wait);
        self.retry_at = self.down_until;
        self.down_reason = format!("the platform takes no records now: {reason}");
        let (waited, kept): (IndexMap<_, _>, IndexMap<_, _>) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|(_, open)| open.op.has_result());
        self.open = kept;
        for (number, open) in waited {
            self.release(open);
            self.reply(
                number,
                OpResult::GivenUp {
                    reason: self.down_reason.clone(),
                    retry_after: wait,
                },
            );
        }
    }

    /// Keeps watch over an abandoned claim if it may arrive yet.
    fn release(&mut self, open: OpenOp) {
        let ShardOp::Claim(claim) = open.op else {
            return;
        };
        if open.sent {
            let op = ShardOp::Release {
                key: claim.key,
                claim: claim.claim,
            };
            self.open
                .insert(self.next_number, OpenOp { op, sent: true });
            self.next_number += 1;
        }
    }

    fn pump(&mut self, now: WriterTime) {
        if self.flight.is_some() || self.open.is_empty() || now.mono < self.retry_at {
            return;
        }
        if self.copy.is_none() {
            self.start_read();
            return;
        }
        if self.answer_lookups(now) {
            self.start_read();
            return;
        }
        if now.mono >= self.next_commit && !self.open.is_empty() {
            self.apply_all(now);
        }
    }

    fn start_read(&mut self) {
        self.flight = Some(WriterFlight::Read {
            as_of: self.next_number,
        });
        self.actions.push(WriterAction::Read);
    }

    /// Answers the lookups that the copy can answer; true when others are left.
    fn answer_lookups(&mut self, now: WriterTime) -> bool {
        let Some(copy) = &self.copy else {
            return true;
        };
        let mut results = Vec::new();
        let mut left = false;
        for (number, open) in &self.open {
            let ShardOp::Lookup(key) = &open.op else {
                continue;
            };
            let view = copy.ledger.view(key, &self.rules.limits, now.unix);
            let settled = !matches!(&view, Ok(v) if !v.is_final());
            if settled || *number < copy.as_of {
                results.push((*number, view_result(view)));
            } else {
                left = true;
            }
        }
        for (number, result) in results {
            self.finish(number, Some(result));
        }
        left
    }

    /// Applies every open operation to the copy and writes the outcome, if any changed it.
    ///
    /// What the copy alone decides is answered at once. Once one operation has changed
    /// the copy, later ones have seen a state that the platform doesn't have yet, and
    /// wait for the write.
    fn apply_all(&mut self, now: WriterTime) {
        let Some(mut copy) = self.copy.take() else {
            return;
        };
        copy.ledger.expire(&self.rules.limits, now.unix);
        let mut changed = false;
        let mut decided = Vec::new();
        let mut batch = Vec::new();
        for (number, open) in &self.open {
            match self.apply(*number, open, &mut copy, now) {
                OpStep::Decided(result) if !changed => decided.push((*number, result)),
                OpStep::Decided(result) | OpStep::Stale(result) => batch.push((*number, result)),
                OpStep::Changed(result) => {
                    changed = true;
                    batch.push((*number, result));
                }
            }
        }
        for (number, result) in decided {
            self.finish(number, result);
        }
        if changed {
            self.start_write(copy, batch, now);
            return;
        }
        self.copy = Some(copy);
        if !batch.is_empty() {
            self.start_read();
        }
    }

    fn start_write(
        &mut self,
        mut copy: ShardCopy,
        batch: Vec<(OpNumber, Option<OpResult>)>,
        now: WriterTime,
    ) {
        for (number, _) in &batch {
            if let Some(open) = self.open.get_mut(number) {
                open.sent = true;
            }
        }
        copy.as_of = self.next_number;
        self.actions.push(WriterAction::Write {
            expected: copy.version,
            value: encode_ledger(&copy.ledger),
        });
        self.flight = Some(WriterFlight::Write {
            copy,
            batch,
            started: now.mono,
        });
    }

    fn apply(
        &self,
        number: OpNumber,
        open: &OpenOp,
        copy: &mut ShardCopy,
        now: WriterTime,
    ) -> OpStep {
        let fresh = number < copy.as_of;
        let limits = &self.rules.limits;
        match &open.op {
            ShardOp::Claim(claim) => claim_step(copy.ledger.claim(claim, limits, now.unix), fresh),
            ShardOp::Settle { key, claim } => {
                settle_step(copy.ledger.settle(key, *claim, limits, now.unix), fresh)
            }
            ShardOp::Lookup(key) => {
                decide(view_result(copy.ledger.view(key, limits, now.unix)), fresh)
            }
            ShardOp::Close { key, claim, record } => {
                let step = copy.ledger.close(key.entry_id(), *claim, record, limits);
                check_close(step, key, *claim, &copy.ledger);
                close_step(step)
            }
            ShardOp::Release { key, claim } => {
                let record = CloseRecord::NotRun;
                let step = copy.ledger.close(key.entry_id(), *claim, &record, limits);
                self.release_step(step, copy.version)
            }
        }
    }

    /// Concludes nothing from the claim's absence while the shard stands at a version
    /// that a lost write expected: that write may take effect after the read. Writing
    /// the shard again settles it, as whichever write comes first refuses the other.
    fn release_step(&self, step: CloseStep, version: ObjectVersion) -> OpStep {
        match step {
            CloseStep::Missing if self.lost_at >= Some(version) => OpStep::Changed(None),
            step => close_step(step),
        }
    }

    /// Ends an operation; an abandoned one has ended before and gets no result.
    ///
    /// A claim that ends otherwise than granted may have been recorded by a write whose
    /// answer was lost, and found unacceptable when applied again because its key grew
    /// too old meanwhile. It would stay recorded as intended, so it is released.
    fn finish(&mut self, number: OpNumber, result: Option<OpResult>) {
        let Some(open) = self.open.shift_remove(&number) else {
            return;
        };
        match (&open.op, &result) {
            (ShardOp::Claim(claim), Some(OpResult::Granted)) => self.check_grant(claim.claim),
            (ShardOp::Close { claim, .. }, _) => {
                self.granted.swap_remove(claim);
            }
            _ => self.release(open),
        }
        if let Some(result) = result {
            self.reply(number, result);
        }
    }

    fn check_grant(&mut self, claim: ClaimId) {
        let first = self.granted.insert(claim);
        invariants::check(first, Invariant::AtMostOnce, || {
            format!("claim {claim} was granted twice")
        });
    }

    fn reply(&mut self, number: OpNumber, result: OpResult) {
        self.actions.push(WriterAction::Reply { number, result });
    }
}

/// A shard that was deleted has lost its records: taking it for empty would let
/// every recorded request run again.
fn read_ledger(found: Option<StoredObject>) -> Result<ShardLedger, String> {
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

fn view_result(view: Result<RecordView, KeyFault>) -> OpResult {
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
        OpResult::Granted | OpResult::Invalid(_) => true,
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
        retry_after: DEFAULT_RETRY,
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

fn close_step(step: CloseStep) -> OpStep {
    match step {
        CloseStep::Changed => OpStep::Changed(None),
        CloseStep::Unchanged | CloseStep::Missing => OpStep::Decided(None),
    }
}

/// Asserts that a granted claim is in its shard until its key is too old.
fn check_close(step: CloseStep, key: &IntentKey, claim: ClaimId, ledger: &ShardLedger) {
    let lost = step == CloseStep::Missing && key.minted_at > ledger.horizon();
    invariants::check(!lost, Invariant::AtMostOnce, || {
        format!("granted claim {claim} is gone from its shard before its key expired")
    });
}
