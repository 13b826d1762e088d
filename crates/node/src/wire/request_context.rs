//! What stays the same about a request over all its hops and attempts.

use fulmartrestle_config::fleet::KeyHash;
use fulmartrestle_core::{Class, RouteId, Tenant};
use fulmartrestle_derive::record;
use fulmartrestle_policy::BasisPoints;

/// What the entry decided about a request. Every hop takes it over unchanged, so that no target can
/// raise its own importance or speak for another tenant.
#[record]
pub struct RequestContext {
    /// Random number of the whole request.
    pub request_id: u64,
    /// Route by which the request entered.
    pub route: RouteId,
    /// Tenant whose key came with the request; absent on routes open to all.
    pub tenant: Option<Tenant>,
    /// Hash of that key, so that a call that waited is checked again. Never the key itself.
    pub key_hash: Option<KeyHash>,
    /// The tenant's weight in the sharing of an overloaded target.
    pub weight: u32,
    /// Importance of the request.
    pub class: Class,
    /// The share of such requests that the entry's door let in. From it a gate knows how many were
    /// refused for each one that it sees.
    pub ingress_share: BasisPoints,
}
