//! Evidence that a suspect did not crash a target: the target is alive, or the suspect is sound.

use std::time::Duration;

use crate::crashes::record::CrashRecord;
use crate::crashes::suspect::SuspectKey;
use crate::crashes::tracker::{CONFIRMATION_DELAY, CrashTracker, ExchangeTimes};
use crate::names::MonoTime;
use crate::target_incarnation::TargetIncarnation;

impl CrashTracker {
    /// Records that a target completed an answer at `now`, which may refute its crashes.
    ///
    /// A target that reports its start time may have restarted under its old name, so only an
    /// answer on a connection that was opened before the suspected crash refutes it.
    pub fn record_answer(
        &mut self,
        target: &TargetIncarnation,
        times: ExchangeTimes,
        now: MonoTime,
    ) {
        let keeps_name = target.started_at().is_some();
        self.refute_crashes(target, now, |crash| {
            if !crash.local {
                false
            } else if times.opened < crash.at {
                times.sent > crash.at || now.since(crash.at) >= CONFIRMATION_DELAY
            } else {
                times.sent > crash.at && !keeps_name
            }
        });
    }

    /// Refutes crashes of targets that still have an entry in the store, which has been
    /// reachable without interruption since `reachable_since`.
    ///
    /// While the store is available, the entry of a crashed target expires within
    /// `entry_ttl`; a target whose entry is still there after that is alive.
    pub fn refute_registered(
        &mut self,
        has_entry: impl Fn(&TargetIncarnation) -> bool,
        entry_ttl: Duration,
        reachable_since: MonoTime,
        now: MonoTime,
    ) {
        let alive = self.suspicions.keys().filter(|target| has_entry(target));
        let alive: Vec<TargetIncarnation> = alive.cloned().collect();
        for target in alive {
            self.refute_crashes(&target, now, |crash| {
                now.since(crash.at.max(reachable_since)) >= entry_ttl
            });
        }
    }

    fn refute_crashes(
        &mut self,
        target: &TargetIncarnation,
        now: MonoTime,
        refutes: impl Fn(&CrashRecord) -> bool,
    ) {
        let Some(suspicions) = self.suspicions.get(target) else {
            return;
        };
        let refuted = suspicions.iter().filter(|key| {
            let record = self.records.get(*key);
            let crash = record.and_then(|record| record.crashes.get(target));
            crash.is_some_and(|crash| !crash.refuted && refutes(crash))
        });
        let refuted: Vec<SuspectKey> = refuted.copied().collect();
        for key in refuted {
            self.refute(key, target);
            self.announce_refuted(key, now);
        }
    }

    pub(super) fn refute_all(&mut self, key: SuspectKey, now: MonoTime) {
        let Some(record) = self.records.get(&key) else {
            return;
        };
        let open = record.open_crashes().map(|(target, _)| target.clone());
        let open: Vec<TargetIncarnation> = open.collect();
        if open.is_empty() {
            return;
        }
        for target in &open {
            self.refute(key, target);
        }
        self.announce_refuted(key, now);
    }

    pub(super) fn insert_refuted(
        &mut self,
        key: SuspectKey,
        target: &TargetIncarnation,
        crash: CrashRecord,
        seen: MonoTime,
    ) -> bool {
        let known = self.records.get(&key);
        let known = known.and_then(|record| record.crashes.get(target));
        if known.is_some_and(|crash| crash.refuted) {
            return false;
        }
        // Recorded even if the crash itself is unknown here: its report may still arrive.
        self.insert_crash(key, target, crash, seen);
        self.refute(key, target);
        true
    }

    fn refute(&mut self, key: SuspectKey, target: &TargetIncarnation) {
        let record = self.records.get_mut(&key);
        if let Some(crash) = record.and_then(|record| record.crashes.get_mut(target)) {
            crash.refuted = true;
        }
        self.update_likely(key);
        self.remove_suspicion(target, key);
    }

    // Crashes that were never announced need no update.
    fn announce_refuted(&mut self, key: SuspectKey, now: MonoTime) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        record
            .crashes
            .retain(|_, crash| crash.announced || !crash.refuted);
        if record.crashes.is_empty() {
            self.remove(key);
        } else {
            self.broadcasts.schedule(key, now);
        }
    }
}
