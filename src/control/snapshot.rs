//! What the control thread publishes for the traffic threads.

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
    /// Rises with each change; never reused, also not after deletion.
    pub revision: u64,
    /// The item; `None` once deleted.
    pub spec: Option<ItemSpec>,
}

/// The configuration in force in one daemon.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// Every item, deleted ones included.
    pub items: IndexMap<ItemName, ItemRecord>,
    /// Workspaces by name.
    pub workspaces: IndexMap<WorkspaceName, Arc<WorkspaceSpec>>,
    /// Classes by workspace and name.
    pub classes: IndexMap<(WorkspaceName, ClassName), Arc<ClassSpec>>,
    /// Models by name.
    pub models: IndexMap<ModelName, Arc<ModelSpec>>,
    /// Reasons of holds by target.
    pub holds: IndexMap<TargetId, String>,
    /// Workspaces by the hash of a key, in lower-case hexadecimal.
    pub key_owners: IndexMap<String, WorkspaceName>,
}

/// A lease as this daemon knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseView {
    /// Group of engines it covers.
    pub group: GroupName,
    /// Holder last read.
    pub holder: DaemonId,
    /// Fence of that holder.
    pub fence: FenceNumber,
    /// End of this daemon's own authority; `None` when held elsewhere.
    pub own_until: Option<MonoTime>,
}

/// State published by the control thread.
#[derive(Clone, Debug, Default)]
pub struct ControlSnapshot {
    /// Fleet and daemons.
    pub fleet: Arc<FleetView>,
    /// Configuration in force.
    pub config: Arc<ConfigView>,
    /// Corrections of the workspaces' weights here, for fair shares across the fleet.
    pub shares: Arc<WeightCorrections>,
    /// Leases by group.
    pub leases: Vec<LeaseView>,
    /// Whether a whole configuration and instance list have been seen.
    pub ready: bool,
    /// Whether the last platform call was answered.
    pub platform_reachable: bool,
    /// Whether this daemon is leaving.
    pub stopping: bool,
    /// Live daemons, this one included; at least 1.
    pub live_daemons: usize,
}

/// Cell through which traffic threads read the newest snapshot.
pub type SnapshotCell = Arc<ArcSwap<ControlSnapshot>>;

/// Returns an empty cell.
#[must_use]
pub fn new_cell() -> SnapshotCell {
    Arc::new(ArcSwap::from_pointee(ControlSnapshot::default()))
}
