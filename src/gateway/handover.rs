//! Hands requests over to another daemon when this one reaches no target of their service,
//! and serves requests that other daemons hand over.
//!
//! A handed-over request keeps its identifier and is still one attempt of its caller: the
//! other daemon is told how many targets received it, and never hands it on. Daemons talk
//! over a port of their own, so a caller cannot claim that its request was handed over.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use indexmap::IndexMap;
use rand::seq::IndexedRandom;
use thiserror::Error;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout_at};

use crate::clock;
use crate::gateway::budget::RetryCause;
use crate::gateway::call::{RoutedRequest, SendHistory};
use crate::gateway::client::{self, HttpConnection, OutgoingRequest, SendError};
use crate::gateway::daemon::Gateway;
use crate::gateway::forward::{MAX_ANSWER_BYTES, lost_answer};
use crate::gateway::members::DaemonRecord;
use crate::gateway::reply::{
    AnswerTruncated, Failure, FailureKind, FrameStream, Reply, stream_reply, whole_reply,
};
use crate::gateway::software::exchange::MESSAGE;
use crate::gateway::software::starts::AttemptStart;
use crate::names::{DaemonId, MonoTime, ServiceName, SoftwareVersion};
use crate::target_incarnation::TargetIncarnation;

/// Daemon that hands a request over, its incarnation and the number of targets that received
/// the request.
pub(super) const ORIGIN: HeaderName = HeaderName::from_static("pistachiowick-origin");
/// Version of the software that a stream goes on at, in a request, and that it began at, in an
/// answer.
const SOFTWARE: HeaderName = HeaderName::from_static("pistachiowick-software");
/// States that a daemon cannot serve a request that was handed over, which has not run.
const NOT_SERVED: HeaderName = HeaderName::from_static("pistachiowick-not-served");
/// Daemons to which one request is offered.
const MAX_PEERS: usize = 4;
/// Daemons of the own data centre that come first among them.
const MAX_NEAR_PEERS: usize = 2;
/// Longest time to open a connection to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest idle time of a connection on which a request that must not be repeated is sent.
const MAX_IDLE_WITHOUT_RETRY: Duration = Duration::from_millis(1_500);
/// Time for which a daemon that could not serve a request of a service is not asked again.
const REFUSAL_RETENTION: Duration = Duration::from_millis(1_000);
/// Interval at which a daemon that has a request is checked for being reachable.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Largest body of an answer that states that a request was not served, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;

/// Where a handed-over request comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HandoverOrigin {
    /// Daemon that hands it over.
    pub daemon: DaemonId,
    /// Its incarnation, as in its record in the store.
    pub incarnation: u64,
    /// Number of targets that received the request.
    pub sends: u32,
    /// Version of the software that began its stream, if the caller may have an event of it.
    pub software: Option<SoftwareVersion>,
}

/// A handed-over request that does not state where it comes from.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the request does not state which daemon hands it over; callers use another port")]
pub struct OriginError;

impl TryFrom<&HeaderMap> for HandoverOrigin {
    type Error = OriginError;

    fn try_from(headers: &HeaderMap) -> Result<Self, Self::Error> {
        let text = headers.get(ORIGIN).and_then(|value| value.to_str().ok());
        let mut parts = text.ok_or(OriginError)?.splitn(3, ' ');
        let mut next = || parts.next().ok_or(OriginError);
        Ok(Self {
            incarnation: next()?.parse().map_err(|_| OriginError)?,
            sends: next()?.parse().map_err(|_| OriginError)?,
            daemon: DaemonId::from(next()?),
            software: software_of(headers),
        })
    }
}

fn software_of(headers: &HeaderMap) -> Option<SoftwareVersion> {
    let text = headers.get(SOFTWARE)?.to_str().ok()?;
    Some(SoftwareVersion::from(text))
}

/// Writes all but the version of the software, which has a header of its own.
impl TryFrom<&HandoverOrigin> for HeaderValue {
    type Error = OriginError;

    fn try_from(origin: &HandoverOrigin) -> Result<Self, Self::Error> {
        let HandoverOrigin {
            daemon,
            incarnation,
            sends,
            ..
        } = origin;
        let text = format!("{incarnation} {sends} {daemon}");
        Self::from_str(&text).map_err(|_| OriginError)
    }
}

