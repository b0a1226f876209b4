//! Fair queue: shares by weight, urgency within a quantum, no credit for idle time.

use indexmap::IndexMap;
use pistachiowick::decide::fair_queue::{FairQueue, JobNumber, QueuedJob};
use pistachiowick::names::{MonoTime, WorkspaceName};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

const QUANTUM: f64 = 1.0;
const LOOK_AHEAD: usize = 16;

fn job(number: u64, workspace: &str, weight: f64, cost: f64) -> QueuedJob {
    QueuedJob {
        number: JobNumber(number),
        workspace: workspace.into(),
        weight,
        priority: 1,
        latest_start: MonoTime(10_000),
        cost,
    }
}

fn take(queue: &mut FairQueue) -> Option<QueuedJob> {
    queue.take_first(LOOK_AHEAD, |_| true)
}

/// Takes `rounds` requests from the queue; returns the cost served per workspace.
fn serve(queue: &mut FairQueue, rounds: usize) -> IndexMap<WorkspaceName, f64> {
    let mut served = IndexMap::new();
    for _ in 0..rounds {
        let taken = take(queue).expect("work is left");
        *served.entry(taken.workspace).or_default() += taken.cost;
    }
    served
}

struct ShareCase {
    weights: &'static [f64],
    costs: &'static [f64],
}

// Workspaces that always have requests queued are served in proportion to their weights,
// measured in cost, not in number of requests.
#[rstest]
#[case::equal(ShareCase { weights: &[1.0, 1.0], costs: &[0.1, 0.1] })]
#[case::weighted(ShareCase { weights: &[3.0, 1.0], costs: &[0.1, 0.1] })]
#[case::costly_requests(ShareCase { weights: &[1.0, 1.0], costs: &[0.05, 0.5] })]
#[case::three_workspaces(ShareCase { weights: &[1.0, 2.0, 5.0], costs: &[0.2, 0.1, 0.3] })]
fn busy_workspaces_share_by_weight(#[case] case: ShareCase) {
    let mut queue = FairQueue::new(QUANTUM, true);
    let mut number = 0;
    for (position, (weight, cost)) in case.weights.iter().zip(case.costs).enumerate() {
        for _ in 0..4_000 {
            number += 1;
            queue.push(job(number, &format!("w{position}"), *weight, *cost));
        }
    }
    let served = serve(&mut queue, 2_000);
    let total: f64 = served.values().sum();
    let weights: f64 = case.weights.iter().sum();
    for (position, weight) in case.weights.iter().enumerate() {
        let share = served[&WorkspaceName::from(format!("w{position}"))] / total;
        let fair_share = *weight / weights;
        let slack = (QUANTUM * *weight + case.costs[position]) * 2.0 / total;
        assert!(
            (share - fair_share).abs() <= slack,
            "w{position} got a share of {share:.3} instead of {fair_share:.3}"
        );
    }
}

struct UrgencyCase {
    charged: f64,
    urgent_first: bool,
}

// An urgent request is served first while the virtual time of its workspace is within a
// quantum of the lowest one, and waits beyond that.
#[rstest]
#[case::equal(UrgencyCase { charged: 0.0, urgent_first: true })]
#[case::within_quantum(UrgencyCase { charged: 0.9, urgent_first: true })]
#[case::beyond_quantum(UrgencyCase { charged: 1.1, urgent_first: false })]
fn urgency_decides_within_a_quantum(#[case] case: UrgencyCase) {
    let mut queue = FairQueue::new(QUANTUM, true);
    queue.push(job(1, "patient", 1.0, 0.1));
    let urgent = QueuedJob {
        priority: 0,
        ..job(2, "hasty", 1.0, 0.1)
    };
    queue.push(urgent);
    queue.charge(&"hasty".into(), 1.0, case.charged);
    let first = take(&mut queue).expect("two requests wait");
    assert_eq!(first.number == JobNumber(2), case.urgent_first);
}

// Within one workspace requests are served by priority, then by latest start, then in
// order of arrival.
#[rstest]
#[case::by_priority((1, 10), (0, 99), false)]
#[case::by_slack((1, 20), (1, 10), false)]
#[case::by_arrival((1, 10), (1, 10), true)]
fn requests_of_a_workspace_are_served_by_urgency(
    #[case] first: (u32, u64),
    #[case] second: (u32, u64),
    #[case] first_wins: bool,
) {
    let mut queue = FairQueue::new(QUANTUM, true);
    for (number, (priority, start)) in [(1, first), (2, second)] {
        queue.push(QueuedJob {
            priority,
            latest_start: MonoTime(start),
            ..job(number, "w", 1.0, 0.1)
        });
    }
    let taken = take(&mut queue).expect("two requests wait");
    assert_eq!(taken.number == JobNumber(1), first_wins);
}

