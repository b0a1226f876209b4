//! Orders servers where the planned number of targets differs from the registered one.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::task::spawn_local;

use crate::gateway::daemon::Gateway;
use crate::gateway::fleet::FleetView;
use crate::gateway::fleet_tasks::demand_plan::{
    DemandPlanner, OrderResult, ServerKind, ServerSituation, needed_engines,
};
use crate::gateway::fleet_tasks::server_plan::{self, CentreTargets, DesiredCounts};
use crate::gateway::fleet_tasks::{FleetTaskTurn, state_object};
use crate::gateway::model::{ScalingRule, TargetRecord};
use crate::gateway::port::{ServerOrder, ServerOrderOutcome};
use crate::names::{CentreName, MonoTime, ServiceName};
use crate::ports::{ConditionalWrite, ObjectVersion, PlatformError, StoredObject};

/// Name of the object that records how many targets the operator had provided.
const PROVIDED_OBJECT: &str = "provided";
/// Time for which the number of targets has to stay the same before it counts as what the
/// operator had provided: when everything starts, targets register one by one.
const STABLE_TIME: Duration = Duration::from_millis(2_000);
/// The same before reclaimable servers are ordered by demand, while no on-demand ones are
/// released: a number that is too low is corrected by the next order.
const EARLY_STABLE_TIME: Duration = Duration::from_millis(500);
/// Delay before servers are ordered again after the platform had no capacity.
const NO_CAPACITY_DELAY: Duration = Duration::from_millis(1_500);
/// Delay before an order that the platform refused as invalid is retried: only another
/// configuration changes the result, and calls have a price.
const REFUSED_DELAY: Duration = Duration::from_secs(10);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after their expected start in which ordered servers register.
const REGISTRATION_SLACK: Duration = Duration::from_millis(1_500);
/// Time after their expected start at which missing servers are ordered again.
const OVERDUE_TIME: Duration = Duration::from_millis(4_000);

/// Numbers of targets that the operator had provided before the first order, by service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct ProvidedTargets(IndexMap<ServiceName, u32>);

/// Identifies the targets that an order is for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderKey {
    service: ServiceName,
    centre: CentreName,
    reclaimable: bool,
}

/// Result of a call to the store or the platform.
pub enum ServerEvent {
    /// The provided numbers were read.
    Read(Result<Option<StoredObject>, PlatformError>),
    /// The provided numbers were written.
    Written(Result<ObjectVersion, PlatformError>),
    /// Servers were ordered.
    Ordered(OrderKey, u32, Result<ServerOrderOutcome, PlatformError>),
}

#[derive(Clone, Copy, Debug)]
struct LastOrder {
    count: u32,
    at: MonoTime,
}

/// Fleet task that orders servers.
#[derive(Debug, Default)]
pub struct ServerScaler {
    provided: Option<(ObjectVersion, ProvidedTargets)>,
    // Services whose provided numbers an earlier holder had recorded.
    inherited: Vec<ServiceName>,
    // Filled while the number of servers follows the demand.
    planners: IndexMap<ServiceName, DemandPlanner>,
    // View whose on-demand targets were counted last, while the number follows the demand.
    counted_view: Option<Arc<FleetView>>,
    // Number of targets by service as last observed, and since when.
    observed: Option<(IndexMap<ServiceName, u32>, MonoTime)>,
    orders: IndexMap<OrderKey, LastOrder>,
    delayed: IndexMap<OrderKey, MonoTime>,
    call_pending: bool,
    backoff_until: MonoTime,
}

impl ServerScaler {
    /// Drops the state that is valid only while the lease is held.
    pub fn reset(&mut self) {
        self.provided = None;
        self.orders.clear();
        self.delayed.clear();
        self.inherited.clear();
        self.planners.values_mut().for_each(DemandPlanner::reset);
    }

    /// Starts the next call that is due; `send` receives its result.
    pub fn check(
        &mut self,
        gateway: &Rc<Gateway>,
        turn: &FleetTaskTurn,
        now: MonoTime,
        send: impl Fn(ServerEvent) + 'static,
    ) {
        let view = gateway.view();
        let scaled = scaled_services(&view);
        if scaled.is_empty() || self.call_pending || now < self.backoff_until {
            return;
        }
        let stable = self.is_stable(now);
        let Some((version, provided)) = &self.provided else {
            self.call_pending = true;
            let store = gateway.ports.store.clone();
            spawn_local(async move {
                send(ServerEvent::Read(
                    (store.read)(state_object(PROVIDED_OBJECT)).await,
                ));
            });
            return;
        };
        let all_recorded = scaled.iter().all(|(name, _)| provided.0.contains_key(name));
        let follows_demand = gateway.settings().server_count.follow_demand;
        if !all_recorded {
            if stable {
                self.record_provided(gateway, &view, &scaled, *version, send);
                return;
            }
            if !follows_demand || !self.is_stable_for(EARLY_STABLE_TIME, now) {
                return;
            }
        }
        let due = if follows_demand {
            self.order_by_demand(&view, &scaled, now)
        } else {
            self.due_order(&view, &scaled, now)
        };
        if let Some((key, count)) = due {
            self.call_pending = true;
            place_order(gateway, turn, (key, count), send);
        }
    }

