//! Bodies of requests and responses must arrive as they were sent, whatever the method, the size and the way.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{CallerRequest, ScriptStep, SidecarFleet};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const METHODS: [&str; 8] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "MEASURE"];

/// Sizes of request bodies in bytes, on both sides of the size up to which nodes keep bodies for a further attempt.
const BODY_SIZES: [usize; 5] = [0, 1, 65_536, 65_537, 1_000_000];

/// Largest body of the configuration, in bytes.
const MAX_BODY_BYTES: usize = 1_000_000;

/// Size of the chunks that callers send, in bytes.
const CHUNK_BYTES: usize = 30_000;

/// Time in which a response must be complete.
const RESPONSE_LIMIT_MS: u64 = 3_000;

fn config() -> Value {
    let route = json!({"name": "view", "host": "trips.example", "prefix": "/view/", "kind": "safe", "timeout_ms": 2_000,
        "slo_ms": 500, "priority": 1, "service": "trips", "attempts": 2, "public": true});
    json!({"version": "00000001", "routes": [route], "services": [{"name": "trips", "max_conns": 100}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": MAX_BODY_BYTES, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": []})
}

/// How a caller frames a body.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    Chunks,
}

fn body(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|index| (index * 7 % 251) as u8).collect()
}

fn encode_request(method: &str, request_id: &str, framing: Framing, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} /view/1 HTTP/1.1\r\nhost: trips.example\r\nrequest-id: {request_id}\r\ndeadline: 2000\r\n\
        connection: close\r\n"
    )
    .into_bytes();
    match framing {
        Framing::Length => {
            bytes.extend(format!("content-length: {}\r\n\r\n", body.len()).bytes());
            bytes.extend(body);
        }
        Framing::Chunks => {
            bytes.extend(b"transfer-encoding: chunked\r\n\r\n");
            for chunk in body.chunks(CHUNK_BYTES) {
                bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
                bytes.extend(chunk);
                bytes.extend(b"\r\n");
            }
            bytes.extend(b"0\r\n\r\n");
        }
    }
    bytes
}

/// Sends a request on its own connection, and returns what arrives until the connection ends.
async fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut caller = TcpStream::connect(address).await.expect("the node listens");
    let mut text = Vec::new();
    let exchange = async {
        // A node that refuses the request may close the connection before all of it was read.
        let _ = caller.write_all(request).await;
        let _ = caller.read_to_end(&mut text).await;
    };
    // A response that is late is reported as it is.
    let _ = tokio::time::timeout(Duration::from_millis(RESPONSE_LIMIT_MS), exchange).await;
    String::from_utf8_lossy(&text).into_owned()
}

async fn start_fleet() -> SidecarFleet {
    let fleet = SidecarFleet::start(&["front", "trips"], &config()).await;
    for vm in 0..2 {
        let request = CallerRequest {
            method: "GET",
            path: "/view/1",
            request_id: format!("first-{vm}"),
            api_key: "",
            deadline_ms: 2_000,
        };
        fleet.wait_for_status(vm, &request, 200).await;
    }
    fleet
}

/// Guards against bodies that are dropped on the way because the method usually has none.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn request_bodies_arrive_unchanged() {
    let fleet = start_fleet().await;
    for (vm, way) in [(0, "another node"), (1, "the own target")] {
        for method in METHODS {
            for framing in [Framing::Length, Framing::Chunks] {
                for size in BODY_SIZES {
                    let name = format!("{method} with {size} bytes in {framing:?} through {way}");
                    let (id, sent) = (name.replace(' ', "-"), body(size));
                    let bytes = encode_request(method, &id, framing, &sent);
                    let response = exchange(fleet.vms[vm].caller_address, &bytes).await;
                    expect_that!(response, starts_with("HTTP/1.1 200"), "{name}");
                    let runs = fleet.vms[1].target.runs.lock().expect("not poisoned");
                    let arrived: Vec<_> = runs.iter().filter(|run| run.request_id == id).collect();
                    expect_that!(arrived.len(), eq(1), "{name}");
                    let Some(run) = arrived.first() else { continue };
                    expect_that!(run.method.as_str(), eq(method), "{name}");
                    expect_that!((run.body.len(), run.body == sent), eq((size, true)), "{name}");
                    let length =
                        run.headers.get("content-length").and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
                    if framing == Framing::Length && size > 0 {
                        expect_that!(length, some(eq(size)), "{name}");
                    }
                }
            }
        }
    }
}

