//! Serves language-model requests of rival organisations on one fixed fleet of engines.
//!
//! Decisions are pure and synchronous; ports and adapters connect them to callers,
//! targets, the platform and other daemons. `docs/DESIGN.md` is the way in.

pub mod access_key;
pub mod admin_http;
pub mod admission;
pub mod authority;
pub mod broadcast_schedule;
pub mod client;
pub mod clock;
pub mod config;
pub mod control;
pub mod crashes;
pub mod decide;
pub mod flags;
pub mod gateway;
pub mod intents;
pub mod invariants;
pub mod logging;
pub mod membership;
pub mod names;
pub mod peers;
pub mod ports;
pub mod requests;
pub mod roles;
pub mod rpc;
pub mod server;
pub mod settings;
pub mod store;
pub mod target_incarnation;
pub mod target_limits;
pub mod target_statements;
pub mod targets;
pub mod telemetry;
pub mod timer;
pub mod tls;
pub mod tool;

/// The caller and operator interface, generated from `proto/pistachiowick.proto`.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod pb {
    include!("pb/pistachiowick.v1.rs");
}
