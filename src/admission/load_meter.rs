//! Measured delays and rates of work of each service, of this daemon and of its peers.
//!
//! Daemons report sums, which hubs add up, so a report does not grow with the fleet. Values
//! decay within a second or two: a daemon that hears nothing of the others decides by what it
//! measures itself, and a service without recent requests counts as undisturbed.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::admission::{CapacityView, MAX_URGENT_SHARE};
use crate::names::{DaemonId, MonoTime, ServiceName};

/// Time constant of the means. Demand of two kinds alternates every 2.8 s, which a longer mean
/// would miss; a shorter one holds too few requests of a small service.
const TIME_CONSTANT_S: f64 = 1.2;
/// Age from which a peer's report is ignored, as for its load.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Number of ranks that are distinguished; less urgent ones count as the last.
pub const RANKS: usize = 10;
/// Weight of the ratio 1 in a mean, in requests: without data the ratio is 1.
const NEUTRAL_COUNT: f64 = 1.0;
/// Largest ratio that one request contributes.
const MAX_RATIO: f64 = 8.0;
/// Most workspaces in a report: those with the most work. The others are far from exceeding
/// their share.
const MAX_REPORTED_WORKSPACES: usize = 24;
/// Rate from which a workspace counts as active, and a value is reported.
const MIN_RATE: f64 = 0.01;

/// Ratios of actual to expected times to the first event of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DelaySum(pub ServiceName, pub f64, pub f64);

/// Work that is placed of one service and rank, in milliseconds of a target per second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacedRate(pub ServiceName, pub u8, pub f64);

/// Measured delays and rates of one daemon, or summed over several.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct AdmissionReport {
    /// Service, sum of ratios and number of requests, as decaying sums.
    pub delays: Vec<DelaySum>,
    /// Rates of placed work by service and rank.
    pub placed: Vec<PlacedRate>,
    /// Rates of requested work by workspace: those with the most.
    pub workspaces: Vec<(u64, f64)>,
}

impl AdmissionReport {
    /// Whether it contains nothing; then it is left out of a message.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.delays.is_empty() && self.placed.is_empty() && self.workspaces.is_empty()
    }
}

/// Sums by service, rank and workspace.
#[derive(Clone, Debug, Default)]
struct LoadSums {
    delays: IndexMap<ServiceName, (f64, f64)>,
    placed: IndexMap<ServiceName, [f64; RANKS]>,
    workspaces: IndexMap<u64, f64>,
}

impl LoadSums {
    fn add(&mut self, report: &AdmissionReport, sign: f64) {
        for DelaySum(service, sum, count) in &report.delays {
            let delays = self.delays.entry(service.clone()).or_default();
            *delays = (delays.0 + sign * sum, delays.1 + sign * count);
        }
        for PlacedRate(service, rank, rate) in &report.placed {
            let ranks = self.placed.entry(service.clone()).or_default();
            ranks[rank_index(*rank)] += sign * rate;
        }
        for (workspace, rate) in &report.workspaces {
            *self.workspaces.entry(*workspace).or_default() += sign * rate;
        }
    }

    fn scale(&mut self, factor: f64) {
        for (sum, count) in self.delays.values_mut() {
            (*sum, *count) = (*sum * factor, *count * factor);
        }
        let rates = self.placed.values_mut().flatten();
        for rate in rates.chain(self.workspaces.values_mut()) {
            *rate *= factor;
        }
    }

    fn drop_small(&mut self) {
        self.delays.retain(|_, (_, count)| *count >= MIN_RATE);
        self.placed
            .retain(|_, ranks| ranks.iter().sum::<f64>() >= MIN_RATE);
        self.workspaces.retain(|_, rate| *rate >= MIN_RATE);
    }

    fn report(&self) -> AdmissionReport {
        let delays = self.delays.iter();
        let delays = delays.map(|(service, (sum, count))| DelaySum(service.clone(), *sum, *count));
        let placed = self.placed.iter().flat_map(|(service, ranks)| {
            let ranks = (0..).zip(ranks).filter(|(_, rate)| **rate >= MIN_RATE);
            ranks.map(|(rank, rate)| PlacedRate(service.clone(), rank, *rate))
        });
        let mut workspaces: Vec<(u64, f64)> =
            self.workspaces.iter().map(|(w, r)| (*w, *r)).collect();
        workspaces.sort_by_key(|(workspace, rate)| (Reverse(rate.to_bits()), *workspace));
        workspaces.truncate(MAX_REPORTED_WORKSPACES);
        AdmissionReport {
            delays: delays.collect(),
            placed: placed.collect(),
            workspaces,
        }
    }
}

