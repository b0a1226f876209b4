//! Plans the role of each engine, and which engines have a model loaded.
//!
//! A role change is worthwhile if it gains more within the horizon than the engine's time
//! out of service costs. Several rules keep the plan stable near that threshold: the gain
//! must exist for the recent, the steady and the expected mix, and for a steady mix that
//! is off by its error in either direction; it must exceed a minimum share of the work
//! served; and an engine that changed is not changed again within the horizon.

use std::time::Duration;

use indexmap::IndexMap;

use crate::authority::order_record::PlannedChange;
use crate::decide::cost::SpeedSettings;
use crate::names::{ModelName, MonoTime, TargetId};
use crate::roles::capacity::{RoleCounts, capacity, demand, served_share};
use crate::roles::mix::{MixForecast, MixRates, WorkBins, shift_prefill_share};
use crate::settings::{PolicySettings, RolePolicy};
use crate::targets::wire::EngineRole;

const ROLES: [EngineRole; 3] = [EngineRole::Prefill, EngineRole::Mixed, EngineRole::Decode];
/// Minimum gain of a role change, as a share of the work served within the horizon.
const MIN_GAIN_SHARE: f64 = 0.03;
/// Minimum relative gain in capacity under [`RolePolicy::FollowMix`].
const FOLLOW_MIX_MIN_GAIN: f64 = 0.001;
/// Standard errors by which the steady mix may be off.
const ERROR_MARGIN: f64 = 3.0;
/// Minimum time between two reports that the roles of a pool are kept.
const KEEP_REPORT_INTERVAL: Duration = Duration::from_secs(30);

/// An engine as the planner sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlanEngine {
    /// Identifier of the engine.
    pub id: TargetId,
    /// Current role.
    pub role: EngineRole,
    /// Models loaded.
    pub models: Vec<String>,
    /// Whether it accepts new work.
    pub usable: bool,
    /// Requests running and queued on it.
    pub in_flight: u32,
}

/// A decision of the planner with its reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanDecision {
    /// Change an engine's role or models.
    Change {
        /// Engine to change.
        target: TargetId,
        /// Planned role and models.
        change: PlannedChange,
    },
    /// Keep the roles although a change would gain a little.
    Keep {
        /// Models of the pool concerned.
        models: String,
        /// Reason for the decision.
        reason: String,
    },
}

/// Number of engines that a model needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelNeed {
    /// Model.
    pub model: ModelName,
    /// Minimum number of engines that have it loaded.
    pub min_engines: usize,
}

/// Plans engine roles for the whole fleet.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    policy: PolicySettings,
    changed_at: IndexMap<TargetId, MonoTime>,
    keep_reported_at: IndexMap<String, MonoTime>,
}

#[derive(Clone, Debug)]
struct RoleChangeOption {
    from: EngineRole,
    to: EngineRole,
    gain: f64,
    cost: f64,
}

struct EnginePool<'a> {
    models: &'a [String],
    engines: Vec<&'a PlanEngine>,
    counts: RoleCounts,
    rates: MixRates,
}

impl RolePlanner {
    /// Creates a planner.
    #[must_use]
    pub fn new(policy: PolicySettings) -> Self {
        Self {
            policy,
            changed_at: IndexMap::new(),
            keep_reported_at: IndexMap::new(),
        }
    }

    /// Decides what to change now, while `changing` engines are already being changed.
    pub fn plan(
        &mut self,
        engines: &[PlanEngine],
        needs: &[ModelNeed],
        mix: &MixForecast,
        changing: usize,
        now: MonoTime,
    ) -> Vec<PlanDecision> {
        self.retain_known(engines);
        let max_new_changes = self.policy.role_changes_at_once.saturating_sub(changing);
        if max_new_changes == 0 {
            return Vec::new();
        }
        if let Some(decision) = self.plan_model_load(engines, needs, now) {
            return vec![decision];
        }
        if self.policy.roles == RolePolicy::Fixed || !mix.is_settled() {
            return Vec::new();
        }
        let mut decisions = Vec::new();
        for pool in pools(engines, mix) {
            if decisions.len() < max_new_changes {
                decisions.extend(self.plan_pool(&pool, now));
            }
        }
        decisions
    }

    fn retain_known(&mut self, engines: &[PlanEngine]) {
        self.changed_at
            .retain(|id, _| engines.iter().any(|engine| engine.id == *id));
        self.keep_reported_at.retain(|models, _| {
            let mut known = engines.iter().map(|engine| engine.models.join(","));
            known.any(|m| m == *models)
        });
    }

