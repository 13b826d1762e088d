//! Tests which routes count as ones of large responses.

use fulmartrestle_core::{RouteId, TimeUs};
use fulmartrestle_policy::LargeRoutes;
use googletest::prelude::*;

#[gtest]
fn a_route_is_large_for_a_minute_after_its_last_large_response() {
    let route = |name: &str| name.parse::<RouteId>().expect("a valid name");
    let mut routes = LargeRoutes::default();
    for at_s in [10, 30] {
        routes.record_large_response(&route("list"), TimeUs::from_s(at_s));
    }
    for (name, at_s, expected) in [("list", 31, true), ("list", 89, true), ("list", 90, false), ("view", 31, false)] {
        let is_large = routes.is_large(&route(name), TimeUs::from_s(at_s));
        expect_that!(is_large, eq(expected), "{name} at {at_s} s");
    }
}
