//! Which engine reads a prompt and which one makes the tokens: a pure choice.
//!
//! Prefill engines read fast and cannot generate; decode engines do both and read
//! slowly beside their other requests. A prompt may be read on a prefill engine
//! and handed over, or read where its tokens are made. Either engine can copy
//! shared parts from one that holds them, which takes milliseconds where reading
//! them again takes hundreds. The choice is the way with the least expected time
//! to the first token, with a price on what costs others.

use std::sync::Arc;

use serde::Deserialize;

use crate::gateway::deciding::TimedWork;
use crate::gateway::deciding::affinity;
use crate::gateway::deciding::engine_model::{EngineLatencies, EngineWork};
use crate::gateway::deciding::health::HealthView;
use crate::gateway::deciding::load::TargetWork;
use crate::gateway::model::{EngineStage, PromptShape, TargetRecord};

/// What a request waits for each one beyond an engine's places, in milliseconds.
const OVERFULL_MS: f64 = 50.0;
/// Cost of an engine that gave no answers lately, in milliseconds.
const AVOIDED_MS: f64 = 20_000.0;
/// Cost of an engine that was avoided and has not answered since.
const UNPROVED_MS: f64 = 300.0;
/// Cost of certain failure, in milliseconds.
const FAILURE_MS: f64 = 1_000.0;

/// Weights of the choice. Times are in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementWeights {
    /// Cost of a copied token: its transfer, its price, and the place that the copy
    /// takes in the cache.
    pub copy_ms: f64,
    /// Weight of shared tokens that are read again, in reading times: they also take
    /// the place of other parts in the cache.
    pub reread_weight: f64,
    /// Part of the cost of reading a shared part that its home is spared, so that
    /// daemons that do not know of each other's choice yet make the same one.
    pub home_discount: f64,
    /// What one more running request costs the next one.
    pub running_ms: f64,
    /// What a reading beside running requests costs each of them, as a share of its
    /// time: all their tokens wait for its pieces.
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

/// One engine as a choice sees it.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// The engine.
    pub record: Arc<TargetRecord>,
    /// Leading tokens of the prompt that it is believed to hold.
    pub held_tokens: u32,
    /// Leading tokens of the prompt that another engine could copy from it.
    pub ready_tokens: u32,
    /// Work outstanding at it.
    pub work: TargetWork,
    /// How it answers.
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
pub struct EnginePlacement {
    /// Engine that reads the prompt for the other; `None` where one does both.
    pub reader: Option<Arc<TargetRecord>>,
    /// Engine that makes the tokens.
    pub writer: Arc<TargetRecord>,
    /// Engine that the reading one copies shared parts from.
    pub fetch_from: Option<Arc<TargetRecord>>,
    /// Rank that it was chosen for.
    pub rank: u8,
    /// Expected time to the first token, in milliseconds.
    pub expected_ms: f64,
    /// Part of it that the request's own reading takes.
    pub own_ms: f64,
    /// Tokens that the reading engine still has to read.
    pub unread_tokens: u32,
    /// Tokens among them that requests share.
    pub reread_tokens: u32,
    /// Tokens of other requests that it reads before.
    pub waiting_tokens: u32,
    /// Whether it gives way to all requests that can still be in time.
    pub gives_way: bool,
}

impl EnginePlacement {
    /// The reading of the prompt at `engine`, as work whose time is taken.
    #[must_use]
    pub fn timed_prefill(&self, engine: &Arc<TargetRecord>) -> TimedWork {
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
    // What the choice goes by: the time and a price on what costs others.
    cost_ms: f64,
    expected_ms: f64,
    own_ms: f64,
    unread_tokens: u32,
    reread_tokens: u32,
    waiting_tokens: u32,
}

/// Chooses engines for a prompt of a rank; `None` without an engine that generates.
#[must_use]
pub fn choose(
    weights: &PlacementWeights,
    lines: &EngineLatencies,
    engines: &[EngineState],
    prompt: &PromptShape,
    rank: u8,
) -> Option<EnginePlacement> {
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
    Some(EnginePlacement {
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

/// Chooses the engine that takes over a prompt which was read elsewhere.
///
/// Reading takes up to seconds, in which engines leave and loads change, so this is
/// asked again once the prompt is read.
#[must_use]
pub fn choose_decode_engine(
    weights: &PlacementWeights,
    lines: &EngineLatencies,
    engines: &[EngineState],
    prompt: &PromptShape,
    rank: u8,
) -> Option<Arc<TargetRecord>> {
    let scene = Scene::new(weights, lines, engines, prompt, rank);
    scene.writer().map(|(engine, _)| engine.record.clone())
}

fn direct_place(way: &ReadWay<'_>, rank: u8) -> EnginePlacement {
    EnginePlacement {
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

// What it costs to make the tokens at an engine, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct WriteTime {
    // To the first event.
    expected: f64,
    // With a price on what it costs others.
    cost: f64,
}

struct Scene<'a> {
    weights: &'a PlacementWeights,
    lines: &'a EngineLatencies,
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
        lines: &'a EngineLatencies,
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
        let waiting = engine.work.prefill_tokens_before(self.rank);
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

    // The decode engine that disturbs a handed-over request least.
    fn writer(&self) -> Option<(&'a EngineState, WriteTime)> {
        let fits = |e: &&EngineState| !e.is_reader() && e.may_get_work;
        let costs = self.engines.iter().filter(fits).map(|engine| {
            let waiting = f64::from(engine.work.prefill_tokens_before(self.rank));
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
