//! A cancel reaches the request wherever it runs.

use std::time::Duration;

use pistachiowick::pb;
use pistachiowick::pb::answer_event::Event;
use pistachiowick::pb::requests_client::RequestsClient;
use pistachiowick_lab::fleet::{FleetPlan, LabFleet, with_key};
use pistachiowick_lab::quickstart::{quickstart_plan, workspace_key};
use tonic::Streaming;
use tonic::transport::{Channel, Endpoint};

/// Wait for an outcome before the request counts as going on.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// Tokens of an answer that takes far longer than the test.
const LONG_ANSWER: u32 = 100_000;

async fn client(fleet: &LabFleet, place: usize) -> RequestsClient<Channel> {
    let address = &fleet.addresses()[place];
    let endpoint = Endpoint::from_shared(format!("http://{address}")).expect("an address");
    RequestsClient::new(endpoint.connect().await.expect("a daemon that listens"))
}

fn long_request() -> pb::SubmitRequest {
    pb::SubmitRequest {
        class: "review".to_owned(),
        prompt: format!("out={LONG_ANSWER} cancel").into_bytes(),
        prompt_tokens: 10,
        max_output_tokens: LONG_ANSWER,
        deadline_ms: 3_600_000,
        ..pb::SubmitRequest::default()
    }
}

/// Reads until bytes flow; returns the newest token.
async fn token_at_work(events: &mut Streaming<pb::AnswerEvent>) -> String {
    let mut token = String::new();
    while let Some(event) = events.message().await.expect("a stream that goes on") {
        match event.event {
            Some(Event::Accepted(accepted)) => token = accepted.resume_token,
            Some(Event::Chunk(_)) => return token,
            other => panic!("neither acceptance nor bytes: {other:?}"),
        }
    }
    panic!("the stream ended before its first bytes");
}

async fn outcome(events: &mut Streaming<pb::AnswerEvent>) -> pb::Outcome {
    while let Some(event) = events.message().await.expect("a stream that goes on") {
        if let Some(Event::Final(last)) = event.event {
            return last.outcome();
        }
    }
    panic!("the stream ended without an outcome");
}

/// The caller cancels through another daemon than the one that follows the stream.
/// Stopping the engine alone looks to the following daemon like a lost engine: it goes
/// on elsewhere, and the caller is told "stopped" and gets the answer all the same.
/// The cancel is handed to the daemon that accepted the request, which ends it.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_through_another_daemon_ends_the_request() {
    let plan = FleetPlan {
        engines: 3,
        ..quickstart_plan()
    };
    let fleet = LabFleet::start(plan).await.expect("a fleet");
    let key = workspace_key("rowing");
    let mut first = client(&fleet, 0).await;
    let submitted = first.submit(with_key(long_request(), &key)).await;
    let mut events = submitted.expect("accepted").into_inner();
    let resume_token = token_at_work(&mut events).await;
    let mut other = client(&fleet, 1).await;
    let cancel = pb::CancelRequest { resume_token };
    let cancelled = other.cancel(with_key(cancel, &key)).await;
    assert!(cancelled.expect("a reply").into_inner().stopped);
    let ended = tokio::time::timeout(LONGEST_WAIT, outcome(&mut events)).await;
    assert_eq!(ended, Ok(pb::Outcome::Cancelled));
    let running = fleet.daemons.values().map(|d| d.context().running_count());
    assert_eq!(running.sum::<usize>(), 0);
    fleet.stop().await;
}
