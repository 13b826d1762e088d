//! What the parts of one node share.

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

/// The tables and connections of one node. Deciding code works on the tables; locks are held for one
/// decision and never across an await.
pub struct NodeState {
    /// This run of the node.
    pub own: VmId,
    /// The zone that the node is in.
    pub zone: AvailabilityZone,
    /// Where other nodes reach this one.
    pub peer_address: SocketAddr,
    /// The settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Clock,
    /// The configuration in force.
    pub config: Arc<CurrentConfig>,
    /// The part in the spread of configuration.
    pub config_io: Arc<ConfigIo>,
    /// The gate in front of the own target.
    pub gate: Arc<TargetGate>,
    /// Targets of all services.
    pub targets: Mutex<TargetTable>,
    /// Admission levels of services, as heard on answers.
    pub door: Mutex<IngressAdmission>,
    /// Retry budgets of called services.
    pub budgets: Mutex<RetryBudgets>,
    /// Requests that crashed targets.
    pub crashes: Arc<Mutex<CrashTable>>,
    /// Members that have just joined and must hear of all crash marks.
    pub awaiting_crash_marks: Mutex<Vec<VmId>>,
    /// Tokens of tenants' rates.
    pub rate_limiter: RateLimiter,
    /// The part in claims of calls that run at most once.
    pub claims: Arc<ClaimsIo>,
    /// Running calls and held answers of requests that run at most once.
    pub once: AtMostOnceRequests,
    /// The directory of members.
    pub membership: Mutex<Membership>,
    /// Addresses of members that can be reached.
    pub directory: PeerDirectory,
    /// Connections to other nodes.
    pub peers: PeerPool,
    /// Faults brought about on purpose.
    pub link_faults: Arc<dyn LinkFaults>,
    /// Random draws, seeded at the start.
    pub rng: Mutex<ChaCha8Rng>,
    /// How requests ended, by route and tenant.
    pub burn: Mutex<BurnTable>,
    /// Requests by route and tenant.
    pub traffic: Mutex<TrafficTable>,
    /// Counters.
    pub counters: Counters,
    /// Latest decisions, where the settings ask for them.
    pub decisions: Mutex<DecisionLog>,
}

impl NodeState {
    /// Returns a uniformly random number.
    pub fn random_u32(&self) -> u32 {
        lock(&self.rng).random()
    }

    /// Returns a uniformly random number.
    pub fn random_u64(&self) -> u64 {
        lock(&self.rng).random()
    }

    /// Tells whether packets reach `address` as far as faults brought about on purpose go.
    pub fn allows(&self, address: SocketAddr) -> bool {
        self.link_faults.allows(self.peer_address, address)
    }

    /// Notes a decision when the settings ask for explanations. The text is made only then.
    pub fn explain(&self, request_id: u64, text: impl FnOnce() -> String) {
        if !self.settings.explain {
            return;
        }
        let text = text();
        log::debug!("explain: {request_id:016x} {text}");
        let decision = RequestDecision { request_id: format!("{request_id:016x}"), at_ms: wall_ms(), text };
        lock(&self.decisions).push(decision);
    }
}
