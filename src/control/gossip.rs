//! Handles link events and messages from peers in the control thread.

use crate::authority::order_record::ORDER_KIND;
use crate::clock;
use crate::config::buckets::CONFIG_KIND;
use crate::control::state::ControlState;
use crate::membership::{self, PeerUpdate};
use crate::names::{DaemonId, MonoTime, ProcessIncarnation};
use crate::peers::link::PeerEvent;
use crate::peers::wire::{PeerHint, PeerMessage};
use crate::ports::StoredObject;

impl ControlState {
    /// Handles an event of the links.
    pub(crate) fn on_peer(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Ready(outbox) => self.peers.connect(outbox),
            PeerEvent::Up(peer, incarnation) => {
                let objects = self.local_objects();
                let objects = objects
                    .iter()
                    .map(|s| (s.object.clone(), s.version))
                    .collect();
                self.peers.link_up(&peer, objects);
                self.record_contact(peer, incarnation, false);
            }
            PeerEvent::Down(peer) => {
                self.peers.link_down(&peer);
            }
            PeerEvent::Message(from, message) => self.on_message(&from, *message),
        }
    }

    fn record_contact(&mut self, daemon: DaemonId, incarnation: ProcessIncarnation, leaving: bool) {
        let update = PeerUpdate {
            daemon,
            incarnation,
            leaving,
        };
        self.membership
            .apply_peer_update(&update, clock::mono_now());
    }

    fn on_message(&mut self, from: &DaemonId, message: PeerMessage) {
        match message {
            PeerMessage::Hint(hint) => self.on_hint(from, *hint),
            PeerMessage::Versions(peer_versions) => {
                let objects = self.local_objects();
                self.peers
                    .send_newer_objects(from, &peer_versions, &objects);
            }
            PeerMessage::Objects(objects) => self.on_objects(from, objects),
            // The links handle requests and replies themselves.
            PeerMessage::Request { .. } | PeerMessage::Reply { .. } => {}
        }
    }

    fn on_hint(&mut self, from: &DaemonId, hint: PeerHint) {
        let now = clock::mono_now();
        let Some(hint) = self.peers.apply_hint(from, hint, now) else {
            return;
        };
        for state in &hint.engines {
            let age = membership::report_age(state, clock::unix_now());
            self.membership.note_state(&state.target, state, age, now);
        }
        for departure in &hint.departures {
            if self.membership.record_target_leaving(departure, now) {
                let source = hint.daemon.as_ref().map_or("", DaemonId::as_str);
                log::info!(target_id = departure.target.as_str(), source = source; "target is leaving");
            }
        }
        if let Some(daemon) = hint.daemon {
            self.record_contact(daemon, hint.incarnation, hint.leaving);
        }
        self.answer_confirmed_changes(now);
    }

    fn on_objects(&mut self, from: &DaemonId, objects: Vec<StoredObject>) {
        let (config, others): (Vec<_>, Vec<_>) = objects
            .into_iter()
            .partition(|stored| stored.object.kind == CONFIG_KIND);
        self.apply_config(&config, false, Some(from));
        let orders: Vec<StoredObject> = others
            .into_iter()
            .filter(|stored| stored.object.kind == ORDER_KIND)
            .collect();
        self.apply_orders(&orders, Some(from));
    }

    fn local_objects(&self) -> Vec<StoredObject> {
        let config = self.config.objects().cloned();
        config.chain(self.authority.objects()).collect()
    }

    /// Adds local and peers' work and costs to the forecast and the shares. While no peer
    /// is reachable, the other daemons are assumed to have the same work as this one.
    pub(crate) fn update_work_and_shares(&mut self, now: MonoTime) {
        let isolated = !self.peers.has_reachable_peer();
        let scale = if isolated {
            self.cell.load().live_daemons
        } else {
            1
        };
        for (model, bins) in std::mem::take(&mut self.local_work) {
            self.peers.add_local_work(&model, &bins);
            let total = bins.map(|work| work.times(scale as f64));
            self.mix.add_work(&model, &total);
        }
        for (model, bins) in self.peers.take_work() {
            self.mix.add_work(&model, &bins);
        }
        self.mix.tick(now);
        for (workspace, cost) in self.peers.take_costs() {
            self.shares.add_cost(&workspace, cost);
        }
        if self.shares.tick(now) {
            self.update_shares();
        }
    }

    fn update_shares(&mut self) {
        let config = self.config.view();
        let view = self.shares.view(|workspace| {
            let spec = config.workspaces.get(workspace);
            spec.map_or(1, |spec| spec.weight)
        });
        if *self.share_view != view {
            self.share_view = view.into();
        }
    }
}
