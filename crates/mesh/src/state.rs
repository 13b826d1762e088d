//! State that the tasks of one node share.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use fulmartrestle_core::{LogEra, RateMilliPerS, TimeUs, VmId, lock};
use fulmartrestle_policy::{
    ArrivalMeter, CapacityAdmission, ColdLimit, CrashTable, LargeRoutes, LoadBalancer, RetryBudgets, StopAdmission,
    StopSchedule, TenantDivision,
};
use fulmartrestle_quota::{IssuingRight, TokenPool};
use fulmartrestle_transport::PeerConnectionPool;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, watch};

use crate::MeshConfig;
use crate::caller_connection_limit::CallerConnectionLimit;
use crate::clock::BootClock;
use crate::config_freshness::ConfigFreshness;
use crate::crash_marks::CrashMarkLog;
use crate::evacuation::Evacuation;
use crate::event_log::{EventLog, LogLine};
use crate::gate::Gate;
use crate::handled_counts::HandledCounts;
use crate::large_response_limit::LargeResponseLimit;
use crate::local_target::TargetRun;
use crate::metrics::Metrics;
use crate::outcome_meter::OutcomeMeter;
use crate::peer_table::PeerTable;
use crate::platform::{ConfigDecoder, WireProtocol};
use crate::settings::MeshSettings;

/// The active configuration and the bytes that it was decoded from, which other nodes may request.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    /// The decoded configuration; `None` until the first one is applied.
    pub config: Option<Arc<MeshConfig>>,
    /// The bytes as the operator wrote them.
    pub bytes: Arc<Vec<u8>>,
}

/// Lifecycle phase of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodePhase {
    /// The node accepts and serves callers.
    Serving,
    /// The node is stopping: the platform should route callers elsewhere, but requests are still served.
    Draining,
    /// Every connection closes after its next response.
    Closing,
}

/// Shared tables and connections of one node. A lock is held for one decision and never across an await.
pub struct MeshState {
    /// ID of this run of the node; random at each start.
    pub node_id: VmId,
    /// When this run of the node started.
    pub started_at: TimeUs,
    /// The active settings; replaced on reload.
    pub settings: RwLock<Arc<MeshSettings>>,
    /// The node's only source of time.
    pub clock: BootClock,
    /// Headers and status codes of the platform.
    pub wire_protocol: Arc<dyn WireProtocol>,
    /// Decoder of the operator's configuration.
    pub config_decoder: Arc<dyn ConfigDecoder>,
    /// The active configuration.
    pub config: RwLock<ActiveConfig>,
    /// When the active configuration was last confirmed to be the newest.
    pub freshness: Mutex<ConfigFreshness>,
    /// The admission gate in front of the local target.
    pub gate: Arc<Gate>,
    /// Limit of callers' connections.
    pub caller_connections: CallerConnectionLimit,
    /// Selects targets of all services.
    pub load_balancer: Arc<Mutex<LoadBalancer>>,
    /// Measures the requests that arrive at this node.
    pub arrivals: Mutex<ArrivalMeter>,
    /// Sheds requests of routes whose services lack capacity.
    pub capacity_admission: Mutex<CapacityAdmission>,
    /// Budgets for retries of requests that no target has run.
    pub resend_budgets: Mutex<RetryBudgets>,
    /// Budgets for retries of calls of targets that may have run.
    pub call_rerun_budgets: Mutex<RetryBudgets>,
    /// Budgets for retries of callers' requests that a target may have run.
    pub request_rerun_budgets: Mutex<RetryBudgets>,
    /// Requests that crashed targets.
    pub crashes: Arc<Mutex<CrashTable>>,
    /// Crashes of the local target, to be sent to the other nodes.
    pub crash_mark_log: Mutex<CrashMarkLog>,
    /// Whether this node has received the crash marks of the nodes that started before it.
    pub knows_crash_marks: AtomicBool,
    /// Tokens of the tenants' rates on this node.
    pub tokens: Mutex<TokenPool>,
    /// This node's right to issue tokens, which it leases to other nodes.
    pub issuing_right: Mutex<IssuingRight>,
    /// The other nodes of the fleet.
    pub peers: Arc<Mutex<PeerTable>>,
    /// Connections to the other nodes.
    pub peer_connections: PeerConnectionPool,
    /// Random number generator for load balancing, admission and backoff.
    pub rng: Mutex<ChaCha8Rng>,
    /// Outcomes of the requests that entered at this node.
    pub outcomes: Mutex<OutcomeMeter>,
    /// Destination of the structured log lines.
    pub event_log: EventLog,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// The current lifecycle phase.
    pub phase: watch::Sender<NodePhase>,
    /// Wakes the sender of status messages before its interval has passed.
    pub status_due: Arc<Notify>,
    /// The last era of the store that is known to be settled.
    pub settled_era: Mutex<Option<LogEra>>,
    /// Wakes the reader of the configuration, because another node has a newer version.
    pub store_due: Notify,
    /// Whether the last call to the store succeeded.
    pub reaches_store: AtomicBool,
    /// Whether a configuration is being fetched from another node.
    pub fetches_config: AtomicBool,
    /// The zones that the operator has evacuated.
    pub evacuation: Mutex<Evacuation>,
    /// Limit of the large responses that are forwarded to callers.
    pub large_responses: LargeResponseLimit,
    /// Divides admissions among tenants while capacity is short.
    pub tenant_division: Mutex<TenantDivision>,
    /// Calls and requests that this node has handled.
    pub handled: HandledCounts,
    /// Routes whose responses are forwarded while they arrive.
    pub large_routes: Mutex<LargeRoutes>,
    /// Decides which requests are passed on while this node stops.
    pub stop_admission: Arc<Mutex<StopAdmission>>,
    /// The stop of this node once it begins.
    pub stop: watch::Sender<Option<StopSchedule>>,
    /// Wakes the writer of the runs of the target that have left.
    pub left_runs_due: Notify,
    /// The runs of the target that have left, as the store holds them; `None` while that is not known.
    pub saved_left_runs: watch::Sender<Option<Vec<TargetRun>>>,
}

