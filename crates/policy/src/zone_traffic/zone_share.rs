//! Share of a service's calls that is sent to one other zone.

use fulmartrestle_core::AvailabilityZone;
use fulmartrestle_derive::local;

/// Why calls leave their zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ZoneTrafficReason {
    /// They do not: calls stay in their zone, or return to it.
    #[default]
    Home,
    /// The own zone has no usable target.
    Empty,
    /// The own zone has too few free slots.
    Short,
    /// The own zone has free slots, but its targets are slower.
    Slow,
}

/// Share of a service's calls that is sent to one other zone, with what decided it.
#[local]
pub struct ZoneShare {
    /// The other zone.
    pub zone: AvailabilityZone,
    /// The share, from 0 to 1.
    pub share: f64,
    /// Why calls leave.
    pub reason: ZoneTrafficReason,
    /// Share of the slots in use in the own zone and in the other one.
    pub own_occupancy: f64,
    /// See `own_occupancy`.
    pub other_occupancy: f64,
    /// What one call between the zones costs, in microseconds.
    pub cost_us: f64,
}

impl ZoneTrafficReason {
    /// Returns the name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Empty => "empty",
            Self::Short => "short",
            Self::Slow => "slow",
        }
    }
}
