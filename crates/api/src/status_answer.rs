//! Status of one node.

use fulmartrestle_config::propagation::ConfigStatus;
use fulmartrestle_core::{AvailabilityZone, Version, VmId};
use fulmartrestle_derive::record;

use super::StopAnswer;

/// Status of one node and its view of the fleet.
#[record]
pub struct StatusAnswer {
    /// The responding node.
    pub vm: VmId,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Configuration version in force on the node.
    pub version: Version,
    /// Configuration versions by zone, state of the platform's log, and isolation.
    pub config: ConfigStatus,
    /// Zones in which at least one member has not confirmed this node's configuration version.
    pub unconfirmed_zones: Vec<AvailabilityZone>,
    /// Number of reachable members by zone.
    pub members: Vec<ZoneMembersAnswer>,
    /// Number of known targets.
    pub targets: usize,
    /// Number of calls that run on the node's own target.
    pub in_flight: usize,
    /// Planned stops.
    pub stops: Vec<StopAnswer>,
    /// Counters since the start of the node.
    pub counters: Vec<CounterAnswer>,
}

/// Number of reachable members of one zone.
#[record]
pub struct ZoneMembersAnswer {
    /// The availability zone.
    pub zone: AvailabilityZone,
    /// Number of reachable members.
    pub reachable: usize,
}

/// Name and value of one counter.
#[record]
pub struct CounterAnswer {
    /// Name of the counter.
    pub name: String,
    /// Value since the start of the node.
    pub value: u64,
}
