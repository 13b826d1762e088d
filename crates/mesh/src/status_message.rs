//! The status message of a node as it is sent, and its conversion.
//!
//! Load pattern: each node sends its status to every other node once a second, so the traffic grows with the square of
//! the fleet, and most of it crosses zones. Names are left out once the receiver knows them, and routes are named by
//! their position in the configuration.

use std::net::SocketAddr;

use fulmartrestle_core::{AvailabilityZone, RateMilliPerS, Service, Version, VmId};
use fulmartrestle_derive::{record, value};
use fulmartrestle_policy::{
    DemandReport, EvacuationReport, Rank, RouteArrivals, RouteDemand, TargetNotices, TargetReport,
};
use fulmartrestle_quota::ShardSet;

use crate::MeshConfig;
use crate::call_messages::GateReport;
use crate::crash_marks::CrashNotices;

/// The names of a node, which seldom change.
#[record]
#[derive(Eq)]
pub struct NodeIdentity {
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Service of its target; `None` without a target.
    pub service: Option<Service>,
    /// The instance of its target; empty without a target.
    pub instance: String,
    /// Start of its target's run, in milliseconds since the Unix epoch; 0 without a target.
    pub started_unix_ms: i64,
}

/// Whether a target accepts calls. One value takes a byte less than two flags.
#[value]
pub enum TargetPhase {
    /// It accepts none.
    NotReady,
    /// It accepts calls and is still warming up.
    Cold,
    /// It accepts calls at full speed.
    Warm,
}

/// Load of a target.
#[record]
pub struct TargetLoad {
    /// Whether the target accepts calls.
    pub phase: TargetPhase,
    /// Calls that may run concurrently.
    pub limit: u32,
    /// Calls that are running.
    pub running: u32,
    /// Calls that are queued.
    pub waiting: u32,
    /// Mean time for which a call holds its slot, in microseconds.
    pub hold_us: u32,
    /// What the target has said about itself.
    pub notices: Option<TargetNotices>,
    /// Rate at which its node starts calls; `None` if it is not limited.
    pub paced_rate: Option<RateMilliPerS>,
    /// How long its work takes at present, in percent of the mean that `hold_us` contains.
    pub pace_percent: Option<u32>,
    /// Share of recent attempts that failed at the target, in percent.
    pub failed_percent: u32,
}

/// Demand of one route, by the route's position in the configuration.
#[record]
pub struct IndexedDemand {
    /// Position of the route.
    pub route: u32,
    /// Demand in thousandths of slots.
    pub slots_milli: u32,
}

/// Requests of one route, by the route's position in the configuration.
#[record]
pub struct IndexedArrivals {
    /// Position of the route.
    pub route: u32,
    /// Rank of the requests.
    pub rank: Rank,
    /// Offered requests per second, in thousandths.
    pub offered_milli: u32,
    /// Admitted requests per second, in thousandths.
    pub admitted_milli: u32,
}

/// Status of a node, sent to every other node once a second and on significant changes.
#[record]
pub struct StatusMessage {
    /// ID of the sender's run.
    pub node: VmId,
    /// The sender's names; `None` if the receiver has confirmed that it knows them.
    pub identity: Option<NodeIdentity>,
    /// Load of the sender's target.
    pub target: Option<TargetLoad>,
    /// Capacity of the sender's target in thousandths of slots.
    pub capacity_milli: Option<u32>,
    /// Demand for the sender's target.
    pub demand: Vec<IndexedDemand>,
    /// Requests that arrived at the sender.
    pub arrivals: Vec<IndexedArrivals>,
    /// The sender's version of the configuration, whose routes are named by their positions.
    pub version: Version,
    /// Time since the sender's version was confirmed to be the newest, in milliseconds.
    pub config_age_ms: Option<u64>,
    /// Whether the sender's last call to the store succeeded.
    pub reaches_store: bool,
    /// The sender's clock in microseconds, which the receiver returns in `echo_us`.
    pub stamp_us: u64,
    /// The latest stamp that the sender has received from the receiver.
    pub echo_us: Option<u64>,
    /// Shards for which the sender leases its right to issue tokens to the receiver.
    pub leased: ShardSet,
    /// Shards for which the sender issues tokens.
    pub issued: ShardSet,
    /// Whether the sender stops, so that nothing should be leased to it.
    pub leaving: bool,
    /// Crashes of the sender's target that the receiver has not confirmed.
    pub crashes: CrashNotices,
    /// Number up to which the sender has received the crashes of the receiver's target.
    pub crashes_received: u32,
    /// Evacuated zones as the sender knows them; `None` if no zone was ever evacuated.
    pub evacuation: Option<EvacuationReport>,
}

