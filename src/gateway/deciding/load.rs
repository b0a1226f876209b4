//! Work outstanding at targets: this daemon's own and, from their messages, the others'.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::names::{DaemonId, MonoTime};
use crate::target_incarnation::TargetIncarnation;

/// Age from which another daemon's counts are left out.
const STALE_AFTER: Duration = Duration::from_millis(1_500);

/// Ranks that engines tell apart; 0 is read first.
pub const RANKS: usize = 10;

/// Work at one target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "WorkWire", try_from = "WorkWire")]
pub struct TargetWork {
    /// Requests sent and not ended.
    pub running: u32,
    /// Prompt tokens still to be read, by rank: engines read the more urgent first.
    pub unread: [u32; RANKS],
}

/// Work at one target between daemons: of the ranks those with tokens, as most have none.
#[derive(Deserialize, Serialize)]
struct WorkWire(u32, Vec<(u8, u32)>);

impl From<TargetWork> for WorkWire {
    fn from(work: TargetWork) -> Self {
        let ranks = (0..).zip(work.unread);
        Self(
            work.running,
            ranks.filter(|(_, tokens)| *tokens > 0).collect(),
        )
    }
}

/// A rank that engines do not tell apart.
#[derive(Debug, thiserror::Error)]
#[error("rank {0} of unread tokens is above the highest, {highest}; the sender runs another version", highest = RANKS - 1)]
struct UnknownRank(u8);

impl TryFrom<WorkWire> for TargetWork {
    type Error = UnknownRank;

    fn try_from(WorkWire(running, ranks): WorkWire) -> Result<Self, Self::Error> {
        let mut work = Self {
            running,
            ..Self::default()
        };
        for (rank, tokens) in ranks {
            let unread = work.unread.get_mut(usize::from(rank));
            *unread.ok_or(UnknownRank(rank))? = tokens;
        }
        Ok(work)
    }
}

impl TargetWork {
    /// Tokens that are read before those of a new request of `rank`.
    #[must_use]
    pub fn prefill_tokens_before(&self, rank: u8) -> u32 {
        self.unread[..=rank_index(rank)].iter().sum()
    }
}

impl TargetWork {
    /// Takes work out of a sum that contains it.
    pub fn subtract(&mut self, other: &Self) {
        self.running = self.running.saturating_sub(other.running);
        for (sum, tokens) in self.unread.iter_mut().zip(other.unread) {
            *sum = sum.saturating_sub(tokens);
        }
    }

    fn add(&mut self, other: &Self) {
        self.running += other.running;
        for (sum, tokens) in self.unread.iter_mut().zip(other.unread) {
            *sum += tokens;
        }
    }
}

fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}

/// Work by target.
pub type WorkByTarget = IndexMap<TargetIncarnation, TargetWork>;

/// Work that another daemon was told to place and has not told of itself yet.
#[derive(Clone, Debug)]
struct PromisedWork {
    number: u64,
    target: TargetIncarnation,
    work: TargetWork,
    at: MonoTime,
}

/// Age from which promised work is left out: its daemon has told of it, or is gone.
const PROMISE_TIME: Duration = Duration::from_millis(800);

/// Work of this daemon and of the others.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    own: WorkByTarget,
    others: IndexMap<DaemonId, (MonoTime, WorkByTarget)>,
    promised: IndexMap<DaemonId, Vec<PromisedWork>>,
    // Number through which a daemon's own word contains what was promised for it.
    settled: IndexMap<DaemonId, u64>,
    // Sum of the others, kept so that a choice does not add them up anew.
    sum: WorkByTarget,
}

impl LoadTracker {
    /// Notes the start of a request of a rank with `unread_tokens` to read.
    pub fn begin(&mut self, target: &TargetIncarnation, rank: u8, unread_tokens: u32) {
        let work = self.own.entry(target.clone()).or_default();
        work.running += 1;
        work.unread[rank_index(rank)] += unread_tokens;
    }

    /// Notes that tokens counted by [`Self::begin`] were read.
    pub fn note_read(&mut self, target: &TargetIncarnation, rank: u8, tokens: u32) {
        if let Some(work) = self.own.get_mut(target) {
            let unread = &mut work.unread[rank_index(rank)];
            *unread = unread.saturating_sub(tokens);
        }
    }

