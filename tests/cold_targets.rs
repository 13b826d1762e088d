//! Targets that are cold, in a fleet of sidecar processes under more load than they take.

mod support;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{COLD_OVERAGE, COLD_SLACK, CallerRequest, SidecarFleet, TargetBehaviour};

const COLD_PER_S: f64 = 7.5;
const CALLERS: usize = 24;
const CALLER_PAUSE_MS: u64 = 60;

/// Time for which a target works on a request, in milliseconds.
const WORK_MS: u64 = 20;

/// Time from the moment at which a target turns cold until its node has heard of it, in milliseconds: two heartbeats.
const HEARD_AFTER_MS: u64 = 500;

fn config(cold_per_s: f64) -> Value {
    let route = json!({"name": "index", "host": "trips.example", "prefix": "/index/", "kind": "safe",
        "timeout_ms": 1_000, "slo_ms": 500, "priority": 1, "service": "trips", "attempts": 2, "public": true});
    json!({"version": "00000001", "routes": [route],
        "services": [{"name": "trips", "health_path": "/healthz", "max_conns": 100, "cold_start_s": 4,
            "cold_per_s": cold_per_s}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": []})
}

fn request(request_id: String) -> CallerRequest {
    CallerRequest { method: "GET", path: "/index/1", request_id, api_key: "", deadline_ms: 2_000 }
}

/// Starts a fleet whose first VM has a target of another service.
async fn start_fleet(cold_per_s: f64) -> SidecarFleet {
    let fleet = SidecarFleet::start(&["front", "trips", "trips", "trips"], &config(cold_per_s)).await;
    for vm in 0..fleet.vms.len() {
        fleet.wait_for_status(vm, &request(format!("first-{vm}")), 200).await;
        *fleet.vms[vm].target.behaviour.lock().expect("not poisoned") = TargetBehaviour::RespondAfterMs(WORK_MS);
    }
    fleet
}

/// Sends requests through the first node until `until` ends. Returns how many were answered with 200, and how many were
/// sent.
async fn send_until(fleet: &SidecarFleet, until: impl Future<Output = ()>) -> (usize, usize) {
    let (served, sent, ended) = (AtomicUsize::new(0), AtomicUsize::new(0), AtomicBool::new(false));
    let callers = (0..CALLERS).map(|_| async {
        while !ended.load(Ordering::Relaxed) {
            let number = sent.fetch_add(1, Ordering::Relaxed);
            let response = fleet.try_send(0, &request(format!("r-{number}"))).await;
            served.fetch_add(usize::from(response.is_ok_and(|response| response.status == 200)), Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(CALLER_PAUSE_MS)).await;
        }
    });
    let end = async {
        until.await;
        ended.store(true, Ordering::Relaxed);
    };
    futures_util::future::join(futures_util::future::join_all(callers), end).await;
    (served.into_inner(), sent.into_inner())
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

fn set_cold(fleet: &SidecarFleet, vm: usize, cold_ms: u64) {
    *fleet.vms[vm].target.cold_until.lock().expect("not poisoned") = Instant::now() + Duration::from_millis(cold_ms);
}

/// Returns the most runs of a target in a span of one second whose last run began within `cold`.
fn most_in_one_second(fleet: &SidecarFleet, vm: usize, cold: std::ops::Range<Instant>) -> usize {
    let runs = fleet.vms[vm].target.runs.lock().expect("not poisoned");
    let started: Vec<Instant> = runs.iter().map(|run| run.started).collect();
    let in_span = |end: &Instant| {
        started.iter().filter(|time| *time <= end && end.duration_since(**time) <= Duration::from_secs(1)).count()
    };
    started.iter().filter(|end| cold.contains(end)).map(in_span).max().unwrap_or_default()
}

fn bound() -> usize {
    (COLD_PER_S * COLD_OVERAGE + COLD_SLACK) as usize
}

/// Guards against more requests than a cold target survives, from the moment at which its node hears of it, and against a
/// limit where the configuration names none.
#[tokio::test]
async fn target_that_turns_cold_under_load_receives_no_more_than_the_bound() {
    const COLD_MS: u64 = 3_000;
    for (cold_per_s, is_limited) in [(COLD_PER_S, true), (0.0, false)] {
        let fleet = start_fleet(cold_per_s).await;
        let mut cold = Instant::now()..Instant::now();
        let (served, sent) = send_until(&fleet, async {
            sleep_ms(1_000).await;
            set_cold(&fleet, 1, COLD_MS);
            sleep_ms(HEARD_AFTER_MS).await;
            cold.start = Instant::now();
            sleep_ms(COLD_MS - HEARD_AFTER_MS).await;
            cold.end = Instant::now();
            sleep_ms(2_500).await;
        })
        .await;
        let most = most_in_one_second(&fleet, 1, cold.clone());
        assert_that!(most <= bound(), eq(is_limited), "{most} requests in one second");
        // The other targets take over, and the one that was cold returns.
        assert_that!(served * 100, ge(sent * 95), "{served} of {sent} requests served");
        let warm = cold.end + Duration::from_millis(1_000)..Instant::now();
        assert_that!(most_in_one_second(&fleet, 1, warm), gt(bound()));
    }
}

/// Guards against a node that forgets that its target is cold when it starts again, and against one that sends what it
/// held, or trusts what it knew, after it was suspended.
#[tokio::test]
async fn cold_target_receives_no_more_than_the_bound_while_its_node_does_not_run() {
    const COLD_MS: u64 = 20_000;
    const SUSPENDED_MS: u64 = 2_500;
    struct Case {
        name: &'static str,
        cold_before: bool,
        restarts: bool,
    }
    let cases = [
        Case { name: "restarted beside a cold target", cold_before: true, restarts: true },
        Case { name: "suspended beside a cold target", cold_before: true, restarts: false },
        Case { name: "suspended while the target turns cold", cold_before: false, restarts: false },
    ];
    for case in cases {
        let mut fleet = start_fleet(COLD_PER_S).await;
        let mut cold = Instant::now();
        if case.cold_before {
            set_cold(&fleet, 1, COLD_MS);
            sleep_ms(HEARD_AFTER_MS).await;
            cold = Instant::now();
        }
        send_until(&fleet, sleep_ms(1_000)).await;
        if case.restarts {
            fleet.restart_node(1).await;
        } else {
            fleet.vms[1].node.suspend();
            set_cold(&fleet, 1, COLD_MS);
            if !case.cold_before {
                cold = Instant::now();
            }
            send_until(&fleet, sleep_ms(SUSPENDED_MS)).await;
            fleet.vms[1].node.resume();
        }
        send_until(&fleet, sleep_ms(2_500)).await;
        let most = most_in_one_second(&fleet, 1, cold..Instant::now());
        assert_that!(most, all!(gt(0), le(bound())), "{}", case.name);
    }
}

/// Guards against a burst to a target that has crashed and started again, before its node has heard a heartbeat.
#[tokio::test]
async fn target_that_starts_again_receives_no_more_than_the_bound() {
    const COLD_MS: u64 = 5_000;
    const DOWN_MS: u64 = 300;
    let fleet = start_fleet(COLD_PER_S).await;
    // The next heartbeat comes long after the start.
    fleet.vms[1].target.heartbeat_interval_ms.store(1_500, Ordering::Relaxed);
    sleep_ms(1_600).await;
    let mut started = Instant::now();
    send_until(&fleet, async {
        sleep_ms(1_000).await;
        set_cold(&fleet, 1, COLD_MS);
        fleet.vms[1].target.crash();
        sleep_ms(DOWN_MS).await;
        started = Instant::now();
        sleep_ms(4_000).await;
    })
    .await;
    let runs = fleet.vms[1].target.runs.lock().expect("not poisoned").clone();
    assert_that!(runs.iter().filter(|run| run.started >= started).count(), gt(0), "used again");
    drop(runs);
    // What the run before the crash received does not count.
    fleet.vms[1].target.runs.lock().expect("not poisoned").retain(|run| run.started >= started);
    assert_that!(most_in_one_second(&fleet, 1, started..Instant::now()), le(bound()));
}
