//! Duties that one daemon performs for the fleet: reports of usage, orders of servers.
//!
//! The right to act is a lease in the store. The platform does not check who acts, so a
//! holder stops well before its lease ends on its own clock, and a new one begins only
//! when nothing of the one before can still be under way and its turn has lasted long
//! enough: acting in turns would be taken for two holders.

pub mod fleet_clock;
pub mod server_plan;
pub mod server_scaler;
pub mod usage_counts;
pub mod usage_ledger;
pub mod usage_reporter;

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::authority::lease_state::{LeaseAuthority, LeaseTimes};
use crate::clock;
use crate::gateway::daemon::Gateway;
use crate::gateway::fleet_tasks::fleet_clock::FleetClock;
use crate::gateway::fleet_tasks::server_scaler::{ServerDesk, ServerNews};
use crate::gateway::fleet_tasks::usage_counts::UsageCounts;
use crate::gateway::fleet_tasks::usage_reporter::{UsageDesk, UsageNews};
use crate::gateway::lease_upkeep::{LeaseCallResult, LeaseManager};
use crate::gateway::port::FleetTaskHolder;
use crate::gateway::settings::FleetTaskSettings;
use crate::names::{FenceNumber, MonoTime};
use crate::ports::ObjectName;
use crate::timer::TimerService;

/// Group of the lease: all duties together, so that they move together.
const GROUP: &str = "duties";
/// Kind of the store's objects in which duties keep what a successor has to know.
const DUTY_KIND: &str = "pistachiowick-duties";
/// How often what is due is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// Daemons that contend for the lease: one may be stopped while another one is cut off.
const CONTENDERS: usize = 3;
/// Time after the start in which the fleet's roles settle, and nobody contends.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);
/// Longest time for the platform to take a call; a slow one takes hundreds of milliseconds.
pub const CALL_WAIT: Duration = Duration::from_millis(1_000);
/// Part of the lease before whose end the holder begins no call: longer than a call.
const GUARD_PART: f64 = 0.4;
/// Part of the lease's time for which a call may still be under way after its end. One that
/// was begun at the last moment is given up by the connection 2.5 s later, which is 0.43 of
/// a lease of three seconds after its end.
const FLIGHT_PART: f64 = 0.5;

/// What this daemon counts of usage, and the time that it goes by.
#[derive(Debug)]
pub struct UsageMeter {
    /// True time.
    pub clock: FleetClock,
    /// Requests that began, by window and workspace.
    pub usage: UsageCounts,
}

impl UsageMeter {
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
        self.clock.settle(clock::unix_now(), now);
        self.usage.sort_in(&self.clock, now);
    }
}

/// The right to act, for one look at what is due.
#[derive(Clone, Debug)]
pub struct FleetTaskTurn {
    /// Who acts.
    pub caller: FleetTaskHolder,
    /// When no call may be begun any more, on the own clock.
    pub until: MonoTime,
}

impl FleetTaskTurn {
    /// Whether a call may still be begun.
    #[must_use]
    pub fn lasts(&self) -> bool {
        clock::mono_now() < self.until
    }
}

enum DeskNews {
    Lease(LeaseCallResult),
    Usage(UsageNews),
    Servers(ServerNews),
}

struct DutyDesk {
    gateway: Rc<Gateway>,
    lease: LeaseManager,
    turn_time: Duration,
    held: Option<(FenceNumber, MonoTime)>,
    usage: UsageDesk,
    servers: ServerDesk,
    results: mpsc::UnboundedSender<DeskNews>,
}

/// Runs until the process ends.
pub async fn run(gateway: Rc<Gateway>, settings: FleetTaskSettings) {
    let (results, mut inbox) = mpsc::unbounded_channel();
    let turn_time = settings.turn_time();
    let times = LeaseTimes {
        duration: turn_time,
        guard: turn_time.mul_f64(GUARD_PART),
        order_flight: turn_time.mul_f64(FLIGHT_PART),
    };
    let mut desk = DutyDesk {
        lease: LeaseManager::new(gateway.clone(), GROUP, times),
        turn_time,
        held: None,
        usage: UsageDesk::new(&settings),
        servers: ServerDesk::default(),
        gateway,
        results,
    };
    let timer = TimerService::start();
    let mut looks = timer.every(LOOK_EVERY);
    loop {
        tokio::select! {
            _ = looks.next() => desk.look(clock::mono_now()),
            Some(news) = inbox.recv() => desk.take(news, clock::mono_now()),
        }
    }
}

impl DutyDesk {
    fn look(&mut self, now: MonoTime) {
        self.gateway.duties.borrow_mut().settle(now);
        self.update_lease(now);
        self.servers.watch(&self.gateway.view(), now);
        let Some(turn) = self.turn(now) else {
            return;
        };
        let results = self.results.clone();
        self.usage.look(&self.gateway, &turn, now, move |news| {
            // The desk ends only with the process.
            let _ = results.send(DeskNews::Usage(news));
        });
        let results = self.results.clone();
        self.servers.look(&self.gateway, &turn, now, move |news| {
            let _ = results.send(DeskNews::Servers(news));
        });
    }

    fn update_lease(&mut self, now: MonoTime) {
        let rank = self.gateway.duty_rank(now);
        let results = self.results.clone();
        let contending = rank.filter(|rank| *rank < CONTENDERS);
        self.lease.keep(contending, now, move |answer| {
            // The desk ends only with the process.
            let _ = results.send(DeskNews::Lease(answer));
        });
    }

    // The right to act now. Who takes the lease from a holder that gave it up could act
    // right after it, and hand it back as soon: the wait keeps three acts in turns apart.
    fn turn(&mut self, now: MonoTime) -> Option<FleetTaskTurn> {
        let Some(LeaseAuthority { fence, until }) = self.lease.authority(now) else {
            // A renewal that comes late only makes the holder wait: what it knows holds on.
            if !self.lease.is_held() {
                self.change_turn(None);
            }
            return None;
        };
        if self.held.is_none_or(|(known, _)| known != fence) {
            self.change_turn(Some((fence, now)));
        }
        let (_, since) = self.held?;
        let first = fence == FIRST_FENCE;
        if !first && now.since(since) < self.turn_time + LOOK_EVERY {
            return None;
        }
        let caller = FleetTaskHolder {
            holder: self.gateway.daemon.clone(),
            fence,
        };
        Some(FleetTaskTurn { caller, until })
    }

    // What a holder knows is read anew in each turn: another one may have acted between.
    fn change_turn(&mut self, held: Option<(FenceNumber, MonoTime)>) {
        self.held = held;
        self.usage.end_turn();
        self.servers.end_turn();
    }

    fn take(&mut self, news: DeskNews, now: MonoTime) {
        match news {
            DeskNews::Lease(answer) => self.lease.take(answer, now),
            DeskNews::Usage(news) => self.usage.take(news, now),
            DeskNews::Servers(news) => self.servers.take(news, now),
        }
    }
}

/// Fence of a lease that nobody held before.
const FIRST_FENCE: FenceNumber = FenceNumber(1);

/// Returns the object in which a duty keeps what a successor has to know.
fn duty_object(name: &str) -> ObjectName {
    ObjectName {
        kind: DUTY_KIND.to_owned(),
        name: name.to_owned(),
    }
}

impl Gateway {
    // Place of this daemon among those that may perform duties; `None` where it may not.
    // Members of a large fleet do not hear what others count.
    fn duty_rank(&self, now: MonoTime) -> Option<usize> {
        if self.stopping.get() || now.since(self.started) < SETTLE_TIME {
            return None;
        }
        self.full_view_rank(now)
    }
}
