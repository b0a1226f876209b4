//! Records from which the merged view of the fleet is built.

use std::time::Duration;

use crate::membership::departures::ProcessKey;
use crate::membership::fleet::{DaemonView, LoadReport, TargetView, UseState};
use crate::membership::suspicion::SuspicionRecord;
use crate::names::{DaemonId, MonoTime, ProcessIncarnation, TargetId};
use crate::store::wire::{InstanceRow, InstanceState};
use crate::targets::wire::EngineState;

/// When a daemon or target was last in an instance list.
#[derive(Clone, Debug)]
pub struct PresenceRecord {
    /// State in the newest list that contained it.
    pub row_state: InstanceState,
    /// Number of lists since then.
    pub absent_lists: u32,
    /// When it was last listed.
    pub seen_at: MonoTime,
}

/// What is known of a target.
#[derive(Clone, Debug)]
pub struct TargetRecord {
    /// Published view, except for its state.
    pub view: TargetView,
    /// Presence in the instance lists.
    pub presence: PresenceRecord,
    /// Incarnation that its process reported.
    pub incarnation: Option<ProcessIncarnation>,
    /// Failures seen by this daemon.
    pub suspicion: SuspicionRecord,
}

/// What is known of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonRecord {
    /// Published view; its state is suspect if the daemon is unreachable.
    pub view: DaemonView,
    /// Presence in the instance lists.
    pub presence: PresenceRecord,
    /// When a message last came from it over a link.
    pub last_contact: Option<MonoTime>,
}

impl PresenceRecord {
    /// Presence in a list just read.
    #[must_use]
    pub fn seen(row_state: InstanceState, now: MonoTime) -> Self {
        Self {
            row_state,
            absent_lists: 0,
            seen_at: now,
        }
    }
}

impl TargetRecord {
    /// Creates a record from its first row.
    #[must_use]
    pub fn new(row: &InstanceRow, now: MonoTime) -> Self {
        Self {
            view: TargetView {
                id: TargetId::from(row.id.as_str()),
                kind: row.kind,
                address: row.address.clone(),
                data_centre: row.data_centre.clone(),
                service: row.service.clone(),
                checks_fence: row.checks_fence,
                state: UseState::Live,
                report: None,
            },
            presence: PresenceRecord::seen(row.state, now),
            incarnation: None,
            suspicion: SuspicionRecord::default(),
        }
    }

    /// Returns the name and address of its process.
    #[must_use]
    pub fn process_key(&self) -> ProcessKey {
        ProcessKey {
            id: self.view.id.to_string(),
            address: self.view.address.clone(),
        }
    }
}

impl DaemonRecord {
    /// Creates a record from its first row.
    #[must_use]
    pub fn new(row: &InstanceRow, now: MonoTime) -> Self {
        Self {
            view: DaemonView {
                id: DaemonId::from(row.id.as_str()),
                address: row.address.clone(),
                peer_address: row.peer_address.clone(),
                data_centre: row.data_centre.clone(),
                incarnation: ProcessIncarnation::default(),
                state: UseState::Live,
            },
            presence: PresenceRecord::seen(row.state, now),
            last_contact: None,
        }
    }

    /// Returns the name and address of its process.
    #[must_use]
    pub fn process_key(&self) -> ProcessKey {
        ProcessKey {
            id: self.view.id.to_string(),
            address: self.view.address.clone(),
        }
    }

    /// Returns the incarnation of its process, once known.
    #[must_use]
    pub fn incarnation(&self) -> Option<ProcessIncarnation> {
        let incarnation = self.view.incarnation;
        (incarnation != ProcessIncarnation::default()).then_some(incarnation)
    }

    /// Returns whether there has been no contact with a linked peer for `timeout`.
    #[must_use]
    pub fn is_unreachable(&self, now: MonoTime, timeout: Duration) -> bool {
        self.last_contact.is_some_and(|at| now.since(at) >= timeout)
    }
}

/// Returns the name and address of a row's process.
#[must_use]
pub fn process_key(row: &InstanceRow) -> ProcessKey {
    ProcessKey {
        id: row.id.clone(),
        address: row.address.clone(),
    }
}

/// Converts an engine's state to the load report of the published view.
#[must_use]
pub fn load_report(report: &EngineState, taken_at: MonoTime) -> LoadReport {
    LoadReport {
        incarnation: report.incarnation,
        software: report.software.clone(),
        role: report.role,
        changing: report.changing,
        models: report.models.clone(),
        in_flight: report.running + report.waiting,
        prefill_backlog_tokens: report.prefill_backlog_tokens,
        decode_backlog_tokens: report.decode_backlog_tokens,
        kv_used_tokens: report.kv_used_tokens,
        kv_limit_tokens: report.kv_limit_tokens,
        taken_at,
    }
}
