//! TLS between tool and daemon.
//!
//! The certificates in `tests/tls` were made for these tests and guard nothing else.

mod process_env;

use std::path::{Path, PathBuf};
use std::process::Command;

use pistachiowick::requests::access::{SecretKey, key_hash};
use process_env::{RunningDaemon, document};
use rstest::rstest;
use serde_json::json;

const OPERATOR_KEY: &str = "operator-key-of-the-test";

fn tls_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/tls")
        .join(name)
}

fn tls_text(name: &str) -> String {
    std::fs::read_to_string(tls_file(name)).expect("the file is there")
}

fn start_daemon(with_tls: bool) -> RunningDaemon {
    let mut settings = document();
    settings["access"]["operator_key_hashes"] = json!([key_hash(&SecretKey::new(OPERATOR_KEY))]);
    if with_tls {
        settings["listen"]["tls"] = json!({
            "certificate_pem": tls_text("server.pem"),
            "key_pem": tls_text("server_key.pem"),
        });
    }
    RunningDaemon::start(&settings)
}

struct TlsCase {
    daemon_has_tls: bool,
    authority: Option<&'static str>,
    key: &'static str,
    code: i32,
    out: &'static str,
    err: &'static str,
}

// Keys travel in every call. A tool that spoke to the wrong daemon, or in the
// clear to one that expects TLS, must fail before it sends one.
#[rstest]
#[case::trusted(TlsCase { daemon_has_tls: true, authority: Some("ca.pem"), key: OPERATOR_KEY, code: 0, out: "entry-1", err: "" })]
#[case::wrong_key(TlsCase { daemon_has_tls: true, authority: Some("ca.pem"), key: "another", code: 1, out: "", err: "PermissionDenied" })]
#[case::other_authority(TlsCase { daemon_has_tls: true, authority: Some("other_ca.pem"), key: OPERATOR_KEY, code: 1, out: "", err: "nothing was sent" })]
#[case::clear_to_tls(TlsCase { daemon_has_tls: true, authority: None, key: OPERATOR_KEY, code: 1, out: "", err: "" })]
#[case::tls_to_clear(TlsCase { daemon_has_tls: false, authority: Some("ca.pem"), key: OPERATOR_KEY, code: 1, out: "", err: "nothing was sent" })]
#[case::clear(TlsCase { daemon_has_tls: false, authority: None, key: OPERATOR_KEY, code: 0, out: "entry-1", err: "" })]
fn a_tool_trusts_only_its_authority(#[case] case: TlsCase) {
    let running = start_daemon(case.daemon_has_tls);
    let address = running.addresses["rpc"].as_str().expect("an address");
    let mut command = Command::new(env!("CARGO_BIN_EXE_pistachiowick"));
    command.args(["status", "--address", address]);
    command.env("PISTACHIOWICK_KEY", case.key);
    if let Some(authority) = case.authority {
        command.arg("--ca").arg(tls_file(authority));
    }
    let output = command.output().expect("the binary is built");
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(case.code), "{out}{err}");
    assert!(out.contains(case.out), "{out}");
    assert!(err.contains(case.err), "{err}");
    assert!(!err.contains(case.key), "the key is shown");
    let (code, log) = running.stop("-TERM");
    assert_eq!(code, Some(0), "{log}");
    assert!(!log.contains(case.key), "the key is logged");
}
