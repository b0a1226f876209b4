//! What control costs a daemon: processor time, bytes between daemons and calls to the
//! platform, by the number of daemons, idle and while operators change things.

use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, bail, ensure};
use getopts::{Matches, Options};
use hdrhistogram::Histogram;
use pistachiowick::config::catalogue::{ItemName, ItemSpec};
use pistachiowick::control::{ControlEvent, ItemChange};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::fleet::{FleetPlan, LabFleet};
use crate::platform_state::PlatformBooks;
use crate::process_stat::thread_time;
use crate::quickstart::quickstart_plan;

/// Name of the control threads.
const CONTROL_THREAD: &str = "control";
const PEER_BYTES: &str = "pistachiowick_peer_bytes_total";
const ENGINES: usize = 12;
const CENTRES: usize = 4;
/// Time for links and watches to settle before the first reading.
const SETTLE: Duration = Duration::from_secs(5);
/// Changes of configuration a second in the second half.
const CHANGE_PACE: Duration = Duration::from_millis(250);
const FORCE_CHECK: Duration = Duration::from_millis(1);
/// Longest wait for a change to be in force everywhere.
const FORCE_TIME: Duration = Duration::from_secs(20);

/// Adds the command's flags.
pub fn add_flags(options: &mut Options) {
    let daemons = "numbers of daemons to measure; 8,16,32,64 without it";
    options.optopt("", "daemons", daemons, "LIST");
}

/// Calls to the platform a second.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CallRates {
    /// Reads of one object.
    pub read: f64,
    /// Conditional updates.
    pub write: f64,
    /// Listings.
    pub list: f64,
    /// Watches.
    pub watch: f64,
    /// Reads of the instance list.
    pub instances: f64,
}

/// Control over a stretch of time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ControlRates {
    /// Per cent of a core, per daemon.
    pub core_percent: f64,
    /// Bytes a second sent to other daemons, per daemon.
    pub peer_bytes: f64,
    /// Calls to the platform a second by all daemons.
    pub platform: CallRates,
}

/// Time from an operator's change to its being in force on every daemon.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ForceTimes {
    /// Changes made.
    pub changes: u64,
    /// Median in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile in milliseconds.
    pub p99_ms: f64,
    /// Longest in milliseconds.
    pub max_ms: f64,
}

/// Result for one number of daemons.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ControlCost {
    /// Daemons.
    pub daemons: usize,
    /// Engines.
    pub engines: usize,
    /// With nothing to do.
    pub idle: ControlRates,
    /// With changes of configuration.
    pub changing: ControlRates,
    /// How long changes took.
    pub in_force: ForceTimes,
}

#[derive(Clone, Debug)]
struct ControlReading {
    at: Instant,
    time: Duration,
    peer_bytes: f64,
    books: PlatformBooks,
}

/// Measures each number of daemons in turn and prints a JSON line for each.
///
/// # Errors
///
/// Returns an error for numbers that cannot be used, and when a deployment does not
/// start or a change does not come into force.
pub async fn run(matches: Matches) -> Result<()> {
    let list = matches.opt_str("daemons");
    let list = list.unwrap_or_else(|| "8,16,32,64".to_owned());
    let seconds = matches.opt_get_default("seconds", 10)?;
    for number in list.split(',') {
        let daemons: usize = number
            .trim()
            .parse()
            .wrap_err_with(|| format!("--daemons has {number:?}; give whole numbers"))?;
        ensure!(daemons > 0, "--daemons has 0; give at least 1");
        let cost = measure(daemons, Duration::from_secs(seconds)).await?;
        println!("{}", serde_json::to_string(&cost)?);
    }
    Ok(())
}

async fn measure(daemons: usize, span: Duration) -> Result<ControlCost> {
    let fleet = LabFleet::start(plan(daemons)).await?;
    tokio::time::sleep(SETTLE).await;
    let begun = reading(&fleet).await?;
    tokio::time::sleep(span).await;
    let rested = reading(&fleet).await?;
    let in_force = change_for(&fleet, span).await?;
    let changed = reading(&fleet).await?;
    fleet.stop().await;
    Ok(ControlCost {
        daemons,
        engines: ENGINES,
        idle: rates(&begun, &rested, daemons),
        changing: rates(&rested, &changed, daemons),
        in_force,
    })
}

/// The quickstart's deployment with the pace of the shipped settings.
fn plan(daemons: usize) -> FleetPlan {
    let base = quickstart_plan();
    let tweak = base.tweak.clone();
    FleetPlan {
        centres: (0..CENTRES).map(|n| format!("centre-{n}")).collect(),
        daemons,
        engines: ENGINES,
        tweak: std::sync::Arc::new(move |settings| {
            tweak(settings);
            settings.platform.instances_ms = 1_000;
            settings.peers.hint_ms = 500;
        }),
        ..base
    }
}

