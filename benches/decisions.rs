//! Cost of decisions by the size of the fleet and the configuration.
//!
//! Placement and the fair queue must not become slower with either; work done once per
//! view or per change may, and docs/CAPACITY.md extrapolates it to the intended fleet size.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::measurement::WallTime;
use criterion::{
    BatchSize, BenchmarkGroup, BenchmarkId, Criterion, criterion_group, criterion_main,
};
use indexmap::IndexMap;
use pistachiowick::authority::lease_groups::{
    GroupCounts, engine_groups, engines_per_centre, initial_group_count, local_ranks,
};
use pistachiowick::config::buckets::ConfigState;
use pistachiowick::decide::candidates::CandidateIndex;
use pistachiowick::decide::fair_queue::{FairQueue, JobNumber, QueuedJob};
use pistachiowick::decide::placement::SharedFleet;
use pistachiowick::decide::scheduler::{
    JobMeasurement, ScheduleAction, Scheduler, SchedulerInputs,
};
use pistachiowick::decide::shares::ShareTracker;
use pistachiowick::decide::turn_gate::TurnGate;
use pistachiowick::membership::{MembershipLimits, MembershipState, PeerUpdate, local_view};
use pistachiowick::names::{DaemonId, MonoTime, ProcessIncarnation, TargetId};
use pistachiowick::peers::state::{PeerHints, PeerTopology};
use pistachiowick::peers::wire::{PeerHint, PeerMessage};
use pistachiowick::roles::mix::{MixForecast, WorkAmount, WorkTotals, add_work};
use pistachiowick::roles::plan::{ModelNeed, PlanEngine, RolePlanner};
use pistachiowick::settings::PolicySettings;
use pistachiowick::target_limits::SharedLimitTracker;
use pistachiowick::target_statements::backoff_tracker::SharedBackoffTracker;
use pistachiowick::targets::wire::EngineRole;
use pistachiowick_lab::samples;

const NOW: MonoTime = MonoTime(1_000_000);
const TARGETS: [usize; 4] = [12, 120, 1_200, 12_000];
const DAEMONS: [usize; 3] = [8, 64, 680];
const WORKSPACES: [usize; 3] = [3, 500, 5_000];

/// Engines of one lease group, as in the default settings.
const GROUP_ENGINES: usize = 64;

/// Queued requests per workspace in a busy queue.
const WAITING_EACH: usize = 4;

fn start_group<'a>(criterion: &'a mut Criterion, name: &str) -> BenchmarkGroup<'a, WallTime> {
    let mut group = criterion.benchmark_group(name);
    group
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    group
}

fn scheduler_of(targets: usize) -> Scheduler {
    scheduler_with(targets, PolicySettings::default())
}

fn scheduler_with(targets: usize, policy: PolicySettings) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerInputs {
        turns: TurnGate::new(
            DaemonId::from("local"),
            SharedLimitTracker::default(),
            SharedBackoffTracker::default(),
        ),
        speeds: policy.speeds.clone(),
        policy,
        limits: Default::default(),
        seed: 1,
    });
    let fleet = samples::fleet_view(targets, 8, 1, NOW);
    scheduler.update_fleet(Arc::new(fleet), 8, NOW);
    scheduler
}

/// Runs one request from its admission to its end, on a fleet with free capacity.
fn run_one(scheduler: &mut Scheduler, workspace: usize) {
    let spec = samples::job_spec(workspace, 300.0, NOW);
    scheduler.admit(spec, NOW).expect("a fleet with room");
    for action in scheduler.schedule(NOW) {
        if let ScheduleAction::Start(grant) = action {
            let measure = JobMeasurement {
                first_token_s: Some(grant.choice.first_token_s),
                token_gap_s: Some(grant.choice.token_gap_s),
                complete_answer_tokens: Some(40),
            };
            scheduler.finish(grant.number, measure, NOW);
        }
    }
}

fn bench_placement(criterion: &mut Criterion) {
    let mut group = start_group(criterion, "placement");
    for targets in TARGETS {
        let mut scheduler = scheduler_of(targets);
        group.bench_function(BenchmarkId::new("admit_place_finish", targets), |b| {
            b.iter(|| run_one(&mut scheduler, 0));
        });
    }
    group.finish();
}

