//! Orders engines to change their stage, by one daemon at a time.
//!
//! The right to order is a lease in the store. It is taken only while a change is
//! wanted and given up after it. Engines here do not check who orders them, so two
//! daemons that order in turns would do harm that no later step mends: a daemon
//! orders only well before its lease ends on its own clock, and a new holder waits
//! until nothing of the one before can arrive any more.

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
use crate::gateway::deciding::stage_plan::{self, StageChangePlan};
use crate::gateway::lease_upkeep::{LeaseCallResult, LeaseManager};
use crate::gateway::model::{EngineStage, TargetRecord};
use crate::gateway::port::{EngineOrder, EngineReport, OrderOutcome, TargetQuery};
use crate::gateway::sending::query_request;
use crate::names::{FenceNumber, MonoTime, ServiceName};
use crate::target_incarnation::TargetIncarnation;
use crate::timer::TimerService;

/// Group of the lease: all engines together, so that there is one holder.
const GROUP: &str = "engine-stages";
/// How long a lease lasts. Long against a slow answer of the store.
const LEASE_TIME: Duration = Duration::from_secs(6);
/// How long before its end the holder stops ordering.
const LEASE_GUARD: Duration = Duration::from_millis(2_500);
/// Longest time that an order may be under way: unacknowledged bytes end their
/// connection before.
const ORDER_FLIGHT: Duration = Duration::from_millis(3_000);
/// Time between taking the lease and the first order. Within it another daemon's
/// last order may still have arrived.
const SETTLE_TIME: Duration = Duration::from_millis(3_500);
/// How often the plan is looked at.
const PLAN_EVERY: Duration = Duration::from_millis(250);
/// Time between telling the other daemons of a change and the order, so that they
/// send no more work to the engine.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// Time for a report or an order.
const CALL_WAIT: Duration = Duration::from_millis(1_200);
/// Largest report, in bytes.
const MOST_REPORT: usize = 1 << 20;
/// Time after which an engine that took an order should show its new stage.
const CHANGE_TIME: Duration = Duration::from_secs(9);
/// Engines changed at once while requests are served.
const CHANGES_AT_ONCE: usize = 2;
/// Time that a change must be wanted before the lease is taken.
const WANTED_FOR: Duration = Duration::from_millis(1_500);

/// A change under way.
#[derive(Clone, Debug)]
struct StageChange {
    stage: EngineStage,
    announced_at: MonoTime,
    ordered_at: Option<MonoTime>,
    busy: bool,
}

struct StageDesk {
    gateway: Rc<Gateway>,
    lease: LeaseManager,
    held_since: Option<MonoTime>,
    wanted_since: Option<MonoTime>,
    changes: IndexMap<TargetIncarnation, StageChange>,
    results: mpsc::UnboundedSender<DeskNews>,
}

enum DeskNews {
    Lease(LeaseCallResult),
    Ordered(
        TargetIncarnation,
        EngineStage,
        Result<OrderOutcome, SendError>,
    ),
}

/// Runs until the process ends.
pub async fn run(gateway: Rc<Gateway>) {
    let (results, mut inbox) = mpsc::unbounded_channel();
    let times = LeaseTimes {
        duration: LEASE_TIME,
        guard: LEASE_GUARD,
        order_flight: ORDER_FLIGHT,
    };
    let mut desk = StageDesk {
        lease: LeaseManager::new(gateway.clone(), GROUP, times),
        gateway,
        held_since: None,
        wanted_since: None,
        changes: IndexMap::new(),
        results,
    };
    let timer = TimerService::start();
    let mut ticks = timer.every(PLAN_EVERY);
    loop {
        tokio::select! {
            _ = ticks.next() => desk.tick(clock::mono_now()),
            Some(news) = inbox.recv() => desk.take(news, clock::mono_now()),
        }
    }
}

impl StageDesk {
    fn tick(&mut self, now: MonoTime) {
        self.forget_done(now);
        let wishes = self.wishes();
        self.note_wanted(!wishes.is_empty(), now);
        self.update_lease(now);
        self.obey(wishes, now);
        self.publish();
    }

