//! Scheduler state stays consistent for any sequence of arrivals, completions, failures
//! and fleet changes.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use pistachiowick::decide::fair_queue::JobNumber;
use pistachiowick::decide::scheduler::{
    JobMeasurement, JobSpec, ScheduleAction, Scheduler, SchedulerInputs,
};
use pistachiowick::decide::turn_gate::TurnGate;
use pistachiowick::membership::fleet::{FleetView, UseState};
use pistachiowick::names::{DaemonId, MonoTime, TargetId};
use pistachiowick::settings::{LimitSettings, PlacementPolicy, PolicySettings};
use pistachiowick::target_limits::SharedLimitTracker;
use pistachiowick::target_statements::backoff_tracker::SharedBackoffTracker;
use pistachiowick_lab::samples;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const ENGINES: usize = 5;
const MAX_IN_FLIGHT: usize = 2;
const QUEUE_LENGTH: usize = 12;
const QUEUE_PER_WORKSPACE: usize = 6;

#[derive(Clone, Copy, Debug)]
enum SchedulerStep {
    Admit {
        workspace: usize,
        prompt: u32,
        deadline_ms: u64,
        excluded: Option<usize>,
    },
    Cancel(usize),
    Finish {
        index: usize,
        first_token_s: f64,
        complete: bool,
    },
    Retry(usize),
    Target {
        engine: usize,
        state: UseState,
        changing: bool,
    },
    Report {
        engine: usize,
        in_flight: u32,
        backlog: u64,
    },
    DropReport(usize),
    Wait(u64),
}

fn states() -> impl Strategy<Value = UseState> {
    prop::sample::select(vec![
        UseState::Live,
        UseState::Live,
        UseState::Suspect,
        UseState::Drained,
        UseState::Leaving,
        UseState::Gone,
    ])
}

fn steps() -> impl Strategy<Value = Vec<SchedulerStep>> {
    let admit = (
        0..4usize,
        1..20_000u32,
        0..6_000u64,
        prop::option::of(0..ENGINES),
    )
        .prop_map(
            |(workspace, prompt, deadline_ms, excluded)| SchedulerStep::Admit {
                workspace,
                prompt,
                deadline_ms,
                excluded,
            },
        );
    let finish = (any::<usize>(), 0.0..30.0f64, any::<bool>()).prop_map(
        |(index, first_token_s, complete)| SchedulerStep::Finish {
            index,
            first_token_s,
            complete,
        },
    );
    let target = (0..ENGINES, states(), any::<bool>()).prop_map(|(engine, state, changing)| {
        SchedulerStep::Target {
            engine,
            state,
            changing,
        }
    });
    let report = (0..ENGINES, 0..4u32, 0..9_000u64).prop_map(|(engine, in_flight, backlog)| {
        SchedulerStep::Report {
            engine,
            in_flight,
            backlog,
        }
    });
    let step = prop_oneof![
        8 => admit,
        2 => any::<usize>().prop_map(SchedulerStep::Cancel),
        4 => finish,
        2 => any::<usize>().prop_map(SchedulerStep::Retry),
        2 => target,
        2 => report,
        1 => (0..ENGINES).prop_map(SchedulerStep::DropReport),
        3 => (1..4_000u64).prop_map(SchedulerStep::Wait),
    ];
    prop::collection::vec(step, 1..150)
}

/// The scheduler with the state that its caller tracks.
struct TrackedScheduler {
    scheduler: Scheduler,
    fleet: FleetView,
    now: MonoTime,
    waiting: IndexMap<JobNumber, JobSpec>,
    running: IndexMap<JobNumber, (JobSpec, TargetId)>,
    ended: IndexSet<JobNumber>,
}

