//! Converts the view of the fleet into the inputs of the role planner.

use indexmap::IndexMap;

use crate::authority::order_record::PlannedChange;
use crate::authority::orders::OrderManager;
use crate::control::snapshot::ConfigView;
use crate::membership::fleet::{FleetView, TargetView, UseState};
use crate::names::{GroupName, TargetId};
use crate::roles::plan::{ModelNeed, PlanEngine};
use crate::store::wire::InstanceKind;

/// Requests the planned changes that the engines of one group still lack, and withdraws
/// the group's other requests.
pub(crate) fn request_planned_changes(
    manager: &mut OrderManager,
    group: &GroupName,
    groups: &IndexMap<TargetId, GroupName>,
    plan: &IndexMap<TargetId, PlannedChange>,
    fleet: &FleetView,
) {
    let mut group_changes = IndexMap::new();
    for (target, change) in plan {
        let engine = fleet.targets.get(target).and_then(plan_engine);
        let is_pending = engine.is_some_and(|e| !has_planned_state(&e, change));
        if is_pending && groups.get(target) == Some(group) {
            group_changes.insert(target.clone(), change.clone());
        }
    }
    manager.retain_changes(&group_changes);
    for (target, change) in group_changes {
        manager.request_change(target, change);
    }
}

/// Returns the engines of the fleet that the planner may consider.
pub(crate) fn plan_engines(fleet: &FleetView) -> Vec<PlanEngine> {
    fleet.targets.values().filter_map(plan_engine).collect()
}

/// Returns an engine as the planner sees it; `None` if it is no engine, has not reported
/// or is leaving.
pub(crate) fn plan_engine(target: &TargetView) -> Option<PlanEngine> {
    let report = target.report.as_ref()?;
    let is_plannable = target.kind == InstanceKind::Engine && target.state < UseState::Leaving;
    is_plannable.then(|| PlanEngine {
        id: target.id.clone(),
        role: report.role,
        models: report.models.clone(),
        usable: target.state == UseState::Live && !report.changing,
        in_flight: report.in_flight,
    })
}

/// Returns whether an engine already has the planned role and models.
pub(crate) fn has_planned_state(engine: &PlanEngine, change: &PlannedChange) -> bool {
    engine.role == change.role && engine.models == change.models
}

/// Returns the configured minimum number of engines of each model.
pub(crate) fn model_needs(config: &ConfigView) -> Vec<ModelNeed> {
    let models = config.models.values();
    models
        .map(|spec| ModelNeed {
            model: spec.name.clone(),
            min_engines: spec.least_engines as usize,
        })
        .collect()
}
