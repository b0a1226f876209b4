//! Messages about tickets between daemons.

use serde::{Deserialize, Serialize};

use crate::admission::RefusalReason;
use crate::crashes::suspect_digest::SuspectDigest;
use crate::gateway::plain_queue::owner::{TicketAnswer, TicketEnd, TicketId, TicketTerms};
use crate::names::{DaemonId, ServiceName};
use crate::target_incarnation::TargetIncarnation;

/// Longest time of a request that is accepted from another daemon, in milliseconds.
const MAX_TAKEN_MS: f64 = 60_000.0;

/// A message about one ticket.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TicketMessage {
    /// Daemon that needs the ticket.
    pub from: DaemonId,
    /// Its incarnation, as in its record in the store.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the ticket within that incarnation.
    pub number: u64,
    /// Service that the ticket is for.
    pub service: ServiceName,
    /// Hub that forwarded the request, and forwards the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hub: Option<DaemonId>,
    /// Contents.
    pub body: TicketBody,
}

impl TicketMessage {
    /// Returns the identity of the ticket.
    #[must_use]
    pub fn id(&self) -> TicketId {
        TicketId {
            daemon: self.from.clone(),
            incarnation: self.incarnation,
            number: self.number,
        }
    }
}

/// Contents of a message about a ticket.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum TicketBody {
    /// Asks the queue owner for a ticket, or renews the request.
    Request(TicketRequest),
    /// Answer: the request may be sent to this target.
    Granted(TargetIncarnation),
    /// Answer: the request waits.
    Queued,
    /// Answer: the request is refused.
    Refused(TicketRefusal),
    /// The ticket ended: the time of the answer in milliseconds, if there was one.
    Ended(Option<f64>),
    /// The ticket ended, as its target is full.
    Full,
}

/// Terms of a request for a ticket.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TicketRequest {
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Digest of its work.
    pub work: SuspectDigest,
    /// Milliseconds left until the latency objective is missed.
    pub objective_left_ms: u32,
    /// Milliseconds left until the deadline.
    pub time_left_ms: u32,
    /// Time limit of the route, in milliseconds.
    pub time_limit_ms: u32,
    /// Targets that the daemon excludes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub excluded: Vec<TargetIncarnation>,
    /// Lowest number of the daemon's tickets that have not ended.
    pub oldest: u64,
}

/// Refusal of a request for a ticket.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TicketRefusal {
    /// Name of the reason.
    pub reason: String,
    /// Milliseconds after which to return.
    pub retry_after_ms: u32,
    /// Expected time to the answer, in milliseconds.
    pub expected_ms: f64,
}

impl From<&TicketRequest> for TicketTerms {
    fn from(request: &TicketRequest) -> Self {
        let time = |ms: u32| std::time::Duration::from_millis(u64::from(ms));
        Self {
            rank: request.rank,
            work: request.work,
            objective_left: time(request.objective_left_ms),
            time_left: time(request.time_left_ms),
            time_limit: time(request.time_limit_ms),
            excluded: request.excluded.clone(),
        }
    }
}

impl From<TicketAnswer> for TicketBody {
    fn from(answer: TicketAnswer) -> Self {
        match answer {
            TicketAnswer::Granted(target) => Self::Granted(target),
            TicketAnswer::Queued => Self::Queued,
            TicketAnswer::Refused {
                reason,
                retry_after,
                expected_ms,
            } => Self::Refused(TicketRefusal {
                reason: reason.as_str().to_owned(),
                retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
                expected_ms,
            }),
        }
    }
}

impl From<TicketEnd> for TicketBody {
    fn from(end: TicketEnd) -> Self {
        match end {
            TicketEnd::Answered(taken_ms) => Self::Ended(Some(taken_ms)),
            TicketEnd::Other => Self::Ended(None),
            TicketEnd::Full => Self::Full,
        }
    }
}

impl TicketBody {
    /// Returns how the ticket ended, if the message states it.
    #[must_use]
    pub fn end(&self) -> Option<TicketEnd> {
        match self {
            Self::Ended(Some(taken_ms)) if taken_ms.is_finite() && *taken_ms >= 0.0 => {
                Some(TicketEnd::Answered(taken_ms.min(MAX_TAKEN_MS)))
            }
            Self::Ended(_) => Some(TicketEnd::Other),
            Self::Full => Some(TicketEnd::Full),
            _ => None,
        }
    }

    /// Returns the answer to a request, if the message is one.
    #[must_use]
    pub fn answer(self) -> Option<TicketAnswer> {
        match self {
            Self::Granted(target) => Some(TicketAnswer::Granted(target)),
            Self::Queued => Some(TicketAnswer::Queued),
            Self::Refused(refusal) => {
                let reasons = [
                    RefusalReason::Late,
                    RefusalReason::Yielded,
                    RefusalReason::WorkspaceShare,
                ];
                let known = reasons.into_iter().find(|r| r.as_str() == refusal.reason);
                Some(TicketAnswer::Refused {
                    reason: known.unwrap_or(RefusalReason::Yielded),
                    retry_after: std::time::Duration::from_millis(u64::from(
                        refusal.retry_after_ms,
                    )),
                    expected_ms: refusal.expected_ms,
                })
            }
            Self::Request(_) | Self::Ended(_) | Self::Full => None,
        }
    }
}
