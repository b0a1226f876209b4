//! Which notes on entries go into a word between daemons.
//!
//! A new note goes into each word for a while, so that it does not hang on one word. All
//! go into one word a second, for whoever linked up or was cut off meanwhile.

use std::time::Duration;

use crate::gateway::registry::{EntryNote, KeptNote};
use crate::names::MonoTime;

/// How long a note goes into each word.
pub const NEWS_TIME: Duration = Duration::from_millis(600);
/// Time between two words with all notes.
pub const ALL_EVERY: Duration = Duration::from_millis(1_000);

/// What the words before contained.
#[derive(Debug, Default)]
pub struct EntryTurns {
    told_all_at: Option<MonoTime>,
}

impl EntryTurns {
    /// Returns what goes into a word now, of all notes kept.
    pub fn pick(&mut self, notes: &[KeptNote], now: MonoTime) -> Vec<EntryNote> {
        let told = |at: MonoTime| now.since(at) < ALL_EVERY;
        let tells_all = !self.told_all_at.is_some_and(told);
        if tells_all {
            self.told_all_at = Some(now);
        }
        let is_due = |kept: &&KeptNote| tells_all || now.since(kept.at) < NEWS_TIME;
        let due = notes.iter().filter(is_due);
        due.map(|kept| kept.note.clone()).collect()
    }
}
