//! The description of a call that this node sends, for a caller or for its local target.

use fulmartrestle_core::{Fingerprint, Service, TimeUs};

use crate::wire::{CallHead, HeaderPair, RequestContext};

/// The properties of a call that are the same for all of its attempts.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// Request context, as set by the entry node.
    pub context: RequestContext,
    /// Service that is called.
    pub service: Service,
    /// Services that the call reaches, starting with `service`. Ingress admission checks all of them.
    pub chain: Vec<Service>,
    /// Time by which the response must have arrived.
    pub deadline: TimeUs,
    /// Number of hops between the entry node and this call.
    pub depth: u8,
    /// Whether the request must not run twice.
    pub at_most_once: bool,
    /// Whether the call may be retried after an attempt with an unknown outcome.
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

impl CallSpec {
    /// Returns the call head for an attempt that starts `now` and may spend `retry_allowance` retries downstream.
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
