//! The daemon's binary: exit codes, announced addresses, health pages, logs and stopping.

mod process_env;

use std::io::{Read, Write};
use std::process::{Output, Stdio};

use process_env::{RunningDaemon, SECRET, daemon, document};
use rstest::rstest;
use serde_json::{Value, json};

fn run_with_input(arguments: &[&str], input: &str) -> Output {
    let mut child = daemon()
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary is built");
    let mut stdin = child.stdin.take().expect("it is piped");
    // A process that refuses its flags never reads the input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("it ends by itself")
}

struct ExitCase {
    arguments: &'static [&'static str],
    input: String,
    code: i32,
    out: &'static str,
    err: &'static str,
}

#[rstest]
#[case::help(ExitCase { arguments: &["--help"], input: String::new(), code: 0, out: "Exit codes:", err: "" })]
#[case::help_short(ExitCase { arguments: &["-h"], input: String::new(), code: 0, out: "--settings FILE", err: "" })]
#[case::version(ExitCase { arguments: &["-V"], input: String::new(), code: 0, out: "pistachiowickd 0.", err: "" })]
#[case::nothing(ExitCase { arguments: &[], input: String::new(), code: 2, out: "", err: "--settings FILE" })]
#[case::unknown_flag(ExitCase { arguments: &["--colour"], input: String::new(), code: 2, out: "", err: "colour" })]
#[case::stray_word(ExitCase { arguments: &["-s", "-", "serve"], input: String::new(), code: 2, out: "", err: "\"serve\"" })]
#[case::doubled(ExitCase { arguments: &["-s", "a", "-s", "b"], input: String::new(), code: 2, out: "", err: "settings" })]
#[case::no_file(ExitCase { arguments: &["-c", "-s", "no/such/file.json"], input: String::new(), code: 3, out: "", err: "no/such/file.json" })]
#[case::no_json(ExitCase { arguments: &["-c", "-s", "-"], input: "{".to_owned(), code: 3, out: "", err: "not valid JSON" })]
#[case::bad(ExitCase { arguments: &["-c", "-s", "-"], input: "{}".to_owned(), code: 3, out: "", err: "daemon_id: found nothing" })]
#[case::bad_serving(ExitCase { arguments: &["-s", "-"], input: "{}".to_owned(), code: 3, out: "", err: "daemon_id: found nothing" })]
#[case::good(ExitCase { arguments: &["--check", "--settings", "-"], input: document().to_string(), code: 0, out: "entry-1", err: "" })]
fn the_exit_code_tells_what_is_wrong(#[case] case: ExitCase) {
    let output = run_with_input(case.arguments, &case.input);
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(case.code), "{out}{err}");
    assert!(out.contains(case.out), "{out}");
    assert!(err.contains(case.err), "{err}");
    assert!(!err.contains(SECRET), "a secret is shown");
}

#[test]
fn an_address_in_use_is_a_failure_at_the_start() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut settings = document();
    settings["listen"]["rpc"] = json!(taken.local_addr().expect("bound").to_string());
    let output = run_with_input(&["-s", "-"], &settings.to_string());
    let err = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{err}");
    assert!(err.contains("listen.rpc"), "{err}");
}

fn page(running: &RunningDaemon, path: &str) -> (u16, String) {
    let admin = running.addresses["admin"].as_str().expect("an address");
    let mut stream = std::net::TcpStream::connect(admin).expect("it listens");
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nhost: {admin}\r\nconnection: close\r\n\r\n"
    )
    .expect("it reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("it answers");
    let status = answer.split(' ').nth(1).and_then(|code| code.parse().ok());
    (status.expect("a status line"), answer)
}

#[rstest]
#[case::terminate("-TERM")]
#[case::interrupt("-INT")]
fn a_daemon_announces_itself_and_stops_gracefully(#[case] signal: &str) {
    let running = RunningDaemon::start(&document());
    for port in ["rpc", "admin", "peer"] {
        let address = running.addresses[port].as_str().expect("an address");
        assert!(!address.ends_with(":0"), "{address}");
    }
    assert_eq!(page(&running, "/live").0, 200);
    let (status, answer) = page(&running, "/ready");
    assert_eq!(status, 503);
    assert!(answer.contains("no whole configuration"), "{answer}");
    let (status, answer) = page(&running, "/metrics");
    assert_eq!(status, 200);
    assert!(answer.contains("# TYPE pistachiowick_"), "{answer}");
    assert_eq!(page(&running, "/nothing-here").0, 404);
    let (code, log) = running.stop(signal);
    assert_eq!(code, Some(0), "{log}");
    for line in log.lines() {
        let entry: Value = serde_json::from_str(line).expect("each line is JSON");
        for field in ["at", "level", "target", "message"] {
            assert!(entry[field].is_string(), "{field} is missing: {line}");
        }
    }
    assert!(log.contains("stop asked for"), "{log}");
    assert!(!log.contains(SECRET), "a secret is logged");
}

#[test]
fn text_logs_are_lines_for_people() {
    let mut settings = document();
    settings["logs"] = json!({ "format": "text", "level": "info" });
    let (code, log) = RunningDaemon::start(&settings).stop("-TERM");
    assert_eq!(code, Some(0));
    assert!(
        log.contains(" INFO  pistachiowickd: stop asked for"),
        "{log}"
    );
}
