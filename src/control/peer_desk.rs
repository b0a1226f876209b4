//! Exchange with peers in the control thread: sends, receives and forwards hints and
//! objects.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use tokio::sync::{mpsc, watch};

use crate::crashes::SharedCrashTracker;
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
use crate::targets::wire::EngineState;

const NEWS_AGE: Duration = Duration::from_secs(10);
const BATCH_BYTES: usize = 1 << 20;
const MOST_NEWS: usize = 512;
/// Age up to which a report shows that its engine is alive.
const FRESH_REPORT: Duration = Duration::from_secs(1);
/// Time after a reported crash from which a report of the same incarnation refutes it.
const REPORT_PROOF: Duration = Duration::from_secs(5);
const MOST_WORKSPACES: usize = 8_192;

/// State that the control thread keeps for the exchange with its peers.
pub struct PeerDesk {
    own: DaemonId,
    incarnation: ProcessIncarnation,
    watchers: usize,
    silence: Duration,
    outbox: Option<mpsc::UnboundedSender<PeerCommand>>,
    topology: PeerTopology,
    hints: PeerHints,
    linked: IndexSet<DaemonId>,
    sequence: u64,
    work: WorkTotals,
    costs: IndexMap<WorkspaceName, (f64, MonoTime)>,
    applied: IndexMap<String, (ObjectVersion, MonoTime)>,
    engines: IndexMap<TargetId, EngineState>,
    digests: IndexMap<TargetId, MonoTime>,
    crashes: SharedCrashTracker,
    watching: watch::Sender<bool>,
}

impl PeerDesk {
    /// Creates the state of a daemon without links, which watches the platform itself.
    #[must_use]
    pub fn new(
        settings: &DaemonSettings,
        incarnation: ProcessIncarnation,
        crashes: SharedCrashTracker,
    ) -> Self {
        Self {
            own: settings.daemon_id.clone(),
            incarnation,
            watchers: settings.peers.watchers,
            silence: Duration::from_millis(settings.peers.silence_ms),
            outbox: None,
            topology: PeerTopology::default(),
            hints: PeerHints::default(),
            linked: IndexSet::new(),
            sequence: 0,
            work: WorkTotals::new(),
            costs: IndexMap::new(),
            applied: IndexMap::new(),
            engines: IndexMap::new(),
            digests: IndexMap::new(),
            crashes,
            watching: watch::Sender::new(true),
        }
    }

    /// Returns a receiver of whether this daemon has to watch the platform itself.
    #[must_use]
    pub fn watching(&self) -> watch::Receiver<bool> {
        self.watching.subscribe()
    }

    /// Sets the channel for commands to the links.
    pub fn connect(&mut self, outbox: mpsc::UnboundedSender<PeerCommand>) {
        self.outbox = Some(outbox);
    }

    /// Records a new link and sends the peer the versions of the local objects.
    pub fn link_up(&mut self, peer: &DaemonId, held: Vec<(ObjectName, ObjectVersion)>) {
        self.linked.insert(peer.clone());
        self.send(vec![peer.clone()], PeerMessage::Versions(held));
    }

    /// Records that the link to a peer is down.
    pub fn link_down(&mut self, peer: &DaemonId) {
        self.linked.swap_remove(peer);
    }

    /// Returns whether a hint was received recently from any peer.
    #[must_use]
    pub fn is_heard(&self) -> bool {
        self.hints.heard() > 0
    }

    /// Adds work accepted by this daemon.
    pub fn note_work(&mut self, model: &ModelName, bins: &WorkBins) {
        let sums = self.work.entry(model.clone()).or_default();
        for (sum, work) in sums.iter_mut().zip(bins) {
            sum.prefill += work.prefill;
            sum.decode += work.decode;
        }
    }

    /// Adds cost used on this daemon.
    pub fn note_cost(&mut self, workspace: &WorkspaceName, cost: f64, now: MonoTime) {
        if self.costs.len() >= MOST_WORKSPACES && !self.costs.contains_key(workspace) {
            return;
        }
        let (sum, at) = self.costs.entry(workspace.clone()).or_insert((0.0, now));
        *sum += cost;
        *at = now;
    }

    /// Records an applied configuration bucket, which the next hints confirm to the peers.
    pub fn note_applied(&mut self, stored: &StoredObject, now: MonoTime) {
        let entry = (stored.version, now);
        self.applied.insert(stored.object.name.clone(), entry);
    }

    /// Records the state of an engine that this daemon leads for the next hint.
    pub fn note_engine(&mut self, target: &TargetId, state: &EngineState) {
        self.engines.insert(target.clone(), state.clone());
    }

