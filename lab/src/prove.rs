//! A randomised run of real daemons over the stand-ins, with faults drawn from a seed.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use eyre::{Result, ensure};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Mutex;
use tokio::task::JoinSet;

use crate::load::{PlannedRequest, plan_requests};
use crate::prove_addresses::AddressBook;
use crate::prove_audit::{close_keys, find_leaks, find_recovery, lift_holds, shown_items};
use crate::prove_books::{RequestBook, RunBooks};
use crate::prove_callers::{RequestCaller, draw_habit};
use crate::prove_faults::FaultRunner;
use crate::prove_fleet::{ProveFleet, SharedFleet};
use crate::prove_metrics;
use crate::prove_operators::{self, OperatorBooks, lock};
use crate::prove_plan::draw_faults;
use crate::prove_setup::{ProveOptions, WORKSPACES, kind_of, prove_load};
use crate::prove_verdict::{ProveReport, judge};
use crate::quickstart::{violation_count, workspace_key};

/// Findings of one kind that are printed.
const SHOWN_FINDINGS: usize = 12;

/// Operators who race.
const OPERATORS: u64 = 3;

static PANICS: AtomicU64 = AtomicU64::new(0);

/// Counts a panic of a daemon that runs as a process.
pub fn note_panic() {
    PANICS.fetch_add(1, Ordering::Relaxed);
}

/// Counts panics of any task of this process, and prints them as before.
pub fn count_panics() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        print(info);
    }));
}

/// Prints the verdict: findings to standard error, one JSON line to standard output.
///
/// # Errors
///
/// Returns an error when a promise was broken, or the bench itself failed.
pub async fn prove(options: &ProveOptions) -> Result<()> {
    count_panics();
    let report = run_prove(options).await?;
    print_findings(&report.findings);
    println!("{}", serde_json::to_string(&report)?);
    ensure!(report.is_clean(), "seed {} broke a promise", options.seed);
    Ok(())
}

/// Prints the first findings of each kind; one cause often has hundreds.
fn print_findings(findings: &[String]) {
    let mut counts: IndexMap<&str, usize> = IndexMap::new();
    for finding in findings {
        let kind = finding.split(':').next().unwrap_or_default();
        let count = counts.entry(kind).or_default();
        *count += 1;
        if *count <= SHOWN_FINDINGS {
            eprintln!("{finding}");
        }
    }
}

/// Runs one seed and judges it.
///
/// # Errors
///
/// Returns an error when the bench itself failed.
pub async fn run_prove(options: &ProveOptions) -> Result<ProveReport> {
    let mut books = run_books(options).await?;
    if let Some(plant) = options.plant {
        plant.plant_books(&mut books);
    }
    Ok(judge(options, &books))
}

/// Runs one seed and returns what was written down.
///
/// # Errors
///
/// Returns an error when the bench itself failed.
pub async fn run_books(options: &ProveOptions) -> Result<RunBooks> {
    let violations_before = violation_count();
    let panics_before = PANICS.load(Ordering::Relaxed);
    let fleet = ProveFleet::start(options).await?;
    let addresses = fleet.addresses.clone();
    let fleet: SharedFleet = Arc::new(Mutex::new(fleet));
    let operators = Arc::new(OperatorBooks::default());
    let mut helpers = start_helpers(&fleet, &addresses, &operators, options);
    let callers = tokio::spawn(send_all(addresses, planned(options)?, options.clone()));
    let mut runner = FaultRunner::default();
    run_faults(&fleet, &mut runner, options).await?;
    say(options, "all faults have ended");
    lift_holds(&fleet).await;
    let recovery = find_recovery(&fleet, options).await;
    if recovery.recovery_ms.is_none() {
        say(
            options,
            &format!("no full service: {}", recovery.last_failure),
        );
    }
    let callers = callers.await?;
    close_keys(&callers, options.seed).await;
    let mut requests: Vec<RequestBook> = callers.iter().map(|c| c.take_book()).collect();
    requests.extend(recovery.requests);
    helpers.races.abort_all();
    let changes = lock(&operators.changes).clone();
    let shown = shown_items(&fleet, &changes).await;
    let leaks = find_leaks(&fleet).await;
    helpers.watches.abort_all();
    let Some(fleet) = Arc::into_inner(fleet_of(fleet, helpers).await) else {
        eyre::bail!("a part of the run still holds the deployment");
    };
    let fleet = fleet.into_inner();
    let books = RunBooks {
        faults: runner.counts,
        blind: runner.blind,
        requests,
        lives: fleet.lives.clone(),
        engines: fleet.engine_books(),
        services: fleet.service_books(),
        holds: fleet.holds.clone(),
        changes,
        reverts: lock(&operators.reverts).clone(),
        shown,
        recovery_ms: recovery.recovery_ms,
        leaks,
        violations: violation_count() - violations_before,
        panics: PANICS.load(Ordering::Relaxed) - panics_before,
    };
    fleet.end().await;
    Ok(books)
}

