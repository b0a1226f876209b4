//! Links between daemons: WebSockets authenticated mutually by a shared secret.

use std::io;
use std::net::TcpListener as StdListener;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use indexmap::{IndexMap, IndexSet};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, mpsc, oneshot};
use tokio::time::{Instant, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use crate::control::{ControlEvent, ControlHandle};
use crate::names::{DaemonId, ProcessIncarnation};
use crate::peers::handshake::{PeerIdentity, authenticate_caller, authenticate_listener};
use crate::peers::wire::{MESSAGE_BYTES, PeerMessage};
use crate::ports::PortCall;
use crate::timer::TimerService;

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
const LINK_TIMEOUT: Duration = Duration::from_secs(1);
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
const ON_DEMAND_LINK_TIME: Duration = Duration::from_secs(60);
const DIAL_INTERVAL: Duration = Duration::from_millis(100);
const MIN_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
const OUTBOX_MESSAGES: usize = 256;
const MAX_HANDSHAKES: usize = 64;
const MAX_REQUESTS: usize = 256;

/// Errors of a request to a peer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PeerError {
    /// The request certainly did not reach the peer.
    #[error("the request was not sent to {peer}: {reason}; use the platform instead")]
    NotSent {
        /// Receiver of the request.
        peer: DaemonId,
        /// What happened.
        reason: String,
    },
    /// The request may have reached the peer.
    #[error("the reply of {peer} was lost: {reason}; read the platform's state before retrying")]
    Lost {
        /// Receiver of the request.
        peer: DaemonId,
        /// What happened.
        reason: String,
    },
    /// The peer refused the request.
    #[error("{peer} refused the request: {reason}")]
    Refused {
        /// Receiver of the request.
        peer: DaemonId,
        /// Reason given by the peer.
        reason: String,
    },
}

/// Handler for requests of peers.
pub type PeerHandler = PortCall<(DaemonId, Vec<u8>), Result<Vec<u8>, String>>;

/// A command from the control thread to the links.
#[derive(Debug)]
pub enum PeerCommand {
    /// Dial these daemons whenever there is no link to them. Existing links to others stay
    /// until they fail.
    Links(IndexSet<DaemonId>),
    /// Send a message to those of the given daemons that are linked.
    Send {
        /// Receivers; `None` for all linked daemons.
        to: Option<Vec<DaemonId>>,
        /// Message to send.
        message: PeerMessage,
    },
}

/// An event that the links send to the control thread.
#[derive(Debug)]
pub enum PeerEvent {
    /// The links are ready to take commands.
    Ready(mpsc::UnboundedSender<PeerCommand>),
    /// A link is up.
    Up(DaemonId, ProcessIncarnation),
    /// The newest link to a daemon is down.
    Down(DaemonId),
    /// A message was received.
    Message(DaemonId, Box<PeerMessage>),
}

/// Parameters for starting the links.
pub struct PeerInputs {
    /// Listener of the peer port.
    pub listener: StdListener,
    /// Identity of this daemon and the shared secret.
    pub identity: PeerIdentity,
    /// Time without a message after which a link is dropped.
    pub link_timeout: Duration,
    /// Control thread, which receives the events of the links.
    pub control: ControlHandle,
    /// Handler for requests of peers.
    pub handler: PeerHandler,
}

/// Handle to the links.
#[derive(Clone)]
pub struct PeerHandle {
    /// Sends a request to a daemon and waits for its reply.
    pub request: PortCall<(DaemonId, Vec<u8>), Result<Vec<u8>, PeerError>>,
}

struct LinkRecord {
    number: u64,
    outbox: mpsc::Sender<Message>,
}

struct DialRecord {
    busy: bool,
    next_at: Instant,
    wait: Duration,
}

#[derive(Default)]
struct LinkTable {
    links: IndexMap<DaemonId, LinkRecord>,
    desired: IndexSet<DaemonId>,
    on_demand: IndexMap<DaemonId, Instant>,
    dials: IndexMap<DaemonId, DialRecord>,
    pending: IndexMap<u64, oneshot::Sender<Result<Vec<u8>, String>>>,
    last_number: u64,
}

