//! One send of a caller's request to one target, over a kept or a new connection.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use http::response::Parts;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::clock;
use crate::crashes::tracker::ExchangeTimes;
use crate::gateway::call::RoutedRequest;
use crate::gateway::client::{self, BodyError, HttpConnection, OutgoingRequest, SendError};
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::health::{HealthChange, SendResult};
use crate::gateway::model::TargetRecord;
use crate::gateway::pool::LinkPool;
use crate::gateway::port::{SendMode, SendOrder, TargetQuery};
use crate::names::MonoTime;
use crate::target_incarnation::TargetIncarnation;

/// Longest time for a new connection. Connections take a few milliseconds; a
/// target that needs longer is away, and the request can still go elsewhere.
const CONNECT_WAIT: Duration = Duration::from_millis(400);
/// Longest idle time of a connection for a request that may not be repeated: if
/// the target dropped the connection meanwhile, the request would be lost.
const SURE_IDLE: Duration = Duration::from_millis(1_500);

/// Time to free a kept prompt; it expires by itself after some seconds.
const FREE_WAIT: Duration = Duration::from_millis(800);
/// Largest answer to the freeing of a prompt, in bytes.
const MOST_FREE_ANSWER: usize = 16 * 1024;

/// Connections to one target that a daemon may always have.
const FEWEST_CONNECTIONS: u32 = 2;

/// What became of a send.
#[derive(Debug)]
pub enum SendOutcome {
    /// The target answered, with a success or a failure of its own.
    Answered(Box<TargetAnswer>),
    /// The target states that it did not run the request.
    Refused(String),
    /// Another target answered at the address and did not run the request.
    WrongTarget,
    /// The target meant does other work now and did not run the request.
    WrongWork,
    /// No byte left.
    NotSent(String),
    /// It may have run.
    Unclear(String),
}

impl SendOutcome {
    /// Returns the outcome's name in logs.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused(_) => "refused",
            Self::WrongTarget => "wrong_target",
            Self::WrongWork => "wrong_work",
            Self::NotSent(_) => "not_sent",
            Self::Unclear(_) => "unclear",
        }
    }
}

/// The head of an answer, with the body still to be read.
#[derive(Debug)]
pub struct TargetAnswer {
    /// Status and headers.
    pub head: Parts,
    /// Body as it arrives.
    pub body: Incoming,
    /// The connection that it arrives on.
    pub lease: PooledConnection,
    /// What it takes for a proof that the target lives.
    pub times: ExchangeTimes,
}

/// A connection in use. Dropped before [`PooledConnection::give_back`] it is closed, by
/// which the target learns that nobody waits any more.
#[derive(Debug)]
pub struct PooledConnection {
    link: Option<HttpConnection>,
    record: Rc<TargetRecord>,
    pool: Rc<RefCell<LinkPool>>,
}

impl PooledConnection {
    fn new(pool: &Rc<RefCell<LinkPool>>, record: &TargetRecord) -> Self {
        pool.borrow_mut().note_busy(&record.id, true);
        Self {
            link: None,
            record: Rc::new(record.clone()),
            pool: pool.clone(),
        }
    }

    fn opened(&self) -> Option<MonoTime> {
        self.link.as_ref().map(|link| link.opened)
    }

    /// Keeps the connection for later requests, after a whole answer.
    pub fn give_back(mut self, head: &Parts) {
        if let Some(link) = self.link.take() {
            let target = &self.record.id;
            self.pool.borrow_mut().put(target, link, &head.headers);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.pool.borrow_mut().note_busy(&self.record.id, false);
    }
}

/// Makes the request of a call that carries no caller's request.
#[must_use]
pub fn query_request(target: &TargetRecord, query: TargetQuery) -> OutgoingRequest {
    let mut headers = query.headers;
    if let Ok(host) = target.address.to_string().parse() {
        headers.insert(http::header::HOST, host);
    }
    OutgoingRequest {
        method: query.method,
        // The adapter's paths are constants and names that engines gave.
        uri: query.path.parse().unwrap_or_default(),
        headers,
        body: query.body,
    }
}

/// A caller's request as it is sent on, and until when.
#[derive(Clone, Copy)]
pub struct SendPlan<'a> {
    /// The caller's request.
    pub call: &'a RoutedRequest,
    /// Until when the head of the answer is waited for.
    pub until: Instant,
}

