//! Divides engines into groups and ranks the daemons that may hold each group's lease.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::membership::fleet::{DaemonView, FleetView, UseState};
use crate::names::{CentreName, DaemonId, GroupName, TargetId};
use crate::store::wire::InstanceKind;

/// Group whose holder plans roles for the whole fleet; it has no engines.
pub const PLAN_GROUP: &str = "plan";

/// Number of daemons that are candidates for a group's lease.
pub const MAX_CANDIDATES: usize = 3;

const HASH_PADDING_PERCENT: usize = 125;

/// Number of groups per data centre, as stored in the platform.
///
/// Daemons see different instance lists. If each derived the number of groups from its
/// own list, two daemons could assign one engine to two groups and order it at the same
/// time, each under a lease. The first daemon therefore stores the number permanently.
pub type GroupCounts = IndexMap<CentreName, u32>;

/// Returns how many groups a data centre starts with.
#[must_use]
pub fn initial_group_count(engines: usize, group_engines: usize) -> u32 {
    // Hashing distributes engines unevenly; without padding, the largest group would
    // exceed the limit.
    let padded_engines = (engines * HASH_PADDING_PERCENT).div_ceil(100);
    let groups = if engines <= group_engines {
        1
    } else {
        padded_engines.div_ceil(group_engines.max(1))
    };
    u32::try_from(groups.max(1)).unwrap_or(u32::MAX)
}

/// Returns the group of an engine.
#[must_use]
pub fn group_of(centre: &CentreName, target: &TargetId, count: u32) -> GroupName {
    let slot = xxh3_64(target.as_str().as_bytes()) % u64::from(count.max(1));
    GroupName::from(format!("{centre}-{slot}"))
}

/// Returns the engines of the fleet by group, for data centres with a known count.
#[must_use]
pub fn engine_groups(fleet: &FleetView, counts: &GroupCounts) -> IndexMap<TargetId, GroupName> {
    let engines = fleet
        .targets
        .values()
        .filter(|target| target.kind == InstanceKind::Engine && target.state != UseState::Gone);
    engines
        .filter_map(|target| {
            let count = counts.get(&target.data_centre)?;
            let group = group_of(&target.data_centre, &target.id, *count);
            Some((target.id.clone(), group))
        })
        .collect()
}

/// Counts the engines per data centre.
#[must_use]
pub fn engines_per_centre(fleet: &FleetView) -> IndexMap<CentreName, usize> {
    let mut counts = IndexMap::new();
    for target in fleet.targets.values() {
        if target.kind == InstanceKind::Engine && target.state != UseState::Gone {
            *counts.entry(target.data_centre.clone()).or_default() += 1;
        }
    }
    counts
}

/// Returns the groups that a daemon is a candidate for, with its rank in each.
///
/// The candidates are daemons of the group's data centre, in rendezvous order. Daemons
/// of other data centres are candidates only if it has none, and for [`PLAN_GROUP`]. They
/// are ranked regardless of their data centre, because no latencies are known by which to
/// prefer the near ones.
#[must_use]
pub fn local_ranks(
    fleet: &FleetView,
    counts: &GroupCounts,
    daemon_id: &DaemonId,
) -> IndexMap<GroupName, usize> {
    let mut ranks = IndexMap::new();
    for (centre, count) in counts {
        for slot in 0..*count {
            let group = GroupName::from(format!("{centre}-{slot}"));
            if let Some(rank) = rank_of(fleet, &group, Some(centre), daemon_id) {
                ranks.insert(group, rank);
            }
        }
    }
    let plan = GroupName::from(PLAN_GROUP);
    if let Some(rank) = rank_of(fleet, &plan, None, daemon_id) {
        ranks.insert(plan, rank);
    }
    ranks
}

fn rank_of(
    fleet: &FleetView,
    group: &GroupName,
    centre: Option<&CentreName>,
    daemon_id: &DaemonId,
) -> Option<usize> {
    let local = |d: &&DaemonView| centre.is_none_or(|c| d.data_centre == *c);
    let live = || fleet.daemons.values().filter(|d| d.state == UseState::Live);
    let has_local = live().any(|d| local(&d));
    let mut candidates: Vec<(u64, &DaemonId)> = live()
        .filter(|d| !has_local || local(d))
        .map(|d| (rendezvous(group, &d.id), &d.id))
        .collect();
    candidates.sort_unstable_by(|a, b| b.cmp(a));
    let rank = candidates.iter().position(|(_, id)| *id == daemon_id)?;
    (rank < MAX_CANDIDATES).then_some(rank)
}

/// Scores a daemon for a group; the highest score ranks first.
#[must_use]
pub fn rendezvous(group: &GroupName, daemon: &DaemonId) -> u64 {
    xxh3_64(format!("{group}\u{0}{daemon}").as_bytes())
}
