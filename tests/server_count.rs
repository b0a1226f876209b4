//! Number of servers by measured demand, in virtual time.

use std::time::Duration;

use pistachiowick::gateway::deciding::stage_plan::ServiceTime;
use pistachiowick::gateway::fleet_tasks::demand_plan::{
    DemandPlanner, OrderResult, ServerKind, ServerSituation, needed_engines,
};
use pistachiowick::gateway::fleet_tasks::server_plan::CentreTargets;
use pistachiowick::gateway::model::ScalingRule;
use pistachiowick::names::{CentreName, MonoTime, ServiceName};
use rstest::rstest;

/// Interval between checks for due orders.
const TICK: u64 = 250;
/// Time from an order until a server is registered.
const BOOT: u64 = 4_200;
const PRICES: [(&str, f64); 3] = [("a", 1.0), ("b", 0.8), ("c", 1.25)];

/// Servers of a data centre: serving, ordered, and when servers that were ordered serve.
#[derive(Clone, Copy, Debug, Default)]
struct Pool {
    serving: u32,
    starting: Option<(u64, u32)>,
}

/// A platform with three data centres that carries out the planner's orders.
struct World {
    planner: DemandPlanner,
    rule: ScalingRule,
    /// On-demand and reclaimable servers by data centre.
    pools: [[Pool; 2]; 3],
    /// Whether a data centre has reclaimable servers.
    available: [bool; 3],
    takes_over: bool,
    provided: u32,
    now: u64,
    calls: Vec<(u64, ServerKind, u32)>,
    refusals: u32,
    /// Price of all server seconds.
    cost: f64,
}

impl World {
    fn new() -> Self {
        Self::with_provided(90)
    }

    /// Starts with on-demand servers; each data centre may have twice as many.
    fn with_provided(count: u32) -> Self {
        let provided = Pool {
            serving: count / 3,
            starting: None,
        };
        Self {
            planner: DemandPlanner::default(),
            rule: ScalingRule {
                min_per_centre: 1,
                max_per_centre: count / 3 * 2,
                boot_time: Duration::from_secs(4),
                reclaimable_price: Some(0.18),
                centre_prices: PRICES
                    .map(|(centre, price)| (CentreName::from(centre), price))
                    .into(),
            },
            pools: [[provided, Pool::default()]; 3],
            available: [true; 3],
            takes_over: false,
            provided: count,
            now: 0,
            calls: Vec::new(),
            refusals: 0,
            cost: 0.0,
        }
    }

    fn now(&self) -> MonoTime {
        MonoTime(self.now)
    }

    fn centres(&self) -> Vec<CentreTargets> {
        let all = PRICES.iter().zip(&self.pools);
        all.map(
            |((centre, price), [on_demand, reclaimable])| CentreTargets {
                centre: CentreName::from(*centre),
                price: *price,
                on_demand: on_demand.serving,
                reclaimable: reclaimable.serving,
                expected_reclaimable: 0,
            },
        )
        .collect()
    }

    fn serving(&self) -> u32 {
        self.pools.iter().flatten().map(|pool| pool.serving).sum()
    }

    fn reclaimable(&self) -> u32 {
        self.pools.iter().map(|pools| pools[1].serving).sum()
    }

    fn on_demand(&self) -> u32 {
        self.pools.iter().map(|pools| pools[0].serving).sum()
    }

    fn carry_out(&mut self, kind: &ServerKind, count: u32) -> OrderResult {
        let index = PRICES.iter().position(|(c, _)| *c == kind.centre.as_str());
        let index = index.unwrap();
        let pool = &mut self.pools[index][usize::from(kind.reclaimable)];
        if count <= pool.serving {
            *pool = Pool {
                serving: count,
                starting: None,
            };
            return OrderResult::Accepted;
        }
        if kind.reclaimable && !self.available[index] {
            self.refusals += 1;
            return OrderResult::Unavailable;
        }
        pool.starting = Some((self.now + BOOT, count));
        OrderResult::Accepted
    }

