//! Sends requests and classifies responses, for the adapters of engines and plain
//! services.

use std::sync::Arc;
use std::time::Duration;

use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};

use crate::clock;
use crate::names::{FenceNumber, MonoTime};
use crate::ports::TargetError;
use crate::target_limits::statement::RateStatement;

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

/// Receives the address of a target, what an answer of it states about the rate that it
/// accepts, and when the request was sent.
pub type RateObserver = Arc<dyn Fn(&str, &RateStatement, MonoTime) + Send + Sync>;

/// HTTP client that all requests to targets share. Clones refer to the same connections.
#[derive(Clone)]
pub struct TargetClient {
    http: Client,
    observer: RateObserver,
}

impl TargetClient {
    /// Builds a client that passes what answers state about rates to `observer`.
    ///
    /// # Errors
    ///
    /// Returns the library's error when TLS cannot be set up.
    pub fn new(observer: RateObserver) -> reqwest::Result<Self> {
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
    /// have run; every later failure to get a response is `Lost`.
    pub async fn send(
        &self,
        call: RequestBuilder,
        timeout: Duration,
    ) -> Result<Response, TargetError> {
        let sent_at = clock::mono_now();
        let sent = tokio::time::timeout(timeout, call.send()).await;
        let response = match sent {
            Err(_) => return Err(unknown_outcome(format!("no answer within {timeout:?}"))),
            Ok(Err(error)) => return Err(classify_send_error(&error)),
            Ok(Ok(response)) => response,
        };
        let statement = rate_statement(&response);
        // A target that turns requests away may do so without naming its limit.
        if response.status().is_success() || statement != RateStatement::Unlimited {
            (self.observer)(response.url().authority(), &statement, sent_at);
        }
        check_status(response).await
    }
}

fn rate_statement(response: &Response) -> RateStatement {
    let values = response.headers().get_all(RATE_LIMIT_HEADER).iter();
    // A value that is not text is no number either.
    RateStatement::parse(values.map(|value| value.to_str().unwrap_or_default()))
}

/// Returns the error for a response body that could not be read.
#[must_use]
pub fn body_error(error: &reqwest::Error) -> TargetError {
    unknown_outcome(format!("the response body could not be read: {error}"))
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
