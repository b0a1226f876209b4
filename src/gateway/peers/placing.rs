//! One daemon of a data centre chooses the engines for the requests of all its daemons.
//!
//! Daemons that choose engines independently, by hints, make the same choice: in the
//! hundreds of milliseconds until they learn of each other's choices, they all select the
//! engine that looked free. The hub knows every choice at once, because it makes them; a
//! placement request costs one round trip within the data centre. A daemon whose hub does
//! not respond in time chooses by itself, so only the time to the first token depends on it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tokio_tungstenite::tungstenite::Message;

use crate::clock;
use crate::gateway::call::{RoutedCall, SendTrail};
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::engine_choice::EnginePlace;
use crate::gateway::deciding::{EngineChoices, PlaceOrder};
use crate::gateway::model::{PromptPart, PromptShape, TargetRecord};
use crate::gateway::peers::wire::{
    PeerMessage, PlaceAnswer, PlaceQuestion, PlacedEngines, PlacementNote, PlacementNotes,
};
use crate::names::{DaemonId, MonoTime};
use crate::target_life::TargetLife;

/// Time limit for a placement response. A round trip takes 1 to 3 ms; a choice without the
/// hub costs a request 100 ms and more, and waiting longer than that gains nothing.
const ANSWER_WAIT: Duration = Duration::from_millis(40);
/// Time for which a daemon that did not respond gets no placement requests.
const NOT_ASKED: Duration = Duration::from_millis(1_000);

/// Receives the response to a placement request.
pub type PlaceWait = oneshot::Receiver<Option<PlacedEngines>>;

/// Delay within which a hub announces its placements to the other hubs. The sums of work
/// that hubs exchange are some hundred milliseconds old when they are used, about as long
/// as the prefill of a request takes.
const NOTE_EVERY: Duration = Duration::from_millis(40);
/// Most placements that wait to be announced; without other hubs there is no receiver.
const MOST_NOTES: usize = 1_024;

/// Placements of a hub that it has not announced to the other hubs yet.
#[derive(Debug, Default)]
pub struct PlacementLog {
    pending: Vec<PlacementNote>,
    last_number: u64,
}

impl PlacementLog {
    fn note(&mut self, note: PlacementNote) {
        if self.pending.len() < MOST_NOTES {
            self.pending.push(note);
        }
    }

    fn take(&mut self) -> Option<(u64, Vec<PlacementNote>)> {
        if self.pending.is_empty() {
            return None;
        }
        self.last_number += 1;
        Some((self.last_number, std::mem::take(&mut self.pending)))
    }
}

/// Sends placement requests to another daemon and matches the responses.
#[derive(Debug, Default)]
pub struct PlacingDesk {
    // Daemon that chooses for this one; `None` if this one chooses by itself.
    placer: Option<DaemonId>,
    links: IndexMap<DaemonId, mpsc::UnboundedSender<Message>>,
    last_number: u64,
    taken_through: u64,
    waiting: IndexMap<u64, oneshot::Sender<Option<PlacedEngines>>>,
    not_before: Option<MonoTime>,
}

impl PlacingDesk {
    /// Sets the daemon that placement requests are sent to.
    pub fn set_placer(&mut self, placer: Option<DaemonId>) {
        if self.placer != placer {
            self.placer = placer;
            self.not_before = None;
        }
    }

    /// Whether placement requests are sent to another daemon.
    #[must_use]
    pub fn has_placer(&self) -> bool {
        self.placer.is_some()
    }

    /// Opens a queue of messages that a link sends between its status messages.
    pub fn open_link(&mut self, daemon: &DaemonId) -> mpsc::UnboundedReceiver<Message> {
        let (sender, queue) = mpsc::unbounded_channel();
        self.links.insert(daemon.clone(), sender);
        queue
    }

    /// Returns the number of the last placement request whose response was used; the
    /// resulting work is included in this daemon's hints from now on.
    #[must_use]
    pub fn taken_through(&self) -> u64 {
        self.taken_through
    }

    fn send_to(&self, daemons: &[DaemonId], message: &PeerMessage) {
        let encoded = message.encode();
        for link in daemons.iter().filter_map(|daemon| self.links.get(daemon)) {
            // A closed link is reopened with a new queue.
            let _ = link.send(encoded.clone());
        }
    }

    /// Sends a message between the status messages; returns false if no link is up.
    pub fn send(&self, to: &DaemonId, message: &PeerMessage) -> bool {
        let link = self.links.get(to);
        link.is_some_and(|link| link.send(message.encode()).is_ok())
    }

    /// Sends a placement request and returns its number and the receiver of the response;
    /// `None` if no other daemon chooses for this one, or it cannot be asked now.
    pub fn ask(&mut self, question: PlaceQuestion, now: MonoTime) -> Option<(u64, PlaceWait)> {
        let placer = self.placer.clone()?;
        if self.not_before.is_some_and(|until| now < until) {
            return None;
        }
        let number = self.last_number + 1;
        let question = PlaceQuestion { number, ..question };
        if !self.send(&placer, &PeerMessage::Place(question)) {
            return None;
        }
        self.last_number = number;
        let (answer, waits) = oneshot::channel();
        self.waiting.insert(number, answer);
        Some((number, waits))
    }