/// Daemons that could not serve a request, by service, and when.
pub type PeerRefusals = IndexMap<(DaemonId, ServiceName), MonoTime>;

enum HandoverOutcome {
    Answered(Reply),
    // The other daemon did not get the request, or cannot serve it.
    NotServed(String),
    // It may have run.
    Unclear(String),
}

impl HandoverOutcome {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotServed(_) => "not_served",
            Self::Unclear(_) => "unclear",
        }
    }
}

// A connection to another daemon. Closed if dropped before it is returned to the pool, so
// that the other daemon cancels the request.
struct PeerConnection {
    gateway: Rc<Gateway>,
    key: TargetIncarnation,
    inner: HttpConnection,
}

impl PeerConnection {
    fn return_to_pool(self, headers: &HeaderMap) {
        let mut pool = self.gateway.peer_pool.borrow_mut();
        pool.put(&self.key, self.inner, headers);
    }
}

impl Gateway {
    /// Returns whether a request that this daemon could not serve may be handed over.
    #[must_use]
    pub(super) fn may_hand_over(&self, call: &RoutedRequest, history: &SendHistory) -> bool {
        if call.origin.is_some() || Instant::now() >= call.deadline || self.is_quarantined(call) {
            return false;
        }
        let service = &call.service.name;
        if history.sent.is_empty() && !history.may_have_run {
            return self.has_lost_targets(call);
        }
        self.is_cut_off(service)
            && call.route.retry.may_retry()
            && history.may_send(call)
            && (call.sends.covers_next() || self.take_retry(call, RetryCause::Unclear))
    }

    /// Returns whether another daemon may resume a stream that began here, and takes a retry
    /// for that.
    #[must_use]
    pub(super) fn may_resume_elsewhere(&self, call: &RoutedRequest) -> bool {
        let is_possible = call.origin.is_none()
            && Instant::now() < call.deadline
            && !self.is_quarantined(call)
            && self.has_lost_targets(call)
            && self.choose_peer(call, &[]).is_some();
        is_possible
            && (call.sends.covers_next() || self.take_retry(call, RetryCause::ResumedStream))
    }

    // Whether no target of a request's service can be reached, or a connection to one has
    // failed since the request arrived.
    fn has_lost_targets(&self, call: &RoutedRequest) -> bool {
        let service = &call.service.name;
        let reach = self.reach.borrow();
        reach.is_cut_off(service) || reach.has_failed_since(service, call.arrived_at())
    }

    /// Hands a request over to other daemons, one after the other until one serves it. A
    /// stream is resumed after the event `resume_after`.
    ///
    /// # Errors
    ///
    /// Returns `failure` if none does, or that the answer was lost.
    pub(super) async fn hand_over(
        self: &Rc<Self>,
        call: &RoutedRequest,
        history: &SendHistory,
        resume_after: Option<u64>,
        failure: Failure,
    ) -> Result<Reply, Failure> {
        let mut failure = failure;
        let mut tried: Vec<DaemonId> = Vec::new();
        let mut history = history.clone();
        while tried.len() < MAX_PEERS && Instant::now() < call.deadline {
            let Some(peer) = self.choose_peer(call, &tried) else {
                break;
            };
            let sent = Instant::now();
            tried.push(peer.id.clone());
            let outcome = self
                .send_to_peer(call, (&peer, &tried), &history, resume_after)
                .await;
            self.log_handover(call, &peer, &outcome, sent);
            match outcome {
                // After a send that may have run, a refusal must not become the answer.
                HandoverOutcome::Answered(reply)
                    if history.may_have_run
                        && reply.status() == StatusCode::SERVICE_UNAVAILABLE =>
                {
                    let reason = format!("{} refused the request, which may have run", peer.id);
                    return Err(lost_answer(call, reason));
                }
                HandoverOutcome::Answered(reply) => return Ok(reply),
                HandoverOutcome::NotServed(_) => {
                    let refused = (peer.id, call.service.name.clone());
                    let now = clock::mono_now();
                    self.peer_refusals.borrow_mut().insert(refused, now);
                }
                HandoverOutcome::Unclear(reason) => {
                    call.sends.note_arrival(false);
                    history.may_have_run = true;
                    history.sent.push(peer_key(&peer));
                    failure = lost_answer(call, reason);
                    let may_retry = call.route.retry.may_retry() && history.may_send(call);
                    let is_covered = call.sends.covers_next();
                    if !may_retry || !(is_covered || self.take_retry(call, RetryCause::Unclear)) {
                        break;
                    }
                }
            }
        }
        Err(failure)
    }

