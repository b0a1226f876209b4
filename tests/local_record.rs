//! A daemon's record in the store, kept in outages and after losses, in virtual time.

use std::cell::RefCell;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use indexmap::IndexMap;
use pistachiowick::gateway::local_record::{RecordCheck, RecordKeeper};
use pistachiowick::gateway::members::{DaemonRecord, InstanceCapacity};
use pistachiowick::names::{CentreName, DaemonId, MonoTime};
use pistachiowick::ports::{
    ConditionalWrite, ObjectName, ObjectVersion, PlatformError, PlatformPort, PortCall,
    StoredObject,
};
use rstest::rstest;
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// Time after the store's return within which a record has to be there.
const RETURN_BOUND: Duration = Duration::from_secs(2);
/// Shortest time between two writes of a daemon that the store does not accept.
const WRITE_SPACING: Duration = Duration::from_secs(1);
const KIND: &str = "daemons";

/// What the store does with calls while it is away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OutageKind {
    /// Refuses them, as with 503 or 429.
    Refusing,
    /// Resets the connection; nothing takes effect.
    Resetting,
    /// Does not answer; nothing takes effect.
    Silent,
    /// Does not answer, though writes take effect.
    AnswersLost,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    kind: OutageKind,
    from: Instant,
    to: Instant,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: IndexMap<String, (ObjectVersion, Vec<u8>)>,
    outage: Option<Outage>,
    // Writes by name.
    writes: Vec<(String, Instant)>,
}

/// A store of daemons' records that is away for a time.
#[derive(Clone, Default)]
struct FakeStore(Arc<Mutex<StoreState>>);

fn unavailable() -> PlatformError {
    PlatformError::Unavailable {
        reason: "status 503".to_owned(),
        retry_after: Duration::from_secs(1),
    }
}

fn lost() -> PlatformError {
    PlatformError::Lost {
        reason: "connection reset".to_owned(),
    }
}

impl FakeStore {
    fn with<T>(&self, change: impl FnOnce(&mut StoreState) -> T) -> T {
        change(&mut self.0.lock().expect("a lock"))
    }

    fn outage(&self) -> Option<OutageKind> {
        let now = Instant::now();
        let outage = self.with(|state| state.outage)?;
        (outage.from..outage.to)
            .contains(&now)
            .then_some(outage.kind)
    }

    // Fails as the outage does; returns whether the call takes effect without an answer.
    async fn pass(&self) -> Result<bool, PlatformError> {
        match self.outage() {
            None => Ok(false),
            Some(OutageKind::Refusing) => Err(unavailable()),
            Some(OutageKind::Resetting) => Err(lost()),
            Some(OutageKind::Silent) => pending().await,
            Some(OutageKind::AnswersLost) => Ok(true),
        }
    }

    fn apply(&self, write: ConditionalWrite) -> Result<ObjectVersion, PlatformError> {
        self.with(|state| {
            let current = state.objects.get(&write.object.name);
            let current = current.map_or(ObjectVersion(0), |(version, _)| *version);
            if current != write.expected {
                return Err(PlatformError::Conflict { current });
            }
            state.revision += 1;
            let version = ObjectVersion(state.revision);
            let name = write.object.name;
            state.objects.insert(name, (version, write.value));
            Ok(version)
        })
    }

    fn port(&self) -> PlatformPort {
        let (reader, writer) = (self.clone(), self.clone());
        let read: PortCall<ObjectName, Result<Option<StoredObject>, PlatformError>> =
            Arc::new(move |object| {
                let store = reader.clone();
                Box::pin(async move {
                    if store.pass().await? {
                        return pending().await;
                    }
                    let found = store.with(|state| state.objects.get(&object.name).cloned());
                    Ok(found.map(|(version, value)| StoredObject {
                        object,
                        version,
                        value: Some(value),
                    }))
                })
            });
        let write: PortCall<ConditionalWrite, Result<ObjectVersion, PlatformError>> =
            Arc::new(move |write| {
                let store = writer.clone();
                Box::pin(async move {
                    let entry = (write.object.name.clone(), Instant::now());
                    store.with(|state| state.writes.push(entry));
                    let is_lost = store.pass().await?;
                    let result = store.apply(write);
                    if is_lost {
                        return pending().await;
                    }
                    result
                })
            });
        PlatformPort {
            read,
            write,
            list: Arc::new(|_| Box::pin(pending())),
            watch: Arc::new(|_| Box::pin(pending())),
            instances: Arc::new(|()| Box::pin(pending())),
        }
    }

    fn record(&self, name: &str) -> Option<DaemonRecord> {
        let value = self.with(|state| Some(state.objects.get(name)?.1.clone()));
        value.map(|value| DaemonRecord::decode(name, &value).expect("a record"))
    }

