//! Group commit of the operations on one shard: a pure state machine that turns
//! operations into conditional updates of the shard's object in the platform.
//!
//! At most one call to the platform is in flight. Operations that arrive meanwhile are
//! included in the next write. When a write fails for any reason, the writer reads the
//! shard again and applies every pending operation anew. An operation is decided only by a
//! write that the platform confirmed, or by a copy read from the platform.

use std::time::Duration;

use indexmap::IndexSet;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use crate::intents::ops::{OpNumber, OpResult, ShardOp, WriterAction, WriterRules, WriterTime};

use crate::intents::ops::{OpOutcome, ShardCopy, apply_op, read_ledger, view_result};
use crate::intents::queue::{OpProgress, OpQueue, PendingOp};
use crate::intents::wire::encode_ledger;
use crate::intents::{ClaimEntry, ClaimId};
use crate::invariants::{self, Invariant};
use crate::names::MonoTime;
use crate::ports::{ObjectVersion, PlatformError, StoredObject};

/// Number of consecutive calls without a response after which the platform counts as down.
const MAX_LOST_CALLS: u32 = 3;

/// Wait after a failure that gives no retry time.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// Wait before retrying a read that was lost, or returned a state older than one seen before.
const READ_RETRY: Duration = Duration::from_millis(10);

#[derive(Debug)]
enum PendingCall {
    Read {
        as_of: OpNumber,
    },
    Write {
        /// The copy that becomes current once the write is confirmed.
        copy: ShardCopy,
        batch: Vec<(OpNumber, Option<OpResult>)>,
        started: MonoTime,
    },
}

/// Commits the operations on one shard.
#[derive(Debug)]
pub struct ShardWriter {
    rules: WriterRules,
    queue: OpQueue,
    copy: Option<ShardCopy>,
    pending_call: Option<PendingCall>,
    /// Newest known version of the shard; reads that return an older one are ignored.
    min_version: ObjectVersion,
    /// Newest expected version of a write whose response was lost.
    lost_write_version: Option<ObjectVersion>,
    next_commit: MonoTime,
    retry_at: MonoTime,
    down_until: MonoTime,
    down_reason: String,
    lost_calls: u32,
    conflicts: u32,
    /// Claims that were granted and not closed since, to detect a second grant.
    granted: IndexSet<ClaimId>,
    actions: Vec<WriterAction>,
    random: SmallRng,
}

