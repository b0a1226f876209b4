//! HTTP client of the platform: which failed calls certainly had no effect.

use std::time::Duration;

use pistachiowick::ports::{
    ConditionalWrite, ObjectName, ObjectVersion, PlatformError, PlatformPort, WatchQuery,
};
use pistachiowick::settings::PlatformSettings;
use pistachiowick::store::http::platform_port;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Behaviour of the server on a connection.
#[derive(Clone, Copy, Debug)]
enum Reply {
    Text(&'static str),
    Close,
    Hang,
}

async fn serve(reply: Reply) -> (PlatformPort, mpsc::UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (requests, inbox) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = vec![0; 65_536];
            let length = stream.read(&mut request).await.unwrap_or(0);
            let _ = requests.send(String::from_utf8_lossy(&request[..length]).into_owned());
            match reply {
                Reply::Text(text) => {
                    let _ = stream.write_all(text.as_bytes()).await;
                }
                Reply::Close => {}
                Reply::Hang => open.push(stream),
            }
        }
    });
    (port(&format!("http://{address}")), inbox)
}

fn port(address: &str) -> PlatformPort {
    platform_port(&PlatformSettings {
        address: address.to_owned(),
        call_ms: 300,
        watch_ms: 1_000,
        instances_ms: 1_000,
    })
    .unwrap()
}

fn object() -> ObjectName {
    ObjectName {
        kind: "config".to_owned(),
        name: "a/b".to_owned(),
    }
}

fn write(expected: u64) -> ConditionalWrite {
    ConditionalWrite {
        object: object(),
        expected: ObjectVersion(expected),
        value: b"v".to_vec(),
    }
}

#[derive(Debug, Eq, PartialEq)]
enum Verdict {
    Done(u64),
    Conflict(u64),
    Unavailable(u64),
    Lost,
    Refused,
}

fn verdict(result: &Result<ObjectVersion, PlatformError>) -> Verdict {
    match result {
        Ok(version) => Verdict::Done(version.0),
        Err(PlatformError::Conflict { current }) => Verdict::Conflict(current.0),
        Err(PlatformError::Unavailable { retry_after, .. }) => {
            Verdict::Unavailable(u64::try_from(retry_after.as_millis()).unwrap())
        }
        Err(PlatformError::Lost { .. }) => Verdict::Lost,
        Err(PlatformError::Refused { .. }) => Verdict::Refused,
    }
}

struct WriteCase {
    reply: Reply,
    verdict: Verdict,
}

#[rstest]
#[case::done(WriteCase {
    reply: Reply::Text("HTTP/1.1 200 OK\r\netag: \"7\"\r\ncontent-length: 0\r\n\r\n"), verdict: Verdict::Done(7),
})]
#[case::done_without_version(WriteCase {
    reply: Reply::Text("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"), verdict: Verdict::Lost,
})]
#[case::conflict(WriteCase {
    reply: Reply::Text("HTTP/1.1 412 No\r\netag: \"9\"\r\ncontent-length: 0\r\n\r\n"), verdict: Verdict::Conflict(9),
})]
#[case::conflict_with_nothing(WriteCase {
    reply: Reply::Text("HTTP/1.1 412 No\r\ncontent-length: 0\r\n\r\n"), verdict: Verdict::Conflict(0),
})]
#[case::too_large(WriteCase {
    reply: Reply::Text("HTTP/1.1 413 No\r\ncontent-length: 0\r\n\r\n"), verdict: Verdict::Refused,
})]
#[case::busy(WriteCase {
    reply: Reply::Text("HTTP/1.1 429 No\r\nretry-after-ms: 40\r\ncontent-length: 0\r\n\r\n"),
    verdict: Verdict::Unavailable(40),
})]
#[case::down(WriteCase {
    reply: Reply::Text("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n"), verdict: Verdict::Unavailable(500),
})]
#[case::server_error(WriteCase {
    reply: Reply::Text("HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n"), verdict: Verdict::Lost,
})]
#[case::gateway_timeout(WriteCase {
    reply: Reply::Text("HTTP/1.1 504 No\r\ncontent-length: 0\r\n\r\n"), verdict: Verdict::Lost,
})]
#[case::closed(WriteCase { reply: Reply::Close, verdict: Verdict::Lost })]
#[case::no_answer(WriteCase { reply: Reply::Hang, verdict: Verdict::Lost })]
/// The answer to a write is lost or comes from a proxy. If a write with an unknown result
/// were treated as one without effect, operators and callers would get a wrong answer.
#[tokio::test]
async fn distinguishes_failed_from_lost_writes(#[case] case: WriteCase) {
    let (port, mut requests) = serve(case.reply).await;
    assert_eq!(verdict(&(port.write)(write(3)).await), case.verdict);
    let request = requests.recv().await.unwrap().to_lowercase();
    assert!(
        request.starts_with("put /v1/objects/config/a%2fb "),
        "{request}"
    );
    assert!(request.contains("if-match: \"3\""), "{request}");
}

