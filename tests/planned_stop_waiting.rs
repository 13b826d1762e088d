//! Planned stops of sidecar processes while requests wait for a slot of a target.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use googletest::prelude::*;
use serde_json::{Value, json};
use support::{CallerRequest, SidecarFleet, TargetBehaviour};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Slots that the target announces, and those of them that are used.
const SLOTS: u64 = 4;
const USED_SLOTS: usize = 3;

/// Work of the requests that wait.
const SHORT_MS: u64 = 100;

/// Deadline of all requests. The time-out of the route is longer.
const DEADLINE_MS: u64 = 12_000;

/// Time from SIGTERM until the process has ended, in milliseconds.
const END_MS: u64 = 5_500;

fn config() -> Value {
    let route = |name: &str| {
        json!({"name": name, "host": "trips.example", "prefix": format!("/{name}/"), "kind": "unsafe", "timeout_ms": 15_000,
            "slo_ms": 500, "priority": 1, "service": "trips", "attempts": 2, "public": true})
    };
    json!({"version": "00000001",
        "routes": [route("book"), route("report")],
        "services": [{"name": "trips", "max_conns": 100}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": []})
}

fn booking(request_id: String) -> CallerRequest {
    request("/book/1", request_id)
}

fn request(path: &'static str, request_id: String) -> CallerRequest {
    CallerRequest { method: "POST", path, request_id, api_key: "", deadline_ms: DEADLINE_MS }
}

struct Case {
    name: &'static str,
    /// Services of the VMs. The target is that of the last one.
    services: &'static [&'static str],
    /// VM whose callers send the requests that wait.
    sender: usize,
    /// VMs that are stopped.
    stopped: &'static [usize],
    /// Time from SIGTERM to the requests that wait; negative if they are sent before.
    sent_ms: i64,
    waiting: usize,
    /// Work of the requests that hold the slots.
    long_ms: u64,
    /// Whether the requests that wait are served, or refused as not run.
    is_served: bool,
}

async fn run_case(case: &Case, fleet: SidecarFleet) {
    let Case { name, services: _, sender, stopped, sent_ms, waiting, long_ms, is_served } = *case;
    let last = fleet.vms.len() - 1;
    let target = &fleet.vms[last].target;
    let set_work = |ms| *target.behaviour.lock().expect("not poisoned") = TargetBehaviour::RespondAfterMs(ms);
    set_work(SHORT_MS);
    target.slots.store(SLOTS, Ordering::Relaxed);
    for vm in 0..fleet.vms.len() {
        for number in 0..8 {
            fleet.wait_for_status(vm, &booking(format!("earlier-{vm}-{number}")), 200).await;
        }
    }
    set_work(long_ms);
    let long: Vec<_> = (0..USED_SLOTS).map(|number| request("/report/1", format!("long-{number}"))).collect();
    // Those that are at work when their node ends may get no answer.
    let holding = join_all(long.iter().map(|request| fleet.try_send(last, request)));
    let later: Vec<_> = (0..waiting).map(|number| booking(format!("waiting-{number}"))).collect();
    let before_ms = sent_ms.min(0).unsigned_abs();
    let sending = async {
        // All slots are held by now.
        tokio::time::sleep(Duration::from_millis(400)).await;
        set_work(SHORT_MS);
        tokio::time::sleep(Duration::from_millis(sent_ms.max(0).unsigned_abs())).await;
        let sent = Instant::now();
        let responses = join_all(later.iter().map(|request| fleet.try_send(sender, request))).await;
        (responses, sent.elapsed())
    };
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(400 + before_ms)).await;
        for vm in stopped {
            fleet.vms[*vm].node.send_sigterm();
        }
    };
    let (_, (responses, took), ()) = tokio::join!(holding, sending, stopping);
    let runs = target.runs.lock().expect("not poisoned").clone();
    for (request, response) in later.iter().zip(&responses) {
        let ran = runs.iter().any(|run| run.request_id == request.request_id);
        let status = response.as_ref().map(|response| response.status);
        let expected = if is_served { (Ok(200), true) } else { (Ok(503), false) };
        expect_that!((status, ran), eq(expected), "{name}: {response:?}");
    }
    expect_that!(took.as_millis() as u64, lt(END_MS + before_ms), "{name}");
}

/// Guards against requests that a stopping node has passed on to another node, where they wait for a slot until the stopping
/// node has ended: they never ran, and their callers got no answer.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_a_slot_end_without_an_answer_when_their_node_stops() {
    const TWO: &[&str] = &["front", "trips"];
    let before = Case {
        name: "sent before the stop",
        services: TWO,
        sender: 0,
        stopped: &[0],
        sent_ms: -40,
        waiting: 3,
        long_ms: 7_000,
        is_served: false,
    };
    let cases = [
        Case { name: "sent in the stop", sent_ms: 400, ..before },
        Case { name: "many", waiting: 20, ..before },
        Case { name: "the node beside the target stops", stopped: &[1], ..before },
        Case { name: "both nodes stop", stopped: &[0, 1], ..before },
        Case { name: "at the own target", services: &["trips"], ..before },
        Case { name: "a slot becomes free in time", long_ms: 3_500, is_served: true, ..before },
        before,
    ];
    let mut runs = Vec::new();
    for case in &cases {
        // Starting a process blocks the thread, so that fleets which start at once wait for each other.
        runs.push(run_case(case, SidecarFleet::start(case.services, &config()).await));
    }
    join_all(runs).await;
}

/// Sends the first part of a booking, and returns the status of the response, if one comes.
async fn send_half(address: SocketAddr, request_id: &str) -> Option<u16> {
    let mut caller = TcpStream::connect(address).await.expect("the node listens");
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nhost: trips.example\r\nrequest-id: {request_id}\r\ndeadline: {DEADLINE_MS}\r\n\
        content-length: 20\r\n\r\nhalf-"
    );
    caller.write_all(head.as_bytes()).await.expect("the node reads");
    let mut response = Vec::new();
    // Ends when the node closes the connection.
    let _ = caller.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).split(' ').nth(1)?.parse().ok()
}

/// Guards against connections that a stopping node closes at its end without an answer: to requests that are still at work
/// elsewhere, and to those whose bodies have not arrived.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_are_unanswered_at_the_end_of_a_stop_get_a_truthful_answer() {
    let mut fleet = SidecarFleet::start(&["front", "trips"], &config()).await;
    fleet.wait_for_status(0, &booking("first".to_owned()), 200).await;
    *fleet.vms[1].target.behaviour.lock().expect("not poisoned") = TargetBehaviour::RespondAfterMs(8_000);
    let at_work = booking("at-work".to_owned());
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        fleet.vms[0].node.send_sigterm();
    };
    let half = send_half(fleet.vms[0].caller_address, "half");
    let (at_work, half, ()) = tokio::join!(fleet.try_send(0, &at_work), half, stopping);
    expect_that!(at_work.as_ref().map(|response| response.status), ok(eq(502)), "{at_work:?}");
    expect_that!(half, some(eq(503)));
    let runs = fleet.vms[1].target.runs.lock().expect("not poisoned").clone();
    expect_that!(runs.iter().any(|run| run.request_id == "half"), eq(false));
    expect_that!(tokio::task::block_in_place(|| fleet.vms[0].node.terminate()), some(eq(0)));
}
