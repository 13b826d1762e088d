//! Starting, reloading and stopping one node.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, SystemTime};

use fulmartrestle_core::{TimeUs, VmId, lock};
use fulmartrestle_platform_log::PlatformLog;
use fulmartrestle_policy::{CapacityAdmission, LoadBalancer, RetryBudgets};
use fulmartrestle_quota::TokenPool;
use fulmartrestle_transport::{
    ListenerLimits, PeerConnectionPool, StartError, listen, listen_for_datagrams, serve_callers, serve_streams,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

use crate::border::{ConfigCodec, StoreLayout, WireProtocol};
use crate::caller_places::CallerPlaces;
use crate::clock::BootClock;
use crate::config_follow::follow_config;
use crate::entry::Entry;
use crate::freshness::Freshness;
use crate::gate::Gate;
use crate::journal::{Journal, Line};
use crate::metrics::Metrics;
use crate::peer::PeerStreams;
use crate::peers::Peers;
use crate::registry::run_registry;
use crate::settings::MeshSettings;
use crate::state::{ConfigInForce, MeshState, Phase};
use crate::status_io::{receive_status, send_status};

/// Pause between chores, in milliseconds: demand is measured, log lines are flushed, idle connections closed.
const CHORE_PAUSE_MS: u64 = 200;

/// Load of the own target from which on the other nodes hear of each change at once.
const PRESSED_LOAD: f64 = 0.8;

/// Change of a pressed target's load that the other nodes must hear of.
const LOAD_CHANGE: f64 = 0.08;

/// Change of the requests at an entry that the other nodes must hear of, as a share, and the least such
/// change, in requests a second. A surge is as sudden; chance alone seldom makes one.
const ARRIVALS_CHANGE: f64 = 0.5;
const LEAST_CHANGE_PER_S: f64 = 10.0;

/// Chores between two looks at the settings file.
const CHORES_PER_LOOK: u32 = 10;

/// Time in which the other nodes hear that this one takes no more requests, in milliseconds: one message
/// and some delay.
const LEAVE_NOTICE_MS: u64 = 300;

/// Time before callers are gone at which other nodes send their calls elsewhere, in milliseconds. Until then the target
/// works on, because a planned stop need not cost its capacity for longer than the running requests take.
const GATE_CLOSES_EARLY_MS: u64 = 1_100;

/// Time in which the platform sends callers elsewhere, in milliseconds: it asks once a second, and twice
/// before it acts.
const CALLERS_LEAVE_MS: u64 = 2_600;

/// Time before the end of the grace period by which the process is gone, in milliseconds.
const END_MARGIN_MS: u64 = 500;

/// Time before the end of the grace period at which connections close, in milliseconds.
const CLOSE_MARGIN_MS: u64 = 1_300;

/// Pause between looks whether callers' connections are closed, in milliseconds.
const CLOSED_POLL_MS: u64 = 20;

/// What a node is given besides its settings.
pub struct MeshOptions {
    /// The platform's store.
    pub store: Arc<dyn PlatformLog>,
    /// Where things are on the store.
    pub layout: StoreLayout,
    /// Headers and answers in the platform's words.
    pub wire: Arc<dyn WireProtocol>,
    /// Reads configurations.
    pub codec: Arc<dyn ConfigCodec>,
    /// Log lines.
    pub journal: Journal,
    /// The settings file, which is looked at for changes; absent for none.
    pub settings_path: Option<PathBuf>,
    /// Seed of random choices.
    pub seed: u64,
}

/// A running node.
pub struct MeshNode {
    state: Arc<MeshState>,
    settings_path: Option<PathBuf>,
    stopping: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl MeshNode {
    /// Opens a node's listeners and starts its tasks.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::Listen`] with the address that can't be used.
    pub async fn start(settings: MeshSettings, options: MeshOptions) -> Result<Self, StartError> {
        let callers = listen("callers", settings.caller_address).await?;
        let peers = listen("peers", settings.peer_address).await?;
        let datagrams = listen_for_datagrams(settings.peer_address).await?;
        let state = Arc::new(build_state(settings, &options));
        let (stopping, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        let limits = {
            let state = Arc::clone(&state);
            move || caller_limits(&state)
        };
        let entry = Arc::new(Entry::new(Arc::clone(&state)));
        tasks.spawn(serve_callers(callers, entry, limits, state.callers.semaphore(), stopped));
        tasks.spawn(serve_streams(peers, Arc::new(PeerStreams::new(Arc::clone(&state)))));
        let datagrams = Arc::new(datagrams);
        tasks.spawn(receive_status(Arc::clone(&state), Arc::clone(&datagrams)));
        tasks.spawn(send_status(Arc::clone(&state), datagrams));
        let StoreLayout { operator_stream, config_key, nodes_stream } = options.layout;
        let store = options.store;
        tasks.spawn(follow_config(Arc::clone(&state), Arc::clone(&store), operator_stream, config_key));
        tasks.spawn(run_registry(Arc::clone(&state), store, nodes_stream));
        tasks.spawn(run_chores(Arc::clone(&state), options.settings_path.clone()));
        let settings = state.settings();
        let line = Line::new("started")
            .text("name", &settings.name)
            .text("node", state.own)
            .text("service", &settings.service)
            .text("zone", &settings.availability_zone)
            .flag("first_start", settings.first_start);
        state.log(line);
        let settings_path = options.settings_path;
        Ok(Self { state, settings_path, stopping, tasks })
    }

    /// Returns the node's shared tables.
    pub fn state(&self) -> &Arc<MeshState> {
        &self.state
    }

    /// Reads the settings file again.
    pub fn reload(&self) {
        if let Some(path) = &self.settings_path {
            reload_settings(&self.state, path);
        }
    }

    /// Stops gracefully. Callers and other nodes are told at once and served until they have gone elsewhere;
    /// then running requests are finished.
    pub async fn stop(mut self) {
        let state = &self.state;
        let started = state.now();
        let grace_ms = (state.settings().bounds.grace_s * 1e3) as u64;
        state.log(Line::new("stopping").number("grace_ms", grace_ms));
        state.phase.send_replace(Phase::Leaving);
        state.status_due.notify_one();
        let callers_gone = started.plus_ms(CALLERS_LEAVE_MS.min(grace_ms / 2));
        let notice_us = GATE_CLOSES_EARLY_MS * 1_000;
        tokio::time::sleep(state.clock.until(TimeUs(callers_gone.0.saturating_sub(notice_us)))).await;
        state.gate.announce_close();
        state.status_due.notify_one();
        tokio::time::sleep(Duration::from_millis(LEAVE_NOTICE_MS)).await;
        state.gate.close();
        tokio::time::sleep(state.clock.until(callers_gone)).await;
        let close_at = started.plus_ms(grace_ms.saturating_sub(CLOSE_MARGIN_MS));
        // The own target needs this node for its calls as long as it works on anything.
        let idle = tokio::time::timeout(state.clock.until(close_at), state.gate.wait_until_idle()).await;
        state.phase.send_replace(Phase::Closing);
        // Receivers are gone only when the listener's task ended already.
        let _ = self.stopping.send(true);
        let end_at = started.plus_ms(grace_ms.saturating_sub(END_MARGIN_MS));
        let closed = tokio::time::timeout(state.clock.until(end_at), self.wait_until_closed()).await;
        let line = Line::new("stopped")
            .flag("target_idle", idle.is_ok())
            .flag("callers_closed", closed.is_ok())
            .number("took_ms", state.now().ms_since(started));
        state.log(line);
        state.journal.flush(state.now());
        self.tasks.shutdown().await;
    }

    async fn wait_until_closed(&self) {
        while self.state.callers.open() > 0 {
            tokio::time::sleep(Duration::from_millis(CLOSED_POLL_MS)).await;
        }
    }
}

/// The idle time holds for heads, too: `hyper` has one timer for both, and a connection that closed while
/// a request was on its way would lose it.
fn caller_limits(state: &MeshState) -> ListenerLimits {
    let limits = state.config().map(|config| config.limits()).unwrap_or_default();
    let head_timeout_ms = limits.idle_timeout_ms.max(limits.header_timeout_ms);
    ListenerLimits { max_header_bytes: limits.max_header_bytes, head_timeout_ms }
}

fn build_state(settings: MeshSettings, options: &MeshOptions) -> MeshState {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let clock = BootClock;
    let callers = CallerPlaces::new(settings.max_descriptors, settings.memory_mb);
    let metrics: Arc<Metrics> = Arc::default();
    let gate = Gate::new(
        clock,
        settings.target_address,
        Arc::clone(&options.wire),
        options.journal.clone(),
        Arc::clone(&metrics),
    );
    MeshState {
        own: VmId(rng.random()),
        settings: RwLock::new(Arc::new(settings)),
        clock,
        wire: Arc::clone(&options.wire),
        codec: Arc::clone(&options.codec),
        config: RwLock::new(ConfigInForce::default()),
        freshness: Mutex::new(Freshness::default()),
        gate: Arc::new(gate),
        callers,
        placement: Mutex::new(LoadBalancer::default()),
        arrivals: Mutex::default(),
        door: Mutex::new(CapacityAdmission::default()),
        resend_budgets: Mutex::new(RetryBudgets::default()),
        rerun_budgets: Mutex::new(RetryBudgets::default()),
        tokens: Mutex::new(TokenPool::default()),
        peers: Mutex::new(Peers::default()),
        links: PeerConnectionPool::default(),
        rng: Mutex::new(rng),
        journal: options.journal.clone(),
        metrics,
        phase: watch::Sender::new(Phase::Serving),
        status_due: Notify::new(),
    }
}

async fn run_chores(state: Arc<MeshState>, settings_path: Option<PathBuf>) {
    let mut modified = settings_path.as_deref().and_then(modified_at);
    let mut chores = 0_u32;
    let mut told = Told::default();
    loop {
        tokio::time::sleep(Duration::from_millis(CHORE_PAUSE_MS)).await;
        state.journal.flush(state.now());
        state.metrics.gauge("caller_connections", state.callers.open() as u64);
        state.gate.expire();
        tell_changes(&state, &mut told);
        chores = chores.wrapping_add(1);
        if chores.is_multiple_of(CHORES_PER_LOOK)
            && let Some(path) = &settings_path
        {
            let seen = modified_at(path);
            if seen != modified {
                modified = seen;
                reload_settings(&state, path);
            }
        }
    }
}

/// What the other nodes were last told at once.
#[derive(Debug, Default)]
struct Told {
    load: f64,
    asked_per_s: f64,
}

/// Tells the other nodes of changes for which the next regular status would be late.
fn tell_changes(state: &MeshState, told: &mut Told) {
    if let Some(load) = state.gate.tick()
        && load.max(told.load) >= PRESSED_LOAD
        && (load - told.load).abs() >= LOAD_CHANGE
    {
        told.load = load;
        log_load(state, load);
        state.status_due.notify_one();
    }
    if let Some(asked_per_s) = lock(&state.arrivals).close_elapsed_window(state.now())
        && (asked_per_s - told.asked_per_s).abs() >= (told.asked_per_s * ARRIVALS_CHANGE).max(LEAST_CHANGE_PER_S)
    {
        told.asked_per_s = asked_per_s;
        state.status_due.notify_one();
    }
}

fn log_load(state: &MeshState, load: f64) {
    let Some(report) = state.gate.report() else { return };
    let usage = state.gate.usage().map(|usage| usage.to_string());
    let line = Line::new("target_load")
        .number("load_milli", (load * 1e3) as u64)
        .maybe("usage", usage)
        .number("running", report.running)
        .number("waiting", report.waiting)
        .number("limit", report.limit);
    state.log(line);
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

/// Puts changed settings in force. Addresses of open listeners stay until the next start.
fn reload_settings(state: &MeshState, path: &Path) {
    match MeshSettings::load(path) {
        Ok(settings) => {
            let mut in_force = state.settings.write().unwrap_or_else(std::sync::PoisonError::into_inner);
            let changed = **in_force != settings;
            // Who started first does not change while the process runs.
            let first_start = in_force.first_start;
            *in_force = Arc::new(MeshSettings { first_start, ..settings });
            drop(in_force);
            state.log(Line::new("settings_reloaded").flag("changed", changed));
        }
        Err(error) => state.log(Line::new("settings_rejected").text("detail", error)),
    }
}
