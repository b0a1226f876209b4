//! What the adapters of engines and plain services share: sending and judging answers.

use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response, StatusCode};

use crate::names::FenceNumber;
use crate::ports::TargetError;

/// Time to open a connection; beyond it a target counts as not reached.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Header in which targets say when to come back, in milliseconds.
const RETRY_AFTER: &str = "retry-after-ms";
const DEFAULT_RETRY: Duration = Duration::from_millis(500);
/// Body of a refusal by a target that is leaving.
const LEAVING: &str = "leaving";
/// Longest wait for the body of a refusal, and most characters kept of it.
const REASON_WAIT: Duration = Duration::from_millis(500);
const REASON_LENGTH: usize = 200;

/// Builds the client that all calls to targets share.
///
/// # Errors
///
/// Returns the library's error when TLS cannot be set up.
pub fn new_client() -> reqwest::Result<Client> {
    Client::builder()
        .connect_timeout(CONNECT_TIME)
        .tcp_nodelay(true)
        .no_proxy()
        .build()
}

/// Sends a call and waits for the head of the answer.
///
/// # Errors
///
/// Returns `NotDelivered` only when no connection came about, so that nothing can
/// have run; every later failure is `Lost`.
pub async fn send(call: RequestBuilder, patience: Duration) -> Result<Response, TargetError> {
    let sent = tokio::time::timeout(patience, call.send()).await;
    let response = match sent {
        Err(_) => return Err(lost(format!("no answer within {patience:?}"))),
        Ok(Err(error)) => return Err(judge_failure(&error)),
        Ok(Ok(response)) => response,
    };
    judge_status(response).await
}

/// Turns a failed read of a body into an error.
#[must_use]
pub fn broken(error: &reqwest::Error) -> TargetError {
    lost(format!("the answer broke off: {error}"))
}

/// Turns an answer that makes no sense into an error.
#[must_use]
pub fn lost(reason: String) -> TargetError {
    TargetError::Lost { reason }
}

fn judge_failure(error: &reqwest::Error) -> TargetError {
    let reason = error.to_string();
    if error.is_connect() {
        TargetError::NotDelivered { reason }
    } else {
        TargetError::Lost { reason }
    }
}

async fn judge_status(response: Response) -> Result<Response, TargetError> {
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::NOT_FOUND => Err(TargetError::NoStream),
        StatusCode::CONFLICT => Err(fenced(response).await),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Err(refused(response).await)
        }
        status => Err(lost(format!("status {status}"))),
    }
}

async fn refused(response: Response) -> TargetError {
    let (status, retry_after) = (response.status(), retry_after(&response));
    let body = tokio::time::timeout(REASON_WAIT, response.text()).await;
    let text = body.ok().and_then(Result::ok).unwrap_or_default();
    let reason: String = text.chars().take(REASON_LENGTH).collect();
    TargetError::Refused {
        leaving: reason == LEAVING,
        reason: if reason.is_empty() {
            format!("status {status}")
        } else {
            reason
        },
        retry_after,
    }
}

async fn fenced(response: Response) -> TargetError {
    #[derive(serde::Deserialize)]
    struct FenceBody {
        fence: FenceNumber,
    }
    match response.json::<FenceBody>().await {
        Ok(body) => TargetError::Fenced {
            current: body.fence,
        },
        Err(error) => broken(&error),
    }
}

fn retry_after(response: &Response) -> Duration {
    let header = response.headers().get(RETRY_AFTER);
    let text = header.and_then(|value| value.to_str().ok());
    let millis = text.and_then(|text| text.parse().ok());
    millis.map_or(DEFAULT_RETRY, Duration::from_millis)
}
