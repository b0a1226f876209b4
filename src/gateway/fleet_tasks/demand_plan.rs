//! Plans the number of servers of a service by measured demand, free of side effects.
//!
//! The plan has as many reclaimable servers as the peak demand of the last half minute needs,
//! and so many more that any one data centre may lose all of its own. On-demand servers beyond
//! the minimum serve only while too few reclaimable ones do.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::deciding::stage_plan::{DECODE_UTILISATION, PREFILL_UTILISATION, ServiceTime};
use crate::gateway::fleet_tasks::server_plan::{CentreTargets, next_step};
use crate::gateway::model::ScalingRule;
use crate::names::{CentreName, MonoTime};

/// Time for which the peak of the demand counts.
const PEAK_PERIOD: Duration = Duration::from_secs(30);
/// Time in which demand has to be observed before the number follows it.
const LEARNING_TIME: Duration = Duration::from_secs(10);
/// Time after the first demand whose measurements are left out: the caches are cold, and each
/// prompt is prefilled as a whole.
const WARM_UP_TIME: Duration = Duration::from_secs(6);
/// Time that the peak has to cover before servers are released, longer than the periods with
/// which load usually rises and falls.
const RELEASE_HISTORY: Duration = Duration::from_secs(18);
/// Time without any demand after which a fleet counts as idle rather than as just started.
const IDLE_TIME: Duration = Duration::from_secs(40);
/// Minimum time between two reductions.
const REDUCTION_INTERVAL: Duration = Duration::from_secs(10);
/// Changes below one in this many are not ordered, and reductions release at most one in this
/// many servers at a time.
const CHANGE_DIVISOR: u32 = 10;
/// Change of the number in a data centre that is always ordered, half of the largest step.
const LARGE_CHANGE: u32 = 50;
/// Fraction of the servers provided by the operator that is always kept.
const FLOOR_DIVISOR: u32 = 3;
/// Delay before servers are ordered again after the platform had none available. It doubles
/// with each further refusal, because each call has a price.
const FIRST_REFUSAL_DELAY: Duration = Duration::from_secs(3);
/// Longest such delay. Reclaimed data centres have servers again within tens of seconds.
const MAX_REFUSAL_DELAY: Duration = Duration::from_secs(24);
/// Time after the end of a delay from which on a further refusal counts as the first one.
const REFUSAL_MEMORY: Duration = Duration::from_secs(30);
/// Delay before an order that the platform refused as invalid is retried.
const INVALID_DELAY: Duration = Duration::from_secs(10);
/// Time after their expected start in which ordered servers register.
const REGISTRATION_SLACK: Duration = Duration::from_millis(1_500);
/// Time after their expected start at which missing servers are ordered again.
const OVERDUE_TIME: Duration = Duration::from_millis(4_000);

/// Returns the number of engines that work needs, if a share of them are prefill engines.
#[must_use]
pub fn needed_engines(time: &ServiceTime, prefill_share: f64) -> f64 {
    let share = prefill_share.clamp(0.05, 0.95);
    let prefill = time.prefill / PREFILL_UTILISATION / share;
    let decode = time.decode / DECODE_UTILISATION / (1.0 - share);
    prefill.max(decode)
}

/// Peak of the demand in the recent past, in servers.
#[derive(Clone, Debug, Default)]
pub struct DemandPeak {
    // Maximum of each second.
    maxima: VecDeque<(u64, f64)>,
    observed_since: Option<MonoTime>,
    busy_since: Option<MonoTime>,
}

impl DemandPeak {
    /// Records the number of servers that the present demand needs.
    pub fn observe(&mut self, servers: f64, now: MonoTime) {
        self.observed_since.get_or_insert(now);
        if servers > 0.0 {
            let since = *self.busy_since.get_or_insert(now);
            if now.since(since) < WARM_UP_TIME {
                return;
            }
        }
        let second = now.0 / 1_000;
        match self.maxima.back_mut() {
            Some((last, max)) if *last == second => *max = max.max(servers),
            _ => self.maxima.push_back((second, servers)),
        }
        let oldest = second.saturating_sub(PEAK_PERIOD.as_secs());
        while self.maxima.front().is_some_and(|(at, _)| *at < oldest) {
            self.maxima.pop_front();
        }
    }

    // Whether the peak covers enough time to release servers.
    fn allows_release(&self, now: MonoTime) -> bool {
        let first = self.maxima.front();
        let history = RELEASE_HISTORY.as_secs();
        first.is_some_and(|(at, _)| now.0 / 1_000 >= at + history)
    }

