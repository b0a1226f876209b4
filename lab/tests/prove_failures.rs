//! Failures that randomised runs found, each as the caller sees it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use pistachiowick::clock::unix_now;
use pistachiowick::invariants::{Invariant, violations};
use pistachiowick::membership::fleet::UseState;
use pistachiowick::names::TargetId;
use pistachiowick::pb::answer_event::Event;
use pistachiowick::pb::requests_client::RequestsClient;
use pistachiowick::pb::{
    AnswerEvent, CancelRequest, Final, Outcome, OutcomeRequest, RecordState, ResumeRequest,
    SubmitRequest,
};
use pistachiowick_lab::fleet::{FleetPlan, LabFleet, daemon_settings, with_key};
use pistachiowick_lab::platform::PlatformFaults;
use pistachiowick_lab::prove_daemon::DaemonHost;
use pistachiowick_lab::prove_setup::prove_items;
use pistachiowick_lab::quickstart::{MODEL, quickstart_plan, workspace_key};
use tonic::transport::Channel;
use tonic::{Status, Streaming};

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

/// Starts a fleet whose every daemon has placed a request on the engine.
async fn started(plan: FleetPlan) -> LabFleet {
    let fleet = LabFleet::start(plan).await.expect("it starts");
    for daemon in fleet.daemons.keys() {
        let begun = Instant::now();
        loop {
            let last = ask(&fleet, daemon, submit("check", "warm")).await;
            if last.is_ok_and(|last| last.outcome() == Outcome::Answered) {
                break;
            }
            assert!(begun.elapsed() < LIMIT, "{daemon} answers nothing");
        }
    }
    fleet
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
    let fleet = started(small_plan()).await;
    fleet.engines["engine-00"].leave();
    let before = violations(Invariant::NotRunIsTrue);
    let streams = fleet.engines["engine-00"].books().streams.len();
    let last = ask(&fleet, "entry-0", submit("receipt", "refused")).await;
    let last = last.expect("a final outcome");
    assert_eq!(last.outcome(), Outcome::RefusedNotRun, "{}", last.reason);
    assert_eq!(violations(Invariant::NotRunIsTrue), before);
    let after = fleet.engines["engine-00"].books().streams.len();
    assert_eq!(after, streams);
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
    let mut fleet = started(plan).await;
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

// A caller who came back to another daemon loses its answer in a planned stop, and
// cannot cancel: a resumed request was not counted as running, so the daemon did not
// wait for it, and a cancel found nothing to stop there.
#[tokio::test]
async fn a_resumed_request_counts_as_running_and_can_be_cancelled() {
    let mut plan = small_plan();
    plan.engine.time_scale = 0.5;
    let fleet = started(plan).await;
    let key = workspace_key(WORKSPACE);
    let long = SubmitRequest {
        prompt: b"out=4000 long".to_vec(),
        max_output_tokens: 4_000,
        deadline_ms: 120_000,
        ..submit("review", "long")
    };
    let mut first = client(&fleet, "entry-0").await;
    let begun = first.submit(with_key(long.clone(), &key)).await;
    let (token, _) = until_chunk(&mut begun.expect("taken").into_inner()).await;
    let mut second = client(&fleet, "entry-1").await;
    let resume = ResumeRequest {
        resume_token: token,
        offset: 0,
        submit: Some(long),
    };
    let resumed = second.resume(with_key(resume, &key)).await;
    let mut events = resumed.expect("taken").into_inner();
    let (token, _) = until_chunk(&mut events).await;
    let running = fleet.daemons["entry-1"].context();
    assert_eq!(running.running_count(), 1);
    let cancel = CancelRequest {
        resume_token: token,
    };
    let reply = second.cancel(with_key(cancel, &key)).await;
    assert!(reply.expect("taken").into_inner().stopped);
    let last = final_of(&mut events).await;
    assert_eq!(last.outcome(), Outcome::Cancelled, "{}", last.reason);
    until(|| running.running_count() == 0).await;
    fleet.stop().await;
}

async fn client(fleet: &LabFleet, daemon: &str) -> RequestsClient<Channel> {
    let address = fleet.daemons[daemon].rpc;
    let connected = RequestsClient::connect(format!("http://{address}")).await;
    connected.expect("the daemon listens")
}

/// Reads up to the first bytes; returns the newest token and the offset after them.
async fn until_chunk(events: &mut Streaming<AnswerEvent>) -> (String, u64) {
    let mut token = String::new();
    loop {
        match next_event(events).await {
            Event::Accepted(accepted) => token = accepted.resume_token,
            Event::Chunk(chunk) => return (token, chunk.offset + chunk.data.len() as u64),
            Event::Final(last) => panic!("ended before any bytes: {last:?}"),
        }
    }
}

async fn final_of(events: &mut Streaming<AnswerEvent>) -> Final {
    loop {
        if let Event::Final(last) = next_event(events).await {
            return last;
        }
    }
}

async fn next_event(events: &mut Streaming<AnswerEvent>) -> Event {
    let event = events.message().await.expect("not cut").expect("not ended");
    event.event.expect("an event of a known kind")
}

// A caller was answered, the daemon was stopped as planned, and another daemon says
// that the outcome is unknown: ends of claims are recorded some time after the
// answer, and the planned stop did not wait for them.
#[tokio::test]
async fn a_planned_stop_records_the_ends_of_its_claims() {
    let fleet = started(small_plan()).await;
    let platform = fleet.platform.address();
    let mut settings = daemon_settings("entry-9", "centre-a", &platform);
    settings.shutdown.keep_ms = 50;
    // The claim takes the first write; its end has to wait for the next.
    settings.intents.commit_ms = 1_000;
    let host = DaemonHost::start_inside(settings).await;
    let host = host.expect("it starts");
    let connected = RequestsClient::connect(format!("http://{}", host.addresses.rpc)).await;
    let mut leaving = connected.expect("it listens");
    let key = workspace_key(WORKSPACE);
    // A daemon that has just started turns work away until it knows the service.
    let answered = async {
        for number in 0.. {
            let issue = submit("issue", &format!("stopped-{number}"));
            let Ok(events) = leaving.submit(with_key(issue.clone(), &key)).await else {
                continue;
            };
            if final_of(&mut events.into_inner()).await.outcome() == Outcome::Answered {
                return issue;
            }
        }
        unreachable!("numbers do not end");
    };
    let issue = tokio::time::timeout(LIMIT, answered).await;
    let issue = issue.expect("answered in time");
    host.stop().await.expect("it stops");
    let mut other = client(&fleet, "entry-0").await;
    let outcome = OutcomeRequest {
        key: issue.key,
        key_minted_at_ms: issue.key_minted_at_ms,
        settle: false,
    };
    let reply = other.outcome(with_key(outcome, &key)).await;
    let state = reply.expect("told").into_inner().state();
    assert_eq!(state, RecordState::Answered);
    fleet.stop().await;
}

// A club cancels the receipt it has just asked for, is told that it was stopped, and
// gets it all the same: a call of a service that may not be repeated goes on once it
// was sent, and the cancel counted it as stopped because it was running.
#[tokio::test]
async fn a_call_that_was_sent_is_not_said_to_be_stopped() {
    let mut plan = small_plan();
    plan.service.work_ms = 1_000;
    let fleet = started(plan).await;
    let key = workspace_key(WORKSPACE);
    let mut client = client(&fleet, "entry-0").await;
    let asked = client.submit(with_key(submit("issue", "sent"), &key)).await;
    let mut events = asked.expect("taken").into_inner();
    let token = loop {
        if let Event::Accepted(accepted) = next_event(&mut events).await
            && !accepted.target.is_empty()
        {
            break accepted.resume_token;
        }
    };
    until(|| fleet.services["service-00"].open_calls() == 1).await;
    let cancel = CancelRequest {
        resume_token: token,
    };
    let reply = client.cancel(with_key(cancel, &key)).await;
    assert!(!reply.expect("taken").into_inner().stopped);
    assert_eq!(final_of(&mut events).await.outcome(), Outcome::Answered);
    fleet.stop().await;
}

// A caller's answer is cut by a planned stop, or told and then not recorded: the stop
// waited until nothing ran, went on taking what still came while it recorded the ends
// of claims, and then ended under it. (Seed 203.)
#[tokio::test]
async fn a_stop_takes_nothing_more_once_its_last_request_has_ended() {
    let fleet = started(small_plan()).await;
    let platform = fleet.platform.address();
    let mut settings = daemon_settings("entry-9", "centre-a", &platform);
    settings.shutdown.keep_ms = 50;
    let host = DaemonHost::start_inside(settings).await;
    let host = host.expect("it starts");
    let context = host.context().expect("it is inside").clone();
    let connected = RequestsClient::connect(format!("http://{}", host.addresses.rpc)).await;
    let mut leaving = connected.expect("it listens");
    let key = workspace_key(WORKSPACE);
    let begun = Instant::now();
    // Answered, with its end still to be recorded when the platform goes down.
    while begun.elapsed() < LIMIT {
        let issue = submit("issue", &format!("last-{:?}", begun.elapsed()));
        let Ok(events) = leaving.submit(with_key(issue, &key)).await else {
            continue;
        };
        if final_of(&mut events.into_inner()).await.outcome() == Outcome::Answered {
            break;
        }
    }
    fleet.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let stopped = tokio::spawn(host.stop());
    until(|| context.closing.load(Ordering::Relaxed) && context.running_count() == 0).await;
    // Long enough for the daemon to see it too; it still waits for the platform.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!stopped.is_finished());
    let again = SubmitRequest {
        first_submission: false,
        ..submit("issue", "late")
    };
    let asked = leaving.submit(with_key(again, &key)).await;
    assert!(asked.is_err(), "it took a request that it cannot finish");
    drop(context);
    fleet.platform.set_faults(PlatformFaults::default());
    stopped.await.expect("no panic").expect("it stops");
    fleet.stop().await;
}

// A target that leaves goes on getting work, request after request: the platform is
// down, so that no list tells the daemon, and the target's own refusals, which say
// that it is leaving, were taken for any refusal. (Seed 203.)
#[tokio::test]
async fn a_target_that_says_it_is_leaving_gets_no_more_work() {
    let plan = FleetPlan {
        engines: 2,
        ..small_plan()
    };
    let fleet = started(plan).await;
    fleet.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    fleet.engines["engine-00"].leave();
    let context = fleet.daemons["entry-0"].context();
    // The dispatcher takes the news over a moment later: one start may be on its way.
    let is_known = || {
        let snapshot = context.control.snapshot.load();
        snapshot.fleet.targets[&TargetId::from("engine-00")].state == UseState::Leaving
    };
    let begun = Instant::now();
    while !is_known() {
        assert!(begun.elapsed() < LIMIT / 4, "the daemon did not learn it");
        let last = ask(&fleet, "entry-0", submit("check", "leaving")).await;
        assert!(last.is_ok(), "{last:?}");
    }
    let refused = fleet.engines["engine-00"].books().starts_after_leave.len();
    for number in 0..20 {
        let last = ask(&fleet, "entry-0", submit("check", &number.to_string())).await;
        assert_eq!(last.expect("told").outcome(), Outcome::Answered);
    }
    let after = fleet.engines["engine-00"].books().starts_after_leave.len();
    assert!(
        after <= refused + 1,
        "{after} starts, {refused} of them before"
    );
    fleet.stop().await;
}

// A caller comes back for a receipt and is told that its outcome is unknown, its record
// having expired: its daemon was killed while it waited to record its claim, so that
// there never was a record. An absent record can be closed, which makes "not run" true.
#[tokio::test]
async fn a_caller_whose_daemon_died_before_its_claim_is_told_not_run() {
    let fleet = started(small_plan()).await;
    let mut settings = daemon_settings("entry-9", "centre-a", &fleet.platform.address());
    // Without links to others, none of them records the claim in its place.
    settings.peers.secret = String::new();
    let host = DaemonHost::start_inside(settings).await;
    let host = host.expect("it starts");
    let connected = RequestsClient::connect(format!("http://{}", host.addresses.rpc)).await;
    let mut dying = connected.expect("it listens");
    let key = workspace_key(WORKSPACE);
    let begun = Instant::now();
    let mut number = 0;
    loop {
        number += 1;
        assert!(begun.elapsed() < LIMIT, "the daemon places nothing");
        let warm = submit("issue", &format!("warm-{number}"));
        let Ok(events) = dying.submit(with_key(warm, &key)).await else {
            continue;
        };
        if final_of(&mut events.into_inner()).await.outcome() == Outcome::Answered {
            break;
        }
    }
    fleet.platform.set_faults(PlatformFaults {
        slow_ms: 60_000,
        ..PlatformFaults::default()
    });
    let issue = submit("issue", "unclaimed");
    let asked = dying.submit(with_key(issue.clone(), &key)).await;
    let Event::Accepted(accepted) = next_event(&mut asked.expect("taken").into_inner()).await
    else {
        panic!("not accepted");
    };
    host.kill().await;
    fleet.platform.set_faults(PlatformFaults::default());
    let resume = ResumeRequest {
        resume_token: accepted.resume_token,
        offset: 0,
        submit: Some(issue),
    };
    let mut other = client(&fleet, "entry-0").await;
    let resumed = other.resume(with_key(resume, &key)).await;
    let last = final_of(&mut resumed.expect("taken").into_inner()).await;
    assert_eq!(last.outcome(), Outcome::RefusedNotRun, "{}", last.reason);
    let runs = fleet.services["service-00"].books().runs;
    assert!(!runs.contains_key("rowing/unclaimed"), "{runs:?}");
    fleet.stop().await;
}