    fn note_wanted(&mut self, wanted: bool, now: MonoTime) {
        self.wanted_since = wanted.then(|| self.wanted_since.unwrap_or(now));
    }

    // Only the first daemons in a common order contend for the lease, and only while
    // a change is wanted: calls to the store cost.
    fn update_lease(&mut self, now: MonoTime) {
        let wanted = self
            .wanted_since
            .is_some_and(|s| now.since(s) >= WANTED_FOR);
        let busy = !self.changes.is_empty();
        let rank = self.gateway.rank();
        let contends = (wanted || busy) && rank < CONTENDERS && !self.gateway.stopping.get();
        let results = self.results.clone();
        self.lease
            .keep(contends.then_some(rank), now, move |answer| {
                // The desk ends only with the process.
                let _ = results.send(DeskNews::Lease(answer));
            });
        let held = self.lease.authority(now).is_some();
        self.held_since = held.then(|| self.held_since.unwrap_or(now));
    }

    fn take(&mut self, news: DeskNews, now: MonoTime) {
        match news {
            DeskNews::Lease(answer) => self.lease.take(answer, now),
            DeskNews::Ordered(id, stage, result) => self.note_ordered(&id, stage, &result, now),
        }
    }

    fn note_ordered(
        &mut self,
        id: &TargetIncarnation,
        stage: EngineStage,
        result: &Result<OrderOutcome, SendError>,
        now: MonoTime,
    ) {
        log::info!(target_id = id.as_str(), stage = format!("{stage:?}"), outcome = format!("{result:?}"); "engine ordered to change its stage");
        metrics::counter!("pistachiowick_stage_orders_total").increment(1);
        let Some(change) = self.changes.get_mut(id) else {
            return;
        };
        change.busy = false;
        match result {
            // An order without an answer may still be carried out, so the engine is
            // treated as changing until it shows what it does.
            Ok(OrderOutcome::Accepted) | Err(SendError::Unclear(_) | SendError::Cut(_)) => {
                change.ordered_at = Some(now);
            }
            Ok(OrderOutcome::Holds | OrderOutcome::Refused(_)) | Err(SendError::NotSent(_)) => {
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

    fn wishes(&self) -> Vec<StageChangePlan> {
        let mut wishes = Vec::new();
        let share = self.gateway.settings().prefill_share;
        let idle = self.gateway.is_idle();
        let core = self.gateway.core.borrow();
        for (_, engines) in self.engines() {
            let after: Vec<Arc<TargetRecord>> =
                engines.iter().map(|e| self.as_changed(e)).collect();
            let wanted = stage_plan::prefill_engine_count(engines.len(), share);
            let at_once = if idle {
                engines.len()
            } else {
                CHANGES_AT_ONCE.saturating_sub(self.changes.len())
            };
            let running = |id: &TargetIncarnation| core.load.total(id).running;
            wishes.extend(stage_plan::plan_changes(&after, running, wanted, at_once));
        }
        wishes
    }

    // An engine under change counts with the stage that it will have.
    fn as_changed(&self, engine: &Arc<TargetRecord>) -> Arc<TargetRecord> {
        match self.changes.get(&engine.id) {
            Some(change) => Arc::new(TargetRecord {
                stage: Some(change.stage),
                ..TargetRecord::clone(engine)
            }),
            None => engine.clone(),
        }
    }

    fn obey(&mut self, wishes: Vec<StageChangePlan>, now: MonoTime) {
        let settled = self
            .held_since
            .is_some_and(|since| now.since(since) >= SETTLE_TIME);
        if !settled {
            return;
        }
        for wish in wishes {
            if self.changes.contains_key(&wish.engine.id) {
                continue;
            }
            let change = StageChange {
                stage: wish.stage,
                announced_at: now,
                ordered_at: None,
                busy: false,
            };
            self.changes.insert(wish.engine.id.clone(), change);
        }
        self.send_due(now);
    }

    fn send_due(&mut self, now: MonoTime) {
        let Some(authority) = self.lease.authority(now) else {
            return;
        };
        let engines: Vec<Arc<TargetRecord>> =
            self.engines().into_iter().flat_map(|(_, e)| e).collect();
        let notice = if self.gateway.is_idle() {
            Duration::ZERO
        } else {
            NOTICE_TIME
        };
        for (id, change) in &mut self.changes {
            let waited = now.since(change.announced_at) >= notice;
            if change.busy || change.ordered_at.is_some() || !waited {
                continue;
            }
            let Some(engine) = engines.iter().find(|e| e.id == *id) else {
                continue;
            };
            change.busy = true;
            let (gateway, results) = (self.gateway.clone(), self.results.clone());
            let (engine, stage, fence) = (engine.clone(), change.stage, authority.fence);
            let until = authority.until;
            spawn_local(async move {
                let result = gateway.order_stage(&engine, stage, fence, until).await;
                // The desk ends only with the process.
                let _ = results.send(DeskNews::Ordered(engine.id.clone(), stage, result));
            });
        }
    }

    // A change is done when the engine shows its stage, has left, or took too long.
    fn forget_done(&mut self, now: MonoTime) {
        let engines: Vec<Arc<TargetRecord>> =
            self.engines().into_iter().flat_map(|(_, e)| e).collect();
        let has_lease = self.held_since.is_some();
        self.changes.retain(|id, change| {
            let Some(engine) = engines.iter().find(|e| e.id == *id) else {
                return false;
            };
            let shown = engine.stage == Some(change.stage) && change.ordered_at.is_some();
            let since = change.ordered_at.unwrap_or(change.announced_at);
            let overdue = now.since(since) > CHANGE_TIME;
            let dropped = change.ordered_at.is_none() && !change.busy && !has_lease;
            !(shown || overdue || dropped)
        });
    }

    fn publish(&self) {
        let changing = self.changes.keys().cloned().collect();
        *self.gateway.local_stage_changes.borrow_mut() = changing;
    }
}

/// Daemons that contend for the lease.
const CONTENDERS: usize = 2;

impl Gateway {
    // Reads the engine's state first: the order names the number of orders that the
    // engine has taken, so that an earlier order which is carried out late cannot
    // undo this one, nor this one a later one.
    async fn order_stage(
        &self,
        engine: &TargetRecord,
        stage: EngineStage,
        fence: FenceNumber,
        until: MonoTime,
    ) -> Result<OrderOutcome, SendError> {
        let report = self.read_report(engine).await?;
        if report.born.is_some() && report.born != engine.id.started_at() {
            // Its entry lags: the life that was to be changed has ended.
            self.notify_departed(&engine.id);
            return Err(SendError::NotSent("the engine started again".to_owned()));
        }
        if report.stage == Some(stage) {
            return Ok(OrderOutcome::Holds);
        }
        if report.busy {
            return Err(SendError::NotSent(
                "another order is in progress".to_owned(),
            ));
        }
        if clock::mono_now().plus(CALL_WAIT) >= until {
            return Err(SendError::NotSent("the lease ends soon".to_owned()));
        }
        let order = EngineOrder {
            target: engine.id.clone(),
            stage,
            holder: self.daemon.clone(),
            fence,
            orders_accepted: report.orders_accepted,
        };
        let query = (self.ports.wire.encode_order)(&order);
        let (head, body) = self.call_target(engine, query).await?;
        Ok((self.ports.wire.decode_order)(head.status, &body))
    }

    async fn read_report(&self, engine: &TargetRecord) -> Result<EngineReport, SendError> {
        let query = (self.ports.wire.report_query)();
        let (_, body) = self.call_target(engine, query).await?;
        (self.ports.wire.decode_report)(&body).map_err(|e| SendError::NotSent(e.to_string()))
    }

    async fn call_target(
        &self,
        engine: &TargetRecord,
        query: TargetQuery,
    ) -> Result<(http::response::Parts, bytes::Bytes), SendError> {
        let until = Instant::now() + CALL_WAIT;
        let request = query_request(engine, query);
        let mut link = HttpConnection::open(engine.address, until).await?;
        client::call(&mut link, &request, MOST_REPORT, until).await
    }
}
