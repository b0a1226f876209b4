//! Decides when this daemon may send orders to the engines of a group.
//!
//! A group has one lease object. Its holder renews it by conditional update and stops
//! sending orders a guard time before the lease expires. Other daemons never compare
//! wall clocks: they take over once the record has stayed unchanged, by their own
//! monotonic clock, for the duration of a lease plus the longest time that an order may
//! be in flight.
//!
//! A store that is restored from an older copy loses the newest records. Its new era ends every
//! lease held; a record of an earlier era, or none, does not show who held the lease before, so
//! that a daemon waits as for a holder that it has just seen.

use std::time::Duration;

use indexmap::IndexMap;

use crate::authority::lease_record::{LeaseRecord, lease_object};
use crate::authority::lease_state::{
    GroupLease, HeldLease, LeaseAction, LeaseAuthority, LeaseChange, LeaseTimes, ObservedRecord,
    SentWrite,
};
use crate::control::snapshot::LeaseView;
use crate::names::{DaemonId, FenceNumber, GroupName, MonoTime, ProcessIncarnation, millis};
use crate::ports::{ConditionalWrite, ObjectVersion, PlatformError, StoredObject};

const MAX_SENT_WRITES: usize = 8;
const RENEWALS_PER_LEASE: u32 = 2;
const READS_PER_LEASE: u32 = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Leases of all groups as one daemon sees them.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    daemon_id: DaemonId,
    incarnation: ProcessIncarnation,
    times: LeaseTimes,
    groups: IndexMap<GroupName, GroupLease>,
    // Newest known era of the store; `None` before its first answer.
    era: Option<u64>,
    // Whether nobody can have held a lease before the first known era.
    is_new_fleet: bool,
    write_count: u64,
    stopping: bool,
    changes: Vec<LeaseChange>,
}

impl LeaseTable {
    /// Creates a table without groups.
    #[must_use]
    pub fn new(daemon_id: DaemonId, incarnation: ProcessIncarnation, times: LeaseTimes) -> Self {
        Self {
            daemon_id,
            incarnation,
            times,
            groups: IndexMap::new(),
            era: None,
            is_new_fleet: false,
            write_count: 0,
            stopping: false,
            changes: Vec::new(),
        }
    }

    /// Creates the table of a daemon that starts together with its fleet, before which nobody
    /// has held a lease.
    #[must_use]
    pub fn of_new_fleet(
        daemon_id: DaemonId,
        incarnation: ProcessIncarnation,
        times: LeaseTimes,
    ) -> Self {
        Self {
            is_new_fleet: true,
            ..Self::new(daemon_id, incarnation, times)
        }
    }

    /// Records the newest era of the store that is known; returns whether it was not known yet.
    ///
    /// A new era ends every lease held: its record may be lost.
    pub fn note_era(&mut self, era: u64) -> bool {
        let known = self.era;
        if known.is_some_and(|known| era <= known) {
            return false;
        }
        self.era = Some(era);
        if known.is_none() {
            return true;
        }
        self.is_new_fleet = false;
        let names: Vec<GroupName> = self.groups.keys().cloned().collect();
        for group in names {
            self.forget_record(&group);
        }
        true
    }

    fn forget_record(&mut self, group: &GroupName) {
        let Some(lease) = self.groups.get_mut(group) else {
            return;
        };
        lease.observed = None;
        lease.absent_since = None;
        lease.must_read = true;
        lease.releasing = false;
        // Writes sent before may take effect in the new era, under a fence of the earlier one.
        lease.sent.clear();
        if lease.held.take().is_some() {
            let reason = "the store was restored from an older copy".to_owned();
            self.record_change(group, false, reason);
        }
    }

    /// Returns whether this daemon holds a group's lease as the first holder ever.
    #[must_use]
    pub fn is_first_holder(&self, group: &GroupName) -> bool {
        let held = self.groups.get(group).and_then(|lease| lease.held);
        held.is_some_and(|held| held.fence == self.first_fence()) && self.proves_absence()
    }

    fn first_fence(&self) -> FenceNumber {
        FenceNumber::first_in(self.era.unwrap_or(0))
    }