    /// Returns the number of servers that the peak needs; `None` until it is known.
    #[must_use]
    pub fn servers(&self, takes_over: bool, now: MonoTime) -> Option<u32> {
        let lasted = |since: Option<MonoTime>, time| since.is_some_and(|s| now.since(s) >= time);
        let is_idle = takes_over && lasted(self.observed_since, IDLE_TIME);
        if !is_idle && !lasted(self.busy_since, LEARNING_TIME) {
            return None;
        }
        let peak = self.maxima.iter().map(|(_, max)| *max).fold(0.0, f64::max);
        // Casts of numbers that are too large saturate.
        Some(peak.ceil() as u32)
    }
}

/// What is known of a service when its servers are planned.
#[derive(Clone, Copy, Debug)]
pub struct ServerSituation<'a> {
    /// Limits and prices.
    pub rule: &'a ScalingRule,
    /// Servers that the operator had provided.
    pub provided: u32,
    /// Whether that number is recorded in the store. On-demand servers are not ordered before,
    /// because a successor would record the changed number.
    pub recorded: bool,
    /// Whether another lease holder has ordered servers before.
    pub takes_over: bool,
    /// Present targets by data centre.
    pub centres: &'a [CentreTargets],
}

/// Servers of one kind in a data centre.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ServerKind {
    /// The data centre.
    pub centre: CentreName,
    /// Whether the platform may reclaim them.
    pub reclaimable: bool,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// The platform carries it out.
    Accepted,
    /// No servers of the kind are available.
    Unavailable,
    /// The platform refused the order as invalid.
    Invalid,
    /// It is unknown whether the order arrived.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct LastOrder {
    count: u32,
    at: MonoTime,
}

#[derive(Clone, Copy, Debug)]
struct RefusedOrder {
    delay: Duration,
    until: MonoTime,
}

/// Plans the number of servers of one service.
#[derive(Clone, Debug, Default)]
pub struct DemandPlanner {
    /// Peak of the demand. It is observed without the lease too, so that a successor knows it.
    pub peak: DemandPeak,
    // Planned reclaimable servers of all data centres.
    planned: Option<u32>,
    reduced_at: Option<MonoTime>,
    orders: IndexMap<ServerKind, LastOrder>,
    refused: IndexMap<ServerKind, RefusedOrder>,
}

// Desired counts of a data centre, in the order of the situation.
#[derive(Clone, Copy, Debug, Default)]
struct CentreGoal {
    reclaimable: u32,
    on_demand: u32,
}

impl DemandPlanner {
    /// Drops the state that is valid only while the lease is held.
    pub fn reset(&mut self) {
        let peak = std::mem::take(&mut self.peak);
        *self = Self {
            peak,
            ..Self::default()
        };
    }

    /// Returns the number of reclaimable servers planned in total.
    #[must_use]
    pub fn planned(&self) -> Option<u32> {
        self.planned
    }

    /// Returns the next due order, with the number of servers.
    pub fn next_order(
        &mut self,
        situation: &ServerSituation<'_>,
        now: MonoTime,
    ) -> Option<(ServerKind, u32)> {
        if !is_advantageous(situation) {
            return None;
        }
        let known = self.peak.servers(situation.takes_over, now);
        let goals = match known {
            None if situation.takes_over => self.retained_goals(situation),
            None => {
                let minimum = minimum_count(situation);
                self.planned = Some(situation.provided.saturating_sub(minimum));
                self.goals(situation, situation.provided, now)
            }
            Some(peak) => {
                let floor = situation.provided.div_ceil(FLOOR_DIVISOR);
                let needed = peak.max(floor).min(situation.provided);
                let planned = self.update_planned(situation, needed, now);
                // The planned number does not fall with each peak that passes, so that
                // on-demand servers are not released and ordered again either.
                let needed = needed.max(without_spare(situation, planned));
                self.goals(situation, needed.min(situation.provided), now)
            }
        };
        self.due_order(situation, &goals, now)
    }

    /// Records the result of an order.
    pub fn note_result(
        &mut self,
        (kind, count): (ServerKind, u32),
        result: OrderResult,
        now: MonoTime,
    ) {
        self.orders.swap_remove(&kind);
        let delay = match result {
            OrderResult::Accepted => {
                self.refused.swap_remove(&kind);
                self.orders.insert(kind, LastOrder { count, at: now });
                return;
            }
            OrderResult::Unknown => return,
            OrderResult::Invalid => INVALID_DELAY,
            OrderResult::Unavailable => {
                let recent = |refused: &&RefusedOrder| now.since(refused.until) < REFUSAL_MEMORY;
                let last = self.refused.get(&kind).filter(recent);
                let doubled = last.map(|refused| refused.delay * 2);
                doubled
                    .unwrap_or(FIRST_REFUSAL_DELAY)
                    .min(MAX_REFUSAL_DELAY)
            }
        };
        let until = now.plus(delay);
        self.refused.insert(kind, RefusedOrder { delay, until });
    }

