//! A worker leaves, its node starts again, and a heartbeat from before arrives late.

use std::thread;
use std::time::Duration;

use crate::client::{Answer, Request, Sent, send};
use crate::nodes::{Node, Place};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{RunEnd, Worker};

const CONFIG: &str = r#"{"version":"00000007","routes":[{"name":"r-pair","host":"site.example","prefix":"/pair/","kind":"unsafe","slo_ms":1500,"priority":0,"service":"abbinamenti","attempts":2,"public":false}],"services":[{"name":"abbinamenti","health_path":"/healthz","max_conns":418,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"pulo780","api_keys":["6wsjnbanfqasnmgkcuyj"],"priority":1}]}"#;

const ZONE: &str = "pianura-milano";
const SERVICE: &str = "abbinamenti";
const WORK: &str = "work=210&bytes=400";

const DRAIN_MS: u64 = 2_000;
const STABILITY_WINDOW_MS: u64 = 3_000;

/// What happens to the nodes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    /// The worker's node is stopped with SIGTERM and started again; then the worker leaves.
    PlannedRestart,
    /// The store is down while the worker leaves, and all nodes are killed at the same moment.
    StoreDownAndKill,
}

pub fn run(program: &str, record: &Record, disruption: Disruption, trouble: bool) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let store = Store::start(record).map_err(text)?;
    store.write_operator_record("config", CONFIG);
    let mut nodes = Vec::new();
    let mut workers = Vec::new();
    for index in 0..3 {
        let listener = Worker::bind().map_err(text)?;
        let target = listener.local_addr().map_err(text)?;
        let name = format!("sidecar-{ZONE}-{}", index + 1);
        let place = Place { name: &name, zone: ZONE, service: SERVICE, target, store: store.address };
        let mut node = Node::new(program, &place, record).map_err(text)?;
        node.start().map_err(text)?;
        workers.push(Worker::start(&format!("i-{index}"), SERVICE, ZONE, listener, node.control, record).map_err(text)?);
        nodes.push(node);
    }
    for node in &nodes {
        node.wait_until_ready(10_000)?;
    }
    thread::sleep(Duration::from_millis(4_000));
    let start_ms = record.ms();
    let caller = nodes[0].caller;
    let sending = {
        let record = record.clone();
        thread::spawn(move || send_for(caller, start_ms + 15_000, &record))
    };
    let leaving = &workers[0];
    let mut restarted_ms = 0;
    let is_planned = disruption == Disruption::PlannedRestart;
    if trouble && is_planned {
        record.sleep_until(start_ms + 1_000);
        nodes[0].terminate();
        while !nodes[0].has_ended() {
            thread::sleep(Duration::from_millis(20));
        }
        record.line("node: ended by itself");
        nodes[0].start().map_err(text)?;
        restarted_ms = record.ms();
    }
    if trouble && !is_planned {
        record.sleep_until(start_ms + 2_000);
        store.set_down(true);
    }
    // The network delays this heartbeat by some seconds.
    leaving.stop_heartbeats();
    let late_heartbeat = leaving.next_heartbeat();
    let sent_heartbeat_ms = record.ms();
    record.line("worker i-0: sends a heartbeat that arrives late");
    thread::sleep(Duration::from_millis(400));
    let acknowledged_ms = leaving.deregister().ok_or("the leaving was not acknowledged")?;
    if trouble && !is_planned {
        record.sleep_until(sent_heartbeat_ms + 1_300);
        nodes.iter_mut().for_each(Node::kill);
        record.sleep_until(sent_heartbeat_ms + 2_000);
        store.set_down(false);
        record.sleep_until(sent_heartbeat_ms + 2_300);
        for node in &mut nodes {
            node.start().map_err(text)?;
        }
        restarted_ms = record.ms();
    }
    record.sleep_until(sent_heartbeat_ms + 2_900);
    let response = leaving.send_heartbeat(&late_heartbeat);
    record.line(&format!("worker i-0: the late heartbeat arrives: {:?}", response.map(|response| response.start)));
    // The worker goes on for some seconds after the acknowledgement.
    record.sleep_until(acknowledged_ms + 7_500);
    leaving.exit();
    let sent = sending.join().map_err(|_| "the clients failed")?;
    // Machines in touch: the window since the node's start and since the store's trouble.
    let binding_ms = (acknowledged_ms + DRAIN_MS).max(restarted_ms + STABILITY_WINDOW_MS);
    record.line(&format!(
        "acknowledged at {acknowledged_ms} ms, drain_ms over at {} ms, the node in touch from {binding_ms} ms",
        acknowledged_ms + DRAIN_MS
    ));
    let late: Vec<_> = leaving.runs().into_iter().filter(|run| run.started_ms > binding_ms).collect();
    let late: Vec<_> = late
        .into_iter()
        .filter(|run| sent.iter().any(|sent| sent.request_id == run.request_id && sent.sent_ms > binding_ms))
        .collect();
    for run in late.iter().take(3) {
        record.line(&format!("DRAIN: {} reached i-0 at {} ms", run.request_id, run.started_ms));
    }
    let broken_off: Vec<_> = late.iter().filter(|run| matches!(run.end, RunEnd::Exited | RunEnd::AtWork)).collect();
    for run in &broken_off {
        let answer = sent.iter().find(|sent| sent.request_id == run.request_id).map(|sent| sent.answer.clone());
        record.line(&format!("{} was running when i-0 exited; its client got {answer:?}", run.request_id));
    }
    let answered = sent.iter().filter(|sent| sent.answer == Answer::Whole(200)).count();
    record.line(&format!(
        "{} requests, {answered} answered 200; {} reached i-0 too late, {} of them were running when it exited",
        sent.len(),
        late.len(),
        broken_off.len()
    ));
    if answered < 50 {
        return Err("too few requests were answered".to_owned());
    }
    Ok(late.is_empty())
}

/// Sends a request each 25 ms until `end_ms`.
fn send_for(caller: std::net::SocketAddr, end_ms: u64, record: &Record) -> Vec<Sent> {
    let mut clients = Vec::new();
    for index in 0_u64.. {
        if record.ms() >= end_ms {
            break;
        }
        let request = Request {
            id: format!("p{index}"),
            method: "POST",
            path: format!("/pair/{index}?{WORK}"),
            key: "6wsjnbanfqasnmgkcuyj",
            deadline_ms: 5_000,
        };
        let record = record.clone();
        clients.push(thread::spawn(move || send(caller, &request, &record)));
        thread::sleep(Duration::from_millis(25));
    }
    clients.into_iter().filter_map(|client| client.join().ok()).collect()
}
