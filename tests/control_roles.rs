//! Role planner: which changes are worthwhile, which are not, and which never happen.

use std::time::Duration;

use pistachiowick::decide::cost::SpeedSettings;
use pistachiowick::names::{ModelName, MonoTime, TargetId};
use pistachiowick::roles::capacity::{RoleCounts, capacity};
use pistachiowick::roles::mix::{
    MIX_BINS, MixForecast, WorkAmount, WorkBins, WorkTotals, add_work,
};
use pistachiowick::roles::plan::{ModelNeed, PlanDecision, PlanEngine, RolePlanner};
use pistachiowick::settings::{PolicySettings, RolePolicy};
use pistachiowick::targets::wire::EngineRole;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const ENGINES: usize = 4;

fn model() -> ModelName {
    ModelName::from("m")
}

fn engines(roles: &[EngineRole]) -> Vec<PlanEngine> {
    let engines = roles.iter().enumerate().map(|(number, role)| PlanEngine {
        id: TargetId::from(format!("e{number}")),
        role: *role,
        models: vec!["m".to_owned()],
        usable: true,
        in_flight: 0,
    });
    engines.collect()
}

fn policy(roles: RolePolicy, price: f64) -> PolicySettings {
    PolicySettings {
        roles,
        role_change_price: price,
        ..PolicySettings::default()
    }
}

/// Work per second, as a share of all engines' capacity.
#[derive(Clone, Copy)]
struct Load {
    prefill: f64,
    decode: f64,
}

const BALANCED: Load = Load {
    prefill: 0.4,
    decode: 0.4,
};
const PROMPTS: Load = Load {
    prefill: 1.4,
    decode: 0.1,
};
const OUTPUT: Load = Load {
    prefill: 0.05,
    decode: 1.4,
};

fn add_load(mix: &mut MixForecast, load: Load, engines: usize) {
    let mut totals = WorkTotals::new();
    let work = WorkAmount {
        prefill: load.prefill * engines as f64,
        decode: load.decode * engines as f64,
    };
    add_work(&mut totals, &model(), work);
    for (model, bins) in &totals {
        mix.add_work(model, bins);
    }
}

struct Run {
    log: Vec<(u64, TargetId)>,
    changes: usize,
    max_in_progress: usize,
    keeps: usize,
    roles: Vec<EngineRole>,
}

/// Runs the planner in steps of one second; a change takes three steps.
fn run(policy: PolicySettings, start: &[EngineRole], loads: impl Iterator<Item = Load>) -> Run {
    let mut planner = RolePlanner::new(policy);
    let mut mix = MixForecast::default();
    let mut fleet = engines(start);
    let mut in_progress: Vec<(u64, TargetId, EngineRole)> = Vec::new();
    let mut run = Run {
        log: Vec::new(),
        changes: 0,
        max_in_progress: 0,
        keeps: 0,
        roles: Vec::new(),
    };
    for (second, load) in loads.enumerate() {
        let second = second as u64;
        let now = MonoTime(second * 1_000);
        add_load(&mut mix, load, fleet.len());
        mix.tick(now);
        for (done, id, role) in &in_progress {
            let engine = fleet.iter_mut().find(|e| e.id == *id).unwrap();
            if *done <= second {
                engine.role = *role;
                engine.usable = true;
            }
        }
        in_progress.retain(|(done, _, _)| *done > second);
        for decision in planner.plan(&fleet, &[], &mix, in_progress.len(), now) {
            match decision {
                PlanDecision::Keep { .. } => run.keeps += 1,
                PlanDecision::Change { target, change } => {
                    run.changes += 1;
                    run.log.push((second, target.clone()));
                    let engine = fleet.iter_mut().find(|e| e.id == target).unwrap();
                    engine.usable = false;
                    in_progress.push((second + 3, target, change.role));
                }
            }
        }
        let can_serve =
            |roles: [EngineRole; 2]| fleet.iter().any(|e| e.usable && roles.contains(&e.role));
        assert!(
            can_serve([EngineRole::Mixed, EngineRole::Prefill]),
            "no engine prefills prompts"
        );
        assert!(
            can_serve([EngineRole::Mixed, EngineRole::Decode]),
            "no engine decodes"
        );
        run.max_in_progress = run.max_in_progress.max(in_progress.len());
    }
    run.roles = fleet.iter().map(|e| e.role).collect();
    run
}

