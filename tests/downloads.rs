//! Downloads: large responses, which are repeated only while nothing of them has been sent to the caller.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{Announced, CallerRequest, SidecarFleet, TargetBehaviour};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Size of a download: many times what a node buffers of a response.
const DOWNLOAD_BYTES: usize = 1_500_000;

fn config() -> Value {
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({"name": name, "host": "trips.example", "prefix": prefix, "kind": kind, "timeout_ms": 2_000,
            "slo_ms": 500, "priority": 1, "service": "trips", "attempts": 2, "public": true})
    };
    json!({"version": "00000001", "routes": [route("view", "/view/", "safe"), route("map", "/map/", "download")],
        "services": [{"name": "trips", "health_path": "/healthz", "max_conns": 100}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": []})
}

fn request(path: &'static str, request_id: &str) -> CallerRequest {
    CallerRequest { method: "GET", path, request_id: request_id.to_owned(), api_key: "", deadline_ms: 2_000 }
}

async fn start_fleet(services: &[&str]) -> SidecarFleet {
    let fleet = SidecarFleet::start(services, &config()).await;
    for vm in 0..services.len() {
        fleet.wait_for_status(vm, &request("/view/1", &format!("first-{vm}")), 200).await;
    }
    fleet
}

fn set_behaviour(fleet: &SidecarFleet, behaviour: TargetBehaviour) {
    for vm in &fleet.vms {
        *vm.target.behaviour.lock().expect("not poisoned") = behaviour;
    }
}

/// Requests a download through the node of `vm` and returns the connection without reading from it.
async fn start_download(fleet: &SidecarFleet, vm: usize, request_id: &str) -> TcpStream {
    let mut caller = TcpStream::connect(fleet.vms[vm].caller_address).await.expect("the node accepts the connection");
    let head = format!(
        "GET /map/1 HTTP/1.1\r\nhost: trips.example\r\nrequest-id: {request_id}\r\ndeadline: 2000\r\n\
         connection: close\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.expect("the node reads the request");
    caller
}

/// A response as a caller reads it from its connection.
struct ReceivedResponse {
    status: u16,
    announced: Option<usize>,
    body_bytes: usize,
    complete: bool,
}

/// Reads a response until the connection ends.
async fn read_response(caller: &mut TcpStream) -> ReceivedResponse {
    let mut bytes = Vec::new();
    let reading = tokio::time::timeout(Duration::from_secs(10), caller.read_to_end(&mut bytes));
    // A connection that is reset has ended too.
    let _ = reading.await.expect("the connection ends in time");
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n").expect("a response head");
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
    let body = &bytes[head_end + 4..];
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name).map(str::trim).map(str::to_owned));
    let announced = header("content-length:").map(|length| length.parse().expect("a number"));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status");
    let body_bytes = body.iter().filter(|byte| **byte == b'x').count();
    let complete = match announced {
        Some(announced) => body.len() == announced,
        None => body.ends_with(b"0\r\n\r\n"),
    };
    ReceivedResponse { status, announced, body_bytes, complete }
}

fn count_runs(fleet: &SidecarFleet, request_id: &str) -> usize {
    let runs_on = |vm: &support::SidecarVm| {
        let runs = vm.target.runs.lock().expect("not poisoned");
        runs.iter().filter(|run| run.request_id == request_id).count()
    };
    fleet.vms.iter().map(runs_on).sum()
}

/// Guards against a cut response that a caller takes for a complete one, and against a second execution whose bytes would
/// follow those of the first.
#[gtest]
#[tokio::test]
async fn cut_download_never_appears_complete_and_is_not_repeated_after_its_first_bytes() {
    struct Case {
        name: &'static str,
        behaviour: TargetBehaviour,
        status: u16,
        complete: bool,
        runs: usize,
        announced: bool,
    }
    let cut = |sent_bytes, announced| TargetBehaviour::CutResponse { sent_bytes, announced };
    let length = Announced::Length(DOWNLOAD_BYTES);
    let cases = [
        Case {
            name: "whole",
            behaviour: TargetBehaviour::LargeResponse(DOWNLOAD_BYTES),
            status: 200,
            complete: true,
            runs: 1,
            announced: false,
        },
        Case {
            name: "cut in chunks",
            behaviour: cut(600_000, Announced::Chunks),
            status: 200,
            complete: false,
            runs: 1,
            announced: false,
        },
        Case {
            name: "cut with a length",
            behaviour: cut(600_000, length),
            status: 200,
            complete: false,
            runs: 1,
            announced: true,
        },
        Case {
            name: "cut a byte before the end",
            behaviour: cut(DOWNLOAD_BYTES - 1, length),
            status: 200,
            complete: false,
            runs: 1,
            announced: true,
        },
        // Nothing has been sent to the caller yet, so another target is asked, and the response tells the failure.
        Case {
            name: "cut early",
            behaviour: cut(20_000, length),
            status: 502,
            complete: true,
            runs: 2,
            announced: true,
        },
    ];
    let fleet = start_fleet(&["front", "trips", "trips"]).await;
    for case in cases {
        set_behaviour(&fleet, case.behaviour);
        // Through a node without a target of the service, and through one that has one.
        for vm in [0, 1] {
            let request_id = format!("{}-{vm}", case.name.replace(' ', "-"));
            let response = read_response(&mut start_download(&fleet, vm, &request_id).await).await;
            expect_that!(response.status, eq(case.status), "{request_id}");
            expect_that!(response.complete, eq(case.complete), "{request_id}");
            expect_that!(response.announced.is_some(), eq(case.announced), "{request_id}");
            expect_that!(count_runs(&fleet, &request_id), eq(case.runs), "{request_id}");
            if case.complete && case.status == 200 {
                expect_that!(response.body_bytes, eq(DOWNLOAD_BYTES), "{request_id}");
            }
        }
    }
}

/// Resident memory of a process, in kilobytes.
fn resident_kb(process_id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).expect("a running process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a line with the memory");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// Guards against callers that do not read their downloads, and thereby exhaust the memory of a node or stop the calls of
/// all others between the same two nodes.
#[gtest]
#[tokio::test]
async fn callers_that_do_not_read_neither_exhaust_memory_nor_stop_other_calls() {
    const READERS: usize = 24;
    const MAX_GROWTH_KB: u64 = 24_000;
    let fleet = start_fleet(&["front", "trips"]).await;
    fleet.vms[1].target.slots.store(80, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let memory_kb = || fleet.vms.iter().map(|vm| resident_kb(vm.node.pid())).collect::<Vec<_>>();
    let before_kb = memory_kb();
    set_behaviour(&fleet, TargetBehaviour::LargeResponse(20 * DOWNLOAD_BYTES));
    let mut readers = Vec::new();
    for number in 0..READERS {
        readers.push(start_download(&fleet, 0, &format!("slow-{number}")).await);
    }
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    set_behaviour(&fleet, TargetBehaviour::Respond);
    for number in 0..20 {
        let response = fleet.send(0, &request("/view/1", &format!("other-{number}"))).await;
        expect_that!((response.status, response.body.as_str()), eq((200, "whole")), "{number}");
    }
    for (before_kb, after_kb) in before_kb.into_iter().zip(memory_kb()) {
        expect_that!(after_kb, le(before_kb + MAX_GROWTH_KB));
    }
}
