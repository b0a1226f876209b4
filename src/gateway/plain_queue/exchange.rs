//! Exchange of tickets between a daemon, its hub and the queue owner.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::mpsc;

use crate::clock;
use crate::crashes::suspect_digest::SuspectDigest;
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::load::RANKS;
use crate::gateway::peers::wire::PeerMessage;
use crate::gateway::plain_queue::gate::TicketGate;
use crate::gateway::plain_queue::owner::{
    QueueTime, ServiceQueue, TargetReport, TicketAnswer, TicketId, TicketTerms,
};
use crate::gateway::plain_queue::wire::{TicketBody, TicketMessage, TicketRequest};
use crate::names::{DaemonId, MonoTime, ServiceName};

/// Silence after which another hub is the queue owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time for which a daemon that did not answer is not asked for tickets.
const SKIP_TIME: Duration = Duration::from_millis(1_500);

/// A queue that this daemon owns.
#[derive(Debug, Default)]
struct OwnedQueue {
    queue: ServiceQueue,
    // Hubs that take the answers for tickets that wait.
    hubs: IndexMap<TicketId, DaemonId>,
}

/// Tickets of this daemon, and the queues that it owns.
#[derive(Debug, Default)]
pub struct PlainQueues {
    pub(super) gates: IndexMap<ServiceName, TicketGate>,
    owned: IndexMap<ServiceName, OwnedQueue>,
    // Tickets of this daemon that have not ended, in order of their numbers.
    open: IndexMap<u64, mpsc::UnboundedSender<TicketAnswer>>,
    last_number: u64,
    // Until when daemons that did not answer are not asked.
    skipped: IndexMap<DaemonId, MonoTime>,
}

impl PlainQueues {
    pub(super) fn open_ticket(&mut self) -> (u64, mpsc::UnboundedReceiver<TicketAnswer>) {
        self.last_number += 1;
        let (sender, answers) = mpsc::unbounded_channel();
        self.open.insert(self.last_number, sender);
        (self.last_number, answers)
    }

    pub(super) fn skip_owner(&mut self, owner: DaemonId, now: MonoTime) {
        self.skipped.retain(|_, until| now < *until);
        self.skipped.insert(owner, now.plus(SKIP_TIME));
    }

    pub(super) fn close_ticket(&mut self, number: u64) {
        self.open.shift_remove(&number);
    }

    /// Returns the lowest number of the tickets that have not ended.
    pub(super) fn oldest_ticket(&self) -> u64 {
        self.open
            .first()
            .map_or(self.last_number + 1, |(number, _)| *number)
    }

    pub(super) fn gate(&mut self, service: &ServiceName) -> &mut TicketGate {
        if !self.gates.contains_key(service) {
            self.gates.insert(service.clone(), TicketGate::default());
        }
        &mut self.gates[service]
    }

    fn deliver(&self, number: u64, answer: TicketAnswer) {
        if let Some(waiting) = self.open.get(&number) {
            // The request may have stopped waiting in the meantime.
            let _ = waiting.send(answer);
        }
    }
}

impl Gateway {
    /// Returns the daemon that requests for tickets are sent to: the hub of this one, else the
    /// queue owner; `None` if this daemon is the owner.
    pub(super) fn ticket_receiver(&self, service: &ServiceName) -> Option<DaemonId> {
        let hub = self.placement_client.borrow().placement_hub().cloned();
        hub.or_else(|| self.queue_owner(service))
    }

    /// Sends a message about a ticket of this daemon to `receiver`. Returns whether it could be
    /// sent.
    pub(super) fn send_ticket(
        &self,
        receiver: Option<&DaemonId>,
        (number, service): (u64, &ServiceName),
        body: TicketBody,
    ) -> bool {
        let message = TicketMessage {
            from: self.daemon.clone(),
            incarnation: self.incarnation,
            number,
            service: service.clone(),
            hub: None,
            body,
        };
        match receiver {
            Some(receiver) => self.send_ticket_message(receiver, message),
            None => {
                self.handle_owned(&message);
                true
            }
        }
    }

