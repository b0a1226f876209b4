//! Links between gateway daemons: hints on work and caches, and the configuration
//! for a daemon that the store does not serve.
//!
//! Each daemon opens one link to every other one and sends on it; what it hears
//! comes over the links that the others open. So each direction is judged alone:
//! a sender notices by the acknowledgements, a receiver by silence. No promise
//! rests on what is heard; a daemon cut off decides by what it sees itself.
//!
//! In large fleets one daemon of each data centre is its hub ([`hub`]): the others
//! talk to it only, and hubs talk to each other.

pub mod book;
pub mod entry_broadcasts;
pub mod feeding;
pub mod freshness;
pub mod hub;
pub mod link_queue;
mod links;
pub mod member_broadcasts;
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

pub use crate::gateway::peers::book::PeerTable;

use crate::clock;
use crate::gateway::control::ControlInput;
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::load::WorkByTarget;
use crate::gateway::deciding::stage_plan::WorkRate;
use crate::gateway::members::DaemonRecord;
use crate::gateway::model::PromptPart;
use crate::gateway::peers::hub::{LinkKind, PeerRole};
use crate::gateway::peers::wire::{CachedPartsUpdate, PeerHint, PeerMessage, PeerSummary};
use crate::gateway::registry::EntryUpdate;
use crate::names::{DaemonId, MonoTime};
use crate::target_incarnation::TargetIncarnation;
use crate::timer::TimerService;

/// Time between two looks at the own role, and between two hints that tell nothing new.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Time between two hints of a daemon whose work at targets changed, where each daemon
/// hears each other one. Engines read a prompt in 50 to 400 ms; with hints every 200 ms,
/// one in ten that seemed free had 12,000 tokens waiting, read off a day's log, and
/// daemons took the same one. It costs eight daemons 0.8% of a core each, measured on a
/// calm day. Hubs tell each other of placements instead.
const HINT_EVERY: Duration = Duration::from_millis(40);

/// What goes out at a tick, encoded once for all links.
#[derive(Clone)]
struct OutgoingWord {
    hint: Message,
    centre: Option<Message>,
    fleet: Option<Message>,
}

impl OutgoingWord {
    fn for_link(&self, kind: LinkKind) -> Option<&Message> {
        match kind {
            LinkKind::Hint => Some(&self.hint),
            LinkKind::OtherHub => self.centre.as_ref(),
            LinkKind::Member => self.fleet.as_ref(),
        }
    }
}

/// Runs the links of a daemon until the process ends.
pub async fn run(gateway: Rc<Gateway>, listener: TcpListener, relays: feeding::RelayInbox) {
    spawn_local(links::accept(gateway.clone(), listener));
    spawn_local(feeding::stock_up(gateway.clone(), relays));
    spawn_local(placing::tell_regularly(gateway.clone()));
    let (words, word) = watch::channel(gateway.word(&PeerRole::Mesh));
    let timer = TimerService::start();
    let mut ticks = timer.every(HINT_EVERY);
    let mut looks = timer.every(LOOK_EVERY);
    let mut senders = links::LinkSenders::default();
    let mut role = PeerRole::Mesh;
    loop {
        tokio::select! {
            Some(_) = looks.next() => {
                role = gateway.update_role();
                senders.adjust(&gateway, &role, &word);
            }
            Some(_) = ticks.next() => {
                if role != PeerRole::Mesh || !gateway.has_new_work() {
                    continue;
                }
            }
            else => return,
        }
        words.send_replace(gateway.word(&role));
    }
}

impl Gateway {
    /// Work that all daemons place on engines, as far as heard.
    #[must_use]
    pub fn work_rate(&self) -> WorkRate {
        let now = clock::mono_now();
        let own = self.core.borrow_mut().work.rate(now);
        let others = self.peers.borrow().work_rate(now);
        WorkRate {
            prefill_tokens: own.prefill_tokens + others.prefill_tokens,
            decode_tokens: own.decode_tokens + others.decode_tokens,
        }
    }

