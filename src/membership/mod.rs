//! Merges what several sources report about daemons and targets into one view.
//!
//! The sources are the instance list, which lags, the outcome of this daemon's own
//! calls, what peers and targets report about themselves, and the operators' holds in the
//! configuration.

pub mod addressing;
pub mod departures;
pub mod fleet;
pub mod records;
pub mod suspicion;

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::membership::departures::{DepartureTable, ProcessKey, TargetDepartureReport};
use crate::membership::fleet::{DaemonView, FleetView, UseState};
use crate::membership::records::{
    DaemonRecord, PresenceRecord, TargetRecord, load_report, process_key,
};
use crate::membership::suspicion::CallSource;
use crate::names::{
    CentreName, DaemonId, MonoTime, ProcessIncarnation, TargetId, UnixTime, millis,
};
use crate::store::wire::{InstanceKind, InstanceRow, InstanceState};
use crate::targets::wire::EngineState;

/// Limits of the merged view.
#[derive(Clone, Copy, Debug)]
pub struct MembershipLimits {
    /// Number of lists in a row without an instance after which it counts as gone.
    pub absent_lists: u32,
    /// Time after which an instance that is no longer listed is forgotten.
    pub forget: Duration,
    /// Time without contact after which a peer is suspected.
    pub peer_timeout: Duration,
}

impl Default for MembershipLimits {
    fn default() -> Self {
        Self {
            absent_lists: 2,
            forget: Duration::from_secs(60),
            peer_timeout: Duration::from_secs(3),
        }
    }
}

/// What a peer reports about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerUpdate {
    /// Daemon that sends the report.
    pub daemon: DaemonId,
    /// Incarnation of its process.
    pub incarnation: ProcessIncarnation,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A change of state, for the decision journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StateChange {
    /// Daemon or target concerned.
    pub subject: String,
    /// State before; `None` when it is new.
    pub before: Option<UseState>,
    /// State now.
    pub after: UseState,
}

/// The merged view and its sources.
#[derive(Clone, Debug)]
pub struct MembershipState {
    limits: MembershipLimits,
    local: DaemonView,
    local_listed: bool,
    targets: IndexMap<TargetId, TargetRecord>,
    daemons: IndexMap<DaemonId, DaemonRecord>,
    departures: DepartureTable,
    holds: IndexMap<TargetId, String>,
    changing: IndexMap<TargetId, String>,
    fleet: Arc<FleetView>,
    dirty: bool,
    reports_dirty: bool,
}

impl MembershipState {
    /// Creates a view that contains only this daemon.
    #[must_use]
    pub fn new(local: DaemonView, limits: MembershipLimits) -> Self {
        let mut state = Self {
            limits,
            local,
            local_listed: false,
            targets: IndexMap::new(),
            daemons: IndexMap::new(),
            departures: DepartureTable::new(limits.forget),
            holds: IndexMap::new(),
            changing: IndexMap::new(),
            fleet: Arc::default(),
            dirty: true,
            reports_dirty: false,
        };
        state.refresh();
        state
    }

    /// Returns the view as of the last refresh.
    #[must_use]
    pub fn fleet(&self) -> &Arc<FleetView> {
        &self.fleet
    }

    /// Returns the number of remembered departures.
    #[must_use]
    pub fn departures(&self) -> usize {
        self.departures.len()
    }

    /// Merges an instance list; returns whether it was applied.
    ///
    /// An empty list is ignored while targets are known: the platform returns one while
    /// it restarts, and applying it would take the whole fleet out of use.
    pub fn apply_list(&mut self, rows: &[InstanceRow], now: MonoTime) -> bool {
        if rows.is_empty() && !self.targets.is_empty() {
            return false;
        }
        self.dirty = true;
        self.count_absent_lists();
        for row in rows {
            match row.kind {
                InstanceKind::Entry => self.apply_daemon(row, now),
                InstanceKind::Engine | InstanceKind::Service => self.apply_target(row, now),
            }
        }
        self.expire(now);
        true
    }

    fn count_absent_lists(&mut self) {
        for record in self.targets.values_mut() {
            record.presence.absent_lists += 1;
        }
        for record in self.daemons.values_mut() {
            record.presence.absent_lists += 1;
        }
    }

    fn apply_target(&mut self, row: &InstanceRow, now: MonoTime) {
        let id = TargetId::from(row.id.as_str());
        let known = self.targets.get(&id);
        // Another address means another process, about which nothing is known yet.
        let same = known.filter(|r| r.view.address == row.address);
        let mut record = same.cloned().unwrap_or_else(|| TargetRecord::new(row, now));
        self.departures
            .apply_row(&process_key(row), row.state, record.incarnation, now);
        record.presence = PresenceRecord::seen(row.state, now);
        record.view.data_centre = row.data_centre.clone();
        record.view.service = row.service.clone();
        record.view.checks_fence = row.checks_fence;
        self.targets.insert(id, record);
    }

