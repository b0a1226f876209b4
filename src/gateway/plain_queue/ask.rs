//! Tickets for the requests of this daemon.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use crate::admission::RefusalReason;
use crate::clock;
use crate::gateway::call::{RoutedRequest, SendHistory};
use crate::gateway::daemon::Gateway;
use crate::gateway::model::TargetRecord;
use crate::gateway::plain_queue::gate::SendPath;
use crate::gateway::plain_queue::owner::{TicketAnswer, TicketEnd};
use crate::gateway::plain_queue::wire::{TicketBody, TicketRequest};
use crate::gateway::reply::Failure;
use crate::names::{DaemonId, ServiceName};
use crate::target_incarnation::TargetIncarnation;

/// Time limit for an answer of the queue owner. A round trip takes 1 to 6 ms; a request without
/// a ticket may be refused or overtake others, and waiting longer than that gains nothing.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(40);
/// Time after which a waiting ticket is requested again: the queue owner may have died, and it
/// refuses late tickets when it gets a message.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(150);
/// Most daemons that are asked for one ticket without an answer.
const MAX_SILENT_OWNERS: u32 = 2;
/// Longest delay of a less urgent request that is sent without a ticket while targets are full.
const MAX_DIRECT_DELAY: Duration = Duration::from_millis(100);
/// Most targets of a service that has a queue. With more of them, a daemon always finds one with
/// a free slot, and the queue owner would have to know too many.
const MAX_TARGETS: usize = 64;

/// A ticket of the queue owner, which ends when this is dropped.
pub struct PlainTicket {
    gateway: Rc<Gateway>,
    service: ServiceName,
    number: u64,
    // Daemon that was asked for it; `None` if this daemon owns the queue.
    receiver: Option<DaemonId>,
    end: TicketEnd,
}

impl PlainTicket {
    /// Sets how the request ended.
    pub fn set_end(&mut self, end: TicketEnd) {
        self.end = end;
    }
}

impl Drop for PlainTicket {
    fn drop(&mut self) {
        self.gateway
            .plain_queues
            .borrow_mut()
            .close_ticket(self.number);
        // If the owner cannot be told, the next request for a ticket states it.
        let receiver = self.receiver.as_ref();
        let ticket = (self.number, &self.service);
        self.gateway
            .send_ticket(receiver, ticket, TicketBody::from(self.end));
    }
}

/// How a request to a plain service is sent.
pub enum PlainPermit {
    /// Without a ticket, to the target that this daemon chose.
    Direct,
    /// The same after waiting, so that the target has to be chosen again.
    Unanswered,
    /// With a ticket, to its target.
    Granted(PlainTicket, Arc<TargetRecord>),
}

impl Gateway {
    /// Returns how a request is sent, after waiting for a ticket if the targets of its service
    /// are full.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the queue owner.
    pub async fn plain_permit(
        self: &Rc<Self>,
        call: &RoutedRequest,
        history: &SendHistory,
    ) -> Result<PlainPermit, Failure> {
        let targets = call.view.service_targets(&call.service.name);
        let has_queue = self.settings().plain_queue.enabled && call.service.engine.is_none();
        if !has_queue || targets.len() > MAX_TARGETS {
            return Ok(PlainPermit::Direct);
        }
        let (running, slots) = self.known_work(targets);
        let now = clock::mono_now();
        let path = {
            let mut queues = self.plain_queues.borrow_mut();
            queues.gate(&call.service.name).path(running, slots, now)
        };
        match path {
            SendPath::Free => Ok(PlainPermit::Direct),
            SendPath::Unanswered => {
                self.delay_direct(call, running >= slots).await;
                Ok(PlainPermit::Unanswered)
            }
            SendPath::Ticket => self.await_ticket(call, history).await,
        }
    }

    /// Records that a target refused a request because it is full: the next requests to its
    /// service need tickets.
    pub fn note_plain_full(&self, call: &RoutedRequest, target: &TargetIncarnation) {
        let is_limited = self.limits.borrow().rate(target).is_some();
        if !self.settings().plain_queue.enabled || is_limited || self.is_backing_off(target) {
            return;
        }
        let mut queues = self.plain_queues.borrow_mut();
        queues.gate(&call.service.name).note_full(clock::mono_now());
    }

