//! Limits that targets in need put on the rate of their requests.
//!
//! A target names the limit in its answers, for all daemons together, and for as long as its
//! answers name it ([`statement`]). What is known of it is kept by target incarnation
//! ([`tracker`]).

pub mod statement;
pub mod tracker;
