//! Added time and processor cost of a call through two nodes, beside direct calls and a plain
//! `hyper` pass-through, all in one run: `cargo bench --bench path`.
//!
//! One caller at a time gives the added time at rest; a fixed rate and saturation follow. Processor time
//! is that of the whole process (caller, nodes, target), so that the cost of two nodes is what it grows
//! by against direct calls. The aim for the added time is 0.34 ms for 99 calls in 100.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fulmartrestle_config::settings::SettingsBuilder;
use fulmartrestle_node::{Node, NodeHandle, NodeOptions};
use fulmartrestle_platform_log::{MemoryLog, PlatformLog};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpListener;

/// Calls one after the other, for the added time at rest.
const SERIAL_CALLS: usize = 4_000;

/// Calls per second of the run at a fixed rate: the brief's 300,000 calls/s over 7,100 nodes are 42 a
/// node; this is 12 times as many.
const FIXED_RATE_PER_S: u64 = 500;

/// Length of the run at a fixed rate.
const FIXED_RATE_S: u64 = 5;

/// Callers that send one call after the other at saturation.
const SATURATION_CALLERS: usize = 64;

/// Calls of each caller at saturation.
const SATURATION_CALLS: usize = 400;

/// Ticks of processor time per second in the process's statistics.
const CLOCK_TICKS_PER_S: f64 = 100.0;

type Caller = Client<HttpConnector, Full<Bytes>>;

/// One way from the caller to the target.
struct Way {
    name: &'static str,
    url: String,
    key: Option<String>,
}

/// Times of one run, in microseconds, sorted.
struct Times(Vec<u64>);

impl Times {
    fn new(mut times_us: Vec<u64>) -> Self {
        times_us.sort_unstable();
        Self(times_us)
    }

    fn at(&self, per_mille: usize) -> u64 {
        self.0.get((self.0.len() * per_mille / 1_000).min(self.0.len().saturating_sub(1))).copied().unwrap_or(0)
    }
}

#[tokio::main]
async fn main() {
    let target = serve_target().await;
    let pass_through = serve_pass_through(target).await;
    let log: Arc<dyn PlatformLog> = Arc::new(MemoryLog::new());
    let gate = start_node("bench-gate", &log).await;
    let entry = start_node("bench-entry", &log).await;
    announce(&gate, target);
    let key = configure(&entry).await;
    let ways = [
        Way { name: "direct", url: format!("http://{target}/bench/x"), key: None },
        Way { name: "hyper pass-through", url: format!("http://{pass_through}/bench/x"), key: None },
        Way { name: "two nodes", url: format!("http://{}/bench/x", entry.caller_address()), key: Some(key) },
    ];
    wait_until_served(&ways[2]).await;
    println!(
        "{:<20} {:>8} {:>8} {:>8} {:>8} {:>12} {:>10}",
        "way", "p50 us", "p99 us", "at rate", "p99 us", "saturated/s", "cpu us"
    );
    for way in &ways {
        measure(way).await;
    }
}

async fn measure(way: &Way) {
    let serial = Times::new(serial(way, SERIAL_CALLS).await);
    let paced = Times::new(paced(way).await);
    let cpu_before = cpu_s();
    let started = Instant::now();
    let callers: Vec<_> = (0..SATURATION_CALLERS)
        .map(|_| {
            let way = Way { name: way.name, url: way.url.clone(), key: way.key.clone() };
            tokio::spawn(async move { serial_on_own_connection(way).await })
        })
        .collect();
    let mut calls = 0;
    for caller in callers {
        calls += caller.await.unwrap_or(0);
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    let cpu_us = (cpu_s() - cpu_before) * 1e6 / calls.max(1) as f64;
    println!(
        "{:<20} {:>8} {:>8} {:>8} {:>8} {:>12.0} {:>10.1}",
        way.name,
        serial.at(500),
        serial.at(990),
        paced.at(500),
        paced.at(990),
        calls as f64 / elapsed_s,
        cpu_us
    );
}

async fn serial_on_own_connection(way: Way) -> usize {
    serial(&way, SATURATION_CALLS).await.len()
}

async fn serial(way: &Way, calls: usize) -> Vec<u64> {
    let caller: Caller = Client::builder(TokioExecutor::new()).build_http();
    let mut times_us = Vec::with_capacity(calls);
    for _ in 0..calls {
        let started = Instant::now();
        if call(&caller, way).await {
            times_us.push(started.elapsed().as_micros() as u64);
        }
    }
    times_us
}

async fn paced(way: &Way) -> Vec<u64> {
    let caller: Caller = Client::builder(TokioExecutor::new()).build_http();
    let mut interval = tokio::time::interval(Duration::from_micros(1_000_000 / FIXED_RATE_PER_S));
    let mut running = Vec::new();
    for _ in 0..FIXED_RATE_PER_S * FIXED_RATE_S {
        interval.tick().await;
        let (caller, way) = (caller.clone(), Way { name: way.name, url: way.url.clone(), key: way.key.clone() });
        running.push(tokio::spawn(async move {
            let started = Instant::now();
            call(&caller, &way).await.then(|| started.elapsed().as_micros() as u64)
        }));
    }
    let mut times_us = Vec::new();
    for call in running {
        times_us.extend(call.await.ok().flatten());
    }
    times_us
}

async fn call(caller: &Caller, way: &Way) -> bool {
    let mut request = Request::get(&way.url);
    if let Some(key) = &way.key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    let Ok(request) = request.body(Full::new(Bytes::new())) else { return false };
    let Ok(response) = caller.request(request).await else { return false };
    let good = response.status().is_success();
    response.into_body().collect().await.is_ok() && good
}

/// A target that answers at once.
async fn serve_target() -> SocketAddr {
    serve(|_| async { Response::new(Full::new(Bytes::from_static(b"answer of the target"))) }).await
}

/// The least that a process in the middle can do with `hyper`.
async fn serve_pass_through(target: SocketAddr) -> SocketAddr {
    let client: Caller = Client::builder(TokioExecutor::new()).build_http();
    on_own_thread(serve(move |request: Request<Incoming>| {
        let client = client.clone();
        async move {
            let uri = format!("http://{target}{}", request.uri().path());
            let request = Request::get(uri).body(Full::new(Bytes::new())).expect("a fixed request");
            let response = client.request(request).await.expect("the target answers");
            let body = response.into_body().collect().await.expect("a whole answer").to_bytes();
            Response::new(Full::new(body))
        }
    }))
    .await
}

async fn serve<F>(answer: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static) -> SocketAddr
where
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            let answer = answer.clone();
            // Answers are small; without it they wait for the delayed acknowledgement.
            let _ = tcp.set_nodelay(true);
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let answered = answer(request);
                    async move { Ok::<_, std::convert::Infallible>(answered.await) }
                });
                let _ = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(tcp), service).await;
            });
        }
    });
    address
}

