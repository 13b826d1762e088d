//! Records of a claim stream.

use fulmartrestle_core::LogOffset;
use fulmartrestle_derive::{record, value};

use crate::{ClaimId, ClaimKey};

/// One record of a claim stream.
#[value]
pub enum ClaimRecord {
    /// Claims a key. The claim wins if the key has no holder and the claim is not void.
    Claim {
        /// The key concerned.
        key: ClaimKey,
        /// The claim concerned.
        claim: ClaimId,
    },
    /// Declares that the claimant will never run the call under this claim. The claim becomes void,
    /// whether its record comes before or after this one.
    Release {
        /// The key concerned.
        key: ClaimKey,
        /// The claim concerned.
        claim: ClaimId,
    },
}

/// Records of one append, in order, with the offset of the append.
#[record]
#[derive(Eq)]
pub struct ClaimBatch {
    /// Offset of the append in its stream.
    pub offset: LogOffset,
    /// The records.
    pub records: Vec<ClaimRecord>,
}
