//! Bounds of hand-made steps.

use std::collections::BTreeMap;

use fulmartrestle_timeline::{Deployment, Losses, StepBound, TimeStep, Timeline, bounds, render_bounds};
use googletest::prelude::*;

/// Pairings need 320 ms at the departures, 8 calls of 40 ms; a search 64 ms; a view only its own service.
const DEPLOYMENT: &str = r#"{
    // Ten slots of departures do 12 s of work a second.
    "services": {
        "departures": { "targets": 2, "slots": 5, "speed": 1.2 },
        "itineraries": { "targets": 1, "slots": 100 },
    },
    "routes": {
        "pairing": { "priority": 0, "credit": 3, "late_credit": 1, "work_ms": { "departures": 320, "itineraries": 30 } },
        "search": { "priority": 1, "credit": 2, "late_credit": 1, "work_ms": { "departures": 64 } },
        "browse": { "priority": 2, "credit": 1, "work_ms": { "departures": 160, "itineraries": 15 } },
        "view": { "priority": 2, "credit": 1, "late_credit": 0.5, "work_ms": { "itineraries": 400 } },
    },
    "outages": [{ "service": "departures", "from_s": 5, "to_s": 7, "capacity_share": 0.5 }],
}"#;

fn step(second: u64, routes: &[(&str, Losses)]) -> TimeStep {
    let routes = routes.iter().map(|(route, losses)| (route.to_string(), losses.clone())).collect();
    TimeStep { unix_ms: 1_700_000_000_000 + second * 1_000, routes, ..TimeStep::default() }
}

fn served(in_time: u64, late: u64, unserved: &[(&str, u64)]) -> Losses {
    let unserved: BTreeMap<String, u64> = unserved.iter().map(|(reason, count)| (reason.to_string(), *count)).collect();
    Losses { requests: in_time + late + unserved.values().sum::<u64>(), in_time, late, unserved, ..Losses::default() }
}

fn bounds_of(steps: Vec<TimeStep>, step_s: u64) -> Vec<StepBound> {
    let timeline = Timeline { step_s, priorities: BTreeMap::new(), steps, suppressed_lines: 0 };
    bounds(&timeline, &Deployment::parse("deployment.jsonc", DEPLOYMENT).unwrap()).unwrap()
}

#[gtest]
fn the_most_urgent_requests_are_served_first() {
    struct Case {
        name: &'static str,
        second: u64,
        routes: Vec<(&'static str, Losses)>,
        offered: f64,
        earned: f64,
        bound: f64,
        binding: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "all fits",
            second: 0,
            routes: vec![("pairing", served(10, 0, &[])), ("search", served(50, 10, &[]))],
            offered: 150.0,
            earned: 140.0,
            bound: 150.0,
            binding: None,
        },
        Case {
            // 30 pairings take 9.6 s of 12 s, 37.5 searches the rest.
            name: "searches get what pairings leave",
            second: 0,
            routes: vec![
                ("pairing", served(20, 0, &[("target_error", 10)])),
                ("search", served(0, 20, &[("shed", 80)])),
                ("browse", served(0, 0, &[("shed", 100)])),
            ],
            offered: 390.0,
            earned: 80.0,
            bound: 165.0,
            binding: Some("departures"),
        },
        Case {
            name: "a view does not need the full service",
            second: 0,
            routes: vec![("pairing", served(40, 0, &[])), ("view", served(0, 10, &[("shed", 190)]))],
            offered: 320.0,
            earned: 125.0,
            bound: 312.5,
            binding: Some("departures"),
        },
        Case {
            name: "half of the capacity is out",
            second: 5,
            routes: vec![("search", served(100, 0, &[]))],
            offered: 200.0,
            earned: 200.0,
            bound: 187.5,
            binding: Some("departures"),
        },
        Case {
            name: "refusals on the callers' account are not offered",
            second: 0,
            routes: vec![("search", served(10, 0, &[("over_rate", 50), ("unauthorized", 5), ("no_route", 5)]))],
            offered: 20.0,
            earned: 20.0,
            bound: 20.0,
            binding: None,
        },
    ];
    for case in cases {
        let first = step(0, &[("search", served(1, 0, &[]))]);
        let steps = if case.second == 0 { Vec::new() } else { vec![first] };
        let bound = bounds_of([steps, vec![step(case.second, &case.routes)]].concat(), 1).pop().unwrap();
        expect_that!(bound.offered, near(case.offered, 1e-3), "{}", case.name);
        expect_that!(bound.earned, near(case.earned, 1e-3), "{}", case.name);
        expect_that!(bound.bound, near(case.bound, 1e-2), "{}", case.name);
        expect_that!(bound.binding.as_deref(), eq(case.binding), "{}", case.name);
    }
}

#[gtest]
fn a_longer_step_has_more_capacity() {
    let bound = bounds_of(vec![step(0, &[("search", served(0, 0, &[("shed", 1_000)]))])], 10).remove(0);
    // Eight seconds with 12 s of work and two with half of that.
    assert_that!(bound.bound, near(2.0 * (8.0 * 12.0 + 2.0 * 6.0) / 0.064, 5.0).or(near(2_000.0, 1e-3)));
    let text = render_bounds(&[bound]);
    for expected in ["of bound", "0.000", "all"] {
        assert_that!(text, contains_substring(expected));
    }
}

#[gtest]
fn large_deployments_do_not_overflow() {
    let text = DEPLOYMENT.replacen("\"targets\": 2, \"slots\": 5", "\"targets\": 100000, \"slots\": 100000", 1);
    let deployment = Deployment::parse("deployment.jsonc", &text).unwrap();
    assert_that!(deployment.capacity_s("departures", 0), near(1.2e10, 1.0));
}

#[gtest]
fn bad_deployments_are_named() {
    struct Case {
        change: (&'static str, &'static str),
        error: &'static str,
    }
    let cases = [
        Case {
            change: ("\"speed\": 1.2", "\"speed\": 0"),
            error: "services.departures.speed: expected a number above 0: 0",
        },
        Case { change: ("\"credit\": 3", "\"credit\": -3"), error: "routes.pairing.credit: expected 0 or more: -3" },
        Case {
            change: ("\"work_ms\": { \"departures\": 64 }", "\"work_ms\": { \"archive\": 64 }"),
            error: "routes.search.work_ms.archive: expected a service of this file: 64",
        },
        Case { change: ("\"to_s\": 7", "\"to_s\": 5"), error: "outages[0].to_s: expected a time after from_s: 5" },
        Case {
            change: ("\"service\": \"departures\"", "\"service\": \"archive\""),
            error: "outages[0].service: expected a service of this file: archive",
        },
        Case { change: ("\"slots\": 5", "\"slot\": 5"), error: "deployment.jsonc:4" },
    ];
    for case in cases {
        let text = DEPLOYMENT.replacen(case.change.0, case.change.1, 1);
        let error = Deployment::parse("deployment.jsonc", &text).map_err(|error| error.to_string());
        expect_that!(error, err(contains_substring(case.error)), "{:?}", case.change);
    }
    let timeline = Timeline {
        step_s: 1,
        priorities: BTreeMap::new(),
        steps: vec![step(0, &[("other", served(1, 0, &[]))])],
        suppressed_lines: 0,
    };
    let deployment = Deployment::parse("deployment.jsonc", DEPLOYMENT).unwrap();
    let error = bounds(&timeline, &deployment).map_err(|error| error.to_string());
    assert_that!(error, err(contains_substring("no line about a route of the deployment: browse, pairing")));
}
