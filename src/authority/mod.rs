//! Combines the leases, orders and plan of one daemon into its platform calls and
//! orders.

pub mod actions;
pub mod lease;
pub mod lease_groups;
pub mod lease_record;
pub mod lease_state;
pub mod order_record;
pub mod order_types;
pub mod orders;

use std::time::Duration;

use indexmap::IndexMap;

use crate::authority::actions::{
    AuthorityAction, COUNT_KIND, CallTag, count_object, lease_action, order_action, platform_action,
};
use crate::authority::lease::LeaseTable;
use crate::authority::lease_groups::{GroupCounts, PLAN_GROUP};
use crate::authority::lease_state::LeaseTimes;
use crate::authority::order_record::{ORDER_KIND, OrderRecord, order_object};
use crate::authority::order_types::OrderTimes;
use crate::authority::orders::OrderManager;
use crate::control::snapshot::{ConfigView, LeaseView};
use crate::membership::fleet::FleetView;
use crate::names::{CentreName, DaemonId, GroupName, MonoTime, ProcessIncarnation, TargetId};
use crate::ports::{ConditionalWrite, ObjectVersion, PlatformError, StoredObject, TargetError};
use crate::requests::journal::{DecisionJournal, DecisionKind};
use crate::roles::mix::MixForecast;
use crate::roles::plan::{PlanDecision, RolePlanner};
use crate::roles::plan_inputs::{
    has_planned_state, model_needs, plan_engines, request_planned_changes,
};
use crate::roles::plan_store::{PlanStore, planned_changes_of};
use crate::settings::DaemonSettings;
use crate::targets::wire::{EngineState, OrderBody};

const COUNT_RETRY_PAUSE: Duration = Duration::from_secs(1);
const GROUPS_INTERVAL: Duration = Duration::from_millis(500);
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
const MAX_CHANGE_AGE: Duration = Duration::from_secs(600);
// After this time, a drain or stored order no longer keeps its engine out of use; its
// lease holder may have failed.
const MAX_DRAIN_AGE: Duration = Duration::from_secs(400);

/// Inputs of the decisions.
#[derive(Clone, Copy)]
pub struct AuthorityInputs<'a> {
    /// Targets and daemons.
    pub fleet: &'a FleetView,
    /// Applied configuration.
    pub config: &'a ConfigView,
    /// Forecast of the workload mix.
    pub mix: &'a MixForecast,
}

#[derive(Clone, Debug)]
struct ObservedOrders {
    version: ObjectVersion,
    record: OrderRecord,
    started: IndexMap<TargetId, MonoTime>,
}

/// Leases, orders and the plan as one daemon sees them.
#[derive(Clone, Debug)]
pub struct AuthorityState {
    daemon_id: DaemonId,
    group_engines: usize,
    times: OrderTimes,
    counts: GroupCounts,
    next_count_at: IndexMap<CentreName, MonoTime>,
    leases: LeaseTable,
    managers: IndexMap<GroupName, OrderManager>,
    plan: Option<PlanStore>,
    planner: RolePlanner,
    next_plan_at: MonoTime,
    planned_at: IndexMap<TargetId, MonoTime>,
    observed: IndexMap<String, ObservedOrders>,
    groups: IndexMap<TargetId, GroupName>,
    next_groups_at: MonoTime,
    journal: DecisionJournal,
}

impl AuthorityState {
    /// Creates the state of a daemon that holds no leases.
    #[must_use]
    pub fn new(
        settings: &DaemonSettings,
        incarnation: ProcessIncarnation,
        journal: DecisionJournal,
    ) -> Self {
        let times = LeaseTimes::from(&settings.leases);
        let change = Duration::from_millis(settings.policy.role_change_ms);
        Self {
            daemon_id: settings.daemon_id.clone(),
            group_engines: settings.leases.group_engines,
            times: OrderTimes::new(times, change),
            counts: GroupCounts::new(),
            next_count_at: IndexMap::new(),
            leases: LeaseTable::new(settings.daemon_id.clone(), incarnation, times),
            managers: IndexMap::new(),
            plan: None,
            planner: RolePlanner::new(settings.policy.clone()),
            next_plan_at: MonoTime(0),
            planned_at: IndexMap::new(),
            observed: IndexMap::new(),
            groups: IndexMap::new(),
            next_groups_at: MonoTime(0),
            journal,
        }
    }

