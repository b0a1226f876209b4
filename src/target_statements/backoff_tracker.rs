//! Tracks which targets refuse requests of this daemon for a time.
//!
//! A backoff concerns one target and one daemon, so it is not shared: other daemons may
//! go on until they are refused themselves. During a backoff nothing is sent. After its end the
//! first sends are spaced, so that requests that waited do not arrive all at once.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;

use crate::names::MonoTime;
use crate::target_incarnation::TargetIncarnation;

/// Time after the end of a backoff for which sends are spaced.
const RESUME_TIME: Duration = Duration::from_millis(1_000);
/// Factor that spreads multiples of any interval over a range: the golden ratio.
const SPREAD: f64 = 1.618_034;
/// Longest time after which a refused caller is told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct TargetBackoff {
    until: MonoTime,
    // Earliest time of the next send after the end.
    next_send: MonoTime,
    // Number of refused callers that were told to come back.
    promised: u32,
}

impl TargetBackoff {
    fn resumed_at(&self) -> MonoTime {
        self.until.plus(RESUME_TIME)
    }

    fn is_over(&self, now: MonoTime) -> bool {
        now >= self.resumed_at()
    }
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackoffOutcome {
    /// The target accepts requests.
    Open,
    /// The request may be sent after this time, unless the target refuses again meanwhile.
    After(Duration),
    /// It cannot be sent in time.
    Denied,
}

/// Tracks which targets refuse requests of this daemon for a time.
#[derive(Clone, Debug, Default)]
pub struct BackoffTracker {
    backoffs: IndexMap<TargetIncarnation, TargetBackoff>,
}

impl BackoffTracker {
    /// Records that a target refused a request for a time. Of two backoffs the later end counts.
    /// Returns whether the target has not refused requests recently.
    pub fn note_refusal(
        &mut self,
        target: &TargetIncarnation,
        backoff: Duration,
        now: MonoTime,
    ) -> bool {
        // Times are in whole milliseconds, and the target's clock may tick later.
        let until = now.plus(backoff).plus(Duration::from_millis(1));
        let started = !self.backoffs.contains_key(target);
        let known = self
            .backoffs
            .entry(target.clone())
            .or_insert(TargetBackoff {
                until,
                next_send: until,
                promised: 0,
            });
        known.until = known.until.max(until);
        known.next_send = known.next_send.max(known.until);
        started
    }

    /// Returns whether a target refuses requests now.
    #[must_use]
    pub fn is_backing_off(&self, target: &TargetIncarnation, now: MonoTime) -> bool {
        let backoff = self.backoffs.get(target);
        backoff.is_some_and(|backoff| now < backoff.until)
    }

    /// Returns the time until a request may be sent to a target; `None` if the target has not
    /// refused requests recently.
    #[must_use]
    pub fn wait(&self, target: &TargetIncarnation, now: MonoTime) -> Option<Duration> {
        let backoff = self
            .backoffs
            .get(target)
            .filter(|backoff| !backoff.is_over(now))?;
        Some(backoff.next_send.min(backoff.resumed_at()).since(now))
    }

    /// Takes the next send to a target, if it is due within `max_wait`. After a backoff, sends are
    /// `spacing` apart at first.
    pub fn take_send(
        &mut self,
        target: &TargetIncarnation,
        (max_wait, spacing): (Duration, Duration),
        now: MonoTime,
    ) -> BackoffOutcome {
        let Some(wait) = self.wait(target, now) else {
            return BackoffOutcome::Open;
        };
        if wait > max_wait {
            return BackoffOutcome::Denied;
        }
        if let Some(backoff) = self.backoffs.get_mut(target) {
            backoff.next_send = now.plus(wait).plus(spacing);
        }
        BackoffOutcome::After(wait)
    }

    /// Returns the time after which a refused caller should come back to one of the targets, if
    /// all of them refuse requests or are `unavailable` for another reason, and at least one
    /// refuses: soon after the earliest end, and not all callers at once.
    pub fn retry_after<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a TargetIncarnation>,
        unavailable: impl Fn(&TargetIncarnation) -> bool,
        now: MonoTime,
    ) -> Option<Duration> {
        let mut first: Option<(MonoTime, &TargetIncarnation)> = None;
        for target in targets {
            match self
                .backoffs
                .get(target)
                .filter(|backoff| now < backoff.until)
            {
                Some(backoff) if first.is_none_or(|(until, _)| backoff.until < until) => {
                    first = Some((backoff.until, target));
                }
                Some(_) => {}
                None if unavailable(target) => {}
                None => return None,
            }
        }
        let backoff = self.backoffs.get_mut(first?.1)?;
        backoff.promised = backoff.promised.wrapping_add(1);
        let spread = (f64::from(backoff.promised) * SPREAD).fract();
        let wait = backoff.until.since(now) + RESUME_TIME.mul_f64(spread);
        if wait <= MAX_RETRY_AFTER {
            return Some(wait);
        }
        Some(MAX_RETRY_AFTER.mul_f64(0.5 + spread / 2.0))
    }

    /// Returns the targets that refuse requests or did so recently.
    pub fn targets(&self) -> impl Iterator<Item = &TargetIncarnation> {
        self.backoffs.keys()
    }

    /// Returns the number of targets that refuse requests now.
    #[must_use]
    pub fn count(&self, now: MonoTime) -> usize {
        let backoffs = self.backoffs.values();
        backoffs.filter(|backoff| now < backoff.until).count()
    }

    /// Returns whether no target refuses requests or did so recently.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.backoffs.is_empty()
    }

    /// Drops backoffs that are over, and returns their targets.
    pub fn remove_ended(&mut self, now: MonoTime) -> Vec<TargetIncarnation> {
        let ended = self
            .backoffs
            .iter()
            .filter(|(_, backoff)| backoff.is_over(now));
        let ended: Vec<TargetIncarnation> = ended.map(|(target, _)| target.clone()).collect();
        self.backoffs.retain(|_, backoff| !backoff.is_over(now));
        ended
    }
}

/// A tracker of backoffs shared by the threads of a daemon. Clones refer to the same tracker.
#[derive(Clone, Debug, Default)]
pub struct SharedBackoffTracker(Arc<Mutex<BackoffTracker>>);

impl SharedBackoffTracker {
    /// Locks the tracker.
    pub fn lock(&self) -> MutexGuard<'_, BackoffTracker> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the time between the first sends of a daemon after a backoff: all daemons together fill
/// the target's slots within the time for which sends are spaced.
#[must_use]
pub fn resume_spacing(slots: u32, daemons: usize) -> Duration {
    let share = f64::from(slots.max(1)) / daemons.max(1) as f64;
    RESUME_TIME.div_f64(share.max(1.0))
}
