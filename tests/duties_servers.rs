//! Plans of how many servers of each kind a data centre should have.

use std::time::Duration;

use pistachiowick::gateway::fleet_tasks::server_plan::{
    CentreTargets, DesiredCounts, next_step, plan,
};
use pistachiowick::gateway::model::ScalingRule;
use pistachiowick::names::CentreName;
use rstest::rstest;

fn rule(price: Option<f64>) -> ScalingRule {
    ScalingRule {
        min_per_centre: 1,
        max_per_centre: 60,
        boot_time: Duration::from_secs(4),
        reclaimable_price: price,
        centre_prices: [("a", 0.85), ("b", 1.2), ("c", 1.0)]
            .map(|(centre, price)| (CentreName::from(centre), price))
            .into(),
    }
}

fn centres(current: &[(u32, u32)], expected_reclaimable: u32) -> Vec<CentreTargets> {
    let prices = [("a", 0.85), ("b", 1.2), ("c", 1.0)];
    let all = current.iter().zip(prices);
    all.map(
        |((on_demand, reclaimable), (centre, price))| CentreTargets {
            centre: CentreName::from(centre),
            price,
            on_demand: *on_demand,
            reclaimable: *reclaimable,
            expected_reclaimable,
        },
    )
    .collect()
}

struct PlanCase {
    price: Option<f64>,
    /// Serving on-demand and reclaimable targets, by data centre.
    current: &'static [(u32, u32)],
    /// Reclaimable targets of each data centre that were ordered recently.
    expected_reclaimable: u32,
    desired: Option<&'static [(u32, u32)]>,
}

// The operator provided 90 on-demand servers in three data centres. Reclaimable ones cost a
// fifth and are reclaimed all at once, a data centre at a time: 45 in each leave 90 whichever
// data centre loses them. On-demand servers are released once reclaimable ones serve, replace
// reclaimed ones, the cheapest first, and stay where reclaimable ones are unavailable or not
// cheaper. Recently ordered servers are not replaced while they start, and running on-demand
// servers stay until those serve.
#[rstest]
#[case::two_restarting(PlanCase { price: Some(0.18), current: &[(1, 45), (1, 0), (1, 0)], expected_reclaimable: 45, desired: Some(&[(1, 45), (1, 45), (1, 45)]) })]
#[case::on_demand_while_reclaimable_start(PlanCase { price: Some(0.18), current: &[(30, 0), (30, 0), (30, 0)], expected_reclaimable: 30, desired: Some(&[(30, 30), (30, 30), (30, 30)]) })]
#[case::initial(PlanCase { price: Some(0.18), current: &[(30, 0), (30, 0), (30, 0)], expected_reclaimable: 0, desired: Some(&[(30, 30), (30, 30), (30, 30)]) })]
#[case::first_ones_running(PlanCase { price: Some(0.18), current: &[(30, 30), (30, 30), (30, 30)], expected_reclaimable: 0, desired: Some(&[(1, 30), (1, 30), (1, 30)]) })]
#[case::on_demand_ones_gone(PlanCase { price: Some(0.18), current: &[(1, 30), (1, 30), (1, 30)], expected_reclaimable: 0, desired: Some(&[(1, 45), (1, 45), (1, 45)]) })]
#[case::steady(PlanCase { price: Some(0.18), current: &[(1, 45), (1, 45), (1, 45)], expected_reclaimable: 0, desired: Some(&[(1, 45), (1, 45), (1, 45)]) })]
#[case::one_centre_reclaimed(PlanCase { price: Some(0.18), current: &[(1, 45), (1, 0), (1, 45)], expected_reclaimable: 0, desired: Some(&[(1, 45), (1, 45), (1, 45)]) })]
#[case::two_centres_reclaimed(PlanCase { price: Some(0.18), current: &[(1, 45), (1, 0), (1, 0)], expected_reclaimable: 0, desired: Some(&[(15, 45), (15, 45), (15, 45)]) })]
#[case::no_capacity(PlanCase { price: Some(0.18), current: &[(30, 0), (30, 0), (30, 30)], expected_reclaimable: 0, desired: Some(&[(30, 30), (29, 30), (1, 30)]) })]
#[case::no_price_advantage(PlanCase { price: Some(0.9), current: &[(30, 0), (30, 0), (30, 0)], expected_reclaimable: 0, desired: None })]
#[case::no_reclaimable_price(PlanCase { price: None, current: &[(30, 0), (30, 0), (30, 0)], expected_reclaimable: 0, desired: None })]
#[case::one_centre(PlanCase { price: Some(0.18), current: &[(30, 0)], expected_reclaimable: 0, desired: None })]
fn plans_follow_what_is_running(#[case] case: PlanCase) {
    let centres = centres(case.current, case.expected_reclaimable);
    let planned = plan(&rule(case.price), 90, &centres);
    let desired = case.desired.map(|desired| {
        let pairs = desired.iter().zip(&centres);
        pairs
            .map(|((on_demand, reclaimable), centre)| DesiredCounts {
                centre: centre.centre.clone(),
                on_demand: *on_demand,
                reclaimable: *reclaimable,
            })
            .collect::<Vec<_>>()
    });
    assert_eq!(planned, desired);
}