fn steady(load: Load, seconds: usize) -> impl Iterator<Item = Load> {
    std::iter::repeat_n(load, seconds)
}

struct LoadShiftCase {
    policy: PolicySettings,
    load: Load,
    min: usize,
    max: usize,
    expected_role: EngineRole,
}

#[rstest]
#[case::prompts(LoadShiftCase {
    policy: policy(RolePolicy::Forecast, 1.5), load: PROMPTS, min: 2, max: 3, expected_role: EngineRole::Prefill,
})]
#[case::output(LoadShiftCase {
    policy: policy(RolePolicy::Forecast, 1.5), load: OUTPUT, min: 2, max: 3, expected_role: EngineRole::Decode,
})]
#[case::costly(LoadShiftCase {
    policy: policy(RolePolicy::Forecast, 500.0), load: PROMPTS, min: 0, max: 0, expected_role: EngineRole::Prefill,
})]
#[case::fixed(LoadShiftCase {
    policy: policy(RolePolicy::Fixed, 1.0), load: PROMPTS, min: 0, max: 0, expected_role: EngineRole::Prefill,
})]
#[case::follow(LoadShiftCase {
    policy: policy(RolePolicy::FollowMix, 1.0), load: PROMPTS, min: 2, max: 4, expected_role: EngineRole::Prefill,
})]
#[case::balanced(LoadShiftCase {
    policy: policy(RolePolicy::Forecast, 1.0), load: BALANCED, min: 0, max: 0, expected_role: EngineRole::Prefill,
})]
fn follows_a_worthwhile_load_shift(#[case] case: LoadShiftCase) {
    let loads = steady(BALANCED, 60).chain(steady(case.load, 240));
    let run = run(case.policy, &[EngineRole::Mixed; ENGINES], loads);
    assert!(
        (case.min..=case.max).contains(&run.changes),
        "{}",
        run.changes
    );
    let moved = run.roles.iter().filter(|role| **role == case.expected_role);
    assert!(moved.count() >= case.min, "{:?}", run.roles);
    assert!(run.max_in_progress <= 2, "{}", run.max_in_progress);
}

/// Prefill and decode work each vary by more than half from second to second around a
/// steady mean, under full load. Following each variation would idle engines without any
/// gain. The forecast may change one engine once, to suit the steady mix; the baseline
/// policy follows the variations.
#[rstest]
fn noise_causes_no_changes(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let loads = |seed| {
        let mut rng = SmallRng::seed_from_u64(seed);
        (0..600).map(move |_| Load {
            prefill: 0.95 * rng.random_range(0.4..1.6),
            decode: 0.25 * rng.random_range(0.4..1.6),
        })
    };
    let roles = [EngineRole::Mixed; ENGINES];
    let planned = run(policy(RolePolicy::Forecast, 1.5), &roles, loads(seed));
    let followed = run(policy(RolePolicy::FollowMix, 1.5), &roles, loads(seed));
    assert!(planned.changes <= 1, "{}", planned.changes);
    assert!(followed.changes >= 3, "{}", followed.changes);
}

