//! HTTP/1.1 client for one request on one connection, with honest outcomes.
//!
//! It never sends a request twice. What became of a send is a type, because the
//! difference decides whether another target may be asked: only what certainly
//! did not run may go elsewhere when it must not run twice.

use std::error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use crate::clock;
use crate::names::MonoTime;

/// Time after which unacknowledged bytes end a connection. Within one region an
/// acknowledgement takes milliseconds; a silent partition would otherwise hold the
/// connection, and the request on it, for the kernel's quarter of an hour.
const ACK_WAIT: Duration = Duration::from_millis(2_500);
/// Idle time and interval of keep-alive probes; two lost ones end the connection.
const PROBE_EVERY: Duration = Duration::from_secs(1);
const PROBES_LOST: u32 = 2;
/// Largest head that a target may send, in bytes.
const HEAD_BYTES: usize = 32 * 1024;

/// What a failed send means for the request.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SendError {
    /// No byte of the request left: it has not run.
    #[error("not sent: {0}; another target may be asked")]
    NotSent(String),
    /// The request left and no answer came in time: it may have run.
    #[error("no answer: {0}; the request may have run")]
    Unclear(String),
    /// The request left and the other side ended the connection before a whole answer: it
    /// may have run.
    #[error("connection ended: {0}; the request may have run")]
    Cut(String),
}

/// Why a body was not read to its end.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The other side ended the connection, or its framing cannot be read.
    #[error("the body was cut: {0}; ask again if the request may be repeated")]
    Cut(String),
    /// It is larger than allowed.
    #[error("the body is larger than {0} bytes; send less")]
    TooLong(usize),
    /// It did not end in time.
    #[error("the body did not end in time; allow more time")]
    Slow,
}

impl From<BodyError> for SendError {
    fn from(fault: BodyError) -> Self {
        match fault {
            BodyError::Cut(reason) => Self::Cut(reason),
            BodyError::TooLong(_) | BodyError::Slow => Self::Unclear(fault.to_string()),
        }
    }
}

/// A request as it goes out.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without those of one connection.
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

/// An open connection; dropping it closes it and with it what runs on it.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    /// When it was opened.
    pub opened: MonoTime,
    /// When its last answer ended.
    pub idle_since: Instant,
    /// Until when the other side keeps it, where it says so.
    pub kept_until: Option<Instant>,
    /// Whether a request was sent on it before.
    pub used: bool,
}

impl HttpConnection {
    /// Opens a connection, until `deadline` at the latest.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] where none can be had.
    pub async fn open(address: SocketAddr, deadline: Instant) -> Result<Self, SendError> {
        let connected = timeout_at(deadline, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_| SendError::NotSent(format!("{address} took no connection in time")))?
            .map_err(|error| SendError::NotSent(format!("{address}: {error}")))?;
        set_socket_options(&stream).map_err(|e| SendError::NotSent(format!("{address}: {e}")))?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(HEAD_BYTES);
        let (sender, connection) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendError::NotSent(format!("{address}: {error}")))?;
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(Self {
            sender,
            opened: clock::mono_now(),
            idle_since: Instant::now(),
            kept_until: None,
            used: false,
        })
    }

    /// Whether a request could be sent now.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns what became of the request.
    pub async fn send(
        &mut self,
        request: &OutgoingRequest,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendError> {
        self.used = true;
        let sending = self.sender.try_send_request(request.to_http());
        match timeout_at(deadline, sending).await {
            Err(_) => Err(SendError::Unclear("no answer in time".to_owned())),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(mut error)) => match error.take_message() {
                Some(_) => Err(SendError::NotSent(error.into_error().to_string())),
                None => Err(lost_answer(&error.into_error())),
            },
        }
    }
}

/// Sets what notices a silent partition soon, and sends small messages at once.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(ACK_WAIT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES_LOST);
    socket.set_tcp_keepalive(&probes)
}

// A path that takes no bytes any more ends the connection here; the other side may go on.
fn lost_answer(error: &hyper::Error) -> SendError {
    if is_timeout(error) {
        SendError::Unclear(error.to_string())
    } else {
        SendError::Cut(error.to_string())
    }
}

/// Whether a connection ended because nothing was acknowledged on it for too long.
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

/// Reads a whole body of at most `most_bytes`, until `deadline`.
///
/// # Errors
///
/// Returns what is wrong: cut short, too long, or too slow.
pub async fn read_body<B>(body: B, most_bytes: usize, deadline: Instant) -> Result<Bytes, BodyError>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn error::Error + Send + Sync>>,
{
    let reading = Limited::new(body, most_bytes).collect();
    match timeout_at(deadline, reading).await {
        Err(_) => Err(BodyError::Slow),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLong(most_bytes)),
        Ok(Err(error)) if is_timeout(&*error) => Err(BodyError::Slow),
        Ok(Err(error)) => Err(BodyError::Cut(error.to_string())),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
    }
}

/// Makes one call on a link and reads its whole answer.
///
/// # Errors
///
/// Returns what became of the call.
pub async fn call(
    link: &mut HttpConnection,
    request: &OutgoingRequest,
    most_bytes: usize,
    deadline: Instant,
) -> Result<(http::response::Parts, Bytes), SendError> {
    let response = link.send(request, deadline).await?;
    let (head, body) = response.into_parts();
    let body = read_body(body, most_bytes, deadline).await?;
    link.idle_since = Instant::now();
    Ok((head, body))
}
