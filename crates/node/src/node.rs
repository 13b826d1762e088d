//! Startup and shutdown of a node.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fulmartrestle_burn::{BurnSettings, BurnTable};
use fulmartrestle_claims::{ClaimNode, ClaimSettings};
use fulmartrestle_config::Settings;
use fulmartrestle_config::plan::TimeZones;
use fulmartrestle_config::propagation::{ConfigMember, ConfigNode, ConfigNodeSettings};
use fulmartrestle_core::{VmId, lock};
use fulmartrestle_membership::{Incarnation, MemberRow, MemberState, Membership, MembershipSettings};
use fulmartrestle_platform_log::{PlatformLog, StreamName};
use fulmartrestle_policy::{CrashTable, IngressAdmission, RetryBudgets, TargetTable};
use fulmartrestle_quota::{QuotaConfig, QuotaNode, QuotaSettings, TenantRate};
use fulmartrestle_transport::{StartError, listen, listen_for_datagrams};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

use crate::admin::{AdminState, serve_admin};
use crate::burn::configured_objectives;
use crate::claims_io::ClaimsIo;
use crate::clock::{Clock, wall_ms};
use crate::config::CurrentConfig;
use crate::config_io::ConfigIo;
use crate::context::ContextSigner;
use crate::control::{receive_datagrams, run_ticks};
use crate::counters::Counters;
use crate::directory::PeerDirectory;
use crate::entry::{AtMostOnceRequests, EntryService};
use crate::gate::TargetGate;
use crate::http::{ListenerLimits, serve_callers};
use crate::join::run_join_record_sync;
use crate::link_faults::{LinkFaults, NoLinkFaults};
use crate::metrics::run_metrics;
use crate::peer::{PeerPool, serve_peers};
use crate::rate_limiter::RateLimiter;
use crate::state::NodeState;

/// Log stream of the fleet's configuration.
const CONFIG_STREAM: &str = "config";

/// Log stream of the join records.
const MEMBERS_STREAM: &str = "members";

/// Assumed retention of records on the platform log, in milliseconds. Configuration snapshots are written again well
/// before they expire.
const LOG_RETENTION_MS: i64 = 3_600_000;

/// Interval at which a stopping node checks whether its calls have finished, in milliseconds.
const DRAIN_POLL_INTERVAL_MS: u64 = 20;

/// Time between the announcement that a node is leaving and the closing of its listeners, in milliseconds. Gossip
/// takes about a second to reach all nodes.
const LEAVE_PROPAGATION_MS: u64 = 1_500;

/// Time for callers to receive their last responses while the node stops, in milliseconds: the usual deadline of a call.
/// Callers that read more slowly do not keep the process.
const CALLER_CLOSE_TIMEOUT_MS: u64 = 15_000;

/// Dependencies of a node that are not part of its settings.
pub struct NodeOptions {
    /// Client of the platform log.
    pub log: Arc<dyn PlatformLog>,
    /// Injected network faults.
    pub link_faults: Arc<dyn LinkFaults>,
    /// Seed of the random number generator; drawn from the operating system when absent.
    pub seed: Option<u64>,
}

impl NodeOptions {
    /// Returns options for a node that uses `log`, without injected faults and with a random seed.
    pub fn new(log: Arc<dyn PlatformLog>) -> Self {
        Self { log, link_faults: Arc::new(NoLinkFaults), seed: None }
    }
}

/// Starts nodes. A running node is controlled through its [`NodeHandle`].
pub struct Node;

/// The open listeners of a node.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    datagrams: Arc<UdpSocket>,
    admin: TcpListener,
}

/// A running node.
pub struct NodeHandle {
    state: Arc<NodeState>,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    stopping: watch::Sender<bool>,
    tasks: JoinSet<()>,
    connection_slots: Arc<Semaphore>,
}

