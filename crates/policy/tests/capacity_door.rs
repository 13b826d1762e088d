//! Demand by route, and the shares that may enter.

use fulmartrestle_core::{CallId, RouteId, Service, TimeUs, VmId};
use fulmartrestle_policy::{CapacityDoor, DemandMeter, DemandReport, Origin, Rank, RouteDemand, RunningParents};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

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

/// A route that asks for next to nothing is not turned away with the others of its rank: that would free
/// next to nothing, and calls are not always taken for the right route's.
#[gtest]
fn routes_that_hardly_use_the_bottleneck_pass() {
    let mut door = CapacityDoor::default();
    let routes = vec![demand("browse", 6, 95), demand("view", 6, 5), demand("search", 4, 10)];
    door.report(VmId(0), Some(report("deep", 24, routes)), NOW);
    expect_that!(door.share(&route("view"), Rank(6), NOW), near(1.0, 1e-6));
    expect_that!(door.share(&route("search"), Rank(4), NOW), near(1.0, 1e-6));
    expect_that!(door.share(&route("browse"), Rank(6), NOW), near(9.0 / 95.0, 1e-6));
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
            meter.tick(10, 10, 5, TimeUs::from_ms(ms));
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
        meter.tick(10, 10, 50, TimeUs::from_ms(ms));
    }
    assert_that!(meter.report(&service("deep"), 10).capacity_milli, lt(calm));
}

/// Calls of a middle service held their slots for 500 ms while a service below was overloaded, and hold them
/// for 50 ms now that it is not: 100 calls a second use five slots, not fifty.
#[gtest]
fn demand_falls_at_once_when_calls_get_shorter() {
    let mut meter = DemandMeter::default();
    meter.held(&route("sync"), 500_000);
    let origin = Origin { route: route("browse"), rank: Rank(6), share_milli: 1_000 };
    for ms in 0..4_000 {
        if ms % 10 == 0 {
            meter.arrived(&route("sync"), &origin);
        }
        meter.tick(40, 5, 0, TimeUs::from_ms(ms));
    }
    let report = meter.report(&service("middle"), 40);
    assert_that!(f64::from(report.routes[0].slots_milli), near(5_000.0, 500.0));
}

#[gtest]
fn a_call_serves_the_request_that_it_expires_with() {
    let origin = |name: &str| Origin { route: route(name), rank: Rank(4), share_milli: 1_000 };
    let mut parents = RunningParents::default();
    for (call, deadline_ms, name) in [(1, 1_000, "browse"), (2, 1_100, "confirm")] {
        parents.insert(TimeUs::from_ms(deadline_ms), CallId(call), route(name), Some(origin(name)), NOW);
    }
    struct Case {
        name: &'static str,
        deadline_us: u64,
        origin: Option<&'static str>,
    }
    let cases = [
        Case { name: "a little earlier", deadline_us: 998_500, origin: Some("browse") },
        Case { name: "the other", deadline_us: 1_099_000, origin: Some("confirm") },
        Case { name: "one that outlives it", deadline_us: 1_050_000, origin: Some("confirm") },
        Case { name: "outlived by none", deadline_us: 1_200_000, origin: None },
    ];
    for case in cases {
        let found = parents.origin_of_call(&route("index"), TimeUs(case.deadline_us), 0.5, NOW);
        expect_that!(found, eq(&case.origin.map(origin)), "{}", case.name);
    }
    parents.remove(TimeUs::from_ms(1_100), CallId(2), NOW);
    assert_that!(parents.origin_of_call(&route("index"), TimeUs(1_099_000), 0.0, NOW), none());
}

/// Requests of two routes run beside each other; those of one make five calls each, with a deadline of
/// their own, those of the other make none and run for longer.
#[gtest]
fn calls_with_a_deadline_of_their_own_go_to_routes_that_make_such_calls() {
    let origin = |name: &str| Origin { route: route(name), rank: Rank(4), share_milli: 1_000 };
    let mut parents = RunningParents::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut running: Vec<(u64, u64, u64, &str)> = Vec::new();
    let mut counts = [0_u32; 2];
    for ms in 0..8_000 {
        let now = TimeUs::from_ms(20_000 + ms);
        running.retain(|(ends_ms, deadline_ms, call, _)| {
            let ended = *ends_ms <= ms;
            if ended {
                parents.remove(TimeUs::from_ms(*deadline_ms), CallId(*call), now);
            }
            !ended
        });
        for (name, starts_per_ms, runs_ms) in [("sync", 0.2, 100), ("view", 0.12, 170)] {
            if rng.random::<f64>() < starts_per_ms {
                let deadline_ms = 20_000 + ms + 2_000 + rng.random_range(0..500);
                let call = rng.random();
                parents.insert(TimeUs::from_ms(deadline_ms), CallId(call), route(name), Some(origin(name)), now);
                running.push((ms + runs_ms, deadline_ms, call, name));
            }
        }
        let calling: Vec<_> =
            running.iter().filter(|(ends, _, _, name)| *name == "sync" && (ends - ms) % 20 == 0).collect();
        for _ in calling {
            let deadline = now.plus_ms(700);
            let found = parents.origin_of_call(&route("index"), deadline, rng.random(), now);
            if ms > 4_000 {
                counts[usize::from(found != Some(origin("sync")))] += 1;
            }
        }
    }
    let wrong = f64::from(counts[1]) / f64::from(counts[0] + counts[1]);
    assert_that!(wrong, lt(0.15), "{counts:?}");
}
