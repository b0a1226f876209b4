//! In-memory fakes for the ports of the control plane.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::Notify;

use pistachiowick::ports::{
    ConditionalWrite, ObjectBatch, ObjectName, ObjectVersion, PlatformError, PlatformPort,
    StoredObject, WatchQuery,
};
use pistachiowick::store::wire::InstanceRow;

/// Fault injected into the next write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteFault {
    /// The write takes effect; the response is lost.
    AnswerLost,
    /// Both the write and the response are lost.
    NeverArrives,
    /// The write takes effect when `land_delayed` is called; the response is lost.
    Delayed,
    /// The platform refuses the write as busy.
    Busy,
}

#[derive(Default)]
pub struct PlatformData {
    pub objects: IndexMap<ObjectName, (ObjectVersion, Vec<u8>)>,
    older: IndexMap<ObjectName, (ObjectVersion, Vec<u8>)>,
    pub revision: u64,
    pub instances: Vec<InstanceRow>,
    pub faults: VecDeque<WriteFault>,
    pub delayed: Vec<ConditionalWrite>,
    pub stale_reads: u32,
    pub down: bool,
    pub writes: u32,
    pub reads: u32,
    pub lists: u32,
    pub watches: u32,
    /// Writes by others; one is applied before each write is checked.
    pub before_write: VecDeque<ConditionalWrite>,
    /// Whether delayed writes take effect right after the next read.
    pub land_after_read: bool,
}

#[derive(Clone, Default)]
pub struct FakePlatform {
    data: Arc<Mutex<PlatformData>>,
    changed: Arc<Notify>,
}

fn unavailable() -> PlatformError {
    PlatformError::Unavailable {
        reason: "down".to_owned(),
        retry_after: Duration::from_millis(5),
    }
}

fn lost() -> PlatformError {
    PlatformError::Lost {
        reason: "no answer".to_owned(),
    }
}

impl PlatformData {
    pub fn apply(&mut self, write: &ConditionalWrite) -> Result<ObjectVersion, PlatformError> {
        let current = self
            .objects
            .get(&write.object)
            .map_or(ObjectVersion(0), |(version, _)| *version);
        if current != write.expected {
            return Err(PlatformError::Conflict { current });
        }
        self.revision += 1;
        let version = ObjectVersion(self.revision);
        let new = (version, write.value.clone());
        if let Some(old) = self.objects.insert(write.object.clone(), new) {
            self.older.insert(write.object.clone(), old);
        }
        Ok(version)
    }

    fn write(&mut self, write: ConditionalWrite) -> Result<ObjectVersion, PlatformError> {
        self.writes += 1;
        if let Some(other) = self.before_write.pop_front() {
            let _ = self.apply(&other);
        }
        match self.faults.pop_front() {
            _ if self.down => Err(unavailable()),
            None => self.apply(&write),
            Some(WriteFault::Busy) => Err(unavailable()),
            Some(WriteFault::NeverArrives) => Err(lost()),
            Some(WriteFault::AnswerLost) => {
                let _ = self.apply(&write);
                Err(lost())
            }
            Some(WriteFault::Delayed) => {
                self.delayed.push(write);
                Err(lost())
            }
        }
    }

    pub fn land_delayed(&mut self) -> Vec<Result<ObjectVersion, PlatformError>> {
        let delayed = std::mem::take(&mut self.delayed);
        delayed.iter().map(|write| self.apply(write)).collect()
    }

    fn read(&mut self, object: &ObjectName) -> Result<Option<StoredObject>, PlatformError> {
        self.reads += 1;
        if self.down {
            return Err(unavailable());
        }
        let newest = self.objects.get(object).cloned();
        let shown = if self.stale_reads > 0 {
            self.stale_reads -= 1;
            self.older.get(object).cloned()
        } else {
            newest
        };
        if self.land_after_read {
            self.land_after_read = false;
            self.land_delayed();
        }
        Ok(shown.map(|(version, value)| StoredObject {
            object: object.clone(),
            version,
            value: Some(value),
        }))
    }

    fn since(&self, kind: &str, revision: u64) -> ObjectBatch {
        let objects = self
            .objects
            .iter()
            .filter(|(object, (version, _))| object.kind == kind && version.0 > revision)
            .map(|(object, (version, value))| StoredObject {
                object: object.clone(),
                version: *version,
                value: Some(value.clone()),
            });
        ObjectBatch {
            revision: self.revision,
            objects: objects.collect(),
        }
    }
}

