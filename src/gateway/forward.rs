//! Takes one caller's request through routing to its answer; plain services here,
//! model engines in [`crate::gateway::generate`].

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
use crate::gateway::call::{InFlightGuard, RoutedRequest, SendHistory};
use crate::gateway::client::{self, BodyError, OutgoingRequest};
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::health::SendResult;
use crate::gateway::fleet::FleetView;
use crate::gateway::model::{RouteRule, ServiceRule, TargetRecord};
use crate::gateway::port::{SendMode, SendOrder};
use crate::gateway::reply::{Failure, FailureKind, Reply, strip_connection_headers, whole_reply};
use crate::gateway::routes::{RouteTable, choose_service};
use crate::gateway::sending::{SendOutcome, TargetAnswer};
use crate::names::ServiceName;

/// Time to come back after a refusal for want of a configuration or a target.
const NOTHING_YET_WAIT: Duration = Duration::from_millis(250);
/// Largest answer of a plain service that is held until it is whole, in bytes.
const MOST_ANSWER_BYTES: usize = 4 << 20;
/// Answer times above which an idempotent request is asked for elsewhere, as a
/// multiple of the route's objective: late already, and still in time to be served.
const HEDGE_OBJECTIVES: u32 = 3;
/// Sends that may fail before their first byte, for one request.
const MOST_NOT_SENT: usize = 3;

impl Gateway {
    /// Serves one request and logs how it ended.
    pub async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        match self.admit(head, body, arrived).await {
            Err(failure) => {
                self.log_failure("", "", &failure, arrived);
                failure.reply()
            }
            Ok(call) => self.run(call).await,
        }
    }

    async fn run(self: Rc<Self>, call: RoutedRequest) -> Reply {
        let call = Rc::new(call);
        if let Err(refusal) = self.check_quarantine(&call) {
            self.log_failure(&call.caller.id, &call.route.name, &refusal, call.arrived);
            return refusal.reply();
        }
        self.budget
            .borrow_mut()
            .note_request(&call.service.name, clock::mono_now());
        let generates = call.service.engine.is_some() && call.caller.prompt.is_some();
        let answered = if generates {
            self.clone().generate(call.clone()).await
        } else {
            self.forward_plain(&call).await
        };
        answered.unwrap_or_else(|failure| {
            self.log_failure(&call.caller.id, &call.route.name, &failure, call.arrived);
            failure.reply()
        })
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
            "request failed"
        );
    }

    async fn admit(
        &self,
        head: Parts,
        body: Incoming,
        arrived: Instant,
    ) -> Result<RoutedRequest, Failure> {
        let caller = (self.ports.wire.decode_caller)(&head.headers)
            .map_err(|fault| Failure::new(FailureKind::BadRequest, fault.to_string()))?;
        let view = self.view();
        let routes = view
            .routes
            .clone()
            .filter(|_| view.targets_known)
            .ok_or_else(|| Failure::refused("no configuration yet", NOTHING_YET_WAIT))?;
        let host = host_of(&head)?;
        let (mut route, service) = self.route(&routes, &host, &head)?;
        let access = self.check_access(&routes, &mut route, &caller)?;
        let patience = caller.patience.unwrap_or(route.time_limit);
        let due = arrived + patience.min(route.time_limit);
        let body = read_request_body(body, &routes, due).await?;
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
            on_trial: Cell::new(false),
            arrived,
            due,
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
            let reason = format!("no route for {path} in configuration {version}");
            Failure::new(FailureKind::NoRoute, reason)
        };
        let route = routes.find(host, path).ok_or_else(no_route)?;
        let draw = self.rng.borrow_mut().random::<f64>();
        let service = choose_service(route, draw).and_then(|name| routes.service(name));
        let service = service.ok_or_else(no_route)?;
        Ok((route.clone(), service.clone()))
    }

    async fn forward_plain(self: &Rc<Self>, call: &RoutedRequest) -> Result<Reply, Failure> {
        let mut trail = SendHistory::default();
        let mut begun = false;
        let mut last = Err(Failure::refused("no target is known", NOTHING_YET_WAIT));
        while let Some(target) = self.choose_plain(&call.view, &call.service.name, &trail) {
            let more = trail.may_add(call) && call.route.repeat.may_retry();
            let end = self.send_plain(&target, call, more).await;
            let again = match &end {
                PlainEnd::Whole(_) => false,
                PlainEnd::FailedWhole(_) | PlainEnd::Unclear(_) => {
                    trail.sent.push(target.id.clone());
                    trail.may_have_run = true;
                    more && self.may_retry(call)
                }
                PlainEnd::Refused(_) => {
                    trail.sent.push(target.id.clone());
                    trail.may_send(call) && self.may_retry(call)
                }
                PlainEnd::NotSent(_) => {
                    trail.unreached.push(target.id.clone());
                    trail.unreached.len() < MOST_NOT_SENT && Instant::now() < call.due
                }
                // It is no target of the request, but the request arrived there.
                PlainEnd::Astray(_) => {
                    trail.unreached.push(target.id.clone());
                    trail.unreached.len() < MOST_NOT_SENT && self.may_retry(call)
                }
            };
            if !end.says_not_run() && !std::mem::replace(&mut begun, true) {
                self.note_begun(&call.access);
            }
            if !(trail.may_have_run && end.says_not_run()) {
                last = end.into_result(call);
            }
            if !again {
                break;
            }
        }
        last
    }

    async fn send_plain(
        self: &Rc<Self>,
        target: &TargetRecord,
        call: &RoutedRequest,
        more: bool,
    ) -> PlainEnd {
        let sent = Instant::now();
        let until = if more {
            sent + call.route.objective * HEDGE_OBJECTIVES
        } else {
            call.due
        };
        let order = plain_order(target, call);
        let _work = InFlightGuard::begin(self, &target.id, 0, 0);
        let outcome = self.send(target, call.plan(until), &order).await;
        let end = self.finish_plain(target, call, outcome).await;
        call.log_send(target, "run", end.as_str(), sent);
        end
    }

    /// Takes a repeat from the budget for a request that has time left and is not held.
    #[must_use]
    pub fn may_retry(&self, call: &RoutedRequest) -> bool {
        if self.is_held(call) {
            return false;
        }
        let daemons = self.daemon_count();
        let mut budget = self.budget.borrow_mut();
        let service = &call.service.name;
        Instant::now() < call.due && budget.spend(service, daemons, clock::mono_now())
    }

    async fn finish_plain(
        &self,
        target: &TargetRecord,
        call: &RoutedRequest,
        outcome: SendOutcome,
    ) -> PlainEnd {
        let answer = match outcome {
            SendOutcome::Answered(answer) => answer,
            SendOutcome::Refused(reason) => return PlainEnd::Refused(reason),
            SendOutcome::WrongTarget => {
                return PlainEnd::Astray(format!("{} left its address", target.id));
            }
            SendOutcome::WrongWork => {
                return PlainEnd::Astray(format!("{} does other work now", target.id));
            }
            SendOutcome::NotSent(reason) => return PlainEnd::NotSent(reason),
            SendOutcome::Unclear(reason) => return PlainEnd::Unclear(reason),
        };
        let TargetAnswer {
            head,
            body,
            lease,
            times,
        } = *answer;
        match client::read_body(body, MOST_ANSWER_BYTES, call.due).await {
            Err(fault) => {
                self.record_body_error(call, target, &fault);
                PlainEnd::Unclear(format!("{}: {fault}", target.id))
            }
            Ok(body) => {
                let failed = head.status.is_server_error();
                let result = if failed {
                    SendResult::Failed
                } else {
                    SendResult::Answered
                };
                self.note_result(target, result);
                self.note_answered(target, times);
                if head.status.is_success() {
                    self.record_completion(call, &head.headers);
                }
                lease.give_back(&head);
                let reply = whole_reply(head, body);
                if failed {
                    PlainEnd::FailedWhole(reply)
                } else {
                    PlainEnd::Whole(reply)
                }
            }
        }
    }

    fn choose_plain(
        &self,
        view: &FleetView,
        service: &ServiceName,
        trail: &SendHistory,
    ) -> Option<Arc<TargetRecord>> {
        let newest = self.view();
        let mut rng = self.rng.borrow_mut();
        let untried = view
            .service_targets(service)
            .iter()
            .filter(|t| !trail.has(&t.id) && newest.holds(&t.id));
        let core = self.core.borrow();
        core.plain_target(untried, || rng.random(), clock::mono_now())
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

enum PlainEnd {
    Whole(Reply),
    FailedWhole(Reply),
    Refused(String),
    NotSent(String),
    // Another target answered at the address and did not run it.
    Astray(String),
    Unclear(String),
}

impl PlainEnd {
    fn says_not_run(&self) -> bool {
        matches!(self, Self::Refused(_) | Self::NotSent(_) | Self::Astray(_))
    }

    fn into_result(self, call: &RoutedRequest) -> Result<Reply, Failure> {
        match self {
            Self::Whole(reply) | Self::FailedWhole(reply) => Ok(reply),
            Self::Refused(reason) | Self::NotSent(reason) | Self::Astray(reason) => {
                Err(Failure::refused(reason, NOTHING_YET_WAIT))
            }
            Self::Unclear(reason) => Err(lost(call, reason)),
        }
    }

    fn as_str(&self) -> &'static str {
        match self {
            Self::Whole(_) => "answered",
            Self::FailedWhole(_) => "failed",
            Self::Refused(_) => "refused",
            Self::NotSent(_) => "not_sent",
            Self::Astray(_) => "wrong_target",
            Self::Unclear(_) => "unclear",
        }
    }
}

