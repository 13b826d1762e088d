//! Reproducibility of the load, and consistency of the reports of short runs.

use fulmartrestle_demo::measurement::{Arrival, LoadProfile, draw_arrivals};
use fulmartrestle_demo::{DemoArgs, Deployment, DeploymentName, Invariant, PolicyName, ScenarioName, run_demo};
use googletest::prelude::*;

const RUN_US: u64 = 10_000_000;

fn generate_arrivals(deployment: &Deployment, scenario: ScenarioName, seed: u64) -> Vec<Arrival> {
    let phases = scenario.phases();
    draw_arrivals(&LoadProfile { deployment, phases: &phases, run_us: RUN_US }, seed)
}

fn count_between(arrivals: &[Arrival], from_us: u64, until_us: u64) -> usize {
    arrivals.iter().filter(|arrival| (from_us..until_us).contains(&arrival.arrival_us)).count()
}

#[test]
fn arrivals_depend_on_the_seed_alone_and_follow_the_scenario() {
    for name in DeploymentName::ALL {
        let deployment = Deployment::named(*name);
        let calm = generate_arrivals(&deployment, ScenarioName::Calm, 1);
        assert_that!(generate_arrivals(&deployment, ScenarioName::Calm, 1), eq(&calm));
        assert_that!(generate_arrivals(&deployment, ScenarioName::Calm, 2), not(eq(&calm)));
        let usual_rps: f64 = deployment.tenants.iter().map(|tenant| tenant.usual_rps).sum();
        let expected = usual_rps * RUN_US as f64 / 1_000_000.0;
        let allowed = deployment.tenants.len() as f64;
        assert_that!(calm.len() as f64, near(expected, allowed), "{name}");
        let surge = generate_arrivals(&deployment, ScenarioName::Surge, 1);
        let before = count_between(&surge, 1_000_000, 2_000_000);
        let during = count_between(&surge, 4_000_000, 5_000_000);
        assert_that!(during, gt(before * 7 / 2), "{name}");
    }
}

#[test]
fn scenario_names_parse_back() {
    for name in ScenarioName::ALL {
        assert_that!(name.to_string().parse::<ScenarioName>(), ok(eq(name)));
    }
    let error = "clam".parse::<ScenarioName>().expect_err("no such scenario");
    assert_that!(error.to_string(), contains_substring("clam"));
}

/// Checks sums only, because the number of requests that get a response in time depends on the machine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_baseline_run_reports_consistent_sums() {
    let args =
        DemoArgs { seconds: 1, policy: PolicyName::Baseline, scenario: ScenarioName::ZoneCut, ..DemoArgs::default() };
    let report = run_demo(args).await.expect("a run");
    assert_that!(report.whole + report.not_run + report.unknown + report.failed, eq(report.requests));
    assert_that!(report.sends, ge(report.requests));
    assert_that!(report.keys_seen_by_targets, gt(0));
    let violated: Vec<_> = report.violations.iter().map(|violation| violation.invariant).collect();
    assert_that!(violated, contains(eq(&Invariant::NoKeyAtTargets)));
    assert_that!(violated, not(contains(eq(&Invariant::OwnAnswer))));
    let line: serde_json::Value = serde_json::from_str(&report.to_json_line()).expect("JSON");
    assert_that!(line["requests"].as_u64(), some(eq(report.requests)));
}

/// Starts nodes, configures them by plan and confirmation, and sends load. Only properties that do not
/// depend on the speed of the machine are checked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_run_with_nodes_hides_keys_and_returns_matching_responses() {
    let report = run_demo(DemoArgs { seconds: 1, ..DemoArgs::default() }).await.expect("a run");
    assert_that!(report.whole, gt(0));
    assert_that!(report.whole + report.not_run + report.unknown + report.failed, eq(report.requests));
    assert_that!(report.keys_seen_by_targets, eq(0));
    let violated: Vec<_> = report.violations.iter().map(|violation| violation.invariant).collect();
    for invariant in [Invariant::OwnAnswer, Invariant::NotRunIsTrue, Invariant::BoundedRetries] {
        assert_that!(violated, not(contains(eq(&invariant))));
    }
}

#[tokio::test]
async fn a_run_of_zero_seconds_is_rejected() {
    let error = run_demo(DemoArgs { seconds: 0, ..DemoArgs::default() }).await.expect_err("no load");
    assert_that!(error.to_string(), contains_substring("1 s"));
}
