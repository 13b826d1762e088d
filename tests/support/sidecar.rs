//! Starts a fleet on the users' platform: a stand-in store, sidecar processes, and targets that run inside
//! the test process.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use fulmartrestle_platform::StoreClient;
use fulmartrestle_platform_log::{KeyedRecord, PlatformLog, StreamName};
use fulmartrestle_soak::free_address;
use futures_util::stream::{self, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::{Client, Process, Request, Response, wait_until};

const LOG_PROGRAM: &str = env!("CARGO_BIN_EXE_fulmartrestle-standin-log");
const SIDECAR_PROGRAM: &str = env!("CARGO_BIN_EXE_fulmartrestle-sidecar");

/// Environment variable with the path of an earlier build's `fulmartrestle-sidecar`.
const EARLIER_SIDECAR: &str = "FULMARTRESTLE_EARLIER_SIDECAR";

/// Zone of all VMs unless a test names others.
const DEFAULT_ZONE: &str = "milano";

/// Interval between heartbeats of a target unless a test changes it.
const HEARTBEAT_INTERVAL_MS: u64 = 200;

/// Bounds of the settings for cold targets. They have no effect unless a configuration names a rate.
pub const COLD_OVERAGE: f64 = 1.5;
pub const COLD_SLACK: f64 = 8.0;

/// Path of health checks in configurations that name one.
pub const HEALTH_PATH: &str = "/healthz";

/// Size of the frames of large bodies, in bytes.
const FRAME_BYTES: usize = 16_384;

/// Start of the first run of each target.
pub const FIRST_START_UNIX_MS: i64 = 1_700_000_000_000;

/// How a target handles the requests that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetBehaviour {
    /// Responds immediately.
    Respond,
    /// Responds after this many milliseconds.
    RespondAfterMs(u64),
    /// Runs the request and closes the connection without a response.
    DropResponse,
    /// Responds with 503 and a header which states that the request was not run.
    Refuse,
    /// Crashes on requests whose path contains this text, and responds after 20 ms to all others.
    CrashOn(&'static str),
    /// Sends this many bytes of a body and then closes the connection.
    CutResponse { sent_bytes: usize, announced: Announced },
    /// Responds with a body of this many bytes.
    LargeResponse(usize),
    /// Responds with a body of this many bytes, and takes this many milliseconds to send it.
    SlowResponse { bytes: usize, sending_ms: u64 },
    /// Makes calls on this path through its node, one after the other, and responds with 500 if one of them fails.
    MakeCalls { path: &'static str, count: usize },
}

/// How a target ends on a request that crashes it, and how its next run starts.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    /// Time from the arrival of the request to the end, in milliseconds.
    pub after_ms: u64,
    /// What the target sends on the connection of the request before it ends.
    pub last_words: LastWords,
    /// What becomes of the target's connections.
    pub connections: EndOfConnections,
    /// What becomes of its port.
    pub port: EndOfPort,
    /// Time from the end to the next start, in milliseconds.
    pub down_ms: u64,
    /// Whether heartbeats of the ended run are sent until the next one starts.
    pub late_heartbeats: bool,
    /// Whether the next run has another name.
    pub renamed: bool,
}

impl Ending {
    /// All connections close, then the port, and the target is back under its name after a moment.
    pub const PLAIN: Self = Self {
        after_ms: 0,
        last_words: LastWords::None,
        connections: EndOfConnections::Closed,
        port: EndOfPort::ClosedAfterMs(0),
        down_ms: 400,
        late_heartbeats: false,
        renamed: false,
    };
}

/// What a target sends before it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastWords {
    None,
    /// The head of a response and a part of its body.
    PartOfBody,
    /// A response that doesn't bear the marks of one.
    InvalidResponse,
}

/// What becomes of the connections of a target that ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOfConnections {
    Closed,
    Reset,
    /// They stay open, and nothing is sent on them any more.
    Silent,
}

/// What becomes of the port of a target that ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOfPort {
    /// It closes this long before the connections, in milliseconds.
    ClosedBeforeMs(u64),
    /// It closes this long after the connections, in milliseconds.
    ClosedAfterMs(u64),
    /// Connections are accepted and wait for the next run.
    Kept,
    /// Connections are accepted and closed until the next run.
    KeptAndClosing,
}

