//! Hash over everything that a replica has applied.

use fulmartrestle_core::LogOffset;

use crate::fleet::bytes_newtype;
use crate::plan::PlanId;

bytes_newtype!(
    /// A chained hash over the records that a replica has applied and the results of certifying them.
    /// Replicas at the same offset have the same hash. A difference means that they run different code or have
    /// read different logs. The cost of chaining does not depend on the size of the configuration, whereas that
    /// of a hash over all rows would grow with it.
    ConfigHash,
    16,
    "configuration hash"
);

impl ConfigHash {
    /// The hash of a replica that has applied no records.
    pub const EMPTY: Self = Self([0; 16]);

    /// Returns the hash after one more record. `outcome` names what applying the record resulted in.
    pub(super) fn chain(&self, offset: LogOffset, plan: Option<PlanId>, outcome: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        hasher.update(&offset.0.to_le_bytes());
        hasher.update(&plan.map_or([0; 16], |plan| plan.0));
        hasher.update(outcome.as_bytes());
        let mut hash = [0; 16];
        hasher.finalize_xof().fill(&mut hash);
        Self(hash)
    }
}
