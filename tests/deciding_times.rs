//! Times of engines' work, learned from what was seen.

mod gateway_samples;

use std::sync::Arc;
use std::time::Duration;

use gateway_samples::engine;
use pistachiowick::gateway::deciding::affinity::part_key;
use pistachiowick::gateway::deciding::engine_choice::{EnginePlacement, PlacementWeights};
use pistachiowick::gateway::deciding::engine_model::{EngineSpeeds, EngineWork};
use pistachiowick::gateway::deciding::line_fit::{LatencyFit, LinearLatency};
use pistachiowick::gateway::deciding::{DecisionCore, EngineCandidates, PlacementQuery, TimedWork};
use pistachiowick::gateway::model::{EngineStage, PromptPart, PromptShape, TargetRecord};
use pistachiowick::names::{MonoTime, ServiceName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const PRIOR: LinearLatency = LinearLatency {
    fixed_ms: 40.0,
    token_ms: 0.01,
};

struct SpeedCase {
    fixed_ms: f64,
    tokens_a_ms: f64,
    // Times vary by this part in both directions.
    noise: f64,
    // One in so many takes two seconds longer, as when the whole instance pauses.
    pause_in: u32,
}

// Engines of different deployments, read off played days: 10 ms and 220 tokens a ms, 150
// ms and 30 tokens a ms. After fifty requests, a second or two of load, the time of a
// middling prompt is known within a fifth, and of others within a third.
#[rstest]
#[case::fast(SpeedCase { fixed_ms: 10.0, tokens_a_ms: 220.0, noise: 0.2, pause_in: u32::MAX })]
#[case::slow(SpeedCase { fixed_ms: 150.0, tokens_a_ms: 30.0, noise: 0.2, pause_in: u32::MAX })]
#[case::five_times_slower(SpeedCase { fixed_ms: 700.0, tokens_a_ms: 6.0, noise: 0.2, pause_in: u32::MAX })]
#[case::no_fixed_time(SpeedCase { fixed_ms: 0.5, tokens_a_ms: 100.0, noise: 0.2, pause_in: u32::MAX })]
#[case::with_pauses(SpeedCase { fixed_ms: 20.0, tokens_a_ms: 100.0, noise: 0.2, pause_in: 40 })]
fn a_speed_is_learned_from_fifty_requests(#[case] case: SpeedCase) {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut fit = LatencyFit::new(PRIOR);
    let time = |tokens: f64| case.fixed_ms + tokens / case.tokens_a_ms;
    for number in 1..=50_u32 {
        let tokens = rng.random_range(200.0..20_000.0);
        let noise = rng.random_range(1.0 - case.noise..1.0 + case.noise);
        let pause = if number % case.pause_in == 0 {
            2_000.0
        } else {
            0.0
        };
        fit.note(tokens, time(tokens) * noise + pause);
    }
    let ratio = |tokens: f64| fit.line().at(tokens) / time(tokens);
    let (middling, short, long) = (ratio(8_000.0), ratio(1_500.0), ratio(20_000.0));
    assert!((0.8..1.2).contains(&middling), "{middling}");
    assert!((0.67..1.5).contains(&short), "{short}");
    assert!((0.67..1.5).contains(&long), "{long}");
}

// Engines turn four times slower. Some seconds later the line says so.
#[test]
fn a_slow_down_is_followed() {
    let mut fit = LatencyFit::new(PRIOR);
    let mut rng = SmallRng::seed_from_u64(8);
    let mut note = |fit: &mut LatencyFit, token_ms: f64, times: u32| {
        for _ in 0..times {
            let tokens = rng.random_range(500.0..10_000.0);
            fit.note(tokens, 20.0 + tokens * token_ms);
        }
    };
    note(&mut fit, 0.01, 200);
    note(&mut fit, 0.04, 150);
    let line = fit.line();
    assert!((0.03..0.05).contains(&line.token_ms), "{line:?}");
}

// All requests are of one size, so nothing tells the fixed part from the tokens' one.
#[test]
fn times_of_one_size_are_known_at_that_size() {
    let mut fit = LatencyFit::new(PRIOR);
    (0..100).for_each(|_| fit.note(3_000.0, 90.0));
    let at = fit.line().at(3_000.0);
    assert!((85.0..95.0).contains(&at), "{at}");
}

#[test]
fn a_line_never_runs_downhill_nor_begins_below_zero() {
    let mut fit = LatencyFit::new(PRIOR);
    for number in 0..200 {
        let tokens = f64::from(number % 10) * 1_000.0;
        fit.note(tokens, 400.0 - tokens / 30.0);
    }
    let line = fit.line();
    assert!(line.token_ms > 0.0 && line.fixed_ms > 0.0, "{line:?}");
}

#[test]
fn services_and_kinds_of_work_are_learned_apart() {
    let mut book = EngineSpeeds::default();
    let (fast, slow) = (ServiceName::from("fast"), ServiceName::from("slow"));
    for number in 0..60_u32 {
        let tokens = f64::from(number) * 100.0;
        book.note(&fast, EngineWork::ReadAhead, tokens, 10.0 + tokens / 200.0);
        book.note(&slow, EngineWork::ReadAhead, tokens, 100.0 + tokens / 20.0);
    }
    let at = |service, work| book.line(service, work).at(4_000.0);
    assert!(at(&fast, EngineWork::ReadAhead) < 40.0);
    assert!(at(&slow, EngineWork::ReadAhead) > 250.0);
    let untouched = EngineSpeeds::default().line(&fast, EngineWork::TakeOver);
    assert_eq!(book.line(&fast, EngineWork::TakeOver), untouched);
}

struct Bench {
    core: DecisionCore,
    engines: Vec<Arc<TargetRecord>>,
}

impl Bench {
    fn new(readers: usize, writers: usize) -> Self {
        let readers = (0..readers).map(|n| engine(&format!("p{n}"), EngineStage::Prefill));
        let writers = (0..writers).map(|n| engine(&format!("d{n}"), EngineStage::Decode));
        let mut core = DecisionCore::new(PlacementWeights::default());
        core.caches.set_capacity(800_000);
        Self {
            core,
            engines: readers.chain(writers).map(Arc::new).collect(),
        }
    }

    fn place(&self, own: u32, objective_ms: u64) -> EnginePlacement {
        let prompt = PromptShape {
            model: "m".to_owned(),
            prompt_tokens: own,
            output_tokens: 100,
            parts: vec![PromptPart {
                key: part_key("own"),
                tokens: own,
            }],
        };
        let order = PlacementQuery {
            choices: EngineCandidates {
                engines: &self.engines,
                changing: &[],
                excluded: &[],
            },
            prompt: &prompt,
            urgency: 1,
            objective_left: Duration::from_millis(objective_ms),
        };
        self.core.place(&order, MonoTime(1_000)).expect("a place")
    }

    // Readings and first events of engines that read so many tokens a ms.
    fn learn(&mut self, fixed_ms: f64, reader_rate: f64, writer_rate: f64) {
        for number in 0..80_u32 {
            let tokens = f64::from(number % 20) * 800.0;
            for (at, engine) in self.engines.clone().into_iter().enumerate() {
                let reads = engine.stage == Some(EngineStage::Prefill);
                let (work, rate) = if reads {
                    (EngineWork::ReadAhead, reader_rate)
                } else if at % 2 == 0 {
                    (EngineWork::TakeOver, writer_rate)
                } else {
                    (EngineWork::ReadHere, writer_rate)
                };
                let timed = TimedWork {
                    engine,
                    work,
                    tokens,
                };
                let taken = fixed_ms + tokens / rate;
                self.core.note_time(&timed, taken, MonoTime(1));
            }
        }
    }
}

// Readers have 40,000 tokens to read each, and so have the writers. On engines that read
// 300 tokens a ms this is 130 ms, within the objective of 200; with the speed of a slower
// deployment for a constant it was taken for a second, and such requests were sent to the
// end of the queue, or refused.
#[test]
fn a_request_that_fast_engines_serve_in_time_does_not_give_way() {
    let mut bench = Bench::new(3, 3);
    bench.learn(10.0, 300.0, 150.0);
    for engine in bench.engines.clone() {
        bench.core.load.begin(&engine.id, 1, 20_000);
    }
    let place = bench.place(3_000, 200);
    assert!(!place.gives_way, "{place:?}");
    assert!(place.expected_ms < 200.0, "{place:?}");
}

#[test]
fn a_request_that_slow_engines_serve_too_late_gives_way() {
    let mut bench = Bench::new(3, 3);
    bench.learn(150.0, 30.0, 15.0);
    for engine in bench.engines.clone() {
        bench.core.load.begin(&engine.id, 1, 20_000);
    }
    let place = bench.place(3_000, 200);
    assert!(place.gives_way, "{place:?}");
    assert!(place.rank > 1);
}

// One engine of three takes three times as long as the others for the same work.
#[test]
fn a_slow_engine_gets_less_work() {
    let mut bench = Bench::new(3, 2);
    bench.learn(20.0, 100.0, 50.0);
    let slow = bench.engines[0].clone();
    for _ in 0..20 {
        let timed = TimedWork {
            engine: slow.clone(),
            work: EngineWork::ReadAhead,
            tokens: 4_000.0,
        };
        bench.core.note_time(&timed, 180.0, MonoTime(2));
    }
    let reader = bench.place(8_000, 1_000).reader.expect("a reader");
    assert_ne!(reader.id, slow.id);
}
