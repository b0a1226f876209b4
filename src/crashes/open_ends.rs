//! Answers that ended with their connection, until it shows whether their target crashed.
//!
//! Such an answer states neither its length nor its chunks. Its end says nothing by itself: the
//! target may have completed it or crashed. What the target does next does: one that answers a later
//! request has survived; one that loses other connections at the same time, or refuses new ones, may
//! have crashed.

use std::time::Duration;

use crate::crashes::connection_losses::ConnectionLoss;
use crate::crashes::tracker::ExchangeTimes;
use crate::names::MonoTime;
use crate::target_incarnation::TargetIncarnation;

/// Time between two connections that a crash ends.
pub const CRASH_SPREAD: Duration = Duration::from_millis(250);
/// Time after which an end that nothing has explained is dropped.
const RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of ends kept; the oldest are dropped first.
const MAX_ENDS: usize = 4_096;

/// Ends of answers that may be those of their targets.
#[derive(Clone, Debug, Default)]
pub struct OpenEnds {
    ends: Vec<ConnectionLoss>,
}

impl OpenEnds {
    /// Returns whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Adds the end of an answer.
    pub fn add(&mut self, end: ConnectionLoss) {
        self.ends.retain(|kept| end.at.since(kept.at) < RETENTION);
        if self.ends.len() >= MAX_ENDS {
            self.ends.remove(0);
        }
        self.ends.push(end);
    }

    /// Takes the ends that `target` has survived, as it answers a later request. One that reports
    /// its start time may have restarted under its old name, so the request counts only if its
    /// connection was opened before.
    pub fn take_survived(
        &mut self,
        target: &TargetIncarnation,
        times: ExchangeTimes,
    ) -> Vec<ConnectionLoss> {
        let keeps_name = target.started_at().is_some();
        let is_survived = |end: &mut ConnectionLoss| {
            let is_later = end.at < times.sent && (!keeps_name || times.opened < end.at);
            end.target == *target && is_later
        };
        self.ends.extract_if(.., is_survived).collect()
    }

    /// Takes the ends that may be that of `target`, which lost another connection at `at`.
    pub fn take_lost(&mut self, target: &TargetIncarnation, at: MonoTime) -> Vec<ConnectionLoss> {
        let is_lost = |end: &mut ConnectionLoss| {
            end.target == *target
                && end.at.plus(CRASH_SPREAD) >= at
                && end.at <= at.plus(CRASH_SPREAD)
        };
        self.ends.extract_if(.., is_lost).collect()
    }

    /// Takes the ends that may be that of `target`, which did not accept a connection begun at
    /// `began`.
    pub fn take_unreached(
        &mut self,
        target: &TargetIncarnation,
        began: MonoTime,
    ) -> Vec<ConnectionLoss> {
        let is_unreached = |end: &mut ConnectionLoss| end.target == *target && end.at <= began;
        self.ends.extract_if(.., is_unreached).collect()
    }
}
