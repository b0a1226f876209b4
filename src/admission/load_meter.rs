//! Measured delays and rates of work of each service, of this daemon and of its peers.
//!
//! Daemons report sums, which hubs add up, so a report does not grow with the fleet. Values
//! decay within a second or two: a daemon that hears nothing of the others decides by what it
//! measures itself, and a service without recent requests counts as undisturbed.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

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
/// Share of the requested work of a rank that is placed, below which the rank counts as refused:
/// requests are counted a little before they are placed.
const MIN_PLACED_SHARE: f64 = 0.95;
/// Smallest share of a rank's requested work that limits less urgent ranks.
const MIN_PLACED: f64 = 0.01;
/// Share of the capacity that more urgent ranks take, from which a rank needs the tenth that is
/// kept for it, and at which it needs all of it.
const KEPT_SHARE_RANGE: (f64, f64) = (0.75, 0.85);
/// Rate from which a workspace counts as active, and a value is reported.
const MIN_RATE: f64 = 0.01;

/// Measurements of one service and rank, as decaying sums. Rates are in milliseconds of a target
/// per second.
#[derive(Clone, Copy, Debug, Default, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct RankLoad {
    /// Rate of requested work.
    pub requested: f64,
    /// Rate of admitted work.
    pub placed: f64,
    /// Rate of work that was done: of requests that had their first event.
    pub served: f64,
    /// Sum of the ratios of actual to expected times to the first event.
    pub ratios: f64,
    /// Number of requests in that sum.
    pub count: f64,
}

impl RankLoad {
    fn values_mut(&mut self) -> [&mut f64; 5] {
        [
            &mut self.requested,
            &mut self.placed,
            &mut self.served,
            &mut self.ratios,
            &mut self.count,
        ]
    }

    fn add(&mut self, mut other: Self, sign: f64) {
        let values = self.values_mut().into_iter().zip(other.values_mut());
        // Subtraction leaves rounding errors, which must not make a sum negative.
        values.for_each(|(sum, value)| *sum = (*sum + sign * *value).max(0.0));
    }

    // Whether a part of the work is refused.
    fn is_refused(&self) -> bool {
        self.requested >= MIN_RATE && self.placed < self.requested * MIN_PLACED_SHARE
    }

    fn is_small(&self) -> bool {
        let rates = self.requested + self.placed + self.served;
        rates < MIN_RATE && self.count < MIN_RATE
    }

    fn is_valid(mut self) -> bool {
        let mut values = self.values_mut().into_iter();
        values.all(|value| value.is_finite() && *value >= 0.0)
    }
}

/// Measured delays and rates of one daemon, or summed over several.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct AdmissionReport {
    /// Measurements by service and rank.
    pub ranks: Vec<(ServiceName, u8, RankLoad)>,
    /// Rates of requested work by workspace: those with the most.
    pub workspaces: Vec<(u64, f64)>,
}

impl AdmissionReport {
    /// Whether it contains nothing; then it is left out of a message.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty() && self.workspaces.is_empty()
    }

    fn drop_invalid(&mut self) {
        self.ranks.retain(|(_, _, load)| load.is_valid());
        self.workspaces
            .retain(|(_, rate)| rate.is_finite() && *rate >= 0.0);
    }
}

type RankLoads = [RankLoad; RANKS];

/// Sums by service, rank and workspace.
#[derive(Clone, Debug, Default)]
struct LoadSums {
    services: IndexMap<ServiceName, RankLoads>,
    workspaces: IndexMap<u64, f64>,
}

