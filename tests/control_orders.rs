//! Orders are stored before they are sent, one at a time, and not sent once the lease
//! is lost.

use std::time::Duration;

use pistachiowick::authority::lease_state::{LeaseAuthority, LeaseTimes};
use pistachiowick::authority::order_record::{
    OrderPhase, OrderRecord, PlannedChange, order_object,
};
use pistachiowick::authority::order_types::{OrderAction, OrderTimes};
use pistachiowick::authority::orders::OrderManager;
use pistachiowick::names::{FenceNumber, GroupName, MonoTime, ProcessIncarnation, TargetId};
use pistachiowick::ports::{ObjectVersion, PlatformError, StoredObject, TargetError};
use pistachiowick::targets::wire::{EngineRole, EngineState, OrderBody, OrderId};
use rstest::rstest;

const LEASE: LeaseTimes = LeaseTimes {
    duration: Duration::from_millis(6_000),
    guard: Duration::from_millis(1_500),
    max_order_flight: Duration::from_millis(1_000),
};

/// An engine, its group's object, and the order managers of successive lease holders.
struct Bench {
    now: u64,
    stored: Option<StoredObject>,
    book: OrderManager,
    fence: u64,
    state: EngineState,
    sent: Vec<(u64, OrderBody)>,
}

fn engine() -> TargetId {
    TargetId::from("e")
}

fn change(role: EngineRole) -> PlannedChange {
    PlannedChange {
        role,
        models: vec!["m".to_owned()],
        reason: "the mix".to_owned(),
    }
}

fn times() -> OrderTimes {
    OrderTimes::new(LEASE, Duration::from_secs(3))
}

fn book(fence: u64) -> OrderManager {
    OrderManager::new(GroupName::from("north-0"), FenceNumber(fence), times())
}

impl Bench {
    fn new() -> Self {
        Self {
            now: 1_000,
            stored: None,
            book: book(1),
            fence: 1,
            state: EngineState {
                target: engine(),
                incarnation: ProcessIncarnation(1),
                at_ms: 0,
                role: EngineRole::Mixed,
                changing: false,
                models: vec!["m".to_owned()],
                running: 0,
                waiting: 0,
                prefill_backlog_tokens: 0,
                decode_backlog_tokens: 0,
                kv_used_tokens: 0,
                kv_limit_tokens: 0,
                last_order: None,
                cache_sequence: 0,
            },
            sent: Vec::new(),
        }
    }

    fn authority(&self) -> Option<LeaseAuthority> {
        Some(LeaseAuthority {
            fence: FenceNumber(self.fence),
            until: MonoTime(u64::MAX),
        })
    }

    fn store(&mut self, action: &OrderAction) -> Option<ObjectVersion> {
        let OrderAction::Write { write, .. } = action else {
            return None;
        };
        let current = self.stored.as_ref().map_or(ObjectVersion(0), |s| s.version);
        if write.expected != current {
            return None;
        }
        let version = ObjectVersion(current.0 + 1);
        self.stored = Some(StoredObject {
            object: write.object.clone(),
            version,
            value: Some(write.value.clone()),
        });
        Some(version)
    }

    /// Runs one tick and answers every platform call at once; returns the sends that
    /// are due, unanswered.
    fn step(&mut self) -> Vec<TargetId> {
        self.now += 100;
        let now = MonoTime(self.now);
        self.book.note_state(&engine(), &self.state.clone(), now);
        let mut sends = Vec::new();
        for action in self.book.tick(now) {
            match &action {
                OrderAction::Read => self.book.note_read(&Ok(self.stored.clone()), now),
                OrderAction::Write { write_id, .. } => {
                    let result = self.store(&action).ok_or(PlatformError::Conflict {
                        current: ObjectVersion(0),
                    });
                    self.book.note_write(write_id, &result, now);
                }
                OrderAction::Send(target) => sends.push(target.clone()),
            }
        }
        sends
    }

    fn steps(&mut self, count: usize) -> Vec<TargetId> {
        (0..count).flat_map(|_| self.step()).collect()
    }

