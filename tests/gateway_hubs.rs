//! Selection of each data centre's hub, and what hubs relay.

use std::net::SocketAddr;
use std::time::Duration;

use pistachiowick::gateway::deciding::load::LoadTracker;
use pistachiowick::gateway::deciding::stage_plan::WorkRate;
use pistachiowick::gateway::members::{DaemonRecord, InstanceCapacity};
use pistachiowick::gateway::peers::PeerTable;
use pistachiowick::gateway::peers::feeding::{FeedSubscription, StoreSnapshot};
use pistachiowick::gateway::peers::hub::{
    HubSelector, LinkKind, PeerRole, subtract, usage_keepers,
};
use pistachiowick::gateway::peers::seen::ObservedResults;
use pistachiowick::gateway::peers::wire::{FeedObjects, MemberStatus, PeerHint, PeerMessage};
use pistachiowick::gateway::store_follow::Feed;
use pistachiowick::names::{CentreName, DaemonId, MonoTime, ServiceName, UnixTime};
use pistachiowick::target_incarnation::TargetIncarnation;
use rstest::rstest;
use serde_bytes::ByteBuf;

/// Time since the store's last response for which a hub is relied on, if changes have to be
/// in force within two seconds.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_700);

fn daemon(centre: &str, number: usize) -> DaemonRecord {
    let address: SocketAddr = ([127, 0, 0, 1], 1_000).into();
    DaemonRecord {
        id: DaemonId::from(format!("{centre}-{number:02}")),
        incarnation: 1,
        callers: address,
        peers: address,
        centre: CentreName::from(centre),
        handovers: None,
        leaving: false,
        capacity: InstanceCapacity::default(),
    }
}

fn fleet(each: usize) -> Vec<DaemonRecord> {
    let centres = ["a", "b", "c"];
    let all = centres
        .iter()
        .flat_map(|c| (1..=each).map(|n| daemon(c, n)));
    all.collect()
}

fn hint(from: &str) -> PeerHint {
    PeerHint {
        from: DaemonId::from(from),
        incarnation: 1,
        leaving: false,
        config_version: 1,
        work: Vec::new(),
        cached_parts: Vec::new(),
        departed: Vec::new(),
        entries: Vec::new(),
        work_reports: Vec::new(),
        part_reports: Vec::new(),
        limits: Vec::new(),
        changing: Vec::new(),
        rate: WorkRate::default(),
        placed_through: 0,
        observed: ObservedResults::default(),
        clock: MonoTime(0),
        confirms_keys: true,
        unreachable: Vec::new(),
        wall_clock: UnixTime(0),
        usage: Vec::new(),
        kept_usage: Vec::new(),
        usage_complete_to: None,
    }
}

fn status(id: &str, age_ms: u32) -> MemberStatus {
    MemberStatus {
        id: DaemonId::from(id),
        age_ms,
        leaving: false,
        config_version: 1,
        changing: Vec::new(),
        confirms_keys: true,
    }
}

struct RoleCase {
    each: usize,
    local: &'static str,
    role: fn() -> PeerRole,
    links: usize,
}

#[rstest]
#[case::small_fleet(RoleCase { each: 5, local: "a-03", role: || PeerRole::Mesh, links: 14 })]
#[case::member(RoleCase { each: 10, local: "a-03", role: || PeerRole::Member(DaemonId::from("a-01")), links: 1 })]
#[case::hub(RoleCase { each: 10, local: "a-01", role: || PeerRole::Hub, links: 9 + 2 })]
#[case::other_hub(RoleCase { each: 10, local: "b-01", role: || PeerRole::Hub, links: 9 + 2 })]
fn roles_and_links(#[case] case: RoleCase) {
    let daemons = fleet(case.each);
    let local = DaemonId::from(case.local);
    let mut hubs = HubSelector::default();
    let role = hubs.role(&local, &daemons, &PeerTable::default(), MonoTime(0));
    assert_eq!(role, (case.role)());
    assert_eq!(hubs.links(&role, &local, &daemons).len(), case.links);
}

