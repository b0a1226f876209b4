//! Forwards operations to the owner of a shard, with one message in flight at a time.

use std::future;
use std::time::Duration;

use tokio::time::Instant;

use crate::intents::driver::OpWaiter;
use crate::intents::link::{
    IntentLink, LINK_PAUSE, LINK_TIMEOUT, LinkError, LinkOutcome, LinkReply, LinkRequest,
    MAX_LINK_OPS,
};
use crate::intents::writer::ShardOp;
use crate::ports::{ObjectVersion, PortFuture};

/// An operation for the owner of the shard: a claim or a close made by this daemon.
pub(crate) struct ForwardOp {
    /// The operation in the form that this daemon executes itself.
    pub(crate) op: ShardOp,
    /// Recipient of the result.
    pub(crate) waiter: Option<OpWaiter>,
}

impl ForwardOp {
    fn forwarded(&self) -> Option<ShardOp> {
        match &self.op {
            ShardOp::Claim(claim) => Some(ShardOp::ForwardedClaim(claim.clone())),
            ShardOp::Close { key, claim, record } => Some(ShardOp::ForwardedClose {
                key: key.clone(),
                claim: *claim,
                record: record.clone(),
            }),
            _ => None,
        }
    }
}

/// Result of one message to the owner.
pub(crate) struct ForwardResult {
    /// Version of the shard that contains all recorded operations.
    pub(crate) version: ObjectVersion,
    /// The operations and their outcomes.
    pub(crate) ops: Vec<(ForwardOp, LinkOutcome)>,
}

/// Queue of operations on one shard for its owner.
pub(crate) struct ForwardQueue {
    link: Option<IntentLink>,
    shard: u32,
    shards: u32,
    outbox: Vec<ForwardOp>,
    sent: Vec<ForwardOp>,
    pending_call: Option<PortFuture<Result<LinkReply, LinkError>>>,
    paused_until: Option<Instant>,
}

impl ForwardQueue {
    pub(crate) fn new(link: Option<IntentLink>, shard: u32, shards: u32) -> Self {
        Self {
            link,
            shard,
            shards,
            outbox: Vec::new(),
            sent: Vec::new(),
            pending_call: None,
            paused_until: None,
        }
    }

    /// Returns the number of operations queued or in flight.
    pub(crate) fn len(&self) -> usize {
        self.outbox.len() + self.sent.len()
    }

    /// Returns whether an operation is to be sent to the owner.
    pub(crate) fn accepts(&self, op: &ShardOp) -> bool {
        matches!(op, ShardOp::Claim(_) | ShardOp::Close { .. }) && self.available_owner().is_some()
    }

    pub(crate) fn push(&mut self, op: ForwardOp) {
        self.outbox.push(op);
    }

    /// Sends the queued operations. Returns them instead when there is no owner to send them
    /// to any more.
    pub(crate) fn send_next(&mut self, known_at: ObjectVersion) -> Vec<ForwardOp> {
        if self.pending_call.is_some() || self.outbox.is_empty() {
            return Vec::new();
        }
        let Some((link, owner)) = self.available_owner() else {
            return std::mem::take(&mut self.outbox);
        };
        let count = self.outbox.len().min(MAX_LINK_OPS);
        let sent: Vec<ForwardOp> = self.outbox.drain(..count).collect();
        let request = LinkRequest {
            shard: self.shard,
            shards: self.shards,
            known_at,
            ops: sent.iter().filter_map(ForwardOp::forwarded).collect(),
        };
        let wait = reply_timeout(&sent);
        let call = (link.call)((owner, request.encode()));
        self.sent = sent;
        self.pending_call = Some(Box::pin(async move {
            let reply = tokio::time::timeout(wait, call).await;
            let reply = reply.map_err(|_| LinkError::NoReply {
                reason: "timeout".to_owned(),
            })??;
            LinkReply::decode(&reply, count)
        }));
        Vec::new()
    }

    /// Waits for the reply to the message in flight.
    pub(crate) async fn next_reply(&mut self) -> Result<LinkReply, LinkError> {
        match &mut self.pending_call {
            Some(call) => call.await,
            None => future::pending().await,
        }
    }

    /// Applies the reply to the message in flight. After a failure, this daemon writes the
    /// shard directly for [`LINK_PAUSE`], so that an owner that is gone does not delay
    /// every claim.
    pub(crate) fn finish(&mut self, reply: Result<LinkReply, LinkError>) -> ForwardResult {
        self.pending_call = None;
        let sent = std::mem::take(&mut self.sent);
        let count = sent.len();
        let reply = reply.unwrap_or_else(|_| {
            self.paused_until = Some(Instant::now() + LINK_PAUSE);
            metrics::counter!("pistachiowick_intent_link_failures_total").increment(1);
            LinkReply {
                version: ObjectVersion::default(),
                outcomes: vec![LinkOutcome::Uncertain; count],
            }
        });
        ForwardResult {
            version: reply.version,
            ops: sent.into_iter().zip(reply.outcomes).collect(),
        }
    }

    fn available_owner(&self) -> Option<(IntentLink, crate::names::DaemonId)> {
        if self
            .paused_until
            .is_some_and(|until| Instant::now() < until)
        {
            return None;
        }
        let link = self.link.as_ref()?;
        (link.owner)(self.shard).map(|owner| (link.clone(), owner))
    }
}

/// Returns how long to wait for the owner. Every waiter keeps half of its remaining time
/// for a direct write.
fn reply_timeout(ops: &[ForwardOp]) -> Duration {
    let now = Instant::now();
    let waiters = ops.iter().filter_map(|op| op.waiter.as_ref());
    let remaining = waiters.map(|w| w.deadline.saturating_duration_since(now) / 2);
    remaining.min().unwrap_or(LINK_TIMEOUT).min(LINK_TIMEOUT)
}
