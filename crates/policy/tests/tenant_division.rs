//! Tests how admissions are divided among the tenants of a route.

use fulmartrestle_core::{RouteId, Tenant, TimeUs};
use fulmartrestle_policy::{ArrivedRequest, Rank, TenantDivision};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn route() -> RouteId {
    "lookup".parse().expect("a valid name")
}

fn tenant(number: usize) -> Tenant {
    format!("team-{number}").parse().expect("a valid name")
}

fn request<'r>(route: &'r RouteId, tenant: &'r Tenant) -> ArrivedRequest<'r> {
    ArrivedRequest { route, rank: Rank(6), tenant: Some(tenant) }
}

/// Guards against refusing tenants for the sake of one that sends many times more. The first tenant's rate is given,
/// nine others send 10 requests a second each.
#[gtest]
fn largest_tenant_is_limited_first() {
    struct Case {
        name: &'static str,
        first_per_s: f64,
        share: f64,
        /// Bounds of the admitted shares of the first tenant and of the others.
        first: (f64, f64),
        others: (f64, f64),
    }
    let cases = [
        Case { name: "no shortage", first_per_s: 100.0, share: 1.0, first: (1.0, 1.0), others: (1.0, 1.0) },
        Case { name: "ten times", first_per_s: 100.0, share: 0.63, first: (0.25, 0.4), others: (0.95, 1.0) },
        Case { name: "great shortage", first_per_s: 100.0, share: 0.2, first: (0.02, 0.06), others: (0.3, 0.42) },
        Case { name: "equal", first_per_s: 10.0, share: 0.5, first: (0.4, 0.6), others: (0.45, 0.55) },
    ];
    let route = route();
    let tenants: Vec<Tenant> = (0..10).map(tenant).collect();
    for case in cases {
        let mut division = TenantDivision::default();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let (mut offered, mut admitted) = ([0.0; 2], [0.0; 2]);
        for ms in 0..25_000 {
            // The first tenant starts late, so that its surge is part of the case.
            let first_per_s = if ms < 5_000 { 10.0 } else { case.first_per_s };
            for (number, tenant) in tenants.iter().enumerate() {
                let per_s = if number == 0 { first_per_s } else { 10.0 };
                if rng.random::<f64>() >= per_s / 1e3 {
                    continue;
                }
                let share = if ms < 5_000 { 1.0 } else { case.share };
                let share = division.admitted_share(request(&route, tenant), share, TimeUs::from_ms(ms));
                if ms >= 5_000 {
                    offered[number.min(1)] += 1.0;
                    admitted[number.min(1)] += f64::from(u8::from(rng.random::<f64>() < share));
                }
            }
        }
        let within = |group: usize, (min, max): (f64, f64)| (min..=max).contains(&(admitted[group] / offered[group]));
        expect_that!(within(0, case.first), eq(true), "first, {}: {admitted:?} of {offered:?}", case.name);
        expect_that!(within(1, case.others), eq(true), "others, {}: {admitted:?} of {offered:?}", case.name);
        let all = admitted.iter().sum::<f64>() / offered.iter().sum::<f64>();
        expect_that!(all, near(case.share, 0.02), "{}", case.name);
    }
}

/// Many tenants must not fill the memory, and those that are not told apart get the share of their route.
#[gtest]
fn memory_is_bounded() {
    let route = route();
    let mut division = TenantDivision::default();
    for number in 0..5_000 {
        division.admitted_share(request(&route, &tenant(number)), 0.5, TimeUs::from_ms(1));
    }
    assert_that!(division.measured_tenants(), le(1_024));
    assert_that!(division.admitted_share(request(&route, &tenant(4_999)), 0.5, TimeUs::from_ms(1)), near(0.5, 1e-9));
}
