//! Orders servers where the plan wants other ones than there are.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::task::spawn_local;

use crate::gateway::daemon::Gateway;
use crate::gateway::fleet::FleetView;
use crate::gateway::fleet_tasks::server_plan::{self, CentreTargets, CentreWish};
use crate::gateway::fleet_tasks::{FleetTaskTurn, duty_object};
use crate::gateway::model::{ScalingRule, TargetRecord};
use crate::gateway::port::{ServerOrder, ServerOrderOutcome};
use crate::names::{CentreName, MonoTime, ServiceName};
use crate::ports::{ConditionalWrite, ObjectVersion, PlatformError, StoredObject};

/// Name of the object that holds what the operator had provided.
const PROVIDED: &str = "provided";
/// Time for which the number of targets has to stay the same to be taken for what the
/// operator had provided: they register one by one when everything starts.
const STEADY_TIME: Duration = Duration::from_millis(2_000);
/// Pause before servers that were not to be had are asked for again.
const NONE_PAUSE: Duration = Duration::from_millis(1_500);
/// Pause before an order that the platform refused as faulty is tried again: only another
/// configuration changes what it says, and calls are priced.
const REFUSED_PAUSE: Duration = Duration::from_secs(10);
/// Pause after a call that came to nothing.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time beyond their start in which ordered servers register here.
const START_SLACK: Duration = Duration::from_millis(1_500);
/// Time beyond their start after which servers that did not come are ordered again.
const LATE_TIME: Duration = Duration::from_millis(4_000);

/// Targets that the operator had provided before any were ordered, by service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct ProvidedTargets(IndexMap<ServiceName, u32>);

/// What an order is about.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderSubject {
    service: ServiceName,
    centre: CentreName,
    reclaimable: bool,
}

/// What came of a call.
pub enum ServerNews {
    /// What was provided was read.
    Read(Result<Option<StoredObject>, PlatformError>),
    /// What was provided was written.
    Written(Result<ObjectVersion, PlatformError>),
    /// Servers were ordered.
    Ordered(OrderSubject, u32, Result<ServerOrderOutcome, PlatformError>),
}

#[derive(Clone, Copy, Debug)]
struct LastOrder {
    count: u32,
    at: MonoTime,
}

/// The duty as its holder performs it.
#[derive(Debug, Default)]
pub struct ServerDesk {
    provided: Option<(ObjectVersion, ProvidedTargets)>,
    // Targets by service as last seen, and since when.
    steady: Option<(IndexMap<ServiceName, u32>, MonoTime)>,
    orders: IndexMap<OrderSubject, LastOrder>,
    paused: IndexMap<OrderSubject, MonoTime>,
    busy: bool,
    wait_until: MonoTime,
}

impl ServerDesk {
    /// Forgets what only a holder knows.
    pub fn end_turn(&mut self) {
        self.provided = None;
        self.orders.clear();
        self.paused.clear();
    }

    /// Does what is due; `tell` gets what came of it.
    pub fn look(
        &mut self,
        gateway: &Rc<Gateway>,
        turn: &FleetTaskTurn,
        now: MonoTime,
        tell: impl Fn(ServerNews) + 'static,
    ) {
        let view = gateway.view();
        let scaled = scaled_services(&view);
        if scaled.is_empty() || self.busy || now < self.wait_until {
            return;
        }
        let steady = self.is_steady(now);
        let Some((version, provided)) = &self.provided else {
            self.busy = true;
            let store = gateway.ports.store.clone();
            spawn_local(async move {
                tell(ServerNews::Read((store.read)(duty_object(PROVIDED)).await));
            });
            return;
        };
        let all_known = scaled.iter().all(|(name, _)| provided.0.contains_key(name));
        if !all_known {
            if steady {
                self.provide(gateway, &view, &scaled, *version, tell);
            }
            return;
        }
        if let Some((subject, count)) = self.due_order(&view, &scaled, now) {
            self.busy = true;
            order(gateway, turn, (subject, count), tell);
        }
    }

