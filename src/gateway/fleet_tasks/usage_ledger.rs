//! Reports of usage: what was recorded of each window, and what to do next.
//!
//! The platform takes one report for each window. A holder of the duty that dies between
//! a report and its answer would leave the next one to count anew and to report another
//! number. So a window's counts are recorded in the store first, by conditional update,
//! and what is sent is what the record holds: again and again the same.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::gateway::fleet_tasks::usage_counts::{WindowNumber, WorkspaceCounts};

/// Reported windows that stay in the record, so that its size is bounded.
const REPORTED_KEPT: usize = 6;
/// Windows that are recorded late at most; what was counted before is lost by then.
const MOST_LATE: u64 = 20;

/// What is recorded of one window.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WindowRecord {
    /// Requests by workspace.
    pub counts: WorkspaceCounts,
    /// Whether the platform has taken the report.
    pub reported: bool,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UsageStep {
    /// Record these windows, the newest one last.
    Record(Vec<WindowNumber>),
    /// Send the report of a window that is recorded.
    Report(WindowNumber),
    /// Nothing is due.
    Wait,
}

/// Records of windows as the store holds them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct UsageLedger {
    /// Records by window.
    pub windows: BTreeMap<WindowNumber, WindowRecord>,
}

impl UsageLedger {
    /// Reads a ledger.
    ///
    /// # Errors
    ///
    /// Returns what cannot be read.
    pub fn decode(value: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(value)
    }

    /// Writes the ledger as a value of the store.
    ///
    /// # Panics
    ///
    /// Never: plain fields always encode.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain fields encode")
    }

    /// Decides what to do once `newest` has ended and its counts are in; `first` is the
    /// first window of a fleet that has recorded none.
    #[must_use]
    pub fn next_step(&self, newest: WindowNumber, first: WindowNumber) -> UsageStep {
        let open = self.windows.iter().find(|(_, record)| !record.reported);
        if let Some((window, _)) = open {
            return UsageStep::Report(*window);
        }
        let last = self.windows.last_key_value().map(|(window, _)| *window);
        let from = last.map_or(first, |last| last + 1);
        let from = from.max((newest + 1).saturating_sub(MOST_LATE));
        if from > newest {
            return UsageStep::Wait;
        }
        UsageStep::Record((from..=newest).collect())
    }

    /// Returns the ledger with further windows, to be written to the store.
    #[must_use]
    pub fn with(&self, counted: Vec<(WindowNumber, WorkspaceCounts)>) -> Self {
        let mut ledger = self.clone();
        let surplus = ledger.windows.len().saturating_sub(REPORTED_KEPT);
        let old: Vec<WindowNumber> = ledger.windows.keys().take(surplus).copied().collect();
        ledger
            .windows
            .retain(|window, record| !(record.reported && old.contains(window)));
        let fresh = counted.into_iter().map(|(window, counts)| {
            let reported = false;
            (window, WindowRecord { counts, reported })
        });
        // What is recorded stays as it is.
        for (window, record) in fresh {
            ledger.windows.entry(window).or_insert(record);
        }
        ledger
    }

    /// Notes that the platform has taken a window's report.
    pub fn note_reported(&mut self, window: WindowNumber) {
        if let Some(record) = self.windows.get_mut(&window) {
            record.reported = true;
        }
    }
}
