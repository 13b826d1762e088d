//! Tokens of one tenant on one node.

use fulmartrestle_core::TimeUs;

use crate::leased_rights::LeasedRights;
use crate::token_pool::TenantLimit;
use crate::token_shard::TokenShard;

/// Time for which tokens from another node can be used, in milliseconds, from the moment at which they were
/// requested.
pub const BORROWED_VALID_MS: u64 = 500;

/// Length of the windows in which an issuer counts the tokens that it issued ahead of demand, in milliseconds. Those
/// of two windows count, so that each is counted for longer than it is valid.
const AHEAD_WINDOW_MS: u64 = 600;

/// Time constant of a tenant's pace on this node, in microseconds.
const PACE_US: f64 = 1e6;

/// Demand for which tokens are requested ahead, as a share of the demand per second, and their maximum number.
const AHEAD_SHARE: f64 = 0.25;
const MAX_AHEAD: f64 = 8.0;

/// Share of the remaining tokens that an issuer issues ahead of one node's demand.
const MAX_AHEAD_STOCK_SHARE: f64 = 0.125;

/// Bounds of Retry-After, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 50;
const MAX_RETRY_AFTER_MS: u64 = 3_000;

const US_PER_S: f64 = 1e6;
const MILLI: f64 = 1e3;

/// Number of nodes among which the rates are divided, and the extra capacity of all buckets together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetSize {
    /// Number of nodes; zero while it is not known.
    pub nodes: usize,
    /// Tokens by which the capacities may exceed the burst.
    pub extra_tokens: f64,
}

/// Tokens that were issued by this node under the rights that it holds, and tokens borrowed from other nodes.
#[derive(Debug)]
pub struct TokenBucket {
    /// Shard of the tenant.
    pub shard: TokenShard,
    rate_per_s: f64,
    burst: f64,
    issued: f64,
    refilled_at_node_us: u64,
    borrowed: f64,
    borrowed_until: TimeUs,
    ahead: [f64; 2],
    ahead_window_started: TimeUs,
    demand: f64,
    demand_at: TimeUs,
    /// Until when requests are refused without asking the issuer again.
    pub denied_until: TimeUs,
    next_return: TimeUs,
}

impl TokenBucket {
    /// Returns an empty bucket. Rights that were held before `rights` was read do not count.
    pub fn new(limit: &TenantLimit, rights: &LeasedRights) -> Self {
        Self {
            shard: TokenShard::of(&limit.tenant, limit.burst),
            rate_per_s: limit.rate.0 as f64 / MILLI,
            burst: limit.burst.0 as f64,
            issued: 0.0,
            refilled_at_node_us: rights.held_node_us(),
            borrowed: 0.0,
            borrowed_until: TimeUs::default(),
            ahead: [0.0; 2],
            ahead_window_started: TimeUs::default(),
            demand: 0.0,
            demand_at: TimeUs::default(),
            denied_until: TimeUs::default(),
            next_return: TimeUs::default(),
        }
    }

    /// Changes the rate and the burst.
    pub fn set_limit(&mut self, limit: &TenantLimit) {
        self.rate_per_s = limit.rate.0 as f64 / MILLI;
        self.burst = limit.burst.0 as f64;
    }

    /// Adds the tokens earned since the last call, up to the capacity under the rights that are held now.
    pub fn refill(&mut self, rights: &LeasedRights, fleet: FleetSize, now: TimeUs) {
        let held_us = rights.held_node_us() - self.refilled_at_node_us;
        self.refilled_at_node_us = rights.held_node_us();
        let capacity = self.capacity(rights.count(), fleet) - self.issued_ahead(now);
        let earned = self.rate_per_s * held_us as f64 / US_PER_S / fleet.nodes.max(1) as f64;
        self.issued = (self.issued + earned).min(capacity).max(0.0);
        if now >= self.borrowed_until {
            self.borrowed = 0.0;
        }
    }

    /// Consumes one token, borrowed ones first. Returns whether there was one.
    pub fn take_one(&mut self) -> bool {
        if self.borrowed + self.issued < 1.0 {
            return false;
        }
        let borrowed = self.borrowed.min(1.0);
        self.borrowed -= borrowed;
        self.issued -= 1.0 - borrowed;
        true
    }

    /// Counts a request, for the pace at which tokens are requested.
    pub fn record_demand(&mut self, now: TimeUs) {
        let elapsed_us = now.us_since(self.demand_at) as f64;
        self.demand = self.demand * (-elapsed_us / PACE_US).exp() + 1.0;
        self.demand_at = now;
    }

