//! Decides whether the local target must drain, because of a configured drain or a planned stop that is due.

use std::net::SocketAddr;

use fulmartrestle_config::FleetConfig;
use fulmartrestle_config::fleet::{DrainSelector, StopScope};
use fulmartrestle_config::plan::ObservedTarget;
use fulmartrestle_core::{AvailabilityZone, VmId};

use crate::gate::LocalTarget;

/// Returns whether the configuration requires the local target to drain now.
pub fn should_drain(config: &FleetConfig, target: &LocalTargetIdentity, now_unix_ms: i64) -> bool {
    let drained = config.target_drains().rows().iter().any(|row| target.is_drained_by(&row.targets));
    let mut due_stops = config.stops().rows().iter().filter(|row| row.is_due(now_unix_ms));
    drained || due_stops.any(|row| target.is_stopped_by(&row.scope))
}

/// The local target under both of its addresses.
///
/// Operators may specify the target by the address that it announced, or by the peer address of its node, which
/// is the one that plans and other nodes use.
pub struct LocalTargetIdentity {
    by_announced_address: ObservedTarget,
    by_node_address: ObservedTarget,
}

impl LocalTargetIdentity {
    /// Returns whether `selector` matches the local target.
    pub fn is_drained_by(&self, selector: &DrainSelector) -> bool {
        self.by_announced_address.is_drained_by(selector) || self.by_node_address.is_drained_by(selector)
    }

    /// Returns whether a stop with `scope` includes the local target.
    pub fn is_stopped_by(&self, scope: &StopScope) -> bool {
        self.by_announced_address.is_stopped_by(scope) || self.by_node_address.is_stopped_by(scope)
    }
}

/// Returns the local target in the form that drains and stops are matched against.
pub fn local_target_identity(
    local_vm: VmId,
    zone: &AvailabilityZone,
    peer_address: SocketAddr,
    target: &LocalTarget,
) -> LocalTargetIdentity {
    let by_announced_address = ObservedTarget {
        vm: local_vm,
        address: target.announcement.address,
        service: target.announcement.service.clone(),
        zone: zone.clone(),
        capacity_per_s: None,
    };
    let by_node_address = ObservedTarget { address: peer_address, ..by_announced_address.clone() };
    LocalTargetIdentity { by_announced_address, by_node_address }
}