    /// Returns whether a peer recently sent the state of an engine in its hints.
    #[must_use]
    pub fn is_digested(&self, target: &TargetId, now: MonoTime) -> bool {
        let seen = self.digests.get(target);
        seen.is_some_and(|at| now.since(*at) < self.silence / 2)
    }

    /// Recomputes which daemons to link to and which ones watch the platform.
    ///
    /// A daemon that does not watch receives updates from the watchers of its data centre.
    /// When none of them is both linked and reachable, it watches the platform itself;
    /// otherwise it would keep an outdated configuration unnoticed.
    pub fn update(&mut self, fleet: &FleetView, now: MonoTime) {
        self.hints.expire(now, self.silence);
        let silence = self.silence;
        self.digests.retain(|_, at| now.since(*at) < silence);
        self.applied.retain(|_, (_, at)| now.since(*at) < NEWS_AGE);
        self.topology = PeerTopology::new(fleet, &self.own, self.watchers);
        if let Some(outbox) = &self.outbox {
            let links = self.topology.links.clone();
            let _ = outbox.send(PeerCommand::Links(links));
        }
        let mut feeders = self.topology.local_watchers.iter();
        let fed = feeders.any(|id| self.linked.contains(id) && self.hints.has_heard(id));
        let watching = self.topology.watches || !fed;
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
            (same && now.since(report.taken_at) < FRESH_REPORT).then_some(())
        };
        self.crashes.lock().refute_registered(
            |target| reports(target).is_some(),
            REPORT_PROOF,
            MonoTime(0),
            now,
        );
    }

    /// Sends a hint with this daemon's state to all linked peers.
    pub fn send_hint(&mut self, leaving: bool, now: MonoTime) {
        self.sequence += 1;
        let costs = self.costs.iter();
        let recent = costs.filter(|(_, (_, at))| now.since(*at) < NEWS_AGE);
        let applied = self.applied.iter().rev().take(MOST_NEWS);
        let hint = PeerHint {
            daemon: Some(self.own.clone()),
            incarnation: self.incarnation,
            sequence: self.sequence,
            leaving,
            work: self.work.clone(),
            costs: recent.map(|(w, (sum, _))| (w.clone(), *sum)).collect(),
            applied: applied.map(|(n, (v, _))| (n.clone(), *v)).collect(),
            engines: self.engines.drain(..).map(|(_, state)| state).collect(),
            works: self.crashes.lock().due_reports(now),
        };
        let linked = self.linked.iter().cloned().collect();
        self.send(linked, PeerMessage::Hint(Box::new(hint)));
    }

    /// Applies and forwards a received hint; returns it if it is newer than the known one.
    pub fn take_hint(
        &mut self,
        from: &DaemonId,
        hint: PeerHint,
        now: MonoTime,
    ) -> Option<PeerHint> {
        let origin = hint.daemon.clone()?;
        if origin == self.own || !self.hints.note(hint.clone(), now) {
            return None;
        }
        for note in &hint.works {
            // Hints are forwarded unchanged, so their reports need no further broadcast.
            self.crashes.lock().apply_report(note, false, now);
        }
        for state in &hint.engines {
            self.digests.insert(state.target.clone(), now);
        }
        let passed = self
            .linked
            .iter()
            .filter(|peer| *peer != from && self.topology.passes(&self.own, &origin, peer));
        let passed: Vec<DaemonId> = passed.cloned().collect();
        if !passed.is_empty() {
            self.send(passed, PeerMessage::Hint(Box::new(hint.clone())));
        }
        Some(hint)
    }

    /// Forwards objects that were new to this daemon.
    pub fn relay(&self, from: Option<&DaemonId>, objects: &[StoredObject]) {
        let peers = self.linked.iter().filter(|peer| Some(*peer) != from);
        self.send_objects(&peers.cloned().collect::<Vec<_>>(), objects);
    }

    /// Sends a peer the objects of which it has older versions or none.
    pub fn answer_versions(
        &self,
        peer: &DaemonId,
        theirs: &[(ObjectName, ObjectVersion)],
        held: &[StoredObject],
    ) {
        let theirs: IndexMap<&ObjectName, ObjectVersion> = theirs
            .iter()
            .map(|(object, version)| (object, *version))
            .collect();
        let newer = held.iter().filter(|stored| {
            let known = theirs.get(&stored.object).copied().unwrap_or_default();
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
                let whole = std::mem::take(&mut batch);
                self.send(peers.to_vec(), PeerMessage::Objects(whole));
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
