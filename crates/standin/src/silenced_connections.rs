//! The set of silenced connections.

use std::sync::atomic::{AtomicU64, Ordering};

/// Stands for no connection: no connection has this number.
const NO_CONNECTION: u64 = u64::MAX;

/// Numbers the connections of a target and tracks which of them are silenced: all with a number below `limit`
/// but `exempt`.
#[derive(Debug)]
pub(crate) struct SilencedConnections {
    next_number: AtomicU64,
    limit: AtomicU64,
    exempt: AtomicU64,
}

impl Default for SilencedConnections {
    fn default() -> Self {
        Self { next_number: AtomicU64::new(0), limit: AtomicU64::new(0), exempt: AtomicU64::new(NO_CONNECTION) }
    }
}

impl SilencedConnections {
    /// Returns the number of a new connection.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Silences all connections that are open now, but for the connection with the number `exempt`.
    pub(crate) fn silence_open(&self, exempt: Option<u64>) {
        self.exempt.store(exempt.unwrap_or(NO_CONNECTION), Ordering::Relaxed);
        self.limit.store(self.next_number.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Returns whether the connection with this number is silenced.
    pub(crate) fn contains(&self, number: u64) -> bool {
        number < self.limit.load(Ordering::Relaxed) && number != self.exempt.load(Ordering::Relaxed)
    }
}
