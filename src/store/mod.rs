//! HTTP client for the platform's object service and instance list.

pub mod http;
pub mod wire;
