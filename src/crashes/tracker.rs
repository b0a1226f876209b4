//! Which work ended which targets.
//!
//! Each connection that ends under a run makes the run's work a suspect: a target that ends
//! takes all of its runs with it, and which of them is to blame shows only when the same
//! work ends the next one. A suspicion is dropped when the target proves to live on, and
//! all of them when the work runs to its end.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::crashes::broadcasts::{CrashBroadcasts, CrashReport};
use crate::crashes::work_digest::WorkDigest;
use crate::names::{MonoTime, millis};
use crate::target_incarnation::TargetIncarnation;

/// Targets that work may end before it is held.
pub const MOST_ENDS: usize = 3;
/// Time for which work that ended fewer targets stays a suspect.
const SUSPECT_TIME: Duration = Duration::from_secs(600);
/// Time before the end of that, and of the next one, in which others are told nothing more.
const FORGET_MARGIN: Duration = Duration::from_secs(30);
/// Time for which held work that nobody asks for is remembered.
const HELD_TIME: Duration = Duration::from_secs(24 * 3_600);
/// Time after the last end at which held work is tried once: then, and if it ends another
/// target, once more. After that it is held until an operator lets it go.
const TRIAL_PAUSES: [Duration; 2] = [Duration::from_secs(600), Duration::from_secs(3_600)];
/// Time after which a trial of which nothing was heard counts as over.
const TRIAL_TIME: Duration = Duration::from_secs(60);
/// Time until a target that ended one connection is told of: most such targets live on, and
/// show it within this time.
const PROOF_TIME: Duration = Duration::from_millis(200);
/// Most works that are remembered; those that ended fewer targets give way first.
const MOST_WORKS: usize = 8_192;
/// Most lives kept of a work.
const MOST_LIVES: usize = 16;

#[derive(Clone, Copy, Debug)]
struct EndRecord {
    at: MonoTime,
    // Seen here, not heard of another daemon.
    own: bool,
    // Whether others know of it.
    shared: bool,
    // Whether the target lives on, or the work ran to its end.
    refuted: bool,
}

#[derive(Clone, Debug)]
struct WorkRecord {
    ends: IndexMap<TargetIncarnation, EndRecord>,
    last_end: MonoTime,
    last_asked: MonoTime,
    trial_at: Option<MonoTime>,
}

impl WorkRecord {
    fn new(seen: MonoTime) -> Self {
        Self {
            ends: IndexMap::new(),
            last_end: seen,
            last_asked: seen,
            trial_at: None,
        }
    }

    fn count(&self) -> usize {
        self.ends.values().filter(|end| !end.refuted).count()
    }

    fn is_held(&self) -> bool {
        self.count() >= MOST_ENDS
    }

    fn next_trial(&self) -> Option<MonoTime> {
        let pause = TRIAL_PAUSES.get(self.count().checked_sub(MOST_ENDS)?)?;
        Some(self.last_end.plus(*pause))
    }

    fn age(&self, now: MonoTime) -> Duration {
        let seen = if self.is_held() {
            self.last_asked.max(self.last_end)
        } else {
            self.last_end
        };
        now.since(seen)
    }

    fn longest(&self) -> Duration {
        if self.is_held() {
            HELD_TIME
        } else {
            SUSPECT_TIME
        }
    }

    fn is_over(&self, now: MonoTime) -> bool {
        self.age(now) >= self.longest()
    }

    // Told for less time than it is kept: a daemon that forgot it would learn it anew.
    fn is_told_again(&self, now: MonoTime) -> bool {
        let shared = self.ends.values().filter(|end| end.shared);
        shared.count() > 1 && self.age(now) + FORGET_MARGIN < self.longest()
    }

    // Makes room for another life; true where there is.
    fn drop_refuted(&mut self) -> bool {
        if self.ends.len() < MOST_LIVES {
            return true;
        }
        let refuted = self.ends.values().position(|end| end.refuted);
        refuted.is_some_and(|oldest| self.ends.shift_remove_index(oldest).is_some())
    }

    // Others know of those ends only that they were told.
    fn note(&self, work: WorkDigest, now: MonoTime) -> CrashReport {
        let shared = self.ends.iter().filter(|(_, end)| end.shared);
        let (refuted, ends): (Vec<_>, Vec<_>) = shared.partition(|(_, end)| end.refuted);
        let lives = |found: Vec<(&TargetIncarnation, &EndRecord)>| {
            let lives = found.into_iter().map(|(life, _)| life.clone());
            lives.collect()
        };
        CrashReport {
            work,
            ends: lives(ends),
            refuted: lives(refuted),
            age_ms: millis(self.age(now)),
        }
    }
}

/// When a request was sent, on a connection from when.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeTimes {
    /// When the connection was opened.
    pub opened: MonoTime,
    /// When the request was sent.
    pub sent: MonoTime,
}

/// What may be done with work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkStatus {
    /// It is sent.
    Free,
    /// It is sent once, to see whether targets withstand it now.
    Trial,
    /// It is not sent; when it is tried next, if ever.
    Held(Option<Duration>),
}

