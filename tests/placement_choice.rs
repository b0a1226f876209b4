//! Placement: which targets may receive a request, and which of them is chosen.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use pistachiowick::decide::candidates::{CandidateIndex, has_same_candidates};
use pistachiowick::decide::cost::{CostModel, SpeedSettings};
use pistachiowick::decide::fair_queue::JobNumber;
use pistachiowick::decide::placement::{
    LocalWork, PinnedEngine, PlacementInputs, PlacementNeed, PoolKey, PoolSide, RunningJob,
    TargetChoice, choose_target,
};
use pistachiowick::decide::prefix_index::PrefixIndex;
use pistachiowick::membership::fleet::{FleetView, TargetView, UseState};
use pistachiowick::names::{MonoTime, TargetId};
use pistachiowick::settings::{PlacementPolicy, PolicySettings};
use pistachiowick::store::wire::InstanceKind;
use pistachiowick::target_limits::tracker::TurnOffers;
use pistachiowick::targets::wire::EngineRole;
use pistachiowick_lab::samples;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const NOW: MonoTime = MonoTime(1_000_000);

/// Inputs of a placement, modified by each case.
struct PlacementScene {
    fleet: FleetView,
    need: PlacementNeed,
    local: IndexMap<TargetId, LocalWork>,
    prefixes: PrefixIndex,
    policy: PolicySettings,
    turns: TurnOffers,
    live_daemons: usize,
}

impl PlacementScene {
    fn new(engines: usize) -> Self {
        let mut fleet = samples::fleet_view(engines, 1, 1, NOW);
        for target in fleet.targets.values_mut() {
            report_of(target).in_flight = 0;
        }
        Self {
            fleet,
            need: samples::job_spec(0, 300.0, NOW).need,
            local: IndexMap::new(),
            prefixes: PrefixIndex::default(),
            policy: PolicySettings::default(),
            turns: TurnOffers::new(),
            live_daemons: 1,
        }
    }

    fn engine(&mut self, number: usize) -> &mut TargetView {
        &mut self.fleet.targets[number]
    }

    fn choose(&self, seed: u64) -> Option<TargetChoice> {
        let index = CandidateIndex::build(&self.fleet);
        let costs = CostModel::new(SpeedSettings::default());
        let inputs = PlacementInputs {
            fleet: &self.fleet,
            candidates: index.side(&self.need.pool, PoolSide::Decode, 0.0)?,
            costs: &costs,
            prefixes: &self.prefixes,
            local: &self.local,
            policy: &self.policy,
            turns: &self.turns,
            live_daemons: self.live_daemons,
            now: NOW,
        };
        let mut rng = SmallRng::seed_from_u64(seed);
        choose_target(&self.need, &inputs, &mut 0, &mut rng)
    }

    fn chosen(&self) -> Option<usize> {
        let choice = self.choose(1)?;
        self.fleet.targets.get_index_of(&choice.target)
    }
}

fn report_of(target: &mut TargetView) -> &mut pistachiowick::membership::fleet::LoadReport {
    target
        .report
        .as_mut()
        .expect("a sample target has a report")
}

struct ExcludedCase {
    exclude: fn(&mut PlacementScene),
}

// Engine 0 is idle but may not be used, for a different reason in each case; engine 1 is
// busy. Under every policy the request goes to engine 1, and is not placed without it.
#[rstest]
#[case::leaving(ExcludedCase { exclude: |s| s.engine(0).state = UseState::Leaving })]
#[case::gone(ExcludedCase { exclude: |s| s.engine(0).state = UseState::Gone })]
#[case::drained(ExcludedCase { exclude: |s| s.engine(0).state = UseState::Drained })]
#[case::suspect(ExcludedCase { exclude: |s| s.engine(0).state = UseState::Suspect })]
#[case::changing(ExcludedCase { exclude: |s| report_of(s.engine(0)).changing = true })]
#[case::never_reported(ExcludedCase { exclude: |s| s.engine(0).report = None })]
#[case::excluded(ExcludedCase { exclude: |s| s.need.excluded.push(samples::engine_name(0).into()) })]
#[case::other_model(ExcludedCase { exclude: |s| report_of(s.engine(0)).models = vec!["else@1".to_owned()] })]
#[case::other_version(ExcludedCase { exclude: |s| report_of(s.engine(0)).models = vec!["base@2".to_owned()] })]
#[case::with_adapter_only(
    ExcludedCase { exclude: |s| report_of(s.engine(0)).models = vec!["base@1+law".to_owned()] }
)]
#[case::full(ExcludedCase { exclude: |s| report_of(s.engine(0)).in_flight = 32 })]
#[case::long_prefill_backlog(ExcludedCase { exclude: |s| {
    report_of(s.engine(0)).in_flight = 1;
    report_of(s.engine(0)).prefill_backlog_tokens = 80_000;
} })]
fn excluded_engine_gets_no_request(
    #[case] case: ExcludedCase,
    #[values(
        PlacementPolicy::Estimate,
        PlacementPolicy::LeastInFlight,
        PlacementPolicy::RoundRobin
    )]
    policy: PlacementPolicy,
) {
    let mut scene = PlacementScene::new(2);
    scene.policy.placement = policy;
    report_of(scene.engine(1)).in_flight = 5;
    (case.exclude)(&mut scene);
    for seed in 0..20 {
        let choice = scene.choose(seed).expect("engine 1 has room");
        assert_eq!(choice.target.as_str(), samples::engine_name(1));
    }
    scene.fleet.targets.truncate(1);
    assert_eq!(scene.choose(1), None);
}

