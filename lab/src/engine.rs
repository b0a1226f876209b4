//! Stand-in for a model engine: continuous batching, prefix cache, roles, faults.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use indexmap::IndexMap;
use pistachiowick::clock::unix_now;
use pistachiowick::names::{FenceNumber, ProcessIncarnation, RequestId, millis};
use pistachiowick::targets::wire::{
    CacheEvent, CacheEvents, EngineRole, EngineState, GenerateBody, OrderBody, OrderId, StreamLine,
};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};
use xxhash_rust::xxh3::xxh3_64;

use crate::answers::{AnswerText, TOKEN_BYTES};
use crate::chance::ChanceSource;
use crate::engine_books::{EngineBooks, OrderBook, StreamBook};
use crate::engine_model::{EngineModel, StepResult, StreamName, StreamWork, reserved_tokens};
use crate::engine_options::{EngineFaults, EngineOptions};
use crate::engine_steps::import_kv;
use crate::engine_stream::{StreamCell, StreamProgress};
use crate::limit_book::NamedLimit;

pub use crate::engine_running::{EngineStandIn, RunningEngine};

/// Cache events kept for readers.
const EVENTS_KEPT: usize = 10_000;

/// Time to come back after a refusal, in engine time.
const RETRY_MS: f64 = 500.0;

/// Request named by crossed lines when no other stream is there.
const STRANGER: &str = "another-request";

/// Why a stream was not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// A change of role or models is under way.
    Changing,
    /// The engine is leaving.
    Leaving,
    /// The model, version or adapter is not loaded.
    NotLoaded,
    /// The queue is full.
    QueueFull,
    /// Prompt and answer would never fit into the KV cache.
    TooLarge,
}

/// KV cache of a prompt: `GET` and `PUT /v1/kv/NAME`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvPart {
    /// Shared prefix or request.
    pub prefix: String,
    /// Tokens held.
    pub tokens: u32,
}

/// What an order asks the engine to be.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct DesiredState {
    pub(crate) role: EngineRole,
    pub(crate) models: Vec<String>,
}

/// A cache event that becomes visible later.
struct LateEvent {
    visible_at: Instant,
    event: CacheEvent,
}

pub(crate) struct EngineInner {
    pub(crate) life: u64,
    pub(crate) incarnation: ProcessIncarnation,
    pub(crate) role: EngineRole,
    pub(crate) models: Vec<String>,
    pub(crate) desired: Option<DesiredState>,
    pub(crate) highest_fence: FenceNumber,
    pub(crate) last_order: Option<OrderId>,
    pub(crate) left_at: Option<Instant>,
    pub(crate) accepts_leaving: bool,
    pub(crate) frozen_until: Option<Instant>,
    pub(crate) model: EngineModel,
    pub(crate) streams: IndexMap<StreamName, Arc<StreamCell>>,
    events: VecDeque<LateEvent>,
    pub(crate) samples: VecDeque<(Instant, EngineState)>,
    pub(crate) faults: EngineFaults,
    pub(crate) limit: NamedLimit,
    pub(crate) books: EngineBooks,
}

/// State that the server, the step loop and the readers share.
pub struct EngineCore {
    /// Options.
    pub options: EngineOptions,
    /// Random faults.
    pub chance: ChanceSource,
    pub(crate) inner: Mutex<EngineInner>,
    pub(crate) woken: Notify,
    pub(crate) started: Instant,
    pub(crate) client: reqwest::Client,
}

impl EngineCore {
    pub(crate) fn new(options: EngineOptions) -> Self {
        let inner = EngineInner {
            life: 0,
            incarnation: ProcessIncarnation(unix_now().0),
            role: options.role,
            models: options.models.clone(),
            desired: None,
            highest_fence: FenceNumber::default(),
            last_order: None,
            left_at: None,
            accepts_leaving: false,
            frozen_until: None,
            model: EngineModel::default(),
            streams: IndexMap::new(),
            events: VecDeque::new(),
            samples: VecDeque::new(),
            faults: EngineFaults::default(),
            limit: NamedLimit::default(),
            books: EngineBooks::default(),
        };
        Self {
            chance: ChanceSource::new(options.seed),
            options,
            inner: Mutex::new(inner),
            woken: Notify::new(),
            started: Instant::now(),
            client: reqwest::Client::new(),
        }
    }

