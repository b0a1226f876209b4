//! Routes one caller's request and returns its answer. Requests to plain services are
//! forwarded in [`crate::gateway::plain`], generation requests in [`crate::gateway::generate`].

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
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
use crate::gateway::call::{RoutedRequest, SendCounts, SendHistory};
use crate::gateway::client::{self, BodyError, OutgoingRequest};
use crate::gateway::daemon::Gateway;
use crate::gateway::handover::HandoverOrigin;
use crate::gateway::model::{RouteRule, ServiceRule};
use crate::gateway::reply::{Failure, FailureKind, Reply, strip_connection_headers};
use crate::gateway::routes::{RouteTable, choose_service};
use crate::names::ServiceName;

/// Retry time after a refusal because no configuration or target is available.
pub(super) const NOT_READY_WAIT: Duration = Duration::from_millis(250);
/// Largest answer of a plain service, in bytes; it is buffered until complete.
pub(super) const MAX_ANSWER_BYTES: usize = 4 << 20;

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