// A stream continues on another engine after its own crashed. The rest of the answer
// must come from the same model version, even if a newer version or an idle engine is
// available.
#[rstest]
#[case::loaded(Some("base@1"), Some(1))]
#[case::loaded_nowhere(Some("base@0"), None)]
#[case::not_pinned(None, Some(0))]
fn pinned_model_is_kept(#[case] pinned: Option<&str>, #[case] expected: Option<usize>) {
    let software = String::new();
    let mut scene = PlacementScene::new(2);
    scene.need.versions = Vec::new();
    report_of(scene.engine(0)).models = vec!["base@2".to_owned()];
    report_of(scene.engine(1)).in_flight = 20;
    scene.need.pinned = pinned.map(|model| PinnedEngine {
        model: model.to_owned(),
        software,
    });
    assert_eq!(scene.chosen(), expected);
    if let (Some(model), Some(_)) = (pinned, expected) {
        assert_eq!(scene.choose(1).map(|c| c.model), Some(model.to_owned()));
    }
}

struct SoftwareCase {
    software: [&'static str; 2],
    pinned: Option<&'static str>,
    expected: Option<usize>,
}

// Guards against an answer that goes on at an engine of another software version, which is idle.
#[rstest]
#[case::same(SoftwareCase { software: ["v2", "v1"], pinned: Some("v1"), expected: Some(1) })]
#[case::gone(SoftwareCase { software: ["v2", "v2"], pinned: Some("v1"), expected: None })]
#[case::not_stated_any_more(SoftwareCase { software: ["", "v1"], pinned: Some("v1"), expected: Some(1) })]
#[case::never_stated(SoftwareCase { software: ["v1", ""], pinned: Some(""), expected: Some(1) })]
#[case::not_pinned(SoftwareCase { software: ["v2", "v1"], pinned: None, expected: Some(0) })]
fn pinned_software_is_kept(#[case] case: SoftwareCase) {
    let mut scene = PlacementScene::new(2);
    for (number, software) in case.software.iter().enumerate() {
        report_of(scene.engine(number)).software = (*software).to_owned();
    }
    report_of(scene.engine(1)).in_flight = 20;
    scene.need.pinned = case.pinned.map(|software| PinnedEngine {
        model: "base@1".to_owned(),
        software: software.to_owned(),
    });
    assert_eq!(scene.chosen(), case.expected);
    if let (Some(software), Some(_)) = (case.pinned, case.expected) {
        assert_eq!(
            scene.choose(1).map(|c| c.software),
            Some(software.to_owned())
        );
    }
}

#[rstest]
#[case::newest_listed_last("", &["base@1", "base@2"], Some("base@2"))]
#[case::adapter("law", &["base@1", "base@1+law"], Some("base@1+law"))]
#[case::adapter_missing("law", &["base@1"], None)]
fn model_sent_is_loaded_on_the_engine(
    #[case] adapter: &str,
    #[case] models: &[&str],
    #[case] expected: Option<&str>,
) {
    let mut scene = PlacementScene::new(1);
    scene.need.versions = Vec::new();
    scene.need.adapter = adapter.to_owned();
    report_of(scene.engine(0)).models = models.iter().map(|m| (*m).to_owned()).collect();
    let choice = scene.choose(1);
    assert_eq!(choice.map(|c| c.model), expected.map(str::to_owned));
}

struct BestCase {
    modify: fn(&mut PlacementScene),
    best: usize,
}

fn running_job(number: u64, placed_at: MonoTime, prefill_tokens: f64) -> RunningJob {
    RunningJob {
        number: JobNumber(number),
        placed_at,
        prefill_tokens,
    }
}

fn add_local_jobs(scene: &mut PlacementScene, engine: usize, jobs: u64, placed_at: MonoTime) {
    let id = TargetId::from(samples::engine_name(engine));
    let local = scene.local.entry(id).or_default();
    local
        .running
        .extend((0..jobs).map(|n| running_job(n, placed_at, 300.0)));
}

// Two engines that differ in one respect.
#[rstest]
#[case::fewer_in_flight(BestCase { modify: |s| report_of(s.engine(0)).in_flight = 25, best: 1 })]
#[case::smaller_prefill_backlog(
    BestCase { modify: |s| report_of(s.engine(0)).prefill_backlog_tokens = 2_000, best: 1 }
)]
#[case::local_work_since_the_report(BestCase {
    modify: |s| add_local_jobs(s, 0, 20, NOW.plus(Duration::from_millis(1))),
    best: 1,
})]
#[case::prefix_cached(BestCase {
    modify: |s| {
        s.need.prompt_tokens = 3_000.0;
        s.need.shared_prefix = "rules".to_owned();
        s.need.shared_prefix_tokens = 2_500;
        s.prefixes.record_cached("rules", &samples::engine_name(1).into(), 2_500);
    },
    best: 1,
})]
#[case::prefix_cached_but_busy(BestCase {
    modify: |s| {
        s.need.prompt_tokens = 3_000.0;
        s.need.shared_prefix = "rules".to_owned();
        s.need.shared_prefix_tokens = 2_500;
        s.prefixes.record_cached("rules", &samples::engine_name(1).into(), 2_500);
        report_of(s.engine(1)).in_flight = 31;
        report_of(s.engine(1)).prefill_backlog_tokens = 3_000;
    },
    best: 0,
})]
#[case::long_prompt_to_the_prefill_engine(BestCase {
    modify: |s| {
        s.need.prompt_tokens = 30_000.0;
        s.need.output_tokens = 5.0;
        report_of(s.engine(1)).role = EngineRole::Prefill;
    },
    best: 1,
})]
#[case::long_answer_to_the_decode_engine(BestCase {
    modify: |s| {
        s.need.prompt_tokens = 50.0;
        s.need.output_tokens = 900.0;
        report_of(s.engine(1)).role = EngineRole::Decode;
    },
    best: 1,
})]
fn better_engine_is_chosen(#[case] case: BestCase) {
    let mut scene = PlacementScene::new(2);
    (case.modify)(&mut scene);
    assert_eq!(scene.chosen(), Some(case.best));
}

