//! Admission control: whether a request is served now, or refused with a time to return.
//!
//! When capacity is insufficient, the requests are refused whose refusal costs callers least,
//! by priority, deadline and required work. Decisions are pure; the time is an argument.

pub mod load_meter;
pub mod ranked_queue;
pub mod window;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::admission::window::{AdmissionWindow, millis_of};

/// Expected wait, as a share of the longest useful wait, from which requests are refused.
const FIRST_REFUSAL_AT: f64 = 0.7;
/// Expected wait, as a share of the longest useful wait, from which no request is admitted.
const LAST_ADMISSION_AT: f64 = 1.0;
/// Part of the time left that requests may wait for even if it is longer than the objective.
const MIN_WAIT_SHARE: f64 = 1.0 / 6.0;
/// Expected wait, as a share of the longest useful wait, from which a workspace above its share gets a
/// smaller window, and from which the window is as small as its share: well below the wait at which
/// others are refused, so that the excess is refused before it affects them.
const SHARING_RANGE: (f64, f64) = (0.05, 0.35);
/// Used share of the capacity from which requests wait for less than the time left, and at which
/// they wait for their objective at most.
const USED_SHARE_RANGE: (f64, f64) = (0.85, 0.95);
/// Part of its share that a workspace leaves unused, from which all of its requests may wait for
/// the time left.
const WITHIN_SHARE_RANGE: f64 = 0.2;
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
    /// Requested work of the rank divided by what it may take so that less urgent ranks keep a
    /// tenth of the capacity each; 1 or less is within it.
    pub rank_excess: f64,
    /// Share of the rank that is admitted whatever more urgent ranks ask for: a tenth of the
    /// capacity.
    pub kept_share: f64,
    /// Work that is done per second, as a share of the known capacity of the targets.
    pub used_share: f64,
    /// Use of the workspace divided by its equal share among active workspaces; 1 or less is
    /// within its share. It is 1 while no workspace exceeds its share.
    pub workspace_excess: f64,
}

impl Default for CapacityView {
    fn default() -> Self {
        Self {
            wait_ms: 0.0,
            delay_ratio: 1.0,
            urgent_share: 0.0,
            rank_excess: 1.0,
            kept_share: 0.0,
            used_share: 1.0,
            workspace_excess: 1.0,
        }
    }
}

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
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

/// Returns the phase of work with a digest: a number from 0 to 1, below 1.
#[must_use]
pub fn phase_of(digest: &[u8; 16]) -> f64 {
    let [first, second, third, fourth, ..] = *digest;
    f64::from(u32::from_be_bytes([first, second, third, fourth])) / (f64::from(u32::MAX) + 1.0)
}

/// Decides whether a request is served now.
///
/// A request that would get its first event too late even if no other request arrived is
/// refused at once. Otherwise the share of requests that are admitted falls from 1 to 0 as the
/// expected wait rises from 0.7 of the longest useful wait to all of it; which of them are
/// admitted depends on their phase and the window. The longest useful wait is the time left
/// within the objective while the capacity is used, and the time until the caller gives up while
/// a part of it is idle. The request's own work does not count as waiting, so that the largest
/// tenth of a kind is not refused before the others.
#[must_use]
pub fn decide(
    terms: &RequestTerms,
    capacity: &CapacityView,
    window: &AdmissionWindow,
) -> AdmissionDecision {
    let time_left_ms = millis_of(terms.time_left);
    let longest_wait_ms = longest_wait(terms, capacity);
    let wait_ms = capacity.queue_wait_ms();
    let expected_wait_ms = wait_ms / (1.0 - capacity.urgent_share.clamp(0.0, MAX_URGENT_SHARE));
    let kept_share = capacity.kept_share.clamp(0.0, 1.0) * admitted_share(wait_ms, longest_wait_ms);
    let share = admitted_share(expected_wait_ms, longest_wait_ms).max(kept_share);
    let refuse = |reason, earliest_ms| AdmissionDecision::Refuse {
        reason,
        retry_after: window.retry_after(terms.phase, share, earliest_ms, terms.time_left),
        expected_ms: expected_wait_ms + terms.work_ms,
    };
    if wait_ms.max(terms.work_ms) > time_left_ms {
        return refuse(RefusalReason::Late, wait_ms - time_left_ms);
    }
    let workspace_share = sharing_share(capacity, expected_wait_ms, longest_wait_ms);
    if !window.covers_slowly(terms.phase, workspace_share) {
        return refuse(RefusalReason::WorkspaceShare, 0.0);
    }
    let rank_excess = 1.0 + (1.0 - idle_share(capacity)) * (capacity.rank_excess.max(1.0) - 1.0);
    let rank_share = workspace_share / rank_excess;
    if window.covers_slowly(terms.phase, rank_share) && window.covers(terms.phase, share) {
        return AdmissionDecision::Admit;
    }
    refuse(RefusalReason::Yielded, expected_wait_ms - longest_wait_ms)
}

impl CapacityView {
    // Wait if no other request arrived, corrected by the error of recent expectations. The
    // square root is used because the ratio contains the delay by more urgent requests, which
    // the urgent share corrects too; with the ratio itself, daemons with information 1.5 s old
    // refused so much that targets were idle. A value that is not a number counts as unknown.
    fn queue_wait_ms(&self) -> f64 {
        let (min, max) = DELAY_RATIO_RANGE;
        let delay_ratio = self.delay_ratio.max(min).min(max);
        self.wait_ms.max(0.0) * delay_ratio.sqrt()
    }
}

// Returns the longest wait for which requests are admitted, in milliseconds: up to the objective
// while the capacity is used, or else up to the time left. Expected waits that are long although
// targets are idle come from old information about their load. A workspace within its share while
// others exceed theirs may wait as long: the others are to be refused.
fn longest_wait(terms: &RequestTerms, capacity: &CapacityView) -> f64 {
    let time_left_ms = millis_of(terms.time_left);
    let objective_ms = millis_of(terms.objective_left)
        .max(time_left_ms * MIN_WAIT_SHARE)
        .min(time_left_ms);
    let within_share = (1.0 - capacity.workspace_excess) / WITHIN_SHARE_RANGE;
    let longer = idle_share(capacity).max(within_share.clamp(0.0, 1.0));
    objective_ms + longer * (time_left_ms - objective_ms)
}

// Returns 0 if the capacity is used, 1 if a part of it is idle.
fn idle_share(capacity: &CapacityView) -> f64 {
    let (from, to) = USED_SHARE_RANGE;
    ((to - capacity.used_share) / (to - from)).clamp(0.0, 1.0)
}

fn admitted_share(expected_wait_ms: f64, longest_wait_ms: f64) -> f64 {
    let admitted = LAST_ADMISSION_AT * longest_wait_ms - expected_wait_ms;
    let range = (LAST_ADMISSION_AT - FIRST_REFUSAL_AT) * longest_wait_ms;
    (admitted / range.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
}

// Returns the share of the requests of a workspace that are not refused for using too much.
fn sharing_share(capacity: &CapacityView, expected_wait_ms: f64, longest_wait_ms: f64) -> f64 {
    let excess = capacity.workspace_excess.max(1.0);
    let (from, to) = SHARING_RANGE;
    let start_ms = from * longest_wait_ms;
    let range_ms = (to - from) * longest_wait_ms;
    let pressure = (expected_wait_ms - start_ms) / range_ms.max(f64::MIN_POSITIVE);
    1.0 - pressure.clamp(0.0, 1.0) * (1.0 - 1.0 / excess)
}
