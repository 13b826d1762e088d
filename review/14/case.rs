//! A planned stop. Uploads that begin late in the grace period are run, and their answers are cut off.

#[path = "../standin-3/common.rs"]
mod common;

use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Size of an upload, the time that a slow client takes to send it, and its deadline.
const UPLOAD_BYTES: usize = 300_000;
const SENDING_MS: u64 = 1_600;
const DEADLINE_MS: u64 = 3_000;
/// Work of each upload, before the stop and in it.
const WORK_MS: u64 = 1_200;
/// Time from the SIGTERM to the first byte of the last uploads. The rule excuses what was sent up to 3 s after it.
const SENT_MS: u64 = 3_100;
/// Work of the request that the worker beside the stopping node runs meanwhile, and the time from the SIGTERM to it.
const VIEW_MS: u64 = 2_000;
const VIEW_SENT_MS: u64 = 1_300;
/// The rule holds until 1 s after `grace_s`.
const WATCHED_MS: u64 = 7_000;

fn main() {
    let recorder = Recorder::start();
    let folder = temporary_folder("14");
    let store = Store::start(&recorder);
    let routes = r#"[
        {"name":"view","host":"desk.example","prefix":"/view/","kind":"safe","service":"desk","attempts":2,"timeout_ms":6000,"slo_ms":1500,"priority":1},
        {"name":"photo","host":"desk.example","prefix":"/photo/","kind":"upload","service":"photos","attempts":2,"slo_ms":800,"priority":1}]"#;
    let services = r#"[{"name":"desk","health_path":"/healthz","max_conns":100},{"name":"photos","health_path":"/healthz","max_conns":100}]"#;
    store.write_operator("config", &config(1, routes, services, None));
    let desk = Worker::start(&recorder, "i-desk", "desk", "zone-a", 10, |worker, request, stream| {
        sleep_ms(if request.path().ends_with("long") { VIEW_MS } else { 50 });
        worker.answer(request, stream, 200, b"whole")
    });
    let photos = Worker::start(&recorder, "i-photos", "photos", "zone-b", 40, |worker, request, stream| {
        sleep_ms(WORK_MS);
        worker.answer(request, stream, 200, b"whole")
    });
    // Each zone has one machine.
    let node_a = Arc::new(Node::new(&recorder, &folder, "node-a", "zone-a", "desk", desk.address, store.address));
    let node_b = Arc::new(Node::new(&recorder, &folder, "node-b", "zone-b", "photos", photos.address, store.address));
    let all = [node_a.as_ref(), node_b.as_ref()];
    for (node, worker) in all.iter().zip([&desk, &photos]) {
        node.start(true);
        worker.announce(node.control);
    }
    all.iter().for_each(|node| node.wait_until_ready());
    let view = |path: &str, id: &str| request_bytes("GET", path, "desk.example", id, 6_000, None, b"");
    let upload = |path: &str, id: &str| request_bytes("POST", path, "desk.example", id, DEADLINE_MS, None, &[b'p'; UPLOAD_BYTES]);
    let is_ok = |answer: Result<Message, String>| answer.is_ok_and(|answer| answer.status() == 200);
    for path in ["/view/1", "/photo/1"] {
        let served = (0..60).any(|attempt| {
            sleep_ms(100);
            let id = format!("first-{attempt}{}", path.replace('/', "-"));
            is_ok(ask(node_a.outbound, &if path.starts_with("/view") { view(path, &id) } else { upload(path, &id) }))
        });
        if !served {
            end(&recorder, &all, NOT_RUN, "nothing is served before the stop");
        }
    }
    for number in 0..4 {
        if !is_ok(ask(node_a.outbound, &upload(&format!("/photo/{number}"), &format!("earlier-{number}")))) {
            end(&recorder, &all, NOT_RUN, "uploads fail before the stop");
        }
    }
    sleep_ms(300);
    let stopped = Instant::now();
    if has_trouble() {
        node_a.signal(SIGTERM);
    }
    // The platform asks once a second. The zone has no other machine, so that the clients stay.
    let asking = Arc::new(AtomicBool::new(true));
    let platform = {
        let (node, recorder, asking) = (Arc::clone(&node_a), recorder.clone(), Arc::clone(&asking));
        thread::spawn(move || {
            while asking.load(Ordering::Relaxed) {
                recorder.write(&format!("readyz of node-a: {}", if node.is_ready() { 200 } else { 503 }));
                sleep_ms(1_000);
            }
        })
    };
    thread::sleep(Duration::from_millis(VIEW_SENT_MS).saturating_sub(stopped.elapsed()));
    // A request that the worker beside the node is at work on when the uploads begin, so that the node still takes requests.
    let long = {
        let (recorder, address, bytes) = (recorder.clone(), node_a.outbound, view("/view/long", "long"));
        thread::spawn(move || {
            let answer = ask(address, &bytes);
            recorder.write(&format!("long is answered {:?}", answer.map(|answer| answer.status())));
        })
    };
    thread::sleep(Duration::from_millis(SENT_MS).saturating_sub(stopped.elapsed()));
    let late: Vec<_> = (0..3)
        .map(|number| {
            let (recorder, address) = (recorder.clone(), node_a.outbound);
            let (id, bytes) = (format!("late-{number}"), upload(&format!("/photo/{number}/late"), &format!("late-{number}")));
            thread::spawn(move || {
                const PIECES: usize = 10;
                let first_ms = stopped.elapsed().as_millis();
                let sent = Connection::open(address).and_then(|mut connection| {
                    for piece in bytes.chunks(bytes.len().div_ceil(PIECES)) {
                        connection.send(piece)?;
                        sleep_ms(SENDING_MS / PIECES as u64);
                    }
                    Ok(connection)
                });
                let last_ms = stopped.elapsed().as_millis();
                let answer = sent.and_then(|mut connection| connection.read_response()).map(|answer| answer.status());
                let ended_ms = stopped.elapsed().as_millis() as u64;
                recorder.write(&format!("{id}: sent {first_ms} to {last_ms} ms after the SIGTERM, ended at {ended_ms} ms: {answer:?}"));
                (id, answer.ok(), ended_ms)
            })
        })
        .collect();
    let late: Vec<_> = late.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let _ = long.join();
    asking.store(false, Ordering::Relaxed);
    let _ = platform.join();
    node_a.record_log(&["stopping", "stopped"]);
    let lost = late.iter().filter(|(id, answer, ended_ms)| answer.is_none() && *ended_ms <= WATCHED_MS && photos.has_run(id)).count();
    let failed = late.iter().filter(|(_, answer, _)| *answer != Some(200)).count();
    if !has_trouble() {
        end(&recorder, &all, if failed > 0 { BROKEN } else { HELD }, &format!("{failed} of {} uploads failed without a stop", late.len()));
    }
    let reason = format!("{lost} of {} uploads that were sent later than 3 s after the SIGTERM ran and got no answer", late.len());
    end(&recorder, &all, if lost > 0 { BROKEN } else { HELD }, &reason);
}
