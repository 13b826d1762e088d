//! The scenarios.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{Connection, exchange, request};
use crate::fleet::{Fleet, Machine};
use crate::http::Message;
use crate::store;
use crate::worker::{Answer, Run, beat_body, beat_request, unix_ms};

/// Bounds of the rules in these scenarios, as in the settings of the small deployments.
const STABILITY_WINDOW_MS: u64 = 3_000;
const DRAIN_MS: u64 = 2_000;
const REVOKE_MS: u64 = 5_000;

/// Requests that a machine may lose from kept connections.
const MAX_LOST: usize = 3;

/// Runs a scenario. Returns whether the rule held, or `None` if there is no such scenario.
pub fn run(case: &str, folder: &str, trouble: bool) -> Option<bool> {
    match case {
        "late-refusal" => Some(late_refusal(folder, trouble)),
        "long-body" => Some(long_body(folder, trouble)),
        "last-key" => Some(last_key(folder, trouble)),
        "foreign-beat" => Some(foreign_beat(folder, trouble)),
        "left-worker" => Some(left_worker(folder, trouble)),
        "cut-pipeline" => Some(cut_pipeline(folder, trouble)),
        _ => None,
    }
}

/// Returns a configuration with a route for small responses, one for large ones and one whose requests run at most once.
fn config(version: u32, public: bool, tenants: &str) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","host":"trips.example","prefix":"/{name}/","kind":"{kind}","timeout_ms":5000,"slo_ms":1500,"priority":1,"service":"trips","attempts":2,"public":{public}}}"#
        )
    };
    let service = |name: &str| {
        format!(r#"{{"name":"{name}","health_path":"/healthz","max_conns":340,"protocol":"h1","tls":false}}"#)
    };
    format!(
        r#"{{"version":"{version:08x}","routes":[{},{},{}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{tenants}]}}"#,
        route("view", "safe"),
        route("list", "download"),
        route("book", "unsafe"),
        service("front"),
        service("trips"),
    )
}

/// Waits until all machines have been in touch for a while.
fn settle() {
    std::thread::sleep(Duration::from_millis(STABILITY_WINDOW_MS + 500));
}

fn status(response: &Option<Message>) -> String {
    match response {
        Some(response) if response.complete => response.status().to_string(),
        Some(response) => format!("{} cut", response.status()),
        None => "no answer".to_owned(),
    }
}

/// Returns the runs of a worker so far.
fn runs(machine: &Machine) -> Vec<Run> {
    machine.worker.runs.lock().expect("not poisoned").clone()
}

