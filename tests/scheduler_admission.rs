//! Scheduler: admission, refusal and placement of one daemon's requests.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use pistachiowick::decide::fair_queue::JobNumber;
use pistachiowick::decide::placement::PoolKey;
use pistachiowick::decide::scheduler::{
    JobGrant, JobMeasurement, JobRefusal, JobSpec, ScheduleAction, Scheduler, SchedulerInputs,
};
use pistachiowick::decide::turn_gate::TurnGate;
use pistachiowick::membership::fleet::{FleetView, UseState};
use pistachiowick::names::{DaemonId, MonoTime, TargetId, WorkspaceName};
use pistachiowick::settings::{LimitSettings, PolicySettings};
use pistachiowick::target_limits::SharedLimitTracker;
use pistachiowick::target_statements::backoff_tracker::SharedBackoffTracker;
use pistachiowick::targets::wire::{CacheEvent, EngineRole};
use pistachiowick_lab::samples;
use rstest::rstest;

const NOW: MonoTime = MonoTime(1_000_000);

fn scheduler(policy: PolicySettings, limits: LimitSettings) -> Scheduler {
    Scheduler::new(SchedulerInputs {
        turns: TurnGate::new(
            DaemonId::from("local"),
            SharedLimitTracker::default(),
            SharedBackoffTracker::default(),
        ),
        speeds: policy.speeds.clone(),
        policy,
        limits,
        seed: 7,
    })
}

fn idle_fleet(engines: usize, version: u64, now: MonoTime) -> FleetView {
    let mut fleet = samples::fleet_view(engines, 1, version, now);
    let reports = fleet.targets.values_mut().filter_map(|t| t.report.as_mut());
    for report in reports {
        report.in_flight = 0;
    }
    fleet
}

/// A scheduler for engines that run one request each.
fn single_slot_scheduler(engines: usize) -> Scheduler {
    let policy = PolicySettings {
        engine_in_flight: 1,
        ..PolicySettings::default()
    };
    let mut scheduler = scheduler(policy, LimitSettings::default());
    scheduler.update_fleet(Arc::new(idle_fleet(engines, 1, NOW)), 1, NOW);
    scheduler
}

fn spec(workspace: usize) -> JobSpec {
    samples::job_spec(workspace, 300.0, NOW)
}

fn grants(actions: Vec<ScheduleAction>) -> Vec<JobGrant> {
    let grants = actions.into_iter().filter_map(|action| match action {
        ScheduleAction::Start(grant) => Some(grant),
        ScheduleAction::Refuse(..) => None,
    });
    grants.collect()
}

fn complete_answer() -> JobMeasurement {
    JobMeasurement {
        complete_answer_tokens: Some(40),
        ..JobMeasurement::default()
    }
}

/// Runs requests on engines that are always full; returns the cost served per workspace.
fn serve(
    scheduler: &mut Scheduler,
    weights: &[u32],
    rounds: usize,
) -> IndexMap<WorkspaceName, f64> {
    let mut served = IndexMap::new();
    let mut owners: IndexMap<JobNumber, (WorkspaceName, f64)> = IndexMap::new();
    let mut now = NOW;
    for _ in 0..rounds {
        for (workspace, weight) in weights.iter().enumerate() {
            // The first workspace requests long answers, the others short ones.
            let job = JobSpec {
                weight: f64::from(*weight),
                max_output_tokens: if workspace == 0 { 500 } else { 50 },
                ..spec(workspace)
            };
            let cost = scheduler.expected_cost(&job);
            let name = job.workspace.clone();
            if let Ok(number) = scheduler.admit(job, now) {
                owners.insert(number, (name, cost));
            }
        }
        for grant in grants(scheduler.schedule(now)) {
            let (workspace, cost) = &owners[&grant.number];
            *served.entry(workspace.clone()).or_default() += cost;
            scheduler.finish(grant.number, JobMeasurement::default(), now);
        }
        now = now.plus(Duration::from_millis(1));
    }
    served
}

