//! Runs the ledger of requests that may not be repeated against the platform.

use std::collections::BTreeSet;
use std::future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

pub use crate::intent_permit::{DispatchPermit, DispatchedClaim, LateClaim, UndeliveredProof};
pub use crate::intents::{AnswerRecord, IntentKey, RecordView};

use crate::intent_permit::ClaimCloser;
use crate::intent_writer::{
    OpNumber, OpResult, ShardOp, ShardWriter, WriterAction, WriterRules, WriterTime,
};
use crate::intents::{ClaimEntry, ClaimId, CloseRecord, LedgerLimits};
use crate::names::{DaemonId, MonoTime, ProcessIncarnation, TargetId, UnixTime, millis};
use crate::ports::{
    ConditionalWrite, ObjectName, ObjectVersion, PlatformError, PlatformPort, PortFuture,
    StoredObject,
};
use crate::settings::IntentSettings;

/// Kind of the platform objects that hold the records.
pub const INTENT_KIND: &str = "intents";

/// Longest wait for a lookup.
const LOOKUP_WAIT: Duration = Duration::from_secs(5);

/// Time to come back after a wait that ended undecided.
const UNDECIDED_RETRY: Duration = Duration::from_secs(1);

/// Reads the wall clock.
pub type UnixClock = Arc<dyn Fn() -> UnixTime + Send + Sync>;

/// A wish to run a request once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IntentClaim {
    /// Identity of the request.
    pub key: IntentKey,
    /// Digest of class and body; a key used with another digest is refused.
    pub fingerprint: [u8; 16],
    /// Target chosen, so that others can find a stream.
    pub target: TargetId,
    /// When to give up on recording it; measured from now.
    pub patience: Duration,
}

/// Result of a claim.
#[derive(Debug)]
pub enum ClaimResult {
    /// This daemon may dispatch once.
    Granted(DispatchPermit),
    /// Somebody recorded the key before.
    Present(RecordView),
    /// The claim was given up before its record was certain; it will never be dispatched.
    GivenUp {
        /// Why.
        reason: String,
        /// When to come back.
        retry_after: Duration,
        /// Whether another claim of the key may exist.
        ///
        /// Always, for a key that was sent before: a read that shows no record proves
        /// nothing, as the other claim's write may still be under way. For such a key
        /// only [`IntentStore::lookup`] with `settle` makes "not run" true.
        key_may_exist: bool,
    },
    /// The key or its content is not acceptable.
    Invalid {
        /// What to correct.
        reason: String,
    },
}

/// Why a record could not be read or settled.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum LookupError {
    /// The key is not acceptable.
    #[error("{reason}")]
    Invalid {
        /// What to correct.
        reason: String,
    },
    /// The platform cannot tell now.
    #[error("{reason}; ask again after {}", humantime::format_duration(*retry_after))]
    Unavailable {
        /// What happened.
        reason: String,
        /// When to ask again.
        retry_after: Duration,
    },
}

/// What a store is built from.
pub struct StoreInputs<'a> {
    /// Bounds and times.
    pub settings: &'a IntentSettings,
    /// The platform.
    pub platform: PlatformPort,
    /// This daemon.
    pub daemon: DaemonId,
    /// Life of its process.
    pub incarnation: ProcessIncarnation,
    /// Wall clock, which decides the age of keys.
    pub unix_now: UnixClock,
}

/// The records of requests that may not be repeated.
#[derive(Clone)]
pub struct IntentStore {
    shards: Arc<Vec<mpsc::UnboundedSender<ShardMessage>>>,
    claimant: Arc<str>,
    process: u64,
    next_claim: Arc<AtomicU64>,
}

