//! The operator command-line tool, run against a fleet.

mod support;

use std::process::{Command, Output};

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{Fleet, FleetSpec, TargetSpec, wait_until};

const CLI_PROGRAM: &str = env!("CARGO_BIN_EXE_fulmartrestle");

fn single_target_spec() -> FleetSpec {
    FleetSpec {
        zones: vec!["milano"],
        targets: vec![TargetSpec { service: "search", zone: "milano", child_path: None }],
        changes: json!([
            {"set_tenant": {"tenant": "laghi", "rate_per_s": 100, "burst": 100, "weight": 1}},
            {"set_route": {
                "route": "search", "path_prefix": "/search", "service": "search", "class": "lookup",
                "timeout_ms": 3000, "retryable": true,
            }},
        ]),
    }
}

/// Runs the command-line tool against the fleet's first node.
fn run_cli(fleet: &Fleet, arguments: &[&str]) -> Output {
    let node = fleet.vms[0].node.address("admin");
    let output = Command::new(CLI_PROGRAM).args(["--node", &node]).args(arguments).output();
    output.expect("the command-line tool runs")
}

/// Converts the output of a process to text.
fn output_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Parses standard output as JSON, and panics if it is not valid.
fn stdout_json(output: &Output) -> Value {
    let text = output_text(&output.stdout);
    serde_json::from_str(&text).unwrap_or_else(|error| panic!("{error} in {text:?}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn intent_takes_effect_only_after_its_plan_is_confirmed() -> Result<()> {
    let spec = single_target_spec();
    let fleet = Fleet::start(&spec).await;
    fleet.configure(&spec).await;
    let version_before = stdout_json(&run_cli(&fleet, &["--json", "status"]))["version"].clone();

    let planned = run_cli(&fleet, &["--json", "key", "grant", "laghi", "--why", "new agency"]);
    verify_that!(planned.status.code(), some(eq(0))).or_fail()?;
    let planned = stdout_json(&planned);
    let id = planned["plan"]["id"].as_str().unwrap_or_default().to_owned();
    let version_after_plan = stdout_json(&run_cli(&fleet, &["--json", "status"]))["version"].clone();
    verify_that!(version_after_plan, eq(&version_before)).or_fail()?;

    let confirmed = run_cli(&fleet, &["confirm", &id]);
    verify_that!(confirmed.status.code(), some(eq(0))).or_fail()?;
    verify_that!(output_text(&confirmed.stdout), contains_substring("committed as version")).or_fail()?;
    // Confirming a plan twice has no further effect and prints the same result.
    let confirmed_again = run_cli(&fleet, &["confirm", &id]);
    verify_that!(output_text(&confirmed_again.stdout), eq(&output_text(&confirmed.stdout))).or_fail()?;
    let history = run_cli(&fleet, &["history"]);
    verify_that!(output_text(&history.stdout), contains_substring("new agency")).or_fail()?;
    let secret = planned["granted"][0]["secret"].as_str().unwrap_or_default().to_owned();
    fleet.wait_until_admitted("/search/x", &secret).await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_plans_the_second_confirm_fails_and_names_the_committed_plan() -> Result<()> {
    let spec = single_target_spec();
    let fleet = Fleet::start(&spec).await;
    fleet.configure(&spec).await;
    let plan_rate = |rate: u64| {
        let file = std::env::temp_dir().join(format!("fulmartrestle-race-{}-{rate}.jsonc", std::process::id()));
        let intent = json!({"why": "race", "changes": [
            {"set_tenant": {"tenant": "laghi", "rate_per_s": rate, "burst": 100, "weight": 1}},
        ]});
        std::fs::write(&file, intent.to_string()).expect("the intent file can be written");
        let planned = stdout_json(&run_cli(&fleet, &["--json", "plan", &file.display().to_string()]));
        let _ = std::fs::remove_file(&file);
        planned["plan"]["id"].as_str().unwrap_or_default().to_owned()
    };
    let (first_id, second_id) = (plan_rate(200), plan_rate(300));
    let committed = run_cli(&fleet, &["confirm", &second_id]);
    verify_that!(committed.status.code(), some(eq(0))).or_fail()?;
    let conflicting = run_cli(&fleet, &["confirm", &first_id]);
    verify_that!(conflicting.status.code(), some(eq(1))).or_fail()?;
    verify_that!(output_text(&conflicting.stderr), contains_substring(second_id.as_str()))
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_rejects_skipped_and_repeated_hours_and_shows_local_and_utc_time() -> Result<()> {
    let spec = single_target_spec();
    let fleet = Fleet::start(&spec).await;
    fleet.configure(&spec).await;
    let plan_stop = |at: &str| {
        let arguments = ["stop", "spring", "--zone", "milano", "--at", at, "--time-zone", "Europe/Rome", "--why", "x"];
        run_cli(&fleet, &arguments)
    };
    let skipped = plan_stop("2027-03-28T02:30");
    verify_that!(skipped.status.code(), some(eq(2))).or_fail()?;
    verify_that!(output_text(&skipped.stderr), contains_substring("does not exist in Europe/Rome")).or_fail()?;
    let repeated = plan_stop("2027-10-31T02:30");
    verify_that!(output_text(&repeated.stderr), contains_substring("exists twice in Europe/Rome")).or_fail()?;
    let planned = plan_stop("2027-03-28T04:30");
    verify_that!(planned.status.code(), some(eq(0))).or_fail()?;
    verify_that!(output_text(&planned.stdout), contains_substring("2027-03-28T04:30:00+02:00[Europe/Rome]"))
        .or_fail()?;
    verify_that!(output_text(&planned.stdout), contains_substring("2027-03-28T02:30:00Z"))
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_need_an_operator_key_once_an_operator_is_configured() -> Result<()> {
    let spec = single_target_spec();
    let fleet = Fleet::start(&spec).await;
    fleet.configure(&spec).await;
    let hash = fulmartrestle_config::fleet::KeyHash::from_key("operator-secret").to_string();
    let intent = json!({"why": "first operator", "changes": [{"set_operator": {"name": "rosa", "hash": hash}}]});
    fleet.publish_intent(0, &intent, None).await;
    let refused = wait_until("the operator key is required", async || {
        let output = run_cli(&fleet, &["status"]);
        (output.status.code() != Some(0)).then_some(output)
    })
    .await;
    verify_that!(refused.status.code(), some(eq(1))).or_fail()?;
    verify_that!(output_text(&refused.stderr), contains_substring("operator key missing or unknown")).or_fail()?;
    let node = fleet.vms[0].node.address("admin");
    let accepted = Command::new(CLI_PROGRAM)
        .args(["--node", &node, "status"])
        .env("FULMARTRESTLE_OPERATOR_KEY", "operator-secret")
        .output();
    verify_that!(accepted.or_fail()?.status.code(), some(eq(0)))
}

#[test]
fn argument_file_and_connection_errors_are_reported_with_their_exit_code() -> Result<()> {
    struct Case {
        name: &'static str,
        arguments: &'static [&'static str],
        exit_code: i32,
        expected_text: &'static str,
    }
    let cases = [
        Case { name: "no command", arguments: &[], exit_code: 2, expected_text: "" },
        Case { name: "unknown flag", arguments: &["status", "--colour"], exit_code: 2, expected_text: "--colour" },
        Case {
            name: "missing file",
            arguments: &["check", "no-such-file.jsonc"],
            exit_code: 2,
            expected_text: "no-such-file.jsonc",
        },
        Case {
            name: "unreachable node",
            arguments: &["--node", "127.0.0.1:1", "status"],
            exit_code: 3,
            expected_text: "node 127.0.0.1:1",
        },
        Case {
            name: "bad scenario",
            arguments: &["demo", "--scenario", "storm"],
            exit_code: 2,
            expected_text: "storm",
        },
    ];
    for case in cases {
        let output = Command::new(CLI_PROGRAM).args(case.arguments).output().or_fail()?;
        verify_that!(output.status.code(), some(eq(case.exit_code))).with_failure_message(|| case.name.to_owned())?;
        let stderr = output_text(&output.stderr);
        verify_that!(stderr, contains_substring(case.expected_text)).with_failure_message(|| case.name.to_owned())?;
    }
    Ok(())
}

#[test]
fn check_reports_file_line_field_and_value() -> Result<()> {
    let directory = tempfile::tempdir().or_fail()?;
    let file = directory.path().join("node.jsonc");
    let settings =
        "{\n  \"availability_zone\": \"milano\", \"region\": \"po\",\n  \"caller_address\": \"nowhere\"\n}\n";
    std::fs::write(&file, settings).or_fail()?;
    let output = Command::new(CLI_PROGRAM).args(["check", &file.display().to_string()]).output().or_fail()?;
    verify_that!(output.status.code(), some(eq(2))).or_fail()?;
    let stderr = output_text(&output.stderr);
    for part in ["node.jsonc", "3", "caller_address", "nowhere"] {
        verify_that!(stderr, contains_substring(part)).or_fail()?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn burn_report_covers_all_nodes_and_reports_missing_ones() -> Result<()> {
    let mut spec = single_target_spec();
    spec.targets.push(TargetSpec { service: "search", zone: "milano", child_path: None });
    let fleet = Fleet::start(&spec).await;
    fleet.configure(&spec).await;
    let intent = json!({"why": "objective", "changes": [
        {"grant_key": "laghi"},
        {"set_objective": {"route": "search", "within_ms": 500, "share_per_million": 999_000}},
    ]});
    let planned = fleet.publish_intent(0, &intent, None).await;
    let secret = planned["granted"][0]["secret"].as_str().unwrap_or_default().to_owned();
    fleet.wait_until_admitted("/search/x", &secret).await;

    let report = stdout_json(&run_cli(&fleet, &["--json", "report", "burn"]));
    verify_that!(report["nodes"], eq(&json!(2))).or_fail()?;
    verify_that!(report["routes"][0]["route"], eq(&json!("search"))).or_fail()?;
    verify_that!(report["routes"][0]["objective_percent"], eq(&json!(99.9))).or_fail()?;
    let good = report["routes"][0]["last_day"]["good"].as_u64().unwrap_or(0);
    verify_that!(good, ge(2)).with_failure_message(|| report.to_string())?;

    fleet.vms[1].node.suspend();
    let partial = run_cli(&fleet, &["report", "burn"]);
    fleet.vms[1].node.resume();
    verify_that!(output_text(&partial.stdout), contains_substring("missing"))
}