    /// Returns how many tokens beyond the next one should be requested.
    pub fn wanted_ahead(&self) -> f64 {
        (self.demand * AHEAD_SHARE).floor().min(MAX_AHEAD)
    }

    /// Issues one token, and up to `ahead` further ones if there are many. Returns the number issued.
    pub fn issue(&mut self, ahead: f64, now: TimeUs) -> f64 {
        if !self.take_one() {
            return 0.0;
        }
        let ahead = ahead.min((self.issued * MAX_AHEAD_STOCK_SHARE).floor()).max(0.0);
        self.issued -= ahead;
        self.record_ahead(ahead, now);
        1.0 + ahead
    }

    /// Removes tokens for another issuer: the `needed` ones as far as there are any, and beyond them up to `room`, but
    /// at most half of the stock. Returns the number removed.
    pub fn yield_tokens(&mut self, needed: f64, room: f64) -> f64 {
        let yielded = needed.min(self.issued).max(room.min(self.issued / 2.0));
        self.issued -= yielded;
        yielded
    }

    /// Returns the tokens that are missing for one request, and the room up to the capacity.
    pub fn missing(&self, rights: &LeasedRights, fleet: FleetSize, now: TimeUs) -> (f64, f64) {
        let held = self.borrowed + self.issued;
        let capacity = self.capacity(rights.count(), fleet) - self.issued_ahead(now);
        ((1.0 - held).max(0.0), (capacity - held).max(0.0))
    }

    /// Adds tokens that another node has removed from its stock after this node requested them at `requested_at`.
    pub fn borrow(&mut self, tokens: f64, requested_at: TimeUs) {
        self.borrowed += tokens;
        self.borrowed_until = self.borrowed_until.max(requested_at.plus_ms(BORROWED_VALID_MS));
    }

    /// Adds tokens that another issuer has removed from its stock: up to the capacity to the own stock, and the rest
    /// for immediate use.
    pub fn receive_yielded(&mut self, tokens: f64, room: f64, requested_at: TimeUs) {
        let stocked = tokens.min(room);
        self.issued += stocked;
        self.borrow(tokens - stocked, requested_at);
    }

    /// Returns the time until a caller should return, in milliseconds. Callers that are refused one after the other
    /// get times that are as far apart as the tokens that they will need.
    pub fn next_return_ms(&mut self, rights: &LeasedRights, fleet: FleetSize, now: TimeUs) -> u64 {
        let held_share = rights.count().max(1) as f64 / fleet.nodes.max(1) as f64;
        let us_per_token = US_PER_S / (self.rate_per_s * held_share).max(f64::MIN_POSITIVE);
        let first = now.plus_us(((1.0 - self.issued).max(0.0) * us_per_token) as u64);
        let last = now.plus_ms(MAX_RETRY_AFTER_MS);
        self.next_return = self.next_return.plus_us(us_per_token as u64).max(first).min(last);
        self.next_return.ms_since(now).max(MIN_RETRY_AFTER_MS)
    }

    /// Returns the number of tokens up to which `rights` rights earn more. A bucket for which less than one token is
    /// left is extended to one, within the extra capacity.
    fn capacity(&self, rights: usize, fleet: FleetSize) -> f64 {
        if fleet.nodes == 0 {
            return 0.0;
        }
        let held_share = rights as f64 / fleet.nodes.max(1) as f64;
        let capacity = self.burst * held_share;
        capacity.max((capacity + fleet.extra_tokens * held_share).min(1.0))
    }

    fn record_ahead(&mut self, tokens: f64, now: TimeUs) {
        let elapsed_ms = now.ms_since(self.ahead_window_started);
        if elapsed_ms >= AHEAD_WINDOW_MS {
            let previous = if elapsed_ms < 2 * AHEAD_WINDOW_MS { self.ahead[0] } else { 0.0 };
            self.ahead = [0.0, previous];
            self.ahead_window_started = now;
        }
        self.ahead[0] += tokens;
    }

    fn issued_ahead(&self, now: TimeUs) -> f64 {
        match now.ms_since(self.ahead_window_started) {
            elapsed_ms if elapsed_ms < AHEAD_WINDOW_MS => self.ahead[0] + self.ahead[1],
            elapsed_ms if elapsed_ms < 2 * AHEAD_WINDOW_MS => self.ahead[0],
            _ => 0.0,
        }
    }
}
