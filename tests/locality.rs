//! Choice of engines and targets by data centre: bytes between data centres have a cost.

mod gateway_samples;

use std::sync::Arc;
use std::time::Duration;

use gateway_samples::{engine, target};
use pistachiowick::gateway::deciding::engine_choice::{EnginePlacement, PlacementWeights};
use pistachiowick::gateway::deciding::{DecisionCore, EngineCandidates, PlacementQuery};
use pistachiowick::gateway::model::{EngineStage, PromptPart, PromptShape, TargetRecord};
use pistachiowick::gateway::peers::wire::PlacementRequest;
use pistachiowick::names::{CentreName, DaemonId, MonoTime, ServiceName};
use pistachiowick::target_incarnation::TargetIncarnation;
use pistachiowick::target_limits::tracker::TurnOffers;
use rstest::rstest;

const NOW: MonoTime = MonoTime(60_000);
const CENTRES: [&str; 3] = ["a", "b", "c"];
/// Body of the largest requests of the load.
const REQUEST_BYTES: usize = 17_000;

fn weights(crossing_ms_per_kb: f64, crossing_copy_factor: f64) -> PlacementWeights {
    PlacementWeights {
        crossing_ms_per_kb,
        crossing_copy_factor,
        ..PlacementWeights::default()
    }
}

fn core_in(centre: &str, weights: PlacementWeights) -> DecisionCore {
    let mut core = DecisionCore::new(weights);
    core.caches.set_capacity(500_000);
    core.centre = Some(CentreName::from(centre));
    core
}

// Returns `each` prefill engines and decode engines of every data centre, named `p0-a`, `d0-a`.
fn fleet(each: usize, centres: &[&str]) -> Vec<Arc<TargetRecord>> {
    let mut engines = Vec::new();
    for centre in centres {
        for number in 0..each {
            for (kind, stage) in [("p", EngineStage::Prefill), ("d", EngineStage::Decode)] {
                let mut engine = engine(&format!("{kind}{number}-{centre}"), stage);
                engine.centre = CentreName::from(*centre);
                engines.push(Arc::new(engine));
            }
        }
    }
    engines
}

// Runs requests at the first decode engines, so that prompts are prefilled on prefill engines.
fn run_at_decode_engines(core: &mut DecisionCore) {
    for centre in CENTRES {
        let engine = TargetIncarnation::from(format!("d0-{centre}"));
        (0..40).for_each(|_| core.load.begin(&engine, 1, 0));
    }
}

fn parts(shared: u64, own: u64) -> Vec<PromptPart> {
    let part = |key, tokens| PromptPart { key, tokens };
    vec![part(shared, 13_300), part(1_000_000 + own, 3_720)]
}

fn place(
    core: &DecisionCore,
    engines: &[Arc<TargetRecord>],
    parts: &[PromptPart],
) -> EnginePlacement {
    let prompt = PromptShape {
        model: "m".to_owned(),
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        output_tokens: 10,
        parts: parts.to_vec(),
    };
    let query = PlacementQuery {
        choices: EngineCandidates {
            engines,
            changing: &[],
            excluded: &[],
            turns: &TurnOffers::new(),
            software: None,
            request_bytes: REQUEST_BYTES,
        },
        prompt: &prompt,
        urgency: 1,
        objective_left: Duration::from_secs(5),
    };
    core.place(&query, NOW).expect("a placement")
}

fn prefill_centre(placement: &EnginePlacement) -> &str {
    let engine = placement.prefill_engine.as_ref();
    engine.expect("a prefill engine").centre.as_str()
}

struct EngineCase {
    crossing_ms_per_kb: f64,
    // Tokens that wait at the prefill engine of data centre `b`, and requests that run at its
    // decode engine.
    waiting: u32,
    running: u32,
    // Data centres with engines.
    centres: &'static [&'static str],
    prefilled_in: &'static str,
    decoded_in: &'static str,
}

