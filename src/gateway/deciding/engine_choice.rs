//! Choice of the prefill engine and the decode engine for a prompt, free of side effects.
//!
//! Prefill engines prefill fast and cannot generate; decode engines do both, but prefill
//! slowly next to their running requests. A prompt is prefilled on a prefill engine and
//! its KV cache transferred, or it is prefilled on its decode engine. Either engine can
//! copy shared parts from one that caches them, which takes milliseconds where
//! recomputing takes hundreds. The option with the least expected time to the first
//! token wins; costs imposed on other requests, and of bytes sent between data centres, are
//! added to that time.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Deserialize;

use crate::gateway::deciding::TimedWork;
use crate::gateway::deciding::affinity;
use crate::gateway::deciding::engine_model::{EngineLatencies, EngineWork};
use crate::gateway::deciding::health::HealthView;
use crate::gateway::deciding::load::TargetWork;
use crate::gateway::model::{EngineStage, PromptShape, TargetRecord};
use crate::names::CentreName;
use crate::target_limits::tracker::TurnOffer;

/// Wait expected for each running request in excess of an engine's slots, in milliseconds.
const OVERLOAD_PENALTY_MS: f64 = 50.0;
/// Cost of an engine that recently did not answer, in milliseconds.
const AVOIDED_PENALTY_MS: f64 = 20_000.0;
/// Cost of an engine that was avoided and has not answered since, in milliseconds.
const UNVERIFIED_PENALTY_MS: f64 = 300.0;
/// Cost of an engine whose sends all fail, in milliseconds; scaled by the failure rate.
const FAILURE_PENALTY_MS: f64 = 1_000.0;

/// Bytes of a kilobyte in [`PlacementWeights::crossing_ms_per_kb`].
const BYTES_PER_KB: f64 = 1_000.0;

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

impl PlacementWeights {
    /// Returns the cost of sending a request of `bytes` from a daemon in the data centre
    /// `from`, if it is known, to one in `to`.
    #[must_use]
    pub fn send_ms(&self, bytes: usize, from: Option<&CentreName>, to: &CentreName) -> f64 {
        let crosses = from.is_some_and(|from| from != to);
        if !crosses {
            return 0.0;
        }
        bytes as f64 / BYTES_PER_KB * self.crossing_ms_per_kb
    }

    // Returns the cost of a copy of `tokens` between two data centres, or within one.
    fn copy_cost_ms(&self, tokens: u32, from: &CentreName, to: &CentreName) -> f64 {
        let factor = if from == to {
            1.0
        } else {
            self.crossing_copy_factor
        };
        f64::from(tokens) * self.copy_ms * factor
    }

    fn has_local_homes(&self) -> bool {
        self.crossing_ms_per_kb > 0.0
    }

    fn has_crossing_copies(&self) -> bool {
        self.crossing_copy_factor != 1.0
    }