/// A status message with the names that it leaves out.
#[derive(Clone, Debug)]
pub struct NodeStatus {
    /// The message.
    pub message: StatusMessage,
    /// Peer address of the sender.
    pub address: SocketAddr,
    /// The sender's names.
    pub identity: NodeIdentity,
}

impl NodeIdentity {
    /// Returns the names of a node in `zone` whose target reports `report`.
    pub fn new(zone: AvailabilityZone, report: &GateReport) -> Self {
        let target = report.as_ref();
        Self {
            zone,
            service: target.map(|target| target.service.clone()),
            instance: target.map(|target| target.instance.clone()).unwrap_or_default(),
            started_unix_ms: target.map_or(0, |target| target.started_unix_ms),
        }
    }
}

impl From<TargetReport> for TargetLoad {
    fn from(report: TargetReport) -> Self {
        Self {
            phase: match (report.ready, report.cold) {
                (false, _) => TargetPhase::NotReady,
                (true, true) => TargetPhase::Cold,
                (true, false) => TargetPhase::Warm,
            },
            limit: report.limit,
            running: report.running,
            waiting: report.waiting,
            hold_us: report.hold_us,
            notices: report.notices,
            paced_rate: report.paced_rate,
            pace_percent: report.pace_percent,
            failed_percent: report.failed_percent,
        }
    }
}

impl NodeStatus {
    /// Returns the state of the sender's target.
    pub fn target_report(&self) -> GateReport {
        let load = self.message.target.as_ref()?;
        Some(TargetReport {
            service: self.identity.service.clone()?,
            instance: self.identity.instance.clone(),
            started_unix_ms: self.identity.started_unix_ms,
            notices: load.notices,
            ready: load.phase != TargetPhase::NotReady,
            limit: load.limit,
            running: load.running,
            waiting: load.waiting,
            hold_us: load.hold_us,
            cold: load.phase == TargetPhase::Cold,
            paced_rate: load.paced_rate,
            pace_percent: load.pace_percent,
            failed_percent: load.failed_percent,
        })
    }

    /// Returns the demand for the sender's target. `config` must have the sender's version.
    pub fn demand(&self, config: &MeshConfig) -> Option<DemandReport> {
        let to_demand = |indexed: &IndexedDemand| {
            let route = config.route_at(indexed.route)?.clone();
            Some(RouteDemand { route, slots_milli: indexed.slots_milli })
        };
        Some(DemandReport {
            service: self.identity.service.clone()?,
            capacity_milli: self.message.capacity_milli?,
            hold_us: self.message.target.as_ref().map_or(0, |target| target.hold_us),
            routes: self.message.demand.iter().filter_map(to_demand).collect(),
        })
    }

    /// Returns the requests that arrived at the sender. `config` must have the sender's version.
    pub fn arrivals(&self, config: &MeshConfig) -> Vec<RouteArrivals> {
        let to_arrivals = |indexed: &IndexedArrivals| {
            Some(RouteArrivals {
                route: config.route_at(indexed.route)?.clone(),
                rank: indexed.rank,
                offered_milli: indexed.offered_milli,
                admitted_milli: indexed.admitted_milli,
            })
        };
        self.message.arrivals.iter().filter_map(to_arrivals).collect()
    }
}

/// Returns a demand report with the routes' positions. Routes that `config` does not contain are left out.
pub fn index_demand(report: &DemandReport, config: &MeshConfig) -> Vec<IndexedDemand> {
    let to_indexed = |demand: &RouteDemand| {
        Some(IndexedDemand { route: config.route_position(&demand.route)?, slots_milli: demand.slots_milli })
    };
    report.routes.iter().filter_map(to_indexed).collect()
}

/// Returns arrivals with the routes' positions. Routes that `config` does not contain are left out.
pub fn index_arrivals(arrivals: &[RouteArrivals], config: &MeshConfig) -> Vec<IndexedArrivals> {
    let to_indexed = |arrivals: &RouteArrivals| {
        Some(IndexedArrivals {
            route: config.route_position(&arrivals.route)?,
            rank: arrivals.rank,
            offered_milli: arrivals.offered_milli,
            admitted_milli: arrivals.admitted_milli,
        })
    };
    arrivals.iter().filter_map(to_indexed).collect()
}