/// Starts a node on a thread of its own, as the daemon runs it.
async fn start_node(zone: &str, log: &Arc<dyn PlatformLog>) -> NodeHandle {
    let zone = zone.parse().expect("a zone's name");
    let settings = SettingsBuilder::new(zone, "bench".parse().expect("a region's name")).build();
    let options = NodeOptions::new(Arc::clone(log));
    on_own_thread(async move { Node::start(settings, options).await.expect("the node starts") }).await
}

/// Runs a start-up on a runtime with one thread, which goes on running what was started.
async fn on_own_thread<T: Send + 'static>(start: impl Future<Output = T> + Send + 'static) -> T {
    let (sender, started) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let _ = sender.send(start.await);
            std::future::pending::<()>().await;
        });
    });
    started.await.expect("the start-up ends")
}

/// Renews the target's announcement until the process ends.
fn announce(node: &NodeHandle, target: SocketAddr) {
    let announcement = serde_json::json!({
        "service": "bench", "address": target, "slots": 256, "connections": 1024,
    });
    let state = Arc::clone(node.state());
    tokio::spawn(async move {
        loop {
            let announcement = serde_json::from_value(announcement.clone()).expect("an announcement");
            state.gate.apply_announcement(announcement);
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
}

/// Publishes one tenant and one route, and returns the tenant's key.
async fn configure(node: &NodeHandle) -> String {
    let intent = serde_json::json!({"why": "bench", "changes": [
        {"set_zone": {"zone": "bench-gate", "region": "bench"}},
        {"set_zone": {"zone": "bench-entry", "region": "bench"}},
        {"set_tenant": {"tenant": "bench", "rate_per_s": 1_000_000, "burst": 1_000_000, "weight": 1}},
        {"grant_key": "bench"},
        {"set_route": {
            "route": "bench", "path_prefix": "/bench", "service": "bench", "class": "lookup",
            "timeout_ms": 5000, "retryable": true,
        }},
    ]});
    let planned = post(node, "/v1/plans", intent.to_string()).await;
    let id = planned["plan"]["id"].as_str().expect("a plan's id").to_owned();
    post(node, &format!("/v1/plans/{id}/confirm"), String::new()).await;
    planned["granted"][0]["secret"].as_str().expect("a key").to_owned()
}

async fn post(node: &NodeHandle, path: &str, body: String) -> serde_json::Value {
    let client: Caller = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{}{path}", node.admin_address());
    let request = Request::post(uri).body(Full::new(Bytes::from(body))).expect("a fixed request");
    let response = client.request(request).await.expect("the node answers");
    let bytes = response.into_body().collect().await.expect("a whole answer").to_bytes();
    serde_json::from_slice(&bytes).expect("JSON")
}

async fn wait_until_served(way: &Way) {
    let caller: Caller = Client::builder(TokioExecutor::new()).build_http();
    while !call(&caller, way).await {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the processor time of this process so far, in seconds.
fn cpu_s() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after_name.split_whitespace().map(|field| field.parse().unwrap_or(0.0)).collect();
    // Fields 14 and 15 of the whole line are user and system time.
    fields.get(11).copied().unwrap_or(0.0) / CLOCK_TICKS_PER_S
        + fields.get(12).copied().unwrap_or(0.0) / CLOCK_TICKS_PER_S
}