    fn known_work(&self, targets: &[Arc<TargetRecord>]) -> (u32, u32) {
        let current = self.view();
        let core = self.core.borrow();
        let present = targets
            .iter()
            .filter(|target| current.has_target(&target.id));
        present.fold((0, 0), |(running, slots), target| {
            let work = core.load.total(&target.id);
            (running + work.running, slots + target.slots)
        })
    }

    // Without an order of the fleet, less urgent requests leave free slots to urgent ones.
    async fn delay_direct(&self, call: &RoutedRequest, is_full: bool) {
        if !is_full || call.route.urgency == 0 {
            return;
        }
        let delay = MAX_DIRECT_DELAY.mul_f64(self.rng.borrow_mut().random());
        sleep(delay.min(call.time_left())).await;
    }

    async fn await_ticket(
        self: &Rc<Self>,
        call: &RoutedRequest,
        history: &SendHistory,
    ) -> Result<PlainPermit, Failure> {
        let begun = Instant::now();
        let service = &call.service.name;
        let (number, mut answers) = self.plain_queues.borrow_mut().open_ticket();
        let mut ticket = PlainTicket {
            gateway: self.clone(),
            service: service.clone(),
            number,
            receiver: None,
            end: TicketEnd::Other,
        };
        let answer = self
            .await_answer(call, history, (&mut ticket, &mut answers))
            .await;
        let waited = begun.elapsed();
        let outcome = outcome_name(answer.as_ref());
        let rank = call.route.urgency.to_string();
        metrics::counter!("pistachiowick_plain_queue_total", "service" => service.to_string(), "rank" => rank.clone(), "outcome" => outcome)
            .increment(1);
        metrics::histogram!("pistachiowick_plain_queue_wait_seconds", "service" => service.to_string(), "rank" => rank)
            .record(waited.as_secs_f64());
        match answer {
            Some(TicketAnswer::Granted(target)) => {
                // The owner may know the targets by another view.
                let target = self.granted_target(call, history, &target);
                Ok(target.map_or(PlainPermit::Unanswered, |target| {
                    PlainPermit::Granted(ticket, target)
                }))
            }
            Some(TicketAnswer::Refused {
                reason,
                retry_after,
                expected_ms,
            }) => {
                log::info!(
                    request = call.caller.id.as_str(),
                    service = service.as_str(),
                    rank = call.route.urgency,
                    reason = reason.as_str(),
                    expected_ms = expected_ms,
                    waited_ms = waited.as_millis() as u64,
                    left_ms = call.time_left().as_millis() as u64,
                    retry_after_ms = retry_after.as_millis() as u64;
                    "plain request refused by the queue of its service"
                );
                Err(Failure::refused(refusal_text(reason), retry_after))
            }
            Some(TicketAnswer::Queued) | None if call.time_left().is_zero() => Err(
                Failure::refused(refusal_text(RefusalReason::Late), RENEWAL_INTERVAL),
            ),
            Some(TicketAnswer::Queued) | None => {
                let mut queues = self.plain_queues.borrow_mut();
                queues.gate(service).note_silence(clock::mono_now());
                drop(queues);
                log::info!(request = call.caller.id.as_str(), service = service.as_str(); "queue owner does not answer; sending directly for a second");
                Ok(PlainPermit::Unanswered)
            }
        }
    }

    // Returns the grant or refusal; `None` if no owner answers.
    async fn await_answer(
        &self,
        call: &RoutedRequest,
        history: &SendHistory,
        (ticket, answers): (&mut PlainTicket, &mut mpsc::UnboundedReceiver<TicketAnswer>),
    ) -> Option<TicketAnswer> {
        let mut silent = 0;
        loop {
            self.set_receiver(ticket);
            let request = TicketBody::Request(self.ticket_request(call, history));
            let number = (ticket.number, &ticket.service);
            let sent = self.send_ticket(ticket.receiver.as_ref(), number, request);
            let first = if sent {
                let limit = RESPONSE_TIMEOUT.min(call.time_left());
                timeout(limit, answers.recv()).await.ok()
            } else {
                None
            };
            match first.flatten() {
                Some(TicketAnswer::Queued) => {}
                Some(answer) => return Some(answer),
                None => {
                    silent += 1;
                    if silent < MAX_SILENT_OWNERS && self.skip_owner(ticket) {
                        continue;
                    }
                    return None;
                }
            }
            let waiting = RENEWAL_INTERVAL.min(call.time_left());
            match timeout(waiting, answers.recv()).await {
                // An earlier request for the ticket was answered late.
                Ok(Some(TicketAnswer::Queued)) | Err(_) if !call.time_left().is_zero() => {}
                answer => return answer.ok().flatten(),
            }
        }
    }