/// Whether a target announces the length of a body, in bytes, or sends it in chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announced {
    Length(usize),
    Chunks,
}

/// Bytes that a target writes in place of a response.
#[derive(Clone, Copy, Debug)]
pub struct RawResponse {
    /// Written first. `{id}` stands for the ID of the request.
    pub start: &'static str,
    /// Written again and again until the connection is closed.
    pub repeated: &'static str,
    /// Pause between two writes, in milliseconds; 0 writes without a pause.
    pub pause_ms: u64,
}

/// What a target does with one request on a connection.
#[derive(Clone, Copy, Debug)]
pub struct ScriptStep {
    /// Whether the target runs the request.
    pub runs: bool,
    /// What it writes; `{id}` stands for the ID of the request.
    pub response: &'static str,
}

/// What became of the connections on which a target writes without end.
#[derive(Debug, Default)]
pub struct RawConnections {
    pub accepted: AtomicUsize,
    pub open: AtomicUsize,
    pub written_bytes: AtomicUsize,
    /// IDs of the requests that were read, one for each connection that carried one.
    pub request_ids: Mutex<Vec<String>>,
}

/// A request that a target has run.
#[derive(Clone, Debug)]
pub struct RecordedRun {
    pub request_id: String,
    pub method: String,
    pub headers: http::HeaderMap,
    pub body: Bytes,
    pub started: Instant,
}

/// A target that runs inside the test process.
pub struct Target {
    pub instance_id: String,
    /// Where the target makes its calls.
    node_address: SocketAddr,
    client: Client,
    pub behaviour: Mutex<TargetBehaviour>,
    pub runs: Mutex<Vec<RecordedRun>>,
    /// Whether the heartbeats report that the target is draining.
    pub draining: Mutex<bool>,
    /// Time from one heartbeat to the next.
    pub heartbeat_interval_ms: AtomicU64,
    /// Headers that the target adds to its responses.
    pub notices: Mutex<Vec<(&'static str, String)>>,
    /// Until when the heartbeats report that the target is cold.
    pub cold_until: Mutex<Instant>,
    /// Slots that the heartbeats report.
    pub slots: AtomicU64,
    /// How often the target has crashed. Each time it is down for a moment and starts again.
    pub crashes: AtomicUsize,
    /// When it crashed.
    pub crash_times: Mutex<Vec<Instant>>,
    pub ending: Mutex<Ending>,
    /// Written to each new connection in place of responses, if it is set.
    pub raw_response: Mutex<Option<RawResponse>>,
    pub raw_connections: RawConnections,
    /// What happens on the next new connection, if it is set. It closes at the end of the script.
    pub script: Mutex<Option<&'static [ScriptStep]>>,
    /// Has a clone for each open connection that speaks HTTP.
    open_connections: Arc<()>,
    closing: Notify,
    crashing: Notify,
    is_down: Mutex<bool>,
    /// How many requests the target has refused.
    pub refusals: AtomicUsize,
    /// Whether the current run has said by a notice or in its responses that it leaves, and says so in health checks.
    pub leaving: AtomicBool,
    /// How many health checks the target has answered.
    pub health_checks: AtomicUsize,
}

impl Target {
    /// Closes all connections of the target.
    pub fn close_connections(&self) {
        self.closing.notify_waiters();
    }

