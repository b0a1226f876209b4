//! The engine's batching model by itself: no clock, no sockets.

use pistachiowick::targets::wire::EngineRole;
use pistachiowick_lab::engine_model::{EngineModel, StreamName, StreamWork};
use pistachiowick_lab::engine_options::EngineOptions;
use rstest::rstest;

fn name(request_id: &str) -> StreamName {
    StreamName {
        request_id: request_id.to_owned(),
        attempt: 1,
    }
}

fn work(prompt_tokens: u32, answer_tokens: u32) -> StreamWork {
    StreamWork {
        priority: 1,
        deadline_ms: 1_000,
        prompt_tokens,
        tokens_done: 0,
        answer_tokens,
        max_output_tokens: answer_tokens,
        prefix: String::new(),
        prefix_tokens: 0,
        importing: false,
    }
}

/// Time of the first step of a prompt and of a later one, in a role.
struct RoleCase {
    role: EngineRole,
    prefill_ms: f64,
    decode_ms: f64,
}

#[rstest]
#[case::mixed(RoleCase { role: EngineRole::Mixed, prefill_ms: 100.0, decode_ms: 50.0 })]
#[case::prefill(RoleCase { role: EngineRole::Prefill, prefill_ms: 55.556, decode_ms: 142.857 })]
#[case::decode(RoleCase { role: EngineRole::Decode, prefill_ms: 222.222, decode_ms: 31.25 })]
fn roles_speed_up_one_side(#[case] case: RoleCase) {
    let options = EngineOptions {
        min_step_ms: 1.0,
        prefill_tokens_per_second: 1_000.0,
        decode_ms_per_stream: 50.0,
        chunk_tokens: 100,
        ..EngineOptions::default()
    };
    let mut model = EngineModel::default();
    model.push(name("r"), work(200, 5));
    let reading = model.step(&options, case.role);
    assert!((reading.span_ms - case.prefill_ms).abs() < 0.01);
    model.step(&options, case.role);
    let generating = model.step(&options, case.role);
    assert!((generating.span_ms - case.decode_ms).abs() < 0.01);
}

/// Two streams wait for the one place in the batch.
struct OrderCase {
    first: (u32, u64),
    second: (u32, u64),
    winner: &'static str,
}

#[rstest]
#[case::priority(OrderCase { first: (2, 10), second: (1, 99), winner: "second" })]
#[case::deadline(OrderCase { first: (1, 99), second: (1, 10), winner: "second" })]
#[case::arrival(OrderCase { first: (1, 10), second: (1, 10), winner: "first" })]
fn waiting_streams_are_admitted_by_priority_then_deadline(#[case] case: OrderCase) {
    let options = EngineOptions {
        max_batch: 1,
        ..EngineOptions::default()
    };
    let mut model = EngineModel::default();
    for (request_id, (priority, deadline_ms)) in [("first", case.first), ("second", case.second)] {
        let work = StreamWork {
            priority,
            deadline_ms,
            ..work(10, 1)
        };
        model.push(name(request_id), work);
    }
    let step = model.step(&options, EngineRole::Mixed);
    assert_eq!(step.gained, [(name(case.winner), 1)]);
}

#[test]
fn the_kv_limit_bounds_the_batch() {
    let options = EngineOptions {
        kv_limit_tokens: 250,
        ..EngineOptions::default()
    };
    let mut model = EngineModel::default();
    for request_id in ["a", "b", "c"] {
        model.push(name(request_id), work(90, 10));
    }
    model.step(&options, EngineRole::Mixed);
    let load = model.load();
    assert_eq!((load.running, load.waiting, load.kv_used), (2, 1, 200));
}