    fn plan_pool(&mut self, pool: &EnginePool<'_>, now: MonoTime) -> Option<PlanDecision> {
        let best = self.best_role_change(pool)?;
        let horizon = Duration::from_millis(self.policy.role_horizon_ms);
        let min_gain = match self.policy.roles {
            RolePolicy::FollowMix => 0.0,
            _ => MIN_GAIN_SHARE * self.served(pool) * horizon.as_secs_f64(),
        };
        let required_gain = best.cost.max(min_gain);
        if best.gain <= required_gain {
            return self.report_keep(pool, &best, required_gain, now);
        }
        let target = self.select_engine(pool, best.from, now)?;
        self.changed_at.insert(target.clone(), now);
        let reason = format!(
            "{:?} -> {:?}: gains {:.1} engine-seconds, {:.1} required, within {:.0} s",
            best.from,
            best.to,
            best.gain,
            required_gain,
            horizon.as_secs_f64()
        );
        let change = PlannedChange {
            role: best.to,
            models: pool.models.to_vec(),
            reason,
        };
        Some(PlanDecision::Change { target, change })
    }

    fn report_keep(
        &mut self,
        pool: &EnginePool<'_>,
        best: &RoleChangeOption,
        required_gain: f64,
        now: MonoTime,
    ) -> Option<PlanDecision> {
        let models = pool.models.join(",");
        let reported = self.keep_reported_at.get(&models);
        let is_recent = reported.is_some_and(|at| now.since(*at) < KEEP_REPORT_INTERVAL);
        if best.gain <= 0.0 || is_recent {
            return None;
        }
        self.keep_reported_at.insert(models.clone(), now);
        let reason = format!(
            "roles kept: {:?} -> {:?} would gain only {:.1} of the {required_gain:.1} \
             engine-seconds required",
            best.from, best.to, best.gain
        );
        Some(PlanDecision::Keep { models, reason })
    }

    fn best_role_change(&self, pool: &EnginePool<'_>) -> Option<RoleChangeOption> {
        let mut best: Option<RoleChangeOption> = None;
        for from in ROLES {
            for to in ROLES {
                let during = pool.counts.moved(from, None);
                if from == to || pool.counts.of(from) == 0 || !during.can_serve_both() {
                    continue;
                }
                let after = pool.counts.moved(from, Some(to));
                let option = self.evaluate_move(pool, from, to, during, after);
                let net = option.gain - option.cost;
                if best.as_ref().is_none_or(|b| net > b.gain - b.cost) {
                    best = Some(option);
                }
            }
        }
        best
    }

    fn evaluate_move(
        &self,
        pool: &EnginePool<'_>,
        from: EngineRole,
        to: EngineRole,
        during: RoleCounts,
        after: RoleCounts,
    ) -> RoleChangeOption {
        let rates = &pool.rates;
        let follows_mix = self.policy.roles == RolePolicy::FollowMix;
        let margin = ERROR_MARGIN * rates.error;
        let (more_prefill, less_prefill) = (
            shift_prefill_share(&rates.steady, margin),
            shift_prefill_share(&rates.steady, -margin),
        );
        let mixes: &[&WorkBins] = if follows_mix {
            &[&rates.recent]
        } else {
            &[
                &rates.recent,
                &rates.steady,
                &rates.expected,
                &more_prefill,
                &less_prefill,
            ]
        };
        let gains = mixes.iter().map(|mix| self.gain(pool.counts, after, mix));
        let gain = gains.fold(f64::INFINITY, f64::min);
        let cost = if follows_mix {
            0.0
        } else {
            self.cost(pool.counts, during, &rates.recent)
        };
        RoleChangeOption {
            from,
            to,
            gain,
            cost,
        }
    }

    // Engine-seconds of work served in time that a role change adds within the horizon; under
    // `FollowMix`, the added capacity as a multiple of the mix.
    fn gain(&self, before: RoleCounts, after: RoleCounts, mix: &WorkBins) -> f64 {
        let speeds = &self.policy.speeds;
        let (old, new) = (capacity(before, mix, speeds), capacity(after, mix, speeds));
        if self.policy.roles == RolePolicy::FollowMix {
            return if new > old * (1.0 + FOLLOW_MIX_MIN_GAIN) {
                new - old
            } else {
                0.0
            };
        }
        let useful_ms = self
            .policy
            .role_horizon_ms
            .saturating_sub(self.policy.role_change_ms);
        let seconds = useful_ms as f64 / 1_000.0;
        (served_share(new) - served_share(old)) * demand(mix) * seconds
    }

    // The minimum gain is relative to the work served, not to the work offered: in heavy
    // overload even a large gain is a small part of the offered work.
    fn served(&self, pool: &EnginePool<'_>) -> f64 {
        let mix = &pool.rates.recent;
        demand(mix) * served_share(capacity(pool.counts, mix, &self.policy.speeds))
    }

    // Work not served while the engine changes, plus the price of its idle seconds.
    fn cost(&self, before: RoleCounts, during: RoleCounts, mix: &WorkBins) -> f64 {
        let speeds: &SpeedSettings = &self.policy.speeds;
        let seconds = self.policy.role_change_ms as f64 / 1_000.0;
        let lost = served_share(capacity(before, mix, speeds))
            - served_share(capacity(during, mix, speeds));
        let price = (self.policy.role_change_price - 1.0).max(0.0);
        lost * demand(mix) * seconds + price * seconds
    }

