//! As of when this node knows the newest configuration. See `docs/PLATFORM.md`.

use fulmartrestle_core::{TimeUs, Version};

/// The latest moment as of which this node is known to have had the newest version. Keyed requests are
/// answered only while it is recent, so that a withdrawn key stops working on a node that is cut off.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed_at: Option<TimeUs>,
}

impl Freshness {
    /// Notes a read of the store that began at `started` and whose records are all in force.
    pub fn record_confirmation(&mut self, started: TimeUs) {
        self.confirmed_at = self.confirmed_at.max(Some(started));
    }

    /// Notes what a peer knows. The peer sent its word after it had got this node's stamp of `asked_at`;
    /// by then its own knowledge was `age_ms` old. The peer's version counts only if this node has it.
    pub fn record_peer_confirmation(
        &mut self,
        stamped_at: TimeUs,
        age_ms: u64,
        peer_version: Version,
        own_version: Version,
    ) {
        if own_version >= peer_version {
            self.record_confirmation(TimeUs(stamped_at.0.saturating_sub(age_ms.saturating_mul(1_000))));
        }
    }

    /// Returns the age of the knowledge in milliseconds, rounded up, or `None` before anything was known.
    pub fn age_ms(&self, now: TimeUs) -> Option<u64> {
        self.confirmed_at.map(|confirmed_at| now.us_since(confirmed_at).div_ceil(1_000))
    }
}
