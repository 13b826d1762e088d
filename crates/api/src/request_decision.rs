//! Recorded decision about a request.

use fulmartrestle_derive::record;

/// A decision about a request. The node that made it keeps it for a short time.
#[record]
pub struct RequestDecision {
    /// Request id, as in the `fulmartrestle-request-id` header of the response.
    pub request_id: String,
    /// Time of the decision, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The decision and the reason for it.
    pub text: String,
}
