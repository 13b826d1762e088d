//! Groups of tenants whose tokens are issued by the same node.

use fulmartrestle_core::{Tenant, Tokens, VmId, rendezvous_owner};
use fulmartrestle_derive::value;

/// Number of shards of each scope. Every zone has one issuer for each zonal shard, and the fleet has one for each of
/// the others.
const SHARDS_PER_SCOPE: u8 = 2;

/// Number of all shards.
pub const TOKEN_SHARD_COUNT: usize = 2 * SHARDS_PER_SCOPE as usize;

/// Smallest burst that is divided among zones: two tokens for each of five zones. With less, a zone often has a part of
/// a token while another one needs it.
const MIN_ZONAL_BURST: u64 = 10;

/// A group of tenants. The shard of a tenant depends on its name and its burst only, so that all nodes with the same
/// configuration agree on it.
#[value]
pub struct TokenShard(u8);

impl TokenShard {
    /// Returns the shard of a tenant.
    pub fn of(tenant: &Tenant, burst: Tokens) -> Self {
        let index = blake3::hash(tenant.as_str().as_bytes()).as_bytes()[0] % SHARDS_PER_SCOPE;
        Self(if burst.0 >= MIN_ZONAL_BURST { index } else { SHARDS_PER_SCOPE + index })
    }

    /// Returns an iterator over all shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..2 * SHARDS_PER_SCOPE).map(Self)
    }

    /// Returns the index of this shard in arrays of length [`TOKEN_SHARD_COUNT`].
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Returns whether every zone has its own issuer for this shard.
    pub fn is_zonal(self) -> bool {
        self.0 < SHARDS_PER_SCOPE
    }

    /// Returns the member that should issue the tokens of this shard.
    pub fn preferred_issuer(self, members: impl IntoIterator<Item = VmId>) -> Option<VmId> {
        rendezvous_owner(&format!("tokens-{}", self.0), members)
    }
}