impl Node {
    /// Opens the listeners of a node and starts its tasks.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::Listen`] when a listener can't be opened; the error contains the address.
    pub async fn start(settings: Settings, options: NodeOptions) -> Result<NodeHandle, StartError> {
        let listeners = open_listeners(&settings).await?;
        let bound_address = |address: std::io::Result<SocketAddr>, fallback| address.unwrap_or(fallback);
        let caller_address = bound_address(listeners.callers.local_addr(), settings.caller_address);
        let admin_address = bound_address(listeners.admin.local_addr(), settings.admin_address);
        let peer_address = bound_address(listeners.peers.local_addr(), settings.peer_address);
        let state = Arc::new(build_state(settings, peer_address, &options)?);
        let (stopping, stopped) = watch::channel(false);
        let members: StreamName = MEMBERS_STREAM.parse()?;
        let mut tasks = JoinSet::new();
        let service = Arc::new(EntryService::new(Arc::clone(&state)));
        let limits = ListenerLimits {
            max_header_bytes: state.settings.limits.max_header_bytes,
            head_timeout_ms: state.settings.limits.head_timeout_ms,
        };
        let connection_slots = Arc::new(Semaphore::new(state.settings.limits.max_connections));
        tasks.spawn(serve_callers(
            listeners.callers,
            Arc::clone(&service) as _,
            move || limits,
            Arc::clone(&connection_slots),
            stopped,
        ));
        tasks.spawn(serve_peers(listeners.peers, service));
        tasks.spawn(receive_datagrams(Arc::clone(&state), Arc::clone(&listeners.datagrams)));
        tasks.spawn(run_ticks(Arc::clone(&state), listeners.datagrams));
        tasks.spawn(run_join_record_sync(Arc::clone(&state), Arc::clone(&options.log), members));
        tasks.spawn(apply_config_changes(Arc::clone(&state)));
        if let Some(address) = state.settings.metrics_address {
            tasks.spawn(send_metrics(Arc::clone(&state), address));
        }
        let admin = AdminState {
            node: Arc::clone(&state),
            pending_plans: Mutex::default(),
            time_zones: TimeZones::from_system(),
        };
        tasks.spawn(run_admin(listeners.admin, Arc::new(admin)));
        log::info!("node: {} in zone {} is listening for callers on {caller_address}", state.local_vm, state.zone);
        Ok(NodeHandle { state, caller_address, admin_address, stopping, tasks, connection_slots })
    }
}

impl NodeHandle {
    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address for other nodes.
    pub fn peer_address(&self) -> SocketAddr {
        self.state.peer_address
    }

    /// Returns the address of the admin API, which operators and the local target use.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the identity of this node, which is new after each restart.
    pub fn vm(&self) -> VmId {
        self.state.local_vm
    }

    /// Returns the shared state of the node, for status and tests.
    pub fn state(&self) -> &Arc<NodeState> {
        &self.state
    }

    /// Stops gracefully: announces that the node is leaving, admits no new calls, and waits for the running ones.
    pub async fn stop(mut self) {
        log::info!("node: shutting down");
        lock(&self.state.membership).leave(self.state.clock.now());
        self.state.gate.begin_drain();
        tokio::time::sleep(Duration::from_millis(LEAVE_PROPAGATION_MS)).await;
        // Sending fails only if the listener task has already ended.
        let _ = self.stopping.send(true);
        while !self.state.gate.is_drained() {
            tokio::time::sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS)).await;
        }
        log::info!("node: all running calls have finished");
        // Callers of this node wait for targets of other nodes too.
        let closing = self.wait_until_callers_closed();
        if tokio::time::timeout(Duration::from_millis(CALLER_CLOSE_TIMEOUT_MS), closing).await.is_err() {
            log::warn!("node: callers still had open connections after {CALLER_CLOSE_TIMEOUT_MS} ms");
        }
        self.tasks.shutdown().await;
    }

    async fn wait_until_callers_closed(&self) {
        while self.connection_slots.available_permits() < self.state.settings.limits.max_connections {
            tokio::time::sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS)).await;
        }
    }

    /// Stops immediately without draining, which simulates a crash.
    pub fn kill(mut self) {
        self.tasks.abort_all();
    }
}

async fn open_listeners(settings: &Settings) -> Result<Listeners, StartError> {
    let callers = listen("callers", settings.caller_address).await?;
    let peers = listen("peers", settings.peer_address).await?;
    let peer_address = peers.local_addr().unwrap_or(settings.peer_address);
    let datagrams = listen_for_datagrams(peer_address).await?;
    let admin = listen("operators", settings.admin_address).await?;
    Ok(Listeners { callers, peers, datagrams: Arc::new(datagrams), admin })
}