    /// Closes all connections that speak HTTP, and returns once none is open. New ones follow `raw_response`.
    pub async fn close_http_connections(&self) {
        while Arc::strong_count(&self.open_connections) > 1 {
            self.close_connections();
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Ends the current run. The target is down for a moment and starts again.
    pub fn crash(&self) {
        let was_down = std::mem::replace(&mut *self.is_down.lock().expect("not poisoned"), true);
        if was_down {
            return;
        }
        self.crashes.fetch_add(1, Ordering::Relaxed);
        self.crash_times.lock().expect("not poisoned").push(Instant::now());
        self.leaving.store(false, Ordering::Relaxed);
        self.crashing.notify_one();
    }
}

/// One VM: a sidecar process and a target.
pub struct SidecarVm {
    pub node: Process,
    pub target: Arc<Target>,
    pub caller_address: SocketAddr,
    ready_address: SocketAddr,
    control_address: SocketAddr,
    metrics_address: SocketAddr,
    settings_file: String,
    /// Address at which the other nodes reach the node.
    pub peer_address: SocketAddr,
    pub target_address: SocketAddr,
}

/// A running fleet. Dropping it kills all its processes.
pub struct SidecarFleet {
    pub client: Client,
    pub store: Process,
    pub store_client: StoreClient,
    pub vms: Vec<SidecarVm>,
    settings_dir: TempDir,
}

impl SidecarFleet {
    /// Starts a store, publishes the configuration, starts one VM for each item of `services`, and waits until
    /// every node is ready.
    pub async fn start(services: &[&str], config: &serde_json::Value) -> Self {
        let vms: Vec<_> = services.iter().map(|service| (*service, DEFAULT_ZONE)).collect();
        Self::start_in_zones(&vms, config).await
    }

    /// Starts a fleet like [`SidecarFleet::start`], with the service and the zone of each VM.
    pub async fn start_in_zones(vms: &[(&str, &str)], config: &serde_json::Value) -> Self {
        let store = Process::start(LOG_PROGRAM, &["--listen", "127.0.0.1:0"]);
        let store_client = StoreClient::new(&format!("http://{}", store.address(""))).expect("a client");
        let settings_dir = tempfile::tempdir().expect("a directory for settings");
        let mut fleet = Self { client: Client::new(), store, store_client, vms: Vec::new(), settings_dir };
        fleet.publish_config(config).await;
        for (service, zone) in vms {
            fleet.start_vm(service, zone).await;
        }
        fleet.wait_until_ready().await;
        fleet
    }

    /// Appends a configuration to the store, as the platform's operator does.
    pub async fn publish_config(&self, config: &serde_json::Value) {
        self.write_operator_record("config", &config.to_string()).await;
    }

    /// Appends a record to the operator's stream; one with an empty value removes the key. Returns after the store has
    /// acknowledged it.
    pub async fn write_operator_record(&self, key: &str, value: &str) {
        self.write_record("keyed.op", KeyedRecord::encode(key, value.as_bytes())).await;
    }

    /// Lets the store refuse all calls, or serve them again.
    pub async fn set_store_down(&self, down: bool) {
        let url = format!("http://{}/faults", self.store.address(""));
        let request = Request::post(url, serde_json::json!({"down": down}).to_string());
        let response = self.client.try_send(&request).await.expect("a response of the store");
        assert_eq!(response.status, 200);
    }

    /// Replaces the store's records by a copy that is `age_ms` old.
    pub async fn restore_store_copy(&self, age_ms: u64) {
        let url = format!("http://{}/restore", self.store.address(""));
        let request = Request::post(url, serde_json::json!({"age_ms": age_ms}).to_string());
        let response = self.client.try_send(&request).await.expect("a response of the store");
        assert_eq!(response.status, 200);
    }

    /// Adds a VM to the running fleet, and waits until its node is ready.
    pub async fn add_vm(&mut self, service: &str) {
        self.start_vm(service, DEFAULT_ZONE).await;
        self.wait_until_ready().await;
    }

    /// Appends a record to a stream of the store, as another writer does.
    pub async fn write_record(&self, stream: &str, record: Vec<u8>) {
        let stream: StreamName = stream.parse().expect("a valid name");
        let started = Instant::now();
        if let Err(error) = self.store_client.append(&stream, vec![record]).await {
            panic!("the store has not accepted the record after {} ms: {error}", started.elapsed().as_millis());
        }
    }

    /// Sends a heartbeat with any body to the node of a VM, and returns the status of the response.
    pub async fn send_heartbeat(&self, vm: usize, instance: &str, body: String) -> u16 {
        let url = format!("http://{}/fulmartrestle/Instances.Heartbeat/{instance}", self.vms[vm].control_address);
        self.client.try_send(&Request::post(url, body)).await.expect("a response of the node").status
    }

    /// Returns the body of a heartbeat of the target of a VM, which runs the service "trips", as a run with the given start.
    pub fn heartbeat_body(&self, vm: usize, started_unix_ms: i64, state: &str, seq: u64) -> String {
        let body = serde_json::json!({
            "addr": self.vms[vm].target_address.to_string(), "born": started_unix_ms,
            "info": {"service": "trips", "version": "v1", "zone": DEFAULT_ZONE, "slots": 10},
            "status": {"state": state, "seq": seq, "cold_left_ms": 0}
        });
        body.to_string()
    }

    /// Lets the target of a VM send no heartbeats for a minute.
    pub async fn stop_heartbeats(&self, vm: usize) {
        let interval_ms = self.vms[vm].target.heartbeat_interval_ms.swap(60_000, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(2 * interval_ms)).await;
    }

    async fn start_vm(&mut self, service: &str, zone: &str) {
        let index = self.vms.len();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let target_address = listener.local_addr().expect("an address");
        let mut addresses = Vec::new();
        for _ in 0..5 {
            addresses.push(free_address());
        }
        let file = self.settings_dir.path().join(format!("sidecar-{index}.jsonc"));
        let text = serde_json::json!({
            "name": format!("sidecar-{index}"), "availability_zone": zone,
            "caller_address": addresses[0], "ready_address": addresses[1], "control_address": addresses[2],
            "peer_address": addresses[3], "metrics_address": addresses[4], "target_address": target_address,
            "service": service, "store_address": self.store.address(""), "max_descriptors": 1_024,
            "memory_mb": 260, "first_start": true,
            "bounds": {
                "revoke_ms": 5_000, "grace_s": 6, "quota_slack": 20, "retry_ratio": 0.2, "retry_slack": 48,
                "cold_overage": COLD_OVERAGE, "cold_slack": COLD_SLACK
            }
        });
        std::fs::write(&file, text.to_string()).expect("settings can be written");
        let node = Process::start(&sidecar_program(index), &[&file.display().to_string()]);
        let target = Arc::new(Target {
            instance_id: format!("i-{index}"),
            node_address: addresses[0],
            client: self.client.clone(),
            behaviour: Mutex::new(TargetBehaviour::Respond),
            runs: Mutex::default(),
            draining: Mutex::new(false),
            heartbeat_interval_ms: AtomicU64::new(HEARTBEAT_INTERVAL_MS),
            notices: Mutex::default(),
            cold_until: Mutex::new(Instant::now()),
            slots: AtomicU64::new(10),
            crashes: AtomicUsize::new(0),
            crash_times: Mutex::default(),
            ending: Mutex::new(Ending::PLAIN),
            raw_response: Mutex::default(),
            raw_connections: RawConnections::default(),
            script: Mutex::default(),
            open_connections: Arc::default(),
            closing: Notify::new(),
            crashing: Notify::new(),
            is_down: Mutex::new(false),
            refusals: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            health_checks: AtomicUsize::new(0),
        });
        tokio::spawn(serve_target(listener, Arc::clone(&target)));
        let heartbeat = HeartbeatSource {
            control_address: addresses[2],
            target_address,
            service: service.to_owned(),
            zone: zone.to_owned(),
        };
        tokio::spawn(send_heartbeats(heartbeat, Arc::clone(&target)));
        let settings_file = file.display().to_string();
        let [caller_address, ready_address, control_address, peer_address, metrics_address] = addresses[..] else {
            panic!("five addresses")
        };
        self.vms.push(SidecarVm {
            node,
            target,
            caller_address,
            ready_address,
            control_address,
            metrics_address,
            settings_file,
            peer_address,
            target_address,
        });
    }

    /// Deregisters the target of a VM. It goes on to serve, and late heartbeats still call it ready.
    pub async fn deregister_target(&self, vm: usize) {
        let vm = &self.vms[vm];
        vm.target.leaving.store(true, Ordering::Relaxed);
        let path = format!("/fulmartrestle/Instances.Deregister/{}", vm.target.instance_id);
        let request = Request::post(format!("http://{}{path}", vm.control_address), "{}".to_owned());
        let response = self.client.try_send(&request).await.expect("a response of the node");
        assert_eq!(response.status, 200);
    }

    /// Returns the value of a metric without a label on the node of a VM.
    pub async fn metric(&self, vm: usize, name: &str) -> Option<f64> {
        let url = format!("http://{}/metrics", self.vms[vm].metrics_address);
        let response = self.client.try_send(&Request::get(&url)).await.expect("a response of the node");
        response.body.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    /// Changes a setting of the node of a VM, which notices that its file has changed.
    pub fn change_setting(&self, vm: usize, name: &str, value: serde_json::Value) {
        let file = &self.vms[vm].settings_file;
        let text = std::fs::read_to_string(file).expect("settings can be read");
        let mut settings: serde_json::Value = serde_json::from_str(&text).expect("settings in JSON");
        settings[name] = value;
        std::fs::write(file, settings.to_string()).expect("settings can be written");
    }

    /// Kills the node of a VM and starts it again, while its target goes on.
    pub async fn restart_node(&mut self, vm: usize) {
        let program = sidecar_program(vm);
        self.change_setting(vm, "first_start", false.into());
        let vm = &mut self.vms[vm];
        vm.node.kill();
        vm.node = Process::start(&program, &[&vm.settings_file]);
        self.wait_until_ready().await;
    }

    /// Kills all nodes and starts them again, while their targets go on.
    pub async fn restart_all_nodes(&mut self) {
        self.kill_all_nodes();
        self.start_killed_nodes().await;
    }

    /// Kills all nodes, while their targets go on.
    pub fn kill_all_nodes(&mut self) {
        for vm in &mut self.vms {
            vm.node.kill();
        }
    }

    /// Starts all nodes again after [`SidecarFleet::kill_all_nodes`].
    pub async fn start_killed_nodes(&mut self) {
        for vm in 0..self.vms.len() {
            self.change_setting(vm, "first_start", false.into());
        }
        for (index, vm) in self.vms.iter_mut().enumerate() {
            vm.node = Process::start(&sidecar_program(index), &[&vm.settings_file]);
        }
        self.wait_until_ready().await;
    }

    /// Waits until every node reports that it is ready.
    async fn wait_until_ready(&self) {
        for vm in 0..self.vms.len() {
            wait_until("a node is ready", || async { self.is_ready(vm).await.then_some(()) }).await;
        }
    }

    /// Waits until the node of a VM has noticed that it should stop.
    pub async fn wait_until_stopping(&self, vm: usize) {
        wait_until("the node is not ready", || async { (!self.is_ready(vm).await).then_some(()) }).await;
    }

    async fn is_ready(&self, vm: usize) -> bool {
        let url = format!("http://{}/fulmartrestle/readyz", self.vms[vm].ready_address);
        self.client.try_send(&Request::get(&url)).await.is_ok_and(|response| response.status == 200)
    }

    /// Sends a request through the node of a VM. Panics if there is no response.
    pub async fn send(&self, vm: usize, request: &CallerRequest) -> Response {
        self.try_send(vm, request).await.unwrap_or_else(|error| panic!("{request:?}: {error}"))
    }

    /// Sends a request through the node of a VM, and returns an error if there is no response.
    pub async fn try_send(&self, vm: usize, request: &CallerRequest) -> Result<Response, String> {
        let url = format!("http://{}{}", self.vms[vm].caller_address, request.path);
        let http_request = Request { method: request.method, url, ..Request::default() }
            .header("host", "trips.example")
            .header("request-id", &request.request_id)
            .header("deadline", request.deadline_ms.to_string())
            .header("authorization", format!("Token {}", request.api_key));
        self.client.try_send(&http_request).await
    }

    /// Sends a request repeatedly until its response has the given status.
    pub async fn wait_for_status(&self, vm: usize, request: &CallerRequest, status: u16) {
        wait_until("the response has the expected status", || async {
            self.try_send(vm, request).await.is_ok_and(|response| response.status == status).then_some(())
        })
        .await;
    }
}

/// A request with the values that callers set in its headers.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub method: &'static str,
    pub path: &'static str,
    pub request_id: String,
    pub api_key: &'static str,
    pub deadline_ms: u64,
}

/// Returns the program of a VM's node. If [`EARLIER_SIDECAR`] is set, every second node is of that build, as while a fleet
/// is upgraded.
fn sidecar_program(vm: usize) -> String {
    match std::env::var(EARLIER_SIDECAR) {
        Ok(program) if vm % 2 == 1 => program,
        _ => SIDECAR_PROGRAM.to_owned(),
    }
}

/// What a target says of itself in all its heartbeats, and where it sends them.
struct HeartbeatSource {
    control_address: SocketAddr,
    target_address: SocketAddr,
    service: String,
    zone: String,
}

/// Sends heartbeats of a target to its node until the test ends.
async fn send_heartbeats(source: HeartbeatSource, target: Arc<Target>) {
    let HeartbeatSource { control_address, target_address, service, zone } = source;
    let client = Client::new();
    let is_down = || *target.is_down.lock().expect("not poisoned");
    for seq in 1_u64.. {
        let ending = *target.ending.lock().expect("not poisoned");
        while is_down() && !ending.late_heartbeats {
            tokio::time::sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS)).await;
        }
        let run = target.crashes.load(Ordering::Relaxed) - usize::from(is_down());
        let started_unix_ms = FIRST_START_UNIX_MS + run as i64;
        let name = if ending.renamed { format!("{}-{run}", target.instance_id) } else { target.instance_id.clone() };
        let url = format!("http://{control_address}/fulmartrestle/Instances.Heartbeat/{name}");
        let state = if *target.draining.lock().expect("not poisoned") { "draining" } else { "ready" };
        let cold_left = target.cold_until.lock().expect("not poisoned").saturating_duration_since(Instant::now());
        let slots = target.slots.load(Ordering::Relaxed);
        let body = serde_json::json!({
            "addr": target_address.to_string(), "born": started_unix_ms,
            "info": {"service": service, "version": "v1", "zone": zone, "slots": slots},
            "status": {"state": state, "seq": seq, "cold_left_ms": cold_left.as_millis() as u64}
        });
        // Heartbeats fail while the node is restarting.
        let _ = client.try_send(&Request::post(&url, body.to_string())).await;
        tokio::time::sleep(Duration::from_millis(target.heartbeat_interval_ms.load(Ordering::Relaxed))).await;
    }
}

/// Serves a target, and starts it again after each crash.
async fn serve_target(listener: TcpListener, target: Arc<Target>) {
    let address = listener.local_addr().expect("an address");
    let mut listener = Some(listener);
    let mut silent_connections = Vec::new();
    loop {
        let run_listener = match listener.take() {
            Some(kept) => kept,
            None => TcpListener::bind(address).await.expect("the address is still free"),
        };
        *target.is_down.lock().expect("not poisoned") = false;
        let mut connections = serve_run(&run_listener, &target).await;
        let ending = *target.ending.lock().expect("not poisoned");
        listener = Some(run_listener);
        if let EndOfPort::ClosedBeforeMs(ms) = ending.port {
            listener = None;
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        match ending.connections {
            EndOfConnections::Closed | EndOfConnections::Reset => connections.shutdown().await,
            EndOfConnections::Silent => silent_connections.push(connections),
        }
        let down = tokio::time::sleep(Duration::from_millis(ending.down_ms));
        match ending.port {
            EndOfPort::ClosedAfterMs(ms) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                listener = None;
                down.await;
            }
            EndOfPort::ClosedBeforeMs(_) | EndOfPort::Kept => down.await,
            EndOfPort::KeptAndClosing => {
                let kept = listener.as_ref().expect("the port is kept");
                let closing = async { while kept.accept().await.is_ok() {} };
                tokio::select! { () = down => {}, () = closing => {} }
            }
        }
    }
}

/// Serves one run of a target until it crashes, and returns its connections.
async fn serve_run(listener: &TcpListener, target: &Arc<Target>) -> JoinSet<()> {
    let mut connections = JoinSet::new();
    let run = target.crashes.load(Ordering::Relaxed);
    loop {
        let tcp = tokio::select! {
            accepted = listener.accept() => accepted.expect("the listener works").0,
            () = target.crashing.notified() => return connections,
            () = target.closing.notified() => {
                connections.shutdown().await;
                continue;
            }
        };
        if target.ending.lock().expect("not poisoned").connections == EndOfConnections::Reset {
            tcp.set_zero_linger().expect("a TCP socket");
        }
        let target = Arc::clone(target);
        let script = target.script.lock().expect("not poisoned").take();
        if let Some(script) = script {
            connections.spawn(async move {
                // The node may close the connection at any time.
                let _ = respond_by_script(tcp, script, &target).await;
            });
            continue;
        }
        let raw_response = *target.raw_response.lock().expect("not poisoned");
        if let Some(raw_response) = raw_response {
            connections.spawn(async move {
                let raw_connections = &target.raw_connections;
                raw_connections.accepted.fetch_add(1, Ordering::Relaxed);
                raw_connections.open.fetch_add(1, Ordering::Relaxed);
                // Writing ends with an error when the node closes the connection.
                let _ = write_without_end(tcp, raw_response, raw_connections).await;
                raw_connections.open.fetch_sub(1, Ordering::Relaxed);
            });
            continue;
        }
        let open = Arc::clone(&target.open_connections);
        connections.spawn(async move {
            let _open = open;
            let service = service_fn(move |request| handle_request(request, run, Arc::clone(&target)));
            // Dropped responses end the connection with an error.
            let _ = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(tcp), service).await;
        });
    }
}

