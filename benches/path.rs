//! Measures the latency and CPU time that two nodes add to a call, and compares them with direct calls and
//! a plain `hyper` proxy in the same run: `cargo bench --bench path`.
//!
//! Each path is measured with sequential calls, at a fixed rate and at saturation. Sequential calls show the
//! added latency without load; the goal is 0.34 ms at the 99th percentile. CPU time is that of the whole
//! process (caller, nodes and target), so the cost of two nodes is the increase over direct calls.

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

/// Calls sent one after the other, to measure the latency without load.
const SEQUENTIAL_CALLS: usize = 4_000;

/// Calls per second of the run at a fixed rate, 12 times the expected load of a node: the required 300,000
/// calls/s over 7,100 nodes are 42 calls/s per node.
const FIXED_RATE_PER_S: u64 = 500;

/// Duration of the run at a fixed rate, in seconds.
const FIXED_RATE_S: u64 = 5;

/// Concurrent callers of the saturation run. Each sends its calls one after the other.
const SATURATION_CALLERS: usize = 64;

/// Calls that each caller of the saturation run sends.
const SATURATION_CALLS_PER_CALLER: usize = 400;

/// Clock ticks per second, the unit of CPU time in `/proc/self/stat`.
const CLOCK_TICKS_PER_S: f64 = 100.0;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A path that calls take from the caller to the target.
struct CallPath {
    name: &'static str,
    url: String,
    api_key: Option<String>,
}

/// Latencies of the successful calls of a run, in microseconds, in ascending order.
struct LatenciesUs(Vec<u64>);

impl LatenciesUs {
    fn new(mut latencies_us: Vec<u64>) -> Self {
        latencies_us.sort_unstable();
        Self(latencies_us)
    }

    /// Returns the latency below which `per_mille` of 1,000 calls stay, or 0 without calls.
    fn quantile(&self, per_mille: usize) -> u64 {
        self.0.get((self.0.len() * per_mille / 1_000).min(self.0.len().saturating_sub(1))).copied().unwrap_or(0)
    }
}

#[tokio::main]
async fn main() {
    let target = serve_target().await;
    let pass_through = serve_pass_through(target).await;
    let log: Arc<dyn PlatformLog> = Arc::new(MemoryLog::new());
    let gate_node = start_node("bench-gate", &log).await;
    let entry_node = start_node("bench-entry", &log).await;
    announce_target(&gate_node, target);
    let api_key = configure(&entry_node).await;
    let paths = [
        CallPath { name: "direct", url: format!("http://{target}/bench/x"), api_key: None },
        CallPath { name: "hyper pass-through", url: format!("http://{pass_through}/bench/x"), api_key: None },
        CallPath {
            name: "two nodes",
            url: format!("http://{}/bench/x", entry_node.caller_address()),
            api_key: Some(api_key),
        },
    ];
    wait_until_served(&paths[2]).await;
    println!(
        "{:<20} {:>8} {:>8} {:>8} {:>8} {:>12} {:>10}",
        "path", "p50 us", "p99 us", "rate p50", "rate p99", "calls/s", "cpu us"
    );
    for path in &paths {
        measure(path).await;
    }
}