    /// Whether no daemon has work on engines, as far as heard.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let rate = self.work_rate();
        rate.prefill_tokens + rate.decode_tokens < 1.0
    }

    /// Place of this daemon in an order that all daemons share; 0 is the first.
    #[must_use]
    pub fn rank(&self) -> usize {
        let view = self.view();
        let own = &self.daemon;
        let before = view.daemons.iter().filter(|d| d.id < *own && !d.leaving);
        before.filter(|d| self.is_usable(&d.id)).count()
    }

    /// Place of this daemon among those that hear the whole fleet; `None` where it does not.
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
        let mut peers = self.peers.borrow_mut();
        PeerHint {
            from: self.daemon.clone(),
            life: self.incarnation,
            leaving: self.stopping.get(),
            config_version: view.routes.as_ref().map_or(0, |routes| routes.version),
            work: work.collect(),
            held: peers.take_held(),
            departed: view.departed.clone(),
            entries: self.entry_notes(role),
            works: self.crashes.borrow_mut().due_reports(clock::mono_now()),
            changing: self.local_stage_changes.borrow().clone(),
            rate,
            placed_through: self.placing.borrow().taken_through(),
            seen: self.seen.take(),
            clock: clock::mono_now(),
            confirms_keys: self.confirms_keys(clock::mono_now()),
            wall: clock::unix_now(),
            usage: self.take_usage_news(),
        }
    }

    // In a fleet with hubs the entries themselves reach each daemon; only ends are told.
    fn entry_notes(&self, role: &PeerRole) -> Vec<EntryUpdate> {
        let view = self.view();
        let mut turns = self.entry_broadcasts.borrow_mut();
        let mut notes = turns.pick(&view.entry_notes, clock::mono_now());
        if *role != PeerRole::Mesh {
            notes.retain(|note| note.value.is_none());
        }
        notes
    }

    // The word of this tick. What engines came to hold goes out once, to whoever
    // this daemon talks to.
    fn word(&self, role: &PeerRole) -> OutgoingWord {
        let hint = self.hint(role);
        let (centre, fleet) = match role {
            PeerRole::Hub => {
                let (from_members, from_hubs) = self.relayed.borrow_mut().take_held();
                let mut held = hint.held.clone();
                held.extend(from_members);
                let mut centre = self.summary(&hint, false, held.clone());
                centre.usage = self.take_centre_usage(&hint);
                held.extend(from_hubs);
                let fleet = self.summary(&hint, true, held);
                (Some(centre), Some(fleet))
            }
            PeerRole::Mesh | PeerRole::Member(_) => (None, None),
        };
        *self.last_sent_work.borrow_mut() = hint.work.iter().cloned().collect();
        OutgoingWord {
            hint: PeerMessage::Hint(hint).encode(),
            centre: centre.map(|summary| PeerMessage::Summary(summary).encode()),
            fleet: fleet.map(|summary| PeerMessage::Summary(summary).encode()),
        }
    }

    fn summary(&self, hint: &PeerHint, whole: bool, held: Vec<CachedPartsUpdate>) -> PeerSummary {
        let now = clock::mono_now();
        let peers = self.peers.borrow();
        let notes = if whole {
            peers.all_notes(now)
        } else {
            peers.direct_notes(now)
        };
        let direct: IndexSet<DaemonId> = notes.iter().map(|note| note.id.clone()).collect();
        let mut members = self.relayed.borrow_mut().turns(whole).pick(notes);
        members.push(hub::own_note(hint));
        let counts = |id: &DaemonId| whole || *id == hint.from || direct.contains(id);
        // What is placed from now on is told after this.
        let placed_through = self.tell_placements();
        let work = self.core.borrow().load.sum_with(counts);
        PeerSummary {
            from: hint.from.clone(),
            life: hint.life,
            whole,
            work: work.into_iter().collect(),
            held,
            departed: hint.departed.clone(),
            entries: hint.entries.clone(),
            works: hint.works.clone(),
            store_age_ms: self.store_age_ms(whole, now),
            rate: if whole { self.work_rate() } else { hint.rate },
            placed_through,
            members,
            true_time: self.fleet_tasks.borrow().clock.at(now),
            usage: Vec::new(),
        }
    }

    fn update_role(&self) -> PeerRole {
        let view = self.view();
        let now = clock::mono_now();
        let mut peers = self.peers.borrow_mut();
        peers.set_known(&self.daemon, &view.daemons, now);
        let known = |id: &DaemonId| view.daemons.iter().any(|d| d.id == *id);
        self.proofs.borrow_mut().retain(known);
        let mut hubs = self.hubs.borrow_mut();
        let role = hubs.role(&self.daemon, &view.daemons, &peers, now);
        let placer = match &role {
            PeerRole::Member(hub) => Some(hub.clone()),
            PeerRole::Hub | PeerRole::Mesh => None,
        };
        self.placing.borrow_mut().set_placer(placer);
        drop(peers);
        drop(hubs);
        self.update_duty(&role, now);
        role
    }

    fn wanted_links(&self, role: &PeerRole) -> Vec<(DaemonRecord, LinkKind)> {
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

    fn take_message(&self, message: PeerMessage) {
        match message {
            PeerMessage::Hint(hint) => self.take_hint(hint),
            PeerMessage::Summary(summary) => self.take_summary(summary),
            PeerMessage::Objects(objects) => self.take_objects(objects),
            PeerMessage::NewLink { from } => {
                self.feed_subscription.borrow_mut().note_new_link(&from);
            }
            PeerMessage::WantStock(question) => self.answer_stock(&question),
            PeerMessage::Stock(answer) => self.take_stock(answer),
            PeerMessage::Place(question) => self.answer_place(&question),
            PeerMessage::Placed(answer) => self.take_place(answer),
            PeerMessage::Placements(notes) => self.take_placements(&notes),
            PeerMessage::Proof(word) => self.take_proof(&word),
            PeerMessage::Config { revision, value } => {
                // The control thread ends only with the process.
                let _ = self
                    .control_inputs
                    .send(ControlInput::PeerConfig { revision, value });
            }
        }
    }

    // The life in a hint stands in the sender's record in the store, which only
    // daemons read: a process that does not know it is not listened to.
    fn take_hint(&self, hint: PeerHint) {
        let view = self.view();
        let known = view
            .daemons
            .iter()
            .any(|d| d.id == hint.from && d.incarnation == hint.life);
        if !known {
            return;
        }
        let now = clock::mono_now();
        let own_version = view.routes.as_ref().map_or(0, |routes| routes.version);
        self.peers.borrow_mut().note_hint(&hint, own_version, now);
        self.proofs
            .borrow_mut()
            .note_clock(&hint.from, hint.life, hint.clock);
        self.take_member_usage(&hint, now);
        self.take_held_notes(&hint.held);
        self.hubs.borrow_mut().note_hint(&hint.from, now);
        self.relayed.borrow_mut().keep_member(&hint.held);
        self.take_departed(&hint.departed);
        self.take_entry_notes(hint.entries);
        self.apply_crash_reports(&hint.works);
        self.take_seen(&hint.seen);
        let work = hint.work.into_iter().collect();
        let load = &mut self.core.borrow_mut().load;
        load.release_reservations(&hint.from, hint.placed_through);
        load.set_peer_work(hint.from, work, now);
    }

    fn take_held_notes(&self, notes: &[CachedPartsUpdate]) {
        let now = clock::mono_now();
        let mut core = self.core.borrow_mut();
        for note in notes {
            let parts: Vec<PromptPart> = note
                .parts
                .iter()
                .map(|(key, tokens)| PromptPart {
                    key: *key,
                    tokens: *tokens,
                })
                .collect();
            core.note_parts(&note.engine, &parts, note.ready, now);
        }
    }

    fn take_departed(&self, departed: &[TargetIncarnation]) {
        let view = self.view();
        for target in departed.iter().filter(|target| view.has_target(target)) {
            self.notify_departed(target);
        }
    }

    fn take_entry_notes(&self, mut notes: Vec<EntryUpdate>) {
        let view = self.view();
        let is_kept = |note: &EntryUpdate| view.entry_notes.iter().any(|kept| kept.update == *note);
        notes.retain(|note| !is_kept(note));
        if !notes.is_empty() {
            // The control thread ends only with the process.
            let _ = self.control_inputs.send(ControlInput::EntryNotes(notes));
        }
    }

    fn take_summary(&self, summary: PeerSummary) {
        let view = self.view();
        let sender = (&summary.from, summary.life);
        let known = view
            .daemons
            .iter()
            .any(|d| (&d.id, d.incarnation) == sender);
        let is_hub = self.hubs.borrow().is_hub();
        // A hub adds up its members itself: the sum for members would count twice.
        if !known || (summary.whole && is_hub) {
            return;
        }
        let now = clock::mono_now();
        let store_age = Duration::from_millis(u64::from(summary.store_age_ms));
        self.hubs
            .borrow_mut()
            .note_store(&summary.from, store_age, now);
        self.take_hub_usage(&summary, now);
        for note in summary.members.iter().filter(|note| note.id != self.daemon) {
            let rate = if note.id == summary.from {
                summary.rate
            } else {
                WorkRate::default()
            };
            let mut peers = self.peers.borrow_mut();
            if note.id == summary.from {
                peers.note_hub(note, rate, now);
            } else {
                peers.note_member(note, rate, now);
            }
        }
        self.take_held_notes(&summary.held);
        if !summary.whole {
            self.relayed.borrow_mut().keep_hub(&summary.held);
        }
        self.take_departed(&summary.departed);
        self.take_entry_notes(summary.entries);
        self.apply_crash_reports(&summary.works);
        let mut work: WorkByTarget = summary.work.into_iter().collect();
        if summary.whole {
            hub::subtract(&mut work, &self.last_sent_work.borrow());
        }
        let load = &mut self.core.borrow_mut().load;
        if !summary.whole {
            load.release_reservations(&summary.from, summary.placed_through);
        }
        load.set_peer_work(summary.from, work, now);
    }
}