    /// Returns the last known record of each lease.
    #[must_use]
    pub fn views(&self, now: MonoTime) -> Vec<LeaseView> {
        self.leases.views(now)
    }

    /// Starts a planned stop.
    pub fn stop(&mut self) {
        self.leases.stop();
    }

    /// Returns whether a planned stop has released every lease.
    #[must_use]
    pub fn is_handed_over(&self) -> bool {
        self.leases.is_handed_over()
    }

    /// Returns the engines out of use for a change, with the reason.
    #[must_use]
    pub fn changing(&self, now: MonoTime) -> IndexMap<TargetId, String> {
        let mut changing = IndexMap::new();
        for (name, observed) in &self.observed {
            if name == PLAN_GROUP {
                continue;
            }
            for (target, entry) in &observed.record.entries {
                let started = observed.started.get(target).copied().unwrap_or(now);
                if now.since(started) < MAX_DRAIN_AGE {
                    changing.insert(target.clone(), entry.change.reason.clone());
                }
            }
        }
        changing
    }

    /// Applies an object of the kind [`ORDER_KIND`], from a watch or a peer, if it is
    /// newer than the known one.
    ///
    /// Returns whether it was applied.
    pub fn apply_object(&mut self, stored: &StoredObject, now: MonoTime) -> bool {
        let known = self.observed.get(&stored.object.name);
        if stored.object.kind != ORDER_KIND || known.is_some_and(|s| s.version >= stored.version) {
            return false;
        }
        let Some(record) = OrderRecord::decode(stored) else {
            return false;
        };
        let started = record.entries.keys().map(|target| {
            let before = known.and_then(|s| s.started.get(target));
            (target.clone(), before.copied().unwrap_or(now))
        });
        let observed = ObservedOrders {
            version: stored.version,
            started: started.collect(),
            record,
        };
        self.observed.insert(stored.object.name.clone(), observed);
        true
    }

    /// Returns the known objects of orders and of the plan, for peers.
    #[must_use]
    pub fn objects(&self) -> Vec<StoredObject> {
        let held = self.observed.iter();
        held.map(|(name, observed)| StoredObject {
            object: order_object(&GroupName::from(name.as_str())),
            version: observed.version,
            value: Some(observed.record.encode()),
        })
        .collect()
    }

    /// Returns whether this daemon holds the lease of an engine's group.
    #[must_use]
    pub fn manages(&self, target: &TargetId) -> bool {
        let group = self.groups.get(target);
        group.is_some_and(|group| self.managers.contains_key(group))
    }

    /// Advances leases, orders and the plan; returns the actions that are due.
    pub fn tick(&mut self, inputs: AuthorityInputs<'_>, now: MonoTime) -> Vec<AuthorityAction> {
        let mut actions = self.update_groups(inputs.fleet, now);
        self.report_orders_in_flight();
        let lease_actions = self.leases.tick(now);
        actions.extend(lease_actions.into_iter().map(lease_action));
        self.record_lease_changes();
        self.update_managers(now);
        self.update_plan(inputs, now);
        actions.extend(self.plan_action(now));
        actions.extend(self.manager_actions(inputs.fleet, now));
        self.record_order_events();
        actions
    }

    fn update_groups(&mut self, fleet: &FleetView, now: MonoTime) -> Vec<AuthorityAction> {
        if now < self.next_groups_at {
            return Vec::new();
        }
        self.next_groups_at = now.plus(GROUPS_INTERVAL);
        let ranks = lease_groups::local_ranks(fleet, &self.counts, &self.daemon_id);
        self.leases.set_groups(&ranks, now);
        self.groups = if self.managers.is_empty() {
            IndexMap::new()
        } else {
            lease_groups::engine_groups(fleet, &self.counts)
        };
        self.count_actions(fleet, now)
    }

    fn count_actions(&mut self, fleet: &FleetView, now: MonoTime) -> Vec<AuthorityAction> {
        let mut actions = Vec::new();
        for centre in lease_groups::engines_per_centre(fleet).into_keys() {
            let due = self.next_count_at.get(&centre).is_none_or(|at| now >= *at);
            if due && !self.counts.contains_key(&centre) {
                self.next_count_at
                    .insert(centre.clone(), now.plus(COUNT_RETRY_PAUSE));
                actions.push(AuthorityAction::Read {
                    object: count_object(&centre),
                    tag: CallTag::Count(centre),
                });
            }
        }
        actions
    }

