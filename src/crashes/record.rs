//! What is known of one suspect.

use std::time::Duration;

use indexmap::IndexMap;

use crate::crashes::report::CrashReport;
use crate::crashes::suspect::SuspectKey;
use crate::names::{MonoTime, ServiceName, millis};
use crate::target_incarnation::TargetIncarnation;

/// Time for which a suspect that is not quarantined is retained after its last crash.
const SUSPICION_RETENTION: Duration = Duration::from_secs(600);
/// The same for a part all of whose crashes were refuted. Each crash of a target makes many parts
/// suspect.
const REFUTED_RETENTION: Duration = Duration::from_secs(10);
/// Time before the end of a record's retention in which it is no longer rebroadcast.
const EXPIRY_MARGIN: Duration = Duration::from_secs(30);
/// Time for which a quarantined suspect is retained after its last request.
const QUARANTINE_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Maximum number of target incarnations recorded per suspect.
const MAX_INCARNATIONS: usize = 16;

/// A crash of which something is suspected.
#[derive(Clone, Copy, Debug)]
pub struct CrashRecord {
    /// When this daemon observed it or received its report.
    pub at: MonoTime,
    /// Whether this daemon observed it.
    pub local: bool,
    /// Whether it was sent to peers or received from one.
    pub announced: bool,
    /// Whether the target turned out to be alive, or the suspect to be sound.
    pub refuted: bool,
    /// Whether a target ran a request without the suspect to completion shortly after the crash,
    /// so that not everything failed then, and since when that is known here. Always for work.
    pub confirmed_at: Option<MonoTime>,
}

/// What is known of one suspect.
#[derive(Clone, Debug)]
pub struct SuspectRecord {
    /// What it is suspected to have crashed.
    pub crashes: IndexMap<TargetIncarnation, CrashRecord>,
    /// When it last crashed a target.
    pub last_crash: MonoTime,
    /// When it was last requested.
    pub last_requested: MonoTime,
    /// Requests with it since it is suspect.
    pub requests: u64,
    /// When its last trial began, unless that has ended.
    pub trial_at: Option<MonoTime>,
    /// Number of its crashes when it was quarantined, if it is.
    pub quarantined_with: Option<usize>,
    /// Route on which this daemon observed a crash; empty if it did not.
    pub route: String,
    /// Service of the targets, if it is known.
    pub service: Option<ServiceName>,
}

impl SuspectRecord {
    /// Creates a record of a suspect that crashed a target at `seen`.
    #[must_use]
    pub fn new(seen: MonoTime) -> Self {
        Self {
            crashes: IndexMap::new(),
            last_crash: seen,
            last_requested: seen,
            requests: 0,
            trial_at: None,
            quarantined_with: None,
            route: String::new(),
            service: None,
        }
    }

    /// Returns the crashes that were not refuted.
    pub fn open_crashes(&self) -> impl Iterator<Item = (&TargetIncarnation, &CrashRecord)> {
        self.crashes.iter().filter(|(_, crash)| !crash.refuted)
    }

    /// Returns their number.
    #[must_use]
    pub fn crash_count(&self) -> usize {
        self.open_crashes().count()
    }

    /// Returns those that count towards a quarantine.
    pub fn confirmed_crashes(&self) -> impl Iterator<Item = (&TargetIncarnation, &CrashRecord)> {
        self.open_crashes()
            .filter(|(_, crash)| crash.confirmed_at.is_some())
    }

    /// Returns their number.
    #[must_use]
    pub fn confirmed_count(&self) -> usize {
        self.confirmed_crashes().count()
    }

    /// Returns whether it is quarantined.
    #[must_use]
    pub fn is_quarantined(&self) -> bool {
        self.quarantined_with.is_some()
    }

    /// Returns when the next trial of a quarantined suspect is due, if there is one.
    #[must_use]
    pub fn next_trial(&self, key: SuspectKey) -> Option<MonoTime> {
        let trials = self.crash_count().checked_sub(self.quarantined_with?)?;
        let delay = key.rule().trial_delays.get(trials)?;
        Some(self.last_crash.plus(*delay))
    }

    fn age(&self, now: MonoTime) -> Duration {
        let seen = if self.is_quarantined() {
            self.last_requested.max(self.last_crash)
        } else {
            self.last_crash
        };
        now.since(seen)
    }

    fn retention(&self, key: SuspectKey) -> Duration {
        if self.is_quarantined() {
            QUARANTINE_RETENTION
        } else if key.is_part() && self.crash_count() == 0 {
            REFUTED_RETENTION
        } else {
            SUSPICION_RETENTION
        }
    }

    /// Returns whether it is no longer retained.
    #[must_use]
    pub fn is_expired(&self, key: SuspectKey, now: MonoTime) -> bool {
        self.age(now) >= self.retention(key)
    }

    /// Returns whether it is rebroadcast in rotation. That ends before its retention: a daemon
    /// whose record expired would otherwise learn it again from a peer.
    #[must_use]
    pub fn needs_rebroadcast(&self, key: SuspectKey, now: MonoTime) -> bool {
        let announced = self.crashes.values().filter(|crash| crash.announced);
        announced.count() > 1 && self.age(now) + EXPIRY_MARGIN < self.retention(key)
    }

    /// Makes room for one more incarnation; returns false if there is none and no refuted
    /// incarnation to remove.
    pub fn make_incarnation_room(&mut self) -> bool {
        if self.crashes.len() < MAX_INCARNATIONS {
            return true;
        }
        let refuted = self.crashes.values().position(|crash| crash.refuted);
        refuted.is_some_and(|oldest| self.crashes.shift_remove_index(oldest).is_some())
    }

    /// Returns a report of the crashes that were or are being announced to peers.
    #[must_use]
    pub fn report(&self, suspect: SuspectKey, now: MonoTime) -> CrashReport {
        let mut report = CrashReport {
            suspect,
            crashes: Vec::new(),
            confirmed: Vec::new(),
            refuted: Vec::new(),
            age_ms: millis(self.age(now)),
            service: self.service.clone(),
        };
        for (incarnation, crash) in self.crashes.iter().filter(|(_, crash)| crash.announced) {
            let list = match (crash.refuted, crash.confirmed_at.is_some()) {
                (true, _) => &mut report.refuted,
                (false, true) => &mut report.confirmed,
                (false, false) => &mut report.crashes,
            };
            list.push(incarnation.clone());
        }
        report
    }
}
