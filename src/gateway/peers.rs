//! Links between gateway daemons: hints on work and caches, and the configuration
//! for a daemon that the store does not serve.
//!
//! Each daemon opens one link to every other one and sends on it; what it hears
//! comes over the links that the others open. So each direction is judged alone:
//! a sender notices by the acknowledgements, a receiver by silence. No promise
//! rests on what is heard; a daemon cut off decides by what it sees itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use crate::clock;
use crate::gateway::control::ControlNews;
use crate::gateway::daemon::Gateway;
use crate::gateway::load::TargetWork;
use crate::gateway::members::DaemonRecord;
use crate::gateway::model::PromptPart;
use crate::gateway::stage_plan::WorkRate;
use crate::names::{DaemonId, MonoTime, TargetId};
use crate::timer::TimerService;

/// Time between two hints. Choices of different daemons within it do not know of
/// each other; at today's rates that is one or two requests a daemon.
const HINT_EVERY: Duration = Duration::from_millis(200);
/// Time to open a link and to send one message.
const LINK_WAIT: Duration = Duration::from_millis(1_000);
/// Pause before a lost link is opened again.
const DIAL_PAUSE: Duration = Duration::from_millis(300);
/// Silence after which a daemon is taken to be away.
const SILENCE: Duration = Duration::from_millis(1_300);
/// Silence after which an incoming link is dropped.
const LINK_SILENCE: Duration = Duration::from_secs(5);
/// How long a daemon's version may stay behind before it is sent the
/// configuration: the store has told most daemons by then.
const CONFIG_PATIENCE: Duration = Duration::from_millis(500);
/// Largest message, in bytes: a configuration may take a megabyte.
const MESSAGE_BYTES: usize = 2 << 20;
/// Most links that a daemon opens. Larger fleets are heard in part.
const MOST_LINKS: usize = 16;

/// Parts of a prompt that an engine holds, or was asked to read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HeldNote {
    /// The engine.
    pub engine: TargetId,
    /// Keys and tokens of the parts, in the prompt's order.
    pub parts: Vec<(u64, u32)>,
    /// Whether it holds them already.
    pub ready: bool,
}

/// What a daemon tells the others several times a second.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PeerHint {
    /// Who tells it.
    pub from: DaemonId,
    /// Its life, as its record in the store names it.
    pub life: u64,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Version of the configuration that it runs.
    pub config_version: u64,
    /// Its work at targets.
    pub work: Vec<(TargetId, TargetWork)>,
    /// What engines came to hold by its requests since the last hint.
    pub held: Vec<HeldNote>,
    /// Targets that it knows to be leaving.
    pub departed: Vec<TargetId>,
    /// Engines that it is ordering to change their stage.
    pub changing: Vec<TargetId>,
    /// Work that it places on engines, in a second.
    pub rate: WorkRate,
}

/// A message between daemons.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerMessage {
    /// Hint.
    Hint(PeerHint),
    /// A configuration as the store holds it.
    Config {
        /// Revision of the store's object.
        revision: u64,
        /// Its value.
        value: Vec<u8>,
    },
}

impl PeerMessage {
    fn encode(&self) -> Message {
        let mut bytes = Vec::new();
        // Plain data always encodes into memory.
        let _ = ciborium::into_writer(self, &mut bytes);
        Message::binary(bytes)
    }
}

/// What was last heard of a daemon.
#[derive(Clone, Debug)]
struct HeardState {
    at: MonoTime,
    changing: Vec<TargetId>,
    rate: WorkRate,
    leaving: bool,
    config_version: u64,
    behind_since: Option<MonoTime>,
}

/// Silence after which the record of a daemon is removed; partitions are shorter.
const LONG_SILENCE: Duration = Duration::from_secs(60);
/// Time for a daemon that is new here to be heard. Links are opened both ways
/// within it, unless the daemon is away and only its record was left behind.
const FIRST_WORD: Duration = Duration::from_millis(2_500);

