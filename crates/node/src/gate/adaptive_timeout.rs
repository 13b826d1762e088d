//! The time after which a connection to the local target counts as unresponsive.

use std::sync::atomic::{AtomicU64, Ordering};

/// Minimum timeout, in microseconds. Pauses of a healthy target, such as garbage collection, are shorter.
const MIN_TIMEOUT_US: u64 = 500_000;

/// Multiple of the mean latency after which a response is no longer expected.
const MEAN_LATENCY_FACTOR: u64 = 20;

/// Divisor of the moving average: a new latency has a weight of 1/8.
const SMOOTHING_DIVISOR: u64 = 8;

/// Derives the timeout of retryable calls from the target's mean latency.
///
/// HTTP/1.1 has no ping. Only a missing response shows that something between the two ends has lost the state of a
/// connection.
#[derive(Debug, Default)]
pub struct AdaptiveTimeout {
    mean_latency_us: AtomicU64,
}

impl AdaptiveTimeout {
    /// Records the latency of a response, in microseconds.
    pub fn record_response(&self, latency_us: u64) {
        let mean_us = self.mean_latency_us.load(Ordering::Relaxed);
        let next_us = if mean_us == 0 {
            latency_us
        } else {
            (mean_us * (SMOOTHING_DIVISOR - 1) + latency_us) / SMOOTHING_DIVISOR
        };
        // Of two concurrent updates, one may be lost; the effect on the mean is negligible.
        self.mean_latency_us.store(next_us, Ordering::Relaxed);
    }

    /// Returns the time without a response after which a connection counts as unresponsive, in microseconds.
    ///
    /// It is at least half of the time left until the deadline, because a target that has just become slow is
    /// not unresponsive: with a shorter timeout, calls of 0.5 s failed at a target that used to take 15 ms.
    pub fn timeout_us(&self, deadline_left_us: u64) -> u64 {
        let timeout_us = self.mean_latency_us.load(Ordering::Relaxed).saturating_mul(MEAN_LATENCY_FACTOR);
        timeout_us.max(MIN_TIMEOUT_US).max(deadline_left_us / 2)
    }
}
