//! Settings of a gateway process, read from JSON.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

use crate::gateway::budget::BudgetRule;
use crate::gateway::deciding::engine_choice::PlacementWeights;
use crate::gateway::members::InstanceCapacity;
use crate::gateway::store_follow::ConfigWatchWaits;
use crate::names::{CentreName, DaemonId};

/// Error in the settings of a gateway process.
#[derive(Debug, Error)]
pub enum GatewaySettingsError {
    /// The file cannot be read.
    #[error("settings {path:?} cannot be read ({reason}); name a readable file")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        reason: String,
    },
    /// The text is not JSON of the expected form.
    #[error("settings are not JSON of the expected form: {0}; compare with docs/SETTINGS.md")]
    Form(#[from] serde_json::Error),
    /// A value is out of its range.
    #[error("{field}: found {found}; expected {expected}")]
    Range {
        /// Name of the field.
        field: &'static str,
        /// Value found.
        found: String,
        /// Values that are allowed.
        expected: &'static str,
    },
}

/// Addresses that a process listens on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct ListenSettings {
    /// Address for callers' requests.
    pub callers: Option<SocketAddr>,
    /// Address of the readiness check.
    pub readiness: Option<SocketAddr>,
    /// Address for callers' directory queries.
    pub directory: Option<SocketAddr>,
}

/// Bounds stated by the deployment. Each name ends with the unit of its time.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct BoundSettings {
    /// Time between the request to stop and the forced end of the process.
    pub stop_grace_s: f64,
    /// Retries per request, for all daemons together.
    pub repeat_ratio: f64,
    /// Retries per window in addition to the ratio, for all daemons together.
    pub repeat_allowance: f64,
    /// Window in which retries are counted.
    pub repeat_window_s: f64,
    /// Longest time that callers cache the directory's answer.
    pub directory_keep_s: f64,
    /// Time within which a configuration change must be in force on all daemons.
    #[serde(default = "default_change_ms")]
    pub config_within_ms: f64,
    /// Time within which a target that announced its departure must stop getting work.
    #[serde(default = "default_change_ms")]
    pub departure_within_ms: f64,
    /// Interval at which a target writes its entry.
    #[serde(default = "default_target_heartbeat_ms")]
    pub target_heartbeat_ms: f64,
    /// Time within which every daemon, even one that is disconnected, must refuse a revoked
    /// key; without it, revocations come into force like other configuration changes.
    #[serde(default)]
    pub revoked_within_ms: Option<f64>,
}

// The shortest time stated by any deployment so far.
fn default_change_ms() -> f64 {
    2_000.0
}

fn default_target_heartbeat_ms() -> f64 {
    1_200.0
}

/// Missed writes after which an ended target's entry has certainly lapsed: the store removes
/// an entry after three, and waits longer after its own return.
const LAPSE_HEARTBEATS: u32 = 8;
/// Fraction of the time allowed for a change after which a member no longer relies on its
/// hub for changes. The rest is left for a listing of its own.
const MEMBER_TIMEOUT_FRACTION: f64 = 0.85;
/// The same for a hub: shorter, so that it reaches the store before its members time out.
const HUB_TIMEOUT_FRACTION: f64 = 0.55;
/// The same for the longest wait of a hub's watch: about half of [`HUB_TIMEOUT_FRACTION`], so that one
/// late answer does not make the other hubs follow the store.
const HUB_WATCH_FRACTION: f64 = 0.3;

/// Longest wait of any configuration watch.
const MAX_CONFIG_WAIT_MS: f64 = 60_000.0;

/// Times for which daemons rely on each other for changes of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayTimeouts {
    /// Age of its hub's last response from the store from which on a member follows the store
    /// itself.
    pub member_timeout: Duration,
    /// The same for a hub that relies on another hub.
    pub hub_timeout: Duration,
}

/// Fraction of the revocation time for which a key is accepted after its configuration was
/// last confirmed to be the newest one. The rest covers stale answers of the store and the
/// transit time of a request.
const KEY_VALIDITY_FRACTION: f64 = 0.9;
/// Longest wait of the watch by which a daemon that follows the store itself confirms its
/// keys, as a fraction of the revocation time: at most two waits pass between two
/// confirmations.
const CONFIRM_WATCH_FRACTION: f64 = 0.3;
/// The same for a hub, whose confirmation takes up to three more hops of 0.2 s each.
const HUB_CONFIRM_WATCH_FRACTION: f64 = 0.12;

