//! Behaviour of the engine stand-in over HTTP.

use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use pistachiowick::names::{FenceNumber, GroupName, ModelName, RequestId, WorkspaceName};
use pistachiowick::targets::wire::{
    CacheEvents, EngineRole, EngineState, GenerateBody, OrderBody, OrderId, StreamLine,
};
use pistachiowick_lab::answers::expected_answer;
use pistachiowick_lab::engine::{EngineStandIn, KvPart, RunningEngine};
use pistachiowick_lab::engine_http::FenceReply;
use pistachiowick_lab::engine_options::{EngineFaults, EngineOptions};
use pistachiowick_lab::weight_store::{WeightOptions, WeightStandIn};
use reqwest::{Client, Response};
use rstest::rstest;

const PROMPT: &[u8] = b"out=40 which bearing fits the bogie";
const MAX_TOKENS: u32 = 60;

fn options() -> EngineOptions {
    EngineOptions {
        time_scale: 20.0,
        change_ms: 2_000,
        ..EngineOptions::default()
    }
}

async fn started(options: EngineOptions) -> RunningEngine {
    EngineStandIn::start(options)
        .await
        .expect("the engine starts")
}

fn url(engine: &RunningEngine, path: &str) -> String {
    format!("http://{}{path}", engine.address())
}

fn body(request_id: &str, offset: u64) -> GenerateBody {
    GenerateBody {
        request_id: RequestId::from(request_id),
        attempt: 1,
        workspace: WorkspaceName::from("nakuru"),
        model: ModelName::from("base"),
        adapter: String::new(),
        version: String::new(),
        priority: 1,
        deadline_ms: 60_000,
        prompt: STANDARD.encode(PROMPT),
        prompt_tokens: 200,
        max_output_tokens: MAX_TOKENS,
        offset,
        tokens_done: u32::try_from(offset / 4).expect("small"),
        shared_prefix: String::new(),
        shared_prefix_tokens: 0,
        import_kv_from: String::new(),
    }
}

fn whole_answer() -> Vec<u8> {
    expected_answer(PROMPT, "base", "", "", MAX_TOKENS)
}

async fn start(engine: &RunningEngine, body: &GenerateBody) -> Response {
    Client::new()
        .post(url(engine, "/v1/streams"))
        .json(body)
        .send()
        .await
        .expect("the engine answers")
}

async fn get(engine: &RunningEngine, path: &str) -> Response {
    Client::new()
        .get(url(engine, path))
        .send()
        .await
        .expect("the engine answers")
}

async fn all_lines(mut response: Response) -> Vec<StreamLine> {
    let mut bytes = Vec::new();
    while let Ok(Some(part)) = response.chunk().await {
        bytes.extend_from_slice(&part);
    }
    bytes
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
        .map(|line| serde_json::from_slice(line).expect("a stream line"))
        .collect()
}

/// Joins the bytes of lines, checking that they follow one another from `offset`.
fn joined(lines: &[StreamLine], offset: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    for line in lines {
        assert_eq!(line.offset, offset + bytes.len() as u64);
        bytes.extend(STANDARD.decode(&line.data).expect("base64"));
    }
    bytes
}

