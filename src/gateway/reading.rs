//! Prefills a prompt on one engine for another one that generates the tokens.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

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
/// Shortest time before an unanswered prefill is requested from another engine.
const MIN_PREFILL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time for a prefill, as a multiple of the expected time.
const PREFILL_TIMEOUT_FACTOR: f64 = 4.0;
/// Prefill engines to try before the decode engine prefills the prompt itself.
const MAX_PREFILL_ATTEMPTS: u32 = 2;

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
        let Some(mut prefill_engine) = place.prefill_engine.clone() else {
            return Ok(None);
        };
        if history.prompt_prefilled && !self.take_retry(call, RetryCause::SecondPrefill) {
            return Ok(None);
        }
        let mut tried: Vec<TargetIncarnation> = Vec::new();
        for _ in 0..MAX_PREFILL_ATTEMPTS {
            match self.send_prefill(call, &prefill_engine, place).await {
                PrefillResult::Cached(handle) => {
                    history.prompt_prefilled = true;
                    return Ok(Some(handle));
                }
                PrefillResult::NotSent => {}
                PrefillResult::Failed(reason)
                    if !self.take_retry(call, RetryCause::FailedPrefill) =>
                {
                    return Err(Failure::refused(reason, ENGINE_BUSY_RETRY_AFTER));
                }
                PrefillResult::Failed(_) => {}
            }
            tried.push(prefill_engine.id.clone());
            let Some(next) = self.choose_other_prefill_engine(call, place, &tried) else {
                break;
            };
            prefill_engine = next;
        }
        Ok(None)
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
        let timeout = Duration::from_secs_f64(place.expected_ms * PREFILL_TIMEOUT_FACTOR / 1_000.0);
        let deadline = sent + timeout.max(MIN_PREFILL_TIMEOUT);
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
                call.plan(deadline, call.turn_terms()),
                &order,
            )
            .await;
        let deadline = deadline.min(call.deadline);
        let sent_at = match &outcome {
            SendOutcome::Answered(answer) => answer.sent_at,
            _ => sent,
        };
        let prefill = self
            .finish_prefill(call, prefill_engine, outcome, deadline)
            .await;
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
        deadline: Instant,
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
        let received = client::read_body(answer.body, MAX_PREFILL_ANSWER_BYTES, deadline).await;
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
