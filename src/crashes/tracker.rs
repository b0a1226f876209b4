//! Tracks which suspects crashed which targets.
//!
//! Each connection lost during a request makes the request's work and the parts of its prompt
//! suspect: a crashing target takes all of its requests with it, and only when the same suspect
//! crashes the next target does it show which of them is the cause. A suspicion is dropped when
//! the target turns out to be alive, and all suspicions of a suspect are dropped when it runs to
//! completion.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::broadcast_schedule::BroadcastSchedule;
use crate::crashes::record::{CrashRecord, SuspectRecord};
use crate::crashes::report::CrashReport;
use crate::crashes::survivals::SurvivalLog;
use crate::crashes::suspect::SuspectKey;
use crate::crashes::suspect_digest::SuspectDigest;
use crate::crashes::verdict::{self, SuspectRecords};
use crate::names::{MonoTime, ServiceName};
use crate::target_incarnation::TargetIncarnation;

/// Time after which a trial without a result counts as finished.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(60);
/// Time before the first crash of a suspect is reported to peers: most targets that lose one
/// connection are alive, and show it within this time.
pub(super) const CONFIRMATION_DELAY: Duration = Duration::from_millis(200);
/// Time after which a crash that could have been confirmed is no longer looked at.
const CONFIRMATION_SLACK: Duration = Duration::from_secs(1);
/// Maximum number of tracked suspects of a kind; those with the fewest crashes are evicted first.
const MAX_SUSPECTS: usize = 8_192;

/// When a connection was opened and a request was sent on it.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeTimes {
    /// When the connection was opened.
    pub opened: MonoTime,
    /// When the request was sent.
    pub sent: MonoTime,
}

/// A request whose target may have crashed under it.
#[derive(Clone, Copy, Debug)]
pub struct LostRequest<'a> {
    /// What may have crashed the target.
    pub suspects: &'a [SuspectKey],
    /// Route of the request; empty if unknown.
    pub route: &'a str,
    /// Service of the target, if it is known.
    pub service: Option<&'a ServiceName>,
    /// The target.
    pub target: &'a TargetIncarnation,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectStatus {
    /// It may be sent.
    Allowed,
    /// It may be sent once, to test whether targets survive it now.
    Trial,
    /// It may not be sent. Holds what is quarantined, and the time until the next trial, if there
    /// is one.
    Quarantined(SuspectKey, Option<Duration>),
}

/// Tracks which suspects crashed which targets.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    pub(super) records: SuspectRecords,
    // Suspects that are quarantined or have enough crashes to be.
    likely: IndexSet<SuspectKey>,
    // Suspects by the target incarnation that may still refute the suspicion.
    pub(super) suspicions: IndexMap<TargetIncarnation, IndexSet<SuspectKey>>,
    survivals: SurvivalLog,
    pub(super) broadcasts: BroadcastSchedule<SuspectKey>,
    // Whether the evidence changed since the last review, and when one is due in any case.
    is_changed: bool,
    next_review: Option<MonoTime>,
}

impl CrashTracker {
    /// Returns whether nothing is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records a connection lost while its target ran a request.
    pub fn record_crash(&mut self, lost: LostRequest<'_>, now: MonoTime) {
        let crash = CrashRecord {
            at: now,
            local: true,
            announced: false,
            refuted: false,
            confirmed_at: None,
        };
        for key in lost.suspects {
            if key.is_part() && self.survivals.exculpates(key.digest(), now) {
                continue;
            }
            let confirmed_at = (!key.is_part()).then_some(now);
            let crash = CrashRecord {
                confirmed_at,
                ..crash
            };
            if !self.insert_crash(*key, lost.target, crash, now) {
                continue;
            }
            let Some(record) = self.records.get_mut(key) else {
                continue;
            };
            lost.route.clone_into(&mut record.route);
            record.service = lost.service.cloned().or(record.service.take());
            let is_first = record.crash_count() == 1;
            let wait = if is_first {
                CONFIRMATION_DELAY
            } else {
                Duration::ZERO
            };
            self.broadcasts.schedule(*key, now.plus(wait));
        }
    }

