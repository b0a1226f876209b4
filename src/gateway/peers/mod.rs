//! Links between gateway daemons: hints about load and KV caches, and the configuration
//! for a daemon that cannot read it from the store.
//!
//! Each daemon opens one link to every other daemon, on which it only sends; it receives
//! over the links that the others open. The two directions therefore fail independently:
//! a sender detects a failure by missing acknowledgements, a receiver by silence. No
//! guarantee depends on these messages; a daemon that is cut off decides by local state.
//!
//! In large fleets one daemon of each data centre is its hub ([`hub`]): the others
//! exchange messages with their hub only, and hubs with each other.

pub mod entry_broadcasts;
pub mod feeding;
pub mod freshness;
pub mod hub;
pub mod link_queue;
mod links;
pub mod member_broadcasts;
pub mod peer_table;
pub mod placing;
pub mod seen;
mod usage;
pub mod wire;

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio_tungstenite::tungstenite::Message;

pub use crate::gateway::peers::peer_table::PeerTable;

use crate::clock;
use crate::gateway::control::ControlInput;
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::load::WorkByTarget;
use crate::gateway::deciding::stage_plan::WorkRate;
use crate::gateway::members::DaemonRecord;
use crate::gateway::model::PromptPart;
use crate::gateway::peers::hub::{LinkKind, PeerRole};
use crate::gateway::peers::wire::{CachedPartsUpdate, PeerHint, PeerMessage, PeerSummary};
use crate::gateway::registry::DepartureSource;
use crate::gateway::registry::EntryUpdate;
use crate::names::{DaemonId, MonoTime};
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::message_delays::ReportSender;
use crate::timer::TimerService;

/// Time between two updates of this daemon's role, and between two hints without changes.
const ROLE_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two hints of a daemon whose work at targets changed, in a fleet without
/// hubs. Engines prefill a prompt in 50 to 400 ms; with hints every 200 ms, one in ten
/// engines that seemed free had 12,000 tokens queued, as several daemons chose it at once.
/// In a fleet of eight, this costs each daemon 0.8% of a core without load. Hubs announce
/// their placements to each other instead.
const HINT_INTERVAL: Duration = Duration::from_millis(40);

/// Messages of one broadcast interval, encoded once for all links.
#[derive(Clone)]
struct OutgoingStatus {
    hint: Message,
    // Summary of the local data centre, for other hubs.
    centre: Option<Message>,
    // Summary of the whole fleet, for members.
    fleet: Option<Message>,
}

impl OutgoingStatus {
    fn for_link(&self, kind: LinkKind) -> Option<&Message> {
        match kind {
            LinkKind::Hint => Some(&self.hint),
            LinkKind::OtherHub => self.centre.as_ref(),
            LinkKind::Member => self.fleet.as_ref(),
        }
    }
}

/// Runs the links of a daemon until the process ends.
pub async fn run(gateway: Rc<Gateway>, listener: TcpListener, relays: feeding::RelayReceiver) {
    spawn_local(links::accept(gateway.clone(), listener));
    spawn_local(feeding::maintain_snapshot(gateway.clone(), relays));
    spawn_local(placing::announce_regularly(gateway.clone()));
    let (status_sender, outgoing_status) = watch::channel(gateway.outgoing_status(&PeerRole::Mesh));
    let timer = TimerService::start();
    let mut hint_ticks = timer.every(HINT_INTERVAL);
    let mut role_ticks = timer.every(ROLE_INTERVAL);
    let mut senders = links::LinkSenders::default();
    let mut role = PeerRole::Mesh;
    loop {
        tokio::select! {
            Some(_) = role_ticks.next() => {
                role = gateway.update_role();
                senders.adjust(&gateway, &role, &outgoing_status);
            }
            Some(_) = hint_ticks.next() => {
                if role == PeerRole::Hub {
                    gateway.send_usage_copies();
                }
                let is_new = role == PeerRole::Mesh && gateway.has_new_work();
                if !is_new && !gateway.has_new_limits() {
                    continue;
                }
            }
            else => return,
        }
        status_sender.send_replace(gateway.outgoing_status(&role));
    }
}

impl Gateway {
    /// Returns the rate of work that all daemons place on engines, as far as known here.
    #[must_use]
    pub fn work_rate(&self) -> WorkRate {
        let now = clock::mono_now();
        let mut rate = self.core.borrow_mut().work.rate(now);
        rate.add(&self.peers.borrow().work_rate(now));
        rate
    }

