//! Rate limits whose tokens are issued by a few nodes on behalf of all. See `docs/RATES.md`.
//!
//! Load pattern: many nodes receive a few requests per second of each of many tenants, and some nodes are
//! partitioned from the others. Each node has the right to issue an equal part of every tenant's tokens, and leases
//! it to an issuer, usually one in its zone. Nodes request tokens from the issuer, which removes them from its stock
//! before it responds: a lost response loses tokens. A right is never used by two nodes, so the sum over all nodes
//! never exceeds the tenant's rate and burst, whichever nodes are partitioned or restarted.

use std::collections::HashMap;

use fulmartrestle_core::{RateMilliPerS, Tenant, TimeUs, Tokens, VmId};
use fulmartrestle_derive::{local, record, value};

use crate::issuing_right::LEASE_MS;
use crate::leased_rights::LeasedRights;
use crate::token_bucket::{FleetSize, TokenBucket};
use crate::token_shard::{TOKEN_SHARD_COUNT, TokenShard};
use crate::{IssuingRight, ShardSet};

/// Share of the slack passed to [`TokenPool::set_fleet_size`] by which the capacities of all buckets together may
/// exceed the burst. The rest covers requests in transit and views of the fleet's size that differ for a moment.
const EXTRA_CAPACITY_SHARE: f64 = 0.6;

/// Longest time for which requests are refused without asking the issuer again, in milliseconds. A tenant far beyond
/// its rate costs one exchange per node in this time.
const MAX_DENIAL_MS: u64 = 100;

/// Rate limit of one tenant over the whole fleet.
#[record]
pub struct TenantLimit {
    /// The tenant.
    pub tenant: Tenant,
    /// Rate of requests; 0 means no limit.
    pub rate: RateMilliPerS,
    /// Requests that may be admitted at once after a pause.
    pub burst: Tokens,
}

/// Decision of the token pool on one request.
#[value]
pub enum TokenDecision {
    /// The request is admitted: its token is consumed, or its tenant has no rate limit.
    Granted,
    /// This node has no token. The issuer of the shard may have one.
    AskIssuer {
        /// Shard of the tenant.
        shard: TokenShard,
        /// Tokens to request beyond the one for this request.
        ahead: u32,
    },
    /// The issuer had no token a moment ago.
    Denied {
        /// Time until the caller should return, in milliseconds.
        retry_after_ms: u64,
    },
}

/// What an issuer needs from the other issuers of a shard to serve a request.
#[local]
#[derive(Copy)]
pub struct TokenNeed {
    /// Tokens that are missing for one request.
    pub missing: f64,
    /// Tokens beyond that for which the issuer has room.
    pub room: f64,
}

/// Tokens of all tenants on one node.
#[derive(Debug, Default)]
pub struct TokenPool {
    rights: [LeasedRights; TOKEN_SHARD_COUNT],
    buckets: HashMap<Tenant, TokenBucket>,
    fleet: FleetSize,
}

impl TokenPool {
    /// Applies the limits of a new configuration. New tenants start without tokens, and so do tenants whose shard
    /// changes, because another node may issue their tokens now.
    pub fn set_limits(&mut self, limits: &[TenantLimit], now: TimeUs) {
        self.refill_all(now);
        let mut old_buckets = std::mem::take(&mut self.buckets);
        for limit in limits.iter().filter(|limit| limit.rate.0 > 0) {
            let shard = TokenShard::of(&limit.tenant, limit.burst);
            let new_bucket = TokenBucket::new(limit, &self.rights[shard.index()]);
            let old_bucket = old_buckets.remove(&limit.tenant).filter(|bucket| bucket.shard == shard);
            let mut bucket = old_bucket.unwrap_or(new_bucket);
            bucket.set_limit(limit);
            self.buckets.insert(limit.tenant.clone(), bucket);
        }
    }

    /// Sets the number of nodes among which the rates are divided, zero while this is not known, and the number of
    /// requests by which the whole fleet may exceed a tenant's rate and burst.
    pub fn set_fleet_size(&mut self, nodes: usize, slack_tokens: f64, now: TimeUs) {
        let fleet = FleetSize { nodes, extra_tokens: slack_tokens * EXTRA_CAPACITY_SHARE };
        if fleet != self.fleet {
            self.refill_all(now);
            self.fleet = fleet;
        }
    }

    /// Updates which of its own rights this node uses itself.
    pub fn set_own_rights(&mut self, right: &IssuingRight, own: VmId, now: TimeUs) {
        for shard in TokenShard::all() {
            self.rights[shard.index()].set_own(right.is_own_issuer(shard, own, now), now);
        }
    }

    /// Records the shards that another node has leased to this one after it received this node's message of
    /// `echoed_at`, on this node's clock. A lease counts from there, so that it ends on this node before it ends on
    /// the lessor.
    pub fn record_leases(&mut self, lessor: VmId, leased: ShardSet, echoed_at: TimeUs, now: TimeUs) {
        for shard in TokenShard::all().filter(|shard| leased.contains(*shard)) {
            self.rights[shard.index()].record_lease(lessor, echoed_at.plus_ms(LEASE_MS), now);
        }
    }

    /// Returns the shards for which this node issues tokens.
    pub fn issued_shards(&self) -> ShardSet {
        TokenShard::all().filter(|shard| self.rights[shard.index()].count() > 0).collect()
    }

