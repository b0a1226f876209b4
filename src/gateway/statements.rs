//! Applies what targets state about themselves in their answers.

use http::response::Parts;

use crate::gateway::daemon::Gateway;
use crate::gateway::model::TargetRecord;
use crate::gateway::port::RequestKind;
use crate::gateway::registry::DepartureSource;
use crate::names::MonoTime;
use crate::target_limits::statement::RateStatement;
use crate::target_statements::TargetStatement;

/// A request whose answer states something.
#[derive(Clone, Copy, Debug)]
pub struct AnsweredRequest {
    /// Its kind.
    pub kind: RequestKind,
    /// Whether the target ran it.
    pub has_run: bool,
    /// When it was sent.
    pub sent: MonoTime,
}

impl Gateway {
    /// Applies what an answer states about its target. Every answer of a target passes here
    /// before it is forwarded or dropped.
    pub fn note_statement(
        &self,
        target: &TargetRecord,
        statement: &TargetStatement,
        answered: AnsweredRequest,
    ) {
        if statement.is_leaving() && self.view().has_target(&target.id) {
            self.notify_departed(&target.id, DepartureSource::Answer(answered.kind));
            // The control thread takes the target out of the view a moment later.
            let mut stated_departures = self.stated_departures.borrow_mut();
            stated_departures.insert(target.id.clone());
        }
        let mut statement_log = self.statement_log.borrow_mut();
        statement_log.log_unreadable(&target.id, statement);
        drop(statement_log);
        if let Some(backoff) = statement.backoff_time() {
            self.note_backoff(target, backoff, answered);
        }
        // A target that turns requests away may do so without naming its limit, and one may
        // name it only in answers to callers' requests.
        let may_end = answered.has_run && answered.kind != RequestKind::Query;
        if may_end || statement.rate != RateStatement::Unlimited {
            self.note_rate(target, &statement.rate, answered.sent);
        }
    }

    /// Applies what the answer to a query of this daemon states about its target.
    pub fn note_query_answer(&self, target: &TargetRecord, head: &Parts, sent: MonoTime) {
        let metadata = (self.ports.wire.decode_answer)(head.status, &head.headers);
        if !metadata.may_be_of(&target.id) {
            return;
        }
        let answered = AnsweredRequest {
            kind: RequestKind::Query,
            has_run: false,
            sent,
        };
        self.note_statement(target, &metadata.statement, answered);
    }
}
