//! Requests that one run of a target has answered.

use std::collections::{HashSet, VecDeque};

use fulmartrestle_core::Fingerprint;

/// Maximum number of requests that are remembered. A request that comes so seldom that it is not among them is seldom
/// in flight in two crashes.
const MAX_REQUESTS: usize = 1_024;

/// Requests that one run of a target has answered, so that they are not suspected when it crashes. Without it a
/// request that many callers send, and that is always in flight, would be blocked after any two crashes.
#[derive(Debug, Default)]
pub struct AnsweredRequests {
    fingerprints: HashSet<Fingerprint>,
    insertion_order: VecDeque<Fingerprint>,
}

impl AnsweredRequests {
    /// Records that the target answered a request.
    pub fn record(&mut self, fingerprint: Fingerprint) {
        if !self.fingerprints.insert(fingerprint) {
            return;
        }
        self.insertion_order.push_back(fingerprint);
        if self.insertion_order.len() > MAX_REQUESTS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.fingerprints.remove(&oldest);
        }
    }

    /// Returns whether the target has answered an equal request.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.fingerprints.contains(&fingerprint)
    }

    /// Forgets all requests, because a new run of the target has started.
    pub fn clear(&mut self) {
        self.fingerprints.clear();
        self.insertion_order.clear();
    }
}
