//! State of the queue owner of one service: grants, waiting tickets and estimates of slots.

use std::time::Duration;

use indexmap::IndexMap;

use crate::admission::ranked_queue::{RankedQueue, WaitingRequest};
use crate::admission::window::AdmissionWindow;
use crate::admission::{AdmissionDecision, CapacityView, RefusalReason, RequestTerms, decide};
use crate::crashes::suspect_digest::SuspectDigest;
use crate::gateway::deciding::load::RANKS;
use crate::gateway::plain_queue::returns::ReturnTable;
use crate::gateway::plain_queue::slots::TargetSlots;
use crate::names::{DaemonId, MonoTime, UnixTime};
use crate::target_incarnation::TargetIncarnation;

/// Most tickets that wait: more than a queue of 3 s before 18 slots with 60 ms of work.
const MAX_WAITING: usize = 1_024;
/// Work time of a request that is assumed until one was measured.
const FIRST_WORK_MS: f64 = 50.0;
/// Time that a granted request needs, as a multiple of the work time: a request beyond the slots
/// of its target waits there for one of them.
const WORK_MARGIN: f64 = 1.3;
/// Share of the longest wait up to which requests are admitted: the expected wait has an error,
/// and a request that is refused only after it has waited costs its caller that time.
const ADMITTED_WAIT: f64 = 0.7;
/// Time for the answer's way to the daemon and the caller.
const ROUND_TRIP: Duration = Duration::from_millis(10);
/// Time constant of the measured arrival rates.
const RATE_TIME_MS: f64 = 1_000.0;
/// Work time of a target, as a multiple of that of the fastest one, above which it is granted no
/// request beyond its slots: that request would wait long, and the round trip is a small part
/// of the work.
const SLOW_FACTOR: f64 = 2.0;
/// Largest share of the capacity that more urgent ranks are expected to take.
const MAX_URGENT_SHARE: f64 = 0.9;

/// Identity of a ticket: the daemon that asks, its incarnation, and its number.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TicketId {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its incarnation, as in its record in the store.
    pub incarnation: u64,
    /// Number of the ticket within that incarnation.
    pub number: u64,
}

/// A request for a ticket.
#[derive(Clone, Debug)]
pub struct TicketTerms {
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Digest of its work, which all its attempts share.
    pub work: SuspectDigest,
    /// Time left for an answer within the latency objective.
    pub objective_left: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Time limit of its route.
    pub time_limit: Duration,
    /// Targets that it must not be sent to.
    pub excluded: Vec<TargetIncarnation>,
}

/// A target and the requests that the whole fleet is known to run at it.
#[derive(Clone, Copy, Debug)]
pub struct TargetReport<'a> {
    /// The target.
    pub id: &'a TargetIncarnation,
    /// Its slots.
    pub slots: u32,
    /// Requests at it, as far as daemons reported them.
    pub running: u32,
}

/// Answer to a request for a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum TicketAnswer {
    /// The request may be sent to this target now.
    Granted(TargetIncarnation),
    /// The request waits; a grant or refusal follows.
    Queued,
    /// The request is refused.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to return.
        retry_after: Duration,
        /// Expected time to the answer, in milliseconds.
        expected_ms: f64,
    },
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TicketEnd {
    /// A target answered after this time, in milliseconds.
    Answered(f64),
    /// The target refused it, as it is full.
    Full,
    /// It was not sent, or its outcome says nothing about the target.
    Other,
}

/// The current time, by the owner's clock and by the clock of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct QueueTime {
    /// Time on the owner's monotonic clock.
    pub now: MonoTime,
    /// Fleet time, which positions the window of admission.
    pub fleet: UnixTime,
}

#[derive(Clone, Debug)]
struct TicketGrant {
    target: TargetIncarnation,
    load: u32,
    expires: MonoTime,
}

#[derive(Clone, Copy, Debug, Default)]
struct ArrivalRate {
    // Arrivals, each weighted by its age.
    weight: f64,
    at: MonoTime,
}

impl ArrivalRate {
    fn note(&mut self, now: MonoTime) {
        self.weight = self.decayed(now) + 1.0;
        self.at = now;
    }

    fn decayed(&self, now: MonoTime) -> f64 {
        let age_ms = now.since(self.at).as_secs_f64() * 1_000.0;
        self.weight * (-age_ms / RATE_TIME_MS).exp()
    }

    fn per_ms(&self, now: MonoTime) -> f64 {
        self.decayed(now) / RATE_TIME_MS
    }
}

