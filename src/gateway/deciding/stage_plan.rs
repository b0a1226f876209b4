//! Plans how many engines of a service prefill and how many decode, free of side effects.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::gateway::model::{EngineStage, TargetRecord};
use crate::names::{CentreName, ServiceName};
use crate::target_incarnation::TargetIncarnation;

/// Minimum number of decode engines to keep: they can also prefill, while a prefill engine
/// cannot generate.
const MIN_DECODE_ENGINES: usize = 2;

/// Work placed on the engines of a service, per second.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkRate {
    /// Prompt tokens to prefill.
    #[serde(rename = "read_tokens")]
    pub prefill_tokens: f64,
    /// Tokens to generate.
    #[serde(rename = "written_tokens")]
    pub decode_tokens: f64,
    /// Engine time that the work takes, by service; empty unless a setting needs it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceTime>,
}

/// Engine time that the work of a service takes: the mean number of engines kept busy.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct ServiceTime {
    /// The service.
    pub service: ServiceName,
    /// Engines kept busy by prefill.
    pub prefill: f64,
    /// Engines kept busy by decode.
    pub decode: f64,
}

impl WorkRate {
    /// Adds the rate of other daemons.
    pub fn add(&mut self, other: &Self) {
        self.prefill_tokens += other.prefill_tokens;
        self.decode_tokens += other.decode_tokens;
        self.add_services(&other.services);
    }

    /// Adds the engine time of other daemons' work.
    pub fn add_services(&mut self, services: &[ServiceTime]) {
        for other in services {
            let time = self.service_mut(&other.service);
            time.prefill += other.prefill;
            time.decode += other.decode;
        }
    }

    /// Returns the engine time that the work of a service takes.
    #[must_use]
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceTime> {
        self.services.iter().find(|time| time.service == *service)
    }

    /// Returns the entry of a service, which is added where there is none.
    pub fn service_mut(&mut self, service: &ServiceName) -> &mut ServiceTime {
        let known = self.services.iter().position(|t| t.service == *service);
        let index = known.unwrap_or_else(|| {
            self.services.push(ServiceTime {
                service: service.clone(),
                prefill: 0.0,
                decode: 0.0,
            });
            self.services.len() - 1
        });
        &mut self.services[index]
    }
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
