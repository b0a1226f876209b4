//! Joins leases, orders and the plan of one daemon into one decision.

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
use crate::authority::orders::OrderBook;
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

const COUNT_PAUSE: Duration = Duration::from_secs(1);
const GROUPS_PACE: Duration = Duration::from_millis(500);
const PLAN_PACE: Duration = Duration::from_secs(1);
const WISH_AGE: Duration = Duration::from_secs(600);
// A drain whose holder vanished must not keep an engine out of use for good.
const DRAIN_AGE: Duration = Duration::from_secs(400);

/// What the decisions look at.
#[derive(Clone, Copy)]
pub struct AuthorityInputs<'a> {
    /// Fleet and daemons.
    pub fleet: &'a FleetView,
    /// Configuration in force.
    pub config: &'a ConfigView,
    /// Forecast of the mix.
    pub mix: &'a MixForecast,
}

#[derive(Clone, Debug)]
struct SeenRecord {
    version: ObjectVersion,
    record: OrderRecord,
    begun: IndexMap<TargetId, MonoTime>,
}

/// Leases, orders and the plan as one daemon sees them.
#[derive(Clone, Debug)]
pub struct AuthorityState {
    own: DaemonId,
    group_engines: usize,
    times: OrderTimes,
    counts: GroupCounts,
    count_at: IndexMap<CentreName, MonoTime>,
    leases: LeaseTable,
    books: IndexMap<GroupName, OrderBook>,
    plan: Option<PlanStore>,
    planner: RolePlanner,
    plan_at: MonoTime,
    wished_at: IndexMap<TargetId, MonoTime>,
    seen: IndexMap<String, SeenRecord>,
    groups: IndexMap<TargetId, GroupName>,
    groups_at: MonoTime,
    journal: DecisionJournal,
}

impl AuthorityState {
    /// Creates the state of a daemon that holds nothing.
    #[must_use]
    pub fn new(
        settings: &DaemonSettings,
        incarnation: ProcessIncarnation,
        journal: DecisionJournal,
    ) -> Self {
        let times = LeaseTimes::from(&settings.leases);
        let change = Duration::from_millis(settings.policy.role_change_ms);
        Self {
            own: settings.daemon_id.clone(),
            group_engines: settings.leases.group_engines,
            times: OrderTimes::new(times, change),
            counts: GroupCounts::new(),
            count_at: IndexMap::new(),
            leases: LeaseTable::new(settings.daemon_id.clone(), incarnation, times),
            books: IndexMap::new(),
            plan: None,
            planner: RolePlanner::new(settings.policy.clone()),
            plan_at: MonoTime(0),
            wished_at: IndexMap::new(),
            seen: IndexMap::new(),
            groups: IndexMap::new(),
            groups_at: MonoTime(0),
            journal,
        }
    }

    /// Returns the leases as known.
    #[must_use]
    pub fn views(&self, now: MonoTime) -> Vec<LeaseView> {
        self.leases.views(now)
    }

    /// Begins a planned stop.
    pub fn stop(&mut self) {
        self.leases.stop();
    }

    /// Tells whether a planned stop has handed over every lease.
    #[must_use]
    pub fn is_handed_over(&self) -> bool {
        self.leases.is_handed_over()
    }

    /// Returns the engines out of use for a change, with the reason.
    #[must_use]
    pub fn changing(&self, now: MonoTime) -> IndexMap<TargetId, String> {
        let mut changing = IndexMap::new();
        for (name, seen) in &self.seen {
            if name == PLAN_GROUP {
                continue;
            }
            for (target, entry) in &seen.record.entries {
                let begun = seen.begun.get(target).copied().unwrap_or(now);
                if now.since(begun) < DRAIN_AGE {
                    changing.insert(target.clone(), entry.wish.reason.clone());
                }
            }
        }
        changing
    }

    /// Takes a newer object of the kind [`ORDER_KIND`], from a watch or a peer.
    ///
    /// Returns whether it was news.
    pub fn note_object(&mut self, stored: &StoredObject, now: MonoTime) -> bool {
        let known = self.seen.get(&stored.object.name);
        if stored.object.kind != ORDER_KIND || known.is_some_and(|s| s.version >= stored.version) {
            return false;
        }
        let Some(record) = OrderRecord::decode(stored) else {
            return false;
        };
        let begun = record.entries.keys().map(|target| {
            let before = known.and_then(|s| s.begun.get(target));
            (target.clone(), before.copied().unwrap_or(now))
        });
        let seen = SeenRecord {
            version: stored.version,
            begun: begun.collect(),
            record,
        };
        self.seen.insert(stored.object.name.clone(), seen);
        true
    }

