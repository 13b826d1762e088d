//! Service-level objectives of routes.

use fulmartrestle_core::{RouteId, number_newtype};
use fulmartrestle_derive::record;

number_newtype!(
    /// A share in millionths: 999,000 stands for 99.9 %.
    ShareMillionths,
    u32,
    "share in millionths"
);

impl ShareMillionths {
    /// The whole, in millionths.
    pub const ONE: u32 = 1_000_000;

    /// Returns the share of calls that may be bad, from 0 to 1. It is at least one millionth, so that an
    /// objective of 100 % has a finite burn rate.
    pub fn allowed_failure_share(self) -> f64 {
        f64::from(Self::ONE.saturating_sub(self.0).max(1)) / f64::from(Self::ONE)
    }

    /// Returns the share in percent.
    pub fn percent(self) -> f64 {
        f64::from(self.0) / 10_000.0
    }
}

/// Service-level objective of a route: the share of calls that get a complete response within a time.
#[record]
pub struct Objective {
    /// The route that the objective applies to.
    pub route: RouteId,
    /// Share of calls that must get a complete response in time.
    pub share: ShareMillionths,
    /// Time within which a complete response counts as good, in milliseconds.
    pub within_ms: u64,
}
