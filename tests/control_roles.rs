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

const CALM: Load = Load {
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

fn feed(mix: &mut MixForecast, load: Load, engines: usize) {
    let mut totals = WorkTotals::new();
    let work = WorkAmount {
        prefill: load.prefill * engines as f64,
        decode: load.decode * engines as f64,
    };
    add_work(&mut totals, &model(), work);
    for (model, bins) in &totals {
        mix.note(model, bins);
    }
}

struct Run {
    log: Vec<(u64, TargetId)>,
    changes: usize,
    at_once: usize,
    keeps: usize,
    roles: Vec<EngineRole>,
}

/// Runs the planner in steps of one second; a change takes three steps.
fn run(policy: PolicySettings, start: &[EngineRole], loads: impl Iterator<Item = Load>) -> Run {
    let mut planner = RolePlanner::new(policy);
    let mut mix = MixForecast::default();
    let mut fleet = engines(start);
    let mut under_way: Vec<(u64, TargetId, EngineRole)> = Vec::new();
    let mut run = Run {
        log: Vec::new(),
        changes: 0,
        at_once: 0,
        keeps: 0,
        roles: Vec::new(),
    };
    for (second, load) in loads.enumerate() {
        let second = second as u64;
        let now = MonoTime(second * 1_000);
        feed(&mut mix, load, fleet.len());
        mix.tick(now);
        for (done, id, role) in &under_way {
            let engine = fleet.iter_mut().find(|e| e.id == *id).unwrap();
            if *done <= second {
                engine.role = *role;
                engine.usable = true;
            }
        }
        under_way.retain(|(done, _, _)| *done > second);
        for decision in planner.plan(&fleet, &[], &mix, under_way.len(), now) {
            match decision {
                PlanDecision::Keep { .. } => run.keeps += 1,
                PlanDecision::Change { target, wish } => {
                    run.changes += 1;
                    run.log.push((second, target.clone()));
                    let engine = fleet.iter_mut().find(|e| e.id == target).unwrap();
                    engine.usable = false;
                    under_way.push((second + 3, target, wish.role));
                }
            }
        }
        let able =
            |roles: [EngineRole; 2]| fleet.iter().any(|e| e.usable && roles.contains(&e.role));
        assert!(
            able([EngineRole::Mixed, EngineRole::Prefill]),
            "no engine prefills prompts"
        );
        assert!(
            able([EngineRole::Mixed, EngineRole::Decode]),
            "no engine decodes"
        );
        run.at_once = run.at_once.max(under_way.len());
    }
    run.roles = fleet.iter().map(|e| e.role).collect();
    run
}

fn steady(load: Load, seconds: usize) -> impl Iterator<Item = Load> {
    std::iter::repeat_n(load, seconds)
}

struct SwingCase {
    policy: PolicySettings,
    load: Load,
    least: usize,
    most: usize,
    towards: EngineRole,
}

#[rstest]
#[case::prompts(SwingCase {
    policy: policy(RolePolicy::Forecast, 1.5), load: PROMPTS, least: 2, most: 3, towards: EngineRole::Prefill,
})]
#[case::output(SwingCase {
    policy: policy(RolePolicy::Forecast, 1.5), load: OUTPUT, least: 2, most: 3, towards: EngineRole::Decode,
})]
#[case::dear(SwingCase {
    policy: policy(RolePolicy::Forecast, 500.0), load: PROMPTS, least: 0, most: 0, towards: EngineRole::Prefill,
})]
#[case::fixed(SwingCase {
    policy: policy(RolePolicy::Fixed, 1.0), load: PROMPTS, least: 0, most: 0, towards: EngineRole::Prefill,
})]
#[case::follow(SwingCase {
    policy: policy(RolePolicy::FollowMix, 1.0), load: PROMPTS, least: 2, most: 4, towards: EngineRole::Prefill,
})]
#[case::calm(SwingCase {
    policy: policy(RolePolicy::Forecast, 1.0), load: CALM, least: 0, most: 0, towards: EngineRole::Prefill,
})]
fn follows_a_swing_that_pays(#[case] case: SwingCase) {
    let loads = steady(CALM, 60).chain(steady(case.load, 240));
    let run = run(case.policy, &[EngineRole::Mixed; ENGINES], loads);
    assert!(
        (case.least..=case.most).contains(&run.changes),
        "{}",
        run.changes
    );
    let moved = run.roles.iter().filter(|role| **role == case.towards);
    assert!(moved.count() >= case.least, "{:?}", run.roles);
    assert!(run.at_once <= 2, "{}", run.at_once);
}

