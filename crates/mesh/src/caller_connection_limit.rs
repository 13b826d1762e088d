//! Limits the connections of callers. See `docs/ADMISSION.md`.
//!
//! Load pattern: in an overload most requests are refused, and each refused caller retries on a new connection
//! while it keeps the old one open for later. The open connections exhaust memory and finally file descriptors,
//! and new callers are disconnected before their request is read.

use std::sync::Arc;

use tokio::sync::Semaphore;

/// File descriptors reserved for peer connections, the target, the store and files.
const RESERVED_DESCRIPTORS: usize = 900;

/// Lower bound of the limit, for processes with few descriptors or little memory.
const MIN_CONNECTIONS: usize = 64;

/// Share of the memory that callers' connections may use. Responses of targets, peer connections and tables need
/// the rest.
const MEMORY_SHARE: f64 = 0.4;

/// Estimated memory of one caller's connection, in kilobytes: twice the two 8 KB buffers of `hyper`, to cover the
/// running request and bodies that are buffered for retries.
const CONNECTION_KB: f64 = 32.0;

/// Share of the limit in use above which a refusal closes its connection. A refused caller does not reuse its
/// connection for the next attempt, so keeping it open only occupies a permit.
const CLOSE_THRESHOLD_SHARE: f64 = 0.04;

/// Limit of the callers' connections that are open at the same time.
#[derive(Clone, Debug)]
pub struct CallerConnectionLimit {
    permits: Arc<Semaphore>,
    capacity: usize,
}

impl CallerConnectionLimit {
    /// Returns a limit derived from the process's file descriptors and memory.
    pub fn new(max_descriptors: usize, memory_mb: u64) -> Self {
        let by_memory = memory_mb as f64 * 1024.0 * MEMORY_SHARE / CONNECTION_KB;
        let by_descriptors = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let capacity = by_descriptors.min(by_memory as usize).max(MIN_CONNECTIONS);
        Self { permits: Arc::new(Semaphore::new(capacity)), capacity }
    }

    /// Returns the semaphore of which each open connection holds a permit.
    pub fn semaphore(&self) -> Arc<Semaphore> {
        Arc::clone(&self.permits)
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.capacity.saturating_sub(self.permits.available_permits())
    }

    /// Returns whether so many connections are open that a refused caller's connection should be closed.
    pub fn exceeds_close_threshold(&self) -> bool {
        self.open_connections() as f64 > self.capacity as f64 * CLOSE_THRESHOLD_SHARE
    }
}
