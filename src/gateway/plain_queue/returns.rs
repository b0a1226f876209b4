//! Callers that were refused and told when to return.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::crashes::suspect_digest::SuspectDigest;
use crate::names::MonoTime;

/// Most refused work that is remembered.
const MAX_REMEMBERED: usize = 4_096;
/// Time after the moment at which a caller was told to return for which it is remembered: the
/// longest `Retry-After` for the deadlines of 1.5 to 6 s that plain services have.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// A caller may arrive this much early: `Retry-After` has a resolution of 10 ms.
const EARLY_TOLERANCE: Duration = Duration::from_millis(10);

/// Times at which callers of refused work were told to return.
#[derive(Clone, Debug, Default)]
pub struct ReturnTable {
    due: IndexMap<SuspectDigest, MonoTime>,
    // In the order of the refusals; an entry that differs from `due` is outdated.
    order: VecDeque<(SuspectDigest, MonoTime)>,
}

impl ReturnTable {
    /// Records that a caller was told to return after `retry_after`.
    pub fn note_refusal(&mut self, work: SuspectDigest, retry_after: Duration, now: MonoTime) {
        let due = now.plus(retry_after);
        self.due.insert(work, due);
        self.order.push_back((work, due));
        let is_over = |due: MonoTime| due.plus(RETURN_TIME) < now;
        while let Some((work, due)) = self.order.front().copied() {
            if self.order.len() <= MAX_REMEMBERED && !is_over(due) {
                return;
            }
            self.order.pop_front();
            if self.due.get(&work) == Some(&due) {
                self.due.swap_remove(&work);
            }
        }
    }

    /// Returns whether a caller of this work was refused and returns at or after its time.
    #[must_use]
    pub fn is_due(&self, work: &SuspectDigest, now: MonoTime) -> bool {
        let is_in_time =
            |due: &MonoTime| *due <= now.plus(EARLY_TOLERANCE) && now.since(*due) <= RETURN_TIME;
        self.due.get(work).is_some_and(is_in_time)
    }

    /// Forgets a refusal whose caller is served now: another request of the same work is a first
    /// attempt.
    pub fn forget(&mut self, work: &SuspectDigest) {
        self.due.swap_remove(work);
    }

    /// Returns the number of remembered refusals.
    #[must_use]
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Whether no refusal is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }
}
