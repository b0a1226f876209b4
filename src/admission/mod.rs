//! Admission control: whether a request is served now, or refused with a time to return.
//!
//! When capacity is insufficient, the requests are refused whose refusal costs callers least,
//! by priority, deadline and required work. Decisions are pure; the time is an argument.

use std::time::Duration;

/// What an admission decision needs to know of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestTerms {
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Digest of its workspace, if it has one.
    pub workspace: Option<u64>,
    /// Time left for an answer, or its first event, within the latency objective.
    pub objective_left: Duration,
    /// Time until its caller gives up.
    pub time_left: Duration,
    /// Work of the request itself, in milliseconds of a target.
    pub work_ms: f64,
    /// Number from 0 to 1 that is the same for all attempts of a request and on all daemons.
    pub phase: f64,
}

/// Load of a service as seen by a request of one rank and workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityView {
    /// Expected wait for requests that are served first, in milliseconds.
    pub wait_ms: f64,
    /// Actual divided by expected time to the first event, over the last second or two.
    pub delay_ratio: f64,
    /// Share of the capacity that more urgent ranks take, 0 to 0.9.
    pub urgent_share: f64,
    /// Use of the workspace divided by its equal share among active workspaces; 1 or less is
    /// within its share.
    pub workspace_excess: f64,
}

impl Default for CapacityView {
    fn default() -> Self {
        Self {
            wait_ms: 0.0,
            delay_ratio: 1.0,
            urgent_share: 0.0,
            workspace_excess: 1.0,
        }
    }
}

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The answer would begin after the caller has given up.
    Late,
    /// The capacity goes to other requests for now.
    Yielded,
    /// The workspace uses more than its share.
    WorkspaceShare,
}

impl RefusalReason {
    /// Returns the reason's name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Yielded => "yielded",
            Self::WorkspaceShare => "workspace_share",
        }
    }
}

/// Whether a request is served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// It is served.
    Admit,
    /// It is refused and has not run.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// Time after which it has a chance to be admitted.
        retry_after: Duration,
        /// Expected time to the answer or its first event, in milliseconds.
        expected_ms: f64,
    },
}
