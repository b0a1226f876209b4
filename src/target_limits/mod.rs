//! Limits that targets in need put on the rate of their requests.
//!
//! A target names the limit in its answers, for all daemons together, and for as long as its
//! answers name it ([`statement`]). Limits are tracked by target incarnation ([`tracker`]),
//! and daemons tell each other of them ([`report`]). Each daemon sends only in its own turns
//! ([`turns`]), so that all daemons together keep the limit without asking each other.

pub mod message_delays;
pub mod report;
pub mod statement;
pub mod tracker;
pub mod turns;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::tracker::{LimitChange, LimitTracker};

/// A limit tracker shared by the threads of a daemon. Clones refer to the same tracker.
#[derive(Clone, Debug, Default)]
pub struct SharedLimitTracker(Arc<Mutex<LimitTracker>>);

impl SharedLimitTracker {
    /// Locks the tracker.
    pub fn lock(&self) -> MutexGuard<'_, LimitTracker> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs the start and the end of a target's limit; `source` is the daemon that reported it, or
/// `answer`.
pub fn log_change(target: &TargetIncarnation, change: Option<LimitChange>, source: &str) {
    match change {
        Some(LimitChange::Started(rate)) => {
            log::info!(target_id = target.as_str(), per_second = rate.per_second(), source = source; "target limits the rate of its requests");
        }
        Some(LimitChange::Ended) => {
            log::info!(target_id = target.as_str(), source = source; "target no longer limits the rate of its requests");
        }
        Some(LimitChange::Unreadable) => {
            log::warn!(target_id = target.as_str(); "target names a limit of its requests that is not a decimal number of 0 or more; ignoring it");
        }
        Some(LimitChange::Changed(_)) | None => {}
    }
}
