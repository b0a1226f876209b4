//! Adapter for plain services: one JSON call, one JSON answer.

use std::sync::Arc;
use std::time::Duration;

use reqwest::RequestBuilder;

use crate::ports::{ServicePort, TargetError};
use crate::targets::call::{self, broken, lost, send};
use crate::targets::wire::ServiceReply;

/// Builds the port to plain services.
///
/// # Errors
///
/// Returns the library's error when the HTTP client cannot be built.
pub fn service_port() -> reqwest::Result<ServicePort> {
    let client = call::new_client()?;
    Ok(ServicePort {
        call: Arc::new(move |call| {
            let url = format!("http://{}/v1/calls", call.address);
            let request = client.post(url).json(&call.body);
            Box::pin(run_call(request, call.timeout))
        }),
    })
}

async fn run_call(
    request: RequestBuilder,
    patience: Duration,
) -> Result<ServiceReply, TargetError> {
    let response = send(request, patience).await?;
    let body = tokio::time::timeout(patience, response.json()).await;
    match body {
        Err(_) => Err(lost(format!("no whole answer within {patience:?}"))),
        Ok(Err(error)) => Err(broken(&error)),
        Ok(Ok(reply)) => Ok(reply),
    }
}
