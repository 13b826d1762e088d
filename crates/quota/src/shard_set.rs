//! Sets of token shards.

use fulmartrestle_core::VmId;
use fulmartrestle_derive::value;

use crate::IssuerTable;
use crate::token_shard::TokenShard;

/// A set of token shards, one bit each.
#[value]
#[derive(Default)]
#[serde(transparent)]
pub struct ShardSet(u8);

impl ShardSet {
    /// Returns the shards whose issuer is `node`.
    pub fn issued_by(issuers: &IssuerTable, node: VmId) -> Self {
        TokenShard::all().filter(|shard| issuers[shard.index()] == Some(node)).collect()
    }

    /// Returns whether the set contains `shard`.
    pub fn contains(self, shard: TokenShard) -> bool {
        self.0 & (1 << shard.index()) != 0
    }
}

impl FromIterator<TokenShard> for ShardSet {
    fn from_iter<I: IntoIterator<Item = TokenShard>>(shards: I) -> Self {
        Self(shards.into_iter().fold(0, |bits, shard| bits | 1 << shard.index()))
    }
}
