//! Selects the records whose reports go into the next message to other daemons.
//!
//! A changed report goes into several messages, since a link may drop one. Eligible records
//! are also rebroadcast in rotation, once a second, for daemons that were unreachable when
//! they changed.

use std::hash::Hash;
use std::time::Duration;

use indexmap::IndexMap;

use crate::names::MonoTime;

/// Time for which a changed report is repeated, counted from its first message.
const BROADCAST_TIME: Duration = Duration::from_millis(600);
/// Interval between messages with the same change.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between messages with rebroadcast reports.
const REBROADCAST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum number of rebroadcast reports per message.
const MAX_REBROADCASTS: usize = 32;
/// Maximum number of changed reports per message.
const MAX_UPDATES: usize = 256;

#[derive(Clone, Copy, Debug)]
struct PendingBroadcast {
    due: MonoTime,
    // End of the repeats; set when the report is first sent.
    until: Option<MonoTime>,
}

/// Schedules when the reports of records with keys `K` are sent to other daemons.
#[derive(Clone, Debug)]
pub struct BroadcastSchedule<K> {
    pending: IndexMap<K, PendingBroadcast>,
    rebroadcast_at: Option<MonoTime>,
    next_rebroadcast: usize,
}

impl<K> Default for BroadcastSchedule<K> {
    fn default() -> Self {
        Self {
            pending: IndexMap::new(),
            rebroadcast_at: None,
            next_rebroadcast: 0,
        }
    }
}

impl<K: Clone + Eq + Hash> BroadcastSchedule<K> {
    /// Schedules the report of a record, to be sent from `due` on.
    pub fn schedule(&mut self, key: K, due: MonoTime) {
        let broadcast = PendingBroadcast { due, until: None };
        let pending = self.pending.entry(key).or_insert(broadcast);
        pending.due = pending.due.min(due);
        pending.until = None;
    }

    /// Cancels pending messages about a record.
    pub fn cancel(&mut self, key: &K) {
        self.pending.swap_remove(key);
    }

    /// Returns whether a changed report is due that has not been sent yet.
    #[must_use]
    pub fn has_unsent(&self, now: MonoTime) -> bool {
        let mut pending = self.pending.values();
        pending.any(|broadcast| broadcast.until.is_none() && broadcast.due <= now)
    }

    /// Returns the records whose reports go into a message now; `eligible` are those that are
    /// rebroadcast in rotation.
    pub fn select_due(&mut self, eligible: &[K], now: MonoTime) -> Vec<K> {
        let mut selected = self.select_updates(now);
        let is_too_early = self
            .rebroadcast_at
            .is_some_and(|at| now.since(at) < REBROADCAST_INTERVAL);
        if !is_too_early && !eligible.is_empty() {
            self.rebroadcast_at = Some(now);
            let count = eligible.len().min(MAX_REBROADCASTS);
            let from = self.next_rebroadcast % eligible.len();
            self.next_rebroadcast = from + count;
            let rebroadcasts = eligible.iter().cycle().skip(from).take(count);
            let rebroadcasts: Vec<K> = rebroadcasts
                .filter(|key| !selected.contains(key))
                .cloned()
                .collect();
            selected.extend(rebroadcasts);
        }
        selected
    }

    fn select_updates(&mut self, now: MonoTime) -> Vec<K> {
        let mut selected = Vec::new();
        for (key, broadcast) in &mut self.pending {
            if broadcast.due <= now && selected.len() < MAX_UPDATES {
                broadcast.until.get_or_insert(now.plus(BROADCAST_TIME));
                broadcast.due = now.plus(BROADCAST_INTERVAL);
                selected.push(key.clone());
            }
        }
        self.pending
            .retain(|_, broadcast| broadcast.until.is_none_or(|until| broadcast.due < until));
        selected
    }
}
