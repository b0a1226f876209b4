//! Keeps the fleet's plan of engine changes in the platform.
//!
//! Only the holder of the plan's lease writes it; holders of the groups carry it out.

use std::time::Duration;

use indexmap::IndexMap;

use crate::authority::lease_groups::PLAN_GROUP;
use crate::authority::order_record::{
    OrderEntry, OrderPhase, OrderRecord, PlannedChange, order_object,
};
use crate::authority::order_types::OrderAction;
use crate::names::{FenceNumber, GroupName, MonoTime, TargetId};
use crate::ports::{ConditionalWrite, ObjectVersion, PlatformError, StoredObject};

const CALL_PAUSE: Duration = Duration::from_millis(500);

/// The plan under one lease.
#[derive(Clone, Debug)]
pub struct PlanBook {
    fence: FenceNumber,
    version: ObjectVersion,
    wanted: IndexMap<TargetId, PlannedChange>,
    stored: Option<IndexMap<TargetId, PlannedChange>>,
    must_read: bool,
    busy: bool,
    call_at: MonoTime,
    marks: u64,
    fenced_by: Option<FenceNumber>,
}

impl PlanBook {
    /// Opens the plan for a lease just acquired. It starts empty: the last planner's
    /// reasons are unknown, and what was ordered runs to its end by itself.
    #[must_use]
    pub fn new(fence: FenceNumber) -> Self {
        Self {
            fence,
            version: ObjectVersion(0),
            wanted: IndexMap::new(),
            stored: None,
            must_read: true,
            busy: false,
            call_at: MonoTime(0),
            marks: 0,
            fenced_by: None,
        }
    }

    /// Returns the fence the plan was opened with.
    #[must_use]
    pub fn fence(&self) -> FenceNumber {
        self.fence
    }

    /// Returns a later fence met in the object; the lease is lost then.
    #[must_use]
    pub fn fenced_by(&self) -> Option<FenceNumber> {
        self.fenced_by
    }

    /// Returns the changes wanted.
    #[must_use]
    pub fn wanted(&self) -> &IndexMap<TargetId, PlannedChange> {
        &self.wanted
    }

    /// Adds a wish.
    pub fn want(&mut self, target: TargetId, change: PlannedChange) {
        self.wanted.insert(target, change);
    }

    /// Keeps the wishes for which `keep` holds.
    pub fn retain(&mut self, keep: impl Fn(&TargetId, &PlannedChange) -> bool) {
        self.wanted.retain(|target, change| keep(target, change));
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: MonoTime) -> Option<OrderAction> {
        if self.busy || now < self.call_at {
            return None;
        }
        if self.must_read {
            self.busy = true;
            return Some(OrderAction::Read);
        }
        (self.stored.as_ref() != Some(&self.wanted)).then(|| self.write())
    }

    fn write(&mut self) -> OrderAction {
        self.marks += 1;
        self.busy = true;
        let write_id = format!("{PLAN_GROUP}-{}-{}", self.fence.0, self.marks);
        let entries = self.wanted.iter().map(|(target, change)| {
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

    /// Notes what a read of the plan found.
    pub fn note_read(
        &mut self,
        result: &Result<Option<StoredObject>, PlatformError>,
        now: MonoTime,
    ) {
        self.busy = false;
        let Ok(found) = result else {
            self.call_at = now.plus(CALL_PAUSE);
            return;
        };
        let version = found.as_ref().map_or(ObjectVersion(0), |s| s.version);
        if version < self.version {
            self.call_at = now.plus(CALL_PAUSE);
            return;
        }
        self.must_read = false;
        self.version = version;
        let record = found.as_ref().and_then(OrderRecord::decode);
        let record = record.unwrap_or_default();
        if record.fence > self.fence {
            self.fenced_by = Some(record.fence);
        }
        let own = record.fence == self.fence;
        self.stored = own.then(|| wishes_of(&record));
    }

    /// Notes the answer to a write.
    pub fn note_write(&mut self, result: &Result<ObjectVersion, PlatformError>, now: MonoTime) {
        self.busy = false;
        // A write that landed is read back: it may be older than what is wanted by now.
        self.must_read = true;
        if let Err(PlatformError::Unavailable { .. }) = result {
            self.call_at = now.plus(CALL_PAUSE);
        }
        if let Ok(version) = result {
            self.version = *version;
        }
    }
}

/// Returns the wishes in a plan or the changes in a group's record.
#[must_use]
pub fn wishes_of(record: &OrderRecord) -> IndexMap<TargetId, PlannedChange> {
    let entries = record.entries.iter();
    entries
        .map(|(target, entry)| (target.clone(), entry.change.clone()))
        .collect()
}
