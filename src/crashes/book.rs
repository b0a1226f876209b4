//! Which work ended which targets.
//!
//! Each connection that ends under a run makes the run's work a suspect: a target that ends
//! takes all of its runs with it, and which of them is to blame shows only when the same
//! work ends the next one. A suspicion is dropped when the target proves to live on, and
//! all of them when the work runs to its end.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::crashes::news::{CrashBroadcasts, WorkNote};
use crate::crashes::work_digest::WorkDigest;
use crate::names::{MonoTime, millis};
use crate::target_life::TargetLife;

/// Targets that work may end before it is held.
pub const MAX_CRASHES: usize = 3;
/// Time for which work that ended fewer targets stays a suspect.
const SUSPICION_RETENTION: Duration = Duration::from_secs(600);
/// Time before the end of that, and of the next one, in which others are told nothing more.
const EXPIRY_MARGIN: Duration = Duration::from_secs(30);
/// Time for which held work that nobody asks for is remembered.
const QUARANTINE_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Time after the last end at which held work is tried once: then, and if it ends another
/// target, once more. After that it is held until an operator lets it go.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(600), Duration::from_secs(3_600)];
/// Time after which a trial of which nothing was heard counts as over.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(60);
/// Time until a target that ended one connection is told of: most such targets live on, and
/// show it within this time.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(200);
/// Most works that are remembered; those that ended fewer targets give way first.
const MAX_WORKS: usize = 8_192;
/// Most lives kept of a work.
const MAX_INCARNATIONS: usize = 16;

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    at: MonoTime,
    // Seen here, not heard of another daemon.
    local: bool,
    // Whether others know of it.
    announced: bool,
    // Whether the target lives on, or the work ran to its end.
    refuted: bool,
}

#[derive(Clone, Debug)]
struct WorkRecord {
    crashes: IndexMap<TargetLife, CrashRecord>,
    last_crash: MonoTime,
    last_requested: MonoTime,
    trial_at: Option<MonoTime>,
}

impl WorkRecord {
    fn new(seen: MonoTime) -> Self {
        Self {
            crashes: IndexMap::new(),
            last_crash: seen,
            last_requested: seen,
            trial_at: None,
        }
    }

    fn crash_count(&self) -> usize {
        self.crashes.values().filter(|crash| !crash.refuted).count()
    }

    fn is_held(&self) -> bool {
        self.crash_count() >= MAX_CRASHES
    }

    fn next_trial(&self) -> Option<MonoTime> {
        let delay = TRIAL_DELAYS.get(self.crash_count().checked_sub(MAX_CRASHES)?)?;
        Some(self.last_crash.plus(*delay))
    }

    fn age(&self, now: MonoTime) -> Duration {
        let seen = if self.is_held() {
            self.last_requested.max(self.last_crash)
        } else {
            self.last_crash
        };
        now.since(seen)
    }

    fn retention(&self) -> Duration {
        if self.is_held() {
            QUARANTINE_RETENTION
        } else {
            SUSPICION_RETENTION
        }
    }

    fn is_expired(&self, now: MonoTime) -> bool {
        self.age(now) >= self.retention()
    }

    // Told for less time than it is kept: a daemon that forgot it would learn it anew.
    fn needs_rebroadcast(&self, now: MonoTime) -> bool {
        let announced = self.crashes.values().filter(|crash| crash.announced);
        announced.count() > 1 && self.age(now) + EXPIRY_MARGIN < self.retention()
    }

    // Makes room for another life; true where there is.
    fn make_incarnation_room(&mut self) -> bool {
        if self.crashes.len() < MAX_INCARNATIONS {
            return true;
        }
        let refuted = self.crashes.values().position(|crash| crash.refuted);
        refuted.is_some_and(|oldest| self.crashes.shift_remove_index(oldest).is_some())
    }

    // Others know of those ends only that they were told.
    fn note(&self, work: WorkDigest, now: MonoTime) -> WorkNote {
        let announced = self.crashes.iter().filter(|(_, crash)| crash.announced);
        let (refuted, crashes): (Vec<_>, Vec<_>) = announced.partition(|(_, crash)| crash.refuted);
        let incarnations = |found: Vec<(&TargetLife, &CrashRecord)>| {
            let incarnations = found
                .into_iter()
                .map(|(incarnation, _)| incarnation.clone());
            incarnations.collect()
        };
        WorkNote {
            work,
            crashes: incarnations(crashes),
            refuted: incarnations(refuted),
            age_ms: millis(self.age(now)),
        }
    }
}

/// When a request was sent, on a connection from when.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimes {
    /// When the connection was opened.
    pub opened: MonoTime,
    /// When the request was sent.
    pub sent: MonoTime,
}

/// What may be done with work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkStanding {
    /// It is sent.
    Free,
    /// It is sent once, to see whether targets withstand it now.
    Trial,
    /// It is not sent; when it is tried next, if ever.
    Held(Option<Duration>),
}

