//! Data model of the gateway: routes, services, targets and requests.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::access_key::KeyDigest;
use crate::names::{CentreName, ServiceName, SoftwareVersion, WorkspaceName};
use crate::target_incarnation::TargetIncarnation;

/// Whether and how requests of a route may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryRule {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// A request may run at most once; its answer is a stream of numbered events.
    Stream,
    /// The answer is a stream that another target can resume after its last event.
    ResumableStream,
}

impl RetryRule {
    /// Returns whether a request may be retried although an earlier send may have run.
    #[must_use]
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether answers are streams of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Weight among the route's shares.
    pub weight: u32,
}

/// How requests of one host and path prefix are handled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// Name for logs and metrics.
    pub name: String,
    /// Value of the Host header, in lower case.
    pub host: String,
    /// Prefix of the path, beginning and ending with a slash.
    pub path_prefix: String,
    /// Whether requests may be retried.
    pub retry: RetryRule,
    /// Maximum time for a request, from its arrival to the end of its answer.
    pub time_limit: Duration,
    /// Latency objective of an answer, or of its first event.
    pub objective: Duration,
    /// Latency objective of the time between two events of a stream.
    pub gap_objective: Option<Duration>,
    /// Rank of the requests; 0 is the most urgent.
    pub urgency: u8,
    /// Maximum number of targets that one attempt of a caller may be sent to.
    pub max_targets: u32,
    /// Services that requests are split between.
    pub shares: Vec<ServiceShare>,
    /// Whether callers need no key even if the configuration names workspaces.
    pub public: bool,
}

/// A workspace and the keys that identify its callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkspaceRule {
    /// Its name, which is sent to targets.
    pub name: WorkspaceName,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, overriding that of their routes; 0 is the most urgent.
    pub urgency: Option<u8>,
}

/// On whose behalf a request is served, determined from its key on arrival.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum CallerAccess {
    /// The configuration names no workspaces; keys are ignored.
    #[default]
    Open,
    /// The route requires no key.
    Public,
    /// The key belongs to a workspace.
    Workspace {
        /// The workspace.
        name: WorkspaceName,
        /// Digest of the key.
        key: KeyDigest,
    },
}

/// Capacity of the model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineLimits {
    /// Maximum number of concurrent requests on one engine.
    pub slots: u32,
    /// KV cache capacity of one engine, in tokens.
    pub cache_tokens: u64,
}

impl EngineLimits {
    /// Returns the share of an engine that a running request occupies: of its slots or of its
    /// KV cache, whichever is larger.
    #[must_use]
    pub fn occupied_share(&self, prompt_tokens: u32) -> f64 {
        let of_slots = 1.0 / f64::from(self.slots.max(1));
        let of_cache = f64::from(prompt_tokens) / self.cache_tokens.max(1) as f64;
        of_slots.max(of_cache).min(1.0)
    }
}

/// A service that targets offer.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name that routes and targets refer to.
    pub name: ServiceName,
    /// Maximum number of connections that one target accepts in total.
    pub max_connections: u32,
    /// Set where the targets are model engines.
    pub engine: Option<EngineLimits>,
    /// Set where targets may be ordered from the platform.
    pub scaling: Option<ScalingRule>,
}

/// How many targets of a service may be ordered, and at what price.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingRule {
    /// Minimum number in a data centre.
    pub min_per_centre: u32,
    /// Maximum number in a data centre, reclaimable ones included.
    pub max_per_centre: u32,
    /// Time from the order until a target serves requests.
    pub boot_time: Duration,
    /// Price of a reclaimable target relative to an on-demand one; `None` where there are
    /// no reclaimable ones.
    pub reclaimable_price: Option<f64>,
    /// Price of a target by data centre.
    pub centre_prices: IndexMap<CentreName, f64>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request's head.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body.
    pub max_body_bytes: usize,
    /// Maximum time for the head of a request to arrive.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// One complete version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Increases with each change, not always by one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Services.
    pub services: Vec<ServiceRule>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Workspaces; `None` where callers need no keys.
    pub workspaces: Option<Vec<WorkspaceRule>>,
}

/// Stage of request processing that a model engine serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineStage {
    /// Prefills prompts for decode engines.
    Prefill,
    /// Generates tokens, and prefills prompts more slowly alongside.
    Decode,
}

impl EngineStage {
    /// Returns the stage's name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}

/// A target as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRecord {
    /// Incarnation of the target that wrote the entry.
    pub id: TargetIncarnation,
    /// Service that it offers.
    pub service: ServiceName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub centre: CentreName,
    /// Version of its software. Targets of several versions may offer one service.
    pub software: SoftwareVersion,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it announced that it is leaving.
    pub leaving: bool,
    /// Stage that it serves; `None` for targets that are no model engines.
    pub stage: Option<EngineStage>,
    /// Whether the platform may reclaim it at short notice.
    pub reclaimable: bool,
}

/// One part of a prompt. Parts that requests have in common come first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Hash of the part's identity.
    pub key: u64,
    /// Number of its tokens.
    pub tokens: u32,
}

/// Model, prompt parts and output limit of a generation request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptShape {
    /// Requested model.
    pub model: String,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub output_tokens: u32,
    /// Parts in order; the last belongs to this request or its session.
    pub parts: Vec<PromptPart>,
}

/// Data from the head of a caller's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerRequest {
    /// Identifier of this attempt.
    pub id: String,
    /// Time that the caller still waits for the answer.
    pub timeout: Option<Duration>,
    /// Set for generation requests.
    pub prompt: Option<PromptShape>,
    /// Last event that the caller already has of a stream that it resumes.
    pub resume_after: Option<u64>,
    /// Identifier of the attempt that brought the first event of that stream.
    pub resumed: Option<String>,
    /// Digest of the caller's key; `None` if it sent none, or more than one.
    pub key: Option<KeyDigest>,
}

impl CallerRequest {
    /// Returns whether the caller has events of the stream that it asks for.
    #[must_use]
    pub fn takes_up_stream(&self) -> bool {
        self.resume_after.is_some() || self.resumed.is_some()
    }
}
