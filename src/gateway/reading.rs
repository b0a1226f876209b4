//! Prefills a prompt on one engine for another one that generates the tokens.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use crate::clock;
use crate::gateway::budget::RetryCause;
use crate::gateway::call::{InFlightGuard, RoutedRequest, SendHistory};
use crate::gateway::centre_traffic::CentreTraffic;
use crate::gateway::client;
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::EngineCandidates;
use crate::gateway::deciding::engine_choice::EnginePlacement;
use crate::gateway::deciding::health::SendResult;
use crate::gateway::generate::ENGINE_BUSY_RETRY_AFTER;
use crate::gateway::model::TargetRecord;
use crate::gateway::port::{KvCacheHandle, SendMode};
use crate::gateway::reply::Failure;
use crate::gateway::sending::SendOutcome;
use crate::target_incarnation::TargetIncarnation;

/// Largest answer to a prefill request, in bytes.
const MAX_PREFILL_ANSWER_BYTES: usize = 64 * 1024;
/// Shortest time after which an unanswered prefill is requested from another engine as well.
const MIN_PREFILL_SILENCE: Duration = Duration::from_millis(1_500);
/// The same as a multiple of the expected time.
const PREFILL_SILENCE_FACTOR: f64 = 4.0;
/// Prefill engines to try before the decode engine prefills the prompt itself.
const MAX_PREFILL_ATTEMPTS: usize = 2;

impl Gateway {
    // Prefills the prompt on another engine if the placement names one. The first prefill
    // that an engine accepts is not a retry. Any send after a failed one is a retry,
    // including the run itself: without a retry left the request is refused, since
    // otherwise failing prefill engines would make the fleet send every request twice.
    pub(super) async fn prefill_remotely(
        self: &Rc<Self>,
        call: &Rc<RoutedRequest>,
        place: &EnginePlacement,
        history: &mut SendHistory,
    ) -> Result<Option<CacheHandleGuard>, Failure> {
        let Some(prefill_engine) = place.prefill_engine.clone() else {
            return Ok(None);
        };
        if history.prompt_prefilled && !self.take_retry(call, RetryCause::SecondPrefill) {
            return Ok(None);
        }
        let mut race = PrefillRace {
            gateway: self,
            call,
            place,
            tried: Vec::new(),
            pending: Vec::new(),
            next_try: call.deadline,
        };
        race.start(prefill_engine);
        race.run(history).await
    }

    fn choose_other_prefill_engine(
        &self,
        call: &RoutedRequest,
        place: &EnginePlacement,
        tried: &[TargetIncarnation],
    ) -> Option<Arc<TargetRecord>> {
        let (prompt, urgency) = (call.prompt(), call.route.urgency);
        self.with_candidates(call, tried, call.turn_terms(), |candidates| {
            let candidates = EngineCandidates {
                software: Some(&place.decode_engine.software),
                ..candidates
            };
            let core = self.core.borrow();
            core.choose_other_prefill_engine(&candidates, &prompt, urgency, clock::mono_now())
        })
    }

    async fn send_prefill(
        self: &Rc<Self>,
        call: &Rc<RoutedRequest>,
        prefill_engine: &Arc<TargetRecord>,
        place: &EnginePlacement,
    ) -> PrefillResult {
        let sent = Instant::now();
        let _in_flight = InFlightGuard::begin(
            self,
            &prefill_engine.id,
            place.rank,
            place.pending_prefill_tokens,
        );
        let fetch_from = place.fetch_from.as_deref();
        let order = self.order(
            call,
            prefill_engine,
            SendMode::Prefill,
            None,
            fetch_from,
            place.rank,
        );
        let outcome = self
            .send(
                prefill_engine,
                call.plan(call.deadline, call.turn_terms()),
                &order,
            )
            .await;
        let sent_at = match &outcome {
            SendOutcome::Answered(answer) => answer.sent_at,
            _ => sent,
        };
        let prefill = self.finish_prefill(call, prefill_engine, outcome).await;
        call.log_send(prefill_engine, "read_prompt", prefill.as_str(), sent);
        if let PrefillResult::Cached(_) = prefill {
            self.note_cached(call, prefill_engine);
            // The work queued at a prefill engine other than the first choice is unknown here.
            if place
                .prefill_engine
                .as_ref()
                .is_some_and(|planned| planned.id == prefill_engine.id)
            {
                self.note_time(&place.timed_prefill(prefill_engine), sent_at.elapsed());
            }
        }
        prefill
    }

