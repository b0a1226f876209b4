//! Which notes on entries go into a word between daemons.
//!
//! The end of an entry goes into each word for a while, so that it does not hang on one
//! word. All go into one word a second, for whoever linked up or was cut off meanwhile.
//! Begins bring values, many at once where a fleet starts; some go into that word by turns.

use std::time::Duration;

use crate::gateway::registry::{EntryUpdate, RecentUpdate};
use crate::names::MonoTime;

/// How long a note is told: longer than a daemon that does not hear of the change otherwise
/// is usually cut off.
const TOLD_TIME: Duration = Duration::from_secs(30);
/// How long an end goes into each word.
const NEWS_TIME: Duration = Duration::from_millis(600);
/// Time between two words with all ends.
const ALL_EVERY: Duration = Duration::from_millis(1_000);
/// Most begins in a word.
const MOST_BEGINS: usize = 16;

/// What the words before contained.
#[derive(Debug, Default)]
pub struct EntryBroadcasts {
    told_all_at: Option<MonoTime>,
    // Place of the next begin among those that are told.
    next_begin: usize,
}

impl EntryBroadcasts {
    /// Returns what goes into a word now, of all notes kept.
    pub fn pick(&mut self, notes: &[RecentUpdate], now: MonoTime) -> Vec<EntryUpdate> {
        let told = |at: MonoTime| now.since(at) < ALL_EVERY;
        let tells_all = !self.told_all_at.is_some_and(told);
        let longest = if tells_all { TOLD_TIME } else { NEWS_TIME };
        let fresh = notes.iter().filter(|kept| now.since(kept.at) < longest);
        let (mut due, begins): (Vec<&RecentUpdate>, Vec<&RecentUpdate>) =
            fresh.partition(|kept| kept.update.value.is_none());
        if tells_all {
            self.told_all_at = Some(now);
            due.extend(self.turn_of(&begins));
        }
        due.into_iter().map(|kept| kept.update.clone()).collect()
    }

    fn turn_of<'a>(&mut self, begins: &[&'a RecentUpdate]) -> Vec<&'a RecentUpdate> {
        let count = begins.len().min(MOST_BEGINS);
        let from = self.next_begin;
        self.next_begin = (from + count) % begins.len().max(1);
        let ring = begins.iter().cycle().skip(from % begins.len().max(1));
        ring.take(count).copied().collect()
    }
}
