//! Two daemons with one platform and its engines: which one holds leases, sends orders
//! and takes over.

mod control_fakes;

use std::sync::Arc;

use control_fakes::{FakeEngines, FakePlatform, wait_until};
use pistachiowick::control::{ControlEvent, ControlHandle, ControlInputs, start_control};
use pistachiowick::crashes::SharedCrashTracker;
use pistachiowick::invariants::{Invariant, violations};
use pistachiowick::membership::fleet::UseState;
use pistachiowick::names::{CentreName, DaemonId, ModelName, ProcessIncarnation, TargetId};
use pistachiowick::requests::journal::DecisionJournal;
use pistachiowick::store::wire::{InstanceKind, InstanceRow, InstanceState};
use pistachiowick::target_limits::SharedLimitTracker;
use pistachiowick::targets::wire::{EngineRole, EngineState};
use tokio::sync::oneshot;

fn row(id: &str, kind: InstanceKind) -> InstanceRow {
    InstanceRow {
        id: id.to_owned(),
        kind,
        address: format!("{id}:1"),
        peer_address: String::new(),
        data_centre: CentreName::from("north"),
        state: InstanceState::Live,
        service: None,
        checks_fence: true,
    }
}

fn state(id: &str) -> EngineState {
    EngineState {
        target: TargetId::from(id),
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
    }
}

struct Fixture {
    platform: FakePlatform,
    engines: FakeEngines,
    journal: DecisionJournal,
}

impl Fixture {
    fn new(daemons: &[&str], engines: usize) -> Self {
        let platform = FakePlatform::default();
        let fake_engines = FakeEngines {
            checks_fence: true,
            ..FakeEngines::default()
        };
        let mut rows: Vec<InstanceRow> = daemons
            .iter()
            .map(|id| row(id, InstanceKind::Entry))
            .collect();
        for number in 0..engines {
            let id = format!("e{number}");
            fake_engines.put(&format!("{id}:1"), state(&id));
            rows.push(row(&id, InstanceKind::Engine));
        }
        platform.data().instances = rows;
        Self {
            platform,
            engines: fake_engines,
            journal: DecisionJournal::new(1_000),
        }
    }

    fn start(&self, id: &str) -> ControlHandle {
        let mut settings = control_fakes::settings(id, "north");
        settings.leases.duration_ms = 600;
        settings.leases.guard_ms = 150;
        settings.leases.order_flight_ms = 100;
        settings.platform.call_ms = 100;
        settings.policy.role_change_ms = 100;
        start_control(ControlInputs {
            settings: Arc::new(settings),
            platform: self.platform.port(),
            engines: self.engines.port(),
            journal: self.journal.clone(),
            rpc_address: "127.0.0.1:1".parse().unwrap(),
            peer_address: "127.0.0.1:2".parse().unwrap(),
            incarnation: ProcessIncarnation(1),
            seed: 1,
            crashes: SharedCrashTracker::default(),
            target_limits: SharedLimitTracker::default(),
        })
    }
}

fn holds(handle: &ControlHandle, group: &str) -> bool {
    let snapshot = handle.snapshot.load();
    let mut leases = snapshot.leases.iter();
    leases.any(|lease| lease.group.as_str() == group && lease.authority_deadline.is_some())
}

async fn end(handle: ControlHandle) {
    tokio::task::spawn_blocking(move || handle.end())
        .await
        .unwrap();
}

/// The holder's process is killed. The other daemon takes both leases over, with a
/// later fence, and no lease has two holders.
#[tokio::test]
async fn a_killed_holder_is_succeeded() {
    let fixture = Fixture::new(&["a", "b"], 2);
    let handles = [fixture.start("a"), fixture.start("b")];
    for group in ["north-0", "plan"] {
        wait_until("a holder", || handles.iter().any(|h| holds(h, group))).await;
        assert!(!handles.iter().all(|h| holds(h, group)));
    }
    let [first, second] = handles;
    let (killed, successor) = if holds(&first, "north-0") {
        (first, second)
    } else {
        (second, first)
    };
    end(killed).await;
    for group in ["north-0", "plan"] {
        wait_until("succession", || holds(&successor, group)).await;
    }
    let snapshot = successor.snapshot.load();
    let fences = snapshot.leases.iter().map(|lease| lease.fence.0);
    assert!(fences.max().unwrap() >= 2);
    drop(snapshot);
    end(successor).await;
}

