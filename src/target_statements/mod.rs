//! What targets state about themselves in their answers, beside the answers themselves.
//!
//! Every answer is read for all statements, whatever request it answers, in one place for each
//! interface ([`TargetStatement`]). A new statement is a new field there.

pub mod backoff;
pub mod backoff_tracker;
pub mod departure;
pub mod statement_log;

use std::time::Duration;

use crate::target_limits::statement::RateStatement;
use crate::target_statements::backoff::BackoffStatement;
use crate::target_statements::departure::DepartureStatement;

/// Longest quotation of a value that cannot be read, in characters.
const MAX_QUOTED_CHARS: usize = 80;

/// All that one answer states about its target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetStatement {
    /// The request rate that the target accepts from all daemons together.
    pub rate: RateStatement,
    /// Whether the target is leaving.
    pub departure: DepartureStatement,
    /// Time for which the target accepts nothing from the daemon that it answers.
    pub backoff: BackoffStatement,
}

impl TargetStatement {
    /// Returns the time for which the target accepts nothing from this daemon.
    #[must_use]
    pub fn backoff_time(&self) -> Option<Duration> {
        match self.backoff {
            BackoffStatement::Requested(backoff) => Some(backoff),
            BackoffStatement::None | BackoffStatement::Unreadable(_) => None,
        }
    }

    /// Returns whether the target is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.departure == DepartureStatement::Leaving
    }
}

fn quoted(value: &str) -> String {
    value.chars().take(MAX_QUOTED_CHARS).collect()
}
