//! Tells a daemon that reaches no target of a service from targets that do not answer.
//!
//! A connection that fails says something about its target only while others can be
//! reached. Once connections to several targets of a service have failed, and none has
//! answered since, the daemon itself is cut off from the service.

use std::time::Duration;

use indexmap::IndexMap;

use crate::names::{MonoTime, ServiceName};
use crate::target_incarnation::TargetIncarnation;

/// Number of targets to which connections have to fail, or all of fewer. Some may be down or
/// behind a partition that does not concern the others.
pub const FAILED_TARGETS: usize = 6;
/// Time after which a failed connection no longer counts.
const FAILURE_RETENTION: Duration = Duration::from_secs(5);

/// A change in whether the targets of a service can be reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReachChange {
    /// No target can be reached from now on.
    CutOff,
    /// A target can be reached again, after this time.
    Regained(Duration),
}

#[derive(Clone, Debug, Default)]
struct ServiceReach {
    // Beginning of the last exchange that showed that a target can be reached.
    contact: Option<MonoTime>,
    // When a target was last heard of.
    heard: Option<MonoTime>,
    // Targets to which connections have failed since then.
    failed: IndexMap<TargetIncarnation, MonoTime>,
    last_failure: Option<MonoTime>,
    cut_since: Option<MonoTime>,
    cut_until: Option<MonoTime>,
}

/// Which services a daemon can reach.
#[derive(Clone, Debug, Default)]
pub struct ReachTracker {
    services: IndexMap<ServiceName, ServiceReach>,
}

impl ReachTracker {
    /// Records that a target answers in an exchange that began at `began`.
    pub fn note_answer(
        &mut self,
        service: &ServiceName,
        target: &TargetIncarnation,
        (began, now): (MonoTime, MonoTime),
    ) {
        let reach = self.services.entry(service.clone()).or_default();
        reach.heard = Some(now);
        reach.contact = reach.contact.max(Some(began));
        reach.failed.swap_remove(target);
        reach.failed.retain(|_, at| *at >= began);
    }

    /// Records that a connection to a target was opened, which ends a partition.
    pub fn note_connection(
        &mut self,
        service: &ServiceName,
        target: &TargetIncarnation,
        (began, now): (MonoTime, MonoTime),
    ) -> Option<ReachChange> {
        self.note_answer(service, target, (began, now));
        let reach = self.services.get_mut(service)?;
        let since = reach.cut_since.take()?;
        reach.cut_until = Some(now);
        Some(ReachChange::Regained(now.since(since)))
    }

    /// Records that a connection to one of `targets` targets of a service, begun at `began`,
    /// could not be opened.
    pub fn note_failure(
        &mut self,
        service: &ServiceName,
        target: &TargetIncarnation,
        targets: usize,
        (began, now): (MonoTime, MonoTime),
    ) -> Option<ReachChange> {
        let reach = self.services.entry(service.clone()).or_default();
        reach.last_failure = Some(now);
        if reach.contact.is_some_and(|contact| contact > began) {
            return None;
        }
        reach.failed.insert(target.clone(), began);
        reach
            .failed
            .retain(|_, at| now.since(*at) < FAILURE_RETENTION);
        let needed = FAILED_TARGETS.min(targets.max(1));
        if reach.cut_since.is_some() || reach.failed.len() < needed {
            return None;
        }
        reach.cut_since = Some(now);
        Some(ReachChange::CutOff)
    }

    /// Ends the partition from a service that has no targets any more.
    pub fn forget(&mut self, service: &ServiceName) {
        self.services.swap_remove(service);
    }

    /// Returns whether no target of a service can be reached.
    #[must_use]
    pub fn is_cut_off(&self, service: &ServiceName) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|reach| reach.cut_since.is_some())
    }

    /// Returns whether no target of a service could be reached at any time since `since`.
    #[must_use]
    pub fn was_cut_off_since(&self, service: &ServiceName, since: MonoTime) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|reach| {
            reach.cut_since.is_some() || reach.cut_until.is_some_and(|until| until >= since)
        })
    }

    /// Returns whether a connection to a target of a service has failed since `since`.
    #[must_use]
    pub fn has_failed_since(&self, service: &ServiceName, since: MonoTime) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|reach| reach.last_failure.is_some_and(|at| at >= since))
    }

    /// Returns the number of targets to which connections have failed since the last answer
    /// of one.
    #[must_use]
    pub fn failed_targets(&self, service: &ServiceName) -> usize {
        self.services
            .get(service)
            .map_or(0, |reach| reach.failed.len())
    }

    /// Returns whether no target of a service can be reached, this one having been tried.
    #[must_use]
    pub fn is_cut_off_from(&self, service: &ServiceName, target: &TargetIncarnation) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|reach| reach.cut_since.is_some() && reach.failed.contains_key(target))
    }

    /// Returns the time since a target of a service was last heard of, or `None` if none was.
    #[must_use]
    pub fn silence(&self, service: &ServiceName, now: MonoTime) -> Option<Duration> {
        let heard = self.services.get(service)?.heard?;
        Some(now.since(heard))
    }

    /// Returns the services of which no target can be reached.
    pub fn cut_off_services(&self) -> impl Iterator<Item = &ServiceName> {
        let services = self.services.iter();
        services
            .filter(|(_, reach)| reach.cut_since.is_some())
            .map(|(service, _)| service)
    }
}