    /// Notes the end of a request, of whose prompt `unread_tokens` were not read.
    pub fn end(&mut self, target: &TargetIncarnation, rank: u8, unread_tokens: u32) {
        self.note_read(target, rank, unread_tokens);
        if let Some(work) = self.own.get_mut(target) {
            work.running = work.running.saturating_sub(1);
            if work.running == 0 {
                self.own.swap_remove(target);
            }
        }
    }

    /// Takes another daemon's work in place of what it told before.
    pub fn set_peer_work(&mut self, daemon: DaemonId, work: WorkByTarget, now: MonoTime) {
        self.others.insert(daemon, (now, work));
        self.sum_up(now);
    }

    /// Notes work, as rank and unread tokens, that another daemon places and will tell
    /// of itself, by a number that its word names then. A promise that comes after that
    /// word is left out.
    pub fn promise(
        &mut self,
        (daemon, number): (&DaemonId, u64),
        target: &TargetIncarnation,
        (rank, unread_tokens): (u8, u32),
        now: MonoTime,
    ) {
        if self
            .settled
            .get(daemon)
            .is_some_and(|through| number <= *through)
        {
            return;
        }
        let mut work = TargetWork {
            running: 1,
            ..TargetWork::default()
        };
        work.unread[rank_index(rank)] = unread_tokens;
        self.sum.entry(target.clone()).or_default().add(&work);
        let promised = self.promised.entry(daemon.clone()).or_default();
        promised.push(PromisedWork {
            number,
            target: target.clone(),
            work,
            at: now,
        });
    }

    /// Leaves out promises of a daemon that its own word contains by now.
    pub fn release_reservations(&mut self, daemon: &DaemonId, through: u64) {
        self.settled.insert(daemon.clone(), through);
        if let Some(promised) = self.promised.get_mut(daemon) {
            promised.retain(|promise| promise.number > through);
        }
    }

    /// Leaves out what is too old.
    pub fn expire(&mut self, now: MonoTime) {
        self.sum_up(now);
    }

    /// This daemon's own work.
    #[must_use]
    pub fn own(&self) -> &WorkByTarget {
        &self.own
    }

    /// This daemon's own work and that of the others for which `counts`, summed.
    #[must_use]
    pub fn summed(&self, counts: impl Fn(&DaemonId) -> bool) -> WorkByTarget {
        let mut sum = self.own.clone();
        let others = self.others.iter().filter(|(daemon, _)| counts(daemon));
        for (target, work) in others.flat_map(|(_, (_, work))| work) {
            sum.entry(target.clone()).or_default().add(work);
        }
        let promised = self.promised.iter().filter(|(daemon, _)| counts(daemon));
        for promise in promised.flat_map(|(_, promised)| promised) {
            let total = sum.entry(promise.target.clone()).or_default();
            total.add(&promise.work);
        }
        sum
    }

    /// All work known at a target.
    #[must_use]
    pub fn total(&self, target: &TargetIncarnation) -> TargetWork {
        let mut total = self.own.get(target).copied().unwrap_or_default();
        total.add(&self.sum.get(target).copied().unwrap_or_default());
        total
    }

    /// Daemons whose work is known, beside this one.
    #[must_use]
    pub fn others(&self) -> usize {
        self.others.len()
    }

    fn sum_up(&mut self, now: MonoTime) {
        self.others
            .retain(|_, (at, _)| now.since(*at) < STALE_AFTER);
        self.sum.clear();
        for (target, work) in self.others.values().flat_map(|(_, work)| work) {
            self.sum.entry(target.clone()).or_default().add(work);
        }
        for promised in self.promised.values_mut() {
            promised.retain(|promise| now.since(promise.at) < PROMISE_TIME);
        }
        self.promised.retain(|_, promised| !promised.is_empty());
        for promise in self.promised.values().flatten() {
            let total = self.sum.entry(promise.target.clone()).or_default();
            total.add(&promise.work);
        }
    }
}
