//! Running calls that re-sends join, held answers, keys and ids.

use fulmartrestle_claims::{
    BufferedResponse, ClaimId, ClaimKey, ClaimStream, InFlightCalls, JoinOutcome, ResponseCache, ResponseCacheSettings,
    WaiterId,
};
use fulmartrestle_core::{TimeUs, VmId};
use googletest::prelude::*;

fn key(number: u8) -> ClaimKey {
    ClaimKey([number; 16])
}

fn answer(body_bytes: usize) -> BufferedResponse {
    BufferedResponse { status: 201, headers: Vec::new(), body: vec![7; body_bytes] }
}

#[gtest]
fn resends_join_the_running_call() {
    let mut table = InFlightCalls::new(2);
    expect_that!(table.join(key(1), WaiterId(1)), eq(JoinOutcome::Started));
    expect_that!(table.join(key(2), WaiterId(2)), eq(JoinOutcome::Started));
    expect_that!(table.join(key(1), WaiterId(3)), eq(JoinOutcome::Joined));
    expect_that!(table.join(key(1), WaiterId(4)), eq(JoinOutcome::Joined));
    expect_that!(table.join(key(1), WaiterId(5)), eq(JoinOutcome::Full));
    table.remove_waiter(key(1), WaiterId(3));
    expect_that!(table.finish(key(1)), elements_are![eq(&WaiterId(4))]);
    expect_that!(table.len(), eq(1));
    expect_that!(table.join(key(1), WaiterId(6)), eq(JoinOutcome::Started));
}

struct CacheCase {
    name: &'static str,
    bodies: Vec<usize>,
    after_ms: u64,
    held: Vec<bool>,
}

#[gtest]
fn answers_are_held_within_bounds() {
    let settings = ResponseCacheSettings { max_age_ms: 1_000, max_bytes: 1_000, max_response_bytes: 600 };
    let cases = [
        CacheCase { name: "fits", bodies: vec![100, 200], after_ms: 999, held: vec![true, true] },
        CacheCase { name: "too old", bodies: vec![100], after_ms: 1_000, held: vec![false] },
        CacheCase { name: "too large", bodies: vec![500, 100], after_ms: 1, held: vec![false, true] },
        CacheCase { name: "oldest goes", bodies: vec![300, 300, 300], after_ms: 1, held: vec![false, true, true] },
    ];
    for case in cases {
        let mut cache = ResponseCache::new(settings.clone());
        for (index, body) in case.bodies.iter().enumerate() {
            cache.insert(key(index as u8), answer(*body), TimeUs::from_ms(5));
        }
        let now = TimeUs::from_ms(5 + case.after_ms);
        let held: Vec<bool> = (0..case.bodies.len()).map(|index| cache.get(&key(index as u8), now).is_some()).collect();
        expect_that!(held, eq(&case.held), "{}", case.name);
        expect_that!(cache.size_bytes(), le(1_000), "{}", case.name);
    }
}

#[gtest]
fn the_first_answer_is_kept() {
    let mut cache = ResponseCache::new(ResponseCacheSettings::default());
    expect_that!(cache.insert(key(1), answer(1), TimeUs(0)), eq(true));
    expect_that!(cache.insert(key(1), answer(2), TimeUs(0)), eq(false));
    expect_that!(cache.get(&key(1), TimeUs(0)), some(eq(&answer(1))));
}

#[gtest]
fn keys_differ_where_any_part_differs() {
    let of = |tenant: &str, route: &str, text: &str| {
        ClaimKey::new(&tenant.parse().expect("tenant"), &route.parse().expect("route"), text)
    };
    let base = of("a", "bc", "d");
    for other in [of("ab", "c", "d"), of("a", "b", "cd"), of("a", "bc", "e")] {
        expect_that!(other, not(eq(base)));
    }
    expect_that!(of("a", "bc", "d"), eq(base));
}

#[gtest]
fn ids_are_read_back_from_text() {
    let claim = ClaimId { holder: VmId(0xfe), number: 12 };
    expect_that!(claim.to_string().parse::<ClaimId>(), ok(eq(&claim)));
    expect_that!(key(9).to_string().parse::<ClaimKey>(), ok(eq(&key(9))));
    expect_that!("claims-3".parse::<ClaimStream>(), ok(eq(&ClaimStream(3))));
    expect_that!("claims-9".parse::<ClaimStream>(), err(anything()));
    expect_that!("12".parse::<ClaimId>(), err(anything()));
}