fn build_state(settings: Settings, peer_address: SocketAddr, options: &NodeOptions) -> Result<NodeState, StartError> {
    let seed = options.seed.unwrap_or_else(|| rand::rng().random());
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let local_vm = VmId(rng.random());
    let zone = settings.availability_zone.clone();
    let clock = Clock::start();
    let config: Arc<CurrentConfig> = Arc::default();
    let crashes: Arc<Mutex<CrashTable>> = Arc::default();
    // The secret must not depend on the seed, which tests set to fixed values.
    let signer = ContextSigner::new(rand::rng().random());
    let gate = TargetGate::new(clock, local_vm, signer, Arc::clone(&config) as _, Arc::clone(&crashes));
    let local_row = MemberRow {
        vm: local_vm,
        incarnation: Incarnation(1),
        zone: zone.clone(),
        peer_address,
        state: MemberState::Alive,
        target: None,
    };
    let config_settings = ConfigNodeSettings {
        local_member: ConfigMember { vm: local_vm, zone: zone.clone() },
        log_retention_ms: LOG_RETENTION_MS,
        seed: rng.random(),
    };
    let config_node = ConfigNode::new(config_settings, clock.now());
    let config_io =
        ConfigIo::new(clock, Arc::clone(&options.log), CONFIG_STREAM.parse()?, Arc::clone(&config), config_node);
    let claim_node = ClaimNode::new(local_vm, zone.clone(), ClaimSettings::default());
    let claims = ClaimsIo::new(clock, Arc::clone(&options.log), claim_node)?;
    let quota = QuotaNode::new(local_vm, zone.clone(), QuotaSettings::default());
    Ok(NodeState {
        local_vm,
        zone,
        peer_address,
        settings,
        clock,
        config,
        config_io: Arc::new(config_io),
        gate: Arc::new(gate),
        targets: Mutex::new(TargetTable::default()),
        ingress_admission: Mutex::new(IngressAdmission::default()),
        budgets: Mutex::new(RetryBudgets::default()),
        crashes,
        awaiting_crash_marks: Mutex::default(),
        rate_limiter: RateLimiter::new(clock, quota),
        claims: Arc::new(claims),
        at_most_once_requests: AtMostOnceRequests::default(),
        membership: Mutex::new(Membership::new(local_row, MembershipSettings::default(), rng.random())),
        directory: PeerDirectory::default(),
        peers: PeerPool::default(),
        link_faults: Arc::clone(&options.link_faults),
        rng: Mutex::new(rng),
        burn: Mutex::new(BurnTable::new(BurnSettings::default(), wall_ms())),
        traffic: Mutex::default(),
        counters: Counters::default(),
        decisions: Mutex::default(),
    })
}

/// Applies each activated configuration to the rate limiter, the claims and the burn table, until the task is
/// aborted.
async fn apply_config_changes(state: Arc<NodeState>) {
    let mut changes = state.config.changes();
    changes.mark_changed();
    while changes.changed().await.is_ok() {
        let config = state.config.get();
        state.rate_limiter.set_config(quota_config(&config));
        state.claims.set_zone_count(config.zones().len());
        lock(&state.burn).set_objectives(configured_objectives(&config));
    }
}

fn quota_config(config: &fulmartrestle_config::FleetConfig) -> QuotaConfig {
    let tenants = config.tenants().rows().iter().map(|row| TenantRate {
        tenant: row.tenant.clone(),
        rate_per_s: row.rate_per_s,
        burst: row.burst,
    });
    QuotaConfig {
        version: config.version(),
        zones: config.zones().rows().iter().map(|row| row.zone.clone()).collect(),
        tenants: tenants.collect(),
    }
}

async fn send_metrics(state: Arc<NodeState>, address: SocketAddr) {
    if let Err(error) = run_metrics(state, address).await {
        log::error!("metrics: cannot open the UDP socket: {error}");
    }
}

async fn run_admin(listener: TcpListener, state: Arc<AdminState>) {
    if let Err(error) = serve_admin(listener, state).await {
        log::error!("admin: cannot serve the admin API: {error}");
    }
}
