//! Routes one caller's request and returns its answer. Requests to plain services are
//! forwarded here, generation requests in [`crate::gateway::generate`].

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::{CONTENT_LENGTH, EXPECT, HOST};
use http::request::Parts;
use hyper::body::Incoming;
use rand::Rng;
use tokio::time::Instant;

use crate::clock;
use crate::gateway::budget::RetryCause;
use crate::gateway::call::{InFlightGuard, RoutedRequest, SendCounts, SendHistory};
use crate::gateway::centre_traffic::CentreTraffic;
use crate::gateway::client::{self, BodyError, OutgoingRequest};
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::health::SendResult;
use crate::gateway::handover::HandoverOrigin;
use crate::gateway::model::{RouteRule, ServiceRule, TargetRecord};
use crate::gateway::plain_queue::ask::PlainPermit;
use crate::gateway::plain_queue::owner::TicketEnd;
use crate::gateway::port::{SendMode, SendOrder};
use crate::gateway::rate_limits::late_turns;
use crate::gateway::reply::{Failure, FailureKind, Reply, strip_connection_headers, whole_reply};
use crate::gateway::routes::{RouteTable, choose_service};
use crate::gateway::sending::{SendOutcome, TargetAnswer};
use crate::names::ServiceName;
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::tracker::TurnOffers;

/// Retry time after a refusal because no configuration or target is available.
const NOT_READY_WAIT: Duration = Duration::from_millis(250);
/// Largest answer of a plain service, in bytes; it is buffered until complete.
pub(super) const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Time after which an unanswered idempotent request is cancelled and sent to another
/// target, as a multiple of the route's latency objective: it is late by then, and can
/// still be served before its deadline.
const ATTEMPT_TIMEOUT_OBJECTIVES: u32 = 3;
/// Maximum number of targets, per request, that are unreachable or at which it arrives
/// misdirected.
const MAX_UNSENT_ATTEMPTS: usize = 3;

