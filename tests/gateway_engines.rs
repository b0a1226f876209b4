//! Which engines serve a prompt, and how many of them read.

mod gateway_samples;

use std::sync::Arc;

use gateway_samples::engine;
use pistachiowick::gateway::deciding::affinity::part_key;
use pistachiowick::gateway::deciding::engine_choice::{
    EngineState, PlacementWeights, choose, choose_decode_engine,
};
use pistachiowick::gateway::deciding::engine_model::EngineLatencies;
use pistachiowick::gateway::deciding::health::{HealthTracker, HealthView};
use pistachiowick::gateway::deciding::line_fit::LinearLatency;
use pistachiowick::gateway::deciding::load::{LoadTracker, TargetWork};
use pistachiowick::gateway::deciding::stage_plan::{prefill_engine_count, wishes};
use pistachiowick::gateway::model::{EngineStage, PromptPart, PromptShape, TargetRecord};
use pistachiowick::names::MonoTime;
use pistachiowick::target_incarnation::TargetIncarnation;
use rstest::rstest;

// Engines that read 42 tokens a ms for others and 20 beside their own requests.
fn lines() -> EngineLatencies {
    let line = |fixed_ms, tokens_a_ms: f64| LinearLatency {
        fixed_ms,
        token_ms: 1.0 / tokens_a_ms,
    };
    EngineLatencies {
        read_ahead: line(95.0, 42.0),
        read_here: line(95.0, 20.0),
        take_over: line(20.0, 20.0),
    }
}

fn state(id: &str, stage: EngineStage) -> EngineState {
    EngineState {
        record: Arc::new(engine(id, stage)),
        held_tokens: 0,
        ready_tokens: 0,
        work: TargetWork::default(),
        health: healthy(),
        may_get_work: true,
    }
}

fn healthy() -> HealthView {
    HealthTracker::default().view(&TargetIncarnation::from("new"), MonoTime(0))
}

fn work(running: u32, unread: u32) -> TargetWork {
    let target = TargetIncarnation::from("t");
    let mut load = LoadTracker::default();
    load.begin(&target, 1, unread);
    (1..running).for_each(|_| load.begin(&target, 1, 0));
    load.total(&target)
}

fn prompt(shared: u32, own: u32) -> PromptShape {
    PromptShape {
        model: "m".to_owned(),
        prompt_tokens: shared + own,
        output_tokens: 100,
        parts: vec![
            PromptPart {
                key: part_key("shared"),
                tokens: shared,
            },
            PromptPart {
                key: part_key("own"),
                tokens: own,
            },
        ],
    }
}

fn held(mut state: EngineState, tokens: u32) -> EngineState {
    state.held_tokens = tokens;
    state.ready_tokens = tokens;
    state
}

#[test]
fn a_long_prompt_is_read_on_a_prefill_engine_and_handed_over() {
    let engines = [
        state("p", EngineStage::Prefill),
        state("d", EngineStage::Decode),
    ];
    let place = choose(
        &PlacementWeights::default(),
        &lines(),
        &engines,
        &prompt(0, 8_000),
        1,
    )
    .expect("a place");
    assert_eq!(place.reader.expect("a reader").id.as_str(), "p");
    assert_eq!(place.writer.id.as_str(), "d");
}

#[test]
fn a_prompt_that_a_decode_engine_holds_is_read_there() {
    let engines = [
        state("p", EngineStage::Prefill),
        held(state("d1", EngineStage::Decode), 13_000),
        state("d2", EngineStage::Decode),
    ];
    let place = choose(
        &PlacementWeights::default(),
        &lines(),
        &engines,
        &prompt(13_000, 100),
        1,
    )
    .expect("a place");
    assert!(place.reader.is_none());
    assert_eq!(place.writer.id.as_str(), "d1");
    assert_eq!(place.unread_tokens, 100);
}

// Reading a shared part again takes hundreds of milliseconds of an engine and costs
// others their place in its cache; a copy takes a few.
#[test]
fn a_shared_part_is_copied_from_the_engine_that_holds_it() {
    let mut holder = held(state("d1", EngineStage::Decode), 13_000);
    holder.work = work(40, 30_000);
    let engines = [
        state("p", EngineStage::Prefill),
        holder,
        state("d2", EngineStage::Decode),
    ];
    let place = choose(
        &PlacementWeights::default(),
        &lines(),
        &engines,
        &prompt(13_000, 3_000),
        1,
    )
    .expect("a place");
    assert_eq!(place.fetch_from.expect("a holder").id.as_str(), "d1");
    assert_eq!(place.unread_tokens, 3_000);
    assert_eq!(place.reread_tokens, 0);
}

