//! Which daemon speaks for a data centre, and what goes through it.

use std::net::SocketAddr;
use std::time::Duration;

use pistachiowick::gateway::deciding::load::LoadTracker;
use pistachiowick::gateway::deciding::stage_plan::WorkRate;
use pistachiowick::gateway::members::{DaemonRecord, InstanceCapacity};
use pistachiowick::gateway::peers::PeerTable;
use pistachiowick::gateway::peers::feeding::{FeedSubscription, StoreSnapshot};
use pistachiowick::gateway::peers::hub::{HubSelector, LinkKind, PeerRole, subtract};
use pistachiowick::gateway::peers::seen::ObservedResults;
use pistachiowick::gateway::peers::wire::{FeedObjects, MemberStatus, PeerHint, PeerMessage};
use pistachiowick::gateway::store_follow::Feed;
use pistachiowick::names::{CentreName, DaemonId, MonoTime, UnixTime};
use pistachiowick::target_incarnation::TargetIncarnation;
use rstest::rstest;
use serde_bytes::ByteBuf;

/// Silence of the store for which a hub is relied on, where changes have two seconds.
const SILENCE: Duration = Duration::from_millis(1_700);

fn daemon(centre: &str, number: usize) -> DaemonRecord {
    let address: SocketAddr = ([127, 0, 0, 1], 1_000).into();
    DaemonRecord {
        id: DaemonId::from(format!("{centre}-{number:02}")),
        incarnation: 1,
        callers: address,
        peers: address,
        centre: CentreName::from(centre),
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
        life: 1,
        leaving: false,
        config_version: 1,
        work: Vec::new(),
        held: Vec::new(),
        departed: Vec::new(),
        entries: Vec::new(),
        works: Vec::new(),
        changing: Vec::new(),
        rate: WorkRate::default(),
        placed_through: 0,
        seen: ObservedResults::default(),
        clock: MonoTime(0),
        confirms_keys: true,
        wall: UnixTime(0),
        usage: Vec::new(),
    }
}

fn note(id: &str, age_ms: u32) -> MemberStatus {
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
    own: &'static str,
    role: fn() -> PeerRole,
    links: usize,
}

#[rstest]
#[case::small_fleet(RoleCase { each: 5, own: "a-03", role: || PeerRole::Mesh, links: 14 })]
#[case::member(RoleCase { each: 10, own: "a-03", role: || PeerRole::Member(DaemonId::from("a-01")), links: 1 })]
#[case::hub(RoleCase { each: 10, own: "a-01", role: || PeerRole::Hub, links: 9 + 2 })]
#[case::other_hub(RoleCase { each: 10, own: "b-01", role: || PeerRole::Hub, links: 9 + 2 })]
fn who_speaks_for_whom(#[case] case: RoleCase) {
    let daemons = fleet(case.each);
    let own = DaemonId::from(case.own);
    let mut hubs = HubSelector::default();
    let role = hubs.role(&own, &daemons, &PeerTable::default(), MonoTime(0));
    assert_eq!(role, (case.role)());
    assert_eq!(hubs.links(&role, &own, &daemons).len(), case.links);
}

// The hub of a data centre dies. Its members hear nothing from it, take the next
// daemon, and come back to the first one after a while. The one they take learns by
// their hints that it is a hub now, whatever it thought itself.
#[test]
fn a_silent_hub_is_replaced() {
    let daemons = fleet(10);
    let (member, next) = (DaemonId::from("a-03"), DaemonId::from("a-02"));
    let mut hubs = HubSelector::default();
    let mut peers = PeerTable::default();
    let first = PeerRole::Member(DaemonId::from("a-01"));
    assert_eq!(hubs.role(&member, &daemons, &peers, MonoTime(0)), first);
    peers.note_hub(&note("a-01", 0), WorkRate::default(), MonoTime(2_000));
    assert_eq!(hubs.role(&member, &daemons, &peers, MonoTime(3_000)), first);
    let replaced = hubs.role(&member, &daemons, &peers, MonoTime(3_300));
    assert_eq!(replaced, PeerRole::Member(next.clone()));
    let mut of_next = HubSelector::default();
    of_next.note_hint(&member, MonoTime(3_400));
    let role = of_next.role(&next, &daemons, &PeerTable::default(), MonoTime(3_500));
    assert_eq!(role, PeerRole::Hub);
    let links = of_next.links(&role, &next, &daemons);
    let to_member = links.iter().find(|(d, _)| d.id == member);
    assert_eq!(to_member.map(|(_, kind)| *kind), Some(LinkKind::Member));
    peers.note_hub(&note("a-02", 0), WorkRate::default(), MonoTime(9_000));
    assert_eq!(hubs.role(&member, &daemons, &peers, MonoTime(9_400)), first);
}

