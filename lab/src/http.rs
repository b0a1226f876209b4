//! A small HTTP server on `salvo`: one handler from an owned call to an owned answer.
//!
//! The stand-ins need what web frameworks hide: breaking a connection in the
//! middle of an answer, and closing the listener and opening it again on the same
//! port.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use eyre::{Context, Result};
use futures_util::stream::{self, BoxStream};
use indexmap::IndexMap;
use pistachiowick::ports::PortCall;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::header::{HeaderName, HeaderValue};
use salvo::http::{HeaderMap, Method, StatusCode};
use salvo::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;

/// Header that says when to come back, in milliseconds.
pub const RETRY_AFTER: &str = "retry-after-ms";

/// Largest body read from a caller.
const BODY_LIMIT: usize = 8 << 20;

/// Tries to take the port again after a restart.
const REBIND_TRIES: u32 = 200;

/// Pause between those tries.
const REBIND_PAUSE: Duration = Duration::from_millis(10);

/// A call as received.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Method.
    pub method: Method,
    /// Path, split at slashes and percent-decoded.
    pub segments: Vec<String>,
    /// Query parameters; the last of a name counts.
    pub query: IndexMap<String, String>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

impl HttpCall {
    /// Returns the path segments as text, to be matched on.
    #[must_use]
    pub fn path(&self) -> Vec<&str> {
        self.segments.iter().map(String::as_str).collect()
    }

    /// Returns a number from the query, or 0.
    #[must_use]
    pub fn number(&self, name: &str) -> u64 {
        self.query
            .get(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or_default()
    }

    /// Returns a header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns the answer 400 with the reason when the body does not parse.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HttpAnswer> {
        serde_json::from_slice(&self.body)
            .map_err(|error| HttpAnswer::text(400, format!("the body does not parse: {error}")))
    }
}

/// Body of an answer.
pub enum AnswerBody {
    /// Nothing but a broken connection.
    Broken,
    /// Parts as they come.
    Parts(BoxStream<'static, io::Result<Vec<u8>>>),
    /// All at once.
    Whole(Vec<u8>),
}

/// An answer to send.
pub struct HttpAnswer {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: AnswerBody,
}

impl HttpAnswer {
    /// Returns an answer with bytes.
    #[must_use]
    pub fn bytes(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: AnswerBody::Whole(body),
        }
    }

