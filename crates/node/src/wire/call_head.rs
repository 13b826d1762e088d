//! The head of a call between two nodes.

use fulmartrestle_core::{Fingerprint, Service};
use fulmartrestle_derive::record;

use super::{HeaderPair, RequestContext};

/// The data that a gate needs to admit a call and to send it to its target.
///
/// The caller's API key is not included: the entry node has checked it, and the gate trusts the tenant that the
/// entry node states.
#[record]
pub struct CallHead {
    /// Request context, as set by the entry node.
    pub context: RequestContext,
    /// Service that is called. A gate whose target offers another service refuses the call.
    pub service: Service,
    /// Time left until the deadline, in microseconds. It is relative, because the clocks of two nodes can't be
    /// compared.
    pub deadline_left_us: u64,
    /// Number of retries that this call and its child calls may spend.
    pub retry_allowance: u32,
    /// Number of hops between the entry node and this call.
    pub depth: u8,
    /// Whether the request must not run twice.
    pub at_most_once: bool,
    /// Whether the call may be retried after an attempt with an unknown outcome. Only then may the gate abandon
    /// an unresponsive connection before the deadline.
    pub retryable: bool,
    /// Hash that identifies retries of a request that crashes targets.
    pub fingerprint: Fingerprint,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers, without those that carried the API key.
    pub headers: Vec<HeaderPair>,
}
