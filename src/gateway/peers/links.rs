//! Opens links between daemons, and sends and receives on them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use indexmap::IndexMap;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use crate::clock;
use crate::gateway::centre_traffic::CentreTraffic;
use crate::gateway::daemon::Gateway;
use crate::gateway::members::DaemonRecord;
use crate::gateway::peers::OutgoingStatus;
use crate::gateway::peers::hub::{LinkKind, PeerRole};
use crate::gateway::peers::link_queue::{LinkQueue, LinkTask};
use crate::gateway::peers::wire::PeerMessage;
use crate::gateway::store_follow::WatchMode;
use crate::names::DaemonId;

/// Time limit for opening a link and for sending one message.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause before a lost link is reopened.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// Silence after which an incoming link is closed.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest message, in bytes: a configuration may take a megabyte.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

type Socket = WebSocketStream<TcpStream>;

/// An outgoing link.
struct Link {
    socket: Socket,
    // Whether the other daemon is in another data centre.
    crosses: bool,
}

/// Outgoing links of this daemon: peer address, kind and sending task of each.
#[derive(Default)]
pub(super) struct LinkSenders(IndexMap<DaemonId, (SocketAddr, LinkKind, JoinHandle<()>)>);

impl LinkSenders {
    // Opens the links that a role needs and closes the others.
    pub(super) fn adjust(
        &mut self,
        gateway: &Rc<Gateway>,
        role: &PeerRole,
        status: &watch::Receiver<OutgoingStatus>,
    ) {
        let needed = gateway.needed_links(role);
        gateway.update_usage_receivers(role, &needed, clock::mono_now());
        let is_hub = |(_, kind): &&(DaemonRecord, LinkKind)| *kind == LinkKind::OtherHub;
        let hubs = needed.iter().filter(is_hub);
        *gateway.other_hubs.borrow_mut() = hubs.map(|(d, _)| d.id.clone()).collect();
        self.0.retain(|id, (address, kind, task)| {
            let same =
                |(d, k): &(DaemonRecord, LinkKind)| d.id == *id && d.peers == *address && k == kind;
            let stays = needed.iter().any(same);
            if !stays {
                task.abort();
            }
            stays
        });
        for (daemon, kind) in needed {
            self.0.entry(daemon.id.clone()).or_insert_with(|| {
                let sending = maintain_link(gateway.clone(), daemon.clone(), kind, status.clone());
                (daemon.peers, kind, spawn_local(sending))
            });
        }
    }
}

async fn maintain_link(
    gateway: Rc<Gateway>,
    daemon: DaemonRecord,
    kind: LinkKind,
    status: watch::Receiver<OutgoingStatus>,
) {
    loop {
        if let Ok(Some(socket)) = timeout(LINK_TIMEOUT, dial(daemon.peers)).await {
            let crosses = gateway.is_other_centre(&daemon.centre);
            let link = Link { socket, crosses };
            log::info!(peer = daemon.id.as_str(), kind = format!("{kind:?}"); "link to another daemon is up");
            run_link(&gateway, &daemon, kind, link, status.clone()).await;
            log::info!(peer = daemon.id.as_str(); "link to another daemon is closed");
        }
        sleep(RECONNECT_DELAY).await;
    }
}

async fn dial(address: SocketAddr) -> Option<Socket> {
    let stream = TcpStream::connect(address).await.ok()?;
    crate::gateway::client::set_socket_options(&stream).ok()?;
    let url = format!("ws://{address}/");
    let opened = client_async_with_config(url, stream, Some(link_config())).await;
    opened.ok().map(|(link, _)| link)
}

fn link_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(8 * 1024)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