    /// Returns the objects of orders and the plan held here, for peers.
    #[must_use]
    pub fn objects(&self) -> Vec<StoredObject> {
        let held = self.seen.iter();
        held.map(|(name, seen)| StoredObject {
            object: order_object(&GroupName::from(name.as_str())),
            version: seen.version,
            value: Some(seen.record.encode()),
        })
        .collect()
    }

    /// Tells whether this daemon leads an engine's group.
    #[must_use]
    pub fn leads(&self, target: &TargetId) -> bool {
        let group = self.groups.get(target);
        group.is_some_and(|group| self.books.contains_key(group))
    }

    /// Lets time pass.
    pub fn tick(&mut self, inputs: AuthorityInputs<'_>, now: MonoTime) -> Vec<AuthorityAction> {
        let mut actions = self.update_groups(inputs.fleet, now);
        self.tell_unsettled();
        let lease_actions = self.leases.tick(now);
        actions.extend(lease_actions.into_iter().map(lease_action));
        self.explain_leases();
        self.open_books(now);
        self.update_plan(inputs, now);
        actions.extend(self.plan_action(now));
        actions.extend(self.book_actions(inputs.fleet, now));
        self.explain_orders();
        actions
    }

    fn update_groups(&mut self, fleet: &FleetView, now: MonoTime) -> Vec<AuthorityAction> {
        if now < self.groups_at {
            return Vec::new();
        }
        self.groups_at = now.plus(GROUPS_PACE);
        let ranks = lease_groups::own_ranks(fleet, &self.counts, &self.own);
        self.leases.set_groups(&ranks, now);
        self.groups = if self.books.is_empty() {
            IndexMap::new()
        } else {
            lease_groups::engine_groups(fleet, &self.counts)
        };
        self.count_actions(fleet, now)
    }

    fn count_actions(&mut self, fleet: &FleetView, now: MonoTime) -> Vec<AuthorityAction> {
        let mut actions = Vec::new();
        for centre in lease_groups::engines_per_centre(fleet).into_keys() {
            let due = self.count_at.get(&centre).is_none_or(|at| now >= *at);
            if due && !self.counts.contains_key(&centre) {
                self.count_at.insert(centre.clone(), now.plus(COUNT_PAUSE));
                actions.push(AuthorityAction::Read {
                    object: count_object(&centre),
                    tag: CallTag::Count(centre),
                });
            }
        }
        actions
    }

    fn tell_unsettled(&mut self) {
        for (group, book) in &self.books {
            self.leases.set_unsettled(group, book.is_unsettled());
        }
    }

    fn explain_leases(&mut self) {
        for news in self.leases.take_news() {
            let held = news.held;
            let (group, reason) = (news.group.as_str(), news.reason.as_str());
            log::info!(group, held, reason; "lease changed");
            self.journal
                .record(DecisionKind::Lease, group, reason.to_owned());
        }
    }

