//! Admission control: whether a request is served now, or refused with a time to return.
//!
//! When capacity is insufficient, the requests are refused whose refusal costs callers least,
//! by priority, deadline and required work. Decisions are pure; the time is an argument.

pub mod ranked_queue;
pub mod window;

use std::time::Duration;

use crate::admission::window::{AdmissionWindow, millis_of};

/// Expected wait, as a share of the time left, from which requests are refused.
const FIRST_REFUSAL_AT: f64 = 0.7;
/// Expected wait, as a share of the time left, from which no request is admitted.
const LAST_ADMISSION_AT: f64 = 1.2;
/// Expected wait, as a share of the time left, from which a workspace above its share gets a
/// smaller window: half of the wait at which others are refused, so that the excess is refused
/// before it affects them.
const FIRST_SHARING_AT: f64 = 0.35;
/// Bounds of the ratio of actual to expected times.
const DELAY_RATIO_RANGE: (f64, f64) = (1.0, 8.0);
/// Largest share of the capacity that more urgent ranks take: every rank keeps a tenth.
const MAX_URGENT_SHARE: f64 = 0.9;

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

/// Decides whether a request is served now.
///
/// A request that would get its first event too late even if no other request arrived is
/// refused at once. Otherwise the share of requests that are admitted falls from 1 to 0 as the
/// expected wait rises from 0.7 to 1.2 of the time left; which of them are admitted depends on
/// their phase and the window. The request's own work does not count as waiting, so that the
/// largest tenth of a kind is not refused before the others.
#[must_use]
pub fn decide(
    terms: &RequestTerms,
    capacity: &CapacityView,
    window: &AdmissionWindow,
) -> AdmissionDecision {
    let time_left_ms = millis_of(terms.time_left);
    let wait_ms = capacity.queue_wait_ms();
    let expected_wait_ms = wait_ms / (1.0 - capacity.urgent_share.clamp(0.0, MAX_URGENT_SHARE));
    let fair_share = admitted_share(expected_wait_ms, time_left_ms);
    let share = fair_share * sharing_factor(capacity, expected_wait_ms, time_left_ms);
    let refuse = |reason, earliest_ms| AdmissionDecision::Refuse {
        reason,
        retry_after: window.retry_after(terms.phase, share, earliest_ms, terms.time_left),
        expected_ms: expected_wait_ms + terms.work_ms,
    };
    if wait_ms.max(terms.work_ms) > time_left_ms {
        return refuse(RefusalReason::Late, wait_ms - time_left_ms);
    }
    if window.covers(terms.phase, share) {
        return AdmissionDecision::Admit;
    }
    let reason = if window.covers(terms.phase, fair_share) {
        RefusalReason::WorkspaceShare
    } else {
        RefusalReason::Yielded
    };
    refuse(reason, expected_wait_ms - time_left_ms)
}

impl CapacityView {
    // Wait if no other request arrived, corrected by the error of recent expectations. A value
    // that is not a number (a peer may send one) counts as unknown.
    fn queue_wait_ms(&self) -> f64 {
        let (min, max) = DELAY_RATIO_RANGE;
        let delay_ratio = self.delay_ratio.max(min).min(max);
        self.wait_ms.max(0.0) * delay_ratio
    }
}

fn admitted_share(expected_wait_ms: f64, time_left_ms: f64) -> f64 {
    let admitted = LAST_ADMISSION_AT * time_left_ms - expected_wait_ms;
    let range = (LAST_ADMISSION_AT - FIRST_REFUSAL_AT) * time_left_ms;
    (admitted / range.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
}

// Returns the factor by which the window of a workspace above its share is smaller.
fn sharing_factor(capacity: &CapacityView, expected_wait_ms: f64, time_left_ms: f64) -> f64 {
    let excess = capacity.workspace_excess.max(1.0);
    let start_ms = FIRST_SHARING_AT * time_left_ms;
    let range_ms = (FIRST_REFUSAL_AT - FIRST_SHARING_AT) * time_left_ms;
    let pressure = (expected_wait_ms - start_ms) / range_ms.max(f64::MIN_POSITIVE);
    1.0 - pressure.clamp(0.0, 1.0) * (1.0 - 1.0 / excess)
}
