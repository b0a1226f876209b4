//! Adapter for plain services: one JSON request, one JSON response.

use std::sync::Arc;
use std::time::Duration;

use reqwest::{Method, RequestBuilder};

use crate::ports::{ServicePort, TargetError};
use crate::targets::call::{StatementObserver, TargetClient, body_error, no_answer};
use crate::targets::wire::ServiceReply;

/// Builds the port to plain services.
///
/// # Errors
///
/// Returns the library's error when the HTTP client cannot be built.
pub fn service_port(observer: StatementObserver) -> reqwest::Result<ServicePort> {
    let client = TargetClient::new(observer)?;
    Ok(ServicePort {
        call: Arc::new(move |call| {
            let request = client.request(Method::POST, &call.address, "/v1/calls");
            let request = request.json(&call.body);
            Box::pin(call_service(client.clone(), request, call.timeout))
        }),
    })
}

async fn call_service(
    client: TargetClient,
    request: RequestBuilder,
    timeout: Duration,
) -> Result<ServiceReply, TargetError> {
    let response = client.send(request, timeout).await?;
    let body = tokio::time::timeout(timeout, response.json()).await;
    match body {
        Err(_) => Err(no_answer(timeout)),
        Ok(Err(error)) => Err(body_error(&error)),
        Ok(Ok(reply)) => Ok(reply),
    }
}
