//! A zone loses power, and the operator writes a new configuration at that moment.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::{Answer, Request, Sent, send};
use crate::nodes::{Node, Place};
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

const SERVICE: &str = "profili";
const FIRST_ZONE: &str = "pianura-milano";
const SECOND_ZONE: &str = "pianura-verona";

/// Nodes in the first zone. The second one has a single node.
const FIRST_ZONE_NODES: usize = 8;

/// Bound of the deployment within which a version is in force, in milliseconds.
const CONFIG_APPLY_MS: u64 = 2_000;

/// Time for which the zone is dark, in milliseconds.
const DARK_MS: u64 = 5_500;

const SEND_INTERVAL_MS: u64 = 20;

/// Nodes of the first zone that must have lower IDs than that of the second zone. The four with the lowest IDs read the
/// store for all others.
const LOWER_IDS: usize = 6;

fn config(version: u32, routes: &[&str]) -> String {
    let route = |name: &&str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"site.example\",\"prefix\":\"/{name}/\",\"kind\":\"safe\",\"timeout_ms\":1000,\
             \"slo_ms\":1500,\"priority\":2,\"service\":\"{SERVICE}\",\"attempts\":2,\"public\":false}}"
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\
         \"max_conns\":340,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"pulo780\",\"api_keys\":[\"6wsjnbanfqasnmgkcuyj\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

pub fn run(program: &str, record: &Record, trouble: bool) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let store = Store::start(record).map_err(text)?;
    store.write_operator_record("config", &config(7, &["kept", "dropped"]));
    let mut nodes = Vec::new();
    let mut workers = Vec::new();
    for index in 0..=FIRST_ZONE_NODES {
        let zone = if index < FIRST_ZONE_NODES { FIRST_ZONE } else { SECOND_ZONE };
        let listener = Worker::bind().map_err(text)?;
        let target = listener.local_addr().map_err(text)?;
        let name = format!("sidecar-{zone}-{}", index + 1);
        let place = Place { name: &name, zone, service: SERVICE, target, store: store.address };
        let mut node = Node::new(program, &place, record).map_err(text)?;
        node.start().map_err(text)?;
        workers
            .push(Worker::start(&format!("i-{index}"), SERVICE, zone, listener, node.control, record).map_err(text)?);
        nodes.push(node);
    }
    for node in &nodes {
        node.wait_until_ready(10_000)?;
    }
    // A node's ID is drawn at each start. The node of the second zone starts again until enough others have lower ones,
    // which is so at its first start in 3 of 9 cases.
    let last = nodes.len() - 1;
    for _ in 0..40 {
        let ids: Vec<String> = nodes.iter().filter_map(Node::logged_id).collect();
        if ids.len() == nodes.len() && ids.iter().filter(|id| **id < ids[last]).count() >= LOWER_IDS {
            break;
        }
        nodes[last].terminate();
        while !nodes[last].has_ended() {
            thread::sleep(Duration::from_millis(10));
        }
        nodes[last].start().map_err(text)?;
        nodes[last].wait_until_ready(10_000)?;
        thread::sleep(Duration::from_millis(300));
    }
    thread::sleep(Duration::from_millis(6_000));
    let caller = nodes[last].caller;
    let ends = Arc::new(AtomicBool::new(false));
    let sending = {
        let (record, ends) = (record.clone(), Arc::clone(&ends));
        thread::spawn(move || send_until(caller, &ends, &record))
    };
    thread::sleep(Duration::from_millis(1_000));
    store.wait_for_direct_read();
    thread::sleep(Duration::from_millis(100));
    if trouble {
        record.line("zone pianura-milano loses power");
        nodes[..last].iter_mut().for_each(Node::kill);
        workers[..last].iter().for_each(|worker| worker.exit());
    }
    store.write_operator_record("config", &config(12, &["kept"]));
    let acknowledged_ms = record.ms();
    thread::sleep(Duration::from_millis(DARK_MS));
    if trouble {
        for node in &mut nodes[..last] {
            node.start().map_err(text)?;
        }
    }
    thread::sleep(Duration::from_millis(1_500));
    ends.store(true, Ordering::Relaxed);
    let sent = sending.join().map_err(|_| "the clients failed")?;
    let runs = workers[last].runs();
    let was_run = |sent: &&Sent| sent.answer == Answer::Whole(200) && runs.iter().any(|run| run.request_id == sent.request_id);
    let before = sent.iter().filter(|sent| sent.sent_ms < acknowledged_ms).filter(was_run).count();
    let late: Vec<_> =
        sent.iter().filter(|sent| sent.sent_ms > acknowledged_ms + CONFIG_APPLY_MS).filter(was_run).collect();
    for sent in &late {
        record.line(&format!(
            "CONFIG: {} was sent {} ms after version 0000000c was acknowledged, which has no such route, and was run",
            sent.request_id,
            sent.sent_ms - acknowledged_ms
        ));
    }
    record.line(&format!(
        "{} requests on the dropped route; {before} run before the change, {} run later than {CONFIG_APPLY_MS} ms after its acknowledgement",
        sent.len(),
        late.len()
    ));
    if before < 10 {
        return Err("too few requests were run before the change".to_owned());
    }
    Ok(late.is_empty())
}

fn send_until(caller: std::net::SocketAddr, ends: &AtomicBool, record: &Record) -> Vec<Sent> {
    let mut clients = Vec::new();
    for index in 0_u64.. {
        if ends.load(Ordering::Relaxed) {
            break;
        }
        let request = Request {
            id: format!("c{index}"),
            method: "GET",
            path: format!("/dropped/{index}?work=20&bytes=100"),
            key: "6wsjnbanfqasnmgkcuyj",
            deadline_ms: 5_000,
        };
        let record = record.clone();
        clients.push(thread::spawn(move || send(caller, &request, &record)));
        thread::sleep(Duration::from_millis(SEND_INTERVAL_MS));
    }
    clients.into_iter().filter_map(|client| client.join().ok()).collect()
}
