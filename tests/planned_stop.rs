//! Planned stops of sidecar processes while callers send: no request that a node has received may be cut off.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use googletest::prelude::*;
use serde_json::{Value, json};
use support::{CallerRequest, Fleet, FleetSpec, Request, SidecarFleet, TargetBehaviour, TargetSpec};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time from SIGTERM to shortly before the listener closes, which is 2,600 ms after it.
const BEFORE_CLOSE_MS: u64 = 2_300;

/// Time for which the node is suspended, so that what arrives meanwhile waits in the kernel when the listener closes.
const SUSPENDED_MS: u64 = 600;

/// Time in which a response must be complete.
const RESPONSE_LIMIT_MS: u64 = 4_000;

/// Connections of each case.
const CONNECTIONS: usize = 12;

/// Callers that send without a pause during a stop.
const CALLERS: usize = 40;

fn config() -> Value {
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({"name": name, "host": "trips.example", "prefix": prefix, "kind": kind, "timeout_ms": 15_000,
            "slo_ms": 500, "priority": 1, "service": "trips", "attempts": 2, "public": true})
    };
    json!({"version": "00000001",
        "routes": [route("view", "/view/", "safe"), route("book", "/book/", "unsafe")],
        "services": [{"name": "trips", "max_conns": 100}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": []})
}

async fn start_fleet() -> SidecarFleet {
    let fleet = SidecarFleet::start(&["front", "trips"], &config()).await;
    for vm in 0..2 {
        fleet.wait_for_status(vm, &booking("first", 5_000), 200).await;
    }
    fleet
}

fn booking(request_id: &str, deadline_ms: u64) -> CallerRequest {
    CallerRequest { method: "POST", path: "/book/1", request_id: request_id.to_owned(), api_key: "", deadline_ms }
}

fn view_request(request_id: &str) -> Vec<u8> {
    let head = "GET /view/1 HTTP/1.1\r\nhost: trips.example\r\ndeadline: 3000\r\nrequest-id: ";
    format!("{head}{request_id}\r\n\r\n").into_bytes()
}

/// Reads one response of a target, or what arrives of it until the connection ends.
async fn read_response(caller: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buffer = vec![0; 4_096];
    let reading = async {
        while !text.ends_with("whole") {
            match caller.read(&mut buffer).await {
                Ok(bytes_read) if bytes_read > 0 => text.push_str(&String::from_utf8_lossy(&buffer[..bytes_read])),
                _ => break,
            }
        }
    };
    // A response that is late is reported as incomplete.
    let _ = tokio::time::timeout(Duration::from_millis(RESPONSE_LIMIT_MS), reading).await;
    text
}

/// Guards against requests that are lost with the queue of the closing listener, or unread on a connection that is
/// closed as idle.
#[googletest::test]
#[tokio::test]
async fn requests_that_wait_in_the_kernel_when_the_listener_closes_are_answered() {
    struct Case {
        name: &'static str,
        /// Whether the connection is opened before the node is suspended.
        opened_early: bool,
        /// Sent while the node is suspended.
        sent: Vec<u8>,
        /// Sent after the listener has closed.
        sent_later: &'static [u8],
    }
    let upload = b"POST /book/1 HTTP/1.1\r\nhost: trips.example\r\nrequest-id: u\r\ndeadline: 3000\r\n\
        content-length: 10\r\n\r\nhalf-";
    let cases = [
        Case { name: "not accepted", opened_early: false, sent: view_request("a"), sent_later: b"" },
        Case { name: "accepted without a byte", opened_early: true, sent: view_request("b"), sent_later: b"" },
        Case {
            name: "pipelined",
            opened_early: false,
            sent: [view_request("c"), view_request("d")].concat(),
            sent_later: b"",
        },
        Case { name: "body still arriving", opened_early: false, sent: upload.to_vec(), sent_later: b"other" },
    ];
    let fleet = start_fleet().await;
    let node = &fleet.vms[0];
    node.node.send_sigterm();
    tokio::time::sleep(Duration::from_millis(BEFORE_CLOSE_MS)).await;
    let connect = || async { TcpStream::connect(node.caller_address).await.expect("the node listens") };
    let mut callers = Vec::new();
    for case in &cases {
        for _ in 0..CONNECTIONS {
            callers.push((case, if case.opened_early { Some(connect().await) } else { None }));
        }
    }
    // Lets the node accept them.
    tokio::time::sleep(Duration::from_millis(50)).await;
    node.node.suspend();
    let mut connections = Vec::new();
    for (case, opened) in callers {
        let mut caller = match opened {
            Some(caller) => caller,
            None => connect().await,
        };
        caller.write_all(&case.sent).await.expect("the kernel takes the request");
        connections.push((case, caller));
    }
    tokio::time::sleep(Duration::from_millis(SUSPENDED_MS)).await;
    node.node.resume();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let responses = connections.into_iter().map(|(case, mut caller)| async move {
        // The write fails if the connection was cut, which the missing response shows.
        let _ = caller.write_all(case.sent_later).await;
        (case.name, read_response(&mut caller).await)
    });
    for (name, response) in join_all(responses).await {
        let is_whole = response.starts_with("HTTP/1.1 200") && response.ends_with("whole");
        expect_that!(is_whole, eq(true), "{name}: {response:?}");
    }
}

/// Sends requests until the node no longer accepts connections, and returns how many received no whole response. A
/// connection is used again unless its last response said that it closes.
async fn send_until_closed(address: SocketAddr, caller: usize, answered: &AtomicUsize) -> usize {
    let mut cut = 0;
    let mut connection = None;
    for number in 0.. {
        let mut tcp = match connection.take() {
            Some(tcp) => tcp,
            None => match TcpStream::connect(address).await {
                Ok(tcp) => tcp,
                Err(_) => break,
            },
        };
        let sent = tcp.write_all(&view_request(&format!("load-{caller}-{number}"))).await;
        let response = read_response(&mut tcp).await;
        match sent.is_ok() && response.ends_with("whole") {
            true => answered.fetch_add(1, Ordering::Relaxed),
            false => {
                cut += 1;
                continue;
            }
        };
        if !response.to_lowercase().contains("connection: close") {
            connection = Some(tcp);
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    cut
}

/// Guards against requests that are accepted and then cut off, while all callers send as before.
#[tokio::test]
async fn no_request_is_cut_off_by_a_stop_under_load() {
    let mut fleet = start_fleet().await;
    *fleet.vms[1].target.behaviour.lock().expect("not poisoned") = TargetBehaviour::RespondAfterMs(20);
    fleet.vms[1].target.slots.store(100, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let address = fleet.vms[0].caller_address;
    let answered = AtomicUsize::new(0);
    let load = join_all((0..CALLERS).map(|caller| send_until_closed(address, caller, &answered)));
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.vms[0].node.send_sigterm();
    };
    let (cut, ()) = tokio::join!(load, stop);
    let answered = answered.into_inner();
    assert_that!(answered, gt(CALLERS * 20));
    assert_that!(cut.iter().sum::<usize>(), eq(0), "of {answered}");
    assert_that!(fleet.vms[0].node.terminate(), some(eq(0)));
}

/// Guards against a node that ends between the end of its last call and the moment at which the response has left.
#[tokio::test]
async fn responses_to_other_nodes_leave_before_the_process_ends() {
    let mut fleet = start_fleet().await;
    *fleet.vms[1].target.behaviour.lock().expect("not poisoned") = TargetBehaviour::RespondAfterMs(3_300);
    let bookings: Vec<_> = (0..8).map(|number| booking(&format!("long-{number}"), 5_000)).collect();
    let sending = join_all(bookings.iter().map(|request| fleet.send(0, request)));
    let stop = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        fleet.vms[1].node.send_sigterm();
    };
    let (responses, ()) = tokio::join!(sending, stop);
    for response in responses {
        assert_that!((response.status, response.body.as_str()), eq((200, "whole")));
    }
    assert_that!(fleet.vms[1].node.terminate(), some(eq(0)));
}

/// Guards against a node that ends while its callers still wait for targets of other nodes.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_node_answers_callers_that_wait_for_other_targets() {
    let target = |zone| TargetSpec { service: "search", zone, child_path: None };
    let spec = FleetSpec {
        zones: vec!["milano", "verona", "brescia"],
        targets: vec![target("milano"), target("verona"), target("brescia")],
        changes: json!([
            {"set_tenant": {"tenant": "laghi", "rate_per_s": 5000, "burst": 5000, "weight": 1}},
            {"grant_key": "laghi"},
            {"set_route": {"route": "search", "path_prefix": "/search", "service": "search", "class": "lookup",
                "timeout_ms": 4000, "retryable": true}},
        ]),
    };
    let mut fleet = Fleet::start(&spec).await;
    let key = fleet.configure(&spec).await.remove(0);
    fleet.wait_until_admitted("/search/warm", &key).await;
    for vm in 0..fleet.vms.len() {
        fleet.set_behaviour(vm, &json!({"late_ms": 1_900})).await;
    }
    fleet.vms[2].node.send_sigterm();
    // The node tells the others that it leaves, and closes its listener 1,500 ms later.
    tokio::time::sleep(Duration::from_millis(300)).await;
    // No more than the slots of the other two targets.
    let requests = (0..6).map(|index| {
        let url = fleet.caller_url(2, &format!("/search/{index}"));
        let request = Request::get(url).bearer_auth(&key);
        let client = fleet.client.clone();
        async move { client.try_send(&request).await.map(|response| response.status) }
    });
    let statuses = join_all(requests).await;
    assert_that!(statuses, each(ok(eq(&200))));
    let exit_code = tokio::task::block_in_place(|| fleet.vms[2].node.terminate());
    assert_that!(exit_code, some(eq(0)));
}

/// Time from SIGTERM up to which a request may be sent that its target may still be at work on at the end of the grace
/// period, in milliseconds.
const EARLY_MS: u64 = 3_000;

/// Sends a booking whose last bytes follow its head after `late_ms`, and returns what the caller reads until the connection
/// ends or the response is whole.
async fn send_in_parts(address: SocketAddr, request_id: &str, deadline_ms: u64, late_ms: u64) -> String {
    const BODY_BYTES: usize = 3_000;
    let mut caller = TcpStream::connect(address).await.expect("the node listens");
    let head = format!(
        "POST /book/{request_id} HTTP/1.1\r\nhost: trips.example\r\nrequest-id: {request_id}\r\ndeadline: {deadline_ms}\r\n\
        content-length: {BODY_BYTES}\r\n\r\n"
    );
    let sent = async {
        caller.write_all(head.as_bytes()).await?;
        caller.write_all(&[b'b'; BODY_BYTES - 10]).await?;
        tokio::time::sleep(Duration::from_millis(late_ms)).await;
        caller.write_all(&[b'b'; 10]).await
    };
    // The write fails if the connection was closed, which the response shows.
    let _ = sent.await;
    read_response(&mut caller).await
}

/// Guards against requests that arrive late in the grace period, are passed on, and are cut off at its end without an
/// answer while their target is at work.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_arrive_late_in_the_grace_period_are_cut_off() {
    struct Case {
        name: &'static str,
        /// VMs of the fleet, the first one of which stops.
        services: &'static [&'static str],
        work_ms: u64,
        deadline_ms: u64,
    }
    let cases = [
        Case { name: "long work", services: &["front", "trips"], work_ms: 2_000, deadline_ms: 15_000 },
        Case { name: "short work", services: &["front", "trips"], work_ms: 900, deadline_ms: 15_000 },
        Case { name: "its own target, too", services: &["trips", "trips"], work_ms: 2_000, deadline_ms: 15_000 },
        Case { name: "at the other's target", services: &["trips", "front"], work_ms: 2_000, deadline_ms: 15_000 },
    ];
    for Case { name, services, work_ms, deadline_ms } in cases {
        let mut fleet = SidecarFleet::start(services, &config()).await;
        for vm in &fleet.vms {
            *vm.target.behaviour.lock().expect("not poisoned") = TargetBehaviour::RespondAfterMs(work_ms);
            vm.target.slots.store(100, Ordering::Relaxed);
        }
        // Both nodes have seen how long the work takes.
        for vm in 0..2 {
            fleet.wait_for_status(vm, &booking(&format!("first-{vm}"), 5_000), 200).await;
            fleet.wait_for_status(vm, &booking(&format!("second-{vm}"), 5_000), 200).await;
        }
        let late_ms: Vec<u64> = (0..24).map(|number| 200 + number * 220).collect();
        // One half enters at the node that stops, the other half at the other one.
        let sending = late_ms.iter().enumerate().map(|(number, late_ms)| {
            let address = fleet.vms[number % 2].caller_address;
            async move { send_in_parts(address, &format!("late-{number}"), deadline_ms, *late_ms).await }
        });
        let stop = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            fleet.vms[0].node.send_sigterm();
        };
        let (responses, ()) = tokio::join!(join_all(sending), stop);
        let ran = |number: usize| {
            let id = format!("late-{number}");
            fleet
                .vms
                .iter()
                .any(|vm| vm.target.runs.lock().expect("not poisoned").iter().any(|run| run.request_id == id))
        };
        for (number, response) in responses.iter().enumerate() {
            let is_whole = response.starts_with("HTTP/1.1 200") && response.ends_with("whole");
            let is_refused = response.starts_with("HTTP/1.1 503") && response.contains("retry-after") && !ran(number);
            // The process ends 500 ms before the grace period does.
            let is_unread = response.is_empty() && late_ms[number] > 5_200 && !ran(number);
            let case = format!("{name}, last byte {} ms after the head: {response:?}", late_ms[number]);
            expect_that!(is_whole || is_refused || is_unread, eq(true), "{case}");
            if late_ms[number] + work_ms < EARLY_MS && number % 2 == 0 {
                expect_that!(is_whole, eq(true), "{case}");
            }
        }
        expect_that!(tokio::task::block_in_place(|| fleet.vms[0].node.terminate()), some(eq(0)), "{name}");
    }
}

