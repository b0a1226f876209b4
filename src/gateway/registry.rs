//! Targets as the store shows them, with entries that vanish without reason kept a while.
//!
//! Entries expire while the store is away although their targets live. Taking each
//! disappearance as a departure would empty the fleet after an outage; keeping
//! each would send work to targets that are gone. So: an entry that disappears
//! while the store was answering all the time is gone at once, one that
//! disappears around an outage has [`REAPPEAR_TIME`] from the store's return.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::model::TargetRecord;
use crate::names::{MonoTime, ServiceName, TargetId};

/// Time in which entries of living targets are back after the store's return,
/// as the users state it (about two seconds).
pub const REAPPEAR_TIME: Duration = Duration::from_millis(2_000);
/// How long after its last failure the store counts as just returned.
pub const RETURN_TIME: Duration = Duration::from_millis(2_500);

#[derive(Clone, Debug)]
struct TargetEntry {
    record: Arc<TargetRecord>,
    // When an entry that is missing is given up.
    gone_at: Option<MonoTime>,
}

/// All targets known.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    entries: IndexMap<TargetId, TargetEntry>,
    // Targets that announced their departure. An older entry may be seen later,
    // from a peer or a stale read; leaving stays leaving for the target's life.
    departed: IndexMap<TargetId, MonoTime>,
    store_failed_at: Option<MonoTime>,
}

/// How long the identity of a departed target is remembered: longer than any
/// stale view of it can arrive.
const DEPARTED_TIME: Duration = Duration::from_secs(120);

impl TargetRegistry {
    /// Notes that the store did not answer.
    pub fn note_store_failure(&mut self, now: MonoTime) {
        self.store_failed_at = Some(now);
    }

    /// Takes a whole listing.
    pub fn replace(&mut self, records: Vec<TargetRecord>, now: MonoTime) {
        let listed: Vec<TargetId> = records.iter().map(|r| r.id.clone()).collect();
        for record in records {
            self.set(record, now);
        }
        let missing: Vec<TargetId> = self
            .entries
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id, now);
        }
    }

    /// Takes one entry.
    pub fn set(&mut self, record: TargetRecord, now: MonoTime) {
        if self.departed.contains_key(&record.id) {
            return;
        }
        if record.leaving {
            self.depart(&record.id, now);
            return;
        }
        let id = record.id.clone();
        let entry = TargetEntry {
            record: Arc::new(record),
            gone_at: None,
        };
        self.entries.insert(id, entry);
    }

    /// Takes the disappearance of an entry.
    pub fn remove(&mut self, id: &TargetId, now: MonoTime) {
        if !self.just_returned(now) {
            self.entries.swap_remove(id);
            return;
        }
        if let Some(entry) = self.entries.get_mut(id) {
            entry.gone_at.get_or_insert(now.plus(REAPPEAR_TIME));
        }
    }

    /// Takes a target's departure, announced by itself or noticed by an answer.
    pub fn depart(&mut self, id: &TargetId, now: MonoTime) {
        self.entries.swap_remove(id);
        self.departed.insert(id.clone(), now);
    }

    /// Gives up entries that did not come back in time; true when some were.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| entry.gone_at.is_none_or(|at| now < at));
        self.departed.retain(|_, at| now.since(*at) < DEPARTED_TIME);
        before != self.entries.len()
    }

    /// Targets that may get work, by service, in an order that all daemons share.
    #[must_use]
    pub fn by_service(&self) -> IndexMap<ServiceName, Vec<Arc<TargetRecord>>> {
        let mut services: IndexMap<ServiceName, Vec<Arc<TargetRecord>>> = IndexMap::new();
        for entry in self.entries.values() {
            let service = entry.record.service.clone();
            services
                .entry(service)
                .or_default()
                .push(entry.record.clone());
        }
        for records in services.values_mut() {
            records.sort_by(|a, b| a.id.cmp(&b.id));
        }
        services
    }

    /// Whether a target announced its departure.
    #[must_use]
    pub fn has_departed(&self, id: &TargetId) -> bool {
        self.departed.contains_key(id)
    }

    /// Identities of departed targets that are still remembered.
    pub fn departed(&self) -> impl Iterator<Item = &TargetId> {
        self.departed.keys()
    }

    fn just_returned(&self, now: MonoTime) -> bool {
        self.store_failed_at
            .is_some_and(|at| now.since(at) < RETURN_TIME)
    }
}
