//! Exchange of usage counts and wall clock times between daemons.

use crate::clock;
use crate::gateway::call::RoutedRequest;
use crate::gateway::daemon::Gateway;
use crate::gateway::fleet_tasks::UsageMeter;
use crate::gateway::fleet_tasks::usage_counts::{DaemonUsage, UsageCount};
use crate::gateway::members::DaemonRecord;
use crate::gateway::model::CallerAccess;
use crate::gateway::peers::hub::{self, LinkKind, PeerRole};
use crate::gateway::peers::wire::{PeerHint, PeerMessage, PeerSummary, UsageCopies};
use crate::names::{DaemonId, MonoTime, UnixTime};

impl Gateway {
    /// Counts a request that started to run at a target. The daemon that hands over a request
    /// that targets have received counts it itself.
    pub fn record_start(&self, call: &RoutedRequest) {
        if let CallerAccess::Workspace { name, .. } = &call.access
            && self.ports.fleet_tasks.is_some()
            && call.prior_sends() == 0
        {
            let mut meter = self.fleet_tasks.borrow_mut();
            meter.usage.record_start(name, clock::mono_now());
        }
    }

    pub(super) fn take_usage_updates(&self) -> Vec<UsageCount> {
        let now = clock::mono_now();
        let mut meter = self.fleet_tasks.borrow_mut();
        meter.refresh(now);
        meter.usage.take_updates(now)
    }

    // Returns the counts offered to a new receiver. Daemons that are reachable offer their own
    // counts; a hub offers all, because its receivers have no links to its members.
    pub(super) fn take_usage_offers(&self, role: &PeerRole) -> Vec<DaemonUsage> {
        let local = (self.daemon.clone(), self.incarnation);
        let is_offered = |id: &DaemonId| *role == PeerRole::Hub || !self.is_usable_peer(id);
        let mut meter = self.fleet_tasks.borrow_mut();
        meter
            .usage
            .take_offers(&local, is_offered, clock::mono_now())
    }

    // Returns the fleet time up to which this daemon has sent all counts that it keeps.
    pub(super) fn usage_sent_to(&self) -> Option<UnixTime> {
        let now = clock::mono_now();
        let meter = self.fleet_tasks.borrow();
        let is_complete = self.ports.fleet_tasks.is_some()
            && meter.usage.has_offered()
            && meter.coverage.is_settled(now);
        meter.clock.at(now).filter(|_| is_complete)
    }

    // Queues this hub's own counts for the members that keep them.
    pub(super) fn copy_usage(&self, hint: &PeerHint) {
        let own = hint.kept_usage.iter().cloned().chain([usage_of(hint)]);
        let own = own.filter(|usage| !usage.counts.is_empty());
        self.fleet_tasks.borrow_mut().usage.queue_copies(own);
    }

    // Sends what arrived since the last call. If the hub and one of its members are killed, only
    // what arrived after the last call is lost.
    pub(super) fn send_usage_copies(&self) {
        let mut meter = self.fleet_tasks.borrow_mut();
        let usage = meter.usage.take_copies();
        if usage.is_empty() {
            return;
        }
        let copies = UsageCopies {
            from: self.daemon.clone(),
            incarnation: self.incarnation,
            usage,
        };
        let placement_client = self.placement_client.borrow();
        placement_client.send_to(meter.coverage.keepers(), &PeerMessage::Usage(copies));
    }

    pub(super) fn apply_usage_copies(&self, copies: UsageCopies) {
        let view = self.view();
        let sender = (&copies.from, copies.incarnation);
        let mut daemons = view.daemons.iter();
        if !daemons.any(|d| (&d.id, d.incarnation) == sender) {
            return;
        }
        let mut meter = self.fleet_tasks.borrow_mut();
        for counts in copies.usage {
            if self.is_remote(&counts) {
                meter.usage.merge_remote(counts, false);
            }
        }
    }

