//! Tables for people and JSON for programs.

use serde_json::{Value, json};

use crate::config::catalogue::{ClassTarget, ItemSpec};
use crate::names::ModelName;
use crate::pb;

/// Rows under headings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TextTable {
    headings: &'static [&'static str],
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table without rows.
    #[must_use]
    pub fn new(headings: &'static [&'static str]) -> Self {
        Self {
            headings,
            rows: Vec::new(),
        }
    }

    /// Adds a row; its cells stand under the headings in order.
    pub fn add(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Returns the table as aligned text, one line a row.
    #[must_use]
    pub fn render(&self) -> String {
        let widths: Vec<usize> = (0..self.headings.len()).map(|c| self.width(c)).collect();
        let headings = self.headings.iter().map(|heading| (*heading).to_owned());
        let mut text = line(&headings.collect::<Vec<_>>(), &widths);
        for row in &self.rows {
            text.push_str(&line(row, &widths));
        }
        text
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
        widest.max(self.headings[column].len())
    }
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths);
    let padded: Vec<String> = padded
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}

/// Returns a dash for an empty text, so that columns stay apart.
#[must_use]
pub fn or_dash(text: &str) -> String {
    if text.is_empty() {
        return "-".to_owned();
    }
    text.to_owned()
}

/// Returns what stands in an item, in short.
#[must_use]
pub fn item_summary(spec: &ItemSpec) -> String {
    match spec {
        ItemSpec::Workspace(workspace) => format!(
            "weight {}, {} keys",
            workspace.weight,
            workspace.key_hashes.len()
        ),
        ItemSpec::Class(class) => {
            let repeatable = if class.repeatable {
                "repeatable"
            } else {
                "at most once"
            };
            let goes_to = match &class.target {
                ClassTarget::Service(service) => format!("service {service}"),
                ClassTarget::Models(choice) => {
                    let names: Vec<&str> = choice.models.iter().map(ModelName::as_str).collect();
                    format!("models {}", names.join(" "))
                }
            };
            format!(
                "deadline {} ms, priority {}, {repeatable}, {goes_to}",
                class.deadline_ms, class.priority
            )
        }
        ItemSpec::Model(model) => format!(
            "versions {}, adapters {}, {} bytes, at least {} engines",
            or_dash(&model.versions.join(" ")),
            or_dash(&model.adapters.join(" ")),
            model.weight_bytes,
            model.least_engines
        ),
        ItemSpec::Hold(hold) => or_dash(&hold.reason),
    }
}

/// Returns an item with its revision.
#[must_use]
pub fn item_json(item: &pb::ItemReply, spec: Option<&ItemSpec>) -> Value {
    json!({
        "name": item.name,
        "revision": item.revision,
        "deleted": item.deleted,
        "item": spec.map(inner_json),
    })
}

/// Returns an item in the form that `create` and `change` take.
#[must_use]
pub fn inner_json(spec: &ItemSpec) -> Value {
    let value = match spec {
        ItemSpec::Class(class) => serde_json::to_value(class),
        ItemSpec::Hold(hold) => serde_json::to_value(hold),
        ItemSpec::Model(model) => serde_json::to_value(model),
        ItemSpec::Workspace(workspace) => serde_json::to_value(workspace),
    };
    // Items hold nothing that JSON cannot express.
    value.unwrap_or_default()
}

/// Returns the state of a daemon's view.
#[must_use]
pub fn status_json(status: &pb::StatusReply) -> Value {
    let leases = status.leases.iter().map(|lease| {
        json!({
            "group": lease.group,
            "holder": lease.holder,
            "fence": lease.fence,
            "remaining_ms": lease.remaining_ms,
        })
    });
    let daemons = status.daemons.iter().map(|daemon| {
        json!({
            "daemon": daemon.daemon,
            "address": daemon.address,
            "data_centre": daemon.data_centre,
            "state": daemon.state,
            "incarnation": daemon.incarnation,
        })
    });
    json!({
        "daemon": status.daemon,
        "data_centre": status.data_centre,
        "ready": status.ready,
        "platform_reachable": status.platform_reachable,
        "targets": status.targets.iter().map(target_json).collect::<Vec<_>>(),
        "leases": leases.collect::<Vec<_>>(),
        "daemons": daemons.collect::<Vec<_>>(),
    })
}

/// Returns a target's state.
#[must_use]
pub fn target_json(target: &pb::TargetStatus) -> Value {
    json!({
        "target": target.target,
        "address": target.address,
        "data_centre": target.data_centre,
        "state": target.state,
        "role": target.role,
        "models": target.models,
        "own_in_flight": target.own_in_flight,
        "reported_in_flight": target.reported_in_flight,
        "report_age_ms": target.report_age_ms,
    })
}

/// Returns the targets as a table.
#[must_use]
pub fn target_table(targets: &[pb::TargetStatus]) -> TextTable {
    let mut table = TextTable::new(&[
        "TARGET", "STATE", "ROLE", "CENTRE", "ADDRESS", "OWN", "REPORTED", "AGE_MS", "MODELS",
    ]);
    for target in targets {
        table.add(vec![
            target.target.clone(),
            target.state.clone(),
            or_dash(&target.role),
            or_dash(&target.data_centre),
            target.address.clone(),
            target.own_in_flight.to_string(),
            target.reported_in_flight.to_string(),
            target.report_age_ms.to_string(),
            or_dash(&target.models.join(" ")),
        ]);
    }
    table
}
