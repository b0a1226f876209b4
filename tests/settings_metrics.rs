//! `metrics.tracked_pairs` bounds the series, however many workspaces there are.

use std::time::Duration;

use indexmap::IndexSet;
use pistachiowick::names::{ClassName, WorkspaceName};
use pistachiowick::telemetry::{RequestTimes, Telemetry, install_prometheus};

const WORKSPACES: usize = 5_000;
const TRACKED: usize = 3;

fn label<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = line.split_once(&format!("{name}=\""))?;
    rest.split('"').next()
}

#[test]
fn pairs_beyond_the_tracked_ones_share_a_series() {
    let page = install_prometheus().expect("nothing else is installed");
    install_prometheus().expect("a second daemon in the process shares it");
    let telemetry = Telemetry::new(TRACKED);
    let class = ClassName::from("lane-summary");
    let times = RequestTimes {
        queueing: Duration::from_millis(3),
        first_token: Some(Duration::from_millis(200)),
        total: Duration::from_millis(900),
        lateness: Duration::ZERO,
    };
    for number in 0..WORKSPACES {
        let workspace = WorkspaceName::from(format!("workspace-{number}"));
        telemetry.request_ended(&workspace, &class, "answered", &times);
        telemetry.token_gap(&workspace, &class, Duration::from_millis(20));
    }
    let page = page.render();
    let workspaces: IndexSet<&str> = page.lines().filter_map(|l| label(l, "workspace")).collect();
    assert_eq!(workspaces.len(), TRACKED + 1, "{workspaces:?}");
    assert!(workspaces.contains("other"));
    let shared = "pistachiowick_requests_total{workspace=\"other\",class=\"other\",outcome=\"answered\"} 4997";
    assert!(page.contains(shared), "{page}");
    for histogram in ["queueing", "first_token", "token_gap", "total", "lateness"] {
        let count = format!(
            "pistachiowick_{histogram}_seconds_count{{workspace=\"workspace-0\",class=\"lane-summary\"}} 1"
        );
        assert!(page.contains(&count), "{count} is missing");
    }
    // The two promises have bucket bounds of their own, so that shares can be read off.
    for bound in ["le=\"0.041\"", "le=\"1.1\""] {
        assert!(page.contains(bound), "{bound} is missing");
    }
}