#[tokio::test]
async fn a_new_object_requires_that_none_exists() {
    let reply = Reply::Text("HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: 0\r\n\r\n");
    let (port, mut requests) = serve(reply).await;
    assert_eq!(verdict(&(port.write)(write(0)).await), Verdict::Done(1));
    let request = requests.recv().await.unwrap().to_lowercase();
    assert!(request.contains("if-none-match: *"), "{request}");
    assert!(!request.contains("if-match"), "{request}");
}

#[tokio::test]
async fn a_platform_not_reached_had_no_effect() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let port = port(&format!("http://{address}"));
    assert_eq!(
        verdict(&(port.write)(write(3)).await),
        Verdict::Unavailable(500)
    );
}

#[rstest]
#[case::never_written("HTTP/1.1 404 No\r\ncontent-length: 0\r\n\r\n", None)]
#[case::found("HTTP/1.1 200 OK\r\netag: \"4\"\r\ncontent-length: 2\r\n\r\nhi", Some((4, "hi")))]
#[tokio::test]
async fn reads_objects(#[case] text: &'static str, #[case] found: Option<(u64, &str)>) {
    let (port, _heads) = serve(Reply::Text(text)).await;
    let read = (port.read)(object()).await.unwrap();
    let read = read.map(|s| (s.version.0, String::from_utf8(s.value.unwrap()).unwrap()));
    assert_eq!(read, found.map(|(v, t)| (v, t.to_owned())));
}

#[rstest]
#[case::error(Reply::Text("HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n"))]
#[case::closed(Reply::Close)]
#[case::hang(Reply::Hang)]
#[case::truncated(Reply::Text("HTTP/1.1 200 OK\r\netag: \"4\"\r\ncontent-length: 20\r\n\r\nhi"))]
#[tokio::test]
async fn failed_reads_are_unavailable(#[case] reply: Reply) {
    let (port, _heads) = serve(reply).await;
    let error = (port.read)(object()).await.unwrap_err();
    assert!(
        matches!(error, PlatformError::Unavailable { .. }),
        "{error:?}"
    );
}

#[tokio::test]
async fn watches_from_a_revision() {
    let (port, mut requests) = serve(Reply::Text(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n\r\n\
         {\"revision\":12,\"objects\":[{\"name\":\"n\",\"version\":11,\"value\":\"aGk=\"},\
         {\"name\":\"d\",\"version\":12}]}",
    ))
    .await;
    let query = WatchQuery {
        kind: "config".to_owned(),
        since: 10,
        wait: Duration::from_millis(250),
    };
    let batch = (port.watch)(query).await.unwrap();
    assert_eq!(batch.revision, 12);
    assert_eq!(batch.objects[0].value.as_deref(), Some(b"hi".as_slice()));
    assert_eq!(batch.objects[1].value, None);
    let request = requests.recv().await.unwrap();
    assert!(
        request.starts_with("GET /v1/watch/config?since=10&wait_ms=250 "),
        "{request}"
    );
}

#[test]
fn a_wrong_address_names_the_remedy() {
    let settings = PlatformSettings {
        address: "nonsense".to_owned(),
        call_ms: 1,
        watch_ms: 1,
        instances_ms: 1,
    };
    let Err(error) = platform_port(&settings) else {
        panic!("the address was accepted");
    };
    assert!(error.to_string().contains("http://IP:PORT"), "{error}");
}
