//! Zone shares sum to the tenant's rate and burst, and no share falls when the rate rises.

use fulmartrestle_core::{RatePerS, Tokens};
use fulmartrestle_quota::{TenantRate, ZoneShare};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

struct Case {
    name: &'static str,
    rate: u64,
    burst: u64,
    shares: [(u64, u64); 3],
}

fn rate(rate: u64, burst: u64) -> TenantRate {
    let tenant = "rover".parse().expect("valid tenant");
    TenantRate { tenant, rate_per_s: RatePerS(rate), burst: Tokens(burst) }
}

fn share(rate: &TenantRate, position: u64, zones: u64) -> ZoneShare {
    ZoneShare::for_zone(rate, position, zones)
}

#[gtest]
fn shares_are_split_by_largest_remainder() {
    let cases = [
        Case { name: "even", rate: 300, burst: 30, shares: [(100_000, 10), (100_000, 10), (100_000, 10)] },
        Case { name: "remainders", rate: 1, burst: 5, shares: [(334, 2), (333, 2), (333, 1)] },
        Case { name: "burst below zones", rate: 10, burst: 2, shares: [(5_000, 1), (5_000, 1), (0, 0)] },
        Case { name: "no burst", rate: 10, burst: 0, shares: [(0, 0), (0, 0), (0, 0)] },
    ];
    for case in cases {
        let found = [0, 1, 2].map(|position| share(&rate(case.rate, case.burst), position, 3));
        let found = found.map(|share| (share.rate_milli_per_s, share.burst));
        expect_that!(found, eq(case.shares), "{}", case.name);
    }
}

#[gtest]
fn shares_sum_to_the_whole_and_follow_the_rate() -> googletest::Result<()> {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config { cases: 500, ..Config::default() }, rng);
    let inputs = (0..1_000_000_u64, 0..100_000_u64, 1..9_u64, 0..1_000_u64);
    let result = runner.run(&inputs, |(per_s, burst, zones, more)| {
        let lower = rate(per_s, burst);
        let higher = rate(per_s + more, burst);
        let shares: Vec<ZoneShare> = (0..zones).map(|position| share(&lower, position, zones)).collect();
        let rate_sum: u64 = shares.iter().map(|share| share.rate_milli_per_s).sum();
        let burst_sum: u64 = shares.iter().map(|share| share.burst).sum();
        prop_assert_eq!(rate_sum, if burst == 0 { 0 } else { per_s * 1_000 });
        prop_assert_eq!(burst_sum, burst);
        for (position, found) in shares.iter().enumerate() {
            prop_assert!(share(&higher, position as u64, zones).is_at_least(*found));
        }
        Ok(())
    });
    verify_that!(result, ok(anything()))
}
