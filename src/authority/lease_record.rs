//! The lease object of a group of engines, as stored in the platform.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::names::{DaemonId, FenceNumber, GroupName, ProcessIncarnation};
use crate::ports::{ObjectName, StoredObject};

/// Kind of the lease objects.
pub const LEASE_KIND: &str = "leases";

/// Contents of a lease object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseRecord {
    /// Daemon that holds or held the lease.
    pub holder: DaemonId,
    /// Incarnation of the holder's process.
    pub incarnation: ProcessIncarnation,
    /// Fence: a number that rises with each acquisition, so that engines can refuse orders
    /// of earlier holders.
    pub fence: FenceNumber,
    /// Unique id of the write.
    pub write_id: String,
    /// Whether the holder has released the lease.
    pub released: bool,
    /// Whether an order may still be in flight after the release.
    pub order_in_flight: bool,
}

/// Why a lease object could not be read.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("leases/{name} cannot be read ({reason}); restore it or update this daemon")]
pub struct LeaseRecordError {
    /// Object concerned.
    pub name: String,
    /// What is wrong with it.
    pub reason: String,
}

#[derive(Deserialize, Serialize)]
struct LeaseWire {
    holder: DaemonId,
    incarnation: ProcessIncarnation,
    fence: FenceNumber,
    #[serde(rename = "mark")]
    write_id: String,
    #[serde(default)]
    released: bool,
    #[serde(default, rename = "unsettled")]
    order_in_flight: bool,
}

impl From<&LeaseRecord> for LeaseWire {
    fn from(record: &LeaseRecord) -> Self {
        Self {
            holder: record.holder.clone(),
            incarnation: record.incarnation,
            fence: record.fence,
            write_id: record.write_id.clone(),
            released: record.released,
            order_in_flight: record.order_in_flight,
        }
    }
}

impl From<LeaseWire> for LeaseRecord {
    fn from(wire: LeaseWire) -> Self {
        Self {
            holder: wire.holder,
            incarnation: wire.incarnation,
            fence: wire.fence,
            write_id: wire.write_id,
            released: wire.released,
            order_in_flight: wire.order_in_flight,
        }
    }
}

impl LeaseRecord {
    /// Returns the value to store.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(&LeaseWire::from(self)).unwrap_or_default()
    }

    /// Decodes a record from its object.
    ///
    /// # Errors
    ///
    /// Returns an error if the object was deleted or its value is not a lease record:
    /// counting fences from zero again could yield one below those that engines have
    /// seen.
    pub fn decode(stored: &StoredObject) -> Result<Self, LeaseRecordError> {
        let refuse = |reason: String| LeaseRecordError {
            name: stored.object.name.clone(),
            reason,
        };
        let value = stored.value.as_deref();
        let value = value.ok_or_else(|| refuse("it was deleted".to_owned()))?;
        let wire: LeaseWire = serde_json::from_slice(value).map_err(|e| refuse(e.to_string()))?;
        Ok(Self::from(wire))
    }
}

/// Returns the object that holds a group's lease.
#[must_use]
pub fn lease_object(group: &GroupName) -> ObjectName {
    ObjectName {
        kind: LEASE_KIND.to_owned(),
        name: group.to_string(),
    }
}
