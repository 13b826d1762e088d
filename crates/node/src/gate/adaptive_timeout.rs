//! When a call's connection to the own target counts as silent.

use std::sync::atomic::{AtomicU64, Ordering};

/// Shortest time without an answer after which a connection counts as silent, in microseconds. Pauses
/// of a healthy target, such as garbage collection, are shorter.
const MIN_TIMEOUT_US: u64 = 500_000;

/// Answers that take this many times the usual are not waited for.
const FACTOR: u64 = 20;

/// A new time counts for one part in so many.
const SMOOTHING: u64 = 8;

/// Learns how long the target usually takes, and says how long a call that may be repeated waits. HTTP/1.1
/// has no ping, so that only a missing answer shows that something between the two ends has lost track
/// of a connection.
#[derive(Debug, Default)]
pub struct AdaptiveTimeout {
    usual_us: AtomicU64,
}

impl AdaptiveTimeout {
    /// Notes how long an answer took.
    pub fn answered(&self, took_us: u64) {
        let usual_us = self.usual_us.load(Ordering::Relaxed);
        let next_us = if usual_us == 0 { took_us } else { (usual_us * (SMOOTHING - 1) + took_us) / SMOOTHING };
        // Two answers at the same time may count as one; the mean hardly differs.
        self.usual_us.store(next_us, Ordering::Relaxed);
    }

    /// Returns the time without an answer after which a connection counts as silent, in microseconds. It is
    /// never less than half of the time left: a target that has just become slow is not silent, and with a
    /// shorter limit calls of 0.5 s failed at a target that used to take 15 ms.
    pub fn limit_us(&self, deadline_left_us: u64) -> u64 {
        let usual_us = self.usual_us.load(Ordering::Relaxed).saturating_mul(FACTOR);
        usual_us.max(MIN_TIMEOUT_US).max(deadline_left_us / 2)
    }
}
