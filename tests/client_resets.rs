//! Connections of calls that must not arrive late.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use pistachiowick::gateway::client::{HttpConnection, OutgoingRequest, SendError, call};
use rstest::rstest;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Time limit of a call in these tests.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Reads a request, sends `answer`, and returns how the connection ended.
fn serve(answer: &'static str) -> (SocketAddr, JoinHandle<Option<ErrorKind>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 1_024];
        let read = stream.read(&mut buffer).expect("a request");
        assert!(read > 0);
        stream.write_all(answer.as_bytes()).expect("an answer");
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(_) => {}
                Err(error) => return Some(error.kind()),
            }
        }
    });
    (address, serving)
}

struct ResetCase {
    is_resetting: bool,
    answer: &'static str,
    is_answered: bool,
    /// How the server sees the end of the connection; `None` is an orderly close.
    end: Option<ErrorKind>,
}

// Guards against a call under a lease whose bytes the network delivers after it was given up, and
// against resets of callers' requests or of connections whose call was answered.
#[rstest]
#[case::no_answer(ResetCase { is_resetting: true, answer: "", is_answered: false, end: Some(ErrorKind::ConnectionReset) })]
#[case::part_of_an_answer(ResetCase { is_resetting: true, answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{", is_answered: false, end: Some(ErrorKind::ConnectionReset) })]
#[case::answered(ResetCase { is_resetting: true, answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", is_answered: true, end: None })]
#[case::of_a_caller(ResetCase { is_resetting: false, answer: "", is_answered: false, end: None })]
#[tokio::test(flavor = "current_thread")]
async fn only_calls_under_a_lease_are_reset(#[case] case: ResetCase) {
    let (address, serving) = serve(case.answer);
    let calling = async {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let opened = if case.is_resetting {
            HttpConnection::open_resetting(address, deadline).await
        } else {
            HttpConnection::open(address, deadline).await
        };
        let mut connection = opened.expect("a connection");
        let request = OutgoingRequest {
            method: Method::POST,
            uri: Uri::from_static("/scale"),
            headers: HeaderMap::new(),
            body: Bytes::from_static(b"{}"),
        };
        call(&mut connection, &request, 1_024, deadline).await
    };
    let local = LocalSet::new();
    let answer = local.run_until(calling).await;
    assert_eq!(answer.is_ok(), case.is_answered, "{answer:?}");
    assert!(answer.is_ok() || matches!(answer, Err(SendError::Unclear(_))));
    drop(local);
    assert_eq!(serving.join().expect("the server ends"), case.end);
}