impl Gateway {
    /// Serves one request and logs a failure.
    pub async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        self.serve_from(request, None).await
    }

    /// Serves one request that a caller sent, or that another daemon hands over.
    pub(super) async fn serve_from(
        self: Rc<Self>,
        request: Request<Incoming>,
        origin: Option<HandoverOrigin>,
    ) -> Reply {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let is_handed_over = origin.is_some();
        let begun_at = origin.as_ref().and_then(|origin| origin.software.clone());
        let software = begun_at.map_or_else(OnceCell::new, OnceCell::from);
        match self.admit(head, body, arrived).await {
            Err(failure) => {
                self.log_failure("", "", &failure, arrived);
                if is_handed_over {
                    return self.handover_failure(&failure, false);
                }
                failure.reply()
            }
            Ok(call) => {
                let call = RoutedRequest {
                    origin,
                    software,
                    ..call
                };
                self.run(call).await
            }
        }
    }

    async fn run(self: Rc<Self>, call: RoutedRequest) -> Reply {
        let call = Rc::new(call);
        if let Err(refusal) = self.check_quarantine(&call) {
            self.log_failure(&call.caller.id, &call.route.name, &refusal, call.arrived);
            return refusal.reply();
        }
        // The daemon that it comes from has counted it.
        if call.origin.is_none() {
            self.budget
                .borrow_mut()
                .note_request(&call.service.name, clock::mono_now());
        }
        let mut history = SendHistory::default();
        match self.answer(&call, &mut history).await {
            Ok(reply) => reply,
            Err(failure) => {
                self.log_failure(&call.caller.id, &call.route.name, &failure, call.arrived);
                if call.origin.is_some() {
                    let was_offered =
                        !history.sent.is_empty() || !self.is_cut_off(&call.service.name);
                    return self.handover_failure(&failure, was_offered);
                }
                failure.reply()
            }
        }
    }

    /// Returns the refusal of a request whose service this daemon cannot reach.
    pub(super) fn check_reach(&self, service: &ServiceName) -> Result<(), Failure> {
        if !self.is_cut_off(service) {
            return Ok(());
        }
        let reason = "this daemon reaches no target of the service; retry later or elsewhere";
        Err(Failure::refused(reason, NOT_READY_WAIT))
    }

    // Sends a request to targets, or hands it over if this daemon reaches none.
    async fn answer(
        self: &Rc<Self>,
        call: &Rc<RoutedRequest>,
        history: &mut SendHistory,
    ) -> Result<Reply, Failure> {
        self.fix_software(call).await?;
        self.await_seat(call).await;
        let generates = call.service.engine.is_some() && call.caller.prompt.is_some();
        let answered = if let Err(refusal) = self.check_reach(&call.service.name) {
            Err(refusal)
        } else if generates {
            self.generate(call, history).await
        } else {
            self.forward_plain(call, history).await
        };
        match answered {
            Err(failure) if self.may_hand_over(call, history) => {
                let resume_after = call.caller.resume_after;
                let reply = self.hand_over(call, history, resume_after, failure).await?;
                // The other daemon counts the start of a request that no target had received.
                if generates && !history.sent.is_empty() {
                    self.record_start(call);
                }
                Ok(reply)
            }
            answered => answered,
        }
    }

    fn log_failure(&self, id: &str, route: &str, failure: &Failure, arrived: Instant) {
        metrics::counter!("pistachiowick_gateway_answers_total", "outcome" => failure.kind.as_str())
            .increment(1);
        log::info!(
            request = id,
            route = route,
            outcome = failure.kind.as_str(),
            reason = failure.reason.as_str(),
            retry_after_ms = failure.retry_after.map_or(0, |w| w.as_millis() as u64),
            took_ms = arrived.elapsed().as_millis() as u64;
            "request failed in the gateway"
        );
    }

    async fn admit(
        &self,
        head: Parts,
        body: Incoming,
        arrived: Instant,
    ) -> Result<RoutedRequest, Failure> {
        let caller = (self.ports.wire.decode_caller)(&head.headers)
            .map_err(|error| Failure::new(FailureKind::BadRequest, error.to_string()))?;
        let view = self.view();
        let routes = view
            .routes
            .clone()
            .filter(|_| view.targets_known)
            .ok_or_else(|| Failure::refused("no configuration yet; retry later", NOT_READY_WAIT))?;
        let host = host_of(&head)?;
        let (mut route, service) = self.route(&routes, &host, &head)?;
        let access = self.check_access(&routes, &mut route, &caller)?;
        let timeout = caller.timeout.unwrap_or(route.time_limit);
        let deadline = arrived + timeout.min(route.time_limit);
        let body = read_request_body(body, &routes, deadline).await?;
        let mut headers = head.headers;
        strip_connection_headers(&mut headers);
        headers.remove(CONTENT_LENGTH);
        headers.remove(EXPECT);
        Ok(RoutedRequest {
            view,
            route,
            service,
            caller,
            access,
            request: OutgoingRequest {
                method: head.method,
                uri: head.uri,
                headers,
                body,
            },
            host,
            digest: OnceCell::new(),
            parts: OnceCell::new(),
            is_probe: Cell::new(false),
            origin: None,
            software: OnceCell::new(),
            sends: SendCounts::default(),
            delay: Default::default(),
            arrived,
            deadline,
        })
    }

    fn route(
        &self,
        routes: &RouteTable,
        host: &str,
        head: &Parts,
    ) -> Result<(RouteRule, ServiceRule), Failure> {
        let path = head.uri.path();
        let no_route = || {
            let version = routes.version;
            let reason = format!("no route matches path {path} in configuration version {version}");
            Failure::new(FailureKind::NoRoute, reason)
        };
        let route = routes.find(host, path).ok_or_else(no_route)?;
        let draw = self.rng.borrow_mut().random::<f64>();
        let service = choose_service(route, draw).and_then(|name| routes.service(name));
        let service = service.ok_or_else(no_route)?;
        Ok((route.clone(), service.clone()))
    }

    async fn forward_plain(
        self: &Rc<Self>,
        call: &RoutedRequest,
        history: &mut SendHistory,
    ) -> Result<Reply, Failure> {
        let mut start_recorded = false;
        let mut last = Err(Failure::refused(
            "no target of the service is available; retry later",
            NOT_READY_WAIT,
        ));
        while let Some(target) = self.choose_plain(call, history) {
            let permit = match self.plain_permit(call, history).await {
                Ok(permit) => permit,
                Err(refusal) => {
                    // After a send that may have run, the request must not be refused.
                    if !history.may_have_run {
                        return Err(refusal);
                    }
                    break;
                }
            };
            let (target, mut ticket) = match permit {
                PlainPermit::Direct => (target, None),
                PlainPermit::Unanswered => match self.choose_plain(call, history) {
                    Some(target) => (target, None),
                    None => break,
                },
                PlainPermit::Granted(ticket, granted) => (granted, Some(ticket)),
            };
            let can_retry = history.may_send_after_next(call) && call.route.retry.may_retry();
            let sent = Instant::now();
            let attempt = self.send_plain(&target, call, can_retry).await;
            if matches!(attempt, PlainOutcome::Refused(_)) {
                self.note_plain_full(call, &target.id);
            }
            if let Some(ticket) = &mut ticket {
                ticket.set_end(self.ticket_end(&attempt, &target.id, sent));
            }
            drop(ticket);
            let retry = match &attempt {
                PlainOutcome::Whole(_) => false,
                PlainOutcome::FailedWhole(_) | PlainOutcome::Unclear(_) => {
                    history.sent.push(target.id.clone());
                    history.may_have_run = true;
                    can_retry && self.take_plain_retry(call, history, RetryCause::Unclear)
                }
                PlainOutcome::Refused(_) => {
                    history.sent.push(target.id.clone());
                    history.may_send(call)
                        && self.take_plain_retry(call, history, RetryCause::Refused)
                }
                PlainOutcome::NotSent(_) => {
                    history.unreached.push(target.id.clone());
                    history.unreached.len() < MAX_UNSENT_ATTEMPTS && Instant::now() < call.deadline
                }
                // Another target received the request, so the next send is a retry.
                PlainOutcome::Misdirected(_) => {
                    history.unreached.push(target.id.clone());
                    history.unreached.len() < MAX_UNSENT_ATTEMPTS
                        && self.take_retry(call, RetryCause::Misdirected)
                }
            };
            if !attempt.did_not_run() && !std::mem::replace(&mut start_recorded, true) {
                self.record_start(call);
            }
            // After a send that may have run, a later refusal must not become the answer.
            if !(history.may_have_run && attempt.did_not_run()) {
                last = attempt.into_result(call);
            }
            if !retry {
                break;
            }
        }
        last.map_err(|failure| {
            let refusal = self.backoff_refusal(call, history);
            let refusal = refusal.or_else(|| self.no_turn_refusal(call, history));
            refusal.unwrap_or(failure)
        })
    }

    // Returns what the end of a granted request says about its target.
    fn ticket_end(
        &self,
        attempt: &PlainOutcome,
        target: &TargetIncarnation,
        sent: Instant,
    ) -> TicketEnd {
        match attempt {
            PlainOutcome::Whole(_) => TicketEnd::Answered(sent.elapsed().as_secs_f64() * 1_000.0),
            PlainOutcome::Refused(_) if !self.is_backing_off(target) => TicketEnd::Full,
            _ => TicketEnd::Other,
        }
    }

    // Takes a retry if there is another target to send the request to.
    fn take_plain_retry(
        &self,
        call: &RoutedRequest,
        history: &SendHistory,
        cause: RetryCause,
    ) -> bool {
        self.choose_plain(call, history).is_some() && self.take_retry(call, cause)
    }

    async fn send_plain(
        self: &Rc<Self>,
        target: &TargetRecord,
        call: &RoutedRequest,
        can_retry: bool,
    ) -> PlainOutcome {
        let sent = Instant::now();
        let deadline = if can_retry {
            sent + call.route.objective * ATTEMPT_TIMEOUT_OBJECTIVES
        } else {
            call.deadline
        };
        let order = plain_order(target, call);
        let _in_flight = InFlightGuard::begin(self, &target.id, 0, 0);
        let running = self.core.borrow().load.total(&target.id).running;
        let outcome = self
            .send(target, call.plan(deadline, call.turn_terms()), &order)
            .await;
        let attempt = self.finish_plain(target, call, (outcome, running)).await;
        call.log_send(target, "run", attempt.as_str(), sent);
        attempt
    }

    /// Takes a retry from the budget for a request that has time left and is not quarantined.
    /// Returns whether it may be sent again.
    #[must_use]
    pub fn take_retry(&self, call: &RoutedRequest, cause: RetryCause) -> bool {
        if self.is_quarantined(call) || Instant::now() >= call.deadline {
            return false;
        }
        self.update_budget();
        let now = clock::mono_now();
        let service = &call.service.name;
        let mut budget = self.budget.borrow_mut();
        let taken = budget.spend(service, now);
        if taken {
            call.sends.note_retry();
        }
        let outcome = if taken { "taken" } else { "denied" };
        metrics::counter!("pistachiowick_retries_total", "service" => service.to_string(), "cause" => cause.as_str(), "outcome" => outcome)
            .increment(1);
        log::info!(
            request = call.caller.id.as_str(),
            service = service.as_str(),
            cause = cause.as_str(),
            share = budget.share(now);
            "retry {outcome}"
        );
        taken
    }

    async fn finish_plain(
        &self,
        target: &TargetRecord,
        call: &RoutedRequest,
        (outcome, running): (SendOutcome, u32),
    ) -> PlainOutcome {
        let answer = match outcome {
            SendOutcome::Answered(answer) => answer,
            SendOutcome::Refused(reason) => return PlainOutcome::Refused(reason),
            SendOutcome::WrongTarget => {
                return PlainOutcome::Misdirected(format!(
                    "another target answered at the address of {}",
                    target.id
                ));
            }
            SendOutcome::WrongWork => {
                return PlainOutcome::Misdirected(format!(
                    "{} now does another kind of work",
                    target.id
                ));
            }
            SendOutcome::NotSent(reason) => return PlainOutcome::NotSent(reason),
            SendOutcome::Unclear(reason) => return PlainOutcome::Unclear(reason),
        };
        let TargetAnswer {
            head,
            body,
            connection,
            times,
            sent_at,
        } = *answer;
        let memory = &self.answer_memory;
        match client::read_answer(body, MAX_ANSWER_BYTES, call.deadline, memory).await {
            Err(error) => {
                self.record_body_error(call, target, &error);
                PlainOutcome::Unclear(format!("{}: {error}", target.id))
            }
            Ok(body) => {
                self.count_traffic(CentreTraffic::Answer, &target.centre, body.len());
                let failed = head.status.is_server_error();
                if !failed {
                    self.note_result(target, SendResult::Answered);
                } else if !self.is_backing_off(&target.id) {
                    self.note_result(target, SendResult::Failed);
                }
                self.record_answer(target, times);
                if head.status.is_success() {
                    self.note_plain_time(target, running, sent_at.elapsed());
                    self.record_completion(call, target, &head.headers);
                }
                connection.return_to_pool(&head);
                let reply = whole_reply(head, body);
                if failed {
                    PlainOutcome::FailedWhole(reply)
                } else {
                    PlainOutcome::Whole(reply)
                }
            }
        }
    }

    fn note_plain_time(&self, target: &TargetRecord, running: u32, taken: Duration) {
        let taken_ms = taken.as_secs_f64() * 1_000.0;
        let capacities = &mut self.core.borrow_mut().capacities;
        capacities.note_plain(target, running, taken_ms, clock::mono_now());
    }

    fn choose_plain(
        &self,
        call: &RoutedRequest,
        history: &SendHistory,
    ) -> Option<Arc<TargetRecord>> {
        let targets = call.view.service_targets(&call.service.name);
        let turns = self.turn_offers(targets, call.turn_terms());
        let usable = self.usable_plain(call, history, &turns);
        let mut rng = self.rng.borrow_mut();
        let core = self.core.borrow();
        let request = (&turns, call.request.body.len());
        let now = clock::mono_now();
        core.choose_plain_target(usable.into_iter(), request, || rng.random(), now)
    }

    // Returns the targets that a request may be sent to now.
    pub(super) fn usable_plain<'a>(
        &self,
        call: &'a RoutedRequest,
        history: &SendHistory,
        turns: &TurnOffers,
    ) -> Vec<&'a Arc<TargetRecord>> {
        let current = self.view();
        let late: Vec<&TargetIncarnation> = late_turns(turns, call.turn_terms()).collect();
        let targets = call.view.service_targets(&call.service.name).iter();
        let usable = targets.filter(|target| {
            let id = &target.id;
            !history.has(id)
                && current.find(id).is_some_and(|target| call.allows(target))
                && !late.contains(&id)
        });
        usable.collect()
    }
}

