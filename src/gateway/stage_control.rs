//! Orders engines to change their stage, from one daemon at a time.
//!
//! Only the holder of a lease in the store may send orders. The lease is acquired only
//! while a change is planned and released afterwards. These engines do not check who
//! sends an order, so conflicting orders of two daemons could not be corrected later.
//! Therefore a holder sends orders only well before its lease ends on its own clock, and
//! a new holder waits until no order of the previous one can still arrive.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::authority::lease_state::LeaseTimes;
use crate::clock;
use crate::gateway::client::{self, HttpConnection, SendError};
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::stage_plan::{self, StageChangePlan, StageShare};
use crate::gateway::lease_upkeep::{LeaseCallResult, LeaseManager};
use crate::gateway::model::{EngineStage, TargetRecord};
use crate::gateway::port::{EngineOrder, EngineReport, OrderOutcome, TargetQuery};
use crate::gateway::registry::DepartureSource;
use crate::gateway::sending::query_request;
use crate::names::{FenceNumber, MonoTime, ServiceName};
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::tracker::TurnTerms;
use crate::timer::TimerService;

/// Group of the lease: it covers all engines, so that there is one holder.
const LEASE_GROUP: &str = "engine-stages";
/// Duration of a lease: much longer than a slow answer of the store.
const LEASE_DURATION: Duration = Duration::from_secs(6);
/// Time before the end of the lease at which the holder stops sending orders.
const LEASE_GUARD: Duration = Duration::from_millis(2_500);
/// Longest time that an order may be in flight: a connection with unacknowledged bytes is
/// closed earlier.
const MAX_ORDER_FLIGHT: Duration = Duration::from_millis(3_000);
/// Time between acquiring the lease and the first order: the last order of the previous
/// holder may still arrive within it.
const SETTLE_TIME: Duration = Duration::from_millis(3_500);
/// Interval at which the plan is updated.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Time between announcing a change to the other daemons and the order, in which they stop
/// sending work to the engine.
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(500);
/// Timeout of a report or an order.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Largest accepted report, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Time within which an engine that accepted an order should show its new stage.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(9);
/// Engines changed at once while requests are served.
const MAX_CONCURRENT_CHANGES: usize = 2;
/// Time after its start within which a daemon learns of the work of a fleet that serves. Work
/// that it learns of later begins later.
const JOIN_TIME: Duration = Duration::from_secs(8);
/// Time for which a change must be planned before the lease is acquired.
const MIN_PLANNED_TIME: Duration = Duration::from_millis(1_500);

/// A change in progress.
#[derive(Clone, Debug)]
struct StageChange {
    stage: EngineStage,
    announced_at: MonoTime,
    ordered_at: Option<MonoTime>,
    in_flight: bool,
}

struct StageController {
    gateway: Rc<Gateway>,
    lease: LeaseManager,
    authority_since: Option<MonoTime>,
    planned_since: Option<MonoTime>,
    changes: IndexMap<TargetIncarnation, StageChange>,
    // Shares of prefill engines, where they follow the measured work.
    shares: IndexMap<ServiceName, StageShare>,
    event_sender: mpsc::UnboundedSender<StageEvent>,
}

enum StageEvent {
    Lease(LeaseCallResult),
    Ordered(
        TargetIncarnation,
        EngineStage,
        Result<OrderOutcome, SendError>,
    ),
}

/// Runs until the process ends.
pub async fn run(gateway: Rc<Gateway>) {
    let (event_sender, mut events) = mpsc::unbounded_channel();
    let times = LeaseTimes {
        duration: LEASE_DURATION,
        guard: LEASE_GUARD,
        max_order_flight: MAX_ORDER_FLIGHT,
    };
    let mut controller = StageController {
        lease: LeaseManager::new(gateway.clone(), LEASE_GROUP, times),
        gateway,
        authority_since: None,
        planned_since: None,
        changes: IndexMap::new(),
        shares: IndexMap::new(),
        event_sender,
    };
    let timer = TimerService::start();
    let mut ticks = timer.every(PLAN_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.next() => controller.tick(clock::mono_now()),
            Some(event) = events.recv() => controller.handle(event, clock::mono_now()),
        }
    }
}

