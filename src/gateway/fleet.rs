//! The traffic thread's view of the fleet: routes, targets, other daemons.

use std::sync::Arc;

use arc_swap::ArcSwap;
use indexmap::IndexMap;

use crate::gateway::members::DaemonRecord;
use crate::gateway::model::TargetRecord;
use crate::gateway::registry::{MissingEntry, RecentUpdate};
use crate::gateway::routes::RouteTable;
use crate::gateway::software::history::VersionHistory;
use crate::names::ServiceName;
use crate::target_incarnation::TargetIncarnation;

/// Targets by the service that they offer.
pub type TargetsByService = IndexMap<ServiceName, Vec<Arc<TargetRecord>>>;

/// A consistent snapshot of the fleet, replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Newest known configuration; `None` until the first one arrives.
    pub routes: Option<Arc<RouteTable>>,
    /// Targets that may get work, by service.
    pub targets: TargetsByService,
    /// Whether the targets have been listed at least once.
    pub targets_known: bool,
    /// Revision and value of the configuration in `routes`, to be sent to daemons with an older
    /// one.
    pub config_source: Option<(u64, Arc<[u8]>)>,
    /// Targets that recently announced their departure or were found gone from their address.
    pub departed: Vec<TargetIncarnation>,
    /// Entries of targets that were recently created or found to be gone.
    pub entry_updates: Vec<RecentUpdate>,
    /// Targets without an entry that still get work.
    pub missing_entries: IndexMap<TargetIncarnation, MissingEntry>,
    /// Versions of the targets' software that have served lately.
    pub versions: VersionHistory,
    /// Daemons with a record in the store, this one included.
    pub daemons: Vec<DaemonRecord>,
    /// Whether the daemons have been listed at least once.
    pub daemons_known: bool,
}

impl FleetView {
    /// Returns whether requests can be routed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.routes.is_some() && self.targets_known
    }

    /// Returns the targets of a service that may get work.
    #[must_use]
    pub fn service_targets(&self, service: &ServiceName) -> &[Arc<TargetRecord>] {
        self.targets.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns whether a target may still get work.
    #[must_use]
    pub fn has_target(&self, target: &TargetIncarnation) -> bool {
        self.find(target).is_some()
    }

    /// Returns the newest record of a target that may still get work.
    #[must_use]
    pub fn find(&self, target: &TargetIncarnation) -> Option<&Arc<TargetRecord>> {
        let mut all = self.targets.values().flatten();
        all.find(|record| record.id == *target)
    }
}

/// Removes records that are not targets of the configuration, whoever wrote them: those of
/// services that it does not name, and entries without a stage in a service whose engines
/// all state theirs. Stage orders would be sent there, and requests that would then fail.
pub fn remove_unconfigured(targets: &mut TargetsByService, routes: &RouteTable) {
    targets.retain(|service, records| {
        let Some(rule) = routes.service(service) else {
            return false;
        };
        let staged = records.iter().any(|record| record.stage.is_some());
        if rule.engine.is_some() && staged {
            records.retain(|record| record.stage.is_some());
        }
        true
    });
}

/// Cell that the control thread publishes the view in and the traffic thread reads it from.
pub type FleetCell = Arc<ArcSwap<FleetView>>;
