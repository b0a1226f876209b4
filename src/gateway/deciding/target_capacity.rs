//! Learned capacity of each target: its time for the same work relative to the median of the
//! targets of its service and stage.
//!
//! Each daemon compares the times of its own requests with the times that it expects of targets
//! of their kind, and reports the mean ratio of each target. Hubs combine the ratios and send the
//! capacities to their members. The fitted latency lines stay those of each daemon's own
//! requests: an earlier version, in which hubs refitted their lines to reported times, lowered
//! the served share from 0.76 to 0.68.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::gateway::deciding::line_fit::{LatencyFit, LinearLatency};
use crate::gateway::model::{EngineStage, TargetRecord};
use crate::names::{DaemonId, MonoTime, ServiceName};
use crate::target_incarnation::TargetIncarnation;

/// Bounds of a ratio and of a capacity, so that one queue or pause is not taken for speed.
const RATIO_RANGE: (f64, f64) = (0.4, 2.5);
/// Observations from which on a target takes part.
const MIN_OBSERVATIONS: f64 = 8.0;
/// Ratio between the slowest and the fastest target below which all are neutral.
const MIN_SPREAD: f64 = 1.25;
/// Observations that the mean of a target covers at most.
const MEAN_OBSERVATIONS: f64 = 64.0;
/// Observations that its fast mean covers, which shows changes.
const RECENT_OBSERVATIONS: f64 = 8.0;
/// Standard errors by which the fast mean deviates from the other after a change. Observations of
/// one queue are not independent, so the errors are underestimated.
const CHANGE_ERRORS: f64 = 5.0;
/// Observations of a target after a change, before another one counts.
const CHANGE_OBSERVATIONS: f64 = 16.0;
/// Squared standard errors within which a deviation from the median is taken for chance. With two
/// instead of three, equal targets got different capacities under load.
const CHANCE_ERRORS_SQUARED: f64 = 9.0;
/// Variance of the logarithm of a ratio before any is known, and its lower bound.
const INITIAL_VARIANCE: f64 = 0.1;
const MIN_VARIANCE: f64 = 0.002;
/// Weight of an observation in the moving variance.
const VARIANCE_WEIGHT: f64 = 0.02;
/// Lower bound of the deviation of most of a reporter's ratios, as a ratio, from which on it is
/// taken to be slow itself.
const REPORTER_RATIO: f64 = 1.25;
/// Weight of a ratio in a reporter's moving deviation, if it is above or below it. The second is
/// larger, so that the deviation is high only if the ratios of most targets are.
const REPORTER_WEIGHTS: (f64, f64) = (0.05, 0.15);
/// Time without reports after which what is known of a target loses weight, and the time in
/// which the weight halves after that; as for the slowdown in [`super::health`].
const FULL_WEIGHT_TIME: Duration = Duration::from_secs(30);
const HALF_LIFE: Duration = Duration::from_secs(60);
/// Time without reports after which a target or a reporter is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(300);
/// Time between two computations of the capacities.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two reports to other hubs: bytes between data centres have a price.
const RELAY_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an unchanged capacity is sent again, and for which a received one counts.
const RESEND_INTERVAL: Duration = Duration::from_secs(3);
const RECEIVED_TTL: Duration = Duration::from_secs(30);
/// Change of a capacity, in percent, that is sent at once.
const RESEND_PERCENT: u16 = 8;
/// Most capacities and most ratios in a message: 32 entries take about a kilobyte.
const MAX_CAPACITIES: usize = 32;
const MAX_RATIOS: usize = 128;
/// Most observations that one entry of a report counts for.
const MAX_COUNT: u16 = 64;
/// Share of an expected time that observations account for, from which on a ratio is used.
const MIN_OBSERVED_SHARE: f64 = 0.8;
/// Weight of a time in the moving mean of the times of a plain service.
const PLAIN_WEIGHT: f64 = 0.05;
/// Size of a running request in the line of decode times, which is fitted for sizes of some
/// thousands: 64 requests are 8,000.
const RUNNING_SIZE: f64 = 125.0;
/// Time per token before any is known.
const DECODE_PRIOR: LinearLatency = LinearLatency {
    fixed_ms: 10.0,
    token_ms: 0.0025,
};

/// Mean ratio of actual to expected times of a target's requests.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct TimeRatio {
    /// The target.
    pub target: TargetIncarnation,
    /// The geometric mean, in percent.
    pub percent: u16,
    /// Number of requests.
    pub count: u16,
}

/// Capacity of a target, as a hub tells its members.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct KnownCapacity {
    /// The target.
    pub target: TargetIncarnation,
    /// Its time relative to the median, in percent.
    pub percent: u16,
}