    /// Handles a message about a ticket that another daemon sent.
    pub fn handle_ticket_message(&self, message: TicketMessage) {
        if !self.settings().plain_queue.enabled {
            return;
        }
        let is_for_owner =
            matches!(message.body, TicketBody::Request(_)) || message.body.end().is_some();
        if !is_for_owner {
            self.handle_ticket_answer(message);
            return;
        }
        let view = self.view();
        let sender = (&message.from, message.incarnation);
        let is_known = view
            .daemons
            .iter()
            .any(|d| (&d.id, d.incarnation) == sender);
        if !is_known {
            return;
        }
        // A forwarded message is not forwarded again: hubs may see the fleet differently.
        let is_hub = self.hubs.borrow().is_hub();
        let owner = if is_hub && message.hub.is_none() {
            self.queue_owner(&message.service)
        } else {
            None
        };
        match owner {
            Some(owner) => {
                let hub = Some(self.daemon.clone());
                self.send_ticket_message(&owner, TicketMessage { hub, ..message });
            }
            None => self.handle_owned(&message),
        }
    }

    fn handle_ticket_answer(&self, message: TicketMessage) {
        if message.from != self.daemon {
            let to = message.from.clone();
            self.send_ticket_message(&to, message);
            return;
        }
        if message.incarnation == self.incarnation
            && let Some(answer) = message.body.answer()
        {
            self.plain_queues.borrow().deliver(message.number, answer);
        }
    }

    fn send_ticket_message(&self, to: &DaemonId, message: TicketMessage) -> bool {
        let client = self.placement_client.borrow();
        client.send(to, &PeerMessage::Ticket(message))
    }

    /// Returns the daemon that owns the queue of a service; `None` if it is this one. All daemons
    /// with the same view choose the same one, and each service another.
    pub(super) fn queue_owner(&self, service: &ServiceName) -> Option<DaemonId> {
        let view = self.view();
        let now = clock::mono_now();
        let is_hub = self.hubs.borrow().is_hub();
        let hubs = self.other_hubs.borrow();
        let peers = self.peers.borrow();
        let queues = self.plain_queues.borrow();
        let is_skipped = |id: &DaemonId| queues.skipped.get(id).is_some_and(|until| now < *until);
        let others = view
            .daemons
            .iter()
            .filter(|d| d.id != self.daemon && !d.leaving);
        let others = others.map(|daemon| &daemon.id).filter(|id| !is_skipped(id));
        let usable = others.filter(|id| {
            if is_hub {
                hubs.contains(*id) && peers.was_reachable_within(id, OWNER_TIMEOUT, now)
            } else {
                peers.is_usable(id, now) && peers.reaches(id, service)
            }
        });
        let local = (!self.stopping.get()).then_some(&self.daemon);
        first_owner(service, usable.chain(local)).filter(|owner| *owner != self.daemon)
    }

    fn queue_time(&self) -> QueueTime {
        let now = clock::mono_now();
        let fleet = self.fleet_tasks.borrow().clock.at(now);
        QueueTime {
            now,
            fleet: fleet.unwrap_or_else(clock::unix_now),
        }
    }

    fn handle_owned(&self, message: &TicketMessage) {
        let id = message.id();
        let time = self.queue_time();
        let mut earlier = Vec::new();
        let answer = {
            let mut queues = self.plain_queues.borrow_mut();
            let owned = queues.owned.entry(message.service.clone()).or_default();
            if let Some(end) = message.body.end() {
                owned.hubs.swap_remove(&id);
                owned.queue.end(&id, end, time.now);
                None
            } else if let TicketBody::Request(request) = &message.body {
                self.update_targets(&message.service, &mut owned.queue);
                end_older(&mut owned.queue, &id, request.oldest, time);
                // Slots that became free go to the requests that wait for them.
                earlier = owned.queue.advance(time);
                if let Some(hub) = &message.hub {
                    owned.hubs.insert(id.clone(), hub.clone());
                }
                let terms = TicketTerms::from(request);
                let is_known = owned.queue.has_usable(&terms.excluded);
                is_known.then(|| owned.queue.request(&id, terms, time))
            } else {
                None
            }
        };
        for (id, answer) in earlier {
            self.send_answer(&message.service, &id, answer);
        }
        if let Some(answer) = answer {
            self.send_answer(&message.service, &id, answer);
        }
        self.advance_queue(&message.service, time);
    }

    fn update_targets(&self, service: &ServiceName, queue: &mut ServiceQueue) {
        let view = self.view();
        let core = self.core.borrow();
        let targets = view.service_targets(service).iter().filter(|t| !t.leaving);
        let reports = targets.map(|target| TargetReport {
            id: &target.id,
            slots: target.slots,
            running: core.load.total(&target.id).running,
        });
        queue.set_targets(reports, clock::mono_now());
    }

