//! HTTP calls of the engine stand-in.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use pistachiowick::names::FenceNumber;
use pistachiowick::targets::wire::{GenerateBody, OrderBody};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::UnboundedSender;

use crate::engine::{EngineCore, KvPart, StartRefusal};
use crate::engine_options::EngineFaults;
use crate::engine_stream::{StreamCell, read_lines};
use crate::http::{AnswerBody, HttpAnswer, HttpCall};

/// Answer to an order with an old fence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FenceReply {
    /// Highest fence seen.
    pub fence: FenceNumber,
}

/// Begins a prompt under which the engine crashes, whichever it is.
pub const FATAL_PROMPT: &str = "fatal";
/// How long it is away then.
const FATAL_DOWN: Duration = Duration::from_millis(700);

/// Answers one call; a crash asked for goes to `crash` with its length.
pub async fn handle(
    core: Arc<EngineCore>,
    call: HttpCall,
    crash: UnboundedSender<Duration>,
) -> HttpAnswer {
    if call.segments.first().is_some_and(|part| part == "lab") {
        return handle_lab(&core, &call, &crash);
    }
    core.thawed().await;
    let answer = handle_work(core.clone(), &call, &crash);
    let inner = core.inner();
    let answer = inner.faults.statement.state_in(answer);
    inner.limit.name_in(answer)
}

fn handle_work(
    core: Arc<EngineCore>,
    call: &HttpCall,
    crash: &UnboundedSender<Duration>,
) -> HttpAnswer {
    match (call.method.as_str(), call.path().as_slice()) {
        ("POST", ["v1", "streams"]) => start(core, call, crash),
        ("GET", ["v1", "streams", request_id, attempt]) => {
            resume(core, request_id, attempt, call.number("offset"))
        }
        ("DELETE", ["v1", "streams", request_id]) => cancel(&core, request_id),
        ("GET", ["v1", "state"]) => HttpAnswer::json(200, &core.reported_state()),
        ("GET", ["v1", "cache-events"]) => {
            HttpAnswer::json(200, &core.cache_events(call.number("since")))
        }
        ("POST", ["v1", "orders"]) => order(&core, call),
        ("GET", ["v1", "kv", name]) => match core.export_kv(name) {
            Some(part) => HttpAnswer::json(200, &part),
            None => HttpAnswer::text(404, "not cached"),
        },
        ("PUT", ["v1", "kv", name]) => import(&core, name, call),
        _ => HttpAnswer::text(404, "no such call"),
    }
}

fn handle_lab(core: &EngineCore, call: &HttpCall, crash: &UnboundedSender<Duration>) -> HttpAnswer {
    match (call.method.as_str(), call.path().as_slice()) {
        ("GET", ["lab", "books"]) => HttpAnswer::json(200, &core.books()),
        ("GET", ["lab", "faults"]) => HttpAnswer::json(200, &core.faults()),
        ("POST", ["lab", "faults"]) => match call.json::<EngineFaults>() {
            Ok(faults) => set_faults(core, faults, crash),
            Err(answer) => answer,
        },
        ("POST", ["lab", "leave"]) => {
            core.leave();
            HttpAnswer::text(200, "")
        }
        ("POST", ["lab", "stay"]) => {
            core.stay();
            HttpAnswer::text(200, "")
        }
        _ => HttpAnswer::text(404, "no such call"),
    }
}

fn set_faults(
    core: &EngineCore,
    faults: EngineFaults,
    crash: &UnboundedSender<Duration>,
) -> HttpAnswer {
    if let Some(ms) = faults.freeze_ms {
        core.freeze(Duration::from_millis(ms));
    }
    if let Some(ms) = faults.crash_ms {
        let _ = crash.send(Duration::from_millis(ms));
    }
    core.set_faults(faults);
    HttpAnswer::text(200, "")
}

fn start(core: Arc<EngineCore>, call: &HttpCall, crash: &UnboundedSender<Duration>) -> HttpAnswer {
    core.record_arrival();
    let body: GenerateBody = match call.json() {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let Ok(prompt) = STANDARD.decode(&body.prompt) else {
        return HttpAnswer::text(400, "the prompt is not base64");
    };
    if let Some(refusal) = core.faults().statement.refusal() {
        return refusal;
    }
    let retry_after = core.retry_after();
    match core.start_stream(&body, &prompt) {
        Ok(cell) => {
            if prompt.starts_with(FATAL_PROMPT.as_bytes()) {
                let _ = crash.send(FATAL_DOWN);
            }
            lines(core, cell, body.offset)
        }
        Err(StartRefusal::TooLarge) => {
            HttpAnswer::text(422, "prompt and answer never fit into the KV cache")
        }
        Err(refusal) => HttpAnswer::refusal(503, refusal_text(refusal), retry_after),
    }
}

const fn refusal_text(refusal: StartRefusal) -> &'static str {
    match refusal {
        StartRefusal::Changing => "changing role or models",
        StartRefusal::Leaving => "leaving",
        StartRefusal::NotLoaded => "model not loaded",
        StartRefusal::QueueFull => "queue full",
        StartRefusal::TooLarge => "too large",
    }
}

fn resume(core: Arc<EngineCore>, request_id: &str, attempt: &str, offset: u64) -> HttpAnswer {
    let Ok(attempt) = attempt.parse() else {
        return HttpAnswer::text(400, "the attempt is not a number");
    };
    match core.find_stream(request_id, attempt) {
        Some(cell) => lines(core, cell, offset),
        None => HttpAnswer::text(404, "no such stream"),
    }
}

fn lines(core: Arc<EngineCore>, cell: Arc<StreamCell>, offset: u64) -> HttpAnswer {
    HttpAnswer {
        status: 200,
        headers: vec![("content-type", "application/x-ndjson".to_owned())],
        body: AnswerBody::Parts(read_lines(core, cell, offset)),
    }
}

fn cancel(core: &EngineCore, request_id: &str) -> HttpAnswer {
    if core.cancel(request_id) {
        HttpAnswer::text(200, "stopped")
    } else {
        HttpAnswer::text(404, "nothing ran")
    }
}

fn order(core: &EngineCore, call: &HttpCall) -> HttpAnswer {
    let order: OrderBody = match call.json() {
        Ok(order) => order,
        Err(answer) => return answer,
    };
    match core.order(&order) {
        Ok(state) => HttpAnswer::json(200, &state),
        Err(fence) => HttpAnswer::json(409, &FenceReply { fence }),
    }
}

fn import(core: &EngineCore, name: &str, call: &HttpCall) -> HttpAnswer {
    match call.json::<KvPart>() {
        Ok(part) if part.prefix == name => {
            core.import_prefix(&part);
            HttpAnswer::text(200, "")
        }
        Ok(_) => HttpAnswer::text(400, "the body names another prefix"),
        Err(answer) => answer,
    }
}
