//! Limits that targets in need put on the rate of their requests.
//!
//! A target names the limit in its answers, for all daemons together, and for as long as its
//! answers name it ([`statement`]). Limits are tracked by target incarnation ([`tracker`]),
//! and daemons tell each other of them ([`report`]). Each daemon sends only in its own turns
//! ([`turns`]), so that all daemons together keep the limit without asking each other.

pub mod message_delays;
pub mod report;
pub mod statement;
pub mod tracker;
pub mod turns;