    fn select_engine(
        &self,
        pool: &EnginePool<'_>,
        from: EngineRole,
        now: MonoTime,
    ) -> Option<TargetId> {
        let candidates = pool
            .engines
            .iter()
            .filter(|engine| engine.role == from && engine.usable && self.may_change(engine, now));
        let least_loaded = candidates.min_by_key(|engine| (engine.in_flight, engine.id.clone()))?;
        Some(least_loaded.id.clone())
    }

    fn may_change(&self, engine: &PlanEngine, now: MonoTime) -> bool {
        let min_interval = match self.policy.roles {
            RolePolicy::FollowMix => Duration::from_millis(self.policy.role_change_ms),
            _ => Duration::from_millis(self.policy.role_horizon_ms),
        };
        let changed_at = self.changed_at.get(&engine.id);
        changed_at.is_none_or(|at| now.since(*at) >= min_interval)
    }

    // Loads a model that too few engines have on the least loaded engine that can unload
    // one of its own models; failing that, on the engine with the fewest models.
    fn plan_model_load(
        &mut self,
        engines: &[PlanEngine],
        needs: &[ModelNeed],
        now: MonoTime,
    ) -> Option<PlanDecision> {
        let holders = |model: &ModelName| {
            let holding = engines.iter().filter(|engine| has_model(engine, model));
            holding.count()
        };
        let lacking = needs
            .iter()
            .find(|need| holders(&need.model) < need.min_engines)?;
        let can_unload = |label: &String| {
            let need = needs.iter().find(|need| names_model(label, &need.model));
            need.is_none_or(|n| holders(&n.model) > n.min_engines.max(1))
        };
        let candidates = engines.iter().filter(|engine| {
            engine.usable && !has_model(engine, &lacking.model) && self.may_change(engine, now)
        });
        let engine = candidates.min_by_key(|engine| {
            let can_unload_one = engine.models.iter().any(can_unload);
            (
                !can_unload_one,
                engine.models.len(),
                engine.in_flight,
                engine.id.clone(),
            )
        })?;
        let mut models = engine.models.clone();
        if let Some(position) = models.iter().position(can_unload) {
            models.remove(position);
        }
        models.push(lacking.model.to_string());
        self.changed_at.insert(engine.id.clone(), now);
        let reason = format!(
            "{} is loaded on {} engines, at least {} required",
            lacking.model,
            holders(&lacking.model),
            lacking.min_engines
        );
        let change = PlannedChange {
            role: engine.role,
            models,
            reason,
        };
        let target = engine.id.clone();
        Some(PlanDecision::Change { target, change })
    }
}

// Engines with the same models form a pool; a model's work is divided among its pools in
// proportion to their numbers of engines.
fn pools<'a>(engines: &'a [PlanEngine], mix: &MixForecast) -> Vec<EnginePool<'a>> {
    let mut pools: IndexMap<&[String], EnginePool<'a>> = IndexMap::new();
    for engine in engines.iter().filter(|engine| engine.usable) {
        let pool = pools.entry(&engine.models).or_insert_with(|| EnginePool {
            models: &engine.models,
            engines: Vec::new(),
            counts: RoleCounts::default(),
            rates: MixRates::default(),
        });
        pool.engines.push(engine);
        pool.counts.add(engine.role);
    }
    for model in mix.models() {
        let holders = engines.iter().filter(|e| e.usable && has_model(e, model));
        let holders = holders.count().max(1) as f64;
        let rates = mix.rates(model);
        for pool in pools.values_mut() {
            if pool.models.iter().any(|label| names_model(label, model)) {
                let share = pool.engines.len() as f64 / holders;
                add_rates(&mut pool.rates, &rates, share);
            }
        }
    }
    pools.into_values().collect()
}

fn add_rates(sum: &mut MixRates, rates: &MixRates, share: f64) {
    sum.error = sum.error.max(rates.error);
    let parts = [
        (&mut sum.recent, &rates.recent),
        (&mut sum.steady, &rates.steady),
        (&mut sum.expected, &rates.expected),
    ];
    for (into, from) in parts {
        for (into, from) in into.iter_mut().zip(from) {
            into.prefill += from.prefill * share;
            into.decode += from.decode * share;
        }
    }
}

fn has_model(engine: &PlanEngine, model: &ModelName) -> bool {
    engine.models.iter().any(|label| names_model(label, model))
}

// Labels have the form `MODEL`, `MODEL@VERSION` or `MODEL@VERSION+ADAPTER`.
fn names_model(label: &str, model: &ModelName) -> bool {
    let name = label.split(['@', '+']).next().unwrap_or(label);
    name == model.as_str()
}
