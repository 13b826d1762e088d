//! The node on the users' platform, as processes against a stand-in store and targets of the test.

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{Behaviour, CallerRequest, SidecarFleet, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Callers that are refused and keep their connections, more than a small node has room for.
const CALLERS_THAT_RETRY: usize = 150;

fn config(version: u32, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "trips.example", "prefix": prefix, "kind": kind, "timeout_ms": 1_000,
            "slo_ms": 500, "priority": 1, "service": service, "attempts": 2, "public": false})
    };
    json!({"version": format!("{version:08x}"),
        "routes": [route("view", "/view/", "safe", "trips"), route("book", "/book/", "unsafe", "trips")],
        "services": [{"name": "trips", "health_path": "/healthz", "max_conns": 100}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": [{"name": "agency", "api_keys": keys, "rate_per_s": 1_000, "burst": 1_000}]})
}

fn request(method: &'static str, path: &'static str, id: impl Into<String>) -> CallerRequest {
    CallerRequest { method, path, id: id.into(), key: "key-1", deadline_ms: 3_000 }
}

async fn start(services: &[&str]) -> SidecarFleet {
    let fleet = SidecarFleet::start(services, &config(1, &["key-1"])).await;
    for vm in 0..services.len() {
        fleet.wait_for_status(vm, &request("GET", "/view/1", "first"), 200).await;
    }
    for vm in &fleet.vms {
        vm.target.runs.lock().expect("not poisoned").clear();
    }
    fleet
}

fn set(fleet: &SidecarFleet, behaviour: Behaviour) {
    for vm in &fleet.vms {
        *vm.target.behaviour.lock().expect("not poisoned") = behaviour;
    }
}

fn runs_of(fleet: &SidecarFleet, id: &str) -> usize {
    let runs = |vm: &support::SidecarVm| {
        let runs = vm.target.runs.lock().expect("not poisoned");
        runs.iter().filter(|run| run.request_id == id).count()
    };
    fleet.vms.iter().map(runs).sum()
}

#[tokio::test]
async fn a_request_reaches_a_target_on_another_vm_without_its_key() {
    let fleet = start(&["front", "trips"]).await;
    let answer = fleet.send(0, &request("GET", "/view/7?lake=como", "r-1")).await;
    assert_that!((answer.status, answer.body.as_str()), eq((200, "whole")));
    assert_that!(answer.headers["response-stamp"].to_str().ok(), some(eq("stamp")));
    let runs = fleet.vms[1].target.runs.lock().expect("not poisoned");
    let headers = &runs[0].headers;
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    assert_that!(text("authorization"), none());
    assert_that!(text("tenant-id"), some(eq("agency")));
    assert_that!(text("caller-service"), some(eq("front")));
    assert_that!(text("expect-instance"), some(eq("i-1")));
    let deadline_ms: u64 = text("deadline").and_then(|text| text.parse().ok()).expect("a deadline");
    assert_that!(deadline_ms, all!(gt(500), le(1_000)));
}

#[tokio::test]
async fn each_failure_is_told_truthfully() {
    struct Case {
        name: &'static str,
        behaviour: Behaviour,
        method: &'static str,
        path: &'static str,
        status: u16,
        runs: usize,
    }
    let cases = [
        Case {
            name: "unsafe, answer lost",
            behaviour: Behaviour::LoseAnswer,
            method: "POST",
            path: "/book/1",
            status: 502,
            runs: 1,
        },
        Case {
            name: "refused by the target",
            behaviour: Behaviour::Refuse,
            method: "POST",
            path: "/book/1",
            status: 503,
            runs: 0,
        },
        Case {
            name: "slower than the route",
            behaviour: Behaviour::Slow(5_000),
            method: "GET",
            path: "/view/1",
            status: 504,
            runs: 1,
        },
        Case { name: "no route", behaviour: Behaviour::Answer, method: "GET", path: "/none/1", status: 404, runs: 0 },
    ];
    let fleet = start(&["front", "trips"]).await;
    for (number, case) in cases.into_iter().enumerate() {
        set(&fleet, case.behaviour);
        let id = format!("case-{number}");
        let started = Instant::now();
        let answer = fleet.send(0, &request(case.method, case.path, &id)).await;
        assert_that!(answer.status, eq(case.status), "{}", case.name);
        assert_that!(runs_of(&fleet, &id), eq(case.runs), "{}", case.name);
        assert_that!(started.elapsed(), lt(Duration::from_millis(2_500)), "{}", case.name);
        if answer.status == 503 {
            assert_that!(answer.headers.contains_key("retry-after"), eq(true), "{}", case.name);
        }
    }
}

#[tokio::test]
async fn a_withdrawn_key_and_an_unknown_one_are_refused() {
    let fleet = start(&["trips"]).await;
    let unknown = CallerRequest { key: "key-9", ..request("GET", "/view/1", "r-1") };
    assert_that!(fleet.send(0, &unknown).await.status, eq(401));
    fleet.publish(&config(2, &["key-2"])).await;
    fleet.wait_for_status(0, &request("GET", "/view/1", "r-2"), 401).await;
    let new = CallerRequest { key: "key-2", ..request("GET", "/view/1", "r-3") };
    assert_that!(fleet.send(0, &new).await.status, eq(200));
}

#[tokio::test]
async fn keys_stop_working_when_the_store_is_gone() {
    let mut fleet = start(&["trips"]).await;
    fleet.store.kill();
    // Nobody can say whether the key is still valid: not run, come back later.
    fleet.wait_for_status(0, &request("GET", "/view/1", "r-1"), 503).await;
}

#[tokio::test]
async fn a_target_that_said_that_it_leaves_gets_nothing_more() {
    let fleet = start(&["front", "trips", "trips"]).await;
    *fleet.vms[1].target.leaving.lock().expect("not poisoned") = true;
    let id = std::sync::atomic::AtomicUsize::new(0);
    wait_until("only the other target is chosen", || async {
        fleet.vms[1].target.runs.lock().expect("not poisoned").clear();
        for _ in 0..20 {
            let id = id.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let answer = fleet.send(0, &request("GET", "/view/1", format!("r-{id}"))).await;
            assert_that!(answer.status, eq(200));
        }
        fleet.vms[1].target.runs.lock().expect("not poisoned").is_empty().then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_planned_stop_cuts_off_no_request() {
    let mut fleet = start(&["trips"]).await;
    set(&fleet, Behaviour::Slow(900));
    let running = request("POST", "/book/1", "r-1");
    let answer = {
        let sent = fleet.send(0, &running);
        tokio::pin!(sent);
        let early = tokio::time::timeout(Duration::from_millis(300), &mut sent).await;
        assert_that!(early.is_err(), eq(true));
        fleet.vms[0].node.ask_to_stop();
        sent.await
    };
    assert_that!((answer.status, answer.body.as_str()), eq((200, "whole")));
    assert_that!(answer.headers["connection"].to_str().ok(), some(eq("close")));
    assert_that!(fleet.vms[0].node.terminate(), some(eq(0)));
}

#[tokio::test]
async fn refused_callers_do_not_fill_the_room_for_connections() {
    // Nothing serves the route's service, so that each request is refused and may come back.
    let fleet = SidecarFleet::start(&["front"], &config(1, &["key-1"])).await;
    fleet.wait_for_status(0, &request("GET", "/view/1", "first"), 503).await;
    let mut kept_open = Vec::new();
    for number in 0..CALLERS_THAT_RETRY {
        let mut caller = TcpStream::connect(fleet.vms[0].caller_address).await.expect("the node accepts");
        let head = format!(
            "GET /view/1 HTTP/1.1\r\nhost: trips.example\r\nrequest-id: r-{number}\r\ndeadline: 3000\r\n\
             authorization: Token key-1\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await.expect("the node reads");
        let mut answer = vec![0; 4_096];
        let read = caller.read(&mut answer).await.expect("each caller gets an answer");
        let text = String::from_utf8_lossy(&answer[..read]).to_lowercase();
        assert_that!(text, starts_with("http/1.1 503"), "caller {number}");
        if !text.contains("connection: close") {
            kept_open.push(caller);
        }
    }
    assert_that!(kept_open.len(), all!(ge(1), le(20)));
}

/// A connection that closes with unread bytes is reset, and the reset can overtake the answer.
#[tokio::test]
async fn refusals_reach_callers_that_send_long_bodies() {
    const BODY_BYTES: usize = 24_000;
    let fleet = start(&["trips"]).await;
    for number in 0..40 {
        let mut caller = TcpStream::connect(fleet.vms[0].caller_address).await.expect("the node accepts");
        let head = format!(
            "POST /book/1 HTTP/1.1\r\nhost: trips.example\r\nrequest-id: r-{number}\r\ndeadline: 3000\r\n\
             authorization: Token unknown\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
        );
        let mut request = head.into_bytes();
        request.resize(request.len() + BODY_BYTES, b'x');
        caller.write_all(&request).await.expect("the node takes the request");
        // The answer is read only after it has certainly been sent.
        tokio::time::sleep(Duration::from_millis(20)).await;
        let mut answer = vec![0; 4_096];
        let read = caller.read(&mut answer).await.expect("the answer is not lost");
        let text = String::from_utf8_lossy(&answer[..read]).to_lowercase();
        assert_that!(text, starts_with("http/1.1 401"), "caller {number}");
    }
}
