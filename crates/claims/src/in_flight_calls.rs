//! Calls in flight, and the retries of the same call that wait for their response.

use std::collections::BTreeMap;

use fulmartrestle_core::number_newtype;

use crate::ClaimKey;

number_newtype!(
    /// Identifies a request that waits for a call in flight.
    WaiterId,
    u64,
    "waiter id"
);

/// Result of [`InFlightCalls::join`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinOutcome {
    /// No call with this key is in flight on this node. The request starts one.
    Started,
    /// A call with this key is in flight. The request waits for its response.
    Joined,
    /// The maximum number of requests already wait for this call.
    Full,
}

/// Calls in flight by key, with the requests that wait for each.
#[derive(Clone, Debug)]
pub struct InFlightCalls {
    max_waiters: usize,
    waiters_by_key: BTreeMap<ClaimKey, Vec<WaiterId>>,
}

impl InFlightCalls {
    /// Returns an empty table in which at most `max_waiters` requests wait for each call.
    pub fn new(max_waiters: usize) -> Self {
        Self { max_waiters, waiters_by_key: BTreeMap::new() }
    }

    /// Starts a call, or adds `waiter` to the call in flight. The request that starts a call is not
    /// added.
    pub fn join(&mut self, key: ClaimKey, waiter: WaiterId) -> JoinOutcome {
        let Some(waiters) = self.waiters_by_key.get_mut(&key) else {
            self.waiters_by_key.insert(key, Vec::new());
            return JoinOutcome::Started;
        };
        if waiters.len() >= self.max_waiters {
            return JoinOutcome::Full;
        }
        waiters.push(waiter);
        JoinOutcome::Joined
    }

    /// Removes a waiter whose caller has disconnected.
    pub fn remove_waiter(&mut self, key: ClaimKey, waiter: WaiterId) {
        if let Some(waiters) = self.waiters_by_key.get_mut(&key) {
            waiters.retain(|known| *known != waiter);
        }
    }

    /// Removes a finished call and returns the requests that wait for its response.
    pub fn finish(&mut self, key: ClaimKey) -> Vec<WaiterId> {
        self.waiters_by_key.remove(&key).unwrap_or_default()
    }

    /// Returns the number of calls in flight.
    pub fn len(&self) -> usize {
        self.waiters_by_key.len()
    }

    /// Returns whether no call is in flight.
    pub fn is_empty(&self) -> bool {
        self.waiters_by_key.is_empty()
    }
}
