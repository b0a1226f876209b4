//! What it costs to run requests at most once: calls to the platform and added
//! latency by rate, against a class of the same service that may be repeated.

use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, ensure};
use getopts::{Matches, Options};
use pistachiowick::config::catalogue::{ClassSpec, ClassTarget, ItemSpec, WorkspaceSpec};
use serde::Serialize;

use crate::fleet::{FleetPlan, LabFleet, hash_of};
use crate::load::{LoadClass, LoadConfig, run_load};
use crate::load_tally::LoadSummary;
use crate::platform_state::PlatformBooks;
use crate::quickstart::violation_count;
use crate::service::ServiceOptions;

const SERVICE: &str = "ledger";
const DAEMONS: usize = 3;
const SERVICES: usize = 8;
/// Time of one run at the service, and runs at once: far from full at 1,000 a second.
const WORK_MS: u64 = 5;
const CONCURRENCY: usize = 64;
const DEADLINE_MS: u32 = 10_000;
/// Workspaces, each with one class of the same name.
const ONCE: &str = "once";
const REPEATABLE: &str = "repeatable";
/// Time for links and watches to settle before the first request.
const SETTLE: Duration = Duration::from_secs(2);

/// Adds the command's flags.
pub fn add_flags(options: &mut Options) {
    let rates = "requests a second to measure; 10,100,1000 without it";
    options.optopt("", "rates", rates, "LIST");
}

/// Calls to the platform a second, control's own included.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct StoreRates {
    /// Conditional updates.
    pub writes: f64,
    /// Updates among them that met another version.
    pub conflicts: f64,
    /// Reads of one object.
    pub reads: f64,
    /// Calls of any kind, watches and listings included.
    pub calls: f64,
}

/// One load of one class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassCost {
    /// What callers saw.
    #[serde(flatten)]
    pub load: LoadSummary,
    /// What the platform saw meanwhile.
    pub platform: StoreRates,
}

/// Result for one rate.
#[derive(Clone, Debug, Serialize)]
pub struct OnceCost {
    /// Requests a second asked for.
    pub rate: f64,
    /// Length of each load.
    pub seconds: u64,
    /// Requests that may not be repeated.
    pub once: ClassCost,
    /// The same calls in a class that may be repeated.
    pub repeatable: ClassCost,
    /// Keys that may not be repeated and ran more than once, from the services' books.
    pub doubled_runs: u64,
    /// Difference of the medians.
    pub added_p50_ms: f64,
    /// Difference of the 99th percentiles.
    pub added_p99_ms: f64,
    /// Invariants violated in this process so far.
    pub violations: u64,
}

/// Measures each rate in turn, on a deployment of its own, and prints a JSON line for
/// each.
///
/// # Errors
///
/// Returns an error for rates that cannot be used, when a deployment does not start,
/// and when a key ran more than once or an invariant was violated.
pub async fn run(matches: Matches) -> Result<()> {
    let list = matches.opt_str("rates");
    let list = list.unwrap_or_else(|| "10,100,1000".to_owned());
    let seconds = matches.opt_get_default("seconds", 10)?;
    let seed = matches.opt_get_default("seed", 1)?;
    for number in list.split(',') {
        let rate: f64 = number
            .trim()
            .parse()
            .wrap_err_with(|| format!("--rates has {number:?}; give numbers"))?;
        ensure!(rate > 0.0, "--rates has {number}; give more than 0");
        let cost = measure(rate, seconds, seed).await?;
        println!("{}", serde_json::to_string(&cost)?);
        ensure!(
            cost.doubled_runs == 0,
            "{} keys ran more than once",
            cost.doubled_runs
        );
        ensure!(
            cost.violations == 0,
            "{} invariants were violated",
            cost.violations
        );
    }
    Ok(())
}

