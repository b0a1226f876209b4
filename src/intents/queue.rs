//! Pending operations on one shard, in order of submission.

use indexmap::IndexMap;

use crate::intents::ops::{OpNumber, ShardOp};

/// Maximum number of pending operations on one shard.
const MAX_PENDING_OPS: usize = 16_384;

/// Where an operation may have been sent, which decides how it is abandoned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum OpProgress {
    /// Only in this writer.
    Local,
    /// In a write that was sent to the platform.
    Sent,
    /// At another daemon, which may write it at any time.
    Forwarded,
}

#[derive(Debug)]
pub(crate) struct PendingOp {
    pub(crate) op: ShardOp,
    pub(crate) progress: OpProgress,
}

impl OpProgress {
    fn after_write(self) -> Self {
        match self {
            Self::Local | Self::Sent => Self::Sent,
            Self::Forwarded => Self::Forwarded,
        }
    }
}

/// Operations without a decided result.
#[derive(Debug, Default)]
pub(crate) struct OpQueue {
    pending: IndexMap<OpNumber, PendingOp>,
    next_number: OpNumber,
}

impl OpQueue {
    /// Returns the sequence number that the next operation will get.
    pub(crate) fn next_number(&self) -> OpNumber {
        self.next_number
    }

    pub(crate) fn take_number(&mut self) -> OpNumber {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING_OPS
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (OpNumber, &PendingOp)> {
        self.pending
            .iter()
            .map(|(number, pending)| (*number, pending))
    }

    pub(crate) fn insert(&mut self, number: OpNumber, op: ShardOp, progress: OpProgress) {
        self.pending.insert(number, PendingOp { op, progress });
    }

    pub(crate) fn remove(&mut self, number: OpNumber) -> Option<PendingOp> {
        self.pending.shift_remove(&number)
    }

    /// Records that a write with the operation was sent.
    pub(crate) fn mark_sent(&mut self, number: OpNumber) {
        if let Some(pending) = self.pending.get_mut(&number) {
            pending.progress = pending.progress.after_write();
        }
    }

    /// Removes and returns the operations that a caller waits for.
    pub(crate) fn take_with_results(&mut self) -> IndexMap<OpNumber, PendingOp> {
        let all = std::mem::take(&mut self.pending).into_iter();
        let (with_results, kept) = all.partition(|(_, pending)| pending.op.has_result());
        self.pending = kept;
        with_results
    }

    /// Drops the oldest close to make room for another. The entry then keeps its recorded
    /// state, which callers see as an unknown outcome and never as "not run".
    pub(crate) fn drop_oldest_close(&mut self) {
        let oldest = self.iter().find(|(_, pending)| !pending.op.has_result());
        if let Some(number) = oldest.map(|(number, _)| number) {
            self.remove(number);
            metrics::counter!("pistachiowick_intent_closes_dropped_total").increment(1);
        }
    }

    /// Queues the close of an abandoned claim if the claim may still be recorded. Does nothing
    /// for operations that are not claims.
    ///
    /// A claim of another daemon is dropped and never closed: that daemon may have written
    /// the claim itself, been granted it and dispatched the request.
    pub(crate) fn close_abandoned(&mut self, pending: PendingOp) {
        let ShardOp::Claim(claim) = pending.op else {
            return;
        };
        let (key, claim) = (claim.key, claim.claim);
        let op = match pending.progress {
            OpProgress::Local => return,
            OpProgress::Sent => ShardOp::Release { key, claim },
            OpProgress::Forwarded => ShardOp::Void { key, claim },
        };
        if self.is_full() {
            self.drop_oldest_close();
        }
        let number = self.take_number();
        self.insert(number, op, pending.progress);
    }
}
