//! The public client for callers: submit, resume, cancel and ask for outcomes.
//!
//! It asks the daemons which of them to use, spreads its requests over them,
//! resumes an answer elsewhere when a daemon dies, and checks that the answer
//! is whole. A request with a key may not be repeated: it is never sent twice
//! as a first submission, so that a daemon's "not run" stays true.

pub mod answer;
mod driver;
pub mod error;
mod links;
pub mod operator;

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::mpsc;

use crate::client::driver::AnswerDriver;
use crate::client::error::{CallFailure, ClientError};
use crate::client::links::{DaemonLink, LinkPool};
use crate::clock;
use crate::decide::retry_budget::RetryBudget;
use crate::pb;
use crate::pb::requests_client::RequestsClient;

/// Default share of retries to first attempts.
const RETRY_SHARE: f64 = 0.1;

/// Keys remembered as sent; older ones are covered by a watermark.
const KEYS_KEPT: usize = 65_536;

/// Answer items that may wait for the reader.
const ITEMS_AHEAD: usize = 64;

/// Attempts at a call that may be repeated.
const CALL_ATTEMPTS: u32 = 4;

/// Pause before a call is repeated.
const CALL_PAUSE: Duration = Duration::from_millis(100);

/// How a client reaches the daemons.
#[derive(Clone)]
pub struct ClientOptions {
    /// IP numbers and ports of daemons to ask first.
    pub addresses: Vec<String>,
    /// Key of the workspace, or of the operator.
    pub key: String,
    /// Certificate authority as PEM text; `None` connects without TLS.
    pub ca_pem: Option<String>,
    /// Share of resubmissions to first attempts.
    pub retry_share: f64,
    /// Whether a refusal as not run is retried after the time it names.
    pub retry_refused: bool,
    /// Connections lost in a row, without progress, before a request is given up.
    pub losses_in_a_row: u32,
    /// Seed of the spread over addresses and of pauses.
    pub seed: u64,
}

impl ClientOptions {
    /// Creates options with the defaults: no TLS, one retry in ten requests.
    #[must_use]
    pub fn new(addresses: Vec<String>, key: String) -> Self {
        Self {
            addresses,
            key,
            ca_pem: None,
            retry_share: RETRY_SHARE,
            retry_refused: true,
            losses_in_a_row: 8,
            seed: clock::unix_now().0,
        }
    }
}

impl fmt::Debug for ClientOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClientOptions")
            .field("addresses", &self.addresses)
            .field("key", &"(hidden)")
            .field("ca_pem", &self.ca_pem.is_some())
            .field("retry_share", &self.retry_share)
            .field("retry_refused", &self.retry_refused)
            .field("losses_in_a_row", &self.losses_in_a_row)
            .field("seed", &self.seed)
            .finish()
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AnswerOutcome {
    /// The whole answer was received.
    Answered,
    /// Stopped on request.
    Cancelled,
    /// The deadline passed after the request had started.
    Expired,
    /// It has not run and will not run.
    RefusedNotRun,
    /// Whether it ran is not known.
    Unknown,
}

impl AnswerOutcome {
    /// Returns the outcome's name in output and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Cancelled => "cancelled",
            Self::Expired => "expired",
            Self::RefusedNotRun => "refused_not_run",
            Self::Unknown => "unknown",
        }
    }
}

impl From<pb::Outcome> for AnswerOutcome {
    fn from(outcome: pb::Outcome) -> Self {
        match outcome {
            pb::Outcome::Answered => Self::Answered,
            pb::Outcome::Cancelled => Self::Cancelled,
            pb::Outcome::Expired => Self::Expired,
            pb::Outcome::RefusedNotRun => Self::RefusedNotRun,
            pb::Outcome::Unknown | pb::Outcome::Unspecified => Self::Unknown,
        }
    }
}

/// The end of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerFinal {
    /// How it ended.
    pub outcome: AnswerOutcome,
    /// Length of the whole answer in bytes, when answered.
    pub length: u64,
    /// Why it ended so; empty when answered.
    pub reason: String,
    /// When to come back, where a time is known.
    pub retry_after: Option<Duration>,
    /// Streams resumed on the way.
    pub resumes: u32,
    /// Submissions repeated on the way.
    pub resubmissions: u32,
}

