//! Admission, queueing and placement of one daemon's requests, without I/O or clock.
//!
//! Every call is given the time and returns the actions that the dispatcher has to carry
//! out. A request refused here has not run unless an earlier attempt did: those queued by
//! [`Scheduler::retry`] have been sent before, and the caller of the scheduler keeps
//! track of that.

use std::time::Duration;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission::window::AdmissionWindow;
use crate::admission::{self, AdmissionDecision, CapacityView, RequestTerms};
use crate::decide::candidates::{self, CandidateIndex, CandidateSide};
use crate::decide::cost::{CostModel, SpeedSettings};
use crate::decide::fair_queue::{FairQueue, JobNumber, QueuedJob};
use crate::decide::placement::{
    LocalWork, PlacementInputs, PlacementNeed, PoolKey, PoolSide, RunningJob, SharedFleet,
    TargetChoice, choose_target,
};
use crate::decide::prefix_index::PrefixIndex;
use crate::decide::turn_gate::TurnGate;
use crate::invariants::{self, Invariant};
use crate::membership::fleet::{TargetView, UseState};
use crate::names::{ClassName, MonoTime, TargetId, UnixTime, WorkspaceName, millis};
use crate::roles::work_mix::{PlacementRate, WorkMix};
use crate::settings::{LimitSettings, PlacementPolicy, PolicySettings};
use crate::target_incarnation::TargetIncarnation;
use crate::targets::wire::{CacheEvent, EngineRole};

/// Maximum number of queued requests tried for each placement.
const LOOK_AHEAD: usize = 16;
/// Engine-seconds per unit of weight within which urgency takes precedence over shares.
const FAIR_QUANTUM_S: f64 = 1.0;
/// Number of prefill steps above which a prompt counts as long.
const LONG_PROMPT_STEPS: f64 = 2.0;
/// Safety factor on the expected wait in the deadline check: a queue that may grow up to
/// the deadline itself serves every request slightly too late.
const WAIT_MARGIN: f64 = 2.0;
/// Time left that the admission window's period is derived from: the same for all requests,
/// since deadlines differ between classes and attempts.
const ADMISSION_WINDOW_TIME: Duration = Duration::from_millis(3_000);
/// Minimum service rate assumed, as a share of the targets' capacity.
const MIN_RATE_SHARE: f64 = 0.1;
/// Minimum time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Maximum time after which a refused caller is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Maximum number of ended requests kept per target to correct its last report.
const MAX_ENDED: usize = 256;

/// A request as the scheduler sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Request class.
    pub class: ClassName,
    /// Weight of the workspace, corrected by its use across the fleet.
    pub weight: f64,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// When the complete answer is due.
    pub deadline: MonoTime,
    /// Maximum number of output tokens.
    pub max_output_tokens: u32,
    /// Requirements on the target.
    pub need: PlacementNeed,
    /// Number from 0 to 1 that is the same for all attempts of the work.
    pub phase: f64,
}

/// Why a request is not admitted, or removed from the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRefusal {
    /// What happened, as shown to the caller.
    pub reason: String,
    /// Time after which to retry.
    pub retry_after: Duration,
}

/// A request with the target chosen for it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobGrant {
    /// The request.
    pub number: JobNumber,
    /// Its target.
    pub choice: TargetChoice,
}

/// An action that the dispatcher has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ScheduleAction {
    /// Send the request to its target.
    Start(JobGrant),
    /// Refuse a queued request. It has not run unless an earlier attempt did.
    Refuse(JobNumber, JobRefusal),
}

/// Measurements of a placed request, from which cost estimates are learned.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobMeasurement {
    /// Seconds from dispatch to the first token.
    pub first_token_s: Option<f64>,
    /// Mean seconds between tokens.
    pub token_gap_s: Option<f64>,
    /// Output tokens of a complete answer; `None` if the answer is incomplete.
    pub complete_answer_tokens: Option<u32>,
}

