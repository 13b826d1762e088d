//! Sidecar nodes whose targets refuse the calls that they get.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{CallerRequest, SidecarFleet, TargetBehaviour};

const CALLERS: usize = 12;
const CALLER_PAUSE_MS: u64 = 50;

/// Time for which a target works on a request, in milliseconds.
const WORK_MS: u64 = 30;

fn config() -> Value {
    let route = json!({"name": "index", "host": "trips.example", "prefix": "/index/", "kind": "safe",
        "timeout_ms": 1_000, "slo_ms": 500, "priority": 1, "service": "trips", "attempts": 2, "public": false});
    json!({"version": "00000001", "routes": [route],
        "services": [{"name": "trips", "health_path": "/healthz", "max_conns": 100}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": [{"name": "agency", "api_keys": ["key-1"], "rate_per_s": 1_000, "burst": 1_000}]})
}

fn request(request_id: String) -> CallerRequest {
    CallerRequest { method: "GET", path: "/index/1", request_id, api_key: "key-1", deadline_ms: 2_000 }
}

/// Sends requests to the first node for a time. Returns how many were answered with 200, and how many were sent.
async fn send_for(fleet: &SidecarFleet, duration_ms: u64) -> (usize, usize) {
    let until = Instant::now() + Duration::from_millis(duration_ms);
    let (served, sent) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let callers = (0..CALLERS).map(|_| async {
        while Instant::now() < until {
            let number = sent.fetch_add(1, Ordering::Relaxed);
            let response = fleet.try_send(0, &request(format!("r-{number}"))).await;
            served.fetch_add(usize::from(response.is_ok_and(|response| response.status == 200)), Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(CALLER_PAUSE_MS)).await;
        }
    });
    futures_util::future::join_all(callers).await;
    (served.into_inner(), sent.into_inner())
}

fn count_refusals(fleet: &SidecarFleet) -> usize {
    fleet.vms.iter().map(|vm| vm.target.refusals.load(Ordering::Relaxed)).sum()
}

fn set_behaviour(fleet: &SidecarFleet, behaviour: TargetBehaviour) {
    for vm in &fleet.vms {
        *vm.target.behaviour.lock().expect("not poisoned") = behaviour;
    }
}

/// Guards against a break anywhere between the refusal of a target and the admission at another node, where requests
/// were sent on for as long as the targets refused, and against admission that does not open again.
#[tokio::test]
async fn requests_are_refused_at_ingress_while_all_targets_refuse() {
    let fleet = SidecarFleet::start(&["front", "trips", "trips"], &config()).await;
    fleet.wait_for_status(0, &request("first".to_owned()), 200).await;
    set_behaviour(&fleet, TargetBehaviour::RespondAfterMs(WORK_MS));
    let (served, sent) = send_for(&fleet, 4_000).await;
    assert_that!(served * 100, ge(sent * 98), "before: {served} of {sent}");
    set_behaviour(&fleet, TargetBehaviour::Refuse);
    send_for(&fleet, 2_000).await;
    let refusals_before = count_refusals(&fleet);
    let (_, sent) = send_for(&fleet, 2_000).await;
    let reached = count_refusals(&fleet) - refusals_before;
    assert_that!(reached * 10, le(sent * 2), "{reached} attempts for {sent} requests");
    set_behaviour(&fleet, TargetBehaviour::RespondAfterMs(WORK_MS));
    send_for(&fleet, 4_000).await;
    let (served, sent) = send_for(&fleet, 2_000).await;
    assert_that!(served * 100, ge(sent * 95), "afterwards: {served} of {sent}");
}
