//! Retry budget: retries are limited to a share of first attempts.

use pistachiowick::decide::retry_budget::RetryBudget;
use rstest::rstest;

struct BudgetCase {
    share: f64,
    attempts: usize,
    max_retries: usize,
}

// Under overload every attempt fails and requests a retry. The retries granted are the
// configured share of first attempts, plus the initial savings.
#[rstest]
#[case::no_attempts(BudgetCase { share: 0.1, attempts: 0, max_retries: 5 })]
#[case::light_load(BudgetCase { share: 0.1, attempts: 100, max_retries: 15 })]
#[case::overload(BudgetCase { share: 0.1, attempts: 10_000, max_retries: 1_005 })]
#[case::none_allowed(BudgetCase { share: 0.0, attempts: 10_000, max_retries: 5 })]
#[case::all_allowed(BudgetCase { share: 1.0, attempts: 1_000, max_retries: 1_005 })]
fn retries_stay_a_share_of_attempts(#[case] case: BudgetCase) {
    let mut budget = RetryBudget::new(case.share);
    let mut retries = 0;
    for _ in 0..case.attempts {
        budget.record_attempt();
        retries += usize::from(budget.try_spend());
    }
    while budget.try_spend() {
        retries += 1;
    }
    // Sums of 0.1 have rounding errors, so one retry less is accepted.
    assert!(retries <= case.max_retries, "{retries} retries");
    assert!(retries + 1 >= case.max_retries, "{retries} retries");
}

#[test]
fn savings_are_bounded() {
    let mut budget = RetryBudget::new(0.5);
    for _ in 0..1_000_000 {
        budget.record_attempt();
    }
    let saved = (0..1_000).filter(|_| budget.try_spend()).count();
    assert_eq!(saved, 20);
}
