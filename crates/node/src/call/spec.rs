//! A call that this node sends, at the entry or for its own target.

use fulmartrestle_core::{Fingerprint, Service, TimeUs};

use crate::wire::{CallHead, HeaderPair, RequestContext};

/// Everything about a call that stays the same over its attempts.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// What the entry decided about the request.
    pub context: RequestContext,
    /// Service that the call is for.
    pub service: Service,
    /// Services that the call reaches, the first one included, for the check at the door.
    pub chain: Vec<Service>,
    /// When the answer must be there.
    pub deadline: TimeUs,
    /// Hops between this call and the entry.
    pub depth: u8,
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
            context: self.context.clone(),
            service: self.service.clone(),
            deadline_left_us: self.deadline.us_since(now),
            retry_allowance,
            depth: self.depth,
            at_most_once: self.at_most_once,
            retryable: self.retryable && !self.at_most_once,
            fingerprint: self.fingerprint,
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
        }
    }
}