// When the hub of a data centre fails, its members select the next daemon, and return to
// the first one after a while. The selected daemon learns from their hints that it is a hub,
// whatever role it had before.
#[test]
fn a_silent_hub_is_replaced() {
    let daemons = fleet(10);
    let (member, next) = (DaemonId::from("a-03"), DaemonId::from("a-02"));
    let mut hubs = HubSelector::default();
    let mut peers = PeerTable::default();
    let first = PeerRole::Member(DaemonId::from("a-01"));
    assert_eq!(hubs.role(&member, &daemons, &peers, MonoTime(0)), first);
    peers.record_hub(&status("a-01", 0), WorkRate::default(), MonoTime(2_000));
    assert_eq!(hubs.role(&member, &daemons, &peers, MonoTime(3_000)), first);
    let replaced = hubs.role(&member, &daemons, &peers, MonoTime(3_300));
    assert_eq!(replaced, PeerRole::Member(next.clone()));
    let mut next_hubs = HubSelector::default();
    next_hubs.record_hint(&member, MonoTime(3_400));
    let role = next_hubs.role(&next, &daemons, &PeerTable::default(), MonoTime(3_500));
    assert_eq!(role, PeerRole::Hub);
    let links = next_hubs.links(&role, &next, &daemons);
    let to_member = links.iter().find(|(d, _)| d.id == member);
    assert_eq!(to_member.map(|(_, kind)| *kind), Some(LinkKind::Member));
    peers.record_hub(&status("a-02", 0), WorkRate::default(), MonoTime(9_000));
    assert_eq!(hubs.role(&member, &daemons, &peers, MonoTime(9_400)), first);
}

// A hub may be cut off from the store and still be reachable. Its members would keep an old
// configuration; they watch the store themselves until the hub reaches it again.
#[test]
fn a_hub_without_recent_store_contact_is_not_relied_on() {
    let hub = DaemonId::from("a-01");
    let mut hubs = HubSelector::default();
    assert!(!hubs.has_recent_store(&hub, STORE_TIMEOUT, MonoTime(0)));
    hubs.record_store_age(&hub, Duration::from_millis(900), MonoTime(5_000));
    assert!(hubs.has_recent_store(&hub, STORE_TIMEOUT, MonoTime(5_700)));
    hubs.record_store_age(&hub, Duration::from_millis(1_500), MonoTime(5_800));
    assert!(!hubs.has_recent_store(&hub, STORE_TIMEOUT, MonoTime(6_000)));
    assert!(!hubs.has_recent_store(&DaemonId::from("a-02"), STORE_TIMEOUT, MonoTime(5_700)));
    hubs.record_store_age(&hub, Duration::ZERO, MonoTime(7_000));
    assert!(hubs.has_recent_store(&hub, STORE_TIMEOUT, MonoTime(7_100)));
}

// A hub reports to other hubs only the daemons that report to it. If it included other hubs,
// each sum would return in the next one and grow without end.
#[test]
fn a_hub_does_not_relay_the_state_of_other_hubs() {
    let now = MonoTime(1_000);
    let mut peers = PeerTable::default();
    peers.record_hint(&hint("a-02"), 1, now);
    peers.record_hub(&status("b-01", 0), WorkRate::default(), now);
    peers.record_member(&status("b-02", 100), WorkRate::default(), now);
    let direct: Vec<DaemonId> = peers.direct_status(now).into_iter().map(|n| n.id).collect();
    assert_eq!(direct, [DaemonId::from("a-02")]);
    assert_eq!(peers.all_status(now).len(), 3);
}

#[test]
fn direct_state_precedes_relayed_state() {
    let daemons = fleet(10);
    let mut peers = PeerTable::default();
    let local = DaemonId::from("a-01");
    peers.set_known(&local, &daemons, MonoTime(0));
    let peer = DaemonId::from("a-02");
    peers.record_hint(&hint("a-02"), 1, MonoTime(5_000));
    let mut left = status("a-02", 0);
    left.leaving = true;
    peers.record_member(&left, WorkRate::default(), MonoTime(5_100));
    assert!(peers.is_usable(&peer, MonoTime(5_200)));
    assert!(!peers.is_usable(&peer, MonoTime(6_500)));
    peers.record_member(&status("a-02", 400), WorkRate::default(), MonoTime(7_000));
    assert!(peers.is_usable(&peer, MonoTime(9_000)));
    assert!(!peers.is_usable(&peer, MonoTime(9_300)));
}