    /// Removes the leases of a node whose process has ended.
    pub fn remove_lessor(&mut self, lessor: VmId, now: TimeUs) {
        self.rights.iter_mut().for_each(|rights| rights.remove(lessor, now));
    }

    /// Consumes a token for a request. Tenants without a rate limit need none.
    pub fn take(&mut self, tenant: &Tenant, now: TimeUs) -> TokenDecision {
        let Some(bucket) = self.refilled(tenant, now) else { return TokenDecision::Granted };
        bucket.record_demand(now);
        if bucket.take_one() {
            return TokenDecision::Granted;
        }
        if now < bucket.denied_until {
            return TokenDecision::Denied { retry_after_ms: self.next_return_ms(tenant, now) };
        }
        TokenDecision::AskIssuer { shard: bucket.shard, ahead: bucket.wanted_ahead() as u32 }
    }

    /// Consumes a token after the issuer was asked at `requested_at` and granted `granted` tokens. If that is not
    /// enough, requests are refused for up to `denied_ms` without asking again.
    pub fn take_granted(
        &mut self,
        tenant: &Tenant,
        granted: f64,
        denied_ms: u64,
        requested_at: TimeUs,
        now: TimeUs,
    ) -> TokenDecision {
        let Some(bucket) = self.refilled(tenant, now) else { return TokenDecision::Granted };
        bucket.borrow(granted, requested_at);
        if bucket.take_one() {
            return TokenDecision::Granted;
        }
        bucket.denied_until = now.plus_ms(denied_ms.min(MAX_DENIAL_MS));
        TokenDecision::Denied { retry_after_ms: denied_ms }
    }

    /// Returns the shard of a tenant with a rate limit.
    pub fn shard(&self, tenant: &Tenant) -> Option<TokenShard> {
        self.buckets.get(tenant).map(|bucket| bucket.shard)
    }

    /// Issues a token to a node, and up to `ahead` further ones if there are many. Returns the number issued.
    pub fn issue(&mut self, tenant: &Tenant, ahead: u32, now: TimeUs) -> f64 {
        self.refilled(tenant, now).map_or(0.0, |bucket| bucket.issue(f64::from(ahead), now))
    }

    /// Returns what is missing for one request, or `None` if nothing is, or if the other issuers had nothing a
    /// moment ago.
    pub fn need(&mut self, tenant: &Tenant, now: TimeUs) -> Option<TokenNeed> {
        let fleet = self.fleet;
        let bucket = self.refilled(tenant, now)?;
        let (shard, denied) = (bucket.shard, now < bucket.denied_until);
        let (missing, room) = self.buckets[tenant].missing(&self.rights[shard.index()], fleet, now);
        (missing > 0.0 && !denied).then_some(TokenNeed { missing, room })
    }

    /// Removes tokens for another issuer. Returns the number removed.
    pub fn yield_tokens(&mut self, tenant: &Tenant, need: TokenNeed, now: TimeUs) -> f64 {
        self.refilled(tenant, now).map_or(0.0, |bucket| bucket.yield_tokens(need.missing, need.room))
    }

    /// Adds tokens that another issuer has removed from its stock after a request at `requested_at`.
    pub fn receive_yielded(&mut self, tenant: &Tenant, tokens: f64, requested_at: TimeUs, now: TimeUs) {
        let fleet = self.fleet;
        let Some(bucket) = self.refilled(tenant, now) else { return };
        let shard = bucket.shard;
        let (_, room) = self.buckets[tenant].missing(&self.rights[shard.index()], fleet, now);
        if let Some(bucket) = self.buckets.get_mut(tenant) {
            bucket.receive_yielded(tokens, room, requested_at);
        }
    }

    /// Records that no other issuer has tokens, so that they are not asked again for a moment.
    pub fn record_denial(&mut self, tenant: &Tenant, now: TimeUs) {
        if let Some(bucket) = self.buckets.get_mut(tenant) {
            bucket.denied_until = now.plus_ms(MAX_DENIAL_MS);
        }
    }

    /// Returns the token of a request that was refused and has not run.
    pub fn return_token(&mut self, tenant: &Tenant, now: TimeUs) {
        if let Some(bucket) = self.refilled(tenant, now) {
            bucket.borrow(1.0, now);
        }
    }

    /// Returns the time until a caller that is refused now should return, in milliseconds.
    pub fn next_return_ms(&mut self, tenant: &Tenant, now: TimeUs) -> u64 {
        let fleet = self.fleet;
        let Some(bucket) = self.buckets.get_mut(tenant) else { return 0 };
        bucket.next_return_ms(&self.rights[bucket.shard.index()], fleet, now)
    }

    /// Returns a tenant's bucket after adding the tokens earned until `now`.
    fn refilled(&mut self, tenant: &Tenant, now: TimeUs) -> Option<&mut TokenBucket> {
        let bucket = self.buckets.get_mut(tenant)?;
        let rights = &mut self.rights[bucket.shard.index()];
        rights.advance(now);
        bucket.refill(rights, self.fleet, now);
        Some(bucket)
    }

    fn refill_all(&mut self, now: TimeUs) {
        self.rights.iter_mut().for_each(|rights| rights.advance(now));
        for bucket in self.buckets.values_mut() {
            bucket.refill(&self.rights[bucket.shard.index()], self.fleet, now);
        }
    }
}
