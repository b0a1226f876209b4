//! Detects outages of the store from the results of this daemon's own calls.
//!
//! Entries lapse during an outage and reappear soon after the store's return. The return is
//! the first answer to any call after failures, not the first answer that shows the entries,
//! which may come seconds later, on a connection that hung.

use std::time::Duration;

use crate::names::MonoTime;

/// Time within which entries of live targets reappear after the store's return: about two
/// seconds, as stated by the users, less the time in which a send reaches its target.
pub const ENTRY_RETURN_TIME: Duration = Duration::from_millis(1_900);
/// Time after its last failure for which the store counts as just returned. It is the only
/// bound while no call of this daemon has been answered since that failure.
pub const RETURN_WINDOW: Duration = Duration::from_millis(2_500);
/// Shortest outage in which an entry can lapse.
const MIN_OUTAGE: Duration = Duration::from_millis(2_000);

#[derive(Clone, Copy, Debug)]
struct StoreOutage {
    failed_at: MonoTime,
    returned_at: Option<MonoTime>,
}

/// Tracks outages of the store by the results of this daemon's calls to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutageTracker {
    answered_at: Option<MonoTime>,
    outage: Option<StoreOutage>,
}

impl StoreOutageTracker {
    /// Records that a call that was started at `called_at` has failed.
    ///
    /// A call that hung while others were answered indicates a lost connection, not an
    /// outage of the store.
    pub fn note_failure(&mut self, called_at: MonoTime, now: MonoTime) {
        let answered_since = self
            .answered_at
            .is_some_and(|answered| called_at <= answered && now.since(answered) < MIN_OUTAGE);
        if !answered_since {
            self.outage = Some(StoreOutage {
                failed_at: now,
                returned_at: None,
            });
        }
    }

    /// Records that the store was restored from an older copy and answers.
    pub fn note_restore(&mut self, now: MonoTime) {
        self.outage = Some(StoreOutage {
            failed_at: now,
            returned_at: Some(now),
        });
    }

    /// Records an answer of the store.
    pub fn note_answer(&mut self, now: MonoTime) {
        if let Some(outage) = &mut self.outage {
            outage.returned_at.get_or_insert(now);
        }
        self.answered_at = Some(now);
    }

    /// Returns the time until which an entry that vanishes now may reappear; `None` if it is
    /// not expected to.
    #[must_use]
    pub fn entry_return_deadline(&self, now: MonoTime) -> Option<MonoTime> {
        let StoreOutage {
            failed_at,
            returned_at,
        } = self.outage?;
        let return_bound = returned_at.unwrap_or(now).plus(ENTRY_RETURN_TIME);
        let deadline = return_bound.min(failed_at.plus(RETURN_WINDOW));
        (now < deadline).then_some(deadline)
    }

    /// Returns the time since the last failed call that indicated an outage.
    #[must_use]
    pub fn since_last_failure(&self, now: MonoTime) -> Option<Duration> {
        self.outage.map(|outage| now.since(outage.failed_at))
    }
}
