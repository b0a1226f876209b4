//! Laboratory of pistachiowick: stand-ins for the platform and the targets, and the
//! load, experiments and randomised runs that use them. Not shipped.

pub mod answers;
pub mod chance;
pub mod direct;
pub mod engine;
pub mod engine_books;
pub mod engine_http;
pub mod engine_model;
pub mod engine_options;
pub mod engine_stream;
pub mod fleet;
pub mod http;
pub mod load;
pub mod load_check;
pub mod load_tally;
pub mod platform;
pub mod platform_state;
pub mod prove;
pub mod prove_addresses;
pub mod prove_audit;
pub mod prove_books;
pub mod prove_callers;
pub mod prove_daemon;
pub mod prove_faults;
pub mod prove_fleet;
pub mod prove_operators;
pub mod prove_plan;
pub mod prove_plants;
pub mod prove_setup;
pub mod prove_verdict;
pub mod quickstart;
pub mod service;
pub mod weight_store;