    // Chooses the daemon to ask. One that was asked before may answer late, so the ticket ends
    // there; otherwise it would hold a slot until the request's deadline.
    fn set_receiver(&self, ticket: &mut PlainTicket) {
        let receiver = self.ticket_receiver(&ticket.service);
        if let Some(earlier) = ticket.receiver.take()
            && receiver.as_ref() != Some(&earlier)
        {
            let number = (ticket.number, &ticket.service);
            self.send_ticket(Some(&earlier), number, TicketBody::from(TicketEnd::Other));
        }
        ticket.receiver = receiver;
    }

    // Asks another daemon than the one that did not answer; returns false for the member of a
    // hub, which has no link to others.
    fn skip_owner(&self, ticket: &PlainTicket) -> bool {
        let has_hub = self.placement_client.borrow().has_placement_hub();
        let Some(owner) = ticket.receiver.clone().filter(|_| !has_hub) else {
            return false;
        };
        log::info!(owner = owner.as_str(), service = ticket.service.as_str(); "queue owner does not answer; asking the next one");
        let now = clock::mono_now();
        self.plain_queues.borrow_mut().skip_owner(owner, now);
        true
    }

    fn ticket_request(&self, call: &RoutedRequest, history: &SendHistory) -> TicketRequest {
        TicketRequest {
            rank: call.route.urgency,
            work: call.work(),
            objective_left_ms: TicketRequest::wire_ms(call.objective_left()),
            time_left_ms: TicketRequest::wire_ms(call.time_left()),
            time_limit_ms: TicketRequest::wire_ms(call.route.time_limit),
            excluded: self.excluded_targets(call, history),
            oldest: self.plain_queues.borrow().oldest_ticket(),
        }
    }

    // Returns the targets that the request must not be sent to. Targets that do not answer are
    // excluded unless there is no other.
    fn excluded_targets(
        &self,
        call: &RoutedRequest,
        history: &SendHistory,
    ) -> Vec<TargetIncarnation> {
        let targets = call.view.service_targets(&call.service.name);
        let turns = self.turn_offers(targets, call.turn_terms());
        let usable = self.usable_plain(call, history, &turns);
        let now = clock::mono_now();
        let core = self.core.borrow();
        let answers = |id: &TargetIncarnation| !core.health.view(id, now).avoided;
        let any_answers = usable.iter().any(|target| answers(&target.id));
        let is_excluded = |target: &&Arc<TargetRecord>| {
            !usable.iter().any(|known| known.id == target.id)
                || (any_answers && !answers(&target.id))
        };
        let excluded = targets.iter().filter(is_excluded);
        excluded.map(|target| target.id.clone()).collect()
    }

    fn granted_target(
        &self,
        call: &RoutedRequest,
        history: &SendHistory,
        target: &TargetIncarnation,
    ) -> Option<Arc<TargetRecord>> {
        let targets = call.view.service_targets(&call.service.name);
        let turns = self.turn_offers(targets, call.turn_terms());
        let mut usable = self.usable_plain(call, history, &turns).into_iter();
        usable.find(|known| known.id == *target).cloned()
    }
}

fn outcome_name(answer: Option<&TicketAnswer>) -> &'static str {
    match answer {
        Some(TicketAnswer::Granted(_)) => "granted",
        Some(TicketAnswer::Refused { reason, .. }) => reason.as_str(),
        Some(TicketAnswer::Queued) | None => "unanswered",
    }
}

fn refusal_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Late => {
            "the targets of the service are full for longer than the request may wait; retry after the stated time"
        }
        RefusalReason::Yielded | RefusalReason::WorkspaceShare => {
            "the targets of the service serve other requests first; retry after the stated time"
        }
    }
}
