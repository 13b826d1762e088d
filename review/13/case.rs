//! Two machines are stopped in turn. The first one ends 1.3 s before its time, in the middle of calls of the second one.

#[path = "../standin-3/common.rs"]
mod common;

use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Work of most requests, and of the few long ones on the same route.
const USUAL_MS: u64 = 100;
const LONG_MS: u64 = 3_600;
const DEADLINE_MS: u64 = 6_000;
/// Time from the SIGTERM of the first machine to the requests, and to the SIGTERM of the second one, which takes them.
const SENT_MS: u64 = 1_250;
const GAP_MS: u64 = 1_300;
/// Times after the SIGTERM of the second machine: the last sixth of `grace_s`, and the end of what is judged.
const LAST_SIXTH_MS: u64 = 5_000;
const WATCHED_MS: u64 = 7_000;

fn main() {
    let recorder = Recorder::start();
    let folder = temporary_folder("13");
    let store = Store::start(&recorder);
    let routes = r#"[{"name":"pledge","host":"desk.example","prefix":"/pledge/","kind":"unsafe","service":"desk","attempts":2,"timeout_ms":6000,"slo_ms":2000,"priority":0}]"#;
    let services = r#"[{"name":"desk","health_path":"/healthz","max_conns":100},{"name":"front","health_path":"/healthz","max_conns":100}]"#;
    store.write_operator("config", &config(1, routes, services, None));
    let front = Worker::start(&recorder, "i-front", "front", "zone-a", 10, |worker, request, stream| {
        worker.answer(request, stream, 200, b"whole")
    });
    let desk = Worker::start(&recorder, "i-desk", "desk", "zone-b", 20, |worker, request, stream| {
        sleep_ms(if request.path().ends_with("long") { LONG_MS } else { USUAL_MS });
        worker.answer(request, stream, 200, b"whole")
    });
    let node = |name: &str, zone: &str, worker: &Worker| {
        Arc::new(Node::new(&recorder, &folder, name, zone, &worker.service, worker.address, store.address))
    };
    let (node_a, node_b) = (node("node-a", "zone-a", &front), node("node-b", "zone-b", &desk));
    let all = [node_a.as_ref(), node_b.as_ref()];
    for (node, worker) in all.iter().zip([&front, &desk]) {
        node.start(true);
        worker.announce(node.control);
    }
    all.iter().for_each(|node| node.wait_until_ready());
    let request = |path: &str, id: &str| request_bytes("POST", path, "desk.example", id, DEADLINE_MS, None, b"pledge");
    let send = |path: String, id: String| {
        let (recorder, address, bytes) = (recorder.clone(), node_a.outbound, request(&path, &id));
        thread::spawn(move || {
            let answer = ask(address, &bytes).map(|answer| answer.status());
            recorder.write(&format!("{id}: {answer:?}"));
            (id, answer, Instant::now())
        })
    };
    let is_warm = |attempt: u32| {
        sleep_ms(100);
        let _ = ask(node_a.outbound, &request("/pledge/first", &format!("first-{attempt}")));
        !desk.runs().is_empty()
    };
    if !(0..80).any(is_warm) {
        end(&recorder, &all, NOT_RUN, "the worker got no request before the stop");
    }
    // Long requests are known: eight of them, and then 60 of the usual ones.
    let earlier: Vec<_> = (0..8).map(|number| send(format!("/pledge/e{number}/long"), format!("earlier-long-{number}"))).collect();
    let mut served = earlier.into_iter().filter_map(|thread| thread.join().ok()).filter(|(_, answer, _)| *answer == Ok(200)).count();
    for number in 0..60 {
        let answer = ask(node_a.outbound, &request(&format!("/pledge/u{number}"), &format!("earlier-{number}")));
        served += usize::from(answer.is_ok_and(|answer| answer.status() == 200));
    }
    if served < 68 {
        end(&recorder, &all, NOT_RUN, "requests fail before the stop");
    }
    let stopped_b = Instant::now();
    if has_trouble() {
        node_b.signal(SIGTERM);
    }
    thread::sleep(Duration::from_millis(SENT_MS).saturating_sub(stopped_b.elapsed()));
    let long: Vec<_> = (0..12).map(|number| send(format!("/pledge/l{number}/long"), format!("long-{number}"))).collect();
    thread::sleep(Duration::from_millis(GAP_MS).saturating_sub(stopped_b.elapsed()));
    let stopped_a = Instant::now();
    if has_trouble() {
        node_a.signal(SIGTERM);
    }
    let long: Vec<_> = long.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let (mut lost, mut failed) = (0, 0);
    for (id, answer, ended) in &long {
        let ended_ms = ended.saturating_duration_since(stopped_a).as_millis() as u64;
        let ran = desk.has_run(id);
        recorder.write(&format!("{id}: ran: {ran}, ended {ended_ms} ms after the SIGTERM of node-a: {answer:?}"));
        failed += u32::from(*answer != Ok(200));
        // A run that started before the SIGTERM of node-a ends before the last sixth of its grace period.
        let is_excused = SENT_MS + LONG_MS >= GAP_MS + LAST_SIXTH_MS;
        lost += u32::from(ran && *answer != Ok(200) && ended_ms <= WATCHED_MS && !is_excused);
    }
    all.iter().for_each(|node| node.record_log(&["stopping", "stopped"]));
    if !has_trouble() {
        end(&recorder, &all, if failed > 0 { BROKEN } else { HELD }, &format!("{failed} of {} requests failed without a stop", long.len()));
    }
    let reason = format!("{lost} of {} requests were broken off while their worker was at work", long.len());
    end(&recorder, &all, if lost > 0 { BROKEN } else { HELD }, &reason);
}
