//! Shared state of a node's components.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use fulmartrestle_api::RequestDecision;
use fulmartrestle_burn::BurnTable;
use fulmartrestle_config::Settings;
use fulmartrestle_core::{AvailabilityZone, VmId, lock};
use fulmartrestle_membership::Membership;
use fulmartrestle_policy::{CrashTable, IngressAdmission, RetryBudgets, TargetTable};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::claims_io::ClaimsIo;
use crate::clock::{Clock, wall_ms};
use crate::config::CurrentConfig;
use crate::config_io::ConfigIo;
use crate::counters::Counters;
use crate::directory::PeerDirectory;
use crate::entry::AtMostOnceRequests;
use crate::explain::DecisionLog;
use crate::gate::TargetGate;
use crate::link_faults::LinkFaults;
use crate::peer::PeerPool;
use crate::rate_limiter::RateLimiter;
use crate::traffic::TrafficTable;

/// The tables and connections of one node.
///
/// Locks on the tables are held for a single decision and never across an await.
pub struct NodeState {
    /// Identity of this node, which is new after each restart.
    pub local_vm: VmId,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Address at which other nodes reach this one.
    pub peer_address: SocketAddr,
    /// Settings that the node was started with.
    pub settings: Settings,
    /// Monotonic clock, shared by all components.
    pub clock: Clock,
    /// Active configuration.
    pub config: Arc<CurrentConfig>,
    /// Configuration propagation.
    pub config_io: Arc<ConfigIo>,
    /// Gate in front of the local target.
    pub gate: Arc<TargetGate>,
    /// Targets of all services in the fleet.
    pub targets: Mutex<TargetTable>,
    /// Admission levels of the services, received with responses.
    pub ingress_admission: Mutex<IngressAdmission>,
    /// Retry budgets per called service.
    pub budgets: Mutex<RetryBudgets>,
    /// Fingerprints of requests that crashed targets.
    pub crashes: Arc<Mutex<CrashTable>>,
    /// New members that all crash marks must be sent to.
    pub awaiting_crash_marks: Mutex<Vec<VmId>>,
    /// Rate limits of the tenants.
    pub rate_limiter: RateLimiter,
    /// Claims of calls that must run at most once.
    pub claims: Arc<ClaimsIo>,
    /// In-flight calls and cached responses of requests that run at most once.
    pub at_most_once_requests: AtMostOnceRequests,
    /// Membership of the fleet.
    pub membership: Mutex<Membership>,
    /// Peer addresses of the members.
    pub directory: PeerDirectory,
    /// Connections to other nodes.
    pub peers: PeerPool,
    /// Injected network faults.
    pub link_faults: Arc<dyn LinkFaults>,
    /// Random number generator, seeded at the start.
    pub rng: Mutex<ChaCha8Rng>,
    /// Outcome counts of requests, by route and tenant.
    pub burn: Mutex<BurnTable>,
    /// Request rates, by route and tenant.
    pub traffic: Mutex<TrafficTable>,
    /// Counters for status and metrics.
    pub counters: Counters,
    /// Recent request decisions, recorded if the setting `explain` is on.
    pub decisions: Mutex<DecisionLog>,
}

impl NodeState {
    /// Returns a uniformly distributed random number.
    pub fn random_u32(&self) -> u32 {
        lock(&self.rng).random()
    }

    /// Returns a uniformly distributed random number.
    pub fn random_u64(&self) -> u64 {
        lock(&self.rng).random()
    }

    /// Returns whether the injected network faults let packets reach `address`.
    pub fn can_reach(&self, address: SocketAddr) -> bool {
        self.link_faults.allows(self.peer_address, address)
    }

    /// Records a decision about a request if the setting `explain` is on. The text is only built in that case.
    pub fn record_decision(&self, request_id: u64, text: impl FnOnce() -> String) {
        if !self.settings.explain {
            return;
        }
        let text = text();
        log::debug!("explain: {request_id:016x} {text}");
        let decision = RequestDecision { request_id: format!("{request_id:016x}"), at_ms: wall_ms(), text };
        lock(&self.decisions).push(decision);
    }
}
