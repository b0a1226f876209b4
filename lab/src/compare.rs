//! Runs one scenario under several policies and sets the results side by side.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use indexmap::IndexMap;
use pistachiowick::settings::{DaemonSettings, PlacementPolicy, PolicySettings, RolePolicy};
use serde::Serialize;

use crate::events::run_events;
use crate::fleet::{FleetPlan, LabFleet, SettingsTweak};
use crate::load::run_planned;
use crate::load_tally::{LoadTally, RequestReport};
use crate::scenario::{ScenarioSpec, overlay};

/// Requests open at once in a run, at most.
const MOST_OPEN: usize = 20_000;

/// A policy by name.
struct NamedPolicy {
    name: &'static str,
    apply: fn(&mut PolicySettings),
}

/// Policies that can be compared; the first is the product's own.
const POLICIES: &[NamedPolicy] = &[
    NamedPolicy {
        name: "own",
        apply: |_| {},
    },
    NamedPolicy {
        name: "round_robin",
        apply: |policy| baseline(policy, PlacementPolicy::RoundRobin),
    },
    NamedPolicy {
        name: "least_in_flight",
        apply: |policy| baseline(policy, PlacementPolicy::LeastInFlight),
    },
    NamedPolicy {
        name: "fixed_roles",
        apply: |policy| policy.roles = RolePolicy::Fixed,
    },
    NamedPolicy {
        name: "follow_mix",
        apply: |policy| policy.roles = RolePolicy::FollowMix,
    },
];

fn baseline(policy: &mut PolicySettings, placement: PlacementPolicy) {
    policy.placement = placement;
    policy.roles = RolePolicy::Fixed;
    policy.refuse_early = false;
    policy.fair_shares = false;
}

/// Result of one policy in one run.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyRow {
    /// Policy.
    pub policy: String,
    /// Seed.
    pub seed: u64,
    /// Share of requests answered within their deadline.
    pub goodput: f64,
    /// The same by class.
    pub by_class: IndexMap<String, f64>,
    /// The same by workspace.
    pub by_workspace: IndexMap<String, f64>,
    /// Requests submitted.
    pub submitted: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that expired or whose outcome is unknown.
    pub expired_or_unknown: u64,
    /// Wrong, short, doubled or lost answers; always a fault.
    pub faults: u64,
    /// Role changes of engines.
    pub role_changes: u64,
    /// Engine-seconds out of service for them, in engine time.
    pub idle_s: f64,
    /// 95th percentile of the first token in engine milliseconds.
    pub first_p95_ms: f64,
}

/// Runs a scenario under each policy, `repeat` times with rising seeds.
///
/// # Errors
///
/// Returns an error for an unknown policy or a fleet that does not start.
pub async fn compare(
    scenario: &ScenarioSpec,
    policies: &[String],
    seed: u64,
    repeat: u64,
) -> Result<Vec<PolicyRow>> {
    let mut rows = Vec::new();
    for round in 0..repeat {
        for name in policies {
            let row = run_policy(scenario, name, seed + round).await;
            let row = row.wrap_err_with(|| format!("policy {name}"))?;
            eprintln!("{}", table_line(&row));
            rows.push(row);
        }
    }
    Ok(rows)
}

/// Returns the names of all policies.
#[must_use]
pub fn policy_names() -> Vec<String> {
    POLICIES.iter().map(|p| p.name.to_owned()).collect()
}

async fn run_policy(scenario: &ScenarioSpec, name: &str, seed: u64) -> Result<PolicyRow> {
    let mut fleet = LabFleet::start(plan_of(scenario, name, seed)?).await?;
    let planned = scenario.plan(seed);
    let tallies = vec![LoadTally::default(); scenario.classes.len()];
    let tallies = Arc::new(Mutex::new(tallies));
    let sink = tallies.clone();
    let on_report = Arc::new(move |class: usize, report: &RequestReport| {
        let mut tallies = sink.lock().unwrap_or_else(PoisonError::into_inner);
        tallies[class].add(report);
    });
    let addresses = fleet.addresses();
    let load = run_planned(&addresses, MOST_OPEN, planned, on_report);
    let (ended, ()) = tokio::join!(load, run_events(scenario, &mut fleet));
    ended?;
    let tallies = tallies
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let row = row_of(scenario, name, seed, &tallies, &fleet);
    fleet.stop().await;
    Ok(row)
}

fn plan_of(scenario: &ScenarioSpec, name: &str, seed: u64) -> Result<FleetPlan> {
    let known = POLICIES.iter().find(|p| p.name == name);
    let policy = known.ok_or_else(|| {
        eyre!(
            "no policy is named {name}; use {}",
            policy_names().join(", ")
        )
    })?;
    let engine = scenario.engine_options()?;
    let tweak = tweak_of(scenario, policy.apply)?;
    Ok(FleetPlan {
        centres: scenario.centres.clone(),
        daemons: scenario.daemons,
        engines: scenario.engines,
        services: scenario.services,
        engine: crate::engine_options::EngineOptions { seed, ..engine },
        service: scenario.service_options(),
        items: scenario.items(),
        tweak,
        ..FleetPlan::default()
    })
}

