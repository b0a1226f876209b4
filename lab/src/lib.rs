//! Laboratory of pistachiowick: stand-ins for the platform and the targets, and

pub mod answers;
pub mod chance;
pub mod engine;
pub mod engine_books;
pub mod engine_http;
pub mod engine_model;
pub mod engine_options;
pub mod engine_stream;
pub mod http;
pub mod load;
pub mod load_tally;
pub mod platform;
pub mod platform_state;
pub mod service;
pub mod weight_store;