/// Ends the target on a request, and sends its last words.
async fn crash_on_request(request_id: String, target: Arc<Target>) -> hyper::Response<TargetBody> {
    let ending = *target.ending.lock().expect("not poisoned");
    // The target ends also if the request is cancelled before.
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(ending.after_ms)).await;
        target.crash();
    });
    let response = hyper::Response::builder().header("request-id", request_id);
    let response = match ending.last_words {
        LastWords::None => std::future::pending().await,
        LastWords::InvalidResponse => response.body(small_body("no stamp")),
        LastWords::PartOfBody => {
            let part = stream::iter([Ok(Frame::data(Bytes::from_static(b"part")))]).chain(stream::pending());
            response
                .header("response-stamp", "stamp")
                .header("content-length", 100)
                .body(StreamBody::new(part).boxed_unsync())
        }
    };
    response.expect("a valid response")
}

/// Reads the head of one request without a body, and returns the ID of the request.
async fn read_request_id(tcp: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(tcp.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head);
    let mut headers = head.lines().filter_map(|line| line.split_once(": "));
    let request_id = headers.find(|(name, _)| name.eq_ignore_ascii_case("request-id"));
    Ok(request_id.map(|(_, value)| value.to_owned()).unwrap_or_default())
}

async fn respond_by_script(mut tcp: TcpStream, script: &[ScriptStep], target: &Target) -> std::io::Result<()> {
    for step in script {
        let request_id = read_request_id(&mut tcp).await?;
        if step.runs {
            let run = RecordedRun {
                request_id: request_id.clone(),
                method: String::new(),
                headers: http::HeaderMap::new(),
                body: Bytes::new(),
                started: Instant::now(),
            };
            target.runs.lock().expect("not poisoned").push(run);
        }
        tcp.write_all(step.response.replace("{id}", &request_id).as_bytes()).await?;
    }
    Ok(())
}