/// Tasks beside faults and callers.
struct HelperTasks {
    races: JoinSet<()>,
    watches: JoinSet<()>,
}

/// Ends the helpers, so that they let go of the deployment.
async fn fleet_of(fleet: SharedFleet, helpers: HelperTasks) -> SharedFleet {
    let HelperTasks {
        mut races,
        mut watches,
    } = helpers;
    races.shutdown().await;
    watches.shutdown().await;
    fleet
}

fn start_helpers(
    fleet: &SharedFleet,
    addresses: &Arc<AddressBook>,
    operators: &Arc<OperatorBooks>,
    options: &ProveOptions,
) -> HelperTasks {
    let mut races = JoinSet::new();
    let mut watches = JoinSet::new();
    for number in 0..OPERATORS {
        let seed = options.seed.wrapping_add(number << 32);
        races.spawn(prove_operators::race(
            fleet.clone(),
            operators.clone(),
            seed,
        ));
    }
    for slot in 0..options.daemons {
        let looks = prove_operators::watch(fleet.clone(), operators.clone(), slot);
        watches.spawn(looks);
        watches.spawn(prove_metrics::watch(fleet.clone(), slot));
    }
    let random = SmallRng::seed_from_u64(options.seed);
    watches.spawn(
        addresses
            .clone()
            .refresh(workspace_key(WORKSPACES[0]), random),
    );
    HelperTasks { races, watches }
}

fn planned(options: &ProveOptions) -> Result<Vec<PlannedRequest>> {
    let mut planned = plan_requests(&prove_load(options))?;
    if let Some(plant) = options.plant {
        plant.plant_requests(&mut planned);
    }
    Ok(planned)
}

/// Sends every planned request at its time; returns the callers once all have ended.
async fn send_all(
    addresses: Arc<AddressBook>,
    planned: Vec<PlannedRequest>,
    options: ProveOptions,
) -> Vec<Arc<RequestCaller>> {
    let begun = Instant::now();
    let classes = prove_load(&options).classes;
    let mut random = SmallRng::seed_from_u64(!options.seed);
    let mut tasks = JoinSet::new();
    for request in planned {
        tokio::time::sleep_until((begun + request.at).into()).await;
        let class = &classes[request.class];
        let kind = kind_of(class);
        let habit = draw_habit(kind, &mut random);
        let caller = RequestCaller::new(addresses.clone(), &class.workspace, kind, request);
        let seed = random.random();
        tasks.spawn(async move {
            caller.clone().run(habit, seed).await;
            caller
        });
    }
    tasks.join_all().await
}

async fn run_faults(
    fleet: &SharedFleet,
    runner: &mut FaultRunner,
    options: &ProveOptions,
) -> Result<()> {
    let begun = Instant::now();
    let stretch = options.fault_stretch();
    for fault in draw_faults(options.seed, stretch, options.daemon_program.is_some()) {
        tokio::time::sleep_until((begun + fault.at).into()).await;
        let at = begun.elapsed().as_secs_f64();
        let (kind, subject) = (fault.kind.as_str(), fault.subject);
        let span = fault.span.as_millis();
        say(
            options,
            &format!("{at:7.3} {kind} subject {subject} for {span} ms"),
        );
        runner.begin(fleet, fault);
    }
    runner.finish().await?;
    let rest = stretch.saturating_sub(begun.elapsed());
    tokio::time::sleep(rest.min(Duration::from_secs(1))).await;
    Ok(())
}

fn say(options: &ProveOptions, text: &str) {
    if options.prints_faults {
        eprintln!("{text}");
    }
}
