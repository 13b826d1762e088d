//! Which connections are silent.

use std::sync::atomic::{AtomicU64, Ordering};

/// No connection has this number.
const NO_CONNECTION: u64 = u64::MAX;

/// Numbers the connections and knows which of them are silent: all below a limit but one.
#[derive(Debug)]
pub(crate) struct Silence {
    next_number: AtomicU64,
    below: AtomicU64,
    except: AtomicU64,
}

impl Default for Silence {
    fn default() -> Self {
        Self { next_number: AtomicU64::new(0), below: AtomicU64::new(0), except: AtomicU64::new(NO_CONNECTION) }
    }
}

impl Silence {
    /// Returns the number of a new connection.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Silences all connections that are open now, but for the one that asks for it.
    pub(crate) fn begin(&self, asking: Option<u64>) {
        self.except.store(asking.unwrap_or(NO_CONNECTION), Ordering::Relaxed);
        self.below.store(self.next_number.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Returns whether the connection with this number is silent.
    pub(crate) fn holds(&self, number: u64) -> bool {
        number < self.below.load(Ordering::Relaxed) && number != self.except.load(Ordering::Relaxed)
    }
}
