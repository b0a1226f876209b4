//! A fleet with a plain service in virtual time: callers, daemons, one queue owner and targets.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use indexmap::IndexMap;
use pistachiowick::crashes::suspect_digest::SuspectDigest;
use pistachiowick::gateway::plain_queue::gate::{SendPath, TicketGate};
use pistachiowick::gateway::plain_queue::owner::{
    QueueTime, ServiceQueue, TargetReport, TicketAnswer, TicketEnd, TicketId, TicketTerms,
};
use pistachiowick::names::{DaemonId, MonoTime, UnixTime};
use pistachiowick::target_incarnation::TargetIncarnation;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// One-way latency between a daemon and the queue owner, and to targets.
const LATENCY_MS: u64 = 2;
/// Latency to the owner through a hub.
const HUB_LATENCY_MS: u64 = 4;
/// Largest fleet without hubs.
const MAX_MESH: usize = 16;
/// Queue places of a target.
const PLACES: usize = 8;
const WARM_UP_MS: u64 = 3_000;
pub const OBJECTIVE_MS: u64 = 400;
pub const DEADLINE_MS: u64 = 1_500;
const MINUTE_MS: u64 = 60_000;

/// Load and events of a run.
#[derive(Clone, Debug)]
pub struct QueueCase {
    pub daemons: usize,
    /// Requests per second of ranks 0 and 1.
    pub rates: [f64; 2],
    /// Work time of each target.
    pub work_ms: Vec<u64>,
    /// When the last target is lost.
    pub lost_at: Option<u64>,
    /// Whether refused callers return once, when they are told to.
    pub callers_return: bool,
    /// Age of the reported work that daemons know.
    pub report_ms: u64,
    pub uses_queue: bool,
}

/// Outcomes of the requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
pub struct RankResult {
    pub requests: u32,
    /// Answered within the objective, from the arrival of the first attempt.
    pub fast: u32,
    /// Answered before the deadline.
    pub served: u32,
    pub refused: u32,
    /// Refused after waiting in the queue.
    pub refused_late: u32,
}

impl RankResult {
    pub fn fast_share(&self) -> f64 {
        f64::from(self.fast) / f64::from(self.requests.max(1))
    }
    pub fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.requests.max(1))
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Ask(usize),
    Granted(usize, usize),
    Refused(usize, u64),
    AtTarget(usize, usize),
    Done(usize, usize),
    // A request that its target refused, as seen by its daemon.
    Full(usize, usize),
    // The ticket with this number ended: the time taken, or -1, or -2 at a full target.
    End(usize, u64, i64),
    Report,
    Lose,
}

#[derive(Clone, Debug)]
struct SimRequest {
    rank: u8,
    first_at: u64,
    arrived_at: u64,
    sent_at: u64,
    daemon: usize,
    attempts: u32,
    sends: u32,
    has_ticket: bool,
    // Target that refused this attempt.
    tried: Option<usize>,
    ended: bool,
}

struct SimTarget {
    id: TargetIncarnation,
    work_ms: u64,
    running: usize,
    queue: VecDeque<usize>,
    lost: bool,
}

/// The world.
pub struct QueueWorld {
    case: QueueCase,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now: u64,
    rng: SmallRng,
    requests: Vec<SimRequest>,
    tickets: IndexMap<TicketId, usize>,
    targets: Vec<SimTarget>,
    // Requests at each target when daemons last reported them.
    reported: Vec<u32>,
    gates: Vec<TicketGate>,
    queue: ServiceQueue,
    /// Time for which slots were busy after the warm-up.
    pub busy_ms: u64,
    pub results: [RankResult; 2],
}

