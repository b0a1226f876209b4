//! Cache of shard owners for one version of the fleet.

use std::sync::{Mutex, PoisonError};

use indexmap::IndexMap;

use crate::intents::link::shard_owner;
use crate::membership::fleet::{FleetView, UseState};
use crate::names::DaemonId;

/// Shard owners for one version of the fleet.
#[derive(Debug, Default)]
struct CachedOwners {
    version: u64,
    owners: IndexMap<u32, Option<DaemonId>>,
}

/// Finds the owner of a shard among the live daemons, once per version of the fleet:
/// hashing hundreds of daemons for each write would cost more than the write.
#[derive(Debug, Default)]
pub struct OwnerCache {
    cached: Mutex<CachedOwners>,
}

impl OwnerCache {
    /// Returns the owner of a shard; `None` when no daemon is live.
    pub fn owner(&self, shard: u32, fleet: &FleetView) -> Option<DaemonId> {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        // Also for a lower version: a thread may pass a view older than the last one.
        if cached.version != fleet.version {
            cached.version = fleet.version;
            cached.owners.clear();
        }
        let owner = cached.owners.entry(shard);
        owner.or_insert_with(|| live_owner(shard, fleet)).clone()
    }
}

fn live_owner(shard: u32, fleet: &FleetView) -> Option<DaemonId> {
    let daemons = fleet.daemons.values();
    let live = daemons.filter(|d| d.state == UseState::Live).map(|d| &d.id);
    shard_owner(shard, live).cloned()
}
