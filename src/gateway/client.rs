//! HTTP/1.1 client for one request at a time on one connection.
//!
//! It never sends a request twice. Its errors distinguish requests that certainly did not
//! run from those that may have run: a request that must not run twice may go to another
//! target only if it certainly did not run.

use std::cell::Cell;
use std::error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, Socket, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

use crate::clock;
use crate::gateway::limited_stream::{ByteAllowance, LimitedStream};
use crate::names::MonoTime;

/// Time after which unacknowledged bytes end a connection. Within one region an
/// acknowledgement takes milliseconds. Without this limit, a silent network partition would
/// hold the connection and its request for about 15 minutes, the kernel's default.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time before the first TCP keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes that end a connection.
const KEEPALIVE_RETRIES: u32 = 2;
/// Largest response head that a target may send, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Memory of a daemon for answers that are still arriving, in bytes.
const MAX_BUFFERED_BYTES: usize = 12 << 20;
/// Bytes of each answer that do not count, so that long answers do not displace the usual ones.
const UNCOUNTED_BYTES: usize = 64 * 1024;

/// Bytes as which a smaller chunk of an answer counts, since each takes time to read.
const MIN_FRAME_BYTES: usize = 256;

/// What a failed send means for the request.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SendError {
    /// No byte of the request was sent: it has not run.
    #[error("request not sent: {0}; it can be sent to another target")]
    NotSent(String),
    /// No byte of the request was sent, as the target is not to get it any more.
    #[error("request withdrawn: {0}; it can be sent to another target")]
    Withdrawn(String),
    /// The request was sent and not answered in time: it may have run.
    #[error("request not answered: {0}; it may have run, so retry only if it may run twice")]
    Unclear(String),
    /// The request was sent and the other side closed the connection before the end of the
    /// answer: it may have run.
    #[error(
        "connection closed before the end of the answer: {0}; the request may have run, so retry only if it may run twice"
    )]
    Cut(String),
}

/// Why a body was not read to its end.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The other side closed the connection, or sent invalid framing.
    #[error("the body was truncated: {0}; retry if the request may run twice")]
    Cut(String),
    /// The body exceeds the size limit.
    #[error("the body is larger than the limit of {0} bytes; send a smaller one")]
    TooLong(usize),
    /// The body did not end before the deadline.
    #[error("the body did not end before the deadline; send it faster or allow more time")]
    Slow,
}

impl From<BodyError> for SendError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Cut(reason) => Self::Cut(reason),
            BodyError::TooLong(_) | BodyError::Slow => Self::Unclear(error.to_string()),
        }
    }
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without hop-by-hop ones.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl OutgoingRequest {
    fn to_http(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}

/// An open connection. Dropping it closes it, which cancels the request in progress on it.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    allowance: ByteAllowance,
    // Reads and writes the connection; aborted with it, so that it does not read on.
    task: JoinHandle<()>,
    // Second handle of the socket, if the connection is reset when a call on it is given up.
    reset_handle: Option<Socket>,
    /// When the connection was opened.
    pub opened: MonoTime,
    /// When the last answer on it ended.
    pub idle_since: Instant,
    /// Until when the other side keeps it open, if stated.
    pub keep_alive_until: Option<Instant>,
    /// Whether a request was already sent on it.
    pub used: bool,
}

impl HttpConnection {
    /// Opens a connection to `address` before `deadline`.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if the connection cannot be opened.
    pub async fn open(address: SocketAddr, deadline: Instant) -> Result<Self, SendError> {
        Self::open_with(address, deadline, |_| Ok(None)).await
    }

    /// Opens a connection as [`Self::open`] does. If a call on it ends without its complete
    /// answer, or the process is killed during the call, the connection is reset instead of
    /// closed, so that the network drops bytes of the request that have not arrived.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if the connection cannot be opened.
    pub async fn open_resetting(address: SocketAddr, deadline: Instant) -> Result<Self, SendError> {
        let clone_socket = |stream: &TcpStream| SockRef::from(stream).try_clone().map(Some);
        Self::open_with(address, deadline, clone_socket).await
    }

    async fn open_with(
        address: SocketAddr,
        deadline: Instant,
        reset_handle: impl FnOnce(&TcpStream) -> io::Result<Option<Socket>>,
    ) -> Result<Self, SendError> {
        let connected = timeout_at(deadline, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_| SendError::NotSent(format!("{address}: connection timed out")))?
            .map_err(|error| SendError::NotSent(format!("{address}: {error}")))?;
        set_socket_options(&stream).map_err(|e| SendError::NotSent(format!("{address}: {e}")))?;
        let reset_handle = reset_handle(&stream)
            .map_err(|error| SendError::NotSent(format!("{address}: {error}")))?;
        let (limited, allowance) = LimitedStream::new(stream);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (sender, connection) = builder
            .handshake(TokioIo::new(limited))
            .await
            .map_err(|error| SendError::NotSent(format!("{address}: {error}")))?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} closed with an error: {error}");
            }
        });
        Ok(Self {
            sender,
            allowance,
            task,
            reset_handle,
            opened: clock::mono_now(),
            idle_since: Instant::now(),
            keep_alive_until: None,
            used: false,
        })
    }

    /// Returns whether a request can be sent now.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the request was not sent or may have run.
    pub async fn send(
        &mut self,
        request: &OutgoingRequest,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendError> {
        self.used = true;
        self.set_reset_on_close(true)
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        self.allowance.limit();
        let sending = self.sender.try_send_request(request.to_http());
        match timeout_at(deadline, sending).await {
            Err(_) => Err(SendError::Unclear(
                "no answer before the deadline".to_owned(),
            )),
            Ok(Ok(response)) => {
                self.allowance.lift();
                Ok(response)
            }
            Ok(Err(mut error)) => match error.take_message() {
                Some(_) => Err(SendError::NotSent(error.into_error().to_string())),
                None => Err(answer_error(&error.into_error())),
            },
        }
    }
}

