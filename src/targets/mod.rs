//! Adapters of model engines and plain services over HTTP.

pub mod call;
pub mod engine_http;
pub mod service_http;
pub mod wire;