impl ShardWriter {
    /// Creates a writer without a copy of its shard.
    #[must_use]
    pub fn new(rules: WriterRules) -> Self {
        Self {
            rules,
            queue: OpQueue::default(),
            copy: None,
            pending_call: None,
            min_version: ObjectVersion::default(),
            lost_write_version: None,
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

    /// Removes and returns the actions to execute, in order.
    pub fn take_actions(&mut self) -> Vec<WriterAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of pending operations.
    #[must_use]
    pub fn pending_ops(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether the platform counts as down.
    #[must_use]
    pub fn is_down(&self, now: WriterTime) -> bool {
        now.mono < self.down_until
    }

    /// Returns when to call [`ShardWriter::wake`] if no other event comes first.
    #[must_use]
    pub fn wake_at(&self) -> Option<MonoTime> {
        if self.pending_call.is_some() || self.queue.is_empty() {
            return None;
        }
        Some(match self.copy {
            Some(_) => self.retry_at.max(self.next_commit),
            None => self.retry_at,
        })
    }

    /// Submits an operation.
    pub fn submit(&mut self, op: ShardOp, now: WriterTime) -> OpNumber {
        let number = self.queue.take_number();
        if op.has_result() {
            if let Some(result) = self.immediate_refusal(now) {
                self.reply(number, result);
                return number;
            }
        } else if self.queue.is_full() {
            self.queue.drop_oldest_close();
        }
        self.queue.insert(number, op, OpProgress::Local);
        self.start_next_call(now);
        number
    }

    /// Submits a claim that was sent to another daemon, which did not confirm it.
    pub fn submit_forwarded(&mut self, claim: ClaimEntry, now: WriterTime) -> OpNumber {
        let number = self.queue.take_number();
        let op = ShardOp::Claim(claim);
        if let Some(result) = self.immediate_refusal(now) {
            let progress = OpProgress::Forwarded;
            self.queue.close_abandoned(PendingOp { op, progress });
            self.reply(number, result);
        } else {
            self.queue.insert(number, op, OpProgress::Forwarded);
        }
        self.start_next_call(now);
        number
    }

    /// Records that another daemon recorded this daemon's claim, at `version` or earlier.
    pub fn grant_forwarded(&mut self, claim: ClaimId, version: ObjectVersion) {
        self.raise_min_version(version);
        self.record_grant(claim);
    }

    /// Records that another daemon closed this daemon's claim.
    pub fn close_forwarded(&mut self, claim: ClaimId) {
        self.granted.swap_remove(&claim);
    }

    /// Ignores states of the shard older than `version` from now on.
    pub fn raise_min_version(&mut self, version: ObjectVersion) {
        self.min_version = self.min_version.max(version);
        let min_version = self.min_version;
        self.copy = self.copy.take().filter(|copy| copy.version >= min_version);
    }

    /// Returns the newest known version of the shard.
    #[must_use]
    pub fn min_version(&self) -> ObjectVersion {
        self.min_version
    }

    /// Abandons an operation whose caller no longer waits.
    ///
    /// A claim in a write without a response may still be recorded, so it is closed as not
    /// run as soon as it appears. The caller must never dispatch an abandoned claim.
    pub fn abandon(&mut self, number: OpNumber, now: WriterTime) {
        if let Some(pending) = self.queue.remove(number) {
            self.queue.close_abandoned(pending);
            self.start_next_call(now);
        }
    }

    /// Continues after the wait given by [`ShardWriter::wake_at`].
    pub fn wake(&mut self, now: WriterTime) {
        self.start_next_call(now);
    }

    /// Handles the result of a read.
    pub fn read_done(
        &mut self,
        result: Result<Option<StoredObject>, PlatformError>,
        now: WriterTime,
    ) {
        let Some(PendingCall::Read { as_of }) = self.pending_call.take() else {
            return;
        };
        match result {
            Ok(found) => self.apply_read(found, as_of, now),
            Err(PlatformError::Lost { reason } | PlatformError::Refused { reason }) => {
                self.record_lost_call(&reason, now);
                self.retry_at = self.retry_at.max(now.mono.plus(READ_RETRY));
            }
            Err(PlatformError::Unavailable {
                reason,
                retry_after,
            }) => self.mark_down(&reason, retry_after, now),
            Err(PlatformError::Conflict { .. }) => {
                self.retry_at = now.mono.plus(READ_RETRY);
            }
        }
        self.start_next_call(now);
    }

    /// Handles the result of a write.
    pub fn write_done(&mut self, result: Result<ObjectVersion, PlatformError>, now: WriterTime) {
        let Some(PendingCall::Write {
            copy,
            batch,
            started,
        }) = self.pending_call.take()
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
                // The write may still take effect later, so a read that returns the old
                // version proves nothing; only a version newer than `expected` does.
                self.lost_write_version = self.lost_write_version.max(Some(expected));
                self.record_lost_call(&reason, now);
            }
            Err(PlatformError::Unavailable {
                reason,
                retry_after,
            }) => self.mark_down(&reason, retry_after, now),
            Err(PlatformError::Refused { reason }) => self.mark_down(&reason, DEFAULT_RETRY, now),
        }
        self.start_next_call(now);
    }

    fn immediate_refusal(&self, now: WriterTime) -> Option<OpResult> {
        if self.is_down(now) {
            return Some(OpResult::GivenUp {
                reason: self.down_reason.clone(),
                retry_after: self.down_until.since(now.mono),
                no_effect: true,
            });
        }
        (self.queue.is_full()).then(|| OpResult::GivenUp {
            reason: "too many operations are waiting for the platform; retry later".to_owned(),
            retry_after: DEFAULT_RETRY,
            no_effect: true,
        })
    }

    fn apply_read(&mut self, found: Option<StoredObject>, as_of: OpNumber, now: WriterTime) {
        let version = found.as_ref().map_or(ObjectVersion(0), |f| f.version);
        if version < self.min_version {
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
                self.min_version = version;
                self.copy = Some(ShardCopy {
                    version,
                    ledger,
                    as_of,
                });
            }
            Err(reason) => self.mark_down(&reason, DEFAULT_RETRY, now),
        }
    }

    fn commit(&mut self, copy: ShardCopy, batch: Vec<(OpNumber, Option<OpResult>)>) {
        let version = copy.version;
        self.copy = Some(copy);
        self.raise_min_version(version);
        self.lost_calls = 0;
        self.conflicts = 0;
        self.down_until = MonoTime::default();
        for (number, result) in batch {
            self.finish(number, result);
        }
    }

    /// Backs off for a random time, with an upper bound that doubles with each conflict, so
    /// that daemons which write the same shard do not keep conflicting.
    fn back_off(&mut self, current: ObjectVersion, now: WriterTime) {
        self.min_version = self.min_version.max(current);
        self.lost_calls = 0;
        self.conflicts += 1;
        let max_wait = Duration::from_millis(1 << self.conflicts.min(10)).min(self.rules.commit);
        let wait = self.random.random_range(Duration::ZERO..=max_wait);
        self.retry_at = now.mono.plus(wait);
    }

    fn record_lost_call(&mut self, reason: &str, now: WriterTime) {
        self.lost_calls += 1;
        if self.lost_calls >= MAX_LOST_CALLS {
            self.lost_calls = 0;
            self.mark_down(reason, DEFAULT_RETRY, now);
        }
    }

