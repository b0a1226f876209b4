//! Plans how many engines of a service prefill and how many decode, free of side effects.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::gateway::model::{EngineStage, TargetRecord};
use crate::names::CentreName;
use crate::target_incarnation::TargetIncarnation;

/// Minimum number of decode engines to keep: they can also prefill, while a prefill engine
/// cannot generate.
const MIN_DECODE_ENGINES: usize = 2;

/// Work placed on the engines of a service, per second.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkRate {
    /// Prompt tokens to prefill.
    #[serde(rename = "read_tokens")]
    pub prefill_tokens: f64,
    /// Tokens to generate.
    #[serde(rename = "written_tokens")]
    pub decode_tokens: f64,
}

/// A planned change of an engine's stage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageChangePlan {
    /// Engine to change.
    pub engine: Arc<TargetRecord>,
    /// Stage that it is to change to.
    pub stage: EngineStage,
}

/// Returns how many of `engines` should be prefill engines, for a given share of them: at
/// least one, if enough decode engines remain.
#[must_use]
pub fn prefill_engine_count(engines: usize, share: f64) -> usize {
    let max = engines.saturating_sub(MIN_DECODE_ENGINES);
    let desired = (share * engines as f64).round() as usize;
    let min = usize::from(max > 0);
    desired.clamp(min, max)
}

/// Returns up to `at_once` changes that bring the number of prefill engines among
/// `engines` to `desired`: first in the data centre with the fewest engines of the new
/// stage, and there the least busy engine.
#[must_use]
pub fn plan_changes(
    engines: &[Arc<TargetRecord>],
    running: impl Fn(&TargetIncarnation) -> u32,
    desired: usize,
    at_once: usize,
) -> Vec<StageChangePlan> {
    let prefill_engines = engines.iter().filter(|e| is_prefill_engine(e)).count();
    let (stage, count) = if prefill_engines < desired {
        (EngineStage::Prefill, desired - prefill_engines)
    } else {
        (EngineStage::Decode, prefill_engines - desired)
    };
    let mut candidates: Vec<&Arc<TargetRecord>> =
        engines.iter().filter(|e| e.stage != Some(stage)).collect();
    let mut in_centre: IndexMap<CentreName, usize> = IndexMap::new();
    for engine in engines.iter().filter(|e| e.stage == Some(stage)) {
        *in_centre.entry(engine.centre.clone()).or_default() += 1;
    }
    let mut planned_changes = Vec::new();
    while planned_changes.len() < count.min(at_once) && !candidates.is_empty() {
        let key = |e: &&Arc<TargetRecord>| {
            let with_stage = in_centre.get(&e.centre).copied().unwrap_or(0);
            (with_stage, running(&e.id), e.id.clone())
        };
        let Some(at) = (0..candidates.len()).min_by_key(|at| key(&candidates[*at])) else {
            break;
        };
        let engine = candidates.swap_remove(at);
        *in_centre.entry(engine.centre.clone()).or_default() += 1;
        planned_changes.push(StageChangePlan {
            engine: engine.clone(),
            stage,
        });
    }
    planned_changes
}

fn is_prefill_engine(engine: &TargetRecord) -> bool {
    engine.stage == Some(EngineStage::Prefill)
}