impl StageController {
    fn tick(&mut self, now: MonoTime) {
        self.drop_finished(now);
        let planned_changes = self.planned_changes();
        self.note_planned(!planned_changes.is_empty(), now);
        self.update_lease(now);
        self.start_changes(planned_changes, now);
        self.publish();
    }

    fn note_planned(&mut self, is_planned: bool, now: MonoTime) {
        self.planned_since = is_planned.then(|| self.planned_since.unwrap_or(now));
    }

    // Only the first daemons in a common order contend for the lease, and only while a
    // change is planned, because calls to the store have a price.
    fn update_lease(&mut self, now: MonoTime) {
        let planned = self
            .planned_since
            .is_some_and(|s| now.since(s) >= MIN_PLANNED_TIME);
        let has_changes = !self.changes.is_empty();
        let rank = self.gateway.rank();
        let contends =
            (planned || has_changes) && rank < LEASE_CONTENDERS && !self.gateway.stopping.get();
        let event_sender = self.event_sender.clone();
        self.lease
            .keep(contends.then_some(rank), now, move |result| {
                // The receiver ends only with the process.
                let _ = event_sender.send(StageEvent::Lease(result));
            });
        let has_authority = self.lease.authority(now).is_some();
        self.authority_since = has_authority.then(|| self.authority_since.unwrap_or(now));
    }

    fn handle(&mut self, event: StageEvent, now: MonoTime) {
        match event {
            StageEvent::Lease(result) => self.lease.take(result, now),
            StageEvent::Ordered(id, stage, result) => self.note_ordered(&id, stage, &result, now),
        }
    }

    fn note_ordered(
        &mut self,
        id: &TargetIncarnation,
        stage: EngineStage,
        result: &Result<OrderOutcome, SendError>,
        now: MonoTime,
    ) {
        log::info!(target_id = id.as_str(), stage = format!("{stage:?}"), outcome = format!("{result:?}"); "attempt to order an engine to change its stage ended");
        metrics::counter!("pistachiowick_stage_orders_total").increment(1);
        let Some(change) = self.changes.get_mut(id) else {
            return;
        };
        change.in_flight = false;
        match result {
            // An order without an answer may still be carried out, so the engine counts as
            // changing until its entry shows its stage.
            Ok(OrderOutcome::Accepted) | Err(SendError::Unclear(_) | SendError::Cut(_)) => {
                change.ordered_at = Some(now);
            }
            Ok(OrderOutcome::Holds | OrderOutcome::Refused(_))
            | Err(SendError::NotSent(_) | SendError::Withdrawn(_)) => {
                self.changes.swap_remove(id);
            }
        }
    }

    fn engines(&self) -> Vec<(ServiceName, Vec<Arc<TargetRecord>>)> {
        let view = self.gateway.view();
        let services = view.targets.iter();
        let staged = services.filter(|(_, targets)| targets.iter().any(|t| t.stage.is_some()));
        staged
            .map(|(service, targets)| (service.clone(), targets.clone()))
            .collect()
    }

    // Returns the share of prefill engines to have. All daemons derive it from the same work,
    // so that a successor plans with about the same share.
    fn prefill_share(&mut self, service: &ServiceName, engines: &[Arc<TargetRecord>]) -> f64 {
        let settings = self.gateway.settings();
        if !settings.stage_share.follow_work {
            self.shares.clear();
            return settings.prefill_share;
        }
        let rate = self.gateway.work_rate();
        let Some(time) = rate.service(service) else {
            let known = self.shares.get(service);
            return known.map_or(settings.prefill_share, StageShare::share);
        };
        let share = self.shares.entry(service.clone()).or_insert_with(|| {
            // A daemon that starts in a fleet that serves continues with the present share.
            let uptime = clock::mono_now().since(self.gateway.started);
            let joins = uptime < JOIN_TIME && !settings.first_start;
            let present = stage_plan::present_share(engines).filter(|_| joins);
            StageShare::new(present.unwrap_or(settings.prefill_share))
        });
        let before = share.share();
        let next = share.update(time, engines.len(), clock::mono_now());
        if next.total_cmp(&before).is_ne() {
            log::info!(service = service.as_str(), before = before, share = next, prefill = time.prefill, decode = time.decode; "share of prefill engines was planned");
        }
        next
    }

