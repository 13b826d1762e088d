//! One zone of a deployment.

use fulmartrestle_core::AvailabilityZone;
use fulmartrestle_derive::local;

/// A zone and how many of the clients are near it.
#[local]
pub struct ZoneSpec {
    /// The zone.
    pub zone: AvailabilityZone,
    /// Weight of the zone in the choice of a client's zone.
    pub client_weight: u32,
}
