//! A node's own right to issue tokens, which it leases to one issuer for each shard. See `docs/RATES.md`.
//!
//! Load pattern: a tenant's few requests per second are distributed over many nodes. Tokens that each node issued
//! for itself would lie where no request comes, in parts below one token.

use fulmartrestle_core::{TimeUs, VmId};
use fulmartrestle_derive::local;

use crate::token_shard::{TOKEN_SHARD_COUNT, TokenShard};

/// Duration of a lease on the issuer's clock, in milliseconds, from the last message of the issuer that the lessor
/// had received. It covers the status intervals of both and one lost message.
pub const LEASE_MS: u64 = 3_200;

/// Time by which the lessor's lease is longer than the issuer's, in milliseconds. It covers the drift between two
/// clocks during a lease.
const LEASE_MARGIN_MS: u64 = 100;

/// A node that may become the issuer of a shard.
#[local]
#[derive(Copy)]
pub struct IssuerCandidate {
    /// The node.
    pub node: VmId,
    /// Whether the node is in the zone of this one.
    pub in_own_zone: bool,
}

/// The issuer of each shard, by [`TokenShard::index`]; `None` if a node leases no right for the shard.
pub type IssuerTable = [Option<VmId>; TOKEN_SHARD_COUNT];

#[derive(Clone, Copy, Debug, Default)]
struct ShardRight {
    lessee: Option<VmId>,
    leased_until: TimeUs,
    preferred: Option<VmId>,
    usable_from: Option<TimeUs>,
}

impl ShardRight {
    fn is_usable(&self, now: TimeUs) -> bool {
        self.usable_from.is_some_and(|usable_from| now >= usable_from)
    }
}

/// The right of one node to issue its part of every tenant's tokens. At any time it is used by the node itself, by
/// one lessee, or by nobody.
#[derive(Debug, Default)]
pub struct IssuingRight {
    shards: [ShardRight; TOKEN_SHARD_COUNT],
}

impl IssuingRight {
    /// Sets when this run may use its right: as soon as no lease of an earlier run on this VM can be valid any more.
    /// `zonal_only` restricts this to the shards whose lessees are in this zone. The earliest time that was set counts.
    pub fn set_usable_from(&mut self, usable_from: TimeUs, zonal_only: bool) {
        for shard in TokenShard::all().filter(|shard| shard.is_zonal() || !zonal_only) {
            let right = &mut self.shards[shard.index()];
            right.usable_from = Some(right.usable_from.map_or(usable_from, |earlier| earlier.min(usable_from)));
        }
    }

    /// Returns the next time at which this run may use its right for a further shard, if it is known.
    pub fn next_usable_from(&self, now: TimeUs) -> Option<TimeUs> {
        self.shards.iter().filter_map(|right| right.usable_from).filter(|usable_from| *usable_from > now).min()
    }

    /// Returns when the leases of a run that ended before `start` have ended on every node.
    pub fn earlier_leases_end(start: TimeUs) -> TimeUs {
        start.plus_ms(LEASE_MS + LEASE_MARGIN_MS)
    }

    /// Renews the leases, or changes their lessees to the preferred ones among `candidates`, which include `own`. A
    /// lease to another lessee ends by itself first. Returns the lessees, to be sent to all nodes at once.
    pub fn renew(&mut self, own: VmId, candidates: &[IssuerCandidate], now: TimeUs) -> IssuerTable {
        let mut issuers = IssuerTable::default();
        for shard in TokenShard::all() {
            let right = &mut self.shards[shard.index()];
            let eligible = candidates.iter().filter(|candidate| candidate.in_own_zone || !shard.is_zonal());
            right.preferred = shard.preferred_issuer(eligible.map(|candidate| candidate.node));
            let lapsed = right.lessee.is_none() || now >= right.leased_until;
            if !right.is_usable(now) || (!lapsed && right.lessee != right.preferred) {
                continue;
            }
            right.lessee = right.preferred.filter(|preferred| *preferred != own);
            right.leased_until = now.plus_ms(LEASE_MS + LEASE_MARGIN_MS);
            issuers[shard.index()] = right.preferred;
        }
        issuers
    }

    /// Ends the leases to a lessee whose process has ended.
    pub fn end_leases_to(&mut self, lessee: VmId) {
        for right in &mut self.shards {
            if right.lessee == Some(lessee) {
                right.lessee = None;
            }
        }
    }

    /// Returns whether this node uses its right for a shard itself.
    pub fn is_own_issuer(&self, shard: TokenShard, own: VmId, now: TimeUs) -> bool {
        let right = &self.shards[shard.index()];
        right.is_usable(now) && right.lessee.is_none() && right.preferred == Some(own)
    }

    /// Returns the node to ask for tokens of a shard.
    pub fn issuer(&self, shard: TokenShard) -> Option<VmId> {
        self.shards[shard.index()].preferred
    }
}
