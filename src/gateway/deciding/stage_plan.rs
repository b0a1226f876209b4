//! How many engines read prompts and how many generate: a pure plan.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::gateway::model::{EngineStage, TargetRecord};
use crate::names::CentreName;
use crate::target_incarnation::TargetIncarnation;

/// Engines that always stay able to generate: prompts can also be read there, but
/// nothing can be generated on a prefill engine.
const FEWEST_WRITERS: usize = 2;
/// Work offered to the engines of a service, in a second.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkRate {
    /// Prompt tokens that had to be read.
    pub read_tokens: f64,
    /// Tokens generated.
    pub written_tokens: f64,
}

/// An order that the plan wants.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageChangePlan {
    /// Engine to change.
    pub engine: Arc<TargetRecord>,
    /// Stage that it is to have.
    pub stage: EngineStage,
}

/// Returns how many of `engines` should read prompts, for a share of them.
#[must_use]
pub fn prefill_engine_count(engines: usize, share: f64) -> usize {
    let most = engines.saturating_sub(FEWEST_WRITERS);
    let wanted = (share * engines as f64).round() as usize;
    let fewest = usize::from(most > 0);
    wanted.clamp(fewest, most)
}

/// Returns changes that bring the readers among `engines` to `wanted`, at most
/// `at_once` of them: the least busy engines first, spread over data centres.
#[must_use]
pub fn wishes(
    engines: &[Arc<TargetRecord>],
    running: impl Fn(&TargetIncarnation) -> u32,
    wanted: usize,
    at_once: usize,
) -> Vec<StageChangePlan> {
    let readers = engines.iter().filter(|e| is_reader(e)).count();
    let (stage, count) = if readers < wanted {
        (EngineStage::Prefill, wanted - readers)
    } else {
        (EngineStage::Decode, readers - wanted)
    };
    let mut left: Vec<&Arc<TargetRecord>> =
        engines.iter().filter(|e| e.stage != Some(stage)).collect();
    let mut in_centre: IndexMap<CentreName, usize> = IndexMap::new();
    for engine in engines.iter().filter(|e| e.stage == Some(stage)) {
        *in_centre.entry(engine.centre.clone()).or_default() += 1;
    }
    let mut wishes = Vec::new();
    while wishes.len() < count.min(at_once) && !left.is_empty() {
        let key = |e: &&Arc<TargetRecord>| {
            let there = in_centre.get(&e.centre).copied().unwrap_or(0);
            (there, running(&e.id), e.id.clone())
        };
        let Some(at) = (0..left.len()).min_by_key(|at| key(&left[*at])) else {
            break;
        };
        let engine = left.swap_remove(at);
        *in_centre.entry(engine.centre.clone()).or_default() += 1;
        wishes.push(StageChangePlan {
            engine: engine.clone(),
            stage,
        });
    }
    wishes
}

fn is_reader(engine: &TargetRecord) -> bool {
    engine.stage == Some(EngineStage::Prefill)
}
