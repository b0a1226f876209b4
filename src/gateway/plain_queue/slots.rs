//! Slots of the targets of a service, as the queue owner estimates them.

use std::time::Duration;

use crate::names::MonoTime;

/// Requests beyond its slots that a target is granted: they cover the round trip between the
/// end of a request and the start of the next one.
const EXTRA_GRANTS: u32 = 1;
/// Time for which the estimate stays lower after a target refused a granted request.
const LOWERED_TIME: Duration = Duration::from_secs(1);
/// Requests at a target, as a multiple of its slots, from which it is granted none beside another.
const OVERFULL_FACTOR: u32 = 2;
/// Weight of a new observation in the learned work time.
const WORK_WEIGHT: f64 = 0.2;
/// Time for which ended grants may still be part of the reported work of the fleet: hints and
/// summaries of hubs are sent every 200 ms each.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// What the queue owner knows of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetSlots {
    /// Slots of its entry.
    pub slots: u32,
    /// Grants that have not ended.
    pub granted: u32,
    // Requests that were sent to it without a grant.
    ungranted: u32,
    // When grants ended that reports may still contain, in order.
    ended: std::collections::VecDeque<MonoTime>,
    lowered: Option<(u32, MonoTime)>,
    work_ms: Option<f64>,
}

impl TargetSlots {
    /// Applies the running requests that the fleet reports. Those that have no grant were sent
    /// directly; they count in the choice of a target.
    pub fn apply_report(&mut self, slots: u32, running: u32, now: MonoTime) {
        self.slots = slots;
        while self
            .ended
            .front()
            .is_some_and(|at| now.since(*at) > REPORT_DELAY)
        {
            self.ended.pop_front();
        }
        let recent = u32::try_from(self.ended.len()).unwrap_or(u32::MAX);
        self.ungranted = running.saturating_sub(self.granted.saturating_add(recent));
    }

    /// Records that a grant ended.
    pub fn note_end(&mut self, now: MonoTime) {
        self.granted = self.granted.saturating_sub(1);
        self.ended.push_back(now);
    }

    /// Records that the target refused a granted request because it is full.
    pub fn note_full(&mut self, now: MonoTime) {
        let limit = self.limit(now).min(self.granted).max(1);
        self.lowered = Some((limit, now.plus(LOWERED_TIME)));
    }

    /// Records the time that a granted request took. `load` is the number of requests at the
    /// target when it was granted: beyond the slots, a part of the time was spent waiting.
    pub fn note_time(&mut self, taken_ms: f64, load: u32) {
        let slots = f64::from(self.slots.max(1));
        let work_ms = taken_ms * (slots / f64::from(load.max(1))).min(1.0);
        let known = self.work_ms.unwrap_or(work_ms);
        self.work_ms = Some(known + WORK_WEIGHT * (work_ms - known));
    }

    /// Returns the learned time of one request.
    #[must_use]
    pub fn work_ms(&self) -> Option<f64> {
        self.work_ms
    }

    /// Returns the requests at the target.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.granted.saturating_add(self.ungranted)
    }

    /// Whether another request may be granted. Requests without a grant count only if they would
    /// occupy all slots twice: reports about them are old, a slot that has become free meanwhile
    /// must not stay free, and a target has a queue for them.
    #[must_use]
    pub fn has_free(&self, now: MonoTime) -> bool {
        let is_overfull = self.load() >= self.slots.max(1).saturating_mul(OVERFULL_FACTOR);
        self.granted < self.limit(now) && (self.granted == 0 || !is_overfull)
    }

    fn limit(&self, now: MonoTime) -> u32 {
        let limit = self.slots.max(1).saturating_add(EXTRA_GRANTS);
        match self.lowered {
            Some((lowered, until)) if now < until => lowered.min(limit),
            _ => limit,
        }
    }
}
