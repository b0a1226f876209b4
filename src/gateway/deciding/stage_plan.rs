//! Plans how many engines of a service prefill and how many decode, free of side effects.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::gateway::model::{EngineStage, TargetRecord};
use crate::names::{CentreName, MonoTime, ServiceName};
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

/// Share of the time that prefill engines are busy at most before more of them are needed.
/// Requests arrive in bursts; above this share, they wait for longer than their prefill takes.
pub const PREFILL_UTILISATION: f64 = 0.55;
/// Share of the slots and caches of decode engines that is occupied at most before more of
/// them are needed. Lower, because each running request slows down the others.
pub const DECODE_UTILISATION: f64 = 0.3;
/// Smallest and largest share of prefill engines that is planned.
const SHARE_BOUNDS: (f64, f64) = (0.2, 0.7);
/// Change of the share in one step; at least one engine in a small fleet.
const SHARE_STEP: f64 = 0.05;
/// Time constant of the mean work that the share follows, in seconds. A swing that lasts for
/// less than the horizon of the forecast must not start a change.
const SHARE_TIME_CONSTANT_S: f64 = 12.0;
/// Time for which the gain of a change is forecast, in seconds.
const GAIN_HORIZON_S: f64 = 15.0;
/// Time for which an engine that changes its stage is idle, in seconds.
const CHANGE_IDLE_S: f64 = 3.0;
/// Ratio of the gain of a change to the idle time that it costs, above which it is made.
const MIN_GAIN_RATIO: f64 = 2.0;
/// Minimum time between two steps: the work that was measured before a step has left the mean
/// by then, and the engines have changed.
const STEP_INTERVAL: Duration = Duration::from_secs(12);

/// Share of the engines of a service that prefill, as it follows the measured work.
#[derive(Clone, Debug)]
pub struct StageShare {
    share: f64,
    prefill: f64,
    decode: f64,
    updated_at: Option<MonoTime>,
    stepped_at: Option<MonoTime>,
}

impl StageShare {
    /// Starts with a share: that of the settings, or the present one of a fleet that serves.
    #[must_use]
    pub fn new(share: f64) -> Self {
        let (min, max) = SHARE_BOUNDS;
        Self {
            share: share.clamp(min, max),
            prefill: 0.0,
            decode: 0.0,
            updated_at: None,
            stepped_at: None,
        }
    }

    /// Returns the share.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Updates the share with the present work at `engines` engines, and returns it.
    ///
    /// A step is made if it leaves fewer engines missing at their largest utilisation, so much
    /// that the forecast gain exceeds the idle time of the engines that change. While both
    /// stages have enough engines, or both lack some, the share stays.
    pub fn update(&mut self, time: &ServiceTime, engines: usize, now: MonoTime) -> f64 {
        self.average(time, now);
        let is_recent = |at: MonoTime| now.since(at) < STEP_INTERVAL;
        if self.stepped_at.is_some_and(is_recent) {
            return self.share;
        }
        let (min, max) = SHARE_BOUNDS;
        let step = SHARE_STEP.max(1.0 / engines.max(1) as f64);
        let steps = [self.share - step, self.share + step];
        let gains = steps.into_iter().map(|share| share.clamp(min, max));
        let gains = gains.map(|share| (self.gain(share, engines), share));
        if let Some((gain, share)) = gains.max_by(|a, b| a.0.total_cmp(&b.0))
            && gain > 0.0
        {
            self.share = share;
            self.stepped_at = Some(now);
        }
        self.share
    }

    // Engine time gained by a change to another share, less the idle time of the engines that
    // change times the ratio that it has to exceed.
    fn gain(&self, share: f64, engines: usize) -> f64 {
        let before = prefill_engine_count(engines, self.share);
        let after = prefill_engine_count(engines, share);
        let changes = before.abs_diff(after) as f64;
        let missing = self.missing(before, engines) - self.missing(after, engines);
        missing * GAIN_HORIZON_S - changes * CHANGE_IDLE_S * MIN_GAIN_RATIO
    }

    // Engines missing at the largest utilisation, of both stages.
    fn missing(&self, prefill_engines: usize, engines: usize) -> f64 {
        let decode_engines = engines.saturating_sub(prefill_engines);
        let prefill = self.prefill / PREFILL_UTILISATION - prefill_engines as f64;
        let decode = self.decode / DECODE_UTILISATION - decode_engines as f64;
        prefill.max(0.0) + decode.max(0.0)
    }

    fn average(&mut self, time: &ServiceTime, now: MonoTime) {
        let elapsed = self.updated_at.map(|at| now.since(at));
        self.updated_at = Some(now);
        let elapsed_s = elapsed.unwrap_or_default().as_secs_f64();
        let weight = 1.0 - (-elapsed_s / SHARE_TIME_CONSTANT_S).exp();
        self.prefill += weight * (time.prefill - self.prefill);
        self.decode += weight * (time.decode - self.decode);
    }
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

/// Returns the share of engines that prefill; `None` without engines.
#[must_use]
pub fn present_share(engines: &[Arc<TargetRecord>]) -> Option<f64> {
    let prefill_engines = engines.iter().filter(|e| is_prefill_engine(e)).count();
    (!engines.is_empty()).then(|| prefill_engines as f64 / engines.len() as f64)
}

fn is_prefill_engine(engine: &TargetRecord) -> bool {
    engine.stage == Some(EngineStage::Prefill)
}
