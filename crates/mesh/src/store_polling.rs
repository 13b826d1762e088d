//! Decides when a node reads the store. See `docs/PLATFORM.md`.
//!
//! Load pattern: every call to the store has a cost, and a fleet makes calls in proportion to its size. A few nodes
//! confirm frequently that the configuration is the newest, and a few wait for changes; both share what they know in
//! their status messages. The others read the store only when they hear of a newer version, or when no confirmation
//! arrives.

use fulmartrestle_core::VmId;
use fulmartrestle_derive::value;

/// Number of nodes that confirm the configuration on behalf of all others, and of nodes that wait for changes. Two of
/// each, so that the loss of one is not noticed.
const CONFIRMING_NODES: usize = 2;
const WATCHING_NODES: usize = 2;

/// Interval between two reads of a confirming node, in milliseconds. It is a little shorter than the interval of
/// status messages, so that each confirmation is sent at once in place of the next regular message.
const CONFIRM_INTERVAL_MS: u64 = 950;

/// Long-poll time of a watching node, in milliseconds. A connection that has gone silent is detected only when the
/// poll ends.
const LONG_POLL_MS: u64 = 6_000;

/// Longest time for which a node sleeps before it decides again, in milliseconds. Its role changes when other nodes
/// come or go.
const MAX_SLEEP_MS: u64 = 1_000;

/// Shortest time between two reads that do not wait, in milliseconds.
const MIN_READ_INTERVAL_MS: u64 = 250;

/// Age of the last confirmation from which on a node reads the store directly, as a share of the time within
/// which a revoked key must stop working. The rest is left for the response and one lost message.
const DIRECT_READ_AGE_SHARE: f64 = 0.6;

/// Backoff after the first failed call, and its upper bound, in milliseconds. A recovered store is reached
/// within a second; for about that long, nodes without a recent confirmation still accept requests with keys.
const MIN_BACKOFF_MS: u64 = 160;
const MAX_BACKOFF_MS: u64 = 900;

/// What a node does for the others.
#[value]
pub enum StoreRole {
    /// Confirms the configuration at short intervals.
    Confirming,
    /// Waits for new versions.
    Watching,
    /// Relies on the others.
    Relying,
}

impl StoreRole {
    /// Returns the role of a node. `others` are the IDs of the other live nodes that reach the store. Different views
    /// only lead to a few more or fewer reads.
    pub fn of(own_id: VmId, others: &[VmId]) -> Self {
        match others.iter().filter(|other| **other < own_id).count() {
            rank if rank < CONFIRMING_NODES => Self::Confirming,
            rank if rank < CONFIRMING_NODES + WATCHING_NODES => Self::Watching,
            _ => Self::Relying,
        }
    }
}

/// What a node knows when it decides about its next read.
#[derive(Clone, Copy, Debug)]
pub struct StoreView {
    /// The node's role.
    pub role: StoreRole,
    /// Age of the last confirmation of the configuration, in milliseconds; `None` before the first one.
    pub age_ms: Option<u64>,
    /// Time since the last read ended, in milliseconds; `None` before the first one.
    pub since_read_ms: Option<u64>,
    /// Whether another node has a newer version, or the store's records must be read again.
    pub is_behind: bool,
}

/// The next step of a node.
#[value]
pub enum StoreStep {
    /// Reads the store, and waits for up to this time for a new record, in milliseconds.
    Read {
        /// The time.
        wait_ms: u64,
    },
    /// Decides again after this time in milliseconds, or when something has changed.
    Sleep {
        /// The time.
        for_ms: u64,
    },
}

impl StoreStep {
    /// Decides the next step of a node. `revoke_ms` is the time within which a revoked key must stop working.
    pub fn next(view: StoreView, revoke_ms: u64) -> Self {
        let direct_read_age_ms = direct_read_age_ms(revoke_ms);
        let Some(since_read_ms) = view.since_read_ms else { return Self::Read { wait_ms: 0 } };
        let left_ms = view.age_ms.map_or(0, |age_ms| direct_read_age_ms.saturating_sub(age_ms));
        if left_ms == 0 || view.is_behind {
            return Self::read_after(MIN_READ_INTERVAL_MS, since_read_ms);
        }
        match view.role {
            StoreRole::Confirming => Self::read_after(CONFIRM_INTERVAL_MS, since_read_ms),
            StoreRole::Watching => Self::Read { wait_ms: LONG_POLL_MS },
            StoreRole::Relying => Self::Sleep { for_ms: left_ms.min(MAX_SLEEP_MS) },
        }
    }

    fn read_after(interval_ms: u64, since_read_ms: u64) -> Self {
        match interval_ms.saturating_sub(since_read_ms) {
            0 => Self::Read { wait_ms: 0 },
            for_ms => Self::Sleep { for_ms },
        }
    }
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
