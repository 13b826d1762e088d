//! The timeline of lost requests, from the logs that nodes write.

mod support;

use std::process::Command;
use std::time::Duration;

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{CallerRequest, SidecarFleet, TargetBehaviour};

const COMMAND: &str = env!("CARGO_BIN_EXE_fulmartrestle");

const OBJECTIVE_MS: u64 = 150;

/// Requests of each kind.
const REQUESTS: u64 = 5;

fn config() -> Value {
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({"name": name, "host": "trips.example", "prefix": prefix, "kind": kind, "timeout_ms": 2_000,
            "slo_ms": OBJECTIVE_MS, "priority": 1, "service": "trips", "attempts": 1, "public": false})
    };
    json!({"version": "00000001",
        "routes": [route("view", "/view/", "safe"), route("pairings", "/pairings/", "unsafe")],
        "services": [{"name": "trips"}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": [{"name": "agency", "api_keys": ["key-1"], "rate_per_s": 1_000, "burst": 1_000}]})
}

async fn send(fleet: &SidecarFleet, method: &'static str, path: &'static str, behaviour: TargetBehaviour) {
    *fleet.vms[0].target.behaviour.lock().expect("not poisoned") = behaviour;
    for number in 0..REQUESTS {
        let request_id = format!("{path}-{number}");
        let request = CallerRequest { method, path, request_id, api_key: "key-1", deadline_ms: 1_500 };
        fleet.send(0, &request).await;
    }
}

fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(COMMAND).args(arguments).output().expect("the command runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

/// Guards against lines that the nodes write and the command does not understand.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn timeline_of_a_node_has_its_losses() {
    let fleet = SidecarFleet::start(&["trips"], &config()).await;
    let first = CallerRequest {
        method: "GET",
        path: "/view/0",
        request_id: "first".into(),
        api_key: "key-1",
        deadline_ms: 1_500,
    };
    fleet.wait_for_status(0, &first, 200).await;
    send(&fleet, "GET", "/view/1", TargetBehaviour::Respond).await;
    send(&fleet, "GET", "/view/2", TargetBehaviour::RespondAfterMs(OBJECTIVE_MS * 2)).await;
    send(&fleet, "POST", "/pairings/1", TargetBehaviour::DropResponse).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let folder = tempfile::tempdir().expect("a folder for the log");
    let file = folder.path().join("node.log").display().to_string();
    std::fs::write(&file, fleet.vms[0].node.log()).expect("the log can be written");

    let (code, output, error) = run(&["--json", "timeline", "--step-s", "3600", &file]);
    assert_that!(code, some(eq(0)), "{error}");
    let timeline: Value = serde_json::from_str(&output).expect("a JSON object");
    let sum = |route: &str, name: &str| -> u64 {
        let steps = timeline["steps"].as_array().expect("steps");
        steps.iter().filter_map(|step| step["routes"][route].pointer(name)?.as_u64()).sum()
    };
    expect_that!(sum("view", "/late"), eq(REQUESTS));
    expect_that!(sum("view", "/in_time"), ge(REQUESTS));
    expect_that!(sum("pairings", "/unserved/target_failed"), eq(REQUESTS));
    let (code, output, _) = run(&["timeline", &file]);
    expect_that!(code, some(eq(0)));
    expect_that!(output, contains_substring("target_failed 5"));
}

#[test]
fn bad_input_ends_the_command_with_the_file_and_the_line() {
    let folder = tempfile::tempdir().expect("a folder for the logs");
    let write = |name: &str, text: &str| {
        let file = folder.path().join(name).display().to_string();
        std::fs::write(&file, text).expect("the log can be written");
        file
    };
    let empty = write("empty.log", "");
    let broken = write("broken.log", "{\"event\":\"outcomes\",\"unix_ms\":\"now\"}\n");
    let missing = folder.path().join("missing.log").display().to_string();
    for (arguments, expected) in [
        (vec!["timeline"], "at least one log file".to_owned()),
        (vec!["timeline", &empty], format!("{empty}: no line")),
        (vec!["timeline", &broken], format!("{broken}:1: invalid type: string \"now\"")),
        (vec!["timeline", &missing], format!("{missing}: ")),
        (vec!["timeline", "--step-s", "0", &empty], "step-s: expected 1 or more: 0".to_owned()),
    ] {
        let (code, _, error) = run(&arguments);
        assert_eq!(code, Some(2), "{arguments:?}: {error}");
        assert!(error.contains(&expected), "{arguments:?}: {error}");
    }
}
