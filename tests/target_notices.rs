//! Targets that say in their responses how many requests they take, and what else decides which target gets a request.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{CallerRequest, SidecarFleet, TargetBehaviour, wait_until};

/// Length of the windows in which requests are counted, in seconds.
const WINDOW_S: u64 = 4;

/// Time from which on a limit binds, in milliseconds.
const BINDS_AFTER_MS: u64 = 3_000;

const CALLERS: usize = 12;
const CALLER_PAUSE_MS: u64 = 100;

/// Time for which a target works on a request, in milliseconds.
const WORK_MS: u64 = 50;

fn config() -> Value {
    let route = json!({"name": "index", "host": "trips.example", "prefix": "/index/", "kind": "safe",
        "timeout_ms": 1_000, "slo_ms": 500, "priority": 1, "service": "trips", "attempts": 2, "public": true});
    json!({"version": "00000001", "routes": [route],
        "services": [{"name": "trips", "health_path": "/healthz", "max_conns": 100}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": []})
}

fn request(request_id: String) -> CallerRequest {
    CallerRequest { method: "GET", path: "/index/1", request_id, api_key: "", deadline_ms: 2_000 }
}

async fn start_fleet(services: &[&str]) -> SidecarFleet {
    let fleet = SidecarFleet::start(services, &config()).await;
    for vm in 0..services.len() {
        fleet.wait_for_status(vm, &request(format!("first-{vm}")), 200).await;
    }
    for vm in &fleet.vms {
        *vm.target.behaviour.lock().expect("not poisoned") = TargetBehaviour::RespondAfterMs(WORK_MS);
    }
    fleet
}

/// Sends requests through the nodes of `vms` for a time. Returns how many were answered with 200, and how many were sent.
async fn send_for(fleet: &SidecarFleet, vms: &[usize], duration_ms: u64) -> (usize, usize) {
    let until = Instant::now() + Duration::from_millis(duration_ms);
    let (served, sent) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let callers = (0..CALLERS).map(|caller| {
        let (served, sent) = (&served, &sent);
        async move {
            while Instant::now() < until {
                let number = sent.fetch_add(1, Ordering::Relaxed);
                let response = fleet.try_send(vms[caller % vms.len()], &request(format!("r-{number}"))).await;
                served.fetch_add(usize::from(response.is_ok_and(|response| response.status == 200)), Ordering::Relaxed);
                tokio::time::sleep(Duration::from_millis(CALLER_PAUSE_MS)).await;
            }
        }
    });
    futures_util::future::join_all(callers).await;
    (served.into_inner(), sent.into_inner())
}

fn count_runs(fleet: &SidecarFleet) -> usize {
    fleet.vms.iter().map(|vm| vm.target.runs.lock().expect("not poisoned").len()).sum()
}

/// Returns the most runs of the target of `vm` in a window that begins after `from`.
fn most_runs_in_window(fleet: &SidecarFleet, vm: usize, from: Instant) -> usize {
    let runs = fleet.vms[vm].target.runs.lock().expect("not poisoned");
    let started: Vec<Instant> = runs.iter().map(|run| run.started).filter(|started| *started >= from).collect();
    let in_window = |first: &Instant| {
        let window = *first..*first + Duration::from_secs(WINDOW_S);
        started.iter().filter(|started| window.contains(started)).count()
    };
    started.iter().map(in_window).max().unwrap_or_default()
}

/// Returns how many requests a target may get in a window: one and a half times what it has named, and five.
fn allowed_in_window(limit_per_s: u64) -> usize {
    (limit_per_s * WINDOW_S * 3 / 2 + 5) as usize
}

fn set_notices(fleet: &SidecarFleet, vm: usize, headers: Vec<(&'static str, String)>) {
    *fleet.vms[vm].target.notices.lock().expect("not poisoned") = headers;
}

#[tokio::test]
async fn target_gets_more_requests_than_the_limit_that_it_names() {
    const LIMIT_PER_S: u64 = 10;
    let fleet = start_fleet(&["front", "trips", "trips", "trips"]).await;
    set_notices(&fleet, 1, vec![("server-limit", LIMIT_PER_S.to_string())]);
    let named = Instant::now();
    let (served, sent) = send_for(&fleet, &[0, 1, 2, 3], BINDS_AFTER_MS + 1_000 * WINDOW_S + 1_000).await;
    let binding = named + Duration::from_millis(BINDS_AFTER_MS);
    assert_that!(most_runs_in_window(&fleet, 1, binding), le(allowed_in_window(LIMIT_PER_S)));
    // The others have room for all that the first one does not take, and the first one is used as far as it allows.
    assert_that!(served * 100, ge(sent * 95), "{served} of {sent} requests served");
    assert_that!(most_runs_in_window(&fleet, 1, binding), ge((LIMIT_PER_S * WINDOW_S / 2) as usize));
    // Without the header the limit no longer holds.
    set_notices(&fleet, 1, vec![]);
    let lifted = Instant::now();
    send_for(&fleet, &[0, 1, 2, 3], 1_000 * WINDOW_S).await;
    assert_that!(most_runs_in_window(&fleet, 1, lifted), gt(allowed_in_window(LIMIT_PER_S)));
}

/// The target's node starts anew and knows no limit, but the nodes that send to it do. The target is too slow to name its
/// limit again in time.
#[tokio::test]
async fn target_gets_more_requests_than_its_limit_after_its_node_restarted() {
    const LIMIT_PER_S: u64 = 2;
    let mut fleet = start_fleet(&["front", "trips"]).await;
    set_notices(&fleet, 1, vec![("server-limit", LIMIT_PER_S.to_string())]);
    let named = Instant::now();
    send_for(&fleet, &[0, 1], BINDS_AFTER_MS + 500).await;
    *fleet.vms[1].target.behaviour.lock().expect("not poisoned") = TargetBehaviour::RespondAfterMs(1_500);
    fleet.restart_node(1).await;
    wait_until("the restarted node runs requests", || async {
        let runs_before = count_runs(&fleet);
        let _ = fleet.try_send(0, &request("after".to_owned())).await;
        (count_runs(&fleet) > runs_before).then_some(())
    })
    .await;
    send_for(&fleet, &[0, 1], 1_000 * WINDOW_S).await;
    let binding = named + Duration::from_millis(BINDS_AFTER_MS);
    assert_that!(most_runs_in_window(&fleet, 1, binding), le(allowed_in_window(LIMIT_PER_S)));
}

/// Returns how many requests the target of `vm` began to run after `from`.
fn runs_since(fleet: &SidecarFleet, vm: usize, from: Instant) -> usize {
    let runs = fleet.vms[vm].target.runs.lock().expect("not poisoned");
    runs.iter().filter(|run| run.started >= from).count()
}

/// A target that states a pace without a meaning, or something that cannot be read, keeps its calls.
#[tokio::test]
async fn false_load_takes_a_target_out_of_rotation() {
    let fleet = start_fleet(&["front", "trips", "trips", "trips"]).await;
    for (vm, load) in [(1, "0,0,9,140"), (2, "0,0,9,99999999999"), (3, "much")] {
        set_notices(&fleet, vm, vec![("server-load", load.to_owned())]);
    }
    let from = Instant::now();
    let (served, sent) = send_for(&fleet, &[0], 3_000).await;
    assert_that!(served, eq(sent));
    for (vm, pace_percent) in [(1, Some(140.0)), (2, Some(2_000.0)), (3, None)] {
        assert_that!(runs_since(&fleet, vm, from), ge(sent / 10), "target {vm} of {sent} requests");
        assert_that!(fleet.metric(vm, "fulmartrestle_target_pace_percent ").await, eq(pace_percent), "target {vm}");
    }
}

/// The node must apply the settings of the traffic between zones while it runs, and count the calls that leave its zone.
#[tokio::test]
async fn calls_to_another_zone_are_not_counted() {
    let mut fleet = start_fleet(&["front", "trips"]).await;
    fleet.change_setting(1, "availability_zone", json!("verona"));
    fleet.restart_node(1).await;
    let calls = || fleet.metric(0, "fulmartrestle_zone_calls_total{label=\"milano>verona\"}");
    assert_that!(calls().await, none());
    fleet.change_setting(0, "zone_traffic", json!({"price_per_mb": 500, "max_share": 0.4}));
    wait_until("calls are counted", || async {
        let response = fleet.try_send(0, &request("r".to_owned())).await;
        assert_eq!(response.map(|response| response.status), Ok(200));
        calls().await.filter(|calls| *calls >= 3.0).map(|_| ())
    })
    .await;
}

/// A target says that it leaves in its responses only, while its announcements still call it ready. After its node has
/// started again, nodes that have forwarded such a response are still bound by it.
#[tokio::test]
async fn target_gets_requests_after_it_said_that_it_leaves() {
    const DRAIN_MS: u64 = 2_000;
    let mut fleet = start_fleet(&["front", "trips", "trips"]).await;
    set_notices(&fleet, 1, vec![("server-leaving", "1".to_owned())]);
    send_for(&fleet, &[0, 1, 2], 1_000).await;
    tokio::time::sleep(Duration::from_millis(DRAIN_MS)).await;
    let bound = Instant::now();
    let (served, sent) = send_for(&fleet, &[0, 1, 2], 1_000).await;
    assert_that!(runs_since(&fleet, 1, bound), eq(0));
    assert_that!(served, eq(sent));
    fleet.restart_node(1).await;
    let (served, sent) = send_for(&fleet, &[0, 2], 4_000).await;
    assert_that!(runs_since(&fleet, 1, bound), eq(0));
    assert_that!(served, eq(sent));
}

/// The node that acknowledged the deregistration has started again, and hears a heartbeat that was sent before it.
#[tokio::test]
async fn deregistered_target_gets_requests_after_its_node_restarted() {
    const DRAIN_MS: u64 = 2_000;
    let mut fleet = start_fleet(&["front", "trips", "trips"]).await;
    fleet.deregister_target(1).await;
    tokio::time::sleep(Duration::from_millis(DRAIN_MS)).await;
    let bound = Instant::now();
    fleet.restart_node(1).await;
    let (served, sent) = send_for(&fleet, &[0, 2], 4_000).await;
    assert_that!(runs_since(&fleet, 1, bound), eq(0));
    assert_that!(served, eq(sent));
}

/// The requests that wait for a slot when a target names a limit began to wait without one. No other request follows.
#[tokio::test]
async fn waiting_requests_are_not_started_after_a_limit_is_named() {
    const LIMIT_PER_S: u64 = 10;
    const REQUESTS: usize = 40;
    let fleet = start_fleet(&["front", "trips"]).await;
    // A heartbeat would start waiting requests too.
    fleet.vms[1].target.heartbeat_interval_ms.store(5_000, Ordering::Relaxed);
    send_for(&fleet, &[0], 500).await;
    set_notices(&fleet, 1, vec![("server-limit", LIMIT_PER_S.to_string())]);
    let runs_before = count_runs(&fleet);
    let requests = (0..REQUESTS).map(|number| {
        let request = request(format!("waiting-{number}"));
        let fleet = &fleet;
        async move { fleet.try_send(0, &request).await }
    });
    futures_util::future::join_all(requests).await;
    // Nine slots at once, and at the rate for most of the second until the route's timeout.
    assert_that!(count_runs(&fleet) - runs_before, ge(9 + 6));
}