/// Returns a scheduler with queued requests whose targets are all at capacity.
fn saturated(targets: usize, workspaces: usize) -> Scheduler {
    let mut scheduler = scheduler_with(
        targets,
        PolicySettings {
            engine_in_flight: 1,
            refuse_early: false,
            ..PolicySettings::default()
        },
    );
    let mut fleet = samples::fleet_view(targets, 8, 2, NOW);
    for target in fleet.targets.values_mut() {
        if let Some(report) = &mut target.report {
            report.in_flight = 1;
        }
    }
    scheduler.update_fleet(Arc::new(fleet), 8, NOW);
    for _ in 0..WAITING_EACH {
        for workspace in 0..workspaces.min(1_000) {
            let spec = samples::job_spec(workspace, 300.0, NOW);
            let _ = scheduler.admit(spec, NOW);
        }
    }
    scheduler
}

fn bench_saturation(criterion: &mut Criterion) {
    let mut group = start_group(criterion, "saturation");
    for (targets, workspaces) in [(12, 3), (12, 1_000), (12_000, 3), (12_000, 1_000)] {
        let mut scheduler = saturated(targets, workspaces);
        let size = format!("{targets}_targets_{workspaces}_workspaces");
        group.bench_function(BenchmarkId::new("admit_pump_withdraw", size), |b| {
            b.iter(|| {
                let spec = samples::job_spec(0, 300.0, NOW);
                let number = scheduler.admit(spec, NOW).expect("a queue with room");
                black_box(scheduler.schedule(NOW));
                scheduler.cancel(number);
            });
        });
    }
    group.finish();
}

fn queued_job(number: u64, workspace: usize) -> QueuedJob {
    QueuedJob {
        number: JobNumber(number),
        workspace: samples::workspace_name(workspace).into(),
        weight: 1.0,
        priority: 0,
        latest_start: MonoTime(NOW.0 + number % 1_000),
        cost: 0.05,
    }
}

fn busy_queue(workspaces: usize) -> FairQueue {
    let mut queue = FairQueue::new(1.0, true);
    let mut number = 0;
    for _ in 0..WAITING_EACH {
        for workspace in 0..workspaces {
            number += 1;
            queue.push(queued_job(number, workspace));
        }
    }
    queue
}

fn bench_fair_queue(criterion: &mut Criterion) {
    let mut group = start_group(criterion, "fair_queue");
    for workspaces in [3, 300, 5_000] {
        let mut queue = busy_queue(workspaces);
        let mut number = 1_000_000;
        group.bench_function(BenchmarkId::new("take_and_push", workspaces), |b| {
            b.iter(|| {
                let taken = queue.take_first(16, |_| true).expect("a busy queue");
                number += 1;
                let job = QueuedJob {
                    number: JobNumber(number),
                    ..taken
                };
                queue.push(job);
            });
        });
        group.bench_function(BenchmarkId::new("overdue", workspaces), |b| {
            b.iter(|| black_box(queue.overdue(MonoTime(0))));
        });
        let workspace = samples::workspace_name(0).into();
        group.bench_function(BenchmarkId::new("cost_before", workspaces), |b| {
            b.iter(|| black_box(queue.cost_before(&workspace, 1.0, 0)));
        });
    }
    group.finish();
}

fn bench_fleet_update(criterion: &mut Criterion) {
    let mut group = start_group(criterion, "fleet_update");
    for targets in TARGETS {
        let mut scheduler = scheduler_of(targets);
        let views: Vec<SharedFleet> = (2..4)
            .map(|v| Arc::new(samples::fleet_view(targets, 8, v, MonoTime(NOW.0 + v))))
            .collect();
        let mut turn = 0;
        group.bench_function(BenchmarkId::new("scheduler_new_reports", targets), |b| {
            b.iter(|| {
                turn = 1 - turn;
                scheduler.update_fleet(Arc::clone(&views[turn]), 8, NOW)
            });
        });
        group.bench_function(BenchmarkId::new("scheduler_same_view", targets), |b| {
            b.iter(|| scheduler.update_fleet(Arc::clone(&views[turn]), 8, NOW));
        });
        group.bench_function(BenchmarkId::new("candidate_index", targets), |b| {
            b.iter(|| CandidateIndex::build(&views[0]));
        });
    }
    group.finish();
}

