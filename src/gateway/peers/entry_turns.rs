//! Which changes of targets' entries go into a message between daemons.
//!
//! The removal of an entry is repeated in each message for a while, so that no single lost
//! message matters. Once a second, a message contains all recent removals, for daemons that
//! connected or were cut off in the meantime. Additions contain values, many at once when a
//! fleet starts; that message contains some of them, in rotation.

use std::time::Duration;

use crate::gateway::registry::{EntryNote, KeptNote};
use crate::names::MonoTime;

/// How long a change is sent: longer than a daemon that depends on it is usually cut off.
const TOLD_TIME: Duration = Duration::from_secs(30);
/// How long a removal goes into each message.
const NEWS_TIME: Duration = Duration::from_millis(600);
/// Time between two messages with all recent removals.
const ALL_EVERY: Duration = Duration::from_millis(1_000);
/// Most additions in a message.
const MOST_BEGINS: usize = 16;

/// Schedule of the changes that go into the next messages.
#[derive(Debug, Default)]
pub struct EntryTurns {
    told_all_at: Option<MonoTime>,
    // Index of the next addition to send.
    next_begin: usize,
}

impl EntryTurns {
    /// Returns the changes that go into a message now, out of all recorded ones.
    pub fn pick(&mut self, notes: &[KeptNote], now: MonoTime) -> Vec<EntryNote> {
        let told = |at: MonoTime| now.since(at) < ALL_EVERY;
        let tells_all = !self.told_all_at.is_some_and(told);
        let longest = if tells_all { TOLD_TIME } else { NEWS_TIME };
        let fresh = notes.iter().filter(|kept| now.since(kept.at) < longest);
        let (mut due, begins): (Vec<&KeptNote>, Vec<&KeptNote>) =
            fresh.partition(|kept| kept.note.value.is_none());
        if tells_all {
            self.told_all_at = Some(now);
            due.extend(self.turn_of(&begins));
        }
        due.into_iter().map(|kept| kept.note.clone()).collect()
    }

    fn turn_of<'a>(&mut self, begins: &[&'a KeptNote]) -> Vec<&'a KeptNote> {
        let count = begins.len().min(MOST_BEGINS);
        let from = self.next_begin;
        self.next_begin = (from + count) % begins.len().max(1);
        let ring = begins.iter().cycle().skip(from % begins.len().max(1));
        ring.take(count).copied().collect()
    }
}
