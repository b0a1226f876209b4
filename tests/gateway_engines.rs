//! Choice of engines for a prompt, and of the number of prefill engines.

mod gateway_samples;

use std::sync::Arc;

use gateway_samples::engine;
use pistachiowick::gateway::deciding::affinity::part_key;
use pistachiowick::gateway::deciding::engine_choice::{
    EngineState, PlacementWeights, choose_decode_engine, choose_engines,
};
use pistachiowick::gateway::deciding::engine_model::EngineLatencies;
use pistachiowick::gateway::deciding::health::{HealthTracker, HealthView};
use pistachiowick::gateway::deciding::line_fit::LinearLatency;
use pistachiowick::gateway::deciding::load::{LoadTracker, TargetWork};
use pistachiowick::gateway::deciding::stage_plan::{plan_changes, prefill_engine_count};
use pistachiowick::gateway::model::{EngineStage, PromptPart, PromptShape, TargetRecord};
use pistachiowick::names::{CentreName, MonoTime};
use pistachiowick::target_incarnation::TargetIncarnation;
use rstest::rstest;

// Prefill engines do 42 tokens per ms; decode engines do 20, next to their own requests.
fn latencies() -> EngineLatencies {
    let latency = |fixed_ms, tokens_per_ms: f64| LinearLatency {
        fixed_ms,
        token_ms: 1.0 / tokens_per_ms,
    };
    EngineLatencies {
        remote_prefill: latency(95.0, 42.0),
        local_prefill: latency(95.0, 20.0),
        kv_transfer: latency(20.0, 20.0),
    }
}

fn state(id: &str, stage: EngineStage) -> EngineState {
    EngineState {
        record: Arc::new(engine(id, stage)),
        cached_tokens: 0,
        copyable_tokens: 0,
        work: TargetWork::default(),
        health: healthy(),
        available: true,
        turn: None,
        send_ms: 0.0,
    }
}

fn healthy() -> HealthView {
    HealthTracker::default().view(&TargetIncarnation::from("new"), MonoTime(0))
}

fn work(running: u32, pending: u32) -> TargetWork {
    let target = TargetIncarnation::from("t");
    let mut load = LoadTracker::default();
    load.begin(&target, 1, pending);
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

fn caching(mut state: EngineState, tokens: u32) -> EngineState {
    state.cached_tokens = tokens;
    state.copyable_tokens = tokens;
    state
}

#[test]
fn a_long_prompt_is_prefilled_on_a_prefill_engine() {
    let engines = [
        state("p", EngineStage::Prefill),
        state("d", EngineStage::Decode),
    ];
    let placement = choose_engines(
        &PlacementWeights::default(),
        &latencies(),
        &engines,
        &prompt(0, 8_000),
        1,
    )
    .expect("a placement");
    assert_eq!(
        placement
            .prefill_engine
            .expect("a prefill engine")
            .id
            .as_str(),
        "p"
    );
    assert_eq!(placement.decode_engine.id.as_str(), "d");
}

#[test]
fn a_prompt_cached_at_a_decode_engine_is_prefilled_there() {
    let engines = [
        state("p", EngineStage::Prefill),
        caching(state("d1", EngineStage::Decode), 13_000),
        state("d2", EngineStage::Decode),
    ];
    let placement = choose_engines(
        &PlacementWeights::default(),
        &latencies(),
        &engines,
        &prompt(13_000, 100),
        1,
    )
    .expect("a placement");
    assert!(placement.prefill_engine.is_none());
    assert_eq!(placement.decode_engine.id.as_str(), "d1");
    assert_eq!(placement.pending_prefill_tokens, 100);
}

// Recomputing a shared part takes an engine hundreds of milliseconds and evicts other
// parts from its cache; a copy takes a few milliseconds.
#[test]
fn a_shared_part_is_copied_from_the_engine_that_caches_it() {
    let mut source = caching(state("d1", EngineStage::Decode), 13_000);
    source.work = work(40, 30_000);
    let engines = [
        state("p", EngineStage::Prefill),
        source,
        state("d2", EngineStage::Decode),
    ];
    let placement = choose_engines(
        &PlacementWeights::default(),
        &latencies(),
        &engines,
        &prompt(13_000, 3_000),
        1,
    )
    .expect("a placement");
    assert_eq!(placement.fetch_from.expect("a source").id.as_str(), "d1");
    assert_eq!(placement.pending_prefill_tokens, 3_000);
    assert_eq!(placement.recomputed_tokens, 0);
}

#[test]
fn a_request_waits_at_the_engine_that_prefills_its_shared_part() {
    let mut prefilling = state("p1", EngineStage::Prefill);
    prefilling.cached_tokens = 13_000;
    prefilling.work = work(1, 13_000);
    let engines = [
        prefilling,
        state("p2", EngineStage::Prefill),
        state("d", EngineStage::Decode),
    ];
    let placement = choose_engines(
        &PlacementWeights::default(),
        &latencies(),
        &engines,
        &prompt(13_000, 500),
        1,
    )
    .expect("a placement");
    assert_eq!(
        placement
            .prefill_engine
            .expect("a prefill engine")
            .id
            .as_str(),
        "p1"
    );
    assert!(placement.fetch_from.is_none());
}

struct DecodeCase {
    engines: fn() -> Vec<EngineState>,
    decode_engine: Option<&'static str>,
}

#[rstest]
#[case::none(DecodeCase { engines: Vec::new, decode_engine: None })]
#[case::prefill_engines_only(DecodeCase { engines: || vec![state("p", EngineStage::Prefill)], decode_engine: None })]
#[case::decode_engines_only(DecodeCase { engines: || vec![state("d", EngineStage::Decode)], decode_engine: Some("d") })]
#[case::none_available(DecodeCase {
    engines: || vec![EngineState { available: false, ..state("d", EngineStage::Decode) }],
    decode_engine: None,
})]
#[case::a_silent_engine_is_the_last_choice(DecodeCase {
    engines: || {
        let silent = HealthView { avoided: true, ..healthy() };
        vec![EngineState { health: silent, ..state("d1", EngineStage::Decode) }, state("d2", EngineStage::Decode)]
    },
    decode_engine: Some("d2"),
})]
#[case::a_silent_engine_is_better_than_none(DecodeCase {
    engines: || {
        let silent = HealthView { avoided: true, ..healthy() };
        vec![EngineState { health: silent, ..state("d1", EngineStage::Decode) }]
    },
    decode_engine: Some("d1"),
})]
fn which_engine_generates(#[case] case: DecodeCase) {
    let placement = choose_engines(
        &PlacementWeights::default(),
        &latencies(),
        &(case.engines)(),
        &prompt(0, 500),
        1,
    );
    let decode_engine = placement.map(|placement| placement.decode_engine.id.to_string());
    assert_eq!(decode_engine.as_deref(), case.decode_engine);
}