// A daemon of data centre `b` places a request of 17 kB, which costs 85 ms per send at 5 ms per
// kB. Guards against requests that leave their data centre for a small gain, and against
// requests that wait or fail where other data centres could serve them.
#[rstest]
#[case::off(EngineCase { crossing_ms_per_kb: 0.0, waiting: 100, running: 1, centres: &CENTRES, prefilled_in: "a", decoded_in: "a" })]
#[case::idle(EngineCase { crossing_ms_per_kb: 5.0, waiting: 0, running: 0, centres: &CENTRES, prefilled_in: "b", decoded_in: "b" })]
#[case::slightly_busier(EngineCase { crossing_ms_per_kb: 5.0, waiting: 2_000, running: 20, centres: &CENTRES, prefilled_in: "b", decoded_in: "b" })]
#[case::full_prefill(EngineCase { crossing_ms_per_kb: 5.0, waiting: 100_000, running: 0, centres: &CENTRES, prefilled_in: "a", decoded_in: "b" })]
#[case::full_decode(EngineCase { crossing_ms_per_kb: 5.0, waiting: 0, running: 80, centres: &CENTRES, prefilled_in: "b", decoded_in: "a" })]
#[case::centre_is_gone(EngineCase { crossing_ms_per_kb: 5.0, waiting: 0, running: 0, centres: &["a", "c"], prefilled_in: "a", decoded_in: "a" })]
fn engines_of_the_own_centre_come_first_unless_full(#[case] case: EngineCase) {
    let mut core = core_in("b", weights(case.crossing_ms_per_kb, 1.0));
    let (prefill, decode) = (
        TargetIncarnation::from("p0-b"),
        TargetIncarnation::from("d0-b"),
    );
    if case.waiting > 0 {
        core.load.begin(&prefill, 1, case.waiting);
    }
    run_at_decode_engines(&mut core);
    (0..case.running).for_each(|_| core.load.begin(&decode, 1, 0));
    // One part: no home takes part in the choice.
    let own = &parts(1, 1)[1..];
    let placement = place(&core, &fleet(1, case.centres), own);
    assert_eq!(prefill_centre(&placement), case.prefilled_in);
    assert_eq!(placement.decode_engine.centre.as_str(), case.decoded_in);
}

// Shared parts are cached in data centre `a` alone or also in `b`, where a daemon places a
// prompt with them. Guards against copies between data centres where one within is possible,
// and against recomputing 13,300 tokens where only a copy from afar is.
#[rstest]
#[case::both_hold(&["d0-a", "d0-b", "d0-c"], Some("d0-b"))]
#[case::only_far(&["d0-a"], Some("d0-a"))]
#[case::none(&[], None)]
fn caches_are_copied_within_a_centre_if_possible(
    #[case] holders: &[&str],
    #[case] expected: Option<&str>,
    #[values((5.0, 1.0), (5.0, 2.0), (0.0, 2.0))] (per_kb, factor): (f64, f64),
) {
    let mut core = core_in("b", weights(per_kb, factor));
    run_at_decode_engines(&mut core);
    for far in ["p0-a", "p0-c"] {
        core.load.begin(&TargetIncarnation::from(far), 1, 100_000);
    }
    for holder in holders {
        let holder = TargetIncarnation::from(*holder);
        core.note_parts(&holder, &parts(7, 1), true, NOW);
    }
    let placement = place(&core, &fleet(1, &CENTRES), &parts(7, 2));
    assert_eq!(prefill_centre(&placement), "b");
    let source = placement.fetch_from.as_ref().map(|e| e.id.as_str());
    assert_eq!(source, expected);
}

// Guards against one home for the whole fleet, which draws the requests for a part, and the
// transfer of their caches, to one data centre, and against daemons of a data centre that
// choose different homes.
#[test]
fn shared_parts_have_a_home_in_each_centre() {
    let engines = fleet(4, &CENTRES);
    for shared in 1..=40 {
        for centre in CENTRES {
            let chosen = |own| {
                let core = core_in(centre, weights(5.0, 2.0));
                place(&core, &engines, &parts(shared, own))
            };
            let (first, second) = (chosen(1), chosen(2));
            let engine = |placement: &EnginePlacement| {
                let decode = &placement.decode_engine;
                placement.prefill_engine.as_ref().unwrap_or(decode).clone()
            };
            assert_eq!(engine(&first).centre.as_str(), centre);
            assert_eq!(engine(&first), engine(&second));
        }
    }
}

