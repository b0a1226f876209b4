//! The platform's side of the duties: usage reports as they arrive, and what breaks the rule ONE.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Deployment, Record};
use crate::http::{self, Message, Reply};
use crate::json::Json;

/// Bounds of the site `srp-veslo-now-grown`.
pub const WINDOW: Duration = Duration::from_millis(5_000);
pub const STABLE: Duration = Duration::from_millis(4_000);
const LEASE: Duration = Duration::from_millis(3_000);

/// A usage report as it reached the platform.
#[derive(Clone, Debug)]
pub struct Report {
    pub at: Instant,
    pub holder: String,
    pub token: u64,
    pub window: u64,
    pub counts: String,
}

pub type Reports = Arc<Mutex<Vec<Report>>>;

pub fn start_platform(reports: &Reports, record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (reports, record) = (reports.clone(), record.clone());
    let handler = move |request: &Message| {
        let body = Json::parse(&request.body_text()).unwrap_or(Json::Null);
        let header = |name: &str| request.header(name).unwrap_or("").to_owned();
        let report = Report {
            at: Instant::now(),
            holder: header("x-duty-holder"),
            token: header("x-fencing-token").parse().unwrap_or(0),
            window: body.get("windowId").and_then(Json::number).unwrap_or(0),
            counts: body.get("counts").map_or_else(String::new, Json::to_string),
        };
        record.write(&format!(
            "platform gets {} of window {} from {} with token {}: {}",
            request.path(),
            report.window,
            report.holder,
            report.token,
            report.counts
        ));
        reports.lock().unwrap().push(report);
        Reply::Answer(200, Vec::new(), b"{}".to_vec())
    };
    http::serve(listener, Arc::new(handler));
    address
}

pub fn config() -> Json {
    Json::of(
        r#"{"version":7,
        "routes":[{"name":"read","host":"shop.example","pathPrefix":"/read/","type":"safe","timeoutMs":1500,"sloMs":120,"priority":2,"service":"app","attempts":2,"public":false,"resumable":false}],
        "services":[{"name":"app","healthPath":"/healthz","maxConns":470,"protocol":"h1","tls":false}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
        "tenants":[{"name":"north","apiKeys":["north-key"]}]}"#,
    )
}

pub fn deployment(platform: SocketAddr) -> Deployment {
    Deployment {
        bounds: r#"{"stop_grace_s": 8, "repeat_ratio": 0.2, "repeat_allowance": 178, "repeat_window_s": 10,
            "directory_keep_s": 5, "config_within_ms": 3000, "departure_within_ms": 3000,
            "target_heartbeat_ms": 1200, "revoked_within_ms": 5000}"#
            .to_owned(),
        duties: format!(
            r#""duties": {{"address": "{platform}", "usage_window_s": 5, "usage_due_s": 10, "turn_ms": 3000}},"#
        ),
        limits: r#"{"cpu_share": 0.5, "core_speed": 1, "memory_mb": 512, "link_mbps": 200}"#.to_owned(),
    }
}

/// Returns the reports that count: not those from the start of a drill until the store is stable.
pub fn counted(reports: &[Report], excused: Option<(Instant, Instant)>) -> Vec<Report> {
    let counts =
        |report: &&Report| excused.is_none_or(|(from, to)| report.at < from || report.at > to);
    reports.iter().filter(counts).cloned().collect()
}

/// Returns the tokens and holders that break the rule.
pub fn token_violations(reports: &[Report]) -> Vec<String> {
    let mut found = Vec::new();
    for (index, later) in reports.iter().enumerate() {
        for earlier in &reports[..index] {
            if earlier.token == later.token && earlier.holder != later.holder {
                found.push(format!(
                    "two holders sent token {}: {} and later {}",
                    later.token, earlier.holder, later.holder
                ));
            }
            if earlier.token > later.token {
                found.push(format!(
                    "token {} of {} came after token {} of {}",
                    later.token, later.holder, earlier.token, earlier.holder
                ));
            }
        }
    }
    for three in reports.windows(3) {
        let [a, b, c] = three else { continue };
        if a.holder == c.holder && a.holder != b.holder && c.at - a.at < LEASE {
            found.push(format!(
                "{}, {} and {} acted within a lease",
                a.holder, b.holder, c.holder
            ));
        }
    }
    found.dedup();
    found
}

/// Returns the windows that were reported with different counts.
pub fn count_violations(reports: &[Report]) -> Vec<String> {
    let mut found = Vec::new();
    for (index, later) in reports.iter().enumerate() {
        for earlier in &reports[..index] {
            if earlier.window == later.window && earlier.counts != later.counts {
                found.push(format!(
                    "window {} was reported as {} by {} and later as {} by {}",
                    later.window, earlier.counts, earlier.holder, later.counts, later.holder
                ));
            }
        }
    }
    found.dedup();
    found
}
