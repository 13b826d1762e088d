//! What the parts of one node share.

use std::sync::{Arc, Mutex, PoisonError, RwLock};

use fulmartrestle_core::{TimeUs, VmId, lock};
use fulmartrestle_policy::{ArrivalMeter, CapacityAdmission, LoadBalancer, RetryBudgets};
use fulmartrestle_quota::TokenPool;
use fulmartrestle_transport::PeerConnectionPool;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, watch};

use crate::MeshConfig;
use crate::caller_connection_limit::CallerConnectionLimit;
use crate::clock::BootClock;
use crate::event_log::{EventLog, LogLine};
use crate::freshness::Freshness;
use crate::gate::Gate;
use crate::metrics::Metrics;
use crate::peer_table::PeerTable;
use crate::platform::{ConfigDecoder, WireProtocol};
use crate::settings::MeshSettings;

/// A configuration with the bytes that it was decoded from, which other nodes may ask for.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    /// The decoded configuration; `None` before the first.
    pub config: Option<Arc<MeshConfig>>,
    /// The operator's bytes.
    pub bytes: Arc<Vec<u8>>,
}

/// Where the node stands between start and end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It was told to stop: callers should go elsewhere, but are still served.
    Draining,
    /// Connections close after their next answer.
    Closing,
}

/// The tables and connections of one node. Locks are held for one decision and never across an await.
pub struct MeshState {
    /// This run of the node.
    pub node_id: VmId,
    /// The settings; replaced on reload.
    pub settings: RwLock<Arc<MeshSettings>>,
    /// The clock.
    pub clock: BootClock,
    /// Headers and answers in the platform's words.
    pub wire_protocol: Arc<dyn WireProtocol>,
    /// Reads configurations.
    pub config_decoder: Arc<dyn ConfigDecoder>,
    /// The configuration in force.
    pub config: RwLock<ActiveConfig>,
    /// As of when the configuration is known to be the newest.
    pub freshness: Mutex<Freshness>,
    /// The gate in front of the own target.
    pub gate: Arc<Gate>,
    /// Room for callers' connections.
    pub caller_connections: CallerConnectionLimit,
    /// Targets of all services.
    pub load_balancer: Mutex<LoadBalancer>,
    /// Requests at this entry.
    pub arrivals: Mutex<ArrivalMeter>,
    /// Shares of routes that may enter.
    pub capacity_admission: Mutex<CapacityAdmission>,
    /// Repetitions of requests that no target has run.
    pub resend_budgets: Mutex<RetryBudgets>,
    /// Repetitions of requests that a target may have run.
    pub rerun_budgets: Mutex<RetryBudgets>,
    /// Tokens of tenants' rates.
    pub tokens: Mutex<TokenPool>,
    /// The other nodes.
    pub peers: Mutex<PeerTable>,
    /// Links to the other nodes.
    pub peer_connections: PeerConnectionPool,
    /// Random draws.
    pub rng: Mutex<ChaCha8Rng>,
    /// Log lines.
    pub event_log: EventLog,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Where the node stands.
    pub phase: watch::Sender<Phase>,
    /// Woken when the other nodes should hear of this node at once.
    pub status_due: Notify,
}

impl MeshState {
    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<MeshSettings> {
        Arc::clone(&self.settings.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<MeshConfig>> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).config.clone()
    }

    /// Returns the configuration in force as the operator wrote it.
    pub fn config_bytes(&self) -> Arc<Vec<u8>> {
        Arc::clone(&self.config.read().unwrap_or_else(PoisonError::into_inner).bytes)
    }

    /// Returns the present time.
    pub fn now(&self) -> TimeUs {
        self.clock.now()
    }

    /// Returns a uniformly random number from 0 to 1.
    pub fn random_unit(&self) -> f64 {
        lock(&self.rng).random()
    }

    /// Writes a log line.
    pub fn log(&self, line: LogLine) {
        self.event_log.write(line, self.now());
    }

    /// Returns the age of the knowledge of the configuration in milliseconds.
    pub fn config_age_ms(&self, now: TimeUs) -> Option<u64> {
        lock(&self.freshness).age_ms(now)
    }

    /// Tells whether the platform should send callers here.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving && self.config().is_some()
    }
}
