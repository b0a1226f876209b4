//! Stores the planned engine changes of the fleet in the platform.
//!
//! Only the holder of the plan's lease writes them; the holders of the groups' leases
//! carry them out.

use std::time::Duration;

use indexmap::IndexMap;

use crate::authority::lease_groups::PLAN_GROUP;
use crate::authority::order_record::{
    OrderEntry, OrderPhase, OrderRecord, PlannedChange, order_object,
};
use crate::authority::order_types::OrderAction;
use crate::names::{FenceNumber, GroupName, MonoTime, TargetId};
use crate::ports::{ConditionalWrite, ObjectVersion, PlatformError, StoredObject};

/// Pause after a failed read or write.
const CALL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The stored plan during one term of the plan's lease.
#[derive(Clone, Debug)]
pub struct PlanStore {
    fence: FenceNumber,
    version: ObjectVersion,
    planned_changes: IndexMap<TargetId, PlannedChange>,
    stored: Option<IndexMap<TargetId, PlannedChange>>,
    must_read: bool,
    call_in_flight: bool,
    next_call_at: MonoTime,
    write_count: u64,
    fenced_by: Option<FenceNumber>,
}

impl PlanStore {
    /// Creates an empty plan for a newly acquired lease: the reasons of the previous
    /// planner are unknown, and changes already ordered complete on their own.
    #[must_use]
    pub fn new(fence: FenceNumber) -> Self {
        Self {
            fence,
            version: ObjectVersion(0),
            planned_changes: IndexMap::new(),
            stored: None,
            must_read: true,
            call_in_flight: false,
            next_call_at: MonoTime(0),
            write_count: 0,
            fenced_by: None,
        }
    }

    /// Returns the fence of the lease that the plan was created for.
    #[must_use]
    pub fn fence(&self) -> FenceNumber {
        self.fence
    }

    /// Returns the later fence found in the stored object; if there is one, the lease is
    /// lost.
    #[must_use]
    pub fn fenced_by(&self) -> Option<FenceNumber> {
        self.fenced_by
    }

    /// Returns the planned changes.
    #[must_use]
    pub fn planned_changes(&self) -> &IndexMap<TargetId, PlannedChange> {
        &self.planned_changes
    }

    /// Adds a planned change.
    pub fn add_change(&mut self, target: TargetId, change: PlannedChange) {
        self.planned_changes.insert(target, change);
    }

    /// Keeps only the planned changes for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&TargetId, &PlannedChange) -> bool) {
        self.planned_changes
            .retain(|target, change| keep(target, change));
    }

    /// Returns the next read or write to send, if one is due.
    pub fn tick(&mut self, now: MonoTime) -> Option<OrderAction> {
        if self.call_in_flight || now < self.next_call_at {
            return None;
        }
        if self.must_read {
            self.call_in_flight = true;
            return Some(OrderAction::Read);
        }
        (self.stored.as_ref() != Some(&self.planned_changes)).then(|| self.write())
    }

    fn write(&mut self) -> OrderAction {
        self.write_count += 1;
        self.call_in_flight = true;
        let write_id = format!("{PLAN_GROUP}-{}-{}", self.fence.0, self.write_count);
        let entries = self.planned_changes.iter().map(|(target, change)| {
            let entry = OrderEntry {
                change: change.clone(),
                phase: OrderPhase::Draining,
            };
            (target.clone(), entry)
        });
        let record = OrderRecord {
            fence: self.fence,
            write_id: write_id.clone(),
            last_order: 0,
            entries: entries.collect(),
        };
        OrderAction::Write {
            write_id,
            write: ConditionalWrite {
                object: order_object(&GroupName::from(PLAN_GROUP)),
                expected: self.version,
                value: record.encode(),
            },
        }
    }

    /// Handles the result of a read of the plan.
    pub fn note_read(
        &mut self,
        result: &Result<Option<StoredObject>, PlatformError>,
        now: MonoTime,
    ) {
        self.call_in_flight = false;
        let Ok(found) = result else {
            self.next_call_at = now.plus(CALL_RETRY_DELAY);
            return;
        };
        let version = found.as_ref().map_or(ObjectVersion(0), |s| s.version);
        if version < self.version {
            self.next_call_at = now.plus(CALL_RETRY_DELAY);
            return;
        }
        self.must_read = false;
        self.version = version;
        let record = found.as_ref().and_then(OrderRecord::decode);
        let record = record.unwrap_or_default();
        if record.fence > self.fence {
            self.fenced_by = Some(record.fence);
        }
        let is_same_lease = record.fence == self.fence;
        self.stored = is_same_lease.then(|| planned_changes_of(&record));
    }

    /// Handles the result of a write.
    pub fn note_write(&mut self, result: &Result<ObjectVersion, PlatformError>, now: MonoTime) {
        self.call_in_flight = false;
        // The plan may have changed during the write, so the stored one is read back.
        self.must_read = true;
        if let Err(PlatformError::Unavailable { .. }) = result {
            self.next_call_at = now.plus(CALL_RETRY_DELAY);
        }
        if let Ok(version) = result {
            self.version = *version;
        }
    }
}

/// Returns the engine changes in a stored record, of the plan or of a group.
#[must_use]
pub fn planned_changes_of(record: &OrderRecord) -> IndexMap<TargetId, PlannedChange> {
    let entries = record.entries.iter();
    entries
        .map(|(target, entry)| (target.clone(), entry.change.clone()))
        .collect()
}
