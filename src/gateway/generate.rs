//! Generation on model engines: placement of the prefill and decode phases.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock;
use crate::gateway::budget::RetryCause;
use crate::gateway::call::{InFlightGuard, RoutedRequest, SendHistory, join_digests};
use crate::gateway::client::{self, BodyError};
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::engine_choice::EnginePlacement;
use crate::gateway::deciding::engine_model::EngineWork;
use crate::gateway::deciding::health::SendResult;
use crate::gateway::deciding::{EngineCandidates, PlacementQuery, TimedWork};
use crate::gateway::forward::lost_answer;
use crate::gateway::handover;
use crate::gateway::model::TargetRecord;
use crate::gateway::port::{SendMode, SendOrder};
use crate::gateway::rate_limits::late_turns;
use crate::gateway::reading::CacheHandleGuard;
use crate::gateway::reply::{Failure, Reply, stream_reply, whole_reply};
use crate::gateway::sending::{SendOutcome, TargetAnswer};
use crate::gateway::stream::{EventRelay, FirstEventTimer};
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::tracker::TurnTerms;

/// Retry time after a refusal by an engine.
pub(super) const ENGINE_BUSY_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Largest failure answer of an engine that is forwarded to the caller, in bytes.
const MAX_FAILURE_BYTES: usize = 1 << 20;
/// Callers abandon a stream without a first event after the longest of this time and the
/// two multiples below. All three values were stated by the users of the service.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// The same, as a multiple of the route's latency objective.
const CALLER_TIMEOUT_OBJECTIVES: u32 = 4;
/// The same, as a multiple of the route's gap objective.
const CALLER_TIMEOUT_GAPS: u32 = 8;
/// Share of the caller's time-out that a request may wait for other requests. Its own
/// prefill time is not counted; otherwise the largest prompts would be refused first.
const MAX_QUEUE_SHARE: f64 = 0.7;
/// Retry time after a refusal because of overload.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(900);

impl Gateway {
    /// Runs a generation request up to the head of its answer; the body is forwarded as it
    /// arrives.
    ///
    /// # Errors
    ///
    /// Returns the failure to report to the caller.
    pub async fn generate(
        self: &Rc<Self>,
        call: &Rc<RoutedRequest>,
        history: &mut SendHistory,
    ) -> Result<Reply, Failure> {
        let started = self.generate_with_history(call, history).await;
        started.map_err(|failure| match failure.retry_after {
            Some(_) if history.may_have_run => lost_answer(call, failure.reason),
            Some(_) => self.backoff_refusal(call, history).unwrap_or(failure),
            None => failure,
        })
    }

    async fn generate_with_history(
        self: &Rc<Self>,
        call: &Rc<RoutedRequest>,
        history: &mut SendHistory,
    ) -> Result<Reply, Failure> {
        let mut last = Failure::refused(
            "no engine of the service is available; retry later",
            ENGINE_BUSY_RETRY_AFTER,
        );
        while let Some(place) = self.place_request(call, history).await {
            self.recheck_access(&call.access)?;
            self.check_quarantine(call)?;
            self.check_reach(&call.service.name)?;
            if let Some(refusal) = overload_refusal(call, &place) {
                return Err(refusal);
            }
            self.record_placement(call, &place);
            let handle = self.prefill_remotely(call, &place, history).await?;
            let prefill_engine = handle.as_ref().map(CacheHandleGuard::prefill_engine);
            let place = self.reselect_decode_engine(call, place, prefill_engine, history);
            match self.start(call, &place, handle, history).await {
                Started::Reply(reply) => return Ok(reply),
                Started::Retry(failure) => last = failure,
                Started::Failed(failure) => return Err(failure),
            }
        }
        Err(self.no_turn_refusal(call, history).unwrap_or(last))
    }

    fn reselect_decode_engine(
        &self,
        call: &RoutedRequest,
        mut place: EnginePlacement,
        prefill_engine: Option<&TargetRecord>,
        history: &SendHistory,
    ) -> EnginePlacement {
        let Some(prefill_engine) = prefill_engine else {
            return place;
        };
        let (prompt, urgency) = (call.prompt(), call.route.urgency);
        let tried: Vec<TargetIncarnation> = history.tried().cloned().collect();
        let terms = call.continued_turn_terms();
        let decode_engine = self.with_candidates(call, &tried, terms, |candidates| {
            let core = self.core.borrow();
            let work = (&prompt, urgency);
            core.choose_decode_engine(&candidates, prefill_engine, work, clock::mono_now())
        });
        place.decode_engine = decode_engine.unwrap_or(place.decode_engine);
        place
    }