// A hub is cut from the store and still heard. Its members would stay on an old
// configuration with it; they follow the store themselves until it hears it again.
#[test]
fn a_hub_that_hears_nothing_of_the_store_feeds_nobody() {
    let hub = DaemonId::from("a-01");
    let mut hubs = HubSelector::default();
    assert!(!hubs.is_fed_by(&hub, SILENCE, MonoTime(0)));
    hubs.note_store(&hub, Duration::from_millis(900), MonoTime(5_000));
    assert!(hubs.is_fed_by(&hub, SILENCE, MonoTime(5_700)));
    hubs.note_store(&hub, Duration::from_millis(1_500), MonoTime(5_800));
    assert!(!hubs.is_fed_by(&hub, SILENCE, MonoTime(6_000)));
    assert!(!hubs.is_fed_by(&DaemonId::from("a-02"), SILENCE, MonoTime(5_700)));
    hubs.note_store(&hub, Duration::ZERO, MonoTime(7_000));
    assert!(hubs.is_fed_by(&hub, SILENCE, MonoTime(7_100)));
}

// A hub tells other hubs of those that report to it. Were it to tell of other hubs as
// well, each sum would come back in the next one and grow without end.
#[test]
fn a_hub_does_not_pass_on_other_hubs() {
    let now = MonoTime(1_000);
    let mut peers = PeerTable::default();
    peers.note_hint(&hint("a-02"), 1, now);
    peers.note_hub(&note("b-01", 0), WorkRate::default(), now);
    peers.note_member(&note("b-02", 100), WorkRate::default(), now);
    let direct: Vec<DaemonId> = peers.direct_notes(now).into_iter().map(|n| n.id).collect();
    assert_eq!(direct, [DaemonId::from("a-02")]);
    assert_eq!(peers.all_notes(now).len(), 3);
}

#[test]
fn own_hearing_goes_before_what_a_hub_tells() {
    let daemons = fleet(10);
    let mut peers = PeerTable::default();
    let own = DaemonId::from("a-01");
    peers.set_known(&own, &daemons, MonoTime(0));
    let heard = DaemonId::from("a-02");
    peers.note_hint(&hint("a-02"), 1, MonoTime(5_000));
    let mut left = note("a-02", 0);
    left.leaving = true;
    peers.note_member(&left, WorkRate::default(), MonoTime(5_100));
    assert!(peers.is_usable(&heard, MonoTime(5_200)));
    assert!(!peers.is_usable(&heard, MonoTime(6_500)));
    peers.note_member(&note("a-02", 400), WorkRate::default(), MonoTime(7_000));
    assert!(peers.is_usable(&heard, MonoTime(9_000)));
    assert!(!peers.is_usable(&heard, MonoTime(9_300)));
}

#[test]
fn a_member_takes_its_own_work_out_of_the_sum() {
    let target = TargetIncarnation::from("e");
    let mut own = LoadTracker::default();
    own.begin(&target, 1, 300);
    let mut all = LoadTracker::default();
    all.begin(&target, 1, 300);
    all.begin(&target, 1, 500);
    let mut sum = all.sum_with(|_| true);
    subtract(&mut sum, own.local());
    own.set_peer_work(DaemonId::from("hub"), sum, MonoTime(0));
    assert_eq!(own.total(&target).running, 2);
    assert_eq!(own.total(&target).prefill_tokens_before(1), 800);
}

