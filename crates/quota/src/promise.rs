//! The acknowledgement that a member gave to a shard's owner.

use fulmartrestle_core::{TimeUs, VmId};

/// Until `until` on its own clock the member acknowledges no other owner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Promise {
    pub(crate) owner: VmId,
    pub(crate) until: TimeUs,
}

impl Promise {
    /// Returns whether the promise excludes any other owner at `now`.
    pub(crate) fn excludes(&self, candidate: VmId, now: TimeUs) -> bool {
        self.owner != candidate && now < self.until
    }
}