/// A request whose capacity view is computed.
#[derive(Clone, Copy, Debug)]
pub struct RequestLoad<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Rank of its route or workspace.
    pub rank: u8,
    /// Digest of its workspace, if it has one.
    pub workspace: Option<u64>,
    /// Own work, in milliseconds of a target.
    pub work_ms: f64,
}

/// Delays and rates of work of this daemon and of its peers.
#[derive(Clone, Debug, Default)]
pub struct LoadMeter {
    local: LoadSums,
    local_at: MonoTime,
    peers: IndexMap<DaemonId, (MonoTime, AdmissionReport)>,
    // Hub whose sum over the whole fleet, this daemon included, is the only entry in `peers`.
    fleet_sum_from: Option<DaemonId>,
    // Sum over the peers, updated with each report so that a decision does not compute it.
    peer_sums: LoadSums,
    // Largest rate of requested work of a workspace that is within its share.
    fair_rate: Option<f64>,
}

impl LoadMeter {
    /// Records the time to the first event of a request, or the time that one waited that had
    /// none, relative to the expected time.
    pub fn note_delay(&mut self, service: &ServiceName, ratio: f64, now: MonoTime) {
        if !ratio.is_finite() {
            return;
        }
        self.decay(now);
        let delays = self.local.delays.entry(service.clone()).or_default();
        delays.0 += ratio.clamp(0.0, MAX_RATIO);
        delays.1 += 1.0;
    }

    /// Records work that a caller requested, whether it was admitted or not: a workspace that
    /// floods the service is measured by what it asks for.
    pub fn note_requested(&mut self, load: &RequestLoad<'_>, now: MonoTime) {
        self.decay(now);
        if let Some(workspace) = load.workspace {
            let rate = self.local.workspaces.entry(workspace).or_default();
            *rate += load.work_ms.max(0.0) / TIME_CONSTANT_S;
        }
    }

    /// Records work that was admitted.
    pub fn note_placed(&mut self, load: &RequestLoad<'_>, now: MonoTime) {
        self.decay(now);
        let ranks = self.local.placed.entry(load.service.clone()).or_default();
        ranks[rank_index(load.rank)] += load.work_ms.max(0.0) / TIME_CONSTANT_S;
    }

    /// Returns what this daemon measured.
    pub fn local_report(&mut self, now: MonoTime) -> AdmissionReport {
        self.decay(now);
        self.local.drop_small();
        self.local.report()
    }

    /// Returns the sum over this daemon and the peers for which `includes` is true.
    pub fn sum_with(
        &mut self,
        includes: impl Fn(&DaemonId) -> bool,
        now: MonoTime,
    ) -> AdmissionReport {
        self.decay(now);
        let mut sum = self.local.clone();
        let peers = self.peers.iter().filter(|(daemon, _)| includes(daemon));
        for (_, (_, report)) in peers {
            sum.add(report, 1.0);
        }
        sum.drop_small();
        sum.report()
    }

    /// Replaces the report of a peer, for itself or for the daemons of its data centre. A sum
    /// over the whole fleet that was reported before contains it, and is dropped.
    pub fn set_peer(&mut self, daemon: &DaemonId, mut report: AdmissionReport, now: MonoTime) {
        drop_invalid(&mut report);
        if let Some(hub) = self.fleet_sum_from.take() {
            self.remove(&hub);
        }
        self.remove(daemon);
        if !report.is_empty() {
            self.peer_sums.add(&report, 1.0);
            self.peers.insert(daemon.clone(), (now, report));
        }
    }

    /// Replaces the reports of all peers by a hub's sum over the whole fleet.
    pub fn set_fleet(&mut self, hub: &DaemonId, report: AdmissionReport, now: MonoTime) {
        self.peers.clear();
        self.peer_sums = LoadSums::default();
        self.fleet_sum_from = None;
        self.set_peer(hub, report, now);
        self.fleet_sum_from = Some(hub.clone());
    }

    /// Drops reports that are too old, and computes the workspaces' share anew.
    pub fn sweep(&mut self, now: MonoTime) {
        self.decay(now);
        self.peers.retain(|_, (at, _)| now.since(*at) < REPORT_TTL);
        if self.peers.is_empty() {
            self.fleet_sum_from = None;
        }
        // Computed anew, so that rounding errors do not add up.
        self.peer_sums = LoadSums::default();
        for (_, report) in self.peers.values() {
            self.peer_sums.add(report, 1.0);
        }
        self.fair_rate = self.compute_fair_rate();
    }