    fn apply_daemon(&mut self, row: &InstanceRow, now: MonoTime) {
        let id = DaemonId::from(row.id.as_str());
        if id == self.local.id {
            self.apply_local_row(row);
            return;
        }
        let known = self.daemons.get(&id);
        let same = known.filter(|r| r.view.address == row.address);
        let mut record = same.cloned().unwrap_or_else(|| DaemonRecord::new(row, now));
        self.departures
            .apply_row(&process_key(row), row.state, record.incarnation(), now);
        record.presence = PresenceRecord::seen(row.state, now);
        record.view.peer_address.clone_from(&row.peer_address);
        record.view.data_centre = row.data_centre.clone();
        self.daemons.insert(id, record);
    }

    // A row that says "leaving" before any said "live" is about this daemon's previous
    // incarnation; applying it would keep a restarted daemon out of use.
    fn apply_local_row(&mut self, row: &InstanceRow) {
        match row.state {
            InstanceState::Live => self.local_listed = true,
            InstanceState::Leaving if self.local_listed => self.local.state = UseState::Leaving,
            InstanceState::Leaving => {}
        }
    }

    fn expire(&mut self, now: MonoTime) {
        let forget = self.limits.forget;
        let fresh = |presence: &PresenceRecord| now.since(presence.seen_at) < forget;
        self.targets.retain(|_, r| fresh(&r.presence));
        self.daemons.retain(|_, r| fresh(&r.presence));
        self.departures.expire(now);
        let targets = &self.targets;
        self.changing.retain(|id, _| targets.contains_key(id));
    }

    /// Records whether a call to a target was answered or failed.
    pub fn record_call(
        &mut self,
        target: &TargetId,
        source: CallSource,
        answered: bool,
        now: MonoTime,
    ) {
        if let Some(record) = self.targets.get_mut(target) {
            self.dirty |= record.suspicion.record_call(source, answered, now);
        }
    }

    /// Applies an engine's own report; one that names another target is ignored.
    pub fn note_state(
        &mut self,
        target: &TargetId,
        report: &EngineState,
        age: Duration,
        now: MonoTime,
    ) {
        let Some(record) = self.targets.get_mut(target) else {
            return;
        };
        let is_older = record.incarnation.is_some_and(|i| report.incarnation < i);
        if report.target != *target || is_older {
            return;
        }
        let taken_at = MonoTime(now.0.saturating_sub(millis(age)));
        let newest = record.view.report.as_ref().map(|r| r.taken_at);
        let restarted = record.incarnation != Some(report.incarnation);
        if !restarted && newest.is_some_and(|at| at >= taken_at) {
            return;
        }
        record.incarnation = Some(report.incarnation);
        record.view.report = Some(load_report(report, taken_at));
        let process_key = record.process_key();
        self.departures
            .record_incarnation(&process_key, report.incarnation);
        self.dirty |= restarted;
        self.reports_dirty = true;
    }

    /// Applies what a peer reports about itself.
    pub fn apply_peer_update(&mut self, update: &PeerUpdate, now: MonoTime) {
        let Some(record) = self.daemons.get_mut(&update.daemon) else {
            return;
        };
        if update.incarnation < record.view.incarnation {
            return;
        }
        self.dirty |= record.view.incarnation != update.incarnation;
        record.view.incarnation = update.incarnation;
        record.last_contact = Some(now);
        let process_key = record.process_key();
        self.departures
            .record_incarnation(&process_key, update.incarnation);
        if update.leaving {
            self.dirty |= !self.departures.is_leaving(&process_key);
            self.departures
                .record_leaving(&process_key, Some(update.incarnation), now);
        }
    }

    /// Records that the link to a peer was closed, after which a lack of contact no
    /// longer counts against the peer.
    pub fn forget_peer(&mut self, daemon: &DaemonId) {
        if let Some(record) = self.daemons.get_mut(daemon) {
            record.last_contact = None;
            self.dirty = true;
        }
    }

    /// Returns the report that a target is leaving, as known here.
    #[must_use]
    pub fn departure_of(&self, target: &TargetId, address: &str) -> TargetDepartureReport {
        let known = self.targets.get(target);
        let known = known.filter(|r| r.view.address == address);
        TargetDepartureReport {
            target: target.clone(),
            address: address.to_owned(),
            incarnation: known.and_then(|record| record.incarnation),
        }
    }

    /// Records a report that a target is leaving; returns whether that was not known. A report
    /// about an earlier incarnation is ignored.
    pub fn record_target_leaving(
        &mut self,
        departure: &TargetDepartureReport,
        now: MonoTime,
    ) -> bool {
        let known = self.targets.get(&departure.target);
        let Some(record) = known.filter(|r| r.view.address == departure.address) else {
            return false;
        };
        let reported = departure.incarnation;
        if reported.is_some() && reported < record.incarnation {
            return false;
        }
        let (process_key, incarnation) = (record.process_key(), record.incarnation);
        let is_new = !self.departures.is_leaving(&process_key);
        self.dirty |= is_new;
        self.departures
            .record_leaving(&process_key, incarnation.max(reported), now);
        is_new
    }