#[test]
fn a_member_subtracts_its_own_work_from_the_sum() {
    let target = TargetIncarnation::from("e");
    let mut local = LoadTracker::default();
    local.begin(&target, 1, 300);
    let mut all = LoadTracker::default();
    all.begin(&target, 1, 300);
    all.begin(&target, 1, 500);
    let mut sum = all.sum_with(|_| true);
    subtract(&mut sum, local.local());
    local.set_peer_work(DaemonId::from("hub"), sum, MonoTime(0));
    assert_eq!(local.total(&target).running, 2);
    assert_eq!(local.total(&target).prefill_tokens_before(1), 800);
}

#[test]
fn a_new_link_gets_the_current_objects() {
    let objects = |whole, objects: &[(&str, Option<&[u8]>)]| FeedObjects {
        feed: Feed::Targets,
        whole,
        objects: objects
            .iter()
            .map(|(name, value)| {
                (
                    (*name).to_owned(),
                    1,
                    value.map(|v| ByteBuf::from(v.to_vec())),
                )
            })
            .collect(),
    };
    let mut snapshot = StoreSnapshot::default();
    snapshot.update(objects(true, &[("gone", Some(b"1")), ("old", Some(b"2"))]));
    snapshot.update(objects(true, &[("a", Some(b"1")), ("b", Some(b"2"))]));
    snapshot.update(objects(false, &[("b", None), ("c", Some(b"3"))]));
    let all = snapshot.all();
    assert_eq!(all.len(), 1);
    let names: Vec<&str> = all[0]
        .objects
        .iter()
        .map(|(name, _, _)| name.as_str())
        .collect();
    assert!(all[0].whole);
    assert_eq!(names, ["a", "c"]);
}

struct DigestCase {
    known: &'static [(&'static str, u64)],
    missing: usize,
}

// A member requests a snapshot from a daemon that has just become its hub. Objects that the
// member already has are not sent again: on a slow link, the hub's callers would wait.
#[rstest]
#[case::nothing(DigestCase { known: &[], missing: 1 })]
#[case::the_same_in_another_order(DigestCase { known: &[("b", 2), ("a", 1)], missing: 0 })]
#[case::an_older_version(DigestCase { known: &[("a", 1), ("b", 1)], missing: 1 })]
#[case::one_more(DigestCase { known: &[("a", 1), ("b", 2), ("c", 1)], missing: 1 })]
#[case::one_less(DigestCase { known: &[("a", 1)], missing: 1 })]
fn only_feeds_that_differ_are_sent(#[case] case: DigestCase) {
    let snapshot = |objects: &[(&str, u64)]| {
        let objects = objects.iter();
        let value = || Some(ByteBuf::from(b"1".to_vec()));
        let mut snapshot = StoreSnapshot::default();
        snapshot.update(FeedObjects {
            feed: Feed::Targets,
            whole: true,
            objects: objects
                .map(|(name, version)| ((*name).to_owned(), *version, value()))
                .collect(),
        });
        snapshot
    };
    let hub = snapshot(&[("a", 1), ("b", 2)]);
    let missing = hub.missing(&snapshot(case.known).digests());
    assert_eq!(missing.len(), case.missing);
}

// A daemon that becomes a hub sends everything to all members at once, over a link that may
// be slow and on which requests wait. So the encoding must add little to the values' size.
#[test]
fn objects_are_encoded_without_much_overhead() {
    let value = vec![b'x'; 300];
    let names = (0..100).map(|number| format!("target-{number:02}"));
    let objects = names.map(|name| (name, 7, Some(ByteBuf::from(value.clone()))));
    let message = PeerMessage::Objects(FeedObjects {
        feed: Feed::Targets,
        whole: true,
        objects: objects.collect(),
    });
    let size = message.encode().len();
    assert!(size < 100 * (300 + 20), "{size} bytes");
}

struct SubscriptionCase {
    // Hub that could relay the store to the member in each second; `None` if none could.
    sources: &'static [Option<&'static str>],
    // Responses that arrive afterwards: hub and number of the request.
    responses: &'static [(&'static str, u64)],
    subscribed: bool,
}

