//! What traffic reads of the fleet: routes, targets, other daemons.

use std::sync::Arc;

use arc_swap::ArcSwap;
use indexmap::IndexMap;

use crate::gateway::members::DaemonRecord;
use crate::gateway::model::TargetRecord;
use crate::gateway::registry::{MissingEntry, RecentUpdate};
use crate::gateway::routes::RouteTable;
use crate::names::ServiceName;
use crate::target_incarnation::TargetIncarnation;

/// Targets by the service that they offer.
pub type TargetsByService = IndexMap<ServiceName, Vec<Arc<TargetRecord>>>;

/// A consistent picture of the fleet, replaced whole.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Newest configuration known; `None` until the first one arrived.
    pub routes: Option<Arc<RouteTable>>,
    /// Targets that may get work, by service.
    pub targets: TargetsByService,
    /// Whether the targets were listed once.
    pub targets_known: bool,
    /// Revision and value of that configuration, for daemons that are behind.
    pub config_source: Option<(u64, Arc<[u8]>)>,
    /// Targets that announced their departure lately.
    pub departed: Vec<TargetIncarnation>,
    /// Entries of targets that began or certainly ended lately.
    pub entry_notes: Vec<RecentUpdate>,
    /// Targets without an entry that still get work.
    pub missing: IndexMap<TargetIncarnation, MissingEntry>,
    /// Daemons with a record in the store, this one included.
    pub daemons: Vec<DaemonRecord>,
}

impl FleetView {
    /// Whether requests can be routed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.routes.is_some() && self.targets_known
    }

    /// Targets of a service that may get work.
    #[must_use]
    pub fn service_targets(&self, service: &ServiceName) -> &[Arc<TargetRecord>] {
        self.targets.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether a target may still get work.
    #[must_use]
    pub fn holds(&self, target: &TargetIncarnation) -> bool {
        self.find(target).is_some()
    }

    /// Returns the newest record of a target that may still get work.
    #[must_use]
    pub fn find(&self, target: &TargetIncarnation) -> Option<&Arc<TargetRecord>> {
        let mut all = self.targets.values().flatten();
        all.find(|record| record.id == *target)
    }
}

/// Leaves out records that name no target of a configuration, whoever wrote them: those
/// of services that it does not name, and entries without a stage among the engines of a
/// service, which all tell theirs. Orders to change stages would go there, and work that
/// comes back as a failure.
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

/// Where the control thread publishes and traffic reads.
pub type FleetCell = Arc<ArcSwap<FleetView>>;