    fn log_handover(
        &self,
        call: &RoutedRequest,
        peer: &DaemonRecord,
        outcome: &HandoverOutcome,
        sent: Instant,
    ) {
        metrics::counter!("pistachiowick_handovers_total", "outcome" => outcome.as_str())
            .increment(1);
        let reason = match outcome {
            HandoverOutcome::Answered(_) => "",
            HandoverOutcome::NotServed(reason) | HandoverOutcome::Unclear(reason) => reason,
        };
        log::info!(
            request = call.caller.id.as_str(),
            route = call.route.name.as_str(),
            daemon = peer.id.as_str(),
            outcome = outcome.as_str(),
            reason = reason,
            took_ms = sent.elapsed().as_millis() as u64,
            left_ms = call.time_left().as_millis() as u64;
            "request handed over to another daemon"
        );
    }

    // Prefers daemons that can confirm keys, then those of this data centre: bytes between
    // data centres have a price. Where these could not serve the request, a whole data centre
    // may be partitioned, and the others come first.
    fn choose_peer(&self, call: &RoutedRequest, tried: &[DaemonId]) -> Option<DaemonRecord> {
        let view = self.view();
        let now = clock::mono_now();
        let service = &call.service.name;
        let mut refusals = self.peer_refusals.borrow_mut();
        refusals.retain(|_, at| now.since(*at) < REFUSAL_RETENTION);
        let peers = self.peers.borrow();
        let serves = |daemon: &&DaemonRecord| {
            daemon.id != self.daemon
                && !daemon.leaving
                && daemon.handovers.is_some()
                && !tried.contains(&daemon.id)
                && !refusals.contains_key(&(daemon.id.clone(), service.clone()))
                && peers.is_usable(&daemon.id, now)
                && peers.reaches(&daemon.id, service)
        };
        let mut eligible: Vec<&DaemonRecord> = view.daemons.iter().filter(serves).collect();
        if eligible.iter().any(|peer| peers.confirms_keys(&peer.id)) {
            eligible.retain(|peer| peers.confirms_keys(&peer.id));
        }
        let settings = self.settings();
        let near_first = tried.len() < MAX_NEAR_PEERS;
        let is_preferred = |peer: &&DaemonRecord| (peer.centre == settings.centre) == near_first;
        if eligible.iter().any(is_preferred) {
            eligible.retain(is_preferred);
        }
        let chosen = eligible.choose(&mut *self.rng.borrow_mut());
        chosen.map(|daemon| (*daemon).clone())
    }

    async fn send_to_peer(
        self: &Rc<Self>,
        call: &RoutedRequest,
        (peer, tried): (&DaemonRecord, &[DaemonId]),
        history: &SendHistory,
        resume_after: Option<u64>,
    ) -> HandoverOutcome {
        let Some(request) = self.handover_request(call, history, resume_after) else {
            return HandoverOutcome::NotServed("the daemon's name cannot be sent".to_owned());
        };
        let mut sending = pin!(self.send_over_peer_connection(call, peer, &request));
        let sent = tokio::select! {
            sent = &mut sending => sent,
            () = self.until_unreachable(peer), if call.route.retry.may_retry() => {
                if self.may_ask_another(call, history, tried) {
                    return HandoverOutcome::Unclear(format!("{} is no longer reachable", peer.id));
                }
                // It may only stand still, and nobody else may get the request.
                sending.await
            }
        };
        match sent {
            Ok((response, connection)) => self.relay_peer_answer(call, response, connection).await,
            Err(SendError::NotSent(reason) | SendError::Withdrawn(reason)) => {
                HandoverOutcome::NotServed(reason)
            }
            Err(SendError::Unclear(reason) | SendError::Cut(reason)) => {
                HandoverOutcome::Unclear(reason)
            }
        }
    }

