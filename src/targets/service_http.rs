//! Adapter for plain services: one JSON request, one JSON response.

use std::sync::Arc;
use std::time::Duration;

use reqwest::RequestBuilder;

use crate::ports::{ServicePort, TargetError};
use crate::targets::call::{self, body_error, send, unknown_outcome};
use crate::targets::wire::ServiceReply;

/// Builds the port to plain services.
///
/// # Errors
///
/// Returns the library's error when the HTTP client cannot be built.
pub fn service_port() -> reqwest::Result<ServicePort> {
    let client = call::new_http_client()?;
    Ok(ServicePort {
        call: Arc::new(move |call| {
            let url = format!("http://{}/v1/calls", call.address);
            let request = client.post(url).json(&call.body);
            Box::pin(call_service(request, call.timeout))
        }),
    })
}

async fn call_service(
    request: RequestBuilder,
    timeout: Duration,
) -> Result<ServiceReply, TargetError> {
    let response = send(request, timeout).await?;
    let body = tokio::time::timeout(timeout, response.json()).await;
    match body {
        Err(_) => Err(unknown_outcome(format!(
            "no complete answer within {timeout:?}"
        ))),
        Ok(Err(error)) => Err(body_error(&error)),
        Ok(Ok(reply)) => Ok(reply),
    }
}