    fn prefers_local_sources(&self) -> bool {
        self.has_local_homes() || self.has_crossing_copies()
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
    /// Cost of sending the request to it, in milliseconds: none within a data centre.
    pub send_ms: f64,
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
    let Some((remote, (decode_engine, decode))) = context.cheapest_pair() else {
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

/// Chooses the decode engine for a prompt that was prefilled in the data centre
/// `prefilled_in`.
///
/// A prefill takes up to seconds, in which engines leave and loads change, so the decode
/// engine is chosen again once it is done.
#[must_use]
pub fn choose_decode_engine(
    weights: &PlacementWeights,
    latencies: &EngineLatencies,
    engines: &[EngineState],
    (prompt, rank): (&PromptShape, u8),
    prefilled_in: &CentreName,
) -> Option<Arc<TargetRecord>> {
    let context = ChoiceContext::new(weights, latencies, engines, prompt, rank);
    context
        .decode_engine(prefilled_in)
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
    // limit nor refuse requests: of all data centres, or of the one that the request is sent
    // from. Only without a home there, the homes of the others.
    homes: Vec<&'a EngineState>,
    // Engine from which the most leading tokens of the prompt can be copied: one for all data
    // centres, or one for each.
    sources: Vec<&'a EngineState>,
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
        let homes = key.map_or_else(Vec::new, |key| {
            let open = engines
                .iter()
                .filter(|e| !e.health.avoided && e.turn.is_none());
            let home_weight = |e: &EngineState| affinity::home_weight(key, &e.record.id);
            let homes = first_by(open, home_weight, weights.has_local_homes());
            nearest(homes)
        });
        let sources = engines.iter().filter(|e| !e.health.avoided);
        let sources = first_by(
            sources.filter(|e| e.copyable_tokens > 0),
            |e| u64::from(e.copyable_tokens),
            weights.prefers_local_sources(),
        );
        Self {
            weights,
            latencies,
            engines,
            prompt,
            rank,
            shared_tokens: affinity::shared_tokens(&prompt.parts),
            homes,
            sources,
        }
    }

    fn cheapest(&self, fits: impl Fn(&EngineState) -> bool) -> Option<PrefillOption<'a>> {
        let candidates = self.engines.iter().filter(|e| fits(e));
        candidates
            .map(|engine| self.option(engine))
            .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
    }

    // Returns the prefill engine and the decode engine with the least cost together.
    fn cheapest_pair(&self) -> Option<(PrefillOption<'a>, (&'a EngineState, DecodeCost))> {
        let fits = |e: &EngineState| e.is_prefill_engine() && e.available;
        if !self.weights.has_crossing_copies() {
            // The cost of the transfer does not depend on the pair.
            let remote = self.cheapest(fits)?;
            return Some((remote, self.decode_engine(&remote.engine.record.centre)?));
        }
        let centres: IndexMap<&CentreName, ()> = self
            .engines
            .iter()
            .filter(|e| fits(e))
            .map(|e| (&e.record.centre, ()))
            .collect();
        let pairs = centres.keys().filter_map(|centre| {
            let remote = self.cheapest(|e| fits(e) && e.record.centre == **centre)?;
            Some((remote, self.decode_engine(centre)?))
        });
        let cost = |(remote, (_, decode)): &(PrefillOption<'_>, (&EngineState, DecodeCost))| {
            remote.cost_ms + decode.cost
        };
        pairs.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    // Returns the prefill at an engine, with shared parts copied from the best source.
    fn option(&self, engine: &'a EngineState) -> PrefillOption<'a> {
        let sources = self.sources.iter().copied();
        if !self.weights.prefers_local_sources() {
            return self.option_from(engine, self.sources.first().copied());
        }
        // Among equal costs, the first wins: a copy within the data centre.
        let is_near = |e: &&EngineState| e.record.centre == engine.record.centre;
        let near_first = sources
            .clone()
            .filter(is_near)
            .chain(sources.filter(|e| !is_near(e)));
        let options = near_first
            .map(|source| self.option_from(engine, Some(source)))
            .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        let uncopied = self.option_from(engine, None);
        match options {
            Some(option) if option.cost_ms <= uncopied.cost_ms => option,
            _ => uncopied,
        }
    }

    fn option_from(
        &self,
        engine: &'a EngineState,
        source: Option<&'a EngineState>,
    ) -> PrefillOption<'a> {
        let cached = engine.cached_tokens;
        let shared = self.shared_tokens;
        let from_source = source.map_or(0, |source| source.copyable_tokens.min(shared));
        let copied = from_source.saturating_sub(cached);
        let fetch_from = source.filter(|_| copied > 0);
        let pending_prefill = self.prompt.prompt_tokens.saturating_sub(cached + copied);
        let recomputed = self.shared_tokens.saturating_sub(cached + copied);
        let is_home = self
            .homes
            .iter()
            .any(|home| home.record.id == engine.record.id);
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
        let centre = &engine.record.centre;
        let copying_ms = fetch_from.map_or(0.0, |source| {
            weights.copy_cost_ms(copied, &source.record.centre, centre)
        });
        PrefillOption {
            engine,
            fetch_from,
            cost_ms: expected_ms + cost_to_others_ms + running + copying_ms
                - engine.turn_discount_ms()
                + engine.send_ms,
            expected_ms,
            own_prefill_ms,
            pending_prefill_tokens: pending_prefill,
            recomputed_tokens: recomputed,
            queued_ahead_tokens: waiting,
        }
    }

    // Returns the decode engine with the least cost for a prompt prefilled in a data centre.
    fn decode_engine(&self, prefilled_in: &CentreName) -> Option<(&'a EngineState, DecodeCost)> {
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
            let centre = &engine.record.centre;
            let copy_ms = self.weights.copy_cost_ms(copied, prefilled_in, centre);
            let cost = expected + copy_ms + engine.running_ms(self.weights.running_ms)
                - engine.turn_discount_ms()
                + engine.send_ms;
            (engine, DecodeCost { expected, cost })
        });
        costs.min_by(|a, b| a.1.cost.total_cmp(&b.1.cost))
    }
}

// Returns the homes to which the request is sent at no cost, or else all. With a discount for
// all, a prompt whose near home is a decode engine went to a prefill engine that is a home in
// another data centre.
fn nearest(homes: Vec<&EngineState>) -> Vec<&EngineState> {
    let near: Vec<&EngineState> = homes.iter().copied().filter(|e| e.send_ms <= 0.0).collect();
    if near.is_empty() { homes } else { near }
}

// Returns the engine with the highest weight, of all data centres or of each.
fn first_by<'a>(
    engines: impl Iterator<Item = &'a EngineState>,
    weight: impl Fn(&EngineState) -> u64,
    per_centre: bool,
) -> Vec<&'a EngineState> {
    if !per_centre {
        return engines.max_by_key(|e| weight(e)).into_iter().collect();
    }
    let mut first: IndexMap<&CentreName, &EngineState> = IndexMap::new();
    for engine in engines {
        let best = first.entry(&engine.record.centre).or_insert(engine);
        if weight(engine) > weight(best) {
            *best = engine;
        }
    }
    first.into_values().collect()
}
