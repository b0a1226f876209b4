//! Tracks which targets limit the rate of their requests, and takes the turns of this daemon.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::broadcast_schedule::BroadcastSchedule;
use crate::names::{DaemonId, MonoTime};
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::message_delays::{MessageDelays, ReportSender};
use crate::target_limits::report::LimitReport;
use crate::target_limits::statement::{RateStatement, RequestRate};
use crate::target_limits::turns::{ClockMs, TurnSchedule, TurnSeat};

/// Time for which the end of a limit is remembered, so that an older report of a peer does not
/// start it again.
const ENDED_RETENTION: Duration = Duration::from_secs(10);
/// Smallest change of a limit's origin that is passed on to other daemons, in milliseconds.
const ORIGIN_TOLERANCE_MS: f64 = 20.0;
/// Factor that spreads multiples of any interval over a range: the golden ratio.
const SPREAD: f64 = 1.618_034;
/// Longest time after which a refused caller is told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// The same from a daemon that has just started and does not know its turns yet; others do.
const UNKNOWN_SEAT_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct TargetLimit {
    rate: RequestRate,
    // When the first turn began: when the first daemon learned of the limit.
    origin: ClockMs,
    // When this daemon learned of the limit; earlier turns are not used.
    learned_at: ClockMs,
    // When the newest answer arrived that names the limit.
    stated_at: ClockMs,
    // Start of the last turn taken by this daemon.
    last_turn: Option<ClockMs>,
    // Start of the last turn that a refused caller was told to come back for.
    last_promised: Option<ClockMs>,
}

impl TargetLimit {
    fn schedule(&self, seat: TurnSeat) -> TurnSchedule {
        TurnSchedule::new(self.rate, self.origin, seat)
    }

    fn next_turn(&self, seat: TurnSeat, now: ClockMs) -> ClockMs {
        let schedule = self.schedule(seat);
        let unexpired = now - schedule.validity_ms();
        // The request whose answer made the limit known counts as the first one.
        let unused = self
            .last_turn
            .map_or(self.learned_at + schedule.interval_ms(), |last| {
                schedule.earliest_after(last)
            });
        schedule.first_from(unexpired.max(unused))
    }
}

#[derive(Clone, Copy, Debug)]
struct EndedLimit {
    // When the request was sent whose answer no longer names the limit.
    stated_at: ClockMs,
    learned_at: MonoTime,
}

/// A change of what is known about a target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The target now limits the rate of its requests.
    Started(RequestRate),
    /// The target has changed its limit.
    Changed(RequestRate),
    /// The target no longer limits its requests.
    Ended,
    /// The target names a limit that cannot be read; reported once per incarnation.
    Unreadable,
}

/// How a request may use a turn.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TurnTerms {
    /// Time for which a turn is kept for more urgent requests.
    pub kept_for_urgent: Duration,
    /// Longest wait for the next turn.
    pub max_wait: Duration,
}

/// When this daemon may send the next request to a target that limits its requests, or refuses
/// them for a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TurnOffer {
    /// Time until it can be used.
    pub wait: Duration,
    /// Share of its validity that has passed, 0 to 1.
    pub age: f64,
}

impl TurnOffer {
    /// A request can be sent now.
    pub const NOW: Self = Self {
        wait: Duration::ZERO,
        age: 0.0,
    };
    /// No turn is known.
    pub const NEVER: Self = Self {
        wait: Duration::MAX,
        age: 0.0,
    };
}

/// Offers at the targets that limit or refuse requests; the others need none.
pub type TurnOffers = IndexMap<TargetIncarnation, TurnOffer>;

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TurnOutcome {
    /// The target does not limit its requests.
    NotNeeded,
    /// A turn was taken, which can be used after this time.
    Taken(Duration),
    /// There is no turn in time.
    Denied,
}