    fn record_placement(&self, call: &RoutedRequest, place: &EnginePlacement) {
        let now = clock::mono_now();
        let output_tokens = call.caller.prompt.as_ref().map_or(0, |p| p.output_tokens);
        let mut core = self.core.borrow_mut();
        core.work
            .note(place.pending_prefill_tokens, output_tokens, now);
        if self.settings().measures_engine_time() {
            core.note_prefill_time(&call.service.name, place, now);
        }
        let prefill_engine = place
            .prefill_engine
            .as_ref()
            .unwrap_or(&place.decode_engine);
        if let Some(prompt) = &call.caller.prompt {
            core.note_parts(&prefill_engine.id, &prompt.parts, false, now);
            let mut peers = self.peers.borrow_mut();
            peers.note_cached(&prefill_engine.id, &prompt.parts, false);
        }
        let load = &core.load;
        let prompt = call.caller.prompt.as_ref();
        log::info!(
            request = call.caller.id.as_str(),
            route = call.route.name.as_str(),
            reader = prefill_engine.id.as_str(),
            writer = place.decode_engine.id.as_str(),
            reader_software = prefill_engine.software.as_str(),
            writer_software = place.decode_engine.software.as_str(),
            hand_over = place.prefill_engine.is_some(),
            parts = join_digests(call.parts()),
            prompt_tokens = prompt.map_or(0, |p| p.prompt_tokens),
            unread_tokens = place.pending_prefill_tokens,
            reread_tokens = place.recomputed_tokens,
            rank = place.rank,
            waiting_tokens = load.total(&prefill_engine.id).prefill_tokens_before(place.rank),
            fetch_from = place.fetch_from.as_ref().map_or("", |holder| holder.id.as_str()),
            running = load.total(&place.decode_engine.id).running,
            others_known = load.peer_count(),
            expected_ms = place.expected_ms as u64;
            "placed"
        );
    }

    async fn start(
        self: &Rc<Self>,
        call: &Rc<RoutedRequest>,
        place: &EnginePlacement,
        mut handle: Option<CacheHandleGuard>,
        history: &mut SendHistory,
    ) -> Started {
        let decode_engine = &place.decode_engine;
        let pending_tokens = match handle {
            Some(_) => 0,
            None => place.pending_prefill_tokens,
        };
        let mut in_flight =
            InFlightGuard::begin(self, &decode_engine.id, place.rank, pending_tokens);
        if let Some(limits) = &call.service.engine
            && self.settings().measures_engine_time()
        {
            let prompt = call.caller.prompt.as_ref();
            let share = limits.occupied_share(prompt.map_or(0, |p| p.prompt_tokens));
            in_flight.measure_occupancy(&call.service.name, share);
        }
        let mut timed = self.timed_work(place, handle.is_some());
        let fetch_from = place.fetch_from.as_deref().filter(|_| handle.is_none());
        let sent = Instant::now();
        let mode = handle
            .as_ref()
            .map_or(SendMode::Run, CacheHandleGuard::mode);
        let mut outcome = self
            .send_run(call, decode_engine, mode, fetch_from, place.rank, sent)
            .await;
        if handle.is_some() && matches!(outcome, SendOutcome::Refused(_)) {
            // The decode engine could not import the KV cache. It can still prefill the
            // prompt itself, which does not count as another target.
            if let Some(handle) = &mut handle {
                handle.forget();
            }
            if !self.is_backing_off(&decode_engine.id)
                && self.take_retry(call, RetryCause::RefusedTransfer)
            {
                timed = None;
                let fetch_from = Some(place.prefill_engine.as_deref().unwrap_or(decode_engine));
                outcome = self
                    .send_run(
                        call,
                        decode_engine,
                        SendMode::Run,
                        fetch_from,
                        place.rank,
                        sent,
                    )
                    .await;
            }
        }
        let failure = match outcome {
            SendOutcome::Answered(answer) => {
                history.sent.push(decode_engine.id.clone());
                if let Some(handle) = &mut handle {
                    handle.forget();
                }
                if !answer.head.status.is_success() {
                    return self.pass_on_failure(call, decode_engine, *answer).await;
                }
                self.note_cached(call, decode_engine);
                in_flight.note_prefilled();
                let first_event_timer = FirstEventTimer {
                    sent: answer.sent_at,
                    timed,
                };
                let relay = self.relay(
                    call,
                    place,
                    *answer,
                    history.clone(),
                    (in_flight, first_event_timer),
                );
                return Started::Reply(relay);
            }
            SendOutcome::NotSent(reason) => {
                history.unreached.push(decode_engine.id.clone());
                return Started::Retry(Failure::refused(reason, ENGINE_BUSY_RETRY_AFTER));
            }
            SendOutcome::WrongTarget | SendOutcome::WrongWork => {
                history.unreached.push(decode_engine.id.clone());
                let reason =
                    "the engine is no longer at its address or has changed its stage; retry later";
                let failure = Failure::refused(reason, ENGINE_BUSY_RETRY_AFTER);
                // This send arrived at a target, so the next one is a retry.
                return if self.take_retry(call, RetryCause::Misdirected) {
                    Started::Retry(failure)
                } else {
                    Started::Failed(failure)
                };
            }
            SendOutcome::Refused(reason) => Failure::refused(reason, ENGINE_BUSY_RETRY_AFTER),
            SendOutcome::Unclear(reason) => {
                history.may_have_run = true;
                lost_answer(call, reason)
            }
        };
        history.sent.push(decode_engine.id.clone());
        let refused = failure.retry_after.is_some();
        let can_retry = refused || call.route.retry.may_retry();
        let has_other = || self.place(call, history, call.turn_terms()).is_some();
        let cause = if refused {
            RetryCause::Refused
        } else {
            RetryCause::Unclear
        };
        if can_retry && history.may_send(call) && has_other() && self.take_retry(call, cause) {
            return Started::Retry(failure);
        }
        Started::Failed(failure)
    }