/// Queue of one service, kept by its owner.
#[derive(Clone, Debug)]
pub struct ServiceQueue {
    targets: IndexMap<TargetIncarnation, TargetSlots>,
    grants: IndexMap<TicketId, TicketGrant>,
    waiting: RankedQueue<TicketId>,
    terms: IndexMap<TicketId, TicketTerms>,
    // Tickets that lost their place to more urgent ones and are refused next.
    displaced: Vec<TicketId>,
    returns: ReturnTable,
    // Rate of all requests, also of those that are refused.
    demand: ArrivalRate,
    // Rates of served requests: for each rank those of returning callers, then the others.
    rates: [ArrivalRate; 2 * RANKS],
}

impl Default for ServiceQueue {
    fn default() -> Self {
        Self {
            targets: IndexMap::new(),
            grants: IndexMap::new(),
            waiting: RankedQueue::new(MAX_WAITING),
            terms: IndexMap::new(),
            displaced: Vec::new(),
            returns: ReturnTable::default(),
            demand: ArrivalRate::default(),
            rates: [ArrivalRate::default(); 2 * RANKS],
        }
    }
}

impl ServiceQueue {
    /// Replaces the targets of the service and the reported work at them.
    pub fn set_targets<'a>(
        &mut self,
        reports: impl Iterator<Item = TargetReport<'a>>,
        now: MonoTime,
    ) {
        let mut targets = IndexMap::new();
        for report in reports {
            let known = self.targets.swap_remove(report.id);
            let mut target = known.unwrap_or_default();
            target.apply_report(report.slots, report.running, now);
            targets.insert(report.id.clone(), target);
        }
        self.targets = targets;
    }

    /// Answers a request for a ticket. The same request may be repeated, which renews it.
    pub fn request(&mut self, id: &TicketId, terms: TicketTerms, time: QueueTime) -> TicketAnswer {
        if let Some(grant) = self.grants.get(id) {
            return TicketAnswer::Granted(grant.target.clone());
        }
        if self.waiting.contains(id) {
            return TicketAnswer::Queued;
        }
        let now = time.now;
        self.demand.note(now);
        let returning = self.returns.is_due(&terms.work, now);
        if let Some(target) = self.free_target(&terms, now) {
            self.returns.forget(&terms.work);
            self.rates[rate_index(terms.rank, returning)].note(now);
            return self.grant(id, &target, &terms, now);
        }
        let request = WaitingRequest {
            rank: terms.rank,
            returning,
            latest_start: now.plus(self.wait_limit(&terms)),
            queued_at: now,
        };
        if let Some(refusal) = self.check(&terms, (&request, returning), time) {
            return self.refuse(&terms, refusal, now);
        }
        self.returns.forget(&terms.work);
        self.rates[rate_index(terms.rank, returning)].note(now);
        self.terms.insert(id.clone(), terms);
        match self.waiting.push(id.clone(), request) {
            Some(last) if last == *id => match self.terms.swap_remove(id) {
                Some(terms) => self.refuse_waiting(&terms, time),
                None => TicketAnswer::Queued,
            },
            displaced => {
                self.displaced.extend(displaced);
                TicketAnswer::Queued
            }
        }
    }

    /// Ends a ticket, whether it was granted or waits.
    pub fn end(&mut self, id: &TicketId, end: TicketEnd, now: MonoTime) {
        self.waiting.remove(id);
        self.terms.swap_remove(id);
        let Some(grant) = self.grants.swap_remove(id) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&grant.target) else {
            return;
        };
        target.note_end(now);
        match end {
            TicketEnd::Answered(taken_ms) => target.note_time(taken_ms, grant.load),
            TicketEnd::Full => target.note_full(now),
            TicketEnd::Other => {}
        }
    }

    /// Ends the tickets for which `is_over` is true, for instance those of a daemon that is gone.
    pub fn end_where(&mut self, is_over: impl Fn(&TicketId) -> bool, now: MonoTime) {
        let tickets = self.grants.keys().chain(self.waiting.keys());
        let over: Vec<TicketId> = tickets.filter(|id| is_over(id)).cloned().collect();
        for id in over {
            self.end(&id, TicketEnd::Other, now);
        }
    }

    /// Grants free slots to waiting tickets and refuses those that can no longer be served in
    /// time; returns the answers.
    pub fn advance(&mut self, time: QueueTime) -> Vec<(TicketId, TicketAnswer)> {
        let now = time.now;
        let expired = self.grants.iter().filter(|(_, grant)| grant.expires < now);
        let expired: Vec<TicketId> = expired.map(|(id, _)| id.clone()).collect();
        for id in expired {
            self.end(&id, TicketEnd::Other, now);
        }
        let mut answers = Vec::new();
        let late = self.waiting.take_late(now).into_iter().map(|(id, _)| id);
        let lost: Vec<TicketId> = self.displaced.drain(..).chain(late).collect();
        for id in lost {
            if let Some(terms) = self.terms.swap_remove(&id) {
                answers.push((id, self.refuse_waiting(&terms, time)));
            }
        }
        while let Some((id, target)) = self.next_grant(now) {
            if let Some(terms) = self.terms.swap_remove(&id) {
                let answer = self.grant(&id, &target, &terms, now);
                answers.push((id, answer));
            }
        }
        answers
    }

    /// Returns whether a target is known that may be granted. The owner may know the service by
    /// an older view than the daemon that asks, which then decides by itself.
    #[must_use]
    pub fn has_usable(&self, excluded: &[TargetIncarnation]) -> bool {
        self.targets.keys().any(|id| !excluded.contains(id))
    }

    /// Returns whether a ticket waits.
    #[must_use]
    pub fn is_waiting(&self, id: &TicketId) -> bool {
        self.terms.contains_key(id)
    }

    /// Returns the number of tickets of a rank that wait.
    #[must_use]
    pub fn waiting_of(&self, rank: u8) -> usize {
        self.waiting.count_of(rank)
    }

    /// Returns the number of grants that have not ended.
    #[must_use]
    pub fn granted(&self) -> usize {
        self.grants.len()
    }

    /// Whether no ticket is granted or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.grants.is_empty() && self.waiting.is_empty()
    }

    fn next_grant(&mut self, now: MonoTime) -> Option<(TicketId, TargetIncarnation)> {
        if self.waiting.is_empty() || !self.targets.values().any(|t| t.has_free(now)) {
            return None;
        }
        let fits = |id: &TicketId| {
            let terms = self.terms.get(id);
            terms.is_some_and(|terms| self.free_target(terms, now).is_some())
        };
        let id = self.waiting.next_where(fits)?.clone();
        let target = self.free_target(self.terms.get(&id)?, now)?;
        self.waiting.take_granted(&id);
        Some((id, target))
    }

    // Returns the target with a free slot that has the least work, in time.
    fn free_target(&self, terms: &TicketTerms, now: MonoTime) -> Option<TargetIncarnation> {
        let usable = self
            .targets
            .iter()
            .filter(|(id, _)| !terms.excluded.contains(id));
        let free = usable.filter(|(_, target)| target.has_free(now));
        let mean_ms = self.mean_work_ms();
        let fastest_ms = self.fastest_ms();
        let free = free.filter(|(_, target)| {
            let is_slow = target
                .work_ms()
                .is_some_and(|ms| ms > SLOW_FACTOR * fastest_ms);
            !is_slow || target.granted < target.slots.max(1)
        });
        let cost = |target: &TargetSlots| {
            let load = f64::from(target.load() + 1) / f64::from(target.slots.max(1));
            load.max(1.0) * target.work_ms().unwrap_or(mean_ms) + load
        };
        let best = free.min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)));
        best.map(|(id, _)| id.clone())
    }

    fn grant(
        &mut self,
        id: &TicketId,
        target: &TargetIncarnation,
        terms: &TicketTerms,
        now: MonoTime,
    ) -> TicketAnswer {
        let slots = self.targets.entry(target.clone()).or_default();
        slots.granted += 1;
        let grant = TicketGrant {
            target: target.clone(),
            load: slots.load(),
            expires: now.plus(terms.time_left),
        };
        self.grants.insert(id.clone(), grant);
        TicketAnswer::Granted(target.clone())
    }

    // Returns the refusal of a request that cannot be served in time: neither after those before
    // it, nor after those of its own rank by the share that each rank keeps.
    fn check(
        &self,
        terms: &TicketTerms,
        (request, returning): (&WaitingRequest, bool),
        time: QueueTime,
    ) -> Option<AdmissionDecision> {
        let limit = self.wait_limit(terms);
        let wait_ms = |ahead: usize| (ahead + 1) as f64 / self.capacity_per_ms();
        let first_of_rank = WaitingRequest {
            returning: true,
            latest_start: MonoTime::default(),
            ..*request
        };
        let ahead = self.waiting.count_before(request);
        let ahead_of_rank = ahead - self.waiting.count_before(&first_of_rank);
        // A burst that the targets can serve in time is no overload.
        let is_overload = self.demand.per_ms(time.now) > self.capacity_per_ms();
        if !is_overload && wait_ms(ahead) <= limit.as_secs_f64() * 1_000.0 {
            return None;
        }
        let kept = self.decide(terms, (wait_ms(ahead_of_rank), MAX_URGENT_SHARE), time);
        if kept == AdmissionDecision::Admit {
            return None;
        }
        let urgent_share = self.urgent_share(terms.rank, returning, time.now);
        let decision = self.decide(terms, (wait_ms(ahead), urgent_share), time);
        let AdmissionDecision::Refuse {
            reason,
            expected_ms,
            ..
        } = decision
        else {
            return None;
        };
        let in_time = expected_ms <= limit.as_secs_f64() * 1_000.0;
        let admits_return = returning && reason != RefusalReason::Late && in_time;
        (!admits_return).then_some(decision)
    }

    fn urgent_share(&self, rank: u8, returning: bool, now: MonoTime) -> f64 {
        let urgent = self.rates.iter().take(rate_index(rank, returning));
        let urgent_rate: f64 = urgent.map(|rate| rate.per_ms(now)).sum();
        (urgent_rate / self.capacity_per_ms()).min(MAX_URGENT_SHARE)
    }

    fn decide(
        &self,
        terms: &TicketTerms,
        (wait_ms, urgent_share): (f64, f64),
        time: QueueTime,
    ) -> AdmissionDecision {
        let capacity = CapacityView {
            wait_ms,
            urgent_share,
            ..CapacityView::default()
        };
        let request = RequestTerms {
            rank: terms.rank,
            workspace: None,
            objective_left: terms.objective_left,
            time_left: self.wait_limit(terms).mul_f64(ADMITTED_WAIT),
            // The longest wait leaves time for the work already.
            work_ms: 0.0,
            phase: terms.work.phase(),
        };
        let window = AdmissionWindow::new(time.fleet, terms.time_limit);
        let decision = decide(&request, &capacity, &window);
        let AdmissionDecision::Refuse {
            reason,
            expected_ms,
            ..
        } = decision
        else {
            return decision;
        };
        // The caller may return until its deadline, which is later than the longest wait here.
        let earliest_ms = expected_ms - self.wait_limit(terms).as_secs_f64() * 1_000.0;
        AdmissionDecision::Refuse {
            reason,
            retry_after: window.retry_after(request.phase, 0.0, earliest_ms, terms.time_left),
            expected_ms,
        }
    }

    fn refuse_waiting(&mut self, terms: &TicketTerms, time: QueueTime) -> TicketAnswer {
        let limit_ms = self.wait_limit(terms).as_secs_f64() * 1_000.0;
        let decision = self.decide(terms, (limit_ms + self.mean_work_ms(), 0.0), time);
        self.refuse(terms, decision, time.now)
    }

    fn refuse(
        &mut self,
        terms: &TicketTerms,
        decision: AdmissionDecision,
        now: MonoTime,
    ) -> TicketAnswer {
        let AdmissionDecision::Refuse {
            reason,
            retry_after,
            expected_ms,
        } = decision
        else {
            return TicketAnswer::Queued;
        };
        self.returns.note_refusal(terms.work, retry_after, now);
        TicketAnswer::Refused {
            reason,
            retry_after,
            expected_ms: expected_ms + self.mean_work_ms(),
        }
    }

    // Returns how long a request may wait: as long as it can be answered within its objective,
    // but for one work time at least, and never beyond its deadline. While the service is
    // overloaded, a longer queue serves no more requests and makes all of them late.
    fn wait_limit(&self, terms: &TicketTerms) -> Duration {
        let work = Duration::from_secs_f64(self.mean_work_ms() / 1_000.0);
        let own = work.mul_f64(WORK_MARGIN) + ROUND_TRIP;
        let in_objective = terms.objective_left.saturating_sub(own).max(work);
        in_objective.min(terms.time_left.saturating_sub(own))
    }

    fn fastest_ms(&self) -> f64 {
        let known = self.targets.values().filter_map(TargetSlots::work_ms);
        known.fold(f64::INFINITY, f64::min)
    }

    fn mean_work_ms(&self) -> f64 {
        let known: Vec<f64> = self
            .targets
            .values()
            .filter_map(TargetSlots::work_ms)
            .collect();
        if known.is_empty() {
            return FIRST_WORK_MS;
        }
        known.iter().sum::<f64>() / known.len() as f64
    }

    // Requests per millisecond that all targets serve.
    fn capacity_per_ms(&self) -> f64 {
        let mean_ms = self.mean_work_ms();
        let rate = |target: &TargetSlots| {
            f64::from(target.slots.max(1)) / target.work_ms().unwrap_or(mean_ms).max(1.0)
        };
        let capacity: f64 = self.targets.values().map(rate).sum();
        capacity.max(f64::MIN_POSITIVE)
    }
}

fn rate_index(rank: u8, returning: bool) -> usize {
    2 * usize::from(rank).min(RANKS - 1) + usize::from(!returning)
}
