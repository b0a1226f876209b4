//! Tracks which targets limit the rate of their requests.

use indexmap::{IndexMap, IndexSet};

use crate::names::MonoTime;
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::statement::{RateStatement, RequestRate};

#[derive(Clone, Copy, Debug)]
struct TargetLimit {
    rate: RequestRate,
    // When the newest answer that names the limit arrived.
    named_at: MonoTime,
}

/// A change of what is known about a target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The target now limits the rate of its requests.
    Started(RequestRate),
    /// The target has changed its limit.
    Changed(RequestRate),
    /// The target no longer limits its requests.
    Ended,
    /// The target names a limit that cannot be read; reported once per incarnation.
    Unreadable,
}

/// Tracks which targets limit the rate of their requests.
#[derive(Clone, Debug, Default)]
pub struct LimitTracker {
    limits: IndexMap<TargetIncarnation, TargetLimit>,
    unreadable: IndexSet<TargetIncarnation>,
}

impl LimitTracker {
    /// Applies what an answer to a request sent at `sent` states about its target.
    ///
    /// A limit ends with an answer that does not name it, to a request that was sent after the
    /// newest answer that names it had arrived. Earlier requests may have been answered before
    /// the target named it. A limit that cannot be read changes nothing.
    pub fn note_answer(
        &mut self,
        target: &TargetIncarnation,
        statement: &RateStatement,
        sent: MonoTime,
        now: MonoTime,
    ) -> Option<LimitChange> {
        match statement {
            RateStatement::Limited(rate) => self.note_limit(target, *rate, now),
            RateStatement::Unlimited => self.note_unlimited(target, sent),
            RateStatement::Unreadable(_) => {
                let is_first = self.unreadable.insert(target.clone());
                is_first.then_some(LimitChange::Unreadable)
            }
        }
    }

    /// Returns the limit of a target.
    #[must_use]
    pub fn rate(&self, target: &TargetIncarnation) -> Option<RequestRate> {
        self.limits.get(target).map(|limit| limit.rate)
    }

    /// Returns the number of targets with a limit.
    #[must_use]
    pub fn count(&self) -> usize {
        self.limits.len()
    }

    /// Drops what is known of targets for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&TargetIncarnation) -> bool) {
        self.limits.retain(|target, _| keep(target));
        self.unreadable.retain(&keep);
    }

    fn note_limit(
        &mut self,
        target: &TargetIncarnation,
        rate: RequestRate,
        now: MonoTime,
    ) -> Option<LimitChange> {
        let limit = TargetLimit {
            rate,
            named_at: now,
        };
        match self.limits.insert(target.clone(), limit) {
            None => Some(LimitChange::Started(rate)),
            Some(before) if before.rate != rate => Some(LimitChange::Changed(rate)),
            Some(_) => None,
        }
    }

    fn note_unlimited(
        &mut self,
        target: &TargetIncarnation,
        sent: MonoTime,
    ) -> Option<LimitChange> {
        let limit = self.limits.get(target)?;
        if sent <= limit.named_at {
            return None;
        }
        self.limits.swap_remove(target);
        Some(LimitChange::Ended)
    }
}