impl TrackedScheduler {
    fn new(policy: PolicySettings) -> Self {
        let now = MonoTime(1_000_000);
        let fleet = samples::fleet_view(ENGINES, 1, 1, now);
        let mut tracked = Self {
            scheduler: Scheduler::new(SchedulerInputs {
                turns: TurnGate::new(
                    DaemonId::from("local"),
                    SharedLimitTracker::default(),
                    SharedBackoffTracker::default(),
                ),
                speeds: policy.speeds.clone(),
                policy,
                limits: LimitSettings {
                    queue_length: QUEUE_LENGTH,
                    queue_per_workspace: QUEUE_PER_WORKSPACE,
                    ..LimitSettings::default()
                },
                seed: 3,
            }),
            fleet,
            now,
            waiting: IndexMap::new(),
            running: IndexMap::new(),
            ended: IndexSet::new(),
        };
        tracked.publish();
        tracked
    }

    fn publish(&mut self) {
        self.fleet.version += 1;
        let fleet = Arc::new(self.fleet.clone());
        let actions = self.scheduler.update_fleet(fleet, 1, self.now);
        self.apply(actions);
    }

    fn schedule(&mut self) {
        let actions = self.scheduler.schedule(self.now);
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<ScheduleAction>) {
        for action in actions {
            match action {
                ScheduleAction::Start(grant) => {
                    let spec = self.waiting.swap_remove(&grant.number);
                    let spec = spec.expect("only queued requests are started");
                    let target = &self.fleet.targets[&grant.choice.target];
                    let report = target
                        .report
                        .as_ref()
                        .expect("an engine with a started request has a report");
                    assert_eq!(
                        target.state,
                        UseState::Live,
                        "request started on {}",
                        target.id
                    );
                    assert!(!report.changing, "{} is being changed", target.id);
                    assert!(!spec.need.excluded.contains(&target.id));
                    let running = (spec, target.id.clone());
                    self.running.insert(grant.number, running);
                }
                ScheduleAction::Refuse(number, refusal) => {
                    let refused = self.waiting.swap_remove(&number);
                    assert!(refused.is_some(), "{number:?} was not queued");
                    assert!(!refusal.retry_after.is_zero());
                    assert!(self.ended.insert(number), "{number:?} ended twice");
                }
            }
        }
    }

    fn step(&mut self, step: SchedulerStep) {
        match step {
            SchedulerStep::Admit {
                workspace,
                prompt,
                deadline_ms,
                excluded,
            } => self.admit(workspace, prompt, deadline_ms, excluded),
            SchedulerStep::Cancel(index) => self.cancel(index),
            SchedulerStep::Finish {
                index,
                first_token_s,
                complete,
            } => self.finish(index, first_token_s, complete),
            SchedulerStep::Retry(index) => self.retry(index),
            SchedulerStep::Target {
                engine,
                state,
                changing,
            } => {
                let target = &mut self.fleet.targets[engine];
                target.state = state;
                if let Some(report) = &mut target.report {
                    report.changing = changing;
                }
                self.publish();
            }
            SchedulerStep::Report {
                engine,
                in_flight,
                backlog,
            } => {
                let now = self.now;
                let mut fresh = samples::engine_view(engine, now).report;
                if let Some(report) = &mut fresh {
                    report.in_flight = in_flight;
                    report.prefill_backlog_tokens = backlog;
                }
                self.fleet.targets[engine].report = fresh;
                self.publish();
            }
            SchedulerStep::DropReport(engine) => {
                self.fleet.targets[engine].report = None;
                self.publish();
            }
            SchedulerStep::Wait(ms) => self.now.0 += ms,
        }
        self.schedule();
        self.check();
    }

    fn admit(&mut self, workspace: usize, prompt: u32, deadline_ms: u64, excluded: Option<usize>) {
        let mut spec = samples::job_spec(workspace, f64::from(prompt), self.now);
        spec.deadline = MonoTime(self.now.0 + deadline_ms);
        let excluded = excluded.map(|e| TargetId::from(samples::engine_name(e)));
        spec.need.excluded.extend(excluded);
        let is_same_workspace = |s: &&JobSpec| s.workspace == spec.workspace;
        let count = self.waiting.values().filter(is_same_workspace).count();
        let is_full = self.waiting.len() >= QUEUE_LENGTH || count >= QUEUE_PER_WORKSPACE;
        match self.scheduler.admit(spec.clone(), self.now) {
            Ok(number) => {
                assert!(
                    !is_full,
                    "{count} of {} are queued already",
                    self.waiting.len()
                );
                assert!(!self.ended.contains(&number) && !self.running.contains_key(&number));
                assert_eq!(
                    self.waiting.insert(number, spec),
                    None,
                    "number assigned twice"
                );
            }
            Err(refusal) => assert!(!refusal.retry_after.is_zero()),
        }
    }