    fn planned_changes(&mut self) -> Vec<StageChangePlan> {
        let mut planned_changes = Vec::new();
        let services = self.engines();
        let shares: Vec<f64> = services
            .iter()
            .map(|(service, engines)| self.prefill_share(service, engines))
            .collect();
        let idle = self.gateway.is_idle();
        let core = self.gateway.core.borrow();
        for ((_, engines), share) in services.into_iter().zip(shares) {
            let after: Vec<Arc<TargetRecord>> =
                engines.iter().map(|e| self.with_new_stage(e)).collect();
            let prefill_count = stage_plan::prefill_engine_count(engines.len(), share);
            let at_once = if idle {
                engines.len()
            } else {
                MAX_CONCURRENT_CHANGES.saturating_sub(self.changes.len())
            };
            let limits = self.gateway.limits.borrow();
            let backoffs = self.gateway.backoffs.borrow();
            let now = clock::mono_now();
            // An engine that limits or refuses requests is changed only if no other one can be.
            let running = |id: &TargetIncarnation| {
                if limits.rate(id).is_some() || backoffs.is_backing_off(id, now) {
                    return u32::MAX;
                }
                core.load.total(id).running
            };
            planned_changes.extend(stage_plan::plan_changes(
                &after,
                running,
                prefill_count,
                at_once,
            ));
        }
        planned_changes
    }

    // An engine whose stage is changing counts with its new stage.
    fn with_new_stage(&self, engine: &Arc<TargetRecord>) -> Arc<TargetRecord> {
        match self.changes.get(&engine.id) {
            Some(change) => Arc::new(TargetRecord {
                stage: Some(change.stage),
                ..TargetRecord::clone(engine)
            }),
            None => engine.clone(),
        }
    }

    fn start_changes(&mut self, planned_changes: Vec<StageChangePlan>, now: MonoTime) {
        let settled = self
            .authority_since
            .is_some_and(|since| now.since(since) >= SETTLE_TIME);
        if !settled {
            return;
        }
        for planned in planned_changes {
            if self.changes.contains_key(&planned.engine.id) {
                continue;
            }
            let change = StageChange {
                stage: planned.stage,
                announced_at: now,
                ordered_at: None,
                in_flight: false,
            };
            self.changes.insert(planned.engine.id.clone(), change);
        }
        self.send_due_orders(now);
    }

    fn send_due_orders(&mut self, now: MonoTime) {
        let Some(authority) = self.lease.authority(now) else {
            return;
        };
        let engines: Vec<Arc<TargetRecord>> =
            self.engines().into_iter().flat_map(|(_, e)| e).collect();
        let announcement_time = if self.gateway.is_idle() {
            Duration::ZERO
        } else {
            ANNOUNCEMENT_TIME
        };
        for (id, change) in &mut self.changes {
            let is_announced = now.since(change.announced_at) >= announcement_time;
            if change.in_flight || change.ordered_at.is_some() || !is_announced {
                continue;
            }
            let Some(engine) = engines.iter().find(|e| e.id == *id) else {
                continue;
            };
            change.in_flight = true;
            let (gateway, event_sender) = (self.gateway.clone(), self.event_sender.clone());
            let (engine, stage, fence) = (engine.clone(), change.stage, authority.fence);
            let deadline = authority.deadline;
            spawn_local(async move {
                let result = gateway.order_stage(&engine, stage, fence, deadline).await;
                // The receiver ends only with the process.
                let _ = event_sender.send(StageEvent::Ordered(engine.id.clone(), stage, result));
            });
        }
    }

