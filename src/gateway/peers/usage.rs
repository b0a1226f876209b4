//! Exchange of usage counts and wall clock times between daemons.

use crate::clock;
use crate::gateway::call::RoutedRequest;
use crate::gateway::daemon::Gateway;
use crate::gateway::fleet_tasks::usage_counts::{DaemonUsage, UsageCount};
use crate::gateway::model::CallerAccess;
use crate::gateway::peers::wire::{PeerHint, PeerSummary};
use crate::names::MonoTime;

impl Gateway {
    /// Counts a request that started to run at a target. The daemon that hands over a request
    /// that targets have received counts it itself.
    pub fn record_start(&self, call: &RoutedRequest) {
        if let CallerAccess::Workspace { name, .. } = &call.access
            && self.ports.fleet_tasks.is_some()
            && call.prior_sends() == 0
        {
            let mut meter = self.fleet_tasks.borrow_mut();
            meter.usage.record_start(name, clock::mono_now());
        }
    }

    pub(super) fn take_usage_updates(&self) -> Vec<UsageCount> {
        let now = clock::mono_now();
        let mut meter = self.fleet_tasks.borrow_mut();
        meter.refresh(now);
        meter.usage.take_updates(now)
    }

    // Returns the usage sent to other hubs: of the members, and of this daemon's hint.
    pub(super) fn take_centre_usage(&self, hint: &PeerHint) -> Vec<DaemonUsage> {
        let mut usage = self.fleet_tasks.borrow_mut().usage.take_relayed();
        if !hint.usage.is_empty() {
            usage.push(usage_of(hint));
        }
        usage
    }

    pub(super) fn apply_member_usage(&self, hint: &PeerHint, now: MonoTime) {
        let mut meter = self.fleet_tasks.borrow_mut();
        meter.clock.add_sample(&hint.from, hint.wall_clock, now);
        meter.usage.merge_remote(usage_of(hint), true);
    }

    // Members adopt the time of their hub; between hubs, it counts as one more sample.
    pub(super) fn apply_hub_usage(&self, summary: &PeerSummary, now: MonoTime) {
        let mut meter = self.fleet_tasks.borrow_mut();
        if let Some(time) = summary.fleet_time {
            if summary.whole_fleet {
                meter.clock.adopt_time(time, now);
            } else {
                meter.clock.add_sample(&summary.from, time, now);
            }
        }
        for counts in &summary.usage {
            meter.usage.merge_remote(counts.clone(), false);
        }
    }
}

fn usage_of(hint: &PeerHint) -> DaemonUsage {
    DaemonUsage {
        daemon: hint.from.clone(),
        incarnation: hint.incarnation,
        counts: hint.usage.clone(),
    }
}
