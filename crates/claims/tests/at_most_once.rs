//! Randomised simulations in virtual time that check three properties: no call runs twice, a call
//! reported as not run has not run, and such a call can run when it is sent again.

mod support;

use fulmartrestle_claims::ClaimSettings;
use googletest::prelude::*;
use support::{Faults, Fleet, LogFaults, env_or};

const RETENTION_MS: u64 = 90_000;

struct Case {
    name: &'static str,
    seed: u64,
    size: usize,
    faults: Faults,
}

fn settings() -> ClaimSettings {
    ClaimSettings { window_ms: 25_000, retention_ms: RETENTION_MS, ..ClaimSettings::default() }
}

fn lossy() -> Faults {
    Faults { loss: 20, duplication: 30, long_delay: 10, refused_by_target: 50, drift_ppm: 9_900, ..Faults::default() }
}

fn log_faults() -> LogFaults {
    LogFaults {
        unavailable: 20,
        response_lost_written: 50,
        response_lost_not_written: 30,
        response_lost_written_late: 30,
        outage_per_100_s: 3,
    }
}

fn all_faults() -> Faults {
    Faults { pause_per_100_s: 1, restart_per_100_s: 1, partition_per_100_s: 5, log: log_faults(), ..lossy() }
}

fn cases() -> Vec<Case> {
    let lost_responses = LogFaults {
        response_lost_written: 200,
        response_lost_not_written: 100,
        response_lost_written_late: 100,
        ..LogFaults::default()
    };
    let outages = LogFaults { outage_per_100_s: 20, ..LogFaults::default() };
    let crashes = Faults { restart_per_100_s: 10, ..lossy() };
    let pauses = Faults { pause_per_100_s: 5, ..lossy() };
    vec![
        Case { name: "no faults", seed: 1, size: 6, faults: Faults::default() },
        Case { name: "messages lost and duplicated", seed: 2, size: 9, faults: lossy() },
        Case { name: "append responses lost", seed: 3, size: 9, faults: Faults { log: lost_responses, ..lossy() } },
        Case { name: "log outages", seed: 4, size: 9, faults: Faults { log: outages, ..lossy() } },
        Case { name: "crashes", seed: 5, size: 9, faults: crashes },
        Case { name: "pauses of minutes", seed: 6, size: 12, faults: pauses },
        Case { name: "zone partitions", seed: 7, size: 9, faults: Faults { partition_per_100_s: 20, ..lossy() } },
        Case { name: "all faults, 3 nodes", seed: 8, size: 3, faults: all_faults() },
        Case { name: "all faults, 50 nodes", seed: 9, size: 50, faults: all_faults() },
    ]
}

#[gtest]
fn calls_run_at_most_once_and_refused_calls_did_not_run() {
    let run_ms = env_or("FULMARTRESTLE_STEPS", 30_000);
    let seed_offset = env_or("FULMARTRESTLE_SEED", 0);
    for case in cases() {
        let seed = case.seed + seed_offset;
        let mut fleet = Fleet::new(seed, case.size, settings(), case.faults, RETENTION_MS);
        fleet.run_ms(run_ms);
        fleet.end_faults_and_settle();
        let totals = &fleet.totals;
        let context = format!("{}: seed {seed}, {run_ms} ms, {totals:?}", case.name);
        expect_that!(totals.ran_twice, eq(0), "{context}");
        expect_that!(totals.ran_after_not_run, eq(0), "{context}");
        expect_that!(totals.duplicate_decisions, eq(0), "{context}");
        expect_that!(totals.stuck, eq(0), "{context}");
        expect_that!(totals.won, gt(100), "{context}");
        if env_or("FULMARTRESTLE_SHOW", 0) > 0 {
            println!("{context}");
        }
    }
}

#[gtest]
fn a_log_that_differs_between_zones_is_detected() {
    let faults = Faults { forked_log: true, ..lossy() };
    let mut fleet = Fleet::new(21, 9, settings(), faults, RETENTION_MS);
    fleet.run_ms(60_000);
    expect_that!(fleet.totals.ran_twice, gt(0));
}

#[gtest]
fn releases_that_never_arrive_are_detected() {
    let mut fleet = Fleet::new(23, 9, settings(), Faults { drop_releases: true, ..all_faults() }, RETENTION_MS);
    fleet.run_ms(30_000);
    fleet.end_faults_and_settle();
    expect_that!(fleet.totals.stuck, gt(0));
}

#[gtest]
fn records_trimmed_within_the_window_are_detected_when_callers_hide_key_ages() {
    let faults = Faults { hide_key_ages: true, restart_per_100_s: 10, ..lossy() };
    let mut fleet = Fleet::new(22, 9, settings(), faults, 3_000);
    fleet.run_ms(60_000);
    expect_that!(fleet.totals.ran_twice, gt(0));
}
