//! Counters of a node, which are reported by the status endpoint and sent as metrics.

use std::sync::atomic::{AtomicU64, Ordering};

/// A monotonic counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds `count` to the counter.
    pub fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// The counters of a node.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests from callers.
    pub requests: Counter,
    /// Child calls from the local target.
    pub child_calls: Counter,
    /// Requests that ended with a response of a target.
    pub answered: Counter,
    /// Requests refused without having run.
    pub not_run: Counter,
    /// Requests that ended with an unknown outcome.
    pub unknown: Counter,
    /// Attempts after the first one of a call.
    pub retries: Counter,
    /// Datagrams sent.
    pub datagrams: Counter,
    /// Bytes of control traffic sent.
    pub control_bytes: Counter,
    /// Control messages that could not be sent or decoded.
    pub control_errors: Counter,
}

/// A counter and its name.
#[derive(Clone, Copy, Debug)]
pub struct NamedCounter<'c> {
    /// Name in metrics and in the status.
    pub name: &'static str,
    /// Counter with that name.
    pub counter: &'c Counter,
}

impl Counters {
    /// Returns all counters with their names.
    pub fn named(&self) -> [NamedCounter<'_>; 9] {
        let named = |name, counter| NamedCounter { name, counter };
        [
            named("requests", &self.requests),
            named("child_calls", &self.child_calls),
            named("answered", &self.answered),
            named("not_run", &self.not_run),
            named("unknown", &self.unknown),
            named("retries", &self.retries),
            named("datagrams", &self.datagrams),
            named("control_bytes", &self.control_bytes),
            named("control_errors", &self.control_errors),
        ]
    }
}
