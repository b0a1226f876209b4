//! Quarantines requests whose work, or the prefix that their prompts share, crashed targets.
//! Requests of one workspace with the same content are the same work.

use std::time::Duration;

use crate::clock;
use crate::crashes::suspect::SuspectKey;
use crate::crashes::suspect_digest::SuspectDigest;
use crate::crashes::tracker::{CrashTracker, LostRequest, SuspectStatus};
use crate::decide::placement::TargetChoice;
use crate::decide::scheduler::JobRefusal;
use crate::names::{ServiceName, UnixTime};
use crate::requests::request::CallerRequest;
use crate::requests::traffic::TrafficContext;
use crate::target_incarnation::TargetIncarnation;

/// Reason given for refusing quarantined work.
const QUARANTINE_REASON: &str =
    "targets crashed under each run of this request; correct it, or ask the operators";
/// Retry time given for work that is not tried again automatically.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(3_600);
/// Crashes of a target that reports no incarnation count as one within this time.
const UNKNOWN_INCARNATION_MS: u64 = 5_000;
/// Time in which a crash is reported to all daemons and their answers have arrived.
const REPORT_TIME: Duration = Duration::from_millis(1_200);
/// Time after a crash within which another request shows that not everything fails. A request may
/// wait for an engine that restarts.
const SURVIVAL_TIME: Duration = Duration::from_millis(2_500);
/// Distinguishes digests of prefixes from those of work.
const PREFIX_DOMAIN: &[u8] = b"prefix";

impl TrafficContext {
    /// Refuses quarantined work, except for an occasional trial run by one daemon; returns
    /// true for such a trial.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub fn check_quarantine(&self, request: &CallerRequest) -> Result<bool, JobRefusal> {
        if !self.is_quarantined(request) {
            return Ok(false);
        }
        let (suspects, now) = (suspects_of(request), clock::mono_now());
        let may_try = self.is_first_daemon();
        match self.crashes.lock().admit(&suspects, may_try, now) {
            SuspectStatus::Allowed => Ok(false),
            SuspectStatus::Trial => Ok(true),
            SuspectStatus::Quarantined(suspect, next) => {
                metrics::counter!("pistachiowick_held_refusals_total", "kind" => suspect.kind())
                    .increment(1);
                Err(JobRefusal {
                    reason: QUARANTINE_REASON.to_owned(),
                    retry_after: next.unwrap_or(QUARANTINE_RETRY_AFTER),
                })
            }
        }
    }

    /// Refuses a request that was waiting for a target if its work is now quarantined.
    #[must_use]
    pub fn recheck_quarantine(&self, request: &CallerRequest) -> Option<JobRefusal> {
        self.is_quarantined(request).then(|| JobRefusal {
            reason: QUARANTINE_REASON.to_owned(),
            retry_after: QUARANTINE_RETRY_AFTER,
        })
    }

    /// Returns whether a request's work or prefix is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, request: &CallerRequest) -> bool {
        let mut crashes = self.crashes.lock();
        if crashes.is_empty() {
            return false;
        }
        review(&mut crashes);
        let suspects = suspects_of(request);
        suspects.iter().any(|key| crashes.is_quarantined(*key))
    }

    /// Records that a target broke off its answer and could not resume it, or sent none.
    pub fn record_connection_loss(&self, request: &CallerRequest, choice: &TargetChoice) {
        let suspects = suspects_of(request);
        let digests: Vec<String> = suspects.iter().map(describe).collect();
        log::info!(
            "request {}: {} broke off its answer to {}",
            request.id,
            choice.target,
            digests.join(", ")
        );
        let mut crashes = self.crashes.lock();
        let lost = LostRequest {
            suspects: &suspects,
            route: "",
            service: Some(&service_of(request)),
            target: &incarnation_of(choice),
        };
        crashes.record_crash(lost, clock::mono_now());
        review(&mut crashes);
    }

    /// Records that a request ran to completion.
    pub fn record_completion(&self, request: &CallerRequest) {
        let suspects = suspects_of(request);
        let mut crashes = self.crashes.lock();
        if suspects.len() > 1 || !crashes.is_empty() {
            let service = service_of(request);
            crashes.record_completion(&suspects, Some(&service), clock::mono_now());
            review(&mut crashes);
        }
    }

    fn is_first_daemon(&self) -> bool {
        let snapshot = self.control.snapshot.load();
        let first = snapshot.fleet.daemons.keys().min();
        first.is_none_or(|first| *first == self.daemon)
    }
}

fn review(crashes: &mut CrashTracker) {
    let now = clock::mono_now();
    crashes.confirm_crashes(SURVIVAL_TIME, now);
    for suspect in crashes.review(REPORT_TIME, now) {
        metrics::counter!("pistachiowick_works_held_total", "kind" => suspect.kind()).increment(1);
        log::warn!(
            "{} is quarantined: targets crashed while running it",
            describe(&suspect)
        );
    }
}

fn describe(suspect: &SuspectKey) -> String {
    format!("{} {}", suspect.kind(), suspect.digest())
}

// Independent of the request's identity and deadline, so that resubmissions match. A prefix is
// named by its workspace.
fn suspects_of(request: &CallerRequest) -> Vec<SuspectKey> {
    let workspace = request.workspace().as_str().as_bytes();
    let work = SuspectDigest::of(&[workspace, &request.fingerprint()]);
    let work = SuspectKey::Work(work);
    let submit = &request.submit;
    if submit.shared_prefix.is_empty() {
        return vec![work];
    }
    let (model, prefix) = (submit.model.as_bytes(), submit.shared_prefix.as_bytes());
    let part = SuspectDigest::of(&[PREFIX_DOMAIN, workspace, model, prefix]);
    vec![SuspectKey::Part(part), work]
}

fn service_of(request: &CallerRequest) -> ServiceName {
    ServiceName::from(request.submit.model.as_str())
}

fn incarnation_of(choice: &TargetChoice) -> TargetIncarnation {
    let started_at = choice.incarnation.map_or_else(
        || {
            let now = clock::unix_now().0;
            now - now % UNKNOWN_INCARNATION_MS
        },
        |incarnation| incarnation.0,
    );
    TargetIncarnation::new(choice.target.clone(), Some(UnixTime(started_at)))
}
