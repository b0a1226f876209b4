//! Generation on model engines: where the prompt is read, where tokens are made.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock;
use crate::gateway::call::{InFlightGuard, RoutedRequest, SendHistory};
use crate::gateway::client::{self, BodyError};
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::engine_choice::EnginePlacement;
use crate::gateway::deciding::engine_model::EngineWork;
use crate::gateway::deciding::health::SendResult;
use crate::gateway::deciding::{EngineCandidates, PlacementQuery, TimedWork};
use crate::gateway::forward::lost;
use crate::gateway::model::TargetRecord;
use crate::gateway::port::{SendMode, SendOrder};
use crate::gateway::reading::CacheHandleGuard;
use crate::gateway::reply::{Failure, Reply, stream_reply, whole_reply};
use crate::gateway::sending::{SendOutcome, TargetAnswer};
use crate::gateway::stream::{EventRelay, FirstEventTimer};
use crate::target_incarnation::TargetIncarnation;

/// Time to come back after a refusal by an engine.
pub(super) const ENGINE_BUSY_WAIT: Duration = Duration::from_millis(200);
/// Largest failure of an engine that is passed on, in bytes.
const MOST_FAILURE_BYTES: usize = 1 << 20;
/// Shortest time after which callers give up a stream without a first event, as the
/// users state it; so are the two below.
const SHORTEST_PATIENCE: Duration = Duration::from_secs(2);
const PATIENCE_OBJECTIVES: u32 = 4;
const PATIENCE_GAPS: u32 = 8;
/// Part of that time which a request may spend waiting for others. Its own reading
/// is not counted, or the largest prompts would be refused first.
const LATE_SHARE: f64 = 0.7;
/// Time to come back after a refusal for overload.
const OVERLOAD_WAIT: Duration = Duration::from_millis(900);

impl Gateway {
    /// Runs a generation request up to the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns the failure that the caller is told.
    pub async fn generate(self: Rc<Self>, call: Rc<RoutedRequest>) -> Result<Reply, Failure> {
        let mut trail = SendHistory::default();
        let started = self.generate_along(&call, &mut trail).await;
        started.map_err(|failure| match failure.retry_after {
            Some(_) if trail.may_have_run => lost(&call, failure.reason),
            _ => failure,
        })
    }

    async fn generate_along(
        self: &Rc<Self>,
        call: &Rc<RoutedRequest>,
        trail: &mut SendHistory,
    ) -> Result<Reply, Failure> {
        let mut last = Failure::refused("no engine is known", ENGINE_BUSY_WAIT);
        while let Some(place) = self.place_request(call, trail).await {
            self.recheck_access(&call.access)?;
            self.check_quarantine(call)?;
            if let Some(refusal) = too_late(call, &place) {
                return Err(refusal);
            }
            self.note_placed(call, &place);
            let handle = self.read_ahead(call, &place, trail).await?;
            let place = self.with_writer(call, place, handle.is_some(), trail);
            match self.start(call, &place, handle, trail).await {
                Started::Reply(reply) => return Ok(reply),
                Started::Again(failure) => last = failure,
                Started::Ended(failure) => return Err(failure),
            }
        }
        Err(last)
    }

    fn with_writer(
        &self,
        call: &RoutedRequest,
        mut place: EnginePlacement,
        was_read: bool,
        trail: &SendHistory,
    ) -> EnginePlacement {
        if place.reader.is_none() || !was_read {
            return place;
        }
        let (prompt, urgency) = (call.prompt(), call.route.urgency);
        let writer = self.with_choices(call, trail, |choices| {
            let core = self.core.borrow();
            core.writer(&choices, &prompt, urgency, clock::mono_now())
        });
        place.writer = writer.unwrap_or(place.writer);
        place
    }

    fn note_placed(&self, call: &RoutedRequest, place: &EnginePlacement) {
        let now = clock::mono_now();
        let written = call.caller.prompt.as_ref().map_or(0, |p| p.output_tokens);
        let mut core = self.core.borrow_mut();
        core.work.note(place.unread_tokens, written, now);
        let reader = place.reader.as_ref().unwrap_or(&place.writer);
        if let Some(prompt) = &call.caller.prompt {
            core.note_parts(&reader.id, &prompt.parts, false, now);
            let mut peers = self.peers.borrow_mut();
            peers.note_cached(&reader.id, &prompt.parts, false);
        }
        let load = &core.load;
        let prompt = call.caller.prompt.as_ref();
        log::info!(
            request = call.caller.id.as_str(),
            route = call.route.name.as_str(),
            reader = reader.id.as_str(),
            writer = place.writer.id.as_str(),
            hand_over = place.reader.is_some(),
            prompt_tokens = prompt.map_or(0, |p| p.prompt_tokens),
            unread_tokens = place.unread_tokens,
            reread_tokens = place.reread_tokens,
            rank = place.rank,
            waiting_tokens = load.total(&reader.id).prefill_tokens_before(place.rank),
            fetch_from = place.fetch_from.as_ref().map_or("", |holder| holder.id.as_str()),
            running = load.total(&place.writer.id).running,
            others_known = load.others(),
            expected_ms = place.expected_ms as u64;
            "placed"
        );
    }