#[test]
fn a_new_link_gets_what_the_store_holds_now() {
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
    let mut stock = StoreSnapshot::default();
    stock.take(objects(true, &[("gone", Some(b"1")), ("old", Some(b"2"))]));
    stock.take(objects(true, &[("a", Some(b"1")), ("b", Some(b"2"))]));
    stock.take(objects(false, &[("b", None), ("c", Some(b"3"))]));
    let all = stock.all();
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

// A member asks a daemon that has just become its hub. What the member has already is not
// sent again: with a narrow link, the hub's callers would wait for it.
#[rstest]
#[case::nothing(DigestCase { known: &[], missing: 1 })]
#[case::the_same_in_another_order(DigestCase { known: &[("b", 2), ("a", 1)], missing: 0 })]
#[case::an_older_version(DigestCase { known: &[("a", 1), ("b", 1)], missing: 1 })]
#[case::one_more(DigestCase { known: &[("a", 1), ("b", 2), ("c", 1)], missing: 1 })]
#[case::one_less(DigestCase { known: &[("a", 1)], missing: 1 })]
fn only_what_differs_is_sent(#[case] case: DigestCase) {
    let stock = |objects: &[(&str, u64)]| {
        let objects = objects.iter();
        let value = || Some(ByteBuf::from(b"1".to_vec()));
        let mut stock = StoreSnapshot::default();
        stock.take(FeedObjects {
            feed: Feed::Targets,
            whole: true,
            objects: objects
                .map(|(name, version)| ((*name).to_owned(), *version, value()))
                .collect(),
        });
        stock
    };
    let hub = stock(&[("a", 1), ("b", 2)]);
    let missing = hub.missing(&stock(case.known).digests());
    assert_eq!(missing.len(), case.missing);
}

// A daemon that becomes a hub sends all members everything at once, over a link that may
// be narrow. Requests on the same link wait for it, so values take no more than their room.
#[test]
fn objects_take_their_own_room_on_the_link() {
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

struct JoinCase {
    // Hub that could feed the member, by second; `None` where none could.
    feeding: &'static [Option<&'static str>],
    // Answers that come afterwards: hub and number of the question.
    answers: &'static [(&'static str, u64)],
    joined: bool,
}

// A member was cut off and followed the store itself. What its hub passed on meanwhile
// reaches it late or never, among it the departure of a target, which would get work
// for many seconds. It relies on the hub again from the answer to its newest question.
#[rstest]
#[case::not_answered(JoinCase { feeding: &[Some("hub")], answers: &[], joined: false })]
#[case::answered(JoinCase { feeding: &[Some("hub")], answers: &[("hub", 1)], joined: true })]
#[case::answer_from_before_the_cut(JoinCase { feeding: &[Some("hub"), None, Some("hub")], answers: &[("hub", 1)], joined: false })]
#[case::answered_after_the_cut(JoinCase { feeding: &[Some("hub"), None, Some("hub")], answers: &[("hub", 1), ("hub", 2)], joined: true })]
#[case::asked_again(JoinCase { feeding: &[Some("hub"), Some("hub")], answers: &[("hub", 2)], joined: true })]
#[case::other_hub(JoinCase { feeding: &[Some("hub"), Some("next")], answers: &[("hub", 1)], joined: false })]
#[case::other_hub_answered(JoinCase { feeding: &[Some("hub"), Some("next")], answers: &[("next", 2)], joined: true })]
fn a_hub_is_relied_on_from_its_answer_on(#[case] case: JoinCase) {
    let mut join = FeedSubscription::default();
    for (second, hub) in case.feeding.iter().enumerate() {
        let now = MonoTime(10_000 + 1_000 * second as u64);
        join.rely_on(hub.map(DaemonId::from).as_ref(), now);
    }
    for (hub, number) in case.answers {
        let hub = DaemonId::from(*hub);
        if join.awaits(&hub, *number) {
            join.take_stock(&hub, true);
        }
    }
    assert_eq!(join.is_joined(), case.joined);
}