    // Whether the absence of a record shows that nobody has held the lease, as the store has
    // lost nothing since the fleet started.
    fn proves_absence(&self) -> bool {
        self.is_new_fleet || self.era.unwrap_or(0) == 0
    }

    /// Sets the groups that this daemon is a candidate for, with its rank in each; rank
    /// 0 should hold the lease.
    ///
    /// A group that `ranks` lacks is forgotten, after its lease has been released if held.
    pub fn set_groups(&mut self, ranks: &IndexMap<GroupName, usize>, now: MonoTime) {
        for (group, rank) in ranks {
            let lease = self.groups.entry(group.clone()).or_default();
            lease.rank = Some(*rank);
            lease.outranked_since = match rank {
                0 => None,
                _ => lease.outranked_since.or(Some(now)),
            };
        }
        for (group, lease) in &mut self.groups {
            if !ranks.contains_key(group) {
                lease.rank = None;
                lease.releasing |= lease.held.is_some();
            }
        }
        self.groups.retain(|_, lease| {
            lease.rank.is_some() || lease.held.is_some() || lease.call_in_flight
        });
    }

    /// Returns the right to order a group's engines, unless this daemon lacks it now.
    #[must_use]
    pub fn authority(&self, group: &GroupName, now: MonoTime) -> Option<LeaseAuthority> {
        let lease = self.groups.get(group)?;
        let held = lease.held.filter(|_| !lease.releasing)?;
        let deadline = MonoTime(held.expires_at.0.saturating_sub(self.guard_ms()));
        (now < deadline).then_some(LeaseAuthority {
            fence: held.fence,
            deadline,
        })
    }

    fn guard_ms(&self) -> u64 {
        millis(self.times.guard)
    }

    /// Gives up a group's lease because an engine or the stored orders have a later fence.
    pub fn give_up(&mut self, group: &GroupName, seen: FenceNumber, now: MonoTime) {
        let duration = self.times.duration;
        let Some(lease) = self.groups.get_mut(group) else {
            return;
        };
        lease.min_fence = lease.min_fence.max(seen);
        lease.next_acquire_at = now.plus(duration);
        if lease.held.take().is_some() {
            let reason = format!("an engine has seen the later fence {}", seen.0);
            self.record_change(group, false, reason);
        }
    }

    /// Sets whether an order of a group may be in flight, for the record of its
    /// release.
    pub fn set_order_in_flight(&mut self, group: &GroupName, order_in_flight: bool) {
        if let Some(lease) = self.groups.get_mut(group) {
            lease.order_in_flight = order_in_flight;
        }
    }

    /// Starts a planned stop: releases every lease and acquires no more.
    pub fn stop(&mut self) {
        self.stopping = true;
        for lease in self.groups.values_mut() {
            lease.releasing |= lease.held.is_some();
        }
    }

    /// Returns whether a planned stop has released every lease.
    #[must_use]
    pub fn is_handed_over(&self) -> bool {
        self.stopping
            && self
                .groups
                .values()
                .all(|l| l.held.is_none() && !l.call_in_flight)
    }

    /// Returns the leases acquired and lost since the last call.
    pub fn take_changes(&mut self) -> Vec<LeaseChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the groups whose lease is held now, whether or not orders may be sent.
    pub fn held_groups(&self) -> impl Iterator<Item = &GroupName> {
        let held = self.groups.iter().filter(|(_, l)| l.held.is_some());
        held.map(|(group, _)| group)
    }

    /// Returns the last known record of each lease.
    #[must_use]
    pub fn views(&self, now: MonoTime) -> Vec<LeaseView> {
        let known = self.groups.iter().filter_map(|(group, lease)| {
            let observed = lease.observed.as_ref()?;
            Some(LeaseView {
                group: group.clone(),
                holder: observed.record.holder.clone(),
                fence: observed.record.fence,
                authority_deadline: self.authority(group, now).map(|a| a.deadline),
            })
        });
        known.collect()
    }

