//! The step loop of the engine stand-in: steps, changes of role and models, samples.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pistachiowick::targets::wire::GenerateBody;

use crate::engine::{DesiredState, EngineCore, KvPart};
use crate::engine_model::StreamName;
use crate::http::encode_segment;
use crate::weight_store::WeightReply;

/// Steps are merged until they fill this span, since timers are no finer.
const MERGE_SPAN: Duration = Duration::from_millis(2);

/// Bounds of the pause between two samples of the lagging state.
const SAMPLE_LEAST: Duration = Duration::from_millis(5);
const SAMPLE_MOST: Duration = Duration::from_millis(100);

/// Pause before a refused fetch of weights is repeated, at least.
const FETCH_PAUSE: Duration = Duration::from_millis(20);

/// What the loop does next.
enum LoopTurn {
    Change(DesiredState),
    Finish,
    Step,
    Wait,
}

fn next_turn(core: &EngineCore, life: u64) -> LoopTurn {
    let inner = core.inner();
    if inner.life != life {
        return LoopTurn::Finish;
    }
    match &inner.desired {
        Some(desired) if inner.model.is_idle() => LoopTurn::Change(desired.clone()),
        _ if inner.model.has_work() => LoopTurn::Step,
        _ => LoopTurn::Wait,
    }
}

pub(crate) async fn run_loop(core: Arc<EngineCore>, life: u64) {
    loop {
        core.thawed().await;
        match next_turn(&core, life) {
            LoopTurn::Change(desired) => change(&core, life, desired).await,
            LoopTurn::Finish => return,
            LoopTurn::Step => run_steps(&core, life).await,
            LoopTurn::Wait => core.woken.notified().await,
        }
    }
}

/// Makes steps until there is nothing to do; keeps to the clock on average.
async fn run_steps(core: &Arc<EngineCore>, life: u64) {
    let mut end = Instant::now();
    loop {
        let mut gained: IndexMap<StreamName, u32> = IndexMap::new();
        let merge_until = Instant::now() + MERGE_SPAN;
        while end < merge_until {
            let mut inner = core.inner();
            if inner.life != life || !inner.model.has_work() {
                break;
            }
            let role = inner.role;
            let result = inner.model.step(&core.options, role);
            inner.book_step(&result);
            end += core.options.scaled_ms(result.span_ms);
            gained.extend(result.gained);
        }
        if gained.is_empty() && !has_work(core, life) {
            return;
        }
        tokio::time::sleep_until(end.into()).await;
        core.thawed().await;
        end = end.max(Instant::now() - MERGE_SPAN);
        if !publish(core, life, &gained) {
            return;
        }
    }
}

fn has_work(core: &EngineCore, life: u64) -> bool {
    let inner = core.inner();
    inner.life == life && inner.model.has_work()
}

fn publish(core: &Arc<EngineCore>, life: u64, gained: &IndexMap<StreamName, u32>) -> bool {
    let mut inner = core.inner();
    if inner.life != life {
        return false;
    }
    let ended = inner.publish(gained);
    inner.publish_events(core);
    drop(inner);
    if !ended.is_empty() {
        tokio::spawn(forget_later(core.clone(), life, ended));
    }
    true
}

async fn forget_later(core: Arc<EngineCore>, life: u64, ended: Vec<StreamName>) {
    let keep = core.options.scaled_ms(core.options.keep_stream_ms as f64);
    tokio::time::sleep(keep).await;
    let mut inner = core.inner();
    if inner.life == life {
        inner.streams.retain(|name, _| !ended.contains(name));
    }
}

/// Changes role and models; every accepted stream has ended before.
async fn change(core: &Arc<EngineCore>, life: u64, desired: DesiredState) {
    let began = Instant::now();
    if core.inner().settle(&desired) {
        return;
    }
    let pause = core.options.scaled_ms(core.options.change_ms as f64);
    tokio::time::sleep(pause).await;
    let held = core.inner().models.clone();
    for model in &desired.models {
        if !held.contains(model) {
            fetch_weights(core, life, model).await;
        }
    }
    core.thawed().await;
    let mut inner = core.inner();
    if inner.life != life {
        return;
    }
    let cut = inner.streams.values().filter(|cell| cell.is_running());
    let cut = cut.count() as u64;
    inner.books.cut_by_change += cut;
    if inner.role == desired.role {
        inner.books.model_changes += 1;
    } else {
        inner.books.role_changes += 1;
    }
    let idle_ms = began.elapsed().as_secs_f64() * 1_000.0 * core.options.time_scale;
    inner.books.change_idle_ms += idle_ms as u64;
    inner.role = desired.role;
    inner.models.clone_from(&desired.models);
    inner.settle(&desired);
}

async fn fetch_weights(core: &EngineCore, life: u64, model: &str) {
    let options = &core.options;
    if options.weight_store.is_empty() {
        return;
    }
    let name = encode_segment(model);
    let url = format!(
        "http://{}/v1/weights/{name}?bytes={}",
        options.weight_store, options.model_bytes
    );
    while core.inner().life == life {
        let fetched = core.client.get(&url).send().await;
        let fetched = fetched.and_then(reqwest::Response::error_for_status);
        let is_whole = match fetched {
            Ok(answer) => answer.json::<WeightReply>().await.is_ok(),
            Err(_) => false,
        };
        if is_whole {
            return;
        }
        tokio::time::sleep(core.retry_after().max(FETCH_PAUSE)).await;
    }
}

/// Fetches a prompt's KV cache from another engine; without it the prompt is read.
pub(crate) async fn import_kv(core: Arc<EngineCore>, name: StreamName, body: GenerateBody) {
    let life = core.inner().life;
    let mut tokens = kv_of(&core, &body.import_kv_from, body.request_id.as_str()).await;
    if tokens == 0 && !body.shared_prefix.is_empty() {
        tokens = kv_of(&core, &body.import_kv_from, &body.shared_prefix).await;
    }
    let tokens = tokens.min(body.prompt_tokens);
    let rate = core.options.kv_transfer_tokens_per_second;
    let span = core.options.scaled_ms(f64::from(tokens) * 1_000.0 / rate);
    tokio::time::sleep(span).await;
    let mut inner = core.inner();
    if inner.life != life {
        return;
    }
    inner.books.imported_tokens += u64::from(tokens);
    inner.model.imported(&name, tokens);
    drop(inner);
    core.woken.notify_one();
}

async fn kv_of(core: &EngineCore, address: &str, name: &str) -> u32 {
    let url = format!("http://{address}/v1/kv/{}", encode_segment(name));
    let answer = core.client.get(url).send().await;
    let Ok(answer) = answer.and_then(reqwest::Response::error_for_status) else {
        return 0;
    };
    answer.json::<KvPart>().await.map_or(0, |part| part.tokens)
}

/// Samples the state, so that reports can be served late.
pub(crate) async fn run_samples(core: Arc<EngineCore>) {
    let lag = core.options.scaled_ms(core.options.report_lag_ms as f64);
    if lag.is_zero() {
        return;
    }
    let mut ticks = tokio::time::interval((lag / 8).clamp(SAMPLE_LEAST, SAMPLE_MOST));
    loop {
        ticks.tick().await;
        core.thawed().await;
        let now = Instant::now();
        let mut inner = core.inner();
        let state = inner.state(&core.options);
        inner.samples.push_back((now, state));
        let is_due = |at: &Instant| now.duration_since(*at) >= lag;
        while inner.samples.get(1).is_some_and(|(at, _)| is_due(at)) {
            inner.samples.pop_front();
        }
    }
}
