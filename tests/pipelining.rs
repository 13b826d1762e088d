//! Callers that send further requests before the first one is answered.

mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{Announced, CallerRequest, SidecarFleet, TargetBehaviour};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time that a target works on a request.
const WORK_MS: u64 = 400;

fn config() -> Value {
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({"name": name, "host": "trips.example", "prefix": prefix, "kind": kind, "timeout_ms": 4_000,
            "slo_ms": 500, "priority": 1, "service": "trips", "attempts": 2, "public": true})
    };
    json!({"version": "00000001",
        "routes": [route("view", "/view/", "safe"), route("pairings", "/pairings/", "unsafe"),
            route("list", "/list/", "download"), route("pictures", "/pictures/", "safe")],
        "services": [{"name": "trips"}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": []})
}

async fn start_fleet() -> SidecarFleet {
    let fleet = SidecarFleet::start(&["trips"], &config()).await;
    let first =
        CallerRequest { method: "GET", path: "/view/1", request_id: "first".into(), api_key: "", deadline_ms: 4_000 };
    fleet.wait_for_status(0, &first, 200).await;
    *fleet.vms[0].target.behaviour.lock().expect("not poisoned") = TargetBehaviour::RespondAfterMs(WORK_MS);
    fleet.vms[0].target.runs.lock().expect("not poisoned").clear();
    fleet
}

/// Sends all requests at once; the path of a request is its ID.
async fn send(fleet: &SidecarFleet, requests: &[&str]) -> TcpStream {
    let mut caller = TcpStream::connect(fleet.vms[0].caller_address).await.expect("the node listens");
    send_on(&mut caller, requests).await;
    caller
}

async fn send_on(caller: &mut TcpStream, requests: &[&str]) {
    let heads: String = requests
        .iter()
        .map(|request| {
            let (method, path) = request.split_once(' ').expect("a method and a path");
            let length = if method == "POST" { "content-length: 0\r\n" } else { "" };
            format!("{request} HTTP/1.1\r\nhost: trips.example\r\nrequest-id: {path}\r\ndeadline: 4000\r\n{length}\r\n")
        })
        .collect();
    caller.write_all(heads.as_bytes()).await.expect("the node reads");
}

/// Reads until `count` whole responses have arrived or the connection ends, and returns their IDs in order.
async fn read_ids(caller: &mut TcpStream, count: usize) -> Vec<String> {
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    while text.matches("whole").count() < count {
        let read = tokio::time::timeout(Duration::from_secs(8), caller.read(&mut buffer)).await;
        match read.expect("responses in time") {
            Ok(0) | Err(_) => break,
            Ok(bytes) => text.push_str(&String::from_utf8_lossy(&buffer[..bytes])),
        }
    }
    let lines = text.lines().map(str::to_lowercase);
    lines.filter_map(|line| line.strip_prefix("request-id: ").map(str::to_owned)).collect()
}

/// Returns the paths of the requests that the target has begun, with the milliseconds since `sent`.
fn started(fleet: &SidecarFleet, sent: Instant) -> Vec<(String, u64)> {
    let runs = fleet.vms[0].target.runs.lock().expect("not poisoned");
    runs.iter().map(|run| (run.request_id.clone(), run.started.duration_since(sent).as_millis() as u64)).collect()
}

/// Pipelined requests were handled one after the other, and each waited for the work of those before it.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn requests_run_at_the_same_time_unless_they_must_run_once() {
    struct Case {
        name: &'static str,
        requests: &'static [&'static str],
        /// Time between two requests, in milliseconds; with 0 they arrive together.
        pause_ms: u64,
        /// Number of times that the target's work is waited for one after the other.
        rounds: u64,
    }
    let case = |name, requests, pause_ms, rounds| Case { name, requests, pause_ms, rounds };
    let cases = [
        case("safe", &["GET /view/a1", "GET /view/a2", "GET /view/a3", "GET /view/a4"], 0, 1),
        case("safe before", &["GET /view/b1", "POST /pairings/b2"], 0, 2),
        case("safe behind", &["POST /pairings/c1", "GET /view/c2", "GET /view/c3"], 0, 3),
        case("at most once", &["POST /pairings/d1", "POST /pairings/d2"], 0, 2),
        case("safe, while the first one runs", &["GET /view/e1", "GET /view/e2", "GET /view/e3"], 50, 1),
        case("safe before, while it runs", &["GET /view/f1", "POST /pairings/f2"], 50, 2),
        case("safe behind, while the first one runs", &["POST /pairings/g1", "GET /view/g2"], 50, 2),
    ];
    let fleet = start_fleet().await;
    for case in &cases {
        let sent = Instant::now();
        let mut caller = send(&fleet, &case.requests[..1]).await;
        match case.pause_ms {
            0 => send_on(&mut caller, &case.requests[1..]).await,
            pause_ms => {
                for request in &case.requests[1..] {
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                    send_on(&mut caller, &[request]).await;
                }
            }
        }
        let ids = read_ids(&mut caller, case.requests.len()).await;
        let took_ms = sent.elapsed().as_millis() as u64;
        let expected: Vec<_> =
            case.requests.iter().filter_map(|request| Some(request.split_once(' ')?.1.to_owned())).collect();
        expect_that!(ids, eq(&expected), "{}", case.name);
        expect_that!(took_ms, ge(case.rounds * WORK_MS), "{}", case.name);
        expect_that!(took_ms, lt(case.rounds * WORK_MS + WORK_MS), "{}", case.name);
        expect_that!(started(&fleet, sent).len(), eq(case.requests.len()), "{}", case.name);
        fleet.vms[0].target.runs.lock().expect("not poisoned").clear();
    }
}

