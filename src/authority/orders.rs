//! Carries out changes of a group's engines under a lease.
//!
//! Each change is stored in the group's object by conditional update before its order
//! is sent, gives the engine's whole state, and its order has a unique id. An engine has
//! at most one change at a time. A holder that has lost its lease gets a conflict on its
//! update, because a successor writes the object first, and engines that check fences
//! refuse its orders.
//!
//! One gap cannot be closed here: the process may be paused after
//! [`OrderManager::begin_send`] has checked the lease and before the bytes are sent. A
//! holder stops ordering a guard time before the lease expires, and a successor waits
//! until an order's longest flight time after that, so only a pause longer than both
//! together does harm. An engine that ignores fences then obeys the late order; only an
//! engine that checks them closes the gap. The next read of the engine's state shows
//! the role that it took on, and planning continues from there.

use std::time::Duration;

use indexmap::IndexMap;

use crate::authority::lease_state::LeaseAuthority;
use crate::authority::order_record::{
    OrderEntry, OrderPhase, OrderRecord, PlannedChange, order_object,
};
use crate::authority::order_types::{
    ChangeOutcome, EngineObservation, OrderAction, OrderEvent, OrderTimes, PendingWrite, SendState,
};
use crate::invariants::{self, Invariant};
use crate::names::{FenceNumber, GroupName, MonoTime, TargetId};
use crate::ports::{ConditionalWrite, ObjectVersion, PlatformError, StoredObject, TargetError};
use crate::targets::wire::{EngineState, OrderBody, OrderId};

const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Changes of one group under one lease.
#[derive(Clone, Debug)]
pub struct OrderManager {
    group: GroupName,
    fence: FenceNumber,
    times: OrderTimes,
    version: ObjectVersion,
    record: OrderRecord,
    claimed_at: Option<MonoTime>,
    pending: Option<PendingWrite>,
    requested: IndexMap<TargetId, PlannedChange>,
    phase_started: IndexMap<TargetId, MonoTime>,
    sends: IndexMap<TargetId, SendState>,
    observations: IndexMap<TargetId, EngineObservation>,
    finished: IndexMap<TargetId, ChangeOutcome>,
    retry_at: IndexMap<TargetId, MonoTime>,
    must_read: bool,
    call_in_flight: bool,
    next_call_at: MonoTime,
    write_count: u64,
    fenced_by: Option<FenceNumber>,
    events: Vec<OrderEvent>,
}

impl OrderManager {
    /// Creates the manager of a group for a lease that was just acquired.
    #[must_use]
    pub fn new(group: GroupName, fence: FenceNumber, times: OrderTimes) -> Self {
        Self {
            group,
            fence,
            times,
            version: ObjectVersion(0),
            record: OrderRecord::default(),
            claimed_at: None,
            pending: None,
            requested: IndexMap::new(),
            phase_started: IndexMap::new(),
            sends: IndexMap::new(),
            observations: IndexMap::new(),
            finished: IndexMap::new(),
            retry_at: IndexMap::new(),
            must_read: true,
            call_in_flight: false,
            next_call_at: MonoTime(0),
            write_count: 0,
            fenced_by: None,
            events: Vec::new(),
        }
    }

    /// Returns the fence of the lease.
    #[must_use]
    pub fn fence(&self) -> FenceNumber {
        self.fence
    }

