//! Simulation of daemons that place requests on engines, in virtual time.
//!
//! An engine prefills prompts one after the other at its speed. Each daemon has its own
//! decision core and learns of its peers' work from hints sent at a given interval.
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
use pistachiowick::target_limits::tracker::TurnOffers;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Actual behaviour of an engine, independent of the daemons' estimates.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedEngine {
    /// Time of a prefill independent of its tokens.
    pub fixed_ms: f64,
    /// Tokens prefilled per millisecond.
    pub rate: f64,
    /// Start and end, in milliseconds, of the time in which it does not answer.
    pub unresponsive: Option<(f64, f64)>,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationPlan {
    /// Number of daemons, which receive requests in round-robin order.
    pub daemons: usize,
    /// Interval between hints, in milliseconds.
    pub hint_ms: f64,
    /// Prefill engines.
    pub prefill_engines: Vec<SimulatedEngine>,
    /// Requests per second.
    pub requests_per_second: f64,
    /// Minimum and maximum tokens of a prompt.
    pub tokens: (u32, u32),
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Length of the run, in seconds.
    pub seconds: f64,
}

/// Outcome of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimulationTally {
    /// Number of requests.
    pub requests: u32,
    /// Requests prefilled within the objective.
    pub in_time: u32,
    /// Requests sent to an engine that did not answer.
    pub lost: u32,
}

struct RunningPrefill {
    end_ms: f64,
    sent_ms: f64,
    daemon: usize,
    place: EnginePlacement,
    lost: bool,
}

/// Time-out of a prefill, as in the gateway.
const PREFILL_TIMEOUT_MS: f64 = 1_500.0;
/// Step of the virtual time, in milliseconds.
const STEP_MS: f64 = 1.0;

struct Simulation {
    plan: SimulationPlan,
    cores: Vec<DecisionCore>,
    engines: Vec<Arc<TargetRecord>>,
    free_at: IndexMap<TargetIncarnation, f64>,
    prefills: Vec<RunningPrefill>,
    tally: SimulationTally,
    last_key: u64,
}

/// Runs a simulation; the same seed gives the same run.
pub fn simulate(plan: &SimulationPlan, seed: u64) -> SimulationTally {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut simulation = Simulation::new(plan.clone());
    let (mut now, mut next_hint, mut turn) = (0.0, 0.0, 0);
    while now < plan.seconds * 1_000.0 {
        simulation.end_prefills(now);
        if now >= next_hint {
            simulation.hint(now);
            next_hint += plan.hint_ms;
        }
        if rng.random::<f64>() < plan.requests_per_second * STEP_MS / 1_000.0 {
            let tokens = rng.random_range(plan.tokens.0..=plan.tokens.1);
            simulation.arrive(turn % plan.daemons, tokens, now);
            turn += 1;
        }
        now += STEP_MS;
    }
    simulation.tally
}

impl Simulation {
    fn new(plan: SimulationPlan) -> Self {
        let prefill_engines =
            (0..plan.prefill_engines.len()).map(|n| engine(n, "p", EngineStage::Prefill));
        let decode_engines = (0..3).map(|n| engine(n, "d", EngineStage::Decode));
        let mut core = DecisionCore::new(PlacementWeights::default());
        core.caches.set_capacity(800_000);
        // Only prefill engines are under test: prefills on decode engines are expensive.
        core.weights.interference = 1_000.0;
        let cores = (0..plan.daemons).map(|_| {
            let mut core = DecisionCore::new(core.weights);
            core.caches.set_capacity(800_000);
            core
        });
        Self {
            cores: cores.collect(),
            engines: prefill_engines
                .chain(decode_engines)
                .map(Arc::new)
                .collect(),
            free_at: IndexMap::new(),
            prefills: Vec::new(),
            tally: SimulationTally::default(),
            last_key: 0,
            plan,
        }
    }

    fn arrive(&mut self, daemon: usize, tokens: u32, now: f64) {
        self.last_key += 1;
        let prompt = prompt(self.last_key, tokens);
        let query = PlacementQuery {
            choices: EngineCandidates {
                engines: &self.engines,
                changing: &[],
                excluded: &[],
                turns: &TurnOffers::new(),
                software: None,
                request_bytes: 0,
            },
            prompt: &prompt,
            urgency: 0,
            objective_left: Duration::from_millis(self.plan.objective_ms),
        };
        let place = self.cores[daemon]
            .place(&query, at(now))
            .expect("a placement");
        self.tally.requests += 1;
        let Some(prefill_engine) = place.prefill_engine.clone() else {
            return;
        };
        let number: usize = prefill_engine.id.as_str()[1..].parse().expect("a number");
        let simulated = self.plan.prefill_engines[number];
        let load = &mut self.cores[daemon].load;
        load.begin(&prefill_engine.id, place.rank, place.pending_prefill_tokens);
        let unresponsive = simulated
            .unresponsive
            .is_some_and(|(from, to)| (from..to).contains(&now));
        let free_at = self.free_at.entry(prefill_engine.id.clone()).or_default();
        let end_ms = if unresponsive {
            now + PREFILL_TIMEOUT_MS
        } else {
            *free_at = free_at.max(now) + f64::from(tokens) / simulated.rate;
            *free_at + simulated.fixed_ms
        };
        self.prefills.push(RunningPrefill {
            end_ms,
            sent_ms: now,
            daemon,
            place,
            lost: unresponsive,
        });
    }

    fn end_prefills(&mut self, now: f64) {
        let (ended, going) = std::mem::take(&mut self.prefills)
            .into_iter()
            .partition(|prefill| prefill.end_ms <= now);
        self.prefills = going;
        for prefill in ended {
            self.end_prefill(&prefill, now);
        }
    }

    fn end_prefill(&mut self, prefill: &RunningPrefill, now: f64) {
        let prefill_engine = prefill
            .place
            .prefill_engine
            .as_ref()
            .expect("a prefill engine");
        let core = &mut self.cores[prefill.daemon];
        core.load.end(
            &prefill_engine.id,
            prefill.place.rank,
            prefill.place.pending_prefill_tokens,
        );
        if prefill.lost {
            core.note_result(&prefill_engine.id, SendResult::Silent, at(now));
            self.tally.lost += 1;
            return;
        }
        let taken = prefill.end_ms - prefill.sent_ms;
        core.note_result(&prefill_engine.id, SendResult::Answered, at(now));
        core.note_time(&prefill.place.timed_prefill(prefill_engine), taken, at(now));
        if taken <= self.plan.objective_ms as f64 {
            self.tally.in_time += 1;
        }
    }

    fn hint(&mut self, now: f64) {
        let work: Vec<_> = self.cores.iter().map(|c| c.load.local().clone()).collect();
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
