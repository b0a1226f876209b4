//! Targets by pool, in an order that splits each pool into a prefill and a decode side.
//!
//! Everything that admission and placement need to know about a pool is computed once per view
//! of the fleet, so that neither iterates over the pool for each request.

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64;

use crate::decide::placement::{ModelLabel, PoolKey, PoolSide};
use crate::membership::fleet::{FleetView, LoadReport, TargetView, UseState};
use crate::names::{ModelName, TargetId};
use crate::store::wire::InstanceKind;
use crate::targets::wire::EngineRole;

/// Candidates by pool, rebuilt when the fleet's shape changes.
///
/// A pool has the same order on every daemon: prefill engines first, decode engines
/// last. The first engines form the prefill side, so all daemons split a pool at nearly
/// the same position without coordination.
#[derive(Clone, Debug, Default)]
pub struct CandidateIndex {
    pools: IndexMap<PoolKey, TargetPool>,
}

/// Targets of one pool and what is known of the pool as a whole.
#[derive(Clone, Debug, Default)]
struct TargetPool {
    targets: IndexSet<TargetId>,
    /// Number of live targets before each position; the last entry is the total.
    live_before: Vec<usize>,
    roles: IndexSet<EngineRole>,
    usable: bool,
}

impl TargetPool {
    fn add(&mut self, target: &TargetView) {
        if self.live_before.is_empty() {
            self.live_before.push(0);
        }
        let live = self.live_before[self.targets.len()];
        let is_live = usize::from(target.state == UseState::Live);
        self.live_before.push(live + is_live);
        self.targets.insert(target.id.clone());
        self.roles.extend(target.report.as_ref().map(|r| r.role));
        self.usable |= target.state <= UseState::Suspect;
    }
}

/// Targets of one side of a pool.
#[derive(Clone, Copy, Debug)]
pub struct CandidateSide<'a> {
    pool: &'a TargetPool,
    first: usize,
    end: usize,
}

impl<'a> CandidateSide<'a> {
    /// Returns the number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.end - self.first
    }

    /// Returns whether there is no target.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the target at a position below [`Self::len`]; `None` for any other.
    #[must_use]
    pub fn get(&self, position: usize) -> Option<&'a TargetId> {
        let position = self.first + position;
        (position < self.end)
            .then(|| self.pool.targets.get_index(position))
            .flatten()
    }

    /// Returns whether a target is on this side.
    #[must_use]
    pub fn contains(&self, target: &TargetId) -> bool {
        let position = self.pool.targets.get_index_of(target);
        position.is_some_and(|at| (self.first..self.end).contains(&at))
    }

    /// Returns the targets in the order of the pool.
    pub fn iter(&self) -> impl Iterator<Item = &'a TargetId> + use<'a> {
        let side = *self;
        (0..side.len()).filter_map(move |position| side.get(position))
    }

    /// Returns the number of live targets.
    #[must_use]
    pub fn live(&self) -> usize {
        let live = &self.pool.live_before;
        match (live.get(self.first), live.get(self.end)) {
            (Some(before), Some(through_last)) => through_last - before,
            _ => 0,
        }
    }
}

impl CandidateIndex {
    /// Builds the index of a fleet.
    #[must_use]
    pub fn build(fleet: &FleetView) -> Self {
        let mut pools: IndexMap<PoolKey, TargetPool> = IndexMap::new();
        let mut targets: Vec<&TargetView> = fleet.targets.values().collect();
        targets.sort_by_cached_key(|t| (prefill_rank(t), xxh3_64(t.id.as_str().as_bytes())));
        for target in targets {
            for pool in pools_of(target) {
                pools.entry(pool).or_default().add(target);
            }
        }
        Self { pools }
    }

    /// Returns whether a pool has a live or suspect target.
    #[must_use]
    pub fn is_usable(&self, pool: &PoolKey) -> bool {
        self.pools.get(pool).is_some_and(|p| p.usable)
    }

    /// Returns the roles of a pool's engines.
    pub fn roles(&self, pool: &PoolKey) -> impl Iterator<Item = EngineRole> {
        let pool = self.pools.get(pool);
        pool.into_iter().flat_map(|p| p.roles.iter().copied())
    }

    /// Returns the targets of one side, where `prefill_share` of the work belongs to the
    /// prefill side; `None` for an unknown pool.
    ///
    /// A side is never empty while there is work for it, and a pool of one target is not
    /// split.
    #[must_use]
    pub fn side(
        &self,
        pool: &PoolKey,
        side: PoolSide,
        prefill_share: f64,
    ) -> Option<CandidateSide<'_>> {
        let pool = self.pools.get(pool)?;
        let count = pool.targets.len();
        let (mut first, mut end) = (0, count);
        if count >= 2 && prefill_share > 0.0 && prefill_share < 1.0 {
            let prefill_count = (prefill_share * count as f64).round() as usize;
            let split = prefill_count.clamp(1, count - 1);
            match side {
                PoolSide::Prefill => end = split,
                PoolSide::Decode => first = split,
            }
        }
        Some(CandidateSide { pool, first, end })
    }
}

/// Returns whether two views give the same index: the same targets in the same states,
/// roles and pools.
#[must_use]
pub fn has_same_candidates(old: &FleetView, new: &FleetView) -> bool {
    if old.version == new.version {
        return old.targets.len() == new.targets.len();
    }
    let pairs = old.targets.values().zip(new.targets.values());
    let mut same = pairs.map(|(old, new)| is_same_target(old, new));
    old.targets.len() == new.targets.len() && same.all(|same| same)
}

fn is_same_target(old: &TargetView, new: &TargetView) -> bool {
    old.id == new.id
        && old.state == new.state
        && old.kind == new.kind
        && old.service == new.service
        && has_same_role_and_models(old.report.as_ref(), new.report.as_ref())
}

fn has_same_role_and_models(old: Option<&LoadReport>, new: Option<&LoadReport>) -> bool {
    match (old, new) {
        (Some(old), Some(new)) => old.role == new.role && old.models == new.models,
        (old, new) => old.is_none() && new.is_none(),
    }
}

fn prefill_rank(target: &TargetView) -> u8 {
    match target.report.as_ref().map(|r| r.role) {
        Some(EngineRole::Prefill) => 0,
        Some(EngineRole::Mixed) | None => 1,
        Some(EngineRole::Decode) => 2,
    }
}

fn pools_of(target: &TargetView) -> Vec<PoolKey> {
    match target.kind {
        InstanceKind::Entry => Vec::new(),
        InstanceKind::Service => target
            .service
            .iter()
            .cloned()
            .map(PoolKey::Service)
            .collect(),
        InstanceKind::Engine => {
            let models = target.report.iter().flat_map(|r| r.models.iter());
            let mut names: Vec<ModelName> = models
                .map(|label| ModelName::from(ModelLabel::parse(label).name))
                .collect();
            names.sort();
            names.dedup();
            names.into_iter().map(PoolKey::Model).collect()
        }
    }
}