    /// Records how long work at an engine took.
    pub fn note_time(&self, timed: &TimedWork, taken: Duration) {
        let taken_ms = taken.as_secs_f64() * 1_000.0;
        let mut core = self.core.borrow_mut();
        let ratio = core.note_time(timed, taken_ms, clock::mono_now());
        metrics::histogram!("pistachiowick_engine_time_ratio", "work" => timed.work.as_str())
            .record(ratio);
    }

    // Returns the work that the time to the first event is recorded for. The tokens of a
    // prefill leave out other work that the engine received between placement and send,
    // since the next placement will not know such work either.
    fn timed_work(&self, place: &EnginePlacement, was_prefilled: bool) -> Option<TimedWork> {
        let decode_engine = &place.decode_engine;
        if !was_prefilled {
            let prefill_was_planned = place.prefill_engine.is_none();
            return prefill_was_planned.then(|| place.timed_prefill(decode_engine));
        }
        let core = self.core.borrow();
        let waiting = core
            .load
            .total(&decode_engine.id)
            .prefill_tokens_before(place.rank);
        Some(TimedWork {
            engine: decode_engine.clone(),
            work: EngineWork::KvTransfer,
            tokens: f64::from(waiting),
        })
    }

    async fn send_run(
        &self,
        call: &RoutedRequest,
        decode_engine: &TargetRecord,
        mode: SendMode,
        fetch_from: Option<&TargetRecord>,
        rank: u8,
        sent: Instant,
    ) -> SendOutcome {
        let step = match mode {
            SendMode::DecodeFrom(_) => "take_over",
            _ => "run",
        };
        let resume_after = call.caller.resume_after;
        let turn_terms = match mode {
            SendMode::DecodeFrom(_) => call.continued_turn_terms(),
            SendMode::Run | SendMode::Prefill => call.turn_terms(),
        };
        let order = self.order(call, decode_engine, mode, resume_after, fetch_from, rank);
        let plan = call.plan(call.deadline, turn_terms);
        let outcome = self.send(decode_engine, plan, &order).await;
        call.log_send(decode_engine, step, outcome.as_str(), sent);
        outcome
    }