/// What is heard of the other daemons.
#[derive(Debug, Default)]
pub struct PeerBook {
    heard: IndexMap<DaemonId, HeardState>,
    // Since when a daemon's record is known.
    known_since: IndexMap<DaemonId, MonoTime>,
    pending: Vec<HeldNote>,
}

impl PeerBook {
    /// Keeps what an engine holds, or was asked to read, for the next hint. The part
    /// of a single request is told too: it takes the place of shared ones.
    pub fn note_held(&mut self, engine: &TargetId, parts: &[PromptPart], ready: bool) {
        self.pending.push(HeldNote {
            engine: engine.clone(),
            parts: parts.iter().map(|part| (part.key, part.tokens)).collect(),
            ready,
        });
    }

    /// Whether callers may be sent to a daemon: one that was heard lately, or is new
    /// here. Records of daemons that are gone stay in the store, and callers sent
    /// to one lose a second on a connection that nobody answers.
    #[must_use]
    pub fn is_usable(&self, daemon: &DaemonId, now: MonoTime) -> bool {
        let is_new = |since: &MonoTime| now.since(*since) < FIRST_WORD;
        match self.heard.get(daemon) {
            Some(state) => !state.leaving && now.since(state.at) < SILENCE,
            None => self.known_since.get(daemon).is_some_and(is_new),
        }
    }

    /// Takes the daemons with a record beside the own one, in place of those known.
    pub fn set_known(&mut self, own: &DaemonId, daemons: &[DaemonRecord], now: MonoTime) {
        let known = |id: &DaemonId| daemons.iter().any(|daemon| daemon.id == *id);
        self.heard.retain(|id, _| known(id));
        self.known_since.retain(|id, _| known(id));
        for daemon in daemons.iter().filter(|daemon| daemon.id != *own) {
            self.known_since.entry(daemon.id.clone()).or_insert(now);
        }
    }

    /// Daemons with a record that were not heard for long.
    #[must_use]
    pub fn long_silent(&self, now: MonoTime) -> Vec<DaemonId> {
        let known = self.known_since.iter();
        let silent = known.filter(|(id, since)| {
            let last = self.heard.get(*id).map_or(**since, |state| state.at);
            now.since(last) > LONG_SILENCE
        });
        silent.map(|(id, _)| id.clone()).collect()
    }

    /// Engines that other daemons are changing.
    pub fn changing(&self, now: MonoTime) -> impl Iterator<Item = &TargetId> {
        let alive = self.heard.values();
        let alive = alive.filter(move |state| now.since(state.at) < SILENCE);
        alive.flat_map(|state| &state.changing)
    }

    /// Work that the other daemons place on engines.
    #[must_use]
    pub fn work_rate(&self, now: MonoTime) -> WorkRate {
        let alive = self.heard.values();
        let alive = alive.filter(|state| now.since(state.at) < SILENCE);
        alive.fold(WorkRate::default(), |sum, state| WorkRate {
            read_tokens: sum.read_tokens + state.rate.read_tokens,
            written_tokens: sum.written_tokens + state.rate.written_tokens,
        })
    }

    /// Takes what a daemon told; `own_version` is the configuration run here.
    pub fn note_hint(&mut self, hint: &PeerHint, own_version: u64, now: MonoTime) {
        let before = self.heard.get(&hint.from);
        let behind = hint.config_version < own_version;
        let behind_since = behind.then(|| before.and_then(|b| b.behind_since).unwrap_or(now));
        let state = HeardState {
            at: now,
            changing: hint.changing.clone(),
            rate: hint.rate,
            leaving: hint.leaving,
            config_version: hint.config_version,
            behind_since,
        };
        self.heard.insert(hint.from.clone(), state);
    }

    fn needs_config(&self, daemon: &DaemonId, own_version: u64, now: MonoTime) -> bool {
        self.heard.get(daemon).is_some_and(|state| {
            let waited = state.behind_since.map(|since| now.since(since));
            state.config_version < own_version && waited.is_some_and(|w| w > CONFIG_PATIENCE)
        })
    }

