//! Nodes on the users' platform: a stand-in store, sidecar processes, and targets inside the test.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use fulmartrestle_platform::StoreClient;
use fulmartrestle_platform_log::{KeyedRecord, PlatformLog, StreamName};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tempfile::TempDir;
use tokio::net::TcpListener;

use super::{Answer, Client, Process, Request, wait_until};

const LOG: &str = env!("CARGO_BIN_EXE_fulmartrestle-standin-log");
const SIDECAR: &str = env!("CARGO_BIN_EXE_fulmartrestle-sidecar");

/// Ports for the nodes' listeners, below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 15_000;
const PORTS: u16 = 15_000;

/// The next port to try; no two nodes of one test program get the same.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Time between two heartbeats of a target, in milliseconds.
const HEARTBEAT_PAUSE_MS: u64 = 200;

/// What a target does with the next requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers at once.
    Answer,
    /// Answers after this many milliseconds.
    Slow(u64),
    /// Runs the request and closes the connection without an answer.
    LoseAnswer,
    /// Says that it did not run the request.
    Refuse,
}

/// One request that a target ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub request_id: String,
    pub headers: http::HeaderMap,
}

/// A target inside the test.
pub struct Target {
    pub instance: String,
    pub behaviour: Mutex<Behaviour>,
    pub runs: Mutex<Vec<Run>>,
    pub leaving: Mutex<bool>,
}

/// One VM: a sidecar process and a target.
pub struct SidecarVm {
    pub node: Process,
    pub target: Arc<Target>,
    pub caller_address: SocketAddr,
    ready_address: SocketAddr,
}

/// The running fleet.
pub struct SidecarFleet {
    pub client: Client,
    pub store: Process,
    pub store_client: StoreClient,
    pub vms: Vec<SidecarVm>,
    settings: TempDir,
}

impl SidecarFleet {
    /// Starts a store, the configuration, and one VM for each service named.
    pub async fn start(services: &[&str], config: &serde_json::Value) -> Self {
        let store = Process::start(LOG, &["--listen", "127.0.0.1:0"]);
        let store_client = StoreClient::new(&format!("http://{}", store.address(""))).expect("a client");
        let settings = tempfile::tempdir().expect("a folder for settings");
        let mut fleet = Self { client: Client::new(), store, store_client, vms: Vec::new(), settings };
        fleet.publish(config).await;
        for service in services {
            fleet.start_vm(service).await;
        }
        fleet.wait_for_targets().await;
        fleet
    }

    /// Writes a configuration as the operator does.
    pub async fn publish(&self, config: &serde_json::Value) {
        let stream: StreamName = "keyed.op".parse().expect("a valid name");
        let record = KeyedRecord::encode("config", config.to_string().as_bytes());
        self.store_client.append(&stream, vec![record]).await.expect("the store takes the configuration");
    }

    async fn start_vm(&mut self, service: &str) {
        let index = self.vms.len();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let target_address = listener.local_addr().expect("an address");
        let mut addresses = Vec::new();
        for _ in 0..5 {
            addresses.push(free_address().await);
        }
        let file = self.settings.path().join(format!("sidecar-{index}.jsonc"));
        let text = serde_json::json!({
            "name": format!("sidecar-{index}"), "availability_zone": "milano",
            "caller_address": addresses[0], "ready_address": addresses[1], "control_address": addresses[2],
            "peer_address": addresses[3], "metrics_address": addresses[4], "target_address": target_address,
            "service": service, "store_address": self.store.address(""), "max_descriptors": 1_024,
            "memory_mb": 260, "first_start": true,
            "bounds": {
                "revoke_ms": 5_000, "grace_s": 6, "quota_slack": 20, "retry_ratio": 0.2, "retry_slack": 48
            }
        });
        std::fs::write(&file, text.to_string()).expect("settings can be written");
        let node = Process::start(SIDECAR, &[&file.display().to_string()]);
        let target = Arc::new(Target {
            instance: format!("i-{index}"),
            behaviour: Mutex::new(Behaviour::Answer),
            runs: Mutex::default(),
            leaving: Mutex::new(false),
        });
        tokio::spawn(serve_target(listener, Arc::clone(&target)));
        tokio::spawn(announce(addresses[2], service.to_owned(), Arc::clone(&target)));
        self.vms.push(SidecarVm { node, target, caller_address: addresses[0], ready_address: addresses[1] });
    }

