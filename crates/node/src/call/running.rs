//! The calls that the local target is running.

use std::collections::HashMap;

use fulmartrestle_core::{CallId, TimeUs};
use fulmartrestle_policy::RetryAllowance;

use crate::wire::RequestContext;

/// A call that the local target is running.
///
/// Child calls take their tenant, class, deadline and retries from this row, so that a target can't change any
/// of them.
#[derive(Debug)]
pub struct RunningCall {
    /// Request context, as set by the entry node.
    pub context: RequestContext,
    /// Time by which the response must have arrived.
    pub deadline: TimeUs,
    /// Number of hops between the entry node and this call.
    pub depth: u8,
    /// Whether the request must not run twice.
    pub at_most_once: bool,
    /// Remaining retries for child calls.
    pub allowance: RetryAllowance,
}

/// Table of the calls that the local target is running.
#[derive(Debug, Default)]
pub struct RunningCalls {
    rows: HashMap<CallId, RunningCall>,
}

impl RunningCalls {
    /// Adds a call that is about to be sent to the target.
    pub fn insert(&mut self, call: CallId, row: RunningCall) {
        self.rows.insert(call, row);
    }

    /// Removes a call that has ended. Its context is no longer valid for child calls.
    pub fn remove(&mut self, call: CallId) -> Option<RunningCall> {
        self.rows.remove(&call)
    }

    /// Returns the row of a call, or `None` if the call has ended.
    pub fn get_mut(&mut self, call: CallId) -> Option<&mut RunningCall> {
        self.rows.get_mut(&call)
    }

    /// Takes the retries that no child call has spent or reserved, and closes the allowance.
    ///
    /// The response reports them upstream. Unspent retries of a child call that ends later are lost.
    pub fn close_allowance(&mut self, call: CallId) -> u32 {
        let Some(row) = self.rows.get_mut(&call) else { return 0 };
        let remaining = row.allowance.remaining();
        row.allowance.reserve(remaining).retries()
    }

    /// Returns the number of running calls.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no call is running.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
