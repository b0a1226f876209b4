//! Answers to callers: those of targets, and failures reported by the gateway.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use thiserror::Error;

/// An answer that ended before its last byte. The caller's connection is aborted, so that
/// a truncated answer never looks complete.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("the answer was truncated: {0}; retry if the request may run twice")]
pub struct AnswerTruncated(pub String);

/// Frames of a body that is forwarded as it arrives.
pub type FrameStream = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, AnswerTruncated>>>>;

/// Body of an answer to a caller.
pub type ReplyBody = Either<Full<Bytes>, StreamBody<FrameStream>>;

/// Answer to a caller.
pub type Reply = Response<ReplyBody>;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Hop-by-hop headers.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes hop-by-hop headers, including those named in the `Connection` header.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in CONNECTION_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Kind of a failure that the gateway reports to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// The request is malformed.
    BadRequest,
    /// The request has no valid workspace key.
    UnknownKey,
    /// No route matches the host and path.
    NoRoute,
    /// The body exceeds the size limit.
    TooLarge,
    /// The caller did not send its whole request in time. The request has not run.
    SlowCaller,
    /// The request has not run; the caller may retry later.
    Refused,
    /// The request may have run, but its answer was lost.
    Unclear,
    /// The deadline has passed.
    OutOfTime,
}

impl FailureKind {
    /// Returns the HTTP status of the answer.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowCaller => StatusCode::REQUEST_TIMEOUT,
            Self::Refused => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unclear => StatusCode::BAD_GATEWAY,
            Self::OutOfTime => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the name of the outcome in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::UnknownKey => "unknown_key",
            Self::NoRoute => "no_route",
            Self::TooLarge => "too_large",
            Self::SlowCaller => "slow_caller",
            Self::Refused => "refused",
            Self::Unclear => "unclear",
            Self::OutOfTime => "out_of_time",
        }
    }
}

/// A failure that the gateway reports to a caller.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{reason}")]
pub struct Failure {
    /// Kind of the failure.
    pub kind: FailureKind,
    /// What happened, and what the caller can do.
    pub reason: String,
    /// When to retry, if the request was refused.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure without a retry time.
    #[must_use]
    pub fn new(kind: FailureKind, reason: impl Into<String>) -> Self {
        Self {
            kind,
            reason: reason.into(),
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that has not run.
    #[must_use]
    pub fn refused(reason: impl Into<String>, retry_after: Duration) -> Self {
        Self {
            kind: FailureKind::Refused,
            reason: reason.into(),
            retry_after: Some(retry_after),
        }
    }

    /// Returns the answer that reports the failure.
    #[must_use]
    pub fn reply(&self) -> Reply {
        let text = serde_json::json!({ "error": self.reason }).to_string();
        let mut reply = Response::new(Either::Left(Full::new(Bytes::from(text))));
        *reply.status_mut() = self.kind.status();
        let headers = reply.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(wait) = self.retry_after {
            let seconds = format!("{:.2}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        reply
    }
}

/// Returns an answer with a target's head and whole body.
#[must_use]
pub fn whole_reply(head: http::response::Parts, body: Bytes) -> Reply {
    let mut reply = Response::new(Either::Left(Full::new(body)));
    copy_head(&mut reply, head);
    reply
}

/// Returns an answer with a target's head and a body that is forwarded as it arrives.
#[must_use]
pub fn stream_reply(head: http::response::Parts, frames: FrameStream) -> Reply {
    let mut reply = Response::new(Either::Right(StreamBody::new(frames)));
    copy_head(&mut reply, head);
    reply
}

fn copy_head(reply: &mut Reply, head: http::response::Parts) {
    *reply.status_mut() = head.status;
    let mut headers = head.headers;
    strip_connection_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    *reply.headers_mut() = headers;
}