impl MeshState {
    /// Returns the active settings.
    pub fn settings(&self) -> Arc<MeshSettings> {
        Arc::clone(&self.settings.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the active configuration, or `None` before the first.
    pub fn config(&self) -> Option<Arc<MeshConfig>> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).config.clone()
    }

    /// Returns the bytes of the active configuration as the operator wrote them.
    pub fn config_bytes(&self) -> Arc<Vec<u8>> {
        Arc::clone(&self.config.read().unwrap_or_else(PoisonError::into_inner).bytes)
    }

    /// Returns the current time.
    pub fn now(&self) -> TimeUs {
        self.clock.now()
    }

    /// Returns a uniformly distributed random number from 0 to 1.
    pub fn random_unit(&self) -> f64 {
        lock(&self.rng).random()
    }

    /// Writes a line to the event log with the current time.
    pub fn log(&self, line: LogLine) {
        self.event_log.write(line, self.now());
    }

    /// Returns the time since the configuration was last confirmed to be the newest, in milliseconds, or `None`
    /// if it never was.
    pub fn config_age_ms(&self, now: TimeUs) -> Option<u64> {
        lock(&self.freshness).age_ms(now)
    }

    /// Applies the limit for the target of this node while it is cold, from the settings and the configuration. Before
    /// the first configuration the rate of the target is not known.
    pub fn apply_cold_limit(&self) {
        let settings = self.settings();
        let limit = settings.bounds.cold_bounds().and_then(|(overage, slack)| {
            match self.config().map(|config| config.cold_rate(&settings.service)) {
                None | Some(Some(RateMilliPerS(0))) => Some(ColdLimit::for_unknown_rate(slack)),
                Some(cold_rate) => cold_rate.map(|cold_rate| ColdLimit::new(cold_rate, overage, slack)),
            }
        });
        self.gate.set_cold_limit(limit);
    }

    /// Waits until requests that are still unanswered must be answered because this node ends.
    pub async fn wait_for_last_answers(&self) {
        let mut stop = self.stop.subscribe();
        let schedule = stop.wait_for(Option::is_some).await.map(|schedule| *schedule);
        match schedule {
            Ok(Some(schedule)) => tokio::time::sleep(self.clock.duration_until(schedule.last_answers_at)).await,
            // The sender lives as long as this state.
            Ok(None) | Err(_) => std::future::pending().await,
        }
    }

    /// Returns whether the platform should route callers to this node.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == NodePhase::Serving && self.config().is_some()
    }
}