    // Starts to offer all counts when a daemon newly receives them: a new hub, another hub, or a
    // member that keeps the counts of this hub.
    pub(super) fn update_usage_receivers(
        &self,
        role: &PeerRole,
        links: &[(DaemonRecord, LinkKind)],
        now: MonoTime,
    ) {
        if self.ports.fleet_tasks.is_none() {
            return;
        }
        let keepers = match role {
            PeerRole::Hub => {
                let peers = self.peers.borrow();
                let is_reachable = |id: &DaemonId| peers.is_directly_reachable(id, now);
                hub::usage_keepers(&self.daemon, links, is_reachable)
            }
            PeerRole::Mesh | PeerRole::Member(_) => Vec::new(),
        };
        let receives = |(daemon, kind): &&(DaemonRecord, LinkKind)| {
            *kind != LinkKind::Member || keepers.contains(&daemon.id)
        };
        let receivers = links.iter().filter(receives);
        let receivers = receivers.map(|(d, _)| (d.id.clone(), d.incarnation));
        let mut meter = self.fleet_tasks.borrow_mut();
        if meter.coverage.set_receivers(receivers.collect(), now) {
            meter.usage.start_offers(now);
        }
        meter.coverage.set_keepers(keepers);
        let view = self.view();
        let is_known = |id: &DaemonId| view.daemons.iter().any(|d| d.id == *id);
        meter.coverage.retain(is_known);
    }

    /// Returns the fleet time up to which the counts of all reachable daemons that keep those of
    /// others are known here.
    #[must_use]
    pub fn usage_complete_to(
        &self,
        meter: &UsageMeter,
        fleet_now: UnixTime,
        now: MonoTime,
    ) -> UnixTime {
        if !meter.coverage.is_settled(now) {
            return UnixTime::default();
        }
        let view = self.view();
        let peers = self.peers.borrow();
        let hubs = self.hubs.borrow();
        let senders = hubs.full_view_peers(&self.daemon, &view.daemons, &peers, now);
        let senders: Vec<DaemonId> = senders.into_iter().map(|daemon| daemon.id).collect();
        meter.coverage.complete_to(&senders, fleet_now)
    }

    // Only a hub passes on what it received; kept by another daemon, it would grow without end.
    pub(super) fn drop_relayed_usage(&self) {
        let mut meter = self.fleet_tasks.borrow_mut();
        meter.usage.take_relayed();
        meter.usage.take_copies();
    }

    // Returns the usage sent to other hubs: of the members, and of this daemon's hint.
    pub(super) fn take_centre_usage(&self, hint: &PeerHint) -> Vec<DaemonUsage> {
        let mut usage = self.fleet_tasks.borrow_mut().usage.take_relayed();
        if !hint.usage.is_empty() {
            usage.push(usage_of(hint));
        }
        usage.extend(hint.kept_usage.iter().cloned());
        usage
    }

    pub(super) fn apply_member_usage(&self, hint: &PeerHint, now: MonoTime) {
        let mut meter = self.fleet_tasks.borrow_mut();
        meter.clock.add_sample(&hint.from, hint.wall_clock, now);
        meter.usage.merge_remote(usage_of(hint), true);
        for kept in hint.kept_usage.iter().filter(|kept| self.is_remote(kept)) {
            meter.usage.merge_remote(kept.clone(), true);
        }
        if let Some(complete_to) = hint.usage_complete_to {
            meter.coverage.record(&hint.from, complete_to);
        }
    }

    // Members adopt the time of their hub; between hubs, it counts as one more sample.
    pub(super) fn apply_hub_usage(&self, summary: &PeerSummary, now: MonoTime) {
        let mut meter = self.fleet_tasks.borrow_mut();
        if let Some(time) = summary.fleet_time {
            if summary.whole_fleet {
                meter.clock.adopt_time(time, now);
            } else {
                meter.clock.add_sample(&summary.from, time, now);
            }
        }
        if let Some(complete_to) = summary.usage_complete_to.filter(|_| !summary.whole_fleet) {
            meter.coverage.record(&summary.from, complete_to);
        }
        for counts in summary.usage.iter().filter(|counts| self.is_remote(counts)) {
            meter.usage.merge_remote(counts.clone(), false);
        }
    }
}

impl Gateway {
    // Counts of this process come back to it from daemons that keep them, and would count twice.
    fn is_remote(&self, usage: &DaemonUsage) -> bool {
        usage.daemon != self.daemon || usage.incarnation != self.incarnation
    }

    fn is_usable_peer(&self, daemon: &DaemonId) -> bool {
        self.peers.borrow().is_usable(daemon, clock::mono_now())
    }
}

fn usage_of(hint: &PeerHint) -> DaemonUsage {
    DaemonUsage {
        daemon: hint.from.clone(),
        incarnation: hint.incarnation,
        counts: hint.usage.clone(),
    }
}
