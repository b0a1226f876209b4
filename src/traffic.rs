//! What every running request shares, and the entry into running one.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::watch;

use crate::answer_sink::{AnswerSink, FinalOutcome};
use crate::clock;
use crate::control::{ControlEvent, ControlHandle};
use crate::dispatch::JobDispatcher;
use crate::intent_store::IntentStore;
use crate::journal::DecisionJournal;
use crate::names::{DaemonId, RequestId, TargetId};
use crate::placement::{PoolKey, TargetChoice};
use crate::ports::{EnginePort, ServicePort};
use crate::request::CallerRequest;
use crate::resume_token::{ResumeToken, TokenSigner};
use crate::retry_budget::RetryBudget;
use crate::run_call;
use crate::run_once;
use crate::run_stream;
use crate::settings::DaemonSettings;
use crate::telemetry::{RequestTimes, Telemetry};

/// Patience for calls that are not part of an answer.
pub const SIDE_CALL: Duration = Duration::from_secs(2);

/// What every running request shares.
pub struct TrafficContext {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Queue and placement.
    pub dispatcher: JobDispatcher,
    /// Model engines.
    pub engines: EnginePort,
    /// Plain services.
    pub services: ServicePort,
    /// Control thread.
    pub control: ControlHandle,
    /// Signs resume tokens.
    pub signer: TokenSigner,
    /// Records of requests that may not be repeated.
    pub intents: IntentStore,
    /// Histograms.
    pub telemetry: Telemetry,
    /// Reasons of decisions.
    pub journal: DecisionJournal,
    /// Retries allowed.
    pub budget: Mutex<RetryBudget>,
    /// Requests running in this daemon.
    pub running: Mutex<IndexMap<RequestId, watch::Sender<bool>>>,
    /// Whether new work is turned away.
    pub closing: AtomicBool,
}

/// Times of one request, gathered while it runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestProgress {
    /// Wait before the first dispatch.
    pub queueing: Option<Duration>,
    /// Time to the first token.
    pub first_token: Option<Duration>,
}

impl TrafficContext {
    /// Runs a request to its final outcome.
    pub async fn run(self: Arc<Self>, request: CallerRequest, mut sink: AnswerSink) {
        let cancelled = self.register(&request.id);
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
        self.unregister(&request.id);
        self.measure(&request, &outcome, &progress);
    }

    /// Seals a token for the request's present whereabouts.
    #[must_use]
    pub fn token(
        &self,
        request: &CallerRequest,
        choice: Option<&TargetChoice>,
        attempt: u32,
    ) -> String {
        let (target, address, model) = match choice {
            Some(choice) => (
                choice.target.clone(),
                choice.address.clone(),
                choice.model.clone(),
            ),
            None => (TargetId::from(""), String::new(), String::new()),
        };
        self.signer.seal(&ResumeToken {
            workspace: request.workspace().clone(),
            class: request.class_name().clone(),
            request_id: request.id.clone(),
            daemon: self.daemon.clone(),
            target,
            target_address: address,
            model,
            attempt,
            deadline: request.deadline_unix,
            key: request.intent.clone(),
        })
    }

    /// Takes one retry from the budget, if one is left.
    #[must_use]
    pub fn spend_retry(&self) -> bool {
        lock(&self.budget).spend()
    }

    /// Stops a request of this daemon; true when it was running here.
    #[must_use]
    pub fn cancel_here(&self, request_id: &RequestId) -> bool {
        let running = lock(&self.running);
        running.get(request_id).is_some_and(|cancel| {
            cancel.send_replace(true);
            true
        })
    }

    /// Returns the number of requests running here.
    #[must_use]
    pub fn running_count(&self) -> usize {
        lock(&self.running).len()
    }

    fn register(&self, request_id: &RequestId) -> watch::Receiver<bool> {
        let (cancel, cancelled) = watch::channel(false);
        lock(&self.running).insert(request_id.clone(), cancel);
        cancelled
    }

    fn unregister(&self, request_id: &RequestId) {
        lock(&self.running).swap_remove(request_id);
    }

    fn earn_retry(&self) {
        lock(&self.budget).earn();
    }

    fn measure(&self, request: &CallerRequest, outcome: &FinalOutcome, progress: &RequestProgress) {
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

    /// Tells the control thread of work done, for forecasts and shares.
    pub fn report_work(&self, request: &CallerRequest, output_tokens: u32) {
        let PoolKey::Model(model) = &request.pool else {
            return;
        };
        let event = ControlEvent::WorkSeen {
            model: model.clone(),
            prefill_tokens: u64::from(request.submit.prompt_tokens),
            decode_tokens: u64::from(output_tokens),
        };
        // A closed channel means the daemon is going down; nobody needs the news then.
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
