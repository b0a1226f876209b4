//! Looks up the route of a request and the service that serves it.

use std::time::Duration;

use indexmap::IndexMap;

use crate::access_key::KeyDigest;
use crate::gateway::model::{
    CallerLimits, FleetConfig, RetryRule, RouteRule, ServiceRule, WorkspaceRule,
};
use crate::names::{ServiceName, WorkspaceName};

/// One version of the configuration, indexed for look-ups.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Longest time limit of a route.
    pub longest_time_limit: Duration,
    services: IndexMap<ServiceName, ServiceRule>,
    keys: Option<IndexMap<KeyDigest, KeyOwner>>,
    // Routes by host, longest prefixes first, so that the first match is the most specific.
    hosts: IndexMap<String, Vec<RouteRule>>,
}

impl From<FleetConfig> for RouteTable {
    fn from(config: FleetConfig) -> Self {
        let time_limits = config.routes.iter().map(|route| route.time_limit);
        let longest_time_limit = time_limits.max().unwrap_or_default();
        let mut hosts: IndexMap<String, Vec<RouteRule>> = IndexMap::new();
        for route in config.routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = config.services.into_iter();
        let keys = config.workspaces.map(|all| owners_of_keys(&all));
        Self {
            version: config.version,
            limits: config.limits,
            longest_time_limit,
            services: services.map(|s| (s.name.clone(), s)).collect(),
            keys,
            hosts,
        }
    }
}

/// The workspace that a key belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyOwner {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Rank of its requests, overriding that of their routes.
    pub urgency: Option<u8>,
}

fn owners_of_keys(workspaces: &[WorkspaceRule]) -> IndexMap<KeyDigest, KeyOwner> {
    let mut owners = IndexMap::new();
    for workspace in workspaces {
        let owner = KeyOwner {
            workspace: workspace.name.clone(),
            urgency: workspace.urgency,
        };
        owners.extend(workspace.keys.iter().map(|key| (*key, owner.clone())));
    }
    owners
}

impl RouteTable {
    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// Returns a service's rule.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// Returns whether callers need keys.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the workspace that a key belongs to.
    #[must_use]
    pub fn owner_of(&self, key: &KeyDigest) -> Option<&KeyOwner> {
        self.keys.as_ref()?.get(key)
    }

    /// Returns whether requests of a route may be retried by this rule.
    #[must_use]
    pub fn has_retry_rule(&self, rule: RetryRule) -> bool {
        let mut routes = self.hosts.values().flatten();
        routes.any(|route| route.retry == rule)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRule> {
        self.services.values()
    }
}

/// Chooses a service by weight; `draw` is a uniform random number in 0..1.
#[must_use]
pub fn choose_service(route: &RouteRule, draw: f64) -> Option<&ServiceName> {
    let total: u32 = route.shares.iter().map(|share| share.weight).sum();
    let mut left = draw * f64::from(total);
    for share in &route.shares {
        left -= f64::from(share.weight);
        if left < 0.0 {
            return Some(&share.service);
        }
    }
    route.shares.last().map(|share| &share.service)
}