    // A book lives as long as the lease it was opened for: another acquisition, though
    // by the same daemon, has to look at the engines anew.
    fn open_books(&mut self, now: MonoTime) {
        let held: Vec<GroupName> = self.leases.held_groups().cloned().collect();
        self.books.retain(|group, _| held.contains(group));
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
            } else if self.books.get(&group).map(OrderBook::fence) != Some(fence) {
                let book = OrderBook::new(group.clone(), fence, self.times);
                self.books.insert(group, book);
            }
        }
    }

    fn update_plan(&mut self, inputs: AuthorityInputs<'_>, now: MonoTime) {
        if now < self.plan_at {
            return;
        }
        self.plan_at = now.plus(PLAN_PACE);
        let Some(plan) = &mut self.plan else {
            self.wished_at.clear();
            return;
        };
        let engines = plan_engines(inputs.fleet);
        let wished_at = &self.wished_at;
        plan.retain(|target, wish| {
            let age = wished_at
                .get(target)
                .map_or(Duration::ZERO, |at| now.since(*at));
            let engine = engines.iter().find(|engine| engine.id == *target);
            age < WISH_AGE && engine.is_some_and(|e| !has_planned_state(e, wish))
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
                PlanDecision::Change { target, wish } => {
                    let reason = wish.reason.clone();
                    self.journal
                        .record(DecisionKind::Role, target.as_str(), reason);
                    self.wished_at.insert(target.clone(), now);
                    plan.add_change(target, wish);
                }
                PlanDecision::Keep { models, reason } => {
                    self.journal.record(DecisionKind::Role, &models, reason);
                }
            }
        }
        let wanted = plan.planned_changes();
        self.wished_at
            .retain(|target, _| wanted.contains_key(target));
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

    fn book_actions(&mut self, fleet: &FleetView, now: MonoTime) -> Vec<AuthorityAction> {
        let plan = self
            .seen
            .get(PLAN_GROUP)
            .map(|seen| planned_changes_of(&seen.record));
        let plan = plan.unwrap_or_default();
        let mut actions = Vec::new();
        let mut fenced = Vec::new();
        for (group, book) in &mut self.books {
            if let Some(fence) = book.fenced_by() {
                fenced.push((group.clone(), fence));
                continue;
            }
            if self.leases.authority(group, now).is_none() {
                continue;
            }
            request_planned_changes(book, group, &self.groups, &plan, fleet);
            for action in book.tick(now) {
                actions.extend(order_action(group, action));
            }
        }
        for (group, fence) in fenced {
            self.leases.give_up(&group, fence, now);
            self.books.swap_remove(&group);
        }
        actions
    }

    fn explain_orders(&mut self) {
        for book in self.books.values_mut() {
            for news in book.take_news() {
                let (target, reason) = (news.target.as_str(), news.reason.as_str());
                log::info!(target_id = target, reason; "engine change");
                self.journal
                    .record(DecisionKind::Order, target, reason.to_owned());
            }
        }
    }

    /// Notes what a read found; returns a write that follows from it.
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
                if let Some(book) = self.books.get_mut(group) {
                    book.note_read(result, now);
                }
            }
            CallTag::Plan => {
                if let Some(plan) = &mut self.plan {
                    plan.note_read(result, now);
                }
            }
        }
        if let Ok(Some(stored)) = result {
            self.note_object(stored, now);
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
                    log::error!("{COUNT_KIND}/{centre} is no number ({error}); correct it");
                }
            }
            return None;
        }
        let engines = lease_groups::engines_per_centre(fleet);
        let engines = engines.get(centre).copied().unwrap_or(0);
        let count = lease_groups::initial_count(engines, self.group_engines);
        // Whoever writes first decides; the next read shows it to all.
        Some(AuthorityAction::Write {
            tag: CallTag::Count(centre.clone()),
            mark: String::new(),
            write: ConditionalWrite {
                object: count_object(centre),
                expected: ObjectVersion(0),
                value: count.to_string().into_bytes(),
            },
        })
    }

    /// Notes the answer to a write.
    pub fn note_write(
        &mut self,
        tag: &CallTag,
        mark: &str,
        written: &ConditionalWrite,
        result: &Result<ObjectVersion, PlatformError>,
        now: MonoTime,
    ) {
        match tag {
            CallTag::Count(centre) => {
                self.count_at.insert(centre.clone(), now);
            }
            CallTag::Lease(group) => self.leases.note_write(group, mark, result, now),
            CallTag::Orders(group) => {
                if let Some(book) = self.books.get_mut(group) {
                    book.note_write(mark, result, now);
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
            self.note_object(&stored, now);
        }
    }

    /// Returns the order to send, checked at the last moment, with the engine's address.
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
            .books
            .get_mut(group)?
            .begin_send(target, authority, now)?;
        Some((address, body))
    }

    /// Notes an engine's answer to an order.
    pub fn note_answer(
        &mut self,
        group: &GroupName,
        target: &TargetId,
        result: &Result<EngineState, TargetError>,
        now: MonoTime,
    ) {
        if let Some(book) = self.books.get_mut(group) {
            book.note_answer(target, result, now);
        }
    }

    /// Notes an engine's state.
    pub fn note_state(&mut self, target: &TargetId, state: &EngineState, taken_at: MonoTime) {
        for book in self.books.values_mut() {
            book.note_state(target, state, taken_at);
        }
    }
}