    fn steps_until_send(&mut self) -> Vec<TargetId> {
        let mut steps = (0..200).map(|_| self.step());
        steps.find(|sends| !sends.is_empty()).unwrap_or_default()
    }

    /// Steps until the order may be sent, and sends it.
    fn order(&mut self) -> OrderBody {
        for _ in 0..200 {
            if self.step().is_empty() {
                continue;
            }
            let (authority, now) = (self.authority(), MonoTime(self.now));
            let body = self.book.begin_send(&engine(), authority, now).unwrap();
            self.sent.push((self.now, body.clone()));
            return body;
        }
        panic!("no order: {:?}", self.book);
    }

    /// Requests a role until the order for it is sent.
    fn wanted_order(&mut self, role: EngineRole) -> OrderBody {
        for _ in 0..200 {
            self.book.request_change(engine(), change(role));
            if self.step().is_empty() {
                continue;
            }
            let (authority, now) = (self.authority(), MonoTime(self.now));
            return self.book.begin_send(&engine(), authority, now).unwrap();
        }
        panic!("no order: {:?}", self.book);
    }

    /// The engine accepts an order and starts the change.
    fn take(&mut self, body: &OrderBody) -> EngineState {
        self.state.last_order = Some(body.order_id.clone());
        self.state.changing = true;
        self.state.clone()
    }

    fn finish(&mut self, body: &OrderBody) {
        self.state.changing = false;
        self.state.role = body.role;
        self.state.models.clone_from(&body.models);
    }

    fn recorded(&self) -> OrderRecord {
        OrderRecord::decode(self.stored.as_ref().unwrap()).unwrap()
    }

    fn succeed(&mut self) {
        self.fence += 1;
        self.book = book(self.fence);
    }
}

#[test]
fn a_change_is_drained_recorded_sent_and_finished() {
    let mut bench = Bench::new();
    bench.state.running = 2;
    bench
        .book
        .request_change(engine(), change(EngineRole::Prefill));
    assert!(bench.steps(50).is_empty(), "ordered while work is running");
    assert_eq!(
        bench.recorded().entries[&engine()].phase,
        OrderPhase::Draining
    );
    bench.state.running = 0;
    let body = bench.order();
    let recorded = OrderPhase::Ordered(body.order_id.clone());
    assert_eq!(bench.recorded().entries[&engine()].phase, recorded);
    let answer = bench.take(&body);
    bench
        .book
        .note_answer(&engine(), &Ok(answer), MonoTime(bench.now));
    assert!(bench.steps(30).is_empty(), "sent twice");
    bench.finish(&body);
    bench.steps(3);
    assert!(bench.recorded().entries.is_empty());
    assert!(bench.steps(30).is_empty());
}

/// An engine is marked as draining, and another daemon that does not know this yet
/// places a request there. A report of "no work" from before all daemons know proves
/// nothing: an order sent on it would interrupt that request.
#[test]
fn an_early_report_of_no_work_is_not_believed() {
    let mut bench = Bench::new();
    bench
        .book
        .request_change(engine(), change(EngineRole::Prefill));
    for _ in 0..10 {
        if bench.stored.is_none() || bench.recorded().entries.is_empty() {
            bench.step();
        }
    }
    let since = bench.now;
    bench.order();
    assert!(bench.now >= since + 1_000, "{}", bench.now - since);
}

#[test]
fn a_drain_that_never_ends_is_given_up_without_an_order() {
    let mut bench = Bench::new();
    bench.state.running = 1;
    bench
        .book
        .request_change(engine(), change(EngineRole::Prefill));
    bench.steps(3_100);
    assert!(bench.recorded().entries.is_empty());
    let news = bench.book.take_events();
    assert!(
        news.iter()
            .any(|n| n.reason.contains("did not finish in time"))
    );
}

struct SendCase {
    authority: Option<(u64, u64)>,
    sends: bool,
}

