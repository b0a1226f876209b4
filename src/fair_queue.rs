//! Waiting requests of one pool of targets: fair between workspaces, urgent first within.
//!
//! Each workspace has a virtual time that advances by cost over weight as its work
//! is placed. Workspaces within one quantum of the furthest behind compete by
//! priority and slack; the others wait. So urgency decides in the short term and
//! the shares decide over a few quanta.

use indexmap::IndexMap;

use crate::names::{MonoTime, WorkspaceName};

/// Least weight of a workspace, so that none is starved.
const LEAST_WEIGHT: f64 = 0.01;

/// Identifies a waiting or running request within one daemon.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobNumber(pub u64);

/// What the queue knows of a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedJob {
    /// The request.
    pub number: JobNumber,
    /// Workspace that waits.
    pub workspace: WorkspaceName,
    /// Share of the workspace, corrected by what it got across the fleet.
    pub weight: f64,
    /// Urgency; 0 is the most urgent.
    pub priority: u32,
    /// Latest start that still meets the deadline.
    pub latest_start: MonoTime,
    /// Expected engine-seconds.
    pub cost: f64,
}

type JobRank = (u32, MonoTime, JobNumber);

#[derive(Clone, Debug, Default)]
struct WorkspaceLane {
    weight: f64,
    virtual_time: f64,
    queued_cost: f64,
    jobs: std::collections::BTreeMap<JobRank, QueuedJob>,
}

/// Waiting requests of one pool.
#[derive(Clone, Debug)]
pub struct FairQueue {
    lanes: IndexMap<WorkspaceName, WorkspaceLane>,
    quantum: f64,
    fair: bool,
    length: usize,
    floor: f64,
}

impl FairQueue {
    /// Creates an empty queue. `quantum` is in engine-seconds per unit of weight;
    /// with `fair` false all workspaces are served as one.
    #[must_use]
    pub fn new(quantum: f64, fair: bool) -> Self {
        Self {
            lanes: IndexMap::new(),
            quantum,
            fair,
            length: 0,
            floor: 0.0,
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Tells whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the number of waiting requests of one workspace.
    #[must_use]
    pub fn len_of(&self, workspace: &WorkspaceName) -> usize {
        self.lanes.get(workspace).map_or(0, |l| l.jobs.len())
    }

    /// Adds a request.
    pub fn push(&mut self, job: QueuedJob) {
        let floor = self.floor;
        let lane = self.lanes.entry(job.workspace.clone()).or_default();
        lane.weight = job.weight.max(LEAST_WEIGHT);
        if lane.jobs.is_empty() {
            // A workspace that was idle must not spend the time it saved up all at
            // once: the others would starve until it had caught up.
            lane.virtual_time = lane.virtual_time.max(floor);
        }
        lane.queued_cost += job.cost;
        lane.jobs
            .insert((job.priority, job.latest_start, job.number), job);
        self.length += 1;
    }

    /// Removes a request that no longer waits for a target.
    pub fn remove(&mut self, job: &QueuedJob) -> bool {
        let Some(lane) = self.lanes.get_mut(&job.workspace) else {
            return false;
        };
        let rank = (job.priority, job.latest_start, job.number);
        let Some(found) = lane.jobs.remove(&rank) else {
            return false;
        };
        lane.queued_cost = (lane.queued_cost - found.cost).max(0.0);
        self.length -= 1;
        true
    }

    /// Charges a workspace for work placed here or, by report, elsewhere.
    pub fn charge(&mut self, workspace: &WorkspaceName, weight: f64, cost: f64) {
        let floor = self.floor;
        let lane = self.lanes.entry(workspace.clone()).or_default();
        lane.weight = weight.max(LEAST_WEIGHT);
        lane.virtual_time = lane.virtual_time.max(floor) + cost / lane.weight;
        self.advance_floor();
    }

    /// Offers the waiting requests in their order of service until `place` takes
    /// one; looks at no more than `most`. The one taken leaves the queue, charged.
    pub fn take_first(
        &mut self,
        most: usize,
        mut place: impl FnMut(&QueuedJob) -> bool,
    ) -> Option<QueuedJob> {
        let order = self.service_order(most);
        let job = order.into_iter().find(|job| place(job))?;
        self.remove(&job);
        self.charge(&job.workspace, job.weight, job.cost);
        Some(job)
    }

    /// Returns the engine-seconds that would be served before a new request.
    ///
    /// Under fair shares that is the cost of the workspace's own more urgent work,
    /// stretched by the competition, or everything that waits if that is less.
    #[must_use]
    pub fn cost_before(&self, workspace: &WorkspaceName, weight: f64, rank_priority: u32) -> f64 {
        let total: f64 = self.lanes.values().map(|l| l.queued_cost).sum();
        if !self.fair {
            return total;
        }
        let own: f64 = self
            .lanes
            .get(workspace)
            .map_or(0.0, |l| cost_up_to(l, rank_priority));
        let weight = weight.max(LEAST_WEIGHT);
        let rivals: f64 = self
            .lanes
            .iter()
            .filter(|(name, lane)| *name != workspace && !lane.jobs.is_empty())
            .map(|(_, lane)| lane.weight)
            .sum();
        (own * (weight + rivals) / weight).min(total)
    }

    /// Drops lanes that have been idle and hold no debt.
    pub fn drop_idle_lanes(&mut self) {
        let floor = self.floor;
        self.lanes
            .retain(|_, lane| !lane.jobs.is_empty() || lane.virtual_time > floor);
    }

    /// Returns the requests whose latest start has passed.
    #[must_use]
    pub fn overdue(&self, now: MonoTime) -> Vec<QueuedJob> {
        let jobs = self.lanes.values().flat_map(|l| l.jobs.values());
        jobs.filter(|job| job.latest_start < now).cloned().collect()
    }

    fn service_order(&self, most: usize) -> Vec<QueuedJob> {
        let floor = self.busy_floor();
        let mut heads: Vec<(bool, f64, JobRank, &QueuedJob)> = Vec::new();
        for lane in self.lanes.values() {
            let late = self.fair && lane.virtual_time > floor + self.quantum;
            let order = if late { lane.virtual_time } else { 0.0 };
            let first = lane.jobs.iter().take(most);
            heads.extend(first.map(|(rank, job)| (late, order, *rank, job)));
        }
        heads.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        let first = heads.into_iter().take(most);
        first.map(|(_, _, _, job)| job.clone()).collect()
    }

    fn busy_floor(&self) -> f64 {
        let busy = self.lanes.values().filter(|l| !l.jobs.is_empty());
        busy.map(|l| l.virtual_time).fold(f64::INFINITY, f64::min)
    }

    fn advance_floor(&mut self) {
        let floor = self.busy_floor();
        if floor.is_finite() {
            self.floor = self.floor.max(floor);
        }
    }
}

fn cost_up_to(lane: &WorkspaceLane, priority: u32) -> f64 {
    let ahead = lane.jobs.values().filter(|j| j.priority <= priority);
    ahead.map(|j| j.cost).sum()
}