    fn take_held(&mut self) -> Vec<HeldNote> {
        std::mem::take(&mut self.pending)
    }
}

type Link = WebSocketStream<TcpStream>;

/// Runs the links of a daemon until the process ends.
pub async fn run(gateway: Rc<Gateway>, listener: TcpListener) {
    spawn_local(accept(gateway.clone(), listener));
    let (hints, hint) = watch::channel(gateway.hint());
    let timer = TimerService::start();
    let mut ticks = timer.every(HINT_EVERY);
    let mut senders: IndexMap<DaemonId, (SocketAddr, JoinHandle<()>)> = IndexMap::new();
    while ticks.next().await.is_some() {
        let wanted = gateway.wanted_links();
        senders.retain(|id, (address, task)| {
            let stays = wanted.iter().any(|d| d.id == *id && d.peers == *address);
            if !stays {
                task.abort();
            }
            stays
        });
        for daemon in wanted {
            senders.entry(daemon.id.clone()).or_insert_with(|| {
                let sending = keep_sending(gateway.clone(), daemon.clone(), hint.clone());
                (daemon.peers, spawn_local(sending))
            });
        }
        hints.send_replace(gateway.hint());
    }
}

async fn keep_sending(gateway: Rc<Gateway>, daemon: DaemonRecord, hint: watch::Receiver<PeerHint>) {
    loop {
        if let Ok(Some(link)) = timeout(LINK_WAIT, dial(daemon.peers)).await {
            log::info!(peer = daemon.id.as_str(); "link to another daemon is up");
            send_hints(&gateway, &daemon, link, hint.clone()).await;
            log::info!(peer = daemon.id.as_str(); "link to another daemon is lost");
        }
        sleep(DIAL_PAUSE).await;
    }
}

async fn dial(address: SocketAddr) -> Option<Link> {
    let stream = TcpStream::connect(address).await.ok()?;
    crate::gateway::client::set_options(&stream).ok()?;
    let url = format!("ws://{address}/");
    let opened = client_async_with_config(url, stream, Some(config())).await;
    opened.ok().map(|(link, _)| link)
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(8 * 1024)
        .write_buffer_size(0)
        .max_message_size(Some(MESSAGE_BYTES))
        .max_frame_size(Some(MESSAGE_BYTES))
}

async fn send_hints(
    gateway: &Gateway,
    daemon: &DaemonRecord,
    mut link: Link,
    mut hint: watch::Receiver<PeerHint>,
) {
    let mut sent_version = 0;
    while hint.changed().await.is_ok() {
        let message = PeerMessage::Hint(hint.borrow_and_update().clone());
        if !send(&mut link, &message).await {
            return;
        }
        if let Some((version, message)) = gateway.config_for(&daemon.id, sent_version) {
            log::info!(peer = daemon.id.as_str(), version = version; "configuration sent to a daemon that is behind");
            if !send(&mut link, &message).await {
                return;
            }
            sent_version = version;
        }
    }
}

async fn send(link: &mut Link, message: &PeerMessage) -> bool {
    matches!(
        timeout(LINK_WAIT, link.send(message.encode())).await,
        Ok(Ok(()))
    )
}

async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(receive(gateway.clone(), stream));
            }
            Err(error) => {
                log::warn!("no link accepted ({error}); trying again");
                sleep(DIAL_PAUSE).await;
            }
        }
    }
}

async fn receive(gateway: Rc<Gateway>, stream: TcpStream) {
    let opening = accept_async_with_config(stream, Some(config()));
    let Ok(Ok(mut link)) = timeout(LINK_WAIT, opening).await else {
        return;
    };
    while let Ok(Some(Ok(message))) = timeout(LINK_SILENCE, link.next()).await {
        let Message::Binary(bytes) = message else {
            continue;
        };
        match ciborium::from_reader::<PeerMessage, _>(&bytes[..]) {
            Ok(message) => gateway.take_message(message),
            Err(error) => {
                log::warn!("message of another daemon cannot be read, link dropped: {error}");
                return;
            }
        }
    }
}