    /// Passes a response to the request that waits for it.
    pub fn take_answer(&mut self, answer: PlaceAnswer) {
        if let Some(waiting) = self.waiting.swap_remove(&answer.number) {
            // The request may have stopped waiting in the meantime.
            let _ = waiting.send(answer.engines);
        }
    }

    /// Records that the response to a placement request was used.
    pub fn note_taken(&mut self, number: u64) {
        self.taken_through = self.taken_through.max(number);
    }

    /// Records that a placement request had no response in time.
    pub fn note_silence(&mut self, number: u64, now: MonoTime) {
        self.waiting.swap_remove(&number);
        self.not_before = Some(now.plus(NOT_ASKED));
    }
}

impl Gateway {
    /// Chooses the engines for a request: asks the hub, and chooses locally if it does not
    /// respond or returns no engines that are known here.
    pub async fn place_by_fleet(
        &self,
        call: &RoutedCall,
        trail: &SendTrail,
    ) -> Option<EnginePlace> {
        match self.ask_placer(call, trail).await {
            Some(place) => Some(place),
            None => self.place_alone(call, trail),
        }
    }

    fn place_alone(&self, call: &RoutedCall, trail: &SendTrail) -> Option<EnginePlace> {
        let place = self.place(call, trail)?;
        if let Some(prompt) = &call.caller.prompt {
            self.note_placement(prompt, &place);
        }
        Some(place)
    }

    async fn ask_placer(&self, call: &RoutedCall, trail: &SendTrail) -> Option<EnginePlace> {
        let now = clock::mono_now();
        let question = self.question(call, trail);
        let (number, answer) = self.placing.borrow_mut().ask(question, now)?;
        let answer = timeout(ANSWER_WAIT, answer).await;
        let mut placing = self.placing.borrow_mut();
        let Ok(Ok(engines)) = answer else {
            placing.note_silence(number, clock::mono_now());
            metrics::counter!("pistachiowick_place_questions_total", "outcome" => "silence")
                .increment(1);
            return None;
        };
        placing.note_taken(number);
        metrics::counter!("pistachiowick_place_questions_total", "outcome" => "answered")
            .increment(1);
        self.resolve(call, &engines?)
    }

    fn question(&self, call: &RoutedCall, trail: &SendTrail) -> PlaceQuestion {
        let prompt = call.caller.prompt.clone().unwrap_or_default();
        let now = clock::mono_now();
        let core = self.core.borrow();
        let engines = call.view.of_service(&call.service.name).iter();
        let avoided = engines.filter(|e| trail.has(&e.id) || core.health.view(&e.id, now).avoided);
        PlaceQuestion {
            from: self.daemon.clone(),
            life: self.life,
            number: 0,
            service: call.service.name.clone(),
            avoided: avoided.map(|engine| engine.id.clone()).collect(),
            prompt_tokens: prompt.prompt_tokens,
            output_tokens: prompt.output_tokens,
            parts: prompt.parts.iter().map(|p| (p.key, p.tokens)).collect(),
            urgency: call.route.urgency,
            objective_left_ms: u32::try_from(call.objective_left().as_millis()).unwrap_or(u32::MAX),
        }
    }

    // A response is valid only with engines that this daemon knows for the request's own
    // route, as the other daemon may run another configuration.
    fn resolve(&self, call: &RoutedCall, engines: &PlacedEngines) -> Option<EnginePlace> {
        let newest = self.view();
        let known = call.view.of_service(&call.service.name);
        let find = |id: &TargetLife| -> Option<Arc<TargetRecord>> {
            let found = known.iter().find(|engine| engine.id == *id)?;
            newest.holds(id).then(|| found.clone())
        };
        let reader = match &engines.reader {
            Some(id) => Some(find(id)?),
            None => None,
        };
        Some(EnginePlace {
            reader,
            writer: find(&engines.writer)?,
            fetch_from: engines.fetch_from.as_ref().and_then(find),
            rank: engines.rank,
            expected_ms: engines.expected_ms,
            own_ms: engines.own_ms,
            unread_tokens: engines.unread_tokens,
            reread_tokens: engines.reread_tokens,
            waiting_tokens: engines.waiting_tokens,
            gives_way: engines.gives_way,
        })
    }

