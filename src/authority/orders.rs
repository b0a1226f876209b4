//! Carries out changes of a group's engines under a lease.
//!
//! Each change is stored in the group's object by conditional update before its order
//! is sent, gives the engine's whole state, and has an identity. An engine has at most
//! one change at a time. A holder that has lost its lease gets a conflict on its
//! update, because a successor writes the object first, and engines that check fences
//! refuse its orders.
//!
//! One gap cannot be closed here: the process may be paused after
//! [`OrderBook::begin_send`] has checked the lease and before the bytes are sent. A
//! holder stops ordering a guard time before the lease expires, and a successor waits
//! until `order_flight` after it, so only a pause longer than both together does harm.
//! An engine that ignores fences then obeys the late order; only an engine that checks
//! them closes the gap. The next read of the engine's state shows the role that it took
//! on, and planning continues from there.

use std::time::Duration;

use indexmap::IndexMap;

use crate::authority::lease_state::LeaseAuthority;
use crate::authority::order_record::{
    EngineWish, OrderEntry, OrderPhase, OrderRecord, order_object,
};
use crate::authority::order_types::{
    ChangeEnd, EngineSeen, OrderAction, OrderNews, OrderTimes, PendingWrite, SendState,
};
use crate::invariants::{self, Invariant};
use crate::names::{FenceNumber, GroupName, MonoTime, TargetId};
use crate::ports::{ConditionalWrite, ObjectVersion, PlatformError, StoredObject, TargetError};
use crate::targets::wire::{EngineState, OrderBody, OrderMark};

const CALL_PAUSE: Duration = Duration::from_millis(200);

/// Changes of one group under one lease.
#[derive(Clone, Debug)]
pub struct OrderBook {
    group: GroupName,
    fence: FenceNumber,
    times: OrderTimes,
    version: ObjectVersion,
    record: OrderRecord,
    claimed_at: Option<MonoTime>,
    pending: Option<PendingWrite>,
    wishes: IndexMap<TargetId, EngineWish>,
    since: IndexMap<TargetId, MonoTime>,
    sends: IndexMap<TargetId, SendState>,
    seen: IndexMap<TargetId, EngineSeen>,
    finished: IndexMap<TargetId, ChangeEnd>,
    rest_until: IndexMap<TargetId, MonoTime>,
    must_read: bool,
    busy: bool,
    call_at: MonoTime,
    marks: u64,
    fenced_by: Option<FenceNumber>,
    news: Vec<OrderNews>,
}

impl OrderBook {
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
            wishes: IndexMap::new(),
            since: IndexMap::new(),
            sends: IndexMap::new(),
            seen: IndexMap::new(),
            finished: IndexMap::new(),
            rest_until: IndexMap::new(),
            must_read: true,
            busy: false,
            call_at: MonoTime(0),
            marks: 0,
            fenced_by: None,
            news: Vec::new(),
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
    pub fn take_news(&mut self) -> Vec<OrderNews> {
        std::mem::take(&mut self.news)
    }

    /// Returns whether an order may be in flight now.
    #[must_use]
    pub fn is_unsettled(&self) -> bool {
        let flying = |s: &SendState| matches!(s, SendState::Out { .. } | SendState::Unsure { .. });
        self.sends.values().any(flying)
    }

    /// Returns the stored changes.
    #[must_use]
    pub fn entries(&self) -> &IndexMap<TargetId, OrderEntry> {
        &self.record.entries
    }

    /// Requests a change of an engine, replacing an earlier request. A change whose
    /// order is already stored is finished first.
    pub fn want(&mut self, target: TargetId, wish: EngineWish) {
        self.wishes.insert(target, wish);
    }

    /// Drops requested changes that are not in `wanted`, and cancels their drains.
    pub fn keep_wishes(&mut self, wanted: &IndexMap<TargetId, EngineWish>) {
        self.wishes.retain(|target, _| wanted.contains_key(target));
        let draining = self.record.entries.iter().filter(|(target, entry)| {
            entry.phase == OrderPhase::Draining && !wanted.contains_key(*target)
        });
        let dropped: Vec<TargetId> = draining.map(|(target, _)| target.clone()).collect();
        for target in dropped {
            let reason = "no longer planned".to_owned();
            self.finish(&target, ChangeEnd::Withdrawn, reason);
        }
    }

