//! Places on engines that one daemon gives out for others.

use std::time::Duration;

use pistachiowick::gateway::deciding::load::LoadBook;
use pistachiowick::gateway::peers::placing::PlacingDesk;
use pistachiowick::gateway::peers::wire::{PlaceAnswer, PlaceQuestion, PlacedEngines};
use pistachiowick::names::{DaemonId, MonoTime, ServiceName};
use pistachiowick::target_life::TargetLife;
use rstest::rstest;

const NOW: MonoTime = MonoTime(10_000);

fn after(ms: u64) -> MonoTime {
    NOW.plus(Duration::from_millis(ms))
}

fn request() -> PlaceQuestion {
    PlaceQuestion {
        from: DaemonId::from("member"),
        life: 1,
        number: 0,
        service: ServiceName::from("engines"),
        avoided: Vec::new(),
        prompt_tokens: 1_000,
        output_tokens: 10,
        parts: vec![(7, 1_000)],
        urgency: 1,
        objective_left_ms: 600,
    }
}

fn engines(writer: &str) -> PlacedEngines {
    PlacedEngines {
        reader: None,
        writer: TargetLife::from(writer),
        fetch_from: None,
        rank: 1,
        expected_ms: 100.0,
        own_ms: 10.0,
        unread_tokens: 1_000,
        reread_tokens: 0,
        waiting_tokens: 0,
        gives_way: false,
    }
}

struct PromiseCase {
    // Number of the last question that the member's own word contains, if it comes.
    told: Option<u64>,
    // Unread tokens in that word.
    told_tokens: u32,
    wait_ms: u64,
    unread: u32,
}

// A hub gives a member a place (question 4) and hears of the work itself by the member's
// next hint. In between the place counts, so that the next request is put elsewhere;
// afterwards it must not count twice, and a member that is gone leaves nothing behind.
#[rstest]
#[case::not_told_yet(PromiseCase { told: None, told_tokens: 0, wait_ms: 100, unread: 1_000 })]
#[case::older_word(PromiseCase { told: Some(3), told_tokens: 500, wait_ms: 100, unread: 1_500 })]
#[case::told(PromiseCase { told: Some(4), told_tokens: 1_000, wait_ms: 100, unread: 1_000 })]
#[case::told_and_read(PromiseCase { told: Some(5), told_tokens: 0, wait_ms: 100, unread: 0 })]
#[case::member_is_gone(PromiseCase { told: None, told_tokens: 0, wait_ms: 1_000, unread: 0 })]
fn a_place_counts_once(#[case] case: PromiseCase) {
    let (member, engine) = (DaemonId::from("member"), TargetLife::from("e1"));
    let mut load = LoadBook::default();
    load.promise((&member, 4), &engine, (1, 1_000), NOW);
    if let Some(through) = case.told {
        let mut own = LoadBook::default();
        own.begin(&engine, 1, case.told_tokens);
        load.settle_promises(&member, through);
        load.set_other(member, own.own().clone(), after(50));
    }
    load.expire(after(case.wait_ms));
    assert_eq!(load.total(&engine).unread_before(1), case.unread);
    let summed = load.summed(|_| true);
    let summed = summed.get(&engine).map_or(0, |work| work.unread_before(1));
    assert_eq!(summed, case.unread);
}

struct LateNoteCase {
    through: u64,
    number: u64,
    unread: u32,
}

// Hubs tell each other of placements at once and of their sums later. A note that comes
// after a sum which contains it must not count a second time; a hub that was started
// again numbers from the beginning.
#[rstest]
#[case::after_its_sum(LateNoteCase { through: 4, number: 4, unread: 500 })]
#[case::newer(LateNoteCase { through: 4, number: 5, unread: 1_500 })]
#[case::of_the_next_life(LateNoteCase { through: 0, number: 1, unread: 1_500 })]
fn a_note_after_its_sum_does_not_count_twice(#[case] case: LateNoteCase) {
    let (hub, engine) = (DaemonId::from("hub"), TargetLife::from("e1"));
    let mut load = LoadBook::default();
    load.settle_promises(&hub, 90);
    load.settle_promises(&hub, case.through);
    let mut told = LoadBook::default();
    told.begin(&engine, 1, 500);
    load.set_other(hub.clone(), told.own().clone(), NOW);
    load.promise((&hub, case.number), &engine, (1, 1_000), NOW);
    load.expire(after(50));
    assert_eq!(load.total(&engine).unread_before(1), case.unread);
}

#[test]
fn an_answer_reaches_its_own_question() {
    let hub = DaemonId::from("hub");
    let mut desk = PlacingDesk::default();
    let mut queue = desk.open_link(&hub);
    assert!(desk.send_request(request(), NOW).is_none(), "nobody to ask");
    desk.set_placement_hub(Some(hub));
    let (first, mut first_wait) = desk.send_request(request(), NOW).expect("a question");
    let (second, mut second_wait) = desk.send_request(request(), NOW).expect("a question");
    assert!(queue.try_recv().is_ok() && queue.try_recv().is_ok());
    for (number, writer) in [
        (second, "e2"),
        (first, "e1"),
        (first, "late"),
        (99, "stray"),
    ] {
        let engines = Some(engines(writer));
        desk.deliver_response(PlaceAnswer { number, engines });
    }
    let writer = |placed: Option<PlacedEngines>| placed.map(|p| p.writer);
    let first = first_wait.try_recv().expect("an answer");
    let second = second_wait.try_recv().expect("an answer");
    assert_eq!(writer(first), Some(TargetLife::from("e1")));
    assert_eq!(writer(second), Some(TargetLife::from("e2")));
}

// The hub stands still. One request waits for it, the others do not.
#[test]
fn a_silent_placer_is_not_asked_for_a_while() {
    let mut desk = PlacingDesk::default();
    let _queue = desk.open_link(&DaemonId::from("hub"));
    desk.set_placement_hub(Some(DaemonId::from("hub")));
    let (number, _wait) = desk.send_request(request(), NOW).expect("a question");
    desk.record_timeout(number, NOW);
    assert!(desk.send_request(request(), after(500)).is_none());
    assert!(desk.send_request(request(), after(1_100)).is_some());
    desk.record_timeout(number, after(1_100));
    let _other = desk.open_link(&DaemonId::from("other"));
    desk.set_placement_hub(Some(DaemonId::from("other")));
    assert!(desk.send_request(request(), after(1_200)).is_some());
}

#[test]
fn a_link_that_ended_is_not_asked_over() {
    let hub = DaemonId::from("hub");
    let mut desk = PlacingDesk::default();
    desk.set_placement_hub(Some(hub.clone()));
    assert!(desk.send_request(request(), NOW).is_none(), "no link yet");
    drop(desk.open_link(&hub));
    assert!(
        desk.send_request(request(), NOW).is_none(),
        "the link is lost"
    );
}