/// Seconds of prefill work only and of decode work only alternate at random. Roles that
/// suit both kinds of work are worthwhile: they are assigned once and then kept.
#[rstest]
fn two_kinds_of_work_lead_to_stable_roles(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let loads = |seconds| {
        let mut rng = SmallRng::seed_from_u64(seed);
        (0..seconds).map(move |_| {
            let share = f64::from(u8::from(rng.random_bool(0.5)));
            Load {
                prefill: 1.2 * share,
                decode: 1.2 * (1.0 - share),
            }
        })
    };
    let roles = [EngineRole::Mixed; ENGINES];
    let half = run(policy(RolePolicy::Forecast, 1.5), &roles, loads(600));
    let full = run(policy(RolePolicy::Forecast, 1.5), &roles, loads(1_200));
    assert!(
        (1..=ENGINES + 1).contains(&half.changes),
        "{}",
        half.changes
    );
    assert!(
        full.changes <= half.changes + 1,
        "{} {}",
        half.changes,
        full.changes
    );
}

/// Prefill and decode phases alternate every two minutes: each phase causes only a few
/// changes, and no engine changes back and forth within one.
#[test]
fn alternating_phases_cause_few_changes() {
    let phase = |load| steady(load, 120);
    let loads = phase(PROMPTS)
        .chain(phase(OUTPUT))
        .chain(phase(PROMPTS))
        .chain(phase(OUTPUT));
    let run = run(
        policy(RolePolicy::Forecast, 1.5),
        &[EngineRole::Mixed; ENGINES],
        loads,
    );
    assert!(run.changes <= 16, "{}", run.changes);
}

/// Prefill and decode phases alternate too fast for a change to be worthwhile. An
/// engine that was changed is not changed again within the horizon, whatever the mix;
/// otherwise it would be out of service half of the time.
#[test]
fn changed_engine_is_not_changed_again_within_the_horizon() {
    let phases = (0..20).flat_map(|n| {
        let load = if n % 2 == 0 { PROMPTS } else { OUTPUT };
        steady(load, 30)
    });
    let run = run(
        policy(RolePolicy::Forecast, 1.0),
        &[EngineRole::Mixed; ENGINES],
        phases,
    );
    assert!(run.changes >= 2, "{}", run.changes);
    let mut last: indexmap::IndexMap<&TargetId, u64> = indexmap::IndexMap::new();
    for (second, target) in &run.log {
        if let Some(before) = last.insert(target, *second) {
            assert!(
                second - before >= 60,
                "{target} after {} s",
                second - before
            );
        }
    }
}

#[rstest]
#[case::lone_mixed(&[EngineRole::Mixed])]
#[case::one_of_each(&[EngineRole::Prefill, EngineRole::Decode])]
fn last_engine_for_a_phase_is_never_changed(#[case] roles: &[EngineRole]) {
    for load in [PROMPTS, OUTPUT] {
        for kind in [RolePolicy::Forecast, RolePolicy::FollowMix] {
            let run = run(policy(kind, 1.0), roles, steady(load, 200));
            assert_eq!(run.changes, 0);
        }
    }
}

#[test]
fn kept_roles_are_reported_at_intervals() {
    let below_threshold = Load {
        prefill: 1.3,
        decode: 0.1,
    };
    let run = run(
        policy(RolePolicy::Forecast, 30.0),
        &[EngineRole::Mixed; ENGINES],
        steady(below_threshold, 120),
    );
    assert_eq!(run.changes, 0);
    assert!((1..=5).contains(&run.keeps), "{}", run.keeps);
}

struct CapacityCase {
    counts: [usize; 3],
    bins: &'static [(usize, f64, f64)],
    min: f64,
    max: f64,
}

