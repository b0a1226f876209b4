//! Queue of the requests for one pool of targets: weighted fair queueing between
//! workspaces, most urgent request first within a workspace.
//!
//! Each workspace has a lane: its queued requests, and a virtual time that advances by
//! cost divided by weight as requests are placed. Workspaces within one quantum of the
//! lowest virtual time compete by priority and latest start; the others wait. So urgency
//! decides in the short term, and the shares decide over a few quanta.
//!
//! No operation iterates over all workspaces or all requests: lanes with requests are
//! ordered by virtual time, and those that compete also by their first request.

use std::cmp::Ordering;
use std::collections::btree_map::{BTreeMap, Iter};
use std::iter::Peekable;
use std::ops::Bound;

use indexmap::IndexMap;

use crate::names::{MonoTime, WorkspaceName};

/// Minimum weight of a workspace, so that none is starved.
const MIN_WEIGHT: f64 = 0.01;

/// Identifies a queued or running request within one daemon.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobNumber(pub u64);

/// A request as the queue sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedJob {
    /// The request.
    pub number: JobNumber,
    /// Workspace it belongs to.
    pub workspace: WorkspaceName,
    /// Weight of the workspace, corrected by its use across the fleet.
    pub weight: f64,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Latest start that still meets the deadline.
    pub latest_start: MonoTime,
    /// Expected engine-seconds.
    pub cost: f64,
}

type JobRank = (u32, MonoTime, JobNumber);

/// Rank after that of every request.
const LAST_RANK: JobRank = (u32::MAX, MonoTime(u64::MAX), JobNumber(u64::MAX));

/// Virtual time of a lane, with a total order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct VirtualTime(f64);

impl Eq for VirtualTime {}

impl Ord for VirtualTime {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for VirtualTime {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Clone, Debug, Default)]
struct WorkspaceLane {
    weight: f64,
    virtual_time: VirtualTime,
    jobs: BTreeMap<JobRank, QueuedJob>,
}

impl WorkspaceLane {
    fn first_rank(&self) -> Option<JobRank> {
        self.jobs.first_key_value().map(|(rank, _)| *rank)
    }
}

/// Queued requests of one pool.
#[derive(Clone, Debug)]
pub struct FairQueue {
    lanes: IndexMap<WorkspaceName, WorkspaceLane>,
    /// Lanes with requests, by virtual time and then by their first request.
    by_time: BTreeMap<(VirtualTime, JobRank), WorkspaceName>,
    /// Lanes within one quantum of the lowest virtual time, by their first request.
    competing: BTreeMap<JobRank, WorkspaceName>,
    /// Virtual time up to which lanes compete.
    limit: VirtualTime,
    /// Requests by latest start.
    by_start: BTreeMap<(MonoTime, JobNumber), QueuedJob>,
    /// Total cost of the queued requests.
    queued_cost: f64,
    /// Total weight of the lanes with requests.
    busy_weight: f64,
    quantum: f64,
    fair: bool,
    /// Highest value so far of the lowest virtual time. Idle lanes start again from it.
    floor: f64,
}

impl FairQueue {
    /// Creates an empty queue. `quantum` is in engine-seconds per unit of weight;
    /// if `fair` is false, all workspaces are served as one.
    #[must_use]
    pub fn new(quantum: f64, fair: bool) -> Self {
        Self {
            lanes: IndexMap::new(),
            by_time: BTreeMap::new(),
            competing: BTreeMap::new(),
            limit: VirtualTime(f64::INFINITY),
            by_start: BTreeMap::new(),
            queued_cost: 0.0,
            busy_weight: 0.0,
            quantum,
            fair,
            floor: 0.0,
        }
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_start.len()
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }

    /// Returns the number of queued requests of one workspace.
    #[must_use]
    pub fn len_of(&self, workspace: &WorkspaceName) -> usize {
        self.lanes.get(workspace).map_or(0, |l| l.jobs.len())
    }

