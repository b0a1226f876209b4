//! Messages between daemons.

use serde::{Deserialize, Serialize};
use tokio_tungstenite::tungstenite::Message;

use crate::gateway::load::TargetWork;
use crate::gateway::stage_plan::WorkRate;
use crate::gateway::store_follow::Feed;
use crate::names::{DaemonId, TargetId};

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
    /// What a hub knows.
    Summary(PeerSummary),
    /// Objects of the store, from a hub that watches it.
    Objects(FeedObjects),
}

/// What a hub tells of one daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MemberNote {
    /// The daemon.
    pub id: DaemonId,
    /// Milliseconds since it was heard.
    pub age_ms: u32,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Version of the configuration that it runs.
    pub config_version: u64,
    /// Engines that it is ordering to change their stage.
    pub changing: Vec<TargetId>,
}

/// What a hub tells other hubs of its members, or its members of the whole fleet.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PeerSummary {
    /// The hub.
    pub from: DaemonId,
    /// Its life, as its record in the store names it.
    pub life: u64,
    /// Whether this tells of the whole fleet.
    pub whole: bool,
    /// Daemons that it tells of.
    pub members: Vec<MemberNote>,
    /// Their work at targets, summed.
    pub work: Vec<(TargetId, TargetWork)>,
    /// What engines came to hold since the last summary.
    pub held: Vec<HeldNote>,
    /// Targets known to be leaving.
    pub departed: Vec<TargetId>,
    /// Work that they place on engines, in a second.
    pub rate: WorkRate,
    /// Milliseconds since the hub heard the store.
    pub store_age_ms: u32,
}

/// Objects of the store as a hub passes them on.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FeedObjects {
    /// What they are.
    pub feed: Feed,
    /// Whether these are all there are.
    pub whole: bool,
    /// Name, version and value of each; without a value it was deleted.
    pub objects: Vec<(String, u64, Option<Vec<u8>>)>,
}

impl PeerMessage {
    /// Encodes the message.
    #[must_use]
    pub fn encode(&self) -> Message {
        let mut bytes = Vec::new();
        // Plain data always encodes into memory.
        let _ = ciborium::into_writer(self, &mut bytes);
        Message::binary(bytes)
    }
}
