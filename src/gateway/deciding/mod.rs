//! Placement decisions: which targets serve a request, or that none can.
//!
//! [`DecisionCore`] owns all state that decisions depend on. It takes in observations and
//! returns decisions, with the time as an argument, and uses no network, no async runtime
//! and no interior mutability, so that tests can run it in virtual time.

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

use indexmap::IndexSet;

use crate::gateway::deciding::affinity::CacheIndex;
use crate::gateway::deciding::engine_choice::{EnginePlacement, EngineState, PlacementWeights};
use crate::gateway::deciding::engine_model::{EngineSpeeds, EngineWork};
use crate::gateway::deciding::health::{
    AnswerTime, HealthChange, HealthTracker, HealthView, SendResult,
};
use crate::gateway::deciding::load::LoadTracker;
use crate::gateway::deciding::work_meter::WorkMeter;
use crate::gateway::model::{PromptPart, PromptShape, TargetRecord};
use crate::names::{CentreName, MonoTime, ServiceName, SoftwareVersion};
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::tracker::{TurnOffer, TurnOffers};

/// Added to the rank of a deprioritised request: one that misses its objective by waiting.
const DEPRIORITIZED_RANKS: u8 = 5;

/// Engines that a decision may choose from.
pub struct EngineCandidates<'a> {
    /// Engines of the service.
    pub engines: &'a [Arc<TargetRecord>],
    /// Engines whose stage is being changed; they get no new work.
    pub changing: &'a [TargetIncarnation],
    /// Engines that the request must not be sent to any more, or not at present.
    pub excluded: &'a [TargetIncarnation],
    /// Offers at the engines that limit or refuse requests.
    pub turns: &'a TurnOffers,
    /// Version of the engines' software that is allowed, if only one is.
    pub software: Option<&'a SoftwareVersion>,
    /// Size of the request's body, which is sent to each engine.
    pub request_bytes: usize,
}

impl EngineCandidates<'_> {
    // Returns the versions that may be chosen. The engines of a request are of one version:
    // what one version writes into a cache need not fit another.
    fn versions(&self) -> IndexSet<&SoftwareVersion> {
        match self.software {
            Some(software) => IndexSet::from([software]),
            None => self.engines.iter().map(|engine| &engine.software).collect(),
        }
    }

    fn service(&self) -> ServiceName {
        let first = self.engines.first();
        first.map_or_else(|| ServiceName::from(""), |engine| engine.service.clone())
    }
}

/// Work at an engine whose time is measured.
#[derive(Clone, Debug)]
pub struct TimedWork {
    /// The engine.
    pub engine: Arc<TargetRecord>,
    /// Kind of work.
    pub work: EngineWork,
    /// Tokens that the engine has to prefill until it is done, as known at the start.
    pub tokens: f64,
}

/// What is known of a request whose engines are to be chosen.
pub struct PlacementQuery<'a> {
    /// Engines to choose from.
    pub choices: EngineCandidates<'a>,
    /// The prompt.
    pub prompt: &'a PromptShape,
    /// Rank of the request; 0 is the most urgent.
    pub urgency: u8,
    /// Time left for an answer within the latency objective.
    pub objective_left: Duration,
}

/// State that decisions depend on.
#[derive(Debug, Default)]
pub struct DecisionCore {
    /// Weights of the placement costs.
    pub weights: PlacementWeights,
    /// Data centre that requests are sent from; without it, sends have no cost.
    pub centre: Option<CentreName>,
    /// Health of targets.
    pub health: HealthTracker,
    /// Outstanding work at targets.
    pub load: LoadTracker,
    /// Prompt parts that engines cache.
    pub caches: CacheIndex,
    /// Learned latencies of engines.
    pub engines: EngineSpeeds,
    /// Rate of the work placed on engines.
    pub work: WorkMeter,
}

impl DecisionCore {
    /// Creates a core without observations.
    #[must_use]
    pub fn new(weights: PlacementWeights) -> Self {
        Self {
            weights,
            ..Self::default()
        }
    }

    /// Records the result of a send; returns whether the target is now avoided or has
    /// recovered.
    pub fn note_result(
        &mut self,
        target: &TargetIncarnation,
        result: SendResult,
        now: MonoTime,
    ) -> Option<HealthChange> {
        self.health.note(target, result, now)
    }

    /// Drops what failures since `since` said about a target: they were not its own.
    pub fn forgive(&mut self, target: &TargetIncarnation, since: MonoTime) {
        self.health.forgive(target, since);
    }

