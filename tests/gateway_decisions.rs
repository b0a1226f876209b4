//! Pure decisions of the gateway: budget, health, load, caches, directory, events.

mod gateway_samples;

use std::time::Duration;

use pistachiowick::gateway::budget::{BudgetRule, RetryLimiter};
use pistachiowick::gateway::deciding::affinity::{
    CacheIndex, home_weight, part_key, shared_key, shared_tokens,
};
use pistachiowick::gateway::deciding::health::{HealthChange, HealthTracker, SendResult};
use pistachiowick::gateway::deciding::load::LoadTracker;
use pistachiowick::gateway::directory::addresses_for;
use pistachiowick::gateway::event_split::EventSplitter;
use pistachiowick::gateway::members::{DaemonRecord, InstanceCapacity};
use pistachiowick::gateway::model::PromptPart;
use pistachiowick::names::{CentreName, DaemonId, MonoTime, ServiceName};
use pistachiowick::target_incarnation::TargetIncarnation;
use rstest::rstest;

const RULE: BudgetRule = BudgetRule {
    ratio: 0.2,
    allowance: 54.0,
    window: Duration::from_secs(10),
};

struct BudgetCase {
    requests: u32,
    daemons: usize,
    within: (u32, u32),
}

// The sum over all daemons has to stay within the fleet's budget although none of
// them knows what the others spent, so each may use its own part only.
#[rstest]
#[case::quiet_fleet(BudgetCase { requests: 0, daemons: 7, within: (3, 7) })]
#[case::busy_fleet(BudgetCase { requests: 100, daemons: 7, within: (15, 27) })]
#[case::large_fleet(BudgetCase { requests: 10, daemons: 100, within: (1, 2) })]
fn repeats_stay_within_a_daemons_part(#[case] case: BudgetCase) {
    let service = ServiceName::from("ledger");
    let mut budget = RetryLimiter::new(RULE);
    let now = MonoTime(50_000);
    (0..case.requests).for_each(|_| budget.note_request(&service, now));
    let spent = (0..1_000)
        .filter(|_| budget.spend(&service, case.daemons, now))
        .count() as u32;
    let part = 0.2 * f64::from(case.requests) + 54.0 / case.daemons as f64;
    assert!(f64::from(spent) <= part, "{spent} repeats of {part}");
    assert!(case.within.0 <= spent && spent <= case.within.1, "{spent}");
}

#[test]
fn any_window_holds_no_more_than_the_part() {
    // Repeats are asked for all the time; windows slide over all of them.
    let service = ServiceName::from("ledger");
    let mut budget = RetryLimiter::new(RULE);
    let mut spent_at = Vec::new();
    for now in (0..60_000).step_by(50) {
        if budget.spend(&service, 1, MonoTime(now)) {
            spent_at.push(now);
        }
    }
    for start in &spent_at {
        let window = spent_at
            .iter()
            .filter(|at| (*start..*start + 10_000).contains(*at));
        assert!(window.count() <= 54, "window from {start}");
    }
    assert!(
        spent_at.iter().any(|at| *at > 30_000),
        "the budget fills again"
    );
}

// A target that gives no answer at all costs its callers their whole time; one that
// answers with failures may just have a bad kind of request.
#[test]
fn silence_in_a_row_leads_to_avoidance_and_an_answer_ends_it() {
    let target = TargetIncarnation::from("a");
    let mut book = HealthTracker::default();
    let first = book.note(&target, SendResult::Silent, MonoTime(0));
    assert_eq!(first, None);
    assert!(!book.view(&target, MonoTime(1)).avoided);
    let second = book.note(&target, SendResult::Silent, MonoTime(10));
    assert_eq!(second, Some(HealthChange::Avoided));
    assert!(book.view(&target, MonoTime(500)).avoided);
    let later = book.view(&target, MonoTime(1_100));
    assert!(!later.avoided && later.unproved);
    let answered = book.note(&target, SendResult::Answered, MonoTime(1_200));
    assert_eq!(answered, Some(HealthChange::Proved));
    assert!(!book.view(&target, MonoTime(1_201)).unproved);
}