/// Measures one rate on a deployment of its own: first the class that may be
/// repeated, then the one that may not.
///
/// # Errors
///
/// Returns an error when the deployment does not start.
pub async fn measure(rate: f64, seconds: u64, seed: u64) -> Result<OnceCost> {
    let fleet = LabFleet::start(plan()).await?;
    tokio::time::sleep(SETTLE).await;
    let config = LoadConfig {
        addresses: fleet.addresses(),
        seed,
        rate,
        duration_ms: seconds * 1_000,
        ..LoadConfig::default()
    };
    let repeatable = class_cost(&fleet, &config, REPEATABLE).await?;
    let once = class_cost(&fleet, &config, ONCE).await?;
    let doubled_runs = doubled_runs(&fleet);
    fleet.stop().await;
    Ok(OnceCost {
        rate,
        seconds,
        added_p50_ms: once.load.total_p50_ms - repeatable.load.total_p50_ms,
        added_p99_ms: once.load.total_p99_ms - repeatable.load.total_p99_ms,
        once,
        repeatable,
        doubled_runs,
        violations: violation_count(),
    })
}

async fn class_cost(fleet: &LabFleet, config: &LoadConfig, name: &str) -> Result<ClassCost> {
    let config = LoadConfig {
        classes: vec![load_class(name)],
        ..config.clone()
    };
    let before = fleet.platform.books();
    let begun = Instant::now();
    let tally = run_load(&config).await?;
    let taken = begun.elapsed();
    let after = fleet.platform.books();
    Ok(ClassCost {
        load: tally.summary(),
        platform: store_rates(&before, &after, taken),
    })
}

fn store_rates(before: &PlatformBooks, after: &PlatformBooks, taken: Duration) -> StoreRates {
    let a_second = |from: u64, to: u64| (to - from) as f64 / taken.as_secs_f64();
    StoreRates {
        writes: a_second(before.write, after.write),
        conflicts: a_second(before.conflicts, after.conflicts),
        reads: a_second(before.read, after.read),
        calls: a_second(calls(before), calls(after)),
    }
}

fn calls(books: &PlatformBooks) -> u64 {
    books.read + books.write + books.list + books.watch + books.instances
}

/// Counts keys that may not be repeated and ran more than once, at all instances.
fn doubled_runs(fleet: &LabFleet) -> u64 {
    let prefix = format!("{ONCE}/");
    let mut runs = indexmap::IndexMap::<String, u32>::new();
    for service in fleet.services.values() {
        let books = service.books().runs;
        for (key, count) in books.into_iter().filter(|(k, _)| k.starts_with(&prefix)) {
            *runs.entry(key).or_default() += count;
        }
    }
    runs.values().filter(|count| **count > 1).count() as u64
}

fn plan() -> FleetPlan {
    FleetPlan {
        daemons: DAEMONS,
        engines: 0,
        services: SERVICES,
        service_name: SERVICE.to_owned(),
        service: ServiceOptions {
            work_ms: WORK_MS,
            concurrency: CONCURRENCY,
            ..ServiceOptions::default()
        },
        items: items(),
        ..FleetPlan::default()
    }
}

fn items() -> Vec<ItemSpec> {
    let mut items = Vec::new();
    for name in [ONCE, REPEATABLE] {
        items.push(ItemSpec::Workspace(WorkspaceSpec {
            name: name.into(),
            weight: 1,
            key_hashes: vec![hash_of(&workspace_key(name))],
        }));
        items.push(ItemSpec::Class(ClassSpec {
            workspace: name.into(),
            name: name.into(),
            deadline_ms: DEADLINE_MS,
            priority: 0,
            repeatable: name == REPEATABLE,
            target: ClassTarget::Service(SERVICE.into()),
        }));
    }
    items
}

fn workspace_key(name: &str) -> String {
    format!("{name}-key")
}

fn load_class(name: &str) -> LoadClass {
    LoadClass {
        workspace: name.to_owned(),
        key: workspace_key(name),
        class: name.to_owned(),
        is_service: true,
        deadline_ms: DEADLINE_MS,
        ..LoadClass::default()
    }
}
