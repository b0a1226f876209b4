//! Ledger of usage reports: recorded counts of each window, and the next step.
//!
//! The platform accepts one report for each window. If a holder crashed between a report and
//! its answer, its successor would count again and could report another number. The counts of
//! a window are therefore first recorded in the store by a conditional update, and every
//! report sends the recorded counts.
//!
//! A store that is restored from an older copy loses the newest records, but not the reports that
//! were sent. A window that ended before the new era is therefore reported as a holder remembers
//! its record, or not at all.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::gateway::fleet_tasks::usage_counts::{WindowNumber, WorkspaceCounts};

/// Number of reported windows that stay in the ledger, which limits its size.
const REPORTED_RETAINED: usize = 6;
/// Maximum number of past windows that are recorded late; the counts of earlier ones are lost
/// by then.
const MAX_WINDOWS_LATE: u64 = 20;
/// Number of windows, the newest ones, whose records a daemon remembers.
const RECORDS_REMEMBERED: usize = MAX_WINDOWS_LATE as usize;

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
    /// Era of the store in which the ledger was written; 0 if an earlier build wrote it.
    #[serde(default)]
    pub era: u64,
    /// First window that may be recorded. Records of earlier ones may be lost.
    #[serde(default)]
    pub first_window: WindowNumber,
}

/// Start of an era of the store, as its first ledger needs it.
#[derive(Clone, Copy, Debug)]
pub struct EraStart {
    /// The era.
    pub era: u64,
    /// First window that cannot have been recorded before.
    pub first_window: WindowNumber,
}

/// Records that this daemon has read from the store or written to it. They outlast a restore of
/// the store.
#[derive(Debug, Default)]
pub struct RememberedRecords(BTreeMap<WindowNumber, WindowRecord>);

impl RememberedRecords {
    /// Adds the records of a ledger that is in the store.
    pub fn note_stored(&mut self, ledger: &UsageLedger) {
        for (window, record) in &ledger.windows {
            let known = self.0.entry(*window).or_insert_with(|| record.clone());
            known.reported |= record.reported;
        }
        while self.0.len() > RECORDS_REMEMBERED {
            self.0.pop_first();
        }
    }

    /// Marks a window as reported.
    pub fn mark_reported(&mut self, window: WindowNumber) {
        if let Some(record) = self.0.get_mut(&window) {
            record.reported = true;
        }
    }
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
        let from = last.map_or(first, |last| last + 1).max(self.first_window);
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

    /// Returns the ledger to continue with in a new era of the store, in which this one is an
    /// older copy.
    ///
    /// Remembered records replace lost ones. Other windows before the era may have been reported
    /// under a record that is lost, so they are not recorded again.
    #[must_use]
    pub fn restored(&self, start: EraStart, remembered: &RememberedRecords) -> Self {
        let mut windows = self.windows.clone();
        windows.extend(remembered.0.clone());
        Self {
            windows,
            era: start.era,
            first_window: start.first_window.max(self.first_window),
        }
    }

    /// Returns the number of windows between the last record and the first window that may be
    /// recorded.
    #[must_use]
    pub fn windows_skipped(&self) -> u64 {
        let last = self.windows.last_key_value().map(|(window, _)| *window);
        last.map_or(0, |last| self.first_window.saturating_sub(last + 1))
    }

    /// Marks a window as reported: the platform has accepted its report.
    pub fn mark_reported(&mut self, window: WindowNumber) {
        if let Some(record) = self.windows.get_mut(&window) {
            record.reported = true;
        }
    }
}