    /// Merges a report from a peer or from the store. With `relays`, changes are passed on to
    /// other daemons.
    pub fn apply_report(&mut self, report: &CrashReport, relays: bool, now: MonoTime) {
        let key = report.suspect;
        let seen = MonoTime(now.0.saturating_sub(report.age_ms));
        let crash = CrashRecord {
            at: now,
            local: false,
            announced: true,
            refuted: false,
            confirmed_at: None,
        };
        let mut changed = false;
        for target in &report.crashes {
            changed |= self.insert_crash(key, target, crash, seen);
        }
        for target in &report.confirmed {
            changed |= self.insert_crash(key, target, crash, seen);
            changed |= self.confirm(key, target, now);
        }
        for target in &report.refuted {
            changed |= self.insert_refuted(key, target, crash, seen);
        }
        if let Some(record) = self.records.get_mut(&key) {
            record.last_requested = record.last_requested.max(seen);
            if record.service.is_none() {
                record.service.clone_from(&report.service);
            }
        }
        if changed && relays {
            self.broadcasts.schedule(key, now);
        }
        if key.is_part() && self.survivals.exculpates(key.digest(), seen) {
            self.refute_all(key, now);
        }
    }

    /// Records that a request ran to completion, which refutes all crashes recorded for its work
    /// and for the parts of its prompt.
    pub fn record_completion(
        &mut self,
        suspects: &[SuspectKey],
        service: Option<&ServiceName>,
        now: MonoTime,
    ) {
        let parts = suspects.iter().filter(|key| key.is_part());
        let parts: Vec<SuspectDigest> = parts.map(|key| key.digest()).collect();
        if let Some(service) = service
            && !parts.is_empty()
        {
            self.survivals.note(service, &parts, now);
        }
        for key in suspects {
            self.refute_all(*key, now);
        }
    }

    /// Quarantines suspects that have crashed enough targets, and releases those that have not.
    /// Returns the newly quarantined ones. Parts are quarantined only `report_time` after their
    /// crashes, in which other daemons report that targets survived them.
    pub fn review(&mut self, report_time: Duration, now: MonoTime) -> Vec<SuspectKey> {
        let is_due = self.next_review.is_some_and(|at| at <= now);
        if self.likely.is_empty() || !(self.is_changed || is_due) {
            return Vec::new();
        }
        let verdict = verdict::judge(&self.records, &self.likely, report_time, now);
        self.is_changed = false;
        self.next_review = verdict.next;
        for key in &verdict.released {
            if let Some(record) = self.records.get_mut(key) {
                record.quarantined_with = None;
            }
            self.update_likely(*key);
        }
        for key in &verdict.quarantined {
            if let Some(record) = self.records.get_mut(key) {
                record.quarantined_with = Some(record.crash_count());
                self.broadcasts.schedule(*key, now);
            }
        }
        verdict.quarantined
    }

    /// Counts a request at its arrival, and returns whether it may be sent now. Only the one
    /// daemon of the fleet with `may_start_trial` starts trials of quarantined suspects.
    pub fn admit(
        &mut self,
        suspects: &[SuspectKey],
        may_start_trial: bool,
        now: MonoTime,
    ) -> SuspectStatus {
        let mut status = SuspectStatus::Allowed;
        for key in suspects {
            let Some(record) = self.records.get_mut(key) else {
                continue;
            };
            record.last_requested = now;
            record.requests += 1;
            if !record.is_quarantined() {
                continue;
            }
            let next = record.next_trial(*key);
            let on_trial = record
                .trial_at
                .is_some_and(|at| now.since(at) < TRIAL_TIMEOUT);
            let is_trial = may_start_trial && !on_trial && next.is_some_and(|at| at <= now);
            if !is_trial {
                return SuspectStatus::Quarantined(*key, next.map(|at| at.since(now)));
            }
            status = SuspectStatus::Trial;
        }
        if status == SuspectStatus::Trial {
            for key in suspects {
                if let Some(record) = self.records.get_mut(key) {
                    record.trial_at = Some(now);
                }
            }
        }
        status
    }