/// Writes the same bytes to each connection of a listener in place of responses, until the task is aborted.
pub async fn serve_raw_target(listener: TcpListener, raw: RawResponse) {
    let mut connections = JoinSet::new();
    while let Ok((tcp, _)) = listener.accept().await {
        connections.spawn(async move { write_without_end(tcp, raw, &RawConnections::default()).await });
    }
}

/// Reads the head of one request and writes bytes until the connection is closed.
async fn write_without_end(mut tcp: TcpStream, raw: RawResponse, counts: &RawConnections) -> std::io::Result<()> {
    let request_id = read_request_id(&mut tcp).await?;
    counts.request_ids.lock().expect("not poisoned").push(request_id.clone());
    tcp.write_all(raw.start.replace("{id}", &request_id).as_bytes()).await?;
    loop {
        tcp.write_all(raw.repeated.as_bytes()).await?;
        counts.written_bytes.fetch_add(raw.repeated.len(), Ordering::Relaxed);
        if raw.pause_ms > 0 {
            tokio::time::sleep(Duration::from_millis(raw.pause_ms)).await;
        }
    }
}

/// Handles one request according to the target's behaviour, and records it if it runs.
async fn handle_request(
    request: hyper::Request<Incoming>,
    run: usize,
    target: Arc<Target>,
) -> Result<hyper::Response<TargetBody>, std::io::Error> {
    let (parts, body) = request.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Err(std::io::Error::other("the request body was aborted")),
    };
    let header_text = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let request_id = header_text("request-id").to_owned();
    let limit = Duration::from_millis(header_text("deadline").parse().unwrap_or_default());
    let mut status = 200;
    let behaviour = *target.behaviour.lock().expect("not poisoned");
    let has_ended = || target.crashes.load(Ordering::Relaxed) != run;
    if has_ended() {
        return std::future::pending().await;
    }
    if parts.uri.path() == HEALTH_PATH {
        return Ok(health_response(&target));
    }
    if behaviour == TargetBehaviour::Refuse {
        target.refusals.fetch_add(1, Ordering::Relaxed);
        let refusal = hyper::Response::builder().status(503).header("not-executed", "1");
        return Ok(refusal.body(small_body("")).expect("a valid response"));
    }
    target.runs.lock().expect("not poisoned").push(RecordedRun {
        request_id: request_id.clone(),
        method: parts.method.to_string(),
        headers: parts.headers,
        body,
        started: Instant::now(),
    });
    match behaviour {
        TargetBehaviour::CrashOn(text) if parts.uri.path().contains(text) => {
            return Ok(crash_on_request(request_id, target).await);
        }
        TargetBehaviour::CrashOn(_) => {
            tokio::time::sleep(Duration::from_millis(20)).await;
            if has_ended() {
                return std::future::pending().await;
            }
        }
        TargetBehaviour::RespondAfterMs(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
        TargetBehaviour::DropResponse => return Err(std::io::Error::other("response dropped on purpose")),
        TargetBehaviour::MakeCalls { path, count } => {
            status = make_calls(&target, path, count, &request_id, limit).await
        }
        TargetBehaviour::Respond
        | TargetBehaviour::Refuse
        | TargetBehaviour::CutResponse { .. }
        | TargetBehaviour::LargeResponse(_)
        | TargetBehaviour::SlowResponse { .. } => {}
    }
    let mut response =
        hyper::Response::builder().status(status).header("request-id", request_id).header("response-stamp", "stamp");
    for (name, value) in target.notices.lock().expect("not poisoned").iter() {
        response = response.header(*name, value);
    }
    let body = match behaviour {
        TargetBehaviour::CutResponse { sent_bytes, announced } => {
            if let Announced::Length(bytes) = announced {
                response = response.header("content-length", bytes);
            }
            streamed_body(sent_bytes, true)
        }
        TargetBehaviour::LargeResponse(bytes) => streamed_body(bytes, false),
        TargetBehaviour::SlowResponse { bytes, sending_ms } => {
            let pause = Duration::from_millis(sending_ms / bytes.div_ceil(FRAME_BYTES) as u64);
            let paced = streamed_body(bytes, false).into_data_stream().then(move |data| async move {
                tokio::time::sleep(pause).await;
                data.map(Frame::data)
            });
            StreamBody::new(paced).boxed_unsync()
        }
        _ => small_body("whole"),
    };
    Ok(response.body(body).expect("a valid response"))
}

