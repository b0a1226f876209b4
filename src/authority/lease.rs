//! Decides when this daemon may order the engines of a group.
//!
//! A group has one lease object. Its holder renews it by conditional update and
//! stops ordering a guard time before the lease ends. Other daemons never compare
//! wall clocks: they take over after they have seen the record unchanged, by their
//! own monotonic clock, for as long as it lasts and an order may fly.

use std::time::Duration;

use indexmap::IndexMap;

use crate::authority::lease_record::{LeaseRecord, lease_object};
use crate::authority::lease_state::{
    GroupLease, HeldLease, LeaseAction, LeaseAuthority, LeaseNews, LeaseTimes, ObservedRecord,
    SentWrite,
};
use crate::control::snapshot::LeaseView;
use crate::names::{DaemonId, FenceNumber, GroupName, MonoTime, ProcessIncarnation, millis};
use crate::ports::{ConditionalWrite, ObjectVersion, PlatformError, StoredObject};

const MARKS_KEPT: usize = 8;
const RENEWALS_PER_LEASE: u32 = 2;
const READS_PER_LEASE: u32 = 3;
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// Leases of all groups as one daemon sees them.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    own: DaemonId,
    incarnation: ProcessIncarnation,
    times: LeaseTimes,
    groups: IndexMap<GroupName, GroupLease>,
    marks: u64,
    stopping: bool,
    news: Vec<LeaseNews>,
}

impl LeaseTable {
    /// Creates a table without groups.
    #[must_use]
    pub fn new(own: DaemonId, incarnation: ProcessIncarnation, times: LeaseTimes) -> Self {
        Self {
            own,
            incarnation,
            times,
            groups: IndexMap::new(),
            marks: 0,
            stopping: false,
            news: Vec::new(),
        }
    }

