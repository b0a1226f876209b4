//! Follows one request through losses of connection to its final outcome.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::Sender;
use tokio::time::Instant;
use tonic::Streaming;

use crate::client::answer::{AnswerAssembly, ChunkFate, FinalCheck};
use crate::client::error::{CallFailure, ClientError};
use crate::client::links::DaemonLink;
use crate::client::{AnswerFinal, AnswerItem, AnswerOutcome, ClientShared};
use crate::pb;
use crate::pb::answer_event::Event;
use crate::pb::requests_client::RequestsClient;

/// Pause after the first loss of connection; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause after a loss of connection.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Pause between questions about a request recorded for dispatch.
const OUTCOME_PAUSE: Duration = Duration::from_millis(500);

/// Questions about a request recorded for dispatch before it counts as unknown.
const OUTCOME_QUESTIONS: u32 = 10;

/// How one stream ended.
enum StreamEnd {
    /// With a final event.
    Final(pb::Final),
    /// Without one.
    Broken(String),
    /// The daemon has no room; nothing ran.
    Busy(String),
    /// The daemon refused the call for good.
    Rejected(tonic::Code, String),
}

/// Follows one request.
pub(crate) struct AnswerDriver {
    shared: Arc<ClientShared>,
    /// The request; `None` when only its token is known.
    submit: Option<pb::SubmitRequest>,
    token: Option<String>,
    assembly: AnswerAssembly,
    items: Sender<Result<AnswerItem, ClientError>>,
    started: Instant,
    /// Whether a daemon may have seen the request.
    sent: bool,
    losses: u32,
    received_at_loss: u64,
    resumes: u32,
    resubmissions: u32,
}

impl AnswerDriver {
    pub(crate) fn submit(
        shared: Arc<ClientShared>,
        submit: pb::SubmitRequest,
        items: Sender<Result<AnswerItem, ClientError>>,
    ) -> Self {
        Self {
            shared,
            submit: Some(submit),
            token: None,
            assembly: AnswerAssembly::new(0),
            items,
            started: Instant::now(),
            sent: false,
            losses: 0,
            received_at_loss: 0,
            resumes: 0,
            resubmissions: 0,
        }
    }

    pub(crate) fn resume(
        shared: Arc<ClientShared>,
        token: String,
        offset: u64,
        items: Sender<Result<AnswerItem, ClientError>>,
    ) -> Self {
        Self {
            submit: None,
            token: Some(token),
            assembly: AnswerAssembly::new(offset),
            sent: true,
            received_at_loss: offset,
            ..Self::submit(shared, pb::SubmitRequest::default(), items)
        }
    }

    /// Runs to the end and yields it.
    pub(crate) async fn run(mut self) {
        let end = self.drive().await.map(AnswerItem::Final);
        // The reader may be gone; then nobody wants the end.
        let _ = self.items.send(end).await;
    }

    async fn drive(&mut self) -> Result<AnswerFinal, ClientError> {
        loop {
            let concluded = match self.stream_once().await? {
                StreamEnd::Final(end) => self.conclude(end).await?,
                StreamEnd::Broken(reason) => self.recover(reason).await?,
                StreamEnd::Busy(reason) => self.wait_for_room(reason).await?,
                StreamEnd::Rejected(code, reason) => self.rejected(code, reason).await?,
            };
            if let Some(end) = concluded {
                return Ok(end);
            }
        }
    }

    async fn stream_once(&mut self) -> Result<StreamEnd, ClientError> {
        let link = match self.shared.links.pick().await {
            Ok(link) => link,
            Err(ClientError::NotSent { reason }) => return Ok(StreamEnd::Broken(reason)),
            Err(error) if self.sent => return Ok(StreamEnd::Broken(error.to_string())),
            Err(error) => return Err(error),
        };
        self.sent = true;
        let end = match self.open(&link).await {
            Ok(events) => self.pump(events).await,
            Err(status) => failed(&status),
        };
        if matches!(end, StreamEnd::Broken(_) | StreamEnd::Busy(_)) {
            self.shared.links.avoid(&link.address).await;
        }
        Ok(end)
    }

