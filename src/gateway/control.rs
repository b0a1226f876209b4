//! The control thread: follows the store and publishes the fleet view for the traffic thread.

use std::future::pending;
use std::io;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tokio::runtime;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::clock;
use crate::gateway::fleet::{self, FleetCell, FleetView};
use crate::gateway::local_record::{RecordCheck, RecordKeeper};
use crate::gateway::members::{DaemonRecord, DaemonTable};
use crate::gateway::model::FleetConfig;
use crate::gateway::peers::wire::FeedObjects;
use crate::gateway::port::GatewayPorts;
use crate::gateway::registry::{
    DepartureSource, EntryChange, EntryContent, EntrySource, EntryUpdate, TargetRegistry,
};
use crate::gateway::routes::RouteTable;
use crate::gateway::software::history::VersionHistory;
use crate::gateway::software::recall::RecalledVersions;
use crate::gateway::store_follow::{
    ConfigWatchWaits, Feed, StoreEvent, StoreFollower, StoreLiveness, WatchMode, kind_of,
};
use crate::names::{MonoTime, TargetId, millis};
use crate::ports::{ObjectName, ObjectVersion, StoredObject};
use crate::target_incarnation::TargetIncarnation;
use crate::timer::TimerService;

/// Interval at which the registry drops missing entries that did not reappear in time, and old
/// departures and entry updates.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which targets that get work without an entry are reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Messages to the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// A target is leaving or gone.
    TargetDeparted(TargetIncarnation, DepartureSource),
    /// Another daemon reported entries that were created or removed.
    EntryUpdates(Vec<EntryUpdate>),
    /// Another daemon sent a configuration.
    PeerConfig {
        /// Revision of the configuration object in the store.
        revision: u64,
        /// Value of that object.
        value: Vec<u8>,
    },
    /// A hub relayed objects of the store.
    PeerObjects(FeedObjects),
    /// Versions that served before the last list, if the store tells them.
    Recalled {
        /// How often all targets had been listed when the store was asked.
        lists: u64,
        /// What the store tells.
        recalled: Option<RecalledVersions>,
    },
    /// New mode in which this daemon follows the store.
    WatchMode(WatchMode),
    /// This daemon is stopping.
    Stopping,
}

/// Arguments of [`start`].
pub struct ControlSetup {
    /// Ports of the adapter.
    pub ports: GatewayPorts,
    /// Cell that the fleet view is published in.
    pub cell: FleetCell,
    /// Records when the store last answered and last confirmed the configuration.
    pub store_liveness: Arc<StoreLiveness>,
    /// This daemon's record.
    pub record: DaemonRecord,
    /// Initial mode of following the store.
    pub watch_mode: WatchMode,
    /// Longest waits of the configuration watch.
    pub config_waits: ConfigWatchWaits,
    /// Whether the whole fleet starts for the first time.
    pub is_new_fleet: bool,
}

/// Handle of the running control thread.
pub struct ControlThread {
    /// Sends messages to the control thread.
    pub messages: mpsc::UnboundedSender<ControlInput>,
    /// Objects that the control thread read from the store, for a hub to relay.
    pub relays: mpsc::UnboundedReceiver<FeedObjects>,
    /// The thread; it ends when all senders of messages are dropped.
    pub thread: JoinHandle<()>,
}

/// Starts the control thread.
///
/// # Errors
///
/// Returns an error when the thread or its runtime cannot be created.
pub fn start(setup: ControlSetup) -> io::Result<ControlThread> {
    let (messages, inbox) = mpsc::unbounded_channel();
    let (relay, relays) = mpsc::unbounded_channel();
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let thread = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let local = LocalSet::new();
            local.block_on(&runtime, run(setup, inbox, relay));
        })?;
    Ok(ControlThread {
        messages,
        relays,
        thread,
    })
}

struct ControlState {
    ports: GatewayPorts,
    cell: FleetCell,
    registry: TargetRegistry,
    members: DaemonTable,
    versions: VersionHistory,
    routes: Option<Arc<RouteTable>>,
    config_source: Option<(u64, Arc<[u8]>)>,
    targets_known: bool,
    daemons_known: bool,
    record_check: RecordCheck,
    store_liveness: Arc<StoreLiveness>,
    // Revision of the newest configuration that could not be decoded and is not in force here.
    rejected_revision: Option<u64>,
}

