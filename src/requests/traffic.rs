//! State shared by all running requests, and the entry point for running one.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::watch;

use crate::clock;
use crate::control::{ControlEvent, ControlHandle};
use crate::crashes::SharedCrashTracker;
use crate::decide::placement::{PoolKey, TargetChoice};
use crate::decide::retry_budget::RetryBudget;
use crate::intents::store::IntentStore;
use crate::names::{DaemonId, RequestId, TargetId};
use crate::peers::link::PeerHandle;
use crate::ports::{EnginePort, ServicePort, TargetCall};
use crate::requests::answer_sink::{AnswerSink, FinalOutcome};
use crate::requests::dispatch::JobDispatcher;
use crate::requests::journal::DecisionJournal;
use crate::requests::request::CallerRequest;
use crate::requests::resume_token::{ResumeToken, TokenSigner};
use crate::requests::run_call;
use crate::requests::run_once;
use crate::requests::run_stream;
use crate::settings::DaemonSettings;
use crate::telemetry::{RequestTimes, Telemetry};

/// Timeout for calls that are not part of an answer.
pub const SIDE_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by all running requests.
pub struct TrafficContext {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Queueing and placement.
    pub dispatcher: JobDispatcher,
    /// Model engines.
    pub engines: EnginePort,
    /// Plain services.
    pub services: ServicePort,
    /// Control thread.
    pub control: ControlHandle,
    /// Signs resume tokens.
    pub signer: TokenSigner,
    /// Records of non-repeatable requests.
    pub intents: IntentStore,
    /// Links to other daemons.
    pub peers: PeerHandle,
    /// Latency histograms.
    pub telemetry: Telemetry,
    /// Recent decisions and their reasons.
    pub journal: DecisionJournal,
    /// Work that crashed targets.
    pub crashes: SharedCrashTracker,
    /// Retry budget.
    pub budget: Mutex<RetryBudget>,
    /// Requests running in this daemon.
    pub running: Mutex<IndexMap<RequestId, RunningRequest>>,
    /// Whether new work is refused.
    pub closing: AtomicBool,
}

/// A request that runs here, more than once if its caller has resumed it.
pub struct RunningRequest {
    cancel: watch::Sender<bool>,
    runs: usize,
}

/// Counts a request as running until it is dropped, even if its task panics: otherwise a
/// graceful shutdown would wait for the leaked count until it times out.
pub struct RunGuard {
    context: Arc<TrafficContext>,
    request_id: RequestId,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut running = lock(&self.context.running);
        if let Some(request) = running.get_mut(&self.request_id) {
            request.runs -= 1;
            if request.runs == 0 {
                running.swap_remove(&self.request_id);
            }
        }
    }
}

/// Times of one request, recorded while it runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestProgress {
    /// Time from arrival to the first dispatch.
    pub queueing: Option<Duration>,
    /// Time from arrival to the first token.
    pub first_token: Option<Duration>,
}

impl TrafficContext {
    /// Runs a request to its final outcome.
    pub async fn run(self: Arc<Self>, request: CallerRequest, mut sink: AnswerSink) {
        let (guard, cancelled) = self.register(&request.id);
        self.earn_retry();
        let mut progress = RequestProgress::default();
        let outcome = match (&request.intent, &request.pool) {
            (Some(_), _) => {
                run_once::run(&self, &request, &mut sink, cancelled, &mut progress).await
            }
            (None, PoolKey::Model(_)) => {
                run_stream::run(&self, &request, &mut sink, cancelled, &mut progress).await
            }
            (None, PoolKey::Service(_)) => {
                run_call::run(&self, &request, &mut sink, cancelled, &mut progress).await
            }
        };
        sink.finish(&outcome).await;
        drop(guard);
        self.record_times(&request, &outcome, &progress);
    }