/// Failure for a request that may have run.
#[must_use]
pub fn lost(call: &RoutedRequest, reason: String) -> Failure {
    if Instant::now() >= call.due {
        Failure::new(FailureKind::OutOfTime, reason)
    } else {
        Failure::new(FailureKind::Unclear, reason)
    }
}

fn host_of(head: &Parts) -> Result<String, Failure> {
    let mut hosts = head.headers.get_all(HOST).iter();
    let host = hosts.next().and_then(|value| value.to_str().ok());
    let (Some(host), None) = (host, hosts.next()) else {
        let reason = "the request needs exactly one host header";
        return Err(Failure::new(FailureKind::BadRequest, reason));
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Ok(name.to_ascii_lowercase())
}

async fn read_request_body(
    body: Incoming,
    routes: &RouteTable,
    due: Instant,
) -> Result<Bytes, Failure> {
    let limit = routes.limits.body_bytes;
    if http_body::Body::is_end_stream(&body) {
        return Ok(Bytes::new());
    }
    let announced = http_body::Body::size_hint(&body).lower();
    if announced > limit as u64 {
        return Err(too_large(limit));
    }
    match client::read_body(body, limit, due).await {
        Ok(bytes) => Ok(bytes),
        Err(fault @ BodyError::Slow) => {
            Err(Failure::new(FailureKind::SlowCaller, fault.to_string()))
        }
        Err(BodyError::TooLong(_)) => Err(too_large(limit)),
        Err(BodyError::Cut(reason)) => Err(Failure::new(FailureKind::BadRequest, reason)),
    }
}

fn too_large(limit: usize) -> Failure {
    let reason = format!("the body is larger than {limit} bytes");
    Failure::new(FailureKind::TooLarge, reason)
}
