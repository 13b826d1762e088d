//! A call that this node sends, at the entry or for its own target.

use fulmartrestle_config::fleet::KeyHash;
use fulmartrestle_core::{Class, Fingerprint, RouteId, Service, Tenant, TimeUs};
use fulmartrestle_policy::BasisPoints;

use crate::wire::{CallHead, HeaderPair};

/// Everything about a call that stays the same over its attempts.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// Random number of the whole request.
    pub request_id: u64,
    /// Service that the call is for.
    pub service: Service,
    /// Services that the call reaches further down, for the check at the door.
    pub chain: Vec<Service>,
    /// Route by which the request entered.
    pub route: RouteId,
    /// Tenant whose key came with the request.
    pub tenant: Option<Tenant>,
    /// Hash of that key, never the key itself.
    pub key_hash: Option<KeyHash>,
    /// The tenant's weight.
    pub weight: u32,
    /// Importance of the request.
    pub class: Class,
    /// When the answer must be there.
    pub deadline: TimeUs,
    /// Hops between this call and the entry.
    pub depth: u8,
    /// The share of such requests that the entry's door let in.
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

impl CallSpec {
    /// Returns the head for one attempt.
    pub fn head(&self, now: TimeUs, retry_allowance: u32) -> CallHead {
        CallHead {
            request_id: self.request_id,
            service: self.service.clone(),
            route: self.route.clone(),
            tenant: self.tenant.clone(),
            key_hash: self.key_hash,
            weight: self.weight,
            class: self.class,
            deadline_left_us: self.deadline.us_since(now),
            retry_allowance,
            depth: self.depth,
            door_share: self.door_share,
            at_most_once: self.at_most_once,
            retryable: self.retryable,
            fingerprint: self.fingerprint,
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
        }
    }
}