// Whatever is running, both kinds together stay within the maximum of a data centre.
#[test]
fn plans_stay_within_their_limits() {
    for provided in [3, 12, 90, 120] {
        for on_demand in [0, 1, 20, 60] {
            for reclaimable in [0, 10, 45] {
                let current = [(on_demand, reclaimable), (1, 45), (30, 0)];
                for desired in plan(&rule(Some(0.18)), provided, &centres(&current, 0))
                    .into_iter()
                    .flatten()
                {
                    assert!(
                        desired.on_demand.max(1) + desired.reclaimable <= 60 || on_demand == 60,
                        "{desired:?}"
                    );
                }
            }
        }
    }
}

struct StepCase {
    current: u32,
    desired: u32,
    last_ordered: Option<u32>,
    next: u32,
}

// A fleet of thousands of targets replaces them by reclaimable ones. If all were ordered at
// once, every daemon would be notified of every change within the same seconds, the links of
// the hubs would fill, and departures would be received after the target is gone. A data
// centre therefore orders a limited number, and the next ones once these are running; targets
// that start one by one cause no further order.
#[rstest]
#[case::small_fleet_at_once(StepCase { current: 0, desired: 45, last_ordered: None, next: 45 })]
#[case::more_desired_while_starting(StepCase { current: 10, desired: 45, last_ordered: Some(30), next: 45 })]
#[case::fewer_desired_while_leaving(StepCase { current: 28, desired: 1, last_ordered: Some(20), next: 1 })]
#[case::first_of_many(StepCase { current: 0, desired: 1_500, last_ordered: None, next: 100 })]
#[case::half_of_a_step_running(StepCase { current: 50, desired: 1_500, last_ordered: Some(100), next: 100 })]
#[case::step_complete(StepCase { current: 100, desired: 1_500, last_ordered: Some(100), next: 200 })]
#[case::last_step(StepCase { current: 1_450, desired: 1_500, last_ordered: Some(1_450), next: 1_500 })]
#[case::all_running(StepCase { current: 1_500, desired: 1_500, last_ordered: Some(1_500), next: 1_500 })]
#[case::first_release(StepCase { current: 1_000, desired: 1, last_ordered: None, next: 900 })]
#[case::step_still_leaving(StepCase { current: 950, desired: 1, last_ordered: Some(900), next: 900 })]
#[case::desired_count_reversed(StepCase { current: 950, desired: 1_000, last_ordered: Some(900), next: 1_000 })]
#[case::all_reclaimed(StepCase { current: 0, desired: 1_500, last_ordered: Some(1_500), next: 100 })]
#[case::few_lost(StepCase { current: 1_497, desired: 1_500, last_ordered: Some(1_500), next: 1_500 })]
fn large_changes_are_ordered_in_steps(#[case] case: StepCase) {
    assert_eq!(
        next_step(case.current, case.desired, case.last_ordered),
        case.next
    );
}
