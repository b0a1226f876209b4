//! HTTP client for the platform's object service.

pub mod http;
pub mod wire;
