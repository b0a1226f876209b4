//! Plain-HTTP gateway: accepts callers' requests on their own connections and
//! forwards them to model engines and plain services.
//!
//! The gRPC interface has its own code path (`requests`). Here each attempt of a
//! caller arrives on one connection at one process, so at-most-once execution needs
//! no record: a send with an unknown outcome ends the attempt.
//!
//! One thread handles all traffic. The control thread (`control`) follows the object
//! store and publishes a [`fleet::FleetView`], which the traffic thread reads without
//! blocking.

pub mod access;
pub mod admitting;
pub mod backoffs;
pub mod budget;
pub mod cache_inventory;
pub mod call;
pub mod centre_traffic;
pub mod client;
pub mod control;
pub mod daemon;
pub mod deciding;
pub mod directory;
pub mod entry;
pub mod event_split;
pub mod fleet;
pub mod fleet_tasks;
pub mod forward;
pub mod generate;
pub mod handover;
pub mod head_clock;
pub mod journal;
mod lease_upkeep;
pub mod limited_stream;
pub mod local_record;
pub mod members;
pub mod model;
pub mod peers;
mod plain;
mod plain_attempt;
pub mod plain_queue;
pub mod pool;
pub mod port;
pub mod quarantine;
pub mod rate_limits;
pub mod reach;
pub mod reach_check;
pub mod reading;
pub mod registry;
pub mod reload;
pub mod reply;
pub mod routes;
pub mod sending;
pub mod settings;
pub mod software;
pub mod stage_control;
pub mod startup_wait;
pub mod statements;
pub mod store_contact;
pub mod store_follow;
pub mod stream;