/// Which work ended which targets.
#[derive(Clone, Debug, Default)]
pub struct CrashBook {
    works: IndexMap<WorkDigest, WorkRecord>,
    // Suspicions by the life that may still refute them.
    suspicions: IndexMap<TargetLife, IndexSet<WorkDigest>>,
    broadcasts: CrashBroadcasts,
}

impl CrashBook {
    /// Whether there is no suspect.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.works.is_empty()
    }

    /// Takes a connection that ended under a run of `work`; true when the work is held from
    /// now on.
    pub fn note_end(&mut self, work: WorkDigest, target: &TargetLife, now: MonoTime) -> bool {
        let crash = CrashRecord {
            at: now,
            local: true,
            announced: false,
            refuted: false,
        };
        if !self.insert_crash(work, target, crash, now) {
            return false;
        }
        let crash_count = self.works.get(&work).map_or(0, WorkRecord::crash_count);
        let wait = if crash_count == 1 {
            CONFIRMATION_DELAY
        } else {
            Duration::ZERO
        };
        self.broadcasts.schedule(work, now.plus(wait));
        crash_count == MAX_CRASHES
    }

    /// Takes what another daemon, or the store, tells of work; true when it is held from now
    /// on. `relays` tells whether it is to be told on.
    pub fn take_note(&mut self, note: &WorkNote, relays: bool, now: MonoTime) -> bool {
        let was_held = self.is_held(note.work);
        let seen = MonoTime(now.0.saturating_sub(note.age_ms));
        let crash = CrashRecord {
            at: now,
            local: false,
            announced: true,
            refuted: false,
        };
        let mut changed = false;
        for target in &note.crashes {
            changed |= self.insert_crash(note.work, target, crash, seen);
        }
        for target in &note.refuted {
            changed |= self.insert_refuted(note.work, target, crash, seen);
        }
        if let Some(record) = self.works.get_mut(&note.work) {
            record.last_requested = record.last_requested.max(seen);
        }
        if changed && relays {
            self.broadcasts.schedule(note.work, now);
        }
        !was_held && self.is_held(note.work)
    }

    /// Takes that a target answered to the end at `now`.
    ///
    /// Where a target keeps its name when it starts again, only a connection from before the
    /// end shows that it was none.
    pub fn record_answer(&mut self, target: &TargetLife, times: AnswerTimes, now: MonoTime) {
        let keeps_id = target.born().is_some();
        self.refute_crashes(target, now, |crash| {
            if !crash.local {
                false
            } else if times.opened < crash.at {
                times.sent > crash.at || now.since(crash.at) >= CONFIRMATION_DELAY
            } else {
                times.sent > crash.at && !keeps_id
            }
        });
    }

    /// Takes which targets have an entry in the store, which was heard all the time from
    /// `reachable_since` on.
    ///
    /// The entry of a target that ended lapses within `lapse_time` while the store is there;
    /// one that is not gone after that is of a target that lives.
    pub fn note_entries(
        &mut self,
        has_entry: impl Fn(&TargetLife) -> bool,
        lapse_time: Duration,
        reachable_since: MonoTime,
        now: MonoTime,
    ) {
        let alive = self.suspicions.keys().filter(|target| has_entry(target));
        let alive: Vec<TargetLife> = alive.cloned().collect();
        for target in alive {
            self.refute_crashes(&target, now, |crash| {
                now.since(crash.at.max(reachable_since)) >= lapse_time
            });
        }
    }

    /// Takes that work ran to its end: whatever ended under it, it was not to blame.
    pub fn note_whole(&mut self, work: WorkDigest, now: MonoTime) {
        let Some(record) = self.works.get(&work) else {
            return;
        };
        let incarnations: Vec<TargetLife> = record.crashes.keys().cloned().collect();
        for target in &incarnations {
            self.refute(work, target);
        }
        self.announce_refuted(work, now);
    }

    /// What may be done with work now. One daemon of the fleet `tries` held work.
    pub fn standing(&mut self, work: WorkDigest, may_try: bool, now: MonoTime) -> WorkStanding {
        let Some(record) = self.works.get_mut(&work) else {
            return WorkStanding::Free;
        };
        record.last_requested = now;
        if !record.is_held() {
            return WorkStanding::Free;
        }
        let next = record.next_trial();
        let on_trial = record
            .trial_at
            .is_some_and(|at| now.since(at) < TRIAL_TIMEOUT);
        if may_try && !on_trial && next.is_some_and(|at| at <= now) {
            record.trial_at = Some(now);
            return WorkStanding::Trial;
        }
        WorkStanding::Held(next.map(|at| at.since(now)))
    }

    /// Whether work is held.
    #[must_use]
    pub fn is_held(&self, work: WorkDigest) -> bool {
        self.works.get(&work).is_some_and(WorkRecord::is_held)
    }

    /// Targets that ended under work, as far as not refuted.
    #[must_use]
    pub fn crashed_targets(&self, work: WorkDigest) -> Vec<TargetLife> {
        let record = self.works.get(&work);
        let crashes = record.into_iter().flat_map(|record| &record.crashes);
        let unrefuted = crashes.filter(|(_, crash)| !crash.refuted);
        unrefuted
            .map(|(incarnation, _)| incarnation.clone())
            .collect()
    }

    /// Whether anything of a work is remembered.
    #[must_use]
    pub fn contains(&self, work: WorkDigest) -> bool {
        self.works.contains_key(&work)
    }

    /// Works that are held.
    pub fn quarantined(&self) -> impl Iterator<Item = WorkDigest> {
        let quarantined = self.works.iter().filter(|(_, record)| record.is_held());
        quarantined.map(|(work, _)| *work)
    }

    /// Works that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.works.len()
    }

    /// What goes into the next word to other daemons.
    pub fn pick(&mut self, now: MonoTime) -> Vec<WorkNote> {
        if self.works.is_empty() {
            return Vec::new();
        }
        let repeated = self.works.iter();
        let repeated = repeated.filter(|(_, record)| record.needs_rebroadcast(now));
        let repeated: Vec<WorkDigest> = repeated.map(|(work, _)| *work).collect();
        let due = self.broadcasts.select_due(&repeated, now);
        let mut notes = Vec::new();
        for work in due {
            if let Some(record) = self.works.get_mut(&work) {
                record
                    .crashes
                    .values_mut()
                    .for_each(|crash| crash.announced = true);
                notes.push(record.note(work, now));
            }
        }
        notes
    }

    /// Forgets what is over.
    pub fn sweep(&mut self, now: MonoTime) {
        let expired = self
            .works
            .iter()
            .filter(|(_, record)| record.is_expired(now));
        let expired: Vec<WorkDigest> = expired.map(|(work, _)| *work).collect();
        expired.into_iter().for_each(|work| self.remove(work));
    }

    fn insert_crash(
        &mut self,
        work: WorkDigest,
        target: &TargetLife,
        crash: CrashRecord,
        seen: MonoTime,
    ) -> bool {
        if !self.works.contains_key(&work) && self.works.len() >= MAX_WORKS {
            self.evict_works();
        }
        let new_record = || WorkRecord::new(seen);
        let record = self.works.entry(work).or_insert_with(new_record);
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
        suspicions.insert(work);
        true
    }

    fn refute_crashes(
        &mut self,
        target: &TargetLife,
        now: MonoTime,
        refutes: impl Fn(&CrashRecord) -> bool,
    ) {
        let Some(suspicions) = self.suspicions.get(target) else {
            return;
        };
        let refuted = suspicions.iter().filter(|work| {
            let record = self.works.get(*work);
            let crash = record.and_then(|record| record.crashes.get(target));
            crash.is_some_and(|crash| !crash.refuted && refutes(crash))
        });
        let refuted: Vec<WorkDigest> = refuted.copied().collect();
        for work in refuted {
            self.refute(work, target);
            self.announce_refuted(work, now);
        }
    }

    fn insert_refuted(
        &mut self,
        work: WorkDigest,
        target: &TargetLife,
        crash: CrashRecord,
        seen: MonoTime,
    ) -> bool {
        let known = self.works.get(&work);
        let known = known.and_then(|record| record.crashes.get(target));
        if known.is_some_and(|crash| crash.refuted) {
            return false;
        }
        // Kept also where the end was not heard of: word of it may still come.
        self.insert_crash(work, target, crash, seen);
        self.refute(work, target);
        true
    }

    fn refute(&mut self, work: WorkDigest, target: &TargetLife) {
        let record = self.works.get_mut(&work);
        if let Some(crash) = record.and_then(|record| record.crashes.get_mut(target)) {
            crash.refuted = true;
        }
        self.remove_suspicion(target, work);
    }

    fn remove_suspicion(&mut self, target: &TargetLife, work: WorkDigest) {
        if let Some(suspicions) = self.suspicions.get_mut(target) {
            suspicions.swap_remove(&work);
            if suspicions.is_empty() {
                self.suspicions.swap_remove(target);
            }
        }
    }

    // What nobody was told of needs no word.
    fn announce_refuted(&mut self, work: WorkDigest, now: MonoTime) {
        let Some(record) = self.works.get_mut(&work) else {
            return;
        };
        record
            .crashes
            .retain(|_, crash| crash.announced || !crash.refuted);
        if record.crashes.is_empty() {
            self.remove(work);
        } else {
            self.broadcasts.schedule(work, now);
        }
    }

    fn remove(&mut self, work: WorkDigest) {
        self.broadcasts.cancel(work);
        let Some(record) = self.works.swap_remove(&work) else {
            return;
        };
        for target in record.crashes.keys() {
            self.remove_suspicion(target, work);
        }
    }

    // Forgets an eighth at once, so that a flood does not pay for each entry.
    fn evict_works(&mut self) {
        let all = self.works.iter();
        let mut all: Vec<(usize, MonoTime, WorkDigest)> = all
            .map(|(work, record)| (record.crash_count(), record.last_crash, *work))
            .collect();
        all.sort_unstable();
        let evicted = all.into_iter().take(MAX_WORKS / 8);
        evicted.for_each(|(_, _, work)| self.remove(work));
    }
}