// Three workspaces request more than one engine can serve. Each gets its fair share in
// engine-seconds, including the one whose answers are ten times as long.
#[rstest]
#[case::equal(&[1, 1, 1])]
#[case::weighted(&[4, 2, 1])]
fn saturated_engines_are_shared_by_weight(#[case] weights: &[u32]) {
    let policy = PolicySettings {
        engine_in_flight: 1,
        refuse_early: false,
        ..PolicySettings::default()
    };
    let mut scheduler = scheduler(policy, LimitSettings::default());
    scheduler.update_fleet(Arc::new(idle_fleet(1, 1, NOW)), 1, NOW);
    let served = serve(&mut scheduler, weights, 1_500);
    let total: f64 = served.values().sum();
    for (workspace, weight) in weights.iter().enumerate() {
        let name = WorkspaceName::from(samples::workspace_name(workspace));
        let fair_share = f64::from(*weight) / f64::from(weights.iter().sum::<u32>());
        let share = served.get(&name).copied().unwrap_or(0.0) / total;
        assert!(
            (share - fair_share).abs() < 0.1 * fair_share,
            "{name} got a share of {share:.3} instead of {fair_share:.3}: {served:?}"
        );
    }
}

struct RoomCase {
    per_workspace: usize,
    length: usize,
    requests: &'static [usize],
    refused_at: usize,
}

// The queue is bounded per workspace and in total: a workspace that reaches its own limit
// leaves room for the others.
#[rstest]
#[case::workspace_full(RoomCase { per_workspace: 2, length: 9, requests: &[0, 0, 0], refused_at: 2 })]
#[case::other_workspace_has_room(RoomCase { per_workspace: 2, length: 9, requests: &[0, 0, 1, 1, 0], refused_at: 4 })]
#[case::total_full(RoomCase { per_workspace: 2, length: 3, requests: &[0, 0, 1, 2], refused_at: 3 })]
fn queue_is_bounded(#[case] case: RoomCase) {
    let limits = LimitSettings {
        queue_per_workspace: case.per_workspace,
        queue_length: case.length,
        ..LimitSettings::default()
    };
    let policy = PolicySettings {
        refuse_early: false,
        ..PolicySettings::default()
    };
    let mut scheduler = scheduler(policy, limits);
    scheduler.update_fleet(Arc::new(idle_fleet(1, 1, NOW)), 1, NOW);
    for (position, workspace) in case.requests.iter().enumerate() {
        let admitted = scheduler.admit(spec(*workspace), NOW);
        assert_eq!(
            admitted.is_err(),
            position == case.refused_at,
            "request {position}"
        );
        if let Err(refusal) = admitted {
            assert!(refusal.reason.contains("full"), "{}", refusal.reason);
            assert!(refusal.retry_after >= Duration::from_millis(100));
        }
    }
    assert_eq!(scheduler.counts(), (case.refused_at, 0));
}

struct PoolCase {
    state: UseState,
    admitted: bool,
}

// A request without any engine that could serve it is refused immediately, since waiting
// would only use up its deadline. A suspect engine may become live again in time.
#[rstest]
#[case::live(PoolCase { state: UseState::Live, admitted: true })]
#[case::suspect(PoolCase { state: UseState::Suspect, admitted: true })]
#[case::drained(PoolCase { state: UseState::Drained, admitted: false })]
#[case::leaving(PoolCase { state: UseState::Leaving, admitted: false })]
#[case::gone(PoolCase { state: UseState::Gone, admitted: false })]
fn unserved_model_is_refused_at_once(#[case] case: PoolCase) {
    let mut fleet = idle_fleet(3, 1, NOW);
    for target in fleet.targets.values_mut() {
        target.state = case.state;
    }
    let mut scheduler = single_slot_scheduler(3);
    fleet.version = 2;
    scheduler.update_fleet(Arc::new(fleet), 1, NOW);
    let admitted = scheduler.admit(spec(0), NOW);
    assert_eq!(admitted.is_ok(), case.admitted);
    let placed = grants(scheduler.schedule(NOW));
    assert_eq!(!placed.is_empty(), case.state == UseState::Live);
    let refusal = admitted.err().map(|r| r.reason);
    assert!(
        refusal.is_none_or(|reason| reason.contains("no available engine has model base loaded"))
    );
}

#[test]
fn unknown_service_is_refused_at_once() {
    let mut job = spec(0);
    job.need.pool = PoolKey::Service("ledger".into());
    let refusal = single_slot_scheduler(1)
        .admit(job, NOW)
        .expect_err("no instance offers the service");
    assert!(refusal.reason.contains("no instance of service ledger"));
}

/// Fills one engine and its queue until a request is refused; returns the number admitted
/// and the refusal.
fn flood(scheduler: &mut Scheduler, deadline_ms: u64) -> (usize, JobRefusal) {
    for admitted_count in 0..10_000 {
        let job = JobSpec {
            deadline: MonoTime(NOW.0 + deadline_ms),
            ..spec(0)
        };
        if let Err(refusal) = scheduler.admit(job, NOW) {
            return (admitted_count, refusal);
        }
        scheduler.schedule(NOW);
    }
    panic!("no request was refused");
}

