//! Tests of calls in flight, the response cache, claim keys and ids.

use fulmartrestle_claims::{
    BufferedResponse, ClaimId, ClaimKey, ClaimStream, InFlightCalls, JoinOutcome, ResponseCache, ResponseCacheSettings,
    WaiterId,
};
use fulmartrestle_core::{TimeUs, VmId};
use googletest::prelude::*;

fn key(number: u8) -> ClaimKey {
    ClaimKey([number; 16])
}

fn response(body_bytes: usize) -> BufferedResponse {
    BufferedResponse { status: 201, headers: Vec::new(), body: vec![7; body_bytes] }
}

#[gtest]
fn retries_join_the_call_in_flight() {
    let mut calls = InFlightCalls::new(2);
    expect_that!(calls.join(key(1), WaiterId(1)), eq(JoinOutcome::Started));
    expect_that!(calls.join(key(2), WaiterId(2)), eq(JoinOutcome::Started));
    expect_that!(calls.join(key(1), WaiterId(3)), eq(JoinOutcome::Joined));
    expect_that!(calls.join(key(1), WaiterId(4)), eq(JoinOutcome::Joined));
    expect_that!(calls.join(key(1), WaiterId(5)), eq(JoinOutcome::Full));
    calls.remove_waiter(key(1), WaiterId(3));
    expect_that!(calls.finish(key(1)), elements_are![eq(&WaiterId(4))]);
    expect_that!(calls.len(), eq(1));
    expect_that!(calls.join(key(1), WaiterId(6)), eq(JoinOutcome::Started));
}

struct CacheCase {
    name: &'static str,
    body_sizes: Vec<usize>,
    after_ms: u64,
    is_cached: Vec<bool>,
}

#[gtest]
fn responses_are_cached_within_limits() {
    let settings = ResponseCacheSettings { max_age_ms: 1_000, max_bytes: 1_000, max_response_bytes: 600 };
    let cases = [
        CacheCase { name: "fits", body_sizes: vec![100, 200], after_ms: 999, is_cached: vec![true, true] },
        CacheCase { name: "expired", body_sizes: vec![100], after_ms: 1_000, is_cached: vec![false] },
        CacheCase { name: "too large", body_sizes: vec![500, 100], after_ms: 1, is_cached: vec![false, true] },
        CacheCase {
            name: "oldest is evicted",
            body_sizes: vec![300, 300, 300],
            after_ms: 1,
            is_cached: vec![false, true, true],
        },
    ];
    for case in cases {
        let mut cache = ResponseCache::new(settings.clone());
        for (index, body) in case.body_sizes.iter().enumerate() {
            cache.insert(key(index as u8), response(*body), TimeUs::from_ms(5));
        }
        let now = TimeUs::from_ms(5 + case.after_ms);
        let is_cached: Vec<bool> =
            (0..case.body_sizes.len()).map(|index| cache.get(&key(index as u8), now).is_some()).collect();
        expect_that!(is_cached, eq(&case.is_cached), "{}", case.name);
        expect_that!(cache.size_bytes(), le(1_000), "{}", case.name);
    }
}

#[gtest]
fn the_first_response_is_kept() {
    let mut cache = ResponseCache::new(ResponseCacheSettings::default());
    expect_that!(cache.insert(key(1), response(1), TimeUs(0)), eq(true));
    expect_that!(cache.insert(key(1), response(2), TimeUs(0)), eq(false));
    expect_that!(cache.get(&key(1), TimeUs(0)), some(eq(&response(1))));
}

#[gtest]
fn keys_differ_where_any_part_differs() {
    let claim_key = |tenant: &str, route: &str, text: &str| {
        ClaimKey::new(&tenant.parse().expect("tenant"), &route.parse().expect("route"), text)
    };
    let base = claim_key("a", "bc", "d");
    for other in [claim_key("ab", "c", "d"), claim_key("a", "b", "cd"), claim_key("a", "bc", "e")] {
        expect_that!(other, not(eq(base)));
    }
    expect_that!(claim_key("a", "bc", "d"), eq(base));
}

#[gtest]
fn ids_round_trip_through_text() {
    let claim = ClaimId { holder: VmId(0xfe), number: 12 };
    expect_that!(claim.to_string().parse::<ClaimId>(), ok(eq(&claim)));
    expect_that!(key(9).to_string().parse::<ClaimKey>(), ok(eq(&key(9))));
    expect_that!("claims-3".parse::<ClaimStream>(), ok(eq(&ClaimStream(3))));
    expect_that!("claims-9".parse::<ClaimStream>(), err(anything()));
    expect_that!("12".parse::<ClaimId>(), err(anything()));
}
