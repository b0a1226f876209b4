//! Messages between daemons.
//!
//! Records that a message contains once per daemon, target or request are encoded as arrays
//! of values: with field names, the status of a daemon takes 78 bytes, without them 21.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use tokio_tungstenite::tungstenite::Message;

use crate::crashes::report::{PartReport, WorkReport};
use crate::gateway::deciding::load::TargetWork;
use crate::gateway::deciding::stage_plan::WorkRate;
use crate::gateway::fleet_tasks::usage_counts::{DaemonUsage, UsageCount};
use crate::gateway::peers::freshness::ConfigFreshness;
use crate::gateway::peers::seen::ObservedResults;
use crate::gateway::registry::EntryUpdate;
use crate::gateway::store_follow::Feed;
use crate::names::{DaemonId, MonoTime, ServiceName, UnixTime};
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::report::LimitReport;

/// Prompt parts that an engine has cached, or is prefilling.
#[derive(Clone, Debug, Deserialize_tuple, Serialize_tuple)]
pub struct CachedPartsUpdate {
    /// The engine.
    pub engine: TargetIncarnation,
    /// Keys and tokens of the parts, in the prompt's order.
    pub parts: Vec<(u64, u32)>,
    /// Whether they are cached already.
    pub ready: bool,
}

/// State that a daemon sends to the others several times a second.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PeerHint {
    /// The sender.
    pub from: DaemonId,
    /// Its incarnation, as in its record in the store.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Version of the configuration that it runs.
    pub config_version: u64,
    /// Its running and queued work at targets.
    pub work: Vec<(TargetIncarnation, TargetWork)>,
    /// Prompt parts newly cached at engines by its requests since the last hint.
    #[serde(rename = "held")]
    pub cached_parts: Vec<CachedPartsUpdate>,
    /// Targets that it knows to be leaving the fleet.
    pub departed: Vec<TargetIncarnation>,
    /// Added or removed entries of targets, as due ([`super::entry_broadcasts`]).
    #[serde(default)]
    pub entries: Vec<EntryUpdate>,
    /// Work that crashed targets, as due ([`crate::broadcast_schedule`]).
    #[serde(default, rename = "works")]
    pub work_reports: Vec<WorkReport>,
    /// Parts of prompts that crashed targets, as due.
    #[serde(default, rename = "parts", skip_serializing_if = "Vec::is_empty")]
    pub part_reports: Vec<PartReport>,
    /// Limits of targets, as due ([`crate::broadcast_schedule`]).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitReport>,
    /// Engines whose stage it is changing.
    pub changing: Vec<TargetIncarnation>,
    /// Work that it places on engines per second.
    pub rate: WorkRate,
    /// Number of the last placement request whose work this hint contains.
    pub placed_through: u64,
    /// Results of its sends, if a hub chooses engines for its requests.
    #[serde(rename = "seen")]
    pub observed: ObservedResults,
    /// Its monotonic clock.
    pub clock: MonoTime,
    /// Whether it knows which keys are in force.
    pub confirms_keys: bool,
    /// Services of which it reaches no target.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unreachable: Vec<ServiceName>,
    /// Its wall clock.
    #[serde(rename = "wall")]
    pub wall_clock: UnixTime,
    /// New counts of requests started here, by window and workspace.
    pub usage: Vec<UsageCount>,
    /// Counts that it offers to a new receiver: its own and those it keeps of other daemons.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub kept_usage: Vec<DaemonUsage>,
    /// Fleet time up to which it has sent all counts that it keeps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage_complete_to: Option<UnixTime>,
}