    /// Records the time of work at an engine; returns its ratio to the expected time.
    pub fn note_time(&mut self, timed: &TimedWork, taken_ms: f64, now: MonoTime) -> f64 {
        let TimedWork {
            engine,
            work,
            tokens,
        } = timed;
        let slowdown = self.health.view(&engine.id, now).slowdown;
        let expected_ms = self.engines.latency(&engine.service, *work).at(*tokens);
        let time = AnswerTime {
            taken_ms,
            expected_ms,
            observed_share: self.engines.observed_share(&engine.service, *work),
        };
        self.health.note_time(&engine.id, time, now);
        self.engines.note(&engine.service, *work, *tokens, taken_ms);
        taken_ms / (expected_ms * slowdown)
    }

    /// Records the engine time that the prefill of a placed request takes: the tokens that no
    /// cache holds, at the learned speed. The fixed part of the latency is mostly time in
    /// which the engine does other work. A prefill on the decode engine counts as decode work,
    /// because it takes a decode engine's time.
    pub fn note_prefill_time(
        &mut self,
        service: &ServiceName,
        place: &EnginePlacement,
        now: MonoTime,
    ) {
        // The latency of deprioritised requests includes the work that overtakes them.
        let latencies = self.engines.latencies(service, false);
        let tokens = f64::from(place.pending_prefill_tokens);
        if place.prefill_engine.is_some() {
            let engine_ms = tokens * latencies.remote_prefill.token_ms;
            self.work.note_prefill_time(service, engine_ms, now);
        } else {
            let engine_ms = tokens * latencies.local_prefill.token_ms;
            self.work.note_decode_time(service, engine_ms, now);
        }
    }

    /// Records parts of a prompt that an engine caches (`ready`) or is prefilling.
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

    /// Drops load reports that are too old, and what is known of targets for which `keep`
    /// is false.
    pub fn sweep(&mut self, keep: impl Fn(&TargetIncarnation) -> bool, now: MonoTime) {
        self.load.expire(now);
        self.health.retain(&keep);
        self.caches.retain(&keep);
    }

    /// Chooses engines for a request; `None` if no decode engine is available.
    #[must_use]
    pub fn place(&self, query: &PlacementQuery<'_>, now: MonoTime) -> Option<EnginePlacement> {
        let versions = query.choices.versions().into_iter();
        let placements = versions.filter_map(|software| self.place_at(query, software, now));
        placements.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
    }

    fn place_at(
        &self,
        query: &PlacementQuery<'_>,
        software: &SoftwareVersion,
        now: MonoTime,
    ) -> Option<EnginePlacement> {
        let engines = self.engine_states(&query.choices, software, &query.prompt.parts, now);
        let service = query.choices.service();
        let choose = |rank, deprioritized| {
            let latencies = self.engines.latencies(&service, deprioritized);
            let placement = engine_choice::choose_engines(
                &self.weights,
                &latencies,
                &engines,
                query.prompt,
                rank,
            )?;
            Some(EnginePlacement {
                deprioritized,
                ..placement
            })
        };
        let on_time = choose(query.urgency, false)?;
        // A request that misses its objective by waiting is queued behind those that can
        // still meet theirs. One that misses it by its own prefill time is not: the
        // longest prompts would never be served.
        let waiting_ms = on_time.expected_ms - on_time.own_prefill_ms;
        if waiting_ms <= query.objective_left.as_secs_f64() * 1_000.0 {
            return Some(on_time);
        }
        choose(
            query.urgency.saturating_add(DEPRIORITIZED_RANKS).min(9),
            true,
        )
    }

    /// Chooses another prefill engine in place of the one chosen before; `None` if the
    /// prompt had better be prefilled on its decode engine, or no engine is available.
    #[must_use]
    pub fn choose_other_prefill_engine(
        &self,
        choices: &EngineCandidates<'_>,
        prompt: &PromptShape,
        rank: u8,
        now: MonoTime,
    ) -> Option<Arc<TargetRecord>> {
        let latencies = self.engines.latencies(&choices.service(), false);
        let placements = choices.versions().into_iter().filter_map(|software| {
            let engines = self.engine_states(choices, software, &prompt.parts, now);
            engine_choice::choose_engines(&self.weights, &latencies, &engines, prompt, rank)
        });
        let cheapest = placements.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        cheapest?.prefill_engine
    }

