//! What a daemon adds to the latency of an engine asked directly.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use eyre::{Result, bail};
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use pistachiowick::pb;
use pistachiowick::pb::answer_event::Event;
use pistachiowick::pb::requests_client::RequestsClient;
use pistachiowick::ports::{EnginePort, TargetCall};
use pistachiowick::targets::engine_http::engine_port;
use pistachiowick::targets::wire::GenerateBody;
use serde::Serialize;
use tonic::transport::{Channel, Endpoint};

use crate::fleet::{LabFleet, with_key};
use crate::quickstart::{MODEL, workspace_key};

/// Pairs of requests measured, one after the other.
const PAIRS: usize = 200;
const PROMPT: &str = "out=1 latency";
const PATIENCE: Duration = Duration::from_secs(5);

/// Added latency in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct AddedLatency {
    /// Median through a daemon less median asked directly.
    pub p50_ms: f64,
    /// 99th percentile through a daemon less that asked directly.
    pub p99_ms: f64,
    /// Median asked directly.
    pub direct_p50_ms: f64,
}

/// Measures requests of one output token through a daemon and directly, in turn.
///
/// # Errors
///
/// Returns an error when a request is not answered.
pub async fn measure_added_latency(fleet: &LabFleet) -> Result<AddedLatency> {
    let address = fleet.engines[0].address();
    let port = engine_port(Arc::new(|_, _| ()))?;
    let endpoint = Endpoint::from_shared(format!("http://{}", fleet.addresses()[0]))?;
    let mut client = RequestsClient::new(endpoint.connect().await?);
    let mut direct = Histogram::<u64>::new(3)?;
    let mut through = Histogram::<u64>::new(3)?;
    for number in 0..PAIRS {
        let begun = Instant::now();
        ask_engine(&port, &address, number).await?;
        direct.record(begun.elapsed().as_micros() as u64)?;
        let begun = Instant::now();
        ask_daemon(&mut client).await?;
        through.record(begun.elapsed().as_micros() as u64)?;
    }
    let added = |quantile| {
        let through = through.value_at_quantile(quantile) as f64;
        (through - direct.value_at_quantile(quantile) as f64) / 1_000.0
    };
    Ok(AddedLatency {
        p50_ms: added(0.5),
        p99_ms: added(0.99),
        direct_p50_ms: direct.value_at_quantile(0.5) as f64 / 1_000.0,
    })
}

async fn ask_engine(port: &EnginePort, address: &str, number: usize) -> Result<()> {
    let call = TargetCall {
        address: address.to_owned(),
        timeout: PATIENCE,
        body: GenerateBody {
            request_id: format!("direct-{number}").into(),
            attempt: 1,
            workspace: "rowing".into(),
            model: MODEL.into(),
            adapter: String::new(),
            version: "1".to_owned(),
            priority: 0,
            deadline_ms: PATIENCE.as_millis() as u64,
            prompt: STANDARD.encode(PROMPT),
            prompt_tokens: 1,
            max_output_tokens: 1,
            offset: 0,
            tokens_done: 0,
            shared_prefix: String::new(),
            shared_prefix_tokens: 0,
            import_kv_from: String::new(),
        },
    };
    let mut lines = (port.generate)(call).await?;
    while let Some(line) = lines.next().await {
        if line?.end.is_some() {
            return Ok(());
        }
    }
    bail!("the engine's stream ended without its end")
}

async fn ask_daemon(client: &mut RequestsClient<Channel>) -> Result<()> {
    let submit = pb::SubmitRequest {
        class: "check".to_owned(),
        prompt: PROMPT.as_bytes().to_vec(),
        prompt_tokens: 1,
        max_output_tokens: 1,
        ..pb::SubmitRequest::default()
    };
    let call = with_key(submit, &workspace_key("rowing"));
    let mut events = client.submit(call).await?.into_inner();
    while let Some(event) = events.message().await? {
        if let Some(Event::Final(last)) = event.event {
            if last.outcome() == pb::Outcome::Answered {
                return Ok(());
            }
            bail!("not answered: {}", last.reason);
        }
    }
    bail!("the daemon's stream ended without a final outcome")
}
