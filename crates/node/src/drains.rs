//! Whether the own target should be leaving: because of a drain, or of a planned stop whose time has
//! come.

use fulmartrestle_config::FleetConfig;
use fulmartrestle_config::plan::TargetFacts;
use fulmartrestle_core::{AvailabilityZone, VmId};

use crate::gate::OwnTarget;

/// Tells whether the configuration wants the own target to leave now.
pub fn should_leave(config: &FleetConfig, target: &TargetFacts, now_unix_ms: i64) -> bool {
    let drained = config.target_drains().rows().iter().any(|row| target.is_drained_by(&row.targets));
    let mut due_stops = config.stops().rows().iter().filter(|row| row.is_due(now_unix_ms));
    drained || due_stops.any(|row| target.is_stopped_by(&row.scope))
}

/// Returns the own target as drains and stops see it.
pub fn own_target_facts(own: VmId, zone: &AvailabilityZone, target: &OwnTarget) -> TargetFacts {
    TargetFacts {
        vm: own,
        address: target.announcement.address,
        service: target.announcement.service.clone(),
        zone: zone.clone(),
        capacity_per_s: None,
    }
}
