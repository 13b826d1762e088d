//! Tests of burn rate windows, causes, memory bounds and merging.

use fulmartrestle_burn::{
    BurnReport, BurnSettings, BurnStatus, BurnSummary, BurnTable, CallOutcome, CallSample, MissingNode, Objective,
    ShareMillionths,
};
use fulmartrestle_core::VmId;
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const HOUR_MS: u64 = 3_600_000;
const START_MS: u64 = 1_000 * HOUR_MS;
const GOOD: CallOutcome = CallOutcome::Complete { latency_us: 1_000 };

fn sample(route: &str, tenant: &str, outcome: CallOutcome) -> CallSample {
    let parse = |text: &str| text.parse().unwrap_or_else(|error| panic!("{error}"));
    let tenant = tenant.parse().unwrap_or_else(|error| panic!("{error}"));
    CallSample { route: parse(route), tenant: Some(tenant), outcome }
}

fn table(settings: &BurnSettings) -> BurnTable {
    let mut table = BurnTable::new(settings.clone(), START_MS);
    let route = "pairing".parse().unwrap_or_else(|error| panic!("{error}"));
    table.set_objectives([Objective { route, share: ShareMillionths(990_000), within_ms: 100 }]);
    table
}

fn report(table: &BurnTable, wall_ms: u64) -> BurnReport {
    BurnReport::new(&table.summary(VmId(1), wall_ms), Vec::new(), &BurnSettings::default())
}

struct OutcomeCase {
    name: &'static str,
    outcome: CallOutcome,
    burn_rate: f64,
}

#[gtest]
fn each_outcome_has_the_expected_burn_rate() {
    // One of two calls has this outcome, and the objective allows 1 % bad calls.
    let cases = [
        OutcomeCase {
            name: "complete in time",
            outcome: CallOutcome::Complete { latency_us: 100_000 },
            burn_rate: 0.0,
        },
        OutcomeCase {
            name: "complete but slow",
            outcome: CallOutcome::Complete { latency_us: 100_001 },
            burn_rate: 50.0,
        },
        OutcomeCase { name: "late", outcome: CallOutcome::Late, burn_rate: 50.0 },
        OutcomeCase { name: "shed", outcome: CallOutcome::Shed, burn_rate: 50.0 },
        OutcomeCase { name: "failed", outcome: CallOutcome::Failed, burn_rate: 50.0 },
        OutcomeCase { name: "not run", outcome: CallOutcome::NotRun, burn_rate: 50.0 },
        OutcomeCase { name: "over rate is outside the budget", outcome: CallOutcome::OverRate, burn_rate: 0.0 },
    ];
    for case in cases {
        let mut table = table(&BurnSettings::default());
        table.record(&sample("pairing", "a", GOOD), START_MS);
        table.record(&sample("pairing", "a", case.outcome), START_MS);
        let rate = report(&table, START_MS).routes[0].burn_5_min;
        expect_that!(rate, near(case.burn_rate, 1e-6), "{}", case.name);
    }
}

struct WindowCase {
    name: &'static str,
    /// Minutes with bad calls, which are followed by `good_min` minutes without.
    bad_min: u64,
    good_min: u64,
    bad_per_minute: u64,
    status: BurnStatus,
}

#[gtest]
fn an_alarm_needs_both_a_long_and_a_short_window() {
    // Each case follows 6 hours of good calls, with 100 calls a minute throughout.
    let cases = [
        WindowCase { name: "no burn", bad_min: 0, good_min: 1, bad_per_minute: 0, status: BurnStatus::Ok },
        WindowCase { name: "one bad minute", bad_min: 1, good_min: 0, bad_per_minute: 100, status: BurnStatus::Ok },
        WindowCase {
            name: "fast burn for an hour",
            bad_min: 60,
            good_min: 0,
            bad_per_minute: 7,
            status: BurnStatus::FastBurn,
        },
        WindowCase {
            name: "fast burn that has ended",
            bad_min: 60,
            good_min: 6,
            bad_per_minute: 7,
            status: BurnStatus::Ok,
        },
        WindowCase {
            name: "slow burn for 6 hours",
            bad_min: 360,
            good_min: 0,
            bad_per_minute: 3,
            status: BurnStatus::SlowBurn,
        },
        WindowCase {
            name: "slow burn that has ended",
            bad_min: 360,
            good_min: 31,
            bad_per_minute: 3,
            status: BurnStatus::Ok,
        },
    ];
    for case in cases {
        let mut table = table(&BurnSettings::default());
        let minutes = 360 + case.bad_min + case.good_min;
        for minute in 0..minutes {
            let is_bad = (360..360 + case.bad_min).contains(&minute);
            let bad = if is_bad { case.bad_per_minute } else { 0 };
            for call in 0..100 {
                let outcome = if call < bad { CallOutcome::Shed } else { GOOD };
                table.record(&sample("pairing", "a", outcome), START_MS + minute * 60_000);
            }
        }
        let status = report(&table, START_MS + (minutes - 1) * 60_000).routes[0].status;
        expect_that!(status, eq(case.status), "{}", case.name);
    }
}

#[gtest]
fn old_calls_leave_the_windows() {
    let mut table = table(&BurnSettings::default());
    table.record(&sample("pairing", "a", CallOutcome::Failed), START_MS);
    let report_after = |hours: u64| report(&table, START_MS + hours * HOUR_MS).routes[0].clone();
    expect_that!(report_after(0).burn_5_min, gt(99.0));
    expect_that!(report_after(2).burn_1_hour, eq(0.0));
    expect_that!(report_after(2).burn_6_hours, gt(99.0));
    expect_that!(report_after(7).burn_6_hours, eq(0.0));
    expect_that!(report_after(7).budget_left, lt(0.0));
    expect_that!(report_after(25).status, eq(BurnStatus::NoTraffic));
}

