//! Settings of a gateway process, in JSON.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

use crate::gateway::budget::BudgetRule;
use crate::gateway::deciding::engine_choice::PlacementWeights;
use crate::gateway::members::InstanceCapacity;
use crate::gateway::store_follow::ConfigWatchWaits;
use crate::names::{CentreName, DaemonId};

/// Settings that cannot be used.
#[derive(Debug, Error)]
pub enum GatewaySettingsError {
    /// The file cannot be read.
    #[error("settings {path:?} cannot be read ({reason}); name a readable file")]
    Unreadable {
        /// Path tried.
        path: String,
        /// What happened.
        reason: String,
    },
    /// It is no JSON of the expected form.
    #[error("settings are not as expected: {0}; compare with docs/SETTINGS.md")]
    Form(#[from] serde_json::Error),
    /// A value is out of its range.
    #[error("{field}: found {found}; expected {expected}")]
    Range {
        /// Field.
        field: &'static str,
        /// Value found.
        found: String,
        /// What it may be.
        expected: &'static str,
    },
}

/// Addresses that a process listens on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct ListenSettings {
    /// Callers' requests.
    pub callers: Option<SocketAddr>,
    /// The question whether this process is ready.
    pub readiness: Option<SocketAddr>,
    /// Callers' questions which address to use.
    pub directory: Option<SocketAddr>,
}

/// Bounds that the deployment states. Times are in the unit that the name ends with.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct BoundSettings {
    /// Time between the request to stop and the end of the process by force.
    pub stop_grace_s: f64,
    /// Repeated sends per request, for all daemons together.
    pub repeat_ratio: f64,
    /// Repeated sends per window beside the ratio, for all daemons together.
    pub repeat_allowance: f64,
    /// Window in which repeats are counted.
    pub repeat_window_s: f64,
    /// Longest time that callers keep the directory's answer.
    pub directory_keep_s: f64,
    /// Time in which a change of the configuration has to be in force everywhere.
    #[serde(default = "default_change_ms")]
    pub config_within_ms: f64,
    /// Time in which a target that announced its departure has to be left alone.
    #[serde(default = "default_change_ms")]
    pub departure_within_ms: f64,
    /// Time between two writes of a target to its entry.
    #[serde(default = "default_target_heartbeat_ms")]
    pub target_heartbeat_ms: f64,
    /// Time in which a key that is taken away must be refused by every daemon, also by
    /// one that is cut off; without it keys are refused as other changes come into force.
    #[serde(default)]
    pub revoked_within_ms: Option<f64>,
}

// The shortest time that a deployment has stated so far.
fn default_change_ms() -> f64 {
    2_000.0
}

fn default_target_heartbeat_ms() -> f64 {
    1_200.0
}

/// Writes that a target has missed for certain when its entry lapsed: the store removes it
/// after three, and waits longer after its own return.
const LAPSE_HEARTBEATS: u32 = 8;
/// Part of the time for a change after which a member no longer relies on its hub to hear
/// of it. The rest is for a listing of its own.
const MEMBER_PART: f64 = 0.85;
/// The same for a hub: earlier, so that it hears the store again before its members miss it.
const HUB_PART: f64 = 0.55;
/// The same for the longest wait of a hub's watch: half of [`HUB_PART`], so that one watch
/// that is answered late does not make the other hubs follow the store.
const HEARTBEAT_PART: f64 = 0.3;

/// Longest wait of any watch of the configuration.
const LONGEST_CONFIG_WAIT_MS: f64 = 60_000.0;

/// For how long daemons rely on each other to hear of changes of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayBounds {
    /// Silence of the store after which a member follows it itself.
    pub member_silence: Duration,
    /// Silence of the store after which a hub follows it itself.
    pub hub_silence: Duration,
}

/// Part of the time for taking keys away for which a key counts as in force since the
/// configuration that holds it was certainly the newest one. The rest is for answers of
/// the store that are behind, and for a request's way here.
const KEY_TRUST_PART: f64 = 0.9;
/// Longest wait of the watch by which a daemon that follows the store for itself confirms
/// its keys, as a part of that time: two waits pass between two confirmations at most.
const CONFIRM_PART: f64 = 0.3;
/// The same for a hub, whose word takes up to three further hops of 0.2 s each.
const HUB_CONFIRM_PART: f64 = 0.12;

/// What the instance of a process carries; 0 stands for not stated.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct InstanceLimits {
    /// Share of a core that the process may use.
    pub cpu_share: f64,
    /// Speed of that core against a usual one.
    pub core_speed: f64,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Link, in megabits a second.
    pub link_mbps: f64,
}

impl InstanceLimits {
    /// Returns them as other daemons are told.
    #[must_use]
    pub fn strength(&self) -> InstanceCapacity {
        // Casts of numbers below zero give zero.
        InstanceCapacity {
            core_thousandths: (self.cpu_share * self.core_speed * 1_000.0) as u32,
            link_mbps: self.link_mbps as u32,
            memory_mb: self.memory_mb as u32,
        }
    }
}

