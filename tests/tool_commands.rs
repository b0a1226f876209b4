//! The tool's binary against a whole deployment of stand-ins on loopback.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use pistachiowick::requests::access::{SecretKey, key_hash};
use pistachiowick_lab::fleet::{FleetPlan, LabFleet, OPERATOR_KEY};
use serde_json::{Value, json};

const CALLER_KEY: &str = "caller-key-of-the-test";
const RIVAL_KEY: &str = "rival-key-of-the-test";

/// A deployment and the addresses that the tool is given.
struct ToolFleet {
    fleet: LabFleet,
    runtime: tokio::runtime::Runtime,
}

impl ToolFleet {
    fn start() -> Self {
        let runtime = tokio::runtime::Runtime::new().expect("threads can be started");
        let plan = FleetPlan {
            daemons: 2,
            engines: 2,
            services: 1,
            ..FleetPlan::default()
        };
        let fleet = runtime
            .block_on(LabFleet::start(plan))
            .expect("the stand-ins start");
        let running = Self { fleet, runtime };
        running.configure();
        running
    }

    fn configure(&self) {
        let hash = |key: &str| key_hash(&SecretKey::new(key));
        let model = json!({ "name": "base", "versions": ["1"], "adapters": [], "weight_bytes": 1_000, "least_engines": 1 });
        self.create("models", &model);
        for (name, key) in [("labe", CALLER_KEY), ("vltava", RIVAL_KEY)] {
            let workspace = json!({ "name": name, "weight": 1, "key_hashes": [hash(key)] });
            self.create("workspaces", &workspace);
        }
        let choice = json!({ "models": { "models": ["base"], "adapters": [], "versions": [] } });
        self.create(
            "classes",
            &json!({
                "workspace": "labe", "name": "lane-summary", "deadline_ms": 20_000, "priority": 1,
                "repeatable": true, "target": choice,
            }),
        );
        self.create(
            "classes",
            &json!({
                "workspace": "labe", "name": "fee-receipt", "deadline_ms": 20_000, "priority": 0,
                "repeatable": false, "target": { "service": "ledger" },
            }),
        );
        self.wait_until_served();
    }

    fn create(&self, kind: &str, item: &Value) {
        let output = self.run(&[kind, "create"], OPERATOR_KEY, &item.to_string());
        assert_eq!(output.status.code(), Some(0), "{}", err(&output));
    }

    /// The class was accepted by one daemon; the other one takes it over soon after.
    fn wait_until_served(&self) {
        for address in self.fleet.addresses() {
            let listed = || {
                let output = run_at(&[&address], &["classes", "list"], OPERATOR_KEY, "");
                out(&output).contains("labe/fee-receipt")
            };
            let mut looks = 0;
            while !listed() {
                looks += 1;
                assert!(looks < 500, "{address} never took the configuration over");
                std::thread::sleep(std::time::Duration::from_millis(20));
            }
        }
    }

    fn run(&self, arguments: &[&str], key: &str, input: &str) -> Output {
        let addresses = self.fleet.addresses();
        let addresses: Vec<&str> = addresses.iter().map(String::as_str).collect();
        run_at(&addresses, arguments, key, input)
    }

    fn stop(self) {
        self.runtime.block_on(self.fleet.stop());
    }
}

