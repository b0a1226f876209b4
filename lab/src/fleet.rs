//! A whole deployment in one process: platform, targets and daemons on loopback.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, ensure};
use indexmap::IndexMap;
use pistachiowick::config::catalogue::ItemSpec;
use pistachiowick::names::{CentreName, ServiceName, TargetId};
use pistachiowick::pb;
use pistachiowick::pb::operations_client::OperationsClient;
use pistachiowick::requests::access::{SecretKey, key_hash};
use pistachiowick::server::{RunningDaemon, start_daemon};
use pistachiowick::settings::DaemonSettings;
use pistachiowick::store::wire::{InstanceKind, InstanceRow, InstanceState};
use serde_json::json;
use tonic::transport::{Channel, Endpoint};

use crate::engine::{EngineStandIn, RunningEngine};
use crate::engine_options::EngineOptions;
use crate::platform::{PlatformOptions, PlatformStandIn, RunningPlatform};
use crate::service::{RunningService, ServiceOptions, ServiceStandIn};

/// Key of the operators in every laboratory fleet.
pub const OPERATOR_KEY: &str = "laboratory-operator-key";
const TOKEN_SECRET: &str = "laboratory-token-secret-0123456789abcdef";
const PEER_SECRET: &str = "laboratory-peer-secret-0123456789abcdef";
/// Longest wait for daemons to see the configuration and the whole fleet.
const READY_TIME: Duration = Duration::from_secs(20);
const READY_CHECK: Duration = Duration::from_millis(10);

/// Changes the settings of each daemon before its start.
pub type SettingsTweak = Arc<dyn Fn(&mut DaemonSettings) + Send + Sync>;

/// What to start.
#[derive(Clone)]
pub struct FleetPlan {
    /// Data centres; targets and daemons are spread over them in turn.
    pub centres: Vec<String>,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of instances of the plain service.
    pub services: usize,
    /// Name of the plain service.
    pub service_name: String,
    /// Options of each engine; address, target and seed are filled in.
    pub engine: EngineOptions,
    /// Options of each service instance.
    pub service: ServiceOptions,
    /// Options of the platform.
    pub platform: PlatformOptions,
    /// Configuration put in place by an operator's calls, in this order.
    pub items: Vec<ItemSpec>,
    /// Last word on each daemon's settings.
    pub tweak: SettingsTweak,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            centres: vec!["centre-a".to_owned()],
            daemons: 3,
            engines: 12,
            services: 3,
            service_name: "ledger".to_owned(),
            engine: EngineOptions::default(),
            service: ServiceOptions::default(),
            platform: PlatformOptions::default(),
            items: Vec::new(),
            tweak: Arc::new(|_| {}),
        }
    }
}

/// A running deployment.
pub struct LabFleet {
    /// What it was started from.
    pub plan: FleetPlan,
    /// The platform.
    pub platform: RunningPlatform,
    /// Engines by name.
    pub engines: IndexMap<String, RunningEngine>,
    /// Service instances by name.
    pub services: IndexMap<String, RunningService>,
    /// Daemons by name.
    pub daemons: IndexMap<String, RunningDaemon>,
}

impl LabFleet {
    /// Starts everything, configures it through an operator's calls and waits until
    /// every daemon sees the whole fleet.
    ///
    /// # Errors
    ///
    /// Returns what did not start or did not become ready.
    pub async fn start(plan: FleetPlan) -> Result<Self> {
        let platform = PlatformStandIn::start(plan.platform.clone()).await?;
        let mut fleet = Self {
            plan,
            platform,
            engines: IndexMap::new(),
            services: IndexMap::new(),
            daemons: IndexMap::new(),
        };
        for number in 0..fleet.plan.engines {
            fleet.add_engine(number).await?;
        }
        for number in 0..fleet.plan.services {
            fleet.add_service(number).await?;
        }
        for number in 0..fleet.plan.daemons {
            fleet.add_daemon(number).await?;
        }
        fleet.configure().await?;
        fleet.wait_until_complete().await?;
        Ok(fleet)
    }

    /// Returns the daemons' addresses for callers.
    #[must_use]
    pub fn addresses(&self) -> Vec<String> {
        self.daemons.values().map(|d| d.rpc.to_string()).collect()
    }

    /// Starts an engine and puts it into the instance list.
    ///
    /// # Errors
    ///
    /// Returns what kept it from starting.
    pub async fn add_engine(&mut self, number: usize) -> Result<()> {
        let name = format!("engine-{number:02}");
        let options = EngineOptions {
            target: TargetId::from(name.as_str()),
            seed: self.plan.engine.seed + number as u64,
            ..self.plan.engine.clone()
        };
        let checks_fence = options.checks_fence;
        let engine = EngineStandIn::start(options).await?;
        self.platform.set_instance(InstanceRow {
            checks_fence,
            ..self.row(&name, InstanceKind::Engine, &engine.address(), number)
        });
        self.engines.insert(name, engine);
        Ok(())
    }

    /// Starts an instance of the plain service and puts it into the instance list.
    ///
    /// # Errors
    ///
    /// Returns what kept it from starting.
    pub async fn add_service(&mut self, number: usize) -> Result<()> {
        let name = format!("service-{number:02}");
        let options = ServiceOptions {
            seed: self.plan.service.seed + number as u64,
            ..self.plan.service.clone()
        };
        let service = ServiceStandIn::start(options).await?;
        let offered = ServiceName::from(self.plan.service_name.as_str());
        self.platform.set_instance(InstanceRow {
            service: Some(offered),
            ..self.row(&name, InstanceKind::Service, &service.address(), number)
        });
        self.services.insert(name, service);
        Ok(())
    }