async fn run_link(
    gateway: &Gateway,
    daemon: &DaemonRecord,
    kind: LinkKind,
    mut link: Link,
    status: watch::Receiver<OutgoingStatus>,
) {
    let urgent = gateway.placement_client.borrow_mut().open_link(&daemon.id);
    // A daemon that has just started would send to targets whose limits it does not know.
    gateway.limits.borrow_mut().announce_all(clock::mono_now());
    let mut queue = if kind == LinkKind::Hint {
        LinkQueue::without_changes(status, urgent)
    } else {
        gateway.feed_changes.open(status, urgent)
    };
    if kind != LinkKind::Hint {
        let from = gateway.daemon.clone();
        if !send(&mut link, PeerMessage::NewLink { from }.encode()).await {
            return;
        }
    }
    let mut sent_version = 0;
    loop {
        let task = queue.next().await;
        // Other hubs rely only on a hub that watches the store itself.
        let relays_store =
            kind != LinkKind::OtherHub || gateway.watch_mode.get() == WatchMode::ForOthers;
        let sent = match task {
            LinkTask::Status => {
                let message = queue.status().for_link(kind).cloned();
                send_status(gateway, daemon, kind, &mut link, message).await
                    && send_config(gateway, daemon, &mut link, &mut sent_version).await
            }
            LinkTask::Message(message) => send(&mut link, message).await,
            LinkTask::Change(message) if relays_store => send(&mut link, message).await,
            LinkTask::AllObjects if relays_store => send_snapshot(gateway, &mut link).await,
            LinkTask::Change(_) | LinkTask::AllObjects => true,
            LinkTask::End => false,
        };
        if !sent {
            return;
        }
    }
}

async fn send_status(
    gateway: &Gateway,
    daemon: &DaemonRecord,
    kind: LinkKind,
    link: &mut Link,
    message: Option<Message>,
) -> bool {
    let sent = match message {
        Some(message) => send(link, message).await,
        None => true,
    };
    sent && send_freshness(gateway, daemon, kind, link).await
}

async fn send_config(
    gateway: &Gateway,
    daemon: &DaemonRecord,
    link: &mut Link,
    sent_version: &mut u64,
) -> bool {
    let Some((version, message)) = gateway.config_for(&daemon.id, *sent_version) else {
        return true;
    };
    log::info!(peer = daemon.id.as_str(), version = version; "configuration sent to a daemon that runs an older one");
    *sent_version = version;
    send(link, message.encode()).await
}

async fn send_freshness(
    gateway: &Gateway,
    daemon: &DaemonRecord,
    kind: LinkKind,
    link: &mut Link,
) -> bool {
    if kind == LinkKind::Hint {
        return true;
    }
    match gateway.freshness_update(&daemon.id, clock::mono_now()) {
        Some(update) => send(link, update.encode()).await,
        None => true,
    }
}

async fn send_snapshot(gateway: &Gateway, link: &mut Link) -> bool {
    let feeds = gateway.store_snapshot.borrow().all();
    for objects in feeds {
        if !send(link, PeerMessage::Objects(objects).encode()).await {
            return false;
        }
    }
    true
}

async fn send(link: &mut Link, message: Message) -> bool {
    let bytes = message.len();
    let sent = timeout(LINK_TIMEOUT, link.socket.send(message)).await;
    if link.crosses {
        CentreTraffic::Peer.count(bytes);
    }
    matches!(sent, Ok(Ok(())))
}

/// Accepts links from other daemons until the process ends.
pub(super) async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(receive(gateway.clone(), stream));
            }
            Err(error) => {
                log::warn!("cannot accept a link of another daemon, trying again: {error}");
                sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

async fn receive(gateway: Rc<Gateway>, stream: TcpStream) {
    let opening = accept_async_with_config(stream, Some(link_config()));
    let Ok(Ok(mut link)) = timeout(LINK_TIMEOUT, opening).await else {
        return;
    };
    while let Ok(Some(Ok(message))) = timeout(LINK_IDLE_TIMEOUT, link.next()).await {
        let Message::Binary(bytes) = message else {
            continue;
        };
        match ciborium::from_reader::<PeerMessage, _>(&bytes[..]) {
            Ok(message) => gateway.handle_message(message),
            Err(error) => {
                log::warn!("cannot decode a message of another daemon, closing the link: {error}");
                return;
            }
        }
    }
}
