//! What operators configure: workspaces, workload classes, models and holds.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::names::{ClassName, ModelName, ServiceName, TargetId, WorkspaceName};

/// A customer with a share of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Name, unique in the deployment.
    pub name: WorkspaceName,
    /// Share of the fleet relative to other workspaces; at least 1.
    pub weight: u32,
    /// SHA-256 of each key in hexadecimal.
    pub key_hashes: Vec<String>,
}

/// What a class's requests are sent to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClassTarget {
    /// Engines that hold one of the models.
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
    /// Adapters allowed besides none.
    pub adapters: Vec<String>,
    /// Versions allowed; empty allows every version of the model.
    pub versions: Vec<String>,
}

/// A kind of work with its deadline and priority.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Workspace the class belongs to.
    pub workspace: WorkspaceName,
    /// Name, unique in the workspace.
    pub name: ClassName,
    /// Time for a whole answer in milliseconds.
    pub deadline_ms: u32,
    /// Urgency; 0 is the most urgent.
    pub priority: u32,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Where requests go.
    pub target: ClassTarget,
}

impl ClassSpec {
    /// Returns the time for a whole answer.
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
    /// Fewest engines that hold the model.
    pub least_engines: u32,
}

/// Keeps a target out of use until an operator restores it.
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
    /// Returns the item's identity.
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
