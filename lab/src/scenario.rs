//! The format of scenarios: who asks for what, when, and what fails meanwhile.
//!
//! All times are those of the engines; a run is `time_scale` times faster. The format
//! is documented in docs/SCENARIOS.md.

use std::time::Duration;

use eyre::{Result, WrapErr, bail, ensure};
use indexmap::IndexMap;
use pistachiowick::config::catalogue::{
    ClassSpec, ClassTarget, ItemSpec, ModelChoice, ModelSpec, WorkspaceSpec,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::engine_options::EngineOptions;
use crate::fleet::hash_of;
use crate::load::{LoadClass, LoadRange, PlannedRequest, plan_request};
use crate::service::ServiceOptions;

/// The one model of all scenarios, as engines name it.
const MODEL: &str = "base";
const VERSION: &str = "1";
const SERVICE: &str = "ledger";

/// A scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioSpec {
    /// Name.
    pub name: String,
    /// What it shows.
    pub about: String,
    /// How many times faster than the engines' time it runs.
    #[serde(default = "one")]
    pub time_scale: f64,
    /// Data centres.
    pub centres: Vec<String>,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of instances of the plain service.
    #[serde(default)]
    pub services: usize,
    /// Changes of the engines' options.
    #[serde(default)]
    pub engine: IndexMap<String, Value>,
    /// Changes of the policy, the same for all policies compared.
    #[serde(default)]
    pub policy: IndexMap<String, Value>,
    /// Workspaces with their weights.
    pub workspaces: IndexMap<String, u32>,
    /// Classes.
    pub classes: Vec<ScenarioClass>,
    /// What is asked, one phase after the other.
    pub phases: Vec<ScenarioPhase>,
    /// What happens meanwhile.
    #[serde(default)]
    pub events: Vec<ScenarioEvent>,
}

fn one() -> f64 {
    1.0
}

/// A class of work.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioClass {
    /// Workspace.
    pub workspace: String,
    /// Name.
    pub name: String,
    /// Time for a whole answer in milliseconds.
    pub deadline_ms: u32,
    /// Urgency; 0 is the most urgent.
    #[serde(default)]
    pub priority: u32,
    /// Whether it calls the plain service, where each key runs at most once.
    #[serde(default)]
    pub service: bool,
    /// Prompt lengths in tokens.
    #[serde(default = "few")]
    pub prompt_tokens: LoadRange,
    /// Output lengths in tokens.
    #[serde(default = "few")]
    pub output_tokens: LoadRange,
    /// Number of shared prefixes; 0 for none.
    #[serde(default)]
    pub shared_prefixes: u32,
    /// Length of each in tokens.
    #[serde(default)]
    pub shared_prefix_tokens: u32,
}

fn few() -> LoadRange {
    LoadRange {
        least: 10,
        most: 20,
    }
}

/// A stretch of time with constant rates.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioPhase {
    /// Length in milliseconds.
    pub duration_ms: u64,
    /// Requests a second by `WORKSPACE/CLASS`.
    pub rates: IndexMap<String, f64>,
}

/// Something that happens.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioEvent {
    /// When, in milliseconds after the start.
    pub at_ms: u64,
    /// What.
    pub event: EventKind,
    /// Target concerned, for example `engine-03`; not for the platform.
    #[serde(default)]
    pub target: String,
    /// How long it lasts in milliseconds, where it ends by itself.
    #[serde(default)]
    pub for_ms: u64,
}

/// What can happen.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The engine drops everything and comes back after `for_ms`.
    Crash,
    /// An operator drains the target; it is restored after `for_ms`, if not 0.
    Drain,
    /// The engine is announced as leaving, gone after `for_ms`.
    Leave,
    /// The platform answers nothing for `for_ms`.
    PlatformDown,
}

