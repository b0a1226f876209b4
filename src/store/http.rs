//! HTTP client for the platform's object service and instance list.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use reqwest::header::{ETAG, HeaderMap, IF_MATCH, IF_NONE_MATCH};
use reqwest::{Client, RequestBuilder, Response, StatusCode, Url};
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::ports::{
    ConditionalWrite, ObjectBatch, ObjectName, ObjectVersion, PlatformError, PlatformPort,
    StoredObject, WatchQuery,
};
use crate::settings::PlatformSettings;
use crate::store::wire::{InstanceList, InstanceRow, ObjectList, ObjectRow};

const RETRY_AFTER_HEADER: &str = "retry-after-ms";
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reason why the client could not be built.
#[derive(Debug, Error)]
pub enum PlatformSetupError {
    /// The address is not a URL.
    #[error("platform.address {address:?} is invalid ({reason}); set it to http://IP:PORT")]
    Address {
        /// Configured address.
        address: String,
        /// Reason why it is invalid.
        reason: String,
    },
    /// The HTTP client could not be built.
    #[error("the HTTP client for the platform cannot be built ({0}); check the TLS libraries")]
    Client(#[from] reqwest::Error),
}

#[derive(Clone)]
struct PlatformClient {
    http: Client,
    base: Url,
    timeout: Duration,
}

/// Returns a platform port that uses HTTP.
///
/// # Errors
///
/// Fails if the address is not a URL or the HTTP client cannot be built.
pub fn platform_port(settings: &PlatformSettings) -> Result<PlatformPort, PlatformSetupError> {
    let base = base_url(&settings.address)?;
    let http = Client::builder()
        .connect_timeout(settings.call_wait())
        .no_proxy()
        .build()?;
    let client = PlatformClient {
        http,
        base,
        timeout: settings.call_wait(),
    };
    let (reader, writer, lister, watcher) = (
        client.clone(),
        client.clone(),
        client.clone(),
        client.clone(),
    );
    Ok(PlatformPort {
        read: Arc::new(move |object| {
            let client = reader.clone();
            Box::pin(async move { client.read(object).await })
        }),
        write: Arc::new(move |write| {
            let client = writer.clone();
            Box::pin(async move { client.write(write).await })
        }),
        list: Arc::new(move |kind: String| {
            let client = lister.clone();
            Box::pin(async move { client.list(&kind).await })
        }),
        watch: Arc::new(move |query| {
            let client = watcher.clone();
            Box::pin(async move { client.watch(&query).await })
        }),
        instances: Arc::new(move |()| {
            let client = client.clone();
            Box::pin(async move { client.instances().await })
        }),
    })
}

fn base_url(address: &str) -> Result<Url, PlatformSetupError> {
    let refuse = |reason: String| PlatformSetupError::Address {
        address: address.to_owned(),
        reason,
    };
    let url = Url::parse(address).map_err(|e| refuse(e.to_string()))?;
    if url.cannot_be_a_base() {
        return Err(refuse("the URL cannot be a base URL".to_owned()));
    }
    Ok(url)
}

impl PlatformClient {
    fn url(&self, segments: &[&str]) -> Url {
        let mut url = self.base.clone();
        if let Ok(mut path) = url.path_segments_mut() {
            path.pop_if_empty().extend(segments);
        }
        url
    }

    async fn read(&self, object: ObjectName) -> Result<Option<StoredObject>, PlatformError> {
        count_call("read");
        let url = self.url(&["v1", "objects", &object.kind, &object.name]);
        let answer = send_read(self.http.get(url).timeout(self.timeout)).await?;
        if answer.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let answer = check_read_status(answer)?;
        let version =
            etag(answer.headers()).ok_or_else(|| unavailable("the answer has no etag"))?;
        let value = answer.bytes().await.map_err(|e| transport_error(&e))?;
        Ok(Some(StoredObject {
            object,
            version,
            value: Some(value.to_vec()),
        }))
    }

    async fn write(&self, write: ConditionalWrite) -> Result<ObjectVersion, PlatformError> {
        count_call("write");
        let url = self.url(&["v1", "objects", &write.object.kind, &write.object.name]);
        let request = self.http.put(url).timeout(self.timeout).body(write.value);
        let request = match write.expected {
            ObjectVersion(0) => request.header(IF_NONE_MATCH, "*"),
            ObjectVersion(version) => request.header(IF_MATCH, format!("\"{version}\"")),
        };
        let answer = request.send().await.map_err(|e| write_failure(&e))?;
        write_result(&answer)
    }

    async fn list(&self, kind: &str) -> Result<ObjectBatch, PlatformError> {
        count_call("list");
        let url = self.url(&["v1", "objects", kind]);
        let list: ObjectList = self.fetch(url, self.timeout).await?;
        batch(kind, list)
    }