impl Gateway {
    /// Sends a request to a target and waits for the head of its answer.
    pub async fn send(
        &self,
        target: &TargetRecord,
        plan: SendPlan<'_>,
        order: &SendOrder,
    ) -> SendOutcome {
        if !self.view().holds(&target.id) {
            // It may have announced its departure since it was chosen.
            return SendOutcome::NotSent(format!("{} has left", target.id));
        }
        if self.is_held(plan.call) {
            return SendOutcome::NotSent("its work is held".to_owned());
        }
        if !self.may_still_send(&order.access) {
            return SendOutcome::NotSent("the caller's key cannot be confirmed".to_owned());
        }
        let mut request = plan.call.request.clone();
        request.headers = (self.ports.wire.encode_send)(&plan.call.request.headers, order);
        let mut lease = PooledConnection::new(&self.pool, target);
        let sent = clock::mono_now();
        let outcome = tokio::select! {
            outcome = self.send_on(&mut lease, &request, plan) => outcome,
            // The target may not have begun it, and is spared then.
            () = self.until_quarantined(plan.call) => {
                return SendOutcome::Unclear("given up, as its work is held now".to_owned());
            }
        };
        let outcome = match outcome {
            Ok(response) => self.judge(target, plan.call, order, response, (lease, sent)),
            Err(SendError::NotSent(reason)) => SendOutcome::NotSent(reason),
            Err(SendError::Unclear(reason)) => SendOutcome::Unclear(reason),
            Err(SendError::Cut(reason)) => {
                self.record_connection_loss(plan.call, target, &reason);
                SendOutcome::Unclear(reason)
            }
        };
        self.note_outcome(target, &outcome);
        outcome
    }

    async fn send_on(
        &self,
        lease: &mut PooledConnection,
        request: &OutgoingRequest,
        plan: SendPlan<'_>,
    ) -> Result<http::Response<Incoming>, SendError> {
        let address = lease.record.address;
        while let Some(mut kept) = self.take_kept(&lease.record.id) {
            if !plan.call.route.repeat.may_retry() && kept.idle_since.elapsed() > SURE_IDLE {
                continue;
            }
            match kept.send(request, plan.until).await {
                // Closed before the first byte: a new connection is no second send.
                Err(SendError::NotSent(_)) => {}
                other => {
                    lease.link = Some(kept);
                    return other;
                }
            }
        }
        if self.pool.borrow().open(&lease.record.id) > self.connection_share(&lease.record) {
            return Err(SendError::NotSent(format!(
                "{address} has this daemon's share of connections"
            )));
        }
        let until = plan.until.min(Instant::now() + CONNECT_WAIT);
        metrics::counter!("pistachiowick_target_connections_total").increment(1);
        let mut link = HttpConnection::open(address, until).await?;
        let answer = link.send(request, plan.until).await;
        lease.link = Some(link);
        answer
    }

    // Targets reset connections beyond what they accept from all daemons together, and
    // the requests on them with it. Staying within one's part needs no message.
    fn connection_share(&self, target: &TargetRecord) -> u32 {
        let view = self.view();
        let routes = view.routes.as_ref();
        let rule = routes.and_then(|routes| routes.service(&target.service));
        let accepted = rule.map_or(u32::MAX, |rule| rule.max_connections);
        let daemons = u32::try_from(self.daemon_count()).unwrap_or(u32::MAX);
        (accepted / daemons).max(FEWEST_CONNECTIONS)
    }

    // A step of its own, so that the pool is not borrowed across a wait.
    fn take_kept(&self, target: &TargetIncarnation) -> Option<HttpConnection> {
        self.pool.borrow_mut().take(target, Instant::now())
    }

