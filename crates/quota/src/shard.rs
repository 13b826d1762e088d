//! Shards of tenants, so that the work of owners is spread over several nodes of a zone.

use fulmartrestle_core::Tenant;
use fulmartrestle_derive::value;

/// Number of shards. Each costs every member one lease acknowledgement per renewal.
pub const SHARD_COUNT: usize = 8;

/// A group of tenants that have the same owner in a zone.
#[value]
#[serde(transparent)]
pub struct QuotaShard(pub u8);

impl QuotaShard {
    /// Returns the shard of a tenant, the same on every node.
    pub fn for_tenant(tenant: &Tenant) -> Self {
        let hash = blake3::hash(tenant.as_str().as_bytes());
        Self(hash.as_bytes()[0] % SHARD_COUNT as u8)
    }

    /// Returns all shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARD_COUNT as u8).map(Self)
    }

    /// Returns the shard's place in tables.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}