async fn until(holds: impl Fn() -> bool) {
    let limit = Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(Instant::now() < limit, "waited for too long");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// A prompt and the length of its answer.
struct AnswerCase {
    prompt: &'static str,
    most: u32,
    tokens: usize,
}

#[rstest]
#[case::fixed(AnswerCase { prompt: "out=7 x", most: 50, tokens: 7 })]
#[case::limited(AnswerCase { prompt: "out=70 x", most: 50, tokens: 50 })]
#[case::never_empty(AnswerCase { prompt: "out=0 x", most: 50, tokens: 1 })]
fn prompts_fix_the_length(#[case] case: AnswerCase) {
    let answer = expected_answer(case.prompt.as_bytes(), "m", "", "", case.most);
    assert_eq!(answer.len(), case.tokens * 4);
    assert!(answer.iter().all(u8::is_ascii));
    let other = expected_answer(case.prompt.as_bytes(), "m", "", "v2", case.most);
    assert_ne!(answer, other);
}

/// Where a stream starts in the answer.
#[rstest]
#[case::from_the_start(0)]
#[case::after_a_token(4)]
#[case::within_a_token(41)]
#[case::last_byte(159)]
#[case::nothing_left(160)]
#[tokio::test]
async fn the_answer_is_as_expected_from_any_offset(#[case] offset: u64) {
    let engine = started(options()).await;
    let lines = all_lines(start(&engine, &body("r", offset)).await).await;
    let expected = whole_answer();
    let from = usize::try_from(offset).expect("small");
    assert_eq!(joined(&lines, offset), expected[from..]);
    let ends: Vec<u64> = lines
        .iter()
        .filter_map(|line| line.end.as_ref().map(|end| end.length))
        .collect();
    assert_eq!(ends, [expected.len() as u64]);
}

/// The caller's connection breaks in mid answer; the engine goes on, and a resume
/// gets the rest, also after the stream has ended.
#[tokio::test]
async fn a_stream_is_resumed_after_a_disconnect() {
    let engine = started(options()).await;
    let mut response = start(&engine, &body("r", 0)).await;
    let first = response.chunk().await.expect("a part").expect("a part");
    assert!(!first.is_empty());
    drop(response);
    until(|| engine.books().streams["r/1"].finished).await;
    let lines = all_lines(get(&engine, "/v1/streams/r/1?offset=12").await).await;
    assert_eq!(joined(&lines, 12), whole_answer()[12..]);
    assert_eq!(engine.books().streams.len(), 1);
    assert_eq!(get(&engine, "/v1/streams/r/2?offset=0").await.status(), 404);
}

#[tokio::test]
async fn an_attempt_started_twice_runs_once() {
    let engine = started(options()).await;
    let body = body("r", 0);
    let (first, second) = tokio::join!(start(&engine, &body), start(&engine, &body));
    let (first, second) = tokio::join!(all_lines(first), all_lines(second));
    assert_eq!(joined(&first, 0), whole_answer());
    assert_eq!(joined(&second, 0), whole_answer());
    assert_eq!(engine.books().repeated_starts, 1);
    assert_eq!(engine.books().decode_tokens, 40);
}

#[tokio::test]
async fn cancel_stops_all_attempts() {
    let engine = started(EngineOptions {
        time_scale: 1.0,
        ..options()
    })
    .await;
    let response = start(&engine, &body("r", 0)).await;
    let cancel = || Client::new().delete(url(&engine, "/v1/streams/r")).send();
    assert_eq!(cancel().await.expect("an answer").status(), 200);
    assert_eq!(cancel().await.expect("an answer").status(), 404);
    let lines = all_lines(response).await;
    assert!(lines.iter().all(|line| line.end.is_none()));
    assert!(engine.books().streams["r/1"].cancelled);
    assert_eq!(engine.state().running, 0);
}

fn order(id: &str, fence: u64, role: EngineRole) -> OrderBody {
    OrderBody {
        order_id: OrderId {
            id: id.to_owned(),
            fence: FenceNumber(fence),
        },
        group: GroupName::from("embakasi"),
        role,
        models: vec!["base".to_owned()],
    }
}

async fn send_order(engine: &RunningEngine, order: &OrderBody) -> Response {
    Client::new()
        .post(url(engine, "/v1/orders"))
        .json(order)
        .send()
        .await
        .expect("the engine answers")
}

/// What an engine does with an order that carries an old fence.
struct FenceCase {
    checks_fence: bool,
    status: u16,
    obeyed: u64,
    refused: u64,
    role: EngineRole,
}

#[rstest]
#[case::checks(FenceCase { checks_fence: true, status: 409, obeyed: 0, refused: 1, role: EngineRole::Prefill })]
#[case::ignores(FenceCase { checks_fence: false, status: 200, obeyed: 1, refused: 0, role: EngineRole::Decode })]
#[tokio::test]
async fn old_fences_are_refused_or_obeyed_and_counted(#[case] case: FenceCase) {
    let engine = started(EngineOptions {
        checks_fence: case.checks_fence,
        ..options()
    })
    .await;
    let newer = send_order(&engine, &order("new", 5, EngineRole::Prefill)).await;
    assert_eq!(newer.status(), 200);
    let older = send_order(&engine, &order("old", 4, EngineRole::Decode)).await;
    assert_eq!(older.status(), case.status);
    if case.checks_fence {
        let reply: FenceReply = older.json().await.expect("a reply");
        assert_eq!(reply.fence, FenceNumber(5));
    }
    until(|| !engine.state().changing).await;
    assert_eq!(engine.state().role, case.role);
    let books = engine.books();
    assert_eq!(books.old_fences_obeyed, case.obeyed);
    assert_eq!(books.old_fences_refused, case.refused);
    let ids: Vec<&str> = books.orders.iter().map(|order| order.id.as_str()).collect();
    assert_eq!(ids, ["new", "old"]);
}

/// A role change is ordered while a stream runs. New work is refused at once, the
/// stream gets its whole answer, and only then does the engine change.
#[tokio::test]
async fn a_role_change_refuses_new_work_and_cuts_nothing() {
    let engine = started(EngineOptions {
        time_scale: 2.0,
        ..options()
    })
    .await;
    let running = start(&engine, &body("running", 0)).await;
    let state: EngineState = send_order(&engine, &order("o", 1, EngineRole::Decode))
        .await
        .json()
        .await
        .expect("a state");
    assert!(state.changing);
    assert_eq!(state.role, EngineRole::Mixed);
    let refused = start(&engine, &body("new", 0)).await;
    assert_eq!(refused.status(), 503);
    assert!(refused.headers().contains_key("retry-after-ms"));
    assert_eq!(joined(&all_lines(running).await, 0), whole_answer());
    until(|| !engine.state().changing).await;
    assert_eq!(engine.state().role, EngineRole::Decode);
    let books = engine.books();
    assert_eq!((books.cut_by_change, books.role_changes), (0, 1));
    assert!(books.change_idle_ms >= 2_000);
    let lines = all_lines(start(&engine, &body("new", 0)).await).await;
    assert_eq!(joined(&lines, 0), whole_answer());
}

#[tokio::test]
async fn an_order_sent_twice_has_one_effect() {
    let engine = started(options()).await;
    let order = order("o", 1, EngineRole::Decode);
    send_order(&engine, &order).await;
    send_order(&engine, &order).await;
    until(|| !engine.state().changing).await;
    send_order(&engine, &order).await;
    assert!(!engine.state().changing);
    assert_eq!(engine.books().role_changes, 1);
}

#[tokio::test]
async fn new_models_come_up_after_their_weights() {
    let weights = WeightStandIn::start(WeightOptions {
        bytes_per_second: 1e9,
        ..WeightOptions::default()
    })
    .await
    .expect("the weight store starts");
    let engine = started(EngineOptions {
        weight_store: weights.address(),
        model_bytes: 200_000_000,
        ..options()
    })
    .await;
    let wanted = vec!["base".to_owned(), "rules@v2+crew".to_owned()];
    let order = OrderBody {
        models: wanted.clone(),
        ..order("o", 1, EngineRole::Mixed)
    };
    send_order(&engine, &order).await;
    until(|| !engine.state().changing).await;
    assert_eq!(engine.state().models, wanted);
    assert_eq!(weights.books().transfers, 1);
    let mut request = body("r", 0);
    request.model = ModelName::from("rules");
    request.adapter = "crew".to_owned();
    assert_eq!(start(&engine, &request).await.status(), 200);
    request.request_id = RequestId::from("other");
    request.version = "v1".to_owned();
    assert_eq!(start(&engine, &request).await.status(), 503);
}

#[tokio::test]
async fn a_leaving_engine_refuses_and_counts_new_work() {
    let engine = started(EngineOptions {
        time_scale: 2.0,
        ..options()
    })
    .await;
    let running = start(&engine, &body("running", 0)).await;
    engine.leave();
    assert_eq!(start(&engine, &body("new", 0)).await.status(), 503);
    assert_eq!(engine.books().starts_after_leave.len(), 1);
    assert_eq!(joined(&all_lines(running).await, 0), whole_answer());
}

#[tokio::test]
async fn a_crashed_engine_comes_back_empty_with_a_new_incarnation() {
    let engine = started(EngineOptions {
        time_scale: 1.0,
        ..options()
    })
    .await;
    let before = engine.state().incarnation;
    let running = start(&engine, &body("r", 0)).await;
    engine.crash(100);
    let lines = all_lines(running).await;
    assert!(lines.iter().all(|line| line.end.is_none()));
    until(|| engine.state().incarnation > before).await;
    let limit = Instant::now() + Duration::from_secs(20);
    let resumed = loop {
        let answer = Client::new()
            .get(url(&engine, "/v1/streams/r/1?offset=0"))
            .send()
            .await;
        match answer {
            Ok(answer) => break answer,
            Err(_) => assert!(Instant::now() < limit, "the engine stayed away"),
        }
    };
    assert_eq!(resumed.status(), 404);
    assert_eq!(engine.books().dropped_by_crash, 1);
    let lines = all_lines(start(&engine, &body("again", 0)).await).await;
    assert_eq!(joined(&lines, 0), whole_answer());
}

// The engine seems to come back in the middle of its second crash. The first crash's
// end opened the port and started the engine, although the second one had begun;
// its own end started a second loop beside the first, twice as fast.
#[tokio::test]
async fn an_engine_that_crashes_twice_stays_away_until_the_second_ends() {
    let engine = started(options()).await;
    let before = engine.state().incarnation;
    engine.crash(20);
    engine.crash(3_600_000);
    until(|| engine.books().crashes == 2).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(engine.state().incarnation, before);
    let asked = Client::new().get(url(&engine, "/v1/state")).send().await;
    assert!(asked.is_err(), "the engine answers: {asked:?}");
}

#[tokio::test]
async fn a_frozen_engine_answers_after_the_thaw() {
    let engine = started(options()).await;
    engine.freeze(300);
    let begun = Instant::now();
    assert_eq!(get(&engine, "/v1/state").await.status(), 200);
    assert!(begun.elapsed() >= Duration::from_millis(250));
}

/// A fault of lines and what a careful reader sees.
struct LineCase {
    faults: EngineFaults,
    sees: fn(&[StreamLine]) -> bool,
}

fn has_end(lines: &[StreamLine]) -> bool {
    lines.iter().any(|line| line.end.is_some())
}

fn is_short(lines: &[StreamLine]) -> bool {
    let bytes = joined(lines, 0).len() as u64;
    let told = lines.iter().find_map(|line| line.end.as_ref());
    told.is_some_and(|end| bytes < end.length)
}

#[rstest]
#[case::crossed(LineCase {
    faults: EngineFaults { crossed_chance: 1.0, ..EngineFaults::default() },
    sees: |lines| lines.iter().any(|line| line.request_id.as_str() != "r"),
})]
#[case::doubled(LineCase {
    faults: EngineFaults { doubled_chance: 1.0, ..EngineFaults::default() },
    sees: |lines| lines[0] == lines[1],
})]
#[case::cut(LineCase {
    faults: EngineFaults { cut_chance: 1.0, ..EngineFaults::default() },
    sees: |lines| !has_end(lines),
})]
#[case::short(LineCase {
    faults: EngineFaults { short_chance: 1.0, ..EngineFaults::default() },
    sees: is_short,
})]
#[tokio::test]
async fn line_faults_are_seen_by_readers(#[case] case: LineCase) {
    let engine = started(EngineOptions {
        time_scale: 2.0,
        ..options()
    })
    .await;
    engine.set_faults(case.faults);
    let lines = all_lines(start(&engine, &body("r", 0)).await).await;
    assert!((case.sees)(&lines), "lines: {lines:?}");
}