    fn judge(
        &self,
        target: &TargetRecord,
        call: &RoutedRequest,
        order: &SendOrder,
        response: http::Response<Incoming>,
        (lease, sent): (PooledConnection, MonoTime),
    ) -> SendOutcome {
        let (head, body) = response.into_parts();
        let marks = (self.ports.wire.decode_answer)(head.status, &head.headers);
        let foreign = marks.request_id.as_deref();
        if foreign.is_some_and(|answered| answered != call.caller.id) {
            return SendOutcome::Unclear(format!("{} answered another request", target.id));
        }
        if marks.misdirected {
            // An engine that changed its stage refuses in the same way as another target
            // at its address. It has not left: taking it for gone kept it idle for minutes.
            let by_other = marks.answered_by.is_some_and(|by| by != *target.id.name());
            return if by_other {
                SendOutcome::WrongTarget
            } else {
                SendOutcome::WrongWork
            };
        }
        if marks.not_run {
            // The short body of a refusal is not awaited; the connection goes with it.
            return SendOutcome::Refused(format!("{} said {}", target.id, head.status));
        }
        // The answer to a reading is for this daemon alone; callers get signed ones only.
        let is_run = order.mode != SendMode::ReadPrompt;
        if is_run && head.status.is_success() && !marks.signed {
            return SendOutcome::Unclear(format!("{} did not sign its answer", target.id));
        }
        let times = ExchangeTimes {
            opened: lease.opened().unwrap_or(sent),
            sent,
        };
        SendOutcome::Answered(Box::new(TargetAnswer {
            head,
            body,
            lease,
            times,
        }))
    }

    fn note_outcome(&self, target: &TargetRecord, outcome: &SendOutcome) {
        let result = match outcome {
            // Whether the answer is whole is known at its end only.
            // Nor does an engine fail that was asked for what it does no more.
            SendOutcome::Answered(_) | SendOutcome::WrongWork => return,
            SendOutcome::Refused(_) | SendOutcome::WrongTarget => SendResult::Failed,
            SendOutcome::NotSent(_) | SendOutcome::Unclear(_) => SendResult::Silent,
        };
        self.note_result(target, result);
        if matches!(outcome, SendOutcome::WrongTarget) {
            self.notify_departed(&target.id);
        }
    }

    /// Frees a prompt that an engine keeps and that nobody will take.
    pub async fn release_handle(&self, reader: &TargetRecord, name: &str) {
        let query = (self.ports.wire.release_handle)(name);
        let until = Instant::now() + FREE_WAIT;
        let request = query_request(reader, query);
        let mut lease = PooledConnection::new(&self.pool, reader);
        let link = match self.take_kept(&reader.id) {
            Some(link) => Ok(link),
            None => HttpConnection::open(reader.address, until).await,
        };
        let called = match link {
            Ok(link) => {
                let link = lease.link.insert(link);
                client::call(link, &request, MOST_FREE_ANSWER, until).await
            }
            Err(fault) => Err(fault),
        };
        match called {
            Ok((head, _)) => lease.give_back(&head),
            Err(fault) => {
                log::debug!(target_id = reader.id.as_str(); "kept prompt not freed, it expires: {fault}");
            }
        }
    }

    /// Notes that the body of a target's answer was not read to its end.
    pub fn record_body_error(
        &self,
        call: &RoutedRequest,
        target: &TargetRecord,
        fault: &BodyError,
    ) {
        if let BodyError::Cut(reason) = fault {
            self.record_connection_loss(call, target, reason);
        }
        self.note_result(target, SendResult::Failed);
    }

    /// Notes what came of a send, and logs a target that is avoided from now on.
    pub fn note_result(&self, target: &TargetRecord, result: SendResult) {
        let now = clock::mono_now();
        if self.uses_remote_placement() {
            self.observed_results
                .borrow_mut()
                .note_result(&target.id, result);
        }
        let changed = self.core.borrow_mut().note_result(&target.id, result, now);
        match changed {
            Some(HealthChange::Avoided) => {
                log::warn!(target_id = target.id.as_str(), address = target.address.to_string(); "target gives no answers; avoided for a while");
            }
            Some(HealthChange::Proved) => {
                log::info!(target_id = target.id.as_str(), address = target.address.to_string(); "target answers again");
            }
            None => {}
        }
    }
}
