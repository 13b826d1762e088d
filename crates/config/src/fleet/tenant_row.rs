//! Tenants and what they may send.

use fulmartrestle_core::{RatePerS, Tenant, Tokens, number_newtype};
use fulmartrestle_derive::record;

use super::Row;

number_newtype!(
    /// A tenant's share of a contended service, relative to the other tenants' weights.
    Weight,
    u32,
    "weight"
);

/// What one tenant may send across the whole fleet.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct TenantRow {
    /// The tenant.
    pub tenant: Tenant,
    /// Requests per second that are admitted in the long run.
    pub rate_per_s: RatePerS,
    /// Requests that are admitted at once after a pause.
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