impl QueueWorld {
    /// Runs a case for a minute.
    pub fn run(case: &QueueCase, seed: u64) -> Self {
        let targets = case
            .work_ms
            .iter()
            .enumerate()
            .map(|(number, work_ms)| SimTarget {
                id: TargetIncarnation::from(format!("t{number}")),
                work_ms: *work_ms,
                running: 0,
                queue: VecDeque::new(),
                lost: false,
            });
        let mut world = Self {
            case: case.clone(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            requests: Vec::new(),
            tickets: IndexMap::new(),
            targets: targets.collect(),
            reported: vec![0; case.work_ms.len()],
            gates: vec![TicketGate::default(); case.daemons],
            queue: ServiceQueue::default(),
            busy_ms: 0,
            results: [RankResult::default(); 2],
        };
        world.fill();
        while let Some(Reverse((at, _, event))) = world.events.pop() {
            world.now = at;
            world.step(event);
        }
        world
    }

    /// Returns the used share of the slots after the warm-up.
    pub fn utilization(&self) -> f64 {
        let slots = 4 * self.targets.len() as u64;
        self.busy_ms as f64 / (slots * (MINUTE_MS - WARM_UP_MS)) as f64
    }

    fn fill(&mut self) {
        for (rank, rate) in self.case.rates.into_iter().enumerate() {
            let mut at = 0.0;
            while rate > 0.0 && at < MINUTE_MS as f64 {
                at -= (1.0 - self.rng.random::<f64>()).ln() * 1_000.0 / rate;
                let index = self.requests.len();
                self.requests.push(SimRequest {
                    rank: rank as u8,
                    first_at: at as u64,
                    arrived_at: 0,
                    sent_at: 0,
                    daemon: 0,
                    attempts: 0,
                    sends: 0,
                    has_ticket: false,
                    tried: None,
                    ended: false,
                });
                self.at(at as u64, Event::Arrive(index));
            }
        }
        for at in (0..MINUTE_MS).step_by(self.case.report_ms as usize) {
            self.at(at, Event::Report);
        }
        if let Some(at) = self.case.lost_at {
            self.at(at, Event::Lose);
        }
    }

    fn at(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn owner_latency(&self) -> u64 {
        if self.case.daemons > MAX_MESH {
            HUB_LATENCY_MS
        } else {
            LATENCY_MS
        }
    }

    fn time(&self) -> QueueTime {
        QueueTime {
            now: MonoTime(self.now),
            fleet: UnixTime(1_700_000_000_000 + self.now),
        }
    }

    fn ticket(&self, index: usize) -> TicketId {
        let request = &self.requests[index];
        TicketId {
            daemon: DaemonId::from(format!("d{}", request.daemon)),
            incarnation: 1,
            number: index as u64 * 8 + u64::from(request.attempts * 2 + request.sends),
        }
    }

    fn step(&mut self, event: Event) {
        let now = MonoTime(self.now);
        match event {
            Event::Arrive(index) => {
                let daemon = self.rng.random_range(0..self.case.daemons);
                let request = &mut self.requests[index];
                request.daemon = daemon;
                request.arrived_at = self.now;
                request.attempts += 1;
                request.sends = 0;
                if request.attempts == 1 && request.first_at >= WARM_UP_MS {
                    self.results[usize::from(request.rank)].requests += 1;
                }
                self.send(index, None);
            }
            Event::Ask(index) => {
                self.set_targets();
                let request = &self.requests[index];
                let left = |limit: u64, from: u64| {
                    Duration::from_millis((from + limit).saturating_sub(self.now))
                };
                let tried = request.tried.map(|target| self.targets[target].id.clone());
                let terms = TicketTerms {
                    rank: request.rank,
                    work: SuspectDigest::of(&[&index.to_le_bytes()]),
                    objective_left: left(OBJECTIVE_MS, request.arrived_at),
                    time_left: left(DEADLINE_MS, request.first_at),
                    time_limit: Duration::from_millis(DEADLINE_MS),
                    excluded: tried.into_iter().collect(),
                };
                let id = self.ticket(index);
                self.tickets.insert(id.clone(), index);
                let answer = self.queue.request(&id, terms, self.time());
                self.deliver(index, answer, false);
                self.advance();
            }
            Event::Granted(index, target) => self.send_to(index, target),
            Event::Refused(index, retry_ms) => self.refuse(index, retry_ms),
            Event::AtTarget(index, target) => {
                let known = &mut self.targets[target];
                if known.lost {
                    self.at(self.now + LATENCY_MS, Event::Full(index, target));
                } else if known.running < 4 {
                    self.start(index, target);
                } else if known.queue.len() < PLACES {
                    known.queue.push_back(index);
                } else {
                    self.at(self.now + LATENCY_MS, Event::Full(index, target));
                }
            }
            Event::Done(index, target) => {
                self.targets[target].running -= 1;
                if let Some(next) = self.targets[target].queue.pop_front() {
                    self.start(next, target);
                }
                let taken = self.now + LATENCY_MS - self.requests[index].sent_at;
                self.end_ticket(index, taken as i64);
                self.answer(index);
            }
            Event::Full(index, target) => {
                self.gates[self.requests[index].daemon].note_full(now);
                let kind = if self.targets[target].lost { -1 } else { -2 };
                self.end_ticket(index, kind);
                self.requests[index].sends += 1;
                if self.requests[index].sends < 2 {
                    self.send(index, Some(target));
                } else {
                    self.refuse(index, 250);
                }
            }
            Event::End(index, number, kind) => {
                let end = match kind {
                    -2 => TicketEnd::Full,
                    -1 => TicketEnd::Other,
                    taken => TicketEnd::Answered(taken as f64),
                };
                let id = TicketId {
                    number,
                    ..self.ticket(index)
                };
                self.queue.end(&id, end, now);
                self.tickets.swap_remove(&id);
                self.advance();
            }
            Event::Report => {
                let at_target = |t: &SimTarget| (t.running + t.queue.len()) as u32;
                self.reported = self.targets.iter().map(at_target).collect();
                self.set_targets();
                self.advance();
            }
            Event::Lose => {
                if let Some(target) = self.targets.last_mut() {
                    target.lost = true;
                }
            }
        }
    }

    fn set_targets(&mut self) {
        let reports = self
            .targets
            .iter()
            .zip(&self.reported)
            .filter(|(t, _)| !t.lost);
        let reports = reports.map(|(target, running)| TargetReport {
            id: &target.id,
            slots: 4,
            running: *running,
        });
        self.queue.set_targets(reports, MonoTime(self.now));
    }

    fn send(&mut self, index: usize, tried: Option<usize>) {
        self.requests[index].tried = tried;
        let now = MonoTime(self.now);
        let present = self.targets.iter().filter(|target| !target.lost).count() as u32;
        let running = self.reported.iter().sum();
        let daemon = self.requests[index].daemon;
        let path = self.gates[daemon].path(running, 4 * present, now);
        if self.case.uses_queue && path == SendPath::Ticket {
            let latency = self.owner_latency();
            self.requests[index].has_ticket = true;
            return self.at(self.now + latency, Event::Ask(index));
        }
        let draws: Vec<f64> = self
            .targets
            .iter()
            .map(|_| self.rng.random::<f64>() * 0.3)
            .collect();
        let usable =
            (0..self.targets.len()).filter(|t| !self.targets[*t].lost && Some(*t) != tried);
        let cost = |t: &usize| f64::from(self.reported[*t]) / 4.0 + draws[*t];
        match usable.min_by(|a, b| cost(a).total_cmp(&cost(b))) {
            Some(target) => self.send_to(index, target),
            None => self.refuse(index, 250),
        }
    }

    fn send_to(&mut self, index: usize, target: usize) {
        self.requests[index].sent_at = self.now;
        self.at(self.now + LATENCY_MS, Event::AtTarget(index, target));
    }

    fn start(&mut self, index: usize, target: usize) {
        let known = &mut self.targets[target];
        known.running += 1;
        let work_ms = known.work_ms;
        if self.now >= WARM_UP_MS && self.now < MINUTE_MS {
            self.busy_ms += work_ms;
        }
        self.at(self.now + work_ms, Event::Done(index, target));
    }

    fn end_ticket(&mut self, index: usize, kind: i64) {
        if std::mem::take(&mut self.requests[index].has_ticket) {
            let at = self.now + LATENCY_MS + self.owner_latency();
            let number = self.ticket(index).number;
            self.at(at, Event::End(index, number, kind));
        }
    }

    fn advance(&mut self) {
        for (id, answer) in self.queue.advance(self.time()) {
            let index = self.tickets[&id];
            self.deliver(index, answer, true);
        }
    }

    fn deliver(&mut self, index: usize, answer: TicketAnswer, waited: bool) {
        let at = self.now + self.owner_latency();
        match answer {
            TicketAnswer::Queued => {}
            TicketAnswer::Granted(id) => {
                let target = self.targets.iter().position(|target| target.id == id);
                self.at(at, Event::Granted(index, target.expect("a target")));
            }
            TicketAnswer::Refused { retry_after, .. } => {
                let request = &mut self.requests[index];
                request.has_ticket = false;
                if waited && request.first_at >= WARM_UP_MS {
                    self.results[usize::from(request.rank)].refused_late += 1;
                }
                let retry_ms = retry_after.as_millis() as u64;
                self.at(at, Event::Refused(index, retry_ms));
            }
        }
    }

    fn answer(&mut self, index: usize) {
        let request = &mut self.requests[index];
        let taken = self.now + 2 * LATENCY_MS - request.first_at;
        if request.first_at < WARM_UP_MS || std::mem::replace(&mut request.ended, true) {
            return;
        }
        let result = &mut self.results[usize::from(request.rank)];
        result.fast += u32::from(taken <= OBJECTIVE_MS);
        result.served += u32::from(taken <= DEADLINE_MS);
    }

    fn refuse(&mut self, index: usize, retry_ms: u64) {
        let request = &self.requests[index];
        let left = DEADLINE_MS.saturating_sub(self.now - request.first_at);
        if self.case.callers_return && request.attempts == 1 && retry_ms <= left / 3 {
            return self.at(self.now + retry_ms, Event::Arrive(index));
        }
        if request.first_at >= WARM_UP_MS {
            self.results[usize::from(request.rank)].refused += 1;
        }
    }
}
