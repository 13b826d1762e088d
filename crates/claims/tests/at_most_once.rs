//! Randomised runs in virtual time: no call runs twice, a refusal is true, and a refused call can run.

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
    Faults { loss: 20, doubling: 30, long_delay: 10, refused_by_target: 50, drift_ppm: 9_900, ..Faults::default() }
}

fn log_faults() -> LogFaults {
    LogFaults { unavailable: 20, lost_written: 50, lost_not_written: 30, lost_written_late: 30, outage_per_100_s: 3 }
}

fn everything() -> Faults {
    Faults { pause_per_100_s: 1, restart_per_100_s: 1, cut_per_100_s: 5, log: log_faults(), ..lossy() }
}

fn cases() -> Vec<Case> {
    let lost = LogFaults { lost_written: 200, lost_not_written: 100, lost_written_late: 100, ..LogFaults::default() };
    let outages = LogFaults { outage_per_100_s: 20, ..LogFaults::default() };
    let crashes = Faults { restart_per_100_s: 10, ..lossy() };
    let pauses = Faults { pause_per_100_s: 5, ..lossy() };
    vec![
        Case { name: "calm", seed: 1, size: 6, faults: Faults::default() },
        Case { name: "messages lost and doubled", seed: 2, size: 9, faults: lossy() },
        Case { name: "append answers lost", seed: 3, size: 9, faults: Faults { log: lost, ..lossy() } },
        Case { name: "log down", seed: 4, size: 9, faults: Faults { log: outages, ..lossy() } },
        Case { name: "crashes", seed: 5, size: 9, faults: crashes },
        Case { name: "pauses of minutes", seed: 6, size: 12, faults: pauses },
        Case { name: "zone cuts", seed: 7, size: 9, faults: Faults { cut_per_100_s: 20, ..lossy() } },
        Case { name: "everything, 3 nodes", seed: 8, size: 3, faults: everything() },
        Case { name: "everything, 50 nodes", seed: 9, size: 50, faults: everything() },
    ]
}

#[gtest]
fn calls_run_at_most_once_and_refusals_are_true() {
    let run_ms = env_or("FULMARTRESTLE_STEPS", 30_000);
    let shift = env_or("FULMARTRESTLE_SEED", 0);
    for case in cases() {
        let seed = case.seed + shift;
        let mut fleet = Fleet::new(seed, case.size, settings(), case.faults, RETENTION_MS);
        fleet.run_ms(run_ms);
        fleet.settle();
        let totals = &fleet.totals;
        let context = format!("{}: seed {seed}, {run_ms} ms, {totals:?}", case.name);
        expect_that!(totals.runs_twice, eq(0), "{context}");
        expect_that!(totals.ran_after_not_run, eq(0), "{context}");
        expect_that!(totals.second_verdicts, eq(0), "{context}");
        expect_that!(totals.stuck, eq(0), "{context}");
        expect_that!(totals.won, gt(100), "{context}");
        if env_or("FULMARTRESTLE_SHOW", 0) > 0 {
            println!("{context}");
        }
    }
}

#[gtest]
fn a_log_that_differs_between_zones_is_caught() {
    let faults = Faults { forked_log: true, ..lossy() };
    let mut fleet = Fleet::new(21, 9, settings(), faults, RETENTION_MS);
    fleet.run_ms(60_000);
    expect_that!(fleet.totals.runs_twice, gt(0));
}

#[gtest]
fn releases_that_never_arrive_are_caught() {
    let mut fleet = Fleet::new(23, 9, settings(), Faults { releases_lost: true, ..everything() }, RETENTION_MS);
    fleet.run_ms(30_000);
    fleet.settle();
    expect_that!(fleet.totals.stuck, gt(0));
}

#[gtest]
fn records_trimmed_within_the_window_of_callers_that_hide_ages_are_caught() {
    let faults = Faults { ages_hidden: true, restart_per_100_s: 10, ..lossy() };
    let mut fleet = Fleet::new(22, 9, settings(), faults, 3_000);
    fleet.run_ms(60_000);
    expect_that!(fleet.totals.runs_twice, gt(0));
}