/// Guards against a stopping node without callers that ends while its target runs calls of other nodes: the calls were cut off
/// although they would have ended within the grace period.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn stopped_node_ends_before_the_calls_that_its_target_runs() {
    const USUAL_MS: u64 = 100;
    struct Case {
        name: &'static str,
        /// Time from SIGTERM of the node beside the target to the calls, and their work.
        sent_ms: u64,
        work_ms: u64,
        calls: usize,
        /// Time from that SIGTERM to the one of the node that sends the calls.
        sender_stops_ms: Option<u64>,
    }
    let cases = [
        Case { name: "the sender serves on", sent_ms: 1_250, work_ms: 3_700, calls: 12, sender_stops_ms: None },
        Case { name: "both stop in turn", sent_ms: 1_250, work_ms: 3_700, calls: 12, sender_stops_ms: Some(1_300) },
        Case { name: "one call", sent_ms: 1_250, work_ms: 3_700, calls: 1, sender_stops_ms: None },
        Case { name: "sent before the stop", sent_ms: 0, work_ms: 5_000, calls: 4, sender_stops_ms: None },
    ];
    let run_case = async |case: &Case, mut fleet: SidecarFleet| {
        let Case { name, sent_ms, work_ms, calls, sender_stops_ms } = *case;
        let set_work = |ms| {
            *fleet.vms[1].target.behaviour.lock().expect("not poisoned") = TargetBehaviour::RespondAfterMs(ms);
        };
        fleet.vms[1].target.slots.store(100, Ordering::Relaxed);
        set_work(USUAL_MS);
        for number in 0..20 {
            fleet.wait_for_status(0, &booking(&format!("earlier-{number}"), 5_000), 200).await;
        }
        set_work(work_ms);
        fleet.vms[1].node.send_sigterm();
        let bookings: Vec<_> = (0..calls).map(|number| booking(&format!("long-{number}"), 6_000)).collect();
        let sending = async {
            tokio::time::sleep(Duration::from_millis(sent_ms)).await;
            join_all(bookings.iter().map(|request| fleet.try_send(0, request))).await
        };
        let stopping = async {
            if let Some(sender_stops_ms) = sender_stops_ms {
                tokio::time::sleep(Duration::from_millis(sender_stops_ms)).await;
                fleet.vms[0].node.send_sigterm();
            }
        };
        let (responses, ()) = tokio::join!(sending, stopping);
        for response in responses {
            let status = response.as_ref().map(|response| response.status);
            expect_that!(status, ok(eq(200)), "{name}: {response:?}");
        }
        expect_that!(tokio::task::block_in_place(|| fleet.vms[1].node.terminate()), some(eq(0)), "{name}");
    };
    let mut runs = Vec::new();
    for case in &cases {
        // Starting a process blocks the thread, so that fleets which start at once wait for each other.
        runs.push(run_case(case, start_fleet().await));
    }
    join_all(runs).await;
}