/// Duties that one daemon performs for the fleet. Times are in the unit that the name
/// ends with.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct FleetTaskSettings {
    /// Where the platform takes calls.
    pub address: SocketAddr,
    /// Length of a window of usage.
    #[serde(default = "default_usage_window_s")]
    pub usage_window_s: f64,
    /// Time after a window's end in which its report is due.
    #[serde(default = "default_usage_due_s")]
    pub usage_due_s: f64,
    /// Time within which no two daemons may act in turns.
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
    /// Returns the length of a window of usage.
    #[must_use]
    pub fn usage_window(&self) -> Duration {
        Duration::from_secs_f64(self.usage_window_s)
    }

    /// Returns the time after a window's end in which its report is due.
    #[must_use]
    pub fn usage_due(&self) -> Duration {
        Duration::from_secs_f64(self.usage_due_s)
    }

    /// Returns the time within which no two daemons may act in turns.
    #[must_use]
    pub fn turn_time(&self) -> Duration {
        Duration::from_secs_f64(self.turn_ms / 1_000.0)
    }

    fn check(&self) -> Result<(), GatewaySettingsError> {
        positive("duties.usage_window_s", self.usage_window_s)?;
        positive("duties.usage_due_s", self.usage_due_s)?;
        positive("duties.turn_ms", self.turn_ms)
    }
}

/// Settings of one process.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct GatewaySettings {
    /// Name of this daemon; its record in the store bears it.
    pub daemon: DaemonId,
    /// Address of this instance.
    pub ip: Ipv4Addr,
    /// Data centre of this instance.
    pub centre: CentreName,
    /// Where to listen.
    pub listen: ListenSettings,
    /// First and last port that daemons may use among themselves.
    pub internal_ports: (u16, u16),
    /// The object store.
    pub store: SocketAddr,
    /// Bounds of the deployment.
    pub bounds: BoundSettings,
    /// Duties of one daemon at a time, where the platform asks for any.
    #[serde(default)]
    pub duties: Option<FleetTaskSettings>,
    /// What the instance carries.
    #[serde(default)]
    pub limits: InstanceLimits,
    /// Whether the whole fleet starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Share of a service's engines that read prompts, from 0 to 1.
    #[serde(default = "default_prefill_share")]
    pub prefill_share: f64,
    /// Weights of the choice of engines.
    #[serde(default)]
    pub placement: PlacementWeights,
    /// Lowest level of log lines: error, warn, info or debug.
    #[serde(default = "default_level")]
    pub log_level: String,
}

// Of 0.35 to 0.83, played on two deployments, this gave the most; more readers leave
// too little memory for running requests, fewer let prompts wait.
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
    /// Returns what is wrong and where.
    pub fn load(path: &str) -> Result<Self, GatewaySettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|error| GatewaySettingsError::Unreadable {
                path: path.to_owned(),
                reason: error.to_string(),
            })?;
        Self::parse(&text)
    }

    /// Reads settings from text.
    ///
    /// # Errors
    ///
    /// Returns what is wrong and where.
    pub fn parse(text: &str) -> Result<Self, GatewaySettingsError> {
        let settings: Self = serde_json::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), GatewaySettingsError> {
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
            duties.check()?;
        }
        let limits = &self.limits;
        not_negative("limits.cpu_share", limits.cpu_share)?;
        not_negative("limits.core_speed", limits.core_speed)?;
        not_negative("limits.memory_mb", limits.memory_mb)?;
        not_negative("limits.link_mbps", limits.link_mbps)?;
        not_negative("bounds.repeat_ratio", bounds.repeat_ratio)?;
        not_negative("bounds.repeat_allowance", bounds.repeat_allowance)?;
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

    /// Whether both are for the same daemon at the same addresses.
    #[must_use]
    pub fn same_place(&self, other: &Self) -> bool {
        let ports = self.internal_ports == other.internal_ports;
        let store = self.store == other.store && self.listen == other.listen;
        self.daemon == other.daemon && self.ip == other.ip && ports && store
    }

    /// Returns the rule of the fleet's budget of repeats.
    #[must_use]
    pub fn budget_rule(&self) -> BudgetRule {
        BudgetRule {
            ratio: self.bounds.repeat_ratio,
            allowance: self.bounds.repeat_allowance,
            window: Duration::from_secs_f64(self.bounds.repeat_window_s),
        }
    }

    /// Returns for how long daemons rely on each other to hear of changes.
    #[must_use]
    pub fn relay_bounds(&self) -> RelayBounds {
        let bounds = &self.bounds;
        let within = bounds.config_within_ms.min(bounds.departure_within_ms);
        let part = |part: f64| Duration::from_secs_f64(within * part / 1_000.0);
        RelayBounds {
            member_silence: part(MEMBER_PART),
            hub_silence: part(HUB_PART),
        }
    }

    /// Returns the time after which the entry of a target that ended has lapsed for certain.
    #[must_use]
    pub fn entry_lapse_time(&self) -> Duration {
        let heartbeat = Duration::from_secs_f64(self.bounds.target_heartbeat_ms / 1_000.0);
        heartbeat * LAPSE_HEARTBEATS
    }

    /// Returns how often the configuration is asked for while nothing changes.
    #[must_use]
    pub fn follow_pace(&self) -> ConfigWatchWaits {
        let bounds = &self.bounds;
        let within = bounds.config_within_ms.min(bounds.departure_within_ms);
        let revoked = bounds.revoked_within_ms.unwrap_or(f64::INFINITY);
        let wait = |ms: f64| Duration::from_secs_f64(ms.min(LONGEST_CONFIG_WAIT_MS) / 1_000.0);
        ConfigWatchWaits {
            heartbeat: wait((within * HEARTBEAT_PART).min(revoked * HUB_CONFIRM_PART)),
            config_wait: wait(revoked * CONFIRM_PART),
        }
    }

    /// Returns how long a key counts as in force after the configuration that holds it was
    /// certainly the newest one; `None` where that is not bounded.
    #[must_use]
    pub fn key_validity(&self) -> Option<Duration> {
        let revoked = self.bounds.revoked_within_ms?;
        Some(Duration::from_secs_f64(revoked * KEY_TRUST_PART / 1_000.0))
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
