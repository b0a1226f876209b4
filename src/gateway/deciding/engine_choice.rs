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
use crate::gateway::deciding::engine_model::{EngineLines, EngineWork};
use crate::gateway::deciding::health::HealthView;
use crate::gateway::deciding::load::TargetWork;
use crate::gateway::model::{EngineStage, PromptShape, TargetRecord};

/// Wait expected for each running request in excess of an engine's slots, in milliseconds.
const OVERFULL_MS: f64 = 50.0;
/// Cost of an engine that recently did not answer, in milliseconds.
const AVOIDED_MS: f64 = 20_000.0;
/// Cost of an engine that was avoided and has not answered since, in milliseconds.
const UNPROVED_MS: f64 = 300.0;
/// Cost of an engine whose sends all fail, in milliseconds; scaled by the failure rate.
const FAILURE_MS: f64 = 1_000.0;

/// Weights of the placement costs. Times are in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementWeights {
    /// Cost of a copied token: its transfer, its price, and the cache space that the
    /// copy takes.
    pub copy_ms: f64,
    /// Cost of recomputed shared tokens, as a multiple of their prefill time: they also
    /// evict other parts from the cache.
    pub reread_weight: f64,
    /// Share of the cost of recomputing a shared part that is waived for its home, so
    /// that daemons that have not yet learned of each other's choices agree.
    pub home_discount: f64,
    /// Cost of each request that already runs on the engine.
    pub running_ms: f64,
    /// Cost of a prefill to each request that runs on the same engine, as a share of the
    /// prefill time: their tokens wait for its chunks.
    pub disturbance: f64,
}

impl Default for PlacementWeights {
    fn default() -> Self {
        Self {
            copy_ms: 0.002,
            reread_weight: 4.0,
            home_discount: 0.5,
            running_ms: 2.0,
            disturbance: 0.2,
        }
    }
}

/// State of an engine as used for a choice.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// The engine.
    pub record: Arc<TargetRecord>,
    /// Leading tokens of the prompt that it probably caches.
    pub held_tokens: u32,
    /// Leading tokens of the prompt that another engine could copy from it.
    pub ready_tokens: u32,
    /// Outstanding work.
    pub work: TargetWork,
    /// How reliably and fast it answers.
    pub health: HealthView,
    /// Whether another request may be sent to it.
    pub may_get_work: bool,
}

impl EngineState {
    fn is_reader(&self) -> bool {
        self.record.stage == Some(EngineStage::Prefill)
    }

    fn trouble_ms(&self) -> f64 {
        let avoided = if self.health.avoided { AVOIDED_MS } else { 0.0 };
        let unproved = if self.health.unproved {
            UNPROVED_MS
        } else {
            0.0
        };
        avoided + unproved + FAILURE_MS * self.health.failure_rate
    }

    fn running_ms(&self, each_ms: f64) -> f64 {
        let running = self.work.running;
        let beyond = running.saturating_sub(self.record.slots);
        f64::from(running) * each_ms + f64::from(beyond) * OVERFULL_MS
    }
}

/// Engines chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePlace {
    /// Prefill engine; `None` where the decode engine prefills the prompt itself.
    pub reader: Option<Arc<TargetRecord>>,
    /// Engine that generates the tokens.
    pub writer: Arc<TargetRecord>,
    /// Engine that the prefilling engine copies shared parts from.
    pub fetch_from: Option<Arc<TargetRecord>>,
    /// Rank of the request in engines' queues.
    pub rank: u8,
    /// Expected time to the first token, in milliseconds.
    pub expected_ms: f64,
    /// Part of the expected time that prefilling the request itself takes.
    pub own_ms: f64,
    /// Tokens of the prompt that the engine still has to prefill.
    pub unread_tokens: u32,
    /// Shared tokens among them, which are recomputed.
    pub reread_tokens: u32,
    /// Tokens of other requests that the engine prefills before.
    pub waiting_tokens: u32,
    /// Whether it is queued behind all requests that can still meet their objective.
    pub gives_way: bool,
}

