//! Fleets, configurations and requests of any size, for benchmarks and measurements.

use pistachiowick::config::buckets::{BUCKETS, BucketIndex, BucketItem, BucketRecord, CONFIG_KIND};
use pistachiowick::config::catalogue::{
    ClassSpec, ClassTarget, ItemSpec, ModelChoice, WorkspaceSpec,
};
use pistachiowick::decide::placement::{PlacementNeed, PoolKey};
use pistachiowick::decide::scheduler::JobSpec;
use pistachiowick::membership::fleet::{DaemonView, FleetView, LoadReport, TargetView, UseState};
use pistachiowick::names::{CentreName, MonoTime, ProcessIncarnation, TargetId};
use pistachiowick::ports::{ObjectName, ObjectVersion, StoredObject};
use pistachiowick::store::wire::{InstanceKind, InstanceRow, InstanceState};
use pistachiowick::targets::wire::{EngineRole, EngineState};

use crate::fleet::hash_of;

/// Data centres of the samples.
const CENTRES: usize = 19;
/// Classes of each workspace.
pub const CLASSES_EACH: usize = 3;
/// Model that every engine of the samples holds.
pub const SAMPLE_MODEL: &str = "base";
const SAMPLE_LABEL: &str = "base@1";
const DEADLINE_MS: u32 = 60_000;

/// Returns the name of an engine.
#[must_use]
pub fn engine_name(number: usize) -> String {
    format!("engine-{number:05}")
}

/// Returns the name of a workspace.
#[must_use]
pub fn workspace_name(number: usize) -> String {
    format!("workspace-{number:04}")
}

fn centre_name(number: usize) -> CentreName {
    CentreName::from(format!("centre-{:02}", number % CENTRES))
}

fn engine_address(number: usize) -> String {
    format!("10.{}.{}.7:8000", number / 256, number % 256)
}

/// Returns an engine in use with a fresh report.
#[must_use]
pub fn engine_view(number: usize, now: MonoTime) -> TargetView {
    let report = LoadReport {
        incarnation: ProcessIncarnation(1),
        software: String::new(),
        role: EngineRole::Mixed,
        changing: false,
        models: vec![SAMPLE_LABEL.to_owned()],
        in_flight: (number % 4) as u32,
        prefill_backlog_tokens: 0,
        decode_backlog_tokens: 0,
        kv_used_tokens: 0,
        kv_limit_tokens: 200_000,
        taken_at: now,
    };
    TargetView {
        id: TargetId::from(engine_name(number)),
        kind: InstanceKind::Engine,
        address: engine_address(number),
        data_centre: centre_name(number),
        service: None,
        checks_fence: true,
        state: UseState::Live,
        report: Some(report),
    }
}

/// Returns a daemon in use.
#[must_use]
pub fn daemon_view(number: usize) -> DaemonView {
    DaemonView {
        id: format!("entry-{number:03}").into(),
        address: format!("10.200.{}.{}:9000", number / 256, number % 256),
        peer_address: format!("10.200.{}.{}:9002", number / 256, number % 256),
        data_centre: centre_name(number),
        incarnation: ProcessIncarnation(1),
        state: UseState::Live,
    }
}

/// Returns a fleet of engines and daemons, all in use.
#[must_use]
pub fn fleet_view(engines: usize, daemons: usize, version: u64, now: MonoTime) -> FleetView {
    let targets = (0..engines).map(|n| engine_view(n, now));
    let views = (0..daemons).map(daemon_view);
    FleetView {
        version,
        targets: targets.map(|t| (t.id.clone(), t)).collect(),
        daemons: views.map(|d| (d.id.clone(), d)).collect(),
    }
}

/// Returns the instance list of engines and daemons.
#[must_use]
pub fn instance_rows(engines: usize, daemons: usize) -> Vec<InstanceRow> {
    let engines = (0..engines).map(|number| InstanceRow {
        id: engine_name(number),
        kind: InstanceKind::Engine,
        address: engine_address(number),
        peer_address: String::new(),
        data_centre: centre_name(number),
        state: InstanceState::Live,
        service: None,
        checks_fence: true,
    });
    let daemons = (0..daemons).map(|number| {
        let view = daemon_view(number);
        InstanceRow {
            id: view.id.to_string(),
            kind: InstanceKind::Entry,
            address: view.address,
            peer_address: view.peer_address,
            data_centre: view.data_centre,
            state: InstanceState::Live,
            service: None,
            checks_fence: false,
        }
    });
    engines.chain(daemons).collect()
}