/// The lease is lost, or held with another fence, between storing the order and sending
/// it: the order must not be sent.
#[rstest]
#[case::held(SendCase { authority: Some((1, u64::MAX)), sends: true })]
#[case::lost(SendCase { authority: None, sends: false })]
#[case::ended(SendCase { authority: Some((1, 0)), sends: false })]
#[case::another_fence(SendCase { authority: Some((2, u64::MAX)), sends: false })]
fn authority_is_checked_at_the_last_moment(#[case] case: SendCase) {
    let mut bench = Bench::new();
    bench
        .book
        .request_change(engine(), change(EngineRole::Prefill));
    assert!(!bench.steps_until_send().is_empty());
    let authority = case.authority.map(|(fence, until)| LeaseAuthority {
        fence: FenceNumber(fence),
        until: MonoTime(until),
    });
    let body = bench
        .book
        .begin_send(&engine(), authority, MonoTime(bench.now));
    assert_eq!(body.is_some(), case.sends);
}

struct AnswerCase {
    answer: Result<(), TargetError>,
    reached: bool,
    sends: usize,
}

fn lost() -> TargetError {
    TargetError::Lost {
        reason: "no answer".to_owned(),
    }
}

/// The answer to an order is lost. If the engine's state shows the order, it is not
/// sent again. If the state does not show it once no copy can be in flight, the same
/// order is sent once more.
#[rstest]
#[case::answered(AnswerCase { answer: Ok(()), reached: true, sends: 1 })]
#[case::lost_but_taken(AnswerCase { answer: Err(lost()), reached: true, sends: 1 })]
#[case::lost_and_gone(AnswerCase { answer: Err(lost()), reached: false, sends: 2 })]
#[case::not_reached(AnswerCase {
    answer: Err(TargetError::NotDelivered { reason: "refused".to_owned() }), reached: false, sends: 1,
})]
fn a_lost_answer_is_settled_by_the_engines_state(#[case] case: AnswerCase) {
    let mut bench = Bench::new();
    bench
        .book
        .request_change(engine(), change(EngineRole::Prefill));
    let first = bench.order();
    let sent_at = bench.now;
    if case.reached {
        bench.take(&first);
    }
    let answer = case.answer.map(|()| bench.state.clone());
    bench
        .book
        .note_answer(&engine(), &answer, MonoTime(bench.now));
    let mut sends = 1;
    for _ in 0..40 {
        if bench.step().is_empty() {
            continue;
        }
        assert!(
            bench.now >= sent_at + 1_000,
            "a copy may still be in flight"
        );
        let (authority, now) = (bench.authority(), MonoTime(bench.now));
        let again = bench.book.begin_send(&engine(), authority, now).unwrap();
        assert_eq!(again, first);
        sends += 1;
        let answer = bench.take(&again);
        bench.book.note_answer(&engine(), &Ok(answer), now);
    }
    assert_eq!(sends, case.sends);
}

#[test]
fn a_fenced_order_ends_the_book() {
    let mut bench = Bench::new();
    bench
        .book
        .request_change(engine(), change(EngineRole::Prefill));
    bench.order();
    let answer = Err(TargetError::Fenced {
        current: FenceNumber(9),
    });
    bench
        .book
        .note_answer(&engine(), &answer, MonoTime(bench.now));
    assert_eq!(bench.book.fenced_by(), Some(FenceNumber(9)));
    let (authority, now) = (bench.authority(), MonoTime(bench.now));
    assert!(bench.book.begin_send(&engine(), authority, now).is_none());
}

/// A holder is paused, and a successor claims the group. When the first holder resumes,
/// its update is refused, and the stored record shows it the later fence, even if
/// engines would obey its orders.
#[test]
fn a_successors_claim_fences_the_record() {
    let mut bench = Bench::new();
    bench.steps(5);
    let mut paused = bench.book.clone();
    bench.succeed();
    bench.steps(5);
    paused.request_change(engine(), change(EngineRole::Prefill));
    let now = MonoTime(bench.now);
    paused.note_state(&engine(), &bench.state, now);
    for action in paused.tick(now) {
        if let OrderAction::Write { write_id, .. } = &action {
            assert!(bench.store(&action).is_none(), "an old holder wrote");
            let conflict = PlatformError::Conflict {
                current: ObjectVersion(9),
            };
            paused.note_write(write_id, &Err(conflict), now);
        }
    }
    for action in paused.tick(now) {
        assert_eq!(action, OrderAction::Read);
        paused.note_read(&Ok(bench.stored.clone()), now);
    }
    assert_eq!(paused.fenced_by(), Some(FenceNumber(2)));
}