impl EnginePlace {
    /// Returns the prefill of the prompt at `engine` as work whose time is measured.
    #[must_use]
    pub fn timed_reading(&self, engine: &Arc<TargetRecord>) -> TimedWork {
        let work = match (self.reader.is_some(), self.gives_way) {
            (true, false) => EngineWork::ReadAhead,
            (true, true) => EngineWork::ReadAheadLate,
            (false, false) => EngineWork::ReadHere,
            (false, true) => EngineWork::ReadHereLate,
        };
        TimedWork {
            engine: engine.clone(),
            work,
            tokens: f64::from(self.unread_tokens) + f64::from(self.waiting_tokens),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct ReadWay<'a> {
    engine: &'a EngineState,
    fetch_from: Option<&'a EngineState>,
    // Expected time plus the cost to other requests; the option with the least is chosen.
    cost_ms: f64,
    expected_ms: f64,
    own_ms: f64,
    unread_tokens: u32,
    reread_tokens: u32,
    waiting_tokens: u32,
}

/// Chooses engines for a prompt of a rank; `None` if no decode engine is available.
#[must_use]
pub fn choose(
    weights: &PlacementWeights,
    lines: &EngineLines,
    engines: &[EngineState],
    prompt: &PromptShape,
    rank: u8,
) -> Option<EnginePlace> {
    let scene = Scene::new(weights, lines, engines, prompt, rank);
    let direct = scene.cheapest(|e| !e.is_reader() && e.may_get_work)?;
    let Some(read) = scene.cheapest(|e| e.is_reader() && e.may_get_work) else {
        return Some(direct_place(&direct, rank));
    };
    let Some((writer, writer_ms)) = scene.writer() else {
        return Some(direct_place(&direct, rank));
    };
    if read.cost_ms + writer_ms.cost >= direct.cost_ms {
        return Some(direct_place(&direct, rank));
    }
    Some(EnginePlace {
        reader: Some(read.engine.record.clone()),
        writer: writer.record.clone(),
        fetch_from: read.fetch_from.map(|holder| holder.record.clone()),
        rank,
        expected_ms: read.expected_ms + writer_ms.expected,
        own_ms: read.own_ms,
        unread_tokens: read.unread_tokens,
        reread_tokens: read.reread_tokens,
        waiting_tokens: read.waiting_tokens,
        gives_way: false,
    })
}

/// Chooses the decode engine for a prompt that was prefilled elsewhere.
///
/// A prefill takes up to seconds, in which engines leave and loads change, so the decode
/// engine is chosen again once it is done.
#[must_use]
pub fn choose_writer(
    weights: &PlacementWeights,
    lines: &EngineLines,
    engines: &[EngineState],
    prompt: &PromptShape,
    rank: u8,
) -> Option<Arc<TargetRecord>> {
    let scene = Scene::new(weights, lines, engines, prompt, rank);
    scene.writer().map(|(engine, _)| engine.record.clone())
}

fn direct_place(way: &ReadWay<'_>, rank: u8) -> EnginePlace {
    EnginePlace {
        reader: None,
        writer: way.engine.record.clone(),
        fetch_from: way.fetch_from.map(|holder| holder.record.clone()),
        rank,
        expected_ms: way.expected_ms,
        own_ms: way.own_ms,
        unread_tokens: way.unread_tokens,
        reread_tokens: way.reread_tokens,
        waiting_tokens: way.waiting_tokens,
        gives_way: false,
    }
}

// Cost of decoding at an engine, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct WriteTime {
    // Time to the first event.
    expected: f64,
    // Expected time plus the cost to other requests.
    cost: f64,
}

struct Scene<'a> {
    weights: &'a PlacementWeights,
    lines: &'a EngineLines,
    engines: &'a [EngineState],
    prompt: &'a PromptShape,
    rank: u8,
    shared_tokens: u32,
    home: Option<&'a EngineState>,
    holder: Option<&'a EngineState>,
}

