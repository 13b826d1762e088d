//! Demand by route, and the shares that may enter.

use fulmartrestle_core::{CallId, RouteId, Service, TimeUs, VmId};
use fulmartrestle_policy::{
    ArrivalMeter, CapacityAdmission, DemandMeter, DemandReport, Origin, Rank, RouteArrivals, RouteDemand,
    RunningParents,
};
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

/// What the requests of one route that come each second would use of a service in slots.
fn demand(name: &str, rank: u32, slots: u32) -> Demand {
    Demand { route: route(name), rank: Rank(rank), slots: f64::from(slots) }
}

#[derive(Clone)]
struct Demand {
    route: RouteId,
    rank: Rank,
    slots: f64,
}

struct Target {
    service: &'static str,
    capacity: u32,
    demand: Vec<Demand>,
}

/// Requests of each route that come each second.
const ASKED_PER_S: u32 = 100;

/// Returns a door that has learned, in a calm, what one request costs at each target. All of them report
/// through one entry that lets `admitted` of the requests in.
fn taught(targets: &[Target], admitted: f64) -> CapacityAdmission {
    let mut door = CapacityAdmission::default();
    for (node, target) in targets.iter().enumerate() {
        let used = |demand: &Demand| RouteDemand {
            route: demand.route.clone(),
            slots_milli: (demand.slots * admitted * 1e3) as u32,
        };
        let usage = DemandReport {
            service: service(target.service),
            capacity_milli: target.capacity * 1_000,
            routes: target.demand.iter().map(used).collect(),
        };
        let arrivals = |demand: &Demand| RouteArrivals {
            route: demand.route.clone(),
            rank: demand.rank,
            offered_milli: ASKED_PER_S * 1_000,
            admitted_milli: (f64::from(ASKED_PER_S) * admitted * 1e3) as u32,
        };
        // One node is the entry of all.
        let entry = if node == 0 { target.demand.iter().map(arrivals).collect() } else { Vec::new() };
        door.record_report(VmId(node as u64), Some(usage), entry, NOW);
    }
    door
}

#[gtest]
fn the_least_urgent_routes_are_refused_by_what_the_service_lacks() {
    struct Case {
        name: &'static str,
        targets: Vec<Target>,
        browse: f64,
        search: f64,
        confirm: f64,
    }
    let routes = |browse, search, confirm| {
        vec![demand("browse", 6, browse), demand("search", 4, search), demand("confirm", 2, confirm)]
    };
    let deep = |capacity, demand| Target { service: "deep", capacity, demand };
    let cases = [
        Case { name: "all fits", targets: vec![deep(100, routes(50, 30, 20))], browse: 1.0, search: 1.0, confirm: 1.0 },
        Case {
            name: "browsing halved",
            targets: vec![deep(100, routes(80, 40, 20))],
            browse: 0.5,
            search: 1.0,
            confirm: 1.0,
        },
        Case {
            name: "no room for browsing",
            targets: vec![deep(100, routes(80, 120, 40))],
            browse: 0.02,
            search: 0.5,
            confirm: 1.0,
        },
        Case {
            name: "two targets of one service are one capacity",
            targets: vec![deep(60, routes(80, 0, 0)), deep(60, routes(40, 0, 0))],
            browse: 1.0,
            search: 1.0,
            confirm: 1.0,
        },
        Case {
            name: "the weakest service of the chain decides",
            targets: vec![
                deep(100, routes(100, 0, 0)),
                Target { service: "middle", capacity: 25, demand: routes(100, 0, 0) },
            ],
            browse: 0.25,
            search: 1.0,
            confirm: 1.0,
        },
    ];
    for case in cases {
        // The shares that are right do not depend on how much is let in while they are found.
        for admitted in [1.0, 0.3] {
            let mut door = taught(&case.targets, admitted);
            let shares = [("browse", 6, case.browse), ("search", 4, case.search), ("confirm", 2, case.confirm)];
            for (name, rank, share) in shares {
                let found = door.admitted_share(&route(name), Rank(rank), NOW);
                expect_that!(found, near(share, 1e-3), "{}: {name}, {admitted}", case.name);
            }
        }
    }
}

/// A route that asks for next to nothing is not refused with the others of its rank: that would free next
/// to nothing, and calls are not always taken for the right route's.
#[gtest]
fn routes_that_hardly_use_the_bottleneck_pass() {
    let demand = vec![demand("browse", 6, 95), demand("view", 6, 5), demand("search", 4, 10)];
    let mut door = taught(&[Target { service: "deep", capacity: 24, demand }], 1.0);
    expect_that!(door.admitted_share(&route("view"), Rank(6), NOW), near(1.0, 1e-6));
    expect_that!(door.admitted_share(&route("search"), Rank(4), NOW), near(1.0, 1e-6));
    expect_that!(door.admitted_share(&route("browse"), Rank(6), NOW), near(9.0 / 95.0, 1e-3));
}

