//! Targets that limit the rate of their requests, behind the gRPC interface.

use std::time::Duration;

use pistachiowick_lab::engine_options::EngineFaults;
use pistachiowick_lab::fleet::{FleetPlan, LabFleet};
use pistachiowick_lab::limit_book::LimitedArrival;
use pistachiowick_lab::load::{LoadConfig, run_load};
use pistachiowick_lab::quickstart::{quickstart_load, quickstart_plan};
use pistachiowick_lab::service::ServiceFaults;

/// Bounds that users rely on: from this time after a limit is first named, its target gets in
/// any window at most this multiple of what the limit allows, and some requests more.
const PROPAGATION_MS: u64 = 3_000;
const WINDOW_MS: u64 = 4_000;
const MAX_EXCESS: f64 = 1.5;
const ALLOWANCE: f64 = 5.0;
const LIMIT: f64 = 0.5;
const RATE: f64 = 60.0;
const LOAD_TIME: Duration = Duration::from_secs(14);
/// Share of the limit that callers get to use while they ask for more.
const MIN_USE: f64 = 0.5;

fn check(target: &str, arrivals: &[LimitedArrival]) {
    let named_at = arrivals.first().map_or(0, |first| first.named_at_ms);
    let judged: Vec<u64> = arrivals
        .iter()
        .map(|arrival| arrival.at_ms)
        .filter(|at| *at >= named_at + PROPAGATION_MS)
        .collect();
    let counts = judged.iter().map(|start| {
        let window = *start..*start + WINDOW_MS;
        judged.iter().filter(|at| window.contains(at)).count()
    });
    let most = counts.max().unwrap_or(0) as f64;
    let allowed = MAX_EXCESS * LIMIT * WINDOW_MS as f64 / 1_000.0 + ALLOWANCE;
    assert!(
        most <= allowed,
        "{target} got {most}, {allowed} are allowed"
    );
    let seconds = LOAD_TIME.as_secs_f64() - PROPAGATION_MS as f64 / 1_000.0;
    let least = MIN_USE * LIMIT * seconds;
    let used = judged.len() as f64;
    assert!(
        used >= least,
        "{target} got {used}, at least {least} were possible"
    );
}

// Guards against a target behind the gRPC interface that gets more requests than the limit
// that it names, and against requests that are refused while other targets have room.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_gets_no_more_than_its_limit_from_the_fleet() {
    let plan = FleetPlan {
        engines: 4,
        ..quickstart_plan()
    };
    let fleet = LabFleet::start(plan).await.expect("a fleet");
    let (engine_name, engine) = fleet.engines.first().expect("an engine");
    // With little load, the last service gets nearly all calls.
    let (service_name, service) = fleet.services.last().expect("a service");
    engine.set_faults(EngineFaults {
        rate_limit: Some(LIMIT),
        ..EngineFaults::default()
    });
    service.set_faults(ServiceFaults {
        rate_limit: Some(LIMIT),
        ..ServiceFaults::default()
    });
    let config = LoadConfig {
        addresses: fleet.addresses(),
        seed: 1,
        rate: RATE,
        duration_ms: LOAD_TIME.as_millis() as u64,
        classes: quickstart_load(),
        ..LoadConfig::default()
    };
    let tally = run_load(&config).await.expect("a load");
    let counts = tally.summary().counts;
    check(engine_name, &engine.books().limited);
    check(service_name, &service.books().limited);
    assert_eq!(counts.refused_not_run, 0, "{counts:?}");
    assert!(counts.answered > 0);
    fleet.stop().await;
}