struct HeirCase {
    reached: bool,
    finishes: bool,
}

/// A holder fails right after sending an order. The successor sends the engine no other
/// order until the engine's state shows what became of the first.
#[rstest]
#[case::never_arrived(HeirCase { reached: false, finishes: false })]
#[case::under_way(HeirCase { reached: true, finishes: false })]
#[case::finished(HeirCase { reached: true, finishes: true })]
fn a_successor_settles_the_outstanding_order(#[case] case: HeirCase) {
    let mut bench = Bench::new();
    bench
        .book
        .request_change(engine(), change(EngineRole::Prefill));
    let first = bench.order();
    bench.succeed();
    bench
        .book
        .request_change(engine(), change(EngineRole::Decode));
    if case.reached {
        bench.take(&first);
    }
    if case.finishes {
        bench.finish(&first);
    }
    let claimed = bench.now;
    if case.reached && !case.finishes {
        assert!(bench.steps(50).is_empty(), "a second order during a change");
        bench.finish(&first);
    }
    let second = bench.wanted_order(EngineRole::Decode);
    assert_eq!(second.order_id.fence, FenceNumber(2));
    assert_ne!(second.order_id.id, first.order_id.id);
    if !case.reached {
        assert!(
            bench.now >= claimed + 1_000,
            "an order may still be in flight"
        );
    }
}

#[test]
fn a_successor_drops_drains_and_reads_states_first() {
    let mut bench = Bench::new();
    bench.state.running = 1;
    bench
        .book
        .request_change(engine(), change(EngineRole::Prefill));
    bench.steps(10);
    assert_eq!(bench.recorded().entries.len(), 1);
    bench.succeed();
    bench.steps(5);
    assert!(bench.recorded().entries.is_empty());
    bench.succeed();
    bench
        .book
        .request_change(engine(), change(EngineRole::Prefill));
    let mut book = bench.book.clone();
    for now in (bench.now..bench.now + 5_000).step_by(100) {
        for action in book.tick(MonoTime(now)) {
            match &action {
                OrderAction::Read => book.note_read(&Ok(bench.stored.clone()), MonoTime(now)),
                OrderAction::Write { write_id, .. } => {
                    let version = bench.store(&action).unwrap();
                    book.note_write(write_id, &Ok(version), MonoTime(now));
                }
                OrderAction::Send(_) => panic!("ordered before the engine's state was read"),
            }
        }
    }
    assert!(
        book.entries().is_empty(),
        "drained before the engine's state was read"
    );
}

#[test]
fn an_engine_that_restarts_during_its_change_is_let_go() {
    let mut bench = Bench::new();
    bench
        .book
        .request_change(engine(), change(EngineRole::Prefill));
    let body = bench.order();
    let answer = bench.take(&body);
    bench
        .book
        .note_answer(&engine(), &Ok(answer), MonoTime(bench.now));
    bench.steps(3);
    bench.state.last_order = None;
    bench.state.changing = false;
    bench.state.incarnation = ProcessIncarnation(2);
    bench.steps(15);
    assert!(bench.recorded().entries.is_empty());
}