    /// Observes the numbers of targets and the demand, also while another daemon performs the
    /// task.
    pub fn observe(&mut self, gateway: &Gateway, view: &Arc<FleetView>, now: MonoTime) {
        let follows_demand = gateway.settings().server_count.follow_demand;
        if follows_demand {
            self.observe_demand(gateway, now);
            // Counting on-demand targets takes a pass over all of them.
            let is_known = |known: &Arc<FleetView>| Arc::ptr_eq(known, view);
            if self.counted_view.as_ref().is_some_and(is_known) {
                return;
            }
            self.counted_view = Some(view.clone());
        } else {
            self.planners.clear();
            self.counted_view = None;
        }
        let scaled = scaled_services(view).into_iter();
        let counts: IndexMap<ServiceName, u32> = scaled
            .map(|(name, _)| {
                let count = provided_count(view, &name, follows_demand);
                (name, count)
            })
            .collect();
        let same = |(known, _): &(IndexMap<ServiceName, u32>, MonoTime)| *known == counts;
        if !self.observed.as_ref().is_some_and(same) {
            self.observed = Some((counts, now));
        }
    }

    fn observe_demand(&mut self, gateway: &Gateway, now: MonoTime) {
        let rate = gateway.work_rate();
        let share = gateway.settings().prefill_share;
        let services = self.observed.iter().flat_map(|(counts, _)| counts.keys());
        for service in services {
            let time = rate.service(service);
            let needed = time.map_or(0.0, |time| needed_engines(time, share));
            let is_new = !self.planners.contains_key(service);
            let was_ordered = || self.orders.keys().any(|key| key.service == *service);
            // The setting was turned on by a holder that has ordered servers without it.
            if is_new && was_ordered() {
                self.inherited.push(service.clone());
            }
            let planner = self.planners.entry(service.clone()).or_default();
            planner.peak.observe(needed, now);
            let name = || service.to_string();
            metrics::gauge!("pistachiowick_server_demand", "service" => name()).set(needed);
            let busy = time.map_or((0.0, 0.0), |time| (time.prefill, time.decode));
            for (stage, engines) in [("prefill", busy.0), ("decode", busy.1)] {
                metrics::gauge!("pistachiowick_engines_busy", "service" => name(), "stage" => stage)
                    .set(engines);
            }
        }
    }

    fn is_stable(&self, now: MonoTime) -> bool {
        self.is_stable_for(STABLE_TIME, now)
    }

    fn is_stable_for(&self, time: Duration, now: MonoTime) -> bool {
        let observed = self.observed.as_ref();
        observed.is_some_and(|(_, since)| now.since(*since) >= time)
    }

    // Returns the first due order where the number of servers follows the demand.
    fn order_by_demand(
        &mut self,
        view: &FleetView,
        scaled: &[(ServiceName, ScalingRule)],
        now: MonoTime,
    ) -> Option<(OrderKey, u32)> {
        let (_, provided) = self.provided.as_ref()?;
        for (service, rule) in scaled {
            let centres = centres_of(view, service, rule);
            let recorded = provided.0.get(service);
            let situation = ServerSituation {
                rule,
                provided: recorded
                    .copied()
                    .unwrap_or_else(|| provided_count(view, service, true)),
                recorded: recorded.is_some(),
                takes_over: self.inherited.contains(service),
                centres: &centres,
            };
            let planner = self.planners.entry(service.clone()).or_default();
            let before = planner.planned();
            let due = planner.next_order(&situation, now);
            if planner.planned() != before {
                let peak = planner.peak.servers(situation.takes_over, now);
                log::info!(service = service.as_str(), planned = planner.planned(), peak = peak, provided = situation.provided; "number of reclaimable servers to have was planned");
            }
            if let Some((kind, count)) = due {
                let key = OrderKey {
                    service: service.clone(),
                    centre: kind.centre,
                    reclaimable: kind.reclaimable,
                };
                return Some((key, count));
            }
        }
        None
    }

