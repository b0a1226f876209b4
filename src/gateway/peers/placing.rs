//! One daemon of a data centre places the requests of all its daemons.
//!
//! Daemons that each choose engines by hints choose alike: within the hundreds of
//! milliseconds until they hear of each other's choices, they all take the engine
//! that looked free. The hub sees every choice at once, because it makes them; a
//! question costs one round trip inside the data centre. A daemon whose hub does not
//! answer soon chooses by itself, so nothing but time to the first token hangs on it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tokio_tungstenite::tungstenite::Message;

use crate::clock;
use crate::gateway::call::{RoutedRequest, SendHistory};
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::engine_choice::EnginePlacement;
use crate::gateway::deciding::{EngineCandidates, PlacementQuery};
use crate::gateway::model::{PromptPart, PromptShape, TargetRecord};
use crate::gateway::peers::wire::{
    PeerMessage, PlacedEngines, PlacementBatch, PlacementRecord, PlacementRequest,
    PlacementResponse,
};
use crate::names::{DaemonId, MonoTime};
use crate::target_incarnation::TargetIncarnation;

/// Longest wait for an answer: a round trip takes 1 to 3 ms, and waiting longer than
/// a choice without the others' knowledge costs, 100 ms and more, buys nothing.
const ANSWER_WAIT: Duration = Duration::from_millis(40);
/// Time for which a daemon that did not answer is not asked.
const NOT_ASKED: Duration = Duration::from_millis(1_000);

/// Where the answer to a question will come.
pub type PlaceWait = oneshot::Receiver<Option<PlacedEngines>>;

/// Time between two messages of a hub to the others on what it placed. The sums of work
/// that hubs exchange are some hundred milliseconds old when they count; requests take
/// about as long to read.
const NOTE_EVERY: Duration = Duration::from_millis(40);
/// Most placements that wait to be told; a daemon without other hubs tells nobody.
const MOST_NOTES: usize = 1_024;

/// What a hub has placed and has not told the other hubs.
#[derive(Debug, Default)]
pub struct PlacementOutbox {
    pending: Vec<PlacementRecord>,
    last_number: u64,
}

impl PlacementOutbox {
    fn note(&mut self, note: PlacementRecord) {
        if self.pending.len() < MOST_NOTES {
            self.pending.push(note);
        }
    }

    fn take(&mut self) -> Option<(u64, Vec<PlacementRecord>)> {
        if self.pending.is_empty() {
            return None;
        }
        self.last_number += 1;
        Some((self.last_number, std::mem::take(&mut self.pending)))
    }
}

/// What a daemon keeps to ask another one for places.
#[derive(Debug, Default)]
pub struct PlacementClient {
    // Whom to ask; `None` where this daemon places by itself.
    placer: Option<DaemonId>,
    links: IndexMap<DaemonId, mpsc::UnboundedSender<Message>>,
    last_number: u64,
    taken_through: u64,
    waiting: IndexMap<u64, oneshot::Sender<Option<PlacedEngines>>>,
    not_before: Option<MonoTime>,
}

impl PlacementClient {
    /// Sets whom to ask.
    pub fn set_placer(&mut self, placer: Option<DaemonId>) {
        if self.placer != placer {
            self.placer = placer;
            self.not_before = None;
        }
    }

    /// Whether another daemon is asked for places.
    #[must_use]
    pub fn has_placer(&self) -> bool {
        self.placer.is_some()
    }

    /// Opens a queue of messages that a link sends between its regular ones.
    pub fn open_link(&mut self, daemon: &DaemonId) -> mpsc::UnboundedReceiver<Message> {
        let (sender, queue) = mpsc::unbounded_channel();
        self.links.insert(daemon.clone(), sender);
        queue
    }

    /// Number of the last question whose answer was taken; the work that it brought
    /// is in this daemon's hints from now on.
    #[must_use]
    pub fn taken_through(&self) -> u64 {
        self.taken_through
    }

    fn send_to(&self, daemons: &[DaemonId], message: &PeerMessage) {
        let encoded = message.encode();
        for link in daemons.iter().filter_map(|daemon| self.links.get(daemon)) {
            // A link that ended is opened again, with a queue of its own.
            let _ = link.send(encoded.clone());
        }
    }

    /// Sends a message between the regular ones; false where no link is up.
    pub fn send(&self, to: &DaemonId, message: &PeerMessage) -> bool {
        let link = self.links.get(to);
        link.is_some_and(|link| link.send(message.encode()).is_ok())
    }

