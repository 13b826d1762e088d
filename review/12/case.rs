//! A planned stop. Requests that wait for a slot beside another node end without an answer.

#[path = "../standin-3/common.rs"]
mod common;

use common::*;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SLOTS: u64 = 4;
/// Long requests: those that run at once, and as many that wait behind them.
const REPORTS: u64 = 6;
/// Work of the usual requests, and of the long ones.
const PLEDGE_MS: u64 = 100;
const REPORT_MS: u64 = 2_900;
/// Deadline and timeout of all requests.
const DEADLINE_MS: u64 = 6_000;
/// Time from the requests that wait to the SIGTERM.
const STOP_AFTER_MS: u64 = 40;
/// `loss_slack_ms` of the deployments.
const LOSS_SLACK_MS: u64 = 200;
/// The rule holds until 1 s after `grace_s`.
const WATCHED_MS: u64 = 7_000;

fn main() {
    let recorder = Recorder::start();
    let folder = temporary_folder("12");
    let store = Store::start(&recorder);
    let routes = r#"[
        {"name":"pledge","host":"desk.example","prefix":"/pledge/","kind":"unsafe","service":"desk","attempts":2,"timeout_ms":6000,"slo_ms":1500,"priority":1},
        {"name":"report","host":"desk.example","prefix":"/report/","kind":"safe","service":"desk","attempts":2,"timeout_ms":6000,"slo_ms":2000,"priority":1}]"#;
    let services = r#"[{"name":"desk","health_path":"/healthz","max_conns":100},{"name":"front","health_path":"/healthz","max_conns":100}]"#;
    store.write_operator("config", &config(1, routes, services, None));
    let front = Worker::start(&recorder, "i-front", "front", "zone-a", 10, |worker, request, stream| {
        worker.answer(request, stream, 200, b"whole")
    });
    let desk = Worker::start(&recorder, "i-desk", "desk", "zone-b", SLOTS, |worker, request, stream| {
        sleep_ms(if request.path().starts_with("/report/") { REPORT_MS } else { PLEDGE_MS });
        worker.answer(request, stream, 200, b"whole")
    });
    let node_a = Arc::new(Node::new(&recorder, &folder, "node-a", "zone-a", "front", front.address, store.address));
    let node_b = Arc::new(Node::new(&recorder, &folder, "node-b", "zone-b", "desk", desk.address, store.address));
    let all = [node_a.as_ref(), node_b.as_ref()];
    for (node, worker) in all.iter().zip([&front, &desk]) {
        node.start(true);
        worker.announce(node.control);
    }
    all.iter().for_each(|node| node.wait_until_ready());
    let request = |path: &str, id: &str| {
        let (method, body) = if path.starts_with("/report/") { ("GET", &b""[..]) } else { ("POST", &b"pledge"[..]) };
        request_bytes(method, path, "desk.example", id, DEADLINE_MS, None, body)
    };
    let is_ok = |answer: Result<Message, String>| answer.is_ok_and(|answer| answer.status() == 200);
    if !(0..60).any(|attempt| {
        sleep_ms(100);
        is_ok(ask(node_a.outbound, &request("/pledge/first", &format!("first-{attempt}"))))
    }) {
        end(&recorder, &all, NOT_RUN, "nothing is served before the stop");
    }
    for number in 0..20 {
        if !is_ok(ask(node_a.outbound, &request(&format!("/pledge/{number}"), &format!("earlier-{number}")))) {
            end(&recorder, &all, NOT_RUN, "requests fail before the stop");
        }
    }
    sleep_ms(1_500);
    // Long requests take the three slots that are in use, twice; their clients are on the worker's own machine.
    let send = |address, path: String, id: String| {
        let (recorder, bytes) = (recorder.clone(), request(&path, &id));
        thread::spawn(move || {
            let sent = Instant::now();
            let answer = ask(address, &bytes);
            let took_ms = sent.elapsed().as_millis() as u64;
            let text = match &answer {
                Ok(answer) => format!("status {}", answer.status()),
                Err(error) => format!("no answer ({error})"),
            };
            recorder.write(&format!("{id}: {text} after {took_ms} ms"));
            (id, answer.map(|answer| answer.status()), sent + Duration::from_millis(took_ms), took_ms)
        })
    };
    let long: Vec<_> = (0..REPORTS).map(|number| send(node_b.outbound, format!("/report/{number}"), format!("long-{number}"))).collect();
    sleep_ms(60);
    let waiting: Vec<_> = (0..3).map(|number| send(node_a.outbound, format!("/pledge/w{number}"), format!("waiting-{number}"))).collect();
    sleep_ms(STOP_AFTER_MS);
    let stopped = Instant::now();
    if has_trouble() {
        node_a.signal(SIGTERM);
    }
    let answers: Vec<_> = waiting.into_iter().filter_map(|thread| thread.join().ok()).collect();
    for thread in long {
        let _ = thread.join();
    }
    let mut lost = 0;
    let mut failed = 0;
    for (id, answer, ended, took_ms) in &answers {
        let ended_ms = ended.saturating_duration_since(stopped).as_millis() as u64;
        let ran = desk.has_run(id);
        recorder.write(&format!("{id}: ended {ended_ms} ms after the SIGTERM, ran: {ran}"));
        lost += u32::from(answer.is_err() && *took_ms > LOSS_SLACK_MS && *took_ms < DEADLINE_MS && ended_ms <= WATCHED_MS && !ran);
        failed += u32::from(*answer != Ok(200));
    }
    node_a.record_log(&["stopping", "stopped"]);
    if !has_trouble() {
        end(&recorder, &all, if failed > 0 { BROKEN } else { HELD }, &format!("{failed} of {} requests failed without a stop", answers.len()));
    }
    let reason = format!("{lost} of {} requests that were read before the SIGTERM ended without an answer", answers.len());
    end(&recorder, &all, if lost > 0 { BROKEN } else { HELD }, &reason);
}