/// Which work ended which targets.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    works: IndexMap<WorkDigest, WorkRecord>,
    // Suspicions by the life that may still refute them.
    suspects: IndexMap<TargetIncarnation, IndexSet<WorkDigest>>,
    news: CrashBroadcasts,
}

impl CrashTracker {
    /// Whether there is no suspect.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.works.is_empty()
    }

    /// Takes a connection that ended under a run of `work`; true when the work is held from
    /// now on.
    pub fn note_end(
        &mut self,
        work: WorkDigest,
        target: &TargetIncarnation,
        now: MonoTime,
    ) -> bool {
        let end = EndRecord {
            at: now,
            own: true,
            shared: false,
            refuted: false,
        };
        if !self.take_end(work, target, end, now) {
            return false;
        }
        let count = self.works.get(&work).map_or(0, WorkRecord::count);
        let wait = if count == 1 {
            PROOF_TIME
        } else {
            Duration::ZERO
        };
        self.news.tell(work, now.plus(wait));
        count == MOST_ENDS
    }

    /// Takes what another daemon, or the store, tells of work; true when it is held from now
    /// on. `relays` tells whether it is to be told on.
    pub fn take_note(&mut self, note: &CrashReport, relays: bool, now: MonoTime) -> bool {
        let was_held = self.is_held(note.work);
        let seen = MonoTime(now.0.saturating_sub(note.age_ms));
        let end = EndRecord {
            at: now,
            own: false,
            shared: true,
            refuted: false,
        };
        let mut changed = false;
        for target in &note.ends {
            changed |= self.take_end(note.work, target, end, seen);
        }
        for target in &note.refuted {
            changed |= self.take_refuted(note.work, target, end, seen);
        }
        if let Some(record) = self.works.get_mut(&note.work) {
            record.last_asked = record.last_asked.max(seen);
        }
        if changed && relays {
            self.news.tell(note.work, now);
        }
        !was_held && self.is_held(note.work)
    }

    /// Takes that a target answered to the end at `now`.
    ///
    /// Where a target keeps its name when it starts again, only a connection from before the
    /// end shows that it was none.
    pub fn note_answer(&mut self, target: &TargetIncarnation, times: ExchangeTimes, now: MonoTime) {
        let keeps_name = target.born().is_some();
        self.refute_ends(target, now, |end| {
            if !end.own {
                false
            } else if times.opened < end.at {
                times.sent > end.at || now.since(end.at) >= PROOF_TIME
            } else {
                times.sent > end.at && !keeps_name
            }
        });
    }

    /// Takes which targets have an entry in the store, which was heard all the time from
    /// `heard_since` on.
    ///
    /// The entry of a target that ended lapses within `lapse_time` while the store is there;
    /// one that is not gone after that is of a target that lives.
    pub fn note_entries(
        &mut self,
        has_entry: impl Fn(&TargetIncarnation) -> bool,
        lapse_time: Duration,
        heard_since: MonoTime,
        now: MonoTime,
    ) {
        let alive = self.suspects.keys().filter(|target| has_entry(target));
        let alive: Vec<TargetIncarnation> = alive.cloned().collect();
        for target in alive {
            self.refute_ends(&target, now, |end| {
                now.since(end.at.max(heard_since)) >= lapse_time
            });
        }
    }

    /// Takes that work ran to its end: whatever ended under it, it was not to blame.
    pub fn note_whole(&mut self, work: WorkDigest, now: MonoTime) {
        let Some(record) = self.works.get(&work) else {
            return;
        };
        let lives: Vec<TargetIncarnation> = record.ends.keys().cloned().collect();
        for target in &lives {
            self.refute(work, target);
        }
        self.tell_refuted(work, now);
    }

    /// What may be done with work now. One daemon of the fleet `tries` held work.
    pub fn standing(&mut self, work: WorkDigest, tries: bool, now: MonoTime) -> WorkStatus {
        let Some(record) = self.works.get_mut(&work) else {
            return WorkStatus::Free;
        };
        record.last_asked = now;
        if !record.is_held() {
            return WorkStatus::Free;
        }
        let next = record.next_trial();
        let on_trial = record.trial_at.is_some_and(|at| now.since(at) < TRIAL_TIME);
        if tries && !on_trial && next.is_some_and(|at| at <= now) {
            record.trial_at = Some(now);
            return WorkStatus::Trial;
        }
        WorkStatus::Held(next.map(|at| at.since(now)))
    }

    /// Whether work is held.
    #[must_use]
    pub fn is_held(&self, work: WorkDigest) -> bool {
        self.works.get(&work).is_some_and(WorkRecord::is_held)
    }

    /// Targets that ended under work, as far as not refuted.
    #[must_use]
    pub fn ends(&self, work: WorkDigest) -> Vec<TargetIncarnation> {
        let record = self.works.get(&work);
        let ends = record.into_iter().flat_map(|record| &record.ends);
        let counted = ends.filter(|(_, end)| !end.refuted);
        counted.map(|(life, _)| life.clone()).collect()
    }

    /// Whether anything of a work is remembered.
    #[must_use]
    pub fn knows(&self, work: WorkDigest) -> bool {
        self.works.contains_key(&work)
    }

    /// Works that are held.
    pub fn held(&self) -> impl Iterator<Item = WorkDigest> {
        let held = self.works.iter().filter(|(_, record)| record.is_held());
        held.map(|(work, _)| *work)
    }

    /// Works that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.works.len()
    }

    /// What goes into the next word to other daemons.
    pub fn pick(&mut self, now: MonoTime) -> Vec<CrashReport> {
        if self.works.is_empty() {
            return Vec::new();
        }
        let repeated = self.works.iter();
        let repeated = repeated.filter(|(_, record)| record.is_told_again(now));
        let repeated: Vec<WorkDigest> = repeated.map(|(work, _)| *work).collect();
        let due = self.news.pick(&repeated, now);
        let mut notes = Vec::new();
        for work in due {
            if let Some(record) = self.works.get_mut(&work) {
                record.ends.values_mut().for_each(|end| end.shared = true);
                notes.push(record.note(work, now));
            }
        }
        notes
    }

    /// Forgets what is over.
    pub fn sweep(&mut self, now: MonoTime) {
        let over = self.works.iter().filter(|(_, record)| record.is_over(now));
        let over: Vec<WorkDigest> = over.map(|(work, _)| *work).collect();
        over.into_iter().for_each(|work| self.forget(work));
    }

    fn take_end(
        &mut self,
        work: WorkDigest,
        target: &TargetIncarnation,
        end: EndRecord,
        seen: MonoTime,
    ) -> bool {
        if !self.works.contains_key(&work) && self.works.len() >= MOST_WORKS {
            self.make_room();
        }
        let fresh = || WorkRecord::new(seen);
        let record = self.works.entry(work).or_insert_with(fresh);
        if let Some(known) = record.ends.get_mut(target) {
            known.own |= end.own;
            return false;
        }
        if !record.drop_refuted() {
            return false;
        }
        record.ends.insert(target.clone(), end);
        record.last_end = record.last_end.max(seen);
        record.trial_at = None;
        let suspects = self.suspects.entry(target.clone()).or_default();
        suspects.insert(work);
        true
    }

    fn refute_ends(
        &mut self,
        target: &TargetIncarnation,
        now: MonoTime,
        refutes: impl Fn(&EndRecord) -> bool,
    ) {
        let Some(suspects) = self.suspects.get(target) else {
            return;
        };
        let refuted = suspects.iter().filter(|work| {
            let record = self.works.get(*work);
            let end = record.and_then(|record| record.ends.get(target));
            end.is_some_and(|end| !end.refuted && refutes(end))
        });
        let refuted: Vec<WorkDigest> = refuted.copied().collect();
        for work in refuted {
            self.refute(work, target);
            self.tell_refuted(work, now);
        }
    }

    fn take_refuted(
        &mut self,
        work: WorkDigest,
        target: &TargetIncarnation,
        end: EndRecord,
        seen: MonoTime,
    ) -> bool {
        let known = self.works.get(&work);
        let known = known.and_then(|record| record.ends.get(target));
        if known.is_some_and(|end| end.refuted) {
            return false;
        }
        // Kept also where the end was not heard of: word of it may still come.
        self.take_end(work, target, end, seen);
        self.refute(work, target);
        true
    }

    fn refute(&mut self, work: WorkDigest, target: &TargetIncarnation) {
        let record = self.works.get_mut(&work);
        if let Some(end) = record.and_then(|record| record.ends.get_mut(target)) {
            end.refuted = true;
        }
        self.clear_suspect(target, work);
    }

    fn clear_suspect(&mut self, target: &TargetIncarnation, work: WorkDigest) {
        if let Some(suspects) = self.suspects.get_mut(target) {
            suspects.swap_remove(&work);
            if suspects.is_empty() {
                self.suspects.swap_remove(target);
            }
        }
    }

    // What nobody was told of needs no word.
    fn tell_refuted(&mut self, work: WorkDigest, now: MonoTime) {
        let Some(record) = self.works.get_mut(&work) else {
            return;
        };
        record.ends.retain(|_, end| end.shared || !end.refuted);
        if record.ends.is_empty() {
            self.forget(work);
        } else {
            self.news.tell(work, now);
        }
    }

    fn forget(&mut self, work: WorkDigest) {
        self.news.drop(work);
        let Some(record) = self.works.swap_remove(&work) else {
            return;
        };
        for target in record.ends.keys() {
            self.clear_suspect(target, work);
        }
    }

    // Forgets an eighth at once, so that a flood does not pay for each entry.
    fn make_room(&mut self) {
        let all = self.works.iter();
        let mut all: Vec<(usize, MonoTime, WorkDigest)> = all
            .map(|(work, record)| (record.count(), record.last_end, *work))
            .collect();
        all.sort_unstable();
        let given_up = all.into_iter().take(MOST_WORKS / 8);
        given_up.for_each(|(_, _, work)| self.forget(work));
    }
}
