//! Tests when refused callers are told to return, and what they gain by it.

use fulmartrestle_core::{Fingerprint, RouteId, Tenant, TimeUs};
use fulmartrestle_policy::{ArrivedRequest, Rank, RefusedCallers};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: TimeUs = TimeUs::from_ms(10_000);
const SHARE: f64 = 0.4;

fn route() -> RouteId {
    "lookup".parse().expect("a valid name")
}

fn request(route: &RouteId, fingerprint: u64) -> ArrivedRequest<'_> {
    ArrivedRequest { fingerprint: Fingerprint(fingerprint), route, rank: Rank(6), tenant: None }
}

/// A place must help only the request that was refused, and only in its time; a caller that comes early must not keep it.
#[gtest]
fn only_callers_that_return_as_told_are_admitted_ahead() {
    struct Case {
        name: &'static str,
        /// Times of the returns in relation to the told time, in milliseconds, and whether each is admitted.
        returns: &'static [(i64, bool)],
        refused: &'static [u64],
    }
    let cases = [
        Case { name: "as told", returns: &[(0, true)], refused: &[1] },
        Case { name: "within the tolerance", returns: &[(-20, true)], refused: &[1] },
        Case { name: "later", returns: &[(2_500, true)], refused: &[1] },
        Case { name: "much later", returns: &[(3_500, false)], refused: &[1] },
        Case { name: "early", returns: &[(-200, false)], refused: &[1] },
        Case { name: "early, then as told", returns: &[(-200, false), (0, false)], refused: &[1] },
        Case { name: "twice", returns: &[(0, true), (10, false)], refused: &[1] },
        Case { name: "another request", returns: &[(0, false)], refused: &[2] },
        // The first new one of them could be an early return, the next ones can't.
        Case { name: "callers of one request", returns: &[(0, true), (1, true), (2, false)], refused: &[1, 1, 1] },
    ];
    let route = route();
    for case in cases {
        let mut callers = RefusedCallers::default();
        let mut retry_after_ms = 0;
        for refused in case.refused {
            callers.admit(request(&route, *refused), SHARE, 0.99, NOW);
            retry_after_ms = callers.refuse(request(&route, *refused), None, 0.5, NOW);
        }
        for (offset_ms, admitted) in case.returns {
            let now = NOW.plus_ms((retry_after_ms as i64 + offset_ms) as u64);
            expect_that!(callers.admit(request(&route, 1), SHARE, 0.99, now), eq(*admitted), "{}", case.name);
        }
    }
}

/// Guards against admitting more than the capacity while callers return, and against a gain by returning early.
#[gtest]
fn returns_take_the_place_of_new_requests() {
    struct Case {
        name: &'static str,
        share: f64,
        /// Part of the told time that refused callers wait.
        waited: f64,
        /// Bounds of the admitted share of returns and of new requests.
        returns: (f64, f64),
        new: (f64, f64),
    }
    let cases = [
        // More return than are admitted.
        Case { name: "as told, little admitted", share: 0.4, waited: 1.0, returns: (0.75, 1.0), new: (0.0, 0.1) },
        Case { name: "as told, much admitted", share: 0.7, waited: 1.0, returns: (0.95, 1.0), new: (0.5, 0.6) },
        Case { name: "early", share: 0.7, waited: 0.5, returns: (0.65, 0.75), new: (0.65, 0.75) },
    ];
    let route = route();
    for case in cases {
        let mut callers = RefusedCallers::default();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        // Times at which refused callers return, with their requests.
        let mut waiting: Vec<(u64, u64)> = Vec::new();
        let (mut new, mut new_admitted, mut returned, mut returns_admitted) = (0.0, 0.0, 0.0, 0.0);
        for ms in 0..20_000_u64 {
            let now = NOW.plus_ms(ms);
            let (due, later): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|(due_ms, _)| *due_ms <= ms);
            waiting = later;
            for (_, fingerprint) in due {
                let admitted = callers.admit(request(&route, fingerprint), case.share, rng.random(), now);
                returned += 1.0;
                returns_admitted += f64::from(u8::from(admitted));
                if !admitted {
                    callers.refuse(request(&route, fingerprint), None, rng.random(), now);
                }
            }
            if ms % 4 == 0 {
                let admitted = callers.admit(request(&route, ms), case.share, rng.random(), now);
                new += 1.0;
                new_admitted += f64::from(u8::from(admitted));
                if !admitted {
                    let retry_after_ms = callers.refuse(request(&route, ms), None, rng.random(), now);
                    waiting.push((ms + (retry_after_ms as f64 * case.waited).ceil() as u64, ms));
                }
            }
        }
        let within = |share: f64, (min, max): (f64, f64)| (min..=max).contains(&share);
        let name = case.name;
        expect_that!((new_admitted + returns_admitted) / (new + returned), near(case.share, 0.02), "{name}");
        expect_that!(within(returns_admitted / returned, case.returns), eq(true), "{name}");
        expect_that!(within(new_admitted / new, case.new), eq(true), "{name}");
    }
}

