//! Token pools that transfer tokens between nodes.

use fulmartrestle_core::{RatePerS, Tenant, TimeUs, Tokens};
use fulmartrestle_quota::{TenantRate, TokenDecision, TokenPool};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Tokens beyond rate and burst that the configured bounds allow.
const SLACK_TOKENS: f64 = 20.0;

/// Part of the slack that is added to the capacity of all slices together, in tokens.
const EXTRA_CAPACITY_TOKENS: f64 = 12.0;

const MICRO_PER_TOKEN: f64 = 1e6;

fn tenant() -> Tenant {
    "agency".parse().expect("a valid name")
}

fn rate(rate_per_s: u64, burst: u64) -> Vec<TenantRate> {
    vec![TenantRate { tenant: tenant(), rate_per_s: RatePerS(rate_per_s), burst: Tokens(burst) }]
}

/// A fleet of token pools. Responses that transfer tokens are lost with a given probability, and a partition
/// separates one half of the nodes from the other.
struct Fleet {
    pools: Vec<TokenPool>,
    rng: ChaCha8Rng,
    loss_probability: f64,
    partitioned: bool,
    granted_at: Vec<TimeUs>,
}

impl Fleet {
    fn start(nodes: usize, rates: &[TenantRate], seed: u64, loss_probability: f64) -> Self {
        let mut pools: Vec<TokenPool> = (0..nodes).map(|_| TokenPool::default()).collect();
        for pool in &mut pools {
            pool.set_fleet_size(nodes, SLACK_TOKENS, TimeUs(0));
            pool.set_rates(rates, true, TimeUs(0));
        }
        Self {
            pools,
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss_probability,
            partitioned: false,
            granted_at: Vec::new(),
        }
    }

    fn request(&mut self, node: usize, now: TimeUs) -> bool {
        if self.pools[node].take(&tenant(), now) != TokenDecision::Granted {
            for _ in 0..3 {
                self.request_tokens(node, now);
            }
            if self.pools[node].take(&tenant(), now) != TokenDecision::Granted {
                return false;
            }
        }
        self.granted_at.push(now);
        true
    }

    fn request_tokens(&mut self, node: usize, now: TimeUs) {
        let other = self.rng.random_range(0..self.pools.len());
        let half = self.pools.len() / 2;
        if other == node || (self.partitioned && (other < half) != (node < half)) {
            return;
        }
        // Rounded down, as in the wire encoding.
        let transferred =
            (self.pools[other].transfer_out(&tenant(), 1.0, now) * MICRO_PER_TOKEN).floor() / MICRO_PER_TOKEN;
        if self.rng.random::<f64>() >= self.loss_probability {
            self.pools[node].transfer_in(&tenant(), transferred, now);
        }
    }

    /// Returns the largest number of requests granted within any interval of `span_ms`.
    fn max_granted_within(&self, span_ms: u64) -> usize {
        let starts = self.granted_at.iter().enumerate();
        let in_span = |(first, start): (usize, &TimeUs)| {
            let end = start.plus_ms(span_ms);
            self.granted_at[first..].iter().take_while(|at| **at < end).count()
        };
        starts.map(in_span).max().unwrap_or(0)
    }
}

#[gtest]
fn no_tenant_exceeds_its_rate_and_burst_during_a_partition() {
    struct Case {
        name: &'static str,
        nodes: usize,
        rate_per_s: u64,
        burst: u64,
        loss_probability: f64,
    }
    let cases = [
        Case { name: "large tenant", nodes: 13, rate_per_s: 60, burst: 60, loss_probability: 0.0 },
        Case { name: "small tenant", nodes: 13, rate_per_s: 4, burst: 4, loss_probability: 0.0 },
        Case { name: "many nodes", nodes: 83, rate_per_s: 24, burst: 24, loss_probability: 0.0 },
        Case { name: "lost messages", nodes: 13, rate_per_s: 60, burst: 60, loss_probability: 0.3 },
    ];
    let span_ms = 5_000;
    for case in cases {
        for seed in 0..5 {
            let mut fleet = Fleet::start(case.nodes, &rate(case.rate_per_s, case.burst), seed, case.loss_probability);
            for ms in 0..12_000 {
                fleet.partitioned = (4_000..8_000).contains(&ms);
                let node = fleet.rng.random_range(0..case.nodes);
                fleet.request(node, TimeUs::from_ms(ms));
            }
            let allowed = case.rate_per_s as f64 * 5.0 + case.burst as f64 + EXTRA_CAPACITY_TOKENS;
            expect_that!(fleet.max_granted_within(span_ms) as f64, le(allowed + 1.0), "{} seed {seed}", case.name);
        }
    }
}

#[gtest]
fn demand_at_one_node_uses_the_tokens_of_other_nodes() {
    for nodes in [3, 13] {
        let mut fleet = Fleet::start(nodes, &rate(60, 60), 1, 0.0);
        let mut refused = 0;
        // Half of the tenant's rate, all sent to one node.
        for ms in (0..10_000).step_by(33) {
            refused += u32::from(!fleet.request(0, TimeUs::from_ms(ms)));
        }
        expect_that!(refused, le(10), "{nodes} nodes");
    }
}

#[gtest]
fn a_restarted_node_starts_without_tokens() {
    let mut pool = TokenPool::default();
    pool.set_fleet_size(1, SLACK_TOKENS, TimeUs(0));
    pool.set_rates(&rate(10, 10), false, TimeUs(0));
    assert_that!(
        pool.take(&tenant(), TimeUs(0)),
        matches_pattern!(TokenDecision::Insufficient { retry_after_ms: eq(100) })
    );
    assert_that!(pool.take(&tenant(), TimeUs::from_ms(150)), eq(TokenDecision::Granted));
}

#[gtest]
fn a_node_without_a_slice_earns_nothing() {
    let mut pool = TokenPool::default();
    pool.set_rates(&rate(10, 10), false, TimeUs(0));
    let later = TimeUs::from_s(100);
    assert_that!(pool.take(&tenant(), later), matches_pattern!(TokenDecision::Insufficient { .. }));
}

#[gtest]
fn tenants_without_a_limit_are_always_granted() {
    let mut pool = TokenPool::default();
    pool.set_rates(&rate(0, 0), false, TimeUs(0));
    assert_that!(pool.take(&tenant(), TimeUs(0)), eq(TokenDecision::Granted));
}
