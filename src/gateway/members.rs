//! The daemons of the fleet: their records in the store.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::names::{CentreName, DaemonId};

/// A daemon's record in the store, which it writes when it starts and when it stops, and again if
/// the store loses it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DaemonRecord {
    /// Name of the daemon; one record per name.
    pub id: DaemonId,
    /// Identifies this run of the daemon among all runs under its name.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address that other daemons connect to.
    pub peers: SocketAddr,
    /// Address to which other daemons hand requests over, if it serves such requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub handovers: Option<SocketAddr>,
    /// Data centre that it runs in.
    pub centre: CentreName,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Capacity of its instance; 0 where not stated.
    #[serde(default, rename = "strength")]
    pub capacity: InstanceCapacity,
}

/// Capacity of an instance, ordered by what a hub needs most: CPU time, then network
/// bandwidth, then memory.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct InstanceCapacity {
    /// CPU, in thousandths of a core.
    pub core_thousandths: u32,
    /// Network bandwidth, in megabits per second.
    pub link_mbps: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
}

/// A daemon record that cannot be decoded.
#[derive(Debug, Error)]
#[error(
    "ignoring daemon record {name:?}, which cannot be decoded ({reason}); delete it if it persists"
)]
pub struct RecordError {
    /// Name of the object.
    pub name: String,
    /// Why it cannot be decoded.
    pub reason: String,
}

impl DaemonRecord {
    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns an error when the value is not a daemon record.
    pub fn decode(name: &str, value: &[u8]) -> Result<Self, RecordError> {
        serde_json::from_slice(value).map_err(|error| RecordError {
            name: name.to_owned(),
            reason: error.to_string(),
        })
    }

    /// Encodes the record as a value for the store.
    ///
    /// # Panics
    ///
    /// Never: plain fields can always be encoded.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain fields can be encoded")
    }
}

/// Daemon records by name, as last read from the store.
#[derive(Clone, Debug, Default)]
pub struct DaemonTable {
    records: IndexMap<String, DaemonRecord>,
}

impl DaemonTable {
    /// Sets a record, or removes it when it was deleted.
    pub fn set(&mut self, name: &str, record: Option<DaemonRecord>) {
        match record {
            Some(record) => {
                self.records.insert(name.to_owned(), record);
            }
            None => {
                self.records.swap_remove(name);
            }
        }
    }

    /// Removes all records before a full listing is applied.
    pub fn clear(&mut self) {
        self.records.clear();
    }

    /// Returns whether a daemon's record is exactly this one.
    #[must_use]
    pub fn holds(&self, record: &DaemonRecord) -> bool {
        self.records.get(record.id.as_str()) == Some(record)
    }

    /// Returns all records sorted by name, so that all daemons see the same order.
    #[must_use]
    pub fn all(&self) -> Vec<DaemonRecord> {
        let mut all: Vec<_> = self.records.values().cloned().collect();
        all.sort_by(|a, b| a.id.cmp(&b.id));
        all
    }
}
