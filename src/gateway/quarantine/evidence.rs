//! Evidence of which suspects crashed targets: lost connections, answers, completed requests and
//! the reports of other daemons.

use std::time::Duration;

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

use crate::clock;
use crate::crashes::connection_losses::ConnectionLoss;
use crate::crashes::open_ends::CRASH_SPREAD;
use crate::crashes::report::{CrashReport, PartReport, ReportBatch, WorkReport};
use crate::crashes::suspect::SuspectKey;
use crate::crashes::tracker::{ExchangeTimes, LostRequest};
use crate::gateway::call::{RoutedRequest, join_digests};
use crate::gateway::daemon::Gateway;
use crate::gateway::model::TargetRecord;
use crate::names::{MonoTime, ServiceName, millis};
use crate::target_incarnation::TargetIncarnation;

/// Time without an answer from the store after which its entries count as stale; the store
/// is polled more often than that.
const STORE_TIMEOUT: Duration = Duration::from_secs(4);

fn connection_loss(call: &RoutedRequest, target: &TargetRecord, at: MonoTime) -> ConnectionLoss {
    ConnectionLoss {
        suspects: call.suspects(),
        route: call.route.name.clone(),
        service: target.service.clone(),
        target: target.id.clone(),
        at,
    }
}

impl Gateway {
    /// Records that a connection to a target ended before its answer was complete. It counts
    /// as a crash of the target once another exchange shows that the link has not ended.
    pub fn record_connection_loss(
        &self,
        call: &RoutedRequest,
        target: &TargetRecord,
        reason: &str,
    ) {
        let (work, now) = (call.work(), clock::mono_now());
        let suspects = call.suspects();
        // A trial permits a single send.
        call.is_probe.set(false);
        metrics::counter!("pistachiowick_answers_cut_total", "route" => call.route.name.clone())
            .increment(1);
        log::info!(
            request = call.caller.id.as_str(),
            work = work.to_string(),
            parts = join_digests(call.parts()),
            target_id = target.id.as_str(),
            ends = self.crash_counts(&suspects),
            waited_ms = millis(call.arrived.elapsed()),
            reason = reason;
            "target closed the connection before its answer was complete"
        );
        let service = &target.service;
        let reach = self.reach.borrow();
        if reach.was_cut_off_since(service, call.arrived_at()) {
            return;
        }
        drop(reach);
        let is_suspect = suspects
            .iter()
            .any(|key| self.crashes.borrow().contains(*key));
        let loss = connection_loss(call, target, now);
        let is_repeated = self.losses.borrow_mut().add(loss);
        let others = self.open_ends.borrow_mut().take_lost(&target.id, now);
        self.add_losses(others);
        // One of them may be about to crash its last target.
        if is_suspect || is_repeated {
            self.request_reach_check(service);
        }
    }

    /// Records the crashes behind connections that were lost before an exchange that began at
    /// `began` and reached a target of their service.
    pub(in crate::gateway) fn settle_losses(&self, service: &ServiceName, began: MonoTime) {
        let losses = self
            .losses
            .borrow_mut()
            .take_caused_by_targets(service, began);
        for loss in losses {
            let lost = LostRequest {
                suspects: &loss.suspects,
                route: &loss.route,
                service: Some(&loss.service),
                target: &loss.target,
            };
            self.crashes.borrow_mut().record_crash(lost, loss.at);
        }
        self.review_suspects("own");
    }

    /// Records that a target completed an answer.
    pub fn record_answer(&self, target: &TargetRecord, times: ExchangeTimes) {
        let mut crashes = self.crashes.borrow_mut();
        crashes.record_answer(&target.id, times, clock::mono_now());
    }

