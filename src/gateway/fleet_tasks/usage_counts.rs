//! Requests started in each window of fleet time, by workspace.
//!
//! Each daemon counts its own requests and sends totals, never differences: messages that
//! are lost, duplicated or late do not change the sum.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::gateway::fleet_tasks::fleet_clock::FleetClock;
use crate::names::{DaemonId, MonoTime, WorkspaceName, millis};

/// Number of a window: the time since the Unix epoch divided by the length of a window.
pub type WindowNumber = u64;

/// Requests of one workspace started in one window, as counted by one daemon so far.
pub type UsageCount = (WindowNumber, WorkspaceName, u32);

/// Counts of one daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DaemonUsage {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its incarnation; each counts from zero.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Its counts.
    #[serde(rename = "cells")]
    pub counts: Vec<UsageCount>,
}

/// Requests by workspace.
pub type WorkspaceCounts = IndexMap<WorkspaceName, u32>;
type WindowCounts = IndexMap<WindowNumber, WorkspaceCounts>;

/// Interval at which all recent counts are sent, including unchanged ones, since messages may
/// be lost. Well below the reporting deadline of a window.
const FULL_UPDATE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of windows, the newest ones, that such an update covers.
const WINDOWS_SENT: u64 = 3;
/// Number of retained windows, for reports delayed by an outage of the store or the platform.
const WINDOWS_RETAINED: u64 = 24;

/// Most counts offered in one message, about 12 kB. A fleet that starts 300 requests/s in windows
/// of 5 s has about 1,200 counts for each window.
const MAX_OFFERED: usize = 400;
/// Time between the two times that all counts are offered to a new receiver. A message on a slow
/// link is replaced by the next one before it is sent.
const OFFER_INTERVAL: Duration = Duration::from_millis(2_000);

/// Daemon and incarnation that counted.
type CountingDaemon = (DaemonId, u64);

/// Counts that are still to be offered to new receivers.
#[derive(Debug, Default)]
struct PendingOffers {
    // Counting daemon, `None` for this one, and window; the newest windows first.
    queue: VecDeque<(Option<CountingDaemon>, WindowNumber)>,
    repeat_at: Option<MonoTime>,
}

/// Counts of this daemon and those received from others.
#[derive(Debug)]
pub struct UsageCounts {
    window: Duration,
    // Started requests that are not assigned to windows yet.
    pending: Vec<(MonoTime, WorkspaceName)>,
    local: WindowCounts,
    changed: IndexSet<(WindowNumber, WorkspaceName)>,
    remote: IndexMap<CountingDaemon, WindowCounts>,
    relayed: Vec<DaemonUsage>,
    copies: Vec<DaemonUsage>,
    offers: PendingOffers,
    full_update_at: MonoTime,
}