struct AgeCase {
    age_ms: u64,
    reported: u32,
    local: u64,
    daemons: usize,
    has_room: bool,
}

// A report of a full engine excludes it only until the report is too old. Then the load
// is estimated from this daemon's work, assuming the other daemons have as much.
#[rstest]
#[case::fresh_and_full(AgeCase { age_ms: 0, reported: 32, local: 0, daemons: 1, has_room: false })]
#[case::lagging_and_full(AgeCase { age_ms: 10_000, reported: 32, local: 0, daemons: 1, has_room: false })]
#[case::too_old(AgeCase { age_ms: 10_001, reported: 32, local: 0, daemons: 1, has_room: true })]
#[case::too_old_and_local_full(AgeCase { age_ms: 60_000, reported: 0, local: 32, daemons: 1, has_room: false })]
#[case::too_old_and_peers_as_busy(AgeCase { age_ms: 60_000, reported: 0, local: 8, daemons: 4, has_room: false })]
#[case::too_old_and_peers_have_room(AgeCase { age_ms: 60_000, reported: 0, local: 7, daemons: 4, has_room: true })]
#[case::local_work_adds_to_report(AgeCase { age_ms: 100, reported: 20, local: 12, daemons: 1, has_room: false })]
fn old_reports_are_ignored(#[case] case: AgeCase) {
    let mut scene = PlacementScene::new(1);
    scene.live_daemons = case.daemons;
    report_of(scene.engine(0)).in_flight = case.reported;
    report_of(scene.engine(0)).taken_at = MonoTime(NOW.0 - case.age_ms);
    add_local_jobs(&mut scene, 0, case.local, NOW);
    assert_eq!(scene.choose(1).is_some(), case.has_room);
}

// A stream that cannot meet its deadline would only slow the others, so it stays queued.
#[rstest]
#[case::ample(10_000, true)]
#[case::too_short(300, false)]
fn only_requests_that_meet_the_deadline_are_placed(#[case] left_ms: u64, #[case] placed: bool) {
    let mut scene = PlacementScene::new(1);
    scene.need.deadline = Some(NOW.plus(Duration::from_millis(left_ms)));
    assert_eq!(scene.choose(1).is_some(), placed);
}

