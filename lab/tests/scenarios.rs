//! The scenario format: what ships parses, what does not hold together is refused.

use pistachiowick_lab::compare::{PolicyRow, summarise};
use pistachiowick_lab::scenario::ScenarioSpec;
use rstest::rstest;
use serde_json::{Value, json};

const SHIPPED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");

fn shipped(name: &str) -> String {
    std::fs::read_to_string(format!("{SHIPPED}/{name}.json")).expect("the scenario ships")
}

#[test]
fn every_shipped_scenario_can_be_used() {
    let files = std::fs::read_dir(SHIPPED).expect("scenarios ship");
    let mut count = 0;
    for file in files {
        let path = file.expect("a readable entry").path();
        let text = std::fs::read_to_string(&path).expect("a readable file");
        let scenario = ScenarioSpec::parse(&text).unwrap_or_else(|e| panic!("{path:?}: {e:#}"));
        let name = path.file_stem().and_then(|s| s.to_str());
        assert_eq!(name, Some(scenario.name.as_str()));
        assert!(!scenario.plan(1).is_empty(), "{path:?} asks for nothing");
        count += 1;
    }
    assert!(count >= 9, "{count} scenarios");
}

#[test]
fn a_seed_gives_the_same_requests_again() {
    let scenario = ScenarioSpec::parse(&shipped("mix-swing")).expect("it parses");
    let prompts = |seed| -> Vec<Vec<u8>> {
        let planned = scenario.plan(seed).into_iter();
        planned.map(|request| request.submit.prompt).collect()
    };
    assert_eq!(prompts(7), prompts(7));
    assert_ne!(prompts(7), prompts(8));
}

/// A change that makes a scenario unusable, and what the error must name.
struct BadCase {
    field: &'static str,
    value: Value,
    named: &'static str,
}

#[rstest]
#[case::unknown_field(BadCase { field: "enginez", value: json!(3), named: "enginez" })]
#[case::no_phase(BadCase { field: "phases", value: json!([]), named: "phases is empty" })]
#[case::no_daemon(BadCase { field: "daemons", value: json!(0), named: "daemons is 0" })]
#[case::no_time(BadCase { field: "time_scale", value: json!(0.0), named: "time_scale is 0" })]
#[case::no_centre(BadCase { field: "centres", value: json!([]), named: "centres is empty" })]
#[case::strange_engine_option(BadCase {
    field: "engine",
    value: json!({"min_stepp_ms": 5}),
    named: "min_stepp_ms",
})]
#[case::rate_of_unknown_class(BadCase {
    field: "phases",
    value: json!([{"duration_ms": 1000, "rates": {"rowing/chek": 1.0}}]),
    named: "rowing/chek",
})]
#[case::negative_rate(BadCase {
    field: "phases",
    value: json!([{"duration_ms": 1000, "rates": {"rowing/check": -1.0}}]),
    named: "rate -1",
})]
#[case::unknown_engine(BadCase {
    field: "events",
    value: json!([{"at_ms": 10, "event": "crash", "target": "engine-99"}]),
    named: "engine-99",
})]
#[case::missing_workspace(BadCase {
    field: "workspaces",
    value: json!({"rowing": 1}),
    named: "stores",
})]
fn a_bad_scenario_is_refused(#[case] case: BadCase) {
    let mut document: Value = serde_json::from_str(&shipped("mix-swing")).expect("JSON");
    document[case.field] = case.value;
    let error = ScenarioSpec::parse(&document.to_string()).expect_err("it cannot be used");
    let text = format!("{error:#}");
    assert!(text.contains(case.named), "{text}");
}

fn row(policy: &str, goodput: f64) -> PolicyRow {
    PolicyRow {
        policy: policy.to_owned(),
        seed: 1,
        goodput,
        by_class: indexmap::IndexMap::new(),
        by_workspace: indexmap::IndexMap::new(),
        submitted: 1,
        refused: 0,
        expired_or_unknown: 0,
        faults: 0,
        role_changes: 0,
        idle_s: 0.0,
        first_p95_ms: 0.0,
    }
}

#[test]
fn ratios_are_against_the_best_other_policy() {
    let rows = [
        row("own", 0.8),
        row("a", 0.4),
        row("b", 0.5),
        row("own", 0.6),
    ];
    let sums = summarise(&rows);
    assert_eq!(sums[0].policy, "own");
    assert!((sums[0].goodput - 0.7).abs() < 1e-9);
    assert!((sums[0].ratio - 1.4).abs() < 1e-9);
    assert!((sums[1].ratio - 0.4 / 0.7).abs() < 1e-9);
}
