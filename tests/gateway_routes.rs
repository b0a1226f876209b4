//! Route look-up, and the split of a route between services.

mod gateway_samples;

use gateway_samples::{config, route};
use pistachiowick::gateway::model::ServiceShare;
use pistachiowick::gateway::routes::{RouteTable, choose_service};
use pistachiowick::names::ServiceName;
use rstest::rstest;

struct FindCase {
    host: &'static str,
    path: &'static str,
    found: Option<&'static str>,
}

#[rstest]
#[case::shorter(FindCase { host: "a.example", path: "/x/2", found: Some("short") })]
#[case::longer(FindCase { host: "a.example", path: "/x/y/2", found: Some("long") })]
#[case::prefix_ends_with_a_slash(FindCase { host: "a.example", path: "/xy/2", found: None })]
#[case::without_the_slash(FindCase { host: "a.example", path: "/x", found: None })]
#[case::other_host(FindCase { host: "b.example", path: "/x/y/2", found: Some("other") })]
#[case::unknown_host(FindCase { host: "c.example", path: "/x/y/2", found: None })]
fn the_longest_prefix_of_the_host_wins(#[case] case: FindCase) {
    let table = RouteTable::from(config(
        1,
        vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/"),
        ],
    ));
    let found = table.find(case.host, case.path);
    assert_eq!(found.map(|route| route.name.as_str()), case.found);
}

#[rstest]
#[case::first(0.0, "blue")]
#[case::edge_of_the_first(0.899, "blue")]
#[case::second(0.9, "green")]
#[case::last(0.999_999, "green")]
fn a_split_follows_its_weights(#[case] draw: f64, #[case] expected: &str) {
    let mut split = route("split", "a.example", "/x/");
    split.shares = vec![share("blue", 90), share("green", 10)];
    let chosen = choose_service(&split, draw);
    assert_eq!(chosen, Some(&ServiceName::from(expected)));
}

#[test]
fn a_route_without_services_serves_nobody() {
    let mut empty = route("empty", "a.example", "/x/");
    empty.shares.clear();
    assert_eq!(choose_service(&empty, 0.5), None);
}

fn share(service: &str, weight: u32) -> ServiceShare {
    ServiceShare {
        service: ServiceName::from(service),
        weight,
    }
}
