//! Queue in virtual time: deciders with knowledge of a given age place requests of several
//! kinds on servers that serve the most urgent rank first.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use pistachiowick::admission::load_meter::{
    AdmissionReport, FirstEventTime, LoadMeter, RequestLoad,
};
use pistachiowick::admission::window::AdmissionWindow;
use pistachiowick::admission::{AdmissionDecision, CapacityView, RequestTerms};
use pistachiowick::names::{DaemonId, MonoTime, ServiceName, UnixTime};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const RANKS: usize = 10;
/// Ranks by which a request that misses its objective by waiting is put back, as the gateway does.
const DEPRIORITIZED_RANKS: usize = 5;
const REPORT_MS: u64 = 200;
const SNAPSHOT_MS: u64 = 50;

pub type Rule = fn(&RequestTerms, &CapacityView, &AdmissionWindow) -> AdmissionDecision;

/// Requests of one rank and workspace.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    pub rank: u8,
    pub workspace: Option<u64>,
    pub work_ms: f64,
    pub per_second: f64,
    pub objective_ms: u64,
    pub gives_up_ms: u64,
    pub deadline_ms: u64,
}

/// What deciders know of the work and measurements of the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Knowledge {
    Aged(u64),
    Missing,
}

#[derive(Clone, Debug)]
pub struct WorldPlan {
    pub kinds: Vec<RequestKind>,
    pub load: f64,
    pub servers: usize,
    pub deciders: usize,
    pub knowledge: Knowledge,
    /// Whether the first two kinds alternate every 2.8 s between 1.9 and 0.4 of their rates.
    pub alternates: bool,
    /// Servers that are lost after a third of the time.
    pub lost: usize,
    /// Largest difference between the clocks of two deciders.
    pub clock_ms: u64,
    pub seconds: u64,
    pub rule: Rule,
}

/// Outcomes of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindTally {
    pub requests: f64,
    pub served: f64,
    pub in_time: f64,
    pub refused: f64,
    pub refusals: f64,
    pub kept_promises: f64,
    pub returns: f64,
}

impl KindTally {
    pub fn served_share(&self) -> f64 {
        self.served / self.requests
    }

    pub fn in_time_share(&self) -> f64 {
        self.in_time / self.requests
    }
}

#[derive(Debug)]
pub struct WorldTally {
    pub kinds: Vec<KindTally>,
    /// Share of the servers' time that was spent on requests that were served.
    pub used: f64,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    kind: usize,
    decider: usize,
    phase: f64,
    arrived: u64,
    deadline: u64,
    attempt: u32,
    rank: usize,
    placed: u64,
    expected_ms: f64,
    work_us: u64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival(usize),
    Attempt(Job),
    Done(usize),
    Report,
    Snapshot,
}

struct Entry(u64, u64, Event);

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

#[derive(Default)]
struct Server {
    queues: [VecDeque<Job>; RANKS],
    running: Option<Job>,
    is_lost: bool,
}

// Pending work in milliseconds by server and rank.
type Pending = Vec<[f64; RANKS]>;

#[derive(Clone, Default)]
struct Snapshot {
    at: u64,
    total: Pending,
    own: Vec<Pending>,
}

struct World<'a> {
    plan: &'a WorldPlan,
    now: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<Entry>>,
    servers: Vec<Server>,
    total: Pending,
    own: Vec<Pending>,
    snapshots: VecDeque<Snapshot>,
    meters: Vec<LoadMeter>,
    // Reports on their way to the deciders.
    reports: VecDeque<(u64, AdmissionReport)>,
    rng: SmallRng,
    tally: WorldTally,
    useful_us: u64,
}

pub fn simulate(plan: &WorldPlan, seed: u64) -> WorldTally {
    let mut world = World {
        plan,
        now: 0,
        sequence: 0,
        events: BinaryHeap::new(),
        servers: (0..plan.servers).map(|_| Server::default()).collect(),
        total: vec![[0.0; RANKS]; plan.servers],
        own: vec![vec![[0.0; RANKS]; plan.servers]; plan.deciders],
        snapshots: VecDeque::new(),
        meters: vec![LoadMeter::default(); plan.deciders],
        reports: VecDeque::new(),
        rng: SmallRng::seed_from_u64(seed),
        tally: WorldTally {
            kinds: vec![KindTally::default(); plan.kinds.len()],
            used: 0.0,
        },
        useful_us: 0,
    };
    world.run();
    world.tally
}

