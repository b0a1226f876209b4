//! What links and messages of peers change in the control thread.

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
    /// Takes an event of the links.
    pub(crate) fn on_peer(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Ready(outbox) => self.peers.connect(outbox),
            PeerEvent::Up(peer, incarnation) => {
                let held = self.held_objects();
                let held = held.iter().map(|s| (s.object.clone(), s.version)).collect();
                self.peers.link_up(&peer, held);
                self.hear(peer, incarnation, false);
            }
            PeerEvent::Down(peer) => {
                self.peers.link_down(&peer);
            }
            PeerEvent::Message(from, message) => self.on_message(&from, *message),
        }
    }

    fn hear(&mut self, daemon: DaemonId, incarnation: ProcessIncarnation, leaving: bool) {
        let word = PeerUpdate {
            daemon,
            incarnation,
            leaving,
        };
        self.membership.apply_peer_update(&word, clock::mono_now());
    }

    fn on_message(&mut self, from: &DaemonId, message: PeerMessage) {
        match message {
            PeerMessage::Hint(hint) => self.on_hint(from, *hint),
            PeerMessage::Versions(theirs) => {
                let held = self.held_objects();
                self.peers.answer_versions(from, &theirs, &held);
            }
            PeerMessage::Objects(objects) => self.on_objects(from, objects),
            // Requests and replies are handled by the links.
            PeerMessage::Request { .. } | PeerMessage::Reply { .. } => {}
        }
    }

    fn on_hint(&mut self, from: &DaemonId, hint: PeerHint) {
        let now = clock::mono_now();
        let Some(hint) = self.peers.take_hint(from, hint, now) else {
            return;
        };
        for state in &hint.engines {
            let age = membership::report_age(state, clock::unix_now());
            self.membership.note_state(&state.target, state, age, now);
        }
        if let Some(daemon) = hint.daemon {
            self.hear(daemon, hint.incarnation, hint.leaving);
        }
        self.settle_confirmations(now);
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
        self.note_orders(&orders, Some(from));
    }

    fn held_objects(&self) -> Vec<StoredObject> {
        let config = self.config.objects().cloned();
        config.chain(self.authority.objects()).collect()
    }

    /// Adds up work and cost, here and at the peers. Without word from peers, the
    /// others are taken to see work like one's own.
    pub(crate) fn roll_sums(&mut self, now: MonoTime) {
        let alone = !self.peers.is_heard();
        let others = if alone {
            self.cell.load().live_daemons
        } else {
            1
        };
        for (model, bins) in std::mem::take(&mut self.own_work) {
            self.peers.note_work(&model, &bins);
            let whole = bins.map(|work| work.times(others as f64));
            self.mix.add_work(&model, &whole);
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