fn membership_of(targets: usize, daemons: usize) -> MembershipState {
    let own = local_view(
        "entry-own".into(),
        "127.0.0.1:1".to_owned(),
        "127.0.0.1:2".to_owned(),
        "centre-00".into(),
        ProcessIncarnation(1),
    );
    let mut state = MembershipState::new(own, MembershipLimits::default());
    state.apply_list(&samples::instance_rows(targets, daemons), NOW);
    for number in 0..targets {
        let report = samples::engine_state(number, NOW.0);
        state.note_state(&report.target.clone(), &report, Duration::ZERO, NOW);
    }
    state.refresh();
    state
}

fn bench_membership(criterion: &mut Criterion) {
    let mut group = start_group(criterion, "membership");
    let sizes = TARGETS.into_iter().map(|targets| (targets, 8));
    let sizes = sizes.chain(DAEMONS.into_iter().skip(1).map(|daemons| (12, daemons)));
    let sizes = sizes.chain([(12_000, 680)]);
    for (targets, daemons) in sizes {
        let size = format!("{targets}_targets_{daemons}_daemons");
        let rows = samples::instance_rows(targets, daemons);
        let mut state = membership_of(targets, daemons);
        group.bench_function(BenchmarkId::new("merge_list_and_view", &size), |b| {
            b.iter(|| {
                state.apply_list(&rows, NOW);
                state.refresh()
            });
        });
        let mut at = NOW.0;
        group.bench_function(BenchmarkId::new("one_report_and_view", &size), |b| {
            b.iter(|| {
                at += 1;
                let now = MonoTime(at);
                let report = samples::engine_state(0, at);
                state.note_state(&report.target, &report, Duration::ZERO, now);
                state.tick(now);
                state.refresh()
            });
        });
    }
    for daemons in DAEMONS {
        let mut state = membership_of(12, daemons);
        let fleet = Arc::clone(state.fleet());
        let own = "entry-000".into();
        group.bench_function(BenchmarkId::new("peer_topology", daemons), |b| {
            b.iter(|| PeerTopology::new(&fleet, &own, 2));
        });
        let word = PeerUpdate {
            daemon: "entry-001".into(),
            incarnation: ProcessIncarnation(1),
            leaving: false,
        };
        group.bench_function(BenchmarkId::new("peer_word", daemons), |b| {
            b.iter(|| state.apply_peer_update(&word, NOW));
        });
    }
    group.finish();
}

fn bench_lease_groups(criterion: &mut Criterion) {
    let mut group = start_group(criterion, "lease_groups");
    for (targets, daemons) in [(12, 8), (1_200, 64), (12_000, 680)] {
        let fleet = samples::fleet_view(targets, daemons, 1, NOW);
        let engines = engines_per_centre(&fleet);
        let counts: GroupCounts = engines
            .into_iter()
            .map(|(centre, engines)| (centre, initial_group_count(engines, GROUP_ENGINES)))
            .collect();
        let own = "entry-000".into();
        let size = format!("{targets}_targets_{daemons}_daemons");
        group.bench_function(BenchmarkId::new("own_ranks", &size), |b| {
            b.iter(|| local_ranks(&fleet, &counts, &own));
        });
        group.bench_function(BenchmarkId::new("engine_groups", &size), |b| {
            b.iter(|| engine_groups(&fleet, &counts));
        });
    }
    group.finish();
}

fn bench_hints(criterion: &mut Criterion) {
    let mut group = start_group(criterion, "hints");
    for engines in [0, 64] {
        let hint = PeerHint {
            daemon: Some("entry-001".into()),
            engines: (0..engines)
                .map(|n| samples::engine_state(n, NOW.0))
                .collect(),
            ..PeerHint::default()
        };
        let message = PeerMessage::Hint(Box::new(hint.clone()));
        let bytes = message.encode();
        group.bench_function(BenchmarkId::new("encode", engines), |b| {
            b.iter(|| message.encode());
        });
        group.bench_function(BenchmarkId::new("decode", engines), |b| {
            b.iter(|| PeerMessage::decode(black_box(&bytes)));
        });
        let mut hints = PeerHints::default();
        let mut sequence = 0;
        group.bench_function(BenchmarkId::new("note", engines), |b| {
            b.iter(|| {
                sequence += 1;
                let hint = PeerHint {
                    sequence,
                    ..hint.clone()
                };
                hints.apply(hint, NOW)
            });
        });
    }
    group.finish();
}

