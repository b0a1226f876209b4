//! The task of one shard: executes the actions of the shard's [`ShardWriter`].

use std::collections::BTreeSet;
use std::future;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::intents::LedgerLimits;
use crate::intents::forward::{ForwardOp, ForwardStage};
use crate::intents::link::{IntentLink, LinkError, LinkOutcome, LinkReply};
use crate::intents::store::{StoreInputs, UnixClock, shard_object};
use crate::intents::writer::{
    OpNumber, OpResult, ShardOp, ShardWriter, WriterAction, WriterRules, WriterTime,
};
use crate::names::{MonoTime, millis};
use crate::ports::{
    ConditionalWrite, ObjectName, ObjectVersion, PlatformError, PlatformPort, PortFuture,
    StoredObject,
};

/// Time after which callers should retry an operation that timed out undecided.
pub(crate) const UNDECIDED_RETRY: Duration = Duration::from_secs(1);

/// Starts the task of a shard on the current runtime.
pub(crate) fn start_shard(
    inputs: &StoreInputs<'_>,
    link: Option<IntentLink>,
    shard: u32,
    process: u64,
) -> mpsc::UnboundedSender<ShardMessage> {
    let (sender, inbox) = mpsc::unbounded_channel();
    let rules = WriterRules {
        limits: LedgerLimits::from(inputs.settings),
        commit: Duration::from_millis(inputs.settings.commit_ms),
        seed: process ^ u64::from(shard),
    };
    let shards = inputs.settings.shards.max(1);
    let driver = ShardDriver {
        writer: ShardWriter::new(rules),
        forward: ForwardStage::new(link, shard, shards),
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

/// Returns the result of an operation that timed out undecided.
pub(crate) fn undecided_result() -> OpResult {
    OpResult::GivenUp {
        reason: "the platform did not confirm the record in time".to_owned(),
        retry_after: UNDECIDED_RETRY,
        untouched: false,
    }
}

/// A message to a shard's task.
pub(crate) enum ShardMessage {
    /// Submits an operation.
    Submit(ShardOp, Option<OpWaiter>),
    /// Requests the newest known version of the shard.
    Floor(oneshot::Sender<ObjectVersion>),
    /// Makes the task ignore states of the shard older than this version.
    RaiseFloor(ObjectVersion),
    /// Requests a notification once no operation is pending.
    Drain(oneshot::Sender<()>),
}

/// The recipient of an operation's result.
pub(crate) struct OpWaiter {
    /// When the operation is abandoned.
    pub(crate) deadline: Instant,
    /// Receives the result.
    pub(crate) reply: Box<dyn FnOnce(OpResult) + Send>,
}

enum FlightResult {
    Read(Result<Option<StoredObject>, PlatformError>),
    Write(Result<ObjectVersion, PlatformError>),
}

/// Executes the actions of one shard's writer.
struct ShardDriver {
    writer: ShardWriter,
    forward: ForwardStage,
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
        while open || self.open_ops() > 0 {
            let wake = self.wake_at();
            tokio::select! {
                message = self.inbox.recv(), if open => match message {
                    Some(message) => self.take_message(message),
                    None => open = false,
                },
                result = next_result(&mut self.flight) => self.take_result(result),
                reply = self.forward.next() => self.take_reply(reply),
                () = sleep_until(wake) => self.writer.wake(self.now()),
            }
            self.start_forward();
            self.give_up_late();
            self.carry_out();
            self.end_drains();
        }
    }

    /// Reads both clocks. Called only after the event that the time is used for, so that a
    /// pause of the process cannot make a key look younger than the copy of the shard that
    /// it is checked against.
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
            ShardMessage::Submit(op, waiter) if self.is_forwarded(&op) => {
                self.forward.push(ForwardOp { op, waiter });
            }
            ShardMessage::Submit(op, waiter) => self.submit(op, waiter),
            ShardMessage::Floor(reply) => {
                let _ = reply.send(self.writer.floor());
            }
            ShardMessage::RaiseFloor(version) => self.writer.raise_floor(version),
            ShardMessage::Drain(done) => self.drains.push(done),
        }
    }

    /// Returns whether an operation goes to the shard's owner. While this daemon cannot reach
    /// the platform, nothing is forwarded, and the local writer refuses claims at once.
    fn is_forwarded(&self, op: &ShardOp) -> bool {
        !self.writer.is_down(self.now()) && self.forward.takes(op)
    }

    fn submit(&mut self, op: ShardOp, waiter: Option<OpWaiter>) {
        let number = self.writer.submit(op, self.now());
        self.await_result(number, waiter);
    }

    fn await_result(&mut self, number: OpNumber, waiter: Option<OpWaiter>) {
        if let Some(waiter) = waiter {
            self.deadlines.insert((waiter.deadline, number));
            self.waiters.insert(number, waiter);
        }
    }

    fn start_forward(&mut self) {
        for left in self.forward.start(self.writer.floor()) {
            self.submit(left.op, left.waiter);
        }
    }

    fn take_reply(&mut self, reply: Result<LinkReply, LinkError>) {
        let result = self.forward.finish(reply);
        for (sent, outcome) in result.ops {
            match outcome {
                LinkOutcome::Recorded => self.take_recorded(sent, result.version),
                LinkOutcome::Unsure => self.retry_directly(sent),
                LinkOutcome::Untouched => self.submit(sent.op, sent.waiter),
            }
        }
    }

    fn take_recorded(&mut self, sent: ForwardOp, version: ObjectVersion) {
        match &sent.op {
            ShardOp::Claim(entry) => {
                self.writer.grant_carried(entry.claim, version);
                count_result(&OpResult::Granted);
            }
            ShardOp::Close { claim, .. } => self.writer.close_carried(*claim),
            _ => {}
        }
        if let Some(waiter) = sent.waiter {
            (waiter.reply)(OpResult::Granted);
        }
    }

    /// Executes locally what the owner did not confirm. The owner may execute it too, even
    /// later: the claim's identity makes the operation idempotent.
    fn retry_directly(&mut self, sent: ForwardOp) {
        match sent.op {
            ShardOp::Claim(claim) => {
                let number = self.writer.submit_carried(claim, self.now());
                self.await_result(number, sent.waiter);
            }
            op => self.submit(op, sent.waiter),
        }
    }

    fn open_ops(&self) -> usize {
        self.writer.open_ops() + self.forward.len()
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

    /// Ends the operations whose deadline has passed. Each is abandoned before its waiter is
    /// notified, so that a claim reported as given up cannot be granted afterwards.
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
        if self.open_ops() == 0 {
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
        OpResult::Closed => "closed",
        OpResult::Granted => "granted",
        OpResult::Record(_) => "record",
        OpResult::Invalid(_) => "invalid",
        OpResult::GivenUp { .. } => "given_up",
    };
    metrics::counter!("pistachiowick_intent_results_total", "result" => result).increment(1);
}
