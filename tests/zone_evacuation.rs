//! Evacuated zones on the users' platform, with sidecar processes, a stand-in store and targets inside the test.

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{CallerRequest, SidecarFleet, TargetBehaviour, wait_until};

/// Time after the acknowledgement of a record from which on no request may reach a target of the zone.
const EVACUATE_MS: u64 = 5_000;

/// Slots that a node uses of the ten that its target announces.
const USABLE_SLOTS: usize = 9;

fn config() -> Value {
    let route = |name: &str, kind: &str, public: bool| {
        json!({"name": name, "host": "trips.example", "prefix": format!("/{name}/"), "kind": kind, "timeout_ms": 3_000,
            "slo_ms": 500, "priority": 1, "service": "trips", "attempts": 2, "public": public})
    };
    json!({"version": "00000001", "routes": [route("view", "safe", false), route("book", "unsafe", false), route("open", "safe", true)],
        "services": [{"name": "trips", "health_path": "/healthz", "max_conns": 100}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": [{"name": "agency", "api_keys": ["key-1"], "rate_per_s": 1_000, "burst": 1_000}]})
}

fn request(method: &'static str, path: &'static str, request_id: impl Into<String>) -> CallerRequest {
    CallerRequest { method, path, request_id: request_id.into(), api_key: "key-1", deadline_ms: 3_000 }
}

/// Starts a fleet and waits until every node serves requests.
async fn start_fleet(vms: &[(&str, &str)]) -> SidecarFleet {
    let fleet = SidecarFleet::start_in_zones(vms, &config()).await;
    for vm in 0..vms.len() {
        fleet.wait_for_status(vm, &request("GET", "/view/1", "first"), 200).await;
    }
    fleet
}

/// Returns when the target of a VM last started a request.
fn last_run(fleet: &SidecarFleet, vm: usize) -> Option<Instant> {
    fleet.vms[vm].target.runs.lock().expect("not poisoned").last().map(|run| run.started)
}

/// Waits until the target of a VM runs requests of a caller.
async fn wait_for_runs(fleet: &SidecarFleet, caller: usize, vm: usize) {
    let since = Instant::now();
    wait_until("the target receives requests", || async {
        let _ = fleet.try_send(caller, &request("GET", "/view/1", "waiting")).await;
        last_run(fleet, vm).filter(|started| *started > since)
    })
    .await;
}

/// A sender or a gate that misses the record, also one that starts later, would let requests through; a zone that is
/// not taken back would leave its capacity unused.
#[tokio::test]
async fn no_request_reaches_an_evacuated_zone() {
    let mut fleet = start_fleet(&[("front", "milano"), ("trips", "milano"), ("trips", "verona")]).await;
    wait_for_runs(&fleet, 0, 1).await;
    // Neither a zone without nodes nor a value that is not an object prevents what follows.
    fleet.write_operator_record("evacuate/nowhere", "{").await;
    fleet.write_operator_record("evacuate/milano", "{}").await;
    let bound = Instant::now() + Duration::from_millis(EVACUATE_MS);
    for number in 0.. {
        for caller in 0..3 {
            let response = fleet.send(caller, &request("POST", "/book/1", format!("r-{number}-{caller}"))).await;
            assert_that!(response.status, eq(200), "request {number} at node {caller}");
        }
        if Instant::now() > bound {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet.restart_node(1).await;
    for number in 0..100 {
        // A node that has just started does not know the other nodes yet.
        let _ = fleet.try_send(1, &request("GET", "/view/1", format!("s-{number}"))).await;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_that!(fleet.send(1, &request("GET", "/view/1", "served")).await.status, eq(200));
    let last_run_in_zone = last_run(&fleet, 1).expect("a run before the evacuation");
    assert_that!(last_run_in_zone < bound, eq(true), "last run {:?} after the bound", last_run_in_zone - bound);
    fleet.write_operator_record("evacuate/milano", "").await;
    wait_for_runs(&fleet, 0, 1).await;
}

/// Calls that wait at the gate of an evacuated target must not reach it when a slot becomes free, and without any
/// target left callers must be told truthfully that nothing was run.
#[tokio::test]
async fn waiting_calls_are_refused_and_running_ones_completed() {
    let fleet = start_fleet(&[("front", "milano"), ("trips", "verona")]).await;
    *fleet.vms[1].target.behaviour.lock().expect("not poisoned") = TargetBehaviour::RespondAfterMs(1_500);
    let ids: Vec<String> = (0..USABLE_SLOTS + 4).map(|number| format!("r-{number}")).collect();
    let requests: Vec<_> = ids.iter().map(|id| request("POST", "/book/1", id.as_str())).collect();
    let (responses, ()) =
        tokio::join!(futures_util::future::join_all(requests.iter().map(|request| fleet.send(0, request))), async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            fleet.write_operator_record("evacuate/milano", "{}").await;
            fleet.write_operator_record("evacuate/verona", "not an object").await;
        });
    let runs = fleet.vms[1].target.runs.lock().expect("not poisoned").clone();
    for (id, response) in ids.iter().zip(&responses) {
        let has_run = runs.iter().any(|run| run.request_id == *id);
        assert_that!(response.status, eq(if has_run { 200 } else { 503 }), "{id}");
    }
    assert_that!(responses.iter().filter(|response| response.status == 200).count(), eq(USABLE_SLOTS));
    let refused = fleet.send(0, &request("GET", "/view/1", "later")).await;
    assert_that!((refused.status, refused.headers.contains_key("retry-after")), eq((503, true)));
    fleet.write_operator_record("evacuate/verona", "").await;
    wait_for_runs(&fleet, 0, 1).await;
}

/// A node that goes on after a pause finds calls that have waited in its sockets. They must not reach the target, although
/// the node hears of the evacuation only now. The route is public, so that the age of the configuration does not matter.
#[tokio::test]
async fn calls_that_waited_during_a_pause_do_not_reach_an_evacuated_target() {
    let fleet = start_fleet(&[("trips", "milano"), ("trips", "verona")]).await;
    fleet.vms[0].node.suspend();
    fleet.write_operator_record("evacuate/milano", "{}").await;
    let ids: Vec<String> = (0..20).map(|number| format!("p-{number}")).collect();
    let requests: Vec<_> = ids.iter().map(|id| request("GET", "/open/1", id.as_str())).collect();
    let (responses, ()) =
        tokio::join!(futures_util::future::join_all(requests.iter().map(|request| fleet.send(0, request))), async {
            tokio::time::sleep(Duration::from_millis(EVACUATE_MS + 500)).await;
            fleet.vms[0].node.resume();
        });
    assert_that!(responses.iter().map(|response| response.status).collect::<Vec<_>>(), each(any!(eq(&200), eq(&503))));
    let runs = fleet.vms[0].target.runs.lock().expect("not poisoned").clone();
    let late: Vec<_> = runs.iter().filter(|run| ids.contains(&run.request_id)).collect();
    assert_that!(late.len(), eq(0));
}
