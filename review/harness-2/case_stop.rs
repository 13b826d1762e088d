//! A planned stop of a node while its clients download.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::{Answer, Request, Sent, send};
use crate::nodes::{Node, Place};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{RunEnd, Worker};

const CONFIG: &str = r#"{"version":"00000007","routes":[{"name":"r-files","host":"site.example","prefix":"/files/","kind":"download","slo_ms":3000,"priority":1,"service":"settlements","attempts":2,"public":false}],"services":[{"name":"settlements","health_path":"/healthz","max_conns":340,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"pulo780","api_keys":["6wsjnbanfqasnmgkcuyj"],"priority":1}]}"#;

const ZONES: [&str; 3] = ["attiki-a", "attiki-b", "attiki-c"];

/// A download of 200 KB: 100 ms until the answer begins, and 2.6 s to send it.
const WORK: &str = "work=100&bytes=200000&stream=2600";
const DEADLINE_MS: u64 = 5_000;

const SEND_INTERVAL_MS: u64 = 200;
const GRACE_MS: u64 = 6_000;

pub fn run(program: &str, record: &Record, trouble: bool) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let store = Store::start(record).map_err(text)?;
    store.write_operator_record("config", CONFIG);
    let mut nodes = Vec::new();
    let mut workers = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let listener = Worker::bind().map_err(text)?;
        let target = listener.local_addr().map_err(text)?;
        let name = format!("sidecar-{zone}-1");
        let place = Place { name: &name, zone, service: "settlements", target, store: store.address };
        let mut node = Node::new(program, &place, record).map_err(text)?;
        node.start().map_err(text)?;
        workers.push(
            Worker::start(&format!("i-{index}"), "settlements", zone, listener, node.control, record).map_err(text)?,
        );
        nodes.push(node);
    }
    for node in &nodes {
        node.wait_until_ready(10_000)?;
    }
    thread::sleep(Duration::from_millis(4_000));
    // Clients on the machine of the first node.
    let traffic_ms = record.ms();
    let stop_ms = traffic_ms + 6_000;
    let end_ms = stop_ms + GRACE_MS;
    let caller = nodes[0].caller;
    let mut clients = Vec::new();
    let mut has_stopped = false;
    let mut next_check_ms = traffic_ms;
    for index in 0_u64.. {
        let now = record.ms();
        if now >= end_ms {
            break;
        }
        if trouble && !has_stopped && now >= stop_ms {
            nodes[0].terminate();
            has_stopped = true;
        }
        if now >= next_check_ms {
            next_check_ms += 1_000;
            nodes[0].check_ready();
        }
        // A node with two misses gets no new work, unless fewer than half of the nodes of its zone are in. This node is the
        // only one of its zone.
        let zone_nodes = 1;
        let zone_nodes_in = usize::from(nodes[0].is_in());
        if !nodes[0].is_in() && zone_nodes_in * 2 >= zone_nodes {
            thread::sleep(Duration::from_millis(SEND_INTERVAL_MS));
            continue;
        }
        let request = Request {
            id: format!("d{index}"),
            method: "GET",
            path: format!("/files/{index}?{WORK}"),
            key: "6wsjnbanfqasnmgkcuyj",
            deadline_ms: DEADLINE_MS,
        };
        let record = record.clone();
        clients.push(thread::spawn(move || send(caller, &request, &record)));
        thread::sleep(Duration::from_millis(SEND_INTERVAL_MS).saturating_sub(Duration::from_millis(record_lag(now, traffic_ms, index))));
    }
    let sent: Vec<Sent> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    // The workers notice a cut with their next write.
    thread::sleep(Duration::from_millis(1_000));
    if sent.iter().filter(|sent| sent.answer == Answer::Whole(200)).count() < 20 {
        return Err("too few requests were answered".to_owned());
    }
    Ok(judge(&sent, &workers, stop_ms, record))
}

/// Returns how far the sending of request `index` is behind its time.
fn record_lag(now: u64, traffic_ms: u64, index: u64) -> u64 {
    now.saturating_sub(traffic_ms + index * SEND_INTERVAL_MS).min(SEND_INTERVAL_MS)
}

/// LOST: a request that was passed on to a worker, and whose connection ends without a complete answer. It does not count
/// if the worker broke off, if the deadline was reached, or if the worker was still at work in the last sixth of the grace
/// period on a request that was sent no later than 3 s after the SIGTERM.
fn judge(sent: &[Sent], workers: &[Arc<Worker>], stop_ms: u64, record: &Record) -> bool {
    let runs: Vec<_> = workers.iter().flat_map(|worker| worker.runs()).collect();
    let whole = sent.iter().filter(|sent| sent.answer == Answer::Whole(200)).count();
    let refused = sent.iter().filter(|sent| matches!(sent.answer, Answer::Whole(status) if status != 200)).count();
    let not_connected = sent.iter().filter(|sent| sent.answer == Answer::NotConnected).count();
    record.line(&format!(
        "{} requests: {whole} answered whole, {refused} with another status, {not_connected} not connected",
        sent.len()
    ));
    let mut lost = 0;
    let mut excused = 0;
    for sent in sent.iter().filter(|sent| sent.answer == Answer::Cut) {
        let Some(run) = runs.iter().find(|run| run.request_id == sent.request_id) else { continue };
        let after_ms = sent.sent_ms.saturating_sub(stop_ms);
        let last_sixth_ms = stop_ms + GRACE_MS - GRACE_MS / 6;
        let at_work_late = run.ended_ms >= last_sixth_ms || run.end == RunEnd::AtWork;
        let broke_off = run.end == RunEnd::Exited;
        if broke_off || (after_ms <= 3_000 && at_work_late) {
            excused += 1;
            continue;
        }
        lost += 1;
        record.line(&format!(
            "LOST: {} was sent {after_ms} ms after the SIGTERM, reached its worker, and its connection ended {} ms after the SIGTERM without a complete answer",
            sent.request_id,
            sent.answered_ms.saturating_sub(stop_ms)
        ));
    }
    record.line(&format!("{lost} lost, {excused} cut within the excuse"));
    lost == 0
}
