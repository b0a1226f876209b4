//! From whom a daemon hears of the store, and what hubs pass on.

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

struct DutyCase {
    role: fn() -> PeerRole,
    joined: bool,
    current: bool,
    hub_heard: bool,
    starting: Option<WatchMode>,
    duty: WatchMode,
}

// A hub of 39 members is replaced, and each member lists everything: 350 calls to the
// store at once, and as many again from the next hub's members. A member keeps to what it
// was told until a change could be overdue, and so does a hub; one that starts waits for
// its hub first.
#[rstest]
#[case::small_fleet(DutyCase { role: || PeerRole::Mesh, joined: false, current: false, hub_heard: false, starting: None, duty: WatchMode::Alone })]
#[case::first_start(DutyCase { role: || PeerRole::Mesh, joined: false, current: false, hub_heard: false, starting: Some(WatchMode::Gathering), duty: WatchMode::Gathering })]
#[case::fed(DutyCase { role: member, joined: true, current: true, hub_heard: false, starting: None, duty: WatchMode::Fed })]
#[case::hub_just_gone(DutyCase { role: member, joined: false, current: true, hub_heard: false, starting: None, duty: WatchMode::Fed })]
#[case::hub_gone(DutyCase { role: member, joined: false, current: false, hub_heard: false, starting: None, duty: WatchMode::WithoutHub })]
#[case::hub_unfed(DutyCase { role: member, joined: false, current: false, hub_heard: true, starting: None, duty: WatchMode::BesideHub })]
#[case::restarted(DutyCase { role: member, joined: false, current: false, hub_heard: false, starting: Some(WatchMode::Starting), duty: WatchMode::Starting })]
#[case::first_hub(DutyCase { role: || PeerRole::Hub, joined: false, current: false, hub_heard: false, starting: None, duty: WatchMode::ForOthers })]
#[case::other_hub(DutyCase { role: || PeerRole::Hub, joined: true, current: true, hub_heard: false, starting: None, duty: WatchMode::Fed })]
#[case::alone_so_far(DutyCase { role: || PeerRole::Hub, joined: false, current: false, hub_heard: false, starting: Some(WatchMode::Gathering), duty: WatchMode::Gathering })]
fn who_follows_the_store(#[case] case: DutyCase) {
    let state = FeedState {
        joined: case.joined,
        current: case.current,
        hub_heard: case.hub_heard,
        starting: case.starting,
    };
    assert_eq!(choose_watch_mode(&(case.role)(), state), case.duty);
}

struct ReadCase {
    duty: WatchMode,
    lists: &'static [Feed],
    watches: &'static [Feed],
}

const ALL: &[Feed] = &[Feed::Config, Feed::Targets, Feed::Daemons];

// A whole fleet starts: what all list at once, all have to wait for.
#[rstest]
#[case::first_start(ReadCase { duty: WatchMode::Gathering, lists: &[Feed::Daemons], watches: &[Feed::Daemons] })]
#[case::restart(ReadCase { duty: WatchMode::Starting, lists: ALL, watches: &[Feed::Daemons] })]
#[case::alone(ReadCase { duty: WatchMode::Alone, lists: ALL, watches: ALL })]
#[case::without_hub(ReadCase { duty: WatchMode::WithoutHub, lists: ALL, watches: ALL })]
#[case::beside_hub(ReadCase { duty: WatchMode::BesideHub, lists: ALL, watches: ALL })]
#[case::for_others(ReadCase { duty: WatchMode::ForOthers, lists: ALL, watches: ALL })]
#[case::fed(ReadCase { duty: WatchMode::Fed, lists: &[], watches: &[] })]
fn what_a_duty_reads(#[case] case: ReadCase) {
    let listed: Vec<Feed> = ALL
        .iter()
        .copied()
        .filter(|f| case.duty.lists(*f))
        .collect();
    assert_eq!(listed, case.lists);
    let watched: Vec<Feed> = ALL
        .iter()
        .copied()
        .filter(|f| case.duty.watches(*f))
        .collect();
    assert_eq!(watched, case.watches);
}

