//! Starting and stopping one node.

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
use crate::burn::objectives;
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
use crate::join::run_joins;
use crate::link_faults::{LinkFaults, NoLinkFaults};
use crate::metrics::run_metrics;
use crate::peer::{PeerPool, serve_peers};
use crate::rate_limiter::RateLimiter;
use crate::state::NodeState;

/// Stream of the fleet's configuration.
const CONFIG_STREAM: &str = "config";

/// Stream of join records.
const MEMBERS_STREAM: &str = "members";

/// How long the platform's log is taken to keep records, in milliseconds. Snapshots are written
/// again well before.
const LOG_RETENTION_MS: i64 = 3_600_000;

/// Pause between looks whether a stopping node has finished its calls, in milliseconds.
const DRAIN_POLL_MS: u64 = 20;

/// Time that a stopping node gives the other nodes to hear of it before it closes its listeners, in
/// milliseconds. Gossip takes about a second to reach everyone.
const LEAVE_NOTICE_MS: u64 = 1_500;

/// What a node is given besides its settings.
pub struct NodeOptions {
    /// The platform's log.
    pub log: Arc<dyn PlatformLog>,
    /// Faults of the network, brought about on purpose.
    pub link_faults: Arc<dyn LinkFaults>,
    /// Seed of random choices; drawn from the system when absent.
    pub seed: Option<u64>,
}

impl NodeOptions {
    /// Returns options for a node that uses `log`, without faults and with a random seed.
    pub fn new(log: Arc<dyn PlatformLog>) -> Self {
        Self { log, link_faults: Arc::new(NoLinkFaults), seed: None }
    }
}

/// A node. It is used through its handle once started.
pub struct Node;

/// The listeners of a node.
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
}

impl Node {
    /// Opens a node's listeners and starts its tasks.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::Listen`] with the address that can't be used.
    pub async fn start(settings: Settings, options: NodeOptions) -> Result<NodeHandle, StartError> {
        let listeners = open_listeners(&settings).await?;
        let local = |address: std::io::Result<SocketAddr>, fallback| address.unwrap_or(fallback);
        let caller_address = local(listeners.callers.local_addr(), settings.caller_address);
        let admin_address = local(listeners.admin.local_addr(), settings.admin_address);
        let peer_address = local(listeners.peers.local_addr(), settings.peer_address);
        let state = Arc::new(build_state(settings, peer_address, &options)?);
        let (stopping, stopped) = watch::channel(false);
        let members: StreamName = MEMBERS_STREAM.parse()?;
        let mut tasks = JoinSet::new();
        let service = Arc::new(EntryService::new(Arc::clone(&state)));
        let limits = ListenerLimits {
            max_header_bytes: state.settings.limits.max_header_bytes,
            head_timeout_ms: state.settings.limits.head_timeout_ms,
        };
        let places = Arc::new(Semaphore::new(state.settings.limits.max_connections));
        tasks.spawn(serve_callers(listeners.callers, Arc::clone(&service) as _, move || limits, places, stopped));
        tasks.spawn(serve_peers(listeners.peers, service));
        tasks.spawn(receive_datagrams(Arc::clone(&state), Arc::clone(&listeners.datagrams)));
        tasks.spawn(run_ticks(Arc::clone(&state), listeners.datagrams));
        tasks.spawn(run_joins(Arc::clone(&state), Arc::clone(&options.log), members));
        tasks.spawn(apply_config_changes(Arc::clone(&state)));
        if let Some(address) = state.settings.metrics_address {
            tasks.spawn(report_metrics(Arc::clone(&state), address));
        }
        let admin =
            AdminState { node: Arc::clone(&state), pending: Mutex::default(), time_zones: TimeZones::from_system() };
        tasks.spawn(run_admin(listeners.admin, Arc::new(admin)));
        log::info!("node: {} in {} serves callers on {caller_address}", state.own, state.zone);
        Ok(NodeHandle { state, caller_address, admin_address, stopping, tasks })
    }
}

