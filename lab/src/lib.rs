//! Laboratory of pistachiowick: stand-ins for the platform and the targets, and the
//! load, experiments and randomised runs that use them. Not shipped.

pub mod answers;
pub mod chance;
pub mod compare;
pub mod direct;
pub mod engine;
pub mod engine_books;
pub mod engine_http;
pub mod engine_model;
pub mod engine_options;
pub mod engine_stream;
pub mod events;
pub mod fleet;
pub mod http;
pub mod load;
pub mod load_tally;
pub mod platform;
pub mod platform_state;
pub mod quickstart;
pub mod scenario;
pub mod service;
pub mod weight_store;