async fn reading(fleet: &LabFleet) -> Result<ControlReading> {
    let (time, threads) = thread_time(CONTROL_THREAD)?;
    let daemons = fleet.daemons.len();
    ensure!(
        threads == daemons,
        "{threads} control threads of {daemons} daemons are seen"
    );
    Ok(ControlReading {
        at: Instant::now(),
        time,
        peer_bytes: peer_bytes(fleet).await?,
        books: fleet.platform.books(),
    })
}

/// Reads the counter of this process, in which all daemons run.
async fn peer_bytes(fleet: &LabFleet) -> Result<f64> {
    let Some(daemon) = fleet.daemons.values().next() else {
        return Ok(0.0);
    };
    let page = reqwest::get(format!("http://{}/metrics", daemon.admin)).await?;
    let text = page.error_for_status()?.text().await?;
    let line = text.lines().find_map(|line| line.strip_prefix(PEER_BYTES));
    // The counter is there from the first message on.
    line.map_or(Ok(0.0), |value| Ok(value.trim().parse()?))
}

fn rates(from: &ControlReading, to: &ControlReading, daemons: usize) -> ControlRates {
    let seconds = to.at.duration_since(from.at).as_secs_f64();
    let each = daemons as f64;
    let a_second = |from: u64, to: u64| (to - from) as f64 / seconds;
    let (old, new) = (&from.books, &to.books);
    ControlRates {
        core_percent: (to.time - from.time).as_secs_f64() / seconds / each * 100.0,
        peer_bytes: (to.peer_bytes - from.peer_bytes) / seconds / each,
        platform: CallRates {
            read: a_second(old.read, new.read),
            write: a_second(old.write, new.write),
            list: a_second(old.list, new.list),
            watch: a_second(old.watch, new.watch),
            instances: a_second(old.instances, new.instances),
        },
    }
}

/// Changes a workspace's weight again and again, each time through another daemon.
async fn change_for(fleet: &LabFleet, span: Duration) -> Result<ForceTimes> {
    let mut times = Histogram::<u64>::new(3)?;
    let begun = Instant::now();
    let mut turn = 0;
    while begun.elapsed() < span {
        let next = tokio::time::sleep(CHANGE_PACE);
        let taken = change_once(fleet, turn % fleet.daemons.len()).await?;
        times.record(taken.as_micros() as u64)?;
        turn += 1;
        next.await;
    }
    let ms = |micros: u64| micros as f64 / 1_000.0;
    Ok(ForceTimes {
        changes: times.len(),
        p50_ms: ms(times.value_at_quantile(0.5)),
        p99_ms: ms(times.value_at_quantile(0.99)),
        max_ms: ms(times.max()),
    })
}

async fn change_once(fleet: &LabFleet, through: usize) -> Result<Duration> {
    let control = &fleet.daemons[through].context().control;
    let (change, item) = next_change(fleet, through)?;
    let (reply, report) = oneshot::channel();
    let begun = Instant::now();
    if control
        .events
        .send(ControlEvent::Change { change, reply })
        .is_err()
    {
        bail!("a control thread has ended");
    }
    // The report says who confirmed; what is measured is when each daemon has it.
    let target = revision_of(fleet, through, &item) + 1;
    loop {
        let all = 0..fleet.daemons.len();
        if all
            .into_iter()
            .all(|d| revision_of(fleet, d, &item) >= target)
        {
            break;
        }
        let waited = begun.elapsed();
        ensure!(
            waited < FORCE_TIME,
            "a change is not in force after {waited:?}"
        );
        tokio::time::sleep(FORCE_CHECK).await;
    }
    let taken = begun.elapsed();
    report.await.wrap_err("a change got no answer")??;
    Ok(taken)
}

fn next_change(fleet: &LabFleet, through: usize) -> Result<(ItemChange, ItemName)> {
    let snapshot = fleet.daemons[through].context().control.snapshot.load();
    let mut items = snapshot.config.items.iter();
    let found = items.find_map(|(name, record)| match &record.spec {
        Some(ItemSpec::Workspace(workspace)) => Some((name, record.revision, workspace)),
        _ => None,
    });
    let Some((name, revision, workspace)) = found else {
        bail!("the configuration has no workspace");
    };
    let mut workspace = workspace.clone();
    workspace.weight = workspace.weight % 5 + 1;
    let change = ItemChange {
        item: name.clone(),
        spec: Some(ItemSpec::Workspace(workspace)),
        based_on: revision,
    };
    Ok((change, name.clone()))
}

fn revision_of(fleet: &LabFleet, daemon: usize, item: &ItemName) -> u64 {
    let snapshot = fleet.daemons[daemon].context().control.snapshot.load();
    snapshot.config.items.get(item).map_or(0, |r| r.revision)
}