/// Settings in engine time, made faster like the engines.
fn tweak_of(scenario: &ScenarioSpec, apply: fn(&mut PolicySettings)) -> Result<SettingsTweak> {
    let mut policy =
        overlay(&PolicySettings::default(), &scenario.policy).wrap_err("policy cannot be used")?;
    apply(&mut policy);
    let scale = scenario.time_scale;
    let faster = move |ms: u64| ((ms as f64 / scale) as u64).max(1);
    policy.role_change_ms = faster(policy.role_change_ms);
    policy.role_horizon_ms = faster(policy.role_horizon_ms);
    policy.speeds.prefill_tokens_per_s *= scale;
    policy.speeds.token_base_ms /= scale;
    policy.speeds.token_per_stream_ms /= scale;
    policy.speeds.prefill_step_ms /= scale;
    Ok(Arc::new(move |settings: &mut DaemonSettings| {
        settings.policy = policy.clone();
        settings.peers.hint_ms = faster(500);
        settings.leases.duration_ms = faster(6_000);
        settings.leases.guard_ms = faster(1_500);
        settings.leases.order_flight_ms = faster(1_000);
    }))
}

fn row_of(
    scenario: &ScenarioSpec,
    name: &str,
    seed: u64,
    tallies: &[LoadTally],
    fleet: &LabFleet,
) -> PolicyRow {
    let mut whole = LoadTally::default();
    let mut classes = IndexMap::new();
    let mut workspaces = IndexMap::<String, LoadTally>::new();
    for (class, tally) in scenario.classes.iter().zip(tallies) {
        whole.merge(tally);
        workspaces
            .entry(class.workspace.clone())
            .or_default()
            .merge(tally);
        let path = format!("{}/{}", class.workspace, class.name);
        classes.insert(path, tally.summary().goodput);
    }
    let counts = &whole.counts;
    let first_p95 = whole.first_us.value_at_quantile(0.95) as f64 / 1_000.0;
    let roles = role_changes(fleet);
    let idle = Duration::from_millis(fleet.plan.engine.change_ms) * roles as u32;
    PolicyRow {
        policy: name.to_owned(),
        seed,
        goodput: whole.summary().goodput,
        by_class: classes,
        by_workspace: workspaces
            .into_iter()
            .map(|(name, tally)| (name, tally.summary().goodput))
            .collect(),
        submitted: counts.submitted,
        refused: counts.refused_not_run,
        expired_or_unknown: counts.expired + counts.unknown,
        faults: counts.wrong + counts.short + counts.doubled + counts.lost,
        role_changes: roles,
        idle_s: idle.as_secs_f64(),
        first_p95_ms: first_p95 * scenario.time_scale,
    }
}

/// Counts the orders that changed an engine's role.
fn role_changes(fleet: &LabFleet) -> u64 {
    let start = fleet.plan.engine.role;
    let changes = fleet.engines.values().map(|engine| {
        let mut role = start;
        let mut changes = 0;
        for order in engine.books().orders.iter().filter(|o| o.obeyed) {
            if order.role != role {
                role = order.role;
                changes += 1;
            }
        }
        changes
    });
    changes.sum()
}

/// Returns a row for people.
#[must_use]
pub fn table_line(row: &PolicyRow) -> String {
    let least = row.by_workspace.values().copied().fold(1.0, f64::min);
    format!(
        "{:16} seed {:3}  goodput {:.3}  least workspace {:.3}  refused {:5} of {:6}  \
         expired {:5}  role changes {:3}  first token p95 {:6.0} ms  faults {}",
        row.policy,
        row.seed,
        row.goodput,
        least,
        row.refused,
        row.submitted,
        row.expired_or_unknown,
        row.role_changes,
        row.first_p95_ms,
        row.faults
    )
}

/// Mean, least and most goodput of a policy over its runs.
#[derive(Clone, Debug, Serialize)]
pub struct PolicySummary {
    /// Policy.
    pub policy: String,
    /// Runs.
    pub runs: usize,
    /// Mean goodput.
    pub goodput: f64,
    /// Least and most goodput of a run.
    pub spread: [f64; 2],
    /// Mean role changes.
    pub role_changes: f64,
    /// Goodput against the best other policy of the comparison.
    pub ratio: f64,
}

/// Sums up rows by policy.
#[must_use]
pub fn summarise(rows: &[PolicyRow]) -> Vec<PolicySummary> {
    let mut by_policy = IndexMap::<&str, Vec<&PolicyRow>>::new();
    for row in rows {
        by_policy.entry(&row.policy).or_default().push(row);
    }
    let mut sums: Vec<PolicySummary> = by_policy
        .into_iter()
        .map(|(policy, rows)| summary_of(policy, &rows))
        .collect();
    for place in 0..sums.len() {
        let others = sums.iter().filter(|s| s.policy != sums[place].policy);
        let best = others.map(|s| s.goodput).fold(0.0, f64::max);
        sums[place].ratio = if best > 0.0 {
            sums[place].goodput / best
        } else {
            1.0
        };
    }
    sums
}

fn summary_of(policy: &str, rows: &[&PolicyRow]) -> PolicySummary {
    let runs = rows.len() as f64;
    let goodputs = || rows.iter().map(|r| r.goodput);
    PolicySummary {
        policy: policy.to_owned(),
        runs: rows.len(),
        goodput: goodputs().sum::<f64>() / runs,
        spread: [
            goodputs().fold(f64::INFINITY, f64::min),
            goodputs().fold(0.0, f64::max),
        ],
        role_changes: rows.iter().map(|r| r.role_changes as f64).sum::<f64>() / runs,
        ratio: 1.0,
    }
}