impl UsageCounts {
    /// Creates empty counts for windows of the given length.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            pending: Vec::new(),
            local: IndexMap::new(),
            changed: IndexSet::new(),
            remote: IndexMap::new(),
            relayed: Vec::new(),
            copies: Vec::new(),
            offers: PendingOffers::default(),
            full_update_at: MonoTime(0),
        }
    }

    /// Returns the window of a local time, or `None` while fleet time is unknown.
    #[must_use]
    pub fn window_of(&self, clock: &FleetClock, moment: MonoTime) -> Option<WindowNumber> {
        let at = clock.at(moment)?;
        Some(at.0 / millis(self.window).max(1))
    }

    /// Counts a started request of a workspace.
    pub fn record_start(&mut self, workspace: &WorkspaceName, now: MonoTime) {
        self.pending.push((now, workspace.clone()));
    }

    /// Assigns started requests to their windows, once fleet time is known, and drops windows
    /// that are no longer retained.
    pub fn assign_windows(&mut self, clock: &FleetClock, now: MonoTime) {
        let Some(newest) = self.window_of(clock, now) else {
            return;
        };
        for (moment, workspace) in std::mem::take(&mut self.pending) {
            let window = self.window_of(clock, moment).unwrap_or(newest);
            let counts = self.local.entry(window).or_default();
            *counts.entry(workspace.clone()).or_default() += 1;
            self.changed.insert((window, workspace));
        }
        let is_retained = |window: &WindowNumber| *window + WINDOWS_RETAINED > newest;
        self.local.retain(|window, _| is_retained(window));
        for counts in self.remote.values_mut() {
            counts.retain(|window, _| is_retained(window));
        }
        self.remote.retain(|_, counts| !counts.is_empty());
    }

    /// Returns the local counts to send: changed ones, and periodically all recent ones.
    pub fn take_updates(&mut self, now: MonoTime) -> Vec<UsageCount> {
        let changed = std::mem::take(&mut self.changed);
        if now.since(self.full_update_at) < FULL_UPDATE_INTERVAL {
            let local = |(window, workspace): (WindowNumber, WorkspaceName)| {
                let count = *self.local.get(&window)?.get(&workspace)?;
                Some((window, workspace, count))
            };
            return changed.into_iter().filter_map(local).collect();
        }
        self.full_update_at = now;
        let newest = self.local.keys().max().copied().unwrap_or(0);
        let recent = self.local.iter();
        let recent = recent.filter(|(window, _)| **window + WINDOWS_SENT > newest);
        let updates = recent.flat_map(|(window, counts)| {
            let counts = counts.iter();
            counts.map(|(workspace, count)| (*window, workspace.clone(), *count))
        });
        updates.collect()
    }

    /// Starts to offer all retained counts, as there is a new receiver.
    pub fn start_offers(&mut self, now: MonoTime) {
        self.queue_offers();
        self.offers.repeat_at = Some(now.plus(OFFER_INTERVAL));
    }

    fn queue_offers(&mut self) {
        let local = self.local.keys().map(|window| (None, *window));
        let remote = self.remote.iter().flat_map(|(daemon, counts)| {
            let windows = counts.keys();
            windows.map(|window| (Some(daemon.clone()), *window))
        });
        let mut offers: Vec<_> = local.chain(remote).collect();
        offers.sort_by_key(|(_, window)| std::cmp::Reverse(*window));
        self.offers.queue = offers.into();
    }

    /// Returns the counts to offer in the next message, as far as `is_offered` accepts the daemon
    /// that counted them; `local` is this daemon.
    pub fn take_offers(
        &mut self,
        local: &CountingDaemon,
        is_offered: impl Fn(&DaemonId) -> bool,
        now: MonoTime,
    ) -> Vec<DaemonUsage> {
        if self.offers.queue.is_empty() && self.offers.repeat_at.is_some_and(|at| now >= at) {
            self.offers.repeat_at = None;
            self.queue_offers();
        }
        let mut offered: Vec<DaemonUsage> = Vec::new();
        let mut count = 0;
        while count < MAX_OFFERED
            && let Some((daemon, window)) = self.offers.queue.pop_front()
        {
            let counts = match &daemon {
                None => self.local.get(&window),
                Some(daemon) if is_offered(&daemon.0) => {
                    self.remote.get(daemon).and_then(|all| all.get(&window))
                }
                Some(_) => None,
            };
            let Some(counts) = counts else {
                continue;
            };
            count += counts.len();
            let (daemon, incarnation) = daemon.unwrap_or_else(|| local.clone());
            let counts = counts.iter();
            offered.push(DaemonUsage {
                daemon,
                incarnation,
                counts: counts.map(|(name, n)| (window, name.clone(), *n)).collect(),
            });
        }
        offered
    }

    /// Returns whether no counts are waiting to be offered for the first time.
    #[must_use]
    pub fn has_offered(&self) -> bool {
        self.offers.queue.is_empty()
    }

    /// Merges the counts of another daemon. Counts of members are relayed to other hubs.
    pub fn merge_remote(&mut self, usage: DaemonUsage, from_member: bool) {
        let incarnation = (usage.daemon.clone(), usage.incarnation);
        for (window, workspace, count) in &usage.counts {
            let counts = self.remote.entry(incarnation.clone()).or_default();
            let counts = counts.entry(*window).or_default();
            let known = counts.entry(workspace.clone()).or_default();
            *known = (*known).max(*count);
        }
        if from_member && !usage.counts.is_empty() {
            self.copies.push(usage.clone());
            self.relayed.push(usage);
        }
    }

    /// Returns the counts received from members since the last call.
    pub fn take_relayed(&mut self) -> Vec<DaemonUsage> {
        std::mem::take(&mut self.relayed)
    }

    /// Queues counts for the members that keep those of this hub, besides counts of its members.
    pub fn queue_copies(&mut self, usage: impl IntoIterator<Item = DaemonUsage>) {
        self.copies.extend(usage);
    }

    /// Returns the counts to be kept by members since the last call.
    pub fn take_copies(&mut self) -> Vec<DaemonUsage> {
        std::mem::take(&mut self.copies)
    }

    /// Returns the known total of a window.
    #[must_use]
    pub fn total(&self, window: WindowNumber) -> WorkspaceCounts {
        let mut total = WorkspaceCounts::new();
        let all = self.remote.values().chain([&self.local]);
        for counts in all.filter_map(|counts| counts.get(&window)) {
            for (workspace, count) in counts {
                *total.entry(workspace.clone()).or_default() += count;
            }
        }
        total
    }
}
