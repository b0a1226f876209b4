//! Link topology, forwarding of hints, and the state accumulated from peers' hints.
//!
//! Watchers are the daemons that watch the platform for their data centre. Every daemon
//! links to the watchers of its data centre; watchers also link to the watchers of the other
//! data centres. Watchers forward hints within their data centre and between it and the
//! others, so that a hint reaches each daemon over at most three links and no daemon links
//! to all others.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::authority::lease_groups::rendezvous;
use crate::membership::fleet::{DaemonView, FleetView, UseState};
use crate::names::{CentreName, DaemonId, GroupName, MonoTime, ProcessIncarnation, WorkspaceName};
use crate::peers::wire::PeerHint;
use crate::ports::ObjectVersion;
use crate::roles::mix::{WorkAmount, WorkTotals};

const MAX_PEERS: usize = 4_096;
const MAX_APPLIED: usize = 512;

/// Returns the daemons that watch the platform for a data centre.
#[must_use]
pub fn watchers_of(fleet: &FleetView, centre: &CentreName, count: usize) -> Vec<DaemonId> {
    let group = GroupName::from(format!("watch-{centre}"));
    let live = fleet.daemons.values().filter(|d| is_usable(d));
    let mut scored: Vec<(u64, &DaemonId)> = live
        .filter(|d| d.data_centre == *centre)
        .map(|d| (rendezvous(&group, &d.id), &d.id))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    let first = scored.into_iter().take(count);
    first.map(|(_, id)| id.clone()).collect()
}

fn is_usable(daemon: &DaemonView) -> bool {
    matches!(daemon.state, UseState::Live | UseState::Suspect)
}

/// The links and watchers that one daemon derives from the fleet.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerTopology {
    /// Whether this daemon watches the platform for its data centre.
    pub is_watcher: bool,
    /// Daemons to keep links to.
    pub links: IndexSet<DaemonId>,
    /// Watchers of this data centre.
    pub local_watchers: IndexSet<DaemonId>,
    /// Data centre of each daemon.
    pub centres: IndexMap<DaemonId, CentreName>,
    /// Watchers of all data centres.
    pub watchers: IndexSet<DaemonId>,
}

impl PeerTopology {
    /// Computes the topology for the daemon `local_id`.
    #[must_use]
    pub fn new(fleet: &FleetView, local_id: &DaemonId, watchers: usize) -> Self {
        let daemons = fleet.daemons.values();
        let centres: IndexMap<DaemonId, CentreName> = daemons
            .map(|d| (d.id.clone(), d.data_centre.clone()))
            .collect();
        let local_centre = centres.get(local_id);
        let names: IndexSet<&CentreName> = centres.values().collect();
        let mut all = IndexSet::new();
        let mut local = IndexSet::new();
        for centre in names {
            let found = watchers_of(fleet, centre, watchers);
            if Some(centre) == local_centre {
                local.extend(found.iter().cloned());
            }
            all.extend(found);
        }
        let is_watcher = local.contains(local_id);
        let peers = if is_watcher { &all } else { &local };
        let links = peers.iter().filter(|id| *id != local_id).cloned().collect();
        Self {
            is_watcher,
            links,
            local_watchers: local,
            centres,
            watchers: all,
        }
    }

    /// Returns whether this daemon forwards a hint from `origin` to `peer`.
    ///
    /// Watchers forward hints from other data centres to the non-watchers of their own,
    /// and hints from those to remote watchers and to the other non-watchers. Watchers
    /// receive each other's hints directly.
    #[must_use]
    pub fn forwards(&self, local_id: &DaemonId, origin: &DaemonId, peer: &DaemonId) -> bool {
        if !self.is_watcher || origin == peer || peer == local_id || origin == local_id {
            return false;
        }
        let here = self.centres.get(local_id);
        let origin_here = self.centres.get(origin) == here;
        let peer_here = self.centres.get(peer) == here;
        let origin_watches = self.watchers.contains(origin);
        let peer_watches = self.watchers.contains(peer);
        match (origin_here, peer_here) {
            (true, false) => !origin_watches && peer_watches,
            (true, true) => !peer_watches && !origin_watches,
            (false, true) => !peer_watches,
            (false, false) => false,
        }
    }
}

#[derive(Clone, Debug)]
struct PeerRecord {
    hint: PeerHint,
    received_at: MonoTime,
    applied: IndexMap<String, ObjectVersion>,
}

