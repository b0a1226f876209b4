//! Reads a prompt at one engine for another one that makes the tokens.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock;
use crate::gateway::call::{RoutedCall, SendTrail, WorkGuard};
use crate::gateway::client;
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::EngineChoices;
use crate::gateway::deciding::engine_choice::EnginePlace;
use crate::gateway::deciding::health::SendResult;
use crate::gateway::generate::ENGINE_BUSY_RETRY_AFTER;
use crate::gateway::model::TargetRecord;
use crate::gateway::port::{CacheHandle, SendMode};
use crate::gateway::reply::Failure;
use crate::gateway::sending::SendOutcome;
use crate::target_life::TargetLife;

/// Largest answer to a reading of a prompt, in bytes.
const MAX_PREFILL_ANSWER_BYTES: usize = 64 * 1024;
/// Shortest wait for a reading before it is asked for elsewhere.
const MIN_PREFILL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time, in expected times, for a reading.
const PREFILL_TIMEOUT_FACTOR: f64 = 4.0;
/// Readings asked for before the decode engine reads itself.
const MAX_PREFILL_ATTEMPTS: u32 = 2;

impl Gateway {
    // Reads the prompt where that pays. One reading that an engine takes up is no
    // repeat. Any send after one that came to nothing is, also the run: without a
    // repeat left the request is refused, or failing readers would have the fleet
    // send every request twice.
    pub(super) async fn read_ahead(
        self: &Rc<Self>,
        call: &Rc<RoutedCall>,
        place: &EnginePlace,
        history: &mut SendTrail,
    ) -> Result<Option<HandleGuard>, Failure> {
        let Some(mut reader) = place.reader.clone() else {
            return Ok(None);
        };
        if history.prompt_read && !self.may_repeat(call) {
            return Ok(None);
        }
        let mut tried: Vec<TargetLife> = Vec::new();
        for _ in 0..MAX_PREFILL_ATTEMPTS {
            match self.send_prefill(call, &reader, place).await {
                PrefillResult::Cached(handle) => {
                    history.prompt_read = true;
                    return Ok(Some(handle));
                }
                PrefillResult::NotSent => {}
                PrefillResult::Failed(reason) if !self.may_repeat(call) => {
                    return Err(Failure::refused(reason, ENGINE_BUSY_RETRY_AFTER));
                }
                PrefillResult::Failed(_) => {}
            }
            tried.push(reader.id.clone());
            let Some(next) = self.another_reader(call, &tried) else {
                break;
            };
            reader = next;
        }
        Ok(None)
    }

    fn another_reader(&self, call: &RoutedCall, tried: &[TargetLife]) -> Option<Arc<TargetRecord>> {
        let choices = EngineChoices {
            engines: &self.staying(call.view.of_service(&call.service.name)),
            changing: &self.changing(),
            excluded: tried,
        };
        let (prompt, urgency) = (call.prompt(), call.route.urgency);
        let core = self.core.borrow();
        core.another_reader(&choices, &prompt, urgency, clock::mono_now())
    }

    async fn send_prefill(
        self: &Rc<Self>,
        call: &Rc<RoutedCall>,
        reader: &Arc<TargetRecord>,
        place: &EnginePlace,
    ) -> PrefillResult {
        let sent = Instant::now();
        let _work = WorkGuard::begin(self, &reader.id, place.rank, place.unread_tokens);
        let timeout = Duration::from_secs_f64(place.expected_ms * PREFILL_TIMEOUT_FACTOR / 1_000.0);
        let deadline = sent + timeout.max(MIN_PREFILL_TIMEOUT);
        let fetch_from = place.fetch_from.as_deref();
        let order = self.order(
            call,
            reader,
            SendMode::ReadPrompt,
            None,
            fetch_from,
            place.rank,
        );
        let outcome = self.send(reader, call.plan(deadline), &order).await;
        let deadline = deadline.min(call.deadline);
        let prefill = self.finish_prefill(call, reader, outcome, deadline).await;
        call.log_send(reader, "read_prompt", prefill.as_str(), sent);
        if let PrefillResult::Cached(_) = prefill {
            self.note_held(call, reader);
            // What waits at a reader that was not chosen first is not known here.
            if place.reader.as_ref().is_some_and(|r| r.id == reader.id) {
                self.note_time(&place.timed_reading(reader), sent.elapsed());
            }
        }
        prefill
    }

    async fn finish_prefill(
        self: &Rc<Self>,
        call: &RoutedCall,
        reader: &Arc<TargetRecord>,
        outcome: SendOutcome,
        deadline: Instant,
    ) -> PrefillResult {
        let answer = match outcome {
            SendOutcome::Answered(answer) => answer,
            SendOutcome::NotSent(_) => return PrefillResult::NotSent,
            SendOutcome::WrongTarget | SendOutcome::WrongWork => {
                let reason = "left its address or does other work now";
                return PrefillResult::Failed(format!("{} {reason}", reader.id));
            }
            SendOutcome::Refused(reason) | SendOutcome::Unclear(reason) => {
                return PrefillResult::Failed(reason);
            }
        };
        if !answer.head.status.is_success() {
            self.note_result(reader, SendResult::Failed);
            return PrefillResult::Failed(format!("{} said {}", reader.id, answer.head.status));
        }
        let read = client::read_body(answer.body, MAX_PREFILL_ANSWER_BYTES, deadline).await;
        let body = match read {
            Ok(body) => body,
            Err(error) => {
                self.note_body_fault(call, reader, &error);
                return PrefillResult::Failed(error.to_string());
            }
        };
        let name = match (self.ports.wire.decode_read)(&body) {
            Ok(name) => name,
            Err(error) => {
                self.note_result(reader, SendResult::Failed);
                return PrefillResult::Failed(error.to_string());
            }
        };
        self.note_result(reader, SendResult::Answered);
        self.note_answered(reader, answer.times);
        answer.lease.give_back(&answer.head);
        let handle = CacheHandle {
            holder: reader.address,
            name,
        };
        PrefillResult::Cached(HandleGuard::new(self.clone(), reader.clone(), handle))
    }
}

// What became of the reading of a prompt; nothing has run in any case.
enum PrefillResult {
    Cached(HandleGuard),
    // No byte left.
    NotSent,
    // It arrived at an engine and came to nothing.
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

/// A kept prompt that is freed unless another engine took it.
pub struct HandleGuard {
    gateway: Rc<Gateway>,
    reader: Arc<TargetRecord>,
    handle: Option<CacheHandle>,
}

impl HandleGuard {
    fn new(gateway: Rc<Gateway>, reader: Arc<TargetRecord>, handle: CacheHandle) -> Self {
        Self {
            gateway,
            reader,
            handle: Some(handle),
        }
    }

    /// How the prompt is sent to the engine that takes it.
    #[must_use]
    pub fn mode(&self) -> SendMode {
        let handle = self.handle.clone();
        handle.map_or(SendMode::Run, SendMode::TakeOver)
    }

    /// Leaves the prompt to the engine that took it, or that found it gone.
    pub fn forget(&mut self) {
        self.handle = None;
    }
}

impl Drop for HandleGuard {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else {
            return;
        };
        let gateway = self.gateway.clone();
        let reader = self.reader.clone();
        tokio::task::spawn_local(async move { gateway.free_handle(&reader, &handle.name).await });
    }
}
