//! What a daemon learns from targets that do not answer.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use pistachiowick::names::{RequestId, RequestKey, WorkspaceName};
use pistachiowick::ports::{TargetCall, TargetError};
use pistachiowick::requests::attempt::AttemptFailure;
use pistachiowick::targets::service_http::service_port;
use pistachiowick::targets::wire::ServiceBody;
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_millis(300);
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{";

struct TargetCase {
    // What the target writes, and whether it closes the connection then.
    answer: &'static [u8],
    closes: bool,
    connection_lost: bool,
}

fn start_target(answer: &'static [u8], closes: bool) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        let mut open: Vec<TcpStream> = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(answer);
            if !closes {
                open.push(stream);
            }
        }
    });
    address
}

// Guards against work that counts as crashing targets because they are silent beyond a time limit.
#[rstest]
#[case::silent(TargetCase { answer: b"", closes: false, connection_lost: false })]
#[case::silent_in_the_body(TargetCase { answer: HEAD, closes: false, connection_lost: false })]
#[case::closed(TargetCase { answer: b"", closes: true, connection_lost: true })]
#[case::closed_in_the_body(TargetCase { answer: HEAD, closes: true, connection_lost: true })]
#[tokio::test]
async fn a_silent_target_has_not_closed_its_connection(#[case] case: TargetCase) {
    let port = service_port(Arc::new(|_, _| {})).expect("a client");
    let call = TargetCall {
        address: start_target(case.answer, case.closes),
        timeout: TIMEOUT,
        body: ServiceBody {
            request_id: RequestId::from("r1"),
            workspace: WorkspaceName::from("stores"),
            key: RequestKey::from("k1"),
            repeatable: true,
            data: String::new(),
        },
    };
    let error = (port.call)(call).await.expect_err("no answer");
    let is_silent = matches!(error, TargetError::Silent { .. });
    let failure = AttemptFailure::from(&error);
    assert!(failure.may_have_run, "{error}");
    let seen = (failure.connection_lost, is_silent);
    assert_eq!(
        seen,
        (case.connection_lost, !case.connection_lost),
        "{error}"
    );
}