#[test]
fn a_part_on_its_way_is_waited_for_at_its_engine() {
    let mut coming = state("p1", EngineStage::Prefill);
    coming.held_tokens = 13_000;
    coming.work = work(1, 13_000);
    let engines = [
        coming,
        state("p2", EngineStage::Prefill),
        state("d", EngineStage::Decode),
    ];
    let place = choose(
        &PlacementWeights::default(),
        &lines(),
        &engines,
        &prompt(13_000, 500),
        1,
    )
    .expect("a place");
    assert_eq!(place.reader.expect("a reader").id.as_str(), "p1");
    assert!(place.fetch_from.is_none());
}

struct NoChoiceCase {
    engines: fn() -> Vec<EngineState>,
    writer: Option<&'static str>,
}

#[rstest]
#[case::none(NoChoiceCase { engines: Vec::new, writer: None })]
#[case::readers_only(NoChoiceCase { engines: || vec![state("p", EngineStage::Prefill)], writer: None })]
#[case::writers_only(NoChoiceCase { engines: || vec![state("d", EngineStage::Decode)], writer: Some("d") })]
#[case::none_may_get_work(NoChoiceCase {
    engines: || vec![EngineState { may_get_work: false, ..state("d", EngineStage::Decode) }],
    writer: None,
})]
#[case::silent_ones_are_last(NoChoiceCase {
    engines: || {
        let silent = HealthView { avoided: true, ..healthy() };
        vec![EngineState { health: silent, ..state("d1", EngineStage::Decode) }, state("d2", EngineStage::Decode)]
    },
    writer: Some("d2"),
})]
#[case::a_silent_one_is_better_than_none(NoChoiceCase {
    engines: || {
        let silent = HealthView { avoided: true, ..healthy() };
        vec![EngineState { health: silent, ..state("d1", EngineStage::Decode) }]
    },
    writer: Some("d1"),
})]
fn who_generates(#[case] case: NoChoiceCase) {
    let place = choose(
        &PlacementWeights::default(),
        &lines(),
        &(case.engines)(),
        &prompt(0, 500),
        1,
    );
    let writer = place.map(|place| place.writer.id.to_string());
    assert_eq!(writer.as_deref(), case.writer);
}

#[test]
fn a_handed_over_prompt_goes_where_it_disturbs_least() {
    let mut busy = state("d1", EngineStage::Decode);
    busy.work = work(30, 0);
    let engines = [
        state("p", EngineStage::Prefill),
        busy,
        state("d2", EngineStage::Decode),
    ];
    let writer = choose_decode_engine(
        &PlacementWeights::default(),
        &lines(),
        &engines,
        &prompt(0, 500),
        1,
    );
    assert_eq!(writer.expect("a writer").id.as_str(), "d2");
}

#[test]
fn own_reading_is_told_from_waiting() {
    let mut reader = state("p", EngineStage::Prefill);
    reader.work = work(1, 42_000);
    let engines = [reader, state("d", EngineStage::Decode)];
    let place = choose(
        &PlacementWeights::default(),
        &lines(),
        &engines,
        &prompt(0, 40_000),
        1,
    )
    .expect("a place");
    assert!(place.own_ms > 900.0, "{}", place.own_ms);
    assert!(place.expected_ms > place.own_ms);
}

fn fleet(readers: usize, writers: usize) -> Vec<Arc<TargetRecord>> {
    let readers = (0..readers).map(|n| engine(&format!("p{n}"), EngineStage::Prefill));
    let writers = (0..writers).map(|n| engine(&format!("d{n}"), EngineStage::Decode));
    readers.chain(writers).map(Arc::new).collect()
}

// Two engines at least stay able to generate: prompts can be read there too, but
// nothing can be generated on a prefill engine.
#[rstest]
#[case::none(0, 0.42, 0)]
#[case::one(1, 0.42, 0)]
#[case::two(2, 0.42, 0)]
#[case::three(3, 0.42, 1)]
#[case::twelve(12, 0.42, 5)]
#[case::no_share(12, 0.0, 1)]
#[case::whole_share(12, 1.0, 10)]
fn readers_wanted(#[case] engines: usize, #[case] share: f64, #[case] wanted: usize) {
    assert_eq!(prefill_engine_count(engines, share), wanted);
}

#[test]
fn changes_are_few_at_once_and_take_idle_engines() {
    let engines = fleet(2, 6);
    let running = |id: &TargetIncarnation| if id.as_str() == "d0" { 9 } else { 0 };
    let wanted = wishes(&engines, running, 5, 2);
    let ids: Vec<&str> = wanted.iter().map(|wish| wish.engine.id.as_str()).collect();
    assert_eq!(ids, ["d1", "d2"]);
    assert!(wanted.iter().all(|wish| wish.stage == EngineStage::Prefill));
    assert!(wishes(&engines, running, 2, 2).is_empty());
    let back = wishes(&engines, running, 1, 8);
    assert_eq!(back.len(), 1);
    assert_eq!(back[0].stage, EngineStage::Decode);
}
