//! Quarantine of work and of parts of prompts that crashed targets, on this and all other daemons.

pub mod evidence;
pub mod records;
pub mod store_records;

use std::time::Duration;

use crate::clock;
use crate::crashes::suspect::SuspectKey;
use crate::crashes::tracker::SuspectStatus;
use crate::gateway::call::{RoutedRequest, join_digests};
use crate::gateway::daemon::Gateway;
use crate::gateway::reply::Failure;
use crate::target_incarnation::TargetIncarnation;

/// Reasons given to callers of quarantined work and of prompts with a quarantined part.
const WORK_REASON: &str = "this request crashed the targets that ran it and is quarantined; correct it, or retry after the given delay";
const PART_REASON: &str = "prompts with a part of this one crashed the targets that ran them, and the part is quarantined; leave it out, or retry after the given delay";
/// Retry delay returned for a suspect that has no further trial.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(3_600);

/// Time after a crash within which another request shows that not everything fails. A prompt that
/// crashes all targets at once leaves none until they have restarted.
const SURVIVAL_TIME: Duration = Duration::from_millis(2_500);
/// Time in which a crash is reported to all daemons and their answers have arrived, where each has
/// a link to all others and where hubs relay them.
const MESH_REPORT_TIME: Duration = Duration::from_millis(600);
const HUB_REPORT_TIME: Duration = Duration::from_millis(1_200);

impl Gateway {
    /// Refuses a request whose work or part of its prompt is quarantined, except for a trial on the
    /// one daemon that runs trials.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub fn check_quarantine(&self, call: &RoutedRequest) -> Result<(), Failure> {
        if self.crashes.borrow().is_empty() || call.is_probe.get() {
            return Ok(());
        }
        self.review_suspects("peer");
        let (suspects, now) = (call.suspects(), clock::mono_now());
        let may_start_trial = self.rank() == 0;
        let status = self
            .crashes
            .borrow_mut()
            .admit(&suspects, may_start_trial, now);
        match status {
            SuspectStatus::Allowed => Ok(()),
            SuspectStatus::Trial => {
                call.is_probe.set(true);
                log::warn!(request = call.caller.id.as_str(), work = call.work().to_string(), parts = join_digests(call.parts()); "sending a quarantined request once as a trial");
                Ok(())
            }
            SuspectStatus::Quarantined(suspect, next) => {
                metrics::counter!("pistachiowick_held_refusals_total", "kind" => suspect.kind())
                    .increment(1);
                log::info!(request = call.caller.id.as_str(), kind = suspect.kind(), suspect = suspect.digest().to_string(); "refused a quarantined request");
                let reason = if suspect.is_part() {
                    PART_REASON
                } else {
                    WORK_REASON
                };
                let wait = next.unwrap_or(QUARANTINE_RETRY_AFTER);
                Err(Failure::refused(reason, wait))
            }
        }
    }

    /// Returns whether an accepted request may not be sent because its work or a part of its prompt
    /// is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, call: &RoutedRequest) -> bool {
        if self.crashes.borrow().is_empty() || call.is_probe.get() {
            return false;
        }
        self.review_suspects("peer");
        let crashes = self.crashes.borrow();
        let suspects = call.suspects();
        suspects.iter().any(|key| crashes.is_quarantined(*key))
    }

    /// Completes when a request may not be sent any more.
    pub(in crate::gateway) async fn until_quarantined(&self, call: &RoutedRequest) {
        while !self.is_quarantined(call) {
            self.newly_quarantined.notified().await;
        }
    }

    /// Quarantines the suspects that explain the crashes known now. The source of the evidence is
    /// logged for those of which this daemon saw no crash itself.
    pub(in crate::gateway) fn review_suspects(&self, source: &'static str) {
        let report_time = self.report_time();
        let now = clock::mono_now();
        let quarantined = self.crashes.borrow_mut().review(report_time, now);
        for suspect in &quarantined {
            self.announce_quarantine(*suspect, source);
        }
        if !quarantined.is_empty() {
            self.newly_quarantined.notify_waiters();
        }
    }

    fn report_time(&self) -> Duration {
        if self.hubs.borrow().relays_reports() {
            HUB_REPORT_TIME
        } else {
            MESH_REPORT_TIME
        }
    }

    // Confirms crashes as long as their time is known, and reviews the evidence.
    fn review_crashes(&self) {
        let mut crashes = self.crashes.borrow_mut();
        crashes.confirm_crashes(SURVIVAL_TIME, clock::mono_now());
        drop(crashes);
        self.review_suspects("peer");
    }

    fn announce_quarantine(&self, suspect: SuspectKey, source: &'static str) {
        let (targets, route) = {
            let crashes = self.crashes.borrow();
            (crashes.crashed_targets(suspect), crashes.route(suspect))
        };
        let targets: Vec<&str> = targets.iter().map(TargetIncarnation::as_str).collect();
        let source = if route.is_empty() { source } else { "own" };
        let (route, targets) = (route.as_str(), targets.join(" "));
        let digest = suspect.digest().to_string();
        metrics::counter!("pistachiowick_works_held_total", "kind" => suspect.kind()).increment(1);
        if suspect.is_part() {
            log::warn!(part = digest, route = route, source = source, targets = targets; "prompts with a part are quarantined: it crashed several targets; to release it, set released to true in its record in the store");
        } else {
            log::warn!(work = digest, route = route, source = source, targets = targets; "work is quarantined: it crashed several targets; to release it, set released to true in its record in the store");
        }
        self.note_quarantine(suspect, route);
    }
}
