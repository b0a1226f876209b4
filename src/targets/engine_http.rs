//! Adapter for model engines: JSON over HTTP, streams as one JSON object per line.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::{self, BoxStream};
use reqwest::{Client, RequestBuilder, Response};
use serde::de::DeserializeOwned;

use crate::names::RequestId;
use crate::ports::{EnginePort, LineStream, PortFuture, StreamPosition, TargetCall, TargetError};
use crate::targets::call::{self, body_error, send, unknown_outcome};
use crate::targets::wire::{CacheEvent, CacheEvents, EngineState, OrderBody, StreamLine};

/// Maximum length of a line from an engine.
const MAX_LINE_BYTES: usize = 4 << 20;

/// Builds the port to model engines.
///
/// # Errors
///
/// Returns the library's error when the HTTP client cannot be built.
pub fn engine_port() -> reqwest::Result<EnginePort> {
    let client = call::new_http_client()?;
    let [c1, c2, c3, c4, c5, c6] = std::array::from_fn(|_| client.clone());
    Ok(EnginePort {
        generate: Arc::new(move |call| {
            let url = format!("http://{}/v1/streams", call.address);
            open_stream(c1.post(url).json(&call.body), call.timeout)
        }),
        resume: Arc::new(move |call| {
            let timeout = call.timeout;
            open_stream(c2.get(resume_url(&call)), timeout)
        }),
        cancel: Arc::new(move |call| cancel(&c3, &call)),
        state: Arc::new(move |call| {
            let url = format!("http://{}/v1/state", call.address);
            fetch(c4.get(url), call.timeout)
        }),
        cache_events: Arc::new(move |call| cache_events(&c5, &call)),
        order: Arc::new(move |call| order(&c6, &call)),
    })
}

fn resume_url(call: &TargetCall<StreamPosition>) -> String {
    let StreamPosition {
        request_id,
        attempt,
        offset,
    } = &call.body;
    let address = &call.address;
    format!("http://{address}/v1/streams/{request_id}/{attempt}?offset={offset}")
}

fn open_stream(
    request: RequestBuilder,
    timeout: Duration,
) -> PortFuture<Result<LineStream, TargetError>> {
    Box::pin(async move {
        let response = send(request, timeout).await?;
        Ok(lines(response))
    })
}

fn cancel(client: &Client, call: &TargetCall<RequestId>) -> PortFuture<Result<bool, TargetError>> {
    let url = format!("http://{}/v1/streams/{}", call.address, call.body);
    let request = client.delete(url);
    let timeout = call.timeout;
    Box::pin(async move {
        match send(request, timeout).await {
            Ok(_) => Ok(true),
            Err(TargetError::NoStream) => Ok(false),
            Err(error) => Err(error),
        }
    })
}

fn cache_events(
    client: &Client,
    call: &TargetCall<u64>,
) -> PortFuture<Result<Vec<CacheEvent>, TargetError>> {
    let url = format!(
        "http://{}/v1/cache-events?since={}",
        call.address, call.body
    );
    let reply = fetch::<CacheEvents>(client.get(url), call.timeout);
    Box::pin(async move { Ok(reply.await?.events) })
}

fn order(
    client: &Client,
    call: &TargetCall<OrderBody>,
) -> PortFuture<Result<EngineState, TargetError>> {
    let url = format!("http://{}/v1/orders", call.address);
    fetch(client.post(url).json(&call.body), call.timeout)
}

/// Sends a request and reads its complete response as JSON; header and body may take
/// `timeout` each.
fn fetch<T: DeserializeOwned + Send + 'static>(
    request: RequestBuilder,
    timeout: Duration,
) -> PortFuture<Result<T, TargetError>> {
    Box::pin(async move {
        let response = send(request, timeout).await?;
        let body = tokio::time::timeout(timeout, response.json()).await;
        match body {
            Err(_) => Err(unknown_outcome(format!(
                "no complete answer within {timeout:?}"
            ))),
            Ok(Err(error)) => Err(body_error(&error)),
            Ok(Ok(value)) => Ok(value),
        }
    })
}

fn lines(response: Response) -> LineStream {
    let bytes = response.bytes_stream().boxed();
    let reader = LineReader {
        bytes,
        buffer: Vec::new(),
        is_finished: false,
    };
    stream::unfold(reader, next_line).boxed()
}

struct LineReader {
    bytes: BoxStream<'static, reqwest::Result<prost::bytes::Bytes>>,
    buffer: Vec<u8>,
    is_finished: bool,
}

async fn next_line(
    mut reader: LineReader,
) -> Option<(Result<StreamLine, TargetError>, LineReader)> {
    while !reader.is_finished {
        if let Some(line) = split_line(&mut reader.buffer) {
            return Some((parse_line(&line), reader));
        }
        match reader.bytes.next().await {
            None => reader.is_finished = true,
            Some(Err(error)) => {
                reader.is_finished = true;
                return Some((Err(body_error(&error)), reader));
            }
            Some(Ok(bytes)) => reader.buffer.extend_from_slice(&bytes),
        }
        if reader.buffer.len() > MAX_LINE_BYTES {
            reader.is_finished = true;
            let reason = format!("a line is longer than {MAX_LINE_BYTES} bytes");
            return Some((Err(unknown_outcome(reason)), reader));
        }
    }
    None
}

fn split_line(buffer: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = buffer.iter().position(|byte| *byte == b'\n')?;
    let rest = buffer.split_off(end + 1);
    let mut line = std::mem::replace(buffer, rest);
    line.pop();
    Some(line)
}

fn parse_line(line: &[u8]) -> Result<StreamLine, TargetError> {
    serde_json::from_slice(line)
        .map_err(|error| unknown_outcome(format!("a line could not be decoded: {error}")))
}