    pub(crate) fn inner(&self) -> MutexGuard<'_, EngineInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> EngineFaults {
        self.inner().faults.clone()
    }

    /// Writes into the books.
    pub fn book(&self, write: impl FnOnce(&mut EngineBooks)) {
        write(&mut self.inner().books);
    }

    /// Returns the books.
    pub fn books(&self) -> EngineBooks {
        self.inner().books.clone()
    }

    /// Books answer bytes sent to a reader.
    pub fn book_sent(&self, cell: &StreamCell, bytes: u64) {
        let key = book_key(cell.request_id.as_str(), cell.attempt);
        if let Some(book) = self.inner().books.streams.get_mut(&key) {
            book.bytes_sent += bytes;
        }
    }

    /// Returns a line that belongs to another request.
    pub fn line_of_another(&self, line: &StreamLine) -> StreamLine {
        let inner = self.inner();
        let other = inner
            .streams
            .values()
            .find(|cell| cell.request_id != line.request_id);
        let (request_id, attempt) = other.map_or_else(
            || (RequestId::from(STRANGER), 1),
            |cell| (cell.request_id.clone(), cell.attempt),
        );
        StreamLine {
            request_id,
            attempt,
            data: STANDARD.encode("zzz "),
            ..line.clone()
        }
    }

    /// Waits until no freeze is in force.
    pub async fn thawed(&self) {
        loop {
            let until = self.inner().frozen_until;
            match until {
                Some(until) if until > Instant::now() => {
                    tokio::time::sleep_until(until.into()).await;
                }
                _ => return,
            }
        }
    }

    /// Takes a stream, or attaches to one already taken.
    ///
    /// # Errors
    ///
    /// Returns why nothing was taken.
    pub fn start_stream(
        self: &Arc<Self>,
        body: &GenerateBody,
        prompt: &[u8],
    ) -> Result<Arc<StreamCell>, StartRefusal> {
        let name = StreamName {
            request_id: body.request_id.as_str().to_owned(),
            attempt: body.attempt,
        };
        let mut inner = self.inner();
        if let Some(left_at) = inner.left_at {
            let since = millis(left_at.elapsed());
            inner.books.starts_after_leave.push(since);
        }
        if let Some(cell) = inner.streams.get(&name).cloned() {
            inner.books.repeated_starts += 1;
            return Ok(cell);
        }
        let answer = AnswerText::new(
            prompt,
            body.model.as_str(),
            &body.adapter,
            &body.version,
            body.max_output_tokens,
        );
        let work = self.work_of(body, answer);
        if let Some(refusal) = inner.refusal(&self.options, body, &work) {
            inner.books.refused_starts += 1;
            return Err(refusal);
        }
        let cell = inner.take(&name, body, answer);
        let is_importing = work.importing;
        inner.model.push(name.clone(), work);
        drop(inner);
        if is_importing {
            tokio::spawn(import_kv(self.clone(), name, body.clone()));
        }
        self.woken.notify_one();
        Ok(cell)
    }

    fn work_of(&self, body: &GenerateBody, answer: AnswerText) -> StreamWork {
        let now_ms = self.started.elapsed().as_secs_f64() * 1_000.0;
        let done = u32::try_from(body.offset / TOKEN_BYTES as u64).unwrap_or(u32::MAX);
        StreamWork {
            priority: body.priority,
            deadline_ms: now_ms as u64 + body.deadline_ms,
            prompt_tokens: body.prompt_tokens,
            tokens_done: done.min(answer.tokens()),
            answer_tokens: answer.tokens(),
            max_output_tokens: body.max_output_tokens.max(1),
            prefix: body.shared_prefix.clone(),
            prefix_tokens: body.shared_prefix_tokens,
            importing: !body.import_kv_from.is_empty(),
        }
    }

    /// Finds a stream to resume.
    pub fn find_stream(&self, request_id: &str, attempt: u32) -> Option<Arc<StreamCell>> {
        let name = StreamName {
            request_id: request_id.to_owned(),
            attempt,
        };
        let mut inner = self.inner();
        let cell = inner.streams.get(&name).cloned()?;
        inner.books.resumes += 1;
        Some(cell)
    }

    /// Stops all attempts of a request; true when one was running.
    pub fn cancel(&self, request_id: &str) -> bool {
        let mut inner = self.inner();
        let names: Vec<StreamName> = inner
            .streams
            .keys()
            .filter(|name| name.request_id == request_id)
            .cloned()
            .collect();
        let mut was_running = false;
        for name in names {
            let Some(cell) = inner.streams.shift_remove(&name) else {
                continue;
            };
            was_running |= cell.is_running();
            inner.model.remove(&name);
            cell.progress.send_replace(StreamProgress::Stopped);
            let key = book_key(&name.request_id, name.attempt);
            if let Some(book) = inner.books.streams.get_mut(&key) {
                book.cancelled = true;
            }
        }
        inner.books.cancels += u64::from(was_running);
        drop(inner);
        self.woken.notify_one();
        was_running
    }

    /// Returns the state as it was one report lag ago.
    pub fn reported_state(&self) -> EngineState {
        let lag = self.options.scaled_ms(self.options.report_lag_ms as f64);
        let inner = self.inner();
        if lag.is_zero() {
            return inner.state(&self.options);
        }
        let now = Instant::now();
        let seen = inner
            .samples
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= lag)
            .or_else(|| inner.samples.front());
        seen.map_or_else(|| inner.state(&self.options), |(_, state)| state.clone())
    }

    /// Obeys or refuses an order.
    ///
    /// # Errors
    ///
    /// Returns the highest fence seen when the order's is older and the engine checks.
    pub fn order(&self, order: &OrderBody) -> Result<EngineState, FenceNumber> {
        let mut inner = self.inner();
        let highest = inner.highest_fence;
        let is_old = order.order_id.fence < highest;
        let obeyed = !(is_old && self.options.checks_fence);
        let outstanding = inner.outstanding(order);
        inner.books.orders.push(OrderBook {
            id: order.order_id.id.clone(),
            fence: order.order_id.fence,
            highest_before: highest,
            group: order.group.clone(),
            role: order.role,
            models: order.models.clone(),
            at_ms: unix_now().0,
            outstanding,
            obeyed,
        });
        if !obeyed {
            inner.books.old_fences_refused += 1;
            return Err(highest);
        }
        inner.books.old_fences_obeyed += u64::from(is_old);
        inner.highest_fence = highest.max(order.order_id.fence);
        inner.obey(order);
        let state = inner.state(&self.options);
        drop(inner);
        self.woken.notify_one();
        Ok(state)
    }

    /// Returns the visible cache events after a number.
    pub fn cache_events(&self, since: u64) -> CacheEvents {
        let now = Instant::now();
        let inner = self.inner();
        let events = inner
            .events
            .iter()
            .filter(|late| late.visible_at <= now && late.event.sequence > since)
            .map(|late| late.event.clone())
            .collect();
        CacheEvents { events }
    }

    /// Returns the KV cache held of a request's prompt or of a shared prefix.
    pub fn export_kv(&self, name: &str) -> Option<KvPart> {
        let inner = self.inner();
        let of_request = inner
            .streams
            .values()
            .find(|cell| cell.request_id.as_str() == name && cell.has_read_prompt())
            .map(|cell| cell.prompt_tokens);
        let tokens = of_request.or_else(|| inner.model.cached(name))?;
        Some(KvPart {
            prefix: name.to_owned(),
            tokens,
        })
    }

    /// Puts a shared prefix into the cache.
    pub fn import_prefix(&self, part: &KvPart) {
        let mut inner = self.inner();
        let limit = self.options.prefix_limit_tokens;
        inner.model.store_prefix(&part.prefix, part.tokens, limit);
        inner.publish_events(self);
    }

    /// Marks the moment from which on no new work may come.
    pub fn leave(&self) {
        let mut inner = self.inner();
        inner.left_at.get_or_insert_with(Instant::now);
        inner.books.left_at_ms.get_or_insert(unix_now().0);
    }

    /// Sets whether work is refused while leaving.
    pub fn set_refusing(&self, refuses: bool) {
        self.inner().accepts_leaving = !refuses;
    }

    /// Takes up work again.
    pub fn stay(&self) {
        self.inner().left_at = None;
    }

    /// Puts faults in force; one-time faults are left to the caller.
    pub fn set_faults(&self, mut faults: EngineFaults) {
        faults.crash_ms = None;
        faults.freeze_ms = None;
        let mut inner = self.inner();
        inner.limit.set(faults.rate_limit);
        inner.faults = faults;
    }

    /// Books a request that arrives while a limit is named or something else is stated.
    pub fn record_arrival(&self) {
        let mut inner = self.inner();
        if let Some(arrival) = inner.limit.record_arrival() {
            inner.books.limited.push(arrival);
        }
        if let Some(arrival) = inner.faults.statement.record_arrival() {
            inner.books.stated.push(arrival);
        }
    }

    /// Does and answers nothing for a time.
    pub fn freeze(&self, span: Duration) {
        self.inner().frozen_until = Some(Instant::now() + span);
    }

    /// Drops everything; returns the life that follows and the streams that were running.
    pub(crate) fn drop_all(&self) -> (u64, u64) {
        let mut inner = self.inner();
        let running = inner.streams.values().filter(|cell| cell.is_running());
        let dropped = running.count() as u64;
        inner.life += 1;
        inner.limit.restart();
        for cell in inner.streams.values() {
            cell.progress.send_replace(StreamProgress::Stopped);
        }
        inner.streams.clear();
        inner.model = EngineModel::default();
        inner.events.clear();
        inner.samples.clear();
        inner.desired = None;
        inner.last_order = None;
        inner.frozen_until = None;
        inner.role = self.options.role;
        inner.models.clone_from(&self.options.models);
        if self.options.forgets_fence {
            inner.highest_fence = FenceNumber::default();
        }
        let life = inner.life;
        drop(inner);
        self.woken.notify_one();
        (life, dropped)
    }

    pub(crate) fn revive(&self) {
        let mut inner = self.inner();
        let earliest = inner.incarnation.0 + 1;
        inner.incarnation = ProcessIncarnation(unix_now().0.max(earliest));
    }

    /// Returns when to come back after a refusal.
    pub fn retry_after(&self) -> Duration {
        self.options.scaled_ms(RETRY_MS)
    }
}

