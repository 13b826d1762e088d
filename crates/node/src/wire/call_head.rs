//! The head of a call between two nodes.

use fulmartrestle_config::fleet::KeyHash;
use fulmartrestle_core::{Class, Fingerprint, RouteId, Service, Tenant};
use fulmartrestle_derive::record;
use fulmartrestle_policy::BasisPoints;

use super::HeaderPair;

/// Everything a gate needs to decide about a call and to hand it to its target. The caller's key is
/// not part of it: the entry node checked the key and vouches for the tenant.
#[record]
pub struct CallHead {
    /// Random number of the whole request; the same on each hop and attempt.
    pub request_id: u64,
    /// Service that the call is for. A gate whose target offers another service refuses.
    pub service: Service,
    /// Route by which the request entered.
    pub route: RouteId,
    /// Tenant whose key came with the request; absent on routes open to all.
    pub tenant: Option<Tenant>,
    /// Hash of that key, so that a call that waited is checked again. Never the key itself.
    pub key_hash: Option<KeyHash>,
    /// The tenant's weight in the sharing of an overloaded target.
    pub weight: u32,
    /// Importance of the request, the same on each hop.
    pub class: Class,
    /// Time left until the deadline, in microseconds. Clocks of two nodes can't be compared.
    pub deadline_left_us: u64,
    /// Retries that this call and its child calls may spend.
    pub retry_allowance: u32,
    /// Number of hops between this call and the entry.
    pub depth: u8,
    /// The share of such requests that the entry's door let in. From it a gate knows how many were
    /// refused for each one that it sees.
    pub door_share: BasisPoints,
    /// Whether the request must not run twice.
    pub at_most_once: bool,
    /// Whether an attempt whose outcome is unknown may be followed by another.
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
