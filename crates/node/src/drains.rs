//! Whether the own target should be leaving: because of a drain, or of a planned stop whose time has
//! come.

use std::net::SocketAddr;

use fulmartrestle_config::FleetConfig;
use fulmartrestle_config::fleet::{DrainSelector, StopScope};
use fulmartrestle_config::plan::ObservedTarget;
use fulmartrestle_core::{AvailabilityZone, VmId};

use crate::gate::LocalTarget;

/// Tells whether the configuration wants the own target to leave now.
pub fn should_drain(config: &FleetConfig, own: &LocalTargetIdentity, now_unix_ms: i64) -> bool {
    let drained = config.target_drains().rows().iter().any(|row| own.is_drained_by(&row.targets));
    let mut due_stops = config.stops().rows().iter().filter(|row| row.is_due(now_unix_ms));
    drained || due_stops.any(|row| own.is_stopped_by(&row.scope))
}

/// The own target under both of its addresses: operators may name the target by the address that it
/// announced, or by that of its node, which is the one that plans and other nodes know.
pub struct LocalTargetIdentity {
    announced: ObservedTarget,
    by_node_address: ObservedTarget,
}

impl LocalTargetIdentity {
    /// Returns whether `selector` means the own target.
    pub fn is_drained_by(&self, selector: &DrainSelector) -> bool {
        self.announced.is_drained_by(selector) || self.by_node_address.is_drained_by(selector)
    }

    /// Returns whether a stop of `scope` stops the own target.
    pub fn is_stopped_by(&self, scope: &StopScope) -> bool {
        self.announced.is_stopped_by(scope) || self.by_node_address.is_stopped_by(scope)
    }
}

/// Returns the own target as drains and stops see it.
pub fn local_target_identity(
    own: VmId,
    zone: &AvailabilityZone,
    peer_address: SocketAddr,
    target: &LocalTarget,
) -> LocalTargetIdentity {
    let announced = ObservedTarget {
        vm: own,
        address: target.announcement.address,
        service: target.announcement.service.clone(),
        zone: zone.clone(),
        capacity_per_s: None,
    };
    let by_node_address = ObservedTarget { address: peer_address, ..announced.clone() };
    LocalTargetIdentity { announced, by_node_address }
}