impl StreamCell {
    fn has_read_prompt(&self) -> bool {
        matches!(*self.progress.borrow(), StreamProgress::Tokens(tokens) if tokens > 0)
    }
}

impl EngineInner {
    fn refusal(
        &self,
        options: &EngineOptions,
        body: &GenerateBody,
        work: &StreamWork,
    ) -> Option<StartRefusal> {
        if self.left_at.is_some() && !self.accepts_leaving {
            return Some(StartRefusal::Leaving);
        }
        if self.desired.is_some() {
            return Some(StartRefusal::Changing);
        }
        if reserved_tokens(work) > options.kv_limit_tokens {
            return Some(StartRefusal::TooLarge);
        }
        let is_loaded = self.models.iter().any(|loaded| serves(loaded, body));
        if !is_loaded {
            return Some(StartRefusal::NotLoaded);
        }
        let is_full = self.model.waiting() >= options.queue_limit;
        is_full.then_some(StartRefusal::QueueFull)
    }

    fn take(
        &mut self,
        name: &StreamName,
        body: &GenerateBody,
        answer: AnswerText,
    ) -> Arc<StreamCell> {
        let done = u32::try_from(body.offset / TOKEN_BYTES as u64).unwrap_or(u32::MAX);
        let (progress, _) = watch::channel(StreamProgress::Tokens(
            done.min(answer.tokens().saturating_sub(1)),
        ));
        let cell = Arc::new(StreamCell {
            request_id: body.request_id.clone(),
            attempt: body.attempt,
            answer,
            prompt_tokens: body.prompt_tokens,
            progress,
        });
        self.streams.insert(name.clone(), cell.clone());
        let key = book_key(&name.request_id, name.attempt);
        self.books.streams.insert(
            key,
            StreamBook {
                request_id: name.request_id.clone(),
                attempt: name.attempt,
                workspace: body.workspace.clone(),
                prompt_digest: prompt_digest(body.prompt.as_bytes()),
                started_at_ms: unix_now().0,
                offset: body.offset,
                bytes_generated: 0,
                bytes_sent: 0,
                finished: false,
                cancelled: false,
            },
        );
        cell
    }