    /// Returns an answer with text.
    #[must_use]
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        Self::bytes(status, text.into().into_bytes())
    }

    /// Returns an answer with JSON.
    ///
    /// # Panics
    ///
    /// Panics when the value cannot be written as JSON, which no type here does.
    #[must_use]
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        let body = serde_json::to_vec(value).expect("wire types serialise");
        Self::bytes(status, body).with("content-type", "application/json")
    }

    /// Returns a refusal that certainly had no effect.
    #[must_use]
    pub fn refusal(status: u16, reason: &str, retry_after: Duration) -> Self {
        Self::text(status, reason).with(RETRY_AFTER, retry_after.as_millis().to_string())
    }

    /// Returns an answer that breaks the connection.
    #[must_use]
    pub const fn broken() -> Self {
        Self {
            status: 500,
            headers: Vec::new(),
            body: AnswerBody::Broken,
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Answers calls.
pub type HttpHandler = PortCall<HttpCall, HttpAnswer>;

/// A server that can be closed and opened again at its address.
pub struct HttpServer {
    address: SocketAddr,
    handler: HttpHandler,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl HttpServer {
    /// Listens at `address`, port 0 for any.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(address: &str, handler: HttpHandler) -> Result<Self> {
        let address: SocketAddr = address
            .parse()
            .wrap_err_with(|| format!("{address} is no address; write IP:PORT"))?;
        let acceptor = listen(address).wrap_err_with(|| format!("cannot listen at {address}"))?;
        let local = acceptor.local_addr().wrap_err("no local address")?;
        let task = tokio::spawn(serve(acceptor, handler.clone()));
        Ok(Self {
            address: local,
            handler,
            task: Mutex::new(Some(task)),
        })
    }

    /// Returns the IP number and port.
    #[must_use]
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Closes the listener and breaks all connections at once.
    pub fn close(&self) {
        let task = self
            .task
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(task) = task {
            task.abort();
        }
    }

    /// Listens again at the same address.
    ///
    /// # Errors
    ///
    /// Returns an error when the port was taken by another process meanwhile.
    pub async fn open(&self) -> Result<()> {
        let mut tries = 0;
        let acceptor = loop {
            match listen(self.address) {
                Ok(acceptor) => break acceptor,
                Err(error) if tries == REBIND_TRIES => {
                    return Err(eyre::eyre!("cannot listen at {}: {error}", self.address));
                }
                Err(_) => {
                    tries += 1;
                    tokio::time::sleep(REBIND_PAUSE).await;
                }
            }
        };
        let task = tokio::spawn(serve(acceptor, self.handler.clone()));
        let previous = self
            .task
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .replace(task);
        if let Some(previous) = previous {
            previous.abort();
        }
        Ok(())
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.close();
    }
}

/// Listens with small packets sent at once: without it each line of a stream after
/// the first waits some 40 ms for the other side's delayed acknowledgement.
fn listen(address: SocketAddr) -> std::io::Result<TcpAcceptor> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_nodelay(true)?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    TcpAcceptor::try_from(socket.listen(BACKLOG)?)
}

async fn serve(acceptor: impl salvo::conn::Acceptor, handler: HttpHandler) {
    let router = Router::with_path("{**rest}").goal(CallHandler { handler });
    if let Err(error) = Server::new(acceptor).disable_fuse().try_serve(router).await {
        log::error!("a stand-in stopped serving: {error}");
    }
}

struct CallHandler {
    handler: HttpHandler,
}

#[async_trait]
impl Handler for CallHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let answer = match receive(request).await {
            Ok(call) => (self.handler)(call).await,
            Err(answer) => answer,
        };
        send(answer, response);
    }
}

async fn receive(request: &mut Request) -> Result<HttpCall, HttpAnswer> {
    let body = request
        .payload_with_max_size(BODY_LIMIT)
        .await
        .map_err(|error| HttpAnswer::text(413, format!("the body was not read: {error}")))?
        .to_vec();
    Ok(HttpCall {
        method: request.method().clone(),
        segments: request
            .uri()
            .path()
            .split('/')
            .filter(|segment| !segment.is_empty())
            .map(decode_segment)
            .collect(),
        query: request
            .queries()
            .iter()
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect(),
        headers: request.headers().clone(),
        body,
    })
}

fn send(answer: HttpAnswer, response: &mut Response) {
    response.status_code(StatusCode::from_u16(answer.status).unwrap_or_default());
    for (name, value) in answer.headers {
        if let Ok(value) = HeaderValue::from_str(&value) {
            response
                .headers_mut()
                .insert(HeaderName::from_static(name), value);
        }
    }
    match answer.body {
        AnswerBody::Whole(body) => {
            response.body(body);
        }
        AnswerBody::Parts(parts) => response.stream(parts),
        AnswerBody::Broken => response.stream(stream::once(async {
            Err::<Vec<u8>, _>(io::Error::other("broken on purpose"))
        })),
    }
}

fn decode_segment(segment: &str) -> String {
    let mut decoded = Vec::with_capacity(segment.len());
    let mut rest = segment.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let escaped = (first == b'%').then(|| hex_byte(tail)).flatten();
        decoded.push(escaped.unwrap_or(first));
        rest = if escaped.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn hex_byte(digits: &[u8]) -> Option<u8> {
    let text = std::str::from_utf8(digits.get(..2)?).ok()?;
    u8::from_str_radix(text, 16).ok()
}

/// Escapes text for use as one path segment.
#[must_use]
pub fn encode_segment(text: &str) -> String {
    text.bytes()
        .map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}