#[test]
fn failures_with_answers_raise_the_rate_and_do_not_avoid() {
    let target = TargetIncarnation::from("a");
    let mut book = HealthTracker::default();
    (0..20).for_each(|at| {
        book.note(&target, SendResult::Failed, MonoTime(at));
    });
    let view = book.view(&target, MonoTime(30));
    assert!(!view.avoided);
    assert!(view.failure_rate > 0.8);
}

#[test]
fn work_of_silent_daemons_is_left_out() {
    let target = TargetIncarnation::from("a");
    let mut own = LoadTracker::default();
    let mut other = LoadTracker::default();
    other.begin(&target, 2, 500);
    own.begin(&target, 0, 100);
    own.set_peer_work(DaemonId::from("b"), other.own().clone(), MonoTime(0));
    assert_eq!(own.total(&target).running, 2);
    assert_eq!(own.total(&target).prefill_tokens_before(0), 100);
    assert_eq!(own.total(&target).prefill_tokens_before(2), 600);
    own.expire(MonoTime(2_000));
    assert_eq!(own.total(&target).running, 1);
    own.end(&target, 0, 100);
    assert_eq!(own.total(&target).running, 0);
    assert_eq!(own.total(&target).prefill_tokens_before(9), 0);
}

fn part(name: &str, tokens: u32) -> PromptPart {
    PromptPart {
        key: part_key(name),
        tokens,
    }
}

struct CacheCase {
    held: &'static [(&'static str, u32)],
    ready: bool,
    cached: u32,
    copyable: u32,
}

#[rstest]
#[case::nothing(CacheCase { held: &[], ready: true, cached: 0, copyable: 0 })]
#[case::leading(CacheCase { held: &[("x", 100), ("y", 50)], ready: true, cached: 150, copyable: 150 })]
#[case::on_its_way(CacheCase { held: &[("x", 100), ("y", 50)], ready: false, cached: 150, copyable: 0 })]
#[case::gap_at_the_front(CacheCase { held: &[("y", 50)], ready: true, cached: 0, copyable: 0 })]
fn only_leading_parts_count(#[case] case: CacheCase) {
    let engine = TargetIncarnation::from("e");
    let mut book = CacheIndex::default();
    book.set_capacity(10_000);
    let held: Vec<_> = case
        .held
        .iter()
        .map(|(name, tokens)| part(name, *tokens))
        .collect();
    if case.ready {
        book.note_cached(&engine, &held, MonoTime(5));
    } else {
        book.note_prefilling(&engine, &held, MonoTime(5));
    }
    let prompt = [part("x", 100), part("y", 50), part("own", 30)];
    assert_eq!(
        book.cached_tokens(&engine, &prompt, MonoTime(10)),
        case.cached
    );
    assert_eq!(
        book.ready_tokens(&engine, &prompt, MonoTime(10)),
        case.copyable
    );
}

#[test]
fn the_least_recently_used_part_is_forgotten_first() {
    let engine = TargetIncarnation::from("e");
    let mut book = CacheIndex::default();
    book.set_capacity(250);
    book.note_cached(&engine, &[part("x", 100)], MonoTime(1));
    book.note_cached(&engine, &[part("y", 100)], MonoTime(2));
    book.note_cached(&engine, &[part("x", 100)], MonoTime(3));
    book.note_cached(&engine, &[part("z", 100)], MonoTime(4));
    assert_eq!(
        book.cached_tokens(&engine, &[part("x", 100)], MonoTime(5)),
        100
    );
    assert_eq!(
        book.cached_tokens(&engine, &[part("y", 100)], MonoTime(5)),
        0
    );
}

#[test]
fn homes_move_only_when_their_engine_goes() {
    let engines: Vec<TargetIncarnation> = (0..12)
        .map(|n| TargetIncarnation::from(format!("e{n}")))
        .collect();
    let home = |key: u64, without: usize| {
        let left = engines.iter().enumerate().filter(|(at, _)| *at != without);
        left.max_by_key(|(_, id)| home_weight(key, id))
            .map(|(at, _)| at)
    };
    for key in 0..200 {
        let before = home(key, usize::MAX);
        let after = home(key, 3);
        assert!(
            before == Some(3) || before == after,
            "key {key} moved without reason"
        );
    }
}

