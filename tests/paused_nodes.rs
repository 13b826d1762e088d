//! Sidecar processes that are suspended for seconds: what expired meanwhile must not be used when they go on.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use googletest::prelude::*;
use serde_json::{Value, json};
use support::{CallerRequest, SidecarFleet, TargetBehaviour, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time after which a revoked key must not work any more, as in the settings of the nodes.
const REVOKE_MS: u64 = 5_000;

/// Rate and burst of the tenant whose tokens are counted, and the slack of the settings.
const RATE_PER_S: f64 = 20.0;
const BURST: f64 = 20.0;
const SLACK: f64 = 20.0;

fn config(version: u32, api_keys: &[&str], rate_per_s: f64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, public: bool| {
        json!({"name": name, "host": "trips.example", "prefix": prefix, "kind": kind, "timeout_ms": 9_000,
            "slo_ms": 500, "priority": 1, "service": "trips", "attempts": 2, "public": public})
    };
    json!({"version": format!("{version:08x}"),
        "routes": [route("view", "/view/", "safe", false), route("book", "/book/", "unsafe", false),
            route("pay", "/pay/", "unsafe", true)],
        "services": [{"name": "trips", "max_conns": 100}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": [{"name": "agency", "api_keys": api_keys, "rate_per_s": rate_per_s, "burst": rate_per_s}]})
}

fn request(method: &'static str, path: &'static str, request_id: impl Into<String>) -> CallerRequest {
    CallerRequest { method, path, request_id: request_id.into(), api_key: "key-1", deadline_ms: 9_000 }
}

async fn start_fleet(services: &[&str], rate_per_s: f64) -> SidecarFleet {
    let fleet = SidecarFleet::start(services, &config(1, &["key-1"], rate_per_s)).await;
    for vm in 0..services.len() {
        fleet.wait_for_status(vm, &request("GET", "/view/1", "first"), 200).await;
    }
    fleet
}

fn count_runs(fleet: &SidecarFleet, is_counted: impl Fn(&str) -> bool) -> usize {
    let runs_on = |vm: &support::SidecarVm| {
        let runs = vm.target.runs.lock().expect("not poisoned");
        runs.iter().filter(|run| is_counted(&run.request_id)).count()
    };
    fleet.vms.iter().map(runs_on).sum()
}

/// Guards against a key that is checked when the head of a request arrives and used much later, when its body has
/// arrived.
#[googletest::test]
#[tokio::test]
async fn key_that_was_revoked_while_the_body_arrived_is_not_used() {
    struct Case {
        name: &'static str,
        paused: bool,
        statuses: &'static [&'static str],
    }
    let cases = [
        Case { name: "slow-body", paused: false, statuses: &["HTTP/1.1 401"] },
        // A node that has not heard of the change yet says that it can't tell.
        Case { name: "paused", paused: true, statuses: &["HTTP/1.1 401", "HTTP/1.1 503"] },
    ];
    for case in cases {
        let fleet = start_fleet(&["front", "trips"], 1_000.0).await;
        let mut caller = TcpStream::connect(fleet.vms[0].caller_address).await.expect("the node listens");
        let head = format!(
            "POST /book/1 HTTP/1.1\r\nhost: trips.example\r\nrequest-id: {}\r\ndeadline: 9000\r\n\
             authorization: Token key-1\r\ncontent-length: 10\r\n\r\nhalf-",
            case.name
        );
        caller.write_all(head.as_bytes()).await.expect("the node reads");
        tokio::time::sleep(Duration::from_millis(200)).await;
        if case.paused {
            fleet.vms[0].node.suspend();
        }
        fleet.publish_config(&config(2, &["key-2"], 1_000.0)).await;
        tokio::time::sleep(Duration::from_millis(REVOKE_MS + 200)).await;
        caller.write_all(b"other").await.expect("the connection is open");
        if case.paused {
            fleet.vms[0].node.resume();
        }
        let mut buffer = vec![0; 4_096];
        let bytes_read = caller.read(&mut buffer).await.expect("a response");
        let response = String::from_utf8_lossy(&buffer[..bytes_read]).into_owned();
        let is_refused = case.statuses.iter().any(|status| response.starts_with(status));
        expect_that!(is_refused, eq(true), "{}: {response}", case.name);
        expect_that!(count_runs(&fleet, |id| id == case.name), eq(0), "{}", case.name);
    }
}

/// Guards against calls that have waited in the sockets of a paused node and then reach a target that has left in the
/// meantime: the notice waits in another socket.
#[googletest::test]
#[tokio::test]
async fn calls_that_waited_in_a_paused_node_do_not_reach_a_target_that_has_left() {
    let cases = [
        PauseCase { name: "calls of another node", entry_vm: 0, paused_ms: 2_500 },
        PauseCase { name: "calls of its own callers", entry_vm: 1, paused_ms: 2_500 },
        PauseCase { name: "longer pause", entry_vm: 1, paused_ms: 4_000 },
    ];
    check_calls_after_pause(&cases).await;
}

/// The same with a pause that `PauseGuard` does not hold calls after, since it ignores pauses below two seconds.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_waited_in_a_briefly_paused_node_do_not_reach_a_target_that_has_left() {
    check_calls_after_pause(&[PauseCase { name: "short pause", entry_vm: 0, paused_ms: 1_000 }]).await;
}

#[derive(Clone, Copy)]
struct PauseCase {
    name: &'static str,
    /// VM whose node receives the calls; the one of VM 1 is paused.
    entry_vm: usize,
    paused_ms: u64,
}

async fn check_calls_after_pause(cases: &[PauseCase]) {
    for PauseCase { name, entry_vm, paused_ms } in cases.iter().copied() {
        let fleet = start_fleet(&["front", "trips"], 1_000.0).await;
        fleet.vms[1].node.suspend();
        let bookings: Vec<_> = (0..8).map(|number| request("POST", "/pay/1", format!("late-{number}"))).collect();
        let sending = join_all(bookings.iter().map(|booking| fleet.try_send(entry_vm, booking)));
        let leaving = async {
            // The calls come first.
            tokio::time::sleep(Duration::from_millis(300)).await;
            fleet.deregister_target(1).await;
        };
        let pause = async {
            tokio::time::sleep(Duration::from_millis(paused_ms)).await;
            fleet.vms[1].node.resume();
        };
        let (responses, (), ()) = tokio::join!(sending, leaving, pause);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let statuses: Vec<_> = responses.into_iter().map(|response| response.map(|response| response.status)).collect();
        let runs = count_runs(&fleet, |id| id.starts_with("late-"));
        expect_that!(runs, eq(0), "{name}: {statuses:?}");
    }
}

/// Guards against a node that goes on to use tokens and leases that other nodes have taken over while it was paused.
#[tokio::test]
async fn rate_of_a_tenant_holds_over_the_pause_of_a_node() {
    const CALLERS: usize = 8;
    const PAUSE_MS: u64 = 5_000;
    const LOAD_MS: u64 = 12_000;
    let fleet = start_fleet(&["trips", "trips", "trips"], RATE_PER_S).await;
    let (sent, until) = (AtomicUsize::new(0), Instant::now() + Duration::from_millis(LOAD_MS));
    let callers = (0..3 * CALLERS).map(|caller| {
        let (fleet, sent) = (&fleet, &sent);
        async move {
            while Instant::now() < until {
                let number = sent.fetch_add(1, Ordering::Relaxed);
                let _ = fleet.try_send(caller % 3, &request("GET", "/view/1", format!("rate-{number}"))).await;
                tokio::time::sleep(Duration::from_millis(40)).await;
            }
        }
    });
    let pause = async {
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        fleet.vms[0].node.suspend();
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        fleet.vms[0].node.resume();
    };
    tokio::join!(join_all(callers), pause);
    let runs = fleet.vms.iter().flat_map(|vm| vm.target.runs.lock().expect("not poisoned").clone());
    let mut started: Vec<Instant> =
        runs.filter(|run| run.request_id.starts_with("rate-")).map(|run| run.started).collect();
    started.sort();
    assert_that!(started.len(), gt(100));
    let excess = |first: usize, last: usize| {
        let window_s = started[last].duration_since(started[first]).as_secs_f64();
        (last - first + 1) as f64 - RATE_PER_S * window_s - BURST
    };
    let pairs = (0..started.len()).flat_map(|first| (first..started.len()).map(move |last| (first, last)));
    let highest = pairs.map(|(first, last)| excess(first, last)).fold(f64::MIN, f64::max);
    assert_that!(highest, le(SLACK), "{} runs of {}", started.len(), sent.into_inner());
    wait_until("the paused node serves again", || async {
        let response = fleet.try_send(0, &request("GET", "/view/1", "again")).await;
        response.is_ok_and(|response| response.status == 200).then_some(())
    })
    .await;
}

/// Guards against work that is abandoned because its node was silent for a while, and against work that is done twice.
#[googletest::test]
#[tokio::test]
async fn work_that_runs_while_its_node_is_paused_is_answered_and_runs_once() {
    const RUN_MS: u64 = 500;
    const BOOKINGS: usize = 8;
    let fleet = start_fleet(&["front", "trips", "trips"], 1_000.0).await;
    for vm in &fleet.vms {
        *vm.target.behaviour.lock().expect("not poisoned") = TargetBehaviour::RespondAfterMs(RUN_MS);
    }
    for pause_ms in [1_000, 2_000, 3_000] {
        let bookings: Vec<_> =
            (0..BOOKINGS).map(|number| request("POST", "/pay/1", format!("run-{pause_ms}-{number}"))).collect();
        let sending = join_all(bookings.iter().map(|booking| fleet.send(0, booking)));
        let pause = async {
            tokio::time::sleep(Duration::from_millis(RUN_MS / 2)).await;
            fleet.vms[1].node.suspend();
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            fleet.vms[1].node.resume();
        };
        let (responses, ()) = tokio::join!(sending, pause);
        for (booking, response) in bookings.iter().zip(responses) {
            let runs = count_runs(&fleet, |id| id == booking.request_id);
            expect_that!((response.status, runs), eq((200, 1)), "{}", booking.request_id);
        }
    }
}