/// Guards against targets that see a part of a request which is too long or framed wrongly.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_are_too_long_or_framed_wrongly_reach_no_target() {
    struct Case {
        name: &'static str,
        request: Vec<u8>,
        status: &'static str,
    }
    let fleet = start_fleet().await;
    let too_long = body(MAX_BODY_BYTES + 1);
    let with_framing = |method: &str, id: &str, headers: &str, body: &[u8]| {
        let head = format!(
            "{method} /view/1 HTTP/1.1\r\nhost: trips.example\r\nrequest-id: {id}\r\ndeadline: 2000\r\n\
            connection: close\r\n{headers}\r\n"
        );
        [head.as_bytes(), body].concat()
    };
    let mut cases = Vec::new();
    for method in ["GET", "POST"] {
        cases.extend([
            Case {
                name: "too long by its length",
                request: encode_request(method, "refused-1", Framing::Length, &too_long),
                status: "HTTP/1.1 413",
            },
            Case {
                name: "a chunk size that is no number",
                request: with_framing(method, "refused-2", "transfer-encoding: chunked\r\n", b"zz\r\nabc\r\n0\r\n\r\n"),
                status: "HTTP/1.1 400",
            },
            Case {
                name: "two lengths",
                request: with_framing(method, "refused-3", "content-length: 3\r\ncontent-length: 4\r\n", b"abcd"),
                status: "HTTP/1.1 400",
            },
            Case {
                name: "a length that is no number",
                request: with_framing(method, "refused-4", "content-length: +3\r\n", b"abc"),
                status: "HTTP/1.1 400",
            },
        ]);
    }
    for case in cases {
        let response = exchange(fleet.vms[0].caller_address, &case.request).await;
        expect_that!(response, starts_with(case.status), "{}", case.name);
        let runs = fleet.vms[1].target.runs.lock().expect("not poisoned");
        let ran = runs.iter().filter(|run| run.request_id.starts_with("refused")).count();
        expect_that!(ran, eq(0), "{}", case.name);
    }
}

/// Guards against lengths that are replaced because the response has no body.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn lengths_of_responses_without_a_body_arrive_unchanged() {
    struct Case {
        method: &'static str,
        script: &'static [ScriptStep],
        head: &'static str,
        length: Option<&'static str>,
    }
    let cases = [
        Case {
            method: "HEAD",
            script: &[ScriptStep {
                runs: true,
                response: "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\ncontent-length: 1234\r\n\r\n",
            }],
            head: "HTTP/1.1 200",
            length: Some("content-length: 1234"),
        },
        Case {
            method: "GET",
            script: &[ScriptStep {
                runs: true,
                response: "HTTP/1.1 304 Not Modified\r\nrequest-id: {id}\r\ncontent-length: 55\r\n\r\n",
            }],
            head: "HTTP/1.1 304",
            // Optional there, and `hyper` leaves it out.
            length: None,
        },
        Case {
            method: "GET",
            script: &[ScriptStep {
                runs: true,
                response: "HTTP/1.1 204 No Content\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n\r\n",
            }],
            head: "HTTP/1.1 204",
            length: None,
        },
        Case {
            method: "GET",
            script: &[ScriptStep {
                runs: true,
                response: "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\ncontent-length: 5\r\n\r\nwhole",
            }],
            head: "HTTP/1.1 200",
            length: Some("content-length: 5"),
        },
    ];
    let fleet = start_fleet().await;
    for vm in 0..2 {
        for case in &cases {
            let name = format!("{} {} at VM {vm}", case.method, case.head);
            *fleet.vms[1].target.script.lock().expect("not poisoned") = Some(case.script);
            fleet.vms[1].target.close_connections();
            tokio::time::sleep(Duration::from_millis(100)).await;
            let request = encode_request(case.method, "response", Framing::Length, b"");
            let response = exchange(fleet.vms[vm].caller_address, &request).await;
            expect_that!(response, starts_with(case.head), "{name}");
            let length = response.lines().find(|line| line.starts_with("content-length"));
            expect_that!(length, eq(case.length), "{name}: {response:?}");
        }
    }
}
