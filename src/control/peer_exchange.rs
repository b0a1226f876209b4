//! Exchange with peers in the control thread: sends, receives and forwards hints (periodic
//! reports of a daemon's state) and platform objects.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use tokio::sync::{mpsc, watch};

use crate::crashes::SharedCrashTracker;
use crate::crashes::report::{CrashReport, ReportBatch};
use crate::membership::departures::TargetDepartureReport;
use crate::membership::fleet::FleetView;
use crate::names::{
    DaemonId, ModelName, MonoTime, ProcessIncarnation, TargetId, UnixTime, WorkspaceName,
};
use crate::peers::link::PeerCommand;
use crate::peers::state::{PeerHints, PeerTopology};
use crate::peers::wire::{PeerHint, PeerMessage};
use crate::ports::{ObjectName, ObjectVersion, StoredObject};
use crate::roles::mix::{WorkBins, WorkTotals};
use crate::settings::DaemonSettings;
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::message_delays::ReportSender;
use crate::target_limits::{SharedLimitTracker, log_change};
use crate::targets::wire::EngineState;

const UPDATE_RETENTION: Duration = Duration::from_secs(10);
const BATCH_BYTES: usize = 1 << 20;
const MAX_APPLIED_VERSIONS: usize = 512;
/// Age up to which a report shows that its engine is alive.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// How long after a reported crash a report of the same incarnation starts to refute it.
const REFUTATION_DELAY: Duration = Duration::from_secs(5);
const MAX_WORKSPACES: usize = 8_192;

/// State that the control thread keeps for the exchange with its peers.
pub struct PeerExchange {
    local_id: DaemonId,
    incarnation: ProcessIncarnation,
    watchers: usize,
    peer_timeout: Duration,
    outbox: Option<mpsc::UnboundedSender<PeerCommand>>,
    topology: PeerTopology,
    hints: PeerHints,
    linked: IndexSet<DaemonId>,
    sequence: u64,
    work: WorkTotals,
    costs: IndexMap<WorkspaceName, (f64, MonoTime)>,
    applied: IndexMap<String, (ObjectVersion, MonoTime)>,
    engines: IndexMap<TargetId, EngineState>,
    peer_reports: IndexMap<TargetId, MonoTime>,
    crashes: SharedCrashTracker,
    target_limits: SharedLimitTracker,
    departures: IndexMap<TargetDepartureReport, MonoTime>,
    watching: watch::Sender<bool>,
}

impl PeerExchange {
    /// Creates the state of a daemon without links, which watches the platform itself.
    #[must_use]
    pub fn new(
        settings: &DaemonSettings,
        incarnation: ProcessIncarnation,
        crashes: SharedCrashTracker,
        target_limits: SharedLimitTracker,
    ) -> Self {
        Self {
            local_id: settings.daemon_id.clone(),
            incarnation,
            watchers: settings.peers.watchers,
            peer_timeout: Duration::from_millis(settings.peers.silence_ms),
            outbox: None,
            topology: PeerTopology::default(),
            hints: PeerHints::default(),
            linked: IndexSet::new(),
            sequence: 0,
            work: WorkTotals::new(),
            costs: IndexMap::new(),
            applied: IndexMap::new(),
            engines: IndexMap::new(),
            peer_reports: IndexMap::new(),
            crashes,
            target_limits,
            departures: IndexMap::new(),
            watching: watch::Sender::new(true),
        }
    }

    /// Returns a channel that shows whether this daemon has to watch the platform itself.
    #[must_use]
    pub fn watching(&self) -> watch::Receiver<bool> {
        self.watching.subscribe()
    }

    /// Sets the channel for commands to the links.
    pub fn connect(&mut self, outbox: mpsc::UnboundedSender<PeerCommand>) {
        self.outbox = Some(outbox);
    }

    /// Records a new link and sends the peer the versions of the local objects.
    pub fn link_up(&mut self, peer: &DaemonId, versions: Vec<(ObjectName, ObjectVersion)>) {
        self.linked.insert(peer.clone());
        self.send(vec![peer.clone()], PeerMessage::Versions(versions));
    }

    /// Records that the link to a peer is down.
    pub fn link_down(&mut self, peer: &DaemonId) {
        self.linked.swap_remove(peer);
    }

    /// Returns whether a hint was received recently from any peer.
    #[must_use]
    pub fn has_reachable_peer(&self) -> bool {
        self.hints.reachable_count() > 0
    }

    /// Adds work accepted by this daemon.
    pub fn add_local_work(&mut self, model: &ModelName, bins: &WorkBins) {
        let sums = self.work.entry(model.clone()).or_default();
        for (sum, work) in sums.iter_mut().zip(bins) {
            sum.prefill += work.prefill;
            sum.decode += work.decode;
        }
    }

