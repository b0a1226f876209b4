//! What is known of targets that failed or were slow, in virtual time.

mod gateway_samples;

use std::sync::Arc;
use std::time::Duration;

use gateway_samples::{engine, target};
use pistachiowick::gateway::deciding::engine_choice::PlacementWeights;
use pistachiowick::gateway::deciding::engine_model::EngineWork;
use pistachiowick::gateway::deciding::health::SendResult;
use pistachiowick::gateway::deciding::{DecisionCore, EngineCandidates, PlacementQuery, TimedWork};
use pistachiowick::gateway::model::{EngineStage, PromptShape, TargetRecord};
use pistachiowick::names::MonoTime;
use pistachiowick::target_limits::tracker::TurnOffers;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Interval between requests, and time for which the first target fails all of them.
const REQUEST_INTERVAL_MS: u64 = 50;
const FAILING_MS: u64 = 11_000;
/// Time after its last failure within which a target gets a request again.
const REUSE_MS: u64 = 20_000;
/// Most of the requests that the failing target gets: the others have room for all.
const MAX_FAILING_SHARE: f64 = 0.15;

struct FailureCase {
    targets: [TargetRecord; 2],
    result: SendResult,
}

impl FailureCase {
    fn plain(result: SendResult) -> Self {
        let targets = ["a", "b"].map(|id| target(id, "127.0.0.1:1"));
        Self { targets, result }
    }

    fn engines(result: SendResult) -> Self {
        let targets = ["a", "b"].map(|id| engine(id, EngineStage::Decode));
        Self { targets, result }
    }
}

fn choose(
    core: &DecisionCore,
    targets: &[Arc<TargetRecord>],
    rng: &mut SmallRng,
    now: MonoTime,
) -> Arc<TargetRecord> {
    let turns = TurnOffers::new();
    if targets[0].stage.is_none() {
        let chosen = core.choose_plain_target(targets.iter(), (&turns, 0), || rng.random(), now);
        return chosen.expect("a target");
    }
    let prompt = PromptShape {
        prompt_tokens: rng.random_range(100..2_000),
        ..PromptShape::default()
    };
    let query = PlacementQuery {
        choices: EngineCandidates {
            engines: targets,
            changing: &[],
            excluded: &[],
            turns: &turns,
            software: None,
            request_bytes: 0,
        },
        prompt: &prompt,
        urgency: 1,
        objective_left: Duration::from_millis(500),
    };
    core.place(&query, now).expect("engines").decode_engine
}

// Guards against a target that failed for a while and gets no request ever after, because only
// the result of a further request changed what was known of it.
#[rstest]
#[case::plain_refusals(FailureCase::plain(SendResult::Failed))]
#[case::plain_silence(FailureCase::plain(SendResult::Silent))]
#[case::engine_refusals(FailureCase::engines(SendResult::Failed))]
#[case::engine_silence(FailureCase::engines(SendResult::Silent))]
fn a_target_that_failed_for_a_while_is_used_again(#[case] case: FailureCase) {
    let mut core = DecisionCore::new(PlacementWeights::default());
    let mut rng = SmallRng::seed_from_u64(7);
    let targets = case.targets.map(Arc::new);
    let (mut failed, mut reused, mut last_failure) = (0, None, 0);
    for now in (0..FAILING_MS + REUSE_MS).step_by(REQUEST_INTERVAL_MS as usize) {
        let chosen = choose(&core, &targets, &mut rng, MonoTime(now));
        let fails = chosen.id == targets[0].id && now < FAILING_MS;
        if fails {
            failed += 1;
            last_failure = now;
        } else if chosen.id == targets[0].id {
            reused = reused.or(Some(now));
        }
        let result = if fails {
            case.result
        } else {
            SendResult::Answered
        };
        core.note_result(&chosen.id, result, MonoTime(now));
        // The other target always has some work of other daemons.
        if now == 0 {
            core.load.begin(&targets[1].id, 0, 0);
        }
    }
    let share = f64::from(failed) * REQUEST_INTERVAL_MS as f64 / FAILING_MS as f64;
    assert!(failed > 0);
    assert!(share <= MAX_FAILING_SHARE, "{failed} requests failed");
    let reused = reused.unwrap_or(u64::MAX);
    assert!(
        reused <= last_failure + REUSE_MS,
        "last failed at {last_failure}, used again at {reused}"
    );
}

/// Time that every engine takes for a request.
const TAKEN_MS: f64 = 100.0;
/// Most by which engines of the same speed may differ for having been measured at different times.
const MAX_SPEED_DIFFERENCE: f64 = 0.05;