#[gtest]
fn reports_of_nodes_that_fell_silent_do_not_count() {
    let target = Target { service: "deep", capacity: 10, demand: vec![demand("browse", 6, 100)] };
    let mut door = taught(&[target], 1.0);
    assert_that!(door.admitted_share(&route("browse"), Rank(6), NOW), near(0.1, 1e-3));
    assert_that!(door.admitted_share(&route("browse"), Rank(6), NOW.plus_ms(3_000)), near(1.0, 1e-6));
}

/// The second deployment's surge: browsing and viewing have one rank, and only browsing uses the service
/// that is short. Calls of browsing that are taken for another route's must not shut that route out, nor the
/// more urgent ones, for as long as the surge lasts.
#[gtest]
fn calls_that_are_taken_for_the_wrong_route_do_not_shut_it_out() {
    struct Flow {
        name: &'static str,
        rank: u32,
        asked_per_s: f64,
        /// Slot seconds of one request.
        cost: f64,
        /// Share of browsing's use that is taken for this route's.
        mistaken: f64,
        /// Least share that must be let in once the surge has lasted for some seconds.
        least: f64,
    }
    const CAPACITY: f64 = 100.0;
    const STATUS_MS: u64 = 1_000;
    let flows = [
        Flow { name: "browse", rank: 518, asked_per_s: 620.0, cost: 0.17, mistaken: 0.0, least: 0.5 },
        Flow { name: "view", rank: 518, asked_per_s: 350.0, cost: 0.0, mistaken: 0.06, least: 0.95 },
        Flow { name: "verify", rank: 516, asked_per_s: 220.0, cost: 0.028, mistaken: 0.03, least: 0.95 },
        Flow { name: "confirm", rank: 514, asked_per_s: 320.0, cost: 0.085, mistaken: 0.1, least: 0.95 },
    ];
    let mut door = CapacityAdmission::default();
    let mut used = [0.0; 4];
    let mut shares = [1.0; 4];
    let mut total = 0.0;
    for step in 0..200 {
        let now = NOW.plus_ms(step * 100);
        // Requests are on their way for some time before they call.
        for (index, flow) in flows.iter().enumerate() {
            used[index] += (flow.asked_per_s * shares[index] * flow.cost - used[index]) * 0.25;
        }
        total = used.iter().sum();
        if step * 100 % STATUS_MS == 0 {
            let browse = used[0];
            let kept = 1.0 - flows.iter().map(|flow| flow.mistaken).sum::<f64>();
            let taken = |(flow, used): (&Flow, f64)| RouteDemand {
                route: route(flow.name),
                slots_milli: ((if flow.name == "browse" { used * kept } else { used + browse * flow.mistaken }) * 1e3)
                    as u32,
            };
            let usage = DemandReport {
                service: service("deep"),
                capacity_milli: (CAPACITY * 1e3) as u32,
                routes: flows.iter().zip(used).map(taken).collect(),
            };
            let arrivals = flows.iter().zip(shares).map(|(flow, share)| RouteArrivals {
                route: route(flow.name),
                rank: Rank(flow.rank),
                offered_milli: (flow.asked_per_s * 1e3) as u32,
                admitted_milli: (flow.asked_per_s * share * 1e3) as u32,
            });
            door.record_report(VmId(1), Some(usage), arrivals.collect(), now);
        }
        for (share, flow) in shares.iter_mut().zip(&flows) {
            *share = door.admitted_share(&route(flow.name), Rank(flow.rank), now);
        }
        // A short cut shuts viewing almost out, as the transient of a surge did.
        if (30..50).contains(&step) {
            shares[1] = 0.02;
        }
        if step >= 52 {
            // Browsing finds its share again within five seconds; nothing else may wait for that.
            let settled = |flow: &Flow| step >= 100 || flow.name != "browse";
            for (share, flow) in shares.iter().zip(&flows).filter(|(_, flow)| settled(flow)) {
                expect_that!(*share, ge(flow.least), "{} at step {step}", flow.name);
            }
        }
    }
    assert_that!(total, all!(ge(CAPACITY * 0.85), le(CAPACITY * 1.05)));
}

/// The first deployment's scale day: calls fail for eight seconds, so that requests make two calls instead of
/// ten; from then on they make all of them again, and the service is short by half. The door follows within
/// two seconds.
#[gtest]
fn the_door_follows_when_calls_stop_failing() {
    const CAPACITY: f64 = 30.0;
    const ASKED_PER_S: f64 = 180.0;
    let mut door = CapacityAdmission::default();
    let (mut share, mut used) = (1.0, 0.0);
    for step in 0..200_u64 {
        let now = NOW.plus_ms(step * 100);
        let failing = (60..140).contains(&step);
        let cost = if failing { 0.064 } else { 0.32 };
        used += (ASKED_PER_S * share * cost - used) * 0.25;
        if step.is_multiple_of(10) {
            let usage = DemandReport {
                service: service("deep"),
                capacity_milli: (CAPACITY * 1e3) as u32,
                routes: vec![RouteDemand { route: route("browse"), slots_milli: (used * 1e3) as u32 }],
            };
            let arrivals = RouteArrivals {
                route: route("browse"),
                rank: Rank(6),
                offered_milli: (ASKED_PER_S * 1e3) as u32,
                admitted_milli: (ASKED_PER_S * share * 1e3) as u32,
            };
            door.record_report(VmId(1), Some(usage), vec![arrivals], now);
        }
        share = door.admitted_share(&route("browse"), Rank(6), now);
        if step >= 165 {
            expect_that!(used, le(CAPACITY * 1.3), "step {step}, share {share}");
        }
        if (125..140).contains(&step) {
            expect_that!(share, ge(0.9), "step {step}");
        }
    }
}

