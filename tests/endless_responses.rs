//! Targets that send bytes without an end.

mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use googletest::prelude::*;
use serde_json::{Value, json};
use support::{CallerRequest, RawResponse, SidecarFleet, wait_until};

/// Requests that are sent at the same time.
const CONCURRENT: usize = 8;

const DEADLINE_MS: u64 = 2_000;

/// Time within which a response that can be recognised as invalid is answered, in milliseconds. It is half of the
/// shortest latency objective of the deployments, 400 ms, and some time for a busy test machine.
const REFUSED_WITHIN_MS: u64 = 1_000;

/// Bytes that a target may get rid of on one connection before it is closed: a response head, the windows between the
/// nodes, and the buffers of the sockets.
const MAX_WRITTEN_BYTES: usize = 16 << 20;

/// Bytes that a target sends without an end, and what the caller gets.
struct Case {
    name: &'static str,
    raw: RawResponse,
    /// Whether the response is known to be invalid long before the deadline.
    at_once: bool,
    /// Whether a complete response precedes the endless bytes.
    whole: bool,
}

const STATUS_LINE: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n";
const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\ncontent-length: 5\r\n\r\nwhole";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n\r\n";
const KILOBYTE: &str = concat!(
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
);

const CASES: [Case; 10] = [
    case("header lines", STATUS_LINE, "x-filler: aaaaaaaaaaaaaaaa\r\n", 0, true, false),
    case("one header line", STATUS_LINE, KILOBYTE, 0, true, false),
    case("a status line", "HTTP/1.1 200 ", KILOBYTE, 0, true, false),
    case("no protocol at all", "", KILOBYTE, 0, true, false),
    case("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", 0, true, false),
    case("slow interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", 20, true, false),
    case("one chunk line", CHUNKED, "1111111111111111", 0, true, false),
    case("a body without length", UNTIL_CLOSE, KILOBYTE, 1, false, false),
    case("a dripping head", STATUS_LINE, "a", 50, false, false),
    case("bytes after a response", WITH_LENGTH, KILOBYTE, 0, true, true),
];

const fn case(
    name: &'static str,
    start: &'static str,
    repeated: &'static str,
    pause_ms: u64,
    at_once: bool,
    whole: bool,
) -> Case {
    Case { name, raw: RawResponse { start, repeated, pause_ms }, at_once, whole }
}

fn config() -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "trips.example", "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": DEADLINE_MS, "slo_ms": 500, "priority": 1, "service": service, "attempts": 2, "public": true})
    };
    json!({"version": "00000001",
        "routes": [route("broken", "unsafe", "broken"), route("sound", "safe", "sound")],
        "services": [{"name": "broken"}, {"name": "sound"}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": []})
}

fn request(method: &'static str, path: &'static str, request_id: String) -> CallerRequest {
    CallerRequest { method, path, request_id, api_key: "", deadline_ms: DEADLINE_MS }
}

/// Without the bounds, endless interim responses held the request until its deadline and went on afterwards, and a body
/// without a length was forwarded for as long as the caller kept its connection.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn endless_bytes_end_with_a_failure_and_a_closed_connection() {
    let fleet = SidecarFleet::start(&["broken", "sound"], &config()).await;
    fleet.wait_for_status(0, &request("POST", "/broken/1", "first".to_owned()), 200).await;
    fleet.wait_for_status(0, &request("GET", "/sound/1", "first-sound".to_owned()), 200).await;
    let target = &fleet.vms[0].target;
    let counts = &target.raw_connections;
    for case in CASES {
        *target.raw_response.lock().expect("not poisoned") = Some(case.raw);
        // Connections that are still idle speak HTTP; the node must open new ones to meet the endless bytes.
        target.close_connections();
        let accepted = counts.accepted.load(Ordering::Relaxed);
        let written = counts.written_bytes.load(Ordering::Relaxed);
        let send = |number: usize| {
            let fleet = &fleet;
            async move {
                let started = Instant::now();
                let id = format!("{}-{number}", case.name.replace(' ', "-"));
                let response = fleet.try_send(1, &request("POST", "/broken/1", id)).await;
                (response, started.elapsed())
            }
        };
        let sound = request("GET", "/sound/1", format!("{}-sound", case.name.replace(' ', "-")));
        let (responses, sound) = tokio::join!(join_all((0..CONCURRENT).map(send)), fleet.send(0, &sound));
        expect_that!(sound.status, eq(200), "other targets during {}", case.name);
        for (response, took) in &responses {
            match (response, case.whole) {
                (Ok(response), true) => expect_that!(response.body, eq("whole"), "{}", case.name),
                // A connection that ends before its response is complete.
                (Err(_), _) => expect_that!(case.at_once, eq(false), "no response: {}", case.name),
                (Ok(response), false) => expect_that!(response.status, any!(eq(502), eq(504)), "{}", case.name),
            }
            let limit_ms = if case.at_once { REFUSED_WITHIN_MS } else { DEADLINE_MS + REFUSED_WITHIN_MS };
            expect_that!(*took, lt(Duration::from_millis(limit_ms)), "{}", case.name);
        }
        wait_until("the connections are closed", || async { (counts.open.load(Ordering::Relaxed) == 0).then_some(()) })
            .await;
        let accepted = counts.accepted.load(Ordering::Relaxed) - accepted;
        expect_that!(accepted, eq(CONCURRENT), "no request is sent twice: {}", case.name);
        let written = counts.written_bytes.load(Ordering::Relaxed) - written;
        expect_that!(written, lt(CONCURRENT * MAX_WRITTEN_BYTES), "{}", case.name);
    }
}
