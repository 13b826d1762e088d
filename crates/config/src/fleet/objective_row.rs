//! Service-level objectives of routes.

use fulmartrestle_core::{RouteId, number_newtype};
use fulmartrestle_derive::record;

use super::Row;

number_newtype!(
    /// A proportion in millionths.
    SharePerMillion,
    u32,
    "share per million"
);

impl SharePerMillion {
    /// A proportion of one.
    pub const WHOLE: Self = Self(1_000_000);

    /// Returns `part / whole`, rounded down and at most one. Returns zero if `whole` is zero.
    pub fn from_ratio(part: u64, whole: u64) -> Self {
        if whole == 0 {
            return Self(0);
        }
        let scaled = u128::from(part.min(whole)) * u128::from(Self::WHOLE.0) / u128::from(whole);
        Self(u32::try_from(scaled).unwrap_or(Self::WHOLE.0))
    }
}

/// A service-level objective: the share of a route's calls that should get a complete response in time.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveRow {
    /// The route that the objective applies to.
    pub route: RouteId,
    /// The time limit for the complete response, in milliseconds.
    pub within_ms: u64,
    /// The share of calls that should get a complete response within the limit.
    pub share_per_million: SharePerMillion,
}

impl Row for ObjectiveRow {
    type Key = RouteId;

    fn key(&self) -> &RouteId {
        &self.route
    }
}