impl<'a> Scene<'a> {
    fn new(
        weights: &'a PlacementWeights,
        lines: &'a EngineLines,
        engines: &'a [EngineState],
        prompt: &'a PromptShape,
        rank: u8,
    ) -> Self {
        let key = affinity::shared_key(&prompt.parts);
        let home = key.and_then(|key| {
            let sound = engines.iter().filter(|e| !e.health.avoided);
            sound.max_by_key(|e| affinity::home_weight(key, &e.record.id))
        });
        let holders = engines.iter().filter(|e| !e.health.avoided);
        let holder = holders
            .filter(|e| e.ready_tokens > 0)
            .max_by_key(|e| e.ready_tokens);
        Self {
            weights,
            lines,
            engines,
            prompt,
            rank,
            shared_tokens: affinity::shared_tokens(&prompt.parts),
            home,
            holder,
        }
    }

    fn cheapest(&self, fits: impl Fn(&EngineState) -> bool) -> Option<ReadWay<'a>> {
        let ways = self.engines.iter().filter(|e| fits(e));
        ways.map(|engine| self.way(engine))
            .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
    }

    fn way(&self, engine: &'a EngineState) -> ReadWay<'a> {
        let held = engine.held_tokens;
        let most = self.shared_tokens;
        let copyable = self
            .holder
            .map_or(0, |holder| holder.ready_tokens.min(most));
        let copied = copyable.saturating_sub(held);
        let fetch_from = self.holder.filter(|_| copied > 0);
        let unread = self.prompt.prompt_tokens.saturating_sub(held + copied);
        let reread = self.shared_tokens.saturating_sub(held + copied);
        let is_home = self
            .home
            .is_some_and(|home| home.record.id == engine.record.id);
        let weights = self.weights;
        let discount = if is_home { weights.home_discount } else { 0.0 };
        let reread_cost = weights.reread_weight * f64::from(reread) * (1.0 - discount);
        let pace = engine.health.pace;
        let waiting = engine.work.unread_before(self.rank);
        let (line, disturbed, running) = if engine.is_reader() {
            (self.lines.read_ahead, 1.0, 0.0)
        } else {
            let disturbed = 1.0 + weights.disturbance * f64::from(engine.work.running);
            let running = engine.running_ms(weights.running_ms);
            (self.lines.read_here, disturbed, running)
        };
        let own_ms = f64::from(unread) * line.token_ms * pace;
        let waiting_ms = f64::from(waiting) * line.token_ms * pace;
        let expected_ms = line.fixed_ms * pace + own_ms + waiting_ms + engine.trouble_ms();
        let others_ms = (own_ms + reread_cost * pace * line.token_ms) * disturbed - own_ms;
        let copying = f64::from(copied) * weights.copy_ms;
        ReadWay {
            engine,
            fetch_from,
            cost_ms: expected_ms + others_ms + running + copying,
            expected_ms,
            own_ms,
            unread_tokens: unread,
            reread_tokens: reread,
            waiting_tokens: waiting,
        }
    }

    // Returns the decode engine with the least cost for a prompt prefilled elsewhere.
    fn writer(&self) -> Option<(&'a EngineState, WriteTime)> {
        let fits = |e: &&EngineState| !e.is_reader() && e.may_get_work;
        let costs = self.engines.iter().filter(fits).map(|engine| {
            let waiting = f64::from(engine.work.unread_before(self.rank));
            let pace = engine.health.pace;
            let expected = self.lines.take_over.at(waiting) * pace + engine.trouble_ms();
            let copied = self.prompt.prompt_tokens.saturating_sub(engine.held_tokens);
            let copy_ms = f64::from(copied) * self.weights.copy_ms;
            let cost = expected + copy_ms + engine.running_ms(self.weights.running_ms);
            (engine, WriteTime { expected, cost })
        });
        costs.min_by(|a, b| a.1.cost.total_cmp(&b.1.cost))
    }
}
