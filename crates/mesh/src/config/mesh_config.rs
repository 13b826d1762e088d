//! One version of the configuration, indexed for lookups.

use std::collections::HashMap;

use fulmartrestle_core::{RateMilliPerS, RouteId, Service, Version};
use fulmartrestle_derive::record;
use fulmartrestle_quota::TenantLimit;
use http::Uri;

use super::{ApiKey, Route, TenantConfig};

/// Limits on the size and the duration of callers' requests.
#[record]
#[derive(Copy, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Time for a caller to send a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits that hold until a configuration sets them. The values follow the platform's examples.
    fn default() -> Self {
        Self { max_header_bytes: 16_384, max_body_bytes: 64 << 20, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
    }
}

/// One version of the configuration.
#[derive(Debug, Default)]
pub struct MeshConfig {
    version: Version,
    limits: CallerLimits,
    routes: Vec<Route>,
    by_host: HashMap<String, HashMap<String, usize>>,
    tenants: Vec<TenantConfig>,
    by_key: HashMap<ApiKey, usize>,
    unreadable_tenants: usize,
    requires_keys: bool,
    positions: HashMap<RouteId, u32>,
    cold_rates: HashMap<Service, RateMilliPerS>,
    health_paths: HashMap<Service, Uri>,
}

impl MeshConfig {
    /// Indexes a version of the configuration. If two routes have the same host and prefix, or two tenants the
    /// same key, the first one wins.
    pub fn new(version: Version, limits: CallerLimits, routes: Vec<Route>, tenants: Vec<TenantConfig>) -> Self {
        let mut by_host: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().entry(route.prefix.clone()).or_insert(index);
        }
        let mut by_key = HashMap::new();
        for (index, tenant) in tenants.iter().enumerate() {
            for key in &tenant.keys {
                by_key.entry(key.clone()).or_insert(index);
            }
        }
        let positions = (0..).zip(&routes).map(|(position, route)| (route.id.clone(), position)).collect();
        let cold_rates = HashMap::new();
        let requires_keys = !tenants.is_empty();
        Self {
            version,
            limits,
            routes,
            by_host,
            tenants,
            by_key,
            unreadable_tenants: 0,
            requires_keys,
            positions,
            cold_rates,
            health_paths: HashMap::new(),
        }
    }

    /// Sets the paths at which targets say whether they serve.
    pub fn with_health_paths(mut self, health_paths: HashMap<Service, Uri>) -> Self {
        self.health_paths = health_paths;
        self
    }

    /// Returns the path at which the targets of a service say whether they serve.
    pub fn health_path(&self, service: &Service) -> Option<&Uri> {
        self.health_paths.get(service)
    }

    /// Sets the rates that targets handle while they are cold. A rate of 0 stands for one that could not be read.
    pub fn with_cold_rates(mut self, cold_rates: HashMap<Service, RateMilliPerS>) -> Self {
        self.cold_rates = cold_rates;
        self
    }

    /// Returns the rate that the targets of a service handle while they are cold, or `None` if the service has no limit. A
    /// rate of 0 stands for one that could not be read: there is a limit, but it is not known.
    pub fn cold_rate(&self, service: &Service) -> Option<RateMilliPerS> {
        self.cold_rates.get(service).copied()
    }

    /// Sets how many tenants could not be read. Their keys are unknown, but valid.
    pub fn with_unreadable_tenants(mut self, unreadable_tenants: usize) -> Self {
        self.unreadable_tenants = unreadable_tenants;
        self
    }

    /// Returns whether an unknown key may belong to a tenant that could not be read.
    pub fn has_unreadable_tenants(&self) -> bool {
        self.unreadable_tenants > 0
    }

    /// Returns the version number.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the route of a request: among the routes of `host`, the one with the longest prefix of `path`.
    /// Prefixes end with a slash, so only the slashes of the path are looked up.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.by_host.get(host)?;
        let mut slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        let index = slashes.find_map(|(end, _)| prefixes.get(&path[..=end]))?;
        self.routes.get(*index)
    }

    /// Returns the tenant that owns `key`.
    pub fn find_tenant(&self, key: &ApiKey) -> Option<&TenantConfig> {
        self.by_key.get(key).and_then(|index| self.tenants.get(*index))
    }

    /// Sets whether the configuration lists tenants, even if the list is empty.
    pub fn with_required_keys(mut self, requires_keys: bool) -> Self {
        self.requires_keys = requires_keys;
        self
    }

    /// Returns whether routes that are not public require a key. A list of tenants without any means that no key is valid.
    pub fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// Returns the rate limit of every tenant.
    pub fn tenant_limits(&self) -> Vec<TenantLimit> {
        let limit = |tenant: &TenantConfig| TenantLimit {
            tenant: tenant.tenant.clone(),
            rate: tenant.rate,
            burst: tenant.burst,
        };
        self.tenants.iter().map(limit).collect()
    }

    /// Returns the position of a route, which is the same on all nodes with this version.
    pub fn route_position(&self, route: &RouteId) -> Option<u32> {
        self.positions.get(route).copied()
    }

    /// Returns the name of the route at a position.
    pub fn route_at(&self, position: u32) -> Option<&RouteId> {
        self.routes.get(position as usize).map(|route| &route.id)
    }

    /// Returns the number of configured routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}
