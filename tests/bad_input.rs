//! Malformed input from callers and peers: it is rejected with a clear error and in bounded memory.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;
use support::{Fleet, FleetSpec, Request, TargetSpec, wait_until};

/// Read timeout for a rejection, so that the test fails instead of hanging. It is longer than the 5 s head
/// timeout after which the node closes connections that have not sent a complete request head.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(20);

fn single_target_spec() -> FleetSpec {
    FleetSpec {
        zones: vec!["milano"],
        targets: vec![TargetSpec { service: "search", zone: "milano", child_path: None }],
        changes: json!([
            {"set_tenant": {"tenant": "laghi", "rate_per_s": 1000, "burst": 1000, "weight": 1}},
            {"grant_key": "laghi"},
            {"set_route": {
                "route": "search", "path_prefix": "/search", "service": "search", "class": "lookup",
                "timeout_ms": 3000, "retryable": true,
            }},
        ]),
    }
}

/// Sends raw bytes and returns everything that the node sends until it closes the connection.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut tcp = TcpStream::connect(address).expect("the node accepts the connection");
    tcp.set_read_timeout(Some(REJECTION_TIMEOUT)).expect("a timeout can be set");
    // The node may close the connection before all bytes are written.
    let _ = tcp.write_all(bytes);
    let mut response = Vec::new();
    let _ = tcp.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_rejected_and_the_node_keeps_serving() -> Result<()> {
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
        expected_text: &'static str,
    }
    let head =
        |line: &str| format!("GET /search HTTP/1.1\r\nhost: x\r\n{line}\r\nconnection: close\r\n\r\n").into_bytes();
    let cases = [
        Case { name: "not HTTP", bytes: b"\x16\x03\x01\x02\x00 hello\r\n\r\n".to_vec(), expected_text: "400" },
        Case {
            name: "oversized header",
            bytes: head(&format!("x-big: {}", "y".repeat(1 << 20))),
            expected_text: "431",
        },
        Case {
            name: "timeout is not a number",
            bytes: head("fulmartrestle-timeout-ms: soon"),
            expected_text: "bad_request",
        },
        Case { name: "empty idempotency key", bytes: head("idempotency-key: "), expected_text: "bad_request" },
        Case {
            name: "unknown route",
            bytes: b"GET /nowhere HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_vec(),
            expected_text: "no_route",
        },
        Case { name: "invalid context", bytes: head("fulmartrestle-context: zz.zz"), expected_text: "unauthorized" },
        Case { name: "connection without data", bytes: Vec::new(), expected_text: "" },
        Case {
            name: "incomplete request head",
            bytes: b"GET /search HTTP/1.1\r\nhost: x\r\n".to_vec(),
            expected_text: "",
        },
        Case { name: "partial HTTP/2 preface", bytes: b"PRI".to_vec(), expected_text: "" },
    ];
    let spec = single_target_spec();
    let fleet = Fleet::start(&spec).await;
    let keys = fleet.configure(&spec).await;
    let address: SocketAddr = fleet.vms[0].node.address("callers").parse().or_fail()?;
    let exchanges: Vec<_> = cases
        .into_iter()
        .map(|case| {
            tokio::task::spawn_blocking(move || (case.name, case.expected_text, send_raw(address, &case.bytes)))
        })
        .collect();
    for exchange in exchanges {
        let (name, expected_text, response) = exchange.await.or_fail()?;
        verify_that!(response, contains_substring(expected_text))
            .with_failure_message(|| format!("{name}: {response}"))?;
    }
    fleet.wait_until_admitted("/search/after", &keys[0]).await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_and_oversized_bodies_never_reach_a_target() -> Result<()> {
    let spec = single_target_spec();
    let fleet = Fleet::start(&spec).await;
    let keys = fleet.configure(&spec).await;
    fleet.wait_until_admitted("/search/warm", &keys[0]).await;
    let received_before = fleet.target_records(0).await["received"].clone();
    let address: SocketAddr = fleet.vms[0].node.address("callers").parse().or_fail()?;
    let truncated = format!(
        "POST /search HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: 100\r\n\r\nhalf",
        keys[0]
    );
    let exchange = tokio::task::spawn_blocking(move || {
        let mut tcp = TcpStream::connect(address).expect("the node accepts the connection");
        tcp.write_all(truncated.as_bytes()).expect("the node reads the request");
        tcp.shutdown(std::net::Shutdown::Write).expect("the connection can be closed");
        let mut response = Vec::new();
        let _ = tcp.read_to_end(&mut response);
    });
    exchange.await.or_fail()?;
    let oversized = Request::post(fleet.caller_url(0, "/search"), "x".repeat(2 << 20)).bearer_auth(&keys[0]);
    // The node may respond and close the connection before the whole body is sent.
    if let Ok(response) = fleet.client.try_send(&oversized).await {
        verify_that!(response.json()["outcome"], eq(&json!("not_run"))).or_fail()?;
    }
    verify_that!(fleet.target_records(0).await["received"], eq(&received_before))
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_peer_messages_are_counted_and_the_node_keeps_serving() -> Result<()> {
    let spec = single_target_spec();
    let fleet = Fleet::start(&spec).await;
    let keys = fleet.configure(&spec).await;
    let peer_address: SocketAddr = fleet.vms[0].node.address("peers").parse().or_fail()?;
    let socket = UdpSocket::bind("127.0.0.1:0").or_fail()?;
    for length in 0..1_000_usize {
        // A deterministic sequence that covers all byte values.
        let bytes: Vec<u8> = (0..length).map(|index| (index * 131 + length * 7) as u8).collect();
        socket.send_to(&bytes, peer_address).or_fail()?;
    }
    let exchange = tokio::task::spawn_blocking(move || {
        let mut tcp = TcpStream::connect(peer_address).expect("the node accepts the connection");
        tcp.set_read_timeout(Some(REJECTION_TIMEOUT)).expect("a timeout can be set");
        let _ = tcp.write_all(&[0xff; 4_096]);
        let mut response = Vec::new();
        let _ = tcp.read_to_end(&mut response);
    });
    exchange.await.or_fail()?;
    wait_until("the invalid messages are counted", async || {
        let status = fleet.client.try_send(&Request::get(fleet.admin_url(0, "/v1/status"))).await.ok()?.json();
        let control_errors = status["counters"].as_array()?.iter().find(|row| row["name"] == "control_errors")?.clone();
        (control_errors["value"].as_u64()? > 0).then_some(())
    })
    .await;
    fleet.wait_until_admitted("/search/after", &keys[0]).await;
    Ok(())
}