impl HttpConnection {
    // A linger time of zero makes every close a reset, also the close by the kernel when the
    // process is killed.
    fn set_reset_on_close(&self, is_reset: bool) -> io::Result<()> {
        match &self.reset_handle {
            Some(socket) => socket.set_linger(is_reset.then_some(Duration::ZERO)),
            None => Ok(()),
        }
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sets the time-outs that detect a silent network partition quickly, and disables Nagle's
/// algorithm.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)
}

// If the network stops acknowledging bytes, only this side closes the connection; the
// target may still be running the request.
fn answer_error(error: &hyper::Error) -> SendError {
    if is_timeout(error) {
        SendError::Unclear(error.to_string())
    } else {
        SendError::Cut(error.to_string())
    }
}

/// Returns whether a connection ended because sent bytes were not acknowledged in time.
#[must_use]
pub fn is_timeout(error: &(dyn error::Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(found) = cause {
        let kind = found.downcast_ref::<io::Error>().map(io::Error::kind);
        if kind == Some(io::ErrorKind::TimedOut) {
            return true;
        }
        cause = found.source();
    }
    false
}

/// Memory that the daemon has left for answers that are still arriving.
#[derive(Debug)]
pub struct AnswerMemory(Cell<usize>);

impl Default for AnswerMemory {
    fn default() -> Self {
        Self(Cell::new(MAX_BUFFERED_BYTES))
    }
}

/// Memory taken for one answer; it is given back on drop.
struct MemoryShare<'a> {
    memory: &'a AnswerMemory,
    taken: usize,
}

impl MemoryShare<'_> {
    // Returns whether an answer of `length` bytes so far still has room.
    fn cover(&mut self, length: usize) -> bool {
        let needed = length.saturating_sub(UNCOUNTED_BYTES);
        let more = needed.saturating_sub(self.taken);
        let Some(left) = self.memory.0.get().checked_sub(more) else {
            return false;
        };
        self.memory.0.set(left);
        self.taken += more;
        true
    }
}

impl Drop for MemoryShare<'_> {
    fn drop(&mut self) {
        self.memory.0.set(self.memory.0.get() + self.taken);
    }
}

/// Reads the whole body of an answer of at most `max_bytes` before `deadline`, as long as there is
/// `memory` for it.
///
/// # Errors
///
/// Returns an error if the body is truncated, too long or too slow.
pub async fn read_answer<B>(
    mut body: B,
    max_bytes: usize,
    deadline: Instant,
    memory: &AnswerMemory,
) -> Result<Bytes, BodyError>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: error::Error + Send + Sync + 'static,
{
    let mut share = MemoryShare { memory, taken: 0 };
    let mut bytes = BytesMut::new();
    let mut counted = 0;
    loop {
        let frame = match timeout_at(deadline, body.frame()).await {
            Err(_) => return Err(BodyError::Slow),
            Ok(None) => return Ok(bytes.freeze()),
            Ok(Some(Err(error))) if is_timeout(&error) => return Err(BodyError::Slow),
            Ok(Some(Err(error))) => return Err(BodyError::Cut(error.to_string())),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        counted += data.len().max(MIN_FRAME_BYTES);
        if counted > max_bytes || !share.cover(counted) {
            return Err(BodyError::TooLong(counted.min(max_bytes)));
        }
        bytes.extend_from_slice(&data);
    }
}

/// Reads a whole body of at most `max_bytes` before `deadline`.
///
/// # Errors
///
/// Returns an error if the body is truncated, too long or too slow.
pub async fn read_body<B>(body: B, max_bytes: usize, deadline: Instant) -> Result<Bytes, BodyError>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn error::Error + Send + Sync>>,
{
    let collecting = Limited::new(body, max_bytes).collect();
    match timeout_at(deadline, collecting).await {
        Err(_) => Err(BodyError::Slow),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLong(max_bytes)),
        Ok(Err(error)) if is_timeout(&*error) => Err(BodyError::Slow),
        Ok(Err(error)) => Err(BodyError::Cut(error.to_string())),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
    }
}

/// Sends one request on a connection and reads the whole answer.
///
/// # Errors
///
/// Returns an error that states whether the request was not sent or may have run.
pub async fn call(
    connection: &mut HttpConnection,
    request: &OutgoingRequest,
    max_bytes: usize,
    deadline: Instant,
) -> Result<(http::response::Parts, Bytes), SendError> {
    let response = connection.send(request, deadline).await?;
    let (head, body) = response.into_parts();
    let body = read_body(body, max_bytes, deadline).await?;
    connection.idle_since = Instant::now();
    // A reset after a complete answer loses nothing, so a failure does not matter.
    let _ = connection.set_reset_on_close(false);
    Ok((head, body))
}