// A prompt of 17,020 tokens was prefilled in data centre `c` for a daemon of `a`: its cache
// takes 34 ms more from there to another data centre, its body 17 ms from the daemon. Guards
// against transfers of caches between data centres to save the bytes of a request.
#[rstest]
#[case::transfer_costs_more(2.0, "c")]
#[case::request_costs_more(1.0, "a")]
fn decode_engine_is_near_the_cache(#[case] factor: f64, #[case] expected: &str) {
    let core = core_in("a", weights(1.0, factor));
    let engines = fleet(1, &CENTRES);
    let prompt = PromptShape {
        prompt_tokens: 17_020,
        ..PromptShape::default()
    };
    let candidates = EngineCandidates {
        engines: &engines,
        changing: &[],
        excluded: &[],
        turns: &TurnOffers::new(),
        software: None,
        request_bytes: REQUEST_BYTES,
    };
    let prefill_engine = engines.iter().find(|e| e.id.as_str() == "p0-c");
    let prefill_engine = prefill_engine.expect("the engine");
    let chosen = core.choose_decode_engine(&candidates, prefill_engine, (&prompt, 1), NOW);
    assert_eq!(chosen.expect("a decode engine").centre.as_str(), expected);
}

struct PlainCase {
    crossing_ms_per_kb: f64,
    // Requests that run on the 8 slots of the target in data centre `b`.
    running: u32,
    centres: &'static [&'static str],
    // Minimum and maximum share of 300 requests that are sent to it.
    share: (f64, f64),
}

// A daemon of data centre `b` sends plain requests of 10 kB to a target in each data centre.
// Guards against bytes between data centres while there is room, and against a full target
// that gets requests because it is near.
#[rstest]
#[case::off(PlainCase { crossing_ms_per_kb: 0.0, running: 0, centres: &CENTRES, share: (0.2, 0.5) })]
#[case::idle(PlainCase { crossing_ms_per_kb: 5.0, running: 0, centres: &CENTRES, share: (1.0, 1.0) })]
#[case::full(PlainCase { crossing_ms_per_kb: 5.0, running: 8, centres: &CENTRES, share: (0.0, 0.1) })]
#[case::gone(PlainCase { crossing_ms_per_kb: 5.0, running: 0, centres: &["a", "c"], share: (0.0, 0.0) })]
fn plain_targets_of_the_own_centre_come_first_unless_full(#[case] case: PlainCase) {
    let mut core = core_in("b", weights(case.crossing_ms_per_kb, 1.0));
    let targets = case.centres.iter().map(|centre| {
        let mut target = target(centre, "127.0.0.1:9");
        target.centre = CentreName::from(*centre);
        Arc::new(target)
    });
    let targets: Vec<_> = targets.collect();
    let own = TargetIncarnation::from("b");
    (0..case.running).for_each(|_| core.load.begin(&own, 0, 0));
    let turns = TurnOffers::new();
    let mut drawn = 0_u32;
    let mut draw = || {
        drawn = drawn.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        f64::from(drawn) / f64::from(u32::MAX)
    };
    let chosen = (0..300).filter(|_| {
        let target = core.choose_plain_target(targets.iter(), (&turns, 10_000), &mut draw, NOW);
        target.expect("a target").centre.as_str() == "b"
    });
    let share = chosen.count() as f64 / 300.0;
    assert!((case.share.0..=case.share.1).contains(&share), "{share}");
}

// Guards against daemons of two builds that cannot read each other's placement requests, and
// against a changed message while the setting is off.
#[test]
fn size_of_a_request_is_optional_in_placement_requests() {
    let request = |request_bytes| PlacementRequest {
        from: DaemonId::from("member"),
        incarnation: 1,
        number: 1,
        service: ServiceName::from("engines"),
        avoided: Vec::new(),
        prompt_tokens: 1_000,
        output_tokens: 10,
        parts: vec![(7, 1_000)],
        urgency: 1,
        objective_left_ms: 600,
        request_bytes,
    };
    let without = serde_json::to_value(request(0)).expect("JSON");
    assert!(without.get("request_bytes").is_none());
    let decoded: PlacementRequest = serde_json::from_value(without).expect("a request");
    assert_eq!(decoded.request_bytes, 0);
    let with = serde_json::to_value(request(17_000)).expect("JSON");
    assert_eq!(with["request_bytes"], 17_000);
}
