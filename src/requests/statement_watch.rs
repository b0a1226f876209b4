//! Applies what targets state about themselves in their answers.

use std::sync::{Arc, OnceLock};

use crate::clock;
use crate::control::{ControlEvent, ControlHandle};
use crate::names::MonoTime;
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::statement::RateStatement;
use crate::target_limits::{SharedLimitTracker, log_change};
use crate::target_statements::TargetStatement;
use crate::target_statements::backoff_tracker::SharedBackoffTracker;
use crate::target_statements::statement_log::SharedStatementLog;
use crate::targets::call::{AnsweredCall, StatementObserver};

/// Passes what answers state to the trackers. Clones refer to the same trackers.
#[derive(Clone, Default)]
pub struct StatementWatch {
    limits: SharedLimitTracker,
    backoffs: SharedBackoffTracker,
    statement_log: SharedStatementLog,
    // Set once the control thread runs, which itself sends requests to targets.
    control: Arc<OnceLock<ControlHandle>>,
}

impl StatementWatch {
    /// Creates a watch that records in the trackers, and nothing until it is connected.
    #[must_use]
    pub fn new(limits: SharedLimitTracker, backoffs: SharedBackoffTracker) -> Self {
        Self {
            limits,
            backoffs,
            ..Self::default()
        }
    }

    /// Sets the control thread, which knows the targets and is told of departures.
    pub fn connect(&self, control: ControlHandle) {
        // Set only here; a failure would mean that this line ran twice.
        let _ = self.control.set(control);
    }

    /// Returns the observer for clients of targets.
    #[must_use]
    pub fn observer(&self) -> StatementObserver {
        let watch = self.clone();
        Arc::new(move |answered, statement| watch.note(answered, statement))
    }

    fn note(&self, answered: AnsweredCall<'_>, statement: &TargetStatement) {
        let names_limit = statement.rate != RateStatement::Unlimited;
        let may_end_limit = answered.accepted && self.limits.lock().count() > 0;
        let is_plain = *statement == TargetStatement::default();
        if is_plain && !may_end_limit {
            return;
        }
        let Some(target) = self.target_at(answered.address) else {
            return;
        };
        let now = clock::mono_now();
        self.statement_log.lock().log_unreadable(&target, statement);
        if names_limit || may_end_limit {
            let change =
                self.limits
                    .lock()
                    .note_answer(&target, &statement.rate, answered.sent_at, now);
            log_change(&target, change, "answer");
        }
        self.note_backoff(&target, statement, now);
        if statement.is_leaving() {
            self.report_leaving(&target, answered.address);
        }
    }

    fn note_backoff(&self, target: &TargetIncarnation, statement: &TargetStatement, now: MonoTime) {
        let Some(backoff) = statement.backoff_time() else {
            return;
        };
        if self.backoffs.lock().note_refusal(target, backoff, now) {
            log::info!(target_id = target.as_str(), backoff_ms = backoff.as_millis() as u64; "target refuses requests for a time");
        }
    }

    fn report_leaving(&self, target: &TargetIncarnation, address: &str) {
        let Some(control) = self.control.get() else {
            return;
        };
        let event = ControlEvent::TargetLeaving {
            target: target.name().clone(),
            address: address.to_owned(),
        };
        // A closed channel means that the daemon is shutting down and the event is not needed.
        let _ = control.events.send(event);
    }

    fn target_at(&self, address: &str) -> Option<TargetIncarnation> {
        let snapshot = self.control.get()?.snapshot.load();
        let mut targets = snapshot.fleet.targets.values();
        let target = targets.find(|target| target.address == address)?;
        Some(target.incarnation())
    }
}