/// What a hub reports of the times of targets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CapacityReport {
    /// Ratios that it and its members have observed, for other hubs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ratios: Vec<TimeRatio>,
    /// Capacities, for its members.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub capacities: Vec<KnownCapacity>,
}

impl CapacityReport {
    /// Returns whether it contains nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ratios.is_empty() && self.capacities.is_empty()
    }
}

// Sum of the logarithms of ratios.
#[derive(Clone, Copy, Debug, Default)]
struct RatioSum {
    sum: f64,
    count: f64,
}

impl RatioSum {
    fn add(&mut self, log_ratio: f64, count: f64) {
        self.sum += log_ratio * count;
        self.count += count;
    }

    fn report(&self, target: &TargetIncarnation) -> TimeRatio {
        TimeRatio {
            target: target.clone(),
            percent: to_percent((self.sum / self.count).exp()),
            count: self.count.min(f64::from(MAX_COUNT)) as u16,
        }
    }
}

// Moving means of the logarithms of a target's ratios.
#[derive(Clone, Copy, Debug)]
struct TargetEstimate {
    mean: f64,
    recent: f64,
    // Observations in `mean`, at most MEAN_OBSERVATIONS.
    count: f64,
    last: MonoTime,
}

impl TargetEstimate {
    fn note(&mut self, log_ratio: f64, count: f64, variance: f64) {
        let recent_weight = 1.0 - (1.0 - 1.0 / RECENT_OBSERVATIONS).powf(count);
        let weight = count / (self.count + count);
        self.recent += recent_weight.max(weight) * (log_ratio - self.recent);
        self.mean += weight * (log_ratio - self.mean);
        self.count = (self.count + count).min(MEAN_OBSERVATIONS);
        // Variance of a moving mean over n observations: that of one by 2n - 1.
        let recent_error = (variance / (2.0 * RECENT_OBSERVATIONS - 1.0)).sqrt();
        let deviation = (self.recent - self.mean).abs();
        if self.count >= CHANGE_OBSERVATIONS && deviation > CHANGE_ERRORS * recent_error {
            self.mean = self.recent;
            self.count = RECENT_OBSERVATIONS;
        }
    }
}

// Targets of a service and stage.
#[derive(Clone, Debug)]
struct TargetGroup {
    targets: IndexMap<TargetIncarnation, TargetEstimate>,
    // Variance of the logarithm of one ratio around the mean of its target.
    variance: f64,
}

impl Default for TargetGroup {
    fn default() -> Self {
        Self {
            targets: IndexMap::new(),
            variance: INITIAL_VARIANCE,
        }
    }
}

impl TargetGroup {
    fn note(&mut self, target: &TargetIncarnation, (log_ratio, count): (f64, f64), now: MonoTime) {
        let estimate = self
            .targets
            .entry(target.clone())
            .or_insert(TargetEstimate {
                mean: log_ratio,
                recent: log_ratio,
                count: 0.0,
                last: now,
            });
        if estimate.count >= MIN_OBSERVATIONS {
            let deviation = log_ratio - estimate.recent;
            let weight = 1.0 - (1.0 - VARIANCE_WEIGHT).powf(count);
            self.variance += weight * (deviation * deviation * count - self.variance);
            self.variance = self.variance.max(MIN_VARIANCE);
        }
        estimate.note(log_ratio, count, self.variance);
        estimate.last = now;
    }

    // Returns the capacities, or nothing if the targets do not differ significantly.
    fn capacities(&self, now: MonoTime) -> Vec<(TargetIncarnation, f64)> {
        let known = |e: &TargetEstimate| e.count >= MIN_OBSERVATIONS;
        let known: Vec<_> = self.targets.iter().filter(|(_, e)| known(e)).collect();
        let mut means: Vec<f64> = known.iter().map(|(_, e)| e.mean).collect();
        means.sort_by(f64::total_cmp);
        let Some(median) = median(&means) else {
            return Vec::new();
        };
        let deviations = known.iter().map(|(target, estimate)| {
            let deviation = estimate.mean - median;
            let squared_errors = deviation * deviation * estimate.count / self.variance;
            // Shrinkage from nothing at the limit to little at twice as much: without it, the
            // slowest of 60 equal targets would seem slow by chance.
            let chance_share = CHANCE_ERRORS_SQUARED / squared_errors.max(1e-9);
            let shrinkage = (1.0 - chance_share * chance_share).max(0.0);
            let age = now.since(estimate.last).saturating_sub(FULL_WEIGHT_TIME);
            let weight = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
            ((*target).clone(), deviation * shrinkage * weight)
        });
        let deviations: Vec<_> = deviations.collect();
        let slowest = deviations.iter().map(|(_, d)| *d).fold(0.0, f64::max);
        let fastest = deviations.iter().map(|(_, d)| *d).fold(0.0, f64::min);
        if (slowest - fastest) < MIN_SPREAD.ln() {
            return Vec::new();
        }
        let capacities = deviations
            .into_iter()
            .map(|(target, deviation)| (target, clamped(deviation.exp())));
        capacities.collect()
    }
}

