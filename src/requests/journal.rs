//! A bounded in-memory journal of recent decisions and their reasons.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use crate::clock;
use crate::names::UnixTime;

/// What kind of decision a record explains.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DecisionKind {
    /// Configuration changed.
    Config,
    /// A lease was acquired, lost or released.
    Lease,
    /// A daemon or target joined, left or was suspected.
    Membership,
    /// An order was sent or refused.
    Order,
    /// A request was placed.
    Placed,
    /// A request was refused.
    Refused,
    /// A role was changed or kept.
    Role,
}

impl DecisionKind {
    /// Returns the kind's name in replies to operators.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Lease => "lease",
            Self::Membership => "membership",
            Self::Order => "order",
            Self::Placed => "placed",
            Self::Refused => "refused",
            Self::Role => "role",
        }
    }
}

/// One decision with its reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecisionRecord {
    /// When it was made.
    pub at: UnixTime,
    /// What it was about.
    pub kind: DecisionKind,
    /// Request, target, group or workspace concerned.
    pub subject: String,
    /// Reason for the decision.
    pub reason: String,
}

/// Journal shared by all threads; the oldest records are dropped first.
#[derive(Clone, Debug)]
pub struct DecisionJournal {
    records: Arc<Mutex<VecDeque<DecisionRecord>>>,
    capacity: usize,
}

impl DecisionJournal {
    /// Creates a journal that keeps `capacity` records.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            records: Arc::new(Mutex::new(VecDeque::with_capacity(capacity))),
            capacity,
        }
    }

    /// Adds a decision made now.
    pub fn record(&self, kind: DecisionKind, subject: &str, reason: String) {
        let record = DecisionRecord {
            at: clock::unix_now(),
            kind,
            subject: subject.to_owned(),
            reason,
        };
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        if records.len() == self.capacity {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// Returns at most `max` records whose subject or reason contains `subject`, newest
    /// first.
    #[must_use]
    pub fn recent(&self, subject: &str, max: usize) -> Vec<DecisionRecord> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records
            .iter()
            .rev()
            .filter(|r| r.subject.contains(subject) || r.reason.contains(subject))
            .take(max)
            .cloned()
            .collect()
    }
}
