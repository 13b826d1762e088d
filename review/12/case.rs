//! A planned stop. A large response that begins late in the grace period is cut off.

#[path = "../standin-3/common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Size of the response to a download, and the time that the worker takes to send it.
const FILE_BYTES: usize = 3_000_000;
const FILE_MS: u64 = 3_000;
/// Time from the SIGTERM to the download. The rule excuses what was sent up to 3 s after it.
const SENT_MS: u64 = 3_200;
/// Work of the request that the worker beside the stopping node runs meanwhile.
const VIEW_MS: u64 = 4_300;
/// The rule holds until 1 s after `grace_s`.
const WATCHED_MS: u64 = 7_000;

fn main() {
    let recorder = Recorder::start();
    let folder = temporary_folder("12");
    let store = Store::start(&recorder);
    let routes = r#"[
        {"name":"view","host":"desk.example","prefix":"/view/","kind":"safe","service":"desk","attempts":2,"timeout_ms":8000,"slo_ms":1500,"priority":1},
        {"name":"file","host":"desk.example","prefix":"/file/","kind":"download","service":"files","attempts":2,"timeout_ms":8000,"slo_ms":1500,"priority":1}]"#;
    let services = r#"[{"name":"desk","health_path":"/healthz","max_conns":100},{"name":"files","health_path":"/healthz","max_conns":100}]"#;
    store.write_operator("config", &config(1, routes, services, None));
    let desk = Worker::start(&recorder, "i-desk", "desk", "zone-a", 10, |worker, request, stream| {
        sleep_ms(if request.path().ends_with("long") { VIEW_MS } else { 50 });
        worker.answer(request, stream, 200, b"whole")
    });
    let files = Worker::start(&recorder, "i-files", "files", "zone-b", 40, |worker, request, stream| {
        let id = request.header("request-id").unwrap_or_default();
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: stamp-{id}\r\nContent-Length: {FILE_BYTES}\r\n\r\n");
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        const PIECES: usize = 60;
        for _ in 0..PIECES {
            if stream.write_all(&[b'f'; FILE_BYTES / PIECES]).is_err() {
                return false;
            }
            sleep_ms(FILE_MS / PIECES as u64);
        }
        true
    });
    // Each zone has one machine.
    let node_a = Node::new(&recorder, &folder, "node-a", "zone-a", "desk", desk.address, store.address);
    let node_b = Node::new(&recorder, &folder, "node-b", "zone-b", "files", files.address, store.address);
    let (node_a, node_b) = (Arc::new(node_a), Arc::new(node_b));
    let all = [node_a.as_ref(), node_b.as_ref()];
    for (node, worker) in all.iter().zip([&desk, &files]) {
        node.start(true);
        worker.announce(node.control);
    }
    all.iter().for_each(|node| node.wait_until_ready());
    let file = |id: &str| request_bytes("GET", "/file/1", "desk.example", id, 8_000, None, b"");
    let is_whole = |answer: &Result<Message, String>| {
        answer.as_ref().is_ok_and(|answer| answer.status() == 200 && answer.body.len() == FILE_BYTES)
    };
    for path in ["/view/1", "/file/1"] {
        let served = (0..60).any(|attempt| {
            sleep_ms(100);
            let bytes = request_bytes("GET", path, "desk.example", &format!("first-{attempt}{}", path.replace('/', "-")), 8_000, None, b"");
            ask(node_a.outbound, &bytes).is_ok_and(|answer| answer.status() == 200)
        });
        if !served {
            end(&recorder, &all, NOT_RUN, "nothing is served before the stop");
        }
    }
    // The node has seen how long these downloads take.
    let earlier: Vec<_> = (0..5)
        .map(|number| {
            let (bytes, address) = (file(&format!("earlier-{number}")), node_a.outbound);
            thread::spawn(move || ask(address, &bytes))
        })
        .collect();
    let whole = earlier.into_iter().filter(|_| true).map(|thread| thread.join()).filter(|answer| answer.as_ref().is_ok_and(is_whole)).count();
    recorder.write(&format!("{whole} of 5 downloads before the stop are whole"));
    if whole < 5 {
        end(&recorder, &all, NOT_RUN, "downloads fail before the stop");
    }
    // A request that the worker beside the node runs through most of the grace period.
    let long = {
        let (recorder, address) = (recorder.clone(), node_a.outbound);
        thread::spawn(move || {
            let answer = ask(address, &request_bytes("GET", "/view/long", "desk.example", "long", 8_000, None, b""));
            recorder.write(&format!("long is answered {:?}", answer.map(|answer| answer.status())));
        })
    };
    // The client's connection is open before the stop.
    let Ok(mut client) = Connection::open(node_a.outbound) else { end(&recorder, &all, NOT_RUN, "no connection") };
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
    thread::sleep(Duration::from_millis(SENT_MS).saturating_sub(stopped.elapsed()));
    let sent_ms = stopped.elapsed().as_millis();
    let answer = client.send(&file("late")).and_then(|()| client.read_head());
    let sent = format!("late was sent {sent_ms} ms after the SIGTERM, read: {:?}", answer.as_ref().map(|head| head.status()));
    recorder.write(&sent);
    let mut received = 0;
    let outcome = match answer {
        Ok(mut head) => {
            let length: usize = head.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            let mut buffer = [0; 65_536];
            while received < length {
                match std::io::Read::read(client.reader(), &mut buffer) {
                    Ok(0) | Err(_) => break,
                    Ok(read) => received += read,
                }
            }
            let complete = received == length;
            head.body.clear();
            (Some(head.status()), complete)
        }
        Err(_) => (None, false),
    };
    let ended_ms = stopped.elapsed().as_millis() as u64;
    recorder.write(&format!("late: status {:?}, {received} bytes, complete: {}, ended {ended_ms} ms after the SIGTERM", outcome.0, outcome.1));
    let _ = long.join();
    asking.store(false, Ordering::Relaxed);
    let _ = platform.join();
    let ran = files.has_run("late");
    node_a.record_log(&["stopping", "stopped"]);
    let broken = ran && !outcome.1 && ended_ms <= WATCHED_MS && has_trouble();
    let reason = match (broken, ran, outcome.1) {
        (true, ..) => "a request that was passed on to a worker ended without a complete answer",
        (false, false, _) => "the request was not passed on",
        _ => "the request was answered",
    };
    if !has_trouble() && !outcome.1 {
        end(&recorder, &all, BROKEN, "the download failed without a stop");
    }
    end(&recorder, &all, if broken { BROKEN } else { HELD }, reason);
}