async fn run(
    setup: ControlSetup,
    mut inbox: mpsc::UnboundedReceiver<ControlInput>,
    relay: mpsc::UnboundedSender<FeedObjects>,
) {
    let (mode_sender, watch_mode) = watch::channel(setup.watch_mode);
    let (event_sender, mut events) = mpsc::unbounded_channel();
    let (record_sender, record) = watch::channel(setup.record);
    for feed in [Feed::Config, Feed::Targets, Feed::Daemons] {
        let follower = StoreFollower {
            ports: setup.ports.clone(),
            feed,
            kind: kind_of(&setup.ports, feed),
            events: event_sender.clone(),
            watch_mode: watch_mode.clone(),
            store_liveness: setup.store_liveness.clone(),
            config_waits: setup.config_waits,
        };
        spawn_local(follower.run());
    }
    let record_checks = Arc::new(Notify::new());
    let record_object = ObjectName {
        kind: setup.ports.schema.daemon_kind.clone(),
        name: record.borrow().id.to_string(),
    };
    let keeper = RecordKeeper {
        store: setup.ports.store.clone(),
        object: record_object,
        desired: record,
        checks: record_checks.clone(),
    };
    spawn_local(keeper.run());
    let mut state = ControlState {
        ports: setup.ports,
        cell: setup.cell,
        registry: TargetRegistry::default(),
        members: DaemonTable::default(),
        versions: if setup.is_new_fleet {
            VersionHistory::of_new_fleet(clock::mono_now())
        } else {
            VersionHistory::default()
        },
        routes: None,
        config_source: None,
        targets_known: false,
        daemons_known: false,
        record_check: RecordCheck::new(clock::mono_now()),
        store_liveness: setup.store_liveness,
        rejected_revision: None,
    };
    let timer = TimerService::start();
    let mut ticks = timer.every(EXPIRY_INTERVAL);
    let mut reports = timer.every(REPORT_INTERVAL);
    loop {
        let changed = tokio::select! {
            message = inbox.recv() => match message {
                Some(ControlInput::TargetDeparted(id, source)) => state.note_departed(&id, &source),
                Some(ControlInput::EntryUpdates(updates)) => state.apply_entry_updates(updates),
                Some(ControlInput::PeerConfig { revision, value }) => {
                    state.apply_config_value(revision, &value)
                }
                Some(ControlInput::PeerObjects(objects)) => state.apply_relayed(objects),
                Some(ControlInput::Recalled { lists, recalled }) => {
                    state.apply_recalled(lists, recalled.as_ref())
                }
                Some(ControlInput::WatchMode(watch_mode)) => {
                    mode_sender.send_replace(watch_mode);
                    false
                }
                Some(ControlInput::Stopping) => {
                    record_sender.send_modify(|record| record.leaving = true);
                    false
                }
                None => return,
            },
            event = events.recv() => {
                if let Some(objects) = event.as_ref().and_then(StoreEvent::relayed) {
                    // The traffic thread ends only with the process.
                    let _ = relay.send(objects);
                }
                event.is_some_and(|event| state.apply(event, EntrySource::Store))
            }
            () = wait_until(state.registry.next_expiry()) => {
                state.registry.expire(clock::mono_now())
            }
            _ = ticks.next() => state.registry.expire(clock::mono_now()),
            _ = reports.next() => {
                state.report_missing();
                false
            }
        };
        if state.must_check_record(&record_sender.borrow()) {
            record_checks.notify_one();
        }
        if changed {
            state.publish();
        }
    }
}

impl ControlState {
    // Every answer and every message of a peer reports it, so only the first report counts.
    fn note_departed(&mut self, id: &TargetIncarnation, source: &DepartureSource) -> bool {
        if self.registry.has_departed(id) {
            return false;
        }
        source.log(id);
        self.registry.mark_departed(id, clock::mono_now());
        true
    }

    fn apply_entry_updates(&mut self, updates: Vec<EntryUpdate>) -> bool {
        let now = clock::mono_now();
        let mut changed = false;
        for update in updates {
            changed |= match update.value {
                None => self
                    .registry
                    .apply_removal(&update.name, update.revision, now),
                Some(value) => self.apply_created(&update.name, update.revision, value.into_vec()),
            };
        }
        changed
    }