    // Takes a retry for another daemon beside one that has the request, if there is one.
    fn may_ask_another(
        &self,
        call: &RoutedRequest,
        history: &SendHistory,
        tried: &[DaemonId],
    ) -> bool {
        history.may_send_after_next(call)
            && self.choose_peer(call, tried).is_some()
            && self.take_retry(call, RetryCause::Unclear)
    }

    fn handover_request(
        &self,
        call: &RoutedRequest,
        history: &SendHistory,
        resume_after: Option<u64>,
    ) -> Option<OutgoingRequest> {
        let origin = HandoverOrigin {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
            sends: u32::try_from(history.sent.len()).unwrap_or(u32::MAX),
            software: call.software.get().cloned(),
        };
        let mut request = call.request.clone();
        let encode = self.ports.wire.encode_handover;
        request.headers = encode(&request.headers, call.time_left(), resume_after);
        request.headers.remove(SOFTWARE);
        if let Some(software) = &origin.software {
            let software = HeaderValue::from_str(software.as_str()).ok()?;
            request.headers.insert(SOFTWARE, software);
        }
        let origin = HeaderValue::try_from(&origin).ok()?;
        request.headers.insert(ORIGIN, origin);
        Some(request)
    }

    async fn send_over_peer_connection(
        self: &Rc<Self>,
        call: &RoutedRequest,
        peer: &DaemonRecord,
        request: &OutgoingRequest,
    ) -> Result<(http::Response<Incoming>, PeerConnection), SendError> {
        let key = peer_key(peer);
        let connection = |inner| PeerConnection {
            gateway: self.clone(),
            key: key.clone(),
            inner,
        };
        while let Some(mut idle) = self.take_idle_peer(&key) {
            let may_be_closed = idle.idle_since.elapsed() > MAX_IDLE_WITHOUT_RETRY;
            if may_be_closed && !call.route.retry.may_retry() {
                continue;
            }
            match idle.send(request, call.deadline).await {
                // The connection was closed before the first byte.
                Err(SendError::NotSent(_)) => {}
                sent => return sent.map(|response| (response, connection(idle))),
            }
        }
        let address = peer.handovers.unwrap_or(peer.callers);
        let deadline = call.deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let mut inner = HttpConnection::open(address, deadline).await?;
        let response = inner.send(request, call.deadline).await?;
        Ok((response, connection(inner)))
    }

    fn take_idle_peer(&self, key: &TargetIncarnation) -> Option<HttpConnection> {
        self.peer_pool.borrow_mut().take(key, Instant::now())
    }

    async fn until_unreachable(&self, peer: &DaemonRecord) {
        loop {
            sleep(PEER_CHECK_INTERVAL).await;
            let view = self.view();
            let is_same = |daemon: &DaemonRecord| daemon.incarnation == peer.incarnation;
            let is_listed = view.daemons.iter().any(is_same);
            let peers = self.peers.borrow();
            if !is_listed || !peers.has_contact(&peer.id, clock::mono_now()) {
                return;
            }
        }
    }

    async fn relay_peer_answer(
        self: &Rc<Self>,
        call: &RoutedRequest,
        response: http::Response<Incoming>,
        connection: PeerConnection,
    ) -> HandoverOutcome {
        let (mut head, body) = response.into_parts();
        if head.headers.contains_key(NOT_SERVED) {
            let text = client::read_body(body, MAX_REFUSAL_BYTES, call.deadline).await;
            let text = text.unwrap_or_default();
            connection.return_to_pool(&head.headers);
            return HandoverOutcome::NotServed(String::from_utf8_lossy(&text).into_owned());
        }
        let metadata = (self.ports.wire.decode_answer)(head.status, &head.headers);
        let answered = metadata.request_id.as_deref();
        if answered.is_some_and(|id| id != call.caller.id) {
            return HandoverOutcome::Unclear("another request was answered".to_owned());
        }
        let software = software_of(&head.headers);
        head.headers.remove(SOFTWARE);
        if let Some(begun_at) = call.software.get()
            && head.status.is_success()
            && software.as_ref() != Some(begun_at)
        {
            let reason = format!("the daemon does not state that the stream goes on at {begun_at}");
            return HandoverOutcome::Unclear(reason);
        }
        if !head.headers.contains_key(CONTENT_LENGTH) {
            let begins = call.software.get().is_none() && head.status.is_success();
            let start = software.filter(|_| begins);
            let start = start.and_then(|software| self.stream_start(call, &software));
            let frames = PeerFrames {
                head: head.clone(),
                body,
                connection,
                deadline: call.deadline,
                start,
            };
            let frames = frames.into_frames();
            return HandoverOutcome::Answered(stream_reply(head, frames));
        }
        let memory = &self.answer_memory;
        match client::read_answer(body, MAX_ANSWER_BYTES, call.deadline, memory).await {
            Ok(body) => {
                connection.return_to_pool(&head.headers);
                HandoverOutcome::Answered(whole_reply(head, body))
            }
            Err(error) => HandoverOutcome::Unclear(error.to_string()),
        }
    }

