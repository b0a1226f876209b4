//! Durations, actions and events of engine changes.

use std::time::Duration;

use crate::authority::lease_state::LeaseTimes;
use crate::authority::order_record::OrderRecord;
use crate::names::{MonoTime, TargetId};
use crate::ports::ConditionalWrite;

/// Durations of a change.
#[derive(Clone, Copy, Debug)]
pub struct OrderTimes {
    /// Longest time that an order may be in flight.
    pub max_flight: Duration,
    /// Time for all daemons to learn that an engine is out of use.
    pub propagation: Duration,
    /// Longest wait for running work, after which the change is abandoned.
    pub drain_timeout: Duration,
    /// Longest wait for an engine to finish a change.
    pub change_timeout: Duration,
}

impl OrderTimes {
    /// Derives the durations from those of leases and the expected length of a change.
    #[must_use]
    pub fn new(lease: LeaseTimes, change: Duration) -> Self {
        Self {
            max_flight: lease.max_order_flight,
            propagation: Duration::from_secs(1),
            drain_timeout: Duration::from_secs(300),
            change_timeout: change * 10 + Duration::from_secs(30),
        }
    }
}

/// An action that the order manager asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderAction {
    /// Read the group's object; the result goes to
    /// [`crate::authority::orders::OrderManager::note_read`].
    Read,
    /// Write it; the result goes to
    /// [`crate::authority::orders::OrderManager::note_write`].
    Write {
        /// Unique id of the write.
        write_id: String,
        /// The conditional update.
        write: ConditionalWrite,
    },
    /// Send the stored order of an engine, if
    /// [`crate::authority::orders::OrderManager::begin_send`] still allows it.
    Send(TargetId),
}

/// A step of an engine's change, for the decision journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderEvent {
    /// Engine concerned.
    pub target: TargetId,
    /// What happened and why.
    pub reason: String,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendState {
    Waiting,
    InFlight { at: MonoTime },
    Unknown { at: MonoTime },
    Accepted { at: MonoTime },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChangeOutcome {
    Done,
    Failed,
    Withdrawn,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineObservation {
    pub(crate) idle_at: Option<MonoTime>,
    pub(crate) taken_at: MonoTime,
}

#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub(crate) write_id: String,
    pub(crate) record: OrderRecord,
}
