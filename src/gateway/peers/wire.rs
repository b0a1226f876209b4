//! Messages between daemons.
//!
//! What a word tells of each daemon, target or request goes as an array of its values:
//! with the names of the fields a note on a daemon takes 78 bytes, without them 21.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use tokio_tungstenite::tungstenite::Message;

use crate::crashes::broadcasts::CrashReport;
use crate::gateway::deciding::load::TargetWork;
use crate::gateway::deciding::stage_plan::WorkRate;
use crate::gateway::fleet_tasks::usage_counts::{DaemonUsage, UsageCount};
use crate::gateway::peers::freshness::ConfigFreshness;
use crate::gateway::peers::seen::ObservedResults;
use crate::gateway::registry::EntryUpdate;
use crate::gateway::store_follow::Feed;
use crate::names::{DaemonId, MonoTime, ServiceName, UnixTime};
use crate::target_incarnation::TargetIncarnation;

/// Parts of a prompt that an engine holds, or was asked to read.
#[derive(Clone, Debug, Deserialize_tuple, Serialize_tuple)]
pub struct CachedPartsUpdate {
    /// The engine.
    pub engine: TargetIncarnation,
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
    pub work: Vec<(TargetIncarnation, TargetWork)>,
    /// What engines came to hold by its requests since the last hint.
    pub held: Vec<CachedPartsUpdate>,
    /// Targets that it knows to be leaving.
    pub departed: Vec<TargetIncarnation>,
    /// Targets' entries that began or ended, by turns ([`super::entry_broadcasts`]).
    #[serde(default)]
    pub entries: Vec<EntryUpdate>,
    /// Work that ended targets, by turns ([`crate::crashes::broadcasts`]).
    #[serde(default)]
    pub works: Vec<CrashReport>,
    /// Engines that it is ordering to change their stage.
    pub changing: Vec<TargetIncarnation>,
    /// Work that it places on engines, in a second.
    pub rate: WorkRate,
    /// Last question for a place whose work this hint contains.
    pub placed_through: u64,
    /// What it saw of its sends, where a hub places its requests.
    pub seen: ObservedResults,
    /// Its clock.
    pub clock: MonoTime,
    /// Whether it knows which keys are in force.
    pub confirms_keys: bool,
    /// Its wall clock.
    pub wall: UnixTime,
    /// Requests that began here, by window and workspace, as far as they are news.
    pub usage: Vec<UsageCount>,
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
        #[serde(with = "serde_bytes")]
        value: Vec<u8>,
    },
    /// What a hub knows.
    Summary(PeerSummary),
    /// Objects of the store, from a hub that watches it.
    Objects(FeedObjects),
    /// The first message of a hub on a new link to a member.
    NewLink {
        /// The hub.
        from: DaemonId,
    },
    /// A member's question for what its hub has of the store.
    WantStock(SnapshotRequest),
    /// The answer to it.
    Stock(SnapshotResponse),
    /// A question for the engines of a request.
    Place(PlacementRequest),
    /// The answer to such a question.
    Placed(PlacementResponse),
    /// What a hub has placed since it told so last.
    Placements(PlacementBatch),
    /// As of when a hub's configuration is the newest one, for one reader.
    Proof(FreshnessUpdate),
}

/// As of when a hub's configuration is the newest one, for one reader.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FreshnessUpdate {
    /// The hub.
    pub from: DaemonId,
    /// Its life, as its record in the store names it.
    pub life: u64,
    /// What it tells.
    pub proof: ConfigFreshness,
}

/// A request that a hub has placed.
#[derive(Clone, Debug, Deserialize_tuple, Serialize_tuple)]
pub struct PlacementRecord {
    /// Engine that reads the prompt.
    pub reader: TargetIncarnation,
    /// Engine that makes the tokens, where it is another one.
    pub writer: Option<TargetIncarnation>,
    /// Rank at the engines.
    pub rank: u8,
    /// Tokens that the reading engine still has to read.
    pub unread_tokens: u32,
    /// Keys and tokens of the prompt's parts, in order.
    pub parts: Vec<(u64, u32)>,
}

/// What a hub has placed since it told so last.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlacementBatch {
    /// The hub.
    pub from: DaemonId,
    /// Its life, as its record in the store names it.
    pub life: u64,
    /// Number of these notes in that life.
    pub number: u64,
    /// The requests.
    pub placed: Vec<PlacementRecord>,
}

