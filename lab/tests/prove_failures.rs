//! Failures that randomised runs found, each as the caller sees it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use pistachiowick::clock::unix_now;
use pistachiowick::invariants::{Invariant, violations};
use pistachiowick::pb::answer_event::Event;
use pistachiowick::pb::requests_client::RequestsClient;
use pistachiowick::pb::{Final, Outcome, SubmitRequest};
use pistachiowick_lab::fleet::{FleetPlan, LabFleet, with_key};
use pistachiowick_lab::prove_setup::prove_items;
use pistachiowick_lab::quickstart::{MODEL, quickstart_plan, workspace_key};
use tonic::Status;

const WORKSPACE: &str = "rowing";

/// Longest wait for something that must happen.
const LIMIT: Duration = Duration::from_secs(20);

fn small_plan() -> FleetPlan {
    FleetPlan {
        daemons: 2,
        engines: 1,
        services: 1,
        items: prove_items(),
        ..quickstart_plan()
    }
}

fn submit(class: &str, key: &str) -> SubmitRequest {
    SubmitRequest {
        key: key.to_owned(),
        key_minted_at_ms: unix_now().0,
        first_submission: true,
        class: class.to_owned(),
        model: MODEL.to_owned(),
        prompt: format!("out=20 {key}").into_bytes(),
        prompt_tokens: 100,
        max_output_tokens: 20,
        deadline_ms: 5_000,
        ..SubmitRequest::default()
    }
}

/// Submits to one daemon and returns the final outcome.
async fn ask(fleet: &LabFleet, daemon: &str, submit: SubmitRequest) -> Result<Final, Status> {
    let address = fleet.daemons[daemon].rpc;
    let connected = RequestsClient::connect(format!("http://{address}")).await;
    let mut client = connected.expect("the daemon listens");
    let request = with_key(submit, &workspace_key(WORKSPACE));
    let mut events = client.submit(request).await?.into_inner();
    while let Some(event) = events.message().await? {
        if let Some(Event::Final(last)) = event.event {
            return Ok(last);
        }
    }
    Err(Status::data_loss("no final outcome"))
}

async fn until(holds: impl Fn() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < LIMIT, "it did not come to pass");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

// The caller is told "not run", and the daemon counts a broken promise although it
// is true: a stream that may not be repeated was marked as dispatched before its
// claim, its one engine refused it, and the mark stayed. (Seeds 1 and 2.)
#[tokio::test]
async fn a_keyed_stream_that_its_engine_refuses_is_truly_not_run() {
    let fleet = LabFleet::start(small_plan()).await.expect("it starts");
    fleet.engines["engine-00"].leave();
    let before = violations(Invariant::NotRunIsTrue);
    let last = ask(&fleet, "entry-0", submit("receipt", "refused")).await;
    let last = last.expect("a final outcome");
    assert_eq!(last.outcome(), Outcome::RefusedNotRun, "{}", last.reason);
    assert_eq!(violations(Invariant::NotRunIsTrue), before);
    assert!(fleet.engines["engine-00"].books().streams.is_empty());
    fleet.stop().await;
}

// A caller who keeps the address of a daemon is turned away with an error, although
// the daemon promised to serve for as long as callers keep its address: a planned
// stop took readiness away at once, and calls were judged by readiness. (Seed 1.)
#[tokio::test]
async fn a_stopping_daemon_serves_while_callers_keep_its_address() {
    let plan = FleetPlan {
        tweak: Arc::new(|settings| settings.shutdown.keep_ms = 60_000),
        ..small_plan()
    };
    let mut fleet = LabFleet::start(plan).await.expect("it starts");
    let stopping = fleet.daemons.shift_remove("entry-1").expect("it runs");
    let address = stopping.rpc;
    let context = stopping.context().clone();
    let stopped = tokio::spawn(stopping.stop());
    until(|| context.control.snapshot.load().stopping).await;
    let connected = RequestsClient::connect(format!("http://{address}")).await;
    let mut client = connected.expect("it still listens");
    for class in ["check", "issue"] {
        let request = with_key(submit(class, class), &workspace_key(WORKSPACE));
        let mut events = client.submit(request).await.expect("taken").into_inner();
        let mut last = None;
        while let Some(event) = events.message().await.expect("not cut") {
            if let Some(Event::Final(end)) = event.event {
                last = Some(end.outcome());
            }
        }
        assert_eq!(last, Some(Outcome::Answered), "{class}");
    }
    stopped.abort();
    fleet.stop().await;
}