#[gtest]
fn calls_are_counted_after_the_wall_clock_is_set_back() {
    let mut table = table(&BurnSettings::default());
    table.record(&sample("pairing", "a", GOOD), START_MS + 9_000 * HOUR_MS);
    table.record(&sample("pairing", "a", CallOutcome::Shed), START_MS);
    let summary = table.summary(VmId(1), START_MS);
    expect_that!(summary.routes[0].last_hour.total(), eq(1));
}

#[gtest]
fn memory_is_bounded_by_the_settings() {
    let settings = BurnSettings { max_routes: 8, tenants_per_route: 4, ..BurnSettings::default() };
    let mut table = table(&settings);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut largest = 0;
    for step in 0..20_000_u64 {
        let route = format!("route-{}", random.random_range(0..20));
        let tenant = format!("tenant-{:03}", random.random_range(0..500));
        table.record(&sample(&route, &tenant, CallOutcome::Shed), START_MS + step * 10_000);
        largest = largest.max(table.heap_bytes());
    }
    expect_that!(largest, lt(8 * 6_000));
    let summary = table.summary(VmId(1), START_MS);
    expect_that!(summary.routes, len(eq(8)));
    expect_that!(summary.dropped, gt(0));
}

#[gtest]
fn a_tenant_with_many_bad_calls_stays_tracked() {
    let settings = BurnSettings { tenants_per_route: 8, ..BurnSettings::default() };
    let mut table = table(&settings);
    for step in 0..5_000 {
        let tenant = if step % 5 == 0 { "large".to_owned() } else { format!("small-{step}") };
        table.record(&sample("pairing", &tenant, CallOutcome::Failed), START_MS);
    }
    let large = &report(&table, START_MS).routes[0].tenants[0];
    expect_that!(large.tenant.as_str(), eq("large"));
    expect_that!(large.counts.bad.iter().sum::<u32>(), le(1_000));
    expect_that!(large.counts.bad.iter().sum::<u32>() + large.error, ge(1_000));
}

/// Records random calls at three nodes and all of them at a single node. Returns the merged summary of the three
/// and the summary of the single node, normalized. `repeat` merges the summary of one node twice.
fn merged_and_single(seed: u64, repeat: bool) -> (BurnSummary, BurnSummary) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let settings = BurnSettings::default();
    let mut single = table(&settings);
    let mut nodes = [table(&settings), table(&settings), table(&settings)];
    for step in 0..3_000_u64 {
        let outcomes = [GOOD, CallOutcome::Shed, CallOutcome::OverRate, CallOutcome::Failed, CallOutcome::Late];
        let outcome = outcomes[random.random_range(0..outcomes.len())];
        let route = format!("route-{}", random.random_range(0..5));
        let sample = sample(&route, &format!("tenant-{}", random.random_range(0..9)), outcome);
        single.record(&sample, START_MS + step * 1_000);
        nodes[random.random_range(0..3)].record(&sample, START_MS + step * 1_000);
    }
    let end_ms = START_MS + 3_000_000;
    let mut merged = nodes[0].summary(VmId(1), end_ms);
    merged.merge(&nodes[1].summary(VmId(2), end_ms));
    merged.merge(&nodes[2].summary(VmId(3), end_ms));
    if repeat {
        merged.merge(&nodes[1].summary(VmId(2), end_ms));
    }
    (normalized(merged), normalized(single.summary(VmId(1), end_ms)))
}

/// Removes what may differ between merged and single summaries: the nodes, the order of tenants, and the good
/// calls of tenants, which are counted only from a tenant's first bad call at the node.
fn normalized(mut summary: BurnSummary) -> BurnSummary {
    summary.nodes.clear();
    for route in &mut summary.routes {
        route.tenants.retain(|tenant| tenant.weight() > 0);
        route.tenants.iter_mut().for_each(|tenant| tenant.counts.good = 0);
        route.tenants.sort_by(|left, right| left.tenant.cmp(&right.tenant));
    }
    summary
}

#[gtest]
fn merged_summaries_equal_the_summary_of_a_single_node() {
    for seed in 1..6 {
        for repeat in [false, true] {
            let (merged, single) = merged_and_single(seed, repeat);
            expect_that!(merged, eq(&single), "seed {seed}, repeated response: {repeat}");
        }
    }
}

#[gtest]
fn comparison_detects_a_merge_that_counts_calls_twice() {
    let (mut merged, single) = merged_and_single(1, false);
    merged.merge(&BurnSummary { nodes: vec![VmId(9)], ..single.clone() });
    expect_that!(normalized(merged), not(eq(&single)));
}

#[gtest]
fn reports_name_missing_nodes_and_load_no_external_resources() {
    let mut table = table(&BurnSettings::default());
    table.record(&sample("pairing", "agency", CallOutcome::Shed), START_MS);
    let zone = "verona".parse().unwrap_or_else(|error| panic!("{error}"));
    let missing = vec![MissingNode { vm: VmId(0xabc), zone }];
    let report = BurnReport::new(&table.summary(VmId(1), START_MS), missing, &BurnSettings::default());
    let json = report.to_json().unwrap_or_default();
    for page in [report.to_text(), report.to_html()] {
        for wanted in ["0000000000000abc", "verona", "agency", "pairing", "1 of 2 nodes"] {
            expect_that!(page, contains_substring(wanted));
        }
    }
    for forbidden in ["<script", "http://", "https://", "src=", "url(", "@import"] {
        expect_that!(report.to_html(), not(contains_substring(forbidden)));
    }
    let parsed: BurnReport = serde_json::from_str(&json).unwrap_or_else(|error| panic!("{error}"));
    expect_that!(parsed, eq(&report));
}