    /// Watches how many targets there are, also before this daemon performs the duty.
    pub fn watch(&mut self, view: &FleetView, now: MonoTime) {
        let scaled = scaled_services(view).into_iter();
        let counted: IndexMap<ServiceName, u32> = scaled
            .map(|(name, _)| {
                let count = count(view, &name);
                (name, count)
            })
            .collect();
        let same = |(known, _): &(IndexMap<ServiceName, u32>, MonoTime)| *known == counted;
        if !self.steady.as_ref().is_some_and(same) {
            self.steady = Some((counted, now));
        }
    }

    fn is_steady(&self, now: MonoTime) -> bool {
        let steady = self.steady.as_ref();
        steady.is_some_and(|(_, since)| now.since(*since) >= STEADY_TIME)
    }

    // What is found before the first order is what the operator had provided. It is kept in
    // the store, or a later holder would take its own orders for it.
    fn provide(
        &mut self,
        gateway: &Rc<Gateway>,
        view: &FleetView,
        scaled: &[(ServiceName, ScalingRule)],
        expected: ObjectVersion,
        tell: impl Fn(ServerNews) + 'static,
    ) {
        let Some((_, provided)) = &mut self.provided else {
            return;
        };
        for (name, _) in scaled {
            provided.0.entry(name.clone()).or_insert(count(view, name));
        }
        log::info!(provided = format!("{:?}", provided.0); "targets provided by the operator");
        let write = ConditionalWrite {
            object: duty_object(PROVIDED),
            expected,
            value: serde_json::to_vec(provided).unwrap_or_default(),
        };
        self.busy = true;
        let store = gateway.ports.store.clone();
        spawn_local(async move {
            tell(ServerNews::Written((store.write)(write).await));
        });
    }

    // The first order that is due; one at a time, as calls to the platform are limited.
    fn due_order(
        &self,
        view: &FleetView,
        scaled: &[(ServiceName, ScalingRule)],
        now: MonoTime,
    ) -> Option<(OrderSubject, u32)> {
        let (_, provided) = self.provided.as_ref()?;
        for (service, rule) in scaled {
            let mut centres = centres_of(view, service, rule);
            for at in &mut centres {
                at.coming = self.coming(service, rule, &at.centre, now);
            }
            let wishes = server_plan::plan(rule, *provided.0.get(service)?, &centres);
            for (wish, at) in wishes.iter().flatten().zip(&centres) {
                let due = self.due_at(service, rule, (wish, at), now);
                if due.is_some() {
                    return due;
                }
            }
        }
        None
    }

    // Reclaimable ones that were ordered so lately that they may still be starting.
    fn coming(
        &self,
        service: &ServiceName,
        rule: &ScalingRule,
        centre: &CentreName,
        now: MonoTime,
    ) -> u32 {
        let subject = OrderSubject {
            service: service.clone(),
            centre: centre.clone(),
            reclaimable: true,
        };
        let last = self.orders.get(&subject);
        let starting = |last: &&LastOrder| now.since(last.at) < rule.boot + START_SLACK;
        last.filter(starting).map_or(0, |last| last.count)
    }

    // Reclaimable ones go first: firm ones leave once these serve.
    fn due_at(
        &self,
        service: &ServiceName,
        rule: &ScalingRule,
        (wish, at): (&CentreWish, &CentreTargets),
        now: MonoTime,
    ) -> Option<(OrderSubject, u32)> {
        let kinds = [
            (true, wish.reclaimable, at.reclaimable),
            (false, wish.firm, at.firm),
        ];
        kinds.into_iter().find_map(|(reclaimable, wanted, there)| {
            let subject = OrderSubject {
                service: service.clone(),
                centre: wish.centre.clone(),
                reclaimable,
            };
            let paused = self.paused.get(&subject).is_some_and(|until| now < *until);
            let last = self.orders.get(&subject);
            let next = server_plan::next_step(there, wanted, last.map(|last| last.count));
            let due = match last {
                None => next != there,
                Some(last) if last.count != next => true,
                Some(last) => next > there && now.since(last.at) > rule.boot + LATE_TIME,
            };
            (due && !paused).then_some((subject, next))
        })
    }