#[tokio::test]
async fn a_cut_answer_can_be_resumed() {
    let engine = started(options()).await;
    engine.set_faults(EngineFaults {
        cut_chance: 1.0,
        ..EngineFaults::default()
    });
    assert!(!has_end(
        &all_lines(start(&engine, &body("r", 0)).await).await
    ));
    engine.set_faults(EngineFaults::default());
    let lines = all_lines(get(&engine, "/v1/streams/r/1?offset=0").await).await;
    assert_eq!(joined(&lines, 0), whole_answer());
}

fn with_prefix(request_id: &str, prefix: &str) -> GenerateBody {
    GenerateBody {
        shared_prefix: prefix.to_owned(),
        shared_prefix_tokens: 150,
        ..body(request_id, 0)
    }
}

#[tokio::test]
async fn shared_prefixes_are_read_once_until_evicted() {
    let engine = started(EngineOptions {
        prefix_limit_tokens: 200,
        ..options()
    })
    .await;
    for (request_id, prefix) in [
        ("1", "rules"),
        ("2", "rules"),
        ("3", "manual"),
        ("4", "rules"),
    ] {
        let response = start(&engine, &with_prefix(request_id, prefix)).await;
        assert_eq!(joined(&all_lines(response).await, 0), whole_answer());
    }
    assert_eq!(engine.books().cached_tokens, 150);
    assert_eq!(engine.books().prefill_tokens, 650);
    let events: CacheEvents = get(&engine, "/v1/cache-events?since=1")
        .await
        .json()
        .await
        .expect("events");
    let seen: Vec<(u64, &str, u32)> = events
        .events
        .iter()
        .map(|event| (event.sequence, event.prefix.as_str(), event.tokens))
        .collect();
    assert_eq!(
        seen,
        [
            (2, "rules", 0),
            (3, "manual", 150),
            (4, "manual", 0),
            (5, "rules", 150)
        ]
    );
}