/// Returns an engine's own report.
#[must_use]
pub fn engine_state(number: usize, at_ms: u64) -> EngineState {
    EngineState {
        target: TargetId::from(engine_name(number)),
        incarnation: ProcessIncarnation(1),
        software: String::new(),
        at_ms,
        role: EngineRole::Mixed,
        changing: false,
        models: vec![SAMPLE_LABEL.to_owned()],
        running: 3,
        waiting: 0,
        prefill_backlog_tokens: 0,
        decode_backlog_tokens: 0,
        kv_used_tokens: 0,
        kv_limit_tokens: 200_000,
        last_order: None,
        cache_sequence: 0,
    }
}

/// Returns a request of a workspace for the sample model.
#[must_use]
pub fn job_spec(workspace: usize, prompt_tokens: f64, now: MonoTime) -> JobSpec {
    JobSpec {
        workspace: workspace_name(workspace).into(),
        class: "check".into(),
        weight: 1.0,
        priority: 0,
        deadline: MonoTime(now.0 + u64::from(DEADLINE_MS)),
        max_output_tokens: 50,
        need: PlacementNeed {
            pool: PoolKey::Model(SAMPLE_MODEL.into()),
            versions: vec!["1".to_owned()],
            adapter: String::new(),
            pinned: None,
            prompt_tokens,
            output_tokens: 50.0,
            deadline: None,
            share_factor: 1.0,
            shared_prefix: String::new(),
            shared_prefix_tokens: 0,
            excluded: Vec::new(),
        },
        phase: 0.5,
    }
}

/// Returns the configured items of one workspace: itself and its classes.
#[must_use]
pub fn workspace_items(number: usize) -> Vec<ItemSpec> {
    let name = workspace_name(number);
    let mut items = vec![ItemSpec::Workspace(WorkspaceSpec {
        name: name.as_str().into(),
        weight: 1,
        key_hashes: vec![hash_of(&name)],
    })];
    items.extend((0..CLASSES_EACH).map(|class| {
        ItemSpec::Class(ClassSpec {
            workspace: name.as_str().into(),
            name: format!("class-{class}").into(),
            deadline_ms: DEADLINE_MS,
            priority: class as u32,
            repeatable: true,
            target: ClassTarget::Models(ModelChoice {
                models: vec![SAMPLE_MODEL.into()],
                adapters: Vec::new(),
                versions: vec!["1".to_owned()],
            }),
        })
    }));
    items
}

/// Returns the buckets that hold the workspaces, by their objects' position.
#[must_use]
pub fn config_buckets(workspaces: usize) -> Vec<BucketRecord> {
    let mut buckets = vec![BucketRecord::default(); usize::from(BUCKETS)];
    for spec in (0..workspaces).flat_map(workspace_items) {
        let name = spec.item_name();
        let bucket = &mut buckets[BucketIndex::of(&name).position()];
        bucket.sequence += 1;
        let item = BucketItem {
            revision: bucket.sequence,
            spec: Some(spec),
            deleted_at: None,
        };
        bucket.items.insert(name, item);
    }
    buckets
}

/// Returns a bucket as the platform stores it.
///
/// # Panics
///
/// Panics when the bucket is larger than an object may be.
#[must_use]
pub fn stored_bucket(index: usize, bucket: &BucketRecord, version: u64) -> StoredObject {
    let value = bucket.encode().expect("a sample fits its object");
    StoredObject {
        object: ObjectName {
            kind: CONFIG_KIND.to_owned(),
            name: format!("bucket-{index:03}"),
        },
        version: ObjectVersion(version),
        value: Some(value),
    }
}

/// Returns the buckets that hold something, as stored.
#[must_use]
pub fn stored_buckets(workspaces: usize) -> Vec<StoredObject> {
    let buckets = config_buckets(workspaces);
    let used = buckets.iter().enumerate().filter(|(_, b)| b.sequence > 0);
    used.map(|(index, bucket)| stored_bucket(index, bucket, 1))
        .collect()
}

/// Returns a bucket with one more change to an item that it holds.
///
/// # Panics
///
/// Panics when the bucket holds no item.
#[must_use]
pub fn changed_bucket(bucket: &BucketRecord) -> BucketRecord {
    let mut next = bucket.clone();
    next.sequence += 1;
    let (_, item) = next.items.first_mut().expect("a bucket with an item");
    item.revision = next.sequence;
    if let Some(ItemSpec::Workspace(workspace)) = &mut item.spec {
        workspace.weight += 1;
    }
    next
}
