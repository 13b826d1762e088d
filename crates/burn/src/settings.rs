//! Settings of the burn table and its report.

use fulmartrestle_derive::record;

use crate::ShareMillionths;

/// Settings of the burn table and its report.
#[record]
#[serde(default, deny_unknown_fields)]
pub struct BurnSettings {
    /// Share of the default objective, which applies to routes without an objective of their own.
    pub default_share: ShareMillionths,
    /// Time of the default objective, in milliseconds.
    pub default_within_ms: u64,
    /// Maximum number of routes that are recorded. Calls to further routes are only counted as dropped.
    pub max_routes: usize,
    /// Maximum number of tenants that are tracked for each route.
    pub tenants_per_route: usize,
    /// Burn rate over 5 minutes and 1 hour from which a burn counts as fast. A rate of 6 consumes a quarter of
    /// the day's error budget in an hour.
    pub fast_burn_rate: f64,
    /// Burn rate over 30 minutes and 6 hours from which a burn counts as slow. A rate of 2 consumes half of the
    /// day's error budget in 6 hours.
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