    /// Runs for a time with a demand of `demand(now)` servers, with at most one order per tick.
    fn run(&mut self, time_ms: u64, demand: impl Fn(u64) -> f64) {
        let end = self.now + time_ms;
        while self.now < end {
            for pool in self.pools.iter_mut().flatten() {
                if let Some((_, count)) = pool.starting.filter(|(at, _)| *at <= self.now) {
                    pool.serving = count;
                    pool.starting = None;
                }
            }
            self.planner.peak.observe(demand(self.now), self.now());
            let centres = self.centres();
            let situation = ServerSituation {
                rule: &self.rule,
                provided: self.provided,
                recorded: true,
                takes_over: self.takes_over,
                centres: &centres,
            };
            let now = MonoTime(self.now);
            if let Some((kind, count)) = self.planner.next_order(&situation, now) {
                let result = self.carry_out(&kind, count);
                self.planner.note_result((kind.clone(), count), result, now);
                self.calls.push((self.now, kind, count));
            }
            let seconds = TICK as f64 / 1_000.0;
            for ((_, price), [on_demand, reclaimable]) in PRICES.iter().zip(&self.pools) {
                let count = f64::from(on_demand.serving) + 0.18 * f64::from(reclaimable.serving);
                self.cost += count * price * seconds;
            }
            for [on_demand, reclaimable] in &self.pools {
                assert!(on_demand.serving + reclaimable.serving <= self.rule.max_per_centre);
            }
            self.now += TICK;
        }
    }

    /// Loses all reclaimable servers of a data centre for as long as it has none available.
    fn reclaim(&mut self, index: usize) {
        self.available[index] = false;
        self.pools[index][1] = Pool::default();
    }
}

fn steady(servers: f64) -> impl Fn(u64) -> f64 {
    move |_| servers
}

// Server seconds of the start: all reclaimable servers are ordered within three calls, and each
// data centre releases its on-demand servers in one call once these serve.
#[test]
fn start_takes_one_order_per_centre_and_kind() {
    let mut world = World::new();
    world.run(6_000, steady(0.0));
    assert_eq!(world.calls.len(), 6, "{:?}", world.calls);
    assert_eq!((world.on_demand(), world.reclaimable()), (3, 87));
    assert!(
        world.calls[..3]
            .iter()
            .all(|(at, kind, _)| *at <= 500 && kind.reclaimable)
    );
}

struct DemandCase {
    /// Servers that the demand needs.
    demand: f64,
    /// Reclaimable servers of all data centres after two minutes.
    planned: (u32, u32),
}

// The number follows the demand within its bounds: never below a third of what the operator
// provided, and at most what leaves that number when a data centre is lost.
#[rstest]
#[case::floor(DemandCase { demand: 5.0, planned: (41, 46) })]
#[case::half(DemandCase { demand: 47.0, planned: (66, 72) })]
#[case::as_provided(DemandCase { demand: 62.0, planned: (87, 89) })]
#[case::high(DemandCase { demand: 80.0, planned: (115, 117) })]
#[case::beyond(DemandCase { demand: 500.0, planned: (131, 131) })]
fn number_follows_the_demand(#[case] case: DemandCase) {
    let mut world = World::new();
    world.run(14_000, steady(0.0));
    world.run(120_000, steady(case.demand));
    let (least, most) = case.planned;
    let count = world.reclaimable();
    assert!((least..=most).contains(&count), "{count}");
    assert_eq!(world.on_demand(), 3);
    let calls = world.calls.len();
    world.run(120_000, steady(case.demand));
    assert_eq!(world.calls.len(), calls, "steady demand gives no order");
}