    /// Returns a later fence found in the object or reported by an engine, which means
    /// that the lease is lost.
    #[must_use]
    pub fn fenced_by(&self) -> Option<FenceNumber> {
        self.fenced_by
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<OrderEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns whether an order may be in flight now.
    #[must_use]
    pub fn has_order_in_flight(&self) -> bool {
        let in_flight =
            |s: &SendState| matches!(s, SendState::InFlight { .. } | SendState::Unknown { .. });
        self.sends.values().any(in_flight)
    }

    /// Returns the stored changes.
    #[must_use]
    pub fn entries(&self) -> &IndexMap<TargetId, OrderEntry> {
        &self.record.entries
    }

    /// Requests a change of an engine, replacing an earlier request. A change whose
    /// order is already stored is finished first.
    pub fn request_change(&mut self, target: TargetId, change: PlannedChange) {
        self.requested.insert(target, change);
    }

    /// Drops requested changes that are not in `planned`, and cancels their drains.
    pub fn retain_changes(&mut self, planned: &IndexMap<TargetId, PlannedChange>) {
        self.requested
            .retain(|target, _| planned.contains_key(target));
        let draining = self.record.entries.iter().filter(|(target, entry)| {
            entry.phase == OrderPhase::Draining && !planned.contains_key(*target)
        });
        let cancelled: Vec<TargetId> = draining.map(|(target, _)| target.clone()).collect();
        for target in cancelled {
            let reason = "no longer planned".to_owned();
            self.finish(&target, ChangeOutcome::Withdrawn, reason);
        }
    }

    /// Returns the sends, and the read or write, that are due.
    pub fn tick(&mut self, now: MonoTime) -> Vec<OrderAction> {
        let mut actions = self.due_sends(now);
        if self.call_in_flight || now < self.next_call_at {
            return actions;
        }
        if self.must_read {
            self.call_in_flight = true;
            actions.push(OrderAction::Read);
            return actions;
        }
        actions.extend(self.next_write(now));
        actions
    }

    fn due_sends(&self, now: MonoTime) -> Vec<OrderAction> {
        let recorded = self.record.entries.iter().filter(|(target, entry)| {
            let ordered = matches!(entry.phase, OrderPhase::Ordered(_));
            ordered && self.may_send(target, now)
        });
        recorded
            .map(|(target, _)| OrderAction::Send(target.clone()))
            .collect()
    }

    fn may_send(&self, target: &TargetId, now: MonoTime) -> bool {
        let sendable = match self.sends.get(target) {
            None => false,
            Some(SendState::Waiting) => true,
            Some(SendState::InFlight { .. } | SendState::Accepted { .. }) => false,
            // Sent again with the same id once no earlier copy can be in flight.
            Some(SendState::Unknown { at }) => {
                let observed_at = self.observations.get(target).map(|o| o.taken_at);
                let no_copies_at = at.plus(self.times.max_flight);
                now >= no_copies_at && observed_at.is_some_and(|taken_at| taken_at >= no_copies_at)
            }
        };
        sendable && self.is_observed(target)
    }

    /// Returns whether the engine's state was read after this manager first wrote its
    /// record.
    fn is_observed(&self, target: &TargetId) -> bool {
        let claimed_at = self.claimed_at;
        let observation = self.observations.get(target);
        claimed_at
            .zip(observation)
            .is_some_and(|(at, o)| o.taken_at >= at)
    }

    /// Returns the order to send, after a last check of the lease; `None` if it must
    /// not be sent.
    pub fn begin_send(
        &mut self,
        target: &TargetId,
        authority: Option<LeaseAuthority>,
        now: MonoTime,
    ) -> Option<OrderBody> {
        let entry = self.record.entries.get(target)?;
        let OrderPhase::Ordered(order_id) = &entry.phase else {
            return None;
        };
        let valid = authority.is_some_and(|a| a.fence == self.fence && now < a.deadline);
        if !valid || order_id.fence != self.fence || !self.may_send(target, now) {
            return None;
        }
        let body = OrderBody {
            order_id: order_id.clone(),
            group: self.group.clone(),
            role: entry.change.role,
            models: entry.change.models.clone(),
        };
        let previous = self
            .sends
            .insert(target.clone(), SendState::InFlight { at: now });
        let is_only = !matches!(previous, Some(SendState::InFlight { .. }));
        invariants::check(is_only, Invariant::OneOrder, || {
            format!("two orders in flight for {target} in {}", self.group)
        });
        self.record_event(target, format!("order {} sent", body.order_id.id));
        Some(body)
    }

    /// Handles an engine's answer to an order.
    pub fn note_answer(
        &mut self,
        target: &TargetId,
        result: &Result<EngineState, TargetError>,
        now: MonoTime,
    ) {
        let Some(SendState::InFlight { at }) = self.sends.get(target).copied() else {
            return;
        };
        match result {
            Ok(_) => {
                self.sends
                    .insert(target.clone(), SendState::Accepted { at: now });
                self.record_event(target, "order accepted".to_owned());
            }
            Err(TargetError::Fenced { current }) => {
                self.fenced_by = self.fenced_by.max(Some(*current));
                self.sends.swap_remove(target);
                self.record_event(
                    target,
                    format!("order refused: the engine has seen fence {}", current.0),
                );
            }
            Err(TargetError::Lost { reason } | TargetError::Silent { reason }) => {
                self.sends.insert(target.clone(), SendState::Unknown { at });
                self.record_event(
                    target,
                    format!("order sent, but its answer was lost: {reason}"),
                );
            }
            Err(error) => {
                self.sends.swap_remove(target);
                self.finish(target, ChangeOutcome::Failed, format!("abandoned: {error}"));
            }
        }
    }

    /// Applies an engine's state; `taken_at` is when the engine reported it.
    pub fn note_state(&mut self, target: &TargetId, state: &EngineState, taken_at: MonoTime) {
        let known = self.observations.get(target);
        if known.is_some_and(|o| o.taken_at > taken_at) {
            return;
        }
        let idle = state.running == 0 && state.waiting == 0;
        let idle_at = idle.then_some(taken_at);
        self.observations
            .insert(target.clone(), EngineObservation { idle_at, taken_at });
        self.check_progress(target, state, taken_at);
    }

    // Compares a stored order with the state that the engine reports.
    fn check_progress(&mut self, target: &TargetId, state: &EngineState, taken_at: MonoTime) {
        let Some(entry) = self.record.entries.get(target) else {
            return;
        };
        let OrderPhase::Ordered(order_id) = &entry.phase else {
            return;
        };
        let Some(claimed_at) = self.claimed_at.filter(|at| taken_at >= *at) else {
            return;
        };
        let accepted = state
            .last_order
            .as_ref()
            .is_some_and(|m| m.id == order_id.id);
        let reached = state.role == entry.change.role && state.models == entry.change.models;
        let inherited = order_id.fence != self.fence;
        if accepted && reached && !state.changing {
            self.finish(target, ChangeOutcome::Done, "change finished".to_owned());
        } else if accepted {
            let at = taken_at;
            self.sends
                .entry(target.clone())
                .or_insert(SendState::Accepted { at });
            self.mark_accepted(target, taken_at);
        } else if inherited && taken_at >= claimed_at.plus(self.times.max_flight) {
            let reason = "the previous holder's order never arrived".to_owned();
            self.finish(target, ChangeOutcome::Withdrawn, reason);
        } else if self.has_lost_order(target, taken_at) {
            let reason = "the engine restarted or accepted another order".to_owned();
            self.finish(target, ChangeOutcome::Failed, reason);
        }
    }

    fn has_lost_order(&self, target: &TargetId, taken_at: MonoTime) -> bool {
        match self.sends.get(target) {
            Some(SendState::Accepted { at }) => taken_at >= at.plus(self.times.max_flight),
            _ => false,
        }
    }

    fn mark_accepted(&mut self, target: &TargetId, taken_at: MonoTime) {
        if let Some(SendState::Unknown { .. }) = self.sends.get(target) {
            let at = taken_at;
            self.sends
                .insert(target.clone(), SendState::Accepted { at });
        }
    }

    fn finish(&mut self, target: &TargetId, outcome: ChangeOutcome, reason: String) {
        if self.finished.insert(target.clone(), outcome).is_none() {
            self.record_event(target, reason);
        }
    }

    fn next_write(&mut self, now: MonoTime) -> Option<OrderAction> {
        let mut next = self.record.clone();
        next.fence = self.fence;
        let mut changed = self.claimed_at.is_none();
        if changed {
            next.drop_drains();
        } else {
            self.fail_overdue(now);
            changed |= self.remove_finished(&mut next);
            changed |= self.order_drained_engines(&mut next, now);
            changed |= self.start_drains(&mut next, now);
        }
        changed.then(|| self.write(next))
    }

    fn fail_overdue(&mut self, now: MonoTime) {
        let overdue: Vec<(TargetId, &str)> = self
            .record
            .entries
            .iter()
            .filter_map(|(target, entry)| {
                let phase_started = *self.phase_started.get(target)?;
                let (limit, reason) = match entry.phase {
                    OrderPhase::Draining => {
                        (self.times.drain_timeout, "work did not finish in time")
                    }
                    OrderPhase::Ordered(_) => {
                        (self.times.change_timeout, "change did not finish in time")
                    }
                };
                (now.since(phase_started) >= limit).then(|| (target.clone(), reason))
            })
            .collect();
        for (target, reason) in overdue {
            self.finish(&target, ChangeOutcome::Failed, reason.to_owned());
        }
    }

    fn remove_finished(&mut self, next: &mut OrderRecord) -> bool {
        let count_before = next.entries.len();
        next.entries.retain(|t, _| !self.finished.contains_key(t));
        count_before != next.entries.len()
    }

    fn order_drained_engines(&mut self, next: &mut OrderRecord, now: MonoTime) -> bool {
        let mut changed = false;
        for (target, entry) in &mut next.entries {
            if entry.phase != OrderPhase::Draining || !self.is_drained(target, now) {
                continue;
            }
            next.last_order += 1;
            let id = format!("{}-{}-{}", self.group, self.fence.0, next.last_order);
            let fence = self.fence;
            entry.phase = OrderPhase::Ordered(OrderId { id, fence });
            changed = true;
        }
        changed
    }

    /// Returns whether the engine has no work left and none can still be in flight to
    /// it.
    fn is_drained(&self, target: &TargetId, now: MonoTime) -> bool {
        let Some(phase_started) = self.phase_started.get(target) else {
            return false;
        };
        let all_informed_at = phase_started.plus(self.times.propagation);
        let idle_at = self.observations.get(target).and_then(|o| o.idle_at);
        now >= all_informed_at && idle_at.is_some_and(|at| at >= all_informed_at)
    }

    fn start_drains(&mut self, next: &mut OrderRecord, now: MonoTime) -> bool {
        let mut changed = false;
        for (target, change) in &self.requested {
            if next.entries.contains_key(target) || !self.may_start(target, now) {
                continue;
            }
            let entry = OrderEntry {
                change: change.clone(),
                phase: OrderPhase::Draining,
            };
            next.entries.insert(target.clone(), entry);
            changed = true;
        }
        changed
    }

    // A failed change is not retried at once, because the engine would stay out of use.
    fn may_start(&self, target: &TargetId, now: MonoTime) -> bool {
        let retry_at = self.retry_at.get(target);
        let may_retry = retry_at.is_none_or(|at| now >= *at);
        may_retry && !self.finished.contains_key(target) && self.is_observed(target)
    }

    fn write(&mut self, mut record: OrderRecord) -> OrderAction {
        self.write_count += 1;
        let write_id = format!("{}-{}-{}", self.group, self.fence.0, self.write_count);
        record.write_id.clone_from(&write_id);
        self.call_in_flight = true;
        let value = record.encode();
        self.pending = Some(PendingWrite {
            write_id: write_id.clone(),
            record,
        });
        OrderAction::Write {
            write_id,
            write: ConditionalWrite {
                object: order_object(&self.group),
                expected: self.version,
                value,
            },
        }
    }

    /// Handles the result of a read of the group's object.
    pub fn note_read(
        &mut self,
        result: &Result<Option<StoredObject>, PlatformError>,
        now: MonoTime,
    ) {
        self.call_in_flight = false;
        match result {
            Ok(None) if self.version == ObjectVersion(0) => self.must_read = false,
            Ok(Some(stored)) if stored.version >= self.version => self.apply_stored(stored, now),
            Ok(_) | Err(_) => self.next_call_at = now.plus(RETRY_PAUSE),
        }
    }

    fn apply_stored(&mut self, stored: &StoredObject, now: MonoTime) {
        let Some(record) = OrderRecord::decode(stored) else {
            log::error!("orders/{} cannot be decoded; restore it", self.group);
            self.next_call_at = now.plus(RETRY_PAUSE * 10);
            return;
        };
        self.must_read = false;
        if record.fence > self.fence {
            self.fenced_by = self.fenced_by.max(Some(record.fence));
            return;
        }
        self.version = stored.version;
        // Only this daemon writes under this fence, so the record is its own, even if
        // the write is no longer pending.
        if record.fence == self.fence {
            self.apply_record(record, now);
        } else {
            self.record = record;
        }
    }

    /// Handles the result of a write.
    pub fn note_write(
        &mut self,
        write_id: &str,
        result: &Result<ObjectVersion, PlatformError>,
        now: MonoTime,
    ) {
        self.call_in_flight = false;
        match result {
            Ok(version) => {
                let pending = self.pending.take_if(|p| p.write_id == write_id);
                self.version = *version;
                if let Some(pending) = pending {
                    self.apply_record(pending.record, now);
                }
            }
            Err(PlatformError::Conflict { .. } | PlatformError::Lost { .. }) => {
                self.must_read = true;
            }
            Err(_) => self.next_call_at = now.plus(RETRY_PAUSE),
        }
    }

    // Applies a record that is known to be stored; its orders may be sent from now on.
    fn apply_record(&mut self, record: OrderRecord, now: MonoTime) {
        self.claimed_at.get_or_insert(now);
        let mut changed_entries = Vec::new();
        for (target, entry) in &record.entries {
            let old = self.record.entries.get(target).map(|e| &e.phase);
            if old != Some(&entry.phase) {
                changed_entries.push((target.clone(), entry.clone()));
            }
            self.phase_started.entry(target.clone()).or_insert(now);
        }
        for (target, entry) in changed_entries {
            self.phase_started.insert(target.clone(), now);
            self.start_phase(&target, &entry);
        }
        let old = std::mem::replace(&mut self.record, record);
        for (target, entry) in old.entries {
            if !self.record.entries.contains_key(&target) {
                self.end_change(&target, &entry, now);
            }
        }
    }

    fn end_change(&mut self, target: &TargetId, entry: &OrderEntry, now: MonoTime) {
        self.phase_started.swap_remove(target);
        self.sends.swap_remove(target);
        if self.requested.get(target) == Some(&entry.change) {
            self.requested.swap_remove(target);
        }
        if self.finished.swap_remove(target) == Some(ChangeOutcome::Failed) {
            let retry_at = now.plus(self.times.change_timeout);
            self.retry_at.insert(target.clone(), retry_at);
        }
    }

    fn start_phase(&mut self, target: &TargetId, entry: &OrderEntry) {
        match &entry.phase {
            OrderPhase::Draining => {
                self.record_event(
                    target,
                    format!("draining for a change: {}", entry.change.reason),
                );
            }
            OrderPhase::Ordered(order_id) => {
                self.sends.insert(target.clone(), SendState::Waiting);
                self.record_event(target, format!("order {} recorded", order_id.id));
            }
        }
    }

    fn record_event(&mut self, target: &TargetId, reason: String) {
        self.events.push(OrderEvent {
            target: target.clone(),
            reason,
        });
    }
}