    /// Creates a signed token for the request's current location.
    #[must_use]
    pub fn token(
        &self,
        request: &CallerRequest,
        choice: Option<&TargetChoice>,
        attempt: u32,
    ) -> String {
        let (target, address, model, software) = match choice {
            Some(choice) => (
                choice.target.clone(),
                choice.address.clone(),
                choice.model.clone(),
                choice.software.clone(),
            ),
            None => (
                TargetId::from(""),
                String::new(),
                String::new(),
                String::new(),
            ),
        };
        self.signer.seal(&ResumeToken {
            workspace: request.workspace().clone(),
            class: request.class_name().clone(),
            request_id: request.id.clone(),
            daemon: self.daemon.clone(),
            target,
            target_address: address,
            model,
            software,
            attempt,
            deadline: request.deadline_unix,
            key: request.intent.clone(),
        })
    }

    /// Cancels a stream at an engine in the background; a lost cancel wastes work, but breaks
    /// nothing.
    pub fn cancel_stream(&self, address: &str, request_id: &RequestId) {
        let call = TargetCall {
            address: address.to_owned(),
            timeout: SIDE_CALL_TIMEOUT,
            body: request_id.clone(),
        };
        tokio::spawn((self.engines.cancel)(call));
    }

    /// Takes one retry from the budget, if one is left.
    #[must_use]
    pub fn spend_retry(&self) -> bool {
        lock(&self.budget).try_spend()
    }

    /// Cancels a request of this daemon; returns true if a run here can still be stopped.
    ///
    /// A run that cannot be stopped, such as a call already sent to a service, has dropped
    /// its receiver: its caller must not receive the reply "stopped".
    #[must_use]
    pub fn cancel_local(&self, request_id: &RequestId) -> bool {
        let running = lock(&self.running);
        running.get(request_id).is_some_and(|request| {
            request.cancel.send_replace(true);
            request.cancel.receiver_count() > 0
        })
    }

    /// Stops accepting a cancel; returns true if one has already arrived.
    ///
    /// Holds the lock that a cancel takes: a later cancel finds no receiver, so that no
    /// caller receives the reply "stopped" for a request that continues.
    #[must_use]
    pub fn close_cancellation(&self, cancelled: watch::Receiver<bool>) -> bool {
        let _running = lock(&self.running);
        let already_cancelled = *cancelled.borrow();
        drop(cancelled);
        already_cancelled
    }

    /// Returns the number of requests running here.
    #[must_use]
    pub fn running_count(&self) -> usize {
        lock(&self.running).values().map(|r| r.runs).sum()
    }

    /// Counts a request as running and subscribes to its cancellation.
    #[must_use]
    pub fn register(self: &Arc<Self>, request_id: &RequestId) -> (RunGuard, watch::Receiver<bool>) {
        let mut running = lock(&self.running);
        let request = running.entry(request_id.clone()).or_insert_with(|| {
            let (cancel, _) = watch::channel(false);
            RunningRequest { cancel, runs: 0 }
        });
        request.runs += 1;
        let cancelled = request.cancel.subscribe();
        let guard = RunGuard {
            context: Arc::clone(self),
            request_id: request_id.clone(),
        };
        (guard, cancelled)
    }

    fn earn_retry(&self) {
        lock(&self.budget).record_attempt();
    }

    fn record_times(
        &self,
        request: &CallerRequest,
        outcome: &FinalOutcome,
        progress: &RequestProgress,
    ) {
        let now = clock::mono_now();
        let total = now.since(request.arrived);
        let times = RequestTimes {
            queueing: progress.queueing.unwrap_or(total),
            first_token: progress.first_token,
            total,
            lateness: now.since(request.deadline),
        };
        self.telemetry.request_ended(
            request.workspace(),
            request.class_name(),
            outcome.as_str(),
            &times,
        );
    }

    /// Reports completed work to the control thread, for forecasts and shares.
    pub fn report_work(&self, request: &CallerRequest, output_tokens: u32) {
        let PoolKey::Model(model) = &request.pool else {
            return;
        };
        let event = ControlEvent::WorkAccepted {
            model: model.clone(),
            prefill_tokens: u64::from(request.submit.prompt_tokens),
            decode_tokens: u64::from(output_tokens),
        };
        // A closed channel means that the daemon is shutting down and the event is not needed.
        let _ = self.control.events.send(event);
    }
}

/// Resolves once the caller has cancelled.
pub async fn until_cancelled(cancelled: &mut watch::Receiver<bool>) {
    if cancelled.wait_for(|c| *c).await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
