//! State that the control thread publishes for the traffic threads.

use std::sync::Arc;

use arc_swap::ArcSwap;
use indexmap::IndexMap;

use crate::config::catalogue::{ClassSpec, ItemName, ItemSpec, ModelSpec, WorkspaceSpec};
use crate::decide::shares::WeightCorrections;
use crate::membership::fleet::FleetView;
use crate::names::{
    ClassName, DaemonId, FenceNumber, GroupName, ModelName, MonoTime, TargetId, WorkspaceName,
};

/// A configured item with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemRecord {
    /// Increases with each change and is never reused, even after a deletion.
    pub revision: u64,
    /// Content of the item; `None` once deleted.
    pub spec: Option<ItemSpec>,
}

/// The configuration that one daemon has applied.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// All items, including deleted ones.
    pub items: IndexMap<ItemName, ItemRecord>,
    /// Workspaces by name.
    pub workspaces: IndexMap<WorkspaceName, Arc<WorkspaceSpec>>,
    /// Classes by workspace and name.
    pub classes: IndexMap<(WorkspaceName, ClassName), Arc<ClassSpec>>,
    /// Models by name.
    pub models: IndexMap<ModelName, Arc<ModelSpec>>,
    /// Reasons for holds by target.
    pub holds: IndexMap<TargetId, String>,
    /// Owning workspace by key hash in lower-case hexadecimal.
    pub key_owners: IndexMap<String, WorkspaceName>,
}

/// A lease as known to this daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseView {
    /// Group of engines that the lease covers.
    pub group: GroupName,
    /// Holder according to the last read.
    pub holder: DaemonId,
    /// Fencing number of that holder.
    pub fence: FenceNumber,
    /// Time at which this daemon's authority ends; `None` if it does not hold the lease.
    pub authority_deadline: Option<MonoTime>,
}

/// State published by the control thread.
#[derive(Clone, Debug, Default)]
pub struct ControlSnapshot {
    /// Targets and daemons of the fleet.
    pub fleet: Arc<FleetView>,
    /// Applied configuration.
    pub config: Arc<ConfigView>,
    /// Local corrections of the workspaces' weights for fair shares across the fleet.
    pub shares: Arc<WeightCorrections>,
    /// Leases by group.
    pub leases: Vec<LeaseView>,
    /// Whether a complete configuration and an instance list have been received, and this
    /// daemon is not stopping.
    pub ready: bool,
    /// Whether the last platform call was answered.
    pub platform_reachable: bool,
    /// Whether this daemon is leaving.
    pub stopping: bool,
    /// Number of live daemons, including this one; at least 1.
    pub live_daemons: usize,
}

/// Cell from which traffic threads read the latest snapshot.
pub type SnapshotCell = Arc<ArcSwap<ControlSnapshot>>;

/// Returns a cell that contains an empty snapshot.
#[must_use]
pub fn new_cell() -> SnapshotCell {
    Arc::new(ArcSwap::from_pointee(ControlSnapshot::default()))
}
