//! Tests which requests a node that stops passes on.

use fulmartrestle_core::{RouteId, Service, TimeUs};
use fulmartrestle_policy::{StopAdmission, StopTimes};
use googletest::prelude::*;

const STOPPED: TimeUs = TimeUs::from_s(100);
const LATE: TimeUs = TimeUs(u64::MAX);

fn route(name: &str) -> RouteId {
    name.parse().expect("a valid name")
}

fn service(name: &str) -> Service {
    name.parse().expect("a valid name")
}

/// Guards against large responses that are cut off because only the time to their heads was known, or because they may go on
/// after the deadline of their request.
#[gtest]
fn responses_that_take_long_to_forward_are_expected_to_end() {
    struct Case {
        name: &'static str,
        deadline_ms: u64,
        at_ms: u64,
        passed_on: bool,
    }
    let cases = [
        Case { name: "time enough", deadline_ms: 9_000, at_ms: 1_300, passed_on: true },
        Case { name: "callers still arrive", deadline_ms: 9_000, at_ms: 2_599, passed_on: true },
        Case { name: "no time", deadline_ms: 9_000, at_ms: 2_601, passed_on: false },
        Case { name: "goes on after its deadline", deadline_ms: 4_500, at_ms: 3_000, passed_on: false },
    ];
    let (book, trips) = (route("book"), service("trips"));
    let mut admission = StopAdmission::default();
    for at_s in [80, 90] {
        admission.record_streamed(&book, &trips, 2_600_000, TimeUs::from_s(at_s));
    }
    // Two windows later all responses are short, and the deadline limits them.
    let view = route("view");
    admission.record_streamed(&view, &trips, 2_600_000, TimeUs::from_s(20));
    for at_s in [51, 82] {
        admission.record_completion(&view, &trips, 2_600_000, TimeUs::from_s(at_s));
    }
    admission.start_stop(StopTimes { callers_left_at: STOPPED.plus_ms(2_600), end_at: STOPPED.plus_ms(5_500) });
    for Case { name, deadline_ms, at_ms, passed_on } in cases {
        let (deadline, now) = (STOPPED.plus_ms(deadline_ms), STOPPED.plus_ms(at_ms));
        expect_that!(admission.can_complete(&book, &trips, deadline, now), eq(passed_on), "{name}");
    }
    let (deadline, now) = (STOPPED.plus_ms(4_500), STOPPED.plus_ms(3_000));
    expect_that!(admission.can_complete(&view, &trips, deadline, now), eq(true));
}

/// Guards against requests that are passed on late in the grace period and cut off at its end, and against refusing those
/// that have time enough.
#[gtest]
fn only_requests_that_can_end_are_passed_on_by_a_node_that_stops() {
    struct Case {
        name: &'static str,
        /// Completions of the route `book` before the stop: when, in seconds, and how long they took, in milliseconds.
        completions: &'static [(u64, u64)],
        /// Route and service of the request.
        request: (&'static str, &'static str),
        deadline: TimeUs,
        /// Time from the stop until the request would be passed on, in milliseconds.
        at_ms: u64,
        passed_on: bool,
    }
    const STEADY: &[(u64, u64)] = &[(90, 900), (91, 1_000), (99, 950)];
    const OUTLIER: &[(u64, u64)] = &[(80, 3_000), (81, 100), (99, 100)];
    let usual = Case {
        name: "callers still arrive",
        completions: STEADY,
        request: ("book", "trips"),
        deadline: LATE,
        at_ms: 100,
        passed_on: true,
    };
    let cases = [
        Case { name: "time enough", at_ms: 3_800, ..usual },
        Case { name: "no time", at_ms: 3_801, passed_on: false, ..usual },
        Case { name: "an outlier while callers arrive", completions: OUTLIER, at_ms: 2_599, ..usual },
        Case { name: "an outlier once they have left", completions: OUTLIER, at_ms: 2_600, passed_on: false, ..usual },
        Case { name: "an outlier long ago", completions: &[(10, 3_000), (50, 100), (85, 100)], at_ms: 2_600, ..usual },
        Case { name: "longer than the grace period", completions: &[(90, 9_000)], passed_on: false, ..usual },
        Case { name: "ends by its deadline", at_ms: 4_000, deadline: STOPPED.plus_ms(5_300), ..usual },
        Case {
            name: "would be cut off before its deadline",
            at_ms: 4_000,
            deadline: STOPPED.plus_ms(5_301),
            passed_on: false,
            ..usual
        },
        Case { name: "another route of the service", request: ("view", "trips"), at_ms: 3_800, ..usual },
        Case { name: "nothing known while callers arrive", request: ("view", "front"), at_ms: 2_599, ..usual },
        Case { name: "nothing known later", request: ("view", "front"), at_ms: 2_600, passed_on: false, ..usual },
        usual,
    ];
    for case in cases {
        let mut admission = StopAdmission::default();
        for (at_s, took_ms) in case.completions {
            admission.record_completion(&route("book"), &service("trips"), took_ms * 1_000, TimeUs::from_s(*at_s));
        }
        let (wanted, by) = (route(case.request.0), service(case.request.1));
        expect_that!(admission.can_complete(&wanted, &by, LATE, STOPPED), eq(true), "{}: not stopping", case.name);
        admission.start_stop(StopTimes { callers_left_at: STOPPED.plus_ms(2_600), end_at: STOPPED.plus_ms(5_500) });
        let passed_on = admission.can_complete(&wanted, &by, case.deadline, STOPPED.plus_ms(case.at_ms));
        expect_that!(passed_on, eq(case.passed_on), "{}", case.name);
    }
}
