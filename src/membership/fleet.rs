//! The fleet as one daemon sees it: targets, daemons and their states.

use indexmap::IndexMap;

use crate::names::{
    CentreName, DaemonId, MonoTime, ProcessIncarnation, ServiceName, TargetId, UnixTime,
};
use crate::store::wire::InstanceKind;
use crate::target_incarnation::TargetIncarnation;
use crate::targets::wire::EngineRole;

/// Whether a daemon or target may receive new work. Later variants win when views are
/// merged.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum UseState {
    /// Receives new work.
    #[default]
    Live,
    /// Calls from this daemon to the target failed, or a linked daemon was out of contact.
    Suspect,
    /// Out of use by an operator's hold or for a planned change.
    Drained,
    /// About to leave, as reported by the platform or by itself.
    Leaving,
    /// No longer in the instance list.
    Gone,
}

impl UseState {
    /// Returns the state's name in status answers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Drained => "drained",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }
}

/// A target's load report; its age counts from `taken_at`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Incarnation of the target's process.
    pub incarnation: ProcessIncarnation,
    /// Version of its software; empty if it states none.
    pub software: String,
    /// Role in force.
    pub role: EngineRole,
    /// Whether a change is under way.
    pub changing: bool,
    /// Models loaded, as in [`crate::targets::wire::EngineState::models`].
    pub models: Vec<String>,
    /// Streams running and waiting.
    pub in_flight: u32,
    /// Prompt tokens still to be prefilled.
    pub prefill_backlog_tokens: u64,
    /// Maximum number of output tokens of accepted requests that are still to be
    /// generated.
    pub decode_backlog_tokens: u64,
    /// KV cache in use, in tokens.
    pub kv_used_tokens: u64,
    /// Limit of the KV cache, in tokens.
    pub kv_limit_tokens: u64,
    /// When the target took the report, on this daemon's clock.
    pub taken_at: MonoTime,
}

/// A target as this daemon sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetView {
    /// Name.
    pub id: TargetId,
    /// Engine or service.
    pub kind: InstanceKind,
    /// IP address and port.
    pub address: String,
    /// Data centre it runs in.
    pub data_centre: CentreName,
    /// Service offered, for plain services.
    pub service: Option<ServiceName>,
    /// Whether it refuses orders with an old fence.
    pub checks_fence: bool,
    /// Whether it may receive new work.
    pub state: UseState,
    /// Newest load report.
    pub report: Option<LoadReport>,
}

impl TargetView {
    /// Returns the target's incarnation, as far as it reports one.
    #[must_use]
    pub fn incarnation(&self) -> TargetIncarnation {
        let reported = self.report.as_ref().map(|report| report.incarnation);
        let started_at = reported.map(|incarnation| UnixTime(incarnation.0));
        TargetIncarnation::new(self.id.clone(), started_at)
    }
}

/// A daemon as this daemon sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DaemonView {
    /// Name.
    pub id: DaemonId,
    /// Address for callers.
    pub address: String,
    /// Address for peers.
    pub peer_address: String,
    /// Data centre it runs in.
    pub data_centre: CentreName,
    /// Incarnation of its process; zero while unknown.
    pub incarnation: ProcessIncarnation,
    /// Whether callers may be given its address.
    pub state: UseState,
}

/// The fleet as one daemon sees it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetView {
    /// Version, which rises with each change.
    pub version: u64,
    /// Targets by name.
    pub targets: IndexMap<TargetId, TargetView>,
    /// Daemons by name.
    pub daemons: IndexMap<DaemonId, DaemonView>,
}