impl FakePlatform {
    pub fn data(&self) -> MutexGuard<'_, PlatformData> {
        self.data.lock().unwrap()
    }

    pub fn put(&self, kind: &str, name: &str, value: Vec<u8>) -> ObjectVersion {
        let object = ObjectName {
            kind: kind.to_owned(),
            name: name.to_owned(),
        };
        let mut data = self.data();
        let expected = data
            .objects
            .get(&object)
            .map_or_else(ObjectVersion::default, |o| o.0);
        let version = data
            .apply(&ConditionalWrite {
                object,
                expected,
                value,
            })
            .unwrap();
        drop(data);
        self.changed.notify_waiters();
        version
    }

    pub fn set_down(&self, down: bool) {
        self.data().down = down;
    }

    pub fn port(&self) -> PlatformPort {
        let (reader, writer, lister, watcher, rows) = (
            self.clone(),
            self.clone(),
            self.clone(),
            self.clone(),
            self.clone(),
        );
        PlatformPort {
            read: Arc::new(move |object| {
                let result = reader.data().read(&object);
                Box::pin(async move {
                    tokio::task::yield_now().await;
                    result
                })
            }),
            write: Arc::new(move |write| {
                let result = writer.data().write(write);
                writer.changed.notify_waiters();
                Box::pin(async move { result })
            }),
            list: Arc::new(move |kind: String| {
                let mut data = lister.data();
                data.lists += 1;
                let result = if data.down {
                    Err(unavailable())
                } else {
                    Ok(data.since(&kind, 0))
                };
                Box::pin(async move { result })
            }),
            watch: Arc::new(move |query| {
                let platform = watcher.clone();
                platform.data().watches += 1;
                Box::pin(async move { platform.watch(query).await })
            }),
            instances: Arc::new(move |()| {
                let data = rows.data();
                let result = if data.down {
                    Err(unavailable())
                } else {
                    Ok(data.instances.clone())
                };
                Box::pin(async move { result })
            }),
        }
    }

    async fn watch(&self, query: WatchQuery) -> Result<ObjectBatch, PlatformError> {
        let deadline = tokio::time::Instant::now() + query.wait;
        loop {
            let changed = self.changed.notified();
            {
                let data = self.data();
                if data.down {
                    return Err(unavailable());
                }
                let batch = data.since(&query.kind, query.since);
                if !batch.objects.is_empty() {
                    return Ok(batch);
                }
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                let revision = self.data().revision;
                return Ok(ObjectBatch {
                    revision,
                    objects: Vec::new(),
                });
            }
        }
    }
}

/// Engine states by address.
pub type StateTable = Arc<Mutex<IndexMap<String, pistachiowick::targets::wire::EngineState>>>;

fn not_reached() -> pistachiowick::ports::TargetError {
    pistachiowick::ports::TargetError::NotDelivered {
        reason: "no such engine".to_owned(),
    }
}

/// Engines that answer with the state stored under their address, and keep the orders
/// they accept.
#[derive(Clone, Default)]
pub struct FakeEngines {
    pub states: StateTable,
    pub orders: Arc<Mutex<Vec<(String, pistachiowick::targets::wire::OrderBody)>>>,
    pub checks_fence: bool,
}

impl FakeEngines {
    pub fn put(&self, address: &str, state: pistachiowick::targets::wire::EngineState) {
        self.states
            .lock()
            .unwrap()
            .insert(address.to_owned(), state);
    }

    /// Handles an order as an engine does.
    pub fn apply(
        &self,
        address: &str,
        body: &pistachiowick::targets::wire::OrderBody,
    ) -> Result<pistachiowick::targets::wire::EngineState, pistachiowick::ports::TargetError> {
        let mut states = self.states.lock().unwrap();
        let state = states.get_mut(address).ok_or_else(not_reached)?;
        let seen = state.last_order.as_ref().map(|order| order.fence);
        if let Some(current) = seen.filter(|f| self.checks_fence && body.order_id.fence < *f) {
            return Err(pistachiowick::ports::TargetError::Fenced { current });
        }
        self.orders
            .lock()
            .unwrap()
            .push((address.to_owned(), body.clone()));
        state.role = body.role;
        state.models.clone_from(&body.models);
        state.last_order = Some(body.order_id.clone());
        Ok(state.clone())
    }

    pub fn port(&self) -> pistachiowick::ports::EnginePort {
        let (states, engines) = (self.clone(), self.clone());
        pistachiowick::ports::EnginePort {
            generate: Arc::new(|_| Box::pin(async { Err(not_reached()) })),
            resume: Arc::new(|_| Box::pin(async { Err(not_reached()) })),
            cancel: Arc::new(|_| Box::pin(async { Err(not_reached()) })),
            cache_events: Arc::new(|_| Box::pin(async { Err(not_reached()) })),
            state: Arc::new(move |call| {
                let states = states.states.lock().unwrap();
                let mut state = states.get(&call.address).cloned();
                if let Some(state) = &mut state {
                    state.at_ms = pistachiowick::clock::unix_now().0;
                }
                Box::pin(async move { state.ok_or_else(not_reached) })
            }),
            order: Arc::new(move |call| {
                let result = engines.apply(&call.address, &call.body);
                Box::pin(async move { result })
            }),
        }
    }
}

/// Settings of a daemon with intervals short enough for tests.
pub fn settings(id: &str, centre: &str) -> pistachiowick::settings::DaemonSettings {
    serde_json::from_value(serde_json::json!({
        "daemon_id": id,
        "data_centre": centre,
        "listen": {"rpc": "127.0.0.1:0", "admin": "127.0.0.1:0", "peer": "127.0.0.1:0"},
        "platform": {"address": "http://127.0.0.1:1", "watch_ms": 200, "instances_ms": 20},
        "peers": {"hint_ms": 20},
        "access": {"operator_key_hashes": [], "token_secrets": ["secret"]},
    }))
    .unwrap()
}

/// Waits for a condition; the long limit only catches a hang and does not test speed.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..6_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("timed out waiting for: {what}");
}