// A workspace above its fair share needs a larger margin before its deadline; one below
// its share gets no smaller margin.
#[rstest]
#[case::at_its_share(1.0, 700, true)]
#[case::below_its_share(4.0, 700, true)]
#[case::below_its_share_but_too_short(4.0, 300, false)]
#[case::above_its_share(0.5, 700, false)]
#[case::above_its_share_with_margin(0.5, 2_000, true)]
fn workspace_above_its_share_needs_a_larger_margin(
    #[case] share_factor: f64,
    #[case] left_ms: u64,
    #[case] placed: bool,
) {
    let mut scene = PlacementScene::new(1);
    scene.need.share_factor = share_factor;
    scene.need.deadline = Some(NOW.plus(Duration::from_millis(left_ms)));
    assert_eq!(scene.choose(1).is_some(), placed);
}

#[test]
fn service_requests_go_to_the_least_loaded_instance() {
    let mut scene = PlacementScene::new(3);
    for target in scene.fleet.targets.values_mut() {
        target.kind = InstanceKind::Service;
        target.service = Some("ledger".into());
        target.report = None;
    }
    scene.need.pool = PoolKey::Service("ledger".into());
    add_local_jobs(&mut scene, 0, 2, NOW);
    add_local_jobs(&mut scene, 1, 1, NOW);
    assert_eq!(scene.chosen(), Some(2));
    scene.policy.service_in_flight = 1;
    add_local_jobs(&mut scene, 2, 1, NOW);
    assert_eq!(scene.chosen(), None);
}

#[test]
fn round_robin_takes_each_in_turn() {
    let mut scene = PlacementScene::new(4);
    scene.policy.placement = PlacementPolicy::RoundRobin;
    let index = CandidateIndex::build(&scene.fleet);
    let costs = CostModel::new(SpeedSettings::default());
    let inputs = PlacementInputs {
        fleet: &scene.fleet,
        candidates: index
            .side(&scene.need.pool, PoolSide::Decode, 0.0)
            .expect("a pool"),
        costs: &costs,
        prefixes: &scene.prefixes,
        local: &scene.local,
        policy: &scene.policy,
        turns: &scene.turns,
        live_daemons: 1,
        now: NOW,
    };
    let (mut cursor, mut rng) = (0, SmallRng::seed_from_u64(1));
    let choices = (0..4).filter_map(|_| choose_target(&scene.need, &inputs, &mut cursor, &mut rng));
    let distinct_targets: IndexSet<TargetId> = choices.map(|c| c.target).collect();
    assert_eq!(distinct_targets.len(), 4);
}

// Daemons draw candidates at random among many engines: with the same outdated view they
// must not all choose the same engine.
#[test]
fn daemons_with_the_same_view_spread_out() {
    let scene = PlacementScene::new(400);
    let choices = (0..50).filter_map(|seed| scene.choose(seed));
    let distinct_targets: IndexSet<TargetId> = choices.map(|c| c.target).collect();
    assert!(
        distinct_targets.len() > 25,
        "only {} engines",
        distinct_targets.len()
    );
}

// Among many engines a random draw alone would miss the one that has the prefix cached.
#[test]
fn holder_of_the_prefix_is_a_candidate_in_a_large_fleet() {
    let mut scene = PlacementScene::new(400);
    scene.need.prompt_tokens = 3_000.0;
    scene.need.shared_prefix = "rules".to_owned();
    scene.need.shared_prefix_tokens = 2_500;
    let holder = TargetId::from(samples::engine_name(250));
    scene.prefixes.record_cached("rules", &holder, 2_500);
    for seed in 0..20 {
        let choice = scene.choose(seed).expect("an engine has room");
        assert_eq!(choice.target, holder);
    }
}

