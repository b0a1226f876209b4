//! Maintains a lease in the store for a component of the gateway that acts for the whole fleet.

use std::rc::Rc;

use indexmap::IndexMap;
use tokio::task::spawn_local;

use crate::authority::lease::LeaseTable;
use crate::authority::lease_record::lease_object;
use crate::authority::lease_state::{LeaseAction, LeaseAuthority, LeaseTimes};
use crate::gateway::daemon::Gateway;
use crate::names::{GroupName, MonoTime, ProcessIncarnation};
use crate::ports::{ObjectVersion, PlatformError, StoredObject};

/// Result of a lease operation on the store.
#[derive(Debug)]
pub enum LeaseCallResult {
    /// The lease was read.
    Read(Result<Option<StoredObject>, PlatformError>),
    /// The lease was written; the string identifies that write.
    Written(String, Result<ObjectVersion, PlatformError>),
}

/// One lease, for which some daemons contend in an order that all of them agree on.
pub struct LeaseManager {
    gateway: Rc<Gateway>,
    table: LeaseTable,
    group: GroupName,
    // When the result of the last acquisition or renewal arrived.
    confirmed_at: MonoTime,
    // When this daemon learned of the store's present era.
    era_since: MonoTime,
}

impl LeaseManager {
    /// Creates the manager of a group's lease.
    #[must_use]
    pub fn new(gateway: Rc<Gateway>, group: &str, times: LeaseTimes) -> Self {
        let incarnation = ProcessIncarnation(gateway.incarnation);
        let new_table = if gateway.settings().first_start {
            LeaseTable::of_new_fleet
        } else {
            LeaseTable::new
        };
        Self {
            table: new_table(gateway.daemon.clone(), incarnation, times),
            group: GroupName::from(group),
            confirmed_at: MonoTime(0),
            era_since: MonoTime(0),
            gateway,
        }
    }

    /// Contends for the lease with a rank, or gives it up without one; `on_result` receives
    /// the results of the store calls that this makes.
    pub fn keep(
        &mut self,
        rank: Option<usize>,
        now: MonoTime,
        on_result: impl Fn(LeaseCallResult) + Clone + 'static,
    ) {
        if self.gateway.stopping.get() {
            self.table.stop();
        }
        self.note_era(now);
        let ranks: IndexMap<GroupName, usize> = rank
            .map(|rank| (self.group.clone(), rank))
            .into_iter()
            .collect();
        self.table.set_groups(&ranks, now);
        for action in self.table.tick(now) {
            self.execute(action, on_result.clone());
        }
        for change in self.table.take_changes() {
            log::info!(lease = self.group.as_str(), held = change.held, reason = change.reason.as_str(); "lease to act for the whole fleet was acquired or lost");
        }
    }

    fn execute(&self, action: LeaseAction, on_result: impl Fn(LeaseCallResult) + 'static) {
        let store = self.gateway.ports.store.clone();
        spawn_local(async move {
            on_result(match action {
                LeaseAction::Read(group) => {
                    LeaseCallResult::Read((store.read)(lease_object(&group)).await)
                }
                LeaseAction::Write {
                    write_id, write, ..
                } => LeaseCallResult::Written(write_id, (store.write)(write).await),
            });
        });
    }

    fn note_era(&mut self, now: MonoTime) {
        let era = (self.gateway.ports.store_era)();
        if era.is_some_and(|era| self.table.note_era(era)) {
            self.era_since = now;
        }
    }

    /// Processes the result of a store call.
    pub fn take(&mut self, call: LeaseCallResult, now: MonoTime) {
        self.note_era(now);
        let known = self.authority(now);
        match call {
            LeaseCallResult::Read(result) => self.table.note_read(&self.group, &result, now),
            LeaseCallResult::Written(write_id, result) => {
                self.table.note_write(&self.group, &write_id, &result, now);
            }
        }
        // A write whose answer was lost is confirmed by a read.
        let confirmed = self.authority(now);
        if confirmed.is_some() && confirmed != known {
            self.confirmed_at = now;
        }
    }

    /// Returns when this daemon learned of the present era of the store.
    #[must_use]
    pub fn era_since(&self) -> MonoTime {
        self.era_since
    }

    /// Returns when this daemon last learned that it had acquired or renewed the lease.
    #[must_use]
    pub fn confirmed_at(&self) -> MonoTime {
        self.confirmed_at
    }

    /// Returns the authority to act now, if this daemon has it.
    #[must_use]
    pub fn authority(&self, now: MonoTime) -> Option<LeaseAuthority> {
        let authority = self.table.authority(&self.group, now)?;
        let era = (self.gateway.ports.store_era)();
        (Some(authority.fence.era()) >= era).then_some(authority)
    }

    /// Returns whether this daemon holds the lease as the first holder ever.
    #[must_use]
    pub fn is_first_holder(&self) -> bool {
        self.table.is_first_holder(&self.group)
    }

    /// Returns whether this daemon holds the lease, even while it may not act under it.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.table.held_groups().any(|held| *held == self.group)
    }
}