    /// Answers a placement request of another daemon.
    pub fn answer_place(&self, question: &PlaceQuestion) {
        let view = self.view();
        let asker = (&question.from, question.life);
        if !view.daemons.iter().any(|d| (&d.id, d.life) == asker) {
            return;
        }
        let prompt = PromptShape {
            model: String::new(),
            prompt_tokens: question.prompt_tokens,
            output_tokens: question.output_tokens,
            parts: parts_of(&question.parts),
        };
        let order = PlaceOrder {
            choices: EngineChoices {
                engines: view.of_service(&question.service),
                changing: &self.changing(),
                excluded: &question.avoided,
            },
            prompt: &prompt,
            urgency: question.urgency,
            objective_left: Duration::from_millis(u64::from(question.objective_left_ms)),
        };
        let place = self.core.borrow().place(&order, clock::mono_now());
        if let Some(place) = &place {
            self.count_place(question, &prompt, place);
            self.note_placement(&prompt, place);
        }
        let answer = PeerMessage::Placed(PlaceAnswer {
            number: question.number,
            engines: place.map(|place| PlacedEngines::from(&place)),
        });
        // A requester whose link is not up yet chooses by itself.
        self.placing.borrow().send(&question.from, &answer);
    }

    /// Queues a placement of this daemon for the other hubs, if it is a hub.
    pub fn note_placement(&self, prompt: &PromptShape, place: &EnginePlace) {
        if !self.hubs.borrow().is_hub() {
            return;
        }
        let reader = place.reader.as_ref().unwrap_or(&place.writer);
        let writer = place.reader.as_ref().map(|_| place.writer.id.clone());
        self.placements.borrow_mut().note(PlacementNote {
            reader: reader.id.clone(),
            writer,
            rank: place.rank,
            unread_tokens: place.unread_tokens,
            parts: prompt.parts.iter().map(|p| (p.key, p.tokens)).collect(),
        });
        self.placed.notify_one();
    }

    /// Announces the queued placements to the other hubs; returns the number of the last
    /// batch that was sent.
    pub fn tell_placements(&self) -> u64 {
        let mut log = self.placements.borrow_mut();
        if let Some((number, placed)) = log.take() {
            let notes = PeerMessage::Placements(PlacementNotes {
                from: self.daemon.clone(),
                life: self.life,
                number,
                placed,
            });
            let hubs = self.other_hubs.borrow();
            self.placing.borrow().send_to(&hubs, &notes);
        }
        log.last_number
    }

    /// Applies the placements of another hub.
    pub fn take_placements(&self, notes: &PlacementNotes) {
        let view = self.view();
        let sender = (&notes.from, notes.life);
        if !view.daemons.iter().any(|d| (&d.id, d.life) == sender) {
            return;
        }
        let now = clock::mono_now();
        let mut core = self.core.borrow_mut();
        let numbered = (&notes.from, notes.number);
        for note in &notes.placed {
            core.load
                .promise(numbered, &note.reader, (note.rank, note.unread_tokens), now);
            if let Some(writer) = &note.writer {
                core.load.promise(numbered, writer, (note.rank, 0), now);
            }
            core.note_parts(&note.reader, &parts_of(&note.parts), false, now);
        }
    }

    // Counts a placement before the requester's hint reports it, for the choices until then.
    fn count_place(&self, question: &PlaceQuestion, prompt: &PromptShape, place: &EnginePlace) {
        let now = clock::mono_now();
        let reader = place.reader.as_ref().unwrap_or(&place.writer);
        let mut core = self.core.borrow_mut();
        let asker = (&question.from, question.number);
        core.load
            .promise(asker, &reader.id, (place.rank, place.unread_tokens), now);
        if place.reader.is_some() {
            core.load
                .promise(asker, &place.writer.id, (place.rank, 0), now);
        }
        core.note_parts(&reader.id, &prompt.parts, false, now);
    }

    /// Passes a response to the request that waits for it.
    pub fn take_place(&self, answer: PlaceAnswer) {
        self.placing.borrow_mut().take_answer(answer);
    }
}

/// Announces placements to the other hubs until the process ends. Does not wake up while
/// there are none.
pub async fn tell_regularly(gateway: Rc<Gateway>) {
    loop {
        gateway.placed.notified().await;
        sleep(NOTE_EVERY).await;
        gateway.tell_placements();
    }
}

fn parts_of(parts: &[(u64, u32)]) -> Vec<PromptPart> {
    let parts = parts.iter().map(|(key, tokens)| PromptPart {
        key: *key,
        tokens: *tokens,
    });
    parts.collect()
}

impl From<&EnginePlace> for PlacedEngines {
    fn from(place: &EnginePlace) -> Self {
        Self {
            reader: place.reader.as_ref().map(|reader| reader.id.clone()),
            writer: place.writer.id.clone(),
            fetch_from: place.fetch_from.as_ref().map(|holder| holder.id.clone()),
            rank: place.rank,
            expected_ms: place.expected_ms,
            own_ms: place.own_ms,
            unread_tokens: place.unread_tokens,
            reread_tokens: place.reread_tokens,
            waiting_tokens: place.waiting_tokens,
            gives_way: place.gives_way,
        }
    }
}
