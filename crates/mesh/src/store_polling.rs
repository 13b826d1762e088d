//! Decides how often a node reads the store. See `docs/PLATFORM.md`.
//!
//! Load pattern: every call to the store has a cost, and a fleet makes calls in proportion to its size. A few
//! nodes confirm frequently that the configuration is the newest and share this in their status messages. The
//! others use long polls for changes and read the store directly only when no confirmation arrives.

use fulmartrestle_core::VmId;

/// Number of nodes that confirm the configuration on behalf of the whole fleet. Node IDs are random, so a
/// partitioned zone seldom contains all of them.
const CONFIRMING_NODES: usize = 4;

/// Long-poll time of a confirming node, in milliseconds. Status messages add a second to the age, and two reads
/// must fit into the time within which a revoked key must stop working.
const CONFIRMING_POLL_MS: u64 = 1_000;

/// Long-poll time of the other nodes, in milliseconds. A connection that has gone silent is detected only when
/// the poll ends.
const LONG_POLL_MS: u64 = 6_000;

/// Age of the last confirmation from which on a node reads the store directly, as a share of the time within
/// which a revoked key must stop working. The rest is left for the response and one lost message.
const DIRECT_READ_AGE_SHARE: f64 = 0.6;

/// Backoff after the first failed call, and its upper bound, in milliseconds. A recovered store is reached
/// within a second; for about that long, nodes without a recent confirmation still accept requests with keys.
const MIN_BACKOFF_MS: u64 = 160;
const MAX_BACKOFF_MS: u64 = 900;

/// Returns the long-poll time of a node's next read, in milliseconds; 0 if the last confirmation is too old to
/// wait. `live` are the IDs of the other live nodes.
pub fn long_poll_wait_ms(own_id: VmId, live: &[VmId], age_ms: Option<u64>, revoke_ms: u64) -> u64 {
    if age_ms.is_none_or(|age_ms| age_ms >= direct_read_age_ms(revoke_ms)) {
        return 0;
    }
    let is_confirming = live.iter().filter(|other| **other < own_id).count() < CONFIRMING_NODES;
    if is_confirming { CONFIRMING_POLL_MS } else { LONG_POLL_MS }
}

/// Returns the age of the last confirmation from which on a node reads the store directly, in milliseconds.
pub fn direct_read_age_ms(revoke_ms: u64) -> u64 {
    (revoke_ms as f64 * DIRECT_READ_AGE_SHARE) as u64
}

/// Exponential backoff after failed calls to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreBackoff {
    failures: u32,
}

impl StoreBackoff {
    /// Resets the backoff after a successful call.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failed call. Returns the delay before the next one, in milliseconds. `draw` is a random number
    /// from 0 to 1, which spreads the retries of the nodes.
    pub fn next_delay_ms(&mut self, draw: f64) -> u64 {
        let max_delay_ms = (MIN_BACKOFF_MS << self.failures.min(8)).min(MAX_BACKOFF_MS);
        self.failures += 1;
        (max_delay_ms as f64 * (0.5 + draw / 2.0)) as u64
    }
}