// Under a flood of requests, those that cannot meet their deadline are refused on
// arrival, before they use any engine; the shorter the deadline, the sooner. Every
// refusal has a retry time within bounds.
#[test]
fn unmeetable_deadlines_are_refused_early() {
    let limits = LimitSettings {
        queue_per_workspace: 10_000,
        queue_length: 10_000,
        ..LimitSettings::default()
    };
    let mut admitted_counts = Vec::new();
    for deadline_ms in [2_000, 8_000, 30_000] {
        let policy = PolicySettings {
            engine_in_flight: 1,
            ..PolicySettings::default()
        };
        let mut scheduler = scheduler(policy, limits.clone());
        scheduler.update_fleet(Arc::new(idle_fleet(1, 1, NOW)), 1, NOW);
        let (admitted_count, refusal) = flood(&mut scheduler, deadline_ms);
        assert!(refusal.reason.contains("deadline cannot be met"));
        assert!(refusal.retry_after >= Duration::from_millis(100));
        assert!(refusal.retry_after <= Duration::from_secs(30));
        assert_eq!(
            scheduler.counts().1,
            1,
            "one request runs, the others are queued"
        );
        admitted_counts.push(admitted_count);
    }
    assert!(
        admitted_counts.is_sorted() && admitted_counts[0] < admitted_counts[2],
        "{admitted_counts:?}"
    );
}

// Guards against refusals by order of arrival: with admission control, a part of the requests is
// refused while the queue grows, and all once the deadline cannot be met, each with a time to
// return of at most a third of its time.
#[test]
fn admission_refuses_a_growing_part() {
    let policy = PolicySettings {
        engine_in_flight: 1,
        admission: true,
        ..PolicySettings::default()
    };
    let limits = LimitSettings {
        queue_per_workspace: 10_000,
        queue_length: 10_000,
        ..LimitSettings::default()
    };
    let mut scheduler = scheduler(policy, limits);
    scheduler.update_fleet(Arc::new(idle_fleet(1, 1, NOW)), 1, NOW);
    let mut admitted = Vec::new();
    for number in 0..400 {
        let job = JobSpec {
            deadline: MonoTime(NOW.0 + 8_000),
            phase: f64::from(number * 37 % 100) / 100.0,
            ..spec(0)
        };
        let outcome = scheduler.admit(job, NOW);
        if let Err(refusal) = &outcome {
            assert!(refusal.reason.contains("deadline cannot be met"));
            assert!(refusal.retry_after >= Duration::from_millis(100));
            assert!(refusal.retry_after <= Duration::from_millis(8_000 / 3));
        }
        admitted.push(outcome.is_ok());
        scheduler.schedule(NOW);
    }
    let first_refusal = admitted.iter().position(|is_admitted| !is_admitted);
    let last_admission = admitted.iter().rposition(|is_admitted| *is_admitted);
    assert!(first_refusal > Some(1), "{admitted:?}");
    assert!(last_admission > first_refusal, "{admitted:?}");
    assert!(!admitted[399], "{admitted:?}");
}

// A refused request leaves no state that would delay later ones.
#[test]
fn refusal_leaves_no_state() {
    let mut scheduler = single_slot_scheduler(1);
    let (admitted_count, _) = flood(&mut scheduler, 2_000);
    let before = scheduler.counts();
    for _ in 0..100 {
        let job = JobSpec {
            deadline: MonoTime(NOW.0 + 2_000),
            ..spec(0)
        };
        assert!(scheduler.admit(job, NOW).is_err());
    }
    assert_eq!(scheduler.counts(), before);
    assert_eq!(before.0 + before.1, admitted_count);
}