fn bench_configuration(criterion: &mut Criterion) {
    let mut group = start_group(criterion, "configuration");
    for workspaces in WORKSPACES {
        let buckets = samples::config_buckets(workspaces);
        let stored = samples::stored_buckets(workspaces);
        group.bench_function(BenchmarkId::new("build_whole_view", workspaces), |b| {
            b.iter(|| apply_all(&stored));
        });
        let state = apply_all(&stored);
        let full = buckets.iter().position(|bucket| !bucket.items.is_empty());
        let index = full.expect("a bucket with an item");
        let next = samples::changed_bucket(&buckets[index]);
        let change = samples::stored_bucket(index, &next, 2);
        // The published view is shared with traffic, as in a running daemon.
        group.bench_function(BenchmarkId::new("apply_one_bucket", workspaces), |b| {
            b.iter_batched_ref(
                || (state.clone(), Arc::clone(state.view())),
                |(state, _)| state.apply(&change),
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

fn apply_all(stored: &[pistachiowick::ports::StoredObject]) -> ConfigState {
    let mut state = ConfigState::default();
    for object in stored {
        state.apply(object).expect("a readable bucket");
    }
    state
}

fn bench_role_plan(criterion: &mut Criterion) {
    let mut group = start_group(criterion, "role_plan");
    for targets in TARGETS {
        let engines = plan_engines(targets);
        let needs = vec![ModelNeed {
            model: samples::SAMPLE_MODEL.into(),
            min_engines: 2,
        }];
        let mix = settled_mix(targets);
        let mut planner = RolePlanner::new(PolicySettings::default());
        group.bench_function(BenchmarkId::new("plan", targets), |b| {
            b.iter(|| planner.plan(&engines, &needs, &mix, 0, NOW));
        });
    }
    group.finish();
}

fn plan_engines(targets: usize) -> Vec<PlanEngine> {
    let engines = (0..targets).map(|number| PlanEngine {
        id: TargetId::from(samples::engine_name(number)),
        role: EngineRole::Mixed,
        models: vec!["base@1".to_owned()],
        usable: true,
        in_flight: 1,
    });
    engines.collect()
}

fn settled_mix(targets: usize) -> MixForecast {
    let speeds = PolicySettings::default().speeds;
    let mut mix = MixForecast::default();
    mix.tick(MonoTime(0));
    for second in 1..=60 {
        let mut totals = WorkTotals::new();
        let model = samples::SAMPLE_MODEL.into();
        for _ in 0..targets {
            let work = WorkAmount::of_request(&speeds, 2_000, 100);
            add_work(&mut totals, &model, work);
        }
        mix.add_work(&model, &totals[&model]);
        mix.tick(MonoTime(second * 1_000));
    }
    mix
}

fn bench_shares(criterion: &mut Criterion) {
    let mut group = start_group(criterion, "shares");
    for workspaces in WORKSPACES {
        let costs: IndexMap<_, f64> = (0..workspaces)
            .map(|n| (samples::workspace_name(n).into(), 0.5))
            .collect();
        let mut state = ShareTracker::default();
        let mut now = NOW;
        group.bench_function(BenchmarkId::new("second_and_view", workspaces), |b| {
            b.iter(|| {
                for (workspace, cost) in &costs {
                    state.add_cost(workspace, *cost);
                }
                now = now.plus(Duration::from_secs(1));
                state.tick(now);
                state.view(|_| 1)
            });
        });
    }
    group.finish();
}

criterion_group!(
    benches,
    bench_placement,
    bench_saturation,
    bench_fair_queue,
    bench_fleet_update,
    bench_membership,
    bench_lease_groups,
    bench_hints,
    bench_configuration,
    bench_role_plan,
    bench_shares
);
criterion_main!(benches);