/// Guards against a flood of returns while next to nothing is admitted: each tenant alone takes little in advance.
#[gtest]
fn returns_of_many_tenants_stay_within_the_share() {
    const RETURNS: u64 = 500;
    let route = route();
    let tenants: Vec<Tenant> = (0..100).map(|number| format!("team-{number}").parse().expect("a valid name")).collect();
    let request = |number: u64| {
        let tenant = Some(&tenants[number as usize % tenants.len()]);
        ArrivedRequest { fingerprint: Fingerprint(number), route: &route, rank: Rank(6), tenant }
    };
    let mut callers = RefusedCallers::default();
    for number in 0..RETURNS {
        callers.admit(request(number), 0.02, 0.99, NOW);
        callers.refuse(request(number), None, 0.5, NOW);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let returned_at = NOW.plus_ms(2_000);
    let admitted =
        (0..RETURNS).filter(|number| callers.admit(request(*number), 0.02, rng.random(), returned_at)).count();
    // Ten are the share of all.
    assert_that!(admitted, all!(ge(15), le(45)));
}

/// A burst of refused callers must not return as a burst, and must return sooner when the capacity does.
#[gtest]
fn told_times_follow_the_share_and_are_spread() {
    struct Case {
        name: &'static str,
        /// Admitted shares in steps of 100 ms, and bounds of the told times in milliseconds.
        shares: &'static [f64],
        wait_limit_ms: Option<u64>,
        told_ms: (u64, u64),
    }
    let cases = [
        Case { name: "hardly any", shares: &[0.02; 5], wait_limit_ms: None, told_ms: (980, 2_000) },
        Case { name: "most", shares: &[0.9; 5], wait_limit_ms: None, told_ms: (300, 600) },
        Case { name: "rising", shares: &[0.1, 0.2, 0.3, 0.4, 0.5], wait_limit_ms: None, told_ms: (300, 700) },
        Case { name: "falling", shares: &[0.5, 0.4, 0.3, 0.2, 0.1], wait_limit_ms: None, told_ms: (900, 2_000) },
        Case { name: "little time", shares: &[0.02; 5], wait_limit_ms: Some(800), told_ms: (400, 800) },
        Case { name: "hardly any time", shares: &[0.02; 5], wait_limit_ms: Some(50), told_ms: (300, 300) },
    ];
    let route = route();
    for case in cases {
        let mut callers = RefusedCallers::default();
        let mut now = NOW;
        for share in case.shares {
            callers.admit(request(&route, 0), *share, 0.99, now);
            now = now.plus_ms(100);
        }
        let told: Vec<u64> = (0..100)
            .map(|draw| callers.refuse(request(&route, draw), case.wait_limit_ms, draw as f64 / 100.0, now))
            .collect();
        let (min_ms, max_ms) = case.told_ms;
        expect_that!(told, each(all!(ge(&min_ms), le(&max_ms))), "{}", case.name);
        expect_that!(told[99] - told[0], ge((max_ms - min_ms) * 4 / 5), "{}", case.name);
    }
}

/// A flood of refused callers must not fill the memory, be they many requests or the same one.
#[gtest]
fn memory_is_bounded() {
    let route = route();
    for (name, requests, max_places) in [("many requests", u64::MAX, 4_096), ("one request", 1, 64)] {
        let mut callers = RefusedCallers::default();
        for refused in 0..20_000 {
            callers.refuse(request(&route, refused % requests), None, 0.5, NOW);
        }
        expect_that!(callers.remembered_places(), le(max_places), "{name}");
        callers.refuse(request(&route, 0), None, 0.5, NOW.plus_ms(60_000));
        expect_that!(callers.remembered_places(), eq(1), "{name}");
    }
}