impl Gateway {
    /// Work that all daemons place on engines, as far as heard.
    #[must_use]
    pub fn work_rate(&self) -> WorkRate {
        let now = clock::mono_now();
        let own = self.work.borrow_mut().rate(now);
        let others = self.peers.borrow().work_rate(now);
        WorkRate {
            read_tokens: own.read_tokens + others.read_tokens,
            written_tokens: own.written_tokens + others.written_tokens,
        }
    }

    /// Whether no daemon has work on engines, as far as heard.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let rate = self.work_rate();
        rate.read_tokens + rate.written_tokens < 1.0
    }

    /// Place of this daemon in an order that all daemons share; 0 is the first.
    #[must_use]
    pub fn rank(&self) -> usize {
        let view = self.view();
        let own = &self.daemon;
        let before = view.daemons.iter().filter(|d| d.id < *own && !d.leaving);
        before.filter(|d| self.is_usable(&d.id)).count()
    }

    fn hint(&self) -> PeerHint {
        let view = self.view();
        let load = self.load.borrow();
        let work = load.own().iter().map(|(id, work)| (id.clone(), *work));
        let mut peers = self.peers.borrow_mut();
        PeerHint {
            from: self.daemon.clone(),
            life: self.life,
            leaving: self.stopping.get(),
            config_version: view.routes.as_ref().map_or(0, |routes| routes.version),
            work: work.collect(),
            held: peers.take_held(),
            departed: view.departed.clone(),
            changing: self.own_changing.borrow().clone(),
            rate: self.work.borrow_mut().rate(clock::mono_now()),
        }
    }

    fn wanted_links(&self) -> Vec<DaemonRecord> {
        let view = self.view();
        let own = &self.daemon;
        let now = clock::mono_now();
        self.peers.borrow_mut().set_known(own, &view.daemons, now);
        let others = view.daemons.iter().filter(|daemon| daemon.id != *own);
        others.take(MOST_LINKS).cloned().collect()
    }

    fn config_for(&self, daemon: &DaemonId, sent: u64) -> Option<(u64, PeerMessage)> {
        let view = self.view();
        let version = view.routes.as_ref()?.version;
        let now = clock::mono_now();
        let behind = self.peers.borrow().needs_config(daemon, version, now);
        let (revision, value) = view.config_source.as_ref().filter(|_| behind)?;
        (version > sent).then(|| {
            let message = PeerMessage::Config {
                revision: *revision,
                value: value.to_vec(),
            };
            (version, message)
        })
    }

    fn take_message(&self, message: PeerMessage) {
        match message {
            PeerMessage::Hint(hint) => self.take_hint(hint),
            PeerMessage::Config { revision, value } => {
                // The control thread ends only with the process.
                let _ = self.news.send(ControlNews::PeerConfig { revision, value });
            }
        }
    }

    // The life in a hint stands in the sender's record in the store, which only
    // daemons read: a process that does not know it is not listened to.
    fn take_hint(&self, hint: PeerHint) {
        let view = self.view();
        let known = view
            .daemons
            .iter()
            .any(|d| d.id == hint.from && d.life == hint.life);
        if !known {
            return;
        }
        let now = clock::mono_now();
        let own_version = view.routes.as_ref().map_or(0, |routes| routes.version);
        self.peers.borrow_mut().note_hint(&hint, own_version, now);
        let mut caches = self.caches.borrow_mut();
        for note in &hint.held {
            let parts: Vec<PromptPart> = note
                .parts
                .iter()
                .map(|(key, tokens)| PromptPart {
                    key: *key,
                    tokens: *tokens,
                })
                .collect();
            if note.ready {
                caches.note_held(&note.engine, &parts, now);
            } else {
                caches.note_coming(&note.engine, &parts, now);
            }
        }
        drop(caches);
        for target in hint.departed.iter().filter(|target| view.holds(target)) {
            self.tell_departed(target);
        }
        let work = hint.work.into_iter().collect();
        self.load.borrow_mut().set_other(hint.from, work, now);
    }
}