// Requests wait for a busy engine until they can no longer meet their deadline. Each is
// refused once, and none of them has been sent to an engine.
#[test]
fn overdue_requests_are_refused_once() {
    let mut scheduler = single_slot_scheduler(1);
    let mut waiting = Vec::new();
    for _ in 0..3 {
        let job = JobSpec {
            deadline: MonoTime(NOW.0 + 5_000),
            ..spec(0)
        };
        waiting.push(scheduler.admit(job, NOW).expect("the queue has room"));
    }
    let running = grants(scheduler.schedule(NOW));
    assert_eq!(running.len(), 1);
    let late = MonoTime(NOW.0 + 6_000);
    let refused: Vec<JobNumber> = scheduler
        .schedule(late)
        .into_iter()
        .map(|action| match action {
            ScheduleAction::Refuse(number, refusal) => {
                assert!(refusal.retry_after >= Duration::from_millis(100));
                number
            }
            ScheduleAction::Start(grant) => panic!("{grant:?} was started too late"),
        })
        .collect();
    waiting.retain(|number| *number != running[0].number);
    assert_eq!(refused, waiting);
    assert!(scheduler.schedule(late).is_empty());
    assert!(!scheduler.cancel(waiting[0]));
    assert_eq!(scheduler.counts(), (0, 1));
}

// An engine starts to leave while requests are queued. It receives no more requests, even
// when it has free capacity; they go to the engine that stays.
#[test]
fn leaving_engine_gets_no_more_requests() {
    let mut scheduler = single_slot_scheduler(2);
    for _ in 0..6 {
        scheduler.admit(spec(0), NOW).expect("the queue has room");
    }
    let running = grants(scheduler.schedule(NOW));
    assert_eq!(running.len(), 2);
    let mut fleet = idle_fleet(2, 2, NOW);
    fleet.targets[0].state = UseState::Leaving;
    let leaving: TargetId = fleet.targets[0].id.clone();
    let mut started = grants(scheduler.update_fleet(Arc::new(fleet), 1, NOW));
    let mut running = running;
    for _ in 0..6 {
        for grant in running.drain(..) {
            scheduler.finish(grant.number, complete_answer(), NOW);
        }
        started.extend(grants(scheduler.schedule(NOW)));
        assert!(started.iter().all(|g| g.choice.target != leaving));
        running.append(&mut started);
    }
    assert_eq!(scheduler.counts(), (0, 0));
    assert_eq!(scheduler.local_in_flight(&leaving), 0);
}

// A retried request keeps its rank before those that arrived later, and is not sent to
// the engine on which it failed.
#[test]
fn retried_request_keeps_its_rank_and_avoids_the_failed_engine() {
    let mut scheduler = single_slot_scheduler(2);
    let first = scheduler.admit(spec(0), NOW).expect("the queue has room");
    let failed = grants(scheduler.schedule(NOW)).remove(0).choice.target;
    for _ in 0..3 {
        scheduler.admit(spec(0), NOW).expect("the queue has room");
    }
    scheduler.schedule(NOW);
    let mut need = spec(0).need;
    need.excluded.push(failed.clone());
    scheduler.retry(first, need);
    assert_eq!(scheduler.local_in_flight(&failed), 0);
    let other = scheduler.schedule(NOW);
    assert!(
        grants(other).iter().all(|g| g.number != first),
        "the other engine is busy"
    );
    let mut fleet = idle_fleet(3, 2, NOW);
    fleet.targets.retain(|id, _| *id != failed);
    let started = grants(scheduler.update_fleet(Arc::new(fleet), 1, NOW));
    assert_eq!(started.first().map(|g| g.number), Some(first));
    assert!(started.iter().all(|g| g.choice.target != failed));
}

#[rstest]
#[case::waiting(0)]
#[case::placed(1)]
fn unknown_and_ended_numbers_change_nothing(#[case] engines: usize) {
    let mut scheduler = single_slot_scheduler(1);
    for _ in 0..engines {
        scheduler.admit(spec(0), NOW).expect("the queue has room");
        scheduler.schedule(NOW);
    }
    let before = scheduler.counts();
    assert!(!scheduler.cancel(JobNumber(999)));
    scheduler.finish(JobNumber(999), complete_answer(), NOW);
    scheduler.retry(JobNumber(999), spec(0).need);
    assert_eq!(scheduler.counts(), before);
}

