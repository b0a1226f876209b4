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
use crate::gateway::call::{RoutedRequest, SendHistory, turn_terms};
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::engine_choice::EnginePlacement;
use crate::gateway::deciding::{EngineCandidates, PlacementQuery};
use crate::gateway::model::{PromptPart, PromptShape, TargetRecord};
use crate::gateway::peers::wire::{
    PeerMessage, PlacedEngines, PlacementBatch, PlacementRecord, PlacementRequest,
    PlacementResponse,
};
use crate::gateway::rate_limits::late_turns;
use crate::names::{DaemonId, MonoTime};
use crate::target_incarnation::TargetIncarnation;

/// Time limit for a placement response. A round trip takes 1 to 3 ms; a choice without the
/// hub costs a request 100 ms and more, and waiting longer than that gains nothing.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(40);
/// Time for which a daemon that did not respond gets no placement requests.
const RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Receives the response to a placement request.
pub type PlacementReceiver = oneshot::Receiver<Option<PlacedEngines>>;

/// Delay within which a hub announces its placements to the other hubs. The sums of work
/// that hubs exchange are some hundred milliseconds old when they are used, about as long
/// as the prefill of a request takes.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(40);
/// Most placements that wait to be announced; without other hubs there is no receiver.
const MAX_PENDING: usize = 1_024;

/// Placements of a hub that it has not announced to the other hubs yet.
#[derive(Debug, Default)]
pub struct PlacementOutbox {
    pending: Vec<PlacementRecord>,
    last_number: u64,
}