#[test]
fn the_last_part_of_a_prompt_is_not_shared() {
    let prompt = [part("x", 100), part("y", 50), part("own", 30)];
    assert_eq!(shared_tokens(&prompt), 150);
    assert_eq!(shared_key(&prompt), Some(part_key("y")));
    assert_eq!(shared_key(&prompt[2..]), None);
}

struct DirectoryCase {
    away: &'static [&'static str],
    /// Daemons that do not know which keys are in force.
    unsure: &'static [&'static str],
    centre: &'static str,
    ports: &'static [u16],
}

#[rstest]
#[case::near(DirectoryCase { away: &[], unsure: &[], centre: "x", ports: &[1, 2] })]
#[case::too_few_near(DirectoryCase { away: &["a"], unsure: &[], centre: "x", ports: &[2, 3] })]
#[case::unknown_centre(DirectoryCase { away: &[], unsure: &[], centre: "q", ports: &[1, 2, 3] })]
#[case::one_unsure(DirectoryCase { away: &[], unsure: &["c"], centre: "q", ports: &[1, 2] })]
#[case::too_few_sure_near(DirectoryCase { away: &[], unsure: &["a"], centre: "x", ports: &[2, 3] })]
#[case::none_sure(DirectoryCase { away: &[], unsure: &["a", "b", "c"], centre: "x", ports: &[1, 2] })]
#[case::all_away(DirectoryCase { away: &["a", "b", "c"], unsure: &[], centre: "x", ports: &[] })]
fn callers_are_sent_near_where_two_can_serve(#[case] case: DirectoryCase) {
    let daemons = [
        daemon("a", "x", 1),
        daemon("b", "x", 2),
        daemon("c", "y", 3),
    ];
    let usable = |id: &DaemonId| !case.away.contains(&id.as_str());
    let sure = |id: &DaemonId| !case.unsure.contains(&id.as_str());
    let found = addresses_for(&daemons, &CentreName::from(case.centre), usable, sure);
    let ports: Vec<u16> = found.iter().map(std::net::SocketAddr::port).collect();
    assert_eq!(ports, case.ports);
}

fn daemon(id: &str, centre: &str, port: u16) -> DaemonRecord {
    DaemonRecord {
        id: DaemonId::from(id),
        life: 1,
        callers: ([127, 0, 0, 1], port).into(),
        peers: ([127, 0, 0, 1], port).into(),
        centre: CentreName::from(centre),
        leaving: false,
        strength: InstanceCapacity::default(),
    }
}

struct SplitCase {
    chunks: &'static [&'static str],
    passed: &'static str,
    last_id: Option<u64>,
    rest: &'static str,
}

// A target that stops in the middle of an event must leave no part of it with the
// caller: another target continues after the last whole one.
#[rstest]
#[case::one(SplitCase { chunks: &["id: 1\ndata: a\n\n"], passed: "id: 1\ndata: a\n\n", last_id: Some(1), rest: "" })]
#[case::split_in_the_boundary(SplitCase { chunks: &["id: 1\n", "data: a\n", "\nid: 2"], passed: "id: 1\ndata: a\n\n", last_id: Some(1), rest: "id: 2" })]
#[case::two_and_a_part(SplitCase { chunks: &["id: 1\n\nid: 2\n\nid: 3\nda"], passed: "id: 1\n\nid: 2\n\n", last_id: Some(2), rest: "id: 3\nda" })]
#[case::carriage_returns(SplitCase { chunks: &["id: 7\r\ndata: a\r\n\r\nx"], passed: "id: 7\r\ndata: a\r\n\r\n", last_id: Some(7), rest: "x" })]
#[case::no_number(SplitCase { chunks: &["data: a\n\n"], passed: "data: a\n\n", last_id: None, rest: "" })]
fn only_whole_events_are_passed_on(#[case] case: SplitCase) {
    let mut splitter = EventSplitter::default();
    let mut passed = Vec::new();
    let mut last_id = None;
    for chunk in case.chunks {
        if let Some(batch) = splitter.push(chunk.as_bytes()) {
            passed.extend_from_slice(&batch.bytes);
            last_id = batch.last_id.or(last_id);
        }
    }
    assert_eq!(String::from_utf8_lossy(&passed), case.passed);
    assert_eq!(last_id, case.last_id);
    assert_eq!(splitter.take_rest(), case.rest.as_bytes());
}
