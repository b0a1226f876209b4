//! Adapter of the object service over HTTP.

pub mod http;
pub mod wire;