/// Clients send requests that may run once. One worker lets a few of its answers be followed by bytes that belong to no
/// request, late: where the next response on the connection is expected.
fn late_refusal(folder: &str, trouble: bool) -> bool {
    /// One in this many answers of worker 1 is spoilt: the share of 0.02.
    const SPOIL_EVERY: usize = 50;
    let answers = Arc::new(AtomicUsize::new(0));
    let fleet = Fleet::start(folder, &config(1, true, ""), &["front", "trips", "trips"], move |index, _| {
        let number = if index == 1 { answers.fetch_add(1, Ordering::Relaxed) } else { 0 };
        Answer { work_ms: 20, late_refusal: trouble && number % SPOIL_EVERY == SPOIL_EVERY - 1, ..Answer::quick() }
    });
    settle();
    std::thread::scope(|scope| {
        for client in 0..6 {
            let fleet = &fleet;
            scope.spawn(move || {
                for number in 0..150 {
                    let id = format!("book-{client}-{number}");
                    let bytes = request("POST", "/book/1", &id, 3_000, "", b"one cabin");
                    let response = exchange(fleet.machines[0].caller, &bytes);
                    fleet.note(&format!("sent {id}: {}", status(&response)));
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
    let mut all: Vec<(String, String)> = Vec::new();
    for machine in &fleet.machines {
        all.extend(runs(machine).into_iter().map(|run| (run.id, machine.worker.instance.clone())));
    }
    all.sort();
    let mut twice = 0;
    for pair in all.windows(2).filter(|pair| pair[0].0 == pair[1].0) {
        fleet.note(&format!("{} ran at {} and at {}", pair[0].0, pair[0].1, pair[1].1));
        twice += 1;
    }
    fleet.note(&format!("TWICE: {twice} of {} unsafe requests ran more than once", all.len() - twice));
    twice == 0
}

/// Safe requests with a body. It is longer than 64 KiB with the disruption, and shorter without.
fn long_body(folder: &str, trouble: bool) -> bool {
    let fleet = Fleet::start(folder, &config(1, true, ""), &["front", "trips", "trips"], |_, _| Answer::quick());
    settle();
    let body = vec![b'q'; if trouble { 100_000 } else { 60_000 }];
    for number in 0..30 {
        let id = format!("search-{number}");
        let response = exchange(fleet.machines[0].caller, &request("GET", "/view/1", &id, 3_000, "", &body));
        fleet.note(&format!("sent {id}, GET /view/1 with {} bytes: {}", body.len(), status(&response)));
    }
    let mut changed = 0;
    for machine in &fleet.machines {
        for run in runs(machine) {
            fleet.note(&format!(
                "{} ran {}, {} {} with {} bytes",
                machine.worker.instance, run.id, run.method, run.path, run.body_bytes
            ));
            changed += usize::from(run.body_bytes != body.len());
        }
    }
    fleet.note(&format!("UNASKED: {changed} runs with another body than the client sent"));
    changed == 0
}

/// The only tenant is taken out of the configuration. Without the disruption it stays, without keys.
fn last_key(folder: &str, trouble: bool) -> bool {
    let tenant =
        |keys: &str| format!(r#"{{"name":"agency","api_keys":[{keys}],"priority":1,"rate_per_s":1000,"burst":1000}}"#);
    let first = config(1, false, &tenant(r#""key-one""#));
    let fleet = Fleet::start(folder, &first, &["front", "trips", "trips"], |_, _| Answer::quick());
    settle();
    let send = |name: &str, number: usize, key: &str| {
        let id = format!("{name}-{number}");
        let from = number % fleet.machines.len();
        let response = exchange(fleet.machines[from].caller, &request("GET", "/view/1", &id, 3_000, key, b""));
        fleet.note(&format!("sent {id} at machine {from} with key {key:?}: {}", status(&response)));
        std::thread::sleep(Duration::from_millis(20));
    };
    (0..15).for_each(|number| send("before", number, "key-one"));
    let left = if trouble { String::new() } else { tenant("") };
    store::write(fleet.store, "keyed.op", "config", &config(2, false, &left));
    fleet.note(&format!("the store has acknowledged version 2 with tenants [{left}]"));
    std::thread::sleep(Duration::from_millis(REVOKE_MS + 1_000));
    (0..60).for_each(|number| send("revoked", number, "key-one"));
    (0..15).for_each(|number| send("unknown", number, "key-never"));
    let mut late = 0;
    for machine in &fleet.machines {
        for run in runs(machine) {
            fleet.note(&format!("{} ran {}", machine.worker.instance, run.id));
            late += usize::from(!run.id.starts_with("before"));
        }
    }
    fleet.note(&format!(
        "CONFIG: {late} runs of requests whose key was taken away over {REVOKE_MS} ms before they were sent"
    ));
    late == 0
}

/// A heartbeat of another writer, with a service that is named nowhere, arrives once.
fn foreign_beat(folder: &str, trouble: bool) -> bool {
    let fleet = Fleet::start(folder, &config(1, true, ""), &["front", "trips", "trips"], |_, _| Answer::quick());
    settle();
    let send = |name: &str, count: usize| {
        for number in 0..count {
            let id = format!("{name}-{number}");
            let response = exchange(fleet.machines[0].caller, &request("GET", "/view/1", &id, 3_000, "", b""));
            fleet.note(&format!("sent {id} at machine 0: {}", status(&response)));
            std::thread::sleep(Duration::from_millis(40));
        }
    };
    send("before", 25);
    if trouble {
        let body = beat_body("warehouse", "127.0.0.1:9", unix_ms(), 1);
        let response = exchange(fleet.machines[0].control, &beat_request("i-77e0", &body));
        fleet.note(&format!("heartbeat of another writer at machine 0: {body}: {}", status(&response)));
    }
    // Meanwhile the worker says three times more what it is.
    std::thread::sleep(Duration::from_secs(5));
    send("after", 100);
    let mut wrong = 0;
    for machine in &fleet.machines {
        for run in runs(machine) {
            fleet.note(&format!(
                "{} ran {} with Caller-Service {}",
                machine.worker.instance, run.id, run.caller_service
            ));
            wrong += usize::from(run.caller_service != fleet.machines[0].service);
        }
    }
    fleet.note(&format!("UNASKED: {wrong} runs whose Caller-Service is not the service of machine 0"));
    wrong == 0
}

/// A worker leaves; then the node beside it is killed and starts again. A heartbeat from before arrives late. Some seconds
/// later the worker exits, as those that have left do.
fn left_worker(folder: &str, trouble: bool) -> bool {
    let mut fleet = Fleet::start(folder, &config(1, true, ""), &["front", "trips", "trips"], |_, _| Answer {
        work_ms: 100,
        ..Answer::quick()
    });
    settle();
    let worker = Arc::clone(&fleet.machines[1].worker);
    let callers: Vec<_> = fleet.machines.iter().map(|machine| machine.caller).collect();
    let ended = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = (0..12)
        .map(|client| {
            let from = client % callers.len();
            let (ended, sent, caller) = (Arc::clone(&ended), Arc::clone(&sent), callers[from]);
            std::thread::spawn(move || {
                for number in 0.. {
                    if ended.load(Ordering::Relaxed) {
                        return;
                    }
                    let (id, at) = (format!("book-{client}-{number}"), Instant::now());
                    let response = exchange(caller, &request("POST", "/book/1", &id, 3_000, "", b"one cabin"));
                    sent.lock().expect("not poisoned").push(Sent { id, from, at, status: status(&response) });
                    std::thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    worker.beats.store(false, Ordering::Relaxed);
    let late_beat = worker.next_beat();
    let answer = worker.deregister();
    assert_eq!(answer, 200, "the node acknowledges that the worker leaves");
    let left_at = Instant::now();
    fleet.note("machine 1 has acknowledged that its worker is gone; the worker goes on to serve");
    if trouble {
        std::thread::sleep(Duration::from_millis(500));
        fleet.signal(1, "KILL");
        fleet.start_again(1);
        fleet.note("the node of machine 1 was killed and started again");
    }
    let in_touch_at = Instant::now() + Duration::from_millis(STABILITY_WINDOW_MS + 500);
    std::thread::sleep(Duration::from_millis(2_000));
    let answer = exchange(worker.control, &late_beat);
    fleet.note(&format!(
        "a heartbeat that the worker sent before it left arrives, {:.1} s late: {}",
        left_at.elapsed().as_secs_f64(),
        status(&answer)
    ));
    std::thread::sleep(Duration::from_secs(6));
    worker.exit();
    fleet.note("the worker that left exits");
    std::thread::sleep(Duration::from_secs(3));
    ended.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("the client ends"));
    let bound = in_touch_at.max(left_at + Duration::from_millis(DRAIN_MS));
    let (mut late, mut unanswered) = (0, 0);
    let worker_runs = runs(&fleet.machines[1]);
    for Sent { id, from, at, status } in sent.lock().expect("not poisoned").iter().filter(|sent| sent.at >= bound) {
        let run = worker_runs.iter().find(|run| run.id == *id);
        late += usize::from(run.is_some());
        unanswered += usize::from(run.is_some() && status != "200");
        let after = |at: Instant| at.duration_since(left_at).as_secs_f64();
        let ran =
            run.map_or("elsewhere".to_owned(), |run| format!("at the worker that left, at {:.3} s", after(run.at)));
        fleet.note(&format!(
            "{id} from machine {from}, sent {:.3} s after the acknowledgement: {status}, ran {ran}",
            after(*at)
        ));
    }
    fleet.note(&format!("{unanswered} of them were not answered with 200, as the worker exited"));
    fleet.note(&format!("DRAIN: {late} requests reached the worker later than {DRAIN_MS} ms after the acknowledgement, all machines in touch"));
    late == 0
}

/// A request that a client has sent.
struct Sent {
    id: String,
    from: usize,
    at: Instant,
    status: String,
}

/// Clients send two requests at once, the first for a large response. One worker breaks off a few of its answers.
fn cut_pipeline(folder: &str, trouble: bool) -> bool {
    /// One in this many answers of worker 1 is broken off: the share of 0.02.
    const CUT_EVERY: usize = 50;
    let answers = Arc::new(AtomicUsize::new(0));
    let fleet = Fleet::start(folder, &config(1, true, ""), &["front", "trips", "trips"], move |index, message| {
        if !message.path().starts_with("/list/") {
            return Answer::quick();
        }
        let is_cut = trouble && index == 1 && answers.fetch_add(1, Ordering::Relaxed) % CUT_EVERY == CUT_EVERY - 1;
        Answer { work_ms: 60, body_bytes: 200_000, cut_after: is_cut.then_some(100_000), late_refusal: false }
    });
    settle();
    let lost = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for client in 0..8 {
            let (fleet, lost) = (&fleet, &lost);
            scope.spawn(move || {
                let mut kept: Option<Connection> = None;
                for number in 0..300 {
                    let is_kept = kept.is_some();
                    let Some(mut connection) = kept.take().or_else(|| Connection::open(fleet.machines[0].caller).ok())
                    else {
                        continue;
                    };
                    let (first, second) = (format!("list-{client}-{number}"), format!("item-{client}-{number}"));
                    let mut bytes = request("GET", "/list/1", &first, 3_000, "", b"");
                    bytes.extend(request("GET", "/view/1", &second, 3_000, "", b""));
                    if connection.send(&bytes).is_err() {
                        continue;
                    }
                    let list = connection.receive();
                    let item = list.as_ref().filter(|list| list.complete).and_then(|_| connection.receive());
                    fleet.note(&format!("{first}: {}, {second}: {}", status(&list), status(&item)));
                    let ran_at = |id: &str| {
                        let ran = fleet.machines.iter().find(|machine| runs(machine).iter().any(|run| run.id == id));
                        ran.map(|machine| machine.worker.instance.clone())
                    };
                    if let (None, true) = (&item, is_kept)
                        && let Some(worker) = ran_at(&second)
                    {
                        fleet.note(&format!(
                            "{second} ran at {worker}; its kept connection was closed without an answer"
                        ));
                        lost.fetch_add(1, Ordering::Relaxed);
                    }
                    let is_open = item.is_some_and(|item| item.complete && item.header("connection") != Some("close"));
                    kept = is_open.then_some(connection);
                }
            });
        }
    });
    let lost = lost.into_inner();
    fleet.note(&format!(
        "LOST: {lost} requests from kept connections were passed on to a sound worker and not answered"
    ));
    lost <= MAX_LOST
}
