//! What the start of a node means for the target beside it. See `docs/DRAIN.md`.
//!
//! Load pattern: all nodes of a deployment are killed while the store does not answer. What they have acknowledged since
//! it went down is known to nobody, and late announcements call targets ready that have left.

use fulmartrestle_core::TimeUs;
use fulmartrestle_derive::value;

/// Delay that announcements seldom exceed, in milliseconds. There is no longest one.
const USUAL_ANNOUNCEMENT_DELAY_MS: u64 = 5_000;

/// Difference between the clocks of a node and its target that is allowed for, in milliseconds.
const CLOCK_TOLERANCE_MS: i64 = 500;

/// When a node started, by its own clock and by the time of day.
#[value]
pub struct NodeStart {
    /// Time of the node's clock.
    pub at: TimeUs,
    /// Time of day in milliseconds since the Unix epoch.
    pub unix_ms: i64,
}

impl NodeStart {
    /// Returns whether a run of the target that started at `started_unix_ms` may have left before this node started: an
    /// earlier run of the node may have acknowledged that, and announcements that arrive now may have been sent before.
    pub fn allows_earlier_leaving(self, started_unix_ms: i64) -> bool {
        started_unix_ms < self.unix_ms + CLOCK_TOLERANCE_MS
    }

    /// Returns whether an announcement that arrived at `announced_at` was most likely sent before this node started.
    pub fn is_usual_delay(self, announced_at: TimeUs) -> bool {
        announced_at.ms_since(self.at) < USUAL_ANNOUNCEMENT_DELAY_MS
    }
}
