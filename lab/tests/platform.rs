//! Behaviour of the platform stand-in over HTTP.

use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use pistachiowick::names::CentreName;
use pistachiowick::store::wire::{
    InstanceKind, InstanceList, InstanceRow, InstanceState, ObjectList,
};
use pistachiowick_lab::platform::{
    PlatformFaults, PlatformOptions, PlatformStandIn, RunningPlatform,
};
use pistachiowick_lab::platform_state::PlatformBooks;
use reqwest::{Client, Response};
use rstest::rstest;

async fn started() -> RunningPlatform {
    PlatformStandIn::start(PlatformOptions::default())
        .await
        .expect("the platform starts")
}

fn url(platform: &RunningPlatform, path: &str) -> String {
    format!("http://{}{path}", platform.address())
}

/// Condition headers of a write.
#[derive(Clone, Copy, Debug)]
enum Condition {
    Absent,
    Nothing,
    Version(u64),
}

async fn try_put(
    platform: &RunningPlatform,
    name: &str,
    condition: Condition,
    value: Vec<u8>,
) -> Result<Response, reqwest::Error> {
    let call = Client::new()
        .put(url(platform, &format!("/v1/objects/config/{name}")))
        .body(value);
    let call = match condition {
        Condition::Absent => call.header("if-none-match", "*"),
        Condition::Nothing => call,
        Condition::Version(version) => call.header("if-match", format!("\"{version}\"")),
    };
    call.send().await
}

async fn put(platform: &RunningPlatform, condition: Condition, value: &str) -> Response {
    try_put(platform, "a", condition, value.as_bytes().to_vec())
        .await
        .expect("the platform answers")
}

async fn get(platform: &RunningPlatform, path: &str) -> Response {
    Client::new()
        .get(url(platform, path))
        .send()
        .await
        .expect("the platform answers")
}

fn etag(response: &Response) -> Option<u64> {
    let text = response.headers().get("etag")?.to_str().ok()?;
    text.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
}

/// One write to an object, after `before` writes of it.
struct WriteCase {
    before: u64,
    condition: Condition,
    size: usize,
    status: u16,
    etag: Option<u64>,
}

#[rstest]
#[case::creates(WriteCase { before: 0, condition: Condition::Absent, size: 3, status: 200, etag: Some(1) })]
#[case::creates_twice(WriteCase { before: 1, condition: Condition::Absent, size: 3, status: 412, etag: Some(1) })]
#[case::updates(WriteCase { before: 1, condition: Condition::Version(1), size: 3, status: 200, etag: Some(2) })]
#[case::old_version(WriteCase { before: 2, condition: Condition::Version(1), size: 3, status: 412, etag: Some(2) })]
#[case::absent_object(WriteCase { before: 0, condition: Condition::Version(1), size: 3, status: 412, etag: None })]
#[case::no_condition(WriteCase { before: 0, condition: Condition::Nothing, size: 3, status: 428, etag: None })]
#[case::largest(WriteCase { before: 0, condition: Condition::Absent, size: 1 << 20, status: 200, etag: Some(1) })]
#[case::too_large(WriteCase { before: 0, condition: Condition::Absent, size: (1 << 20) + 1, status: 413, etag: None })]
#[tokio::test]
async fn writes_hold_to_their_condition(#[case] case: WriteCase) {
    let platform = started().await;
    for version in 0..case.before {
        let condition = match version {
            0 => Condition::Absent,
            _ => Condition::Version(version),
        };
        assert_eq!(put(&platform, condition, "old").await.status(), 200);
    }
    let value = vec![b'x'; case.size];
    let response = try_put(&platform, "a", case.condition, value.clone())
        .await
        .expect("the platform answers");
    assert_eq!(response.status(), case.status);
    assert_eq!(etag(&response), case.etag);
    let read = get(&platform, "/v1/objects/config/a").await;
    if case.status == 200 {
        assert_eq!(etag(&read), case.etag);
        assert_eq!(read.bytes().await.expect("a body"), value);
    } else if case.before == 0 {
        assert_eq!(read.status(), 404);
    } else {
        assert_eq!(read.text().await.expect("a body"), "old");
    }
}

#[tokio::test]
async fn of_racing_writes_one_wins() {
    let platform = started().await;
    put(&platform, Condition::Absent, "start").await;
    let writes = (0..20).map(|number| {
        let value = format!("writer {number}").into_bytes();
        try_put(&platform, "a", Condition::Version(1), value)
    });
    let answers = futures_util::future::join_all(writes).await;
    let won = answers
        .iter()
        .filter(|answer| answer.as_ref().is_ok_and(|answer| answer.status() == 200))
        .count();
    assert_eq!(won, 1);
    assert_eq!(platform.books().conflicts, 19);
}

