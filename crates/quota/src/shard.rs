//! Shards of tenants, which distribute the work of owners over several nodes of a zone.

use fulmartrestle_core::Tenant;
use fulmartrestle_derive::value;

/// Number of shards. Each shard costs every member one lease acknowledgement per renewal.
pub const SHARD_COUNT: usize = 8;

/// A group of tenants that share one owner in each zone.
#[value]
#[serde(transparent)]
pub struct QuotaShard(pub u8);

impl QuotaShard {
    /// Returns the shard of a tenant, derived from a hash of its name and hence equal on every node.
    pub fn for_tenant(tenant: &Tenant) -> Self {
        let hash = blake3::hash(tenant.as_str().as_bytes());
        Self(hash.as_bytes()[0] % SHARD_COUNT as u8)
    }

    /// Returns an iterator over all shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARD_COUNT as u8).map(Self)
    }

    /// Returns the index of this shard in arrays of length [`SHARD_COUNT`].
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}