/// Key of a queue: requests that wait for the same targets.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct QueueKey {
    pool: PoolKey,
    side: PoolSide,
}

#[derive(Clone, Debug)]
struct WaitingJob {
    spec: JobSpec,
    queued: QueuedJob,
}

#[derive(Clone, Debug)]
struct PlacedJob {
    spec: JobSpec,
    choice: TargetChoice,
    placed_at: MonoTime,
}

/// Inputs that do not change while the daemon runs.
#[derive(Clone, Debug)]
pub struct SchedulerInputs {
    /// Turns at targets that limit the rate of their requests.
    pub turns: TurnGate,
    /// Scheduling policy.
    pub policy: PolicySettings,
    /// Queue limits.
    pub limits: LimitSettings,
    /// Initial estimates of engine speeds.
    pub speeds: SpeedSettings,
    /// Seed of the random generator that draws candidates.
    pub seed: u64,
}

/// Queues and places the requests of one daemon.
pub struct Scheduler {
    turns: TurnGate,
    policy: PolicySettings,
    limits: LimitSettings,
    fleet: SharedFleet,
    live_daemons: usize,
    index: CandidateIndex,
    costs: CostModel,
    prefixes: PrefixIndex,
    queues: IndexMap<QueueKey, FairQueue>,
    mixes: IndexMap<PoolKey, WorkMix>,
    placement_rates: IndexMap<QueueKey, PlacementRate>,
    waiting: IndexMap<JobNumber, WaitingJob>,
    placed: IndexMap<JobNumber, PlacedJob>,
    local: IndexMap<TargetId, LocalWork>,
    next_number: u64,
    cursor: usize,
    rng: SmallRng,
}

impl Scheduler {
    /// Creates a scheduler with an empty fleet.
    #[must_use]
    pub fn new(inputs: SchedulerInputs) -> Self {
        Self {
            turns: inputs.turns,
            policy: inputs.policy,
            limits: inputs.limits,
            fleet: SharedFleet::default(),
            live_daemons: 1,
            index: CandidateIndex::default(),
            costs: CostModel::new(inputs.speeds),
            prefixes: PrefixIndex::default(),
            queues: IndexMap::new(),
            mixes: IndexMap::new(),
            placement_rates: IndexMap::new(),
            waiting: IndexMap::new(),
            placed: IndexMap::new(),
            local: IndexMap::new(),
            next_number: 0,
            cursor: 0,
            rng: SmallRng::seed_from_u64(inputs.seed),
        }
    }

    /// Applies a new view of the fleet and places the requests that can now be placed.
    pub fn update_fleet(
        &mut self,
        fleet: SharedFleet,
        live_daemons: usize,
        now: MonoTime,
    ) -> Vec<ScheduleAction> {
        self.live_daemons = live_daemons.max(1);
        // Most views contain only new load reports.
        if !candidates::has_same_candidates(&self.fleet, &fleet) {
            self.index = CandidateIndex::build(&fleet);
            self.costs.retain_targets(|t| fleet.targets.contains_key(t));
            self.local
                .retain(|t, work| fleet.targets.contains_key(t) || !work.running.is_empty());
        }
        self.apply_reports(&fleet);
        self.fleet = fleet;
        self.schedule(now)
    }

    /// Applies an engine's cache events.
    pub fn apply_cache_events(&mut self, target: &TargetId, events: &[CacheEvent]) {
        for event in events {
            self.prefixes.apply_event(target, event);
        }
    }

    /// Returns the view of the fleet that was applied last.
    #[must_use]
    pub fn fleet(&self) -> &SharedFleet {
        &self.fleet
    }

    /// Returns whether a target of the applied view serves a pool.
    #[must_use]
    pub fn serves(&self, pool: &PoolKey) -> bool {
        self.index.is_usable(pool)
    }

