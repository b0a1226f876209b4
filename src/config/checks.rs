//! Validation of changed items, by themselves and against the other items.
//!
//! A workspace and its classes are checked against their common bucket, on which the write
//! is conditional, so this check is never outdated.
//! Models are checked against this daemon's view, which may be seconds old: a class can
//! outlive its model, and admission then refuses its requests.

use std::fmt::Display;
use std::ops::RangeInclusive;

use crate::config::buckets::BucketRecord;
use crate::config::catalogue::{
    ClassSpec, ClassTarget, ItemKind, ItemName, ItemSpec, ModelChoice, ModelSpec, WorkspaceSpec,
};
use crate::control::snapshot::ConfigView;
use crate::control::{ChangeError, ItemChange};

const MAX_NAME_LENGTH: usize = 128;
const MAX_REASON_BYTES: usize = 1_024;
const HASH_DIGITS: usize = 64;
const MAX_ENTRIES: usize = 256;
const WEIGHTS: RangeInclusive<u32> = 1..=1_000_000;
const DEADLINES: RangeInclusive<u32> = 1..=86_400_000;
const PRIORITIES: RangeInclusive<u32> = 0..=1_000;
const ENGINE_COUNTS: RangeInclusive<u32> = 0..=100_000;

/// Checks a change against its bucket and the items of other buckets.
///
/// # Errors
///
/// Fails with the field, its value, the allowed range and the remedy.
pub fn check_change(
    bucket: &BucketRecord,
    view: &ConfigView,
    change: &ItemChange,
) -> Result<(), ChangeError> {
    let Some(spec) = &change.spec else {
        return check_deletion(bucket, view, &change.item);
    };
    if spec.item_name() != change.item {
        return Err(invalid(format!(
            "the item name is {:?}, but its content names {:?}; correct either, as they must be equal",
            change.item.name,
            spec.item_name().name
        )));
    }
    match spec {
        ItemSpec::Class(class) => check_class(bucket, view, class),
        ItemSpec::Hold(hold) => {
            check_name("target", hold.target.as_str())?;
            check_length("reason", &hold.reason, MAX_REASON_BYTES)
        }
        ItemSpec::Model(model) => check_model(model),
        ItemSpec::Workspace(workspace) => check_workspace(view, workspace),
    }
}

fn check_deletion(
    bucket: &BucketRecord,
    view: &ConfigView,
    item: &ItemName,
) -> Result<(), ChangeError> {
    match item.kind {
        ItemKind::Workspace => {
            let user = bucket.items.iter().find_map(|(_, i)| match &i.spec {
                Some(ItemSpec::Class(class)) if class.workspace.as_str() == item.name => {
                    Some(class.name.as_str())
                }
                _ => None,
            });
            check_unused("workspace", &item.name, user)
        }
        ItemKind::Model => {
            let user = view.classes.values().find(|class| uses(class, &item.name));
            let user = user.map(|class| format!("{}/{}", class.workspace, class.name));
            check_unused("model", &item.name, user.as_deref())
        }
        ItemKind::Class | ItemKind::Hold => Ok(()),
    }
}

fn check_unused(kind: &str, name: &str, user: Option<&str>) -> Result<(), ChangeError> {
    user.map_or(Ok(()), |class| {
        Err(invalid(format!(
            "{kind} {name:?} is used by class {class:?}; change or delete the class first"
        )))
    })
}

fn uses(class: &ClassSpec, model: &str) -> bool {
    match &class.target {
        ClassTarget::Models(choice) => choice.models.iter().any(|m| m.as_str() == model),
        ClassTarget::Service(_) => false,
    }
}

fn check_workspace(view: &ConfigView, workspace: &WorkspaceSpec) -> Result<(), ChangeError> {
    check_name("name", workspace.name.as_str())?;
    check_range("weight", workspace.weight, &WEIGHTS)?;
    check_count("key_hashes", workspace.key_hashes.len())?;
    for hash in &workspace.key_hashes {
        check_hash(hash)?;
        let owner = view.key_owners.get(&hash.to_lowercase());
        if let Some(other) = owner.filter(|name| **name != workspace.name) {
            return Err(invalid(format!(
                "key_hashes contains {hash:?}, which belongs to workspace {other:?}; a key can \
                 belong to only one workspace: create another key",
                other = other.as_str()
            )));
        }
    }
    Ok(())
}