// While a member is cut off and watches the store itself, objects that its hub relays reach
// it late or never. If the departure of a target is among them, the target would get work for
// many seconds. So the member relies on the hub only from the response to its latest request.
#[rstest]
#[case::no_response(SubscriptionCase { sources: &[Some("hub")], responses: &[], subscribed: false })]
#[case::response(SubscriptionCase { sources: &[Some("hub")], responses: &[("hub", 1)], subscribed: true })]
#[case::response_from_before_the_cut(SubscriptionCase { sources: &[Some("hub"), None, Some("hub")], responses: &[("hub", 1)], subscribed: false })]
#[case::response_after_the_cut(SubscriptionCase { sources: &[Some("hub"), None, Some("hub")], responses: &[("hub", 1), ("hub", 2)], subscribed: true })]
#[case::requested_again(SubscriptionCase { sources: &[Some("hub"), Some("hub")], responses: &[("hub", 2)], subscribed: true })]
#[case::other_hub(SubscriptionCase { sources: &[Some("hub"), Some("next")], responses: &[("hub", 1)], subscribed: false })]
#[case::other_hub_responded(SubscriptionCase { sources: &[Some("hub"), Some("next")], responses: &[("next", 2)], subscribed: true })]
fn a_member_subscribes_by_the_response_to_its_latest_request(#[case] case: SubscriptionCase) {
    let mut subscription = FeedSubscription::default();
    for (second, hub) in case.sources.iter().enumerate() {
        let now = MonoTime(10_000 + 1_000 * second as u64);
        subscription.subscribe(hub.map(DaemonId::from).as_ref(), now);
    }
    for (hub, number) in case.responses {
        let hub = DaemonId::from(*hub);
        if subscription.awaits(&hub, *number) {
            subscription.apply_snapshot(&hub, true);
        }
    }
    assert_eq!(subscription.is_subscribed(), case.subscribed);
}

#[test]
fn a_lost_hub_or_a_new_link_ends_the_subscription() {
    let hub = DaemonId::from("hub");
    let mut subscription = FeedSubscription::default();
    assert_eq!(subscription.subscribe(Some(&hub), MonoTime(1_000)), Some(1));
    assert_eq!(subscription.subscribe(Some(&hub), MonoTime(1_200)), None);
    assert!(subscription.awaits(&hub, 1));
    subscription.apply_snapshot(&hub, true);
    assert_eq!(subscription.subscribe(Some(&hub), MonoTime(1_400)), None);
    subscription.handle_new_link(&DaemonId::from("other"));
    assert!(subscription.is_subscribed());
    subscription.handle_new_link(&hub);
    assert!(
        !subscription.is_subscribed(),
        "objects relayed before may be lost"
    );
    assert_eq!(subscription.subscribe(Some(&hub), MonoTime(1_500)), Some(2));
    subscription.handle_new_link(&hub);
    assert_eq!(
        subscription.subscribe(Some(&hub), MonoTime(1_550)),
        Some(3),
        "the response may be lost as well"
    );
    assert!(subscription.awaits(&hub, 3));
    subscription.apply_snapshot(&hub, true);
    subscription.subscribe(None, MonoTime(1_600));
    assert!(!subscription.is_subscribed());
    assert!(!subscription.awaits(&hub, 3));
}

// A hub serves all members of its data centre. On an instance with an eighth of a core and a
// link of 20 Mbit/s it responds late, so the strongest instance is selected, before the name.
#[test]
fn the_strongest_instance_is_the_hub() {
    let mut daemons = fleet(10);
    let strong = DaemonId::from("a-07");
    let record = daemons.iter_mut().find(|d| d.id == strong);
    record.expect("it is there").capacity.core_thousandths = 500;
    let role = |local: &str, daemons: &[DaemonRecord]| {
        let local = DaemonId::from(local);
        HubSelector::default().role(&local, daemons, &PeerTable::default(), MonoTime(0))
    };
    assert_eq!(role("a-01", &daemons), PeerRole::Member(strong.clone()));
    assert_eq!(role("a-07", &daemons), PeerRole::Hub);
    let record = daemons.iter_mut().find(|d| d.id == strong);
    record.expect("it is there").leaving = true;
    let first = PeerRole::Member(DaemonId::from("a-01"));
    assert_eq!(role("a-02", &daemons), first);
}

