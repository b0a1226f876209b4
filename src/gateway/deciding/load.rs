//! Outstanding work at targets: of this daemon and, as they report it, of its peers.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::names::{DaemonId, MonoTime};
use crate::target_incarnation::TargetIncarnation;

/// Age from which the work reported by a peer is ignored.
const PEER_LOAD_TTL: Duration = Duration::from_millis(1_500);

/// Number of ranks that engines distinguish; rank 0 is prefilled first.
pub const RANKS: usize = 10;

/// Outstanding work at one target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "WorkWire", try_from = "WorkWire")]
pub struct TargetWork {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Pending prefill tokens by rank; engines prefill the more urgent ranks first.
    pub pending_prefill: [u32; RANKS],
}

/// Wire form of [`TargetWork`]: lists only ranks with tokens, since most have none.
#[derive(Deserialize, Serialize)]
struct WorkWire(u32, Vec<(u8, u32)>);

impl From<TargetWork> for WorkWire {
    fn from(work: TargetWork) -> Self {
        let ranks = (0..).zip(work.pending_prefill);
        Self(
            work.running,
            ranks.filter(|(_, tokens)| *tokens > 0).collect(),
        )
    }
}

/// A rank above the highest that engines distinguish.
#[derive(Debug, thiserror::Error)]
#[error("rank {0} of pending prefill tokens is above the highest rank, {highest}; the sending daemon runs another version; update all daemons to the same version", highest = RANKS - 1)]
struct UnknownRank(u8);

impl TryFrom<WorkWire> for TargetWork {
    type Error = UnknownRank;

    fn try_from(WorkWire(running, ranks): WorkWire) -> Result<Self, Self::Error> {
        let mut work = Self {
            running,
            ..Self::default()
        };
        for (rank, tokens) in ranks {
            let pending_prefill = work.pending_prefill.get_mut(usize::from(rank));
            *pending_prefill.ok_or(UnknownRank(rank))? = tokens;
        }
        Ok(work)
    }
}

impl TargetWork {
    /// Returns the tokens that are prefilled before those of a new request of `rank`.
    #[must_use]
    pub fn prefill_tokens_before(&self, rank: u8) -> u32 {
        self.pending_prefill[..=rank_index(rank)].iter().sum()
    }
}

impl TargetWork {
    /// Subtracts work from a sum that contains it.
    pub fn subtract(&mut self, other: &Self) {
        self.running = self.running.saturating_sub(other.running);
        for (sum, tokens) in self.pending_prefill.iter_mut().zip(other.pending_prefill) {
            *sum = sum.saturating_sub(tokens);
        }
    }

    fn add(&mut self, other: &Self) {
        self.running += other.running;
        for (sum, tokens) in self.pending_prefill.iter_mut().zip(other.pending_prefill) {
            *sum += tokens;
        }
    }
}

fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}

/// Outstanding work by target.
pub type WorkByTarget = IndexMap<TargetIncarnation, TargetWork>;

/// Work that was placed for a request of a peer and is not yet contained in its reports.
#[derive(Clone, Debug)]
struct ReservedWork {
    number: u64,
    target: TargetIncarnation,
    work: TargetWork,
    at: MonoTime,
}

/// Age from which reserved work is ignored: its daemon has reported it or is gone.
const RESERVATION_TTL: Duration = Duration::from_millis(800);

/// Outstanding work of this daemon and of its peers.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    local: WorkByTarget,
    peers: IndexMap<DaemonId, (MonoTime, WorkByTarget)>,
    // Hub whose sum over the whole fleet is the only entry in `peers`, if there is one.
    fleet_sum_from: Option<DaemonId>,
    reserved: IndexMap<DaemonId, Vec<ReservedWork>>,
    // Highest reservation number that a daemon's last report contains.
    reported_through: IndexMap<DaemonId, u64>,
    // Sum over the peers, cached so that a choice does not have to compute it.
    peer_sum: WorkByTarget,
}

impl LoadTracker {
    /// Records the start of a request of a rank with `pending_prefill_tokens` to prefill.
    pub fn begin(&mut self, target: &TargetIncarnation, rank: u8, pending_prefill_tokens: u32) {
        let work = self.local.entry(target.clone()).or_default();
        work.running += 1;
        work.pending_prefill[rank_index(rank)] += pending_prefill_tokens;
    }

    /// Records that tokens counted by [`Self::begin`] were prefilled.
    pub fn note_prefilled(&mut self, target: &TargetIncarnation, rank: u8, tokens: u32) {
        if let Some(work) = self.local.get_mut(target) {
            let pending_prefill = &mut work.pending_prefill[rank_index(rank)];
            *pending_prefill = pending_prefill.saturating_sub(tokens);
        }
    }

