//! One decision about one request.

use fulmartrestle_derive::record;

/// One decision about one request, kept for a short time on the node that made it.
#[record]
pub struct RequestDecision {
    /// The request, as its answer's `fulmartrestle-request-id` header names it.
    pub request_id: String,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What was decided and why.
    pub text: String,
}