/// What an answer stream yields.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerItem {
    /// A daemon took the request, or its token or target changed.
    Accepted {
        /// Identifies the accepted submission.
        request_id: String,
        /// Newest token for resuming and cancelling.
        resume_token: String,
        /// Target at work; empty while the request waits.
        target: String,
    },
    /// The next bytes of the answer, in order and once.
    Chunk {
        /// Position of the first byte in the whole answer.
        offset: u64,
        /// Bytes.
        data: Vec<u8>,
        /// Tokens the bytes stand for.
        tokens: u32,
    },
    /// The one final outcome.
    Final(AnswerFinal),
}

/// A whole answer with its end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WholeAnswer {
    /// Bytes received; the whole answer when `end` says answered.
    pub data: Vec<u8>,
    /// How the request ended.
    pub end: AnswerFinal,
}

/// An answer on its way. Dropping it closes the stream.
#[derive(Debug)]
pub struct AnswerStream {
    items: mpsc::Receiver<Result<AnswerItem, ClientError>>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl AnswerStream {
    /// Returns the next item; `None` after the final outcome or an error.
    pub async fn next(&mut self) -> Option<Result<AnswerItem, ClientError>> {
        self.items.recv().await
    }

    /// Reads to the end.
    ///
    /// # Errors
    ///
    /// Returns the error that ended the stream in place of a final outcome.
    pub async fn collect(mut self) -> Result<WholeAnswer, ClientError> {
        let mut whole = Vec::new();
        while let Some(item) = self.next().await {
            match item? {
                AnswerItem::Accepted { .. } => {}
                AnswerItem::Chunk { data, .. } => whole.extend_from_slice(&data),
                AnswerItem::Final(end) => return Ok(WholeAnswer { data: whole, end }),
            }
        }
        Err(ClientError::Lost {
            reason: "the stream ended without an outcome".to_owned(),
        })
    }
}

/// A caller's client; clones share connections, addresses and the retry budget.
#[derive(Clone)]
pub struct PistachioClient {
    pub(crate) shared: Arc<ClientShared>,
}

pub(crate) struct ClientShared {
    pub(crate) links: LinkPool,
    pub(crate) options: ClientOptions,
    budget: Mutex<RetryBudget>,
    keys: Mutex<KeyMemory>,
}

/// Keys sent as first submissions.
struct KeyMemory {
    sent: IndexMap<String, u64>,
    /// Keys minted up to this Unix time in milliseconds count as sent before.
    old_until: u64,
}

impl PistachioClient {
    /// Creates a client and asks the daemons which addresses to use.
    ///
    /// # Errors
    ///
    /// Returns an error for options that cannot be used, when no daemon can be
    /// reached, and when the key is refused.
    pub async fn connect(options: ClientOptions) -> Result<Self, ClientError> {
        let retry_share = options.retry_share;
        let client = Self {
            shared: Arc::new(ClientShared {
                links: LinkPool::new(&options)?,
                options,
                budget: Mutex::new(RetryBudget::new(retry_share)),
                keys: Mutex::new(KeyMemory {
                    sent: IndexMap::new(),
                    old_until: clock::unix_now().0.saturating_sub(1),
                }),
            }),
        };
        client.shared.links.pick().await?;
        Ok(client)
    }

    /// Submits a request and follows it to its one final outcome.
    ///
    /// A request with a key may not be repeated; one without may run again
    /// after a loss. `first_submission` is cleared when this client sent the
    /// key before or cannot tell.
    #[must_use]
    pub fn submit(&self, submit: pb::SubmitRequest) -> AnswerStream {
        self.shared.earn_retry();
        let submit = self.shared.keyed(submit);
        self.follow(|items| AnswerDriver::submit(Arc::clone(&self.shared), submit, items))
    }

    /// Continues an answer from its token after `offset` bytes.
    #[must_use]
    pub fn resume(&self, resume_token: &str, offset: u64) -> AnswerStream {
        let token = resume_token.to_owned();
        self.follow(|items| AnswerDriver::resume(Arc::clone(&self.shared), token, offset, items))
    }

