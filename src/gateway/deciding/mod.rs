//! Decisions on requests: which targets serve them, in which order, or that none can.
//!
//! One part owns everything that decisions rest on. It takes what was observed in and
//! gives decisions out, with the time as an argument, and knows no network, no runtime
//! and no cell; whoever carries traffic asks it, and tests drive it in virtual time.

pub mod affinity;
pub mod engine_choice;
pub mod engine_model;
pub mod health;
pub mod line_fit;
pub mod load;
pub mod stage_plan;
pub mod work_meter;

use std::sync::Arc;
use std::time::Duration;

use crate::gateway::deciding::affinity::CacheIndex;
use crate::gateway::deciding::engine_choice::{EnginePlacement, EngineState, PlacementWeights};
use crate::gateway::deciding::engine_model::{EngineSpeeds, EngineWork};
use crate::gateway::deciding::health::{HealthChange, HealthTracker, HealthView, SendResult};
use crate::gateway::deciding::load::LoadTracker;
use crate::gateway::deciding::work_meter::WorkMeter;
use crate::gateway::model::{PromptPart, PromptShape, TargetRecord};
use crate::names::{MonoTime, ServiceName};
use crate::target_incarnation::TargetIncarnation;

/// Added to the rank of a request that can no longer be in time.
const LATE_RANKS: u8 = 5;

/// Engines as a decision may use them.
pub struct EngineCandidates<'a> {
    /// Engines of the service.
    pub engines: &'a [Arc<TargetRecord>],
    /// Engines that are being changed and get no work.
    pub changing: &'a [TargetIncarnation],
    /// Engines that the request cannot use any more.
    pub excluded: &'a [TargetIncarnation],
}

impl EngineCandidates<'_> {
    fn service(&self) -> ServiceName {
        let first = self.engines.first();
        first.map_or_else(|| ServiceName::from(""), |engine| engine.service.clone())
    }
}

/// Work at an engine whose time is taken.
#[derive(Clone, Debug)]
pub struct TimedWork {
    /// The engine.
    pub engine: Arc<TargetRecord>,
    /// What it does.
    pub work: EngineWork,
    /// Tokens that it has to read until that is done, as known at the start.
    pub tokens: f64,
}

/// A request as the choice of its engines sees it.
pub struct PlacementQuery<'a> {
    /// Engines to choose from.
    pub choices: EngineCandidates<'a>,
    /// Its prompt.
    pub prompt: &'a PromptShape,
    /// Rank of its route; 0 is the most urgent.
    pub urgency: u8,
    /// Time left for an answer of full worth.
    pub objective_left: Duration,
}

/// What decisions rest on.
#[derive(Debug, Default)]
pub struct DecisionCore {
    /// Weights of the choice.
    pub weights: PlacementWeights,
    /// Which targets answer.
    pub health: HealthTracker,
    /// Work outstanding.
    pub load: LoadTracker,
    /// What engines have cached.
    pub caches: CacheIndex,
    /// How fast engines work.
    pub engines: EngineSpeeds,
    /// Work offered to engines.
    pub work: WorkMeter,
}

impl DecisionCore {
    /// Creates a core that has observed nothing.
    #[must_use]
    pub fn new(weights: PlacementWeights) -> Self {
        Self {
            weights,
            ..Self::default()
        }
    }

    /// Notes what came of a send; returns what it changed for choices.
    pub fn note_result(
        &mut self,
        target: &TargetIncarnation,
        result: SendResult,
        now: MonoTime,
    ) -> Option<HealthChange> {
        self.health.note(target, result, now)
    }

    /// Notes the time of work at an engine; returns it against what was expected.
    pub fn note_time(&mut self, timed: &TimedWork, taken_ms: f64, now: MonoTime) -> f64 {
        let TimedWork {
            engine,
            work,
            tokens,
        } = timed;
        let pace = self.health.view(&engine.id, now).pace;
        let expected = self.engines.line(&engine.service, *work).at(*tokens);
        self.health.note_time(&engine.id, taken_ms, expected);
        self.engines.note(&engine.service, *work, *tokens, taken_ms);
        taken_ms / (expected * pace)
    }

    /// Notes parts of a prompt that an engine holds, or was asked to read.
    pub fn note_parts(
        &mut self,
        engine: &TargetIncarnation,
        parts: &[PromptPart],
        ready: bool,
        now: MonoTime,
    ) {
        if ready {
            self.caches.note_cached(engine, parts, now);
        } else {
            self.caches.note_prefilling(engine, parts, now);
        }
    }

