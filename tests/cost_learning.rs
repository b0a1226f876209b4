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
    gap_s: f64,
}

// Expected time of 8,000 prompt tokens, and the token gap of a single stream, on engines
// without observations.
#[rstest]
#[case::mixed(RoleCase { role: EngineRole::Mixed, prefill_s: 1.0, gap_s: 0.010 })]
#[case::prefill(RoleCase { role: EngineRole::Prefill, prefill_s: 1.0 / 1.8, gap_s: 0.010 / 0.35 })]
#[case::decode(RoleCase { role: EngineRole::Decode, prefill_s: 1.0 / 0.45, gap_s: 0.010 / 1.6 })]
fn first_guess_follows_the_role(#[case] case: RoleCase) {
    let model = model();
    let prefill = model.prefill_seconds(&engine(), case.role, 8_000.0);
    let gap = model.gap_seconds(&engine(), case.role, 0.0);
    assert!((prefill - case.prefill_s).abs() < 1e-9, "{prefill}");
    assert!((gap - case.gap_s).abs() < 1e-9, "{gap}");
}

// The step time is constant for small batches; beyond that each stream adds to it.
#[rstest]
#[case::alone(0.0, 0.010)]
#[case::small_batch(9.0, 0.010)]
#[case::full_batch(31.0, 0.0192)]
fn gap_grows_with_the_batch(#[case] others: f64, #[case] expected: f64) {
    let gap = model().gap_seconds(&engine(), EngineRole::Mixed, others);
    assert!((gap - expected).abs() < 1e-9, "{gap}");
}

struct LearnCase {
    ratio: f64,
    settled: f64,
}

// An engine takes `ratio` times as long as expected, every time. The correction converges
// to that ratio within its bounds; without bounds, outliers would exclude an engine from
// placement permanently.
#[rstest]
#[case::as_expected(LearnCase { ratio: 1.0, settled: 1.0 })]
#[case::twice_as_slow(LearnCase { ratio: 2.0, settled: 2.0 })]
#[case::twice_as_fast(LearnCase { ratio: 0.5, settled: 0.5 })]
#[case::absurdly_slow(LearnCase { ratio: 1e6, settled: 5.0 })]
#[case::absurdly_fast(LearnCase { ratio: 1e-6, settled: 0.2 })]
fn correction_follows_and_is_clamped(#[case] case: LearnCase) {
    let mut model = model();
    let (target, role) = (engine(), EngineRole::Mixed);
    let (true_read, true_gap) = (0.125 * case.ratio, 0.010 * case.ratio);
    for _ in 0..2_000 {
        let read = model.prefill_seconds(&target, role, 1_000.0);
        model.observe_prefill(&target, read, true_read);
        let gap = model.gap_seconds(&target, role, 0.0);
        model.observe_gap(&target, gap, true_gap);
    }
    let read = model.prefill_seconds(&target, role, 1_000.0) / 0.125;
    let gap = model.gap_seconds(&target, role, 0.0) / 0.010;
    assert!((read / case.settled - 1.0).abs() < 0.01, "{read}");
    assert!((gap / case.settled - 1.0).abs() < 0.01, "{gap}");
    let other = model.prefill_seconds(&"other".into(), role, 1_000.0);
    assert!(
        (other - 0.125).abs() < 1e-9,
        "the estimate of another engine changed to {other}"
    );
}

#[rstest]
#[case::nothing_expected(0.0, 1.0)]
#[case::never_came(1.0, f64::INFINITY)]
#[case::no_number(1.0, f64::NAN)]
fn useless_observation_teaches_nothing(#[case] expected: f64, #[case] actual: f64) {
    let mut model = model();
    model.observe_prefill(&engine(), expected, actual);
    let read = model.prefill_seconds(&engine(), EngineRole::Mixed, 8_000.0);
    assert!((read - 1.0).abs() < 1e-9, "{read}");
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
fn targets_out_of_the_fleet_are_forgotten() {
    let mut model = model();
    model.observe_prefill(&engine(), 1.0, 4.0);
    model.observe_reading(&engine(), true);
    model.retain_targets(|_| false);
    let read = model.prefill_seconds(&engine(), EngineRole::Mixed, 8_000.0);
    assert!((read - 1.0).abs() < 1e-9);
    assert!(model.reading_share(&engine()).abs() < 1e-9);
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
    fn estimates_stay_in_bounds(seen in prop::collection::vec((any::<f64>(), any::<f64>()), 0..200)) {
        let mut model = model();
        for (expected, actual) in seen {
            model.observe_prefill(&engine(), expected, actual);
            model.observe_gap(&engine(), expected, actual);
        }
        let read = model.prefill_seconds(&engine(), EngineRole::Mixed, 8_000.0);
        let gap = model.gap_seconds(&engine(), EngineRole::Mixed, 0.0);
        prop_assert!((0.199..=5.001).contains(&read), "{}", read);
        prop_assert!((0.00199..=0.05001).contains(&gap), "{}", gap);
    }
}
