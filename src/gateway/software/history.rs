//! Which versions of the targets' software have served lately, as far as one daemon knows.
//!
//! That a single version serves now says nothing about a stream that began earlier, perhaps at a
//! version whose targets have left. It does if no other version has served for as long as a
//! stream can last, and if the daemon would know of one: what came and went before a list of the
//! targets, at its start or where the store could not tell all changes, is not in that list.

use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::fleet::TargetsByService;
use crate::names::{MonoTime, ServiceName, SoftwareVersion};

/// Longest time without an answer of the store in which all versions count as known: a watch that
/// nothing interrupts is answered after three seconds at the latest.
pub const MAX_READ_GAP: Duration = Duration::from_secs(4);
/// Time within which the first list of a daemon that starts together with its fleet arrives.
const FLEET_START_TIME: Duration = Duration::from_secs(4);
/// Time for which versions that no longer serve are remembered.
const RETENTION: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct VersionUse {
    // When it was last known to serve.
    last: MonoTime,
    // Whether it serves now.
    is_listed: bool,
}

/// Since when each version that serves is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum KnownSince {
    // Before the first stream began.
    FleetStart,
    // The last list of all targets. A daemon's clock starts with its process, so that any time,
    // also zero, may be that of a list.
    List(MonoTime),
}

impl KnownSince {
    fn covers(self, period: Duration, now: MonoTime) -> bool {
        match self {
            Self::FleetStart => true,
            Self::List(at) => now.since(at) >= period,
        }
    }
}

/// Versions that have served lately, by service.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    known_since: Option<KnownSince>,
    // When the fleet started, until the first list.
    fleet_start: Option<MonoTime>,
    services: IndexMap<ServiceName, IndexMap<SoftwareVersion, VersionUse>>,
}

impl VersionHistory {
    /// Creates the history of a daemon that starts together with its fleet, before which no
    /// stream has begun.
    #[must_use]
    pub fn of_new_fleet(now: MonoTime) -> Self {
        Self {
            fleet_start: Some(now),
            ..Self::default()
        }
    }

    /// Records that all targets were listed; what changed since what was known is unknown.
    pub fn note_listed(&mut self, now: MonoTime) {
        let fleet_start = self.fleet_start.take();
        let begins = fleet_start.is_some_and(|at| now.since(at) <= FLEET_START_TIME);
        self.known_since = Some(if begins {
            KnownSince::FleetStart
        } else {
            KnownSince::List(now)
        });
    }

    /// Records that a target of a version serves, or did so until now.
    pub fn note_served(
        &mut self,
        service: &ServiceName,
        software: &SoftwareVersion,
        now: MonoTime,
    ) {
        let versions = self.services.entry(service.clone()).or_default();
        let version = versions.entry(software.clone()).or_insert(VersionUse {
            last: now,
            is_listed: false,
        });
        version.last = now;
    }

    /// Records which targets may get work from now on.
    pub fn note_targets(&mut self, targets: &TargetsByService, now: MonoTime) {
        for versions in self.services.values_mut() {
            for version in versions.values_mut().filter(|v| v.is_listed) {
                version.last = now;
                version.is_listed = false;
            }
            versions.retain(|_, version| now.since(version.last) < RETENTION);
        }
        for target in targets.values().flatten() {
            self.note_served(&target.service, &target.software, now);
            let versions = self.services.get_mut(&target.service);
            if let Some(version) = versions.and_then(|v| v.get_mut(&target.software)) {
                version.is_listed = true;
            }
        }
    }

    /// Returns whether each version that has served within `period` is known, to a daemon whose
    /// last answer of the store is `store_age` old.
    #[must_use]
    pub fn is_complete(&self, period: Duration, store_age: Duration, now: MonoTime) -> bool {
        let covers = |since: KnownSince| since.covers(period, now);
        store_age <= MAX_READ_GAP && self.known_since.is_some_and(covers)
    }

    /// Returns the versions of a service that have served within `period`.
    pub fn recent<'a>(
        &'a self,
        service: &ServiceName,
        period: Duration,
        now: MonoTime,
    ) -> impl Iterator<Item = &'a SoftwareVersion> + use<'a> {
        let versions = self.services.get(service).into_iter().flatten();
        let recent = versions.filter(move |(_, v)| v.is_listed || now.since(v.last) < period);
        recent.map(|(software, _)| software)
    }

    /// Returns whether several versions of a service have served within `period`.
    #[must_use]
    pub fn is_mixed(&self, period: Duration, now: MonoTime) -> bool {
        let mut services = self.services.keys();
        services.any(|service| self.recent(service, period, now).count() > 1)
    }
}