    /// Whether no daemon places work on engines, as far as known here.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let rate = self.work_rate();
        rate.prefill_tokens + rate.decode_tokens < 1.0
    }

    /// Returns the rank of this daemon among those that are reachable, by name; 0 is the first.
    #[must_use]
    pub fn rank(&self) -> usize {
        let view = self.view();
        let local = &self.daemon;
        let before = view.daemons.iter().filter(|d| d.id < *local && !d.leaving);
        before.filter(|d| self.is_usable(&d.id)).count()
    }

    /// Returns the rank of this daemon among those that receive the state of the whole
    /// fleet; `None` if it does not.
    #[must_use]
    pub fn full_view_rank(&self, now: MonoTime) -> Option<usize> {
        let view = self.view();
        let peers = self.peers.borrow();
        let hubs = self.hubs.borrow();
        hubs.full_view_rank(&self.daemon, &view.daemons, &peers, now)
    }

    fn has_new_work(&self) -> bool {
        *self.core.borrow().load.local() != *self.last_sent_work.borrow()
    }

    fn hint(&self, role: &PeerRole) -> PeerHint {
        let view = self.view();
        let mut core = self.core.borrow_mut();
        let rate = core.work.rate(clock::mono_now());
        let work = core
            .load
            .local()
            .iter()
            .map(|(id, work)| (id.clone(), *work));
        let kept_usage = self.take_usage_offers(role);
        let mut peers = self.peers.borrow_mut();
        let reports = self.due_crash_reports();
        PeerHint {
            from: self.daemon.clone(),
            incarnation: self.incarnation,
            leaving: self.stopping.get(),
            config_version: view.routes.as_ref().map_or(0, |routes| routes.version),
            work: work.collect(),
            cached_parts: peers.take_cached_updates(),
            departed: view.departed.clone(),
            entries: self.due_entries(role),
            work_reports: reports.works,
            part_reports: reports.parts,
            limits: self.due_limits(),
            changing: self.local_stage_changes.borrow().clone(),
            rate,
            placed_through: self.placement_client.borrow().used_through(),
            observed: self.observed_results.take(),
            clock: clock::mono_now(),
            confirms_keys: self.confirms_keys(clock::mono_now()),
            unreachable: self.unreachable_services(),
            wall_clock: clock::unix_now(),
            usage: self.take_usage_updates(),
            kept_usage,
            usage_complete_to: self.usage_sent_to(),
        }
    }

    // In a fleet with hubs the entries themselves are relayed to each daemon, so only
    // removals are sent.
    fn due_entries(&self, role: &PeerRole) -> Vec<EntryUpdate> {
        let view = self.view();
        let mut broadcasts = self.entry_broadcasts.borrow_mut();
        let mut changes = broadcasts.due_changes(&view.entry_updates, clock::mono_now());
        if *role != PeerRole::Mesh {
            changes.retain(|change| change.value.is_none());
        }
        changes
    }

    // Builds the messages of this interval. Newly cached parts are in the messages of one
    // interval only, which go to all daemons that this one has a link to.
    fn outgoing_status(&self, role: &PeerRole) -> OutgoingStatus {
        let hint = self.hint(role);
        let (centre, fleet) = match role {
            PeerRole::Hub => {
                let (from_members, from_hubs) = self.relay_queue.borrow_mut().take_cached_updates();
                let mut cached_parts = hint.cached_parts.clone();
                cached_parts.extend(from_members);
                let mut centre = self.summary(&hint, false, cached_parts.clone());
                centre.usage = self.take_centre_usage(&hint);
                cached_parts.extend(from_hubs);
                let fleet = self.summary(&hint, true, cached_parts);
                self.copy_usage(&hint);
                (Some(centre), Some(fleet))
            }
            PeerRole::Mesh | PeerRole::Member(_) => {
                self.drop_relayed_usage();
                (None, None)
            }
        };
        *self.last_sent_work.borrow_mut() = hint.work.iter().cloned().collect();
        OutgoingStatus {
            hint: PeerMessage::Hint(hint).encode(),
            centre: centre.map(|summary| PeerMessage::Summary(summary).encode()),
            fleet: fleet.map(|summary| PeerMessage::Summary(summary).encode()),
        }
    }

    fn summary(
        &self,
        hint: &PeerHint,
        whole_fleet: bool,
        cached_parts: Vec<CachedPartsUpdate>,
    ) -> PeerSummary {
        let now = clock::mono_now();
        let peers = self.peers.borrow();
        let status = if whole_fleet {
            peers.all_status(now)
        } else {
            peers.direct_status(now)
        };
        let direct: IndexSet<DaemonId> = status.iter().map(|member| member.id.clone()).collect();
        let mut members = self
            .relay_queue
            .borrow_mut()
            .broadcasts(whole_fleet)
            .due_members(status);
        members.push(hub::local_status(hint));
        let is_covered = |id: &DaemonId| whole_fleet || *id == hint.from || direct.contains(id);
        // Placements made from now on get a higher number than this summary contains.
        let placed_through = self.announce_placements();
        let work = self.core.borrow().load.sum_with(is_covered);
        let rate = if whole_fleet {
            self.work_rate()
        } else {
            let mut rate = hint.rate.clone();
            peers.add_direct_times(&mut rate, now);
            rate
        };
        PeerSummary {
            from: hint.from.clone(),
            incarnation: hint.incarnation,
            whole_fleet,
            work: work.into_iter().collect(),
            cached_parts,
            departed: hint.departed.clone(),
            entries: hint.entries.clone(),
            work_reports: hint.work_reports.clone(),
            part_reports: hint.part_reports.clone(),
            limits: hint.limits.clone(),
            clock: hint.clock,
            store_age_ms: self.store_age_ms(whole_fleet, now),
            rate,
            placed_through,
            members,
            fleet_time: self.fleet_tasks.borrow().clock.at(now),
            usage: Vec::new(),
            usage_complete_to: hint.usage_complete_to,
        }
    }

    fn update_role(&self) -> PeerRole {
        let view = self.view();
        let now = clock::mono_now();
        let mut peers = self.peers.borrow_mut();
        peers.set_known(&self.daemon, &view.daemons, now);
        let known = |id: &DaemonId| view.daemons.iter().any(|d| d.id == *id);
        self.freshness.borrow_mut().retain(known);
        let mut hubs = self.hubs.borrow_mut();
        let role = hubs.role(&self.daemon, &view.daemons, &peers, now);
        let placement_hub = match &role {
            PeerRole::Member(hub) => Some(hub.clone()),
            PeerRole::Hub | PeerRole::Mesh => None,
        };
        self.placement_client
            .borrow_mut()
            .set_placement_hub(placement_hub);
        drop(peers);
        drop(hubs);
        self.update_watch_mode(&role, now);
        role
    }

    fn needed_links(&self, role: &PeerRole) -> Vec<(DaemonRecord, LinkKind)> {
        let view = self.view();
        self.hubs.borrow().links(role, &self.daemon, &view.daemons)
    }

    fn config_for(&self, daemon: &DaemonId, sent: u64) -> Option<(u64, PeerMessage)> {
        let view = self.view();
        let version = view.routes.as_ref()?.version;
        let now = clock::mono_now();
        let behind = self.peers.borrow().needs_config(daemon, version, now);
        let (revision, value) = view.config_source.as_ref().filter(|_| behind)?;
        (version > sent).then(|| {
            let message = PeerMessage::Config {
                revision: *revision,
                value: value.to_vec(),
            };
            (version, message)
        })
    }

    fn handle_message(&self, message: PeerMessage) {
        match message {
            PeerMessage::Hint(hint) => self.handle_hint(hint),
            PeerMessage::Summary(summary) => self.handle_summary(summary),
            PeerMessage::Objects(objects) => self.handle_objects(objects),
            PeerMessage::NewLink { from } => {
                self.feed_subscription.borrow_mut().handle_new_link(&from);
            }
            PeerMessage::SnapshotRequest(request) => self.answer_snapshot_request(&request),
            PeerMessage::SnapshotResponse(response) => self.apply_snapshot(response),
            PeerMessage::PlacementRequest(request) => self.answer_placement_request(&request),
            PeerMessage::PlacementResponse(response) => self.handle_placement_response(response),
            PeerMessage::Placements(batch) => self.apply_placements(&batch),
            PeerMessage::Freshness(update) => self.apply_freshness(&update),
            PeerMessage::Usage(copies) => self.apply_usage_copies(copies),
            PeerMessage::Config { revision, value } => {
                // The control thread runs until the process ends.
                let _ = self
                    .control_inputs
                    .send(ControlInput::PeerConfig { revision, value });
            }
        }
    }

    // The incarnation in a hint has to match the sender's record in the store, which only
    // daemons can read; messages of any other process are ignored.
    fn handle_hint(&self, hint: PeerHint) {
        let view = self.view();
        let known = view
            .daemons
            .iter()
            .any(|d| d.id == hint.from && d.incarnation == hint.incarnation);
        if !known {
            return;
        }
        let now = clock::mono_now();
        let local_version = view.routes.as_ref().map_or(0, |routes| routes.version);
        self.peers
            .borrow_mut()
            .record_hint(&hint, local_version, now);
        self.freshness
            .borrow_mut()
            .record_clock(&hint.from, hint.incarnation, hint.clock);
        self.apply_member_usage(&hint, now);
        self.apply_cached_updates(&hint.cached_parts);
        self.hubs.borrow_mut().record_hint(&hint.from, now);
        self.relay_queue
            .borrow_mut()
            .queue_from_member(&hint.cached_parts);
        self.apply_departures(&hint.departed, &hint.from);
        self.apply_entry_changes(hint.entries);
        self.apply_crash_reports(&hint.work_reports, &hint.part_reports);
        let sender = ReportSender {
            daemon: &hint.from,
            incarnation: hint.incarnation,
            clock: hint.clock,
        };
        self.apply_limits(sender, &hint.limits);
        self.apply_results(&hint.observed);
        let work = hint.work.into_iter().collect();
        let load = &mut self.core.borrow_mut().load;
        load.release_reservations(&hint.from, hint.placed_through);
        load.set_peer_work(hint.from, work, now);
    }

    fn apply_cached_updates(&self, updates: &[CachedPartsUpdate]) {
        let now = clock::mono_now();
        let mut core = self.core.borrow_mut();
        for update in updates {
            let parts: Vec<PromptPart> = update
                .parts
                .iter()
                .map(|(key, tokens)| PromptPart {
                    key: *key,
                    tokens: *tokens,
                })
                .collect();
            core.note_parts(&update.engine, &parts, update.ready, now);
        }
    }

    fn apply_departures(&self, departed: &[TargetIncarnation], from: &DaemonId) {
        let view = self.view();
        for target in departed.iter().filter(|target| view.has_target(target)) {
            self.notify_departed(target, DepartureSource::Peer(from.clone()));
        }
    }

    fn apply_entry_changes(&self, mut changes: Vec<EntryUpdate>) {
        let view = self.view();
        let is_kept =
            |change: &EntryUpdate| view.entry_updates.iter().any(|kept| kept.update == *change);
        changes.retain(|change| !is_kept(change));
        if !changes.is_empty() {
            // The control thread runs until the process ends.
            let _ = self
                .control_inputs
                .send(ControlInput::EntryUpdates(changes));
        }
    }

    fn handle_summary(&self, summary: PeerSummary) {
        let view = self.view();
        let sender = (&summary.from, summary.incarnation);
        let known = view
            .daemons
            .iter()
            .any(|d| (&d.id, d.incarnation) == sender);
        let is_hub = self.hubs.borrow().is_hub();
        // A hub sums up its members itself; a summary for members would count them twice.
        if !known || (summary.whole_fleet && is_hub) {
            return;
        }
        let now = clock::mono_now();
        let store_age = Duration::from_millis(u64::from(summary.store_age_ms));
        self.hubs
            .borrow_mut()
            .record_store_age(&summary.from, store_age, now);
        self.apply_hub_usage(&summary, now);
        for status in summary
            .members
            .iter()
            .filter(|status| status.id != self.daemon)
        {
            let rate = if status.id == summary.from {
                summary.rate.clone()
            } else {
                WorkRate::default()
            };
            let mut peers = self.peers.borrow_mut();
            if status.id == summary.from {
                peers.record_hub(status, rate, now);
            } else {
                peers.record_member(status, rate, now);
            }
        }
        self.apply_cached_updates(&summary.cached_parts);
        if !summary.whole_fleet {
            self.relay_queue
                .borrow_mut()
                .queue_from_hub(&summary.cached_parts);
        }
        self.apply_departures(&summary.departed, &summary.from);
        self.apply_entry_changes(summary.entries);
        self.apply_crash_reports(&summary.work_reports, &summary.part_reports);
        let sender = ReportSender {
            daemon: &summary.from,
            incarnation: summary.incarnation,
            clock: summary.clock,
        };
        self.apply_limits(sender, &summary.limits);
        let mut work: WorkByTarget = summary.work.into_iter().collect();
        let load = &mut self.core.borrow_mut().load;
        if summary.whole_fleet {
            hub::subtract(&mut work, &self.last_sent_work.borrow());
            load.set_fleet_work(summary.from, work, now);
        } else {
            load.release_reservations(&summary.from, summary.placed_through);
            load.set_peer_work(summary.from, work, now);
        }
    }
}