    /// Expires leases and returns the platform calls that are due.
    pub fn tick(&mut self, now: MonoTime) -> Vec<LeaseAction> {
        let names: Vec<GroupName> = self.groups.keys().cloned().collect();
        let mut actions = Vec::new();
        for group in names {
            self.expire(&group, now);
            actions.extend(self.next_action(&group, now));
        }
        actions
    }

    fn expire(&mut self, group: &GroupName, now: MonoTime) {
        let Some(lease) = self.groups.get_mut(group) else {
            return;
        };
        if lease.held.is_some_and(|held| now >= held.expires_at) {
            lease.held = None;
            lease.releasing = false;
            self.record_change(group, false, "it expired without a renewal".to_owned());
        }
    }

    fn next_action(&mut self, group: &GroupName, now: MonoTime) -> Option<LeaseAction> {
        let handover_wait = self.handover_wait();
        let lease = self.groups.get_mut(group)?;
        if lease.call_in_flight && now < lease.call_deadline {
            return None;
        }
        if lease.call_in_flight {
            // The call timed out; a write may have taken effect.
            lease.call_in_flight = false;
            lease.must_read = true;
            lease.unknown_writes = true;
        }
        let outranked = lease
            .outranked_since
            .is_some_and(|since| now.since(since) >= handover_wait);
        lease.releasing |= outranked && lease.held.is_some();
        if lease.must_read {
            return self.read(group, now);
        }
        let (held, releasing, next_write_at) = (lease.held, lease.releasing, lease.next_write_at);
        match held {
            Some(_) if now < next_write_at => None,
            Some(_) if releasing => self.write(group, now, true),
            Some(held) if self.is_renewal_due(held, now) => self.write(group, now, false),
            Some(_) => None,
            None if self.may_acquire(group, now) => self.write(group, now, false),
            None => self.read(group, now),
        }
    }

    // How long an outranked holder keeps its lease: much longer than a lease lasts, so that
    // a daemon that joins and leaves repeatedly moves no lease.
    fn handover_wait(&self) -> Duration {
        self.times.duration * 10
    }

    fn is_renewal_due(&self, held: HeldLease, now: MonoTime) -> bool {
        let step = self.times.duration / RENEWALS_PER_LEASE;
        let left = held.expires_at.since(now);
        left + step <= self.times.duration
    }

    /// Returns whether this daemon may overwrite a lease record now.
    ///
    /// A holder counts its lease from before it sent the write, and this daemon saw the
    /// write after it took effect. Once the record has stayed unchanged here for the
    /// duration of a lease, the holder has therefore stopped by its own clock, and
    /// `max_order_flight` later none of its orders is in flight. If it renewed in the
    /// meantime, the conditional update fails.
    fn may_acquire(&self, group: &GroupName, now: MonoTime) -> bool {
        let Some(lease) = self.groups.get(group) else {
            return false;
        };
        let Some(rank) = lease.rank.filter(|_| !self.stopping) else {
            return false;
        };
        if now < lease.next_acquire_at || now < lease.next_write_at {
            return false;
        }
        let rank_delay = self.times.duration * u32::try_from(rank).unwrap_or(u32::MAX);
        let expiry_wait = self.times.duration + self.times.max_order_flight + rank_delay / 4;
        let Some(observed) = &lease.observed else {
            let wait = if self.proves_absence() {
                rank_delay
            } else {
                expiry_wait
            };
            let absent_since = lease.absent_since;
            return absent_since.is_some_and(|since| now.since(since) >= wait);
        };
        let record = &observed.record;
        let seen_for = now.since(observed.since);
        if record.released && !observed.is_restored() {
            let flight = match record.order_in_flight {
                true => self.times.max_order_flight,
                false => Duration::ZERO,
            };
            return seen_for >= flight + rank_delay;
        }
        seen_for >= expiry_wait
    }

    fn read(&mut self, group: &GroupName, now: MonoTime) -> Option<LeaseAction> {
        let interval = self.times.duration / READS_PER_LEASE;
        let lease = self.groups.get_mut(group)?;
        if now < lease.next_read_at || (lease.rank.is_none() && lease.held.is_none()) {
            return None;
        }
        lease.next_read_at = now.plus(interval);
        lease.call_in_flight = true;
        lease.call_deadline = now.plus(interval);
        Some(LeaseAction::Read(group.clone()))
    }

