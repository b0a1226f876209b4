//! Turns the fleet's view into what the plan of roles looks at.

use indexmap::IndexMap;

use crate::authority::order_record::PlannedChange;
use crate::authority::orders::OrderManager;
use crate::control::snapshot::ConfigView;
use crate::membership::fleet::{FleetView, TargetView, UseState};
use crate::names::{GroupName, TargetId};
use crate::roles::plan::{ModelNeed, PlanEngine};
use crate::store::wire::InstanceKind;

pub(crate) fn want_planned(
    book: &mut OrderManager,
    group: &GroupName,
    groups: &IndexMap<TargetId, GroupName>,
    plan: &IndexMap<TargetId, PlannedChange>,
    fleet: &FleetView,
) {
    let mut own = IndexMap::new();
    for (target, change) in plan {
        let engine = fleet.targets.get(target).and_then(plan_engine);
        let open = engine.is_some_and(|e| !has(&e, change));
        if open && groups.get(target) == Some(group) {
            own.insert(target.clone(), change.clone());
        }
    }
    book.retain_changes(&own);
    for (target, change) in own {
        book.request_change(target, change);
    }
}

pub(crate) fn plan_engines(fleet: &FleetView) -> Vec<PlanEngine> {
    fleet.targets.values().filter_map(plan_engine).collect()
}

pub(crate) fn plan_engine(target: &TargetView) -> Option<PlanEngine> {
    let report = target.report.as_ref()?;
    let listed = target.kind == InstanceKind::Engine && target.state < UseState::Leaving;
    listed.then(|| PlanEngine {
        id: target.id.clone(),
        role: report.role,
        models: report.models.clone(),
        usable: target.state == UseState::Live && !report.changing,
        in_flight: report.in_flight,
    })
}

pub(crate) fn has(engine: &PlanEngine, change: &PlannedChange) -> bool {
    engine.role == change.role && engine.models == change.models
}

pub(crate) fn model_needs(config: &ConfigView) -> Vec<ModelNeed> {
    let models = config.models.values();
    models
        .map(|spec| ModelNeed {
            model: spec.name.clone(),
            least_engines: spec.least_engines as usize,
        })
        .collect()
}
