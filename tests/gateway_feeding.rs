//! Where a daemon gets the store's objects from, and what hubs relay.

use std::time::Duration;

use pistachiowick::gateway::peers::feeding::{
    FeedState, FeedSubscription, StoreSnapshot, choose_watch_mode,
};
use pistachiowick::gateway::peers::hub::PeerRole;
use pistachiowick::gateway::peers::wire::FeedObjects;
use pistachiowick::gateway::settings::GatewaySettings;
use pistachiowick::gateway::store_follow::{Feed, WatchMode};
use pistachiowick::names::{DaemonId, MonoTime};
use rstest::rstest;
use serde_bytes::ByteBuf;
use serde_json::json;

fn member() -> PeerRole {
    PeerRole::Member(DaemonId::from("hub"))
}

struct ModeCase {
    role: fn() -> PeerRole,
    subscribed: bool,
    current: bool,
    hub_reachable: bool,
    starting: Option<WatchMode>,
    mode: WatchMode,
}

// Guards against a burst of store calls when a hub of 39 members is replaced: if each member
// listed everything at once, that would be 350 calls. A member keeps the objects it got until
// a change could be overdue, and so does a hub; a daemon that starts waits for its hub first.
#[rstest]
#[case::small_fleet(ModeCase { role: || PeerRole::Mesh, subscribed: false, current: false, hub_reachable: false, starting: None, mode: WatchMode::Alone })]
#[case::first_start(ModeCase { role: || PeerRole::Mesh, subscribed: false, current: false, hub_reachable: false, starting: Some(WatchMode::Gathering), mode: WatchMode::Gathering })]
#[case::subscribed_member(ModeCase { role: member, subscribed: true, current: true, hub_reachable: false, starting: None, mode: WatchMode::Fed })]
#[case::hub_just_failed(ModeCase { role: member, subscribed: false, current: true, hub_reachable: false, starting: None, mode: WatchMode::Fed })]
#[case::hub_failed(ModeCase { role: member, subscribed: false, current: false, hub_reachable: false, starting: None, mode: WatchMode::WithoutHub })]
#[case::hub_without_store(ModeCase { role: member, subscribed: false, current: false, hub_reachable: true, starting: None, mode: WatchMode::BesideHub })]
#[case::restarted(ModeCase { role: member, subscribed: false, current: false, hub_reachable: false, starting: Some(WatchMode::Starting), mode: WatchMode::Starting })]
#[case::first_hub(ModeCase { role: || PeerRole::Hub, subscribed: false, current: false, hub_reachable: false, starting: None, mode: WatchMode::ForOthers })]
#[case::other_hub(ModeCase { role: || PeerRole::Hub, subscribed: true, current: true, hub_reachable: false, starting: None, mode: WatchMode::Fed })]
#[case::alone_so_far(ModeCase { role: || PeerRole::Hub, subscribed: false, current: false, hub_reachable: false, starting: Some(WatchMode::Gathering), mode: WatchMode::Gathering })]
fn watch_mode_by_role_and_state(#[case] case: ModeCase) {
    let state = FeedState {
        subscribed: case.subscribed,
        current: case.current,
        hub_reachable: case.hub_reachable,
        starting: case.starting,
    };
    assert_eq!(choose_watch_mode(&(case.role)(), state), case.mode);
}

struct ReadCase {
    mode: WatchMode,
    lists: &'static [Feed],
    watches: &'static [Feed],
}

const ALL: &[Feed] = &[Feed::Config, Feed::Targets, Feed::Daemons];

// When a whole fleet starts, listings by all daemons at once delay every daemon.
#[rstest]
#[case::first_start(ReadCase { mode: WatchMode::Gathering, lists: &[Feed::Daemons], watches: &[Feed::Daemons] })]
#[case::restart(ReadCase { mode: WatchMode::Starting, lists: ALL, watches: &[Feed::Daemons] })]
#[case::alone(ReadCase { mode: WatchMode::Alone, lists: ALL, watches: ALL })]
#[case::without_hub(ReadCase { mode: WatchMode::WithoutHub, lists: ALL, watches: ALL })]
#[case::beside_hub(ReadCase { mode: WatchMode::BesideHub, lists: ALL, watches: ALL })]
#[case::for_others(ReadCase { mode: WatchMode::ForOthers, lists: ALL, watches: ALL })]
#[case::subscribed_member(ReadCase { mode: WatchMode::Fed, lists: &[], watches: &[] })]
fn feeds_listed_and_watched_in_each_mode(#[case] case: ReadCase) {
    let listed: Vec<Feed> = ALL
        .iter()
        .copied()
        .filter(|f| case.mode.lists(*f))
        .collect();
    assert_eq!(listed, case.lists);
    let watched: Vec<Feed> = ALL
        .iter()
        .copied()
        .filter(|f| case.mode.watches(*f))
        .collect();
    assert_eq!(watched, case.watches);
}

// The age of relayed objects counts from the hub's last response from the store, not from
// the failure of the hub: the hub may have been cut off from the store before.
#[test]
fn relayed_objects_stay_current_for_a_limited_time() {
    let hub = DaemonId::from("hub");
    let within = Duration::from_millis(1_700);
    let mut subscription = FeedSubscription::default();
    subscription.record_store_contact(Some(MonoTime(1_000)));
    assert!(
        !subscription.is_current(within, MonoTime(1_000)),
        "nothing was relayed"
    );
    subscription.subscribe(Some(&hub), MonoTime(1_000));
    assert!(subscription.awaits(&hub, 1));
    subscription.apply_snapshot(&hub, true);
    subscription.record_store_contact(Some(MonoTime(2_000)));
    assert!(subscription.subscribe(None, MonoTime(2_500)).is_none());
    subscription.record_store_contact(Some(MonoTime(9_000)));
    assert!(subscription.is_current(within, MonoTime(3_600)));
    assert!(!subscription.is_current(within, MonoTime(3_700)));
}