    /// Returns the parameters of a send to an engine.
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
        history: SendHistory,
        (in_flight, first_event_timer): (InFlightGuard, FirstEventTimer),
    ) -> Reply {
        let mut head = answer.head.clone();
        if call.origin.is_some() {
            // The other daemon is told with the head, so the version no longer changes before the
            // first event.
            let software = call
                .software
                .get_or_init(|| place.decode_engine.software.clone());
            handover::state_software(&mut head, software);
        }
        let relay = EventRelay::new(
            self.clone(),
            call.clone(),
            place.decode_engine.clone(),
            answer,
            history,
            in_flight,
            first_event_timer,
        );
        stream_reply(head, relay.into_frames())
    }

    async fn pass_on_failure(
        &self,
        call: &RoutedRequest,
        engine: &TargetRecord,
        answer: TargetAnswer,
    ) -> Started {
        self.note_result(engine, SendResult::Failed);
        let body = client::read_body(answer.body, MAX_FAILURE_BYTES, call.deadline).await;
        match body {
            Ok(body) => {
                answer.connection.return_to_pool(&answer.head);
                Started::Reply(whole_reply(answer.head, body))
            }
            Err(error) => {
                if let BodyError::Cut(reason) = &error {
                    self.record_connection_loss(call, engine, reason);
                }
                Started::Failed(lost_answer(call, error.to_string()))
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

    /// Chooses the engines of a request among those that it was not sent to yet.
    #[must_use]
    pub fn place(
        &self,
        call: &RoutedRequest,
        history: &SendHistory,
        turn_terms: TurnTerms,
    ) -> Option<EnginePlacement> {
        let prompt = call.prompt();
        let tried: Vec<TargetIncarnation> = history.tried().cloned().collect();
        self.with_candidates(call, &tried, turn_terms, |candidates| {
            let query = PlacementQuery {
                choices: candidates,
                prompt: &prompt,
                urgency: call.route.urgency,
                objective_left: call.objective_left(),
            };
            self.core.borrow().place(&query, clock::mono_now())
        })
    }

    /// Returns the engines whose stage is being changed, by this daemon or a peer.
    #[must_use]
    pub fn changing(&self) -> Vec<TargetIncarnation> {
        let peers = self.peers.borrow();
        let local = self.local_stage_changes.borrow();
        let all = peers.changing(clock::mono_now()).chain(local.iter());
        all.cloned().collect()
    }

    /// Returns the current records of the engines in a list that may still receive work:
    /// an engine may have changed its stage since a request arrived.
    #[must_use]
    pub fn eligible(&self, engines: &[Arc<TargetRecord>]) -> Vec<Arc<TargetRecord>> {
        let current = self.view();
        let eligible = engines.iter().filter_map(|engine| current.find(&engine.id));
        eligible.cloned().collect()
    }

    pub(super) fn with_candidates<T>(
        &self,
        call: &RoutedRequest,
        tried: &[TargetIncarnation],
        turn_terms: TurnTerms,
        decide: impl FnOnce(EngineCandidates<'_>) -> T,
    ) -> T {
        let engines = self.eligible(call.view.service_targets(&call.service.name));
        let turns = self.turn_offers(&engines, turn_terms);
        let excluded: Vec<TargetIncarnation> = tried
            .iter()
            .chain(late_turns(&turns, turn_terms))
            .cloned()
            .collect();
        decide(EngineCandidates {
            engines: &engines,
            changing: &self.changing(),
            excluded: &excluded,
            turns: &turns,
            software: call.software.get(),
            request_bytes: call.request.body.len(),
        })
    }
}

// Refuses a stream whose first event would come after the caller's time-out. Its work
// would be wasted and delay other requests; after an early refusal the caller can still
// retry in time.
fn overload_refusal(call: &RoutedRequest, place: &EnginePlacement) -> Option<Failure> {
    let gap = call.route.gap_objective.unwrap_or_default();
    let caller_timeout = MIN_CALLER_TIMEOUT
        .max(call.route.objective * CALLER_TIMEOUT_OBJECTIVES)
        .max(gap * CALLER_TIMEOUT_GAPS);
    let left = caller_timeout.saturating_sub(call.arrived.elapsed());
    let waiting_ms = place.expected_ms - place.own_prefill_ms;
    let overloaded = waiting_ms > left.as_secs_f64() * 1_000.0 * MAX_QUEUE_SHARE;
    overloaded.then(|| {
        let reason = format!(
            "overloaded: the first event would take {:.0} ms; retry later",
            place.expected_ms
        );
        Failure::refused(reason, OVERLOAD_RETRY_AFTER)
    })
}

enum Started {
    Reply(Reply),
    Retry(Failure),
    Failed(Failure),
}
