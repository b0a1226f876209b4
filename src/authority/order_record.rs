//! The object that stores a group's orders before they are sent.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::names::{FenceNumber, GroupName, TargetId};
use crate::ports::{ObjectName, StoredObject};
use crate::targets::wire::{EngineRole, OrderId};

/// Kind of the order objects, and of the plan.
pub const ORDER_KIND: &str = "orders";

/// State that an engine is to have, given in full rather than as a difference.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlannedChange {
    /// Planned role.
    pub role: EngineRole,
    /// Models to have loaded.
    pub models: Vec<String>,
    /// Reason, for operators.
    pub reason: String,
}

/// Progress of an engine's change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderPhase {
    /// The engine gets no new work; running work finishes before the order.
    Draining,
    /// The order is stored, and sent or about to be sent.
    Ordered(OrderId),
}

/// A change of one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderEntry {
    /// Planned state.
    pub change: PlannedChange,
    /// Progress.
    pub phase: OrderPhase,
}

/// Orders of a group as stored.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OrderRecord {
    /// Fence of the holder that wrote it.
    pub fence: FenceNumber,
    /// Unique id of the write.
    pub write_id: String,
    /// Number of the last order; never reused.
    pub last_order: u64,
    /// Changes in progress, at most one per engine.
    pub entries: IndexMap<TargetId, OrderEntry>,
}

#[derive(Deserialize, Serialize)]
struct EntryWire {
    #[serde(rename = "wish")]
    change: PlannedChange,
    #[serde(default)]
    ordered: Option<OrderId>,
}

#[derive(Deserialize, Serialize)]
struct RecordWire {
    fence: FenceNumber,
    #[serde(rename = "mark")]
    write_id: String,
    last_order: u64,
    entries: IndexMap<TargetId, EntryWire>,
}

impl From<&OrderRecord> for RecordWire {
    fn from(record: &OrderRecord) -> Self {
        let entries = record.entries.iter().map(|(target, entry)| {
            let ordered = match &entry.phase {
                OrderPhase::Draining => None,
                OrderPhase::Ordered(order_id) => Some(order_id.clone()),
            };
            let change = entry.change.clone();
            (target.clone(), EntryWire { change, ordered })
        });
        Self {
            fence: record.fence,
            write_id: record.write_id.clone(),
            last_order: record.last_order,
            entries: entries.collect(),
        }
    }
}

impl From<RecordWire> for OrderRecord {
    fn from(wire: RecordWire) -> Self {
        let entries = wire.entries.into_iter().map(|(target, entry)| {
            let phase = entry
                .ordered
                .map_or(OrderPhase::Draining, OrderPhase::Ordered);
            let change = entry.change;
            (target, OrderEntry { change, phase })
        });
        Self {
            fence: wire.fence,
            write_id: wire.write_id,
            last_order: wire.last_order,
            entries: entries.collect(),
        }
    }
}

impl OrderRecord {
    /// Returns the value to store.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(&RecordWire::from(self)).unwrap_or_default()
    }

    /// Drops the drains of an earlier holder: a drain only announces an order, and that
    /// holder sends none any more.
    pub fn drop_drains(&mut self) {
        self.entries
            .retain(|_, entry| entry.phase != OrderPhase::Draining);
    }

    /// Decodes a record; `None` if the value is not one.
    #[must_use]
    pub fn decode(stored: &StoredObject) -> Option<Self> {
        let value = stored.value.as_deref()?;
        let wire: RecordWire = serde_json::from_slice(value).ok()?;
        Some(Self::from(wire))
    }
}

/// Returns the object that records a group's orders.
#[must_use]
pub fn order_object(group: &GroupName) -> ObjectName {
    ObjectName {
        kind: ORDER_KIND.to_owned(),
        name: group.to_string(),
    }
}