    async fn open(
        &mut self,
        link: &DaemonLink,
    ) -> Result<Streaming<pb::AnswerEvent>, tonic::Status> {
        let mut client = RequestsClient::new(link.channel.clone());
        self.assembly.begin_stream();
        let response = match (&self.token, &mut self.submit) {
            (Some(token), submit) => {
                // Only repeatable work goes along: nothing must tempt a daemon to run the rest again.
                let again = submit.as_ref().filter(|submit| submit.key.is_empty());
                let resume = pb::ResumeRequest {
                    resume_token: token.clone(),
                    offset: self.assembly.received(),
                    submit: again.cloned(),
                };
                client.resume(self.shared.links.with_key(resume)).await?
            }
            (None, Some(submit)) => {
                let request = self.shared.links.with_key(submit.clone());
                // From here on the key may be known to a daemon; no second message may deny it.
                submit.first_submission = false;
                client.submit(request).await?
            }
            (None, None) => return Err(tonic::Status::invalid_argument("no token to resume")),
        };
        Ok(response.into_inner())
    }

    async fn pump(&mut self, mut events: Streaming<pb::AnswerEvent>) -> StreamEnd {
        loop {
            let event = match events.message().await {
                Ok(Some(event)) => event.event,
                Ok(None) => return StreamEnd::Broken("the stream ended early".to_owned()),
                Err(status) => return failed(&status),
            };
            match event {
                Some(Event::Accepted(accepted)) => self.accepted(accepted).await,
                Some(Event::Chunk(chunk)) => {
                    let continues = self.chunk(&chunk).await;
                    if !continues {
                        return StreamEnd::Broken("bytes of the answer are missing".to_owned());
                    }
                }
                Some(Event::Final(end)) => return StreamEnd::Final(end),
                None => {}
            }
        }
    }

    async fn accepted(&mut self, accepted: pb::Accepted) {
        self.assembly.accept(accepted.attempt);
        self.token = Some(accepted.resume_token.clone());
        let item = AnswerItem::Accepted {
            request_id: accepted.request_id,
            resume_token: accepted.resume_token,
            target: accepted.target,
        };
        self.emit(item).await;
    }

    /// Takes a chunk; false when bytes before it are missing.
    async fn chunk(&mut self, chunk: &pb::Chunk) -> bool {
        let offset = self.assembly.received();
        match self.assembly.take(chunk) {
            ChunkFate::Taken(data) => {
                let tokens = chunk.tokens;
                self.emit(AnswerItem::Chunk {
                    offset,
                    data,
                    tokens,
                })
                .await;
            }
            ChunkFate::Dropped => {
                metrics::counter!("pistachiowick_client_dropped_chunks_total").increment(1);
            }
            ChunkFate::Gap => return false,
        }
        true
    }

    async fn emit(&self, item: AnswerItem) {
        // A reader that is gone aborts this task; there is nothing to do here.
        let _ = self.items.send(Ok(item)).await;
    }

    /// Checks a final event; `None` when the request goes on.
    async fn conclude(&mut self, end: pb::Final) -> Result<Option<AnswerFinal>, ClientError> {
        let outcome = AnswerOutcome::from(end.outcome());
        if outcome == AnswerOutcome::Answered {
            return match self.assembly.check(end.length, &end.digest) {
                FinalCheck::Whole => Ok(Some(self.ended(outcome, end))),
                FinalCheck::Short => self.recover("the answer came short".to_owned()).await,
                FinalCheck::Damaged(reason) => Err(ClientError::Damaged { reason }),
            };
        }
        if outcome == AnswerOutcome::RefusedNotRun && self.retries_refusal(&end) {
            tokio::time::sleep(Duration::from_millis(u64::from(end.retry_after_ms))).await;
            self.submit_again();
            return Ok(None);
        }
        Ok(Some(self.ended(outcome, end)))
    }