    // The targets found before the first order are what the operator had provided. Their
    // numbers are recorded in the store; otherwise, a later holder would count the ordered
    // targets as well.
    fn record_provided(
        &mut self,
        gateway: &Rc<Gateway>,
        view: &FleetView,
        scaled: &[(ServiceName, ScalingRule)],
        expected: ObjectVersion,
        send: impl Fn(ServerEvent) + 'static,
    ) {
        let Some((_, provided)) = &mut self.provided else {
            return;
        };
        let follows_demand = gateway.settings().server_count.follow_demand;
        for (name, _) in scaled {
            provided
                .0
                .entry(name.clone())
                .or_insert_with(|| provided_count(view, name, follows_demand));
        }
        log::info!(provided = format!("{:?}", provided.0); "recording the number of targets provided by the operator");
        let write = ConditionalWrite {
            object: state_object(PROVIDED_OBJECT),
            expected,
            value: serde_json::to_vec(provided).unwrap_or_default(),
        };
        self.call_pending = true;
        let store = gateway.ports.store.clone();
        spawn_local(async move {
            send(ServerEvent::Written((store.write)(write).await));
        });
    }

    // Returns the first due order. Only one at a time, since calls to the platform are limited.
    fn due_order(
        &self,
        view: &FleetView,
        scaled: &[(ServiceName, ScalingRule)],
        now: MonoTime,
    ) -> Option<(OrderKey, u32)> {
        let (_, provided) = self.provided.as_ref()?;
        for (service, rule) in scaled {
            let mut centres = centres_of(view, service, rule);
            for current in &mut centres {
                current.expected_reclaimable =
                    self.expected_reclaimable(service, rule, &current.centre, now);
            }
            let plan = server_plan::plan(rule, *provided.0.get(service)?, &centres);
            for (desired, current) in plan.iter().flatten().zip(&centres) {
                let due = self.due_order_in(service, rule, (desired, current), now);
                if due.is_some() {
                    return due;
                }
            }
        }
        None
    }

    // Returns the number of reclaimable targets in an order recent enough to be starting.
    fn expected_reclaimable(
        &self,
        service: &ServiceName,
        rule: &ScalingRule,
        centre: &CentreName,
        now: MonoTime,
    ) -> u32 {
        let key = OrderKey {
            service: service.clone(),
            centre: centre.clone(),
            reclaimable: true,
        };
        let last = self.orders.get(&key);
        let starting = |last: &&LastOrder| now.since(last.at) < rule.boot_time + REGISTRATION_SLACK;
        last.filter(starting).map_or(0, |last| last.count)
    }

    // Reclaimable targets are ordered first: on-demand ones are released once those serve.
    fn due_order_in(
        &self,
        service: &ServiceName,
        rule: &ScalingRule,
        (desired, current): (&DesiredCounts, &CentreTargets),
        now: MonoTime,
    ) -> Option<(OrderKey, u32)> {
        let kinds = [
            (true, desired.reclaimable, current.reclaimable),
            (false, desired.on_demand, current.on_demand),
        ];
        kinds.into_iter().find_map(|(reclaimable, goal, count)| {
            let key = OrderKey {
                service: service.clone(),
                centre: desired.centre.clone(),
                reclaimable,
            };
            let delayed = self.delayed.get(&key).is_some_and(|until| now < *until);
            let last = self.orders.get(&key);
            let next = server_plan::next_step(count, goal, last.map(|last| last.count));
            let due = match last {
                None => next != count,
                Some(last) if last.count != next => true,
                Some(last) => next > count && now.since(last.at) > rule.boot_time + OVERDUE_TIME,
            };
            (due && !delayed).then_some((key, next))
        })
    }

    /// Handles the result of a call.
    pub fn handle(&mut self, event: ServerEvent, now: MonoTime) {
        self.call_pending = false;
        if let ServerEvent::Ordered(key, count, result) = &event {
            self.note_result(key, *count, result, now);
        }
        match event {
            ServerEvent::Read(Ok(stored)) => {
                self.provided = read_provided(stored);
                let recorded = self.provided.iter().flat_map(|(_, known)| known.0.keys());
                self.inherited = recorded.cloned().collect();
            }
            ServerEvent::Written(Ok(version)) => {
                if let Some((known, _)) = &mut self.provided {
                    *known = version;
                }
            }
            ServerEvent::Read(Err(error)) => self.back_off(&error, now),
            ServerEvent::Written(Err(error)) => {
                self.provided = None;
                self.back_off(&error, now);
            }
            ServerEvent::Ordered(key, count, Ok(ServerOrderOutcome::Taken)) => {
                self.orders.insert(key, LastOrder { count, at: now });
            }
            ServerEvent::Ordered(key, _, Ok(ServerOrderOutcome::NoneThere)) => {
                self.orders.swap_remove(&key);
                self.delayed.insert(key, now.plus(NO_CAPACITY_DELAY));
            }
            ServerEvent::Ordered(key, _, Err(error @ PlatformError::Refused { .. })) => {
                self.orders.swap_remove(&key);
                self.delayed.insert(key, now.plus(REFUSED_DELAY));
                self.back_off(&error, now);
            }
            ServerEvent::Ordered(key, _, Err(error)) => {
                self.orders.swap_remove(&key);
                self.back_off(&error, now);
            }
        }
    }