// How far a reporter's ratios deviate from those of the others.
#[derive(Clone, Copy, Debug, Default)]
struct ReporterBias {
    deviation: f64,
    count: f64,
    last: MonoTime,
}

impl ReporterBias {
    fn note(&mut self, deviation: f64, count: f64, now: MonoTime) {
        let (up, down) = REPORTER_WEIGHTS;
        let weight = if deviation > self.deviation { up } else { down };
        let weight = 1.0 - (1.0 - weight).powf(count);
        self.deviation += weight * (deviation - self.deviation);
        self.count += count;
        self.last = now;
    }

    fn is_slow(&self) -> bool {
        self.count >= MIN_OBSERVATIONS && self.deviation > REPORTER_RATIO.ln()
    }
}

/// Learned capacities of all targets.
#[derive(Clone, Debug, Default)]
pub struct TargetCapacities {
    enabled: bool,
    groups: IndexMap<(ServiceName, Option<EngineStage>), TargetGroup>,
    // Deviations by reporter; `None` is this daemon.
    reporters: IndexMap<Option<DaemonId>, ReporterBias>,
    // Own ratios since the last hint.
    unreported: IndexMap<TargetIncarnation, RatioSum>,
    // Own and members' ratios since the last report to other hubs.
    unrelayed: IndexMap<TargetIncarnation, RatioSum>,
    last_relay: Option<MonoTime>,
    // Capacities that differ from 1, as of the last computation.
    current: IndexMap<TargetIncarnation, f64>,
    last_refresh: Option<MonoTime>,
    sent: IndexMap<TargetIncarnation, (u16, MonoTime)>,
    received: IndexMap<TargetIncarnation, (f64, MonoTime)>,
    decode_lines: IndexMap<ServiceName, LatencyFit>,
    plain_ms: IndexMap<ServiceName, f64>,
}

impl TargetCapacities {
    /// Turns learning on or off; without it, all targets are neutral.
    pub fn set_enabled(&mut self, enabled: bool) {
        if self.enabled != enabled {
            *self = Self {
                enabled,
                ..Self::default()
            };
        }
    }

    /// Returns a target's time for the same work relative to the median of its service; `None`
    /// if it does not differ significantly.
    #[must_use]
    pub fn capacity(&self, target: &TargetIncarnation, now: MonoTime) -> Option<f64> {
        let received = self.received.get(target);
        let received = received.filter(|(_, at)| now.since(*at) < RECEIVED_TTL);
        match received {
            Some((capacity, _)) => Some(*capacity),
            None => self.current.get(target).copied(),
        }
    }

    /// Records a time of this daemon's own requests. `observed_share` is the share of the
    /// expected time that observations account for.
    pub fn note_time(
        &mut self,
        target: &TargetRecord,
        (taken_ms, expected_ms): (f64, f64),
        observed_share: f64,
        now: MonoTime,
    ) {
        if !self.enabled || observed_share < MIN_OBSERVED_SHARE {
            return;
        }
        let log_ratio = clamped(taken_ms / expected_ms.max(1.0)).ln();
        let unreported = self.unreported.entry(target.id.clone()).or_default();
        unreported.add(log_ratio, 1.0);
        self.note_own(target, (log_ratio, 1.0), now);
    }

    /// Records that an engine with `running` requests generated `tokens` in `taken_ms`.
    pub fn note_decode(
        &mut self,
        engine: &TargetRecord,
        (running, tokens): (u32, u64),
        taken_ms: f64,
        now: MonoTime,
    ) {
        if !self.enabled || tokens == 0 {
            return;
        }
        let tokens = tokens as f64;
        let line = self.decode_lines.entry(engine.service.clone());
        let line = line.or_insert_with(|| LatencyFit::new(DECODE_PRIOR));
        let size = f64::from(running) * RUNNING_SIZE;
        let expected_ms = line.latency().at(size) * tokens;
        let observed_share = line.observed_share();
        line.note(size, taken_ms / tokens);
        self.note_time(engine, (taken_ms, expected_ms), observed_share, now);
    }