    /// Adds a request to the queue, or refuses it immediately.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the queue is full, no target serves the request's model or
    /// service, or the deadline cannot be met.
    pub fn admit(&mut self, mut spec: JobSpec, now: MonoTime) -> Result<JobNumber, JobRefusal> {
        spec.need.deadline = self.policy.refuse_early.then_some(spec.deadline);
        spec.need.output_tokens = self.expected_output(&spec);
        self.check_room(&spec)?;
        self.check_pool(&spec)?;
        self.check_backoffs(&spec, now)?;
        self.check_turns(&spec, now)?;
        let queued = self.queued_job(&spec);
        self.record_mix(&spec, queued.cost, now);
        if self.policy.refuse_early {
            self.check_deadline(&spec, &queued, now)?;
        }
        let number = queued.number;
        self.queue_of(&spec.need).push(queued.clone());
        self.waiting.insert(number, WaitingJob { spec, queued });
        Ok(number)
    }

    /// Queues a placed request again after its target failed, with its old number.
    pub fn retry(&mut self, number: JobNumber, need: PlacementNeed) {
        let Some(placed) = self.take_placed(number) else {
            return;
        };
        let spec = JobSpec {
            need,
            ..placed.spec
        };
        let queued = QueuedJob {
            number,
            ..self.queued_job(&spec)
        };
        self.queue_of(&spec.need).push(queued.clone());
        self.waiting.insert(number, WaitingJob { spec, queued });
    }

    /// Removes a queued request; returns whether it was still queued.
    pub fn cancel(&mut self, number: JobNumber) -> bool {
        let Some(waiting) = self.waiting.swap_remove(&number) else {
            return false;
        };
        self.queue_of(&waiting.spec.need).remove(&waiting.queued)
    }

    /// Removes a placed request that ended and learns from its measurements.
    pub fn finish(&mut self, number: JobNumber, measurement: JobMeasurement, now: MonoTime) {
        let Some(placed) = self.take_placed(number) else {
            return;
        };
        if let Some(local) = self.local.get_mut(&placed.choice.target) {
            if local.ended.len() == MAX_ENDED {
                local.ended.remove(0);
            }
            local.ended.push((placed.placed_at, now));
        }
        self.learn(&placed, measurement);
    }

    /// Refuses queued requests that can no longer meet their deadline, and places those
    /// that can be placed.
    pub fn schedule(&mut self, now: MonoTime) -> Vec<ScheduleAction> {
        self.turns.sweep(now);
        let mut actions = self.refuse_overdue(now);
        for key in self.queues.keys().cloned().collect::<Vec<_>>() {
            while let Some(grant) = self.place_next(&key, now) {
                actions.push(ScheduleAction::Start(grant));
            }
            let waits = self.queues.get(&key).is_some_and(|q| !q.is_empty());
            let placement_rate = self.placement_rates.entry(key).or_default();
            placement_rate.record_waiting(waits, now);
        }
        actions
    }

    /// Returns the number of this daemon's requests in flight at a target.
    #[must_use]
    pub fn local_in_flight(&self, target: &TargetId) -> usize {
        self.local.get(target).map_or(0, |work| work.running.len())
    }

