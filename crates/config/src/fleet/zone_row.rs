//! The availability zones of the fleet.

use fulmartrestle_core::{AvailabilityZone, Region};
use fulmartrestle_derive::record;

use super::Row;

/// An availability zone. Tenants' rates are split over exactly the configured zones, so that all nodes split them
/// in the same way.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct ZoneRow {
    /// The zone's name.
    pub zone: AvailabilityZone,
    /// The region that the zone is in.
    pub region: Region,
}

impl Row for ZoneRow {
    type Key = AvailabilityZone;

    fn key(&self) -> &AvailabilityZone {
        &self.zone
    }
}
