//! Load of a service in one zone.

use fulmartrestle_core::AvailabilityZone;
use fulmartrestle_derive::local;

/// Time by which one more call lengthens all calls of a zone whose slots are all in use, in times of a call, and the power
/// of the share in use with which it grows. Up to two thirds of the slots, a zone is as good as an empty one: with half of
/// the power, calls left zones that were half full.
const FULL_COST: f64 = 28.0;
const FULLNESS_POWER: i32 = 12;

/// The usable targets of a service in one zone, as their reports show them.
#[local]
pub struct ZoneLoad {
    /// The zone.
    pub zone: AvailabilityZone,
    /// Slots of its usable targets; 0 if it has none.
    pub slots: f64,
    /// Calls that are running and waiting at these targets.
    pub calls: f64,
    /// Mean time for which a call holds a slot there, in microseconds.
    pub hold_us: f64,
}

impl ZoneLoad {
    /// Returns the share of the slots that is in use; above 1 if calls are waiting.
    pub fn occupancy(&self) -> f64 {
        if self.slots > 0.0 { self.calls / self.slots } else { 0.0 }
    }

    /// Returns by how much one more call lengthens all calls in the zone together, its own time included, in
    /// microseconds. This is what it costs the callers of the zone.
    pub fn marginal_us(&self) -> f64 {
        let occupancy = self.occupancy();
        let overfull = occupancy.max(1.0);
        self.hold_us * (1.0 + FULL_COST * occupancy.min(1.0).powi(FULLNESS_POWER)) * overfull * overfull
    }
}
