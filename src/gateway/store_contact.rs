//! Whether the store was away, as far as this daemon's own calls tell.
//!
//! Entries lapse while the store is away, and are back soon after its return. The return is
//! the first answer to any call after failures, not the first answer that shows the entries:
//! that one may come seconds later, on a connection that hung.

use std::time::Duration;

use crate::names::MonoTime;

/// Time in which entries of living targets are back after the store's return: about two
/// seconds, as the users state it, less the time in which a send reaches its target.
pub const ENTRY_RETURN_TIME: Duration = Duration::from_millis(1_900);
/// How long after its last failure the store counts as just returned. Where no call of this
/// daemon is answered after the failure, it bounds the time from the return.
pub const RETURN_TIME: Duration = Duration::from_millis(2_500);
/// Silence of the store that is too short for an entry to lapse.
const SHORTEST_ABSENCE: Duration = Duration::from_millis(2_000);

#[derive(Clone, Copy, Debug)]
struct StoreAbsence {
    failed_at: MonoTime,
    returned_at: Option<MonoTime>,
}

/// What the calls to the store tell of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutageTracker {
    heard_at: Option<MonoTime>,
    absence: Option<StoreAbsence>,
}

impl StoreOutageTracker {
    /// Notes that a call that was begun at `asked` has failed.
    ///
    /// A call that hung while others were answered shows a lost connection, not a store
    /// that is away.
    pub fn note_failure(&mut self, asked: MonoTime, now: MonoTime) {
        let heard_since = self
            .heard_at
            .is_some_and(|heard| asked <= heard && now.since(heard) < SHORTEST_ABSENCE);
        if !heard_since {
            self.absence = Some(StoreAbsence {
                failed_at: now,
                returned_at: None,
            });
        }
    }

    /// Notes an answer of the store.
    pub fn note_answer(&mut self, now: MonoTime) {
        if let Some(absence) = &mut self.absence {
            absence.returned_at.get_or_insert(now);
        }
        self.heard_at = Some(now);
    }

    /// Returns until when an entry that vanishes now may be back; `None` where it will not be.
    #[must_use]
    pub fn entry_return_deadline(&self, now: MonoTime) -> Option<MonoTime> {
        let StoreAbsence {
            failed_at,
            returned_at,
        } = self.absence?;
        let returned = returned_at.unwrap_or(now).plus(ENTRY_RETURN_TIME);
        let until = returned.min(failed_at.plus(RETURN_TIME));
        (now < until).then_some(until)
    }

    /// Returns the time since a call last showed the store away.
    #[must_use]
    pub fn failed_for(&self, now: MonoTime) -> Option<Duration> {
        self.absence.map(|absence| now.since(absence.failed_at))
    }
}
