//! Ledger of usage reports: recorded counts of each window, and the next step.
//!
//! The platform accepts one report for each window. If a holder crashed between a report and
//! its answer, its successor would count again and could report another number. The counts of
//! a window are therefore first recorded in the store by a conditional update, and every
//! report sends the recorded counts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::gateway::fleet_tasks::usage_counts::{WindowNumber, WorkspaceCounts};

/// Number of reported windows that stay in the ledger, which limits its size.
const REPORTED_RETAINED: usize = 6;
/// Maximum number of past windows that are recorded late; the counts of earlier ones are lost
/// by then.
const MAX_WINDOWS_LATE: u64 = 20;

/// Recorded counts of one window.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WindowRecord {
    /// Requests by workspace.
    pub counts: WorkspaceCounts,
    /// Whether the platform has accepted the report.
    pub reported: bool,
}

/// Next step of reporting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UsageStep {
    /// Record these windows, the newest one last.
    Record(Vec<WindowNumber>),
    /// Send the report of a recorded window.
    Report(WindowNumber),
    /// Nothing is due.
    Wait,
}

/// Records of windows, as stored.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct UsageLedger {
    /// Records by window.
    pub windows: BTreeMap<WindowNumber, WindowRecord>,
}

impl UsageLedger {
    /// Decodes a ledger.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a valid ledger.
    pub fn decode(value: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(value)
    }

    /// Encodes the ledger as a value of the store.
    ///
    /// # Panics
    ///
    /// Never panics: plain fields always encode.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain fields encode")
    }

    /// Returns the next step once `newest` has ended and its counts have arrived; `first` is
    /// the first window of a fleet that has not recorded any.
    #[must_use]
    pub fn next_step(&self, newest: WindowNumber, first: WindowNumber) -> UsageStep {
        let unreported = self.windows.iter().find(|(_, record)| !record.reported);
        if let Some((window, _)) = unreported {
            return UsageStep::Report(*window);
        }
        let last = self.windows.last_key_value().map(|(window, _)| *window);
        let from = last.map_or(first, |last| last + 1);
        let from = from.max((newest + 1).saturating_sub(MAX_WINDOWS_LATE));
        if from > newest {
            return UsageStep::Wait;
        }
        UsageStep::Record((from..=newest).collect())
    }

    /// Returns the ledger with further windows added, to be written to the store.
    #[must_use]
    pub fn with_windows(&self, counted: Vec<(WindowNumber, WorkspaceCounts)>) -> Self {
        let mut ledger = self.clone();
        let surplus = ledger.windows.len().saturating_sub(REPORTED_RETAINED);
        let old: Vec<WindowNumber> = ledger.windows.keys().take(surplus).copied().collect();
        ledger
            .windows
            .retain(|window, record| !(record.reported && old.contains(window)));
        let new_records = counted.into_iter().map(|(window, counts)| {
            let reported = false;
            (window, WindowRecord { counts, reported })
        });
        // Recorded counts are never changed.
        for (window, record) in new_records {
            ledger.windows.entry(window).or_insert(record);
        }
        ledger
    }

    /// Marks a window as reported: the platform has accepted its report.
    pub fn mark_reported(&mut self, window: WindowNumber) {
        if let Some(record) = self.windows.get_mut(&window) {
            record.reported = true;
        }
    }
}
