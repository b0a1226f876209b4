//! How long messages of other daemons were under way.
//!
//! Messages wait where a link is cut off and the connection outlasts it, or where a daemon is
//! suspended. What they say of the time since an event would then be wrong by as much. The
//! clocks in a daemon's messages show the delay of each beyond that of the fastest one.

use std::time::Duration;

use indexmap::IndexMap;

use crate::names::{DaemonId, MonoTime};

/// Sender of a message with reports.
#[derive(Clone, Copy, Debug)]
pub struct ReportSender<'a> {
    /// The daemon.
    pub daemon: &'a DaemonId,
    /// Its incarnation; each has its own clock.
    pub incarnation: u64,
    /// Its monotonic clock when it sent the message.
    pub clock: MonoTime,
}

#[derive(Clone, Copy, Debug)]
struct FastestMessage {
    incarnation: u64,
    // Local clock at its arrival, minus the clock in it.
    offset_ms: i64,
}

/// The fastest message of each daemon so far.
#[derive(Clone, Debug, Default)]
pub struct MessageDelays {
    fastest: IndexMap<DaemonId, FastestMessage>,
}

impl MessageDelays {
    /// Records a message; returns its delay beyond that of the fastest message, or `None` if it
    /// is the first one of the sender's incarnation.
    pub fn record(&mut self, sender: ReportSender<'_>, now: MonoTime) -> Option<Duration> {
        let ReportSender {
            daemon,
            incarnation,
            clock,
        } = sender;
        let offset_ms = signed(now).saturating_sub(signed(clock));
        let message = FastestMessage {
            incarnation,
            offset_ms,
        };
        let known = self.fastest.get_mut(daemon);
        let Some(fastest) = known.filter(|known| known.incarnation == incarnation) else {
            self.fastest.insert(daemon.clone(), message);
            return None;
        };
        fastest.offset_ms = fastest.offset_ms.min(offset_ms);
        let delay_ms = offset_ms.saturating_sub(fastest.offset_ms);
        Some(Duration::from_millis(delay_ms.unsigned_abs()))
    }

    /// Removes the daemons that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&DaemonId) -> bool) {
        self.fastest.retain(|daemon, _| known(daemon));
    }
}

fn signed(at: MonoTime) -> i64 {
    i64::try_from(at.0).unwrap_or(i64::MAX)
}