    /// Records the end of a request with `pending_prefill_tokens` left to prefill.
    pub fn end(&mut self, target: &TargetIncarnation, rank: u8, pending_prefill_tokens: u32) {
        self.note_prefilled(target, rank, pending_prefill_tokens);
        if let Some(work) = self.local.get_mut(target) {
            work.running = work.running.saturating_sub(1);
            if work.running == 0 {
                self.local.swap_remove(target);
            }
        }
    }

    /// Replaces the work reported by a peer, for itself or for the daemons of its data centre.
    /// A sum over the whole fleet that was reported before contains it, and is dropped: daemons
    /// that add up each other's sums would count all work anew with each report.
    pub fn set_peer_work(&mut self, daemon: DaemonId, work: WorkByTarget, now: MonoTime) {
        if let Some(hub) = self.fleet_sum_from.take() {
            self.peers.swap_remove(&hub);
        }
        self.peers.insert(daemon, (now, work));
        self.update_peer_sum(now);
    }

    /// Replaces the work of all peers by a hub's sum over the whole fleet.
    pub fn set_fleet_work(&mut self, hub: DaemonId, work: WorkByTarget, now: MonoTime) {
        self.peers.clear();
        self.fleet_sum_from = Some(hub.clone());
        self.peers.insert(hub, (now, work));
        self.update_peer_sum(now);
    }

    /// Reserves work (rank and pending prefill tokens) that a peer sends and will report
    /// itself. Its report names the number of the last reservation that it contains;
    /// reservations that arrive after that report are ignored.
    pub fn reserve(
        &mut self,
        (daemon, number): (&DaemonId, u64),
        target: &TargetIncarnation,
        (rank, pending_prefill_tokens): (u8, u32),
        now: MonoTime,
    ) {
        if self
            .reported_through
            .get(daemon)
            .is_some_and(|through| number <= *through)
        {
            return;
        }
        let mut work = TargetWork {
            running: 1,
            ..TargetWork::default()
        };
        work.pending_prefill[rank_index(rank)] = pending_prefill_tokens;
        self.peer_sum.entry(target.clone()).or_default().add(&work);
        let reserved = self.reserved.entry(daemon.clone()).or_default();
        reserved.push(ReservedWork {
            number,
            target: target.clone(),
            work,
            at: now,
        });
    }

    /// Drops reservations of a peer up to the number that its report contains. [`Self::total`]
    /// includes them until the next [`Self::set_peer_work`] or [`Self::expire`].
    pub fn release_reservations(&mut self, daemon: &DaemonId, through: u64) {
        self.reported_through.insert(daemon.clone(), through);
        if let Some(reserved) = self.reserved.get_mut(daemon) {
            reserved.retain(|reservation| reservation.number > through);
        }
    }

    /// Drops reports and reservations that are too old.
    pub fn expire(&mut self, now: MonoTime) {
        self.update_peer_sum(now);
    }

    /// Returns the work of this daemon.
    #[must_use]
    pub fn local(&self) -> &WorkByTarget {
        &self.local
    }

    /// Returns the sum of the work of this daemon and of the peers for which `includes` is
    /// true.
    #[must_use]
    pub fn sum_with(&self, includes: impl Fn(&DaemonId) -> bool) -> WorkByTarget {
        let mut sum = self.local.clone();
        let peers = self.peers.iter().filter(|(daemon, _)| includes(daemon));
        for (target, work) in peers.flat_map(|(_, (_, work))| work) {
            sum.entry(target.clone()).or_default().add(work);
        }
        let reserved = self.reserved.iter().filter(|(daemon, _)| includes(daemon));
        for reservation in reserved.flat_map(|(_, reserved)| reserved) {
            let total = sum.entry(reservation.target.clone()).or_default();
            total.add(&reservation.work);
        }
        sum
    }

    /// Returns all known work at a target.
    #[must_use]
    pub fn total(&self, target: &TargetIncarnation) -> TargetWork {
        let mut total = self.local.get(target).copied().unwrap_or_default();
        total.add(&self.peer_sum.get(target).copied().unwrap_or_default());
        total
    }

    /// Returns the number of peers whose work is known.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    fn update_peer_sum(&mut self, now: MonoTime) {
        self.peers
            .retain(|_, (at, _)| now.since(*at) < PEER_LOAD_TTL);
        self.peer_sum.clear();
        for (target, work) in self.peers.values().flat_map(|(_, work)| work) {
            self.peer_sum.entry(target.clone()).or_default().add(work);
        }
        for reserved in self.reserved.values_mut() {
            reserved.retain(|reservation| now.since(reservation.at) < RESERVATION_TTL);
        }
        self.reserved.retain(|_, reserved| !reserved.is_empty());
        for reservation in self.reserved.values().flatten() {
            let total = self.peer_sum.entry(reservation.target.clone()).or_default();
            total.add(&reservation.work);
        }
    }
}
