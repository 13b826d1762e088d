//! A live member of the fleet, as reported by the membership layer.

use fulmartrestle_core::{AvailabilityZone, VmId};
use fulmartrestle_derive::record;

/// One live member of the fleet.
#[record]
#[derive(Eq)]
pub struct QuotaMember {
    /// Identity that the member drew at its start.
    pub vm: VmId,
    /// Availability zone that the member runs in.
    pub zone: AvailabilityZone,
}
