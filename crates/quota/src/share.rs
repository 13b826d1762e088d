//! A zone's share of a tenant's rate and burst.

use fulmartrestle_derive::value;

use crate::TenantRate;

const MILLI: u64 = 1_000;

/// What one zone may admit of one tenant on its own.
#[value]
#[derive(Default)]
pub struct ZoneShare {
    /// Rate in thousandths of a token per second.
    pub rate_milli_per_s: u64,
    /// Whole tokens that the zone's bucket holds.
    pub burst: u64,
}

impl ZoneShare {
    /// Returns whether this share is at least `other` in rate and in burst.
    pub fn covers(self, other: Self) -> bool {
        self.rate_milli_per_s >= other.rate_milli_per_s && self.burst >= other.burst
    }

    /// Returns the lower rate and the lower burst of two shares.
    pub fn lower_of(self, other: Self) -> Self {
        Self { rate_milli_per_s: self.rate_milli_per_s.min(other.rate_milli_per_s), burst: self.burst.min(other.burst) }
    }

    /// Returns the share of the zone at `position` out of `zone_count`, where every zone has the
    /// same weight and the largest remainders go to the first positions. A zone without burst could
    /// never fill a token, so the rate goes to the zones that have burst. The sums over all zones
    /// equal the tenant's rate and burst.
    pub fn for_zone(rate: &TenantRate, position: u64, zone_count: u64) -> Self {
        let carriers = zone_count.min(rate.burst.0);
        let burst = part(rate.burst.0, position, zone_count);
        let rate_milli_per_s = part(rate.rate_per_s.0 * MILLI, position, carriers);
        Self { rate_milli_per_s, burst }
    }
}

fn part(total: u64, position: u64, parts: u64) -> u64 {
    if position >= parts {
        return 0;
    }
    total / parts + u64::from(position < total % parts)
}