    /// Tells whether a refusal is worth another submission, and pays for it.
    fn retries_refusal(&self, end: &pb::Final) -> bool {
        let wait = Duration::from_millis(u64::from(end.retry_after_ms));
        // Without a deadline of the caller's own, each submission takes the class's
        // anew; one more is all that the caller can be made to wait for.
        let first_time = self.resubmissions == 0;
        let in_time = self.time_left().map_or(first_time, |left| wait < left);
        self.shared.options.retry_refused
            && !wait.is_zero()
            && in_time
            && self.submit.is_some()
            && self.assembly.received() == 0
            && self.shared.take_retry()
    }

    /// Goes on after a loss of connection; returns the end when it cannot.
    async fn recover(&mut self, reason: String) -> Result<Option<AnswerFinal>, ClientError> {
        self.count_loss();
        let out_of_time = self.time_left().is_some_and(|left| left.is_zero());
        if out_of_time || self.losses > self.shared.options.losses_in_a_row {
            return self.give_up(reason).await.map(Some);
        }
        tokio::time::sleep(self.pause()).await;
        if self.token.is_some() {
            self.resumes += 1;
            metrics::counter!("pistachiowick_client_resumes_total").increment(1);
            return Ok(None);
        }
        if self.sent && !self.shared.take_retry() {
            return self.give_up(reason).await.map(Some);
        }
        if self.sent {
            self.submit_again();
        }
        Ok(None)
    }

    async fn wait_for_room(&mut self, reason: String) -> Result<Option<AnswerFinal>, ClientError> {
        if self.token.is_some() {
            return self.recover(reason).await;
        }
        let code = tonic::Code::ResourceExhausted;
        let in_time = self.time_left().is_none_or(|left| self.pause() < left);
        self.count_loss();
        if !in_time
            || self.losses > self.shared.options.losses_in_a_row
            || !self.shared.take_retry()
        {
            return Err(ClientError::Rejected { code, reason });
        }
        tokio::time::sleep(self.pause()).await;
        self.submit_again();
        Ok(None)
    }

    /// Handles a call refused for good: the token may be unusable while the key still leads on.
    async fn rejected(
        &mut self,
        code: tonic::Code,
        reason: String,
    ) -> Result<Option<AnswerFinal>, ClientError> {
        let keyed = self.submit.as_ref().is_some_and(|s| !s.key.is_empty());
        let again = self.submit.is_some() && (keyed || self.assembly.received() == 0);
        if self.token.is_none() || !again {
            return Err(ClientError::Rejected { code, reason });
        }
        self.token = None;
        self.recover(reason).await
    }

    /// Ends a request that cannot be followed any further, with what is certain.
    async fn give_up(&mut self, reason: String) -> Result<AnswerFinal, ClientError> {
        if !self.sent {
            return Err(ClientError::NotSent { reason });
        }
        let keyed = self.submit.take().filter(|submit| !submit.key.is_empty());
        let Some(submit) = keyed else {
            return Ok(self.unknown(format!("connections were lost: {reason}")));
        };
        self.ask_outcome(&submit).await
    }

    async fn ask_outcome(
        &mut self,
        submit: &pb::SubmitRequest,
    ) -> Result<AnswerFinal, ClientError> {
        let question = pb::OutcomeRequest {
            key: submit.key.clone(),
            key_minted_at_ms: submit.key_minted_at_ms,
            // Closing an unused key is what makes "not run" true.
            settle: true,
        };
        for _ in 0..OUTCOME_QUESTIONS {
            let reply = match self.shared.outcome(question.clone()).await {
                Ok(reply) => reply,
                Err(error) => return Ok(self.unknown(error.to_string())),
            };
            match reply.state() {
                pb::RecordState::Answered => return self.recorded_answer(&reply).await,
                pb::RecordState::NotRun => return Ok(self.not_run()),
                pb::RecordState::Unknown => {
                    return Ok(self.unknown("the record has no end of the request".to_owned()));
                }
                pb::RecordState::Absent
                | pb::RecordState::Intended
                | pb::RecordState::Unspecified => {}
            }
            let asked = Duration::from_millis(u64::from(reply.retry_after_ms));
            tokio::time::sleep(asked.max(OUTCOME_PAUSE)).await;
        }
        Ok(self.unknown("the record did not settle".to_owned()))
    }

