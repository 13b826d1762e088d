//! The properties of a request that are the same for all of its hops and attempts.

use fulmartrestle_config::fleet::KeyHash;
use fulmartrestle_core::{Class, RouteId, Tenant};
use fulmartrestle_derive::record;
use fulmartrestle_policy::BasisPoints;

/// Request properties that the entry node sets.
///
/// Every hop forwards them unchanged, so that no target can raise the priority of its calls or act for another
/// tenant.
#[record]
pub struct RequestContext {
    /// Random id of the request.
    pub request_id: u64,
    /// Route that the request matched at the entry node.
    pub route: RouteId,
    /// Tenant that the request's API key belongs to; absent on routes open to all.
    pub tenant: Option<Tenant>,
    /// Hash of that key, never the key itself. The gate uses it to check the key again after the call was queued.
    pub key_hash: Option<KeyHash>,
    /// Weight of the tenant when an overloaded target is shared between tenants.
    pub weight: u32,
    /// Priority class of the request.
    pub class: Class,
    /// Share of such requests that ingress admission admitted. From it a gate computes how many requests were
    /// refused for each one that it receives.
    pub ingress_share: BasisPoints,
}
