//! When the configuration of this node was last confirmed to be the newest. See `docs/PLATFORM.md`.

use fulmartrestle_core::{TimeUs, Version};

/// Longest time between two stamps that reach a peer while no message is lost, in milliseconds: the interval of status
/// messages.
const STAMP_INTERVAL_MS: u64 = 1_000;

/// The latest moment at which this node provably had the newest version of the configuration. Requests with keys
/// are accepted only while that moment is recent, so that a revoked key stops working on a node that is
/// partitioned from the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigFreshness {
    confirmed_at: Option<TimeUs>,
    estimated_at: Option<TimeUs>,
}

impl ConfigFreshness {
    /// Records a read of the store that started at `started` and whose records are all applied.
    pub fn record_confirmation(&mut self, started: TimeUs) {
        self.confirmed_at = self.confirmed_at.max(Some(started));
        self.estimated_at = self.estimated_at.max(Some(started));
    }

    /// Returns whether a read or a peer has confirmed the configuration as of `moment` or later.
    pub fn is_confirmed_since(&self, moment: TimeUs) -> bool {
        self.confirmed_at.is_some_and(|confirmed_at| confirmed_at >= moment)
    }

    /// Records the confirmation of a peer. The peer sent it after it had received the stamp that this node sent
    /// at `stamped_at`; at that time the peer's last confirmation was `age_ms` milliseconds old. It arrived at `now`. It
    /// counts only if this node has at least the peer's version.
    pub fn record_peer_confirmation(
        &mut self,
        stamped_at: TimeUs,
        age_ms: u64,
        peer_version: Version,
        own_version: Version,
        now: TimeUs,
    ) {
        if own_version < peer_version {
            return;
        }
        let before = |moment: TimeUs| TimeUs(moment.0.saturating_sub(age_ms.saturating_mul(1_000)));
        self.confirmed_at = self.confirmed_at.max(Some(before(stamped_at)));
        // The peer has not received the next stamp, so that the message was sent by about then.
        let sent_by = now.min(stamped_at.plus_ms(STAMP_INTERVAL_MS));
        self.estimated_at = self.estimated_at.max(Some(before(sent_by)));
    }

    /// Returns the time since the last confirmation in milliseconds, rounded up, or `None` before the first.
    pub fn age_ms(&self, now: TimeUs) -> Option<u64> {
        self.confirmed_at.map(|confirmed_at| now.us_since(confirmed_at).div_ceil(1_000))
    }

    /// Returns the estimated time since the last confirmation in milliseconds, rounded up, or `None` before the first. It
    /// takes a message for as old as its way from the peer usually is, and is wrong by up to one interval of status
    /// messages if it was delayed. It decides when to read the store, never whether a key is valid.
    pub fn estimated_age_ms(&self, now: TimeUs) -> Option<u64> {
        self.estimated_at.map(|estimated_at| now.us_since(estimated_at).div_ceil(1_000))
    }
}
