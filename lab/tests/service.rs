//! Behaviour of the service stand-in and of the weight store over HTTP.

use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use pistachiowick::names::{RequestId, RequestKey, WorkspaceName};
use pistachiowick::targets::wire::{ServiceBody, ServiceReply};
use pistachiowick_lab::answers::service_answer;
use pistachiowick_lab::service::{RunningService, ServiceFaults, ServiceOptions, ServiceStandIn};
use pistachiowick_lab::weight_store::{WeightOptions, WeightStandIn};
use reqwest::{Client, Response};
use rstest::rstest;

const RUN: &str = "nairobi/issue-1";

async fn started(options: ServiceOptions) -> RunningService {
    ServiceStandIn::start(options)
        .await
        .expect("the service starts")
}

async fn call(service: &RunningService) -> Result<Response, reqwest::Error> {
    let body = ServiceBody {
        request_id: RequestId::from("r"),
        workspace: WorkspaceName::from("nairobi"),
        key: RequestKey::from("issue-1"),
        repeatable: false,
        data: STANDARD.encode("bearing set"),
    };
    Client::new()
        .post(format!("http://{}/v1/calls", service.address()))
        .json(&body)
        .send()
        .await
}

/// Calls with one key and the runs they cause.
struct RunCase {
    deduplicates: bool,
    runs: u32,
    deduplicated: u64,
}

#[rstest]
#[case::counts_each(RunCase { deduplicates: false, runs: 3, deduplicated: 0 })]
#[case::deduplicates(RunCase { deduplicates: true, runs: 1, deduplicated: 2 })]
#[tokio::test]
async fn runs_are_counted_by_key(#[case] case: RunCase) {
    let service = started(ServiceOptions {
        deduplicates: case.deduplicates,
        ..ServiceOptions::default()
    })
    .await;
    let answers = futures_util::future::join_all((0..3).map(|_| call(&service))).await;
    for answer in answers {
        let reply: ServiceReply = answer.expect("an answer").json().await.expect("a reply");
        let result = STANDARD.decode(&reply.data).expect("base64");
        assert_eq!(result, service_answer("nairobi", "issue-1", b"bearing set"));
        assert_eq!(reply.length, result.len() as u64);
        assert_eq!(reply.request_id.as_str(), "r");
    }
    let books = service.books();
    assert_eq!(books.runs[RUN], case.runs);
    assert_eq!(books.deduplicated, case.deduplicated);
}

#[tokio::test]
async fn a_lost_answer_is_counted_as_a_run() {
    let service = started(ServiceOptions::default()).await;
    service.set_faults(ServiceFaults {
        lose_next: 1,
        ..ServiceFaults::default()
    });
    let lost = call(&service).await;
    assert!(lost.is_err() || lost.is_ok_and(|answer| answer.status() == 500));
    assert_eq!(service.books().runs[RUN], 1);
}

#[tokio::test]
async fn a_service_that_is_down_runs_nothing() {
    let service = started(ServiceOptions::default()).await;
    service.set_faults(ServiceFaults {
        down: true,
        ..ServiceFaults::default()
    });
    let refused = call(&service).await.expect("an answer");
    assert_eq!(refused.status(), 503);
    assert!(refused.headers().contains_key("retry-after-ms"));
    assert!(service.books().runs.is_empty());
}

#[tokio::test]
async fn a_crossed_reply_names_another_request() {
    let service = started(ServiceOptions::default()).await;
    service.set_faults(ServiceFaults {
        crossed_chance: 1.0,
        ..ServiceFaults::default()
    });
    let reply: ServiceReply = call(&service)
        .await
        .expect("an answer")
        .json()
        .await
        .expect("a reply");
    assert_ne!(reply.request_id.as_str(), "r");
}

/// The caller hangs up while the call runs; the call takes effect all the same.
#[tokio::test]
async fn work_goes_on_after_the_caller_hangs_up() {
    let service = started(ServiceOptions {
        work_ms: 300,
        ..ServiceOptions::default()
    })
    .await;
    let cut = tokio::time::timeout(Duration::from_millis(100), call(&service)).await;
    assert!(cut.is_err());
    let limit = Instant::now() + Duration::from_secs(20);
    while service.books().runs.is_empty() {
        assert!(Instant::now() < limit, "the call took no effect");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_crash_ends_calls_without_effect() {
    let service = started(ServiceOptions {
        work_ms: 300,
        ..ServiceOptions::default()
    })
    .await;
    let crashing = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        service.crash(50);
    };
    let (answer, ()) = tokio::join!(call(&service), crashing);
    assert!(answer.is_err());
    let limit = Instant::now() + Duration::from_secs(20);
    while service.books().crashed_calls == 0 {
        assert!(Instant::now() < limit, "the call did not end");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(service.books().runs.is_empty());
    assert_eq!(call(&service).await.expect("an answer").status(), 200);
}

#[tokio::test]
async fn transfers_share_the_rate_and_the_queue_is_bounded() {
    let weights = WeightStandIn::start(WeightOptions {
        bytes_per_second: 1e6,
        queue_limit: 2,
        ..WeightOptions::default()
    })
    .await
    .expect("the weight store starts");
    let url = format!("http://{}/v1/weights/base?bytes=100000", weights.address());
    let begun = Instant::now();
    let calls = (0..3).map(|_| Client::new().get(&url).send());
    let answers = futures_util::future::join_all(calls).await;
    let refused = answers
        .into_iter()
        .filter(|answer| answer.as_ref().is_ok_and(|answer| answer.status() == 429))
        .count();
    assert_eq!(refused, 1);
    assert!(begun.elapsed() >= Duration::from_millis(190));
    assert_eq!(weights.books().bytes, 200_000);
}
