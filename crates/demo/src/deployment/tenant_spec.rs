//! Tenant of a deployment.

use fulmartrestle_core::Tenant;
use fulmartrestle_derive::local;

/// A tenant with its rate limit and its usual load.
#[local]
pub struct TenantSpec {
    /// Name of the tenant.
    pub tenant: Tenant,
    /// Usual load in requests per second.
    pub usual_rps: f64,
    /// Rate limit in requests per second.
    pub rate_per_s: u64,
    /// Number of requests that the tenant may send at once.
    pub burst: u64,
}