    fn apply_created(&mut self, name: &TargetId, revision: u64, value: Vec<u8>) -> bool {
        let object = StoredObject {
            object: ObjectName {
                kind: String::new(),
                name: name.to_string(),
            },
            version: ObjectVersion(revision),
            value: Some(value),
        };
        self.apply_target(&object, EntrySource::Peer)
    }

    // Returns whether the change is the start of a new incarnation of the target.
    fn apply_target(&mut self, object: &StoredObject, source: EntrySource) -> bool {
        let now = clock::mono_now();
        let change = self.decode_target(object);
        self.note_served(&change, now);
        let name = change.name.clone();
        let is_start = self.registry.apply(change, source, now);
        if let Some(value) = object.value.as_ref().filter(|_| is_start) {
            self.registry.note_added(&name, value, now);
        }
        is_start
    }

    // Logged repeatedly: only the last seconds of a busy daemon's log may be kept.
    fn report_missing(&self) {
        let now = clock::mono_now();
        let missing = self.registry.missing_entries();
        let missing: Vec<String> = missing.map(|(id, _)| id.to_string()).collect();
        metrics::gauge!("pistachiowick_entries_missing").set(missing.len() as f64);
        let is_listed = u8::from(self.record_check.is_listed());
        metrics::gauge!("pistachiowick_daemon_listed").set(f64::from(is_listed));
        if !missing.is_empty() {
            log::info!(
                targets = missing.join(" "),
                store_heard_ms = millis(self.store_liveness.age(now));
                "targets get work without an entry in the store"
            );
        }
    }

    fn apply_relayed(&mut self, relayed: FeedObjects) -> bool {
        let FeedObjects {
            feed,
            whole,
            objects,
        } = relayed;
        let stored = objects
            .into_iter()
            .map(|(name, version, value)| StoredObject {
                object: ObjectName {
                    kind: String::new(),
                    name,
                },
                version: ObjectVersion(version),
                value: value.map(serde_bytes::ByteBuf::into_vec),
            });
        let stored = stored.collect();
        let event = if whole {
            StoreEvent::Listed(feed, stored)
        } else {
            StoreEvent::Changed(feed, stored)
        };
        self.apply(event, EntrySource::Hub)
    }

    fn must_check_record(&mut self, local: &DaemonRecord) -> bool {
        let is_listed = self.members.holds(local);
        let now = clock::mono_now();
        self.record_check.note_listed(is_listed, now)
    }

    // Returns whether the published view has to change.
    fn apply(&mut self, event: StoreEvent, source: EntrySource) -> bool {
        let now = clock::mono_now();
        let is_answer = matches!(event, StoreEvent::Listed(..) | StoreEvent::Changed(..));
        if is_answer && source == EntrySource::Store {
            self.registry.note_store_answer(now);
        }
        match event {
            StoreEvent::Confirmed(at) => {
                // An answer that could not be decoded confirms nothing: keys that it
                // revokes would stay in force.
                if self.routes.is_some() && self.rejected_revision.is_none() {
                    self.store_liveness.note_confirmed(at);
                }
                false
            }
            StoreEvent::TargetsThrough(revision) => {
                self.registry.note_read_through(revision);
                self.store_liveness.note_targets_through(revision);
                false
            }
            StoreEvent::Failed(called_at) => {
                self.registry.note_store_failure(called_at, now);
                false
            }
            StoreEvent::Listed(Feed::Targets, objects) => {
                let listing = objects.iter().map(|object| self.decode_target(object));
                let listing: Vec<EntryChange> = listing.collect();
                for change in &listing {
                    self.note_served(change, now);
                }
                self.versions.note_listed(now);
                self.registry.replace(listing, source, now);
                self.targets_known = true;
                true
            }
            StoreEvent::Listed(Feed::Daemons, objects) => {
                self.members.clear();
                self.daemons_known = true;
                self.apply_daemons(&objects)
            }
            StoreEvent::Changed(Feed::Targets, objects) => {
                for object in &objects {
                    self.apply_target(object, source);
                }
                !objects.is_empty()
            }
            StoreEvent::Changed(Feed::Daemons, objects) => self.apply_daemons(&objects),
            StoreEvent::Listed(Feed::Config, objects)
            | StoreEvent::Changed(Feed::Config, objects) => {
                let mut changed = false;
                for object in &objects {
                    changed |= self.apply_config_object(object);
                }
                changed
            }
        }
    }

