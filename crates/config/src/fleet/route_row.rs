//! Routes: path prefixes with a class and a service behind them.

use fulmartrestle_core::{Class, RouteId, Service, Tenant};
use fulmartrestle_derive::record;

use super::Row;

/// One route.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// The route's name.
    pub route: RouteId,
    /// Paths that are equal to this prefix, or go on after it with a slash, take this route. The
    /// longest prefix wins.
    pub path_prefix: String,
    /// The service that answers.
    pub service: Service,
    /// How important the route's calls are.
    pub class: Class,
    /// Whether a call must not run twice; callers then send an idempotency key.
    #[serde(default)]
    pub at_most_once: bool,
    /// Whether calls need no key.
    #[serde(default)]
    pub open_to_all: bool,
    /// The tenants that may use the route; absent for all.
    #[serde(default)]
    pub tenants: Option<Vec<Tenant>>,
    /// The services that a call reaches behind `service`, in any order.
    #[serde(default)]
    pub chain: Vec<Service>,
    /// Longest time for a call whose caller states no deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Whether a failed call may be tried on another target; never true for `at_most_once`.
    #[serde(default)]
    pub retryable: bool,
}

impl RouteRow {
    /// Returns whether `tenant` may use the route.
    pub fn allows(&self, tenant: &Tenant) -> bool {
        self.open_to_all || self.tenants.as_ref().is_none_or(|tenants| tenants.contains(tenant))
    }
}

impl Row for RouteRow {
    type Key = RouteId;

    fn key(&self) -> &RouteId {
        &self.route
    }
}
