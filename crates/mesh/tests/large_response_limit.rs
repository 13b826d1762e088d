//! Tests the limit on large responses.

use bytes::Bytes;
use fulmartrestle_mesh::LargeResponseLimit;
use fulmartrestle_transport::full_body;
use googletest::prelude::*;
use http_body_util::BodyExt;

/// Responses that are allowed with the least memory.
const MIN_RESPONSES: usize = 16;

/// Guards against unread downloads that exhaust the memory, and against a limit that also hits small responses or is not
/// given back.
#[gtest]
#[tokio::test]
async fn large_responses_are_limited_until_they_end() {
    let limit = LargeResponseLimit::new(1);
    let body = || full_body(Bytes::from_static(b"body"));
    let mut held: Vec<_> = (0..MIN_RESPONSES).filter_map(|_| limit.hold(Some(100_000), body())).collect();
    assert_that!(held.len(), eq(MIN_RESPONSES));
    assert_that!(limit.hold(Some(100_000), body()).is_none(), eq(true), "announced");
    assert_that!(limit.hold(None, body()).is_none(), eq(true), "of unknown length");
    assert_that!(limit.hold(Some(64_000), body()).is_some(), eq(true), "small");
    // Dropped by a caller that left.
    held.pop();
    let large = limit.hold(None, body()).expect("room for one");
    // Read to its end.
    let bytes = large.collect().await.expect("a complete body").to_bytes();
    assert_that!(bytes.as_ref(), eq(b"body"));
    assert_that!(limit.hold(None, body()).is_some(), eq(true));
}
