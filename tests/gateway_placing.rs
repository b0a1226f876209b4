//! Choice of engines by one daemon for others.

use std::time::Duration;

use pistachiowick::gateway::deciding::load::LoadTracker;
use pistachiowick::gateway::peers::placing::PlacementClient;
use pistachiowick::gateway::peers::wire::{PlacedEngines, PlacementRequest, PlacementResponse};
use pistachiowick::names::{DaemonId, MonoTime, ServiceName};
use pistachiowick::target_incarnation::TargetIncarnation;
use rstest::rstest;

const NOW: MonoTime = MonoTime(10_000);

fn after(ms: u64) -> MonoTime {
    NOW.plus(Duration::from_millis(ms))
}

fn request() -> PlacementRequest {
    PlacementRequest {
        from: DaemonId::from("member"),
        incarnation: 1,
        number: 0,
        service: ServiceName::from("engines"),
        avoided: Vec::new(),
        prompt_tokens: 1_000,
        output_tokens: 10,
        parts: vec![(7, 1_000)],
        urgency: 1,
        objective_left_ms: 600,
        request_bytes: 0,
    }
}

fn engines(writer: &str) -> PlacedEngines {
    PlacedEngines {
        prefill_engine: None,
        decode_engine: TargetIncarnation::from(writer),
        fetch_from: None,
        rank: 1,
        expected_ms: 100.0,
        own_prefill_ms: 10.0,
        pending_prefill_tokens: 1_000,
        recomputed_tokens: 0,
        queued_ahead_tokens: 0,
        deprioritized: false,
    }
}

struct PlacementCase {
    // Number of the last placement request that the member's hint contains, if one arrives.
    reported: Option<u64>,
    // Pending prefill tokens in that hint.
    reported_tokens: u32,
    wait_ms: u64,
    unread: u32,
}

// A hub answers placement request 4 of a member, whose next hint reports the work itself.
// Until then the placement counts, so that the next request goes elsewhere. Afterwards it must
// not count twice, and the placement of a member that is gone must expire.
#[rstest]
#[case::not_reported_yet(PlacementCase { reported: None, reported_tokens: 0, wait_ms: 100, unread: 1_000 })]
#[case::older_hint(PlacementCase { reported: Some(3), reported_tokens: 500, wait_ms: 100, unread: 1_500 })]
#[case::reported(PlacementCase { reported: Some(4), reported_tokens: 1_000, wait_ms: 100, unread: 1_000 })]
#[case::reported_and_prefilled(PlacementCase { reported: Some(5), reported_tokens: 0, wait_ms: 100, unread: 0 })]
#[case::member_is_gone(PlacementCase { reported: None, reported_tokens: 0, wait_ms: 1_000, unread: 0 })]
fn a_placement_counts_once(#[case] case: PlacementCase) {
    let (member, engine) = (DaemonId::from("member"), TargetIncarnation::from("e1"));
    let mut load = LoadTracker::default();
    load.reserve((&member, 4), &engine, (1, 1_000), NOW);
    if let Some(through) = case.reported {
        let mut own = LoadTracker::default();
        own.begin(&engine, 1, case.reported_tokens);
        load.release_reservations(&member, through);
        load.set_peer_work(member, own.local().clone(), after(50));
    }
    load.expire(after(case.wait_ms));
    assert_eq!(load.total(&engine).prefill_tokens_before(1), case.unread);
    let summed = load.sum_with(|_| true);
    let summed = summed
        .get(&engine)
        .map_or(0, |work| work.prefill_tokens_before(1));
    assert_eq!(summed, case.unread);
}

struct LatePlacementCase {
    through: u64,
    number: u64,
    unread: u32,
}

// Hubs announce placements to each other at once, and sums of their work later. A placement
// that arrives after a sum which contains it must not count twice; a hub that was restarted
// numbers its announcements from the beginning.
#[rstest]
#[case::after_its_sum(LatePlacementCase { through: 4, number: 4, unread: 500 })]
#[case::newer(LatePlacementCase { through: 4, number: 5, unread: 1_500 })]
#[case::of_the_next_incarnation(LatePlacementCase { through: 0, number: 1, unread: 1_500 })]
fn a_placement_after_its_sum_does_not_count_twice(#[case] case: LatePlacementCase) {
    let (hub, engine) = (DaemonId::from("hub"), TargetIncarnation::from("e1"));
    let mut load = LoadTracker::default();
    load.release_reservations(&hub, 90);
    load.release_reservations(&hub, case.through);
    let mut reported = LoadTracker::default();
    reported.begin(&engine, 1, 500);
    load.set_peer_work(hub.clone(), reported.local().clone(), NOW);
    load.reserve((&hub, case.number), &engine, (1, 1_000), NOW);
    load.expire(after(50));
    assert_eq!(load.total(&engine).prefill_tokens_before(1), case.unread);
}

#[test]
fn a_response_reaches_its_own_request() {
    let hub = DaemonId::from("hub");
    let mut client = PlacementClient::default();
    let mut queue = client.open_link(&hub);
    assert!(
        client.send_request(request(), NOW).is_none(),
        "no hub to ask"
    );
    client.set_placement_hub(Some(hub));
    let (first, mut first_wait) = client.send_request(request(), NOW).expect("a request");
    let (second, mut second_wait) = client.send_request(request(), NOW).expect("a request");
    assert!(queue.try_recv().is_ok() && queue.try_recv().is_ok());
    for (number, writer) in [
        (second, "e2"),
        (first, "e1"),
        (first, "late"),
        (99, "stray"),
    ] {
        let engines = Some(engines(writer));
        client.deliver_response(PlacementResponse { number, engines });
    }
    let writer = |placed: Option<PlacedEngines>| placed.map(|p| p.decode_engine);
    let first = first_wait.try_recv().expect("an answer");
    let second = second_wait.try_recv().expect("an answer");
    assert_eq!(writer(first), Some(TargetIncarnation::from("e1")));
    assert_eq!(writer(second), Some(TargetIncarnation::from("e2")));
}

// When the hub hangs, one request waits for its response; the next ones do not.
#[test]
fn an_unresponsive_hub_gets_no_requests_for_a_while() {
    let mut client = PlacementClient::default();
    let _queue = client.open_link(&DaemonId::from("hub"));
    client.set_placement_hub(Some(DaemonId::from("hub")));
    let (number, _wait) = client.send_request(request(), NOW).expect("a request");
    client.record_timeout(number, NOW);
    assert!(client.send_request(request(), after(500)).is_none());
    assert!(client.send_request(request(), after(1_100)).is_some());
    client.record_timeout(number, after(1_100));
    let _other = client.open_link(&DaemonId::from("other"));
    client.set_placement_hub(Some(DaemonId::from("other")));
    assert!(client.send_request(request(), after(1_200)).is_some());
}

#[test]
fn no_request_is_sent_on_a_closed_link() {
    let hub = DaemonId::from("hub");
    let mut client = PlacementClient::default();
    client.set_placement_hub(Some(hub.clone()));
    assert!(client.send_request(request(), NOW).is_none(), "no link yet");
    drop(client.open_link(&hub));
    assert!(
        client.send_request(request(), NOW).is_none(),
        "the link is lost"
    );
}
