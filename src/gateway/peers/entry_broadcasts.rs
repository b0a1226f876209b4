//! Which changes of targets' entries go into a message between daemons.
//!
//! The removal of an entry is repeated in each message for a while, so that no single lost
//! message matters. Once a second, a message contains all recent removals, for daemons that
//! connected or were cut off in the meantime. Additions contain values, many at once when a
//! fleet starts; that message contains some of them, in rotation.

use std::time::Duration;

use crate::gateway::registry::{EntryUpdate, RecentUpdate};
use crate::names::MonoTime;

/// How long a change is sent: longer than a daemon that depends on it is usually cut off.
const RETENTION_TIME: Duration = Duration::from_secs(30);
/// How long a removal goes into each message.
const REPEAT_TIME: Duration = Duration::from_millis(600);
/// Time between two messages with all recent removals.
const FULL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Most additions in a message.
const MAX_ADDITIONS: usize = 16;

/// Schedule of the changes that go into the next messages.
#[derive(Debug, Default)]
pub struct EntryBroadcasts {
    last_full_at: Option<MonoTime>,
    // Index of the next addition to send.
    next_addition: usize,
}

impl EntryBroadcasts {
    /// Returns the changes that go into a message now, out of all recorded ones.
    pub fn due_changes(&mut self, updates: &[RecentUpdate], now: MonoTime) -> Vec<EntryUpdate> {
        let is_recent = |at: MonoTime| now.since(at) < FULL_INTERVAL;
        let is_full = !self.last_full_at.is_some_and(is_recent);
        let max_age = if is_full { RETENTION_TIME } else { REPEAT_TIME };
        let fresh = updates
            .iter()
            .filter(|update| now.since(update.at) < max_age);
        let (mut due, additions): (Vec<&RecentUpdate>, Vec<&RecentUpdate>) =
            fresh.partition(|update| update.update.value.is_none());
        if is_full {
            self.last_full_at = Some(now);
            due.extend(self.next_additions(&additions));
        }
        due.into_iter()
            .map(|update| update.update.clone())
            .collect()
    }

    fn next_additions<'a>(&mut self, additions: &[&'a RecentUpdate]) -> Vec<&'a RecentUpdate> {
        let count = additions.len().min(MAX_ADDITIONS);
        let from = self.next_addition;
        self.next_addition = (from + count) % additions.len().max(1);
        let rotation = additions.iter().cycle().skip(from % additions.len().max(1));
        rotation.take(count).copied().collect()
    }
}
