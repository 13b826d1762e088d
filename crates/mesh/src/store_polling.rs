//! How often the store is asked. See `docs/PLATFORM.md`.
//!
//! Load pattern: each call to the store costs, and a fleet makes calls in proportion to its size. A few nodes
//! confirm often that nothing is new and tell the others; those only wait for news, and ask for themselves
//! once nobody tells them.

use fulmartrestle_core::VmId;

/// Nodes that confirm for all. They have random ids, so that a zone that is cut off seldom has all of them.
const CONFIRMING_NODES: usize = 4;

/// How long a confirming read waits for news, in milliseconds. Status messages add a second to the age, and
/// two reads may follow each other in the time in which a withdrawn key must stop working.
const CONFIRMING_POLL_MS: u64 = 1_000;

/// How long the other reads wait for news, in milliseconds. A connection that went silent is noticed at its end.
const LONG_POLL_MS: u64 = 6_000;

/// Age of what is known about the configuration from which on a node asks for itself, as a share of the time
/// in which a withdrawn key must stop working: the rest is for the answer and a lost message.
const DIRECT_READ_AGE_SHARE: f64 = 0.6;

/// Pause after the first failed call, and the longest, in milliseconds. A store that is back is met within
/// the second in which nodes without news still answer.
const MIN_BACKOFF_MS: u64 = 160;
const MAX_BACKOFF_MS: u64 = 900;

/// Returns how long a node's next read waits for news, in milliseconds.
pub fn long_poll_wait_ms(own: VmId, live: &[VmId], age_ms: Option<u64>, revoke_ms: u64) -> u64 {
    if age_ms.is_none_or(|age_ms| age_ms >= direct_read_age_ms(revoke_ms)) {
        return 0;
    }
    let is_confirming = live.iter().filter(|other| **other < own).count() < CONFIRMING_NODES;
    if is_confirming { CONFIRMING_POLL_MS } else { LONG_POLL_MS }
}

/// Returns the age from which on a node asks for itself, in milliseconds.
pub fn direct_read_age_ms(revoke_ms: u64) -> u64 {
    (revoke_ms as f64 * DIRECT_READ_AGE_SHARE) as u64
}

/// Pauses after failed calls, which grow while the store stays away.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreBackoff {
    failures: u32,
}

impl StoreBackoff {
    /// Notes a call that worked.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Notes a failed call. Returns how long to wait, in milliseconds; `draw` is a random number from 0 to 1
    /// that keeps nodes from returning together.
    pub fn next_delay_ms(&mut self, draw: f64) -> u64 {
        let max_delay_ms = (MIN_BACKOFF_MS << self.failures.min(8)).min(MAX_BACKOFF_MS);
        self.failures += 1;
        (max_delay_ms as f64 * (0.5 + draw / 2.0)) as u64
    }
}
