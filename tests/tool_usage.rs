//! The tool's binary: usage errors, exit codes and keys.

use std::process::{Command, Output};

use pistachiowick::requests::access::{SecretKey, key_hash};
use rstest::rstest;
use serde_json::Value;

/// An address at which nobody listens.
const NOBODY: &str = "127.0.0.1:1";

fn run(arguments: &[&str], key: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pistachiowick"));
    command.args(arguments).env_remove("PISTACHIOWICK_KEY");
    if let Some(key) = key {
        command.env("PISTACHIOWICK_KEY", key);
    }
    command.output().expect("the binary is built")
}

struct UsageCase {
    arguments: &'static [&'static str],
    key: Option<&'static str>,
    code: i32,
    said: &'static str,
}

#[rstest]
#[case::nothing(UsageCase { arguments: &[], key: None, code: 2, said: "no command given" })]
#[case::unknown(UsageCase { arguments: &["dance"], key: None, code: 2, said: "use one of submit, resume" })]
#[case::unknown_flag(UsageCase { arguments: &["status", "--colour"], key: None, code: 2, said: "colour" })]
#[case::foreign_flag(UsageCase { arguments: &["status", "--offset", "3"], key: None, code: 2, said: "--offset does not go with status" })]
#[case::few_words(UsageCase { arguments: &["drain"], key: None, code: 2, said: "pistachiowick drain TARGET" })]
#[case::many_words(UsageCase { arguments: &["status", "now"], key: None, code: 2, said: "1 words after status" })]
#[case::no_address(UsageCase { arguments: &["status"], key: Some("k"), code: 2, said: "--address IP:PORT" })]
#[case::no_key(UsageCase { arguments: &["status", "-a", NOBODY], key: None, code: 3, said: "PISTACHIOWICK_KEY" })]
#[case::empty_key(UsageCase { arguments: &["status", "-a", NOBODY], key: Some(" \n"), code: 3, said: "the key is empty" })]
#[case::no_key_file(UsageCase { arguments: &["status", "-a", NOBODY, "-k", "no/such/key"], key: None, code: 3, said: "no/such/key" })]
#[case::no_authority(UsageCase { arguments: &["status", "-a", NOBODY, "--ca", "no/such/ca.pem"], key: Some("k"), code: 3, said: "no/such/ca.pem" })]
#[case::host_name(UsageCase { arguments: &["status", "-a", "localhost:80"], key: Some("k"), code: 1, said: "IP number and port" })]
#[case::nobody_there(UsageCase { arguments: &["status", "-a", NOBODY], key: Some("k"), code: 1, said: "nothing was sent" })]
#[case::bad_number(UsageCase { arguments: &["explain", "-n", "-4", "-a", NOBODY], key: Some("k"), code: 2, said: "--most: found \"-4\"" })]
#[case::bad_offset(UsageCase { arguments: &["resume", "token", "--offset", "x", "-a", NOBODY], key: Some("k"), code: 2, said: "--offset: found \"x\"" })]
#[case::bad_time(UsageCase { arguments: &["outcome", "key", "noon", "-a", NOBODY], key: Some("k"), code: 2, said: "found \"noon\"" })]
#[case::key_without_time(UsageCase { arguments: &["submit", "class", "x", "--request-key", "r", "-a", NOBODY], key: Some("k"), code: 2, said: "--minted-at" })]
#[case::key_and_once(UsageCase { arguments: &["submit", "class", "x", "--once", "--request-key", "r", "--minted-at", "1", "-a", NOBODY], key: Some("k"), code: 2, said: "--once" })]
#[case::item_verb(UsageCase { arguments: &["models", "paint", "-a", NOBODY], key: Some("k"), code: 2, said: "list | show NAME" })]
#[case::item_name(UsageCase { arguments: &["models", "show", "-a", NOBODY], key: Some("k"), code: 2, said: "list | show NAME" })]
#[case::no_revision(UsageCase { arguments: &["models", "delete", "base", "-a", NOBODY], key: Some("k"), code: 2, said: "--based-on" })]
#[case::no_item_file(UsageCase { arguments: &["models", "create", "no/such/item.json", "-a", NOBODY], key: Some("k"), code: 3, said: "no/such/item.json" })]
#[case::watch_kind(UsageCase { arguments: &["watch", "birds", "-a", NOBODY], key: Some("k"), code: 2, said: "workspaces, classes, models or holds" })]
fn the_message_names_the_remedy(#[case] case: UsageCase) {
    let output = run(case.arguments, case.key);
    let err = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(case.code), "{err}");
    assert!(err.contains(case.said), "{err}");
    assert!(output.stdout.is_empty(), "errors go to standard error");
}

#[rstest]
#[case::overview(&["--help"], "Exit codes:")]
#[case::command(&["submit", "--help"], "--once")]
#[case::command_first(&["-h", "drain"], "pistachiowick drain TARGET")]
#[case::version(&["--version"], "pistachiowick 0.")]
fn help_goes_to_standard_output(#[case] arguments: &[&str], #[case] said: &str) {
    let output = run(arguments, None);
    assert_eq!(output.status.code(), Some(0));
    let out = String::from_utf8_lossy(&output.stdout);
    assert!(out.contains(said), "{out}");
}

#[rstest]
#[case::workspace(
    "workspaces",
    "{\"name\": \"labe\", \"wieght\": 1, \"key_hashes\": []}",
    "wieght"
)]
#[case::class("classes", "{\"workspace\": \"labe\"}", "missing field")]
#[case::model("models", "[]", "`show` prints one")]
fn a_bad_item_is_refused_before_it_is_sent(
    #[case] kind: &str,
    #[case] text: &str,
    #[case] said: &str,
) {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("item.json");
    std::fs::write(&file, text).expect("it can be written");
    let file = file.to_str().expect("the name is text");
    let output = run(&[kind, "create", file, "-a", NOBODY], Some("k"));
    let err = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(3), "{err}");
    assert!(err.contains(said), "{err}");
}

#[test]
fn each_key_is_new_and_comes_with_its_hash() {
    let keys: Vec<Value> = (0..2)
        .map(|_| {
            let output = run(&["key", "--json"], None);
            assert_eq!(output.status.code(), Some(0));
            serde_json::from_slice(&output.stdout).expect("JSON")
        })
        .collect();
    assert_ne!(keys[0]["key"], keys[1]["key"]);
    for key in &keys {
        let text = key["key"].as_str().expect("text");
        assert!(text.len() >= 32, "the key can be guessed");
        let hash = key_hash(&SecretKey::new(text));
        assert_eq!(key["hash"], Value::from(hash));
    }
}

#[test]
fn a_key_hash_is_sha_256_in_hexadecimal() {
    let known = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(key_hash(&SecretKey::new("abc")), known);
}