impl World<'_> {
    fn run(&mut self) {
        for kind in 0..self.plan.kinds.len() {
            self.push(0, Event::Arrival(kind));
        }
        self.push(0, Event::Report);
        self.push(0, Event::Snapshot);
        let end = self.plan.seconds * 1_000_000;
        while let Some(Reverse(Entry(at, _, event))) = self.events.pop() {
            self.now = at;
            if at > end {
                break;
            }
            self.handle(event);
        }
        let lost_time = self.plan.lost as f64 * 2.0 / 3.0;
        let capacity = (self.plan.servers as f64 - lost_time) * end as f64;
        self.tally.used = self.useful_us as f64 / capacity;
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(Entry(at, self.sequence, event)));
    }

    fn mono(&self) -> MonoTime {
        MonoTime(self.now / 1_000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(kind) => self.arrive(kind),
            Event::Attempt(job) => self.decide(job),
            Event::Done(server) => self.finish(server),
            Event::Report => self.exchange_reports(),
            Event::Snapshot => self.take_snapshot(),
        }
    }

    fn arrive(&mut self, kind: usize) {
        let spec = self.plan.kinds[kind];
        let is_first_half = (self.now / 2_800_000).is_multiple_of(2);
        let swing = match (self.plan.alternates, kind) {
            (true, 0) if is_first_half => 1.9,
            (true, 1) if !is_first_half => 1.9,
            (true, 0 | 1) => 0.4,
            _ => 1.0,
        };
        let rate = spec.per_second * self.plan.load * swing;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate * 1e6;
        self.push(self.now + gap as u64 + 1, Event::Arrival(kind));
        let spread = 0.5 + self.rng.random::<f64>();
        let job = Job {
            kind,
            decider: self.rng.random_range(0..self.plan.deciders),
            phase: self.rng.random(),
            arrived: self.now,
            deadline: self.now + spec.deadline_ms * 1_000,
            attempt: 0,
            rank: 0,
            placed: 0,
            expected_ms: 0.0,
            work_us: (spec.work_ms * spread * 1e3) as u64,
        };
        self.decide(job);
    }

    fn decide(&mut self, mut job: Job) {
        let now = self.mono();
        let spec = self.plan.kinds[job.kind];
        if job.attempt == 0 {
            self.tally.kinds[job.kind].requests += 1.0;
        }
        let gives_up = (self.now + spec.gives_up_ms * 1_000).min(job.deadline);
        let objective_ms = spec.objective_ms as f64;
        let mut rank = usize::from(spec.rank);
        let (mut server, mut wait_ms) = self.choose(job.decider, rank);
        if wait_ms > objective_ms {
            rank += DEPRIORITIZED_RANKS;
            (server, wait_ms) = self.choose(job.decider, rank);
        }
        let work_ms = job.work_us as f64 / 1e3;
        let service = ServiceName::from("service");
        let load = RequestLoad {
            service: &service,
            rank: spec.rank,
            workspace: spec.workspace,
            work_ms,
        };
        let live = self.servers.iter().filter(|server| !server.is_lost).count();
        let meter = &mut self.meters[job.decider];
        meter.note_requested(&load, now);
        let capacity = meter.capacity_view(&load, (wait_ms, live as f64 * 1e3), now);
        let skew = self.plan.clock_ms * job.decider as u64 / self.plan.deciders as u64;
        let window = AdmissionWindow::new(
            UnixTime(now.0 + skew),
            Duration::from_millis(spec.gives_up_ms.min(spec.deadline_ms)),
        );
        let terms = RequestTerms {
            rank: spec.rank,
            workspace: spec.workspace,
            objective_left: Duration::from_millis(spec.objective_ms),
            time_left: Duration::from_micros(gives_up - self.now),
            work_ms,
            phase: job.phase,
        };
        let decision = (self.plan.rule)(&terms, &capacity, &window);
        let tally = &mut self.tally.kinds[job.kind];
        if job.attempt > 0 {
            tally.returns += 1.0;
        }
        if let AdmissionDecision::Refuse { retry_after, .. } = decision {
            tally.refusals += 1.0;
            if job.attempt > 0 {
                tally.refused += 1.0;
                return;
            }
            job.attempt = 1;
            // The caller returns to any decider, on a new connection.
            job.decider = self.rng.random_range(0..self.plan.deciders);
            let back = self.now + retry_after.as_micros() as u64 + 2_000;
            self.push(back, Event::Attempt(job));
            return;
        }
        if job.attempt > 0 {
            tally.kept_promises += 1.0;
        }
        self.meters[job.decider].note_placed(&load, now);
        job.rank = rank;
        job.placed = self.now;
        job.deadline = gives_up;
        job.expected_ms = wait_ms + work_ms;
        self.total[server][rank] += work_ms;
        self.own[job.decider][server][rank] += work_ms;
        self.servers[server].queues[rank].push_back(job);
        self.start(server);
    }

    fn choose(&mut self, decider: usize, rank: usize) -> (usize, f64) {
        let waits: Vec<f64> = (0..self.servers.len())
            .map(|server| self.known_wait(decider, server, rank))
            .collect();
        let live = (0..waits.len()).filter(|server| !self.servers[*server].is_lost);
        let mut live: Vec<usize> = live.collect();
        if self.plan.knowledge != Knowledge::Aged(0) {
            // Deciders with old knowledge that all choose the server that seems free would load
            // it alone; the choice among servers is not what is tested here.
            live = (0..2)
                .map(|_| live[self.rng.random_range(0..live.len())])
                .collect();
        }
        let least = live.iter().map(|s| waits[*s]).fold(f64::INFINITY, f64::min);
        let ties: Vec<usize> = live.into_iter().filter(|s| waits[*s] <= least).collect();
        let server = ties[self.rng.random_range(0..ties.len())];
        (server, least)
    }

    fn known_wait(&self, decider: usize, server: usize, rank: usize) -> f64 {
        let sum = |pending: &[f64; RANKS]| pending[..=rank].iter().sum::<f64>();
        let own = sum(&self.own[decider][server]);
        match self.plan.knowledge {
            Knowledge::Aged(0) => sum(&self.total[server]),
            Knowledge::Missing => own,
            Knowledge::Aged(age) => {
                let newest = self.now.saturating_sub(age * 1_000);
                let mut old = self.snapshots.iter().rev();
                let peers = old.find(|snapshot| snapshot.at <= newest).map(|snapshot| {
                    sum(&snapshot.total[server]) - sum(&snapshot.own[decider][server])
                });
                own + peers.unwrap_or_default()
            }
        }
    }

    fn start(&mut self, server: usize) {
        while self.servers[server].running.is_none() {
            let queues = self.servers[server].queues.iter_mut();
            let Some(job) = queues
                .filter(|queue| !queue.is_empty())
                .find_map(VecDeque::pop_front)
            else {
                return;
            };
            if job.deadline <= self.now {
                self.leave(server, &job);
                continue;
            }
            self.servers[server].running = Some(job);
            self.push(self.now + job.work_us, Event::Done(server));
        }
    }

    // Removes a request from the pending work and records how long it took.
    fn leave(&mut self, server: usize, job: &Job) {
        let work_ms = job.work_us as f64 / 1e3;
        self.total[server][job.rank] = (self.total[server][job.rank] - work_ms).max(0.0);
        let own = &mut self.own[job.decider][server][job.rank];
        *own = (*own - work_ms).max(0.0);
        let time = FirstEventTime {
            actual_ms: (self.now - job.placed) as f64 / 1e3,
            expected_ms: job.expected_ms,
            is_served: job.deadline > self.now,
        };
        let service = ServiceName::from("service");
        let load = RequestLoad {
            service: &service,
            rank: self.plan.kinds[job.kind].rank,
            workspace: None,
            work_ms,
        };
        let now = self.mono();
        self.meters[job.decider].note_delay(&load, &time, now);
    }

    fn finish(&mut self, server: usize) {
        let Some(job) = self.servers[server].running.take() else {
            return;
        };
        self.leave(server, &job);
        if job.deadline > self.now {
            let objective = self.plan.kinds[job.kind].objective_ms * 1_000;
            let tally = &mut self.tally.kinds[job.kind];
            tally.served += 1.0;
            if self.now - job.arrived <= objective {
                tally.in_time += 1.0;
            }
            self.useful_us += job.work_us;
        }
        if !self.servers[server].is_lost {
            self.start(server);
        }
    }

    fn exchange_reports(&mut self) {
        self.push(self.now + REPORT_MS * 1_000, Event::Report);
        if self.now >= self.plan.seconds * 333_333 {
            self.lose_servers();
        }
        let now = self.mono();
        let mut sum = LoadMeter::default();
        for (index, meter) in self.meters.iter_mut().enumerate() {
            let name = DaemonId::from(format!("daemon-{index}").as_str());
            sum.set_peer(&name, meter.local_report(now), now);
        }
        self.reports
            .push_back((self.now, sum.sum_with(|_| true, now)));
        let hub = DaemonId::from("hub");
        if let Knowledge::Aged(age) = self.plan.knowledge {
            let is_due = |at: u64| at + age * 1_000 <= self.now;
            while self.reports.front().is_some_and(|(at, _)| is_due(*at)) {
                let Some((_, report)) = self.reports.pop_front() else {
                    break;
                };
                for meter in &mut self.meters {
                    meter.set_fleet(&hub, report.clone(), now);
                }
            }
        }
        for meter in &mut self.meters {
            meter.sweep(now);
        }
    }

    // Requests at a lost server get no event; their callers give up.
    fn lose_servers(&mut self) {
        for server in 0..self.plan.lost {
            if self.servers[server].is_lost {
                continue;
            }
            self.servers[server].is_lost = true;
            let jobs: Vec<Job> = self.servers[server]
                .queues
                .iter_mut()
                .flat_map(|queue| queue.drain(..))
                .collect();
            for job in jobs {
                self.leave(server, &job);
            }
        }
    }

    fn take_snapshot(&mut self) {
        self.push(self.now + SNAPSHOT_MS * 1_000, Event::Snapshot);
        self.snapshots.push_back(Snapshot {
            at: self.now,
            total: self.total.clone(),
            own: self.own.clone(),
        });
        if self.snapshots.len() > 40 {
            self.snapshots.pop_front();
        }
    }
}