#[tokio::test]
async fn versions_rise_across_objects() {
    let platform = started().await;
    let first = try_put(&platform, "a", Condition::Absent, Vec::new()).await;
    let second = try_put(&platform, "b", Condition::Absent, Vec::new()).await;
    assert_eq!(etag(&first.expect("an answer")), Some(1));
    assert_eq!(etag(&second.expect("an answer")), Some(2));
    let list: ObjectList = get(&platform, "/v1/objects/config")
        .await
        .json()
        .await
        .expect("a list");
    assert_eq!(list.revision, 2);
    assert_eq!(list.objects.len(), 2);
}

#[tokio::test]
async fn a_watch_wakes_on_a_write_and_ends_without() {
    let platform = started().await;
    put(&platform, Condition::Absent, "one").await;
    let empty: ObjectList = get(&platform, "/v1/watch/config?since=1&wait_ms=50")
        .await
        .json()
        .await
        .expect("a list");
    assert_eq!(
        empty,
        ObjectList {
            revision: 1,
            objects: Vec::new()
        }
    );

    let begun = Instant::now();
    let waiting = get(&platform, "/v1/watch/config?since=1&wait_ms=20000");
    let writing = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        put(&platform, Condition::Version(1), "two").await
    };
    let (woken, _) = tokio::join!(waiting, writing);
    let list: ObjectList = woken.json().await.expect("a list");
    assert!(begun.elapsed() < Duration::from_secs(10));
    assert_eq!(list.revision, 2);
    assert_eq!(list.objects[0].value, Some(STANDARD.encode("two")));
    assert_eq!(platform.books().watch, 2);
}

/// What a writer whose answer was lost finds when it reads back.
struct LostCase {
    by_status: bool,
}

#[rstest]
#[case::broken_connection(LostCase { by_status: false })]
#[case::plain_500(LostCase { by_status: true })]
#[tokio::test]
async fn a_lost_answer_leaves_the_write_in_force(#[case] case: LostCase) {
    let platform = started().await;
    platform.set_faults(PlatformFaults {
        lose_next: 1,
        lose_by_status: case.by_status,
        ..PlatformFaults::default()
    });
    let answer = try_put(&platform, "a", Condition::Absent, b"one".to_vec()).await;
    assert!(
        answer.is_err()
            || answer.is_ok_and(|answer| { answer.status() == 500 && etag(&answer).is_none() })
    );
    assert_eq!(platform.peek("config", "a"), Some((1, b"one".to_vec())));
    assert_eq!(
        put(&platform, Condition::Version(1), "two").await.status(),
        200
    );
}

/// A write that is still on its way when its writer gives up.
struct DelayCase {
    overtaken: bool,
    value: &'static str,
    done: u64,
    dropped: u64,
}

/// A writer's answer is lost while the write is still under way. Whoever writes
/// the object in between must win for good: the late write finds its condition
/// broken. Nobody in between: the late write takes effect.
#[rstest]
#[case::lands(DelayCase { overtaken: false, value: "late", done: 1, dropped: 0 })]
#[case::overtaken(DelayCase { overtaken: true, value: "quick", done: 0, dropped: 1 })]
#[tokio::test]
async fn a_delayed_write_lands_only_if_its_condition_still_holds(#[case] case: DelayCase) {
    let platform = started().await;
    platform.set_faults(PlatformFaults {
        delay_next: 1,
        delay_by_ms: 300,
        lose_by_status: true,
        ..PlatformFaults::default()
    });
    let lost = put(&platform, Condition::Absent, "late").await;
    assert_eq!(lost.status(), 500);
    assert_eq!(platform.peek("config", "a"), None);
    if case.overtaken {
        assert_eq!(
            put(&platform, Condition::Absent, "quick").await.status(),
            200
        );
    }
    until(|| {
        let books = platform.books();
        books.delayed_done + books.delayed_dropped == 1
    })
    .await;
    let books = platform.books();
    assert_eq!(
        (books.delayed_done, books.delayed_dropped),
        (case.done, case.dropped)
    );
    let value = platform.peek("config", "a").map(|(_, value)| value);
    assert_eq!(value, Some(case.value.as_bytes().to_vec()));
}

