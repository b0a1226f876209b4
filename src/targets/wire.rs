//! Messages between daemons and targets, as JSON over HTTP. See docs/PROTOCOLS.md.

use serde::{Deserialize, Serialize};

use crate::names::{
    FenceNumber, GroupName, ModelName, ProcessIncarnation, RequestId, RequestKey, TargetId,
    WorkspaceName,
};

/// What an engine does best at the moment.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Generates output quickly.
    Decode,
    /// Does both equally.
    #[default]
    Mixed,
    /// Reads prompts quickly.
    Prefill,
}

/// Starts a stream: `POST /v1/streams`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GenerateBody {
    /// Request the stream answers.
    pub request_id: RequestId,
    /// Number of this attempt, from 1.
    pub attempt: u32,
    /// Workspace that pays for the work.
    pub workspace: WorkspaceName,
    /// Model to use.
    pub model: ModelName,
    /// Adapter; empty for none.
    pub adapter: String,
    /// Version; empty for the one loaded.
    pub version: String,
    /// Urgency; 0 is the most urgent.
    pub priority: u32,
    /// Milliseconds left for the whole answer.
    pub deadline_ms: u64,
    /// Prompt in base64.
    pub prompt: String,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Most tokens of the whole answer.
    pub max_output_tokens: u32,
    /// Answer bytes delivered by earlier attempts; the stream starts after them.
    pub offset: u64,
    /// Answer tokens delivered by earlier attempts.
    pub tokens_done: u32,
    /// Name of the prompt's shared part; empty for none.
    pub shared_prefix: String,
    /// Length of the shared part in tokens.
    pub shared_prefix_tokens: u32,
    /// Address of an engine to import the prompt's KV cache from; empty for none.
    pub import_kv_from: String,
}

/// One line of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamLine {
    /// Request the line belongs to.
    pub request_id: RequestId,
    /// Attempt the line belongs to.
    pub attempt: u32,
    /// Position of the first byte in the whole answer.
    pub offset: u64,
    /// Bytes in base64.
    pub data: String,
    /// Tokens in this line.
    pub tokens: u32,
    /// Set on the last line.
    pub end: Option<StreamEnd>,
}

/// Closes a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamEnd {
    /// Bytes in the whole answer.
    pub length: u64,
}

/// Engine state: `GET /v1/state`, also the answer to an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// Engine that reports.
    pub target: TargetId,
    /// Life of the engine's process.
    pub incarnation: ProcessIncarnation,
    /// Unix time of the report in milliseconds.
    pub at_ms: u64,
    /// Role in force.
    pub role: EngineRole,
    /// Whether a change of role or models is under way; the engine serves nothing then.
    pub changing: bool,
    /// Models loaded, as `MODEL`, `MODEL@VERSION` or `MODEL@VERSION+ADAPTER`.
    pub models: Vec<String>,
    /// Streams being generated.
    pub running: u32,
    /// Streams waiting.
    pub waiting: u32,
    /// Prompt tokens not yet read.
    pub prefill_backlog_tokens: u64,
    /// Output tokens promised and not yet generated, at most.
    pub decode_backlog_tokens: u64,
    /// KV cache in use and its limit, in tokens.
    pub kv_used_tokens: u64,
    /// Limit of the KV cache in tokens.
    pub kv_limit_tokens: u64,
    /// Last order taken.
    pub last_order: Option<OrderMark>,
    /// Number of the newest cache event.
    pub cache_sequence: u64,
}

/// Identifies an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderMark {
    /// Order identity, unique for the group.
    pub id: String,
    /// Fence the order carried.
    pub fence: FenceNumber,
}

/// An absolute order: `POST /v1/orders`. 409 answers one with an old fence.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderBody {
    /// Identity; the same order sent twice has one effect.
    pub mark: OrderMark,
    /// Group whose lease covers the engine.
    pub group: GroupName,
    /// Role to have.
    pub role: EngineRole,
    /// Models to hold, in the form of [`EngineState::models`].
    pub models: Vec<String>,
}

/// A change in an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Number of the event; gaps mean lost events.
    pub sequence: u64,
    /// Shared prefix concerned.
    pub prefix: String,
    /// Tokens now cached of it; 0 after eviction.
    pub tokens: u32,
}

/// Cache events since a number: `GET /v1/cache-events?since=N`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// Events in order.
    pub events: Vec<CacheEvent>,
}

/// A call to a plain service: `POST /v1/calls`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceBody {
    /// Request the call belongs to; echoed.
    pub request_id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Key within the workspace.
    pub key: RequestKey,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Body in base64.
    pub data: String,
}

/// Answer of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceReply {
    /// Echo of the request.
    pub request_id: RequestId,
    /// Echo of the key.
    pub key: RequestKey,
    /// Answer in base64.
    pub data: String,
    /// Bytes in the answer before base64.
    pub length: u64,
}
