//! The control thread: follows the store and publishes what traffic reads.

use std::future::pending;
use std::io;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tokio::runtime;
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::clock;
use crate::gateway::fleet::{self, FleetCell, FleetView};
use crate::gateway::members::{DaemonRecord, MemberBook};
use crate::gateway::model::FleetConfig;
use crate::gateway::peers::wire::FeedObjects;
use crate::gateway::port::GatewayPorts;
use crate::gateway::registry::{
    EntryChange, EntryContent, EntrySource, EntryUpdate, TargetRegistry,
};
use crate::gateway::routes::RouteTable;
use crate::gateway::store_follow::{
    ConfigWatchWaits, FIRST_BACKOFF, Feed, Follower, LONGEST_BACKOFF, StoreEvent, StoreLiveness,
    WatchMode, kind_of, pause,
};
use crate::names::{DaemonId, MonoTime, TargetId, millis};
use crate::ports::{ConditionalWrite, ObjectName, ObjectVersion, PlatformError, StoredObject};
use crate::target_incarnation::TargetIncarnation;
use crate::timer::TimerService;

/// How often what is remembered of ended entries and lives is cleared.
const TICK: Duration = Duration::from_millis(200);
/// How often targets without an entry that still get work are told of.
const REPORT_EVERY: Duration = Duration::from_millis(500);
/// Attempts to write the own record before it is left to the next change.
const RECORD_ATTEMPTS: u32 = 8;

/// What others tell the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// A target was not at its address any more.
    TargetDeparted(TargetIncarnation),
    /// Another daemon told of entries that began or ended.
    EntryNotes(Vec<EntryUpdate>),
    /// Another daemon sent a configuration.
    PeerConfig {
        /// Revision of the store's object.
        revision: u64,
        /// Its value.
        value: Vec<u8>,
    },
    /// A hub passed on objects of the store.
    PeerObjects(FeedObjects),
    /// How this daemon is to follow the store.
    Duty(WatchMode),
    /// This daemon is stopping.
    Stopping,
}

/// What the control thread is started with.
pub struct ControlSetup {
    /// Adapter.
    pub ports: GatewayPorts,
    /// Where to publish.
    pub cell: FleetCell,
    /// Where to note that the store was heard.
    pub pulse: Arc<StoreLiveness>,
    /// This daemon's record.
    pub record: DaemonRecord,
    /// How the store is followed at first.
    pub duty: WatchMode,
    /// How often the configuration is asked for while nothing changes.
    pub pace: ConfigWatchWaits,
}

/// Handle of the control thread.
pub struct ControlLink {
    /// Where traffic tells it something.
    pub news: mpsc::UnboundedSender<ControlInput>,
    /// What it reads of the store, for hubs to pass on.
    pub relays: mpsc::UnboundedReceiver<FeedObjects>,
    /// The thread; it ends when all senders of news are gone.
    pub thread: JoinHandle<()>,
}

/// Starts the control thread.
///
/// # Errors
///
/// Returns an error when no thread or no runtime can be had.
pub fn start(setup: ControlSetup) -> io::Result<ControlLink> {
    let (news, inbox) = mpsc::unbounded_channel();
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
    Ok(ControlLink {
        news,
        relays,
        thread,
    })
}

struct ControlState {
    ports: GatewayPorts,
    cell: FleetCell,
    registry: TargetRegistry,
    members: MemberBook,
    routes: Option<Arc<RouteTable>>,
    config_source: Option<(u64, Arc<[u8]>)>,
    targets_known: bool,
    own_record_seen: bool,
    pulse: Arc<StoreLiveness>,
    // Revision of a configuration that could not be read and is not in force here.
    unread_config: Option<u64>,
}

