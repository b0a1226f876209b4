//! Remembers the processes that are leaving, so that no older report puts them back
//! into use.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::names::{MonoTime, ProcessIncarnation, TargetId};
use crate::store::wire::InstanceState;

/// Maximum number of departures; beyond it, the one not reported for the longest time
/// is dropped.
pub const MAX_DEPARTURES: usize = 20_000;

/// Identifies a process by its name and address, which stay the same while it runs.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ProcessKey {
    /// Name of the daemon or target.
    pub id: String,
    /// Address it listens on.
    pub address: String,
}

/// A target that stated that it is leaving.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TargetDepartureReport {
    /// The target.
    pub target: TargetId,
    /// Its address.
    pub address: String,
    /// Incarnation of its process, if known to the sender.
    pub incarnation: Option<ProcessIncarnation>,
}

#[derive(Clone, Copy, Debug)]
struct DepartureRecord {
    incarnation: Option<ProcessIncarnation>,
    last_contact: MonoTime,
    // A newer incarnation was seen; a report of "leaving" may still be about the older
    // one.
    superseded: bool,
}

/// Processes known to be leaving.
///
/// The instance list lags and is read from replicas, so a list that still says "live"
/// may be older than the one that said "leaving". Trusting it would send new work to a
/// process that is about to exit. A departure therefore stays in force until a newer
/// incarnation is seen, or until no source has reported the process for some time.
#[derive(Clone, Debug)]
pub struct DepartureTable {
    retention: Duration,
    records: IndexMap<ProcessKey, DepartureRecord>,
}

impl DepartureTable {
    /// Creates a table that drops departures not reported for `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            records: IndexMap::new(),
        }
    }

    /// Records a report that a process is leaving.
    pub fn record_leaving(
        &mut self,
        process_key: &ProcessKey,
        incarnation: Option<ProcessIncarnation>,
        now: MonoTime,
    ) {
        if let Some(record) = self.records.get_mut(process_key) {
            record.last_contact = now;
            record.superseded &= incarnation < record.incarnation;
            record.incarnation = record.incarnation.max(incarnation);
            return;
        }
        self.make_room();
        let record = DepartureRecord {
            incarnation,
            last_contact: now,
            superseded: false,
        };
        self.records.insert(process_key.clone(), record);
    }

    /// Applies a row of the instance list.
    pub fn apply_row(
        &mut self,
        process_key: &ProcessKey,
        state: InstanceState,
        incarnation: Option<ProcessIncarnation>,
        now: MonoTime,
    ) {
        match (state, self.records.get_mut(process_key)) {
            (InstanceState::Leaving, None) => self.record_leaving(process_key, incarnation, now),
            (InstanceState::Leaving, Some(record)) => record.last_contact = now,
            (InstanceState::Live, Some(record)) if record.superseded => {
                self.records.swap_remove(process_key);
            }
            (InstanceState::Live, Some(record)) => record.last_contact = now,
            (InstanceState::Live, None) => {}
        }
    }

    /// Records the incarnation that a process itself reported.
    pub fn record_incarnation(
        &mut self,
        process_key: &ProcessKey,
        incarnation: ProcessIncarnation,
    ) {
        let Some(record) = self.records.get_mut(process_key) else {
            return;
        };
        match record.incarnation {
            None => record.incarnation = Some(incarnation),
            Some(departed) if incarnation > departed => {
                record.incarnation = Some(incarnation);
                record.superseded = true;
            }
            Some(_) => {}
        }
    }

    /// Returns whether a process is leaving.
    #[must_use]
    pub fn is_leaving(&self, process_key: &ProcessKey) -> bool {
        self.records.get(process_key).is_some_and(|r| !r.superseded)
    }

    /// Drops departures that have not been reported for the retention time.
    pub fn expire(&mut self, now: MonoTime) {
        let retention = self.retention;
        self.records
            .retain(|_, r| now.since(r.last_contact) < retention);
    }

    /// Returns the number of departures remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no departures are remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn make_room(&mut self) {
        if self.records.len() < MAX_DEPARTURES {
            return;
        }
        let oldest = self.records.iter().min_by_key(|(_, r)| r.last_contact);
        if let Some(process_key) = oldest.map(|(process_key, _)| process_key.clone()) {
            self.records.swap_remove(&process_key);
        }
    }
}