/// Requests that wait for a slot must not reach the target after their caller has left.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_caller_that_left_do_not_run() {
    let fleet = start_fleet().await;
    fleet.vms[0].target.slots.store(1, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let sent = Instant::now();
    let caller = send(&fleet, &["GET /view/1", "GET /view/2", "GET /view/3"]).await;
    tokio::time::sleep(Duration::from_millis(WORK_MS / 4)).await;
    drop(caller);
    tokio::time::sleep(Duration::from_millis(WORK_MS * 4)).await;
    expect_that!(started(&fleet, sent).len(), eq(1));
}

/// A node that stops closes its connections, but not before it has answered the requests that are running. What is sent
/// behind them does not run, because the caller sends it again.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn stopping_node_answers_the_requests_that_it_has_started_and_no_others() {
    let mut fleet = start_fleet().await;
    let requests = ["GET /view/1", "GET /view/2", "GET /view/3"];
    let sent = Instant::now();
    let mut caller = send(&fleet, &requests).await;
    tokio::time::sleep(Duration::from_millis(WORK_MS / 4)).await;
    fleet.vms[0].node.send_sigterm();
    fleet.wait_until_stopping(0).await;
    let late = "GET /view/late HTTP/1.1\r\nhost: trips.example\r\nrequest-id: /view/late\r\ndeadline: 4000\r\n\r\n";
    caller.write_all(late.as_bytes()).await.expect("the connection is open");
    // One more than was started: reading ends when the node closes the connection.
    let ids = read_ids(&mut caller, requests.len() + 1).await;
    expect_that!(ids, elements_are![eq("/view/1"), eq("/view/2"), eq("/view/3")]);
    expect_that!(started(&fleet, sent).len(), eq(requests.len()));
    expect_that!(fleet.vms[0].node.terminate(), some(eq(0)));
}

/// Guards against requests that have run and get no answer, because the response before them on the connection broke off
/// while it was forwarded.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn requests_behind_a_response_that_may_break_off_are_not_passed_on() {
    const LARGE_BYTES: usize = 200_000;
    struct Case {
        name: &'static str,
        first: &'static str,
        second: &'static str,
        /// Whether a whole response of the route has shown that its responses are large.
        seen: bool,
    }
    let cases = [
        Case { name: "download", first: "GET /list/a1", second: "GET /view/a2", seen: false },
        Case { name: "large responses", first: "GET /pictures/b1", second: "GET /view/b2", seen: true },
    ];
    for Case { name, first, second, seen } in cases {
        let fleet = start_fleet().await;
        let set = |behaviour| *fleet.vms[0].target.behaviour.lock().expect("not poisoned") = behaviour;
        if seen {
            set(TargetBehaviour::LargeResponse(LARGE_BYTES));
            let request = CallerRequest {
                method: "GET",
                path: "/pictures/0",
                request_id: "seen".to_owned(),
                api_key: "",
                deadline_ms: 4_000,
            };
            assert_eq!(fleet.send(0, &request).await.body.len(), LARGE_BYTES);
        }
        set(TargetBehaviour::CutResponse { sent_bytes: LARGE_BYTES / 2, announced: Announced::Length(LARGE_BYTES) });
        let mut caller = send(&fleet, &[first, second]).await;
        let mut text = Vec::new();
        // The connection ends with an error or without one.
        let _ = caller.read_to_end(&mut text).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        let runs = fleet.vms[0].target.runs.lock().expect("not poisoned");
        let ran = |id: &str| runs.iter().any(|run| id.ends_with(&run.request_id));
        expect_that!((ran(first), ran(second)), eq((true, false)), "{name}");
    }
}
