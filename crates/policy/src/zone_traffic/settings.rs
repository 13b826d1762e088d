//! Settings of the traffic between zones.

use fulmartrestle_derive::record;

/// What traffic between zones may cost.
#[record]
#[derive(Copy)]
#[serde(default)]
pub struct ZoneTrafficSettings {
    /// Time that callers must save for each megabyte that crosses zones, in milliseconds.
    pub price_per_mb: f64,
    /// Largest share of the calls of a service that leaves a zone which has usable targets of its own.
    pub max_share: f64,
}

impl Default for ZoneTrafficSettings {
    /// Returns settings with which a call of 10 kB leaves its zone to save 20 ms.
    fn default() -> Self {
        Self { price_per_mb: 2_000.0, max_share: 0.5 }
    }
}
