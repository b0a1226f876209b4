//! What daemons ask of one another over their links: a byte for the kind, then the body.

use std::sync::{Arc, OnceLock, Weak};

use crate::intents::link::{LinkCall, LinkError};
use crate::names::{DaemonId, RequestId};
use crate::peers::link::{PeerError, PeerHandle, PeerHandler};
use crate::requests::traffic::TrafficContext;

/// Operations on records, for the owner of their shard.
const RECORDS: u8 = 0;
/// A request to be stopped where it runs.
const CANCEL: u8 = 1;
/// Reply of a daemon that has stopped the request.
const STOPPED: &[u8] = &[1];
const NOT_STOPPED: &[u8] = &[0];

/// The parts that answer, once they are there; peers may ask before. Weak, since those
/// parts hold the links themselves.
pub type TrafficCell = Arc<OnceLock<Weak<TrafficContext>>>;

/// Answers the requests of other daemons.
#[must_use]
pub fn request_handler(traffic: &TrafficCell) -> PeerHandler {
    let traffic = Arc::clone(traffic);
    Arc::new(move |(_, body)| {
        let traffic = traffic.get().and_then(Weak::upgrade);
        Box::pin(async move {
            let context = traffic.ok_or("this daemon is starting")?;
            answer(&context, &body).await
        })
    })
}

async fn answer(context: &TrafficContext, body: &[u8]) -> Result<Vec<u8>, String> {
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
        _ => Err("the request is of no known kind; run the same version everywhere".to_owned()),
    }
}

/// Returns the call by which operations on records reach another daemon.
#[must_use]
pub fn records_call(peers: &PeerHandle) -> LinkCall {
    let peers = peers.clone();
    Arc::new(move |(daemon, body)| {
        let reply = (peers.request)((daemon, tagged(RECORDS, &body)));
        Box::pin(async move {
            reply.await.map_err(|error| LinkError::NoReply {
                reason: error.to_string(),
            })
        })
    })
}

/// Stops a request at the daemon that accepted it; true when it was running there.
///
/// # Errors
///
/// Returns a [`PeerError`] when the daemon was not reached or did not reply.
pub async fn cancel_there(
    peers: &PeerHandle,
    daemon: &DaemonId,
    request_id: &RequestId,
) -> Result<bool, PeerError> {
    let body = tagged(CANCEL, request_id.as_str().as_bytes());
    let reply = (peers.request)((daemon.clone(), body)).await?;
    Ok(reply == STOPPED)
}

fn tagged(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut message = Vec::with_capacity(body.len() + 1);
    message.push(kind);
    message.extend_from_slice(body);
    message
}