// One workspace has requests for a long time while another is idle. When the other
// becomes active again, it must not be served exclusively to make up for its idle time.
#[test]
fn idle_workspace_gets_no_credit() {
    let mut queue = FairQueue::new(QUANTUM, true);
    for number in 0..1_000 {
        queue.push(job(number, "steady", 1.0, 0.1));
    }
    serve(&mut queue, 500);
    for number in 1_000..2_000 {
        queue.push(job(number, "returning", 1.0, 0.1));
    }
    let served = serve(&mut queue, 200);
    let steady = served.get(&WorkspaceName::from("steady"));
    assert!(steady.is_some_and(|cost| *cost >= 9.0), "{served:?}");
}

// Work that other daemons placed for a workspace counts against its share here.
#[test]
fn work_elsewhere_is_charged() {
    let mut queue = FairQueue::new(QUANTUM, true);
    for number in 0..100 {
        queue.push(job(number * 2, "here", 1.0, 0.1));
        queue.push(job(number * 2 + 1, "elsewhere", 1.0, 0.1));
    }
    queue.charge(&"elsewhere".into(), 1.0, 6.0);
    let served = serve(&mut queue, 50);
    let here = served[&WorkspaceName::from("here")];
    assert!(here >= 4.9, "{served:?}");
}

#[test]
fn queue_without_shares_serves_by_urgency_only() {
    let mut queue = FairQueue::new(QUANTUM, false);
    for number in 0..20 {
        queue.push(job(number, if number < 15 { "a" } else { "b" }, 1.0, 1.0));
    }
    for number in 0..20 {
        assert_eq!(take(&mut queue).map(|j| j.number), Some(JobNumber(number)));
    }
    assert_eq!(take(&mut queue), None);
}

// No target accepts the first requests of the queue, but a later one can be placed. The
// queue offers that one only if it is within the look-ahead.
#[rstest]
#[case::within_look_ahead(15, true)]
#[case::beyond_look_ahead(16, false)]
fn look_ahead_is_bounded(#[case] position: u64, #[case] found: bool) {
    let mut queue = FairQueue::new(QUANTUM, true);
    for number in 0..40 {
        queue.push(job(number, "w", 1.0, 0.1));
    }
    let mut offered = 0;
    let taken = queue.take_first(LOOK_AHEAD, |job| {
        offered += 1;
        job.number == JobNumber(position)
    });
    assert_eq!(taken.is_some(), found);
    assert!(offered <= LOOK_AHEAD);
    assert_eq!(queue.len(), if found { 39 } else { 40 });
}

#[test]
fn counts_and_costs_return_to_zero() {
    let mut queue = FairQueue::new(QUANTUM, true);
    let jobs: Vec<QueuedJob> = (0..9)
        .map(|n| job(n, &format!("w{}", n % 3), 1.0, 0.3))
        .collect();
    for job in &jobs {
        queue.push(job.clone());
    }
    assert_eq!(queue.len_of(&"w1".into()), 3);
    assert_eq!(queue.overdue(MonoTime(10_000)).len(), 0);
    assert_eq!(queue.overdue(MonoTime(10_001)).len(), 9);
    for job in &jobs {
        assert!(queue.remove(job));
        assert!(!queue.remove(job), "{job:?} was removed twice");
    }
    assert!(queue.is_empty());
    assert!(queue.overdue(MonoTime(u64::MAX)).is_empty());
    assert!(queue.cost_before(&"w1".into(), 1.0, 9) < 1e-9);
}

struct WaitCase {
    own: &'static [u32],
    others: usize,
    priority: u32,
    expected: f64,
}

// The cost served before a new request: that of its workspace's requests of the same or
// a more urgent priority, scaled up by the weights of the other busy workspaces, at
// most the cost of the whole queue.
#[rstest]
#[case::no_own_requests(WaitCase { own: &[], others: 3, priority: 1, expected: 0.0 })]
#[case::own_requests_only(WaitCase { own: &[1, 1], others: 0, priority: 1, expected: 2.0 })]
#[case::own_less_urgent(WaitCase { own: &[2, 2], others: 0, priority: 1, expected: 0.0 })]
#[case::scaled_by_weights(WaitCase { own: &[1], others: 1, priority: 1, expected: 2.0 })]
#[case::capped_at_total(WaitCase { own: &[1, 1], others: 1, priority: 1, expected: 3.0 })]
fn cost_before_a_new_request(#[case] case: WaitCase) {
    let mut queue = FairQueue::new(QUANTUM, true);
    let mut number = 0;
    for priority in case.own {
        number += 1;
        queue.push(QueuedJob {
            priority: *priority,
            ..job(number, "own", 1.0, 1.0)
        });
    }
    for other in 0..case.others {
        number += 1;
        queue.push(job(number, &format!("other-{other}"), 1.0, 1.0));
    }
    let before = queue.cost_before(&"own".into(), 1.0, case.priority);
    assert!((before - case.expected).abs() < 1e-9, "{before}");
}

/// Reference implementation that scans all requests for each operation.
#[derive(Default)]
struct ReferenceQueue {
    times: IndexMap<WorkspaceName, (f64, f64)>,
    jobs: Vec<QueuedJob>,
    floor: f64,
}

