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

pub mod book;
pub mod entry_turns;
pub mod feeding;
pub mod hub;
pub mod link_queue;
mod links;
pub mod note_turns;
pub mod placing;
pub mod proofs;
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

pub use crate::gateway::peers::book::PeerBook;

use crate::clock;
use crate::gateway::control::ControlNews;
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::load::WorkByTarget;
use crate::gateway::deciding::stage_plan::WorkRate;
use crate::gateway::members::DaemonRecord;
use crate::gateway::model::PromptPart;
use crate::gateway::peers::hub::{LinkKind, PeerRole};
use crate::gateway::peers::wire::{HeldNote, PeerHint, PeerMessage, PeerSummary};
use crate::gateway::registry::EntryNote;
use crate::names::{DaemonId, MonoTime};
use crate::target_life::TargetLife;
use crate::timer::TimerService;

/// Time between two updates of this daemon's role, and between two hints without changes.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Time between two hints of a daemon whose work at targets changed, in a fleet without
/// hubs. Engines prefill a prompt in 50 to 400 ms; with hints every 200 ms, one in ten
/// engines that seemed free had 12,000 tokens queued, as several daemons chose it at once.
/// In a fleet of eight, this costs each daemon 0.8% of a core without load. Hubs announce
/// their placements to each other instead.
const HINT_EVERY: Duration = Duration::from_millis(40);

