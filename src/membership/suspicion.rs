//! Decides from failed and answered calls whether a target is suspected.

use std::time::Duration;

use crate::names::MonoTime;

const FAILURES_TO_SUSPECT: u32 = 3;
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(500);
const MAX_PROBE_DELAY: Duration = Duration::from_secs(8);

/// Kind of call that was answered or failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallSource {
    /// A read of the target's state.
    Poll,
    /// Work sent to the target.
    Work,
}

#[derive(Clone, Copy, Debug)]
struct ActiveSuspicion {
    source: CallSource,
    probe_at: MonoTime,
    delay: Duration,
}

/// Failures of one target as seen by this daemon.
///
/// Polls and work are counted separately. Otherwise each answered poll would clear a
/// target that fails all work, and the target would keep getting new work.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspicionRecord {
    poll_failures: u32,
    work_failures: u32,
    active: Option<ActiveSuspicion>,
    last_delay: Option<Duration>,
}

impl SuspicionRecord {
    /// Returns whether the target is suspected.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.active.is_some()
    }

    /// Returns whether the target's state may be read now.
    #[must_use]
    pub fn may_poll(&self, now: MonoTime) -> bool {
        self.active.is_none_or(|active| now >= active.probe_at)
    }

    /// Records a call; returns whether the target's state changed.
    pub fn record_call(&mut self, source: CallSource, answered: bool, now: MonoTime) -> bool {
        let before = self.is_suspect();
        if answered {
            self.record_answer(source);
        } else {
            self.record_failure(source, now);
        }
        before != self.is_suspect()
    }

    fn record_answer(&mut self, source: CallSource) {
        match source {
            CallSource::Poll => self.poll_failures = 0,
            CallSource::Work => {
                self.work_failures = 0;
                self.last_delay = None;
            }
        }
        if self.active.is_some_and(|active| active.source == source) {
            self.active = None;
            self.last_delay = None;
        }
    }

    fn record_failure(&mut self, source: CallSource, now: MonoTime) {
        let due = self.may_poll(now);
        let failures = match source {
            CallSource::Poll => &mut self.poll_failures,
            CallSource::Work => &mut self.work_failures,
        };
        *failures = failures.saturating_add(1);
        if *failures >= FAILURES_TO_SUSPECT && due {
            self.start_suspicion(source, now);
        }
    }

    fn start_suspicion(&mut self, source: CallSource, now: MonoTime) {
        let delay = self.last_delay.map_or(FIRST_PROBE_DELAY, |w| w * 2);
        let delay = delay.min(MAX_PROBE_DELAY);
        self.last_delay = Some(delay);
        self.active = Some(ActiveSuspicion {
            source,
            probe_at: now.plus(delay),
            delay,
        });
    }

    /// Ends a suspicion whose time is over; returns whether the target's state changed.
    ///
    /// A suspicion raised by failed work ends when its probe is due, because only new
    /// work can show that the target handles work again. After one more failure the target
    /// is suspected again, for twice as long, up to `MAX_PROBE_DELAY`.
    pub fn tick(&mut self, now: MonoTime) -> bool {
        let Some(active) = self.active else {
            return false;
        };
        if active.source == CallSource::Poll || now < active.probe_at {
            return false;
        }
        self.work_failures = FAILURES_TO_SUSPECT - 1;
        self.last_delay = Some(active.delay);
        self.active = None;
        true
    }
}