impl LoadSums {
    fn rank_mut(&mut self, service: &ServiceName, rank: u8) -> &mut RankLoad {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), RankLoads::default());
        }
        &mut self.services[service][rank_index(rank)]
    }

    fn add(&mut self, report: &AdmissionReport, sign: f64) {
        for (service, rank, load) in &report.ranks {
            self.rank_mut(service, *rank).add(*load, sign);
        }
        for (workspace, rate) in &report.workspaces {
            let sum = self.workspaces.entry(*workspace).or_default();
            *sum = (*sum + sign * rate).max(0.0);
        }
    }

    fn scale(&mut self, factor: f64) {
        for load in self.services.values_mut().flatten() {
            load.values_mut().into_iter().for_each(|v| *v *= factor);
        }
        self.workspaces.values_mut().for_each(|v| *v *= factor);
    }

    fn drop_small(&mut self) {
        self.services
            .retain(|_, ranks| !ranks.iter().all(RankLoad::is_small));
        self.workspaces.retain(|_, rate| *rate >= MIN_RATE);
    }

    fn report(&self) -> AdmissionReport {
        let ranks = self.services.iter().flat_map(|(service, ranks)| {
            let ranks = (0..).zip(ranks).filter(|(_, load)| !load.is_small());
            ranks.map(|(rank, load)| (service.clone(), rank, *load))
        });
        let workspaces = self.workspaces.iter();
        let mut workspaces: Vec<(u64, f64)> = workspaces.map(|(w, rate)| (*w, *rate)).collect();
        workspaces.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        workspaces.truncate(MAX_REPORTED_WORKSPACES);
        AdmissionReport {
            ranks: ranks.collect(),
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

impl RequestLoad<'_> {
    fn rate(&self) -> f64 {
        self.work_ms.max(0.0) / TIME_CONSTANT_S
    }
}

/// Time to the first event of a request, from its placement.
#[derive(Clone, Copy, Debug)]
pub struct FirstEventTime {
    /// Measured time, or the time that it waited.
    pub actual_ms: f64,
    /// Expected time.
    pub expected_ms: f64,
    /// Whether it had a first event.
    pub is_served: bool,
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
    /// none, against the expected time.
    pub fn note_delay(&mut self, load: &RequestLoad<'_>, time: &FirstEventTime, now: MonoTime) {
        let ratio = time.actual_ms / time.expected_ms.max(1.0);
        if !ratio.is_finite() {
            return;
        }
        self.decay(now);
        let rank = self.local.rank_mut(load.service, load.rank);
        rank.ratios += ratio.clamp(0.0, MAX_RATIO);
        rank.count += 1.0;
        if time.is_served {
            rank.served += load.rate();
        }
    }

    /// Records work that a caller requested, whether it was admitted or not: a workspace that
    /// floods the service is measured by what it asks for.
    pub fn note_requested(&mut self, load: &RequestLoad<'_>, now: MonoTime) {
        self.decay(now);
        self.local.rank_mut(load.service, load.rank).requested += load.rate();
        if let Some(workspace) = load.workspace {
            *self.local.workspaces.entry(workspace).or_default() += load.rate();
        }
    }

    /// Records work that was admitted.
    pub fn note_placed(&mut self, load: &RequestLoad<'_>, now: MonoTime) {
        self.decay(now);
        self.local.rank_mut(load.service, load.rank).placed += load.rate();
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
        report.drop_invalid();
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
        // A hub without admission control reports nothing, not even the work of this daemon.
        self.fleet_sum_from = (!self.peers.is_empty()).then(|| hub.clone());
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
        let ranks = self.ranks(load.service);
        CapacityView {
            wait_ms,
            delay_ratio: self.delay_ratio(load.service),
            urgent_share: urgent_share(&ranks, load.rank, capacity_ms),
            rank_excess: rank_excess(&ranks, load.rank),
            kept_share: kept_share(&ranks, load.rank, capacity_ms),
            used_share: done(&ranks) / capacity_ms.max(f64::MIN_POSITIVE),
            workspace_excess: self.workspace_excess(load.workspace),
        }
    }

    /// Returns the mean ratio of actual to expected times of a service; 1 without data.
    #[must_use]
    pub fn delay_ratio(&self, service: &ServiceName) -> f64 {
        let mut all = RankLoad::default();
        for load in self.ranks(service) {
            all.add(load, 1.0);
        }
        mean_ratio(&all)
    }

    fn ranks(&self, service: &ServiceName) -> RankLoads {
        let mut total = RankLoads::default();
        for ranks in self.sums().filter_map(|sums| sums.services.get(service)) {
            for (sum, load) in total.iter_mut().zip(ranks) {
                sum.add(*load, 1.0);
            }
        }
        total
    }

    fn workspace_excess(&self, workspace: Option<u64>) -> f64 {
        let (Some(workspace), Some(fair_rate)) = (workspace, self.fair_rate) else {
            return 1.0;
        };
        let rates = self
            .sums()
            .filter_map(|sums| sums.workspaces.get(&workspace));
        rates.sum::<f64>() / fair_rate
    }

    // Returns the level at which the workspaces' requests, each cut to it, make up the work that
    // was done: workspaces below it are served in full, and the rest is shared equally by the
    // others. `None` if all that was requested was done.
    fn compute_fair_rate(&self) -> Option<f64> {
        let mut rates: IndexMap<u64, f64> = IndexMap::new();
        for (workspace, rate) in self.sums().flat_map(|sums| &sums.workspaces) {
            *rates.entry(*workspace).or_default() += rate.max(0.0);
        }
        let mut rates: Vec<f64> = rates.into_values().filter(|r| *r >= MIN_RATE).collect();
        rates.sort_by(f64::total_cmp);
        let loads = self
            .sums()
            .flat_map(|sums| sums.services.values().flatten());
        let mut left: f64 = loads.map(|load| load.served).sum();
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

// Returns the mean ratio of actual to expected times; 1 without data.
fn mean_ratio(load: &RankLoad) -> f64 {
    let ratio = (load.ratios + NEUTRAL_COUNT) / (load.count + NEUTRAL_COUNT);
    ratio.clamp(1.0, MAX_RATIO)
}

// Returns the smallest share of the requested work that is placed of any of some ranks.
fn placed_share(ranks: &[RankLoad]) -> f64 {
    let refused = ranks.iter().filter(|load| load.is_refused());
    let shares = refused.map(|load| load.placed / load.requested);
    shares.fold(1.0, f64::min).max(MIN_PLACED)
}

fn done(ranks: &[RankLoad]) -> f64 {
    ranks.iter().map(|load| load.served).sum()
}

// Returns the share of the capacity that the ranks before `rank` take. The capacity is what was
// done, if that is more than the targets are known to do.
fn urgent_share(ranks: &RankLoads, rank: u8, capacity_ms: f64) -> f64 {
    let capacity = capacity_ms.max(done(ranks)).max(f64::MIN_POSITIVE);
    (done(&ranks[..rank_index(rank)]) / capacity).clamp(0.0, MAX_URGENT_SHARE)
}

// Returns the requested work of a rank divided by what it may take, so that each less urgent
// rank of which work is refused keeps a tenth: engines serve the most urgent rank first, so
// admitting the others does not get them served. If none is refused, there is capacity for all.
// A rank is not admitted a larger share than the more urgent ones, nor keeps it from them.
fn rank_excess(ranks: &RankLoads, rank: u8) -> f64 {
    let index = rank_index(rank);
    let urgent_placed = placed_share(&ranks[..index]);
    let own_placed = placed_share(&ranks[..=index]);
    let capacity = done(ranks);
    let tenth = capacity * (1.0 - MAX_URGENT_SHARE);
    let refused = ranks[index + 1..].iter().filter(|load| load.is_refused());
    let kept: f64 = refused
        .map(|load| (load.requested * own_placed).min(tenth))
        .sum();
    if kept <= 0.0 {
        return 1.0 / urgent_placed;
    }
    let own = (capacity - kept - done(&ranks[..index]))
        .max(tenth)
        .max(f64::MIN_POSITIVE);
    (ranks[index].requested / own).max(1.0 / urgent_placed)
}

// Returns the share of a rank's requested work that makes up a tenth of the capacity, if more
// urgent ranks leave little more than that. Otherwise its wait alone decides.
fn kept_share(ranks: &RankLoads, rank: u8, capacity_ms: f64) -> f64 {
    let tenth = done(ranks) * (1.0 - MAX_URGENT_SHARE);
    let requested = ranks[rank_index(rank)].requested;
    let (from, to) = KEPT_SHARE_RANGE;
    let needed = (urgent_share(ranks, rank, capacity_ms) - from) / (to - from);
    (tenth / requested.max(MIN_RATE)).min(1.0) * needed.clamp(0.0, 1.0)
}

fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}
