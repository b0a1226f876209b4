//! Pool of connections to targets.

use std::time::Duration;

use http::HeaderMap;
use http::header::CONNECTION;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::gateway::client::HttpConnection;
use crate::target_incarnation::TargetIncarnation;

/// Longest idle time of a pooled connection. Targets may close an idle connection without
/// notice, and a request sent on it that must not run twice is lost. A connection used
/// within the last few seconds is almost always still open.
pub const MAX_IDLE: Duration = Duration::from_millis(4_000);
/// Subtracted from a target's keep-alive timeout, which started before its response
/// arrived here.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(600);

/// Idle connections, most recently used last, and numbers of busy ones, by incarnation of
/// the target. Connections do not survive a restart of the target; a request sent on an
/// old one would be lost.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: IndexMap<TargetIncarnation, Vec<HttpConnection>>,
    busy: IndexMap<TargetIncarnation, u32>,
}

impl ConnectionPool {
    /// Takes the most recently used connection that can be reused.
    pub fn take(&mut self, target: &TargetIncarnation, now: Instant) -> Option<HttpConnection> {
        let connections = self.idle.get_mut(target)?;
        while let Some(connection) = connections.pop() {
            if is_reusable(&connection, now) {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after a whole answer, unless `headers` ask to close it.
    pub fn put(
        &mut self,
        target: &TargetIncarnation,
        mut connection: HttpConnection,
        headers: &HeaderMap,
    ) {
        let now = Instant::now();
        if asks_to_close(headers) {
            return;
        }
        connection.idle_since = now;
        connection.keep_alive_until = keep_alive_timeout(headers).map(|timeout| now + timeout);
        self.idle
            .entry(target.clone())
            .or_default()
            .push(connection);
    }

    /// Counts a connection that is now in use, or no longer in use.
    pub fn count_busy(&mut self, target: &TargetIncarnation, in_use: bool) {
        let busy = self.busy.entry(target.clone()).or_default();
        *busy = if in_use {
            *busy + 1
        } else {
            busy.saturating_sub(1)
        };
    }

    /// Returns the number of open connections to a target, busy and idle.
    #[must_use]
    pub fn open_count(&self, target: &TargetIncarnation) -> u32 {
        let busy = self.busy.get(target).copied().unwrap_or(0);
        let idle = self.idle.get(target).map_or(0, Vec::len);
        busy + u32::try_from(idle).unwrap_or(u32::MAX)
    }

    /// Closes connections that can no longer be reused.
    pub fn sweep(&mut self, now: Instant) {
        for connections in self.idle.values_mut() {
            connections.retain(|connection| is_reusable(connection, now));
        }
        self.idle.retain(|_, connections| !connections.is_empty());
        self.busy.retain(|_, busy| *busy > 0);
    }
}

fn is_reusable(connection: &HttpConnection, now: Instant) -> bool {
    let recently_used = now.saturating_duration_since(connection.idle_since) < MAX_IDLE;
    let within_keep_alive = connection.keep_alive_until.is_none_or(|until| now < until);
    recently_used && within_keep_alive && connection.is_open()
}

fn asks_to_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}

// Parses `timeout=N`, in seconds.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|number| number.trim().parse().ok())?;
    Some(Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN))
}
