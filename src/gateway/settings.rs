//! Settings of a gateway process, in JSON.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

use crate::gateway::budget::BudgetRule;
use crate::gateway::deciding::engine_choice::PlacementWeights;
use crate::names::{CentreName, DaemonId};

/// Settings that cannot be used.
#[derive(Debug, Error)]
pub enum SettingsFault {
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
    pub fn load(path: &str) -> Result<Self, SettingsFault> {
        let text = std::fs::read_to_string(path).map_err(|error| SettingsFault::Unreadable {
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
    pub fn parse(text: &str) -> Result<Self, SettingsFault> {
        let settings: Self = serde_json::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsFault> {
        let bounds = &self.bounds;
        positive("bounds.stop_grace_s", bounds.stop_grace_s)?;
        positive("bounds.repeat_window_s", bounds.repeat_window_s)?;
        positive("bounds.directory_keep_s", bounds.directory_keep_s)?;
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

fn positive(field: &'static str, value: f64) -> Result<(), SettingsFault> {
    if value > 0.0 && value.is_finite() {
        return Ok(());
    }
    Err(out_of_range(field, &value.to_string(), "a number above 0"))
}

fn not_negative(field: &'static str, value: f64) -> Result<(), SettingsFault> {
    if value >= 0.0 && value.is_finite() {
        return Ok(());
    }
    Err(out_of_range(field, &value.to_string(), "0 or more"))
}

fn out_of_range(field: &'static str, found: &str, expected: &'static str) -> SettingsFault {
    SettingsFault::Range {
        field,
        found: found.to_owned(),
        expected,
    }
}