    /// Sends a question and returns its number and where the answer will come; `None`
    /// where nobody is to be asked, or nobody can be now.
    pub fn ask(&mut self, question: PlacementRequest, now: MonoTime) -> Option<(u64, PlaceWait)> {
        let placer = self.placer.clone()?;
        if self.not_before.is_some_and(|until| now < until) {
            return None;
        }
        let number = self.last_number + 1;
        let question = PlacementRequest { number, ..question };
        if !self.send(&placer, &PeerMessage::Place(question)) {
            return None;
        }
        self.last_number = number;
        let (answer, waits) = oneshot::channel();
        self.waiting.insert(number, answer);
        Some((number, waits))
    }

    /// Hands an answer to the request that waits for it.
    pub fn take_answer(&mut self, answer: PlacementResponse) {
        if let Some(waiting) = self.waiting.swap_remove(&answer.number) {
            // Who asked may have given up meanwhile.
            let _ = waiting.send(answer.engines);
        }
    }

    /// Notes that a request goes by the answer to a question from now on.
    pub fn note_taken(&mut self, number: u64) {
        self.taken_through = self.taken_through.max(number);
    }

    /// Notes that a question was not answered in time.
    pub fn note_silence(&mut self, number: u64, now: MonoTime) {
        self.waiting.swap_remove(&number);
        self.not_before = Some(now.plus(NOT_ASKED));
    }
}

impl Gateway {
    /// Chooses the engines of a request: the daemon that places for this one is asked,
    /// and this one chooses where it does not answer or knows other engines.
    pub async fn place_request(
        &self,
        call: &RoutedRequest,
        trail: &SendHistory,
    ) -> Option<EnginePlacement> {
        match self.ask_placer(call, trail).await {
            Some(place) => Some(place),
            None => self.place_alone(call, trail),
        }
    }

    fn place_alone(&self, call: &RoutedRequest, trail: &SendHistory) -> Option<EnginePlacement> {
        let place = self.place(call, trail)?;
        if let Some(prompt) = &call.caller.prompt {
            self.note_placement(prompt, &place);
        }
        Some(place)
    }

