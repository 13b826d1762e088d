//! The operators' command against a running fleet, as an operator would use it.

mod support;

use std::process::{Command, Output};

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{Fleet, FleetPlan, TargetPlan, wait_until};

const COMMAND: &str = env!("CARGO_BIN_EXE_fulmartrestle");

fn one_target() -> FleetPlan {
    FleetPlan {
        zones: vec!["milano"],
        targets: vec![TargetPlan { service: "search", zone: "milano", child: None }],
        changes: json!([
            {"set_tenant": {"tenant": "laghi", "rate_per_s": 100, "burst": 100, "weight": 1}},
            {"set_route": {
                "route": "search", "path_prefix": "/search", "service": "search", "class": "lookup",
                "timeout_ms": 3000, "retryable": true,
            }},
        ]),
    }
}

/// Runs the command against the fleet's first node.
fn command(fleet: &Fleet, arguments: &[&str]) -> Output {
    let node = fleet.vms[0].node.address("admin");
    let output = Command::new(COMMAND).args(["--node", &node]).args(arguments).output();
    output.expect("the command runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn json_of(output: &Output) -> Value {
    let text = text(&output.stdout);
    serde_json::from_str(&text).unwrap_or_else(|error| panic!("{error} in {text:?}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn an_intent_takes_effect_only_when_its_plan_is_confirmed() -> Result<()> {
    let plan = one_target();
    let fleet = Fleet::start(&plan).await;
    fleet.configure(&plan).await;
    let before = json_of(&command(&fleet, &["--json", "status"]))["version"].clone();

    let planned = command(&fleet, &["--json", "key", "grant", "laghi", "--why", "new agency"]);
    verify_that!(planned.status.code(), some(eq(0))).or_fail()?;
    let planned = json_of(&planned);
    let id = planned["plan"]["id"].as_str().unwrap_or_default().to_owned();
    let unchanged = json_of(&command(&fleet, &["--json", "status"]))["version"].clone();
    verify_that!(unchanged, eq(&before)).or_fail()?;

    let confirmed = command(&fleet, &["confirm", &id]);
    verify_that!(confirmed.status.code(), some(eq(0))).or_fail()?;
    verify_that!(text(&confirmed.stdout), contains_substring("committed as version")).or_fail()?;
    // Confirming again is harmless and says the same.
    let again = command(&fleet, &["confirm", &id]);
    verify_that!(text(&again.stdout), eq(&text(&confirmed.stdout))).or_fail()?;
    let history = command(&fleet, &["history"]);
    verify_that!(text(&history.stdout), contains_substring("new agency")).or_fail()?;
    let secret = planned["granted"][0]["secret"].as_str().unwrap_or_default().to_owned();
    fleet.wait_until_admitted("/search/x", &secret).await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_racing_plans_one_loses_and_names_the_winner() -> Result<()> {
    let plan = one_target();
    let fleet = Fleet::start(&plan).await;
    fleet.configure(&plan).await;
    let set_rate = |rate: u64| {
        let file = std::env::temp_dir().join(format!("fulmartrestle-race-{}-{rate}.jsonc", std::process::id()));
        let intent = json!({"why": "race", "changes": [
            {"set_tenant": {"tenant": "laghi", "rate_per_s": rate, "burst": 100, "weight": 1}},
        ]});
        std::fs::write(&file, intent.to_string()).expect("the intent can be written");
        let planned = json_of(&command(&fleet, &["--json", "plan", &file.display().to_string()]));
        let _ = std::fs::remove_file(&file);
        planned["plan"]["id"].as_str().unwrap_or_default().to_owned()
    };
    let (first, second) = (set_rate(200), set_rate(300));
    let won = command(&fleet, &["confirm", &second]);
    verify_that!(won.status.code(), some(eq(0))).or_fail()?;
    let lost = command(&fleet, &["confirm", &first]);
    verify_that!(lost.status.code(), some(eq(1))).or_fail()?;
    verify_that!(text(&lost.stderr), contains_substring(second.as_str()))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_is_refused_for_a_skipped_hour_and_shown_in_both_times() -> Result<()> {
    let plan = one_target();
    let fleet = Fleet::start(&plan).await;
    fleet.configure(&plan).await;
    let stop = |at: &str| {
        let arguments = ["stop", "spring", "--zone", "milano", "--at", at, "--time-zone", "Europe/Rome", "--why", "x"];
        command(&fleet, &arguments)
    };
    let skipped = stop("2027-03-28T02:30");
    verify_that!(skipped.status.code(), some(eq(2))).or_fail()?;
    verify_that!(text(&skipped.stderr), contains_substring("does not exist in Europe/Rome")).or_fail()?;
    let repeated = stop("2027-10-31T02:30");
    verify_that!(text(&repeated.stderr), contains_substring("exists twice in Europe/Rome")).or_fail()?;
    let planned = stop("2027-03-28T04:30");
    verify_that!(planned.status.code(), some(eq(0))).or_fail()?;
    verify_that!(text(&planned.stdout), contains_substring("2027-03-28T04:30:00+02:00[Europe/Rome]")).or_fail()?;
    verify_that!(text(&planned.stdout), contains_substring("2027-03-28T02:30:00Z"))
}

#[tokio::test(flavor = "multi_thread")]
async fn once_an_operator_is_configured_every_request_needs_a_key() -> Result<()> {
    let plan = one_target();
    let fleet = Fleet::start(&plan).await;
    fleet.configure(&plan).await;
    let hash = fulmartrestle_config::fleet::KeyHash::from_key("operator-secret").to_string();
    let intent = json!({"why": "first operator", "changes": [{"set_operator": {"name": "rosa", "hash": hash}}]});
    fleet.publish(0, &intent, None).await;
    let refused = wait_until("the operator is in force", async || {
        let output = command(&fleet, &["status"]);
        (output.status.code() != Some(0)).then_some(output)
    })
    .await;
    verify_that!(refused.status.code(), some(eq(1))).or_fail()?;
    verify_that!(text(&refused.stderr), contains_substring("operator key missing or unknown")).or_fail()?;
    let node = fleet.vms[0].node.address("admin");
    let allowed = Command::new(COMMAND)
        .args(["--node", &node, "status"])
        .env("FULMARTRESTLE_OPERATOR_KEY", "operator-secret")
        .output();
    verify_that!(allowed.or_fail()?.status.code(), some(eq(0)))
}

#[test]
fn faults_of_arguments_and_files_are_named_with_exit_code_2() -> Result<()> {
    struct Case {
        name: &'static str,
        arguments: &'static [&'static str],
        code: i32,
        says: &'static str,
    }
    let cases = [
        Case { name: "no command", arguments: &[], code: 2, says: "" },
        Case { name: "unknown flag", arguments: &["status", "--colour"], code: 2, says: "--colour" },
        Case { name: "missing file", arguments: &["check", "no-such-file.jsonc"], code: 2, says: "no-such-file.jsonc" },
        Case {
            name: "unreachable node",
            arguments: &["--node", "127.0.0.1:1", "status"],
            code: 3,
            says: "node 127.0.0.1:1",
        },
        Case { name: "bad scenario", arguments: &["demo", "--scenario", "storm"], code: 2, says: "storm" },
    ];
    for case in cases {
        let output = Command::new(COMMAND).args(case.arguments).output().or_fail()?;
        verify_that!(output.status.code(), some(eq(case.code))).with_failure_message(|| case.name.to_owned())?;
        let said = text(&output.stderr);
        verify_that!(said, contains_substring(case.says)).with_failure_message(|| case.name.to_owned())?;
    }
    Ok(())
}

#[test]
fn check_names_file_line_field_and_value() -> Result<()> {
    let folder = tempfile::tempdir().or_fail()?;
    let file = folder.path().join("node.jsonc");
    let settings =
        "{\n  \"availability_zone\": \"milano\", \"region\": \"po\",\n  \"caller_address\": \"nowhere\"\n}\n";
    std::fs::write(&file, settings).or_fail()?;
    let output = Command::new(COMMAND).args(["check", &file.display().to_string()]).output().or_fail()?;
    verify_that!(output.status.code(), some(eq(2))).or_fail()?;
    let said = text(&output.stderr);
    for part in ["node.jsonc", "3", "caller_address", "nowhere"] {
        verify_that!(said, contains_substring(part)).or_fail()?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn the_burn_report_covers_the_fleet_and_names_missing_nodes() -> Result<()> {
    let mut plan = one_target();
    plan.targets.push(TargetPlan { service: "search", zone: "milano", child: None });
    let fleet = Fleet::start(&plan).await;
    fleet.configure(&plan).await;
    let intent = json!({"why": "objective", "changes": [
        {"grant_key": "laghi"},
        {"set_objective": {"route": "search", "within_ms": 500, "share_per_million": 999_000}},
    ]});
    let planned = fleet.publish(0, &intent, None).await;
    let secret = planned["granted"][0]["secret"].as_str().unwrap_or_default().to_owned();
    fleet.wait_until_admitted("/search/x", &secret).await;

    let report = json_of(&command(&fleet, &["--json", "report", "burn"]));
    verify_that!(report["nodes"], eq(&json!(2))).or_fail()?;
    verify_that!(report["routes"][0]["route"], eq(&json!("search"))).or_fail()?;
    verify_that!(report["routes"][0]["objective_percent"], eq(&json!(99.9))).or_fail()?;
    let whole = report["routes"][0]["last_day"]["good"].as_u64().unwrap_or(0);
    verify_that!(whole, ge(2)).with_failure_message(|| report.to_string())?;

    fleet.vms[1].node.freeze();
    let partial = command(&fleet, &["report", "burn"]);
    fleet.vms[1].node.wake();
    verify_that!(text(&partial.stdout), contains_substring("missing"))
}
