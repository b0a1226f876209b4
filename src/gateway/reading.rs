//! Reads a prompt at one engine for another one that makes the tokens.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock;
use crate::gateway::call::{InFlightGuard, RoutedRequest, SendHistory};
use crate::gateway::client;
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::EngineCandidates;
use crate::gateway::deciding::engine_choice::EnginePlacement;
use crate::gateway::deciding::health::SendResult;
use crate::gateway::generate::ENGINE_BUSY_WAIT;
use crate::gateway::model::TargetRecord;
use crate::gateway::port::{KvCacheHandle, SendMode};
use crate::gateway::reply::Failure;
use crate::gateway::sending::SendOutcome;
use crate::target_incarnation::TargetIncarnation;

/// Largest answer to a reading of a prompt, in bytes.
const MOST_READ_ANSWER: usize = 64 * 1024;
/// Shortest wait for a reading before it is asked for elsewhere.
const SHORTEST_READ_WAIT: Duration = Duration::from_millis(1_500);
/// Longest time, in expected times, for a reading.
const READ_PATIENCE: f64 = 4.0;
/// Readings asked for before the decode engine reads itself.
const MOST_READINGS: u32 = 2;

impl Gateway {
    // Reads the prompt where that pays. One reading that an engine takes up is no
    // repeat. Any send after one that came to nothing is, also the run: without a
    // repeat left the request is refused, or failing readers would have the fleet
    // send every request twice.
    pub(super) async fn read_ahead(
        self: &Rc<Self>,
        call: &Rc<RoutedRequest>,
        place: &EnginePlacement,
        trail: &mut SendHistory,
    ) -> Result<Option<CacheHandleGuard>, Failure> {
        let Some(mut reader) = place.reader.clone() else {
            return Ok(None);
        };
        if trail.prompt_read && !self.may_retry(call) {
            return Ok(None);
        }
        let mut tried: Vec<TargetIncarnation> = Vec::new();
        for _ in 0..MOST_READINGS {
            match self.read_prompt(call, &reader, place).await {
                Reading::Kept(handle) => {
                    trail.prompt_read = true;
                    return Ok(Some(handle));
                }
                Reading::NotSent => {}
                Reading::Failed(reason) if !self.may_retry(call) => {
                    return Err(Failure::refused(reason, ENGINE_BUSY_WAIT));
                }
                Reading::Failed(_) => {}
            }
            tried.push(reader.id.clone());
            let Some(next) = self.choose_other_prefill_engine(call, &tried) else {
                break;
            };
            reader = next;
        }
        Ok(None)
    }

    fn choose_other_prefill_engine(
        &self,
        call: &RoutedRequest,
        tried: &[TargetIncarnation],
    ) -> Option<Arc<TargetRecord>> {
        let choices = EngineCandidates {
            engines: &self.staying(call.view.service_targets(&call.service.name)),
            changing: &self.changing(),
            excluded: tried,
        };
        let (prompt, urgency) = (call.prompt(), call.route.urgency);
        let core = self.core.borrow();
        core.choose_other_prefill_engine(&choices, &prompt, urgency, clock::mono_now())
    }

    async fn read_prompt(
        self: &Rc<Self>,
        call: &Rc<RoutedRequest>,
        reader: &Arc<TargetRecord>,
        place: &EnginePlacement,
    ) -> Reading {
        let sent = Instant::now();
        let _work = InFlightGuard::begin(self, &reader.id, place.rank, place.unread_tokens);
        let patience = Duration::from_secs_f64(place.expected_ms * READ_PATIENCE / 1_000.0);
        let until = sent + patience.max(SHORTEST_READ_WAIT);
        let fetch_from = place.fetch_from.as_deref();
        let order = self.order(
            call,
            reader,
            SendMode::ReadPrompt,
            None,
            fetch_from,
            place.rank,
        );
        let outcome = self.send(reader, call.plan(until), &order).await;
        let until = until.min(call.due);
        let reading = self.finish_reading(call, reader, outcome, until).await;
        call.log_send(reader, "read_prompt", reading.as_str(), sent);
        if let Reading::Kept(_) = reading {
            self.note_cached(call, reader);
            // What waits at a reader that was not chosen first is not known here.
            if place.reader.as_ref().is_some_and(|r| r.id == reader.id) {
                self.note_time(&place.timed_prefill(reader), sent.elapsed());
            }
        }
        reading
    }

    async fn finish_reading(
        self: &Rc<Self>,
        call: &RoutedRequest,
        reader: &Arc<TargetRecord>,
        outcome: SendOutcome,
        until: Instant,
    ) -> Reading {
        let answer = match outcome {
            SendOutcome::Answered(answer) => answer,
            SendOutcome::NotSent(_) => return Reading::NotSent,
            SendOutcome::WrongTarget | SendOutcome::WrongWork => {
                let reason = "left its address or does other work now";
                return Reading::Failed(format!("{} {reason}", reader.id));
            }
            SendOutcome::Refused(reason) | SendOutcome::Unclear(reason) => {
                return Reading::Failed(reason);
            }
        };
        if !answer.head.status.is_success() {
            self.note_result(reader, SendResult::Failed);
            return Reading::Failed(format!("{} said {}", reader.id, answer.head.status));
        }
        let read = client::read_body(answer.body, MOST_READ_ANSWER, until).await;
        let body = match read {
            Ok(body) => body,
            Err(fault) => {
                self.record_body_error(call, reader, &fault);
                return Reading::Failed(fault.to_string());
            }
        };
        let name = match (self.ports.wire.decode_read)(&body) {
            Ok(name) => name,
            Err(fault) => {
                self.note_result(reader, SendResult::Failed);
                return Reading::Failed(fault.to_string());
            }
        };
        self.note_result(reader, SendResult::Answered);
        self.note_answered(reader, answer.times);
        answer.lease.give_back(&answer.head);
        let handle = KvCacheHandle {
            holder: reader.address,
            name,
        };
        Reading::Kept(CacheHandleGuard::new(self.clone(), reader.clone(), handle))
    }
}

// What became of the reading of a prompt; nothing has run in any case.
enum Reading {
    Kept(CacheHandleGuard),
    // No byte left.
    NotSent,
    // It arrived at an engine and came to nothing.
    Failed(String),
}

impl Reading {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Kept(_) => "read",
            Self::NotSent => "not_sent",
            Self::Failed(_) => "not_read",
        }
    }
}

/// A kept prompt that is freed unless another engine took it.
pub struct CacheHandleGuard {
    gateway: Rc<Gateway>,
    reader: Arc<TargetRecord>,
    handle: Option<KvCacheHandle>,
}

impl CacheHandleGuard {
    fn new(gateway: Rc<Gateway>, reader: Arc<TargetRecord>, handle: KvCacheHandle) -> Self {
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

impl Drop for CacheHandleGuard {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else {
            return;
        };
        let gateway = self.gateway.clone();
        let reader = self.reader.clone();
        tokio::task::spawn_local(
            async move { gateway.release_handle(&reader, &handle.name).await },
        );
    }
}
