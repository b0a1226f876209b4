//! Reads settings and checks them: each field by the table, then fields against each other.

use std::fmt;

use serde_json::Value;
use thiserror::Error;

use crate::settings::DaemonSettings;
use crate::settings::rules;

/// Start of the secrets in the quickstart's settings.
const QUICKSTART_SECRET: &str = "quickstart-";

/// One field that cannot be used as it is. Secrets are never repeated in it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldFault {
    /// Place in the document, for example `platform.call_ms`.
    pub path: String,
    /// What was found there.
    pub found: String,
    /// What may stand there.
    pub allowed: String,
    /// What to do.
    pub remedy: String,
}

impl fmt::Display for FieldFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: found {}; allowed: {}; {}",
            self.path, self.found, self.allowed, self.remedy
        )
    }
}

/// Why settings cannot be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SettingsError {
    /// The text is not the JSON document expected.
    #[error("the settings are not valid JSON: {reason}; correct the text at that place")]
    Syntax {
        /// What the parser found, with line and column.
        reason: String,
    },
    /// Fields are unknown, missing, out of range or at odds.
    #[error("{} fields cannot be used:\n{}", faults.len(), fault_lines(faults))]
    Invalid {
        /// Every fault found, in the order of the document.
        faults: Vec<FieldFault>,
    },
}

fn fault_lines(faults: &[FieldFault]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
    lines.join("\n")
}

impl DaemonSettings {
    /// Reads and checks a settings document.
    ///
    /// # Errors
    ///
    /// Returns a syntax error, or every unknown, missing, bad or contradictory field at once.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let document: Value = serde_json::from_str(text).map_err(|error| syntax_error(&error))?;
        refuse_faults(rules::document_faults(&document))?;
        // Read from the text again: only this way is a field given twice noticed.
        let settings: Self = serde_json::from_str(text).map_err(|error| syntax_error(&error))?;
        refuse_faults(settings.relation_faults())?;
        Ok(settings)
    }

    /// Checks ranges and relations of settings built in code.
    ///
    /// # Errors
    ///
    /// Returns every bad or contradictory field at once.
    pub fn check(&self) -> Result<(), SettingsError> {
        let document = serde_json::to_value(self).map_err(|error| syntax_error(&error))?;
        let mut faults = rules::document_faults(&document);
        faults.extend(self.relation_faults());
        refuse_faults(faults)
    }

    fn relation_faults(&self) -> Vec<FieldFault> {
        let relations = [
            self.listen_relations(),
            self.time_relations(),
            self.size_relations(),
        ];
        relations.into_iter().flatten().collect()
    }

    fn listen_relations(&self) -> Vec<FieldFault> {
        let listen = &self.listen;
        let relation = FieldRelation {
            holds: listen.tls.is_some() || listen.rpc.ip().is_loopback(),
            path: "listen.rpc",
            found: format!("{} without listen.tls", listen.rpc),
            allowed: "a loopback address, or any address with listen.tls",
            remedy: "give a certificate and key in listen.tls, or listen on 127.0.0.1",
        };
        broken(vec![relation, self.secret_relation()])
    }

    /// The secrets of the quickstart are public, so they may guard nothing but loopback.
    fn secret_relation(&self) -> FieldRelation {
        let mut secrets = self.access.token_secrets.iter().chain([&self.peers.secret]);
        let public = secrets.any(|secret| secret.starts_with(QUICKSTART_SECRET));
        FieldRelation {
            holds: !public || self.listen.rpc.ip().is_loopback(),
            path: "access.token_secrets",
            found: "a secret of the quickstart".to_owned(),
            allowed: "secrets of the deployment's own, unless listen.rpc is on loopback",
            remedy: "make random texts for access.token_secrets and peers.secret",
        }
    }

    fn time_relations(&self) -> Vec<FieldFault> {
        let leases = &self.leases;
        let reserve_ms = leases.guard_ms.saturating_add(leases.order_flight_ms);
        broken(vec![
            FieldRelation {
                holds: self.platform.watch_ms > self.platform.call_ms,
                path: "platform.watch_ms",
                found: self.platform.watch_ms.to_string(),
                allowed: "more than platform.call_ms",
                remedy: "lengthen the watch or shorten the call",
            },
            FieldRelation {
                holds: self.peers.silence_ms > self.peers.hint_ms,
                path: "peers.silence_ms",
                found: self.peers.silence_ms.to_string(),
                allowed: "more than peers.hint_ms",
                remedy: "allow for several hints before a peer is suspected",
            },
            FieldRelation {
                holds: self.intents.retention_ms > self.intents.clock_skew_ms.saturating_mul(2),
                path: "intents.retention_ms",
                found: self.intents.retention_ms.to_string(),
                allowed: "more than twice intents.clock_skew_ms",
                remedy: "keep keys longer, or keep the clocks closer together",
            },
            FieldRelation {
                holds: reserve_ms < leases.duration_ms,
                path: "leases.duration_ms",
                found: leases.duration_ms.to_string(),
                allowed: "more than leases.guard_ms and leases.order_flight_ms together",
                remedy: "lengthen the lease; otherwise its holder never has time to order",
            },
            FieldRelation {
                holds: self.policy.role_horizon_ms > self.policy.role_change_ms,
                path: "policy.role_horizon_ms",
                found: self.policy.role_horizon_ms.to_string(),
                allowed: "more than policy.role_change_ms",
                remedy: "lengthen the horizon; otherwise no role change can pay",
            },
        ])
    }

    fn size_relations(&self) -> Vec<FieldFault> {
        let limits = &self.limits;
        let intents = &self.intents;
        broken(vec![
            FieldRelation {
                holds: limits.queue_per_workspace <= limits.queue_length,
                path: "limits.queue_per_workspace",
                found: limits.queue_per_workspace.to_string(),
                allowed: "at most limits.queue_length",
                remedy: "lower it, or lengthen the queue",
            },
            FieldRelation {
                holds: intents.result_bytes.saturating_mul(2) <= intents.shard_bytes,
                path: "intents.result_bytes",
                found: intents.result_bytes.to_string(),
                allowed: "at most half of intents.shard_bytes",
                remedy: "keep smaller results, or allow larger objects",
            },
        ])
    }
}

struct FieldRelation {
    holds: bool,
    path: &'static str,
    found: String,
    allowed: &'static str,
    remedy: &'static str,
}

fn broken(relations: Vec<FieldRelation>) -> Vec<FieldFault> {
    let faults = relations.into_iter().filter(|relation| !relation.holds);
    faults
        .map(|relation| FieldFault {
            path: relation.path.to_owned(),
            found: relation.found,
            allowed: relation.allowed.to_owned(),
            remedy: relation.remedy.to_owned(),
        })
        .collect()
}

fn syntax_error(error: &serde_json::Error) -> SettingsError {
    SettingsError::Syntax {
        reason: error.to_string(),
    }
}

fn refuse_faults(faults: Vec<FieldFault>) -> Result<(), SettingsError> {
    if faults.is_empty() {
        return Ok(());
    }
    Err(SettingsError::Invalid { faults })
}
