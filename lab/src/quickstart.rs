//! The main job in one command: a deployment on loopback, both kinds of requests.

use std::time::Duration;

use eyre::{Result, ensure};
use pistachiowick::config::catalogue::{
    ClassSpec, ClassTarget, ItemSpec, ModelChoice, ModelSpec, WorkspaceSpec,
};
use pistachiowick::invariants::{self, Invariant};
use serde_json::json;

use crate::direct;
use crate::engine_options::EngineOptions;
use crate::fleet::{FleetPlan, LabFleet, hash_of};
use crate::load::{LoadClass, LoadConfig, LoadRange, run_load};
use crate::load_tally::LoadSummary;

/// Name of the model that all engines hold.
pub const MODEL: &str = "base";
/// Model as the engines name it.
pub const MODEL_LABEL: &str = "base@1";
const VERSION: &str = "1";
const SERVICE: &str = "ledger";
/// How many times faster than real time the engines run.
const TIME_SCALE: f64 = 4.0;
const LOAD_TIME: Duration = Duration::from_secs(8);
const RATE: f64 = 60.0;

/// Runs the main job and prints progress to standard error and one JSON line to
/// standard output.
///
/// # Errors
///
/// Returns an error when anything was lost, wrong, short, doubled or run twice, or an
/// invariant was violated.
pub async fn run_quickstart(seed: u64) -> Result<()> {
    eprintln!("starting a platform, 12 engines, 3 plain services and 3 daemons on loopback");
    let fleet = LabFleet::start(quickstart_plan()).await?;
    eprintln!("daemons at {}", fleet.addresses().join(", "));
    let config = LoadConfig {
        addresses: fleet.addresses(),
        seed,
        rate: RATE,
        duration_ms: LOAD_TIME.as_millis() as u64,
        classes: quickstart_load(),
        ..LoadConfig::default()
    };
    eprintln!("sending about {RATE} requests a second for {LOAD_TIME:?}");
    let tally = run_load(&config).await?;
    let summary = tally.summary();
    let added = direct::measure_added_latency(&fleet).await?;
    let runs_doubled = doubled_runs(&fleet);
    let violations = violation_count();
    let line = json!({
        "submitted": summary.counts.submitted,
        "answered": summary.counts.answered,
        "refused_not_run": summary.counts.refused_not_run,
        "unknown": summary.counts.unknown,
        "expired": summary.counts.expired,
        "lost": summary.counts.lost,
        "wrong": summary.counts.wrong,
        "short": summary.counts.short,
        "doubled": summary.counts.doubled + runs_doubled,
        "goodput": summary.goodput,
        "added_p50_ms": added.p50_ms,
        "added_p99_ms": added.p99_ms,
        "violations": violations,
    });
    fleet.stop().await;
    println!("{line}");
    judge(&summary, runs_doubled, violations)
}

fn judge(summary: &LoadSummary, runs_doubled: u64, violations: u64) -> Result<()> {
    let counts = &summary.counts;
    ensure!(counts.submitted > 0, "no request was submitted");
    ensure!(counts.answered > 0, "no request was answered");
    ensure!(counts.lost == 0, "{} requests got no outcome", counts.lost);
    ensure!(counts.wrong == 0, "{} answers were wrong", counts.wrong);
    ensure!(counts.short == 0, "{} answers were short", counts.short);
    ensure!(
        counts.doubled == 0,
        "{} answers were doubled",
        counts.doubled
    );
    ensure!(runs_doubled == 0, "{runs_doubled} keys ran more than once");
    ensure!(violations == 0, "{violations} invariants were violated");
    Ok(())
}

/// Returns how many keys ran more than once at the plain services.
#[must_use]
pub fn doubled_runs(fleet: &LabFleet) -> u64 {
    let mut runs = indexmap::IndexMap::<String, u64>::new();
    for service in fleet.services.values() {
        for (key, count) in service.books().runs {
            *runs.entry(key).or_default() += u64::from(count);
        }
    }
    runs.values().filter(|count| **count > 1).count() as u64
}

