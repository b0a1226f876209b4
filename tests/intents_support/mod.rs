//! An in-memory platform with injected faults, and helpers for tests of intents.
#![allow(dead_code)]

pub mod sim;

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use indexmap::IndexMap;
use pistachiowick::intents::IntentKey;
use pistachiowick::intents::store::{
    ClaimResult, DispatchPermit, IntentClaim, IntentStore, StoreInputs,
};
use pistachiowick::names::{ProcessIncarnation, UnixTime};
use pistachiowick::ports::{
    ConditionalWrite, ObjectBatch, ObjectName, ObjectVersion, PlatformError, PlatformPort,
    StoredObject,
};
use pistachiowick::settings::IntentSettings;

/// Wall-clock time at which tests start.
pub const START: u64 = 1_800_000_000_000;

/// Fault of one write.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WriteFault {
    /// Works.
    None,
    /// Takes effect, but the response is lost.
    LostAfter,
    /// Has no effect, and the response is lost.
    LostBefore,
    /// The response is lost; the write is applied when the test calls
    /// [`FakePlatform::apply_delayed`].
    Delayed,
    /// Works after this delay.
    Slow(Duration),
    /// Fails without effect.
    Unavailable,
}

/// Fault of one read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReadFault {
    /// Works.
    None,
    /// The response is lost.
    Lost,
    /// Returns the version before the current one.
    Stale,
    /// Fails without a result.
    Unavailable,
}

/// A version and its value; `None` if the object was deleted.
type FakeVersion = (u64, Option<Vec<u8>>);

#[derive(Default)]
struct FakeState {
    version: u64,
    objects: IndexMap<ObjectName, Vec<FakeVersion>>,
    write_faults: VecDeque<WriteFault>,
    read_faults: VecDeque<ReadFault>,
    delayed: Vec<ConditionalWrite>,
    down: bool,
    reads: usize,
    writes: usize,
}

/// An in-memory platform with versioned objects.
#[derive(Clone, Default)]
pub struct FakePlatform {
    state: Arc<Mutex<FakeState>>,
}

impl FakePlatform {
    pub fn fail_writes(&self, faults: &[WriteFault]) {
        self.state.lock().unwrap().write_faults.extend(faults);
    }

    pub fn fail_reads(&self, faults: &[ReadFault]) {
        self.state.lock().unwrap().read_faults.extend(faults);
    }

    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
    }

    pub fn reads(&self) -> usize {
        self.state.lock().unwrap().reads
    }

    pub fn writes(&self) -> usize {
        self.state.lock().unwrap().writes
    }

    pub fn largest_value(&self) -> usize {
        let state = self.state.lock().unwrap();
        let all = state.objects.values().flatten();
        all.filter_map(|(_, value)| value.as_ref())
            .map(Vec::len)
            .max()
            .unwrap_or(0)
    }

    /// Applies the delayed writes and returns how many succeeded, as their expected version
    /// was still current.
    pub fn apply_delayed(&self) -> usize {
        let mut state = self.state.lock().unwrap();
        let delayed = std::mem::take(&mut state.delayed);
        let applied = delayed.into_iter().map(|write| state.apply(write));
        applied.filter(Result::is_ok).count()
    }

    /// Overwrites an object, as an operator would.
    pub fn overwrite(&self, object: &ObjectName, value: Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let expected = state.current(object);
        let write = ConditionalWrite {
            object: object.clone(),
            expected,
            value,
        };
        state.apply(write).unwrap();
    }

    /// Deletes an object, as an operator would.
    pub fn delete(&self, object: &ObjectName) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.objects[object].push((version, None));
    }

    pub fn port(&self) -> PlatformPort {
        let read = self.clone();
        let write = self.clone();
        PlatformPort {
            read: Arc::new(move |object| {
                let fake = read.clone();
                Box::pin(async move { fake.read(&object).await })
            }),
            write: Arc::new(move |request| {
                let fake = write.clone();
                Box::pin(async move { fake.write(request).await })
            }),
            list: Arc::new(|_| Box::pin(async { Ok(ObjectBatch::default()) })),
            watch: Arc::new(|_| Box::pin(async { Ok(ObjectBatch::default()) })),
            instances: Arc::new(|()| Box::pin(async { Ok(Vec::new()) })),
        }
    }

    async fn read(&self, object: &ObjectName) -> Result<Option<StoredObject>, PlatformError> {
        tokio::time::sleep(Duration::from_millis(1)).await;
        let mut state = self.state.lock().unwrap();
        state.reads += 1;
        if state.down {
            return Err(unavailable());
        }
        let back = match state.read_faults.pop_front().unwrap_or(ReadFault::None) {
            ReadFault::None => 1,
            ReadFault::Stale => 2,
            ReadFault::Lost => return Err(lost()),
            ReadFault::Unavailable => return Err(unavailable()),
        };
        let versions = state.objects.get(object);
        let found = versions.and_then(|v| v.len().checked_sub(back).map(|at| v[at].clone()));
        Ok(found.map(|(version, value)| StoredObject {
            object: object.clone(),
            version: ObjectVersion(version),
            value,
        }))
    }

    async fn write(&self, write: ConditionalWrite) -> Result<ObjectVersion, PlatformError> {
        let fault = {
            let mut state = self.state.lock().unwrap();
            state.writes += 1;
            if state.down {
                return Err(unavailable());
            }
            state.write_faults.pop_front().unwrap_or(WriteFault::None)
        };
        let delay = match fault {
            WriteFault::Slow(delay) => delay,
            _ => Duration::from_millis(1),
        };
        tokio::time::sleep(delay).await;
        let mut state = self.state.lock().unwrap();
        match fault {
            WriteFault::None | WriteFault::Slow(_) => state.apply(write),
            WriteFault::LostAfter => state.apply(write).and(Err(lost())),
            WriteFault::LostBefore => Err(lost()),
            WriteFault::Delayed => {
                state.delayed.push(write);
                Err(lost())
            }
            WriteFault::Unavailable => Err(unavailable()),
        }
    }
}

