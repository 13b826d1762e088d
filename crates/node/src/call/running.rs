//! The calls that the own target runs at present.

use std::collections::HashMap;

use fulmartrestle_config::fleet::KeyHash;
use fulmartrestle_core::{CallId, Class, RouteId, Tenant, TimeUs};
use fulmartrestle_policy::{BasisPoints, RetryAllowance};

/// One call that the own target runs. Child calls take their tenant, class, deadline and retries
/// from here, so that a target can't change any of them.
#[derive(Debug)]
pub struct RunningCall {
    /// Random number of the whole request.
    pub request_id: u64,
    /// Route by which the request entered.
    pub route: RouteId,
    /// Tenant whose key came with the request.
    pub tenant: Option<Tenant>,
    /// Hash of that key.
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
    /// Retries left for child calls.
    pub allowance: RetryAllowance,
}

/// Table of the calls that the own target runs.
#[derive(Debug, Default)]
pub struct RunningCalls {
    rows: HashMap<CallId, RunningCall>,
}

impl RunningCalls {
    /// Adds a call when its target is handed it.
    pub fn insert(&mut self, call: CallId, row: RunningCall) {
        self.rows.insert(call, row);
    }

    /// Removes a call that ended; its child calls lose their context with it.
    pub fn remove(&mut self, call: CallId) -> Option<RunningCall> {
        self.rows.remove(&call)
    }

    /// Returns a running call.
    pub fn get_mut(&mut self, call: CallId) -> Option<&mut RunningCall> {
        self.rows.get_mut(&call)
    }

    /// Takes the retries that no child call spent or holds. The account is closed by this: an answer
    /// reports them upstream, and a child call that ends later gives its rest to nobody.
    pub fn close_allowance(&mut self, call: CallId) -> u32 {
        let Some(row) = self.rows.get_mut(&call) else { return 0 };
        let left = row.allowance.left();
        row.allowance.reserve(left).retries()
    }

    /// Returns the number of running calls.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether no call runs.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