/// Returns the violations of all invariants in this process.
#[must_use]
pub fn violation_count() -> u64 {
    Invariant::ALL.into_iter().map(invariants::violations).sum()
}

/// Returns the deployment of the quickstart.
#[must_use]
pub fn quickstart_plan() -> FleetPlan {
    FleetPlan {
        engine: EngineOptions {
            models: vec![MODEL_LABEL.to_owned()],
            time_scale: TIME_SCALE,
            report_lag_ms: 400,
            cache_lag_ms: 400,
            ..EngineOptions::default()
        },
        items: quickstart_items(),
        tweak: std::sync::Arc::new(|settings| {
            let speeds = &mut settings.policy.speeds;
            speeds.prefill_tokens_per_s *= TIME_SCALE;
            speeds.token_base_ms /= TIME_SCALE;
            speeds.token_per_stream_ms /= TIME_SCALE;
            speeds.prefill_step_ms /= TIME_SCALE;
        }),
        ..FleetPlan::default()
    }
}

/// Returns the configuration of the quickstart: two workspaces with their classes.
#[must_use]
pub fn quickstart_items() -> Vec<ItemSpec> {
    let mut items = vec![ItemSpec::Model(ModelSpec {
        name: MODEL.into(),
        versions: vec![VERSION.to_owned()],
        adapters: Vec::new(),
        weight_bytes: 8_000_000_000,
        least_engines: 2,
    })];
    for workspace in ["rowing", "stores"] {
        items.push(ItemSpec::Workspace(WorkspaceSpec {
            name: workspace.into(),
            weight: 1,
            key_hashes: vec![hash_of(&workspace_key(workspace))],
        }));
        items.push(class(workspace, "review", 20_000, 2, true, models()));
        items.push(class(workspace, "check", 4_000, 0, true, models()));
        let ledger = ClassTarget::Service(SERVICE.into());
        items.push(class(workspace, "issue", 5_000, 0, false, ledger));
    }
    items
}

/// Returns the key of a workspace of the quickstart.
#[must_use]
pub fn workspace_key(workspace: &str) -> String {
    format!("{workspace}-key")
}

fn models() -> ClassTarget {
    ClassTarget::Models(ModelChoice {
        models: vec![MODEL.into()],
        adapters: Vec::new(),
        versions: vec![VERSION.to_owned()],
    })
}

fn class(
    workspace: &str,
    name: &str,
    deadline_ms: u32,
    priority: u32,
    repeatable: bool,
    target: ClassTarget,
) -> ItemSpec {
    ItemSpec::Class(ClassSpec {
        workspace: workspace.into(),
        name: name.into(),
        deadline_ms,
        priority,
        repeatable,
        target,
    })
}

/// Returns the classes of requests that the quickstart sends.
#[must_use]
pub fn quickstart_load() -> Vec<LoadClass> {
    let mut classes = Vec::new();
    for workspace in ["rowing", "stores"] {
        let base = LoadClass {
            workspace: workspace.to_owned(),
            key: workspace_key(workspace),
            model: MODEL.to_owned(),
            version: VERSION.to_owned(),
            ..LoadClass::default()
        };
        classes.push(LoadClass {
            class: "review".to_owned(),
            weight: 1.0,
            prompt_tokens: range(2_000, 6_000),
            output_tokens: range(20, 60),
            deadline_ms: 20_000,
            shared_prefixes: 4,
            shared_prefix_tokens: 1_500,
            ..base.clone()
        });
        classes.push(LoadClass {
            class: "check".to_owned(),
            weight: 3.0,
            prompt_tokens: range(50, 300),
            output_tokens: range(10, 40),
            deadline_ms: 4_000,
            ..base.clone()
        });
        classes.push(LoadClass {
            class: "issue".to_owned(),
            weight: 1.0,
            is_service: true,
            deadline_ms: 5_000,
            ..base
        });
    }
    classes
}

fn range(least: u32, most: u32) -> LoadRange {
    LoadRange { least, most }
}
