//! The part of the fleet's configuration that rate limiting depends on.

use fulmartrestle_core::{AvailabilityZone, RatePerS, Tenant, Tokens, Version};
use fulmartrestle_derive::record;

/// Rate limit and burst of one tenant across the whole fleet.
#[record]
pub struct TenantRate {
    /// The tenant that the limits apply to.
    pub tenant: Tenant,
    /// Long-run rate at which the fleet may admit requests, in requests per second.
    pub rate_per_s: RatePerS,
    /// Number of requests that the fleet may admit at once after an idle period.
    pub burst: Tokens,
}

/// One version of all tenants' rates and of the zones among which they are split.
#[record]
pub struct QuotaConfig {
    /// Version of the configuration. A node never reverts to a lower version.
    pub version: Version,
    /// Zones among which each rate and burst is split.
    pub zones: Vec<AvailabilityZone>,
    /// Limits, one entry per tenant. Requests of a tenant without an entry are refused.
    pub tenants: Vec<TenantRate>,
}