    /// Returns the order under way, when another one comes that asks for another state.
    fn outstanding(&self, order: &OrderBody) -> Option<OrderId> {
        let desired = self.desired.as_ref()?;
        let differs = desired.role != order.role || desired.models != order.models;
        self.last_order.clone().filter(|_| differs)
    }

    fn obey(&mut self, order: &OrderBody) {
        self.last_order = Some(order.order_id.clone());
        let wanted = DesiredState {
            role: order.role,
            models: order.models.clone(),
        };
        let is_in_force = wanted.role == self.role && wanted.models == self.models;
        // A change under way ends first even when it is taken back.
        if !is_in_force || self.desired.is_some() {
            self.desired = Some(wanted);
        }
    }

    /// Ends the change when `desired` is in force and no later order differs.
    pub(crate) fn settle(&mut self, desired: &DesiredState) -> bool {
        let is_in_force = desired.role == self.role && desired.models == self.models;
        let is_newest = self.desired.as_ref() == Some(desired);
        if is_in_force && is_newest {
            self.desired = None;
        }
        is_in_force
    }

    pub(crate) fn state(&self, options: &EngineOptions) -> EngineState {
        let load = self.model.load();
        let now = Instant::now();
        let visible = self.events.iter().rev().find(|late| late.visible_at <= now);
        EngineState {
            target: options.target.clone(),
            incarnation: self.incarnation,
            software: options.software.clone(),
            at_ms: unix_now().0,
            role: self.role,
            changing: self.desired.is_some(),
            models: self.models.clone(),
            running: load.running,
            waiting: load.waiting,
            prefill_backlog_tokens: load.prefill_backlog,
            decode_backlog_tokens: load.decode_backlog,
            kv_used_tokens: load.kv_used,
            kv_limit_tokens: options.kv_limit_tokens,
            last_order: self.last_order.clone(),
            cache_sequence: visible.map_or(0, |late| late.event.sequence),
        }
    }