    fn cancel(&mut self, index: usize) {
        if self.waiting.is_empty() {
            return;
        }
        let position = index % self.waiting.len();
        let (number, _) = self
            .waiting
            .swap_remove_index(position)
            .expect("the index is in range");
        assert!(self.scheduler.cancel(number));
        assert!(!self.scheduler.cancel(number));
        assert!(self.ended.insert(number), "{number:?} ended twice");
    }

    fn finish(&mut self, index: usize, first_token_s: f64, complete: bool) {
        if self.running.is_empty() {
            return;
        }
        let position = index % self.running.len();
        let (number, _) = self
            .running
            .swap_remove_index(position)
            .expect("the index is in range");
        let measurement = JobMeasurement {
            first_token_s: Some(first_token_s),
            token_gap_s: Some(first_token_s / 10.0),
            complete_answer_tokens: complete.then_some(20),
        };
        self.scheduler.finish(number, measurement, self.now);
        self.scheduler.finish(number, measurement, self.now);
        assert!(self.ended.insert(number), "{number:?} ended twice");
    }

    fn retry(&mut self, index: usize) {
        if self.running.is_empty() {
            return;
        }
        let position = index % self.running.len();
        let (number, (mut spec, target)) = self
            .running
            .swap_remove_index(position)
            .expect("the index is in range");
        spec.need.excluded.push(target);
        self.scheduler.retry(number, spec.need.clone());
        self.waiting.insert(number, spec);
    }

    fn check(&self) {
        let counts = self.scheduler.counts();
        assert_eq!(counts, (self.waiting.len(), self.running.len()));
        for target in self.fleet.targets.keys() {
            let count = self.running.values().filter(|(_, t)| t == target).count();
            assert_eq!(self.scheduler.local_in_flight(target), count, "{target}");
            assert!(count <= MAX_IN_FLIGHT, "{count} requests at {target}");
        }
    }

    /// Lets all deadlines pass and ends all running requests; none may be left.
    fn drain(&mut self) {
        while !self.running.is_empty() {
            self.finish(0, 0.1, true);
            self.schedule();
        }
        self.now.0 += 1_000_000;
        self.schedule();
        while !self.running.is_empty() {
            self.finish(0, 0.1, true);
            self.schedule();
        }
        assert_eq!(self.scheduler.counts(), (0, 0));
        self.check();
    }
}

fn run(policy: PolicySettings, steps: Vec<SchedulerStep>) {
    let mut tracked = TrackedScheduler::new(PolicySettings {
        engine_in_flight: MAX_IN_FLIGHT,
        ..policy
    });
    for step in steps {
        tracked.step(step);
    }
    tracked.drain();
}

proptest! {
    #![proptest_config(Config {
        cases: 192,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_205),
        ..Config::default()
    })]

    // Every queued request is started, refused or cancelled exactly once, no engine gets
    // more requests than allowed or any while it may not be used, and at the end no
    // request is left.
    #[test]
    fn default_policy_keeps_state_consistent(steps in steps()) {
        run(PolicySettings::default(), steps);
    }

    #[test]
    fn baseline_policies_keep_state_consistent(steps in steps(), round_robin in any::<bool>()) {
        let placement = if round_robin {
            PlacementPolicy::RoundRobin
        } else {
            PlacementPolicy::LeastInFlight
        };
        run(
            PolicySettings {
                placement,
                refuse_early: false,
                fair_shares: false,
                ..PolicySettings::default()
            },
            steps,
        );
    }
}