    /// Returns the load as a request sees it that would wait for `wait_ms` at the targets of its
    /// service, which do `capacity_ms` milliseconds of work per second.
    pub fn capacity_view(
        &mut self,
        load: &RequestLoad<'_>,
        (wait_ms, capacity_ms): (f64, f64),
        now: MonoTime,
    ) -> CapacityView {
        self.decay(now);
        CapacityView {
            wait_ms,
            delay_ratio: self.delay_ratio(load.service),
            urgent_share: self.urgent_share(load, capacity_ms),
            workspace_excess: self.workspace_excess(load.workspace),
        }
    }

    /// Returns the mean ratio of actual to expected times of a service; 1 without data.
    #[must_use]
    pub fn delay_ratio(&self, service: &ServiceName) -> f64 {
        let sums = self.sums().filter_map(|sums| sums.delays.get(service));
        let (sum, count) = sums.fold((NEUTRAL_COUNT, NEUTRAL_COUNT), |total, delays| {
            (total.0 + delays.0.max(0.0), total.1 + delays.1.max(0.0))
        });
        (sum / count).clamp(1.0, MAX_RATIO)
    }

    // The capacity is what was placed, if that is more than the targets are known to do: the
    // known capacity is too small while targets are faster than expected.
    fn urgent_share(&self, load: &RequestLoad<'_>, capacity_ms: f64) -> f64 {
        let placed = self.sums().filter_map(|sums| sums.placed.get(load.service));
        let (mut urgent, mut total) = (0.0, 0.0);
        for ranks in placed {
            urgent += ranks[..rank_index(load.rank)].iter().sum::<f64>();
            total += ranks.iter().sum::<f64>();
        }
        let capacity = capacity_ms.max(total).max(f64::MIN_POSITIVE);
        (urgent / capacity).clamp(0.0, MAX_URGENT_SHARE)
    }

    fn workspace_excess(&self, workspace: Option<u64>) -> f64 {
        let (Some(workspace), Some(fair_rate)) = (workspace, self.fair_rate) else {
            return 1.0;
        };
        let rates = self
            .sums()
            .filter_map(|sums| sums.workspaces.get(&workspace));
        (rates.sum::<f64>() / fair_rate).max(1.0)
    }

    // Returns the level at which the workspaces' requests, each cut to it, make up the work that
    // was placed: workspaces below it are served in full, and the rest is shared equally by the
    // others. `None` if all that was requested was placed.
    fn compute_fair_rate(&self) -> Option<f64> {
        let mut rates: IndexMap<u64, f64> = IndexMap::new();
        for (workspace, rate) in self.sums().flat_map(|sums| &sums.workspaces) {
            *rates.entry(*workspace).or_default() += rate.max(0.0);
        }
        let mut rates: Vec<f64> = rates.into_values().filter(|r| *r >= MIN_RATE).collect();
        rates.sort_by(f64::total_cmp);
        let placed = self.sums().flat_map(|sums| sums.placed.values().flatten());
        let mut left: f64 = placed.sum();
        for (index, rate) in rates.iter().enumerate() {
            let level = left / (rates.len() - index) as f64;
            if *rate > level {
                return Some(level.max(MIN_RATE));
            }
            left -= rate;
        }
        None
    }

    // A hub's sum over the whole fleet contains the work of this daemon.
    fn sums(&self) -> impl Iterator<Item = &LoadSums> {
        let local = self.fleet_sum_from.is_none().then_some(&self.local);
        local.into_iter().chain([&self.peer_sums])
    }

    fn remove(&mut self, daemon: &DaemonId) {
        if let Some((_, report)) = self.peers.swap_remove(daemon) {
            self.peer_sums.add(&report, -1.0);
        }
    }

    fn decay(&mut self, now: MonoTime) {
        let elapsed = now.since(self.local_at).as_secs_f64();
        if elapsed > 0.0 {
            self.local.scale((-elapsed / TIME_CONSTANT_S).exp());
            self.local_at = now;
        }
    }
}

fn drop_invalid(report: &mut AdmissionReport) {
    let is_valid = |value: f64| value.is_finite() && value >= 0.0;
    report
        .delays
        .retain(|DelaySum(_, sum, count)| is_valid(*sum) && is_valid(*count));
    report
        .placed
        .retain(|PlacedRate(_, _, rate)| is_valid(*rate));
    report.workspaces.retain(|(_, rate)| is_valid(*rate));
}

fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}