// Load that rises and falls by 0.27 with a period of 11 s gives no orders once its peak is
// known, and the number covers the peak with any one data centre lost.
#[test]
fn periodic_load_gives_no_orders() {
    let wave = |now: u64| {
        let phase = now as f64 / 11_000.0 * std::f64::consts::TAU;
        50.0 * (1.0 + 0.27 * phase.sin())
    };
    let mut world = World::new();
    world.run(14_000, steady(0.0));
    world.run(60_000, wave);
    let calls = world.calls.len();
    world.run(120_000, wave);
    assert_eq!(world.calls.len(), calls);
    for pools in &world.pools {
        assert!(world.serving() - pools[1].serving >= 58);
    }
}

// When callers arrive, all caches are cold and each prompt is prefilled as a whole for some
// seconds. This must not raise the number to its maximum for the next half minute.
#[test]
fn cold_caches_do_not_raise_the_number() {
    let mut world = World::new();
    world.run(14_000, steady(0.0));
    world.run(5_000, steady(300.0));
    world.run(60_000, steady(50.0));
    let orders = world.calls.iter().filter(|(_, kind, _)| kind.reclaimable);
    assert!(orders.map(|(_, _, count)| *count).max() <= Some(29));
}

// A short lull of the load must not release servers that the next peak needs; a lasting one
// releases at most a tenth every ten seconds.
#[test]
fn servers_are_released_slowly() {
    let mut world = World::new();
    world.run(14_000, steady(0.0));
    world.run(60_000, steady(80.0));
    let full = world.reclaimable();
    world.run(25_000, steady(10.0));
    assert_eq!(world.reclaimable(), full);
    world.run(16_000, steady(10.0));
    assert!(
        world.reclaimable() >= full * 8 / 10,
        "{}",
        world.reclaimable()
    );
    // A rise takes effect with the next orders.
    world.run(6_000, steady(80.0));
    assert!(
        world.reclaimable() >= full * 95 / 100,
        "{}",
        world.reclaimable()
    );
}

// Thousands of servers are replaced in steps of 100 per data centre. A step is less than a tenth
// of the number, and the change must not end halfway for that.
#[test]
fn large_fleet_is_replaced_completely() {
    let mut world = World::with_provided(4_500);
    world.run(180_000, steady(2_500.0));
    assert_eq!(world.on_demand(), 3);
    let spare = 2_500 * 3 / 2;
    let count = world.reclaimable();
    assert!(
        (spare * 9 / 10..=spare * 23 / 20).contains(&count),
        "{count}"
    );
    let calls = world.calls.len();
    world.run(60_000, steady(2_500.0));
    assert_eq!(world.calls.len(), calls);
}

// A data centre is reclaimed at peak demand and has no servers for a minute: the others have
// room, no on-demand server is ordered, and refused orders are repeated with growing delays.
#[test]
fn reclaimed_centre_is_covered_by_the_spare_servers() {
    let mut world = World::new();
    world.run(14_000, steady(0.0));
    world.run(60_000, steady(60.0));
    world.reclaim(1);
    assert!(world.serving() >= 60, "{}", world.serving());
    world.run(60_000, steady(60.0));
    assert_eq!(world.on_demand(), 3);
    assert!(world.refusals <= 5, "{}", world.refusals);
    world.available[1] = true;
    world.run(40_000, steady(60.0));
    assert_eq!(world.pools[1][1].serving, 29);
    assert!(world.reclaimable() <= 89, "substitutes are released");
}

// Two data centres are reclaimed: the third stands in as far as its maximum allows, then
// on-demand servers do. These are released when reclaimable ones serve again.
#[test]
fn two_reclaimed_centres_are_replaced() {
    let mut world = World::new();
    world.run(14_000, steady(0.0));
    world.run(60_000, steady(80.0));
    world.reclaim(0);
    world.reclaim(1);
    world.run(12_000, steady(80.0));
    assert_eq!(world.pools[2][1].serving, 59, "{:?}", world.calls);
    assert!(world.serving() >= 72, "{}", world.serving());
    world.available = [true; 3];
    world.run(60_000, steady(80.0));
    assert_eq!(world.on_demand(), 3);
    assert!(world.reclaimable() >= 114, "{}", world.reclaimable());
}

