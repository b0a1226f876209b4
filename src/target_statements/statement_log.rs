//! Logs statements of targets that cannot be read once per incarnation, not with each answer.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexSet;

use crate::target_incarnation::TargetIncarnation;
use crate::target_statements::TargetStatement;
use crate::target_statements::backoff::BackoffStatement;
use crate::target_statements::departure::DepartureStatement;

/// Most statements remembered; beyond it, all are forgotten and may be logged once more.
const MAX_LOGGED: usize = 4_096;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum StatementKind {
    Departure,
    Backoff,
}

/// The statements that have been logged.
#[derive(Clone, Debug, Default)]
pub struct StatementLog(IndexSet<(TargetIncarnation, StatementKind)>);

impl StatementLog {
    /// Logs what an answer states and cannot be read, unless the target has stated it before.
    pub fn log_unreadable(&mut self, target: &TargetIncarnation, statement: &TargetStatement) {
        if let DepartureStatement::Unreadable(value) = &statement.departure
            && self.is_first(target, StatementKind::Departure)
        {
            log::warn!(target_id = target.as_str(), value = value.as_str(); "target states its departure by a value other than 1; ignoring it");
        }
        if let BackoffStatement::Unreadable(value) = &statement.backoff
            && self.is_first(target, StatementKind::Backoff)
        {
            log::warn!(target_id = target.as_str(), value = value.as_str(); "target refuses for a time that is not a number of seconds; ignoring it");
        }
    }

    fn is_first(&mut self, target: &TargetIncarnation, statement: StatementKind) -> bool {
        if self.0.len() >= MAX_LOGGED {
            self.0.clear();
        }
        self.0.insert((target.clone(), statement))
    }
}

/// A log shared by the threads of a daemon. Clones refer to the same log.
#[derive(Clone, Debug, Default)]
pub struct SharedStatementLog(Arc<Mutex<StatementLog>>);

impl SharedStatementLog {
    /// Locks the log.
    pub fn lock(&self) -> MutexGuard<'_, StatementLog> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
