//! The answer to a request for admission.

use fulmartrestle_core::TimeUs;
use fulmartrestle_derive::local;

/// Whether a request may go on now.
#[local]
#[derive(Copy, Eq)]
pub enum RateDecision {
    /// A token was taken: the request counts against the tenant's rate from this moment.
    Admitted,
    /// A token may arrive within a few milliseconds; ask again when the tenant is ready or at `retry_at`.
    Wait {
        /// When to ask again at the latest, on this node's clock.
        retry_at: TimeUs,
    },
    /// The tenant is over its rate as far as this node can learn in time.
    Refused {
        /// When the caller should come back, in milliseconds.
        retry_after_ms: u64,
    },
}
