//! Fleet tasks, which one daemon at a time performs for the fleet: reporting usage and
//! ordering servers. Each server that the platform starts registers as a target.
//!
//! The right to act is a lease in the store. The platform does not check who acts. A holder
//! therefore gives up its calls well before its lease expires on its own clock, and resets
//! their connections. A new holder starts only
//! once no call of its predecessor can still be in flight and it has held the lease for long
//! enough: holders that alternate quickly would look like two holders at once.

pub mod demand_plan;
pub mod fleet_clock;
pub mod server_plan;
pub mod server_scaler;
pub mod usage_counts;
pub mod usage_coverage;
pub mod usage_ledger;
pub mod usage_reporter;

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::authority::lease_state::{LeaseAuthority, LeaseTimes};
use crate::clock;
use crate::gateway::daemon::Gateway;
use crate::gateway::fleet_tasks::fleet_clock::FleetClock;
use crate::gateway::fleet_tasks::server_scaler::{ServerEvent, ServerScaler};
use crate::gateway::fleet_tasks::usage_counts::UsageCounts;
use crate::gateway::fleet_tasks::usage_coverage::UsageCoverage;
use crate::gateway::fleet_tasks::usage_reporter::{UsageEvent, UsageReporter};
use crate::gateway::lease_upkeep::{LeaseCallResult, LeaseManager};
use crate::gateway::port::FleetTaskHolder;
use crate::gateway::settings::FleetTaskSettings;
use crate::names::{FenceNumber, MonoTime, millis};
use crate::ports::ObjectName;
use crate::timer::TimerService;

/// Group of the lease: one for all fleet tasks, so that they move together.
const LEASE_GROUP: &str = "duties";
/// Kind of the store's objects in which fleet tasks record what a successor has to know.
const STATE_KIND: &str = "pistachiowick-duties";
/// Interval between checks for due work.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of daemons that contend for the lease: one may be stopped while another is
/// partitioned.
const MAX_CONTENDERS: usize = 3;
/// Time after the start in which the daemon does not contend, until hubs are elected.
const STARTUP_DELAY: Duration = Duration::from_millis(3_000);
/// Timeout of a call to the platform; a slow one takes hundreds of milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Fraction of the lease at its end in which the holder makes no call: time for a process that
/// was delayed to reset the connection of its last call.
const GUARD_FRACTION: f64 = 0.4;
/// Age of the last confirmed renewal from which no call is started: a daemon that has lost the
/// store or was suspended may no longer be the holder.
const MAX_RENEWAL_AGE: Duration = Duration::from_millis(1_000);
/// Fraction of the lease that has to be left for a call; a shorter call would be given up
/// without an answer on a slow link.
const MIN_CALL_FRACTION: f64 = 0.1;
/// Time for which a call may still be in flight after the lease has ended, as a fraction of
/// the lease. If the process is suspended during a call, the connection gives up bytes that are
/// not acknowledged after 2.5 s, which is 0.43 of a three-second lease after its end.
const IN_FLIGHT_FRACTION: f64 = 0.5;

/// Usage counts of this daemon, with the clock that assigns them to windows.
#[derive(Debug)]
pub struct UsageMeter {
    /// Clock that the fleet agrees on.
    pub clock: FleetClock,
    /// Started requests by window and workspace.
    pub usage: UsageCounts,
    /// How far the counts of other daemons are known.
    pub coverage: UsageCoverage,
}

impl UsageMeter {
    /// Creates a meter for windows of the given length.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            clock: FleetClock::default(),
            usage: UsageCounts::new(window),
            coverage: UsageCoverage::default(),
        }
    }

    /// Updates the fleet clock and assigns started requests to their windows.
    pub fn refresh(&mut self, now: MonoTime) {
        self.clock.update_offset(clock::unix_now(), now);
        self.usage.assign_windows(&self.clock, now);
    }
}

/// Returns the time limit of a call that starts now and has to be given up at `deadline`.
#[must_use]
pub fn call_timeout(deadline: MonoTime, now: MonoTime) -> Duration {
    CALL_TIMEOUT.min(deadline.since(now))
}

/// Returns the time from which no further call may be started under a lease of `lease_time`
/// whose calls have to be given up at `deadline`.
#[must_use]
pub fn last_start(deadline: MonoTime, confirmed_at: MonoTime, lease_time: Duration) -> MonoTime {
    let min_call = millis(lease_time.mul_f64(MIN_CALL_FRACTION));
    let latest = MonoTime(deadline.0.saturating_sub(min_call));
    latest.min(confirmed_at.plus(MAX_RENEWAL_AGE))
}

/// The right of the lease holder to act during one check for due work.
#[derive(Clone, Debug)]
pub struct FleetTaskTurn {
    /// Daemon and fence under which calls are made.
    pub caller: FleetTaskHolder,
    /// Local time from which no further call may be started.
    pub until: MonoTime,
    /// Local time at which this daemon learned of the present era of the store.
    pub era_since: MonoTime,
}

impl FleetTaskTurn {
    /// Returns whether a call may still be started.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        clock::mono_now() < self.until
    }

    /// Returns the era of the store in which the lease was acquired.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.caller.fence.era()
    }

    /// Returns whether nobody has held the lease earlier in this era.
    #[must_use]
    pub fn is_first_of_era(&self) -> bool {
        self.caller.fence == FenceNumber::first_in(self.era())
    }
}

