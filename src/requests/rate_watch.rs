//! Records the limits that targets' answers put on the rate of their requests.

use std::sync::{Arc, OnceLock};

use crate::clock;
use crate::control::snapshot::SnapshotCell;
use crate::names::MonoTime;
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::statement::RateStatement;
use crate::target_limits::{SharedLimitTracker, log_change};
use crate::targets::call::RateObserver;

/// Passes what answers state to the tracker of limits. Clones refer to the same tracker.
#[derive(Clone, Default)]
pub struct RateWatch {
    limits: SharedLimitTracker,
    // Set once the control thread runs, which itself sends requests to targets.
    snapshot: Arc<OnceLock<SnapshotCell>>,
}

impl RateWatch {
    /// Creates a watch that records in `limits`, and nothing until it is connected.
    #[must_use]
    pub fn new(limits: SharedLimitTracker) -> Self {
        Self {
            limits,
            snapshot: Arc::default(),
        }
    }

    /// Sets the cell in which the targets are looked up.
    pub fn connect(&self, snapshot: SnapshotCell) {
        // Set only here; a failure would mean that this line ran twice.
        let _ = self.snapshot.set(snapshot);
    }

    /// Returns the observer for clients of targets.
    #[must_use]
    pub fn observer(&self) -> RateObserver {
        let watch = self.clone();
        Arc::new(move |address, statement, sent| watch.note(address, statement, sent))
    }

    fn note(&self, address: &str, statement: &RateStatement, sent: MonoTime) {
        let names_none = *statement == RateStatement::Unlimited;
        if names_none && self.limits.lock().count() == 0 {
            return;
        }
        let Some(target) = self.target_at(address) else {
            return;
        };
        let now = clock::mono_now();
        let change = self
            .limits
            .lock()
            .note_answer(&target, statement, sent, now);
        log_change(&target, change, "answer");
    }

    fn target_at(&self, address: &str) -> Option<TargetIncarnation> {
        let snapshot = self.snapshot.get()?.load();
        let mut targets = snapshot.fleet.targets.values();
        let target = targets.find(|target| target.address == address)?;
        Some(target.incarnation())
    }
}
