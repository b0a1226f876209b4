//! What the gateway knows of routes, services, targets and requests, in its own words.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::access_key::KeyDigest;
use crate::names::{CentreName, ServiceName, WorkspaceName};
use crate::target_incarnation::TargetIncarnation;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryRule {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// The answer is a stream of numbered events that may run at most once.
    Stream,
    /// The answer is a stream that another target may continue after its last event.
    ResumableStream,
}

impl RetryRule {
    /// Whether a request may be sent again although an earlier send may have run.
    #[must_use]
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether answers are streams of events.
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
    /// Host that callers name, in lower case.
    pub host: String,
    /// Prefix of the path, beginning and ending with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub repeat: RetryRule,
    /// Longest time for a request, from its arrival to its final answer.
    pub time_limit: Duration,
    /// Time within which an answer, or its first event, is worth most.
    pub objective: Duration,
    /// Longest pause between two events for a stream to count as on time.
    pub gap_objective: Option<Duration>,
    /// Rank among the routes; 0 is the most urgent.
    pub urgency: u8,
    /// Most targets that one attempt of a caller may be sent to.
    pub max_targets: u32,
    /// Services that share the requests.
    pub shares: Vec<ServiceShare>,
    /// Whether callers need no key, also where the configuration names workspaces.
    pub public: bool,
}

/// A workspace and the keys by which its callers are known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkspaceRule {
    /// Its name, which targets are told.
    pub name: WorkspaceName,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests in place of their routes' rank; 0 is the most urgent.
    pub urgency: Option<u8>,
}

/// Who a request is for, as its key showed when it arrived.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum CallerAccess {
    /// The configuration names no workspaces; keys mean nothing.
    #[default]
    Open,
    /// The route asks for no key.
    Public,
    /// The key belongs to a workspace.
    Workspace {
        /// The workspace.
        name: WorkspaceName,
        /// Digest of the key.
        key: KeyDigest,
    },
}

/// What model engines of a service can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineLimits {
    /// Requests that run at once on one engine.
    pub slots: u32,
    /// Tokens of KV cache on one engine.
    pub cache_tokens: u64,
}

/// A service that targets offer.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name that routes and targets refer to.
    pub name: ServiceName,
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// Set where the targets are model engines.
    pub engine: Option<EngineLimits>,
    /// Set where targets may be ordered.
    pub scaling: Option<ScalingRule>,
}

/// How many targets of a service may be ordered, and what they cost.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingRule {
    /// Fewest in a data centre.
    pub fewest: u32,
    /// Most in a data centre, both kinds together.
    pub most: u32,
    /// Time from the order to the first work.
    pub boot: Duration,
    /// Price of one that may be reclaimed, against one that stays; `None` where there
    /// are none.
    pub reclaimable_price: Option<f64>,
    /// Price of a target by data centre.
    pub centre_prices: IndexMap<CentreName, f64>,
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for the head of a request to arrive.
    pub header_timeout: Duration,
    /// Time a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// One version of the configuration, whole.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Grows with each change, in uneven steps.
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

/// The part a model engine plays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineStage {
    /// Reads prompts for other engines.
    Prefill,
    /// Generates tokens, and reads prompts slowly beside it.
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
    /// Life of the target that the entry is of.
    pub id: TargetIncarnation,
    /// Service it offers.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub centre: CentreName,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it announced that it leaves.
    pub leaving: bool,
    /// Part it plays; `None` for plain services.
    pub stage: Option<EngineStage>,
    /// Whether the platform may take it away with little notice.
    pub reclaimable: bool,
}

/// One part of a prompt. Parts that several requests share come first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Hash of the part's identity.
    pub key: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What a generation request says of its prompt and output.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptShape {
    /// Model asked for.
    pub model: String,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub output_tokens: u32,
    /// Parts in order; the last belongs to this request or its session.
    pub parts: Vec<PromptPart>,
}

/// What the gateway reads from a caller's request head.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerRequest {
    /// Identity of this attempt.
    pub id: String,
    /// How long the caller still waits.
    pub patience: Option<Duration>,
    /// Set for generation requests.
    pub prompt: Option<PromptShape>,
    /// Last event the caller already has of a stream it resumes.
    pub resume_after: Option<u64>,
    /// Digest of the caller's key; `None` where it shows none, or more than one.
    pub key: Option<KeyDigest>,
}