impl ReferenceQueue {
    fn push(&mut self, job: QueuedJob) {
        let busy = self.jobs.iter().any(|j| j.workspace == job.workspace);
        let (weight, time) = self.times.entry(job.workspace.clone()).or_default();
        *weight = job.weight;
        if !busy {
            *time = time.max(self.floor);
        }
        self.jobs.push(job);
    }

    fn remove(&mut self, number: JobNumber) -> Option<QueuedJob> {
        let at = self.jobs.iter().position(|j| j.number == number)?;
        Some(self.jobs.remove(at))
    }

    fn charge(&mut self, workspace: &WorkspaceName, weight: f64, cost: f64) {
        let floor = self.floor;
        let (known, time) = self.times.entry(workspace.clone()).or_default();
        *known = weight;
        *time = time.max(floor) + cost / *known;
        let min_virtual_time = self.min_virtual_time();
        if min_virtual_time.is_finite() {
            self.floor = self.floor.max(min_virtual_time);
        }
    }

    fn min_virtual_time(&self) -> f64 {
        let busy = self.jobs.iter().map(|j| self.times[&j.workspace].1);
        busy.fold(f64::INFINITY, f64::min)
    }

    fn take(&mut self) -> Option<QueuedJob> {
        let limit = self.min_virtual_time() + QUANTUM;
        let order = |j: &QueuedJob| {
            let time = self.times[&j.workspace].1;
            let is_behind = time > limit;
            (is_behind, if is_behind { time } else { 0.0 })
        };
        let first = self.jobs.iter().min_by(|a, b| {
            let (a_order, b_order) = (order(a), order(b));
            let rank = |j: &QueuedJob| (j.priority, j.latest_start, j.number);
            a_order
                .0
                .cmp(&b_order.0)
                .then(a_order.1.total_cmp(&b_order.1))
                .then(rank(a).cmp(&rank(b)))
        })?;
        let job = self.remove(first.number)?;
        self.charge(&job.workspace, job.weight, job.cost);
        Some(job)
    }
}

#[derive(Clone, Debug)]
enum QueueStep {
    Push {
        workspace: u8,
        weight: u32,
        priority: u32,
        start: u64,
        cost: u32,
    },
    Remove(u8),
    Charge(u8, u32),
    Take,
}

fn steps() -> impl Strategy<Value = Vec<QueueStep>> {
    let push = (0..6u8, 1..4u32, 0..3u32, 0..50u64, 1..40u32).prop_map(
        |(workspace, weight, priority, start, cost)| QueueStep::Push {
            workspace,
            weight,
            priority,
            start,
            cost,
        },
    );
    let step = prop_oneof![
        5 => push,
        1 => any::<u8>().prop_map(QueueStep::Remove),
        1 => (0..6u8, 1..60u32).prop_map(|(w, c)| QueueStep::Charge(w, c)),
        4 => Just(QueueStep::Take),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_203),
        ..Config::default()
    })]

    // For any sequence of operations, the queue serves requests in the same order as the
    // reference implementation.
    #[test]
    fn serves_in_the_order_of_the_reference(steps in steps()) {
        let mut queue = FairQueue::new(QUANTUM, true);
        let mut reference = ReferenceQueue::default();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                QueueStep::Push { workspace, weight, priority, start, cost } => {
                    let pushed = QueuedJob {
                        priority,
                        latest_start: MonoTime(start),
                        // Sums of these costs are exact, so that both have the same ties.
                        ..job(number as u64, &format!("w{workspace}"), f64::from(1 << weight), f64::from(cost) / 16.0)
                    };
                    queue.push(pushed.clone());
                    reference.push(pushed);
                }
                QueueStep::Remove(index) if !reference.jobs.is_empty() => {
                    let at = usize::from(index) % reference.jobs.len();
                    let removed = reference.jobs.remove(at);
                    prop_assert!(queue.remove(&removed));
                }
                QueueStep::Remove(_) => {}
                QueueStep::Charge(workspace, cost) => {
                    let name = WorkspaceName::from(format!("w{workspace}"));
                    queue.charge(&name, 2.0, f64::from(cost) / 16.0);
                    reference.charge(&name, 2.0, f64::from(cost) / 16.0);
                }
                QueueStep::Take => {
                    prop_assert_eq!(take(&mut queue), reference.take());
                }
            }
            prop_assert_eq!(queue.len(), reference.jobs.len());
            let mut overdue: Vec<u64> = queue.overdue(MonoTime(25)).iter().map(|j| j.number.0).collect();
            overdue.sort_unstable();
            let mut expected: Vec<u64> = reference
                .jobs
                .iter()
                .filter(|j| j.latest_start < MonoTime(25))
                .map(|j| j.number.0)
                .collect();
            expected.sort_unstable();
            prop_assert_eq!(overdue, expected);
        }
    }
}
