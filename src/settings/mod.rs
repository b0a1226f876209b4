//! The daemon's settings: one JSON document, built once, checked before use.

pub mod check;
pub mod fields;
pub mod rules;

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decide::cost::SpeedSettings;
use crate::names::{CentreName, DaemonId};

/// Everything a daemon is told at its start.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the daemon; unique in the deployment.
    pub daemon_id: DaemonId,
    /// Data centre the instance stands in.
    pub data_centre: CentreName,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Platform service.
    pub platform: PlatformSettings,
    /// Other daemons.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Keys and secrets.
    pub access: AccessSettings,
    /// Bounds on what callers may ask.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Requests that may not be repeated.
    #[serde(default)]
    pub intents: IntentSettings,
    /// Authority over engines.
    #[serde(default)]
    pub leases: LeaseSettings,
    /// Placement, shares and roles.
    #[serde(default)]
    pub policy: PolicySettings,
    /// Planned stops.
    #[serde(default)]
    pub shutdown: ShutdownSettings,
    /// Logs.
    #[serde(default)]
    pub logs: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricSettings,
}

/// Addresses to listen on; port 0 takes a free one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers and operators (gRPC).
    pub rpc: SocketAddr,
    /// Health, readiness and metrics (HTTP).
    pub admin: SocketAddr,
    /// Other daemons (WebSocket).
    pub peer: SocketAddr,
    /// Certificate and key for callers; without it only loopback is allowed.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
}

/// Certificate and key, as PEM text.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Certificate chain.
    pub certificate_pem: String,
    /// Private key.
    pub key_pem: String,
}

/// Where the platform is and how often it is asked.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base address, for example `http://127.0.0.1:7000`.
    pub address: String,
    /// Longest wait for a read or write, in milliseconds.
    #[serde(default = "default_call_ms")]
    pub call_ms: u64,
    /// Longest wait of one watch, in milliseconds.
    #[serde(default = "default_watch_ms")]
    pub watch_ms: u64,
    /// Time between reads of the instance list, in milliseconds.
    #[serde(default = "default_instances_ms")]
    pub instances_ms: u64,
}

fn default_call_ms() -> u64 {
    1_000
}

fn default_watch_ms() -> u64 {
    20_000
}

fn default_instances_ms() -> u64 {
    1_000
}

/// How daemons keep in touch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Shared secret of the daemons; peers without it are refused. Empty closes the peer port.
    pub secret: String,
    /// Time between hints, in milliseconds.
    pub hint_ms: u64,
    /// Silence after which a peer is suspected, in milliseconds.
    pub silence_ms: u64,
    /// Daemons per data centre that watch the platform for the others.
    pub watchers: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            secret: String::new(),
            hint_ms: 500,
            silence_ms: 3_000,
            watchers: 2,
        }
    }
}

/// Keys and secrets. Keys are given as SHA-256 in hexadecimal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccessSettings {
    /// Operators' keys.
    pub operator_key_hashes: Vec<String>,
    /// Secrets that sign resume tokens; the first signs, all verify. The same on every daemon.
    pub token_secrets: Vec<String>,
}

/// Bounds on what callers may ask.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest message in bytes.
    pub message_bytes: usize,
    /// Streams per connection.
    pub streams_per_connection: u32,
    /// Requests that may wait in this daemon.
    pub queue_length: usize,
    /// Requests of one workspace that may wait in this daemon.
    pub queue_per_workspace: usize,
    /// Longest deadline a caller may ask for, in milliseconds.
    pub longest_deadline_ms: u32,
    /// Time for a connection to send its first headers, in milliseconds.
    pub header_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            message_bytes: 4 << 20,
            streams_per_connection: 1_024,
            queue_length: 4_096,
            queue_per_workspace: 1_024,
            longest_deadline_ms: 24 * 3_600 * 1_000,
            header_ms: 10_000,
        }
    }
}

/// Requests that may not be repeated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct IntentSettings {
    /// Objects the records are spread over. The same on every daemon.
    pub shards: u32,
    /// How long a key stays known, in milliseconds. The same on every daemon.
    pub retention_ms: u64,
    /// Largest difference of two daemons' wall clocks, in milliseconds.
    pub clock_skew_ms: u64,
    /// Shortest time between two writes of one shard by one daemon, in milliseconds.
    pub commit_ms: u64,
    /// Largest result kept with a record, in bytes.
    pub result_bytes: usize,
    /// Largest shard object, in bytes; the platform holds up to a megabyte.
    pub shard_bytes: usize,
}