/// Runs all measurements on one path and prints one row of results. Latencies are in microseconds; the last
/// two columns are the call rate and the CPU time per call at saturation.
async fn measure(path: &CallPath) {
    let sequential = LatenciesUs::new(run_sequential(path, SEQUENTIAL_CALLS).await);
    let fixed_rate = LatenciesUs::new(run_fixed_rate(path).await);
    let cpu_before = process_cpu_s();
    let started = Instant::now();
    let callers: Vec<_> = (0..SATURATION_CALLERS)
        .map(|_| {
            let path = CallPath { name: path.name, url: path.url.clone(), api_key: path.api_key.clone() };
            tokio::spawn(async move { run_saturation_caller(path).await })
        })
        .collect();
    let mut calls = 0;
    for caller in callers {
        calls += caller.await.unwrap_or(0);
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    let cpu_us = (process_cpu_s() - cpu_before) * 1e6 / calls.max(1) as f64;
    println!(
        "{:<20} {:>8} {:>8} {:>8} {:>8} {:>12.0} {:>10.1}",
        path.name,
        sequential.quantile(500),
        sequential.quantile(990),
        fixed_rate.quantile(500),
        fixed_rate.quantile(990),
        calls as f64 / elapsed_s,
        cpu_us
    );
}

/// Sends the calls of one caller of the saturation run and returns how many succeeded.
async fn run_saturation_caller(path: CallPath) -> usize {
    run_sequential(&path, SATURATION_CALLS_PER_CALLER).await.len()
}

/// Sends calls one after the other on a connection of their own, and returns the latencies of those that
/// succeeded, in microseconds.
async fn run_sequential(path: &CallPath, calls: usize) -> Vec<u64> {
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let mut latencies_us = Vec::with_capacity(calls);
    for _ in 0..calls {
        let started = Instant::now();
        if call_succeeds(&client, path).await {
            latencies_us.push(started.elapsed().as_micros() as u64);
        }
    }
    latencies_us
}

/// Sends calls at a fixed rate, and returns the latencies of those that succeeded, in microseconds.
async fn run_fixed_rate(path: &CallPath) -> Vec<u64> {
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let mut interval = tokio::time::interval(Duration::from_micros(1_000_000 / FIXED_RATE_PER_S));
    let mut calls = Vec::new();
    for _ in 0..FIXED_RATE_PER_S * FIXED_RATE_S {
        interval.tick().await;
        let (client, path) =
            (client.clone(), CallPath { name: path.name, url: path.url.clone(), api_key: path.api_key.clone() });
        calls.push(tokio::spawn(async move {
            let started = Instant::now();
            call_succeeds(&client, &path).await.then(|| started.elapsed().as_micros() as u64)
        }));
    }
    let mut latencies_us = Vec::new();
    for call in calls {
        latencies_us.extend(call.await.ok().flatten());
    }
    latencies_us
}

/// Sends a call, reads the whole response, and returns whether the call succeeded.
async fn call_succeeds(client: &HttpClient, path: &CallPath) -> bool {
    let mut request = Request::get(&path.url);
    if let Some(api_key) = &path.api_key {
        request = request.header("authorization", format!("Bearer {api_key}"));
    }
    let Ok(request) = request.body(Full::new(Bytes::new())) else { return false };
    let Ok(response) = client.request(request).await else { return false };
    let is_success = response.status().is_success();
    response.into_body().collect().await.is_ok() && is_success
}

/// Starts a target that responds immediately.
async fn serve_target() -> SocketAddr {
    serve(|_| async { Response::new(Full::new(Bytes::from_static(b"answer of the target"))) }).await
}

/// Starts a proxy that does no more than forward calls with `hyper`, as a lower bound for the added cost.
async fn serve_pass_through(target: SocketAddr) -> SocketAddr {
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    run_on_own_thread(serve(move |request: Request<Incoming>| {
        let client = client.clone();
        async move {
            let uri = format!("http://{target}{}", request.uri().path());
            let request = Request::get(uri).body(Full::new(Bytes::new())).expect("a fixed request");
            let response = client.request(request).await.expect("the target responds");
            let body = response.into_body().collect().await.expect("a complete response").to_bytes();
            Response::new(Full::new(body))
        }
    }))
    .await
}

/// Starts an HTTP/1.1 server on a free port and returns its address.
async fn serve<F>(handler: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static) -> SocketAddr
where
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            let handler = handler.clone();
            // Otherwise Nagle's algorithm holds back the small responses until the delayed acknowledgement.
            let _ = tcp.set_nodelay(true);
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let response = handler(request);
                    async move { Ok::<_, std::convert::Infallible>(response.await) }
                });
                let _ = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(tcp), service).await;
            });
        }
    });
    address
}

/// Starts a node on a thread of its own with a single-threaded runtime, like the daemon.
async fn start_node(zone: &str, log: &Arc<dyn PlatformLog>) -> NodeHandle {
    let zone = zone.parse().expect("a zone's name");
    let settings = SettingsBuilder::new(zone, "bench".parse().expect("a region's name")).build();
    let options = NodeOptions::new(Arc::clone(log));
    run_on_own_thread(async move { Node::start(settings, options).await.expect("the node starts") }).await
}

/// Runs `startup` on a new thread with a single-threaded runtime and returns its result. The runtime keeps
/// running the tasks that `startup` spawned.
async fn run_on_own_thread<T: Send + 'static>(startup: impl Future<Output = T> + Send + 'static) -> T {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let _ = sender.send(startup.await);
            std::future::pending::<()>().await;
        });
    });
    receiver.await.expect("the startup completes")
}

/// Announces the target to its node every second until the process exits.
fn announce_target(node: &NodeHandle, target: SocketAddr) {
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

/// Publishes one tenant and one route, and returns the tenant's API key.
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
    planned["granted"][0]["secret"].as_str().expect("an API key").to_owned()
}

/// Sends a POST request to a node's admin address and returns the body of the response.
async fn post(node: &NodeHandle, path: &str, body: String) -> serde_json::Value {
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{}{path}", node.admin_address());
    let request = Request::post(uri).body(Full::new(Bytes::from(body))).expect("a fixed request");
    let response = client.request(request).await.expect("the node responds");
    let bytes = response.into_body().collect().await.expect("a complete response").to_bytes();
    serde_json::from_slice(&bytes).expect("JSON")
}

/// Waits until a call on the path succeeds.
async fn wait_until_served(path: &CallPath) {
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    while !call_succeeds(&client, path).await {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the CPU time that this process has used so far, in seconds.
fn process_cpu_s() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after_name.split_whitespace().map(|field| field.parse().unwrap_or(0.0)).collect();
    // Fields 14 and 15 of the line are user and system time; `fields` starts with field 3.
    fields.get(11).copied().unwrap_or(0.0) / CLOCK_TICKS_PER_S
        + fields.get(12).copied().unwrap_or(0.0) / CLOCK_TICKS_PER_S
}
