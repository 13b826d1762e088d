//! Settings of the burn table.

use fulmartrestle_derive::record;

use crate::ShareMillionths;

/// Settings of the burn table and its report.
#[record]
#[serde(default, deny_unknown_fields)]
pub struct BurnSettings {
    /// Share promised by routes without an objective of their own.
    pub default_share: ShareMillionths,
    /// Time promised by routes without an objective of their own, in milliseconds.
    pub default_within_ms: u64,
    /// Routes that are recorded; calls of further routes are only counted as dropped.
    pub max_routes: usize,
    /// Tenants remembered for each route.
    pub tenants_per_route: usize,
    /// Burn rate over 5 minutes and 1 hour from which a route burns fast. At 6, a quarter of the day's
    /// budget goes in an hour.
    pub fast_burn_rate: f64,
    /// Burn rate over 30 minutes and 6 hours from which a route burns slowly. At 2, half of the day's
    /// budget goes in 6 hours.
    pub slow_burn_rate: f64,
}

impl Default for BurnSettings {
    fn default() -> Self {
        Self {
            default_share: ShareMillionths(990_000),
            default_within_ms: 1_000,
            max_routes: 512,
            tenants_per_route: 16,
            fast_burn_rate: 6.0,
            slow_burn_rate: 2.0,
        }
    }
}
