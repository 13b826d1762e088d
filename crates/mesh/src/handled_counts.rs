//! Counts what this node has done with its processor, and how long its tasks have waited for it.

use std::sync::atomic::{AtomicU64, Ordering};

use fulmartrestle_policy::ProcessorWork;
use tokio::runtime::Handle;

/// Calls and requests that a node has handled since it started.
#[derive(Debug, Default)]
pub struct HandledCounts {
    target_calls: AtomicU64,
    caller_requests: AtomicU64,
    waits: AtomicU64,
    waited_us: AtomicU64,
}

impl HandledCounts {
    /// Counts a call to or from the target.
    pub fn count_target_call(&self) {
        self.target_calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request of a caller.
    pub fn count_caller_request(&self) {
        self.caller_requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a wait of a ready task.
    pub fn count_wait(&self, wait_us: u64) {
        self.waits.fetch_add(1, Ordering::Relaxed);
        self.waited_us.fetch_add(wait_us, Ordering::Relaxed);
    }

    /// Returns the counts with the time in which the present runtime was busy. A node runs all its tasks on one thread.
    pub fn processor_work(&self) -> ProcessorWork {
        ProcessorWork {
            busy_us: busy_us(),
            target_calls: self.target_calls.load(Ordering::Relaxed),
            caller_requests: self.caller_requests.load(Ordering::Relaxed),
            waits: self.waits.load(Ordering::Relaxed),
            waited_us: self.waited_us.load(Ordering::Relaxed),
        }
    }
}

/// Returns the time in which the thread of the present runtime ran or was ready to run, in microseconds.
pub fn busy_us() -> u64 {
    Handle::current().metrics().worker_total_busy_duration(0).as_micros() as u64
}
