//! Service-level objectives of routes.

use fulmartrestle_core::{RouteId, number_newtype};
use fulmartrestle_derive::record;

use super::Row;

number_newtype!(
    /// A share of a whole, in millionths.
    SharePerMillion,
    u32,
    "share per million"
);

impl SharePerMillion {
    /// The whole.
    pub const WHOLE: Self = Self(1_000_000);

    /// Returns `part` of `whole`, rounded down, and none of an empty whole.
    pub fn from_ratio(part: u64, whole: u64) -> Self {
        if whole == 0 {
            return Self(0);
        }
        let scaled = u128::from(part.min(whole)) * u128::from(Self::WHOLE.0) / u128::from(whole);
        Self(u32::try_from(scaled).unwrap_or(Self::WHOLE.0))
    }
}

/// The share of a route's calls that should get a whole answer within a time.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveRow {
    /// The route.
    pub route: RouteId,
    /// The time within which an answer counts, in milliseconds.
    pub within_ms: u64,
    /// The share of calls that should be answered in time.
    pub share_per_million: SharePerMillion,
}

impl Row for ObjectiveRow {
    type Key = RouteId;

    fn key(&self) -> &RouteId {
        &self.route
    }
}
