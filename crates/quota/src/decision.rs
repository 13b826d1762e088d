//! The rate limiter's decision on one request.

use fulmartrestle_core::TimeUs;
use fulmartrestle_derive::local;

/// Decision of the rate limiter on one request.
#[local]
#[derive(Copy, Eq)]
pub enum RateDecision {
    /// A token was consumed: the request counts against the tenant's rate from now on.
    Admitted,
    /// A token may arrive within a few milliseconds. Call [`crate::QuotaNode::retry_admit`] when
    /// [`crate::QuotaNode::take_ready_tenants`] returns the tenant, and at `retry_at` at the latest.
    Wait {
        /// Latest time of the retry, on this node's clock.
        retry_at: TimeUs,
    },
    /// No token can be obtained within the maximum wait: the tenant exceeds its rate, or the
    /// owners did not respond.
    Refused {
        /// Retry-After for the caller, in milliseconds.
        retry_after_ms: u64,
    },
}