/// Tracks which targets limit the rate of their requests.
#[derive(Clone, Debug, Default)]
pub struct LimitTracker {
    limits: IndexMap<TargetIncarnation, TargetLimit>,
    ended: IndexMap<TargetIncarnation, EndedLimit>,
    unreadable: IndexSet<TargetIncarnation>,
    broadcasts: BroadcastSchedule<TargetIncarnation>,
    delays: MessageDelays,
}

impl LimitTracker {
    /// Applies what an answer to a request sent at `sent` states about its target.
    ///
    /// A limit ends with an answer that does not name it, to a request that was sent after the
    /// newest answer that names it had arrived. Earlier requests may have been answered before
    /// the target named it. A limit that cannot be read changes nothing.
    pub fn note_answer(
        &mut self,
        target: &TargetIncarnation,
        statement: &RateStatement,
        sent: MonoTime,
        now: MonoTime,
    ) -> Option<LimitChange> {
        let change = match statement {
            RateStatement::Limited(rate) => {
                let now = clock_ms(now);
                self.start_or_change(target, *rate, (now, now), now)
            }
            RateStatement::Unlimited => self.end(target, clock_ms(sent), now),
            RateStatement::Unreadable(_) => {
                let is_first = self.unreadable.insert(target.clone());
                return is_first.then_some(LimitChange::Unreadable);
            }
        };
        if change.is_some() {
            self.broadcasts.schedule(target.clone(), now);
        }
        change
    }

    /// Applies the reports in a message of another daemon; returns the changes,
    /// which are passed on to other daemons. A daemon that has just started is told all limits.
    pub fn apply_message(
        &mut self,
        sender: ReportSender<'_>,
        reports: &[LimitReport],
        now: MonoTime,
    ) -> Vec<(TargetIncarnation, LimitChange)> {
        let delay = self.delays.record(sender, now);
        if delay.is_none() {
            self.announce_all(now);
        }
        let changes = reports.iter().filter_map(|report| {
            let delay = delay.unwrap_or_default();
            let change = self.apply_report(report, delay, now)?;
            Some((report.target.clone(), change))
        });
        changes.collect()
    }

    /// Schedules the reports of all limits, for a daemon that may not know them.
    pub fn announce_all(&mut self, now: MonoTime) {
        for target in self.limits.keys() {
            self.broadcasts.schedule(target.clone(), now);
        }
    }

    fn apply_report(
        &mut self,
        report: &LimitReport,
        delay: Duration,
        now: MonoTime,
    ) -> Option<LimitChange> {
        let sent = clock_ms(now) - millis_of(delay);
        let stated_at = sent - report.stated_age_ms;
        let target = &report.target;
        if self.knows_newer(target, stated_at) {
            // The sender does not know it yet.
            self.broadcasts.schedule(target.clone(), now);
            return None;
        }
        let Some(rate) = report.rate else {
            let change = self.end(target, stated_at, now);
            // Where the limit was named again since, the sender does not know it yet.
            if change.is_some() || self.limits.contains_key(target) {
                self.broadcasts.schedule(target.clone(), now);
            }
            return change;
        };
        let origin = sent - report.origin_age_ms;
        let known_origin = self.limits.get(target).map(|limit| limit.origin);
        let change = self.start_or_change(target, rate, (origin, stated_at), clock_ms(now));
        let is_earlier = known_origin.is_some_and(|known| known - origin > ORIGIN_TOLERANCE_MS);
        if change.is_some() || is_earlier {
            self.broadcasts.schedule(target.clone(), now);
        }
        change
    }

    /// Returns whether a change has not been sent to other daemons yet.
    #[must_use]
    pub fn has_unsent(&self, now: MonoTime) -> bool {
        self.broadcasts.has_unsent(now)
    }

    /// Returns the reports that go into a message to other daemons now.
    pub fn due_reports(&mut self, now: MonoTime) -> Vec<LimitReport> {
        let eligible: Vec<TargetIncarnation> = self
            .limits
            .keys()
            .chain(self.ended.keys())
            .cloned()
            .collect();
        let due = self.broadcasts.select_due(&eligible, now);
        let reports = due.iter().filter_map(|target| self.report(target, now));
        reports.collect()
    }