#[tokio::test]
async fn a_planned_stop_hands_the_leases_over() {
    let fixture = Fixture::new(&["a", "b"], 2);
    let first = fixture.start("a");
    wait_until("a holder", || {
        holds(&first, "north-0") && holds(&first, "plan")
    })
    .await;
    let second = fixture.start("b");
    let (done, stopped) = oneshot::channel();
    first.events.send(ControlEvent::Stop { done }).unwrap();
    stopped.await.unwrap();
    assert!(!holds(&first, "north-0") && !holds(&first, "plan"));
    for group in ["north-0", "plan"] {
        wait_until("succession", || holds(&second, group)).await;
    }
    end(first).await;
    end(second).await;
}

/// Many long prompts arrive. One daemon plans role changes; the group's holder takes
/// engines out of use on all daemons, orders them to change, and puts them back, never
/// all at once and with each order sent once.
#[tokio::test]
async fn a_shift_of_the_workload_mix_changes_roles() {
    let fixture = Fixture::new(&["a", "b"], 4);
    let handles = [fixture.start("a"), fixture.start("b")];
    for handle in &handles {
        wait_until("ready", || handle.snapshot.load().ready).await;
    }
    let mut drained = [false, false];
    wait_until("two orders", || {
        for (handle, drained) in handles.iter().zip(&mut drained) {
            let event = ControlEvent::WorkAccepted {
                model: ModelName::from("m"),
                prefill_tokens: 2_000,
                decode_tokens: 10,
            };
            handle.events.send(event).unwrap();
            let snapshot = handle.snapshot.load();
            let states = snapshot.fleet.targets.values().map(|t| t.state);
            let out = states.filter(|s| *s == UseState::Drained).count();
            *drained |= out > 0;
            assert!(out <= 2, "{out} engines out of use at once");
        }
        fixture.engines.orders.lock().unwrap().len() >= 2
    })
    .await;
    assert_eq!(
        drained,
        [true, true],
        "a daemon did not learn of the change"
    );
    let orders = fixture.engines.orders.lock().unwrap().clone();
    for (address, body) in &orders {
        assert_eq!(body.role, EngineRole::Prefill, "{address}");
        assert_eq!(body.models, ["m"]);
    }
    let mut ids: Vec<&str> = orders
        .iter()
        .map(|(_, body)| body.order_id.id.as_str())
        .collect();
    ids.dedup();
    assert_eq!(ids.len(), orders.len());
    let ordered = TargetId::from(orders[0].0.trim_end_matches(":1"));
    for handle in &handles {
        wait_until("back in use", || {
            handle.snapshot.load().fleet.targets[&ordered].state == UseState::Live
        })
        .await;
    }
    assert_eq!(violations(Invariant::OneOrder), 0);
    assert!(
        !fixture.journal.recent("gains", 10).is_empty(),
        "no reason in the journal"
    );
    for handle in handles {
        end(handle).await;
    }
}

/// The platform is down for longer than the leases last: no daemon orders, all go on
/// serving, and afterwards there is one holder again.
#[tokio::test]
async fn leases_end_in_an_outage_and_resume_after_it() {
    let fixture = Fixture::new(&["a", "b"], 2);
    let handles = [fixture.start("a"), fixture.start("b")];
    wait_until("a holder", || handles.iter().any(|h| holds(h, "north-0"))).await;
    fixture.platform.set_down(true);
    wait_until("no holder", || !handles.iter().any(|h| holds(h, "north-0"))).await;
    for handle in &handles {
        assert!(handle.snapshot.load().ready);
    }
    fixture.platform.set_down(false);
    wait_until("a holder", || handles.iter().any(|h| holds(h, "north-0"))).await;
    assert!(!handles.iter().all(|h| holds(h, "north-0")));
    let local = &handles[0].snapshot.load().fleet.daemons[&DaemonId::from("a")].clone();
    assert_eq!(local.state, UseState::Live);
    for handle in handles {
        end(handle).await;
    }
}
