//! Identity of a call, by which attempts of the same call are recognized.

use fulmartrestle_derive::record;

/// Identifies one call of a request. Arrivals with equal keys are attempts of the same call.
#[record]
#[derive(PartialOrd, Ord, Eq, Hash)]
pub struct CallKey {
    /// The request id; empty if the request had none.
    pub request_id: String,
    /// The path of the call, without its query.
    pub path: String,
}