    /// Takes what came of a call.
    pub fn take(&mut self, news: ServerNews, now: MonoTime) {
        self.busy = false;
        match news {
            ServerNews::Read(Ok(found)) => self.provided = read_provided(found),
            ServerNews::Written(Ok(version)) => {
                if let Some((known, _)) = &mut self.provided {
                    *known = version;
                }
            }
            ServerNews::Read(Err(error)) => self.pause(&error, now),
            ServerNews::Written(Err(error)) => {
                self.provided = None;
                self.pause(&error, now);
            }
            ServerNews::Ordered(subject, count, Ok(ServerOrderOutcome::Taken)) => {
                self.orders.insert(subject, LastOrder { count, at: now });
            }
            ServerNews::Ordered(subject, _, Ok(ServerOrderOutcome::NoneThere)) => {
                self.orders.swap_remove(&subject);
                self.paused.insert(subject, now.plus(NONE_PAUSE));
            }
            ServerNews::Ordered(subject, _, Err(error @ PlatformError::Refused { .. })) => {
                self.orders.swap_remove(&subject);
                self.paused.insert(subject, now.plus(REFUSED_PAUSE));
                self.pause(&error, now);
            }
            ServerNews::Ordered(subject, _, Err(error)) => {
                self.orders.swap_remove(&subject);
                self.pause(&error, now);
            }
        }
    }

    fn pause(&mut self, error: &PlatformError, now: MonoTime) {
        log::warn!("servers not ordered yet: {error}");
        self.wait_until = now.plus(RETRY_PAUSE);
    }
}

fn scaled_services(view: &FleetView) -> Vec<(ServiceName, ScalingRule)> {
    let services = view.routes.iter().flat_map(|routes| routes.services());
    let scaled = services.filter_map(|s| Some((s.name.clone(), s.scaling.clone()?)));
    scaled.collect()
}

fn count(view: &FleetView, service: &ServiceName) -> u32 {
    u32::try_from(view.service_targets(service).len()).unwrap_or(u32::MAX)
}

// In the order of the data centres' names, so that all look alike to each holder.
fn centres_of(view: &FleetView, service: &ServiceName, rule: &ScalingRule) -> Vec<CentreTargets> {
    let targets = view.service_targets(service);
    let mut centres: Vec<CentreTargets> = rule
        .centre_prices
        .iter()
        .map(|(centre, price)| {
            let there = |t: &&std::sync::Arc<TargetRecord>| t.centre == *centre;
            let (reclaimable, firm): (Vec<_>, Vec<_>) =
                targets.iter().filter(there).partition(|t| t.reclaimable);
            CentreTargets {
                centre: centre.clone(),
                price: *price,
                firm: u32::try_from(firm.len()).unwrap_or(u32::MAX),
                reclaimable: u32::try_from(reclaimable.len()).unwrap_or(u32::MAX),
                coming: 0,
            }
        })
        .collect();
    centres.sort_by(|a, b| a.centre.cmp(&b.centre));
    centres
}

fn read_provided(found: Option<StoredObject>) -> Option<(ObjectVersion, ProvidedTargets)> {
    let Some(StoredObject { version, value, .. }) = found else {
        return Some((ObjectVersion(0), ProvidedTargets::default()));
    };
    match serde_json::from_slice(&value.unwrap_or_default()) {
        Ok(provided) => Some((version, provided)),
        Err(error) => {
            log::error!(
                "what the operator had provided cannot be read ({error}); nothing is ordered until it can"
            );
            None
        }
    }
}

fn order(
    gateway: &Rc<Gateway>,
    turn: &FleetTaskTurn,
    (subject, count): (OrderSubject, u32),
    tell: impl Fn(ServerNews) + 'static,
) {
    let (ports, turn) = (gateway.ports.clone(), turn.clone());
    let wanted = ServerOrder {
        service: subject.service.clone(),
        centre: subject.centre.clone(),
        count,
        reclaimable: subject.reclaimable,
    };
    spawn_local(async move {
        let answer = match ports.duties.filter(|_| turn.lasts()) {
            Some(duties) => (duties.order_servers)((turn.caller, wanted)).await,
            None => Err(PlatformError::Unavailable {
                reason: "the right to order ended".to_owned(),
                retry_after: RETRY_PAUSE,
            }),
        };
        log::info!(
            centre = subject.centre.as_str(), reclaimable = subject.reclaimable, count = count,
            outcome = format!("{answer:?}");
            "servers ordered"
        );
        metrics::counter!("pistachiowick_server_orders_total").increment(1);
        tell(ServerNews::Ordered(subject, count, answer));
    });
}