#[test]
fn a_hub_that_cannot_feed_is_relied_on_no_longer() {
    let hub = DaemonId::from("hub");
    let mut join = FeedSubscription::default();
    assert_eq!(join.rely_on(Some(&hub), MonoTime(1_000)), Some(1));
    assert_eq!(join.rely_on(Some(&hub), MonoTime(1_200)), None);
    assert!(join.awaits(&hub, 1));
    join.take_stock(&hub, true);
    assert_eq!(join.rely_on(Some(&hub), MonoTime(1_400)), None);
    join.note_new_link(&DaemonId::from("other"));
    assert!(join.is_joined());
    join.note_new_link(&hub);
    assert!(!join.is_joined(), "what it passed on before may be lost");
    assert_eq!(join.rely_on(Some(&hub), MonoTime(1_500)), Some(2));
    join.note_new_link(&hub);
    assert_eq!(
        join.rely_on(Some(&hub), MonoTime(1_550)),
        Some(3),
        "so may the question's answer be"
    );
    assert!(join.awaits(&hub, 3));
    join.take_stock(&hub, true);
    join.rely_on(None, MonoTime(1_600));
    assert!(!join.is_joined());
    assert!(!join.awaits(&hub, 3));
}

// The members of a data centre talk to one daemon. On an instance with an eighth of a core
// and a link of 20 Mbit/s it answers late; the strongest one is taken, whatever its name.
#[test]
fn the_strongest_instance_is_the_hub() {
    let mut daemons = fleet(10);
    let strong = DaemonId::from("a-07");
    let record = daemons.iter_mut().find(|d| d.id == strong);
    record.expect("it is there").capacity.core_thousandths = 500;
    let role = |own: &str, daemons: &[DaemonRecord]| {
        let own = DaemonId::from(own);
        HubSelector::default().role(&own, daemons, &PeerTable::default(), MonoTime(0))
    };
    assert_eq!(role("a-01", &daemons), PeerRole::Member(strong.clone()));
    assert_eq!(role("a-07", &daemons), PeerRole::Hub);
    let record = daemons.iter_mut().find(|d| d.id == strong);
    record.expect("it is there").leaving = true;
    let first = PeerRole::Member(DaemonId::from("a-01"));
    assert_eq!(role("a-02", &daemons), first);
}

struct StoreHubCase {
    own: &'static str,
    // Other hubs, and when they were heard last.
    heard: &'static [(&'static str, u64)],
    follows: Option<&'static str>,
}

// Five hubs that each follow the store ask it five times as often as one. The first of
// those that hear each other does; where it falls silent, the next one takes over.
#[rstest]
#[case::first(StoreHubCase { own: "a-01", heard: &[("b-01", 4_900), ("c-01", 4_900)], follows: None })]
#[case::relies_on_the_first(StoreHubCase { own: "c-01", heard: &[("b-01", 4_900), ("a-01", 4_900)], follows: Some("a-01") })]
#[case::first_is_silent(StoreHubCase { own: "c-01", heard: &[("b-01", 4_900), ("a-01", 3_000)], follows: Some("b-01") })]
#[case::next_after_a_silent_one(StoreHubCase { own: "b-01", heard: &[("c-01", 4_900), ("a-01", 3_000)], follows: None })]
#[case::hears_nobody(StoreHubCase { own: "c-01", heard: &[], follows: None })]
fn one_hub_follows_the_store(#[case] case: StoreHubCase) {
    let daemons = fleet(10);
    let own = DaemonId::from(case.own);
    let mut peers = PeerTable::default();
    for (hub, at) in case.heard {
        peers.note_hub(&note(hub, 0), WorkRate::default(), MonoTime(*at));
    }
    let mut hubs = HubSelector::default();
    hubs.role(&own, &daemons, &peers, MonoTime(5_000));
    let follows = hubs.store_hub(&own, &daemons, &peers, MonoTime(5_000));
    assert_eq!(follows, case.follows.map(DaemonId::from));
}