    /// Takes the groups this daemon may lead, with its rank for each; 0 leads.
    ///
    /// A group that disappears is given up when held and forgotten once released.
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
        self.groups
            .retain(|_, lease| lease.rank.is_some() || lease.held.is_some() || lease.busy);
    }

    /// Returns the authority over a group, if there is any left now.
    #[must_use]
    pub fn authority(&self, group: &GroupName, now: MonoTime) -> Option<LeaseAuthority> {
        let lease = self.groups.get(group)?;
        let held = lease.held.filter(|_| !lease.releasing)?;
        let until = MonoTime(held.expires_at.0.saturating_sub(self.guard_ms()));
        (now < until).then_some(LeaseAuthority {
            fence: held.fence,
            until,
        })
    }

    fn guard_ms(&self) -> u64 {
        millis(self.times.guard)
    }

    /// Gives up a group because an engine has seen a later fence.
    pub fn give_up(&mut self, group: &GroupName, seen: FenceNumber, now: MonoTime) {
        let duration = self.times.duration;
        let Some(lease) = self.groups.get_mut(group) else {
            return;
        };
        lease.least_fence = lease.least_fence.max(seen);
        lease.try_at = now.plus(duration);
        if lease.held.take().is_some() {
            let reason = format!("an engine has seen fence {}", seen.0);
            self.tell(group, false, reason);
        }
    }

    /// Tells whether orders of a group may still be under way, for its release.
    pub fn set_unsettled(&mut self, group: &GroupName, unsettled: bool) {
        if let Some(lease) = self.groups.get_mut(group) {
            lease.unsettled = unsettled;
        }
    }

    /// Begins a planned stop: hands over every lease and takes no more.
    pub fn stop(&mut self) {
        self.stopping = true;
        for lease in self.groups.values_mut() {
            lease.releasing |= lease.held.is_some();
        }
    }

    /// Tells whether a planned stop has handed over everything.
    #[must_use]
    pub fn is_handed_over(&self) -> bool {
        self.stopping && self.groups.values().all(|l| l.held.is_none() && !l.busy)
    }

    /// Returns the changes of authority since the last call.
    pub fn take_news(&mut self) -> Vec<LeaseNews> {
        std::mem::take(&mut self.news)
    }

    /// Returns the groups with a lease held now, whether or not orders may be sent.
    pub fn held_groups(&self) -> impl Iterator<Item = &GroupName> {
        let held = self.groups.iter().filter(|(_, l)| l.held.is_some());
        held.map(|(group, _)| group)
    }

    /// Returns what is known of each lease.
    #[must_use]
    pub fn views(&self, now: MonoTime) -> Vec<LeaseView> {
        let known = self.groups.iter().filter_map(|(group, lease)| {
            let observed = lease.observed.as_ref()?;
            Some(LeaseView {
                group: group.clone(),
                holder: observed.record.holder.clone(),
                fence: observed.record.fence,
                authority_deadline: self.authority(group, now).map(|a| a.until),
            })
        });
        known.collect()
    }

    /// Lets time pass.
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
            self.tell(group, false, "it ended without a renewal".to_owned());
        }
    }

    fn next_action(&mut self, group: &GroupName, now: MonoTime) -> Option<LeaseAction> {
        let handover = self.handover_wait();
        let lease = self.groups.get_mut(group)?;
        if lease.busy && now < lease.busy_until {
            return None;
        }
        if lease.busy {
            // The answer never came; a write may have landed.
            lease.busy = false;
            lease.must_read = true;
            lease.open_writes = true;
        }
        let outranked = lease
            .outranked_since
            .is_some_and(|since| now.since(since) >= handover);
        lease.releasing |= outranked && lease.held.is_some();
        if lease.must_read {
            return self.read(group, now);
        }
        let (held, releasing, write_at) = (lease.held, lease.releasing, lease.write_at);
        match held {
            Some(_) if now < write_at => None,
            Some(_) if releasing => self.write(group, now, true),
            Some(held) if self.is_renewal_due(held, now) => self.write(group, now, false),
            Some(_) => None,
            None if self.may_acquire(group, now) => self.write(group, now, false),
            None => self.read(group, now),
        }
    }

    // Long against the duration, so that a daemon that comes and goes moves no lease.
    fn handover_wait(&self) -> Duration {
        self.times.duration * 10
    }

    fn is_renewal_due(&self, held: HeldLease, now: MonoTime) -> bool {
        let step = self.times.duration / RENEWALS_PER_LEASE;
        let left = held.expires_at.since(now);
        left + step <= self.times.duration
    }

    /// Whether a record may be overwritten by this daemon now.
    ///
    /// A holder counts its time from before its write left, and the write was seen here
    /// after it took effect: once the record has been unchanged here for its duration,
    /// the holder has stopped by its own clock, and after one order flight none of its
    /// orders is under way. A holder that renewed unseen makes the update fail.
    fn may_acquire(&self, group: &GroupName, now: MonoTime) -> bool {
        let Some(lease) = self.groups.get(group) else {
            return false;
        };
        let Some(rank) = lease.rank.filter(|_| !self.stopping) else {
            return false;
        };
        if now < lease.try_at || now < lease.write_at {
            return false;
        }
        let patience = self.times.duration * u32::try_from(rank).unwrap_or(u32::MAX);
        let Some(observed) = &lease.observed else {
            return lease
                .absent_since
                .is_some_and(|since| now.since(since) >= patience);
        };
        let record = &observed.record;
        let seen_for = now.since(observed.since);
        if record.released {
            let flight = match record.unsettled {
                true => self.times.order_flight,
                false => Duration::ZERO,
            };
            return seen_for >= flight + patience;
        }
        let lapse = self.times.duration + self.times.order_flight;
        seen_for >= lapse + patience / 4
    }

    fn read(&mut self, group: &GroupName, now: MonoTime) -> Option<LeaseAction> {
        let pace = self.times.duration / READS_PER_LEASE;
        let lease = self.groups.get_mut(group)?;
        if now < lease.read_at || (lease.rank.is_none() && lease.held.is_none()) {
            return None;
        }
        lease.read_at = now.plus(pace);
        lease.busy = true;
        lease.busy_until = now.plus(pace);
        Some(LeaseAction::Read(group.clone()))
    }

    fn write(&mut self, group: &GroupName, now: MonoTime, released: bool) -> Option<LeaseAction> {
        self.marks += 1;
        let mark = format!("{}-{}-{}", self.own, self.incarnation.0, self.marks);
        let patience = self.times.duration / READS_PER_LEASE;
        let lease = self.groups.get_mut(group)?;
        let observed = lease.observed.as_ref();
        let seen = observed.map_or(FenceNumber(0), |o| o.record.fence);
        let (expected, fence) = match lease.held {
            Some(held) => (held.version, held.fence),
            None => (
                observed.map_or(ObjectVersion(0), |o| o.version),
                FenceNumber(seen.max(lease.least_fence).0 + 1),
            ),
        };
        let record = LeaseRecord {
            holder: self.own.clone(),
            incarnation: self.incarnation,
            fence,
            mark: mark.clone(),
            released,
            unsettled: released && lease.unsettled,
        };
        lease.busy = true;
        lease.busy_until = now.plus(patience);
        lease.sent.push(SentWrite {
            mark: mark.clone(),
            fence,
            sent_at: now,
            released,
        });
        let surplus = lease.sent.len().saturating_sub(MARKS_KEPT);
        lease.sent.drain(..surplus);
        Some(LeaseAction::Write {
            group: group.clone(),
            mark,
            write: ConditionalWrite {
                object: lease_object(group),
                expected,
                value: record.encode(),
            },
        })
    }

    /// Notes what a read found.
    pub fn note_read(
        &mut self,
        group: &GroupName,
        result: &Result<Option<StoredObject>, PlatformError>,
        now: MonoTime,
    ) {
        let Some(lease) = self.groups.get_mut(group) else {
            return;
        };
        lease.busy = false;
        match result {
            Ok(Some(stored)) => {
                lease.must_read = false;
                self.observe(group, stored, now);
            }
            Ok(None) => {
                lease.must_read = false;
                lease.absent_since.get_or_insert(now);
            }
            // Only a holder in doubt is in a hurry; the others spare a failing platform.
            Err(_) if lease.held.is_some() => lease.read_at = now.plus(WRITE_PAUSE),
            Err(_) => {}
        }
    }

    fn observe(&mut self, group: &GroupName, stored: &StoredObject, now: MonoTime) {
        let record = match LeaseRecord::decode(stored) {
            Ok(record) => record,
            Err(error) => {
                log::error!("lease not usable: {error}");
                return;
            }
        };
        let Some(lease) = self.groups.get_mut(group) else {
            return;
        };
        let known = lease.observed.as_ref().map(|o| o.version);
        // A stale read shows an older record; taking it would restart no clock but
        // could bring back a fence already passed.
        if known.is_some_and(|version| stored.version <= version) {
            return;
        }
        let own_write = lease.sent.iter().find(|sent| sent.mark == record.mark);
        let own_write = own_write.cloned();
        lease.open_writes = false;
        lease.observed = Some(ObservedRecord {
            version: stored.version,
            record,
            since: now,
        });
        match own_write {
            Some(sent) => self.landed(group, &sent, stored.version, now),
            None => self.displaced(group, stored.version),
        }
    }

    // An own write is now known to have landed.
    fn landed(
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
        let had = lease.held.is_some();
        if sent.released {
            lease.held = None;
            lease.releasing = false;
            lease.try_at = now.plus(self.times.duration);
            self.tell(group, false, "handed over".to_owned());
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
        if !had {
            // A daemon that took over because those before it were away has not held the
            // lease beside them yet.
            lease.outranked_since = lease.outranked_since.map(|_| now);
            let reason = format!("acquired with fence {}", sent.fence.0);
            self.tell(group, true, reason);
        }
    }

    fn displaced(&mut self, group: &GroupName, version: ObjectVersion) {
        let Some(lease) = self.groups.get_mut(group) else {
            return;
        };
        if lease.held.take_if(|held| held.version < version).is_some() {
            lease.releasing = false;
            self.tell(group, false, "another daemon has taken it".to_owned());
        }
    }

    /// Notes the answer to a write.
    pub fn note_write(
        &mut self,
        group: &GroupName,
        mark: &str,
        result: &Result<ObjectVersion, PlatformError>,
        now: MonoTime,
    ) {
        let Some(lease) = self.groups.get_mut(group) else {
            return;
        };
        lease.busy = false;
        let sent = lease.sent.iter().find(|sent| sent.mark == mark).cloned();
        match (result, sent) {
            (Ok(version), Some(sent)) => self.wrote(group, &sent, *version, now),
            (Err(PlatformError::Conflict { .. }), _) => self.conflicted(group, now),
            (Err(PlatformError::Lost { .. }), _) => {
                lease.must_read = true;
                lease.open_writes = true;
                lease.read_at = now;
            }
            (Err(_), _) | (Ok(_), None) => {
                let pace = self.times.duration / READS_PER_LEASE;
                let pause = if lease.held.is_some() {
                    WRITE_PAUSE
                } else {
                    pace
                };
                lease.write_at = now.plus(pause);
            }
        }
    }

    /// The record has another version than expected.
    ///
    /// It may be an own write whose answer was lost: then nobody else can have taken
    /// the lease before its end, and the record tells. Otherwise it is another's, and
    /// ordering stops at once.
    fn conflicted(&mut self, group: &GroupName, now: MonoTime) {
        let Some(lease) = self.groups.get_mut(group) else {
            return;
        };
        lease.must_read = true;
        lease.read_at = now;
        lease.write_at = now.plus(WRITE_PAUSE);
        if !lease.open_writes && lease.held.take().is_some() {
            lease.releasing = false;
            self.tell(
                group,
                false,
                "its record changed under a renewal".to_owned(),
            );
        }
    }

    fn wrote(
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
        lease.open_writes = false;
        lease.observed = Some(ObservedRecord {
            version,
            record: LeaseRecord {
                holder: self.own.clone(),
                incarnation: self.incarnation,
                fence: sent.fence,
                mark: sent.mark.clone(),
                released: sent.released,
                unsettled: false,
            },
            since: now,
        });
        self.landed(group, sent, version, now);
    }

    fn tell(&mut self, group: &GroupName, held: bool, reason: String) {
        metrics::counter!("pistachiowick_lease_changes_total", "held" => held.to_string())
            .increment(1);
        self.news.push(LeaseNews {
            group: group.clone(),
            held,
            reason,
        });
    }
}
