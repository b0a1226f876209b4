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
struct Fixture {
    now: u64,
    stored: Option<StoredObject>,
    manager: OrderManager,
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

fn manager(fence: u64) -> OrderManager {
    OrderManager::new(GroupName::from("north-0"), FenceNumber(fence), times())
}

impl Fixture {
    fn new() -> Self {
        Self {
            now: 1_000,
            stored: None,
            manager: manager(1),
            fence: 1,
            state: EngineState {
                target: engine(),
                incarnation: ProcessIncarnation(1),
                software: String::new(),
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
            deadline: MonoTime(u64::MAX),
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
        self.manager.note_state(&engine(), &self.state.clone(), now);
        let mut sends = Vec::new();
        for action in self.manager.tick(now) {
            match &action {
                OrderAction::Read => self.manager.note_read(&Ok(self.stored.clone()), now),
                OrderAction::Write { write_id, .. } => {
                    let result = self.store(&action).ok_or(PlatformError::Conflict {
                        current: ObjectVersion(0),
                    });
                    self.manager.note_write(write_id, &result, now);
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
    fn next_order(&mut self) -> OrderBody {
        for _ in 0..200 {
            if self.step().is_empty() {
                continue;
            }
            let (authority, now) = (self.authority(), MonoTime(self.now));
            let body = self.manager.begin_send(&engine(), authority, now).unwrap();
            self.sent.push((self.now, body.clone()));
            return body;
        }
        panic!("no order: {:?}", self.manager);
    }

    /// Requests a role until the order for it is sent.
    fn request_order(&mut self, role: EngineRole) -> OrderBody {
        for _ in 0..200 {
            self.manager.request_change(engine(), change(role));
            if self.step().is_empty() {
                continue;
            }
            let (authority, now) = (self.authority(), MonoTime(self.now));
            return self.manager.begin_send(&engine(), authority, now).unwrap();
        }
        panic!("no order: {:?}", self.manager);
    }

    /// The engine accepts an order and starts the change.
    fn accept_order(&mut self, body: &OrderBody) -> EngineState {
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

    fn take_over(&mut self) {
        self.fence += 1;
        self.manager = manager(self.fence);
    }
}

#[test]
fn a_change_is_drained_recorded_sent_and_finished() {
    let mut fixture = Fixture::new();
    fixture.state.running = 2;
    fixture
        .manager
        .request_change(engine(), change(EngineRole::Prefill));
    assert!(
        fixture.steps(50).is_empty(),
        "ordered while work is running"
    );
    assert_eq!(
        fixture.recorded().entries[&engine()].phase,
        OrderPhase::Draining
    );
    fixture.state.running = 0;
    let body = fixture.next_order();
    let recorded = OrderPhase::Ordered(body.order_id.clone());
    assert_eq!(fixture.recorded().entries[&engine()].phase, recorded);
    let answer = fixture.accept_order(&body);
    fixture
        .manager
        .note_answer(&engine(), &Ok(answer), MonoTime(fixture.now));
    assert!(fixture.steps(30).is_empty(), "sent twice");
    fixture.finish(&body);
    fixture.steps(3);
    assert!(fixture.recorded().entries.is_empty());
    assert!(fixture.steps(30).is_empty());
}

/// An engine is marked as draining, and another daemon that does not know this yet
/// places a request there. A report of "no work" from before all daemons know proves
/// nothing: an order sent on it would interrupt that request.
#[test]
fn an_early_report_of_no_work_is_not_believed() {
    let mut fixture = Fixture::new();
    fixture
        .manager
        .request_change(engine(), change(EngineRole::Prefill));
    for _ in 0..10 {
        if fixture.stored.is_none() || fixture.recorded().entries.is_empty() {
            fixture.step();
        }
    }
    let since = fixture.now;
    fixture.next_order();
    assert!(fixture.now >= since + 1_000, "{}", fixture.now - since);
}

#[test]
fn a_drain_that_never_ends_is_given_up_without_an_order() {
    let mut fixture = Fixture::new();
    fixture.state.running = 1;
    fixture
        .manager
        .request_change(engine(), change(EngineRole::Prefill));
    fixture.steps(3_100);
    assert!(fixture.recorded().entries.is_empty());
    let events = fixture.manager.take_events();
    assert!(
        events
            .iter()
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
fn the_lease_is_checked_just_before_sending(#[case] case: SendCase) {
    let mut fixture = Fixture::new();
    fixture
        .manager
        .request_change(engine(), change(EngineRole::Prefill));
    assert!(!fixture.steps_until_send().is_empty());
    let authority = case.authority.map(|(fence, deadline)| LeaseAuthority {
        fence: FenceNumber(fence),
        deadline: MonoTime(deadline),
    });
    let body = fixture
        .manager
        .begin_send(&engine(), authority, MonoTime(fixture.now));
    assert_eq!(body.is_some(), case.sends);
}

struct AnswerCase {
    answer: Result<(), TargetError>,
    arrived: bool,
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
#[case::answered(AnswerCase { answer: Ok(()), arrived: true, sends: 1 })]
#[case::lost_but_taken(AnswerCase { answer: Err(lost()), arrived: true, sends: 1 })]
#[case::lost_and_gone(AnswerCase { answer: Err(lost()), arrived: false, sends: 2 })]
#[case::not_reached(AnswerCase {
    answer: Err(TargetError::NotDelivered { reason: "refused".to_owned() }), arrived: false, sends: 1,
})]
fn a_lost_answer_is_settled_by_the_engines_state(#[case] case: AnswerCase) {
    let mut fixture = Fixture::new();
    fixture
        .manager
        .request_change(engine(), change(EngineRole::Prefill));
    let first = fixture.next_order();
    let sent_at = fixture.now;
    if case.arrived {
        fixture.accept_order(&first);
    }
    let answer = case.answer.map(|()| fixture.state.clone());
    fixture
        .manager
        .note_answer(&engine(), &answer, MonoTime(fixture.now));
    let mut sends = 1;
    for _ in 0..40 {
        if fixture.step().is_empty() {
            continue;
        }
        assert!(
            fixture.now >= sent_at + 1_000,
            "a copy may still be in flight"
        );
        let (authority, now) = (fixture.authority(), MonoTime(fixture.now));
        let resent = fixture
            .manager
            .begin_send(&engine(), authority, now)
            .unwrap();
        assert_eq!(resent, first);
        sends += 1;
        let answer = fixture.accept_order(&resent);
        fixture.manager.note_answer(&engine(), &Ok(answer), now);
    }
    assert_eq!(sends, case.sends);
}

#[test]
fn a_fenced_order_stops_the_manager() {
    let mut fixture = Fixture::new();
    fixture
        .manager
        .request_change(engine(), change(EngineRole::Prefill));
    fixture.next_order();
    let answer = Err(TargetError::Fenced {
        current: FenceNumber(9),
    });
    fixture
        .manager
        .note_answer(&engine(), &answer, MonoTime(fixture.now));
    assert_eq!(fixture.manager.fenced_by(), Some(FenceNumber(9)));
    let (authority, now) = (fixture.authority(), MonoTime(fixture.now));
    assert!(
        fixture
            .manager
            .begin_send(&engine(), authority, now)
            .is_none()
    );
}

/// A holder is paused, and a successor claims the group. When the first holder resumes,
/// its update is refused, and the stored record shows it the later fence, even if
/// engines would obey its orders.
#[test]
fn a_successors_claim_fences_off_a_paused_holder() {
    let mut fixture = Fixture::new();
    fixture.steps(5);
    let mut paused = fixture.manager.clone();
    fixture.take_over();
    fixture.steps(5);
    paused.request_change(engine(), change(EngineRole::Prefill));
    let now = MonoTime(fixture.now);
    paused.note_state(&engine(), &fixture.state, now);
    for action in paused.tick(now) {
        if let OrderAction::Write { write_id, .. } = &action {
            assert!(fixture.store(&action).is_none(), "an old holder wrote");
            let conflict = PlatformError::Conflict {
                current: ObjectVersion(9),
            };
            paused.note_write(write_id, &Err(conflict), now);
        }
    }
    for action in paused.tick(now) {
        assert_eq!(action, OrderAction::Read);
        paused.note_read(&Ok(fixture.stored.clone()), now);
    }
    assert_eq!(paused.fenced_by(), Some(FenceNumber(2)));
}

struct SuccessorCase {
    arrived: bool,
    finishes: bool,
}

/// A holder fails right after sending an order. The successor sends the engine no other
/// order until the engine's state shows what became of the first.
#[rstest]
#[case::never_arrived(SuccessorCase { arrived: false, finishes: false })]
#[case::under_way(SuccessorCase { arrived: true, finishes: false })]
#[case::finished(SuccessorCase { arrived: true, finishes: true })]
fn a_successor_settles_the_outstanding_order(#[case] case: SuccessorCase) {
    let mut fixture = Fixture::new();
    fixture
        .manager
        .request_change(engine(), change(EngineRole::Prefill));
    let first = fixture.next_order();
    fixture.take_over();
    fixture
        .manager
        .request_change(engine(), change(EngineRole::Decode));
    if case.arrived {
        fixture.accept_order(&first);
    }
    if case.finishes {
        fixture.finish(&first);
    }
    let claimed_at = fixture.now;
    if case.arrived && !case.finishes {
        assert!(
            fixture.steps(50).is_empty(),
            "a second order during a change"
        );
        fixture.finish(&first);
    }
    let second = fixture.request_order(EngineRole::Decode);
    assert_eq!(second.order_id.fence, FenceNumber(2));
    assert_ne!(second.order_id.id, first.order_id.id);
    if !case.arrived {
        assert!(
            fixture.now >= claimed_at + 1_000,
            "an order may still be in flight"
        );
    }
}

#[test]
fn a_successor_drops_drains_and_reads_states_first() {
    let mut fixture = Fixture::new();
    fixture.state.running = 1;
    fixture
        .manager
        .request_change(engine(), change(EngineRole::Prefill));
    fixture.steps(10);
    assert_eq!(fixture.recorded().entries.len(), 1);
    fixture.take_over();
    fixture.steps(5);
    assert!(fixture.recorded().entries.is_empty());
    fixture.take_over();
    fixture
        .manager
        .request_change(engine(), change(EngineRole::Prefill));
    let mut manager = fixture.manager.clone();
    for now in (fixture.now..fixture.now + 5_000).step_by(100) {
        for action in manager.tick(MonoTime(now)) {
            match &action {
                OrderAction::Read => manager.note_read(&Ok(fixture.stored.clone()), MonoTime(now)),
                OrderAction::Write { write_id, .. } => {
                    let version = fixture.store(&action).unwrap();
                    manager.note_write(write_id, &Ok(version), MonoTime(now));
                }
                OrderAction::Send(_) => panic!("ordered before the engine's state was read"),
            }
        }
    }
    assert!(
        manager.entries().is_empty(),
        "drained before the engine's state was read"
    );
}

#[test]
fn a_change_ends_if_its_engine_restarts() {
    let mut fixture = Fixture::new();
    fixture
        .manager
        .request_change(engine(), change(EngineRole::Prefill));
    let body = fixture.next_order();
    let answer = fixture.accept_order(&body);
    fixture
        .manager
        .note_answer(&engine(), &Ok(answer), MonoTime(fixture.now));
    fixture.steps(3);
    fixture.state.last_order = None;
    fixture.state.changing = false;
    fixture.state.incarnation = ProcessIncarnation(2);
    fixture.steps(15);
    assert!(fixture.recorded().entries.is_empty());
}

/// The gap that remains with engines that ignore fences: the holder passes its last
/// check and is paused before the bytes are sent; a successor acquires the lease and
/// sends an order, and the old order arrives after it. An engine that checks fences
/// refuses the old order; one that ignores them obeys. Only a pause longer than the
/// guard and the order's flight time together lets the old order meet a successor's.
#[rstest]
#[case::checks(true)]
#[case::ignores(false)]
fn only_a_fence_check_refuses_an_order_delayed_past_a_takeover(#[case] checks_fence: bool) {
    let mut fixture = Fixture::new();
    fixture
        .manager
        .request_change(engine(), change(EngineRole::Prefill));
    let old = fixture.next_order();
    let last_check = fixture.now;
    let ends = last_check + u64::try_from(LEASE.guard.as_millis()).unwrap();
    let flight = u64::try_from(LEASE.max_order_flight.as_millis()).unwrap();
    let taken_over = ends + flight;
    fixture.now = taken_over;
    fixture.take_over();
    fixture
        .manager
        .request_change(engine(), change(EngineRole::Decode));
    let new = fixture.request_order(EngineRole::Decode);
    let pause = fixture.now - last_check;
    assert!(pause > 2_500, "a pause of {pause} ms does harm");
    let highest = new.order_id.fence;
    let obeyed = !(checks_fence && old.order_id.fence < highest);
    assert_eq!(obeyed, !checks_fence);
}

/// The response to a write is lost, and the write takes effect late, after the object
/// was read back without it.
#[test]
fn a_late_write_of_the_manager_itself_is_recognised() {
    let mut fixture = Fixture::new();
    fixture.steps(5);
    fixture
        .manager
        .request_change(engine(), change(EngineRole::Prefill));
    fixture.now += 100;
    let now = MonoTime(fixture.now);
    fixture.manager.note_state(&engine(), &fixture.state, now);
    let actions = fixture.manager.tick(now);
    let OrderAction::Write { write_id, .. } = &actions[0] else {
        panic!("{actions:?}");
    };
    let lost = PlatformError::Lost {
        reason: "no answer".to_owned(),
    };
    fixture.manager.note_write(write_id, &Err(lost), now);
    for action in fixture.manager.tick(now) {
        assert_eq!(action, OrderAction::Read);
        fixture.manager.note_read(&Ok(fixture.stored.clone()), now);
    }
    fixture.store(&actions[0]).unwrap();
    fixture.next_order();
}

#[test]
fn dropping_a_requested_change_cancels_its_drain() {
    let mut fixture = Fixture::new();
    fixture.state.running = 1;
    fixture
        .manager
        .request_change(engine(), change(EngineRole::Prefill));
    fixture.steps(10);
    fixture.manager.retain_changes(&indexmap::IndexMap::new());
    fixture.state.running = 0;
    assert!(fixture.steps(30).is_empty());
    assert!(fixture.recorded().entries.is_empty());
}

#[test]
fn records_are_decoded_as_encoded() {
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
fn an_order_in_flight_is_kept_until_it_cannot_arrive() {
    let mut fixture = Fixture::new();
    fixture
        .manager
        .request_change(engine(), change(EngineRole::Prefill));
    fixture.next_order();
    fixture.take_over();
    fixture.step();
    fixture.step();
    let claimed_at = fixture.now;
    assert_eq!(fixture.recorded().fence, FenceNumber(2));
    while !fixture.recorded().entries.is_empty() {
        assert!(fixture.now < claimed_at + 5_000, "never settled");
        fixture.step();
    }
    assert!(
        fixture.now >= claimed_at + 900,
        "{}",
        fixture.now - claimed_at
    );
}