    /// Records that the answer to a request is complete. One that states neither its length nor a
    /// transfer encoding may have ended with its target.
    pub fn record_completion(&self, call: &RoutedRequest, target: &TargetRecord, head: &HeaderMap) {
        let states_end = head.contains_key(CONTENT_LENGTH) || head.contains_key(TRANSFER_ENCODING);
        let now = clock::mono_now();
        if states_end {
            if self.crashes.borrow().is_empty() && call.parts().is_empty() {
                return;
            }
            let service = Some(&call.service.name);
            let mut crashes = self.crashes.borrow_mut();
            crashes.record_completion(&call.suspects(), service, now);
            return;
        }
        let end = connection_loss(call, target, now);
        let is_lost = self.losses.borrow().has_lost(&target.id, CRASH_SPREAD, now)
            || self.crashes.borrow().may_have_crashed(&target.id);
        if is_lost {
            self.add_losses(vec![end]);
        } else {
            self.open_ends.borrow_mut().add(end);
        }
    }

    /// Records that a target answers a request, and has survived the answers before it that ended
    /// with their connections.
    pub(in crate::gateway) fn note_survivor(&self, target: &TargetRecord, times: ExchangeTimes) {
        if self.open_ends.borrow().is_empty() {
            return;
        }
        let survived = self.open_ends.borrow_mut().take_survived(&target.id, times);
        let mut crashes = self.crashes.borrow_mut();
        for end in survived {
            crashes.record_completion(&end.suspects, Some(&end.service), end.at);
        }
    }

    /// Records that a target did not accept a connection begun at `began`.
    pub(in crate::gateway) fn note_unreached(&self, target: &TargetRecord, began: MonoTime) {
        if self.open_ends.borrow().is_empty() {
            return;
        }
        let ends = self
            .open_ends
            .borrow_mut()
            .take_unreached(&target.id, began);
        self.add_losses(ends);
    }

    fn add_losses(&self, ends: Vec<ConnectionLoss>) {
        let mut losses = self.losses.borrow_mut();
        for end in ends {
            losses.add(end);
        }
    }

    /// Returns the reports of crashes that are due in a message to other daemons.
    pub(in crate::gateway) fn due_crash_reports(&self) -> ReportBatch {
        let due = self.crashes.borrow_mut().due_reports(clock::mono_now());
        ReportBatch::from(due)
    }

    /// Merges the crash reports of another daemon.
    pub(in crate::gateway) fn apply_crash_reports(
        &self,
        works: &[WorkReport],
        parts: &[PartReport],
    ) {
        let relays = self.hubs.borrow().is_hub();
        let works = works.iter().map(CrashReport::from);
        for report in works.chain(parts.iter().map(CrashReport::from)) {
            self.apply_crash_report(&report, relays);
        }
        self.review_suspects("peer");
    }

    pub(super) fn apply_crash_report(&self, report: &CrashReport, relays: bool) {
        let now = clock::mono_now();
        let mut crashes = self.crashes.borrow_mut();
        crashes.apply_report(report, relays, now);
    }

    // Returns the number of crashes of each suspect, as logged.
    fn crash_counts(&self, suspects: &[SuspectKey]) -> String {
        let crashes = self.crashes.borrow();
        let counts = suspects
            .iter()
            .map(|key| crashes.crashed_targets(*key).len());
        let texts: Vec<String> = counts.map(|count| count.to_string()).collect();
        texts.join(" ")
    }

    /// Refutes crashes of targets whose entries in the store show that they are alive.
    pub(in crate::gateway) fn refute_registered_targets(&self, now: MonoTime) {
        let is_reachable = self.store_liveness.age(now) < STORE_TIMEOUT;
        let reachable_since = {
            let mut quarantine = self.quarantine.borrow_mut();
            let since = quarantine.reachable_since.filter(|_| is_reachable);
            quarantine.reachable_since = since.or(is_reachable.then_some(now));
            quarantine.reachable_since
        };
        let Some(reachable_since) = reachable_since else {
            return;
        };
        let view = self.view();
        let has_entry = |target: &TargetIncarnation| {
            view.has_target(target) && !view.missing_entries.contains_key(target)
        };
        let entry_ttl = self.settings().entry_lapse_time();
        let mut crashes = self.crashes.borrow_mut();
        crashes.refute_registered(has_entry, entry_ttl, reachable_since, now);
    }
}
