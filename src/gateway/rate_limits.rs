//! Applies the limits that targets put on the rate of their requests.

use crate::clock;
use crate::gateway::daemon::Gateway;
use crate::gateway::model::TargetRecord;
use crate::names::MonoTime;
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::statement::RateStatement;
use crate::target_limits::tracker::LimitChange;

impl Gateway {
    /// Records what an answer to a request sent at `sent` states about the limit of its target.
    pub fn note_rate(&self, target: &TargetRecord, statement: &RateStatement, sent: MonoTime) {
        let now = clock::mono_now();
        let mut limits = self.limits.borrow_mut();
        let change = limits.note_answer(&target.id, statement, sent, now);
        log_limit_change(&target.id, change, statement);
        metrics::gauge!("pistachiowick_limited_targets").set(limits.count() as f64);
    }

    /// Counts a request that is being sent to a target, if the target limits its requests.
    pub fn count_limited_send(&self, target: &TargetRecord) {
        if self.limits.borrow().rate(&target.id).is_some() {
            let service = target.service.as_str().to_owned();
            metrics::counter!("pistachiowick_limited_sends_total", "service" => service)
                .increment(1);
        }
    }
}

fn log_limit_change(
    target: &TargetIncarnation,
    change: Option<LimitChange>,
    statement: &RateStatement,
) {
    match change {
        Some(LimitChange::Started(rate)) => {
            log::info!(target_id = target.as_str(), per_second = rate.per_second(); "target limits the rate of its requests");
        }
        Some(LimitChange::Ended) => {
            log::info!(target_id = target.as_str(); "target no longer limits the rate of its requests");
        }
        Some(LimitChange::Unreadable) => {
            log::warn!(target_id = target.as_str(), value = format!("{statement:?}"); "target names a limit of its requests that cannot be read; ignoring it");
        }
        Some(LimitChange::Changed(_)) | None => {}
    }
}
