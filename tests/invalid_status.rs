//! Targets whose responses begin with a status line that is none.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{CallerRequest, Fleet, FleetSpec, RawResponse, Request, SidecarFleet, TargetSpec, serve_raw_target};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const DEADLINE_MS: u64 = 2_000;

/// Time-out of the routes of a node, in milliseconds.
const NODE_TIMEOUT_MS: u64 = 500;

/// What follows the status line of each response.
const REST: &str = "\r\nrequest-id: {id}\r\nresponse-stamp: s\r\ncontent-length: 5\r\n\r\nwhole";

/// Status lines that no final response begins with.
const STATUS_LINES: [&str; 12] = [
    "HTTP/1.1 000",
    "HTTP/1.1 000 Internal Error",
    "HTTP/1.1 0 OK",
    "HTTP/1.1 099 Odd",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 2O0 OK",
    "HTTP/1.1200 OK",
    "HTTP/2 200 OK",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK",
    "HTTP/1.1 101 Switching Protocols",
];

/// Values of `:status` that no final response over HTTP/2 has.
const H2_STATUSES: [&str; 7] = ["000", "0", "099", "-20", "2000", "2O0", "101"];

fn raw_response(status_line: &str) -> RawResponse {
    let start = format!("{status_line}{REST}");
    // Empty lines are written until the node closes the connection.
    RawResponse { start: start.leak(), repeated: "\r\n", pause_ms: 20 }
}

fn config() -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "trips.example", "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": DEADLINE_MS, "slo_ms": 500, "priority": 1, "service": service, "attempts": 2, "public": true})
    };
    let routes = ["safe", "unsafe", "download"].map(|kind| route(kind, kind, "broken"));
    let routes: Vec<_> = routes.into_iter().chain([route("sound", "safe", "sound")]).collect();
    json!({"version": "00000001", "routes": routes, "services": [{"name": "broken"}, {"name": "sound"}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000}})
}

fn request(method: &'static str, path: &'static str, request_id: String) -> CallerRequest {
    CallerRequest { method, path, request_id, api_key: "", deadline_ms: DEADLINE_MS }
}

/// Guards against a status such as 000 that reaches the caller, or costs another request on the connection its response.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn status_that_is_none_is_not_passed_on() {
    let fleet = SidecarFleet::start(&["front", "broken", "sound"], &config()).await;
    let target = &fleet.vms[1].target;
    for vm in 0..3 {
        fleet.wait_for_status(vm, &request("GET", "/safe/1", format!("first-{vm}")), 200).await;
        fleet.wait_for_status(vm, &request("GET", "/sound/1", format!("first-sound-{vm}")), 200).await;
    }
    for (case, status_line) in STATUS_LINES.iter().enumerate() {
        *target.raw_response.lock().expect("not poisoned") = Some(raw_response(status_line));
        target.close_http_connections().await;
        // By ID, as a node that may have lost a request also opens connections to see whether its target is still there.
        let count_sent = |id: &str| {
            let ids = target.raw_connections.request_ids.lock().expect("not poisoned");
            ids.iter().filter(|sent| *sent == id).count()
        };
        for (method, path, most_sent) in [("GET", "/safe/1", 2), ("POST", "/unsafe/1", 1), ("GET", "/download/1", 2)] {
            // At the node beside the target, and through another one.
            for vm in [1, 0] {
                let id = format!("r-{case}-{vm}-{}", &path[1..4]);
                let response = fleet.send(vm, &request(method, path, id.clone())).await;
                expect_that!(response.status, eq(502), "{status_line:?}, {path} at {vm}");
                expect_that!(count_sent(&id), le(most_sent), "{status_line:?}, {path} at {vm}");
            }
        }
        let responses = pipeline(&fleet, &format!("p-{case}")).await;
        expect_that!(responses, eq(&vec!["HTTP/1.1 502", "HTTP/1.1 200"]), "{status_line:?}, pipelined");
    }
}

/// Sends a request for the broken target and one for the sound target at once on one connection, and returns the beginnings
/// of the status lines.
async fn pipeline(fleet: &SidecarFleet, id: &str) -> Vec<String> {
    let mut caller = TcpStream::connect(fleet.vms[0].caller_address).await.expect("the node listens");
    let head = |path, closing| {
        format!(
            "GET {path} HTTP/1.1\r\nhost: trips.example\r\nrequest-id: {id}{closing}\r\ndeadline: {DEADLINE_MS}\r\n\
             connection: {closing}\r\n\r\n"
        )
    };
    let requests = head("/safe/2", "keep-alive") + &head("/sound/2", "close");
    caller.write_all(requests.as_bytes()).await.expect("the node reads");
    let mut bytes = Vec::new();
    caller.read_to_end(&mut bytes).await.expect("whole responses");
    let text = String::from_utf8_lossy(&bytes).into_owned();
    text.match_indices("HTTP/1.1 ").map(|(start, _)| text[start..start + 12].to_owned()).collect()
}

