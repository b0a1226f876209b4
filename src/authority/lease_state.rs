//! Types of the lease table: durations, actions and the state of each group.

use std::time::Duration;

use crate::authority::lease_record::LeaseRecord;
use crate::names::{FenceNumber, GroupName, MonoTime};
use crate::ports::{ConditionalWrite, ObjectVersion};
use crate::settings::LeaseSettings;

/// Durations of leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// How long a lease lasts.
    pub duration: Duration,
    /// How long before the lease expires the holder stops ordering.
    pub guard: Duration,
    /// Longest time that an order may be in flight.
    pub max_order_flight: Duration,
}

impl From<&LeaseSettings> for LeaseTimes {
    fn from(settings: &LeaseSettings) -> Self {
        Self {
            duration: Duration::from_millis(settings.duration_ms),
            guard: Duration::from_millis(settings.guard_ms),
            max_order_flight: Duration::from_millis(settings.order_flight_ms),
        }
    }
}

/// A platform call that the table asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Read a lease object; the result goes to
    /// [`crate::authority::lease::LeaseTable::note_read`].
    Read(GroupName),
    /// Write a lease object; the result goes to
    /// [`crate::authority::lease::LeaseTable::note_write`].
    Write {
        /// Group concerned.
        group: GroupName,
        /// Unique id of the write.
        write_id: String,
        /// The conditional update.
        write: ConditionalWrite,
    },
}

/// A lease acquired or lost, for the decision journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseChange {
    /// Group concerned.
    pub group: GroupName,
    /// Whether this daemon now holds the lease.
    pub held: bool,
    /// Reason for the change.
    pub reason: String,
}

/// The right to send orders to the engines of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseAuthority {
    /// Fence to send with each order.
    pub fence: FenceNumber,
    /// When ordering must have stopped, on this daemon's clock.
    pub deadline: MonoTime,
}

#[derive(Clone, Debug)]
pub(crate) struct ObservedRecord {
    pub(crate) version: ObjectVersion,
    pub(crate) record: LeaseRecord,
    pub(crate) since: MonoTime,
}

impl ObservedRecord {
    /// Returns whether the record may come from an older copy of the store, which says nothing
    /// about who holds the lease now.
    pub(crate) fn is_restored(&self) -> bool {
        self.record.fence.era() < self.version.era()
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldLease {
    pub(crate) fence: FenceNumber,
    pub(crate) version: ObjectVersion,
    pub(crate) expires_at: MonoTime,
}

// A write that was sent. The lease's duration counts from `sent_at`: counted from the
// response, the lease would outlast the time that other daemons wait before they take over.
#[derive(Clone, Debug)]
pub(crate) struct SentWrite {
    pub(crate) write_id: String,
    pub(crate) fence: FenceNumber,
    pub(crate) sent_at: MonoTime,
    pub(crate) released: bool,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct GroupLease {
    pub(crate) rank: Option<usize>,
    pub(crate) observed: Option<ObservedRecord>,
    pub(crate) absent_since: Option<MonoTime>,
    pub(crate) held: Option<HeldLease>,
    pub(crate) sent: Vec<SentWrite>,
    pub(crate) call_deadline: MonoTime,
    pub(crate) call_in_flight: bool,
    pub(crate) must_read: bool,
    // Whether a write of this daemon may have taken effect without its knowledge.
    pub(crate) unknown_writes: bool,
    pub(crate) next_read_at: MonoTime,
    pub(crate) next_write_at: MonoTime,
    pub(crate) next_acquire_at: MonoTime,
    // Highest fence seen in a record, by an engine or in stored orders; the next acquisition
    // uses a later one.
    pub(crate) min_fence: FenceNumber,
    pub(crate) releasing: bool,
    pub(crate) order_in_flight: bool,
    // Since when this daemon has not been the first candidate.
    pub(crate) outranked_since: Option<MonoTime>,
}