impl NodeHandle {
    /// Returns where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns where other nodes connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.state.peer_address
    }

    /// Returns where operators connect and the own target announces itself.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns this run's identity.
    pub fn vm(&self) -> VmId {
        self.state.own
    }

    /// Returns the node's shared tables, for status and tests.
    pub fn state(&self) -> &Arc<NodeState> {
        &self.state
    }

    /// Stops gracefully: tells the other nodes, takes no new calls, finishes the running ones.
    pub async fn stop(mut self) {
        log::info!("node: stopping");
        lock(&self.state.membership).leave(self.state.clock.now());
        self.state.gate.begin_drain();
        tokio::time::sleep(Duration::from_millis(LEAVE_NOTICE_MS)).await;
        // Receivers are gone only when the listener's task ended already.
        let _ = self.stopping.send(true);
        while !self.state.gate.is_drained() {
            tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
        log::info!("node: nothing runs any more");
        self.tasks.shutdown().await;
    }

    /// Stops at once, as a crash would.
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
    let own = VmId(rng.random());
    let zone = settings.availability_zone.clone();
    let clock = Clock::start();
    let config: Arc<CurrentConfig> = Arc::default();
    let crashes: Arc<Mutex<CrashTable>> = Arc::default();
    // The secret must not follow from a seed that tests fix.
    let signer = ContextSigner::new(rand::rng().random());
    let gate = TargetGate::new(clock, signer, Arc::clone(&config) as _, Arc::clone(&crashes));
    let own_row = MemberRow {
        vm: own,
        incarnation: Incarnation(1),
        zone: zone.clone(),
        peer_address,
        state: MemberState::Alive,
        target: None,
    };
    let config_settings = ConfigNodeSettings {
        local_member: ConfigMember { vm: own, zone: zone.clone() },
        log_retention_ms: LOG_RETENTION_MS,
        seed: rng.random(),
    };
    let config_node = ConfigNode::new(config_settings, clock.now());
    let config_io =
        ConfigIo::new(clock, Arc::clone(&options.log), CONFIG_STREAM.parse()?, Arc::clone(&config), config_node);
    let claim_node = ClaimNode::new(own, zone.clone(), ClaimSettings::default());
    let claims = ClaimsIo::new(clock, Arc::clone(&options.log), claim_node)?;
    let quota = QuotaNode::new(own, zone.clone(), QuotaSettings::default());
    Ok(NodeState {
        own,
        zone,
        peer_address,
        settings,
        clock,
        config,
        config_io: Arc::new(config_io),
        gate: Arc::new(gate),
        targets: Mutex::new(TargetTable::default()),
        door: Mutex::new(IngressAdmission::default()),
        budgets: Mutex::new(RetryBudgets::default()),
        crashes,
        awaiting_crash_marks: Mutex::default(),
        rate_limiter: RateLimiter::new(clock, quota),
        claims: Arc::new(claims),
        once: AtMostOnceRequests::default(),
        membership: Mutex::new(Membership::new(own_row, MembershipSettings::default(), rng.random())),
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

/// Tells rates, claims and objectives of each version that comes in force, until the task is aborted.
async fn apply_config_changes(state: Arc<NodeState>) {
    let mut changes = state.config.changes();
    changes.mark_changed();
    while changes.changed().await.is_ok() {
        let config = state.config.get();
        state.rate_limiter.set_config(quota_config(&config));
        state.claims.set_zone_count(config.zones().len());
        lock(&state.burn).set_objectives(objectives(&config));
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

async fn report_metrics(state: Arc<NodeState>, address: SocketAddr) {
    if let Err(error) = run_metrics(state, address).await {
        log::error!("metrics: {error}");
    }
}

async fn run_admin(listener: TcpListener, state: Arc<AdminState>) {
    if let Err(error) = serve_admin(listener, state).await {
        log::error!("admin: {error}");
    }
}