fn check_hash(hash: &str) -> Result<(), ChangeError> {
    let digits = hash.bytes().all(|b| b.is_ascii_hexdigit());
    if hash.len() == HASH_DIGITS && digits {
        return Ok(());
    }
    Err(invalid(format!(
        "key_hashes contains {hash:?}; each hash must have {HASH_DIGITS} hexadecimal digits: \
         use the SHA-256 of the key"
    )))
}

fn check_class(
    bucket: &BucketRecord,
    view: &ConfigView,
    class: &ClassSpec,
) -> Result<(), ChangeError> {
    check_name("workspace", class.workspace.as_str())?;
    check_name("name", class.name.as_str())?;
    check_range("deadline_ms", class.deadline_ms, &DEADLINES)?;
    check_range("priority", class.priority, &PRIORITIES)?;
    let workspace = ItemName {
        kind: ItemKind::Workspace,
        name: class.workspace.to_string(),
    };
    let exists = bucket
        .items
        .get(&workspace)
        .is_some_and(|i| i.spec.is_some());
    if !exists {
        return Err(unknown("workspace", class.workspace.as_str()));
    }
    match &class.target {
        ClassTarget::Models(choice) => check_choice(view, choice),
        ClassTarget::Service(service) => check_name("service", service.as_str()),
    }
}

fn check_choice(view: &ConfigView, choice: &ModelChoice) -> Result<(), ChangeError> {
    if choice.models.is_empty() {
        return Err(invalid(
            "models is empty; give at least 1 model, or a service".to_owned(),
        ));
    }
    check_count("models", choice.models.len())?;
    let mut models = Vec::new();
    for name in &choice.models {
        let model = view.models.get(name);
        models.push(model.ok_or_else(|| unknown("model", name.as_str()))?);
    }
    for version in &choice.versions {
        let offered = models.iter().any(|m| m.versions.contains(version));
        check_offered("versions", version, offered)?;
    }
    for adapter in &choice.adapters {
        let offered = models.iter().any(|m| m.adapters.contains(adapter));
        check_offered("adapters", adapter, offered)?;
    }
    Ok(())
}

fn check_offered(field: &str, value: &str, offered: bool) -> Result<(), ChangeError> {
    if offered {
        return Ok(());
    }
    Err(invalid(format!(
        "{field} contains {value:?}, which none of the class's models has; add it to a model first"
    )))
}

fn check_model(model: &ModelSpec) -> Result<(), ChangeError> {
    check_name("name", model.name.as_str())?;
    check_range("least_engines", model.least_engines, &ENGINE_COUNTS)?;
    check_count("versions", model.versions.len())?;
    check_count("adapters", model.adapters.len())?;
    for version in &model.versions {
        check_name("versions", version)?;
    }
    for adapter in &model.adapters {
        check_name("adapters", adapter)?;
    }
    Ok(())
}

// `/`, `@` and `+` are separators in combined names (WORKSPACE/CLASS,
// MODEL@VERSION+ADAPTER).
fn check_name(field: &str, name: &str) -> Result<(), ChangeError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-:".contains(c);
    if !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.chars().all(is_allowed) {
        return Ok(());
    }
    let shown: String = name.chars().take(MAX_NAME_LENGTH).collect();
    Err(invalid(format!(
        "{field} is {shown:?}, but it must consist of 1 to {MAX_NAME_LENGTH} letters, digits, '.', \
         '_', '-' or ':'; choose another name"
    )))
}

fn check_length(field: &str, text: &str, max_bytes: usize) -> Result<(), ChangeError> {
    if text.len() <= max_bytes {
        return Ok(());
    }
    Err(invalid(format!(
        "{field} has {} bytes, but at most {max_bytes} are allowed; shorten it",
        text.len()
    )))
}

fn check_count(field: &str, count: usize) -> Result<(), ChangeError> {
    if count <= MAX_ENTRIES {
        return Ok(());
    }
    Err(invalid(format!(
        "{field} has {count} entries, but at most {MAX_ENTRIES} are allowed; remove some"
    )))
}

fn check_range<T: Copy + Display + PartialOrd>(
    field: &str,
    value: T,
    range: &RangeInclusive<T>,
) -> Result<(), ChangeError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(invalid(format!(
        "{field} is {value}, but it must be {} to {}; set it within the range",
        range.start(),
        range.end()
    )))
}

fn unknown(kind: &str, name: &str) -> ChangeError {
    invalid(format!("{kind} {name:?} does not exist; create it first"))
}

fn invalid(reason: String) -> ChangeError {
    ChangeError::Invalid { reason }
}