#[test]
fn a_transferred_prompt_goes_to_the_least_busy_decode_engine() {
    let mut busy = state("d1", EngineStage::Decode);
    busy.work = work(30, 0);
    let engines = [
        state("p", EngineStage::Prefill),
        busy,
        state("d2", EngineStage::Decode),
    ];
    let decode_engine = choose_decode_engine(
        &PlacementWeights::default(),
        &latencies(),
        &engines,
        (&prompt(0, 500), 1),
        &CentreName::from("hall-a"),
    );
    assert_eq!(decode_engine.expect("a decode engine").id.as_str(), "d2");
}

#[test]
fn own_prefill_time_excludes_queueing() {
    let mut prefill_engine = state("p", EngineStage::Prefill);
    prefill_engine.work = work(1, 42_000);
    let engines = [prefill_engine, state("d", EngineStage::Decode)];
    let placement = choose_engines(
        &PlacementWeights::default(),
        &latencies(),
        &engines,
        &prompt(0, 40_000),
        1,
    )
    .expect("a placement");
    assert!(
        placement.own_prefill_ms > 900.0,
        "{}",
        placement.own_prefill_ms
    );
    assert!(placement.expected_ms > placement.own_prefill_ms);
}

fn fleet(prefill_engines: usize, decode_engines: usize) -> Vec<Arc<TargetRecord>> {
    let prefill_engines =
        (0..prefill_engines).map(|n| engine(&format!("p{n}"), EngineStage::Prefill));
    let decode_engines = (0..decode_engines).map(|n| engine(&format!("d{n}"), EngineStage::Decode));
    prefill_engines
        .chain(decode_engines)
        .map(Arc::new)
        .collect()
}

// At least two decode engines are kept: they can also prefill, while a prefill engine
// cannot generate.
#[rstest]
#[case::none(0, 0.42, 0)]
#[case::one(1, 0.42, 0)]
#[case::two(2, 0.42, 0)]
#[case::three(3, 0.42, 1)]
#[case::twelve(12, 0.42, 5)]
#[case::no_share(12, 0.0, 1)]
#[case::whole_share(12, 1.0, 10)]
fn number_of_prefill_engines(#[case] engines: usize, #[case] share: f64, #[case] expected: usize) {
    assert_eq!(prefill_engine_count(engines, share), expected);
}

#[test]
fn changes_are_limited_and_prefer_idle_engines() {
    let engines = fleet(2, 6);
    let running = |id: &TargetIncarnation| if id.as_str() == "d0" { 9 } else { 0 };
    let changes = plan_changes(&engines, running, 5, 2);
    let ids: Vec<&str> = changes
        .iter()
        .map(|change| change.engine.id.as_str())
        .collect();
    assert_eq!(ids, ["d1", "d2"]);
    assert!(
        changes
            .iter()
            .all(|change| change.stage == EngineStage::Prefill)
    );
    assert!(plan_changes(&engines, running, 2, 2).is_empty());
    let back = plan_changes(&engines, running, 1, 8);
    assert_eq!(back.len(), 1);
    assert_eq!(back[0].stage, EngineStage::Decode);
}
