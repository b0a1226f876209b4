//! State of the control thread and its event handlers.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use tokio::sync::{Mutex, mpsc, oneshot};

use crate::authority::{AuthorityInputs, AuthorityState};
use crate::clock;
use crate::config::buckets::{BUCKETS, ConfigState};
use crate::control::authority_ports::AuthorityPorts;
use crate::control::changes::PendingConfirmation;
use crate::control::feeds::{self, FeedEvent};
use crate::control::peer_exchange::PeerExchange;
use crate::control::snapshot::{ControlSnapshot, SnapshotCell};
use crate::control::{ControlEvent, ControlInputs};
use crate::decide::shares::{ShareTracker, WeightCorrections};
use crate::membership::fleet::UseState;
use crate::membership::suspicion::CallSource;
use crate::membership::{self, MembershipLimits, MembershipState, StateChange};
use crate::names::{DaemonId, MonoTime, TargetId, millis};
use crate::ports::StoredObject;
use crate::requests::journal::DecisionKind;
use crate::roles::mix::{self, MixForecast, WorkAmount, WorkTotals};
use crate::targets::wire::EngineState;

const FORGET_AFTER_LISTS: u64 = 60;

/// State owned by the control thread.
pub(crate) struct ControlState {
    pub(crate) inputs: ControlInputs,
    pub(crate) cell: SnapshotCell,
    pub(crate) feeds: mpsc::UnboundedSender<FeedEvent>,
    pub(crate) config: ConfigState,
    pub(crate) membership: MembershipState,
    pub(crate) bucket_locks: Arc<Vec<Mutex<()>>>,
    pub(crate) authority: AuthorityState,
    pub(crate) ports: AuthorityPorts,
    pub(crate) mix: MixForecast,
    pub(crate) local_work: WorkTotals,
    pub(crate) peers: PeerExchange,
    pub(crate) shares: ShareTracker,
    pub(crate) share_view: Arc<WeightCorrections>,
    pub(crate) confirmations: Vec<PendingConfirmation>,
    pub(crate) stop_replies: Vec<oneshot::Sender<()>>,
    pub(crate) running_changes: usize,
    pub(crate) change_count: u64,
    pub(crate) polling: IndexSet<TargetId>,
    pub(crate) config_complete: bool,
    pub(crate) list_received: bool,
    pub(crate) platform_reachable: bool,
    pub(crate) stopping: bool,
}

impl ControlState {
    pub(crate) fn new(
        inputs: ControlInputs,
        cell: SnapshotCell,
        feeds: mpsc::UnboundedSender<FeedEvent>,
    ) -> Self {
        let settings = &inputs.settings;
        let local_view = membership::local_view(
            settings.daemon_id.clone(),
            inputs.rpc_address.to_string(),
            inputs.peer_address.to_string(),
            settings.data_centre.clone(),
            inputs.incarnation,
        );
        let limits = MembershipLimits {
            forget: Duration::from_millis(settings.platform.instances_ms * FORGET_AFTER_LISTS),
            peer_timeout: Duration::from_millis(settings.peers.silence_ms),
            ..MembershipLimits::default()
        };
        let locks = (0..BUCKETS).map(|_| Mutex::new(()));
        let journal = inputs.journal.clone();
        let ports = AuthorityPorts {
            platform: inputs.platform.clone(),
            engines: inputs.engines.clone(),
            call_timeout: settings.platform.call_wait(),
            order_flight: Duration::from_millis(settings.leases.order_flight_ms),
            feeds: feeds.clone(),
        };
        Self {
            authority: AuthorityState::new(settings, inputs.incarnation, journal),
            ports,
            mix: MixForecast::default(),
            local_work: WorkTotals::new(),
            peers: PeerExchange::new(
                settings,
                inputs.incarnation,
                inputs.crashes.clone(),
                inputs.target_limits.clone(),
            ),
            shares: ShareTracker::default(),
            share_view: Arc::default(),
            confirmations: Vec::new(),
            stop_replies: Vec::new(),
            membership: MembershipState::new(local_view, limits),
            bucket_locks: Arc::new(locks.collect()),
            inputs,
            cell,
            feeds,
            config: ConfigState::default(),
            running_changes: 0,
            change_count: 0,
            polling: IndexSet::new(),
            config_complete: false,
            list_received: false,
            platform_reachable: false,
            stopping: false,
        }
    }

