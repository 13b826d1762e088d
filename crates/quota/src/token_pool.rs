//! Rate limits split into equal slices, with tokens that nodes transfer between them. See
//! `docs/RATES.md`.
//!
//! Load pattern: a tenant's requests are distributed unevenly over many nodes, some of which are
//! partitioned from the others. Each node earns an equal slice of the rate. A node without tokens
//! requests some from other nodes, which deduct them from their own slice before they respond. A lost
//! response loses tokens, so the sum over all nodes never exceeds the tenant's rate and burst, whichever
//! nodes are partitioned.

use std::collections::HashMap;

use fulmartrestle_core::{Tenant, TimeUs};
use fulmartrestle_derive::value;

use crate::TenantRate;

const US_PER_S: f64 = 1e6;

/// Fraction of the slack passed to [`TokenPool::set_fleet_size`] that is added to the capacity of all slices
/// together. A slice with a capacity below one token could never admit a request by itself. The rest of the
/// slack covers requests in transit.
const EXTRA_CAPACITY_FRACTION: f64 = 0.6;

/// Time for which a request counts as recent demand of its tenant, in microseconds. A node with recent
/// demand keeps one token when it transfers tokens to others.
const RECENT_DEMAND_US: u64 = 500_000;

/// Bounds of Retry-After, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 50;
const MAX_RETRY_AFTER_MS: u64 = 3_000;

/// Decision of the token pool on one request.
#[value]
pub enum TokenDecision {
    /// The request is admitted: its token is consumed, or its tenant has no rate limit.
    Granted,
    /// This node has no token. Other nodes may have one.
    Insufficient {
        /// Time until this node will have earned a token itself, in milliseconds.
        retry_after_ms: u64,
    },
}

#[derive(Debug)]
struct TenantBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: TimeUs,
    last_request_at: Option<TimeUs>,
}

/// One node's tokens by tenant.
#[derive(Debug, Default)]
pub struct TokenPool {
    buckets: HashMap<Tenant, TenantBucket>,
    fleet_size: FleetSize,
}

/// Number of nodes among which the rates are split, and the extra capacity of all slices together.
#[derive(Clone, Copy, Debug, Default)]
struct FleetSize {
    nodes: usize,
    extra_tokens: f64,
}

impl TokenPool {
    /// Applies the rates of a new configuration. New tenants start without tokens, or with this node's
    /// slice of the burst when the whole fleet starts for the first time.
    pub fn set_rates(&mut self, rates: &[TenantRate], first_start: bool, now: TimeUs) {
        self.refill_all(now);
        let mut old_buckets = std::mem::take(&mut self.buckets);
        for rate in rates.iter().filter(|rate| rate.rate_per_s.0 > 0) {
            let mut bucket = old_buckets.remove(&rate.tenant).unwrap_or(TenantBucket {
                rate_per_s: 0.0,
                burst: 0.0,
                tokens: if first_start { f64::INFINITY } else { 0.0 },
                refilled_at: now,
                last_request_at: None,
            });
            bucket.rate_per_s = rate.rate_per_s.0 as f64;
            bucket.burst = rate.burst.0 as f64;
            bucket.tokens = bucket.tokens.min(bucket.capacity(self.fleet_size));
            self.buckets.insert(rate.tenant.clone(), bucket);
        }
    }

    /// Sets the number of nodes among which the rates are split, zero while this node has no slice, and the
    /// number of requests by which the whole fleet may exceed a tenant's rate and burst.
    pub fn set_fleet_size(&mut self, nodes: usize, slack_tokens: f64, now: TimeUs) {
        let fleet_size = FleetSize { nodes, extra_tokens: slack_tokens * EXTRA_CAPACITY_FRACTION };
        if nodes != self.fleet_size.nodes || fleet_size.extra_tokens != self.fleet_size.extra_tokens {
            self.refill_all(now);
            self.fleet_size = fleet_size;
            self.buckets.values_mut().for_each(|bucket| bucket.tokens = bucket.tokens.min(bucket.capacity(fleet_size)));
        }
    }

    /// Consumes a token for a request. Tenants without a rate limit need none.
    pub fn take(&mut self, tenant: &Tenant, now: TimeUs) -> TokenDecision {
        let fleet_size = self.fleet_size;
        let Some(bucket) = self.buckets.get_mut(tenant) else { return TokenDecision::Granted };
        bucket.refill(fleet_size, now);
        bucket.last_request_at = Some(now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return TokenDecision::Granted;
        }
        TokenDecision::Insufficient { retry_after_ms: bucket.retry_after_ms(fleet_size) }
    }

    /// Returns the token of a request that was refused and has not run.
    pub fn return_token(&mut self, tenant: &Tenant, now: TimeUs) {
        self.transfer_in(tenant, 1.0, now);
    }

    /// Removes tokens for another node and returns how many: up to `wanted`, less one token when this
    /// node has recent demand itself.
    pub fn transfer_out(&mut self, tenant: &Tenant, wanted: f64, now: TimeUs) -> f64 {
        let fleet_size = self.fleet_size;
        let Some(bucket) = self.buckets.get_mut(tenant) else { return 0.0 };
        bucket.refill(fleet_size, now);
        let in_demand =
            bucket.last_request_at.is_some_and(|requested_at| now.us_since(requested_at) < RECENT_DEMAND_US);
        let spare = if in_demand { bucket.tokens - 1.0 } else { bucket.tokens };
        let transferred = wanted.min(spare).max(0.0);
        bucket.tokens -= transferred;
        transferred
    }

    /// Adds tokens that another node has transferred, up to the capacity or two tokens, whichever is more.
    pub fn transfer_in(&mut self, tenant: &Tenant, transferred: f64, now: TimeUs) {
        let fleet_size = self.fleet_size;
        let Some(bucket) = self.buckets.get_mut(tenant) else { return };
        bucket.refill(fleet_size, now);
        let room = bucket.capacity(fleet_size).max(2.0);
        bucket.tokens = (bucket.tokens + transferred).min(bucket.tokens.max(room));
    }

    fn refill_all(&mut self, now: TimeUs) {
        let fleet_size = self.fleet_size;
        self.buckets.values_mut().for_each(|bucket| bucket.refill(fleet_size, now));
    }
}

impl TenantBucket {
    /// Returns the number of tokens up to which this node earns more.
    fn capacity(&self, fleet_size: FleetSize) -> f64 {
        let nodes = fleet_size.nodes.max(1) as f64;
        let slice = self.burst / nodes;
        slice.max((slice + fleet_size.extra_tokens / nodes).min(1.0))
    }

    fn refill(&mut self, fleet_size: FleetSize, now: TimeUs) {
        let elapsed_us = now.us_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        if fleet_size.nodes == 0 {
            return;
        }
        let earned = self.rate_per_s / fleet_size.nodes as f64 * elapsed_us as f64 / US_PER_S;
        let capacity = self.capacity(fleet_size);
        if self.tokens < capacity {
            self.tokens = (self.tokens + earned).min(capacity);
        }
    }

    fn retry_after_ms(&self, fleet_size: FleetSize) -> u64 {
        let per_ms = self.rate_per_s / fleet_size.nodes.max(1) as f64 / 1e3;
        let missing_ms = (1.0 - self.tokens).max(0.0) / per_ms.max(f64::MIN_POSITIVE);
        (missing_ms as u64).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }
}