    // Increases take effect at once, reductions in steps.
    fn update_planned(
        &mut self,
        situation: &ServerSituation<'_>,
        needed: u32,
        now: MonoTime,
    ) -> u32 {
        let goal = with_spare(situation, needed);
        let existing: u32 = situation.centres.iter().map(|c| c.reclaimable).sum();
        let planned = self.planned.unwrap_or_else(|| goal.max(existing));
        let is_recent = |at: MonoTime| now.since(at) < REDUCTION_INTERVAL;
        let next = if !differs(goal, planned) {
            planned
        } else if goal > planned {
            goal
        } else if self.reduced_at.is_some_and(is_recent) || !self.peak.allows_release(now) {
            planned
        } else {
            self.reduced_at = Some(now);
            goal.max(planned - planned.div_ceil(CHANGE_DIVISOR))
        };
        self.planned = Some(next);
        next
    }

    // Without knowledge of the demand, a successor keeps the reclaimable servers that exist,
    // and releases on-demand ones only where these suffice.
    fn retained_goals(&self, situation: &ServerSituation<'_>) -> Vec<CentreGoal> {
        let centres = situation.centres.iter();
        let existing: u32 = centres.map(|c| c.reclaimable + c.on_demand).sum();
        let mut goals: Vec<CentreGoal> = situation
            .centres
            .iter()
            .map(|centre| CentreGoal {
                reclaimable: centre.reclaimable,
                on_demand: situation.rule.min_per_centre,
            })
            .collect();
        let needed = existing.min(situation.provided);
        retain_on_demand(situation, (needed, true), &mut goals);
        goals
    }

    fn goals(
        &self,
        situation: &ServerSituation<'_>,
        needed: u32,
        now: MonoTime,
    ) -> Vec<CentreGoal> {
        let rule = situation.rule;
        let shares = spread(situation, self.planned.unwrap_or_default());
        let needed_reclaimable = needed.saturating_sub(minimum_count(situation));
        let expected: Vec<u32> = situation
            .centres
            .iter()
            .zip(&shares)
            .map(|(centre, share)| self.expected(situation, centre, *share, now))
            .collect();
        let mut goals: Vec<CentreGoal> = shares
            .iter()
            .map(|share| CentreGoal {
                reclaimable: *share,
                on_demand: rule.min_per_centre,
            })
            .collect();
        let missing = needed_reclaimable.saturating_sub(expected.iter().sum());
        let missing = self.substitute_reclaimable(situation, (missing, now), &mut goals);
        retain_surplus(situation, needed_reclaimable, &mut goals);
        let are_starting = self.are_starting(situation.rule, now);
        retain_on_demand(situation, (needed, are_starting), &mut goals);
        self.substitute_on_demand(situation, (needed, missing), &mut goals, now);
        goals
    }

    // Returns the reclaimable servers of a data centre that exist once the orders that are due
    // or in progress are carried out.
    fn expected(
        &self,
        situation: &ServerSituation<'_>,
        centre: &CentreTargets,
        share: u32,
        now: MonoTime,
    ) -> u32 {
        let kind = ServerKind {
            centre: centre.centre.clone(),
            reclaimable: true,
        };
        if self.is_refused(&kind) {
            return centre.reclaimable.min(share);
        }
        let limit = situation.rule.boot_time + REGISTRATION_SLACK;
        let last = self.orders.get(&kind);
        let is_starting = last.is_some_and(|last| now.since(last.at) < limit);
        let is_due = self.is_due(situation.rule, &kind, (centre.reclaimable, share), now);
        if is_starting || is_due.is_some() {
            return share;
        }
        centre.reclaimable.min(share)
    }

    // Whether any reclaimable servers ordered recently may still be starting.
    fn are_starting(&self, rule: &ScalingRule, now: MonoTime) -> bool {
        let limit = rule.boot_time + REGISTRATION_SLACK;
        let orders = self.orders.iter();
        let mut orders = orders.filter(|(kind, _)| kind.reclaimable);
        orders.any(|(_, last)| now.since(last.at) < limit)
    }