#[tokio::test]
async fn lost_cache_events_leave_gaps() {
    let engine = started(EngineOptions {
        cache_gap_chance: 1.0,
        ..options()
    })
    .await;
    all_lines(start(&engine, &with_prefix("1", "rules")).await).await;
    let events: CacheEvents = get(&engine, "/v1/cache-events?since=0")
        .await
        .json()
        .await
        .expect("events");
    assert_eq!(events.events, []);
}

/// A prompt read by one engine is answered by another without being read again.
#[tokio::test]
async fn an_imported_prompt_is_not_read_again() {
    let prefill = started(options()).await;
    let decode = started(options()).await;
    all_lines(start(&prefill, &body("r", 0)).await).await;
    let handed = GenerateBody {
        attempt: 2,
        import_kv_from: prefill.address(),
        ..body("r", 0)
    };
    let lines = all_lines(start(&decode, &handed).await).await;
    assert_eq!(joined(&lines, 0), whole_answer());
    assert_eq!(decode.books().imported_tokens, 200);
    assert_eq!(decode.books().prefill_tokens, 0);
    let part: KvPart = get(&prefill, "/v1/kv/r")
        .await
        .json()
        .await
        .expect("a part");
    assert_eq!(part.tokens, 200);
    assert_eq!(get(&decode, "/v1/kv/unheard-of").await.status(), 404);
}

