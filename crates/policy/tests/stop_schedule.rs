//! Tests the order and the times of the steps of a planned stop.

use fulmartrestle_core::TimeUs;
use fulmartrestle_policy::StopSchedule;
use googletest::prelude::*;

const STOPPED: TimeUs = TimeUs::from_s(100);

fn steps(schedule: &StopSchedule) -> [TimeUs; 8] {
    let StopSchedule {
        started_at,
        leaving_at,
        gate_closes_at,
        callers_left_at,
        listener_closes_at,
        last_answers_at,
        end_at,
        exit_at,
    } = *schedule;
    [started_at, leaving_at, gate_closes_at, callers_left_at, listener_closes_at, last_answers_at, end_at, exit_at]
}

/// Guards against steps that come before the start of the stop or after its process is killed, also with grace periods that
/// are shorter than the usual steps.
#[gtest]
fn steps_come_in_order_within_the_grace_period() {
    struct Case {
        grace_ms: u64,
        /// Milliseconds from the start, in the order of `steps`.
        at_ms: [u64; 8],
    }
    let cases = [
        Case { grace_ms: 6_000, at_ms: [0, 1_500, 1_800, 2_600, 4_700, 5_400, 5_500, 5_750] },
        Case { grace_ms: 60_000, at_ms: [0, 1_500, 1_800, 2_600, 58_700, 59_400, 59_500, 59_750] },
        Case { grace_ms: 3_000, at_ms: [0, 400, 700, 1_500, 1_750, 2_400, 2_500, 2_750] },
        Case { grace_ms: 1_000, at_ms: [0, 0, 300, 500, 500, 700, 750, 875] },
        Case { grace_ms: 100, at_ms: [0, 0, 50, 50, 50, 70, 75, 87] },
        Case { grace_ms: 0, at_ms: [0; 8] },
    ];
    for Case { grace_ms, at_ms } in cases {
        let schedule = StopSchedule::new(grace_ms, STOPPED);
        let steps = steps(&schedule);
        expect_that!(steps, eq(at_ms.map(|ms| STOPPED.plus_ms(ms))), "{grace_ms} ms");
        expect_that!(steps.is_sorted(), eq(true), "{grace_ms} ms: {steps:?}");
        expect_that!(schedule.exit_at, le(STOPPED.plus_ms(grace_ms)), "{grace_ms} ms");
        expect_that!((schedule.times().callers_left_at, schedule.times().end_at), eq((steps[3], steps[6])));
    }
}
