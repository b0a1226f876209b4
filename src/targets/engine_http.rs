//! Adapter for model engines: JSON over HTTP, streams as one JSON object per line.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::{self, BoxStream};
use reqwest::{Method, RequestBuilder, Response};
use serde::de::DeserializeOwned;

use crate::names::RequestId;
use crate::ports::{EnginePort, LineStream, PortFuture, StreamPosition, TargetCall, TargetError};
use crate::targets::call::{
    StatementObserver, TargetClient, body_error, no_answer, unknown_outcome,
};
use crate::targets::wire::{CacheEvent, CacheEvents, EngineState, OrderBody, StreamLine};

/// Maximum length of a line from an engine.
const MAX_LINE_BYTES: usize = 4 << 20;

/// Builds the port to model engines.
///
/// # Errors
///
/// Returns the library's error when the HTTP client cannot be built.
pub fn engine_port(observer: StatementObserver) -> reqwest::Result<EnginePort> {
    let client = TargetClient::new(observer)?;
    let [c1, c2, c3, c4, c5, c6] = std::array::from_fn(|_| client.clone());
    Ok(EnginePort {
        generate: Arc::new(move |call| {
            let request = c1.request(Method::POST, &call.address, "/v1/streams");
            open_stream(&c1, request.json(&call.body), call.timeout)
        }),
        resume: Arc::new(move |call| {
            let request = c2.request(Method::GET, &call.address, &resume_path(&call.body));
            open_stream(&c2, request, call.timeout)
        }),
        cancel: Arc::new(move |call| cancel(&c3, &call)),
        state: Arc::new(move |call| {
            let request = c4.request(Method::GET, &call.address, "/v1/state");
            fetch(&c4, request, call.timeout)
        }),
        cache_events: Arc::new(move |call| cache_events(&c5, &call)),
        order: Arc::new(move |call| order(&c6, &call)),
    })
}

fn resume_path(position: &StreamPosition) -> String {
    let StreamPosition {
        request_id,
        attempt,
        offset,
    } = position;
    format!("/v1/streams/{request_id}/{attempt}?offset={offset}")
}

fn open_stream(
    client: &TargetClient,
    request: RequestBuilder,
    timeout: Duration,
) -> PortFuture<Result<LineStream, TargetError>> {
    let client = client.clone();
    Box::pin(async move {
        let response = client.send(request, timeout).await?;
        Ok(lines(response))
    })
}

fn cancel(
    client: &TargetClient,
    call: &TargetCall<RequestId>,
) -> PortFuture<Result<bool, TargetError>> {
    let path = format!("/v1/streams/{}", call.body);
    let request = client.request(Method::DELETE, &call.address, &path);
    let (client, timeout) = (client.clone(), call.timeout);
    Box::pin(async move {
        match client.send(request, timeout).await {
            Ok(_) => Ok(true),
            Err(TargetError::NoStream) => Ok(false),
            Err(error) => Err(error),
        }
    })
}

fn cache_events(
    client: &TargetClient,
    call: &TargetCall<u64>,
) -> PortFuture<Result<Vec<CacheEvent>, TargetError>> {
    let path = format!("/v1/cache-events?since={}", call.body);
    let request = client.request(Method::GET, &call.address, &path);
    let reply = fetch::<CacheEvents>(client, request, call.timeout);
    Box::pin(async move { Ok(reply.await?.events) })
}

fn order(
    client: &TargetClient,
    call: &TargetCall<OrderBody>,
) -> PortFuture<Result<EngineState, TargetError>> {
    let request = client.request(Method::POST, &call.address, "/v1/orders");
    fetch(client, request.json(&call.body), call.timeout)
}

/// Sends a request and reads its complete response as JSON; header and body may take
/// `timeout` each.
fn fetch<T: DeserializeOwned + Send + 'static>(
    client: &TargetClient,
    request: RequestBuilder,
    timeout: Duration,
) -> PortFuture<Result<T, TargetError>> {
    let client = client.clone();
    Box::pin(async move {
        let response = client.send(request, timeout).await?;
        let body = tokio::time::timeout(timeout, response.json()).await;
        match body {
            Err(_) => Err(no_answer(timeout)),
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