    /// Returns whether a suspect is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, key: SuspectKey) -> bool {
        self.records
            .get(&key)
            .is_some_and(SuspectRecord::is_quarantined)
    }

    /// Returns the target incarnations that crashed under a suspect, without refuted crashes.
    #[must_use]
    pub fn crashed_targets(&self, key: SuspectKey) -> Vec<TargetIncarnation> {
        let record = self.records.get(&key);
        let crashes = record.into_iter().flat_map(SuspectRecord::open_crashes);
        crashes
            .map(|(incarnation, _)| incarnation.clone())
            .collect()
    }

    /// Returns the route on which this daemon observed crashes of a suspect; empty if it did not.
    #[must_use]
    pub fn route(&self, key: SuspectKey) -> String {
        let record = self.records.get(&key);
        record
            .map(|record| record.route.clone())
            .unwrap_or_default()
    }

    /// Returns how many crashes a quarantined suspect had when it was quarantined.
    #[must_use]
    pub fn quarantined_with(&self, key: SuspectKey) -> Option<usize> {
        self.records.get(&key)?.quarantined_with
    }

    /// Keeps the number of crashes that a suspect had when another daemon quarantined it, so that
    /// a daemon that starts counts its trials from there.
    pub fn restore_quarantine(&mut self, key: SuspectKey, crashes: usize) {
        if let Some(record) = self.records.get_mut(&key)
            && let Some(known) = &mut record.quarantined_with
        {
            *known = crashes.min(*known);
        }
    }

    /// Returns whether a target may have crashed under a suspect.
    #[must_use]
    pub fn may_have_crashed(&self, target: &TargetIncarnation) -> bool {
        self.suspicions.contains_key(target)
    }

    /// Returns whether a suspect is tracked.
    #[must_use]
    pub fn contains(&self, key: SuspectKey) -> bool {
        self.records.contains_key(&key)
    }

    /// Returns the quarantined suspects.
    pub fn quarantined(&self) -> impl Iterator<Item = SuspectKey> {
        let quarantined = self
            .records
            .iter()
            .filter(|(_, record)| record.is_quarantined());
        quarantined.map(|(key, _)| *key)
    }

    /// Returns the number of tracked suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the reports for the next message to other daemons.
    pub fn due_reports(&mut self, now: MonoTime) -> Vec<CrashReport> {
        if self.records.is_empty() {
            return Vec::new();
        }
        let eligible = self.records.iter();
        let eligible = eligible.filter(|(key, record)| record.needs_rebroadcast(**key, now));
        let eligible: Vec<SuspectKey> = eligible.map(|(key, _)| *key).collect();
        let due = self.broadcasts.select_due(&eligible, now);
        let mut reports = Vec::new();
        for key in due {
            if let Some(record) = self.records.get_mut(&key) {
                record
                    .crashes
                    .values_mut()
                    .for_each(|crash| crash.announced = true);
                reports.push(record.report(key, now));
            }
        }
        reports
    }

    /// Removes suspects whose retention has expired.
    pub fn sweep(&mut self, now: MonoTime) {
        let expired = self
            .records
            .iter()
            .filter(|(key, record)| record.is_expired(**key, now));
        let expired: Vec<SuspectKey> = expired.map(|(key, _)| *key).collect();
        expired.into_iter().for_each(|key| self.remove(key));
    }

    /// Confirms crashes after which targets ran a request without the suspect to completion `within` a
    /// time. One with the suspect would have refuted them.
    pub fn confirm_crashes(&mut self, within: Duration, now: MonoTime) {
        let mut confirmed = Vec::new();
        for (key, record) in &self.records {
            let Some(service) = &record.service else {
                continue;
            };
            let is_open = |crash: &CrashRecord| {
                crash.confirmed_at.is_none() && now.since(crash.at) < within + CONFIRMATION_SLACK
            };
            for (target, crash) in record.open_crashes().filter(|(_, crash)| is_open(crash)) {
                if self.survivals.has_completed(service, crash.at, within) {
                    confirmed.push((*key, target.clone()));
                }
            }
        }
        for (key, target) in confirmed {
            self.confirm(key, &target, now);
            let crash = self.records.get(&key).map(|record| record.crashes[&target]);
            // Other daemons confirm by themselves what they do not observe.
            if crash.is_some_and(|crash| crash.local && crash.announced) {
                self.broadcasts.schedule(key, now);
            }
        }
    }

    // Returns whether the crash was not confirmed before.
    fn confirm(&mut self, key: SuspectKey, target: &TargetIncarnation, now: MonoTime) -> bool {
        let record = self.records.get_mut(&key);
        let crash = record.and_then(|record| record.crashes.get_mut(target));
        let Some(crash) = crash.filter(|crash| crash.confirmed_at.is_none()) else {
            return false;
        };
        crash.confirmed_at = Some(now);
        self.update_likely(key);
        true
    }

    pub(super) fn insert_crash(
        &mut self,
        key: SuspectKey,
        target: &TargetIncarnation,
        crash: CrashRecord,
        seen: MonoTime,
    ) -> bool {
        if !self.records.contains_key(&key) && self.records.len() >= MAX_SUSPECTS {
            self.evict_suspects(key.is_part());
        }
        let new_record = || SuspectRecord::new(seen);
        let record = self.records.entry(key).or_insert_with(new_record);
        if let Some(known) = record.crashes.get_mut(target) {
            known.local |= crash.local;
            return false;
        }
        if !record.make_incarnation_room() {
            return false;
        }
        record.crashes.insert(target.clone(), crash);
        record.last_crash = record.last_crash.max(seen);
        record.trial_at = None;
        let suspicions = self.suspicions.entry(target.clone()).or_default();
        suspicions.insert(key);
        self.update_likely(key);
        true
    }

    pub(super) fn update_likely(&mut self, key: SuspectKey) {
        let record = self.records.get(&key);
        let is_likely = record.is_some_and(|record| {
            record.is_quarantined() || record.confirmed_count() >= key.rule().crashes
        });
        if is_likely {
            self.likely.insert(key);
        } else {
            self.likely.swap_remove(&key);
        }
        self.is_changed = true;
    }

    pub(super) fn remove_suspicion(&mut self, target: &TargetIncarnation, key: SuspectKey) {
        if let Some(suspicions) = self.suspicions.get_mut(target) {
            suspicions.swap_remove(&key);
            if suspicions.is_empty() {
                self.suspicions.swap_remove(target);
            }
        }
    }

    pub(super) fn remove(&mut self, key: SuspectKey) {
        self.broadcasts.cancel(&key);
        self.likely.swap_remove(&key);
        let Some(record) = self.records.swap_remove(&key) else {
            return;
        };
        for target in record.crashes.keys() {
            self.remove_suspicion(target, key);
        }
    }

    // Evicts an eighth at once, so that a flood of suspects does not cause a sort for each new
    // entry. Quarantined ones have the most crashes.
    fn evict_suspects(&mut self, parts: bool) {
        let same_kind = self
            .records
            .iter()
            .filter(|(key, _)| key.is_part() == parts);
        let mut all: Vec<(bool, usize, MonoTime, SuspectKey)> = same_kind
            .map(|(key, record)| {
                let count = record.crash_count();
                (record.is_quarantined(), count, record.last_crash, *key)
            })
            .collect();
        all.sort_unstable();
        let evicted = all.into_iter().take(MAX_SUSPECTS / 8);
        evicted.for_each(|(_, _, _, key)| self.remove(key));
    }
}