struct PeerLinks {
    state: Mutex<LinkTable>,
    identity: PeerIdentity,
    link_timeout: Duration,
    control: ControlHandle,
    handler: PeerHandler,
    linked: Notify,
    requests: Semaphore,
}

/// Starts the links on the current runtime. An empty secret disables them.
///
/// # Errors
///
/// Fails if the listener cannot be registered with the runtime.
pub fn start_peers(inputs: PeerInputs) -> io::Result<PeerHandle> {
    let open = !inputs.identity.secret.is_empty();
    let peers = Arc::new(PeerLinks {
        state: Mutex::default(),
        identity: inputs.identity,
        link_timeout: inputs.link_timeout,
        control: inputs.control,
        handler: inputs.handler,
        linked: Notify::new(),
        requests: Semaphore::new(MAX_REQUESTS),
    });
    if open {
        inputs.listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(inputs.listener)?;
        let (commands, inbox) = mpsc::unbounded_channel();
        peers.notify_control(PeerEvent::Ready(commands));
        tokio::spawn(accept(peers.clone(), listener));
        tokio::spawn(run_commands(peers.clone(), inbox));
    }
    Ok(PeerHandle {
        request: Arc::new(move |(peer, body)| {
            let peers = peers.clone();
            Box::pin(async move { peers.request(peer, body).await })
        }),
    })
}

async fn accept(peers: Arc<PeerLinks>, listener: TcpListener) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    while !peers.control.has_ended() {
        let Ok(permit) = handshakes.clone().acquire_owned().await else {
            return;
        };
        match timeout(LINK_TIMEOUT, listener.accept()).await {
            Ok(Ok((stream, _))) => {
                let peers = peers.clone();
                tokio::spawn(async move {
                    let authenticated =
                        timeout(HANDSHAKE_TIMEOUT, accept_link(&peers, stream)).await;
                    drop(permit);
                    if let Ok(Some((socket, peer, incarnation))) = authenticated {
                        run_link(peers, socket, peer, incarnation).await;
                    }
                });
            }
            Ok(Err(_)) => tokio::time::sleep(DIAL_INTERVAL).await,
            Err(_) => {}
        }
    }
}

type AuthenticatedPeer = (WebSocketStream<TcpStream>, DaemonId, ProcessIncarnation);

async fn accept_link(peers: &PeerLinks, stream: TcpStream) -> Option<AuthenticatedPeer> {
    let _ = stream.set_nodelay(true);
    let socket = accept_async_with_config(stream, Some(socket_config())).await;
    let mut socket = socket.ok()?;
    let authenticated = authenticate_caller(&mut socket, &peers.identity).await;
    let Some((peer, incarnation)) = authenticated else {
        metrics::counter!("pistachiowick_peer_refused_total").increment(1);
        return None;
    };
    Some((socket, peer, incarnation))
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MESSAGE_BYTES))
        .max_frame_size(Some(MESSAGE_BYTES))
}

async fn run_commands(peers: Arc<PeerLinks>, mut inbox: mpsc::UnboundedReceiver<PeerCommand>) {
    let timer = TimerService::start();
    let mut ticks = timer.every(DIAL_INTERVAL);
    loop {
        tokio::select! {
            command = inbox.recv() => match command {
                Some(PeerCommand::Links(desired)) => peers.lock().desired = desired,
                Some(PeerCommand::Send { to, message }) => peers.send(to.as_deref(), &message),
                None => return peers.close(),
            },
            _ = ticks.next() => dial_due(&peers),
        }
    }
}

fn dial_due(peers: &Arc<PeerLinks>) {
    let snapshot = peers.control.snapshot.load();
    for peer in peers.due_dials(Instant::now()) {
        let address = snapshot.fleet.daemons.get(&peer);
        let address = address.map(|d| d.peer_address.clone()).unwrap_or_default();
        let peers = peers.clone();
        tokio::spawn(async move { dial(peers, peer, &address).await });
    }
}

