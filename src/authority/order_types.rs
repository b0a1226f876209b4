//! Times, actions and news of engine changes.

use std::time::Duration;

use crate::authority::lease_state::LeaseTimes;
use crate::authority::order_record::OrderRecord;
use crate::names::{MonoTime, TargetId};
use crate::ports::ConditionalWrite;

/// Times of a change.
#[derive(Clone, Copy, Debug)]
pub struct OrderTimes {
    /// Longest time an order may be under way.
    pub flight: Duration,
    /// Time for all daemons to learn that an engine is out of use.
    pub spread: Duration,
    /// Longest wait for running work; the change is then given up.
    pub drain: Duration,
    /// Longest wait for an engine to finish a change.
    pub change: Duration,
}

impl OrderTimes {
    /// Derives the times from those of leases and the expected length of a change.
    #[must_use]
    pub fn new(lease: LeaseTimes, change: Duration) -> Self {
        Self {
            flight: lease.order_flight,
            spread: Duration::from_secs(1),
            drain: Duration::from_secs(300),
            change: change * 10 + Duration::from_secs(30),
        }
    }
}

/// What the book wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderAction {
    /// Read the group's object; answered by [`crate::authority::orders::OrderBook::note_read`].
    Read,
    /// Write it; answered by [`crate::authority::orders::OrderBook::note_write`].
    Write {
        /// Mark of the write.
        mark: String,
        /// The conditional update.
        write: ConditionalWrite,
    },
    /// Send the recorded order of an engine, if [`crate::authority::orders::OrderBook::begin_send`] still allows it.
    Send(TargetId),
}

/// An event of a change, for the journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderNews {
    /// Engine concerned.
    pub target: TargetId,
    /// What happened and why.
    pub reason: String,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendState {
    Waiting,
    Out { at: MonoTime },
    Unsure { at: MonoTime },
    Taken { at: MonoTime },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChangeEnd {
    Done,
    Failed,
    Withdrawn,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineSeen {
    pub(crate) idle_at: Option<MonoTime>,
    pub(crate) taken_at: MonoTime,
}

#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub(crate) mark: String,
    pub(crate) record: OrderRecord,
}
