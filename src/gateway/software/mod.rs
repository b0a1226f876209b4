//! Keeps a stream at the version of the targets' software that began it.
//!
//! Targets of several versions may offer one service side by side. What two versions write does
//! not fit together, and targets do not check it. Within one answer the version is fixed with
//! the first event that is passed on ([`RoutedRequest::software`]). A caller that takes a stream
//! up again names the attempt that brought its first event; any daemon may get that attempt,
//! and the one that began the stream may be gone. The version is found in one of these ways:
//!
//! - the start is remembered here, or by the daemons that were told of it ([`keepers`]);
//! - a single version has served since the stream can have begun ([`history`]), also as the store
//!   tells it to a daemon that has just started ([`recall`]).
//!
//! Otherwise the request is refused: it is never sent to a version that is only likely.
//!
//! [`RoutedRequest::software`]: crate::gateway::call::RoutedRequest::software

pub mod evidence;
pub mod exchange;
pub mod history;
pub mod keepers;
pub mod recall;
pub mod recorder;
pub mod starts;
pub mod version_record;

use std::time::Duration;

use crate::clock;
use crate::gateway::call::RoutedRequest;
use crate::gateway::daemon::Gateway;
use crate::gateway::model::RetryRule;
use crate::gateway::reply::{Failure, FailureKind};
use crate::gateway::routes::RouteTable;
use crate::gateway::software::evidence::{
    EvidentStart, GatheredEvidence, StartEvidence, VersionFinding, weigh,
};
use crate::gateway::software::starts::{AttemptDigest, AttemptStart, StreamStart};
use crate::names::{MonoTime, ServiceName, SoftwareVersion};

/// Shortest time for which starts are remembered.
const MIN_RESUME_PERIOD: Duration = Duration::from_secs(30);
/// The same, as a multiple of the longest time limit of a route: a caller's attempts may last
/// longer together than one of them.
const RESUME_PERIOD_LIMITS: u32 = 3;
/// Retry time after a refusal because daemons that may know the version did not answer.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(400);

impl Gateway {
    /// Returns the start of a stream whose first event is passed on now; nothing for one that
    /// is not begun here or that cannot be taken up again.
    #[must_use]
    pub(super) fn stream_start(
        &self,
        call: &RoutedRequest,
        software: &SoftwareVersion,
    ) -> Option<AttemptStart> {
        let is_resumable = call.route.retry == RetryRule::ResumableStream;
        let begins = call.origin.is_none() && !call.caller.takes_up_stream();
        (is_resumable && begins).then(|| {
            let start = StreamStart {
                service: call.service.name.clone(),
                software: software.clone(),
                began: clock::mono_now(),
            };
            (AttemptDigest::from(call.caller.id.as_str()), start)
        })
    }

    /// Remembers the start of a stream.
    pub(super) fn remember_start(&self, (attempt, start): AttemptStart) {
        let now = clock::mono_now();
        self.starts.borrow_mut().note_own(attempt, start, now);
        if self.must_tell_starts(now) {
            self.stream_begun.notify_one();
        }
    }

    /// Fixes the version at which a stream that a caller takes up goes on.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the version is not known or no longer serves.
    pub(super) async fn fix_software(&self, call: &RoutedRequest) -> Result<(), Failure> {
        if !call.route.retry.is_stream() || !call.caller.takes_up_stream() {
            return Ok(());
        }
        if let Some(software) = call.software.get() {
            return self.check_served(call, software);
        }
        let resumed = call.caller.resumed.as_deref();
        let attempt = resumed.map(AttemptDigest::from);
        let service = &call.service.name;
        let own = self.start_evidence(attempt, service, clock::mono_now());
        let gathered = match own.start {
            Some(_) => GatheredEvidence {
                evidence: vec![own],
                is_whole: true,
                has_others: false,
            },
            None => self.ask_keepers(attempt, call).await,
        };
        let finding = weigh(service, &gathered);
        let checked = match finding.software() {
            Some(software) => self.check_served(call, software),
            None => Err(unknown_version(gathered.is_whole)),
        };
        let found = match &checked {
            Err(_) if finding.software().is_some() => "gone",
            _ => finding.as_str(),
        };
        log_finding(call, &finding, found, gathered.evidence.len());
        checked?;
        if let Some(software) = finding.software() {
            // Nothing else sets it before the request is sent.
            let _ = call.software.set(software.clone());
        }
        Ok(())
    }

