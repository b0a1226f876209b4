//! Targets behind the gRPC interface that state that they leave, or refuse requests for a time.

use std::time::Duration;

use pistachiowick_lab::engine_options::EngineFaults;
use pistachiowick_lab::fleet::{FleetPlan, LabFleet};
use pistachiowick_lab::load::{LoadConfig, run_load};
use pistachiowick_lab::quickstart::{quickstart_load, quickstart_plan};
use pistachiowick_lab::service::ServiceFaults;
use pistachiowick_lab::statement_book::{StandInStatement, StatedArrival};
use rstest::rstest;

/// Bounds that users rely on: a target that states its departure in an answer gets no request
/// after this time, and one that refuses for a time gets at most so many requests from a daemon
/// between this time after its refusal and the end of that time.
const DEPARTURE_BOUND_MS: u64 = 2_000;
const BACKOFF_START_MS: u64 = 500;
const MAX_IN_BACKOFF: usize = 2;
const BACKOFF_MS: u64 = 3_000;
const RATE: f64 = 60.0;
const LOAD_TIME: Duration = Duration::from_secs(7);

struct StatementCase {
    statement: StandInStatement,
    daemons: usize,
}

// Returns the requests that arrived too late after the first answer that states the departure.
fn late_arrivals(arrivals: &[StatedArrival]) -> usize {
    let first = arrivals.iter().find(|arrival| arrival.statement.leaves);
    let Some(first) = first else {
        return 0;
    };
    let bound = first.at_ms + DEPARTURE_BOUND_MS;
    arrivals.iter().filter(|a| a.at_ms > bound).count()
}

// Returns the most requests within a backoff.
fn most_in_a_backoff(arrivals: &[StatedArrival]) -> usize {
    let counts = arrivals.iter().filter_map(|refused| {
        let backoff_ms = refused.statement.backoff_ms?;
        let span = refused.at_ms + BACKOFF_START_MS..refused.at_ms + backoff_ms;
        Some(arrivals.iter().filter(|a| span.contains(&a.at_ms)).count())
    });
    counts.max().unwrap_or(0)
}

// Guards against requests over gRPC that reach a target after it stated its departure, or during
// the backoff that it asked for, and against requests that are refused while others have room.
#[rstest]
#[case::leaves(StatementCase { statement: StandInStatement { leaves: true, backoff_ms: None }, daemons: 3 })]
#[case::refuses(StatementCase { statement: StandInStatement { leaves: false, backoff_ms: Some(BACKOFF_MS) }, daemons: 1 })]
#[tokio::test(flavor = "multi_thread")]
async fn targets_are_left_alone_as_they_state(#[case] case: StatementCase) {
    let plan = FleetPlan {
        engines: 4,
        daemons: case.daemons,
        ..quickstart_plan()
    };
    let fleet = LabFleet::start(plan).await.expect("a fleet");
    let (engine_name, engine) = fleet.engines.first().expect("an engine");
    // With little load, the last service gets nearly all calls.
    let (service_name, service) = fleet.services.last().expect("a service");
    engine.set_faults(EngineFaults {
        statement: case.statement,
        ..EngineFaults::default()
    });
    service.set_faults(ServiceFaults {
        statement: case.statement,
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
    // A call under a key is claimed for one target; if that one refuses it, its caller is told.
    let claimed = service.books().refused;
    for (name, stated) in [
        (engine_name, engine.books().stated),
        (service_name, service.books().stated),
    ] {
        assert!(!stated.is_empty(), "{name} got no request");
        assert_eq!(late_arrivals(&stated), 0, "{name}: {stated:?}");
        let most = most_in_a_backoff(&stated);
        assert!(most <= MAX_IN_BACKOFF, "{name} got {most} in a backoff");
    }
    assert!(counts.refused_not_run <= claimed, "{counts:?}");
    assert!(counts.answered > 0);
    fleet.stop().await;
}
