//! What a hub learns from the results that its members report.

use std::sync::Arc;
use std::time::Duration;

use pistachiowick::gateway::deciding::engine_model::EngineWork;
use pistachiowick::gateway::deciding::health::SendResult;
use pistachiowick::gateway::deciding::{DecisionCore, EngineCandidates, PlacementQuery, TimedWork};
use pistachiowick::gateway::model::{EngineStage, PromptShape, TargetRecord};
use pistachiowick::gateway::peers::seen::ObservedResults;
use pistachiowick::names::MonoTime;
use pistachiowick::target_incarnation::TargetIncarnation;
use pistachiowick::target_limits::tracker::TurnOffers;
use rstest::rstest;

mod gateway_samples;

use gateway_samples::engine;

struct ResultsCase {
    /// Target and result of each send, in order.
    results: &'static [(&'static str, SendResult)],
    conclusive: &'static [(&'static str, SendResult)],
}

// A member that loses its own network for a moment gets no response from any engine. A hub
// that relied on its results would avoid engines that serve all other daemons.
#[rstest]
#[case::answers(ResultsCase { results: &[("a", SendResult::Answered), ("b", SendResult::Failed)], conclusive: &[("a", SendResult::Answered), ("b", SendResult::Failed)] })]
#[case::one_unresponsive(ResultsCase { results: &[("a", SendResult::Silent), ("b", SendResult::Answered)], conclusive: &[("a", SendResult::Silent), ("b", SendResult::Answered)] })]
#[case::silent_twice(ResultsCase { results: &[("a", SendResult::Silent), ("a", SendResult::Silent)], conclusive: &[("a", SendResult::Silent)] })]
#[case::cut_off(ResultsCase { results: &[("a", SendResult::Silent), ("b", SendResult::Silent), ("c", SendResult::Silent), ("d", SendResult::Answered)], conclusive: &[("d", SendResult::Answered)] })]
fn results_of_a_member_that_is_cut_off_are_ignored(#[case] case: ResultsCase) {
    let mut seen = ObservedResults::default();
    for (target, result) in case.results {
        seen.note_result(&TargetIncarnation::from(*target), *result);
    }
    let reported: Vec<(&str, SendResult)> = seen
        .conclusive_results()
        .map(|observed| (observed.target.as_str(), observed.result))
        .collect();
    assert_eq!(reported, case.conclusive);
}

fn chosen(core: &DecisionCore, engines: &[Arc<TargetRecord>], now: MonoTime) -> TargetIncarnation {
    let prompt = PromptShape {
        prompt_tokens: 1_460,
        output_tokens: 25,
        ..PromptShape::default()
    };
    let order = PlacementQuery {
        choices: EngineCandidates {
            engines,
            changing: &[],
            excluded: &[],
            turns: &TurnOffers::new(),
            software: None,
            request_bytes: 0,
        },
        prompt: &prompt,
        urgency: 0,
        objective_left: Duration::from_millis(500),
    };
    let place = core.place(&order, now).expect("engines that generate");
    place.decode_engine.id.clone()
}

/// Results of sends to an engine.
struct EngineCase {
    /// Result that two members report, of one send each.
    reported: Option<SendResult>,
    /// Times of the hub's own sends.
    own_ms: &'static [f64],
}

// One of two engines is unresponsive, fails or is slow while a request arrives. The hub that
// chooses the engine sends few requests itself. By the results of its members it avoids an
// engine that is unresponsive or fails. A slow engine it detects by its own sends only, since
// the times of many senders show short-lived queues more than the speed of engines.
#[rstest]
#[case::unresponsive(EngineCase { reported: Some(SendResult::Silent), own_ms: &[] })]
#[case::failing(EngineCase { reported: Some(SendResult::Failed), own_ms: &[] })]
#[case::slow(EngineCase { reported: Some(SendResult::Answered), own_ms: &[2_000.0, 2_000.0] })]
fn a_hub_avoids_engines_by_its_own_and_its_members_results(#[case] case: EngineCase) {
    let engines = ["a", "b"].map(|id| Arc::new(engine(id, EngineStage::Decode)));
    let now = MonoTime(10_000);
    let mut core = DecisionCore::default();
    let first = chosen(&core, &engines, now);
    let faulty = engines.iter().find(|e| e.id == first).expect("one of them");
    for _member in 0..2 {
        let mut seen = ObservedResults::default();
        if let Some(result) = case.reported {
            seen.note_result(&faulty.id, result);
        }
        for observed in seen.conclusive_results() {
            core.note_result(&observed.target, observed.result, now);
        }
    }
    for taken_ms in case.own_ms {
        let timed = TimedWork {
            engine: faulty.clone(),
            work: EngineWork::LocalPrefill,
            tokens: 1_460.0,
        };
        core.note_time(&timed, *taken_ms, now);
    }
    assert_ne!(chosen(&core, &engines, now), first);
}
