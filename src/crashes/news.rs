//! Which suspects and held works go into a word between daemons.
//!
//! What changed goes into a few words, since a link may skip one. Work that ended more than
//! one target goes into a word a second by turns, for whoever was away meanwhile.

use std::time::Duration;

use indexmap::IndexMap;
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::crashes::work_digest::WorkDigest;
use crate::names::MonoTime;
use crate::target_life::TargetLife;

/// How long news of a work are told, from the first word on.
const BROADCAST_TIME: Duration = Duration::from_millis(600);
/// Time between two words with the same news.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two words with old news.
const REBROADCAST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Most works in a word beside news.
const MAX_REBROADCASTS: usize = 32;
/// Most news in a word.
const MAX_UPDATES: usize = 256;

/// What daemons tell each other of a work.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct WorkNote {
    /// The work.
    pub work: WorkDigest,
    /// Lives of targets that ended under it.
    pub crashes: Vec<TargetLife>,
    /// Lives that seemed to and did not, or that ended for another reason.
    pub refuted: Vec<TargetLife>,
    /// Milliseconds since the last end, or since it was asked for where it is held.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct PendingBroadcast {
    due: MonoTime,
    until: Option<MonoTime>,
}

/// What the words before contained.
#[derive(Clone, Debug, Default)]
pub struct CrashBroadcasts {
    pending: IndexMap<WorkDigest, PendingBroadcast>,
    rebroadcast_at: Option<MonoTime>,
    next_rebroadcast: usize,
}

impl CrashBroadcasts {
    /// Has news of a work told from `due` on.
    pub fn schedule(&mut self, work: WorkDigest, due: MonoTime) {
        let broadcast = PendingBroadcast { due, until: None };
        let pending = self.pending.entry(work).or_insert(broadcast);
        pending.due = pending.due.min(due);
        pending.until = None;
    }

    /// Has nothing more told of a work.
    pub fn cancel(&mut self, work: WorkDigest) {
        self.pending.swap_remove(&work);
    }

    /// Returns the works that a word tells of now; `repeated` are those that ended more than
    /// one target.
    pub fn select_due(&mut self, repeated: &[WorkDigest], now: MonoTime) -> Vec<WorkDigest> {
        let mut selected = self.select_updates(now);
        let is_waiting = self
            .rebroadcast_at
            .is_some_and(|at| now.since(at) < REBROADCAST_INTERVAL);
        if !is_waiting && !repeated.is_empty() {
            self.rebroadcast_at = Some(now);
            let count = repeated.len().min(MAX_REBROADCASTS);
            let from = self.next_rebroadcast % repeated.len();
            self.next_rebroadcast = from + count;
            let rebroadcasts = repeated.iter().cycle().skip(from).take(count);
            let rebroadcasts: Vec<WorkDigest> = rebroadcasts
                .filter(|w| !selected.contains(w))
                .copied()
                .collect();
            selected.extend(rebroadcasts);
        }
        selected
    }

    fn select_updates(&mut self, now: MonoTime) -> Vec<WorkDigest> {
        let mut selected = Vec::new();
        for (work, broadcast) in &mut self.pending {
            if broadcast.due <= now && selected.len() < MAX_UPDATES {
                broadcast.until.get_or_insert(now.plus(BROADCAST_TIME));
                broadcast.due = now.plus(BROADCAST_INTERVAL);
                selected.push(*work);
            }
        }
        self.pending
            .retain(|_, broadcast| broadcast.until.is_none_or(|until| broadcast.due < until));
        selected
    }
}