    /// Returns the limit of a target.
    #[must_use]
    pub fn rate(&self, target: &TargetIncarnation) -> Option<RequestRate> {
        self.limits.get(target).map(|limit| limit.rate)
    }

    /// Returns the number of targets with a limit.
    #[must_use]
    pub fn count(&self) -> usize {
        self.limits.len()
    }

    /// Returns the next turn at a target; `None` if the target does not limit its requests.
    /// Without a seat there is no turn.
    #[must_use]
    pub fn offer(
        &self,
        target: &TargetIncarnation,
        seat: Option<TurnSeat>,
        kept_for_urgent: Duration,
        now: MonoTime,
    ) -> Option<TurnOffer> {
        let limit = self.limits.get(target)?;
        let Some(seat) = seat else {
            return Some(TurnOffer::NEVER);
        };
        let now = clock_ms(now);
        let start = limit.next_turn(seat, now);
        let schedule = limit.schedule(seat);
        Some(turn_offer(&schedule, start, kept_for_urgent, now))
    }

    /// Returns the next turns at all targets that limit the rate of their requests.
    #[must_use]
    pub fn offers(&self, seat: Option<TurnSeat>, now: MonoTime) -> TurnOffers {
        let offer = |target| self.offer(target, seat, Duration::ZERO, now);
        let targets = self.limits.keys();
        let offers = targets.filter_map(|target| Some((target.clone(), offer(target)?)));
        offers.collect()
    }

    /// Returns the next turn of another daemon at a target, whether or not it has used it;
    /// `None` if the target does not limit its requests.
    #[must_use]
    pub fn scheduled_offer(
        &self,
        target: &TargetIncarnation,
        seat: Option<TurnSeat>,
        now: MonoTime,
    ) -> Option<TurnOffer> {
        let limit = self.limits.get(target)?;
        let Some(seat) = seat else {
            return Some(TurnOffer::NEVER);
        };
        let now = clock_ms(now);
        let schedule = limit.schedule(seat);
        let start = schedule.first_from(now - schedule.validity_ms());
        Some(turn_offer(&schedule, start, Duration::ZERO, now))
    }

    /// Takes the next turn at a target, if it can be used within the terms.
    pub fn take_turn(
        &mut self,
        target: &TargetIncarnation,
        seat: Option<TurnSeat>,
        terms: TurnTerms,
        now: MonoTime,
    ) -> TurnOutcome {
        let Some(offer) = self.offer(target, seat, terms.kept_for_urgent, now) else {
            return TurnOutcome::NotNeeded;
        };
        if offer.wait > terms.max_wait {
            return TurnOutcome::Denied;
        }
        if let (Some(limit), Some(seat)) = (self.limits.get_mut(target), seat) {
            limit.last_turn = Some(limit.next_turn(seat, clock_ms(now)));
        }
        TurnOutcome::Taken(offer.wait)
    }