/// Capacity of the instance that a process runs on; 0 means not stated.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct InstanceLimits {
    /// Share of a core that the process may use.
    pub cpu_share: f64,
    /// Speed of that core relative to a typical one.
    pub core_speed: f64,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Network bandwidth, in megabits per second.
    pub link_mbps: f64,
}

impl InstanceLimits {
    /// Returns the capacity as announced to other daemons.
    #[must_use]
    pub fn capacity(&self) -> InstanceCapacity {
        // Casts of negative numbers saturate at zero.
        InstanceCapacity {
            core_thousandths: (self.cpu_share * self.core_speed * 1_000.0) as u32,
            link_mbps: self.link_mbps as u32,
            memory_mb: self.memory_mb as u32,
        }
    }
}

/// Settings of the tasks that one daemon performs for the fleet. Each name ends with the
/// unit of its time.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct FleetTaskSettings {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Length of a usage window.
    #[serde(default = "default_usage_window_s")]
    pub usage_window_s: f64,
    /// Time after a window's end within which its report is due.
    #[serde(default = "default_usage_due_s")]
    pub usage_due_s: f64,
    /// Time within which no two daemons may act one after the other.
    #[serde(default = "default_turn_ms")]
    pub turn_ms: f64,
}

fn default_usage_window_s() -> f64 {
    5.0
}

fn default_usage_due_s() -> f64 {
    10.0
}

fn default_turn_ms() -> f64 {
    3_000.0
}

impl FleetTaskSettings {
    /// Returns the length of a usage window.
    #[must_use]
    pub fn usage_window(&self) -> Duration {
        Duration::from_secs_f64(self.usage_window_s)
    }

    /// Returns the time after a window's end within which its report is due.
    #[must_use]
    pub fn usage_due(&self) -> Duration {
        Duration::from_secs_f64(self.usage_due_s)
    }

    /// Returns the time within which no two daemons may act one after the other.
    #[must_use]
    pub fn exclusion_period(&self) -> Duration {
        Duration::from_secs_f64(self.turn_ms / 1_000.0)
    }

    fn validate(&self) -> Result<(), GatewaySettingsError> {
        positive("duties.usage_window_s", self.usage_window_s)?;
        positive("duties.usage_due_s", self.usage_due_s)?;
        positive("duties.turn_ms", self.turn_ms)
    }
}

/// Settings of admission control.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Whether requests are admitted by their priority, deadline and work when capacity is
    /// insufficient.
    pub enabled: bool,
}

/// Settings of the queue before plain services.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct PlainQueueSettings {
    /// Whether requests wait in one queue of the fleet, in order of priority, while the targets
    /// of a plain service are full.
    pub enabled: bool,
}

/// Settings of learned target capacities.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct TargetCapacitySettings {
    /// Whether daemons learn together how fast each target is.
    pub enabled: bool,
}

/// Settings of the inventory of engines' caches.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct CacheInventorySettings {
    /// Whether a daemon that places requests asks engines what they cache after its start.
    pub enabled: bool,
}

/// Settings of the share of prefill engines.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct StageShareSettings {
    /// Whether the share follows the measured work, instead of `prefill_share`.
    pub follow_work: bool,
}

/// Settings of the number of servers.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ServerCountSettings {
    /// Whether the number follows the measured demand, instead of the number provided.
    pub follow_demand: bool,
}

