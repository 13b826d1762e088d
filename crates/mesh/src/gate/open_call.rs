//! Counts the calls of other nodes whose responses have not been sent.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts one call until it is dropped.
#[derive(Debug)]
pub struct OpenCall(Arc<AtomicUsize>);

impl OpenCall {
    /// Adds a call to `count`.
    pub fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }

    /// Returns how many calls are counted.
    pub fn count(count: &AtomicUsize) -> usize {
        count.load(Ordering::Relaxed)
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
