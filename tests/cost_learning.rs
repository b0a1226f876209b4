//! Cost model: initial estimates, learning, and the bounds of learned corrections.

use pistachiowick::decide::cost::{CostModel, SpeedSettings};
use pistachiowick::names::TargetId;
use pistachiowick::targets::wire::EngineRole;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

fn model() -> CostModel {
    CostModel::new(SpeedSettings::default())
}

fn engine() -> TargetId {
    TargetId::from("engine")
}

struct RoleCase {
    role: EngineRole,
    prefill_s: f64,
    token_gap_s: f64,
}

// Expected time of 8,000 prompt tokens, and the token gap of a single stream, on engines
// without observations.
#[rstest]
#[case::mixed(RoleCase { role: EngineRole::Mixed, prefill_s: 1.0, token_gap_s: 0.010 })]
#[case::prefill(RoleCase { role: EngineRole::Prefill, prefill_s: 1.0 / 1.8, token_gap_s: 0.010 / 0.35 })]
#[case::decode(RoleCase { role: EngineRole::Decode, prefill_s: 1.0 / 0.45, token_gap_s: 0.010 / 1.6 })]
fn initial_estimate_follows_the_role(#[case] case: RoleCase) {
    let model = model();
    let prefill = model.prefill_seconds(&engine(), case.role, 8_000.0);
    let gap = model.token_gap_seconds(&engine(), case.role, 0.0);
    assert!((prefill - case.prefill_s).abs() < 1e-9, "{prefill}");
    assert!((gap - case.token_gap_s).abs() < 1e-9, "{gap}");
}

// The step time is constant for small batches; beyond that each stream adds to it.
#[rstest]
#[case::single_stream(0.0, 0.010)]
#[case::small_batch(9.0, 0.010)]
#[case::full_batch(31.0, 0.0192)]
fn gap_grows_with_the_batch(#[case] others: f64, #[case] expected: f64) {
    let gap = model().token_gap_seconds(&engine(), EngineRole::Mixed, others);
    assert!((gap - expected).abs() < 1e-9, "{gap}");
}

struct LearnCase {
    ratio: f64,
    converged: f64,
}

// An engine takes `ratio` times as long as expected, every time. The correction converges
// to that ratio within its bounds; without bounds, outliers would exclude an engine from
// placement permanently.
#[rstest]
#[case::as_expected(LearnCase { ratio: 1.0, converged: 1.0 })]
#[case::twice_as_slow(LearnCase { ratio: 2.0, converged: 2.0 })]
#[case::twice_as_fast(LearnCase { ratio: 0.5, converged: 0.5 })]
#[case::absurdly_slow(LearnCase { ratio: 1e6, converged: 5.0 })]
#[case::absurdly_fast(LearnCase { ratio: 1e-6, converged: 0.2 })]
fn correction_follows_and_is_clamped(#[case] case: LearnCase) {
    let mut model = model();
    let (target, role) = (engine(), EngineRole::Mixed);
    let (true_prefill, true_gap) = (0.125 * case.ratio, 0.010 * case.ratio);
    for _ in 0..2_000 {
        let prefill = model.prefill_seconds(&target, role, 1_000.0);
        model.observe_prefill(&target, prefill, true_prefill);
        let gap = model.token_gap_seconds(&target, role, 0.0);
        model.observe_token_gap(&target, gap, true_gap);
    }
    let prefill = model.prefill_seconds(&target, role, 1_000.0) / 0.125;
    let gap = model.token_gap_seconds(&target, role, 0.0) / 0.010;
    assert!((prefill / case.converged - 1.0).abs() < 0.01, "{prefill}");
    assert!((gap / case.converged - 1.0).abs() < 0.01, "{gap}");
    let other = model.prefill_seconds(&"other".into(), role, 1_000.0);
    assert!(
        (other - 0.125).abs() < 1e-9,
        "the estimate of another engine changed to {other}"
    );
}

#[rstest]
#[case::zero_expected(0.0, 1.0)]
#[case::infinite(1.0, f64::INFINITY)]
#[case::not_a_number(1.0, f64::NAN)]
fn invalid_observation_changes_nothing(#[case] expected: f64, #[case] actual: f64) {
    let mut model = model();
    model.observe_prefill(&engine(), expected, actual);
    let prefill = model.prefill_seconds(&engine(), EngineRole::Mixed, 8_000.0);
    assert!((prefill - 1.0).abs() < 1e-9, "{prefill}");
}

#[test]
fn output_length_is_learned_per_class() {
    let mut model = model();
    let (workspace, short, long) = ("w".into(), "short".into(), "long".into());
    assert!((model.expected_output(&workspace, &short, 100) - 70.0).abs() < 1e-9);
    for _ in 0..200 {
        model.observe_output(&workspace, &short, 10, 100);
        model.observe_output(&workspace, &long, 95, 100);
        model.observe_output(&workspace, &long, 5, 0);
    }
    assert!((model.expected_output(&workspace, &short, 100) - 10.0).abs() < 0.1);
    assert!((model.expected_output(&workspace, &long, 100) - 95.0).abs() < 0.1);
    assert!((model.expected_output(&workspace, &short, 1) - 1.0).abs() < 1e-9);
}

// An engine that left and returned under the same name is a different process.
#[test]
fn targets_not_in_the_fleet_are_dropped() {
    let mut model = model();
    model.observe_prefill(&engine(), 1.0, 4.0);
    model.observe_prefill_activity(&engine(), true);
    model.retain_targets(|_| false);
    let prefill = model.prefill_seconds(&engine(), EngineRole::Mixed, 8_000.0);
    assert!((prefill - 1.0).abs() < 1e-9);
    assert!(model.prefill_time_share(&engine()).abs() < 1e-9);
}

proptest! {
    #![proptest_config(Config {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..Config::default()
    })]

    // For any observations, every estimate stays finite, positive and within the bounds
    // of the correction.
    #[test]
    fn estimates_stay_in_bounds(observations in prop::collection::vec((any::<f64>(), any::<f64>()), 0..200)) {
        let mut model = model();
        for (expected, actual) in observations {
            model.observe_prefill(&engine(), expected, actual);
            model.observe_token_gap(&engine(), expected, actual);
        }
        let prefill = model.prefill_seconds(&engine(), EngineRole::Mixed, 8_000.0);
        let gap = model.token_gap_seconds(&engine(), EngineRole::Mixed, 0.0);
        prop_assert!((0.199..=5.001).contains(&prefill), "{}", prefill);
        prop_assert!((0.00199..=0.05001).contains(&gap), "{}", gap);
    }
}
