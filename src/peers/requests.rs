//! Requests between daemons over their links: one byte for the kind, then the body.

use std::sync::{Arc, OnceLock, Weak};

use crate::intents::link::{LinkCall, LinkError};
use crate::names::{DaemonId, RequestId};
use crate::peers::link::{PeerError, PeerHandle, PeerHandler};
use crate::requests::traffic::TrafficContext;

/// Kind of an operation on a shard's records, sent to the shard's owner
/// ([`crate::intents::link`]).
const RECORDS: u8 = 0;
/// Kind of a cancellation, sent to the daemon that accepted the request.
const CANCEL: u8 = 1;
/// Reply of a daemon that has cancelled the request.
const STOPPED: &[u8] = &[1];
const NOT_STOPPED: &[u8] = &[0];

/// Context that serves peers' requests. It is set after the links start, so requests may
/// arrive earlier; the reference is weak because the context itself holds the links.
pub type TrafficCell = Arc<OnceLock<Weak<TrafficContext>>>;

/// Returns the handler for requests of other daemons.
#[must_use]
pub fn request_handler(traffic: &TrafficCell) -> PeerHandler {
    let traffic = Arc::clone(traffic);
    Arc::new(move |(_, body)| {
        let traffic = traffic.get().and_then(Weak::upgrade);
        Box::pin(async move {
            let context = traffic.ok_or("this daemon is still starting; retry later")?;
            handle_request(&context, &body).await
        })
    })
}

async fn handle_request(context: &TrafficContext, body: &[u8]) -> Result<Vec<u8>, String> {
    match body.split_first() {
        Some((&RECORDS, body)) => {
            let reply = context.intents.serve(body).await;
            reply.map_err(|error| error.to_string())
        }
        Some((&CANCEL, body)) => {
            let text = std::str::from_utf8(body).map_err(|error| error.to_string())?;
            let stopped = context.cancel_local(&RequestId::from(text));
            let reply = if stopped { STOPPED } else { NOT_STOPPED };
            Ok(reply.to_vec())
        }
        _ => Err("unknown kind of request; run the same version on all daemons".to_owned()),
    }
}

/// Returns the call that sends operations on records to another daemon.
#[must_use]
pub fn records_link(peers: &PeerHandle) -> LinkCall {
    let peers = peers.clone();
    Arc::new(move |(daemon, body)| {
        let reply = (peers.request)((daemon, encode_request(RECORDS, &body)));
        Box::pin(async move {
            reply.await.map_err(|error| LinkError::NoReply {
                reason: error.to_string(),
            })
        })
    })
}

/// Cancels a request at the daemon that accepted it; returns whether it was running there.
///
/// # Errors
///
/// Returns a [`PeerError`] if the daemon was not reached or did not reply.
pub async fn cancel_on_peer(
    peers: &PeerHandle,
    daemon: &DaemonId,
    request_id: &RequestId,
) -> Result<bool, PeerError> {
    let body = encode_request(CANCEL, request_id.as_str().as_bytes());
    let reply = (peers.request)((daemon.clone(), body)).await?;
    Ok(reply == STOPPED)
}

fn encode_request(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut message = Vec::with_capacity(body.len() + 1);
    message.push(kind);
    message.extend_from_slice(body);
    message
}