type Listed = &'static [(&'static str, u64)];

struct RelayCase {
    before: Option<Listed>,
    read: Listed,
    whole: bool,
    // Whether the complete listing is relayed, and which objects; `None` if nothing is.
    relayed: Option<(bool, &'static [&'static str])>,
}

// A hub lists again after each outage of the store. Sent in full to 39 members, the entries
// of 120 targets occupy a link of 20 Mbit/s for half a second in which no caller is served.
#[rstest]
#[case::first(RelayCase { before: None, read: &[("a", 1)], whole: true, relayed: Some((true, &["a"])) })]
#[case::the_same(RelayCase { before: Some(&[("a", 1), ("b", 1)]), read: &[("b", 1), ("a", 1)], whole: true, relayed: None })]
#[case::one_changed(RelayCase { before: Some(&[("a", 1), ("b", 1)]), read: &[("a", 1), ("b", 2)], whole: true, relayed: Some((false, &["b"])) })]
#[case::one_more(RelayCase { before: Some(&[("a", 1)]), read: &[("a", 1), ("b", 1)], whole: true, relayed: Some((false, &["b"])) })]
#[case::one_less(RelayCase { before: Some(&[("a", 1), ("b", 1)]), read: &[("a", 1)], whole: true, relayed: Some((true, &["a"])) })]
#[case::change(RelayCase { before: Some(&[("a", 1)]), read: &[("b", 1)], whole: false, relayed: Some((false, &["b"])) })]
fn only_changes_of_a_listing_are_relayed(#[case] case: RelayCase) {
    let objects = |read: Listed, whole| FeedObjects {
        feed: Feed::Targets,
        whole,
        objects: read
            .iter()
            .map(|(name, version)| ((*name).to_owned(), *version, Some(ByteBuf::from("{}"))))
            .collect(),
    };
    let mut snapshot = StoreSnapshot::default();
    if let Some(before) = case.before {
        snapshot.update(objects(before, true));
    }
    let relayed = snapshot.update(objects(case.read, case.whole));
    let found = relayed.map(|r| {
        let names: Vec<String> = r.objects.into_iter().map(|(name, ..)| name).collect();
        (r.whole, names)
    });
    let expected = case
        .relayed
        .map(|(whole, names)| (whole, names.iter().map(ToString::to_string).collect()));
    assert_eq!(found, expected);
}

struct BoundCase {
    config_ms: f64,
    departure_ms: f64,
    member_ms: u128,
    hub_ms: u128,
    heartbeat_ms: u128,
}

// Deployments set the time within which a change has to be in force. Daemons rely on each
// other only for a part of it, which leaves time for a listing.
#[rstest]
#[case::two_seconds(BoundCase { config_ms: 2_000.0, departure_ms: 2_000.0, member_ms: 1_700, hub_ms: 1_100, heartbeat_ms: 600 })]
#[case::four_seconds(BoundCase { config_ms: 4_000.0, departure_ms: 4_000.0, member_ms: 3_400, hub_ms: 2_200, heartbeat_ms: 1_200 })]
#[case::the_shorter_one(BoundCase { config_ms: 4_000.0, departure_ms: 2_000.0, member_ms: 1_700, hub_ms: 1_100, heartbeat_ms: 600 })]
fn relay_timeouts_are_a_part_of_the_configured_bound(#[case] case: BoundCase) {
    let settings = json!({
        "daemon": "node-1", "ip": "127.0.0.1", "centre": "hall-a", "listen": {},
        "internal_ports": [0, 0], "store": "127.0.0.1:1",
        "bounds": {
            "stop_grace_s": 8, "repeat_ratio": 0.2, "repeat_allowance": 54,
            "repeat_window_s": 10, "directory_keep_s": 5,
            "config_within_ms": case.config_ms, "departure_within_ms": case.departure_ms
        }
    });
    let settings = GatewaySettings::parse(&settings.to_string()).expect("usable settings");
    let bounds = settings.relay_timeouts();
    assert_eq!(bounds.member_timeout.as_millis(), case.member_ms);
    assert_eq!(bounds.hub_timeout.as_millis(), case.hub_ms);
    let heartbeat = settings.config_watch_waits().hub_wait;
    assert_eq!(heartbeat.as_millis(), case.heartbeat_ms);
}

// When a fleet starts, a hub may request a snapshot from a hub that has not listed the
// configuration yet. If it relied on that hub from then on, the 39 daemons of its data centre
// would refuse all callers until the next change of the configuration, half a day later. So a
// hub is relied on only once objects of all kinds are there.
#[test]
fn an_incomplete_snapshot_does_not_subscribe() {
    let hub = DaemonId::from("hub");
    let mut snapshot = StoreSnapshot::default();
    let mut subscription = FeedSubscription::default();
    for (number, feed) in [Feed::Daemons, Feed::Targets, Feed::Config]
        .into_iter()
        .enumerate()
    {
        let requested = subscription.subscribe(Some(&hub), MonoTime(1_000 + 2_000 * number as u64));
        assert_eq!(requested, Some(number as u64 + 1), "requested again");
        snapshot.update(FeedObjects {
            feed,
            whole: true,
            objects: Vec::new(),
        });
        assert!(subscription.awaits(&hub, number as u64 + 1));
        subscription.apply_snapshot(&hub, snapshot.is_complete());
        assert_eq!(subscription.is_subscribed(), feed == Feed::Config);
    }
}
