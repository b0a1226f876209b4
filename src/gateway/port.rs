//! Ports of the gateway: what an adapter translates between wire and gateway.
//!
//! Each is a pure function, so a plain pointer to it; connections, waits and retries are the gateway's own.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use thiserror::Error;

use crate::gateway::fleet_tasks::usage_counts::{WindowNumber, WorkspaceCounts};
use crate::gateway::model::{CallerAccess, CallerRequest, EngineStage, FleetConfig, TargetRecord};
use crate::names::{CentreName, DaemonId, FenceNumber, ServiceName, TargetId, UnixTime};
use crate::ports::{ObjectName, ObjectVersion, PlatformError, PlatformPort, PortCall};
use crate::target_incarnation::TargetIncarnation;

/// Something on the wire that cannot be read.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{field}: found {found:?}; expected {expected}")]
pub struct WireError {
    /// Field or header.
    pub field: &'static str,
    /// What stood there, shortened.
    pub found: String,
    /// What may stand there.
    pub expected: &'static str,
}

impl WireError {
    /// Creates a fault; keeps the first 80 characters of what was found.
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

/// Memory of a prompt that an engine read and keeps for another engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvCacheHandle {
    /// Engine that keeps it.
    pub holder: SocketAddr,
    /// The holder's name for it.
    pub name: String,
}

/// What a target is asked to do with a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendMode {
    /// Run it from its beginning.
    Run,
    /// Read the prompt only and keep its memory.
    ReadPrompt,
    /// Run it from the memory of a prompt read elsewhere.
    TakeOver(KvCacheHandle),
}

/// One send of a caller's request to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendOrder {
    /// Target meant; any other one at its address refuses.
    pub target: TargetIncarnation,
    /// Time the target may spend.
    pub time_left: Duration,
    /// What to do.
    pub mode: SendMode,
    /// Last event already delivered, for a stream that goes on.
    pub resume_after: Option<u64>,
    /// Engine from which cached parts of the prompt are copied first.
    pub fetch_from: Option<SocketAddr>,
    /// Rank at the engine, 0 to 9, 0 first; `None` leaves it to the engine.
    pub rank: Option<u8>,
    /// Whom it is for: targets are told the workspace, never the key.
    pub access: CallerAccess,
}

/// What an answer's head says beside its status.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerMetadata {
    /// Attempt that it answers, where it says so.
    pub request_id: Option<String>,
    /// The target states that it has not run the request.
    pub not_run: bool,
    /// The request went astray: the target that answered is another one than was meant,
    /// or does other work now. It has not run it.
    pub misdirected: bool,
    /// Name of the target that answered, where it says so.
    pub answered_by: Option<TargetId>,
    /// The answer bears the target's signature.
    pub signed: bool,
}

/// A call to a target that carries no caller's request.
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
    /// Engine meant.
    pub target: TargetIncarnation,
    /// Stage that it is to have.
    pub stage: EngineStage,
    /// Daemon that orders.
    pub holder: DaemonId,
    /// Fence of the holder's lease.
    pub fence: FenceNumber,
    /// Orders that the engine must have taken before, or it refuses.
    pub orders_accepted: u64,
}

/// What became of an order that was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// The engine is as ordered already.
    Holds,
    /// It is not carried out.
    Refused(String),
}

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Its stage.
    pub stage: Option<EngineStage>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders taken since its start.
    pub orders_accepted: u64,
    /// Its start on its own clock, where it tells it.
    pub born: Option<UnixTime>,
}

/// A caller's question which address to use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DirectoryQuery {
    /// Data centre the caller is in, or an empty name.
    pub centre: CentreName,
}

