//! Choice of the prefill engine and the decode engine for a prompt, free of side effects.
//!
//! Prefill engines prefill fast and cannot generate; decode engines do both, but prefill
//! slowly next to their running requests. A prompt is prefilled on a prefill engine and
//! its KV cache transferred, or it is prefilled on its decode engine. Either engine can
//! copy shared parts from one that caches them, which takes milliseconds where
//! recomputing takes hundreds. The option with the least expected time to the first
//! token wins; costs imposed on other requests are added to that time.

use std::sync::Arc;

use serde::Deserialize;

use crate::gateway::deciding::TimedWork;
use crate::gateway::deciding::affinity;
use crate::gateway::deciding::engine_model::{EngineLatencies, EngineWork};
use crate::gateway::deciding::health::HealthView;
use crate::gateway::deciding::load::TargetWork;
use crate::gateway::model::{EngineStage, PromptShape, TargetRecord};
use crate::target_limits::tracker::TurnOffer;

/// Wait expected for each running request in excess of an engine's slots, in milliseconds.
const OVERLOAD_PENALTY_MS: f64 = 50.0;
/// Cost of an engine that recently did not answer, in milliseconds.
const AVOIDED_PENALTY_MS: f64 = 20_000.0;
/// Cost of an engine that was avoided and has not answered since, in milliseconds.
const UNVERIFIED_PENALTY_MS: f64 = 300.0;
/// Cost of an engine whose sends all fail, in milliseconds; scaled by the failure rate.
const FAILURE_PENALTY_MS: f64 = 1_000.0;

/// Largest reduction of the cost of an engine at which a turn is about to expire, in
/// milliseconds: an engine that gets no requests cannot show that its limit has ended.
const TURN_DISCOUNT_MS: f64 = 300.0;

/// Weights of the placement costs. Times are in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementWeights {
    /// Cost of a copied token: its transfer, its price, and the cache space that the
    /// copy takes.
    pub copy_ms: f64,
    /// Cost of recomputed shared tokens, as a multiple of their prefill time: they also
    /// evict other parts from the cache.
    #[serde(rename = "reread_weight")]
    pub recompute_weight: f64,
    /// Share of the cost of recomputing a shared part that is waived for its home, so
    /// that daemons that have not yet learned of each other's choices agree.
    pub home_discount: f64,
    /// Cost of each request that already runs on the engine.
    pub running_ms: f64,
    /// Cost of a prefill to each request that runs on the same engine, as a share of the
    /// prefill time: their tokens wait for its chunks.
    #[serde(rename = "disturbance")]
    pub interference: f64,
    /// Cost of a kilobyte of a request that is sent to another data centre.
    pub crossing_ms_per_kb: f64,
    /// Cost of a token copied from another data centre, as a multiple of `copy_ms`.
    pub crossing_copy_factor: f64,
}

impl Default for PlacementWeights {
    fn default() -> Self {
        Self {
            copy_ms: 0.002,
            recompute_weight: 4.0,
            home_discount: 0.5,
            running_ms: 2.0,
            interference: 0.2,
            crossing_ms_per_kb: 0.0,
            crossing_copy_factor: 1.0,
        }
    }
}

/// State of an engine as used for a choice.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// The engine.
    pub record: Arc<TargetRecord>,
    /// Leading tokens of the prompt that it probably caches.
    pub cached_tokens: u32,
    /// Leading tokens of the prompt that another engine could copy from it.
    pub copyable_tokens: u32,
    /// Outstanding work.
    pub work: TargetWork,
    /// How reliably and fast it answers.
    pub health: HealthView,
    /// Whether this request may be sent to it.
    pub available: bool,
    /// When the next request may be sent, if it limits or refuses requests.
    pub turn: Option<TurnOffer>,
}

impl EngineState {
    fn is_prefill_engine(&self) -> bool {
        self.record.stage == Some(EngineStage::Prefill)
    }

    fn health_penalty_ms(&self) -> f64 {
        let avoided = if self.health.avoided {
            AVOIDED_PENALTY_MS
        } else {
            0.0
        };
        let unverified = if self.health.unverified {
            UNVERIFIED_PENALTY_MS
        } else {
            0.0
        };
        avoided + unverified + FAILURE_PENALTY_MS * self.health.failure_rate
    }

    fn turn_wait_ms(&self) -> f64 {
        let wait = self.turn.map(|turn| turn.wait);
        wait.unwrap_or_default().as_secs_f64() * 1_000.0
    }

    fn turn_discount_ms(&self) -> f64 {
        self.turn.map_or(0.0, |turn| TURN_DISCOUNT_MS * turn.age)
    }

    fn running_ms(&self, each_ms: f64) -> f64 {
        let running = self.work.running;
        let excess = running.saturating_sub(self.record.slots);
        f64::from(running) * each_ms + f64::from(excess) * OVERLOAD_PENALTY_MS
    }
}

