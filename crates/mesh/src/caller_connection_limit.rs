//! Room for callers' connections. See `docs/ADMISSION.md`.
//!
//! Load pattern: an overload refuses most requests, and each refused caller comes back on a new connection
//! while it keeps the old one for later. Kept connections fill the memory and in the end the descriptors, and
//! new callers are cut off unheard.

use std::sync::Arc;

use tokio::sync::Semaphore;

/// Descriptors that are kept free of callers: for links, the target, the store and files.
const RESERVED_DESCRIPTORS: usize = 900;

/// Least number of callers' connections, for processes with few descriptors or little memory.
const MIN_CONNECTIONS: usize = 64;

/// Share of the memory that callers' connections may fill. Targets' answers, links and tables need the rest.
const MEMORY_SHARE: f64 = 0.4;

/// Memory of one caller's connection, in kilobytes: an estimate, twice the two buffers of 8 that `hyper` keeps,
/// for the request under way and bodies that are kept for repetitions.
const CONNECTION_KB: f64 = 32.0;

/// Share of the room in use from which on a refusal closes its connection. The caller will not use it for its
/// next attempt.
const CLOSE_THRESHOLD_SHARE: f64 = 0.04;

/// Places of callers' connections.
#[derive(Clone, Debug)]
pub struct CallerConnectionLimit {
    permits: Arc<Semaphore>,
    capacity: usize,
}

impl CallerConnectionLimit {
    /// Returns as many places as the process has room for.
    pub fn new(max_descriptors: usize, memory_mb: u64) -> Self {
        let by_memory = memory_mb as f64 * 1024.0 * MEMORY_SHARE / CONNECTION_KB;
        let by_descriptors = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let capacity = by_descriptors.min(by_memory as usize).max(MIN_CONNECTIONS);
        Self { permits: Arc::new(Semaphore::new(capacity)), capacity }
    }

    /// Returns the places, each of which a connection holds as long as it is open.
    pub fn semaphore(&self) -> Arc<Semaphore> {
        Arc::clone(&self.permits)
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.capacity.saturating_sub(self.permits.available_permits())
    }

    /// Tells whether a refused caller's connection should be closed.
    pub fn exceeds_close_threshold(&self) -> bool {
        self.open_connections() as f64 > self.capacity as f64 * CLOSE_THRESHOLD_SHARE
    }
}
