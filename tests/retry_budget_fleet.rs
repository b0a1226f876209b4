//! A fleet whose daemons keep the retry budget together, in virtual time.

use std::time::Duration;

use pistachiowick::gateway::budget::{BudgetRule, RetryLimiter};
use pistachiowick::names::{MonoTime, ServiceName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const RULE: BudgetRule = BudgetRule {
    ratio: 0.2,
    allowance: 54.0,
    window: Duration::from_secs(10),
};
const WINDOW_MS: u64 = 10_000;
const END_MS: u64 = 60_000;
/// Interval at which a daemon brings its budget up to date with its list.
const UPDATE_INTERVAL_MS: u64 = 500;
/// Time for which a daemon that starts finds no record but its own, where that is drawn.
const SHORT_LIST_MS: u64 = 800;

#[derive(Clone, Copy, Eq, PartialEq)]
enum Disruption {
    None,
    // One daemon starts again each second.
    Restarts,
    // Half of the daemons start again every two seconds, the halves by turns.
    HalvesRestart,
    // The whole fleet starts again every 15 s.
    AllRestart,
    // All records but the own one are missing for a second, every 7 s.
    RecordsMissing,
    // A quarter of the daemons stand still for 4 s, every 9 s, with their lists as they were.
    Frozen,
    // Each second a daemon is gone for good and one with another name takes its place.
    Replaced,
    // Requests come in bursts of 3 s, with 9 s of a twentieth of the rate between them.
    Bursts,
}

struct FleetCase {
    daemons: usize,
    // Requests per second, for the whole fleet.
    rate: f64,
    // Share of the requests that two daemons get besides their part.
    uneven: f64,
    // Whether a daemon that starts has a short list.
    short_lists: bool,
    // Share of the sends that fail.
    failing: f64,
    disruption: Disruption,
}

#[derive(Default)]
struct Counts {
    requests: Vec<u64>,
    retries: Vec<u64>,
    wanted: usize,
}

impl Counts {
    // Returns the largest number of retries in a window as a share of the allowed ones.
    fn worst_window(&self) -> f64 {
        let in_window = |times: &[u64], start: u64| {
            let from = times.partition_point(|at| *at < start);
            times.partition_point(|at| *at < start + WINDOW_MS) - from
        };
        let windows = (0..END_MS).step_by(50).map(|start| {
            let starts = [
                Some(start),
                start.checked_sub(WINDOW_MS),
                start.checked_sub(WINDOW_MS / 2),
            ];
            let requests = starts.into_iter().flatten();
            let requests = requests.map(|from| in_window(&self.requests, from)).max();
            let allowed = RULE.ratio * requests.unwrap_or(0) as f64 + RULE.allowance;
            in_window(&self.retries, start) as f64 / allowed
        });
        windows.fold(0.0, f64::max)
    }
}

struct SimulatedDaemon {
    budget: RetryLimiter,
    started: u64,
}

struct SimulatedFleet {
    case: FleetCase,
    daemons: Vec<SimulatedDaemon>,
    // Records in the store; daemons that are gone for good keep theirs for a minute.
    records: usize,
    rng: SmallRng,
    counts: Counts,
}

fn started(now: u64) -> SimulatedDaemon {
    SimulatedDaemon {
        budget: RetryLimiter::new(RULE, MonoTime(now)),
        started: now,
    }
}

impl SimulatedFleet {
    fn new(case: FleetCase) -> Self {
        Self {
            daemons: (0..case.daemons).map(|_| started(0)).collect(),
            records: case.daemons,
            rng: SmallRng::seed_from_u64(11),
            counts: Counts::default(),
            case,
        }
    }

    fn run(&mut self) {
        let service = ServiceName::from("ledger");
        for now in 0..END_MS {
            self.disrupt(now);
            for number in 0..self.daemons.len() {
                if (now + number as u64 * 37).is_multiple_of(UPDATE_INTERVAL_MS) {
                    self.update(number, now);
                }
            }
            let rate = self.rate(now);
            let mut due = rate / 1_000.0;
            while self.rng.random::<f64>() < due {
                due -= 1.0;
                self.request(&service, now);
            }
        }
    }

    fn rate(&self, now: u64) -> f64 {
        match self.case.disruption {
            Disruption::Bursts if now % 12_000 >= 3_000 => self.case.rate / 20.0,
            _ => self.case.rate,
        }
    }

    fn request(&mut self, service: &ServiceName, now: u64) {
        let count = self.daemons.len();
        let number = if self.rng.random_bool(self.case.uneven) {
            self.rng.random_range(0..2)
        } else {
            self.rng.random_range(0..count)
        };
        self.counts.requests.push(now);
        if self.is_frozen(number, now) {
            return;
        }
        self.daemons[number]
            .budget
            .note_request(service, MonoTime(now));
        // Each send that fails asks for another one.
        for _ in 0..8 {
            if !self.rng.random_bool(self.case.failing) {
                return;
            }
            self.counts.wanted += 1;
            self.update(number, now);
            if !self.daemons[number].budget.spend(service, MonoTime(now)) {
                return;
            }
            self.counts.retries.push(now);
        }
    }

    fn update(&mut self, number: usize, now: u64) {
        if self.is_frozen(number, now) {
            return;
        }
        let records = self.records;
        let daemon = &mut self.daemons[number];
        let is_new = self.case.short_lists && now - daemon.started < SHORT_LIST_MS;
        let are_missing =
            self.case.disruption == Disruption::RecordsMissing && now % 7_000 >= 6_000;
        let listed = if is_new || are_missing { 1 } else { records };
        daemon.budget.note_fleet(Some(listed), MonoTime(now));
    }

    fn is_frozen(&self, number: usize, now: u64) -> bool {
        self.case.disruption == Disruption::Frozen
            && number.is_multiple_of(4)
            && now % 9_000 >= 5_000
    }

    fn disrupt(&mut self, now: u64) {
        let count = self.daemons.len();
        match self.case.disruption {
            Disruption::Restarts if now % 1_000 == 500 => {
                self.daemons[(now / 1_000) as usize % count] = started(now);
            }
            Disruption::HalvesRestart if now % 2_000 == 500 => {
                let half = (now / 2_000) as usize % 2;
                for number in (half..count).step_by(2) {
                    self.daemons[number] = started(now);
                }
            }
            Disruption::AllRestart if now % 15_000 == 14_000 => {
                self.daemons = (0..count).map(|_| started(now)).collect();
            }
            Disruption::Replaced if now % 1_000 == 500 => {
                self.daemons[(now / 1_000) as usize % count] = started(now);
                self.records += 1;
            }
            _ => {}
        }
    }
}

const CALM: FleetCase = FleetCase {
    daemons: 3,
    rate: 8.0,
    uneven: 0.0,
    short_lists: false,
    failing: 1.0,
    disruption: Disruption::None,
};

// Guards against retries beyond the fleet's budget over restarts, short lists of daemons and
// records that are missing for a time.
#[rstest]
#[case::calm(CALM)]
#[case::restarts(FleetCase { disruption: Disruption::Restarts, ..CALM })]
#[case::restarts_of_8(FleetCase { daemons: 8, disruption: Disruption::Restarts, short_lists: true, ..CALM })]
#[case::halves_restart(FleetCase { daemons: 7, rate: 190.0, disruption: Disruption::HalvesRestart, ..CALM })]
#[case::halves_restart_with_short_lists(FleetCase { daemons: 7, rate: 190.0, short_lists: true, disruption: Disruption::HalvesRestart, ..CALM })]
#[case::all_restart(FleetCase { daemons: 8, short_lists: true, disruption: Disruption::AllRestart, ..CALM })]
#[case::all_of_300_restart(FleetCase { daemons: 300, rate: 600.0, short_lists: true, disruption: Disruption::AllRestart, ..CALM })]
#[case::restarts_of_69(FleetCase { daemons: 69, rate: 100.0, short_lists: true, disruption: Disruption::Restarts, ..CALM })]
#[case::restarts_of_300(FleetCase { daemons: 300, rate: 100.0, short_lists: true, disruption: Disruption::HalvesRestart, ..CALM })]
#[case::records_missing(FleetCase { daemons: 8, disruption: Disruption::RecordsMissing, ..CALM })]
#[case::records_of_300_missing(FleetCase { daemons: 300, rate: 600.0, disruption: Disruption::RecordsMissing, ..CALM })]
#[case::frozen(FleetCase { daemons: 8, disruption: Disruption::Frozen, ..CALM })]
#[case::replaced(FleetCase { daemons: 8, rate: 30.0, disruption: Disruption::Replaced, ..CALM })]
#[case::bursts(FleetCase { daemons: 8, rate: 100.0, disruption: Disruption::Bursts, ..CALM })]
#[case::two_busy_daemons(FleetCase { daemons: 8, rate: 60.0, uneven: 0.8, disruption: Disruption::Restarts, ..CALM })]
fn retries_of_a_fleet_stay_within_the_budget(#[case] case: FleetCase) {
    let mut fleet = SimulatedFleet::new(case);
    fleet.run();
    assert!(!fleet.counts.retries.is_empty(), "nothing was retried");
    let worst = fleet.counts.worst_window();
    assert!(
        worst <= 1.0,
        "{worst:.2} of the allowed retries in a window"
    );
}

// The budget exists to be used: callers whose targets fail now and then get their retry.
#[rstest]
#[case::of_3(FleetCase { failing: 0.1, rate: 30.0, ..CALM })]
#[case::of_8(FleetCase { daemons: 8, failing: 0.1, rate: 100.0, ..CALM })]
#[case::of_8_with_restarts(FleetCase { daemons: 8, failing: 0.1, rate: 100.0, disruption: Disruption::Restarts, ..CALM })]
#[case::of_69(FleetCase { daemons: 69, failing: 0.1, rate: 700.0, ..CALM })]
#[case::of_300(FleetCase { daemons: 300, failing: 0.1, rate: 6_000.0, ..CALM })]
fn most_wanted_retries_are_granted_while_a_tenth_fails(#[case] case: FleetCase) {
    let mut fleet = SimulatedFleet::new(case);
    fleet.run();
    let counts = &fleet.counts;
    let granted = counts.retries.len() as f64 / counts.wanted as f64;
    println!("{granted:.3} of the wanted retries granted");
    assert!(granted >= 0.5, "{granted:.2} of the wanted retries granted");
}