/// The gap that remains with engines that ignore fences: the holder passes its last
/// check and is paused before the bytes are sent; a successor acquires the lease and
/// sends an order, and the old order arrives after it. An engine that checks fences
/// refuses the old order; one that ignores them obeys. Only a pause longer than the
/// guard and the order's flight time together lets the old order meet a successor's.
#[rstest]
#[case::checks(true)]
#[case::ignores(false)]
fn the_edge_that_only_a_fence_closes(#[case] checks_fence: bool) {
    let mut bench = Bench::new();
    bench
        .book
        .request_change(engine(), change(EngineRole::Prefill));
    let old = bench.order();
    let last_check = bench.now;
    let ends = last_check + u64::try_from(LEASE.guard.as_millis()).unwrap();
    let flight = u64::try_from(LEASE.max_order_flight.as_millis()).unwrap();
    let taken_over = ends + flight;
    bench.now = taken_over;
    bench.succeed();
    bench
        .book
        .request_change(engine(), change(EngineRole::Decode));
    let new = bench.wanted_order(EngineRole::Decode);
    let pause = bench.now - last_check;
    assert!(pause > 2_500, "a pause of {pause} ms does harm");
    let highest = new.order_id.fence;
    let obeyed = !(checks_fence && old.order_id.fence < highest);
    assert_eq!(obeyed, !checks_fence);
}

/// The response to a write is lost, and the write takes effect late, after the object
/// was read back without it.
#[test]
fn its_own_late_record_is_taken_up() {
    let mut bench = Bench::new();
    bench.steps(5);
    bench
        .book
        .request_change(engine(), change(EngineRole::Prefill));
    bench.now += 100;
    let now = MonoTime(bench.now);
    bench.book.note_state(&engine(), &bench.state, now);
    let actions = bench.book.tick(now);
    let OrderAction::Write { write_id, .. } = &actions[0] else {
        panic!("{actions:?}");
    };
    let lost = PlatformError::Lost {
        reason: "no answer".to_owned(),
    };
    bench.book.note_write(write_id, &Err(lost), now);
    for action in bench.book.tick(now) {
        assert_eq!(action, OrderAction::Read);
        bench.book.note_read(&Ok(bench.stored.clone()), now);
    }
    bench.store(&actions[0]).unwrap();
    bench.order();
}

#[test]
fn wishes_taken_back_end_their_drain() {
    let mut bench = Bench::new();
    bench.state.running = 1;
    bench
        .book
        .request_change(engine(), change(EngineRole::Prefill));
    bench.steps(10);
    bench.book.retain_changes(&indexmap::IndexMap::new());
    bench.state.running = 0;
    assert!(bench.steps(30).is_empty());
    assert!(bench.recorded().entries.is_empty());
}

#[test]
fn records_survive_the_wire() {
    let mut record = OrderRecord {
        fence: FenceNumber(3),
        write_id: "m".to_owned(),
        last_order: 7,
        ..OrderRecord::default()
    };
    for (name, phase) in [
        ("a", OrderPhase::Draining),
        (
            "b",
            OrderPhase::Ordered(OrderId {
                id: "x".to_owned(),
                fence: FenceNumber(3),
            }),
        ),
    ] {
        let entry = pistachiowick::authority::order_record::OrderEntry {
            change: change(EngineRole::Decode),
            phase,
        };
        record.entries.insert(TargetId::from(name), entry);
    }
    let stored = StoredObject {
        object: order_object(&GroupName::from("g")),
        version: ObjectVersion(1),
        value: Some(record.encode()),
    };
    assert_eq!(OrderRecord::decode(&stored), Some(record));
}

/// A holder fails while an order is in flight. The successor's first read of the
/// engine's state does not show the order, which proves nothing until the longest
/// flight time is over: if the entry were removed earlier, the engine would go back
/// into use and be changed while it has work.
#[test]
fn an_order_on_its_way_is_not_written_off() {
    let mut bench = Bench::new();
    bench
        .book
        .request_change(engine(), change(EngineRole::Prefill));
    bench.order();
    bench.succeed();
    bench.step();
    bench.step();
    let claimed = bench.now;
    assert_eq!(bench.recorded().fence, FenceNumber(2));
    while !bench.recorded().entries.is_empty() {
        assert!(bench.now < claimed + 5_000, "never settled");
        bench.step();
    }
    assert!(bench.now >= claimed + 900, "{}", bench.now - claimed);
}
