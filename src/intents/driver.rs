//! The task of one shard: executes the actions of the shard's [`ShardWriter`].

use std::collections::BTreeSet;
use std::future;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::intents::LedgerLimits;
use crate::intents::forward::{ForwardOp, ForwardQueue};
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
        forward: ForwardQueue::new(link, shard, shards),
        inbox,
        platform: inputs.platform.clone(),
        object: shard_object(shard),
        pending_call: None,
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
        no_effect: false,
    }
}

/// A message to a shard's task.
pub(crate) enum ShardMessage {
    /// Submits an operation.
    Submit(ShardOp, Option<OpWaiter>),
    /// Requests the newest known version of the shard.
    MinVersion(oneshot::Sender<ObjectVersion>),
    /// Makes the task ignore states of the shard older than this version.
    RaiseMinVersion(ObjectVersion),
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

enum CallResult {
    Read(Result<Option<StoredObject>, PlatformError>),
    Write(Result<ObjectVersion, PlatformError>),
}

/// Executes the actions of one shard's writer.
struct ShardDriver {
    writer: ShardWriter,
    forward: ForwardQueue,
    inbox: mpsc::UnboundedReceiver<ShardMessage>,
    platform: PlatformPort,
    object: ObjectName,
    pending_call: Option<PortFuture<CallResult>>,
    waiters: IndexMap<OpNumber, OpWaiter>,
    deadlines: BTreeSet<(Instant, OpNumber)>,
    drains: Vec<oneshot::Sender<()>>,
    started: Instant,
    unix_now: UnixClock,
}

impl ShardDriver {
    async fn run(mut self) {
        let mut inbox_open = true;
        while inbox_open || self.pending_ops() > 0 {
            let wake = self.wake_at();
            tokio::select! {
                message = self.inbox.recv(), if inbox_open => match message {
                    Some(message) => self.handle_message(message),
                    None => inbox_open = false,
                },
                result = await_call(&mut self.pending_call) => self.handle_call_result(result),
                reply = self.forward.next_reply() => self.handle_link_reply(reply),
                () = sleep_until(wake) => self.writer.wake(self.now()),
            }
            self.send_forwarded();
            self.give_up_overdue();
            self.run_actions();
            self.finish_drains();
        }
    }

    /// Reads both clocks. Must be called after the event that the time is used for, never
    /// before: if the process paused in between, a key's age would be computed for a time
    /// before the copy of the shard was read, and the key would look too young.
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

    fn handle_message(&mut self, message: ShardMessage) {
        match message {
            ShardMessage::Submit(op, waiter) if self.is_forwarded(&op) => {
                self.forward.push(ForwardOp { op, waiter });
            }
            ShardMessage::Submit(op, waiter) => self.submit(op, waiter),
            ShardMessage::MinVersion(reply) => {
                let _ = reply.send(self.writer.min_version());
            }
            ShardMessage::RaiseMinVersion(version) => self.writer.raise_min_version(version),
            ShardMessage::Drain(done) => self.drains.push(done),
        }
    }

    /// Returns whether an operation is to be sent to the shard's owner. While this daemon
    /// cannot reach the platform, nothing is forwarded, and the local writer refuses claims
    /// at once.
    fn is_forwarded(&self, op: &ShardOp) -> bool {
        !self.writer.is_down(self.now()) && self.forward.accepts(op)
    }

    fn submit(&mut self, op: ShardOp, waiter: Option<OpWaiter>) {
        let number = self.writer.submit(op, self.now());
        self.register_waiter(number, waiter);
    }

    fn register_waiter(&mut self, number: OpNumber, waiter: Option<OpWaiter>) {
        if let Some(waiter) = waiter {
            self.deadlines.insert((waiter.deadline, number));
            self.waiters.insert(number, waiter);
        }
    }

    fn send_forwarded(&mut self) {
        for unsent in self.forward.send_next(self.writer.min_version()) {
            self.submit(unsent.op, unsent.waiter);
        }
    }

    fn handle_link_reply(&mut self, reply: Result<LinkReply, LinkError>) {
        let result = self.forward.finish(reply);
        for (sent, outcome) in result.ops {
            match outcome {
                LinkOutcome::Recorded => self.handle_recorded(sent, result.version),
                LinkOutcome::Uncertain => self.resubmit_forwarded(sent),
                LinkOutcome::NoEffect => self.submit(sent.op, sent.waiter),
            }
        }
    }

    fn handle_recorded(&mut self, sent: ForwardOp, version: ObjectVersion) {
        match &sent.op {
            ShardOp::Claim(entry) => {
                self.writer.grant_forwarded(entry.claim, version);
                count_result(&OpResult::Granted);
            }
            ShardOp::Close { claim, .. } => self.writer.close_forwarded(*claim),
            _ => {}
        }
        if let Some(waiter) = sent.waiter {
            (waiter.reply)(OpResult::Granted);
        }
    }

    /// Executes locally what the owner did not confirm. The owner may execute it too, even
    /// later: the claim's identity makes the operation idempotent.
    fn resubmit_forwarded(&mut self, sent: ForwardOp) {
        match sent.op {
            ShardOp::Claim(claim) => {
                let number = self.writer.submit_forwarded(claim, self.now());
                self.register_waiter(number, sent.waiter);
            }
            op => self.submit(op, sent.waiter),
        }
    }

    fn pending_ops(&self) -> usize {
        self.writer.pending_ops() + self.forward.len()
    }

    fn handle_call_result(&mut self, result: CallResult) {
        self.pending_call = None;
        let now = self.now();
        match result {
            CallResult::Read(result) => {
                count_call("read", result.as_ref().err());
                self.writer.read_done(result, now);
            }
            CallResult::Write(result) => {
                count_call("write", result.as_ref().err());
                self.writer.write_done(result, now);
            }
        }
    }

    /// Ends the operations whose deadline has passed. Each is abandoned before its waiter is
    /// notified, so that a claim reported as given up cannot be granted afterwards.
    fn give_up_overdue(&mut self) {
        let now = Instant::now();
        while let Some((deadline, number)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.writer.abandon(number, self.now());
            self.reply(number, undecided_result());
        }
    }

    fn run_actions(&mut self) {
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
        self.pending_call = Some(Box::pin(async move { CallResult::Read(call.await) }));
    }

    fn start_write(&mut self, expected: ObjectVersion, value: Vec<u8>) {
        metrics::histogram!("pistachiowick_intent_write_bytes").record(value.len() as f64);
        let call = (self.platform.write)(ConditionalWrite {
            object: self.object.clone(),
            expected,
            value,
        });
        self.pending_call = Some(Box::pin(async move { CallResult::Write(call.await) }));
    }

    fn reply(&mut self, number: OpNumber, result: OpResult) {
        let Some(waiter) = self.waiters.swap_remove(&number) else {
            return;
        };
        self.deadlines.remove(&(waiter.deadline, number));
        count_result(&result);
        (waiter.reply)(result);
    }

    fn finish_drains(&mut self) {
        if self.pending_ops() == 0 {
            for done in self.drains.drain(..) {
                let _ = done.send(());
            }
        }
    }
}

async fn await_call(pending_call: &mut Option<PortFuture<CallResult>>) -> CallResult {
    match pending_call {
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