#[tokio::test]
async fn an_import_that_fails_costs_only_time() {
    let engine = started(options()).await;
    let handed = GenerateBody {
        import_kv_from: "127.0.0.1:1".to_owned(),
        ..body("r", 0)
    };
    let lines = all_lines(start(&engine, &handed).await).await;
    assert_eq!(joined(&lines, 0), whole_answer());
    assert_eq!(engine.books().prefill_tokens, 200);
}

#[tokio::test]
async fn load_reports_lag_and_say_how_old_they_are() {
    let engine = started(EngineOptions {
        time_scale: 1.0,
        report_lag_ms: 60_000,
        ..options()
    })
    .await;
    let first: EngineState = get(&engine, "/v1/state")
        .await
        .json()
        .await
        .expect("a state");
    let _running = start(&engine, &body("r", 0)).await;
    until(|| engine.state().running == 1).await;
    let late: EngineState = get(&engine, "/v1/state")
        .await
        .json()
        .await
        .expect("a state");
    assert_eq!(late.running, 0);
    assert!(late.at_ms <= first.at_ms + 5_000);
}

/// A start that is refused, and how.
struct RefusalCase {
    change: fn(&mut GenerateBody),
    status: u16,
}

#[rstest]
#[case::unknown_model(RefusalCase { change: |body| body.model = ModelName::from("other"), status: 503 })]
#[case::too_large(RefusalCase { change: |body| body.prompt_tokens = 1_000_000, status: 422 })]
#[case::not_base64(RefusalCase { change: |body| body.prompt = "?".to_owned(), status: 400 })]
#[tokio::test]
async fn refusals_take_no_work(#[case] case: RefusalCase) {
    let engine = started(options()).await;
    let mut request = body("r", 0);
    (case.change)(&mut request);
    assert_eq!(start(&engine, &request).await.status(), case.status);
    assert!(engine.books().streams.is_empty());
}

#[tokio::test]
async fn a_full_queue_refuses() {
    let engine = started(EngineOptions {
        time_scale: 0.01,
        max_batch: 1,
        queue_limit: 1,
        ..options()
    })
    .await;
    let _running = start(&engine, &body("1", 0)).await;
    until(|| engine.state().running == 1).await;
    let _waiting = start(&engine, &body("2", 0)).await;
    let refused = start(&engine, &body("3", 0)).await;
    assert_eq!(refused.status(), 503);
    assert!(refused.headers().contains_key("retry-after-ms"));
}