    fn write(&mut self, group: &GroupName, now: MonoTime, released: bool) -> Option<LeaseAction> {
        self.write_count += 1;
        let write_id = format!(
            "{}-{}-{}",
            self.daemon_id, self.incarnation.0, self.write_count
        );
        let timeout = self.times.duration / READS_PER_LEASE;
        let first_fence = self.first_fence();
        let lease = self.groups.get_mut(group)?;
        let observed = lease.observed.as_ref();
        let (expected, fence) = match lease.held {
            Some(held) => (held.version, held.fence),
            None => (
                observed.map_or(ObjectVersion(0), |o| o.version),
                lease.min_fence.next().max(first_fence),
            ),
        };
        let record = LeaseRecord {
            holder: self.daemon_id.clone(),
            incarnation: self.incarnation,
            fence,
            write_id: write_id.clone(),
            released,
            order_in_flight: released && lease.order_in_flight,
        };
        lease.call_in_flight = true;
        lease.call_deadline = now.plus(timeout);
        lease.sent.push(SentWrite {
            write_id: write_id.clone(),
            fence,
            sent_at: now,
            released,
        });
        let excess = lease.sent.len().saturating_sub(MAX_SENT_WRITES);
        lease.sent.drain(..excess);
        Some(LeaseAction::Write {
            group: group.clone(),
            write_id,
            write: ConditionalWrite {
                object: lease_object(group),
                expected,
                value: record.encode(),
            },
        })
    }

    /// Handles the result of a read.
    pub fn note_read(
        &mut self,
        group: &GroupName,
        result: &Result<Option<StoredObject>, PlatformError>,
        now: MonoTime,
    ) {
        let Some(lease) = self.groups.get_mut(group) else {
            return;
        };
        lease.call_in_flight = false;
        match result {
            Ok(Some(stored)) => {
                lease.must_read = false;
                self.observe(group, stored, now);
            }
            Ok(None) => {
                lease.must_read = false;
                lease.absent_since.get_or_insert(now);
            }
            // Only a holder that doubts its lease retries soon; other daemons don't add
            // load to a failing platform.
            Err(_) if lease.held.is_some() => lease.next_read_at = now.plus(RETRY_PAUSE),
            Err(_) => {}
        }
    }

    fn observe(&mut self, group: &GroupName, stored: &StoredObject, now: MonoTime) {
        self.note_era(stored.version.era());
        if Some(stored.version.era()) < self.era {
            return;
        }
        let record = match LeaseRecord::decode(stored) {
            Ok(record) => record,
            Err(error) => {
                log::error!("lease record unusable: {error}");
                return;
            }
        };
        let Some(lease) = self.groups.get_mut(group) else {
            return;
        };
        let known_version = lease.observed.as_ref().map(|o| o.version);
        // A stale read shows an older record. Applying it would restart the wait for a
        // takeover and could bring back an earlier fence.
        if known_version.is_some_and(|version| stored.version <= version) {
            return;
        }
        let local_write = lease
            .sent
            .iter()
            .find(|sent| sent.write_id == record.write_id);
        let local_write = local_write.cloned();
        lease.unknown_writes = false;
        lease.min_fence = lease.min_fence.max(record.fence);
        lease.observed = Some(ObservedRecord {
            version: stored.version,
            record,
            since: now,
        });
        match local_write {
            Some(sent) => self.apply_local_write(group, &sent, stored.version, now),
            None => self.apply_remote_write(group, stored.version),
        }
    }