fn plain_order(target: &TargetRecord, call: &RoutedRequest) -> SendOrder {
    SendOrder {
        target: target.id.clone(),
        time_left: call.time_left(),
        mode: SendMode::Run,
        resume_after: call.caller.resume_after,
        fetch_from: None,
        rank: None,
        access: call.access.clone(),
    }
}

enum PlainOutcome {
    Whole(Reply),
    FailedWhole(Reply),
    Refused(String),
    NotSent(String),
    // Another target, or an engine in another stage, refused the request.
    Misdirected(String),
    Unclear(String),
}

impl PlainOutcome {
    fn did_not_run(&self) -> bool {
        matches!(
            self,
            Self::Refused(_) | Self::NotSent(_) | Self::Misdirected(_)
        )
    }

    fn into_result(self, call: &RoutedRequest) -> Result<Reply, Failure> {
        match self {
            Self::Whole(reply) | Self::FailedWhole(reply) => Ok(reply),
            Self::Refused(reason) | Self::NotSent(reason) | Self::Misdirected(reason) => {
                Err(Failure::refused(reason, NOT_READY_WAIT))
            }
            Self::Unclear(reason) => Err(lost_answer(call, reason)),
        }
    }

    fn as_str(&self) -> &'static str {
        match self {
            Self::Whole(_) => "answered",
            Self::FailedWhole(_) => "failed",
            Self::Refused(_) => "refused",
            Self::NotSent(_) => "not_sent",
            Self::Misdirected(_) => "wrong_target",
            Self::Unclear(_) => "unclear",
        }
    }
}

