//! Items that operators configure: workspaces, workload classes, models and holds.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::names::{ClassName, ModelName, ServiceName, TargetId, WorkspaceName};

/// A customer with a share of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Name, unique in the deployment.
    pub name: WorkspaceName,
    /// Share of the fleet relative to those of other workspaces; at least 1.
    pub weight: u32,
    /// SHA-256 of each key in hexadecimal.
    pub key_hashes: Vec<String>,
}

/// Kind of target to which a class's requests are sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClassTarget {
    /// Engines that have one of the models loaded.
    Models(ModelChoice),
    /// A plain service.
    Service(ServiceName),
}

/// Models, adapters and versions that a class may use.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelChoice {
    /// Models in order of preference; never empty.
    pub models: Vec<ModelName>,
    /// Allowed adapters; requests without an adapter are always allowed.
    pub adapters: Vec<String>,
    /// Allowed versions; an empty list allows every version of the model.
    pub versions: Vec<String>,
}

/// A workload class with its deadline and priority.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Workspace the class belongs to.
    pub workspace: WorkspaceName,
    /// Name, unique in the workspace.
    pub name: ClassName,
    /// Time limit for a complete answer in milliseconds.
    pub deadline_ms: u32,
    /// Urgency; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests may run more than once.
    pub repeatable: bool,
    /// Kind of target that receives the requests.
    pub target: ClassTarget,
}

impl ClassSpec {
    /// Returns the time limit for a complete answer.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(u64::from(self.deadline_ms))
    }
}

/// A model that engines can load.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Name, unique in the deployment.
    pub name: ModelName,
    /// Versions that may be loaded, newest last.
    pub versions: Vec<String>,
    /// Adapters that may be loaded.
    pub adapters: Vec<String>,
    /// Size of the weights in bytes.
    pub weight_bytes: u64,
    /// Minimum number of engines that have the model loaded.
    pub least_engines: u32,
}

/// Takes a target out of use until an operator restores it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HoldSpec {
    /// Target that receives no new work.
    pub target: TargetId,
    /// Reason given by the operator.
    pub reason: String,
}

/// One configured item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemSpec {
    /// A workload class.
    Class(ClassSpec),
    /// A hold on a target.
    Hold(HoldSpec),
    /// A model.
    Model(ModelSpec),
    /// A workspace.
    Workspace(WorkspaceSpec),
}

/// Kind of a configured item.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemKind {
    /// A workload class.
    Class,
    /// A hold on a target.
    Hold,
    /// A model.
    Model,
    /// A workspace.
    Workspace,
}

/// Identifies a configured item: `WORKSPACE/CLASS`, `TARGET`, `MODEL` or `WORKSPACE`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ItemName {
    /// Kind of the item.
    pub kind: ItemKind,
    /// Name within the kind.
    pub name: String,
}

impl ItemSpec {
    /// Returns the kind and name of the item.
    #[must_use]
    pub fn item_name(&self) -> ItemName {
        let (kind, name) = match self {
            Self::Class(class) => (
                ItemKind::Class,
                format!("{}/{}", class.workspace, class.name),
            ),
            Self::Hold(hold) => (ItemKind::Hold, hold.target.to_string()),
            Self::Model(model) => (ItemKind::Model, model.name.to_string()),
            Self::Workspace(workspace) => (ItemKind::Workspace, workspace.name.to_string()),
        };
        ItemName { kind, name }
    }
}
