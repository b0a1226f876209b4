//! Ports of the gateway: functions of an adapter that translate between wire and gateway.
//!
//! Encoding and decoding are pure functions, so plain function pointers suffice. Connections,
//! timeouts and retries are handled by the gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use thiserror::Error;

use crate::gateway::fleet_tasks::usage_counts::{WindowNumber, WorkspaceCounts};
use crate::gateway::model::{
    CallerAccess, CallerRequest, EngineStage, FleetConfig, PromptPart, TargetRecord,
};
use crate::names::{CentreName, DaemonId, FenceNumber, MonoTime, ServiceName, TargetId, UnixTime};
use crate::ports::{ObjectName, ObjectVersion, PlatformError, PlatformPort, PortCall};
use crate::target_incarnation::TargetIncarnation;
use crate::target_statements::TargetStatement;

/// A value on the wire that cannot be decoded.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{field}: found {found:?}; expected {expected}")]
pub struct WireError {
    /// Name of the field or header.
    pub field: &'static str,
    /// Value found, truncated.
    pub found: String,
    /// Values that are allowed.
    pub expected: &'static str,
}

impl WireError {
    /// Creates an error; keeps the first 80 characters of the value found.
    #[must_use]
    pub fn new(field: &'static str, found: &str, expected: &'static str) -> Self {
        let found = found.chars().take(80).collect();
        Self {
            field,
            found,
            expected,
        }
    }
}

/// KV cache of a prompt that one engine has prefilled and keeps for another engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvCacheHandle {
    /// Address of the engine that keeps it.
    pub holder: SocketAddr,
    /// Name that the holder gave it.
    pub name: String,
}

/// How a target is to process a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendMode {
    /// Run it from its beginning.
    Run,
    /// Prefill the prompt only and keep its KV cache.
    Prefill,
    /// Generate from the KV cache of a prompt that was prefilled on another engine.
    DecodeFrom(KvCacheHandle),
}

/// Kind of a request that a target answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// A caller's request.
    Run,
    /// A caller's prompt, to be prefilled for another engine.
    Prefill,
    /// A query or an order of this daemon.
    Query,
}

impl RequestKind {
    /// Returns the name of the kind in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::Prefill => "prefill",
            Self::Query => "query",
        }
    }
}

impl From<&SendMode> for RequestKind {
    fn from(mode: &SendMode) -> Self {
        match mode {
            SendMode::Run | SendMode::DecodeFrom(_) => Self::Run,
            SendMode::Prefill => Self::Prefill,
        }
    }
}

/// One send of a caller's request to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendOrder {
    /// Intended target; another one at its address refuses the request.
    pub target: TargetIncarnation,
    /// Time the target may spend.
    pub time_left: Duration,
    /// How to process it.
    pub mode: SendMode,
    /// Number of the last event already delivered, for a stream that is resumed.
    pub resume_after: Option<u64>,
    /// Engine from which cached prompt parts are copied before the prefill.
    pub fetch_from: Option<SocketAddr>,
    /// Priority at the engine, 0 (first) to 9; `None` leaves it to the engine.
    pub rank: Option<u8>,
    /// Caller's workspace and key; targets receive the workspace, never the key.
    pub access: CallerAccess,
}

/// Metadata in the head of a target's answer, beside the status.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMetadata {
    /// Attempt that it answers, if stated.
    pub request_id: Option<String>,
    /// Whether the target states that it has not run the request.
    pub not_run: bool,
    /// Whether the request was misdirected: the target that answered is not the intended
    /// one, or does other work now. It has not run the request.
    pub misdirected: bool,
    /// Name of the target that answered, if stated.
    pub answered_by: Option<TargetId>,
    /// Whether the answer carries the target's signature.
    pub signed: bool,
    /// What the target states about itself.
    pub statement: TargetStatement,
}

impl AnswerMetadata {
    /// Returns whether the answer may be of a target: it names no other one.
    #[must_use]
    pub fn may_be_of(&self, target: &TargetIncarnation) -> bool {
        let by = self.answered_by.as_ref();
        by.is_none_or(|by| by == target.name())
    }
}

/// An HTTP call to a target that does not carry a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetQuery {
    /// HTTP method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// An order to an engine to change its stage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineOrder {
    /// Intended engine.
    pub target: TargetIncarnation,
    /// New stage of the engine.
    pub stage: EngineStage,
    /// Daemon that sends the order.
    pub holder: DaemonId,
    /// Fencing token of the holder's lease.
    pub fence: FenceNumber,
    /// Number of orders that the engine must have accepted before; otherwise it refuses.
    pub orders_accepted: u64,
}

/// Outcome of an order that was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// The engine already is in the ordered stage.
    Holds,
    /// It is not carried out.
    Refused(String),
}

/// Status report of an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Its stage.
    pub stage: Option<EngineStage>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Number of orders accepted since its start.
    pub orders_accepted: u64,
    /// Start time on its own clock, if reported.
    pub started_at: Option<UnixTime>,
}

/// A caller's query for the addresses to use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DirectoryQuery {
    /// Data centre of the caller, or an empty name.
    pub centre: CentreName,
}