    // Applies a write of this daemon that is now known to have taken effect.
    fn apply_local_write(
        &mut self,
        group: &GroupName,
        sent: &SentWrite,
        version: ObjectVersion,
        now: MonoTime,
    ) {
        let expires_at = sent.sent_at.plus(self.times.duration);
        let Some(lease) = self.groups.get_mut(group) else {
            return;
        };
        let was_held = lease.held.is_some();
        if sent.released {
            lease.held = None;
            lease.releasing = false;
            lease.next_acquire_at = now.plus(self.times.duration);
            self.record_change(group, false, "the lease was released".to_owned());
            return;
        }
        if now >= expires_at {
            lease.held = None;
            return;
        }
        lease.held = Some(HeldLease {
            fence: sent.fence,
            version,
            expires_at,
        });
        lease.releasing |= self.stopping;
        if !was_held {
            // A daemon that took over while those ranked before it were unreachable has
            // not held the lease alongside them yet, so the handover wait starts now.
            lease.outranked_since = lease.outranked_since.map(|_| now);
            let reason = format!("acquired with fence {}", sent.fence.0);
            self.record_change(group, true, reason);
        }
    }

    fn apply_remote_write(&mut self, group: &GroupName, version: ObjectVersion) {
        let Some(lease) = self.groups.get_mut(group) else {
            return;
        };
        if lease.held.take_if(|held| held.version < version).is_some() {
            lease.releasing = false;
            self.record_change(group, false, "another daemon has acquired it".to_owned());
        }
    }

    /// Handles the result of a write.
    pub fn note_write(
        &mut self,
        group: &GroupName,
        write_id: &str,
        result: &Result<ObjectVersion, PlatformError>,
        now: MonoTime,
    ) {
        if let Ok(version) = result {
            self.note_era(version.era());
        }
        let Some(lease) = self.groups.get_mut(group) else {
            return;
        };
        lease.call_in_flight = false;
        let sent = lease
            .sent
            .iter()
            .find(|sent| sent.write_id == write_id)
            .cloned();
        match (result, sent) {
            (Ok(version), Some(sent)) => self.apply_written(group, &sent, *version, now),
            (Err(PlatformError::Conflict { .. }), _) => self.handle_conflict(group, now),
            (Err(PlatformError::Lost { .. }), _) => {
                lease.must_read = true;
                lease.unknown_writes = true;
                lease.next_read_at = now;
            }
            (Err(_), _) | (Ok(_), None) => {
                let interval = self.times.duration / READS_PER_LEASE;
                let pause = if lease.held.is_some() {
                    RETRY_PAUSE
                } else {
                    interval
                };
                lease.next_write_at = now.plus(pause);
            }
        }
    }

    /// Handles a write that failed because the record has another version than
    /// expected.
    ///
    /// The record may be this daemon's own write whose response was lost: then no other
    /// daemon can have taken the lease before it expires, and a read of the record
    /// settles it. Otherwise another daemon wrote it, and ordering stops at once.
    fn handle_conflict(&mut self, group: &GroupName, now: MonoTime) {
        let Some(lease) = self.groups.get_mut(group) else {
            return;
        };
        lease.must_read = true;
        lease.next_read_at = now;
        lease.next_write_at = now.plus(RETRY_PAUSE);
        if !lease.unknown_writes && lease.held.take().is_some() {
            lease.releasing = false;
            self.record_change(
                group,
                false,
                "its record changed before the renewal".to_owned(),
            );
        }
    }

    fn apply_written(
        &mut self,
        group: &GroupName,
        sent: &SentWrite,
        version: ObjectVersion,
        now: MonoTime,
    ) {
        let Some(lease) = self.groups.get_mut(group) else {
            return;
        };
        if lease
            .observed
            .as_ref()
            .is_some_and(|o| o.version >= version)
        {
            return;
        }
        lease.unknown_writes = false;
        lease.min_fence = lease.min_fence.max(sent.fence);
        lease.observed = Some(ObservedRecord {
            version,
            record: LeaseRecord {
                holder: self.daemon_id.clone(),
                incarnation: self.incarnation,
                fence: sent.fence,
                write_id: sent.write_id.clone(),
                released: sent.released,
                order_in_flight: false,
            },
            since: now,
        });
        self.apply_local_write(group, sent, version, now);
    }

    fn record_change(&mut self, group: &GroupName, held: bool, reason: String) {
        metrics::counter!("pistachiowick_lease_changes_total", "held" => held.to_string())
            .increment(1);
        self.changes.push(LeaseChange {
            group: group.clone(),
            held,
            reason,
        });
    }
}