struct StoreHubCase {
    local: &'static str,
    // Other hubs, and the time of their last message.
    last_messages: &'static [(&'static str, u64)],
    watched_by: Option<&'static str>,
}

// Five hubs that each watch the store call it five times as often as one. So only the first
// of the reachable hubs watches it; if that one fails, the next takes over.
#[rstest]
#[case::first(StoreHubCase { local: "a-01", last_messages: &[("b-01", 4_900), ("c-01", 4_900)], watched_by: None })]
#[case::relies_on_the_first(StoreHubCase { local: "c-01", last_messages: &[("b-01", 4_900), ("a-01", 4_900)], watched_by: Some("a-01") })]
#[case::first_is_silent(StoreHubCase { local: "c-01", last_messages: &[("b-01", 4_900), ("a-01", 3_000)], watched_by: Some("b-01") })]
#[case::next_after_a_silent_one(StoreHubCase { local: "b-01", last_messages: &[("c-01", 4_900), ("a-01", 3_000)], watched_by: None })]
#[case::nobody_reachable(StoreHubCase { local: "c-01", last_messages: &[], watched_by: None })]
fn one_hub_watches_the_store(#[case] case: StoreHubCase) {
    let daemons = fleet(10);
    let local = DaemonId::from(case.local);
    let mut peers = PeerTable::default();
    for (hub, at) in case.last_messages {
        peers.record_hub(&status(hub, 0), WorkRate::default(), MonoTime(*at));
    }
    let mut hubs = HubSelector::default();
    hubs.role(&local, &daemons, &peers, MonoTime(5_000));
    let watched_by = hubs.store_hub(&local, &daemons, &peers, MonoTime(5_000));
    assert_eq!(watched_by, case.watched_by.map(DaemonId::from));
}

// The lease holder sums the engine times of all daemons: a hub reports those of its members,
// and no daemon's work is counted twice. An earlier build sends none.
#[test]
fn hubs_sum_the_engine_times_of_their_members() {
    let service = ServiceName::from("chat");
    let rate = |prefill: f64| {
        let mut rate = WorkRate::default();
        rate.service_mut(&service).prefill = prefill;
        rate
    };
    let mut peers = PeerTable::default();
    for (from, prefill) in [("a-02", 1.0), ("a-03", 2.0)] {
        let hint = PeerHint {
            rate: rate(prefill),
            ..hint(from)
        };
        peers.record_hint(&hint, 1, MonoTime(0));
    }
    peers.record_hint(&hint("a-04"), 1, MonoTime(0));
    peers.record_hub(&status("b-01", 0), rate(8.0), MonoTime(0));
    peers.record_member(&status("b-02", 0), WorkRate::default(), MonoTime(0));
    let mut centre = rate(0.5);
    peers.add_direct_times(&mut centre, MonoTime(100));
    assert_eq!(centre, rate(3.5));
    assert_eq!(peers.work_rate(MonoTime(100)), rate(11.0));
}

// Guards against usage counts that are lost with a hub: three members keep them, first of all the
// one that replaces the hub, and none of them is a member that is gone or leaves.
#[test]
fn the_next_hub_is_the_first_to_keep_usage_counts() {
    let hub = DaemonId::from("a-01");
    let mut members: Vec<DaemonRecord> = (2..=20).map(|number| daemon("a", number)).collect();
    members[0].leaving = true;
    let members = members.into_iter().map(|d| (d, LinkKind::Member));
    let mut links: Vec<(DaemonRecord, LinkKind)> = members.collect();
    links.push((daemon("b", 1), LinkKind::OtherHub));
    let gone = DaemonId::from("a-03");
    let keepers = usage_keepers(&hub, &links, |id| *id != gone);
    assert_eq!(keepers.len(), 3);
    assert_eq!(keepers[0], DaemonId::from("a-04"));
    let is_member = |id: &DaemonId| id.as_str().starts_with("a-") && *id > keepers[0];
    assert!(keepers[1..].iter().all(is_member), "{keepers:?}");
    links.reverse();
    assert_eq!(usage_keepers(&hub, &links, |id| *id != gone), keepers);
}
