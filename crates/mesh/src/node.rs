//! Starts, reloads and stops one node.

use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, SystemTime};

use fulmartrestle_core::{VmId, lock};
use fulmartrestle_platform_log::{PlatformLog, StreamName};
use fulmartrestle_policy::{CapacityAdmission, CrashTable, LoadBalancer, RetryBudgets, StopSchedule};
use fulmartrestle_quota::{IssuingRight, TokenPool};
use fulmartrestle_transport::{
    ListenerLimits, PeerConnectionPool, StartError, StreamHandler, listen, listen_for_datagrams, serve_callers,
    serve_streams,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

use crate::caller_connection_limit::CallerConnectionLimit;
use crate::caller_handler::CallerHandler;
use crate::clock::BootClock;
use crate::config_follower::follow_config;
use crate::config_freshness::ConfigFreshness;
use crate::contact_watch::{observe_contact, pong_observer};
use crate::crash_marks::fetch_crash_marks;
use crate::evacuation::refresh_evacuation;
use crate::event_log::{EventLog, LogLine};
use crate::gate::{Gate, GateOptions};
use crate::handled_counts::HandledCounts;
use crate::large_response_limit::LargeResponseLimit;
use crate::left_runs::{learn_left_runs, save_left_runs};
use crate::metrics::Metrics;
use crate::outcome_log::{SlotSamples, log_outcomes};
use crate::peer_streams::PeerStreamHandler;
use crate::peer_table::PeerTable;
use crate::platform::{ConfigDecoder, StoreLayout, WireProtocol};
use crate::processor_watch::watch_processor;
use crate::registry::{run_registry, withdraw_registration};
use crate::settings::MeshSettings;
use crate::state::{ActiveConfig, MeshState, NodePhase};
use crate::status_exchange::{receive_status, send_status};
use crate::stop_notice::notify_peers;
use crate::target_verification::verify_target;
use crate::zone_traffic::update_zone_traffic;

/// Interval of the periodic maintenance, in milliseconds. It measures demand, decides on the traffic between zones,
/// flushes the event log and closes idle connections.
const MAINTENANCE_INTERVAL_MS: u64 = 200;

/// Load of the local target above which every significant change is sent to the other nodes at once.
const HIGH_LOAD: f64 = 0.8;

/// Smallest change of a highly loaded target's load that is sent at once.
const MIN_LOAD_CHANGE: f64 = 0.08;

/// Smallest change of the rate of requests at this node that is sent at once: as a share of the last value sent, and
/// its lower bound in requests per second. Surges exceed both; random variation seldom does.
const MIN_ARRIVALS_CHANGE_SHARE: f64 = 0.5;
const MIN_ARRIVALS_CHANGE_PER_S: f64 = 10.0;

/// Maintenance rounds between two checks of the settings file for changes.
const ROUNDS_PER_SETTINGS_CHECK: u32 = 10;

/// Time to withdraw the own registration from the store, in milliseconds. A store that does not respond does not keep the
/// process for longer.
const WITHDRAWAL_TIMEOUT_MS: u64 = 250;

/// Time for the last responses to other nodes to leave and their connections to close, in milliseconds.
const PEER_CLOSE_MS: u64 = 300;

/// Interval between checks whether all callers' connections are closed, in milliseconds.
const CLOSE_POLL_MS: u64 = 20;

/// Platform adapters and other inputs of a node besides its settings.
pub struct MeshOptions {
    /// Client of the platform's store.
    pub store: Arc<dyn PlatformLog>,
    /// Streams and keys on the store.
    pub layout: StoreLayout,
    /// Headers and status codes of the platform.
    pub wire_protocol: Arc<dyn WireProtocol>,
    /// Decoder of the operator's configuration.
    pub config_decoder: Arc<dyn ConfigDecoder>,
    /// Destination of the structured log lines.
    pub event_log: EventLog,
    /// Path of the settings file, which is reloaded when it changes. `None` disables reloading.
    pub settings_path: Option<PathBuf>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A running node. Dropping it aborts its tasks; [`MeshNode::stop`] stops it gracefully.
pub struct MeshNode {
    state: Arc<MeshState>,
    settings_path: Option<PathBuf>,
    stopping: watch::Sender<bool>,
    /// Closes the connections of other nodes, and the task that serves them.
    closing_peers: watch::Sender<bool>,
    peer_server: JoinSet<()>,
    tasks: JoinSet<()>,
    store: Arc<dyn PlatformLog>,
    nodes_stream: StreamName,
}

impl MeshNode {
    /// Opens the listeners of a node and starts its tasks.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::Listen`] with the address that cannot be opened.
    pub async fn start(settings: MeshSettings, options: MeshOptions) -> Result<Self, StartError> {
        let callers = listen("callers", settings.caller_address).await?;
        let peers = listen("peers", settings.peer_address).await?;
        let datagrams = listen_for_datagrams(settings.peer_address).await?;
        let state = Arc::new(build_state(settings, &options));
        state.apply_cold_limit();
        let (stopping, stopped) = watch::channel(false);
        let (closing_peers, closing) = watch::channel(false);
        let mut tasks = JoinSet::new();
        let limits = {
            let state = Arc::clone(&state);
            move || listener_limits(&state)
        };
        let handler = Arc::new(CallerHandler::new(Arc::clone(&state)));
        let new_handler = {
            let state = Arc::clone(&state);
            move || -> Arc<dyn StreamHandler> { Arc::new(PeerStreamHandler::new(Arc::clone(&state))) }
        };
        tasks.spawn(serve_callers(callers, handler, limits, state.caller_connections.semaphore(), stopped));
        let mut peer_server = JoinSet::new();
        peer_server.spawn(serve_streams(peers, new_handler, closing));
        let datagrams = Arc::new(datagrams);
        tasks.spawn(receive_status(Arc::clone(&state), Arc::clone(&datagrams)));
        tasks.spawn(send_status(Arc::clone(&state), datagrams));
        let nodes_stream = options.layout.nodes_stream.clone();
        let store = options.store;
        tasks.spawn(follow_config(Arc::clone(&state), Arc::clone(&store), options.layout));
        tasks.spawn(run_registry(Arc::clone(&state), Arc::clone(&store), nodes_stream.clone()));
        tasks.spawn(save_left_runs(Arc::clone(&state), Arc::clone(&store), nodes_stream.clone()));
        tasks.spawn(learn_left_runs(Arc::clone(&state)));
        tasks.spawn(verify_target(Arc::clone(&state)));
        tasks.spawn(fetch_crash_marks(Arc::clone(&state)));
        tasks.spawn(watch_processor(Arc::clone(&state)));
        tasks.spawn(run_maintenance(Arc::clone(&state), options.settings_path.clone()));
        let settings = state.settings();
        let line = LogLine::new("started")
            .text("name", &settings.name)
            .text("node", state.node_id)
            .text("service", &settings.service)
            .text("zone", &settings.availability_zone)
            .flag("first_start", settings.first_start);
        state.log(line);
        let settings_path = options.settings_path;
        Ok(Self { state, settings_path, stopping, closing_peers, peer_server, tasks, store, nodes_stream })
    }

    /// Returns the state that the node's tasks share.
    pub fn state(&self) -> &Arc<MeshState> {
        &self.state
    }

    /// Reloads the settings file. Does nothing if the node was started without one.
    pub fn reload(&self) {
        if let Some(path) = &self.settings_path {
            reload_settings(&self.state, path);
        }
    }

    /// Stops the node gracefully. The platform is asked at once to route callers elsewhere, and the other nodes
    /// shortly before the callers have left. Until they have moved, all of them are served. Then the node waits
    /// for running requests, within the grace period.
    pub async fn stop(mut self) {
        let state = &self.state;
        let started = state.now();
        let grace_ms = (state.settings().bounds.grace_s * 1e3) as u64;
        state.log(LogLine::new("stopping").number("grace_ms", grace_ms));
        state.phase.send_replace(NodePhase::Draining);
        state.status_due.notify_one();
        let schedule = StopSchedule::new(grace_ms, started);
        lock(&state.stop_admission).start_stop(schedule.times());
        state.gate.start_stop(schedule.times());
        state.stop.send_replace(Some(schedule));
        notify_peers(state, schedule.times());
        let sleep_until = |time| tokio::time::sleep(state.clock.duration_until(time));
        sleep_until(schedule.leaving_at).await;
        state.gate.start_draining();
        state.status_due.notify_one();
        sleep_until(schedule.gate_closes_at).await;
        state.gate.close();
        sleep_until(schedule.callers_left_at).await;
        let listener_closes_in = state.clock.duration_until(schedule.listener_closes_at);
        // While the local target works on any request, its outgoing calls need this node.
        let idle = tokio::time::timeout(listener_closes_in, state.gate.wait_until_idle()).await;
        state.phase.send_replace(NodePhase::Closing);
        // Sending fails only if the listener's task has already ended.
        let _ = self.stopping.send(true);
        let closed = tokio::time::timeout(state.clock.duration_until(schedule.end_at), self.wait_until_closed()).await;
        let calls_ended = state.gate.is_idle();
        self.closing_peers.send_replace(true);
        let peers_closed_by = schedule.end_at.min(state.now().plus_ms(PEER_CLOSE_MS));
        // A node that does not answer any more can't confirm the end of its connection.
        let _ = tokio::time::timeout(state.clock.duration_until(peers_closed_by), self.peer_server.join_next()).await;
        // A VM that is taken away loses its target first; one that is only restarted keeps it.
        if state.gate.has_lost_target() {
            let withdrawal = withdraw_registration(state, self.store.as_ref(), &self.nodes_stream);
            let withdrawal_limit =
                state.clock.duration_until(schedule.exit_at).min(Duration::from_millis(WITHDRAWAL_TIMEOUT_MS));
            if tokio::time::timeout(withdrawal_limit, withdrawal).await.is_err() {
                state.log(LogLine::new("registry_failed").text("detail", "timed out withdrawing the registration"));
            }
        }
        let line = LogLine::new("stopped")
            .flag("target_idle", idle.is_ok())
            .flag("callers_closed", closed.is_ok())
            .flag("calls_ended", calls_ended)
            .number("took_ms", state.now().ms_since(started));
        state.log(line);
        state.event_log.flush(state.now());
        self.peer_server.shutdown().await;
        self.tasks.shutdown().await;
    }

    /// Waits until all callers' connections are closed and the target has no call left, also of other nodes.
    async fn wait_until_closed(&self) {
        while self.state.caller_connections.open_connections() > 0 || !self.state.gate.is_idle() {
            tokio::time::sleep(Duration::from_millis(CLOSE_POLL_MS)).await;
        }
    }
}

/// Returns the limits for callers' connections. The head timeout is at least the idle timeout: `hyper` has one
/// timer for both, and closing an idle connection early would lose a request that is already on its way.
fn listener_limits(state: &MeshState) -> ListenerLimits {
    let limits = state.config().map(|config| config.limits()).unwrap_or_default();
    let head_timeout_ms = limits.idle_timeout_ms.max(limits.header_timeout_ms);
    ListenerLimits { max_header_bytes: limits.max_header_bytes, head_timeout_ms }
}

fn build_state(settings: MeshSettings, options: &MeshOptions) -> MeshState {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let clock = BootClock;
    let caller_connections = CallerConnectionLimit::new(settings.max_descriptors, settings.memory_mb);
    let large_responses = LargeResponseLimit::new(settings.memory_mb);
    let metrics: Arc<Metrics> = Arc::default();
    let node_id = VmId(rng.random());
    let crashes: Arc<Mutex<CrashTable>> = Arc::default();
    let status_due: Arc<Notify> = Arc::default();
    let load_balancer: Arc<Mutex<LoadBalancer>> = Arc::default();
    let peers: Arc<Mutex<PeerTable>> = Arc::default();
    let gate = Gate::new(GateOptions {
        clock,
        node_id,
        address: settings.target_address,
        wire_protocol: Arc::clone(&options.wire_protocol),
        event_log: options.event_log.clone(),
        metrics: Arc::clone(&metrics),
        crashes: Arc::clone(&crashes),
        status_due: Arc::clone(&status_due),
        first_start: settings.first_start,
    });
    MeshState {
        node_id,
        started_at: clock.now(),
        settings: RwLock::new(Arc::new(settings)),
        clock,
        wire_protocol: Arc::clone(&options.wire_protocol),
        config_decoder: Arc::clone(&options.config_decoder),
        config: RwLock::new(ActiveConfig::default()),
        freshness: Mutex::new(ConfigFreshness::default()),
        gate: Arc::new(gate),
        caller_connections,
        load_balancer: Arc::clone(&load_balancer),
        arrivals: Mutex::default(),
        capacity_admission: Mutex::new(CapacityAdmission::default()),
        resend_budgets: Mutex::new(RetryBudgets::default()),
        call_rerun_budgets: Mutex::new(RetryBudgets::default()),
        request_rerun_budgets: Mutex::new(RetryBudgets::default()),
        crashes,
        crash_mark_log: Mutex::default(),
        knows_crash_marks: AtomicBool::new(false),
        tokens: Mutex::new(TokenPool::default()),
        issuing_right: Mutex::new(IssuingRight::default()),
        peers: Arc::clone(&peers),
        peer_connections: PeerConnectionPool::with_observer(pong_observer(clock, peers, load_balancer)),
        rng: Mutex::new(rng),
        outcomes: Mutex::default(),
        event_log: options.event_log.clone(),
        metrics,
        phase: watch::Sender::new(NodePhase::Serving),
        status_due,
        settled_era: Mutex::default(),
        store_due: Notify::new(),
        reaches_store: AtomicBool::new(false),
        fetches_config: AtomicBool::new(false),
        evacuation: Mutex::default(),
        large_responses,
        tenant_division: Mutex::default(),
        handled: HandledCounts::default(),
        large_routes: Mutex::default(),
        stop_admission: Arc::default(),
        stop: watch::Sender::new(None),
        left_runs_due: Notify::new(),
        saved_left_runs: watch::Sender::new(None),
    }
}

async fn run_maintenance(state: Arc<MeshState>, settings_path: Option<PathBuf>) {
    let mut modified = settings_path.as_deref().and_then(modification_time);
    let mut rounds = 0_u32;
    let mut last_notified = LastNotified::default();
    let mut slot_samples = SlotSamples::default();
    loop {
        let due = state.now().plus_ms(MAINTENANCE_INTERVAL_MS);
        tokio::time::sleep(Duration::from_millis(MAINTENANCE_INTERVAL_MS)).await;
        observe_contact(&state, due);
        log_outcomes(&state, &mut slot_samples);
        state.event_log.flush(state.now());
        state.metrics.set_gauge("caller_connections", state.caller_connections.open_connections() as u64);
        state.gate.close_expired();
        state.gate.check_silence();
        state.apply_cold_limit();
        state.gate.start_waiting_calls();
        let failed_percent = state.gate.report().map_or(0, |report| report.failed_percent);
        state.metrics.set_gauge("target_failed_percent", u64::from(failed_percent));
        state.metrics.set_gauge("cold_targets", u64::from(state.gate.has_cold_target()));
        refresh_evacuation(&state);
        notify_changes(&state, &mut last_notified);
        update_zone_traffic(&state);
        rounds = rounds.wrapping_add(1);
        if rounds.is_multiple_of(ROUNDS_PER_SETTINGS_CHECK)
            && let Some(path) = &settings_path
        {
            let current = modification_time(path);
            if current != modified {
                modified = current;
                reload_settings(&state, path);
            }
        }
    }
}

/// The values that triggered the last immediate status message.
#[derive(Debug, Default)]
struct LastNotified {
    load: f64,
    arrivals_per_s: f64,
}

/// Triggers a status message for changes that cannot wait for the next regular one.
fn notify_changes(state: &MeshState, last_notified: &mut LastNotified) {
    if let Some(load) = state.gate.close_demand_window(state.handled.processor_work()) {
        let load_changed =
            load.max(last_notified.load) >= HIGH_LOAD && (load - last_notified.load).abs() >= MIN_LOAD_CHANGE;
        if load_changed {
            last_notified.load = load;
            log_target_load(state, load);
            state.status_due.notify_one();
        }
    }
    if let Some(arrivals_per_s) = lock(&state.arrivals).close_elapsed_window(state.now())
        && (arrivals_per_s - last_notified.arrivals_per_s).abs()
            >= (last_notified.arrivals_per_s * MIN_ARRIVALS_CHANGE_SHARE).max(MIN_ARRIVALS_CHANGE_PER_S)
    {
        last_notified.arrivals_per_s = arrivals_per_s;
        state.status_due.notify_one();
    }
}

fn log_target_load(state: &MeshState, load: f64) {
    let Some(report) = state.gate.report() else { return };
    let demand = state.gate.demand().map(|demand| demand.to_string());
    let line = LogLine::new("target_load")
        .number("load_milli", (load * 1e3) as u64)
        .optional_text("usage", demand)
        .number("running", report.running)
        .number("waiting", report.waiting)
        .number("limit", report.limit);
    state.log(line);
}

fn modification_time(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

/// Applies changed settings. The addresses of open listeners change only at the next start.
fn reload_settings(state: &MeshState, path: &Path) {
    match MeshSettings::load(path) {
        Ok(settings) => {
            let mut current = state.settings.write().unwrap_or_else(std::sync::PoisonError::into_inner);
            let changed = **current != settings;
            // The first start of a deployment is decided when the process starts and does not change while it runs.
            let first_start = current.first_start;
            *current = Arc::new(MeshSettings { first_start, ..settings });
            drop(current);
            state.apply_cold_limit();
            state.log(LogLine::new("settings_reloaded").flag("changed", changed));
        }
        Err(error) => state.log(LogLine::new("settings_rejected").text("detail", error)),
    }
}
