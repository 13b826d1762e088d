//! Availability zone of a deployment.

use fulmartrestle_core::AvailabilityZone;
use fulmartrestle_derive::local;

/// A zone and its share of the clients.
#[local]
pub struct ZoneSpec {
    /// Name of the zone.
    pub zone: AvailabilityZone,
    /// Weight in the distribution of clients over zones.
    pub client_weight: u32,
}