// Two daemons know the engines in different orders. They must split a pool in the same
// way; otherwise one would prefill long prompts on the other's decode side.
#[rstest]
#[case::all_mixed(&[])]
#[case::some_prefill_engines(&[3, 9])]
fn sides_are_the_same_on_all_daemons(#[case] prefill_engines: &[usize]) {
    let mut fleet = samples::fleet_view(12, 1, 1, NOW);
    for prefill_engine in prefill_engines {
        report_of(&mut fleet.targets[*prefill_engine]).role = EngineRole::Prefill;
    }
    let mut other = fleet.clone();
    other.targets.reverse();
    let pool = PoolKey::Model(samples::SAMPLE_MODEL.into());
    let (here, there) = (CandidateIndex::build(&fleet), CandidateIndex::build(&other));
    for share in [0.0, 0.01, 0.3, 0.5, 0.99, 1.0] {
        let sides = [PoolSide::Prefill, PoolSide::Decode].map(|side| {
            let of = |index: &CandidateIndex| -> Vec<TargetId> {
                let side = index.side(&pool, side, share).expect("a pool");
                assert_eq!(side.len(), side.iter().count());
                assert_eq!(side.live(), side.len());
                assert!(side.iter().all(|t| side.contains(t)));
                side.iter().cloned().collect()
            };
            assert_eq!(of(&here), of(&there), "share {share}");
            of(&here)
        });
        assert!(sides.iter().all(|side| !side.is_empty()), "share {share}");
        if share > 0.0 && share < 1.0 {
            assert_eq!(sides[0].len() + sides[1].len(), 12);
            assert!(sides[0].iter().all(|t| !sides[1].contains(t)));
        }
        if (0.3..1.0).contains(&share) {
            for prefill_engine in prefill_engines {
                assert!(sides[0].contains(&samples::engine_name(*prefill_engine).into()));
            }
        }
    }
}

#[test]
fn pool_of_one_is_not_split() {
    let fleet = samples::fleet_view(1, 1, 1, NOW);
    let index = CandidateIndex::build(&fleet);
    let pool = PoolKey::Model(samples::SAMPLE_MODEL.into());
    for side in [PoolSide::Prefill, PoolSide::Decode] {
        assert_eq!(index.side(&pool, side, 0.5).map(|s| s.len()), Some(1));
    }
    let unknown = PoolKey::Model("unknown".into());
    assert!(index.side(&unknown, PoolSide::Prefill, 0.5).is_none());
    assert!(!index.is_usable(&unknown));
}

#[test]
fn index_counts_live_targets_and_roles() {
    let mut fleet = samples::fleet_view(6, 1, 1, NOW);
    fleet.targets[0].state = UseState::Drained;
    fleet.targets[1].state = UseState::Suspect;
    report_of(&mut fleet.targets[2]).role = EngineRole::Decode;
    let index = CandidateIndex::build(&fleet);
    let pool = PoolKey::Model(samples::SAMPLE_MODEL.into());
    let all = index.side(&pool, PoolSide::Decode, 0.0).expect("a pool");
    assert_eq!((all.len(), all.live()), (6, 4));
    let mut roles: Vec<EngineRole> = index.roles(&pool).collect();
    roles.sort_unstable();
    assert_eq!(roles, [EngineRole::Decode, EngineRole::Mixed]);
    for target in fleet.targets.values_mut() {
        target.state = UseState::Drained;
    }
    assert!(!CandidateIndex::build(&fleet).is_usable(&pool));
}

struct CandidatesCase {
    change: fn(&mut FleetView),
    same: bool,
}

// Load reports arrive many times per second. The index is rebuilt only for a view that
// changes which targets may receive which requests.
#[rstest]
#[case::new_load(CandidatesCase { change: |f| report_of(&mut f.targets[1]).in_flight = 9, same: true })]
#[case::new_report(CandidatesCase { change: |f| report_of(&mut f.targets[1]).taken_at.0 += 1, same: true })]
#[case::state(CandidatesCase { change: |f| f.targets[1].state = UseState::Suspect, same: false })]
#[case::role(CandidatesCase { change: |f| report_of(&mut f.targets[1]).role = EngineRole::Decode, same: false })]
#[case::models(CandidatesCase { change: |f| report_of(&mut f.targets[1]).models.push("b".to_owned()), same: false })]
#[case::first_report(CandidatesCase { change: |f| f.targets[1].report = None, same: false })]
#[case::service(CandidatesCase { change: |f| f.targets[1].service = Some("ledger".into()), same: false })]
#[case::one_more(CandidatesCase {
    change: |f| {
        let target = samples::engine_view(9, NOW);
        f.targets.insert(target.id.clone(), target);
    },
    same: false,
})]
#[case::one_less(CandidatesCase { change: |f| drop(f.targets.pop()), same: false })]
#[case::replaced(CandidatesCase {
    change: |f| {
        f.targets.pop();
        let target = samples::engine_view(9, NOW);
        f.targets.insert(target.id.clone(), target);
    },
    same: false,
})]
fn view_changes_candidates(#[case] case: CandidatesCase) {
    let old = samples::fleet_view(3, 1, 1, NOW);
    let mut new = old.clone();
    new.version = 2;
    (case.change)(&mut new);
    assert_eq!(has_same_candidates(&old, &new), case.same);
    assert_eq!(has_same_candidates(&new, &old), case.same);
}
