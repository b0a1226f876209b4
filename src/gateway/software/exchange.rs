//! Tells other daemons at which version streams began, and asks them.
//!
//! As long as one version is known to be the only one, nothing has to be told. Messages go over
//! the port on which daemons hand requests over, as links between daemons do not join all of
//! them in a large fleet.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::header::HOST;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout_at};

use crate::clock;
use crate::gateway::call::RoutedRequest;
use crate::gateway::client::{self, HttpConnection, OutgoingRequest, SendError};
use crate::gateway::daemon::Gateway;
use crate::gateway::handover::{HandoverOrigin, ORIGIN, peer_key};
use crate::gateway::members::DaemonRecord;
use crate::gateway::reply::{Failure, FailureKind, Reply};
use crate::gateway::software::evidence::{GatheredEvidence, StartEvidence, weigh};
use crate::gateway::software::keepers::{ASKED, KEEPERS, keepers};
use crate::gateway::software::starts::{AttemptDigest, AttemptStart, StreamStart};
use crate::gateway::startup_wait::wait_until;
use crate::names::{DaemonId, MonoTime, ServiceName, SoftwareVersion, millis};
use crate::timer::TimerService;

/// Kind of a message between daemons on the port for handovers.
pub const MESSAGE: HeaderName = HeaderName::from_static("pistachiowick-message");
const START_REPORT: &str = "start-report";
const START_QUERY: &str = "start-query";
/// Time for which starts are collected before they are told: callers return after 100 ms and
/// more.
const TELL_DELAY: Duration = Duration::from_millis(10);
/// Interval at which a daemon checks whether starts are to be told that were not before.
const TELL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for other daemons to take a message, and to answer one while the answer is not
/// needed.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time for which a caller that takes its stream up waits for what this daemon and others
/// know of it.
const FINDING_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for which a query of another daemon waits until this one has recalled versions; the
/// other one waits for up to [`FINDING_TIMEOUT`].
const QUERY_PATIENCE: Duration = Duration::from_millis(500);
/// Attempts to tell a daemon of starts.
const MAX_REPORT_ATTEMPTS: u32 = 3;
/// Largest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Most starts that are told between two pauses: when a second version appears, those of half a
/// minute are, and callers must not wait for that.
const MAX_TOLD_AT_ONCE: usize = 256;

/// Starts of one version.
#[derive(Debug, Deserialize_tuple, Serialize_tuple)]
struct ReportedVersion {
    service: ServiceName,
    software: SoftwareVersion,
    /// Each attempt, with the milliseconds since its first event.
    attempts: Vec<(AttemptDigest, u64)>,
}

#[derive(Debug, Deserialize, Serialize)]
struct StartQuery {
    attempt: Option<AttemptDigest>,
    service: ServiceName,
}

/// Tells other daemons of new starts until the process ends.
pub async fn tell_regularly(gateway: Rc<Gateway>) {
    let timer = TimerService::start();
    let mut checks = timer.every(TELL_INTERVAL);
    loop {
        tokio::select! {
            () = gateway.stream_begun.notified() => sleep(TELL_DELAY).await,
            _ = checks.next() => {}
        }
        if gateway.view().daemons_known && gateway.must_tell_starts(clock::mono_now()) {
            gateway.tell_starts();
        }
    }
}

impl Gateway {
    fn tell_starts(self: &Rc<Self>) {
        let untold = self.starts.borrow_mut().take_untold(MAX_TOLD_AT_ONCE);
        if self.starts.borrow().has_untold() {
            self.stream_begun.notify_one();
        }
        let view = self.view();
        let mut reports: IndexMap<&DaemonId, (&DaemonRecord, Vec<&AttemptStart>)> = IndexMap::new();
        for start in &untold {
            let others = keepers(start.0, &view.daemons, KEEPERS).into_iter();
            for keeper in others.filter(|daemon| daemon.id != self.daemon) {
                let report = reports.entry(&keeper.id).or_insert((keeper, Vec::new()));
                report.1.push(start);
            }
        }
        for (keeper, starts) in reports.into_values() {
            let report = encode(&report_of(&starts, clock::mono_now()));
            let (gateway, keeper) = (self.clone(), keeper.clone());
            spawn_local(async move { gateway.send_report(&keeper, report).await });
        }
    }