    /// Adds cost used on this daemon.
    pub fn add_cost(&mut self, workspace: &WorkspaceName, cost: f64, now: MonoTime) {
        if self.costs.len() >= MAX_WORKSPACES && !self.costs.contains_key(workspace) {
            return;
        }
        let (sum, at) = self.costs.entry(workspace.clone()).or_insert((0.0, now));
        *sum += cost;
        *at = now;
    }

    /// Records an applied configuration bucket, which the next hints confirm to the peers.
    pub fn record_applied(&mut self, stored: &StoredObject, now: MonoTime) {
        let entry = (stored.version, now);
        self.applied.insert(stored.object.name.clone(), entry);
    }

    /// Records for the next hint the state of an engine whose lease this daemon holds.
    pub fn add_engine_state(&mut self, target: &TargetId, state: &EngineState) {
        self.engines.insert(target.clone(), state.clone());
    }

    /// Records a target that stated that it is leaving, to be sent to peers for some time.
    pub fn note_departure(&mut self, departure: TargetDepartureReport, now: MonoTime) {
        self.departures.entry(departure).or_insert(now);
    }

    /// Returns whether a peer recently sent the state of an engine in its hints.
    #[must_use]
    pub fn is_reported_by_peer(&self, target: &TargetId, now: MonoTime) -> bool {
        let last_report = self.peer_reports.get(target);
        last_report.is_some_and(|at| now.since(*at) < self.peer_timeout / 2)
    }

    /// Recomputes which daemons to link to and which ones watch the platform.
    ///
    /// A daemon that does not watch receives updates from the watchers of its data centre.
    /// When none of them is both linked and reachable, it watches the platform itself;
    /// otherwise it would keep an outdated configuration unnoticed.
    pub fn update(&mut self, fleet: &FleetView, now: MonoTime) {
        self.hints.expire(now, self.peer_timeout);
        let peer_timeout = self.peer_timeout;
        self.peer_reports
            .retain(|_, at| now.since(*at) < peer_timeout);
        self.applied
            .retain(|_, (_, at)| now.since(*at) < UPDATE_RETENTION);
        self.departures
            .retain(|_, at| now.since(*at) < UPDATE_RETENTION);
        self.topology = PeerTopology::new(fleet, &self.local_id, self.watchers);
        if let Some(outbox) = &self.outbox {
            let links = self.topology.links.clone();
            let _ = outbox.send(PeerCommand::Links(links));
        }
        let mut watchers = self.topology.local_watchers.iter();
        let has_feed = watchers.any(|id| self.linked.contains(id) && self.hints.is_reachable(id));
        let watching = self.topology.is_watcher || !has_feed;
        self.watching.send_if_modified(|old| {
            let changed = *old != watching;
            *old = watching;
            changed
        });
    }

    /// Refutes reported crashes of engines that still report in the same incarnation.
    pub fn refute_by_reports(&self, fleet: &FleetView, now: MonoTime) {
        let reports = |target: &TargetIncarnation| {
            let report = fleet.targets.get(target.name())?.report.as_ref()?;
            let same = target.started_at() == Some(UnixTime(report.incarnation.0));
            (same && now.since(report.taken_at) < MAX_REPORT_AGE).then_some(())
        };
        self.crashes.lock().refute_registered(
            |target| reports(target).is_some(),
            REFUTATION_DELAY,
            MonoTime(0),
            now,
        );
    }

    /// Drops the limits of targets that are gone or have restarted.
    pub fn sweep_limits(&self, fleet: &FleetView, now: MonoTime) {
        let is_target = |incarnation: &TargetIncarnation| {
            let target = fleet.targets.get(incarnation.name());
            target.is_some_and(|t| t.report.is_none() || t.incarnation() == *incarnation)
        };
        let is_daemon = |daemon: &DaemonId| fleet.daemons.contains_key(daemon);
        let mut limits = self.target_limits.lock();
        limits.sweep(is_target, is_daemon, now);
        metrics::gauge!("pistachiowick_limited_targets").set(limits.count() as f64);
    }

