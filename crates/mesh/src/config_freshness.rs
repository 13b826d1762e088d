//! When the configuration of this node was last confirmed to be the newest. See `docs/PLATFORM.md`.

use fulmartrestle_core::{TimeUs, Version};

/// The latest moment at which this node provably had the newest version of the configuration. Requests with keys
/// are accepted only while that moment is recent, so that a revoked key stops working on a node that is
/// partitioned from the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigFreshness {
    confirmed_at: Option<TimeUs>,
}

impl ConfigFreshness {
    /// Records a read of the store that started at `started` and whose records are all applied.
    pub fn record_confirmation(&mut self, started: TimeUs) {
        self.confirmed_at = self.confirmed_at.max(Some(started));
    }

    /// Records the confirmation of a peer. The peer sent it after it had received the stamp that this node sent
    /// at `stamped_at`; at that time the peer's last confirmation was `age_ms` milliseconds old. It counts only
    /// if this node has at least the peer's version.
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

    /// Returns the time since the last confirmation in milliseconds, rounded up, or `None` before the first.
    pub fn age_ms(&self, now: TimeUs) -> Option<u64> {
        self.confirmed_at.map(|confirmed_at| now.us_since(confirmed_at).div_ceil(1_000))
    }
}