    /// Leaves out what is too old, and what is believed of targets for which `keep` is
    /// false.
    pub fn sweep(&mut self, keep: impl Fn(&TargetIncarnation) -> bool, now: MonoTime) {
        self.load.expire(now);
        self.health.retain(&keep);
        self.caches.retain(&keep);
    }

    /// Chooses engines for a request; `None` without one that generates.
    #[must_use]
    pub fn place(&self, order: &PlacementQuery<'_>, now: MonoTime) -> Option<EnginePlacement> {
        let engines = self.engine_states(&order.choices, &order.prompt.parts, now);
        let service = order.choices.service();
        let choose = |rank, gives_way| {
            let lines = self.engines.lines(&service, gives_way);
            let place = engine_choice::choose(&self.weights, &lines, &engines, order.prompt, rank)?;
            Some(EnginePlacement { gives_way, ..place })
        };
        let in_time = choose(order.urgency, false)?;
        // What waits too long to be in time gives way to what can still be. A prompt
        // that is late by its own length does not: the largest would never be read.
        let waiting_ms = in_time.expected_ms - in_time.own_ms;
        if waiting_ms <= order.objective_left.as_secs_f64() * 1_000.0 {
            return Some(in_time);
        }
        choose(order.urgency.saturating_add(LATE_RANKS).min(9), true)
    }

    /// Chooses the engine that reads a prompt instead of the one chosen before.
    #[must_use]
    pub fn choose_other_prefill_engine(
        &self,
        choices: &EngineCandidates<'_>,
        prompt: &PromptShape,
        rank: u8,
        now: MonoTime,
    ) -> Option<Arc<TargetRecord>> {
        let engines = self.engine_states(choices, &prompt.parts, now);
        let lines = self.engines.lines(&choices.service(), false);
        engine_choice::choose(&self.weights, &lines, &engines, prompt, rank)?.reader
    }

    /// Chooses the engine that takes over a prompt which was read elsewhere.
    ///
    /// Reading takes up to seconds, in which engines leave and loads change, so this is
    /// asked again once the prompt is read.
    #[must_use]
    pub fn writer(
        &self,
        choices: &EngineCandidates<'_>,
        prompt: &PromptShape,
        rank: u8,
        now: MonoTime,
    ) -> Option<Arc<TargetRecord>> {
        let engines = self.engine_states(choices, &prompt.parts, now);
        let lines = self.engines.lines(&choices.service(), false);
        engine_choice::choose_decode_engine(&self.weights, &lines, &engines, prompt, rank)
    }

    /// Chooses a target of a plain service; `draw` gives numbers of 0 to 1 by which
    /// daemons that know the same do not all choose alike.
    #[must_use]
    pub fn plain_target<'a>(
        &self,
        targets: impl Iterator<Item = &'a Arc<TargetRecord>>,
        mut draw: impl FnMut() -> f64,
        now: MonoTime,
    ) -> Option<Arc<TargetRecord>> {
        let scored = targets.map(|target| {
            let health = self.health.view(&target.id, now);
            let running = self.load.total(&target.id).running;
            let cost = plain_cost(running, target.slots, health) + draw() * TIE_RANGE;
            (cost, target)
        });
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, target)| target.clone())
    }

    fn engine_states(
        &self,
        choices: &EngineCandidates<'_>,
        parts: &[PromptPart],
        now: MonoTime,
    ) -> Vec<EngineState> {
        let excluded = |id: &TargetIncarnation| choices.excluded.contains(id);
        let changing = |id: &TargetIncarnation| choices.changing.contains(id);
        let states = choices.engines.iter().map(|engine| EngineState {
            record: engine.clone(),
            held_tokens: self.caches.cached_tokens(&engine.id, parts, now),
            ready_tokens: self.caches.ready_tokens(&engine.id, parts, now),
            work: self.load.total(&engine.id),
            health: self.health.view(&engine.id, now),
            may_get_work: !excluded(&engine.id) && !changing(&engine.id),
        });
        states.collect()
    }
}

/// Part of a plain target's places by which draws decide between targets.
const TIE_RANGE: f64 = 0.3;
/// Weight of the rate of failures against the share of busy places.
const FAILURE_WEIGHT: f64 = 4.0;
/// Cost of a plain target that gave no answers lately: more than any load.
const AWAY_COST: f64 = 100.0;

// Cost of one more request: the share of busy places, worse for targets that fail.
fn plain_cost(running: u32, slots: u32, health: HealthView) -> f64 {
    let filled = f64::from(running) / f64::from(slots.max(1));
    let failing = FAILURE_WEIGHT * health.failure_rate;
    let away = if health.avoided { AWAY_COST } else { 0.0 };
    let unproved = if health.unproved { 1.0 } else { 0.0 };
    filled + failing + away + unproved
}
