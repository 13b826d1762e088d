//! The part of the fleet's configuration that rates depend on.

use fulmartrestle_core::{AvailabilityZone, RatePerS, Tenant, Tokens, Version};
use fulmartrestle_derive::record;

/// Rate and burst of one tenant across the whole fleet.
#[record]
pub struct TenantRate {
    /// The tenant.
    pub tenant: Tenant,
    /// Requests per second that the fleet may admit in the long run.
    pub rate_per_s: RatePerS,
    /// Requests that the fleet may admit at once after a quiet time.
    pub burst: Tokens,
}

/// One version of all tenants' rates and of the zones that share them.
#[record]
pub struct QuotaConfig {
    /// Version of the configuration; a node never goes back to a lower one.
    pub version: Version,
    /// The zones among which each rate and burst is split.
    pub zones: Vec<AvailabilityZone>,
    /// One entry per tenant. A tenant without an entry is refused.
    pub tenants: Vec<TenantRate>,
}