    /// Adds a request.
    pub fn push(&mut self, job: QueuedJob) {
        let workspace = job.workspace.clone();
        self.unindex_lane(&workspace);
        let floor = self.floor;
        let lane = self.lanes.entry(workspace.clone()).or_default();
        lane.weight = job.weight.max(MIN_WEIGHT);
        if lane.jobs.is_empty() {
            // A workspace that was idle gets no credit for that time: the others would
            // starve until it had caught up.
            lane.virtual_time.0 = lane.virtual_time.0.max(floor);
        }
        self.queued_cost += job.cost;
        self.by_start
            .insert((job.latest_start, job.number), job.clone());
        lane.jobs.insert(rank_of(&job), job);
        self.index_lane(&workspace);
        self.update_limit();
    }

    /// Removes a request; returns whether it was queued.
    pub fn remove(&mut self, job: &QueuedJob) -> bool {
        self.unindex_lane(&job.workspace);
        let removed = self.remove_job(job);
        self.index_lane(&job.workspace);
        self.update_limit();
        removed
    }

    /// Charges a workspace for work placed by this daemon or reported by others.
    pub fn charge(&mut self, workspace: &WorkspaceName, weight: f64, cost: f64) {
        self.unindex_lane(workspace);
        let floor = self.floor;
        let lane = self.lanes.entry(workspace.clone()).or_default();
        lane.weight = weight.max(MIN_WEIGHT);
        lane.virtual_time.0 = lane.virtual_time.0.max(floor) + cost / lane.weight;
        self.index_lane(workspace);
        self.update_limit();
        self.advance_floor();
    }

    /// Offers the first `max_jobs` requests in service order to `accept` until it accepts
    /// one, then removes that request and charges its workspace.
    pub fn take_first(
        &mut self,
        max_jobs: usize,
        accept: impl FnMut(&QueuedJob) -> bool,
    ) -> Option<QueuedJob> {
        let job = self.first_accepted(max_jobs, accept)?.clone();
        self.unindex_lane(&job.workspace);
        self.remove_job(&job);
        self.charge(&job.workspace, job.weight, job.cost);
        Some(job)
    }

    /// Returns the engine-seconds that would be served before a new request.
    ///
    /// Under fair shares that is the cost of the workspace's own requests of the same or
    /// a more urgent priority, scaled up by the weights of the other busy workspaces, but
    /// at most the cost of the whole queue.
    #[must_use]
    pub fn cost_before(&self, workspace: &WorkspaceName, weight: f64, priority: u32) -> f64 {
        if !self.fair {
            return self.queued_cost;
        }
        let lane = self.lanes.get(workspace).filter(|l| !l.jobs.is_empty());
        let own_cost = lane.map_or(0.0, |l| cost_up_to(l, priority));
        let other_weight = self.busy_weight - lane.map_or(0.0, |l| l.weight);
        let weight = weight.max(MIN_WEIGHT);
        (own_cost * (weight + other_weight) / weight).min(self.queued_cost)
    }

    /// Drops empty lanes whose virtual time is not ahead of the floor.
    pub fn drop_idle_lanes(&mut self) {
        let floor = self.floor;
        self.lanes
            .retain(|_, lane| !lane.jobs.is_empty() || lane.virtual_time.0 > floor);
    }

    /// Returns the requests whose latest start has passed.
    #[must_use]
    pub fn overdue(&self, now: MonoTime) -> Vec<QueuedJob> {
        let overdue = self.by_start.range(..(now, JobNumber(0)));
        overdue.map(|(_, job)| job.clone()).collect()
    }

    fn first_accepted(
        &self,
        max_jobs: usize,
        mut accept: impl FnMut(&QueuedJob) -> bool,
    ) -> Option<&QueuedJob> {
        let mut order = self.service_order(max_jobs);
        order.find(|job| accept(job))
    }

    /// Returns the first `max_jobs` requests in service order.
    fn service_order(&self, max_jobs: usize) -> impl Iterator<Item = &QueuedJob> {
        // Leaves out lanes behind the first requests of `max_jobs` other lanes.
        let names = self.competing.values().take(max_jobs);
        let lanes = names.map(|name| self.lanes[name].jobs.iter().peekable());
        let competing = merge_by_rank(lanes.collect());
        let after_limit = (self.limit, LAST_RANK);
        let not_competing = self
            .by_time
            .range((Bound::Excluded(after_limit), Bound::Unbounded));
        let not_competing =
            not_competing.flat_map(move |(_, name)| self.lanes[name].jobs.values().take(max_jobs));
        competing.chain(not_competing).take(max_jobs)
    }

