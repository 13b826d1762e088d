//! Tests detection and blocking of requests that crash targets.

use fulmartrestle_core::{CallId, Fingerprint, TimeUs, VmId};
use fulmartrestle_policy::{CrashSettings, CrashTable, CrashVerdict};
use googletest::prelude::*;

const REQUEST: Fingerprint = Fingerprint(7);

#[gtest]
fn crashes_are_counted_once_and_for_a_limited_time() {
    struct Case {
        name: &'static str,
        /// Target, attempt and time in milliseconds of each reported connection loss.
        reports: Vec<(u64, u64, u64)>,
        at_ms: u64,
        verdict: CrashVerdict,
    }
    let blocked = |until_ms| CrashVerdict::Blocked { until: TimeUs::from_ms(until_ms) };
    let cases = [
        Case { name: "none", reports: vec![], at_ms: 0, verdict: CrashVerdict::Clear },
        Case { name: "one", reports: vec![(1, 1, 0)], at_ms: 59_999, verdict: CrashVerdict::Marked },
        Case { name: "one, long ago", reports: vec![(1, 1, 0)], at_ms: 60_000, verdict: CrashVerdict::Clear },
        Case {
            name: "one, reported twice",
            reports: vec![(1, 1, 0), (1, 1, 900)],
            at_ms: 1_000,
            verdict: CrashVerdict::Marked,
        },
        Case { name: "two targets", reports: vec![(1, 1, 0), (2, 2, 900)], at_ms: 1_000, verdict: blocked(300_900) },
        Case {
            name: "same target twice",
            reports: vec![(1, 1, 0), (1, 2, 600)],
            at_ms: 1_000,
            verdict: blocked(300_600),
        },
        Case {
            name: "block over",
            reports: vec![(1, 1, 0), (2, 2, 900)],
            at_ms: 300_900,
            verdict: CrashVerdict::Clear,
        },
        Case {
            name: "two far apart",
            reports: vec![(1, 1, 0), (2, 2, 61_000)],
            at_ms: 61_000,
            verdict: CrashVerdict::Marked,
        },
    ];
    for case in cases {
        let mut table = CrashTable::default();
        for (target, attempt, at_ms) in case.reports {
            table.record_connection_loss(REQUEST, VmId(target), CallId(attempt), TimeUs::from_ms(at_ms));
        }
        let verdict = table.check(REQUEST, TimeUs::from_ms(case.at_ms));
        expect_that!(verdict, eq(case.verdict), "{}", case.name);
    }
}

#[gtest]
fn marks_converge_in_any_order() {
    let mut tables: Vec<CrashTable> = (0..3).map(|_| CrashTable::default()).collect();
    let now = TimeUs::from_s(100);
    tables[0].record_connection_loss(REQUEST, VmId(1), CallId(1), now);
    tables[2].record_connection_loss(REQUEST, VmId(2), CallId(2), now);
    for round in 0..4 {
        for from in [2, 0, 1] {
            let marks = tables[from].take_marks(now.plus_ms(round));
            for table in &mut tables {
                for mark in &marks {
                    table.merge_mark(*mark, now.plus_ms(round));
                }
            }
        }
    }
    for table in &mut tables {
        let verdict = table.check(REQUEST, now);
        expect_that!(verdict, matches_pattern!(CrashVerdict::Blocked { .. }));
        expect_that!(table.take_marks(now), is_empty());
    }
}

#[gtest]
fn an_answer_clears_a_first_crash_but_not_a_block() {
    let mut table = CrashTable::default();
    let now = TimeUs::from_s(1);
    table.record_connection_loss(REQUEST, VmId(1), CallId(1), now);
    table.record_response(REQUEST);
    let verdict = table.check(REQUEST, now);
    expect_that!(verdict, eq(CrashVerdict::Clear));
    table.record_connection_loss(REQUEST, VmId(1), CallId(1), now);
    table.record_connection_loss(REQUEST, VmId(2), CallId(2), now);
    table.record_response(REQUEST);
    let verdict = table.check(REQUEST, now);
    expect_that!(verdict, matches_pattern!(CrashVerdict::Blocked { .. }));
}

#[gtest]
fn a_joining_node_receives_all_marks() {
    let now = TimeUs::from_s(1);
    let mut existing = CrashTable::default();
    existing.record_connection_loss(REQUEST, VmId(1), CallId(1), now);
    existing.record_connection_loss(REQUEST, VmId(2), CallId(2), now);
    existing.take_marks(now);
    let mut joining = CrashTable::default();
    for mark in existing.all_marks(now.plus_ms(50)) {
        joining.merge_mark(mark, now.plus_ms(60));
    }
    let verdict = joining.check(REQUEST, now.plus_ms(60));
    expect_that!(verdict, matches_pattern!(CrashVerdict::Blocked { .. }));
}

/// A request that was cleared or whose block had ended counted as the oldest one when it crashed targets again.
#[gtest]
fn blocked_request_is_evicted_before_older_ones() {
    let mut table = CrashTable::new(CrashSettings::default().max_records(10));
    let mut now = TimeUs::from_s(1);
    let crash = |table: &mut CrashTable, request, attempt, now| {
        table.record_connection_loss(Fingerprint(request), VmId(1), CallId(attempt), now);
    };
    crash(&mut table, REQUEST.0, 1, now);
    table.record_response(REQUEST);
    for attempt in 2..6 {
        // The second pair follows after the end of the first block.
        now = if attempt == 4 { now.plus_ms(300_001) } else { now };
        crash(&mut table, REQUEST.0, attempt, now);
    }
    for request in 100..109 {
        crash(&mut table, request, 1, now);
    }
    assert_that!(table.len(), eq(10));
    assert_that!(table.check(REQUEST, now), matches_pattern!(CrashVerdict::Blocked { .. }));
    crash(&mut table, 109, 1, now);
    assert_that!(table.check(REQUEST, now), eq(CrashVerdict::Clear));
}

#[gtest]
fn memory_is_bounded() {
    let mut table = CrashTable::new(CrashSettings::default().max_records(10));
    for request in 0..1_000 {
        table.record_connection_loss(Fingerprint(request), VmId(1), CallId(1), TimeUs::from_s(1));
        table.record_response(Fingerprint(request / 2));
    }
    expect_that!(table.len(), le(10));
    expect_that!(table.take_marks(TimeUs::from_s(1)).len(), le(10));
}
