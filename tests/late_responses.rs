//! Targets that send a second copy of a response, when the connection carries the next request.

mod support;

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{CallerRequest, ScriptStep, SidecarFleet};

/// A response, and its second copy that arrives while the target runs the next request on the connection.
struct Case {
    name: &'static str,
    script: &'static [ScriptStep],
}

const NOT_RUN: &str = "HTTP/1.1 503 Busy\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
const NOT_RUN_WITH_ID: &str = "HTTP/1.1 503 Busy\r\nnot-executed: 1\r\nrequest-id: {id}\r\ncontent-length: 0\r\n\r\n";
const LATE_NOT_RUN_WITH_ID: &str =
    "HTTP/1.1 503 Busy\r\nnot-executed: 1\r\nrequest-id: earlier\r\ncontent-length: 0\r\n\r\n";
const SUCCESS: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\ncontent-length: 5\r\n\r\nwhole";
const LATE_SUCCESS: &str =
    "HTTP/1.1 200 OK\r\nrequest-id: earlier\r\nresponse-stamp: s\r\ncontent-length: 5\r\n\r\nother";
const WRONG_INSTANCE: &str = "HTTP/1.1 421 Misdirected\r\ninstance-id: i-9\r\ncontent-length: 0\r\n\r\n";

/// The last two come last, because a response that is recognised as a late one keeps later requests off used connections
/// for a while.
const CASES: [Case; 4] = [
    Case { name: "not run, without an ID", script: &[refuses(NOT_RUN), runs(NOT_RUN)] },
    Case { name: "wrong instance", script: &[refuses(WRONG_INSTANCE), runs(WRONG_INSTANCE)] },
    Case { name: "not run, with an ID", script: &[refuses(NOT_RUN_WITH_ID), runs(LATE_NOT_RUN_WITH_ID)] },
    Case { name: "success", script: &[runs(SUCCESS), runs(LATE_SUCCESS)] },
];

/// Requests after the start of a script. The scripted target gets some of them, as targets are drawn at random.
const REQUESTS: usize = 100;

/// Statuses that promise that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

const fn runs(response: &'static str) -> ScriptStep {
    ScriptStep { runs: true, response }
}

const fn refuses(response: &'static str) -> ScriptStep {
    ScriptStep { runs: false, response }
}

fn config() -> Value {
    let route = json!({"name": "pairings", "host": "trips.example", "prefix": "/pairings/", "kind": "unsafe",
        "timeout_ms": 2_000, "slo_ms": 500, "priority": 1, "service": "pairings", "attempts": 2, "public": true});
    json!({"version": "00000001", "routes": [route], "services": [{"name": "pairings"}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": []})
}

fn request(request_id: String) -> CallerRequest {
    CallerRequest { method: "POST", path: "/pairings/1", request_id, api_key: "", deadline_ms: 2_000 }
}

/// A late "not run" without an ID was taken for the response to the next request, which then ran on two targets; a late
/// success must not reach the caller of the next request.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn second_copy_of_a_response_is_not_given_to_the_next_request() {
    let fleet = SidecarFleet::start(&["pairings", "pairings"], &config()).await;
    for vm in 0..2 {
        fleet.wait_for_status(vm, &request(format!("first-{vm}")), 200).await;
    }
    for case in CASES {
        // The next request opens a new connection, which follows the script.
        fleet.vms[1].target.close_connections();
        *fleet.vms[1].target.script.lock().expect("not poisoned") = Some(case.script);
        for number in 0..REQUESTS {
            let id = format!("{}-{number}", case.name.replace([' ', ','], "-"));
            let response = fleet.send(0, &request(id.clone())).await;
            let answered_id = response.headers.get("request-id").and_then(|value| value.to_str().ok());
            expect_that!(answered_id, some(eq(id.as_str())), "{}", case.name);
            expect_that!(response.body, not(eq("other")), "{}", case.name);
            let runs: usize = fleet.vms.iter().map(|vm| count_runs(vm, &id)).sum();
            let most_runs = if NOT_RUN_STATUSES.contains(&response.status) { 0 } else { 1 };
            expect_that!(runs, le(most_runs), "{}: {id} got {}", case.name, response.status);
        }
        let is_done = fleet.vms[1].target.script.lock().expect("not poisoned").is_none();
        expect_that!(is_done, eq(true), "the scripted target was never chosen: {}", case.name);
    }
}

fn count_runs(vm: &support::SidecarVm, id: &str) -> usize {
    vm.target.runs.lock().expect("not poisoned").iter().filter(|run| run.request_id == id).count()
}