    fn note_result(
        &mut self,
        key: &OrderKey,
        count: u32,
        result: &Result<ServerOrderOutcome, PlatformError>,
        now: MonoTime,
    ) {
        let Some(planner) = self.planners.get_mut(&key.service) else {
            return;
        };
        let kind = ServerKind {
            centre: key.centre.clone(),
            reclaimable: key.reclaimable,
        };
        let result = match result {
            Ok(ServerOrderOutcome::Taken) => OrderResult::Accepted,
            Ok(ServerOrderOutcome::NoneThere) => OrderResult::Unavailable,
            Err(PlatformError::Refused { .. }) => OrderResult::Invalid,
            Err(_) => OrderResult::Unknown,
        };
        planner.note_result((kind, count), result, now);
    }

    fn back_off(&mut self, error: &PlatformError, now: MonoTime) {
        log::warn!("a call for ordering servers failed, retrying: {error}");
        self.backoff_until = now.plus(RETRY_DELAY);
    }
}

fn scaled_services(view: &FleetView) -> Vec<(ServiceName, ScalingRule)> {
    let services = view.routes.iter().flat_map(|routes| routes.services());
    let scaled = services.filter_map(|s| Some((s.name.clone(), s.scaling.clone()?)));
    scaled.collect()
}

fn target_count(view: &FleetView, service: &ServiceName) -> u32 {
    u32::try_from(view.service_targets(service).len()).unwrap_or(u32::MAX)
}

// Reclaimable targets are ordered by daemons, which may happen before the number is recorded.
fn provided_count(view: &FleetView, service: &ServiceName, follows_demand: bool) -> u32 {
    let targets = view.service_targets(service).iter();
    let on_demand = targets.filter(|target| !target.reclaimable).count();
    match u32::try_from(on_demand).unwrap_or(u32::MAX) {
        count if follows_demand && count > 0 => count,
        _ => target_count(view, service),
    }
}

// Sorted by name, so that every holder sees the data centres in the same order.
fn centres_of(view: &FleetView, service: &ServiceName, rule: &ScalingRule) -> Vec<CentreTargets> {
    let targets = view.service_targets(service);
    let mut centres: Vec<CentreTargets> = rule
        .centre_prices
        .iter()
        .map(|(centre, price)| {
            let in_centre = |t: &&Arc<TargetRecord>| t.centre == *centre;
            let (reclaimable, on_demand): (Vec<_>, Vec<_>) = targets
                .iter()
                .filter(in_centre)
                .partition(|t| t.reclaimable);
            CentreTargets {
                centre: centre.clone(),
                price: *price,
                on_demand: u32::try_from(on_demand.len()).unwrap_or(u32::MAX),
                reclaimable: u32::try_from(reclaimable.len()).unwrap_or(u32::MAX),
                expected_reclaimable: 0,
            }
        })
        .collect();
    centres.sort_by(|a, b| a.centre.cmp(&b.centre));
    centres
}

fn read_provided(stored: Option<StoredObject>) -> Option<(ObjectVersion, ProvidedTargets)> {
    let Some(StoredObject { version, value, .. }) = stored else {
        return Some((ObjectVersion(0), ProvidedTargets::default()));
    };
    match serde_json::from_slice(&value.unwrap_or_default()) {
        Ok(provided) => Some((version, provided)),
        Err(error) => {
            log::error!(
                "cannot read the numbers of targets provided by the operator ({error}); no servers are ordered until the object named provided of kind pistachiowick-duties is corrected"
            );
            None
        }
    }
}

fn place_order(
    gateway: &Rc<Gateway>,
    turn: &FleetTaskTurn,
    (key, count): (OrderKey, u32),
    send: impl Fn(ServerEvent) + 'static,
) {
    let (ports, turn) = (gateway.ports.clone(), turn.clone());
    let order = ServerOrder {
        service: key.service.clone(),
        centre: key.centre.clone(),
        count,
        reclaimable: key.reclaimable,
    };
    spawn_local(async move {
        let result = match ports.fleet_tasks.filter(|_| turn.is_valid()) {
            Some(port) => (port.order_servers)((turn.caller, order)).await,
            None => Err(PlatformError::Unavailable {
                reason: "the lease for fleet tasks was about to expire before the order was sent"
                    .to_owned(),
                retry_after: RETRY_DELAY,
            }),
        };
        log::info!(
            centre = key.centre.as_str(), reclaimable = key.reclaimable, count = count,
            outcome = format!("{result:?}");
            "server order call finished"
        );
        metrics::counter!("pistachiowick_server_orders_total").increment(1);
        send(ServerEvent::Ordered(key, count, result));
    });
}