/// Settings of one process.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct GatewaySettings {
    /// Name of this daemon, under which its record is stored.
    pub daemon: DaemonId,
    /// Address of this instance.
    pub ip: Ipv4Addr,
    /// Data centre of this instance.
    pub centre: CentreName,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// First and last port for internal use: the first for links with other daemons, the second
    /// for metrics, the third for requests that other daemons hand over.
    pub internal_ports: (u16, u16),
    /// Address of the object store.
    pub store: SocketAddr,
    /// Bounds of the deployment.
    pub bounds: BoundSettings,
    /// Tasks that one daemon performs for the fleet, if the platform requires any.
    #[serde(default)]
    pub duties: Option<FleetTaskSettings>,
    /// Capacity of the instance.
    #[serde(default)]
    pub limits: InstanceLimits,
    /// Whether the whole fleet starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Share of a service's engines that are prefill engines, from 0 to 1.
    #[serde(default = "default_prefill_share")]
    pub prefill_share: f64,
    /// Weights of the choice of engines.
    #[serde(default)]
    pub placement: PlacementWeights,
    /// Admission control.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// Queue before plain services.
    #[serde(default)]
    pub plain_queue: PlainQueueSettings,
    /// Learned capacities of targets.
    #[serde(default)]
    pub target_capacity: TargetCapacitySettings,
    /// Inventory of engines' caches; takes effect at the next start.
    #[serde(default)]
    pub cache_inventory: CacheInventorySettings,
    /// Share of prefill engines.
    #[serde(default)]
    pub stage_share: StageShareSettings,
    /// Number of servers.
    #[serde(default)]
    pub server_count: ServerCountSettings,
    /// Lowest level of log lines: error, warn, info or debug.
    #[serde(default = "default_level")]
    pub log_level: String,
}

// With more prefill engines, the decode engines have too little memory for running
// requests; with fewer, prompts queue. Best of 0.35 to 0.83 on two deployments.
fn default_prefill_share() -> f64 {
    0.42
}

fn default_level() -> String {
    "info".to_owned()
}