    /// Stops a request. True when it was running.
    ///
    /// # Errors
    ///
    /// Returns an error when no daemon answers or the token is refused.
    pub async fn cancel(&self, resume_token: &str) -> Result<bool, ClientError> {
        let cancel = pb::CancelRequest {
            resume_token: resume_token.to_owned(),
        };
        let reply = self
            .shared
            .repeat(|link| {
                let request = self.shared.links.with_key(cancel.clone());
                let mut client = RequestsClient::new(link.channel);
                async move { client.cancel(request).await }
            })
            .await?;
        Ok(reply.stopped)
    }

    /// Reads the recorded outcome of a request that may not be repeated.
    ///
    /// # Errors
    ///
    /// Returns an error when no daemon answers or the key is refused.
    pub async fn outcome(
        &self,
        outcome: pb::OutcomeRequest,
    ) -> Result<pb::OutcomeReply, ClientError> {
        self.shared.outcome(outcome).await
    }

    /// Asks a daemon which addresses to use.
    ///
    /// # Errors
    ///
    /// Returns an error when no daemon answers or the key is refused.
    pub async fn locate(&self) -> Result<pb::LocateReply, ClientError> {
        self.shared
            .repeat(|link| {
                let request = self.shared.links.with_key(pb::LocateRequest {});
                let mut client = RequestsClient::new(link.channel);
                async move { client.locate(request).await }
            })
            .await
    }

    fn follow(
        &self,
        driver: impl FnOnce(mpsc::Sender<Result<AnswerItem, ClientError>>) -> AnswerDriver,
    ) -> AnswerStream {
        let (sender, items) = mpsc::channel(ITEMS_AHEAD);
        let task = tokio::spawn(driver(sender).run());
        AnswerStream { items, task }
    }
}

impl ClientShared {
    pub(crate) async fn outcome(
        &self,
        outcome: pb::OutcomeRequest,
    ) -> Result<pb::OutcomeReply, ClientError> {
        self.repeat(|link| {
            let request = self.links.with_key(outcome.clone());
            let mut client = RequestsClient::new(link.channel);
            async move { client.outcome(request).await }
        })
        .await
    }

    /// Makes an idempotent call, elsewhere again when a daemon fails.
    async fn repeat<T, F>(&self, call: impl Fn(DaemonLink) -> F) -> Result<T, ClientError>
    where
        F: Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    {
        let mut attempt = 1;
        loop {
            let link = self.links.pick().await?;
            let address = link.address.clone();
            let failure = match call(link).await {
                Ok(response) => return Ok(response.into_inner()),
                Err(status) => CallFailure::from(&status),
            };
            if matches!(failure, CallFailure::Rejected(..)) || attempt == CALL_ATTEMPTS {
                return Err(failure.into());
            }
            attempt += 1;
            self.links.avoid(&address).await;
            tokio::time::sleep(self.links.jitter(CALL_PAUSE)).await;
        }
    }

    /// Takes one retry from the budget, if there is one.
    pub(crate) fn take_retry(&self) -> bool {
        lock(&self.budget).try_spend()
    }

    fn earn_retry(&self) {
        lock(&self.budget).record_attempt();
    }

    /// Mints a missing time and clears `first_submission` of a key that may have been sent.
    fn keyed(&self, mut submit: pb::SubmitRequest) -> pb::SubmitRequest {
        if submit.key.is_empty() {
            return submit;
        }
        if submit.key_minted_at_ms == 0 {
            submit.key_minted_at_ms = clock::unix_now().0;
        }
        let mut keys = lock(&self.keys);
        let fresh = keys.remember(&submit.key, submit.key_minted_at_ms);
        submit.first_submission &= fresh;
        submit
    }
}

impl KeyMemory {
    /// Notes a key as sent. True when it certainly was not sent before.
    fn remember(&mut self, key: &str, minted_at: u64) -> bool {
        // A key from before this client's start may have been sent by an earlier
        // process; one up to the watermark may have been forgotten here.
        let old = minted_at <= self.old_until;
        let known = self.sent.insert(key.to_owned(), minted_at).is_some();
        if self.sent.len() > KEYS_KEPT
            && let Some((_, forgotten)) = self.sent.shift_remove_index(0)
        {
            self.old_until = self.old_until.max(forgotten);
        }
        !old && !known
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
