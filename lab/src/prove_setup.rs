//! The deployment, configuration and load of a randomised run.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use pistachiowick::config::catalogue::{ClassSpec, ClassTarget, ItemSpec, ModelChoice};
use pistachiowick::settings::DaemonSettings;

use crate::fleet::FleetPlan;
use crate::load::{LoadClass, LoadConfig, LoadRange};
use crate::prove_books::RequestKind;
use crate::prove_plants::PlantedMistake;
use crate::quickstart::{MODEL, quickstart_items, quickstart_plan, workspace_key};

/// Workspaces of the run.
pub const WORKSPACES: [&str; 2] = ["rowing", "stores"];

/// Classes that operators change while they race.
pub const RACED_CLASSES: [&str; 3] = ["raced-0", "raced-1", "raced-2"];

/// Version of the model.
const VERSION: &str = "1";

/// What a run is asked to do.
#[derive(Clone, Debug)]
pub struct ProveOptions {
    /// Seed of faults, load and behaviour of callers.
    pub seed: u64,
    /// Length of the load; faults end after [`Self::FAULT_SHARE`] of it.
    pub seconds: f64,
    /// Path of the daemon's program, to run daemons as processes.
    pub daemon_program: Option<PathBuf>,
    /// Number of daemons.
    pub daemons: usize,
    /// Requests a second.
    pub rate: f64,
    /// Time after which a target told to leave may receive no new work.
    pub leave_grace: Duration,
    /// Longest time to full service after all faults have ended.
    pub recovery_bound: Duration,
    /// Whether faults are printed as they happen.
    pub prints_faults: bool,
    /// A mistake to plant, to show that its check can fail.
    pub plant: Option<PlantedMistake>,
}

impl Default for ProveOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            seconds: 20.0,
            daemon_program: None,
            daemons: 4,
            rate: 50.0,
            leave_grace: Duration::from_secs(4),
            recovery_bound: Duration::from_secs(20),
            prints_faults: true,
            plant: None,
        }
    }
}

impl ProveOptions {
    /// Share of the load's time in which faults happen.
    const FAULT_SHARE: f64 = 0.7;

    /// Returns the stretch in which faults begin.
    #[must_use]
    pub fn fault_stretch(&self) -> Duration {
        Duration::from_secs_f64(self.seconds * Self::FAULT_SHARE)
    }
}

/// Returns the deployment without its daemons, which the run starts itself.
#[must_use]
pub fn lab_plan(options: &ProveOptions) -> FleetPlan {
    let mut plan = quickstart_plan();
    plan.daemons = 0;
    plan.engines = 8;
    plan.services = 3;
    plan.centres = vec!["centre-a".to_owned(), "centre-b".to_owned()];
    plan.engine.seed = options.seed;
    plan.engine.report_lag_ms = 400;
    plan.service.seed = options.seed;
    plan.platform.seed = options.seed;
    plan.platform.instance_lag_ms = 100;
    plan.items = Vec::new();
    let tweak = plan.tweak.clone();
    plan.tweak = Arc::new(move |settings| {
        tweak(settings);
        quicken(settings);
    });
    plan
}

/// Shortens the times that faults are measured against.
fn quicken(settings: &mut DaemonSettings) {
    settings.platform.call_ms = 500;
    settings.platform.watch_ms = 2_000;
    settings.platform.instances_ms = 200;
    settings.peers.hint_ms = 200;
    settings.peers.silence_ms = 1_000;
    settings.leases.duration_ms = 2_000;
    settings.leases.guard_ms = 500;
    settings.leases.order_flight_ms = 300;
    settings.shutdown.keep_ms = 500;
    settings.shutdown.finish_ms = 30_000;
    settings.logs.level = "error".to_owned();
}

/// Returns the configuration of the run.
#[must_use]
pub fn prove_items() -> Vec<ItemSpec> {
    let mut items = quickstart_items();
    for workspace in WORKSPACES {
        items.push(model_class(workspace, "receipt", 6_000, false));
    }
    for name in RACED_CLASSES {
        items.push(model_class(WORKSPACES[0], name, 1, true));
    }
    items
}

/// Returns a class that uses the run's model.
#[must_use]
pub fn model_class(workspace: &str, name: &str, deadline_ms: u32, repeatable: bool) -> ItemSpec {
    ItemSpec::Class(ClassSpec {
        workspace: workspace.into(),
        name: name.into(),
        deadline_ms,
        priority: 1,
        repeatable,
        target: ClassTarget::Models(ModelChoice {
            models: vec![MODEL.into()],
            adapters: Vec::new(),
            versions: vec![VERSION.to_owned()],
        }),
    })
}

/// Returns the load of the run.
#[must_use]
pub fn prove_load(options: &ProveOptions) -> LoadConfig {
    let classes = WORKSPACES
        .iter()
        .flat_map(|workspace| load_classes(workspace));
    LoadConfig {
        // The run's callers ask the daemons for addresses themselves.
        addresses: vec![String::new()],
        seed: options.seed,
        rate: options.rate,
        duration_ms: (options.seconds * 1_000.0) as u64,
        classes: classes.collect(),
        ..LoadConfig::default()
    }
}

/// Returns the classes of one workspace.
fn load_classes(workspace: &str) -> Vec<LoadClass> {
    let base = LoadClass {
        workspace: workspace.to_owned(),
        key: workspace_key(workspace),
        model: MODEL.to_owned(),
        version: VERSION.to_owned(),
        ..LoadClass::default()
    };
    vec![
        LoadClass {
            class: "review".to_owned(),
            weight: 1.0,
            prompt_tokens: range(2_000, 6_000),
            output_tokens: range(200, 600),
            deadline_ms: 15_000,
            shared_prefixes: 4,
            shared_prefix_tokens: 1_500,
            ..base.clone()
        },
        LoadClass {
            class: "check".to_owned(),
            weight: 2.0,
            prompt_tokens: range(50, 300),
            output_tokens: range(20, 80),
            deadline_ms: 4_000,
            ..base.clone()
        },
        LoadClass {
            class: "issue".to_owned(),
            weight: 3.0,
            is_service: true,
            deadline_ms: 5_000,
            ..base.clone()
        },
        LoadClass {
            class: "receipt".to_owned(),
            weight: 1.0,
            output_tokens: range(20, 200),
            deadline_ms: 6_000,
            ..base
        },
    ]
}

/// Returns the kind of work of a class.
#[must_use]
pub fn kind_of(class: &LoadClass) -> RequestKind {
    match class.class.as_str() {
        "issue" => RequestKind::KeyedCall,
        "receipt" => RequestKind::KeyedStream,
        _ => RequestKind::Stream,
    }
}

fn range(least: u32, most: u32) -> LoadRange {
    LoadRange { least, most }
}
