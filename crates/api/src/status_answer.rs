//! One node's status.

use fulmartrestle_config::propagation::ConfigStatus;
use fulmartrestle_core::{AvailabilityZone, Version, VmId};
use fulmartrestle_derive::record;

use super::StopAnswer;

/// One node's status, with what it knows of the fleet.
#[record]
pub struct StatusAnswer {
    /// The answering node.
    pub vm: VmId,
    /// Its zone.
    pub zone: AvailabilityZone,
    /// The configuration's version in force on it.
    pub version: Version,
    /// The configuration's versions in the zones, the log's state and isolation.
    pub config: ConfigStatus,
    /// Zones of which not every member has confirmed this node's version.
    pub unconfirmed_zones: Vec<AvailabilityZone>,
    /// Members that can be reached, by zone.
    pub members: Vec<ZoneMembersAnswer>,
    /// Targets that are known.
    pub targets: usize,
    /// Calls that the own target runs.
    pub in_flight: usize,
    /// Planned stops.
    pub stops: Vec<StopAnswer>,
    /// Counters since the start.
    pub counters: Vec<CounterAnswer>,
}

/// Members of one zone.
#[record]
pub struct ZoneMembersAnswer {
    /// The zone.
    pub zone: AvailabilityZone,
    /// Members that can be reached.
    pub reachable: usize,
}

/// One counter.
#[record]
pub struct CounterAnswer {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: u64,
}