/// A message between daemons.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerMessage {
    /// State of the sender.
    Hint(PeerHint),
    /// A configuration as it is in the store.
    Config {
        /// Revision of the store's object.
        revision: u64,
        /// Its value.
        #[serde(with = "serde_bytes")]
        value: Vec<u8>,
    },
    /// State of several daemons, from a hub.
    Summary(PeerSummary),
    /// Objects of the store, relayed by a hub.
    Objects(FeedObjects),
    /// The first message of a hub on a new link to a member.
    NewLink {
        /// The hub.
        from: DaemonId,
    },
    /// A request for the store snapshot of a hub.
    #[serde(rename = "WantStock")]
    SnapshotRequest(SnapshotRequest),
    /// The response to it.
    #[serde(rename = "Stock")]
    SnapshotResponse(SnapshotResponse),
    /// A request to choose the engines for a caller's request.
    #[serde(rename = "Place")]
    PlacementRequest(PlacementRequest),
    /// The response to it.
    #[serde(rename = "Placed")]
    PlacementResponse(PlacementResponse),
    /// Placements of a hub since its last announcement.
    Placements(PlacementBatch),
    /// How long ago a hub's configuration was confirmed to be the newest, for one receiver.
    #[serde(rename = "Proof")]
    Freshness(FreshnessUpdate),
    /// Usage counts, from a hub to a member that keeps them for its successor. Sent only where
    /// fleet tasks are configured.
    Usage(UsageCopies),
}

/// Usage counts, from a hub to a member that keeps them for its successor.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct UsageCopies {
    /// The hub.
    pub from: DaemonId,
    /// Its incarnation, as in its record in the store.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Counts of the hub and its members.
    pub usage: Vec<DaemonUsage>,
}

/// How long ago a hub's configuration was confirmed to be the newest, for one receiver.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FreshnessUpdate {
    /// The hub.
    pub from: DaemonId,
    /// Its incarnation, as in its record in the store.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The report.
    #[serde(rename = "proof")]
    pub freshness: ConfigFreshness,
}

/// Engines that a hub has chosen for a request.
#[derive(Clone, Debug, Deserialize_tuple, Serialize_tuple)]
pub struct PlacementRecord {
    /// Engine that prefills the prompt.
    pub prefill_engine: TargetIncarnation,
    /// Engine that decodes, if it is another one.
    pub decode_engine: Option<TargetIncarnation>,
    /// Scheduling rank at the engines.
    pub rank: u8,
    /// Tokens that the prefill engine still has to prefill.
    pub pending_prefill_tokens: u32,
    /// Keys and tokens of the prompt's parts, in order.
    pub parts: Vec<(u64, u32)>,
}

/// Placements of a hub since its last announcement.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlacementBatch {
    /// The hub.
    pub from: DaemonId,
    /// Its incarnation, as in its record in the store.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of this batch within that incarnation.
    pub number: u64,
    /// The placements.
    #[serde(rename = "placed")]
    pub placements: Vec<PlacementRecord>,
}

/// A request for the store snapshot of a hub.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SnapshotRequest {
    /// The requester.
    pub from: DaemonId,
    /// Its incarnation, as in its record in the store.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the request within that incarnation.
    pub number: u64,
    /// Digests of the objects that the requester has.
    pub known: Vec<(Feed, u64)>,
}

/// The part of a hub's store snapshot that the requester lacks.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SnapshotResponse {
    /// The hub.
    pub from: DaemonId,
    /// Number of the request.
    pub number: u64,
    /// All objects of the feeds that differ.
    pub feeds: Vec<FeedObjects>,
}

/// A request to choose the engines for a caller's request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlacementRequest {
    /// The requester.
    pub from: DaemonId,
    /// Its incarnation, as in its record in the store.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the request within that incarnation.
    pub number: u64,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Engines that the requester excludes.
    pub avoided: Vec<TargetIncarnation>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub output_tokens: u32,
    /// Keys and tokens of the prompt's parts, in order.
    pub parts: Vec<(u64, u32)>,
    /// Rank of the route; 0 is the most urgent.
    pub urgency: u8,
    /// Milliseconds left until the latency objective is missed.
    pub objective_left_ms: u32,
    /// Size of the request's body; 0 where sends to other data centres have no cost.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub request_bytes: u32,
}

