//! One zone's share of a tenant's rate and burst.

use fulmartrestle_derive::value;

use crate::TenantRate;

const MILLI_PER_TOKEN: u64 = 1_000;

/// Rate and burst up to which one zone may admit requests of one tenant.
#[value]
#[derive(Default)]
pub struct ZoneShare {
    /// Rate, in thousandths of a token per second.
    pub rate_milli_per_s: u64,
    /// Capacity of the zone's bucket, in whole tokens.
    pub burst: u64,
}

impl ZoneShare {
    /// Returns whether both the rate and the burst of this share are at least those of `other`.
    pub fn is_at_least(self, other: Self) -> bool {
        self.rate_milli_per_s >= other.rate_milli_per_s && self.burst >= other.burst
    }

    /// Returns a share with the lower rate and the lower burst of the two shares.
    pub fn component_min(self, other: Self) -> Self {
        Self { rate_milli_per_s: self.rate_milli_per_s.min(other.rate_milli_per_s), burst: self.burst.min(other.burst) }
    }

    /// Returns the share of the zone at `position` out of `zone_count`. All zones have the same
    /// weight, and the remainders go to the first positions. A bucket without burst capacity could
    /// never hold a token, so the rate is split among the zones with burst only. The shares of all
    /// zones sum to the tenant's rate and burst, or to zero when the burst is zero.
    pub fn for_zone(rate: &TenantRate, position: u64, zone_count: u64) -> Self {
        let zones_with_burst = zone_count.min(rate.burst.0);
        let burst = part_of(rate.burst.0, position, zone_count);
        let rate_milli_per_s = part_of(rate.rate_per_s.0 * MILLI_PER_TOKEN, position, zones_with_burst);
        Self { rate_milli_per_s, burst }
    }
}

fn part_of(total: u64, position: u64, parts: u64) -> u64 {
    if position >= parts {
        return 0;
    }
    total / parts + u64::from(position < total % parts)
}