impl FakeState {
    fn current(&self, object: &ObjectName) -> ObjectVersion {
        let newest = self.objects.get(object).and_then(|v| v.last());
        ObjectVersion(newest.map_or(0, |(version, _)| *version))
    }

    fn apply(&mut self, write: ConditionalWrite) -> Result<ObjectVersion, PlatformError> {
        let current = self.current(&write.object);
        if current != write.expected {
            return Err(PlatformError::Conflict { current });
        }
        self.version += 1;
        let version = self.version;
        let versions = self.objects.entry(write.object).or_default();
        versions.push((version, Some(write.value)));
        Ok(ObjectVersion(version))
    }
}

fn lost() -> PlatformError {
    PlatformError::Lost {
        reason: "the fake platform lost the response".to_owned(),
    }
}

fn unavailable() -> PlatformError {
    PlatformError::Unavailable {
        reason: "the fake platform is down".to_owned(),
        retry_after: Duration::from_millis(500),
    }
}

/// A wall clock that tests advance.
#[derive(Clone, Default)]
pub struct FakeClock(Arc<AtomicU64>);

impl FakeClock {
    pub fn new() -> Self {
        Self(Arc::new(AtomicU64::new(START)))
    }

    pub fn advance(&self, delay: Duration) {
        let delay = u64::try_from(delay.as_millis()).unwrap();
        self.0.fetch_add(delay, Ordering::Relaxed);
    }

    pub fn now(&self) -> UnixTime {
        UnixTime(self.0.load(Ordering::Relaxed))
    }
}

pub fn settings() -> IntentSettings {
    IntentSettings {
        shards: 1,
        ..IntentSettings::default()
    }
}

pub fn inputs<'a>(
    platform: &FakePlatform,
    clock: &FakeClock,
    daemon: &str,
    settings: &'a IntentSettings,
) -> StoreInputs<'a> {
    pistachiowick::invariants::make_fatal();
    let clock = clock.clone();
    StoreInputs {
        settings,
        platform: platform.port(),
        daemon: daemon.into(),
        incarnation: ProcessIncarnation(1),
        unix_now: Arc::new(move || clock.now()),
    }
}

pub fn store_with(
    platform: &FakePlatform,
    clock: &FakeClock,
    daemon: &str,
    settings: &IntentSettings,
) -> IntentStore {
    IntentStore::new(&inputs(platform, clock, daemon, settings))
}

pub fn store(platform: &FakePlatform, daemon: &str) -> IntentStore {
    store_with(platform, &FakeClock::new(), daemon, &settings())
}

pub fn key(name: &str) -> IntentKey {
    IntentKey {
        workspace: "regatta-one".into(),
        key: name.into(),
        minted_at: UnixTime(START),
    }
}

pub fn claim(name: &str) -> IntentClaim {
    IntentClaim {
        key: key(name),
        fingerprint: [7; 16],
        target: "ledger-1".into(),
        timeout: Duration::from_secs(2),
    }
}

pub async fn grant(store: &IntentStore, name: &str) -> DispatchPermit {
    match store.claim(claim(name)).await {
        ClaimResult::Granted(permit) => permit,
        other => panic!("{name} was not granted: {other:?}"),
    }
}
