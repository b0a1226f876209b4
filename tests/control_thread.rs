//! The control thread with a fake platform and fake engines.

mod control_fakes;

use std::sync::Arc;
use std::time::Duration;

use control_fakes::{FakeEngines, FakePlatform, wait_until};
use pistachiowick::config::buckets::BucketIndex;
use pistachiowick::config::catalogue::{ItemSpec, WorkspaceSpec};
use pistachiowick::control::{
    ChangeError, ChangeReport, ControlEvent, ControlHandle, ControlInputs, ItemChange,
    start_control,
};
use pistachiowick::crashes::SharedCrashTracker;
use pistachiowick::membership::fleet::UseState;
use pistachiowick::names::{CentreName, DaemonId, ProcessIncarnation, TargetId, WorkspaceName};
use pistachiowick::requests::journal::DecisionJournal;
use pistachiowick::store::wire::{InstanceKind, InstanceRow, InstanceState};
use pistachiowick::target_limits::SharedLimitTracker;
use pistachiowick::targets::wire::{EngineRole, EngineState};
use pistachiowick::timer::TimerService;
use tokio::sync::oneshot;

fn start(id: &str, platform: &FakePlatform, engines: &FakeEngines) -> ControlHandle {
    start_control(ControlInputs {
        settings: Arc::new(control_fakes::settings(id, "north")),
        platform: platform.port(),
        engines: engines.port(),
        journal: DecisionJournal::new(100),
        rpc_address: "127.0.0.1:1".parse().unwrap(),
        peer_address: "127.0.0.1:2".parse().unwrap(),
        incarnation: ProcessIncarnation(1),
        seed: 1,
        crashes: SharedCrashTracker::default(),
        target_limits: SharedLimitTracker::default(),
    })
}

fn row(id: &str, kind: InstanceKind) -> InstanceRow {
    InstanceRow {
        id: id.to_owned(),
        kind,
        address: format!("{id}:1"),
        peer_address: String::new(),
        data_centre: CentreName::from("north"),
        state: InstanceState::Live,
        service: None,
        checks_fence: false,
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
        prefill_backlog_tokens: 7,
        decode_backlog_tokens: 0,
        kv_used_tokens: 0,
        kv_limit_tokens: 100,
        last_order: None,
        cache_sequence: 0,
    }
}

fn workspace(name: &str, based_on: u64) -> ItemChange {
    let spec = ItemSpec::Workspace(WorkspaceSpec {
        name: WorkspaceName::from(name),
        weight: 1,
        key_hashes: Vec::new(),
    });
    ItemChange {
        item: spec.item_name(),
        spec: Some(spec),
        based_on,
    }
}

async fn change(handle: &ControlHandle, change: ItemChange) -> Result<ChangeReport, ChangeError> {
    let (reply, answer) = oneshot::channel();
    let event = ControlEvent::Change { change, reply };
    handle.events.send(event).unwrap();
    answer.await.unwrap()
}

async fn end(handle: ControlHandle) {
    tokio::task::spawn_blocking(move || {
        handle.end();
        assert!(handle.has_ended());
    })
    .await
    .unwrap();
}

/// A daemon that starts while the platform is down must not report itself as ready, because
/// it would refuse every caller's key. It must become ready when the platform is back and
/// stay ready with its last state when the platform goes down again.
#[tokio::test]
async fn ready_only_with_a_complete_configuration() {
    let platform = FakePlatform::default();
    platform.data().instances = vec![row("e", InstanceKind::Engine)];
    platform.set_down(true);
    let handle = start("a", &platform, &FakeEngines::default());
    let cell = handle.snapshot.clone();
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(!cell.load().ready);
    platform.set_down(false);
    wait_until("ready", || cell.load().ready).await;
    platform.set_down(true);
    wait_until("unreachable", || !cell.load().platform_reachable).await;
    assert!(cell.load().ready);
    assert_eq!(cell.load().fleet.targets.len(), 1);
    end(handle).await;
}