/// Engines chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePlacement {
    /// Prefill engine; `None` where the decode engine prefills the prompt itself.
    pub prefill_engine: Option<Arc<TargetRecord>>,
    /// Engine that generates the tokens.
    pub decode_engine: Arc<TargetRecord>,
    /// Engine that the prefilling engine copies shared parts from.
    pub fetch_from: Option<Arc<TargetRecord>>,
    /// Rank of the request in engines' queues.
    pub rank: u8,
    /// Expected time to the first token plus the cost to other requests, in milliseconds.
    pub cost_ms: f64,
    /// Expected time to the first token, in milliseconds.
    pub expected_ms: f64,
    /// Part of the expected time that prefilling the request itself takes.
    pub own_prefill_ms: f64,
    /// Tokens of the prompt that the engine still has to prefill.
    pub pending_prefill_tokens: u32,
    /// Shared tokens among them, which are recomputed.
    pub recomputed_tokens: u32,
    /// Tokens of other requests that the engine prefills first.
    pub queued_ahead_tokens: u32,
    /// Whether it is queued behind all requests that can still meet their objective.
    pub deprioritized: bool,
}

impl EnginePlacement {
    /// Returns the prefill of the prompt at `engine` as work whose time is measured.
    #[must_use]
    pub fn timed_prefill(&self, engine: &Arc<TargetRecord>) -> TimedWork {
        let work = match (self.prefill_engine.is_some(), self.deprioritized) {
            (true, false) => EngineWork::RemotePrefill,
            (true, true) => EngineWork::RemotePrefillLate,
            (false, false) => EngineWork::LocalPrefill,
            (false, true) => EngineWork::LocalPrefillLate,
        };
        TimedWork {
            engine: engine.clone(),
            work,
            tokens: f64::from(self.pending_prefill_tokens) + f64::from(self.queued_ahead_tokens),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct PrefillOption<'a> {
    engine: &'a EngineState,
    fetch_from: Option<&'a EngineState>,
    // Expected time plus the cost to other requests; the cheapest option is chosen.
    cost_ms: f64,
    expected_ms: f64,
    own_prefill_ms: f64,
    pending_prefill_tokens: u32,
    recomputed_tokens: u32,
    queued_ahead_tokens: u32,
}

/// Chooses engines for a prompt of a rank; `None` if no decode engine is available.
#[must_use]
pub fn choose_engines(
    weights: &PlacementWeights,
    latencies: &EngineLatencies,
    engines: &[EngineState],
    prompt: &PromptShape,
    rank: u8,
) -> Option<EnginePlacement> {
    let context = ChoiceContext::new(weights, latencies, engines, prompt, rank);
    let local = context.cheapest(|e| !e.is_prefill_engine() && e.available)?;
    let Some(remote) = context.cheapest(|e| e.is_prefill_engine() && e.available) else {
        return Some(local_placement(&local, rank));
    };
    let Some((decode_engine, decode)) = context.decode_engine() else {
        return Some(local_placement(&local, rank));
    };
    if remote.cost_ms + decode.cost >= local.cost_ms {
        return Some(local_placement(&local, rank));
    }
    Some(EnginePlacement {
        prefill_engine: Some(remote.engine.record.clone()),
        decode_engine: decode_engine.record.clone(),
        fetch_from: remote.fetch_from.map(|source| source.record.clone()),
        rank,
        cost_ms: remote.cost_ms + decode.cost,
        expected_ms: remote.expected_ms + decode.expected,
        own_prefill_ms: remote.own_prefill_ms,
        pending_prefill_tokens: remote.pending_prefill_tokens,
        recomputed_tokens: remote.recomputed_tokens,
        queued_ahead_tokens: remote.queued_ahead_tokens,
        deprioritized: false,
    })
}

/// Chooses the decode engine for a prompt that was prefilled elsewhere.
///
/// A prefill takes up to seconds, in which engines leave and loads change, so the decode
/// engine is chosen again once it is done.
#[must_use]
pub fn choose_decode_engine(
    weights: &PlacementWeights,
    latencies: &EngineLatencies,
    engines: &[EngineState],
    prompt: &PromptShape,
    rank: u8,
) -> Option<Arc<TargetRecord>> {
    let context = ChoiceContext::new(weights, latencies, engines, prompt, rank);
    context
        .decode_engine()
        .map(|(engine, _)| engine.record.clone())
}

fn local_placement(option: &PrefillOption<'_>, rank: u8) -> EnginePlacement {
    EnginePlacement {
        prefill_engine: None,
        decode_engine: option.engine.record.clone(),
        fetch_from: option.fetch_from.map(|source| source.record.clone()),
        rank,
        cost_ms: option.cost_ms,
        expected_ms: option.expected_ms,
        own_prefill_ms: option.own_prefill_ms,
        pending_prefill_tokens: option.pending_prefill_tokens,
        recomputed_tokens: option.recomputed_tokens,
        queued_ahead_tokens: option.queued_ahead_tokens,
        deprioritized: false,
    }
}

// Cost of decoding at an engine, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct DecodeCost {
    // Time to the first event.
    expected: f64,
    // Expected time plus the cost to other requests.
    cost: f64,
}

struct ChoiceContext<'a> {
    weights: &'a PlacementWeights,
    latencies: &'a EngineLatencies,
    engines: &'a [EngineState],
    prompt: &'a PromptShape,
    rank: u8,
    shared_tokens: u32,
    // First home of the prompt's shared part, among engines that are not avoided and neither
    // limit nor refuse requests.
    home: Option<&'a EngineState>,
    // Engine from which the most leading tokens of the prompt can be copied.
    source: Option<&'a EngineState>,
}

