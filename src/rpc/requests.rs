//! The gRPC service for callers: submit, resume, cancel, outcome and addresses.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::Stream;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use crate::clock;
use crate::intents::{IntentKey, RecordView};
use crate::membership::addressing;
use crate::membership::fleet::UseState;
use crate::names::{
    DaemonId, ProcessIncarnation, RequestId, RequestKey, UnixTime, WorkspaceName, millis,
};
use crate::pb;
use crate::pb::requests_server::Requests;
use crate::peers::requests::cancel_on_peer;
use crate::ports::TargetCall;
use crate::requests::answer_sink::{AnswerEvent, AnswerSink, FinalOutcome};
use crate::requests::request::CallerRequest;
use crate::requests::resume_token::ResumeToken;
use crate::requests::run_resume;
use crate::requests::traffic::{SIDE_CALL_TIMEOUT, TrafficContext};
use crate::rpc::access::caller_workspace;

/// Number of events buffered for a caller that reads slowly.
const EVENT_BUFFER: usize = 64;
/// Retry time given to a caller that is refused by a stopping daemon.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

type EventStream = Pin<Box<dyn Stream<Item = AnswerEvent> + Send>>;

/// The service for callers of one daemon.
#[derive(Clone)]
pub struct RequestsService {
    context: Arc<TrafficContext>,
    incarnation: ProcessIncarnation,
    next_number: Arc<AtomicU64>,
}

impl RequestsService {
    /// Creates the service.
    #[must_use]
    pub fn new(context: Arc<TrafficContext>, incarnation: ProcessIncarnation) -> Self {
        Self {
            context,
            incarnation,
            next_number: Arc::new(AtomicU64::new(0)),
        }
    }

    fn workspace<T>(&self, request: &Request<T>) -> Result<WorkspaceName, Status> {
        let snapshot = self.context.control.snapshot.load();
        caller_workspace(request.metadata(), &snapshot)
    }

    /// Returns an identity that no other daemon and no other run of this one uses.
    fn new_id(&self) -> RequestId {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let daemon = &self.context.daemon;
        RequestId::from(format!("{daemon}-{:x}-{number:x}", self.incarnation.0))
    }

    fn check_request(
        &self,
        workspace: &WorkspaceName,
        submit: pb::SubmitRequest,
    ) -> Result<CallerRequest, Status> {
        let snapshot = self.context.control.snapshot.load();
        let limits = &self.context.settings.limits;
        let id = self.new_id();
        CallerRequest::check(id, workspace, submit, &snapshot, limits)
            .map_err(|error| Status::invalid_argument(error.to_string()))
    }

    fn open_token(&self, workspace: &WorkspaceName, token: &str) -> Result<ResumeToken, Status> {
        let opened = self.context.signer.open(token);
        let token = opened.map_err(|error| Status::invalid_argument(error.to_string()))?;
        if token.workspace != *workspace {
            // Meant to match the reply to a forged token: a workspace must not learn
            // whether another's token is genuine. The two still differ, as a forged token is
            // refused with `InvalidArgument`.
            let text = "the resume token is not valid for this workspace; check key and token";
            return Err(Status::permission_denied(text));
        }
        Ok(token)
    }

    fn intent_key(workspace: &WorkspaceName, message: &pb::OutcomeRequest) -> IntentKey {
        IntentKey {
            workspace: workspace.clone(),
            key: RequestKey::from(message.key.as_str()),
            minted_at: UnixTime(message.key_minted_at_ms),
        }
    }
}

#[tonic::async_trait]
impl Requests for RequestsService {
    type SubmitStream = EventStream;
    type ResumeStream = EventStream;

    async fn submit(
        &self,
        request: Request<pb::SubmitRequest>,
    ) -> Result<Response<EventStream>, Status> {
        let workspace = self.workspace(&request)?;
        let request = self.check_request(&workspace, request.into_inner())?;
        let (events, receiver) = mpsc::channel(EVENT_BUFFER);
        let mut sink = AnswerSink::new(events, request.id.clone());
        let stopping = self.context.closing.load(Ordering::Relaxed);
        let never_run = request.intent.is_none() || request.submit.first_submission;
        if stopping && never_run {
            let outcome = FinalOutcome::NotRun {
                reason: "this daemon is shutting down; use another address".to_owned(),
                retry_after: STOPPING_RETRY_AFTER,
            };
            sink.finish(&outcome).await;
        } else {
            tokio::spawn(Arc::clone(&self.context).run(request, sink));
        }
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }

    async fn resume(
        &self,
        request: Request<pb::ResumeRequest>,
    ) -> Result<Response<EventStream>, Status> {
        let workspace = self.workspace(&request)?;
        let message = request.into_inner();
        let token = self.open_token(&workspace, &message.resume_token)?;
        let submit = message.submit.unwrap_or_default();
        let resubmitted = !submit.class.is_empty();
        let submit = pb::SubmitRequest {
            class: token.class.to_string(),
            prompt_tokens: submit.prompt_tokens.max(1),
            max_output_tokens: submit.max_output_tokens.max(1),
            key: token.key.as_ref().map_or(submit.key, |k| k.key.to_string()),
            key_minted_at_ms: token.key.as_ref().map_or(0, |k| k.minted_at.0),
            first_submission: false,
            ..submit
        };
        let mut request = self.check_request(&workspace, submit)?;
        let left = token.deadline.since(clock::unix_now());
        request.deadline = clock::mono_now().plus(left);
        request.deadline_unix = token.deadline;
        let (events, receiver) = mpsc::channel(EVENT_BUFFER);
        let resumption = run_resume::Resumption {
            token,
            offset: message.offset,
            resubmitted,
        };
        let context = Arc::clone(&self.context);
        tokio::spawn(run_resume::run(context, request, resumption, events));
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }

    async fn cancel(
        &self,
        request: Request<pb::CancelRequest>,
    ) -> Result<Response<pb::CancelReply>, Status> {
        let workspace = self.workspace(&request)?;
        let token = self.open_token(&workspace, &request.into_inner().resume_token)?;
        let stopped = self.cancel_running(&token).await;
        Ok(Response::new(pb::CancelReply { stopped }))
    }

    async fn outcome(
        &self,
        request: Request<pb::OutcomeRequest>,
    ) -> Result<Response<pb::OutcomeReply>, Status> {
        let workspace = self.workspace(&request)?;
        let message = request.into_inner();
        if message.key.is_empty() {
            return Err(Status::invalid_argument(
                "key is empty; send the request's key",
            ));
        }
        let key = Self::intent_key(&workspace, &message);
        match self.context.intents.lookup(&key, message.settle).await {
            Ok(record) => Ok(Response::new(record.into())),
            Err(error) => Err(Status::unavailable(error.to_string())),
        }
    }

    async fn locate(
        &self,
        request: Request<pb::LocateRequest>,
    ) -> Result<Response<pb::LocateReply>, Status> {
        self.workspace(&request)?;
        let context = &self.context;
        let snapshot = context.control.snapshot.load();
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let mut rng = SmallRng::seed_from_u64(self.incarnation.0 ^ number);
        let keep_ms = context.settings.shutdown.keep_ms;
        let answer = addressing::locate(&snapshot, &context.daemon, None, keep_ms, &mut rng);
        let addresses = answer.addresses.into_iter().map(|entry| pb::Address {
            address: entry.address,
            data_centre: entry.data_centre.to_string(),
            weight: entry.weight,
        });
        Ok(Response::new(pb::LocateReply {
            addresses: addresses.collect(),
            keep_ms: answer.keep_ms,
        }))
    }
}

impl RequestsService {
    /// Cancels a request at the daemon that handles it.
    ///
    /// To that daemon, cancelling only at the engine would look like a lost engine: it
    /// would continue elsewhere, and the caller would receive the reply "stopped" and then
    /// an answer. The engine is called only if that daemon is gone, and never for a
    /// non-repeatable request, whose outcome would stay unknown.
    async fn cancel_running(&self, token: &ResumeToken) -> bool {
        let context = &self.context;
        if context.cancel_local(&token.request_id) {
            return true;
        }
        if token.daemon != context.daemon {
            let reply = cancel_on_peer(&context.peers, &token.daemon, &token.request_id).await;
            if let Ok(stopped) = reply {
                return stopped;
            }
            if self.is_in_use(&token.daemon) {
                return false;
            }
        }
        let at_engine = token.key.is_none() && !token.model.is_empty();
        at_engine && self.cancel_at_engine(token).await
    }

    fn is_in_use(&self, daemon: &DaemonId) -> bool {
        let snapshot = self.context.control.snapshot.load();
        let view = snapshot.fleet.daemons.get(daemon);
        view.is_some_and(|d| d.state != UseState::Gone)
    }

    async fn cancel_at_engine(&self, token: &ResumeToken) -> bool {
        let call = TargetCall {
            address: token.target_address.clone(),
            timeout: SIDE_CALL_TIMEOUT,
            body: token.request_id.clone(),
        };
        (self.context.engines.cancel)(call).await.unwrap_or(false)
    }
}

impl From<RecordView> for pb::OutcomeReply {
    fn from(record: RecordView) -> Self {
        let mut reply = Self::default();
        match record {
            RecordView::Absent => reply.set_state(pb::RecordState::Absent),
            RecordView::Intended { .. } => {
                reply.set_state(pb::RecordState::Intended);
                reply.retry_after_ms =
                    u32::try_from(millis(Duration::from_secs(1))).unwrap_or(u32::MAX);
            }
            RecordView::NotRun => reply.set_state(pb::RecordState::NotRun),
            RecordView::Answered {
                length,
                digest,
                result,
            } => {
                reply.set_state(pb::RecordState::Answered);
                reply.length = length;
                reply.digest = digest;
                reply.result = result.unwrap_or_default();
            }
            RecordView::Unknown => reply.set_state(pb::RecordState::Unknown),
        }
        reply
    }
}