    async fn start(
        self: &Rc<Self>,
        call: &Rc<RoutedRequest>,
        place: &EnginePlacement,
        mut handle: Option<CacheHandleGuard>,
        trail: &mut SendHistory,
    ) -> Started {
        let writer = &place.writer;
        let unread = match handle {
            Some(_) => 0,
            None => place.unread_tokens,
        };
        let mut work = InFlightGuard::begin(self, &writer.id, place.rank, unread);
        let mut timed = self.timed_start(place, handle.is_some());
        let fetch_from = place.fetch_from.as_deref().filter(|_| handle.is_none());
        let sent = Instant::now();
        let mode = handle
            .as_ref()
            .map_or(SendMode::Run, CacheHandleGuard::mode);
        let mut outcome = self
            .send_writer(call, writer, mode, fetch_from, place.rank, sent)
            .await;
        if handle.is_some() && matches!(outcome, SendOutcome::Refused(_)) {
            // The memory could not be had. The same engine can still read by itself,
            // which is no further target.
            if let Some(handle) = &mut handle {
                handle.forget();
            }
            if self.may_retry(call) {
                timed = None;
                let fetch_from = Some(place.reader.as_deref().unwrap_or(writer));
                outcome = self
                    .send_writer(call, writer, SendMode::Run, fetch_from, place.rank, sent)
                    .await;
            }
        }
        let failure = match outcome {
            SendOutcome::Answered(answer) => {
                trail.sent.push(writer.id.clone());
                if let Some(handle) = &mut handle {
                    handle.forget();
                }
                if !answer.head.status.is_success() {
                    return self.fail_with(call, writer, *answer).await;
                }
                self.note_cached(call, writer);
                work.note_read();
                let watch = FirstEventTimer { sent, timed };
                let relay = self.relay(call, place, *answer, trail.clone(), (work, watch));
                return Started::Reply(relay);
            }
            SendOutcome::NotSent(reason) => {
                trail.unreached.push(writer.id.clone());
                return Started::Again(Failure::refused(reason, ENGINE_BUSY_WAIT));
            }
            SendOutcome::WrongTarget | SendOutcome::WrongWork => {
                trail.unreached.push(writer.id.clone());
                let reason = "the engine left its address or does other work now";
                let failure = Failure::refused(reason, ENGINE_BUSY_WAIT);
                // The next send is a repeat, as this one arrived somewhere.
                return if self.may_retry(call) {
                    Started::Again(failure)
                } else {
                    Started::Ended(failure)
                };
            }
            SendOutcome::Refused(reason) => Failure::refused(reason, ENGINE_BUSY_WAIT),
            SendOutcome::Unclear(reason) => {
                trail.may_have_run = true;
                lost(call, reason)
            }
        };
        trail.sent.push(writer.id.clone());
        let refused = failure.retry_after.is_some();
        let repeats = refused || call.route.repeat.may_retry();
        if repeats && trail.may_send(call) && self.may_retry(call) {
            return Started::Again(failure);
        }
        Started::Ended(failure)
    }

    /// Notes the time of work at an engine.
    pub fn note_time(&self, timed: &TimedWork, taken: Duration) {
        let taken_ms = taken.as_secs_f64() * 1_000.0;
        let mut core = self.core.borrow_mut();
        let ratio = core.note_time(timed, taken_ms, clock::mono_now());
        metrics::histogram!("pistachiowick_engine_time_ratio", "work" => timed.work.as_str())
            .record(ratio);
    }

    // Other work that a writer takes up between the choice and the send is not in the
    // size, as it would not be for the next choice.
    fn timed_start(&self, place: &EnginePlacement, was_read: bool) -> Option<TimedWork> {
        let writer = &place.writer;
        if !was_read {
            let chosen = place.reader.is_none();
            return chosen.then(|| place.timed_prefill(writer));
        }
        let core = self.core.borrow();
        let waiting = core
            .load
            .total(&writer.id)
            .prefill_tokens_before(place.rank);
        Some(TimedWork {
            engine: writer.clone(),
            work: EngineWork::TakeOver,
            tokens: f64::from(waiting),
        })
    }

    async fn send_writer(
        &self,
        call: &RoutedRequest,
        writer: &TargetRecord,
        mode: SendMode,
        fetch_from: Option<&TargetRecord>,
        rank: u8,
        sent: Instant,
    ) -> SendOutcome {
        let step = match mode {
            SendMode::TakeOver(_) => "take_over",
            _ => "run",
        };
        let resume_after = call.caller.resume_after;
        let order = self.order(call, writer, mode, resume_after, fetch_from, rank);
        let outcome = self.send(writer, call.plan(call.due), &order).await;
        call.log_send(writer, step, outcome.as_str(), sent);
        outcome
    }

