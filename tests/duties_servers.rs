//! How many servers each data centre is to have, and of which kind.

use std::time::Duration;

use pistachiowick::gateway::fleet_tasks::server_plan::{
    CentreTargets, CentreWish, next_step, plan,
};
use pistachiowick::gateway::model::ScalingRule;
use pistachiowick::names::CentreName;
use rstest::rstest;

fn rule(price: Option<f64>) -> ScalingRule {
    ScalingRule {
        fewest: 1,
        most: 60,
        boot: Duration::from_secs(4),
        reclaimable_price: price,
        centre_prices: [("a", 0.85), ("b", 1.2), ("c", 1.0)]
            .map(|(centre, price)| (CentreName::from(centre), price))
            .into(),
    }
}

fn centres(there: &[(u32, u32)], coming: u32) -> Vec<CentreTargets> {
    let priced = [("a", 0.85), ("b", 1.2), ("c", 1.0)];
    let all = there.iter().zip(priced);
    all.map(|((firm, reclaimable), (centre, price))| CentreTargets {
        centre: CentreName::from(centre),
        price,
        firm: *firm,
        reclaimable: *reclaimable,
        coming,
    })
    .collect()
}

struct PlanCase {
    price: Option<f64>,
    /// Firm and reclaimable ones that serve, by data centre.
    there: &'static [(u32, u32)],
    /// Reclaimable ones of each data centre that were ordered lately.
    coming: u32,
    wanted: Option<&'static [(u32, u32)]>,
}

// The operator provided 90 firm servers in three data centres. Reclaimable ones cost a
// fifth and go all at once, a data centre at a time: 45 in each leave 90 whichever goes.
// Firm ones leave when reclaimable ones serve, stand in for those that went, the cheapest
// first, and stay where reclaimable ones are not to be had or not worth it.
// Those that were ordered lately are not stood in for while they start, and the firm ones
// that run stay until they serve.
#[rstest]
#[case::two_starting_again(PlanCase { price: Some(0.18), there: &[(1, 45), (1, 0), (1, 0)], coming: 45, wanted: Some(&[(1, 45), (1, 45), (1, 45)]) })]
#[case::firm_while_they_start(PlanCase { price: Some(0.18), there: &[(30, 0), (30, 0), (30, 0)], coming: 30, wanted: Some(&[(30, 30), (30, 30), (30, 30)]) })]
#[case::as_found(PlanCase { price: Some(0.18), there: &[(30, 0), (30, 0), (30, 0)], coming: 0, wanted: Some(&[(30, 30), (30, 30), (30, 30)]) })]
#[case::first_ones_serve(PlanCase { price: Some(0.18), there: &[(30, 30), (30, 30), (30, 30)], coming: 0, wanted: Some(&[(1, 30), (1, 30), (1, 30)]) })]
#[case::firm_ones_gone(PlanCase { price: Some(0.18), there: &[(1, 30), (1, 30), (1, 30)], coming: 0, wanted: Some(&[(1, 45), (1, 45), (1, 45)]) })]
#[case::steady(PlanCase { price: Some(0.18), there: &[(1, 45), (1, 45), (1, 45)], coming: 0, wanted: Some(&[(1, 45), (1, 45), (1, 45)]) })]
#[case::one_centre_reclaimed(PlanCase { price: Some(0.18), there: &[(1, 45), (1, 0), (1, 45)], coming: 0, wanted: Some(&[(1, 45), (1, 45), (1, 45)]) })]
#[case::two_centres_reclaimed(PlanCase { price: Some(0.18), there: &[(1, 45), (1, 0), (1, 0)], coming: 0, wanted: Some(&[(15, 45), (15, 45), (15, 45)]) })]
#[case::none_to_be_had(PlanCase { price: Some(0.18), there: &[(30, 0), (30, 0), (30, 30)], coming: 0, wanted: Some(&[(30, 30), (29, 30), (1, 30)]) })]
#[case::as_dear(PlanCase { price: Some(0.9), there: &[(30, 0), (30, 0), (30, 0)], coming: 0, wanted: None })]
#[case::none_of_the_kind(PlanCase { price: None, there: &[(30, 0), (30, 0), (30, 0)], coming: 0, wanted: None })]
#[case::one_centre(PlanCase { price: Some(0.18), there: &[(30, 0)], coming: 0, wanted: None })]
fn what_each_data_centre_is_to_have(#[case] case: PlanCase) {
    let centres = centres(case.there, case.coming);
    let wishes = plan(&rule(case.price), 90, &centres);
    let wanted = case.wanted.map(|wanted| {
        let pairs = wanted.iter().zip(&centres);
        pairs
            .map(|((firm, reclaimable), at)| CentreWish {
                centre: at.centre.clone(),
                firm: *firm,
                reclaimable: *reclaimable,
            })
            .collect::<Vec<_>>()
    });
    assert_eq!(wishes, wanted);
}