async fn dial(peers: Arc<PeerLinks>, peer: DaemonId, address: &str) {
    let authenticated = timeout(HANDSHAKE_TIMEOUT, connect(&peers, &peer, address)).await;
    let authenticated = authenticated.ok().flatten();
    peers.record_dial(&peer, authenticated.is_some());
    if let Some((socket, peer, incarnation)) = authenticated {
        run_link(peers, socket, peer, incarnation).await;
    }
}

async fn connect(peers: &PeerLinks, peer: &DaemonId, address: &str) -> Option<AuthenticatedPeer> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let url = format!("ws://{address}/");
    let socket = client_async_with_config(url, stream, Some(socket_config())).await;
    let (mut socket, _) = socket.ok()?;
    let (found, incarnation) = authenticate_listener(&mut socket, &peers.identity).await?;
    // The address may have been reassigned to another daemon.
    (found == *peer).then_some((socket, found, incarnation))
}

async fn run_link(
    peers: Arc<PeerLinks>,
    socket: WebSocketStream<TcpStream>,
    peer: DaemonId,
    incarnation: ProcessIncarnation,
) {
    let (mut sink, mut source) = socket.split();
    let (outbox, mut queue) = mpsc::channel::<Message>(OUTBOX_MESSAGES);
    let number = peers.add_link(&peer, outbox);
    peers.notify_control(PeerEvent::Up(peer.clone(), incarnation));
    let writing = tokio::spawn(async move {
        while let Some(message) = queue.recv().await {
            // Without the timeout, a peer that stops reading would block this task forever.
            match timeout(SEND_TIMEOUT, sink.send(message)).await {
                Ok(Ok(())) => {}
                _ => return,
            }
        }
        let _ = timeout(SEND_TIMEOUT, sink.close()).await;
    });
    while let Ok(Some(Ok(message))) = timeout(peers.link_timeout, source.next()).await {
        if !peers.receive(&peer, &message) || writing.is_finished() {
            break;
        }
    }
    let last = peers.remove_link(&peer, number);
    writing.abort();
    if last {
        peers.notify_control(PeerEvent::Down(peer));
    }
}