#[rstest]
#[case::mixed(CapacityCase { counts: [0, 2, 0], bins: &[(4, 0.5, 0.5)], min: 1.99, max: 2.01 })]
#[case::prefill_alone(CapacityCase { counts: [1, 0, 0], bins: &[(7, 1.0, 0.0)], min: 1.79, max: 1.81 })]
#[case::split_work(CapacityCase {
    counts: [1, 0, 1], bins: &[(7, 1.0, 0.0), (0, 0.0, 1.0)], min: 1.6, max: 1.7,
})]
#[case::nothing_to_do(CapacityCase { counts: [0, 1, 0], bins: &[], min: 60.0, max: 64.0 })]
#[case::no_engine(CapacityCase { counts: [0, 0, 0], bins: &[(4, 0.5, 0.5)], min: 0.0, max: 0.01 })]
fn capacity_is_what_roles_can_serve(#[case] case: CapacityCase) {
    let mut mix = WorkBins::default();
    for (bin, prefill, decode) in case.bins {
        mix[*bin] = WorkAmount {
            prefill: *prefill,
            decode: *decode,
        };
    }
    let [prefill, mixed, decode] = case.counts;
    let counts = RoleCounts {
        prefill,
        mixed,
        decode,
    };
    let found = capacity(counts, &mix, &SpeedSettings::default());
    assert!((case.min..=case.max).contains(&found), "{found}");
}

#[test]
fn work_is_binned_by_its_prefill_share() {
    let amounts = [(0.0, 1.0), (0.5, 0.5), (1.0, 0.0), (0.0, 0.0)];
    let bins = amounts.map(|(prefill, decode)| WorkAmount { prefill, decode }.bin());
    assert_eq!(bins, [0, MIX_BINS / 2, MIX_BINS - 1, 0]);
}

#[test]
fn rates_converge_to_the_load() {
    let mut mix = MixForecast::default();
    for second in 0..300 {
        add_load(&mut mix, BALANCED, 1);
        mix.tick(MonoTime(second * 1_000));
    }
    let rates = mix.rates(&model());
    for bins in [rates.recent, rates.steady, rates.expected] {
        let total: f64 = bins.iter().map(WorkAmount::total).sum();
        assert!((0.75..=0.85).contains(&total), "{total}");
    }
}

struct PlaceCase {
    loaded: [&'static str; 3],
    needs: [usize; 2],
    target: Option<&'static str>,
    models: &'static [&'static str],
}

#[rstest]
#[case::enough_engines(PlaceCase { loaded: ["a", "a", "b"], needs: [1, 1], target: None, models: &[] })]
#[case::spare(PlaceCase { loaded: ["a", "a", "b"], needs: [1, 2], target: Some("e0"), models: &["b"] })]
#[case::none_to_spare(PlaceCase { loaded: ["a", "a", "a"], needs: [3, 1], target: Some("e0"), models: &["a", "b"] })]
fn loads_a_model_that_too_few_engines_have(#[case] case: PlaceCase) {
    let mut planner = RolePlanner::new(policy(RolePolicy::Fixed, 1.0));
    let mut fleet = engines(&[EngineRole::Mixed; 3]);
    for (engine, loaded) in fleet.iter_mut().zip(case.loaded) {
        engine.models = vec![loaded.to_owned()];
    }
    let needs = [("a", case.needs[0]), ("b", case.needs[1])].map(|(name, min_engines)| ModelNeed {
        model: ModelName::from(name),
        min_engines,
    });
    let mix = MixForecast::default();
    let decisions = planner.plan(&fleet, &needs, &mix, 0, MonoTime(0));
    let Some(name) = case.target else {
        assert!(decisions.is_empty(), "{decisions:?}");
        return;
    };
    let [PlanDecision::Change { target, change }] = decisions.as_slice() else {
        panic!("{decisions:?}");
    };
    assert_eq!(
        (target.as_str(), change.models.as_slice()),
        (
            name,
            &case
                .models
                .iter()
                .map(|m| (*m).to_owned())
                .collect::<Vec<_>>()[..]
        )
    );
    assert!(
        planner
            .plan(&fleet, &needs, &mix, 2, MonoTime(0))
            .is_empty()
    );
    let min_interval = Duration::from_millis(PolicySettings::default().role_horizon_ms);
    assert!(
        !planner
            .plan(&fleet, &needs, &mix, 0, MonoTime(0).plus(min_interval))
            .is_empty()
    );
}
