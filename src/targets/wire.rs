//! Messages between daemons and targets, as JSON over HTTP. See docs/PROTOCOLS.md.

use serde::{Deserialize, Serialize};

use crate::names::{
    FenceNumber, GroupName, ModelName, ProcessIncarnation, RequestId, RequestKey, TargetId,
    WorkspaceName,
};

/// Kind of work that an engine is currently set up for.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Fast at generating output.
    Decode,
    /// Balanced between both.
    #[default]
    Mixed,
    /// Fast at prefilling prompts.
    Prefill,
}

/// Starts a stream: `POST /v1/streams`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GenerateBody {
    /// Request that the stream answers.
    pub request_id: RequestId,
    /// Number of this attempt, from 1.
    pub attempt: u32,
    /// Workspace that the work is charged to.
    pub workspace: WorkspaceName,
    /// Model to use.
    pub model: ModelName,
    /// Adapter of the model; empty for none.
    pub adapter: String,
    /// Version of the model; empty for the one loaded.
    pub version: String,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Milliseconds left for the whole answer.
    pub deadline_ms: u64,
    /// Prompt in base64.
    pub prompt: String,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the whole answer.
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
    /// Incarnation of the engine's process.
    pub incarnation: ProcessIncarnation,
    /// Version of the engine's software; empty if it states none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub software: String,
    /// Unix time of the report in milliseconds.
    pub at_ms: u64,
    /// Role in force.
    pub role: EngineRole,
    /// Whether a change of role or models is in progress, during which the engine
    /// serves nothing.
    pub changing: bool,
    /// Models loaded, as `MODEL`, `MODEL@VERSION` or `MODEL@VERSION+ADAPTER`.
    pub models: Vec<String>,
    /// Streams being generated.
    pub running: u32,
    /// Streams waiting.
    pub waiting: u32,
    /// Prompt tokens still to be prefilled.
    pub prefill_backlog_tokens: u64,
    /// Maximum number of output tokens of accepted requests that are still to be
    /// generated.
    pub decode_backlog_tokens: u64,
    /// KV cache in use, in tokens.
    pub kv_used_tokens: u64,
    /// Limit of the KV cache in tokens.
    pub kv_limit_tokens: u64,
    /// Last order accepted.
    pub last_order: Option<OrderId>,
    /// Number of the newest cache event.
    pub cache_sequence: u64,
}

/// Identifies an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderId {
    /// Order identity, unique for the group.
    pub id: String,
    /// Fence the order carried.
    pub fence: FenceNumber,
}

/// An order that gives the engine's whole state: `POST /v1/orders`. An order with a
/// lower fence than the engine has accepted is answered with 409.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderBody {
    /// Identity; the same order sent twice has one effect.
    #[serde(rename = "mark")]
    pub order_id: OrderId,
    /// Group whose lease covers the engine.
    pub group: GroupName,
    /// Role to take on.
    pub role: EngineRole,
    /// Models to load, in the form of [`EngineState::models`].
    pub models: Vec<String>,
}

/// A change in an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Number of the event; gaps mean lost events.
    pub sequence: u64,
    /// Name of the shared part concerned.
    pub prefix: String,
    /// Tokens now cached of it; 0 after eviction.
    pub tokens: u32,
}

/// Cache events after number N: `GET /v1/cache-events?since=N`.
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
    /// Whether the call may be executed more than once.
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