// A data centre has no reclaimable servers at the start: the other two stand in with theirs
// instead of the on-demand servers of the operator, which cost five times as much.
#[test]
fn missing_centre_at_the_start_is_covered_by_the_others() {
    let mut world = World::new();
    world.available[1] = false;
    world.run(30_000, steady(50.0));
    assert_eq!(world.on_demand(), 3, "{:?}", world.calls);
    assert!(world.reclaimable() >= 50, "{}", world.reclaimable());
}

// No data centre has reclaimable servers: on-demand ones follow the demand within the same
// bounds, and load that rises and falls does not release and order them in turns.
#[test]
fn on_demand_servers_follow_the_demand_without_reclaimable_ones() {
    let mut world = World::new();
    world.available = [false; 3];
    world.run(14_000, steady(0.0));
    assert_eq!(world.on_demand(), 90);
    let wave = |now: u64| 40.0 * (1.0 + 0.27 * (now as f64 / 1_750.0).sin());
    world.run(90_000, wave);
    let on_demand = world.on_demand();
    assert!((50..=65).contains(&on_demand), "{on_demand}");
    let ordered = |world: &World| {
        world
            .calls
            .iter()
            .filter(|(_, k, _)| !k.reclaimable)
            .count()
    };
    let before = ordered(&world);
    world.run(120_000, wave);
    assert_eq!(ordered(&world), before);
}

// The lease moves: a successor without knowledge of the demand keeps the existing number for
// ten seconds, and then needs no order either.
#[test]
fn successor_keeps_the_number() {
    let mut world = World::new();
    world.run(14_000, steady(0.0));
    world.run(60_000, steady(47.0));
    let (calls, count) = (world.calls.len(), world.reclaimable());
    world.planner = DemandPlanner::default();
    world.takes_over = true;
    world.run(60_000, steady(47.0));
    assert_eq!((world.calls.len(), world.reclaimable()), (calls, count));
}

// An order without an answer may not have arrived and is repeated; one that has arrived is not
// harmed by that, since orders state the total number.
#[test]
fn order_without_an_answer_is_repeated() {
    let mut world = World::new();
    let centres = world.centres();
    let situation = ServerSituation {
        rule: &world.rule,
        provided: 90,
        recorded: true,
        takes_over: false,
        centres: &centres,
    };
    let first = world.planner.next_order(&situation, MonoTime(0)).unwrap();
    world
        .planner
        .note_result(first.clone(), OrderResult::Unknown, MonoTime(0));
    let second = world.planner.next_order(&situation, MonoTime(500)).unwrap();
    assert_eq!(first, second);
}

// The holder dies before the provided number is recorded: no on-demand server was released, so
// its successor counts what the operator had provided.
#[test]
fn on_demand_servers_stay_until_the_provided_number_is_recorded() {
    let mut world = World::new();
    for pools in &mut world.pools {
        pools[1].serving = 29;
    }
    let centres = world.centres();
    let situation = ServerSituation {
        rule: &world.rule,
        provided: 90,
        recorded: false,
        takes_over: false,
        centres: &centres,
    };
    assert_eq!(world.planner.next_order(&situation, MonoTime(0)), None);
    let situation = ServerSituation {
        recorded: true,
        ..situation
    };
    let (kind, count) = world.planner.next_order(&situation, MonoTime(0)).unwrap();
    assert_eq!((kind.reclaimable, count), (false, 1));
}

// The stage with less room decides how many engines the work needs.
#[rstest]
#[case::prefill(11.0, 1.0, 47.7)]
#[case::decode(1.0, 10.0, 57.5)]
#[case::idle(0.0, 0.0, 0.0)]
fn engines_suffice_for_both_stages(
    #[case] prefill: f64,
    #[case] decode: f64,
    #[case] expected: f64,
) {
    let time = ServiceTime {
        service: ServiceName::from("chat"),
        prefill,
        decode,
    };
    let needed = needed_engines(&time, 0.42);
    assert!((needed - expected).abs() < 0.5, "{needed}");
}
