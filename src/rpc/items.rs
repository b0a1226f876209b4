//! Conversions between configuration items and their messages.

use crate::config::catalogue::{
    ClassSpec, ClassTarget, HoldSpec, ItemKind, ItemName, ItemSpec, ModelChoice, ModelSpec,
    WorkspaceSpec,
};
use crate::control::snapshot::ItemRecord;
use crate::names::{ModelName, ServiceName};
use crate::pb;
use crate::pb::config_item::Item;

/// Why a message is not a valid item.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ItemError {
    /// The message contains no item.
    #[error("item is empty; send a workspace, class, model or hold")]
    Empty,
    /// The kind is unknown.
    #[error("kind is {found}; send workspace, class, model or hold")]
    Kind {
        /// Number found.
        found: i32,
    },
    /// A class names both models and a service, or neither.
    #[error("class {class:?} names {found}; name either models or one service")]
    ClassTarget {
        /// The class.
        class: String,
        /// What it names.
        found: &'static str,
    },
}

impl TryFrom<pb::ConfigItem> for ItemSpec {
    type Error = ItemError;

    fn try_from(message: pb::ConfigItem) -> Result<Self, Self::Error> {
        Ok(match message.item.ok_or(ItemError::Empty)? {
            Item::Workspace(workspace) => Self::Workspace(workspace.into()),
            Item::Class(class) => Self::Class(class.try_into()?),
            Item::Model(model) => Self::Model(model.into()),
            Item::Hold(hold) => Self::Hold(hold.into()),
        })
    }
}

impl From<&ItemSpec> for pb::ConfigItem {
    fn from(spec: &ItemSpec) -> Self {
        let item = match spec {
            ItemSpec::Workspace(workspace) => Item::Workspace(workspace.into()),
            ItemSpec::Class(class) => Item::Class(class.into()),
            ItemSpec::Model(model) => Item::Model(model.into()),
            ItemSpec::Hold(hold) => Item::Hold(hold.into()),
        };
        Self { item: Some(item) }
    }
}

impl From<pb::Workspace> for WorkspaceSpec {
    fn from(message: pb::Workspace) -> Self {
        Self {
            name: message.name.into(),
            weight: message.weight,
            key_hashes: message.key_hashes,
        }
    }
}

impl From<&WorkspaceSpec> for pb::Workspace {
    fn from(spec: &WorkspaceSpec) -> Self {
        Self {
            name: spec.name.to_string(),
            weight: spec.weight,
            key_hashes: spec.key_hashes.clone(),
        }
    }
}

impl TryFrom<pb::WorkloadClass> for ClassSpec {
    type Error = ItemError;

    fn try_from(message: pb::WorkloadClass) -> Result<Self, Self::Error> {
        let target = match (message.models.is_empty(), message.service.is_empty()) {
            (true, false) => ClassTarget::Service(ServiceName::from(message.service)),
            (false, true) => ClassTarget::Models(ModelChoice {
                models: message.models.into_iter().map(ModelName::from).collect(),
                adapters: message.adapters,
                versions: message.versions,
            }),
            (models_empty, _) => {
                let found = if models_empty { "neither" } else { "both" };
                return Err(ItemError::ClassTarget {
                    class: message.name,
                    found,
                });
            }
        };
        Ok(Self {
            workspace: message.workspace.into(),
            name: message.name.into(),
            deadline_ms: message.deadline_ms,
            priority: message.priority,
            repeatable: message.repeatable,
            target,
        })
    }
}

impl From<&ClassSpec> for pb::WorkloadClass {
    fn from(spec: &ClassSpec) -> Self {
        let mut message = Self {
            workspace: spec.workspace.to_string(),
            name: spec.name.to_string(),
            deadline_ms: spec.deadline_ms,
            priority: spec.priority,
            repeatable: spec.repeatable,
            ..Self::default()
        };
        match &spec.target {
            ClassTarget::Service(service) => message.service = service.to_string(),
            ClassTarget::Models(choice) => {
                message.models = choice.models.iter().map(ModelName::to_string).collect();
                message.adapters.clone_from(&choice.adapters);
                message.versions.clone_from(&choice.versions);
            }
        }
        message
    }
}

impl From<pb::Model> for ModelSpec {
    fn from(message: pb::Model) -> Self {
        Self {
            name: message.name.into(),
            versions: message.versions,
            adapters: message.adapters,
            weight_bytes: message.weight_bytes,
            least_engines: message.least_engines,
        }
    }
}

impl From<&ModelSpec> for pb::Model {
    fn from(spec: &ModelSpec) -> Self {
        Self {
            name: spec.name.to_string(),
            versions: spec.versions.clone(),
            adapters: spec.adapters.clone(),
            weight_bytes: spec.weight_bytes,
            least_engines: spec.least_engines,
        }
    }
}

impl From<pb::TargetHold> for HoldSpec {
    fn from(message: pb::TargetHold) -> Self {
        Self {
            target: message.target.into(),
            reason: message.reason,
        }
    }
}

impl From<&HoldSpec> for pb::TargetHold {
    fn from(spec: &HoldSpec) -> Self {
        Self {
            target: spec.target.to_string(),
            reason: spec.reason.clone(),
        }
    }
}

/// Returns the item kind for its number in a message.
///
/// # Errors
///
/// Returns an error for a number that names no kind.
pub fn item_kind(number: i32) -> Result<ItemKind, ItemError> {
    match pb::ItemKind::try_from(number) {
        Ok(pb::ItemKind::Workspace) => Ok(ItemKind::Workspace),
        Ok(pb::ItemKind::Class) => Ok(ItemKind::Class),
        Ok(pb::ItemKind::Model) => Ok(ItemKind::Model),
        Ok(pb::ItemKind::Hold) => Ok(ItemKind::Hold),
        Ok(pb::ItemKind::Unspecified) | Err(_) => Err(ItemError::Kind { found: number }),
    }
}

impl From<ItemKind> for pb::ItemKind {
    fn from(kind: ItemKind) -> Self {
        match kind {
            ItemKind::Class => Self::Class,
            ItemKind::Hold => Self::Hold,
            ItemKind::Model => Self::Model,
            ItemKind::Workspace => Self::Workspace,
        }
    }
}

/// Builds the message for the current state of an item.
#[must_use]
pub fn item_reply(name: &ItemName, record: &ItemRecord) -> pb::ItemReply {
    pb::ItemReply {
        item: record.spec.as_ref().map(Into::into),
        revision: record.revision,
        deleted: record.spec.is_none(),
        kind: pb::ItemKind::from(name.kind).into(),
        name: name.name.clone(),
    }
}
