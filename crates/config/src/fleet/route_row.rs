//! Routes, which map path prefixes to services.

use fulmartrestle_core::{Class, RouteId, Service, Tenant};
use fulmartrestle_derive::record;

use super::Row;

/// A route: a path prefix with the service that runs its calls and the rules for them.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// The route's name.
    pub route: RouteId,
    /// The route matches paths that equal this prefix or continue it with a slash. The longest matching prefix
    /// wins.
    pub path_prefix: String,
    /// The service that runs the calls.
    pub service: Service,
    /// The priority class of the route's calls.
    pub class: Class,
    /// Whether a call must not run twice. Callers of such a route send an idempotency key.
    #[serde(default)]
    pub at_most_once: bool,
    /// Whether callers may omit a key.
    #[serde(default)]
    pub open_to_all: bool,
    /// The tenants that may use the route; absent if all may.
    #[serde(default)]
    pub tenants: Option<Vec<Tenant>>,
    /// The services that are called downstream of `service`, in any order.
    #[serde(default)]
    pub chain: Vec<Service>,
    /// Timeout of calls, in milliseconds. A caller may request a shorter one, but not a longer one.
    pub timeout_ms: u64,
    /// Whether a failed call may be retried on another target; never true for `at_most_once`.
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