impl PeerLinks {
    fn lock(&self) -> MutexGuard<'_, LinkTable> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_control(&self, event: PeerEvent) {
        // A closed channel means that the daemon is stopping; the event is then obsolete.
        let _ = self.control.events.send(ControlEvent::Peer(event));
    }

    fn close(&self) {
        self.lock().links.clear();
    }

    fn add_link(&self, peer: &DaemonId, outbox: mpsc::Sender<Message>) -> u64 {
        let mut state = self.lock();
        state.last_number += 1;
        let number = state.last_number;
        state
            .links
            .insert(peer.clone(), LinkRecord { number, outbox });
        drop(state);
        self.linked.notify_waiters();
        number
    }

    // Returns whether this was the newest link to the peer.
    fn remove_link(&self, peer: &DaemonId, number: u64) -> bool {
        let mut state = self.lock();
        let newest = state.links.get(peer).is_some_and(|l| l.number == number);
        if newest {
            state.links.swap_remove(peer);
        }
        newest
    }

    fn due_dials(&self, now: Instant) -> Vec<DaemonId> {
        let mut state = self.lock();
        state.on_demand.retain(|_, expires_at| *expires_at > now);
        let on_demand: Vec<DaemonId> = state.on_demand.keys().cloned().collect();
        let needed: IndexSet<DaemonId> = state.desired.iter().cloned().chain(on_demand).collect();
        state
            .dials
            .retain(|peer, dial| dial.busy || needed.contains(peer));
        let mut due = Vec::new();
        for peer in needed {
            if state.links.contains_key(&peer) {
                continue;
            }
            let dial = state.dials.entry(peer.clone()).or_insert(DialRecord {
                busy: false,
                next_at: now,
                wait: MIN_BACKOFF,
            });
            if !dial.busy && now >= dial.next_at {
                dial.busy = true;
                due.push(peer);
            }
        }
        due
    }

    fn record_dial(&self, peer: &DaemonId, linked: bool) {
        let mut state = self.lock();
        let Some(dial) = state.dials.get_mut(peer) else {
            return;
        };
        dial.busy = false;
        dial.next_at = Instant::now() + dial.wait;
        dial.wait = if linked {
            MIN_BACKOFF
        } else {
            (dial.wait * 2).min(MAX_BACKOFF)
        };
    }

    fn send(&self, to: Option<&[DaemonId]>, message: &PeerMessage) {
        let bytes = Message::binary(message.encode());
        let state = self.lock();
        for (peer, link) in &state.links {
            let is_receiver = to.is_none_or(|peers| peers.contains(peer));
            if is_receiver && link.outbox.try_send(bytes.clone()).is_err() {
                // A later hint replaces a dropped one, and objects are compared whenever a
                // link comes up.
                metrics::counter!("pistachiowick_peer_dropped_total").increment(1);
            }
        }
    }

    // Returns whether the link stays open.
    fn receive(self: &Arc<Self>, peer: &DaemonId, message: &Message) -> bool {
        let Message::Binary(bytes) = message else {
            return !matches!(message, Message::Close(_));
        };
        metrics::counter!("pistachiowick_peer_bytes_total").increment(bytes.len() as u64);
        match PeerMessage::decode(bytes) {
            Ok(PeerMessage::Request { id, body }) => self.serve(peer.clone(), id, body),
            Ok(PeerMessage::Reply { id, result }) => {
                if let Some(reply) = self.lock().pending.swap_remove(&id) {
                    let _ = reply.send(result);
                }
            }
            Ok(message) => self.notify_control(PeerEvent::Message(peer.clone(), Box::new(message))),
            Err(error) => {
                log::warn!("closing the link to {peer}: {error}");
                return false;
            }
        }
        true
    }

    fn serve(self: &Arc<Self>, peer: DaemonId, id: u64, body: Vec<u8>) {
        let peers = self.clone();
        tokio::spawn(async move {
            let result = match peers.requests.try_acquire() {
                Ok(_permit) => (peers.handler)((peer.clone(), body)).await,
                Err(_) => Err(
                    "the peer is already serving the maximum number of requests; retry later"
                        .to_owned(),
                ),
            };
            peers.send(Some(&[peer]), &PeerMessage::Reply { id, result });
        });
    }

    async fn request(&self, peer: DaemonId, body: Vec<u8>) -> Result<Vec<u8>, PeerError> {
        let not_sent = |reason: &str| PeerError::NotSent {
            peer: peer.clone(),
            reason: reason.to_owned(),
        };
        if self.identity.secret.is_empty() {
            return Err(not_sent("links are disabled because peers.secret is empty"));
        }
        let outbox = self
            .outbox(&peer)
            .await
            .ok_or_else(|| not_sent("no link came up in time"))?;
        let (reply, answer) = oneshot::channel();
        let id = {
            let mut state = self.lock();
            state.last_number += 1;
            let id = state.last_number;
            state.pending.insert(id, reply);
            id
        };
        let message = Message::binary(PeerMessage::Request { id, body }.encode());
        if outbox.try_send(message).is_err() {
            self.lock().pending.swap_remove(&id);
            return Err(not_sent("the send queue of the link is full"));
        }
        let answer = timeout(REPLY_TIMEOUT, answer).await;
        self.lock().pending.swap_remove(&id);
        match answer {
            Ok(Ok(Ok(body))) => Ok(body),
            Ok(Ok(Err(reason))) => Err(PeerError::Refused { peer, reason }),
            Ok(Err(_)) | Err(_) => Err(PeerError::Lost {
                peer,
                reason: "the request timed out".to_owned(),
            }),
        }
    }

    // Returns the send queue of the link to a peer. A missing link is set up on demand,
    // and again if it fails within `ON_DEMAND_LINK_TIME`.
    async fn outbox(&self, peer: &DaemonId) -> Option<mpsc::Sender<Message>> {
        let deadline = Instant::now() + LINK_TIMEOUT;
        loop {
            let linked = self.linked.notified();
            {
                let mut state = self.lock();
                state
                    .on_demand
                    .insert(peer.clone(), Instant::now() + ON_DEMAND_LINK_TIME);
                if let Some(link) = state.links.get(peer) {
                    return Some(link.outbox.clone());
                }
            }
            if tokio::time::timeout_at(deadline, linked).await.is_err() {
                return None;
            }
        }
    }
}