fn node_spec() -> FleetSpec {
    let target = |service| TargetSpec { service, zone: "milano", child_path: None };
    let route = |name: &str, retryable: bool| {
        json!({"set_route": {"route": name, "path_prefix": format!("/{name}"), "service": "search", "class": "lookup",
            "timeout_ms": NODE_TIMEOUT_MS, "retryable": retryable}})
    };
    FleetSpec {
        zones: vec!["milano"],
        targets: vec![target("front"), target("search")],
        changes: json!([
            {"set_tenant": {"tenant": "laghi", "rate_per_s": 5000, "burst": 5000, "weight": 1}},
            {"grant_key": "laghi"}, route("safe", true), route("once", false)
        ]),
    }
}

/// The same for the product's own interface, whose targets may speak HTTP/2.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn status_that_is_none_is_not_passed_on_by_a_node() {
    let spec = node_spec();
    let mut fleet = Fleet::start(&spec).await;
    let key = fleet.configure(&spec).await.remove(0);
    fleet.wait_until_admitted("/safe/1", &key).await;
    fleet.vms[1].target.kill();
    let mut sent = 0;
    let h1 = STATUS_LINES.map(|status_line| ("http1", status_line));
    let h2 = H2_STATUSES.map(|status| ("h2c", status));
    for (protocol, status) in h1.into_iter().chain(h2) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let announcement = json!({
            "service": "search", "address": listener.local_addr().expect("an address").to_string(), "slots": 10,
            "connections": 10, "protocol": protocol,
        });
        let serving = match protocol {
            "http1" => tokio::spawn(serve_raw_target(listener, raw_response(status))),
            _ => tokio::spawn(serve_h2_status(listener, status)),
        };
        for vm in [1, 0] {
            for path in ["/safe", "/once"] {
                let announced = Request::post(fleet.admin_url(1, "/v1/target"), announcement.to_string());
                expect_that!(fleet.client.send(&announced).await.status, lt(300));
                tokio::time::sleep(Duration::from_millis(50)).await;
                // The target of the next case has another address, so that a repeated request counts as one that
                // ends targets.
                sent += 1;
                let request = Request::get(fleet.caller_url(vm, &format!("{path}/{sent}"))).bearer_auth(&key);
                let response = fleet.client.send(&request).await;
                let is_refused = [502, 503, 504].contains(&response.status);
                expect_that!(is_refused, eq(true), "{protocol} {status:?}: {} for {path}", response.status);
            }
        }
        serving.abort();
    }
}

/// Serves HTTP/2 connections and answers each stream with a header block that holds `status` alone, and an empty body.
async fn serve_h2_status(listener: TcpListener, status: &'static str) {
    const PREFACE_BYTES: usize = 24;
    const HEADERS: u8 = 1;
    const SETTINGS: u8 = 4;
    const END_OF_STREAM_AND_HEADERS: u8 = 5;
    const ACK: u8 = 1;
    /// Literal header without indexing, whose name is that of the eighth entry of the static table, `:status`.
    const STATUS_LITERAL: u8 = 8;
    let frame = |kind: u8, flags: u8, stream: [u8; 4], payload: &[u8]| {
        [&[0, 0, payload.len() as u8, kind, flags][..], &stream, payload].concat()
    };
    while let Ok((mut tcp, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut preface = [0; PREFACE_BYTES];
            tcp.read_exact(&mut preface).await?;
            tcp.write_all(&frame(SETTINGS, 0, [0; 4], &[])).await?;
            loop {
                let mut head = [0; 9];
                tcp.read_exact(&mut head).await?;
                let [high, middle, low, kind, flags, stream @ ..] = head;
                let mut payload = vec![0; u32::from_be_bytes([0, high, middle, low]) as usize];
                tcp.read_exact(&mut payload).await?;
                let answer = match kind {
                    SETTINGS if flags & ACK == 0 => frame(SETTINGS, ACK, [0; 4], &[]),
                    HEADERS => {
                        let block = [&[STATUS_LITERAL, status.len() as u8], status.as_bytes()].concat();
                        frame(HEADERS, END_OF_STREAM_AND_HEADERS, stream, &block)
                    }
                    _ => continue,
                };
                tcp.write_all(&answer).await?;
            }
            #[allow(unreachable_code, reason = "gives the task the type of its errors")]
            std::io::Result::Ok(())
        });
    }
}
