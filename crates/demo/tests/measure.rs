//! Measurement functions on hand-made records.

use fulmartrestle_demo::measurement::{
    Admission, RateLimit, TenantGoodput, check_conformance, count_rate_violations, recovery_ms, worst_tenant_share,
};
use googletest::prelude::*;

const LIMIT: RateLimit = RateLimit { rate_per_s: 10, burst: 2 };

const US_PER_MS: u64 = 1_000;
const US_PER_S: u64 = 1_000_000;

struct RateCase {
    name: &'static str,
    /// Times of send and start of each request, in milliseconds.
    admissions_ms: &'static [(u64, u64)],
    violations: u64,
}

#[test]
fn rate_violations_are_counted_but_delayed_starts_are_not() {
    let cases = [
        RateCase { name: "none", admissions_ms: &[], violations: 0 },
        RateCase { name: "a burst", admissions_ms: &[(0, 1), (0, 1)], violations: 0 },
        RateCase { name: "one more than the burst", admissions_ms: &[(0, 1), (0, 1), (0, 1)], violations: 1 },
        RateCase { name: "at the rate limit", admissions_ms: &[(0, 1), (0, 1), (100, 101), (200, 201)], violations: 0 },
        RateCase {
            name: "queued and started together",
            admissions_ms: &[(0, 210), (0, 210), (0, 210), (0, 210)],
            violations: 0,
        },
        RateCase {
            name: "queued for too short a time",
            admissions_ms: &[(0, 190), (0, 190), (0, 190), (0, 190)],
            violations: 1,
        },
        RateCase {
            name: "later deadlines are served last",
            admissions_ms: &[(0, 500), (0, 500), (0, 1), (0, 1)],
            violations: 0,
        },
        RateCase {
            name: "tokens saved beyond the burst",
            admissions_ms: &[(900, 901), (900, 901), (900, 901)],
            violations: 1,
        },
    ];
    for case in cases {
        let admission =
            |(sent, started): &(u64, u64)| Admission { sent_us: sent * US_PER_MS, started_us: started * US_PER_MS };
        let admissions = case.admissions_ms.iter().map(admission).collect();
        assert_that!(count_rate_violations(LIMIT, admissions), eq(case.violations), "{}", case.name);
    }
}

#[test]
fn sends_over_the_rate_limit_consume_no_tokens() {
    let sent_us = [0, 0, 0, 50 * US_PER_MS, 100 * US_PER_MS, 100 * US_PER_MS];
    assert_that!(
        check_conformance(LIMIT, &sent_us),
        elements_are![eq(&true), eq(&true), eq(&false), eq(&false), eq(&true), eq(&false)]
    );
}

struct FairnessCase {
    name: &'static str,
    /// Weight, demand and number of complete responses of each tenant.
    tenants: &'static [(f64, f64, f64)],
    worst: f64,
}

#[test]
fn worst_tenant_share_is_relative_to_max_min_fair_shares() {
    let cases = [
        FairnessCase { name: "no demand", tenants: &[(1.0, 0.0, 0.0)], worst: 1.0 },
        FairnessCase { name: "all requests served", tenants: &[(1.0, 10.0, 10.0), (3.0, 5.0, 5.0)], worst: 1.0 },
        FairnessCase { name: "equal demand", tenants: &[(1.0, 10.0, 2.0), (1.0, 10.0, 6.0)], worst: 0.5 },
        FairnessCase { name: "by weight", tenants: &[(1.0, 10.0, 2.0), (3.0, 10.0, 6.0)], worst: 1.0 },
        FairnessCase {
            name: "small demand is filled first",
            tenants: &[(1.0, 1.0, 0.5), (1.0, 10.0, 4.5)],
            worst: 0.5,
        },
        FairnessCase { name: "starved", tenants: &[(1.0, 10.0, 0.0), (1.0, 10.0, 8.0)], worst: 0.0 },
    ];
    for case in cases {
        let tenant = |(weight, demand, completed): &(f64, f64, f64)| TenantGoodput {
            weight: *weight,
            demand: *demand,
            completed: *completed,
        };
        let tenants: Vec<_> = case.tenants.iter().map(tenant).collect();
        assert_that!(worst_tenant_share(&tenants), approx_eq(case.worst), "{}", case.name);
    }
}

struct RecoveryCase {
    name: &'static str,
    /// Complete responses in each second of a run of 6 s.
    goodput: [u64; 6],
    recovery_ms: Option<u64>,
}

#[test]
fn recovery_ends_at_the_first_second_with_recovered_goodput() {
    let cases = [
        RecoveryCase { name: "at once", goodput: [100, 100, 10, 100, 100, 100], recovery_ms: Some(0) },
        RecoveryCase { name: "a second later", goodput: [100, 100, 10, 20, 100, 100], recovery_ms: Some(1_000) },
        RecoveryCase { name: "never", goodput: [100, 100, 10, 20, 20, 20], recovery_ms: None },
    ];
    for case in cases {
        let seconds = case.goodput.iter().zip(0..);
        let ended_us: Vec<_> = seconds
            .flat_map(|(count, second)| (0..*count).map(move |n| second * US_PER_S + n * US_PER_S / count))
            .collect();
        assert_that!(recovery_ms(&ended_us, 100.0, 3 * US_PER_S, 6 * US_PER_S), eq(case.recovery_ms), "{}", case.name);
    }
}