impl<'a> ChoiceContext<'a> {
    fn new(
        weights: &'a PlacementWeights,
        latencies: &'a EngineLatencies,
        engines: &'a [EngineState],
        prompt: &'a PromptShape,
        rank: u8,
    ) -> Self {
        let key = affinity::shared_key(&prompt.parts);
        let home = key.and_then(|key| {
            let open = engines
                .iter()
                .filter(|e| !e.health.avoided && e.turn.is_none());
            open.max_by_key(|e| affinity::home_weight(key, &e.record.id))
        });
        let sources = engines.iter().filter(|e| !e.health.avoided);
        let source = sources
            .filter(|e| e.copyable_tokens > 0)
            .max_by_key(|e| e.copyable_tokens);
        Self {
            weights,
            latencies,
            engines,
            prompt,
            rank,
            shared_tokens: affinity::shared_tokens(&prompt.parts),
            home,
            source,
        }
    }

    fn cheapest(&self, fits: impl Fn(&EngineState) -> bool) -> Option<PrefillOption<'a>> {
        let candidates = self.engines.iter().filter(|e| fits(e));
        candidates
            .map(|engine| self.option(engine))
            .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
    }

    fn option(&self, engine: &'a EngineState) -> PrefillOption<'a> {
        let cached = engine.cached_tokens;
        let shared = self.shared_tokens;
        let from_source = self
            .source
            .map_or(0, |source| source.copyable_tokens.min(shared));
        let copied = from_source.saturating_sub(cached);
        let fetch_from = self.source.filter(|_| copied > 0);
        let pending_prefill = self.prompt.prompt_tokens.saturating_sub(cached + copied);
        let recomputed = self.shared_tokens.saturating_sub(cached + copied);
        let is_home = self
            .home
            .is_some_and(|home| home.record.id == engine.record.id);
        let weights = self.weights;
        let discount = if is_home { weights.home_discount } else { 0.0 };
        let weighted_recomputed =
            weights.recompute_weight * f64::from(recomputed) * (1.0 - discount);
        let slowdown = engine.health.slowdown;
        let waiting = engine.work.prefill_tokens_before(self.rank);
        let (latency, interference_factor, running) = if engine.is_prefill_engine() {
            (self.latencies.remote_prefill, 1.0, 0.0)
        } else {
            let interference_factor = 1.0 + weights.interference * f64::from(engine.work.running);
            let running = engine.running_ms(weights.running_ms);
            (self.latencies.local_prefill, interference_factor, running)
        };
        let own_prefill_ms = f64::from(pending_prefill) * latency.token_ms * slowdown;
        let waiting_ms = f64::from(waiting) * latency.token_ms * slowdown;
        let expected_ms = latency.fixed_ms * slowdown
            + own_prefill_ms
            + waiting_ms
            + engine.turn_wait_ms()
            + engine.health_penalty_ms();
        let cost_to_others_ms = (own_prefill_ms
            + weighted_recomputed * slowdown * latency.token_ms)
            * interference_factor
            - own_prefill_ms;
        let copying_ms = f64::from(copied) * weights.copy_ms;
        PrefillOption {
            engine,
            fetch_from,
            cost_ms: expected_ms + cost_to_others_ms + running + copying_ms
                - engine.turn_discount_ms(),
            expected_ms,
            own_prefill_ms,
            pending_prefill_tokens: pending_prefill,
            recomputed_tokens: recomputed,
            queued_ahead_tokens: waiting,
        }
    }

    // Returns the decode engine with the least cost for a prompt prefilled elsewhere.
    fn decode_engine(&self) -> Option<(&'a EngineState, DecodeCost)> {
        let fits = |e: &&EngineState| !e.is_prefill_engine() && e.available;
        let costs = self.engines.iter().filter(fits).map(|engine| {
            let waiting = f64::from(engine.work.prefill_tokens_before(self.rank));
            let slowdown = engine.health.slowdown;
            let expected = self.latencies.kv_transfer.at(waiting) * slowdown
                + engine.turn_wait_ms()
                + engine.health_penalty_ms();
            let copied = self
                .prompt
                .prompt_tokens
                .saturating_sub(engine.cached_tokens);
            let copy_ms = f64::from(copied) * self.weights.copy_ms;
            let cost = expected + copy_ms + engine.running_ms(self.weights.running_ms)
                - engine.turn_discount_ms();
            (engine, DecodeCost { expected, cost })
        });
        costs.min_by(|a, b| a.1.cost.total_cmp(&b.1.cost))
    }
}