    async fn finish_prefill(
        self: &Rc<Self>,
        call: &RoutedRequest,
        prefill_engine: &Arc<TargetRecord>,
        outcome: SendOutcome,
    ) -> PrefillResult {
        let answer = match outcome {
            SendOutcome::Answered(answer) => answer,
            SendOutcome::NotSent(_) => return PrefillResult::NotSent,
            SendOutcome::WrongTarget | SendOutcome::WrongWork => {
                let reason = "is no longer at its address or has changed its stage";
                return PrefillResult::Failed(format!("{} {reason}", prefill_engine.id));
            }
            SendOutcome::Refused(reason) | SendOutcome::Unclear(reason) => {
                return PrefillResult::Failed(reason);
            }
        };
        if !answer.head.status.is_success() {
            self.note_result(prefill_engine, SendResult::Failed);
            return PrefillResult::Failed(format!(
                "{} answered the prefill with status {}",
                prefill_engine.id, answer.head.status
            ));
        }
        let received =
            client::read_body(answer.body, MAX_PREFILL_ANSWER_BYTES, call.deadline).await;
        let body = match received {
            Ok(body) => body,
            Err(error) => {
                self.record_body_error(call, prefill_engine, &error);
                return PrefillResult::Failed(error.to_string());
            }
        };
        self.count_traffic(CentreTraffic::Answer, &prefill_engine.centre, body.len());
        let name = match (self.ports.wire.decode_prefill)(&body) {
            Ok(name) => name,
            Err(error) => {
                self.note_result(prefill_engine, SendResult::Failed);
                return PrefillResult::Failed(error.to_string());
            }
        };
        self.note_result(prefill_engine, SendResult::Answered);
        self.record_answer(prefill_engine, answer.times);
        answer.connection.return_to_pool(&answer.head);
        let handle = KvCacheHandle {
            holder: prefill_engine.address,
            name,
        };
        PrefillResult::Cached(CacheHandleGuard::new(
            self.clone(),
            prefill_engine.clone(),
            handle,
        ))
    }
}

type PendingPrefill<'a> = Pin<Box<dyn Future<Output = PrefillResult> + 'a>>;

// Prefills of one prompt that run side by side: an engine that is silent may still answer.
struct PrefillRace<'a> {
    gateway: &'a Rc<Gateway>,
    call: &'a Rc<RoutedRequest>,
    place: &'a EnginePlacement,
    tried: Vec<Arc<TargetRecord>>,
    // Those in progress, and their engines.
    pending: Vec<(Arc<TargetRecord>, PendingPrefill<'a>)>,
    next_try: Instant,
}

impl<'a> PrefillRace<'a> {
    async fn run(mut self, history: &mut SendHistory) -> Result<Option<CacheHandleGuard>, Failure> {
        loop {
            let result = self.next_result().await;
            let failure = match result {
                Some(PrefillResult::Cached(handle)) => {
                    history.prompt_prefilled = true;
                    self.cancel_others(Some(&handle.prefill_engine().id));
                    return Ok(Some(handle));
                }
                // Another engine may still answer.
                Some(_) if !self.pending.is_empty() => continue,
                Some(PrefillResult::NotSent) => None,
                Some(PrefillResult::Failed(reason)) => {
                    Some(Failure::refused(reason, ENGINE_BUSY_RETRY_AFTER))
                }
                None => {
                    if self.try_beside() {
                        continue;
                    }
                    self.cancel_others(None);
                    return Ok(None);
                }
            };
            if let Some(failure) = failure
                && !self
                    .gateway
                    .take_retry(self.call, RetryCause::FailedPrefill)
            {
                return Err(failure);
            }
            let Some(next) = self.choose_other() else {
                return Ok(None);
            };
            self.start(next);
        }
    }

    fn start(&mut self, engine: Arc<TargetRecord>) {
        let (gateway, call, place) = (self.gateway, self.call, self.place);
        let target = engine.clone();
        let prefill = async move { gateway.send_prefill(call, &target, place).await };
        self.tried.push(engine.clone());
        self.pending.push((engine, Box::pin(prefill)));
        self.wait_again();
    }

