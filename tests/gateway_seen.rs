//! What a hub learns from what its members saw.

use std::sync::Arc;
use std::time::Duration;

use pistachiowick::gateway::deciding::engine_model::EngineWork;
use pistachiowick::gateway::deciding::health::SendResult;
use pistachiowick::gateway::deciding::{DecisionCore, EngineChoices, PlaceOrder, TimedWork};
use pistachiowick::gateway::model::{EngineStage, PromptShape, TargetRecord};
use pistachiowick::gateway::peers::seen::SeenWork;
use pistachiowick::names::MonoTime;
use pistachiowick::target_life::TargetLife;
use rstest::rstest;

mod gateway_samples;

use gateway_samples::engine;

struct TellingCase {
    /// Target and what became of a send to it, in the order of the sends.
    results: &'static [(&'static str, SendResult)],
    telling: &'static [(&'static str, SendResult)],
}

// A member loses its own network for a moment and hears nothing of any engine. A hub that
// took its word would avoid engines that serve everybody else.
#[rstest]
#[case::answers(TellingCase { results: &[("a", SendResult::Answered), ("b", SendResult::Failed)], telling: &[("a", SendResult::Answered), ("b", SendResult::Failed)] })]
#[case::one_dark(TellingCase { results: &[("a", SendResult::Silent), ("b", SendResult::Answered)], telling: &[("a", SendResult::Silent), ("b", SendResult::Answered)] })]
#[case::silent_twice(TellingCase { results: &[("a", SendResult::Silent), ("a", SendResult::Silent)], telling: &[("a", SendResult::Silent)] })]
#[case::cut_off(TellingCase { results: &[("a", SendResult::Silent), ("b", SendResult::Silent), ("c", SendResult::Silent), ("d", SendResult::Answered)], telling: &[("d", SendResult::Answered)] })]
fn a_member_that_is_cut_off_says_nothing_of_engines(#[case] case: TellingCase) {
    let mut seen = SeenWork::default();
    for (target, result) in case.results {
        seen.note_result(&TargetLife::from(*target), *result);
    }
    let told: Vec<(&str, SendResult)> = seen
        .conclusive_results()
        .map(|note| (note.target.as_str(), note.result))
        .collect();
    assert_eq!(told, case.telling);
}

fn chosen(core: &DecisionCore, engines: &[Arc<TargetRecord>], now: MonoTime) -> TargetLife {
    let prompt = PromptShape {
        prompt_tokens: 1_460,
        output_tokens: 25,
        ..PromptShape::default()
    };
    let order = PlaceOrder {
        choices: EngineChoices {
            engines,
            changing: &[],
            excluded: &[],
        },
        prompt: &prompt,
        urgency: 0,
        objective_left: Duration::from_millis(500),
    };
    let place = core.place(&order, now).expect("engines that generate");
    place.writer.id.clone()
}

/// Who saw what of an engine.
struct SawCase {
    /// What two members tell of a send each.
    told: Option<SendResult>,
    /// Times of the hub's own sends.
    own_ms: &'static [f64],
}

// A lane summary comes in while one of two engines has turned dark, fails, or has turned
// slow. The hub that places it sends little itself. Members' results lead it past the first
// two; a slow engine it learns of by its own sends, since times of many senders at once show
// passing queues more than engines.
#[rstest]
#[case::dark(SawCase { told: Some(SendResult::Silent), own_ms: &[] })]
#[case::failing(SawCase { told: Some(SendResult::Failed), own_ms: &[] })]
#[case::slow(SawCase { told: Some(SendResult::Answered), own_ms: &[2_000.0, 2_000.0] })]
fn a_hub_places_by_what_it_and_its_members_saw(#[case] case: SawCase) {
    let engines = ["a", "b"].map(|id| Arc::new(engine(id, EngineStage::Decode)));
    let now = MonoTime(10_000);
    let mut core = DecisionCore::default();
    let first = chosen(&core, &engines, now);
    let troubled = engines.iter().find(|e| e.id == first).expect("one of them");
    for _member in 0..2 {
        let mut seen = SeenWork::default();
        if let Some(result) = case.told {
            seen.note_result(&troubled.id, result);
        }
        for note in seen.conclusive_results() {
            core.note_result(&note.target, note.result, now);
        }
    }
    for taken_ms in case.own_ms {
        let timed = TimedWork {
            engine: troubled.clone(),
            work: EngineWork::ReadHere,
            tokens: 1_460.0,
        };
        core.note_time(&timed, *taken_ms, now);
    }
    assert_ne!(chosen(&core, &engines, now), first);
}