    fn report_orders_in_flight(&mut self) {
        for (group, manager) in &self.managers {
            self.leases
                .set_order_in_flight(group, manager.has_order_in_flight());
        }
    }

    fn record_lease_changes(&mut self) {
        for change in self.leases.take_changes() {
            let held = change.held;
            let (group, reason) = (change.group.as_str(), change.reason.as_str());
            log::info!(group, held, reason; "lease changed");
            self.journal
                .record(DecisionKind::Lease, group, reason.to_owned());
        }
    }

    // An order manager lives as long as the lease it was created for: after another
    // acquisition, even by the same daemon, the engines' states must be read again.
    fn update_managers(&mut self, now: MonoTime) {
        let held: Vec<GroupName> = self.leases.held_groups().cloned().collect();
        self.managers.retain(|group, _| held.contains(group));
        let plan = GroupName::from(PLAN_GROUP);
        if !held.contains(&plan) {
            self.plan = None;
        }
        for group in held {
            let Some(authority) = self.leases.authority(&group, now) else {
                continue;
            };
            let fence = authority.fence;
            if group == plan {
                if self.plan.as_ref().map(PlanStore::fence) != Some(fence) {
                    self.plan = Some(PlanStore::new(fence));
                }
            } else if self.managers.get(&group).map(OrderManager::fence) != Some(fence) {
                let manager = OrderManager::new(group.clone(), fence, self.times);
                self.managers.insert(group, manager);
            }
        }
    }

    fn update_plan(&mut self, inputs: AuthorityInputs<'_>, now: MonoTime) {
        if now < self.next_plan_at {
            return;
        }
        self.next_plan_at = now.plus(PLAN_INTERVAL);
        let Some(plan) = &mut self.plan else {
            self.planned_at.clear();
            return;
        };
        let engines = plan_engines(inputs.fleet);
        let planned_at = &self.planned_at;
        plan.retain(|target, change| {
            let age = planned_at
                .get(target)
                .map_or(Duration::ZERO, |at| now.since(*at));
            let engine = engines.iter().find(|engine| engine.id == *target);
            age < MAX_CHANGE_AGE && engine.is_some_and(|e| !has_planned_state(e, change))
        });
        let changing = plan.planned_changes().len();
        let decisions = self.planner.plan(
            &engines,
            &model_needs(inputs.config),
            inputs.mix,
            changing,
            now,
        );
        for decision in decisions {
            match decision {
                PlanDecision::Change { target, change } => {
                    let reason = change.reason.clone();
                    self.journal
                        .record(DecisionKind::Role, target.as_str(), reason);
                    self.planned_at.insert(target.clone(), now);
                    plan.add_change(target, change);
                }
                PlanDecision::Keep { models, reason } => {
                    self.journal.record(DecisionKind::Role, &models, reason);
                }
            }
        }
        let planned_changes = plan.planned_changes();
        self.planned_at
            .retain(|target, _| planned_changes.contains_key(target));
    }

    fn plan_action(&mut self, now: MonoTime) -> Option<AuthorityAction> {
        let group = GroupName::from(PLAN_GROUP);
        let fenced = self.plan.as_ref().and_then(PlanStore::fenced_by);
        if let Some(fence) = fenced {
            self.leases.give_up(&group, fence, now);
            self.plan = None;
        }
        self.leases.authority(&group, now)?;
        let action = self.plan.as_mut()?.tick(now)?;
        platform_action(CallTag::Plan, &group, action)
    }

    fn manager_actions(&mut self, fleet: &FleetView, now: MonoTime) -> Vec<AuthorityAction> {
        let plan = self
            .observed
            .get(PLAN_GROUP)
            .map(|observed| planned_changes_of(&observed.record));
        let plan = plan.unwrap_or_default();
        let mut actions = Vec::new();
        let mut fenced = Vec::new();
        for (group, manager) in &mut self.managers {
            if let Some(fence) = manager.fenced_by() {
                fenced.push((group.clone(), fence));
                continue;
            }
            if self.leases.authority(group, now).is_none() {
                continue;
            }
            request_planned_changes(manager, group, &self.groups, &plan, fleet);
            for action in manager.tick(now) {
                actions.extend(order_action(group, action));
            }
        }
        for (group, fence) in fenced {
            self.leases.give_up(&group, fence, now);
            self.managers.swap_remove(&group);
        }
        actions
    }