    // A change is done when the engine shows the new stage, has left, or took too long.
    fn drop_finished(&mut self, now: MonoTime) {
        let engines: Vec<Arc<TargetRecord>> =
            self.engines().into_iter().flat_map(|(_, e)| e).collect();
        let has_lease = self.authority_since.is_some();
        self.changes.retain(|id, change| {
            let Some(engine) = engines.iter().find(|e| e.id == *id) else {
                return false;
            };
            let is_visible = engine.stage == Some(change.stage) && change.ordered_at.is_some();
            let since = change.ordered_at.unwrap_or(change.announced_at);
            let is_overdue = now.since(since) > CHANGE_TIMEOUT;
            let is_abandoned = change.ordered_at.is_none() && !change.in_flight && !has_lease;
            !(is_visible || is_overdue || is_abandoned)
        });
    }

    fn publish(&self) {
        let changing = self.changes.keys().cloned().collect();
        *self.gateway.local_stage_changes.borrow_mut() = changing;
    }
}

/// Daemons that contend for the lease.
const LEASE_CONTENDERS: usize = 2;

impl Gateway {
    // Reads the engine's report first: the order states how many orders the engine has
    // accepted, so that an earlier order that is carried out late cannot undo this one,
    // nor this one a later one.
    async fn order_stage(
        &self,
        engine: &TargetRecord,
        stage: EngineStage,
        fence: FenceNumber,
        deadline: MonoTime,
    ) -> Result<OrderOutcome, SendError> {
        let report = self.fetch_report(engine).await?;
        if report.started_at.is_some() && report.started_at != engine.id.started_at() {
            // The entry is stale: the incarnation that was to be changed has ended.
            self.notify_departed(&engine.id, DepartureSource::Address);
            return Err(SendError::NotSent("the engine has restarted".to_owned()));
        }
        if report.stage == Some(stage) {
            return Ok(OrderOutcome::Holds);
        }
        if report.busy {
            return Err(SendError::NotSent(
                "another order is in progress".to_owned(),
            ));
        }
        if clock::mono_now().plus(CALL_TIMEOUT) >= deadline {
            return Err(SendError::NotSent("the lease is about to end".to_owned()));
        }
        if Some(fence.era()) < (self.ports.store_era)() {
            let reason = "the store was restored, which ends the lease";
            return Err(SendError::NotSent(reason.to_owned()));
        }
        let order = EngineOrder {
            target: engine.id.clone(),
            stage,
            holder: self.daemon.clone(),
            fence,
            orders_accepted: report.orders_accepted,
        };
        let query = (self.ports.wire.encode_order)(&order);
        let (head, body) = self.call_target(engine, query, Some(deadline)).await?;
        Ok((self.ports.wire.decode_order)(head.status, &body))
    }

    async fn fetch_report(&self, engine: &TargetRecord) -> Result<EngineReport, SendError> {
        let query = (self.ports.wire.report_query)();
        let (_, body) = self.call_target(engine, query, None).await?;
        (self.ports.wire.decode_report)(&body).map_err(|e| SendError::NotSent(e.to_string()))
    }

    /// Sends a query to an engine on a connection of its own. A call made under a lease has an
    /// end at which it is given up, and its connection reset.
    pub(super) async fn call_target(
        &self,
        engine: &TargetRecord,
        query: TargetQuery,
        lease_end: Option<MonoTime>,
    ) -> Result<(http::response::Parts, bytes::Bytes), SendError> {
        let deadline = Instant::now() + CALL_TIMEOUT;
        self.await_admission(engine, TurnTerms::default())
            .await
            .map_err(SendError::Withdrawn)?;
        let request = query_request(engine, query);
        let lease_left = lease_end.map(|end| end.since(clock::mono_now()));
        let deadline = lease_left.map_or(deadline, |left| deadline.min(Instant::now() + left));
        let mut connection = match lease_end {
            Some(_) => HttpConnection::open_resetting(engine.address, deadline).await?,
            None => HttpConnection::open(engine.address, deadline).await?,
        };
        let sent = clock::mono_now();
        let answer = client::call(&mut connection, &request, MAX_REPORT_BYTES, deadline).await?;
        self.note_query_answer(engine, &answer.0, sent);
        Ok(answer)
    }
}