impl ScenarioSpec {
    /// Reads and checks a scenario.
    ///
    /// # Errors
    ///
    /// Returns what does not hold together, with the field and the remedy.
    pub fn parse(text: &str) -> Result<Self> {
        let spec: Self = serde_json::from_str(text)
            .wrap_err("the scenario does not parse; see docs/SCENARIOS.md")?;
        spec.check()?;
        Ok(spec)
    }

    /// Returns the scenario's length in engine time.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.phases.iter().map(|p| p.duration_ms).sum())
    }

    /// Returns the configuration an operator would put in place.
    #[must_use]
    pub fn items(&self) -> Vec<ItemSpec> {
        let mut items = vec![ItemSpec::Model(ModelSpec {
            name: MODEL.into(),
            versions: vec![VERSION.to_owned()],
            adapters: Vec::new(),
            weight_bytes: 8_000_000_000,
            least_engines: 1,
        })];
        items.extend(self.workspaces.iter().map(|(name, weight)| {
            ItemSpec::Workspace(WorkspaceSpec {
                name: name.as_str().into(),
                weight: *weight,
                key_hashes: vec![hash_of(&key_of(name))],
            })
        }));
        items.extend(self.classes.iter().map(|c| self.class_item(c)));
        items
    }

    /// Returns the engines' options.
    ///
    /// # Errors
    ///
    /// Returns an error for an option that the engine does not have.
    pub fn engine_options(&self) -> Result<EngineOptions> {
        let base = EngineOptions {
            models: vec![format!("{MODEL}@{VERSION}")],
            time_scale: self.time_scale,
            report_lag_ms: 500,
            cache_lag_ms: 500,
            ..EngineOptions::default()
        };
        let options = overlay(&base, &self.engine).wrap_err("engine cannot be used")?;
        Ok(options)
    }

    /// Returns the options of the plain service's instances.
    #[must_use]
    pub fn service_options(&self) -> ServiceOptions {
        let base = ServiceOptions::default();
        ServiceOptions {
            work_ms: (base.work_ms as f64 / self.time_scale) as u64,
            ..base
        }
    }

    /// Draws the requests of a run, in order of time.
    #[must_use]
    pub fn plan(&self, seed: u64) -> Vec<PlannedRequest> {
        let mut planned = Vec::new();
        for (place, class) in self.classes.iter().enumerate() {
            let mut random = SmallRng::seed_from_u64(seed ^ ((place as u64) << 32));
            let load = self.load_class(class);
            for (number, at) in self.arrivals(class, &mut random).into_iter().enumerate() {
                let name = format!("{seed}-{place}-{number}");
                let request = plan_request(&load, &name, at, &mut random);
                planned.push(PlannedRequest {
                    class: place,
                    ..request
                });
            }
        }
        planned.sort_by_key(|request| request.at);
        planned
    }

    fn arrivals(&self, class: &ScenarioClass, random: &mut SmallRng) -> Vec<Duration> {
        let path = format!("{}/{}", class.workspace, class.name);
        let mut arrivals = Vec::new();
        let mut begin_ms = 0.0;
        for phase in &self.phases {
            let end_ms = begin_ms + phase.duration_ms as f64;
            let rate = phase.rates.get(&path).copied().unwrap_or(0.0);
            let mut at_ms = begin_ms;
            if rate <= 0.0 {
                begin_ms = end_ms;
                continue;
            }
            loop {
                let uniform: f64 = random.random_range(f64::EPSILON..1.0);
                at_ms += -uniform.ln() / rate * 1_000.0;
                if at_ms >= end_ms {
                    break;
                }
                let scaled = at_ms / 1_000.0 / self.time_scale;
                arrivals.push(Duration::from_secs_f64(scaled));
            }
            begin_ms = end_ms;
        }
        arrivals
    }

    fn load_class(&self, class: &ScenarioClass) -> LoadClass {
        LoadClass {
            workspace: class.workspace.clone(),
            key: key_of(&class.workspace),
            class: class.name.clone(),
            model: MODEL.to_owned(),
            version: VERSION.to_owned(),
            is_service: class.service,
            prompt_tokens: class.prompt_tokens,
            output_tokens: class.output_tokens,
            deadline_ms: self.scaled_ms(class.deadline_ms),
            shared_prefixes: class.shared_prefixes,
            shared_prefix_tokens: class.shared_prefix_tokens,
            ..LoadClass::default()
        }
    }

    fn class_item(&self, class: &ScenarioClass) -> ItemSpec {
        let target = if class.service {
            ClassTarget::Service(SERVICE.into())
        } else {
            ClassTarget::Models(ModelChoice {
                models: vec![MODEL.into()],
                adapters: Vec::new(),
                versions: vec![VERSION.to_owned()],
            })
        };
        ItemSpec::Class(ClassSpec {
            workspace: class.workspace.as_str().into(),
            name: class.name.as_str().into(),
            deadline_ms: self.scaled_ms(class.deadline_ms),
            priority: class.priority,
            repeatable: !class.service,
            target,
        })
    }

    /// Returns engine milliseconds as milliseconds of the run, at least 1.
    #[must_use]
    pub fn scaled_ms(&self, ms: u32) -> u32 {
        ((f64::from(ms) / self.time_scale) as u32).max(1)
    }

    fn check(&self) -> Result<()> {
        ensure!(
            self.time_scale > 0.0,
            "time_scale is {}; give more than 0",
            self.time_scale
        );
        ensure!(
            !self.centres.is_empty(),
            "centres is empty; name at least one"
        );
        ensure!(self.daemons > 0, "daemons is 0; give at least 1");
        ensure!(
            !self.phases.is_empty(),
            "phases is empty; give at least one"
        );
        for class in &self.classes {
            let workspace = &class.workspace;
            if !self.workspaces.contains_key(workspace) {
                bail!(
                    "class {} names workspace {workspace}; add it to workspaces",
                    class.name
                );
            }
        }
        for (number, phase) in self.phases.iter().enumerate() {
            self.check_phase(number, phase)?;
        }
        for event in &self.events {
            self.check_event(event)?;
        }
        self.engine_options()?;
        Ok(())
    }

    fn check_phase(&self, number: usize, phase: &ScenarioPhase) -> Result<()> {
        ensure!(
            phase.duration_ms > 0,
            "phase {number} lasts 0 ms; give more"
        );
        for (path, rate) in &phase.rates {
            let known = |c: &ScenarioClass| format!("{}/{}", c.workspace, c.name) == *path;
            if !self.classes.iter().any(known) {
                bail!("phase {number} has a rate for {path}; use WORKSPACE/CLASS of classes");
            }
            ensure!(
                rate.is_finite() && *rate >= 0.0,
                "phase {number} has rate {rate} for {path}; give 0 or more"
            );
        }
        Ok(())
    }

    fn check_event(&self, event: &ScenarioEvent) -> Result<()> {
        if event.event == EventKind::PlatformDown {
            return Ok(());
        }
        let number = event.target.strip_prefix("engine-");
        let number = number.and_then(|n| n.parse::<usize>().ok());
        ensure!(
            number.is_some_and(|n| n < self.engines),
            "event at {} ms names target {:?}; use engine-00 to engine-{:02}",
            event.at_ms,
            event.target,
            self.engines.saturating_sub(1)
        );
        Ok(())
    }
}

/// Returns a copy of `base` with some fields replaced.
///
/// # Errors
///
/// Returns an error for a field that does not exist or has another type.
pub fn overlay<T: Serialize + for<'de> Deserialize<'de>>(
    base: &T,
    changes: &IndexMap<String, Value>,
) -> Result<T> {
    let mut value = serde_json::to_value(base)?;
    for (field, change) in changes {
        let Some(fields) = value.as_object_mut() else {
            bail!("only a group of fields can be changed");
        };
        ensure!(fields.contains_key(field), "there is no field {field}");
        fields.insert(field.clone(), change.clone());
    }
    Ok(serde_json::from_value(value)?)
}

fn key_of(workspace: &str) -> String {
    format!("{workspace}-key")
}