async fn until(holds: impl Fn() -> bool) {
    let limit = Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(Instant::now() < limit, "waited for too long");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn stale_reads_deceive_readers_but_not_conditional_updates() {
    let platform = started().await;
    put(&platform, Condition::Absent, "one").await;
    platform.set_faults(PlatformFaults {
        stale_ms: 60_000,
        ..PlatformFaults::default()
    });
    assert_eq!(
        put(&platform, Condition::Version(1), "two").await.status(),
        200
    );
    let read = get(&platform, "/v1/objects/config/a").await;
    assert_eq!(etag(&read), Some(1));
    let list: ObjectList = get(&platform, "/v1/watch/config?since=1&wait_ms=50")
        .await
        .json()
        .await
        .expect("a list");
    assert_eq!(list.objects, Vec::new());
    assert_eq!(
        put(&platform, Condition::Version(1), "three")
            .await
            .status(),
        412
    );
    platform.set_faults(PlatformFaults::default());
    let read = get(&platform, "/v1/objects/config/a").await;
    assert_eq!(read.text().await.expect("a body"), "two");
}

#[tokio::test]
async fn a_platform_that_is_down_refuses_and_ends_watches() {
    let platform = started().await;
    let waiting = get(&platform, "/v1/watch/config?since=0&wait_ms=20000");
    let falling = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        platform.set_faults(PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        });
        put(&platform, Condition::Absent, "one").await
    };
    let (watch, write) = tokio::join!(waiting, falling);
    for answer in [&watch, &write] {
        assert_eq!(answer.status(), 503);
        assert!(answer.headers().contains_key("retry-after-ms"));
    }
    assert_eq!(platform.peek("config", "a"), None);
}

#[tokio::test]
async fn an_unplugged_platform_keeps_its_state() {
    let platform = started().await;
    put(&platform, Condition::Absent, "one").await;
    platform.unplug();
    let refused = try_put(&platform, "a", Condition::Version(1), Vec::new()).await;
    assert!(refused.is_err());
    platform.plug().await.expect("the port is free");
    let read = get(&platform, "/v1/objects/config/a").await;
    assert_eq!(read.text().await.expect("a body"), "one");
}

#[tokio::test]
async fn calls_above_the_rate_are_refused_without_effect() {
    let platform = PlatformStandIn::start(PlatformOptions {
        writes_per_second: 0.5,
        ..PlatformOptions::default()
    })
    .await
    .expect("the platform starts");
    assert_eq!(put(&platform, Condition::Absent, "one").await.status(), 200);
    let refused = put(&platform, Condition::Version(1), "two").await;
    assert_eq!(refused.status(), 429);
    let wait = refused.headers()["retry-after-ms"].to_str().expect("text");
    assert!(
        wait.parse::<u64>()
            .is_ok_and(|wait| (1..=2_000).contains(&wait))
    );
    assert_eq!(platform.peek("config", "a"), Some((1, b"one".to_vec())));
}

fn instance(id: &str) -> InstanceRow {
    InstanceRow {
        id: id.to_owned(),
        kind: InstanceKind::Engine,
        address: "127.0.0.1:1".to_owned(),
        peer_address: String::new(),
        data_centre: CentreName::from("makadara"),
        state: InstanceState::Live,
        service: None,
        checks_fence: true,
    }
}

async fn instance_ids(platform: &RunningPlatform) -> Vec<String> {
    let list: InstanceList = get(platform, "/v1/instances")
        .await
        .json()
        .await
        .expect("a list");
    list.instances.into_iter().map(|row| row.id).collect()
}

#[tokio::test]
async fn the_instance_list_lags() {
    let platform = PlatformStandIn::start(PlatformOptions {
        instances: vec![instance("a")],
        ..PlatformOptions::default()
    })
    .await
    .expect("the platform starts");
    platform.set_lag(60_000);
    platform.set_instance(instance("b"));
    platform.remove_instance("a");
    assert_eq!(instance_ids(&platform).await, ["a"]);
    let change = serde_json::json!({"lag_ms": 0, "set": [instance("c")]});
    let changed = Client::new()
        .post(url(&platform, "/lab/instances"))
        .json(&change)
        .send()
        .await
        .expect("the platform answers");
    assert_eq!(changed.status(), 200);
    assert_eq!(instance_ids(&platform).await, ["b", "c"]);
}

#[tokio::test]
async fn books_and_faults_are_served() {
    let platform = started().await;
    put(&platform, Condition::Absent, "one").await;
    get(&platform, "/v1/objects/config/a").await;
    let books: PlatformBooks = get(&platform, "/lab/books")
        .await
        .json()
        .await
        .expect("books");
    assert_eq!(books, platform.books());
    assert_eq!((books.read, books.write), (1, 1));
    let unknown = Client::new()
        .post(url(&platform, "/lab/faults"))
        .body("{\"upside_down\":true}")
        .send()
        .await
        .expect("the platform answers");
    assert_eq!(unknown.status(), 400);
    let known = Client::new()
        .post(url(&platform, "/lab/faults"))
        .body("{\"down\":true}")
        .send()
        .await
        .expect("the platform answers");
    assert_eq!(known.status(), 200);
    assert!(platform.faults().down);
}