    /// Returns the time after which a refused caller should come back: each is told another
    /// one of this daemon's coming turns at one of the targets. `None` if none of them limits
    /// its requests.
    pub fn retry_after<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a TargetIncarnation>,
        seat: Option<TurnSeat>,
        now: MonoTime,
    ) -> Option<Duration> {
        let now = clock_ms(now);
        let limited = targets.filter(|target| self.limits.contains_key(*target));
        let limited: Vec<&TargetIncarnation> = limited.collect();
        if limited.is_empty() {
            return None;
        }
        let Some(seat) = seat else {
            return Some(UNKNOWN_SEAT_RETRY_AFTER);
        };
        let next = |limit: &TargetLimit| {
            let schedule = limit.schedule(seat);
            let promised = limit
                .last_promised
                .map(|last| schedule.earliest_after(last));
            schedule.first_from(limit.next_turn(seat, now).max(promised.unwrap_or(now)))
        };
        let starts = limited.iter().filter_map(|target| {
            let limit = self.limits.get(*target)?;
            Some((next(limit), *target))
        });
        let (start, target) = starts.min_by(|a, b| a.0.total_cmp(&b.0))?;
        if let Some(limit) = self.limits.get_mut(target) {
            limit.last_promised = Some(start);
        }
        let wait_ms = (start - now).max(0.0);
        let max_ms = millis_of(MAX_RETRY_AFTER);
        if wait_ms <= max_ms {
            return Some(span_of(wait_ms));
        }
        // Callers come back to any daemon, and in a large fleet a daemon's own turns are
        // minutes apart.
        Some(span_of(wait_ms * SPREAD % max_ms))
    }

    /// Drops what is known of targets and daemons that are gone, and old ends of limits.
    pub fn sweep(
        &mut self,
        is_target: impl Fn(&TargetIncarnation) -> bool,
        is_daemon: impl Fn(&DaemonId) -> bool,
        now: MonoTime,
    ) {
        self.limits.retain(|target, _| is_target(target));
        self.unreadable.retain(&is_target);
        self.delays.retain(is_daemon);
        self.ended
            .retain(|_, ended| now.since(ended.learned_at) < ENDED_RETENTION);
    }

    fn start_or_change(
        &mut self,
        target: &TargetIncarnation,
        rate: RequestRate,
        (origin, stated_at): (ClockMs, ClockMs),
        now: ClockMs,
    ) -> Option<LimitChange> {
        self.ended.swap_remove(target);
        let Some(limit) = self.limits.get_mut(target) else {
            let limit = TargetLimit {
                rate,
                origin,
                learned_at: now,
                stated_at,
                last_turn: None,
                last_promised: None,
            };
            self.limits.insert(target.clone(), limit);
            return Some(LimitChange::Started(rate));
        };
        limit.origin = limit.origin.min(origin);
        if stated_at < limit.stated_at {
            return None;
        }
        limit.stated_at = stated_at;
        let before = std::mem::replace(&mut limit.rate, rate);
        (before != rate).then_some(LimitChange::Changed(rate))
    }

    fn end(
        &mut self,
        target: &TargetIncarnation,
        stated_at: ClockMs,
        now: MonoTime,
    ) -> Option<LimitChange> {
        let limit = self.limits.get(target)?;
        if stated_at <= limit.stated_at {
            return None;
        }
        self.limits.swap_remove(target);
        let ended = EndedLimit {
            stated_at,
            learned_at: now,
        };
        self.ended.insert(target.clone(), ended);
        Some(LimitChange::Ended)
    }

    fn knows_newer(&self, target: &TargetIncarnation, stated_at: ClockMs) -> bool {
        let ended = self.ended.get(target);
        ended.is_some_and(|ended| ended.stated_at > stated_at)
    }

    fn report(&self, target: &TargetIncarnation, now: MonoTime) -> Option<LimitReport> {
        let now = clock_ms(now);
        let limit = self.limits.get(target);
        let limit = limit.map(|limit| (Some(limit.rate), limit.origin, limit.stated_at));
        let ended = self.ended.get(target);
        let ended = ended.map(|ended| (None, ended.stated_at, ended.stated_at));
        let (rate, origin, stated_at) = limit.or(ended)?;
        Some(LimitReport {
            target: target.clone(),
            rate,
            origin_age_ms: now - origin,
            stated_age_ms: now - stated_at,
        })
    }
}

fn turn_offer(
    schedule: &TurnSchedule,
    start: ClockMs,
    kept_for_urgent: Duration,
    now: ClockMs,
) -> TurnOffer {
    TurnOffer {
        wait: span_of(start + millis_of(kept_for_urgent) - now),
        age: ((now - start) / schedule.validity_ms()).clamp(0.0, 1.0),
    }
}

fn clock_ms(at: MonoTime) -> ClockMs {
    at.0 as f64
}

fn millis_of(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

// Returns zero for negative spans.
fn span_of(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}
