//! Mutual authentication by a shared secret when a link is set up.
//!
//! The caller is here the daemon that connects, the listener the one that accepts.

use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use rand::Rng;
use sha2::Sha256;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::names::{DaemonId, ProcessIncarnation};
use crate::peers::wire::HandshakeMessage;

const CHALLENGE_BYTES: usize = 32;
const CALLER: &str = "caller";
const LISTENER: &str = "listener";

/// Identity of this daemon towards its peers.
#[derive(Clone, Debug)]
pub struct PeerIdentity {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Incarnation of its process.
    pub incarnation: ProcessIncarnation,
    /// Secret shared by all daemons; an empty secret disables links.
    pub secret: String,
}

type Socket = WebSocketStream<TcpStream>;

/// Authenticates a daemon that has connected; returns its identity, or `None` if its proof
/// is missing or wrong.
pub async fn authenticate_caller(
    socket: &mut Socket,
    local: &PeerIdentity,
) -> Option<(DaemonId, ProcessIncarnation)> {
    let challenge = new_challenge();
    send(socket, &HandshakeMessage::Challenge(challenge.clone())).await?;
    let HandshakeMessage::Hello {
        daemon,
        incarnation,
        proof,
        challenge: peer_challenge,
    } = receive(socket).await?
    else {
        return None;
    };
    let mac = sign(&local.secret, CALLER, &challenge, &daemon, incarnation)?;
    mac.verify_slice(&proof).ok()?;
    let proof = sign(
        &local.secret,
        LISTENER,
        &peer_challenge,
        &local.daemon,
        local.incarnation,
    )?;
    let welcome = HandshakeMessage::Welcome {
        daemon: local.daemon.clone(),
        incarnation: local.incarnation,
        proof: proof.finalize().into_bytes().to_vec(),
    };
    send(socket, &welcome).await?;
    Some((daemon, incarnation))
}

/// Authenticates the daemon that this one has connected to; returns its identity, or
/// `None` if its proof is missing or wrong.
pub async fn authenticate_listener(
    socket: &mut Socket,
    local: &PeerIdentity,
) -> Option<(DaemonId, ProcessIncarnation)> {
    let HandshakeMessage::Challenge(peer_challenge) = receive(socket).await? else {
        return None;
    };
    let challenge = new_challenge();
    let proof = sign(
        &local.secret,
        CALLER,
        &peer_challenge,
        &local.daemon,
        local.incarnation,
    )?;
    let hello = HandshakeMessage::Hello {
        daemon: local.daemon.clone(),
        incarnation: local.incarnation,
        proof: proof.finalize().into_bytes().to_vec(),
        challenge: challenge.clone(),
    };
    send(socket, &hello).await?;
    let HandshakeMessage::Welcome {
        daemon,
        incarnation,
        proof,
    } = receive(socket).await?
    else {
        return None;
    };
    let mac = sign(&local.secret, LISTENER, &challenge, &daemon, incarnation)?;
    mac.verify_slice(&proof).ok()?;
    Some((daemon, incarnation))
}

fn new_challenge() -> Vec<u8> {
    let mut bytes = vec![0; CHALLENGE_BYTES];
    rand::rng().fill(bytes.as_mut_slice());
    bytes
}

// The signature covers the side as well. Otherwise an attacker could send a listener's
// challenge back as its own and use the answer as proof (reflection attack).
fn sign(
    secret: &str,
    side: &str,
    challenge: &[u8],
    daemon: &DaemonId,
    incarnation: ProcessIncarnation,
) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).ok()?;
    for part in [side.as_bytes(), challenge, daemon.as_str().as_bytes()] {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac.update(&incarnation.0.to_be_bytes());
    Some(mac)
}

async fn send(socket: &mut Socket, message: &HandshakeMessage) -> Option<()> {
    let bytes = Message::binary(message.encode());
    socket.send(bytes).await.ok()
}

async fn receive(socket: &mut Socket) -> Option<HandshakeMessage> {
    match socket.next().await?.ok()? {
        Message::Binary(bytes) => HandshakeMessage::decode(&bytes).ok(),
        _ => None,
    }
}
