//! Shard owners follow the fleet and are determined once per version of it.

use pistachiowick::intents::link::shard_owner;
use pistachiowick::membership::fleet::{DaemonView, FleetView, UseState};
use pistachiowick::names::{DaemonId, ProcessIncarnation};
use pistachiowick::requests::owner_cache::OwnerCache;
use rstest::rstest;

const SHARDS: u32 = 16;

fn fleet(version: u64, daemons: &[(&str, UseState)]) -> FleetView {
    let views = daemons.iter().map(|(name, state)| {
        let id = DaemonId::from(*name);
        let view = DaemonView {
            id: id.clone(),
            address: "127.0.0.1:1".to_owned(),
            peer_address: "127.0.0.1:2".to_owned(),
            data_centre: "centre-a".into(),
            incarnation: ProcessIncarnation(1),
            state: *state,
        };
        (id, view)
    });
    FleetView {
        version,
        daemons: views.collect(),
        ..FleetView::default()
    }
}

fn owners(cache: &OwnerCache, fleet: &FleetView) -> Vec<Option<DaemonId>> {
    (0..SHARDS).map(|shard| cache.owner(shard, fleet)).collect()
}

fn hashed(names: &[&str]) -> Vec<Option<DaemonId>> {
    let ids: Vec<_> = names.iter().map(|name| DaemonId::from(*name)).collect();
    (0..SHARDS)
        .map(|shard| shard_owner(shard, ids.iter()).cloned())
        .collect()
}

struct OwnerCase {
    /// Views in the order in which they are passed to the cache.
    seen: &'static [(u64, &'static [(&'static str, UseState)])],
    /// Daemons among which the owners are chosen after the last view.
    among: &'static [&'static str],
}

const BOTH: &[(&str, UseState)] = &[("a", UseState::Live), ("b", UseState::Live)];
const B_LEAVES: &[(&str, UseState)] = &[("a", UseState::Live), ("b", UseState::Leaving)];

#[rstest]
#[case::no_daemons(OwnerCase { seen: &[(0, &[])], among: &[] })]
#[case::first(OwnerCase { seen: &[(1, BOTH)], among: &["a", "b"] })]
#[case::first_at_version_zero(OwnerCase { seen: &[(0, BOTH)], among: &["a", "b"] })]
#[case::one_leaves(OwnerCase { seen: &[(1, BOTH), (2, B_LEAVES)], among: &["a"] })]
#[case::back_to_an_older_view(OwnerCase { seen: &[(2, B_LEAVES), (1, BOTH)], among: &["a", "b"] })]
#[case::same_version_is_not_hashed_again(OwnerCase { seen: &[(1, BOTH), (1, B_LEAVES)], among: &["a", "b"] })]
fn owners_are_found_once_per_version(#[case] case: OwnerCase) {
    let cache = OwnerCache::default();
    let mut found = Vec::new();
    for (version, daemons) in case.seen {
        found = owners(&cache, &fleet(*version, daemons));
    }
    assert_eq!(found, hashed(case.among));
}