// What was heard before the hub went counts from when the hub had heard the store, not
// from when the hub went: a hub that was cut from the store is no better for having lived.
#[test]
fn what_a_hub_passed_on_stays_current_for_a_while() {
    let hub = DaemonId::from("hub");
    let within = Duration::from_millis(1_700);
    let mut join = FeedSubscription::default();
    join.note_heard(Some(MonoTime(1_000)));
    assert!(
        !join.is_current(within, MonoTime(1_000)),
        "nothing was passed on"
    );
    join.rely_on(Some(&hub), MonoTime(1_000));
    assert!(join.awaits(&hub, 1));
    join.take_stock(&hub, true);
    join.note_heard(Some(MonoTime(2_000)));
    assert!(join.rely_on(None, MonoTime(2_500)).is_none());
    join.note_heard(Some(MonoTime(9_000)));
    assert!(join.is_current(within, MonoTime(3_600)));
    assert!(!join.is_current(within, MonoTime(3_700)));
}

type Listed = &'static [(&'static str, u64)];

struct RelayCase {
    before: Option<Listed>,
    read: Listed,
    whole: bool,
    // Whether all goes on, and which objects; `None` where nothing does.
    relayed: Option<(bool, &'static [&'static str])>,
}

// A hub lists anew after each outage of the store. Sent whole to 39 members, entries of
// 120 targets take a link of 20 Mbit/s for half a second in which nobody is served.
#[rstest]
#[case::first(RelayCase { before: None, read: &[("a", 1)], whole: true, relayed: Some((true, &["a"])) })]
#[case::the_same(RelayCase { before: Some(&[("a", 1), ("b", 1)]), read: &[("b", 1), ("a", 1)], whole: true, relayed: None })]
#[case::one_changed(RelayCase { before: Some(&[("a", 1), ("b", 1)]), read: &[("a", 1), ("b", 2)], whole: true, relayed: Some((false, &["b"])) })]
#[case::one_more(RelayCase { before: Some(&[("a", 1)]), read: &[("a", 1), ("b", 1)], whole: true, relayed: Some((false, &["b"])) })]
#[case::one_less(RelayCase { before: Some(&[("a", 1), ("b", 1)]), read: &[("a", 1)], whole: true, relayed: Some((true, &["a"])) })]
#[case::change(RelayCase { before: Some(&[("a", 1)]), read: &[("b", 1)], whole: false, relayed: Some((false, &["b"])) })]
fn a_listing_goes_on_as_what_is_new(#[case] case: RelayCase) {
    let objects = |read: Listed, whole| FeedObjects {
        feed: Feed::Targets,
        whole,
        objects: read
            .iter()
            .map(|(name, version)| ((*name).to_owned(), *version, Some(ByteBuf::from("{}"))))
            .collect(),
    };
    let mut stock = StoreSnapshot::default();
    if let Some(before) = case.before {
        stock.take(objects(before, true));
    }
    let relayed = stock.take(objects(case.read, case.whole));
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

// Deployments state how soon a change has to be in force. Relying on each other for a part
// of it leaves time for a listing, whether the time is two seconds or four.
#[rstest]
#[case::two_seconds(BoundCase { config_ms: 2_000.0, departure_ms: 2_000.0, member_ms: 1_700, hub_ms: 1_100, heartbeat_ms: 600 })]
#[case::four_seconds(BoundCase { config_ms: 4_000.0, departure_ms: 4_000.0, member_ms: 3_400, hub_ms: 2_200, heartbeat_ms: 1_200 })]
#[case::the_shorter_one(BoundCase { config_ms: 4_000.0, departure_ms: 2_000.0, member_ms: 1_700, hub_ms: 1_100, heartbeat_ms: 600 })]
fn daemons_rely_on_each_other_for_a_part_of_the_bound(#[case] case: BoundCase) {
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

// A fleet starts. The hub of one data centre asks the one that follows the store, which has
// listed the daemons and not the configuration yet, and relies on it from the answer on:
// 39 daemons have no configuration and refuse all callers for half of a day. Objects of
// all kinds have to be there before a hub is relied on.
#[test]
fn a_hub_that_has_not_all_kinds_is_not_relied_on() {
    let hub = DaemonId::from("hub");
    let mut stock = StoreSnapshot::default();
    let mut join = FeedSubscription::default();
    for (number, feed) in [Feed::Daemons, Feed::Targets, Feed::Config]
        .into_iter()
        .enumerate()
    {
        let asked = join.rely_on(Some(&hub), MonoTime(1_000 + 2_000 * number as u64));
        assert_eq!(asked, Some(number as u64 + 1), "asked again");
        stock.take(FeedObjects {
            feed,
            whole: true,
            objects: Vec::new(),
        });
        assert!(join.awaits(&hub, number as u64 + 1));
        join.take_stock(&hub, stock.is_complete());
        assert_eq!(join.is_joined(), feed == Feed::Config);
    }
}
