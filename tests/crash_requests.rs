//! Requests that crash each target that runs them, sent again and again through the nodes of a platform's fleet.

mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures_util::stream::{self, StreamExt};

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{
    CallerRequest, EndOfConnections, EndOfPort, Ending, LastWords, SidecarFleet, TargetBehaviour, wait_until,
};

/// Targets that a request may crash. From then on it must not reach any target.
const MAX_CRASHES: usize = 3;

/// Pause of a caller between two tries.
const RETRY_PAUSE_MS: u64 = 200;

/// Interval and duration in which a request that ends targets is sent, in milliseconds.
const STORM_INTERVAL_MS: u64 = 150;
const STORM_MS: u64 = 9_000;

/// Retries that may reach targets later than [`STABILITY_WINDOW_MS`] after a request has ended the third one.
const MAX_LATE_RETRIES: usize = 3;
const STABILITY_WINDOW_MS: u64 = 3_000;

/// Time within which a request that only ran beside a crash is answered, in milliseconds, once the targets are back.
const MAX_INNOCENT_WAIT_MS: u64 = 5_000;

/// Cases of one table that run at the same time, each with processes of its own.
const CASES_AT_ONCE: usize = 3;

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

/// Requests that run beside the crashing one. The first two are sent again and again.
const BESIDE_PATHS: [&str; 8] = [
    "/view/other",
    "/index/other",
    "/view/beside-1",
    "/view/beside-2",
    "/view/beside-3",
    "/index/beside-4",
    "/index/beside-5",
    "/index/beside-6",
];

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

/// A gate that asked only whether the target accepts connections right after a loss recognised one way to end.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_ends_targets_is_sent_on_if_they_end_in_another_way() {
    struct Case {
        name: &'static str,
        ending: Ending,
        /// When the callers of the crashing request leave.
        callers_leave_after_ms: u64,
    }
    const STAYS: u64 = 10_000;
    let case = |name, ending| Case { name, ending, callers_leave_after_ms: STAYS };
    let plain = Ending::PLAIN;
    let port = |port| Ending { port, ..plain };
    let silent = |ending| Ending { connections: EndOfConnections::Silent, ..ending };
    let cases = [
        case("connections close, then the port", plain),
        case("port closes first", port(EndOfPort::ClosedBeforeMs(60))),
        case("port closes a moment later", port(EndOfPort::ClosedAfterMs(150))),
        case(
            "connections are reset",
            Ending { connections: EndOfConnections::Reset, ..port(EndOfPort::ClosedAfterMs(60)) },
        ),
        case("port is kept for the next run", port(EndOfPort::Kept)),
        case("port is kept, next run has another name", Ending { renamed: true, ..port(EndOfPort::Kept) }),
        case("port is kept and closes connections", port(EndOfPort::KeptAndClosing)),
        case("heartbeats go on for a moment", Ending { late_heartbeats: true, ..port(EndOfPort::Kept) }),
        case("next run starts at once", Ending { down_ms: 1, ..port(EndOfPort::Kept) }),
        case("part of the body was sent", Ending { last_words: LastWords::PartOfBody, after_ms: 20, ..plain }),
        case(
            "an invalid response was sent",
            Ending { last_words: LastWords::InvalidResponse, after_ms: 20, ..port(EndOfPort::Kept) },
        ),
        case("connections fall silent", silent(plain)),
        case("connections fall silent, port is kept", silent(port(EndOfPort::Kept))),
        case("connections fall silent for long", silent(Ending { down_ms: 1_500, ..plain })),
        Case {
            name: "the caller leaves before the end",
            ending: Ending { after_ms: 100, ..port(EndOfPort::Kept) },
            callers_leave_after_ms: 50,
        },
    ];
    // Starting processes blocks the thread. A write to the store of another fleet that starts meanwhile would time out.
    let starting = tokio::sync::Mutex::new(());
    let failures: Vec<Vec<String>> = stream::iter(cases)
        .map(async |case| {
            let turn = starting.lock().await;
            let fleet = start_fleet(&["front", "trips", "trips", "trips", "trips", "trips"]).await;
            drop(turn);
            for vm in &fleet.vms {
                *vm.target.ending.lock().expect("not poisoned") = case.ending;
            }
            let failures = send_storm(&fleet, case.callers_leave_after_ms).await;
            failures.into_iter().map(|failure| format!("{}: {failure}", case.name)).collect()
        })
        .buffer_unordered(CASES_AT_ONCE)
        .collect()
        .await;
    assert_that!(failures.concat(), is_empty());
}

/// Sends a request that ends targets, and beside each try one that does not, through all nodes in turn. Returns what
/// callers and targets should not have seen.
async fn send_storm(fleet: &SidecarFleet, callers_leave_after_ms: u64) -> Vec<String> {
    let tries = (STORM_MS / STORM_INTERVAL_MS) as usize;
    let crashing = |number| try_of("GET", "/view/crash", number);
    let beside = |number: usize, attempt: usize| CallerRequest {
        path: BESIDE_PATHS[number % BESIDE_PATHS.len()],
        request_id: format!("beside-{number}-{attempt}"),
        ..try_of("GET", "", 0)
    };
    let sent = stream::iter(0..tries).map(|number| async move {
        tokio::time::sleep(Duration::from_millis(number as u64 * STORM_INTERVAL_MS)).await;
        let vm = number % fleet.vms.len();
        let leaving = Duration::from_millis(callers_leave_after_ms);
        let (crashing, beside) = (crashing(number), beside(number, 0));
        let sending = tokio::time::timeout(leaving, fleet.try_send(vm, &crashing));
        let (crashed, _) = tokio::join!(sending, fleet.try_send(vm, &beside));
        crashed.ok().and_then(std::result::Result::ok).map(|response| response.status)
    });
    let statuses: Vec<Option<u16>> = sent.buffered(tries).collect().await;
    let mut failures = Vec::new();
    let late = count_late_arrivals(fleet);
    if late > MAX_LATE_RETRIES {
        failures.push(format!("{late} late arrivals, {} ends", count_crashes(fleet)));
    }
    if statuses.last() != Some(&Some(503)) {
        failures.push(format!("the last try got {:?}", statuses.last()));
    }
    let started = Instant::now();
    for (number, path) in BESIDE_PATHS.iter().enumerate() {
        let vm = number % fleet.vms.len();
        let answered = async {
            for attempt in 1.. {
                let response = fleet.try_send(vm, &beside(number, attempt)).await;
                if response.is_ok_and(|response| response.status == 200) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            }
        };
        let left = Duration::from_millis(MAX_INNOCENT_WAIT_MS).saturating_sub(started.elapsed());
        if tokio::time::timeout(left, answered).await.is_err() {
            failures.push(format!("{path} is not served"));
        }
    }
    failures
}

/// Returns how many tries of the crashing request reached targets too late after the third end.
fn count_late_arrivals(fleet: &SidecarFleet) -> usize {
    let mut ends: Vec<Instant> = Vec::new();
    for vm in &fleet.vms {
        ends.extend(vm.target.crash_times.lock().expect("not poisoned").iter());
    }
    ends.sort();
    let Some(third) = ends.get(MAX_CRASHES - 1) else { return 0 };
    let late = |started: Instant| started > *third + Duration::from_millis(STABILITY_WINDOW_MS);
    let is_late = |run: &support::RecordedRun| run.request_id.starts_with("/view/crash") && late(run.started);
    fleet
        .vms
        .iter()
        .map(|vm| vm.target.runs.lock().expect("not poisoned").iter().filter(|run| is_late(run)).count())
        .sum()
}