    fn advance_queue(&self, service: &ServiceName, time: QueueTime) {
        let answers = {
            let mut queues = self.plain_queues.borrow_mut();
            let owned = queues.owned.get_mut(service);
            owned.map_or_else(Vec::new, |owned| owned.queue.advance(time))
        };
        for (id, answer) in answers {
            self.send_answer(service, &id, answer);
        }
    }

    fn send_answer(&self, service: &ServiceName, id: &TicketId, answer: TicketAnswer) {
        let mut queues = self.plain_queues.borrow_mut();
        let owned = queues.owned.get_mut(service);
        let hub = owned.and_then(|owned| match answer {
            TicketAnswer::Queued => owned.hubs.get(id).cloned(),
            _ => owned.hubs.swap_remove(id),
        });
        if id.daemon == self.daemon {
            queues.deliver(id.number, answer);
            return;
        }
        drop(queues);
        let message = TicketMessage {
            from: id.daemon.clone(),
            incarnation: id.incarnation,
            number: id.number,
            service: service.clone(),
            hub: None,
            body: TicketBody::from(answer),
        };
        // A daemon that gets no answer sends directly.
        self.send_ticket_message(hub.as_ref().unwrap_or(&id.daemon), message);
    }

    /// Drops the tickets of daemons that are gone, and updates the metrics of owned queues.
    pub fn sweep_plain_queues(&self) {
        if self.plain_queues.borrow().owned.is_empty() {
            return;
        }
        let time = self.queue_time();
        let view = self.view();
        let services: Vec<ServiceName> = self.plain_queues.borrow().owned.keys().cloned().collect();
        for service in services {
            {
                let mut queues = self.plain_queues.borrow_mut();
                let Some(owned) = queues.owned.get_mut(&service) else {
                    continue;
                };
                let peers = self.peers.borrow();
                let is_gone = |id: &TicketId| {
                    let sender = (&id.daemon, id.incarnation);
                    id.daemon != self.daemon
                        && !(view
                            .daemons
                            .iter()
                            .any(|d| (&d.id, d.incarnation) == sender)
                            && peers.has_contact(&id.daemon, time.now))
                };
                owned.queue.end_where(is_gone, time.now);
                owned.hubs.retain(|id, _| owned.queue.is_waiting(id));
                self.update_targets(&service, &mut owned.queue);
            }
            self.advance_queue(&service, time);
            self.note_waiting(&service);
        }
        let mut queues = self.plain_queues.borrow_mut();
        let is_present = |service: &ServiceName| !view.service_targets(service).is_empty();
        queues
            .owned
            .retain(|service, owned| !owned.queue.is_idle() || is_present(service));
    }

    fn note_waiting(&self, service: &ServiceName) {
        let queues = self.plain_queues.borrow();
        let Some(owned) = queues.owned.get(service) else {
            return;
        };
        for rank in 0..RANKS {
            let rank = u8::try_from(rank).unwrap_or(u8::MAX);
            let waiting = owned.queue.waiting_of(rank);
            metrics::gauge!("pistachiowick_plain_queue_waiting", "service" => service.to_string(), "rank" => rank.to_string())
                .set(waiting as f64);
        }
    }
}

// Ends tickets of a daemon of which the owner got no message: those below the lowest that is
// open, and those of an earlier incarnation.
fn end_older(queue: &mut ServiceQueue, id: &TicketId, oldest: u64, time: QueueTime) {
    let is_over = |other: &TicketId| {
        other.daemon == id.daemon && (other.incarnation != id.incarnation || other.number < oldest)
    };
    queue.end_where(is_over, time.now);
}

fn first_owner<'a>(
    service: &ServiceName,
    daemons: impl Iterator<Item = &'a DaemonId>,
) -> Option<DaemonId> {
    let score = |daemon: &&DaemonId| {
        SuspectDigest::of(&[service.as_str().as_bytes(), daemon.as_str().as_bytes()])
    };
    daemons.max_by_key(score).cloned()
}

impl TicketRequest {
    /// Returns the time left in milliseconds, as messages state it.
    #[must_use]
    pub fn wire_ms(time: Duration) -> u32 {
        u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
    }
}