// Requests with a shared prefix go to the engine that has it cached; once that engine has
// evicted it, the engine is no better than any other.
#[test]
fn cache_events_change_the_placement() {
    let policy = PolicySettings::default();
    let mut scheduler = scheduler(policy, LimitSettings::default());
    scheduler.update_fleet(Arc::new(idle_fleet(40, 1, NOW)), 1, NOW);
    let holder = TargetId::from(samples::engine_name(33));
    let cached = CacheEvent {
        sequence: 1,
        prefix: "rules".to_owned(),
        tokens: 4_000,
    };
    scheduler.apply_cache_events(&holder, std::slice::from_ref(&cached));
    let mut job = spec(0);
    job.need.prompt_tokens = 4_100.0;
    job.need.shared_prefix = "rules".to_owned();
    job.need.shared_prefix_tokens = 4_000;
    scheduler
        .admit(job.clone(), NOW)
        .expect("the queue has room");
    let first = grants(scheduler.schedule(NOW)).remove(0);
    assert_eq!(first.choice.target, holder);
    let expected = first.choice.first_token_s;
    assert!(expected < 0.1, "{expected}");
    scheduler.finish(first.number, JobMeasurement::default(), NOW);
    let evicted = CacheEvent {
        sequence: 2,
        tokens: 0,
        ..cached
    };
    scheduler.apply_cache_events(&holder, &[evicted]);
    scheduler.admit(job, NOW).expect("the queue has room");
    let second = grants(scheduler.schedule(NOW)).remove(0);
    assert!(second.choice.first_token_s > 0.3, "{second:?}");
}

// Each daemon uses only its part of the capacity: the more daemons share the engines, the
// fewer requests each admits.
#[test]
fn capacity_is_divided_among_daemons() {
    let mut admitted_counts = Vec::new();
    for daemons in [1, 8] {
        let policy = PolicySettings {
            engine_in_flight: 1,
            ..PolicySettings::default()
        };
        let limits = LimitSettings {
            queue_per_workspace: 10_000,
            queue_length: 10_000,
            ..LimitSettings::default()
        };
        let mut scheduler = scheduler(policy, limits);
        scheduler.update_fleet(Arc::new(idle_fleet(8, 1, NOW)), daemons, NOW);
        admitted_counts.push(flood(&mut scheduler, 5_000).0);
    }
    assert!(
        admitted_counts[1] * 4 < admitted_counts[0],
        "{admitted_counts:?}"
    );
}

// Long prompts go to one side of a pool and short ones to the other; both are served.
#[test]
fn long_prompts_stay_on_their_side() {
    let mut scheduler = scheduler(PolicySettings::default(), LimitSettings::default());
    scheduler.update_fleet(Arc::new(idle_fleet(10, 1, NOW)), 1, NOW);
    let mut sides: [Vec<TargetId>; 2] = Default::default();
    for round in 0..200 {
        let long = round % 2 == 0;
        let tokens = if long { 9_000.0 } else { 100.0 };
        let job = samples::job_spec(0, tokens, NOW);
        scheduler.admit(job, NOW).expect("the queue has room");
        for grant in grants(scheduler.schedule(NOW)) {
            // The mix is not yet known for the first requests.
            if round > 10 {
                sides[usize::from(!long)].push(grant.choice.target.clone());
            }
            scheduler.finish(grant.number, JobMeasurement::default(), NOW);
        }
    }
    assert!(!sides[0].is_empty() && !sides[1].is_empty());
    assert!(sides[0].iter().all(|t| !sides[1].contains(t)), "{sides:?}");
}

#[test]
fn engine_role_comes_from_its_report() {
    let mut fleet = idle_fleet(2, 1, NOW);
    if let Some(report) = &mut fleet.targets[1].report {
        report.role = EngineRole::Prefill;
    }
    let prefill_engine = fleet.targets[1].id.clone();
    let mut scheduler = scheduler(PolicySettings::default(), LimitSettings::default());
    scheduler.update_fleet(Arc::new(fleet), 1, NOW);
    let mut job = samples::job_spec(0, 30_000.0, NOW);
    job.max_output_tokens = 5;
    scheduler.admit(job, NOW).expect("the queue has room");
    let grant = grants(scheduler.schedule(NOW)).remove(0);
    assert_eq!(grant.choice.target, prefill_engine);
}

/// Guards against refusals on nearly idle engines: if the cost of a request included a
/// long shared prefix that is cached, even a short queue would look too long for the
/// deadline.
#[test]
fn shared_prefix_adds_no_cost() {
    let scheduler = single_slot_scheduler(1);
    let mut plain = spec(0);
    plain.need.prompt_tokens = 1_000.0;
    let mut shared = spec(0);
    shared.need.prompt_tokens = 5_000.0;
    shared.need.shared_prefix = "rulebook".to_owned();
    shared.need.shared_prefix_tokens = 4_000;
    let costs = [&plain, &shared].map(|spec| scheduler.expected_cost(spec));
    assert!((costs[0] - costs[1]).abs() < 1e-9, "{costs:?}");
}
