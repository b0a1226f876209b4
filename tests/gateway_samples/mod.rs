//! Sample routes, targets and configurations of the gateway's tests.
#![allow(dead_code)]

use std::time::Duration;

use pistachiowick::gateway::model::{
    CallerLimits, EngineLimits, EngineStage, FleetConfig, RetryRule, RouteRule, ServiceRule,
    ServiceShare, TargetRecord,
};
use pistachiowick::names::{CentreName, ServiceName, SoftwareVersion};
use pistachiowick::target_incarnation::TargetIncarnation;

/// Service of the sample routes.
pub const SERVICE: &str = "ledger";

/// Returns a route for idempotent requests to [`SERVICE`], with at most two targets.
pub fn route(name: &str, host: &str, path_prefix: &str) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        retry: RetryRule::Idempotent,
        time_limit: Duration::from_secs(4),
        objective: Duration::from_millis(400),
        gap_objective: Some(Duration::from_millis(300)),
        urgency: 1,
        max_targets: 2,
        shares: vec![ServiceShare {
            service: ServiceName::from(SERVICE),
            weight: 1,
        }],
        public: false,
    }
}

/// Returns a configuration with [`SERVICE`] as a service without model engines.
pub fn config(version: u64, routes: Vec<RouteRule>) -> FleetConfig {
    FleetConfig {
        version,
        routes,
        services: vec![ServiceRule {
            name: ServiceName::from(SERVICE),
            max_connections: 100,
            engine: None,
            scaling: None,
        }],
        limits: CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 65_536,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(5),
        },
        workspaces: None,
    }
}

/// Returns the same with [`SERVICE`] offered by model engines.
pub fn engine_config(version: u64, routes: Vec<RouteRule>) -> FleetConfig {
    let mut config = config(version, routes);
    config.services[0].engine = Some(EngineLimits {
        slots: 64,
        cache_tokens: 400_000,
    });
    config
}

/// Returns a target of [`SERVICE`] that is not reclaimable.
pub fn target(id: &str, address: &str) -> TargetRecord {
    TargetRecord {
        id: TargetIncarnation::from(id),
        service: ServiceName::from(SERVICE),
        address: address.parse().expect("an address"),
        centre: CentreName::from("hall-a"),
        software: SoftwareVersion::from("v1"),
        slots: 8,
        leaving: false,
        stage: None,
        reclaimable: false,
    }
}

/// Returns a model engine of [`SERVICE`].
pub fn engine(id: &str, stage: EngineStage) -> TargetRecord {
    let mut record = target(id, "127.0.0.1:9");
    record.stage = Some(stage);
    record.slots = 64;
    record
}