    /// Waits until each node is ready and a request through the first reaches every service's targets.
    async fn wait_for_targets(&self) {
        for vm in &self.vms {
            let url = format!("http://{}/fulmartrestle/readyz", vm.ready_address);
            wait_until("a node is ready", || async {
                self.client.try_send(&Request::get(&url)).await.is_ok_and(|answer| answer.status == 200).then_some(())
            })
            .await;
        }
    }

    /// Sends a request through a VM's node.
    pub async fn send(&self, vm: usize, request: &CallerRequest) -> Answer {
        self.try_send(vm, request).await.unwrap_or_else(|error| panic!("{request:?}: {error}"))
    }

    /// Sends a request through a VM's node; its connection may be closed without an answer.
    pub async fn try_send(&self, vm: usize, request: &CallerRequest) -> Result<Answer, String> {
        let url = format!("http://{}{}", self.vms[vm].caller_address, request.path);
        let sent = Request { method: request.method, url, ..Request::default() }
            .header("host", "trips.example")
            .header("request-id", &request.id)
            .header("deadline", request.deadline_ms.to_string())
            .header("authorization", format!("Token {}", request.key));
        self.client.try_send(&sent).await
    }

    /// Sends requests until one is answered with `status`.
    pub async fn wait_for_status(&self, vm: usize, request: &CallerRequest, status: u16) {
        wait_until("an expected status", || async {
            self.try_send(vm, request).await.is_ok_and(|answer| answer.status == status).then_some(())
        })
        .await;
    }
}

/// A request as callers send it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub method: &'static str,
    pub path: &'static str,
    pub id: String,
    pub key: &'static str,
    pub deadline_ms: u64,
}

/// Returns an address that no other listener has and no outgoing connection takes: system-chosen ports of
/// connections begin above these.
async fn free_address() -> SocketAddr {
    loop {
        let port = FIRST_PORT + NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).await.is_ok() {
            return address;
        }
    }
}

async fn announce(control: SocketAddr, service: String, target: Arc<Target>) {
    let client = Client::new();
    let url = format!("http://{control}/fulmartrestle/Instances.Heartbeat/{}", target.instance);
    for seq in 1_u64.. {
        let state = if *target.leaving.lock().expect("not poisoned") { "draining" } else { "ready" };
        let body = serde_json::json!({
            "addr": "127.0.0.1:1", "born": 1_700_000_000_000_i64,
            "info": {"service": service, "version": "v1", "zone": "milano", "slots": 10},
            "status": {"state": state, "seq": seq, "cold_left_ms": 0}
        });
        // A node that is being started again takes no heartbeats.
        let _ = client.try_send(&Request::post(&url, body.to_string())).await;
        tokio::time::sleep(Duration::from_millis(HEARTBEAT_PAUSE_MS)).await;
    }
}

async fn serve_target(listener: TcpListener, target: Arc<Target>) {
    while let Ok((tcp, _)) = listener.accept().await {
        let target = Arc::clone(&target);
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(request, Arc::clone(&target)));
            // Lost answers end the connection with an error.
            let _ = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(tcp), service).await;
        });
    }
}

async fn answer(
    request: hyper::Request<Incoming>,
    target: Arc<Target>,
) -> Result<hyper::Response<Full<Bytes>>, std::io::Error> {
    let (parts, body) = request.into_parts();
    let _ = body.collect().await;
    let text = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let request_id = text("request-id").to_owned();
    let behaviour = *target.behaviour.lock().expect("not poisoned");
    if behaviour == Behaviour::Refuse {
        let refused = hyper::Response::builder().status(503).header("not-executed", "1");
        return Ok(refused.body(Full::default()).expect("a valid answer"));
    }
    target.runs.lock().expect("not poisoned").push(Run { request_id: request_id.clone(), headers: parts.headers });
    match behaviour {
        Behaviour::Slow(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
        Behaviour::LoseAnswer => return Err(std::io::Error::other("answer lost")),
        Behaviour::Answer | Behaviour::Refuse => {}
    }
    let answer = hyper::Response::builder().header("request-id", request_id).header("response-stamp", "stamp");
    Ok::<_, Infallible>(answer.body(Full::new(Bytes::from_static(b"whole"))).expect("a valid answer"))
        .map_err(|never| match never {})
}
