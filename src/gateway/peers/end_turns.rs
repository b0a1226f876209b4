//! Which ends of entries go into a word between daemons.
//!
//! A new end goes into each word for a while, so that it does not hang on one word. All
//! go into one word a second, for whoever linked up or was cut off meanwhile.

use std::time::Duration;

use crate::gateway::registry::{EntryEnd, NotedEnd};
use crate::names::MonoTime;

/// How long an end goes into each word.
pub const NEWS_TIME: Duration = Duration::from_millis(600);
/// Time between two words with all ends.
pub const ALL_EVERY: Duration = Duration::from_millis(1_000);

/// What the words before contained.
#[derive(Debug, Default)]
pub struct EndTurns {
    told_all_at: Option<MonoTime>,
}

impl EndTurns {
    /// Returns what goes into a word now, of all ends known.
    pub fn pick(&mut self, ends: &[NotedEnd], now: MonoTime) -> Vec<EntryEnd> {
        let told = |at: MonoTime| now.since(at) < ALL_EVERY;
        let tells_all = !self.told_all_at.is_some_and(told);
        if tells_all {
            self.told_all_at = Some(now);
        }
        let is_due = |noted: &&NotedEnd| tells_all || now.since(noted.at) < NEWS_TIME;
        let due = ends.iter().filter(is_due);
        due.map(|noted| noted.end.clone()).collect()
    }
}