    fn remove_job(&mut self, job: &QueuedJob) -> bool {
        let Some(lane) = self.lanes.get_mut(&job.workspace) else {
            return false;
        };
        let Some(found) = lane.jobs.remove(&rank_of(job)) else {
            return false;
        };
        self.by_start.remove(&(found.latest_start, found.number));
        self.queued_cost -= found.cost;
        if self.by_start.is_empty() {
            // Removes the rounding error of the sum.
            self.queued_cost = 0.0;
        }
        true
    }

    /// Removes a lane from the sorted indexes, so that its fields may be changed.
    fn unindex_lane(&mut self, workspace: &WorkspaceName) {
        let Some(lane) = self.lanes.get(workspace) else {
            return;
        };
        let Some(rank) = lane.first_rank() else {
            return;
        };
        if self.by_time.remove(&(lane.virtual_time, rank)).is_some() {
            self.busy_weight -= lane.weight;
            self.competing.remove(&rank);
        }
        if self.by_time.is_empty() {
            // Removes the rounding error of the sum.
            self.busy_weight = 0.0;
        }
    }

    /// Adds a lane with requests to the sorted indexes again.
    fn index_lane(&mut self, workspace: &WorkspaceName) {
        let Some(lane) = self.lanes.get(workspace) else {
            return;
        };
        let Some(rank) = lane.first_rank() else {
            return;
        };
        self.busy_weight += lane.weight;
        self.by_time
            .insert((lane.virtual_time, rank), workspace.clone());
        if lane.virtual_time <= self.limit {
            self.competing.insert(rank, workspace.clone());
        }
    }

    /// Updates the set of competing lanes: those within a quantum of the lowest virtual
    /// time.
    fn update_limit(&mut self) {
        let Some(floor) = self.min_virtual_time().filter(|_| self.fair) else {
            return;
        };
        let (old, new) = (self.limit, VirtualTime(floor + self.quantum));
        self.limit = new;
        let after_limit = |limit| Bound::Excluded((limit, LAST_RANK));
        let up_to = |limit| Bound::Included((limit, LAST_RANK));
        if old < new {
            let moved = self.by_time.range((after_limit(old), up_to(new)));
            let moved = moved.map(|((_, rank), name)| (*rank, name.clone()));
            self.competing.extend(moved);
        } else if new < old {
            for ((_, rank), _) in self.by_time.range((after_limit(new), up_to(old))) {
                self.competing.remove(rank);
            }
        }
    }

    fn min_virtual_time(&self) -> Option<f64> {
        let first = self.by_time.first_key_value();
        first.map(|((virtual_time, _), _)| virtual_time.0)
    }

    fn advance_floor(&mut self) {
        if let Some(floor) = self.min_virtual_time() {
            self.floor = self.floor.max(floor);
        }
    }
}

fn rank_of(job: &QueuedJob) -> JobRank {
    (job.priority, job.latest_start, job.number)
}

/// Merges the requests of several lanes, most urgent first.
fn merge_by_rank<'a>(
    mut lanes: Vec<Peekable<Iter<'a, JobRank, QueuedJob>>>,
) -> impl Iterator<Item = &'a QueuedJob> {
    std::iter::from_fn(move || {
        let heads = lanes.iter_mut().enumerate();
        let ranks = heads.filter_map(|(at, lane)| Some((*lane.peek()?.0, at)));
        let (_, first) = ranks.min()?;
        lanes[first].next().map(|(_, job)| job)
    })
}

fn cost_up_to(lane: &WorkspaceLane, priority: u32) -> f64 {
    let last = (priority, LAST_RANK.1, LAST_RANK.2);
    lane.jobs.range(..=last).map(|(_, job)| job.cost).sum()
}