    /// Returns the sends, and the read or write, that are due.
    pub fn tick(&mut self, now: MonoTime) -> Vec<OrderAction> {
        let mut actions = self.due_sends(now);
        if self.busy || now < self.call_at {
            return actions;
        }
        if self.must_read {
            self.busy = true;
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
        let fits = match self.sends.get(target) {
            None => false,
            Some(SendState::Waiting) => true,
            Some(SendState::Out { .. } | SendState::Taken { .. }) => false,
            // Sent again with the same identity once no earlier copy can be in flight.
            Some(SendState::Unsure { at }) => {
                let shown = self.seen.get(target).map(|seen| seen.taken_at);
                let quiet = at.plus(self.times.flight);
                now >= quiet && shown.is_some_and(|taken_at| taken_at >= quiet)
            }
        };
        fits && self.is_surveyed(target)
    }

    /// Returns whether the engine's state was read after this manager first wrote its
    /// record.
    fn is_surveyed(&self, target: &TargetId) -> bool {
        let claimed_at = self.claimed_at;
        let seen = self.seen.get(target);
        claimed_at
            .zip(seen)
            .is_some_and(|(at, seen)| seen.taken_at >= at)
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
        let OrderPhase::Ordered(mark) = &entry.phase else {
            return None;
        };
        let valid = authority.is_some_and(|a| a.fence == self.fence && now < a.until);
        if !valid || mark.fence != self.fence || !self.may_send(target, now) {
            return None;
        }
        let body = OrderBody {
            mark: mark.clone(),
            group: self.group.clone(),
            role: entry.wish.role,
            models: entry.wish.models.clone(),
        };
        let before = self
            .sends
            .insert(target.clone(), SendState::Out { at: now });
        let single = !matches!(before, Some(SendState::Out { .. }));
        invariants::check(single, Invariant::OneOrder, || {
            format!("two orders in flight for {target} in {}", self.group)
        });
        self.tell(target, format!("order {} sent", body.mark.id));
        Some(body)
    }

    /// Handles an engine's answer to an order.
    pub fn note_answer(
        &mut self,
        target: &TargetId,
        result: &Result<EngineState, TargetError>,
        now: MonoTime,
    ) {
        let Some(SendState::Out { at }) = self.sends.get(target).copied() else {
            return;
        };
        match result {
            Ok(_) => {
                self.sends
                    .insert(target.clone(), SendState::Taken { at: now });
                self.tell(target, "order accepted".to_owned());
            }
            Err(TargetError::Fenced { current }) => {
                self.fenced_by = self.fenced_by.max(Some(*current));
                self.sends.swap_remove(target);
                self.tell(
                    target,
                    format!("order refused: the engine has seen fence {}", current.0),
                );
            }
            Err(TargetError::Lost { reason }) => {
                self.sends.insert(target.clone(), SendState::Unsure { at });
                self.tell(
                    target,
                    format!("order sent, but its answer was lost: {reason}"),
                );
            }
            Err(error) => {
                self.sends.swap_remove(target);
                self.finish(target, ChangeEnd::Failed, format!("abandoned: {error}"));
            }
        }
    }

    /// Applies an engine's state; `taken_at` is when the engine reported it.
    pub fn note_state(&mut self, target: &TargetId, state: &EngineState, taken_at: MonoTime) {
        let known = self.seen.get(target);
        if known.is_some_and(|seen| seen.taken_at > taken_at) {
            return;
        }
        let idle = state.running == 0 && state.waiting == 0;
        let idle_at = idle.then_some(taken_at);
        self.seen
            .insert(target.clone(), EngineSeen { idle_at, taken_at });
        self.follow(target, state, taken_at);
    }

    // Compares a stored order with the state that the engine reports.
    fn follow(&mut self, target: &TargetId, state: &EngineState, taken_at: MonoTime) {
        let Some(entry) = self.record.entries.get(target) else {
            return;
        };
        let OrderPhase::Ordered(mark) = &entry.phase else {
            return;
        };
        let Some(claimed_at) = self.claimed_at.filter(|at| taken_at >= *at) else {
            return;
        };
        let taken = state.last_order.as_ref().is_some_and(|m| m.id == mark.id);
        let reached = state.role == entry.wish.role && state.models == entry.wish.models;
        let inherited = mark.fence != self.fence;
        if taken && reached && !state.changing {
            self.finish(target, ChangeEnd::Done, "change finished".to_owned());
        } else if taken {
            let at = taken_at;
            self.sends
                .entry(target.clone())
                .or_insert(SendState::Taken { at });
            self.confirm(target, taken_at);
        } else if inherited && taken_at >= claimed_at.plus(self.times.flight) {
            let reason = "the previous holder's order never arrived".to_owned();
            self.finish(target, ChangeEnd::Withdrawn, reason);
        } else if self.is_forgotten(target, taken_at) {
            let reason = "the engine restarted or accepted another order".to_owned();
            self.finish(target, ChangeEnd::Failed, reason);
        }
    }

    fn is_forgotten(&self, target: &TargetId, taken_at: MonoTime) -> bool {
        match self.sends.get(target) {
            Some(SendState::Taken { at }) => taken_at >= at.plus(self.times.flight),
            _ => false,
        }
    }

    fn confirm(&mut self, target: &TargetId, taken_at: MonoTime) {
        if let Some(SendState::Unsure { .. }) = self.sends.get(target) {
            let at = taken_at;
            self.sends.insert(target.clone(), SendState::Taken { at });
        }
    }

    fn finish(&mut self, target: &TargetId, end: ChangeEnd, reason: String) {
        if self.finished.insert(target.clone(), end).is_none() {
            self.tell(target, reason);
        }
    }

    fn next_write(&mut self, now: MonoTime) -> Option<OrderAction> {
        let mut next = self.record.clone();
        next.fence = self.fence;
        let mut changed = self.claimed_at.is_none();
        if changed {
            next.drop_drains();
        } else {
            self.give_up_late(now);
            changed |= self.remove_finished(&mut next);
            changed |= self.order_drained(&mut next, now);
            changed |= self.begin_drains(&mut next, now);
        }
        changed.then(|| self.write(next))
    }

    fn give_up_late(&mut self, now: MonoTime) {
        let late: Vec<(TargetId, &str)> = self
            .record
            .entries
            .iter()
            .filter_map(|(target, entry)| {
                let since = *self.since.get(target)?;
                let (limit, reason) = match entry.phase {
                    OrderPhase::Draining => (self.times.drain, "work did not finish in time"),
                    OrderPhase::Ordered(_) => (self.times.change, "change did not finish in time"),
                };
                (now.since(since) >= limit).then(|| (target.clone(), reason))
            })
            .collect();
        for (target, reason) in late {
            self.finish(&target, ChangeEnd::Failed, reason.to_owned());
        }
    }

    fn remove_finished(&mut self, next: &mut OrderRecord) -> bool {
        let before = next.entries.len();
        next.entries.retain(|t, _| !self.finished.contains_key(t));
        before != next.entries.len()
    }

    fn order_drained(&mut self, next: &mut OrderRecord, now: MonoTime) -> bool {
        let mut changed = false;
        for (target, entry) in &mut next.entries {
            if entry.phase != OrderPhase::Draining || !self.is_drained(target, now) {
                continue;
            }
            next.last_order += 1;
            let id = format!("{}-{}-{}", self.group, self.fence.0, next.last_order);
            let fence = self.fence;
            entry.phase = OrderPhase::Ordered(OrderMark { id, fence });
            changed = true;
        }
        changed
    }

    /// Returns whether the engine has no work left and none can still be in flight to
    /// it.
    fn is_drained(&self, target: &TargetId, now: MonoTime) -> bool {
        let Some(since) = self.since.get(target) else {
            return false;
        };
        let quiet = since.plus(self.times.spread);
        let idle_at = self.seen.get(target).and_then(|seen| seen.idle_at);
        now >= quiet && idle_at.is_some_and(|at| at >= quiet)
    }

    fn begin_drains(&mut self, next: &mut OrderRecord, now: MonoTime) -> bool {
        let mut changed = false;
        for (target, wish) in &self.wishes {
            if next.entries.contains_key(target) || !self.may_begin(target, now) {
                continue;
            }
            let entry = OrderEntry {
                wish: wish.clone(),
                phase: OrderPhase::Draining,
            };
            next.entries.insert(target.clone(), entry);
            changed = true;
        }
        changed
    }

    // A failed change is not retried at once, because the engine would stay out of use.
    fn may_begin(&self, target: &TargetId, now: MonoTime) -> bool {
        let rest_until = self.rest_until.get(target);
        let rested = rest_until.is_none_or(|until| now >= *until);
        rested && !self.finished.contains_key(target) && self.is_surveyed(target)
    }

    fn write(&mut self, mut record: OrderRecord) -> OrderAction {
        self.marks += 1;
        let mark = format!("{}-{}-{}", self.group, self.fence.0, self.marks);
        record.mark.clone_from(&mark);
        self.busy = true;
        let value = record.encode();
        self.pending = Some(PendingWrite {
            mark: mark.clone(),
            record,
        });
        OrderAction::Write {
            mark,
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
        self.busy = false;
        match result {
            Ok(None) if self.version == ObjectVersion(0) => self.must_read = false,
            Ok(Some(stored)) if stored.version >= self.version => self.take(stored, now),
            Ok(_) | Err(_) => self.call_at = now.plus(CALL_PAUSE),
        }
    }

    fn take(&mut self, stored: &StoredObject, now: MonoTime) {
        let Some(record) = OrderRecord::decode(stored) else {
            log::error!("orders/{} cannot be decoded; restore it", self.group);
            self.call_at = now.plus(CALL_PAUSE * 10);
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
            self.installed(record, now);
        } else {
            self.record = record;
        }
    }

    /// Handles the result of a write.
    pub fn note_write(
        &mut self,
        mark: &str,
        result: &Result<ObjectVersion, PlatformError>,
        now: MonoTime,
    ) {
        self.busy = false;
        match result {
            Ok(version) => {
                let pending = self.pending.take_if(|p| p.mark == mark);
                self.version = *version;
                if let Some(pending) = pending {
                    self.installed(pending.record, now);
                }
            }
            Err(PlatformError::Conflict { .. } | PlatformError::Lost { .. }) => {
                self.must_read = true;
            }
            Err(_) => self.call_at = now.plus(CALL_PAUSE),
        }
    }

    // Applies a record that is known to be stored; its orders may be sent from now on.
    fn installed(&mut self, record: OrderRecord, now: MonoTime) {
        self.claimed_at.get_or_insert(now);
        let mut begun = Vec::new();
        for (target, entry) in &record.entries {
            let old = self.record.entries.get(target).map(|e| &e.phase);
            if old != Some(&entry.phase) {
                begun.push((target.clone(), entry.clone()));
            }
            self.since.entry(target.clone()).or_insert(now);
        }
        for (target, entry) in begun {
            self.since.insert(target.clone(), now);
            self.began(&target, &entry);
        }
        let old = std::mem::replace(&mut self.record, record);
        for (target, entry) in old.entries {
            if !self.record.entries.contains_key(&target) {
                self.ended(&target, &entry, now);
            }
        }
    }

    fn ended(&mut self, target: &TargetId, entry: &OrderEntry, now: MonoTime) {
        self.since.swap_remove(target);
        self.sends.swap_remove(target);
        if self.wishes.get(target) == Some(&entry.wish) {
            self.wishes.swap_remove(target);
        }
        if self.finished.swap_remove(target) == Some(ChangeEnd::Failed) {
            let until = now.plus(self.times.change);
            self.rest_until.insert(target.clone(), until);
        }
    }

    fn began(&mut self, target: &TargetId, entry: &OrderEntry) {
        match &entry.phase {
            OrderPhase::Draining => {
                self.tell(
                    target,
                    format!("draining for a change: {}", entry.wish.reason),
                );
            }
            OrderPhase::Ordered(mark) => {
                self.sends.insert(target.clone(), SendState::Waiting);
                self.tell(target, format!("order {} recorded", mark.id));
            }
        }
    }

    fn tell(&mut self, target: &TargetId, reason: String) {
        self.news.push(OrderNews {
            target: target.clone(),
            reason,
        });
    }
}