/// Latest hints of the peers, and the work and cost not yet taken from them.
#[derive(Clone, Debug, Default)]
pub struct PeerHints {
    peers: IndexMap<DaemonId, PeerRecord>,
    new_work: WorkTotals,
    new_costs: IndexMap<WorkspaceName, f64>,
}

impl PeerHints {
    /// Applies a hint; returns whether it is newer than the known one.
    ///
    /// The totals in a hint count from the start of the process, so a lost hint loses
    /// nothing and one received twice, from two watchers, counts once.
    pub fn apply(&mut self, hint: PeerHint, now: MonoTime) -> bool {
        let Some(daemon) = hint.daemon.clone() else {
            return false;
        };
        let known = self.peers.get(&daemon);
        let order = |hint: &PeerHint| (hint.incarnation, hint.sequence);
        if known.is_some_and(|k| order(&k.hint) >= order(&hint)) {
            return false;
        }
        if known.is_none() && self.peers.len() >= MAX_PEERS {
            return false;
        }
        let same_incarnation = known.filter(|k| k.hint.incarnation == hint.incarnation);
        let before = same_incarnation.map(|k| &k.hint);
        add_increase(&mut self.new_work, &mut self.new_costs, before, &hint);
        let mut applied = same_incarnation
            .map(|k| k.applied.clone())
            .unwrap_or_default();
        for (name, version) in &hint.applied {
            let newest = applied.entry(name.clone()).or_default();
            *newest = (*newest).max(*version);
        }
        applied.truncate(MAX_APPLIED);
        let mut hint = hint;
        if let Some(before) = before {
            keep_omitted_totals(&mut hint, before);
        }
        let record = PeerRecord {
            hint,
            received_at: now,
            applied,
        };
        self.peers.insert(daemon, record);
        true
    }

    /// Removes peers whose last hint is older than the timeout.
    pub fn expire(&mut self, now: MonoTime, timeout: Duration) {
        self.peers.retain(|_, p| now.since(p.received_at) < timeout);
    }

    /// Returns the number of peers whose hints were received recently.
    #[must_use]
    pub fn reachable_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether a hint of a peer was received recently.
    #[must_use]
    pub fn is_reachable(&self, daemon: &DaemonId) -> bool {
        self.peers.contains_key(daemon)
    }

    /// Returns the peers that have applied a bucket at `version` or later.
    #[must_use]
    pub fn confirmed(&self, bucket: &str, version: ObjectVersion) -> IndexSet<DaemonId> {
        let run = self
            .peers
            .iter()
            .filter(|(_, p)| p.applied.get(bucket).is_some_and(|v| *v >= version));
        run.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the incarnation in a peer's latest hint.
    #[must_use]
    pub fn incarnation(&self, daemon: &DaemonId) -> Option<ProcessIncarnation> {
        self.peers.get(daemon).map(|p| p.hint.incarnation)
    }

    /// Takes the work that peers have accepted since the last call.
    pub fn take_work(&mut self) -> WorkTotals {
        std::mem::take(&mut self.new_work)
    }

    /// Takes the cost that workspaces have used on peers since the last call.
    pub fn take_costs(&mut self) -> IndexMap<WorkspaceName, f64> {
        std::mem::take(&mut self.new_costs)
    }
}

// Hints omit totals that have not changed recently; those are kept from the previous hint.
fn keep_omitted_totals(hint: &mut PeerHint, before: &PeerHint) {
    for (workspace, cost) in &before.costs {
        hint.costs.entry(workspace.clone()).or_insert(*cost);
    }
    for (model, bins) in &before.work {
        hint.work.entry(model.clone()).or_insert(*bins);
    }
}

// The first report of a total only sets the baseline: work done before it is not counted.
fn add_increase(
    work: &mut WorkTotals,
    costs: &mut IndexMap<WorkspaceName, f64>,
    before: Option<&PeerHint>,
    hint: &PeerHint,
) {
    let Some(before) = before else {
        return;
    };
    for (model, bins) in &hint.work {
        let Some(old) = before.work.get(model) else {
            continue;
        };
        let sums = work.entry(model.clone()).or_default();
        for (sum, (new, old)) in sums.iter_mut().zip(bins.iter().zip(old)) {
            *sum = WorkAmount {
                prefill: sum.prefill + (new.prefill - old.prefill).max(0.0),
                decode: sum.decode + (new.decode - old.decode).max(0.0),
            };
        }
    }
    for (workspace, cost) in &hint.costs {
        let Some(old) = before.costs.get(workspace) else {
            continue;
        };
        *costs.entry(workspace.clone()).or_default() += (cost - old).max(0.0);
    }
}
