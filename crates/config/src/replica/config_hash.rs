//! Hash of everything that a replica has applied.

use fulmartrestle_core::LogOffset;

use crate::fleet::bytes_newtype;
use crate::plan::PlanId;

bytes_newtype!(
    /// A chained hash over the records that a replica has applied and what it decided on them.
    /// Replicas at the same offset have the same hash; a difference means that they run different
    /// code or read different logs. Chaining costs the same at any size of the configuration, where
    /// a hash over all rows would grow with it.
    ConfigHash,
    16,
    "configuration hash"
);

impl ConfigHash {
    /// The hash before the first record.
    pub const EMPTY: Self = Self([0; 16]);

    /// Returns the hash after one more record; `verdict` tells apart what was decided on it.
    pub(super) fn after(&self, offset: LogOffset, plan: Option<PlanId>, verdict: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        hasher.update(&offset.0.to_le_bytes());
        hasher.update(&plan.map_or([0; 16], |plan| plan.0));
        hasher.update(verdict.as_bytes());
        let mut hash = [0; 16];
        hasher.finalize_xof().fill(&mut hash);
        Self(hash)
    }
}
