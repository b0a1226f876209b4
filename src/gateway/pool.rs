//! Kept connections to targets, within what each target accepts.

use std::time::Duration;

use http::HeaderMap;
use http::header::CONNECTION;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::gateway::client::HttpConnection;
use crate::target_incarnation::TargetIncarnation;

/// Longest idle time of a kept connection. Targets may drop an idle one without
/// notice, and a request that must not run twice is lost with it; one that was
/// used within the last seconds is almost always still there.
pub const MAX_IDLE: Duration = Duration::from_millis(4_000);
/// Taken from the keeping time that a target states, because its clock started
/// before its answer arrived here.
const KEEP_MARGIN: Duration = Duration::from_millis(600);

/// Idle connections by life of the target, newest last. A target that started again
/// knows nothing of a connection from before; a request sent on one would be lost.
#[derive(Debug, Default)]
pub struct LinkPool {
    idle: IndexMap<TargetIncarnation, Vec<HttpConnection>>,
    busy: IndexMap<TargetIncarnation, u32>,
}

impl LinkPool {
    /// Takes the most recently used connection that is still good.
    pub fn take(&mut self, target: &TargetIncarnation, now: Instant) -> Option<HttpConnection> {
        let links = self.idle.get_mut(target)?;
        while let Some(link) = links.pop() {
            if is_fresh(&link, now) {
                return Some(link);
            }
        }
        None
    }

    /// Puts a connection back after a whole answer that lets it stay open.
    pub fn put(
        &mut self,
        target: &TargetIncarnation,
        mut link: HttpConnection,
        headers: &HeaderMap,
    ) {
        let now = Instant::now();
        if says_close(headers) {
            return;
        }
        link.idle_since = now;
        link.kept_until = keeping_time(headers).map(|keep| now + keep);
        self.idle.entry(target.clone()).or_default().push(link);
    }

    /// Notes a connection in use, or one given back.
    pub fn note_busy(&mut self, target: &TargetIncarnation, began: bool) {
        let busy = self.busy.entry(target.clone()).or_default();
        *busy = if began {
            *busy + 1
        } else {
            busy.saturating_sub(1)
        };
    }

    /// Connections open to a target, busy and idle.
    #[must_use]
    pub fn open(&self, target: &TargetIncarnation) -> u32 {
        let busy = self.busy.get(target).copied().unwrap_or(0);
        let idle = self.idle.get(target).map_or(0, Vec::len);
        busy + u32::try_from(idle).unwrap_or(u32::MAX)
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&mut self, now: Instant) {
        for links in self.idle.values_mut() {
            links.retain(|link| is_fresh(link, now));
        }
        self.idle.retain(|_, links| !links.is_empty());
        self.busy.retain(|_, busy| *busy > 0);
    }
}

fn is_fresh(link: &HttpConnection, now: Instant) -> bool {
    let rested = now.saturating_duration_since(link.idle_since) < MAX_IDLE;
    let kept = link.kept_until.is_none_or(|until| now < until);
    rested && kept && link.is_open()
}

fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case("close"))
}

// A target that keeps a connection for whole seconds says so as `timeout=N`.
fn keeping_time(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|number| number.trim().parse().ok())?;
    Some(Duration::from_secs(seconds).saturating_sub(KEEP_MARGIN))
}
