//! Sends requests and classifies responses, for the adapters of engines and plain
//! services.

use std::sync::Arc;
use std::time::Duration;

use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};

use crate::clock;
use crate::names::{FenceNumber, MonoTime};
use crate::ports::TargetError;
use crate::target_limits::statement::RateStatement;
use crate::target_statements::TargetStatement;
use crate::target_statements::backoff::BackoffStatement;
use crate::target_statements::departure::DepartureStatement;

/// Timeout for opening a connection; after it, a target counts as not reached.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Header with the time after which a target may be tried again, in milliseconds.
const RETRY_AFTER_HEADER: &str = "retry-after-ms";
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Body of a refusal by a target that is leaving.
const LEAVING_BODY: &str = "leaving";
/// Timeout for the body of a refusal, and maximum number of characters kept of it.
const REASON_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_REASON_CHARS: usize = 200;

/// Header with the requests per second that a target accepts from all daemons together.
const RATE_LIMIT_HEADER: &str = "request-limit";
/// Header that states that the target is leaving.
const LEAVING_HEADER: &str = "leaving";

/// An answer of a target.
#[derive(Clone, Copy, Debug)]
pub struct AnsweredCall<'a> {
    /// Address of the target.
    pub address: &'a str,
    /// Whether the target accepted the call.
    pub accepted: bool,
    /// When the call was sent.
    pub sent_at: MonoTime,
}

/// Receives what answers state about their targets.
pub type StatementObserver = Arc<dyn Fn(AnsweredCall<'_>, &TargetStatement) + Send + Sync>;

/// HTTP client that all requests to targets share. Clones refer to the same connections.
#[derive(Clone)]
pub struct TargetClient {
    http: Client,
    observer: StatementObserver,
}

impl TargetClient {
    /// Builds a client that passes what answers state to `observer`.
    ///
    /// # Errors
    ///
    /// Returns the library's error when TLS cannot be set up.
    pub fn new(observer: StatementObserver) -> reqwest::Result<Self> {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .no_proxy()
            .build()?;
        Ok(Self { http, observer })
    }

    /// Starts a request to a path of a target.
    pub fn request(&self, method: Method, address: &str, path: &str) -> RequestBuilder {
        self.http.request(method, format!("http://{address}{path}"))
    }

    /// Sends a request and waits for the header of the response.
    ///
    /// # Errors
    ///
    /// Returns `NotDelivered` only if no connection was established, so that nothing can
    /// have run, and `Silent` if the time is over; every other failure to get a response is
    /// `Lost`.
    pub async fn send(
        &self,
        call: RequestBuilder,
        timeout: Duration,
    ) -> Result<Response, TargetError> {
        let sent_at = clock::mono_now();
        let sent = tokio::time::timeout(timeout, call.send()).await;
        let response = match sent {
            Err(_) => return Err(no_answer(timeout)),
            Ok(Err(error)) => return Err(classify_send_error(&error)),
            Ok(Ok(response)) => response,
        };
        let answered = AnsweredCall {
            address: response.url().authority(),
            accepted: response.status().is_success(),
            sent_at,
        };
        (self.observer)(answered, &read_statement(&response));
        check_status(response).await
    }
}

fn read_statement(response: &Response) -> TargetStatement {
    let texts = |name| {
        let values = response.headers().get_all(name).iter();
        // A value that is not text is no number either.
        values.map(|value| value.to_str().unwrap_or_default())
    };
    let backoff = if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        BackoffStatement::parse(texts(RETRY_AFTER_HEADER), Duration::from_millis(1))
    } else {
        BackoffStatement::None
    };
    TargetStatement {
        rate: RateStatement::parse(texts(RATE_LIMIT_HEADER)),
        departure: DepartureStatement::parse(texts(LEAVING_HEADER)),
        backoff,
    }
}

/// Returns the error for a response body that could not be read.
#[must_use]
pub fn body_error(error: &reqwest::Error) -> TargetError {
    unknown_outcome(format!("the response body could not be read: {error}"))
}

/// Returns the error for a request that was not answered within `timeout`.
#[must_use]
pub fn no_answer(timeout: Duration) -> TargetError {
    TargetError::Silent {
        reason: format!("no complete answer within {timeout:?}"),
    }
}

/// Returns the error for a request whose outcome is unknown.
#[must_use]
pub fn unknown_outcome(reason: String) -> TargetError {
    TargetError::Lost { reason }
}

fn classify_send_error(error: &reqwest::Error) -> TargetError {
    let reason = error.to_string();
    if error.is_connect() {
        TargetError::NotDelivered { reason }
    } else {
        TargetError::Lost { reason }
    }
}

async fn check_status(response: Response) -> Result<Response, TargetError> {
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::NOT_FOUND => Err(TargetError::NoStream),
        StatusCode::CONFLICT => Err(fencing_error(response).await),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Err(refusal_error(response).await)
        }
        status => Err(unknown_outcome(format!("status {status}"))),
    }
}

async fn refusal_error(response: Response) -> TargetError {
    let (status, retry_after) = (response.status(), retry_after(&response));
    let body = tokio::time::timeout(REASON_TIMEOUT, response.text()).await;
    let text = body.ok().and_then(Result::ok).unwrap_or_default();
    let reason: String = text.chars().take(MAX_REASON_CHARS).collect();
    TargetError::Refused {
        leaving: reason == LEAVING_BODY,
        reason: if reason.is_empty() {
            format!("status {status}")
        } else {
            reason
        },
        retry_after,
    }
}

async fn fencing_error(response: Response) -> TargetError {
    #[derive(serde::Deserialize)]
    struct FenceBody {
        fence: FenceNumber,
    }
    match response.json::<FenceBody>().await {
        Ok(body) => TargetError::Fenced {
            current: body.fence,
        },
        Err(error) => body_error(&error),
    }
}

fn retry_after(response: &Response) -> Duration {
    let header = response.headers().get(RETRY_AFTER_HEADER);
    let text = header.and_then(|value| value.to_str().ok());
    let millis = text.and_then(|text| text.parse().ok());
    millis.map_or(DEFAULT_RETRY_AFTER, Duration::from_millis)
}
