//! The measuring functions on tables made by hand.

use fulmartrestle_demo::measurement::{
    Admission, RateLimit, TenantGoodput, check_conformance, count_rate_violations, recovery_ms, worst_tenant_share,
};
use googletest::prelude::*;

const LIMIT: RateLimit = RateLimit { rate_per_s: 10, burst: 2 };

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

struct RateCase {
    name: &'static str,
    /// Sent and started, in milliseconds.
    admissions_ms: &'static [(u64, u64)],
    late: u64,
}

#[test]
fn admissions_over_a_rate_are_found_and_late_starts_are_not_mistaken_for_them() {
    let cases = [
        RateCase { name: "none", admissions_ms: &[], late: 0 },
        RateCase { name: "a burst", admissions_ms: &[(0, 1), (0, 1)], late: 0 },
        RateCase { name: "over the burst", admissions_ms: &[(0, 1), (0, 1), (0, 1)], late: 1 },
        RateCase { name: "at the rate", admissions_ms: &[(0, 1), (0, 1), (100, 101), (200, 201)], late: 0 },
        RateCase {
            name: "queued and started together",
            admissions_ms: &[(0, 210), (0, 210), (0, 210), (0, 210)],
            late: 0,
        },
        RateCase { name: "queued too shortly", admissions_ms: &[(0, 190), (0, 190), (0, 190), (0, 190)], late: 1 },
        RateCase {
            name: "the later deadline gives way",
            admissions_ms: &[(0, 500), (0, 500), (0, 1), (0, 1)],
            late: 0,
        },
        RateCase { name: "saved up beyond the burst", admissions_ms: &[(900, 901), (900, 901), (900, 901)], late: 1 },
    ];
    for case in cases {
        let admission = |(sent, started): &(u64, u64)| Admission { sent_us: sent * MS, started_us: started * MS };
        let admissions = case.admissions_ms.iter().map(admission).collect();
        assert_that!(count_rate_violations(LIMIT, admissions), eq(case.late), "{}", case.name);
    }
}

#[test]
fn sends_over_the_rate_use_nothing_up() {
    let sent_us = [0, 0, 0, 50 * MS, 100 * MS, 100 * MS];
    assert_that!(
        check_conformance(LIMIT, &sent_us),
        elements_are![eq(&true), eq(&true), eq(&false), eq(&false), eq(&true), eq(&false)]
    );
}

struct FairnessCase {
    name: &'static str,
    /// Weight, demand and whole answers of each tenant.
    tenants: &'static [(f64, f64, f64)],
    worst: f64,
}

#[test]
fn the_worst_tenants_share_is_measured_against_a_max_min_division() {
    let cases = [
        FairnessCase { name: "nobody asks", tenants: &[(1.0, 0.0, 0.0)], worst: 1.0 },
        FairnessCase { name: "all served", tenants: &[(1.0, 10.0, 10.0), (3.0, 5.0, 5.0)], worst: 1.0 },
        FairnessCase { name: "equal want", tenants: &[(1.0, 10.0, 2.0), (1.0, 10.0, 6.0)], worst: 0.5 },
        FairnessCase { name: "by weight", tenants: &[(1.0, 10.0, 2.0), (3.0, 10.0, 6.0)], worst: 1.0 },
        FairnessCase { name: "small demand first", tenants: &[(1.0, 1.0, 0.5), (1.0, 10.0, 4.5)], worst: 0.5 },
        FairnessCase { name: "starved", tenants: &[(1.0, 10.0, 0.0), (1.0, 10.0, 8.0)], worst: 0.0 },
    ];
    for case in cases {
        let tenant = |(weight, demand, answered): &(f64, f64, f64)| TenantGoodput {
            weight: *weight,
            demand: *demand,
            answered: *answered,
        };
        let tenants: Vec<_> = case.tenants.iter().map(tenant).collect();
        assert_that!(worst_tenant_share(&tenants), approx_eq(case.worst), "{}", case.name);
    }
}

struct RecoveryCase {
    name: &'static str,
    /// Goodput per second in each second of a run of six.
    goodput: [u64; 6],
    recovery_ms: Option<u64>,
}

#[test]
fn recovery_is_the_time_to_the_first_good_second() {
    let cases = [
        RecoveryCase { name: "at once", goodput: [100, 100, 10, 100, 100, 100], recovery_ms: Some(0) },
        RecoveryCase { name: "a second later", goodput: [100, 100, 10, 20, 100, 100], recovery_ms: Some(1_000) },
        RecoveryCase { name: "never", goodput: [100, 100, 10, 20, 20, 20], recovery_ms: None },
    ];
    for case in cases {
        let seconds = case.goodput.iter().zip(0..);
        let ended_us: Vec<_> =
            seconds.flat_map(|(count, second)| (0..*count).map(move |n| second * S + n * S / count)).collect();
        assert_that!(recovery_ms(&ended_us, 100.0, 3 * S, 6 * S), eq(case.recovery_ms), "{}", case.name);
    }
}
