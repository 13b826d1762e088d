//! The head of a call between two nodes.

use fulmartrestle_core::{Fingerprint, Service};
use fulmartrestle_derive::record;

use super::{HeaderPair, RequestContext};

/// Everything a gate needs to decide about a call and to hand it to its target. The caller's key is
/// not part of it: the entry node checked the key and vouches for the tenant.
#[record]
pub struct CallHead {
    /// What the entry decided about the request.
    pub context: RequestContext,
    /// Service that the call is for. A gate whose target offers another service refuses.
    pub service: Service,
    /// Time left until the deadline, in microseconds. Clocks of two nodes can't be compared.
    pub deadline_left_us: u64,
    /// Retries that this call and its child calls may spend.
    pub retry_allowance: u32,
    /// Number of hops between this call and the entry.
    pub depth: u8,
    /// Whether the request must not run twice.
    pub at_most_once: bool,
    /// Whether an attempt whose outcome is unknown may be followed by another. Only then may the gate give
    /// up on a silent connection before the deadline.
    pub retryable: bool,
    /// Hash by which requests that crash targets are recognised.
    pub fingerprint: Fingerprint,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers, without any that held the key.
    pub headers: Vec<HeaderPair>,
}
