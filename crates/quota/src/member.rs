//! A live member of the fleet as the membership layer sees it.

use fulmartrestle_core::{AvailabilityZone, VmId};
use fulmartrestle_derive::record;

/// One live member.
#[record]
#[derive(Eq)]
pub struct QuotaMember {
    /// The member's identity.
    pub vm: VmId,
    /// The zone it runs in.
    pub zone: AvailabilityZone,
}
