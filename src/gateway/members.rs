//! The daemons of the fleet: their records in the store and who takes callers.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::names::{CentreName, DaemonId};

/// A daemon's own record, written when it starts and when it stops.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DaemonRecord {
    /// Name of the daemon; one record per name.
    pub id: DaemonId,
    /// Distinguishes lives of a daemon of the same name.
    pub life: u64,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other daemons connect.
    pub peers: SocketAddr,
    /// Where it runs.
    pub centre: CentreName,
    /// Whether it is stopping.
    pub leaving: bool,
    /// What its instance carries; 0 where that is not stated.
    #[serde(default)]
    pub strength: InstanceCapacity,
}

/// What an instance carries, by what a hub needs most: its processor's time, then its
/// link, then its memory.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct InstanceCapacity {
    /// Thousandths of a core.
    pub core_thousandths: u32,
    /// Megabits a second.
    pub link_mbps: u32,
    /// Megabytes.
    pub memory_mb: u32,
}

/// A record that cannot be read.
#[derive(Debug, Error)]
#[error("daemon record {name:?} cannot be read ({reason}); it is left out, delete it if it stays")]
pub struct RecordFault {
    /// Name of the object.
    pub name: String,
    /// What is wrong.
    pub reason: String,
}

impl DaemonRecord {
    /// Reads a record.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the object.
    pub fn decode(name: &str, value: &[u8]) -> Result<Self, RecordFault> {
        serde_json::from_slice(value).map_err(|error| RecordFault {
            name: name.to_owned(),
            reason: error.to_string(),
        })
    }

    /// Writes the record as a value of the store.
    ///
    /// # Panics
    ///
    /// Never: plain fields always encode.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain fields encode")
    }
}

/// Records by name, as the store last showed them.
#[derive(Clone, Debug, Default)]
pub struct MemberBook {
    records: IndexMap<String, DaemonRecord>,
}

impl MemberBook {
    /// Takes a record or its deletion.
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

    /// Forgets everything before a whole listing.
    pub fn clear(&mut self) {
        self.records.clear();
    }

    /// Whether a daemon has a record.
    #[must_use]
    pub fn holds(&self, daemon: &DaemonId) -> bool {
        self.records.contains_key(daemon.as_str())
    }

    /// All records, in the order of their names, so that all daemons see the same order.
    #[must_use]
    pub fn all(&self) -> Vec<DaemonRecord> {
        let mut all: Vec<_> = self.records.values().cloned().collect();
        all.sort_by(|a, b| a.id.cmp(&b.id));
        all
    }
}