    /// Makes the order of a send to an engine.
    #[must_use]
    pub fn order(
        &self,
        call: &RoutedRequest,
        engine: &TargetRecord,
        mode: SendMode,
        resume_after: Option<u64>,
        fetch_from: Option<&TargetRecord>,
        rank: u8,
    ) -> SendOrder {
        SendOrder {
            target: engine.id.clone(),
            time_left: call.time_left(),
            mode,
            resume_after,
            fetch_from: fetch_from.map(|holder| holder.address),
            rank: Some(rank),
            access: call.access.clone(),
        }
    }

    fn relay(
        self: &Rc<Self>,
        call: &Rc<RoutedRequest>,
        place: &EnginePlacement,
        answer: TargetAnswer,
        trail: SendHistory,
        (work, watch): (InFlightGuard, FirstEventTimer),
    ) -> Reply {
        let head = answer.head.clone();
        let relay = EventRelay::new(
            self.clone(),
            call.clone(),
            place.writer.clone(),
            answer,
            trail,
            work,
            watch,
        );
        stream_reply(head, relay.into_frames())
    }

    async fn fail_with(
        &self,
        call: &RoutedRequest,
        engine: &TargetRecord,
        answer: TargetAnswer,
    ) -> Started {
        self.note_result(engine, SendResult::Failed);
        let body = client::read_body(answer.body, MOST_FAILURE_BYTES, call.due).await;
        match body {
            Ok(body) => {
                answer.lease.give_back(&answer.head);
                Started::Reply(whole_reply(answer.head, body))
            }
            Err(fault) => {
                if let BodyError::Cut(reason) = &fault {
                    self.record_connection_loss(call, engine, reason);
                }
                Started::Ended(lost(call, fault.to_string()))
            }
        }
    }

    pub(super) fn note_cached(&self, call: &RoutedRequest, engine: &TargetRecord) {
        let Some(prompt) = &call.caller.prompt else {
            return;
        };
        let mut core = self.core.borrow_mut();
        core.note_parts(&engine.id, &prompt.parts, true, clock::mono_now());
        let mut peers = self.peers.borrow_mut();
        peers.note_cached(&engine.id, &prompt.parts, true);
    }

    /// Chooses the engines of a request among those that its trail leaves.
    #[must_use]
    pub fn place(&self, call: &RoutedRequest, trail: &SendHistory) -> Option<EnginePlacement> {
        let prompt = call.prompt();
        self.with_choices(call, trail, |choices| {
            let order = PlacementQuery {
                choices,
                prompt: &prompt,
                urgency: call.route.urgency,
                objective_left: call.objective_left(),
            };
            self.core.borrow().place(&order, clock::mono_now())
        })
    }

    /// Engines that are being changed, by this daemon or another one.
    #[must_use]
    pub fn changing(&self) -> Vec<TargetIncarnation> {
        let peers = self.peers.borrow();
        let own = self.local_stage_changes.borrow();
        let all = peers.changing(clock::mono_now()).chain(own.iter());
        all.cloned().collect()
    }

    /// Engines of a list that still may get work, as they are now: an engine may have
    /// changed its stage since a request arrived.
    #[must_use]
    pub fn staying(&self, engines: &[Arc<TargetRecord>]) -> Vec<Arc<TargetRecord>> {
        let newest = self.view();
        let staying = engines.iter().filter_map(|engine| newest.find(&engine.id));
        staying.cloned().collect()
    }

    pub(super) fn with_choices<T>(
        &self,
        call: &RoutedRequest,
        trail: &SendHistory,
        decide: impl FnOnce(EngineCandidates<'_>) -> T,
    ) -> T {
        let excluded: Vec<TargetIncarnation> = trail.tried().cloned().collect();
        decide(EngineCandidates {
            engines: &self.staying(call.view.service_targets(&call.service.name)),
            changing: &self.changing(),
            excluded: &excluded,
        })
    }
}

// A caller of a stream gives up when the first event does not come. Work for it
// would be in vain and hold up others; told at once, it may come back in time.
fn too_late(call: &RoutedRequest, place: &EnginePlacement) -> Option<Failure> {
    let gap = call.route.gap_objective.unwrap_or_default();
    let patience = SHORTEST_PATIENCE
        .max(call.route.objective * PATIENCE_OBJECTIVES)
        .max(gap * PATIENCE_GAPS);
    let left = patience.saturating_sub(call.arrived.elapsed());
    let waiting_ms = place.expected_ms - place.own_ms;
    let late = waiting_ms > left.as_secs_f64() * 1_000.0 * LATE_SHARE;
    late.then(|| {
        let reason = format!("the first event would take {:.0} ms", place.expected_ms);
        Failure::refused(reason, OVERLOAD_WAIT)
    })
}

enum Started {
    Reply(Reply),
    Again(Failure),
    Ended(Failure),
}
