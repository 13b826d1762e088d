//! The promise that a member makes when it acknowledges the owner of a shard.

use fulmartrestle_core::{TimeUs, VmId};

/// The member acknowledges no other owner before `valid_until` on its own clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Promise {
    pub(crate) owner: VmId,
    pub(crate) valid_until: TimeUs,
}

impl Promise {
    /// Returns whether the promise forbids acknowledging `candidate` at `now`.
    pub(crate) fn excludes(&self, candidate: VmId, now: TimeUs) -> bool {
        self.owner != candidate && now < self.valid_until
    }
}