/// Translation of requests and answers.
#[derive(Clone)]
pub struct WirePort {
    /// Reads what a caller's head says.
    pub decode_caller: fn(&HeaderMap) -> Result<CallerRequest, WireError>,
    /// Makes the head of a send from the caller's head.
    pub encode_send: fn(&HeaderMap, &SendOrder) -> HeaderMap,
    /// Reads what a target's head says.
    pub decode_answer: fn(StatusCode, &HeaderMap) -> AnswerMetadata,
    /// Reads the engine's name for the memory from the answer to [`SendMode::ReadPrompt`].
    pub decode_read: fn(&[u8]) -> Result<String, WireError>,
    /// Makes the call that frees a kept prompt.
    pub release_handle: fn(&str) -> TargetQuery,
    /// Makes an order.
    pub encode_order: fn(&EngineOrder) -> TargetQuery,
    /// Reads the answer to an order.
    pub decode_order: fn(StatusCode, &[u8]) -> OrderOutcome,
    /// Makes the question for an engine's report.
    pub report_query: fn() -> TargetQuery,
    /// Reads an engine's report.
    pub decode_report: fn(&[u8]) -> Result<EngineReport, WireError>,
    /// Reads a question to the directory; `None` where the path is another one.
    pub decode_directory_query: fn(&Uri) -> Option<DirectoryQuery>,
    /// Makes the directory's answer from addresses and the time to keep them.
    pub encode_directory_answer: fn(&[SocketAddr], Duration) -> Bytes,
    /// Whether a path asks if this daemon is ready.
    pub is_ready_path: fn(&str) -> bool,
}

/// Objects of the store and what they hold.
#[derive(Clone)]
pub struct StoreSchema {
    /// Kind of the configuration.
    pub config_kind: String,
    /// Name of the configuration, the only object of its kind that counts.
    pub config_name: String,
    /// Kind of the targets' entries.
    pub target_kind: String,
    /// Kind of the daemons' records, which is the gateway's own.
    pub daemon_kind: String,
    /// Kind of the records of held work, which is the gateway's own too.
    pub held_kind: String,
    /// Reads a configuration.
    pub decode_config: fn(&[u8]) -> Result<FleetConfig, WireError>,
    /// Reads a target's entry from its name and value.
    pub decode_target: fn(&str, &[u8]) -> Result<TargetRecord, WireError>,
}

/// Who performs a duty of the whole fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetTaskHolder {
    /// The daemon.
    pub holder: DaemonId,
    /// Fence of its lease.
    pub fence: FenceNumber,
}

/// Requests that began in a window of true time, by workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReport {
    /// Number of the window.
    pub window: WindowNumber,
    /// Its requests.
    pub counts: WorkspaceCounts,
}

/// An order for so many servers of a kind, whatever there are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerOrder {
    /// Service that they offer.
    pub service: ServiceName,
    /// Where.
    pub centre: CentreName,
    /// How many.
    pub count: u32,
    /// Whether the platform may take them away with little notice.
    pub reclaimable: bool,
}

/// What became of an order for servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerOrderOutcome {
    /// It is carried out.
    Taken,
    /// There are none of the kind at present.
    NoneThere,
}

/// Calls to the platform that one daemon makes at a time.
#[derive(Clone)]
pub struct FleetTaskPort {
    /// Reports the usage of a window; an exact repeat is taken as well.
    pub report_usage: PortCall<(FleetTaskHolder, UsageReport), Result<(), PlatformError>>,
    /// Orders servers.
    pub order_servers:
        PortCall<(FleetTaskHolder, ServerOrder), Result<ServerOrderOutcome, PlatformError>>,
}

/// Everything that the gateway needs from its adapter.
#[derive(Clone)]
pub struct GatewayPorts {
    /// Requests and answers.
    pub wire: WirePort,
    /// What the store's objects mean.
    pub schema: StoreSchema,
    /// The object store.
    pub store: PlatformPort,
    /// Removes an object of the store if it has the version.
    pub remove: PortCall<(ObjectName, ObjectVersion), Result<(), PlatformError>>,
    /// Duties of one daemon at a time, where the platform asks for any.
    pub duties: Option<FleetTaskPort>,
}
