//! Links between daemons: opening, sending, receiving.

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
use crate::gateway::daemon::Gateway;
use crate::gateway::members::DaemonRecord;
use crate::gateway::peers::OutgoingWord;
use crate::gateway::peers::hub::{LinkKind, PeerRole};
use crate::gateway::peers::link_queue::{LinkQueue, LinkTask};
use crate::gateway::peers::wire::PeerMessage;
use crate::gateway::store_follow::WatchMode;
use crate::names::DaemonId;

/// Time to open a link and to send one message.
const LINK_WAIT: Duration = Duration::from_millis(1_000);
/// Pause before a lost link is opened again.
const DIAL_PAUSE: Duration = Duration::from_millis(300);
/// Silence after which an incoming link is dropped.
const LINK_SILENCE: Duration = Duration::from_secs(5);
/// Largest message, in bytes: a configuration may take a megabyte.
const MESSAGE_BYTES: usize = 4 << 20;

type Link = WebSocketStream<TcpStream>;

/// Links that this daemon sends on, with what each of them is for.
#[derive(Default)]
pub(super) struct LinkSenders(IndexMap<DaemonId, (SocketAddr, LinkKind, JoinHandle<()>)>);

impl LinkSenders {
    // Opens the links that a role asks for and closes the others.
    pub(super) fn adjust(
        &mut self,
        gateway: &Rc<Gateway>,
        role: &PeerRole,
        word: &watch::Receiver<OutgoingWord>,
    ) {
        let wanted = gateway.wanted_links(role);
        let is_hub = |(_, kind): &&(DaemonRecord, LinkKind)| *kind == LinkKind::OtherHub;
        let hubs = wanted.iter().filter(is_hub);
        *gateway.other_hubs.borrow_mut() = hubs.map(|(d, _)| d.id.clone()).collect();
        self.0.retain(|id, (address, kind, task)| {
            let same =
                |(d, k): &(DaemonRecord, LinkKind)| d.id == *id && d.peers == *address && k == kind;
            let stays = wanted.iter().any(same);
            if !stays {
                task.abort();
            }
            stays
        });
        for (daemon, kind) in wanted {
            self.0.entry(daemon.id.clone()).or_insert_with(|| {
                let sending = keep_sending(gateway.clone(), daemon.clone(), kind, word.clone());
                (daemon.peers, kind, spawn_local(sending))
            });
        }
    }
}

async fn keep_sending(
    gateway: Rc<Gateway>,
    daemon: DaemonRecord,
    kind: LinkKind,
    word: watch::Receiver<OutgoingWord>,
) {
    loop {
        if let Ok(Some(link)) = timeout(LINK_WAIT, dial(daemon.peers)).await {
            log::info!(peer = daemon.id.as_str(), kind = format!("{kind:?}"); "link to another daemon is up");
            send_words(&gateway, &daemon, kind, link, word.clone()).await;
            log::info!(peer = daemon.id.as_str(); "link to another daemon is lost");
        }
        sleep(DIAL_PAUSE).await;
    }
}

async fn dial(address: SocketAddr) -> Option<Link> {
    let stream = TcpStream::connect(address).await.ok()?;
    crate::gateway::client::set_socket_options(&stream).ok()?;
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

async fn send_words(
    gateway: &Gateway,
    daemon: &DaemonRecord,
    kind: LinkKind,
    mut link: Link,
    word: watch::Receiver<OutgoingWord>,
) {
    let urgent = gateway.placing.borrow_mut().open_link(&daemon.id);
    let mut queue = if kind == LinkKind::Hint {
        LinkQueue::without_changes(word, urgent)
    } else {
        gateway.feed_changes.open(word, urgent)
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
        // Hubs rely on one that follows the store itself only.
        let feeds = kind != LinkKind::OtherHub || gateway.watch_mode.get() == WatchMode::ForOthers;
        let sent = match task {
            LinkTask::Word => {
                let message = queue.word().for_link(kind).cloned();
                send_word(gateway, daemon, kind, &mut link, message).await
                    && send_config(gateway, daemon, &mut link, &mut sent_version).await
            }
            LinkTask::Message(message) => send(&mut link, message).await,
            LinkTask::Change(message) if feeds => send(&mut link, message).await,
            LinkTask::AllObjects if feeds => send_stock(gateway, &mut link).await,
            LinkTask::Change(_) | LinkTask::AllObjects => true,
            LinkTask::End => false,
        };
        if !sent {
            return;
        }
    }
}

async fn send_word(
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
    sent && send_proof(gateway, daemon, kind, link).await
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
    log::info!(peer = daemon.id.as_str(), version = version; "configuration sent to a daemon that is behind");
    *sent_version = version;
    send(link, message.encode()).await
}

async fn send_proof(
    gateway: &Gateway,
    daemon: &DaemonRecord,
    kind: LinkKind,
    link: &mut Link,
) -> bool {
    if kind == LinkKind::Hint {
        return true;
    }
    match gateway.proof_word(&daemon.id, clock::mono_now()) {
        Some(word) => send(link, word.encode()).await,
        None => true,
    }
}

async fn send_stock(gateway: &Gateway, link: &mut Link) -> bool {
    let stock = gateway.stock.borrow().all();
    for objects in stock {
        if !send(link, PeerMessage::Objects(objects).encode()).await {
            return false;
        }
    }
    true
}

async fn send(link: &mut Link, message: Message) -> bool {
    matches!(timeout(LINK_WAIT, link.send(message)).await, Ok(Ok(())))
}

/// Takes links that other daemons open, as long as the process runs.
pub(super) async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
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