    fn decode_target(&self, object: &StoredObject) -> EntryChange {
        let name = &object.object.name;
        let decode = self.ports.schema.decode_target;
        let content = match &object.value {
            None => EntryContent::Gone,
            Some(value) => match decode(name, value) {
                Ok(record) => EntryContent::Named(record),
                Err(error) => EntryContent::Unreadable(error),
            },
        };
        EntryChange {
            name: TargetId::from(name.as_str()),
            revision: object.version.0,
            content,
        }
    }

    // Also of a target that is leaving: it may have begun streams until now.
    fn note_served(&mut self, change: &EntryChange, now: MonoTime) {
        if let EntryContent::Named(record) = &change.content {
            self.versions
                .note_served(&record.service, &record.software, now);
        }
    }

    fn apply_recalled(&mut self, lists: u64, recalled: Option<&RecalledVersions>) -> bool {
        let now = clock::mono_now();
        let covered = recalled.map(|recalled| {
            self.versions.note_record(&recalled.record.served, now);
            for object in &recalled.changes {
                let change = self.decode_target(object);
                self.note_served(&change, now);
            }
            recalled.record.covered
        });
        self.versions.note_recalled(lists, covered, now);
        true
    }

    fn apply_daemons(&mut self, objects: &[StoredObject]) -> bool {
        for object in objects {
            let name = &object.object.name;
            let record = object.value.as_ref().and_then(|value| {
                DaemonRecord::decode(name, value)
                    .map_err(|error| log::warn!("{error}"))
                    .ok()
            });
            self.members.set(name, record);
        }
        true
    }

    // Other objects of the same kind are not the operator's configuration.
    fn apply_config_object(&mut self, object: &StoredObject) -> bool {
        let named = object.object.name == self.ports.schema.config_name;
        let value = object.value.as_ref().filter(|_| named);
        value.is_some_and(|value| self.apply_config_value(object.version.0, value))
    }

    fn apply_config_value(&mut self, revision: u64, value: &[u8]) -> bool {
        match (self.ports.schema.decode_config)(value) {
            Ok(config) => {
                self.rejected_revision = self
                    .rejected_revision
                    .filter(|rejected| *rejected > revision);
                let applied = self.apply_config(config, revision);
                if applied {
                    self.config_source = Some((revision, Arc::from(value)));
                }
                applied
            }
            Err(error) => {
                self.rejected_revision = self.rejected_revision.max(Some(revision));
                log::error!(revision = ObjectVersion(revision).revision(); "configuration rejected, keeping the previous one: {error}");
                false
            }
        }
    }

    fn apply_config(&mut self, config: FleetConfig, revision: u64) -> bool {
        let running = self.routes.as_ref().map_or(0, |routes| routes.version);
        if self.routes.is_some() && config.version <= running {
            return false;
        }
        log::info!(version = config.version, before = running, revision = ObjectVersion(revision).revision(); "configuration applied");
        self.routes = Some(Arc::new(RouteTable::from(config)));
        true
    }

    fn publish(&mut self) {
        let mut targets = self.registry.by_service();
        if let Some(routes) = &self.routes {
            fleet::remove_unconfigured(&mut targets, routes);
        }
        self.versions.note_targets(&targets, clock::mono_now());
        let view = FleetView {
            routes: self.routes.clone(),
            targets,
            targets_known: self.targets_known,
            config_source: self.config_source.clone(),
            departed: self.registry.departed().cloned().collect(),
            entry_updates: self.registry.recent_updates().cloned().collect(),
            missing_entries: self
                .registry
                .missing_entries()
                .map(|(id, entry)| (id.clone(), entry))
                .collect(),
            versions: self.versions.clone(),
            daemons: self.members.all(),
            daemons_known: self.daemons_known,
        };
        self.cell.store(Arc::new(view));
    }
}

async fn wait_until(moment: Option<MonoTime>) {
    match moment {
        Some(moment) => sleep(moment.since(clock::mono_now())).await,
        None => pending().await,
    }
}
