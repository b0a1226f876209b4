//! The gRPC interface for callers and operators.

pub mod access;
pub mod items;
pub mod operations;
pub mod requests;