    fn check_served(
        &self,
        call: &RoutedRequest,
        software: &SoftwareVersion,
    ) -> Result<(), Failure> {
        let view = self.view();
        let mut targets = view.service_targets(&call.service.name).iter();
        if targets.any(|target| target.software == *software) {
            return Ok(());
        }
        let reason = format!(
            "version {software} of the software, which began the stream, no longer serves; send the request anew"
        );
        Err(Failure::new(FailureKind::Refused, reason))
    }

    /// Returns what this daemon knows of a stream and of the versions of its service.
    #[must_use]
    pub fn start_evidence(
        &self,
        attempt: Option<AttemptDigest>,
        service: &ServiceName,
        now: MonoTime,
    ) -> StartEvidence {
        let view = self.view();
        let period = resume_period(view.routes.as_deref());
        let starts = self.starts.borrow();
        let known = attempt.and_then(|attempt| starts.find(attempt));
        let start = known.map(|known| EvidentStart::new(known, now));
        let recent = view.versions.recent(service, period, now);
        StartEvidence {
            start,
            recent: recent.cloned().collect(),
            is_complete: self.knows_versions(period, now),
        }
    }

    // Whether this daemon knows all versions that have served within a period.
    fn knows_versions(&self, period: Duration, now: MonoTime) -> bool {
        let by_hub = self.feed_subscription.borrow().store_age(now);
        let store_age = self.store_liveness.age(now).min(by_hub);
        self.view().versions.is_complete(period, store_age, now)
    }

    /// Returns whether other daemons need to know the starts of streams, as the versions that
    /// serve do not tell them.
    #[must_use]
    pub(super) fn must_tell_starts(&self, now: MonoTime) -> bool {
        let view = self.view();
        let period = resume_period(view.routes.as_deref());
        view.versions.is_mixed(period, now) || !self.knows_versions(period, now)
    }

    /// Forgets streams that can no longer be taken up.
    pub(super) fn sweep_starts(&self, now: MonoTime) {
        let period = resume_period(self.view().routes.as_deref());
        let mut starts = self.starts.borrow_mut();
        starts.expire(period, now);
        metrics::gauge!("pistachiowick_remembered_streams").set(starts.len() as f64);
    }
}

// Returns the time within which a stream can be taken up again.
fn resume_period(routes: Option<&RouteTable>) -> Duration {
    let limit = routes.map_or(Duration::ZERO, |routes| routes.longest_time_limit);
    MIN_RESUME_PERIOD.max(limit * RESUME_PERIOD_LIMITS)
}

fn unknown_version(is_whole: bool) -> Failure {
    let reason = "it is not known which version of the software began the stream";
    if is_whole {
        let reason = format!("{reason}; send the request anew");
        return Failure::new(FailureKind::Refused, reason);
    }
    let reason = format!("{reason}, as daemons that may know did not answer; retry later");
    Failure::refused(reason, UNANSWERED_RETRY_AFTER)
}

fn log_finding(call: &RoutedRequest, finding: &VersionFinding, found: &'static str, asked: usize) {
    metrics::counter!("pistachiowick_streams_taken_up_total", "found" => found).increment(1);
    let age_ms = match finding {
        VersionFinding::Remembered(start) => start.age_ms,
        _ => 0,
    };
    log::info!(
        request = call.caller.id.as_str(),
        resumed = call.caller.resumed.as_deref().unwrap_or(""),
        after_event = call.caller.resume_after.unwrap_or(0),
        software = finding.software().map_or("", SoftwareVersion::as_str),
        found = found,
        age_ms = age_ms,
        daemons_asked = asked - 1;
        "caller takes up a stream"
    );
}