impl GatewaySettings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file or the field at fault.
    pub fn load(path: &str) -> Result<Self, GatewaySettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|error| GatewaySettingsError::Unreadable {
                path: path.to_owned(),
                reason: error.to_string(),
            })?;
        Self::parse(&text)
    }

    /// Parses settings.
    ///
    /// # Errors
    ///
    /// Returns an error that names the field at fault.
    pub fn parse(text: &str) -> Result<Self, GatewaySettingsError> {
        let settings: Self = serde_json::from_str(text)?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), GatewaySettingsError> {
        let bounds = &self.bounds;
        positive("bounds.stop_grace_s", bounds.stop_grace_s)?;
        positive("bounds.repeat_window_s", bounds.repeat_window_s)?;
        positive("bounds.directory_keep_s", bounds.directory_keep_s)?;
        positive("bounds.config_within_ms", bounds.config_within_ms)?;
        positive("bounds.departure_within_ms", bounds.departure_within_ms)?;
        positive("bounds.target_heartbeat_ms", bounds.target_heartbeat_ms)?;
        if let Some(revoked) = bounds.revoked_within_ms {
            positive("bounds.revoked_within_ms", revoked)?;
        }
        if let Some(duties) = &self.duties {
            duties.validate()?;
        }
        let limits = &self.limits;
        not_negative("limits.cpu_share", limits.cpu_share)?;
        not_negative("limits.core_speed", limits.core_speed)?;
        not_negative("limits.memory_mb", limits.memory_mb)?;
        not_negative("limits.link_mbps", limits.link_mbps)?;
        not_negative("bounds.repeat_ratio", bounds.repeat_ratio)?;
        not_negative("bounds.repeat_allowance", bounds.repeat_allowance)?;
        let placement = &self.placement;
        not_negative("placement.crossing_ms_per_kb", placement.crossing_ms_per_kb)?;
        not_negative(
            "placement.crossing_copy_factor",
            placement.crossing_copy_factor,
        )?;
        if !(0.0..=1.0).contains(&self.prefill_share) {
            let found = self.prefill_share.to_string();
            return Err(out_of_range("prefill_share", &found, "0 to 1"));
        }
        if self.daemon.is_empty() {
            return Err(out_of_range("daemon", "an empty name", "a name"));
        }
        if self.internal_ports.1 < self.internal_ports.0 {
            let found = format!("{:?}", self.internal_ports);
            return Err(out_of_range("internal_ports", &found, "[first, last]"));
        }
        Ok(())
    }

    /// Returns whether both are for the same daemon at the same addresses.
    #[must_use]
    pub fn same_identity(&self, other: &Self) -> bool {
        let ports = self.internal_ports == other.internal_ports;
        let store = self.store == other.store && self.listen == other.listen;
        self.daemon == other.daemon && self.ip == other.ip && ports && store
    }

    /// Returns whether daemons measure the engine time that requests take, and report it.
    #[must_use]
    pub fn measures_engine_time(&self) -> bool {
        self.stage_share.follow_work || self.server_count.follow_demand
    }

    /// Returns the rule of the fleet's retry budget.
    #[must_use]
    pub fn budget_rule(&self) -> BudgetRule {
        BudgetRule {
            ratio: self.bounds.repeat_ratio,
            allowance: self.bounds.repeat_allowance,
            window: Duration::from_secs_f64(self.bounds.repeat_window_s),
        }
    }

    /// Returns the times for which daemons rely on each other for changes of the store.
    #[must_use]
    pub fn relay_timeouts(&self) -> RelayTimeouts {
        let bounds = &self.bounds;
        let within = bounds.config_within_ms.min(bounds.departure_within_ms);
        let scaled = |fraction: f64| Duration::from_secs_f64(within * fraction / 1_000.0);
        RelayTimeouts {
            member_timeout: scaled(MEMBER_TIMEOUT_FRACTION),
            hub_timeout: scaled(HUB_TIMEOUT_FRACTION),
        }
    }

    /// Returns the time after which the entry of an ended target has certainly lapsed.
    #[must_use]
    pub fn entry_lapse_time(&self) -> Duration {
        let heartbeat = Duration::from_secs_f64(self.bounds.target_heartbeat_ms / 1_000.0);
        heartbeat * LAPSE_HEARTBEATS
    }

    /// Returns the longest waits of the configuration watch.
    #[must_use]
    pub fn config_watch_waits(&self) -> ConfigWatchWaits {
        let bounds = &self.bounds;
        let within = bounds.config_within_ms.min(bounds.departure_within_ms);
        let revoked = bounds.revoked_within_ms.unwrap_or(f64::INFINITY);
        let wait = |ms: f64| Duration::from_secs_f64(ms.min(MAX_CONFIG_WAIT_MS) / 1_000.0);
        ConfigWatchWaits {
            hub_wait: wait((within * HUB_WATCH_FRACTION).min(revoked * HUB_CONFIRM_WATCH_FRACTION)),
            standalone_wait: wait(revoked * CONFIRM_WATCH_FRACTION),
        }
    }

    /// Returns how long a key is accepted after its configuration was last confirmed to be
    /// the newest one; `None` if that is not bounded.
    #[must_use]
    pub fn key_validity(&self) -> Option<Duration> {
        let revoked = self.bounds.revoked_within_ms?;
        Some(Duration::from_secs_f64(
            revoked * KEY_VALIDITY_FRACTION / 1_000.0,
        ))
    }

    /// Returns the address that other daemons connect to.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.internal_ports.0))
    }

    /// Returns the address that metrics are served on.
    #[must_use]
    pub fn metrics_address(&self) -> SocketAddr {
        let port = self.internal_ports.0.saturating_add(1);
        SocketAddr::from((self.ip, port.min(self.internal_ports.1)))
    }

    /// Returns the address at which other daemons hand requests over; `None` if the range has
    /// no port for it.
    #[must_use]
    pub fn handover_address(&self) -> Option<SocketAddr> {
        let (first, last) = self.internal_ports;
        let port = match first {
            0 => 0,
            _ => first.checked_add(2).filter(|port| *port <= last)?,
        };
        Some(SocketAddr::from((self.ip, port)))
    }
}

fn positive(field: &'static str, value: f64) -> Result<(), GatewaySettingsError> {
    if value > 0.0 && value.is_finite() {
        return Ok(());
    }
    Err(out_of_range(field, &value.to_string(), "a number above 0"))
}

fn not_negative(field: &'static str, value: f64) -> Result<(), GatewaySettingsError> {
    if value >= 0.0 && value.is_finite() {
        return Ok(());
    }
    Err(out_of_range(field, &value.to_string(), "0 or more"))
}

fn out_of_range(field: &'static str, found: &str, expected: &'static str) -> GatewaySettingsError {
    GatewaySettingsError::Range {
        field,
        found: found.to_owned(),
        expected,
    }
}
