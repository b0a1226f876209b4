//! Requests that began in each window of true time, by workspace.
//!
//! Each daemon counts its own and tells the counts so far, never differences: a word that
//! is lost, doubled or late changes nothing in the sum.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::gateway::fleet_tasks::fleet_clock::FleetClock;
use crate::names::{DaemonId, MonoTime, WorkspaceName, millis};

/// Number of a window: the time since 1970 in lengths of a window.
pub type WindowNumber = u64;

/// Requests of one workspace that began in one window, as one daemon counted them so far.
pub type UsageCount = (WindowNumber, WorkspaceName, u32);

/// What one daemon counted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DaemonUsage {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its life; each counts from zero.
    pub life: u64,
    /// Its counts.
    pub cells: Vec<UsageCount>,
}

/// Requests by workspace.
pub type WorkspaceCounts = IndexMap<WorkspaceName, u32>;
type WindowCounts = IndexMap<WindowNumber, WorkspaceCounts>;

/// Time after which all recent counts are told again, also those that did not change: a
/// word may be lost. Well below the time in which a window's report is due.
const TELL_ALL_EVERY: Duration = Duration::from_millis(1_000);
/// Windows that are told again, the newest ones.
const WINDOWS_TOLD: u64 = 3;
/// Windows that are kept, for reports that wait while the store or the platform is away.
const WINDOWS_KEPT: u64 = 24;

/// Counts of this daemon and of those that tell it theirs.
#[derive(Debug)]
pub struct UsageCounts {
    window: Duration,
    // Begun while true time was not agreed on yet.
    pending: Vec<(MonoTime, WorkspaceName)>,
    own: WindowCounts,
    changed: IndexSet<(WindowNumber, WorkspaceName)>,
    heard: IndexMap<(DaemonId, u64), WindowCounts>,
    relayed: Vec<DaemonUsage>,
    told_all_at: MonoTime,
}

impl UsageCounts {
    /// Creates a book for windows of a length.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            pending: Vec::new(),
            own: IndexMap::new(),
            changed: IndexSet::new(),
            heard: IndexMap::new(),
            relayed: Vec::new(),
            told_all_at: MonoTime(0),
        }
    }

    /// Returns the window of a moment.
    #[must_use]
    pub fn window_of(&self, clock: &FleetClock, moment: MonoTime) -> Option<WindowNumber> {
        let at = clock.at(moment)?;
        Some(at.0 / millis(self.window).max(1))
    }

    /// Counts a request of a workspace that began to run.
    pub fn note_begun(&mut self, workspace: &WorkspaceName, now: MonoTime) {
        self.pending.push((now, workspace.clone()));
    }

    /// Puts what began into its windows, once true time is known.
    pub fn sort_in(&mut self, clock: &FleetClock, now: MonoTime) {
        let Some(newest) = self.window_of(clock, now) else {
            return;
        };
        for (moment, workspace) in std::mem::take(&mut self.pending) {
            let window = self.window_of(clock, moment).unwrap_or(newest);
            let counts = self.own.entry(window).or_default();
            *counts.entry(workspace.clone()).or_default() += 1;
            self.changed.insert((window, workspace));
        }
        let kept = |window: &WindowNumber| *window + WINDOWS_KEPT > newest;
        self.own.retain(|window, _| kept(window));
        for counts in self.heard.values_mut() {
            counts.retain(|window, _| kept(window));
        }
        self.heard.retain(|_, counts| !counts.is_empty());
    }

    /// Returns own counts to tell: those that changed, and at times all recent ones.
    pub fn take_news(&mut self, now: MonoTime) -> Vec<UsageCount> {
        let changed = std::mem::take(&mut self.changed);
        if now.since(self.told_all_at) < TELL_ALL_EVERY {
            let own = |(window, workspace): (WindowNumber, WorkspaceName)| {
                let count = *self.own.get(&window)?.get(&workspace)?;
                Some((window, workspace, count))
            };
            return changed.into_iter().filter_map(own).collect();
        }
        self.told_all_at = now;
        let newest = self.own.keys().max().copied().unwrap_or(0);
        let recent = self.own.iter();
        let recent = recent.filter(|(window, _)| **window + WINDOWS_TOLD > newest);
        let cells = recent.flat_map(|(window, counts)| {
            let counts = counts.iter();
            counts.map(|(workspace, count)| (*window, workspace.clone(), *count))
        });
        cells.collect()
    }

    /// Takes what a daemon counted; what members told goes on to other hubs.
    pub fn note_heard(&mut self, told: DaemonUsage, from_member: bool) {
        let life = (told.daemon.clone(), told.life);
        for (window, workspace, count) in &told.cells {
            let counts = self.heard.entry(life.clone()).or_default();
            let counts = counts.entry(*window).or_default();
            let known = counts.entry(workspace.clone()).or_default();
            *known = (*known).max(*count);
        }
        if from_member && !told.cells.is_empty() {
            self.relayed.push(told);
        }
    }

    /// Returns what members counted since the last call.
    pub fn take_relayed(&mut self) -> Vec<DaemonUsage> {
        std::mem::take(&mut self.relayed)
    }

    /// Returns all that is known of a window.
    #[must_use]
    pub fn total(&self, window: WindowNumber) -> WorkspaceCounts {
        let mut total = WorkspaceCounts::new();
        let all = self.heard.values().chain([&self.own]);
        for counts in all.filter_map(|counts| counts.get(&window)) {
            for (workspace, count) in counts {
                *total.entry(workspace.clone()).or_default() += count;
            }
        }
        total
    }
}