impl Default for IntentSettings {
    fn default() -> Self {
        Self {
            shards: 16,
            retention_ms: 600_000,
            clock_skew_ms: 2_000,
            commit_ms: 50,
            result_bytes: 256,
            shard_bytes: 900_000,
        }
    }
}

/// Authority over engines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// How long a lease lasts, in milliseconds.
    pub duration_ms: u64,
    /// How long before expiry the holder stops ordering, in milliseconds.
    pub guard_ms: u64,
    /// Longest time an order may be under way, in milliseconds.
    pub order_flight_ms: u64,
    /// Engines per group; a group never spans data centres.
    pub group_engines: usize,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            duration_ms: 6_000,
            guard_ms: 1_500,
            order_flight_ms: 1_000,
            group_engines: 64,
        }
    }
}

/// How targets are chosen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// By estimated finish from own work, hints, aged reports and cached prefixes.
    #[default]
    Estimate,
    /// Fewest own requests in flight (baseline).
    LeastInFlight,
    /// One after the other (baseline).
    RoundRobin,
}

/// How roles are changed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RolePolicy {
    /// Never (baseline).
    Fixed,
    /// At once with the mix (baseline).
    FollowMix,
    /// By forecast, hysteresis and the price of idle seconds.
    #[default]
    Forecast,
}

/// Placement, shares and roles.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// How targets are chosen.
    pub placement: PlacementPolicy,
    /// How roles are changed.
    pub roles: RolePolicy,
    /// Price of an idle engine-second of a role change against a second of useful
    /// work: 1 weighs goodput alone, larger values avoid changes.
    pub role_change_price: f64,
    /// Seconds out of service that a role change is expected to cost.
    pub role_change_ms: u64,
    /// Span over which a role change must pay, in milliseconds.
    pub role_horizon_ms: u64,
    /// Engines that may be in change at once.
    pub role_changes_at_once: usize,
    /// Whether to refuse at once what cannot meet its deadline (false: baseline).
    pub refuse_early: bool,
    /// Whether admission control decides which requests are refused early (false: those that
    /// arrive when the queue is too long).
    pub admission: bool,
    /// Whether workspaces share by weight (false: baseline, first come first served).
    pub fair_shares: bool,
    /// Share of retries to first attempts.
    pub retry_share: f64,
    /// Concurrent requests placed on one engine by this daemon, at most.
    pub engine_in_flight: usize,
    /// Concurrent calls placed on one plain service by this daemon, at most.
    pub service_in_flight: usize,
    /// First guesses of engine speeds.
    pub speeds: SpeedSettings,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            placement: PlacementPolicy::Estimate,
            roles: RolePolicy::Forecast,
            role_change_price: 1.5,
            role_change_ms: 3_000,
            role_horizon_ms: 60_000,
            role_changes_at_once: 2,
            refuse_early: true,
            admission: false,
            fair_shares: true,
            retry_share: 0.1,
            engine_in_flight: 32,
            service_in_flight: 64,
            speeds: SpeedSettings::default(),
        }
    }
}

/// Planned stops.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShutdownSettings {
    /// How long callers keep an address, in milliseconds.
    pub keep_ms: u32,
    /// Longest wait for running requests, in milliseconds.
    pub finish_ms: u64,
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self {
            keep_ms: 3_000,
            finish_ms: 600_000,
        }
    }
}

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for people.
    Text,
}

/// Logs, written to standard error.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least level: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Json,
            level: "info".to_owned(),
        }
    }
}

/// Metrics.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricSettings {
    /// Workspace and class pairs with histograms of their own; the rest share `other`.
    pub tracked_pairs: usize,
}

impl Default for MetricSettings {
    fn default() -> Self {
        Self { tracked_pairs: 200 }
    }
}

impl PlatformSettings {
    /// Returns the longest wait for a read or write.
    #[must_use]
    pub fn call_wait(&self) -> Duration {
        Duration::from_millis(self.call_ms)
    }
}
