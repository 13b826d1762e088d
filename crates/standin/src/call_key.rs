//! What makes two arrivals the same call.

use fulmartrestle_derive::record;

/// Identifies one call of one request: arrivals with equal keys are tries of the same call.
#[record]
#[derive(PartialOrd, Ord, Eq, Hash)]
pub struct CallKey {
    /// The request id, empty when the request came without one.
    pub request_id: String,
    /// The path without its query.
    pub path: String,
}
