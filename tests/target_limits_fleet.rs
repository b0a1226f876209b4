//! A fleet whose daemons keep a target's limit together, in virtual time.

use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;

use pistachiowick::names::{DaemonId, MonoTime};
use pistachiowick::target_incarnation::TargetIncarnation;
use pistachiowick::target_limits::message_delays::ReportSender;
use pistachiowick::target_limits::report::LimitReport;
use pistachiowick::target_limits::statement::{RateStatement, RequestRate};
use pistachiowick::target_limits::tracker::{LimitTracker, TurnOutcome, TurnTerms};
use pistachiowick::target_limits::turns::TurnSeat;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Bounds that users rely on: from this time after a limit is first named, its target gets in
/// any window at most this multiple of what the limit allows, and some requests more.
const PROPAGATION_MS: u64 = 3_000;
const WINDOW_MS: u64 = 4_000;
const MAX_EXCESS: f64 = 1.5;
const ALLOWANCE: f64 = 5.0;
/// Share of the limit that callers get to use while they ask for more.
const MIN_USE: f64 = 0.7;
/// Interval between messages of a daemon.
const MESSAGE_INTERVAL_MS: u64 = 200;
/// Interval at which changes are sent in addition.
const NEWS_INTERVAL_MS: u64 = 40;
/// Time until peers have a link to a daemon that has restarted.
const RELINK_MS: u64 = 50;

fn target() -> TargetIncarnation {
    TargetIncarnation::from("t1")
}

fn at(ms: u64) -> MonoTime {
    MonoTime(ms)
}

