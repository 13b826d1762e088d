//! Planned stops of sidecar processes while large bodies are on their way.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use googletest::prelude::*;
use serde_json::{Value, json};
use support::{SidecarFleet, TargetBehaviour};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Pieces in which an upload is sent.
const PIECES: usize = 10;

/// Uploads of each case, and uploads that tell the nodes before the stop how long the work takes.
const UPLOADS: usize = 3;
const EARLIER_UPLOADS: usize = 4;

/// Deadline of all uploads. The time-out of the route is longer.
const DEADLINE_MS: u64 = 6_000;

/// Longest time that a caller waits for a response once its body is sent.
const RESPONSE_LIMIT_MS: u64 = 8_000;

fn config() -> Value {
    let route = |name: &str, kind: &str| {
        json!({"name": name, "host": "trips.example", "prefix": format!("/{name}/"), "kind": kind, "timeout_ms": 15_000,
            "slo_ms": 500, "priority": 1, "service": "trips", "attempts": 2, "public": true})
    };
    json!({"version": "00000001",
        "routes": [route("photo", "upload"), route("file", "download")],
        "services": [{"name": "trips", "max_conns": 100}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_000_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": []})
}

/// How an upload is sent.
#[derive(Clone, Copy)]
struct Upload {
    bytes: usize,
    /// Whether the body comes in chunks, without an announced length.
    chunked: bool,
    sending_ms: u64,
}

/// Sends an upload in pieces, and returns what the caller reads until the connection ends or the response is whole. A caller
/// that can't send the rest does not read.
async fn send_upload(address: SocketAddr, id: &str, upload: Upload) -> String {
    let Upload { bytes, chunked, sending_ms } = upload;
    let framing = if chunked { "transfer-encoding: chunked".to_owned() } else { format!("content-length: {bytes}") };
    let head = format!(
        "POST /photo/{id} HTTP/1.1\r\nhost: trips.example\r\nrequest-id: {id}\r\ndeadline: {DEADLINE_MS}\r\n{framing}\r\n\r\n"
    );
    let mut caller = TcpStream::connect(address).await.expect("the node listens");
    let (mut reader, mut writer) = caller.split();
    let sending = async {
        writer.write_all(head.as_bytes()).await?;
        for _ in 0..PIECES {
            let piece = vec![b'p'; bytes / PIECES];
            if chunked {
                writer.write_all(format!("{:x}\r\n", piece.len()).as_bytes()).await?;
            }
            writer.write_all(&piece).await?;
            if chunked {
                writer.write_all(b"\r\n").await?;
            }
            tokio::time::sleep(Duration::from_millis(sending_ms / PIECES as u64)).await;
        }
        writer.write_all(if chunked { b"0\r\n\r\n" } else { b"" }).await
    };
    if let Err(error) = sending.await {
        return format!("not sent: {error}");
    }
    let mut response = String::new();
    let reading = async {
        let mut buffer = vec![0; 4_096];
        while !response.ends_with("whole") && !response.ends_with('}') {
            match reader.read(&mut buffer).await {
                Ok(read) if read > 0 => response.push_str(&String::from_utf8_lossy(&buffer[..read])),
                _ => break,
            }
        }
    };
    // A response that is late is reported as incomplete.
    let _ = tokio::time::timeout(Duration::from_millis(RESPONSE_LIMIT_MS), reading).await;
    response
}

/// What becomes of the uploads of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// All are answered by their target.
    Served,
    /// All are refused, and none has run.
    Refused,
}

struct Case {
    name: &'static str,
    /// Services of the VMs. The first one takes the uploads.
    services: &'static [&'static str],
    /// VM that is stopped.
    stopped: usize,
    /// Time from SIGTERM to the first byte.
    sent_after_ms: u64,
    upload: Upload,
    work_ms: u64,
    expected: Expected,
}

async fn run_case(case: &Case, mut fleet: SidecarFleet) {
    for vm in &fleet.vms {
        *vm.target.behaviour.lock().expect("not poisoned") = TargetBehaviour::RespondAfterMs(case.work_ms);
        vm.target.slots.store(100, Ordering::Relaxed);
    }
    let address = fleet.vms[0].caller_address;
    let name = case.name;
    let is_whole = |response: &str| response.starts_with("HTTP/1.1 200") && response.ends_with("whole");
    let quick = Upload { sending_ms: 0, ..case.upload };
    while !is_whole(&send_upload(address, "first", quick).await) {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for number in 0..EARLIER_UPLOADS {
        let response = send_upload(address, &format!("earlier-{number}"), quick).await;
        assert_that!(is_whole(&response), eq(true), "{name}: {response:?}");
    }
    fleet.vms[case.stopped].node.send_sigterm();
    tokio::time::sleep(Duration::from_millis(case.sent_after_ms)).await;
    let uploads = (0..UPLOADS).map(|number| async move {
        let id = format!("late-{number}");
        let response = send_upload(address, &id, case.upload).await;
        (id, response)
    });
    for (id, response) in join_all(uploads).await {
        let ran = fleet
            .vms
            .iter()
            .any(|vm| vm.target.runs.lock().expect("not poisoned").iter().any(|run| run.request_id == id));
        match case.expected {
            Expected::Served => expect_that!(is_whole(&response), eq(true), "{name}: {response:?}"),
            Expected::Refused => {
                let is_refused = response.starts_with("HTTP/1.1 503") && response.contains("retry-after");
                expect_that!((is_refused, ran), eq((true, false)), "{name}: {response:?}");
            }
        }
    }
    expect_that!(tokio::task::block_in_place(|| fleet.vms[case.stopped].node.terminate()), some(eq(0)), "{name}");
}

/// Guards against uploads that are passed on while they arrive although their work can't end before the node does: they ran
/// and were cut off without an answer. Also against refusals that their callers can't read, because the connection was closed
/// while they were still sending.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn uploads_that_arrive_too_slowly_for_a_stopping_node_are_cut_off() {
    const SLOW: Upload = Upload { bytes: 300_000, chunked: false, sending_ms: 1_600 };
    const LONG: Upload = Upload { sending_ms: 4_800, ..SLOW };
    const ENTRY: &[&str] = &["front", "trips"];
    let late = Case {
        name: "announced length",
        services: ENTRY,
        stopped: 0,
        sent_after_ms: 2_000,
        upload: Upload { sending_ms: 2_700, ..SLOW },
        work_ms: 1_200,
        expected: Expected::Refused,
    };
    let cases = [
        Case { name: "chunks", upload: Upload { chunked: true, ..late.upload }, ..late },
        Case { name: "less than is buffered", upload: Upload { bytes: 65_530, ..late.upload }, ..late },
        Case { name: "a little more than is buffered", upload: Upload { bytes: 65_540, ..late.upload }, ..late },
        Case { name: "long body", upload: Upload { bytes: 2_000_000, ..late.upload }, ..late },
        Case {
            name: "body that began early",
            sent_after_ms: 100,
            upload: Upload { sending_ms: 5_000, ..SLOW },
            ..late
        },
        Case { name: "the node beside the target stops", stopped: 1, sent_after_ms: 300, upload: LONG, ..late },
        Case { name: "its own target", services: &["trips"], sent_after_ms: 300, upload: LONG, ..late },
        Case { name: "refused at its first part", sent_after_ms: 2_000, work_ms: 3_200, ..late },
        Case { name: "in time", sent_after_ms: 1_300, upload: SLOW, expected: Expected::Served, ..late },
        Case {
            name: "in time, beside the target",
            stopped: 1,
            sent_after_ms: 300,
            upload: SLOW,
            expected: Expected::Served,
            ..late
        },
        late,
    ];
    let mut runs = Vec::new();
    for case in &cases {
        // Starting a process blocks the thread, so that fleets which start at once wait for each other.
        runs.push(run_case(case, SidecarFleet::start(case.services, &config()).await));
    }
    join_all(runs).await;
}

/// Downloads a file, and returns the status and how many bytes of the body arrived. The status is 0 if none came.
async fn download(address: SocketAddr, id: &str) -> (u16, usize) {
    let head = format!(
        "GET /file/{id} HTTP/1.1\r\nhost: trips.example\r\nrequest-id: {id}\r\ndeadline: {DEADLINE_MS}\r\nconnection: close\r\n\r\n"
    );
    let Ok(mut caller) = TcpStream::connect(address).await else { return (REFUSED_CONNECTION, 0) };
    let mut response = Vec::new();
    // What arrives before the connection breaks off is counted.
    let _ = caller.write_all(head.as_bytes()).await;
    let _ = caller.read_to_end(&mut response).await;
    let text = String::from_utf8_lossy(&response);
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default();
    (status, text.split_once("\r\n\r\n").map_or(0, |(_, body)| body.len()))
}

/// Stands for the status of a download whose connection was refused.
const REFUSED_CONNECTION: u16 = 1;

/// Guards against downloads that are passed on late in a planned stop and cut off in the middle of their bodies, because only
/// the time to the heads of their responses was known.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn downloads_that_begin_late_in_a_stop_are_cut_off() {
    const FILE_BYTES: usize = 200_000;
    const SENDING_MS: u64 = 2_600;
    const INTERVAL_MS: u64 = 200;
    const LAST_MS: u64 = 4_600;
    struct Case {
        name: &'static str,
        services: &'static [&'static str],
        stopped: usize,
    }
    let cases = [
        // While its own target works, the node takes downloads for the other one.
        Case { name: "the entry stops", services: &["trips", "trips"], stopped: 0 },
        Case { name: "the node beside the target stops", services: &["front", "trips"], stopped: 1 },
        Case { name: "its own target", services: &["trips"], stopped: 0 },
    ];
    let run_case = async |case: &Case, fleet: SidecarFleet| {
        let Case { name, services: _, stopped } = *case;
        for vm in &fleet.vms {
            *vm.target.behaviour.lock().expect("not poisoned") =
                TargetBehaviour::SlowResponse { bytes: FILE_BYTES, sending_ms: SENDING_MS };
            vm.target.slots.store(100, Ordering::Relaxed);
        }
        let address = fleet.vms[0].caller_address;
        while download(address, "first").await.0 != 200 {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        fleet.vms[stopped].node.send_sigterm();
        let downloads = (0..=LAST_MS / INTERVAL_MS).map(|number| async move {
            tokio::time::sleep(Duration::from_millis(number * INTERVAL_MS)).await;
            (number, download(address, &format!("late-{number}")).await)
        });
        let mut served = 0;
        for (number, (status, bytes)) in join_all(downloads).await {
            let is_whole = status == 200 && bytes >= FILE_BYTES;
            served += usize::from(is_whole);
            let case = format!("{name}, {} ms after SIGTERM: {status}, {bytes} bytes", number * INTERVAL_MS);
            expect_that!(is_whole || status == 503 || status == REFUSED_CONNECTION, eq(true), "{case}");
        }
        expect_that!(served, gt(4), "{name}");
    };
    let mut runs = Vec::new();
    for case in &cases {
        runs.push(run_case(case, SidecarFleet::start(case.services, &config()).await));
    }
    join_all(runs).await;
}
