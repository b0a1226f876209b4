//! Commands for operators on targets, state and reasons.

use std::time::{Duration, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::client::ClientOptions;
use crate::client::error::ClientError;
use crate::client::operator::{DaemonDecisions, OperatorClient};
use crate::pb;
use crate::tool::flags::ToolCall;
use crate::tool::items::print_change;
use crate::tool::output::{TextTable, or_dash, status_json, target_json, target_table};
use crate::tool::run::{ToolError, print_json, print_text};

/// Decisions printed when the operator names no number.
const USUAL_DECISIONS: u32 = 50;

/// Lists engines and plain services.
///
/// # Errors
///
/// Returns the daemon's refusal, or an error when no daemon answers.
pub async fn targets(call: &ToolCall, options: &ClientOptions) -> Result<(), ToolError> {
    let client = OperatorClient::connect(options).await?;
    let status = client.status().await?;
    if call.has("json") {
        print_json(&status.targets.iter().map(target_json).collect())?;
    } else {
        print_text(&target_table(&status.targets).render())?;
    }
    Ok(())
}

/// Drains or restores a target.
///
/// # Errors
///
/// Returns the daemon's refusal, or an error that says whether the change was sent.
pub async fn hold(call: &ToolCall, options: &ClientOptions) -> Result<(), ToolError> {
    let target = &call.words[0];
    let reason = call.text("reason").unwrap_or_default();
    let client = OperatorClient::connect(options).await?;
    let reply = if call.command.name == "drain" {
        client.drain(target, &reason).await?
    } else {
        client.restore(target, &reason).await?
    };
    print_change(call, &reply)
}

/// Prints the state of fleet, leases and daemons.
///
/// # Errors
///
/// Returns the daemon's refusal, or an error when no daemon answers.
pub async fn status(call: &ToolCall, options: &ClientOptions) -> Result<(), ToolError> {
    let client = OperatorClient::connect(options).await?;
    let status = client.status().await?;
    if call.has("json") {
        print_json(&status_json(&status))?;
        return Ok(());
    }
    let ready = if status.ready { "ready" } else { "not ready" };
    let platform = if status.platform_reachable {
        "reachable"
    } else {
        "not reachable"
    };
    print_text(&format!(
        "{} in {}: {ready}, platform {platform}\n\n{}\n{}\n{}",
        status.daemon,
        status.data_centre,
        daemon_table(&status.daemons).render(),
        lease_table(&status.leases).render(),
        target_table(&status.targets).render()
    ))?;
    Ok(())
}

/// Prints recent decisions of every daemon named, and their reasons.
///
/// # Errors
///
/// Returns the last failure when no daemon answers.
pub async fn explain(call: &ToolCall, options: &ClientOptions) -> Result<(), ToolError> {
    let subject = call.words.first().map_or("", String::as_str);
    let most = call.number("most")?.unwrap_or(USUAL_DECISIONS);
    let client = OperatorClient::connect(options).await?;
    let rows = decision_rows(client.explain(subject, most).await)?;
    if call.has("json") {
        print_json(&rows.iter().map(decision_json).collect())?;
        return Ok(());
    }
    let mut table = TextTable::new(&["TIME", "DAEMON", "KIND", "SUBJECT", "REASON"]);
    for row in rows {
        table.add(vec![
            time_text(row.decision.at_ms),
            row.address,
            row.decision.kind,
            row.decision.subject,
            row.decision.reason,
        ]);
    }
    print_text(&table.render())?;
    Ok(())
}

/// A decision and the daemon that took it.
struct DecisionRow {
    address: String,
    decision: pb::Decision,
}

/// Merges the answers, newest first. A daemon that did not answer is named on
/// standard error: without it the reader would take its silence for no decision.
fn decision_rows(answers: Vec<DaemonDecisions>) -> Result<Vec<DecisionRow>, ClientError> {
    let mut rows = Vec::new();
    let mut failure = None;
    let mut answered = false;
    for DaemonDecisions { address, decisions } in answers {
        match decisions {
            Ok(decisions) => {
                answered = true;
                rows.extend(decisions.into_iter().map(|decision| DecisionRow {
                    address: address.clone(),
                    decision,
                }));
            }
            Err(error) => {
                eprintln!("{address} did not answer: {error}");
                failure = Some(error);
            }
        }
    }
    if let Some(error) = failure.filter(|_| !answered) {
        return Err(error);
    }
    rows.sort_by_key(|row| std::cmp::Reverse(row.decision.at_ms));
    Ok(rows)
}

fn daemon_table(daemons: &[pb::DaemonStatus]) -> TextTable {
    let mut table = TextTable::new(&["DAEMON", "STATE", "CENTRE", "ADDRESS", "SINCE"]);
    for daemon in daemons {
        table.add(vec![
            daemon.daemon.clone(),
            daemon.state.clone(),
            or_dash(&daemon.data_centre),
            or_dash(&daemon.address),
            time_text(daemon.incarnation),
        ]);
    }
    table
}

fn lease_table(leases: &[pb::LeaseStatus]) -> TextTable {
    let mut table = TextTable::new(&["GROUP", "HOLDER", "FENCE", "REMAINING_MS"]);
    for lease in leases {
        table.add(vec![
            lease.group.clone(),
            or_dash(&lease.holder),
            lease.fence.to_string(),
            lease.remaining_ms.to_string(),
        ]);
    }
    table
}

fn decision_json(row: &DecisionRow) -> Value {
    let decision = &row.decision;
    json!({
        "daemon": row.address,
        "at_ms": decision.at_ms,
        "kind": decision.kind,
        "subject": decision.subject,
        "reason": decision.reason,
    })
}

fn time_text(unix_ms: u64) -> String {
    if unix_ms == 0 {
        return "-".to_owned();
    }
    let time = UNIX_EPOCH.checked_add(Duration::from_millis(unix_ms));
    time.map_or_else(
        || unix_ms.to_string(),
        |time| humantime::format_rfc3339_millis(time).to_string(),
    )
}
