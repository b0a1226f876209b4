//! Duties that one daemon performs for the fleet: reports of usage, orders of servers.
//!
//! The right to act is a lease in the store. The platform does not check who acts, so a
//! holder stops well before its lease ends on its own clock, and a new one begins only
//! when nothing of the one before can still be under way and its turn has lasted long
//! enough: acting in turns would be taken for two holders.

pub mod fleet_clock;
pub mod server_desk;
pub mod server_plan;
pub mod usage_book;
pub mod usage_desk;
pub mod usage_ledger;

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::authority::lease_state::{LeaseAuthority, LeaseTimes};
use crate::clock;
use crate::gateway::daemon::Gateway;
use crate::gateway::duties::fleet_clock::FleetClock;
use crate::gateway::duties::server_desk::{ServerEvent, ServerScaler};
use crate::gateway::duties::usage_book::UsageCounts;
use crate::gateway::duties::usage_desk::{UsageEvent, UsageReporter};
use crate::gateway::lease_upkeep::{LeaseAnswer, LeaseUpkeep};
use crate::gateway::port::DutyCaller;
use crate::gateway::settings::DutySettings;
use crate::names::{FenceNumber, MonoTime};
use crate::ports::ObjectName;
use crate::timer::TimerService;

/// Group of the lease: all duties together, so that they move together.
const LEASE_GROUP: &str = "duties";
/// Kind of the store's objects in which duties keep what a successor has to know.
const STATE_KIND: &str = "pistachiowick-duties";
/// How often what is due is looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Daemons that contend for the lease: one may be stopped while another one is cut off.
const MAX_CONTENDERS: usize = 3;
/// Time after the start in which the fleet's roles settle, and nobody contends.
const STARTUP_DELAY: Duration = Duration::from_millis(3_000);
/// Longest time for the platform to take a call; a slow one takes hundreds of milliseconds.
pub const CALL_WAIT: Duration = Duration::from_millis(1_000);
/// Part of the lease before whose end the holder begins no call: longer than a call.
const GUARD_FRACTION: f64 = 0.4;
/// Part of the lease's time for which a call may still be under way after its end. One that
/// was begun at the last moment is given up by the connection 2.5 s later, which is 0.43 of
/// a lease of three seconds after its end.
const IN_FLIGHT_FRACTION: f64 = 0.5;

/// What this daemon counts of usage, and the time that it goes by.
#[derive(Debug)]
pub struct DutyBook {
    /// True time.
    pub clock: FleetClock,
    /// Requests that began, by window and workspace.
    pub usage: UsageCounts,
}

impl DutyBook {
    /// Creates a book for windows of a length.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            clock: FleetClock::default(),
            usage: UsageCounts::new(window),
        }
    }

    /// Agrees on true time and puts what began into its windows.
    pub fn settle(&mut self, now: MonoTime) {
        self.clock.update_offset(clock::unix_now(), now);
        self.usage.assign_windows(&self.clock, now);
    }
}

/// The right to act, for one look at what is due.
#[derive(Clone, Debug)]
pub struct TaskPermit {
    /// Who acts.
    pub caller: DutyCaller,
    /// When no call may be begun any more, on the own clock.
    pub until: MonoTime,
}

impl TaskPermit {
    /// Whether a call may still be begun.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        clock::mono_now() < self.until
    }
}

enum TaskEvent {
    Lease(LeaseAnswer),
    Usage(UsageEvent),
    Servers(ServerEvent),
}

struct FleetTasks {
    gateway: Rc<Gateway>,
    lease: LeaseUpkeep,
    lease_time: Duration,
    held_lease: Option<(FenceNumber, MonoTime)>,
    usage: UsageReporter,
    servers: ServerScaler,
    events_tx: mpsc::UnboundedSender<TaskEvent>,
}

/// Runs until the process ends.
pub async fn run(gateway: Rc<Gateway>, settings: DutySettings) {
    let (events_tx, mut events) = mpsc::unbounded_channel();
    let lease_time = settings.turn_time();
    let times = LeaseTimes {
        duration: lease_time,
        guard: lease_time.mul_f64(GUARD_FRACTION),
        order_flight: lease_time.mul_f64(IN_FLIGHT_FRACTION),
    };
    let mut tasks = FleetTasks {
        lease: LeaseUpkeep::new(gateway.clone(), LEASE_GROUP, times),
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
        self.gateway.duties.borrow_mut().settle(now);
        self.update_lease(now);
        self.servers.observe(&self.gateway.view(), now);
        let Some(permit) = self.permit(now) else {
            return;
        };
        let events_tx = self.events_tx.clone();
        self.usage.check(&self.gateway, &permit, now, move |event| {
            // The desk ends only with the process.
            let _ = events_tx.send(TaskEvent::Usage(event));
        });
        let events_tx = self.events_tx.clone();
        self.servers
            .check(&self.gateway, &permit, now, move |event| {
                let _ = events_tx.send(TaskEvent::Servers(event));
            });
    }

    fn update_lease(&mut self, now: MonoTime) {
        let rank = self.gateway.task_rank(now);
        let events_tx = self.events_tx.clone();
        let contending = rank.filter(|rank| *rank < MAX_CONTENDERS);
        self.lease.keep(contending, now, move |answer| {
            // The desk ends only with the process.
            let _ = events_tx.send(TaskEvent::Lease(answer));
        });
    }

    // The right to act now. Who takes the lease from a holder that gave it up could act
    // right after it, and hand it back as soon: the wait keeps three acts in turns apart.
    fn permit(&mut self, now: MonoTime) -> Option<TaskPermit> {
        let Some(LeaseAuthority { fence, until }) = self.lease.authority(now) else {
            // A renewal that comes late only makes the holder wait: what it knows holds on.
            if !self.lease.is_held() {
                self.change_lease(None);
            }
            return None;
        };
        if self.held_lease.is_none_or(|(known, _)| known != fence) {
            self.change_lease(Some((fence, now)));
        }
        let (_, since) = self.held_lease?;
        let is_first = fence == FIRST_FENCE;
        if !is_first && now.since(since) < self.lease_time + CHECK_INTERVAL {
            return None;
        }
        let caller = DutyCaller {
            holder: self.gateway.daemon.clone(),
            fence,
        };
        Some(TaskPermit { caller, until })
    }

    // What a holder knows is read anew in each turn: another one may have acted between.
    fn change_lease(&mut self, held_lease: Option<(FenceNumber, MonoTime)>) {
        self.held_lease = held_lease;
        self.usage.reset();
        self.servers.reset();
    }

    fn handle(&mut self, event: TaskEvent, now: MonoTime) {
        match event {
            TaskEvent::Lease(answer) => self.lease.take(answer, now),
            TaskEvent::Usage(event) => self.usage.handle(event, now),
            TaskEvent::Servers(event) => self.servers.handle(event, now),
        }
    }
}

/// Fence of a lease that nobody held before.
const FIRST_FENCE: FenceNumber = FenceNumber(1);

/// Returns the object in which a duty keeps what a successor has to know.
fn state_object(name: &str) -> ObjectName {
    ObjectName {
        kind: STATE_KIND.to_owned(),
        name: name.to_owned(),
    }
}

impl Gateway {
    // Place of this daemon among those that may perform duties; `None` where it may not.
    // Members of a large fleet do not hear what others count.
    fn task_rank(&self, now: MonoTime) -> Option<usize> {
        if self.stopping.get() || now.since(self.started) < STARTUP_DELAY {
            return None;
        }
        self.speaker_rank(now)
    }
}