    pub(crate) fn publish_events(&mut self, core: &EngineCore) {
        let lag = core.options.scaled_ms(core.options.cache_lag_ms as f64);
        let visible_at = Instant::now() + lag;
        for event in self.model.take_events() {
            if !core.chance.happens(core.options.cache_gap_chance) {
                self.events.push_back(LateEvent { visible_at, event });
            }
        }
        while self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }

    pub(crate) fn book_step(&mut self, result: &StepResult) {
        let books = &mut self.books;
        books.steps += 1;
        books.busy_ms += result.span_ms;
        books.prefill_tokens += result.prefill_tokens;
        books.cached_tokens += result.cached_tokens;
        books.decode_tokens += result.decode_tokens;
    }

    /// Shows readers the tokens that streams gained; returns the streams that ended.
    pub(crate) fn publish(&mut self, gained: &IndexMap<StreamName, u32>) -> Vec<StreamName> {
        let mut ended = Vec::new();
        for (name, tokens) in gained {
            let Some(cell) = self.streams.get(name) else {
                continue;
            };
            cell.progress.send_replace(StreamProgress::Tokens(*tokens));
            let is_finished = *tokens >= cell.answer.tokens();
            let key = book_key(&name.request_id, name.attempt);
            if let Some(book) = self.books.streams.get_mut(&key) {
                let bytes = u64::from(*tokens) * TOKEN_BYTES as u64;
                book.bytes_generated = bytes.saturating_sub(book.offset);
                book.finished = is_finished;
            }
            if is_finished {
                ended.push(name.clone());
            }
        }
        ended
    }
}

/// Tells whether a loaded model, `MODEL`, `MODEL@VERSION` or
/// `MODEL@VERSION+ADAPTER`, serves a request. A bare `MODEL` serves every version
/// and adapter of it.
fn serves(loaded: &str, body: &GenerateBody) -> bool {
    let Some((model, variant)) = loaded.split_once('@') else {
        return loaded == body.model.as_str();
    };
    let (version, adapter) = variant.split_once('+').unwrap_or((variant, ""));
    let has_version = body.version.is_empty() || body.version == version;
    model == body.model.as_str() && has_version && adapter == body.adapter
}

/// Returns the digest of a prompt, as sent, under which its streams are booked.
#[must_use]
pub fn prompt_digest(encoded: &[u8]) -> u64 {
    xxh3_64(encoded)
}

fn book_key(request_id: &str, attempt: u32) -> String {
    format!("{request_id}/{attempt}")
}