// Whatever is there, both kinds together stay within the most that a data centre may have,
// and what one data centre's loss leaves is what the operator had provided.
#[test]
fn plans_stay_within_their_limits() {
    for provided in [3, 12, 90, 120] {
        for firm in [0, 1, 20, 60] {
            for reclaimable in [0, 10, 45] {
                let there = [(firm, reclaimable), (1, 45), (30, 0)];
                for wish in plan(&rule(Some(0.18)), provided, &centres(&there, 0))
                    .into_iter()
                    .flatten()
                {
                    assert!(
                        wish.firm.max(1) + wish.reclaimable <= 60 || firm == 60,
                        "{wish:?}"
                    );
                }
            }
        }
    }
}

struct StepCase {
    there: u32,
    wanted: u32,
    ordered: Option<u32>,
    next: u32,
}

// A fleet of thousands of targets exchanges them for reclaimable ones. Ordered all at once,
// each change goes to each daemon in the same seconds, the links of the hubs fill, and a
// departure is heard after the target is gone. So a data centre orders a bounded number,
// the next ones when these are there; targets that come one by one give no further order.
#[rstest]
#[case::small_fleet_at_once(StepCase { there: 0, wanted: 45, ordered: None, next: 45 })]
#[case::more_wanted_while_they_start(StepCase { there: 10, wanted: 45, ordered: Some(30), next: 45 })]
#[case::fewer_wanted_while_they_leave(StepCase { there: 28, wanted: 1, ordered: Some(20), next: 1 })]
#[case::first_of_many(StepCase { there: 0, wanted: 1_500, ordered: None, next: 100 })]
#[case::half_of_a_step_is_there(StepCase { there: 50, wanted: 1_500, ordered: Some(100), next: 100 })]
#[case::step_is_there(StepCase { there: 100, wanted: 1_500, ordered: Some(100), next: 200 })]
#[case::last_step(StepCase { there: 1_450, wanted: 1_500, ordered: Some(1_450), next: 1_500 })]
#[case::all_there(StepCase { there: 1_500, wanted: 1_500, ordered: Some(1_500), next: 1_500 })]
#[case::letting_go(StepCase { there: 1_000, wanted: 1, ordered: None, next: 900 })]
#[case::step_still_leaving(StepCase { there: 950, wanted: 1, ordered: Some(900), next: 900 })]
#[case::wish_turned(StepCase { there: 950, wanted: 1_000, ordered: Some(900), next: 1_000 })]
#[case::all_taken_away(StepCase { there: 0, wanted: 1_500, ordered: Some(1_500), next: 100 })]
#[case::few_lost(StepCase { there: 1_497, wanted: 1_500, ordered: Some(1_500), next: 1_500 })]
fn a_step_of_an_exchange(#[case] case: StepCase) {
    assert_eq!(next_step(case.there, case.wanted, case.ordered), case.next);
}
