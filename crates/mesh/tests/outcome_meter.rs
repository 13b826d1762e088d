//! Outcomes of requests by route and second.

use fulmartrestle_core::TimeUs;
use fulmartrestle_mesh::{OutcomeMeter, RequestEnd, RequestRoute};
use googletest::prelude::*;

const OBJECTIVE_MS: u64 = 500;

struct Case {
    name: &'static str,
    /// Ends of requests and the milliseconds after which they came.
    ends: &'static [(RequestEnd, u64)],
    in_time: u64,
    late: u64,
    answered_ms: u64,
    unserved: &'static str,
}

const CASES: [Case; 3] = [
    Case {
        name: "answers up to the objective are in time",
        ends: &[(RequestEnd::Answered, 500), (RequestEnd::Answered, 501), (RequestEnd::Answered, 20)],
        in_time: 2,
        late: 1,
        answered_ms: 1_021,
        unserved: "",
    },
    Case {
        name: "reasons are counted apart and do not count as answers",
        ends: &[
            (RequestEnd::Unserved("shed"), 1),
            (RequestEnd::Unserved("deadline"), 900),
            (RequestEnd::Unserved("shed"), 1),
        ],
        in_time: 0,
        late: 0,
        answered_ms: 0,
        unserved: "deadline=1 shed=2",
    },
    Case { name: "no request", ends: &[], in_time: 0, late: 0, answered_ms: 0, unserved: "" },
];

#[gtest]
fn outcomes_are_counted_by_window() {
    let route = "r-1".parse().unwrap();
    for case in &CASES {
        let mut meter = OutcomeMeter::default();
        // The first call starts the first window, however late it comes.
        let started = TimeUs(47_000_000_000);
        assert_that!(meter.close_elapsed_window(started), none());
        for (end, took_ms) in case.ends {
            let route =
                RequestRoute { id: &route, priority: 1, objective_ms: Some(OBJECTIVE_MS), is_child_call: false };
            meter.record(route, *end, took_ms * 1_000);
        }
        assert_that!(meter.close_elapsed_window(started.plus_ms(999)), none());
        let (routes, window_ms) = meter.close_elapsed_window(started.plus_ms(1_200)).unwrap();
        assert_that!(window_ms, eq(1_200));
        let counts = routes.iter().map(|(_, outcomes)| (outcomes.in_time, outcomes.late, outcomes.answered_ms));
        let unserved = routes.iter().map(|(_, outcomes)| outcomes.unserved_text());
        assert_that!(
            counts.fold((0, 0, 0), |_, counts| counts),
            eq((case.in_time, case.late, case.answered_ms)),
            "{}",
            case.name
        );
        assert_that!(unserved.collect::<String>(), eq(case.unserved), "{}", case.name);
        let (routes, _) = meter.close_elapsed_window(started.plus_ms(2_400)).unwrap();
        assert_that!(routes, is_empty(), "{}", case.name);
    }
}
