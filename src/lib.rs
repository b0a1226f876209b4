//! Serves language-model requests of rival organisations on one fixed fleet of engines.
//!
//! Decisions are pure and synchronous; ports and adapters connect them to callers,
//! targets, the platform and other daemons. `docs/DESIGN.md` is the way in.

pub mod access;
pub mod addressing;
pub mod admin_http;
pub mod answer;
pub mod answer_sink;
pub mod attempt;
pub mod catalogue;
pub mod client;
pub mod client_answer;
mod client_driver;
pub mod client_error;
mod client_links;
pub mod client_operator;
pub mod clock;
pub mod config_buckets;
pub mod config_checks;
pub mod config_store;
pub mod config_view;
pub mod control;
pub mod control_feeds;
pub mod control_loop;
pub mod cost;
pub mod departures;
pub mod dispatch;
pub mod engine_http;
pub mod fair_queue;
pub mod flags;
pub mod fleet;
pub mod intent_driver;
pub mod intent_forward;
pub mod intent_link;
pub mod intent_ops;
pub mod intent_permit;
pub mod intent_queue;
pub mod intent_records;
pub mod intent_store;
pub mod intent_wire;
pub mod intent_writer;
pub mod intents;
pub mod invariants;
pub mod journal;
pub mod lease;
pub mod lease_groups;
pub mod lease_record;
pub mod lease_state;
pub mod logging;
pub mod membership;
pub mod membership_records;
pub mod names;
pub mod order_record;
pub mod order_types;
pub mod orders;
pub mod peer_link;
pub mod peer_wire;
pub mod placement;
pub mod platform_http;
pub mod platform_wire;
pub mod ports;
pub mod prefix_index;
pub mod request;
pub mod resume_token;
pub mod retry_budget;
pub mod role_plan;
pub mod rpc_access;
pub mod rpc_items;
pub mod rpc_operations;
pub mod rpc_requests;
pub mod run_call;
pub mod run_once;
pub mod run_resume;
pub mod run_stream;
pub mod scheduler;
pub mod server;
pub mod service_http;
pub mod settings;
pub mod settings_check;
pub mod settings_fields;
pub mod settings_rules;
pub mod shares;
pub mod snapshot;
pub mod suspicion;
pub mod target_http;
pub mod target_wire;
pub mod telemetry;
pub mod timer;
pub mod tls;
pub mod tool_flags;
pub mod tool_items;
pub mod tool_keys;
pub mod tool_output;
pub mod tool_requests;
pub mod tool_run;
pub mod tool_state;
pub mod traffic;
pub mod work_mix;

/// The caller and operator interface, generated from `proto/pistachiowick.proto`.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod pb {
    include!("pb/pistachiowick.v1.rs");
}