/// Messages of one broadcast interval, encoded once for all links.
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
    /// Returns the rate of work that all daemons place on engines, as far as known here.
    #[must_use]
    pub fn work_rate(&self) -> WorkRate {
        let now = clock::mono_now();
        let own = self.core.borrow_mut().work.rate(now);
        let others = self.peers.borrow().work_rate(now);
        WorkRate {
            read_tokens: own.read_tokens + others.read_tokens,
            written_tokens: own.written_tokens + others.written_tokens,
        }
    }

    /// Whether no daemon places work on engines, as far as known here.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let rate = self.work_rate();
        rate.read_tokens + rate.written_tokens < 1.0
    }

    /// Returns the rank of this daemon among those that are reachable, by name; 0 is the first.
    #[must_use]
    pub fn rank(&self) -> usize {
        let view = self.view();
        let own = &self.daemon;
        let before = view.daemons.iter().filter(|d| d.id < *own && !d.leaving);
        before.filter(|d| self.is_usable(&d.id)).count()
    }

    /// Returns the rank of this daemon among those that receive the state of the whole
    /// fleet; `None` if it does not.
    #[must_use]
    pub fn speaker_rank(&self, now: MonoTime) -> Option<usize> {
        let view = self.view();
        let peers = self.peers.borrow();
        let hubs = self.hubs.borrow();
        hubs.speaker_rank(&self.daemon, &view.daemons, &peers, now)
    }

    fn has_new_work(&self) -> bool {
        *self.core.borrow().load.own() != *self.last_hint_work.borrow()
    }

    fn hint(&self, role: &PeerRole) -> PeerHint {
        let view = self.view();
        let mut core = self.core.borrow_mut();
        let rate = core.work.rate(clock::mono_now());
        let work = core.load.own().iter().map(|(id, work)| (id.clone(), *work));
        let mut peers = self.peers.borrow_mut();
        PeerHint {
            from: self.daemon.clone(),
            life: self.life,
            leaving: self.stopping.get(),
            config_version: view.routes.as_ref().map_or(0, |routes| routes.version),
            work: work.collect(),
            held: peers.take_held(),
            departed: view.departed.clone(),
            entries: self.entry_notes(role),
            works: self.crashes.borrow_mut().pick(clock::mono_now()),
            changing: self.own_changing.borrow().clone(),
            rate,
            placed_through: self.placing.borrow().taken_through(),
            seen: self.seen.take(),
            clock: clock::mono_now(),
            confirms_keys: self.confirms_keys(clock::mono_now()),
            wall: clock::unix_now(),
            usage: self.take_usage_news(),
        }
    }

    // In a fleet with hubs the entries themselves are relayed to each daemon, so only
    // removals are sent.
    fn entry_notes(&self, role: &PeerRole) -> Vec<EntryNote> {
        let view = self.view();
        let mut turns = self.entry_turns.borrow_mut();
        let mut notes = turns.pick(&view.entry_notes, clock::mono_now());
        if *role != PeerRole::Mesh {
            notes.retain(|note| note.value.is_none());
        }
        notes
    }

    // Builds the messages of this interval. Newly cached parts are sent once, to all daemons
    // that this one has a link to.
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
        *self.last_hint_work.borrow_mut() = hint.work.iter().cloned().collect();
        OutgoingWord {
            hint: PeerMessage::Hint(hint).encode(),
            centre: centre.map(|summary| PeerMessage::Summary(summary).encode()),
            fleet: fleet.map(|summary| PeerMessage::Summary(summary).encode()),
        }
    }

    fn summary(&self, hint: &PeerHint, whole: bool, held: Vec<HeldNote>) -> PeerSummary {
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
        // Placements made from now on get a higher number than this summary contains.
        let placed_through = self.tell_placements();
        let work = self.core.borrow().load.summed(counts);
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
            true_time: self.duties.borrow().clock.at(now),
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
            PeerMessage::NewLink { from } => self.joins.borrow_mut().note_new_link(&from),
            PeerMessage::WantStock(question) => self.answer_stock(&question),
            PeerMessage::Stock(answer) => self.take_stock(answer),
            PeerMessage::Place(question) => self.answer_place(&question),
            PeerMessage::Placed(answer) => self.take_place(answer),
            PeerMessage::Placements(notes) => self.take_placements(&notes),
            PeerMessage::Proof(word) => self.take_proof(&word),
            PeerMessage::Config { revision, value } => {
                // The control thread runs until the process ends.
                let _ = self.news.send(ControlNews::PeerConfig { revision, value });
            }
        }
    }

    // The incarnation in a hint has to match the sender's record in the store, which only
    // daemons can read; messages of any other process are ignored.
    fn take_hint(&self, hint: PeerHint) {
        let view = self.view();
        let known = view
            .daemons
            .iter()
            .any(|d| d.id == hint.from && d.life == hint.life);
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
        self.take_work_notes(&hint.works);
        self.take_seen(&hint.seen);
        let work = hint.work.into_iter().collect();
        let load = &mut self.core.borrow_mut().load;
        load.settle_promises(&hint.from, hint.placed_through);
        load.set_other(hint.from, work, now);
    }

    fn take_held_notes(&self, notes: &[HeldNote]) {
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

    fn take_departed(&self, departed: &[TargetLife]) {
        let view = self.view();
        for target in departed.iter().filter(|target| view.holds(target)) {
            self.tell_departed(target);
        }
    }

    fn take_entry_notes(&self, mut notes: Vec<EntryNote>) {
        let view = self.view();
        let is_kept = |note: &EntryNote| view.entry_notes.iter().any(|kept| kept.note == *note);
        notes.retain(|note| !is_kept(note));
        if !notes.is_empty() {
            // The control thread runs until the process ends.
            let _ = self.news.send(ControlNews::EntryNotes(notes));
        }
    }

    fn take_summary(&self, summary: PeerSummary) {
        let view = self.view();
        let sender = (&summary.from, summary.life);
        let known = view.daemons.iter().any(|d| (&d.id, d.life) == sender);
        let is_hub = self.hubs.borrow().is_hub();
        // A hub sums up its members itself; a summary for members would count them twice.
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
        self.take_work_notes(&summary.works);
        let mut work: WorkByTarget = summary.work.into_iter().collect();
        if summary.whole {
            hub::subtract(&mut work, &self.last_hint_work.borrow());
        }
        let load = &mut self.core.borrow_mut().load;
        if !summary.whole {
            load.settle_promises(&summary.from, summary.placed_through);
        }
        load.set_other(summary.from, work, now);
    }
}
