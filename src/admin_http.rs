//! Health, readiness and metrics over HTTP, for the platform and for operators.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use salvo::conn::TcpListener;
use salvo::http::StatusCode;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::{Listener, Response, Router, Server, handler};
use serde::Serialize;
use tokio::task::JoinHandle;

use crate::control::snapshot::{ControlSnapshot, SnapshotCell};

/// Time between two compactions of recorded samples. Without them the memory of
/// a daemon that nobody scrapes would grow with every request.
const UPKEEP: Duration = Duration::from_secs(5);

/// The running admin pages; stops when dropped.
#[derive(Debug)]
pub struct AdminServer {
    /// Address listened on, with the port taken.
    pub address: SocketAddr,
    tasks: [JoinHandle<()>; 2],
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Answer of `/live` and `/ready`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct HealthReport {
    /// Whether the question is answered with yes.
    pub ok: bool,
    /// Why not; empty when `ok`.
    pub reasons: Vec<&'static str>,
}

/// Starts the pages on `address`; port 0 takes a free one.
///
/// # Errors
///
/// Returns an error when the address cannot be listened on.
pub async fn serve_admin(
    address: SocketAddr,
    snapshot: SnapshotCell,
    metrics: PrometheusHandle,
) -> io::Result<AdminServer> {
    let acceptor = TcpListener::new(address)
        .try_bind()
        .await
        .map_err(io::Error::other)?;
    let address = acceptor.local_addr()?;
    let router = Router::new()
        .push(Router::with_path("live").get(LivePage))
        .push(Router::with_path("ready").get(ReadyPage { snapshot }))
        .push(Router::with_path("metrics").get(MetricsPage {
            metrics: metrics.clone(),
        }));
    let pages = tokio::spawn(async move {
        if let Err(error) = Server::new(acceptor).try_serve(router).await {
            log::error!("the admin pages stopped: {error}");
        }
    });
    let upkeep = tokio::spawn(keep_metrics(metrics));
    Ok(AdminServer {
        address,
        tasks: [pages, upkeep],
    })
}

/// Tells whether callers may be sent to a daemon with this state.
///
/// A platform that cannot be reached does not make a daemon unready: it still
/// serves what needs no record, and refuses the rest truthfully.
#[must_use]
pub fn readiness(snapshot: &ControlSnapshot) -> HealthReport {
    let mut reasons = Vec::new();
    if !snapshot.ready {
        reasons.push("no whole configuration and instance list seen yet");
    }
    if snapshot.stopping {
        reasons.push("the daemon is stopping");
    }
    HealthReport {
        ok: reasons.is_empty(),
        reasons,
    }
}

async fn keep_metrics(metrics: PrometheusHandle) {
    let mut ticks = tokio::time::interval(UPKEEP);
    loop {
        ticks.tick().await;
        metrics.run_upkeep();
    }
}

struct LivePage;

#[handler]
impl LivePage {
    async fn handle(&self, response: &mut Response) {
        let report = HealthReport {
            ok: true,
            reasons: Vec::new(),
        };
        render_health(&report, response);
    }
}

struct ReadyPage {
    snapshot: SnapshotCell,
}

#[handler]
impl ReadyPage {
    async fn handle(&self, response: &mut Response) {
        let report = readiness(&self.snapshot.load());
        render_health(&report, response);
    }
}

struct MetricsPage {
    metrics: PrometheusHandle,
}

#[handler]
impl MetricsPage {
    async fn handle(&self, response: &mut Response) {
        let kind = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response.body(self.metrics.render());
    }
}

fn render_health(report: &HealthReport, response: &mut Response) {
    let status = if report.ok {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response.status_code(status);
    response.render(salvo::writing::Json(report));
}