async fn run(
    setup: ControlSetup,
    mut inbox: mpsc::UnboundedReceiver<ControlInput>,
    relay: mpsc::UnboundedSender<FeedObjects>,
) {
    let (duty_sender, duty) = watch::channel(setup.duty);
    let (feed_sender, mut feeds) = mpsc::unbounded_channel();
    let (record_sender, record) = watch::channel(setup.record);
    for feed in [Feed::Config, Feed::Targets, Feed::Daemons] {
        let follower = Follower {
            ports: setup.ports.clone(),
            feed,
            kind: kind_of(&setup.ports, feed),
            news: feed_sender.clone(),
            duty: duty.clone(),
            pulse: setup.pulse.clone(),
            pace: setup.pace,
        };
        spawn_local(follower.run());
    }
    spawn_local(keep_record(setup.ports.clone(), record));
    let mut state = ControlState {
        ports: setup.ports,
        cell: setup.cell,
        registry: TargetRegistry::default(),
        members: MemberBook::default(),
        routes: None,
        config_source: None,
        targets_known: false,
        own_record_seen: false,
        pulse: setup.pulse,
        unread_config: None,
    };
    let timer = TimerService::start();
    let mut ticks = timer.every(TICK);
    let mut reports = timer.every(REPORT_EVERY);
    loop {
        let changed = tokio::select! {
            news = inbox.recv() => match news {
                Some(ControlInput::TargetDeparted(id)) => state.note_departed(&id),
                Some(ControlInput::EntryNotes(notes)) => state.take_notes(notes),
                Some(ControlInput::PeerConfig { revision, value }) => {
                    state.take_value(revision, &value)
                }
                Some(ControlInput::PeerObjects(objects)) => state.take_relayed(objects),
                Some(ControlInput::Duty(duty)) => {
                    duty_sender.send_replace(duty);
                    false
                }
                Some(ControlInput::Stopping) => {
                    record_sender.send_modify(|record| record.leaving = true);
                    false
                }
                None => return,
            },
            news = feeds.recv() => {
                if let Some(objects) = news.as_ref().and_then(StoreEvent::relayed) {
                    // The traffic thread ends only with the process.
                    let _ = relay.send(objects);
                }
                let changed = news.is_some_and(|news| state.take(news, EntrySource::Store));
                if state.lost_own_record(&record_sender.borrow().id) {
                    record_sender.send_modify(|_| {});
                }
                changed
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
        if changed {
            state.publish();
        }
    }
}

impl ControlState {
    // Each request that meets the target tells of it.
    fn note_departed(&mut self, id: &TargetIncarnation) -> bool {
        if self.registry.has_departed(id) {
            return false;
        }
        log::info!(target_id = id.as_str(); "target is not at its address any more");
        self.registry.mark_departed(id, clock::mono_now());
        true
    }

    fn take_notes(&mut self, notes: Vec<EntryUpdate>) -> bool {
        let now = clock::mono_now();
        let mut changed = false;
        for note in notes {
            changed |= match note.value {
                None => self.registry.apply_removal(&note.name, note.revision, now),
                Some(value) => self.take_begun(&note.name, note.revision, value.into_vec()),
            };
        }
        changed
    }

    fn take_begun(&mut self, name: &TargetId, revision: u64, value: Vec<u8>) -> bool {
        let object = StoredObject {
            object: ObjectName {
                kind: String::new(),
                name: name.to_string(),
            },
            version: ObjectVersion(revision),
            value: Some(value),
        };
        self.take_target(&object, EntrySource::Peer)
    }

    // Whether a target's life began with the change.
    fn take_target(&mut self, object: &StoredObject, source: EntrySource) -> bool {
        let now = clock::mono_now();
        let news = self.decode_target(object);
        let name = news.name.clone();
        let begins = self.registry.apply(news, source, now);
        if let Some(value) = object.value.as_ref().filter(|_| begins) {
            self.registry.note_added(&name, value, now);
        }
        begins
    }

    // Told again and again: what is kept of a busy daemon's log may be its last seconds.
    fn report_missing(&self) {
        let now = clock::mono_now();
        let missing = self.registry.missing_entries();
        let missing: Vec<String> = missing.map(|(id, _)| id.to_string()).collect();
        metrics::gauge!("pistachiowick_entries_missing").set(missing.len() as f64);
        if !missing.is_empty() {
            log::info!(
                targets = missing.join(" "),
                store_heard_ms = millis(self.pulse.age(now));
                "targets without an entry get work"
            );
        }
    }

    fn take_relayed(&mut self, relayed: FeedObjects) -> bool {
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
        let news = if whole {
            StoreEvent::Listed(feed, stored)
        } else {
            StoreEvent::Changed(feed, stored)
        };
        self.take(news, EntrySource::Hub)
    }

    // Whether the daemons were listed and the own record, seen before, is not there.
    fn lost_own_record(&mut self, own: &DaemonId) -> bool {
        let holds = self.members.holds(own);
        let lost = self.own_record_seen && !holds;
        self.own_record_seen = holds;
        lost
    }

    // Whether something changed that traffic has to see.
    fn take(&mut self, news: StoreEvent, source: EntrySource) -> bool {
        let now = clock::mono_now();
        let answered = matches!(news, StoreEvent::Listed(..) | StoreEvent::Changed(..));
        if answered && source == EntrySource::Store {
            self.registry.note_store_answer(now);
        }
        match news {
            StoreEvent::Confirmed(at) => {
                // Nothing is confirmed by an answer that could not be read: keys that it
                // takes away would stay in force.
                if self.routes.is_some() && self.unread_config.is_none() {
                    self.pulse.note_confirmed(at);
                }
                false
            }
            StoreEvent::TargetsThrough(revision) => {
                self.registry.note_read_through(revision);
                false
            }
            StoreEvent::Failed(asked) => {
                self.registry.note_store_failure(asked, now);
                false
            }
            StoreEvent::Listed(Feed::Targets, objects) => {
                let listing = objects.iter().map(|object| self.decode_target(object));
                let listing = listing.collect();
                self.registry.replace(listing, source, now);
                self.targets_known = true;
                true
            }
            StoreEvent::Listed(Feed::Daemons, objects) => {
                self.members.clear();
                self.take_daemons(&objects)
            }
            StoreEvent::Changed(Feed::Targets, objects) => {
                for object in &objects {
                    self.take_target(object, source);
                }
                !objects.is_empty()
            }
            StoreEvent::Changed(Feed::Daemons, objects) => self.take_daemons(&objects),
            StoreEvent::Listed(Feed::Config, objects)
            | StoreEvent::Changed(Feed::Config, objects) => {
                let mut changed = false;
                for object in &objects {
                    changed |= self.take_config(object);
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
                Err(fault) => EntryContent::Unreadable(fault),
            },
        };
        EntryChange {
            name: TargetId::from(name.as_str()),
            revision: object.version.0,
            content,
        }
    }

    fn take_daemons(&mut self, objects: &[StoredObject]) -> bool {
        for object in objects {
            let name = &object.object.name;
            let record = object.value.as_ref().and_then(|value| {
                DaemonRecord::decode(name, value)
                    .map_err(|fault| log::warn!("{fault}"))
                    .ok()
            });
            self.members.set(name, record);
        }
        true
    }

    // An object beside the operator's one is somebody else's.
    fn take_config(&mut self, object: &StoredObject) -> bool {
        let named = object.object.name == self.ports.schema.config_name;
        let value = object.value.as_ref().filter(|_| named);
        value.is_some_and(|value| self.take_value(object.version.0, value))
    }

    fn take_value(&mut self, revision: u64, value: &[u8]) -> bool {
        match (self.ports.schema.decode_config)(value) {
            Ok(config) => {
                self.unread_config = self.unread_config.filter(|unread| *unread > revision);
                let applied = self.apply_config(config, revision);
                if applied {
                    self.config_source = Some((revision, Arc::from(value)));
                }
                applied
            }
            Err(fault) => {
                self.unread_config = self.unread_config.max(Some(revision));
                log::error!(revision = revision; "configuration left out, the one before stays: {fault}");
                false
            }
        }
    }

    fn apply_config(&mut self, config: FleetConfig, revision: u64) -> bool {
        let running = self.routes.as_ref().map_or(0, |routes| routes.version);
        if self.routes.is_some() && config.version <= running {
            return false;
        }
        log::info!(version = config.version, before = running, revision = revision; "configuration applied");
        self.routes = Some(Arc::new(RouteTable::from(config)));
        true
    }

    fn publish(&self) {
        let mut targets = self.registry.by_service();
        if let Some(routes) = &self.routes {
            fleet::remove_unconfigured(&mut targets, routes);
        }
        let view = FleetView {
            routes: self.routes.clone(),
            targets,
            targets_known: self.targets_known,
            config_source: self.config_source.clone(),
            departed: self.registry.departed().cloned().collect(),
            entry_notes: self.registry.recent_updates().cloned().collect(),
            missing: self
                .registry
                .missing_entries()
                .map(|(id, entry)| (id.clone(), entry))
                .collect(),
            daemons: self.members.all(),
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

// Keeps the own record in the store as it is wanted.
async fn keep_record(ports: GatewayPorts, mut wanted: watch::Receiver<DaemonRecord>) {
    let object = ObjectName {
        kind: ports.schema.daemon_kind.clone(),
        name: wanted.borrow().id.to_string(),
    };
    loop {
        let record = wanted.borrow_and_update().clone();
        write_record(&ports, &object, &record).await;
        if wanted.changed().await.is_err() {
            return;
        }
    }
}

async fn write_record(ports: &GatewayPorts, object: &ObjectName, record: &DaemonRecord) {
    let mut expected = ObjectVersion(0);
    let mut backoff = FIRST_BACKOFF;
    for _ in 0..RECORD_ATTEMPTS {
        let write = ConditionalWrite {
            object: object.clone(),
            expected,
            value: record.encode(),
        };
        match (ports.store.write)(write).await {
            Ok(_) => return,
            // The record of an earlier life; only this daemon writes under its name.
            Err(PlatformError::Conflict { current }) => expected = current,
            Err(error) => {
                log::warn!("own record not written: {error}");
                pause(&mut backoff, LONGEST_BACKOFF).await;
            }
        }
    }
    log::error!(attempts = RECORD_ATTEMPTS; "own record not written; others learn of this daemon late");
}