/// Prefill and decode work each vary by more than half from second to second around a
/// steady mean, under full load. Following each variation would idle engines without any
/// gain. The forecast may change one engine once, to suit the steady mix; the baseline
/// policy follows the variations.
#[rstest]
fn noise_changes_nothing(#[values(1, 2, 3, 4, 5)] seed: u64) {
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
fn two_kinds_of_work_settle(#[values(1, 2, 3, 4, 5)] seed: u64) {
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
    let whole = run(policy(RolePolicy::Forecast, 1.5), &roles, loads(1_200));
    assert!(
        (1..=ENGINES + 1).contains(&half.changes),
        "{}",
        half.changes
    );
    assert!(
        whole.changes <= half.changes + 1,
        "{} {}",
        half.changes,
        whole.changes
    );
}

/// Prefill and decode phases alternate every two minutes: each phase causes only a few
/// changes, and no engine changes back and forth within one.
#[test]
fn a_swing_back_and_forth_is_followed_sparingly() {
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
fn a_changed_engine_rests() {
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
fn the_last_engine_able_is_never_changed(#[case] roles: &[EngineRole]) {
    for load in [PROMPTS, OUTPUT] {
        for kind in [RolePolicy::Forecast, RolePolicy::FollowMix] {
            let run = run(policy(kind, 1.0), roles, steady(load, 200));
            assert_eq!(run.changes, 0);
        }
    }
}

#[test]
fn a_near_miss_is_explained_but_not_every_second() {
    let near = Load {
        prefill: 1.3,
        decode: 0.1,
    };
    let run = run(
        policy(RolePolicy::Forecast, 30.0),
        &[EngineRole::Mixed; ENGINES],
        steady(near, 120),
    );
    assert_eq!(run.changes, 0);
    assert!((1..=5).contains(&run.keeps), "{}", run.keeps);
}

struct CapacityCase {
    counts: [usize; 3],
    bins: &'static [(usize, f64, f64)],
    least: f64,
    most: f64,
}

#[rstest]
#[case::mixed(CapacityCase { counts: [0, 2, 0], bins: &[(4, 0.5, 0.5)], least: 1.99, most: 2.01 })]
#[case::prefill_alone(CapacityCase { counts: [1, 0, 0], bins: &[(7, 1.0, 0.0)], least: 1.79, most: 1.81 })]
#[case::split_work(CapacityCase {
    counts: [1, 0, 1], bins: &[(7, 1.0, 0.0), (0, 0.0, 1.0)], least: 1.6, most: 1.7,
})]
#[case::nothing_to_do(CapacityCase { counts: [0, 1, 0], bins: &[], least: 60.0, most: 64.0 })]
#[case::no_engine(CapacityCase { counts: [0, 0, 0], bins: &[(4, 0.5, 0.5)], least: 0.0, most: 0.01 })]
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
    assert!((case.least..=case.most).contains(&found), "{found}");
}

#[test]
fn work_is_sorted_by_its_prefill_share() {
    let amounts = [(0.0, 1.0), (0.5, 0.5), (1.0, 0.0), (0.0, 0.0)];
    let bins = amounts.map(|(prefill, decode)| WorkAmount { prefill, decode }.bin());
    assert_eq!(bins, [0, MIX_BINS / 2, MIX_BINS - 1, 0]);
}

#[test]
fn rates_settle_on_what_is_seen() {
    let mut mix = MixForecast::default();
    for second in 0..300 {
        feed(&mut mix, CALM, 1);
        mix.tick(MonoTime(second * 1_000));
    }
    let rates = mix.rates(&model());
    for bins in [rates.recent, rates.steady, rates.expected] {
        let whole: f64 = bins.iter().map(WorkAmount::total).sum();
        assert!((0.75..=0.85).contains(&whole), "{whole}");
    }
}

struct PlaceCase {
    held: [&'static str; 3],
    needs: [usize; 2],
    target: Option<&'static str>,
    models: &'static [&'static str],
}

#[rstest]
#[case::enough(PlaceCase { held: ["a", "a", "b"], needs: [1, 1], target: None, models: &[] })]
#[case::spare(PlaceCase { held: ["a", "a", "b"], needs: [1, 2], target: Some("e0"), models: &["b"] })]
#[case::none_to_spare(PlaceCase { held: ["a", "a", "a"], needs: [3, 1], target: Some("e0"), models: &["a", "b"] })]
fn places_a_model_that_too_few_hold(#[case] case: PlaceCase) {
    let mut planner = RolePlanner::new(policy(RolePolicy::Fixed, 1.0));
    let mut fleet = engines(&[EngineRole::Mixed; 3]);
    for (engine, held) in fleet.iter_mut().zip(case.held) {
        engine.models = vec![held.to_owned()];
    }
    let needs =
        [("a", case.needs[0]), ("b", case.needs[1])].map(|(name, least_engines)| ModelNeed {
            model: ModelName::from(name),
            least_engines,
        });
    let mix = MixForecast::default();
    let decisions = planner.plan(&fleet, &needs, &mix, 0, MonoTime(0));
    let Some(name) = case.target else {
        assert!(decisions.is_empty(), "{decisions:?}");
        return;
    };
    let [PlanDecision::Change { target, wish }] = decisions.as_slice() else {
        panic!("{decisions:?}");
    };
    assert_eq!(
        (target.as_str(), wish.models.as_slice()),
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
    let rest = Duration::from_millis(PolicySettings::default().role_horizon_ms);
    assert!(
        !planner
            .plan(&fleet, &needs, &mix, 0, MonoTime(0).plus(rest))
            .is_empty()
    );
}