// Takes a reference, as `serde` requires.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Engines chosen for a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacedEngines {
    /// Engine that prefills the prompt for the other one, if any.
    #[serde(rename = "reader")]
    pub prefill_engine: Option<TargetIncarnation>,
    /// Engine that decodes.
    #[serde(rename = "writer")]
    pub decode_engine: TargetIncarnation,
    /// Engine that the prefill engine copies shared parts from.
    pub fetch_from: Option<TargetIncarnation>,
    /// Scheduling rank that they were chosen for.
    pub rank: u8,
    /// Expected time to the first token, in milliseconds.
    pub expected_ms: f64,
    /// Part of it that the request's own prefill takes.
    #[serde(rename = "own_ms")]
    pub own_prefill_ms: f64,
    /// Tokens that the prefill engine still has to prefill.
    #[serde(rename = "unread_tokens")]
    pub pending_prefill_tokens: u32,
    /// Tokens among them that belong to shared parts.
    #[serde(rename = "reread_tokens")]
    pub recomputed_tokens: u32,
    /// Tokens of other requests that it prefills first.
    #[serde(rename = "waiting_tokens")]
    pub queued_ahead_tokens: u32,
    /// Whether the request is queued behind all that can still meet their objective.
    #[serde(rename = "gives_way")]
    pub deprioritized: bool,
}

/// The response to a placement request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlacementResponse {
    /// Number of the request.
    pub number: u64,
    /// The engines, if there are any.
    pub engines: Option<PlacedEngines>,
}

/// Status of one daemon, as reported by a hub.
#[derive(Clone, Debug, Deserialize_tuple, Serialize_tuple)]
pub struct MemberStatus {
    /// The daemon.
    pub id: DaemonId,
    /// Milliseconds since its last message.
    pub age_ms: u32,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Version of the configuration that it runs.
    pub config_version: u64,
    /// Engines whose stage it is changing.
    pub changing: Vec<TargetIncarnation>,
    /// Whether it knows which keys are in force.
    pub confirms_keys: bool,
}

/// State of a data centre, for other hubs, or of the whole fleet, for a hub's members.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PeerSummary {
    /// The hub.
    pub from: DaemonId,
    /// Its incarnation, as in its record in the store.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Whether this covers the whole fleet.
    #[serde(rename = "whole")]
    pub whole_fleet: bool,
    /// Status of the daemons that are due in this message ([`super::member_broadcasts`]).
    pub members: Vec<MemberStatus>,
    /// Work of all covered daemons at targets, summed.
    pub work: Vec<(TargetIncarnation, TargetWork)>,
    /// Prompt parts newly cached at engines since the last summary.
    #[serde(rename = "held")]
    pub cached_parts: Vec<CachedPartsUpdate>,
    /// Targets known to be leaving the fleet.
    pub departed: Vec<TargetIncarnation>,
    /// Removed entries of targets, as due.
    #[serde(default)]
    pub entries: Vec<EntryUpdate>,
    /// Work that crashed targets, as due.
    #[serde(default, rename = "works")]
    pub work_reports: Vec<WorkReport>,
    /// Parts of prompts that crashed targets, as due.
    #[serde(default, rename = "parts", skip_serializing_if = "Vec::is_empty")]
    pub part_reports: Vec<PartReport>,
    /// Limits of targets, as due.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitReport>,
    /// Monotonic clock of the hub.
    #[serde(default)]
    pub clock: MonoTime,
    /// Work that the covered daemons place on engines per second.
    pub rate: WorkRate,
    /// Milliseconds since the hub's last response from the store.
    pub store_age_ms: u32,
    /// Number of the last placement batch whose work this contains.
    pub placed_through: u64,
    /// Fleet time, as this hub and its members agree on it.
    #[serde(rename = "true_time")]
    pub fleet_time: Option<UnixTime>,
    /// Usage counts of the hub and its members, for other hubs.
    pub usage: Vec<DaemonUsage>,
    /// Fleet time up to which the hub has sent all counts that it keeps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage_complete_to: Option<UnixTime>,
}

/// Objects of the store, as a hub relays them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FeedObjects {
    /// Kind of the objects.
    pub feed: Feed,
    /// Whether these are all objects of the kind.
    pub whole: bool,
    /// Name, version and value of each; one without a value was deleted. Values are encoded
    /// as bytes: as a list of numbers, they take nearly twice the bandwidth.
    pub objects: Vec<ObjectUpdate>,
}

/// Name, version and value of an object.
pub type ObjectUpdate = (String, u64, Option<ByteBuf>);

impl PeerMessage {
    /// Encodes the message.
    #[must_use]
    pub fn encode(&self) -> Message {
        let mut bytes = Vec::new();
        // Encoding plain data into memory cannot fail.
        let _ = ciborium::into_writer(self, &mut bytes);
        Message::binary(bytes)
    }
}
