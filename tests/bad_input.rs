//! What callers and peers may send that is not a request: refused clearly, with bounded memory.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;
use support::{Fleet, FleetPlan, Request, TargetPlan, wait_until};

/// Longest wait for a refusal. It only ends a test that hangs; the node closes silent connections
/// after its head timeout of 5 s.
const REFUSAL_WAIT: Duration = Duration::from_secs(20);

fn plan() -> FleetPlan {
    FleetPlan {
        zones: vec!["milano"],
        targets: vec![TargetPlan { service: "search", zone: "milano", child: None }],
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

/// Sends raw bytes and returns what comes back until the node closes the connection.
fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut tcp = TcpStream::connect(address).expect("the node accepts");
    tcp.set_read_timeout(Some(REFUSAL_WAIT)).expect("a timeout can be set");
    // The node may close while it is still being sent to.
    let _ = tcp.write_all(bytes);
    let mut answer = Vec::new();
    let _ = tcp.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_refused_and_the_node_goes_on() -> Result<()> {
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
        says: &'static str,
    }
    let head =
        |line: &str| format!("GET /search HTTP/1.1\r\nhost: x\r\n{line}\r\nconnection: close\r\n\r\n").into_bytes();
    let cases = [
        Case { name: "not HTTP", bytes: b"\x16\x03\x01\x02\x00 hello\r\n\r\n".to_vec(), says: "400" },
        Case { name: "giant header", bytes: head(&format!("x-big: {}", "y".repeat(1 << 20))), says: "431" },
        Case { name: "timeout is no number", bytes: head("fulmartrestle-timeout-ms: soon"), says: "bad_request" },
        Case { name: "empty idempotency key", bytes: head("idempotency-key: "), says: "bad_request" },
        Case {
            name: "unknown route",
            bytes: b"GET /nowhere HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_vec(),
            says: "no_route",
        },
        Case { name: "wrong context", bytes: head("fulmartrestle-context: zz.zz"), says: "unauthorized" },
        Case { name: "a connection that never speaks", bytes: Vec::new(), says: "" },
        Case { name: "a head that never ends", bytes: b"GET /search HTTP/1.1\r\nhost: x\r\n".to_vec(), says: "" },
        Case { name: "half a preface", bytes: b"PRI".to_vec(), says: "" },
    ];
    let plan = plan();
    let fleet = Fleet::start(&plan).await;
    let keys = fleet.configure(&plan).await;
    let address: SocketAddr = fleet.vms[0].node.address("callers").parse().or_fail()?;
    let sent: Vec<_> = cases
        .into_iter()
        .map(|case| tokio::task::spawn_blocking(move || (case.name, case.says, raw(address, &case.bytes))))
        .collect();
    for send in sent {
        let (name, says, answer) = send.await.or_fail()?;
        verify_that!(answer, contains_substring(says)).with_failure_message(|| format!("{name}: {answer}"))?;
    }
    fleet.wait_until_admitted("/search/after", &keys[0]).await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_cut_short_or_too_long_never_reaches_a_target() -> Result<()> {
    let plan = plan();
    let fleet = Fleet::start(&plan).await;
    let keys = fleet.configure(&plan).await;
    fleet.wait_until_admitted("/search/warm", &keys[0]).await;
    let before = fleet.records(0).await["received"].clone();
    let address: SocketAddr = fleet.vms[0].node.address("callers").parse().or_fail()?;
    let short = format!(
        "POST /search HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: 100\r\n\r\nhalf",
        keys[0]
    );
    let cut = tokio::task::spawn_blocking(move || {
        let mut tcp = TcpStream::connect(address).expect("the node accepts");
        tcp.write_all(short.as_bytes()).expect("the node reads");
        tcp.shutdown(std::net::Shutdown::Write).expect("the connection can be closed");
        let mut answer = Vec::new();
        let _ = tcp.read_to_end(&mut answer);
    });
    cut.await.or_fail()?;
    let long = Request::post(fleet.caller_url(0, "/search"), "x".repeat(2 << 20)).key(&keys[0]);
    // The node may answer and close before the whole body is sent.
    if let Ok(answer) = fleet.client.try_send(&long).await {
        verify_that!(answer.json()["outcome"], eq(&json!("not_run"))).or_fail()?;
    }
    verify_that!(fleet.records(0).await["received"], eq(&before))
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_from_peers_is_counted_and_changes_nothing() -> Result<()> {
    let plan = plan();
    let fleet = Fleet::start(&plan).await;
    let keys = fleet.configure(&plan).await;
    let peers: SocketAddr = fleet.vms[0].node.address("peers").parse().or_fail()?;
    let socket = UdpSocket::bind("127.0.0.1:0").or_fail()?;
    for length in 0..1_000_usize {
        // A cheap fixed sequence that covers all byte values.
        let bytes: Vec<u8> = (0..length).map(|index| (index * 131 + length * 7) as u8).collect();
        socket.send_to(&bytes, peers).or_fail()?;
    }
    let answer = tokio::task::spawn_blocking(move || {
        let mut tcp = TcpStream::connect(peers).expect("the node accepts");
        tcp.set_read_timeout(Some(REFUSAL_WAIT)).expect("a timeout can be set");
        let _ = tcp.write_all(&[0xff; 4_096]);
        let mut answer = Vec::new();
        let _ = tcp.read_to_end(&mut answer);
    });
    answer.await.or_fail()?;
    wait_until("the garbage is counted", async || {
        let status = fleet.client.try_send(&Request::get(fleet.admin_url(0, "/v1/status"))).await.ok()?.json();
        let errors = status["counters"].as_array()?.iter().find(|row| row["name"] == "control_errors")?.clone();
        (errors["value"].as_u64()? > 0).then_some(())
    })
    .await;
    fleet.wait_until_admitted("/search/after", &keys[0]).await;
    Ok(())
}