impl PlacementOutbox {
    fn push(&mut self, record: PlacementRecord) {
        if self.pending.len() < MAX_PENDING {
            self.pending.push(record);
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

/// Sends placement requests to another daemon and matches the responses. Other requests and
/// responses between daemons are sent through it too, as it has the queues of the links.
#[derive(Debug, Default)]
pub struct PlacementClient {
    // Daemon that chooses for this one; `None` if this one chooses by itself.
    placement_hub: Option<DaemonId>,
    links: IndexMap<DaemonId, mpsc::UnboundedSender<Message>>,
    last_number: u64,
    // Number of the last request whose response was used.
    used_through: u64,
    waiting: IndexMap<u64, oneshot::Sender<Option<PlacedEngines>>>,
    retry_at: Option<MonoTime>,
}

impl PlacementClient {
    /// Sets the daemon that placement requests are sent to.
    pub fn set_placement_hub(&mut self, placement_hub: Option<DaemonId>) {
        if self.placement_hub != placement_hub {
            self.placement_hub = placement_hub;
            self.retry_at = None;
        }
    }

    /// Whether placement requests are sent to another daemon.
    #[must_use]
    pub fn has_placement_hub(&self) -> bool {
        self.placement_hub.is_some()
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
    pub fn used_through(&self) -> u64 {
        self.used_through
    }

    pub(super) fn send_to(&self, daemons: &[DaemonId], message: &PeerMessage) {
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
    /// `None` if no other daemon chooses for this one, or no request can be sent to it now.
    pub fn send_request(
        &mut self,
        request: PlacementRequest,
        now: MonoTime,
    ) -> Option<(u64, PlacementReceiver)> {
        let placement_hub = self.placement_hub.clone()?;
        if self.retry_at.is_some_and(|until| now < until) {
            return None;
        }
        let number = self.last_number + 1;
        let request = PlacementRequest { number, ..request };
        if !self.send(&placement_hub, &PeerMessage::PlacementRequest(request)) {
            return None;
        }
        self.last_number = number;
        let (response, receiver) = oneshot::channel();
        self.waiting.insert(number, response);
        Some((number, receiver))
    }

    /// Passes a response to the request that waits for it.
    pub fn deliver_response(&mut self, response: PlacementResponse) {
        if let Some(waiting) = self.waiting.swap_remove(&response.number) {
            // The request may have stopped waiting in the meantime.
            let _ = waiting.send(response.engines);
        }
    }

    /// Records that the response to a placement request was used.
    pub fn record_use(&mut self, number: u64) {
        self.used_through = self.used_through.max(number);
    }

    /// Records that a placement request had no response in time.
    pub fn record_timeout(&mut self, number: u64, now: MonoTime) {
        self.waiting.swap_remove(&number);
        self.retry_at = Some(now.plus(RETRY_DELAY));
    }
}

impl Gateway {
    /// Chooses the engines for a request: sends a placement request to the hub, and chooses
    /// locally if it does not respond or returns no engines that are known here.
    pub async fn place_request(
        &self,
        call: &RoutedRequest,
        history: &SendHistory,
    ) -> Option<EnginePlacement> {
        match self.request_placement(call, history).await {
            Some(placement) => Some(placement),
            None => self.place_locally(call, history),
        }
    }

    fn place_locally(
        &self,
        call: &RoutedRequest,
        history: &SendHistory,
    ) -> Option<EnginePlacement> {
        let placement = self.place(call, history, call.turn_terms())?;
        if let Some(prompt) = &call.caller.prompt {
            self.queue_placement(prompt, &placement);
        }
        Some(placement)
    }

    async fn request_placement(
        &self,
        call: &RoutedRequest,
        history: &SendHistory,
    ) -> Option<EnginePlacement> {
        let now = clock::mono_now();
        let request = self.placement_request(call, history);
        let (number, response) = self
            .placement_client
            .borrow_mut()
            .send_request(request, now)?;
        let response = timeout(RESPONSE_TIMEOUT, response).await;
        let mut client = self.placement_client.borrow_mut();
        let Ok(Ok(engines)) = response else {
            client.record_timeout(number, clock::mono_now());
            metrics::counter!("pistachiowick_place_questions_total", "outcome" => "silence")
                .increment(1);
            return None;
        };
        client.record_use(number);
        metrics::counter!("pistachiowick_place_questions_total", "outcome" => "answered")
            .increment(1);
        self.resolve(call, &engines?)
    }

    fn placement_request(&self, call: &RoutedRequest, history: &SendHistory) -> PlacementRequest {
        let prompt = call.caller.prompt.clone().unwrap_or_default();
        let now = clock::mono_now();
        let engines = call.view.service_targets(&call.service.name);
        let terms = call.turn_terms();
        let turns = self.turn_offers(engines, terms);
        let late: Vec<&TargetIncarnation> = late_turns(&turns, terms).collect();
        let core = self.core.borrow();
        let sends_cost = core.weights.crossing_ms_per_kb > 0.0;
        let request_bytes = if sends_cost {
            u32::try_from(call.request.body.len()).unwrap_or(u32::MAX)
        } else {
            0
        };
        let avoided = engines.iter().filter(|engine| {
            let id = &engine.id;
            // The hub does not know which engines refuse the requests of this daemon, nor at
            // which version a stream goes on.
            history.has(id)
                || !call.allows(engine)
                || late.contains(&id)
                || self.is_backing_off(id)
                || core.health.view(id, now).avoided
        });
        PlacementRequest {
            from: self.daemon.clone(),
            incarnation: self.incarnation,
            number: 0,
            service: call.service.name.clone(),
            avoided: avoided.map(|engine| engine.id.clone()).collect(),
            prompt_tokens: prompt.prompt_tokens,
            output_tokens: prompt.output_tokens,
            parts: prompt.parts.iter().map(|p| (p.key, p.tokens)).collect(),
            urgency: call.route.urgency,
            objective_left_ms: u32::try_from(call.objective_left().as_millis()).unwrap_or(u32::MAX),
            request_bytes,
        }
    }

    // A response is valid only with engines that this daemon knows for the request's own
    // route, as the other daemon may run another configuration.
    fn resolve(&self, call: &RoutedRequest, engines: &PlacedEngines) -> Option<EnginePlacement> {
        let newest = self.view();
        let known = call.view.service_targets(&call.service.name);
        let find = |id: &TargetIncarnation| -> Option<Arc<TargetRecord>> {
            let is_known = known.iter().any(|engine| engine.id == *id);
            let found = newest.find(id).filter(|_| is_known)?;
            call.allows(found).then(|| found.clone())
        };
        let prefill_engine = match &engines.prefill_engine {
            Some(id) => Some(find(id)?),
            None => None,
        };
        let decode_engine = find(&engines.decode_engine)?;
        // The other daemon may know the engines by older entries.
        let is_same_version =
            |engine: &Arc<TargetRecord>| engine.software == decode_engine.software;
        if !prefill_engine.as_ref().is_none_or(is_same_version) {
            return None;
        }
        let fetch_from = engines.fetch_from.as_ref().and_then(find);
        Some(EnginePlacement {
            prefill_engine,
            fetch_from: fetch_from.filter(is_same_version),
            decode_engine,
            rank: engines.rank,
            cost_ms: engines.expected_ms,
            expected_ms: engines.expected_ms,
            own_prefill_ms: engines.own_prefill_ms,
            pending_prefill_tokens: engines.pending_prefill_tokens,
            recomputed_tokens: engines.recomputed_tokens,
            queued_ahead_tokens: engines.queued_ahead_tokens,
            deprioritized: engines.deprioritized,
        })
    }

    /// Answers a placement request of another daemon.
    pub fn answer_placement_request(&self, request: &PlacementRequest) {
        let view = self.view();
        let requester = (&request.from, request.incarnation);
        if !view
            .daemons
            .iter()
            .any(|d| (&d.id, d.incarnation) == requester)
        {
            return;
        }
        let prompt = PromptShape {
            model: String::new(),
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            parts: parts_of(&request.parts),
        };
        let objective_left = Duration::from_millis(u64::from(request.objective_left_ms));
        let engines = view.service_targets(&request.service);
        let terms = turn_terms(request.urgency, objective_left);
        let turns = self.turn_offers_of(&request.from, engines);
        // The requester may not know yet that an engine limits the rate of its requests.
        let excluded: Vec<TargetIncarnation> = request
            .avoided
            .iter()
            .chain(late_turns(&turns, terms))
            .cloned()
            .collect();
        let query = PlacementQuery {
            choices: EngineCandidates {
                engines,
                changing: &self.changing(),
                excluded: &excluded,
                turns: &turns,
                software: None,
                request_bytes: request.request_bytes as usize,
            },
            prompt: &prompt,
            urgency: request.urgency,
            objective_left,
        };
        let placement = self.core.borrow().place(&query, clock::mono_now());
        if let Some(placement) = &placement {
            self.count_placement(request, &prompt, placement);
            self.queue_placement(&prompt, placement);
        }
        let response = PeerMessage::PlacementResponse(PlacementResponse {
            number: request.number,
            engines: placement.map(|placement| PlacedEngines::from(&placement)),
        });
        // A requester whose link is not up yet chooses by itself.
        self.placement_client
            .borrow()
            .send(&request.from, &response);
    }

    /// Queues a placement of this daemon for the other hubs, if it is a hub.
    pub fn queue_placement(&self, prompt: &PromptShape, placement: &EnginePlacement) {
        if !self.hubs.borrow().is_hub() {
            return;
        }
        let prefill_engine = placement
            .prefill_engine
            .as_ref()
            .unwrap_or(&placement.decode_engine);
        let decode_engine = placement
            .prefill_engine
            .as_ref()
            .map(|_| placement.decode_engine.id.clone());
        self.placements.borrow_mut().push(PlacementRecord {
            prefill_engine: prefill_engine.id.clone(),
            decode_engine,
            rank: placement.rank,
            pending_prefill_tokens: placement.pending_prefill_tokens,
            parts: prompt.parts.iter().map(|p| (p.key, p.tokens)).collect(),
        });
        self.placements_changed.notify_one();
    }

    /// Announces the queued placements to the other hubs; returns the number of the last
    /// batch that was sent.
    pub fn announce_placements(&self) -> u64 {
        let mut outbox = self.placements.borrow_mut();
        if let Some((number, placements)) = outbox.take() {
            let batch = PeerMessage::Placements(PlacementBatch {
                from: self.daemon.clone(),
                incarnation: self.incarnation,
                number,
                placements,
            });
            let hubs = self.other_hubs.borrow();
            self.placement_client.borrow().send_to(&hubs, &batch);
        }
        outbox.last_number
    }

    /// Applies the placements of another hub.
    pub fn apply_placements(&self, batch: &PlacementBatch) {
        let view = self.view();
        let sender = (&batch.from, batch.incarnation);
        if !view
            .daemons
            .iter()
            .any(|d| (&d.id, d.incarnation) == sender)
        {
            return;
        }
        let now = clock::mono_now();
        let mut core = self.core.borrow_mut();
        let batch_id = (&batch.from, batch.number);
        for record in &batch.placements {
            core.load.reserve(
                batch_id,
                &record.prefill_engine,
                (record.rank, record.pending_prefill_tokens),
                now,
            );
            if let Some(decode_engine) = &record.decode_engine {
                core.load
                    .reserve(batch_id, decode_engine, (record.rank, 0), now);
            }
            core.note_parts(&record.prefill_engine, &parts_of(&record.parts), false, now);
        }
    }

    // Counts a placement before the requester's hint reports it, for the choices until then.
    fn count_placement(
        &self,
        request: &PlacementRequest,
        prompt: &PromptShape,
        placement: &EnginePlacement,
    ) {
        let now = clock::mono_now();
        let prefill_engine = placement
            .prefill_engine
            .as_ref()
            .unwrap_or(&placement.decode_engine);
        let mut core = self.core.borrow_mut();
        let requester = (&request.from, request.number);
        core.load.reserve(
            requester,
            &prefill_engine.id,
            (placement.rank, placement.pending_prefill_tokens),
            now,
        );
        if placement.prefill_engine.is_some() {
            core.load.reserve(
                requester,
                &placement.decode_engine.id,
                (placement.rank, 0),
                now,
            );
        }
        core.note_parts(&prefill_engine.id, &prompt.parts, false, now);
    }

    /// Passes a response to the request that waits for it.
    pub fn handle_placement_response(&self, response: PlacementResponse) {
        self.placement_client
            .borrow_mut()
            .deliver_response(response);
    }
}

/// Announces placements to the other hubs until the process ends. Does not wake up while
/// there are none.
pub async fn announce_regularly(gateway: Rc<Gateway>) {
    loop {
        gateway.placements_changed.notified().await;
        sleep(ANNOUNCE_DELAY).await;
        gateway.announce_placements();
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
    fn from(placement: &EnginePlacement) -> Self {
        Self {
            prefill_engine: placement
                .prefill_engine
                .as_ref()
                .map(|prefill_engine| prefill_engine.id.clone()),
            decode_engine: placement.decode_engine.id.clone(),
            fetch_from: placement
                .fetch_from
                .as_ref()
                .map(|holder| holder.id.clone()),
            rank: placement.rank,
            expected_ms: placement.expected_ms,
            own_prefill_ms: placement.own_prefill_ms,
            pending_prefill_tokens: placement.pending_prefill_tokens,
            recomputed_tokens: placement.recomputed_tokens,
            queued_ahead_tokens: placement.queued_ahead_tokens,
            deprioritized: placement.deprioritized,
        }
    }
}