/// A question for what a hub has of the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SnapshotRequest {
    /// Who asks.
    pub from: DaemonId,
    /// Its life, as its record in the store names it.
    pub life: u64,
    /// Number of the question in that life.
    pub number: u64,
    /// Digests of what the asker has.
    pub known: Vec<(Feed, u64)>,
}

/// What a hub has of the store and the asker has not.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SnapshotResponse {
    /// The hub.
    pub from: DaemonId,
    /// Number of the question.
    pub number: u64,
    /// All objects of the feeds that differ.
    pub feeds: Vec<FeedObjects>,
}

/// A question for the engines of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlacementRequest {
    /// Who asks.
    pub from: DaemonId,
    /// Its life, as its record in the store names it.
    pub life: u64,
    /// Number of the question in that life.
    pub number: u64,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Engines that the asker does not want.
    pub avoided: Vec<TargetIncarnation>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub output_tokens: u32,
    /// Keys and tokens of the prompt's parts, in order.
    pub parts: Vec<(u64, u32)>,
    /// Rank of the route; 0 is the most urgent.
    pub urgency: u8,
    /// Milliseconds left for an answer of full worth.
    pub objective_left_ms: u32,
}

/// Engines chosen for a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacedEngines {
    /// Engine that reads the prompt for the other.
    pub reader: Option<TargetIncarnation>,
    /// Engine that makes the tokens.
    pub writer: TargetIncarnation,
    /// Engine that the reading one copies shared parts from.
    pub fetch_from: Option<TargetIncarnation>,
    /// Rank that it was chosen for.
    pub rank: u8,
    /// Expected time to the first token, in milliseconds.
    pub expected_ms: f64,
    /// Part of it that the request's own reading takes.
    pub own_ms: f64,
    /// Tokens that the reading engine still has to read.
    pub unread_tokens: u32,
    /// Tokens among them that requests share.
    pub reread_tokens: u32,
    /// Tokens of other requests that it reads before.
    pub waiting_tokens: u32,
    /// Whether the request gives way to all that can still be in time.
    pub gives_way: bool,
}

/// The answer to a question for engines.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlacementResponse {
    /// Number of the question.
    pub number: u64,
    /// The engines, where there are any.
    pub engines: Option<PlacedEngines>,
}

/// What a hub tells of one daemon.
#[derive(Clone, Debug, Deserialize_tuple, Serialize_tuple)]
pub struct MemberStatus {
    /// The daemon.
    pub id: DaemonId,
    /// Milliseconds since it was heard.
    pub age_ms: u32,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Version of the configuration that it runs.
    pub config_version: u64,
    /// Engines that it is ordering to change their stage.
    pub changing: Vec<TargetIncarnation>,
    /// Whether it knows which keys are in force.
    pub confirms_keys: bool,
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
    /// Daemons that it tells of in this word ([`super::member_broadcasts`]).
    pub members: Vec<MemberStatus>,
    /// Their work at targets, summed.
    pub work: Vec<(TargetIncarnation, TargetWork)>,
    /// What engines came to hold since the last summary.
    pub held: Vec<CachedPartsUpdate>,
    /// Targets known to be leaving.
    pub departed: Vec<TargetIncarnation>,
    /// Targets' entries that ended, by turns.
    #[serde(default)]
    pub entries: Vec<EntryUpdate>,
    /// Work that ended targets, by turns.
    #[serde(default)]
    pub works: Vec<CrashReport>,
    /// Work that they place on engines, in a second.
    pub rate: WorkRate,
    /// Milliseconds since the hub heard the store.
    pub store_age_ms: u32,
    /// Last notes on placements whose work this contains.
    pub placed_through: u64,
    /// True time as this hub and its members agree on it.
    pub true_time: Option<UnixTime>,
    /// What its members and it counted of usage, for other hubs.
    pub usage: Vec<DaemonUsage>,
}

/// Objects of the store as a hub passes them on.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FeedObjects {
    /// What they are.
    pub feed: Feed,
    /// Whether these are all there are.
    pub whole: bool,
    /// Name, version and value of each; without a value it was deleted. Kept as bytes:
    /// as a list of numbers a value takes nearly twice the room on the link.
    pub objects: Vec<ObjectUpdate>,
}

/// Name, version and value of an object.
pub type ObjectUpdate = (String, u64, Option<ByteBuf>);

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