    /// Marks the platform as down and gives up the operations that callers wait for. Closes
    /// are retried later.
    fn mark_down(&mut self, reason: &str, retry_after: Duration, now: WriterTime) {
        let wait = retry_after.max(READ_RETRY);
        self.down_until = now.mono.plus(wait);
        self.retry_at = self.down_until;
        self.down_reason = format!("the platform does not accept records at present: {reason}");
        for (number, pending) in self.queue.take_with_results() {
            let no_effect = pending.progress == OpProgress::Local;
            self.queue.close_abandoned(pending);
            self.reply(
                number,
                OpResult::GivenUp {
                    reason: self.down_reason.clone(),
                    retry_after: wait,
                    no_effect,
                },
            );
        }
    }

    fn start_next_call(&mut self, now: WriterTime) {
        if self.pending_call.is_some() || self.queue.is_empty() || now.mono < self.retry_at {
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
        if now.mono >= self.next_commit && !self.queue.is_empty() {
            self.apply_all(now);
        }
    }

    fn start_read(&mut self) {
        self.pending_call = Some(PendingCall::Read {
            as_of: self.queue.next_number(),
        });
        self.actions.push(WriterAction::Read);
    }

    /// Answers the lookups that the copy decides. Returns whether others remain.
    fn answer_lookups(&mut self, now: WriterTime) -> bool {
        let Some(copy) = &self.copy else {
            return true;
        };
        let mut results = Vec::new();
        let mut remaining = false;
        for (number, pending) in self.queue.iter() {
            let ShardOp::Lookup(key) = &pending.op else {
                continue;
            };
            let view = copy.ledger.view(key, &self.rules.limits, now.unix);
            let is_decided = !matches!(&view, Ok(v) if !v.is_final());
            if is_decided || number < copy.as_of {
                results.push((number, view_result(view)));
            } else {
                remaining = true;
            }
        }
        for (number, result) in results {
            self.finish(number, Some(result));
        }
        remaining
    }

    /// Applies all pending operations to the copy, and writes the copy if any changed it.
    ///
    /// Operations that the unchanged copy decides are answered at once. Once an operation
    /// has changed the copy, the later ones have seen a state that the platform does not
    /// have yet, and wait for the write. Expiry changes the copy too, so it comes last
    /// unless the shard is short of room.
    fn apply_all(&mut self, now: WriterTime) {
        let Some(mut copy) = self.copy.take() else {
            return;
        };
        let nearly_full = copy.ledger.is_nearly_full(&self.rules.limits);
        let mut changed = nearly_full && copy.ledger.expire(&self.rules.limits, now.unix);
        let mut decided = Vec::new();
        let mut batch = Vec::new();
        for (number, pending) in self.queue.iter() {
            let fresh = number < copy.as_of;
            let outcome = apply_op(
                &pending.op,
                &mut copy,
                fresh,
                self.lost_write_version,
                &self.rules.limits,
                now.unix,
            );
            match outcome {
                OpOutcome::Decided(result) if !changed => decided.push((number, result)),
                OpOutcome::Decided(result) | OpOutcome::Stale(result) => {
                    batch.push((number, result));
                }
                OpOutcome::Changed(result) => {
                    changed = true;
                    batch.push((number, result));
                }
            }
        }
        for (number, result) in decided {
            self.finish(number, result);
        }
        if changed {
            copy.ledger.expire(&self.rules.limits, now.unix);
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
            self.queue.mark_sent(*number);
        }
        copy.as_of = self.queue.next_number();
        self.actions.push(WriterAction::Write {
            expected: copy.version,
            value: encode_ledger(&copy.ledger),
        });
        self.pending_call = Some(PendingCall::Write {
            copy,
            batch,
            started: now.mono,
        });
    }

    /// Completes an operation. Abandoned operations are gone already and get no result.
    ///
    /// A claim that is not granted may still have been recorded: a write whose response was
    /// lost took effect, and its key became too old before the claim was applied again.
    /// The record would stay intended, so the claim is closed as abandoned.
    fn finish(&mut self, number: OpNumber, result: Option<OpResult>) {
        let Some(pending) = self.queue.remove(number) else {
            return;
        };
        match (&pending.op, &result) {
            (ShardOp::Claim(claim), Some(OpResult::Granted)) => self.record_grant(claim.claim),
            (ShardOp::Close { claim, .. }, _) => {
                self.granted.swap_remove(claim);
            }
            _ => self.queue.close_abandoned(pending),
        }
        if let Some(result) = result {
            self.reply(number, result);
        }
    }

    fn record_grant(&mut self, claim: ClaimId) {
        let first = self.granted.insert(claim);
        invariants::check(first, Invariant::AtMostOnce, || {
            format!("claim {claim} was granted twice")
        });
    }

    fn reply(&mut self, number: OpNumber, result: OpResult) {
        self.actions.push(WriterAction::Reply { number, result });
    }
}
