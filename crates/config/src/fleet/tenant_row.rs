//! Tenants and their rate limits.

use fulmartrestle_core::{RatePerS, Tenant, Tokens, number_newtype};
use fulmartrestle_derive::record;

use super::Row;

number_newtype!(
    /// A tenant's share of a contended service, relative to the weights of other tenants.
    Weight,
    u32,
    "weight"
);

/// A tenant with its rate limit, which applies across the whole fleet.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct TenantRow {
    /// The tenant's name.
    pub tenant: Tenant,
    /// Sustained rate of admitted requests per second.
    pub rate_per_s: RatePerS,
    /// Number of requests admitted at once after an idle period.
    pub burst: Tokens,
    /// The tenant's share of a contended service.
    pub weight: Weight,
}

impl Row for TenantRow {
    type Key = Tenant;

    fn key(&self) -> &Tenant {
        &self.tenant
    }
}