/// A queue that a surge explains says nothing about the capacity: it is still there once the door has acted.
#[gtest]
fn a_surge_does_not_make_a_target_look_small() {
    let mut meter = DemandMeter::default();
    meter.record_hold_time(&route("index"), 20_000);
    let origin = Origin { route: route("browse"), rank: Rank(6) };
    let calm = meter.report(&service("deep"), 10).capacity_milli;
    for ms in 0..3_000 {
        meter.record_arrival(&route("index"), &origin);
        meter.close_elapsed_window(10, 10, 40, TimeUs::from_ms(ms));
    }
    assert_that!(f64::from(meter.report(&service("deep"), 10).capacity_milli), ge(f64::from(calm) * 0.85));
}

/// A surge of calls at a target of ten slots: 1,000 calls a second that hold a slot for 20 ms each ask for
/// 20 slots.
#[gtest]
fn what_is_asked_may_exceed_the_slots() {
    let mut meter = DemandMeter::default();
    meter.record_hold_time(&route("index"), 20_000);
    let origin = Origin { route: route("browse"), rank: Rank(6) };
    for ms in 0..5_000 {
        meter.record_arrival(&route("index"), &origin);
        meter.close_elapsed_window(10, 10, 5, TimeUs::from_ms(ms));
    }
    let report = meter.report(&service("deep"), 10);
    assert_that!(report.routes, len(eq(1)));
    expect_that!(f64::from(report.routes[0].slots_milli), near(20_000.0, 1_000.0));
}

/// A surge of 300 requests a second of which a tenth is let in is told as it is.
#[gtest]
fn an_entry_tells_how_many_came_and_how_many_were_let_in() {
    let mut meter = ArrivalMeter::default();
    for ms in 0..5_000_u64 {
        if ms % 10 < 3 {
            meter.record_request(&route("browse"), Rank(6), ms % 100 < 10);
        }
        meter.close_elapsed_window(TimeUs::from_ms(ms));
    }
    let report = meter.report();
    assert_that!(report, len(eq(1)));
    expect_that!(f64::from(report[0].offered_milli), near(300_000.0, 3_000.0));
    expect_that!(f64::from(report[0].admitted_milli), near(30_000.0, 1_500.0));
}

#[gtest]
fn waiting_calls_lower_the_capacity_that_is_reported() {
    let mut meter = DemandMeter::default();
    let calm = meter.report(&service("deep"), 10).capacity_milli;
    for ms in 0..2_000 {
        meter.close_elapsed_window(10, 10, 50, TimeUs::from_ms(ms));
    }
    assert_that!(meter.report(&service("deep"), 10).capacity_milli, lt(calm));
}

/// Calls of a middle service held their slots for 500 ms while a service below was overloaded, and hold them
/// for 50 ms now that it is not: 100 calls a second use five slots, not fifty.
#[gtest]
fn demand_falls_at_once_when_calls_get_shorter() {
    let mut meter = DemandMeter::default();
    meter.record_hold_time(&route("sync"), 500_000);
    let origin = Origin { route: route("browse"), rank: Rank(6) };
    for ms in 0..4_000 {
        if ms % 10 == 0 {
            meter.record_arrival(&route("sync"), &origin);
        }
        meter.close_elapsed_window(40, 5, 0, TimeUs::from_ms(ms));
    }
    let report = meter.report(&service("middle"), 40);
    assert_that!(f64::from(report.routes[0].slots_milli), near(5_000.0, 500.0));
}

#[gtest]
fn a_call_serves_the_request_that_it_expires_with() {
    let origin = |name: &str| Origin { route: route(name), rank: Rank(4) };
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
        let found = parents.infer_origin(&route("index"), TimeUs(case.deadline_us), 0.5, NOW);
        expect_that!(found, eq(&case.origin.map(origin)), "{}", case.name);
    }
    parents.remove(TimeUs::from_ms(1_100), CallId(2), NOW);
    assert_that!(parents.infer_origin(&route("index"), TimeUs(1_099_000), 0.0, NOW), none());
}

/// Requests of two routes run beside each other; those of one make five calls each, with a deadline of
/// their own, those of the other make none and run for longer.
#[gtest]
fn calls_with_a_deadline_of_their_own_go_to_routes_that_make_such_calls() {
    let origin = |name: &str| Origin { route: route(name), rank: Rank(4) };
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
            let found = parents.infer_origin(&route("index"), deadline, rng.random(), now);
            if ms > 4_000 {
                counts[usize::from(found != Some(origin("sync")))] += 1;
            }
        }
    }
    let wrong = f64::from(counts[1]) / f64::from(counts[0] + counts[1]);
    assert_that!(wrong, lt(0.15), "{counts:?}");
}