    // Returns the shortest time between two writes of one daemon while the store is away.
    fn closest_writes(&self, outage: Outage) -> Duration {
        let mut closest = Duration::MAX;
        let mut last: IndexMap<String, Instant> = IndexMap::new();
        for (name, at) in self.with(|state| state.writes.clone()) {
            if !(outage.from..outage.to).contains(&at) {
                continue;
            }
            if let Some(before) = last.insert(name, at) {
                closest = closest.min(at - before);
            }
        }
        closest
    }
}

fn record(number: usize, incarnation: u64) -> DaemonRecord {
    let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    DaemonRecord {
        id: DaemonId::from(format!("node-{number}").as_str()),
        incarnation,
        callers: address,
        peers: address,
        handovers: None,
        centre: CentreName::from("hall-a"),
        leaving: false,
        capacity: InstanceCapacity::default(),
    }
}

/// A daemon's record, kept by a task.
struct KeptRecord {
    desired: watch::Sender<DaemonRecord>,
    checks: Arc<Notify>,
}

fn keep(store: &FakeStore, record: &DaemonRecord) -> KeptRecord {
    let (desired, receiver) = watch::channel(record.clone());
    let checks = Arc::new(Notify::new());
    let keeper = RecordKeeper {
        store: store.port(),
        object: ObjectName {
            kind: KIND.to_owned(),
            name: record.id.to_string(),
        },
        desired: receiver,
        checks: checks.clone(),
    };
    spawn_local(keeper.run());
    KeptRecord { desired, checks }
}

struct OutageCase {
    daemons: usize,
    kind: OutageKind,
    // Start of the outage after that of the daemons, in milliseconds; negative if before.
    begins_ms: i64,
    length_s: u64,
    // Whether the store has the record of an earlier process that was stopping.
    had_record: bool,
}

// Guards against daemons that no directory names again, as they gave up writing their record in
// an outage of the store.
#[rstest]
#[case::restarts_while_refusing(OutageCase { daemons: 3, kind: OutageKind::Refusing, begins_ms: -500, length_s: 5, had_record: true })]
#[case::first_start(OutageCase { daemons: 3, kind: OutageKind::Refusing, begins_ms: -500, length_s: 5, had_record: false })]
#[case::one_daemon(OutageCase { daemons: 1, kind: OutageKind::Refusing, begins_ms: -500, length_s: 5, had_record: true })]
#[case::at_the_start(OutageCase { daemons: 8, kind: OutageKind::Refusing, begins_ms: 0, length_s: 5, had_record: true })]
#[case::a_moment(OutageCase { daemons: 8, kind: OutageKind::Refusing, begins_ms: 0, length_s: 1, had_record: true })]
#[case::a_minute(OutageCase { daemons: 18, kind: OutageKind::Refusing, begins_ms: 0, length_s: 60, had_record: true })]
#[case::large_fleet(OutageCase { daemons: 300, kind: OutageKind::Refusing, begins_ms: 0, length_s: 10, had_record: true })]
#[case::resetting(OutageCase { daemons: 8, kind: OutageKind::Resetting, begins_ms: 0, length_s: 10, had_record: true })]
#[case::resetting_for_a_minute(OutageCase { daemons: 8, kind: OutageKind::Resetting, begins_ms: 0, length_s: 60, had_record: false })]
#[case::silent(OutageCase { daemons: 8, kind: OutageKind::Silent, begins_ms: 0, length_s: 10, had_record: true })]
#[case::silent_for_a_minute(OutageCase { daemons: 18, kind: OutageKind::Silent, begins_ms: 0, length_s: 60, had_record: false })]
#[case::answers_lost(OutageCase { daemons: 8, kind: OutageKind::AnswersLost, begins_ms: 0, length_s: 10, had_record: true })]
#[tokio::test(start_paused = true)]
async fn a_record_is_written_once_the_store_is_back(#[case] case: OutageCase) {
    let store = FakeStore::default();
    for number in (0..case.daemons).filter(|_| case.had_record) {
        let earlier = DaemonRecord {
            leaving: true,
            ..record(number, 1)
        };
        let name = earlier.id.to_string();
        let value = earlier.encode();
        store.with(|state| {
            state.revision += 1;
            let version = ObjectVersion(state.revision);
            state.objects.insert(name, (version, value));
        });
    }
    let start = Instant::now() + Duration::from_secs(10);
    let from = start - Duration::from_secs(10)
        + Duration::from_millis(u64::try_from(10_000 + case.begins_ms).expect("a time"));
    let outage = Outage {
        kind: case.kind,
        from,
        to: from + Duration::from_secs(case.length_s),
    };
    store.with(|state| state.outage = Some(outage));
    sleep_until(start).await;
    let local = LocalSet::new();
    local
        .run_until(async {
            let records: Vec<DaemonRecord> = (0..case.daemons).map(|n| record(n, 2)).collect();
            let kept: Vec<KeptRecord> = records.iter().map(|r| keep(&store, r)).collect();
            sleep_until(outage.to + RETURN_BOUND).await;
            for record in &records {
                assert_eq!(store.record(record.id.as_str()).as_ref(), Some(record));
            }
            assert!(store.closest_writes(outage) >= WRITE_SPACING);
            drop(kept);
        })
        .await;
}