    /// Chooses the decode engine for a prompt that `prefill_engine` has prefilled, among
    /// engines of its version.
    ///
    /// A prefill takes up to seconds, in which engines leave and loads change, so the
    /// decode engine is chosen again once it is done.
    #[must_use]
    pub fn choose_decode_engine(
        &self,
        choices: &EngineCandidates<'_>,
        prefill_engine: &TargetRecord,
        work: (&PromptShape, u8),
        now: MonoTime,
    ) -> Option<Arc<TargetRecord>> {
        let parts = &work.0.parts;
        let engines = self.engine_states(choices, &prefill_engine.software, parts, now);
        let latencies = self.engines.latencies(&choices.service(), false);
        let centre = &prefill_engine.centre;
        engine_choice::choose_decode_engine(&self.weights, &latencies, &engines, work, centre)
    }

    /// Chooses a target of a service without model engines, with the turns at those that limit
    /// the rate of their requests, for a request with a body of `request_bytes`. `draw` returns
    /// random numbers from 0 to 1, so that daemons with the same knowledge do not all choose the
    /// same target.
    #[must_use]
    pub fn choose_plain_target<'a>(
        &self,
        targets: impl Iterator<Item = &'a Arc<TargetRecord>>,
        (turns, request_bytes): (&TurnOffers, usize),
        mut draw: impl FnMut() -> f64,
        now: MonoTime,
    ) -> Option<Arc<TargetRecord>> {
        let costs = targets.map(|target| {
            let health = self.health.view(&target.id, now);
            let running = self.load.total(&target.id).running;
            let turn_cost = turns.get(&target.id).map_or(0.0, plain_turn_cost);
            let send_cost = self.send_ms(target, request_bytes) / FULL_SLOTS_MS;
            let cost = plain_cost(running, target.slots, health)
                + turn_cost
                + send_cost
                + draw() * TIE_RANGE;
            (cost, target)
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, target)| target.clone())
    }

    fn send_ms(&self, target: &TargetRecord, bytes: usize) -> f64 {
        let from = self.centre.as_ref();
        self.weights.send_ms(bytes, from, &target.centre)
    }

    fn engine_states(
        &self,
        choices: &EngineCandidates<'_>,
        software: &SoftwareVersion,
        parts: &[PromptPart],
        now: MonoTime,
    ) -> Vec<EngineState> {
        let excluded = |id: &TargetIncarnation| choices.excluded.contains(id);
        let changing = |id: &TargetIncarnation| choices.changing.contains(id);
        let engines = choices.engines.iter();
        let engines = engines.filter(|engine| engine.software == *software);
        let states = engines.map(|engine| EngineState {
            record: engine.clone(),
            cached_tokens: self.caches.cached_tokens(&engine.id, parts, now),
            copyable_tokens: self.caches.copyable_tokens(&engine.id, parts, now),
            work: self.load.total(&engine.id),
            health: self.health.view(&engine.id, now),
            available: !excluded(&engine.id) && !changing(&engine.id),
            turn: choices.turns.get(&engine.id).copied(),
            send_ms: self.send_ms(engine, choices.request_bytes),
        });
        states.collect()
    }
}

/// Difference in the share of busy slots within which targets are chosen at random.
const TIE_RANGE: f64 = 0.3;
/// Cost of a target whose sends all fail, in shares of busy slots; scaled by the failure
/// rate.
const FAILURE_COST: f64 = 4.0;
/// Cost of a target that recently did not answer: more than any load.
const AVOIDED_COST: f64 = 100.0;

/// Wait for a turn that costs as much as a target whose slots are all busy, in seconds.
const TURN_WAIT_S: f64 = 0.1;
/// The same for the cost of a send, in milliseconds.
const FULL_SLOTS_MS: f64 = 100.0;
/// Largest reduction of the cost of a target at which a turn is about to expire: a target that
/// gets no requests cannot show that its limit has ended.
const TURN_DISCOUNT: f64 = 1.0;

fn plain_turn_cost(turn: &TurnOffer) -> f64 {
    turn.wait.as_secs_f64() / TURN_WAIT_S - TURN_DISCOUNT * turn.age
}

// Cost of sending one more request: the share of busy slots plus penalties for failures.
fn plain_cost(running: u32, slots: u32, health: HealthView) -> f64 {
    let busy_share = f64::from(running) / f64::from(slots.max(1));
    let failure_cost = FAILURE_COST * health.failure_rate;
    let avoided_cost = if health.avoided { AVOIDED_COST } else { 0.0 };
    let unverified = if health.unverified { 1.0 } else { 0.0 };
    busy_share + failure_cost + avoided_cost + unverified
}
