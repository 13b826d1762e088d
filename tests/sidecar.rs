//! Sidecar nodes on the users' platform, run as processes with a stand-in store and targets inside the test.

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{CallerRequest, SidecarFleet, TargetBehaviour, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Callers that are refused and keep their connections open; more than the connection limit of a small node.
const REFUSED_CALLERS: usize = 150;

fn config(version: u32, api_keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "trips.example", "prefix": prefix, "kind": kind, "timeout_ms": 1_000,
            "slo_ms": 500, "priority": 1, "service": service, "attempts": 2, "public": false})
    };
    json!({"version": format!("{version:08x}"),
        "routes": [route("view", "/view/", "safe", "trips"), route("book", "/book/", "unsafe", "trips"),
            route("photo", "/photo/", "upload", "trips")],
        "services": [{"name": "trips", "health_path": "/healthz", "max_conns": 100}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": [{"name": "agency", "api_keys": api_keys, "rate_per_s": 1_000, "burst": 1_000}]})
}

fn request(method: &'static str, path: &'static str, request_id: impl Into<String>) -> CallerRequest {
    CallerRequest { method, path, request_id: request_id.into(), api_key: "key-1", deadline_ms: 3_000 }
}

/// Starts a fleet, waits until every node serves requests, and clears the runs recorded meanwhile.
async fn start_fleet(services: &[&str]) -> SidecarFleet {
    let fleet = SidecarFleet::start(services, &config(1, &["key-1"])).await;
    for vm in 0..services.len() {
        fleet.wait_for_status(vm, &request("GET", "/view/1", "first"), 200).await;
    }
    for vm in &fleet.vms {
        vm.target.runs.lock().expect("not poisoned").clear();
    }
    fleet
}

/// Sets the behaviour of all targets.
fn set_behaviour(fleet: &SidecarFleet, behaviour: TargetBehaviour) {
    for vm in &fleet.vms {
        *vm.target.behaviour.lock().expect("not poisoned") = behaviour;
    }
}

/// Returns how often all targets together ran a request.
fn count_runs(fleet: &SidecarFleet, request_id: &str) -> usize {
    let runs_on = |vm: &support::SidecarVm| {
        let runs = vm.target.runs.lock().expect("not poisoned");
        runs.iter().filter(|run| run.request_id == request_id).count()
    };
    fleet.vms.iter().map(runs_on).sum()
}

#[tokio::test]
async fn request_reaches_a_target_on_another_vm_without_its_api_key() {
    let fleet = start_fleet(&["front", "trips"]).await;
    let response = fleet.send(0, &request("GET", "/view/7?lake=como", "r-1")).await;
    assert_that!((response.status, response.body.as_str()), eq((200, "whole")));
    assert_that!(response.headers["response-stamp"].to_str().ok(), some(eq("stamp")));
    let runs = fleet.vms[1].target.runs.lock().expect("not poisoned");
    let headers = &runs[0].headers;
    let header_text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    assert_that!(header_text("authorization"), none());
    assert_that!(header_text("tenant-id"), some(eq("agency")));
    assert_that!(header_text("caller-service"), some(eq("front")));
    assert_that!(header_text("expect-instance"), some(eq("i-1")));
    let deadline_ms: u64 = header_text("deadline").and_then(|text| text.parse().ok()).expect("a deadline");
    assert_that!(deadline_ms, all!(gt(500), le(1_000)));
}

#[tokio::test]
async fn failures_report_the_correct_status_and_number_of_runs() {
    struct Case {
        name: &'static str,
        behaviour: TargetBehaviour,
        method: &'static str,
        path: &'static str,
        status: u16,
        runs: usize,
    }
    let cases = [
        Case {
            name: "unsafe request, response lost",
            behaviour: TargetBehaviour::DropResponse,
            method: "POST",
            path: "/book/1",
            status: 502,
            runs: 1,
        },
        Case {
            name: "refused by the target",
            behaviour: TargetBehaviour::Refuse,
            method: "POST",
            path: "/book/1",
            status: 503,
            runs: 0,
        },
        Case {
            name: "slower than the route timeout",
            behaviour: TargetBehaviour::RespondAfterMs(5_000),
            method: "GET",
            path: "/view/1",
            status: 504,
            runs: 1,
        },
        Case {
            name: "no route",
            behaviour: TargetBehaviour::Respond,
            method: "GET",
            path: "/none/1",
            status: 404,
            runs: 0,
        },
    ];
    let fleet = start_fleet(&["front", "trips"]).await;
    for (number, case) in cases.into_iter().enumerate() {
        set_behaviour(&fleet, case.behaviour);
        let request_id = format!("case-{number}");
        let started = Instant::now();
        let response = fleet.send(0, &request(case.method, case.path, &request_id)).await;
        assert_that!(response.status, eq(case.status), "{}", case.name);
        assert_that!(count_runs(&fleet, &request_id), eq(case.runs), "{}", case.name);
        assert_that!(started.elapsed(), lt(Duration::from_millis(2_500)), "{}", case.name);
        if response.status == 503 {
            assert_that!(response.headers.contains_key("retry-after"), eq(true), "{}", case.name);
        }
    }
}

/// "Not run" is a promise. It must not be made for a request whose first response was lost, whatever the next target
/// says.
#[tokio::test]
async fn request_is_answered_not_run_after_its_response_was_lost() {
    let fleet = start_fleet(&["front", "trips", "trips"]).await;
    *fleet.vms[1].target.behaviour.lock().expect("not poisoned") = TargetBehaviour::DropResponse;
    *fleet.vms[2].target.behaviour.lock().expect("not poisoned") = TargetBehaviour::Refuse;
    for number in 0..12 {
        let request_id = format!("r-{number}");
        let response = fleet.send(0, &request("GET", "/view/1", &request_id)).await;
        let expected = if count_runs(&fleet, &request_id) > 0 { 502 } else { 503 };
        assert_that!(response.status, eq(expected), "{request_id}");
    }
}

#[tokio::test]
async fn withdrawn_and_unknown_keys_are_refused() {
    let fleet = start_fleet(&["trips"]).await;
    let unknown = CallerRequest { api_key: "key-9", ..request("GET", "/view/1", "r-1") };
    assert_that!(fleet.send(0, &unknown).await.status, eq(401));
    fleet.publish_config(&config(2, &["key-2"])).await;
    fleet.wait_for_status(0, &request("GET", "/view/1", "r-2"), 401).await;
    let current = CallerRequest { api_key: "key-2", ..request("GET", "/view/1", "r-3") };
    assert_that!(fleet.send(0, &current).await.status, eq(200));
}

#[tokio::test]
async fn keys_are_not_accepted_while_the_store_is_unavailable() {
    let mut fleet = start_fleet(&["trips"]).await;
    fleet.store.kill();
    // Nodes can no longer verify that the key is valid, so they refuse the request with 503 (not run, retry
    // later).
    fleet.wait_for_status(0, &request("GET", "/view/1", "r-1"), 503).await;
}

#[tokio::test]
async fn draining_target_receives_no_further_requests() {
    let fleet = start_fleet(&["front", "trips", "trips"]).await;
    *fleet.vms[1].target.draining.lock().expect("not poisoned") = true;
    let next_id = std::sync::atomic::AtomicUsize::new(0);
    wait_until("only the other target receives requests", || async {
        fleet.vms[1].target.runs.lock().expect("not poisoned").clear();
        for _ in 0..20 {
            let id = next_id.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let response = fleet.send(0, &request("GET", "/view/1", format!("r-{id}"))).await;
            assert_that!(response.status, eq(200));
        }
        fleet.vms[1].target.runs.lock().expect("not poisoned").is_empty().then_some(())
    })
    .await;
}

#[tokio::test]
async fn graceful_shutdown_completes_requests_in_progress() {
    let mut fleet = start_fleet(&["trips"]).await;
    set_behaviour(&fleet, TargetBehaviour::RespondAfterMs(900));
    let slow_request = request("POST", "/book/1", "r-1");
    let response = {
        let pending = fleet.send(0, &slow_request);
        tokio::pin!(pending);
        let early_response = tokio::time::timeout(Duration::from_millis(300), &mut pending).await;
        assert_that!(early_response.is_err(), eq(true));
        fleet.vms[0].node.send_sigterm();
        pending.await
    };
    assert_that!((response.status, response.body.as_str()), eq((200, "whole")));
    assert_that!(response.headers["connection"].to_str().ok(), some(eq("close")));
    assert_that!(fleet.vms[0].node.terminate(), some(eq(0)));
}

#[tokio::test]
async fn refused_callers_do_not_exhaust_the_connection_limit() {
    // No target serves the route's service, so each request is refused and may be retried.
    let fleet = SidecarFleet::start(&["front"], &config(1, &["key-1"])).await;
    fleet.wait_for_status(0, &request("GET", "/view/1", "first"), 503).await;
    let mut kept_open = Vec::new();
    for number in 0..REFUSED_CALLERS {
        let mut caller =
            TcpStream::connect(fleet.vms[0].caller_address).await.expect("the node accepts the connection");
        let head = format!(
            "GET /view/1 HTTP/1.1\r\nhost: trips.example\r\nrequest-id: r-{number}\r\ndeadline: 3000\r\n\
             authorization: Token key-1\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await.expect("the node reads");
        let mut buffer = vec![0; 4_096];
        let bytes_read = caller.read(&mut buffer).await.expect("each caller receives a response");
        let text = String::from_utf8_lossy(&buffer[..bytes_read]).to_lowercase();
        assert_that!(text, starts_with("http/1.1 503"), "caller {number}");
        if !text.contains("connection: close") {
            kept_open.push(caller);
        }
    }
    assert_that!(kept_open.len(), all!(ge(1), le(20)));
}

/// Closing a connection with unread bytes resets it, and the reset can overtake the response, which is then
/// lost.
#[tokio::test]
async fn refusals_reach_callers_that_send_long_bodies() {
    const BODY_BYTES: usize = 24_000;
    let fleet = start_fleet(&["trips"]).await;
    for number in 0..40 {
        let mut caller =
            TcpStream::connect(fleet.vms[0].caller_address).await.expect("the node accepts the connection");
        let head = format!(
            "POST /book/1 HTTP/1.1\r\nhost: trips.example\r\nrequest-id: r-{number}\r\ndeadline: 3000\r\n\
             authorization: Token unknown\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
        );
        let mut request = head.into_bytes();
        request.resize(request.len() + BODY_BYTES, b'x');
        caller.write_all(&request).await.expect("the node reads the request");
        // Leave enough time for the response to be sent before reading it.
        tokio::time::sleep(Duration::from_millis(20)).await;
        let mut buffer = vec![0; 4_096];
        let bytes_read = caller.read(&mut buffer).await.expect("the response is not lost");
        let text = String::from_utf8_lossy(&buffer[..bytes_read]).to_lowercase();
        assert_that!(text, starts_with("http/1.1 401"), "caller {number}");
    }
}

fn pipelined_request(request_id: &str) -> Vec<u8> {
    format!(
        "GET /view/1 HTTP/1.1\r\nhost: trips.example\r\nrequest-id: {request_id}\r\ndeadline: 3000\r\n\
         authorization: Token key-1\r\n\r\n"
    )
    .into_bytes()
}

/// Reads until `count` responses have begun or the connection ends.
async fn read_responses(caller: &mut TcpStream, count: usize) -> String {
    let mut text = String::new();
    let mut buffer = vec![0; 4_096];
    while text.matches("HTTP/1.1 ").count() < count || !text.ends_with("whole") {
        match tokio::time::timeout(Duration::from_secs(5), caller.read(&mut buffer)).await {
            Ok(Ok(bytes_read)) if bytes_read > 0 => text.push_str(&String::from_utf8_lossy(&buffer[..bytes_read])),
            _ => break,
        }
    }
    text
}

/// Returns the request IDs that the responses name, in their order.
fn response_ids(responses: &str) -> Vec<String> {
    let lines = responses.lines().map(str::to_lowercase);
    lines.filter_map(|line| line.strip_prefix("request-id: ").map(str::to_owned)).collect()
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let fleet = start_fleet(&["front", "trips"]).await;
    set_behaviour(&fleet, TargetBehaviour::RespondAfterMs(50));
    let mut caller = TcpStream::connect(fleet.vms[0].caller_address).await.expect("the node accepts the connection");
    let ids: Vec<String> = (0..8).map(|number| format!("p-{number}")).collect();
    let requests: Vec<u8> = ids.iter().flat_map(|id| pipelined_request(id)).collect();
    caller.write_all(&requests).await.expect("the node reads");
    let responses = read_responses(&mut caller, ids.len()).await;
    assert_that!(response_ids(&responses), eq(&ids));
    assert_that!(responses.matches("whole").count(), eq(ids.len()));
}

/// Closing a connection with unread bytes resets it. The reset must not overtake the response before it, and the
/// requests behind that response must not run, because their caller sends them again.
#[tokio::test]
async fn requests_behind_a_closing_response_are_not_run() {
    let fleet = start_fleet(&["trips"]).await;
    set_behaviour(&fleet, TargetBehaviour::RespondAfterMs(5_000));
    let mut caller = TcpStream::connect(fleet.vms[0].caller_address).await.expect("the node accepts the connection");
    caller.write_all(&pipelined_request("first")).await.expect("the node reads");
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.vms[0].node.send_sigterm();
    fleet.wait_until_stopping(0).await;
    set_behaviour(&fleet, TargetBehaviour::Respond);
    for number in 0..200 {
        caller.write_all(&pipelined_request(&format!("behind-{number}"))).await.expect("the connection is open");
    }
    // The first request ends with its route's timeout, after which the node closes the connection.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let responses = read_responses(&mut caller, 1).await;
    assert_that!(response_ids(&responses), elements_are![eq("first")]);
    assert_that!(responses.to_lowercase(), contains_substring("connection: close"));
    assert_that!(count_runs(&fleet, "behind-0"), eq(0));
}

/// A follower that kept its offset would never read what is written below it in the new era.
#[tokio::test]
async fn configuration_survives_a_store_that_returns_from_an_older_copy() {
    let fleet = start_fleet(&["trips"]).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let published = Instant::now();
    fleet.publish_config(&config(2, &["key-2"])).await;
    fleet.wait_for_status(0, &request("GET", "/view/1", "r-1"), 401).await;
    let age_ms = published.elapsed().as_millis() as u64 + 500;
    fleet.restore_store_copy(age_ms).await;
    // The store holds version 1 again, whose key is withdrawn.
    for number in 0..20 {
        let response = fleet.send(0, &request("GET", "/view/1", format!("old-{number}"))).await;
        assert_that!(response.status, eq(401));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet.publish_config(&config(3, &["key-3"])).await;
    let current = CallerRequest { api_key: "key-3", ..request("GET", "/view/1", "r-3") };
    fleet.wait_for_status(0, &current, 200).await;
}

/// Size of an upload: more than a node buffers to send a request again.
const UPLOAD_BYTES: usize = 90_000;

/// Sends the head of an upload and the first `sent_bytes` of its body.
async fn send_upload(fleet: &SidecarFleet, request_id: &str, sent_bytes: usize) -> TcpStream {
    let mut caller = TcpStream::connect(fleet.vms[0].caller_address).await.expect("the node accepts the connection");
    let head = format!(
        "POST /photo/1 HTTP/1.1\r\nhost: trips.example\r\nrequest-id: {request_id}\r\ndeadline: 3000\r\n\
         authorization: Token key-1\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n"
    );
    let mut request = head.into_bytes();
    request.resize(request.len() + sent_bytes, b'x');
    caller.write_all(&request).await.expect("the node reads the request");
    caller
}

#[tokio::test]
async fn uploads_arrive_whole_and_are_never_repeated() {
    struct Case {
        name: &'static str,
        behaviour: TargetBehaviour,
        status: &'static str,
    }
    let cases = [
        Case { name: "served", behaviour: TargetBehaviour::Respond, status: "HTTP/1.1 200" },
        Case { name: "response lost", behaviour: TargetBehaviour::DropResponse, status: "HTTP/1.1 502" },
        // A target that never responds: whether the upload ran is not known.
        Case { name: "mute", behaviour: TargetBehaviour::RespondAfterMs(30_000), status: "HTTP/1.1 504" },
    ];
    let fleet = start_fleet(&["front", "trips", "trips"]).await;
    for case in cases {
        set_behaviour(&fleet, case.behaviour);
        let mut caller = send_upload(&fleet, case.name, UPLOAD_BYTES).await;
        let mut buffer = vec![0; 4_096];
        let bytes_read = caller.read(&mut buffer).await.expect("a response");
        assert_that!(String::from_utf8_lossy(&buffer[..bytes_read]), starts_with(case.status), "{}", case.name);
        assert_that!(count_runs(&fleet, case.name), eq(1), "{}", case.name);
    }
    let sizes = fleet.vms.iter().flat_map(|vm| vm.target.runs.lock().expect("not poisoned").clone());
    assert_that!(sizes.map(|run| run.body.len()).collect::<Vec<_>>(), each(eq(&UPLOAD_BYTES)));
}

/// A caller on a weak link leaves in the middle of its upload. No target may take the part for the whole.
#[tokio::test]
async fn upload_that_ends_early_is_not_run() {
    let fleet = start_fleet(&["front", "trips"]).await;
    for (request_id, sent_bytes) in [("none", 0), ("buffered", 30_000), ("streamed", 80_000)] {
        let caller = send_upload(&fleet, request_id, sent_bytes).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        drop(caller);
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_that!(count_runs(&fleet, request_id), eq(0), "{request_id}");
    }
    // The node serves on, also right after a caller left: that must not count as a failure of the target's node.
    drop(send_upload(&fleet, "leaving", 80_000).await);
    for number in 0..10 {
        let later = request("GET", "/view/1", format!("later-{number}"));
        assert_that!(fleet.send(0, &later).await.status, eq(200), "{number}");
    }
}

/// Guards against an unknown outcome for requests that no target has run: they wait for a slot until their time is over, and
/// the refusal of the gate has to arrive before that.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_a_slot_until_their_deadline_are_told_not_run() {
    const SLOTS: usize = 9;
    let fleet = start_fleet(&["front", "trips"]).await;
    set_behaviour(&fleet, TargetBehaviour::RespondAfterMs(900));
    let running = (0..SLOTS).map(|number| {
        let fleet = &fleet;
        async move { fleet.send(0, &request("GET", "/view/1", format!("running-{number}"))).await.status }
    });
    let waiting = (0..SLOTS).map(|number| {
        let fleet = &fleet;
        async move {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let request = CallerRequest { deadline_ms: 600, ..request("GET", "/view/1", format!("waiting-{number}")) };
            (request.request_id.clone(), fleet.send(0, &request).await)
        }
    });
    let (running, waiting) =
        tokio::join!(futures_util::future::join_all(running), futures_util::future::join_all(waiting));
    expect_that!(running, each(eq(&200)));
    for (request_id, response) in waiting {
        expect_that!(response.status, eq(503), "{request_id}");
        expect_that!(response.headers.contains_key("retry-after"), eq(true), "{request_id}");
        expect_that!(count_runs(&fleet, &request_id), eq(0), "{request_id}");
    }
}