    fn record_order_events(&mut self) {
        for manager in self.managers.values_mut() {
            for event in manager.take_events() {
                let (target, reason) = (event.target.as_str(), event.reason.as_str());
                log::info!(target_id = target, reason; "engine change");
                self.journal
                    .record(DecisionKind::Order, target, reason.to_owned());
            }
        }
    }

    /// Handles the result of a read; returns a write that it calls for.
    pub fn note_read(
        &mut self,
        tag: &CallTag,
        result: &Result<Option<StoredObject>, PlatformError>,
        fleet: &FleetView,
        now: MonoTime,
    ) -> Option<AuthorityAction> {
        match tag {
            CallTag::Count(centre) => return self.note_count(centre, result, fleet),
            CallTag::Lease(group) => self.leases.note_read(group, result, now),
            CallTag::Orders(group) => {
                if let Some(manager) = self.managers.get_mut(group) {
                    manager.note_read(result, now);
                }
            }
            CallTag::Plan => {
                if let Some(plan) = &mut self.plan {
                    plan.note_read(result, now);
                }
            }
        }
        if let Ok(Some(stored)) = result {
            self.apply_object(stored, now);
        }
        None
    }

    fn note_count(
        &mut self,
        centre: &CentreName,
        result: &Result<Option<StoredObject>, PlatformError>,
        fleet: &FleetView,
    ) -> Option<AuthorityAction> {
        let found = result.as_ref().ok()?;
        if let Some(stored) = found {
            let text = String::from_utf8_lossy(stored.value.as_deref()?);
            match text.trim().parse() {
                Ok(count) => {
                    self.counts.insert(centre.clone(), count);
                }
                Err(error) => {
                    log::error!("{COUNT_KIND}/{centre} is not a number ({error}); correct it");
                }
            }
            return None;
        }
        let engines = lease_groups::engines_per_centre(fleet);
        let engines = engines.get(centre).copied().unwrap_or(0);
        let count = lease_groups::initial_group_count(engines, self.group_engines);
        // The first write wins; every daemon finds its value with the next read.
        Some(AuthorityAction::Write {
            tag: CallTag::Count(centre.clone()),
            write_id: String::new(),
            write: ConditionalWrite {
                object: count_object(centre),
                expected: ObjectVersion(0),
                value: count.to_string().into_bytes(),
            },
        })
    }

    /// Handles the result of a write.
    pub fn note_write(
        &mut self,
        tag: &CallTag,
        write_id: &str,
        written: &ConditionalWrite,
        result: &Result<ObjectVersion, PlatformError>,
        now: MonoTime,
    ) {
        match tag {
            CallTag::Count(centre) => {
                self.next_count_at.insert(centre.clone(), now);
            }
            CallTag::Lease(group) => self.leases.note_write(group, write_id, result, now),
            CallTag::Orders(group) => {
                if let Some(manager) = self.managers.get_mut(group) {
                    manager.note_write(write_id, result, now);
                }
            }
            CallTag::Plan => {
                if let Some(plan) = &mut self.plan {
                    plan.note_write(result, now);
                }
            }
        }
        if let Ok(version) = result {
            let stored = StoredObject {
                object: written.object.clone(),
                version: *version,
                value: Some(written.value.clone()),
            };
            self.apply_object(&stored, now);
        }
    }

    /// Returns the engine's address and the order to send, after a last check of the
    /// lease.
    pub fn begin_send(
        &mut self,
        group: &GroupName,
        target: &TargetId,
        fleet: &FleetView,
        now: MonoTime,
    ) -> Option<(String, OrderBody)> {
        let address = fleet.targets.get(target)?.address.clone();
        let authority = self.leases.authority(group, now);
        let body = self
            .managers
            .get_mut(group)?
            .begin_send(target, authority, now)?;
        Some((address, body))
    }

    /// Handles an engine's answer to an order.
    pub fn note_answer(
        &mut self,
        group: &GroupName,
        target: &TargetId,
        result: &Result<EngineState, TargetError>,
        now: MonoTime,
    ) {
        if let Some(manager) = self.managers.get_mut(group) {
            manager.note_answer(target, result, now);
        }
    }

    /// Applies an engine's state.
    pub fn note_state(&mut self, target: &TargetId, state: &EngineState, taken_at: MonoTime) {
        for manager in self.managers.values_mut() {
            manager.note_state(target, state, taken_at);
        }
    }
}