    /// Serves a request that another daemon hands over.
    pub async fn serve_handed_over(self: Rc<Self>, mut request: Request<Incoming>) -> Reply {
        let origin = HandoverOrigin::try_from(request.headers());
        request.headers_mut().remove(ORIGIN);
        request.headers_mut().remove(SOFTWARE);
        match origin {
            Ok(origin) if self.knows_origin(&origin) && request.headers().contains_key(MESSAGE) => {
                self.serve_message(request).await
            }
            Ok(origin) if self.knows_origin(&origin) => {
                metrics::counter!("pistachiowick_handed_over_requests_total").increment(1);
                self.serve_from(request, Some(origin)).await
            }
            Ok(origin) => {
                let reason = format!("daemon {} is not known here; retry later", origin.daemon);
                not_served(&Failure::refused(reason, CONNECT_TIMEOUT))
            }
            Err(error) => Failure::new(FailureKind::BadRequest, error.to_string()).reply(),
        }
    }

    // Only daemons can read the incarnations in the store.
    fn knows_origin(&self, origin: &HandoverOrigin) -> bool {
        let view = self.view();
        let mut daemons = view.daemons.iter();
        daemons.any(|d| d.id == origin.daemon && d.incarnation == origin.incarnation)
    }

    /// Returns the answer that reports a failure of a handed-over request: that it was not
    /// served, if no target was offered it here, so that another daemon is asked.
    pub(super) fn handover_failure(&self, failure: &Failure, was_offered: bool) -> Reply {
        if failure.kind == FailureKind::Refused && !was_offered {
            return not_served(failure);
        }
        failure.reply()
    }
}

/// States in the head of an answer to another daemon at which version its stream began.
pub(super) fn state_software(head: &mut Parts, software: &SoftwareVersion) {
    if let Ok(value) = HeaderValue::from_str(software.as_str()) {
        head.headers.insert(SOFTWARE, value);
    }
}

// Returns the key of a daemon's process among connections and sends.
pub(super) fn peer_key(peer: &DaemonRecord) -> TargetIncarnation {
    TargetIncarnation::from(format!("{}/{}", peer.id, peer.incarnation))
}

fn not_served(failure: &Failure) -> Reply {
    let mut reply = failure.reply();
    let headers = reply.headers_mut();
    headers.insert(NOT_SERVED, HeaderValue::from_static("1"));
    reply
}

// Frames of an answer that another daemon forwards as they arrive.
struct PeerFrames {
    head: Parts,
    body: Incoming,
    connection: PeerConnection,
    deadline: Instant,
    // Start of the stream, until its first event is passed on.
    start: Option<AttemptStart>,
}

impl PeerFrames {
    fn into_frames(self) -> FrameStream {
        Box::pin(stream::unfold(Some(self), |frames| async move {
            let mut frames = frames?;
            match frames.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(frames))),
                Ok(None) => {
                    frames.connection.return_to_pool(&frames.head.headers);
                    None
                }
                Err(cut) => {
                    // The server drops a head that it has not written yet when its body fails.
                    yield_now().await;
                    Some((Err(cut), None))
                }
            }
        }))
    }

    async fn next(&mut self) -> Result<Option<Bytes>, AnswerTruncated> {
        loop {
            let frame = timeout_at(self.deadline, self.body.frame()).await;
            let frame = frame.map_err(|_| {
                AnswerTruncated("the deadline of the request has passed".to_owned())
            })?;
            match frame {
                None => return Ok(None),
                Some(Err(error)) => return Err(AnswerTruncated(error.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        if let Some(start) = self.start.take() {
                            self.connection.gateway.remember_start(start);
                        }
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }
}