    /// Sets the operators' holds of the applied configuration.
    pub fn set_holds(&mut self, holds: &IndexMap<TargetId, String>) {
        if self.holds != *holds {
            self.holds.clone_from(holds);
            self.dirty = true;
        }
    }

    /// Sets the engines that are out of use for a planned change, with the reason.
    pub fn set_changing(&mut self, changing: IndexMap<TargetId, String>) {
        if self.changing != changing {
            self.changing = changing;
            self.dirty = true;
        }
    }

    /// Records that this daemon is leaving.
    pub fn set_stopping(&mut self) {
        self.local.state = UseState::Leaving;
        self.dirty = true;
    }

    /// Updates what depends on time: suspected targets become due for a probe, peers
    /// without recent contact become suspect, and the reports since the last tick enter
    /// the view together.
    pub fn tick(&mut self, now: MonoTime) {
        self.dirty |= std::mem::take(&mut self.reports_dirty);
        for record in self.targets.values_mut() {
            self.dirty |= record.suspicion.tick(now);
        }
        let timeout = self.limits.peer_timeout;
        for record in self.daemons.values_mut() {
            let state = if record.is_unreachable(now, timeout) {
                UseState::Suspect
            } else {
                UseState::Live
            };
            self.dirty |= record.view.state != state;
            record.view.state = state;
        }
    }

    /// Returns the engines whose state should be read now: all listed ones, but
    /// suspected ones only when their probe is due.
    #[must_use]
    pub fn engines_to_poll(&self, now: MonoTime) -> Vec<(TargetId, String)> {
        let engines = self.targets.values().filter(|r| {
            let listed = r.presence.absent_lists < self.limits.absent_lists;
            r.view.kind == InstanceKind::Engine && listed && r.suspicion.may_poll(now)
        });
        engines
            .map(|r| (r.view.id.clone(), r.view.address.clone()))
            .collect()
    }

    /// Rebuilds the view if anything changed; returns the changes of state.
    pub fn refresh(&mut self) -> Vec<StateChange> {
        if !self.dirty {
            return Vec::new();
        }
        self.dirty = false;
        let mut fleet = FleetView {
            version: self.fleet.version + 1,
            ..FleetView::default()
        };
        for (id, record) in &self.targets {
            let mut view = record.view.clone();
            view.state = self.target_state(record);
            fleet.targets.insert(id.clone(), view);
        }
        fleet
            .daemons
            .insert(self.local.id.clone(), self.local.clone());
        for (id, record) in &self.daemons {
            let mut view = record.view.clone();
            view.state = self.daemon_state(record);
            fleet.daemons.insert(id.clone(), view);
        }
        let changes = state_changes(&self.fleet, &fleet);
        self.fleet = Arc::new(fleet);
        changes
    }

    fn target_state(&self, record: &TargetRecord) -> UseState {
        let held =
            self.holds.contains_key(&record.view.id) || self.changing.contains_key(&record.view.id);
        let local = match (held, record.suspicion.is_suspect()) {
            (true, _) => UseState::Drained,
            (false, true) => UseState::Suspect,
            (false, false) => UseState::Live,
        };
        local.max(self.listed_state(&record.presence, &record.process_key()))
    }

    fn daemon_state(&self, record: &DaemonRecord) -> UseState {
        let listed = self.listed_state(&record.presence, &record.process_key());
        record.view.state.max(listed)
    }

    fn listed_state(&self, presence: &PresenceRecord, process_key: &ProcessKey) -> UseState {
        if presence.absent_lists >= self.limits.absent_lists {
            return UseState::Gone;
        }
        let listed_leaving = presence.row_state == InstanceState::Leaving;
        if listed_leaving || self.departures.is_leaving(process_key) {
            return UseState::Leaving;
        }
        UseState::Live
    }
}

fn state_changes(before: &FleetView, after: &FleetView) -> Vec<StateChange> {
    let old_targets = before.targets.values().map(|t| (t.id.to_string(), t.state));
    let old_daemons = before.daemons.values().map(|d| (d.id.to_string(), d.state));
    let old: IndexMap<String, UseState> = old_targets.chain(old_daemons).collect();
    let new_targets = after.targets.values().map(|t| (t.id.to_string(), t.state));
    let new_daemons = after.daemons.values().map(|d| (d.id.to_string(), d.state));
    new_targets
        .chain(new_daemons)
        .filter(|(id, state)| old.get(id) != Some(state))
        .map(|(id, state)| StateChange {
            before: old.get(&id).copied(),
            subject: id,
            after: state,
        })
        .collect()
}

/// Builds the view of this daemon itself.
#[must_use]
pub fn local_view(
    id: DaemonId,
    address: String,
    peer_address: String,
    data_centre: CentreName,
    incarnation: ProcessIncarnation,
) -> DaemonView {
    DaemonView {
        id,
        address,
        peer_address,
        data_centre,
        incarnation,
        state: UseState::Live,
    }
}

/// Returns the age of a report by wall clock; a report from the future has age zero.
#[must_use]
pub fn report_age(report: &EngineState, now: UnixTime) -> Duration {
    now.since(UnixTime(report.at_ms))
}