fn limited(rate: f64) -> RateStatement {
    RateStatement::Limited(RequestRate::new(rate).expect("a rate"))
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Disruption {
    None,
    // From before the limit is named, the halves of the fleet do not hear of each other.
    Halved,
    // Daemons restart, one each second, and know nothing.
    Restarts,
    // A quarter of the daemons hear nothing for a while, and then everything at once.
    Frozen,
    // The target names another limit half-way.
    RateChanges,
    // The target names a slightly different limit in each answer.
    RateVaries,
}

struct FleetCase {
    daemons: usize,
    rate: f64,
    // Requests per second and daemon that could be sent to the target.
    demand: f64,
    disruption: Disruption,
}

struct FleetMessage {
    // Sender and its incarnation.
    from: (usize, u64),
    to: usize,
    sent: u64,
    reports: Rc<Vec<LimitReport>>,
}

struct PendingAnswer {
    daemon: usize,
    sent: u64,
    statement: RateStatement,
}

/// A fleet of trackers whose messages and answers are delayed.
struct SimulatedFleet {
    case: FleetCase,
    trackers: Vec<LimitTracker>,
    names: Vec<DaemonId>,
    incarnations: Vec<u64>,
    // Restarted daemons, and when peers have links to them again.
    relinked: Vec<(u64, usize)>,
    // Messages and answers by the time at which they arrive.
    messages: BTreeMap<u64, Vec<FleetMessage>>,
    answers: BTreeMap<u64, Vec<PendingAnswer>>,
    rng: SmallRng,
    arrivals: Vec<u64>,
    first_named: Option<u64>,
}

/// Size of a data centre with a hub, and of the largest fleet without hubs.
const GROUP_SIZE: usize = 16;
const NAMED_FROM_MS: u64 = 1_000;
const CHANGED_FROM_MS: u64 = 15_000;
const END_MS: u64 = 40_000;
const FROZEN_MS: Range<u64> = 900..8_000;

impl SimulatedFleet {
    fn new(case: FleetCase) -> Self {
        Self {
            trackers: vec![LimitTracker::default(); case.daemons],
            names: (0..case.daemons)
                .map(|number| DaemonId::from(format!("node-{number:03}")))
                .collect(),
            incarnations: vec![0; case.daemons],
            relinked: Vec::new(),
            case,
            messages: BTreeMap::new(),
            answers: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(7),
            arrivals: Vec::new(),
            first_named: None,
        }
    }

    fn run(&mut self, times: Range<u64>) {
        for now in times {
            self.deliver(now);
            for (_, daemon) in self
                .relinked
                .extract_if(.., |(at, _)| *at == now)
                .collect::<Vec<_>>()
            {
                for peer in self.linked(daemon) {
                    self.trackers[peer].announce_all(at(now));
                }
            }
            if self.case.disruption == Disruption::Restarts && now % 1_000 == 500 {
                self.restart((now / 1_000) as usize % self.case.daemons, now);
            }
            for daemon in 0..self.case.daemons {
                // Not all daemons send at the same moment.
                let shifted = now + daemon as u64 * 37;
                let is_due = shifted.is_multiple_of(MESSAGE_INTERVAL_MS);
                let has_news = || self.trackers[daemon].has_unsent(at(now));
                if is_due || shifted.is_multiple_of(NEWS_INTERVAL_MS) && has_news() {
                    self.broadcast(daemon, now);
                }
                if self.rng.random_bool(self.case.demand / 1_000.0) {
                    self.try_send(daemon, now);
                }
            }
        }
    }

    fn is_frozen(&self, daemon: usize, now: u64) -> bool {
        self.case.disruption == Disruption::Frozen
            && daemon.is_multiple_of(4)
            && FROZEN_MS.contains(&now)
    }

    fn restart(&mut self, daemon: usize, now: u64) {
        self.trackers[daemon] = LimitTracker::default();
        self.incarnations[daemon] += 1;
        self.relinked.push((now + RELINK_MS, daemon));
    }

    fn statement(&self, now: u64) -> RateStatement {
        let changes = self.case.disruption == Disruption::RateChanges;
        match now {
            0..NAMED_FROM_MS => RateStatement::Unlimited,
            CHANGED_FROM_MS.. if changes => limited(self.case.rate / 2.0),
            _ if self.case.disruption == Disruption::RateVaries => {
                limited(self.case.rate * (1.0 - (now % 7) as f64 / 50.0))
            }
            _ => limited(self.case.rate),
        }
    }

    fn try_send(&mut self, daemon: usize, now: u64) {
        if self.is_frozen(daemon, now) {
            return;
        }
        let own = Some(TurnSeat {
            index: daemon,
            count: self.case.daemons,
        });
        if self.trackers[daemon].take_turn(&target(), own, TurnTerms::default(), at(now))
            == TurnOutcome::Denied
        {
            return;
        }
        let arrives = now + self.rng.random_range(1..5);
        self.arrivals.push(arrives);
        let statement = self.statement(arrives);
        if statement != RateStatement::Unlimited {
            self.first_named.get_or_insert(arrives);
        }
        let arrives = arrives + self.rng.random_range(5..400);
        self.answers
            .entry(arrives)
            .or_default()
            .push(PendingAnswer {
                daemon,
                sent: now,
                statement,
            });
    }

    fn broadcast(&mut self, daemon: usize, now: u64) {
        if self.is_frozen(daemon, now) {
            return;
        }
        let reports = self.trackers[daemon].due_reports(at(now));
        let reports = Rc::new(reports);
        for to in self.linked(daemon) {
            let mut arrives = now + self.rng.random_range(1..20);
            if self.is_frozen(to, arrives) {
                arrives = FROZEN_MS.end;
            }
            let message = FleetMessage {
                from: (daemon, self.incarnations[daemon]),
                to,
                sent: now,
                reports: reports.clone(),
            };
            self.messages.entry(arrives).or_default().push(message);
        }
    }

    fn linked(&self, daemon: usize) -> Vec<usize> {
        let others = 0..self.case.daemons;
        others.filter(|to| self.has_link(daemon, *to)).collect()
    }

    // Small fleets are a full mesh. In larger ones, the first daemon of each group has links
    // to its members and to the first ones of the other groups.
    fn has_link(&self, from: usize, to: usize) -> bool {
        let is_cut = self.case.disruption == Disruption::Halved && (from + to) % 2 == 1;
        let is_mesh = self.case.daemons <= GROUP_SIZE;
        let same_group = from / GROUP_SIZE == to / GROUP_SIZE;
        let hubs = [from, to].map(|daemon| daemon % GROUP_SIZE == 0);
        let is_linked = match hubs {
            [true, true] => true,
            [false, false] => is_mesh,
            _ => same_group,
        };
        from != to && !is_cut && is_linked
    }

    fn deliver(&mut self, now: u64) {
        for message in self.messages.remove(&now).unwrap_or_default() {
            let (from, incarnation) = message.from;
            let sender = ReportSender {
                daemon: &self.names[from],
                incarnation,
                clock: at(message.sent),
            };
            let tracker = &mut self.trackers[message.to];
            tracker.apply_message(sender, &message.reports, at(now));
        }
        for answer in self.answers.remove(&now).unwrap_or_default() {
            let tracker = &mut self.trackers[answer.daemon];
            tracker.note_answer(&target(), &answer.statement, at(answer.sent), at(now));
        }
    }

    fn most_in_window(&self, from: u64) -> usize {
        let starts = self.arrivals.iter().filter(|start| **start >= from);
        let counts = starts.map(|start| {
            let window = *start..*start + WINDOW_MS;
            self.arrivals
                .iter()
                .filter(|at| window.contains(at))
                .count()
        });
        counts.max().unwrap_or(0)
    }
}

const SMALL: FleetCase = FleetCase {
    daemons: 8,
    rate: 1.3,
    demand: 5.0,
    disruption: Disruption::None,
};

// Guards against a fleet that passes a target's limit although each daemon keeps its own
// share, and against shares that lie unused.
#[rstest]
#[case::small(SMALL)]
#[case::small_low(FleetCase { rate: 0.3, ..SMALL })]
#[case::small_high(FleetCase { rate: 20.0, ..SMALL })]
#[case::small_halved(FleetCase { disruption: Disruption::Halved, ..SMALL })]
#[case::small_restarts(FleetCase { disruption: Disruption::Restarts, ..SMALL })]
#[case::small_frozen(FleetCase { disruption: Disruption::Frozen, ..SMALL })]
#[case::small_changes(FleetCase { rate: 4.0, disruption: Disruption::RateChanges, ..SMALL })]
#[case::medium(FleetCase { daemons: 69, demand: 2.0, ..SMALL })]
#[case::medium_halved(FleetCase { daemons: 69, demand: 2.0, disruption: Disruption::Halved, ..SMALL })]
#[case::medium_frozen(FleetCase { daemons: 69, demand: 2.0, disruption: Disruption::Frozen, ..SMALL })]
#[case::large(FleetCase { daemons: 300, demand: 2.0, ..SMALL })]
#[case::large_low(FleetCase { daemons: 300, demand: 2.0, rate: 0.3, ..SMALL })]
#[case::large_halved(FleetCase { daemons: 300, demand: 2.0, disruption: Disruption::Halved, ..SMALL })]
#[case::large_restarts(FleetCase { daemons: 300, demand: 2.0, disruption: Disruption::Restarts, ..SMALL })]
#[case::large_changes(FleetCase { daemons: 300, demand: 2.0, rate: 4.0, disruption: Disruption::RateChanges })]
#[case::small_varies(FleetCase { disruption: Disruption::RateVaries, ..SMALL })]
#[case::medium_varies(FleetCase { daemons: 69, demand: 2.0, disruption: Disruption::RateVaries, ..SMALL })]
#[case::large_varies(FleetCase { daemons: 300, demand: 2.0, disruption: Disruption::RateVaries, ..SMALL })]
fn the_fleet_keeps_a_limit_and_uses_it(#[case] case: FleetCase) {
    let rate = case.rate;
    let mut fleet = SimulatedFleet::new(case);
    fleet.run(0..END_MS);
    let from = fleet.first_named.expect("the limit is named") + PROPAGATION_MS;
    let most = fleet.most_in_window(from) as f64;
    let allowed = MAX_EXCESS * rate * WINDOW_MS as f64 / 1_000.0 + ALLOWANCE;
    assert!(most <= allowed, "{most} in a window, {allowed} are allowed");
    if matches!(fleet.case.disruption, Disruption::None | Disruption::Halved) {
        let seconds = (END_MS - from) as f64 / 1_000.0;
        let used = fleet.arrivals.iter().filter(|at| **at >= from).count() as f64;
        let share = used / (rate * seconds);
        assert!(share >= MIN_USE, "{share:.2} of the limit is used");
    }
}

// Guards against daemons that send beyond a limit because only others got answers that name
// it, and against some that keep it after its end.
#[rstest]
#[case::small(8)]
#[case::medium(69)]
#[case::large(300)]
fn a_limit_and_its_end_reach_each_daemon(#[case] daemons: usize) {
    let mut fleet = SimulatedFleet::new(FleetCase {
        daemons,
        demand: 0.0,
        ..SMALL
    });
    // The last daemon is a member of the last hub, if there are hubs.
    let (first, second) = (daemons - 1, daemons / 2);
    fleet.run(0..1_000);
    fleet.trackers[first].note_answer(&target(), &limited(1.3), at(900), at(1_000));
    fleet.run(1_000..2_000);
    let known = |fleet: &SimulatedFleet| {
        let trackers = fleet.trackers.iter();
        trackers
            .filter(|tracker| tracker.rate(&target()).is_some())
            .count()
    };
    assert_eq!(known(&fleet), daemons);
    let unlimited = RateStatement::Unlimited;
    fleet.trackers[second].note_answer(&target(), &unlimited, at(1_950), at(2_000));
    fleet.run(2_000..3_000);
    assert_eq!(known(&fleet), 0);
}
