//! Counters of one node, read by the status page and sent as metrics.

use std::sync::atomic::{AtomicU64, Ordering};

/// A number that only grows.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds to the counter.
    pub fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the counter.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// What a node counts.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests of callers.
    pub requests: Counter,
    /// Child calls of the own target.
    pub child_calls: Counter,
    /// Requests that ended with a target's answer.
    pub answered: Counter,
    /// Requests refused as not run.
    pub not_run: Counter,
    /// Requests that ended with an unknown outcome.
    pub unknown: Counter,
    /// Attempts after the first.
    pub retries: Counter,
    /// Datagrams sent.
    pub datagrams: Counter,
    /// Bytes of control traffic sent.
    pub control_bytes: Counter,
    /// Control messages that could not be sent or read.
    pub control_errors: Counter,
}

/// A counter with its name.
#[derive(Clone, Copy, Debug)]
pub struct NamedCounter<'c> {
    /// The name in metrics and status.
    pub name: &'static str,
    /// The counter.
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
