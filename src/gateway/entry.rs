//! Listens for callers, questions to the directory, readiness and metrics.

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

/// Limits before the first configuration says otherwise.
const FIRST_IDLE_TIME: Duration = Duration::from_secs(15);
const FIRST_HEAD_TIME: Duration = Duration::from_secs(3);
const FIRST_HEAD_BYTES: usize = 16 * 1024;
/// Smallest buffer of a connection, in bytes.
const LEAST_BUFFER: usize = 8 * 1024;
/// How long callers keep the directory's answer. Short, so that a daemon that
/// stops loses its callers soon; each answer costs a caller one more call.
const DIRECTORY_KEEP: Duration = Duration::from_secs(2);
/// Pause after a failed accept, for instance when no descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a listener serves.
#[derive(Clone)]
pub enum ListenerKind {
    /// Callers' requests.
    Callers,
    /// The directory, readiness and metrics.
    Pages(PrometheusHandle),
}

/// Accepts connections until the listener is told to stop.
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
                    log::warn!("no connection accepted ({error}); trying again");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
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
    let _open = matches!(kind, ListenerKind::Callers).then(|| OpenCount::begin(&gateway));
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("connection ended before it was served: {error}");
        return;
    }
    let view = gateway.view();
    let limits = view.routes.as_ref().map(|routes| routes.limits);
    let idle = limits.map_or(FIRST_IDLE_TIME, |limits| limits.idle_timeout);
    let head_bytes = limits.map_or(FIRST_HEAD_BYTES, |limits| limits.head_bytes);
    let header_timeout = limits.map_or(FIRST_HEAD_TIME, |limits| limits.header_timeout);
    let clock = Rc::new(HeaderTimer::default());
    let (served, ticking) = (gateway.clone(), clock.clone());
    let service = service_fn(move |request| {
        let (gateway, kind, clock) = (served.clone(), kind.clone(), ticking.clone());
        async move {
            clock.note_head();
            let reply = respond(gateway, kind, request).await;
            Ok::<Reply, Infallible>(when_sent(reply, clock))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head_bytes.max(LEAST_BUFFER));
    let connection = builder.serve_connection(
        TokioIo::new(TimedStream::new(stream, clock.clone())),
        service,
    );
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = clock.overdue(header_timeout) => {
            log::info!(limit_ms = header_timeout.as_millis() as u64; "connection closed: its caller sent no whole head in time");
            return;
        }
        _ = closing.wait_for(|close| *close) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if let Err(error) = ended {
        log::debug!("caller's connection ended: {error}");
    }
}

// The next head counts from the end of this answer, which for a stream is its last
// event.
fn when_sent(reply: Reply, clock: Rc<HeaderTimer>) -> Reply {
    let (head, body) = reply.into_parts();
    let body = match body {
        Either::Left(whole) => {
            clock.note_answered();
            Either::Left(whole)
        }
        Either::Right(frames) => {
            let guard = AnswerGuard(clock);
            let frames: FrameStream = Box::pin(frames.inspect(move |_| {
                let _held = &guard;
            }));
            Either::Right(StreamBody::new(frames))
        }
    };
    Response::from_parts(head, body)
}

struct AnswerGuard(Rc<HeaderTimer>);

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.0.note_answered();
    }
}

// Counts a caller's connection while it is open.
struct OpenCount(Rc<Gateway>);

impl OpenCount {
    fn begin(gateway: &Rc<Gateway>) -> Self {
        gateway.serving.set(gateway.serving.get() + 1);
        Self(gateway.clone())
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.serving.set(self.0.serving.get() - 1);
    }
}

async fn respond(gateway: Rc<Gateway>, kind: ListenerKind, request: Request<Incoming>) -> Reply {
    let mut reply = match kind {
        ListenerKind::Callers => gateway.clone().serve(request).await,
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
        return ready_page(gateway);
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
        Some(question) => {
            let view = gateway.view();
            let addresses = directory::addresses_for(
                &view.daemons,
                &question.centre,
                |id| gateway.is_usable(id),
                |id| gateway.daemon_confirms_keys(id),
            );
            let keep = gateway.settings().bounds.directory_keep_s;
            let keep = DIRECTORY_KEEP.min(Duration::from_secs_f64(keep));
            let body = (gateway.ports.wire.encode_directory_answer)(&addresses, keep);
            bytes_page(StatusCode::OK, "application/json", body)
        }
    }
}

fn ready_page(gateway: &Gateway) -> Reply {
    let ready = gateway.view().is_complete() && !gateway.stopping.get();
    let (status, text) = if ready {
        (StatusCode::OK, "ready")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready")
    };
    text_page(status, "text/plain", text.to_owned())
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