// Guards against holding targets for silent after a partition of this daemon, when all of them
// can be reached again.
#[test]
fn failures_during_a_partition_are_forgiven() {
    let targets = ["a", "b", "c"].map(|id| Arc::new(target(id, "127.0.0.1:1")));
    let mut core = DecisionCore::new(PlacementWeights::default());
    let (failed_before, partitioned, now) = (MonoTime(900), MonoTime(1_000), MonoTime(1_200));
    for _ in 0..4 {
        core.note_result(&targets[0].id, SendResult::Silent, failed_before);
        core.note_result(&targets[1].id, SendResult::Silent, now);
        core.note_result(&targets[2].id, SendResult::Failed, now);
    }
    for target in &targets {
        core.forgive(&target.id, partitioned);
    }
    let mut rng = SmallRng::seed_from_u64(3);
    let mut chosen = [0; 3];
    for _ in 0..300 {
        let target = choose(
            &core,
            &targets,
            &mut rng,
            now.plus(Duration::from_millis(10)),
        );
        let number = targets.iter().position(|known| known.id == target.id);
        chosen[number.expect("a known target")] += 1;
    }
    assert_eq!(chosen[0], 0, "it had failed before: {chosen:?}");
    assert!(chosen[1] > 60 && chosen[2] > 60, "{chosen:?}");
}

fn timed(engine: &Arc<TargetRecord>) -> TimedWork {
    TimedWork {
        engine: engine.clone(),
        work: EngineWork::LocalPrefill,
        tokens: 100.0,
    }
}

// Guards against an engine that gets no requests because the first of all were timed there,
// when nothing was known of the speed of its service.
#[test]
fn an_engine_that_is_timed_first_does_not_count_as_slow() {
    let mut core = DecisionCore::new(PlacementWeights::default());
    let engines = ["a", "b", "c"].map(|id| Arc::new(engine(id, EngineStage::Decode)));
    for engine in &engines {
        core.note_time(&timed(engine), TAKEN_MS, MonoTime(1));
    }
    for _ in 0..40 {
        for engine in &engines[1..] {
            core.note_time(&timed(engine), TAKEN_MS, MonoTime(2));
        }
    }
    let slowdowns = engines.map(|engine| core.health.view(&engine.id, MonoTime(3)).slowdown);
    let difference = slowdowns[0] - slowdowns[1].min(slowdowns[2]);
    assert!(difference <= MAX_SPEED_DIFFERENCE, "{slowdowns:?}");
}

/// Time for which the first engine is slow, and time that it takes for a request then.
const SLOW_MS: u64 = 10_000;
const SLOW_TAKEN_MS: f64 = 400.0;
/// Time after its last slow answer within which an engine gets a request again.
const SLOW_REUSE_MS: u64 = 300_000;
/// Most of the requests that the slow engine gets: the other has room for all.
const MAX_SLOW_SHARE: f64 = 0.15;

// Guards against an engine that was slow for a while and gets no request ever after, because
// only a further request changed what was known of its speed.
#[test]
fn an_engine_that_was_slow_for_a_while_is_used_again() {
    let mut core = DecisionCore::new(PlacementWeights::default());
    let mut rng = SmallRng::seed_from_u64(7);
    let engines = ["a", "b"].map(|id| Arc::new(engine(id, EngineStage::Decode)));
    for engine in engines.iter().cycle().take(100) {
        core.note_time(&timed(engine), TAKEN_MS, MonoTime(0));
    }
    // The other engine always has some work of other daemons.
    core.load.begin(&engines[1].id, 0, 0);
    let (mut slow, mut reused, mut last_slow) = (0, None, 0);
    for now in (0..SLOW_MS + SLOW_REUSE_MS).step_by(REQUEST_INTERVAL_MS as usize) {
        let chosen = choose(&core, &engines, &mut rng, MonoTime(now));
        let is_slow = chosen.id == engines[0].id && now < SLOW_MS;
        if is_slow {
            slow += 1;
            last_slow = now;
        } else if chosen.id == engines[0].id {
            reused = reused.or(Some(now));
        }
        let taken = if is_slow { SLOW_TAKEN_MS } else { TAKEN_MS };
        core.note_time(&timed(&chosen), taken, MonoTime(now));
    }
    let share = f64::from(slow) * REQUEST_INTERVAL_MS as f64 / SLOW_MS as f64;
    assert!(slow > 0);
    assert!(share <= MAX_SLOW_SHARE, "{slow} requests were slow");
    let reused = reused.unwrap_or(u64::MAX);
    assert!(
        reused <= last_slow + SLOW_REUSE_MS,
        "last slow at {last_slow}, used again at {reused}"
    );
}