    /// Records the time of a request to a target of a service without model engines, at which
    /// `running` requests ran, this one included.
    ///
    /// Requests above the slots wait for those before them. The time is not fitted to the number
    /// of requests otherwise: a slow target has more of them, and would seem to be as fast as
    /// the others.
    pub fn note_plain(
        &mut self,
        target: &TargetRecord,
        running: u32,
        taken_ms: f64,
        now: MonoTime,
    ) {
        if !self.enabled {
            return;
        }
        let rounds = f64::from(running) / f64::from(target.slots.max(1));
        let alone_ms = taken_ms / rounds.max(1.0);
        let is_first = !self.plain_ms.contains_key(&target.service);
        let mean_ms = self.plain_ms.entry(target.service.clone());
        let mean_ms = mean_ms.or_insert(alone_ms);
        let expected_ms = *mean_ms;
        *mean_ms += PLAIN_WEIGHT * (alone_ms - expected_ms);
        let observed_share = if is_first { 0.0 } else { 1.0 };
        self.note_time(target, (alone_ms, expected_ms), observed_share, now);
    }

    /// Returns the ratios of this daemon's own requests since the last call.
    pub fn take_ratios(&mut self) -> Vec<TimeRatio> {
        take_sums(&mut self.unreported)
    }

    /// Records ratios that a peer reports, of its own requests (`is_member`) or of its data
    /// centre. `find` returns the records of targets.
    pub fn note_reported<'a>(
        &mut self,
        (reporter, is_member): (&DaemonId, bool),
        ratios: &[TimeRatio],
        find: impl Fn(&TargetIncarnation) -> Option<&'a TargetRecord>,
        now: MonoTime,
    ) {
        if !self.enabled {
            return;
        }
        let ratios = ratios.iter().take(MAX_RATIOS);
        let observed: Vec<(&TargetRecord, (f64, f64))> = ratios
            .filter_map(|ratio| {
                let log_ratio = clamped(f64::from(ratio.percent) / 100.0).ln();
                let count = f64::from(ratio.count.clamp(1, MAX_COUNT));
                Some((find(&ratio.target)?, (log_ratio, count)))
            })
            .collect();
        // Members are judged by their own hub, so another hub's sums are not judged again.
        if is_member && self.is_slow_reporter(reporter, &observed, now) {
            return;
        }
        for (target, sums) in observed {
            self.add(target, sums, now);
            if is_member {
                let unrelayed = self.unrelayed.entry(target.id.clone()).or_default();
                unrelayed.add(sums.0, sums.1);
            }
        }
    }

    // Whether a reporter's ratios are high for all targets. A single target that turned slow must
    // not make its reporters look slow, so the median over the targets of a report counts.
    fn is_slow_reporter(
        &mut self,
        reporter: &DaemonId,
        observed: &[(&TargetRecord, (f64, f64))],
        now: MonoTime,
    ) -> bool {
        let deviations = observed.iter().map(|(target, (log_ratio, _))| {
            let group = (target.service.clone(), target.stage);
            let known = self
                .groups
                .get(&group)
                .and_then(|g| g.targets.get(&target.id));
            log_ratio - known.map_or(0.0, |estimate| estimate.recent)
        });
        let mut deviations: Vec<f64> = deviations.collect();
        deviations.sort_by(f64::total_cmp);
        let count: f64 = observed.iter().map(|(_, (_, count))| count).sum();
        let bias = self.reporters.entry(Some(reporter.clone())).or_default();
        if let [_, _, ..] = deviations.as_slice() {
            bias.note(deviations[deviations.len() / 2], count, now);
        }
        bias.is_slow()
    }

    /// Returns the report of a hub: capacities for its members if it is for the whole fleet, or
    /// ratios for other hubs.
    pub fn take_report(&mut self, whole_fleet: bool, now: MonoTime) -> CapacityReport {
        if !self.enabled {
            return CapacityReport::default();
        }
        if whole_fleet {
            return CapacityReport {
                capacities: self.due_capacities(now),
                ..CapacityReport::default()
            };
        }
        if self
            .last_relay
            .is_some_and(|at| now.since(at) < RELAY_INTERVAL)
        {
            return CapacityReport::default();
        }
        self.last_relay = Some(now);
        CapacityReport {
            ratios: take_sums(&mut self.unrelayed),
            ..CapacityReport::default()
        }
    }

    /// Applies the capacities that the hub of this daemon sends.
    pub fn apply_capacities(&mut self, capacities: &[KnownCapacity], now: MonoTime) {
        if !self.enabled {
            return;
        }
        for known in capacities {
            let capacity = clamped(f64::from(known.percent) / 100.0);
            self.received.insert(known.target.clone(), (capacity, now));
        }
    }

    /// Removes targets for which `keep` is false, and what is too old.
    pub fn sweep(&mut self, keep: impl Fn(&TargetIncarnation) -> bool, now: MonoTime) {
        let is_recent = |at: MonoTime| now.since(at) < FORGET_TIME;
        for group in self.groups.values_mut() {
            let targets = &mut group.targets;
            targets.retain(|target, estimate| keep(target) && is_recent(estimate.last));
        }
        self.groups.retain(|_, group| !group.targets.is_empty());
        self.reporters
            .retain(|_, reporter| is_recent(reporter.last));
        self.received
            .retain(|target, (_, at)| keep(target) && now.since(*at) < RECEIVED_TTL);
        self.sent.retain(|target, _| keep(target));
        self.unreported.retain(|target, _| keep(target));
        self.unrelayed.retain(|target, _| keep(target));
        self.refresh(now);
    }

    // Adds a ratio of this daemon's own requests, unless the daemon is slow itself.
    fn note_own(&mut self, target: &TargetRecord, observed: (f64, f64), now: MonoTime) {
        let group = (target.service.clone(), target.stage);
        let group = self.groups.get(&group);
        let known = group.and_then(|group| group.targets.get(&target.id));
        let known = known.map_or(0.0, |estimate| estimate.recent);
        let bias = self.reporters.entry(None).or_default();
        bias.note(observed.0 - known, observed.1, now);
        if bias.is_slow() {
            return;
        }
        self.add(target, observed, now);
        let unrelayed = self.unrelayed.entry(target.id.clone()).or_default();
        unrelayed.add(observed.0, observed.1);
    }

    fn add(&mut self, target: &TargetRecord, observed: (f64, f64), now: MonoTime) {
        let group = (target.service.clone(), target.stage);
        let group = self.groups.entry(group).or_default();
        group.note(&target.id, observed, now);
        let is_due = |at: MonoTime| now.since(at) >= REFRESH_INTERVAL;
        if self.last_refresh.is_none_or(is_due) {
            self.refresh(now);
        }
    }

    fn refresh(&mut self, now: MonoTime) {
        self.last_refresh = Some(now);
        let groups = self.groups.values();
        self.current = groups.flat_map(|group| group.capacities(now)).collect();
    }

    // Changed capacities first, then those sent longest ago.
    fn due_capacities(&mut self, now: MonoTime) -> Vec<KnownCapacity> {
        let mut due = Vec::new();
        let neutral = self.sent.keys().filter(|t| !self.current.contains_key(*t));
        let neutral = neutral.map(|target| (target, 100));
        let current = self.current.iter().map(|(t, c)| (t, to_percent(*c)));
        for (target, percent) in current.chain(neutral) {
            let sent = self.sent.get(target);
            let age = sent.map(|(_, at)| now.since(*at));
            let has_changed = match sent {
                Some((sent, _)) => sent.abs_diff(percent) >= RESEND_PERCENT,
                None => true,
            };
            if has_changed || age.is_some_and(|age| age >= RESEND_INTERVAL) {
                due.push((
                    !has_changed,
                    std::cmp::Reverse(age),
                    target.clone(),
                    percent,
                ));
            }
        }
        due.sort_by_key(|due| (due.0, due.1));
        due.truncate(MAX_CAPACITIES);
        let due = due.into_iter().map(|(_, _, target, percent)| {
            if self.current.contains_key(&target) {
                self.sent.insert(target.clone(), (percent, now));
            } else {
                // A neutral one is sent once; a member that missed it drops its own by age.
                self.sent.swap_remove(&target);
            }
            KnownCapacity { target, percent }
        });
        due.collect()
    }
}

fn take_sums(sums: &mut IndexMap<TargetIncarnation, RatioSum>) -> Vec<TimeRatio> {
    let ratios = sums.iter().take(MAX_RATIOS);
    let ratios = ratios.map(|(target, sum)| sum.report(target)).collect();
    sums.clear();
    ratios
}

fn clamped(ratio: f64) -> f64 {
    ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1)
}

fn to_percent(ratio: f64) -> u16 {
    (ratio * 100.0).round() as u16
}

fn median(sorted: &[f64]) -> Option<f64> {
    let middle = sorted.len() / 2;
    let upper = sorted.get(middle)?;
    if sorted.len() % 2 == 1 {
        return Some(*upper);
    }
    Some(f64::midpoint(sorted[middle - 1], *upper))
}