impl IntentStore {
    /// Creates a store and starts a task per shard on the current runtime.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    #[must_use]
    pub fn new(inputs: &StoreInputs<'_>) -> Self {
        // The clock alone doesn't tell two lives of a process apart for sure; two that
        // shared claim identities would each take the other's record for their own.
        let process = rand::random();
        let shards = (0..inputs.settings.shards.max(1))
            .map(|shard| start_shard(inputs, shard, process))
            .collect();
        Self {
            shards: Arc::new(shards),
            claimant: format!("{}/{}", inputs.daemon, inputs.incarnation.0).into(),
            process,
            next_claim: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Records a claim, or finds what was recorded before.
    pub async fn claim(&self, claim: IntentClaim) -> ClaimResult {
        let shard = self.shard(&claim.key);
        let id = self.next_id();
        let closer = shard.clone();
        let op = ShardOp::Claim(ClaimEntry {
            key: claim.key.clone(),
            claim: id,
            fingerprint: claim.fingerprint,
            claimant: self.claimant.to_string(),
            target: claim.target,
        });
        let (reply, result) = oneshot::channel();
        let waiter = OpWaiter {
            deadline: Instant::now() + claim.patience,
            reply: Box::new(move |result| {
                let permit = || DispatchPermit::new(claim.key, id, new_closer(closer));
                // A claimant that is gone leaves the result here, and the permit in it
                // is dropped, which closes the claim as not run.
                let _ = reply.send(claim_result(result, permit));
            }),
        };
        let _ = shard.send(ShardMessage::Submit(op, Some(waiter)));
        result.await.unwrap_or_else(|_| stopped_claim())
    }

    /// Reads what is recorded of a key. With `settle`, closes an open key for good, so
    /// that "not run" is final.
    ///
    /// # Errors
    ///
    /// Returns a [`LookupError`] when the key is not acceptable, or the platform
    /// cannot tell now.
    pub async fn lookup(&self, key: &IntentKey, settle: bool) -> Result<RecordView, LookupError> {
        let op = if settle {
            ShardOp::Settle {
                key: key.clone(),
                claim: self.next_id(),
            }
        } else {
            ShardOp::Lookup(key.clone())
        };
        let (reply, result) = oneshot::channel();
        let waiter = OpWaiter {
            deadline: Instant::now() + LOOKUP_WAIT,
            reply: Box::new(move |result| {
                let _ = reply.send(result);
            }),
        };
        let _ = self.shard(key).send(ShardMessage::Submit(op, Some(waiter)));
        lookup_result(result.await.unwrap_or_else(|_| undecided_result()))
    }

    /// Waits until every end handed in is recorded, for a planned stop; true when all are.
    pub async fn drain(&self, wait: Duration) -> bool {
        let until = Instant::now() + wait;
        for shard in self.shards.iter() {
            let (done, all) = oneshot::channel();
            let _ = shard.send(ShardMessage::Drain(done));
            if tokio::time::timeout_at(until, all).await.is_err() {
                return false;
            }
        }
        true
    }

    fn shard(&self, key: &IntentKey) -> &mpsc::UnboundedSender<ShardMessage> {
        let count = u32::try_from(self.shards.len()).unwrap_or(u32::MAX);
        &self.shards[key.shard(count) as usize]
    }

    fn next_id(&self) -> ClaimId {
        ClaimId {
            process: self.process,
            number: self.next_claim.fetch_add(1, Ordering::Relaxed),
        }
    }
}

fn start_shard(
    inputs: &StoreInputs<'_>,
    shard: u32,
    process: u64,
) -> mpsc::UnboundedSender<ShardMessage> {
    let (sender, inbox) = mpsc::unbounded_channel();
    let rules = WriterRules {
        limits: LedgerLimits::from(inputs.settings),
        commit: Duration::from_millis(inputs.settings.commit_ms),
        seed: process ^ u64::from(shard),
    };
    let driver = ShardDriver {
        writer: ShardWriter::new(rules),
        inbox,
        platform: inputs.platform.clone(),
        object: shard_object(shard),
        flight: None,
        waiters: IndexMap::new(),
        deadlines: BTreeSet::new(),
        drains: Vec::new(),
        started: Instant::now(),
        unix_now: Arc::clone(&inputs.unix_now),
    };
    tokio::spawn(driver.run());
    sender
}

/// Returns the platform object of a shard.
#[must_use]
pub fn shard_object(shard: u32) -> ObjectName {
    ObjectName {
        kind: INTENT_KIND.to_owned(),
        name: format!("shard-{shard:03}"),
    }
}

fn new_closer(shard: mpsc::UnboundedSender<ShardMessage>) -> ClaimCloser {
    Box::new(
        move |key: &IntentKey, claim: ClaimId, record: CloseRecord| {
            let op = ShardOp::Close {
                key: key.clone(),
                claim,
                record,
            };
            let _ = shard.send(ShardMessage::Submit(op, None));
        },
    )
}

fn claim_result(result: OpResult, permit: impl FnOnce() -> DispatchPermit) -> ClaimResult {
    match result {
        OpResult::Granted => ClaimResult::Granted(permit()),
        OpResult::Record(view) => ClaimResult::Present(view),
        OpResult::Invalid(fault) => ClaimResult::Invalid {
            reason: fault.to_string(),
        },
        OpResult::GivenUp {
            reason,
            retry_after,
        } => ClaimResult::GivenUp {
            reason,
            retry_after,
            key_may_exist: true,
        },
    }
}

/// The task is gone, with its runtime, before it could have granted anything.
fn stopped_claim() -> ClaimResult {
    ClaimResult::GivenUp {
        reason: "this daemon is stopping; use another address".to_owned(),
        retry_after: Duration::ZERO,
        key_may_exist: true,
    }
}

fn undecided_result() -> OpResult {
    OpResult::GivenUp {
        reason: "the platform did not confirm the record in time".to_owned(),
        retry_after: UNDECIDED_RETRY,
    }
}

fn lookup_result(result: OpResult) -> Result<RecordView, LookupError> {
    match result {
        OpResult::Record(view) => Ok(view),
        OpResult::Invalid(fault) => Err(LookupError::Invalid {
            reason: fault.to_string(),
        }),
        OpResult::GivenUp {
            reason,
            retry_after,
        } => Err(LookupError::Unavailable {
            reason,
            retry_after,
        }),
        OpResult::Granted => Err(LookupError::Unavailable {
            reason: "the lookup was taken for a claim".to_owned(),
            retry_after: UNDECIDED_RETRY,
        }),
    }
}

enum ShardMessage {
    Submit(ShardOp, Option<OpWaiter>),
    Drain(oneshot::Sender<()>),
}

/// Whoever waits for an operation, and until when.
struct OpWaiter {
    deadline: Instant,
    reply: Box<dyn FnOnce(OpResult) + Send>,
}

enum FlightResult {
    Read(Result<Option<StoredObject>, PlatformError>),
    Write(Result<ObjectVersion, PlatformError>),
}

/// Carries out what one shard's writer decides.
struct ShardDriver {
    writer: ShardWriter,
    inbox: mpsc::UnboundedReceiver<ShardMessage>,
    platform: PlatformPort,
    object: ObjectName,
    flight: Option<PortFuture<FlightResult>>,
    waiters: IndexMap<OpNumber, OpWaiter>,
    deadlines: BTreeSet<(Instant, OpNumber)>,
    drains: Vec<oneshot::Sender<()>>,
    started: Instant,
    unix_now: UnixClock,
}

impl ShardDriver {
    async fn run(mut self) {
        let mut open = true;
        while open || self.writer.open_ops() > 0 {
            let wake = self.wake_at();
            tokio::select! {
                message = self.inbox.recv(), if open => match message {
                    Some(message) => self.take_message(message),
                    None => open = false,
                },
                result = next_result(&mut self.flight) => self.take_result(result),
                () = sleep_until(wake) => self.writer.wake(self.now()),
            }
            self.give_up_late();
            self.carry_out();
            self.end_drains();
        }
    }

    /// Reads both clocks; never earlier than the event they are used for, so that a
    /// pause cannot make a key look younger than the copy it is checked against.
    fn now(&self) -> WriterTime {
        WriterTime {
            mono: MonoTime(millis(self.started.elapsed())),
            unix: (self.unix_now)(),
        }
    }

    fn wake_at(&self) -> Option<Instant> {
        let writer = self.writer.wake_at();
        let writer = writer.map(|at| self.started + Duration::from_millis(at.0));
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        writer.into_iter().chain(deadline).min()
    }

    fn take_message(&mut self, message: ShardMessage) {
        match message {
            ShardMessage::Submit(op, waiter) => {
                let now = self.now();
                let number = self.writer.submit(op, now);
                if let Some(waiter) = waiter {
                    self.deadlines.insert((waiter.deadline, number));
                    self.waiters.insert(number, waiter);
                }
            }
            ShardMessage::Drain(done) => self.drains.push(done),
        }
    }

    fn take_result(&mut self, result: FlightResult) {
        self.flight = None;
        let now = self.now();
        match result {
            FlightResult::Read(result) => {
                count_call("read", result.as_ref().err());
                self.writer.read_done(result, now);
            }
            FlightResult::Write(result) => {
                count_call("write", result.as_ref().err());
                self.writer.write_done(result, now);
            }
        }
    }

    /// Abandons an operation first and tells its waiter then, so that nothing can
    /// grant a claim that its claimant was told is given up.
    fn give_up_late(&mut self) {
        let now = Instant::now();
        while let Some((deadline, number)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.writer.abandon(number, self.now());
            self.reply(number, undecided_result());
        }
    }

    fn carry_out(&mut self) {
        for action in self.writer.take_actions() {
            match action {
                WriterAction::Read => self.start_read(),
                WriterAction::Write { expected, value } => self.start_write(expected, value),
                WriterAction::Reply { number, result } => self.reply(number, result),
            }
        }
    }

    fn start_read(&mut self) {
        let call = (self.platform.read)(self.object.clone());
        self.flight = Some(Box::pin(async move { FlightResult::Read(call.await) }));
    }

    fn start_write(&mut self, expected: ObjectVersion, value: Vec<u8>) {
        metrics::histogram!("pistachiowick_intent_write_bytes").record(value.len() as f64);
        let call = (self.platform.write)(ConditionalWrite {
            object: self.object.clone(),
            expected,
            value,
        });
        self.flight = Some(Box::pin(async move { FlightResult::Write(call.await) }));
    }

    fn reply(&mut self, number: OpNumber, result: OpResult) {
        let Some(waiter) = self.waiters.swap_remove(&number) else {
            return;
        };
        self.deadlines.remove(&(waiter.deadline, number));
        count_result(&result);
        (waiter.reply)(result);
    }

    fn end_drains(&mut self) {
        if self.writer.open_ops() == 0 {
            for done in self.drains.drain(..) {
                let _ = done.send(());
            }
        }
    }
}

async fn next_result(flight: &mut Option<PortFuture<FlightResult>>) -> FlightResult {
    match flight {
        Some(call) => call.await,
        None => future::pending().await,
    }
}

async fn sleep_until(wake: Option<Instant>) {
    match wake {
        Some(at) => tokio::time::sleep_until(at).await,
        None => future::pending().await,
    }
}

fn count_call(call: &'static str, error: Option<&PlatformError>) {
    let result = match error {
        None => "ok",
        Some(PlatformError::Conflict { .. }) => "conflict",
        Some(PlatformError::Lost { .. }) => "lost",
        Some(PlatformError::Refused { .. }) => "refused",
        Some(PlatformError::Unavailable { .. }) => "unavailable",
    };
    metrics::counter!("pistachiowick_intent_calls_total", "call" => call, "result" => result)
        .increment(1);
}

fn count_result(result: &OpResult) {
    let result = match result {
        OpResult::Granted => "granted",
        OpResult::Record(_) => "record",
        OpResult::Invalid(_) => "invalid",
        OpResult::GivenUp { .. } => "given_up",
    };
    metrics::counter!("pistachiowick_intent_results_total", "result" => result).increment(1);
}
