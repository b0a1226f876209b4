//! Daemons that choose among engines in virtual time, for tests of decisions under load.
//!
//! An engine reads prompts one after the other at its speed. Each daemon has a decision
//! core of its own and hears of the others' work by hints, as often as the test says.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use pistachiowick::gateway::deciding::affinity::part_key;
use pistachiowick::gateway::deciding::engine_choice::{EnginePlacement, PlacementWeights};
use pistachiowick::gateway::deciding::health::SendResult;
use pistachiowick::gateway::deciding::{DecisionCore, EngineCandidates, PlacementQuery};
use pistachiowick::gateway::model::{EngineStage, PromptPart, PromptShape, TargetRecord};
use pistachiowick::names::{DaemonId, MonoTime};
use pistachiowick::target_incarnation::TargetIncarnation;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// An engine as it is, whatever daemons believe of it.
#[derive(Clone, Copy, Debug)]
pub struct FakeEngine {
    /// Time of a reading beside its tokens.
    pub fixed_ms: f64,
    /// Tokens read in a millisecond.
    pub rate: f64,
    /// From when to when it gives no answers.
    pub dark: Option<(f64, f64)>,
}

/// A world of daemons and engines.
#[derive(Clone, Debug)]
pub struct WorldPlan {
    /// Daemons that callers' requests reach by turns.
    pub daemons: usize,
    /// Time between two hints, in milliseconds.
    pub hint_ms: f64,
    /// Engines that read prompts for the writers.
    pub readers: Vec<FakeEngine>,
    /// Requests in a second.
    pub per_second: f64,
    /// Least and most tokens of a prompt.
    pub tokens: (u32, u32),
    /// Time for the first event, in milliseconds.
    pub objective_ms: u64,
    /// Length of the run, in seconds.
    pub seconds: f64,
}

/// What became of the requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorldTally {
    /// All of them.
    pub requests: u32,
    /// Read within the objective.
    pub in_time: u32,
    /// Sent to an engine that gave no answers.
    pub lost: u32,
}

struct RunningRead {
    end_ms: f64,
    sent_ms: f64,
    daemon: usize,
    place: EnginePlacement,
    lost: bool,
}

/// Time after which a daemon gives up a reading, as the gateway does.
const READ_WAIT_MS: f64 = 1_500.0;
/// Step of the virtual time, in milliseconds.
const STEP_MS: f64 = 1.0;

struct World {
    plan: WorldPlan,
    cores: Vec<DecisionCore>,
    engines: Vec<Arc<TargetRecord>>,
    free_at: IndexMap<TargetIncarnation, f64>,
    reads: Vec<RunningRead>,
    tally: WorldTally,
    last_key: u64,
}

/// Plays a world; the same seed gives the same run.
pub fn play(plan: &WorldPlan, seed: u64) -> WorldTally {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::new(plan.clone());
    let (mut now, mut next_hint, mut turn) = (0.0, 0.0, 0);
    while now < plan.seconds * 1_000.0 {
        world.end_reads(now);
        if now >= next_hint {
            world.hint(now);
            next_hint += plan.hint_ms;
        }
        if rng.random::<f64>() < plan.per_second * STEP_MS / 1_000.0 {
            let tokens = rng.random_range(plan.tokens.0..=plan.tokens.1);
            world.arrive(turn % plan.daemons, tokens, now);
            turn += 1;
        }
        now += STEP_MS;
    }
    world.tally
}

impl World {
    fn new(plan: WorldPlan) -> Self {
        let readers = (0..plan.readers.len()).map(|n| engine(n, "p", EngineStage::Prefill));
        let writers = (0..3).map(|n| engine(n, "d", EngineStage::Decode));
        let mut core = DecisionCore::new(PlacementWeights::default());
        core.caches.set_capacity(800_000);
        // The load of the writers is not what is looked at: readings there are dear.
        core.weights.disturbance = 1_000.0;
        let cores = (0..plan.daemons).map(|_| {
            let mut core = DecisionCore::new(core.weights);
            core.caches.set_capacity(800_000);
            core
        });
        Self {
            cores: cores.collect(),
            engines: readers.chain(writers).map(Arc::new).collect(),
            free_at: IndexMap::new(),
            reads: Vec::new(),
            tally: WorldTally::default(),
            last_key: 0,
            plan,
        }
    }

    fn arrive(&mut self, daemon: usize, tokens: u32, now: f64) {
        self.last_key += 1;
        let prompt = prompt(self.last_key, tokens);
        let order = PlacementQuery {
            choices: EngineCandidates {
                engines: &self.engines,
                changing: &[],
                excluded: &[],
            },
            prompt: &prompt,
            urgency: 0,
            objective_left: Duration::from_millis(self.plan.objective_ms),
        };
        let place = self.cores[daemon].place(&order, at(now)).expect("a place");
        self.tally.requests += 1;
        let Some(reader) = place.reader.clone() else {
            return;
        };
        let number: usize = reader.id.as_str()[1..].parse().expect("a number");
        let fake = self.plan.readers[number];
        let load = &mut self.cores[daemon].load;
        load.begin(&reader.id, place.rank, place.unread_tokens);
        let dark = fake
            .dark
            .is_some_and(|(from, to)| (from..to).contains(&now));
        let free_at = self.free_at.entry(reader.id.clone()).or_default();
        let end_ms = if dark {
            now + READ_WAIT_MS
        } else {
            *free_at = free_at.max(now) + f64::from(tokens) / fake.rate;
            *free_at + fake.fixed_ms
        };
        self.reads.push(RunningRead {
            end_ms,
            sent_ms: now,
            daemon,
            place,
            lost: dark,
        });
    }

    fn end_reads(&mut self, now: f64) {
        let (ended, going) = std::mem::take(&mut self.reads)
            .into_iter()
            .partition(|read| read.end_ms <= now);
        self.reads = going;
        for read in ended {
            self.end_read(&read, now);
        }
    }

    fn end_read(&mut self, read: &RunningRead, now: f64) {
        let reader = read.place.reader.as_ref().expect("a reader");
        let core = &mut self.cores[read.daemon];
        core.load
            .end(&reader.id, read.place.rank, read.place.unread_tokens);
        if read.lost {
            core.note_result(&reader.id, SendResult::Silent, at(now));
            self.tally.lost += 1;
            return;
        }
        let taken = read.end_ms - read.sent_ms;
        core.note_result(&reader.id, SendResult::Answered, at(now));
        core.note_time(&read.place.timed_prefill(reader), taken, at(now));
        if taken <= self.plan.objective_ms as f64 {
            self.tally.in_time += 1;
        }
    }

    fn hint(&mut self, now: f64) {
        let work: Vec<_> = self.cores.iter().map(|c| c.load.own().clone()).collect();
        for (own, core) in self.cores.iter_mut().enumerate() {
            for (other, work) in work.iter().enumerate().filter(|(other, _)| *other != own) {
                let id = DaemonId::from(format!("n{other}"));
                core.load.set_peer_work(id, work.clone(), at(now));
            }
        }
    }
}

fn at(now: f64) -> MonoTime {
    MonoTime(60_000 + now as u64)
}

fn engine(number: usize, kind: &str, stage: EngineStage) -> TargetRecord {
    super::gateway_samples::engine(&format!("{kind}{number}"), stage)
}

fn prompt(key: u64, tokens: u32) -> PromptShape {
    PromptShape {
        model: "m".to_owned(),
        prompt_tokens: tokens,
        output_tokens: 50,
        parts: vec![PromptPart {
            key: part_key(&key.to_string()),
            tokens,
        }],
    }
}
