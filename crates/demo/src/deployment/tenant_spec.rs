//! One tenant of a deployment.

use fulmartrestle_core::Tenant;
use fulmartrestle_derive::local;

/// A tenant with its contract and its usual load.
#[local]
pub struct TenantSpec {
    /// The tenant.
    pub tenant: Tenant,
    /// Requests per second that it usually sends.
    pub usual_rps: f64,
    /// Requests per second that it may send.
    pub rate_per_s: u64,
    /// Requests that it may send at once.
    pub burst: u64,
}