    async fn send_report(&self, keeper: &DaemonRecord, report: Bytes) {
        let count = |outcome| {
            metrics::counter!("pistachiowick_start_reports_total", "outcome" => outcome)
                .increment(1);
        };
        // A daemon that has just started is not known to the others at once.
        for _ in 0..MAX_REPORT_ATTEMPTS {
            let deadline = Instant::now() + MESSAGE_TIMEOUT;
            let sent = self.send_message(keeper, START_REPORT, report.clone(), deadline);
            match sent.await {
                Ok(_) => return count("taken"),
                Err(error) => {
                    log::debug!(daemon = keeper.id.as_str(); "starts of streams not told: {error}");
                }
            }
            sleep(TELL_INTERVAL).await;
        }
        count("lost");
    }

    /// Adds to what this daemon knows of a stream what the daemons that keep its start know.
    ///
    /// Ends once one remembers it, or with the answers that came promptly if these tell its
    /// version.
    pub(super) async fn ask_keepers(
        &self,
        attempt: Option<AttemptDigest>,
        call: &RoutedRequest,
    ) -> GatheredEvidence {
        let until = call.deadline.min(Instant::now() + FINDING_TIMEOUT);
        let is_listed = wait_until(until, || self.view().daemons_known).await;
        let has_recalled = self.wait_for_recall(until).await;
        let view = self.view();
        let (asked, silent) = self.choose_asked(attempt, &view.daemons);
        let service = &call.service.name;
        let own = self.start_evidence(attempt, service, clock::mono_now());
        let query = encode(&StartQuery {
            attempt,
            service: service.clone(),
        });
        let prompt = Instant::now() + MESSAGE_TIMEOUT;
        let answers = asked.iter().map(|keeper| {
            let query = query.clone();
            async move {
                let sent = self.send_message(keeper, START_QUERY, query, until);
                let answer = timeout_at(until, sent).await.ok()?.ok()?;
                decode::<StartEvidence>(&answer)
            }
        });
        let mut answers: FuturesUnordered<_> = answers.collect();
        let mut gathered = GatheredEvidence {
            evidence: vec![own],
            is_whole: is_listed && has_recalled && silent.is_empty(),
            has_others: !is_listed || !asked.is_empty() || !silent.is_empty(),
        };
        loop {
            let is_known = weigh(service, &gathered).software().is_some();
            let limit = if is_known { prompt } else { until };
            let Ok(Some(answer)) = timeout_at(limit, answers.next()).await else {
                return gathered;
            };
            gathered.is_whole &= answer.is_some();
            let is_found = answer.as_ref().is_some_and(|known| known.start.is_some());
            gathered.evidence.extend(answer);
            if is_found {
                return gathered;
            }
        }
    }

