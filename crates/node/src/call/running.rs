//! The calls that the own target runs at present.

use std::collections::HashMap;

use fulmartrestle_core::{CallId, TimeUs};
use fulmartrestle_policy::RetryAllowance;

use crate::wire::RequestContext;

/// One call that the own target runs. Child calls take their tenant, class, deadline and retries
/// from here, so that a target can't change any of them.
#[derive(Debug)]
pub struct RunningCall {
    /// What the entry decided about the request.
    pub context: RequestContext,
    /// When the answer must be there.
    pub deadline: TimeUs,
    /// Hops between this call and the entry.
    pub depth: u8,
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
        let left = row.allowance.remaining();
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