    async fn recorded_answer(
        &mut self,
        reply: &pb::OutcomeReply,
    ) -> Result<AnswerFinal, ClientError> {
        let offset = self.assembly.received();
        let kept = reply.result.len() as u64 == reply.length;
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        if let Some(rest) = reply
            .result
            .get(start..)
            .filter(|rest| kept && !rest.is_empty())
        {
            self.assembly.extend(rest);
            let data = rest.to_vec();
            self.emit(AnswerItem::Chunk {
                offset,
                data,
                tokens: 0,
            })
            .await;
        }
        match self.assembly.check(reply.length, &reply.digest) {
            FinalCheck::Whole => {
                let end = pb::Final {
                    length: reply.length,
                    ..pb::Final::default()
                };
                Ok(self.ended(AnswerOutcome::Answered, end))
            }
            FinalCheck::Short => Ok(self.unknown(format!(
                "the request ran and was answered with {} bytes that were not kept; do not submit it again",
                reply.length
            ))),
            FinalCheck::Damaged(reason) => Err(ClientError::Damaged { reason }),
        }
    }

    fn submit_again(&mut self) {
        self.token = None;
        self.resubmissions += 1;
        metrics::counter!("pistachiowick_client_resubmissions_total").increment(1);
        let left = self.time_left();
        if let (Some(submit), Some(left)) = (&mut self.submit, left) {
            let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            // Zero would ask for the class's whole deadline.
            submit.deadline_ms = left_ms.max(1);
            self.started = Instant::now();
        }
    }

    fn count_loss(&mut self) {
        if self.assembly.received() > self.received_at_loss {
            self.losses = 0;
        }
        self.received_at_loss = self.assembly.received();
        self.losses += 1;
    }

    fn pause(&self) -> Duration {
        let doublings = self.losses.saturating_sub(1).min(16);
        let pause = FIRST_PAUSE.saturating_mul(1 << doublings);
        self.shared.links.jitter(pause.min(LONGEST_PAUSE))
    }

    /// Returns the time to the caller's deadline; `None` when the class's own counts.
    fn time_left(&self) -> Option<Duration> {
        let submit = self.submit.as_ref()?;
        let deadline = Duration::from_millis(u64::from(submit.deadline_ms));
        (!deadline.is_zero()).then(|| deadline.saturating_sub(self.started.elapsed()))
    }

    fn not_run(&self) -> AnswerFinal {
        let end = pb::Final {
            reason: "connections were lost; the record says that it has not run".to_owned(),
            ..pb::Final::default()
        };
        self.ended(AnswerOutcome::RefusedNotRun, end)
    }

    fn unknown(&self, reason: String) -> AnswerFinal {
        let end = pb::Final {
            reason,
            ..pb::Final::default()
        };
        self.ended(AnswerOutcome::Unknown, end)
    }

    fn ended(&self, outcome: AnswerOutcome, end: pb::Final) -> AnswerFinal {
        let retry_after = Duration::from_millis(u64::from(end.retry_after_ms));
        AnswerFinal {
            outcome,
            length: end.length,
            reason: end.reason,
            retry_after: (!retry_after.is_zero()).then_some(retry_after),
            resumes: self.resumes,
            resubmissions: self.resubmissions,
        }
    }
}

fn failed(status: &tonic::Status) -> StreamEnd {
    match CallFailure::from(status) {
        CallFailure::Broken(reason) => StreamEnd::Broken(reason),
        CallFailure::Busy(reason) => StreamEnd::Busy(reason),
        CallFailure::Rejected(code, reason) => StreamEnd::Rejected(code, reason),
    }
}