    // Returns the daemons that may know a start: those in contact, which are asked, and the rest.
    fn choose_asked<'a>(
        &self,
        attempt: Option<AttemptDigest>,
        daemons: &'a [DaemonRecord],
    ) -> (Vec<&'a DaemonRecord>, Vec<&'a DaemonRecord>) {
        let order = attempt.unwrap_or_else(|| AttemptDigest::from(self.daemon.as_str()));
        let now = clock::mono_now();
        let peers = self.peers.borrow();
        let mut others = keepers(order, daemons, ASKED);
        // A hub reads the store for this daemon, and may know all versions where no keeper does.
        let subscription = self.feed_subscription.borrow();
        let hub = daemons.iter().find(|d| subscription.hub() == Some(&d.id));
        others.extend(hub.filter(|hub| others.iter().all(|other| other.id != hub.id)));
        others
            .into_iter()
            .filter(|daemon| daemon.id != self.daemon)
            .partition(|daemon| peers.has_contact(&daemon.id, now))
    }

    // Waits until this daemon has recalled versions. Returns whether it has.
    async fn wait_for_recall(&self, until: Instant) -> bool {
        wait_until(until, || !self.is_recalling()).await
    }

    async fn send_message(
        &self,
        peer: &DaemonRecord,
        kind: &'static str,
        body: Bytes,
        deadline: Instant,
    ) -> Result<Bytes, SendError> {
        let request = self.message(peer, kind, body);
        let key = peer_key(peer);
        loop {
            let idle = self.peer_pool.borrow_mut().take(&key, Instant::now());
            let is_idle = idle.is_some();
            let mut connection = match idle {
                Some(idle) => idle,
                None => {
                    let address = peer.handovers.unwrap_or(peer.peers);
                    HttpConnection::open(address, deadline).await?
                }
            };
            match client::call(&mut connection, &request, MAX_MESSAGE_BYTES, deadline).await {
                // The connection was closed before the first byte.
                Err(SendError::NotSent(_)) if is_idle => {}
                Err(error) => return Err(error),
                Ok((head, body)) => {
                    let mut pool = self.peer_pool.borrow_mut();
                    pool.put(&key, connection, &head.headers);
                    if head.status == StatusCode::OK {
                        return Ok(body);
                    }
                    let reason = format!("{} answered with status {}", peer.id, head.status);
                    return Err(SendError::Unclear(reason));
                }
            }
        }
    }

    fn message(&self, peer: &DaemonRecord, kind: &'static str, body: Bytes) -> OutgoingRequest {
        let origin = HandoverOrigin {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
            sends: 0,
            software: None,
        };
        let mut headers = HeaderMap::new();
        headers.insert(MESSAGE, HeaderValue::from_static(kind));
        let host = peer.handovers.unwrap_or(peer.peers).to_string();
        let values = [
            (HOST, HeaderValue::from_str(&host).ok()),
            (ORIGIN, HeaderValue::try_from(&origin).ok()),
        ];
        for (name, value) in values {
            headers.extend(value.map(|value| (name, value)));
        }
        OutgoingRequest {
            method: Method::POST,
            uri: Uri::from_static("/"),
            headers,
            body,
        }
    }

    /// Answers a message of another daemon.
    pub(in crate::gateway) async fn serve_message(&self, request: Request<Incoming>) -> Reply {
        let kind = request.headers().get(MESSAGE).cloned();
        let deadline = Instant::now() + MESSAGE_TIMEOUT;
        let body = client::read_body(request.into_body(), MAX_MESSAGE_BYTES, deadline).await;
        let answer = match (kind.as_ref().map(HeaderValue::as_bytes), body) {
            (Some(kind), Ok(body)) if kind == START_REPORT.as_bytes() => self.take_report(&body),
            (Some(kind), Ok(body)) if kind == START_QUERY.as_bytes() => {
                self.wait_for_recall(Instant::now() + QUERY_PATIENCE).await;
                self.answer_query(&body)
            }
            (_, Err(error)) => Err(error.to_string()),
            (kind, _) => Err(format!("messages of kind {kind:?} are not known here")),
        };
        match answer {
            Ok(answer) => Response::new(Either::Left(Full::new(answer))),
            Err(reason) => Failure::new(FailureKind::BadRequest, reason).reply(),
        }
    }

    fn take_report(&self, body: &[u8]) -> Result<Bytes, String> {
        let versions: Vec<ReportedVersion> =
            decode(body).ok_or("the report of starts cannot be decoded")?;
        let now = clock::mono_now();
        let mut starts = self.starts.borrow_mut();
        for version in versions {
            for (attempt, age_ms) in version.attempts {
                let start = StreamStart {
                    service: version.service.clone(),
                    software: version.software.clone(),
                    began: MonoTime(now.0.saturating_sub(age_ms)),
                };
                starts.note_told(attempt, start, now);
            }
        }
        Ok(Bytes::new())
    }

    fn answer_query(&self, body: &[u8]) -> Result<Bytes, String> {
        let query: StartQuery = decode(body).ok_or("the query for a start cannot be decoded")?;
        let known = self.start_evidence(query.attempt, &query.service, clock::mono_now());
        Ok(encode(&known))
    }
}

fn report_of(starts: &[&AttemptStart], now: MonoTime) -> Vec<ReportedVersion> {
    let mut versions: IndexMap<(&ServiceName, &SoftwareVersion), Vec<(AttemptDigest, u64)>> =
        IndexMap::new();
    for (attempt, start) in starts {
        let attempts = versions
            .entry((&start.service, &start.software))
            .or_default();
        attempts.push((*attempt, millis(now.since(start.began))));
    }
    let reported = versions.into_iter();
    reported
        .map(|((service, software), attempts)| ReportedVersion {
            service: service.clone(),
            software: software.clone(),
            attempts,
        })
        .collect()
}

fn encode(message: &impl Serialize) -> Bytes {
    let mut bytes = Vec::new();
    // Encoding plain data into memory cannot fail.
    let _ = ciborium::into_writer(message, &mut bytes);
    Bytes::from(bytes)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
