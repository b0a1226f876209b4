//! Executes the scheduler's decisions: wakes the requests that wait for a target.

use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::oneshot;

use crate::clock;
use crate::control::{ControlEvent, ControlHandle};
use crate::decide::fair_queue::JobNumber;
use crate::decide::placement::{PlacementNeed, TargetChoice};
use crate::decide::scheduler::{JobMeasurement, JobRefusal, JobSpec, ScheduleAction, Scheduler};
use crate::names::{MonoTime, RequestId, TargetId};
use crate::ports::TargetError;
use crate::requests::journal::{DecisionJournal, DecisionKind};
use crate::targets::wire::CacheEvent;

/// Interval at which the queue is checked when nothing else triggers it.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(20);

type GrantReply = Result<TargetChoice, JobRefusal>;

struct DispatchState {
    scheduler: Scheduler,
    waiters: IndexMap<JobNumber, JobWaiter>,
}

struct JobWaiter {
    request_id: RequestId,
    reply: oneshot::Sender<GrantReply>,
}

/// The scheduler and the requests that wait for a target. Cheap to clone.
#[derive(Clone)]
pub struct JobDispatcher {
    state: Arc<Mutex<DispatchState>>,
    control: ControlHandle,
    journal: DecisionJournal,
}

/// An admitted request that waits for a target. Dropping it withdraws the request.
pub struct JobTicket {
    /// Number of the request in the scheduler.
    pub number: JobNumber,
    grant: oneshot::Receiver<GrantReply>,
    dispatcher: JobDispatcher,
    /// Whether dropping the ticket does nothing any more.
    settled: bool,
}

/// A request placed on a target. Dropping it without [`JobSlot::finish`] also frees the slot.
pub struct JobSlot {
    /// Target chosen.
    pub choice: TargetChoice,
    number: JobNumber,
    dispatcher: JobDispatcher,
    /// Whether dropping the slot does nothing any more.
    settled: bool,
}

impl JobDispatcher {
    /// Creates a dispatcher around a scheduler.
    #[must_use]
    pub fn new(scheduler: Scheduler, control: ControlHandle, journal: DecisionJournal) -> Self {
        let state = DispatchState {
            scheduler,
            waiters: IndexMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            control,
            journal,
        }
    }

