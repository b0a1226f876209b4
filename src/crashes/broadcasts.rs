//! Selects the works whose crash reports go into the next message to other daemons.
//!
//! A changed report goes into several messages, since a link may drop one. Works that
//! crashed more than one target are also rebroadcast in rotation, once a second, for daemons
//! that were unreachable at the time.

use std::time::Duration;

use indexmap::IndexMap;
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::crashes::work_digest::WorkDigest;
use crate::names::MonoTime;
use crate::target_incarnation::TargetIncarnation;

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

/// A report about one work, as daemons send it to each other.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct CrashReport {
    /// The work.
    pub work: WorkDigest,
    /// Target incarnations that crashed under it.
    pub crashes: Vec<TargetIncarnation>,
    /// Target incarnations that were suspected of it but did not crash, or crashed for
    /// another reason.
    pub refuted: Vec<TargetIncarnation>,
    /// Milliseconds since the last crash or, if quarantined, since its last request.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct PendingBroadcast {
    due: MonoTime,
    // End of the repeats; set when the report is first sent.
    until: Option<MonoTime>,
}

/// Schedules when crash reports are sent to other daemons.
#[derive(Clone, Debug, Default)]
pub struct CrashBroadcasts {
    pending: IndexMap<WorkDigest, PendingBroadcast>,
    rebroadcast_at: Option<MonoTime>,
    next_rebroadcast: usize,
}

impl CrashBroadcasts {
    /// Schedules the report of a work, to be sent from `due` on.
    pub fn schedule(&mut self, work: WorkDigest, due: MonoTime) {
        let broadcast = PendingBroadcast { due, until: None };
        let pending = self.pending.entry(work).or_insert(broadcast);
        pending.due = pending.due.min(due);
        pending.until = None;
    }

    /// Cancels pending messages about a work.
    pub fn cancel(&mut self, work: WorkDigest) {
        self.pending.swap_remove(&work);
    }

    /// Returns the works whose reports go into a message now; `eligible` are the works that
    /// are rebroadcast in rotation.
    pub fn select_due(&mut self, eligible: &[WorkDigest], now: MonoTime) -> Vec<WorkDigest> {
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