    fn wait_again(&mut self) {
        let expected_s = self.place.expected_ms / 1_000.0;
        let silence = Duration::from_secs_f64(expected_s * PREFILL_SILENCE_FACTOR);
        self.next_try = Instant::now() + silence.max(MIN_PREFILL_SILENCE);
    }

    fn choose_other(&self) -> Option<Arc<TargetRecord>> {
        if self.tried.len() >= MAX_PREFILL_ATTEMPTS {
            return None;
        }
        let tried: Vec<TargetIncarnation> = self.tried.iter().map(|e| e.id.clone()).collect();
        self.gateway
            .choose_other_prefill_engine(self.call, self.place, &tried)
    }

    // Returns the next result, or `None` once the engines have been silent for too long.
    async fn next_result(&mut self) -> Option<PrefillResult> {
        let pending = &mut self.pending;
        let polled = poll_fn(|context| {
            for index in 0..pending.len() {
                if let Poll::Ready(result) = pending[index].1.as_mut().poll(context) {
                    drop(pending.remove(index));
                    return Poll::Ready(result);
                }
            }
            Poll::Pending
        });
        if self.next_try < self.call.deadline {
            timeout_at(self.next_try, polled).await.ok()
        } else {
            Some(polled.await)
        }
    }

    // Has another engine prefill the prompt beside a silent one. Returns false if the decode
    // engine is to prefill it instead, as there is no other one.
    fn try_beside(&mut self) -> bool {
        self.wait_again();
        let next = self.choose_other();
        if !self
            .gateway
            .take_retry(self.call, RetryCause::FailedPrefill)
        {
            return true;
        }
        let has_next = next.is_some();
        if let Some(next) = next {
            self.start(next);
        }
        has_next
    }

    // Closes the connections of the prefills that are not needed any more. Those that were begun
    // before the one of `prefilled` have failed.
    fn cancel_others(&mut self, prefilled: Option<&TargetIncarnation>) {
        let begun_before = |id: &TargetIncarnation| {
            let mut tried = self.tried.iter().map(|engine| &engine.id);
            let first = tried.find(|tried| *tried == id || Some(*tried) == prefilled);
            first == Some(id)
        };
        for (engine, prefill) in self.pending.drain(..) {
            drop(prefill);
            // The request may have arrived.
            self.call.sends.note_arrival(false);
            if begun_before(&engine.id) {
                self.gateway.note_result(&engine, SendResult::Silent);
            }
        }
    }
}

// Outcome of a prefill. No generation has started in any case.
enum PrefillResult {
    Cached(CacheHandleGuard),
    // No byte of the request was sent.
    NotSent,
    // An engine received the request, but the prefill failed.
    Failed(String),
}

impl PrefillResult {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Cached(_) => "read",
            Self::NotSent => "not_sent",
            Self::Failed(_) => "not_read",
        }
    }
}

/// A KV cache handle that is released on drop unless another engine took it.
pub struct CacheHandleGuard {
    gateway: Rc<Gateway>,
    prefill_engine: Arc<TargetRecord>,
    handle: Option<KvCacheHandle>,
}

impl CacheHandleGuard {
    fn new(gateway: Rc<Gateway>, prefill_engine: Arc<TargetRecord>, handle: KvCacheHandle) -> Self {
        Self {
            gateway,
            prefill_engine,
            handle: Some(handle),
        }
    }

    /// Returns the engine that holds the KV cache.
    #[must_use]
    pub fn prefill_engine(&self) -> &TargetRecord {
        &self.prefill_engine
    }

    /// Returns how the request is sent to the decode engine.
    #[must_use]
    pub fn mode(&self) -> SendMode {
        let handle = self.handle.clone();
        handle.map_or(SendMode::Run, SendMode::DecodeFrom)
    }

    /// Drops the handle without releasing it, after the decode engine took it or found it
    /// gone.
    pub fn forget(&mut self) {
        self.handle = None;
    }
}

impl Drop for CacheHandleGuard {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else {
            return;
        };
        let gateway = self.gateway.clone();
        let engine = self.prefill_engine.clone();
        tokio::task::spawn_local(
            async move { gateway.release_handle(&engine, &handle.name).await },
        );
    }
}