#[tokio::test]
async fn a_change_is_applied_before_it_is_accepted_and_reaches_other_daemons() {
    let platform = FakePlatform::default();
    platform.data().instances = vec![
        row("a", InstanceKind::Entry),
        row("b", InstanceKind::Entry),
        row("e", InstanceKind::Engine),
    ];
    let engines = FakeEngines::default();
    let first = start("a", &platform, &engines);
    let second = start("b", &platform, &engines);
    for handle in [&first, &second] {
        let cell = handle.snapshot.clone();
        wait_until("ready", || cell.load().ready).await;
    }
    let report = change(&first, workspace("w", 0)).await.unwrap();
    let name = WorkspaceName::from("w");
    assert!(first.snapshot.load().config.workspaces.contains_key(&name));
    assert_eq!(report.revision, 1);
    let cell = second.snapshot.clone();
    wait_until("in force", || {
        cell.load().config.workspaces.contains_key(&name)
    })
    .await;
    let error = change(&second, workspace("w", 0)).await.unwrap_err();
    assert!(matches!(error, ChangeError::Conflict { current: 1, .. }));
    assert_eq!(
        change(&second, workspace("w", 1)).await.unwrap().revision,
        2
    );
    end(first).await;
    end(second).await;
}

/// One daemon receives twenty operators' changes of the same bucket at once. All must be
/// stored, each by a single write: concurrent writes would fail each other's conditions.
#[tokio::test]
async fn changes_of_one_bucket_are_serialized() {
    let platform = FakePlatform::default();
    let handle = start("a", &platform, &FakeEngines::default());
    let bucket = BucketIndex::of(&workspace("w", 0).item);
    let names = (0..).map(|n| workspace(&format!("w{n}"), 0));
    let together = names
        .filter(|c| BucketIndex::of(&c.item) == bucket)
        .take(20);
    let changes = together.map(|c| change(&handle, c));
    for result in futures_util::future::join_all(changes).await {
        result.unwrap();
    }
    assert_eq!(handle.snapshot.load().config.workspaces.len(), 20);
    assert_eq!(platform.data().writes, 20);
    end(handle).await;
}

#[tokio::test]
async fn reports_and_states_enter_the_snapshot() {
    let platform = FakePlatform::default();
    platform.data().instances = vec![
        row("e", InstanceKind::Engine),
        row("dead", InstanceKind::Engine),
    ];
    let engines = FakeEngines::default();
    engines.put("e:1", state("e"));
    let handle = start("a", &platform, &engines);
    let cell = handle.snapshot.clone();
    let target = TargetId::from("e");
    wait_until("a report", || {
        let snapshot = cell.load();
        let view = snapshot.fleet.targets.get(&target);
        let report = view.and_then(|t| t.report.as_ref());
        report.is_some_and(|r| r.prefill_backlog_tokens == 7)
    })
    .await;
    wait_until("suspicion", || {
        let snapshot = cell.load();
        snapshot.fleet.targets[&TargetId::from("dead")].state == UseState::Suspect
    })
    .await;
    platform.data().instances[0].state = InstanceState::Leaving;
    wait_until("leaving", || {
        cell.load().fleet.targets[&target].state == UseState::Leaving
    })
    .await;
    end(handle).await;
}

#[tokio::test]
async fn a_stop_takes_the_daemon_out_of_use() {
    let platform = FakePlatform::default();
    let handle = start("a", &platform, &FakeEngines::default());
    let cell = handle.snapshot.clone();
    wait_until("ready", || cell.load().ready).await;
    let (done, stopped) = oneshot::channel();
    handle.events.send(ControlEvent::Stop { done }).unwrap();
    stopped.await.unwrap();
    let snapshot = cell.load();
    assert!(snapshot.stopping && !snapshot.ready);
    let own = &snapshot.fleet.daemons[&DaemonId::from("a")];
    assert_eq!(own.state, UseState::Leaving);
    drop(snapshot);
    end(handle).await;
}

#[tokio::test]
async fn timers_tick_and_end() {
    let service = TimerService::start();
    let mut once = service.once(Duration::from_millis(1));
    assert!(once.next().await.is_some());
    assert!(once.next().await.is_none());
    let mut every = service.every(Duration::from_millis(1));
    for _ in 0..5 {
        assert!(every.next().await.is_some());
    }
    // A slow subscriber gets a single tick for all that it missed.
    tokio::time::sleep(Duration::from_millis(30)).await;
    assert!(every.next().await.is_some());
    for _ in 0..1_000 {
        drop(service.once(Duration::from_secs(1_000)));
    }
    drop(every);
}