/// Returns the failure of a request that may have run.
#[must_use]
pub fn lost_answer(call: &RoutedRequest, reason: String) -> Failure {
    if Instant::now() >= call.deadline {
        Failure::new(FailureKind::OutOfTime, reason)
    } else {
        Failure::new(FailureKind::Unclear, reason)
    }
}

fn host_of(head: &Parts) -> Result<String, Failure> {
    let mut hosts = head.headers.get_all(HOST).iter();
    let host = hosts.next().and_then(|value| value.to_str().ok());
    let (Some(host), None) = (host, hosts.next()) else {
        let reason = "the request must have exactly one Host header";
        return Err(Failure::new(FailureKind::BadRequest, reason));
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Ok(name.to_ascii_lowercase())
}

async fn read_request_body(
    body: Incoming,
    routes: &RouteTable,
    deadline: Instant,
) -> Result<Bytes, Failure> {
    let limit = routes.limits.max_body_bytes;
    if http_body::Body::is_end_stream(&body) {
        return Ok(Bytes::new());
    }
    let announced = http_body::Body::size_hint(&body).lower();
    if announced > limit as u64 {
        return Err(too_large(limit));
    }
    match client::read_body(body, limit, deadline).await {
        Ok(bytes) => Ok(bytes),
        Err(error @ BodyError::Slow) => {
            Err(Failure::new(FailureKind::SlowCaller, error.to_string()))
        }
        Err(BodyError::TooLong(_)) => Err(too_large(limit)),
        Err(BodyError::Cut(reason)) => Err(Failure::new(FailureKind::BadRequest, reason)),
    }
}

fn too_large(limit: usize) -> Failure {
    let reason =
        format!("the request body is larger than the limit of {limit} bytes; send a smaller one");
    Failure::new(FailureKind::TooLarge, reason)
}
