//! Kept connections to targets, within what each target accepts.

use std::time::Duration;

use http::HeaderMap;
use http::header::CONNECTION;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::gateway::client::HttpLink;
use crate::target_life::TargetLife;

/// Longest idle time of a kept connection. Targets may drop an idle one without
/// notice, and a request that must not run twice is lost with it; one that was
/// used within the last seconds is almost always still there.
pub const LONGEST_IDLE: Duration = Duration::from_millis(4_000);
/// Taken from the keeping time that a target states, because its clock started
/// before its answer arrived here.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(600);

/// Idle connections by life of the target, newest last. A target that started again
/// knows nothing of a connection from before; a request sent on one would be lost.
#[derive(Debug, Default)]
pub struct LinkPool {
    idle: IndexMap<TargetLife, Vec<HttpLink>>,
    busy: IndexMap<TargetLife, u32>,
}

impl LinkPool {
    /// Takes the most recently used connection that is still good.
    pub fn take(&mut self, target: &TargetLife, now: Instant) -> Option<HttpLink> {
        let connections = self.idle.get_mut(target)?;
        while let Some(connection) = connections.pop() {
            if is_reusable(&connection, now) {
                return Some(connection);
            }
        }
        None
    }

    /// Puts a connection back after a whole answer that lets it stay open.
    pub fn put(&mut self, target: &TargetLife, mut connection: HttpLink, headers: &HeaderMap) {
        let now = Instant::now();
        if asks_to_close(headers) {
            return;
        }
        connection.idle_since = now;
        connection.kept_until = keep_alive_timeout(headers).map(|keep| now + keep);
        self.idle
            .entry(target.clone())
            .or_default()
            .push(connection);
    }

    /// Notes a connection in use, or one given back.
    pub fn note_busy(&mut self, target: &TargetLife, in_use: bool) {
        let busy = self.busy.entry(target.clone()).or_default();
        *busy = if in_use {
            *busy + 1
        } else {
            busy.saturating_sub(1)
        };
    }

    /// Connections open to a target, busy and idle.
    #[must_use]
    pub fn open(&self, target: &TargetLife) -> u32 {
        let busy = self.busy.get(target).copied().unwrap_or(0);
        let idle = self.idle.get(target).map_or(0, Vec::len);
        busy + u32::try_from(idle).unwrap_or(u32::MAX)
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&mut self, now: Instant) {
        for connections in self.idle.values_mut() {
            connections.retain(|connection| is_reusable(connection, now));
        }
        self.idle.retain(|_, connections| !connections.is_empty());
        self.busy.retain(|_, busy| *busy > 0);
    }
}

fn is_reusable(connection: &HttpLink, now: Instant) -> bool {
    let recently_used = now.saturating_duration_since(connection.idle_since) < LONGEST_IDLE;
    let kept = connection.kept_until.is_none_or(|until| now < until);
    recently_used && kept && connection.is_open()
}

fn asks_to_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case("close"))
}

// A target that keeps a connection for whole seconds says so as `timeout=N`.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|number| number.trim().parse().ok())?;
    Some(Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN))
}
