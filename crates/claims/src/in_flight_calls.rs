//! Running calls that re-sends of the same call join.

use std::collections::BTreeMap;

use fulmartrestle_core::number_newtype;

use crate::ClaimKey;

number_newtype!(
    /// Identifies a caller's request that waits for a call which another request started.
    WaiterId,
    u64,
    "waiter id"
);

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinOutcome {
    /// No call with this key runs here: the request starts one.
    Started,
    /// A call with this key runs: the request gets its answer.
    Joined,
    /// Too many requests wait for this call already.
    Full,
}

/// Running calls by key, with the requests that wait for each.
#[derive(Clone, Debug)]
pub struct InFlightCalls {
    max_waiters: usize,
    running: BTreeMap<ClaimKey, Vec<WaiterId>>,
}

impl InFlightCalls {
    /// Returns an empty table that lets `max_waiters` requests wait for each call.
    pub fn new(max_waiters: usize) -> Self {
        Self { max_waiters, running: BTreeMap::new() }
    }

    /// Starts a call or joins the running one.
    pub fn join(&mut self, key: ClaimKey, waiter: WaiterId) -> JoinOutcome {
        let Some(waiters) = self.running.get_mut(&key) else {
            self.running.insert(key, Vec::new());
            return JoinOutcome::Started;
        };
        if waiters.len() >= self.max_waiters {
            return JoinOutcome::Full;
        }
        waiters.push(waiter);
        JoinOutcome::Joined
    }

    /// Forgets a waiter whose caller went away.
    pub fn remove_waiter(&mut self, key: ClaimKey, waiter: WaiterId) {
        if let Some(waiters) = self.running.get_mut(&key) {
            waiters.retain(|known| *known != waiter);
        }
    }

    /// Ends a call and returns the requests that get its answer.
    pub fn finish(&mut self, key: ClaimKey) -> Vec<WaiterId> {
        self.running.remove(&key).unwrap_or_default()
    }

    /// Returns the number of running calls.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns whether no call runs.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }
}
