//! Whether a daemon needs a ticket for a request.

use std::time::Duration;

use crate::names::MonoTime;

/// Share of the slots of a service that may be in use before tickets are needed.
const DIRECT_SHARE: f64 = 0.7;
/// Time after a target refused a request for being full for which tickets are needed.
const FULL_TIME: Duration = Duration::from_secs(1);
/// Time for which requests are sent directly after a queue owner did not answer.
const DIRECT_TIME: Duration = Duration::from_secs(1);

/// How a request is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendPath {
    /// Directly, as targets have free slots.
    Free,
    /// With a ticket of the queue owner.
    Ticket,
    /// Directly, as the queue owner did not answer.
    Unanswered,
}

/// Decides whether requests to a service need tickets.
#[derive(Clone, Copy, Debug, Default)]
pub struct TicketGate {
    full_until: Option<MonoTime>,
    direct_until: Option<MonoTime>,
}

impl TicketGate {
    /// Records that a target refused a request because it is full.
    pub fn note_full(&mut self, now: MonoTime) {
        self.full_until = Some(now.plus(FULL_TIME));
    }

    /// Records that the queue owner did not answer in time.
    pub fn note_silence(&mut self, now: MonoTime) {
        self.direct_until = Some(now.plus(DIRECT_TIME));
    }

    /// Returns how a request is sent, with the fleet's known work at the targets and their slots.
    #[must_use]
    pub fn path(&self, running: u32, slots: u32, now: MonoTime) -> SendPath {
        let lasts = |until: Option<MonoTime>| until.is_some_and(|until| now < until);
        let is_busy = f64::from(running) >= DIRECT_SHARE * f64::from(slots);
        match (is_busy || lasts(self.full_until), lasts(self.direct_until)) {
            (false, _) => SendPath::Free,
            (true, false) => SendPath::Ticket,
            (true, true) => SendPath::Unanswered,
        }
    }

    /// Whether a target refused a request for being full within the last second.
    #[must_use]
    pub fn was_full(&self, now: MonoTime) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }
}