fn run_at(addresses: &[&str], arguments: &[&str], key: &str, input: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pistachiowick"));
    command.args(arguments).env("PISTACHIOWICK_KEY", key);
    for address in addresses {
        command.args(["--address", address]);
    }
    command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().expect("the binary is built");
    let mut stdin = child.stdin.take().expect("it is piped");
    // A command that reads no input may have ended already.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("it ends by itself")
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn json_of(output: &Output) -> Value {
    assert_eq!(output.status.code(), Some(0), "{}", err(output));
    serde_json::from_slice(&output.stdout).expect("one JSON value")
}

#[test]
fn a_caller_submits_and_asks() {
    let tool = ToolFleet::start();
    let ask = |arguments: &[&str]| tool.run(arguments, CALLER_KEY, "");

    let located = json_of(&ask(&["locate", "--json"]));
    assert_eq!(
        located["addresses"].as_array().map(Vec::len),
        Some(2),
        "{located}"
    );

    let plain = ask(&["submit", "lane-summary", "which lane", "-o", "20"]);
    assert_eq!(plain.status.code(), Some(0), "{}", err(&plain));
    let same = json_of(&ask(&[
        "submit",
        "lane-summary",
        "which lane",
        "-o",
        "20",
        "--json",
    ]));
    assert_eq!(same["outcome"], "answered");
    assert_eq!(same["length"], Value::from(plain.stdout.len()));

    let piped = tool.run(
        &["submit", "lane-summary", "-", "-o", "5"],
        CALLER_KEY,
        "a prompt",
    );
    assert_eq!(piped.status.code(), Some(0), "{}", err(&piped));
    assert!(!piped.stdout.is_empty());

    let unknown = ask(&["submit", "no-such-class", "x"]);
    assert_eq!(unknown.status.code(), Some(1));
    assert!(err(&unknown).contains("no-such-class"), "{}", err(&unknown));
    tool.stop();
}

// A clerk submits a receipt twice with the same request key. It runs once; the
// second submission receives the recorded answer of the first.
#[test]
fn a_request_with_a_key_runs_once() {
    let tool = ToolFleet::start();
    let ask = |arguments: &[&str]| tool.run(arguments, CALLER_KEY, "");

    let first = ask(&["submit", "fee-receipt", "club 7", "--once"]);
    assert_eq!(first.status.code(), Some(0), "{}", err(&first));
    let said = err(&first);
    let words: Vec<&str> = said.split_whitespace().collect();
    let (key, minted) = (words[2], words[5]);
    let again = [
        "submit",
        "fee-receipt",
        "club 7",
        "--request-key",
        key,
        "--minted-at",
        minted,
    ];
    let second = ask(&again);
    assert_eq!(second.status.code(), Some(0), "{}", err(&second));
    assert_eq!(out(&second), out(&first));

    let recorded = ask(&["outcome", key, minted, "--json"]);
    assert_eq!(json_of(&recorded)["result"], Value::from(out(&first)));
    let rival = tool.run(&["outcome", key, minted, "--json"], RIVAL_KEY, "");
    assert_eq!(
        rival.status.code(),
        Some(4),
        "a rival learns nothing: {}",
        out(&rival)
    );

    let unused = ask(&["outcome", "never-submitted", minted, "--settle"]);
    assert_eq!(unused.status.code(), Some(4), "{}", err(&unused));
    tool.stop();
}

#[test]
fn an_operator_changes_items_and_sees_conflicts() {
    let tool = ToolFleet::start();
    let first = tool.fleet.addresses().remove(0);
    let operate =
        |arguments: &[&str], input: &str| run_at(&[&first], arguments, OPERATOR_KEY, input);

    let shown = operate(&["workspaces", "show", "labe"], "");
    let mut item = json_of(&shown);
    let revision =
        json_of(&operate(&["workspaces", "show", "labe", "--json"], ""))["revision"].to_string();
    item["weight"] = json!(3);
    let change = ["workspaces", "change", "--based-on", revision.as_str()];
    let changed = operate(&change, &item.to_string());
    assert_eq!(changed.status.code(), Some(0), "{}", err(&changed));
    let conflict = operate(&change, &item.to_string());
    assert_eq!(conflict.status.code(), Some(1));
    assert!(
        err(&conflict).contains("moved to revision"),
        "{}",
        err(&conflict)
    );
    let shown = json_of(&operate(&["workspaces", "show", "labe", "--json"], ""));
    assert_eq!(shown["item"]["weight"], 3);

    let newest = shown["revision"].to_string();
    let deleted = operate(
        &["workspaces", "delete", "vltava", "--based-on", &newest],
        "",
    );
    assert_eq!(
        deleted.status.code(),
        Some(1),
        "the revision is another item's"
    );
    let bad = operate(
        &["workspaces", "create"],
        "{\"name\": \"x\", \"weight\": 0, \"key_hashes\": []}",
    );
    assert_eq!(bad.status.code(), Some(1), "{}", out(&bad));
    assert!(err(&bad).contains("weight"), "{}", err(&bad));

    let caller = run_at(&[&first], &["workspaces", "list"], CALLER_KEY, "");
    assert_eq!(caller.status.code(), Some(1));
    assert!(
        !out(&caller).contains("labe"),
        "a caller sees no configuration"
    );
    tool.stop();
}

#[test]
fn an_operator_drains_and_asks_why() {
    let tool = ToolFleet::start();
    let first = tool.fleet.addresses().remove(0);
    let operate = |arguments: &[&str]| run_at(&[&first], arguments, OPERATOR_KEY, "");

    let drained = operate(&["drain", "engine-00", "--reason", "new fans"]);
    assert_eq!(drained.status.code(), Some(0), "{}", err(&drained));
    let targets = json_of(&operate(&["targets", "--json"]));
    let states = targets.as_array().expect("a list").iter();
    let state = states
        .filter(|t| t["target"] == "engine-00")
        .map(|t| &t["state"])
        .next();
    assert_eq!(state, Some(&json!("drained")), "{targets}");
    let unknown = operate(&["drain", "engine-99"]);
    assert!(err(&unknown).contains("engine-99"), "{}", err(&unknown));
    assert_eq!(unknown.status.code(), Some(1));

    let decisions = json_of(&operate(&["explain", "engine-00", "--json"]));
    assert!(decisions.to_string().contains("drained"), "{decisions}");
    let restored = operate(&["restore", "engine-00"]);
    assert_eq!(restored.status.code(), Some(0), "{}", err(&restored));

    let status = out(&operate(&["status"]));
    for word in [
        "entry-0",
        "entry-1",
        "engine-00",
        "service-00",
        "ready, platform reachable",
    ] {
        assert!(status.contains(word), "{word} is missing:\n{status}");
    }
    tool.stop();
}