    /// Returns the numbers of queued and of placed requests.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.waiting.len(), self.placed.len())
    }

    /// Returns a placed request with its expected cost in engine-seconds.
    #[must_use]
    pub fn placed_cost(&self, number: JobNumber) -> Option<(&JobSpec, f64)> {
        let placed = self.placed.get(&number)?;
        Some((&placed.spec, self.expected_cost(&placed.spec)))
    }

    /// Returns the expected cost of a request in engine-seconds.
    #[must_use]
    pub fn expected_cost(&self, spec: &JobSpec) -> f64 {
        let output = self.expected_output(spec);
        self.costs
            .engine_seconds(unshared_tokens(&spec.need), output)
    }

    /// Applies the load reports that are newer than the known ones.
    fn apply_reports(&mut self, fleet: &SharedFleet) {
        if fleet.version == self.fleet.version {
            return;
        }
        self.queues
            .values_mut()
            .for_each(FairQueue::drop_idle_lanes);
        for (id, target) in &fleet.targets {
            let known = self.fleet.targets.get(id).and_then(|t| t.report.as_ref());
            let Some(report) = &target.report else {
                continue;
            };
            if known.is_none_or(|k| k.taken_at < report.taken_at) {
                let is_prefilling = report.prefill_backlog_tokens > 0;
                self.costs.observe_prefill_activity(id, is_prefilling);
                if let Some(local) = self.local.get_mut(id) {
                    // Requests that ended before the new report was taken are not counted in it.
                    local.ended.retain(|(_, ended)| *ended > report.taken_at);
                }
            }
        }
    }

    fn check_room(&self, spec: &JobSpec) -> Result<(), JobRefusal> {
        let queued: usize = self
            .queues
            .values()
            .map(|q| q.len_of(&spec.workspace))
            .sum();
        if queued >= self.limits.queue_per_workspace {
            return Err(self.refusal("the queue of the workspace is full".to_owned(), 1.0));
        }
        if self.waiting.len() >= self.limits.queue_length {
            return Err(self.refusal("the queue of the daemon is full".to_owned(), 1.0));
        }
        Ok(())
    }

    fn check_pool(&self, spec: &JobSpec) -> Result<(), JobRefusal> {
        if self.serves(&spec.need.pool) {
            return Ok(());
        }
        let reason = match &spec.need.pool {
            PoolKey::Model(model) => format!("no available engine has model {model} loaded"),
            PoolKey::Service(service) => format!("no instance of service {service} is available"),
        };
        Err(self.refusal(reason, 2.0))
    }

    fn check_deadline(
        &self,
        spec: &JobSpec,
        queued: &QueuedJob,
        now: MonoTime,
    ) -> Result<(), JobRefusal> {
        if self.policy.admission {
            return self.check_admission(spec, queued, now);
        }
        let wait_s = self.expected_wait(spec, now) * WAIT_MARGIN;
        let start_at = now.plus(Duration::from_secs_f64(wait_s));
        if start_at <= queued.latest_start {
            return Ok(());
        }
        let late_s = (millis(start_at.since(queued.latest_start))) as f64 / 1_000.0;
        let reason = format!(
            "the deadline cannot be met: after a wait of about {wait_s:.2} s, the request \
             would start {late_s:.2} s too late"
        );
        Err(self.refusal(reason, late_s))
    }

    // The queue serves urgent requests first and workspaces by weight, so the expected wait is
    // that of this request. The window follows this daemon's clock: the scheduler has no fleet
    // time, so the retry time holds for a return to the same daemon.
    fn check_admission(
        &self,
        spec: &JobSpec,
        queued: &QueuedJob,
        now: MonoTime,
    ) -> Result<(), JobRefusal> {
        let time_left = queued.latest_start.since(now);
        let terms = RequestTerms {
            rank: u8::try_from(spec.priority).unwrap_or(u8::MAX),
            workspace: None,
            objective_left: time_left,
            time_left,
            // The latest start leaves room for the work itself.
            work_ms: 0.0,
            phase: spec.phase,
        };
        let capacity = CapacityView {
            wait_ms: self.expected_wait(spec, now) * WAIT_MARGIN * 1_000.0,
            ..CapacityView::default()
        };
        let window = AdmissionWindow::new(UnixTime(now.0), ADMISSION_WINDOW_TIME);
        match admission::decide(&terms, &capacity, &window) {
            AdmissionDecision::Admit => Ok(()),
            AdmissionDecision::Refuse {
                reason,
                retry_after,
                expected_ms,
            } => {
                let text = format!(
                    "the deadline cannot be met ({}): the expected wait is {expected_ms:.0} ms, the time until the latest start {} ms; retry after the stated time",
                    reason.as_str(),
                    millis(time_left)
                );
                Err(self.refusal(text, retry_after.as_secs_f64()))
            }
        }
    }

    fn expected_wait(&self, spec: &JobSpec, now: MonoTime) -> f64 {
        let key = self.queue_key(&spec.need);
        let Some(queue) = self.queues.get(&key) else {
            return 0.0;
        };
        let before = queue.cost_before(&spec.workspace, spec.weight, spec.priority);
        before / self.service_rate(&key, now)
    }

    /// Returns the engine-seconds per second at which a queue is served: as observed
    /// while requests waited, otherwise the capacity of its targets.
    fn service_rate(&self, key: &QueueKey, now: MonoTime) -> f64 {
        let capacity = self.capacity(key);
        let observed = self.placement_rates.get(key).and_then(|p| p.rate(now));
        observed.map_or(capacity, |rate| {
            rate.clamp(capacity * MIN_RATE_SHARE, capacity)
        })
    }

    /// Returns the capacity of this daemon's share of the targets, in engine-seconds per
    /// second.
    fn capacity(&self, key: &QueueKey) -> f64 {
        let live = self.candidates(key).map_or(0, |side| side.live());
        let per_target = match &key.pool {
            PoolKey::Model(_) => 1.0,
            PoolKey::Service(_) => self.policy.service_in_flight as f64,
        };
        // Above 0, since costs are divided by it.
        (live as f64 * per_target / self.live_daemons as f64).max(0.05)
    }

    fn queued_job(&mut self, spec: &JobSpec) -> QueuedJob {
        self.next_number += 1;
        let service_s = self.min_service_seconds(spec);
        let service_ms = millis(Duration::from_secs_f64(service_s));
        QueuedJob {
            number: JobNumber(self.next_number),
            workspace: spec.workspace.clone(),
            weight: spec.weight,
            priority: spec.priority,
            latest_start: MonoTime(spec.deadline.0.saturating_sub(service_ms)),
            cost: self.expected_cost(spec),
        }
    }

    /// Returns the seconds that a request takes on an idle engine of the fastest role in
    /// use.
    fn min_service_seconds(&self, spec: &JobSpec) -> f64 {
        if matches!(spec.need.pool, PoolKey::Service(_)) {
            return 0.0;
        }
        let output = self.expected_output(spec);
        let unknown_target = TargetId::from("");
        let prefill_tokens = unshared_tokens(&spec.need);
        let times = self.roles_in_use(&spec.need.pool).into_iter().map(|role| {
            self.costs
                .prefill_seconds(&unknown_target, role, prefill_tokens)
                + output * self.costs.token_gap_seconds(&unknown_target, role, 0.0)
        });
        times.fold(f64::INFINITY, f64::min)
    }

    fn roles_in_use(&self, pool: &PoolKey) -> Vec<EngineRole> {
        let mut roles: Vec<EngineRole> = self.index.roles(pool).collect();
        roles.push(EngineRole::Mixed);
        roles.sort_unstable();
        roles.dedup();
        roles
    }

    fn expected_output(&self, spec: &JobSpec) -> f64 {
        self.costs
            .expected_output(&spec.workspace, &spec.class, spec.max_output_tokens)
    }

    fn refuse_overdue(&mut self, now: MonoTime) -> Vec<ScheduleAction> {
        let overdue: Vec<QueuedJob> = self
            .queues
            .values()
            .flat_map(|q| q.overdue(now))
            .filter(|job| self.policy.refuse_early || self.deadline_passed(job.number, now))
            .collect();
        let mut actions = Vec::with_capacity(overdue.len());
        for job in overdue {
            self.cancel(job.number);
            let reason = "no target became available in time to meet the deadline".to_owned();
            let refusal = self.refusal(reason, 1.0);
            actions.push(ScheduleAction::Refuse(job.number, refusal));
        }
        actions
    }

    fn deadline_passed(&self, number: JobNumber, now: MonoTime) -> bool {
        self.waiting
            .get(&number)
            .is_some_and(|w| w.spec.deadline < now)
    }

    fn place_next(&mut self, key: &QueueKey, now: MonoTime) -> Option<JobGrant> {
        let share = self.prefill_share(&key.pool);
        let turns = self.turns.offers(&self.fleet, now);
        let inputs = PlacementInputs {
            fleet: &self.fleet,
            candidates: self.index.side(&key.pool, key.side, share)?,
            costs: &self.costs,
            prefixes: &self.prefixes,
            local: &self.local,
            policy: &self.policy,
            turns: &turns,
            live_daemons: self.live_daemons,
            now,
        };
        let queue = self.queues.get_mut(key)?;
        let (waiting, cursor, rng) = (&self.waiting, &mut self.cursor, &mut self.rng);
        let mut choice = None;
        let job = queue.take_first(LOOK_AHEAD, |job| {
            let spec = &waiting[&job.number].spec;
            choice = choose_target(&spec.need, &inputs, cursor, rng);
            choice.is_some()
        })?;
        self.placement_rates
            .entry(key.clone())
            .or_default()
            .add(job.cost, now);
        Some(self.place(&job, choice?, now))
    }

    fn place(&mut self, job: &QueuedJob, choice: TargetChoice, now: MonoTime) -> JobGrant {
        self.turns.take(&self.fleet, &choice.target, now);
        let state = self.fleet.targets.get(&choice.target).map(|t| t.state);
        invariants::check(state == Some(UseState::Live), Invariant::NoLateWork, || {
            format!("request placed on {} in state {state:?}", choice.target)
        });
        let number = job.number;
        if let Some(waiting) = self.waiting.swap_remove(&number) {
            let need = &waiting.spec.need;
            let running = RunningJob {
                number,
                placed_at: now,
                prefill_tokens: need.prompt_tokens,
            };
            let local = self.local.entry(choice.target.clone()).or_default();
            local.running.push(running);
            self.prefixes.record_cached(
                &need.shared_prefix,
                &choice.target,
                need.shared_prefix_tokens,
            );
            let spec = waiting.spec;
            let placed = PlacedJob {
                spec,
                choice: choice.clone(),
                placed_at: now,
            };
            self.placed.insert(number, placed);
        }
        JobGrant { number, choice }
    }

    // Refuses a request that would wait beyond its deadline until a target of its pool accepts
    // requests again.
    fn check_backoffs(&self, spec: &JobSpec, now: MonoTime) -> Result<(), JobRefusal> {
        if !self.turns.has_backoffs() {
            return Ok(());
        }
        let targets = self.live_targets(&self.queue_key(&spec.need));
        let wait = self.turns.backoff_retry_after(&targets, now);
        let Some(wait) = wait.filter(|wait| *wait > spec.deadline.since(now)) else {
            return Ok(());
        };
        metrics::counter!("pistachiowick_backoff_refusals_total").increment(1);
        let reason = "all targets refuse requests for a time".to_owned();
        Err(self.refusal(reason, wait.as_secs_f64()))
    }

    // Refuses a request that would wait for a turn beyond its deadline, as all targets of its
    // pool limit the rate of their requests.
    fn check_turns(&self, spec: &JobSpec, now: MonoTime) -> Result<(), JobRefusal> {
        if !self.turns.has_limits() {
            return Ok(());
        }
        let key = self.queue_key(&spec.need);
        let targets = self.live_targets(&key);
        let ahead = self.queues.get(&key).map_or(0, FairQueue::len);
        let wait = self.turns.expected_wait(&self.fleet, &targets, ahead);
        if wait.is_none_or(|wait| wait <= spec.deadline.since(now)) {
            return Ok(());
        }
        metrics::counter!("pistachiowick_limit_refusals_total").increment(1);
        let retry_after = self.turns.retry_after(&self.fleet, &targets, now);
        let reason = "all targets limit the rate of their requests".to_owned();
        Err(self.refusal(reason, retry_after.as_secs_f64()))
    }

    fn live_targets(&self, key: &QueueKey) -> Vec<TargetIncarnation> {
        let side = self.candidates(key);
        let names = side.iter().flat_map(CandidateSide::iter);
        let targets = names.filter_map(|name| self.fleet.targets.get(name));
        let live = targets.filter(|target| target.state == UseState::Live);
        live.map(TargetView::incarnation).collect()
    }

    fn take_placed(&mut self, number: JobNumber) -> Option<PlacedJob> {
        let placed = self.placed.swap_remove(&number)?;
        if let Some(local) = self.local.get_mut(&placed.choice.target) {
            local.running.retain(|job| job.number != number);
        }
        Some(placed)
    }

    fn learn(&mut self, placed: &PlacedJob, measurement: JobMeasurement) {
        let (spec, choice) = (&placed.spec, &placed.choice);
        if let Some(tokens) = measurement.complete_answer_tokens {
            self.costs
                .observe_output(&spec.workspace, &spec.class, tokens, spec.max_output_tokens);
        }
        if let Some(actual) = measurement.first_token_s {
            self.costs
                .observe_prefill(&choice.target, choice.first_token_s, actual);
        }
        if let Some(actual) = measurement.token_gap_s {
            self.costs
                .observe_token_gap(&choice.target, choice.token_gap_s, actual);
        }
    }

    fn queue_of(&mut self, need: &PlacementNeed) -> &mut FairQueue {
        let fair = self.policy.fair_shares;
        let key = self.queue_key(need);
        self.queues
            .entry(key)
            .or_insert_with(|| FairQueue::new(FAIR_QUANTUM_S, fair))
    }

    fn queue_key(&self, need: &PlacementNeed) -> QueueKey {
        let step_s = self.costs.prefill_step_seconds();
        let prefill_s = self.costs.engine_seconds(unshared_tokens(need), 0.0);
        let is_long = prefill_s > LONG_PROMPT_STEPS * step_s;
        let side = if is_long && self.splits_pools() {
            PoolSide::Prefill
        } else {
            PoolSide::Decode
        };
        QueueKey {
            pool: need.pool.clone(),
            side,
        }
    }

    fn splits_pools(&self) -> bool {
        self.policy.placement == PlacementPolicy::Estimate
    }

    fn record_mix(&mut self, spec: &JobSpec, cost: f64, now: MonoTime) {
        let side = self.queue_key(&spec.need).side;
        let mix = self.mixes.entry(spec.need.pool.clone()).or_default();
        mix.add(side, cost, now);
    }

    fn prefill_share(&self, pool: &PoolKey) -> f64 {
        let all_targets = self.index.side(pool, PoolSide::Decode, 0.0);
        let targets = all_targets.map_or(0, |side| side.len());
        let mix = self.mixes.get(pool);
        mix.map_or(0.0, |mix| mix.prefill_part(targets, self.live_daemons))
    }

    fn candidates(&self, key: &QueueKey) -> Option<CandidateSide<'_>> {
        let share = self.prefill_share(&key.pool);
        self.index.side(&key.pool, key.side, share)
    }

    fn refusal(&self, reason: String, retry_after_s: f64) -> JobRefusal {
        let retry_after = Duration::from_secs_f64(retry_after_s.max(0.0));
        JobRefusal {
            reason,
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }
}

/// Returns the prompt tokens to prefill if the shared part is cached, as it usually is.
///
/// If the shared part counted in full, a long part in common use would make each request
/// look several times as costly, and requests that can meet their deadline would be
/// refused.
fn unshared_tokens(need: &PlacementNeed) -> f64 {
    (need.prompt_tokens - f64::from(need.shared_prefix_tokens)).max(0.0)
}