#[derive(Clone, Copy, Debug)]
enum RecordLoss {
    Removed,
    OfAnEarlierProcess,
}

// Guards against a record that is lost before its daemon has seen it listed and is not written again.
#[rstest]
#[case::removed(RecordLoss::Removed)]
#[case::of_an_earlier_process(RecordLoss::OfAnEarlierProcess)]
#[tokio::test(start_paused = true)]
async fn a_lost_record_is_written_again(#[case] loss: RecordLoss) {
    let store = FakeStore::default();
    let local = LocalSet::new();
    local
        .run_until(async {
            let own = record(0, 2);
            let kept = keep(&store, &own);
            sleep(Duration::from_millis(100)).await;
            store.with(|state| match loss {
                RecordLoss::Removed => {
                    state.objects.clear();
                }
                RecordLoss::OfAnEarlierProcess => {
                    let value = record(0, 1).encode();
                    let name = own.id.to_string();
                    state.objects.insert(name, (ObjectVersion(77), value));
                }
            });
            kept.checks.notify_one();
            sleep(RETURN_BOUND).await;
            assert_eq!(store.record(own.id.as_str()), Some(own));
        })
        .await;
}

// Guards against two processes under one name that use up the store's rate of writes.
#[tokio::test(start_paused = true)]
async fn two_processes_under_one_name_write_slowly() {
    let store = FakeStore::default();
    let local = LocalSet::new();
    local
        .run_until(async {
            let kept = [2, 3].map(|incarnation| keep(&store, &record(0, incarnation)));
            let seconds = 30;
            for _ in 0..seconds * 100 {
                sleep(Duration::from_millis(10)).await;
                for daemon in &kept {
                    daemon.checks.notify_one();
                }
            }
            // Each replacement is a conflict first, at most.
            let writes = store.with(|state| state.writes.len());
            assert!(writes <= 2 * 2 * (seconds + 1), "{writes} writes");
        })
        .await;
}

// Guards against a daemon that stops and is listed as staying, as its record was being written.
#[tokio::test(start_paused = true)]
async fn a_change_during_an_outage_is_what_is_written() {
    let store = FakeStore::default();
    let from = Instant::now();
    let to = from + Duration::from_secs(5);
    let kind = OutageKind::Refusing;
    store.with(|state| state.outage = Some(Outage { kind, from, to }));
    let local = LocalSet::new();
    local
        .run_until(async {
            let kept = keep(&store, &record(0, 2));
            sleep(Duration::from_millis(2_300)).await;
            kept.desired.send_modify(|record| record.leaving = true);
            sleep_until(to + RETURN_BOUND).await;
            assert!(store.record("node-0").is_some_and(|record| record.leaving));
        })
        .await;
}

struct CheckCase {
    // Times in milliseconds at which the list is looked at, and whether it has the record.
    looks: &'static [(u64, bool)],
    // Times at which the stored record is checked.
    checked: &'static [u64],
}

// Guards against a record whose loss is never noticed, and against calls to the store all the time
// while a list lags behind.
#[rstest]
#[case::listed_in_time(CheckCase { looks: &[(0, false), (1_000, true), (60_000, true)], checked: &[] })]
#[case::left_the_list(CheckCase { looks: &[(500, true), (700, false)], checked: &[700] })]
#[case::never_listed(CheckCase {
    looks: &[(1_900, false), (2_000, false), (5_900, false), (6_100, false), (13_900, false), (14_200, false)],
    checked: &[2_000, 6_100, 14_200],
})]
#[case::listed_again(CheckCase {
    looks: &[(2_000, false), (6_100, false), (7_000, true), (7_200, false), (9_100, false), (9_200, false)],
    checked: &[2_000, 6_100, 7_200, 9_200],
})]
fn the_stored_record_is_checked(#[case] case: CheckCase) {
    let check = RefCell::new(RecordCheck::new(MonoTime(0)));
    let due = |(at, is_listed): &(u64, bool)| {
        let is_due = check.borrow_mut().note_listed(*is_listed, MonoTime(*at));
        is_due.then_some(*at)
    };
    let checked: Vec<u64> = case.looks.iter().filter_map(due).collect();
    assert_eq!(checked, case.checked);
}
