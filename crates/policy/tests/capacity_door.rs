//! Demand by route, and the shares that may enter.

use fulmartrestle_core::{CallId, RouteId, Service, TimeUs, VmId};
use fulmartrestle_policy::{CapacityDoor, DemandMeter, DemandReport, Origin, Rank, RouteDemand, RunningParents};
use googletest::prelude::*;

const NOW: TimeUs = TimeUs::from_ms(10_000);

fn route(name: &str) -> RouteId {
    name.parse().expect("a valid name")
}

fn service(name: &str) -> Service {
    name.parse().expect("a valid name")
}

fn demand(name: &str, rank: u32, slots: u32) -> RouteDemand {
    RouteDemand { route: route(name), rank: Rank(rank), slots_milli: slots * 1_000 }
}

fn report(name: &str, capacity: u32, routes: Vec<RouteDemand>) -> DemandReport {
    DemandReport { service: service(name), capacity_milli: capacity * 1_000, routes }
}

#[gtest]
fn the_least_urgent_routes_are_turned_away_by_what_the_service_lacks() {
    struct Case {
        name: &'static str,
        reports: Vec<DemandReport>,
        browse: f64,
        search: f64,
        confirm: f64,
    }
    let routes = |browse, search, confirm| {
        vec![demand("browse", 6, browse), demand("search", 4, search), demand("confirm", 2, confirm)]
    };
    let cases = [
        Case {
            name: "all fits",
            reports: vec![report("deep", 100, routes(50, 30, 20))],
            browse: 1.0,
            search: 1.0,
            confirm: 1.0,
        },
        Case {
            name: "browsing halved",
            reports: vec![report("deep", 100, routes(80, 40, 20))],
            browse: 0.5,
            search: 1.0,
            confirm: 1.0,
        },
        Case {
            name: "no room for browsing",
            reports: vec![report("deep", 100, routes(80, 120, 40))],
            browse: 0.02,
            search: 0.5,
            confirm: 1.0,
        },
        Case {
            name: "two targets of one service are one capacity",
            reports: vec![report("deep", 60, routes(80, 0, 0)), report("deep", 60, routes(40, 0, 0))],
            browse: 1.0,
            search: 1.0,
            confirm: 1.0,
        },
        Case {
            name: "the weakest service of the chain decides",
            reports: vec![report("deep", 100, routes(100, 0, 0)), report("middle", 25, routes(100, 0, 0))],
            browse: 0.25,
            search: 1.0,
            confirm: 1.0,
        },
    ];
    for case in cases {
        let mut door = CapacityDoor::default();
        for (node, report) in case.reports.into_iter().enumerate() {
            door.report(VmId(node as u64), Some(report), NOW);
        }
        let shares = [("browse", 6, case.browse), ("search", 4, case.search), ("confirm", 2, case.confirm)];
        for (name, rank, share) in shares {
            expect_that!(door.share(&route(name), Rank(rank), NOW), near(share, 1e-6), "{}: {name}", case.name);
        }
    }
}

#[gtest]
fn reports_of_nodes_that_fell_silent_do_not_count() {
    let mut door = CapacityDoor::default();
    door.report(VmId(0), Some(report("deep", 10, vec![demand("browse", 6, 100)])), NOW);
    assert_that!(door.share(&route("browse"), Rank(6), NOW), near(0.1, 1e-6));
    assert_that!(door.share(&route("browse"), Rank(6), NOW.plus_ms(3_000)), near(1.0, 1e-6));
}

/// A surge of calls at a target of ten slots: 1,000 calls a second that hold a slot for 20 ms each ask for
/// 20 slots, whether or not most of their requests are turned away at the door.
#[gtest]
fn demand_is_measured_through_the_door() {
    for share_milli in [1_000, 250] {
        let mut meter = DemandMeter::default();
        meter.held(&route("index"), 20_000);
        let origin = Origin { route: route("browse"), rank: Rank(6), share_milli };
        let calls_per_ms = f64::from(share_milli) / 1_000.0;
        let mut due = 0.0;
        for ms in 0..5_000 {
            due += calls_per_ms;
            while due >= 1.0 {
                due -= 1.0;
                meter.arrived(&route("index"), &origin);
            }
            meter.tick(10, 0, TimeUs::from_ms(ms));
        }
        let report = meter.report(&service("deep"), 10);
        assert_that!(report.routes, len(eq(1)));
        expect_that!(f64::from(report.routes[0].slots_milli), near(20_000.0, 1_000.0), "{share_milli}");
    }
}

#[gtest]
fn waiting_calls_lower_the_capacity_that_is_reported() {
    let mut meter = DemandMeter::default();
    let calm = meter.report(&service("deep"), 10).capacity_milli;
    for ms in 0..2_000 {
        meter.tick(10, 50, TimeUs::from_ms(ms));
    }
    assert_that!(meter.report(&service("deep"), 10).capacity_milli, lt(calm));
}

#[gtest]
fn a_call_serves_the_request_that_it_expires_with() {
    let origin = |name: &str| Origin { route: route(name), rank: Rank(4), share_milli: 1_000 };
    let mut parents = RunningParents::default();
    for (call, deadline_ms, name) in [(1, 1_000, "browse"), (2, 1_100, "confirm")] {
        parents.insert(TimeUs::from_ms(deadline_ms), CallId(call), route(name), Some(origin(name)));
    }
    struct Case {
        name: &'static str,
        deadline_us: u64,
        origin: Option<&'static str>,
    }
    let cases = [
        Case { name: "a little earlier", deadline_us: 998_500, origin: Some("browse") },
        Case { name: "the other", deadline_us: 1_099_000, origin: Some("confirm") },
        Case {
            name: "a deadline of its own: a request that outlives it",
            deadline_us: 1_050_000,
            origin: Some("confirm"),
        },
        Case { name: "outlived by none", deadline_us: 1_200_000, origin: None },
    ];
    for case in cases {
        let found = parents.origin_of_call(&route("index"), TimeUs(case.deadline_us), 0.9);
        expect_that!(found, eq(&case.origin.map(origin)), "{}", case.name);
    }
    parents.remove(TimeUs::from_ms(1_100), CallId(2));
    assert_that!(parents.origin_of_call(&route("index"), TimeUs(1_099_000), 0.0), none());
}

#[gtest]
fn calls_with_a_deadline_of_their_own_go_to_routes_that_make_such_calls() {
    let origin = |name: &str| Origin { route: route(name), rank: Rank(4), share_milli: 1_000 };
    let mut parents = RunningParents::default();
    parents.insert(TimeUs::from_ms(1_000), CallId(1), route("sync"), Some(origin("browse")));
    // A call that expires with its request shows that requests of this route make such calls.
    parents.origin_of_call(&route("index"), TimeUs::from_ms(1_000), 0.0);
    for call in 2..10 {
        parents.insert(TimeUs::from_ms(5_000 + call), CallId(call), route("view"), Some(origin("view")));
    }
    parents.insert(TimeUs::from_ms(6_000), CallId(99), route("sync"), Some(origin("confirm")));
    for draw in [0.0, 0.3, 0.6, 0.99] {
        let found = parents.origin_of_call(&route("index"), TimeUs::from_ms(2_000), draw);
        expect_that!(found, some(eq(&origin("confirm"))), "{draw}");
    }
}