    async fn watch(&self, query: &WatchQuery) -> Result<ObjectBatch, PlatformError> {
        count_call("watch");
        let mut url = self.url(&["v1", "watch", &query.kind]);
        url.query_pairs_mut()
            .append_pair("since", &query.since.to_string())
            .append_pair("wait_ms", &query.wait.as_millis().to_string());
        let list: ObjectList = self.fetch(url, query.wait + self.timeout).await?;
        batch(&query.kind, list)
    }

    async fn instances(&self) -> Result<Vec<InstanceRow>, PlatformError> {
        count_call("instances");
        let url = self.url(&["v1", "instances"]);
        let list: InstanceList = self.fetch(url, self.timeout).await?;
        Ok(list.instances)
    }

    async fn fetch<T: DeserializeOwned>(
        &self,
        url: Url,
        timeout: Duration,
    ) -> Result<T, PlatformError> {
        let answer = send_read(self.http.get(url).timeout(timeout)).await?;
        let answer = check_read_status(answer)?;
        answer.json().await.map_err(|e| transport_error(&e))
    }
}

fn count_call(call: &'static str) {
    metrics::counter!("pistachiowick_platform_calls_total", "call" => call).increment(1);
}

async fn send_read(request: RequestBuilder) -> Result<Response, PlatformError> {
    request.send().await.map_err(|e| transport_error(&e))
}

fn check_read_status(answer: Response) -> Result<Response, PlatformError> {
    let status = answer.status();
    if status.is_success() {
        return Ok(answer);
    }
    if status.is_client_error() && !is_busy(status) && status != StatusCode::REQUEST_TIMEOUT {
        return Err(PlatformError::Refused {
            reason: status.to_string(),
        });
    }
    Err(PlatformError::Unavailable {
        reason: status.to_string(),
        retry_after: retry_after(answer.headers()),
    })
}

fn write_result(answer: &Response) -> Result<ObjectVersion, PlatformError> {
    let status = answer.status();
    if status.is_success() {
        return etag(answer.headers()).ok_or_else(|| PlatformError::Lost {
            reason: "the answer has no etag".to_owned(),
        });
    }
    if status == StatusCode::PRECONDITION_FAILED {
        return Err(PlatformError::Conflict {
            current: etag(answer.headers()).unwrap_or_default(),
        });
    }
    if is_busy(status) {
        return Err(PlatformError::Unavailable {
            reason: status.to_string(),
            retry_after: retry_after(answer.headers()),
        });
    }
    // A 408 or 5xx may come from a proxy in front of the store after the store has applied
    // the write. Treating it as "not written" would lose or duplicate a change.
    if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT {
        return Err(PlatformError::Refused {
            reason: status.to_string(),
        });
    }
    Err(PlatformError::Lost {
        reason: status.to_string(),
    })
}

fn write_failure(error: &reqwest::Error) -> PlatformError {
    if error.is_builder() {
        return PlatformError::Refused {
            reason: error_chain(error),
        };
    }
    if error.is_connect() {
        return transport_error(error);
    }
    PlatformError::Lost {
        reason: error_chain(error),
    }
}

fn is_busy(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn etag(headers: &HeaderMap) -> Option<ObjectVersion> {
    let text = headers.get(ETAG)?.to_str().ok()?;
    text.trim_matches('"').parse().ok().map(ObjectVersion)
}

fn retry_after(headers: &HeaderMap) -> Duration {
    headers
        .get(RETRY_AFTER_HEADER)
        .and_then(|v| v.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_RETRY_AFTER, Duration::from_millis)
}

fn transport_error(error: &reqwest::Error) -> PlatformError {
    unavailable(&error_chain(error))
}

fn unavailable(reason: &str) -> PlatformError {
    PlatformError::Unavailable {
        reason: reason.to_owned(),
        retry_after: DEFAULT_RETRY_AFTER,
    }
}

// The outer error only says that sending failed; the cause is further down the chain.
fn error_chain(error: &reqwest::Error) -> String {
    let mut reason = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        reason = format!("{reason}: {cause}");
        source = cause.source();
    }
    reason
}

fn batch(kind: &str, list: ObjectList) -> Result<ObjectBatch, PlatformError> {
    let objects: Result<Vec<_>, _> = list
        .objects
        .into_iter()
        .map(|row| stored_object(kind, row))
        .collect();
    Ok(ObjectBatch {
        revision: list.revision,
        objects: objects?,
    })
}

fn stored_object(kind: &str, row: ObjectRow) -> Result<StoredObject, PlatformError> {
    let value = row
        .value
        .map(|text| STANDARD.decode(text))
        .transpose()
        .map_err(|e| unavailable(&format!("{kind}/{} is not base64: {e}", row.name)))?;
    Ok(StoredObject {
        object: ObjectName {
            kind: kind.to_owned(),
            name: row.name,
        },
        version: ObjectVersion(row.version),
        value,
    })
}
