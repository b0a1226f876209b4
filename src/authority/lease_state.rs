//! Types of the lease table: its times, actions and what it keeps of each group.

use std::time::Duration;

use crate::authority::lease_record::LeaseRecord;
use crate::names::{FenceNumber, GroupName, MonoTime};
use crate::ports::{ConditionalWrite, ObjectVersion};
use crate::settings::LeaseSettings;

/// Times of leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// How long a lease lasts.
    pub duration: Duration,
    /// How long before its end the holder stops ordering.
    pub guard: Duration,
    /// Longest time an order may be under way.
    pub order_flight: Duration,
}

impl From<&LeaseSettings> for LeaseTimes {
    fn from(settings: &LeaseSettings) -> Self {
        Self {
            duration: Duration::from_millis(settings.duration_ms),
            guard: Duration::from_millis(settings.guard_ms),
            order_flight: Duration::from_millis(settings.order_flight_ms),
        }
    }
}

/// What the table wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Read a lease object; answered by [`LeaseTable::note_read`].
    Read(GroupName),
    /// Write a lease object; answered by [`LeaseTable::note_write`].
    Write {
        /// Group concerned.
        group: GroupName,
        /// Mark of the write.
        mark: String,
        /// The conditional update.
        write: ConditionalWrite,
    },
}

/// A change of authority, for the journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseNews {
    /// Group concerned.
    pub group: GroupName,
    /// Whether this daemon now has the lease.
    pub held: bool,
    /// Why.
    pub reason: String,
}

/// The right to order the engines of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseAuthority {
    /// Fence that goes on each order.
    pub fence: FenceNumber,
    /// When ordering must have stopped, on this daemon's clock.
    pub until: MonoTime,
}

#[derive(Clone, Debug)]
pub(crate) struct ObservedRecord {
    pub(crate) version: ObjectVersion,
    pub(crate) record: LeaseRecord,
    pub(crate) since: MonoTime,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldLease {
    pub(crate) fence: FenceNumber,
    pub(crate) version: ObjectVersion,
    pub(crate) expires_at: MonoTime,
}

// A write that was sent. Authority counts from before it left: counted from the
// answer it would outlast the record that others watch.
#[derive(Clone, Debug)]
pub(crate) struct SentWrite {
    pub(crate) mark: String,
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
    pub(crate) busy_until: MonoTime,
    pub(crate) busy: bool,
    pub(crate) must_read: bool,
    pub(crate) open_writes: bool,
    pub(crate) read_at: MonoTime,
    pub(crate) write_at: MonoTime,
    pub(crate) try_at: MonoTime,
    pub(crate) least_fence: FenceNumber,
    pub(crate) releasing: bool,
    pub(crate) unsettled: bool,
    pub(crate) outranked_since: Option<MonoTime>,
}