    /// Starts a daemon and puts it into the instance list.
    ///
    /// # Errors
    ///
    /// Returns what kept it from starting.
    pub async fn add_daemon(&mut self, number: usize) -> Result<()> {
        let name = format!("entry-{number}");
        let centre = self.centre(number);
        let mut settings = daemon_settings(&name, &centre, &self.platform.address());
        (self.plan.tweak)(&mut settings);
        let daemon = start_daemon(settings).await?;
        self.platform.set_instance(InstanceRow {
            peer_address: daemon.peer.to_string(),
            ..self.row(&name, InstanceKind::Entry, &daemon.rpc.to_string(), number)
        });
        self.daemons.insert(name, daemon);
        Ok(())
    }

    /// Marks an instance as leaving in the instance list.
    pub fn announce_leaving(&self, row: InstanceRow) {
        self.platform.set_instance(InstanceRow {
            state: InstanceState::Leaving,
            ..row
        });
    }

    /// Stops every part.
    pub async fn stop(self) {
        for daemon in self.daemons.into_values() {
            daemon.kill();
        }
        for engine in self.engines.values() {
            engine.stop();
        }
        for service in self.services.values() {
            service.stop();
        }
        self.platform.stop();
    }

    /// Connects to a daemon's service for operators.
    ///
    /// # Errors
    ///
    /// Returns an error for an address that cannot be connected to.
    pub async fn operations(&self, daemon: &str) -> Result<OperationsClient<Channel>> {
        let address = self.daemons[daemon].rpc;
        let endpoint = Endpoint::from_shared(format!("http://{address}"))?;
        Ok(OperationsClient::new(endpoint.connect().await?))
    }

    /// Returns the instance list's row of an instance of this fleet.
    #[must_use]
    pub fn row(&self, name: &str, kind: InstanceKind, address: &str, number: usize) -> InstanceRow {
        InstanceRow {
            id: name.to_owned(),
            kind,
            address: address.to_owned(),
            peer_address: String::new(),
            data_centre: CentreName::from(self.centre(number)),
            state: InstanceState::Live,
            service: None,
            checks_fence: false,
        }
    }

    fn centre(&self, number: usize) -> String {
        self.plan.centres[number % self.plan.centres.len()].clone()
    }

    async fn configure(&self) -> Result<()> {
        let Some(first) = self.daemons.keys().next() else {
            return Ok(());
        };
        self.wait_for("a daemon that is ready", |fleet| {
            fleet.daemons.values().all(RunningDaemon::is_ready)
        })
        .await?;
        let mut client = self.operations(first).await?;
        for item in &self.plan.items {
            let create = pb::CreateItemRequest {
                item: Some(item.into()),
            };
            let created = client.create_item(operator_call(create)).await;
            created.wrap_err_with(|| format!("cannot create {:?}", item.item_name()))?;
        }
        Ok(())
    }

    async fn wait_until_complete(&self) -> Result<()> {
        let items = self.plan.items.len();
        let targets = self.plan.engines + self.plan.services;
        self.wait_for("daemons that see the whole fleet", move |fleet| {
            fleet.daemons.values().all(|daemon| {
                let snapshot = daemon.context().control.snapshot.load();
                let views = snapshot.fleet.targets.values();
                let known = views
                    .filter(|t| t.kind == InstanceKind::Service || t.report.is_some())
                    .count();
                known >= targets && snapshot.config.items.len() >= items
            })
        })
        .await
    }

    async fn wait_for(&self, what: &str, done: impl Fn(&Self) -> bool) -> Result<()> {
        let begun = Instant::now();
        while !done(self) {
            let waited = begun.elapsed();
            ensure!(waited < READY_TIME, "no {what} after {waited:?}");
            tokio::time::sleep(READY_CHECK).await;
        }
        Ok(())
    }
}

/// Wraps a message with the operators' key.
pub fn operator_call<T>(message: T) -> tonic::Request<T> {
    with_key(message, OPERATOR_KEY)
}

/// Wraps a message with a key.
///
/// # Panics
///
/// Panics for a key that is not printable ASCII.
pub fn with_key<T>(message: T, key: &str) -> tonic::Request<T> {
    let mut request = tonic::Request::new(message);
    let value = format!("Bearer {key}");
    let value = value.parse().expect("a key of the laboratory is ASCII");
    request.metadata_mut().insert("authorization", value);
    request
}

/// Returns the hash under which a key is configured.
#[must_use]
pub fn hash_of(key: &str) -> String {
    key_hash(&SecretKey::new(key))
}

/// Returns settings for a daemon on loopback.
///
/// # Panics
///
/// Panics when the settings built here no longer pass their own checks.
#[must_use]
pub fn daemon_settings(name: &str, centre: &str, platform: &str) -> DaemonSettings {
    let document = json!({
        "daemon_id": name,
        "data_centre": centre,
        "listen": {
            "rpc": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "peer": "127.0.0.1:0",
        },
        "platform": { "address": format!("http://{platform}"), "instances_ms": 200 },
        "peers": { "secret": PEER_SECRET, "hint_ms": 200 },
        "access": {
            "operator_key_hashes": [hash_of(OPERATOR_KEY)],
            "token_secrets": [TOKEN_SECRET],
        },
        "shutdown": { "keep_ms": 500 },
    });
    DaemonSettings::parse(&document.to_string()).expect("the laboratory's settings are valid")
}