    // Whether the last order for the kind was refused, and none was accepted since.
    fn is_refused(&self, kind: &ServerKind) -> bool {
        self.refused.contains_key(kind)
    }

    // Whether servers may be ordered as substitutes. A refusal counts for its delay only: the
    // goal of a data centre that is left out gives no order that could clear the refusal.
    fn has_delay(&self, kind: &ServerKind, now: MonoTime) -> bool {
        let refused = self.refused.get(kind);
        refused.is_some_and(|refused| now < refused.until)
    }

    // Adds reclaimable servers in the data centres that have some available, evenly; returns
    // how many are still missing.
    fn substitute_reclaimable(
        &self,
        situation: &ServerSituation<'_>,
        (missing, now): (u32, MonoTime),
        goals: &mut [CentreGoal],
    ) -> u32 {
        if missing == 0 {
            return 0;
        }
        let available: Vec<usize> = by_price(situation)
            .into_iter()
            .filter(|index| {
                let centre = situation.centres[*index].centre.clone();
                let kind = ServerKind {
                    centre,
                    reclaimable: true,
                };
                !self.has_delay(&kind, now)
            })
            .collect();
        let mut missing = missing;
        for (place, index) in available.iter().enumerate() {
            let remaining = u32::try_from(available.len() - place).unwrap_or(u32::MAX);
            let max = max_reclaimable(situation, *index);
            let goal = &mut goals[*index].reclaimable;
            let extra = missing.div_ceil(remaining).min(max.saturating_sub(*goal));
            *goal += extra;
            missing -= extra;
        }
        missing
    }

    // Orders on-demand servers, the cheapest first, for what reclaimable ones cannot serve.
    fn substitute_on_demand(
        &self,
        situation: &ServerSituation<'_>,
        (needed, missing): (u32, u32),
        goals: &mut [CentreGoal],
        now: MonoTime,
    ) {
        let minimum = minimum_count(situation);
        let on_demand: u32 = goals.iter().map(|goal| goal.on_demand).sum();
        let mut missing = missing.saturating_sub(on_demand - minimum);
        if missing * CHANGE_DIVISOR < needed {
            return;
        }
        for index in by_price(situation) {
            let kind = ServerKind {
                centre: situation.centres[index].centre.clone(),
                reclaimable: false,
            };
            if self.has_delay(&kind, now) {
                continue;
            }
            let goal = &mut goals[index];
            let reclaimable = goal.reclaimable.max(situation.centres[index].reclaimable);
            let max = situation.rule.max_per_centre;
            let room = max.saturating_sub(goal.on_demand + reclaimable);
            let extra = room.min(missing);
            goal.on_demand += extra;
            missing -= extra;
        }
    }

    // Reclaimable servers first: on-demand ones are released once these serve.
    fn due_order(
        &self,
        situation: &ServerSituation<'_>,
        goals: &[CentreGoal],
        now: MonoTime,
    ) -> Option<(ServerKind, u32)> {
        let kinds: &[bool] = if situation.recorded {
            &[true, false]
        } else {
            &[true]
        };
        kinds.iter().find_map(|reclaimable| {
            by_price(situation).into_iter().find_map(|index| {
                let centre = &situation.centres[index];
                let kind = ServerKind {
                    centre: centre.centre.clone(),
                    reclaimable: *reclaimable,
                };
                let counts = if *reclaimable {
                    (centre.reclaimable, goals[index].reclaimable)
                } else {
                    (centre.on_demand, goals[index].on_demand)
                };
                let refused = self.refused.get(&kind);
                if refused.is_some_and(|refused| now < refused.until) {
                    return None;
                }
                let count = self.is_due(situation.rule, &kind, counts, now)?;
                Some((kind, count))
            })
        })
    }

    // Returns the number to order if an order is due.
    fn is_due(
        &self,
        rule: &ScalingRule,
        kind: &ServerKind,
        (count, goal): (u32, u32),
        now: MonoTime,
    ) -> Option<u32> {
        let last = self.orders.get(kind);
        let next = next_step(count, goal, last.map(|last| last.count));
        let due = match last {
            None => is_worth_an_order(count, goal),
            Some(last) if next != last.count && is_worth_an_order(last.count, goal) => true,
            Some(last) => {
                let overdue = now.since(last.at) > rule.boot_time + OVERDUE_TIME;
                next > count && is_worth_an_order(count, goal) && overdue
            }
        };
        due.then_some(next)
    }
}

// Whether a number differs enough from the goal for an order. Steps of a large change are less
// than a tenth of it.
fn is_worth_an_order(count: u32, goal: u32) -> bool {
    differs(count, goal) || count.abs_diff(goal) >= LARGE_CHANGE
}