    pub(crate) fn on_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Change { change, reply } => self.start_change(change, reply),
            ControlEvent::TargetContacted { target, answered } => {
                let now = clock::mono_now();
                self.membership
                    .record_call(&target, CallSource::Work, answered, now);
            }
            ControlEvent::TargetLeaving { target, address } => {
                let now = clock::mono_now();
                let departure = self.membership.departure_of(&target, &address);
                if self.membership.record_target_leaving(&departure, now) {
                    log::info!(target_id = target.as_str(), source = "answer"; "target is leaving");
                    self.peers.note_departure(departure, now);
                }
            }
            ControlEvent::WorkAccepted {
                model,
                prefill_tokens,
                decode_tokens,
            } => {
                let speeds = &self.inputs.settings.policy.speeds;
                let work = WorkAmount::of_request(speeds, prefill_tokens, decode_tokens);
                mix::add_work(&mut self.local_work, &model, work);
            }
            ControlEvent::CostUsed {
                workspace, cost, ..
            } => {
                let cost = cost.as_secs_f64();
                self.shares.add_cost(&workspace, cost);
                self.peers.add_cost(&workspace, cost, clock::mono_now());
            }
            ControlEvent::Peer(event) => self.on_peer(event),
            ControlEvent::Stop { done } => self.stop(done),
        }
    }

    pub(crate) fn on_feed(&mut self, feed: FeedEvent) {
        match feed {
            FeedEvent::Config { objects, complete } => self.apply_config(&objects, complete, None),
            FeedEvent::Instances(rows) => {
                let applied = self.membership.apply_list(&rows, clock::mono_now());
                self.list_received |= applied;
            }
            FeedEvent::Platform(reachable) => self.set_platform_reachable(reachable),
            FeedEvent::Engine { target, report } => self.record_poll(&target, report.as_ref()),
            FeedEvent::Orders(objects) => self.apply_orders(&objects, None),
            FeedEvent::Read { tag, result } => {
                let (fleet, now) = (self.membership.fleet().clone(), clock::mono_now());
                let next = self.authority.note_read(&tag, &result, &fleet, now);
                if let Some(action) = next {
                    self.ports.execute(action, &mut self.authority, &fleet);
                }
            }
            FeedEvent::Written {
                tag,
                mark,
                write,
                result,
            } => {
                let now = clock::mono_now();
                self.authority.note_write(&tag, &mark, &write, &result, now);
            }
            FeedEvent::Ordered {
                group,
                target,
                result,
            } => {
                let now = clock::mono_now();
                self.authority.note_answer(&group, &target, &result, now);
            }
            FeedEvent::Changed {
                change,
                result,
                reply,
            } => self.finish_change(&change, result, reply),
        }
    }

    pub(crate) fn apply_orders(&mut self, objects: &[StoredObject], from: Option<&DaemonId>) {
        let now = clock::mono_now();
        let mut updates = Vec::new();
        for stored in objects {
            if self.authority.apply_object(stored, now) {
                updates.push(stored.clone());
            }
        }
        if !updates.is_empty() {
            self.peers.relay(from, &updates);
        }
        self.membership.set_changing(self.authority.changing(now));
    }

    pub(crate) fn on_tick(&mut self, now: MonoTime) {
        self.membership.tick(now);
        self.update_work_and_shares(now);
        self.answer_confirmed_changes(now);
        let fleet = self.membership.fleet().clone();
        let inputs = AuthorityInputs {
            fleet: &fleet,
            config: self.config.view(),
            mix: &self.mix,
        };
        // Until the instance list has been received, the fleet seems to consist of this
        // daemon only.
        if self.list_received && self.config_complete {
            for action in self.authority.tick(inputs, now) {
                self.ports.execute(action, &mut self.authority, &fleet);
            }
        }
        self.membership.set_changing(self.authority.changing(now));
        if self.authority.is_handed_over() {
            for done in self.stop_replies.drain(..) {
                let _ = done.send(());
            }
        }
    }

    pub(crate) fn set_platform_reachable(&mut self, reachable: bool) {
        if self.platform_reachable != reachable {
            log::info!(reachable; "platform reachability changed");
        }
        self.platform_reachable = reachable;
        metrics::gauge!("pistachiowick_platform_reachable").set(f64::from(u8::from(reachable)));
    }

    pub(crate) fn record_poll(
        &mut self,
        target: &TargetId,
        report: Option<&(EngineState, Duration)>,
    ) {
        self.polling.swap_remove(target);
        let now = clock::mono_now();
        self.membership
            .record_call(target, CallSource::Poll, report.is_some(), now);
        if let Some((state, age)) = report {
            self.membership.note_state(target, state, *age, now);
            let taken_at = MonoTime(now.0.saturating_sub(millis(*age)));
            self.authority.note_state(target, state, taken_at);
            if self.authority.manages(target) {
                self.peers.add_engine_state(target, state);
            }
        }
    }

    pub(crate) fn on_poll_tick(&mut self, now: MonoTime) {
        self.poll_engines(now);
        let fleet = self.membership.fleet().clone();
        self.peers.update(&fleet, now);
        self.peers.refute_by_reports(&fleet, now);
        self.peers.sweep_limits(&fleet, now);
        self.peers.send_hint(self.stopping, now);
    }

    // Skips engines whose state another daemon polls and reports in its hints.
    fn poll_engines(&mut self, now: MonoTime) {
        for (target, address) in self.membership.engines_to_poll(now) {
            let reported_by_peer =
                self.peers.is_reported_by_peer(&target, now) && !self.authority.manages(&target);
            if reported_by_peer || !self.polling.insert(target.clone()) {
                continue;
            }
            let engines = self.inputs.engines.clone();
            let feeds = self.feeds.clone();
            tokio::spawn(feeds::poll_engine(engines, target, address, feeds));
        }
    }

    pub(crate) fn stop(&mut self, done: oneshot::Sender<()>) {
        self.stopping = true;
        self.membership.set_stopping();
        self.authority.stop();
        self.stop_replies.push(done);
        self.publish();
    }

    pub(crate) fn publish(&mut self) {
        let changes = self.membership.refresh();
        self.record_state_changes(&changes);
        let next = self.snapshot();
        if !is_same(&self.cell.load(), &next) {
            self.cell.store(Arc::new(next));
        }
    }

    pub(crate) fn record_state_changes(&self, changes: &[StateChange]) {
        for change in changes {
            let before = change.before.map_or("new", UseState::as_str);
            let after = change.after.as_str();
            let reason = format!("{before} -> {after}");
            log::info!(subject = change.subject.as_str(), before, after; "state changed");
            self.inputs
                .journal
                .record(DecisionKind::Membership, &change.subject, reason);
        }
    }

    pub(crate) fn snapshot(&self) -> ControlSnapshot {
        let fleet = self.membership.fleet().clone();
        let live = fleet.daemons.values();
        let live = live.filter(|d| d.state == UseState::Live).count();
        ControlSnapshot {
            fleet,
            config: self.config.view().clone(),
            shares: self.share_view.clone(),
            leases: self.authority.views(clock::mono_now()),
            ready: self.config_complete && self.list_received && !self.stopping,
            platform_reachable: self.platform_reachable,
            stopping: self.stopping,
            live_daemons: live.max(1),
        }
    }
}

fn is_same(old: &ControlSnapshot, new: &ControlSnapshot) -> bool {
    Arc::ptr_eq(&old.fleet, &new.fleet)
        && Arc::ptr_eq(&old.config, &new.config)
        && Arc::ptr_eq(&old.shares, &new.shares)
        && old.leases == new.leases
        && old.ready == new.ready
        && old.platform_reachable == new.platform_reachable
        && old.stopping == new.stopping
}