    /// Applies fleet changes and places waiting work until `stopped` resolves.
    pub async fn run(self, stopped: impl Future<Output = ()>) {
        tokio::pin!(stopped);
        let mut ticks = tokio::time::interval(SCHEDULE_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = &mut stopped => return,
                _ = ticks.tick() => self.apply_snapshot(&mut self.lock(), clock::mono_now()),
            }
        }
    }

    /// Admits a request, or refuses it immediately.
    ///
    /// # Errors
    ///
    /// Returns the refusal of [`Scheduler::admit`].
    pub fn admit(&self, request_id: &RequestId, spec: JobSpec) -> Result<JobTicket, JobRefusal> {
        let now = clock::mono_now();
        let mut state = self.lock();
        if !state.scheduler.serves(&spec.need.pool) && self.has_new_fleet(&state) {
            // A target may have appeared since the last regular check.
            self.apply_snapshot(&mut state, now);
        }
        let workspace = spec.workspace.clone();
        let admitted = state.scheduler.admit(spec, now);
        let number = admitted.inspect_err(|refusal| {
            let reason = format!("{workspace}: {}", refusal.reason);
            self.journal
                .record(DecisionKind::Refused, request_id.as_str(), reason);
        })?;
        let ticket = self.add_waiter(&mut state, number, request_id);
        let actions = state.scheduler.schedule(now);
        self.execute(&mut state, actions);
        Ok(ticket)
    }

    /// Applies an engine's cache events.
    pub fn apply_cache_events(&self, target: &TargetId, events: &[CacheEvent]) {
        self.lock().scheduler.apply_cache_events(target, events);
    }

    /// Returns the number of requests that this daemon has at a target.
    #[must_use]
    pub fn local_in_flight(&self, target: &TargetId) -> usize {
        self.lock().scheduler.local_in_flight(target)
    }

    /// Returns the numbers of waiting and placed requests.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        self.lock().scheduler.counts()
    }

    /// Reports to the control thread what the result of a call shows about its target.
    pub fn report_call(&self, choice: &TargetChoice, error: Option<&TargetError>) {
        self.report(ControlEvent::TargetContacted {
            target: choice.target.clone(),
            answered: !matches!(error, Some(TargetError::NotDelivered { .. })),
        });
        // The instance list lags, and is not updated while the platform is down: without
        // this report, a leaving target would keep receiving work that it refuses.
        if matches!(error, Some(TargetError::Refused { leaving: true, .. })) {
            self.report(ControlEvent::TargetLeaving {
                target: choice.target.clone(),
                address: choice.address.clone(),
            });
        }
    }

    fn report(&self, event: ControlEvent) {
        // A closed channel means that the daemon is shutting down and the event is not needed.
        let _ = self.control.events.send(event);
    }

    fn has_new_fleet(&self, state: &DispatchState) -> bool {
        let snapshot = self.control.snapshot.load();
        !Arc::ptr_eq(state.scheduler.fleet(), &snapshot.fleet)
    }

    fn apply_snapshot(&self, state: &mut DispatchState, now: MonoTime) {
        let snapshot = self.control.snapshot.load_full();
        let fleet = Arc::clone(&snapshot.fleet);
        let actions = state
            .scheduler
            .update_fleet(fleet, snapshot.live_daemons, now);
        self.execute(state, actions);
    }

    fn add_waiter(
        &self,
        state: &mut DispatchState,
        number: JobNumber,
        request_id: &RequestId,
    ) -> JobTicket {
        let (reply, grant) = oneshot::channel();
        let waiter = JobWaiter {
            request_id: request_id.clone(),
            reply,
        };
        state.waiters.insert(number, waiter);
        JobTicket {
            number,
            grant,
            dispatcher: self.clone(),
            settled: false,
        }
    }

    fn execute(&self, state: &mut DispatchState, actions: Vec<ScheduleAction>) {
        for action in actions {
            let (number, reply) = match action {
                ScheduleAction::Start(grant) => (grant.number, Ok(grant.choice)),
                ScheduleAction::Refuse(number, refusal) => (number, Err(refusal)),
            };
            let Some(waiter) = state.waiters.swap_remove(&number) else {
                state
                    .scheduler
                    .finish(number, JobMeasurement::default(), clock::mono_now());
                continue;
            };
            self.explain(&waiter.request_id, &reply);
            self.report_cost(state, number);
            if waiter.reply.send(reply).is_err() {
                state
                    .scheduler
                    .finish(number, JobMeasurement::default(), clock::mono_now());
            }
        }
    }

    /// Reports the cost of a placed request to the control thread, for fleet-wide shares.
    fn report_cost(&self, state: &DispatchState, number: JobNumber) {
        let Some((spec, cost)) = state.scheduler.placed_cost(number) else {
            return;
        };
        let event = ControlEvent::CostUsed {
            workspace: spec.workspace.clone(),
            class: spec.class.clone(),
            cost: Duration::from_secs_f64(cost),
        };
        // A closed channel means that the daemon is shutting down and the event is not needed.
        let _ = self.control.events.send(event);
    }

    fn explain(&self, request_id: &RequestId, reply: &GrantReply) {
        match reply {
            Ok(choice) => {
                let reason = format!("{}: {}", choice.target, choice.reason);
                self.journal
                    .record(DecisionKind::Placed, request_id.as_str(), reason);
            }
            Err(refusal) => {
                let reason = refusal.reason.clone();
                self.journal
                    .record(DecisionKind::Refused, request_id.as_str(), reason);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, DispatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl JobTicket {
    /// Waits for a target.
    ///
    /// # Errors
    ///
    /// Returns the refusal when no target became free in time.
    pub async fn wait(mut self) -> Result<JobSlot, JobRefusal> {
        let reply = (&mut self.grant).await;
        self.settled = true;
        let choice = reply.unwrap_or_else(|_| {
            Err(JobRefusal {
                reason: "the daemon is shutting down".to_owned(),
                retry_after: Duration::from_millis(100),
            })
        })?;
        Ok(JobSlot {
            choice,
            number: self.number,
            dispatcher: self.dispatcher.clone(),
            settled: false,
        })
    }
}

impl Drop for JobTicket {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let mut state = self.dispatcher.lock();
        state.waiters.swap_remove(&self.number);
        if !state.scheduler.cancel(self.number) {
            // The grant was sent but not yet received: without this its slot would leak.
            state
                .scheduler
                .finish(self.number, JobMeasurement::default(), clock::mono_now());
        }
    }
}

impl JobSlot {
    /// Frees the slot and passes the measurements to the scheduler.
    pub fn finish(mut self, measure: JobMeasurement) {
        self.settle(measure);
    }

    /// Frees the slot and waits for another target.
    #[must_use]
    pub fn retry(mut self, request_id: &RequestId, need: PlacementNeed) -> JobTicket {
        self.settled = true;
        let now = clock::mono_now();
        let dispatcher = self.dispatcher.clone();
        let mut state = dispatcher.lock();
        state.scheduler.retry(self.number, need);
        let ticket = dispatcher.add_waiter(&mut state, self.number, request_id);
        let actions = state.scheduler.schedule(now);
        dispatcher.execute(&mut state, actions);
        ticket
    }

    fn settle(&mut self, measure: JobMeasurement) {
        self.settled = true;
        let now = clock::mono_now();
        let mut state = self.dispatcher.lock();
        state.scheduler.finish(self.number, measure, now);
        let actions = state.scheduler.schedule(now);
        self.dispatcher.execute(&mut state, actions);
    }
}

impl Drop for JobSlot {
    fn drop(&mut self) {
        if !self.settled {
            self.settle(JobMeasurement::default());
        }
    }
}