enum TaskEvent {
    Lease(LeaseCallResult),
    Usage(UsageEvent),
    Servers(ServerEvent),
}

struct FleetTasks {
    gateway: Rc<Gateway>,
    lease: LeaseManager,
    lease_time: Duration,
    held_lease: Option<(FenceNumber, MonoTime)>,
    usage: UsageReporter,
    servers: ServerScaler,
    events_tx: mpsc::UnboundedSender<TaskEvent>,
}

/// Performs fleet tasks until the process exits.
pub async fn run(gateway: Rc<Gateway>, settings: FleetTaskSettings) {
    let (events_tx, mut events) = mpsc::unbounded_channel();
    let lease_time = settings.exclusion_period();
    let times = LeaseTimes {
        duration: lease_time,
        guard: lease_time.mul_f64(GUARD_FRACTION),
        max_order_flight: lease_time.mul_f64(IN_FLIGHT_FRACTION),
    };
    let mut tasks = FleetTasks {
        lease: LeaseManager::new(gateway.clone(), LEASE_GROUP, times),
        lease_time,
        held_lease: None,
        usage: UsageReporter::new(&settings),
        servers: ServerScaler::default(),
        gateway,
        events_tx,
    };
    let timer = TimerService::start();
    let mut ticks = timer.every(CHECK_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.next() => tasks.check(clock::mono_now()),
            Some(event) = events.recv() => tasks.handle(event, clock::mono_now()),
        }
    }
}

impl FleetTasks {
    fn check(&mut self, now: MonoTime) {
        self.gateway.fleet_tasks.borrow_mut().refresh(now);
        self.update_lease(now);
        let view = self.gateway.view();
        self.servers.observe(&self.gateway, &view, now);
        let Some(turn) = self.turn(now) else {
            return;
        };
        let events_tx = self.events_tx.clone();
        self.usage.check(&self.gateway, &turn, now, move |event| {
            // The receiver lives as long as the process.
            let _ = events_tx.send(TaskEvent::Usage(event));
        });
        self.check_servers(&turn, now);
    }

    fn check_servers(&mut self, turn: &FleetTaskTurn, now: MonoTime) {
        let events_tx = self.events_tx.clone();
        self.servers.check(&self.gateway, turn, now, move |event| {
            let _ = events_tx.send(TaskEvent::Servers(event));
        });
    }

    fn update_lease(&mut self, now: MonoTime) {
        let rank = self.gateway.task_rank(now);
        let events_tx = self.events_tx.clone();
        let contending = rank.filter(|rank| *rank < MAX_CONTENDERS);
        self.lease.keep(contending, now, move |result| {
            // The receiver lives as long as the process.
            let _ = events_tx.send(TaskEvent::Lease(result));
        });
    }

    // Returns the right to act now, or `None` without a lease and, unless nobody held it before,
    // in its first period. A daemon that takes over a released lease could act at once
    // and release it just as quickly. The wait keeps the calls of alternating holders apart.
    fn turn(&mut self, now: MonoTime) -> Option<FleetTaskTurn> {
        let Some(LeaseAuthority { fence, deadline }) = self.lease.authority(now) else {
            // After a late renewal, the holder only waits: its state is still valid.
            if !self.lease.is_held() {
                self.change_lease(None);
            }
            return None;
        };
        if self.held_lease.is_none_or(|(known, _)| known != fence) {
            self.change_lease(Some((fence, now)));
        }
        let (_, since) = self.held_lease?;
        let is_first = self.lease.is_first_holder();
        if !is_first && now.since(since) < self.lease_time + CHECK_INTERVAL {
            return None;
        }
        let until = last_start(deadline, self.lease.confirmed_at(), self.lease_time);
        let caller = FleetTaskHolder {
            holder: self.gateway.daemon.clone(),
            fence,
            deadline,
        };
        (now < until).then_some(FleetTaskTurn {
            caller,
            until,
            era_since: self.lease.era_since(),
        })
    }

    // Drops the tasks' state, which is read again for each new lease: another holder may
    // have acted in between.
    fn change_lease(&mut self, held_lease: Option<(FenceNumber, MonoTime)>) {
        self.held_lease = held_lease;
        self.usage.reset();
        self.servers.reset();
    }

    fn handle(&mut self, event: TaskEvent, now: MonoTime) {
        match event {
            TaskEvent::Lease(result) => self.lease.take(result, now),
            TaskEvent::Usage(event) => self.usage.handle(event, now),
            TaskEvent::Servers(event) => {
                self.servers.handle(event, now);
                // Orders for several data centres follow each other without a pause.
                if self.gateway.settings().server_count.follow_demand
                    && let Some(turn) = self.turn(now)
                {
                    self.check_servers(&turn, now);
                }
            }
        }
    }
}

/// Returns the object in which a fleet task records what a successor has to know.
fn state_object(name: &str) -> ObjectName {
    ObjectName {
        kind: STATE_KIND.to_owned(),
        name: name.to_owned(),
    }
}

impl Gateway {
    // Returns the rank of this daemon among those that may perform fleet tasks, or `None` if
    // it may not. In a large fleet, members do not receive the usage counts of others.
    fn task_rank(&self, now: MonoTime) -> Option<usize> {
        if self.stopping.get() || now.since(self.started) < STARTUP_DELAY {
            return None;
        }
        self.full_view_rank(now)
    }
}
