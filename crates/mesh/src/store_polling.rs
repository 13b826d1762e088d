//! Decides when a node reads the store. See `docs/PLATFORM.md`.
//!
//! Load pattern: every call to the store has a cost, and a fleet makes calls in proportion to its size. A few nodes
//! confirm frequently that the configuration is the newest, and a few wait for changes; both share what they know in
//! their status messages. The others read the store only when they hear of a newer version, or when no confirmation
//! arrives: the readers may all be lost at once with their zone, at the moment of a change.

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

/// Estimated age of the last confirmation from which on a node reads the store directly, as a share of the time within
/// which a new version must be in force. Each node has its own share in this range: the first ones to read after a loss of
/// the confirming nodes confirm for the others. The rest is left for the read and one retry.
const MIN_UNCONFIRMED_SHARE: f64 = 0.55;
const MAX_UNCONFIRMED_SHARE: f64 = 0.75;

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
    /// Returns the name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Confirming => "confirming",
            Self::Watching => "watching",
            Self::Relying => "relying",
        }
    }

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

/// Bounds of the deployment within which a change on the store must have an effect.
#[value]
pub struct StoreBounds {
    /// Time within which a revoked key must stop working, in milliseconds.
    pub revoke_ms: u64,
    /// Time within which a new version of the configuration must be in force, in milliseconds.
    pub config_apply_ms: u64,
}

/// What a node knows when it decides about its next read.
#[derive(Clone, Copy, Debug)]
pub struct StoreView {
    /// The node's role.
    pub role: StoreRole,
    /// Age of the last confirmation of the configuration, in milliseconds; `None` before the first one.
    pub age_ms: Option<u64>,
    /// Estimated age of the last confirmation, in milliseconds; `None` before the first one. See
    /// [`ConfigFreshness::estimated_age_ms`](crate::ConfigFreshness::estimated_age_ms).
    pub estimated_age_ms: Option<u64>,
    /// Time since the last read ended, in milliseconds; `None` before the first one.
    pub since_read_ms: Option<u64>,
    /// Whether another node has a newer version, or the store's records must be read again.
    pub is_behind: bool,
    /// Random number from 0 to 1 that stays the same for a run of the node and spreads the reads of the fleet.
    pub draw: f64,
}

impl StoreView {
    /// Returns the time until the last confirmation is so old that the node must read the store itself, in
    /// milliseconds.
    pub fn confirmed_for_ms(&self, bounds: StoreBounds) -> u64 {
        let share = MIN_UNCONFIRMED_SHARE + (MAX_UNCONFIRMED_SHARE - MIN_UNCONFIRMED_SHARE) * self.draw;
        let left_ms = |bound_ms: u64, share: f64, age_ms: Option<u64>| {
            age_ms.map_or(0, |age_ms| ((bound_ms as f64 * share) as u64).saturating_sub(age_ms))
        };
        let keys_for_ms = left_ms(bounds.revoke_ms, DIRECT_READ_AGE_SHARE, self.age_ms);
        keys_for_ms.min(left_ms(bounds.config_apply_ms, share, self.estimated_age_ms))
    }
}

/// Why a node reads the store.
#[value]
pub enum ReadReason {
    /// It has not read since its start.
    First,
    /// It must catch up with the store or with another node.
    Behind,
    /// Nobody has confirmed the configuration for too long.
    Unconfirmed,
    /// It confirms the configuration for the others.
    Confirming,
    /// It waits for new versions.
    Watching,
}

impl ReadReason {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Behind => "behind",
            Self::Unconfirmed => "unconfirmed",
            Self::Confirming => "confirming",
            Self::Watching => "watching",
        }
    }
}

/// The next step of a node.
#[value]
pub enum StoreStep {
    /// Reads the store, and waits for up to this time for a new record, in milliseconds.
    Read {
        /// The time.
        wait_ms: u64,
        /// Why the node reads.
        reason: ReadReason,
    },
    /// Decides again after this time in milliseconds, or when something has changed.
    Sleep {
        /// The time.
        for_ms: u64,
    },
}

impl StoreStep {
    /// Decides the next step of a node.
    pub fn next(view: StoreView, bounds: StoreBounds) -> Self {
        let Some(since_read_ms) = view.since_read_ms else {
            return Self::Read { wait_ms: 0, reason: ReadReason::First };
        };
        let confirmed_for_ms = view.confirmed_for_ms(bounds);
        if view.is_behind {
            return Self::read_after(MIN_READ_INTERVAL_MS, since_read_ms, ReadReason::Behind);
        }
        if confirmed_for_ms == 0 {
            return Self::read_after(MIN_READ_INTERVAL_MS, since_read_ms, ReadReason::Unconfirmed);
        }
        match view.role {
            StoreRole::Confirming => Self::read_after(CONFIRM_INTERVAL_MS, since_read_ms, ReadReason::Confirming),
            StoreRole::Watching => Self::Read { wait_ms: LONG_POLL_MS, reason: ReadReason::Watching },
            StoreRole::Relying => Self::Sleep { for_ms: confirmed_for_ms.min(MAX_SLEEP_MS) },
        }
    }

    fn read_after(interval_ms: u64, since_read_ms: u64, reason: ReadReason) -> Self {
        match interval_ms.saturating_sub(since_read_ms) {
            0 => Self::Read { wait_ms: 0, reason },
            for_ms => Self::Sleep { for_ms },
        }
    }
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