    async fn ask_placer(
        &self,
        call: &RoutedRequest,
        trail: &SendHistory,
    ) -> Option<EnginePlacement> {
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

    fn question(&self, call: &RoutedRequest, trail: &SendHistory) -> PlacementRequest {
        let prompt = call.caller.prompt.clone().unwrap_or_default();
        let now = clock::mono_now();
        let core = self.core.borrow();
        let engines = call.view.service_targets(&call.service.name).iter();
        let avoided = engines.filter(|e| trail.has(&e.id) || core.health.view(&e.id, now).avoided);
        PlacementRequest {
            from: self.daemon.clone(),
            life: self.incarnation,
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

    // The answer counts only with engines that this daemon knows for the request's own
    // route, whatever configuration the other one runs.
    fn resolve(&self, call: &RoutedRequest, engines: &PlacedEngines) -> Option<EnginePlacement> {
        let newest = self.view();
        let known = call.view.service_targets(&call.service.name);
        let find = |id: &TargetIncarnation| -> Option<Arc<TargetRecord>> {
            let found = known.iter().find(|engine| engine.id == *id)?;
            newest.has_target(id).then(|| found.clone())
        };
        let reader = match &engines.reader {
            Some(id) => Some(find(id)?),
            None => None,
        };
        Some(EnginePlacement {
            prefill_engine: reader,
            decode_engine: find(&engines.writer)?,
            fetch_from: engines.fetch_from.as_ref().and_then(find),
            rank: engines.rank,
            expected_ms: engines.expected_ms,
            own_prefill_ms: engines.own_ms,
            pending_prefill_tokens: engines.unread_tokens,
            recomputed_tokens: engines.reread_tokens,
            queued_ahead_tokens: engines.waiting_tokens,
            deprioritized: engines.gives_way,
        })
    }

    /// Answers a daemon that asks for a place.
    pub fn answer_place(&self, question: &PlacementRequest) {
        let view = self.view();
        let asker = (&question.from, question.life);
        if !view.daemons.iter().any(|d| (&d.id, d.incarnation) == asker) {
            return;
        }
        let prompt = PromptShape {
            model: String::new(),
            prompt_tokens: question.prompt_tokens,
            output_tokens: question.output_tokens,
            parts: parts_of(&question.parts),
        };
        let order = PlacementQuery {
            choices: EngineCandidates {
                engines: view.service_targets(&question.service),
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
        let answer = PeerMessage::Placed(PlacementResponse {
            number: question.number,
            engines: place.map(|place| PlacedEngines::from(&place)),
        });
        // An asker whose link is not up yet places by itself.
        self.placing.borrow().send(&question.from, &answer);
    }

    /// Notes what this daemon has placed as a hub, for the other hubs.
    pub fn note_placement(&self, prompt: &PromptShape, place: &EnginePlacement) {
        if !self.hubs.borrow().is_hub() {
            return;
        }
        let reader = place
            .prefill_engine
            .as_ref()
            .unwrap_or(&place.decode_engine);
        let writer = place
            .prefill_engine
            .as_ref()
            .map(|_| place.decode_engine.id.clone());
        self.placements.borrow_mut().note(PlacementRecord {
            reader: reader.id.clone(),
            writer,
            rank: place.rank,
            unread_tokens: place.pending_prefill_tokens,
            parts: prompt.parts.iter().map(|p| (p.key, p.tokens)).collect(),
        });
        self.placed.notify_one();
    }

    /// Tells the other hubs what this one has placed; returns the number of the last
    /// notes that were sent.
    pub fn tell_placements(&self) -> u64 {
        let mut log = self.placements.borrow_mut();
        if let Some((number, placed)) = log.take() {
            let notes = PeerMessage::Placements(PlacementBatch {
                from: self.daemon.clone(),
                life: self.incarnation,
                number,
                placed,
            });
            let hubs = self.other_hubs.borrow();
            self.placing.borrow().send_to(&hubs, &notes);
        }
        log.last_number
    }

    /// Takes what another hub has placed.
    pub fn take_placements(&self, notes: &PlacementBatch) {
        let view = self.view();
        let sender = (&notes.from, notes.life);
        if !view
            .daemons
            .iter()
            .any(|d| (&d.id, d.incarnation) == sender)
        {
            return;
        }
        let now = clock::mono_now();
        let mut core = self.core.borrow_mut();
        let numbered = (&notes.from, notes.number);
        for note in &notes.placed {
            core.load
                .reserve(numbered, &note.reader, (note.rank, note.unread_tokens), now);
            if let Some(writer) = &note.writer {
                core.load.reserve(numbered, writer, (note.rank, 0), now);
            }
            core.note_parts(&note.reader, &parts_of(&note.parts), false, now);
        }
    }

    // The next choice has to know of this one before the asker's hint tells of it.
    fn count_place(
        &self,
        question: &PlacementRequest,
        prompt: &PromptShape,
        place: &EnginePlacement,
    ) {
        let now = clock::mono_now();
        let reader = place
            .prefill_engine
            .as_ref()
            .unwrap_or(&place.decode_engine);
        let mut core = self.core.borrow_mut();
        let asker = (&question.from, question.number);
        core.load.reserve(
            asker,
            &reader.id,
            (place.rank, place.pending_prefill_tokens),
            now,
        );
        if place.prefill_engine.is_some() {
            core.load
                .reserve(asker, &place.decode_engine.id, (place.rank, 0), now);
        }
        core.note_parts(&reader.id, &prompt.parts, false, now);
    }

    /// Hands an answer to the request that waits for it.
    pub fn take_place(&self, answer: PlacementResponse) {
        self.placing.borrow_mut().take_answer(answer);
    }
}

/// Tells the other hubs of placements, as long as the process runs. Without any, it
/// does not wake up.
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

impl From<&EnginePlacement> for PlacedEngines {
    fn from(place: &EnginePlacement) -> Self {
        Self {
            reader: place
                .prefill_engine
                .as_ref()
                .map(|reader| reader.id.clone()),
            writer: place.decode_engine.id.clone(),
            fetch_from: place.fetch_from.as_ref().map(|holder| holder.id.clone()),
            rank: place.rank,
            expected_ms: place.expected_ms,
            own_ms: place.own_prefill_ms,
            unread_tokens: place.pending_prefill_tokens,
            reread_tokens: place.recomputed_tokens,
            waiting_tokens: place.queued_ahead_tokens,
            gives_way: place.deprioritized,
        }
    }
}