/// Encoding and decoding of requests and answers.
#[derive(Clone)]
pub struct WirePort {
    /// Decodes the headers of a caller's request.
    pub decode_caller: fn(&HeaderMap) -> Result<CallerRequest, WireError>,
    /// Builds the headers of a send from the caller's headers.
    pub encode_send: fn(&HeaderMap, &SendOrder) -> HeaderMap,
    /// Builds the headers of a request that is handed over to another daemon from the caller's
    /// headers, the time left and the number of the last event already delivered.
    pub encode_handover: fn(&HeaderMap, Duration, Option<u64>) -> HeaderMap,
    /// Decodes the head of a target's answer.
    pub decode_answer: fn(StatusCode, &HeaderMap) -> AnswerMetadata,
    /// Decodes the name of the kept KV cache from the answer to [`SendMode::Prefill`].
    pub decode_prefill: fn(&[u8]) -> Result<String, WireError>,
    /// Builds the call that frees a kept KV cache.
    pub release_handle: fn(&str) -> TargetQuery,
    /// Builds the call that carries an order.
    pub encode_order: fn(&EngineOrder) -> TargetQuery,
    /// Decodes the answer to an order.
    pub decode_order: fn(StatusCode, &[u8]) -> OrderOutcome,
    /// Builds the call that requests an engine's report.
    pub report_query: fn() -> TargetQuery,
    /// Decodes an engine's report.
    pub decode_report: fn(&[u8]) -> Result<EngineReport, WireError>,
    /// Builds the call that lists the prompt parts that an engine caches.
    pub cache_list_query: fn() -> TargetQuery,
    /// Decodes that list.
    pub decode_cache_list: fn(&[u8]) -> Result<Vec<PromptPart>, WireError>,
    /// Decodes a directory query; `None` when the path is a different one.
    pub decode_directory_query: fn(&Uri) -> Option<DirectoryQuery>,
    /// Encodes the directory's answer from addresses and the time to cache them.
    pub encode_directory_answer: fn(&[SocketAddr], Duration) -> Bytes,
    /// Returns whether a path is that of the readiness check.
    pub is_ready_path: fn(&str) -> bool,
}

/// Kinds of objects in the store, and their decoding.
#[derive(Clone)]
pub struct StoreSchema {
    /// Kind of the configuration.
    pub config_kind: String,
    /// Name of the configuration, the only object of its kind that is used.
    pub config_name: String,
    /// Kind of the targets' entries.
    pub target_kind: String,
    /// Kind of the daemons' records, which only the gateway uses.
    pub daemon_kind: String,
    /// Kind of the records of quarantined work, which only the gateway uses.
    pub quarantine_kind: String,
    /// Decodes a configuration.
    pub decode_config: fn(&[u8]) -> Result<FleetConfig, WireError>,
    /// Decodes a target's entry from its name and value.
    pub decode_target: fn(&str, &[u8]) -> Result<TargetRecord, WireError>,
}

/// Daemon that performs a fleet task, and its authority.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetTaskHolder {
    /// The daemon.
    pub holder: DaemonId,
    /// Fencing token of its lease.
    pub fence: FenceNumber,
    /// Local time at which a call made under the lease has to be given up.
    pub deadline: MonoTime,
}

/// Requests that started in a window of fleet time, counted by workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReport {
    /// Number of the window.
    pub window: WindowNumber,
    /// Request counts of the window.
    pub counts: WorkspaceCounts,
}

/// An order that sets the total number of servers of a kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerOrder {
    /// Service that the servers offer.
    pub service: ServiceName,
    /// Data centre of the servers.
    pub centre: CentreName,
    /// Total number ordered.
    pub count: u32,
    /// Whether the platform may reclaim them at short notice.
    pub reclaimable: bool,
}

/// Outcome of an order for servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerOrderOutcome {
    /// The platform carries it out.
    Taken,
    /// No servers of the kind are available at present.
    NoneThere,
}

/// Calls to the platform that only one daemon may make at a time.
#[derive(Clone)]
pub struct FleetTaskPort {
    /// Reports the usage of a window; an identical retry is accepted as well.
    pub report_usage: PortCall<(FleetTaskHolder, UsageReport), Result<(), PlatformError>>,
    /// Orders servers.
    pub order_servers:
        PortCall<(FleetTaskHolder, ServerOrder), Result<ServerOrderOutcome, PlatformError>>,
}

/// Returns the newest era of the store, `None` before its first answer.
pub type StoreEra = Arc<dyn Fn() -> Option<u64> + Send + Sync>;

/// All ports that the gateway needs from its adapter.
#[derive(Clone)]
pub struct GatewayPorts {
    /// Encoding and decoding of requests and answers.
    pub wire: WirePort,
    /// Kinds of objects in the store, and their decoding.
    pub schema: StoreSchema,
    /// The object store.
    pub store: PlatformPort,
    /// Returns the newest era of the store that any of its answers has named.
    pub store_era: StoreEra,
    /// Deletes an object of the store if it has the given version.
    pub remove: PortCall<(ObjectName, ObjectVersion), Result<(), PlatformError>>,
    /// Tasks that one daemon performs for the fleet, if the platform requires any.
    pub fleet_tasks: Option<FleetTaskPort>,
}
