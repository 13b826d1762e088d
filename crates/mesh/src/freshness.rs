//! As of when this node knows the newest configuration. See `docs/PLATFORM.md`.

use fulmartrestle_core::{TimeUs, Version};

/// The latest moment as of which this node is known to have had the newest version. Keyed requests are
/// answered only while it is recent, so that a withdrawn key stops working on a node that is cut off.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    known_at: Option<TimeUs>,
}

impl Freshness {
    /// Notes a read of the store that began at `started` and whose records are all in force.
    pub fn confirmed(&mut self, started: TimeUs) {
        self.known_at = self.known_at.max(Some(started));
    }

    /// Notes what a peer knows. The peer sent its word after it had got this node's stamp of `asked_at`;
    /// by then its own knowledge was `age_ms` old. The peer's version counts only if this node has it.
    pub fn heard(&mut self, asked_at: TimeUs, age_ms: u64, peer_version: Version, own_version: Version) {
        if own_version >= peer_version {
            self.confirmed(TimeUs(asked_at.0.saturating_sub(age_ms.saturating_mul(1_000))));
        }
    }

    /// Returns the age of the knowledge in milliseconds, rounded up, or `None` before anything was known.
    pub fn age_ms(&self, now: TimeUs) -> Option<u64> {
        self.known_at.map(|known_at| now.us_since(known_at).div_ceil(1_000))
    }
}