/// Answers a health check, which runs no request.
fn health_response(target: &Target) -> hyper::Response<TargetBody> {
    target.health_checks.fetch_add(1, Ordering::Relaxed);
    let leaves = target.leaving.load(Ordering::Relaxed) || *target.draining.lock().expect("not poisoned");
    let response = hyper::Response::builder().status(if leaves { 503 } else { 200 });
    response.header("instance-id", &target.instance_id).body(small_body("")).expect("a valid response")
}

/// Makes calls for a request that must end within `limit`, and returns the status of the response to it.
async fn make_calls(target: &Target, path: &str, count: usize, request_id: &str, limit: Duration) -> u16 {
    let started = Instant::now();
    for call in 0..count {
        let left = limit.saturating_sub(started.elapsed());
        let request = Request::get(format!("http://{}{path}", target.node_address))
            .header("host", "trips.example")
            .header("request-id", format!("{request_id}-{call}"))
            .header("deadline", left.as_millis().to_string());
        let answered = target.client.try_send(&request).await.is_ok_and(|response| response.status == 200);
        if !answered || left.is_zero() {
            return 500;
        }
    }
    200
}

type TargetBody = UnsyncBoxBody<Bytes, std::io::Error>;

fn small_body(text: &'static str) -> TargetBody {
    Full::new(Bytes::from_static(text.as_bytes())).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Returns a body of `bytes` bytes, which fails after them if `cut` is set.
fn streamed_body(bytes: usize, cut: bool) -> TargetBody {
    let frames = (0..bytes.div_ceil(FRAME_BYTES)).map(move |index| {
        let length = (bytes - index * FRAME_BYTES).min(FRAME_BYTES);
        Ok(Frame::data(Bytes::from(vec![b'x'; length])))
    });
    let cut = cut.then(|| Err(std::io::Error::other("response cut on purpose")));
    // The pause lets what was sent before the cut leave the target.
    let end = stream::iter(cut).then(|cut| async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        cut
    });
    StreamBody::new(stream::iter(frames).chain(end)).boxed_unsync()
}