// Whether two planned numbers differ enough.
fn differs(a: u32, b: u32) -> bool {
    a != b && a.abs_diff(b) * CHANGE_DIVISOR >= a.max(b)
}

fn is_advantageous(situation: &ServerSituation<'_>) -> bool {
    let price = situation.rule.reclaimable_price;
    let spare = with_spare(situation, situation.provided);
    let is_cheaper = |price: f64| f64::from(spare) * price < f64::from(situation.provided);
    situation.centres.len() > 1 && price.is_some_and(is_cheaper)
}

// On-demand servers that always exist.
fn minimum_count(situation: &ServerSituation<'_>) -> u32 {
    let centres = u32::try_from(situation.centres.len()).unwrap_or(u32::MAX);
    situation.rule.min_per_centre.saturating_mul(centres)
}

// Returns the reclaimable servers in total of which `needed`, less the on-demand minimum,
// remain if any one data centre loses all of its own.
fn with_spare(situation: &ServerSituation<'_>, needed: u32) -> u32 {
    let needed = needed.saturating_sub(minimum_count(situation));
    let centres = u32::try_from(situation.centres.len()).unwrap_or(u32::MAX);
    let others = centres.saturating_sub(1).max(1);
    needed + needed.div_ceil(others)
}

// Returns the servers that remain of `planned` reclaimable ones and the on-demand minimum if
// any one data centre loses all of its reclaimable ones.
fn without_spare(situation: &ServerSituation<'_>, planned: u32) -> u32 {
    let centres = u32::try_from(situation.centres.len()).unwrap_or(u32::MAX);
    planned - planned.div_ceil(centres.max(1)) + minimum_count(situation)
}

// Indices of the data centres, the cheapest first.
fn by_price(situation: &ServerSituation<'_>) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..situation.centres.len()).collect();
    let price = |index: &usize| situation.centres[*index].price;
    indices.sort_by(|a, b| price(a).total_cmp(&price(b)));
    indices
}

// Reclaimable servers that a data centre may have next to its on-demand ones.
fn max_reclaimable(situation: &ServerSituation<'_>, index: usize) -> u32 {
    let rule = situation.rule;
    let on_demand = situation.centres[index].on_demand.max(rule.min_per_centre);
    rule.max_per_centre.saturating_sub(on_demand)
}

// Spreads reclaimable servers evenly, so that the least is lost with one data centre; the
// cheapest get the remainder.
fn spread(situation: &ServerSituation<'_>, total: u32) -> Vec<u32> {
    let mut shares = vec![0; situation.centres.len()];
    let mut left = total;
    for (place, index) in by_price(situation).into_iter().enumerate() {
        let remaining = u32::try_from(shares.len() - place).unwrap_or(u32::MAX);
        let share = left.div_ceil(remaining);
        shares[index] = share.min(max_reclaimable(situation, index));
        left -= share;
    }
    shares
}

// Keeps substitutes until the servers that they stand in for serve.
fn retain_surplus(situation: &ServerSituation<'_>, needed: u32, goals: &mut [CentreGoal]) {
    let centres = situation.centres.iter().zip(goals.iter());
    let serving: u32 = centres.map(|(c, g)| c.reclaimable.min(g.reclaimable)).sum();
    let mut missing = needed.saturating_sub(serving);
    for index in by_price(situation) {
        let goal = &mut goals[index].reclaimable;
        let surplus = situation.centres[index].reclaimable.saturating_sub(*goal);
        let retained = surplus.min(missing);
        *goal += retained;
        missing -= retained;
    }
}

// Keeps on-demand servers, in the cheapest data centres first, until enough reclaimable ones
// serve. While reclaimable ones are starting, data centres keep all of theirs or none, so that
// each of them needs one order to release them.
fn retain_on_demand(
    situation: &ServerSituation<'_>,
    (needed, are_starting): (u32, bool),
    goals: &mut [CentreGoal],
) {
    let serving: u32 = situation.centres.iter().map(|c| c.reclaimable).sum();
    let mut missing = needed.saturating_sub(serving + minimum_count(situation));
    for index in by_price(situation) {
        if missing * CHANGE_DIVISOR < needed {
            return;
        }
        let goal = &mut goals[index].on_demand;
        let surplus = situation.centres[index].on_demand.saturating_sub(*goal);
        let retained = if are_starting {
            surplus
        } else {
            surplus.min(missing)
        };
        *goal += retained;
        missing = missing.saturating_sub(retained);
    }
}
