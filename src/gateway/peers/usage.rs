//! Usage and wall clocks on their way between daemons.

use crate::clock;
use crate::gateway::daemon::Gateway;
use crate::gateway::fleet_tasks::usage_counts::{DaemonUsage, UsageCount};
use crate::gateway::model::CallerAccess;
use crate::gateway::peers::wire::{PeerHint, PeerSummary};
use crate::names::MonoTime;

impl Gateway {
    /// Counts a request that began to run at a target.
    pub fn record_start(&self, access: &CallerAccess) {
        if let CallerAccess::Workspace { name, .. } = access
            && self.ports.fleet_tasks.is_some()
        {
            let mut book = self.fleet_tasks.borrow_mut();
            book.usage.record_start(name, clock::mono_now());
        }
    }

    pub(super) fn take_usage_news(&self) -> Vec<UsageCount> {
        let now = clock::mono_now();
        let mut book = self.fleet_tasks.borrow_mut();
        book.refresh(now);
        book.usage.take_updates(now)
    }

    // What goes to other hubs: what the members told, and the own counts of this word.
    pub(super) fn take_centre_usage(&self, hint: &PeerHint) -> Vec<DaemonUsage> {
        let mut usage = self.fleet_tasks.borrow_mut().usage.take_relayed();
        if !hint.usage.is_empty() {
            usage.push(usage_of(hint));
        }
        usage
    }

    pub(super) fn take_member_usage(&self, hint: &PeerHint, now: MonoTime) {
        let mut book = self.fleet_tasks.borrow_mut();
        book.clock.add_sample(&hint.from, hint.wall, now);
        book.usage.merge_remote(usage_of(hint), true);
    }

    // What a hub tells its members is agreed on; hubs take each other's for one clock more.
    pub(super) fn take_hub_usage(&self, summary: &PeerSummary, now: MonoTime) {
        let mut book = self.fleet_tasks.borrow_mut();
        if let Some(time) = summary.true_time {
            if summary.whole {
                book.clock.adopt_time(time, now);
            } else {
                book.clock.add_sample(&summary.from, time, now);
            }
        }
        for told in &summary.usage {
            book.usage.merge_remote(told.clone(), false);
        }
    }
}

fn usage_of(hint: &PeerHint) -> DaemonUsage {
    DaemonUsage {
        daemon: hint.from.clone(),
        incarnation: hint.life,
        counts: hint.usage.clone(),
    }
}
