//! Requests that crash each target that runs them, sent again and again through the nodes of a platform's fleet.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{CallerRequest, SidecarFleet, TargetBehaviour, wait_until};

/// Targets that a request may crash. From then on it must not reach any target.
const MAX_CRASHES: usize = 3;

/// Pause of a caller between two tries.
const RETRY_PAUSE_MS: u64 = 200;

fn config() -> Value {
    let route = |name: &str, kind: &str, public: bool| {
        json!({"name": name, "host": "trips.example", "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 1_000, "slo_ms": 500, "priority": 1, "service": "trips", "attempts": 2, "public": public})
    };
    json!({"version": "00000001",
        "routes": [route("view", "safe", false), route("book", "unsafe", false), route("index", "safe", true)],
        "services": [{"name": "trips", "health_path": "/healthz", "max_conns": 100}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": [{"name": "agency", "api_keys": ["key-1"], "rate_per_s": 1_000, "burst": 1_000}]})
}

/// Returns one try of a request. Each try has an ID of its own.
fn try_of(method: &'static str, path: &'static str, number: usize) -> CallerRequest {
    CallerRequest { method, path, request_id: format!("{path}-{number}"), api_key: "key-1", deadline_ms: 3_000 }
}

async fn start_fleet(services: &[&str]) -> SidecarFleet {
    let fleet = SidecarFleet::start(services, &config()).await;
    for vm in 0..services.len() {
        fleet.wait_for_status(vm, &try_of("GET", "/view/other", vm), 200).await;
    }
    for vm in &fleet.vms {
        *vm.target.behaviour.lock().expect("not poisoned") = TargetBehaviour::CrashOn("crash");
    }
    fleet
}

fn count_crashes(fleet: &SidecarFleet) -> usize {
    fleet.vms.iter().map(|vm| vm.target.crashes.load(Ordering::Relaxed)).sum()
}

/// Sends a request through each node in turn, `tries` times in all, and returns the last status.
async fn send_repeatedly(fleet: &SidecarFleet, method: &'static str, path: &'static str, tries: usize) -> u16 {
    let mut status = 0;
    for number in 0..tries {
        status = fleet.send(number % fleet.vms.len(), &try_of(method, path, number)).await.status;
        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }
    status
}

#[tokio::test]
async fn crashing_request_is_sent_to_target_after_target() {
    struct Case {
        name: &'static str,
        method: &'static str,
        path: &'static str,
    }
    let cases = [
        Case { name: "a request that may be repeated", method: "GET", path: "/view/crash" },
        Case { name: "a request that runs at most once", method: "POST", path: "/book/crash" },
        Case { name: "a call of a target", method: "GET", path: "/index/crash" },
    ];
    for case in cases {
        let fleet = start_fleet(&["front", "trips", "trips", "trips", "trips", "trips"]).await;
        let last_status = send_repeatedly(&fleet, case.method, case.path, 18).await;
        assert_that!(count_crashes(&fleet), le(MAX_CRASHES), "{}", case.name);
        assert_that!(last_status, eq(503), "{}", case.name);
        for vm in 0..fleet.vms.len() {
            fleet.wait_for_status(vm, &try_of("GET", "/view/other", vm), 200).await;
        }
    }
}

/// A node that starts later must not begin to count anew, nor must one whose only informants have started later.
#[tokio::test]
async fn crashing_request_is_sent_again_after_nodes_restarted() {
    let mut fleet = start_fleet(&["front", "trips", "trips", "trips"]).await;
    send_repeatedly(&fleet, "GET", "/view/crash", 12).await;
    let crashes_before = count_crashes(&fleet);
    for vm in 0..fleet.vms.len() {
        fleet.restart_node(vm).await;
        wait_until("the restarted node serves requests", || async {
            let response = fleet.try_send(vm, &try_of("GET", "/view/other", vm)).await;
            response.is_ok_and(|response| response.status == 200).then_some(())
        })
        .await;
    }
    send_repeatedly(&fleet, "GET", "/view/crash", 12).await;
    assert_that!(count_crashes(&fleet), eq(crashes_before));
}

/// A request that many callers send is in flight whenever a target crashes, and must not be taken for the cause.
#[tokio::test]
async fn frequent_request_is_blocked_after_crashes_beside_it() {
    let fleet = start_fleet(&["front", "trips", "trips", "trips"]).await;
    let frequent = |number| try_of("GET", "/index/frequent", number);
    for number in 0..60 {
        fleet.wait_for_status(number % fleet.vms.len(), &frequent(number), 200).await;
    }
    for number in 0..6 {
        let crashing = try_of("GET", "/view/crash", number);
        let beside = futures_util::future::join_all((0..24).map(|index| {
            let fleet = &fleet;
            async move { fleet.try_send(index % fleet.vms.len(), &frequent(index)).await }
        }));
        let _ = tokio::join!(beside, fleet.send(0, &crashing));
        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }
    assert_that!(count_crashes(&fleet), all!(ge(2), le(MAX_CRASHES)));
    for vm in 0..fleet.vms.len() {
        fleet.wait_for_status(vm, &frequent(vm), 200).await;
    }
}

/// A target that closes a connection without a response but goes on has not crashed.
#[tokio::test]
async fn request_is_blocked_after_its_responses_were_lost() {
    let fleet = start_fleet(&["front", "trips", "trips"]).await;
    let set_behaviour = |behaviour| {
        for vm in &fleet.vms {
            *vm.target.behaviour.lock().expect("not poisoned") = behaviour;
        }
    };
    set_behaviour(TargetBehaviour::DropResponse);
    for number in 0..6 {
        assert_that!(fleet.send(0, &try_of("POST", "/book/once", number)).await.status, eq(502));
    }
    set_behaviour(TargetBehaviour::Respond);
    assert_that!(fleet.send(0, &try_of("POST", "/book/once", 6)).await.status, eq(200));
}