    /// Sends a hint with this daemon's state to all linked peers.
    pub fn send_hint(&mut self, leaving: bool, now: MonoTime) {
        self.sequence += 1;
        let costs = self.costs.iter();
        let recent = costs.filter(|(_, (_, at))| now.since(*at) < UPDATE_RETENTION);
        let applied = self.applied.iter().rev().take(MAX_APPLIED_VERSIONS);
        let reports = ReportBatch::from(self.crashes.lock().due_reports(now));
        let hint = PeerHint {
            daemon: Some(self.local_id.clone()),
            incarnation: self.incarnation,
            sequence: self.sequence,
            leaving,
            work: self.work.clone(),
            costs: recent.map(|(w, (sum, _))| (w.clone(), *sum)).collect(),
            applied: applied.map(|(n, (v, _))| (n.clone(), *v)).collect(),
            engines: self.engines.drain(..).map(|(_, state)| state).collect(),
            work_reports: reports.works,
            part_reports: reports.parts,
            limits: self.target_limits.lock().due_reports(now),
            departures: self.departures.keys().cloned().collect(),
            clock: now,
        };
        let linked = self.linked.iter().cloned().collect();
        self.send(linked, PeerMessage::Hint(Box::new(hint)));
    }

    /// Applies and forwards a received hint; returns it if it is newer than the known one.
    pub fn apply_hint(
        &mut self,
        from: &DaemonId,
        hint: PeerHint,
        now: MonoTime,
    ) -> Option<PeerHint> {
        let origin = hint.daemon.clone()?;
        if origin == self.local_id || !self.hints.apply(hint.clone(), now) {
            return None;
        }
        let works = hint.work_reports.iter().map(CrashReport::from);
        for report in works.chain(hint.part_reports.iter().map(CrashReport::from)) {
            // Hints are forwarded unchanged, so their reports need no further broadcast.
            self.crashes.lock().apply_report(&report, false, now);
        }
        let sender = ReportSender {
            daemon: &origin,
            incarnation: hint.incarnation.0,
            clock: hint.clock,
        };
        let changes = self
            .target_limits
            .lock()
            .apply_message(sender, &hint.limits, now);
        for (target, change) in changes {
            log_change(&target, Some(change), origin.as_str());
        }
        for state in &hint.engines {
            self.peer_reports.insert(state.target.clone(), now);
        }
        let receivers = self
            .linked
            .iter()
            .filter(|peer| *peer != from && self.topology.forwards(&self.local_id, &origin, peer));
        let receivers: Vec<DaemonId> = receivers.cloned().collect();
        if !receivers.is_empty() {
            self.send(receivers, PeerMessage::Hint(Box::new(hint.clone())));
        }
        Some(hint)
    }

    /// Forwards objects that were new to this daemon.
    pub fn relay(&self, from: Option<&DaemonId>, objects: &[StoredObject]) {
        let peers = self.linked.iter().filter(|peer| Some(*peer) != from);
        self.send_objects(&peers.cloned().collect::<Vec<_>>(), objects);
    }

    /// Sends a peer the objects of which it has older versions or none.
    pub fn send_newer_objects(
        &self,
        peer: &DaemonId,
        peer_versions: &[(ObjectName, ObjectVersion)],
        local_objects: &[StoredObject],
    ) {
        let peer_versions: IndexMap<&ObjectName, ObjectVersion> = peer_versions
            .iter()
            .map(|(object, version)| (object, *version))
            .collect();
        let newer = local_objects.iter().filter(|stored| {
            let known = peer_versions
                .get(&stored.object)
                .copied()
                .unwrap_or_default();
            stored.version > known
        });
        let newer: Vec<StoredObject> = newer.cloned().collect();
        self.send_objects(std::slice::from_ref(peer), &newer);
    }

    // Splits the objects into batches, so that messages stay within the size limit of links.
    fn send_objects(&self, peers: &[DaemonId], objects: &[StoredObject]) {
        let mut batch = Vec::new();
        let mut bytes = 0;
        for stored in objects {
            bytes += stored.value.as_ref().map_or(0, Vec::len);
            batch.push(stored.clone());
            if bytes >= BATCH_BYTES {
                let batch_objects = std::mem::take(&mut batch);
                self.send(peers.to_vec(), PeerMessage::Objects(batch_objects));
                bytes = 0;
            }
        }
        if !batch.is_empty() {
            self.send(peers.to_vec(), PeerMessage::Objects(batch));
        }
    }

    /// Returns the peers that confirmed a bucket at `version` or later.
    #[must_use]
    pub fn confirmed(&self, bucket: &str, version: ObjectVersion) -> IndexSet<DaemonId> {
        self.hints.confirmed(bucket, version)
    }

    /// Takes the work that peers have accepted since the last call.
    pub fn take_work(&mut self) -> WorkTotals {
        self.hints.take_work()
    }

    /// Takes the cost that workspaces have used on peers since the last call.
    pub fn take_costs(&mut self) -> IndexMap<WorkspaceName, f64> {
        self.hints.take_costs()
    }

    fn send(&self, to: Vec<DaemonId>, message: PeerMessage) {
        if let Some(outbox) = &self.outbox {
            let to = Some(to);
            let _ = outbox.send(PeerCommand::Send { to, message });
        }
    }
}
