//! Pending operations on one shard, in order of submission.

use indexmap::IndexMap;

use crate::intents::ops::{OpNumber, ShardOp};

/// Maximum number of pending operations on one shard.
const MAX_OPEN_OPS: usize = 16_384;

/// Where an operation may be known, which decides how it can be abandoned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum OpReach {
    /// Only in this writer.
    Local,
    /// In a write that was sent to the platform.
    Sent,
    /// At another daemon, which may write it at any time.
    Carried,
}

#[derive(Debug)]
pub(crate) struct OpenOp {
    pub(crate) op: ShardOp,
    pub(crate) reach: OpReach,
}

impl OpReach {
    fn after_write(self) -> Self {
        match self {
            Self::Local | Self::Sent => Self::Sent,
            Self::Carried => Self::Carried,
        }
    }
}

/// Operations without a decided result.
#[derive(Debug, Default)]
pub(crate) struct OpQueue {
    open: IndexMap<OpNumber, OpenOp>,
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
        self.open.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.open.len() >= MAX_OPEN_OPS
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (OpNumber, &OpenOp)> {
        self.open.iter().map(|(number, open)| (*number, open))
    }

    pub(crate) fn insert(&mut self, number: OpNumber, op: ShardOp, reach: OpReach) {
        self.open.insert(number, OpenOp { op, reach });
    }

    pub(crate) fn remove(&mut self, number: OpNumber) -> Option<OpenOp> {
        self.open.shift_remove(&number)
    }

    /// Records that a write with the operation was sent.
    pub(crate) fn mark_sent(&mut self, number: OpNumber) {
        if let Some(open) = self.open.get_mut(&number) {
            open.reach = open.reach.after_write();
        }
    }

    /// Removes and returns the operations that a caller waits for.
    pub(crate) fn take_waited(&mut self) -> IndexMap<OpNumber, OpenOp> {
        let all = std::mem::take(&mut self.open).into_iter();
        let (waited, kept) = all.partition(|(_, open)| open.op.has_result());
        self.open = kept;
        waited
    }

    /// Drops the oldest close to make room for another. The entry then keeps its recorded
    /// state, which callers see as an unknown outcome and never as "not run".
    pub(crate) fn drop_oldest_close(&mut self) {
        let oldest = self.iter().find(|(_, open)| !open.op.has_result());
        if let Some(number) = oldest.map(|(number, _)| number) {
            self.remove(number);
            metrics::counter!("pistachiowick_intent_closes_dropped_total").increment(1);
        }
    }

    /// Queues the close of an abandoned claim if the claim may still be recorded.
    ///
    /// A claim of another daemon is dropped and never closed: that daemon may have written
    /// the claim itself, been granted it and dispatched the request.
    pub(crate) fn release(&mut self, open: OpenOp) {
        let ShardOp::Claim(claim) = open.op else {
            return;
        };
        let (key, claim) = (claim.key, claim.claim);
        let op = match open.reach {
            OpReach::Local => return,
            OpReach::Sent => ShardOp::Release { key, claim },
            OpReach::Carried => ShardOp::Void { key, claim },
        };
        if self.is_full() {
            self.drop_oldest_close();
        }
        let number = self.take_number();
        self.insert(number, op, open.reach);
    }
}
