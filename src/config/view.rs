//! Updates the lookup tables of a [`ConfigView`] together with its items.

use std::sync::Arc;

use crate::config::catalogue::{ItemName, ItemSpec, WorkspaceSpec};
use crate::control::snapshot::{ConfigView, ItemRecord};
use crate::names::WorkspaceName;

/// Sets an item of the view; `None` removes it.
pub fn set_item(view: &mut ConfigView, name: &ItemName, record: Option<ItemRecord>) {
    let old = view.items.get(name).and_then(|r| r.spec.clone());
    if let Some(spec) = old {
        remove_spec(view, &spec);
    }
    let Some(record) = record else {
        view.items.swap_remove(name);
        return;
    };
    if let Some(spec) = &record.spec {
        insert_spec(view, spec);
    }
    view.items.insert(name.clone(), record);
}

fn insert_spec(view: &mut ConfigView, spec: &ItemSpec) {
    match spec {
        ItemSpec::Class(class) => {
            let key = (class.workspace.clone(), class.name.clone());
            view.classes.insert(key, Arc::new(class.clone()));
        }
        ItemSpec::Hold(hold) => {
            view.holds.insert(hold.target.clone(), hold.reason.clone());
        }
        ItemSpec::Model(model) => {
            view.models
                .insert(model.name.clone(), Arc::new(model.clone()));
        }
        ItemSpec::Workspace(workspace) => {
            view.workspaces
                .insert(workspace.name.clone(), Arc::new(workspace.clone()));
            for hash in &workspace.key_hashes {
                assign_key(view, &hash.to_lowercase(), &workspace.name);
            }
        }
    }
}

fn remove_spec(view: &mut ConfigView, spec: &ItemSpec) {
    match spec {
        ItemSpec::Class(class) => {
            let key = (class.workspace.clone(), class.name.clone());
            view.classes.swap_remove(&key);
        }
        ItemSpec::Hold(hold) => {
            view.holds.swap_remove(&hold.target);
        }
        ItemSpec::Model(model) => {
            view.models.swap_remove(&model.name);
        }
        ItemSpec::Workspace(workspace) => {
            view.workspaces.swap_remove(&workspace.name);
            release_keys(view, workspace);
        }
    }
}

// Two operators may add the same key to two workspaces at the same time, because the
// workspaces are in different buckets. All daemons must then choose the same owner, or a
// caller's workspace would depend on the daemon it reaches: the name that sorts first wins.
fn assign_key(view: &mut ConfigView, hash: &str, workspace: &WorkspaceName) {
    let owner = view.key_owners.get(hash);
    if owner.is_none_or(|name| workspace <= name) {
        view.key_owners.insert(hash.to_owned(), workspace.clone());
    }
}

fn release_keys(view: &mut ConfigView, workspace: &WorkspaceSpec) {
    for hash in &workspace.key_hashes {
        let hash = hash.to_lowercase();
        if view.key_owners.get(&hash) != Some(&workspace.name) {
            continue;
        }
        view.key_owners.swap_remove(&hash);
        let next_owner = other_owner(view, &hash);
        if let Some(name) = next_owner {
            view.key_owners.insert(hash, name);
        }
    }
}

fn other_owner(view: &ConfigView, hash: &str) -> Option<WorkspaceName> {
    let owners = view.workspaces.values().filter(|workspace| {
        let mut hashes = workspace.key_hashes.iter();
        hashes.any(|h| h.eq_ignore_ascii_case(hash))
    });
    owners.map(|workspace| workspace.name.clone()).min()
}
