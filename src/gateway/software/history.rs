//! Which versions of the targets' software have served lately, as far as one daemon knows.
//!
//! That a single version serves now says nothing about a stream that began earlier, perhaps at a
//! version whose targets have left. It does if no other version has served for as long as a
//! stream can last, and if the daemon would know of one: what came and went before a list of the
//! targets, at its start or where the store could not tell all changes, is not in that list.

use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::fleet::TargetsByService;
use crate::names::{MonoTime, ServiceName, SoftwareVersion, millis};

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

impl VersionUse {
    // Returns the time since it last served.
    fn age(&self, now: MonoTime) -> Duration {
        if self.is_listed {
            Duration::ZERO
        } else {
            now.since(self.last)
        }
    }

    fn is_recent(&self, period: Duration, now: MonoTime) -> bool {
        self.age(now) < period
    }
}

/// Versions by service, with the time since they last served.
pub type ServedVersions = IndexMap<ServiceName, IndexMap<SoftwareVersion, Duration>>;

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

/// Versions before the last list that were recalled from the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct RecalledPeriod {
    at: MonoTime,
    // Time before that which the store's record covers.
    covered: Duration,
}

impl RecalledPeriod {
    fn covers(self, period: Duration, now: MonoTime) -> bool {
        now.since(self.at) + self.covered >= period
    }
}

/// Versions that have served lately, by service.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    known_since: Option<KnownSince>,
    recalled: Option<RecalledPeriod>,
    // When the fleet started, until the first list.
    fleet_start: Option<MonoTime>,
    // Lists so far, and after how many of them the versions before the list were recalled, or
    // could not be.
    lists: u64,
    recalled_lists: u64,
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
        self.lists += 1;
        self.recalled = None;
        let fleet_start = self.fleet_start.take();
        let begins = fleet_start.is_some_and(|at| now.since(at) <= FLEET_START_TIME);
        self.known_since = Some(if begins {
            KnownSince::FleetStart
        } else {
            KnownSince::List(now)
        });
    }

    /// Returns how often all targets were listed.
    #[must_use]
    pub fn lists(&self) -> u64 {
        self.lists
    }

    /// Records that it was recalled, in calls that began after so many lists, which versions
    /// served from a time `covered` ago until now; nothing if that cannot be known. Without a
    /// list since then, this closes the gap before the last one.
    pub fn note_recalled(&mut self, lists: u64, covered: Option<Duration>, now: MonoTime) {
        self.recalled_lists = lists;
        let covered = covered.filter(|_| lists == self.lists);
        self.recalled = covered.map(|covered| RecalledPeriod { at: now, covered });
    }

    /// Returns whether the versions before the last list have still to be recalled.
    #[must_use]
    pub fn is_recalling(&self) -> bool {
        let is_known = matches!(self.known_since, Some(KnownSince::FleetStart));
        !is_known && (self.lists == 0 || self.recalled_lists < self.lists)
    }

    /// Records that a target of a version serves, or did so until now.
    pub fn note_served(
        &mut self,
        service: &ServiceName,
        software: &SoftwareVersion,
        now: MonoTime,
    ) {
        self.note_served_until(service, software, now);
    }

    /// Records versions that served, as the store's record names them.
    pub fn note_record(&mut self, served: &ServedVersions, now: MonoTime) {
        for (service, versions) in served {
            for (software, age) in versions {
                let last = MonoTime(now.0.saturating_sub(millis(*age)));
                self.note_served_until(service, software, last);
            }
        }
    }

    fn note_served_until(
        &mut self,
        service: &ServiceName,
        software: &SoftwareVersion,
        last: MonoTime,
    ) {
        let versions = self.services.entry(service.clone()).or_default();
        let version = versions.entry(software.clone()).or_insert(VersionUse {
            last,
            is_listed: false,
        });
        version.last = version.last.max(last);
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
        let Some(known_since) = self.known_since.filter(|_| store_age <= MAX_READ_GAP) else {
            return false;
        };
        let covers = |recalled: RecalledPeriod| recalled.covers(period, now);
        known_since.covers(period, now) || self.recalled.is_some_and(covers)
    }

    /// Returns the versions of a service that have served within `period`.
    pub fn recent<'a>(
        &'a self,
        service: &ServiceName,
        period: Duration,
        now: MonoTime,
    ) -> impl Iterator<Item = &'a SoftwareVersion> + use<'a> {
        let versions = self.services.get(service).into_iter().flatten();
        let recent = versions.filter(move |(_, v)| v.is_recent(period, now));
        recent.map(|(software, _)| software)
    }

    /// Returns the versions of each service that have served within `period`, with the time since
    /// they last did.
    #[must_use]
    pub fn ages(&self, period: Duration, now: MonoTime) -> ServedVersions {
        let services = self.services.iter().map(|(service, versions)| {
            let recent = versions.iter().filter(|(_, v)| v.is_recent(period, now));
            let ages = recent.map(|(software, version)| (software.clone(), version.age(now)));
            (service.clone(), ages.collect())
        });
        services.collect()
    }

    /// Returns whether several versions of a service have served within `period`.
    #[must_use]
    pub fn is_mixed(&self, period: Duration, now: MonoTime) -> bool {
        let mut services = self.services.keys();
        services.any(|service| self.recent(service, period, now).count() > 1)
    }
}
