//! Listeners for callers' requests, the daemon directory, readiness and metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::gateway::daemon::Gateway;
use crate::gateway::directory;
use crate::gateway::head_clock::{HeaderTimer, TimedStream};
use crate::gateway::reply::{Failure, FailureKind, FrameStream, Reply};

/// Limits that apply until the first configuration is received.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;

/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Longest time for which callers may cache a directory response. Kept short so that
/// callers soon leave a daemon that stops; each expiry costs a caller one more request.
const MAX_DIRECTORY_TTL: Duration = Duration::from_secs(2);
/// Pause after a failed accept, for instance when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What a listener serves.
#[derive(Clone)]
pub enum ListenerKind {
    /// Callers' requests.
    Callers,
    /// Requests that other daemons hand over.
    Handovers,
    /// Directory, readiness and metrics pages.
    Pages(PrometheusHandle),
}

/// Accepts connections until `closing` becomes true.
pub async fn accept_loop(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    kind: ListenerKind,
    closing: watch::Receiver<bool>,
) {
    let mut closed = closing.clone();
    loop {
        tokio::select! {
            _ = closed.wait_for(|close| *close) => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let serving = serve_stream(gateway.clone(), stream, kind.clone(), closing.clone());
                    spawn_local(serving);
                }
                Err(error) => {
                    log::warn!("cannot accept a connection: {error}; retrying");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
}

async fn serve_stream(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    kind: ListenerKind,
    mut closing: watch::Receiver<bool>,
) {
    let serves_requests = !matches!(kind, ListenerKind::Pages(_));
    let _count = serves_requests.then(|| ConnectionCount::begin(&gateway));
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on a new connection, which is closed: {error}");
        return;
    }
    let view = gateway.view();
    let limits = view.routes.as_ref().map(|routes| routes.limits);
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let max_head_bytes = limits.map_or(DEFAULT_MAX_HEADER_BYTES, |limits| limits.max_header_bytes);
    let header_timeout = limits.map_or(DEFAULT_HEADER_TIMEOUT, |limits| limits.header_timeout);
    let timer = Rc::new(HeaderTimer::default());
    let (connection_gateway, connection_timer) = (gateway.clone(), timer.clone());
    let service = service_fn(move |request| {
        let (gateway, kind, timer) = (
            connection_gateway.clone(),
            kind.clone(),
            connection_timer.clone(),
        );
        async move {
            timer.head_received();
            let reply = respond(gateway, kind, request).await;
            Ok::<Reply, Infallible>(restart_timer_after(reply, timer))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(max_head_bytes.max(MIN_BUFFER_BYTES));
    let connection = builder.serve_connection(
        TokioIo::new(TimedStream::new(stream, timer.clone())),
        service,
    );
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = timer.timed_out(header_timeout) => {
            log::info!(limit_ms = header_timeout.as_millis() as u64; "connection closed: the caller did not send a complete request head within the limit");
            return;
        }
        _ = closing.wait_for(|close| *close) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if let Err(error) = result {
        log::debug!("caller's connection closed with an error: {error}");
    }
}

// The time limit of the next request head starts when this response ends; for a stream,
// after its last event.
fn restart_timer_after(reply: Reply, timer: Rc<HeaderTimer>) -> Reply {
    let (head, body) = reply.into_parts();
    let body = match body {
        Either::Left(whole) => {
            timer.answer_sent();
            Either::Left(whole)
        }
        Either::Right(frames) => {
            let guard = AnswerEndGuard(timer);
            // The closure owns the guard, which is therefore dropped with the stream.
            let frames: FrameStream = Box::pin(frames.inspect(move |_| {
                let _captured = &guard;
            }));
            Either::Right(StreamBody::new(frames))
        }
    };
    Response::from_parts(head, body)
}

// Notifies the timer, when dropped, that the answer was sent.
struct AnswerEndGuard(Rc<HeaderTimer>);

impl Drop for AnswerEndGuard {
    fn drop(&mut self) {
        self.0.answer_sent();
    }
}

// Counts an open connection with requests until dropped.
struct ConnectionCount(Rc<Gateway>);

impl ConnectionCount {
    fn begin(gateway: &Rc<Gateway>) -> Self {
        gateway
            .open_connections
            .set(gateway.open_connections.get() + 1);
        Self(gateway.clone())
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0
            .open_connections
            .set(self.0.open_connections.get() - 1);
    }
}

async fn respond(gateway: Rc<Gateway>, kind: ListenerKind, request: Request<Incoming>) -> Reply {
    let mut reply = match kind {
        ListenerKind::Callers => gateway.clone().serve(request).await,
        ListenerKind::Handovers => gateway.clone().serve_handed_over(request).await,
        ListenerKind::Pages(metrics) => page(&gateway, &metrics, &request),
    };
    if gateway.stopping.get() {
        let headers = reply.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

fn page(gateway: &Gateway, metrics: &PrometheusHandle, request: &Request<Incoming>) -> Reply {
    let path = request.uri().path();
    if (gateway.ports.wire.is_ready_path)(path) {
        return readiness_page(gateway);
    }
    if path == "/metrics" {
        return text_page(
            StatusCode::OK,
            "text/plain; version=0.0.4",
            metrics.render(),
        );
    }
    match (gateway.ports.wire.decode_directory_query)(request.uri()) {
        None => Failure::new(FailureKind::NoRoute, "no such page").reply(),
        Some(query) => {
            let view = gateway.view();
            let addresses = directory::addresses_for(
                &view.daemons,
                &query.centre,
                |id| gateway.is_usable(id),
                |id| gateway.daemon_confirms_keys(id),
                |id| gateway.daemon_reaches_targets(id),
            );
            let ttl = gateway.settings().bounds.directory_keep_s;
            let ttl = MAX_DIRECTORY_TTL.min(Duration::from_secs_f64(ttl));
            let body = (gateway.ports.wire.encode_directory_answer)(&addresses, ttl);
            bytes_page(StatusCode::OK, "application/json", body)
        }
    }
}

fn readiness_page(gateway: &Gateway) -> Reply {
    let ready = gateway.view().is_complete() && !gateway.stopping.get();
    let (status, text) = if ready {
        (StatusCode::OK, "ready")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready")
    };
    let listed = if gateway.is_listed() {
        ""
    } else {
        ", not listed: the store does not hold this daemon's record, check that it accepts writes"
    };
    text_page(status, "text/plain", format!("{text}{listed}"))
}

fn text_page(status: StatusCode, kind: &'static str, text: String) -> Reply {
    bytes_page(status, kind, Bytes::from(text))
}

fn bytes_page(status: StatusCode, kind: &'static str, body: Bytes) -> Reply {
    let mut reply = Response::new(Either::Left(Full::new(body)));
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}
